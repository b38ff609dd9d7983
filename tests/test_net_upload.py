"""Long request bodies: forwarded in chunks, with back-pressure, to a single attempt."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from ingress.decisions.actions import Action, StartAttempt
from ingress.decisions.events import AttemptEnded, Event, RequestReceived, UploadFinished, UploadStarted
from ingress.protocols import resp
from ingress.protocols.frame_scanner import CommandScanner
from ingress.runtime.memory_budget import MAX_STREAM_WINDOW
from ingress.runtime.metrics import RequestResult
from ingress.server import client_connection, client_server, client_timeouts, upload_reader
from ingress.upstream.connection import Connection
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
from tests.peers import resp as words
from tests.test_net_ingress import StubGateway, running_ingress, start_attempts

LONG_BODY = bytes(range(256)) * 4096  # 1 MiB
UPLOAD = command("long", cls="order", body=LONG_BODY)
BODY_OFFSET = UPLOAD.index(LONG_BODY)


def length_endpoint() -> Peer:
    """Return an endpoint that answers with the length of the last argument."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            arguments = await read_command(reader)
            peer.commands.append(arguments)
            writer.write(endpoint_answer(b"%d" % len(arguments[-1])))

    peer = Peer(script)
    return peer


@pytest.mark.parametrize("step", [1, 3, 1000, 1 << 20])
def test_commands_are_split_alike_whatever_the_read_sizes(step: int) -> None:
    body = bytes(70_000)
    data = words(b"PING") + words(b"API.WRITE", b"x", body) + words(b"PING", b"*1")
    frames = CommandScanner(64)
    parsed = b""
    passed = b""
    left = 0
    for at in range(0, len(data), step):
        rest = data[at : at + step]
        while rest:
            if left:
                passed, rest, left = passed + rest[:left], rest[left:], max(0, left - len(rest))
                continue
            safe, rest = frames.cut(rest)
            parsed += safe
            left, frames.long_argument_size = (frames.long_argument_size + 2 if frames.long_argument_size else 0), 0
    assert passed == body + b"\r\n"
    assert parsed == words(b"PING") + words(b"API.WRITE", b"x", b"") + words(b"PING", b"*1")
    assert not frames.in_frame() and not frames.error


@pytest.mark.parametrize("step", [1 << 10, 1 << 16, 1 << 21])
def test_a_long_body_reaches_the_endpoint_unchanged(step: int) -> None:
    async def body() -> None:
        async with (
            length_endpoint() as peer,
            running_ingress(config(*(endpoint_entry(peer.address, f"s{n}") for n in range(8)))) as (served, address),
        ):
            client = await RespClient.connect(address)
            data = command("before") + UPLOAD + command("after")
            for at in range(0, len(data), step):
                client.writer.write(data[at : at + step])
                await client.writer.drain()
            assert [await client.read_answer() for _ in range(3)][1] == b"%d" % len(LONG_BODY)
            [long] = [c for c in peer.commands if c[2] == b"long"]
            assert long[4] == LONG_BODY and b"d=2000" in long[3]
            assert {c[2] for c in peer.commands} == {b"before", b"long", b"after"}
            assert (
                served.metrics.attempts_sent == 3
                and served.budget.streaming_uploads == served.budget.command_bytes == 0
            )

    run_async(body())


def test_chunks_are_forwarded_before_the_last_is_received_and_the_timeout_starts_with_the_last() -> None:
    first_received = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readexactly(BODY_OFFSET + 100)
        first_received.set()
        await reader.readexactly(len(UPLOAD) - BODY_OFFSET - 100)
        writer.write(endpoint_answer(b"served"))
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            stub = StubGateway(start_attempts)
            served.runner.gateway = stub  # type: ignore[assignment]
            data = UPLOAD.replace(b"d=2000", b"d=0300")
            client = await RespClient.connect(address)
            client.writer.write(data[: BODY_OFFSET + 100])
            await first_received.wait()
            await asyncio.sleep(0.4)  # Longer than the timeout of the request.
            assert served.metrics.attempts_sent == 0
            client.writer.write(data[BODY_OFFSET + 100 :])
            assert await client.read_answer() == b"served"
            assert [type(e) for e in stub.seen] == [RequestReceived, UploadStarted, UploadFinished, AttemptEnded]
            assert [e.is_chunked for e in stub.of(RequestReceived)] == [True]

    run_async(body())


