"""Clients that disconnect: nothing that was queued for them is sent to an endpoint afterwards."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from typing import Any, ClassVar

import pytest

from ingress.decisions.actions import Action, FailRequest, StartAttempt
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import AttemptEnded, EndpointListKind, EndpointsChanged, Event, RequestReceived
from ingress.ingress import Ingress
from ingress.runtime.sockets import is_closed_by_peer, peek_byte
from ingress.server import client_connection
from tests.peers import (
    SETTINGS,
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
    run_async,
    wait_until,
)
from tests.test_net_ingress import StubGateway, running_ingress, start_attempts


class GatedLoop:
    """An event loop on which no connection to an endpoint is established before `open` is set."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.open = asyncio.Event()
        self.waiting = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def sock_connect(self, sock: socket.socket, address: Address) -> None:
        self.waiting += 1
        await self.open.wait()
        await self.loop.sock_connect(sock, address)


def gate_connects(served: Ingress) -> GatedLoop:
    """Let the connection pool use a gated loop, with a long connect timeout."""
    gate = GatedLoop(served.pool.loop)
    served.pool.loop = gate  # type: ignore[assignment]
    served.pool.connect_timeout = 10.0
    return gate


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def warm(served: Ingress, address: Address, count: int = 1) -> None:
    """Open `count` connections to the endpoint and leave them idle."""
    clients = [await RespClient.connect(address) for _ in range(count)]
    for client in clients:
        client.writer.write(command("warm"))
    for client in clients:
        await client.read_answer()
        client.writer.close()
    await wait_until(lambda: not served.clients.connections)


def is_any_client_paused(served: Ingress) -> bool:
    return any(client.pipeline_full for client in served.clients.connections)


@pytest.mark.parametrize("disconnect", [close, reset])
# The last one is not read, nor is a disconnect.
@pytest.mark.parametrize("count", [1, client_connection.MAX_PIPELINED + 1])
def test_nothing_that_waits_for_a_connection_is_sent_after_its_client_has_disconnected(
    disconnect: Callable[[socket.socket], None], count: int
) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            gate = gate_connects(served)
            client = socket.create_connection(address)
            client.sendall(b"".join(command(f"r{n}") for n in range(count)))
            await wait_until(lambda: gate.waiting and (count == 1 or is_any_client_paused(served)))
            disconnect(client)
            gate.open.set()
            await wait_until(lambda: not served.requests.in_flight and not served.pool.connecting)
            next_client = await RespClient.connect(address)
            assert await next_client.request(command("after")) == b"after"
            assert [words[2] for words in peer.commands] == [b"after"]
            # The disconnect is noticed even if reading was paused.
            await wait_until(lambda: len(served.clients.connections) == 1)

    run_async(body())


@pytest.mark.parametrize("disconnect", [close, reset])
def test_no_further_attempt_is_made_for_a_client_that_disconnected_while_reading_was_paused(
    disconnect: Callable[[socket.socket], None],
) -> None:
    commands: list[bytes] = []
    disconnected = asyncio.Event()

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while True:
            commands.append((await read_command(reader))[2])
            await disconnected.wait()
            writer.write(b"-BUSY\r\n")

    async def body() -> None:
        count = client_connection.MAX_PIPELINED
        async with (
            Peer(script) as one,
            Peer(script) as two,
            running_ingress(config(endpoint_entry(one.address), endpoint_entry(two.address, "s2"))) as (
                served,
                address,
            ),
        ):
            client = socket.create_connection(address)
            client.sendall(b"".join(command(f"r{n}") for n in range(count + 1)))
            await wait_until(lambda: is_any_client_paused(served) and commands)
            await wait_until(lambda: len(commands) == len(served.requests.attempts_in_flight))
            sent_count = len(commands)
            disconnect(client)
            disconnected.set()
            await wait_until(lambda: not served.requests.in_flight and not served.requests.attempts_in_flight)
            assert len(commands) == sent_count

    run_async(body())


