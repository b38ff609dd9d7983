"""Tests of outlier detection: ejection, its limits, and readmission.  They use events and a fake clock only."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from ingress.decisions.actions import CloseIdleConnections, LogMessage, StartAttempt, StartHealthCheck
from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.endpoint_health import EndpointHealth, HealthStatus
from ingress.decisions.events import EndpointListKind, EndpointsChanged, HealthCheckEnded, TimerFired
from ingress.decisions.hedging import HEDGE_DELAY_RATIO
from ingress.decisions.log_limiter import LOG_BURST
from ingress.decisions.outlier_detection import (
    EJECTION_JITTER,
    EJECTION_LOG_ODDS,
    MAX_RELAPSES,
    MAX_REMOVED,
    PAUSE_RATIO,
    PROBATION_SUCCESSES,
    RELAPSE_WINDOW_RATIO,
    REMOVED_RETENTION_S,
    OutlierDetector,
)
from ingress.decisions.settings import Idempotency, Settings
from ingress.decisions.timers import TimerToken

from .conftest import (
    BASIC_PLAN,
    FLEET,
    IDEMPOTENT_CLASS,
    NOT_IDEMPOTENT_CLASS,
    SETTINGS,
    GatewayHarness,
    started_attempts,
)
from .fleet_scenario import FleetScenario, silent

UNLIMITED = replace(SETTINGS, plans=(replace(BASIC_PLAN, rate=1e6, burst=1e6),))
ERROR, TIMEOUT, REFUSED = Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED
FAILURE_OUTCOMES = [ERROR, Outcome.MALFORMED, Outcome.RESET, TIMEOUT, REFUSED, Outcome.CANCELLED]


class DetectorHarness:
    """A detector with a clock, and some endpoints that have responded.

    Attributes:
        now: The time of the fake clock in seconds.
        longest_objective: The longest latency objective in seconds.
        outliers: The detector.
        endpoints: The health of the endpoints.
    """

    def __init__(self, count: int, settings: Settings = SETTINGS, initial_successes: int = 5) -> None:
        self.now = 100.0
        self.longest_objective = 1.0
        self.outliers = OutlierDetector(settings, self.longest_objective, random.Random(1))
        self.endpoints = [self.outliers.track(f"s{n}", 0.0, self.now) for n in range(count)]
        for _ in range(initial_successes):
            self.succeed()

    def succeed(self, *except_for: EndpointHealth, after: float = 0.05) -> None:
        """Record one success of each endpoint except these."""
        self.now += after
        for health in self.endpoints:
            if health not in except_for:
                self.outliers.record_success(health, self.now, late=False)

    def fail(self, health: EndpointHealth, outcome: Outcome = ERROR, count: int = 1, silent: bool = False) -> None:
        for _ in range(count):
            self.outliers.record_failure(health, self.now, outcome, silent)

    def eject(self, health: EndpointHealth) -> None:
        while health.status is not HealthStatus.EJECTED:
            self.fail(health)

    def start_probation(self, health: EndpointHealth) -> None:
        self.now = max(self.now, health.ejected_until)
        health.next_health_check_at = self.now + 1e9  # the probation begins without a health check
        self.outliers.consider_probation(health, self.now)
        assert health.status is HealthStatus.PROBATION

    def states(self) -> list[HealthStatus]:
        return [health.status for health in self.endpoints]

    def ejected(self) -> int:
        return self.states().count(HealthStatus.EJECTED)


# Evidence that ejects an endpoint


@pytest.mark.parametrize("outcome", FAILURE_OUTCOMES)
def test_an_endpoint_that_fails_alone_is_ejected_after_two_or_three_failures(outcome: Outcome) -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    failure_count = 0
    while health.status is not HealthStatus.EJECTED:
        harness.fail(health, outcome, silent=True)
        failure_count += 1
        assert failure_count <= 3
    assert harness.ejected() == 1 and failure_count >= 2


def test_one_failure_does_not_eject() -> None:
    for outcome in FAILURE_OUTCOMES:
        harness = DetectorHarness(12, initial_successes=1)
        harness.fail(harness.endpoints[0], outcome)
        assert harness.endpoints[0].status is not HealthStatus.EJECTED


def test_one_failure_in_five_is_distinguished_from_one_in_a_hundred() -> None:
    harness = DetectorHarness(12)
    unhealthy, healthy = harness.endpoints[0], harness.endpoints[1]
    rng = random.Random(3)
    ejection_count = 0
    for _ in range(300):
        harness.succeed(unhealthy, healthy)
        for health, rate in ((unhealthy, 0.2), (healthy, 0.01)):
            if health.status is HealthStatus.EJECTED:
                ejection_count += health is unhealthy
                assert health is unhealthy
                harness.start_probation(health)
            if rng.random() < rate:
                harness.fail(health)
            else:
                harness.outliers.record_success(health, harness.now, late=False)
    assert ejection_count >= 10


def test_a_success_between_failures_does_not_clear_the_evidence() -> None:
    harness = DetectorHarness(12, initial_successes=2)
    health = harness.endpoints[0]
    for _ in range(4):
        harness.fail(health, count=1)
        if health.status is HealthStatus.EJECTED:
            break
        harness.outliers.record_success(health, harness.now, late=False)
        harness.fail(health, count=1)
    assert health.status is HealthStatus.EJECTED


def test_late_responses_eject_eventually_and_failures_do_not_count_as_fast_responses() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    for _ in range(20):
        harness.succeed(health)
        harness.outliers.record_success(health, harness.now, late=True)
    assert health.status is HealthStatus.EJECTED
    gateway_harness = GatewayHarness(UNLIMITED)
    [attempt] = started_attempts(gateway_harness.send_request())
    endpoint = gateway_harness.gateway.cluster.endpoints.by_id[attempt.endpoint_id]
    before = (endpoint.relative_latency, endpoint.latency_ratio, endpoint.concurrency_limit)
    gateway_harness.end_attempt(attempt, ERROR, after=0.001, request_finished=True)
    assert (endpoint.relative_latency, endpoint.latency_ratio, endpoint.concurrency_limit) == before


def test_an_endpoint_with_instant_errors_attracts_no_traffic_though_it_looks_idle() -> None:
    harness = GatewayHarness(UNLIMITED, (Endpoint(f"b{n}") for n in range(12)))
    sent = {True: 0, False: 0}
    for count in range(600):
        for attempt in started_attempts(harness.send_request(0.02)):
            bad = attempt.endpoint_id == "b0"
            sent[bad] += count > 100
            harness.end_attempt(attempt, ERROR if bad else Outcome.OK, after=0.001 if bad else 0.05)
    assert sent[True] < 0.02 * sent[False]


@pytest.mark.parametrize("initial_successes", [0, 8])
def test_one_late_response_in_ten_does_not_eject_and_an_early_one_decays(initial_successes: int) -> None:
    harness = DetectorHarness(12, initial_successes=initial_successes)
    health = harness.endpoints[0]
    for count in range(100):
        harness.succeed(health)
        harness.outliers.record_success(health, harness.now, late=count % 10 == 0)
        assert health.status is not HealthStatus.EJECTED
    first = harness.endpoints[1]
    harness.outliers.record_success(first, harness.now, late=True)
    assert first.status is not HealthStatus.EJECTED
    for _ in range(40):
        harness.succeed()
    assert first.failure_weight < 0.1


def test_evidence_decays_with_time() -> None:
    harness = DetectorHarness(12, initial_successes=1)
    health = harness.endpoints[0]
    harness.fail(health)
    harness.now += 200.0
    for _ in range(2):
        harness.succeed(health)
    harness.fail(health)
    assert health.status is not HealthStatus.EJECTED and health.failure_weight < 1.1


def test_rejections_count_from_the_second_consecutive_one() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    for outcome in (Outcome.REJECTED, Outcome.OK, Outcome.REJECTED):
        if outcome is Outcome.OK:
            harness.outliers.record_success(health, harness.now, late=False)
        else:
            harness.fail(health, outcome)
    assert health.failure_weight == 0.0 and not health.avoided(harness.now, 0)
    harness.fail(health, Outcome.REJECTED)
    assert health.avoided(harness.now, 0) and not health.avoided(
        harness.now + PAUSE_RATIO * harness.longest_objective, 0
    )
    harness.fail(health, Outcome.REJECTED, count=6)
    assert health.status is HealthStatus.EJECTED and health.reason.startswith("turned away")


def test_a_silent_endpoint_is_ejected_though_successful_hedges_cancel_its_attempts() -> None:
    scenario = FleetScenario(10, silent, seed=1, end=20.0, length=20.0, rate=10.0)
    report = scenario.run()
    # There are two silent endpoints at each of ten gateways.
    assert len(report.ejection_delays) == len(scenario.first_attempt_at) == 20
    assert report.wrong_ejections == 0
    reasons = {reason for g in scenario.gateways for reason in g.cluster.outliers.ejections_by_reason}
    assert reasons <= {"overtaken", "timed out"}


def test_timeouts_of_clients_that_hardly_wait_are_no_evidence() -> None:
    harness = GatewayHarness(UNLIMITED)
    for _ in range(30):
        for attempt in started_attempts(harness.send_request(time_left=0.1)):
            harness.end_attempt(attempt, TIMEOUT, after=0.1, request_finished=True)
    assert all(s.health.failure_weight == 0.0 for s in harness.gateway.cluster.endpoints.by_id.values())


# Failures that eject no endpoint


@pytest.mark.parametrize("outcome", [ERROR, TIMEOUT, Outcome.RESET, REFUSED, Outcome.MALFORMED])
@pytest.mark.parametrize("count", [2, 3, 12, 200])
def test_no_endpoint_is_ejected_during_or_after_a_failure_of_all(count: int, outcome: Outcome) -> None:
    harness, rng = DetectorHarness(count), random.Random(2)
    for _ in range(30):
        harness.now += 0.1
        for health in rng.sample(harness.endpoints, count):
            harness.fail(health, outcome, silent=True)
            assert harness.ejected() == 0
    for _ in range(20):  # the failure is over: some endpoints respond before others
        for health in harness.endpoints[: max(1, count // 2)]:
            harness.outliers.record_success(health, harness.now, late=False)
        harness.now += 0.1
        for health in harness.endpoints:
            harness.outliers.record_success(health, harness.now, late=False)
    assert harness.ejected() == 0


def test_no_endpoint_is_ejected_while_all_are_slow() -> None:
    harness = DetectorHarness(12)
    for _ in range(40):
        harness.now += 0.1
        for health in harness.endpoints:
            harness.outliers.record_success(health, harness.now, late=True)
    assert harness.ejected() == 0


def test_an_unhealthy_half_is_avoided_and_the_other_half_is_not_overloaded() -> None:
    fleet = [Endpoint(f"b{n}") for n in range(12)]
    harness = GatewayHarness(UNLIMITED, fleet)
    unhealthy_ids = {f"b{n}" for n in range(6)}
    sent = dict.fromkeys((b.id for b in fleet), 0)
    for count in range(900):
        for attempt in started_attempts(harness.send_request(0.02)):
            sent[attempt.endpoint_id] += count > 300
            if attempt.endpoint_id in unhealthy_ids:
                harness.end_attempt(attempt, ERROR, after=0.001)
            else:
                harness.end_attempt(attempt, after=0.03)
        max_utilization = max(
            len(s.in_flight) / s.concurrency_limit for s in harness.gateway.cluster.endpoints.by_id.values()
        )
        assert max_utilization <= 1.0
    assert sum(sent[b] for b in unhealthy_ids) < 0.05 * sum(sent.values())
    assert not any(
        harness.gateway.cluster.endpoints.by_id[b.id].health.status is HealthStatus.EJECTED
        for b in fleet
        if b.id not in unhealthy_ids
    )


def test_no_more_than_half_are_ejected() -> None:
    harness = DetectorHarness(8)
    for health in harness.endpoints:  # one after the other, each while the others look healthy
        for _ in range(8):
            harness.fail(health)
            harness.succeed(*(o for o in harness.endpoints if o.status is HealthStatus.EJECTED or o is health))
    assert harness.ejected() == 4


def test_a_single_endpoint_is_never_ejected_and_the_unhealthy_one_of_two_is() -> None:
    harness = DetectorHarness(1)
    harness.fail(harness.endpoints[0], count=30)
    assert harness.states() == [HealthStatus.HEALTHY]
    harness = DetectorHarness(2)
    harness.fail(harness.endpoints[0], count=5)
    assert harness.states() == [HealthStatus.EJECTED, HealthStatus.HEALTHY]
    gateway_harness = GatewayHarness(UNLIMITED, FLEET[:1])
    for _ in range(10):
        for attempt in started_attempts(gateway_harness.send_request(1.0)):
            gateway_harness.end_attempt(attempt, ERROR, after=0.001, request_finished=True)
    assert started_attempts(gateway_harness.send_request(1.0))  # there is no other endpoint


def test_two_endpoints_that_both_fail_still_get_requests() -> None:
    harness = GatewayHarness(UNLIMITED, FLEET[:2])
    for _ in range(40):
        for attempt in started_attempts(harness.send_request(0.5)):
            harness.end_attempt(attempt, ERROR, after=0.01, request_finished=True)
    assert len({attempt.endpoint_id for _ in range(10) for attempt in started_attempts(harness.send_request(0.5))}) == 2


def test_local_failures_are_no_evidence() -> None:
    harness = GatewayHarness(UNLIMITED)
    for _ in range(10):
        for attempt in started_attempts(harness.send_request(0.1)):
            harness.end_attempt(attempt, REFUSED, after=0.0, local_failure=True, request_finished=True)
    assert all(
        s.health.failure_weight == 0.0 and not s.avoided(harness.now)
        for s in harness.gateway.cluster.endpoints.by_id.values()
    )


def test_a_starved_process_ignores_missing_responses() -> None:
    harness = GatewayHarness(replace(UNLIMITED, hedging_allowed=True))
    [attempt] = started_attempts(harness.send_request())
    # half a second late
    harness.handle_after(HEDGE_DELAY_RATIO * IDEMPOTENT_CLASS.latency_objective + 0.5, TimerFired(TimerToken.HEDGE))
    harness.end_attempt(attempt, TIMEOUT, after=0.2, request_finished=True)
    health = harness.gateway.cluster.endpoints.by_id[attempt.endpoint_id].health
    assert health.failure_weight == 0.0
    assert any("starved" in a.text for a in harness.actions if isinstance(a, LogMessage))
    # an error counts although the process is starved
    harness.gateway.cluster.outliers.record_failure(health, harness.now, ERROR)
    assert health.failure_weight == 1.0
    harness.gateway.cluster.outliers.record_failure(health, harness.now + 5.0, TIMEOUT)
    assert health.failure_weight > 1.5


def test_a_timeout_that_is_reported_late_indicates_starvation() -> None:
    harness = GatewayHarness(UNLIMITED)
    [attempt] = started_attempts(harness.send_request())
    harness.end_attempt(attempt, TIMEOUT, after=4.5, request_finished=True)  # the deadline was after 4 s
    assert harness.gateway.cluster.endpoints.by_id[attempt.endpoint_id].health.failure_weight == 0.0


# Readmission


def test_a_probation_admits_more_after_each_success_and_ends_after_three() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    harness.eject(health)
    harness.start_probation(health)
    for successes in range(PROBATION_SUCCESSES):
        assert [health.avoided(harness.now, n) for n in (0, successes, successes + 1)] == [False, False, True]
        assert health.status is HealthStatus.PROBATION
        harness.outliers.record_success(health, harness.now, late=False)
    assert harness.states()[0] is HealthStatus.HEALTHY and not health.avoided(harness.now, 9)


def test_an_endpoint_on_probation_starts_with_one_request_and_a_small_limit() -> None:
    harness = GatewayHarness(UNLIMITED, FLEET[:2])
    outliers, endpoint = harness.gateway.cluster.outliers, harness.gateway.cluster.endpoints.by_id["b0"]
    endpoint.concurrency_limit = 50.0
    for _ in range(6):
        outliers.record_failure(endpoint.health, harness.now, ERROR)
    harness.now = endpoint.health.ejected_until + 0.1
    endpoint.health.next_health_check_at = float("inf")
    unanswered: list[StartAttempt] = []
    for _ in range(40):
        for attempt in started_attempts(harness.send_request(0.01)):
            if attempt.endpoint_id == "b0":
                unanswered.append(attempt)
            else:
                harness.end_attempt(attempt, after=0.0)
    assert (
        len(unanswered) == 1
        and endpoint.health.status is HealthStatus.PROBATION
        and endpoint.concurrency_limit == PROBATION_SUCCESSES
    )


def test_a_probation_gets_no_request_that_is_not_idempotent() -> None:
    harness = GatewayHarness(UNLIMITED, FLEET[:2])
    outliers, endpoint = harness.gateway.cluster.outliers, harness.gateway.cluster.endpoints.by_id["b0"]
    for _ in range(5):
        outliers.record_failure(endpoint.health, harness.now, ERROR)
    harness.now = endpoint.health.ejected_until + 0.1
    endpoint.health.next_health_check_at = float("inf")
    assert NOT_IDEMPOTENT_CLASS.idempotency is Idempotency.NOT_IDEMPOTENT
    for _ in range(20):
        for attempt in started_attempts(harness.send_request(0.01, request_class="pay")):
            assert attempt.endpoint_id == "b1"
            harness.end_attempt(attempt)
    chosen = set()
    for _ in range(40):
        for attempt in started_attempts(harness.send_request(0.01)):
            chosen.add(attempt.endpoint_id)
            harness.end_attempt(attempt)
    assert chosen == {"b0", "b1"}


def test_one_failure_on_probation_ejects_again_for_longer_up_to_a_limit() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    durations = []
    harness.eject(health)
    for _ in range(7):
        durations.append(health.ejection_duration)
        assert (
            (1 - EJECTION_JITTER) * health.ejection_duration
            <= health.ejected_until - harness.now
            <= (1 + EJECTION_JITTER) * health.ejection_duration
        )
        harness.start_probation(health)
        harness.succeed(health)
        harness.fail(health)
        assert health.status is HealthStatus.EJECTED
    assert durations == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert durations[-1] == PAUSE_RATIO * 2**MAX_RELAPSES


def test_flapping_counts_relapses_until_the_endpoint_stays_healthy_for_long_enough() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    relapses = []
    for _ in range(6):
        harness.eject(health)
        relapses.append(health.relapses)
        harness.start_probation(health)
        for _ in range(PROBATION_SUCCESSES):  # it recovers for a moment, and fails as soon as it is healthy
            harness.succeed()
        assert health.status is HealthStatus.HEALTHY
    assert relapses == [0, 1, 2, 3, 4, 4]
    harness.now += RELAPSE_WINDOW_RATIO * health.ejection_duration + 0.1
    harness.succeed()
    harness.eject(health)
    assert health.relapses == 0


def test_ejections_are_jittered_so_that_gateways_do_not_readmit_at_the_same_time() -> None:
    ends = set()
    for seed in range(20):
        outliers = OutlierDetector(SETTINGS, 1.0, random.Random(seed))
        health, _ = outliers.track("a", 0.0, 0.0), outliers.track("b", 0.0, 0.0)
        for _ in range(6):
            outliers.record_failure(health, 1.0, ERROR)
        ends.add(round(health.ejected_until, 3))
    assert len(ends) > 15


def test_successes_of_attempts_in_flight_at_the_ejection_start_a_probation() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    harness.eject(health)
    for _ in range(40):
        harness.succeed()
    assert health.status in (HealthStatus.PROBATION, HealthStatus.HEALTHY)


def test_an_ejection_is_longer_than_the_mean_interval_between_outcomes() -> None:
    harness = DetectorHarness(12, initial_successes=0)
    for _ in range(300):
        harness.succeed(after=1.5)
    health = harness.endpoints[0]
    harness.eject(health)
    assert health.ejection_duration == pytest.approx(3.0, rel=0.1)


# Health checks

WITH_HEALTH_CHECKS = replace(SETTINGS, health_checks_allowed=True, health_check_cost=0.01, gateway_count=4)


def start_health_check(harness: DetectorHarness) -> EndpointHealth:
    """Eject the first endpoint, and use it when its ejection is over and a health check is due, if they are allowed."""
    health = harness.endpoints[0]
    harness.eject(health)
    harness.now = max(health.ejected_until, health.next_health_check_at) + 0.01
    harness.outliers.pending_actions.clear()
    harness.outliers.consider_probation(health, harness.now)
    return health


def test_a_successful_health_check_starts_a_probation_with_one_request() -> None:
    harness = DetectorHarness(12, WITH_HEALTH_CHECKS)
    health = start_health_check(harness)
    assert (
        harness.outliers.pending_actions == [StartHealthCheck("s0", 0.5)]
        and harness.states()[0] is HealthStatus.EJECTED
    )
    harness.outliers.consider_probation(health, harness.now)  # the check is running: no second one
    assert harness.outliers.pending_actions == [StartHealthCheck("s0", 0.5)] and health.avoided(harness.now, 0)
    harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", Outcome.OK))
    assert health.status is HealthStatus.PROBATION
    # a health check is no proof, so only one request
    assert not health.avoided(harness.now, 0) and health.avoided(harness.now, 1)


def test_a_failed_health_check_doubles_the_ejection_and_costs_no_request() -> None:
    harness = DetectorHarness(12, WITH_HEALTH_CHECKS)
    health = start_health_check(harness)
    duration = health.ejection_duration
    harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", REFUSED))
    assert (
        health.status is HealthStatus.EJECTED
        and health.ejection_duration == 2 * duration
        and health.ejected_until > harness.now
    )


def test_relapses_count_though_health_checks_succeed() -> None:
    harness = DetectorHarness(12, WITH_HEALTH_CHECKS)
    health = start_health_check(harness)
    for count in range(3):
        harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", Outcome.OK))
        harness.succeed(health)
        harness.fail(health)
        assert harness.states()[0] is HealthStatus.EJECTED and health.relapses == count + 1
        harness.now = max(health.ejected_until, health.next_health_check_at) + 0.01
        harness.outliers.consider_probation(health, harness.now)


def test_a_missing_health_check_result_does_not_keep_an_endpoint_ejected() -> None:
    harness = DetectorHarness(12, WITH_HEALTH_CHECKS)
    health = start_health_check(harness)
    harness.now += harness.longest_objective + 0.01
    harness.outliers.consider_probation(health, harness.now)
    assert health.status is HealthStatus.PROBATION
    harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", TIMEOUT))  # too late to count
    assert health.status is HealthStatus.PROBATION


def test_no_health_check_is_sent_where_they_are_not_allowed() -> None:
    harness = DetectorHarness(12, replace(WITH_HEALTH_CHECKS, health_checks_allowed=False))
    health = start_health_check(harness)
    assert health.status is HealthStatus.PROBATION
    assert not any(isinstance(a, StartHealthCheck) for a in harness.outliers.pending_actions)


@pytest.mark.parametrize("price", [0.0, 0.01, 0.5])
def test_the_number_of_health_checks_does_not_grow_with_the_number_of_gateways(price: float) -> None:
    """The endpoint is ejected repeatedly, at 100 or 400 gateways; the tolerance for chance is 10 % plus 10 checks."""
    counts = []
    for gateways in (100, 400):
        settings = replace(WITH_HEALTH_CHECKS, gateway_count=gateways, health_check_cost=price)
        total = 0
        for seed in range(gateways):
            outliers = OutlierDetector(settings, 1.0, random.Random(seed))
            health, other = outliers.track("a", 0.0, 0.0), outliers.track("b", 0.0, 0.0)
            now = 0.0
            while now < 60.0:
                outliers.record_success(other, now, late=False)
                if health.status is not HealthStatus.EJECTED:
                    outliers.record_failure(health, now, ERROR)
                outliers.consider_probation(health, now)
                if health.health_check_deadline > now:
                    outliers.health_check_ended(now, HealthCheckEnded("a", Outcome.OK))
                now += 0.3
            total += outliers.health_checks.started
        counts.append(total)
    max_rate = min(4.0, 0.02 / price) if price else 4.0
    assert all(0 < count <= 1.1 * max_rate * 60.0 + 10 for count in counts)
    assert counts[1] <= 1.1 * counts[0] + 10


def test_no_health_check_is_sent_before_a_request_could_use_the_endpoint() -> None:
    harness = GatewayHarness(replace(UNLIMITED, health_checks_allowed=True, health_check_cost=0.01))
    endpoint = harness.gateway.cluster.endpoints.by_id["b0"]
    for _ in range(5):
        harness.gateway.cluster.outliers.record_failure(endpoint.health, harness.now, ERROR)
    for _ in range(20):
        harness.handle_after(60.0, TimerFired(0))
    assert not any(isinstance(a, StartHealthCheck) for a in harness.actions)
    harness.send_request()
    assert [a for a in harness.actions if isinstance(a, StartHealthCheck)] == [StartHealthCheck("b0", 0.5)]


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_an_endpoint_may_drain_or_be_removed_on_probation_or_during_a_health_check(readiness: Readiness) -> None:
    for on_probation in (False, True):
        harness = GatewayHarness(replace(UNLIMITED, health_checks_allowed=True, health_check_cost=0.01))
        outliers, health = harness.gateway.cluster.outliers, harness.gateway.cluster.endpoints.by_id["b0"].health
        for _ in range(5):
            outliers.record_failure(health, harness.now, ERROR)
        harness.send_request(60.0)
        assert harness.actions[-1] == StartHealthCheck("b0", 0.5)
        if on_probation:
            harness.handle_after(0.0, HealthCheckEnded("b0", Outcome.OK))
        harness.handle_after(0.0, EndpointsChanged(EndpointListKind.UPDATE, (replace(FLEET[0], readiness=readiness),)))
        assert harness.handle_after(0.0, HealthCheckEnded("b0", Outcome.OK)) == []
        for _ in range(30):
            for attempt in started_attempts(harness.send_request(0.1)):
                assert attempt.endpoint_id != "b0"
                harness.end_attempt(attempt)
        assert outliers.ejected_count == 0 and "b0" not in outliers.endpoints


# Identity


def state_of(harness: GatewayHarness, name: str) -> HealthStatus:
    return harness.gateway.cluster.endpoints.by_id[name].health.status


def relist(harness: GatewayHarness, *fleet: Endpoint) -> None:
    harness.handle_after(0.0, EndpointsChanged(EndpointListKind.REPLACE, fleet))


def ejected_b0(harness: GatewayHarness) -> EndpointHealth:
    health = harness.gateway.cluster.endpoints.by_id["b0"].health
    for _ in range(5):
        harness.gateway.cluster.outliers.record_failure(health, harness.now, ERROR)
    assert health.status is HealthStatus.EJECTED
    return health


def test_a_new_incarnation_starts_healthy_and_an_unchanged_entry_keeps_its_health() -> None:
    harness = GatewayHarness(UNLIMITED)
    ejected_b0(harness)
    relist(harness, *FLEET)
    assert state_of(harness, "b0") is HealthStatus.EJECTED
    relist(harness, replace(FLEET[0], started_at=harness.now), *FLEET[1:])
    assert state_of(harness, "b0") is HealthStatus.HEALTHY
    assert harness.gateway.cluster.outliers.ejected_count == 0
    ejected_b0(harness)
    relist(harness, *FLEET)  # the list gives no start time now, so this is no newer incarnation
    assert state_of(harness, "b0") is HealthStatus.EJECTED


def test_an_endpoint_that_is_removed_and_listed_again_keeps_its_health_for_a_while() -> None:
    harness = GatewayHarness(UNLIMITED)
    ejected_b0(harness)
    relist(harness, *FLEET[1:])
    assert harness.gateway.cluster.outliers.ejected_count == 0
    relist(harness, *FLEET)
    assert state_of(harness, "b0") is HealthStatus.EJECTED
    assert harness.gateway.cluster.outliers.ejected_count == 1
    relist(harness, *FLEET[1:])
    harness.now += REMOVED_RETENTION_S + 1.0
    relist(harness, *FLEET)
    assert state_of(harness, "b0") is HealthStatus.HEALTHY


def test_a_cancelled_drain_keeps_the_health() -> None:
    harness = GatewayHarness(UNLIMITED)
    ejected_b0(harness)
    relist(harness, replace(FLEET[0], readiness=Readiness.DRAINING), *FLEET[1:])
    relist(harness, *FLEET)
    assert state_of(harness, "b0") is HealthStatus.EJECTED


def test_a_replacement_with_a_new_id_starts_healthy() -> None:
    harness = GatewayHarness(UNLIMITED)
    ejected_b0(harness)
    relist(harness, replace(FLEET[0], id="b9", started_at=harness.now), *FLEET[1:])
    assert state_of(harness, "b9") is HealthStatus.HEALTHY


def test_outcomes_of_attempts_sent_before_a_restart_are_no_evidence() -> None:
    harness = GatewayHarness(UNLIMITED, FLEET[:2])
    in_flight = [s for _ in range(2) for s in started_attempts(harness.send_request())]
    harness.now += 0.1
    relist(harness, *(replace(b, started_at=harness.now + 0.5) for b in FLEET[:2]))
    for attempt in in_flight:
        harness.end_attempt(attempt, Outcome.RESET, after=0.1, request_finished=True)
    assert all(s.health.failure_weight == 0.0 for s in harness.gateway.cluster.endpoints.by_id.values())


def test_memory_of_removed_endpoints_is_bounded() -> None:
    outliers = OutlierDetector(SETTINGS, 1.0, random.Random(1))
    for n in range(3 * MAX_REMOVED):
        outliers.track(f"s{n}", 0.0, 1.0)
        outliers.keep_only([], 1.0)
    assert len(outliers.removed) == MAX_REMOVED and not outliers.endpoints


def test_a_zone_that_returns_cold_gets_requests_within_the_slow_start_budget() -> None:
    fleet = tuple(Endpoint(f"b{n}", zone="abc"[n % 3]) for n in range(12))
    harness = GatewayHarness(replace(UNLIMITED, gateway_count=50), fleet)
    lost_ids = {b.id for b in fleet if b.zone == "a"}

    def send_requests(request_count: int, down: bool) -> dict[str, int]:
        attempt_counts = dict.fromkeys(lost_ids, 0)
        for _ in range(request_count):
            for attempt in started_attempts(harness.send_request(0.02)):
                if attempt.endpoint_id in lost_ids:
                    attempt_counts[attempt.endpoint_id] += 1
                    if down:
                        harness.end_attempt(attempt, REFUSED, after=0.001)
                        continue
                harness.end_attempt(attempt, after=0.02)
        return attempt_counts

    send_requests(300, down=False)
    assert sum(send_requests(250, down=True).values()) < 40
    relist(harness, *(replace(b, started_at=harness.now) if b.id in lost_ids else b for b in fleet))
    states = {harness.gateway.cluster.endpoints.by_id[name].health.status for name in lost_ids}
    assert states == {HealthStatus.HEALTHY}  # new incarnations have no evidence against them
    cold = send_requests(50, down=False)
    assert sum(cold.values()) <= 4 * 4  # they are cold, so each gateway keeps to its budget
    assert sum(send_requests(600, down=False).values()) > 0


# Load reports, metrics and logs


@pytest.mark.parametrize(
    "load",
    [
        {"inflight": -1.0, "util": 0.5},
        {"inflight": float("inf"), "util": 0.5},
        {"inflight": float("nan"), "util": 0.5},
        {"util": 0.5},
        {"inflight": 1.0, "util": 0.5, "": float("nan")},
    ],
)
def test_an_invalid_load_report_is_counted_and_changes_nothing(load: dict[str, float]) -> None:
    plays = [GatewayHarness(replace(UNLIMITED, load_report_fields=("inflight", "util"))) for _ in range(2)]
    for harness, report in zip(plays, ({"inflight": 3.0, "util": 0.5}, load), strict=True):
        [attempt] = started_attempts(harness.send_request())
        harness.end_attempt(attempt, load_report=report)
    invalid_counts = [harness.gateway.cluster.outliers.invalid_load_reports for harness in plays]
    assert invalid_counts == [0, 1]
    states = [harness.gateway.handover_state(harness.now) for harness in plays]
    assert states[0] == states[1]
    assert started_attempts(plays[0].send_request(0.1)) == started_attempts(plays[1].send_request(0.1))


def test_each_status_change_is_logged_with_its_reason_and_counted() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    harness.eject(health)
    harness.start_probation(health)
    for _ in range(PROBATION_SUCCESSES):
        harness.succeed()
    lines = [a.text for a in harness.outliers.pending_actions if isinstance(a, LogMessage)]
    assert any("to ejected: error" in line and "the rest fails at" in line for line in lines)
    assert any("ejected to trial: the pause is over" in line for line in lines)
    assert any("trial to healthy: 3 good answers" in line for line in lines)
    counts = harness.outliers.metrics()
    assert counts["ejections"] == counts["ejections.error"] == 1
    assert counts["health.healthy"] == 12 and counts["health.ejected"] == 0


def test_a_suspicion_is_logged_and_cleared() -> None:
    harness = DetectorHarness(12, initial_successes=1)
    health = harness.endpoints[0]
    harness.fail(health)
    assert health.status is HealthStatus.SUSPECT and not health.avoided(harness.now, 5)  # it still gets requests
    for _ in range(4):
        harness.succeed()
    lines = [a.text for a in harness.outliers.pending_actions if isinstance(a, LogMessage)]
    assert lines == ["health s0: healthy to suspect: error", "health s0: suspect to healthy: good answers"]


def test_the_log_rate_is_limited_and_the_number_of_omitted_lines_is_logged() -> None:
    harness = DetectorHarness(200)
    for health in harness.endpoints[:90]:
        harness.fail(health, count=5)
        harness.succeed(*harness.endpoints[:90], after=0.0)
    lines = [a for a in harness.outliers.pending_actions if isinstance(a, LogMessage)]
    assert len(lines) == LOG_BURST
    harness.now += 5.0
    harness.fail(harness.endpoints[95], count=5)
    assert "lines suppressed)" in next(
        a.text for a in harness.outliers.pending_actions[len(lines) :] if isinstance(a, LogMessage)
    )


def test_the_count_of_avoided_endpoints_agrees_with_the_metrics() -> None:
    harness = GatewayHarness(UNLIMITED)
    ejected_b0(harness)
    assert (
        harness.gateway.cluster.load_balancer.avoided_count(harness.now)
        == harness.gateway.health()["health.ejected"]
        == 1
    )
    assert harness.gateway.cluster.endpoints.by_id["b0"].health.unhealthy_log_odds(0.01) >= EJECTION_LOG_ODDS


@pytest.mark.parametrize("outcome", FAILURE_OUTCOMES)
def test_an_ejection_after_a_connection_failure_closes_idle_connections(outcome: Outcome) -> None:
    harness = DetectorHarness(8)
    while harness.endpoints[0].status is not HealthStatus.EJECTED:
        harness.fail(harness.endpoints[0], outcome, silent=outcome is Outcome.CANCELLED)
    closes = [action for action in harness.outliers.pending_actions if isinstance(action, CloseIdleConnections)]
    # An endpoint that responds, even with an error, keeps its connections, because a handshake costs both sides.
    assert closes == ([] if outcome in (ERROR, Outcome.MALFORMED) else [CloseIdleConnections("s0")])
