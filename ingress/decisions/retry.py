"""Retries: when one more attempt is worth the load it causes.

A retry or hedge is sent only if all three conditions hold: there is time for an answer before the deadline, the retry
budget has an attempt left, and the saturation is below a limit.  Retries during congestion would make it worse.
Whether one more attempt is safe is a separate rule: `InFlightRequest.may_attempt`.
"""

from __future__ import annotations

from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.cluster import Cluster

RETRY_BUDGET_RATIO = 0.15  # the average number of retries and hedges that one first attempt pays for
RETRY_BUDGET_CAPACITY_ATTEMPTS = 10.0
INITIAL_RETRY_BUDGET_ATTEMPTS = 1.0


class RetryBudget:
    """The budget that limits retries and hedges together to a share of the first attempts.

    Attributes:
        level: The number of attempts that may be sent in addition to first attempts.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.level = INITIAL_RETRY_BUDGET_ATTEMPTS
        self._cluster = cluster

    def deposit(self) -> None:
        """Add the share of a retry that a first attempt pays for."""
        self.level = min(RETRY_BUDGET_CAPACITY_ATTEMPTS, self.level + RETRY_BUDGET_RATIO)

    def withdraw(self) -> None:
        """Take one attempt, for a retry or hedge that was sent."""
        self.level -= 1.0

    def allows(self, now: float, request: InFlightRequest, max_saturation: float) -> bool:
        """Return whether a retry or hedge is worth the load it causes.

        Args:
            now: The current time in seconds.
            request: The request, whose deadline must leave time for an answer of mean latency.
            max_saturation: The limit for `LoadShedder.saturation`: 0 for a retry, lower for a hedge, which may turn out
                to be unnecessary.
        """
        cluster = self._cluster
        in_time = now + cluster.latencies.mean_latency(request.request_class) < request.deadline
        return in_time and self.level >= 1 and cluster.load_shedder.saturation(now) < max_saturation
