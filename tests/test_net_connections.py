"""Connections under stress, on real sockets: surges, floods from one address, lost paths, exhausted descriptors."""

from __future__ import annotations

import asyncio
import ctypes
import errno
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ingress.configuration.document import with_shared_document
from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.runtime import sockets
from ingress.runtime.sockets import seconds_since_last_receive
from ingress.server import client_server, client_timeouts, listener
from ingress.server.fair_shares import ConnectionShares
from ingress.server.listener import Listener
from ingress.upstream import connection_pool as pools
from tests.peers import (
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config,
    endpoint_answer,
    endpoint_entry,
    fake_endpoint,
    read_command,
    resp,
    run_async,
    wait_until,
)
from tests.test_net_backends import PoolUnderTest
from tests.test_net_ingress import StubGateway, running_ingress

PING = resp(b"PING")


def drop_all(sock: socket.socket) -> None:
    """Drop all incoming packets of the socket without acknowledging them, as if the machine had vanished."""
    program = struct.pack("HBBI", 0x06, 0, 0, 0)  # the only instruction of the filter: keep no byte
    buffer = ctypes.create_string_buffer(program)
    sock.setsockopt(socket.SOL_SOCKET, 26, struct.pack("HL", 1, ctypes.addressof(buffer)))  # SO_ATTACH_FILTER


async def from_address(host: str, to: Address) -> RespClient:
    return RespClient(*await asyncio.open_connection(*to, local_addr=(host, 0)))


# Connection limits per address


