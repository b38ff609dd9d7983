"""Many peers that load a process: they write slowly, stop half way, send very many fields, or read slowly."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import os
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop
from msgspec import Struct

from tests.peers import (
    SETTINGS,
    STARTED_PROCESSES,
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    endpoint_answer,
    endpoint_entry,
    read_command,
    resp,
)
from tests.test_net_restart import ROOT
from tests.test_net_signals import Program

PEER_COUNT = 300
PEER_ADDRESSES = 60
LOAD_TIME_S = 4.0
SERVER_COUNT = 6
SERVER_DELAY_S = 0.03
LARGE_VALUE_BYTES = 60_000
LARGE_VALUE_PREFIX = b"large"  # of the ids of requests that are answered with a large value

SOUND_REQUESTS_PER_S = 20
SOUND_TIMEOUT_MS = 2000
ANSWER_SLACK_S = 0.05  # that the protocol page adds to every time limit
LOST_AFTER_S = 0.5  # beyond the time of a request, an answer counts as none

SLOW_WRITE_BYTES = 3_000
SLOW_WRITE_INTERVAL_S = 0.1
SLOW_READ_BYTES = 2_000
SLOW_READ_INTERVAL_S = 0.1
SMALL_RECEIVE_BUFFER_BYTES = 4096
PIPELINED_REQUESTS = 16
FIELD_COUNT = 8_000
REQUESTS_WITH_MANY_FIELDS = 4
UNSOUND_BYTES = 5 << 20
PIPELINED_IN_A_FLOOD = 2000
BYTES_PER_KB = 1024
BYTES_PER_MB = 1 << 20

# Quotas that no client reaches, and a class that may not be repeated.
LOAD_SETTINGS: dict[str, Any] = copy.deepcopy(SETTINGS) | {
    "contracts": [{"name": "basic", "refill": 1e6, "burst": 1e6}]
}
LOAD_SETTINGS["categories"].append(
    {"name": "pay", "aim-s": 1.0, "give-up-s": 2.0, "importance": 1.0, "semantics": "unsafe"}
)

PeerLoad = Callable[[socket.socket, int], Awaitable[None]]


async def send(sock: socket.socket, data: bytes) -> None:
    """Send all of the data at full speed."""
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def receive_until_closed(sock: socket.socket) -> None:
    """Read and drop what the process sends until it closes the connection."""
    while await asyncio.get_running_loop().sock_recv(sock, 1 << 16):
        pass


def large_write(number: int) -> bytes:
    """Return a write with a body of LARGE_VALUE_BYTES."""
    return command(f"write{number}", "order", customer=number, body=bytes(LARGE_VALUE_BYTES))


def many_fields(number: int) -> bytes:
    """Return a read with FIELD_COUNT short fields that no one needs."""
    extra = "".join(f",x{field}=1" for field in range(FIELD_COUNT))
    return command(f"fields{number}", customer=number, extra=extra)


async def stop_within_a_write(sock: socket.socket, number: int) -> None:
    """Send the first 50 KB of a write of 60 KB, and nothing more."""
    await send(sock, large_write(number)[:50_000])
    await receive_until_closed(sock)


async def write_slowly(sock: socket.socket, number: int) -> None:
    """Send sound writes, a few bytes at a time."""
    while True:
        data = large_write(number)
        for offset in range(0, len(data), SLOW_WRITE_BYTES):
            await send(sock, data[offset : offset + SLOW_WRITE_BYTES])
            await asyncio.sleep(SLOW_WRITE_INTERVAL_S)


async def read_slowly(sock: socket.socket, number: int) -> None:
    """Ask for large values, and read a few bytes of them at a time."""
    prefix = LARGE_VALUE_PREFIX.decode()
    requests = [command(f"{prefix}{number}-{n}", customer=number) for n in range(PIPELINED_REQUESTS)]
    await send(sock, b"".join(requests))
    while await asyncio.get_running_loop().sock_recv(sock, SLOW_READ_BYTES):
        await asyncio.sleep(SLOW_READ_INTERVAL_S)


async def send_many_fields(sock: socket.socket, number: int) -> None:
    """Send whole requests with thousands of short fields."""
    await send(sock, many_fields(number) * REQUESTS_WITH_MANY_FIELDS)
    await receive_until_closed(sock)


async def stop_within_many_fields(sock: socket.socket, number: int) -> None:
    """Send most of a request with thousands of short fields, and nothing more."""
    await send(sock, many_fields(number)[:-1000])
    await receive_until_closed(sock)


async def send_unsound_lines(sock: socket.socket, number: int) -> None:
    """Send a line without an end or a length that can't be, at full speed."""
    await send(sock, (b"*" if number % 2 else b"*4\r\n$99999999999\r\n") + b"1" * UNSOUND_BYTES)
    await receive_until_closed(sock)


