"""The emulator in simulated time: the same seed is the same play, rules that break are found, days stay bounded."""

from __future__ import annotations

import gc
import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from ingress.decisions.actions import Action, FailRequest, RejectRequest, StartAttempt
from ingress.decisions.endpoint import Outcome, Readiness
from ingress.decisions.events import AttemptEnded, EndpointListKind, EndpointsChanged, Event, RequestReceived
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Settings
from ingress.emulator.experiment import Experiment, ExperimentError, build_experiment, load_experiment, read_experiment
from ingress.emulator.gateways import GatewayFactory
from ingress.emulator.kernel import Kernel, RandomStream, random_streams
from ingress.emulator.oracle import SHEDDING_FULL, SHEDDING_START
from ingress.emulator.rules import RequestRecord, RuleChecker
from ingress.emulator.shrink import shrink, to_toml
from ingress.emulator.world import Simulation, factory_builder

ROOT = Path(__file__).resolve().parent.parent
PLANS = [
    {"name": "basic", "rate": 4.0, "burst": 10.0, "ceiling_rate": 8.0, "ceiling_burst": 20.0, "ceiling_slack": 4.0}
]
CLASSES = [
    {"name": "read", "share": 3},
    {"name": "order", "semantics": "keyed", "window_s": 2.0},
    {"name": "pay", "semantics": "unsafe"},
]
FAULTS: list[dict[str, Any]] = [
    {"kind": "kill-gateways", "at": 1, "lasts": 1, "share": 0.3},
    {"kind": "pause-gateways", "at": 1.5, "lasts": 0.5, "share": 0.3},
    {"kind": "roll-gateways", "at": 1, "lasts": 1, "steps": 2},
    {"kind": "roll-servers", "at": 0.5, "lasts": 2, "share": 0.4, "warning_s": 1},
    {"kind": "lose-zone", "at": 1, "lasts": 1, "zone": 1},
    {"kind": "cut-zone", "at": 1, "lasts": 1, "zone": 0},
    {"kind": "crash-servers", "at": 1, "lasts": 1, "share": 0.3},
    *(
        {"kind": "spoil-servers", "at": 1, "lasts": 1, "share": 0.3, "mode": mode}
        for mode in ("slow", "errors", "silent", "spoilt", "refuse")
    ),
    {"kind": "reload", "at": 1.5, "factor": 0.5},
    {"kind": "discovery-down", "at": 0.5, "lasts": 2},
    {"kind": "forget-servers", "at": 1, "lasts": 1, "share": 0.6},
    {"kind": "burst", "at": 1, "lasts": 1, "factor": 3.0},
    {"kind": "burst", "at": 1, "lasts": 1, "factor": 9.0, "customers": 2},
    {"kind": "lossy", "at": 1, "lasts": 1, "loss": 0.1, "reset": 0.1},
]


def experiment(*faults: dict[str, Any], **changes: Any) -> Experiment:
    fleet = {"gateways": 4, "servers": 6, "zones": 2, "cold_s": 3} | changes.pop("fleet", {})
    source = {
        "name": "test",
        "seconds": 3.0,
        "fleet": fleet,
        "classes": CLASSES,
        "plans": PLANS,
        "load": {"use": 0.5} | changes.pop("load", {}),
        "faults": list(faults),
    }
    return build_experiment(source | changes)


def exact(one: Experiment, seed: int, make: GatewayFactory = Gateway) -> dict[str, Any]:
    found: dict[str, Any] = Simulation(one, seed, make).run()["exact"]
    return found


def test_the_same_seed_gives_the_same_play_over_a_hundred_seeds() -> None:
    one = experiment(FAULTS[0], FAULTS[4], seconds=2.0, fleet={"gateways": 2, "servers": 4})
    plays = [json.dumps(exact(one, seed), sort_keys=True) for seed in range(100)]
    assert [json.dumps(exact(one, seed), sort_keys=True) for seed in range(100)] == plays
    assert len(set(plays)) == 100  # and seeds differ


def test_another_process_with_another_order_of_hashes_plays_the_same(tmp_path: Path) -> None:
    path = tmp_path / "one.toml"
    path.write_text(to_toml(experiment(FAULTS[0], FAULTS[4])), encoding="utf-8")
    said = [
        subprocess.run(
            [sys.executable, "-m", "ingress.emulator.play", str(path), "7", str(tmp_path), "now"],
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": order},
            capture_output=True,
            check=True,
        ).stdout
        for order in ("1", "2")
    ]
    first, second = (json.loads(text)["exact"] for text in said)
    assert first == second == json.loads(json.dumps(exact(load_experiment(path), 7)))


