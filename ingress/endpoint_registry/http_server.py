"""The HTTP server: aiohttp with a connection limit and timeouts for slow clients."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ingress.endpoint_registry.list_api import RETRY_AFTER_RANGE_S

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 4000
REQUEST_HEAD_TIMEOUT_S = 5.0  # The time runs from the first byte of an incomplete request head.
RESPONSE_READ_TIMEOUT_S = 10.0  # The connection is aborted if the client reads none of a response for this long.
KEEPALIVE_TIMEOUT_S = 75.0
SWEEP_PERIOD_S = 0.5
SHUTDOWN_TIMEOUT_S = 0.5  # Connections may finish by themselves within this time.
LISTEN_BACKLOG = 1024
SERVICE_UNAVAILABLE_RESPONSE = (
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class Connection(RequestHandler):
    """A connection that records how long a request head has been incomplete and the client has read nothing.

    Attributes:
        head_started_at: The time at which an incomplete request head started, or None.
        unread_bytes: The size of the write buffer at the last check.
        unread_since: The last time at which the write buffer was empty or changed its size.
    """

    __slots__ = ("head_started_at", "unread_bytes", "unread_since")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection; called by asyncio."""
        super().connection_made(transport)
        self.head_started_at: float | None = None
        self.unread_bytes = 0
        self.unread_since = time.monotonic()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and track whether a request head is incomplete; called by asyncio."""
        super().data_received(data)
        complete = bool(self._messages) or self._current_request is not None
        self.head_started_at = None if complete else self.head_started_at or time.monotonic()

    def is_head_overdue(self, now: float) -> bool:
        """Report whether a request head has been incomplete for too long."""
        return self.head_started_at is not None and now - self.head_started_at > REQUEST_HEAD_TIMEOUT_S

    def is_reader_stuck(self, now: float) -> bool:
        """Report whether the client has read nothing of a response for too long; must be called at short intervals."""
        transport: Any = self.transport
        unread_bytes = transport.get_write_buffer_size() if transport is not None else 0
        if not unread_bytes or unread_bytes != self.unread_bytes:
            self.unread_bytes = unread_bytes
            self.unread_since = now
        return now - self.unread_since > RESPONSE_READ_TIMEOUT_S


class Server(web.Server):
    """Creates the protocol object of each connection."""

    def __call__(self) -> RequestHandler:
        """Return the protocol object of a newly accepted connection."""
        return Connection(self, loop=self._loop, **self._kwargs)


class Listener:
    """Accepts on one address until it is closed."""

    def __init__(self, app: web.Application) -> None:
        self.app = app
        # Guards against clients that fill the log: aiohttp writes a traceback for each malformed request.
        logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
        self.sweep_task: asyncio.Task[None] | None = None

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Start listening, and return the bound address.

        Raises:
            OSError: The address cannot be listened on.
        """
        options: dict[str, Any] = {"keepalive_timeout": KEEPALIVE_TIMEOUT_S, "access_log": None}
        self.runner = web.AppRunner(self.app, handle_signals=False, **options)
        await self.runner.setup()
        app_server = self.runner.server
        assert app_server is not None
        self.server = Server(app_server.request_handler, request_factory=app_server.request_factory, **options)
        loop = asyncio.get_running_loop()
        self.socket = await loop.create_server(self._accept, host, port, backlog=LISTEN_BACKLOG)
        self.sweep_task = loop.create_task(self._sweep())
        address: tuple[str, int] = self.socket.sockets[0].getsockname()
        return address

    def _accept(self) -> asyncio.Protocol:
        if len(self.server.connections) >= MAX_CONNECTIONS:
            return RejectingProtocol()
        return self.server()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now = time.monotonic()
            for connection in list(self.server.connections):
                assert isinstance(connection, Connection)
                transport: Any = connection.transport
                if transport is None:
                    continue
                if connection.is_head_overdue(now):
                    transport.write(REQUEST_TIMEOUT_RESPONSE)
                    transport.close()
                elif connection.is_reader_stuck(now):
                    transport.abort()

    async def close(self) -> None:
        """Stop accepting connections, and close the open ones."""
        if self.sweep_task is not None:
            self.sweep_task.cancel()
        self.socket.close()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)
        await self.runner.cleanup()


class RejectingProtocol(asyncio.Protocol):
    """Rejects a connection beyond the limit with a 503 response and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a 503 response with a random Retry-After; called by asyncio."""
        assert isinstance(transport, asyncio.WriteTransport)
        transport.write(SERVICE_UNAVAILABLE_RESPONSE.format(random.randint(*RETRY_AFTER_RANGE_S)).encode())
        transport.close()
