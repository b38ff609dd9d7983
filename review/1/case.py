"""Whose answers clients get while schedule servers now and then send an answer a second time."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Command, Platform, Record, answer, read_reply, request, run_case, start_fleet  # noqa: E402

SERVERS = 8
CLIENTS = 16
DURATION_S = 20.0
DEADLINE_MS = 2500
SERVICE_S = (0.036, 0.084)  # a request's work at a server, drawn uniformly
THINK_S = (0.01, 0.03)  # from an answer to the next request of a client, drawn uniformly
SECOND_EVERY = 100  # of the answers of all servers, one in so many is sent a second time
SECOND_AFTER_S = 0.003


def value_of(request_id: bytes, customer: bytes) -> bytes:
    """Return the value that a server makes for a request."""
    return b"schedule of " + customer + b" for request " + request_id


class Servers:
    """What all servers do.

    Attributes:
        answered: The number of answers so far.
        repeated: The number of answers that were sent a second time.
    """

    def __init__(self, record: Record, trouble: bool) -> None:
        self.record = record
        self.trouble = trouble
        self.random = random.Random(1)
        self.answered = 0
        self.repeated = 0

    async def handle(self, command: Command) -> bytes:
        """Work on a command and answer it."""
        await asyncio.sleep(self.random.uniform(*SERVICE_S))
        return answer(value_of(command[2], command[1]))

    async def repeat(self, command: Command, reply: bytes, write: Callable[[bytes], None]) -> None:
        """Send one answer in a hundred a second time."""
        self.answered += 1
        if not self.trouble or self.answered % SECOND_EVERY:
            return
        await asyncio.sleep(SECOND_AFTER_S)
        self.repeated += 1
        self.record(f"a server answers {command[2].decode()} a second time")
        write(reply)


async def body(record: Record, platform: Platform, trouble: bool) -> list[str]:
    """Start the fleet, send ordinary traffic, and compare each value with the one made for its request."""
    servers = Servers(record, trouble)
    await start_fleet(record, platform, SERVERS, servers.handle, servers.repeat)
    draw = random.Random(2)
    ends_at = time.monotonic() + DURATION_S
    counts = {"right": 0, "foreign": 0, "not served": 0}

    async def client(number: int) -> None:
        await asyncio.sleep(0.01 * number)
        reader, writer = await asyncio.open_connection(HOST, platform.port)
        sent = 0
        while time.monotonic() < ends_at:
            sent += 1
            request_id = b"%08x%08x" % (number, sent)
            customer = 1000 * number + sent % 40
            writer.write(request(request_id, customer, "schedule-read", "federation", DEADLINE_MS))
            reply = await read_reply(reader)
            outcome = "not served"
            if isinstance(reply, bytes):
                outcome = "right" if reply == value_of(request_id, b"%016x" % customer) else "foreign"
            counts[outcome] += 1
            text = reply.decode() if isinstance(reply, bytes) else str(reply)
            record(f"client {number}: request {request_id.decode()} of {customer:016x} {outcome}: {text}")
            await asyncio.sleep(draw.uniform(*THINK_S))
        writer.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    record(f"{servers.repeated} second answers; answers to clients: {counts}")
    if not counts["foreign"]:
        return []
    return [
        f"{counts['foreign']} of {sum(counts.values())} requests were served with a value that was made for another "
        f"request, after {servers.repeated} second answers"
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, body))
