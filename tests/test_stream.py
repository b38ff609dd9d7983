"""Streamed responses and uploads in the decisions, without sockets."""

from __future__ import annotations

from msgspec.structs import replace

from ingress.decisions.actions import CancelAttempt, RejectRequest
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import ResponseStarted, TimerFired, UploadFinished, UploadStarted
from ingress.decisions.hedging import HEDGE_DELAY_RATIO
from ingress.decisions.timers import TimerToken
from tests.conftest import SETTINGS, GatewayHarness, final_errors, started_attempts


def test_a_long_response_does_not_count_against_its_endpoint() -> None:
    harness = GatewayHarness()
    [attempt] = started_attempts(harness.send_request())
    server = harness.gateway.cluster.endpoints.by_id[attempt.endpoint_id]
    harness.handle_after(0.05, ResponseStarted(attempt.request_id, 0, attempt.endpoint_id, 0.05))
    latency_ratio = server.latency_ratio
    work_rate = harness.gateway.cluster.slow_start.work_rate
    harness.now += 60.0
    assert not server.unresponsive(harness.now, 0.05) and server.oldest_attempt_age(harness.now) == 0.0
    harness.end_attempt(attempt, after=1.0)
    assert (server.latency_ratio, harness.gateway.cluster.slow_start.work_rate) == (latency_ratio, work_rate)
    assert not harness.gateway.requests and not harness.gateway.forwarder.attempts


def test_the_other_attempt_is_cancelled_when_a_response_starts() -> None:
    harness = GatewayHarness(replace(SETTINGS, hedging_allowed=True, cancellation_allowed=True))
    harness.gateway.forwarder.retry_budget.level = 5.0
    harness.gateway.forwarder.hedging.win_rate = 1.0
    [first] = started_attempts(harness.send_request())
    [second] = started_attempts(harness.handle_after(HEDGE_DELAY_RATIO, TimerFired(TimerToken.HEDGE)))
    assert harness.handle_after(0.1, ResponseStarted(second.request_id, 1, second.endpoint_id, 0.1)) == [
        CancelAttempt(first.request_id, 0)
    ]
    assert not started_attempts(harness.end_attempt(first, Outcome.CANCELLED, attempt=0))
    assert not started_attempts(harness.end_attempt(second, Outcome.RESET, attempt=1, request_finished=True))
    assert not harness.gateway.requests


def test_a_request_whose_chunks_have_been_sent_gets_no_other_attempt() -> None:
    harness = GatewayHarness(replace(SETTINGS, hedging_allowed=True))
    harness.gateway.forwarder.retry_budget.level = 5.0
    harness.gateway.forwarder.hedging.win_rate = 1.0
    [attempt] = started_attempts(harness.send_request(is_chunked=True))
    # a hedge would need the same chunks
    assert not started_attempts(harness.handle_after(HEDGE_DELAY_RATIO, TimerFired(TimerToken.HEDGE)))
    [again] = started_attempts(harness.end_attempt(attempt, Outcome.CONNECT_FAILED))  # no chunk has been sent yet
    harness.handle_after(0.0, UploadStarted(again.request_id))
    done = harness.end_attempt(again, Outcome.CONNECT_FAILED, attempt=1)
    assert not started_attempts(done) and final_errors(done) == [RejectRequest(again.request_id, 0.5, "attempt")]


def test_the_deadline_of_a_long_request_counts_from_its_last_byte() -> None:
    harness = GatewayHarness()
    [attempt] = started_attempts(harness.send_request(is_chunked=True, time_left=2.0))
    harness.handle_after(5.0, UploadFinished(attempt.request_id, 2.0))
    assert harness.gateway.requests[attempt.request_id].deadline == harness.now + 2.0


def test_a_request_without_available_memory_is_rejected() -> None:
    harness = GatewayHarness()
    assert harness.send_request(memory_available=False)[-1] == RejectRequest("r1", 0.5, "memory")
    assert not harness.gateway.requests
