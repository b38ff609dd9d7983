"""Response slots, which keep the responses of a connection in the order of its commands."""

from __future__ import annotations

from typing import Protocol

from ingress.runtime.memory_budget import Holder, MemoryAccount


class ChunkSource(Protocol):
    """The source of the chunks of a long value."""

    def pause(self) -> None:
        """Stop sending chunks, as back-pressure."""
        ...

    def resume(self) -> None:
        """Send chunks again after `pause`."""
        ...

    def is_broken(self) -> bool:
        """Report whether the rest of the value won't arrive, even if that is not noticed while it is paused."""
        ...

    def fail(self) -> None:
        """End the value now as one that can't be completed."""
        ...


class SlotConnection(Protocol):
    """The part of a client connection that a slot and the handler of its request use.

    Attributes:
        memory: The account of what the connection holds.
        is_write_paused: Whether writing is paused because the client reads slowly.
    """

    memory: MemoryAccount
    is_write_paused: bool

    @property
    def upload_paused(self) -> bool:
        """Whether reading of the current body is paused."""
        ...

    def has_unread(self) -> bool:
        """Report whether the client has sent something that is not read yet."""
        ...

    def flush(self) -> None:
        """Write the responses and chunks that are next in the order of the commands."""
        ...

    def pause_upload(self, is_paused: bool) -> None:
        """Pause or resume reading the current body."""
        ...

    def is_disconnected(self) -> bool:
        """Report whether the client can't be answered any more."""
        ...

    def may_be_disconnected(self) -> bool:
        """Report whether the client may have closed without a sign of it."""
        ...

    def disconnected(self) -> None:
        """End all requests of a client that has disconnected."""
        ...

    def may_receive(self, slot: ResponseSlot) -> bool:
        """Report whether there is room for the response of this slot."""
        ...

    def is_next(self, slot: ResponseSlot) -> bool:
        """Report whether the slot has no incomplete response before it."""
        ...

    def is_next_to_write(self, slot: ResponseSlot) -> bool:
        """Report whether the slot has no response before it."""
        ...

    def close_gracefully(self) -> None:
        """End the connection after the written data has been sent."""
        ...


class ResponseSlot:
    """The place of one response in the order of its connection.

    It is filled by the `ResponseWriter` that `claim` returns or by `answer`, whichever is called first, and only once:
    all bytes of a response come from the same owner, an attempt or this gateway.

    Attributes:
        connection: The client connection.
        request_id: The id of the request; empty if the command is not a request.
        is_claimed: Whether there is an owner, which alone may write the response.
        answer_data: The last bytes to be written; None until the response is complete.
        source: The source of the chunks of a long value while they are being received.
        chunks: The chunks that wait until the responses before them are written.
        has_begun: Whether a chunk has been written to the client.
        counted_bytes: The waiting bytes that the memory account counts.
    """

    __slots__ = (
        "answer_data",
        "chunks",
        "connection",
        "counted_bytes",
        "has_begun",
        "is_claimed",
        "request_id",
        "source",
    )

    def __init__(self, connection: SlotConnection) -> None:
        self.connection = connection
        self.request_id = ""
        self.is_claimed = False
        self.answer_data: bytes | None = None
        self.source: ChunkSource | None = None
        self.chunks: list[bytes] = []
        self.has_begun = False
        self.counted_bytes = 0

    def claim(self) -> ResponseWriter | None:
        """Return the only writer of the response, or None if it has an owner already or is complete."""
        return ResponseWriter(self) if self._take_ownership() else None

    def answer(self, data: bytes) -> bool:
        """Claim the response and send it in one piece; return whether that was possible."""
        if not self._take_ownership():
            return False
        self._complete(data)
        return True

    def _take_ownership(self) -> bool:
        if self.is_claimed or self.answer_data is not None:
            return False
        self.is_claimed = True
        return True

    def _complete(self, data: bytes) -> None:
        self.answer_data = data
        if not self.connection.is_next_to_write(self):
            self.count_waiting(len(data))
        self.connection.flush()

    def drop(self) -> None:
        """Complete the response without further bytes, because the connection ends."""
        self.drop_chunks()
        self.answer_data = b""

    def drop_chunks(self) -> None:
        """Drop the chunks that wait, and detach their source."""
        self.chunks = []
        self.count_waiting(0)
        self.source = None

    def take_chunks(self) -> list[bytes]:
        """Return the waiting chunks, which are written now."""
        chunks = self.chunks
        self.chunks = []
        self.count_waiting(0)
        self.has_begun = True
        return chunks

    def take_answer(self) -> bytes:
        """Return the complete response, which is written now."""
        self.count_waiting(0)
        return self.answer_data or b""

    def fail_if_broken(self) -> None:
        """Fail a value of which nothing is written yet, and of which the rest won't arrive.

        Its source is paused, so its end may not have been noticed. Once a chunk is written, only the end of the
        connection tells the client that the value is incomplete, and the later responses are lost with it.
        """
        if self.source is not None and not self.has_begun and self.source.is_broken():
            self.source.fail()

    def count_waiting(self, size: int) -> None:
        """Count the bytes that wait in this slot."""
        if size != self.counted_bytes:
            self.connection.memory.add(Holder.ANSWERS, size - self.counted_bytes)
            self.counted_bytes = size


class ResponseWriter:
    """The right to write one response in chunks, by `send_chunk` and then `finish` or `abort`.

    Nothing is written once the response is complete.
    """

    __slots__ = ("_slot",)

    def __init__(self, slot: ResponseSlot) -> None:
        self._slot = slot

    def send_chunk(self, chunk: bytes, source: ChunkSource) -> None:
        """Send a chunk of the response; pause the source while the client is slow or earlier responses are due."""
        slot = self._slot
        if slot.answer_data is not None:
            return
        slot.source = source
        slot.chunks.append(chunk)
        slot.connection.flush()
        if slot.answer_data is None:
            slot.count_waiting(sum(map(len, slot.chunks)))
        if slot.connection.is_write_paused or slot.chunks:
            source.pause()

    def finish(self) -> None:
        """Complete the response after its last chunk."""
        slot = self._slot
        if slot.answer_data is not None:
            return
        slot.answer_data = b"".join(slot.chunks)
        slot.chunks = []
        slot.source = None
        slot.connection.flush()

    def abort(self, error: bytes) -> None:
        """Send the error instead of the chunks; if some are written, end the connection so that the client notices."""
        slot = self._slot
        if slot.answer_data is not None:
            return
        if slot.has_begun:
            slot.drop()
            slot.connection.close_gracefully()
        else:
            slot.drop_chunks()
            slot._complete(error)
