"""Discovery: the list of backends, kept up to date by a watch on the agent."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from mulleinhall.interface import Backend, ListKind, Readiness, Settings
from mulleinhall.net.http import BusyError, HttpConnection, HttpError

log = logging.getLogger(__name__)

WAIT_MS = 20_000  # of a watch: what is new comes at once; a silent agent is given up after this
GRACE = 2.0  # s: an agent answers at once, or once the wait is over
FIRST_WAIT_MS = 4_000  # of the first watch, and of one after a failure: a lost call is noticed sooner
ASK_TIMEOUT = 6.0  # s for a call that doesn't wait: so long the news counts as not told
PAUSE, LONGEST_PAUSE = 0.1, 2.0  # s between tries while the agent fails, on the mean: doubled each time
LONGEST_AFTER = 60.0  # s: a service that asks to be left alone for longer is asked again all the same


def busy_pauses(settings: Settings) -> tuple[float, float]:
    """The first and the longest pause, s on the mean, after an answer that discovery has no room.  Danger: it
    works on calls that nobody waits for any more, so that calls beyond its room let none through.  All gateways
    together begin with a call in PAUSE.  The longest keeps half as much again within the time after which an
    ingress whose calls fail counts as told, four times `ask_within`."""
    if not settings.ask_within:
        return PAUSE, LONGEST_PAUSE
    return min(PAUSE * settings.gateways, settings.ask_within / 2), 2 * settings.ask_within


class Listing(Struct, frozen=True):
    """One answer: the version, whether it holds the whole list, the entries and their addresses."""

    version: int
    full: bool
    backends: tuple[Backend, ...]
    addresses: dict[str, tuple[str, int]]


def _read_entry(row: Any) -> tuple[Backend, tuple[str, int]]:
    host, _, port = row["addr"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"addr: {row['addr']!r}")
    name, started, weight = row["id"], row.get("started_ms") or 0, row.get("weight", 1.0)
    if not isinstance(name, str) or not name:
        raise ValueError(f"id: {name!r}")
    if not 0 <= started < 1e15 or not 0 <= weight < 1e9:
        raise ValueError("started_ms or weight is out of range")
    return Backend(name, row.get("zone", ""), row.get("kind", ""), row.get("cell", 0),
                   Readiness(row["state"]), float(weight), started / 1000), (host, int(port))


def read_listing(body: Any) -> Listing:
    """Reads an answer.  An entry that makes no sense is skipped; ValueError if the whole does not."""
    if not isinstance(body, dict) or not isinstance(body.get("servers"), list):
        raise ValueError("no list of servers")
    version = body.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        raise ValueError(f"version: {version!r}")
    backends, addresses = [], {}
    for row in body["servers"]:
        try:
            backend, address = _read_entry(row)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("list version %s: entry skipped: %s: %s", version, type(error).__name__, error)
            continue
        backends.append(backend)
        addresses[backend.id] = address
    return Listing(version, bool(body.get("full")), tuple(backends), addresses)


class Discovery:
    """Follows the agent for as long as `run` runs; each change goes to `told`."""

    def __init__(self, address: tuple[str, int], told: Callable[[ListKind, Listing], None], version: int | None,
                 rng: random.Random, busy: tuple[float, float] = (PAUSE, LONGEST_PAUSE)) -> None:
        """`version`: of the list that is held, None where there is none; `busy`: as from `busy_pauses`."""
        self.told, self.rng, self.busy = told, rng, busy
        self.asking: asyncio.Task[None] | None = None  # the call or the pause that is on
        self.address, self.settled = address, False  # `settled`: the last call went well
        # Of the list that is held: what changed since is enough; None asks for all of it.  Danger: a whole list
        # for each ingress is more than discovery has room for when all start at once.
        self.version = version
        self.held, self.heard = version or 0, 0.0  # version of the list in use; when the agent last spoke, or 0

    def begin(self, version: int) -> None:
        """Another list is held than the one known at first."""
        self.version, self.held = version, version

    def figures(self) -> dict[str, int]:
        """The version held, and how long ago the agent last said that it holds, -1 for never."""
        age = -1 if not self.heard else round((time.monotonic() - self.heard) * 1000)
        return {"list.version": self.held, "list.age_ms": age}

    def move(self, address: tuple[str, int]) -> None:
        """From now on the agent is sought at `address`, at once and for the whole list."""
        self.address = address
        self.version, self.settled = None, False
        if self.asking is not None:
            self.asking.cancel()

    async def run(self) -> None:
        try:
            while True:
                self.asking = asyncio.create_task(self._follow(HttpConnection(self.address)))
                await asyncio.wait({self.asking})  # until a move cancels it
        finally:
            if self.asking is not None:
                self.asking.cancel()
                await asyncio.wait({self.asking})

    async def _follow(self, agent: HttpConnection) -> None:
        """Asks one agent again and again, until it is cancelled."""
        failures = 0
        try:
            while True:
                try:
                    await self._ask(agent)
                    failures = 0
                except Exception as error:
                    # Guards against an agent that is silent, gone or speaks nonsense, and against a fault in
                    # what is done with a list: the last one is kept, and tries are spaced, each ingress by
                    # draws of its own, for discovery may be short of room.  What made no sense is followed
                    # by a call for the whole list.
                    if failures in (0, 10, 100, 1000):
                        log.warning("discovery: %s: %s", type(error).__name__, error)
                    if not isinstance(error, OSError | HttpError):  # a TimeoutError is an OSError
                        self.version = None
                    self.settled = False
                    await asyncio.sleep(self._pause(error, failures))
                    failures += 1
        finally:
            agent.close()

    def _pause(self, error: Exception, failures: int) -> float:
        """s until the next try after so many failures and this one."""
        (first, longest), least = (PAUSE, LONGEST_PAUSE), 0.0
        if isinstance(error, BusyError):
            (first, longest), least = self.busy, min(error.after, LONGEST_AFTER)
        pause: float = min(longest, first * 2 ** min(failures, 8)) * self.rng.uniform(0.5, 1.5)
        return max(least, pause)

    async def _ask(self, agent: HttpConnection) -> None:
        query, limit = "", ASK_TIMEOUT
        if self.version is not None:
            wait = WAIT_MS if self.settled else FIRST_WAIT_MS
            query, limit = f"?after={self.version}&wait_ms={wait}", wait / 1000 + GRACE
        async with asyncio.timeout(limit):
            body = await agent.get("/api/targets" + query)
        listing = read_listing(json.loads(body))
        if not listing.full and (self.version is None or listing.version < self.version):
            # Guards against an agent that began anew: its changes don't apply to the list held here.
            raise ValueError(f"changes of version {listing.version} for version {self.version}")
        self.version, self.settled = listing.version, True
        self.held, self.heard = listing.version, time.monotonic()
        if listing.full:
            self.told(ListKind.REPLACE, listing)
        elif listing.backends:
            self.told(ListKind.UPDATE, listing)
