"""Loopback addresses for the processes of this run: stable across restarts and distinct from those of other runs."""

from __future__ import annotations

import ipaddress
import os

MOST = 1024
FIRST = ipaddress.IPv4Address("127.64.0.0")
PLAYS = 8192  # one block of addresses per run, up to 127.191.255.255


def loopback(number: int) -> str:
    """Return the address of a process by its number, counted from 0.

    Raises:
        ValueError: The number is negative or not below the number of addresses of a run.
    """
    if not 0 <= number < MOST:
        raise ValueError(f"process number {number} has no address; expected 0 to {MOST - 1}")
    return str(FIRST + os.getpid() % PLAYS * MOST + number)
