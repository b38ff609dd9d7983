"""Closing client connections: no answer is lost, and nothing received after the close is forwarded."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from ingress.ingress import Ingress
from ingress.server import client_timeouts, lingering_connection
from ingress.server.client_server import SWEEP_INTERVAL
from ingress.server.response_slot import ResponseSlot
from tests.peers import (
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
    run_async,
    wait_until,
)
from tests.test_net_ingress import StubGateway, running_ingress, start_attempts

ANSWER_BYTES = 60_000


async def read_to_eof(sock: socket.socket) -> bytes:
    """Return all bytes up to the close of the connection.

    Raises:
        ConnectionResetError: The connection was reset.
    """
    loop = asyncio.get_running_loop()
    received = bytearray()
    while data := await loop.sock_recv(sock, 1 << 16):
        received += data
    return bytes(received)


async def connect(address: tuple[str, int], receive_buffer: int = 0) -> socket.socket:
    """Connect a client; `receive_buffer` is the size of its receive buffer in bytes, 0 for the default."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.connect(address)
    sock.setblocking(False)
    return sock


@pytest.mark.parametrize("late", [False, True])
def test_an_answer_is_not_lost_when_its_client_sent_more_after_the_request(late: bool) -> None:
    """The connection is closed after the answer while later requests are unread, or they arrive after the close."""
    commands = list[bytes]()
    answer = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            commands.append((await read_command(reader))[2])
            await answer.wait()
            writer.write(endpoint_answer(b"x" * ANSWER_BYTES))

    async def body() -> None:
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await connect(address, 4096)  # Most of the answer waits in the buffers of the kernel.
            client.send(command("first"))
            await wait_until(lambda: commands)
            served.clients.set_draining(True)
            if not late:
                client.send(command("behind") * 50)
                await asyncio.sleep(0.05)  # Long enough for the event loop to read it.
            answer.set()
            await wait_until(lambda: not served.requests.in_flight)
            if late:
                client.send(command("behind") * 50)
                await asyncio.sleep(0.05)
            assert await read_to_eof(client) == b"$%d\r\n%b\r\n" % (ANSWER_BYTES, b"x" * ANSWER_BYTES)
            client.close()
            await wait_until(lambda: not served.clients.connections)
            assert commands == [b"first"]

    run_async(body())


def test_a_request_between_the_last_idle_check_and_the_close_is_not_forwarded_and_causes_no_reset() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await connect(address)
            client.send(command("first"))
            await wait_until(lambda: peer.commands and not served.requests.in_flight)
            [connection] = served.clients.connections
            assert connection.is_idle()
            connection.close_gracefully()
            client.send(command("second"))
            assert await read_to_eof(client) == b"$5\r\nfirst\r\n"
            client.close()
            await wait_until(lambda: not served.clients.connections)
            assert [words[2] for words in peer.commands] == [b"first"]

    run_async(body())


def test_a_connection_with_an_unread_request_is_not_idle() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await connect(address)
            client.send(command("first"))
            await wait_until(lambda: peer.commands and not served.requests.in_flight)
            [connection] = served.clients.connections
            client.send(command("second"))
            served.clients.set_draining(True)  # The event loop has not reported the request yet.
            served.clients.evictor.evict(1)
            assert not connection.is_closing
            assert await read_to_eof(client) == b"$5\r\nfirst\r\n$6\r\nsecond\r\n"
            client.close()

    run_async(body())


def test_a_client_that_does_not_close_its_side_is_disconnected_after_a_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering_connection, "LINGER_TIMEOUT", 0.1)

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await connect(address)
            client.send(command("first"))
            await wait_until(lambda: peer.commands and not served.requests.in_flight)
            [connection] = served.clients.connections
            connection.close_gracefully()
            assert await read_to_eof(client) == b"$5\r\nfirst\r\n"
            await wait_until(lambda: not served.clients.connections)
            client.close()

    run_async(body())


