"""The clock and timers of the simulation kernel on the real clock.

While a timed call runs, `now` is the time for which it was scheduled, however late the event loop runs it: the latency
of a request that is sent late counts from the time at which it was due, and the delay of the load generator itself is
measured.
"""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

from ingress.emulator.measure import Latencies

LAG_WINDOW_S = 1.0


class RealKernel:
    """A real-time counterpart of `ingress.emulator.kernel.Kernel`; times are in seconds since the start of the run.

    Attributes:
        started_at: The time of the event loop at the start of the run.
        events: The number of timed calls that were made.
        delays: The delays of timed calls after their scheduled times.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.events = 0
        self.stopped = False
        self.delays = Latencies()
        self._recent_delays: deque[tuple[float, float]] = deque()  # time and delay of the last calls
        self._scheduled_time: float | None = None
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._call_count = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def now(self) -> float:
        """The time in seconds since the start of the run, or that for which the current call was scheduled."""
        return self.loop.time() - self.started_at if self._scheduled_time is None else self._scheduled_time

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for a time."""
        self._call_count += 1
        heapq.heappush(self._heap, (when, self._call_count, call, args))
        if self._scheduled_time is None:
            self._arm()

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for `delay` seconds from now."""
        self.at(self.now + delay, call, *args)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if self._heap and not self.stopped:
            self._timer = self.loop.call_at(self.started_at + self._heap[0][0], self._run)

    def _run(self) -> None:
        self._timer = None
        try:
            while self._heap and not self.stopped:
                now = self.loop.time() - self.started_at
                if self._heap[0][0] > now:
                    break
                when, _, call, args = heapq.heappop(self._heap)
                self.delays.add(now - when)
                self._recent_delays.append((now, now - when))
                self.events += 1
                self._scheduled_time = when
                call(*args)
        finally:
            self._scheduled_time = None
            self._arm()

    def lag(self) -> float:
        """Return the greatest delay in seconds of a timed call within the last second."""
        now = self.loop.time() - self.started_at
        while self._recent_delays and self._recent_delays[0][0] < now - LAG_WINDOW_S:
            self._recent_delays.popleft()
        return max((delay for _, delay in self._recent_delays), default=0.0)

    def stop(self) -> None:
        """Stop the clock and drop all scheduled calls."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._heap.clear()
