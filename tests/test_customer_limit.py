"""The limit on tracked customers: those whose buckets are full make room, and nothing that was spent is forgotten."""

from __future__ import annotations

from ingress.decisions.actions import RejectRequest, StartAttempt
from ingress.decisions.events import CustomerLimitChanged

from .conftest import GatewayHarness

MAX_CUSTOMERS = 20
REFILL_TIME_S = 10.0  # of a customer of the basic plan after one request


def is_sent(harness: GatewayHarness, customer: str) -> bool:
    """Send a request of a customer; return whether it is forwarded, and then answered at once."""
    actions = harness.send_request(customer=customer)
    started = [action for action in actions if isinstance(action, StartAttempt)]
    for attempt in started:
        harness.end_attempt(attempt, after=0.0)
    return bool(started)


def full_harness() -> GatewayHarness:
    """Return a gateway that tracks as many customers as it may, each with a request just served."""
    harness = GatewayHarness()
    harness.handle_after(0.0, CustomerLimitChanged(MAX_CUSTOMERS))
    assert all(is_sent(harness, f"c{number}") for number in range(MAX_CUSTOMERS))
    return harness


def test_a_new_customer_beyond_the_limit_is_refused_and_the_tracked_ones_are_served() -> None:
    harness = full_harness()
    refused = harness.send_request(customer="new")[-1]
    assert isinstance(refused, RejectRequest) and refused.reason == "memory"
    assert len(harness.gateway.customers) == MAX_CUSTOMERS
    assert all(is_sent(harness, f"c{number}") for number in range(MAX_CUSTOMERS))


def test_customers_whose_buckets_are_full_make_room_without_being_idle_for_long() -> None:
    harness = full_harness()
    harness.now += REFILL_TIME_S
    assert all(is_sent(harness, f"new{number}") for number in range(MAX_CUSTOMERS))
    assert len(harness.gateway.customers) <= MAX_CUSTOMERS


def test_a_customer_that_has_spent_its_quota_is_not_forgotten_for_others() -> None:
    """Guards against a second burst for a customer whose state was dropped."""
    harness = GatewayHarness()
    harness.handle_after(0.0, CustomerLimitChanged(1))
    while is_sent(harness, "greedy"):
        pass
    assert not is_sent(harness, "new")
    assert not is_sent(harness, "greedy")
    assert list(harness.gateway.customers) == ["greedy"]
