"""Outlier detection: ejects endpoints that fail more often than the others, and readmits them.

Each outcome of an attempt is evidence for or against its endpoint; docs/design.md describes the estimate.  An ejection
is followed by a probation, in which a few successes make the endpoint healthy again, and enough evidence of further
failures ejects it for longer.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from math import exp, inf, isfinite, log

from msgspec import Struct

from ingress.decisions.actions import Action, CloseIdleConnections
from ingress.decisions.endpoint import Outcome
from ingress.decisions.endpoint_health import EndpointHealth, HealthStatus
from ingress.decisions.events import HealthCheckEnded
from ingress.decisions.handover_state import EndpointHealthState
from ingress.decisions.health_check import HealthChecks
from ingress.decisions.log_limiter import LogLimiter
from ingress.decisions.settings import Settings

# Unless noted otherwise, a constant ending in _RATIO is a multiple of the longest latency objective.
EVIDENCE_HALF_LIFE_RATIO = 20.0  # long enough that a gateway sees several outcomes of each endpoint
BEST_OTHERS_FRACTION = 0.75  # even if half of all endpoints are unhealthy, most of this fraction are healthy
INITIAL_FAILURE_RATE = 0.05  # the failure rate assumed for the other endpoints before they have outcomes
MIN_FAILURE_RATE = 0.01
SHARED_FAILURE_RATE = 0.4  # if the other endpoints fail this often, the cause is not a single endpoint
EJECTION_LOG_ODDS = log(7.0)
SUSPICION_LOG_ODDS = 0.0
LATE_RESPONSE_WEIGHT = 0.25  # low, because load makes responses late, and concurrency limits handle load
HEDGE_LOST_WEIGHT = 0.5  # for an attempt that was cancelled while its endpoint showed signs of life
PAUSE_RATIO = 0.5  # the shortest mean ejection, and the pause after rejections
MAX_RELAPSES = 4  # each relapse doubles the duration of the ejection
MIN_OUTCOME_INTERVALS = 2.0  # an ejection of fewer mean outcome intervals would not avoid any attempt
EJECTION_JITTER = 0.25  # a share of the mean duration: gateways that eject at the same time readmit at different times
RELAPSE_WINDOW_RATIO = 4.0  # a multiple of the last ejection: after being healthy for longer, no ejection is a relapse
OUTCOME_INTERVAL_WEIGHT = 0.02  # the weight of the newest interval in the running mean
MIN_COMPARABLE_ENDPOINTS = 2
MAX_EJECTED_FRACTION = 0.5  # a share of the ready endpoints; one on probation may be ejected regardless
PROBATION_SUCCESSES = 3  # the number of successes that ends a probation
REJECTIONS_TO_PAUSE = 2  # consecutive: a single rejection may be due to the request
REMOVED_RETENTION_S = 60.0
MAX_REMOVED = 4096
TIMER_DELAY_RATIO = 0.1  # a timer that fires this late indicates that this process is starved of CPU time
CPU_STARVATION_RATIO = 1.0  # how long missing responses are ignored after such a timer
MAX_LOG_ODDS_LOGGED = 20
CONNECTION_LOSSES = frozenset(("timed out", "overtaken", "no connection", "reset"))


class RemovedEndpoint(Struct, frozen=True):
    """The health of an endpoint that is no longer listed as ready, and the time at which it was removed."""

    removed_at: float
    health: EndpointHealth


class OutlierDetector:
    """Detects the endpoints that fail more often than the others.

    Attributes:
        endpoints: The health of the endpoints that are listed as ready, by ID.
        removed: The health of endpoints that were recently removed from `endpoints`, by ID, earliest removal first.
        pending_actions: The actions that the gateway has not taken yet.
        ejections_by_reason: The number of ejections by reason.
        invalid_load_reports: The number of invalid load reports.
        ejected_count: The number of ejected endpoints among `endpoints`.
        mean_outcome_interval: The running mean of the interval in seconds between two outcomes of one endpoint.
        cpu_starved_until: The time until which missing responses are ignored, because this process got no CPU time.
        health_checks: The schedule of the health checks of ejected endpoints.
    """

    def __init__(self, settings: Settings, longest_objective: float, rng: random.Random) -> None:
        self.rng = rng
        self.health_checks = HealthChecks(settings, longest_objective, rng)
        self.apply_settings(settings, longest_objective)
        self.endpoints: dict[str, EndpointHealth] = {}
        self.removed: dict[str, RemovedEndpoint] = {}
        self.pending_actions: list[Action] = []
        self.ejections_by_reason: dict[str, int] = {}
        self.invalid_load_reports = 0
        self.ejected_count = 0
        self.mean_outcome_interval = 0.0
        self.cpu_starved_until = -inf
        self._log_limiter = LogLimiter()

    def apply_settings(self, settings: Settings, longest_objective: float) -> None:
        """Apply new settings and the longest latency objective in seconds."""
        self.settings = settings
        self.longest_objective = longest_objective
        self.evidence_half_life = EVIDENCE_HALF_LIFE_RATIO * longest_objective
        self.evidence_decay_rate = -log(2) / self.evidence_half_life
        self.health_checks.apply_settings(settings, longest_objective)

    # The endpoint list

    def track(self, endpoint_id: str, started_at: float, now: float) -> EndpointHealth:
        """Start tracking an endpoint that becomes ready, and return its health.

        An incarnation that was removed recently keeps its health: being removed and listed again is no evidence that
        it has recovered.  A newer incarnation starts without evidence.
        """
        removed = self.removed.pop(endpoint_id, None)
        if removed is None or now - removed.removed_at > REMOVED_RETENTION_S or started_at > removed.health.started_at:
            return self.reset(endpoint_id, started_at)
        self.endpoints[endpoint_id] = removed.health
        return removed.health

    def reset(self, endpoint_id: str, started_at: float) -> EndpointHealth:
        """Start tracking a new incarnation of an endpoint, without evidence, and return its health."""
        health = EndpointHealth(endpoint_id, started_at)
        self.endpoints[endpoint_id] = health
        return health

    def restore(self, health: EndpointHealth, state: EndpointHealthState, now: float) -> None:
        """Restore the health that another process of this gateway recorded, and schedule the next health check."""
        self.ejected_count -= health.status is HealthStatus.EJECTED
        health.restore(state)
        self.ejected_count += health.status is HealthStatus.EJECTED
        self.health_checks.schedule(health, now)

    def keep_only(self, endpoint_ids: Iterable[str], now: float) -> None:
        """Stop tracking all endpoints except these, and retain the health of the removed ones for a while."""
        ready_ids = set(endpoint_ids)
        for endpoint_id in [known_id for known_id in self.endpoints if known_id not in ready_ids]:
            self.removed[endpoint_id] = RemovedEndpoint(now, self.endpoints.pop(endpoint_id))
        self._forget_removed(now)
        self.ejected_count = sum(health.status is HealthStatus.EJECTED for health in self.endpoints.values())

    def _forget_removed(self, now: float) -> None:
        while self.removed:
            earliest_id = next(iter(self.removed))
            expired = now - self.removed[earliest_id].removed_at > REMOVED_RETENTION_S
            if len(self.removed) <= MAX_REMOVED and not expired:
                return
            del self.removed[earliest_id]

    # Outcomes

    def record_success(self, health: EndpointHealth, now: float, late: bool) -> None:
        """Record a response of an endpoint.

        Args:
            health: The health of the endpoint.
            now: The current time in seconds.
            late: Whether the response arrived after the latency objective.
        """
        health.consecutive_rejections = 0
        health.paused_until = 0.0
        if late:
            if now >= self.cpu_starved_until:
                self._add_failure(health, now, LATE_RESPONSE_WEIGHT, "late")
            return
        self._add_evidence(health, now, failure=0.0, success=1.0)
        if self.endpoints.get(health.id) is not health:
            return  # this incarnation is no longer listed as ready
        if health.status is HealthStatus.PROBATION:
            self._record_probation_success(health, now)
        elif health.status is not HealthStatus.HEALTHY:
            self._recover_if_likely_healthy(health, now)

    def record_failure(self, health: EndpointHealth, now: float, outcome: Outcome, silent: bool = False) -> None:
        """Record an attempt that failed, or was cancelled without a response.

        Args:
            health: The health of the endpoint.
            now: The current time in seconds.
            outcome: The outcome of the attempt.
            silent: Whether the endpoint has shown no sign of life since the attempt was sent.
        """
        if outcome is Outcome.REJECTED:
            health.consecutive_rejections += 1
            if health.consecutive_rejections < REJECTIONS_TO_PAUSE:
                return
        elif outcome is not Outcome.CONNECT_FAILED:
            health.consecutive_rejections = 0
        if outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            # An endpoint that rejects attempts at once looks idle: the next one would go there and be rejected too.
            health.paused_until = now + PAUSE_RATIO * self.longest_objective
        no_response = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED)
        if no_response and now < self.cpu_starved_until:
            return  # a response may have arrived that this process had no CPU time to read
        hedge_lost = outcome is Outcome.CANCELLED and not silent
        self._add_failure(health, now, HEDGE_LOST_WEIGHT if hedge_lost else 1.0, outcome.description)

    def record_silence(self, health: EndpointHealth, now: float) -> None:
        """Record that an endpoint has attempts in flight and shows no sign of life."""
        if health.status is HealthStatus.HEALTHY:
            self._set_status(health, now, HealthStatus.SUSPECT, "silent")

    def record_timer_delay(self, now: float, delay: float) -> None:
        """Record that a timer fired `delay` seconds late.

        A process that gets no CPU time sees every endpoint fail, so missing responses are ignored for a while after a
        long delay.
        """
        if delay > TIMER_DELAY_RATIO * self.longest_objective:
            if now >= self.cpu_starved_until:
                self._log(now, f"health: this process is starved, a timer was {delay:.3f} s late")
            self.cpu_starved_until = now + CPU_STARVATION_RATIO * self.longest_objective + delay

    def check_load_report(self, report: Mapping[str, float]) -> None:
        """Count a load report if it is incomplete or has an impossible value; it is no evidence about the endpoint."""
        if not report:
            return
        complete = all(name in report for name in self.settings.load_report_fields)
        if not complete or not all(isfinite(value) and value >= 0 for value in report.values()):
            self.invalid_load_reports += 1

    def others_failure_rate(self, health: EndpointHealth, now: float) -> float:
        """Return the recent failure rate of the other endpoints.

        It is the mean over the best fraction of those that are not ejected and have recent outcomes, with
        INITIAL_FAILURE_RATE as one more sample.  The comparison guards against ejections for a failure that all
        endpoints share, or whose cause is this gateway.
        """
        rates = sorted(
            other.recent_failure_rate
            for other in self.endpoints.values()
            if other is not health
            and other.status is not HealthStatus.EJECTED
            and now - other.last_outcome_at < self.evidence_half_life
        )
        rates = rates[: max(1, int(BEST_OTHERS_FRACTION * len(rates) + 0.5))]
        return max(MIN_FAILURE_RATE, (INITIAL_FAILURE_RATE + sum(rates)) / (1 + len(rates)))

    def _add_evidence(self, health: EndpointHealth, now: float, failure: float, success: float) -> None:
        interval = max(0.0, now - health.last_outcome_at)
        if interval < self.evidence_half_life:
            self.mean_outcome_interval += OUTCOME_INTERVAL_WEIGHT * (interval - self.mean_outcome_interval)
        health.add_evidence(now, failure, success, self.evidence_decay_rate)

    def _add_failure(self, health: EndpointHealth, now: float, weight: float, reason: str) -> None:
        """Add an outcome as evidence against an endpoint, and eject or suspect the endpoint if the evidence suffices.

        Args:
            health: The health of the endpoint.
            now: The current time in seconds.
            weight: The weight of the outcome as evidence against the endpoint, from 0 to 1.
            reason: The description of the outcome, for logs and metrics.
        """
        others_failure_rate = self.others_failure_rate(health, now)
        if others_failure_rate >= SHARED_FAILURE_RATE:
            health.add_recent_outcome(now, weight)
            return
        self._add_evidence(health, now, weight, 1.0 - weight)
        if health.status is HealthStatus.EJECTED or len(self.endpoints) < MIN_COMPARABLE_ENDPOINTS:
            return  # a single endpoint can neither be compared with others nor replaced by one
        if self.endpoints.get(health.id) is not health:
            return  # this incarnation is no longer listed as ready
        log_odds = health.unhealthy_log_odds(others_failure_rate)
        if log_odds >= EJECTION_LOG_ODDS and self._may_eject(health):
            self._eject(health, now, reason, others_failure_rate)
        elif log_odds >= SUSPICION_LOG_ODDS and health.status is HealthStatus.HEALTHY:
            self._set_status(health, now, HealthStatus.SUSPECT, reason)

    # Ejection

    def _may_eject(self, health: EndpointHealth) -> bool:
        if health.status is HealthStatus.PROBATION:
            return True
        return self.ejected_count + 1 <= MAX_EJECTED_FRACTION * len(self.endpoints)

    def _eject(self, health: EndpointHealth, now: float, reason: str, others_failure_rate: float) -> None:
        odds = exp(min(health.unhealthy_log_odds(others_failure_rate), MAX_LOG_ODDS_LOGGED))
        healthy_for = now - health.healthy_since
        in_probation = health.status is HealthStatus.PROBATION
        relapsed = in_probation or healthy_for < RELAPSE_WINDOW_RATIO * health.ejection_duration
        health.relapses = min(health.relapses + 1, MAX_RELAPSES) if relapsed else 0
        self.ejections_by_reason[reason] = self.ejections_by_reason.get(reason, 0) + 1
        self._start_ejection(health, now)
        if reason in CONNECTION_LOSSES:  # idle connections may be closed at the other end already
            self.pending_actions.append(CloseIdleConnections(health.id))
        if health.next_health_check_at < now:
            self.health_checks.schedule(health, now)
        evidence = f"{health.failure_weight:.1f} bad and {health.success_weight:.1f} good outcomes"
        duration = f"for {health.ejected_until - now:.1f} s"
        comparison = f"the rest fails at {others_failure_rate:.2f}, odds {odds:.0f}"
        self._set_status(health, now, HealthStatus.EJECTED, f"{reason}, {evidence}, {comparison}, {duration}")

    def _start_ejection(self, health: EndpointHealth, now: float) -> None:
        """Draw the end of an ejection at random; each relapse doubles the mean duration."""
        shortest_duration = PAUSE_RATIO * self.longest_objective
        longest_duration = shortest_duration * 2.0**MAX_RELAPSES
        duration_for_relapses = shortest_duration * 2.0**health.relapses
        duration = max(duration_for_relapses, MIN_OUTCOME_INTERVALS * self.mean_outcome_interval)
        health.ejection_duration = min(longest_duration, duration)
        jitter = self.rng.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
        health.ejected_until = now + health.ejection_duration * jitter

    # Readmission

    def consider_probation(self, health: EndpointHealth, now: float) -> None:
        """Start the probation of an endpoint whose ejection is over, as a request could use it.

        If a health check by this gateway is due, start that instead.  While the result of a check is due, do nothing.
        """
        if health.status is not HealthStatus.EJECTED:
            return
        if now < health.ejected_until or now < health.health_check_deadline:
            return
        if self.health_checks.is_due(health, now):
            self.pending_actions.append(self.health_checks.start(health, now))
        else:
            self._start_probation(health, now, "the pause is over")

    def health_check_ended(self, now: float, event: HealthCheckEnded) -> None:
        """Start the probation after a successful health check, or start a longer ejection after a failed one."""
        health = self.endpoints.get(event.endpoint_id)
        if health is None or not self.health_checks.end(health, now) or health.status is not HealthStatus.EJECTED:
            return
        if event.outcome is Outcome.OK:
            self._start_probation(health, now, "a good probe")
        elif event.outcome is not Outcome.CANCELLED and now >= self.cpu_starved_until:
            health.relapses = min(health.relapses + 1, MAX_RELAPSES)
            self._start_ejection(health, now)
            remaining = health.ejected_until - now
            self._log(now, f"health {health.id}: probe {event.outcome.description}, ejected for {remaining:.1f} s more")

    def _start_probation(self, health: EndpointHealth, now: float, reason: str) -> None:
        health.reset_evidence()
        self._set_status(health, now, HealthStatus.PROBATION, reason)

    def _record_probation_success(self, health: EndpointHealth, now: float) -> None:
        health.probation_successes += 1
        if health.probation_successes >= PROBATION_SUCCESSES:
            health.healthy_since = now
            self._set_status(health, now, HealthStatus.HEALTHY, f"{PROBATION_SUCCESSES} good answers")

    def _recover_if_likely_healthy(self, health: EndpointHealth, now: float) -> None:
        """After a success, end a suspicion or an ejection if the endpoint is no longer likely to be unhealthy.

        An ejected endpoint can succeed with an attempt that was in flight when it was ejected.
        """
        if health.unhealthy_log_odds(self.others_failure_rate(health, now)) >= SUSPICION_LOG_ODDS:
            return
        if health.status is HealthStatus.EJECTED:
            self._start_probation(health, now, "good answers")
        else:
            self._set_status(health, now, HealthStatus.HEALTHY, "good answers")

    # Logs and metrics

    def metrics(self) -> dict[str, int]:
        """Return the current numbers of endpoints by status, and counters since the start of this process."""
        counts = {f"health.{status.value}": 0 for status in HealthStatus}
        for health in self.endpoints.values():
            counts[f"health.{health.status.value}"] += 1
        for reason, count in self.ejections_by_reason.items():
            counts[f"ejections.{reason.replace(' ', '_')}"] = count
        return counts | {
            "ejections": sum(self.ejections_by_reason.values()),
            "probes": self.health_checks.started,
            "odd_reports": self.invalid_load_reports,
        }

    def _set_status(self, health: EndpointHealth, now: float, status: HealthStatus, reason: str) -> None:
        self.ejected_count += (status is HealthStatus.EJECTED) - (health.status is HealthStatus.EJECTED)
        self._log(now, f"health {health.id}: {health.status.value} to {status.value}: {reason}")
        health.status = status
        health.reason = reason

    def _log(self, now: float, text: str) -> None:
        if (message := self._log_limiter.message(now, text)) is not None:
            self.pending_actions.append(message)
