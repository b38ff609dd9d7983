"""Readings of the clocks from which the age of a checkpoint is computed."""

from __future__ import annotations

import time
from pathlib import Path

from msgspec import Struct

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class ClockReadings(Struct, frozen=True):
    """The readings of all clocks at one moment.

    Attributes:
        boot_id: The id of the machine's current boot, which differs after each boot.
        since_boot: The seconds since the machine booted, including time in suspend.
        now: The time of the decision module's clock, in seconds of Unix time.
    """

    boot_id: str
    since_boot: float
    now: float


def read_clocks(now: float) -> ClockReadings:
    """Read the machine's clocks; `now` is the time of the decision module's clock."""
    return ClockReadings(read_boot_id(), seconds_since_boot(), now)


def read_boot_id() -> str:
    """Read the id of the machine's current boot."""
    return BOOT_ID_PATH.read_text(encoding="ascii").strip()


def seconds_since_boot() -> float:
    """Return the seconds since the machine booted, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
