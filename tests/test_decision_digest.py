"""Digests of all actions of the gateway for fixed seeds; refactoring and renaming must not change them.

There are two kinds of inputs: scenarios of the emulator, and streams of events drawn for one gateway.  Only the table
in `tests/decision_log.py` and the constructors of events depend on the names of types and fields.

`python -m tests.test_decision_digest` records the digests again; use it only after an intended change of decisions.

The random draws of the emulator use `numpy.exp`.  With AVX-512 numpy uses its own implementation, elsewhere that of the
C library, and the last bits of a draw differ.  Each of the two therefore has its own table of digests of the scenarios;
one of them applies on any machine.
"""

from __future__ import annotations

import functools
import json
import math
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from ingress.decisions.settings import Settings
from ingress.emulator.experiment import build_experiment
from ingress.emulator.world import Simulation
from tests.decision_log import RecordedGateway, digest
from tests.decision_stream import STREAMS, EventStream

GOLDEN = Path(__file__).resolve().parent / "golden" / "decision_digests.json"
GOLDEN_DAYS_LIBM = GOLDEN.with_name("decision_digests_libm.json")
EXP_SAMPLES = 65_536

CLASSES = [
    {"name": "read", "share": 3},
    {"name": "order", "semantics": "keyed", "window_s": 2.0, "worth": 3.0, "scope": "zone"},
    {"name": "note", "semantics": "keyed", "window_s": 1.0, "scope": "cell", "late_worth": 0.0, "work": 2.0},
    {"name": "pay", "semantics": "unsafe", "worth": 5.0, "aim_s": 1.0},
]
PLANS = [
    {"name": "basic", "rate": 4.0, "burst": 10.0, "ceiling_rate": 8.0, "ceiling_burst": 20.0, "ceiling_slack": 4.0},
    {"name": "capped", "rate": 3.0, "burst": 6.0, "at_once": 2, "over_cost": 1.5, "price": 2.0},
    {"name": "at once", "rate": 0.0, "burst": 0.0, "at_once": 3, "share": 0.3},
]


def fault(kind: str, at: float = 1.0, lasts: float = 1.5, **keys: Any) -> dict[str, Any]:
    return {"kind": kind, "at": at, "lasts": lasts} | keys


SCENARIOS: dict[str, dict[str, Any]] = {
    "calm": {},
    "full": {"load": {"use": 1.1}, "fleet": {"second_copies": False}},
    "killed and rolled gateways": {"faults": [fault("kill-gateways"), fault("roll-gateways", 2.0, steps=2)]},
    "paused gateways": {"faults": [fault("pause-gateways", share=0.5)], "fleet": {"probes": False}},
    "rolled servers": {"faults": [fault("roll-servers", 0.5, 2.0, share=0.5, warning_s=1.0)]},
    "a zone lost and back, cold": {"faults": [fault("lose-zone", zone=1), fault("cut-zone", 3.0, 0.5, zone=0)]},
    "crashes, no list": {"faults": [fault("crash-servers", share=0.4), fault("discovery-down", 0.5, 2.5)]},
    **{
        f"spoilt servers: {mode}": {"faults": [fault("spoil-servers", share=0.3, mode=mode)], "load": {"use": 0.7}}
        for mode in ("slow", "errors", "silent", "spoilt", "refuse")
    },
    "settings change, bursts": {
        "faults": [fault("reload", 1.5, 0.0, factor=0.5), fault("burst", factor=4.0, customers=3)]
    },
    "forgotten servers, losses": {
        "faults": [fault("forget-servers"), fault("lossy", 0.5, 2.5, loss=0.1, reset=0.1)],
        "fleet": {"max_attempts": 2, "servers": 30},
    },
}


def run_scenario(name: str) -> list[str]:
    changes = SCENARIOS[name]
    fleet = {"gateways": 4, "servers": 8, "zones": 2, "cold_s": 3.0} | changes.get("fleet", {})
    source = {"name": "digest", "seconds": 4.0, "classes": CLASSES, "plans": PLANS, "load": {"use": 0.5}}
    lines: list[str] = []
    gateways: list[RecordedGateway] = []

    def make(settings: Settings, seed: int) -> RecordedGateway:
        gateways.append(RecordedGateway(settings, seed, lines))
        return gateways[-1]

    world = Simulation(build_experiment(source | changes | {"fleet": fleet}), 11, make)
    world.run()
    for gateway in gateways:
        gateway.finish(world.kernel.now)
    return lines


@functools.cache
def numpy_uses_libm() -> bool:
    """Return whether `numpy.exp` equals that of the C library, bit by bit, for arguments in the range of the draws."""
    arguments = np.linspace(-5.0, 5.0, EXP_SAMPLES)
    by_numpy: list[float] = np.exp(arguments).tolist()
    return by_numpy == [math.exp(argument) for argument in arguments.tolist()]


def golden(kind: str, name: str) -> Any:
    path = GOLDEN_DAYS_LIBM if kind == "days" and numpy_uses_libm() else GOLDEN
    return json.loads(path.read_text(encoding="utf-8"))[kind][name]


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_scenario_of_the_emulator_has_the_recorded_decisions(name: str) -> None:
    assert digest(run_scenario(name)) == golden("days", name)


@pytest.mark.parametrize("name", STREAMS)
def test_a_stream_of_events_has_the_recorded_decisions(name: str) -> None:
    assert digest(EventStream(name).run()) == golden("streams", name)


def record() -> None:
    """Record the streams and the scenarios for this machine's `numpy.exp`; the other table needs another machine."""
    days = {name: digest(run_scenario(name)) for name in SCENARIOS}
    streams = {name: digest(EventStream(name).run()) for name in STREAMS}
    GOLDEN.parent.mkdir(exist_ok=True)
    found = json.loads(GOLDEN.read_text(encoding="utf-8")) if GOLDEN.exists() else {}
    if numpy_uses_libm():
        GOLDEN_DAYS_LIBM.write_text(json.dumps({"days": days}, indent=2) + "\n", encoding="utf-8")
    else:
        found["days"] = days
    GOLDEN.write_text(json.dumps(found | {"streams": streams}, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    record()