def test_a_request_that_arrives_together_with_the_close_of_its_connection_is_not_forwarded() -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            await warm(served, address)
            client = socket.create_connection(address)
            await wait_until(lambda: [c for c in served.clients.connections if c.transport])
            client.sendall(command("gone"))
            client.close()  # The event loop has not read anything yet.
            time.sleep(0.15)
            await wait_until(lambda: not served.clients.connections)
            assert [words[2] for words in peer.commands] == [b"warm"] and not served.requests.in_flight

    run_async(body())


def test_a_hedge_that_is_due_when_a_stalled_process_resumes_is_not_sent_for_a_disconnected_client() -> None:
    """While the process is stalled the client disconnects, and timers fire before the event loop reports that."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            commands.append(words[2])
            if words[2] == b"warm":
                writer.write(endpoint_answer(b""))

    commands: list[bytes] = []
    patient = [cls | {"aim-s": 2.0, "give-up-s": 6.0} for cls in SETTINGS["categories"]]
    settings = SETTINGS | {
        "limits": SETTINGS["limits"] | {"second-copies": True, "cancel": True},
        "categories": patient,
    }

    class Stall(asyncio.Protocol):
        """Closes clients and then blocks the event loop until a given time, while it reads from its connections."""

        until = 0.0
        closes: ClassVar[list[socket.socket]] = []

        def data_received(self, data: bytes) -> None:
            for client in self.closes:
                client.close()
            time.sleep(max(0.0, self.until - time.monotonic()))

    async def body() -> None:
        loop = asyncio.get_running_loop()
        stall_server = await loop.create_server(Stall, "127.0.0.1", 0)
        async with (
            Peer(script) as one,
            Peer(script) as two,
            running_ingress(
                config(endpoint_entry(one.address), endpoint_entry(two.address, "s2"), settings=settings)
            ) as (served, address),
        ):
            await warm(served, address, 2)
            for server in served.gateway.cluster.endpoints.by_id.values():
                server.concurrency_limit = 32.0
            served.gateway.cluster.endpoints.apply_list(EndpointsChanged(EndpointListKind.UPDATE), served.clock())
            with socket.create_connection(stall_server.sockets[0].getsockname()) as trigger:
                for name, stays in ((b"stays", True), (b"gone", False)):
                    served.gateway.forwarder.hedging.win_rate = 1.0
                    served.gateway.forwarder.retry_budget.level = 10.0
                    client = socket.create_connection(address)
                    Stall.until = time.monotonic() + 1.2
                    Stall.closes = [] if stays else [client]
                    client.sendall(command(name.decode(), d=5000))
                    while name not in commands:
                        await asyncio.sleep(0.002)
                    assert Stall.until - time.monotonic() > 0.3
                    trigger.send(b"now")  # The hedge is due 0.2 s before the stall ends.
                    while served.gateway.forwarder.hedging.candidates:
                        await asyncio.sleep(0.002)
                    await asyncio.sleep(0.1)
                    assert commands.count(name) == 1 + stays
                    client.close()
                    await wait_until(lambda: not served.clients.connections)
        stall_server.close()

    run_async(body())


def test_a_queued_attempt_is_not_sent_after_another_attempt_has_answered() -> None:
    """No attempt is sent after the final answer, even if the settings do not allow attempts to be cancelled."""

    def start_two_attempts(event: Event) -> list[Action]:
        if not isinstance(event, RequestReceived):
            return []
        both = len(stub.of(RequestReceived)) > 1
        return [StartAttempt(event.request_id, "s1"), *([StartAttempt(event.request_id, "s2")] if both else [])]

    stub = StubGateway(start_two_attempts)

    async def body() -> None:
        settings = SETTINGS | {"limits": SETTINGS["limits"] | {"second-copies": True, "cancel": False}}
        async with (
            fake_endpoint() as one,
            fake_endpoint() as two,
            running_ingress(
                config(endpoint_entry(one.address), endpoint_entry(two.address, "s2"), settings=settings)
            ) as (served, address),
        ):
            served.runner.gateway = stub  # type: ignore[assignment]
            client = await RespClient.connect(address)
            await client.request(command("warm"))
            gate = gate_connects(served)
            assert await client.request(command("both")) == b"both"
            assert gate.waiting == 1
            gate.open.set()
            await wait_until(lambda: not served.pool.connecting and not served.requests.attempts_in_flight)
            assert [words[2] for words in one.commands] == [b"warm", b"both"] and not two.commands
            ended = stub.of(AttemptEnded)
            assert [(e.attempt, e.outcome, e.request_finished) for e in ended[1:]] == [
                (1, Outcome.NOT_SENT, True),
                (0, Outcome.OK, True),
            ]

    run_async(body())


def test_a_command_that_the_kernel_has_accepted_only_in_part_never_arrives_completely() -> None:
    """The client disconnects while part of its command waits for the send buffer of the endpoint's connection."""
    command_size = len(command("large", cls="order", body=bytes(60_000)))
    received = bytearray()
    ended = asyncio.Event()
    ready = asyncio.Event()

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        assert (await read_command(reader))[2] == b"warm"
        writer.write(endpoint_answer(b""))
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await ready.wait()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        while data := await reader.read(1 << 16):
            received.extend(data)
        ended.set()

    async def body() -> None:
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            peer.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await warm(served, address)
            [connection] = served.pool.endpoints["s1"].idle_connections
            connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await asyncio.sleep(0.03)  # The connection has been idle for long enough to be reused.
            client = socket.create_connection(address)
            client.sendall(command("large", cls="order", body=bytes(60_000)))
            await wait_until(lambda: connection.attempt is not None)
            assert connection.attempt is not None and connection.attempt.is_unsent()
            client.close()
            await wait_until(lambda: not served.requests.in_flight)
            ready.set()
            await ended.wait()
            assert len(received) < command_size - 1000

    run_async(body())


