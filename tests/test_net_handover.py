"""Upgrade: a second process of the same ingress takes the listener and the state, and both count as one."""

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
from tests.peers import SETTINGS, Address, Caller, backend, command, config, entry, resp, run, until
from tests.test_net_control import SECOND, call

SEVEN = f"{7:016x}"  # the customer of the commands
SMALL = SETTINGS | {"contracts": [{"name": "basic", "refill": 0.001, "burst": 4.0}]}


@asynccontextmanager
async def process(settings: Config, path: Path) -> AsyncIterator[tuple[Ingress, asyncio.Event]]:
    """What a process of the ingress does, from its start to its end."""
    taken = await asyncio.to_thread(take_over, path)
    served, stop = Ingress(settings, received_handover=taken, path=path), asyncio.Event()
    task = asyncio.create_task(served.run(stop))
    await until(lambda: path.is_socket() and served.process_group.links and served.process_group.links.successor_server)
    try:
        yield served, stop
        if stop.is_set():
            await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        served.clients.close()
        served.pool.close()
        if served.process_group.heartbeat_timer:
            served.process_group.heartbeat_timer.cancel()
        if served.process_group.links:
            served.process_group.links.close()


def where(served: Ingress) -> Address:
    address: Address = served.clients.listening_socket.getsockname()
    return address


def fleet(peer: Any, **changes: Any) -> Config:
    return config(*(entry(peer.address, f"s{n}") for n in range(8)), control=SECOND, **changes)


def test_the_second_process_takes_new_connections_and_the_first_ends(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer), path) as (first, stop):
            address = where(first)
            kept = await Caller.to(address)
            assert await kept.ask(command("kept")) == b"kept"
            async with process(fleet(peer), path) as (second, _):
                await until(lambda: first.process_group.successor)
                assert where(second) == address
                assert await call(second, b"ready") == "ok\n"
                fresh = await Caller.to(address)
                assert await fresh.ask(command("fresh")) == b"fresh"
                assert second.requests.received_count == 1
                assert await kept.ask(command("still")) == b"still"
                assert first.requests.received_count == 2
                stop.set()
                with pytest.raises(EOFError):
                    await kept.answer()
                assert first.clients.is_ready  # the ingress goes on: nobody need turn away
                await until(lambda: not second.process_group.links or not second.process_group.links.links)
                assert await fresh.ask(command("on")) == b"on"

    run(body())


def test_a_customer_gets_its_burst_once_from_both(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer, settings=SMALL), path) as (first, _):
            kept = await Caller.to(where(first))
            assert await kept.ask(command("1")) == b"1"
            async with process(fleet(peer, settings=SMALL), path) as (second, _):
                await until(lambda: first.process_group.successor)
                fresh = await Caller.to(where(second))
                assert await fresh.ask(command("2")) == b"2"
                await until(lambda: first.gateway.customers[SEVEN].slice.level < 2.5)
                assert await kept.ask(command("3")) == b"3"
                await until(lambda: second.gateway.customers[SEVEN].slice.level < 1.5)
                assert await fresh.ask(command("4")) == b"4"
                assert str(await fresh.ask(command("5"))).startswith("BUSY")
                await until(lambda: first.gateway.customers[SEVEN].slice.level < 0.5)
                assert str(await kept.ask(command("6"))).startswith("BUSY")

    run(body())


def test_the_second_process_inherits_the_evidence(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer), path) as (first, _):
            outliers = first.gateway.cluster.outliers
            one = first.gateway.cluster.endpoints.by_id["s3"].health
            while not outliers.ejected_count:
                outliers.record_failure(one, first.clock(), Outcome.ERROR)
            async with process(fleet(peer), path) as (second, _):
                successor = second.gateway.cluster.endpoints.by_id["s3"].health
                assert successor.snapshot() == one.snapshot()
                assert second.gateway.health()["health.ejected"] == 1
                assert second.gateway.health()["health.healthy"] == 7

    run(body())


def test_the_first_goes_on_when_the_second_dies(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer), path) as (first, _):
            address = where(first)
            async with process(fleet(peer), path):
                await until(lambda: first.process_group.successor)
            await until(lambda: not first.process_group.successor)
            caller = await Caller.to(address)
            assert await caller.ask(command("on")) == b"on"
            assert first.requests.received_count == 1 and not first.gateway.process_state.group.other_processes

    run(body())


