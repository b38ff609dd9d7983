"""A connection that is closed without losing the data written to it."""

from __future__ import annotations

import asyncio
from typing import cast

LINGER_TIMEOUT = 1.0  # Seconds that the peer has to close its side after this process has closed its own.
LINGER_BYTES = 256 * 1024  # Limit on the received bytes that are discarded during that time.


class LingeringConnection(asyncio.BufferedProtocol):
    """Closes its sending side first, and discards what the peer sends until the peer closes its own.

    Attributes:
        loop: The event loop.
        transport: The transport; None before the connection is established and after it is closed.
        is_closing: Whether received data is no longer processed.
        linger_timer: The timer that runs after the sending side was closed.
        lingered_bytes: The number of bytes discarded since then.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.is_closing = False
        self.linger_timer: asyncio.TimerHandle | None = None
        self.lingered_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the event loop's notification that the connection is established."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has transport classes of its own.

    def has_flushed(self) -> bool:
        """Report whether the kernel has accepted all written data."""
        return self.transport is not None and not self.transport.get_write_buffer_size()

    def drop_received(self, nbytes: int) -> None:
        """Count discarded bytes; above the limit the connection is closed, which the peer may see as a reset."""
        self.lingered_bytes += nbytes
        if self.lingered_bytes > LINGER_BYTES and self.transport is not None:
            self.transport.close()

    def close_gracefully(self) -> None:
        """Send the written data, close the sending side, and discard input until the peer closes its side.

        Closing a socket that has unread bytes resets the connection, which can destroy a response that the peer has
        not read yet.
        """
        if self.transport is None or self.linger_timer is not None:
            return
        self.is_closing = True
        if not self.transport.can_write_eof():
            self.transport.close()  # TLS can't close one side only; it has a closing handshake of its own.
            return
        self.linger_timer = self.loop.call_later(LINGER_TIMEOUT, self._linger_passed)
        self.transport.write_eof()
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _linger_passed(self) -> None:
        """Close the connection, or wait again if the peer is slow to read the written data."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size():
            self.linger_timer = self.loop.call_later(LINGER_TIMEOUT, self._linger_passed)
        else:
            self.transport.close()

    def close(self) -> None:
        """Close an idle connection at once, to free its descriptor; it has no data to lose."""
        if self.transport is not None:
            self.is_closing = True
            self.transport.close()
