"""How endpoints are chosen and how much each is sent.  Each test stands for a failure seen."""

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

from .conftest import BASIC, FLEET, SAFE, SETTINGS, Play, sends

WIDE = replace(SETTINGS, plans=(replace(BASIC, rate=1e6, burst=1e6),))


def carry(play: Play, latency: float, rounds: int = 200) -> dict[str, int]:
    """Sends `rounds` requests one by one, each answered after `latency`; how many each backend got."""
    got: dict[str, int] = {}
    for _ in range(rounds):
        for sent in sends(play.ask(0.01)):
            got[sent.endpoint_id] = got.get(sent.endpoint_id, 0) + 1
            play.end(sent, Outcome.OK, latency)
    return got


def test_the_first_seconds_do_not_fill_the_endpoints() -> None:
    play = Play(WIDE)
    for _ in range(100):
        play.ask(0.0)
    assert len(sends(play.actions)) <= len(FLEET)
    for sent in sends(list(play.actions)):
        play.end(sent, Outcome.OK, 0.01)
    assert len(sends([a for _ in range(100) for a in play.ask(0.0)])) > len(FLEET) / 2


def test_what_is_out_too_long_shrinks_a_limit_without_any_answer() -> None:
    play = Play(WIDE)
    carry(play, 0.05)
    for endpoint in play.gateway.cluster.endpoints.by_id.values():
        endpoint.concurrency_limit = 20.0
    for _ in range(40):
        play.ask(0.0)
    before = sum(s.concurrency_limit for s in play.gateway.cluster.endpoints.by_id.values())
    for _ in range(20):
        play.ask(0.5)
    assert sum(s.concurrency_limit for s in play.gateway.cluster.endpoints.by_id.values()) < before / 2


def test_a_silent_endpoint_gets_nothing_new() -> None:
    play = Play(WIDE)
    carry(play, 0.05)
    stuck = sends(play.ask(0.0))[0].endpoint_id
    play.now += 0.5
    assert stuck not in carry(play, 0.01, 40)


def test_a_slow_endpoint_gets_less() -> None:
    play = Play(WIDE)
    got: dict[str, int] = {}
    for _ in range(300):
        for sent in sends(play.ask(0.02)):
            got[sent.endpoint_id] = got.get(sent.endpoint_id, 0) + 1
            play.end(sent, Outcome.OK, 0.3 if sent.endpoint_id == "b1" else 0.05)
    assert got["b1"] < min(got[b] for b in ("b0", "b2", "b3")) / 2


def test_attempts_that_stay_out_shed_the_least_worth_before_any_answer_comes() -> None:
    play = Play(
        replace(SETTINGS, gateway_count=300, plans=(replace(BASIC, rate=1e4, burst=1e5),)),
        (Endpoint(f"b{n}") for n in range(80)),
    )
    sent = sum(len(sends(play.ask(0.3))) for _ in range(40))
    assert sent < 30  # none was answered: what is out tells of the jam, though no backend holds two
    play.now += 30.0
    assert sends(play.ask())  # it is tried again


def test_a_few_endpoints_that_never_answer_are_no_congestion() -> None:
    play = Play(
        replace(SETTINGS, gateway_count=300, plans=(replace(BASIC, rate=1e4, burst=1e5),)),
        (Endpoint(f"b{n}") for n in range(80)),
    )
    passed = 0
    for _ in range(200):
        for sent in sends(play.ask(0.2)):
            passed += 1
            if int(sent.endpoint_id[1:]) >= 8:
                play.end(sent, Outcome.OK, 0.1)
    assert passed > 180


def test_idle_endpoints_are_chosen_by_size_not_all_the_largest() -> None:
    fleet = [Endpoint(f"b{n}", weight=2.0 if n < 10 else 1.0) for n in range(40)]
    chosen = []
    for seed in range(400):
        gateway = Gateway(replace(SETTINGS, gateway_count=400, gateway_index=seed), seed)
        gateway.handle(1.0, EndpointsChanged(EndpointListKind.RESTORED, tuple(fleet)))
        actions = gateway.handle(1.1, RequestReceived("r", "read", "basic", "c", 4.0))
        chosen += [int(s.endpoint_id[1:]) for s in sends(actions)]
    assert len(set(chosen)) == len(fleet)
    assert 0.3 < sum(n < 10 for n in chosen) / len(chosen) < 0.5  # 20 of 50 by size


