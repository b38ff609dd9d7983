"""Outlier detection: what ejects an endpoint, what does not, and how one comes back.  Events and a fake clock only."""

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

from .conftest import BASIC, FLEET, SAFE, SETTINGS, UNSAFE, Play, sends
from .fleet_day import Day, silent

WIDE = replace(SETTINGS, plans=(replace(BASIC, rate=1e6, burst=1e6),))
ERROR, TIMEOUT, REFUSED = Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED
FOUND = [ERROR, Outcome.MALFORMED, Outcome.RESET, TIMEOUT, REFUSED, Outcome.CANCELLED]


class DetectorHarness:
    """A detector with some endpoints, all heard from, and a clock."""

    def __init__(self, count: int, settings: Settings = SETTINGS, good: int = 5) -> None:
        self.now, self.longest_objective = 100.0, 1.0
        self.outliers = OutlierDetector(settings, self.longest_objective, random.Random(1))
        self.endpoints = [self.outliers.track(f"s{n}", 0.0, self.now) for n in range(count)]
        for _ in range(good):
            self.succeed()

    def succeed(self, *except_for: EndpointHealth, after: float = 0.05) -> None:
        """One good response from each other endpoint."""
        self.now += after
        for health in self.endpoints:
            if health not in except_for:
                self.outliers.record_success(health, self.now, late=False)

    def fail(self, health: EndpointHealth, outcome: Outcome = ERROR, times: int = 1, silent: bool = False) -> None:
        for _ in range(times):
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


# What ejects


@pytest.mark.parametrize("outcome", FOUND)
def test_an_endpoint_that_fails_while_the_rest_serves_is_ejected_after_a_handful(outcome: Outcome) -> None:
    harness, count = DetectorHarness(12), 0
    health = harness.endpoints[0]
    while health.status is not HealthStatus.EJECTED:
        harness.fail(health, outcome, silent=True)
        count += 1
        assert count <= 3
    assert harness.ejected() == 1 and count >= 2


def test_one_failure_does_not_eject() -> None:
    for outcome in FOUND:
        harness = DetectorHarness(12, good=1)
        harness.fail(harness.endpoints[0], outcome)
        assert harness.endpoints[0].status is not HealthStatus.EJECTED


def test_one_failure_in_five_is_told_from_one_in_a_hundred() -> None:
    harness = DetectorHarness(12)
    unhealthy, healthy, rng = harness.endpoints[0], harness.endpoints[1], random.Random(3)
    found = 0
    for _ in range(300):
        harness.succeed(unhealthy, healthy)
        for health, rate in ((unhealthy, 0.2), (healthy, 0.01)):
            if health.status is HealthStatus.EJECTED:
                found += health is unhealthy
                assert health is unhealthy
                harness.start_probation(health)
            if rng.random() < rate:
                harness.fail(health)
            else:
                harness.outliers.record_success(health, harness.now, late=False)
    assert found >= 10


def test_a_success_between_failures_does_not_wipe_them() -> None:
    harness = DetectorHarness(12, good=2)
    health = harness.endpoints[0]
    for _ in range(4):
        harness.fail(health, times=1)
        if health.status is HealthStatus.EJECTED:
            break
        harness.outliers.record_success(health, harness.now, late=False)
        harness.fail(health, times=1)
    assert health.status is HealthStatus.EJECTED


def test_late_answers_eject_in_the_end_and_failures_are_no_quick_answers() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    for _ in range(20):
        harness.succeed(health)
        harness.outliers.record_success(health, harness.now, late=True)
    assert health.status is HealthStatus.EJECTED
    play = Play(WIDE)
    [send] = sends(play.ask())
    endpoint = play.gateway.cluster.endpoints.by_id[send.endpoint_id]
    pace, wait, limit = endpoint.relative_latency, endpoint.latency_ratio, endpoint.concurrency_limit
    play.end(send, ERROR, after=0.001, request_finished=True)
    assert (endpoint.relative_latency, endpoint.latency_ratio, endpoint.concurrency_limit) == (pace, wait, limit)


