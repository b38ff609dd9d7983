"""Tests of the report on units that a fleet forwarded over its customers' quotas."""

from __future__ import annotations

import json
import logging
import random
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import pytest
from click.testing import CliRunner, Result

from ingress.configuration.document import read_config
from ingress.decisions.settings import Settings
from ingress.emulator.clients import ClientPopulation
from ingress.emulator.experiment import build_experiment
from ingress.emulator.gateways import GatewayHost
from ingress.emulator.requests import PendingRequest
from ingress.emulator.world import Simulation
from ingress.ingressctl.main import main
from ingress.observability.quota_replay import (
    Example,
    Origin,
    PlanReport,
    QuotaReport,
    Tally,
    build_report,
    report_on_quotas,
)
from ingress.observability.quota_text import as_text
from ingress.observability.request_log import UNKNOWN_NAMES, FleetLog, TooManyRequestsError
from ingress.runtime.logs import JsonLines
from tests.peers import SETTINGS, RespClient, config, config_text, endpoint_entry, fake_endpoint, resp, run_async
from tests.test_net_ingress import running_ingress

REQUEST_LOGGER = "ingress.requests"
INGRESS_LOGGER = "ingress.ingress"
PLANS = [
    {"name": "basic", "refill": 1.0, "burst": 2.0, "worth-factor": 2.0, "excess-cost": 0.5},
    {"name": "small", "refill": 0.001, "burst": 1.0},
    {"name": "held", "refill": 0.0, "burst": 0.0, "at-once": 1},
]
READ, ORDER = SETTINGS["categories"]
CONFIG = config_text(settings=SETTINGS | {"contracts": PLANS, "categories": [READ, ORDER | {"importance": 3.0}]})
CUSTOMER, OTHER_CUSTOMER = f"{10:016x}", f"{11:016x}"


def settings() -> Settings:
    return read_config(CONFIG).settings


def log_line(at: float, event: str, logger: str = REQUEST_LOGGER, **fields: Any) -> bytes:
    return json.dumps({"time": at, "level": "info", "logger": logger, "event": event} | fields).encode() + b"\n"


def request_line(
    arrival: float, id: str, ms: float = 0.0, event: str = "succeeded", request_class: str = "read", **changes: Any
) -> bytes:
    """Return the log line of a request that arrived at `arrival` and took `ms`."""
    fields: dict[str, Any] = {
        "id": id,
        "class": request_class,
        "plan": "basic",
        "customer": CUSTOMER,
        "units": 1.0,
        "spread": 3,
        "first": 0,
        "repeat": False,
        "attempts": 1,
        "reason": "",
        "ms": ms,
    }
    return log_line(arrival + ms / 1000, event, **(fields | changes))


def rejection_line(arrival: float, id: str, **changes: Any) -> bytes:
    return request_line(arrival, id, event="declined", attempts=0, reason="quota", **changes)


def attempt_line(start: float, end: float, id: str) -> bytes:
    return log_line(end, "attempt", id=id, server="s1", outcome="ok", ms=1000 * (end - start))


def start_line(at: float, logger: str = INGRESS_LOGGER) -> bytes:
    return log_line(at, "n0 serves on 10.0.0.4:7000", logger)


def build_quota_report(*lines: tuple[str, bytes], max_requests: int = 1000) -> QuotaReport:
    """Return the report on log lines, each given with the name of its ingress."""
    log = FleetLog(settings(), max_requests)
    for ingress, text in lines:
        log.read_line(ingress, text)
    return build_report(log)


def report_on_plan(found: QuotaReport, name: str) -> PlanReport:
    [plan] = [plan for plan in found.plans if plan.plan == name]
    return plan


HAND_CALCULATED = (
    # The plan has burst 2 and refills 1 unit per second.  Comments give the units in the bucket of forwarded requests,
    # then those in the bucket of all requests.
    ("n0", request_line(100.0, "a1")),  # 2 - 1 = 1; 2 - 1 = 1
    ("n1", request_line(100.1, "a2")),  # 1.1 - 1 = 0.1; the same
    ("n2", request_line(100.2, "a3")),  # 0.2: over the quota, the first request at n2; 0.2
    ("n0", rejection_line(100.3, "a4")),  # not forwarded; 0.3
    ("n0", request_line(100.4, "a5")),  # 0.4: over the quota, a later request at n0; 0.4
    ("n1", rejection_line(101.2, "a6")),  # not forwarded; 1.2 - 1 = 0.2
    ("n0", request_line(101.3, "a7", request_class="order")),  # 1.3 - 1 = 0.3; 0.3 is not enough
    ("n0", request_line(102.3, "a8", units=2.5)),  # 1.3: over the quota; 1.3
    ("n0", request_line(103.3, "a9", repeat=True, request_class="order")),  # 2 - 1 = 1; the same
)


