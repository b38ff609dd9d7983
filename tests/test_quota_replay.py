"""The units that a fleet sent on beyond its customers' quotas, by the logs of its ingresses."""

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
from ingress.emulator.gateways import GatewayHost, PendingRequest
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

REQUESTS = "ingress.requests"
INGRESS = "ingress.ingress"
PLANS = [
    {"name": "basic", "refill": 1.0, "burst": 2.0, "worth-factor": 2.0, "excess-cost": 0.5},
    {"name": "small", "refill": 0.001, "burst": 1.0},
    {"name": "held", "refill": 0.0, "burst": 0.0, "at-once": 1},
]
READ, ORDER = SETTINGS["categories"]
CONFIG = config_text(settings=SETTINGS | {"contracts": PLANS, "categories": [READ, ORDER | {"importance": 3.0}]})
A, B = f"{10:016x}", f"{11:016x}"


def settings() -> Settings:
    return read_config(CONFIG).settings


def line(at: float, event: str, logger: str = REQUESTS, **fields: Any) -> bytes:
    return json.dumps({"time": at, "level": "info", "logger": logger, "event": event} | fields).encode() + b"\n"


def request(
    arrival: float, id: str, ms: float = 0.0, event: str = "succeeded", kind: str = "read", **changes: Any
) -> bytes:
    """The line of a request that came at `arrival` and took `ms`."""
    fields: dict[str, Any] = {
        "id": id,
        "class": kind,
        "plan": "basic",
        "customer": A,
        "units": 1.0,
        "spread": 3,
        "first": 0,
        "repeat": False,
        "attempts": 1,
        "reason": "",
        "ms": ms,
    }
    return line(arrival + ms / 1000, event, **(fields | changes))


def refused(arrival: float, id: str, **changes: Any) -> bytes:
    return request(arrival, id, event="declined", attempts=0, reason="quota", **changes)


def attempt(start: float, end: float, id: str) -> bytes:
    return line(end, "attempt", id=id, server="s1", outcome="ok", ms=1000 * (end - start))


def serves(at: float, logger: str = INGRESS) -> bytes:
    return line(at, "n0 serves on 10.0.0.4:7000", logger)


def account(*lines: tuple[str, bytes], most_requests: int = 1000) -> QuotaReport:
    """Of lines, each with the name of its ingress."""
    log = FleetLog(settings(), most_requests)
    for ingress, text in lines:
        log.read_line(ingress, text)
    return build_report(log)


def of_plan(found: QuotaReport, name: str) -> PlanReport:
    [plan] = [plan for plan in found.plans if plan.plan == name]
    return plan


BY_HAND = (  # burst 2, 1 a second; the store over what was sent on, and that over all that was asked
    ("n0", request(100.0, "a1")),  # 2 - 1 = 1; 2 - 1 = 1
    ("n1", request(100.1, "a2")),  # 1.1 - 1 = 0.1; the same
    ("n2", request(100.2, "a3")),  # 0.2: beyond, the first at n2; 0.2
    ("n0", refused(100.3, "a4")),  # 0.3 was asked for, too
    ("n0", request(100.4, "a5")),  # 0.4: beyond, a later one at n0
    ("n1", refused(101.2, "a6")),  # nothing taken; 1.2 - 1 = 0.2
    ("n0", request(101.3, "a7", kind="order")),  # 1.3 - 1 = 0.3; 0.3 is too little
    ("n0", request(102.3, "a8", units=2.5)),  # 1.3: beyond; 1.3
    ("n0", request(103.3, "a9", repeat=True, kind="order")),  # 2 - 1 = 1; the same
)


def test_an_account_that_was_worked_out_by_hand() -> None:
    found = account(*BY_HAND)
    assert of_plan(found, "basic") == PlanReport(
        "basic",
        asked=Tally(9, 10.5),
        forwarded=Tally(7, 8.5),
        over_quota=Tally(3, 4.5),
        rejected=Tally(2, 2.0),
        over_quota_cost=4.5,  # 0.5 of the price, 2, of 4.5 units
        within_quota_weight=12.0,  # 2 for a1, a2, a6; 6 for a9, of a class worth 3
        within_quota_retry_weight=6.0,
        over_quota_cost_share=0.375,
        origin=Origin(first_request=1.0, later_request=3.5),
        customers=1,
        customers_over_quota=1,
        ingresses_over_quota=2,
    )
    [customer] = found.customers
    assert (customer.plan, customer.customer, customer.gateway_count) == ("basic", A, 3)
    assert (customer.forwarded, customer.over_quota) == (Tally(7, 8.5), Tally(3, 4.5))
    assert customer.ingresses == ["n0", "n1", "n2"]
    assert customer.examples == [Example("a3", "n2"), Example("a5", "n0"), Example("a8", "n0")]
    assert found.requests == 9 and found.ingresses == 3 and found.counts == {"lines": 9}