def test_an_attempt_that_waited_past_its_start_deadline_is_not_sent() -> None:
    def plan(event: Event) -> list[Action]:
        match event:
            case RequestReceived(request_id=key):
                return [StartAttempt(key, "s1", start_within=0.05)]
            case AttemptEnded(request_id=key, outcome=Outcome.NOT_SENT):
                return [FailRequest(key)]
        return []

    stub = StubGateway(plan)

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.runner.gateway = stub  # type: ignore[assignment]
            gate = gate_connects(served)
            client = await RespClient.connect(address)
            client.writer.write(command("late", cls="order"))
            await wait_until(lambda: gate.waiting)
            await asyncio.sleep(0.06)
            gate.open.set()
            assert "failed" in str(await client.read_answer())
            assert not peer.commands

    run_async(body())


def test_a_connected_client_with_unread_bytes_is_served() -> None:
    """The check for a disconnect must not mistake pipelined requests or unread bytes for one."""

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            served.runner.gateway = StubGateway(start_attempts)  # type: ignore[assignment]
            client = await RespClient.connect(address)
            client.writer.write(b"".join(command(f"r{n}") for n in range(3 * client_connection.MAX_PIPELINED)))
            for n in range(3 * client_connection.MAX_PIPELINED):
                assert await client.read_answer() == b"r%d" % n

    run_async(body())


def test_a_close_by_the_peer_is_detected_behind_unread_bytes() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    for disconnect, unread in ((close, b""), (close, b"x"), (reset, b""), (reset, b"x")):
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        assert peek_byte(server) == b"" and not is_closed_by_peer(server)
        client.sendall(unread)
        if unread:
            server.recv(1, socket.MSG_PEEK)
            assert peek_byte(server) == b"x" and not is_closed_by_peer(server)
        disconnect(client)
        assert is_closed_by_peer(server)
        server.close()
    listener.close()
