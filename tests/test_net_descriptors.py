"""Descriptor limits: idle clients use up the connections of the real process while discovery is down.

Once discovery is back, the process must still receive its list, reach endpoints and answer at its admin address.
"""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Self

import pytest

from tests.peers import (
    Address,
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
from tests.test_net_discovery import endpoint_list_json
from tests.test_net_signals import Program, check_no_traceback, launched

MAX_DESCRIPTORS = 128  # Descriptors that the process may open, by its configuration and by its resource limit.
MIN_ACCEPTED = 40  # Client connections that it accepts at least under that limit.
CLIENT_COUNT = 140  # Idle clients, more than it may accept.
RECONNECTING_COUNT = 80  # Clients that connect again each time they are disconnected.
SERVE_TIMEOUT_S = 7.0  # For a new client; each client queued before it may stay connected for 2 s.
ADMIN_TIMEOUT_S = 1.0  # For an answer of the admin server.
LIST_TIMEOUT_S = 6.0  # From the return of discovery until its list must be active.
LIST_VERSION = 7
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": MAX_DESCRIPTORS}


def limit_descriptors() -> None:
    """Set the resource limit on descriptors of the calling process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


class DiscoveryAgent:
    """A discovery agent that refuses or is silent while discovery is down, and then serves one list without changes."""

    def __init__(self, refuses: bool) -> None:
        self.refuses = refuses
        self.address = ("127.0.0.1", free_port())
        self.is_back = asyncio.Event()
        self.entries = list[dict[str, Any]]()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.request_count = 0

    async def __aenter__(self) -> Self:
        if not self.refuses:
            await self._listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _listen(self) -> None:
        self.server = await asyncio.start_server(self._accept, *self.address)

    async def come_back(self, *entries: dict[str, Any]) -> None:
        """Serve a list of these entries from now on."""
        self.entries += entries
        self.is_back.set()
        if self.refuses:
            await self._listen()

    def _accept(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self.tasks.add(task)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.request_count += 1
                await self.is_back.wait()
                _, is_watch, wait = head.partition(b"after=%d&wait_ms=" % LIST_VERSION)
                if is_watch:  # The client has the list already.
                    await asyncio.sleep(int(wait.split()[0]) / 1000)
                body = endpoint_list_json(LIST_VERSION, not is_watch, *[] if is_watch else self.entries)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


class IdleClients:
    """Clients that connect and then stay idle."""

    def __init__(self, address: Address, host: Callable[[int], str], sends_ping: Callable[[int], bool]) -> None:
        """Prepare clients of `address`.

        Args:
            address: The address of the ingress.
            host: Returns the local address of each client.
            sends_ping: Returns whether a client sends a PING first.
        """
        self.address = address
        self.host = host
        self.sends_ping = sends_ping
        self.sockets: list[socket.socket] = []
        self.connect_count = 0

    async def connect(self, number: int) -> socket.socket:
        """Connect one client."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setblocking(False)
        sock.bind((self.host(number), 0))
        await loop.sock_connect(sock, self.address)
        self.connect_count += 1
        if self.sends_ping(number):
            with suppress(ConnectionError):
                await loop.sock_sendall(sock, resp(b"PING"))
        return sock

    async def stay_connected(self, number: int) -> None:
        """Connect one client again each time it is disconnected."""
        loop = asyncio.get_running_loop()
        while True:
            sock = await self.connect(number)
            with suppress(ConnectionError):
                while await loop.sock_recv(sock, 64):
                    pass
            self.sockets.remove(sock)
            sock.close()
            await asyncio.sleep(0.05)

    def close(self) -> None:
        """Close all clients."""
        for sock in self.sockets:
            sock.close()


async def read_metrics(program: Program) -> dict[str, int]:
    """Return the metrics from the admin server, and check that it answers in time."""
    started_at = time.monotonic()
    lines = await asyncio.wait_for(program.call(b"show-stat"), 5 * ADMIN_TIMEOUT_S)
    assert lines[-1:] == ["eof"] and time.monotonic() - started_at < ADMIN_TIMEOUT_S, (
        time.monotonic() - started_at,
        lines,
    )
    values = (line.removeprefix("app.").partition("|")[0].rpartition(":") for line in lines[:-1])
    return {name: int(count) for name, _, count in values}


def descriptor_count(program: Program) -> int:
    """Return the number of open descriptors of the process."""
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


@pytest.mark.parametrize(
    ("refuses", "host_count", "ping_interval", "how"),
    [
        (True, 1, 1, "in turn"),
        (False, 1, 1, "in turn"),
        (True, 8, 2, "in turn"),
        (True, 1, 0, "at once"),
        (False, 100, 2, "at once"),
        (True, 8, 1, "at once"),
        (True, 8, 2, "again"),
        (False, 1, 1, "again"),
    ],
)
def test_idle_clients_during_a_discovery_outage_do_not_block_its_return(
    refuses: bool, host_count: int, ping_interval: int, how: str, tmp_path: Path
) -> None:
    """Fill the client connections of a process while discovery refuses connections or is silent.

    The clients use `host_count` addresses, and every `ping_interval`th one sends a PING first, or none if that is 0.
    They connect in turn or at once; with "again" each connects again when it is disconnected.
    """

    async def body() -> None:
        async with (
            DiscoveryAgent(refuses) as agent,
            fake_endpoint() as endpoint,
            launched(
                tmp_path,
                endpoint_entry(("127.0.0.1", 1), "gone"),
                before=limit_descriptors,
                limits=LIMITS,
                discovery=f"127.0.0.1:{agent.address[1]}",
            ) as program,
        ):
            await program.ready()
            idle = IdleClients(
                program.address,
                lambda n: f"127.0.0.{2 + n % host_count}",
                lambda n: ping_interval > 0 and n % ping_interval == 0,
            )
            reconnecting: list[asyncio.Task[None]] = []
            # Silent clients of the admin server.
            silent = [await RespClient.connect(program.control) for _ in range(20)]
            try:
                if how == "again":
                    reconnecting += [
                        asyncio.create_task(idle.stay_connected(number)) for number in range(RECONNECTING_COUNT)
                    ]
                elif how == "at once":
                    await asyncio.gather(*(idle.connect(number) for number in range(CLIENT_COUNT)))
                else:
                    for number in range(CLIENT_COUNT):
                        await idle.connect(number)
                        if number % 20 == 0:
                            assert (await read_metrics(program))["list.version"] == 1
                while (before := await read_metrics(program))["accepted"] <= MIN_ACCEPTED:
                    await asyncio.sleep(0.01)
                max_open = descriptor_count(program)
                assert before["list.version"] == 1, before
                assert refuses or agent.request_count
                await agent.come_back(endpoint_entry(endpoint.address, "new"))
                started_at = time.monotonic()
                while (now := await read_metrics(program))["list.version"] != LIST_VERSION:
                    assert time.monotonic() - started_at < LIST_TIMEOUT_S, now
                    max_open = max(max_open, descriptor_count(program))
                    await asyncio.sleep(0.02)
                client = RespClient(*await asyncio.open_connection(*program.address, local_addr=("127.0.1.9", 0)))
                try:
                    assert await asyncio.wait_for(client.request(command()), SERVE_TIMEOUT_S) == b"00000000000000aa"
                except TimeoutError:
                    pytest.fail(f"a new client got no answer in {SERVE_TIMEOUT_S} s: {await read_metrics(program)}")
                assert [words[2] for words in endpoint.commands] == [b"00000000000000aa"]
                max_open = max(max_open, descriptor_count(program))
                last = await read_metrics(program)
                assert last["no_descriptor"] == 0 and max_open < MAX_DESCRIPTORS, (max_open, last)
                assert not program.logged("Too many open files")
                assert not any(task.done() for task in reconnecting), [
                    task.exception() for task in reconnecting if task.done()
                ]
            finally:
                for task in reconnecting:
                    task.cancel()
                await asyncio.gather(*reconnecting, return_exceptions=True)
                for client in silent:
                    client.writer.close()
                idle.close()
            check_no_traceback(program)

    run_async(body())


@pytest.mark.parametrize(("soft", "hard"), [(96, 256), (110, 110), (96, 160)])
def test_clients_leave_descriptors_for_endpoints_whatever_the_resource_limit(
    soft: int, hard: int, tmp_path: Path
) -> None:
    """The configuration allows 256 descriptors, but the resource limit of the process is lower and stays so."""

    async def body() -> None:
        async with (
            fake_endpoint() as endpoint,
            launched(
                tmp_path,
                endpoint_entry(endpoint.address),
                before=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard)),
                limits=LIMITS | {"sockets": 256},
            ) as program,
        ):
            await program.ready()
            idle = IdleClients(program.address, lambda n: f"127.0.0.{2 + n % 8}", lambda n: True)
            try:
                for number in range(CLIENT_COUNT):
                    await idle.connect(number)
                client = RespClient(*await asyncio.open_connection(*program.address, local_addr=("127.0.1.9", 0)))
                assert await asyncio.wait_for(client.request(command()), SERVE_TIMEOUT_S) == b"00000000000000aa"
                metrics = await read_metrics(program)
                assert metrics["no_descriptor"] == 0 and descriptor_count(program) < soft, metrics
                client.writer.close()
            finally:
                idle.close()
            check_no_traceback(program)

    run_async(body())
