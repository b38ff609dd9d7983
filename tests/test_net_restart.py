"""The program as a process: it starts, serves, and on SIGTERM ends after it has answered every request."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from ingress import graceful_shutdown
from tests.peers import (
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config_text,
    endpoint_answer,
    endpoint_entry,
    fake_endpoint,
    free_port,
    read_command,
    resp,
    run_async,
    wait_until,
)

ROOT = Path(__file__).resolve().parent.parent


async def start_program(path: Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ingress",
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(path), "TMPDIR": str(path.parent)},
    )


async def ready(control: Address) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*control)
    except ConnectionError:
        return False
    writer.write(b"ready\n")
    answer = await reader.read()
    writer.close()
    return answer == b"ok\n"


@asynccontextmanager
async def running_program(peer: Peer, path: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    address = ("127.0.0.1", free_port())
    path = path / "config.json"
    fleet = (endpoint_entry(peer.address, f"s{n}") for n in range(8))
    path.write_text(config_text(*fleet, listen=f"127.0.0.1:{address[1]}"), encoding="utf-8")
    process = await start_program(path)
    try:
        while True:
            try:
                caller = await RespClient.connect(address)
                break
            except ConnectionError:
                await asyncio.sleep(0.01)
        assert await caller.request(resp(b"PING")) == b"PONG"
        caller.writer.close()
        yield process, address
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_a_planned_restart_loses_no_request(tmp_path: Path) -> None:
    ended = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            if words[2] == b"slow":
                await ended.wait()
            writer.write(endpoint_answer(words[2]))

    async def body() -> None:
        async with Peer(script) as peer, running_program(peer, tmp_path) as (process, address):
            slow, idle = await RespClient.connect(address), await RespClient.connect(address)
            slow.writer.write(command("slow"))
            assert await idle.request(command("before")) == b"before"
            process.send_signal(signal.SIGTERM)
            terminated_at = time.monotonic()
            # New and existing connections are served for a while.
            fresh = await RespClient.connect(address)
            assert await fresh.request(command("fresh")) == b"fresh"
            assert await idle.request(command("after")) == b"after"
            with pytest.raises((EOFError, ConnectionError)):
                await idle.read_answer()
            assert time.monotonic() - terminated_at >= 0.4
            with pytest.raises(ConnectionError):
                while True:  # the listening socket closes a moment later
                    (await RespClient.connect(address)).writer.close()
                    await asyncio.sleep(0.01)
            ended.set()
            assert await slow.read_answer() == b"slow"
            with pytest.raises((EOFError, ConnectionError)):
                await slow.read_answer()
            assert await process.wait() == 0

    run_async(body())


def test_an_upgrade_loses_no_request(tmp_path: Path) -> None:
    """Clients send requests without a pause, over new connections and over a persistent one."""

    async def body() -> None:
        async with fake_endpoint() as peer, running_program(peer, tmp_path) as (first, address):
            over = asyncio.Event()
            answers: list[bytes] = []

            async def use_new_connections() -> None:
                while not over.is_set():
                    caller = await RespClient.connect(address)
                    answers.append(await caller.request(command("anew", customer=1)))
                    caller.writer.close()
                    await asyncio.sleep(0.02)  # within the quota

            async def use_one_connection() -> None:
                caller = await RespClient.connect(address)
                while not over.is_set():
                    try:
                        answers.append(await caller.request(command("kept", customer=2)))
                    except (EOFError, ConnectionError):  # the connection was closed between two requests
                        caller = await RespClient.connect(address)
                    await asyncio.sleep(0.02)

            clients = [asyncio.create_task(use_new_connections()), asyncio.create_task(use_one_connection())]
            control = ("127.0.0.1", free_port())
            source = json.loads((tmp_path / "config.json").read_text(encoding="utf-8"))
            (tmp_path / "second.json").write_text(
                json.dumps(source | {"control": f"127.0.0.1:{control[1]}"}), encoding="utf-8"
            )
            second = await start_program(tmp_path / "second.json")
            try:
                while not await ready(control):
                    await asyncio.sleep(0.01)
                first.send_signal(signal.SIGTERM)
                assert await first.wait() == 0
                before = len(answers)
                await wait_until(lambda: len(answers) > before + 4)
                over.set()
                await asyncio.gather(*clients)
                assert set(answers) == {b"anew", b"kept"}
            finally:
                second.kill()
                await second.wait()

    run_async(body())


def test_a_reload_uses_the_new_discovery_address_and_survives_an_invalid_file(tmp_path: Path) -> None:
    async def body() -> None:
        requests: list[bytes] = []

        async def agent(_: int, reader: Reader, writer: Writer) -> None:
            requests.append(await reader.readline())
            await reader.read()

        async with fake_endpoint() as peer, Peer(agent) as moved, running_program(peer, tmp_path) as (process, address):
            path = tmp_path / "config.json"
            valid_text = path.read_text(encoding="utf-8")
            path.write_text("{", encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            caller = await RespClient.connect(address)
            assert await caller.request(command()) == b"00000000000000aa"
            host, port = moved.address
            path.write_text(valid_text.replace('127.0.0.1:1"', f'{host}:{port}"'), encoding="utf-8")
            while not requests:
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
            assert requests[0].startswith(b"GET /api/targets HTTP")
            assert await caller.request(command("00000000000000ab")) == b"00000000000000ab"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run_async(body())


def test_open_requests_are_answered_before_sigkill(tmp_path: Path) -> None:
    async def body() -> None:
        async with fake_endpoint(b"") as peer, running_program(peer, tmp_path) as (process, address):
            caller = await RespClient.connect(address)
            caller.writer.write(command(d=60_000))
            process.send_signal(signal.SIGTERM)
            terminated_at = time.monotonic()
            assert str(await caller.read_answer()) == "ERR failed"
            assert await process.wait() == 0
            max_deadline_s = 2.0  # of the plans in the settings
            assert time.monotonic() - terminated_at < max_deadline_s + graceful_shutdown.SIGKILL_DELAY

    run_async(body())


def test_an_address_in_use_is_reported(tmp_path: Path) -> None:
    async def body() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            path = tmp_path / "config.json"
            path.write_text(config_text(listen=f"127.0.0.1:{server.getsockname()[1]}"), encoding="utf-8")
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ingress",
                cwd=ROOT,
                env=os.environ | {"EDGE_CONFIG": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )
            _, errors = await process.communicate()
            assert process.returncode == 1 and b"listen" in errors

    run_async(body())