def test_versions_meet_the_same_first_tries_whatever_they_decide() -> None:
    class Refuses(Gateway):
        def handle(self, now: float, event: Event) -> list[Action]:
            return (
                [RejectRequest(event.request_id)] if isinstance(event, RequestReceived) else super().handle(now, event)
            )

    one = experiment(FAULTS[13])
    firsts = [
        [(row["second"], row.get("first tries")) for row in exact(one, 3, make)["series"] if row["second"] < 3]
        for make in (Gateway, Refuses)
    ]
    assert firsts[0] == firsts[1]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: "-".join(str(fault.get(k, "")) for k in ("kind", "mode")))
def test_each_fault_is_felt_and_breaks_no_rule(fault: dict[str, Any]) -> None:
    base = [FAULTS[3]] if fault["kind"] == "discovery-down" else []  # without news its silence is not felt
    calm, found = exact(experiment(*base), 5), exact(experiment(*base, fault), 5)
    assert found["broken"] == {}
    assert found["totals"] != calm["totals"]
    assert found["totals"]["served"] > 0.3 * calm["totals"]["served"]
    ends = sum(found["totals"].get(key, 0) for key in ("served", "served late", "unserved", "left by clients"))
    assert ends == found["totals"]["first tries"]  # every wish ends once


# Faults planted in the decisions, each to be found by its rule.


def planted(
    change: Callable[[Gateway, float, Event, list[Action]], list[Action]],
    adapt: Callable[[Settings], Settings] = lambda settings: settings,
) -> GatewayFactory:
    class Planted(Gateway):
        def handle(self, now: float, event: Event) -> list[Action]:
            return change(self, now, event, super().handle(now, event))

    return lambda settings, seed: Planted(adapt(settings), seed)


