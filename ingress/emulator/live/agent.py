"""A fake discovery agent, as on the machine of an ingress: it serves the endpoint list that was published to it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import cast
from urllib.parse import parse_qs, urlsplit

import httptools

from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.events import EndpointListKind, EndpointsChanged
from ingress.runtime.sockets import Address

PATH = "/api/targets"
MOST_WAIT = 60.0


def row(entry: Endpoint, address: Address) -> dict[str, object]:
    """Return an entry in the form of the endpoint registry; `started_at` is Unix time here."""
    return {
        "id": entry.id,
        "addr": f"{address[0]}:{address[1]}",
        "zone": entry.zone,
        "kind": entry.kind,
        "cell": entry.cell,
        "state": entry.readiness.value,
        "weight": entry.weight,
        "started_ms": round(entry.started_at * 1000),
    }


class Agent:
    """A server of endpoint lists and of watches for their changes.

    Attributes:
        address_of: Returns the address of an endpoint by its ID.
        unix: Returns an entry with its start in Unix time.
        written: Called with the entries of each response and whether they are the complete list.
        since: The version from which on all changes are kept.
        silent: Whether requests stay without a response, as while discovery is down.
    """

    def __init__(
        self,
        address_of: Callable[[str], Address],
        unix: Callable[[Endpoint], Endpoint],
        written: Callable[[list[Endpoint], bool], None],
    ) -> None:
        self.address_of = address_of
        self.unix = unix
        self.written = written
        self.version = 1
        self.since = 1
        self.silent = False
        self.entries: dict[str, Endpoint] = {}
        self.changes: list[tuple[int, Endpoint]] = []
        self.waiting: set[Watch] = set()
        self.listener: asyncio.Server | None = None
        self.address: Address = ("", 0)

    async def open(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.get_running_loop().create_server(lambda: Watch(self), "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    def learn(self, event: EndpointsChanged) -> None:
        """Apply a change that discovery published, and answer the watches."""
        self.version = max(self.version + 1, event.version)
        if event.kind is EndpointListKind.REPLACE:
            self.entries = {entry.id: entry for entry in event.endpoints}
            self.changes.clear()
            self.since = self.version
        else:
            for entry in event.endpoints:
                self.changes.append((self.version, entry))
                if entry.readiness is Readiness.REMOVED:
                    self.entries.pop(entry.id, None)
                else:
                    self.entries[entry.id] = entry
        self.wake()

    def wake(self) -> None:
        """Answer the watches whose version is outdated."""
        for watch in list(self.waiting):
            watch.look()

    def known(self) -> dict[str, object]:
        """Return the complete list, as in the configuration of an ingress."""
        return {
            "version": self.version,
            "full": True,
            "servers": [row(self.unix(entry), self.address_of(entry.id)) for entry in self.entries.values()],
        }

    def answer(self, after: int | None) -> dict[str, object]:
        """Return the changes since version `after`, or the complete list if they are not known."""
        if after is None or not self.since <= after <= self.version:
            self.written(list(self.entries.values()), True)
            return self.known()
        news: dict[str, Endpoint] = {}
        for version, entry in self.changes:
            if version > after:
                news[entry.id] = entry
        self.written(list(news.values()), False)
        return {
            "version": self.version,
            "full": False,
            "servers": [row(self.unix(entry), self.address_of(entry.id)) for entry in news.values()],
        }

    def close(self) -> None:
        """Stop listening and reset the connections of the watches."""
        if self.listener is not None:
            self.listener.close()
        for watch in list(self.waiting):
            watch.end()


class Watch(asyncio.Protocol):
    """One HTTP connection to the agent, with one request at a time.

    Attributes:
        asked: The version that the pending request names, and the timer that ends its wait.
    """

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.url = b""
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.asked: tuple[int | None, asyncio.TimerHandle | None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request; called by asyncio."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._say(400, {"error": "not HTTP"})
            self.end()

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        self.url = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL; called by the parser."""
        self.url += url

    def on_message_complete(self) -> None:
        """Answer the request, or wait for a change; called by the parser."""
        parts = urlsplit(self.url.decode("ascii", "replace"))
        query = {key: found[-1] for key, found in parse_qs(parts.query).items()}
        numbers = {key: text for key, text in query.items() if text.isdecimal()}
        if parts.path != PATH or len(numbers) != len(query):
            self._say(404, {"error": "no such call"})
            return
        after = int(numbers["after"]) if "after" in numbers else None
        wait = min(MOST_WAIT, int(numbers.get("wait_ms", 0)) / 1000)
        timer = asyncio.get_running_loop().call_later(wait, self._answer) if wait else None
        self.asked = after, timer
        self.agent.waiting.add(self)
        if not wait:
            self._answer()
        else:
            self.look()

    def look(self) -> None:
        """Answer the pending request if the list has changed since the version that it names."""
        if self.asked is not None and self.asked[0] != self.agent.version:
            self._answer()

    def _answer(self) -> None:
        if self.asked is None or self.agent.silent:
            return  # a request that still waits is answered once discovery is back
        after, timer = self.asked
        if timer is not None:
            timer.cancel()
        self.asked = None
        self.agent.waiting.discard(self)
        self._say(200, self.agent.answer(after))

    def _say(self, status: int, body: dict[str, object]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            text = json.dumps(body).encode()
            reason = b"OK" if status == HTTPStatus.OK else b"Error"
            self.transport.write(
                b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (status, reason, len(text), text)
            )

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the pending request and cancel its timer; called by asyncio."""
        self.transport = None
        self.agent.waiting.discard(self)
        if self.asked is not None and self.asked[1] is not None:
            self.asked[1].cancel()
        self.asked = None

    def end(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()
