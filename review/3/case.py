"""Commands that an ingress has read from a client that pauses reading, while the ingress is told to end."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    Command,
    Platform,
    Record,
    SlowClient,
    answer,
    request,
    run_case,
    start_fleet,
    unread_bytes,
    warm_up,
)

COUNT = 200
DEADLINE_MS = 2500
VALUE_BYTES = 64 << 10
CUSTOMERS = 40
SETTLE_S = 0.5  # from the requests to SIGTERM
READ_PAUSE_S = 1.0  # from SIGTERM until the client reads again
SIGKILL_S = 3.7  # after SIGTERM; the pages say 2.5 s + 0.7 s at the earliest


async def handle(command: Command) -> bytes:
    """Answer after 5 ms with 64 KiB, or with 100 bytes in the warm-up."""
    await asyncio.sleep(0.005)
    return answer(command[2].ljust(VALUE_BYTES if command[2].startswith(b"0") else 100, b"."))


async def body(record: Record, platform: Platform, trouble: bool) -> list[str]:
    """Start the fleet, send the commands, end the ingress, and count the answers."""
    process = await start_fleet(record, platform, 8, handle)
    await warm_up(record, platform, DEADLINE_MS)

    client = SlowClient()
    await client.connect(platform.port)
    commands = [
        request(b"%016x" % number, 7 + number % CUSTOMERS, "schedule-read", "federation", DEADLINE_MS)
        for number in range(COUNT)
    ]
    await client.send(b"".join(commands))
    record(f"client: sends {COUNT} requests on one connection, and reads nothing for now")
    await asyncio.sleep(SETTLE_S)
    unread = unread_bytes((HOST, platform.port), client.address)
    record(f"the system: {unread} bytes of them are unread by the ingress")
    if unread != 0:
        raise RuntimeError("the ingress has not read all requests")
    if trouble:
        process.send_signal(signal.SIGTERM)
        record("platform: SIGTERM")
    told_at = time.monotonic()
    await asyncio.sleep(READ_PAUSE_S)
    record("client: reads")
    replies: list[bytes] = []
    while len(replies) < COUNT and time.monotonic() < told_at + SIGKILL_S:
        if not await client.read(256 << 10, 0.2) and client.has_ended:
            break
        for reply in client.take_replies():
            replies.append(reply)
            record(f"client: answer {len(replies)}, {len(reply)} bytes: {reply[:24].decode()}")
    waited = time.monotonic() - told_at
    record(f"client: {len(replies)} answers, then {client.has_ended or 'an open connection'}, {waited:.2f} s later")
    if trouble and process.poll() is None:
        await asyncio.sleep(max(0.0, told_at + SIGKILL_S - time.monotonic()))
        process.send_signal(signal.SIGKILL)
        record("platform: SIGKILL")
    client.close()
    if len(replies) == COUNT:
        return []
    return [
        f"{COUNT - len(replies)} of {COUNT} requests, all read by the ingress {SETTLE_S} s before SIGTERM or earlier, "
        f"got no answer: {client.has_ended or 'nothing'} {waited:.2f} s after SIGTERM"
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, body))
