"""Health checks: `PING` on a connection of the pool; an answer shows little more than that the process runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar, Self

import hiredis

from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import HealthCheckEnded
from ingress.runtime.clock import Clock
from ingress.upstream.attempt import NO_COMMAND_PARTS, Attempt, AttemptObserver
from ingress.upstream.connection_pool import ConnectionPool
from ingress.upstream.response_parser import AttemptResult

PING = b"*1\r\n$4\r\nPING\r\n"
NO_REQUEST_ID = ""  # a check belongs to no request


class HealthCheck(Attempt, eq=False):
    """One check of one endpoint: an attempt that belongs to no request."""

    counts_as_forward: ClassVar[bool] = False

    @classmethod
    def create(cls, observer: AttemptObserver, endpoint_id: str, started_at: float, deadline: float) -> Self:
        """Return a check that reports its result to `observer`."""
        return cls(observer, NO_REQUEST_ID, 0, endpoint_id, started_at, deadline, NO_COMMAND_PARTS)

    def encode_command(self, _now: float) -> bytes:
        """Return a `PING`, which carries no deadline."""
        return PING

    def interpret(self, reply: Any) -> AttemptResult:
        """Return the outcome of the check: OK if the reply is a `PONG`."""
        if reply in (b"PONG", "PONG"):
            return AttemptResult(Outcome.OK)
        if isinstance(reply, hiredis.ReplyError):
            rejected = str(reply).startswith("BUSY")
            return AttemptResult(Outcome.REJECTED if rejected else Outcome.ERROR)
        return AttemptResult(Outcome.MALFORMED)


class HealthChecker:
    """Sends the health checks that the gateway requests, and passes their results to it."""

    def __init__(self, pool: ConnectionPool, clock: Clock, feed: Callable[[HealthCheckEnded], None]) -> None:
        self.pool = pool
        self.clock = clock
        self.feed = feed

    def start_check(self, endpoint_id: str, timeout: float) -> None:
        """Send one check, and wait for its answer for `timeout` seconds."""
        now = self.clock()
        self.pool.start_attempt(HealthCheck.create(self, endpoint_id, now, now + timeout))

    def is_wanted(self, _attempt: Attempt) -> bool:
        """Return True: the result of a check is always needed."""
        return True

    def attempt_writable(self, attempt: Attempt) -> None:
        """Do nothing: a check has no body."""

    def chunk_received(self, attempt: Attempt, _chunk: bytes, _size: int, _is_last: bool) -> None:
        """Cancel the check: no valid answer to a check is a long value."""
        self.pool.cancel_attempt(attempt)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Pass the result to the gateway, unless the check failed because this process lacked a resource."""
        if not attempt.local_failure:
            latency = self.clock() - attempt.started_at
            self.feed(HealthCheckEnded(attempt.endpoint_id, result.outcome, latency, result.load_report))
