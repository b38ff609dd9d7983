"""Commands that run experiments and write reports on them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import click
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn, TimeRemainingColumn
from rich.table import Table

from ingress.emulator.compare import METRICS, compare, compute_metrics
from ingress.emulator.experiment import Experiment, ExperimentError, load_experiment
from ingress.emulator.results import Results, ResultsError
from ingress.emulator.runner import Runner, Task
from ingress.emulator.shrink import shrink, to_toml
from ingress.emulator.versions import UnknownRevisionError
from ingress.ingressctl.output import Status, err, exit_with_error, log, out, show_metrics, show_violations

RESULTS_FOLDER = Path("found")  # relative to the working directory; has one folder per experiment
MAX_JOBS = 256


def read_experiment(path: Path) -> Experiment:
    """Return the experiment in a file; if it is invalid, print every fault and exit."""
    try:
        return load_experiment(path)
    except ExperimentError as error:
        exit_with_error(Status.INVALID_INPUT, *error.faults)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--seed", type=int, help="Seed of this run; defaults to the first seed of the experiment.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole result as JSON.")
@click.option(
    "--shrink",
    "shrunk_path",
    type=click.Path(path_type=Path, dir_okay=False),
    help="If a rule is violated, write the smallest experiment found that still violates it to this file.",
)
def emulate(file: Path, seed: int | None, as_json: bool, shrunk_path: Path | None) -> None:
    """Run the experiment FILE once in simulated time, with the decision modules of this work tree.

    The same seed gives exactly the same run, event by event.
    """
    from ingress.emulator.world import Simulation

    experiment = read_experiment(file)
    if experiment.sockets:
        exit_with_error(Status.INVALID_INPUT, f"{file}: sockets = true; run it with `ingressctl experiment`")
    seed = experiment.seeds[0] if seed is None else seed
    world = Simulation(experiment, seed)
    signal.signal(signal.SIGINT, lambda *_: world.interrupt())
    result = world.run()
    signal.signal(signal.SIGINT, signal.default_int_handler)
    if as_json:
        click.echo(json.dumps(result))
    else:
        show_metrics({f"seed {seed}": compute_metrics(result, _first_fault(experiment))})
        show_violations(Counter(result["exact"]["broken"]))
    if not result["exact"]["whole"]:
        sys.exit(Status.INTERRUPTED)
    if result["exact"]["broken"]:
        if shrunk_path is not None:
            rule = max(result["exact"]["broken"], key=result["exact"]["broken"].get)
            log.info("shrinks", rule=rule)
            smallest = shrink(
                experiment,
                rule,
                lambda candidate: dict(Simulation(candidate, seed).run()["exact"]["broken"]),
                report=lambda text: log.info("smaller", by=text),
            )
            shrunk_path.write_text(to_toml(smallest.model_copy(update={"seeds": [seed]})), encoding="utf-8")
            click.echo(f"smallest experiment found: {shrunk_path}")
        sys.exit(Status.RULE_BROKEN)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--to",
    "folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for the results; defaults to one named after the experiment, below found/.",
)
@click.option(
    "--jobs",
    type=click.IntRange(1, MAX_JOBS),
    default=max(1, (os.cpu_count() or 2) // 2),
    show_default=True,
    help="Concurrent runs.  On real sockets, one at a time gives the most accurate results.",
)
@click.option("--quiet", is_flag=True, help="Don't show a progress bar.")
def experiment(file: Path, folder: Path | None, jobs: int, quiet: bool) -> None:
    """Run every seed and version of the experiment FILE, and write a report.

    The result of each run is saved as soon as the run ends.  After an interruption, the same command continues with the
    runs that are missing.
    """
    spec = read_experiment(file)
    folder = folder or RESULTS_FOLDER / f"{''.join(c if c.isalnum() else '-' for c in spec.name)}-{spec.digest()}"
    try:
        results = Results(folder, spec)
        with tempfile.TemporaryDirectory() as trees:
            status = asyncio.run(_run_all(spec, results, Path(trees), jobs, quiet))
    except (ResultsError, UnknownRevisionError, OSError) as error:
        exit_with_error(Status.INVALID_INPUT, str(error))
    if results.rows:
        status = max(status, _print_summary(spec, results))
        click.echo(f"report: {_write_report(folder)}")
    sys.exit(status)


async def _run_all(spec: Experiment, results: Results, trees: Path, jobs: int, quiet: bool) -> int:
    """Run all seeds and versions that have no result yet; return the exit status."""
    bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        TimeRemainingColumn(),
        console=err,
        disable=quiet,
    )

    def on_end(task: Task, result: dict[str, Any] | None) -> None:
        bar.advance(row)
        if result is None:
            log.error("failed", version=task.version, seed=task.seed, why=runner.failures[-1])
        elif result["exact"]["broken"]:
            log.warning("broken", version=task.version, seed=task.seed, rules=result["exact"]["broken"])

    runner = Runner(spec, results, jobs, on_end)
    tasks = runner.tasks(trees)
    with bar:
        row = bar.add_task(spec.name, total=len(tasks))
        await runner.run(tasks)
    return Status.INTERRUPTED if runner.stopping else Status.FAILED if runner.failures else 0


def _print_summary(spec: Experiment, results: Results) -> int:
    """Print the metrics and their differences between versions; return RULE_BROKEN if any rule was violated, else 0."""
    measured: dict[str, dict[int, dict[str, float]]] = {version.name: {} for version in spec.versions}
    broken: Counter[str] = Counter()
    for row in results.rows:
        measured[row["version"]][row["seed"]] = compute_metrics(row["result"], _first_fault(spec))
        broken.update(row["result"]["exact"]["broken"])
    measured = {name: runs for name, runs in measured.items() if runs}
    show_metrics(
        {
            f"{name} ({len(runs)})": {key: sum(run[key] for run in runs.values()) / len(runs) for key in METRICS}
            for name, runs in measured.items()
        }
    )
    baseline, *others = measured
    for name in others:
        table = Table(
            "metric",
            baseline,
            name,
            "difference",
            "95% of resamples",
            "better on",
            title=f"{name} beside {baseline}, paired by seed",
        )
        for difference in compare(measured[baseline], measured[name]):
            table.add_row(
                difference.metric,
                f"{difference.before:.4g}",
                f"{difference.after:.4g}",
                f"{difference.after - difference.before:+.4g}",
                f"{difference.low:+.4g} to {difference.high:+.4g}" if difference.pairs > 1 else "one pair",
                f"{difference.better} of {difference.pairs}",
            )
        out.print(table)
    show_violations(broken)
    return Status.RULE_BROKEN if broken else 0


def _first_fault(spec: Experiment) -> float:
    """Return the time of the first fault (s from the start of the run), or 0 without faults."""
    return min((fault.at for fault in spec.faults), default=0.0)


def _write_report(folder: Path) -> Path:
    from ingress.emulator.report import make_report

    return make_report(folder)


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option(
    "--follow", metavar="ID", help="Instead, print the events of one request at clients, ingresses and servers."
)
def report(folder: Path, follow: str | None) -> None:
    """Write the report on the results in FOLDER: an HTML page and its plots, in the same folder."""
    if follow is not None:
        from ingress.emulator.follow import request_trace

        lines = list(request_trace(folder, follow))
        if not lines:
            exit_with_error(Status.INVALID_INPUT, f"no line in {folder} mentions request {follow}")
        for line in lines:
            click.echo(line)
        return
    try:
        click.echo(f"report: {_write_report(folder)}")
    except (ResultsError, ExperimentError) as error:
        exit_with_error(Status.INVALID_INPUT, str(error))
