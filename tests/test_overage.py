"""What a gateway grants from units that no refill has paid for: bounded by plan, by customer and in all."""

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

from .conftest import SETTINGS, Play, sends

COSTLY = Plan("basic", rate=0.6, burst=2.0, over_quota_cost=1.2)
SHARED = replace(SETTINGS, gateway_count=200, plans=(COSTLY,))


def aged(settings: Settings) -> Play:
    """A gateway that has lived longer than a customer that asks too much takes to empty its burst."""
    play = Play(settings)
    play.now += 3 * COSTLY.burst / COSTLY.rate
    return play


def first_requests(play: Play, customers: int, spread: int, plan: str = "basic") -> int:
    """How many of so many customers, each seen for the first time, have their request sent on."""
    passed = 0
    for number in range(customers):
        for sent in sends(play.ask(0.0, customer=f"customer-{number}", gateway_count=spread, plan=plan)):
            passed += 1
            play.end(sent, Outcome.OK, 0.0)
    return passed


def test_a_slice_counts_as_earned_what_refill_has_paid_for() -> None:
    bucket = SlicedBucket(rate=0.1, capacity=3.0, level=3.0, now=0.0, unearned=2.5)
    assert bucket.unearned_part(0.5) == 0.0
    assert bucket.unearned_part(2.0) == pytest.approx(1.5)
    bucket.refill(10.0)  # it is full, so what it earns pays for room
    assert bucket.unearned == pytest.approx(1.5)
    assert bucket.unearned_part(2.0) == pytest.approx(0.5)


def test_a_slice_that_refills_after_overage_does_not_count_it_twice() -> None:
    customer = CustomerQuota("c", COSTLY, 200, 0.0, NewCustomerContext())
    assert customer.unearned_ratio(1.0) == pytest.approx(0.99)  # burst 2 over 200 gateways is earned
    customer.take(1.0)
    assert customer.slice.unearned == pytest.approx(0.01)  # a second advance: what is left of the room
    assert not customer.slice_fits(1.0, 1.0)
    assert customer.slice_fits(400.0, 1.0)
    assert customer.unearned_ratio(1.0) == pytest.approx(0.0, abs=0.011)


@pytest.mark.parametrize("age", [0.0, 100.0, 1000.0])
def test_headroom_is_earned_with_the_age_of_the_gateway(age: float) -> None:
    customer = CustomerQuota("c", COSTLY, 200, 0.0, NewCustomerContext(gateway_age=age))
    assert customer.unearned_ratio(1.0) == pytest.approx(max(0.0, 1.0 - 0.01 - 0.003 * age))


def test_customers_that_each_gateway_sees_for_the_first_time_are_granted_bounded_overage() -> None:
    """Without the bound all 200 are sent on, by each of 200 gateways."""
    # where what is earned equals what is spent
    given = sqrt(MAX_OVERAGE_COST_RATIO / (COSTLY.over_quota_cost * OVER_QUOTA_RATIO))
    passed = first_requests(aged(SHARED), customers=400, spread=200)
    assert passed == pytest.approx(400 * given, rel=0.1)


def test_while_customers_still_have_their_bursts_overage_costs_nothing() -> None:
    assert first_requests(Play(SHARED), customers=100, spread=200) == 100


def test_plans_that_lose_nothing_beyond_the_quota_are_not_bounded() -> None:
    free = replace(COSTLY, over_quota_cost=0.0)
    assert first_requests(Play(replace(SHARED, plans=(free,))), customers=100, spread=200) == 100


def test_a_plan_that_costs_less_goes_on_where_one_that_costs_more_is_rejected() -> None:
    cheap = replace(COSTLY, name="cheap", over_quota_cost=0.3)
    play = aged(replace(SHARED, plans=(COSTLY, cheap)))
    passed = {"basic": 0, "cheap": 0}
    for number in range(400):
        plan = ("basic", "cheap")[number % 2]
        for sent in sends(play.ask(0.0, customer=f"customer-{number}", gateway_count=200, plan=plan)):
            passed[plan] += 1
            play.end(sent, Outcome.OK, 0.0)
    assert passed["cheap"] == 200
    assert 40 < passed["basic"] < 160