def test_after_an_upgrade_that_failed_the_next_one_finds_the_first(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer), path) as (first, _):
            for _ in range(2):
                async with process(fleet(peer), path):
                    await until(lambda: first.process_group.successor is not None)
                await until(
                    lambda: first.process_group.successor is None
                    and first.process_group.listen_task
                    and first.process_group.listen_task.done()
                )
            async with process(fleet(peer), path) as (last, _):
                assert last.received_handover is not None and where(last) == where(first)
                caller = await Caller.to(where(last))
                assert await caller.ask(command()) == b"00000000000000aa"

    run(body())


def test_two_upgrades_in_a_row(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with (
            backend() as peer,
            process(fleet(peer), path) as (first, stop),
            process(fleet(peer), path) as (second, stop_second),
        ):
            await until(lambda: first.process_group.successor)
            stop.set()
            async with process(fleet(peer), path) as (third, _):
                await until(lambda: second.process_group.successor)
                stop_second.set()
                caller = await Caller.to(where(third))
                assert await caller.ask(command("on")) == b"on"
                assert third.requests.received_count == 1

    run(body())


@pytest.mark.parametrize("where_called", [0, 1])
def test_a_drain_goes_on_in_the_second_and_ends_by_either(tmp_path: Path, where_called: int) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer), path) as (first, _):
            assert await call(first, b"drain") == "ok\n"
            async with process(fleet(peer), path) as (second, _):
                await until(lambda: first.process_group.successor)
                assert await call(second, b"ready") == "ok\n"
                assert not second.clients.is_ready
                assert await call([first, second][where_called], b"resume") == "ok\n"
                await until(lambda: first.clients.is_ready and second.clients.is_ready)
                caller = await Caller.to(where(second))
                assert await caller.ask(resp(b"PING")) == b"PONG"

    run(body())


def test_descriptors_hold_over_both(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer), path) as (first, _):
            kept = [await Caller.to(where(first)) for _ in range(5)]
            await until(lambda: len(first.clients.connections) == 5)
            async with process(fleet(peer), path) as (second, _):
                total, spare = (
                    second.config.max_client_connections,
                    second.config.max_client_connections // SPARE_DIVISOR + 1,
                )
                await until(lambda: second.clients.max_connections == total - spare - 5)
                assert first.clients.max_connections == spare + 5
                for caller in kept:
                    caller.writer.close()
                await until(lambda: second.clients.max_connections == total - spare)
                assert first.clients.max_connections == spare
            await until(lambda: first.clients.max_connections == total)  # what the one that is gone had

    run(body())


@pytest.mark.parametrize("leaving", ["none", "file", "socket"])
def test_leavings_of_a_crash_are_replaced(tmp_path: Path, leaving: str) -> None:
    async def body() -> None:
        path = tmp_path / ("deep" * 40) / "there"  # deeper than a socket's address can say
        path.parent.mkdir()
        if leaving == "file":
            path.write_bytes(b"")
        elif leaving == "socket":
            short = tmp_path / "short"
            with socket.socket(socket.AF_UNIX) as sock:
                sock.bind(str(short))
            short.rename(path)
        async with (
            backend() as peer,
            process(fleet(peer), path) as (first, _),
            process(fleet(peer), path) as (second, _),
        ):
            await until(lambda: first.process_group.successor)
            assert where(first) == where(second)

    run(body())


def test_a_process_before_that_makes_no_sense_is_told(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"

        async def script(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b'{"form": 0}\n')

        async with await asyncio.start_unix_server(script, path):
            with pytest.raises(HandoverError, match="unsupported format version 0 of the handover message"):
                await asyncio.to_thread(take_over, path)

    run(body())


def test_what_another_process_says_wrongly_is_passed_over(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "there"
        async with backend() as peer, process(fleet(peer), path) as (first, _):
            reader, writer = await asyncio.open_unix_connection(str(path))
            writer.write(b'{"spent": [1]}\nnonsense\n[]\n')
            writer.write(b'{"spent": ["c", "basic", 1, 3.0, true, 1, "", 0.0]}\n')
            await until(lambda: "c" in first.gateway.customers)
            assert first.gateway.process_state.group == ProcessGroupChanged(1, False)
            writer.close()
            await until(lambda: not first.gateway.process_state.group.other_processes)
            assert not first.gateway.customers["c"].concurrency.in_flight_elsewhere
            del reader

    run(body())
