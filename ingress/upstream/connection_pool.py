"""The pool of connections to all endpoints: it carries attempts and ends each of them exactly once."""

from __future__ import annotations

import asyncio
from math import inf

from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.runtime.clock import Clock
from ingress.runtime.memory_budget import MAX_STREAM_WINDOW, MemoryBudget
from ingress.runtime.metrics import Metrics
from ingress.runtime.sockets import Address
from ingress.upstream.attempt import NO_COMMAND_PARTS, Attempt
from ingress.upstream.connection import SILENCE_TIMEOUT, Connection, EndpointConnections
from ingress.upstream.connector import Connector, is_local_failure
from ingress.upstream.pool_settings import PoolSettings
from ingress.upstream.response_parser import AttemptResult

IDLE_TIMEOUT_RATIO = 0.6  # idle connections are closed after this part of the idle timeout of the endpoints
DRAIN_GRACE_RATIO = 0.8  # nothing new is written to a draining endpoint after this part of its grace period
SWEEP_INTERVAL = 1.0  # seconds between two checks for idle and silent connections
MAX_CONNECTING_PER_ENDPOINT = 8  # limit of connections being established at a time; more attempts wait for these
MAX_CONNECTING = 64  # the limit over all endpoints: after a restart every ingress opens connections at once

CONNECT_FAILED = AttemptResult(Outcome.CONNECT_FAILED)
NOT_SENT = AttemptResult(Outcome.NOT_SENT)


