"""Reader of a long body that a client sends in chunks, with its timeouts."""

from __future__ import annotations

from ingress.protocols.resp import CRLF
from ingress.server.response_slot import ResponseSlot

CHUNK_TIMEOUT = 2.5  # Seconds allowed between two chunks, and before the minimum rate is enforced.
MIN_BYTES_PER_SECOND = 4096  # Minimum mean rate of a body, not counting the time for which reading is paused.


class UploadReader:
    """Reads one body, including the CRLF after it.

    Attributes:
        slot: The response slot of the request.
        bytes_left: The bytes of the body and its CRLF that have not been received.
        is_paused: Whether reading is paused because no further chunk can be forwarded.
        received_at: The time at which the last chunk was received, or reading was last paused or resumed.
        rate_deadline: The time by which the next byte must arrive to meet the minimum rate; while reading is paused,
            the seconds that are left until then.
    """

    __slots__ = ("_tail", "bytes_left", "is_paused", "rate_deadline", "received_at", "slot")

    def __init__(self, slot: ResponseSlot, size: int, now: float) -> None:
        self.slot = slot
        self.bytes_left = size + len(CRLF)
        self.is_paused = False
        self.received_at = now
        self.rate_deadline = now + CHUNK_TIMEOUT
        self._tail = b""

    def take_chunk(self, data: bytes, now: float) -> bytes:
        """Return the part of `data` that belongs to the body, and count it as received."""
        chunk = data[: self.bytes_left]
        self.bytes_left -= len(chunk)
        self.received_at = now
        self.rate_deadline += len(chunk) / MIN_BYTES_PER_SECOND
        self._tail = (self._tail + chunk)[-len(CRLF) :]
        return chunk

    def is_terminated(self) -> bool:
        """Report whether CRLF follows the body at its declared size, once all of it is received."""
        return self._tail == CRLF

    def set_paused(self, is_paused: bool, now: float) -> None:
        """Stop or restart the timeouts: the time that a client waits for this process does not count against it."""
        if is_paused is not self.is_paused:
            self.received_at = now
            self.rate_deadline += -now if is_paused else now
        self.is_paused = is_paused

    def is_overdue(self, now: float) -> bool:
        """Report whether the client sends too slowly."""
        return not self.is_paused and (now - self.received_at > CHUNK_TIMEOUT or now > self.rate_deadline)
