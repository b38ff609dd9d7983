"""An open load on an ingress that runs already."""

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
from ingress.emulator.gateways import PendingRequest
from ingress.emulator.kernel import random_streams
from ingress.emulator.live.clients import Caller, Checks
from ingress.emulator.live.kernel import RealKernel
from ingress.emulator.measure import Recorder
from ingress.emulator.network import NetworkModel
from ingress.emulator.rules import RuleChecker
from ingress.emulator.testbed import build_result
from ingress.errors import IngressError


class LoadTargetError(IngressError):
    """The ingress can't be loaded."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def experiment_of(settings: Settings, rate: float, seconds: float, retries: int) -> Experiment:
    """Customers of the settings' plans, each well inside its quota, who ask `rate` first tries a second."""
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


class Load(Checks):
    """Clients alone: servers, list and gateway are somebody else's."""

    def __init__(self, experiment: Experiment, seed: int, address: tuple[str, int]) -> None:
        self.experiment, self.seed, self.kernel = experiment, seed, RealKernel()
        draws = random_streams(seed, ("arrivals", "front", "network"))
        self.record, self.rules = Recorder(), RuleChecker(experiment, mean_work(experiment))
        self.caller = Caller(self.kernel, 0, address, self)
        self.clients = ClientPopulation(
            self.kernel,
            experiment,
            NetworkModel(experiment.network, draws["network"]),
            self.record,
            [self.caller],
            draws["arrivals"],
            draws["front"],
        )
        self.caller.load_balancer = self.clients
        self.caller.up = True
        self.ended_early = asyncio.Event()

    async def play(self) -> dict[str, Any]:
        """Sends the load and waits for the last answers; the result as plain data."""
        began = time.process_time()
        self.clients.start()
        last = self.experiment.seconds + max(c.deadline_s for c in self.experiment.classes)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(last):
                await self.ended_early.wait()
        self.kernel.stop()
        self.caller.close()
        found = build_result(self.kernel, self.seed, self.record, self.rules, time.process_time() - began)
        found["exact"]["whole"] = not self.ended_early.is_set()
        found["late_ms"] = self.kernel.late.percentiles()
        return found

    def dropped(self, _held: PendingRequest) -> None:
        """Counts a connection that ended without an answer."""
        self.record.count(self.kernel.now, "connections that ended without an answer")

    def odd(self, text: str) -> None:
        """Counts a violation of the protocol."""
        self.rules.report_violation("protocol", self.kernel.now, text)


def send_load(path: Path, rate: float, seconds: float, seed: int, retries: int) -> dict[str, Any]:
    """Loads the ingress whose configuration is at `path`; the result as of an experiment's play."""
    try:
        config = load_config(str(path))
        experiment = experiment_of(config.settings, rate, seconds, retries)
    except (ConfigError, ExperimentError) as error:
        raise LoadTargetError(error.faults) from error

    async def day() -> dict[str, Any]:
        try:
            async with asyncio.timeout(2.0):
                _, writer = await asyncio.open_connection(*config.listen)
        except OSError as error:
            raise LoadTargetError([f"nothing answers at {config.listen[0]}:{config.listen[1]}: {error}"]) from None
        writer.close()
        load = Load(experiment, seed, config.listen)
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, load.ended_early.set)
        return await load.play()

    result: dict[str, Any] = uvloop.run(day())
    return result
