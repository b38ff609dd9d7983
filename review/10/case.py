"""Case 10: a long value that breaks takes the answers of the requests before it along."""

from __future__ import annotations

import asyncio
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
    write_request,
)

WRITES = "schedule-write"
LONG_BYTES = 200_000
PIECE_BYTES = 20_000
BYTES_BEFORE_RESET = 100_000
PIECE_PAUSE_S = 0.02
WORK_S = 0.03
SLOW_WORK_S = 0.4
ROUNDS = 3
PATIENCE_S = 2.5 + 0.5 + 0.05


class Servers:
    """What the schedule servers do."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.ran: dict[str, int] = {}

    async def reply(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Run one request and answer it; with the disruption, the connection of a long answer is reset within it."""
        name = words[2].decode()
        self.ran[name] = self.ran.get(name, 0) + 1
        if name.startswith("long"):
            await self._reply_long(name, writer)
        else:
            await asyncio.sleep(SLOW_WORK_S if name.startswith("first-write") else WORK_S)
            writer.write(answer_of(b"done " + words[2]))
        self.record.note(f"server: ran and answered {name}")

    async def _reply_long(self, name: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        encoded = answer_of(b"L" * LONG_BYTES)
        for start in range(0, len(encoded), PIECE_BYTES):
            if TROUBLE and start >= BYTES_BEFORE_RESET:
                self.record.note(f"server: the connection is reset after {start} bytes of the answer to {name}")
                writer.transport.abort()
                raise ConnectionResetError
            writer.write(encoded[start : start + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)


async def one_round(record: Record, port: int, number: int, servers: Servers) -> list[str]:
    """Send a write, a read with a long value and a write, one behind another; return the requests that are lost."""
    client = await Client.connect(port)
    names = [f"first-write-{number}", f"long-{number}", f"last-write-{number}"]
    client.send(write_request(10 + number, names[0], WRITES))
    client.send(read_request(20 + number, names[1]) + write_request(30 + number, names[2], WRITES))
    record.note(f"client: sent {', '.join(names)} on one connection")
    lost = []
    for name in names:
        try:
            async with asyncio.timeout(PATIENCE_S):
                answer = await client.answer()
            record.note(f"client: {name} is answered with {answer[:30]!r}, {len(answer)} bytes")
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
            text = f"{name} has no answer: {type(error).__name__}; it ran {servers.ran.get(name, 0)} times"
            record.note(f"client: {text}")
            if not name.startswith("long"):
                lost.append(text)
    client.close()
    return lost


async def case(record: Record, platform: Platform) -> list[str]:
    """Play the rounds."""
    servers = Servers(record)
    discovery = Discovery(record)
    await discovery.open()
    for number in range(4):
        server = ScheduleServer(f"s-{number}", record, servers.reply)
        await server.open()
        await discovery.put(server.entry())
    settings = base_settings()
    settings["categories"].append(settings["categories"][0] | {"name": WRITES, "semantics": "unsafe"})
    limits = {"cores": 1.0, "memory_mb": 128, "sockets": 512}
    ingress = Ingress(platform, platform.make_config(discovery, settings, limits), "ingress")
    await ingress.wait_until_ready()
    warm = await Client.connect(ingress.port)
    for number in range(40):
        warm.send(read_request(500 + number, f"warm-{number}"))
        await warm.answer()
    lost = []
    for number in range(ROUNDS):
        lost += await one_round(record, ingress.port, number, servers)
    return lost


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
