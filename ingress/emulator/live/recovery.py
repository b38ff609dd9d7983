"""Recovery times by size of the stored state: of an ingress after a crash, and of the registry after a power loss.

The state is written by the program's own code, into a temporary folder; the process that reads it is a real one.
Seconds count from its start to the last byte of its first response; CPU is the time that the system accounts to it by
then.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import uvloop

from ingress.checkpoint.files import CheckpointFiles
from ingress.checkpoint.source import SharedState
from ingress.checkpoint.writer import CheckpointWriter
from ingress.decisions import gateway
from ingress.decisions.endpoint import Endpoint
from ingress.decisions.events import EndpointListKind, EndpointsChanged
from ingress.decisions.handover_state import CustomerState, QuotaUsage
from ingress.decisions.settings import Settings
from ingress.discovery.client import EndpointList
from ingress.emulator.live.ingress import CLOCK_TICKS_PER_S
from ingress.emulator.live.upgrades import (
    CLIENT_PORT,
    IngressProcesses,
    ResponseCounts,
    SequentialClient,
    prepared_ingress,
)
from ingress.endpoint_registry.store import Store
from ingress.errors import IngressError
from ingress.runtime.clock import unix_clock

START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.002
PROBE_CUSTOMER = 1 << 32  # above the numbers of the customers in a checkpoint
SNAPSHOT_INTERVAL_S = 1e9  # no periodic snapshot during the measurement


class TooSlowError(IngressError):
    """A process did not answer in time, or recovered something other than the stored state."""


@dataclass(frozen=True)
class StartMeasurement:
    """The measurement of one start of a process.

    Attributes:
        what: The process that was started.
        size: The number of customers or list entries in the stored state.
        seconds: The time to the first response.
        cpu: The CPU time in seconds used by then.
        kept: The size of the stored state on disk in bytes.
        memory: The memory of the process at its first response in bytes.
    """

    what: str
    size: int
    seconds: float
    cpu: float
    kept: int
    memory: int


class GatewaySource:
    """A checkpoint source: a gateway with so many customers, each of which has spent one unit."""

    def __init__(self, settings: Settings, servers: list[dict[str, Any]], customers: int) -> None:
        self.clock = unix_clock()
        self.gateway = gateway.Gateway(settings, 1)
        self.addresses = {row["id"]: row["addr"].split(":") for row in servers}
        self.gateway.handle(
            self.clock(), EndpointsChanged(EndpointListKind.RESTORED, tuple(Endpoint(name) for name in self.addresses))
        )
        for number in range(customers):
            self.gateway.handle(self.clock(), QuotaUsage(f"{number:016x}", settings.plans[0].name, 1, 1.0, True))

    def customer_names(self) -> list[str]:
        """Return the names of all customers that have a state."""
        return list(self.gateway.customers)

    def customer_states(self, names: Iterable[str]) -> list[CustomerState]:
        """Return the states of these customers."""
        return self.gateway.customer_states(self.clock(), names)

    def shared_state(self) -> SharedState:
        """Return the part of a snapshot in addition to the customers."""
        servers = self.gateway.cluster.endpoints.by_id.values()
        addresses = {name: (host, int(port)) for name, (host, port) in self.addresses.items()}
        return SharedState(
            self.gateway.handover_state(self.clock(), customers=False),
            EndpointList(1, True, tuple(server.info for server in servers), addresses),
        )

    def persistence_changed(self, enabled: bool) -> None:
        """Ignore the change; nothing depends on it here."""
        pass


async def write_checkpoint(folder: Path, state: GatewaySource) -> int:
    """Write a checkpoint as left by a process killed right after its snapshot; return the snapshot size in bytes."""
    writer = CheckpointWriter(CheckpointFiles(folder, "n0"), SNAPSHOT_INTERVAL_S, state, state.clock)
    writer.acquire()
    writer.begin_first_log(1, 0)
    await writer.snapshot()
    for descriptor in (writer.log_descriptor, writer.lock_descriptor):
        os.close(descriptor)
    return writer.snapshot_bytes


async def measure_ingress_start(customers: int | None) -> StartMeasurement:
    """Measure the start of an ingress after a crash.

    Args:
        customers: The number of customers in its checkpoint; None starts it without a checkpoint.

    Raises:
        TooSlowError: It does not answer in time, or its log does not show the customers as recovered.
    """
    with tempfile.TemporaryDirectory() as checkpoint_folder:
        extra_keys = {} if customers is None else {"checkpoint": {"folder": checkpoint_folder, "every_s": 3600.0}}
        async with prepared_ingress(extra_keys=extra_keys) as processes:
            settings = slow_refill_settings(processes)
            size = 0
            if customers is not None:
                size = await write_checkpoint(
                    Path(checkpoint_folder), GatewaySource(settings, processes.servers, customers)
                )
            started_at = time.monotonic()
            task = asyncio.create_task(processes.start())
            counts = ResponseCounts()
            client = SequentialClient((processes.host, CLIENT_PORT), counts)
            while not counts.answered and time.monotonic() - started_at < START_TIMEOUT_S:
                await client.send_request(PROBE_CUSTOMER, "wide")
                await asyncio.sleep(POLL_INTERVAL_S)
            seconds = time.monotonic() - started_at
            if not counts.answered:
                raise TooSlowError(
                    f"the ingress with {customers or 0} customers in its checkpoint did not answer within "
                    f"{START_TIMEOUT_S:g} s"
                )
            [process] = processes.spawned
            cpu, memory = process.resource_usage()
            await task
            client.close()
            log_text = (processes.folder / "p1.log").read_text(encoding="utf-8")
            if customers and f"{customers} customers" not in log_text:
                raise TooSlowError(
                    f"the log of the ingress does not show {customers} recovered customers: {log_text[-300:]}"
                )
            return StartMeasurement(
                "ingress" if customers is not None else "ingress, nothing kept",
                customers or 0,
                seconds,
                cpu,
                size,
                memory,
            )


def slow_refill_settings(processes: IngressProcesses) -> Settings:
    """Slow down the refill of the first plan and return the settings.

    The plans normally refill too fast for a spent unit to be visible in a checkpoint.
    """
    processes.refill_per_s = 1e-3
    return processes.settings()


def _fill_store(folder: Path, entries: int) -> None:
    """Create a store of the registry with so many entries."""
    store = Store(folder)
    store.write(store.version + 1, ((_registry_entry(number), 0.0) for number in range(entries)))
    store.close()


def _registry_entry(number: int) -> dict[str, object]:
    return {
        "id": f"s-{number:08x}",
        "addr": f"127.0.{number // 250 % 250}.{number % 250 + 1}:6379",
        "zone": "a",
        "kind": "m",
        "cell": number,
        "state": "ready",
        "weight": 1.0,
        "started_ms": 0,
    }


async def measure_registry_start(entries: int) -> StartMeasurement:
    """Measure the start of the registry on a store with so many entries, up to its first complete list.

    Raises:
        TooSlowError: It exits or does not answer in time, or its list has another number of entries.
    """
    with tempfile.TemporaryDirectory() as folder:
        _fill_store(Path(folder), entries)
        size = sum(path.stat().st_size for path in Path(folder).iterdir())
        port = _free_port()
        started_at = time.monotonic()
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ingress.endpoint_registry",
            "--listen",
            f"127.0.0.1:{port}",
            "--data",
            folder,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            while True:
                with contextlib.suppress(OSError):
                    body = await _get_list(port)
                    break
                if child.returncode is not None or time.monotonic() - started_at > START_TIMEOUT_S:
                    raise TooSlowError(
                        f"the list service on port {port} did not answer (exit status {child.returncode}); it needs "
                        "requirements-registry.txt"
                    )
                await asyncio.sleep(POLL_INTERVAL_S)
            seconds = time.monotonic() - started_at
            if body.count(b'"s-') != entries:
                raise TooSlowError(f"the list has {body.count(b's-')} entries; expected {entries}")
            cpu, memory = _resource_usage(child.pid)
            return StartMeasurement("list service", entries, seconds, cpu, size, memory)
        finally:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
            await child.wait()


def _free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def _get_list(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /api/targets HTTP/1.1\r\nHost: list\r\nConnection: close\r\n\r\n")
        return await reader.read()
    finally:
        writer.close()


def _resource_usage(pid: int) -> tuple[float, int]:
    # The fields of proc(5) after the command: utime and stime in clock ticks, rss in pages.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(fields[21]) * os.sysconf("SC_PAGE_SIZE")


def measure(sizes: list[int]) -> list[dict[str, Any]]:
    """Measure a start of both programs for each size, and one of an ingress without a checkpoint.

    Raises:
        TooSlowError: A process did not answer in time, or recovered something other than the stored state.
    """

    async def run() -> list[StartMeasurement]:
        return [
            await measure_ingress_start(None),
            *[await measure_ingress_start(size) for size in sizes],
            *[await measure_registry_start(size) for size in sizes],
        ]

    return [asdict(measurement) for measurement in uvloop.run(run())]
