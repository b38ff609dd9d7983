"""Start-up of the real process until its first +PONG: with a failing discovery agent, and on a shared CPU core."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.peers import (
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    endpoint_entry,
    fake_endpoint,
    free_port,
    resp,
    run_async,
)
from tests.test_net_signals import Program, check_no_traceback, launched

READY_TIMEOUT_S = 10.0  # From the start to +PONG.
MAX_CPU_S = 1.5  # CPU time, user and system, that a process may use until its first +PONG.
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
RESTART_COUNT = 7  # Processes that restart at the same time.
ENDPOINT_COUNT = 200  # Endpoints in a large initial list.


class StartTimes(NamedTuple):
    """The seconds from the start of a process to its first +PONG.

    Attributes:
        wall: The elapsed time.
        cpu: The part of it on a CPU, user and system.
        runnable: The part of it ready to run while other processes used the core.
    """

    wall: float
    cpu: float
    runnable: float


def start_times(program: Program, began: float) -> StartTimes:
    """Return the times of a process that was started at `began`."""
    folder = Path(f"/proc/{program.process.pid}")
    fields = (folder / "stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    _, runnable, _ = (folder / "schedstat").read_text(encoding="utf-8").split()
    return StartTimes(
        time.monotonic() - began, (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, int(runnable) / 1e9
    )


async def ready_after(program: Program, began: float) -> StartTimes:
    """Wait for the first +PONG of a process that was started at `began`; return its times."""
    while True:
        client = await program.first_connection()
        try:
            assert await client.request(resp(b"PING")) == b"PONG"
        except (EOFError, ConnectionError):
            continue
        start = start_times(program, began)
        client.writer.close()
        return start


def discovery_agent(how: str) -> Peer:
    """Return a discovery agent that fails as `how` says: "silent", "busy" or "half" of a response."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            peer.commands.append([])
            if how == "busy":
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n")
            elif how == "half":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")

    peer = Peer(script)
    return peer


@pytest.mark.parametrize("how", ["silent", "busy", "half", "refused"])
@pytest.mark.parametrize("servers", [0, 1, ENDPOINT_COUNT])
def test_the_process_becomes_ready_however_discovery_fails(how: str, servers: int, tmp_path: Path) -> None:
    """It then serves requests with the endpoint list of its configuration, if that has one."""

    async def body() -> None:
        async with discovery_agent(how) as down, fake_endpoint() as peer:
            host, port = ("127.0.0.1", free_port()) if how == "refused" else down.address
            known = [endpoint_entry(peer.address, f"s{n}") for n in range(servers)]
            began = time.monotonic()
            async with launched(tmp_path, *known, discovery=f"{host}:{port}") as program:
                start = await ready_after(program, began)
                assert start.wall < READY_TIMEOUT_S and start.cpu < MAX_CPU_S, start
                while how != "refused" and not down.commands:
                    await asyncio.sleep(0.005)  # The process must have polled discovery.
                client = await RespClient.connect(program.address)
                answer = await client.request(command(d=1000))
                assert answer == b"00000000000000aa" if servers else str(answer).startswith(("BUSY", "ERR")), answer
                check_no_traceback(program)

    run_async(body())


def test_the_process_becomes_ready_while_its_endpoints_hang_and_clients_send_requests_from_the_start(
    tmp_path: Path,
) -> None:
    async def body() -> None:
        async with fake_endpoint(b"") as hanging, discovery_agent("silent") as down:
            known = [endpoint_entry(hanging.address, f"s{n}") for n in range(ENDPOINT_COUNT)]
            began = time.monotonic()
            async with launched(tmp_path, *known, discovery=f"127.0.0.1:{down.address[1]}") as program:
                clients = []
                for number in range(50):
                    clients.append(await program.first_connection())
                    clients[-1].writer.write(command(f"{number}", customer=number))
                start = await ready_after(program, began)
                assert start.wall < READY_TIMEOUT_S and start.cpu < MAX_CPU_S, start
                check_no_traceback(program)
                for client in clients:
                    client.writer.close()

    run_async(body())


def on_core(core: int) -> Callable[[], None]:
    """Return a function that pins the calling process to a CPU core."""

    def pin() -> None:
        os.sched_setaffinity(0, {core})

    return pin


@pytest.mark.parametrize("how", ["refused", "busy"])
def test_seven_processes_that_restart_together_on_one_core_are_ready_in_time(how: str, tmp_path: Path) -> None:
    """The processes are killed while clients are connected, and started again under the same names."""

    async def body() -> None:
        core = min(os.sched_getaffinity(0))
        async with (
            discovery_agent(how) as down,
            fake_endpoint() as peer,
            AsyncExitStack() as first,
            AsyncExitStack() as second,
        ):
            port = free_port() if how == "refused" else down.address[1]
            known = [endpoint_entry(peer.address, f"s{n}") for n in range(ENDPOINT_COUNT)]

            async def starts(number: int, stack: AsyncExitStack, again: Address | None) -> Program:
                folder = tmp_path / f"{number}-{again is not None}"  # Empty at each start, and not shared.
                folder.mkdir()
                return await stack.enter_async_context(
                    launched(
                        folder,
                        *known,
                        before=None if again is None else on_core(core),
                        at=again,
                        name=f"n{number}",
                        discovery=f"127.0.0.1:{port}",
                    )
                )

            programs = [await starts(number, first, None) for number in range(RESTART_COUNT)]
            clients = [await program.first_connection() for program in programs]
            assert [await client.request(command()) for client in clients] == [b"00000000000000aa"] * RESTART_COUNT
            for program in programs:
                program.process.send_signal(signal.SIGKILL)
            for program in programs:
                assert await program.ended() == -signal.SIGKILL
            starting = []
            for number, before in enumerate(programs):
                began = time.monotonic()
                program = await starts(number, second, before.address)
                starting.append((program, asyncio.create_task(ready_after(program, began))))
            starts_found = [await task for _, task in starting]
            assert max(start.cpu for start in starts_found) < MAX_CPU_S, starts_found
            # Other processes use the core as well. Without them, the last process would be ready once all of these have
            # had the CPU time that they used, plus the time for which a process was not runnable.
            blocked = max(start.wall - start.cpu - start.runnable for start in starts_found)
            assert sum(start.cpu for start in starts_found) + blocked < READY_TIMEOUT_S / 2, starts_found
            for program, _ in starting:
                client = await RespClient.connect(program.address)
                assert await client.request(command()) == b"00000000000000aa"
                check_no_traceback(program)

    run_async(body())
