"""Case 9: peers that stop in the middle of a command keep new connections of sound clients unread."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from stand_ins import (
    TROUBLE,
    Client,
    Discovery,
    Ingress,
    Platform,
    Record,
    ScheduleServer,
    answer_of,
    base_settings,
    read_request,
    run_case,
)

SOCKETS = 256
PEERS = 160
PEER_ADDRESSES = 6
PEER_INTERVAL_S = 0.003
CLIENTS = 10
TIMEOUT_MS = 1500
LATEST_S = TIMEOUT_MS / 1000 + 0.5 + 0.05  # half a second after its time, with the slack on sockets
WORK_S = 0.05
GIVE_UP_S = 6.0


async def reply(_words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer as a schedule server."""
    await asyncio.sleep(WORK_S)
    writer.write(answer_of(b"schedule"))


async def peer(port: int, number: int, record: Record) -> None:
    """Send the first half of a request and stay; the peer closes only 2 s after the ingress has."""
    client = await Client.connect(port, f"127.0.0.{2 + number % PEER_ADDRESSES}")
    started = record.now()
    client.send(read_request(number, f"peer-{number}")[:40])
    with contextlib.suppress(ConnectionError):
        line = await client.reader.read(100)
        record.note(f"peer {number}: got {line!r} after {record.now() - started:.2f} s")
        await client.reader.read(100)
    await asyncio.sleep(2.0)
    client.close()


async def request(port: int, number: int, record: Record) -> str:
    """Send one request on a new connection; return how the rule was broken, or nothing."""
    client = await Client.connect(port)
    client.send(read_request(1000 + number, f"r-{number}", TIMEOUT_MS))
    await client.writer.drain()
    started = record.now()
    record.note(f"client {number}: connected and sent r-{number}, d={TIMEOUT_MS}")
    answer = None
    with contextlib.suppress(TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        async with asyncio.timeout(GIVE_UP_S):
            answer = await client.answer()
    waited = record.now() - started
    if answer is None and waited < GIVE_UP_S:
        record.note(f"client {number}: the connection was shut after {waited:.2f} s")
        return "" if waited <= LATEST_S else f"r-{number}: shut {waited:.2f} s after it was sent, without an answer"
    record.note(f"client {number}: r-{number} is answered with {answer!r} after {waited:.2f} s")
    client.close()
    return "" if waited <= LATEST_S else f"r-{number}: {answer!r} came {waited:.2f} s after it was sent"


async def case(record: Record, platform: Platform) -> list[str]:
    """Let the peers come, then send ten requests on new connections."""
    discovery = Discovery(record)
    await discovery.open()
    for number in range(4):
        server = ScheduleServer(f"s-{number}", record, reply)
        await server.open()
        await discovery.put(server.entry())
    limits = {"cores": 1.0, "memory_mb": 128, "sockets": SOCKETS}
    ingress = Ingress(platform, platform.make_config(discovery, base_settings(), limits), "ingress")
    await ingress.wait_until_ready()
    warm = await Client.connect(ingress.port)
    for number in range(40):
        warm.send(read_request(500 + number, f"warm-{number}"))
        await warm.answer()
    peers = []
    if TROUBLE:
        record.note(f"{PEERS} peers connect from {PEER_ADDRESSES} addresses, each sends half a command and stays")
    for number in range(PEERS):
        if TROUBLE:
            peers.append(asyncio.create_task(peer(ingress.port, number, record)))
        await asyncio.sleep(PEER_INTERVAL_S)
    await asyncio.sleep(0.2)
    breaks = await asyncio.gather(*(request(ingress.port, number, record) for number in range(CLIENTS)))
    for task in peers:
        task.cancel()
    return [text for text in breaks if text]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
