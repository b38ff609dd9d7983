"""The units that a gateway grants before a refill has paid for them: limited by plan, by customer and in total."""

from __future__ import annotations

from math import sqrt

import pytest
from msgspec.structs import replace

from ingress.decisions.actions import RejectRequest
from ingress.decisions.concurrency_limit import CONCURRENCY_BUDGET_CAPACITY, ConcurrencyBudget
from ingress.decisions.customer_context import NewCustomerContext
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import SettingsChanged
from ingress.decisions.overage_budget import MAX_OVERAGE_COST_RATIO, OVER_QUOTA_RATIO, OverageBudget
from ingress.decisions.quota import CustomerQuota
from ingress.decisions.settings import Plan, Settings
from ingress.decisions.token_bucket import SlicedBucket

from .conftest import SETTINGS, GatewayHarness, started_attempts

COSTLY = Plan("basic", rate=0.6, burst=2.0, over_quota_cost=1.2)
SHARED = replace(SETTINGS, gateway_count=200, plans=(COSTLY,))


def aged(settings: Settings) -> GatewayHarness:
    """Return a gateway older than the time in which a customer that exceeds its quota empties its burst."""
    harness = GatewayHarness(settings)
    harness.now += 3 * COSTLY.burst / COSTLY.rate
    return harness


def first_requests(harness: GatewayHarness, customers: int, gateway_count: int, plan: str = "basic") -> int:
    """Return how many of `customers`, each seen for the first time, have their request forwarded."""
    passed = 0
    for number in range(customers):
        for sent in started_attempts(
            harness.send_request(0.0, customer=f"customer-{number}", gateway_count=gateway_count, plan=plan)
        ):
            passed += 1
            harness.end_attempt(sent, Outcome.OK, 0.0)
    return passed


def test_a_slice_counts_as_earned_what_refill_has_paid_for() -> None:
    bucket = SlicedBucket(rate=0.1, capacity=3.0, level=3.0, now=0.0, unearned=2.5)
    assert bucket.unearned_units(0.5) == 0.0
    assert bucket.unearned_units(2.0) == pytest.approx(1.5)
    bucket.refill(10.0)  # the bucket is full, so refilled units pay for unearned ones
    assert bucket.unearned == pytest.approx(1.5)
    assert bucket.unearned_units(2.0) == pytest.approx(0.5)


def test_a_slice_that_refills_after_overage_does_not_count_it_twice() -> None:
    customer = CustomerQuota("c", COSTLY, 200, 0.0, NewCustomerContext())
    assert customer.unearned_ratio(1.0) == pytest.approx(0.99)  # burst 2 divided by 200 gateways is earned
    customer.take(1.0)
    assert customer.slice.unearned == pytest.approx(0.01)  # what remains of the headroom for a second request
    assert not customer.slice_fits(1.0, 1.0)
    assert customer.slice_fits(400.0, 1.0)
    assert customer.unearned_ratio(1.0) == pytest.approx(0.0, abs=0.011)


@pytest.mark.parametrize("age", [0.0, 100.0, 1000.0])
def test_headroom_is_earned_with_the_age_of_the_gateway(age: float) -> None:
    customer = CustomerQuota("c", COSTLY, 200, 0.0, NewCustomerContext(gateway_age=age))
    assert customer.unearned_ratio(1.0) == pytest.approx(max(0.0, 1.0 - 0.01 - 0.003 * age))


def test_customers_that_each_gateway_sees_for_the_first_time_are_granted_bounded_overage() -> None:
    """Guards against each of 200 gateways forwarding the requests of all customers: that happens without the budget."""
    # In the steady state the budget receives as much as it spends.
    granted_ratio = sqrt(MAX_OVERAGE_COST_RATIO / (COSTLY.over_quota_cost * OVER_QUOTA_RATIO))
    passed = first_requests(aged(SHARED), customers=400, gateway_count=200)
    assert passed == pytest.approx(400 * granted_ratio, rel=0.1)


def test_while_customers_still_have_their_bursts_overage_costs_nothing() -> None:
    assert first_requests(GatewayHarness(SHARED), customers=100, gateway_count=200) == 100


def test_plans_without_an_over_quota_cost_are_not_limited() -> None:
    free = replace(COSTLY, over_quota_cost=0.0)
    assert first_requests(GatewayHarness(replace(SHARED, plans=(free,))), customers=100, gateway_count=200) == 100


