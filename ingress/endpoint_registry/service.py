"""The HTTP API of the registry: reading, watching and changing the endpoint list."""

from __future__ import annotations

import asyncio
import hmac
import logging
import sqlite3
import time
from collections.abc import Awaitable, Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from aiohttp import web

from ingress.configuration.json_schema import ArraySchema, NumberSchema, ObjectSchema, StringSchema, Validator, parse
from ingress.endpoint_registry.catalog import Catalog, EntryRecord
from ingress.endpoint_registry.leases import Leases
from ingress.endpoint_registry.list_api import CallRejectedError, ListApi, answer_rejections, read_query_number
from ingress.endpoint_registry.store import Store
from ingress.runtime.sockets import MAX_PORT

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 1 << 20
LEASE_CHECK_PERIOD_S = 0.25
ENTRY_SCHEMA = ObjectSchema(
    {
        "id": StringSchema(),
        "addr": StringSchema(),
        "zone": StringSchema(allow_empty=True),
        "kind": StringSchema(allow_empty=True),
        "cell": NumberSchema(integer=True),
        "state": StringSchema(("ready", "draining")),
        "weight": NumberSchema(maximum=1e9),
        "started_ms": NumberSchema(integer=True),
        "ttl_s": NumberSchema(minimum=0.5, maximum=86_400.0),
    },
    frozenset({"id", "addr"}),
)
ENTRIES_SCHEMA = ObjectSchema({"servers": ArraySchema(ENTRY_SCHEMA, 1, "id")}, frozenset({"servers"}))
ENTRY_DEFAULTS = {"zone": "", "kind": "", "cell": 0, "state": "ready", "weight": 1.0, "started_ms": 0}


def read_entries(text: str, name: str | None = None) -> list[tuple[EntryRecord, float]]:
    """Parse the entries of a write, each with its lease duration in seconds, 0 for none.

    Args:
        text: The body of the call.
        name: The id in the path if the body is a single entry, otherwise None.

    Raises:
        CallRejectedError: The body is invalid; the error lists every fault.
    """
    try:
        body = parse(text)
    except ValueError as error:
        raise CallRejectedError(400, f"body: not JSON: {error}") from None
    if not isinstance(body, dict):
        raise CallRejectedError(400, "body: not an object")
    if name is not None:
        body.setdefault("id", name)
    validator = Validator()
    validator.check(body, ENTRIES_SCHEMA if name is None else ENTRY_SCHEMA, "")
    entries = body.get("servers", []) if name is None else [body]
    for number, entry in enumerate(entries if isinstance(entries, list) else []):
        if isinstance(entry, dict):
            _check_entry(validator, entry, f"servers[{number}]." if name is None else "", name)
    unknown = [f"{key}: unknown" for key in validator.unknown_keys]
    if validator.faults or unknown:
        raise CallRejectedError(400, *validator.faults, *unknown)
    return [(_without_lease(entry), float(entry.get("ttl_s", 0.0))) for entry in entries]