def test_report_equals_hand_calculated_values() -> None:
    found = build_quota_report(*HAND_CALCULATED)
    assert report_on_plan(found, "basic") == PlanReport(
        "basic",
        asked=Tally(9, 10.5),
        forwarded=Tally(7, 8.5),
        over_quota=Tally(3, 4.5),
        rejected=Tally(2, 2.0),
        over_quota_cost=4.5,  # 4.5 units, times the weight factor 2, times the excess cost 0.5
        within_quota_weight=12.0,  # 2 for each of a1, a2 and a6; 6 for a9, whose class has weight 3
        within_quota_retry_weight=6.0,
        over_quota_cost_share=0.375,
        origin=Origin(first_request=1.0, later_request=3.5),
        customers=1,
        customers_over_quota=1,
        ingresses_over_quota=2,
    )
    [customer] = found.customers
    assert (customer.plan, customer.customer, customer.gateway_count) == ("basic", CUSTOMER, 3)
    assert (customer.forwarded, customer.over_quota) == (Tally(7, 8.5), Tally(3, 4.5))
    assert customer.ingresses == ["n0", "n1", "n2"]
    assert customer.examples == [Example("a3", "n2"), Example("a5", "n0"), Example("a8", "n0")]
    assert found.requests == 9 and found.ingresses == 3 and found.counts == {"lines": 9}


def test_text_form_of_the_report() -> None:
    assert list(as_text(build_quota_report(*HAND_CALCULATED))) == [
        "9 requests at 3 ingresses",
        "read: 9 lines",
        "plan basic: asked 10.5 units (9 requests), sent on 8.5 units (7 requests), beyond 4.5 units (3 requests), "
        "refused 2 units (2 requests)",
        "  cost beyond 4.5 over worth asked inside 12: 37.50% (of that worth, 6 by repeats)",
        "  beyond: 1 of 1 customers, sent on by 2 ingresses",
        "  units beyond: 1 in the first request at an ingress, 3.5 in later ones",
        f"customer {CUSTOMER} (basic): beyond 4.5 units (3 requests) of 8.5 units (7 requests) sent on, "
        "by 3 ingresses, of 3 that it may use: n0, n1, n2",
        "  beyond: a3 at n2, a5 at n0, a8 at n0",
    ]


def test_order_of_lines_and_files_does_not_matter() -> None:
    rng = random.Random(7)
    expected = build_quota_report(*HAND_CALCULATED)
    for _ in range(20):
        assert build_quota_report(*rng.sample(HAND_CALCULATED, len(HAND_CALCULATED))) == expected


def test_requests_of_two_ingresses_are_sorted_by_arrival() -> None:
    """The quota admits one request.  The request at n0 arrives first and is answered last."""
    slow, fast = request_line(10.0, "slow", ms=500.0, plan="small"), request_line(10.1, "fast", ms=100.0, plan="small")
    for lines in ((("n1", fast), ("n0", slow)), (("n0", slow), ("n1", fast))):
        [customer] = build_quota_report(*lines).customers
        assert customer.examples == [Example("fast", "n1")]


def test_each_customer_has_its_own_bucket_and_those_most_over_quota_are_listed() -> None:
    lines = [
        (f"n{copy}", request_line(10.0 + copy / 10, f"c{number}.{copy}", plan="small", customer=f"{number:016x}"))
        for number in range(20)
        for copy in range(number)
    ]
    found = build_quota_report(*lines)
    plan = report_on_plan(found, "small")
    assert plan.customers == 19 and plan.customers_over_quota == 18 and plan.ingresses_over_quota == 18
    assert plan.over_quota == Tally(sum(range(19)), sum(range(19)))
    assert plan.over_quota_cost == 0.0 and plan.over_quota_cost_share == 0.0
    assert [one.customer for one in found.customers] == [f"{number:016x}" for number in range(19, 9, -1)]
    assert [len(one.examples) for one in found.customers] == [3] * 10
    assert len(found.customers[0].ingresses) == 19