def test_a_flood_after_the_close_is_read_only_up_to_a_limit() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await connect(address)
            client.send(b"nonsense\r\n")
            await wait_until(lambda: served.clients.malformed_count)
            loop = asyncio.get_running_loop()
            with pytest.raises((BrokenPipeError, ConnectionResetError)):
                for _ in range(100):
                    await loop.sock_sendall(client, bytes(lingering_connection.LINGER_BYTES))
            client.close()
            await wait_until(lambda: not served.clients.connections)
            assert not peer.commands

    run_async(body())


def test_reading_resumes_after_a_cancelled_drain() -> None:
    answer = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            await answer.wait()
            writer.write(endpoint_answer(words[2]))

    async def body() -> None:
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.runner.gateway = StubGateway(start_attempts)  # type: ignore[assignment]
            client = await RespClient.connect(address)
            client.writer.write(command("first"))
            await wait_until(lambda: served.requests.attempts_in_flight)
            served.clients.set_draining(True)
            client.writer.write(command("second"))
            served.clients.set_draining(False)
            answer.set()
            assert await client.read_answer() == b"first"
            assert await client.read_answer() == b"second"

    run_async(body())


def test_responses_after_an_aborted_one_are_not_sent() -> None:
    """When a connection is closed in the middle of a value, the later commands on it get no response."""

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await connect(address)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await asyncio.get_running_loop().sock_recv(client, 100) == b"+PONG\r\n"
            [connection] = served.clients.connections
            aborted = ResponseSlot(connection)
            later = ResponseSlot(connection)
            connection.slots.extend([aborted, later])
            aborted.has_begun = True
            writer = aborted.claim()
            assert writer is not None
            writer.abort(b"-ERR failed\r\n")
            assert later.answer(b"+OK\r\n")
            assert await read_to_eof(client) == b""
            client.close()
            await wait_until(lambda: not served.clients.connections)
            assert not peer.commands

    run_async(body())


def test_connections_that_were_busy_at_the_limit_are_closed_once_they_are_idle() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.clients.resize(8)
            busy = [await connect(address) for _ in range(8)]
            for client in busy:
                client.send(b"*")  # A command has begun, so none of these connections is idle.
            await wait_until(lambda: served.clients.acceptor.is_full)
            for connection in served.clients.connections:
                connection.data_received(b"1\r\n$4\r\nPING\r\n")
            last = await connect(address)
            last.send(command("last"))
            assert await asyncio.get_running_loop().sock_recv(last, 100) == b"$4\r\nlast\r\n"
            assert len(served.clients.connections) <= 8 == len(busy)

    run_async(body())


async def lower_limit(served: Ingress) -> None:
    served.clients.resize(0)
    await asyncio.sleep(2 * SWEEP_INTERVAL)


async def free_one(served: Ingress) -> None:
    served.clients.evictor.evict(1)


@pytest.mark.parametrize("disruption", [lower_limit, free_one])
def test_a_connection_whose_client_has_not_received_its_answer_is_not_closed_as_idle(
    disruption: Callable[[Ingress], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a close that turns into a reset, and destroys the answer, when the client sends one more."""
    monkeypatch.setattr(client_timeouts, "IDLE_TIMEOUT", 0.0)

    async def body() -> None:
        async with (
            fake_endpoint(endpoint_answer(b"x" * ANSWER_BYTES)) as peer,
            running_ingress(config(endpoint_entry(peer.address))) as (served, address),
        ):
            client = await connect(address, 4096)  # Most of the answer waits in the buffers of the kernel.
            client.send(command("first"))
            await wait_until(lambda: peer.commands and not served.requests.in_flight)
            await disruption(served)
            client.send(command("second"))
            await asyncio.sleep(SWEEP_INTERVAL / 4)  # Long enough for a reset to arrive.
            answer = b"$%d\r\n%b\r\n" % (ANSWER_BYTES, b"x" * ANSWER_BYTES)
            received = bytearray()
            while len(received) < len(answer):
                received += await asyncio.get_running_loop().sock_recv(client, 1 << 16)
            assert received.startswith(answer)
            client.close()

    run_async(body())