class SmallBufferSocket(socket.socket):
    """A socket with a fixed small send buffer, which the kernel does not grow until the whole value fits in it."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)


def test_a_slow_endpoint_slows_the_client_down_without_using_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(socket, "socket", SmallBufferSocket)
    read_on = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await read_on.wait()
        arguments = await read_command(reader)
        writer.write(endpoint_answer(b"%d" % len(arguments[-1])))
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            peer.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
            client = await RespClient.connect(address)
            big = command("big", cls="order", body=bytes(resp.MAX_VALUE_BYTES))
            client.writer.write(big)
            await wait_until(lambda: any(c.upload_paused for c in served.clients.connections))
            await wait_until(lambda: served.requests.attempts_in_flight)
            [request] = served.requests.in_flight.values()
            assert request.upload is not None
            attempt = next(iter(served.requests.attempts_in_flight.values()))
            buffered = sum(map(len, request.upload.chunks))
            if isinstance(attempt.connection, Connection) and attempt.connection.transport is not None:
                buffered += attempt.connection.transport.get_write_buffer_size()
            assert buffered <= 3 * MAX_STREAM_WINDOW
            read_on.set()
            assert await client.read_answer() == b"%d" % resp.MAX_VALUE_BYTES

    run_async(body())


def test_no_other_attempt_replaces_one_that_has_received_chunks() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readexactly(BODY_OFFSET + 100)

    async def body() -> None:
        async with (
            Peer(script) as peer,
            running_ingress(config(endpoint_entry(peer.address), endpoint_entry(peer.address, "s2"))) as (
                served,
                address,
            ),
        ):
            client = await RespClient.connect(address)
            client.writer.write(UPLOAD[: BODY_OFFSET + 100])
            answer = str(await client.read_answer())
            # The connection broke before the last byte, so the request was not executed.
            assert answer.startswith("BUSY")
            assert peer.connections == 1
            client.writer.write(UPLOAD[BODY_OFFSET + 100 :] + command("next"))
            await wait_until(lambda: served.requests.received_count == 2)  # The remaining body is read and dropped.
            assert served.budget.streaming_uploads == 0

    run_async(body())


def test_an_attempt_that_never_connected_is_replaced() -> None:
    async def body() -> None:
        async with (
            length_endpoint() as peer,
            running_ingress(config(endpoint_entry(("127.0.0.1", 1)), endpoint_entry(peer.address, "s2"))) as (
                served,
                address,
            ),
        ):

            def plan(event: Event) -> list[Action]:
                if isinstance(event, AttemptEnded) and not event.request_finished:
                    return [StartAttempt(event.request_id, "s2")]
                return start_attempts(event)

            served.runner.gateway = StubGateway(plan)  # type: ignore[assignment]
            client = await RespClient.connect(address)
            assert await client.request(UPLOAD) == b"%d" % len(LONG_BODY)

    run_async(body())


def test_a_client_that_disconnects_during_its_upload_ends_the_attempt() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readexactly(BODY_OFFSET + 100)
        peer.commands.append([])
        await reader.read()

    async def body() -> None:
        async with peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await RespClient.connect(address)
            client.writer.write(UPLOAD[: BODY_OFFSET + 100])
            await wait_until(lambda: peer.commands)
            client.writer.close()
            await wait_until(
                lambda: peer.ended_connections
                and not served.requests.in_flight
                and not served.requests.attempts_in_flight
            )
            assert served.metrics.results["order", RequestResult.ABORTED] == 1 and served.budget.streaming_uploads == 0

    peer = Peer(script)
    run_async(body())


def test_a_client_that_is_silent_during_its_upload_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upload_reader, "CHUNK_TIMEOUT", 0.0)
    monkeypatch.setattr(client_server, "SWEEP_INTERVAL", 0.01)

    async def body() -> None:
        async with (
            length_endpoint() as peer,
            running_ingress(config(endpoint_entry(peer.address))) as (served, address),
        ):
            client = await RespClient.connect(address)
            client.writer.write(UPLOAD[: BODY_OFFSET + 100])
            with pytest.raises((EOFError, ConnectionError)):
                await client.read_answer()
            await wait_until(lambda: not served.requests.in_flight)
            assert not peer.commands

    run_async(body())


@pytest.mark.parametrize(
    "data",
    [
        command(cls="order", body=bytes(resp.MAX_VALUE_BYTES + 1)),
        words(b"GET", LONG_BODY),
        words(b"API.WRITE", b"x", b"x", LONG_BODY),
        UPLOAD[:-2] + b"xx",
    ],
)
def test_a_malformed_long_body_closes_the_connection(data: bytes) -> None:
    async def body() -> None:
        async with (
            fake_endpoint(b"") as peer,
            running_ingress(config(endpoint_entry(peer.address))) as (served, address),
        ):
            client = await RespClient.connect(address)
            client.writer.write(data)
            with pytest.raises((EOFError, ConnectionError)):
                while True:
                    assert str(await client.read_answer()).startswith("ERR")
            await wait_until(lambda: not served.requests.in_flight and not served.clients.connections)

    run_async(body())


def test_an_upload_paused_by_the_ingress_is_not_overdue_when_it_resumes() -> None:
    """The sweep runs in between; the client could not send anything while reading was paused."""

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.runner.gateway = StubGateway(lambda event: [])  # type: ignore[assignment]
            client = await RespClient.connect(address)
            client.writer.write(UPLOAD[: BODY_OFFSET + 100])
            await wait_until(lambda: [c for c in served.clients.connections if c.upload_paused])
            [connection] = served.clients.connections
            skipped = 10 * upload_reader.CHUNK_TIMEOUT
            clock = served.clients.clock
            served.clients.clock = lambda: clock() + skipped
            client_timeouts.check_timeouts(connection, served.clients.clock())
            assert not connection.is_closing  # A paused upload never times out.
            connection.pause_upload(False)
            client_timeouts.check_timeouts(connection, served.clients.clock())
            assert not connection.is_closing
            client_timeouts.check_timeouts(connection, served.clients.clock() + 1.1 * upload_reader.CHUNK_TIMEOUT)
            assert connection.is_closing

    run_async(body())


def test_a_command_that_the_ingress_does_not_read_is_not_overdue() -> None:
    """Half a command was received before reading paused for a full pipeline; no timeout runs during the pause."""

    async def body() -> None:
        async with (
            fake_endpoint(b"") as peer,
            running_ingress(config(endpoint_entry(peer.address))) as (served, address),
        ):
            served.runner.gateway = StubGateway(start_attempts)  # type: ignore[assignment]
            client = await RespClient.connect(address)
            client.writer.write(
                b"".join(command(f"r{n}") for n in range(client_connection.MAX_PIPELINED + 1)) + b"*4\r\n$8"
            )
            await wait_until(lambda: [c for c in served.clients.connections if c.pipeline_full])
            [connection] = served.clients.connections
            client_timeouts.check_timeouts(connection, served.clients.clock() + 1.1 * client_timeouts.COMMAND_TIMEOUT)
            assert not connection.is_closing

    run_async(body())
