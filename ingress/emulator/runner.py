"""Runs an experiment: each version and seed in a process of its own, several at a time; stores the results."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ingress.emulator.experiment import Experiment
from ingress.emulator.results import EXPERIMENT_FILE, Results
from ingress.emulator.versions import lay_out, package_of
from ingress.errors import IngressError

STDERR_TAIL_LINES = 5  # quoted in the error of a run that failed
INTERRUPT_TIMEOUT_S = 10.0
STOP_POLL_INTERVAL_S = 1.0


class RunError(IngressError):
    """A run ended without a result; the message quotes the end of its standard error."""


@dataclass(frozen=True, slots=True)
class Task:
    """One run of an experiment.

    Attributes:
        version: The name of the version.
        seed: The seed of the random draws.
        tree: The source tree of the version.
    """

    version: str
    seed: int
    tree: Path


class Runner:
    """Runs the tasks of an experiment, several at a time.

    Attributes:
        experiment: The experiment to run.
        results: The store of the results.
        jobs: The maximum number of concurrent runs.
        on_end: The callback for each run that ends, with its result or None if it failed.
        failures: The error of each run that failed, one line each.
        stopping: Whether a stop was requested, so that no further run starts.
        children: The processes of the runs in progress.
    """

    def __init__(
        self, experiment: Experiment, results: Results, jobs: int, on_end: Callable[[Task, dict[str, Any] | None], None]
    ) -> None:
        self.experiment = experiment
        self.results = results
        self.jobs = jobs
        self.on_end = on_end
        self.failures: list[str] = []
        self.stopping = False
        self.children: set[asyncio.subprocess.Process] = set()

    def tasks(self, folder: Path) -> list[Task]:
        """List the runs that have no complete result, and lay out the source trees of their versions in `folder`.

        Versions alternate, so that an interrupted experiment has pairs to compare.
        """
        trees = {version.name: lay_out(version.revision, folder) for version in self.experiment.versions}
        done = self.results.done()
        return [
            Task(name, seed, tree)
            for seed in self.experiment.seeds
            for name, tree in trees.items()
            if (name, seed) not in done
        ]

    async def run(self, tasks: list[Task]) -> None:
        """Run all tasks; SIGINT and SIGTERM stop it."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, self.stop)
        slots = asyncio.Semaphore(self.jobs)
        try:
            async with asyncio.TaskGroup() as group:
                for task in tasks:
                    group.create_task(self._run_task(task, slots))
        finally:
            for signal_number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(signal_number)

    def stop(self) -> None:
        """Start no further run, and interrupt those in progress so that they print what they have measured."""
        self.stopping = True
        for child in self.children:
            with contextlib.suppress(ProcessLookupError):
                child.send_signal(signal.SIGINT)

    async def _run_task(self, task: Task, slots: asyncio.Semaphore) -> None:
        async with slots:
            if self.stopping:
                return
            try:
                result = await self._run_process(task)
            except RunError as error:
                self.failures.append(f"{task.version}, seed {task.seed}: {error}")
                self.on_end(task, None)
                return
            self.results.add(task.version, task.seed, result)
            self.on_end(task, result)

    async def _run_process(self, task: Task) -> dict[str, Any]:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"{package_of(task.tree)}.emulator.play",
            str(self.results.folder / EXPERIMENT_FILE),
            str(task.seed),
            str(self.results.folder),
            task.version,
            cwd=task.tree,
            env=os.environ | {"PYTHONPATH": str(task.tree), "PYTHONHASHSEED": "0"},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,  # an interrupt from the terminal reaches the process only through `stop`
        )
        self.children.add(child)
        if self.stopping:
            self.stop()
        try:
            communication = asyncio.create_task(child.communicate())
            while not communication.done():
                await asyncio.wait(
                    {communication}, timeout=INTERRUPT_TIMEOUT_S if self.stopping else STOP_POLL_INTERVAL_S
                )
                if self.stopping and not communication.done():
                    child.kill()
            stdout, stderr = await communication
        finally:
            self.children.discard(child)
        try:
            result: dict[str, Any] = json.loads(stdout)
        except ValueError:
            stderr_tail = stderr.decode("utf-8", "replace").strip().split("\n")[-STDERR_TAIL_LINES:]
            raise RunError(
                f"run process exited with status {child.returncode} without a result: {' | '.join(stderr_tail)}"
            ) from None
        return result
