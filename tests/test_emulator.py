"""The emulator in simulated time: runs are reproducible, violations of rules are found, and memory stays bounded."""

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
from ingress.emulator.world import Simulation, make_gateway_factory_builder

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


def run_exact(spec: Experiment, seed: int, gateway_factory: GatewayFactory = Gateway) -> dict[str, Any]:
    result: dict[str, Any] = Simulation(spec, seed, gateway_factory).run()["exact"]
    return result


def test_the_same_seed_gives_the_same_result_over_a_hundred_seeds() -> None:
    spec = experiment(FAULTS[0], FAULTS[4], seconds=2.0, fleet={"gateways": 2, "servers": 4})
    results = [json.dumps(run_exact(spec, seed), sort_keys=True) for seed in range(100)]
    assert [json.dumps(run_exact(spec, seed), sort_keys=True) for seed in range(100)] == results
    assert len(set(results)) == 100  # The results of different seeds differ.


def test_a_process_with_another_hash_seed_gives_the_same_result(tmp_path: Path) -> None:
    path = tmp_path / "one.toml"
    path.write_text(to_toml(experiment(FAULTS[0], FAULTS[4])), encoding="utf-8")
    outputs = [
        subprocess.run(
            [sys.executable, "-m", "ingress.emulator.play", str(path), "7", str(tmp_path), "now"],
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            capture_output=True,
            check=True,
        ).stdout
        for hash_seed in ("1", "2")
    ]
    first, second = (json.loads(text)["exact"] for text in outputs)
    assert first == second == json.loads(json.dumps(run_exact(load_experiment(path), 7)))


def test_versions_receive_the_same_first_submissions_whatever_they_decide() -> None:
    class RejectingGateway(Gateway):
        def handle(self, now: float, event: Event) -> list[Action]:
            return (
                [RejectRequest(event.request_id)] if isinstance(event, RequestReceived) else super().handle(now, event)
            )

    spec = experiment(FAULTS[13])
    first_submissions = [
        [(row["second"], row.get("first tries")) for row in run_exact(spec, 3, factory)["series"] if row["second"] < 3]
        for factory in (Gateway, RejectingGateway)
    ]
    assert first_submissions[0] == first_submissions[1]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: "-".join(str(fault.get(k, "")) for k in ("kind", "mode")))
def test_each_fault_has_an_effect_and_causes_no_violation(fault: dict[str, Any]) -> None:
    # An outage of discovery has an effect only if there are changes to publish.
    base = [FAULTS[3]] if fault["kind"] == "discovery-down" else []
    baseline = run_exact(experiment(*base), 5)
    found = run_exact(experiment(*base, fault), 5)
    assert found["broken"] == {}
    assert found["totals"] != baseline["totals"]
    assert found["totals"]["served"] > 0.3 * baseline["totals"]["served"]
    ends = sum(found["totals"].get(key, 0) for key in ("served", "served late", "unserved", "left by clients"))
    assert ends == found["totals"]["first tries"]  # Each request ends once.


# Bugs injected into the decision module, each of which must be found by its rule.


def inject(
    change: Callable[[Gateway, float, Event, list[Action]], list[Action]],
    adapt: Callable[[Settings], Settings] = lambda settings: settings,
) -> GatewayFactory:
    class BuggyGateway(Gateway):
        def handle(self, now: float, event: Event) -> list[Action]:
            return change(self, now, event, super().handle(now, event))

    return lambda settings, seed: BuggyGateway(adapt(settings), seed)


