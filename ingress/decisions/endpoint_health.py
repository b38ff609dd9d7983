"""The health of one endpoint: its status, and the evidence that its outcomes give for and against it."""

from __future__ import annotations

from enum import Enum
from math import exp, inf, log

from ingress.decisions.handover_state import EndpointHealthState

EVIDENCE_RETENTION_RATIO = 0.93  # each outcome decays older evidence by this factor: about the last fourteen count
RECENT_OUTCOME_WEIGHT = 0.3  # the weight of the newest outcome in the recent failure rate
PRIOR_LOG_ODDS = log(1 / 19)  # assumes that one endpoint in twenty is unhealthy
PROBATION_PRIOR_LOG_ODDS = 1.0  # an endpoint on probation was ejected before, so it is likely unhealthy
UNHEALTHY_MIN_FAILURE_RATE = 0.3
UNHEALTHY_MAX_FAILURE_RATE = 0.95
UNHEALTHY_FAILURE_FACTOR = 4.0  # an unhealthy endpoint fails this many times as often as the others


class HealthStatus(Enum):
    """The health status of an endpoint: an ejected one gets no new attempts, one on probation only a few.

    The values appear in logs, metrics and handover messages.
    """

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBATION = "trial"


class EndpointHealth:
    """The health of one incarnation of an endpoint, as this gateway estimates it.

    Evidence is counted in outcomes, and decays with time and with each new outcome.  Times are in seconds on the
    gateway's clock; -inf means never.

    Attributes:
        id: The ID of the endpoint.
        started_at: The start time of the incarnation, as given in the endpoint list.
        failure_weight: The decayed number of outcomes that count against the endpoint.
        success_weight: The decayed number of outcomes that count for the endpoint.
        recent_failure_rate: The share of failures in the last few outcomes.
        last_outcome_at: The time of the last outcome.
        status: The health status.
        reason: The reason for the last change of status.
        ejected_until: The time at which the ejection ends.
        paused_until: The time until which no attempts are sent, because the endpoint rejected attempts or connections.
        relapses: The number of consecutive relapses: ejections on probation or soon after the previous ejection, and
            failed health checks.
        ejection_duration: The mean duration of the last ejection in seconds, before jitter.
        healthy_since: The time at which the last probation succeeded.
        probation_successes: The number of successes in the current probation.
        consecutive_rejections: The number of consecutive attempts that the endpoint rejected.
        next_health_check_at: The earliest time of the next health check by this gateway.
        health_check_deadline: The time until which the result of a running health check counts; -inf if no check runs.
    """

    def __init__(self, endpoint_id: str, started_at: float) -> None:
        self.id = endpoint_id
        self.started_at = started_at
        self.failure_weight = 0.0
        self.success_weight = 0.0
        self.recent_failure_rate = 0.0
        self.last_outcome_at = -inf
        self.status = HealthStatus.HEALTHY
        self.reason = ""
        self.ejected_until = 0.0
        self.paused_until = 0.0
        self.relapses = 0
        self.ejection_duration = 0.0
        self.healthy_since = -inf
        self.probation_successes = 0
        self.consecutive_rejections = 0
        self.next_health_check_at = -inf
        self.health_check_deadline = -inf

    def add_evidence(self, now: float, failure: float, success: float, decay_rate: float) -> None:
        """Decay the older evidence, then add an outcome.

        Args:
            now: The current time in seconds.
            failure: The weight of the outcome as evidence against the endpoint, from 0 to 1.
            success: The weight of the outcome as evidence for the endpoint, from 0 to 1.
            decay_rate: The exponential decay rate of evidence per second, a negative number.
        """
        elapsed = max(0.0, now - self.last_outcome_at)
        retained = EVIDENCE_RETENTION_RATIO * exp(decay_rate * elapsed)
        self.failure_weight = self.failure_weight * retained + failure
        self.success_weight = self.success_weight * retained + success
        self.add_recent_outcome(now, failure)

    def add_recent_outcome(self, now: float, failure: float) -> None:
        """Add an outcome to the recent failure rate only, not to the evidence."""
        self.recent_failure_rate += RECENT_OUTCOME_WEIGHT * (failure - self.recent_failure_rate)
        self.last_outcome_at = now

    def reset_evidence(self) -> None:
        """Discard all evidence at the start of a probation."""
        self.failure_weight = 0.0
        self.success_weight = 0.0
        self.recent_failure_rate = 0.0
        self.probation_successes = 0
        self.consecutive_rejections = 0
        self.health_check_deadline = -inf
        self.paused_until = 0.0

    def unhealthy_log_odds(self, others_failure_rate: float) -> float:
        """Return the log-odds that the endpoint is unhealthy.

        Bayes' rule weighs two hypotheses: a healthy endpoint fails at `others_failure_rate`, an unhealthy one several
        times as often.
        """
        unhealthy_rate = max(UNHEALTHY_MIN_FAILURE_RATE, UNHEALTHY_FAILURE_FACTOR * others_failure_rate)
        unhealthy_rate = min(UNHEALTHY_MAX_FAILURE_RATE, unhealthy_rate)
        prior = PROBATION_PRIOR_LOG_ODDS if self.status is HealthStatus.PROBATION else PRIOR_LOG_ODDS
        if unhealthy_rate <= others_failure_rate:
            return prior
        failure_evidence = self.failure_weight * log(unhealthy_rate / others_failure_rate)
        success_evidence = self.success_weight * log((1 - unhealthy_rate) / (1 - others_failure_rate))
        return prior + failure_evidence + success_evidence

    def avoided(self, now: float, in_flight: int) -> bool:
        """Return whether the endpoint gets no new attempts while `in_flight` attempts are in flight.

        On probation, at most one attempt more than the number of successes so far may be in flight.
        """
        probation_full = self.status is HealthStatus.PROBATION and in_flight > self.probation_successes
        return now < self.paused_until or self.status is HealthStatus.EJECTED or probation_full

    def attempts_per_success(self) -> float:
        """Estimate the mean number of attempts needed for one success."""
        return 1.0 + self.failure_weight / (self.success_weight + 1.0)

    def snapshot(self) -> EndpointHealthState:
        """Return the state for another process of this gateway.

        A time of -inf (never) is written as 0, because handover messages can't represent infinity.
        """
        return EndpointHealthState(
            started_at=self.started_at,
            failure_weight=self.failure_weight,
            success_weight=self.success_weight,
            recent_failure_rate=self.recent_failure_rate,
            last_outcome_at=max(self.last_outcome_at, 0.0),
            state=self.status.value,
            reason=self.reason,
            ejected_until=self.ejected_until,
            paused_until=self.paused_until,
            relapses=self.relapses,
            ejection_duration=self.ejection_duration,
            healthy_since=max(self.healthy_since, 0.0),
            probation_successes=self.probation_successes,
            consecutive_rejections=self.consecutive_rejections,
        )

    def restore(self, state: EndpointHealthState) -> None:
        """Restore the state that another process of this gateway recorded."""
        self.failure_weight = state.failure_weight
        self.success_weight = state.success_weight
        self.recent_failure_rate = state.recent_failure_rate
        self.last_outcome_at = state.last_outcome_at
        self.status = HealthStatus(state.state)
        self.reason = state.reason
        self.ejected_until = state.ejected_until
        self.paused_until = state.paused_until
        self.relapses = state.relapses
        self.ejection_duration = state.ejection_duration
        self.healthy_since = state.healthy_since
        self.probation_successes = state.probation_successes
        self.consecutive_rejections = state.consecutive_rejections
