"""A report of an experiment: one HTML page and its plots as PNG files."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import mean
from typing import Any

import jinja2
import matplotlib as mpl
from hdrh.histogram import HdrHistogram

from ingress.emulator.compare import FIGURES, compare, figures
from ingress.emulator.experiment import Experiment, load_experiment
from ingress.emulator.measure import decode_histogram, new_histogram
from ingress.emulator.results import EXPERIMENT, PLAYS, ResultsError, read_plays

mpl.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

PAGE = "report.html"
RANKS = [0.0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99]
SIZE = (9.0, 3.6)  # inches
STATES = ("healthy", "suspect", "ejected", "trial")

Series = list[dict[str, float]]


def make_report(folder: Path) -> Path:
    """Reads a folder of results and writes the page into it; its path."""
    experiment = load_experiment(folder / EXPERIMENT)
    rows = read_plays(folder / PLAYS)
    if not rows:
        raise ResultsError(f"{folder / PLAYS} holds no play")
    first = min((fault.at for fault in experiment.faults), default=0.0)
    names = [version.name for version in experiment.versions]
    by_version = {name: [row for row in rows if row["version"] == name] for name in names}
    by_version = {name: kept for name, kept in by_version.items() if kept}
    plots = _plots(folder, experiment, by_version)
    measured = {name: {row["seed"]: figures(row["result"], first) for row in kept} for name, kept in by_version.items()}
    base, *others = measured
    page = (
        _environment()
        .get_template("report.html")
        .render(
            experiment=experiment,
            first_fault=first,
            plots=plots,
            meanings=FIGURES,
            means={
                name: {key: mean(one[key] for one in plays.values()) for key in FIGURES}
                for name, plays in measured.items()
            },
            spans={
                name: {
                    key: (min(one[key] for one in plays.values()), max(one[key] for one in plays.values()))
                    for key in FIGURES
                }
                for name, plays in measured.items()
            },
            counts={name: len(plays) for name, plays in measured.items()},
            differences={name: compare(measured[base], measured[name]) for name in others},
            base=base,
            cut=[row for row in rows if not row["result"]["exact"]["whole"]],
            breaks=[(row["version"], row["seed"], one) for row in rows for one in row["result"]["exact"]["breaks"]],
        )
    )
    path = folder / PAGE
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
    """The files' names with what they show."""
    series = {
        name: [
            row for row in merge(one["result"]["exact"]["series"] for one in rows) if row["second"] < experiment.seconds
        ]
        for name, rows in by_version.items()
    }
    found = [("latency.png", "How long requests took, from the time they were meant to be sent")]
    _latency(folder / found[0][0], {name: _added(rows) for name, rows in by_version.items()})
    for name, plays in series.items():
        for kind, title, draw in (
            ("ends", "What became of the tries", _ends),
            ("refusals", "Refusals by reason", _refusals),
            ("states", "Servers as gateways see them", _states),
            ("answers", "Mean answer time, warm and cold servers", _answers),
        ):
            path = folder / f"{kind}-{name}.png"
            figure, axes = plt.subplots(figsize=SIZE, layout="constrained")
            draw(axes, plays)
            _faults(axes, experiment)
            axes.set(
                xlabel="time of the day (s)",
                xlim=(0, experiment.seconds),
                title=f"{title}: {name}, mean of {len(by_version[name])} plays",
            )
            axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize="x-small", frameon=False)
            figure.savefig(path, dpi=110)
            plt.close(figure)
            found.append((path.name, f"{title}: {name}"))
    return found


def merge(plays: Iterable[Series]) -> Series:
    """The mean of several plays, second by second."""
    sums: defaultdict[float, defaultdict[str, float]] = defaultdict(lambda: defaultdict(float))
    count = 0
    for play in plays:
        count += 1
        for row in play:
            for key, value in row.items():
                sums[row["second"]][key] += value if key != "second" else 0.0
    return [
        {"second": second, **{key: value / count for key, value in rest.items() if key != "second"}}
        for second, rest in sorted(sums.items())
    ]


