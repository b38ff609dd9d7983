"""Fake servers: the server model of the simulation behind real sockets that speak PROTOCOL."""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from typing import Protocol, cast

import hiredis

from ingress.decisions.endpoint import Outcome
from ingress.emulator.kernel import Clock
from ingress.emulator.live.vanish import drop_packets, receive_packets
from ingress.emulator.network import NetworkModel
from ingress.emulator.requests import PendingRequest
from ingress.emulator.servers import ServerModel

NOTHING = object()
REQUEST_WORDS = 4  # the command, the customer, the request ID and the fields
REQUEST_COMMANDS = (b"API.READ", b"API.WRITE")
ERROR_RESPONSES = {Outcome.ERROR: b"-ERR failed\r\n", Outcome.REJECTED: b"-BUSY\r\n", Outcome.MALFORMED: b"$-1\r\n"}
DEFAULT_TIMEOUT_S = 1e9  # the deadline of a request that does not name one


def response_value(request: str, server: str) -> bytes:
    """Return the value with which a server answers a request; it lets the client check who produced it for what."""
    return f"{request} by {server}".encode()


class AttemptObserver(Protocol):
    """The owner of the pending requests, which checks the rules on attempts."""

    def find_request(self, request: str) -> PendingRequest | None:
        """Return the request with this ID, if a client waits for it."""

    def attempt_arrived(self, pending_request: PendingRequest, server: ServerModel, request: str) -> bool:
        """Account for an attempt that arrived completely; report whether the server survives it."""

    def attempt_ended(self, pending_request: PendingRequest, attempt_index: int, outcome: Outcome) -> None:
        """Account for the end of an attempt."""

    def protocol_violation(self, text: str) -> None:
        """Report a violation of the protocol."""

    def log(self, event: str, request: str, server: str) -> None:
        """Write a log line about the request."""


class LiveAttempt:
    """One attempt in flight at a fake server.

    Attributes:
        attempt_index: The index of the attempt among those of its request.
        server_incarnation: The incarnation of the server that received the attempt.
        response: The encoded response, once the model has decided the outcome.
    """

    def __init__(
        self, connection: IngressConnection, pending_request: PendingRequest, request: str, expires: float
    ) -> None:
        self.connection = connection
        self.pending_request = pending_request
        self.request = request
        self.expires_at = expires
        self.work = pending_request.work
        self.is_abandoned = False
        self.attempt_index = len(pending_request.record.attempts) - 1
        self.server_incarnation = connection.server.model.incarnation
        self.response: bytes | None = None
        self.ended = False

    def complete(self, outcome: Outcome) -> None:
        """Encode the response for the outcome that the model decided; it is sent in the order of the commands."""
        server = self.connection.server
        if self.server_incarnation != server.model.incarnation or self.ended:
            return
        server.observer.log(f"answers {outcome.value}", self.request, server.model.id)
        value = response_value(self.request, server.model.id)
        self.response = ERROR_RESPONSES.get(outcome) or b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        self.close(outcome)
        self.connection.flush()

    def close(self, outcome: Outcome) -> None:
        """Report the end of the attempt to the observer, once."""
        if not self.ended:
            self.ended = True
            self.connection.server.observer.attempt_ended(self.pending_request, self.attempt_index, outcome)


