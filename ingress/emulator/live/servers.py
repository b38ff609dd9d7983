"""Stand-ins for schedule servers: the model of simulated time behind real sockets that speak PROTOCOL."""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from typing import Protocol, cast

import hiredis

from ingress.decisions.endpoint import Outcome
from ingress.emulator.gateways import PendingRequest
from ingress.emulator.kernel import Clock
from ingress.emulator.live.vanish import come_back, vanish
from ingress.emulator.network import NetworkModel
from ingress.emulator.servers import ServerModel

NOTHING = object()
REQUEST_WORDS = 4  # the command, the customer, the id and the fields
REQUESTS = (b"API.READ", b"API.WRITE")
ANSWERS = {Outcome.ERROR: b"-ERR failed\r\n", Outcome.REJECTED: b"-BUSY\r\n", Outcome.MALFORMED: b"$-1\r\n"}
LOST = 1e9  # s: the deadline of what nobody asked for


def value_of(request: str, server: str) -> bytes:
    """What that server makes for that request; a client checks that it was made for it."""
    return f"{request} by {server}".encode()


class Ledger(Protocol):
    """Who knows the requests that are under way, and checks the rules."""

    def asked(self, request: str) -> PendingRequest | None:
        """The request of this id, if anybody waits for it."""

    def arrived(self, held: PendingRequest, server: ServerModel, request: str) -> bool:
        """An attempt is here whole; whether the server still stands."""

    def ended(self, held: PendingRequest, place: int, outcome: Outcome) -> None:
        """An attempt has ended."""

    def odd(self, text: str) -> None:
        """Something came that the protocol does not allow."""

    def log(self, event: str, request: str, server: str) -> None:
        """Writes a line about the request."""


class LiveAttempt:
    """One request that a server holds."""

    def __init__(self, talk: Talk, held: PendingRequest, request: str, expires: float) -> None:
        self.talk = talk
        self.held = held
        self.request = request
        self.expires_at = expires
        self.work = held.work
        self.is_abandoned = False
        self.place = len(held.record.attempts) - 1  # among the attempts of its request
        self.epoch = talk.server.model.incarnation
        self.answer: bytes | None = None
        self.ended = False

    def complete(self, outcome: Outcome) -> None:
        """The model has decided the outcome: the answer goes out in its turn."""
        server = self.talk.server
        if self.epoch != server.model.incarnation or self.ended:
            return
        server.ledger.log(f"answers {outcome.value}", self.request, server.model.id)
        value = value_of(self.request, server.model.id)
        self.answer = ANSWERS.get(outcome) or b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        self.close(outcome)
        self.talk.flush()

    def close(self, outcome: Outcome) -> None:
        """The attempt has ended for the rules, once."""
        if not self.ended:
            self.ended = True
            self.talk.server.ledger.ended(self.held, self.place, outcome)


class Talk(asyncio.Protocol):
    """One connection of an ingress.  Answers go back in the order of the commands."""

    def __init__(self, server: StandIn) -> None:
        self.server, self.reader = server, hiredis.Reader(notEnoughData=NOTHING)
        self.slots: deque[LiveAttempt | bytes] = deque()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins the connection, or refuses it as the model says; from asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        model = self.server.model
        if model.is_reachable and not model.accepts():
            self.transport.abort()
            return
        self.server.talks.add(self)
        model.connections += 1
        model.add_handshake()

    def data_received(self, data: bytes) -> None:
        """Reads commands; from asyncio."""
        if not self.server.model.is_reachable:
            return  # nobody is there
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not NOTHING:
                self._command(words)
        except hiredis.HiredisError as error:
            self.server.ledger.odd(f"{self.server.model.id}: not RESP: {error}")
            self.end()
        self.flush()

    def _command(self, words: object) -> None:
        if not isinstance(words, list) or not words or not all(isinstance(w, bytes) for w in words):
            self.server.ledger.odd(f"{self.server.model.id}: no command: {words!r:.80}")
            self.slots.append(b"-SYNTAX\r\n")
        elif words[0] in REQUESTS and len(words) >= REQUEST_WORDS:
            self._request(words)
        elif words[0] == b"PING":
            silent = self.server.model.defect is not None and self.server.model.defect.mode == "silent"
            if not silent:
                self.slots.append(b"+PONG\r\n")
        elif words[0] in (b"CLIENT", b"SELECT"):
            self.slots.append(b"+OK\r\n")
        else:
            self.slots.append(b"-ERR unknown command\r\n")

    def _request(self, words: list[bytes]) -> None:
        server = self.server
        name = words[2].decode("ascii", "replace")
        held = server.ledger.asked(name)
        if held is None:
            server.ledger.odd(f"{server.model.id}: request {name} was never asked")
            self.slots.append(b"-SYNTAX\r\n")
            return
        if server.network.resets_connection():
            self.end()
            return
        pairs = words[3].decode("ascii", "replace").split(",")
        names = dict(pair.split("=", 1) for pair in pairs if "=" in pair)
        wait = float(names["d"]) / 1000 if names.get("d", "").isdecimal() else LOST
        server.ledger.log("gets", name, server.model.id)
        if not server.ledger.arrived(held, server.model, name):
            return
        attempt = LiveAttempt(self, held, name, server.kernel.now + wait)
        self.slots.append(attempt)
        if not server.network.loses_answer():
            server.model.receive(attempt)

    def flush(self) -> None:
        """Writes the answers that are ready, in the order of the commands."""
        if self.transport is None or not self.server.model.is_reachable:
            return
        ready = []
        while self.slots:
            first = self.slots[0]
            data = first if isinstance(first, bytes) else first.answer
            if data is None:
                break
            ready.append(data)
            self.slots.popleft()
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))

    def connection_lost(self, _exc: Exception | None) -> None:
        """Ends the attempts of the connection; from asyncio."""
        self.transport = None
        if self in self.server.talks:
            self.server.talks.discard(self)
            self.server.model.connections = max(0, self.server.model.connections - 1)
        for slot in self.slots:
            if isinstance(slot, LiveAttempt):
                slot.is_abandoned = True
                slot.close(Outcome.CANCELLED)

    def end(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()


class StandIn:
    """The listener of one server."""

    def __init__(self, model: ServerModel, kernel: Clock, network: NetworkModel, ledger: Ledger) -> None:
        self.model = model
        self.kernel = kernel
        self.network = network
        self.ledger = ledger
        self.talks: set[Talk] = set()
        self.listener: asyncio.Server | None = None
        self.address = ("", 0)

    async def open(self, tls: ssl.SSLContext | None = None) -> None:
        """Listens on its address, with TLS if told."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: Talk(self), "127.0.0.1", self.address[1], reuse_address=True, ssl=tls
        )
        self.address = self.listener.sockets[0].getsockname()

    def vanish(self) -> None:
        """Connections stay open and silent, and new ones never come up."""
        if self.listener is not None:
            vanish(self.listener.sockets[0].fileno())
        for talk in self.talks:
            if talk.transport is not None:
                vanish(talk.transport.get_extra_info("socket").fileno())

    def reset(self) -> None:
        """Resets all connections, also those of a machine that had vanished.

        The listener receives packets again, and the model says whether it accepts.
        """
        if self.listener is not None and self.listener.sockets:
            come_back(self.listener.sockets[0].fileno())
        for talk in list(self.talks):
            if talk.transport is not None and not talk.transport.is_closing():
                come_back(talk.transport.get_extra_info("socket").fileno())
            talk.end()
        self.talks.clear()

    def close(self) -> None:
        """Stops listening and resets the connections."""
        if self.listener is not None:
            self.listener.close()
        self.reset()
