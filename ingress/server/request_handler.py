"""Requests in flight: passes them to the gateway, performs its decisions and sends each exactly one final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from math import ceil, inf

from msgspec import Struct

from ingress.decisions.actions import StartAttempt
from ingress.decisions.admission import RejectionReason
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    RequestReceived,
    ResponseStarted,
    UploadFinished,
    UploadStarted,
)
from ingress.protocols.resp import bulk
from ingress.runtime.clock import MS_PER_SECOND
from ingress.runtime.logs import REQUESTS
from ingress.runtime.memory_budget import Holder
from ingress.runtime.metrics import RequestResult
from ingress.server.commands import Command
from ingress.server.pending_request import PendingRequest, Upload, decision_timeout, request_key
from ingress.server.request_log import log_attempt, log_request
from ingress.server.response_slot import ResponseSlot
from ingress.upstream.attempt import Attempt
from ingress.upstream.connection_pool import ConnectionPool
from ingress.upstream.response_parser import AttemptResult

log = logging.getLogger(__name__)

FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"
UNNOTICED_CLOSE_S = 0.05  # in which an attempt may begin although its client has closed
OTHER_PROCESS_DELAY_S = 0.01  # in which another process tells that it has sent the same request
VALUE_SIZE_WEIGHT = 0.1  # of the latest value in the moving average of the sizes


class RequestLimits(Struct, frozen=True):
    """Limits on requests and their attempts.

    Attributes:
        max_in_flight: The maximum number of requests in flight in this process.
        max_attempts: The maximum number of attempts of one request.
        max_concurrent_attempts: The maximum number of simultaneous attempts of one request.
    """

    max_in_flight: int
    max_attempts: int
    max_concurrent_attempts: int


class RequestHandler:
    """Owns all requests in flight of this process.

    Attributes:
        pool: The connection pool, which sends the attempts.
        feed: Passes an event to the gateway.
        limits: The limits on requests.
        in_flight: The requests in flight by request id.
        attempts_in_flight: The attempts in flight by request id and number of the attempt.
        received_count: The number of requests received since the start.
        has_other_processes: Reports whether another process of this ingress serves as well.
        is_stopped: Whether requests are refused at once, because no time is left to forward them.
        mean_value_bytes: The moving average of the size of the values that are not forwarded in chunks.
    """

    def __init__(self, pool: ConnectionPool, feed: Callable[[Event], None], limits: RequestLimits) -> None:
        self.pool = pool
        self.feed = feed
        self.limits = limits
        self.clock = pool.clock
        self.metrics = pool.metrics
        self.budget = pool.budget
        self.loop = asyncio.get_running_loop()
        self.in_flight: dict[str, PendingRequest] = {}
        self.attempts_in_flight: dict[tuple[str, int], Attempt] = {}
        self.received_count = 0
        self.has_other_processes: Callable[[], bool] = lambda: False
        self.is_stopped = False
        self.mean_value_bytes = 0.0

    # Called by client connections

    def receive_request(self, slot: ResponseSlot, command: Command, received_at: float) -> None:
        """Register a client's command as a request; its body may still have to be received."""
        self.received_count += 1
        self.metrics.record_received()
        request_id = str(self.received_count)
        slot.request_id = request_id
        request = PendingRequest(request_id, slot, command, received_at + command.timeout)
        self.in_flight[request_id] = request
        if not slot.connection.is_next(slot):
            request.memory_bytes += int(self.mean_value_bytes)  # The value will have to wait.
        request.memory_available = slot.connection.memory.fits(request.memory_bytes)
        slot.connection.memory.add(Holder.REQUESTS, request.memory_bytes)
        if request.upload is not None:
            self.budget.streaming_uploads += 1
        if self.is_stopped:
            self.reject(request_id, 0.0, RejectionReason.DEADLINE.value)
        elif command.is_write and request.upload is None and self.has_other_processes():
            self.loop.call_later(OTHER_PROCESS_DELAY_S, self._admit, request, received_at)
        else:
            self._admit(request, received_at)

    def _admit(self, request: PendingRequest, received_at: float) -> None:
        """Pass a request to the gateway, unless its client has left or it was answered meanwhile."""
        if request.is_answered:
            return
        command = request.command
        request.admitted_at = self.clock()
        self.feed(
            RequestReceived(
                request.request_id,
                command.request_class,
                command.plan,
                command.customer,
                decision_timeout(command),
                command.units,
                command.gateway_count,
                command.first_gateway,
                command.is_retry,
                command.is_write,
                request.memory_available and len(self.in_flight) <= self.limits.max_in_flight,
                request.upload is not None,
                self.clock() - received_at,
                request_key(command),
            )
        )
        if not request.is_answered:  # Most requests of a burst are refused at once, and need no timer.
            self._start_deadline_timer(request)

    def set_response_reading(self, slot: ResponseSlot, enabled: bool) -> None:
        """Read the response from its endpoint, or leave it in the socket while there is no room for it.

        A long value in chunks is paused by its slot.
        """
        request = self.in_flight.get(slot.request_id)
        if request is None or request.streaming_attempt is not None:
            return
        for attempt in request.attempts_in_flight:
            if enabled:
                attempt.resume()
            else:
                attempt.pause()

    def _start_deadline_timer(self, request: PendingRequest) -> None:
        time_left = max(0.0, request.answer_deadline() - self.clock())
        request.deadline_timer = self.loop.call_later(time_left, self._deadline_passed, request)

    def _restart_deadline_timer(self, request: PendingRequest) -> None:
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self._start_deadline_timer(request)

    def receive_body(self, slot: ResponseSlot, chunk: bytes, is_last: bool, received_at: float) -> None:
        """Forward a chunk of a request's body; a chunk that arrives after the request has ended is dropped."""
        request = self.in_flight.get(slot.request_id)
        if request is None or request.is_answered or request.upload is None:
            return
        upload = request.upload
        upload.chunks.append(chunk)
        upload.is_complete = is_last
        if not is_last and not request.slot.connection.has_unread():
            upload.caught_up(received_at)
        # The client may have sent its last byte at any time since then, if this process has let it wait.
        written_at = received_at if is_last and not upload.was_paused else upload.caught_up_at
        request.deadline = written_at + request.command.timeout
        if is_last:
            if request.streaming_attempt is None:
                self._restart_deadline_timer(request)
            time_left = max(0.0, decision_timeout(request.command) - (self.clock() - written_at))
            self.feed(UploadFinished(request.request_id, time_left))
        self._forward_upload(request, upload)

    def client_disconnected(self, slot: ResponseSlot) -> None:
        """End a request whose client has disconnected."""
        request = self.in_flight.get(slot.request_id)
        if request is None or request.is_answered:
            return
        self._finish(request, RequestResult.ABORTED)
        if request.streaming_attempt is not None:
            self.pool.discard_response(request.streaming_attempt)
        self.feed(ClientDisconnected(request.request_id))

    def _forward_upload(self, request: PendingRequest, upload: Upload) -> None:
        """Write the received chunks to the attempt, and pause reading from the client while the endpoint is slow."""
        attempt = upload.attempt
        accepts_more = False
        if attempt is not None and not attempt.has_ended:
            if upload.chunks and not upload.has_started:
                upload.has_started = True
                self.feed(UploadStarted(request.request_id))
            chunk = b"".join(upload.chunks)
            upload.chunks = []
            deadline = request.answer_deadline() if upload.is_complete else None
            accepts_more = self.pool.write_chunk(attempt, chunk, deadline)
        self._count_upload(request, upload)
        if not upload.is_complete:
            upload.was_paused = upload.was_paused or not accepts_more
            request.slot.connection.pause_upload(not accepts_more)

    def _count_upload(self, request: PendingRequest, upload: Upload) -> None:
        """Count the chunks that the kernel has not accepted for the endpoint yet."""
        unsent = upload.attempt.unsent_bytes() if upload.attempt is not None else 0
        request.slot.connection.memory.resize(Holder.UPLOADS, unsent + sum(map(len, upload.chunks)))

    # Actions of the gateway

    def start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt; one that may no longer be sent ends at once as not sent."""
        request = self.in_flight.get(action.request_id)
        number = 0
        if request is not None:
            number = request.attempt_count
            request.attempt_count += 1
        if request is None or request.has_owner() or number >= self.limits.max_attempts:
            self.feed(
                AttemptEnded(
                    action.request_id,
                    number,
                    action.endpoint_id,
                    Outcome.NOT_SENT,
                    request_finished=request is None or request.is_answered,
                )
            )
            return
        if len(request.attempts_in_flight) >= self.limits.max_concurrent_attempts:
            for earlier in list(request.attempts_in_flight):
                self.pool.cancel_attempt(earlier)
        attempt = self._make_attempt(request, action, number)
        request.attempts_in_flight.add(attempt)
        self.attempts_in_flight[request.request_id, number] = attempt
        if not request.slot.connection.may_receive(request.slot):
            attempt.pause()
        self.pool.start_attempt(attempt)

    def _make_attempt(self, request: PendingRequest, action: StartAttempt, number: int) -> Attempt:
        now = self.clock()
        answer_deadline = request.answer_deadline()
        return Attempt(
            self,
            request.request_id,
            number,
            action.endpoint_id,
            now,
            min(answer_deadline, now + action.timeout) if action.timeout else answer_deadline,
            request.command.encode_parts(),
            request.upload is None,
            now + action.start_within if action.start_within else inf,
        )

    def cancel_attempt(self, request_id: str, number: int) -> None:
        """Cancel one attempt of a request."""
        attempt = self.attempts_in_flight.get((request_id, number))
        if attempt is not None:
            self.pool.cancel_attempt(attempt)

    def reject(self, request_id: str, retry_after: float, reason: str) -> None:
        """Answer "busy" on behalf of the gateway; the client may retry after `retry_after` seconds if that is not 0."""
        data = b"-BUSY %d\r\n" % ceil(retry_after * MS_PER_SECOND) if retry_after > 0 else BUSY
        self._answer_for_gateway(request_id, data, RequestResult.DECLINED, reason)

    def fail(self, request_id: str, reason: str) -> None:
        """Answer "failed" on behalf of the gateway."""
        self._answer_for_gateway(request_id, FAILED, RequestResult.ABORTED, reason)

    def _answer_for_gateway(self, request_id: str, data: bytes, result: RequestResult, reason: str) -> None:
        request = self.in_flight.get(request_id)
        if request is not None and request.streaming_attempt is not None and not request.is_answered:
            log.warning("an answer of the gateway came after a value had begun; ignored it: %s", reason)
            return
        self.metrics.record_rejection(reason)
        if request is None:
            return
        if not request.is_answered:
            request.rejection_reason = reason
            self._answer(request, data, result)
        self.forget(request_id)

    def forget(self, request_id: str) -> None:
        """Remove a request whose end the gateway has been notified of."""
        request = self.in_flight.pop(request_id, None)
        if request is not None:
            request.slot.connection.memory.add(Holder.REQUESTS, -request.memory_bytes)

    # Called by the connection pool

    def is_wanted(self, attempt: Attempt) -> bool:
        """Report whether a client still waits for the answer of the attempt.

        The client's socket is checked as well, because the client may have disconnected during CPU starvation or while
        reading from it was paused. The event loop reports that only after connections that are established and timers
        that are due.
        """
        request = self.in_flight.get(attempt.request_id)
        if request is None or request.has_owner():
            return False
        connection = request.slot.connection
        if connection.is_disconnected():
            connection.disconnected()
        elif self._is_overdue(attempt, request) and connection.may_be_disconnected():
            return False
        return not request.is_answered

    def _is_overdue(self, attempt: Attempt, request: PendingRequest) -> bool:
        """Report whether the attempt begins so late that a client which has closed since its request must be known.

        While a body is incomplete, its attempt counts only once the client has sent the rest.
        """
        if request.upload is not None and not request.upload.is_complete:
            return False
        return attempt.number > 0 or self.clock() - request.admitted_at > UNNOTICED_CLOSE_S

    def attempt_writable(self, attempt: Attempt) -> None:
        """Write the chunks of the request's body to an attempt that has become ready for them."""
        request = self.in_flight.get(attempt.request_id)
        if request is None or request.upload is None or request.is_answered or not request.upload.accepts(attempt):
            self.pool.cancel_attempt(attempt)
            return
        request.upload.attempt = attempt
        self._forward_upload(request, request.upload)

    def chunk_received(self, attempt: Attempt, chunk: bytes, size: int, is_last: bool) -> None:
        """Send a chunk of a long value to the client, if the attempt owns the response; the first chunk claims it."""
        request = self.in_flight.get(attempt.request_id)
        if request is not None and not request.has_owner():
            self._claim(request, attempt)
            chunk = b"$%d\r\n%b" % (size, chunk)
        if not attempt.has_responded:
            self._response_started(attempt, request)
        if request is None or request.is_answered or request.streaming_attempt is not attempt:
            return
        assert request.writer is not None
        request.writer.send_chunk(chunk, attempt)
        if is_last and not request.is_answered:
            self._finish(request, RequestResult.SUCCEEDED)
            request.writer.finish()
            attempt.resume()

    def _claim(self, request: PendingRequest, attempt: Attempt) -> None:
        """Let the attempt own the response: whatever the others return can't answer the request any more."""
        request.streaming_attempt = attempt
        request.writer = request.slot.claim()
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    def _response_started(self, attempt: Attempt, request: PendingRequest | None) -> None:
        """Notify the gateway of the first chunk of a value, and release the attempts that it makes unnecessary."""
        attempt.has_responded = True
        latency = self.clock() - attempt.started_at
        self.feed(ResponseStarted(attempt.request_id, attempt.number, attempt.endpoint_id, latency))
        if request is not None and request.streaming_attempt is attempt:
            self._discard_others(request)

    def _discard_others(self, request: PendingRequest) -> None:
        """Release the attempts that can't answer the request any more.

        What was not sent completely is not sent at all. Whatever the other endpoints return is read and dropped,
        unless the gateway cancels those attempts.
        """
        for attempt in list(request.attempts_in_flight):
            if attempt is not request.streaming_attempt:
                self.pool.cancel_unsent(attempt)
                self.pool.discard_response(attempt)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Answer the client if the attempt owns the response or may claim it, and notify the gateway."""
        request = self.in_flight.get(attempt.request_id)
        self.attempts_in_flight.pop((attempt.request_id, attempt.number), None)
        if REQUESTS.isEnabledFor(logging.INFO):
            log_attempt(attempt, result.outcome, request, self.clock())
        if request is not None:
            request.attempts_in_flight.discard(attempt)
            if not request.is_answered:
                self._apply_result(request, attempt, result)
        self.feed(
            AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.endpoint_id,
                result.outcome,
                self.clock() - attempt.started_at,
                request is None or request.is_answered,
                load_report=result.load_report,
                local_failure=attempt.local_failure,
            )
        )

    def _apply_result(self, request: PendingRequest, attempt: Attempt, result: AttemptResult) -> None:
        """Abort a value that its attempt has not completed, or answer with the value of the first attempt."""
        if request.streaming_attempt is attempt:
            self._finish(request, RequestResult.ABORTED)
            assert request.writer is not None
            request.writer.abort(FAILED)
        elif request.streaming_attempt is None and result.value is not None:
            self._record_value_size(len(result.value))
            self._answer(request, bulk(result.value), RequestResult.SUCCEEDED)

    def _record_value_size(self, size: int) -> None:
        self.mean_value_bytes += (size - self.mean_value_bytes) * VALUE_SIZE_WEIGHT

    # Ending requests

    def _deadline_passed(self, request: PendingRequest) -> None:
        """Force a final answer, so that every request is answered whatever the gateway or a peer does.

        The deadline of an incomplete body may have moved, and does not end a client that sends slowly by itself.
        """
        upload = request.upload
        if upload is not None and not upload.is_complete and not request.is_answered:
            self._upload_deadline_passed(request, upload)
        elif not request.is_answered:
            log.warning("no answer to request %.80r by its deadline; forced a final answer", request.command.client_id)
            self.abort(request)

    def _upload_deadline_passed(self, request: PendingRequest, upload: Upload) -> None:
        """Refuse a request of which an endpoint has surely not got the last byte, if its client may have sent it."""
        if not request.slot.connection.upload_paused and not request.slot.connection.has_unread():
            upload.caught_up(self.clock())
            request.deadline = upload.caught_up_at + request.command.timeout
        if request.answer_deadline() > self.clock():
            self._start_deadline_timer(request)
            return
        log.warning("the body of request %.80r waits for its endpoint; refused", request.command.client_id)
        self._answer(request, BUSY, RequestResult.DECLINED)
        self.feed(ClientDisconnected(request.request_id))

    def stop(self) -> None:
        """End all requests in flight but values in progress, and refuse those that are received from now on."""
        self.is_stopped = True
        for request in list(self.in_flight.values()):
            if not request.slot.has_begun:
                self.abort(request)

    def abort(self, request: PendingRequest) -> None:
        """End a request that has no answer, or whose streamed answer can't be completed."""
        if request.streaming_attempt is not None:
            self.pool.cancel_attempt(request.streaming_attempt)
        elif not request.is_answered:
            self._answer(request, FAILED, RequestResult.ABORTED)
            self.feed(ClientDisconnected(request.request_id))

    def _answer(self, request: PendingRequest, data: bytes, result: RequestResult) -> None:
        self._finish(request, result)
        request.slot.answer(data)

    def _finish(self, request: PendingRequest, result: RequestResult) -> None:
        """Mark a request as answered and record its result; every request ends here."""
        request.is_answered = True
        if request.upload is not None:
            self._finish_upload(request, request.upload)
        self.metrics.record_result(request.command.request_class, result)
        if REQUESTS.isEnabledFor(logging.INFO):
            log_request(request, result, self.clock())
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if request.attempts_in_flight:
            self._discard_others(request)

    def _finish_upload(self, request: PendingRequest, upload: Upload) -> None:
        self.budget.streaming_uploads -= 1
        upload.chunks = []
        request.slot.connection.memory.resize(Holder.UPLOADS, 0)
        request.slot.connection.pause_upload(False)
        if upload.attempt is not None and not upload.attempt.is_complete:
            self.pool.cancel_attempt(upload.attempt)
