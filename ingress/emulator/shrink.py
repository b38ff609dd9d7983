"""Makes an experiment that violates a rule smaller, as long as it violates the same rule."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import tomli_w

from ingress.emulator.experiment import Experiment, ExperimentError, build_experiment

MIN_SECONDS = 2.0  # of a play
MAX_PLAYS = 60
SHORTER_SHARES = (0.5, 0.75, 0.9)  # of the time, the boldest step first
SMALLER_SHARES = (0.5, 0.75)  # of the gateways and endpoints

CountViolations = Callable[[Experiment], dict[str, int]]  # plays it, and counts violations by rule


def shrink(
    experiment: Experiment,
    rule: str,
    count_violations: CountViolations,
    max_plays: int = MAX_PLAYS,
    report: Callable[[str], None] | None = None,
) -> Experiment:
    """The smallest experiment found that still violates a rule.

    Args:
        experiment: violates it.
        rule: its name.
        count_violations: plays an experiment.
        max_plays: bounds the search.
        report: is called with each step that was taken.
    """
    plays = 0
    while plays < max_plays:
        for what, candidate in _smaller(experiment):
            if plays >= max_plays:
                break
            plays += 1
            if count_violations(candidate).get(rule):
                if report is not None:
                    report(f"{what}: still broken")
                experiment = candidate
                break
        else:
            break  # nothing smaller violates it
    return experiment


def _smaller(experiment: Experiment) -> Iterator[tuple[str, Experiment]]:
    """Smaller experiments, the boldest step of each kind first."""
    source = experiment.model_dump()
    yield from _with_fewer_faults(source)
    for share in SHORTER_SHARES:
        if experiment.seconds * share >= MIN_SECONDS:
            yield from _build(f"{experiment.seconds * share:g} s", _shorter(source, experiment.seconds * share))
    yield from _with_smaller_fleet(source)
    yield from _with_fewer_kinds(source)


def _with_fewer_faults(source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    for number, fault in enumerate(source["faults"]):
        rest = [other for place, other in enumerate(source["faults"]) if place != number]
        yield from _build(f"without {fault['kind']} at {fault['at']:g} s", source | {"faults": rest})


def _with_smaller_fleet(source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    for key in ("gateways", "servers"):
        for share in SMALLER_SHARES:
            count = int(source["fleet"][key] * share)
            if count >= max(1, source["fleet"]["zones"]):
                yield from _build(f"{count} {key}", source | {"fleet": source["fleet"] | {key: count}})


def _with_fewer_kinds(source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    for key in ("classes", "plans"):
        for number, kind in enumerate(source[key]):
            rest = [other for place, other in enumerate(source[key]) if place != number]
            if rest:
                yield from _build(f"without {kind['name']}", source | {key: rest})


def _shorter(source: dict[str, Any], seconds: float) -> dict[str, Any]:
    faults = [
        fault | {"lasts": min(fault["lasts"], seconds - fault["at"])}
        for fault in source["faults"]
        if fault["at"] < seconds
    ]
    return source | {"seconds": round(seconds, 3), "faults": faults}


def _build(what: str, source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    try:
        yield what, build_experiment(source)
    except ExperimentError:
        return  # the parts no longer fit together


def to_toml(experiment: Experiment) -> str:
    """The experiment as TOML, without what stands at its default."""
    return tomli_w.dumps(experiment.model_dump(mode="json", exclude_defaults=True))
