"""Settings changes in a gateway: spent units stay spent, and open requests keep the settings they started with."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from ingress.decisions.actions import FailRequest, StartHealthCheck, WatchEndpoints
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import RequestReceived, SettingsChanged, TimerFired
from ingress.decisions.gateway import Gateway
from ingress.decisions.quota import CUSTOMER_IDLE_TIMEOUT_S
from ingress.decisions.settings import Plan, RequestClass, Settings
from ingress.decisions.subsetting import SUBSET_SIZE
from ingress.decisions.timers import TimerToken

from .conftest import BASIC_PLAN, IDEMPOTENT_CLASS, SETTINGS, GatewayHarness, final_errors, started_attempts

FIXED = replace(SETTINGS, gateway_count=1, slow_start_duration=0.0)


def change(play: GatewayHarness, *plans: Plan, **more: Any) -> None:
    play.handle_after(0.0, SettingsChanged(replace(play.gateway.settings, plans=plans, **more)))


def spend(play: GatewayHarness, limit: int = 1000) -> int:
    """Send requests until one is rejected, and return how many were forwarded."""
    count = 0
    while count < limit:
        sent = started_attempts(play.send_request(gateway_count=1))
        if not sent:
            break
        count += 1
        play.end_attempt(sent[0], after=0.0)
    return count


def play_of(*plans: Plan) -> GatewayHarness:
    return GatewayHarness(replace(FIXED, plans=plans))


def test_alternating_plan_changes_grant_no_additional_burst() -> None:
    small, large = Plan("basic", rate=0.001, burst=10.0), Plan("basic", rate=0.001, burst=20.0)
    play = play_of(small)
    assert spend(play) == 10
    change(play, large)
    assert spend(play) == 10  # 20 in total, the larger burst of the two plans.
    for plan in (small, large) * 5:
        change(play, plan)
        assert spend(play) == 0


def test_a_lower_burst_applies_at_once_and_bounds_the_refill() -> None:
    play = play_of(Plan("basic", rate=1.0, burst=20.0))
    assert spend(play, 5) == 5
    change(play, Plan("basic", rate=1.0, burst=8.0))
    assert spend(play) == 3  # 8 units less the 5 that are already spent.
    play.now += 100.0
    assert spend(play) == 8


def test_a_much_lower_burst_locks_no_customer_out_and_forgets_no_spent_units() -> None:
    large, small = Plan("basic", rate=1.0, burst=1000.0), Plan("basic", rate=1.0, burst=5.0)
    play = play_of(large)
    assert spend(play) == 1000
    change(play, small)
    assert spend(play) == 0
    play.now += 3.0
    assert spend(play) == 3  # The new rate applies at once.
    change(play, large)
    assert spend(play) == 0
    play.now += 3.0
    assert spend(play) == 3


def test_each_rate_counts_for_the_time_it_was_in_force() -> None:
    play = play_of(Plan("basic", rate=1.0, burst=50.0))
    assert spend(play) == 50
    play.now += 10.0
    change(play, Plan("basic", rate=3.0, burst=50.0))
    play.now += 10.0
    assert spend(play) == 40


def test_a_ceiling_is_not_raised_by_changes_and_starts_empty_when_added() -> None:
    plan = Plan("basic", rate=1000.0, burst=1000.0, ceiling_rate=1.0, ceiling_burst=10.0)
    play = play_of(plan)
    play.now += 100.0
    assert spend(play) == 10
    for _ in range(3):
        change(play, replace(plan, ceiling_burst=5.0))
        assert spend(play) == 0
        change(play, plan)
        assert spend(play) == 0
    change(play, replace(plan, ceiling_rate=0.0, ceiling_burst=0.0))
    assert spend(play, 50) == 50  # The plan has no ceiling now.
    change(play, plan)
    assert spend(play) == 0
    play.now += 4.0
    assert spend(play) == 4


def test_a_new_customer_gets_no_more_than_its_ceiling_has_accrued() -> None:
    plan = Plan("basic", rate=1000.0, burst=1000.0, ceiling_rate=1.0, ceiling_burst=100.0)
    play = play_of(plan)
    play.now += 10.0
    change(play, replace(plan, ceiling_rate=20.0))  # The earlier 10 s count at the old rate of 1/s.
    play.now += 1.0
    assert spend(play) == 30


def test_a_plan_that_is_removed_and_restored_keeps_its_spent_units() -> None:
    plan, other = Plan("basic", rate=0.1, burst=10.0), Plan("other", rate=1.0, burst=1.0)
    play = play_of(plan, other)
    assert spend(play) == 10
    change(play, other)
    assert final_errors(play.send_request(gateway_count=1)) == [FailRequest(f"r{play.request_count}", "unknown")]
    change(play, plan, other)
    assert spend(play) == 0


def test_the_state_of_a_removed_plan_is_dropped_once_it_has_refilled() -> None:
    play = play_of(Plan("basic", rate=1.0, burst=10.0), Plan("other", rate=1.0, burst=1.0))
    for n in range(20):
        [send] = started_attempts(play.send_request(customer=f"c{n}"))
        play.end_attempt(send)
    change(play, Plan("other", rate=1.0, burst=1.0))
    play.handle_after(CUSTOMER_IDLE_TIMEOUT_S + 30.0, TimerFired(TimerToken.CLEANUP))
    assert not play.gateway.customers


def test_open_requests_keep_the_class_plan_and_deadline_they_started_with() -> None:
    play = play_of(BASIC_PLAN)
    [first] = started_attempts(play.send_request(gateway_count=1))
    request = play.gateway.requests[first.request_id]
    change(
        play, Plan("other", rate=1.0, burst=1.0), classes=(RequestClass("other", latency_objective=0.1, deadline=0.2),)
    )
    assert (request.request_class, request.plan, request.deadline) == (IDEMPOTENT_CLASS, BASIC_PLAN, 104.0)
    play.gateway.forwarder.retry_budget.level = 5.0
    # This is later than the new deadline allows.
    [again] = started_attempts(play.end_attempt(first, Outcome.CONNECT_FAILED, after=0.5))
    assert again.request_id == first.request_id
    assert play.end_attempt(again, attempt=1) == [] and not play.gateway.requests
    assert play.gateway.customers["c"].concurrency.in_flight == 0
    assert final_errors(play.handle_after(0.0, RequestReceived("late", "read", "basic", "c", 1.0))) == [
        FailRequest("late", "unknown")
    ]


def test_a_changed_concurrency_limit_applies_to_new_requests() -> None:
    play = play_of(Plan("basic", rate=1000.0, burst=1000.0, concurrency_limit=3))
    assert len([s for _ in range(5) for s in started_attempts(play.send_request(gateway_count=1))]) == 3
    change(play, Plan("basic", rate=1000.0, burst=1000.0, concurrency_limit=2))
    assert (
        not started_attempts(play.send_request(gateway_count=1))
        and play.gateway.customers["c"].concurrency.in_flight == 3
    )


def test_settings_of_the_fleet_are_applied_too() -> None:
    play = GatewayHarness(FIXED)
    outliers = play.gateway.cluster.outliers
    assert outliers.health_checks.interval == pytest.approx(0.25)
    actions = play.handle_after(
        0.0,
        SettingsChanged(
            replace(
                FIXED,
                classes=(replace(IDEMPOTENT_CLASS, latency_objective=3.0),),
                gateway_count=100,
                gateway_index=7,
                health_check_cost=0.01,
                polls_discovery=True,
            )
        ),
    )
    assert actions == [WatchEndpoints()]
    assert outliers.health_checks.interval == pytest.approx(50.0) and outliers.longest_objective == 3.0
    assert play.gateway.cluster.latencies.longest_objective == 3.0
    assert len(play.gateway.cluster.endpoints.preferred) <= SUBSET_SIZE
    assert not any(isinstance(a, StartHealthCheck) for a in actions)


def test_applying_the_same_settings_again_changes_nothing() -> None:
    play = GatewayHarness(FIXED)
    spend(play, 3)
    before = play.gateway.handover_state(play.now)
    assert play.handle_after(0.0, SettingsChanged(FIXED)) == []
    assert play.gateway.handover_state(play.now) == before


def test_a_successor_inherits_the_ceilings_of_unseen_customers() -> None:
    plan = Plan("basic", rate=1000.0, burst=1000.0, ceiling_rate=1.0, ceiling_burst=100.0)
    predecessor = play_of(plan)
    predecessor.now += 10.0
    change(predecessor, replace(plan, ceiling_rate=20.0))
    successor = play_of(replace(plan, ceiling_rate=20.0))
    successor.now = predecessor.now
    successor.handle_after(0.0, predecessor.gateway.handover_state(predecessor.now))
    assert spend(successor) == 10  # Not 200: the successor rate did not apply to the earlier 10 s.


BURSTS, RATES = (1.0, 3.0, 10.0, 40.0), (0.1, 1.0, 5.0)
QUOTAS = st.builds(
    lambda rate, burst: Plan("basic", rate=rate, burst=burst, ceiling_rate=1e6, ceiling_burst=1e6),
    st.sampled_from(RATES),
    st.sampled_from(BURSTS),
)
CEILINGS = st.builds(
    lambda rate, burst: Plan("basic", rate=1e6, burst=1e6, ceiling_rate=rate, ceiling_burst=burst),
    st.sampled_from(RATES),
    st.sampled_from(BURSTS),
)
PLANS = st.one_of(QUOTAS, CEILINGS)


def steps_of(plans: st.SearchStrategy[Plan]) -> st.SearchStrategy[tuple[Plan, list[tuple[str, object]]]]:
    """Generate a first plan and a list of steps."""
    return st.tuples(
        plans,
        st.lists(
            st.one_of(
                st.tuples(st.just("ask"), st.integers(1, 50)),
                st.tuples(st.just("wait"), st.sampled_from((0.1, 1.0, 7.0, 70.0))),
                st.tuples(st.just("change"), st.one_of(st.none(), plans)),
                st.tuples(st.just("back"), st.integers(1, 3)),
            ),
            min_size=1,
            max_size=30,
        ),
    )


@settings(max_examples=400, deadline=None, derandomize=True)
@given(script=st.one_of(steps_of(QUOTAS), steps_of(CEILINGS)))
def test_no_series_of_changes_lets_more_through_than_the_most_generous_one(
    script: tuple[Plan, list[tuple[str, object]]],
) -> None:
    """Of the quota and of the ceiling: the largest burst in force so far, and each rate for its time."""
    first, steps = script
    gone = Plan("other", rate=1.0, burst=1.0)
    play = play_of(first, gone)
    kept, current, sent = [first], first, 0
    quota, ceiling, burst, most = 0.0, 0.0, first.burst, first.ceiling_burst
    for step, value in steps:
        if step == "wait":
            assert isinstance(value, float)
            play.now += value
            quota, ceiling = quota + current.rate * value, ceiling + current.ceiling_rate * value
            play.handle_after(0.0, TimerFired(TimerToken.CLEANUP))
        elif step == "ask":
            assert isinstance(value, int)
            sent += spend(play, value)
        elif value is None:
            change(play, gone)  # for a moment the plan is not there
            assert spend(play) == 0
            change(play, current, gone)
        else:
            current = value if isinstance(value, Plan) else kept[-min(int(str(value)), len(kept))]
            kept.append(current)
            change(play, current, gone)
            burst, most = max(burst, current.burst), max(most, current.ceiling_burst)
        assert sent <= burst + quota + 1.0 + 1e-6
        assert sent <= most + ceiling + 1e-6


@settings(max_examples=100, deadline=None, derandomize=True)
@given(plans=st.lists(PLANS, min_size=1, max_size=6), gaps=st.lists(st.floats(0.0, 30.0), min_size=6, max_size=6))
def test_a_change_never_takes_away_what_has_refilled(plans: list[Plan], gaps: list[float]) -> None:
    """After long enough a store is as full as its plan says, whatever came before."""
    play = play_of(plans[0])
    for plan, gap in zip(plans, gaps, strict=False):
        change(play, plan)
        spend(play, 3)
        play.now += gap
    play.now += 1e4
    last = plans[-1]
    assert spend(play) == min(last.burst, last.ceiling_burst)


def test_settings_are_not_shared_between_gateways() -> None:
    one, two = Gateway(FIXED, 1), Gateway(FIXED, 1)
    one.handle(1.0, SettingsChanged(replace(FIXED, gateway_count=9)))
    assert two.settings == FIXED and isinstance(two.settings, Settings)
