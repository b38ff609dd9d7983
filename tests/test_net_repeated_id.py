"""An id of a class that may not be repeated runs once, whatever connection or process it comes to again."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from pathlib import Path
from typing import Any

import hiredis
import pytest

from tests.peer_load import LOAD_SETTINGS, entries, schedule_server
from tests.peers import Address, Peer, RespClient, command, run_async
from tests.test_net_memory import wait_until_serving
from tests.test_net_signals import check_no_traceback, launched

REPEATS = 10
PAUSES_S = (0.0, 0.01, 0.1, 0.4)  # from a request to the end of its client
SETTLE_TIME_S = 0.3


def payment(name: str) -> bytes:
    return command(name, "pay", body=b"amount")


def leave(client: RespClient, resets: bool) -> None:
    """Close the connection, or reset it."""
    if resets:
        sock: Any = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


async def leave_and_come_again(request: bytes, first: RespClient, pause: float, resets: bool, address: Address) -> None:
    """Send a request, leave after a pause, and send it again on a new connection to the address."""
    first.writer.write(request)
    await asyncio.sleep(pause)
    leave(first, resets)
    second = await RespClient.connect(address)
    await second.request(request)
    second.writer.close()


def check_each_ran_once(peer: Peer) -> None:
    counts = Counter(words[2] for words in peer.commands)
    assert counts and not {name: count for name, count in counts.items() if count > 1}


@pytest.mark.parametrize("resets", [False, True])
def test_an_id_runs_twice_when_its_client_left_and_came_again(resets: bool, tmp_path: Path) -> None:
    """Guards against a request that a second connection repeats while or after its first one ran."""

    async def body() -> None:
        async with schedule_server() as peer, launched(tmp_path, *entries(peer), settings=LOAD_SETTINGS) as program:
            await program.ready()
            for number in range(REPEATS):
                for pause in PAUSES_S:
                    first = await RespClient.connect(program.address)
                    await leave_and_come_again(payment(f"pay-{number}-{pause}"), first, pause, resets, program.address)
            await asyncio.sleep(SETTLE_TIME_S)
            check_each_ran_once(peer)
            check_no_traceback(program)

    run_async(body())


@pytest.mark.parametrize("resets", [False, True])
def test_an_id_runs_twice_at_the_two_processes_of_an_upgrade(resets: bool, tmp_path: Path) -> None:
    async def body() -> None:
        async with schedule_server() as peer:
            servers = entries(peer)
            async with launched(tmp_path, *servers, settings=LOAD_SETTINGS) as old:
                await old.ready()
                clients = [await RespClient.connect(old.address) for _ in range(REPEATS * len(PAUSES_S))]
                async with launched(tmp_path, *servers, at=old.address, settings=LOAD_SETTINGS) as new:
                    await wait_until_serving(new)
                    for number in range(REPEATS):
                        for pause in PAUSES_S:
                            request = payment(f"pay-{number}-{pause}")
                            await leave_and_come_again(request, clients.pop(), pause, resets, new.address)
                    await asyncio.sleep(SETTLE_TIME_S)
                    check_each_ran_once(peer)
                    check_no_traceback(old)
                    check_no_traceback(new)

    run_async(body())


def test_an_id_that_was_refused_before_it_ran_may_come_again(tmp_path: Path) -> None:
    async def body() -> None:
        async with schedule_server() as peer, launched(tmp_path, settings=LOAD_SETTINGS) as program:
            await program.ready()
            client = await RespClient.connect(program.address)
            answers = [str(await client.request(payment("pay-1"))) for _ in range(2)]
            assert all(answer.startswith("BUSY") for answer in answers), answers
            assert not peer.commands

    run_async(body())


def test_an_id_that_has_run_is_not_refused_as_if_it_had_not(tmp_path: Path) -> None:
    """Guards against an answer that tells the client to send the request again."""

    async def body() -> None:
        async with schedule_server() as peer, launched(tmp_path, *entries(peer), settings=LOAD_SETTINGS) as program:
            await program.ready()
            client = await RespClient.connect(program.address)
            assert await client.request(payment("pay-1")) == b"pay-1"
            again = await client.request(payment("pay-1"))
            assert isinstance(again, hiredis.ReplyError) and not str(again).startswith("BUSY")
            assert len(peer.commands) == 1

    run_async(body())