def swallow(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    return [a for a in actions if not isinstance(a, RejectRequest) or int(a.request_id.partition(".")[0], 16) % 50]


def again(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    """Sends what may have run once more, whatever it is."""
    if isinstance(event, AttemptEnded) and event.outcome is Outcome.ERROR and not event.attempt:
        kept = [a for a in actions if not isinstance(a, RejectRequest | FailRequest)]
        return [*kept, StartAttempt(event.request_id, event.endpoint_id, 0.5)]
    return actions


def twice(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    return [a for a in actions for _ in range(3 if isinstance(a, StartAttempt) else 1)]


def late(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    """Sends after the end."""
    return actions + [
        StartAttempt(a.request_id, next(iter(gateway.cluster.endpoints.by_id)), 0.5)
        for a in actions
        if isinstance(a, RejectRequest)
    ]


def keep(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    return actions


class Deaf(Gateway):
    """Hears of no server that leaves."""

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, EndpointsChanged) and event.kind is EndpointListKind.UPDATE:
            event = replace(event, endpoints=tuple(replace(b, readiness=Readiness.READY) for b in event.endpoints))
        return super().handle(now, event)


@pytest.mark.parametrize(
    ("rule", "make", "changes"),
    [
        ("one answer", planted(swallow), {}),
        ("no effect twice", planted(again), {"faults": [FAULTS[8]]}),
        ("copies", planted(twice), {}),
        ("nothing after the end", planted(late), {}),
        (
            "drain",
            Deaf,
            {
                "seconds": 6.0,
                "rules": {"drain_grace_s": 0.5},
                "faults": [{"kind": "roll-servers", "at": 0.5, "lasts": 1, "share": 0.5, "warning_s": 5}],
            },
        ),
        (
            "ceiling",
            planted(keep, lambda s: replace(s, plans=tuple(replace(p, rate=0.0, ceiling_rate=0.0) for p in s.plans))),
            {"load": {"heavy": 1.0, "heavy_x": 6.0, "use": 0.1}, "seconds": 5.0},
        ),
        (
            "cold",
            planted(keep, lambda s: replace(s, slow_start_duration=0.0)),
            {
                "fleet": {"cold_share": 0.05, "cold_s": 20},
                "rules": {"fall_factor": 1.0},
                "seconds": 8.0,
                "load": {"use": 0.8},
                "faults": [{"kind": "lose-zone", "at": 1, "lasts": 1, "zone": 0}],
            },
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_broken_rule_that_was_planted_is_found(rule: str, make: GatewayFactory, changes: dict[str, Any]) -> None:
    one = experiment(**changes)
    assert exact(one, 2)["broken"] == {}
    assert exact(one, 2, make)["broken"].get(rule, 0) > 0


def test_a_rule_that_breaks_is_shrunk_to_a_smaller_experiment_that_breaks_it_too() -> None:
    one = experiment(*FAULTS[:4], seconds=6.0)
    small = shrink(one, "one answer", lambda found: exact(found, 2, planted(swallow))["broken"], max_plays=40)
    assert exact(small, 2, planted(swallow))["broken"]["one answer"] > 0
    assert (len(small.faults), small.seconds <= 3.0, small.fleet.gateways <= 2) == (0, True, True)
    assert read_experiment(to_toml(small)) == small


def test_gateways_that_see_the_servers_shed_by_their_queues() -> None:
    one = experiment(
        {"kind": "burst", "at": 1, "lasts": 2, "factor": 6.0},
        versions=[{"name": "now"}, {"name": "sees", "sees": True}],
    )
    assert factory_builder("now", one) is None
    world = Simulation(one, 1, factory_builder=factory_builder("sees", one))
    gateway = world.gateways[0].decisions
    assert isinstance(gateway, Gateway)
    aim, work = 0.6, one.load.work_ms / 1000
    pace = sum(server.pace() * server.cores for server in world.servers.values()) / len(world.servers)
    for now, held in ((10.0, 0), (20.0, 2), (30.0, 10)):
        for server in world.servers.values():
            server.busy = held
        slowed = sum(server.pace() * server.cores for server in world.servers.values()) / len(world.servers)
        assert slowed <= pace
        aims = max(2, held) * work / slowed / aim  # two cores: what is held, one behind another, on both
        assert gateway.cluster.load_shedder.saturation(now) == pytest.approx(
            (aims - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START)
        )
    found = Simulation(one, 1, factory_builder=factory_builder("sees", one)).run()["exact"]
    assert found["broken"] == {} and found["totals"] != exact(one, 1)["totals"]


def test_an_interrupted_play_tells_what_it_measured() -> None:
    world = Simulation(experiment(seconds=3.0), 1)
    world.kernel.at(1.5, world.interrupt)
    found = world.run()["exact"]
    assert (found["whole"], found["seconds"]) == (False, 1.5)
    whole = exact(experiment(seconds=3.0), 1)
    assert found["series"][0] == whole["series"][0]  # the same day, cut short


def test_a_long_day_holds_no_more_than_a_short_one() -> None:
    def held(seconds: float) -> tuple[int, int]:
        world = Simulation(experiment(seconds=seconds, load={"use": 0.3}, fleet={"gateways": 2, "servers": 2}), 1)
        world.run()
        gc.collect()
        return (
            world.kernel.pending(),
            sum(len(g.pending) + sum(map(len, g.open_attempts.values())) for g in world.gateways),
        )

    short, long = held(5.0), held(50.0)
    assert long[1] == short[1] == 0
    assert long[0] <= short[0] + 10  # timers of the modules; nothing of requests that are over


def test_every_fault_of_an_experiment_is_named_with_its_key() -> None:
    with pytest.raises(ExperimentError) as error:
        read_experiment("""
            name = ""
            seconds = -1
            colour = "red"
            [fleet]
            gateways = 0
            [[faults]]
            kind = "lose-zone"
            at = "soon"
            [[faults]]
            kind = "earthquake"
            at = 1
        """)
    told = "\n".join(error.value.faults)
    for key in ("name", "seconds", "colour", "fleet.gateways", "faults.0.lose-zone.at", "faults.1"):
        assert any(line.startswith(key + ":") for line in error.value.faults), (key, told)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"faults": [{"kind": "lose-zone", "at": 2, "lasts": 2, "zone": 0}]}, "faults.0"),
        ({"faults": [{"kind": "cut-zone", "at": 1, "lasts": 1, "zone": 5}]}, "faults.0.zone"),
        ({"plans": [PLANS[0], PLANS[0]]}, "plans"),
        ({"plans": [{"name": "free", "rate": 0}]}, "plans.0"),
        ({"plans": [{"name": "p", "ceiling_rate": 1.0}]}, "plans.0.ceiling_burst"),
        ({"classes": [{"name": "c", "aim_s": 3.0}]}, "classes.0.deadline_s"),
        ({"listing": {"add_s": [3, 1]}}, "listing.add_s"),
        ({"sockets": True, "fleet": {"gateways": 1025}}, "fleet.gateways"),
        ({"sockets": True, "versions": [{"name": "sees", "sees": True}]}, "versions"),
        ({"seeds": [1, 1]}, "seeds"),
    ],
)
def test_what_can_not_hold_together_is_named(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ExperimentError) as error:
        experiment(**changes)
    assert [line for line in error.value.faults if line.startswith(key + ":")]


@settings(max_examples=50, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(st.tuples(st.floats(0, 10), st.integers(0, 3)), max_size=40))
def test_calls_come_in_the_order_of_their_times_and_of_their_making(calls: list[tuple[float, int]]) -> None:
    kernel, seen = Kernel(), list[tuple[float, int]]()

    def call(number: int, more: int) -> None:
        seen.append((kernel.now, number))
        for step in range(more):
            kernel.after(step / 2, call, 1000 + len(seen), 0)

    for number, (when, more) in enumerate(calls):
        kernel.at(when, call, number, more)
    kernel.run(100.0)
    assert [when for when, _ in seen] == sorted(when for when, _ in seen)
    assert kernel.events == len(calls) + sum(more for _, more in calls)
    firsts = [number for _, number in seen if number < 1000]
    assert firsts == sorted(range(len(calls)), key=lambda number: (calls[number][0], number))


def test_a_further_stream_changes_none_of_those_before() -> None:
    few, more = random_streams(1, ("a", "b")), random_streams(1, ("a", "b", "c"))
    assert [few["b"].uniform() for _ in range(5)] == [more["b"].uniform() for _ in range(5)]


def test_lognormal_draws_have_the_mean_and_the_deviation_that_were_asked_for() -> None:
    draws = random_streams(1, ("a",))["a"]
    found = [draws.lognormal(0.075, 1.0) for _ in range(40_000)]
    mean = sum(found) / len(found)
    assert mean == pytest.approx(0.075, rel=0.03)
    assert (sum((x - mean) ** 2 for x in found) / len(found)) ** 0.5 == pytest.approx(0.075, rel=0.1)
    assert isinstance(draws, RandomStream)


def test_a_cold_server_is_pushed_over_only_by_those_who_knew() -> None:
    one = experiment(fleet={"cold_s": 10}, rules={"fall_factor": 2.0, "fall_s": 1.0})
    for knew, broken in ((True, 1), (False, 0)):
        rules = RuleChecker(one, 0.125)
        fell = [rules.add_work(5.0 + n / 100, "s", 0.125, knew, 1.0, True) for n in range(21)]
        # 2 s of work in the window and four mean requests for chance: the 21st is too much.
        assert fell == [False] * 20 + [True]
        assert rules.counts["cold"] == broken


def test_a_refusal_of_what_may_have_run_is_a_break() -> None:
    one = experiment()
    rules, pay = RuleChecker(one, 0.1), one.classes[2]
    record = RequestRecord("1.1", pay, one.plans[0], 1, 1.0, 10.0)
    rules.check_attempt(1.0, record, "s", 0, 0)
    rules.end_attempt(record, 0, Outcome.REJECTED)
    rules.check_rejection(1.1, record)
    assert not rules.counts  # a full server proves that it never ran
    rules.check_attempt(1.2, record, "s", 0, 0)
    rules.end_attempt(record, 1, Outcome.RESET)
    rules.check_rejection(1.3, record)
    assert rules.counts == {"no effect twice": 1}


def test_thousands_of_servers_are_held_in_bounded_memory(tmp_path: Path) -> None:
    """A third of them vanishes and returns; about a kilobyte for each gateway and server is what it may take."""
    path = tmp_path / "many.toml"
    path.write_text(
        to_toml(
            build_experiment(
                {
                    "name": "many",
                    "seconds": 2.0,
                    "fleet": {"gateways": 40, "servers": 2000, "zones": 3},
                    "load": {"rate": 200},
                    "faults": [{"kind": "lose-zone", "at": 0.5, "lasts": 0.5, "zone": 1}],
                }
            )
        ),
        encoding="utf-8",
    )
    code = (
        "import sys; from ingress.emulator.play import main; main(sys.argv[1:]); "
        "print(open('/proc/self/status').read().split('VmHWM:')[1].split()[0])"
    )  # ru_maxrss outlives exec
    said = subprocess.run(
        [sys.executable, "-c", code, str(path), "1", str(tmp_path), "now"],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split("\n")
    assert json.loads(said[0])["exact"]["broken"] == {}
    assert int(said[1]) < (80 << 10) + 2 * 40 * 2000  # KiB: the program, and two for each pair
