"""Case 8: a planned restart cuts off a long answer that its client is still reading."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
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

LONG_BYTES = 2_000_000
ANSWER_BYTES = len(b"$2000000\r\n") + LONG_BYTES + len(b"\r\n")
READ_BYTES = 65_536
READ_INTERVAL_S = 0.09  # so the client takes some 2.8 s for the whole answer
RECEIVE_BUFFER_BYTES = 65_536
SIGTERM_AFTER_S = 0.2
SECOND_AFTER_S = 2.2  # the client sends its next request so long after the first, 2.0 s after SIGTERM
SIGKILL_AFTER_S = 2.5 + 0.7  # after SIGTERM, the earliest that the page names
WORK_S = 0.03


class Servers:
    """The schedule servers, which write the long answer without a pause."""

    def __init__(self, record: Record) -> None:
        self.record = record

    async def reply(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        name = words[2].decode()
        await asyncio.sleep(WORK_S)
        writer.write(answer_of(b"L" * LONG_BYTES if name == "long" else b"done"))
        await writer.drain()
        self.record.note(f"server: has given the whole answer to {name}")


class SlowClient:
    """A client that reads slowly, all the time, and sends a second request meanwhile."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.received = 0
        self.end = ""
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.setblocking(False)

    async def send(self, port: int) -> None:
        """Connect and send the first request."""
        await self.loop.sock_connect(self.sock, ("127.0.0.1", port))
        await self.loop.sock_sendall(self.sock, read_request(5, "long"))
        self.record.note("client: sent long")

    async def send_second(self) -> None:
        """Send the second request on the connection, which is open as far as the client can see."""
        await asyncio.sleep(SECOND_AFTER_S)
        with contextlib.suppress(OSError):
            await self.loop.sock_sendall(self.sock, read_request(6, "second"))
        self.record.note(f"client: sent second, has read {self.received} bytes so far")

    async def read(self) -> None:
        """Read until the long answer is whole or the connection ends."""
        while self.received < ANSWER_BYTES:
            try:
                data = await self.loop.sock_recv(self.sock, READ_BYTES)
            except OSError as error:
                self.end = type(error).__name__
                break
            if not data:
                self.end = "the connection was closed"
                break
            self.received += len(data)
            await asyncio.sleep(READ_INTERVAL_S * len(data) / READ_BYTES)
        self.record.note(f"client: has read {self.received} of {ANSWER_BYTES} bytes; {self.end or 'whole'}")
        self.sock.close()


async def restart(ingress: Ingress, record: Record) -> None:
    """Do what the platform does at a planned restart."""
    await asyncio.sleep(SIGTERM_AFTER_S)
    record.note("platform: SIGTERM")
    ingress.process.send_signal(signal.SIGTERM)
    deadline = record.now() + SIGKILL_AFTER_S
    while ingress.process.poll() is None and record.now() < deadline:
        await asyncio.sleep(0.01)
    record.note(f"platform: the ingress {'is killed' if ingress.process.poll() is None else 'has ended'}")
    ingress.process.kill()


async def case(record: Record, platform: Platform) -> list[str]:
    """Read a long answer slowly through a planned restart."""
    servers = Servers(record)
    discovery = Discovery(record)
    await discovery.open()
    for number in range(4):
        server = ScheduleServer(f"s-{number}", record, servers.reply)
        await server.open()
        await discovery.put(server.entry())
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
    ingress = Ingress(platform, platform.make_config(discovery, base_settings(), limits), "ingress")
    await ingress.wait_until_ready()
    warm = await Client.connect(ingress.port)
    for number in range(30):
        warm.send(read_request(500 + number, f"warm-{number}"))
        await warm.answer()
    warm.close()
    client = SlowClient(record)
    await client.send(ingress.port)
    tasks = [asyncio.create_task(client.send_second())]
    if TROUBLE:
        tasks.append(asyncio.create_task(restart(ingress, record)))
    await client.read()
    await asyncio.gather(*tasks)
    if client.received < ANSWER_BYTES:
        return [f"the long answer was cut off after {client.received} of {ANSWER_BYTES} bytes: {client.end}"]
    return []


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
