"""Case 7: answers that wait behind a request at a hung schedule server take the ingress over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from functools import partial
from pathlib import Path

from stand_ins import (
    TROUBLE,
    Client,
    Discovery,
    Ingress,
    MemoryLimit,
    Platform,
    Record,
    ScheduleServer,
    answer_of,
    base_settings,
    read_request,
    run_case,
)

MEMORY_MB = 64
SOCKETS = 512
SERVERS = 8
HUNG_SERVERS = 4
VALUE = b"v" * 65_536  # a value holds no more than 64 KiB
WORK_S = 0.05
CONNECTIONS = 20
REQUESTS_PER_S = 400
ENSEMBLES = 4000
HANG_AFTER_S = 4.0
SECONDS = 9.0


class Servers:
    """What the schedule servers do: half of them stop answering at one moment."""

    def __init__(self) -> None:
        self.are_hung = False
        self.answer = answer_of(VALUE)

    async def reply(self, number: int, _words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer one request, or hang."""
        await asyncio.sleep(WORK_S)
        if self.are_hung and number < HUNG_SERVERS:
            await asyncio.sleep(2 * SECONDS)
        writer.write(self.answer)


class Traffic:
    """Sound clients: twenty connections, on which requests are written one behind another and all answers are read."""

    def __init__(self, record: Record, clients: list[Client]) -> None:
        self.record = record
        self.clients = clients
        self.sent = 0
        self.answers: Counter[str] = Counter()
        self.readers = [asyncio.create_task(self._read(client)) for client in clients]

    async def _read(self, client: Client) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                answer = await client.answer()
                self.answers["served" if answer.startswith(b"$") else answer.decode()] += 1

    def send(self) -> None:
        """Send a request of the next ensemble on the next connection."""
        customer = 1000 + self.sent % ENSEMBLES
        self.clients[self.sent % CONNECTIONS].send(read_request(customer, f"r-{self.sent}"))
        self.sent += 1

    def note(self) -> None:
        """Record what was sent and answered so far."""
        self.record.note(f"clients: {self.sent} requests sent, answers {dict(self.answers)}")


async def case(record: Record, platform: Platform) -> list[str]:
    """Send 400 requests a second; half of the schedule servers hang after 4 s."""
    servers = Servers()
    discovery = Discovery(record)
    await discovery.open()
    for number in range(SERVERS):
        server = ScheduleServer(f"s-{number}", record, partial(servers.reply, number))
        await server.open()
        await discovery.put(server.entry())
    settings = base_settings()
    settings["limits"]["second-copies"] = False
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    ingress = Ingress(platform, platform.make_config(discovery, settings, limits), "ingress")
    await ingress.wait_until_ready()
    memory = MemoryLimit(ingress, record, MEMORY_MB)
    watch = asyncio.create_task(memory.watch())
    traffic = Traffic(record, [await Client.connect(ingress.port) for _ in range(CONNECTIONS)])
    loop = asyncio.get_running_loop()
    started = loop.time()
    while (elapsed := loop.time() - started) < SECONDS:
        if TROUBLE and elapsed > HANG_AFTER_S and not servers.are_hung:
            servers.are_hung = True
            record.note(f"{HUNG_SERVERS} of {SERVERS} schedule servers hang")
            traffic.note()
        traffic.send()
        await asyncio.sleep(max(0.0, started + traffic.sent / REQUESTS_PER_S - loop.time()))
    traffic.note()
    watch.cancel()
    record.note(f"peak {memory.peak_mb:.1f} MB")
    return memory.breaks()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
