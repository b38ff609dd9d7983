"""The lag of the event loop, measured as the delay of the timers of a regular sweep."""

from __future__ import annotations

from collections import deque

MAX_SAMPLES = 25  # the sweeps of the last ten seconds
US_PER_SECOND = 1e6


class LoopLag:
    """The delays of the most recent sweeps; a blocked event loop delays its next sweep.

    Attributes:
        delays: The delays of the last sweeps, in seconds.
        expected_at: The time at which the next sweep is due; None before the first one.
    """

    def __init__(self) -> None:
        self.delays: deque[float] = deque([0.0], maxlen=MAX_SAMPLES)
        self.expected_at: float | None = None

    def record_sweep(self, now: float, next_at: float) -> None:
        """Record that a sweep runs now, and the time at which the next one is due."""
        if self.expected_at is not None:
            self.delays.append(max(0.0, now - self.expected_at))
        self.expected_at = next_at

    def metrics(self) -> dict[str, int]:
        """Return the longest and the mean delay of the recent sweeps, in microseconds."""
        return {
            "loop.longest_us": round(US_PER_SECOND * max(self.delays)),
            "loop.mean_us": round(US_PER_SECOND * sum(self.delays) / len(self.delays)),
        }