def test_open_attempts_at_all_ingresses_count_towards_the_concurrency_limit() -> None:
    found = build_quota_report(
        ("n0", request_line(10.0, "r1", plan="held")),
        ("n0", attempt_line(10.0, 10.5, "r1")),
        ("n1", request_line(10.2, "r2", plan="held")),  # r1 is open: over the quota
        ("n1", attempt_line(10.2, 10.9, "r2")),
        ("n0", request_line(10.6, "r3", plan="held")),  # r2 is open, although over the quota itself: over the quota
        ("n0", request_line(10.6, "r4", plan="held", customer=OTHER_CUSTOMER)),  # of another customer
        ("n0", request_line(10.9, "r5", plan="held")),  # the attempt of r2 has just ended
        ("n0", request_line(20.0, "r1", plan="held")),  # a reused id; its own attempt does not count
        ("n0", attempt_line(20.0, 20.5, "r1")),
        ("n0", request_line(20.2, "r6", plan="held")),  # over the quota
        ("n1", request_line(30.0, "r7", plan="held")),  # its attempt appears to start shortly before its arrival
        ("n1", attempt_line(29.9999, 30.4, "r7")),
        ("n1", attempt_line(29.0, 31.0, "")),  # logged without a request id, as its request had already ended
        ("n2", attempt_line(29.0, 31.0, "r7")),  # n2 received no such request
    )
    assert [one.id for one in found.customers[0].examples] == ["r2", "r3", "r6"]
    plan = report_on_plan(found, "held")
    assert plan.forwarded == Tally(8, 8.0) and plan.over_quota == Tally(3, 3.0)
    assert found.unmatched_attempts == 2
    assert "attempts of no request in these logs, left out: 2" in list(as_text(found))


def test_units_over_quota_after_a_restart_are_reported() -> None:
    found = build_quota_report(
        ("n0", start_line(0.0)),
        ("n0", request_line(1.0, "r1", plan="small")),  # within the quota
        ("n0", request_line(1.1, "r2", plan="small")),  # over the quota, a later request
        ("n0", start_line(5.0)),
        ("n0", request_line(5.1, "r3", plan="small", units=2.0)),  # over the quota, the first request after a restart
        ("n0", request_line(5.2, "r4", plan="small", units=4.0)),  # over the quota, a later request after a restart
        # Over the quota, a first request; n1 was already running when its log began.
        ("n1", request_line(2.0, "r5", plan="small", units=8.0)),
        ("n1", start_line(6.0)),
        ("n1", request_line(6.1, "r6", plan="small", units=16.0)),  # over the quota, the first request after a restart
        # Over the quota, a first request, received just before the start is logged.
        ("n2", request_line(6.8, "r7", plan="small", units=32.0)),
        ("n2", start_line(7.0)),
        ("n2", start_line(7.1, "ingress.discovery.client")),  # another logger: not a start
        ("n2", request_line(7.2, "r8", plan="small", units=64.0)),  # over the quota, a later request
    )
    assert report_on_plan(found, "small").origin == Origin(
        first_request=2.0 + 8.0 + 16.0 + 32.0,
        later_request=1.0 + 4.0 + 64.0,
        after_restart=2.0 + 4.0 + 16.0,
        first_after_restart=2.0 + 16.0,
    )
    assert "  of them after a restart of the ingress: 22, 18 in first requests" in list(as_text(found))


def test_a_rejected_request_counts_as_the_first_at_its_ingress() -> None:
    found = build_quota_report(
        ("n0", request_line(1.0, "r1", plan="small")),
        ("n1", rejection_line(1.1, "r2", plan="small")),
        ("n1", request_line(1.2, "r3", plan="small")),  # over the quota, and not the first request at n1
    )
    assert report_on_plan(found, "small").origin == Origin(later_request=1.0)


def test_a_request_that_an_endpoint_rejected_counts_as_forwarded() -> None:
    plan = report_on_plan(build_quota_report(("n0", request_line(1.0, "r1", event="declined"))), "basic")
    assert plan.forwarded == plan.rejected == plan.asked == Tally(1, 1.0)


def without_field(text: bytes, key: str) -> bytes:
    fields = json.loads(text)
    del fields[key]
    return json.dumps(fields).encode()


