"""Connections under stress, on real sockets: surges, floods from one address, lost paths, no descriptor left."""

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
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config,
    entry,
    read_command,
    resp,
    run,
    until,
    value,
)
from tests.test_net_backends import Pool
from tests.test_net_ingress import Stub, serving

PING = resp(b"PING")


def drop_all(sock: socket.socket) -> None:
    """Nothing that comes to the socket is taken any more, not even acknowledged: its machine has vanished."""
    program = struct.pack("HBBI", 0x06, 0, 0, 0)  # the filter's one instruction: keep no byte
    buffer = ctypes.create_string_buffer(program)
    sock.setsockopt(socket.SOL_SOCKET, 26, struct.pack("HL", 1, ctypes.addressof(buffer)))  # SO_ATTACH_FILTER


async def from_address(host: str, to: Address) -> Caller:
    return Caller(*await asyncio.open_connection(*to, local_addr=(host, 0)))


# Shares


@given(st.integers(4, 400), st.lists(st.tuples(st.booleans(), st.integers(0, 5)), max_size=300))
def test_an_address_is_bounded_only_past_half_and_never_below_its_part(
    most: int, steps: list[tuple[bool, int]]
) -> None:
    third, shares, held = most // 2, ConnectionShares(most, most // 2), Counter[str]()
    for comes, number in steps:
        peer = f"127.0.0.{number}"
        if comes:
            room = shares.can_accept(peer)
            assert room or (held.total() >= most / 2 and held[peer] >= max(third, most // max(1, len(+held))))
            if room:
                shares.add(peer)
                held[peer] += 1
        elif held[peer]:
            shares.remove(peer)
            held[peer] -= 1
        assert shares.by_address == +held and shares.total == held.total()


def test_a_flood_from_one_address_leaves_room_for_the_others() -> None:
    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (served, address):
            served.clients.resize(60)
            served.clients.shares.guaranteed = 20
            others = [await from_address(f"127.0.1.{n}", address) for n in range(1, 6)]
            flood = [await from_address("127.0.0.1", address) for _ in range(100)]
            for other in others:
                assert await other.ask(command()) == b"00000000000000aa"
            fresh = [await from_address(f"127.0.2.{n}", address) for n in range(1, 26)]
            assert [await one.ask(PING) for one in fresh] == [b"PONG"] * 25
            assert [await one.ask(PING) for one in others] == [b"PONG"] * 5  # none of them was let go
            held = Counter(c.peer for c in served.clients.connections)
            assert held["127.0.0.1"] <= 30 and len(served.clients.connections) <= 60
            assert served.clients.shares.total == len(served.clients.connections)
            for caller in flood:
                caller.writer.close()

    run(body())


def test_one_that_holds_more_than_its_part_gives_up_its_own_or_is_told_why(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        async with serving(config()) as (served, address):
            served.clients.resize(20)
            served.clients.shares.guaranteed = 8
            served.gateway.handle = Stub(lambda event: []).handle  # type: ignore[method-assign]
            first = await from_address("127.0.3.1", address)
            assert await first.ask(PING) == b"PONG"
            busy = [await from_address("127.0.0.1", address) for _ in range(10)]
            for n, caller in enumerate(busy):  # each waits for an answer: none is idle
                caller.writer.write(command(f"{n}", d=20_000))
            await until(lambda: len(served.requests.in_flight) == 10)
            extra = await from_address("127.0.0.1", address)
            with pytest.raises((EOFError, ConnectionError)):
                answer = await extra.ask(PING)
                assert isinstance(answer, hiredis.ReplyError) and "too many connections" in str(answer)
                await extra.answer()
            assert served.clients.rejected_count >= 1
            assert await (await from_address("127.0.3.2", address)).ask(PING) == b"PONG"
            assert len(served.requests.in_flight) == 10  # no request of the flood was given up for it either

    run(body())


def test_clients_that_all_come_from_one_address_are_not_bounded_by_it() -> None:
    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (served, address):
            served.clients.resize(40)
            served.clients.shares.guaranteed = 10
            callers = [await from_address("127.0.0.1", address) for _ in range(38)]
            assert [await caller.ask(PING) for caller in callers] == [b"PONG"] * 38
            assert served.clients.rejected_count == 0

    run(body())


# A surge of clients


def test_two_hundred_connections_at_once_are_taken_in_batches_between_requests() -> None:
    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (served, address):
            served.clients.resize(400)
            steady = await Caller.to(address)
            assert await steady.ask(command()) == b"00000000000000aa"
            batches: list[int] = []
            take = served.clients.acceptor.on_accept
            now = [0]

            def counted(sock: socket.socket, peer: str) -> bool:
                now[0] += 1
                return take(sock, peer)

            served.clients.acceptor.on_accept = counted
            batch = served.clients.acceptor._batch

            def one_batch() -> bool:
                now[0] = 0
                more = batch()
                batches.append(now[0])
                return more

            served.clients.acceptor.loop.remove_reader(served.clients.acceptor.socket)
            served.clients.acceptor.loop.add_reader(served.clients.acceptor.socket, one_batch)
            surge = [socket.create_connection(address) for _ in range(200)]  # the loop does not run meanwhile
            assert await steady.ask(command("1" * 16)) == b"1" * 16
            await until(lambda: len(served.clients.connections) == 201)
            assert max(batches) <= listener.BATCH < 200 and sum(batches) == 200
            for sock in surge:
                sock.close()

    run(body())


# No descriptor left


class Short:
    """A listening socket whose `accept` fails for want of a descriptor, until `short` is unset."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.short, self.calls = sock, True, 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.calls += 1
        if self.short:
            raise OSError(errno.EMFILE, "Too many open files")
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.mark.parametrize("reloaded", [False, True])
def test_the_system_takes_as_many_at_once_as_the_process_may_hold(reloaded: bool) -> None:
    """All come while the process stands still.  One that is not taken tries again after a second."""
    coming = listener.MIN_BACKLOG + 100
    longest = int(Path("/proc/sys/net/core/somaxconn").read_text(encoding="ascii"))
    if longest <= coming or resource.getrlimit(resource.RLIMIT_NOFILE)[0] < 4096:
        pytest.skip("the system allows less")

    async def body() -> None:
        few, many = ({"cores": 1.0, "memory_mb": 192, "sockets": sockets} for sockets in (256, 4096))
        before = config(limits=few if reloaded else many)
        async with serving(before) as (served, address):
            if reloaded:
                after = with_shared_document(before, dict(before.document) | {"limits": many})
                assert not await served.changes.change(after, "reload")
            assert served.clients.max_connections >= coming
            held = [socket.create_connection(address, timeout=0.5) for _ in range(coming)]  # the loop takes no turn
            for sock in held:
                sock.close()

    run(body())


def test_accept_without_a_descriptor_rests_in_place_of_spinning(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "EXHAUSTED_PAUSE", 0.05)

    async def body() -> None:
        taken: list[socket.socket] = []

        def take(sock: socket.socket, peer: str) -> bool:
            taken.append(sock)
            return True

        door = Listener(("127.0.0.1", 0), take)
        short = Short(door.socket)
        door.socket = short  # type: ignore[assignment]
        door.open()
        waiting = socket.create_connection(short.sock.getsockname())
        await until(lambda: door.exhausted_count >= 4)
        assert short.calls == door.exhausted_count  # one call a rest: the loop is free between them
        assert not door.is_reading
        short.short = False
        await until(lambda: taken)
        assert door.is_reading
        door.close()
        waiting.close()

    run(body())


@pytest.fixture
def few_descriptors() -> Iterator[int]:
    """A process that may open only a few more descriptors than it has."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = len(os.listdir("/proc/self/fd")) + 40
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    yield limit
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_an_ingress_without_descriptors_serves_on_and_recovers(
    few_descriptors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It counts on more than the system has left, as where the system itself runs out (ENFILE)."""
    monkeypatch.setattr("ingress.configuration.document.allowed", lambda sockets: sockets)

    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (served, address):
            steady = await Caller.to(address)
            assert await steady.ask(command()) == b"00000000000000aa"
            # Others, in processes of their own, take all that this one may open.
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
                await until(lambda: served.clients.acceptor.exhausted_count)
                used = time.process_time()
                for n in range(20):
                    assert await steady.ask(command(f"{n:016x}")) == f"{n:016x}".encode()
                assert time.process_time() - used < 5
            finally:
                flood.stdin.close()
                flood.wait()
                flood.stdout.close()
            await until(lambda: len(served.clients.connections) <= 2)
            late = await Caller.to(address)
            assert await late.ask(PING) == b"PONG"

    run(body())


# Handshakes to backends


def test_attempts_that_wait_share_what_comes_up_and_what_is_given_back() -> None:
    async def body() -> None:
        go = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                await go.wait()
                writer.write(value(words[2]))

        async with Peer(script) as peer:
            pool = Pool(peer.address, most=64)
            for _ in range(3):
                pool.send()
            await until(lambda: len(peer.tasks) == 3)
            assert pool.pool.opened_count == 3
            gone = pool.send()  # opens a fourth, and is given up before that is up
            pool.pool.cancel_attempt(gone)
            pool.send()
            assert pool.pool.opened_count == 4  # the next one waits for it, rather than open a fifth
            go.set()
            await until(lambda: len(pool.ends) == 5)
            assert Counter(outcome for _, outcome, _ in pool.ends) == {Outcome.OK: 4, Outcome.CANCELLED: 1}
            # The last may have been served by one that was given back, before the fourth is up.
            await until(lambda: not pool.pool.connecting)
            assert pool.pool.connection_count == pool.pool.opened_count == 4

    run(body())


def test_no_more_than_a_few_connections_come_up_at_once_and_all_attempts_are_served() -> None:
    async def body() -> None:
        async with backend() as peer:
            pool = Pool(peer.address, most=200, timeout=5.0)
            for _ in range(50):
                pool.send()
            target = pool.pool.endpoints["s0"]
            assert target.connecting == pools.MAX_CONNECTING_PER_ENDPOINT == pool.pool.connecting
            await until(lambda: len(pool.ends) == 50)
            assert {outcome for _, outcome, _ in pool.ends} == {Outcome.OK}
            assert pool.pool.opened_count < 50  # most were served by what others gave back
            assert not target.waiting_attempts
            await until(lambda: not pool.pool.connecting)  # those that nobody needs any more come up as well
            assert not target.connecting

    run(body())


def test_the_bound_over_all_backends_lets_each_have_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pools, "MAX_CONNECTING", 3)

    async def body() -> None:
        async with backend() as one, backend() as two, backend() as three:
            pool = Pool(one.address, two.address, three.address, most=200, timeout=5.0)
            for n in range(30):
                pool.send(f"s{n % 3}")
            assert pool.pool.connecting == 3
            await until(lambda: len(pool.ends) == 30)
            assert {outcome for _, outcome, _ in pool.ends} == {Outcome.OK}
            assert not pool.pool.connect_queue

    run(body())


def test_a_backend_that_refuses_ends_every_attempt_in_line() -> None:
    async def body() -> None:
        pool = Pool(("127.0.0.1", 1), most=64)
        for _ in range(20):
            pool.send()
        await until(lambda: len(pool.ends) == 20)
        assert {outcome for _, outcome, _ in pool.ends} == {Outcome.CONNECT_FAILED}
        assert not pool.pool.endpoints["s0"].waiting_attempts
        # All that have waited for a connect time-out end with the first refusal, before the other connects are over.
        await until(lambda: not pool.pool.connection_count)
        assert not pool.pool.connecting

    run(body())


def test_what_waits_for_a_backend_that_leaves_or_moves_ends_or_goes_to_its_new_address() -> None:
    async def body() -> None:
        async with backend() as old, backend() as new:
            pool = Pool(old.address, most=64, timeout=5.0)
            pool.send()
            pool.tell((Endpoint("s0"), new.address))  # it moves while the connection comes up
            assert (await pool.end())[0] is Outcome.OK
            assert new.connections == 1
            pool.send()
            pool.tell()  # gone from the list
            pool.skipped += 5.0
            await until(lambda: len(pool.ends) == 2)
            assert pool.pool.connection_count <= 1

    run(body())


# Peers that vanish


def test_a_path_that_is_lost_is_told_from_a_slow_server_before_the_attempt_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        asked = asyncio.Event()

        async def script(number: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            writer.write(value(words[2]))
            if number == 0:
                await writer.drain()
                asked.set()
                drop_all(writer.get_extra_info("socket"))
            await reader.read()

        async with Peer(script) as peer:
            pool = Pool(peer.address, timeout=0.1)
            pool.send()
            assert (await pool.end())[0] is Outcome.OK
            await asked.wait()
            attempt = pool.send(wait=15.0)  # on the idle connection, which looks open
            began = pool.pool.clock()
            assert (await pool.end(2))[0] is Outcome.RESET  # it may have run
            assert pool.pool.clock() - began < 10.0 and attempt.has_ended

    run(body())


def test_the_system_is_asked_to_find_clients_that_vanish() -> None:
    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (served, address):
            caller = await Caller.to(address)
            assert await caller.ask(PING) == b"PONG"
            [client] = served.clients.connections
            options = {
                socket.TCP_USER_TIMEOUT: int(sockets.UNACKNOWLEDGED_TIMEOUT_S * 1000),
                socket.TCP_KEEPIDLE: sockets.KEEPALIVE_IDLE_S,
                socket.TCP_KEEPINTVL: sockets.KEEPALIVE_INTERVAL_S,
                socket.TCP_KEEPCNT: sockets.KEEPALIVE_PROBES,
            }
            assert {key: client.socket.getsockopt(socket.IPPROTO_TCP, key) for key in options} == options
            assert client.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)

    run(body())


def test_a_client_that_vanished_is_let_go_when_it_acknowledges_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sockets, "UNACKNOWLEDGED_TIMEOUT_S", 0.3)

    async def body() -> None:
        go = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            await go.wait()
            writer.write(value(words[2]))
            await reader.read()

        monkeypatch.setattr(sockets.enable_keepalive, "__defaults__", (0.3,))
        async with Peer(script) as peer, serving(config(entry(peer.address))) as (served, address):
            caller = await Caller.to(address)
            caller.writer.write(command(d=10_000))
            await until(lambda: served.requests.in_flight)
            drop_all(caller.writer.get_extra_info("socket"))
            go.set()  # the answer goes out and is never acknowledged
            await until(lambda: not served.clients.connections)
            assert not served.requests.in_flight

    run(body())


def test_a_client_whose_process_is_stopped_is_let_go_when_it_reads_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_timeouts, "STALL_TIMEOUT", 0.3)
    monkeypatch.setattr(client_server, "SWEEP_INTERVAL", 0.05)

    async def body() -> None:
        async with backend(value(bytes(60_000))) as peer, serving(config(entry(peer.address))) as (served, address):
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
                await until(lambda: served.requests.received_count)
                child.send_signal(signal.SIGSTOP)
                await until(lambda: not served.clients.connections)
                await until(lambda: not served.requests.in_flight)
            finally:
                child.kill()
                child.wait()
                child.stdin.close()
                child.stdout.close()

    run(body())


# Time that nobody saw pass


def test_a_request_that_waited_unread_has_so_much_less_time() -> None:
    """Found on the full fleet's herd day: what came while a process was starting was answered by its own clock, after
    the client's time."""

    async def body() -> None:
        async with backend(b"") as silent, serving(config(entry(silent.address))) as (served, address):
            for fresh in (False, True):  # on a connection that was read before, and on one that waits to be accepted
                sock = socket.create_connection(address)
                caller = Caller(*await asyncio.open_connection(sock=sock)) if not fresh else None
                if caller is not None:
                    assert await caller.ask(resp(b"PING")) == b"PONG"
                began = time.monotonic()
                sock.send(command(d=1500))
                time.sleep(1.0)  # the process stands still
                caller = caller or Caller(*await asyncio.open_connection(sock=sock))
                answer = await caller.answer()
                assert isinstance(answer, hiredis.ReplyError)
                assert 1.0 < time.monotonic() - began < 2.2, "by the process's own clock it is 2.5"
                caller.writer.close()
            assert served.metrics.requests_in_flight == 0

    run(body())


def test_what_is_read_again_and_again_has_not_waited() -> None:
    one, other = socket.socketpair()
    with one, other:
        assert seconds_since_last_receive(one) == 0.0  # no TCP: the system does not tell
    with socket.create_server(("127.0.0.1", 0)) as door, socket.create_connection(door.getsockname()) as there:
        here, _ = door.accept()
        there.sendall(b"x")
        time.sleep(0.3)
        assert 0.25 < seconds_since_last_receive(here) < 5.0
        there.sendall(b"y")
        while not here.recv(1 << 10).endswith(b"y"):
            pass
        assert seconds_since_last_receive(here) < 0.25
        here.close()