def test_an_empty_zone_is_no_reason_to_reject() -> None:
    play = Play(replace(WIDE, zone="c"), fleet=(Endpoint("x", "a"),))
    assert sends(play.ask())


def test_each_gateway_keeps_to_a_subset_and_all_together_cover_the_fleet_evenly() -> None:
    fleet = tuple(Endpoint(f"10.0.0.{n}:9000", zone="ab"[n % 2]) for n in range(60))
    users = dict.fromkeys((b.id for b in fleet), 0)
    for number in range(300):
        gateway = Gateway(replace(SETTINGS, gateway_count=300, gateway_index=number), 1)
        gateway.handle(1.0, EndpointsChanged(EndpointListKind.RESTORED, fleet))
        preferred = [s.info.id for s in gateway.cluster.endpoints.preferred]
        assert len(preferred) == 12
        gateway.handle(2.0, EndpointsChanged(EndpointListKind.REPLACE, fleet[1:]))
        assert (
            len({s.info.id for s in gateway.cluster.endpoints.preferred} - set(preferred)) <= 1
        )  # one goes, at most one is new
        for name in preferred:
            users[name] += 1
    assert min(users.values()) > 30  # 60 on the mean
    assert max(users.values()) < 90


def test_beyond_an_unhealthy_subset_the_rest_of_the_fleet_is_used() -> None:
    play = Play(WIDE, (Endpoint(f"b{n}") for n in range(40)))
    preferred = list(play.gateway.cluster.endpoints.preferred)
    for endpoint in preferred:
        endpoint.health.paused_until = play.now + 60.0  # each refuses
    sent = sends(play.ask(0.01))
    assert sent
    assert sent[0].endpoint_id not in {s.info.id for s in preferred}


COPYING = replace(SETTINGS, hedging_allowed=True, cancellation_allowed=True)


def silent(play: Play) -> StartAttempt:
    """A request whose first attempt is never answered; what is sent at the time of a second attempt."""
    first = sends(play.ask())[0]
    again = sends(play.at(HEDGE_DELAY_RATIO * SAFE.latency_objective, TimerFired(TimerToken.HEDGE)))
    assert len(again) == 1 and again[0].request_id == first.request_id and again[0].endpoint_id != first.endpoint_id
    return again[0]


def test_an_attempt_that_is_not_answered_gets_a_second_beside_it() -> None:
    play = Play(COPYING)
    play.gateway.forwarder.retry_budget.level = 5.0
    again = silent(play)
    done = play.end(again, attempt=1)
    assert done == [CancelAttempt(again.request_id, 0)] and play.gateway.forwarder.retry_budget.level < 5.0


def test_no_second_attempt_is_made_for_what_is_answered_or_where_two_are_not_allowed() -> None:
    play = Play(COPYING)
    play.end(sends(play.ask())[0])
    assert (
        play.at(HEDGE_DELAY_RATIO * SAFE.latency_objective, TimerFired(TimerToken.HEDGE)) == []
        and not play.gateway.forwarder.hedging.candidates
    )
    play = Play()
    assert sends(play.ask())
    assert TimerToken.HEDGE not in [a.token for a in play.actions if isinstance(a, SetTimer)]


@pytest.mark.parametrize(("odds", "count"), [(0.0, 0), (1.0, 1)])
def test_second_attempts_that_do_not_win_need_ample_room(odds: float, count: int) -> None:
    play = Play(COPYING)
    play.gateway.forwarder.retry_budget.level, play.gateway.forwarder.hedging.win_rate = 5.0, odds
    play.gateway.cluster.load_shedder.saturation = lambda now: HEDGE_MAX_SATURATION / 2  # type: ignore[method-assign]
    assert sends(play.ask())
    assert len(sends(play.at(HEDGE_DELAY_RATIO * SAFE.latency_objective, TimerFired(TimerToken.HEDGE)))) == count


