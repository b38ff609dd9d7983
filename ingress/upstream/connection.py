"""Connections to one endpoint: each carries one request at a time and is idle between requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import deque
from typing import Any, Protocol, cast

import hiredis

from ingress.decisions.endpoint import Outcome, Readiness
from ingress.protocols.resp import BUFFER_GROWTH
from ingress.protocols.response_reader import INCOMPLETE, ResponseReader
from ingress.runtime.clock import Clock
from ingress.runtime.memory_budget import Holder, MemoryAccount
from ingress.runtime.sockets import (
    Address,
    acknowledge_received,
    has_receive_capacity,
    is_closed_by_peer,
    peek_byte,
    received_bytes,
    seconds_since_last_receive,
)
from ingress.runtime.tls_sessions import ResumingContext
from ingress.upstream.attempt import Attempt
from ingress.upstream.response_parser import AttemptResult

log = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 256 * 1024  # limit of the part of a reply that is buffered: all but a long value
SILENCE_TIMEOUT = 10.0  # seconds without data in the middle of a long value; peers pause less between two chunks
REUSE_DELAY_S = 0.02  # a late duplicate of a reply must not be mistaken for the reply to the next attempt


class ConnectionOwner(Protocol):
    """Interface that a connection uses of the pool that opened it.

    Attributes:
        clock: Returns the current time in seconds.
        memory: The account of what the connections of the pool hold.
    """

    clock: Clock
    memory: MemoryAccount

    def read_buffer(self) -> memoryview:
        """Return the buffer for the next read; callers copy the data out before another read overwrites it."""
        ...

    def forward_chunk(self, attempt: Attempt, chunk: bytes, size: int, is_last: bool) -> None:
        """Forward a chunk of a long value."""
        ...

    def finish_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt; repeated calls are ignored."""
        ...

    def release(self, connection: Connection) -> None:
        """Take back a connection that is idle again."""
        ...

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""
        ...


