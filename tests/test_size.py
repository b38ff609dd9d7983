"""A fleet of hundreds: 230 gateways before 600 servers, and lists of 3,000 entries.  Counts alone, no times."""

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
from ingress.emulator.experiment import build
from ingress.emulator.live.loopback import loopback
from ingress.observability.log_report import LogReport, as_text
from ingress.observability.poller import PolledIngress, PollState
from ingress.observability.summary import summarize
from ingress.observability.terminal import MAX_LINES, render
from tests.peers import Caller, Peer, Reader, Writer, backend, command, entry, run, until
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
ANSWER_TIME = 0.05  # s
# A gateway holds a TrackedEndpoint and an EndpointHealth for each endpoint: 930 bytes together with their keys as
# measured by tracemalloc (Python 3.11, 600 and 3,000 servers).  Twice that leaves room for other versions, and 3,000
# servers then take 6 MB of the least memory limit of a deployment, 32 MB.
MOST_BYTES_A_SERVER = 2_048


def servers(count: int, begin: int = 0) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"s-{number:08x}", zone="a") for number in range(begin, begin + count))


class SimulatedGateway:
    """One real Gateway, its timers, and servers that answer every attempt after the same time."""

    def __init__(self, number: int, listed: tuple[Endpoint, ...]) -> None:
        self.gateway = Gateway(replace(SETTINGS, gateway_index=number), number)
        self.now, self.count = 100.0, 0
        self.timers: list[tuple[float, int]] = []
        self.attempts: Counter[str] = Counter()
        self.tell(listed)

    def tell(self, listed: tuple[Endpoint, ...]) -> None:
        self._handle(EndpointsChanged(EndpointListKind.REPLACE, listed))

    def _handle(self, event: Any) -> list[StartAttempt]:
        actions = self.gateway.handle(self.now, event)
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, SetTimer)]
        return [a for a in actions if isinstance(a, StartAttempt)]

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while due := sorted(timer for timer in self.timers if timer[0] <= end):
            self.timers.remove(due[0])
            self.now, token = due[0]
            self._handle(TimerFired(token))
        self.now = end

    def ask(self) -> None:
        self.count += 1
        request = RequestReceived(f"r{self.count}", "read", "basic", f"c{self.count % 10}", 2.5)
        for send in self._handle(request):
            self.attempts[send.endpoint_id] += 1
            self.pass_time(ANSWER_TIME)
            self._handle(
                AttemptEnded(send.request_id, 0, send.endpoint_id, Outcome.OK, ANSWER_TIME, request_finished=True)
            )

    def preferred(self) -> list[str]:
        return [server.info.id for server in self.gateway.cluster.endpoints.preferred]