def _check_entry(validator: Validator, entry: EntryRecord, path: str, name: str | None) -> None:
    host, _, port = str(entry.get("addr", "")).rpartition(":")
    if "addr" in entry and not (host and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        validator.add_fault(f"{path}addr", f"{entry['addr']!r} is not an address and port")
    if name is not None and entry.get("id") != name:
        validator.add_fault("id", f"{entry.get('id')!r} is not the one in the path")


def _without_lease(entry: EntryRecord) -> EntryRecord:
    return {**ENTRY_DEFAULTS, **{key: value for key, value in entry.items() if key != "ttl_s"}}


class Service(ListApi):
    """Serves the catalog, and handles the calls that change the catalog, its store and its leases."""

    def __init__(self, store: Store, token: str, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__(Catalog(store.version, ((entry, changed) for entry, changed, _ in store.rows)), store.name)
        self.store = store
        self.token = token
        self.clock = clock
        self.leases = Leases(clock(), ((entry["id"], lease) for entry, _, lease in store.rows if lease))
        self.store_thread = ThreadPoolExecutor(1, "store")
        self.write_lock = asyncio.Lock()
        self.expiry_task = self.loop.create_task(self._expire_leases())

    # Changes

    async def write(self, rows: Iterable[tuple[EntryRecord, float]]) -> int:
        """Store entries and their lease durations in seconds as the next version, and serve it once it is on disk.

        The caller must hold `write_lock`.

        Raises:
            CallRejectedError: The store failed to write the entries.
        """
        rows = list(rows)
        version = self.catalog.version + 1
        try:
            await self.loop.run_in_executor(self.store_thread, self.store.write, version, rows)
        except (sqlite3.Error, OSError) as error:
            log.error("storing list version %d failed: %s", version, error)
            raise CallRejectedError(507, f"not stored: {error}") from error
        self.catalog.apply(version, [entry for entry, _ in rows])
        for entry, lease in rows:
            if entry["state"] != "gone" and lease:
                self.leases.grant(entry["id"], lease, self.clock())
            else:
                self.leases.remove(entry["id"])
        self.notify()
        return version

    def _require_version(self, name: str, if_match: str | None) -> None:
        found = self.catalog.entry(name)
        if if_match is not None and (found is None or if_match.strip('" ') != str(found[0])):
            raise CallRejectedError(412, f"{name}: version {found[0] if found else 'none'}, not {if_match}")

    async def _expire_leases(self) -> None:
        suspended = 0
        while True:
            await asyncio.sleep(LEASE_CHECK_PERIOD_S)
            expired = self.leases.expire(self.clock())
            if len(self.leases.suspended) > suspended:
                log.warning(
                    "%d entries are suspended because too many would expire together; renew or release them",
                    len(self.leases.suspended),
                )
            suspended = len(self.leases.suspended)
            if expired:
                try:
                    await self.remove(expired)
                except CallRejectedError as error:
                    log.error("removing expired entries failed: %s", error)

    async def remove(self, names: list[str]) -> int:
        """Remove entries, and return the new version, or 0 if none of them is in the list.

        Raises:
            CallRejectedError: The store failed to write the change.
        """
        async with self.write_lock:
            entries = [found[1] for name in names if (found := self.catalog.entry(name))]
            return await self.write([({**entry, "state": "gone"}, 0.0) for entry in entries]) if entries else 0

    # Calls

    async def put_entry(self, request: web.Request) -> web.StreamResponse:
        """Register or replace one entry."""
        name = request.match_info["name"]
        rows = read_entries(await request.text(), name)
        async with self.write_lock:
            self._require_version(name, request.headers.get("If-Match"))
            return self._version_response(await self.write(rows))

    async def post_entries(self, request: web.Request) -> web.StreamResponse:
        """Register or replace several entries in one version."""
        rows = read_entries(await request.text())
        async with self.write_lock:
            return self._version_response(await self.write(rows))

    async def drain_entry(self, request: web.Request) -> web.StreamResponse:
        """Mark an entry as draining."""
        return await self._change_state(request, "draining")

    async def delete_entry(self, request: web.Request) -> web.StreamResponse:
        """Remove an entry."""
        return await self._change_state(request, "gone")

    async def _change_state(self, request: web.Request, state: str) -> web.StreamResponse:
        name = request.match_info["name"]
        if_match = request.headers.get("If-Match")
        async with self.write_lock:
            found = self.catalog.entry(name)
            if found is None:
                raise CallRejectedError(404, f"{name}: not there")
            self._require_version(name, if_match)
            entry = {**found[1], "state": state}
            return self._version_response(await self.write([(entry, self.leases.durations.get(name, 0.0))]))

    async def renew_lease(self, request: web.Request) -> web.StreamResponse:
        """Renew the lease of an entry."""
        name = request.match_info["name"]
        found = self.catalog.entry(name)
        if found is None or not self.leases.renew(name, self.clock()):
            raise CallRejectedError(404, f"{name}: not there, or without a lease")
        return self._version_response(found[0])

    async def release_suspended(self, request: web.Request) -> web.StreamResponse:
        """Remove suspended entries for an operator, the oldest first; the query key `most` limits their number."""
        limit = read_query_number(request, "most")
        version = await self.remove(self.leases.suspended_oldest_first()[:limit])
        return self._version_response(version or self.catalog.version)

    def _version_response(self, version: int) -> web.Response:
        return web.json_response({"version": version}, headers={"ETag": f'"{version}"'})

    async def get_status(self, _request: web.Request) -> web.StreamResponse:
        """Return the status of the service, for operators."""
        return web.json_response(
            {
                "store": self.store.name,
                "version": self.catalog.version,
                "floor": self.catalog.oldest_known_version,
                "entries": len(self.catalog.entries()),
                "leases": len(self.leases.durations),
                "held": self.leases.suspended_oldest_first(),
                "watchers": self.watchers,
                "turned_away": self.rejected_count,
                "encoded": self.catalog.encode_count,
            }
        )

    @web.middleware
    async def authenticate(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Reject a call that changes something and does not carry the token."""
        if request.method != "GET" and not self._is_authenticated(request):
            raise CallRejectedError(401, "a token is needed")
        return await handler(request)

    def _is_authenticated(self, request: web.Request) -> bool:
        token = request.headers.get("Authorization", "").removeprefix("Bearer ")
        return bool(self.token) and hmac.compare_digest(token.encode(), self.token.encode())

    def app(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(middlewares=[answer_rejections, self.authenticate], client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/api/targets", self.get_targets),
                web.get("/status", self.get_status),
                web.post("/api/targets", self.post_entries),
                web.put("/api/targets/{name}", self.put_entry),
                web.delete("/api/targets/{name}", self.delete_entry),
                web.post("/api/targets/{name}/drain", self.drain_entry),
                web.post("/api/targets/{name}/renew", self.renew_lease),
                web.post("/api/release", self.release_suspended),
            ]
        )
        return app

    async def close(self) -> None:
        """Stop the tasks, wait for a write in progress, and close the store."""
        self.expiry_task.cancel()
        self.stop_notifying()
        await asyncio.gather(self.expiry_task, return_exceptions=True)
        async with self.write_lock:
            self.store_thread.shutdown()
        self.store.close()
