"""A client of the shared counter: pipelined calls on one connection, matched to their replies by order."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable
from typing import cast

from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import CounterReply
from ingress.runtime.clock import MS_PER_SECOND, Clock
from ingress.runtime.sockets import Address

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.25
DEFAULT_CALL_TIMEOUT_S = 0.05  # used if the settings give no timeout
IDLE_TIMEOUT_S = 8.0  # the counter itself closes a connection that has been idle for about 10 s
MIN_IDLE_CHECK_DELAY_S = 0.5
SILENCE_TIMEOUT_RATIO = 2  # a connection without a due reply for this many call timeouts is replaced
MAX_WAITING_CALLS = 2000  # limit of calls that wait for a reply or a connection; more are rejected
MAX_LINE_BYTES = 4096
MAX_LIFETIME_MS = 60_000  # longer lifetimes are shortened to this
TOTAL = re.compile(rb"-?[0-9]{1,30}(\.[0-9]{1,30})?([eE][-+]?[0-9]{1,2})?")  # matches finite numbers only
MAX_LOGGED_BYTES = 80  # limit of the part of an invalid reply that is logged


class CounterCall:
    """One call, until its `CounterReply` is reported."""

    __slots__ = ("command", "is_reported", "made_at", "name", "timeout_timer")

    def __init__(self, name: int, command: bytes, made_at: float) -> None:
        self.name = name
        self.command = command
        self.made_at = made_at
        self.is_reported = False
        self.timeout_timer: asyncio.TimerHandle | None = None


class CounterConnection(asyncio.Protocol):
    """One connection to the counter.

    Attributes:
        pending_calls: The calls that were written and not answered, in order.
        last_received_at: The time of the last data from the counter.
        is_retired: Whether no more calls are written here because the counter has moved.
    """

    def __init__(self, client: CounterClient) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.pending_calls: deque[CounterCall] = deque()
        self.partial_line = b""
        self.last_received_at = 0.0
        self.is_retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the established connection; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class

    def is_silent(self, now: float) -> bool:
        """Report whether a reply is pending and nothing has been received for too long.

        A congested counter still replies, if late, and is not silent.
        """
        if not self.pending_calls:
            return False
        since = max(self.last_received_at, self.pending_calls[0].made_at)
        return now - since > SILENCE_TIMEOUT_RATIO * self.client.timeout

    def data_received(self, data: bytes) -> None:
        """Match each complete line to the call that has waited longest."""
        self.last_received_at = self.client.clock()
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if not self.pending_calls:
                log.warning("counter: closing the connection: received a reply without a pending call")
                self.close()
                return
            if not self.client.handle_reply(self.pending_calls.popleft(), line.rstrip(b"\r")):
                self.close()  # the next reply can no longer be matched to a call
                return
        if len(self.partial_line) > MAX_LINE_BYTES:
            log.warning("counter: closing the connection: a reply line exceeds %d bytes", MAX_LINE_BYTES)
            self.close()
        elif self.is_retired and not self.pending_calls:
            self.close()

    def eof_received(self) -> None:
        """Close the connection after the counter has closed its side; called by the event loop."""
        self.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Close the connection after it was lost; called by the event loop."""
        self.close()

    def retire(self, timeout: float) -> None:
        """Stop writing calls; close once those in flight are answered, or after `timeout` seconds."""
        self.is_retired = True
        if self.pending_calls:
            self.client.loop.call_later(timeout, self.close)
        else:
            self.close()

    def close(self) -> None:
        """Close immediately; amounts written on this connection may have been added."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.client.connection_lost(self)
        while self.pending_calls:
            self.client.report(self.pending_calls.popleft(), Outcome.TIMEOUT)


class CounterClient:
    """Sends calls to the counter; each call results in exactly one `CounterReply`."""

    def __init__(
        self, address: Address, timeout: float, clock: Clock, on_reply: Callable[[CounterReply], None]
    ) -> None:
        self.address = address
        self.timeout = timeout or DEFAULT_CALL_TIMEOUT_S
        self.clock = clock
        self.on_reply = on_reply
        self.loop = asyncio.get_running_loop()
        self.connection: CounterConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.queued_calls: deque[CounterCall] = deque()  # until the connection is established
        self.last_written_at = 0.0
        self.idle_timer: asyncio.TimerHandle | None = None

    def change_address(self, address: Address) -> None:
        """Send further calls to `address`; calls on the old connection may still be answered there."""
        if address == self.address:
            return
        self.address = address
        if self.connection is not None:
            connection = self.connection
            self.connection = None
            connection.retire(self.timeout)

    def call(self, name: int, amount: float, lifetime: float) -> None:
        """Add an amount to a counter.

        Args:
            name: The name of the counter.
            amount: The amount to add, which may be negative.
            lifetime: The seconds after which the counter expires.
        """
        lifetime_ms = min(max(1, round(lifetime * MS_PER_SECOND)), MAX_LIFETIME_MS)
        command = b"add %d %s %d\r\n" % (name, _encode_decimal(amount), lifetime_ms)
        call = CounterCall(name, command, self.clock())
        if self._waiting_count() >= MAX_WAITING_CALLS:
            self.loop.call_soon(self.report, call, Outcome.REJECTED)
            return
        call.timeout_timer = self.loop.call_later(self.timeout, self._call_timed_out, call)
        self._replace_silent_connection()
        if self.connection is not None:
            self._write(self.connection, call)
            return
        self.queued_calls.append(call)
        if self.connect_task is None:
            self.connect_task = self.loop.create_task(self._connect())

    def _waiting_count(self) -> int:
        in_flight = len(self.connection.pending_calls) if self.connection is not None else 0
        return len(self.queued_calls) + in_flight

    def _replace_silent_connection(self) -> None:
        """Close the connection if it is silent, so that the next call opens another one.

        Prevents every call from timing out on a connection that stays open but no longer delivers replies.
        """
        if self.connection is not None and self.connection.is_silent(self.clock()):
            log.warning("counter: replacing a connection that stopped answering")
            self.connection.close()

    def _write(self, connection: CounterConnection, call: CounterCall) -> None:
        assert connection.transport is not None
        connection.pending_calls.append(call)
        connection.transport.write(call.command)
        self.last_written_at = call.made_at

    async def _connect(self) -> None:
        """Open a connection for the queued calls, and another one if the counter moves meanwhile."""
        connection: CounterConnection | None = None
        address = None
        while connection is None and address != self.address:
            address = self.address
            connection = await self._open_connection(address)
            if connection is not None and address != self.address:
                connection.close()
                connection = None
        self.connect_task = None
        calls = self.queued_calls
        self.queued_calls = deque()
        if connection is None or connection.transport is None:
            for call in calls:
                self.report(call, Outcome.CONNECT_FAILED)
            return
        self.connection = connection
        self.last_written_at = self.clock()
        if self.idle_timer is None:
            self.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, self._check_idle)
        for call in calls:
            if not call.is_reported:  # a reported call was reported as not added
                self._write(connection, call)

    async def _open_connection(self, address: Address) -> CounterConnection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(lambda: CounterConnection(self), *address)
        except (OSError, TimeoutError) as error:
            log.debug("counter: connecting to %s:%d failed: %s", *address, error)
            return None
        return connection

    def _check_idle(self) -> None:
        """Close the connection if it is idle.

        Prevents a call from being written just as the counter closes the idle connection itself.
        """
        self.idle_timer = None
        if self.connection is None:
            return
        time_left = self.last_written_at + IDLE_TIMEOUT_S - self.clock()
        if time_left <= 0 and not self.connection.pending_calls:
            self.connection.close()
        else:
            self.idle_timer = self.loop.call_later(max(time_left, MIN_IDLE_CHECK_DELAY_S), self._check_idle)

    def _call_timed_out(self, call: CounterCall) -> None:
        """Report that a call timed out.

        The amount of a call that was written may have been added, or may still be; the call keeps its place in the
        order of replies.
        """
        call.timeout_timer = None
        is_queued = any(other is call for other in self.queued_calls)
        self.report(call, Outcome.CONNECT_FAILED if is_queued else Outcome.TIMEOUT)
        self._replace_silent_connection()

    def handle_reply(self, call: CounterCall, line: bytes) -> bool:
        """Report the reply to a call.

        Returns:
            Whether the line is a valid reply; if not, the amount may have been added.
        """
        kind, _, rest = line.partition(b" ")
        if kind == b"ok" and TOTAL.fullmatch(rest):
            self.report(call, Outcome.OK, float(rest))
        elif line == b"busy":
            self.report(call, Outcome.REJECTED)
        elif kind == b"error":
            log.warning("counter: call rejected with an error: %r", call.command)
            self.report(call, Outcome.REJECTED)
        else:
            log.warning("counter: closing the connection after an invalid reply: %r", line[:MAX_LOGGED_BYTES])
            self.report(call, Outcome.TIMEOUT)
            return False
        return True

    def report(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        """End a call with its only `CounterReply`; repeated calls are ignored."""
        if call.is_reported:
            return
        call.is_reported = True
        if call.timeout_timer is not None:
            call.timeout_timer.cancel()
        self.on_reply(CounterReply(call.name, outcome, total, self.clock() - call.made_at))

    def connection_lost(self, connection: CounterConnection) -> None:
        """Remove a closed connection; the next call opens another."""
        if self.connection is connection:
            self.connection = None

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()


def _encode_decimal(value: float) -> bytes:
    """Encode a plain decimal number: no exponent, no more digits than needed."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return b"0" if text in ("", "-0") else text.encode()