MALFORMED_LINES = (
    without_field(request_line(1.0, "x"), "units"),  # written by a build that does not log units
    without_field(request_line(1.0, "x"), "customer"),
    request_line(1.0, "x", units=0.0),
    request_line(1.0, "x", units=-1.0),
    request_line(1.0, "x", units=float("nan")),
    request_line(1.0, "x", units=float("inf")),
    request_line(1.0, "x", units=True),
    request_line(1.0, "x", units="1"),
    request_line(1.0, "x", spread=0),
    request_line(1.0, "x", attempts=-1),
    request_line(1.0, "x", attempts=1.5),
    request_line(1.0, "x", repeat="no"),
    request_line(1.0, "x", customer=7),
    request_line(float("-inf"), "x"),
    log_line(1.0, "succeeded", ms=float("nan")),
    log_line(1.0, "attempt", id="x"),
    b"[]\n",
    b"no line\n",
)


def test_malformed_lines_are_counted_and_the_rest_is_read() -> None:
    lines = [("n0", text) for text in MALFORMED_LINES]
    found = build_quota_report(
        *lines, *HAND_CALCULATED, ("n0", request_line(float("nan"), "x")), ("n0", request_line(1.0, "x", plan="gold"))
    )
    assert found.counts["broken lines"] == len(MALFORMED_LINES) and found.counts["lines outside the window"] == 1
    assert found.counts[UNKNOWN_NAMES] == 1
    assert found.plans == build_quota_report(*HAND_CALCULATED).plans and found.requests == 9
    assert f"{len(MALFORMED_LINES)} broken lines" in list(as_text(found))[1]


def test_files_of_one_ingress_are_read_as_one_log_and_unreadable_ones_are_listed(tmp_path: Path) -> None:
    (tmp_path / "n0.log.1").write_bytes(request_line(1.0, "r1", plan="small"))
    (tmp_path / "n0.log").write_bytes(request_line(1.1, "r2", plan="small") + request_line(1.2, "r3")[:-20])
    (tmp_path / "n1.log.gz").write_bytes(b"no gzip at all")
    found = report_on_quotas([tmp_path], settings())
    assert found.ingresses == 1 and found.requests == 2 and found.counts["broken lines"] == 1
    assert report_on_plan(found, "small").origin == Origin(later_request=1.0)
    assert found.counts["files cut off or unreadable"] == 1 and "n1.log.gz" in found.unreadable[0]


def test_requests_and_attempts_in_memory_are_limited() -> None:
    lines = [("n0", request_line(1.0, "x"))] * 3
    assert build_quota_report(*lines, max_requests=3).requests == 3
    with pytest.raises(TooManyRequestsError, match="more than 2 requests"):
        build_quota_report(*lines, max_requests=2)
    max_attempts = settings().max_attempts * 2
    with pytest.raises(TooManyRequestsError, match=f"more than {max_attempts} attempts"):
        build_quota_report(*[("n0", attempt_line(1.0, 2.0, "x"))] * (max_attempts + 1), max_requests=2)


def test_reads_the_log_of_a_real_ingress(caplog: pytest.LogCaptureFixture) -> None:
    names = b"c=read,t=basic,d=2000,units=2.5,spread=4,first=1,r=1"

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (_, address):
            caller = await RespClient.connect(address)
            assert await caller.request(resp(b"API.READ", CUSTOMER.encode(), b"one", names)) == b"one"

    with caplog.at_level(logging.INFO), caplog.at_level(logging.INFO, REQUEST_LOGGER):
        run_async(body())
    log = FleetLog(settings(), 10)  # these settings have a smaller quota than those of the ingress
    for record in caplog.records:
        log.read_line("n0", JsonLines().format(record).encode())
    found = build_report(log)
    assert "broken lines" not in found.counts and len(log.process_starts["n0"]) == 1
    assert len(log.attempts) == 1 and found.unmatched_attempts == 0
    [customer] = found.customers  # the burst is 2
    assert customer.examples == [Example("one", "n0")] and customer.gateway_count == 4
    assert found.plans[0].over_quota == Tally(1, 2.5) and found.plans[0].origin == Origin(first_request=2.5)


