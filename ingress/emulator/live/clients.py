"""Connections of clients to one ingress: a request is sent when it is due, on an idle or a new connection."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from typing import cast

import hiredis

from ingress.decisions.events import RequestReceived
from ingress.emulator.gateways import LoadBalancer, PendingRequest
from ingress.emulator.kernel import Clock

NOTHING = object()
TLS_NAME = "ingress"  # the name in the certificate of the ingresses
MOST_WAITING = 10_000  # per ingress


class Checks:
    """Callbacks for the responses that clients receive; the methods do nothing unless a subclass overrides them."""

    def served(self, held: PendingRequest, value: bytes) -> None:
        """Handle a value that arrived for the request."""

    def refused(self, held: PendingRequest) -> None:
        """Handle the rejection of the request."""

    def failed(self, held: PendingRequest) -> None:
        """Handle the failure of the request."""

    def dropped(self, held: PendingRequest) -> None:
        """Handle the close of the connection before a response to the request."""

    def odd(self, text: str) -> None:
        """Handle a violation of the protocol."""


def command(event: RequestReceived, left_ms: int) -> bytes:
    """Encode a request as RESP; `left_ms` is how long the client still waits."""
    names = (
        f"c={event.request_class},t={event.plan},d={max(1, left_ms)},units={event.units:g},"
        f"spread={event.gateway_count},first={event.first_gateway}"
    )
    words = [b"API.WRITE" if event.is_write else b"API.READ", event.customer.encode(), event.request_id.encode()]
    if event.is_retry:
        names += ",r=1"
    if event.is_write:
        names += f",k={event.request_id.partition('.')[0]:0>16}"
    words += [names.encode(), b"body"] if event.is_write else [names.encode()]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Connection(asyncio.Protocol):
    """One connection to the ingress, with one request at a time.

    Attributes:
        held: The request that waits for its response.
        event: The last request as it was sent.
        answers: The number of responses received.
    """

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.reader = hiredis.Reader(notEnoughData=NOTHING)
        self.transport: asyncio.Transport | None = None
        self.held: PendingRequest | None = None
        self.event: RequestReceived | None = None
        self.answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        self.caller.connections.add(self)

    def ask(self, held: PendingRequest, event: RequestReceived) -> None:
        """Send a request with the time that its client still waits."""
        assert self.transport is not None
        self.held = held
        self.event = event
        left = held.record.deadline - self.caller.kernel.now
        self.transport.write(command(event, int(left * 1000)))

    def data_received(self, data: bytes) -> None:
        """Parse and handle responses; called by asyncio."""
        try:
            self.reader.feed(data)
            while (answer := self.reader.gets()) is not NOTHING:
                self._answer(answer)
        except hiredis.HiredisError as error:
            self.caller.checks.odd(f"gateway {self.caller.number}: sent data that is not RESP: {error}")
            self.end()

    def _answer(self, answer: object) -> None:
        held = self.held
        self.held = None
        if held is None:
            self.caller.checks.odd(f"gateway {self.caller.number}: sent a response without a request: {answer!r:.80}")
            self.end()
            return
        self.answers += 1
        self.caller.idle.append(self)
        self.caller.ended(held, answer)

    def eof_received(self) -> None:
        """Reset the connection when the ingress closes its side; called by asyncio."""
        self.end()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle a request that is left without a response; called by asyncio."""
        self.transport = None
        self.caller.connections.discard(self)
        if self in self.caller.idle:
            self.caller.idle.remove(self)
        held = self.held
        self.held = None
        if held is not None and not held.answered:
            self.caller.lost(self, held)

    def end(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class Caller:
    """All client connections to one ingress; implements `ingress.emulator.gateways.RequestTarget`.

    Attributes:
        taken: Called with each request before it is sent.
    """

    def __init__(
        self, kernel: Clock, number: int, address: tuple[str, int], checks: Checks, tls: ssl.SSLContext | None = None
    ) -> None:
        self.kernel = kernel
        self.number = number
        self.address = address
        self.checks = checks
        self.tls = tls
        self.load_balancer: LoadBalancer
        self.incarnation = 0
        self.up = False
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []
        self.pending: dict[str, PendingRequest] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.taken: Callable[[PendingRequest], None] = lambda _: None

    def submit(self, held: PendingRequest, event: RequestReceived) -> None:
        """Send a request on an idle connection, or on a new one."""
        if held.is_disconnected:
            return
        if len(self.pending) >= MOST_WAITING:
            self.checks.odd(f"gateway {self.number}: more than {MOST_WAITING} requests are pending")
            self.load_balancer.connection_lost(held)
            return
        self.pending[event.request_id] = held
        self.taken(held)
        self._ask(held, event)

    def _ask(self, held: PendingRequest, event: RequestReceived) -> None:
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.ask(held, event)
                return
        self._reconnect(held, event)

    def _reconnect(self, held: PendingRequest, event: RequestReceived) -> None:
        task = asyncio.get_running_loop().create_task(self._open(held, event))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self, held: PendingRequest, event: RequestReceived) -> None:
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: Connection(self), *self.address, ssl=self.tls, server_hostname=TLS_NAME if self.tls else None
            )
        except OSError:
            self._cut(held)
            return
        if held.is_disconnected:
            self.idle.append(connection)
        else:
            connection.ask(held, event)

    def _cut(self, held: PendingRequest) -> None:
        self.pending.pop(held.record.id, None)
        if not held.answered and not held.is_disconnected:
            held.answered = True
            held.record.is_exempt = True
            self.load_balancer.connection_lost(held)

    def lost(self, connection: Connection, held: PendingRequest) -> None:
        """Handle a connection that was closed while its request was pending.

        On a reused connection the request may have crossed a close that was unrelated to it, so it is sent once more on
        a new connection.
        """
        if held.is_disconnected:
            self.pending.pop(held.record.id, None)
        elif connection.answers and connection.event is not None and self.up:
            self._reconnect(held, connection.event)
        else:
            if self.up:
                self.checks.dropped(held)
            self._cut(held)

    def ended(self, held: PendingRequest, answer: object) -> None:
        """Classify the response to a request and notify the observer and the load balancer."""
        self.pending.pop(held.record.id, None)
        if held.answered or held.is_disconnected:
            return
        held.answered = True
        if isinstance(answer, list) and answer and isinstance(answer[0], bytes):
            answer = answer[0]
        if isinstance(answer, bytes):
            self.checks.served(held, answer)
            self.load_balancer.request_served(held)
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            self.checks.refused(held)
            wait = str(answer).partition(" ")[2]
            self.load_balancer.request_rejected(held, int(wait) / 1000 if wait.isdecimal() else 0.0, "busy")
        else:
            self.checks.failed(held)
            self.load_balancer.request_failed(held, "error")

    def client_disconnected(self, held: PendingRequest) -> None:
        """Close the connection of a client that no longer waits for its request."""
        held.is_disconnected = True
        self.pending.pop(held.record.id, None)
        for connection in list(self.connections):
            if connection.held is held:
                connection.end()

    def close(self) -> None:
        """Reset all connections and cancel the tasks."""
        for task in self.tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.held = None
            connection.end()
