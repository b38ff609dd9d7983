"""Shrinks an experiment that violates a rule to a smaller one that still violates the same rule."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import tomli_w

from ingress.emulator.experiment import Experiment, ExperimentError, build_experiment

MIN_RUN_SECONDS = 2.0
SECONDS_DECIMALS = 3
MAX_PLAYS = 60
DURATION_RATIOS = (0.5, 0.75, 0.9)  # the largest reduction is tried first
FLEET_SIZE_RATIOS = (0.5, 0.75)

CountViolations = Callable[[Experiment], dict[str, int]]  # runs an experiment, and counts the violations by rule


def shrink(
    experiment: Experiment,
    rule: str,
    count_violations: CountViolations,
    max_plays: int = MAX_PLAYS,
    report: Callable[[str], None] | None = None,
) -> Experiment:
    """Search for a smaller experiment that still violates a rule.

    Args:
        experiment: The experiment that violates the rule.
        rule: The name of the rule.
        count_violations: Runs an experiment, and returns its violations by rule.
        max_plays: The maximum number of runs.
        report: The callback for each reduction that was kept.

    Returns:
        The smallest experiment found.
    """
    run_count = 0
    while run_count < max_plays:
        for reduction, candidate in _smaller(experiment):
            if run_count >= max_plays:
                break
            run_count += 1
            if count_violations(candidate).get(rule):
                if report is not None:
                    report(f"{reduction}: still violates the rule")
                experiment = candidate
                break
        else:
            break  # no smaller experiment violates the rule
    return experiment


def _smaller(experiment: Experiment) -> Iterator[tuple[str, Experiment]]:
    """Yield smaller experiments, the largest reduction of each kind first."""
    source = experiment.model_dump()
    yield from _with_fewer_faults(source)
    for ratio in DURATION_RATIOS:
        if experiment.seconds * ratio >= MIN_RUN_SECONDS:
            yield from _build(f"{experiment.seconds * ratio:g} s", _shorter(source, experiment.seconds * ratio))
    yield from _with_smaller_fleet(source)
    yield from _with_fewer_kinds(source)


def _with_fewer_faults(source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    for fault_index, fault in enumerate(source["faults"]):
        remaining = [other for index, other in enumerate(source["faults"]) if index != fault_index]
        yield from _build(f"without {fault['kind']} at {fault['at']:g} s", source | {"faults": remaining})


def _with_smaller_fleet(source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    for key in ("gateways", "servers"):
        for ratio in FLEET_SIZE_RATIOS:
            count = int(source["fleet"][key] * ratio)
            if count >= max(1, source["fleet"]["zones"]):
                yield from _build(f"{count} {key}", source | {"fleet": source["fleet"] | {key: count}})


def _with_fewer_kinds(source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    for key in ("classes", "plans"):
        for kind_index, kind in enumerate(source[key]):
            remaining = [other for index, other in enumerate(source[key]) if index != kind_index]
            if remaining:
                yield from _build(f"without {kind['name']}", source | {key: remaining})


def _shorter(source: dict[str, Any], seconds: float) -> dict[str, Any]:
    faults = [
        fault | {"lasts": min(fault["lasts"], seconds - fault["at"])}
        for fault in source["faults"]
        if fault["at"] < seconds
    ]
    return source | {"seconds": round(seconds, SECONDS_DECIMALS), "faults": faults}


def _build(reduction: str, source: dict[str, Any]) -> Iterator[tuple[str, Experiment]]:
    try:
        yield reduction, build_experiment(source)
    except ExperimentError:
        return  # the reduced experiment is not valid


def to_toml(experiment: Experiment) -> str:
    """Format an experiment as TOML, without the settings that have their default value."""
    return tomli_w.dumps(experiment.model_dump(mode="json", exclude_defaults=True))