def test_agrees_with_the_counts_of_the_emulator(monkeypatch: pytest.MonkeyPatch) -> None:
    """In a run of six gateways, customers request more than their quotas, and one gateway is killed."""
    plan: dict[str, Any] = {"name": "basic", "rate": 1.0, "burst": 3.0}
    experiment = build_experiment(
        {
            "name": "t",
            "seconds": 16.0,
            "fleet": {"gateways": 6, "servers": 8},
            "load": {"calm_use": [0.8, 2.0], "rate": 40.0},
            "plans": [plan],
            "faults": [{"kind": "kill-gateways", "at": 3, "lasts": 1, "share": 0.2}],
        }
    )
    contracts = [{"name": "basic", "refill": plan["rate"], "burst": plan["burst"]}]
    log = FleetLog(read_config(config_text(settings=SETTINGS | {"contracts": contracts})).settings, 10_000)
    attempt_arrived = ClientPopulation.attempt_arrived

    def log_attempt(population: ClientPopulation, pending: PendingRequest) -> None:
        attempt_arrived(population, pending)
        customer = str(pending.record.customer)
        text = request_line(population.kernel.now, pending.record.id, customer=customer)
        log.read_line(f"n{cast(GatewayHost, pending.gateway).number}", text)

    monkeypatch.setattr(ClientPopulation, "attempt_arrived", log_attempt)
    totals = Simulation(experiment, 3).run()["exact"]["totals"]
    [found] = build_report(log).plans
    assert found.forwarded.requests == totals["sent on"] > 200
    assert found.over_quota.requests == totals["beyond quotas"] > 30
    assert found.ingresses_over_quota == 6


@pytest.fixture
def logs(tmp_path: Path) -> Path:
    """Return a folder with the hand-calculated logs; the configuration file is in its parent folder."""
    folder = tmp_path / "logs"
    folder.mkdir()
    for ingress, text in HAND_CALCULATED:
        with (folder / f"{ingress}.log").open("ab") as file:
            file.write(text)
    (tmp_path / "config.json").write_text(CONFIG, encoding="utf-8")
    return folder


def run_quotas(*words: str | Path) -> Result:
    return CliRunner().invoke(main, ["quotas", *map(str, words)])


def test_quotas_command_prints_the_report(logs: Path) -> None:
    config_file = logs.parent / "config.json"
    done = run_quotas(logs, "--settings", config_file)
    assert done.exit_code == 0 and done.stdout.splitlines() == list(as_text(build_quota_report(*HAND_CALCULATED)))
    done = run_quotas(logs, "--settings", config_file, "--json")
    assert done.exit_code == 0 and json.loads(done.stdout) == build_quota_report(*HAND_CALCULATED).as_plain_data()


def error_line(done: Result) -> str:
    """Return the only line on standard error of a command that failed with exit status 2."""
    assert done.exit_code == 2 and isinstance(done.exception, SystemExit)
    [text] = done.stderr.splitlines()
    return text


def test_invalid_input_is_reported_in_one_line(logs: Path) -> None:
    config_file = logs.parent / "config.json"
    missing = logs.parent / "none"
    other = logs.parent / "other.log"
    assert "no such file" in error_line(run_quotas(missing, "--settings", config_file))
    assert "none: EDGE_CONFIG" in error_line(run_quotas(logs, "--settings", missing))
    assert "EDGE_CONFIG" in error_line(run_quotas(logs, "--settings", logs))
    assert "more than 8 requests" in error_line(run_quotas(logs, "--settings", config_file, "--most-requests", "8"))
    other.write_bytes(b"INFO plain: text\n" + MALFORMED_LINES[0])
    assert "no request" in error_line(run_quotas(other, "--settings", config_file))
    other.write_text("{}", encoding="utf-8")
    assert "settings" in error_line(run_quotas(logs, "--settings", other))


@pytest.mark.parametrize("words", [(), ("--most-requests", "0"), ("--most-requests", "many"), ("--colour",)])
def test_invalid_arguments_are_rejected(words: tuple[str, ...], logs: Path) -> None:
    settings_given = ("--settings", logs.parent / "config.json") if words else ()
    done = run_quotas(logs, *settings_given, *words)
    assert done.exit_code == 2 and "Error: " in done.stderr and not done.stdout


def test_ingressctl_has_the_quotas_command(logs: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "ingress.ingressctl", "quotas", str(logs), "--settings", str(logs.parent / "none")],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and not done.stdout
