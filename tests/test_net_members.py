"""Membership of real processes: chains, SIGSTOP, SIGKILL, lost links and upgrades under load."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import re
import signal
import sys
import time
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import uvloop

from ingress.process_group.presence import Presence, start_ticks_of
from tests.peers import (
    STARTED_PROCESSES,
    Address,
    Peer,
    RespClient,
    command,
    config_text,
    endpoint_entry,
    fake_endpoint,
    free_port,
    resp,
    wait_until,
)
from tests.test_net_handover import CUSTOMER_7, SMALL_BURST_SETTINGS, ingress_config, ingress_process, listen_address

ROOT = Path(__file__).resolve().parent.parent
PING = resp(b"PING")


def run_async(body: Coroutine[Any, Any, None]) -> None:
    uvloop.run(asyncio.wait_for(body, 90.0))


class IngressProcesses:
    """The operating system processes of one ingress."""

    def __init__(self, folder: Path, peer: Peer, **changes: Any) -> None:
        self.folder = folder
        self.port = free_port()
        self.path = folder / "config.json"
        servers = (endpoint_entry(peer.address, f"s{n}") for n in range(8))
        self.path.write_text(config_text(*servers, listen=f"127.0.0.1:{self.port}", **changes), encoding="utf-8")
        self.address: Address = ("127.0.0.1", self.port)
        self.started: list[tuple[asyncio.subprocess.Process, Address]] = []

    async def start(self) -> tuple[asyncio.subprocess.Process, Address]:
        control = ("127.0.0.1", free_port())
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ingress",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ
            | {"EDGE_CONFIG": str(self.path), "TMPDIR": str(self.folder), "EDGE_CONTROL": f"{control[0]}:{control[1]}"},
        )
        STARTED_PROCESSES.append(child)
        self.started.append((child, control))
        while True:
            with contextlib.suppress(OSError):
                if await admin_call(control, "ready") == "ok\n":
                    return child, control
            assert child.returncode is None
            await asyncio.sleep(0.02)


async def admin_call(control: Address, line: str) -> str:
    reader, writer = await asyncio.open_connection(*control)
    writer.write(line.encode() + b"\n")
    text = (await reader.read()).decode()
    writer.close()
    return text


async def members(control: Address) -> list[str]:
    return [line for line in (await admin_call(control, "show-members")).split("\n") if line.startswith("member: ")]


async def settled(controls: list[Address], count: int) -> float:
    """Wait until all have the same view of `count` processes, one of which accepts; return the seconds that it took."""
    started_at = time.monotonic()
    while True:
        views = []
        for control in controls:
            rows = await members(control)
            views.append(tuple((row.split()[1], " leads" in row, " accepts" in row, " silent" in row) for row in rows))
        if len(set(views)) == 1 and len(views[0]) == count and sum(accepts for _, _, accepts, _ in views[0]) == 1:
            return time.monotonic() - started_at
        await asyncio.sleep(0.02)


async def total_reserve(controls: list[Address]) -> tuple[int, int]:
    """Return the sums of the reserves, as each process reports its own: client and endpoint connections."""
    sums = [0, 0]
    for control in controls:
        for row in await members(control):
            if "(this one)" in row:
                found = re.search(r"of (-?\d+)\+(-?\d+)", row)
                assert found is not None
                sums[0] += int(found[1])
                sums[1] += int(found[2])
    return sums[0], sums[1]


@asynccontextmanager
async def ingress(
    folder: Path, count: int
) -> AsyncIterator[tuple[IngressProcesses, list[tuple[asyncio.subprocess.Process, Address]]]]:
    async with fake_endpoint() as peer:
        processes = IngressProcesses(folder, peer)
        yield processes, [await processes.start() for _ in range(count)]


def test_a_chain_of_processes_settles_on_one_view_and_keeps_the_total(tmp_path: Path) -> None:
    async def body() -> None:
        async with ingress(tmp_path, 4) as (_, started_ones):
            controls = [control for _, control in started_ones]
            await settled(controls, 4)
            rows = await members(controls[0])
            assert [" leads" in row for row in rows] == [True, False, False, False]
            assert [" accepts" in row for row in rows] == [False, False, False, True]
            total = (await admin_call(controls[0], "show-members")).split("\n")[1]
            limit = tuple(map(int, re.findall(r"\d+", total)))
            for _ in range(10):
                sums = await total_reserve(controls)
                assert sums[0] <= limit[0] and sums[1] <= limit[1]
            while await total_reserve(controls) != limit:  # and nothing of it is lost
                await asyncio.sleep(0.02)

    run_async(body())


def test_a_stopped_process_is_replaced_and_after_it_continues_only_one_accepts(tmp_path: Path) -> None:
    async def body() -> None:
        async with ingress(tmp_path, 2) as (processes, started_ones):
            (first, one), (second, two) = started_ones
            await settled([one, two], 2)
            second.send_signal(signal.SIGSTOP)
            await settled([one], 2)
            while not any(" silent" in row for row in await members(one)):
                await asyncio.sleep(0.05)
            rows = await members(one)
            assert " accepts" in rows[0] and " silent" in rows[1]
            before = await total_reserve([one])
            caller = await RespClient.connect(processes.address)  # the stopped process accepts none
            assert await caller.request(command()) == b"00000000000000aa"
            assert await total_reserve([one]) <= before  # the stopped process keeps its reserve
            second.send_signal(signal.SIGCONT)
            await settled([one, two], 2)
            assert " accepts" in (await members(one))[1]
            assert await caller.request(PING) == b"PONG"
            assert first.returncode is None and second.returncode is None

    run_async(body())


def test_when_the_middle_of_a_chain_is_killed_one_view_and_all_reserves_remain(tmp_path: Path) -> None:
    async def body() -> None:
        async with ingress(tmp_path, 3) as (processes, started_ones):
            (_, one), (middle, two), (_, three) = started_ones
            await settled([one, two, three], 3)
            middle.send_signal(signal.SIGKILL)
            await middle.wait()
            await settled([one, three], 2)
            limit = tuple(map(int, re.findall(r"\d+", (await admin_call(one, "show-members")).split("\n")[1])))
            while await total_reserve([one, three]) != limit:
                await asyncio.sleep(0.02)
            # The drain is sent over the new link between the remaining processes.
            assert (await admin_call(three, "drain")).startswith("ok")
            while not any("1|g" in line for line in [await admin_call(one, "ready")]):
                caller = await RespClient.connect(processes.address)
                answer = await caller.request(PING)
                caller.writer.close()
                if "draining" in str(answer):
                    break
            assert (await admin_call(three, "resume")).startswith("ok")

    run_async(body())


def test_the_next_oldest_leads_after_the_oldest_is_killed_and_accepts_after_the_youngest_is_killed(
    tmp_path: Path,
) -> None:
    async def body() -> None:
        async with ingress(tmp_path, 3) as (processes, started_ones):
            (eldest, _), (_, two), (youngest, three) = started_ones
            await settled([two, three], 3)
            eldest.send_signal(signal.SIGKILL)
            await eldest.wait()
            await settled([two, three], 2)
            assert " leads" in (await members(two))[0]
            youngest.send_signal(signal.SIGKILL)
            await youngest.wait()
            await settled([two], 1)
            caller = await RespClient.connect(processes.address)
            assert await caller.request(command()) == b"00000000000000aa"
            _, new_control = await processes.start()  # the next process finds the remaining one
            await settled([two, new_control], 2)

    run_async(body())


def test_twenty_upgrades_under_load_lose_no_request(tmp_path: Path) -> None:
    async def body() -> None:
        async with ingress(tmp_path, 1) as (processes, started_ones):
            counts = {"answered": 0, "lost": 0}
            over = asyncio.Event()

            async def client(number: int) -> None:
                caller = None
                for count in itertools.count():
                    if over.is_set():
                        return
                    request = command(customer=number * 100_000 + count % 1000)  # each well within its quota
                    if caller is None:
                        caller = await RespClient.connect(processes.address)
                    try:
                        assert await caller.request(request) == b"00000000000000aa"
                        counts["answered"] += 1
                    except (EOFError, ConnectionError):
                        # The connection was closed between two requests, or as the request was sent: retry once.
                        caller = await RespClient.connect(processes.address)
                        try:
                            assert await caller.request(request) == b"00000000000000aa"
                            counts["answered"] += 1
                        except (EOFError, ConnectionError):
                            counts["lost"] += 1
                            caller = None
                    await asyncio.sleep(0.005)

            clients = [asyncio.create_task(client(n)) for n in range(4)]
            old = started_ones[0]
            for _ in range(20):
                new = await processes.start()
                old[0].send_signal(signal.SIGTERM)
                assert await old[0].wait() == 0
                old = new
            over.set()
            await asyncio.gather(*clients)
            assert counts["lost"] == 0 and counts["answered"] > 100
            await settled([old[1]], 1)

    run_async(body())


def test_a_lost_link_between_two_running_processes_is_reconnected(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with (
            fake_endpoint() as peer,
            ingress_process(ingress_config(peer), path) as (first, _),
            ingress_process(ingress_config(peer), path) as (second, _),
        ):
            await wait_until(
                lambda: first.process_group.membership
                and first.process_group.membership.others
                and first.process_group.successor
            )
            assert (
                first.process_group.links
                and second.process_group.links
                and first.process_group.membership
                and second.process_group.membership
            )
            total = first.config.max_client_connections
            for link in list(first.process_group.links.links):
                assert link.transport is not None
                link.transport.abort()
            await wait_until(
                lambda: first.process_group.links
                and first.process_group.links.links
                and second.process_group.links
                and second.process_group.links.links
            )
            await wait_until(
                lambda: first.process_group.membership
                and second.process_group.membership
                and (
                    first.process_group.membership.local.reserve[0] + second.process_group.membership.local.reserve[0]
                    == total
                )
            )
            assert not first.clients.acceptor.accepting and second.clients.acceptor.accepting
            assert listen_address(first) == listen_address(second)

    run_async(body())


def test_usage_of_one_process_counts_once_at_the_other(tmp_path: Path) -> None:
    """The member record of a process that had been alone was old, so its link was taken for lost and a second one was
    made. All its usage counted twice, and customers were refused within their quotas."""

    async def body() -> None:
        path = tmp_path / "there"
        async with (
            fake_endpoint() as peer,
            ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (first, _),
        ):
            kept = await RespClient.connect(listen_address(first))
            await asyncio.sleep(0.5)  # while it is alone, it does not update its record
            async with ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (second, _):
                await wait_until(lambda: first.process_group.successor)
                await asyncio.sleep(0.6)  # longer than the delay before a reconnect
                assert first.process_group.links and second.process_group.links
                assert len(first.process_group.links.links) == len(second.process_group.links.links) == 1
                assert second.process_group.membership and not second.process_group.membership.silent_processes(
                    time.monotonic()
                )
                assert await kept.request(command("1")) == b"1"
                await wait_until(lambda: CUSTOMER_7 in second.gateway.customers)
                await asyncio.sleep(0.1)
                assert 2.9 < second.gateway.customers[CUSTOMER_7].slice.level < 3.1  # 4, less one
                link = next(iter(second.process_group.links.links))
                link.is_newer = False
                second.process_group.links.connect(first.process_group.links.presence.name)
                await wait_until(lambda: second.process_group.links and not second.process_group.links.connecting)
                await wait_until(lambda: second.process_group.links and len(second.process_group.links.links) == 1)

    run_async(body())


def test_over_links_in_a_ring_each_unit_counts_once_and_each_message_is_forwarded_once(tmp_path: Path) -> None:
    """The usage of one request was forwarded 4,250 times within 0.5 s, and emptied the customer's bucket everywhere."""

    async def body() -> None:
        path = tmp_path / "there"
        async with (
            fake_endpoint() as peer,
            ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (first, _),
        ):
            kept = await RespClient.connect(listen_address(first))
            async with (
                ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (second, _),
                ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (third, _),
            ):
                await wait_until(lambda: first.process_group.successor and second.process_group.successor)
                assert first.process_group.links and third.process_group.links
                third.process_group.links.connect(
                    first.process_group.links.presence.name
                )  # as after the process between them was stopped
                await wait_until(lambda: first.process_group.links and len(first.process_group.links.links) == 2)
                await wait_until(lambda: third.process_group.links and len(third.process_group.links.links) == 2)
                assert await kept.request(command("1")) == b"1"
                await wait_until(lambda: all(CUSTOMER_7 in instance.gateway.customers for instance in (second, third)))
                await asyncio.sleep(0.3)
                for instance in (first, second, third):
                    assert 2.9 < instance.gateway.customers[CUSTOMER_7].slice.level < 3.1  # 4, less one
                    assert instance.gateway.customers[CUSTOMER_7].concurrency.in_flight_elsewhere == 0
                assert (
                    second.process_group.ledger.received_count <= 4 and third.process_group.ledger.received_count <= 4
                )  # the start and the end of the attempt, over two paths
                first.process_group.drain_all(True)
                await wait_until(lambda: second.gateway.draining.by_operator and third.gateway.draining.by_operator)
                third.process_group.drain_all(False)
                await wait_until(
                    lambda: not first.gateway.draining.by_operator and not second.gateway.draining.by_operator
                )
                await asyncio.sleep(0.1)
                assert not any(instance.gateway.draining.by_operator for instance in (first, second, third))

    run_async(body())


