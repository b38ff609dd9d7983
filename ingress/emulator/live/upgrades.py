"""Measurements of one ingress with several processes: time to agree, traffic between them, and the cost of upgrades.

Real processes on loopback forward to a fake server that answers at once.  Chains of processes are paused, killed and
observed through their admin servers; then one ingress is upgraded repeatedly under load, and requests and spent units
are counted.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import re
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import hiredis
import uvloop

from ingress.decisions.settings import Settings
from ingress.emulator.experiment import build_experiment
from ingress.emulator.live.clients import NOTHING
from ingress.emulator.live.ingress import Process, call, wire_settings
from ingress.emulator.live.loopback import loopback
from ingress.emulator.testbed import gateway_settings
from ingress.errors import IngressError

CLIENT_PORT = 6379
CONTROL_PORT = 7001
REQUEST_WORDS = 4  # the command, the customer, the request ID and the fields
PAUSE_S = 1.5  # long enough for the others to count a paused process as silent
SETTLES = 30.0
LOOK = 0.01
WATCH = 2.0  # the period over which messages between idle processes are counted
CEILING_RATE_PER_S = 40.0  # of the customer that sends far more requests than its ceiling allows
CEILING_BURST = 20.0
SLACK = 0.15  # with real sockets, PROTOCOL widens the slack of the ceiling by its rate over this time


BOUND_CUSTOMER = 7  # the customer that sends more requests than its ceiling allows


class UnsettledError(IngressError):
    """The processes did not agree on their membership in time, or a step of the measurement failed."""


class Echo(asyncio.Protocol):
    """A fake server that answers each request at once with its ID.

    Attributes:
        served: The number of served requests by customer, over all connections.
    """

    served: dict[bytes, int]

    def __init__(self, served: dict[bytes, int]) -> None:
        self.reader = hiredis.Reader(notEnoughData=NOTHING)
        self.served = served

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for writing; called by asyncio."""
        assert isinstance(transport, asyncio.WriteTransport) or hasattr(transport, "write")
        self.write: Callable[[bytes], None] = transport.write

    def data_received(self, data: bytes) -> None:
        """Serve each request with its ID and count it by customer; called by asyncio."""
        self.reader.feed(data)
        while (words := self.reader.gets()) is not NOTHING:
            if isinstance(words, list) and len(words) >= REQUEST_WORDS:
                self.served[words[1]] = self.served.get(words[1], 0) + 1
                self.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(words[2]), words[2]))
            else:
                self.write(b"+PONG\r\n")


@dataclass
class Ingress:
    """The processes of one ingress, in order of their start.

    Attributes:
        more: Further keys of the configuration of each process.
        trees: The source trees that the processes run, in turn; None is this package.
        refill: The units per second of the plan without an effective ceiling.
    """

    folder: Path
    host: str
    servers: list[dict[str, object]]
    served: dict[bytes, int]
    more: dict[str, Any]
    trees: list[Path | None]
    running: list[Process] = field(default_factory=list)
    spawned: list[Process] = field(default_factory=list)
    refill: float = 1e6

    def settings(self) -> Settings:
        """Return the settings: one plan without an effective ceiling, and one whose ceiling limits the load."""
        plans = [
            {"name": "wide", "rate": self.refill, "burst": 1e6},
            {
                "name": "bound",
                "rate": 1e6,
                "burst": 1e6,
                "ceiling_rate": CEILING_RATE_PER_S,
                "ceiling_burst": CEILING_BURST,
                "ceiling_slack": 1.0,
            },
        ]
        spec = build_experiment(
            {
                "name": "upgrades",
                "seconds": 1.0,
                "fleet": {"gateways": 1, "servers": 1},
                "load": {"rate": 1},
                "plans": plans,
            }
        )
        return gateway_settings(spec, 0, list(spec.plans))

    async def start(self) -> Process:
        """Start one more process of the ingress, which takes over from the last."""
        number = len(self.spawned) + 1
        process = Process(
            "n0",
            (self.host, CLIENT_PORT),
            (self.host, CONTROL_PORT + number),
            self.folder,
            f"p{number}",
            self.trees[(number - 1) % len(self.trees)],
        )
        self.spawned.append(process)
        process.write(
            (self.host, 1),
            None,
            {"version": 1, "full": True, "servers": self.servers},
            number,
            wire_settings(self.settings(), 0.25, 15.0),
            **self.more,
        )
        await process.start()
        self.running.append(process)
        return process

    async def ends(self, process: Process, number: signal.Signals) -> int | None:
        """Send a signal to a process and return its exit status, or None if it still runs after the timeout."""
        self.running.remove(process)
        process.send(number)
        return await process.ended(SETTLES)


