"""Tests of the exporter: what a metrics system parses from the exported text."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import subprocess
import sys
import urllib.request

import pytest
from prometheus_client import CollectorRegistry
from prometheus_client.openmetrics.exposition import generate_latest
from prometheus_client.openmetrics.parser import text_string_to_metric_families as parse

from ingress.observability import exporter
from ingress.observability.exporter import FAMILIES, OTHER, FleetCollector, export
from ingress.observability.poller import PolledIngress, Poller, PollState
from ingress.observability.polling_loop import PollingPlan
from ingress.runtime.metrics import Metrics, RequestResult

from .peers import Address, RespClient, command, config, endpoint_entry, fake_endpoint, run_async, wait_until
from .test_net_control import ADMIN_LISTEN
from .test_net_ingress import running_ingress

Sample = tuple[str, frozenset[tuple[str, str]]]


def polled_ingress(*figures: str, name: str = "a", state: PollState = PollState.OK) -> PolledIngress:
    one = PolledIngress((name, 1))
    one.apply_answer("\n".join([*figures, "eof"]), 1.0)
    one.state = state
    return one


def export_samples(*ingresses: PolledIngress) -> dict[Sample, float]:
    poller = Poller(1.0, 1.0)
    poller.ingresses = {one.address: one for one in ingresses}
    registry = CollectorRegistry(auto_describe=False)
    registry.register(FleetCollector(poller))
    return parse_samples(generate_latest(registry).decode())  # type: ignore[no-untyped-call]


def parse_samples(text: str) -> dict[Sample, float]:
    found: dict[Sample, float] = {}
    for family in parse(text):  # type: ignore[no-untyped-call]
        for one in family.samples:
            key = one.name, frozenset(one.labels.items())
            assert key not in found
            found[key] = one.value
    return found


def sample(name: str, **labels: str) -> Sample:
    all_labels = {"ingress": "a:1"} | {key.rstrip("_"): value for key, value in labels.items()}
    return f"mothdrift_{name}", frozenset(all_labels.items())


def test_each_metric_is_exported_with_its_name_unit_and_type() -> None:
    found = export_samples(
        polled_ingress(
            "app.results.schedule-read.succeeded:7|c",
            "app.results.schedule-read.declined:2|c",
            "app.forwards:9|c",
            "app.outstanding:3|g",
            "app.turned_down.quota:2|c",
            "app.list.age_ms:1500|g",
            "app.health.healthy:12|g",
            "app.ejections.timed_out:1|c",
            "app.ejections:1|c",
            "app.connections.servers:4|g",
        )
    )
    assert found[sample("up")] == 1 and found[sample("restarts_total")] == 0
    assert found[sample("requests_total", class_="schedule-read", result="succeeded")] == 7
    assert found[sample("requests_total", class_="schedule-read", result="declined")] == 2
    assert found[sample("forwards_total")] == 9 and found[sample("outstanding_requests")] == 3
    assert found[sample("turned_down_total", reason="quota")] == 2
    assert found[sample("list_age_seconds")] == 1.5
    assert found[sample("health_servers", state="healthy")] == 12
    assert found[sample("ejections_total", reason="timed_out")] == 1
    assert found[sample("open_connections", side="servers")] == 4
    assert len(found) == 11  # the sum over all reasons is not exported in addition to its parts


def test_an_ingress_that_does_not_answer_is_down_and_has_no_metrics() -> None:
    found = export_samples(
        polled_ingress("app.forwards:9|c"), polled_ingress("app.forwards:8|c", name="b", state=PollState.UNRESPONSIVE)
    )
    assert found[sample("up")] == 1 and found["mothdrift_up", frozenset({("ingress", "b:1")})] == 0
    assert [key for key in found if key[0] == "mothdrift_forwards_total"] == [sample("forwards_total")]


def test_label_values_are_limited_and_quoted_and_those_over_the_limit_are_summed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(exporter, "MAX_LABEL_VALUES", 2)
    found = export_samples(
        polled_ingress(
            *(f"app.turned_down.r{n}:{n}|c" for n in range(1, 6)),
            *(f'app.results.c"{n}\\.succeeded:1|c' for n in range(4)),
        )
    )
    reasons = {dict(labels)["reason"]: value for (name, labels), value in found.items() if "turned_down" in name}
    assert reasons == {"r1": 1, "r2": 2, OTHER: 12}
    classes = {dict(labels)["class"]: value for (name, labels), value in found.items() if "requests" in name}
    assert classes == {'c"0\\': 1, 'c"1\\': 1, OTHER: 2}


def test_metric_names_follow_the_conventions() -> None:
    names = [spec.name for spec in FAMILIES]
    assert len(set(names)) == len(names)
    assert not [name for name in names if name.endswith(("_total", "_ms", "_count", "_sum", "_bucket"))]


def scrape(url: str) -> dict[Sample, float]:
    request = urllib.request.Request(url, headers={"Accept": "application/openmetrics-text; version=1.0.0"})
    with urllib.request.urlopen(request, timeout=10) as response:
        assert response.headers["Content-Type"].startswith("application/openmetrics-text")
        return parse_samples(response.read().decode())


def test_a_scrape_returns_the_metrics_of_a_real_ingress() -> None:
    async def body() -> None:
        async with (
            fake_endpoint() as peer,
            running_ingress(config(endpoint_entry(peer.address), control=ADMIN_LISTEN)) as (served, address),
        ):
            assert served.admin_server is not None
            second: Address = served.admin_server.listening_socket.getsockname()
            caller = await RespClient.connect(address)
            for n in range(12):
                assert await caller.request(command(f"{n:016x}")) == b"%016x" % n
            poller = Poller(2.0, 100.0)
            ports: list[int] = []
            poller.set_addresses([second])
            plan = PollingPlan(None, 0.05)
            exporting = asyncio.create_task(
                export(poller, plan, ("127.0.0.1", 0), lambda _, port: ports.append(port), pytest.fail)
            )
            await wait_until(lambda: ports and all(one.state is PollState.OK for one in poller.ingresses.values()))
            found = await asyncio.to_thread(scrape, f"http://127.0.0.1:{ports[0]}/metrics")
            name = f"{second[0]}:{second[1]}"
            of_this_ingress = {key: value for key, value in found.items() if ("ingress", name) in key[1]}
            assert of_this_ingress == found
            labels = frozenset({("ingress", name), ("class", "read"), ("result", "succeeded")})
            assert found["mothdrift_requests_total", labels] == 12
            assert found["mothdrift_forwards_total", frozenset({("ingress", name)})] == 12
            exporting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await exporting

    run_async(body())


def test_all_request_metrics_of_an_ingress_are_exported() -> None:
    metrics = Metrics(["read", "order"])
    metrics.record_received()
    metrics.record_result("order", RequestResult.ABORTED)
    found = export_samples(polled_ingress(*metrics.lines(5, 1, {"list.version": 3})))
    assert sum(value for (name, _), value in found.items() if name == "mothdrift_requests_total") == 1
    assert found[sample("requests_total", class_="order", result="aborted")] == 1
    assert (
        found[sample("discovered_servers")] == 5
        and found[sample("avoided_servers")] == 1
        and found[sample("list_version")] == 3
    )


def test_an_unusable_listen_address_is_reported_with_exit_status_2() -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        for listen in (f"127.0.0.1:{taken.getsockname()[1]}", "nowhere"):
            done = subprocess.run(
                [sys.executable, "-m", "ingress.ingressctl", "exporter", "127.0.0.1:1", "--listen", listen],
                capture_output=True,
                text=True,
                check=False,
            )
            assert done.returncode == 2 and "--listen" in done.stderr and "Traceback" not in done.stderr