def test_usage_while_the_link_is_lost_is_sent_after_the_reconnect(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with (
            fake_endpoint() as peer,
            ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (first, _),
        ):
            kept = await RespClient.connect(listen_address(first))
            async with ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (second, _):
                await wait_until(lambda: first.process_group.successor)
                assert first.process_group.links and second.process_group.links
                assert await kept.request(command("1")) == b"1"
                await wait_until(lambda: CUSTOMER_7 in second.gateway.customers)
                for link in list(first.process_group.links.links):
                    link.transport.abort()  # type: ignore[union-attr]
                assert await kept.request(command("2")) == b"2"  # before the event loop has noticed the loss
                await wait_until(lambda: first.process_group.links and first.process_group.links.links)
                await wait_until(lambda: second.gateway.customers[CUSTOMER_7].slice.level < 2.1)
                await asyncio.sleep(0.1)
                assert 1.9 < second.gateway.customers[CUSTOMER_7].slice.level < 2.1
                assert second.gateway.customers[CUSTOMER_7].concurrency.in_flight_elsewhere == 0

    run_async(body())


def test_after_the_middle_of_a_chain_was_stopped_it_counts_nothing_twice(tmp_path: Path) -> None:
    """The youngest process connects to the oldest meanwhile, so the links form a ring once the middle one continues."""

    async def body() -> None:
        async with ingress(tmp_path, 3) as (processes, started_ones):
            (_, one), (middle, two), (_, three) = started_ones
            await settled([one, two, three], 3)
            middle.send_signal(signal.SIGSTOP)
            while sum(" silent" in row for row in await members(three)) != 1:  # then it connects to the oldest
                await asyncio.sleep(0.05)
            middle.send_signal(signal.SIGCONT)
            await settled([one, two, three], 3)
            before = await received_usage_messages(two)
            caller = await RespClient.connect(processes.address)
            for number in range(5):
                assert await caller.request(command(customer=number)) == b"00000000000000aa"
            await asyncio.sleep(0.5)
            # Two messages for each request, over two or three paths.
            assert 10 <= await received_usage_messages(two) - before <= 40

    run_async(body())


async def received_usage_messages(control: Address) -> int:
    found = re.search(r"words: \d+ told, (\d+) heard", await admin_call(control, "show-members"))
    assert found is not None
    return int(found[1])


def test_sockets_left_by_a_crash_are_ignored_even_if_the_process_id_is_reused(tmp_path: Path) -> None:
    path = tmp_path / "there"
    presence = Presence(path)
    sock = presence.announce()
    assert sock is not None
    start_ticks = start_ticks_of(os.getpid())
    assert start_ticks is not None and start_ticks_of(2**22 + 1) is None
    (tmp_path / f"there.{os.getpid()}-{start_ticks + 1}").touch()  # another process with the same id
    (tmp_path / "there.99999999-5").touch()
    (tmp_path / "there.new.7").touch()  # not the name of a process
    (tmp_path / "thereabouts.1-1").touch()
    assert presence.list_processes() == [presence.name]
    assert sorted(p.name for p in tmp_path.iterdir()) == sorted(
        [f"there.{presence.name}", "there.new.7", "thereabouts.1-1"]
    )
    sock.close()
    presence.withdraw()
    assert presence.list_processes() == []