def test_rejected_overage_is_answered_at_once_with_the_time_of_its_refill() -> None:
    play = aged(SHARED)
    first_requests(play, customers=50, spread=200)
    rejected = [
        action for action in play.ask(0.0, customer="new", gateway_count=200) if isinstance(action, RejectRequest)
    ]
    assert [one.reason for one in rejected] == ["advance"]
    assert rejected[0].retry_after == pytest.approx(1 / 0.6)


def test_the_same_quota_at_one_gateway_is_never_bounded_by_the_overage_budget() -> None:
    play = Play(replace(SHARED, gateway_count=1))
    for _ in range(30):
        [sent] = sends(play.ask(10.0, gateway_count=1))  # a sixth of what it may ask
        play.end(sent, Outcome.OK, 0.0)


def test_changes_of_the_settings_hand_out_no_fresh_budget() -> None:
    play = aged(SHARED)
    first_requests(play, customers=200, spread=200)
    before = play.gateway.admission.overage_budget.level, play.gateway.admission.overage_budget.grant_rate
    for _ in range(20):
        play.at(0.0, SettingsChanged(SHARED))
    assert (play.gateway.admission.overage_budget.level, play.gateway.admission.overage_budget.grant_rate) == before


def test_the_budget_holds_at_most_one_request_of_the_plan_that_costs_most() -> None:
    budget = OverageBudget(replace(SETTINGS, plans=(COSTLY,), max_request_units=8.0))
    for _ in range(1000):
        assert budget.allow(1.0, 0.0, COSTLY, 100.0)
    assert budget.level == pytest.approx(8 * 1.2)


def test_the_concurrency_budget_is_spent_while_attempts_are_in_flight_and_fills_by_its_slice() -> None:
    time = ConcurrencyBudget(0.01, now=0.0, context=NewCustomerContext(mean_attempt_duration=0.1))
    time.advance(10.0, 0, 0.1)
    assert time.level == CONCURRENCY_BUDGET_CAPACITY
    assert time.unearned == pytest.approx(1.0)
    time.advance(10.1, 1, 0.1)  # one attempt, out for the mean
    assert time.level == pytest.approx(1.01)
    time.advance(20.1, 1, 0.1)  # one that hangs: no more is lost than there was
    assert time.level == 0.0


@pytest.mark.parametrize(("cap", "spread"), [(2, 150), (5, 40), (3, 4)])
def test_a_concurrency_limit_holds_over_all_gateways_on_the_mean(cap: int, spread: int) -> None:
    """A customer that asks each gateway as soon as its last answer is there has `spread` attempts out without it."""
    seconds, mean = 400.0, 0.5
    play = Play(replace(SETTINGS, gateway_count=spread, plans=(Plan("basic", concurrency_limit=cap),)))
    out = 0.0
    while play.now < seconds:
        for sent in sends(play.ask(0.0, gateway_count=spread)):
            play.end(sent, Outcome.OK, mean)
            out += mean
        play.now += 0.05
    assert out * spread / seconds <= cap * 1.15 + CONCURRENCY_BUDGET_CAPACITY * spread * mean / seconds


def test_a_limit_that_leaves_a_gateway_one_attempt_or_more_needs_no_concurrency_budget() -> None:
    assert (
        CustomerQuota("c", Plan("basic", concurrency_limit=4), 4, 0.0, NewCustomerContext()).concurrency.budget is None
    )
    assert (
        CustomerQuota("c", Plan("basic", concurrency_limit=4), 5, 0.0, NewCustomerContext()).concurrency.budget
        is not None
    )
    assert CustomerQuota("c", COSTLY, 5, 0.0, NewCustomerContext()).concurrency.budget is None
