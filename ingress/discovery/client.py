"""The client of the discovery service, which keeps the endpoint list up to date with a watch."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.events import EndpointListKind
from ingress.decisions.settings import Settings
from ingress.discovery.http import BusyError, HttpConnection, HttpError
from ingress.runtime.clock import MS_PER_SECOND, Clock
from ingress.runtime.logs import LOGGED_FAILURE_COUNTS
from ingress.runtime.sockets import MAX_PORT, Address

log = logging.getLogger(__name__)

# A change must be in use within 6 s after discovery has it and is reachable, and within 4 s after a reload. Therefore a
# lost call times out after these times, and the next one follows after a short pause.
WATCH_WAIT_MS = 2_400  # a watch returns at once on a change, or after this wait, which reveals an unresponsive service
WATCH_GRACE_S = 2.0  # a watch may spend this time in the queue of the service in addition to its wait
POLL_TIMEOUT_S = 2.5  # timeout of a call without a wait, such as the first one after a reload
MIN_PAUSE_S = 0.1  # mean pause after the first failure, doubled with each further one
MAX_PAUSE_S = 0.6  # limit of the mean pause
MAX_PAUSE_DOUBLINGS = 8
# While discovery reports that it is overloaded, all gateways call in rounds by the clock that they share.
ROUND_INTERVAL_S = 4.5
ROUND_SPREAD_S = 0.5  # the calls of one round are spread over this time
MAX_WATCH_WAIT_MS = 20_000  # limit of the wait while discovery is overloaded
WAIT_GROWTH_FACTOR = 2.0  # the wait grows by this factor after each response that reports overload
WAIT_DECAY_FACTOR = 0.9  # the wait shrinks by this factor after each successful response
PAUSE_JITTER_FACTORS = (0.5, 1.5)  # lowest and highest factor of a pause
MAX_STARTED_MS = 1e15
MAX_WEIGHT = 1e9

UpdateHandler = Callable[[EndpointListKind, "EndpointList"], None]


def initial_busy_pause(settings: Settings) -> float:
    """Return the mean pause (in seconds) after the first response that reports overload.

    With it, all gateways together begin with one call per `MIN_PAUSE_S`.
    """
    if not settings.discovery_poll_deadline:
        return MIN_PAUSE_S
    return min(MIN_PAUSE_S * settings.gateway_count, ROUND_INTERVAL_S)


class EndpointList(Struct, frozen=True):
    """One response of discovery; unless it is complete, it holds only the changes since the requested version."""

    version: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, Address]  # by endpoint id


def read_endpoint_list(body: Any) -> EndpointList:
    """Parse the JSON body of a response; malformed entries are logged and skipped.

    Raises:
        ValueError: The body has no list of entries or no valid version.
    """
    entries = body.get("servers") if isinstance(body, dict) else None
    if type(entries) is not list:
        raise ValueError("the response body has no list under the key 'servers'")
    version = body.get("version")
    if type(version) is not int:  # a bool is not accepted as a version
        raise ValueError(f"the version of the endpoint list must be an integer, found {version!r}")
    endpoints: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    for entry in entries:
        try:
            address = _read_endpoint_address(entry)
            endpoint = _read_endpoint(entry)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("endpoint list %s: skipping a malformed entry: %s: %s", version, type(error).__name__, error)
            continue
        endpoints.append(endpoint)
        addresses[endpoint.id] = address
    return EndpointList(version, bool(body.get("full")), tuple(endpoints), addresses)


def _read_endpoint(entry: Any) -> Endpoint:
    endpoint_id = entry["id"]
    started_ms = entry.get("started_ms") or 0
    weight = entry.get("weight", 1.0)
    if not isinstance(endpoint_id, str) or not endpoint_id:
        raise ValueError(f"the endpoint id must be a non-empty string, found {endpoint_id!r}")
    if not 0 <= started_ms < MAX_STARTED_MS or not 0 <= weight < MAX_WEIGHT:
        raise ValueError(f"started_ms ({started_ms!r}) or weight ({weight!r}) is out of range")
    return Endpoint(
        id=endpoint_id,
        zone=entry.get("zone", ""),
        kind=entry.get("kind", ""),
        cell=entry.get("cell", 0),
        readiness=Readiness(entry["state"]),
        weight=float(weight),
        started_at=started_ms / MS_PER_SECOND,
    )


def _read_endpoint_address(entry: Any) -> Address:
    host, _, port = entry["addr"].rpartition(":")
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"addr must be HOST:PORT with a port of 1 to {MAX_PORT}, found {entry['addr']!r}")
    return host, int(port)


class DiscoveryClient:
    """Watches the discovery service, and passes each list and each set of changes to `on_update`."""

    def __init__(
        self,
        address: Address,
        on_update: UpdateHandler,
        version: int | None,
        rng: random.Random,
        clock: Clock,
        busy_pause: float = MIN_PAUSE_S,
    ) -> None:
        """Prepare a watch that `run` starts.

        Args:
            address: The address of the service.
            on_update: The handler that applies each response with endpoints.
            version: The version of the known list, None if there is none.
            rng: The random generator for the jitter of pauses.
            clock: The clock of Unix time, which all gateways share.
            busy_pause: The result of `initial_busy_pause`.
        """
        self.address = address
        self.on_update = on_update
        self.rng = rng
        self.clock = clock
        self.busy_pause = busy_pause
        self.poll_task: asyncio.Task[None] | None = None
        self.wait_ms = float(WATCH_WAIT_MS)  # the wait of the next watch
        # None requests a complete list. Discovery cannot answer such requests of all gateways when they start at the
        # same time, so a gateway that already has a list requests only the changes since its version.
        self.version = version
        self.active_version = version or 0  # the version of the list in use
        self.last_reply_at = 0.0  # on the monotonic clock; 0 before the first reply

    def set_version(self, version: int) -> None:
        """Set the version of a list that was obtained and applied without this client."""
        self.version = version
        self.active_version = version

    def metrics(self) -> dict[str, int]:
        """Return the version in use and the time since discovery last confirmed it.

        The time is in milliseconds, -1 if discovery never has.
        """
        age_ms = -1
        if self.last_reply_at:
            age_ms = round((time.monotonic() - self.last_reply_at) * MS_PER_SECOND)
        return {"list.version": self.active_version, "list.age_ms": age_ms}

    def change_address(self, address: Address) -> None:
        """Poll the service at another address from now on, first for a complete list."""
        self.address = address
        self.version = None
        self.wait_ms = float(WATCH_WAIT_MS)
        if self.poll_task is not None:
            self.poll_task.cancel()

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                self.poll_task = asyncio.create_task(self._watch(HttpConnection(self.address)))
                await asyncio.wait({self.poll_task})  # until a change of the address cancels it
        finally:
            if self.poll_task is not None:
                self.poll_task.cancel()
                await asyncio.wait({self.poll_task})

    async def _watch(self, connection: HttpConnection) -> None:
        """Poll one service repeatedly, until cancelled."""
        failures = 0
        try:
            while True:
                try:
                    await self._poll(connection)
                    failures = 0
                except Exception as error:
                    # The last list stays in use if the service is unresponsive or unreachable, if it sends malformed
                    # responses, or if `on_update` fails.
                    self._record_failure(error, failures)
                    await asyncio.sleep(self._pause(error, failures))
                    failures += 1
        finally:
            connection.close()

    def _record_failure(self, error: Exception, failures: int) -> None:
        """Log a failure, and adapt the next call to it.

        A malformed body or a failed update causes a request for a complete list; overload lengthens the wait.
        """
        if failures in LOGGED_FAILURE_COUNTS:
            log.warning("discovery: the poll of %s:%s failed: %s: %s", *self.address, type(error).__name__, error)
        if not isinstance(error, OSError | HttpError):  # a TimeoutError is an OSError
            self.version = None
        if isinstance(error, BusyError):
            self.wait_ms = min(self.wait_ms * WAIT_GROWTH_FACTOR, MAX_WATCH_WAIT_MS)

    def _pause(self, error: Exception, failures: int) -> float:
        """Return the time (in seconds) until the next call, given the number of earlier consecutive failures.

        Prevents congestion collapse: discovery processes calls in order, including abandoned ones, and if calls arrive
        faster than it processes them, it answers none in time. Between two rounds its queue drains.
        """
        if not isinstance(error, BusyError):
            mean: float = min(MAX_PAUSE_S, MIN_PAUSE_S * 2 ** min(failures, MAX_PAUSE_DOUBLINGS))
            return mean * self.rng.uniform(*PAUSE_JITTER_FACTORS)
        next_round: float = ROUND_INTERVAL_S - self.clock() % ROUND_INTERVAL_S + self.rng.uniform(0.0, ROUND_SPREAD_S)
        if failures:
            return next_round
        return min(next_round, max(error.retry_after, self.busy_pause * self.rng.uniform(*PAUSE_JITTER_FACTORS)))

    async def _poll(self, connection: HttpConnection) -> None:
        """Make one call and apply its response."""
        query = ""
        timeout = POLL_TIMEOUT_S
        if self.version is not None:
            wait_ms = round(self.wait_ms)
            query = f"?after={self.version}&wait_ms={wait_ms}"
            timeout = wait_ms / MS_PER_SECOND + WATCH_GRACE_S
        async with asyncio.timeout(timeout):
            body = await connection.get("/api/targets" + query)
        endpoint_list = read_endpoint_list(json.loads(body))
        if not endpoint_list.is_complete and (self.version is None or endpoint_list.version < self.version):
            # Changes from a service that has lost its state don't apply to the list in use.
            raise ValueError(
                f"received changes up to version {endpoint_list.version}, which don't apply to version {self.version}"
            )
        self.version = endpoint_list.version
        self.wait_ms = max(self.wait_ms * WAIT_DECAY_FACTOR, WATCH_WAIT_MS)
        self.active_version = endpoint_list.version
        self.last_reply_at = time.monotonic()
        if endpoint_list.is_complete:
            self.on_update(EndpointListKind.REPLACE, endpoint_list)
        elif endpoint_list.endpoints:
            self.on_update(EndpointListKind.UPDATE, endpoint_list)