class IngressConnection(asyncio.Protocol):
    """One connection from an ingress; responses are sent in the order of the commands."""

    def __init__(self, server: FakeServer) -> None:
        self.server = server
        self.reader = hiredis.Reader(notEnoughData=NOTHING)
        self.slots: deque[LiveAttempt | bytes] = deque()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reset it if the model does not accept it; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        model = self.server.model
        if model.is_reachable and not model.accepts():
            self.transport.abort()
            return
        self.server.connections.add(self)
        model.connections += 1
        model.add_handshake()

    def data_received(self, data: bytes) -> None:
        """Parse and handle commands; called by asyncio."""
        if not self.server.model.is_reachable:
            return  # an unreachable server receives nothing
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not NOTHING:
                self._handle_command(words)
        except hiredis.HiredisError as error:
            self.server.observer.protocol_violation(f"{self.server.model.id}: received data that is not RESP: {error}")
            self.reset()
        self.flush()

    def _handle_command(self, words: object) -> None:
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            self.server.observer.protocol_violation(
                f"{self.server.model.id}: expected a command, received {words!r:.80}"
            )
            self.slots.append(b"-SYNTAX\r\n")
        elif words[0] in REQUEST_COMMANDS and len(words) >= REQUEST_WORDS:
            self._handle_request(words)
        elif words[0] == b"PING":
            silent = self.server.model.defect is not None and self.server.model.defect.mode == "silent"
            if not silent:
                self.slots.append(b"+PONG\r\n")
        elif words[0] in (b"CLIENT", b"SELECT"):
            self.slots.append(b"+OK\r\n")
        else:
            self.slots.append(b"-ERR unknown command\r\n")

    def _handle_request(self, words: list[bytes]) -> None:
        server = self.server
        name = words[2].decode("ascii", "replace")
        pending_request = server.observer.find_request(name)
        if pending_request is None:
            server.observer.protocol_violation(f"{server.model.id}: received request {name}, which no client waits for")
            self.slots.append(b"-SYNTAX\r\n")
            return
        if server.network.resets_connection():
            self.reset()
            return
        pairs = words[3].decode("ascii", "replace").split(",")
        fields = dict(pair.split("=", 1) for pair in pairs if "=" in pair)
        timeout_s = float(fields["d"]) / 1000 if fields.get("d", "").isdecimal() else DEFAULT_TIMEOUT_S
        server.observer.log("gets", name, server.model.id)
        if not server.observer.attempt_arrived(pending_request, server.model, name):
            return
        attempt = LiveAttempt(self, pending_request, name, server.kernel.now + timeout_s)
        self.slots.append(attempt)
        if not server.network.loses_answer():
            server.model.receive(attempt)

    def flush(self) -> None:
        """Write the responses that are ready, up to the first command without one."""
        if self.transport is None or not self.server.model.is_reachable:
            return
        ready = []
        while self.slots:
            slot = self.slots[0]
            data = slot if isinstance(slot, bytes) else slot.response
            if data is None:
                break
            ready.append(data)
            self.slots.popleft()
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the attempts of the connection; called by asyncio."""
        self.transport = None
        if self in self.server.connections:
            self.server.connections.discard(self)
            self.server.model.connections = max(0, self.server.model.connections - 1)
        for slot in self.slots:
            if isinstance(slot, LiveAttempt):
                slot.is_abandoned = True
                slot.close(Outcome.CANCELLED)

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()


class FakeServer:
    """The listener of one fake server, and its connections."""

    def __init__(self, model: ServerModel, kernel: Clock, network: NetworkModel, observer: AttemptObserver) -> None:
        self.model = model
        self.kernel = kernel
        self.network = network
        self.observer = observer
        self.connections: set[IngressConnection] = set()
        self.listener: asyncio.Server | None = None
        self.address = ("", 0)

    async def open(self, tls: ssl.SSLContext | None = None) -> None:
        """Listen on its address, or on a free port at first; with TLS if a context is given."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: IngressConnection(self), "127.0.0.1", self.address[1], reuse_address=True, ssl=tls
        )
        self.address = self.listener.sockets[0].getsockname()

    def drop_packets(self) -> None:
        """Drop all incoming packets: open connections stay open and silent, and new ones are never established."""
        if self.listener is not None:
            drop_packets(self.listener.sockets[0].fileno())
        for connection in self.connections:
            if connection.transport is not None:
                drop_packets(connection.transport.get_extra_info("socket").fileno())

    def reset(self) -> None:
        """Reset all connections, including those of a machine that was unreachable.

        The listener receives packets again; the model decides whether connections are accepted.
        """
        if self.listener is not None and self.listener.sockets:
            receive_packets(self.listener.sockets[0].fileno())
        for connection in list(self.connections):
            if connection.transport is not None and not connection.transport.is_closing():
                receive_packets(connection.transport.get_extra_info("socket").fileno())
            connection.reset()
        self.connections.clear()

    def close(self) -> None:
        """Stop listening and reset the connections."""
        if self.listener is not None:
            self.listener.close()
        self.reset()
