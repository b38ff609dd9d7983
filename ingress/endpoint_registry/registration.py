"""Registration of an endpoint: its lease is renewed periodically, also through outages of the registry.

A failed renewal is retried with exponential backoff and jitter, at the next address each time.  A registry that does
not have the entry (its store was lost or restored) receives the full entry again.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiohttp

from ingress.errors import IngressError
from ingress.runtime.logs import LOGGED_FAILURE_COUNTS

log = logging.getLogger(__name__)

RENEWALS_PER_LEASE = 3.0  # On average; two consecutive renewals may fail.
RENEWAL_JITTER_RATIO = 0.2  # Jitter prevents endpoints that start together from renewing together.
MIN_BACKOFF_S = 0.2  # The backoff doubles with each further retry.
MAX_BACKOFF_S = 5.0
MAX_BACKOFF_DOUBLINGS = 8
BACKOFF_JITTER_RATIO = 0.5
CALL_TIMEOUT_S = 2.0
PERMANENT_ERROR_STATUSES = (HTTPStatus.BAD_REQUEST, HTTPStatus.UNAUTHORIZED, HTTPStatus.FORBIDDEN, HTTPStatus.CONFLICT)


class RegistrationRejectedError(IngressError):
    """The registry rejected the entry or the token; a retry would not help."""


@dataclass(frozen=True, slots=True)
class Entry:
    """The entry to register, with the field names of `PUT /api/targets/ID`; `ttl_s` is the lease duration."""

    id: str
    addr: str
    ttl_s: float
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0

    def request_body(self) -> dict[str, Any]:
        """Return the JSON body of the call that registers the entry."""
        return {key: getattr(self, key) for key in ("addr", "ttl_s", "zone", "kind", "cell", "weight", "started_ms")}


class Registration:
    """Keeps one entry registered while `run` runs, then drains and removes it.

    Attributes:
        services: The addresses of the registry; the first one is called next.
        is_registered: Whether the registry that was called last has the entry.
        renewals: The number of successful registrations and renewals.
        failures: The number of consecutive failed calls.
    """

    def __init__(self, services: Sequence[tuple[str, int]], entry: Entry, token: str, rng: random.Random) -> None:
        self.services = list(services)
        self.entry = entry
        self.token = token
        self.rng = rng
        self.is_registered = False
        self.renewals = 0
        self.failures = 0

    async def run(self, stop: asyncio.Event, drain: float = 0.0) -> None:
        """Keep the entry registered until `stop`, then drain it for `drain` seconds and remove it.

        Errors while draining and removing the entry are ignored.

        Raises:
            RegistrationRejectedError: The registry rejected the entry or the token.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.token}"}
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            while not stop.is_set():
                wait = await self.register_or_renew(session)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await stop.wait()
            with contextlib.suppress(aiohttp.ClientError, OSError, RegistrationRejectedError):
                if drain:
                    await self._call(session, "POST", "/drain")
                    await asyncio.sleep(drain)
                await self._call(session, "DELETE", "")

    async def register_or_renew(self, session: aiohttp.ClientSession) -> float:
        """Register the entry or renew its lease, and return the time in seconds until the next call.

        Raises:
            RegistrationRejectedError: The registry rejected the entry or the token.
        """
        try:
            if self.is_registered and await self._call(session, "POST", "/renew") == HTTPStatus.NOT_FOUND:
                log.warning("registry has no entry %s; registering it again", self.entry.id)
                self.is_registered = False
            if not self.is_registered:
                await self._call(session, "PUT", "", self.entry.request_body())
                self.is_registered = True
        except (aiohttp.ClientError, OSError) as error:  # This includes TimeoutError, a subclass of OSError.
            return self._backoff(error)
        self.renewals += 1
        self.failures = 0
        period = self.entry.ttl_s / RENEWALS_PER_LEASE
        return float(period * self.rng.uniform(1 - RENEWAL_JITTER_RATIO, 1 + RENEWAL_JITTER_RATIO))

    def _backoff(self, error: Exception) -> float:
        """Switch to the next address, which may lack the entry, and return the seconds to wait before the call."""
        if self.failures in LOGGED_FAILURE_COUNTS:
            log.warning("call to registry %s:%d failed: %s: %s", *self.services[0], type(error).__name__, error)
        self.services.append(self.services.pop(0))
        self.is_registered = False
        backoff = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self.failures, MAX_BACKOFF_DOUBLINGS))
        self.failures += 1
        return float(backoff * self.rng.uniform(1 - BACKOFF_JITTER_RATIO, 1 + BACKOFF_JITTER_RATIO))

    async def _call(self, session: aiohttp.ClientSession, method: str, path: str, body: Any = None) -> int:
        host, port = self.services[0]
        url = f"http://{host}:{port}/api/targets/{self.entry.id}{path}"
        async with session.request(method, url, json=body) as response:
            text = await response.text()
            if response.status == HTTPStatus.NOT_FOUND:
                return response.status
            if response.status in PERMANENT_ERROR_STATUSES:
                raise RegistrationRejectedError(
                    f"registry {host}:{port} rejected entry {self.entry.id!r} with HTTP status "
                    f"{response.status}: {text.strip()}"
                )
            response.raise_for_status()
            return response.status
