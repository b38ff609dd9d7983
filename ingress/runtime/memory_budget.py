"""The memory budget of requests and responses, shared by all processes of an ingress."""

from __future__ import annotations

USABLE_RATIO = 0.8  # the usable part of the limit: allocators hold more memory than is in use
PROCESS_BASE_BYTES = 20 << 20  # the memory of a process without requests
MIN_CAPACITY_BYTES = 2 << 20  # granted even if the limit leaves less
MAX_STREAM_WINDOW = 64 << 10  # the largest window of a streamed value in bytes
MIN_STREAM_WINDOW = 2 << 10  # the smallest window in bytes, used when memory is short
WINDOWS_PER_STREAM = 2


class MemoryBudget:
    """Counts the memory of commands and of streamed values, in bytes.

    A streamed value uses two windows: one for data that was read, one for data that is being written.

    Attributes:
        limit: The limit of all processes of the ingress together.
        process_count: The number of processes of the ingress.
        used_elsewhere: The memory that the other processes use.
        command_bytes: The size of the commands in this process.
        streaming_responses: The number of long values that are being forwarded to clients.
        streaming_uploads: The number of long values that are being forwarded to endpoints.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.process_count = 1
        self.used_elsewhere = 0
        self.command_bytes = 0
        self.streaming_responses = 0
        self.streaming_uploads = 0

    def capacity(self) -> int:
        """Return how many bytes this process may use."""
        usable = int(self.limit * USABLE_RATIO) - PROCESS_BASE_BYTES * self.process_count - self.used_elsewhere
        return max(MIN_CAPACITY_BYTES, usable)

    def stream_window(self) -> int:
        """Return how many bytes of each streamed value may be read and not yet written."""
        streams = max(1, self.streaming_responses + self.streaming_uploads)
        equal_window = (self.capacity() - self.command_bytes) // (WINDOWS_PER_STREAM * streams)
        return min(MAX_STREAM_WINDOW, max(MIN_STREAM_WINDOW, equal_window))

    def used(self) -> int:
        """Return how many bytes this process uses."""
        streams = self.streaming_responses + self.streaming_uploads
        return self.command_bytes + WINDOWS_PER_STREAM * streams * self.stream_window()

    def fits(self, size: int) -> bool:
        """Report whether a command of `size` bytes fits if all streamed values shrink to the smallest window."""
        streams = self.streaming_responses + self.streaming_uploads
        return self.command_bytes + size + WINDOWS_PER_STREAM * streams * MIN_STREAM_WINDOW <= self.capacity()