def test_a_plan_with_a_low_over_quota_cost_is_granted_where_a_costlier_one_is_rejected() -> None:
    cheap = replace(COSTLY, name="cheap", over_quota_cost=0.3)
    harness = aged(replace(SHARED, plans=(COSTLY, cheap)))
    passed = {"basic": 0, "cheap": 0}
    for number in range(400):
        plan = ("basic", "cheap")[number % 2]
        for sent in started_attempts(
            harness.send_request(0.0, customer=f"customer-{number}", gateway_count=200, plan=plan)
        ):
            passed[plan] += 1
            harness.end_attempt(sent, Outcome.OK, 0.0)
    assert passed["cheap"] == 200
    assert 40 < passed["basic"] < 160


def test_rejected_overage_is_answered_immediately_with_the_time_until_its_refill() -> None:
    harness = aged(SHARED)
    first_requests(harness, customers=50, gateway_count=200)
    rejected = [
        action
        for action in harness.send_request(0.0, customer="new", gateway_count=200)
        if isinstance(action, RejectRequest)
    ]
    assert [rejection.reason for rejection in rejected] == ["advance"]
    assert rejected[0].retry_after == pytest.approx(1 / 0.6)


def test_a_quota_at_a_single_gateway_is_never_limited_by_the_overage_budget() -> None:
    harness = GatewayHarness(replace(SHARED, gateway_count=1))
    for _ in range(30):
        [sent] = started_attempts(harness.send_request(10.0, gateway_count=1))  # a sixth of its rate
        harness.end_attempt(sent, Outcome.OK, 0.0)


def test_changes_of_the_settings_grant_no_new_budget() -> None:
    harness = aged(SHARED)
    first_requests(harness, customers=200, gateway_count=200)
    before = harness.gateway.admission.overage_budget.level, harness.gateway.admission.overage_budget.grant_rate
    for _ in range(20):
        harness.handle_after(0.0, SettingsChanged(SHARED))
    assert (
        harness.gateway.admission.overage_budget.level,
        harness.gateway.admission.overage_budget.grant_rate,
    ) == before


def test_the_budget_is_at_most_the_cost_of_one_request_of_the_costliest_plan() -> None:
    budget = OverageBudget(replace(SETTINGS, plans=(COSTLY,), max_request_units=8.0))
    for _ in range(1000):
        assert budget.allow(1.0, 0.0, COSTLY, 100.0)
    assert budget.level == pytest.approx(8 * 1.2)


def test_the_concurrency_budget_is_spent_by_attempts_in_flight_and_refills_at_its_slice() -> None:
    budget = ConcurrencyBudget(0.01, now=0.0, context=NewCustomerContext(mean_attempt_duration=0.1))
    budget.advance(10.0, 0, 0.1)
    assert budget.level == CONCURRENCY_BUDGET_CAPACITY
    assert budget.unearned == pytest.approx(1.0)
    budget.advance(10.1, 1, 0.1)  # one attempt, in flight for the mean duration
    assert budget.level == pytest.approx(1.01)
    budget.advance(20.1, 1, 0.1)  # one attempt that hangs: the budget does not fall below 0
    assert budget.level == 0.0


@pytest.mark.parametrize(("limit", "gateway_count"), [(2, 150), (5, 40), (3, 4)])
def test_a_concurrency_limit_is_kept_over_all_gateways_on_average(limit: int, gateway_count: int) -> None:
    """Guards against one attempt in flight at each gateway, if a customer sends one after each answer."""
    seconds = 400.0
    mean_duration = 0.5
    harness = GatewayHarness(
        replace(SETTINGS, gateway_count=gateway_count, plans=(Plan("basic", concurrency_limit=limit),))
    )
    time_in_flight = 0.0
    while harness.now < seconds:
        for sent in started_attempts(harness.send_request(0.0, gateway_count=gateway_count)):
            harness.end_attempt(sent, Outcome.OK, mean_duration)
            time_in_flight += mean_duration
        harness.now += 0.05
    initial_budgets = CONCURRENCY_BUDGET_CAPACITY * gateway_count * mean_duration / seconds
    assert time_in_flight * gateway_count / seconds <= limit * 1.15 + initial_budgets


def test_a_limit_that_leaves_a_gateway_one_attempt_or_more_needs_no_concurrency_budget() -> None:
    plan = Plan("basic", concurrency_limit=4)
    context = NewCustomerContext()
    assert CustomerQuota("c", plan, 4, 0.0, context).concurrency.budget is None
    assert CustomerQuota("c", plan, 5, 0.0, context).concurrency.budget is not None
    assert CustomerQuota("c", COSTLY, 5, 0.0, context).concurrency.budget is None