async def send_new_customers(sock: socket.socket, number: int) -> None:
    """Send requests under ever new customers."""
    customer = number << 24
    while True:
        await send(sock, b"".join(command(f"new{customer + n}", customer=customer + n) for n in range(50)))
        await asyncio.get_running_loop().sock_recv(sock, 1 << 16)
        customer += 50


async def stay_idle(sock: socket.socket, _number: int) -> None:
    """Send nothing."""
    await receive_until_closed(sock)


LOADS: tuple[PeerLoad, ...] = (
    stop_within_a_write,
    write_slowly,
    read_slowly,
    send_many_fields,
    stop_within_many_fields,
    send_unsound_lines,
    stay_idle,
)


async def all_kinds(sock: socket.socket, number: int) -> None:
    """Let each peer do one of the things above, in turn."""
    await LOADS[number % len(LOADS)](sock, number)


async def connect_from(address: Address, source: str) -> socket.socket:
    """Connect from a source address, with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
    sock.bind((source, 0))
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


async def flood(sock: socket.socket, data: bytes, reads_answers: bool = True) -> None:
    """Send the data again and again at full speed."""
    reading = asyncio.create_task(receive_until_closed(sock)) if reads_answers else None
    try:
        while reading is None or not reading.done():
            await send(sock, data)
    finally:
        if reading is not None:
            reading.cancel()


async def flood_pings(sock: socket.socket, _number: int) -> None:
    """Send PING at full speed, and read the answers."""
    await flood(sock, resp(b"PING") * PIPELINED_IN_A_FLOOD)


async def flood_pings_and_read_nothing(sock: socket.socket, _number: int) -> None:
    """Send PING at full speed, and never read an answer."""
    await flood(sock, resp(b"PING") * PIPELINED_IN_A_FLOOD, reads_answers=False)


async def flood_unknown_verbs(sock: socket.socket, _number: int) -> None:
    """Send commands that do not exist at full speed."""
    await flood(sock, resp(b"NONSENSE", b"x") * PIPELINED_IN_A_FLOOD)


async def flood_unknown_plans(sock: socket.socket, _number: int) -> None:
    """Send requests of a plan that does not exist at full speed."""
    await flood(sock, command().replace(b"t=basic", b"t=other") * PIPELINED_IN_A_FLOOD)


async def flood_empty_commands(sock: socket.socket, _number: int) -> None:
    """Send commands without a word at full speed."""
    await flood(sock, b"*0\r\n" * PIPELINED_IN_A_FLOOD)


FLOODS: tuple[PeerLoad, ...] = (
    flood_pings,
    flood_pings_and_read_nothing,
    flood_unknown_verbs,
    flood_unknown_plans,
    flood_empty_commands,
)
KINDS = {kind.__name__: kind for kind in (*LOADS, *FLOODS, all_kinds, send_new_customers)}


async def load(address: Address, kind: PeerLoad, count: int = PEER_COUNT, duration: float = LOAD_TIME_S) -> None:
    """Let `count` peers do the same for `duration` seconds, in a process of their own, and wait for its end.

    Its own, so that the clients of the test do not wait for the peers.
    """
    arguments = (kind.__name__, address[0], str(address[1]), str(count), str(duration))
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", "tests.peer_load", *arguments, cwd=ROOT)
    STARTED_PROCESSES.append(process)
    assert await process.wait() == 0


async def connect_and_press(address: Address, kind: PeerLoad, count: int, duration: float) -> None:
    """Let `count` peers connect at once and do the same for `duration` seconds; one that is closed comes again."""
    ends_at = time.monotonic() + duration

    async def one(number: int) -> None:
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(ends_at - time.monotonic()):
                    sock = await connect_from(address, f"127.0.1.{1 + number % PEER_ADDRESSES}")
                    with contextlib.closing(sock):
                        await kind(sock, number)
            await asyncio.sleep(SLOW_READ_INTERVAL_S)

    await asyncio.gather(*(one(number) for number in range(count)))


def schedule_server(delay: float = SERVER_DELAY_S) -> Peer:
    """Return an endpoint that answers after `delay` seconds, some requests with a large value."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            peer.commands.append(words[:3])
            await asyncio.sleep(delay)
            size = LARGE_VALUE_BYTES if words[2].startswith(LARGE_VALUE_PREFIX) else 0
            writer.write(endpoint_answer(words[2].ljust(size, b".")))

    peer = Peer(script)
    return peer


