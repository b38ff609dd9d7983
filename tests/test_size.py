"""Tests of large fleets: 230 gateways, 600 servers, and endpoint lists of 3,000 entries.  They measure no times."""

from __future__ import annotations

import asyncio
import gc
import ipaddress
import json
import os
import random
import time
import tracemalloc
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace

from ingress.configuration.document import RESERVED_DESCRIPTORS
from ingress.decisions.actions import SetTimer, StartAttempt
from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.decisions.events import AttemptEnded, EndpointListKind, EndpointsChanged, RequestReceived, TimerFired
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Plan, RequestClass, Settings
from ingress.decisions.subsetting import SUBSET_SIZE
from ingress.discovery.client import DiscoveryClient, EndpointList
from ingress.emulator.experiment import build_experiment
from ingress.emulator.live.loopback import loopback_address
from ingress.observability.log_report import LogReport, as_text
from ingress.observability.poller import PolledIngress, PollState
from ingress.observability.summary import summarize
from ingress.observability.terminal import MAX_LINES, render
from tests.peers import Peer, Reader, RespClient, Writer, command, endpoint_entry, fake_endpoint, run_async, wait_until
from tests.test_net_signals import check_no_traceback, launched

GATEWAYS, SERVERS, MANY_SERVERS = 230, 600, 3_000
SETTINGS = Settings(
    classes=(RequestClass("read", latency_objective=0.6, deadline=2.5),),
    plans=(Plan("basic", rate=1_000.0, burst=1_000.0),),
    gateway_count=GATEWAYS,
    slow_start_duration=18.0,
    slow_start_initial_capacity=0.2,
    overload_factor=4.0,
    overload_window=2.0,
    max_attempts=3,
)
ANSWER_TIME_S = 0.05
# A gateway has a TrackedEndpoint and an EndpointHealth for each endpoint: 930 bytes together with their keys, according
# to tracemalloc (Python 3.11, 600 and 3,000 servers).  About twice that leaves a margin for other versions; 3,000
# servers then take 6 MB of the smallest memory limit of a deployment, 32 MB.
MAX_BYTES_PER_SERVER = 2_048


def servers(count: int, begin: int = 0) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"s-{number:08x}", zone="a") for number in range(begin, begin + count))


class SimulatedGateway:
    """A real Gateway, its timers, and servers that answer every attempt after the same time."""

    def __init__(self, number: int, listed: tuple[Endpoint, ...]) -> None:
        self.gateway = Gateway(replace(SETTINGS, gateway_index=number), number)
        self.now = 100.0
        self.request_count = 0
        self.timers: list[tuple[float, int]] = []
        self.attempts: Counter[str] = Counter()
        self.apply_list(listed)

    def apply_list(self, listed: tuple[Endpoint, ...]) -> None:
        self._handle(EndpointsChanged(EndpointListKind.REPLACE, listed))

    def _handle(self, event: Any) -> list[StartAttempt]:
        actions = self.gateway.handle(self.now, event)
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, SetTimer)]
        return [a for a in actions if isinstance(a, StartAttempt)]

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while due := sorted(timer for timer in self.timers if timer[0] <= end):
            self.timers.remove(due[0])
            self.now, token = due[0]
            self._handle(TimerFired(token))
        self.now = end

    def send_request(self) -> None:
        self.request_count += 1
        customer = f"c{self.request_count % 10}"
        request = RequestReceived(f"r{self.request_count}", "read", "basic", customer, 2.5)
        for send in self._handle(request):
            self.attempts[send.endpoint_id] += 1
            self.advance(ANSWER_TIME_S)
            self._handle(
                AttemptEnded(send.request_id, 0, send.endpoint_id, Outcome.OK, ANSWER_TIME_S, request_finished=True)
            )

    def preferred_ids(self) -> list[str]:
        return [server.info.id for server in self.gateway.cluster.endpoints.preferred]