def test_the_text_tells_the_account() -> None:
    assert list(as_text(account(*BY_HAND))) == [
        "9 requests at 3 ingresses",
        "read: 9 lines",
        "plan basic: asked 10.5 units (9 requests), sent on 8.5 units (7 requests), beyond 4.5 units (3 requests), "
        "refused 2 units (2 requests)",
        "  cost beyond 4.5 over worth asked inside 12: 37.50% (of that worth, 6 by repeats)",
        "  beyond: 1 of 1 customers, sent on by 2 ingresses",
        "  units beyond: 1 in the first request at an ingress, 3.5 in later ones",
        f"customer {A} (basic): beyond 4.5 units (3 requests) of 8.5 units (7 requests) sent on, by 3 ingresses, "
        "of 3 that it may use: n0, n1, n2",
        "  beyond: a3 at n2, a5 at n0, a8 at n0",
    ]


def test_the_order_of_lines_and_files_changes_nothing() -> None:
    draws, whole = random.Random(7), account(*BY_HAND)
    for _ in range(20):
        assert account(*draws.sample(BY_HAND, len(BY_HAND))) == whole


def test_requests_of_two_ingresses_are_put_in_order_of_their_arrival() -> None:
    """That of n0 came first and was answered last; there is room for one."""
    slow, fast = request(10.0, "slow", ms=500.0, plan="small"), request(10.1, "fast", ms=100.0, plan="small")
    for lines in ((("n1", fast), ("n0", slow)), (("n0", slow), ("n1", fast))):
        [customer] = account(*lines).customers
        assert customer.examples == [Example("fast", "n1")]


def test_customers_have_stores_of_their_own_and_those_with_most_beyond_are_told() -> None:
    lines = [
        (f"n{copy}", request(10.0 + copy / 10, f"c{number}.{copy}", plan="small", customer=f"{number:016x}"))
        for number in range(20)
        for copy in range(number)
    ]
    found = account(*lines)
    plan = of_plan(found, "small")
    assert plan.customers == 19 and plan.customers_over_quota == 18 and plan.ingresses_over_quota == 18
    assert plan.over_quota == Tally(sum(range(19)), sum(range(19)))
    assert plan.over_quota_cost == 0.0 and plan.over_quota_cost_share == 0.0
    assert [one.customer for one in found.customers] == [f"{number:016x}" for number in range(19, 9, -1)]
    assert [len(one.examples) for one in found.customers] == [3] * 10
    assert len(found.customers[0].ingresses) == 19


def test_no_more_attempts_than_the_plan_allows_may_be_out_of_all_ingresses() -> None:
    found = account(
        ("n0", request(10.0, "r1", plan="held")),
        ("n0", attempt(10.0, 10.5, "r1")),
        ("n1", request(10.2, "r2", plan="held")),  # r1 is out: beyond
        ("n1", attempt(10.2, 10.9, "r2")),
        ("n0", request(10.6, "r3", plan="held")),  # r2 is out, beyond or not: beyond
        ("n0", request(10.6, "r4", plan="held", customer=B)),  # of another customer
        ("n0", request(10.9, "r5", plan="held")),  # r2 has just come back
        ("n0", request(20.0, "r1", plan="held")),  # an id anew; its own attempt does not count
        ("n0", attempt(20.0, 20.5, "r1")),
        ("n0", request(20.2, "r6", plan="held")),  # beyond
        ("n1", request(30.0, "r7", plan="held")),  # its attempt seems to begin a little before
        ("n1", attempt(29.9999, 30.4, "r7")),
        ("n1", attempt(29.0, 31.0, "")),  # of a request that was over before
        ("n2", attempt(29.0, 31.0, "r7")),  # no request of this ingress
    )
    assert [one.id for one in found.customers[0].examples] == ["r2", "r3", "r6"]
    assert of_plan(found, "held").forwarded == Tally(8, 8.0) and of_plan(found, "held").over_quota == Tally(3, 3.0)
    assert found.unmatched_attempts == 2
    assert "attempts of no request in these logs, left out: 2" in list(as_text(found))