class EndpointConnections:
    """One discovered endpoint, its idle connections, and the attempts that wait for a connection.

    A waiting attempt takes the first connection that becomes free: a new one, or one that another attempt releases.

    Attributes:
        address: The current address of the endpoint.
        idle_connections: The idle connections, the most recently used one last.
        waiting_attempts: The waiting attempts, the one that has waited longest first.
        connecting: The number of connections that are being established.
        closes_at: The time from which nothing new is written to the endpoint; None if there is no such time.
        is_listed: Whether the endpoint is still in the endpoint list.
        wake_scheduled: Whether a timer runs until an idle connection may be used again.
    """

    __slots__ = (
        "address",
        "closes_at",
        "connecting",
        "idle_connections",
        "is_listed",
        "waiting_attempts",
        "wake_scheduled",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle_connections: list[Connection] = []
        self.waiting_attempts: deque[Attempt] = deque()
        self.connecting = 0
        self.closes_at: float | None = None
        self.is_listed = True
        self.wake_scheduled = False

    def is_closed(self, now: float) -> bool:
        """Report whether nothing new may be written to the endpoint."""
        return self.closes_at is not None and now >= self.closes_at

    def update(self, readiness: Readiness, address: Address, closes_at: float) -> None:
        """Apply the state of the endpoint that discovery reported.

        Args:
            readiness: The readiness of the endpoint.
            address: The address of the endpoint, which may have changed.
            closes_at: The time from which nothing new is written to it, if it starts to drain or is removed now.
        """
        if self.address != address:
            self.address = address
            self.close_idle_connections()
        self.is_listed = True
        if readiness is Readiness.READY:
            self.closes_at = None
        elif readiness is Readiness.REMOVED:
            self.remove(closes_at)
        elif self.closes_at is None:
            self.closes_at = closes_at

    def remove(self, closes_at: float) -> None:
        """Mark the endpoint as no longer listed."""
        if self.closes_at is None:
            self.closes_at = closes_at
        self.is_listed = False
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close all connections that carry no attempt."""
        for connection in list(self.idle_connections):
            connection.close()


class Connection(asyncio.BufferedProtocol):
    """One connection to an endpoint; an attempt is abandoned by closing the connection that carries it.

    Attributes:
        attempt: The attempt that the connection carries now.
        is_open: Whether this side has not closed the connection.
        was_used: Whether the connection has carried an attempt before.
        idle_since: The time at which its last attempt ended.
        reusable_at: The time from which it may carry the next attempt.
        last_received_at: The time at which a chunk of a long value was received, or reading paused or resumed, last.
        is_read_paused: Whether reading is paused because the client reads slowly.
        is_write_paused: Whether writing is paused because the endpoint reads slowly.
        received_before: The bytes that the kernel had received before its attempt was written; None if not known.
        counted_bytes: The bytes of an incomplete response that the memory budget counts.
        session_store: The store for its TLS session after the first reply; None without TLS, or once it is stored.
    """

    def __init__(
        self, owner: ConnectionOwner, endpoint: EndpointConnections, address: Address, sock: socket.socket
    ) -> None:
        self.owner = owner
        self.endpoint = endpoint
        self.address = address
        self.socket = sock
        self.reader = ResponseReader()
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.is_open = True
        self.was_used = False
        self.idle_since = 0.0
        self.reusable_at = 0.0
        self.last_received_at = 0.0
        self.is_read_paused = False
        self.is_write_paused = False
        self.received_before: int | None = None
        self.counted_bytes = 0
        self.session_store: ResumingContext | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the established connection; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next read; called by the event loop."""
        return self.owner.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were read into the buffer; called by the event loop."""
        self.data_received(bytes(self.owner.read_buffer()[:nbytes]))
        self._count_buffered()

    def _count_buffered(self) -> None:
        """Count the part of an incomplete response that is held."""
        size = BUFFER_GROWTH * self.reader.buffered_bytes if self.is_open else 0
        if size != self.counted_bytes:
            self.owner.memory.add(Holder.RESPONSES, size - self.counted_bytes)
            self.counted_bytes = size

    def set_reading(self, enabled: bool) -> None:
        """Resume or pause reading."""
        if self.transport is None or self.transport.is_closing() or enabled is not self.is_read_paused:
            return
        self.is_read_paused = not enabled
        self.last_received_at = self.owner.clock()
        if enabled:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received data as part of the current reply.

        Data that arrives while no attempt is in flight closes the connection: it could be mistaken for the reply to the
        next attempt.
        """
        attempt = self.attempt
        if attempt is None:
            self.close()
            return
        try:
            chunk = self.reader.feed(data)
            size = self.reader.value_size
            is_last = not self.reader.value_bytes_left
            reply = self.reader.take_response()
        except hiredis.ProtocolError as error:
            log.warning("endpoint %s: closing the connection after a malformed reply: %s", attempt.endpoint_id, error)
            self._fail_malformed(attempt)
            return
        if chunk:
            self.last_received_at = self.owner.clock()
            self.owner.forward_chunk(attempt, chunk, size, is_last)
            if attempt.has_ended:
                return
        if reply is not INCOMPLETE:
            self._complete(attempt, reply)
        elif self.reader.buffered_bytes > MAX_RESPONSE_BYTES:
            log.warning(
                "endpoint %s: closing the connection: the reply is incomplete after %d bytes, the limit is %d",
                attempt.endpoint_id,
                self.reader.buffered_bytes,
                MAX_RESPONSE_BYTES,
            )
            self._fail_malformed(attempt)

    def _fail_malformed(self, attempt: Attempt) -> None:
        self.close()
        self.owner.finish_attempt(attempt, AttemptResult(Outcome.MALFORMED))

    def _complete(self, attempt: Attempt, reply: Any) -> None:
        """End the attempt with its reply; release the connection unless more data could belong to the same reply.

        The reply is acknowledged at once: otherwise the endpoint's kernel may hold back a late duplicate of it until
        the next command acknowledges the reply, and `REUSE_DELAY_S` passes without a trace of the duplicate.
        """
        self.attempt = None
        if self.session_store is not None and self.transport is not None:
            self.session_store.store_session(self.address, self.transport.get_extra_info("ssl_object"))
            self.session_store = None
        result = attempt.interpret(reply)
        if self.reader.has_data() or not attempt.is_complete or result.outcome is Outcome.MALFORMED:
            self.close()
        else:
            acknowledge_received(self.socket)
            self.reusable_at = self.owner.clock() + REUSE_DELAY_S
            self.owner.release(self)
        self.set_reading(True)
        self.owner.finish_attempt(attempt, result)

    def eof_received(self) -> None:
        """Close the connection after the endpoint has closed its side; called by the event loop."""
        self.connection_lost(None)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Close the connection and end the current attempt.

        Prevents a request from taking effect twice: once any byte of a complete command has been passed to the kernel,
        the endpoint may have received and executed all of it, so the attempt ends as reset, not as a failed connect.
        """
        attempt = self.attempt
        self.attempt = None
        self.close()
        if attempt is not None:
            outcome = Outcome.RESET if attempt.is_complete else Outcome.CONNECT_FAILED
            self.owner.finish_attempt(attempt, AttemptResult(outcome))

    def pause_writing(self) -> None:
        """Record that the endpoint reads slowly; called by the event loop."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Continue an upload after the endpoint has caught up with reading; called by the event loop."""
        self.is_write_paused = False
        if self.attempt is not None and not self.attempt.is_complete:
            self.attempt.observer.attempt_writable(self.attempt)

    def assign(self, attempt: Attempt) -> None:
        """Take the attempt, whose command is written next."""
        self.attempt = attempt
        self.was_used = True
        self.received_before = received_bytes(self.socket)
        self.set_reading(not attempt.is_paused)

    def write(self, data: bytes) -> None:
        """Write without blocking."""
        assert self.transport is not None
        self.transport.write(data)

    def has_unsent_data(self) -> bool:
        """Report whether the kernel has not yet accepted everything that was written."""
        return self.transport is None or self.transport.get_write_buffer_size() > 0

    def unsent_bytes(self) -> int:
        """Return the written bytes that the kernel has not accepted."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def limit_write_buffer(self, size: int) -> None:
        """Report that writing is paused while more than `size` written bytes are not accepted by the kernel."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=size)

    def has_broken_value(self) -> bool:
        """Report whether the rest of the current long value will not arrive.

        The kernel is asked, because the event loop reports neither a reset nor silence while reading is paused.
        """
        received = received_bytes(self.socket)
        if not self.reader.value_bytes_left or received is None or self.received_before is None:
            return False
        if received - self.received_before >= self.reader.value_size:
            return False
        if is_closed_by_peer(self.socket):
            return True
        return has_receive_capacity(self.socket) and seconds_since_last_receive(self.socket) > SILENCE_TIMEOUT

    def is_current(self) -> bool:
        """Report whether the endpoint is still listed at this address, where another one may answer after a move."""
        return self.endpoint.is_listed and self.address == self.endpoint.address

    def is_readable(self) -> bool:
        """Report whether the peer has closed or sent something that the event loop has not reported yet."""
        return peek_byte(self.socket) != b""

    def has_expired(self, idle_limit: float) -> bool:
        """Report whether the connection has been idle since before `idle_limit`, or the peer made it unusable."""
        return self.idle_since < idle_limit or self.is_readable()

    def close(self) -> None:
        """Close immediately, without notifying the attempt.

        Prevents two attempts from being in flight at the same time: the event loop closes a connection only in its next
        iteration, after the next attempt may have been written, so the shutdown is sent now.
        """
        if not self.is_open:
            return
        self.is_open = False
        self._count_buffered()
        self.attempt = None
        with contextlib.suppress(OSError):  # the peer has closed it already
            self.socket.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()
        self.owner.connection_closed(self)
