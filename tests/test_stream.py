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
    play = GatewayHarness()
    [send] = started_attempts(play.send_request())
    server = play.gateway.cluster.endpoints.by_id[send.endpoint_id]
    play.handle_after(0.05, ResponseStarted(send.request_id, 0, send.endpoint_id, 0.05))
    latency_ratio = server.latency_ratio
    work_rate = play.gateway.cluster.slow_start.work_rate
    play.now += 60.0
    assert not server.unresponsive(play.now, 0.05) and server.oldest_attempt_age(play.now) == 0.0
    play.end_attempt(send, after=1.0)
    assert (server.latency_ratio, play.gateway.cluster.slow_start.work_rate) == (latency_ratio, work_rate)
    assert not play.gateway.requests and not play.gateway.forwarder.attempts


def test_the_other_attempt_is_cancelled_when_a_response_starts() -> None:
    play = GatewayHarness(replace(SETTINGS, hedging_allowed=True, cancellation_allowed=True))
    play.gateway.forwarder.retry_budget.level = 5.0
    play.gateway.forwarder.hedging.win_rate = 1.0
    [first] = started_attempts(play.send_request())
    [second] = started_attempts(play.handle_after(HEDGE_DELAY_RATIO, TimerFired(TimerToken.HEDGE)))
    assert play.handle_after(0.1, ResponseStarted(second.request_id, 1, second.endpoint_id, 0.1)) == [
        CancelAttempt(first.request_id, 0)
    ]
    assert not started_attempts(play.end_attempt(first, Outcome.CANCELLED, attempt=0))
    assert not started_attempts(play.end_attempt(second, Outcome.RESET, attempt=1, request_finished=True))
    assert not play.gateway.requests


def test_a_request_whose_chunks_have_been_sent_gets_no_other_attempt() -> None:
    play = GatewayHarness(replace(SETTINGS, hedging_allowed=True))
    play.gateway.forwarder.retry_budget.level = 5.0
    play.gateway.forwarder.hedging.win_rate = 1.0
    [send] = started_attempts(play.send_request(is_chunked=True))
    # a hedge would need the same chunks
    assert not started_attempts(play.handle_after(HEDGE_DELAY_RATIO, TimerFired(TimerToken.HEDGE)))
    [again] = started_attempts(play.end_attempt(send, Outcome.CONNECT_FAILED))  # no chunk has been sent yet
    play.handle_after(0.0, UploadStarted(again.request_id))
    done = play.end_attempt(again, Outcome.CONNECT_FAILED, attempt=1)
    assert not started_attempts(done) and final_errors(done) == [RejectRequest(again.request_id, 0.5, "attempt")]


def test_the_deadline_of_a_long_request_counts_from_its_last_byte() -> None:
    play = GatewayHarness()
    [send] = started_attempts(play.send_request(is_chunked=True, time_left=2.0))
    play.handle_after(5.0, UploadFinished(send.request_id, 2.0))
    assert play.gateway.requests[send.request_id].deadline == play.now + 2.0


def test_a_request_without_available_memory_is_rejected() -> None:
    play = GatewayHarness()
    assert play.send_request(memory_available=False)[-1] == RejectRequest("r1", 0.5, "memory")
    assert not play.gateway.requests
