"""Report of an experiment: one HTML page, and its plots as PNG files."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import mean
from typing import Any

import jinja2
import matplotlib as mpl
from hdrh.histogram import HdrHistogram

from ingress.emulator.compare import METRICS, compare, compute_metrics
from ingress.emulator.experiment import Experiment, load_experiment
from ingress.emulator.measure import decode_histogram, new_histogram
from ingress.emulator.results import EXPERIMENT_FILE, RUNS_FILE, ResultsError, read_runs

mpl.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

PAGE_FILE = "report.html"
PERCENTILES = [0.0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99]
PLOT_SIZE_INCHES = (9.0, 3.6)
PLOT_DPI = 110
MIN_FAULT_WIDTH_S = 0.1  # keeps faults without a duration visible
MID_SECOND = 0.5
END_OF_SECOND = 1.0
HEALTH_STATES = ("healthy", "suspect", "ejected", "trial")

Series = list[dict[str, float]]


def make_report(folder: Path) -> Path:
    """Write the report of a folder of results into that folder, and return the path of the page.

    Raises:
        ResultsError: The results can't be read, or contain no run.
        ExperimentError: The description of the experiment can't be read, or is not valid.
    """
    experiment = load_experiment(folder / EXPERIMENT_FILE)
    rows = read_runs(folder / RUNS_FILE)
    if not rows:
        raise ResultsError(f"{folder / RUNS_FILE} contains no runs")
    first_fault = min((fault.at for fault in experiment.faults), default=0.0)
    names = [version.name for version in experiment.versions]
    by_version = {name: [row for row in rows if row["version"] == name] for name in names}
    by_version = {name: version_rows for name, version_rows in by_version.items() if version_rows}
    plots = _plots(folder, experiment, by_version)
    measured = {
        name: {row["seed"]: compute_metrics(row["result"], first_fault) for row in version_rows}
        for name, version_rows in by_version.items()
    }
    base, *others = measured
    page = (
        _environment()
        .get_template("report.html")
        .render(
            experiment=experiment,
            first_fault=first_fault,
            plots=plots,
            meanings=METRICS,
            means={
                name: {key: mean(run[key] for run in runs.values()) for key in METRICS}
                for name, runs in measured.items()
            },
            ranges={
                name: {
                    key: (min(run[key] for run in runs.values()), max(run[key] for run in runs.values()))
                    for key in METRICS
                }
                for name, runs in measured.items()
            },
            counts={name: len(runs) for name, runs in measured.items()},
            differences={name: compare(measured[base], measured[name]) for name in others},
            base=base,
            interrupted=[row for row in rows if not row["result"]["exact"]["whole"]],
            violations=[
                (row["version"], row["seed"], violation)
                for row in rows
                for violation in row["result"]["exact"]["breaks"]
            ],
        )
    )
    path = folder / PAGE_FILE
    path.write_text(page, encoding="utf-8")
    return path


def _environment() -> jinja2.Environment:
    return jinja2.Environment(
        loader=jinja2.PackageLoader("ingress.emulator"),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )


def _plots(folder: Path, experiment: Experiment, by_version: dict[str, list[dict[str, Any]]]) -> list[tuple[str, str]]:
    """Draw all plots; return the name of each file with its title."""
    series = {
        name: [
            row for row in merge(run["result"]["exact"]["series"] for run in rows) if row["second"] < experiment.seconds
        ]
        for name, rows in by_version.items()
    }
    plots = [("latency.png", "Latency of served requests, from the time they were due to be sent")]
    _plot_latency(folder / plots[0][0], {name: _total_latency(rows) for name, rows in by_version.items()})
    for name, rows in series.items():
        for kind, title, draw in (
            ("ends", "Outcomes of client attempts", _plot_outcomes),
            ("refusals", "Refusals by reason", _plot_refusals),
            ("states", "Health of servers as seen by gateways", _plot_health),
            ("answers", "Mean response time, warm and cold servers", _plot_response_times),
        ):
            path = folder / f"{kind}-{name}.png"
            figure, axes = plt.subplots(figsize=PLOT_SIZE_INCHES, layout="constrained")
            draw(axes, rows)
            _mark_faults(axes, experiment)
            axes.set(
                xlabel="time of the run (s)",
                xlim=(0, experiment.seconds),
                title=f"{title}: {name}, mean of {len(by_version[name])} runs",
            )
            axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize="x-small", frameon=False)
            figure.savefig(path, dpi=PLOT_DPI)
            plt.close(figure)
            plots.append((path.name, f"{title}: {name}"))
    return plots


def merge(runs: Iterable[Series]) -> Series:
    """Compute the mean of the series of several runs, second by second."""
    sums: defaultdict[float, defaultdict[str, float]] = defaultdict(lambda: defaultdict(float))
    count = 0
    for run in runs:
        count += 1
        for row in run:
            for key, value in row.items():
                sums[row["second"]][key] += value if key != "second" else 0.0
    return [
        {"second": second, **{key: value / count for key, value in rest.items() if key != "second"}}
        for second, rest in sorted(sums.items())
    ]


def _total_latency(rows: list[dict[str, Any]]) -> HdrHistogram:
    total = new_histogram()
    for row in rows:
        encoded = row["result"]["exact"]["histograms"].get("request")
        if encoded:
            total.add(decode_histogram(encoded))
    return total


def _plot_latency(path: Path, by_version: dict[str, HdrHistogram]) -> None:
    figure, axes = plt.subplots(figsize=PLOT_SIZE_INCHES, layout="constrained")
    for name, latencies in by_version.items():
        if latencies.get_total_count():
            axes.plot(
                [1 / (1 - percentile / 100) for percentile in PERCENTILES],
                [latencies.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES],
                marker="o",
                ms=3,
                label=f"{name} ({latencies.get_total_count()} responses)",
            )
    axes.set(xscale="log", yscale="log", xlabel="percentile", ylabel="ms", title="Latency of served requests")
    axes.set_xticks(
        [1 / (1 - percentile / 100) for percentile in PERCENTILES],
        [f"{percentile:g}" for percentile in PERCENTILES],
        fontsize="small",
    )
    axes.minorticks_off()
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=PLOT_DPI)
    plt.close(figure)


def _mark_faults(axes: Axes, experiment: Experiment) -> None:
    """Shade the duration of each fault, and label it with its kind."""
    for fault in experiment.faults:
        axes.axvspan(fault.at, fault.at + max(fault.lasts, MIN_FAULT_WIDTH_S), color="grey", alpha=0.15)
        axes.annotate(
            getattr(fault, "kind", ""),
            (fault.at, 1.0),
            xycoords=("data", "axes fraction"),
            fontsize="x-small",
            va="top",
            rotation=90,
        )


def _line(rows: Series, key: str, offset: float = MID_SECOND) -> tuple[list[float], list[float]]:
    """Return the times and values of one key of a series.

    Args:
        rows: The series.
        key: The key of the values; they are 0 in the seconds without it.
        offset: The offset of a value within its second (s); gauges are sampled at the end of a second.
    """
    return [row["second"] + offset for row in rows], [row.get(key, 0.0) for row in rows]


def _plot_outcomes(axes: Axes, rows: Series) -> None:
    for key in ("tries", "served", "served late", "unserved", "unreached", "cut off"):
        if any(row.get(key) for row in rows):
            axes.plot(*_line(rows, key), label=key)
    axes.set_ylabel("per second")


def _plot_refusals(axes: Axes, rows: Series) -> None:
    keys = {key for row in rows for key in row}
    # On real sockets a client receives no reason for a refusal; the ingress counts them by reason.
    reasons = sorted(key for key in keys if key.startswith("turned_down.")) or sorted(
        key for key in keys if key.startswith("refused.")
    )
    if reasons:
        axes.stackplot(
            _line(rows, reasons[0])[0],
            [_line(rows, key)[1] for key in reasons],
            labels=[key.partition(".")[2] for key in reasons],
        )
    axes.plot(*_line(rows, "tries"), color="black", lw=0.8, label="client attempts")
    axes.set_ylabel("per second")


def _plot_health(axes: Axes, rows: Series) -> None:
    shown = [state for state in HEALTH_STATES if any(row.get(f"health.{state}") for row in rows)]
    if shown:
        axes.stackplot(
            _line(rows, "second", END_OF_SECOND)[0],
            [_line(rows, f"health.{state}")[1] for state in shown],
            labels=[f"seen as {state}" for state in shown],
            alpha=0.6,
        )
    axes.plot(*_line(rows, "servers.warm", END_OF_SECOND), color="black", drawstyle="steps-post", label="actually warm")
    axes.plot(
        *_line(rows, "servers.cold", END_OF_SECOND),
        color="black",
        ls=":",
        drawstyle="steps-post",
        label="actually cold",
    )
    axes.set_ylabel("servers")


def _plot_response_times(axes: Axes, rows: Series) -> None:
    for key in ("request", "warm server", "cold server"):
        answered = [row for row in rows if row.get(f"{key}.n")]
        if answered:
            axes.plot(
                [row["second"] + MID_SECOND for row in answered],
                [1000 * row[f"{key}.sum"] / row[f"{key}.n"] for row in answered],
                label=key,
            )
    axes.set_ylabel("ms")
    axes.set_ylim(bottom=0)
