"""One attempt to have an endpoint answer a request, from its start to its outcome."""

from __future__ import annotations

import asyncio
from collections import deque
from math import inf
from typing import Any, ClassVar, Protocol

from msgspec import Struct

from ingress.runtime.clock import MS_PER_SECOND
from ingress.upstream.response_parser import AttemptResult, interpret_response

MIN_TIME_LEFT_MS = 1  # 0 would not be a valid timeout in a command
TIMEOUT_FIELD_PREFIX = b"d="  # prefix of the command field that gives the remaining time in milliseconds


class CommandParts(Struct, frozen=True):
    """An encoded RESP command, split around the bulk string of its fields, which each attempt encodes again."""

    before: bytes
    fields: bytes
    after: bytes


NO_COMMAND_PARTS = CommandParts(b"", b"", b"")


class AttemptObserver(Protocol):
    """Interface that receives the events of its attempts."""

    def is_wanted(self, attempt: Attempt) -> bool:
        """Report whether a response is still needed; called just before the first byte is written."""
        ...

    def attempt_writable(self, attempt: Attempt) -> None:
        """Handle a connection that is ready for chunks of a body that is still being uploaded."""
        ...

    def chunk_received(self, attempt: Attempt, chunk: bytes, size: int, is_last: bool) -> None:
        """Handle a chunk of a long value of `size` bytes, received before the attempt ends."""
        ...

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handle the end of the attempt; called exactly once for each attempt that was started."""
        ...


class AttemptConnection(Protocol):
    """Interface that an attempt and the pool use of the connection that carries the attempt."""

    is_read_paused: bool
    is_write_paused: bool
    last_received_at: float

    def set_reading(self, enabled: bool) -> None:
        """Resume or pause reading."""
        ...

    def unsent_bytes(self) -> int:
        """Return the written bytes that the kernel has not accepted."""
        ...

    def has_broken_value(self) -> bool:
        """Report whether the rest of the current long value will not arrive."""
        ...

    def has_unsent_data(self) -> bool:
        """Report whether the kernel has not yet accepted everything that was written."""
        ...

    def limit_write_buffer(self, size: int) -> None:
        """Report that writing is paused while more than `size` written bytes are not accepted by the kernel."""
        ...

    def write(self, data: bytes) -> None:
        """Write without blocking."""
        ...

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection and end its attempt as reset."""
        ...

    def close(self) -> None:
        """Close immediately, without notifying the attempt."""
        ...


class Attempt(Struct, eq=False):
    """One attempt at one endpoint.

    Attributes:
        observer: The receiver of the attempt's events.
        request_id: The id of the request.
        number: The number of this attempt among the attempts of its request.
        endpoint_id: The id of the endpoint that the attempt is sent to.
        started_at: The start time, in seconds of the pool's clock.
        deadline: The time at which the attempt times out.
        command_parts: The command to write; empty once it is written.
        is_complete: Whether the complete body is known; if not, chunks follow and the timeout starts with the last.
        start_by: The time from which its first byte is no longer written.
        connection: The connection that carries the attempt, once there is one.
        queue: The queue in which the attempt waits for a connection, while it waits.
        timeout_timer: The timer that ends the attempt at its deadline.
        has_ended: Whether the observer has received the result.
        is_paused: Whether its response is left in the socket.
        is_discarded: Whether its response is read and dropped, because it can't answer the request any more.
        has_responded: Whether a chunk of a long value has been received.
        local_failure: Whether it failed because of this process, for example for lack of a resource, not because of
            the endpoint.
    """

    counts_as_forward: ClassVar[bool] = True

    observer: AttemptObserver
    request_id: str
    number: int
    endpoint_id: str
    started_at: float
    deadline: float
    command_parts: CommandParts
    is_complete: bool = True
    start_by: float = inf
    connection: AttemptConnection | None = None
    queue: deque[Attempt] | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    has_ended: bool = False
    is_paused: bool = False
    is_discarded: bool = False
    has_responded: bool = False
    local_failure: bool = False

    def pause(self) -> None:
        """Apply back-pressure: stop reading the value until `resume`, also on a connection that it gets later.

        A discarded response needs none.
        """
        if self.is_discarded:
            return
        self.is_paused = True
        if self.connection is not None:
            self.connection.set_reading(False)

    def resume(self) -> None:
        """Resume reading the value after `pause`."""
        self.is_paused = False
        if self.connection is not None:
            self.connection.set_reading(True)

    def unsent_bytes(self) -> int:
        """Return the written bytes that the kernel has not accepted."""
        return self.connection.unsent_bytes() if self.connection is not None else 0

    def is_broken(self) -> bool:
        """Report whether the rest of the value will not arrive, even if reading is paused."""
        return self.connection is not None and self.connection.has_broken_value()

    def fail(self) -> None:
        """End the attempt as reset."""
        if self.connection is not None:
            self.connection.connection_lost(None)

    def encode_command(self, now: float) -> bytes:
        """Return the client's command with the time that remains now in place of the client's own timeout."""
        parts = self.command_parts
        fields = parts.fields
        if self.is_complete:
            time_left_ms = max(MIN_TIME_LEFT_MS, int((self.deadline - now) * MS_PER_SECOND))
            fields = _with_timeout(fields, b"%d" % time_left_ms)
        return b"%b$%d\r\n%b%b" % (parts.before, len(fields), fields, parts.after)

    def is_unsent(self) -> bool:
        """Report whether the endpoint cannot have received the complete command yet."""
        return not self.is_complete or self.connection is None or self.connection.has_unsent_data()

    def interpret(self, reply: Any) -> AttemptResult:
        """Return the meaning of a complete reply of the endpoint for this attempt."""
        return interpret_response(reply)


def _with_timeout(fields: bytes, time_left_ms: bytes) -> bytes:
    """Return the list of fields with another timeout in milliseconds."""
    before, *rest = (b"," + fields).split(b"," + TIMEOUT_FIELD_PREFIX)
    parts = [before]
    for part in rest:
        _old_timeout, comma, others = part.partition(b",")
        parts.append(b",%b%b%b%b" % (TIMEOUT_FIELD_PREFIX, time_left_ms, comma, others))
    return b"".join(parts)[1:]
