"""Combined faults in a fleet of forty gateways, in simulated time: rules hold, and service recovers soon after.

Each run has requests of idempotent classes, of classes with an idempotency key, and of classes that are not idempotent.
"""

from __future__ import annotations

from collections import Counter
from functools import cache
from typing import Any

import pytest

from ingress.decisions.actions import Action
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import AttemptEnded, Event, RequestReceived
from ingress.decisions.gateway import Gateway
from ingress.emulator.experiment import build_experiment
from ingress.emulator.world import Simulation

GATEWAYS = 40
CLASSES = [
    {"name": "read", "share": 3},
    {"name": "order", "semantics": "keyed", "window_s": 2.0},
    {"name": "pay", "semantics": "unsafe"},
]
PLANS = [
    {"name": "society", "rate": 8.0, "burst": 24.0, "ceiling_rate": 16.0, "ceiling_burst": 48.0, "ceiling_slack": 5}
]
FAULT_START_S = 4.0
RECOVERED_AT_S = 10.0  # the time by which service must have recovered
END_S = 14.0
DISCOVERY_OUTAGE = {"kind": "discovery-down", "at": 3, "lasts": 4}
COMBINED_FAULTS: dict[str, list[dict[str, Any]]] = {
    "a restart during a discovery outage": [
        DISCOVERY_OUTAGE,
        {"kind": "roll-servers", "at": 3, "lasts": 2, "share": 0.3, "warning_s": 1},
        {"kind": "kill-gateways", "at": 4, "lasts": 0.5, "share": 0.7},
    ],
    "a zone that is lost and returns within one timeout": [{"kind": "lose-zone", "at": 4, "lasts": 0.4, "zone": 1}],
    "an endpoint list that drops most entries and restores them": [
        {"kind": "forget-servers", "at": 4, "lasts": 1.5, "share": 0.7}
    ],
    "servers that are new, cold and failing": [
        {"kind": "crash-servers", "at": 3, "lasts": 0.5, "share": 0.5},
        {"kind": "spoil-servers", "at": 4.0, "lasts": 3, "share": 0.5, "mode": "errors"},
    ],
    "servers that are new, cold and silent": [
        {"kind": "crash-servers", "at": 3, "lasts": 0.5, "share": 0.5},
        {"kind": "spoil-servers", "at": 4.0, "lasts": 3, "share": 0.3, "mode": "silent"},
    ],
}


def run_experiment(
    faults: list[dict[str, Any]],
    seed: int,
    fleet: dict[str, Any] | None = None,
    load: dict[str, Any] | None = None,
    plans: list[dict[str, Any]] = PLANS,
) -> dict[str, Any]:
    """Run the emulator, and return its result, with the requests by gateway and the successes by class.

    Both are added to the result, under `requests_by_gateway` and `successes_by_class`.
    """
    requests_by_gateway: Counter[int] = Counter()
    successes_by_class: Counter[str] = Counter()

    class CountingGateway(Gateway):
        def handle(self, now: float, event: Event) -> list[Action]:
            if isinstance(event, RequestReceived):
                requests_by_gateway[self.settings.gateway_index] += 1
            elif isinstance(event, AttemptEnded) and event.outcome is Outcome.OK and event.request_id in self.requests:
                successes_by_class[self.requests[event.request_id].request_class.name] += 1
            return super().handle(now, event)

    experiment = build_experiment(
        {
            "name": "hard",
            "seconds": END_S,
            "classes": CLASSES,
            "plans": plans,
            "faults": faults,
            "fleet": {"gateways": GATEWAYS, "servers": 30, "zones": 3, "cold_s": 4, "cancel": "none"} | (fleet or {}),
            "load": {"use": 0.35, "notice_s": (0.3, 0.5)} | (load or {}),
        }
    )
    result: dict[str, Any] = Simulation(experiment, seed, CountingGateway).run()["exact"]
    return result | {"requests_by_gateway": requests_by_gateway, "successes_by_class": successes_by_class}


@cache
def run_without_faults(seed: int) -> dict[str, Any]:
    return run_experiment([], seed)


def served_share(result: dict[str, Any], start: float, end: float) -> float:
    """Return the share of the clients' first attempts that were served in time, of those that ended in this period."""
    rows = [row for row in result["series"] if start <= row["second"] < end]
    return float(sum(row.get("served", 0) for row in rows) / sum(row.get("first tries", 0) for row in rows))


def check_invariants(result: dict[str, Any]) -> None:
    """Check that no rule is violated, each desired request ends once, and requests of each class were answered."""
    assert result["broken"] == {}, result["breaks"]
    ended = sum(result["totals"].get(key, 0) for key in ("served", "served late", "unserved", "left by clients"))
    assert ended == result["totals"]["first tries"]
    assert all(result["successes_by_class"][name] for name in ("read", "order", "pay"))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("case", COMBINED_FAULTS)
def test_service_recovers_soon_and_no_rule_is_violated(case: str, seed: int) -> None:
    baseline = run_without_faults(seed)
    result = run_experiment(COMBINED_FAULTS[case], seed)
    check_invariants(baseline)
    check_invariants(result)
    # The faults had an effect.
    assert served_share(result, FAULT_START_S, FAULT_START_S + 2) < served_share(
        baseline, FAULT_START_S, FAULT_START_S + 2
    )
    assert served_share(result, RECOVERED_AT_S, END_S) > 0.95 * served_share(baseline, RECOVERED_AT_S, END_S)


@pytest.mark.parametrize("seed", [1, 2])
def test_attempts_at_servers_with_full_connection_tables_are_retried_and_no_rule_is_violated(seed: int) -> None:
    """The servers accept a third of the connections that the gateways would open.

    Attempts that get no connection never ran, and are retried at other servers.
    """
    baseline = run_without_faults(seed)
    result = run_experiment([], seed, {"connections_per_core": 4})
    check_invariants(result)
    assert result["totals"]["handshakes"] > 2 * baseline["totals"]["handshakes"]  # the limit had an effect
    assert served_share(result, 2, END_S) > 0.8 * served_share(baseline, 2, END_S)


@pytest.mark.parametrize("seed", [1, 2])
def test_gateways_with_a_tenth_and_with_several_times_the_mean_traffic_violate_no_rule(seed: int) -> None:
    """A few large customers send most of their requests to a few of their gateways, and a zone is lost in between."""
    large = [
        PLANS[0] | {"rate": 200.0, "burst": 400.0, "ceiling_rate": 400.0, "ceiling_burst": 800.0, "ceiling_slack": 80}
    ]
    result = run_experiment(
        [{"kind": "lose-zone", "at": 4, "lasts": 2, "zone": 1}],
        seed,
        None,
        {"uneven": 4.0, "spread": 0.3, "heavy": 0.0},
        large,
    )
    check_invariants(result)
    requests = result["requests_by_gateway"]
    mean = requests.total() / GATEWAYS
    assert max(requests.values()) > 3 * mean and min(requests[number] for number in range(GATEWAYS)) <= mean / 10
    assert served_share(result, RECOVERED_AT_S, END_S) > 0.2
