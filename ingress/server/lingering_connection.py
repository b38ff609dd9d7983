"""A connection that is closed without losing the data written to it."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from ingress.runtime.sockets import unacknowledged_bytes

LINGER_TIMEOUT = 1.0  # Seconds that the peer has to close its side, once it has received everything.
STALL_TIMEOUT = 10.0  # Seconds for a client to read any of the written bytes; must exceed the gap between two chunks.
LINGER_POLL_INTERVAL = 0.05  # Seconds between checks of what the peer has received.
TLS_CLOSE_TIMEOUT = 0.02  # Seconds for the closing handshake of a connection that has no data to lose.
LINGER_BYTES = 256 * 1024  # Limit on the received bytes that are discarded during that time.


class LingeringConnection(asyncio.BufferedProtocol):
    """Closes its sending side first, and discards what the peer sends until the peer closes its own.

    Attributes:
        loop: The event loop.
        transport: The transport; None before the connection is established and after it is closed.
        socket: The socket of the connection.
        is_closing: Whether received data is no longer processed.
        linger_timer: The timer that runs after the connection began to close.
        lingered_bytes: The number of bytes discarded since then.
        undelivered_bytes: The number of written bytes that the peer had not received at the last check.
        delivered_at: The time of the event loop at which that number last changed.
    """

    __slots__ = (
        "delivered_at",
        "is_closing",
        "linger_timer",
        "lingered_bytes",
        "loop",
        "socket",
        "transport",
        "undelivered_bytes",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop = loop
        self.socket = sock
        self.transport: asyncio.Transport | None = None
        self.is_closing = False
        self.linger_timer: asyncio.TimerHandle | None = None
        self.lingered_bytes = 0
        self.undelivered_bytes = 0
        self.delivered_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the event loop's notification that the connection is established."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has transport classes of its own.

    def drop_received(self, nbytes: int) -> None:
        """Count discarded bytes; above the limit the connection is closed, which the peer may see as a reset."""
        self.lingered_bytes += nbytes
        if self.lingered_bytes > LINGER_BYTES and self.transport is not None:
            self.transport.close()

    def close_gracefully(self) -> None:
        """Send the written data, close the sending side, and discard input until the peer closes its side.

        A socket that is closed resets the connection when it has unread bytes, or when more arrive. That destroys a
        response that the peer has not received yet, also the part that the kernel holds.
        """
        if self.transport is None or self.linger_timer is not None:
            return
        self.is_closing = True
        self.delivered_at = self.loop.time()
        self.linger_timer = self.loop.call_later(LINGER_POLL_INTERVAL, self._check_delivery)
        if not self.transport.can_write_eof():
            self.transport.close()  # TLS can't close one side only; it has a closing handshake of its own.
            return
        self.transport.write_eof()
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def has_undelivered(self) -> bool:
        """Report whether the peer has not received all written data."""
        return self.transport is not None and self._count_undelivered(self.transport) > 0

    def _count_undelivered(self, transport: asyncio.Transport) -> int:
        return transport.get_write_buffer_size() + unacknowledged_bytes(self.socket)

    def _check_delivery(self) -> None:
        """Close the connection once the peer has had time to close its side, or receives nothing more."""
        if self.transport is None:
            return
        now = self.loop.time()
        undelivered_bytes = self._count_undelivered(self.transport)
        if undelivered_bytes != self.undelivered_bytes:
            self.undelivered_bytes = undelivered_bytes
            self.delivered_at = now
        if now - self.delivered_at >= (STALL_TIMEOUT if undelivered_bytes else LINGER_TIMEOUT):
            self._close_transport()
        else:
            self.linger_timer = self.loop.call_later(LINGER_POLL_INTERVAL, self._check_delivery)

    def close(self) -> None:
        """Close the connection at once, to free its descriptor; it has no data to lose."""
        if self.transport is not None:
            self.is_closing = True
            self.transport.close()
            if not self.transport.can_write_eof():
                self.loop.call_later(TLS_CLOSE_TIMEOUT, self._close_transport)

    def _close_transport(self) -> None:
        """Close the connection without waiting for the peer, which may never answer the closing handshake of TLS."""
        if self.transport is None:
            return
        if self.transport.can_write_eof():
            self.transport.close()
        else:
            self.transport.abort()
