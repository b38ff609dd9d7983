"""Tests of the choice of endpoints and of the load that each one is sent.  Each guards against an observed failure."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from ingress.decisions.actions import CancelAttempt, SetTimer, StartAttempt
from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import EndpointListKind, EndpointsChanged, RequestReceived, TimerFired
from ingress.decisions.gateway import Gateway
from ingress.decisions.hedging import HEDGE_DELAY_RATIO, HEDGE_MAX_SATURATION
from ingress.decisions.subsetting import SUBSET_SIZE
from ingress.decisions.timers import TimerToken

from .conftest import BASIC_PLAN, FLEET, IDEMPOTENT_CLASS, SETTINGS, GatewayHarness, started_attempts

UNLIMITED = replace(SETTINGS, plans=(replace(BASIC_PLAN, rate=1e6, burst=1e6),))


def send_requests(harness: GatewayHarness, latency: float, request_count: int = 200) -> dict[str, int]:
    """Send requests one by one, each answered after `latency`; return the number of attempts by endpoint."""
    attempt_counts: dict[str, int] = {}
    for _ in range(request_count):
        for sent in started_attempts(harness.send_request(0.01)):
            attempt_counts[sent.endpoint_id] = attempt_counts.get(sent.endpoint_id, 0) + 1
            harness.end_attempt(sent, Outcome.OK, latency)
    return attempt_counts


def test_concurrency_limits_start_low_and_grow_with_responses() -> None:
    harness = GatewayHarness(UNLIMITED)
    for _ in range(100):
        harness.send_request(0.0)
    assert len(started_attempts(harness.actions)) <= len(FLEET)
    for sent in started_attempts(list(harness.actions)):
        harness.end_attempt(sent, Outcome.OK, 0.01)
    assert len(started_attempts([a for _ in range(100) for a in harness.send_request(0.0)])) > len(FLEET) / 2


def test_old_attempts_reduce_the_concurrency_limit_without_any_response() -> None:
    harness = GatewayHarness(UNLIMITED)
    send_requests(harness, 0.05)
    for endpoint in harness.gateway.cluster.endpoints.by_id.values():
        endpoint.concurrency_limit = 20.0
    for _ in range(40):
        harness.send_request(0.0)
    before = sum(s.concurrency_limit for s in harness.gateway.cluster.endpoints.by_id.values())
    for _ in range(20):
        harness.send_request(0.5)
    assert sum(s.concurrency_limit for s in harness.gateway.cluster.endpoints.by_id.values()) < before / 2


def test_an_unresponsive_endpoint_gets_no_new_attempts() -> None:
    harness = GatewayHarness(UNLIMITED)
    send_requests(harness, 0.05)
    unresponsive = started_attempts(harness.send_request(0.0))[0].endpoint_id
    harness.now += 0.5
    assert unresponsive not in send_requests(harness, 0.01, 40)


def test_a_slow_endpoint_gets_fewer_attempts() -> None:
    harness = GatewayHarness(UNLIMITED)
    attempt_counts: dict[str, int] = {}
    for _ in range(300):
        for sent in started_attempts(harness.send_request(0.02)):
            attempt_counts[sent.endpoint_id] = attempt_counts.get(sent.endpoint_id, 0) + 1
            harness.end_attempt(sent, Outcome.OK, 0.3 if sent.endpoint_id == "b1" else 0.05)
    assert attempt_counts["b1"] < min(attempt_counts[b] for b in ("b0", "b2", "b3")) / 2


def test_open_attempts_cause_load_shedding_before_any_response() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, gateway_count=300, plans=(replace(BASIC_PLAN, rate=1e4, burst=1e5),)),
        (Endpoint(f"b{n}") for n in range(80)),
    )
    sent = sum(len(started_attempts(harness.send_request(0.3))) for _ in range(40))
    assert sent < 30  # no response arrived: only the open attempts indicate congestion, at most one at each endpoint
    harness.now += 30.0
    assert started_attempts(harness.send_request())  # attempts are sent again


def test_a_few_endpoints_that_never_respond_are_no_congestion() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, gateway_count=300, plans=(replace(BASIC_PLAN, rate=1e4, burst=1e5),)),
        (Endpoint(f"b{n}") for n in range(80)),
    )
    sent_count = 0
    for _ in range(200):
        for sent in started_attempts(harness.send_request(0.2)):
            sent_count += 1
            if int(sent.endpoint_id[1:]) >= 8:
                harness.end_attempt(sent, Outcome.OK, 0.1)
    assert sent_count > 180


def test_idle_endpoints_are_chosen_in_proportion_to_their_weights() -> None:
    fleet = [Endpoint(f"b{n}", weight=2.0 if n < 10 else 1.0) for n in range(40)]
    chosen = []
    for seed in range(400):
        gateway = Gateway(replace(SETTINGS, gateway_count=400, gateway_index=seed), seed)
        gateway.handle(1.0, EndpointsChanged(EndpointListKind.RESTORED, tuple(fleet)))
        actions = gateway.handle(1.1, RequestReceived("r", "read", "basic", "c", 4.0))
        chosen += [int(s.endpoint_id[1:]) for s in started_attempts(actions)]
    assert len(set(chosen)) == len(fleet)
    assert 0.3 < sum(n < 10 for n in chosen) / len(chosen) < 0.5  # the weight of the large ones is 20 of 50


def test_a_gateway_without_endpoints_in_its_zone_uses_another_zone() -> None:
    harness = GatewayHarness(replace(UNLIMITED, zone="c"), fleet=(Endpoint("x", "a"),))
    assert started_attempts(harness.send_request())


def test_subsets_are_stable_and_cover_the_endpoints_evenly() -> None:
    fleet = tuple(Endpoint(f"10.0.0.{n}:9000", zone="ab"[n % 2]) for n in range(60))
    preferring_gateways = dict.fromkeys((b.id for b in fleet), 0)
    for number in range(300):
        gateway = Gateway(replace(SETTINGS, gateway_count=300, gateway_index=number), 1)
        gateway.handle(1.0, EndpointsChanged(EndpointListKind.RESTORED, fleet))
        preferred = [s.info.id for s in gateway.cluster.endpoints.preferred]
        assert len(preferred) == 12
        gateway.handle(2.0, EndpointsChanged(EndpointListKind.REPLACE, fleet[1:]))
        # one was removed, so at most one is new
        assert len({s.info.id for s in gateway.cluster.endpoints.preferred} - set(preferred)) <= 1
        for name in preferred:
            preferring_gateways[name] += 1
    assert min(preferring_gateways.values()) > 30  # the mean is 60
    assert max(preferring_gateways.values()) < 90


def test_other_endpoints_are_used_while_the_complete_subset_is_paused() -> None:
    harness = GatewayHarness(UNLIMITED, (Endpoint(f"b{n}") for n in range(40)))
    preferred = list(harness.gateway.cluster.endpoints.preferred)
    for endpoint in preferred:
        endpoint.health.paused_until = harness.now + 60.0  # as if each had rejected attempts
    sent = started_attempts(harness.send_request(0.01))
    assert sent
    assert sent[0].endpoint_id not in {s.info.id for s in preferred}


HEDGING = replace(SETTINGS, hedging_allowed=True, cancellation_allowed=True)


def hedge_of_unanswered_request(harness: GatewayHarness) -> StartAttempt:
    """Send a request whose first attempt gets no response, and return its hedge."""
    first = started_attempts(harness.send_request())[0]
    hedges = started_attempts(
        harness.handle_after(HEDGE_DELAY_RATIO * IDEMPOTENT_CLASS.latency_objective, TimerFired(TimerToken.HEDGE))
    )
    assert len(hedges) == 1 and hedges[0].request_id == first.request_id and hedges[0].endpoint_id != first.endpoint_id
    return hedges[0]


def test_an_attempt_without_a_response_gets_a_hedge() -> None:
    harness = GatewayHarness(HEDGING)
    harness.gateway.forwarder.retry_budget.level = 5.0
    hedge = hedge_of_unanswered_request(harness)
    actions = harness.end_attempt(hedge, attempt=1)
    assert actions == [CancelAttempt(hedge.request_id, 0)] and harness.gateway.forwarder.retry_budget.level < 5.0


def test_no_hedge_is_sent_after_a_response_or_where_hedging_is_not_allowed() -> None:
    harness = GatewayHarness(HEDGING)
    harness.end_attempt(started_attempts(harness.send_request())[0])
    assert (
        harness.handle_after(HEDGE_DELAY_RATIO * IDEMPOTENT_CLASS.latency_objective, TimerFired(TimerToken.HEDGE)) == []
        and not harness.gateway.forwarder.hedging.candidates
    )
    harness = GatewayHarness()
    assert started_attempts(harness.send_request())
    assert TimerToken.HEDGE not in [a.token for a in harness.actions if isinstance(a, SetTimer)]


@pytest.mark.parametrize(("win_rate", "count"), [(0.0, 0), (1.0, 1)])
def test_hedges_with_a_low_win_rate_need_more_spare_capacity(win_rate: float, count: int) -> None:
    harness = GatewayHarness(HEDGING)
    harness.gateway.forwarder.retry_budget.level = 5.0
    harness.gateway.forwarder.hedging.win_rate = win_rate
    harness.gateway.cluster.load_shedder.saturation = lambda now: HEDGE_MAX_SATURATION / 2  # type: ignore[method-assign]
    assert started_attempts(harness.send_request())
    assert (
        len(
            started_attempts(
                harness.handle_after(
                    HEDGE_DELAY_RATIO * IDEMPOTENT_CLASS.latency_objective, TimerFired(TimerToken.HEDGE)
                )
            )
        )
        == count
    )


def test_the_hedge_win_rate_follows_which_attempt_responds_first() -> None:
    harness = GatewayHarness(HEDGING)
    harness.gateway.forwarder.retry_budget.level = 5.0
    first = started_attempts(harness.send_request())[0]
    hedge = started_attempts(
        harness.handle_after(HEDGE_DELAY_RATIO * IDEMPOTENT_CLASS.latency_objective, TimerFired(TimerToken.HEDGE))
    )[0]
    harness.end_attempt(hedge, attempt=1)
    harness.end_attempt(first, Outcome.CANCELLED, request_finished=True)
    assert harness.gateway.forwarder.hedging.win_rate > 0.5
    win_rate = harness.gateway.forwarder.hedging.win_rate
    first = started_attempts(harness.send_request())[0]
    harness.handle_after(HEDGE_DELAY_RATIO * IDEMPOTENT_CLASS.latency_objective, TimerFired(TimerToken.HEDGE))
    harness.end_attempt(first, attempt=0)
    assert harness.gateway.forwarder.hedging.win_rate < win_rate


def make_gateways(gateway_count: int, endpoint_ids: list[str]) -> list[Gateway]:
    fleet = EndpointsChanged(EndpointListKind.RESTORED, tuple(Endpoint(name) for name in endpoint_ids))
    gateways = [
        Gateway(replace(SETTINGS, gateway_count=gateway_count, gateway_index=n), n) for n in range(gateway_count)
    ]
    for gateway in gateways:
        gateway.handle(1.0, fleet)
    return gateways


def preferred_ids(gateway: Gateway) -> set[str]:
    return {endpoint.info.id for endpoint in gateway.cluster.endpoints.preferred}


@pytest.mark.parametrize(("gateways", "servers"), [(200, 128), (218, 128), (60, 39), (200, 200), (50, 1000)])
def test_endpoints_are_preferred_by_equally_many_gateways(gateways: int, servers: int) -> None:
    endpoint_ids = [f"s{n}" for n in range(servers)]
    counts = Counter(name for gateway in make_gateways(gateways, endpoint_ids) for name in preferred_ids(gateway))
    mean = gateways * SUBSET_SIZE / servers
    # With independent draws, the standard deviation would be the square root of the mean: 4.3 for a mean of 18.8 with
    # 200 gateways and 128 endpoints.
    deviation = (sum((counts[name] - mean) ** 2 for name in endpoint_ids) / servers) ** 0.5
    assert deviation < max(1.2, 0.35 * mean**0.5) and max(counts.values()) <= mean + 4


def test_endpoints_stay_preferred_when_others_are_removed_and_return() -> None:
    endpoint_ids = [f"s{n}" for n in range(128)]
    gateways = make_gateways(100, endpoint_ids)
    ids_before = [preferred_ids(gateway) for gateway in gateways]
    removed_ids = set(endpoint_ids[::4])
    for gateway, ids in zip(gateways, ids_before, strict=True):
        gateway.handle(
            2.0,
            EndpointsChanged(
                EndpointListKind.UPDATE, tuple(Endpoint(name, readiness=Readiness.REMOVED) for name in removed_ids)
            ),
        )
        assert ids - removed_ids <= preferred_ids(gateway) and len(preferred_ids(gateway)) == SUBSET_SIZE
    for gateway in gateways:
        gateway.handle(
            3.0,
            EndpointsChanged(EndpointListKind.UPDATE, tuple(Endpoint(name, started_at=3.0) for name in removed_ids)),
        )
    # Endpoints that return are preferred at once, by as many gateways as before.
    counts = Counter(name for gateway in gateways for name in preferred_ids(gateway))
    assert min(counts[name] for name in removed_ids) >= 5
    assert sum(preferred_ids(gateway) == ids for gateway, ids in zip(gateways, ids_before, strict=True)) > 90


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(st.tuples(st.integers(0, 5), st.integers(0, 30), st.floats(0.0, 1.5)), max_size=60))
def test_incremental_totals_equal_the_sums_over_ready_endpoints(steps: list[tuple[int, int, float]]) -> None:
    harness = GatewayHarness()
    open_attempts: list[StartAttempt] = []
    for kind, pick, after in steps:
        if kind < 2:
            open_attempts += started_attempts(harness.send_request(after, customer=f"c{pick}"))
        elif kind < 4 and open_attempts:
            attempt = open_attempts.pop(pick % len(open_attempts))
            harness.end_attempt(
                attempt,
                (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET)[pick % 4],
                after,
                request_finished=True,
            )
        else:
            listed = tuple(
                replace(
                    info,
                    readiness=Readiness.DRAINING if pick >> n & 1 else Readiness.READY,
                    started_at=harness.now if kind == 5 and pick >> n & 2 else info.started_at,
                )
                for n, info in enumerate(FLEET)
            )
            harness.handle_after(after, EndpointsChanged(EndpointListKind.UPDATE, listed))
        fleet = harness.gateway.cluster.endpoints
        assert fleet.totals.in_flight == sum(len(s.in_flight) for s in fleet.ready)
        assert fleet.totals.concurrency_limits == pytest.approx(sum(s.concurrency_limit for s in fleet.ready))
