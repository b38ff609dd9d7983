"""The resident memory of this process, as the system counts it."""

from __future__ import annotations

import ctypes
import os
from pathlib import Path

STATM_PATH = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of the fields of /proc/self/statm, in pages


class ResidentMemory:
    """Reads the resident memory of this process, and returns to the system what the allocator does not use.

    Attributes:
        page_bytes: The size of a page.
        library: The C library, whose allocator the interpreter and its extensions use.
    """

    def __init__(self) -> None:
        self.page_bytes = os.sysconf("SC_PAGE_SIZE")
        self.library = ctypes.CDLL(None)

    def read(self) -> int | None:
        """Return the resident memory in bytes; None if the system does not report it."""
        try:
            return int(STATM_PATH.read_bytes().split()[RESIDENT_FIELD]) * self.page_bytes
        except (OSError, ValueError, IndexError):
            return None

    def release_unused(self) -> None:
        """Return unused pages to the system; without an effect where the C library can't."""
        trim = getattr(self.library, "malloc_trim", None)
        if trim is not None:
            trim(0)
