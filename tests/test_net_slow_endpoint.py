"""Endpoints that read a request slowly or write an answer slowly: the final answer comes in time, and whole."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.peer_load import ANSWER_SLACK_S, LOAD_SETTINGS, SoundAnswers, entries, schedule_server, send_sound_requests
from tests.peers import (
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    endpoint_answer,
    endpoint_entry,
    read_command,
    run_async,
)
from tests.test_net_signals import Program, check_no_traceback, launched

DEADLINE_S = 1.0
UPLOAD_BYTES = 3_000_000
READ_INTERVAL_S = 0.1
SMALL_BUFFER_BYTES = 4096
NEVER_S = 8.0  # a client gives up then
WRITE_INTERVAL_S = 0.05
ACTION_DELAY_S = 0.5
SOUND_TIME_S = 3.0
FAST_UPLOADS = 3


@asynccontextmanager
async def slowly_reading_server(bytes_per_read: int) -> AsyncIterator[Address]:
    """Run an endpoint that reads so many bytes every READ_INTERVAL_S into a small buffer, and never answers."""
    loop = asyncio.get_running_loop()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)

    async def read(sock: socket.socket) -> None:
        with contextlib.suppress(OSError), contextlib.closing(sock):
            while await loop.sock_recv(sock, bytes_per_read):
                await asyncio.sleep(READ_INTERVAL_S)

    async def accept() -> None:
        while True:
            sock, _ = await loop.sock_accept(listener)
            sock.setblocking(False)
            tasks.append(asyncio.create_task(read(sock)))

    tasks = [asyncio.create_task(accept())]
    try:
        yield listener.getsockname()
    finally:
        for task in tasks:
            task.cancel()
        listener.close()


async def upload(program: Program, size: int) -> tuple[object, float]:
    """Send a large write; return the answer and the seconds from its last byte to the answer."""
    client = await RespClient.connect(program.address)
    client.writer.write(command("upload", "order", d=int(DEADLINE_S * 1000), body=bytes(size)))
    transport = client.writer.transport
    while transport.get_write_buffer_size():
        await asyncio.sleep(0.001)
    sent_at = time.monotonic()
    answer: object = None
    with contextlib.suppress(TimeoutError):
        answer = await asyncio.wait_for(client.read_answer(), NEVER_S)
    client.writer.close()
    return answer, time.monotonic() - sent_at


def settings_with_connect_timeout(seconds: float) -> dict[str, Any]:
    settings = copy.deepcopy(LOAD_SETTINGS)
    settings["limits"]["connect-timeout-s"] = seconds
    return settings


@pytest.mark.parametrize(
    ("size", "bytes_per_read", "connect_timeout_s"),
    [(UPLOAD_BYTES, 400, 1.0), (UPLOAD_BYTES, 4_000, 0.25), (UPLOAD_BYTES, 60_000, 0.25)],
)
def test_a_slowly_read_upload_is_answered_after_its_time(
    size: int, bytes_per_read: int, connect_timeout_s: float, tmp_path: Path
) -> None:
    """Guards against a time that begins only when the ingress reads the last byte, which it leaves in the socket."""

    async def body() -> None:
        settings = settings_with_connect_timeout(connect_timeout_s)
        async with (
            slowly_reading_server(bytes_per_read) as address,
            launched(tmp_path, endpoint_entry(address), settings=settings) as program,
        ):
            await program.ready()
            answer, seconds = await upload(program, size)
            assert answer is not None
            assert seconds < DEADLINE_S + ANSWER_SLACK_S, (answer, seconds)
            check_no_traceback(program)

    run_async(body())


def test_other_clients_of_a_slowly_reading_server_are_served(tmp_path: Path) -> None:
    async def body() -> None:
        async with (
            slowly_reading_server(SMALL_BUFFER_BYTES) as address,
            schedule_server() as peer,
            launched(tmp_path, endpoint_entry(address, "slow"), *entries(peer), settings=LOAD_SETTINGS) as program,
        ):
            await program.ready()
            uploads = [asyncio.create_task(upload(program, UPLOAD_BYTES)) for _ in range(FAST_UPLOADS)]
            answers: SoundAnswers = await send_sound_requests(program.address, SOUND_TIME_S)
            assert not answers.lost, answers
            for answer, seconds in await asyncio.gather(*uploads):
                assert answer is not None
                assert seconds < DEADLINE_S + ANSWER_SLACK_S, (answer, seconds)

    run_async(body())


def slowly_writing_server(size: int, duration: float) -> Peer:
    """Return an endpoint that writes a value of `size` bytes over `duration` seconds."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            await read_command(reader)
            data = endpoint_answer(b"v" * size)
            step = max(1, int(len(data) * WRITE_INTERVAL_S / duration))
            for offset in range(0, len(data), step):
                writer.write(data[offset : offset + step])
                await writer.drain()
                await asyncio.sleep(WRITE_INTERVAL_S)

    return Peer(script)


@pytest.mark.parametrize("number", [None, signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize(("size", "duration"), [(60_000, 1.5), (200_000, 4.0), (3_000_000, 4.0)])
def test_a_slowly_written_answer_arrives_whole(
    size: int, duration: float, number: signal.Signals | None, tmp_path: Path
) -> None:
    async def body() -> None:
        async with (
            slowly_writing_server(size, duration) as peer,
            launched(tmp_path, *entries(peer), settings=LOAD_SETTINGS) as program,
        ):
            await program.ready()
            client = await RespClient.connect(program.address)
            client.writer.write(command("value"))
            await asyncio.sleep(ACTION_DELAY_S)
            if number is not None:
                program.process.send_signal(number)
            assert await client.read_answer() == b"v" * size
            check_no_traceback(program)

    run_async(body())
