"""Congestion: estimates the mean time for which attempts are open.

By Little's law, it is the mean number of open attempts divided by the rate at which attempts are sent.  The estimate
indicates congestion before any response arrives, and needs few attempts.
"""

from __future__ import annotations

from math import exp

from msgspec import Struct

from ingress.decisions.endpoint_state import TARGET_LATENCY_RATIO, AttemptId

CONGESTION_START_RATIO = 0.2  # a share of the latency objective: above this mean open time, shedding starts
CONGESTION_FULL_RATIO = 0.45  # a share of the latency objective: above this mean open time, all load is shed
AVERAGING_WINDOW_S = 3.0  # long enough for several responses, even at one of hundreds of gateways
NEVER_UPDATED_AT = -1e18  # finite, because a difference of two infinite times is not a number
MAX_DECAY_S = 100 * AVERAGING_WINDOW_S  # the remaining weight is negligible after this time


class _OpenAttempt(Struct, frozen=True, gc=False):
    """An open attempt.

    Attributes:
        counts_until: The time in seconds until which the attempt counts as open.
        weight: The inverse of the latency objective, per second.
    """

    counts_until: float
    weight: float


class CongestionEstimate:
    """The running mean of the time for which attempts are open.

    While no attempts are sent, the estimate returns to its initial value.
    """

    def __init__(self) -> None:
        self._open_attempts: dict[AttemptId, _OpenAttempt] = {}
        self._open_time = TARGET_LATENCY_RATIO  # the decayed sum over all attempts, in latency objectives
        self._attempts_sent = 1.0
        self._updated_at = NEVER_UPDATED_AT

    def attempt_started(self, attempt_id: AttemptId, objective: float, now: float) -> None:
        """Record that an attempt is sent.

        The attempt counts for no longer than the mean open time of full congestion, because a few endpoints that
        never respond are no congestion.

        Args:
            attempt_id: The ID of the attempt.
            objective: The latency objective of the request's class in seconds.
            now: The current time in seconds.
        """
        self.mean_open_time(now)
        self._attempts_sent += 1.0
        self._open_attempts[attempt_id] = _OpenAttempt(now + CONGESTION_FULL_RATIO * objective, 1 / objective)

    def attempt_ended(self, attempt_id: AttemptId, now: float) -> None:
        """Record the end of an attempt."""
        self.mean_open_time(now)
        self._open_attempts.pop(attempt_id, None)

    def mean_open_time(self, now: float) -> float:
        """Return the mean time for which attempts are open, as a share of the latency objective."""
        self._drop_expired(now)
        retained = exp(-min(now - self._updated_at, MAX_DECAY_S) / AVERAGING_WINDOW_S)
        open_weight = sum(attempt.weight for attempt in self._open_attempts.values())
        steady_open_time = open_weight * AVERAGING_WINDOW_S + TARGET_LATENCY_RATIO
        self._open_time = self._open_time * retained + steady_open_time * (1 - retained)
        self._attempts_sent = self._attempts_sent * retained + (1 - retained)
        self._updated_at = now
        return self._open_time / self._attempts_sent

    def _drop_expired(self, now: float) -> None:
        while self._open_attempts:
            oldest_id = next(iter(self._open_attempts))
            if self._open_attempts[oldest_id].counts_until >= now:
                return
            del self._open_attempts[oldest_id]
