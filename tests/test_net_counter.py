"""The client of the counter: outcomes, the order of replies, and failing connections."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import CounterReply
from ingress.runtime.clock import unix_clock
from ingress.upstream import counter_client as module
from ingress.upstream.counter_client import CounterClient
from tests.peers import Address, Peer, Reader, Writer, free_port, run_async, wait_until


class CounterUnderTest:
    """A counter client under test that records its replies."""

    def __init__(self, address: Address, timeout: float = 5.0) -> None:
        self.replies: list[CounterReply] = []
        self.client = CounterClient(address, timeout, unix_clock(), self.replies.append)

    def add(self, name: int = 7, amount: float = 1.0, lifetime: float = 60.0) -> None:
        self.client.call(name, amount, lifetime)

    async def reply(self, count: int = 1) -> tuple[int, Outcome, float]:
        """Wait for so many replies, and return the last of these."""
        await wait_until(lambda: len(self.replies) >= count)
        reply = self.replies[count - 1]
        return reply.name, reply.outcome, reply.total


def scripted_counter(*answers: bytes) -> Peer:
    """Return a counter that gives these answers to the first calls, and then stops answering."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for answer in answers:
            peer.commands.append([await reader.readline()])
            writer.write(answer)
        while line := await reader.readline():
            peer.commands.append([line])

    peer = Peer(script)
    return peer


@pytest.mark.parametrize(
    ("answer", "outcome", "total"),
    [
        (b"ok 41.5\r\n", Outcome.OK, 41.5),
        (b"ok -3\r\n", Outcome.OK, -3.0),
        (b"busy\r\n", Outcome.REJECTED, 0.0),
        (b"error\r\n", Outcome.REJECTED, 0.0),
        (b"what\r\n", Outcome.TIMEOUT, 0.0),
        (b"ok\r\n", Outcome.TIMEOUT, 0.0),
        (b"ok 1.5e+06\r\n", Outcome.OK, 1.5e6),
        (b"ok nan\r\n", Outcome.TIMEOUT, 0.0),
        (b"ok inf\r\n", Outcome.TIMEOUT, 0.0),
        (b"ok 1_0\r\n", Outcome.TIMEOUT, 0.0),
    ],
)
def test_outcome_of_each_kind_of_reply(answer: bytes, outcome: Outcome, total: float) -> None:
    async def body() -> None:
        async with scripted_counter(answer) as peer:
            counter = CounterUnderTest(peer.address)
            counter.add()
            assert await counter.reply() == (7, outcome, total)

    run_async(body())


@pytest.mark.parametrize(
    ("amount", "lifetime", "line"),
    [
        (1.0, 60.0, b"add 7 1 60000\r\n"),
        (-2.5, 4.0, b"add 7 -2.5 4000\r\n"),
        (0.0, 0.0, b"add 7 0 1\r\n"),
        (1e-7, 99.0, b"add 7 0 60000\r\n"),
        (1e8, 1.0, b"add 7 100000000 1000\r\n"),
    ],
)
def test_encoding_of_a_call(amount: float, lifetime: float, line: bytes) -> None:
    async def body() -> None:
        async with scripted_counter() as peer:
            counter = CounterUnderTest(peer.address)
            counter.add(7, amount, lifetime)
            await wait_until(lambda: peer.commands)
            assert peer.commands == [[line]]

    run_async(body())


def test_calls_are_pipelined_on_one_connection_and_matched_in_order() -> None:
    counters: list[CounterUnderTest] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for _ in range(3):
            peer.commands.append([await reader.readline()])
        writer.write(b"ok 1\r\nbu")
        await wait_until(lambda: counters[0].replies)
        writer.write(b"sy\r\nok 3\r\n")
        await reader.read()

    async def body() -> None:
        async with peer:
            counter = CounterUnderTest(peer.address)
            counters.append(counter)
            for name in (1, 2, 3):
                counter.add(name)
            await counter.reply(3)
            assert [(r.name, r.outcome, r.total) for r in counter.replies] == [
                (1, Outcome.OK, 1.0),
                (2, Outcome.REJECTED, 0.0),
                (3, Outcome.OK, 3.0),
            ]
            assert peer.connections == 1

    peer = Peer(script)
    run_async(body())


def test_late_reply_is_not_matched_to_the_next_call() -> None:
    counters: list[CounterUnderTest] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        await wait_until(lambda: counters[0].replies)
        counters[0].client.timeout = 5.0
        counters[0].add(2)
        await reader.readline()
        writer.write(b"ok 100\r\nok 200\r\n")
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer:
            counter = CounterUnderTest(peer.address, timeout=0.2)
            counters.append(counter)
            counter.add(1)
            assert await counter.reply() == (1, Outcome.TIMEOUT, 0.0)
            assert await counter.reply(2) == (2, Outcome.OK, 200.0)

    run_async(body())


@pytest.mark.parametrize("invalid_reply", [b"", b"ok", b"ok {}", b"ok 1x2", b"ok nan"])
def test_invalid_reply_closes_the_connection(invalid_reply: bytes) -> None:
    """What follows the invalid reply could be mistaken for the total of another call."""

    async def body() -> None:
        async def script(number: int, reader: Reader, writer: Writer) -> None:
            if number == 0:
                for _ in range(3):
                    await reader.readline()
                writer.write(invalid_reply + b"\r\nok 999\r\nok 998\r\n")
            while await reader.readline():
                if number:
                    writer.write(b"ok 4\r\n")

        async with Peer(script) as peer:
            counter = CounterUnderTest(peer.address)
            for name in (1, 2, 3):
                counter.add(name)
            await counter.reply(3)
            assert [(r.name, r.outcome) for r in counter.replies] == [(n, Outcome.TIMEOUT) for n in (1, 2, 3)]
            counter.add(5)
            assert await counter.reply(4) == (5, Outcome.OK, 4.0) and peer.connections == 2

    run_async(body())