def test_what_goes_beyond_after_a_restart_is_told() -> None:
    found = account(
        ("n0", serves(0.0)),
        ("n0", request(1.0, "r1", plan="small")),  # inside
        ("n0", request(1.1, "r2", plan="small")),  # beyond, a later one
        ("n0", serves(5.0)),
        ("n0", request(5.1, "r3", plan="small", units=2.0)),  # beyond, the first after a restart
        ("n0", request(5.2, "r4", plan="small", units=4.0)),  # beyond, a later one after a restart
        ("n1", request(2.0, "r5", plan="small", units=8.0)),  # beyond, the first; the log began amid a run
        ("n1", serves(6.0)),
        ("n1", request(6.1, "r6", plan="small", units=16.0)),  # beyond, the first after a restart
        ("n2", request(6.8, "r7", plan="small", units=32.0)),  # beyond, the first: just before the log said so
        ("n2", serves(7.0)),
        ("n2", serves(7.1, "ingress.discovery.client")),  # no start
        ("n2", request(7.2, "r8", plan="small", units=64.0)),  # beyond, a later one
    )
    assert of_plan(found, "small").origin == Origin(
        first_request=2.0 + 8.0 + 16.0 + 32.0,
        later_request=1.0 + 4.0 + 64.0,
        after_restart=2.0 + 4.0 + 16.0,
        first_after_restart=2.0 + 16.0,
    )
    assert "  of them after a restart of the ingress: 22, 18 in first requests" in list(as_text(found))


def test_a_refused_request_is_the_first_at_its_ingress_as_well() -> None:
    found = account(
        ("n0", request(1.0, "r1", plan="small")),
        ("n1", refused(1.1, "r2", plan="small")),
        ("n1", request(1.2, "r3", plan="small")),  # beyond, and not the first
    )
    assert of_plan(found, "small").origin == Origin(later_request=1.0)


def test_a_request_that_a_server_refused_was_sent_on() -> None:
    plan = of_plan(account(("n0", request(1.0, "r1", event="declined"))), "basic")
    assert plan.forwarded == plan.rejected == plan.asked == Tally(1, 1.0)


def without(text: bytes, key: str) -> bytes:
    fields = json.loads(text)
    del fields[key]
    return json.dumps(fields).encode()


BROKEN = (
    without(request(1.0, "x"), "units"),  # of an ingress that does not tell them yet
    without(request(1.0, "x"), "customer"),
    request(1.0, "x", units=0.0),
    request(1.0, "x", units=-1.0),
    request(1.0, "x", units=float("nan")),
    request(1.0, "x", units=float("inf")),
    request(1.0, "x", units=True),
    request(1.0, "x", units="1"),
    request(1.0, "x", spread=0),
    request(1.0, "x", attempts=-1),
    request(1.0, "x", attempts=1.5),
    request(1.0, "x", repeat="no"),
    request(1.0, "x", customer=7),
    request(float("-inf"), "x"),
    line(1.0, "succeeded", ms=float("nan")),
    line(1.0, "attempt", id="x"),
    b"[]\n",
    b"no line\n",
)


def test_broken_lines_are_counted_and_told_and_the_rest_is_read() -> None:
    lines = [("n0", text) for text in BROKEN]
    found = account(*lines, *BY_HAND, ("n0", request(float("nan"), "x")), ("n0", request(1.0, "x", plan="gold")))
    assert found.counts["broken lines"] == len(BROKEN) and found.counts["lines outside the window"] == 1
    assert found.counts[UNKNOWN_NAMES] == 1
    assert found.plans == account(*BY_HAND).plans and found.requests == 9
    assert f"{len(BROKEN)} broken lines" in list(as_text(found))[1]


def test_files_of_one_ingress_go_together_and_bad_ones_are_told(tmp_path: Path) -> None:
    (tmp_path / "n0.log.1").write_bytes(request(1.0, "r1", plan="small"))
    (tmp_path / "n0.log").write_bytes(request(1.1, "r2", plan="small") + request(1.2, "r3")[:-20])
    (tmp_path / "n1.log.gz").write_bytes(b"no gzip at all")
    found = report_on_quotas([tmp_path], settings())
    assert found.ingresses == 1 and found.requests == 2 and found.counts["broken lines"] == 1
    assert of_plan(found, "small").origin == Origin(later_request=1.0)
    assert found.counts["files cut off or unreadable"] == 1 and "n1.log.gz" in found.unreadable[0]


def test_no_more_is_held_than_may_be() -> None:
    lines = [("n0", request(1.0, "x"))] * 3
    assert account(*lines, most_requests=3).requests == 3
    with pytest.raises(TooManyRequestsError, match="more than 2 requests"):
        account(*lines, most_requests=2)
    most = settings().max_attempts * 2
    with pytest.raises(TooManyRequestsError, match=f"more than {most} attempts"):
        account(*[("n0", attempt(1.0, 2.0, "x"))] * (most + 1), most_requests=2)


