"""Graceful shutdown: every request in flight is answered before the earliest possible SIGKILL."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ingress.decisions.events import DrainRequested, Event
from ingress.decisions.settings import Settings
from ingress.runtime.logs import INGRESS_LOG
from ingress.server.client_server import ClientServer
from ingress.server.request_handler import RequestHandler

# All times are in seconds.
SIGKILL_DELAY = 0.7  # From SIGTERM to the earliest SIGKILL, in addition to the longest deadline of a request class.
MAX_DEADLINE = 3.0  # A longer deadline counts as this one in the time to SIGKILL.
ABORT_MARGIN = 0.25  # Requests still in flight are aborted this long before the earliest SIGKILL.
FLUSH_TIMEOUT = 0.1  # For sending the last answers.
DELIVERY_TIMEOUT = 30.0  # For clients to receive answers that they read slowly; a SIGKILL may come earlier.
CONNECTION_POLL_INTERVAL = 0.02  # Between checks for clients that have disconnected.
FLUSH_POLL_INTERVAL = 0.01  # Between such checks while the last answers are sent.


class GracefulShutdown:
    """Drains the clients of a process that shuts down.

    Attributes:
        name: The name of the process in the log.
        clients: The server for clients.
        requests: The requests in flight.
        feed: Passes an event to the gateway.
        clients_may_close: Set and cleared by the gateway's actions: idle clients may be disconnected.
        is_stopping: Whether the shutdown has begun.
    """

    def __init__(self, name: str, clients: ClientServer, requests: RequestHandler, feed: Callable[[Event], None]):
        self.name = name
        self.clients = clients
        self.requests = requests
        self.feed = feed
        self.clients_may_close = asyncio.Event()
        self.is_stopping = False

    async def drain(self, settings: Settings) -> None:
        """Drain the clients; return when all are served and disconnected, or when the time is up."""
        loop = asyncio.get_running_loop()
        longest_deadline = min(max(request_class.deadline for request_class in settings.classes), MAX_DEADLINE)
        abort_at = loop.time() + longest_deadline + SIGKILL_DELAY - ABORT_MARGIN
        self.is_stopping = True
        self.feed(DrainRequested(process_exits=True))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(abort_at):
                await self.clients_may_close.wait()
        self.clients.stop_accepting()
        await self._wait_while(self._is_connected, abort_at, CONNECTION_POLL_INTERVAL)
        self.requests.stop()
        self.clients.close()
        await self._wait_while(self._is_connected, loop.time() + FLUSH_TIMEOUT, FLUSH_POLL_INTERVAL)
        await self._wait_while(self._delivers, loop.time() + DELIVERY_TIMEOUT, CONNECTION_POLL_INTERVAL)
        INGRESS_LOG.info("%s has stopped serving", self.name)

    def _delivers(self) -> bool:
        """Report whether clients still receive what is left of their answers.

        A process that ends itself loses them; one that is killed meanwhile does not, as they were accepted in time.
        """
        return any(connection.has_unfinished() for connection in self.clients.connections)

    def _is_connected(self) -> bool:
        return bool(self.clients.connections)

    async def _wait_while(self, condition: Callable[[], bool], until: float, interval: float) -> None:
        loop = asyncio.get_running_loop()
        while condition() and loop.time() < until:
            await asyncio.sleep(interval)
