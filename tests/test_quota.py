"""The sliced token bucket of each customer, without the counter service and messages of other gateways."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ingress.decisions.actions import AddToCounter, RejectRequest, SendPeerMessage
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import CounterReply, PeerMessage, TimerFired
from ingress.decisions.quota import CUSTOMER_IDLE_TIMEOUT_S
from ingress.decisions.settings import Plan
from ingress.decisions.timers import TimerToken

from .conftest import SETTINGS, GatewayHarness, started_attempts


def spend(harness: GatewayHarness, times: int, **changes: object) -> int:
    """Return how many of `times` simultaneous requests are forwarded; each is answered immediately."""
    passed = 0
    for _ in range(times):
        attempts = started_attempts(harness.send_request(0.0, **changes))
        passed += len(attempts)
        for sent in attempts:
            harness.end_attempt(sent, Outcome.OK, 0.0)
    return passed


def test_a_slice_grants_its_share_of_the_burst_and_the_rest_is_rejected_immediately() -> None:
    harness = GatewayHarness()
    assert spend(harness, 10) == 5  # burst 8 divided by two gateways, plus one request
    rejection = harness.send_request()[-1]
    # One unit refills in 0.5 s at rate 2, the rate over all gateways, because the retry may reach any of them.
    assert rejection == RejectRequest(f"r{harness.request_count}", 0.5, "quota")
    harness.now += 2.0
    assert spend(harness, 10) == 2


def test_a_request_larger_than_the_slice_fits_a_full_one() -> None:
    harness = GatewayHarness()
    assert spend(harness, 1) == 1  # the slice contains 5 units
    assert len(started_attempts(harness.send_request(units=6.0))) == 0
    harness.now += 3.0
    assert len(started_attempts(harness.send_request(units=6.0))) == 1


def test_a_slice_starts_with_one_request_however_small_its_share() -> None:
    harness = GatewayHarness()
    assert len(started_attempts(harness.send_request(gateway_count=100))) == 1  # burst 8 divided by 100 gateways
    assert len(started_attempts(harness.send_request(gateway_count=100))) == 0
    harness.now += 45.0
    assert len(started_attempts(harness.send_request(gateway_count=100))) == 0
    harness.now += 1.5  # refills the missing units of the second request, at rate 2 divided by 100
    assert len(started_attempts(harness.send_request(gateway_count=100))) == 1


@pytest.mark.parametrize(("gateway_count", "rate"), [(1, 2.0), (2, 1.0), (4, 0.5), (16, 0.125), (200, 0.01)])
def test_a_slice_refills_at_an_even_share_of_the_rate_for_any_gateway_count(gateway_count: int, rate: float) -> None:
    harness = GatewayHarness()
    harness.send_request(gateway_count=4)
    harness.send_request(gateway_count=gateway_count)
    customer = harness.gateway.customers["c"]
    assert customer.slice.rate == pytest.approx(rate)
    assert customer.slice.capacity == pytest.approx(min(8.0, max(8.0 / gateway_count + 1.0, 2.0)))


@pytest.mark.parametrize(("over_cost", "capacity"), [(0.5, 2), (1.0, 1), (1.2, 1)])
def test_a_slice_has_room_for_two_requests_if_one_beyond_the_quota_costs_little(
    over_cost: float, capacity: int
) -> None:
    plan = replace(SETTINGS.plans[0], burst=4.0, over_quota_cost=over_cost)
    harness = GatewayHarness(replace(SETTINGS, gateway_count=40, plans=(plan,)))
    # The gateways have just started: all thirty would grant the units in their slices at the same time.
    assert spend(harness, 5, gateway_count=30) == 1
    harness.now += 30.0 / plan.rate  # refills one more request in each slice
    assert spend(harness, 5, gateway_count=30, customer="another") == capacity
    harness.now += 60.0 / plan.rate
    assert spend(harness, 5, gateway_count=30) == capacity


def test_estimated_units_are_corrected_by_the_answer() -> None:
    harness = GatewayHarness()
    sent = started_attempts(harness.send_request(units=1.0))[0]
    harness.end_attempt(sent, Outcome.OK, 0.0, settled_units=5.0)
    assert spend(harness, 10) == 0
    harness.now += 1.0
    assert spend(harness, 10) == 1


def test_a_plan_without_a_rate_has_only_its_concurrency_limit() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(Plan("basic", concurrency_limit=4),)))
    assert sum(len(started_attempts(harness.send_request())) for _ in range(5)) == 2  # limit 4 divided by two gateways


def test_idle_customers_of_a_plan_without_a_rate_are_dropped_too() -> None:
    """Their spent units never refill, and restrict nothing."""
    harness = GatewayHarness(replace(SETTINGS, plans=(Plan("basic", rate=0.0, burst=8.0),)))
    for n in range(50):
        assert spend(harness, 20, customer=f"c{n}") == 20
    harness.handle_after(CUSTOMER_IDLE_TIMEOUT_S + 1.0, TimerFired(TimerToken.CLEANUP))
    assert not harness.gateway.customers


def test_idle_customers_with_full_buckets_are_dropped() -> None:
    harness = GatewayHarness()
    for n in range(50):
        harness.send_request(customer=f"c{n}")
    for sent in started_attempts(list(harness.actions)):
        harness.end_attempt(sent, Outcome.OK, 0.0)
    harness.handle_after(61.0, TimerFired(0))
    assert not harness.gateway.customers


def test_a_marked_retry_too_late_for_its_latency_objective_is_rejected() -> None:
    harness = GatewayHarness()
    assert started_attempts(harness.send_request(time_left=4.0))
    assert started_attempts(harness.send_request(time_left=3.7, is_retry=True))
    # 1.5 s have passed, the objective is 1 s
    assert not started_attempts(harness.send_request(time_left=2.5, is_retry=True))


@pytest.mark.parametrize(
    "changes",
    [{"counter_available": True, "counter_timeout": 0.05}, {"peer_messages_allowed": True, "peer_message_rate": 100.0}],
)
def test_ordinary_requests_use_neither_the_counter_nor_peer_messages(changes: dict[str, float]) -> None:
    """Guards against delays by a call for each low slice, and against several gateways lending from stale totals."""
    harness = GatewayHarness(replace(SETTINGS, **changes))
    harness.handle_after(0.0, PeerMessage(1, "1"))
    harness.handle_after(0.0, CounterReply(1, Outcome.OK, 0.0))
    assert spend(harness, 10) == 5
    harness.handle_after(60.0, TimerFired(0))
    assert not [action for action in harness.actions if isinstance(action, AddToCounter | SendPeerMessage)]
    assert spend(harness, 10) == 5
