"""Health checks on real sockets: their outcomes, failures of this process itself, and malformed load reports."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
from collections.abc import Mapping

import hiredis
import pytest
from msgspec.structs import replace

from ingress.decisions.actions import StartAttempt, StartHealthCheck
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import AttemptEnded, HealthCheckEnded, RequestReceived, TimerFired
from ingress.decisions.handover_state import EndpointState
from ingress.process_group.handover_messages import read_handover_state
from ingress.upstream.health_check import HealthCheck
from ingress.upstream.response_parser import AttemptResult, interpret_response, parse_load_report
from tests.conftest import GatewayHarness
from tests.peers import (
    SETTINGS,
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config,
    endpoint_entry,
    fake_endpoint,
    read_command,
    run_async,
    wait_until,
)
from tests.test_net_backends import PoolUnderTest
from tests.test_net_control import ADMIN_LISTEN
from tests.test_net_ingress import StubGateway, running_ingress
from tests.test_net_metrics import read_metrics

HEALTH_CHECK_SETTINGS = SETTINGS | {"limits": SETTINGS["limits"] | {"probing": True}, "prices": {"probe": 0.01}}


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (b"+PONG\r\n", Outcome.OK),
        (b"$4\r\nPONG\r\n", Outcome.OK),
        (b"-ERR no\r\n", Outcome.ERROR),
        (b"-BUSY\r\n", Outcome.REJECTED),
        (b"$-1\r\n", Outcome.MALFORMED),
        (b"?\r\n", Outcome.MALFORMED),
        (b"+PO", Outcome.TIMEOUT),
        (b"", Outcome.TIMEOUT),
    ],
)
def test_outcome_of_each_kind_of_health_check_reply(answer: bytes, outcome: Outcome) -> None:
    async def body() -> None:
        async with fake_endpoint(answer) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, _):
            stub = StubGateway(lambda event: [StartHealthCheck("s1", 0.2)] if isinstance(event, TimerFired) else [])
            served.gateway.handle = stub.handle  # type: ignore[method-assign]
            served.feed(TimerFired(9))
            await wait_until(lambda: stub.of(HealthCheckEnded))
            [ended] = stub.of(HealthCheckEnded)
            assert (ended.endpoint_id, ended.outcome) == ("s1", outcome)
            assert peer.commands == [[b"PING"]]
            # A check belongs to no request.
            assert served.metrics.attempts_sent == 0 and not served.requests.attempts_in_flight

    run_async(body())


def test_health_check_of_an_unreachable_or_removed_endpoint_fails_to_connect() -> None:
    async def body() -> None:
        async with running_ingress(config(endpoint_entry(("127.0.0.1", 1)))) as (served, _):
            stub = StubGateway(
                lambda event: [StartHealthCheck("s1", 0.2), StartHealthCheck("gone", 0.2)]
                if isinstance(event, TimerFired)
                else []
            )
            served.gateway.handle = stub.handle  # type: ignore[method-assign]
            served.feed(TimerFired(9))
            await wait_until(lambda: len(stub.of(HealthCheckEnded)) == 2)
            assert {e.outcome for e in stub.of(HealthCheckEnded)} == {Outcome.CONNECT_FAILED}

    run_async(body())


def test_failing_endpoint_is_ejected_and_recovers_through_a_health_check_and_probation() -> None:
    """The real decision modules run on real sockets; one of four endpoints answers with errors for a while."""
    is_failing = asyncio.Event()
    pings = 0

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        nonlocal pings
        while True:
            words = await read_command(reader)
            if words == [b"PING"]:
                pings += 1
                writer.write(b"+PONG\r\n")
            else:
                writer.write(b"-ERR failed\r\n" if is_failing.is_set() else b"*1\r\n$1\r\nx\r\n")

    async def body() -> None:
        async with fake_endpoint() as peer, Peer(script) as failing:
            entries = [endpoint_entry(peer.address, f"s{n}") for n in range(3)] + [
                endpoint_entry(failing.address, "bad")
            ]
            async with running_ingress(config(*entries, control=ADMIN_LISTEN, settings=HEALTH_CHECK_SETTINGS)) as (
                served,
                address,
            ):
                client = await RespClient.connect(address)
                health = served.gateway.cluster.endpoints.by_id["bad"].health
                is_failing.set()
                while not served.gateway.health()["ejections"]:
                    await client.request(command())
                metrics = await read_metrics(served)
                assert metrics["health.ejected"] == metrics["ejected"] == 1
                assert metrics["ejections.error"] == 1 and metrics["health.healthy"] == 3
                is_failing.clear()
                health.next_health_check_at = 0.0  # the next health check is due now
                while health.status.value != "healthy":
                    await client.request(command())
                    await asyncio.sleep(0.002)
                metrics = await read_metrics(served)
                assert metrics["probes"] == pings >= 1 and metrics["ejected"] == 0
                assert metrics["results.read.aborted"] == 0

    run_async(body())


def test_exhausted_descriptors_are_a_local_failure() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address)
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE, (256, hard))
            with contextlib.ExitStack() as open_files:
                with contextlib.suppress(OSError):
                    while True:  # until no descriptor is left
                        open_files.enter_context(open(os.devnull, "rb"))
                attempt = pool.send()
                await wait_until(lambda: pool.results)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            assert pool.results[0][1] is Outcome.CONNECT_FAILED and attempt.local_failure
            assert pool.pool.connection_count == 0  # the failed connect released its slot
            pool.send()
            assert (await pool.result(2))[0] is Outcome.OK

    run_async(body())


def test_exceeding_the_connection_limit_is_a_local_failure() -> None:
    async def body() -> None:
        async with fake_endpoint(b"") as peer:
            pool = PoolUnderTest(peer.address, max_connections=1)
            pool.send()
            await wait_until(lambda: peer.commands)
            attempt = pool.send()
            assert pool.results == [(1, Outcome.CONNECT_FAILED, None)] and attempt.local_failure

    run_async(body())


def test_refused_connection_is_not_a_local_failure() -> None:
    async def body() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address: Address = unused.getsockname()
            pool = PoolUnderTest(address)
            attempt = pool.send()
            assert (await pool.result())[0] is Outcome.CONNECT_FAILED
            assert not attempt.local_failure

    run_async(body())


def test_gateway_receives_the_local_failure_flag() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            stub = StubGateway(lambda e: [StartAttempt(e.request_id, "s1")] if isinstance(e, RequestReceived) else [])
            served.gateway.handle = stub.handle  # type: ignore[method-assign]
            served.pool.max_connections = 0
            client = await RespClient.connect(address)
            client.writer.write(command(d=300))
            await wait_until(lambda: stub.of(AttemptEnded))
            [ended] = stub.of(AttemptEnded)
            assert ended.local_failure and ended.outcome is Outcome.CONNECT_FAILED

    run_async(body())


def test_unsolicited_reply_is_never_forwarded() -> None:
    """An endpoint answers a request twice: the second reply must not become the reply to the next request."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            writer.write(b"*1\r\n$%d\r\n%b\r\n" % (len(words[2]), words[2]) * 2)

    async def body() -> None:
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (_, address):
            client = await RespClient.connect(address)
            for number in range(20):
                name = f"request-{number}"
                assert await client.request(command(name)) == name.encode()

    run_async(body())


