"""Loopback addresses for the processes of this run.

They are stable across restarts of a process, and distinct from those of other runs on the machine unless the process
IDs of both emulators are equal modulo the number of blocks.
"""

from __future__ import annotations

import ipaddress
import os

ADDRESSES_PER_RUN = 1024
FIRST_ADDRESS = ipaddress.IPv4Address("127.64.0.0")
BLOCK_COUNT = 8192  # one block of addresses per run, up to 127.191.255.255


def loopback_address(number: int) -> str:
    """Return the address of a process by its number, counted from 0.

    Raises:
        ValueError: The number is negative or not below the number of addresses of a run.
    """
    if not 0 <= number < ADDRESSES_PER_RUN:
        raise ValueError(f"process number {number} has no address; expected 0 to {ADDRESSES_PER_RUN - 1}")
    return str(FIRST_ADDRESS + os.getpid() % BLOCK_COUNT * ADDRESSES_PER_RUN + number)