def entries(peer: Peer) -> list[dict[str, Any]]:
    """Return the entries of SERVER_COUNT endpoints that are all the same peer."""
    return [endpoint_entry(peer.address, f"s{number}") for number in range(SERVER_COUNT)]


class SoundAnswers(Struct):
    """What a sound client got.

    Attributes:
        served: The number of requests that were served.
        refused: The number of requests that got an error.
        lost: The number of requests without an answer, or with one that came too late.
        longest_s: The longest time of an answer in seconds.
    """

    served: int = 0
    refused: int = 0
    lost: int = 0
    longest_s: float = 0.0


async def send_sound_requests(address: Address, duration: float) -> SoundAnswers:
    """Send one request after another for `duration` seconds, each on time, and count the answers."""
    answers = SoundAnswers()
    ends_at = time.monotonic() + duration
    client: RespClient | None = None
    while time.monotonic() < ends_at:
        sent_at = time.monotonic()
        request = command(f"sound{sent_at}", d=SOUND_TIMEOUT_MS, customer=1)
        try:
            async with asyncio.timeout(SOUND_TIMEOUT_MS / 1000 + LOST_AFTER_S):
                answer = None
                if client is not None:
                    # A close between two requests may cross the next one, which is then sent again.
                    with contextlib.suppress(EOFError, OSError):
                        answer = await client.request(request)
                if answer is None:
                    client = await RespClient.connect(address)
                    answer = await client.request(request)
                is_served = isinstance(answer, bytes)
            answers.served += is_served
            answers.refused += not is_served
        except (EOFError, OSError, TimeoutError):
            answers.lost += 1
            client = None
        answers.longest_s = max(answers.longest_s, time.monotonic() - sent_at)
        await asyncio.sleep(max(0.0, 1 / SOUND_REQUESTS_PER_S - (time.monotonic() - sent_at)))
    return answers


def status_bytes(pid: int, name: str) -> int:
    """Return a size from the status of a process, such as VmHWM, the peak of its resident memory."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(text.partition(name + ":")[2].split()[0]) * BYTES_PER_KB


def folder_bytes(folder: Path) -> int:
    """Return the size of the files in a folder, which count as memory."""
    return sum(os.stat(path, follow_symlinks=False).st_size for path in folder.rglob("*") if path.is_file())


def peak_memory(*programs: Program) -> int:
    """Return the sum of the peaks of the resident memory of the processes."""
    return sum(status_bytes(program.process.pid, "VmHWM") for program in programs)


def main(kind: str, host: str, port: str, count: str, duration: str) -> None:
    """Load a process, as `load` has asked for."""
    uvloop.run(connect_and_press((host, int(port)), KINDS[kind], int(count), float(duration)))


if __name__ == "__main__":
    main(*sys.argv[1:])
