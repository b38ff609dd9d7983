"""The decisions during an upgrade, without sockets: two processes spend from the same buckets."""

from __future__ import annotations

from msgspec.structs import replace

from ingress.decisions.actions import Action, CloseIdleClients, SetReadiness, ShareUsage
from ingress.decisions.draining import READINESS_PROPAGATION_DELAY_S
from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.decisions.endpoint_health import HealthStatus
from ingress.decisions.events import DrainRequested, ProcessGroupChanged, TimerFired
from ingress.decisions.handover_state import QuotaUsage
from ingress.decisions.settings import Plan
from ingress.decisions.timers import TimerToken
from tests.conftest import BASIC_PLAN, FLEET, SETTINGS, GatewayHarness, started_attempts


def shared_usage(actions: list[Action]) -> list[QuotaUsage]:
    return [action.usage for action in actions if isinstance(action, ShareUsage)]


def successor_of(old: GatewayHarness, harness: GatewayHarness | None = None) -> GatewayHarness:
    harness = harness or GatewayHarness(old.gateway.settings)
    harness.now = old.now
    harness.handle_after(0.0, old.gateway.handover_state(old.now))
    return harness


def test_a_successor_grants_no_second_burst() -> None:
    old = GatewayHarness()
    for _ in range(5):  # the slice: burst 8 divided by 2 gateways, plus one request
        [attempt] = started_attempts(old.send_request(units=1.0))
        old.end_attempt(attempt, after=0.0)
    new = successor_of(old)
    assert not started_attempts(new.send_request(0.0))
    assert started_attempts(new.send_request(1.0))  # refills 1 unit per second: rate 2 divided by 2 gateways
    assert started_attempts(successor_of(old).send_request(0.0, customer="another"))


def test_a_successor_inherits_the_levels_of_the_ceilings() -> None:
    plan = replace(BASIC_PLAN, ceiling_rate=1.0, ceiling_burst=8.0)
    old = GatewayHarness(replace(SETTINGS, plans=(plan,)))
    old.now += 1000.0  # long enough for every ceiling to be full
    [attempt] = started_attempts(old.send_request())
    old.end_attempt(attempt, after=0.0)
    new = successor_of(old)
    assert new.gateway.customers["c"].ceiling.level == 3.0
    # its ceiling is full: the customer was dropped or never seen
    assert started_attempts(new.send_request(0.0, customer="unseen"))


def test_each_process_reports_its_usage_and_the_other_applies_it() -> None:
    one = GatewayHarness()
    other = GatewayHarness()
    one.handle_after(0.0, ProcessGroupChanged(1))
    actions = one.send_request()
    [attempt] = started_attempts(actions)
    [usage] = shared_usage(actions)
    assert (usage.customer, usage.units, usage.within_quota, usage.attempts_delta) == ("c", 1.0, True, 1)
    other.handle_after(0.0, ProcessGroupChanged(1))
    other.handle_after(0.0, usage)
    customer = other.gateway.customers["c"]
    assert customer.slice.level == 4.0 and customer.concurrency.in_flight_elsewhere == 1
    [ended] = shared_usage(one.end_attempt(attempt))
    other.handle_after(0.0, ended)
    assert customer.slice.level == 4.0 and customer.concurrency.in_flight_elsewhere == 0


def test_a_single_process_reports_no_usage() -> None:
    assert not shared_usage(GatewayHarness().send_request())


def test_a_concurrency_limit_applies_to_both_processes_together() -> None:
    plan = Plan("basic", rate=100.0, burst=100.0, concurrency_limit=2, over_quota_cost=0.5)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,)))  # one attempt for each gateway
    harness.handle_after(0.0, ProcessGroupChanged(1))
    harness.handle_after(0.0, QuotaUsage("c", "basic", 2, 1.0, True, 1))
    assert not started_attempts(harness.send_request())
    harness.handle_after(0.0, ProcessGroupChanged(0))  # the other process has ended, and its attempts with it
    assert started_attempts(harness.send_request())


def test_a_slow_start_budget_applies_to_both_processes_together() -> None:
    fleet = (Endpoint("cold", started_at=99.0),)
    harness = GatewayHarness(fleet=fleet)
    other = GatewayHarness(fleet=fleet)
    harness.gateway.cluster.endpoints.by_id["cold"].slow_start_budget.level = 1.0
    other.gateway.cluster.endpoints.by_id["cold"].slow_start_budget.level = 1.0
    harness.handle_after(0.0, ProcessGroupChanged(1))
    [usage] = shared_usage(harness.send_request())
    assert usage.endpoint_id == "cold" and usage.slow_start_work > 0
    other.handle_after(0.0, usage)
    assert not started_attempts(other.send_request())


def test_a_successor_inherits_the_health_of_the_endpoints() -> None:
    old = GatewayHarness()
    [attempt] = started_attempts(old.send_request())
    old.end_attempt(attempt, Outcome.CONNECT_FAILED)
    ejected = old.gateway.cluster.endpoints.by_id["b0" if attempt.endpoint_id != "b0" else "b1"]
    for _ in range(6):
        old.gateway.cluster.outliers.record_failure(ejected.health, old.now, Outcome.ERROR)
    assert ejected.health.status is HealthStatus.EJECTED
    new = successor_of(old)
    endpoints = new.gateway.cluster.endpoints.by_id
    assert endpoints[attempt.endpoint_id].avoided(new.now) and endpoints[ejected.info.id].avoided(new.now)
    assert endpoints[ejected.info.id].health.snapshot() == ejected.health.snapshot()
    assert new.gateway.cluster.load_balancer.avoided_count(new.now) == 2
    assert new.gateway.cluster.outliers.ejected_count == 1


def test_a_successor_of_a_process_with_another_format_of_health_starts_without_health_data() -> None:
    old = GatewayHarness()
    state = old.gateway.handover_state(old.now)
    new = GatewayHarness()
    new.handle_after(
        0.0, replace(state, endpoints=tuple(replace(endpoint, health=None) for endpoint in state.endpoints))
    )
    assert new.gateway.cluster.load_balancer.avoided_count(new.now) == 0


def test_a_successor_does_not_apply_health_data_to_an_endpoint_that_has_restarted_since() -> None:
    old = GatewayHarness()
    for server in old.gateway.cluster.endpoints.by_id.values():
        server.health.paused_until = old.now + 9.0
    new = GatewayHarness(fleet=(Endpoint("b0", started_at=99.0), *FLEET[1:]))
    new.handle_after(0.0, old.gateway.handover_state(old.now))
    assert not new.gateway.cluster.endpoints.by_id["b0"].avoided(new.now)
    assert new.gateway.cluster.endpoints.by_id["b1"].avoided(new.now)


def test_with_a_successor_the_load_balancer_need_not_be_notified_before_the_process_exits() -> None:
    harness = GatewayHarness()
    harness.handle_after(0.0, ProcessGroupChanged(1, has_successor=True))
    assert harness.handle_after(0.0, DrainRequested(process_exits=True)) == [CloseIdleClients(True)]


def test_a_drain_by_an_operator_is_inherited_and_one_before_an_exit_is_not() -> None:
    old = GatewayHarness()
    old.handle_after(0.0, DrainRequested())
    new = successor_of(old)
    assert SetReadiness(False) in new.actions
    assert new.handle_after(READINESS_PROPAGATION_DELAY_S, TimerFired(TimerToken.DRAINED)) == [CloseIdleClients(True)]
    exiting = GatewayHarness()
    exiting.handle_after(0.0, DrainRequested(process_exits=True))
    assert SetReadiness(False) not in successor_of(exiting).actions
