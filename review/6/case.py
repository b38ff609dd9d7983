"""Case 6: the answer of a second copy is written into a long value that is being passed on."""

from __future__ import annotations

import asyncio
from functools import partial
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

ENSEMBLE_A = 0xA
ENSEMBLE_B = 0xB
LONG_BYTES = 100_000
SHORT_BYTES = 50_000
PIECES = 20
USUAL_WORK_S = 0.03
SLOW_WORK_S = 0.4  # the slow schedule server begins to answer after this time
SECOND_WORK_S = 0.2  # the second copy is sent 0.3 s after the first one, so it is answered 0.5 s after it
PIECE_PAUSE_S = 0.05  # a long value is written in pieces
OVERWRITTEN_AFTER_S = 0.1  # another request overwrites the schedule of A so long after the first was sent
FOLLOWERS = 3


class Store:
    """The schedules that all schedule servers read and write: that of A is overwritten by a shorter one."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.copies = 0
        self.long_value = b"A" * LONG_BYTES
        self.short_value = b"a" * SHORT_BYTES
        self.schedule_of_a = self.long_value

    async def reply(self, server: str, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Run one request and answer it."""
        name = words[2].decode()
        self.record.note(f"server {server}: runs {name}")
        if name == "first-of-A":
            await self._read_a(server, writer)
        else:
            if name == "overwrite-of-A":
                self.schedule_of_a = self.short_value
            await asyncio.sleep(USUAL_WORK_S)
            writer.write(answer_of(b"B" * SHORT_BYTES if name.startswith("follower") else b"done"))
        self.record.note(f"server {server}: has answered {name}")

    async def _read_a(self, server: str, writer: asyncio.StreamWriter) -> None:
        self.copies += 1
        is_second = self.copies > 1
        encoded = answer_of(self.schedule_of_a)
        first_work = SLOW_WORK_S if TROUBLE else USUAL_WORK_S
        await asyncio.sleep(SECOND_WORK_S if is_second else first_work)
        self.record.note(f"server {server}: begins an answer of {len(encoded)} bytes to first-of-A")
        step = len(encoded) if is_second else -(-len(encoded) // PIECES)
        for start in range(0, len(encoded), step):
            writer.write(encoded[start : start + step])
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)


async def start(record: Record, platform: Platform, store: Store) -> Ingress:
    """Start four schedule servers, discovery and one ingress."""
    discovery = Discovery(record)
    await discovery.open()
    for number in range(4):
        name = f"s-{number}"
        server = ScheduleServer(name, record, partial(store.reply, name))
        await server.open()
        await discovery.put(server.entry())
    settings = base_settings()
    settings["limits"]["cancel"] = False
    config = platform.make_config(discovery, settings, {"cores": 1.0, "memory_mb": 128, "sockets": 512})
    ingress = Ingress(platform, config, "ingress")
    await ingress.wait_until_ready()
    return ingress


async def warm_up(port: int) -> None:
    """Send sixty quick requests of many ensembles."""
    client = await Client.connect(port)
    for number in range(60):
        client.send(read_request(1000 + number, f"warm-{number}"))
        await client.answer()
    client.close()


async def case(record: Record, platform: Platform) -> list[str]:
    """Read A's schedule and, behind it on the same connection, B's; judge the bytes that the client gets."""
    store = Store(record)
    ingress = await start(record, platform, store)
    await warm_up(ingress.port)
    client = await Client.connect(ingress.port)
    client.send(read_request(ENSEMBLE_A, "first-of-A"))
    record.note("client: sent first-of-A")
    await asyncio.sleep(OVERWRITTEN_AFTER_S)
    other = await Client.connect(ingress.port)
    other.send(read_request(ENSEMBLE_A, "overwrite-of-A"))
    record.note(f"another client: overwrite-of-A is answered with {(await other.answer())!r}")
    for number in range(FOLLOWERS):
        client.send(read_request(ENSEMBLE_B, f"follower-{number}"))
    record.note(f"client: sent {FOLLOWERS} requests of B behind it")
    breaks = []
    try:
        async with asyncio.timeout(6.0):
            value = (await client.answer())[1:]
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
        record.note(f"client: {type(error).__name__} within the answer to first-of-A")
        return ["the answer to first-of-A is not whole, though the schedule server gave all of it"]
    record.note(f"client: first-of-A is answered with {len(value)} bytes, copies run: {store.copies}")
    if value not in (store.long_value, store.short_value):
        others = len(value) - value.count(b"A")
        text = f"the value for A is none that a schedule server gave: {others} of {len(value)} bytes are other bytes,"
        breaks.append(f"{text} {value.count(b'B')} of them from B's schedule")
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