@pytest.mark.parametrize(
    ("text", "is_invalid"),
    [
        (b"inflight=7,util=0.5", False),
        (b"inflight=x,util=0.5", True),
        (b"inflight=,util=0.5", True),
        (b"\xff\xfe", True),
        (b"", True),
        (b"inflight=-1,util=0.5", True),
        (b"inflight=inf,util=0.5", True),
        (b"util=0.5", True),
        (b"inflight=7,util=0.5," + b"a=1," * 5000, True),
        (None, False),
    ],
)
def test_malformed_load_report_is_counted_as_invalid(text: bytes | None, is_invalid: bool) -> None:
    settings = replace(GatewayHarness().gateway.settings, load_report_fields=("inflight", "util"))
    outliers = GatewayHarness(settings).gateway.cluster.outliers
    result = interpret_response([b"value", None, text])
    load = result.load_report
    assert (result.outcome, result.value) == (Outcome.OK, b"value") and len(load) <= 20
    outliers.check_load_report(load)
    assert outliers.invalid_load_reports == is_invalid


def test_load_report_of_an_error_reply() -> None:
    assert parse_load_report(None) == {}
    assert load_report_of(b"-ERR failed") == {} and load_report_of(b"-BUSY") == {}
    assert load_report_of(b"-BUSY inflight=3,queue=1") == {"inflight": 3.0, "queue": 1.0}


def load_report_of(line: bytes) -> Mapping[str, float]:
    reader = hiredis.Reader()
    reader.feed(line + b"\r\n")
    return interpret_response(reader.gets()).load_report


def test_handover_state_of_the_previous_format_is_read() -> None:
    old = {
        "born": 1.0,
        "draining": False,
        "typical": 2.0,
        "done": 3.0,
        "means": {},
        "customers": [],
        "backends": [["b0", 4.0, True, 0.1, 1.5, 3, True, 99.0, 0.5]],
    }
    [state] = read_handover_state(old, 1).endpoints
    assert state == EndpointState("b0", 4.0, True, 0.1, 1.5, 0.5, None)


def test_locally_failed_health_check_is_not_reported() -> None:
    async def body() -> None:
        async with running_ingress(config(endpoint_entry(("127.0.0.1", 1)))) as (served, _):
            stub = StubGateway(None)
            served.gateway.handle = stub.handle  # type: ignore[method-assign]
            check = HealthCheck.create(served.health_checker, "s1", 0.0, 1.0)
            check.local_failure = True
            served.health_checker.attempt_ended(check, AttemptResult(Outcome.CONNECT_FAILED))
            assert not stub.of(HealthCheckEnded)
            check.local_failure = False
            served.health_checker.attempt_ended(check, AttemptResult(Outcome.CONNECT_FAILED))
            assert len(stub.of(HealthCheckEnded)) == 1

    run_async(body())
