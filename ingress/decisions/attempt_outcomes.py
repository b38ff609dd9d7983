"""Records the outcomes of attempts in the load, latency and health of their endpoints."""

from __future__ import annotations

from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.cluster import Cluster
from ingress.decisions.endpoint import Outcome
from ingress.decisions.endpoint_state import TrackedEndpoint
from ingress.decisions.events import AttemptEnded
from ingress.decisions.settings import Settings

# An attempt without a response counts as a failure of its endpoint only if it was in flight for at least this ratio of
# the longest latency objective, less the timer resolution.
MIN_TIME_TO_RESPOND_RATIO = 0.5
# Outcomes of attempts that may have reached the endpoint, but ended before it had responded.
UNANSWERED_OUTCOMES = frozenset((Outcome.TIMEOUT, Outcome.CANCELLED))


class OutcomeRecorder:
    """Adds outcomes to the load, latency and health of endpoints.

    Outcomes of an earlier incarnation of an endpoint do not affect the health of the current one, but its latency and
    concurrency limit.
    """

    def __init__(self, settings: Settings, cluster: Cluster) -> None:
        self._timer_resolution = settings.timer_resolution
        self._cluster = cluster

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._timer_resolution = settings.timer_resolution

    def record_response(self, now: float, request: InFlightRequest, endpoint: TrackedEndpoint, latency: float) -> None:
        """Record a response after `latency` seconds; one after the latency objective counts as a partial failure."""
        request_class = request.request_class
        objective = request_class.latency_objective
        endpoint.record_latency(now, latency, self._cluster.latencies.mean_latency(request_class), objective)
        if now - latency >= endpoint.tracked_since:
            is_late = latency > objective
            self._cluster.outliers.record_success(endpoint.health, now, is_late)
        self._cluster.record_response(endpoint, request, latency, now)

    def record_failure(
        self, now: float, request: InFlightRequest, endpoint: TrackedEndpoint, event: AttemptEnded, sent_at: float
    ) -> None:
        """Record an attempt that failed at its endpoint.

        A timeout also counts as a slow response, and a rejection at high latency as overload.  Where there was no
        response, the attempt counts as a failure of the endpoint only if it had time to respond: a client that waits
        for a moment only, or that disconnects, gives no information about the endpoint.

        Args:
            now: The current time in seconds.
            request: The request of the attempt.
            endpoint: The endpoint that the attempt was sent to.
            event: The event with the outcome of the attempt.
            sent_at: The time in seconds when the attempt was sent.
        """
        outcome = event.outcome
        outliers = self._cluster.outliers
        latencies = self._cluster.latencies
        silent = endpoint.last_response_at < sent_at
        if outcome is Outcome.TIMEOUT:
            # The timeout is due at the deadline; if it comes much later, this process got no CPU time.
            outliers.record_timer_delay(now, now - request.deadline)
            objective = request.request_class.latency_objective
            mean = latencies.mean_latency(request.request_class)
            endpoint.record_latency(now, max(event.latency, objective), mean, objective)
        elif outcome is Outcome.REJECTED:
            endpoint.record_rejection(now, latencies.longest_objective)
        had_time = now - sent_at >= MIN_TIME_TO_RESPOND_RATIO * latencies.longest_objective - self._timer_resolution
        if sent_at < endpoint.tracked_since or (outcome in UNANSWERED_OUTCOMES and not had_time):
            return
        if outcome not in UNANSWERED_OUTCOMES and outcome is not Outcome.CONNECT_FAILED:
            endpoint.last_response_at = now
        outliers.record_failure(endpoint.health, now, outcome, silent)