def drop_rejections(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    return [
        action
        for action in actions
        if not isinstance(action, RejectRequest) or int(action.request_id.partition(".")[0], 16) % 50
    ]


def resend_after_error(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    """Send a request again that may have run, whatever its idempotency."""
    if isinstance(event, AttemptEnded) and event.outcome is Outcome.ERROR and not event.attempt:
        other_actions = [action for action in actions if not isinstance(action, RejectRequest | FailRequest)]
        return [*other_actions, StartAttempt(event.request_id, event.endpoint_id, 0.5)]
    return actions


def send_three_times(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    return [action for action in actions for _ in range(3 if isinstance(action, StartAttempt) else 1)]


def send_after_rejection(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    """Send an attempt of a request that was rejected."""
    return actions + [
        StartAttempt(action.request_id, next(iter(gateway.cluster.endpoints.by_id)), 0.5)
        for action in actions
        if isinstance(action, RejectRequest)
    ]


def keep_actions(gateway: Gateway, now: float, event: Event, actions: list[Action]) -> list[Action]:
    return actions


class DrainIgnoringGateway(Gateway):
    """Ignores that servers leave."""

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, EndpointsChanged) and event.kind is EndpointListKind.UPDATE:
            event = replace(
                event, endpoints=tuple(replace(entry, readiness=Readiness.READY) for entry in event.endpoints)
            )
        return super().handle(now, event)


@pytest.mark.parametrize(
    ("rule", "gateway_factory", "changes"),
    [
        ("one answer", inject(drop_rejections), {}),
        ("no effect twice", inject(resend_after_error), {"faults": [FAULTS[8]]}),
        ("copies", inject(send_three_times), {}),
        ("nothing after the end", inject(send_after_rejection), {}),
        (
            "drain",
            DrainIgnoringGateway,
            {
                "seconds": 6.0,
                "rules": {"drain_grace_s": 0.5},
                "faults": [{"kind": "roll-servers", "at": 0.5, "lasts": 1, "share": 0.5, "warning_s": 5}],
            },
        ),
        (
            "ceiling",
            inject(
                keep_actions, lambda s: replace(s, plans=tuple(replace(p, rate=0.0, ceiling_rate=0.0) for p in s.plans))
            ),
            {"load": {"heavy": 1.0, "heavy_x": 6.0, "use": 0.1}, "seconds": 5.0},
        ),
        (
            "cold",
            inject(keep_actions, lambda s: replace(s, slow_start_duration=0.0)),
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
def test_an_injected_violation_is_found(rule: str, gateway_factory: GatewayFactory, changes: dict[str, Any]) -> None:
    spec = experiment(**changes)
    assert run_exact(spec, 2)["broken"] == {}
    assert run_exact(spec, 2, gateway_factory)["broken"].get(rule, 0) > 0


def test_an_experiment_is_shrunk_to_a_smaller_one_that_violates_the_same_rule() -> None:
    spec = experiment(*FAULTS[:4], seconds=6.0)
    small = shrink(
        spec, "one answer", lambda found: run_exact(found, 2, inject(drop_rejections))["broken"], max_plays=40
    )
    assert run_exact(small, 2, inject(drop_rejections))["broken"]["one answer"] > 0
    assert (len(small.faults), small.seconds <= 3.0, small.fleet.gateways <= 2) == (0, True, True)
    assert read_experiment(to_toml(small)) == small


def test_gateways_with_the_true_state_of_the_servers_shed_load_by_their_queues() -> None:
    spec = experiment(
        {"kind": "burst", "at": 1, "lasts": 2, "factor": 6.0},
        versions=[{"name": "now"}, {"name": "sees", "sees": True}],
    )
    assert make_gateway_factory_builder("now", spec) is None
    simulation = Simulation(spec, 1, factory_builder=make_gateway_factory_builder("sees", spec))
    gateway = simulation.gateways[0].decisions
    assert isinstance(gateway, Gateway)
    latency_objective = 0.6
    work = spec.load.work_ms / 1000
    pace = sum(server.pace() * server.cores for server in simulation.servers.values()) / len(simulation.servers)
    for now, busy in ((10.0, 0), (20.0, 2), (30.0, 10)):
        for server in simulation.servers.values():
            server.busy = busy
        slowed_pace = sum(server.pace() * server.cores for server in simulation.servers.values()) / len(
            simulation.servers
        )
        assert slowed_pace <= pace
        objectives = max(2, busy) * work / slowed_pace / latency_objective  # The requests run one by one on two cores.
        assert gateway.cluster.load_shedder.saturation(now) == pytest.approx(
            (objectives - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START)
        )
    found = Simulation(spec, 1, factory_builder=make_gateway_factory_builder("sees", spec)).run()["exact"]
    assert found["broken"] == {} and found["totals"] != run_exact(spec, 1)["totals"]


def test_an_interrupted_run_returns_its_measurements() -> None:
    simulation = Simulation(experiment(seconds=3.0), 1)
    simulation.kernel.at(1.5, simulation.interrupt)
    found = simulation.run()["exact"]
    assert (found["whole"], found["seconds"]) == (False, 1.5)
    complete = run_exact(experiment(seconds=3.0), 1)
    assert found["series"][0] == complete["series"][0]  # The same run, ended early.


def test_a_long_run_retains_no_more_state_than_a_short_one() -> None:
    def retained_state(seconds: float) -> tuple[int, int]:
        simulation = Simulation(experiment(seconds=seconds, load={"use": 0.3}, fleet={"gateways": 2, "servers": 2}), 1)
        simulation.run()
        gc.collect()
        return (
            simulation.kernel.pending(),
            sum(len(g.pending) + sum(map(len, g.open_attempts.values())) for g in simulation.gateways),
        )

    short = retained_state(5.0)
    long = retained_state(50.0)
    assert long[1] == short[1] == 0
    assert long[0] <= short[0] + 10  # Timers of the decision modules, and no calls of ended requests.


def test_every_error_of_an_experiment_is_reported_with_its_key() -> None:
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
    reported = "\n".join(error.value.faults)
    for key in ("name", "seconds", "colour", "fleet.gateways", "faults.0.lose-zone.at", "faults.1"):
        assert any(line.startswith(key + ":") for line in error.value.faults), (key, reported)


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
def test_contradicting_settings_are_reported(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ExperimentError) as error:
        experiment(**changes)
    assert [line for line in error.value.faults if line.startswith(key + ":")]


@settings(max_examples=50, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(st.tuples(st.floats(0, 10), st.integers(0, 3)), max_size=40))
def test_calls_run_in_the_order_of_their_times_and_of_their_scheduling(calls: list[tuple[float, int]]) -> None:
    kernel = Kernel()
    seen: list[tuple[float, int]] = []

    def call(number: int, nested_calls: int) -> None:
        seen.append((kernel.now, number))
        for step in range(nested_calls):
            kernel.after(step / 2, call, 1000 + len(seen), 0)

    for number, (when, nested_calls) in enumerate(calls):
        kernel.at(when, call, number, nested_calls)
    kernel.run(100.0)
    assert [when for when, _ in seen] == sorted(when for when, _ in seen)
    assert kernel.events == len(calls) + sum(nested_calls for _, nested_calls in calls)
    scheduled_first = [number for _, number in seen if number < 1000]
    assert scheduled_first == sorted(range(len(calls)), key=lambda number: (calls[number][0], number))


def test_an_appended_stream_changes_no_stream_before_it() -> None:
    few, more = random_streams(1, ("a", "b")), random_streams(1, ("a", "b", "c"))
    assert [few["b"].uniform() for _ in range(5)] == [more["b"].uniform() for _ in range(5)]


def test_lognormal_draws_have_the_requested_mean_and_coefficient_of_variation() -> None:
    stream = random_streams(1, ("a",))["a"]
    drawn = [stream.lognormal(0.075, 1.0) for _ in range(40_000)]
    mean = sum(drawn) / len(drawn)
    assert mean == pytest.approx(0.075, rel=0.03)
    assert (sum((value - mean) ** 2 for value in drawn) / len(drawn)) ** 0.5 == pytest.approx(0.075, rel=0.1)
    assert isinstance(stream, RandomStream)


def test_the_collapse_of_a_cold_server_is_a_violation_only_if_gateways_knew_of_its_start() -> None:
    spec = experiment(fleet={"cold_s": 10}, rules={"fall_factor": 2.0, "fall_s": 1.0})
    for is_informed, violations in ((True, 1), (False, 0)):
        rules = RuleChecker(spec, 0.125)
        collapsed = [rules.add_work(5.0 + n / 100, "s", 0.125, is_informed, 1.0, True) for n in range(21)]
        # The budget is 2 s of work in the window and four mean requests: the 21st request exceeds it.
        assert collapsed == [False] * 20 + [True]
        assert rules.counts["cold"] == violations


def test_the_rejection_of_a_request_that_may_have_run_is_a_violation() -> None:
    spec = experiment()
    rules = RuleChecker(spec, 0.1)
    pay = spec.classes[2]
    record = RequestRecord("1.1", pay, spec.plans[0], 1, 1.0, 10.0)
    rules.check_attempt(1.0, record, "s", 0, 0)
    rules.end_attempt(record, 0, Outcome.REJECTED)
    rules.check_rejection(1.1, record)
    assert not rules.counts  # A rejection by the server proves that the attempt never ran.
    rules.check_attempt(1.2, record, "s", 0, 0)
    rules.end_attempt(record, 1, Outcome.RESET)
    rules.check_rejection(1.3, record)
    assert rules.counts == {"no effect twice": 1}


def test_thousands_of_servers_need_bounded_memory(tmp_path: Path) -> None:
    """A third of the servers vanishes and returns.

    A pair of a gateway and a server should take about 1 KiB; the limit is 2 KiB, in addition to 80 MiB for the program.
    """
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
    )  # VmHWM, as ru_maxrss survives exec.
    lines = subprocess.run(
        [sys.executable, "-c", code, str(path), "1", str(tmp_path), "now"],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split("\n")
    assert json.loads(lines[0])["exact"]["broken"] == {}
    assert int(lines[1]) < (80 << 10) + 2 * 40 * 2000  # In KiB: the program, and 2 for each pair.
