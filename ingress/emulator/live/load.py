"""An open load on an ingress that is already running."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from pathlib import Path
from typing import Any

import uvloop

from ingress.configuration.document import ConfigError, load_config
from ingress.decisions.settings import Settings
from ingress.emulator.clients import ClientPopulation, mean_work
from ingress.emulator.experiment import Experiment, ExperimentError, build_experiment
from ingress.emulator.kernel import random_streams
from ingress.emulator.live.clients import ClientConnections, ResponseObserver
from ingress.emulator.live.kernel import RealKernel
from ingress.emulator.measure import Recorder
from ingress.emulator.network import NetworkModel
from ingress.emulator.requests import PendingRequest
from ingress.emulator.rules import RuleChecker
from ingress.emulator.testbed import build_result
from ingress.errors import IngressError

CONNECT_TIMEOUT_S = 2.0


class LoadTargetError(IngressError):
    """The ingress can't be put under load: its configuration is invalid or it does not answer."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def build_load_experiment(settings: Settings, rate: float, seconds: float, retries: int) -> Experiment:
    """Build an experiment whose customers have the plans of the settings.

    Each customer stays well within its quota; together they send `rate` first attempts per second.
    """
    return build_experiment(
        {
            "name": "load",
            "seconds": seconds,
            "fleet": {"gateways": 1, "servers": 1},
            "load": {"rate": rate, "retries": retries, "heavy": 0.0, "spread": 1.0},
            "classes": [
                {
                    "name": c.name,
                    "aim_s": c.latency_objective,
                    "deadline_s": c.deadline,
                    "semantics": c.idempotency.value,
                    "scope": c.key_scope.value,
                    "window_s": c.deduplication_window,
                    "worth": c.priority_weight,
                    "late_worth": c.late_weight_factor,
                }
                for c in settings.classes
            ],
            "plans": [
                {
                    "name": p.name,
                    "rate": p.rate,
                    "burst": p.burst,
                    "at_once": p.concurrency_limit,
                    "price": p.weight_factor,
                    "ceiling_rate": p.ceiling_rate,
                    "ceiling_burst": p.ceiling_burst,
                    "ceiling_slack": p.ceiling_slack,
                }
                for p in settings.plans
            ],
        }
    )


class LoadGenerator(ResponseObserver):
    """Clients only; the servers, the endpoint list and the gateway exist outside this process."""

    def __init__(self, experiment: Experiment, seed: int, address: tuple[str, int]) -> None:
        self.experiment = experiment
        self.seed = seed
        self.kernel = RealKernel()
        streams = random_streams(seed, ("arrivals", "front", "network"))
        self.recorder = Recorder()
        self.rules = RuleChecker(experiment, mean_work(experiment))
        self.connections = ClientConnections(self.kernel, 0, address, self)
        self.clients = ClientPopulation(
            self.kernel,
            experiment,
            NetworkModel(experiment.network, streams["network"]),
            self.recorder,
            [self.connections],
            streams["arrivals"],
            streams["front"],
        )
        self.connections.load_balancer = self.clients
        self.connections.up = True
        self.ended_early = asyncio.Event()

    async def run(self) -> dict[str, Any]:
        """Send the load, wait for the last responses and return the result as plain data."""
        cpu_start_s = time.process_time()
        self.clients.start()
        duration_s = self.experiment.seconds + max(c.deadline_s for c in self.experiment.classes)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await self.ended_early.wait()
        self.kernel.stop()
        self.connections.close()
        result = build_result(self.kernel, self.seed, self.recorder, self.rules, time.process_time() - cpu_start_s)
        result["exact"]["whole"] = not self.ended_early.is_set()
        result["late_ms"] = self.kernel.delays.percentiles()
        return result

    def dropped(self, _pending_request: PendingRequest) -> None:
        """Count a connection that was closed without a response."""
        self.recorder.count(self.kernel.now, "connections that ended without an answer")

    def protocol_violation(self, text: str) -> None:
        """Count a violation of the protocol."""
        self.rules.report_violation("protocol", self.kernel.now, text)


def send_load(path: Path, rate: float, seconds: float, seed: int, retries: int) -> dict[str, Any]:
    """Put the ingress whose configuration is at `path` under load; return a result as of a run of an experiment.

    Raises:
        LoadTargetError: The configuration is invalid, or nothing listens on its address.
    """
    try:
        config = load_config(str(path))
        experiment = build_load_experiment(config.settings, rate, seconds, retries)
    except (ConfigError, ExperimentError) as error:
        raise LoadTargetError(error.faults) from error

    async def run() -> dict[str, Any]:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*config.listen)
        except OSError as error:
            raise LoadTargetError(
                [f"can't connect to the ingress at {config.listen[0]}:{config.listen[1]}: {error}"]
            ) from None
        writer.close()
        generator = LoadGenerator(experiment, seed, config.listen)
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(signal_number, generator.ended_early.set)
        return await generator.run()

    result: dict[str, Any] = uvloop.run(run())
    return result