def test_new_calls_go_to_the_new_address_and_pending_ones_are_still_answered() -> None:
    async def body() -> None:
        may_answer = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            await reader.readline()
            await may_answer.wait()
            writer.write(b"ok 1\r\n")
            assert not await reader.readline()  # the old connection is closed without another call

        async with Peer(script) as old, scripted_counter(b"ok 2\r\n", b"ok 3\r\n") as new:
            counter = CounterUnderTest(old.address)
            counter.add(1)
            await wait_until(lambda: counter.client.connection is not None)
            counter.client.change_address(new.address)
            counter.add(2)
            assert await counter.reply() == (2, Outcome.OK, 2.0)
            may_answer.set()
            assert await counter.reply(2) == (1, Outcome.OK, 1.0)
            await wait_until(lambda: old.ended_connections)
            counter.add(3)
            assert await counter.reply(3) == (3, Outcome.OK, 3.0)
            assert (old.connections, new.connections) == (1, 1)

    run_async(body())


def test_counter_that_moves_during_a_connect_is_contacted_at_its_new_address() -> None:
    async def body() -> None:
        async with scripted_counter(b"ok 1\r\n") as old, scripted_counter(b"ok 2\r\n") as new:
            counter = CounterUnderTest(old.address)
            counter.add(1)
            counter.client.change_address(new.address)
            assert await counter.reply() == (1, Outcome.OK, 2.0)
            assert not old.commands

    run_async(body())


def test_refused_connection_is_a_failed_connect() -> None:
    async def body() -> None:
        address = ("127.0.0.1", free_port())
        counter = CounterUnderTest(address)
        counter.add()
        assert await counter.reply() == (7, Outcome.CONNECT_FAILED, 0.0)

    run_async(body())


def test_call_queued_for_a_connection_is_not_sent_after_its_timeout() -> None:
    async def body() -> None:
        with socket.socket() as server:
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            crowd = [socket.socket() for _ in range(4)]
            for sock in crowd:
                sock.setblocking(False)
                sock.connect_ex(server.getsockname())
            counter = CounterUnderTest(server.getsockname(), timeout=0.05)
            counter.add()
            assert await counter.reply() == (7, Outcome.CONNECT_FAILED, 0.0)
            await wait_until(lambda: counter.client.connect_task is None)
            assert len(counter.replies) == 1
            for sock in crowd:
                sock.close()

    run_async(body())


def test_connection_closed_during_a_call_is_a_timeout_and_is_replaced() -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        if number == 1:
            writer.write(b"ok 5\r\n")
            await reader.read()

    async def body() -> None:
        async with Peer(script) as peer:
            counter = CounterUnderTest(peer.address)
            counter.add()
            assert await counter.reply() == (7, Outcome.TIMEOUT, 0.0)
            counter.add()
            assert await counter.reply(2) == (7, Outcome.OK, 5.0)

    run_async(body())


def test_silent_connection_is_replaced() -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while await reader.readline():
            if number == 1:
                writer.write(b"ok 5\r\n")

    async def body() -> None:
        async with Peer(script) as peer:
            counter = CounterUnderTest(peer.address, timeout=0.02)
            counter.add()
            assert await counter.reply() == (7, Outcome.TIMEOUT, 0.0)
            assert counter.client.connection is not None
            counter.client.connection.pending_calls[0].made_at -= 60.0  # its reply is long overdue
            counter.client.timeout = 5.0
            counter.add()
            assert await counter.reply(2) == (7, Outcome.OK, 5.0)
            assert peer.connections == 2

    run_async(body())


def test_silence_is_measured_from_the_last_received_data_not_from_the_oldest_call() -> None:
    async def body() -> None:
        async with scripted_counter() as peer:
            counter = CounterUnderTest(peer.address, timeout=1.0)
            for name in (1, 2):
                counter.add(name)
            await wait_until(lambda: counter.client.connection and len(counter.client.connection.pending_calls) == 2)
            connection = counter.client.connection
            assert connection is not None
            start = connection.pending_calls[0].made_at
            assert not connection.is_silent(start + module.SILENCE_TIMEOUT_RATIO)
            assert connection.is_silent(start + module.SILENCE_TIMEOUT_RATIO + 0.01)
            connection.data_received(b"ok 1\r\n")  # a late reply
            connection.pending_calls[0].made_at = start - 100.0
            assert not connection.is_silent(connection.last_received_at + module.SILENCE_TIMEOUT_RATIO)
            assert connection.is_silent(connection.last_received_at + module.SILENCE_TIMEOUT_RATIO + 0.01)

    run_async(body())


def test_silent_connection_is_closed_at_the_timeout_of_a_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SILENCE_TIMEOUT_RATIO", 0)

    async def body() -> None:
        async with scripted_counter() as peer:
            counter = CounterUnderTest(peer.address, timeout=0.02)
            counter.add()
            assert await counter.reply() == (7, Outcome.TIMEOUT, 0.0)
            await wait_until(lambda: counter.client.connection is None)

    run_async(body())


def test_idle_connection_is_closed_by_the_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "IDLE_TIMEOUT_S", 0.05)

    async def body() -> None:
        async with scripted_counter(b"ok 1\r\n") as peer:
            counter = CounterUnderTest(peer.address)
            counter.add()
            await counter.reply()
            await wait_until(lambda: peer.ended_connections)
            assert counter.client.connection is None

    run_async(body())