def test_which_attempt_answers_first_is_learned() -> None:
    play = Play(COPYING)
    play.gateway.forwarder.retry_budget.level = 5.0
    first = sends(play.ask())[0]
    again = sends(play.at(HEDGE_DELAY_RATIO * SAFE.latency_objective, TimerFired(TimerToken.HEDGE)))[0]
    play.end(again, attempt=1)
    play.end(first, Outcome.CANCELLED, request_finished=True)
    assert play.gateway.forwarder.hedging.win_rate > 0.5
    odds, first = play.gateway.forwarder.hedging.win_rate, sends(play.ask())[0]
    play.at(HEDGE_DELAY_RATIO * SAFE.latency_objective, TimerFired(TimerToken.HEDGE))
    play.end(first, attempt=0)
    assert play.gateway.forwarder.hedging.win_rate < odds


def preferred(gateways: int, servers: list[str]) -> list[Gateway]:
    fleet = EndpointsChanged(EndpointListKind.RESTORED, tuple(Endpoint(name) for name in servers))
    found = [Gateway(replace(SETTINGS, gateway_count=gateways, gateway_index=n), n) for n in range(gateways)]
    for gateway in found:
        gateway.handle(1.0, fleet)
    return found


def names(gateway: Gateway) -> set[str]:
    return {endpoint.info.id for endpoint in gateway.cluster.endpoints.preferred}


@pytest.mark.parametrize(("gateways", "servers"), [(200, 128), (218, 128), (60, 39), (200, 200), (50, 1000)])
def test_endpoints_are_preferred_by_equally_many_gateways(gateways: int, servers: int) -> None:
    every = [f"s{n}" for n in range(servers)]
    counts = Counter(name for gateway in preferred(gateways, every) for name in names(gateway))
    mean = gateways * SUBSET_SIZE / servers
    # By independent draws the deviation would be the root of the mean: 4.3 of 18.8 at 200 before 128.
    deviation = (sum((counts[name] - mean) ** 2 for name in every) / servers) ** 0.5
    assert deviation < max(1.2, 0.35 * mean**0.5) and max(counts.values()) <= mean + 4


def test_what_is_known_of_endpoints_is_kept_when_others_come_and_go() -> None:
    every = [f"s{n}" for n in range(128)]
    found = preferred(100, every)
    before = [names(gateway) for gateway in found]
    lost = set(every[::4])
    for gateway, had in zip(found, before, strict=True):
        gateway.handle(
            2.0,
            EndpointsChanged(
                EndpointListKind.UPDATE, tuple(Endpoint(name, readiness=Readiness.REMOVED) for name in lost)
            ),
        )
        assert had - lost <= names(gateway) and len(names(gateway)) == SUBSET_SIZE
    for gateway in found:
        gateway.handle(
            3.0, EndpointsChanged(EndpointListKind.UPDATE, tuple(Endpoint(name, started_at=3.0) for name in lost))
        )
    # Those that are back are taken up at once, by as many as had them.
    counts = Counter(name for gateway in found for name in names(gateway))
    assert min(counts[name] for name in lost) >= 5
    assert sum(names(gateway) == had for gateway, had in zip(found, before, strict=True)) > 90


@settings(max_examples=200, deadline=None)
@given(steps=st.lists(st.tuples(st.integers(0, 5), st.integers(0, 30), st.floats(0.0, 1.5)), max_size=60))
def test_what_all_endpoints_hold_is_known_without_adding_it_up(steps: list[tuple[int, int, float]]) -> None:
    play = Play()
    open_ones: list[StartAttempt] = []
    for kind, pick, after in steps:
        if kind < 2:
            open_ones += sends(play.ask(after, customer=f"c{pick}"))
        elif kind < 4 and open_ones:
            send = open_ones.pop(pick % len(open_ones))
            play.end(
                send,
                (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET)[pick % 4],
                after,
                request_finished=True,
            )
        else:
            there = tuple(
                replace(
                    info,
                    readiness=Readiness.DRAINING if pick >> n & 1 else Readiness.READY,
                    started_at=play.now if kind == 5 and pick >> n & 2 else info.started_at,
                )
                for n, info in enumerate(FLEET)
            )
            play.at(after, EndpointsChanged(EndpointListKind.UPDATE, there))
        fleet = play.gateway.cluster.endpoints
        assert fleet.totals.in_flight == sum(len(s.in_flight) for s in fleet.ready)
        assert fleet.totals.concurrency_limits == pytest.approx(sum(s.concurrency_limit for s in fleet.ready))
