"""Measures the resident memory of a process, and keeps what peers and customers make it hold below the limit."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

from ingress.decisions.events import CustomerLimitChanged, Event
from ingress.runtime.logs import INGRESS_LOG
from ingress.runtime.memory_budget import MemoryBudget
from ingress.runtime.resident_memory import ResidentMemory

MEASURE_INTERVAL_S = 0.02
RELEASE_INTERVAL_S = 0.2  # between two returns of unused memory to the system
MIN_RELEASABLE_BYTES = 1 << 20  # less than this is not worth a return
COLLECT_INTERVAL_S = 1.0  # between two garbage collections while the reserve is in use
CUSTOMER_BYTES = 1024  # of one customer, with its buckets and what the allocator adds
CUSTOMER_RATIO = 0.3  # the part of the memory above the size at the start that customers may take
MIN_CUSTOMERS = 256


class MemoryMeter:
    """Measures the memory of this process regularly.

    Attributes:
        name: The name of the process in the log.
        budget: The budget, whose size follows from the measurements.
        memory: The resident memory of the process.
        make_room: Closes connections while the reserve is in use.
        feed: Passes an event to the gateway.
        loop: The event loop.
        base: The resident memory at the start, in bytes.
        max_customers: The number of customers that the gateway may track; None before the first measurement.
        was_short: Whether the reserve was in use at the last measurement.
        released_at: The time at which unused memory was last returned.
        collected_at: The time at which garbage was last collected.
        timer: The timer of the next measurement.
    """

    def __init__(
        self,
        name: str,
        budget: MemoryBudget,
        memory: ResidentMemory,
        make_room: Callable[[], None],
        feed: Callable[[Event], None],
    ) -> None:
        self.name = name
        self.budget = budget
        self.memory = memory
        self.make_room = make_room
        self.feed = feed
        self.loop = asyncio.get_running_loop()
        self.base = 0
        self.max_customers: int | None = None
        self.was_short = False
        self.released_at = 0.0
        self.collected_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Return what the start does not need any more, and begin to measure; without an effect if that fails."""
        gc.collect()
        gc.freeze()
        self.memory.release_unused()
        resident = self.memory.read()
        if resident is None:
            INGRESS_LOG.warning("%s: the system does not report the memory of a process; it is assumed", self.name)
            return
        self.base = resident
        self._measure()

    def close(self) -> None:
        """Stop to measure."""
        if self.timer is not None:
            self.timer.cancel()

    def _measure(self) -> None:
        self.timer = self.loop.call_later(MEASURE_INTERVAL_S, self._measure)
        resident = self.memory.read()
        if resident is None:
            return
        if self._may_release(resident):
            self._release()
            resident = self.memory.read() or resident
        self.budget.set_resident(resident)
        self._limit_customers()
        self._handle_shortage()

    def _may_release(self, resident: int) -> bool:
        """Report whether the allocator may hold much that is not in use."""
        unused = resident - self.base - self.budget.used()
        return unused > MIN_RELEASABLE_BYTES and self.loop.time() - self.released_at > RELEASE_INTERVAL_S

    def _release(self) -> None:
        now = self.loop.time()
        if self.was_short and now - self.collected_at > COLLECT_INTERVAL_S:
            gc.collect()
            self.collected_at = now
        self.memory.release_unused()
        self.released_at = self.loop.time()

    def _limit_customers(self) -> None:
        """Let the gateway track as many customers as their part of the memory allows."""
        available = self.budget.limit // self.budget.process_count - self.base
        max_customers = max(MIN_CUSTOMERS, int(CUSTOMER_RATIO * available) // CUSTOMER_BYTES)
        if max_customers != self.max_customers:
            self.max_customers = max_customers
            self.feed(CustomerLimitChanged(max_customers))

    def _handle_shortage(self) -> None:
        """Close connections while the reserve is in use, and log when that begins and ends."""
        is_short = self.budget.is_short()
        if is_short:
            self.make_room()
        if is_short is not self.was_short:
            self.was_short = is_short
            INGRESS_LOG.warning(
                "%s holds %d bytes, of which %d are counted for peers, its limit is %d: %s",
                self.name,
                self.budget.resident,
                self.budget.used(),
                self.budget.limit,
                "closing connections" if is_short else "enough is free again",
            )
