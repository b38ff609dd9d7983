"""The connection pool: the outcomes of attempts, reuse of connections, drains and limits."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.runtime.clock import unix_clock
from ingress.runtime.memory_budget import MemoryBudget
from ingress.runtime.metrics import Metrics
from ingress.upstream import connection_pool as module
from ingress.upstream.attempt import Attempt, CommandParts
from ingress.upstream.connection_pool import ConnectionPool
from ingress.upstream.pool_settings import PoolSettings
from ingress.upstream.response_parser import AttemptResult
from tests.peers import (
    Address,
    Peer,
    Reader,
    Writer,
    endpoint_answer,
    fake_endpoint,
    free_port,
    read_command,
    run_async,
    wait_until,
)

PARTS = CommandParts(b"*4\r\n$8\r\nAPI.READ\r\n$2\r\nc7\r\n$2\r\nr1\r\n", b"c=read,d=2000,t=basic,x=9", b"\r\n")


class PoolUnderTest:
    """A pool under test that records the results of its attempts."""

    def __init__(
        self, *addresses: Address, max_connections: int = 8, timeout: float = 0.25, idle_timeout: float = 15.0
    ) -> None:
        self.results: list[tuple[int, Outcome, bytes | None]] = []
        self.chunks: list[tuple[bytes, int, bool]] = []
        self.clock_offset = 0.0
        clock = unix_clock()
        self.attempt_count = 0
        self.response_wanted = True
        self.pool = ConnectionPool(
            PoolSettings(max_connections, timeout, idle_timeout, 1.0),
            lambda: clock() + self.clock_offset,
            Metrics([]),
            MemoryBudget(1 << 28),
        )
        self.update_endpoints(*((Endpoint(f"s{n}"), address) for n, address in enumerate(addresses)))

    def update_endpoints(self, *rows: tuple[Endpoint, Address], full: bool = True) -> None:
        addresses = {endpoint.id: address for endpoint, address in rows}
        self.pool.update_endpoints(full, tuple(endpoint for endpoint, _ in rows), addresses)

    def is_wanted(self, attempt: Attempt) -> bool:
        return self.response_wanted

    def attempt_writable(self, attempt: Attempt) -> None:
        pass

    def chunk_received(self, attempt: Attempt, chunk: bytes, size: int, is_last: bool) -> None:
        self.chunks.append((chunk, size, is_last))

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        self.results.append((attempt.number, result.outcome, result.value))

    def send(self, name: str = "s0", wait: float = 5.0, parts: CommandParts = PARTS) -> Attempt:
        now = self.pool.clock()
        attempt = Attempt(self, "r", self.attempt_count, name, now, now + wait, parts)
        self.attempt_count += 1
        self.pool.start_attempt(attempt)
        return attempt

    async def result(self, count: int = 1) -> Any:
        """Wait for so many results, and return the outcome and value of the last of these."""
        await wait_until(lambda: len(self.results) >= count)
        return self.results[count - 1][1:]


BINARY = bytes(range(256)) * 256


@pytest.mark.parametrize(
    ("answer", "outcome", "expected_value"),
    [
        (endpoint_answer(b"hello"), Outcome.OK, b"hello"),
        (endpoint_answer(b""), Outcome.OK, b""),
        (endpoint_answer(BINARY), Outcome.OK, BINARY),
        (b"*3\r\n$2\r\nok\r\n$1\r\n4\r\n$10\r\ninflight=7\r\n", Outcome.OK, b"ok"),
        (b"-ERR failed\r\n", Outcome.ERROR, None),
        (b"-ERR failed inflight=7,queue=2\r\n", Outcome.ERROR, None),
        (b"-SYNTAX\r\n", Outcome.ERROR, None),
        (b"-BUSY\r\n", Outcome.REJECTED, None),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.MALFORMED, None),
        (b"*-1\r\n", Outcome.MALFORMED, None),
        (b"*0\r\n", Outcome.MALFORMED, None),
        (b"$5\r\nhello\r\n", Outcome.MALFORMED, None),
        (b"hello\r\n", Outcome.MALFORMED, None),
    ],
)
def test_outcome_of_each_kind_of_reply(answer: bytes, outcome: Outcome, expected_value: bytes | None) -> None:
    async def body() -> None:
        async with fake_endpoint(answer) as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()
            assert await pool.result() == (outcome, expected_value)

    run_async(body())


@pytest.mark.parametrize(
    "answer", [b"*100000\r\n", b"~100000\r\n", b"*2\r\n*100000\r\n", b"*2\r\n$8\r\n*1\r\n*9\r\n\r\n>100000\r\n"]
)
@pytest.mark.parametrize("cut", [0, 1, 6])
def test_reply_announcing_too_many_elements_fails_immediately(answer: bytes, cut: int) -> None:
    """Otherwise the parser allocates all announced elements, and the attempt waits for them until it times out."""

    async def body() -> None:
        async def script(_: int, reader: Reader, writer: Writer) -> None:
            await read_command(reader)
            for piece in (answer[:cut], answer[cut:]):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            await reader.read()

        async with Peer(script) as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()
            assert await pool.result() == (Outcome.MALFORMED, None)

    run_async(body())


def test_only_the_timeout_field_of_a_command_is_rewritten() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address)
            data = b"$%d\r\n%b\r\n" % (len(BINARY), BINARY)
            pool.send(wait=1.0, parts=CommandParts(PARTS.before.replace(b"*4", b"*5"), PARTS.fields, b"\r\n" + data))
            assert await pool.result() == (Outcome.OK, b"r1")
            [words] = peer.commands
            names = words[3].split(b",")
            assert words[:3] == [b"API.READ", b"c7", b"r1"] and words[4] == BINARY
            assert names[0] == b"c=read" and names[2:] == [b"t=basic", b"x=9"]
            assert names[1].startswith(b"d=") and 1 <= int(names[1][2:]) <= 1000

    run_async(body())


@pytest.mark.parametrize("partial_reply", [b"", b"*3\r\n$5\r\nhel"])
def test_connection_closed_during_an_attempt_is_a_reset(partial_reply: bytes) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await read_command(reader)
        writer.write(partial_reply)

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()
            assert await pool.result() == (Outcome.RESET, None)
            assert pool.pool.connection_count == 0

    run_async(body())


def test_refused_connection_is_a_failed_connect() -> None:
    async def body() -> None:
        address = ("127.0.0.1", free_port())
        pool = PoolUnderTest(address)
        pool.send()
        assert await pool.result() == (Outcome.CONNECT_FAILED, None)
        pool.send("unknown")
        assert await pool.result(2) == (Outcome.CONNECT_FAILED, None)

    run_async(body())


@pytest.mark.parametrize("wait", [5.0, 0.05])
def test_connect_timeout_is_a_failed_connect(wait: float) -> None:
    async def body() -> None:
        with socket.socket() as server:
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            crowd = [socket.socket() for _ in range(4)]  # the backlog is full: further connects get no answer
            for sock in crowd:
                sock.setblocking(False)
                sock.connect_ex(server.getsockname())
            pool = PoolUnderTest(server.getsockname(), timeout=0.1)
            pool.send(wait=wait)
            assert await pool.result() == (Outcome.CONNECT_FAILED, None)
            await wait_until(lambda: pool.pool.connection_count == 0)
            for sock in crowd:
                sock.close()

    run_async(body())


@pytest.mark.parametrize("cancel", [True, False])
def test_abandoned_attempt_closes_its_connection_before_reporting_the_outcome(cancel: bool) -> None:
    """Two attempts of a request must never be in flight together, not even for one iteration of the event loop."""

    async def body() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            pool = PoolUnderTest(server.getsockname())
            seen: list[bytes] = []

            def ended(attempt: Attempt, result: AttemptResult) -> None:
                pool.results.append((attempt.number, result.outcome, result.value))
                seen.append(peer.recv(100))

            pool.attempt_ended = ended  # type: ignore[method-assign]
            attempt = pool.send(wait=5.0 if cancel else 0.2)
            peer, _ = await loop.sock_accept(server)
            peer.setblocking(False)
            assert (await loop.sock_recv(peer, 4096)).endswith(b"\r\n")
            if cancel:
                pool.pool.cancel_attempt(attempt)
            assert (await pool.result())[0] is (Outcome.CANCELLED if cancel else Outcome.TIMEOUT)
            assert seen == [b""]
            peer.close()

    run_async(body())


def test_most_recently_used_connection_is_reused() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()
            pool.send()
            await pool.result(2)
            latest = pool.pool.endpoints["s0"].idle_connections[-1]
            await wait_until(lambda: pool.pool.clock() > latest.reusable_at)  # the reuse delay of both has passed
            attempt = pool.send()
            assert attempt.connection is latest
            await pool.result(3)
            assert peer.connections == 2 and pool.pool.connection_count == 2

    run_async(body())


def test_connection_is_not_reused_before_the_reuse_delay() -> None:
    """No other connection is opened meanwhile, because a handshake costs more than the delay."""

    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()
            await pool.result()
            [connection] = pool.pool.endpoints["s0"].idle_connections
            assert pool.pool.clock() < connection.reusable_at
            attempt = pool.send()
            assert attempt.connection is None and not pool.pool.connecting
            await pool.result(2)
            assert pool.pool.clock() >= attempt.started_at and peer.connections == 1

    run_async(body())


def test_connection_closed_by_the_peer_is_not_reused() -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while True:
            await read_command(reader)
            writer.write(endpoint_answer(b"%d" % number))
            if number == 0:
                return

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()
            assert await pool.result() == (Outcome.OK, b"0")
            await wait_until(lambda: peer.ended_connections)
            pool.send()
            assert await pool.result(2) == (Outcome.OK, b"1")

    run_async(body())


def test_unsolicited_reply_closes_the_connection() -> None:
    async def body() -> None:
        async with fake_endpoint(endpoint_answer(b"one") + endpoint_answer(b"two")) as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()
            assert await pool.result() == (Outcome.OK, b"one")
            assert pool.pool.connection_count == 0

    run_async(body())


def test_idle_connections_are_closed_before_the_endpoint_closes_them(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SWEEP_INTERVAL", 0.01)

    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address, idle_timeout=15.0)
            pool.send()
            await pool.result()
            pool.clock_offset = 8.0
            await asyncio.sleep(0.05)
            assert pool.pool.connection_count == 1
            pool.clock_offset = 10.0
            await wait_until(lambda: pool.pool.connection_count == 0 and peer.ended_connections)

    run_async(body())


def test_connection_idle_too_long_is_not_reused_between_sweeps() -> None:
    """The endpoint closes it after 2 s; our part of that time is shorter than the interval between two sweeps."""

    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address, idle_timeout=2.0)
            for number in range(2):
                pool.send()
                await pool.result(number + 1)
            assert peer.connections == 1
            pool.clock_offset = 1.5
            pool.send()
            assert (await pool.result(3))[0] is Outcome.OK
            assert peer.connections == 2

    run_async(body())


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_nothing_new_is_written_after_the_drain_grace_period(readiness: Readiness) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()  # its connection is established after the grace period has ended
            pool.update_endpoints((Endpoint("s0", readiness=readiness), peer.address), full=False)
            pool.clock_offset = 1.0
            assert await pool.result() == (Outcome.CONNECT_FAILED, None)
            pool.send()
            assert await pool.result(2) == (Outcome.CONNECT_FAILED, None)
            assert not peer.commands
            pool.update_endpoints((Endpoint("s0"), peer.address), full=False)
            pool.send()
            assert (await pool.result(3))[0] is Outcome.OK

    run_async(body())


def test_endpoint_missing_from_a_complete_list_is_removed() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, fake_endpoint() as other:
            pool = PoolUnderTest(peer.address, other.address)
            pool.send("s0")
            await pool.result()
            pool.update_endpoints((Endpoint("s1"), other.address))
            await wait_until(lambda: pool.pool.connection_count == 0)
            pool.clock_offset = 1.0
            pool.send("s0")
            assert await pool.result(2) == (Outcome.CONNECT_FAILED, None)
            assert len(peer.commands) == 1

    run_async(body())


def test_connection_to_the_old_address_is_not_reused_after_a_move() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        old.commands.append(await read_command(reader))
        await wait_until(lambda: moved)
        writer.write(endpoint_answer(b"old"))
        await reader.read()

    async def body() -> None:
        async with old, fake_endpoint(endpoint_answer(b"new")) as new:
            pool = PoolUnderTest(old.address)
            pool.send()
            await wait_until(lambda: old.commands)
            pool.update_endpoints((Endpoint("s0"), new.address), full=False)
            moved.append(True)
            assert await pool.result() == (Outcome.OK, b"old")
            pool.send()
            assert await pool.result(2) == (Outcome.OK, b"new")

    moved: list[bool] = []
    old = Peer(script)
    run_async(body())


def test_endpoint_that_moved_is_contacted_at_its_new_address() -> None:
    async def body() -> None:
        async with fake_endpoint(endpoint_answer(b"old")) as old, fake_endpoint(endpoint_answer(b"new")) as new:
            pool = PoolUnderTest(old.address)
            pool.send()
            await pool.result()
            pool.update_endpoints((Endpoint("s0"), new.address), full=False)
            pool.send()
            assert await pool.result(2) == (Outcome.OK, b"new")

    run_async(body())


def test_connections_are_limited_over_all_endpoints() -> None:
    async def body() -> None:
        async with fake_endpoint() as one, fake_endpoint(b"") as silent:
            pool = PoolUnderTest(one.address, silent.address, max_connections=2)
            pool.send("s0")
            await pool.result()
            pool.send("s1")
            pool.send("s1")  # replaces the idle connection to the other endpoint
            pool.send("s1")
            assert await pool.result(2) == (Outcome.CONNECT_FAILED, None)
            await wait_until(lambda: len(silent.commands) == 2)
            assert pool.pool.connection_count == 2 and pool.results[-1][0] == 3

    run_async(body())