def test_instant_errors_draw_no_traffic_though_they_look_idle() -> None:
    play = Play(WIDE, (Endpoint(f"b{n}") for n in range(12)))
    sent = {True: 0, False: 0}
    for count in range(600):
        for send in sends(play.ask(0.02)):
            bad = send.endpoint_id == "b0"
            sent[bad] += count > 100
            play.end(send, ERROR if bad else Outcome.OK, after=0.001 if bad else 0.05)
    assert sent[True] < 0.02 * sent[False]


@pytest.mark.parametrize("good_first", [0, 8])
def test_slow_on_one_in_ten_is_not_ejected_and_slow_only_at_first_is_forgotten(good_first: int) -> None:
    harness = DetectorHarness(12, good=good_first)
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


def test_evidence_ages() -> None:
    harness = DetectorHarness(12, good=1)
    health = harness.endpoints[0]
    harness.fail(health)
    harness.now += 200.0
    for _ in range(2):
        harness.succeed(health)
    harness.fail(health)
    assert health.status is not HealthStatus.EJECTED and health.failure_weight < 1.1


def test_being_rejected_counts_from_the_second_time_in_a_row() -> None:
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
    harness.fail(health, Outcome.REJECTED, times=6)
    assert health.status is HealthStatus.EJECTED and health.reason.startswith("turned away")


def test_a_silent_endpoint_is_found_though_its_attempts_are_overtaken_by_their_hedges() -> None:
    day = Day(10, silent, seed=1, end=20.0, length=20.0, rate=10.0)
    report = day.play()
    assert len(report.eject) == len(day.began) == 20  # two silent ones at each of ten gateways
    assert report.wrong == 0
    reasons = {reason for g in day.gateways for reason in g.cluster.outliers.ejections_by_reason}
    assert reasons <= {"overtaken", "timed out"}


def test_a_client_that_waits_only_a_moment_tells_nothing_of_the_endpoint() -> None:
    play = Play(WIDE)
    for _ in range(30):
        for send in sends(play.ask(time_left=0.1)):
            play.end(send, TIMEOUT, after=0.1, request_finished=True)
    assert all(s.health.failure_weight == 0.0 for s in play.gateway.cluster.endpoints.by_id.values())


# What does not


