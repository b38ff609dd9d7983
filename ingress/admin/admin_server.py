"""The admin server: each connection sends one line with a command and receives one answer."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import cast

from ingress.runtime.clock import Clock

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # Each further connection closes the oldest.
MAX_COMMAND_BYTES = 256
COMMAND_TIMEOUT = 5.0  # Seconds after which a connection is closed.
SWEEP_INTERVAL = 1.0  # Seconds between checks for connections that have timed out.
BACKLOG = 64
INTERNAL_ERROR = "fail internal error"

CommandHandler = Callable[[str], str | Awaitable[str]]


class AdminConnection(asyncio.Protocol):
    """One connection of an operator or of the load balancer.

    Attributes:
        server: The admin server.
        opened_at: The time at which the connection was accepted.
        partial_line: The received bytes of a line that is incomplete.
        has_command: Whether the line is complete; input after it is ignored.
        transport: The transport; None before the connection is established.
    """

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.opened_at = server.clock()
        self.partial_line = b""
        self.has_command = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has transport classes of its own.
        self.server.add(self)

    def data_received(self, data: bytes) -> None:
        """Collect the first line and answer it; input after it is ignored."""
        if self.transport is None or self.transport.is_closing() or self.has_command:
            return
        line, newline, _ = (self.partial_line + data).partition(b"\n")
        if not newline and len(line) <= MAX_COMMAND_BYTES:
            self.partial_line = line
            return
        self.has_command = True
        answer = self.server.answer(line.decode("utf-8", "replace").strip())
        if isinstance(answer, str):
            self.send(answer)
        else:
            self.server.send_later(self, answer)

    def send(self, answer: str) -> None:
        """Send the answer and close the sending side.

        Closing both sides when bytes arrive after the command would cause a reset, which can destroy the answer. The
        peer closes its side, or the sweep closes the connection.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(answer.encode() + b"\n")
            self.transport.write_eof()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection from the server."""
        self.server.connections.pop(self, None)

    def close(self) -> None:
        """Close both sides."""
        if self.transport is not None:
            self.transport.close()


class AdminServer:
    """Listens on the admin address and answers commands.

    Attributes:
        loop: The event loop.
        handle_command: Returns the answer to a line.
        clock: Returns the current time in seconds.
        connections: The open connections, oldest first; the values are unused.
        answer_tasks: The tasks that send answers which depend on other processes.
        server: The asyncio server; None before `open`.
        sweep_timer: The timer of the next sweep.
        listening_socket: The listening socket.
    """

    def __init__(self, address: tuple[str, int], handle_command: CommandHandler, clock: Clock) -> None:
        self.loop = asyncio.get_running_loop()
        self.handle_command = handle_command
        self.clock = clock
        self.connections: dict[AdminConnection, None] = {}
        self.answer_tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening_socket.bind(address)

    async def open(self) -> None:
        """Start to accept connections."""
        self.server = await self.loop.create_server(
            lambda: AdminConnection(self), sock=self.listening_socket, backlog=BACKLOG
        )
        self._sweep()

    def add(self, connection: AdminConnection) -> None:
        """Register a connection; above the limit, the oldest one is closed."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).close()

    def answer(self, line: str) -> str | Awaitable[str]:
        """Return the answer to a command; a fault in one command must not end the process."""
        try:
            return self.handle_command(line)
        except Exception:
            log.exception("admin command %.40r failed", line)
            return INTERNAL_ERROR

    def send_later(self, connection: AdminConnection, answer: Awaitable[str]) -> None:
        """Send an answer that depends on other processes once it is available."""
        task = self.loop.create_task(self._send_when_ready(connection, answer))
        self.answer_tasks.add(task)
        task.add_done_callback(self.answer_tasks.discard)

    async def _send_when_ready(self, connection: AdminConnection, answer: Awaitable[str]) -> None:
        try:
            text = await answer
        except Exception:
            log.exception("admin command failed while waiting for other processes")
            text = INTERNAL_ERROR
        connection.send(text)

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        oldest_allowed = self.clock() - COMMAND_TIMEOUT
        for connection in list(self.connections):
            if connection.opened_at < oldest_allowed:
                connection.close()

    def close(self) -> None:
        """Stop accepting, and close all connections."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        if self.server is not None:
            self.server.close()
        self.listening_socket.close()
        for task in self.answer_tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.close()