def test_it_reads_what_an_ingress_writes(caplog: pytest.LogCaptureFixture) -> None:
    names = b"c=read,t=basic,d=2000,units=2.5,spread=4,first=1,r=1"

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (_, address):
            caller = await RespClient.connect(address)
            assert await caller.request(resp(b"API.READ", A.encode(), b"one", names)) == b"one"

    with caplog.at_level(logging.INFO), caplog.at_level(logging.INFO, REQUESTS):
        run_async(body())
    log = FleetLog(settings(), 10)  # of a smaller quota than the ingress keeps
    for record in caplog.records:
        log.read_line("n0", JsonLines().format(record).encode())
    found = build_report(log)
    assert "broken lines" not in found.counts and len(log.process_starts["n0"]) == 1
    assert len(log.attempts) == 1 and found.unmatched_attempts == 0
    [customer] = found.customers  # the store holds 2
    assert customer.examples == [Example("one", "n0")] and customer.gateway_count == 4
    assert found.plans[0].over_quota == Tally(1, 2.5) and found.plans[0].origin == Origin(first_request=2.5)


def test_it_agrees_with_the_emulators_books(monkeypatch: pytest.MonkeyPatch) -> None:
    """A play of six gateways whose customers ask for more than their quotas, and one that is killed amid it."""
    plan: dict[str, Any] = {"name": "basic", "rate": 1.0, "burst": 3.0}
    play = build_experiment(
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
    count_spent = ClientPopulation.attempt_arrived

    def spent(population: ClientPopulation, held: PendingRequest) -> None:
        count_spent(population, held)
        customer = str(held.record.customer)
        text = request(population.kernel.now, held.record.id, customer=customer)
        log.read_line(f"n{cast(GatewayHost, held.gateway).number}", text)

    monkeypatch.setattr(ClientPopulation, "attempt_arrived", spent)
    totals = Simulation(play, 3).run()["exact"]["totals"]
    [found] = build_report(log).plans
    assert found.forwarded.requests == totals["sent on"] > 200
    assert found.over_quota.requests == totals["beyond quotas"] > 30
    assert found.ingresses_over_quota == 6


@pytest.fixture
def logs(tmp_path: Path) -> Path:
    """A folder with the log that was worked out by hand, and the configuration beside it."""
    folder = tmp_path / "logs"
    folder.mkdir()
    for ingress, text in BY_HAND:
        with (folder / f"{ingress}.log").open("ab") as file:
            file.write(text)
    (tmp_path / "config.json").write_text(CONFIG, encoding="utf-8")
    return folder


def called(*words: str | Path) -> Result:
    return CliRunner().invoke(main, ["quotas", *map(str, words)])


def test_the_command_tells_the_account(logs: Path) -> None:
    config_file = logs.parent / "config.json"
    done = called(logs, "--settings", config_file)
    assert done.exit_code == 0 and done.stdout.splitlines() == list(as_text(account(*BY_HAND)))
    done = called(logs, "--settings", config_file, "--json")
    assert done.exit_code == 0 and json.loads(done.stdout) == account(*BY_HAND).as_plain_data()


def refusal(done: Result) -> str:
    """The one line that says what is wrong."""
    assert done.exit_code == 2 and isinstance(done.exception, SystemExit)
    [text] = done.stderr.splitlines()
    return text


def test_bad_input_ends_with_one_line(logs: Path) -> None:
    config_file, none, other = logs.parent / "config.json", logs.parent / "none", logs.parent / "other.log"
    assert "no such file" in refusal(called(none, "--settings", config_file))
    assert "none: EDGE_CONFIG" in refusal(called(logs, "--settings", none))
    assert "EDGE_CONFIG" in refusal(called(logs, "--settings", logs))
    assert "more than 8 requests" in refusal(called(logs, "--settings", config_file, "--most-requests", "8"))
    other.write_bytes(b"INFO plain: text\n" + BROKEN[0])
    assert "no request" in refusal(called(other, "--settings", config_file))
    other.write_text("{}", encoding="utf-8")
    assert "settings" in refusal(called(logs, "--settings", other))


@pytest.mark.parametrize("words", [(), ("--most-requests", "0"), ("--most-requests", "many"), ("--colour",)])
def test_bad_arguments_are_refused(words: tuple[str, ...], logs: Path) -> None:
    settings_given = ("--settings", logs.parent / "config.json") if words else ()
    done = called(logs, *settings_given, *words)
    assert done.exit_code == 2 and "Error: " in done.stderr and not done.stdout


def test_the_program_has_the_command(logs: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "ingress.ingressctl", "quotas", str(logs), "--settings", str(logs.parent / "none")],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and not done.stdout
