"""Streamed responses and uploads in the decisions, without sockets."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ingress.decisions.actions import CancelAttempt, RejectRequest, StartAttempt
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import ClientDisconnected, ResponseStarted, TimerFired, UploadFinished, UploadStarted
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
    harness, first, second = hedged_request(cancellation_allowed=True)
    assert harness.handle_after(0.1, ResponseStarted(second.request_id, 1, second.endpoint_id, 0.1)) == [
        CancelAttempt(first.request_id, 0)
    ]
    assert not started_attempts(harness.end_attempt(first, Outcome.CANCELLED, attempt=0))
    assert not started_attempts(harness.end_attempt(second, Outcome.RESET, attempt=1, request_finished=True))
    assert not harness.gateway.requests


def hedged_request(cancellation_allowed: bool) -> tuple[GatewayHarness, StartAttempt, StartAttempt]:
    """Return a gateway with a request that has two attempts in flight, and these attempts."""
    harness = GatewayHarness(replace(SETTINGS, hedging_allowed=True, cancellation_allowed=cancellation_allowed))
    harness.gateway.forwarder.retry_budget.level = 5.0
    harness.gateway.forwarder.hedging.win_rate = 1.0
    [first] = started_attempts(harness.send_request())
    [second] = started_attempts(harness.handle_after(HEDGE_DELAY_RATIO, TimerFired(TimerToken.HEDGE)))
    return harness, first, second


@pytest.mark.parametrize("outcome", Outcome)
def test_the_other_attempt_does_not_end_a_request_whose_response_has_started(outcome: Outcome) -> None:
    """Guards against a hedge that counts as the result of a request which another attempt answers."""
    harness, first, second = hedged_request(cancellation_allowed=False)
    assert not harness.handle_after(0.1, ResponseStarted(first.request_id, 0, first.endpoint_id, 0.6))
    win_rate = harness.gateway.forwarder.hedging.win_rate
    ended = harness.end_attempt(second, outcome, attempt=1, request_finished=False)
    assert not started_attempts(ended) and not final_errors(ended)
    assert not [action for action in ended if isinstance(action, CancelAttempt)]
    assert harness.gateway.forwarder.hedging.win_rate == win_rate
    assert list(harness.gateway.requests) == [first.request_id]
    assert not harness.gateway.cluster.outliers.cpu_starved_until > harness.now
    harness.end_attempt(first, attempt=0)
    assert not harness.gateway.requests and not harness.gateway.forwarder.attempts


def test_the_response_that_starts_second_is_measured_and_not_needed() -> None:
    """Guards against a second owner of a response, and against the time of a whole value taken for its latency."""
    harness, first, second = hedged_request(cancellation_allowed=False)
    harness.handle_after(0.1, ResponseStarted(first.request_id, 0, first.endpoint_id, 0.6))
    assert not harness.handle_after(0.1, ResponseStarted(second.request_id, 1, second.endpoint_id, 0.2))
    server = harness.gateway.cluster.endpoints.by_id[second.endpoint_id]
    assert server.oldest_attempt_age(harness.now) == 0.0
    latency_ratio = server.latency_ratio
    harness.end_attempt(second, attempt=1, after=3.0, request_finished=False)
    assert server.latency_ratio == latency_ratio
    assert harness.gateway.requests[first.request_id].streaming_attempt == 0


@pytest.mark.parametrize("cancellation_allowed", [False, True])
def test_a_response_that_nobody_waits_for_is_cancelled_if_that_is_allowed(cancellation_allowed: bool) -> None:
    """Guards against an attempt that is given up although the settings don't allow it."""
    harness, first, second = hedged_request(cancellation_allowed)
    harness.handle_after(0.1, ResponseStarted(first.request_id, 0, first.endpoint_id, 0.6))
    left = harness.handle_after(0.1, ClientDisconnected(first.request_id))
    assert left == [CancelAttempt(first.request_id, 0)] * cancellation_allowed
    late = harness.handle_after(0.1, ResponseStarted(second.request_id, 1, second.endpoint_id, 0.3))
    assert late == [CancelAttempt(first.request_id, 1)] * cancellation_allowed


def test_a_request_is_not_sent_again_once_its_response_has_started() -> None:
    """Guards against a retry whose answer would follow a part of another one."""
    harness = GatewayHarness()
    harness.gateway.forwarder.retry_budget.level = 5.0
    [attempt] = started_attempts(harness.send_request())
    harness.handle_after(0.1, ResponseStarted(attempt.request_id, 0, attempt.endpoint_id, 0.1))
    ended = harness.end_attempt(attempt, Outcome.RESET, request_finished=False)
    assert not started_attempts(ended) and len(final_errors(ended)) == 1


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
