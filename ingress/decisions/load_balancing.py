"""Load balancing: chooses the endpoint for each attempt."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from math import inf

from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.endpoint_health import HealthStatus
from ingress.decisions.endpoint_set import EndpointSet
from ingress.decisions.endpoint_state import MIN_LATENCY_S, TrackedEndpoint
from ingress.decisions.latency import LatencyStatistics
from ingress.decisions.outlier_detection import PROBATION_SUCCESSES
from ingress.decisions.settings import Idempotency
from ingress.decisions.slow_start import SlowStart

MIN_ELIGIBLE_FRACTION = 0.5  # if a smaller share of the usable endpoints is eligible, the cause is likely a shared one
CROSS_ZONE_LOAD_FACTOR = 1.1  # breaks ties in favour of the gateway's own zone
RELATIVE_LATENCY_HALF_LIFE_RATIO = 3.0  # a multiple of the longest latency objective
SLOW_ATTEMPT_RATIO = 3.0  # a multiple of the mean latency: an attempt open for longer adds to its endpoint's load
MIN_RELATIVE_LATENCY = 0.2
MIN_WEIGHT = 1e-6
LIMIT_REDUCTION_INTERVAL_RATIO = 0.25  # a share of the longest latency objective, for attempts without a response


class LoadBalancer:
    """Chooses the least loaded of the eligible endpoints."""

    def __init__(
        self, endpoint_set: EndpointSet, latencies: LatencyStatistics, slow_start: SlowStart, rng: random.Random
    ) -> None:
        self.endpoint_set = endpoint_set
        self.latencies = latencies
        self.slow_start = slow_start
        self.rng = rng

    def choose_endpoint(self, request: InFlightRequest, now: float) -> TrackedEndpoint | None:
        """Return the endpoint for the next attempt, a preferred one if possible, or None if none has capacity."""
        preferred = self._choose_among(request, now, self.endpoint_set.preferred)
        return preferred or self._choose_among(request, now, self.endpoint_set.ready)

    def avoided_count(self, now: float) -> int:
        """Return how many ready endpoints get no attempts, because they are unresponsive, unhealthy or overloaded."""
        mean_latency = self.latencies.slowest_mean_latency()
        return sum(e.unresponsive(now, mean_latency) or e.avoided(now) for e in self.endpoint_set.ready)

    def _choose_among(
        self, request: InFlightRequest, now: float, endpoints: Sequence[TrackedEndpoint]
    ) -> TrackedEndpoint | None:
        if request.attempts:
            candidates = self._retry_candidates(request, now, endpoints)
        else:
            candidates = self._eligible(endpoints, request, now)
        chosen = self._least_loaded(candidates, request, now)
        if chosen is not None and chosen.warming_up(now, self.endpoint_set.settings):
            chosen.slow_start_budget.take(self.latencies.relative_work(request.request_class, request.units))
        return chosen

    def _retry_candidates(
        self, request: InFlightRequest, now: float, endpoints: Sequence[TrackedEndpoint]
    ) -> Sequence[TrackedEndpoint]:
        """Return the eligible endpoints that may get one more attempt, if possible only those not tried yet."""
        settings = self.endpoint_set.settings
        tried_ids = {attempt.endpoint.info.id for attempt in request.attempts}
        usable = [endpoint for endpoint in endpoints if request.may_attempt(endpoint, now, settings)]
        eligible = self._eligible(usable, request, now)
        if len(usable) <= len(tried_ids):
            return eligible
        return [endpoint for endpoint in eligible if endpoint.info.id not in tried_ids]

    def _eligible(
        self, usable: Sequence[TrackedEndpoint], request: InFlightRequest, now: float
    ) -> Sequence[TrackedEndpoint]:
        """Return the usable endpoints that may get a new attempt.

        If those are a minority, return all that are neither paused nor ejected.  If there are none of these either,
        return the ejected ones that are not paused, which are better than none.
        """
        mean_latency = self.latencies.slowest_mean_latency()
        eligible = [e for e in usable if self._update_eligibility(e, now, request, mean_latency)]
        if len(eligible) >= MIN_ELIGIBLE_FRACTION * len(usable):
            return eligible
        unpaused = [e for e in usable if now >= e.health.paused_until]
        return [e for e in unpaused if e.health.status is not HealthStatus.EJECTED] or unpaused

    def _update_eligibility(
        self, endpoint: TrackedEndpoint, now: float, request: InFlightRequest, mean_latency: float
    ) -> bool:
        """Update the health of an endpoint that a request could use, and return whether it is eligible.

        An endpoint whose ejection is over starts its probation here, or gets a health check first: without requests,
        it stays ejected.  The concurrency limit of an endpoint on probation is lowered, and an unresponsive endpoint
        becomes suspect.
        """
        health = endpoint.health
        if health.status is HealthStatus.HEALTHY and not endpoint.in_flight:
            return now >= health.paused_until and now >= endpoint.overloaded_until
        if health.status is HealthStatus.EJECTED:
            self.endpoint_set.outliers.consider_probation(health, now)
        if health.status is HealthStatus.PROBATION:
            # A request that can't be retried must not fail at an endpoint that may still be unhealthy.
            if request.attempts or request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
                return False
            endpoint.concurrency_limit = min(endpoint.concurrency_limit, float(PROBATION_SUCCESSES))
        if endpoint.in_flight and endpoint.unresponsive(now, mean_latency):
            self.endpoint_set.outliers.record_silence(health, now)
            return False
        return not endpoint.avoided(now)

    def _least_loaded(
        self, candidates: Iterable[TrackedEndpoint], request: InFlightRequest, now: float
    ) -> TrackedEndpoint | None:
        """Return the least loaded candidate that is below its concurrency limit, or None.

        A candidate that warms up must have enough slow start budget left for the request.
        """
        longest_objective = self.latencies.longest_objective
        half_life = RELATIVE_LATENCY_HALF_LIFE_RATIO * longest_objective
        mean_latency = max(self.latencies.mean_latency(request.request_class), MIN_LATENCY_S)
        best: TrackedEndpoint | None = None
        best_load = inf
        for endpoint in candidates:
            oldest_age = endpoint.oldest_attempt_age(now)
            # A congested endpoint sends no responses from which its limit could be reduced, so the age of its oldest
            # attempt is used instead.
            if oldest_age > longest_objective:
                endpoint.reduce_limit(now, longest_objective * LIMIT_REDUCTION_INTERVAL_RATIO)
            if len(endpoint.in_flight) >= endpoint.concurrency_limit:
                continue
            half_lives = (now - endpoint.relative_latency_at) / half_life
            load = self._load(endpoint, half_lives, oldest_age / mean_latency)
            if load < best_load and self._slow_start_allows(endpoint, request, now):
                best = endpoint
                best_load = load
        return best

    def _slow_start_allows(self, endpoint: TrackedEndpoint, request: InFlightRequest, now: float) -> bool:
        if not endpoint.warming_up(now, self.endpoint_set.settings):
            return True
        work = self.latencies.relative_work(request.request_class, request.units)
        return self.slow_start.allows(endpoint, now, work)

    def _load(self, endpoint: TrackedEndpoint, half_lives: float, oldest_attempt_ratio: float) -> float:
        """Estimate the load of an endpoint relative to its weight: attempts in flight times its present slowness.

        A draw from an exponential distribution is added to the attempts in flight, so that idle endpoints are chosen
        in proportion to their weights.  Otherwise all gateways with little traffic would choose the same endpoint,
        the one with the largest weight.

        Args:
            endpoint: A candidate.
            half_lives: The age of its relative latency, in half-lives.
            oldest_attempt_ratio: The age of its oldest attempt, in mean latencies.
        """
        slowness: float = 1.0 + (endpoint.relative_latency - 1.0) * 0.5**half_lives
        slowness = max(slowness, oldest_attempt_ratio / SLOW_ATTEMPT_RATIO, MIN_RELATIVE_LATENCY)
        if endpoint.health.failure_weight:
            slowness *= endpoint.health.attempts_per_success()
        attempts = len(endpoint.in_flight) + self.rng.expovariate(1.0)
        load = attempts * slowness / max(endpoint.info.weight, MIN_WEIGHT)
        return load if endpoint.info.zone == self.endpoint_set.settings.zone else load * CROSS_ZONE_LOAD_FACTOR
