"""Metrics of the ingress: each request is counted once, however it ends."""

from __future__ import annotations

import asyncio

from ingress.decisions.actions import Action, FailRequest, RejectRequest
from ingress.decisions.events import Event, RequestReceived
from ingress.ingress import Ingress
from ingress.runtime.metrics import GAUGES
from ingress.server.close_reason import CloseReason
from tests.peers import (
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config,
    endpoint_entry,
    fake_endpoint,
    override_config,
    read_command,
    run_async,
    wait_until,
)
from tests.test_net_control import ADMIN_LISTEN, admin_call
from tests.test_net_ingress import StubGateway, running_ingress, start_attempts


async def read_metrics(served: Ingress) -> dict[str, int]:
    """Return the metrics in the answer to `show-stat`, after a check of their types."""
    lines = (await admin_call(served, b"show-stat")).splitlines()
    assert lines.pop() == "eof"
    values = {}
    for line in lines:
        name, _, value_and_type = line.removeprefix("app.").partition(":")
        value, _, metric_type = value_and_type.partition("|")
        is_gauge = name in ("outstanding", "discovered", "ejected") or name.startswith(GAUGES)
        assert metric_type == ("g" if is_gauge else "c")
        values[name] = int(value)
    return values


def test_each_result_of_a_request_is_counted_once() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        words = await read_command(reader)
        if words[2] == b"served":
            writer.write(b"*1\r\n$1\r\nx\r\n")
        await reader.read()

    def plan(event: Event) -> list[Action]:
        match event:
            case RequestReceived(request_id="2") | RequestReceived(memory_available=False):
                return [RejectRequest(event.request_id, 1.0), RejectRequest(event.request_id, 1.0)]
            case RequestReceived(request_id="3"):
                return [FailRequest(event.request_id)]
            case RequestReceived(request_id="4"):
                return []  # The request reaches its deadline.
        return start_attempts(event)

    async def body() -> None:
        async with (
            Peer(script) as peer,
            running_ingress(config(endpoint_entry(peer.address), control=ADMIN_LISTEN)) as (served, address),
        ):
            served.gateway.handle = StubGateway(plan).handle  # type: ignore[method-assign]
            client = await RespClient.connect(address)
            for name in ("served", "refused", "failed", "expired"):
                await client.request(command(name, d=100 if name == "expired" else 2000))
            disconnecting = await RespClient.connect(address)
            disconnecting.writer.write(command("gone"))
            await wait_until(lambda: served.metrics.attempts_sent == 2)
            metrics = await read_metrics(served)
            assert metrics["outstanding"] == 1 and metrics["forwards"] == 2 and metrics["discovered"] == 1
            disconnecting.writer.close()
            await wait_until(lambda: not served.requests.in_flight)
            override_config(served, max_open_requests=0)
            await client.request(command("too many"))
            shown = {
                name: count
                for name, count in (await read_metrics(served)).items()
                if not name.startswith(("loop.", "connections."))
            }
            assert (shown.pop("list.version"), shown.pop("list.age_ms")) == (1, -1)  # Discovery has not answered.
            assert shown.pop("health.healthy") == 1
            for name in ("health.suspect", "health.ejected", "health.trial", "ejections", "probes", "odd_reports"):
                assert shown.pop(name) == 0
            assert shown.pop("memory.capacity") > 0 and shown.pop("resident.limit") == served.budget.limit
            assert shown.pop("resident.bytes") == 0  # It is measured by the program only.
            for holder in ("used", "commands", "requests", "answers", "writes", "uploads", "responses"):
                assert shown.pop(f"memory.{holder}") == 0
            assert {name for name in shown if name.startswith("closed.")} == {f"closed.{r.value}" for r in CloseReason}
            assert not any(shown.pop(f"closed.{reason.value}") for reason in CloseReason)
            assert shown == {
                "results.read.succeeded": 1,
                "results.read.declined": 2,
                "results.read.aborted": 3,
                "results.order.succeeded": 0,
                "results.order.declined": 0,
                "results.order.aborted": 0,
                "forwards": 2,
                "outstanding": 0,
                "discovered": 1,
                "ejected": 0,
                "accepted": 2,
                "turned_away": 0,
                "customers": 0,  # The stub of the gateway tracks none.
                "malformed": 0,
                "deferred": 0,
                "evicted": 0,
                "no_descriptor": 0,
                "client_addresses": 1,
                "handshakes": 1,
                "reused": 1,
            }

    run_async(body())


def test_an_endpoint_that_refuses_connections_is_counted_as_ejected() -> None:
    async def body() -> None:
        async with (
            fake_endpoint() as peer,
            running_ingress(
                config(endpoint_entry(peer.address), endpoint_entry(("127.0.0.1", 1), "s2"), control=ADMIN_LISTEN)
            ) as (served, address),
        ):
            client = await RespClient.connect(address)
            async with asyncio.timeout(10):
                while (await read_metrics(served))["ejected"] != 1:
                    await client.request(command())
            assert (await read_metrics(served))["discovered"] == 2

    run_async(body())