def _added(rows: list[dict[str, Any]]) -> HdrHistogram:
    total = new_histogram()
    for row in rows:
        text = row["result"]["exact"]["histograms"].get("request")
        if text:
            total.add(decode_histogram(text))
    return total


def _latency(path: Path, by_version: dict[str, HdrHistogram]) -> None:
    figure, axes = plt.subplots(figsize=SIZE, layout="constrained")
    for name, one in by_version.items():
        if one.get_total_count():
            axes.plot(
                [1 / (1 - rank / 100) for rank in RANKS],
                [one.get_value_at_percentile(rank) / 1000 for rank in RANKS],
                marker="o",
                ms=3,
                label=f"{name} ({one.get_total_count()} answers)",
            )
    axes.set(xscale="log", yscale="log", xlabel="percentile", ylabel="ms", title="Latency of served requests")
    axes.set_xticks([1 / (1 - rank / 100) for rank in RANKS], [f"{rank:g}" for rank in RANKS], fontsize="small")
    axes.minorticks_off()
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _faults(axes: Axes, experiment: Experiment) -> None:
    for fault in experiment.faults:
        axes.axvspan(fault.at, fault.at + max(fault.lasts, 0.1), color="grey", alpha=0.15)
        axes.annotate(
            getattr(fault, "kind", ""),
            (fault.at, 1.0),
            xycoords=("data", "axes fraction"),
            fontsize="x-small",
            va="top",
            rotation=90,
        )


def _line(plays: Series, key: str, place: float = 0.5) -> tuple[list[float], list[float]]:
    """`place`: where in its second a value stands; what is looked at stands at the end."""
    return [row["second"] + place for row in plays], [row.get(key, 0.0) for row in plays]


def _ends(axes: Axes, plays: Series) -> None:
    for key in ("tries", "served", "served late", "unserved", "unreached", "cut off"):
        if any(row.get(key) for row in plays):
            axes.plot(*_line(plays, key), label=key)
    axes.set_ylabel("a second")


def _refusals(axes: Axes, plays: Series) -> None:
    keys = {key for row in plays for key in row}
    # On sockets a client hears no reason, but the ingress shows its own.
    reasons = sorted(key for key in keys if key.startswith("turned_down.")) or sorted(
        key for key in keys if key.startswith("refused.")
    )
    if reasons:
        axes.stackplot(
            _line(plays, reasons[0])[0],
            [_line(plays, key)[1] for key in reasons],
            labels=[key.partition(".")[2] for key in reasons],
        )
    axes.plot(*_line(plays, "tries"), color="black", lw=0.8, label="tries")
    axes.set_ylabel("a second")


def _states(axes: Axes, plays: Series) -> None:
    shown = [state for state in STATES if any(row.get(f"health.{state}") for row in plays)]
    if shown:
        axes.stackplot(
            _line(plays, "second", 1.0)[0],
            [_line(plays, f"health.{state}")[1] for state in shown],
            labels=[f"seen as {state}" for state in shown],
            alpha=0.6,
        )
    axes.plot(*_line(plays, "servers.warm", 1.0), color="black", drawstyle="steps-post", label="really warm")
    axes.plot(*_line(plays, "servers.cold", 1.0), color="black", ls=":", drawstyle="steps-post", label="really cold")
    axes.set_ylabel("servers")


def _answers(axes: Axes, plays: Series) -> None:
    for key in ("request", "warm server", "cold server"):
        rows = [row for row in plays if row.get(f"{key}.n")]
        if rows:
            axes.plot(
                [row["second"] + 0.5 for row in rows],
                [1000 * row[f"{key}.sum"] / row[f"{key}.n"] for row in rows],
                label=key,
            )
    axes.set_ylabel("ms")
    axes.set_ylim(bottom=0)
