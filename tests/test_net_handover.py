"""Upgrades: a second process takes over the listening socket and the state; both share quotas and limits."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from ingress.configuration.document import Config
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import ProcessGroupChanged
from ingress.ingress import Ingress
from ingress.process_group.errors import HandoverError
from ingress.process_group.handover import take_over
from ingress.process_group.membership import SPARE_DIVISOR
from tests.peers import (
    SETTINGS,
    Address,
    RespClient,
    command,
    config,
    endpoint_entry,
    fake_endpoint,
    resp,
    run_async,
    wait_until,
)
from tests.test_net_control import ADMIN_LISTEN, admin_call

CUSTOMER_7 = f"{7:016x}"  # the customer whose id the commands contain
SMALL_BURST_SETTINGS = SETTINGS | {"contracts": [{"name": "basic", "refill": 0.001, "burst": 4.0}]}


@asynccontextmanager
async def ingress_process(settings: Config, path: Path) -> AsyncIterator[tuple[Ingress, asyncio.Event]]:
    """Run an ingress process, from takeover to shutdown, within this test process."""
    received_handover = await asyncio.to_thread(take_over, path)
    ingress = Ingress(settings, received_handover=received_handover, path=path)
    stop = asyncio.Event()
    task = asyncio.create_task(ingress.run(stop))
    group = ingress.process_group
    await wait_until(lambda: path.is_socket() and group.links and group.links.successor_server)
    try:
        yield ingress, stop
        if stop.is_set():
            await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        ingress.clients.close()
        ingress.pool.close()
        if group.heartbeat_timer:
            group.heartbeat_timer.cancel()
        if group.links:
            group.links.close()


def listen_address(ingress: Ingress) -> Address:
    address: Address = ingress.clients.listening_socket.getsockname()
    return address


def ingress_config(peer: Any, **changes: Any) -> Config:
    return config(*(endpoint_entry(peer.address, f"s{n}") for n in range(8)), control=ADMIN_LISTEN, **changes)


def test_the_second_process_accepts_new_connections_and_the_first_ends(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with fake_endpoint() as peer, ingress_process(ingress_config(peer), path) as (first, stop):
            address = listen_address(first)
            kept = await RespClient.connect(address)
            assert await kept.request(command("kept")) == b"kept"
            async with ingress_process(ingress_config(peer), path) as (second, _):
                await wait_until(lambda: first.process_group.successor)
                assert listen_address(second) == address
                assert await admin_call(second, b"ready") == "ok\n"
                fresh = await RespClient.connect(address)
                assert await fresh.request(command("fresh")) == b"fresh"
                assert second.requests.received_count == 1
                assert await kept.request(command("still")) == b"still"
                assert first.requests.received_count == 2
                stop.set()
                with pytest.raises(EOFError):
                    await kept.read_answer()
                assert first.clients.is_ready  # the second process serves, so clients need not leave the ingress
                await wait_until(lambda: not second.process_group.links or not second.process_group.links.links)
                assert await fresh.request(command("on")) == b"on"

    run_async(body())


def test_a_customer_gets_its_burst_once_from_both_processes(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with (
            fake_endpoint() as peer,
            ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (first, _),
        ):
            kept = await RespClient.connect(listen_address(first))
            assert await kept.request(command("1")) == b"1"
            async with ingress_process(ingress_config(peer, settings=SMALL_BURST_SETTINGS), path) as (second, _):
                await wait_until(lambda: first.process_group.successor)
                fresh = await RespClient.connect(listen_address(second))
                assert await fresh.request(command("2")) == b"2"
                await wait_until(lambda: first.gateway.customers[CUSTOMER_7].slice.level < 2.5)
                assert await kept.request(command("3")) == b"3"
                await wait_until(lambda: second.gateway.customers[CUSTOMER_7].slice.level < 1.5)
                assert await fresh.request(command("4")) == b"4"
                assert str(await fresh.request(command("5"))).startswith("BUSY")
                await wait_until(lambda: first.gateway.customers[CUSTOMER_7].slice.level < 0.5)
                assert str(await kept.request(command("6"))).startswith("BUSY")

    run_async(body())


def test_the_second_process_inherits_the_health_of_endpoints(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with fake_endpoint() as peer, ingress_process(ingress_config(peer), path) as (first, _):
            outliers = first.gateway.cluster.outliers
            health = first.gateway.cluster.endpoints.by_id["s3"].health
            while not outliers.ejected_count:
                outliers.record_failure(health, first.clock(), Outcome.ERROR)
            async with ingress_process(ingress_config(peer), path) as (second, _):
                inherited = second.gateway.cluster.endpoints.by_id["s3"].health
                assert inherited.snapshot() == health.snapshot()
                assert second.gateway.health()["health.ejected"] == 1
                assert second.gateway.health()["health.healthy"] == 7

    run_async(body())


def test_the_first_process_accepts_again_when_the_second_ends(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with fake_endpoint() as peer, ingress_process(ingress_config(peer), path) as (first, _):
            address = listen_address(first)
            async with ingress_process(ingress_config(peer), path):
                await wait_until(lambda: first.process_group.successor)
            await wait_until(lambda: not first.process_group.successor)
            caller = await RespClient.connect(address)
            assert await caller.request(command("on")) == b"on"
            assert first.requests.received_count == 1 and not first.gateway.process_state.group.other_processes

    run_async(body())


def test_after_failed_upgrades_the_next_process_takes_over_from_the_first(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with fake_endpoint() as peer, ingress_process(ingress_config(peer), path) as (first, _):
            for _ in range(2):
                async with ingress_process(ingress_config(peer), path):
                    await wait_until(lambda: first.process_group.successor is not None)
                await wait_until(
                    lambda: first.process_group.successor is None
                    and first.process_group.listen_task
                    and first.process_group.listen_task.done()
                )
            async with ingress_process(ingress_config(peer), path) as (last, _):
                assert last.received_handover is not None and listen_address(last) == listen_address(first)
                caller = await RespClient.connect(listen_address(last))
                assert await caller.request(command()) == b"00000000000000aa"

    run_async(body())


def test_two_upgrades_in_a_row(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with (
            fake_endpoint() as peer,
            ingress_process(ingress_config(peer), path) as (first, stop),
            ingress_process(ingress_config(peer), path) as (second, stop_second),
        ):
            await wait_until(lambda: first.process_group.successor)
            stop.set()
            async with ingress_process(ingress_config(peer), path) as (third, _):
                await wait_until(lambda: second.process_group.successor)
                stop_second.set()
                caller = await RespClient.connect(listen_address(third))
                assert await caller.request(command("on")) == b"on"
                assert third.requests.received_count == 1

    run_async(body())


@pytest.mark.parametrize("resumed_index", [0, 1])
def test_a_drain_continues_in_the_second_process_and_can_be_ended_at_either(tmp_path: Path, resumed_index: int) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with fake_endpoint() as peer, ingress_process(ingress_config(peer), path) as (first, _):
            assert await admin_call(first, b"drain") == "ok\n"
            async with ingress_process(ingress_config(peer), path) as (second, _):
                await wait_until(lambda: first.process_group.successor)
                assert await admin_call(second, b"ready") == "ok\n"
                assert not second.clients.is_ready
                assert await admin_call([first, second][resumed_index], b"resume") == "ok\n"
                await wait_until(lambda: first.clients.is_ready and second.clients.is_ready)
                caller = await RespClient.connect(listen_address(second))
                assert await caller.request(resp(b"PING")) == b"PONG"

    run_async(body())


def test_the_connection_limits_of_both_processes_stay_within_the_total(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with fake_endpoint() as peer, ingress_process(ingress_config(peer), path) as (first, _):
            kept = [await RespClient.connect(listen_address(first)) for _ in range(5)]
            await wait_until(lambda: len(first.clients.connections) == 5)
            async with ingress_process(ingress_config(peer), path) as (second, _):
                total, spare = (
                    second.config.max_client_connections,
                    second.config.max_client_connections // SPARE_DIVISOR + 1,
                )
                await wait_until(lambda: second.clients.max_connections == total - spare - 5)
                assert first.clients.max_connections == spare + 5
                for caller in kept:
                    caller.writer.close()
                await wait_until(lambda: second.clients.max_connections == total - spare)
                assert first.clients.max_connections == spare
            await wait_until(lambda: first.clients.max_connections == total)  # with the reserve of the ended process

    run_async(body())


@pytest.mark.parametrize("leftover", ["none", "file", "socket"])
def test_the_socket_file_left_by_a_crash_is_replaced(tmp_path: Path, leftover: str) -> None:
    async def body() -> None:
        path = tmp_path / ("deep" * 40) / "there"  # longer than a Unix socket address can be
        path.parent.mkdir()
        if leftover == "file":
            path.write_bytes(b"")
        elif leftover == "socket":
            short = tmp_path / "short"
            with socket.socket(socket.AF_UNIX) as sock:
                sock.bind(str(short))
            short.rename(path)
        async with (
            fake_endpoint() as peer,
            ingress_process(ingress_config(peer), path) as (first, _),
            ingress_process(ingress_config(peer), path) as (second, _),
        ):
            await wait_until(lambda: first.process_group.successor)
            assert listen_address(first) == listen_address(second)

    run_async(body())


def test_a_malformed_handover_message_is_reported(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"

        async def script(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b'{"form": 0}\n')

        async with await asyncio.start_unix_server(script, path):
            with pytest.raises(HandoverError, match="unsupported format version 0 of the handover message"):
                await asyncio.to_thread(take_over, path)

    run_async(body())


def test_malformed_messages_from_another_process_are_ignored(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with fake_endpoint() as peer, ingress_process(ingress_config(peer), path) as (first, _):
            reader, writer = await asyncio.open_unix_connection(str(path))
            writer.write(b'{"spent": [1]}\nnonsense\n[]\n')
            writer.write(b'{"spent": ["c", "basic", 1, 3.0, true, 1, "", 0.0]}\n')
            await wait_until(lambda: "c" in first.gateway.customers)
            assert first.gateway.process_state.group == ProcessGroupChanged(1, False)
            writer.close()
            await wait_until(lambda: not first.gateway.process_state.group.other_processes)
            assert not first.gateway.customers["c"].concurrency.in_flight_elsewhere
            del reader

    run_async(body())