class ConnectionPool:
    """The connections to all endpoints.

    Each attempt that is started ends exactly once, with a call of its observer's `attempt_ended`.

    Attributes:
        streaming: The attempts whose long value is being forwarded.
        memory: The account of what the connections hold.
        connection_count: The number of connections that are open or being established.
        connecting: The number of connections that are being established.
        connect_queue: The endpoints that wait until the limit allows them to open more connections, in order.
        opened_count: The number of connections that were started since the start of the process.
        reused_count: The number of attempts that used a connection which had carried another attempt.
    """

    def __init__(self, settings: PoolSettings, clock: Clock, metrics: Metrics, budget: MemoryBudget) -> None:
        self.metrics = metrics
        self.budget = budget
        self.memory = budget.open_account()
        self.clock = clock
        self.buffer = memoryview(bytearray(MAX_STREAM_WINDOW))
        self.max_connections = settings.max_connections
        self.connect_timeout = settings.connect_timeout
        self.set_time_limits(settings.idle_timeout, settings.drain_grace)
        self.loop = asyncio.get_running_loop()
        self.endpoints: dict[str, EndpointConnections] = {}
        self.streaming: set[Attempt] = set()
        self.connection_count = 0
        self.connecting = 0
        self.connect_queue: dict[EndpointConnections, None] = {}  # an ordered set
        self.opened_count = 0
        self.reused_count = 0
        self.connector = Connector()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def set_time_limits(self, idle_timeout: float, drain_grace: float) -> None:
        """Set how long (in seconds) endpoints keep idle connections, and accept requests while draining."""
        self.max_idle = idle_timeout * IDLE_TIMEOUT_RATIO
        self.drain_grace = drain_grace * DRAIN_GRACE_RATIO

    # Endpoints

    def update_endpoints(
        self, is_complete: bool, endpoints: tuple[Endpoint, ...], addresses: dict[str, Address]
    ) -> None:
        """Apply a complete endpoint list, or a set of changes to it.

        Args:
            is_complete: Whether endpoints that are missing here have been removed.
            endpoints: The endpoints that are new or have changed.
            addresses: The addresses of these endpoints by id.
        """
        now = self.clock()
        closes_at = now + self.drain_grace
        if is_complete:
            for endpoint_id in self.endpoints.keys() - addresses.keys():
                self.endpoints[endpoint_id].remove(closes_at)
        for listed in endpoints:
            address = addresses[listed.id]
            if listed.id not in self.endpoints:
                self.endpoints[listed.id] = EndpointConnections(address)
            self.endpoints[listed.id].update(listed.readiness, address, closes_at)
        for endpoint_id, endpoint in list(self.endpoints.items()):
            if not endpoint.is_listed and endpoint.closes_at is not None and now > endpoint.closes_at:
                del self.endpoints[endpoint_id]

    def addresses(self) -> dict[str, Address]:
        """Return the addresses of the listed endpoints by id."""
        return {endpoint_id: endpoint.address for endpoint_id, endpoint in self.endpoints.items() if endpoint.is_listed}

    def counts(self) -> dict[str, int]:
        """Return the metrics of the connections: current values, and counts since the start."""
        return {
            "connections.servers": self.connection_count,
            "connections.coming": self.connecting,
            "handshakes": self.opened_count,
            "reused": self.reused_count,
        }

    def listed_count(self) -> int:
        """Return the number of listed endpoints."""
        return sum(endpoint.is_listed for endpoint in self.endpoints.values())

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Close the connections to one endpoint that carry no attempt."""
        if endpoint_id in self.endpoints:
            self.endpoints[endpoint_id].close_idle_connections()

    # Attempts

    def start_attempt(self, attempt: Attempt) -> None:
        """Write the attempt to an idle connection, or queue it until a connection is free."""
        endpoint = self.endpoints.get(attempt.endpoint_id)
        time_left = attempt.deadline - attempt.started_at
        if endpoint is None or time_left <= 0 or endpoint.is_closed(self.clock()):
            self.finish_attempt(attempt, CONNECT_FAILED)
            return
        if attempt.is_complete:
            attempt.timeout_timer = self.loop.call_later(time_left, self._attempt_timed_out, attempt)
        endpoint.waiting_attempts.append(attempt)
        attempt.queue = endpoint.waiting_attempts
        self._serve_queue(endpoint)
        if attempt.queue is not None:
            self._open_connections(endpoint)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """End the attempt as cancelled, and close the connection that carries it."""
        self._abandon(attempt, Outcome.CANCELLED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """End an attempt whose request has ended, unless its endpoint may have received it completely."""
        if attempt.connection is None:
            self.finish_attempt(attempt, NOT_SENT)
        elif attempt.is_unsent():
            self._abandon(attempt, Outcome.CANCELLED)

    def discard_response(self, attempt: Attempt) -> None:
        """Read and drop the response of an attempt, without memory for it, until it is complete or its deadline.

        Its connection can be used again after a complete response.
        """
        if attempt.has_ended:
            return
        attempt.is_discarded = True
        self.streaming.discard(attempt)
        self.budget.streaming_responses = len(self.streaming)
        attempt.resume()
        if attempt.timeout_timer is None and attempt.is_complete:
            self._start_timeout(attempt)

    def finish_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End the attempt and notify its observer; repeated calls are ignored."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        attempt.connection = None
        if attempt.queue is not None:
            attempt.queue.remove(attempt)
            attempt.queue = None
        self.streaming.discard(attempt)
        self.budget.streaming_responses = len(self.streaming)
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.observer.attempt_ended(attempt, result)

    def forward_chunk(self, attempt: Attempt, chunk: bytes, size: int, is_last: bool) -> None:
        """Pass a chunk of a long value to the observer; an endpoint that is still sending is not timed out."""
        if attempt not in self.streaming and not attempt.is_discarded:
            self.streaming.add(attempt)
            self.budget.streaming_responses = len(self.streaming)
            if attempt.timeout_timer is not None:
                attempt.timeout_timer.cancel()
                attempt.timeout_timer = None
        attempt.observer.chunk_received(attempt, chunk, size, is_last)

    def write_chunk(self, attempt: Attempt, chunk: bytes, deadline: float | None) -> bool:
        """Write a chunk of the body of an attempt.

        Args:
            attempt: The attempt whose body is uploaded.
            chunk: The next bytes of the body.
            deadline: The deadline of the attempt, given with the last chunk only.

        Returns:
            Whether the endpoint accepts more data.
        """
        connection = attempt.connection
        if connection is None:
            return False
        connection.limit_write_buffer(self.budget.stream_window())
        connection.write(chunk)
        if deadline is not None:
            attempt.is_complete = True
            attempt.deadline = deadline
            if attempt not in self.streaming:
                self._start_timeout(attempt)
            self.metrics.attempts_sent += 1
        return not connection.is_write_paused

    def _start_timeout(self, attempt: Attempt) -> None:
        time_left = max(0.0, attempt.deadline - self.clock())
        attempt.timeout_timer = self.loop.call_later(time_left, self._attempt_timed_out, attempt)

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        """End an attempt at its deadline; one that was never written never ran and ends as a failed connect.

        If its response was left in the socket for lack of memory, or is a long value that is no longer needed, the
        endpoint is not at fault.
        """
        attempt.local_failure = attempt.is_paused or attempt.has_responded
        self._abandon(attempt, Outcome.TIMEOUT if attempt.connection else Outcome.CONNECT_FAILED)

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            attempt.connection.close()
        self.finish_attempt(attempt, AttemptResult(outcome))

    def _fail_queue(self, endpoint: EndpointConnections) -> None:
        for attempt in list(endpoint.waiting_attempts):
            self.finish_attempt(attempt, CONNECT_FAILED)

    def _serve_queue(self, endpoint: EndpointConnections) -> None:
        """Assign idle connections to waiting attempts, the most recently used connection first.

        This is the only place where an attempt is written. It checks again what may have changed since the attempt was
        queued: the client may have disconnected, another attempt may have answered, a retry may come too late to be
        recognised as a retry, and a duplicate of the previous reply may be on its way.
        """
        now = self.clock()
        if endpoint.is_closed(now):
            self._fail_queue(endpoint)
        while endpoint.waiting_attempts:
            attempt = endpoint.waiting_attempts[0]
            if now >= attempt.start_by or not attempt.observer.is_wanted(attempt):
                self.finish_attempt(attempt, NOT_SENT)
                continue
            connection = self._take_idle_connection(endpoint, now)
            if connection is None:
                return
            attempt.queue = None
            endpoint.waiting_attempts.popleft()
            self._write_attempt(connection, attempt)

    def _take_idle_connection(self, endpoint: EndpointConnections, now: float) -> Connection | None:
        """Take the most recently used connection that may be reused now.

        Prevents sending a request on a connection that the endpoint is about to close: between two sweeps a connection
        may be idle for longer than an endpoint with a short idle timeout keeps it open.
        """
        next_reusable_at = inf
        for connection in endpoint.idle_connections[::-1]:
            if now < connection.reusable_at:
                next_reusable_at = connection.reusable_at
            elif connection.has_expired(now - self.max_idle):
                connection.close()
            else:
                endpoint.idle_connections.remove(connection)
                return connection
        if next_reusable_at < inf and not endpoint.wake_scheduled:
            endpoint.wake_scheduled = True
            self.loop.call_later(next_reusable_at - now, self._wake, endpoint)
        return None

    def _wake(self, endpoint: EndpointConnections) -> None:
        endpoint.wake_scheduled = False
        self._serve_queue(endpoint)
        self._open_connections(endpoint)

    def _write_attempt(self, connection: Connection, attempt: Attempt) -> None:
        attempt.connection = connection
        self.reused_count += connection.was_used
        connection.assign(attempt)
        connection.write(attempt.encode_command(self.clock()))
        attempt.command_parts = NO_COMMAND_PARTS
        if not attempt.is_complete:
            attempt.observer.attempt_writable(attempt)
        elif attempt.counts_as_forward:
            self.metrics.attempts_sent += 1

    # Opening connections

    def _open_connections(self, endpoint: EndpointConnections) -> None:
        """Open a connection for each attempt that no idle connection will serve, within the limits."""
        while endpoint.connecting < min(
            len(endpoint.waiting_attempts) - len(endpoint.idle_connections), MAX_CONNECTING_PER_ENDPOINT
        ):
            if self.connecting >= MAX_CONNECTING:
                self.connect_queue[endpoint] = None
                return
            if self.connection_count >= self.max_connections and not self._close_longest_idle():
                self._fail_unservable(endpoint)
                return
            self.connection_count += 1
            self.connecting += 1
            endpoint.connecting += 1
            self.opened_count += 1
            task = self.loop.create_task(self._connect(endpoint))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connect(self, endpoint: EndpointConnections) -> None:
        """Open one connection and make it available to the waiting attempts."""
        started_at = self.clock()
        try:
            connection = await self.connector.connect(self, endpoint)
        except OSError as error:
            self._connect_ended(endpoint)
            self.connection_count -= 1
            self._connect_failed(endpoint, is_local_failure(error, self.clock() - started_at, self.connect_timeout))
            return
        except BaseException:
            self._connect_ended(endpoint)
            self.connection_count -= 1
            raise
        self._connect_ended(endpoint)
        if not connection.is_open:
            self._connect_failed(endpoint, is_local=False)
        elif endpoint.is_closed(self.clock()):
            # Prevents new requests to an endpoint whose grace period ended while the connection was established.
            connection.close()
            self._connect_failed(endpoint, is_local=False)
        else:
            self.release(connection)
            self._open_connections(endpoint)  # for attempts that the limits have kept in the queue

    def _connect_ended(self, endpoint: EndpointConnections) -> None:
        self.connecting -= 1
        endpoint.connecting -= 1
        if self.connect_queue:
            self.loop.call_soon(self._serve_connect_queue)

    def _serve_connect_queue(self) -> None:
        """Open connections to the endpoint that has waited longest for the limit."""
        if self.connect_queue and self.connecting < MAX_CONNECTING:
            endpoint = next(iter(self.connect_queue))
            del self.connect_queue[endpoint]
            self._open_connections(endpoint)

    def _connect_failed(self, endpoint: EndpointConnections, is_local: bool) -> None:
        """End the attempt that has waited longest, and all that have waited for at least the connect timeout.

        None of them was sent. For the remaining attempts another connection is opened.
        """
        started_before = self.clock() - self.connect_timeout
        for attempt in list(endpoint.waiting_attempts):
            if attempt is not endpoint.waiting_attempts[0] and attempt.started_at > started_before:
                break
            attempt.local_failure = is_local
            self.finish_attempt(attempt, CONNECT_FAILED)
            if not endpoint.waiting_attempts:
                break
        if is_local:
            self._fail_unservable(endpoint)
        elif not endpoint.is_closed(self.clock()):
            self._open_connections(endpoint)

    def _fail_unservable(self, endpoint: EndpointConnections) -> None:
        """End the attempts for which no connection is being established, as failed for a local reason."""
        for attempt in list(endpoint.waiting_attempts)[endpoint.connecting :]:
            attempt.local_failure = True
            self.finish_attempt(attempt, CONNECT_FAILED)

    # Connections

    def read_buffer(self) -> memoryview:
        """Return the buffer for the next read; all connections share it and copy out what they read."""
        return self.buffer[: self.budget.stream_window()]

    def release(self, connection: Connection) -> None:
        """Take back a free connection: the attempt that has waited longest gets it once it may be reused."""
        endpoint = connection.endpoint
        if connection.is_current():
            if connection.is_open:
                connection.idle_since = self.clock()
                endpoint.idle_connections.append(connection)
                self._serve_queue(endpoint)
            return
        connection.close()
        if endpoint.is_listed and not endpoint.is_closed(self.clock()):
            self._open_connections(endpoint)  # at its current address
        else:
            self._fail_queue(endpoint)

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""
        self.connection_count -= 1
        idle_connections = connection.endpoint.idle_connections
        if connection in idle_connections:
            idle_connections.remove(connection)

    def resize(self, max_connections: int) -> None:
        """Change the connection limit; idle connections above it are closed."""
        self.max_connections = max_connections
        while self.connection_count > max_connections and self._close_longest_idle():
            pass

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest over all endpoints; return False if there is none."""
        longest_idle = min(
            (endpoint.idle_connections[0] for endpoint in self.endpoints.values() if endpoint.idle_connections),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def _sweep(self) -> None:
        """Close connections that have been idle too long, or have stalled within a long value."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self.clock()
        for endpoint in self.endpoints.values():
            while endpoint.idle_connections and endpoint.idle_connections[0].idle_since < now - self.max_idle:
                endpoint.idle_connections[0].close()
        for connection in [attempt.connection for attempt in self.streaming]:
            if connection is None or connection.is_read_paused:
                continue
            if connection.last_received_at < now - SILENCE_TIMEOUT:
                connection.connection_lost(None)

    def close(self) -> None:
        """Stop the sweeps and close the idle connections."""
        self.sweep_timer.cancel()
        for endpoint in self.endpoints.values():
            endpoint.close_idle_connections()
