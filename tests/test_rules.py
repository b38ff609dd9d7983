"""The rules that each gateway enforces alone: safe retries, final answers, endpoint lists, slow start, ceilings."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ingress.decisions.actions import RejectRequest, SetTimer, WatchEndpoints
from ingress.decisions.attempts import Attempt, InFlightRequest
from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    RequestReceived,
    TimerFired,
)
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Idempotency, KeyScope, Plan, RequestClass

from .conftest import (
    BASIC_PLAN,
    FLEET,
    IDEMPOTENCY_KEY_CLASS,
    IDEMPOTENT_CLASS,
    NOT_IDEMPOTENT_CLASS,
    SETTINGS,
    GatewayHarness,
    class_with_key_scope,
    final_errors,
    started_attempts,
    tracked_endpoint,
)

OUTCOMES = tuple(Outcome)
MAY_HAVE_RUN_OUTCOMES = tuple(outcome for outcome in OUTCOMES if not outcome.never_ran)


def request_after(cls: RequestClass, outcome: Outcome | None) -> InFlightRequest:
    """Return a request whose only attempt, to b0 (zone a, cell 0), had this outcome, or is in flight if None."""
    harness = GatewayHarness(replace(SETTINGS, classes=(cls,)))
    sent = started_attempts(harness.send_request(request_class=cls.name))[0]
    request = harness.gateway.requests["r1"]
    first_endpoint = tracked_endpoint(FLEET[0], harness.now)
    request.attempts = [Attempt(first_endpoint, harness.now)]
    request.may_have_run = [] if outcome is not None and outcome.never_ran else [Attempt(first_endpoint, harness.now)]
    if outcome is not None:
        request.in_flight.clear()
    assert sent.request_id == "r1"
    return request


@pytest.mark.parametrize("outcome", [*OUTCOMES, None])
@pytest.mark.parametrize(
    "cls",
    [
        IDEMPOTENT_CLASS,
        class_with_key_scope(KeyScope.ALL),
        class_with_key_scope(KeyScope.ZONE),
        class_with_key_scope(KeyScope.CELL),
        NOT_IDEMPOTENT_CLASS,
    ],
    ids=["safe", "all", "zone", "cell", "unsafe"],
)
def test_which_endpoints_may_get_another_attempt_and_when_a_request_may_be_rejected(
    cls: RequestClass, outcome: Outcome | None
) -> None:
    request = request_after(cls, outcome)
    proven = outcome is not None and outcome.never_ran
    settings = replace(SETTINGS, hedging_allowed=True)
    allowed = {entry.id for entry in FLEET if request.may_attempt(tracked_endpoint(entry, 100.0), 100.5, settings)}
    all_endpoints = {entry.id for entry in FLEET}
    if proven or cls.idempotency is Idempotency.IDEMPOTENT:
        expected = all_endpoints
    elif cls.idempotency is Idempotency.NOT_IDEMPOTENT:
        expected = set()
    else:
        expected = {KeyScope.ALL: all_endpoints, KeyScope.ZONE: {"b0", "b2"}, KeyScope.CELL: {"b0", "b1"}}[
            cls.key_scope
        ]
    assert allowed == expected
    assert request.may_reject() == (proven or cls.idempotency is Idempotency.IDEMPOTENT)


def test_a_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    request = request_after(IDEMPOTENCY_KEY_CLASS, Outcome.TIMEOUT)
    first_endpoint = tracked_endpoint(FLEET[0], 100.0)
    assert request.may_attempt(first_endpoint, 100.0 + IDEMPOTENCY_KEY_CLASS.deduplication_window - 0.1, SETTINGS)
    assert not request.may_attempt(first_endpoint, 100.0 + IDEMPOTENCY_KEY_CLASS.deduplication_window, SETTINGS)


def test_no_second_attempt_in_parallel_where_hedging_is_not_allowed() -> None:
    assert not request_after(IDEMPOTENT_CLASS, None).may_attempt(tracked_endpoint(FLEET[1], 100.0), 100.1, SETTINGS)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN_OUTCOMES)
def test_an_unsafe_request_that_may_have_run_fails_and_is_never_rejected(outcome: Outcome) -> None:
    harness = GatewayHarness()
    sent = started_attempts(harness.send_request(request_class="pay"))[0]
    after = harness.end_attempt(sent, outcome, request_finished=outcome is Outcome.OK)
    assert not started_attempts(after)
    assert not any(isinstance(a, RejectRequest) for a in after)


def test_every_request_has_one_answer_when_all_attempts_fail() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(replace(BASIC_PLAN, rate=1000.0, burst=1000.0),)))
    for n in range(60):
        attempt = 0
        sent = started_attempts(harness.send_request(0.2, request_class=("read", "order", "pay")[n % 3]))
        while sent:
            sent = started_attempts(harness.end_attempt(sent[0], Outcome.RESET, 0.01, attempt=attempt))
            attempt += 1
    answered = [getattr(a, "request_id", "") for a in final_errors(harness.actions)]
    assert sorted(answered) == sorted({f"r{n}" for n in range(1, 61)})
    assert not harness.gateway.requests


def test_the_timeout_at_the_deadline_leads_to_the_final_answer() -> None:
    harness = GatewayHarness()
    sent = started_attempts(harness.send_request(time_left=2.0))[0]
    assert sent.timeout == pytest.approx(2.0)
    assert len(final_errors(harness.end_attempt(sent, Outcome.TIMEOUT, 2.0))) == 1


def test_nothing_is_sent_for_a_finished_request() -> None:
    harness = GatewayHarness()
    sent = started_attempts(harness.send_request())[0]
    assert harness.handle_after(0.1, ClientDisconnected("r1")) == []
    assert harness.handle_after(0.1, ClientDisconnected("r1")) == []
    assert harness.end_attempt(sent, Outcome.CONNECT_FAILED) == []
    assert harness.handle_after(0.0, AttemptEnded("unknown", 0, "b0", Outcome.OK)) == []


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_a_draining_or_removed_endpoint_gets_no_more_requests(readiness: Readiness) -> None:
    harness = GatewayHarness()
    leaving = tuple(replace(entry, readiness=readiness) for entry in FLEET[:3])
    harness.handle_after(0.0, EndpointsChanged(EndpointListKind.UPDATE, leaving))
    targets = {s.endpoint_id for _ in range(12) for s in started_attempts(harness.send_request(0.5))}
    assert targets == {"b3"}


def test_an_endpoint_missing_from_a_complete_list_is_removed_and_a_returning_one_is_used() -> None:
    harness = GatewayHarness()
    harness.handle_after(0.0, EndpointsChanged(EndpointListKind.REPLACE, FLEET[:1]))
    assert {s.endpoint_id for _ in range(6) for s in started_attempts(harness.send_request(0.5))} == {"b0"}
    harness.handle_after(0.0, EndpointsChanged(EndpointListKind.REPLACE, FLEET[1:2]))
    assert {s.endpoint_id for s in started_attempts(harness.send_request(0.5))} == {"b1"}


def test_requests_are_rejected_immediately_if_the_endpoint_list_is_empty() -> None:
    harness = GatewayHarness(fleet=())
    assert isinstance(harness.send_request()[-1], RejectRequest)


def times_sent_to_cold_endpoint(harness: GatewayHarness, seconds: float, interval: float) -> list[float]:
    times = []
    while seconds > 0:
        for sent in started_attempts(harness.send_request(interval, customer=f"c{harness.request_count % 200}")):
            if sent.endpoint_id == "cold":
                times.append(harness.now)
            harness.end_attempt(sent, Outcome.OK, 0.001)
        seconds -= interval
    return times


def test_a_cold_endpoint_gets_a_share_of_the_load_of_a_warm_one() -> None:
    harness = GatewayHarness()
    times_sent_to_cold_endpoint(harness, 30.0, 0.05)
    warm_rate = 20.0 / len(FLEET)
    harness.handle_after(
        0.0, EndpointsChanged(EndpointListKind.UPDATE, (Endpoint("cold", "a", started_at=harness.now),))
    )
    times = times_sent_to_cold_endpoint(harness, SETTINGS.overload_window * 2, 0.05)
    # Relative to a warm endpoint, this gateway may send the initial capacity times the overload factor; within two
    # overload windows the capacity grows by up to 0.16.
    max_requests = (
        warm_rate
        * (SETTINGS.slow_start_initial_capacity + 0.16)
        * SETTINGS.overload_factor
        * SETTINGS.overload_window
        * 2
    )
    assert 0 < len(times) <= max_requests + 1


def test_a_new_gateway_with_only_cold_endpoints_sends_few_requests_but_some() -> None:
    harness = GatewayHarness(fleet=(Endpoint("cold", "a", started_at=100.0),))
    times = times_sent_to_cold_endpoint(harness, 6.0, 0.02)
    assert 1 <= len(times) <= 6 * SETTINGS.overload_factor * SETTINGS.slow_start_initial_capacity


CAPPED = Plan("basic", rate=2.0, burst=4.0, ceiling_rate=4.0, ceiling_burst=8.0, ceiling_slack=1.0)


def test_the_ceiling_slice_is_empty_in_a_new_process_and_is_never_exceeded() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(CAPPED,)))
    passed = 0
    for _ in range(200):
        attempts = started_attempts(harness.send_request(0.02))
        passed += len(attempts)
        for sent in attempts:
            harness.end_attempt(sent, Outcome.OK, 0.001)
    assert passed <= CAPPED.ceiling_rate / 2 * (harness.now - 100.0)


def test_another_gateway_count_or_a_long_pause_does_not_refill_a_ceiling() -> None:
    slow = replace(CAPPED, rate=100.0, burst=100.0, ceiling_rate=0.02, ceiling_burst=8.0)
    harness = GatewayHarness(replace(SETTINGS, plans=(slow,)))
    harness.now += 10000.0
    passed = 0
    for n in range(300):
        if n % 20 == 0:
            harness.handle_after(65.0 if n == 100 else 0.0, TimerFired(0))
        attempts = started_attempts(harness.send_request(0.0, gateway_count=2 + n % 2))
        passed += len(attempts)
        for sent in attempts:
            harness.end_attempt(sent, Outcome.OK, 0.001)
    assert passed <= 8.0 / 2 + 0.02 * 100


def test_failed_discovery_calls_do_not_multiply_subscriptions() -> None:
    harness = GatewayHarness(replace(SETTINGS, polls_discovery=True, discovery_poll_deadline=10.0))
    assert sum(isinstance(a, WatchEndpoints) for a in harness.actions) == 1
    for _ in range(10):
        harness.handle_after(0.01, EndpointsChanged(EndpointListKind.UNAVAILABLE))
    assert sum(isinstance(a, SetTimer) and a.token == 1 for a in harness.actions) == 1
    harness.handle_after(3.0, TimerFired(1))
    assert sum(isinstance(a, WatchEndpoints) for a in harness.actions) == 2
    assert started_attempts(harness.send_request())  # the previous list still applies


def test_the_slow_start_budget_counts_work() -> None:
    harness = GatewayHarness()
    latencies = harness.gateway.cluster.latencies
    latencies.mean_latencies = {"read": 0.1, "order": 0.1, "pay": 0.4}
    assert started_attempts(harness.send_request(request_class="pay"))
    request = harness.gateway.requests["r1"]
    assert latencies.relative_work(request.request_class, request.units) == pytest.approx(2.0)


def test_hundreds_of_gateways_together_use_a_cold_endpoint_without_overloading_it() -> None:
    many = replace(
        SETTINGS, gateway_count=200, slow_start_duration=10.0, plans=(replace(BASIC_PLAN, rate=1e4, burst=1e5),)
    )
    fleet = tuple(Endpoint(f"b{n}") for n in range(20))
    times: list[float] = []
    interval = 0.5  # seconds between requests of one gateway: in all 400 per second, 20 at each warm endpoint
    for number in range(200):
        gateway = Gateway(replace(many, gateway_index=number), number)
        now = 100.0 + number / 200 * interval
        gateway.handle(now, EndpointsChanged(EndpointListKind.RESTORED, fleet))
        for n in range(70):
            now += interval
            if n == 50:
                gateway.handle(now, EndpointsChanged(EndpointListKind.UPDATE, (Endpoint("cold", started_at=now),)))
            for sent in started_attempts(gateway.handle(now, RequestReceived(f"r{n}", "read", "basic", "c", 4.0))):
                times += [now] if sent.endpoint_id == "cold" else []
                gateway.handle(now + 0.1, AttemptEnded(sent.request_id, 0, sent.endpoint_id, Outcome.OK, 0.1, True))
    start = min(times)
    for n in range(8):
        received = sum(start + n <= time < start + n + 1 for time in times)
        share = SETTINGS.slow_start_initial_capacity + (1 - SETTINGS.slow_start_initial_capacity) * n / 10
        assert 0 < received < 20 * SETTINGS.overload_factor * share * SETTINGS.overload_window * 1.1


@pytest.mark.parametrize("servers", [8, 12, 14, 60])
def test_a_cold_endpoint_gets_its_capacity_from_the_gateways_that_prefer_it_and_no_more(servers: int) -> None:
    """Guards against budgets divided among all gateways: where each prefers few endpoints, a zone stayed idle."""
    gateway_count = 100
    work_rate = 5.0  # answers per second at each gateway
    fleet = [Endpoint(f"b{n}") for n in range(servers)]
    capacity = SETTINGS.overload_factor * SETTINGS.slow_start_initial_capacity * gateway_count * work_rate / servers
    for cold in fleet[:3]:
        preferred_rate = 0.0
        other_rate = 0.0
        for number in range(gateway_count):
            gateway = Gateway(replace(SETTINGS, gateway_count=gateway_count, gateway_index=number), number)
            listed = tuple(replace(entry, started_at=100.0) if entry is cold else entry for entry in fleet)
            gateway.handle(100.0, EndpointsChanged(EndpointListKind.RESTORED, listed))
            gateway.cluster.slow_start.work_rate = work_rate
            gateway.cluster.slow_start.work_rate_at = 100.0
            harness = GatewayHarness(SETTINGS)
            harness.send_request()
            server = gateway.cluster.endpoints.by_id[cold.id]
            request = harness.gateway.requests["r1"]
            work = gateway.cluster.latencies.relative_work(request.request_class, request.units)
            gateway.cluster.slow_start.allows(server, 100.0, work)
            if server.preferred:
                preferred_rate += server.slow_start_budget.rate
            else:
                other_rate += server.slow_start_budget.rate
        assert 0.3 * capacity < preferred_rate <= capacity
        assert other_rate <= 0.5 / SETTINGS.overload_window  # the others together, if their preferred endpoints fail


def test_the_time_that_a_request_waited_before_it_was_read_shortens_the_attempt() -> None:
    harness = GatewayHarness()
    [attempt] = started_attempts(harness.send_request(time_waited=1.5))
    assert attempt.timeout == 2.5  # of 4 s
    # The client is no longer waiting, so nothing is sent.
    assert [
        action for action in final_errors(harness.send_request(time_waited=4.0)) if isinstance(action, RejectRequest)
    ]
    assert not started_attempts(harness.send_request(time_waited=5.0))
