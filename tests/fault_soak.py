"""A seeded soak of the real program: peers that load it, servers that fail, signals in series, and a final SIGKILL.

`python -m tests.fault_soak FIRST COUNT` runs seeds by hand and prints what each of them has found.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop
from msgspec import Struct, field

from tests.peer_load import (
    BYTES_PER_MB,
    KINDS,
    LOAD_SETTINGS,
    LOST_AFTER_S,
    SERVER_DELAY_S,
    entries,
    folder_bytes,
    load,
    peak_memory,
)
from tests.peers import Peer, Reader, RespClient, Writer, command, endpoint_answer, read_command
from tests.test_net_signals import KILL_DELAY_S, Program, launched

PARALLEL_RUNS = 3
SOUND_CLIENTS = 4
REQUEST_INTERVAL_S = 0.05
REQUEST_TIME_S = 2.0
LOAD_TIME_S = 2.5
MEMORY_LIMITS_MB = (32, 80, 192)
PEER_COUNTS = (1, 60, 200)
MAX_RELOADS = 5
ERROR_RATE = 0.05
HANG_RATE = 0.02
RESET_RATE = 0.02
PAYMENT_PREFIX = "pay"


class Finding(Struct):
    """What one run has found.

    Attributes:
        plan: What the seed has drawn.
        answers: The numbers of requests by what became of them.
        faults: The rules that were broken.
    """

    plan: str
    answers: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


class FaultyServer(Peer):
    """Answers requests, and fails, hangs or resets some of them, by a seed."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(self._serve_commands)
        self.rng = rng
        self.runs: Counter[bytes] = Counter()

    async def _serve_commands(self, _: int, reader: Reader, writer: Writer) -> None:
        while True:
            name = (await read_command(reader))[2]
            self.runs[name] += 1
            draw = self.rng.random()
            await asyncio.sleep(SERVER_DELAY_S)
            if draw < RESET_RATE:
                writer.transport.abort()
            elif draw < RESET_RATE + ERROR_RATE:
                writer.write(b"-ERR failed\r\n")
            elif draw > HANG_RATE + RESET_RATE + ERROR_RATE:
                writer.write(endpoint_answer(name))
            else:
                await reader.read()


async def use(program: Program, number: int, rng: random.Random, server: FaultyServer, found: Finding) -> None:
    """Send reads and payments on one connection until the process is killed; connect again where it is closed."""
    sent_count = 0
    while program.process.returncode is None:
        try:
            client = await RespClient.connect(program.address)
        except OSError:
            return
        with contextlib.suppress(EOFError, OSError):
            while True:
                sent_count += 1
                is_payment = rng.random() < 0.5
                name = f"{PAYMENT_PREFIX if is_payment else 'read'}-{number}-{sent_count}"
                request = command(name, "pay" if is_payment else "read", customer=number + 1)
                found.answers["sent"] += 1
                try:
                    async with asyncio.timeout(REQUEST_TIME_S + LOST_AFTER_S):
                        answer = await client.request(request)
                except TimeoutError:
                    found.faults.append(f"{name}: no answer in time")
                    break
                except (EOFError, OSError):
                    found.answers["closed"] += 1
                    if server.runs[name.encode()]:
                        found.faults.append(f"{name}: ran and was closed without an answer")
                    raise
                found.answers["served" if isinstance(answer, bytes) else str(answer).split()[0]] += 1
                await asyncio.sleep(REQUEST_INTERVAL_S)
        client.writer.close()


async def send_signals(program: Program, rng: random.Random) -> None:
    """Send reloads in series, then SIGTERM, and SIGKILL at the earliest moment that the pages allow."""
    started_at = time.monotonic()
    for _ in range(rng.randint(0, MAX_RELOADS)):
        await asyncio.sleep(rng.uniform(0.0, LOAD_TIME_S / MAX_RELOADS))
        program.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(max(0.0, LOAD_TIME_S - (time.monotonic() - started_at)))
    program.process.send_signal(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(program.process.wait(), KILL_DELAY_S)
    if program.process.returncode is None:
        program.process.kill()


async def run_seed(seed: int) -> Finding:
    """Run one seed for about five seconds."""
    rng = random.Random(seed)
    kind = KINDS[rng.choice(sorted(KINDS))]
    memory_mb = rng.choice(MEMORY_LIMITS_MB)
    count = rng.choice(PEER_COUNTS)
    found = Finding(f"{kind.__name__} by {count} peers, {memory_mb} MB")
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with (
            FaultyServer(random.Random(rng.random())) as server,
            launched(folder, *entries(server), limits=limits, settings=LOAD_SETTINGS) as program,
        ):
            await program.ready()
            clients = [
                asyncio.create_task(use(program, number, random.Random(rng.random()), server, found))
                for number in range(SOUND_CLIENTS)
            ]
            peers = asyncio.create_task(load(program.address, kind, count, LOAD_TIME_S))
            signals = asyncio.create_task(send_signals(program, rng))
            peak = 0
            while not signals.done():
                with contextlib.suppress(OSError, IndexError):
                    peak = max(peak, peak_memory(program) + folder_bytes(folder))
                await asyncio.sleep(REQUEST_INTERVAL_S)
            await asyncio.gather(peers, signals, *clients)
            check_run(found, program, server, peak, memory_mb)
    return found


def check_run(found: Finding, program: Program, server: FaultyServer, peak: int, memory_mb: int) -> None:
    """Add the rules that the whole run has broken."""
    found.plan += f", peak {peak / BYTES_PER_MB:.1f} MB"
    if peak >= memory_mb * BYTES_PER_MB:
        found.faults.append("the memory limit was exceeded")
    if program.process.returncode not in (0, -signal.SIGKILL):
        found.faults.append(f"the process ended with {program.process.returncode}")
    if program.logged("Traceback") or program.logged("never retrieved"):
        found.faults.append("the log has a traceback")
    for name, count in server.runs.items():
        if name.startswith(PAYMENT_PREFIX.encode()) and count > 1:
            found.faults.append(f"{name.decode()}: ran {count} times")
    if not found.answers["served"]:
        found.faults.append("nothing was served")


async def run_seeds(first: int, count: int) -> dict[int, Finding]:
    """Run seeds, some side by side, and print each finding."""
    found: dict[int, Finding] = {}
    permits = asyncio.Semaphore(PARALLEL_RUNS)

    async def one(seed: int) -> None:
        async with permits:
            found[seed] = await run_seed(seed)
            print(seed, found[seed].plan, dict(found[seed].answers), found[seed].faults, flush=True)

    await asyncio.gather(*(one(seed) for seed in range(first, first + count)))
    return found


if __name__ == "__main__":
    findings = uvloop.run(run_seeds(int(sys.argv[1]), int(sys.argv[2])))
    print(len(findings), "seeds,", sum(bool(one.faults) for one in findings.values()), "with faults")
