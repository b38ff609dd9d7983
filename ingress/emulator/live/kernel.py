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
        began: The time of the event loop at the start of the run.
        events: The number of timed calls that were made.
        late: The delays of timed calls after their scheduled times.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.events = 0
        self.stopped = False
        self.late = Latencies()
        self._lags: deque[tuple[float, float]] = deque()  # time and delay of the last calls
        self._set: float | None = None
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._made = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def now(self) -> float:
        """The time in seconds since the start of the run, or that for which the current call was scheduled."""
        return self.loop.time() - self.began if self._set is None else self._set

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for a time."""
        self._made += 1
        heapq.heappush(self._heap, (when, self._made, call, args))
        if self._set is None:
            self._arm()

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)` for `delay` seconds from now."""
        self.at(self.now + delay, call, *args)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if self._heap and not self.stopped:
            self._timer = self.loop.call_at(self.began + self._heap[0][0], self._run)

    def _run(self) -> None:
        self._timer = None
        try:
            while self._heap and not self.stopped:
                clock = self.loop.time() - self.began
                if self._heap[0][0] > clock:
                    break
                when, _, call, args = heapq.heappop(self._heap)
                self.late.add(clock - when)
                self._lags.append((clock, clock - when))
                self.events += 1
                self._set = when
                call(*args)
        finally:
            self._set = None
            self._arm()

    def lag(self) -> float:
        """Return the greatest delay in seconds of a timed call within the last second."""
        clock = self.loop.time() - self.began
        while self._lags and self._lags[0][0] < clock - LAG_WINDOW_S:
            self._lags.popleft()
        return max((late for _, late in self._lags), default=0.0)

    def stop(self) -> None:
        """Stop the clock and drop all scheduled calls."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._heap.clear()
