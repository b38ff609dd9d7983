"""The clock of a process: Unix time, read once and then advanced by the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]

MS_PER_SECOND = 1000


def unix_clock() -> Clock:
    """Return a clock of Unix time in seconds.

    Later changes of the system clock do not affect it. It counts Unix time because the start times of endpoints and the
    names of counters must mean the same in every gateway.
    """
    monotonic = time.monotonic
    offset = time.time() - monotonic()
    return lambda: monotonic() + offset
