"""Hedging: when a second attempt is sent in parallel to an unanswered first one.

An endpoint that accepts a request and never answers would delay it until its deadline.  The first attempt continues
alongside the hedge, because it may still be answered.  Hedges are limited by the same budget as retries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from msgspec import Struct

from ingress.decisions.actions import SetTimer
from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.timers import TimerToken

# The delay of a hedge, as a ratio of the longest latency objective; it leaves time for an answer to the hedge.
HEDGE_DELAY_RATIO = 0.5
HEDGE_MAX_SATURATION = -0.4  # below this there is capacity for an attempt that may turn out to be unnecessary
# Hedges that are answered first more often than this are necessary, and may use capacity up to the limit for retries.
NECESSARY_HEDGE_WIN_RATE = 0.75
INITIAL_HEDGE_WIN_RATE = 0.5
HEDGE_WIN_RATE_SMOOTHING = 0.15  # the weight of the newest hedge in a moving average over about the last dozen


class HedgeCandidate(Struct, frozen=True):
    """A request that may be hedged at the time `due_at`, in seconds."""

    due_at: float
    request: InFlightRequest


class Hedging:
    """The schedule of hedges.

    Attributes:
        candidates: The requests whose first attempt was sent, in the order in which their hedges are due; answered
            requests stay until then.
        win_rate: The share of hedges that were answered before the first attempt, as a moving average.
        timer_running: Whether a timer is set for the first candidate.
        timer_due_at: The time in seconds at which that timer is due.
    """

    def __init__(self) -> None:
        self.candidates: deque[HedgeCandidate] = deque()
        self.win_rate = INITIAL_HEDGE_WIN_RATE
        self.timer_running = False
        self.timer_due_at = 0.0

    def schedule(self, now: float, request: InFlightRequest, longest_latency_objective: float) -> SetTimer | None:
        """Add a request whose first attempt is sent now; return the timer to set, or None if one is already running."""
        delay = HEDGE_DELAY_RATIO * longest_latency_objective
        self.candidates.append(HedgeCandidate(now + delay, request))
        return None if self.timer_running else self._set_timer(now, delay)

    def _set_timer(self, now: float, delay: float) -> SetTimer:
        self.timer_running = True
        self.timer_due_at = now + delay
        return SetTimer(delay, TimerToken.HEDGE)

    def pop_due(self, now: float, timer_resolution: float) -> Iterator[InFlightRequest]:
        """Remove the first candidates that are due or have no attempt in flight; yield those that may be hedged.

        A response that has started can't be replaced by another attempt.
        """
        candidates = self.candidates
        while candidates and (candidates[0].due_at <= now + timer_resolution or not candidates[0].request.in_flight):
            request = candidates.popleft().request
            has_one_attempt = not request.finished and len(request.in_flight) == 1
            is_unanswered = has_one_attempt and request.streaming_attempt is None
            if is_unanswered and not request.customer.concurrency.reached():
                yield request

    def next_timer(self, now: float) -> SetTimer | None:
        """Return the timer to set for the first remaining candidate, or None if there is none."""
        self.timer_running = False
        if not self.candidates:
            return None
        return self._set_timer(now, self.candidates[0].due_at - now)

    def max_saturation(self) -> float:
        """Return the saturation from which on no hedge is sent: a low one, unless hedges have proved necessary."""
        return 0.0 if self.win_rate > NECESSARY_HEDGE_WIN_RATE else HEDGE_MAX_SATURATION

    def record_winner(self, hedge_won: bool) -> None:
        """Update the win rate with whether the hedge was answered before the first attempt."""
        self.win_rate += HEDGE_WIN_RATE_SMOOTHING * (hedge_won - self.win_rate)
