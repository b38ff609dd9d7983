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
from ingress.emulator.live.ingress import IngressProcess, call_admin, config_settings
from ingress.emulator.live.loopback import loopback_address
from ingress.emulator.testbed import gateway_settings
from ingress.errors import IngressError

CLIENT_PORT = 6379
CONTROL_PORT = 7001
REQUEST_WORDS = 4  # the command, the customer, the request ID and the fields
PAUSE_S = 1.5  # long enough for the others to count a paused process as silent
SETTLE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
REQUEST_INTERVAL_S = 0.005  # between requests of one client
GREEDY_REQUEST_INTERVAL_S = 0.002
IDLE_TRAFFIC_PERIOD_S = 2.0  # the period over which messages between idle processes are counted
CEILING_RATE_PER_S = 40.0  # of the customer that sends far more requests than its ceiling allows
CEILING_BURST = 20.0
SOCKET_SLACK_S = 0.15  # with real sockets, PROTOCOL widens the slack of the ceiling by its rate over this time


BOUND_CUSTOMER = 7  # the customer that sends more requests than its ceiling allows


class UnsettledError(IngressError):
    """The processes did not agree on their membership in time, or a step of the measurement failed."""


class EchoServer(asyncio.Protocol):
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
class IngressProcesses:
    """The processes of one ingress, in order of their start.

    Attributes:
        extra_keys: Further keys of the configuration of each process.
        source_trees: The source trees that the processes run, in turn; None is this package.
        refill_per_s: The units per second of the plan without an effective ceiling.
    """

    folder: Path
    host: str
    servers: list[dict[str, object]]
    served: dict[bytes, int]
    extra_keys: dict[str, Any]
    source_trees: list[Path | None]
    running: list[IngressProcess] = field(default_factory=list)
    spawned: list[IngressProcess] = field(default_factory=list)
    refill_per_s: float = 1e6

    def settings(self) -> Settings:
        """Return the settings: one plan without an effective ceiling, and one whose ceiling limits the load."""
        plans = [
            {"name": "wide", "rate": self.refill_per_s, "burst": 1e6},
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

    async def start(self) -> IngressProcess:
        """Start one more process of the ingress, which takes over from the last."""
        number = len(self.spawned) + 1
        process = IngressProcess(
            "n0",
            (self.host, CLIENT_PORT),
            (self.host, CONTROL_PORT + number),
            self.folder,
            f"p{number}",
            self.source_trees[(number - 1) % len(self.source_trees)],
        )
        self.spawned.append(process)
        process.write_config(
            (self.host, 1),
            None,
            {"version": 1, "full": True, "servers": self.servers},
            number,
            config_settings(self.settings(), connect_timeout_s=0.25, idle_timeout_s=15.0),
            **self.extra_keys,
        )
        await process.start()
        self.running.append(process)
        return process

    async def stop(self, process: IngressProcess, signal_number: signal.Signals) -> int | None:
        """Send a signal to a process and return its exit status, or None if it still runs after the timeout."""
        self.running.remove(process)
        process.send_signal(signal_number)
        return await process.wait_exit(SETTLE_TIMEOUT_S)


@asynccontextmanager
async def prepared_ingress(
    servers: int = 4, extra_keys: dict[str, Any] | None = None, source_trees: list[Path | None] | None = None
) -> AsyncIterator[IngressProcesses]:
    """Prepare an ingress with a loopback address of its own and a temporary folder; kill its processes at the end."""
    served: dict[bytes, int] = {}
    loop = asyncio.get_running_loop()
    host = loopback_address(0)
    listener = await loop.create_server(lambda: EchoServer(served), host, 0)
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
        processes = IngressProcesses(Path(folder), host, rows, served, extra_keys or {}, source_trees or [None])
        try:
            yield processes
        finally:
            for process in list(processes.running):
                process.send_signal(signal.SIGCONT)
                await processes.stop(process, signal.SIGKILL)
            listener.close()


@dataclass(frozen=True)
class GroupView:
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


def _match_pair(text: str, pattern: str) -> tuple[int, int]:
    found = re.search(pattern, text)
    if found is None:
        raise UnsettledError(f"show-members: no match for {pattern!r} in {text!r:.200}")
    return int(found[1]), int(found[2])


async def read_view(process: IngressProcess) -> GroupView:
    """Return what a process reports about its group at its admin server."""
    text = await call_admin(process.control, "show-members")
    lines = [line for line in text.split("\n") if line.startswith("member: ")]
    [own] = [line for line in lines if "(this one)" in line]
    return GroupView(
        tuple((line.split()[1], " leads" in line, " accepts" in line, " silent" in line) for line in lines),
        _match_pair(text, r"total: (\d+) from clients, (\d+) to"),
        _match_pair(own, r"of (-?\d+)\+(-?\d+)"),
        # Builds that do not count messages report none.
        *(_match_pair(text, r"links: \d+, (\d+) messages told, (\d+) bytes") if "links: " in text else (0, 0)),
    )


async def wait_until_settled(processes: IngressProcesses) -> float:
    """Wait until all processes agree and return the seconds since the call.

    Raises:
        UnsettledError: They do not agree in time, or together they may hold more than the total.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < SETTLE_TIMEOUT_S:
        views = [await read_view(process) for process in processes.running]
        for side in (0, 1):
            if sum(view.own[side] for view in views) > views[0].total[side]:
                # The processes are asked one after the other, so a grant may have been counted at both ends.  Only an
                # excess that a second reading in reverse order confirms counts.
                again = [await read_view(process) for process in reversed(processes.running)]
                if sum(view.own[side] for view in again) > views[0].total[side]:
                    raise UnsettledError(
                        f"the processes may hold more connections than the total of {views[0].total[side]}"
                    )
        if len({view.rows for view in views}) == 1 and views[0].settled(len(processes.running)):
            return time.monotonic() - started_at
        await asyncio.sleep(POLL_INTERVAL_S)
    raise UnsettledError(
        f"the {len(processes.running)} processes did not agree on their membership within {SETTLE_TIMEOUT_S:g} s"
    )


async def _measure_idle_traffic(processes: IngressProcesses) -> dict[str, float]:
    """Return the messages and bytes per second that idle processes send to each other."""
    before = [await read_view(process) for process in processes.running]
    started_at = time.monotonic()
    await asyncio.sleep(IDLE_TRAFFIC_PERIOD_S)
    after = [await read_view(process) for process in processes.running]
    elapsed_s = time.monotonic() - started_at
    messages = sum(later.messages - earlier.messages for later, earlier in zip(after, before, strict=True))
    sent_bytes = sum(later.bytes - earlier.bytes for later, earlier in zip(after, before, strict=True))
    return {"messages_s": messages / elapsed_s, "bytes_s": sent_bytes / elapsed_s}


async def measure_chain(count: int) -> dict[str, float]:
    """Measure the seconds to settle after each kind of event in a chain, and the traffic between idle processes."""
    results: dict[str, float] = {}
    async with prepared_ingress() as processes:
        for _ in range(count):
            await processes.start()
        results["come"] = await wait_until_settled(processes)
        results |= await _measure_idle_traffic(processes)
        stopped = processes.running[count // 2]
        stopped.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        stopped.send_signal(signal.SIGCONT)
        results["paused"] = await wait_until_settled(processes)
        for name, index in (("eldest_killed", 0), ("youngest_killed", -1), ("middle_killed", count // 2 - 1)):
            if len(processes.running) > 1:
                await processes.stop(processes.running[index], signal.SIGKILL)
                results[name] = await wait_until_settled(processes)
    return results


@dataclass
class ResponseCounts:
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


class SequentialClient:
    """A client with one connection and one request at a time.

    A request that crosses the close of its connection is sent once more on a new one.
    """

    def __init__(self, address: tuple[str, int], counts: ResponseCounts) -> None:
        self.address = address
        self.counts = counts
        self.request_numbers = itertools.count()
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send_request(self, customer: int, plan: str) -> None:
        """Send one request and count its response; send it once more if a reused connection was closed."""
        number = b"%016x" % next(self.request_numbers)
        fields = f"c=read,t={plan},d=2000,units=1,spread=1,first=0".encode()
        words = [b"API.READ", b"%016x" % customer, number, fields]
        data = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
        for is_last_attempt in (False, True):
            is_new_connection = self.streams is None
            try:
                if self.streams is None:
                    self.streams = await asyncio.open_connection(*self.address)
                self.streams[1].write(data)
                response = await self._read_response(self.streams[0])
            except (OSError, EOFError):
                self.close()
                if is_last_attempt or is_new_connection:
                    break
                self.counts.again += 1
                continue
            if response == number:
                self.counts.answered += 1
            elif isinstance(response, hiredis.ReplyError) and str(response).startswith("BUSY"):
                self.counts.refused += 1
            else:
                break
            return
        self.counts.lost += 1

    async def _read_response(self, reader: asyncio.StreamReader) -> object:
        parser = hiredis.Reader(notEnoughData=NOTHING)
        while (response := parser.gets()) is NOTHING:
            data = await reader.read(1 << 16)
            if not data:
                raise EOFError
            parser.feed(data)
        return response

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


async def run_upgrades(
    count: int, clients: int, report_progress: Callable[[int], None], source_trees: list[Path | None]
) -> dict[str, float]:
    """Run upgrades one after the other under load; `report_progress` is called with the number of each.

    In the result, `over` is the number of units beyond what the ceiling of one customer and its slack allow since the
    start, and `settle_max` the longest time in seconds from the exit of an old process until the group has settled.
    """
    counts = ResponseCounts()
    load_stopped = asyncio.Event()
    max_settle_s = 0.0
    async with prepared_ingress(source_trees=source_trees) as processes:
        old_process = await processes.start()
        started_at = time.monotonic()

        async def client(number: int) -> None:
            client_connection = SequentialClient(client_address, counts)
            for request_index in itertools.count():
                if load_stopped.is_set():
                    break
                greedy = number == 0
                await client_connection.send_request(
                    BOUND_CUSTOMER if greedy else number * 100_000 + request_index % 1000, "bound" if greedy else "wide"
                )
                await asyncio.sleep(GREEDY_REQUEST_INTERVAL_S if greedy else REQUEST_INTERVAL_S)
            client_connection.close()

        client_address = (processes.host, CLIENT_PORT)
        tasks = [asyncio.create_task(client(number)) for number in range(clients)]
        for number in range(count):
            new_process = await processes.start()
            status = await processes.stop(old_process, signal.SIGTERM)
            if status != 0:
                raise UnsettledError(f"upgrade {number}: the old process exited with status {status} after SIGTERM")
            max_settle_s = max(max_settle_s, await wait_until_settled(processes))
            old_process = new_process
            report_progress(number + 1)
        load_stopped.set()
        await asyncio.gather(*tasks)
        elapsed_s = time.monotonic() - started_at
        allowed_units = CEILING_RATE_PER_S * (elapsed_s + SOCKET_SLACK_S) + CEILING_BURST + 1.0
        return {
            "upgrades": count,
            "seconds": round(elapsed_s, 3),
            "answered": counts.answered,
            "refused": counts.refused,
            "sent_again": counts.again,
            "lost": counts.lost,
            "bound_units": processes.served.get(b"%016x" % BOUND_CUSTOMER, 0),
            "over": max(0.0, processes.served.get(b"%016x" % BOUND_CUSTOMER, 0) - allowed_units),
            "settle_max": round(max_settle_s, 3),
        }


def measure(
    chains: list[int], count: int, clients: int, report_progress: Callable[[str], None], other_tree: Path | None = None
) -> dict[str, Any]:
    """Measure chains of processes and upgrades under load and return the result as plain data.

    Args:
        chains: The number of processes of each chain.
        count: The number of upgrades under load.
        clients: The number of connections of the load.
        report_progress: A function that is called with a line for each step.
        other_tree: A source tree of another build; every other upgrade goes from it to this build, the rest go back.

    Raises:
        UnsettledError: The processes did not agree, an upgrade failed or SIGINT interrupted the measurement.
    """

    async def run() -> dict[str, Any]:
        found: dict[str, Any] = {"chains": {}}
        for size in chains:
            report_progress(f"a chain of {size}")
            found["chains"][size] = {key: round(value, 3) for key, value in (await measure_chain(size)).items()}
        if count:
            found["upgrades"] = await run_upgrades(
                count,
                clients,
                lambda number: report_progress(f"upgrade {number} of {count}"),
                [other_tree, None] if other_tree is not None else [None],
            )
        return found

    with contextlib.suppress(KeyboardInterrupt):
        result: dict[str, Any] = uvloop.run(run())
        return result
    raise UnsettledError("the measurement was interrupted")
