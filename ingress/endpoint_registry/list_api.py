"""The read API of the endpoint list: the full list and watches.  The service and the relay share it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from aiohttp import web

from ingress.endpoint_registry.catalog import Catalog
from ingress.errors import IngressError

MAX_WATCHERS = 2000
MAX_WAIT_MS = 60_000
MAX_QUERY_DIGITS = 18
NOTIFY_DELAY_S = 0.05  # Changes within this time are sent in one response.
RETRY_AFTER_RANGE_S = (1, 5)  # A random value is drawn for each rejected caller, so that they do not retry together.


class CallRejectedError(IngressError):
    """A call that is rejected without any change; `status` is the HTTP status, `faults` are the reasons."""

    def __init__(self, status: int, *faults: str) -> None:
        super().__init__("; ".join(faults))
        self.status = status
        self.faults = faults


class ListApi:
    """Serves a catalog to readers and watches.

    Attributes:
        catalog: The catalog that is served.
        name: The name of the store, sent as `X-Store`.
        change: The future that completes when waiting watches are notified of the next change.
        watchers: The number of watches that wait for a change.
        rejected_count: The number of calls that were rejected as too many.
    """

    def __init__(self, catalog: Catalog, name: str) -> None:
        self.catalog = catalog
        self.name = name
        self.loop = asyncio.get_running_loop()
        self.change: asyncio.Future[None] = self.loop.create_future()
        self.wake_timer: asyncio.TimerHandle | None = None
        self.watchers = 0
        self.rejected_count = 0

    def notify(self) -> None:
        """Notify the watches after a short delay, so that one response contains all changes within it."""
        if self.wake_timer is None:
            self.wake_timer = self.loop.call_later(NOTIFY_DELAY_S, self._wake)

    def _wake(self) -> None:
        self.wake_timer = None
        change = self.change
        self.change = self.loop.create_future()
        change.set_result(None)

    def stop_notifying(self) -> None:
        """Cancel a pending notification without answering the watches; called at shutdown."""
        if self.wake_timer is not None:
            self.wake_timer.cancel()

    async def get_targets(self, request: web.Request) -> web.StreamResponse:
        """Return the list, or the changes after a version; with `wait_ms`, wait until there are any."""
        after = read_query_number(request, "after")
        wait_ms = read_query_number(request, "wait_ms")
        if after is not None and wait_ms and after == self.catalog.version:
            if self.watchers >= MAX_WATCHERS:
                return self.reject_busy()
            await self._wait_for_change(after, min(wait_ms, MAX_WAIT_MS) / 1000)
        return web.Response(
            body=self.catalog.response(after), content_type="application/json", headers={"X-Store": self.name}
        )

    async def _wait_for_change(self, after: int, seconds: float) -> None:
        self.watchers += 1
        try:
            async with asyncio.timeout(seconds):
                while after == self.catalog.version:
                    await asyncio.shield(self.change)
        except TimeoutError:
            pass
        finally:
            self.watchers -= 1

    def reject_busy(self) -> web.Response:
        """Count a rejected call, and return a 503 response with a random Retry-After."""
        self.rejected_count += 1
        return web.json_response(
            {"errors": ["too many"]}, status=503, headers={"Retry-After": str(random.randint(*RETRY_AFTER_RANGE_S))}
        )


def read_query_number(request: web.Request, name: str) -> int | None:
    """Return a non-negative integer from the query, or None if it is absent.

    Raises:
        CallRejectedError: The value is not a non-negative integer.
    """
    text = request.query.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_QUERY_DIGITS):
        raise CallRejectedError(400, f"{name}: {text[:40]!r} is not a whole number from 0")
    return int(text)


@web.middleware
async def answer_rejections(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Convert a `CallRejectedError` to a JSON response with its status and faults."""
    try:
        return await handler(request)
    except CallRejectedError as error:
        return web.json_response({"errors": error.faults}, status=error.status)
