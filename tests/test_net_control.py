"""The admin server: commands, silent clients, and draining by command."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress.admin import admin_server
from ingress.ingress import Ingress
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
from tests.test_net_ingress import running_ingress

ADMIN_LISTEN = "127.0.0.1:0"


def admin_address(served: Ingress) -> Address:
    """Return the address of the admin server."""
    assert served.admin_server is not None
    address: Address = served.admin_server.listening_socket.getsockname()
    return address


async def admin_call(served: Ingress, line: bytes) -> str:
    """Send one line to the admin server and return its answer."""
    reader, writer = await asyncio.open_connection(*admin_address(served))
    writer.write(line + b"\n")
    answer = await reader.read()
    writer.close()
    return answer.decode()


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"ready", "ok"),
        (b"ready\r", "ok"),
        (b"explode", "fail unknown call"),
        (b"", "fail unknown call"),
        (b"\xff\xfe", "fail unknown call"),
        (b"x" * 1000, "fail unknown call"),
    ],
)
def test_each_command_gets_one_line_and_the_connection_is_closed(line: bytes, answer: str) -> None:
    async def body() -> None:
        async with running_ingress(config(control=ADMIN_LISTEN)) as (served, _):
            assert await admin_call(served, line) == answer + "\n"

    run_async(body())


def test_an_answer_is_not_lost_when_its_client_sends_more_after_the_command() -> None:
    """The input arrives as the connection is closed; closing over unread input would reset the connection."""

    async def body() -> None:
        async with running_ingress(config(control=ADMIN_LISTEN)) as (served, _):
            loop = asyncio.get_running_loop()
            sock = socket.create_connection(admin_address(served))
            sock.setblocking(False)
            sock.send(b"show-stat\n")
            assert served.admin_server is not None
            await wait_until(lambda: any(client.has_command for client in served.admin_server.connections))  # type: ignore[union-attr]
            sock.send(b"x" * 1000)
            answer = b""
            while data := await loop.sock_recv(sock, 100):
                answer += data
            assert answer.endswith(b"eof\n")
            sock.close()
            await wait_until(lambda: not served.admin_server.connections)  # type: ignore[union-attr]

    run_async(body())


def test_without_an_admin_address_there_is_no_admin_server() -> None:
    async def body() -> None:
        async with running_ingress(config()) as (served, _):
            assert served.admin_server is None

    run_async(body())


def test_the_environment_can_set_the_admin_address(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("EDGE_CONTROL", "127.0.0.1:7001")
    assert config().admin == ("127.0.0.1", 7001)
    assert config(control="127.0.0.1:7002").admin == ("127.0.0.1", 7002)


def test_silent_clients_and_incomplete_commands_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_server, "MAX_CONNECTIONS", 4)

    async def body() -> None:
        async with running_ingress(config(control=ADMIN_LISTEN)) as (served, _):
            silent = [await asyncio.open_connection(*admin_address(served)) for _ in range(4)]
            silent[0][1].write(b"rea")
            silent[3][1].write(b"rea")
            assert await admin_call(served, b"ready") == "ok\n"
            assert await silent[0][0].read() == b""  # The oldest connection is closed for the new one.
            silent[3][1].write(b"dy\n")
            assert await silent[3][0].read() == b"ok\n"

    run_async(body())


def test_a_client_that_stays_silent_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_server, "COMMAND_TIMEOUT", 0.0)
    monkeypatch.setattr(admin_server, "SWEEP_INTERVAL", 0.01)

    async def body() -> None:
        async with running_ingress(config(control=ADMIN_LISTEN)) as (served, _):
            reader, _writer = await asyncio.open_connection(*admin_address(served))
            assert await reader.read() == b""

    run_async(body())


def test_the_drain_command_disconnects_clients_and_resume_cancels_the_drain() -> None:
    ended = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            if words[2] == b"slow":
                await ended.wait()
            writer.write(endpoint_answer(words[2]))

    async def body() -> None:
        async with (
            Peer(script) as peer,
            running_ingress(
                config(endpoint_entry(peer.address), endpoint_entry(peer.address, "s2"), control=ADMIN_LISTEN)
            ) as (served, address),
        ):
            slow = await RespClient.connect(address)
            idle = await RespClient.connect(address)
            slow.writer.write(command("slow"))
            assert await idle.request(command("before")) == b"before"
            assert await admin_call(served, b"drain") == "ok\n"
            assert str(await idle.request(resp(b"PING"))) == "ERR draining"
            assert await idle.request(command("after")) == b"after"  # Open connections are served during a drain.
            with pytest.raises(EOFError):
                await idle.read_answer()
            late = await RespClient.connect(address)  # The listener stays open.
            assert await late.request(command("late")) == b"late"
            with pytest.raises(EOFError):
                await late.read_answer()
            ended.set()
            assert await slow.read_answer() == b"slow"
            with pytest.raises(EOFError):
                await slow.read_answer()
            await wait_until(lambda: not served.clients.connections)
            assert await admin_call(served, b"resume") == "ok\n"
            new_client = await RespClient.connect(address)
            assert await new_client.request(resp(b"PING")) == b"PONG"
            assert await new_client.request(command("fresh")) == b"fresh"
            assert await new_client.request(resp(b"PING")) == b"PONG"  # The connection stays open.

    run_async(body())


def test_a_command_sent_after_a_request_in_flight_is_not_read_during_a_drain() -> None:
    answer = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        peer.commands.append(await read_command(reader))
        await answer.wait()
        writer.write(endpoint_answer(b"one"))
        await reader.read()

    async def body() -> None:
        async with (
            peer,
            running_ingress(config(endpoint_entry(peer.address), control=ADMIN_LISTEN)) as (served, address),
        ):
            client = await RespClient.connect(address)
            client.writer.write(command("one"))
            await wait_until(lambda: peer.commands)
            await admin_call(served, b"drain")
            await served.shutdown.clients_may_close.wait()
            client.writer.write(command("two"))
            answer.set()
            assert await client.read_answer() == b"one"
            with pytest.raises(EOFError):
                await client.read_answer()
            assert served.requests.received_count == 1

    peer = Peer(script)
    run_async(body())


def test_a_partly_received_command_may_be_completed_during_a_drain_within_its_timeout() -> None:
    async def body() -> None:
        async with (
            fake_endpoint() as peer,
            running_ingress(config(endpoint_entry(peer.address), control=ADMIN_LISTEN)) as (served, address),
        ):
            first_half = command("half")[:30]
            second_half = command("half")[30:]
            completing = socket.create_connection(address)
            hanging = socket.create_connection(address)
            for sock in (completing, hanging):
                sock.sendall(first_half)
            await wait_until(lambda: sum(c.scanner.in_frame() for c in served.clients.connections) == 2)
            await admin_call(served, b"drain")
            await served.shutdown.clients_may_close.wait()
            completing.sendall(second_half)
            loop = asyncio.get_running_loop()
            for sock in (completing, hanging):
                sock.setblocking(False)
            assert await loop.sock_recv(completing, 100) == b"$4\r\nhalf\r\n"
            assert await loop.sock_recv(completing, 100) == b""
            while await loop.sock_recv(hanging, 100):
                pass  # An error line may precede the close.
            for sock in (completing, hanging):
                sock.close()

    run_async(body())
