"""Opens connections to endpoints: the TCP connect, and the TLS handshake where TLS is configured."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import TYPE_CHECKING, Protocol

from ingress.runtime.sockets import enable_keepalive
from ingress.runtime.tls_sessions import ResumingContext
from ingress.upstream.connection import Connection, ConnectionOwner, EndpointConnections

if TYPE_CHECKING:
    from ingress.runtime.tls import Tls

# Durations as multiples of the connect timeout.
UNACKNOWLEDGED_TIMEOUT_RATIO = 4.0  # the network path is lost if written data is not acknowledged for longer
TLS_HANDSHAKE_TIMEOUT_RATIO = 4.0  # longer than a TCP connect, because a handshake costs both sides CPU time
LATE_TIMEOUT_RATIO = 2.0  # a timeout reported later than this means that this process was too busy to check in time

# Connect errors that mean that this process has no file descriptor, port or memory left.
LOCAL_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class ConnectingPool(ConnectionOwner, Protocol):
    """Interface of the pool that opening a connection uses."""

    loop: asyncio.AbstractEventLoop
    connect_timeout: float
    connecting: int


class Connector:
    """Opens connections to endpoints.

    Attributes:
        tls: The TLS context and expected peer name of new connections; None for plaintext.
        resumed_sessions: The number of handshakes that resumed a stored session.
    """

    def __init__(self) -> None:
        self.tls: Tls | None = None
        self.resumed_sessions = 0

    async def connect(self, pool: ConnectingPool, endpoint: EndpointConnections) -> Connection:
        """Return a connection that is ready to carry a request, after the handshake if TLS is configured.

        Raises:
            OSError: The connection could not be established; a TimeoutError if that took too long.
        """
        address = endpoint.address
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(pool.connect_timeout):
                await pool.loop.sock_connect(sock, address)
            enable_keepalive(sock, UNACKNOWLEDGED_TIMEOUT_RATIO * pool.connect_timeout)
            return await self._start_protocol(pool, Connection(pool, endpoint, address, sock))
        except BaseException:
            sock.close()
            raise

    async def _start_protocol(self, pool: ConnectingPool, connection: Connection) -> Connection:
        """Attach the connection to the event loop."""
        tls = self.tls
        if tls is None:
            await pool.loop.create_connection(lambda: connection, sock=connection.socket)
            return connection
        if isinstance(tls.context, ResumingContext):
            tls.context.expect_handshake(connection.address, is_only_one=pool.connecting == 1)
        await pool.loop.create_connection(
            lambda: connection,
            sock=connection.socket,
            ssl=tls.context,
            server_hostname=tls.peer_name or connection.address[0],
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_RATIO * pool.connect_timeout,
        )
        connection.session_store = tls.context if isinstance(tls.context, ResumingContext) else None
        assert connection.transport is not None
        self.resumed_sessions += connection.transport.get_extra_info("ssl_object").session_reused
        return connection


def is_local_failure(error: OSError, elapsed: float, timeout: float) -> bool:
    """Report whether a connect failed because this process lacked a resource, not because of the endpoint.

    Args:
        error: The error of the connect.
        elapsed: The duration of the connect in seconds; far above the timeout, this process was too busy to react.
        timeout: The connect timeout in seconds.
    """
    is_late = isinstance(error, TimeoutError) and elapsed > LATE_TIMEOUT_RATIO * timeout
    return is_late or error.errno in LOCAL_ERRORS