@given(st.integers(4, 400), st.lists(st.tuples(st.booleans(), st.integers(0, 5)), max_size=300))
def test_address_is_limited_only_past_half_the_total_and_never_below_its_share(
    max_connections: int, steps: list[tuple[bool, int]]
) -> None:
    guaranteed = max_connections // 2
    shares = ConnectionShares(max_connections, max_connections // 2)
    held = Counter[str]()
    for is_new, number in steps:
        peer = f"127.0.0.{number}"
        if is_new:
            can_accept = shares.can_accept(peer)
            assert can_accept or (
                held.total() >= max_connections / 2
                and held[peer] >= max(guaranteed, max_connections // max(1, len(+held)))
            )
            if can_accept:
                shares.add(peer)
                held[peer] += 1
        elif held[peer]:
            shares.remove(peer)
            held[peer] -= 1
        assert shares.by_address == +held and shares.total == held.total()


def test_flood_from_one_address_leaves_connections_for_other_addresses() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.clients.resize(60)
            served.clients.shares.guaranteed = 20
            others = [await from_address(f"127.0.1.{n}", address) for n in range(1, 6)]
            flood = [await from_address("127.0.0.1", address) for _ in range(100)]
            for other in others:
                assert await other.request(command()) == b"00000000000000aa"
            new_clients = [await from_address(f"127.0.2.{n}", address) for n in range(1, 26)]
            assert [await one.request(PING) for one in new_clients] == [b"PONG"] * 25
            assert [await one.request(PING) for one in others] == [b"PONG"] * 5  # none of them was closed
            held = Counter(c.peer for c in served.clients.connections)
            assert held["127.0.0.1"] <= 30 and len(served.clients.connections) <= 60
            assert served.clients.shares.total == len(served.clients.connections)
            for client in flood:
                client.writer.close()

    run_async(body())


def test_address_over_its_share_loses_its_own_idle_connection_or_gets_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        async with running_ingress(config()) as (served, address):
            served.clients.resize(20)
            served.clients.shares.guaranteed = 8
            served.gateway.handle = StubGateway(lambda event: []).handle  # type: ignore[method-assign]
            first = await from_address("127.0.3.1", address)
            assert await first.request(PING) == b"PONG"
            busy = [await from_address("127.0.0.1", address) for _ in range(10)]
            for n, client in enumerate(busy):  # each waits for an answer, so none is idle
                client.writer.write(command(f"{n}", d=20_000))
            await wait_until(lambda: len(served.requests.in_flight) == 10)
            extra = await from_address("127.0.0.1", address)
            with pytest.raises((EOFError, ConnectionError)):
                answer = await extra.request(PING)
                assert isinstance(answer, hiredis.ReplyError) and "too many connections" in str(answer)
                await extra.read_answer()
            assert served.clients.rejected_count >= 1
            assert await (await from_address("127.0.3.2", address)).request(PING) == b"PONG"
            assert len(served.requests.in_flight) == 10  # no request of the flood was cancelled either

    run_async(body())


def test_single_address_may_use_all_connections() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.clients.resize(40)
            served.clients.shares.guaranteed = 10
            clients = [await from_address("127.0.0.1", address) for _ in range(38)]
            assert [await client.request(PING) for client in clients] == [b"PONG"] * 38
            assert served.clients.rejected_count == 0

    run_async(body())


# A surge of connections


def test_surge_of_connections_is_accepted_in_batches_between_requests() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.clients.resize(400)
            steady = await RespClient.connect(address)
            assert await steady.request(command()) == b"00000000000000aa"
            batches: list[int] = []
            on_accept = served.clients.acceptor.on_accept
            accepted_in_batch = [0]

            def counted(sock: socket.socket, peer: str) -> bool:
                accepted_in_batch[0] += 1
                return on_accept(sock, peer)

            served.clients.acceptor.on_accept = counted
            accept_batch = served.clients.acceptor._batch

            def counted_batch() -> bool:
                accepted_in_batch[0] = 0
                has_more = accept_batch()
                batches.append(accepted_in_batch[0])
                return has_more

            served.clients.acceptor.loop.remove_reader(served.clients.acceptor.socket)
            served.clients.acceptor.loop.add_reader(served.clients.acceptor.socket, counted_batch)
            surge = [socket.create_connection(address) for _ in range(200)]  # the event loop is blocked meanwhile
            assert await steady.request(command("1" * 16)) == b"1" * 16
            await wait_until(lambda: len(served.clients.connections) == 201)
            assert max(batches) <= listener.ACCEPT_BATCH_SIZE < 200 and sum(batches) == 200
            for sock in surge:
                sock.close()

    run_async(body())


# Exhausted descriptors


class ExhaustedSocket:
    """A listening socket whose `accept` fails with EMFILE while `is_exhausted` is set."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.is_exhausted = True
        self.accept_calls = 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.accept_calls += 1
        if self.is_exhausted:
            raise OSError(errno.EMFILE, "Too many open files")
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.mark.parametrize("reloaded", [False, True])
def test_backlog_accepts_as_many_connections_at_once_as_the_process_may_open(reloaded: bool) -> None:
    """The connections arrive while the event loop is blocked.

    A connection that does not fit in the backlog is retried by its client only after a second.
    """
    connection_count = listener.MIN_BACKLOG + 100
    max_backlog = int(Path("/proc/sys/net/core/somaxconn").read_text(encoding="ascii"))
    if max_backlog <= connection_count or resource.getrlimit(resource.RLIMIT_NOFILE)[0] < 4096:
        pytest.skip("the system allows fewer connections or descriptors")

    async def body() -> None:
        few, many = ({"cores": 1.0, "memory_mb": 192, "sockets": sockets} for sockets in (256, 4096))
        before = config(limits=few if reloaded else many)
        async with running_ingress(before) as (served, address):
            if reloaded:
                after = with_shared_document(before, dict(before.document) | {"limits": many})
                assert not await served.changes.change(after, "reload")
            assert served.clients.max_connections >= connection_count
            held = [socket.create_connection(address, timeout=0.5) for _ in range(connection_count)]
            for sock in held:
                sock.close()

    run_async(body())


def test_accept_without_descriptors_pauses_instead_of_spinning(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "EXHAUSTED_PAUSE", 0.05)

    async def body() -> None:
        accepted: list[socket.socket] = []

        def on_accept(sock: socket.socket, peer: str) -> bool:
            accepted.append(sock)
            return True

        acceptor = Listener(("127.0.0.1", 0), on_accept)
        exhausted = ExhaustedSocket(acceptor.socket)
        acceptor.socket = exhausted  # type: ignore[assignment]
        acceptor.open()
        waiting = socket.create_connection(exhausted.sock.getsockname())
        await wait_until(lambda: acceptor.exhausted_count >= 4)
        assert exhausted.accept_calls == acceptor.exhausted_count  # one call a pause: the loop is free in between
        assert not acceptor.is_reading
        exhausted.is_exhausted = False
        await wait_until(lambda: accepted)
        assert acceptor.is_reading
        acceptor.close()
        waiting.close()

    run_async(body())


@pytest.fixture
def few_descriptors() -> Iterator[int]:
    """Limit this process to a few more descriptors than it has open."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = len(os.listdir("/proc/self/fd")) + 40
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    yield limit
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_ingress_without_descriptors_keeps_serving_and_recovers(
    few_descriptors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It assumes more descriptors than the system has left, as when the system itself runs out (ENFILE)."""
    monkeypatch.setattr("ingress.configuration.document.usable_sockets", lambda sockets: sockets)

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            steady = await RespClient.connect(address)
            assert await steady.request(command()) == b"00000000000000aa"
            # Clients in another process use up all descriptors that this one may open.
            flood = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    (
                        "import resource, socket, sys\n"
                        "hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]\n"
                        "resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))\n"
                        f"held = [socket.create_connection({address!r}) for _ in range(60)]\n"
                        "print('held', flush=True); sys.stdin.read()"
                    ),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            assert flood.stdin is not None and flood.stdout is not None
            try:
                assert await asyncio.to_thread(flood.stdout.readline) == b"held\n"
                await wait_until(lambda: served.clients.acceptor.exhausted_count)
                used = time.process_time()
                for n in range(20):
                    assert await steady.request(command(f"{n:016x}")) == f"{n:016x}".encode()
                assert time.process_time() - used < 5
            finally:
                flood.stdin.close()
                flood.wait()
                flood.stdout.close()
            await wait_until(lambda: len(served.clients.connections) <= 2)
            late = await RespClient.connect(address)
            assert await late.request(PING) == b"PONG"

    run_async(body())


# Connections to endpoints


def test_waiting_attempts_share_new_and_released_connections() -> None:
    async def body() -> None:
        go = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                await go.wait()
                writer.write(endpoint_answer(words[2]))

        async with Peer(script) as peer:
            pool = PoolUnderTest(peer.address, max_connections=64)
            for _ in range(3):
                pool.send()
            await wait_until(lambda: len(peer.tasks) == 3)
            assert pool.pool.opened_count == 3
            cancelled = pool.send()  # opens a fourth, and is cancelled before that is established
            pool.pool.cancel_attempt(cancelled)
            pool.send()
            assert pool.pool.opened_count == 4  # the next attempt waits for it rather than opening a fifth
            go.set()
            await wait_until(lambda: len(pool.results) == 5)
            assert Counter(outcome for _, outcome, _ in pool.results) == {Outcome.OK: 4, Outcome.CANCELLED: 1}
            # The last attempt may have used a released connection before the fourth is established.
            await wait_until(lambda: not pool.pool.connecting)
            assert pool.pool.connection_count == pool.pool.opened_count == 4

    run_async(body())


def test_concurrent_connects_to_an_endpoint_are_limited_and_all_attempts_are_served() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address, max_connections=200, timeout=5.0)
            for _ in range(50):
                pool.send()
            target = pool.pool.endpoints["s0"]
            assert target.connecting == pools.MAX_CONNECTING_PER_ENDPOINT == pool.pool.connecting
            await wait_until(lambda: len(pool.results) == 50)
            assert {outcome for _, outcome, _ in pool.results} == {Outcome.OK}
            assert pool.pool.opened_count < 50  # most attempts used connections that others had released
            assert not target.waiting_attempts
            await wait_until(lambda: not pool.pool.connecting)  # unneeded connections are established as well
            assert not target.connecting

    run_async(body())


def test_limit_over_all_endpoints_lets_each_endpoint_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pools, "MAX_CONNECTING", 3)

    async def body() -> None:
        async with fake_endpoint() as one, fake_endpoint() as two, fake_endpoint() as three:
            pool = PoolUnderTest(one.address, two.address, three.address, max_connections=200, timeout=5.0)
            for n in range(30):
                pool.send(f"s{n % 3}")
            assert pool.pool.connecting == 3
            await wait_until(lambda: len(pool.results) == 30)
            assert {outcome for _, outcome, _ in pool.results} == {Outcome.OK}
            assert not pool.pool.connect_queue

    run_async(body())


def test_refused_connect_ends_every_waiting_attempt() -> None:
    async def body() -> None:
        pool = PoolUnderTest(("127.0.0.1", 1), max_connections=64)
        for _ in range(20):
            pool.send()
        await wait_until(lambda: len(pool.results) == 20)
        assert {outcome for _, outcome, _ in pool.results} == {Outcome.CONNECT_FAILED}
        assert not pool.pool.endpoints["s0"].waiting_attempts
        # All that have waited for the connect timeout end with the first refusal, before the other connects end.
        await wait_until(lambda: not pool.pool.connection_count)
        assert not pool.pool.connecting

    run_async(body())


def test_waiting_attempts_follow_a_moved_endpoint_and_end_with_a_removed_one() -> None:
    async def body() -> None:
        async with fake_endpoint() as old, fake_endpoint() as new:
            pool = PoolUnderTest(old.address, max_connections=64, timeout=5.0)
            pool.send()
            pool.update_endpoints((Endpoint("s0"), new.address))  # it moves while the connection is being established
            assert (await pool.result())[0] is Outcome.OK
            assert new.connections == 1
            pool.send()
            pool.update_endpoints()  # removed from the list
            pool.clock_offset += 5.0
            await wait_until(lambda: len(pool.results) == 2)
            assert pool.pool.connection_count <= 1

    run_async(body())


# Peers that vanish


def test_lost_path_is_distinguished_from_a_slow_endpoint_before_the_attempt_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        asked = asyncio.Event()

        async def script(number: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            writer.write(endpoint_answer(words[2]))
            if number == 0:
                await writer.drain()
                asked.set()
                drop_all(writer.get_extra_info("socket"))
            await reader.read()

        async with Peer(script) as peer:
            pool = PoolUnderTest(peer.address, timeout=0.1)
            pool.send()
            assert (await pool.result())[0] is Outcome.OK
            await asked.wait()
            attempt = pool.send(wait=15.0)  # on the idle connection, which still looks open
            started_at = pool.pool.clock()
            assert (await pool.result(2))[0] is Outcome.RESET  # it may have run
            assert pool.pool.clock() - started_at < 10.0 and attempt.has_ended

    run_async(body())


def test_client_connections_enable_keepalive() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await RespClient.connect(address)
            assert await client.request(PING) == b"PONG"
            [connection] = served.clients.connections
            options = {
                socket.TCP_USER_TIMEOUT: int(sockets.UNACKNOWLEDGED_TIMEOUT_S * 1000),
                socket.TCP_KEEPIDLE: sockets.KEEPALIVE_IDLE_S,
                socket.TCP_KEEPINTVL: sockets.KEEPALIVE_INTERVAL_S,
                socket.TCP_KEEPCNT: sockets.KEEPALIVE_PROBES,
            }
            assert {key: connection.socket.getsockopt(socket.IPPROTO_TCP, key) for key in options} == options
            assert connection.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)

    run_async(body())


def test_vanished_client_is_closed_when_it_acknowledges_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sockets, "UNACKNOWLEDGED_TIMEOUT_S", 0.3)

    async def body() -> None:
        go = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            await go.wait()
            writer.write(endpoint_answer(words[2]))
            await reader.read()

        monkeypatch.setattr(sockets.enable_keepalive, "__defaults__", (0.3,))
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await RespClient.connect(address)
            client.writer.write(command(d=10_000))
            await wait_until(lambda: served.requests.in_flight)
            drop_all(client.writer.get_extra_info("socket"))
            go.set()  # the answer is sent and never acknowledged
            await wait_until(lambda: not served.clients.connections)
            assert not served.requests.in_flight

    run_async(body())


def test_stopped_client_process_is_closed_when_it_reads_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_timeouts, "STALL_TIMEOUT", 0.3)
    monkeypatch.setattr(client_server, "SWEEP_INTERVAL", 0.05)

    async def body() -> None:
        async with (
            fake_endpoint(endpoint_answer(bytes(60_000))) as peer,
            running_ingress(config(endpoint_entry(peer.address))) as (served, address),
        ):
            asks = command(d=10_000) * 60
            child = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    (
                        "import socket, sys, time\n"
                        f"s = socket.create_connection({address!r})\n"
                        "s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)\n"
                        "print('up', flush=True); sys.stdin.readline()\n"
                        f"s.sendall({asks!r}); time.sleep(60)"
                    ),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            assert child.stdin is not None and child.stdout is not None
            try:
                assert await asyncio.to_thread(child.stdout.readline) == b"up\n"
                child.stdin.write(b"\n")
                child.stdin.flush()
                await wait_until(lambda: served.requests.received_count)
                child.send_signal(signal.SIGSTOP)
                await wait_until(lambda: not served.clients.connections)
                await wait_until(lambda: not served.requests.in_flight)
            finally:
                child.kill()
                child.wait()
                child.stdin.close()
                child.stdout.close()

    run_async(body())


# Time spent in socket buffers


def test_deadline_includes_the_time_a_request_waited_unread() -> None:
    """A request that arrived while a process was starting was answered after the client's timeout, because its deadline
    was measured from the time it was read.
    """

    async def body() -> None:
        async with (
            fake_endpoint(b"") as silent,
            running_ingress(config(endpoint_entry(silent.address))) as (served, address),
        ):
            for in_backlog in (False, True):  # on an accepted connection, and on one in the backlog
                sock = socket.create_connection(address)
                client = RespClient(*await asyncio.open_connection(sock=sock)) if not in_backlog else None
                if client is not None:
                    assert await client.request(resp(b"PING")) == b"PONG"
                started_at = time.monotonic()
                sock.send(command(d=1500))
                time.sleep(1.0)  # the event loop is blocked
                client = client or RespClient(*await asyncio.open_connection(sock=sock))
                answer = await client.read_answer()
                assert isinstance(answer, hiredis.ReplyError)
                assert 1.0 < time.monotonic() - started_at < 2.2, "2.5 s if measured from the time of reading"
                client.writer.close()
            assert served.metrics.requests_in_flight == 0

    run_async(body())


def test_seconds_since_last_receive_restarts_with_new_data() -> None:
    one, other = socket.socketpair()
    with one, other:
        assert seconds_since_last_receive(one) == 0.0  # not TCP: the system cannot report it
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        accepted, _ = server.accept()
        client.sendall(b"x")
        time.sleep(0.3)
        assert 0.25 < seconds_since_last_receive(accepted) < 5.0
        client.sendall(b"y")
        while not accepted.recv(1 << 10).endswith(b"y"):
            pass
        assert seconds_since_last_receive(accepted) < 0.25
        accepted.close()
