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

TARGETS_PATH = "/api/targets"
MAX_WAIT_S = 60.0


def format_entry(entry: Endpoint, address: Address) -> dict[str, object]:
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


class FakeDiscoveryAgent:
    """A server of endpoint lists and of watches for their changes.

    Attributes:
        address_of: Returns the address of an endpoint by its ID.
        with_unix_start: Returns an entry with its start in Unix time.
        on_entries_sent: Called with the entries of each response and whether they are the complete list.
        oldest_kept_version: The version from which on all changes are kept.
        silent: Whether requests stay without a response, as while discovery is down.
    """

    def __init__(
        self,
        address_of: Callable[[str], Address],
        with_unix_start: Callable[[Endpoint], Endpoint],
        on_entries_sent: Callable[[list[Endpoint], bool], None],
    ) -> None:
        self.address_of = address_of
        self.with_unix_start = with_unix_start
        self.on_entries_sent = on_entries_sent
        self.version = 1
        self.oldest_kept_version = 1
        self.silent = False
        self.entries: dict[str, Endpoint] = {}
        self.changes: list[tuple[int, Endpoint]] = []
        self.watches: set[WatchConnection] = set()
        self.listener: asyncio.Server | None = None
        self.address: Address = ("", 0)

    async def open(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.get_running_loop().create_server(lambda: WatchConnection(self), "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    def apply(self, event: EndpointsChanged) -> None:
        """Apply a change that discovery published, and answer the watches."""
        self.version = max(self.version + 1, event.version)
        if event.kind is EndpointListKind.REPLACE:
            self.entries = {entry.id: entry for entry in event.endpoints}
            self.changes.clear()
            self.oldest_kept_version = self.version
        else:
            for entry in event.endpoints:
                self.changes.append((self.version, entry))
                if entry.readiness is Readiness.REMOVED:
                    self.entries.pop(entry.id, None)
                else:
                    self.entries[entry.id] = entry
        self.answer_watches()

    def answer_watches(self) -> None:
        """Answer the watches whose version is outdated."""
        for watch in list(self.watches):
            watch.answer_if_changed()

    def endpoint_list(self) -> dict[str, object]:
        """Return the complete list, as in the configuration of an ingress."""
        return {
            "version": self.version,
            "full": True,
            "servers": [
                format_entry(self.with_unix_start(entry), self.address_of(entry.id)) for entry in self.entries.values()
            ],
        }

    def answer(self, after: int | None) -> dict[str, object]:
        """Return the changes since version `after`, or the complete list if they are not known."""
        if after is None or not self.oldest_kept_version <= after <= self.version:
            self.on_entries_sent(list(self.entries.values()), True)
            return self.endpoint_list()
        latest_changes: dict[str, Endpoint] = {}
        for version, entry in self.changes:
            if version > after:
                latest_changes[entry.id] = entry
        self.on_entries_sent(list(latest_changes.values()), False)
        return {
            "version": self.version,
            "full": False,
            "servers": [
                format_entry(self.with_unix_start(entry), self.address_of(entry.id))
                for entry in latest_changes.values()
            ],
        }

    def close(self) -> None:
        """Stop listening and reset the connections of the watches."""
        if self.listener is not None:
            self.listener.close()
        for watch in list(self.watches):
            watch.reset()


class WatchConnection(asyncio.Protocol):
    """One HTTP connection to the agent, with one request at a time.

    Attributes:
        pending_query: The version that the pending request names, and the timer that ends its wait.
    """

    def __init__(self, agent: FakeDiscoveryAgent) -> None:
        self.agent = agent
        self.url = b""
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.pending_query: tuple[int | None, asyncio.TimerHandle | None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request; called by asyncio."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._respond(400, {"error": "not HTTP"})
            self.reset()

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        self.url = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL; called by the parser."""
        self.url += url

    def on_message_complete(self) -> None:
        """Answer the request, or wait for a change; called by the parser."""
        url = urlsplit(self.url.decode("ascii", "replace"))
        query = {key: found[-1] for key, found in parse_qs(url.query).items()}
        numbers = {key: text for key, text in query.items() if text.isdecimal()}
        if url.path != TARGETS_PATH or len(numbers) != len(query):
            self._respond(404, {"error": "no such call"})
            return
        after = int(numbers["after"]) if "after" in numbers else None
        wait_s = min(MAX_WAIT_S, int(numbers.get("wait_ms", 0)) / 1000)
        timer = asyncio.get_running_loop().call_later(wait_s, self._answer_pending) if wait_s else None
        self.pending_query = after, timer
        self.agent.watches.add(self)
        if not wait_s:
            self._answer_pending()
        else:
            self.answer_if_changed()

    def answer_if_changed(self) -> None:
        """Answer the pending request if the list has changed since the version that it names."""
        if self.pending_query is not None and self.pending_query[0] != self.agent.version:
            self._answer_pending()

    def _answer_pending(self) -> None:
        if self.pending_query is None or self.agent.silent:
            return  # a request that still waits is answered once discovery is back
        after, timer = self.pending_query
        if timer is not None:
            timer.cancel()
        self.pending_query = None
        self.agent.watches.discard(self)
        self._respond(200, self.agent.answer(after))

    def _respond(self, status: int, body: dict[str, object]) -> None:
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
        self.agent.watches.discard(self)
        if self.pending_query is not None and self.pending_query[1] is not None:
            self.pending_query[1].cancel()
        self.pending_query = None

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()
