"""The relay: serves many readers through one upstream watch, and serves the last list during an outage.

An upstream response is accepted by these rules.  A higher version of the followed store is applied at once.  A lower
version of the same store is stale: the next address is polled.  Another store is followed if it has a higher version,
or if the followed store has not answered for FOLLOW_OTHER_STORE_AFTER_S; never if its list is empty and the list of the
relay is not.  Readers see the relay's own versions, which only increase.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import os
import random
import time
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from msgspec import Struct

from ingress.discovery.client import read_endpoint_list
from ingress.endpoint_registry.catalog import Catalog, EntryRecord
from ingress.endpoint_registry.list_api import ListApi, answer_rejections
from ingress.errors import IngressError
from ingress.runtime.logs import LOGGED_FAILURE_COUNTS

log = logging.getLogger(__name__)

WATCH_WAIT_MS = 20_000
RESPONSE_GRACE_S = 3.0  # The time beyond the wait in which a response must be complete.
CONNECT_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.1  # The average backoff; it doubles each time that all addresses have failed.
MAX_BACKOFF_S = 2.0  # The limit of the average backoff.
MAX_BACKOFF_DOUBLINGS = 8
BACKOFF_JITTER_RATIO = 0.5
FOLLOW_OTHER_STORE_AFTER_S = 10.0  # The time runs from the last response of the followed store.
MAX_RESPONSE_BYTES = 64 << 20


class UpstreamListError(IngressError):
    """An upstream response that is not accepted."""


class UpstreamList(Struct, frozen=True):
    """An upstream response.

    Attributes:
        version: The list version of the upstream store.
        full: Whether the entries are the full list rather than changes.
        entries: The valid entries.
    """

    version: int
    full: bool
    entries: list[EntryRecord]


def read_upstream_list(body: Any) -> UpstreamList:
    """Parse an upstream response.

    Raises:
        UpstreamListError: The response is not a valid endpoint list.
    """
    try:
        listing = read_endpoint_list(body)
    except ValueError as error:
        raise UpstreamListError(f"invalid endpoint list: {error}") from None
    return UpstreamList(
        listing.version,
        listing.is_complete,
        [entry for entry in body["servers"] if isinstance(entry, dict) and entry.get("id") in listing.addresses],
    )


class RelayCache:
    """A copy of the last list on disk, replaced atomically; without a folder, nothing is stored."""

    def __init__(self, folder: Path | None) -> None:
        self.path = None if folder is None else folder / "relay.json"
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)

    def load(self) -> dict[str, Any] | None:
        """Return the saved state, or None if there is none or its checksum does not match."""
        if self.path is None:
            return None
        try:
            checksum, _, text = self.path.read_text(encoding="utf-8").partition("\n")
        except FileNotFoundError:
            return None
        if checksum != hashlib.sha256(text.encode()).hexdigest():
            log.error("%s: checksum mismatch; ignoring the cached list", self.path)
            return None
        state: dict[str, Any] = json.loads(text)
        return state

    def save(self, state: dict[str, Any]) -> None:
        """Save a state; its content is synced to disk when this returns."""
        if self.path is None:
            return
        text = json.dumps(state)
        draft = self.path.with_suffix(".new")
        with draft.open("w", encoding="utf-8") as file:
            file.write(f"{hashlib.sha256(text.encode()).hexdigest()}\n{text}")
            file.flush()
            os.fsync(file.fileno())
        draft.rename(self.path)


class Relay(ListApi):
    """Follows one upstream store and serves its list.

    Attributes:
        addresses: The upstream addresses.
        upstream_index: The index of the address that is polled.
        followed_store: The name of the followed store.
        followed_version: The version of the followed store that was applied last.
        followed_store_seen_at: The time of the last accepted response of the followed store, initially the start.
        last_response_at: The time of the last accepted response, or None before the first one.
        is_incremental: Whether the next poll may request only the changes.
        failures: The number of consecutive failed polls.
    """

    def __init__(self, upstream: Sequence[tuple[str, int]], cache: RelayCache) -> None:
        cached = cache.load() or {"version": 0, "rows": [], "store": "", "upstream": 0}
        super().__init__(Catalog(cached["version"], ((entry, cached["version"]) for entry in cached["rows"])), "relay")
        self.addresses = list(upstream)
        self.cache = cache
        self.followed_store = str(cached["store"])
        self.followed_version = int(cached["upstream"])
        self.last_response_at: float | None = None
        self.followed_store_seen_at = time.monotonic()
        self.is_incremental = False
        self.upstream_index = 0
        self.failures = 0
        self.cache_lock = asyncio.Lock()
        self.follow_task = self.loop.create_task(self._follow())

    async def _follow(self) -> None:
        timeout = aiohttp.ClientTimeout(total=WATCH_WAIT_MS / 1000 + RESPONSE_GRACE_S, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    await self._poll(session)
                    self.failures = 0
                except (aiohttp.ClientError, OSError, ValueError, UpstreamListError) as error:
                    await asyncio.sleep(self._backoff(error))

    def _backoff(self, error: Exception) -> float:
        """Switch to the next address and to a full list, and return the seconds to wait before the next poll."""
        if self.failures in LOGGED_FAILURE_COUNTS:
            address = self.addresses[self.upstream_index]
            log.warning("polling upstream %s:%d failed: %s: %s", *address, type(error).__name__, error)
        self.is_incremental = False
        self.upstream_index = (self.upstream_index + 1) % len(self.addresses)
        doublings = min(self.failures // len(self.addresses), MAX_BACKOFF_DOUBLINGS)
        self.failures += 1
        return min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**doublings) * random.uniform(
            1 - BACKOFF_JITTER_RATIO, 1 + BACKOFF_JITTER_RATIO
        )

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        host, port = self.addresses[self.upstream_index]
        query = f"?after={self.followed_version}&wait_ms={WATCH_WAIT_MS}" if self.is_incremental else ""
        async with session.get(f"http://{host}:{port}/api/targets{query}") as response:
            if response.status != HTTPStatus.OK:
                raise UpstreamListError(f"expected HTTP status 200, received {response.status}")
            data = await response.content.read(MAX_RESPONSE_BYTES + 1)
            while not response.content.at_eof() and len(data) <= MAX_RESPONSE_BYTES:
                data += await response.content.read(MAX_RESPONSE_BYTES + 1 - len(data))
            if len(data) > MAX_RESPONSE_BYTES:
                raise UpstreamListError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
            store = response.headers.get("X-Store", "")
        await self.apply_response(store, read_upstream_list(json.loads(data)))

    async def apply_response(self, store: str, response: UpstreamList) -> None:
        """Apply a response of an upstream store.

        Raises:
            UpstreamListError: The rules in the module docstring do not accept the response.
        """
        now = time.monotonic()
        self._require_acceptable(store, response, now)
        changes = self._changes(response)
        is_new_version = (store, response.version) != (self.followed_store, self.followed_version)
        self.followed_store = store
        self.followed_version = response.version
        self.is_incremental = True
        self.last_response_at = now
        self.followed_store_seen_at = now
        if changes or not self.catalog.version:
            self.catalog.apply(max(self.catalog.version + 1, response.version), changes)
            self.notify()
        if changes or is_new_version:
            async with self.cache_lock:
                state = {
                    "version": self.catalog.version,
                    "rows": self.catalog.entries(),
                    "store": store,
                    "upstream": response.version,
                }
                await asyncio.to_thread(self.cache.save, state)

    def _require_acceptable(self, store: str, response: UpstreamList, now: float) -> None:
        is_followed = store == self.followed_store or not self.followed_store
        if is_followed and response.version < self.followed_version:
            raise UpstreamListError(
                f"stale list: received version {response.version}, already at {self.followed_version}"
            )
        if is_followed:
            if not response.full and not self.is_incremental:
                raise UpstreamListError("received changes in response to a request for the full list")
            return
        if not response.full:
            raise UpstreamListError(f"received changes of store {store!r}, following {self.followed_store!r}")
        if not response.entries and self.catalog.entries():
            raise UpstreamListError(f"ignoring the empty list of another store {store!r}")
        if response.version <= self.followed_version and now - self.followed_store_seen_at < FOLLOW_OTHER_STORE_AFTER_S:
            raise UpstreamListError(
                f"ignoring version {response.version} of another store {store!r}: "
                f"{self.followed_store!r} is at version {self.followed_version} and answered recently"
            )
        log.warning("now following store %s instead of %s", store, self.followed_store)

    def _changes(self, response: UpstreamList) -> list[EntryRecord]:
        """Return the changes that turn the served list into the upstream list."""
        served = {entry["id"]: entry for entry in self.catalog.entries()}
        changes = [
            entry
            for entry in response.entries
            if served.get(entry["id"]) != entry and (entry["state"] != "gone" or entry["id"] in served)
        ]
        if response.full:
            present = {entry["id"] for entry in response.entries}
            changes += [{**entry, "state": "gone"} for name, entry in served.items() if name not in present]
        return changes

    async def get_targets(self, request: web.Request) -> web.StreamResponse:
        """Return the list or its changes; reject the call until a first list is available."""
        if not self.catalog.version:
            return self.reject_busy()
        return await super().get_targets(request)

    async def get_status(self, _request: web.Request) -> web.StreamResponse:
        """Return the status of the relay, for operators."""
        age = None if self.last_response_at is None else round(time.monotonic() - self.last_response_at, 3)
        return web.json_response(
            {
                "version": self.catalog.version,
                "entries": len(self.catalog.entries()),
                "watchers": self.watchers,
                "turned_away": self.rejected_count,
                "upstream": "{}:{}".format(*self.addresses[self.upstream_index]),
                "upstream_version": self.followed_version,
                "store": self.followed_store,
                "connected": self.is_incremental,
                "age_s": age,
            }
        )

    def app(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(middlewares=[answer_rejections])
        app.add_routes([web.get("/api/targets", self.get_targets), web.get("/status", self.get_status)])
        return app

    async def close(self) -> None:
        """Stop following the upstream store."""
        self.follow_task.cancel()
        await asyncio.gather(self.follow_task, return_exceptions=True)
        self.stop_notifying()
