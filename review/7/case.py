"""Case 7: peers that send half a command take the ingress over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
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
    encode_command,
    read_request,
    run_case,
)

MEMORY_MB = 80
SOCKETS = 640
PEERS = 240
PEER_ADDRESSES = 10
PEER_BYTES = 250_000  # all peers together: 60 MB
SECONDS = 6.0
REQUEST_INTERVAL_S = 0.05
WORK_S = 0.05


async def reply(_words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Answer as a schedule server."""
    await asyncio.sleep(WORK_S)
    writer.write(answer_of(b"schedule"))


async def peer(port: int, number: int) -> bytes:
    """Send the beginning of a command, stay, and return what came back."""
    client = await Client.connect(port, f"127.0.0.{2 + number % PEER_ADDRESSES}")
    client.send(encode_command(*[b"x" * 62_000] * 5)[:PEER_BYTES])
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(4.0):
            return await client.reader.read(100)
    return b""


class Traffic:
    """A sound client: sends a request every 50 ms, each on a connection that is not busy."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.idle: list[Client] = []
        self.unanswered = 0
        self.answered = 0

    async def run(self) -> None:
        """Send requests until the time is up."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(SECONDS / REQUEST_INTERVAL_S)):
                group.create_task(self._request(number))
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _request(self, number: int) -> None:
        try:
            async with asyncio.timeout(3.0):
                client = self.idle.pop() if self.idle else await Client.connect(self.port)
                client.send(read_request(1000 + number, f"r-{number}"))
                answer = await client.answer()
        except (OSError, asyncio.IncompleteReadError) as error:
            self.unanswered += 1
            self.record.note(f"client: r-{number} has no answer: {type(error).__name__}")
            return
        self.answered += 1
        self.idle.append(client)
        self.record.note(f"client: r-{number} is answered with {answer[:20]!r}")


async def case(record: Record, platform: Platform) -> list[str]:
    """Send sound traffic, and let the peers come after a second."""
    discovery = Discovery(record)
    await discovery.open()
    for number in range(4):
        server = ScheduleServer(f"s-{number}", record, reply)
        await server.open()
        await discovery.put(server.entry())
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    ingress = Ingress(platform, platform.make_config(discovery, base_settings(), limits), "ingress")
    await ingress.wait_until_ready()
    memory = MemoryLimit(ingress, record, MEMORY_MB)
    watch = asyncio.create_task(memory.watch())
    traffic = Traffic(ingress.port, record)
    sending = asyncio.create_task(traffic.run())
    await asyncio.sleep(1.0)
    if TROUBLE:
        record.note(f"{PEERS} peers connect; each sends {PEER_BYTES} bytes of a command and stays")
        answers = await asyncio.gather(*(peer(ingress.port, number) for number in range(PEERS)), return_exceptions=True)
        record.note(f"peers: {sum(isinstance(answer, bytes) and bool(answer) for answer in answers)} got a line")
    await sending
    watch.cancel()
    record.note(f"peak {memory.peak_mb:.1f} MB, requests answered {traffic.answered}, not {traffic.unanswered}")
    return memory.breaks()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
