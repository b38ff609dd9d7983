"""The state of one endpoint at this gateway: attempts in flight, adaptive concurrency limit, latency and health."""

from __future__ import annotations

from typing import NamedTuple

from ingress.decisions.endpoint import Endpoint
from ingress.decisions.endpoint_health import EndpointHealth
from ingress.decisions.handover_state import EndpointState
from ingress.decisions.latency import NEW_SAMPLE_WEIGHT
from ingress.decisions.settings import Settings
from ingress.decisions.token_bucket import TokenBucket

# The mean latency, as a share of the latency objective, above which the concurrency limit is reduced, because too many
# attempts are in flight.
TARGET_LATENCY_RATIO = 0.18
TARGET_UTILIZATION = 0.55  # the share of the summed concurrency limits in use above which load is shed
INITIAL_CONCURRENCY_LIMIT = 1.0  # the number of attempts allowed before the first response
MIN_CONCURRENCY_LIMIT = 1.0  # the number of attempts that is always allowed
LIMIT_REDUCTION_FACTOR = 0.85
UNRESPONSIVE_RATIO = 4.0  # a multiple of the mean latency: an endpoint without a response for longer is unresponsive
# The time without attempts after a rejection at high latency, as a share of the longest latency objective.
OVERLOAD_PAUSE_RATIO = 0.25
MIN_LATENCY_S = 1e-6  # avoids a division by zero


class AttemptId(NamedTuple):
    """The identifier of an attempt, unique within a gateway.

    Attributes:
        request_id: The ID of the request.
        number: The number of the attempt within its request, from 0.
    """

    request_id: str
    number: int


class ConcurrencyTotals:
    """The totals over all ready endpoints.

    They are updated with each change, because adding up thousands of endpoints for each request takes too long.

    Attributes:
        concurrency_limits: The sum of the concurrency limits.
        in_flight: The number of attempts in flight.
    """

    def __init__(self) -> None:
        self.concurrency_limits = 0.0
        self.in_flight = 0


