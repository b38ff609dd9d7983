"""Commands that play experiments and write their reports."""

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

from ingress.emulator.compare import FIGURES, compare, figures
from ingress.emulator.experiment import Experiment, ExperimentError, load_experiment
from ingress.emulator.results import Results, ResultsError
from ingress.emulator.runner import Runner, Task
from ingress.emulator.shrink import shrink, to_toml
from ingress.emulator.versions import UnknownRevisionError
from ingress.ingressctl.output import Status, err, log, out, show_broken_rules, show_figures, stop

RESULTS = Path("found")  # folder of all results, below the one where the command runs
MAX_JOBS = 256


def read_experiment(path: Path) -> Experiment:
    """Reads an experiment; ends the program with every fault of it."""
    try:
        return load_experiment(path)
    except ExperimentError as error:
        stop(Status.BAD_INPUT, *error.faults)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--seed", type=int, help="Of this play; without it the experiment's first.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole result as JSON.")
@click.option(
    "--shrink",
    "smaller",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Where a rule breaks: write the smallest experiment found that still breaks it here.",
)
def emulate(file: Path, seed: int | None, as_json: bool, smaller: Path | None) -> None:
    """Plays FILE once in simulated time, with the decisions of this work tree.

    The same seed gives the same play, to the last event.
    """
    from ingress.emulator.world import Simulation

    experiment = read_experiment(file)
    if experiment.sockets:
        stop(Status.BAD_INPUT, f"{file}: sockets = true: play it with `ingressctl experiment`")
    seed = experiment.seeds[0] if seed is None else seed
    world = Simulation(experiment, seed)
    signal.signal(signal.SIGINT, lambda *_: world.interrupt())
    result = world.run()
    signal.signal(signal.SIGINT, signal.default_int_handler)
    if as_json:
        click.echo(json.dumps(result))
    else:
        show_figures({f"seed {seed}": figures(result, _first_fault(experiment))})
        show_broken_rules(Counter(result["exact"]["broken"]))
    if not result["exact"]["whole"]:
        sys.exit(Status.INTERRUPTED)
    if result["exact"]["broken"]:
        if smaller is not None:
            rule = max(result["exact"]["broken"], key=result["exact"]["broken"].get)
            log.info("shrinks", rule=rule)
            found = shrink(
                experiment,
                rule,
                lambda one: dict(Simulation(one, seed).run()["exact"]["broken"]),
                report=lambda text: log.info("smaller", by=text),
            )
            smaller.write_text(to_toml(found.model_copy(update={"seeds": [seed]})), encoding="utf-8")
            click.echo(f"the smallest found: {smaller}")
        sys.exit(Status.RULE_BROKEN)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--to",
    "folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder of the results; without it one below found/, named after the experiment.",
)
@click.option(
    "--jobs",
    type=click.IntRange(1, MAX_JOBS),
    default=max(1, (os.cpu_count() or 2) // 2),
    show_default=True,
    help="Plays at once.  On real sockets one at a time is truest.",
)
@click.option("--quiet", is_flag=True, help="No progress bar.")
def experiment(file: Path, folder: Path | None, jobs: int, quiet: bool) -> None:
    """Plays every seed and version of FILE, and writes a report.

    Each play is kept as soon as it ends.  After an interruption the same command goes on where it stopped.
    """
    spec = read_experiment(file)
    folder = folder or RESULTS / f"{''.join(c if c.isalnum() else '-' for c in spec.name)}-{spec.digest()}"
    try:
        results = Results(folder, spec)
        with tempfile.TemporaryDirectory() as trees:
            status = asyncio.run(_plays(spec, results, Path(trees), jobs, quiet))
    except (ResultsError, UnknownRevisionError, OSError) as error:
        stop(Status.BAD_INPUT, str(error))
    if results.rows:
        status = max(status, _summary(spec, results))
        click.echo(f"report: {_report(folder)}")
    sys.exit(status)


async def _plays(spec: Experiment, results: Results, trees: Path, jobs: int, quiet: bool) -> int:
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


def _summary(spec: Experiment, results: Results) -> int:
    """Prints figures and differences; the status that broken rules ask for."""
    measured: dict[str, dict[int, dict[str, float]]] = {version.name: {} for version in spec.versions}
    broken: Counter[str] = Counter()
    for row in results.rows:
        measured[row["version"]][row["seed"]] = figures(row["result"], _first_fault(spec))
        broken.update(row["result"]["exact"]["broken"])
    measured = {name: plays for name, plays in measured.items() if plays}
    show_figures(
        {
            f"{name} ({len(plays)})": {key: sum(one[key] for one in plays.values()) / len(plays) for key in FIGURES}
            for name, plays in measured.items()
        }
    )
    base, *others = measured
    for name in others:
        table = Table(
            "figure",
            base,
            name,
            "difference",
            "95% of resamples",
            "better on",
            title=f"{name} beside {base}, paired by seed",
        )
        for one in compare(measured[base], measured[name]):
            table.add_row(
                one.figure,
                f"{one.before:.4g}",
                f"{one.after:.4g}",
                f"{one.after - one.before:+.4g}",
                f"{one.low:+.4g} to {one.high:+.4g}" if one.pairs > 1 else "one pair",
                f"{one.better} of {one.pairs}",
            )
        out.print(table)
    show_broken_rules(broken)
    return Status.RULE_BROKEN if broken else 0


def _first_fault(spec: Experiment) -> float:
    return min((fault.at for fault in spec.faults), default=0.0)


def _report(folder: Path) -> Path:
    from ingress.emulator.report import make_report

    return make_report(folder)


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--follow", metavar="ID", help="Follow one request through clients, ingresses and servers instead.")
def report(folder: Path, follow: str | None) -> None:
    """Writes the report of the results in FOLDER: one page, and its plots beside it."""
    if follow is not None:
        from ingress.emulator.follow import follow as lines

        found = list(lines(folder, follow))
        if not found:
            stop(Status.BAD_INPUT, f"no line of {folder} tells of {follow}")
        for line in found:
            click.echo(line)
        return
    try:
        click.echo(f"report: {_report(folder)}")
    except (ResultsError, ExperimentError) as error:
        stop(Status.BAD_INPUT, str(error))
