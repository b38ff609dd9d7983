"""One real ingress process in an experiment: its configuration, process, signals and log."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from ingress.decisions.settings import Settings
from ingress.emulator.versions import PACKAGE, package_of
from ingress.errors import IngressError
from ingress.runtime.sockets import Address

READY_TIMEOUT_S = 15.0
READY_POLL_INTERVAL_S = 0.05
ADMIN_TIMEOUT_S = 2.0
RESOURCE_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class NotReadyError(IngressError):
    """The process did not become ready; the message contains the last lines of its log."""


def config_settings(
    settings: Settings, connect_timeout_s: float, idle_timeout_s: float, max_connections: int = 20_000
) -> dict[str, Any]:
    """Return the settings in the form of the configuration file."""
    return {
        "balancers": settings.gateway_count,
        "self-index": settings.gateway_index,
        "zone": settings.zone,
        "tick-s": settings.timer_resolution,
        "membership-mode": "pushed",
        "categories": [
            {
                "name": c.name,
                "aim-s": c.latency_objective,
                "give-up-s": c.deadline,
                "importance": c.priority_weight,
                "late-worth": c.late_weight_factor,
                "semantics": c.idempotency.value,
                "key-scope": c.key_scope.value,
                "dedup-window-s": c.deduplication_window,
                "stream": c.stream,
            }
            for c in settings.classes
        ],
        "contracts": [
            {
                "name": p.name,
                "refill": p.rate,
                "burst": p.burst,
                "at-once": p.concurrency_limit,
                "worth-factor": p.weight_factor,
                "over-worth": p.over_quota_value,
                "excess-cost": p.over_quota_cost,
                "hard-rate": p.ceiling_rate,
                "ceiling-burst": p.ceiling_burst,
                "cap-slack": p.ceiling_slack,
            }
            for p in settings.plans
        ],
        "limits": {
            "max-attempts": settings.max_attempts,
            "second-copies": settings.hedging_allowed,
            "cancel": settings.cancellation_allowed,
            "probing": settings.health_checks_allowed,
            "connect-timeout-s": connect_timeout_s,
            "keepalive-s": idle_timeout_s,
            "max-open": max_connections,
        },
        "rules": {
            "answer-slack-s": settings.answer_slack,
            "drain-grace-s": settings.drain_grace,
            "cold-s": settings.slow_start_duration,
            "start-capacity": settings.slow_start_initial_capacity,
            "overload-factor": settings.overload_factor,
            "fall-s": settings.overload_window,
            "ask-within-s": settings.discovery_poll_deadline,
        },
        "family-info": {
            "counter": settings.counter_available,
            "count-wait-s": settings.counter_timeout,
            "most-units": settings.max_request_units,
        },
        "prices": {"probe": settings.health_check_cost},
    }


async def call_admin(address: Address, line: str) -> str:
    """Send one line to an admin server and return its response.

    Raises:
        TimeoutError: The admin server does not answer in time.
        OSError: The connection fails.
    """
    async with asyncio.timeout(ADMIN_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(line.encode() + b"\n")
            return (await reader.read()).decode("utf-8", "replace")
        finally:
            writer.close()


class IngressProcess:
    """A real process of an ingress.

    Attributes:
        folder: The folder of the configuration file and the log; a later start appends to the log.
        label: The name of both files; processes of the same ingress share their name and temporary folder, not the
            label.
        exit_expected: Whether this object has sent the signal that ends the process.
        killed_cpu_s: The CPU time in seconds of the processes that were ended by SIGKILL.
    """

    def __init__(
        self,
        name: str,
        listen: Address,
        control: Address,
        folder: Path,
        label: str = "",
        source_tree: Path | None = None,
    ) -> None:
        """Prepare a process; with `source_tree`, it runs the package in that folder in place of this one."""
        self.source_tree = source_tree
        self.name = name
        self.listen = listen
        self.control = control
        self.folder = folder
        self.label = label or name
        self.config_path = folder / f"{self.label}.json"
        self.child: asyncio.subprocess.Process | None = None
        self.exit_expected = False
        self.killed_cpu_s = 0.0

    def write_config(
        self,
        discovery: Address,
        counter: Address | None,
        endpoint_list: dict[str, object],
        seed: int,
        settings: dict[str, Any],
        **extra_keys: Any,
    ) -> None:
        """Write the configuration file and put it in place by a rename; `extra_keys` holds further keys of it."""
        source = {
            "name": self.name,
            "listen": f"{self.listen[0]}:{self.listen[1]}",
            "control": f"{self.control[0]}:{self.control[1]}",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "seed": f"{seed:016x}",
            "limits": RESOURCE_LIMITS,
            "known": endpoint_list,
            "settings": settings,
        } | extra_keys
        if counter is not None:
            source["counter"] = f"{counter[0]}:{counter[1]}"
        temporary_file = self.config_path.with_suffix(".draft")
        temporary_file.write_text(json.dumps(source), encoding="utf-8")
        temporary_file.replace(self.config_path)

    async def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            NotReadyError: The process exits, or is not ready in time.
        """
        self.exit_expected = False
        temporary_folder = self.folder / f"{self.name}.tmp"
        temporary_folder.mkdir(exist_ok=True)
        with (self.folder / f"{self.label}.log").open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                package_of(self.source_tree) if self.source_tree else PACKAGE,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                cwd=self.source_tree,
                env=os.environ
                | {"EDGE_CONFIG": str(self.config_path), "TMPDIR": str(temporary_folder), "EDGE_LOG": "requests"},
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while True:
                    with contextlib.suppress(OSError):
                        if (await call_admin(self.control, "ready")).startswith("ok"):
                            return
                    if self.child.returncode is not None:
                        break
                    await asyncio.sleep(READY_POLL_INTERVAL_S)
        except TimeoutError:
            pass
        raise NotReadyError(
            f"{self.label} did not become ready within {READY_TIMEOUT_S:g} s (exit status {self.child.returncode}): "
            f"{self.log_tail()}"
        )

    def log_tail(self) -> str:
        """Return the last lines of the log, for an error message."""
        text = (self.folder / f"{self.label}.log").read_text(encoding="utf-8", errors="replace")
        return " | ".join(text.strip().split("\n")[-3:])

    def is_running(self) -> bool:
        """Report whether the process has been started and has not exited."""
        return self.child is not None and self.child.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.child is not None and self.is_running():
            if signal_number in (signal.SIGKILL, signal.SIGTERM):
                self.exit_expected = True
            if signal_number is signal.SIGKILL:
                self.killed_cpu_s += self.resource_usage()[0]
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(signal_number)

    async def wait_exit(self, timeout_s: float) -> int | None:
        """Wait for the process to exit and return its status, or None if it was never started or still runs."""
        if self.child is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.child.wait()
        except TimeoutError:
            return None

    def resource_usage(self) -> tuple[float, int]:
        """Return the CPU time in seconds and the resident memory in bytes; zeros if the process does not run."""
        if self.child is None or not self.is_running():
            return 0.0, 0
        try:
            # The fields of proc(5) after the command: utime and stime in clock ticks, rss in pages.
            fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, ValueError, IndexError):
            return 0.0, 0