def test_servers_are_preferred_by_nearly_equally_many_gateways() -> None:
    """`Subset` divides one order of all servers among gateways with consecutive indexes, SUBSET_SIZE to each.

    600 servers are 50 such parts, so that each round of 50 gateways prefers each server once.  230 gateways are four
    rounds and 30 gateways of a fifth, so that four or five gateways prefer each server.
    """
    gateways_per_round = SERVERS // SUBSET_SIZE
    assert gateways_per_round * SUBSET_SIZE == SERVERS
    fleet = [SimulatedGateway(number, servers(SERVERS)) for number in range(GATEWAYS)]
    preferred = Counter(endpoint_id for gateway in fleet for endpoint_id in gateway.preferred_ids())
    assert len(preferred) == SERVERS
    assert set(preferred.values()) <= {GATEWAYS // gateways_per_round, -(-GATEWAYS // gateways_per_round)}
    attempts: Counter[str] = Counter()
    for gateway in fleet:
        for _ in range(2 * SUBSET_SIZE):
            gateway.send_request()
            gateway.advance(0.2)
        assert set(gateway.attempts) <= set(gateway.preferred_ids())
        attempts += gateway.attempts
    # Each gateway spreads its requests over the servers that it prefers, so that each server gets some of them.
    assert len(attempts) == SERVERS and attempts.total() == GATEWAYS * 2 * SUBSET_SIZE


def test_servers_that_replace_others_are_preferred_too() -> None:
    """Six in ten servers are replaced.

    A gateway keeps the remaining servers of its subset, and fills it from its part of the new order: each server is
    preferred by at least one gateway, and none by three times the mean or more.
    """
    remaining = servers(SERVERS)[: SERVERS * 4 // 10]
    added = servers(SERVERS * 6 // 10, begin=SERVERS)
    preferred: Counter[str] = Counter()
    for number in range(GATEWAYS):
        gateway = SimulatedGateway(number, servers(SERVERS))
        gateway.apply_list(remaining + added)
        assert len(gateway.preferred_ids()) == SUBSET_SIZE
        preferred.update(gateway.preferred_ids())
    assert len(preferred) == SERVERS
    assert max(preferred.values()) < 3 * GATEWAYS * SUBSET_SIZE / SERVERS


@pytest.mark.parametrize("count", [SERVERS, MANY_SERVERS])
def test_the_memory_of_a_gateway_is_bounded_by_its_endpoint_list(count: int) -> None:
    """After requests, and after servers were added and removed, there is only the state of the listed endpoints."""
    listed = servers(count)
    simulated = SimulatedGateway(7, ())  # objects that are created only once exist before the measurement
    gc.collect()
    tracemalloc.start()
    try:
        simulated.apply_list(listed)
        for generation in range(1, 6):
            for _ in range(50):
                simulated.send_request()
            simulated.advance(61.0)  # longer than the state of removed endpoints is retained
            listed = listed[count * 6 // 10 :] + servers(count * 6 // 10, begin=count * generation)
            simulated.apply_list(listed)
        simulated.advance(61.0)
        simulated.apply_list(listed)
        gc.collect()
        memory_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    gateway = simulated.gateway
    assert len(gateway.cluster.endpoints.by_id) == len(gateway.cluster.outliers.endpoints) == count
    assert not gateway.cluster.outliers.removed
    assert not gateway.requests and not gateway.forwarder.attempts and not gateway.customers
    assert memory_bytes <= MAX_BYTES_PER_SERVER * count, memory_bytes / count


def http_response(body: bytes, chunked: bool) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    chunk_size = 10_007
    parts = (body[start : start + chunk_size] for start in range(0, len(body), chunk_size))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("count", [SERVERS, MANY_SERVERS])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("indent", [None, 2])
def test_a_list_of_thousands_of_endpoints_may_arrive_in_pieces(count: int, chunked: bool, indent: int | None) -> None:
    rows = [endpoint_entry((f"10.{n // 250}.{n % 250}.1", 6379), f"s-{n:08x}") for n in range(count)]
    complete = {"version": 41, "full": True, "servers": rows}
    update = {"version": 42, "full": False, "servers": [row | {"state": "draining"} for row in rows]}
    responses = [http_response(json.dumps(source, indent=indent).encode(), chunked) for source in (complete, update)]

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        piece_size = 4_099
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            for start in range(0, len(response), piece_size):
                writer.write(response[start : start + piece_size])
                await writer.drain()
                await asyncio.sleep(0)
        await reader.read()

    async def body() -> None:
        received: list[tuple[EndpointListKind, EndpointList]] = []
        async with Peer(script) as registry:
            discovery = DiscoveryClient(
                registry.address,
                lambda kind, endpoint_list: received.append((kind, endpoint_list)),
                None,
                random.Random(1),
                time.time,
            )
            task = asyncio.create_task(discovery.run())
            await wait_until(lambda: len(received) == 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert registry.connections == 1
        assert [kind for kind, _ in received] == [EndpointListKind.REPLACE, EndpointListKind.UPDATE]
        for _, endpoint_list in received:
            assert [endpoint.id for endpoint in endpoint_list.endpoints] == [row["id"] for row in rows]
            assert endpoint_list.addresses[rows[-1]["id"]] == (f"10.{(count - 1) // 250}.{(count - 1) % 250}.1", 6379)

    run_async(body())


def test_descriptors_depend_on_connections_and_not_on_the_length_of_the_endpoint_list(tmp_path: Path) -> None:
    """Sequential requests use no more than one connection to each server that the gateway prefers."""

    async def body() -> None:
        async with fake_endpoint() as peer:
            entries = [endpoint_entry(peer.address, f"s-{n:08x}") for n in range(SERVERS)]
            async with launched(tmp_path, *entries) as program:
                await program.ready()

                def descriptor_count() -> int:
                    return len(os.listdir(f"/proc/{program.process.pid}/fd"))

                idle_count = descriptor_count()
                assert idle_count <= RESERVED_DESCRIPTORS
                client = await RespClient.connect(program.address)
                for number in range(4 * SUBSET_SIZE):
                    assert await client.request(command(f"{number:016x}", customer=number)) == b"%016x" % number
                # There are one client connection, and one for a call to discovery that may be in progress.
                assert descriptor_count() <= idle_count + 2 + SUBSET_SIZE
                assert peer.connections <= SUBSET_SIZE
                check_no_traceback(program)
                client.writer.close()

    run_async(body())


# Tools that show many processes and servers


def test_an_experiment_with_sockets_may_have_hundreds_of_processes() -> None:
    experiment = build_experiment(
        {"name": "many", "sockets": True, "fleet": {"gateways": GATEWAYS, "servers": SERVERS}}
    )
    assert (experiment.fleet.gateways, experiment.fleet.servers) == (GATEWAYS, SERVERS)
    addresses = [ipaddress.IPv4Address(loopback_address(number)) for number in range(1024)]
    assert len(set(addresses)) == 1024 and all(address.is_loopback for address in addresses)


def test_a_summary_names_every_unreachable_ingress() -> None:
    ingresses = [PolledIngress((f"10.0.{number // 250}.{number % 250}", 7001)) for number in range(GATEWAYS)]
    for ingress in ingresses:
        ingress.state = PollState.UNREACHABLE
        ingress.error = "Connection refused"
    summary = summarize(ingresses, 0.0)
    assert [row["ingress"] for row in summary["unwell"]] == [ingress.name for ingress in ingresses]
    assert summary["unwell_left_out"] == 0
    *lines, last = [str(text) for text in render(summary).renderables[3:]]
    assert len(lines) == MAX_LINES and last == f"and {GATEWAYS - MAX_LINES} more"


def test_a_log_report_counts_every_ejected_server_and_lists_some() -> None:
    report = LogReport()
    for number in range(SERVERS):
        text = f"health s{number}: suspect to ejected: error, 2 bad"
        line = {"time": 1.0, "level": "info", "logger": "ingress.ingress", "event": text}
        report.read_line("n0", json.dumps(line).encode() + b"\n")
    result = report.result()
    assert len(result["ejections"]) == SERVERS
    lines = [text for text in as_text(result) if text.startswith("ejected") or "more" in text]
    assert len(lines) == MAX_LINES + 1 and lines[-1] == f"and {SERVERS - MAX_LINES} more"