class TrackedEndpoint:
    """The state of one endpoint.

    An incarnation is one run of the endpoint's process; a later start time in the endpoint list indicates a new one.

    Attributes:
        info: The entry of the endpoint in the endpoint list.
        ready: Whether the endpoint is listed as ready.
        preferred: Whether the endpoint is in the subset that this gateway prefers.
        totals: The totals of `EndpointSet`; an instance that nothing reads while the endpoint is not ready, so that
            updates need no condition.
        subset_round: The round (a group of gateways with consecutive indexes, see `Subset.choose`) for which
            `subset_position` was computed; -1 before that.
        subset_position: The sort key of the endpoint in the order of endpoints for that round.
        in_flight: The attempts in flight and the time at which each was sent, oldest first.
        health: The health of the endpoint.
        tracked_since: The time at which tracking of this incarnation began.
        relative_latency: The running mean of the latency relative to the mean latency of the request class.
        relative_latency_at: The time of the last update of `relative_latency`.
        latency_ratio: The running mean of the latency as a share of the latency objective.
        limit_reduced_at: The time of the last reduction of the concurrency limit.
        limit_was_reduced: Whether the concurrency limit was ever reduced for this incarnation.
        last_response_at: The time of the last response (also an error or a rejection), connection reset or timeout;
            initially `tracked_since`.
        overloaded_until: The time until which no attempts are sent, because a rejection came while latency was high.
        slow_start_budget: The token bucket of work, in mean requests, that may be sent while the endpoint warms up.
    """

    def __init__(self, info: Endpoint, now: float, health: EndpointHealth, slow_start_level: float = 0.0) -> None:
        self.info = info
        self.ready = True
        self.preferred = False
        self.totals = ConcurrencyTotals()
        self.subset_round = -1
        self.subset_position = 0
        self._concurrency_limit = 0.0
        self.in_flight: dict[AttemptId, float] = {}
        self.reset(now, health, slow_start_level)

    def reset(self, now: float, health: EndpointHealth, slow_start_level: float) -> None:
        """Discard the state of an earlier incarnation, except for its attempts in flight.

        Args:
            now: The current time in seconds.
            health: The health of the new incarnation.
            slow_start_level: The initial level of the slow start budget, drawn uniformly from 0 to 1 mean requests.
                Budgets fill slowly; with the same initial level, those of all gateways would reach one complete
                request at the same time, and all gateways would send their first request to the endpoint then.
        """
        self.relative_latency = 1.0
        self.relative_latency_at = now
        self.latency_ratio = TARGET_LATENCY_RATIO
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.limit_reduced_at = now
        self.limit_was_reduced = False
        self.health = health
        self.tracked_since = now
        self.last_response_at = now
        self.overloaded_until = now
        # `SlowStart` sets the rate before each check of the budget.
        self.slow_start_budget = TokenBucket(0.0, 1.0, slow_start_level, now)

    @property
    def concurrency_limit(self) -> float:
        """The number of attempts from this gateway that may be in flight at the endpoint."""
        return self._concurrency_limit

    @concurrency_limit.setter
    def concurrency_limit(self, value: float) -> None:
        self.totals.concurrency_limits += value - self._concurrency_limit
        self._concurrency_limit = value

    def snapshot(self) -> EndpointState:
        """Return the state for another process of this gateway."""
        return EndpointState(
            id=self.info.id,
            concurrency_limit=self.concurrency_limit,
            limit_was_reduced=self.limit_was_reduced,
            latency_ratio=self.latency_ratio,
            relative_latency=self.relative_latency,
            slow_start_level=self.slow_start_budget.level,
            health=self.health.snapshot(),
        )

    def restore(self, state: EndpointState) -> None:
        """Restore the load state, but not the health, that another process of this gateway recorded."""
        self.concurrency_limit = state.concurrency_limit
        self.limit_was_reduced = state.limit_was_reduced
        self.latency_ratio = state.latency_ratio
        self.relative_latency = state.relative_latency
        self.slow_start_budget.level = state.slow_start_level

    def warming_up(self, now: float, settings: Settings) -> bool:
        """Return whether the endpoint started less than the slow start duration ago; a start time of 0 is long ago."""
        return self.info.started_at > 0.0 and now < self.info.started_at + settings.slow_start_duration

    def attempt_started(self, attempt_id: AttemptId, now: float) -> None:
        """Record that an attempt is sent to the endpoint."""
        self.in_flight[attempt_id] = now
        self.totals.in_flight += 1

    def attempt_ended(self, attempt_id: AttemptId, now: float) -> float:
        """Record the end of an attempt, and return when it was sent, or `now` if its end was recorded before."""
        if attempt_id not in self.in_flight:
            return now
        self.totals.in_flight -= 1
        return self.in_flight.pop(attempt_id)

    def oldest_attempt_age(self, now: float) -> float:
        """Return how long the oldest attempt has been in flight, in seconds; 0 if none is."""
        return now - next(iter(self.in_flight.values())) if self.in_flight else 0.0

    def record_latency(self, now: float, latency: float, mean: float, objective: float) -> None:
        """Adapt the concurrency limit to the latency of one response.

        The limit is increased additively while the endpoint is fast and the limit is used, and reduced
        multiplicatively while the mean latency is above the target (AIMD).  Until the first reduction, it grows by
        one with each response, to find the capacity soon.

        Args:
            now: The current time in seconds.
            latency: The latency of the response in seconds.
            mean: The mean latency of the request's class in seconds.
            objective: The latency objective of the request's class in seconds.
        """
        self.relative_latency += NEW_SAMPLE_WEIGHT * (latency / max(mean, MIN_LATENCY_S) - self.relative_latency)
        self.relative_latency_at = now
        self.last_response_at = now
        self.latency_ratio += NEW_SAMPLE_WEIGHT * (latency / objective - self.latency_ratio)
        if self.latency_ratio > TARGET_LATENCY_RATIO:
            self.reduce_limit(now, latency)
            return
        # The limit counts as used from half of the target utilization on.  One is added for the attempt of this
        # latency, which is no longer among those in flight.
        limit_is_used = len(self.in_flight) + 1 >= TARGET_UTILIZATION / 2 * self.concurrency_limit
        if latency < TARGET_LATENCY_RATIO * objective and limit_is_used:
            self.concurrency_limit += 1.0 / max(self.concurrency_limit, 1.0) if self.limit_was_reduced else 1.0

    def reduce_limit(self, now: float, min_interval: float) -> None:
        """Reduce the concurrency limit, unless it was reduced less than `min_interval` seconds ago.

        The new limit is `LIMIT_REDUCTION_FACTOR` times the part of the limit that is used, which is the number of
        attempts in flight plus one if that is less than the limit; it is at least `MIN_CONCURRENCY_LIMIT`.
        """
        if now - self.limit_reduced_at < min_interval:
            return
        used_limit = min(self.concurrency_limit, len(self.in_flight) + 1.0)
        self.concurrency_limit = max(MIN_CONCURRENCY_LIMIT, used_limit * LIMIT_REDUCTION_FACTOR)
        self.limit_reduced_at = now
        self.limit_was_reduced = True

    def record_rejection(self, now: float, longest_objective: float) -> None:
        """Record that the endpoint rejected an attempt.

        If its latency is high as well, the endpoint is overloaded: reduce its limit and pause it.  Otherwise the
        rejection concerns only that request.
        """
        if self.latency_ratio >= TARGET_LATENCY_RATIO:
            self.reduce_limit(now, 0.0)
            self.overloaded_until = now + longest_objective * OVERLOAD_PAUSE_RATIO

    def unresponsive(self, now: float, mean_latency: float) -> bool:
        """Return whether attempts are in flight and the endpoint has not responded for several mean latencies.

        The oldest attempt must have been sent, and `last_response_at` updated, more than `UNRESPONSIVE_RATIO` mean
        latencies ago.  Without this check, an endpoint that stopped answering without closing its connections would
        look idle and get new attempts until the first deadline passes.
        """
        if not self.in_flight:
            return False
        silent_since = max(self.last_response_at, next(iter(self.in_flight.values())))
        return now - silent_since > UNRESPONSIVE_RATIO * mean_latency

    def avoided(self, now: float) -> bool:
        """Return whether the endpoint gets no new attempts, because of its health or because it is overloaded."""
        return now < self.overloaded_until or self.health.avoided(now, len(self.in_flight))
