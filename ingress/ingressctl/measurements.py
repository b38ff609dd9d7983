"""Commands that measure an ingress under load and upgrades, and recovery after crashes and power loss."""

from __future__ import annotations

import json
import logging
import sys
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

import click
from rich.progress import Progress, TaskID
from rich.table import Table

from ingress.emulator.versions import UnknownRevisionError, lay_out
from ingress.ingressctl.output import Status, err, exit_with_error, log, out, show_violations

MAX_PRINTED_FAULTS = 20
BYTES_PER_KB = 1e3
BYTES_PER_MB = 1e6


@click.command()
@click.argument("config", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--rate",
    type=click.FloatRange(0.1, 100_000),
    default=50.0,
    show_default=True,
    help="New requests per second, retries not counted; sent on schedule whatever the answers are.",
)
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=10.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--retries", type=click.IntRange(0, 20), default=0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the whole result as JSON.")
def load(config: Path, rate: float, seconds: float, seed: int, retries: int, as_json: bool) -> None:
    """Send an open-loop load to the running ingress that CONFIG belongs to.

    Request classes, plans and the address are taken from the file.  Latency is measured from the scheduled time of a
    request, so that a stall of the ingress shows in it.
    """
    from ingress.emulator.live.load import LoadTargetError, send_load

    try:
        result = send_load(config, rate, seconds, seed, retries)
    except LoadTargetError as error:
        exit_with_error(Status.INVALID_INPUT, *error.faults)
    if as_json:
        click.echo(json.dumps(result))
    else:
        _show_load(result)
    if not result["exact"]["whole"]:
        sys.exit(Status.INTERRUPTED)
    if result["exact"]["broken"]:
        sys.exit(Status.RULE_BROKEN)


def _show_load(result: dict[str, Any]) -> None:
    totals = result["exact"]["totals"]
    table = Table("quantity", "value")
    for key in sorted(totals):
        table.add_row(key, f"{totals[key]:g}")
    for key, value in result["exact"]["latency_ms"].get("request", {}).items():
        table.add_row(f"latency {key}", f"{value:g} ms")
    for key, value in result["late_ms"].items():
        table.add_row(f"sent late by, {key}", f"{value:g} ms")
    out.print(table)
    show_violations(Counter(result["exact"]["broken"]))


@click.command()
@click.option(
    "--chain",
    "chains",
    type=click.IntRange(2, 1024),
    multiple=True,
    default=(2, 3, 8),
    show_default=True,
    help="Number of concurrent processes of one ingress; may be given several times.",
)
@click.option(
    "--upgrades",
    "count",
    type=click.IntRange(0, 10_000),
    default=20,
    show_default=True,
    help="Number of consecutive upgrades under load.",
)
@click.option(
    "--clients",
    type=click.IntRange(1, 1000),
    default=5,
    show_default=True,
    help="Number of load connections; the first belongs to a customer that requests more than its ceiling.",
)
@click.option(
    "--from",
    "revision",
    default="",
    metavar="REV",
    help="Run every other process from this git revision, to measure upgrades from it and back to it.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the whole result as JSON.")
def upgrades(chains: tuple[int, ...], count: int, clients: int, revision: str, as_json: bool) -> None:
    """Measure upgrades of one ingress with real processes, some of which are stopped or killed.

    The time to settle (s) ends when all processes report the same membership, in which one leads and one accepts
    connections.  No request may be lost, and no unit may be spent over the ceiling.
    """
    from ingress.emulator.live.ingress import NotReadyError
    from ingress.emulator.live.upgrades import UnsettledError, measure

    try:
        with tempfile.TemporaryDirectory() as trees:
            before_tree = lay_out(revision, Path(trees)) if revision else None
            found = measure(list(chains), count, clients, lambda text: log.info(text), before_tree)
    except UnknownRevisionError as error:
        exit_with_error(Status.INVALID_INPUT, str(error))
    except (UnsettledError, NotReadyError, OSError) as error:
        exit_with_error(Status.FAILED, str(error))
    if as_json:
        click.echo(json.dumps(found))
    else:
        kinds = list(dict.fromkeys(key for row in found["chains"].values() for key in row))
        table = Table("processes", *kinds)
        for size, row in found["chains"].items():
            table.add_row(str(size), *(f"{row[key]:g}" if key in row else "" for key in kinds))
        out.print(table)
        for key, value in found.get("upgrades", {}).items():
            click.echo(f"{key}: {value:g}")
    if found.get("upgrades", {}).get("lost") or found.get("upgrades", {}).get("over"):
        sys.exit(Status.RULE_BROKEN)


def _show_progress(bar: Progress, row: TaskID, done: int, total: int) -> None:
    """Update a row of a progress bar."""
    bar.update(row, completed=done, total=total)


@click.command()
@click.option(
    "--writes",
    type=click.IntRange(1, 10_000),
    default=24,
    show_default=True,
    help="Number of writes in the tested history.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of which data is lost or torn.")
@click.option(
    "--lies", is_flag=True, help="Emulate a disk that confirms writes as durable but keeps them only by chance."
)
def power(writes: int, seed: int, lies: bool) -> None:
    """Simulate a power loss of the list service's store after each of its disk operations.

    On a disk that keeps its promises, nothing that was acknowledged may be lost. On one that doesn't, the store must be
    refused, quarantined, or in an earlier state. On both, later versions must be above all versions handed out before.
    """
    from ingress.emulator.power import lose_power_at_each_step

    logging.disable(logging.ERROR)  # quarantined stores are counted instead of logged
    with tempfile.TemporaryDirectory() as folder, Progress(console=err, transient=True) as bar:
        row = bar.add_task("operations", total=None)
        found = lose_power_at_each_step(Path(folder), writes, seed, lies, partial(_show_progress, bar, row))
    logging.disable(logging.NOTSET)
    ends = ", ".join(f"{count} {how}" for how, count in sorted(found.ends.items()))
    click.echo(f"{found.plays} losses of power ({ends}), {len(found.wrong)} of them wrong")
    for line in found.wrong[:MAX_PRINTED_FAULTS]:
        click.echo(line)
    if found.wrong:
        sys.exit(Status.RULE_BROKEN)


@click.command()
@click.option(
    "--size",
    "sizes",
    type=click.IntRange(1, 1_000_000),
    multiple=True,
    default=(10, 1_000, 100_000),
    show_default=True,
    help="Customers per checkpoint, and entries per endpoint list; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def recovery(sizes: tuple[int, ...], as_json: bool) -> None:
    """Start an ingress after a crash, and the list service, with saved states of each size.

    Reports the time and the CPU time until the first answer, and the space used on disk and in memory.
    """
    from ingress.emulator.live.ingress import NotReadyError
    from ingress.emulator.live.recovery import TooSlowError, measure

    try:
        rows = measure(list(sizes))
    except (TooSlowError, NotReadyError, OSError) as error:
        exit_with_error(Status.FAILED, str(error))
    if as_json:
        click.echo(json.dumps(rows))
        return
    table = Table("start of", "size", "time, s", "CPU time, s", "on disk, kB", "memory, MB")
    for row in rows:
        table.add_row(
            row["what"],
            f"{row['size']}",
            f"{row['seconds']:.3f}",
            f"{row['cpu']:.2f}",
            f"{row['kept'] / BYTES_PER_KB:.1f}",
            f"{row['memory'] / BYTES_PER_MB:.1f}",
        )
    out.print(table)
