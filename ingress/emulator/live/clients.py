"""Connections of clients to one ingress: a request goes out at its time, on a free or a new connection."""

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
TLS_NAME = "ingress"  # in the certificate of a play's ingresses
MOST_WAITING = 10_000  # requests of one client process at one ingress


class Checks:
    """What the clients tell of an answer that breaks a rule; replaced by who plays."""

    def served(self, held: PendingRequest, value: bytes) -> None:
        """A value has come for the request."""

    def refused(self, held: PendingRequest) -> None:
        """The request was rejected."""

    def failed(self, held: PendingRequest) -> None:
        """The request failed."""

    def dropped(self, held: PendingRequest) -> None:
        """The connection of the request ended without an answer."""

    def odd(self, text: str) -> None:
        """Something came that the protocol does not allow."""


def command(event: RequestReceived, left_ms: int) -> bytes:
    """The request as RESP; `left_ms` is how long the client still waits."""
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
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


class Connection(asyncio.Protocol):
    """One connection; one request at a time."""

    def __init__(self, caller: Caller) -> None:
        self.caller, self.reader = caller, hiredis.Reader(notEnoughData=NOTHING)
        self.transport: asyncio.Transport | None = None
        self.held: PendingRequest | None = None
        self.event: RequestReceived | None = None
        self.answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins the connection; from asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        self.caller.connections.add(self)

    def ask(self, held: PendingRequest, event: RequestReceived) -> None:
        """Sends a request, in the form of the protocol."""
        assert self.transport is not None
        self.held = held
        self.event = event
        left = held.record.deadline - self.caller.kernel.now
        self.transport.write(command(event, int(left * 1000)))

    def data_received(self, data: bytes) -> None:
        """Reads answers; from asyncio."""
        try:
            self.reader.feed(data)
            while (answer := self.reader.gets()) is not NOTHING:
                self._answer(answer)
        except hiredis.HiredisError as error:
            self.caller.checks.odd(f"gateway {self.caller.number}: not RESP: {error}")
            self.end()

    def _answer(self, answer: object) -> None:
        held = self.held
        self.held = None
        if held is None:
            self.caller.checks.odd(f"gateway {self.caller.number}: an answer that nothing asked for: {answer!r:.80}")
            self.end()
            return
        self.answers += 1
        self.caller.idle.append(self)
        self.caller.ended(held, answer)

    def eof_received(self) -> None:
        """The ingress has ended its side; from asyncio."""
        self.end()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Accounts for a request without an answer; from asyncio."""
        self.transport = None
        self.caller.connections.discard(self)
        if self in self.caller.idle:
            self.caller.idle.remove(self)
        held = self.held
        self.held = None
        if held is not None and not held.answered:
            self.caller.lost(self, held)

    def end(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()


class Caller:
    """All connections to one ingress, as `ingress.emulator.gateways.RequestTarget`."""

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
        self.taken: Callable[[PendingRequest], None] = lambda _: None  # is called with each request that goes out

    def submit(self, held: PendingRequest, event: RequestReceived) -> None:
        """Sends a request on an idle connection, or on a new one."""
        if held.is_disconnected:
            return
        if len(self.pending) >= MOST_WAITING:
            self.checks.odd(f"gateway {self.number}: more than {MOST_WAITING} requests wait")
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
        """The connection ended under a request.

        One that was used before may have crossed a close that had nothing to do with the request: the request is sent
        once more, on a new connection.
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
        """A request has its answer, or will get none."""
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
        """The client goes: it closes its connection."""
        held.is_disconnected = True
        self.pending.pop(held.record.id, None)
        for connection in list(self.connections):
            if connection.held is held:
                connection.end()

    def close(self) -> None:
        """Resets all connections and ends the tasks."""
        for task in self.tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.held = None
            connection.end()
