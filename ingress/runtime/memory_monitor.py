"""Logs while a process uses more memory than a lowered limit allows."""

from __future__ import annotations

import asyncio

from ingress.runtime.logs import INGRESS_LOG
from ingress.runtime.memory_budget import MemoryBudget

CHECK_INTERVAL = 0.2  # seconds between two checks while the limit is exceeded


class MemoryMonitor:
    """Logs when new requests are rejected because of a lowered limit, and when they are accepted again."""

    def __init__(self, name: str, budget: MemoryBudget) -> None:
        self.name = name
        self.budget = budget
        self.loop = asyncio.get_running_loop()

    def check(self, was_over_limit: bool = False) -> None:
        """Log a change of the state, and check again later as long as the limit is exceeded."""
        over_limit = self.budget.used() > self.budget.capacity()
        if over_limit is not was_over_limit:
            INGRESS_LOG.info(
                "%s uses %d bytes of memory, its limit is %d: new requests are %s",
                self.name,
                self.budget.used(),
                self.budget.capacity(),
                "rejected" if over_limit else "accepted again",
            )
        if over_limit:
            self.loop.call_later(CHECK_INTERVAL, self.check, True)