@pytest.mark.parametrize("outcome", [ERROR, TIMEOUT, Outcome.RESET, REFUSED, Outcome.MALFORMED])
@pytest.mark.parametrize("count", [2, 3, 12, 200])
def test_when_all_fail_together_none_is_ejected_and_none_after(count: int, outcome: Outcome) -> None:
    harness, rng = DetectorHarness(count), random.Random(2)
    for _ in range(30):
        harness.now += 0.1
        for health in rng.sample(harness.endpoints, count):
            harness.fail(health, outcome, silent=True)
            assert harness.ejected() == 0
    for _ in range(20):  # the fault is over: some are heard from before others
        for health in harness.endpoints[: max(1, count // 2)]:
            harness.outliers.record_success(health, harness.now, late=False)
        harness.now += 0.1
        for health in harness.endpoints:
            harness.outliers.record_success(health, harness.now, late=False)
    assert harness.ejected() == 0


def test_all_slow_together_ejects_none() -> None:
    harness = DetectorHarness(12)
    for _ in range(40):
        harness.now += 0.1
        for health in harness.endpoints:
            harness.outliers.record_success(health, harness.now, late=True)
    assert harness.ejected() == 0


def test_half_really_bad_stay_out_and_the_rest_are_not_pushed_over() -> None:
    fleet = [Endpoint(f"b{n}") for n in range(12)]
    play = Play(WIDE, fleet)
    bad = {f"b{n}" for n in range(6)}
    sent = dict.fromkeys((b.id for b in fleet), 0)
    for count in range(900):
        for send in sends(play.ask(0.02)):
            sent[send.endpoint_id] += count > 300
            if send.endpoint_id in bad:
                play.end(send, ERROR, after=0.001)
            else:
                play.end(send, after=0.03)
        most = max(len(s.in_flight) / s.concurrency_limit for s in play.gateway.cluster.endpoints.by_id.values())
        assert most <= 1.0
    assert sum(sent[b] for b in bad) < 0.05 * sum(sent.values())
    assert not any(
        play.gateway.cluster.endpoints.by_id[b.id].health.status is HealthStatus.EJECTED
        for b in fleet
        if b.id not in bad
    )


def test_no_more_than_half_are_ejected() -> None:
    harness = DetectorHarness(8)
    for health in harness.endpoints:  # one after the other, each while the rest looks well
        for _ in range(8):
            harness.fail(health)
            harness.succeed(*(o for o in harness.endpoints if o.status is HealthStatus.EJECTED or o is health))
    assert harness.ejected() == 4


def test_with_one_endpoint_left_it_is_never_ejected_and_with_two_the_bad_one_is() -> None:
    harness = DetectorHarness(1)
    harness.fail(harness.endpoints[0], times=30)
    assert harness.states() == [HealthStatus.HEALTHY]
    harness = DetectorHarness(2)
    harness.fail(harness.endpoints[0], times=5)
    assert harness.states() == [HealthStatus.EJECTED, HealthStatus.HEALTHY]
    play = Play(WIDE, FLEET[:1])
    for _ in range(10):
        for send in sends(play.ask(1.0)):
            play.end(send, ERROR, after=0.001, request_finished=True)
    assert sends(play.ask(1.0))  # it is all there is


def test_the_last_two_serve_on_when_both_fail() -> None:
    play = Play(WIDE, FLEET[:2])
    for _ in range(40):
        for send in sends(play.ask(0.5)):
            play.end(send, ERROR, after=0.01, request_finished=True)
    assert len({send.endpoint_id for _ in range(10) for send in sends(play.ask(0.5))}) == 2


def test_what_failed_for_want_of_a_descriptor_here_tells_nothing() -> None:
    play = Play(WIDE)
    for _ in range(10):
        for send in sends(play.ask(0.1)):
            play.end(send, REFUSED, after=0.0, local_failure=True, request_finished=True)
    assert all(
        s.health.failure_weight == 0.0 and not s.avoided(play.now)
        for s in play.gateway.cluster.endpoints.by_id.values()
    )


def test_a_starved_process_holds_no_silence_against_endpoints() -> None:
    play = Play(replace(WIDE, hedging_allowed=True))
    [send] = sends(play.ask())
    play.at(HEDGE_DELAY_RATIO * SAFE.latency_objective + 0.5, TimerFired(TimerToken.HEDGE))  # half a second late
    play.end(send, TIMEOUT, after=0.2, request_finished=True)
    health = play.gateway.cluster.endpoints.by_id[send.endpoint_id].health
    assert health.failure_weight == 0.0
    assert any("starved" in a.text for a in play.actions if isinstance(a, LogMessage))
    play.gateway.cluster.outliers.record_failure(health, play.now, ERROR)  # an error is an error all the same
    assert health.failure_weight == 1.0
    play.gateway.cluster.outliers.record_failure(health, play.now + 5.0, TIMEOUT)
    assert health.failure_weight > 1.5


def test_a_time_out_that_comes_late_itself_tells_of_starvation() -> None:
    play = Play(WIDE)
    [send] = sends(play.ask())
    play.end(send, TIMEOUT, after=4.5, request_finished=True)  # its time was up after 4 s
    assert play.gateway.cluster.endpoints.by_id[send.endpoint_id].health.failure_weight == 0.0


# Return


def test_a_probation_lets_one_through_then_more_and_three_good_answers_end_it() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    harness.eject(health)
    harness.start_probation(health)
    for out in range(PROBATION_SUCCESSES):
        assert [health.avoided(harness.now, n) for n in (0, out, out + 1)] == [False, False, True]
        assert health.status is HealthStatus.PROBATION
        harness.outliers.record_success(health, harness.now, late=False)
    assert harness.states()[0] is HealthStatus.HEALTHY and not health.avoided(harness.now, 9)


def test_an_endpoint_on_probation_starts_with_one_request_and_a_small_limit() -> None:
    play = Play(WIDE, FLEET[:2])
    outliers, endpoint = play.gateway.cluster.outliers, play.gateway.cluster.endpoints.by_id["b0"]
    endpoint.concurrency_limit = 50.0
    for _ in range(6):
        outliers.record_failure(endpoint.health, play.now, ERROR)
    play.now = endpoint.health.ejected_until + 0.1
    endpoint.health.next_health_check_at = float("inf")
    out: list[StartAttempt] = []
    for _ in range(40):
        for send in sends(play.ask(0.01)):
            if send.endpoint_id == "b0":
                out.append(send)
            else:
                play.end(send, after=0.0)
    assert (
        len(out) == 1
        and endpoint.health.status is HealthStatus.PROBATION
        and endpoint.concurrency_limit == PROBATION_SUCCESSES
    )


def test_a_probation_is_no_request_that_cannot_be_repeated() -> None:
    play = Play(WIDE, FLEET[:2])
    outliers, endpoint = play.gateway.cluster.outliers, play.gateway.cluster.endpoints.by_id["b0"]
    for _ in range(5):
        outliers.record_failure(endpoint.health, play.now, ERROR)
    play.now = endpoint.health.ejected_until + 0.1
    endpoint.health.next_health_check_at = float("inf")
    assert UNSAFE.idempotency is Idempotency.NOT_IDEMPOTENT
    for _ in range(20):
        for send in sends(play.ask(0.01, request_class="pay")):
            assert send.endpoint_id == "b1"
            play.end(send)
    chosen = set()
    for _ in range(40):
        for send in sends(play.ask(0.01)):
            chosen.add(send.endpoint_id)
            play.end(send)
    assert chosen == {"b0", "b1"}


def test_one_failure_on_probation_ejects_again_for_longer_up_to_a_limit() -> None:
    harness = DetectorHarness(12)
    health, pauses = harness.endpoints[0], []
    harness.eject(health)
    for _ in range(7):
        pauses.append(health.ejection_duration)
        assert (
            (1 - EJECTION_JITTER) * health.ejection_duration
            <= health.ejected_until - harness.now
            <= (1 + EJECTION_JITTER) * health.ejection_duration
        )
        harness.start_probation(health)
        harness.succeed(health)
        harness.fail(health)
        assert health.status is HealthStatus.EJECTED
    assert pauses == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert pauses[-1] == PAUSE_RATIO * 2**MAX_RELAPSES


def test_flapping_with_a_period_near_the_pause_costs_more_each_time_and_health_forgives() -> None:
    harness = DetectorHarness(12)
    health, relapses = harness.endpoints[0], []
    for _ in range(6):
        harness.eject(health)
        relapses.append(health.relapses)
        harness.start_probation(health)
        for _ in range(PROBATION_SUCCESSES):  # it is well for a moment, and fails as soon as it is trusted
            harness.succeed()
        assert health.status is HealthStatus.HEALTHY
    assert relapses == [0, 1, 2, 3, 4, 4]
    harness.now += RELAPSE_WINDOW_RATIO * health.ejection_duration + 0.1
    harness.succeed()
    harness.eject(health)
    assert health.relapses == 0


def test_pauses_are_drawn_so_that_gateways_do_not_act_in_step() -> None:
    ends = set()
    for seed in range(20):
        outliers = OutlierDetector(SETTINGS, 1.0, random.Random(seed))
        health, _ = outliers.track("a", 0.0, 0.0), outliers.track("b", 0.0, 0.0)
        for _ in range(6):
            outliers.record_failure(health, 1.0, ERROR)
        ends.add(round(health.ejected_until, 3))
    assert len(ends) > 15


def test_good_answers_that_were_out_when_it_was_ejected_bring_it_to_probation() -> None:
    harness = DetectorHarness(12)
    health = harness.endpoints[0]
    harness.eject(health)
    for _ in range(40):
        harness.succeed()
    assert health.status in (HealthStatus.PROBATION, HealthStatus.HEALTHY)


def test_when_the_pause_is_shorter_than_the_time_between_requests_it_is_stretched() -> None:
    harness = DetectorHarness(12, good=0)
    for _ in range(300):
        harness.succeed(after=1.5)
    health = harness.endpoints[0]
    harness.eject(health)
    assert health.ejection_duration == pytest.approx(3.0, rel=0.1)


# Probes

PROBING = replace(SETTINGS, health_checks_allowed=True, health_check_cost=0.01, gateway_count=4)


def due(harness: DetectorHarness) -> EndpointHealth:
    """An ejected server whose pause is over, and this gateway's time to probe it has come."""
    health = harness.endpoints[0]
    harness.eject(health)
    harness.now = max(health.ejected_until, health.next_health_check_at) + 0.01
    harness.outliers.pending_actions.clear()
    harness.outliers.consider_probation(health, harness.now)
    return health


def test_a_health_check_comes_before_a_probation_and_a_good_one_lets_one_request_through() -> None:
    harness = DetectorHarness(12, PROBING)
    health = due(harness)
    assert (
        harness.outliers.pending_actions == [StartHealthCheck("s0", 0.5)]
        and harness.states()[0] is HealthStatus.EJECTED
    )
    harness.outliers.consider_probation(health, harness.now)  # it is out: nothing more
    assert harness.outliers.pending_actions == [StartHealthCheck("s0", 0.5)] and health.avoided(harness.now, 0)
    harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", Outcome.OK))
    assert health.status is HealthStatus.PROBATION
    assert not health.avoided(harness.now, 0) and health.avoided(harness.now, 1)  # no proof: one request


def test_a_failed_health_check_doubles_the_pause_and_costs_no_request() -> None:
    harness = DetectorHarness(12, PROBING)
    health = due(harness)
    pause = health.ejection_duration
    harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", REFUSED))
    assert (
        health.status is HealthStatus.EJECTED
        and health.ejection_duration == 2 * pause
        and health.ejected_until > harness.now
    )


def test_correct_to_health_checks_but_failing_requests_still_costs_more_each_time() -> None:
    harness = DetectorHarness(12, PROBING)
    health = due(harness)
    for count in range(3):
        harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", Outcome.OK))
        harness.succeed(health)
        harness.fail(health)
        assert harness.states()[0] is HealthStatus.EJECTED and health.relapses == count + 1
        harness.now = max(health.ejected_until, health.next_health_check_at) + 0.01
        harness.outliers.consider_probation(health, harness.now)


def test_an_answer_that_never_comes_does_not_keep_an_endpoint_out() -> None:
    harness = DetectorHarness(12, PROBING)
    health = due(harness)
    harness.now += harness.longest_objective + 0.01
    harness.outliers.consider_probation(health, harness.now)
    assert health.status is HealthStatus.PROBATION
    harness.outliers.health_check_ended(harness.now, HealthCheckEnded("s0", TIMEOUT))  # too late to count
    assert health.status is HealthStatus.PROBATION


def test_where_health_checks_are_forbidden_and_tell_nothing_none_is_sent() -> None:
    harness = DetectorHarness(12, replace(PROBING, health_checks_allowed=False))
    health = due(harness)
    assert health.status is HealthStatus.PROBATION
    assert not any(isinstance(a, StartHealthCheck) for a in harness.outliers.pending_actions)


@pytest.mark.parametrize("price", [0.0, 0.01, 0.5])
def test_the_health_checks_of_one_endpoint_do_not_grow_with_the_gateways(price: float) -> None:
    """Whatever ejects it again and again, at many gateways or at few; a tenth and a few more for chance."""
    counts = []
    for gateways in (100, 400):
        settings = replace(PROBING, gateway_count=gateways, health_check_cost=price)
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
    most = min(4.0, 0.02 / price) if price else 4.0
    assert all(0 < count <= 1.1 * most * 60.0 + 10 for count in counts)
    assert counts[1] <= 1.1 * counts[0] + 10


def test_nothing_is_probed_without_a_request_that_has_a_choice() -> None:
    play = Play(replace(WIDE, health_checks_allowed=True, health_check_cost=0.01))
    endpoint = play.gateway.cluster.endpoints.by_id["b0"]
    for _ in range(5):
        play.gateway.cluster.outliers.record_failure(endpoint.health, play.now, ERROR)
    for _ in range(20):
        play.at(60.0, TimerFired(0))
    assert not any(isinstance(a, StartHealthCheck) for a in play.actions)
    play.ask()
    assert [a for a in play.actions if isinstance(a, StartHealthCheck)] == [StartHealthCheck("b0", 0.5)]


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_drained_or_gone_while_on_probation_or_under_a_health_check(readiness: Readiness) -> None:
    for trial in (False, True):
        play = Play(replace(WIDE, health_checks_allowed=True, health_check_cost=0.01))
        outliers, health = play.gateway.cluster.outliers, play.gateway.cluster.endpoints.by_id["b0"].health
        for _ in range(5):
            outliers.record_failure(health, play.now, ERROR)
        play.ask(60.0)
        assert play.actions[-1] == StartHealthCheck("b0", 0.5)
        if trial:
            play.at(0.0, HealthCheckEnded("b0", Outcome.OK))
        play.at(0.0, EndpointsChanged(EndpointListKind.UPDATE, (replace(FLEET[0], readiness=readiness),)))
        assert play.at(0.0, HealthCheckEnded("b0", Outcome.OK)) == []
        for _ in range(30):
            for send in sends(play.ask(0.1)):
                assert send.endpoint_id != "b0"
                play.end(send)
        assert outliers.ejected_count == 0 and "b0" not in outliers.endpoints


# Identity


def state_of(play: Play, name: str) -> HealthStatus:
    return play.gateway.cluster.endpoints.by_id[name].health.status


def relist(play: Play, *fleet: Endpoint) -> None:
    play.at(0.0, EndpointsChanged(EndpointListKind.REPLACE, fleet))


def ejected_b0(play: Play) -> EndpointHealth:
    health = play.gateway.cluster.endpoints.by_id["b0"].health
    for _ in range(5):
        play.gateway.cluster.outliers.record_failure(health, play.now, ERROR)
    assert health.status is HealthStatus.EJECTED
    return health


def test_one_that_started_since_is_another_and_an_unchanged_entry_washes_nothing_clean() -> None:
    play = Play(WIDE)
    ejected_b0(play)
    relist(play, *FLEET)
    assert state_of(play, "b0") is HealthStatus.EJECTED
    relist(play, replace(FLEET[0], started_at=play.now), *FLEET[1:])
    assert state_of(play, "b0") is HealthStatus.HEALTHY
    assert play.gateway.cluster.outliers.ejected_count == 0
    ejected_b0(play)
    relist(play, *FLEET)  # "long ago" now: the same process
    assert state_of(play, "b0") is HealthStatus.EJECTED


def test_one_that_leaves_the_list_and_returns_unchanged_is_no_better_for_it() -> None:
    play = Play(WIDE)
    ejected_b0(play)
    relist(play, *FLEET[1:])
    assert play.gateway.cluster.outliers.ejected_count == 0
    relist(play, *FLEET)
    assert state_of(play, "b0") is HealthStatus.EJECTED
    assert play.gateway.cluster.outliers.ejected_count == 1
    relist(play, *FLEET[1:])
    play.now += REMOVED_RETENTION_S + 1.0
    relist(play, *FLEET)
    assert state_of(play, "b0") is HealthStatus.HEALTHY


def test_a_drain_that_is_taken_back_washes_nothing_clean() -> None:
    play = Play(WIDE)
    ejected_b0(play)
    relist(play, replace(FLEET[0], readiness=Readiness.DRAINING), *FLEET[1:])
    relist(play, *FLEET)
    assert state_of(play, "b0") is HealthStatus.EJECTED


def test_a_replacement_with_a_new_id_is_not_judged_by_the_one_before() -> None:
    play = Play(WIDE)
    ejected_b0(play)
    relist(play, replace(FLEET[0], id="b9", started_at=play.now), *FLEET[1:])
    assert state_of(play, "b9") is HealthStatus.HEALTHY


def test_what_was_sent_before_a_restart_tells_nothing_of_the_new_process() -> None:
    play = Play(WIDE, FLEET[:2])
    held = [s for _ in range(2) for s in sends(play.ask())]
    play.now += 0.1
    relist(play, *(replace(b, started_at=play.now + 0.5) for b in FLEET[:2]))
    for send in held:
        play.end(send, Outcome.RESET, after=0.1, request_finished=True)
    assert all(s.health.failure_weight == 0.0 for s in play.gateway.cluster.endpoints.by_id.values())


def test_memory_of_removed_endpoints_is_bounded() -> None:
    outliers = OutlierDetector(SETTINGS, 1.0, random.Random(1))
    for n in range(3 * MAX_REMOVED):
        outliers.track(f"s{n}", 0.0, 1.0)
        outliers.keep_only([], 1.0)
    assert len(outliers.removed) == MAX_REMOVED and not outliers.endpoints


def test_a_zone_lost_and_back_warming_returns_within_the_guard() -> None:
    fleet = tuple(Endpoint(f"b{n}", zone="abc"[n % 3]) for n in range(12))
    play = Play(replace(WIDE, gateway_count=50), fleet)
    lost = {b.id for b in fleet if b.zone == "a"}

    def stretch(rounds: int, down: bool) -> dict[str, int]:
        got = dict.fromkeys(lost, 0)
        for _ in range(rounds):
            for send in sends(play.ask(0.02)):
                if send.endpoint_id in lost:
                    got[send.endpoint_id] += 1
                    if down:
                        play.end(send, REFUSED, after=0.001)
                        continue
                play.end(send, after=0.02)
        return got

    stretch(300, down=False)
    assert sum(stretch(250, down=True).values()) < 40
    relist(play, *(replace(b, started_at=play.now) if b.id in lost else b for b in fleet))
    states = {play.gateway.cluster.endpoints.by_id[name].health.status for name in lost}
    assert states == {HealthStatus.HEALTHY}  # other processes: no evidence follows them
    cold = stretch(50, down=False)
    assert sum(cold.values()) <= 4 * 4  # but they are cold: each gateway keeps to its part
    assert sum(stretch(600, down=False).values()) > 0


# Reports, figures, log


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
def test_a_report_that_makes_no_sense_is_counted_and_changes_nothing(load: dict[str, float]) -> None:
    plays = [Play(replace(WIDE, load_report_fields=("inflight", "util"))) for _ in range(2)]
    for play, report in zip(plays, ({"inflight": 3.0, "util": 0.5}, load), strict=True):
        [send] = sends(play.ask())
        play.end(send, load_report=report)
    odd = [play.gateway.cluster.outliers.invalid_load_reports for play in plays]
    assert odd == [0, 1]
    states = [play.gateway.handover_state(play.now) for play in plays]
    assert states[0] == states[1]
    assert sends(plays[0].ask(0.1)) == sends(plays[1].ask(0.1))


def test_each_change_is_told_with_its_reason_and_counted() -> None:
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


def test_a_suspect_is_told_and_cleared() -> None:
    harness = DetectorHarness(12, good=1)
    health = harness.endpoints[0]
    harness.fail(health)
    assert health.status is HealthStatus.SUSPECT and not health.avoided(harness.now, 5)  # it goes on serving
    for _ in range(4):
        harness.succeed()
    lines = [a.text for a in harness.outliers.pending_actions if isinstance(a, LogMessage)]
    assert lines == ["health s0: healthy to suspect: error", "health s0: suspect to healthy: good answers"]


def test_the_log_is_limited_and_says_what_it_left_out() -> None:
    harness = DetectorHarness(200)
    for health in harness.endpoints[:90]:
        harness.fail(health, times=5)
        harness.succeed(*harness.endpoints[:90], after=0.0)
    lines = [a for a in harness.outliers.pending_actions if isinstance(a, LogMessage)]
    assert len(lines) == LOG_BURST
    harness.now += 5.0
    harness.fail(harness.endpoints[95], times=5)
    assert "lines suppressed)" in next(
        a.text for a in harness.outliers.pending_actions[len(lines) :] if isinstance(a, LogMessage)
    )


def test_states_and_the_figure_of_avoided_endpoints_agree() -> None:
    play = Play(WIDE)
    ejected_b0(play)
    assert play.gateway.cluster.load_balancer.avoided_count(play.now) == play.gateway.health()["health.ejected"] == 1
    assert play.gateway.cluster.endpoints.by_id["b0"].health.unhealthy_log_odds(0.01) >= EJECTION_LOG_ODDS


@pytest.mark.parametrize("outcome", FOUND)
def test_an_ejection_that_doubts_the_connections_gives_the_idle_ones_back(outcome: Outcome) -> None:
    harness = DetectorHarness(8)
    while harness.endpoints[0].status is not HealthStatus.EJECTED:
        harness.fail(harness.endpoints[0], outcome, silent=outcome is Outcome.CANCELLED)
    closes = [action for action in harness.outliers.pending_actions if isinstance(action, CloseIdleConnections)]
    # A server that answers, however badly, keeps them: a handshake costs both sides.
    assert closes == ([] if outcome in (ERROR, Outcome.MALFORMED) else [CloseIdleConnections("s0")])