def test_each_server_is_preferred_by_as_many_gateways_as_any_other() -> None:
    """`Subset` deals one order of all servers to gateways with numbers in a row, SUBSET_SIZE to each.  600 servers are
    50 such parts, so each row of 50 gateways prefers each server once: 230 gateways are four rows and 30 gateways of a
    fifth, and each server is preferred by four or five of them."""
    parts = SERVERS // SUBSET_SIZE
    assert parts * SUBSET_SIZE == SERVERS
    fleet = [SimulatedGateway(number, servers(SERVERS)) for number in range(GATEWAYS)]
    preferred = Counter(name for one in fleet for name in one.preferred())
    assert len(preferred) == SERVERS
    assert set(preferred.values()) <= {GATEWAYS // parts, -(-GATEWAYS // parts)}
    attempts: Counter[str] = Counter()
    for one in fleet:
        for _ in range(2 * SUBSET_SIZE):
            one.ask()
            one.pass_time(0.2)
        assert set(one.attempts) <= set(one.preferred())
        attempts += one.attempts
    # Each gateway spreads its requests over those that it prefers, so that each server gets some of all.
    assert len(attempts) == SERVERS and attempts.total() == GATEWAYS * 2 * SUBSET_SIZE


def test_servers_that_come_in_place_of_others_are_preferred_as_well() -> None:
    """Six in ten are replaced.  A gateway keeps those that it knows, and takes its part of the new order beside them:
    none of the servers is left to nobody, and none is preferred by three times the mean or more."""
    staying, fresh = servers(SERVERS)[: SERVERS * 4 // 10], servers(SERVERS * 6 // 10, begin=SERVERS)
    preferred: Counter[str] = Counter()
    for number in range(GATEWAYS):
        one = SimulatedGateway(number, servers(SERVERS))
        one.tell(staying + fresh)
        assert len(one.preferred()) == SUBSET_SIZE
        preferred.update(one.preferred())
    assert len(preferred) == SERVERS
    assert max(preferred.values()) < 3 * GATEWAYS * SUBSET_SIZE / SERVERS


@pytest.mark.parametrize("count", [SERVERS, MANY_SERVERS])
def test_the_state_of_a_gateway_is_bounded_by_its_list(count: int) -> None:
    """After requests and after servers that come and go it holds what one has that was just told the same list."""
    listed = servers(count)
    one = SimulatedGateway(7, ())  # what is made once is there
    gc.collect()
    tracemalloc.start()
    try:
        one.tell(listed)
        for generation in range(1, 6):
            for _ in range(50):
                one.ask()
            one.pass_time(61.0)  # longer than anything that left is remembered
            listed = listed[count * 6 // 10 :] + servers(count * 6 // 10, begin=count * generation)
            one.tell(listed)
        one.pass_time(61.0)
        one.tell(listed)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    gateway = one.gateway
    assert len(gateway.cluster.endpoints.by_id) == len(gateway.cluster.outliers.endpoints) == count
    assert not gateway.cluster.outliers.removed
    assert not gateway.requests and not gateway.forwarder.attempts and not gateway.customers
    assert held <= MOST_BYTES_A_SERVER * count, held / count


def answer(body: bytes, chunked: bool) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    size = 10_007  # of a chunk
    parts = (body[at : at + size] for at in range(0, len(body), size))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("count", [SERVERS, MANY_SERVERS])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("indent", [None, 2])
def test_a_list_of_thousands_comes_in_pieces(count: int, chunked: bool, indent: int | None) -> None:
    rows = [entry((f"10.{n // 250}.{n % 250}.1", 6379), f"s-{n:08x}") for n in range(count)]
    whole = {"version": 41, "full": True, "servers": rows}
    changed = {"version": 42, "full": False, "servers": [row | {"state": "draining"} for row in rows]}
    answers = [answer(json.dumps(source, indent=indent).encode(), chunked) for source in (whole, changed)]

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for text in answers:
            await reader.readuntil(b"\r\n\r\n")
            for at in range(0, len(text), 4_099):
                writer.write(text[at : at + 4_099])
                await writer.drain()
                await asyncio.sleep(0)
        await reader.read()

    async def body() -> None:
        told: list[tuple[EndpointListKind, EndpointList]] = []
        async with Peer(script) as agent:
            discovery = DiscoveryClient(
                agent.address, lambda kind, found: told.append((kind, found)), None, random.Random(1), time.time
            )
            task = asyncio.create_task(discovery.run())
            await until(lambda: len(told) == 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert agent.connections == 1
        assert [kind for kind, _ in told] == [EndpointListKind.REPLACE, EndpointListKind.UPDATE]
        for _, found in told:
            assert [one.id for one in found.endpoints] == [row["id"] for row in rows]
            assert found.addresses[rows[-1]["id"]] == (f"10.{(count - 1) // 250}.{(count - 1) % 250}.1", 6379)

    run(body())


def test_descriptors_follow_what_a_process_uses_and_not_its_list(tmp_path: Path) -> None:
    """One after another, requests take no more than one connection to each server that the gateway prefers."""

    async def body() -> None:
        async with backend() as peer:
            known = [entry(peer.address, f"s-{n:08x}") for n in range(SERVERS)]
            async with launched(tmp_path, *known) as program:
                await program.ready()

                def held() -> int:
                    return len(os.listdir(f"/proc/{program.process.pid}/fd"))

                idle = held()
                assert idle <= RESERVED_DESCRIPTORS
                caller = await Caller.to(program.address)
                for number in range(4 * SUBSET_SIZE):
                    assert await caller.ask(command(f"{number:016x}", customer=number)) == b"%016x" % number
                # One connection of a client, and one more for a call to discovery that may be under way.
                assert held() <= idle + 2 + SUBSET_SIZE
                assert peer.connections <= SUBSET_SIZE
                check_no_traceback(program)
                caller.writer.close()

    run(body())


# Lists of processes and servers in the tools


def test_a_play_on_real_sockets_may_have_hundreds_of_processes() -> None:
    found = build({"name": "many", "sockets": True, "fleet": {"gateways": GATEWAYS, "servers": SERVERS}})
    assert (found.fleet.gateways, found.fleet.servers) == (GATEWAYS, SERVERS)
    addresses = [ipaddress.IPv4Address(loopback(number)) for number in range(1024)]
    assert len(set(addresses)) == 1024 and all(one.is_loopback for one in addresses)


def test_a_look_names_every_ingress_of_a_fleet_that_does_not_answer() -> None:
    ingresses = [PolledIngress((f"10.0.{number // 250}.{number % 250}", 7001)) for number in range(GATEWAYS)]
    for one in ingresses:
        one.state, one.error = PollState.UNREACHABLE, "Connection refused"
    look = summarize(ingresses, 0.0)
    assert [one["ingress"] for one in look["unwell"]] == [one.name for one in ingresses]
    assert look["unwell_left_out"] == 0
    *lines, last = [str(text) for text in render(look).renderables[3:]]
    assert len(lines) == MAX_LINES and last == f"and {GATEWAYS - MAX_LINES} more"


def test_an_account_names_every_server_that_was_ejected() -> None:
    account = LogReport()
    for number in range(SERVERS):
        text = f"health s{number}: suspect to ejected: error, 2 bad"
        line = {"time": 1.0, "level": "info", "logger": "ingress.ingress", "event": text}
        account.read_line("n0", json.dumps(line).encode() + b"\n")
    found = account.result()
    assert len(found["ejections"]) == SERVERS
    lines = [text for text in as_text(found) if text.startswith("ejected") or "more" in text]
    assert len(lines) == MAX_LINES + 1 and lines[-1] == f"and {SERVERS - MAX_LINES} more"