@asynccontextmanager
async def ingress(
    servers: int = 4, more: dict[str, Any] | None = None, trees: list[Path | None] | None = None
) -> AsyncIterator[Ingress]:
    """Prepare an ingress with a loopback address of its own and a temporary folder; kill its processes at the end."""
    served: dict[bytes, int] = {}
    loop = asyncio.get_running_loop()
    host = loopback(0)
    listener = await loop.create_server(lambda: Echo(served), host, 0)
    address = listener.sockets[0].getsockname()
    rows: list[dict[str, object]] = [
        {
            "id": f"s{n}",
            "addr": f"{address[0]}:{address[1]}",
            "zone": "a",
            "kind": "m",
            "cell": n,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n in range(servers)
    ]
    with tempfile.TemporaryDirectory() as folder:
        found = Ingress(Path(folder), host, rows, served, more or {}, trees or [None])
        try:
            yield found
        finally:
            for process in list(found.running):
                process.send(signal.SIGCONT)
                await found.ends(process, signal.SIGKILL)
            listener.close()


@dataclass(frozen=True)
class View:
    """What a process reports about its process group.

    Attributes:
        rows: The name of each member, and whether it leads, accepts and is silent.
        total: The open connections that the group may hold: from clients, and to servers.
        own: The open connections that this process may hold, likewise.
        messages: The number of messages that this process sent to the others.
        bytes: The number of bytes of these messages.
    """

    rows: tuple[tuple[str, bool, bool, bool], ...]
    total: tuple[int, int]
    own: tuple[int, int]
    messages: int
    bytes: int

    def settled(self, count: int) -> bool:
        """Report whether so many processes see each other, exactly one leads and exactly one accepts."""
        return (
            len(self.rows) == count
            and sum(leads for _, leads, _, _ in self.rows) == 1
            and sum(accepts for _, _, accepts, _ in self.rows) == 1
            and not any(row[3] for row in self.rows)
        )


def _pair(text: str, pattern: str) -> tuple[int, int]:
    found = re.search(pattern, text)
    if found is None:
        raise UnsettledError(f"show-members: no match for {pattern!r} in {text!r:.200}")
    return int(found[1]), int(found[2])


async def look(process: Process) -> View:
    """Return what a process reports about its group at its admin server."""
    text = await call(process.control, "show-members")
    lines = [line for line in text.split("\n") if line.startswith("member: ")]
    [own] = [line for line in lines if "(this one)" in line]
    return View(
        tuple((line.split()[1], " leads" in line, " accepts" in line, " silent" in line) for line in lines),
        _pair(text, r"total: (\d+) from clients, (\d+) to"),
        _pair(own, r"of (-?\d+)\+(-?\d+)"),
        # Builds that do not count messages report none.
        *(_pair(text, r"links: \d+, (\d+) messages told, (\d+) bytes") if "links: " in text else (0, 0)),
    )


async def settle(one: Ingress) -> float:
    """Wait until all processes agree and return the seconds since the call.

    Raises:
        UnsettledError: They do not agree in time, or together they may hold more than the total.
    """
    began = time.monotonic()
    while time.monotonic() - began < SETTLES:
        views = [await look(process) for process in one.running]
        for side in (0, 1):
            if sum(view.own[side] for view in views) > views[0].total[side]:
                # The processes are asked one after the other, so a grant may have been counted at both ends.  Only an
                # excess that a second reading in reverse order confirms counts.
                again = [await look(process) for process in reversed(one.running)]
                if sum(view.own[side] for view in again) > views[0].total[side]:
                    raise UnsettledError(
                        f"the processes may hold more connections than the total of {views[0].total[side]}"
                    )
        if len({view.rows for view in views}) == 1 and views[0].settled(len(one.running)):
            return time.monotonic() - began
        await asyncio.sleep(LOOK)
    raise UnsettledError(f"the {len(one.running)} processes did not agree on their membership within {SETTLES:g} s")


async def chain(count: int) -> dict[str, float]:
    """Measure the seconds to settle after each kind of event in a chain, and the traffic between idle processes."""
    found: dict[str, float] = {}
    async with ingress() as one:
        for _ in range(count):
            await one.start()
        found["come"] = await settle(one)
        before = [await look(process) for process in one.running]
        began = time.monotonic()
        await asyncio.sleep(WATCH)
        after = [await look(process) for process in one.running]
        span = time.monotonic() - began
        found["messages_s"] = (
            sum(later.messages - earlier.messages for later, earlier in zip(after, before, strict=True)) / span
        )
        found["bytes_s"] = sum(later.bytes - earlier.bytes for later, earlier in zip(after, before, strict=True)) / span
        stopped = one.running[count // 2]
        stopped.send(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        stopped.send(signal.SIGCONT)
        found["paused"] = await settle(one)
        for name, place in (("eldest_killed", 0), ("youngest_killed", -1), ("middle_killed", count // 2 - 1)):
            if len(one.running) > 1:
                await one.ends(one.running[place], signal.SIGKILL)
                found[name] = await settle(one)
    return found


@dataclass
class Tally:
    """The number of responses to clients by kind.

    Attributes:
        answered: The requests that were served.
        refused: The requests that were rejected with BUSY.
        lost: The requests without a valid response.
        again: The requests that were sent once more because the connection was closed between two requests.
    """

    answered: int = 0
    refused: int = 0
    lost: int = 0
    again: int = 0


class Caller:
    """A client with one connection and one request at a time.

    A request that crosses the close of its connection is sent once more on a new one.
    """

    def __init__(self, address: tuple[str, int], tally: Tally) -> None:
        self.address = address
        self.tally = tally
        self.numbers = itertools.count()
        self.talk: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, customer: int, plan: str) -> None:
        """Send one request and count its response; send it once more if a reused connection was closed."""
        number = b"%016x" % next(self.numbers)
        names = f"c=read,t={plan},d=2000,units=1,spread=1,first=0".encode()
        words = [b"API.READ", b"%016x" % customer, number, names]
        data = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
        for last in (False, True):
            fresh = self.talk is None
            try:
                if self.talk is None:
                    self.talk = await asyncio.open_connection(*self.address)
                self.talk[1].write(data)
                answer = await self._answer(self.talk[0])
            except (OSError, EOFError):
                self.close()
                if last or fresh:
                    break
                self.tally.again += 1
                continue
            if answer == number:
                self.tally.answered += 1
            elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
                self.tally.refused += 1
            else:
                break
            return
        self.tally.lost += 1

    async def _answer(self, reader: asyncio.StreamReader) -> object:
        parser = hiredis.Reader(notEnoughData=NOTHING)
        while (answer := parser.gets()) is NOTHING:
            data = await reader.read(1 << 16)
            if not data:
                raise EOFError
            parser.feed(data)
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.talk is not None:
            self.talk[1].close()
            self.talk = None


async def upgrades(count: int, clients: int, told: Callable[[int], None], trees: list[Path | None]) -> dict[str, float]:
    """Run upgrades one after the other under load; `told` is called with the number of each.

    In the result, `over` is the number of units beyond what the ceiling of one customer and its slack allow since the
    start, and `settle_max` the longest time in seconds from the exit of an old process until the group has settled.
    """
    tally = Tally()
    over = asyncio.Event()
    slowest = 0.0
    async with ingress(trees=trees) as one:
        old = await one.start()
        began = time.monotonic()

        async def client(number: int) -> None:
            caller = Caller(old_address, tally)
            for turn in itertools.count():
                if over.is_set():
                    break
                greedy = number == 0
                await caller.ask(
                    BOUND_CUSTOMER if greedy else number * 100_000 + turn % 1000, "bound" if greedy else "wide"
                )
                await asyncio.sleep(0.002 if greedy else 0.005)
            caller.close()

        old_address = (one.host, CLIENT_PORT)
        tasks = [asyncio.create_task(client(number)) for number in range(clients)]
        for number in range(count):
            fresh = await one.start()
            status = await one.ends(old, signal.SIGTERM)
            if status != 0:
                raise UnsettledError(f"upgrade {number}: the old process exited with status {status} after SIGTERM")
            slowest = max(slowest, await settle(one))
            old = fresh
            told(number + 1)
        over.set()
        await asyncio.gather(*tasks)
        span = time.monotonic() - began
        allowed = CEILING_RATE_PER_S * (span + SLACK) + CEILING_BURST + 1.0
        return {
            "upgrades": count,
            "seconds": round(span, 3),
            "answered": tally.answered,
            "refused": tally.refused,
            "sent_again": tally.again,
            "lost": tally.lost,
            "bound_units": one.served.get(b"%016x" % BOUND_CUSTOMER, 0),
            "over": max(0.0, one.served.get(b"%016x" % BOUND_CUSTOMER, 0) - allowed),
            "settle_max": round(slowest, 3),
        }


def measure(
    chains: list[int], count: int, clients: int, told: Callable[[str], None], before: Path | None = None
) -> dict[str, Any]:
    """Measure chains of processes and upgrades under load and return the result as plain data.

    Args:
        chains: The number of processes of each chain.
        count: The number of upgrades under load.
        clients: The number of connections of the load.
        told: A function that is called with a line for each step.
        before: A source tree of another build; every other upgrade goes from it to this build, the rest go back.

    Raises:
        UnsettledError: The processes did not agree, an upgrade failed or SIGINT interrupted the measurement.
    """

    async def run() -> dict[str, Any]:
        found: dict[str, Any] = {"chains": {}}
        for size in chains:
            told(f"a chain of {size}")
            found["chains"][size] = {key: round(value, 3) for key, value in (await chain(size)).items()}
        if count:
            found["upgrades"] = await upgrades(
                count,
                clients,
                lambda number: told(f"upgrade {number} of {count}"),
                [before, None] if before is not None else [None],
            )
        return found

    with contextlib.suppress(KeyboardInterrupt):
        result: dict[str, Any] = uvloop.run(run())
        return result
    raise UnsettledError("the measurement was interrupted")
