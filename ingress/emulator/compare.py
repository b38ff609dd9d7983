"""Metrics of a run, and paired comparisons of versions: one difference per seed that both versions ran."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import mean, median, stdev
from typing import Any

import numpy as np

# A second is slow if its mean latency exceeds this multiple of the median second before the first fault.
SLOW_RATIO = 2.0
RESAMPLE_COUNT = 4000
RESAMPLE_SEED = 1
MIN_PAIRS = 2  # a single pair says nothing about the variance between seeds
INTERVAL_PERCENTILES = [2.5, 97.5]  # the bounds of the 95% interval
# Each metric with its meaning, and whether a higher value is better.
METRICS = {
    "good": (
        "priority weight served within quotas, less the cost of usage beyond them, as a share of the weight offered",
        True,
    ),
    "served": ("share of requests, not counting retries, served within their latency objective", True),
    "p50_ms": ("median latency of served requests, retries included", False),
    "p99_ms": ("99th percentile of the latency of served requests, retries included", False),
    "refused": ("refusals per client attempt", False),
    "with_room": ("refusals per client attempt while at least half of the quota was unused", False),
    "beyond": ("share of the forwarded client attempts that were beyond quotas", False),
    "attempts": ("attempts at servers per forwarded client attempt", False),
    "slow_s": ("seconds whose mean latency is over twice the median before the first fault", False),
    "broken": ("rule violations", False),
}


def compute_metrics(result: dict[str, Any], first_fault: float = 0.0) -> dict[str, float]:
    """Compute the metrics of one run from its result."""
    exact = result["exact"]
    totals = exact["totals"]
    latency = exact["latency_ms"].get("request", {})
    requests = totals.get("first tries", 0)
    client_attempts = totals.get("tries", 0)
    forwarded = totals.get("sent on", 0)
    refused = sum(count for key, count in totals.items() if key.startswith("refused."))
    return {
        "good": exact["good"],
        "served": totals.get("served", 0) / max(1, requests),
        "p50_ms": latency.get("p50", 0.0),
        "p99_ms": latency.get("p99", 0.0),
        "refused": refused / max(1, client_attempts),
        "with_room": totals.get("refused with room", 0) / max(1, client_attempts),
        "beyond": totals.get("beyond quotas", 0) / max(1, forwarded),
        "attempts": totals.get("attempts", 0) / max(1, forwarded),
        "slow_s": slow_seconds(exact["series"], first_fault),
        "broken": float(sum(exact["broken"].values())),
    }


def slow_seconds(series: Sequence[dict[str, Any]], first_fault: float) -> float:
    """Count the seconds from the first fault on whose mean latency is high.

    Return 0 if no second before the fault has a latency to compare with.
    """
    means = {row["second"]: row["request.sum"] / row["request.n"] for row in series if row.get("request.n")}
    before = [value for second, value in means.items() if 0 < second < first_fault - 1]
    if not before:
        return 0.0
    baseline = median(before)
    return float(sum(value > SLOW_RATIO * baseline for second, value in means.items() if second >= first_fault))


@dataclass(frozen=True, slots=True)
class Difference:
    """The change of one metric between two versions, over the seeds that both ran.

    Attributes:
        metric: The name of the metric.
        pairs: The number of seeds that both versions ran.
        before: The mean of the metric in the first version.
        after: The mean of the metric in the second version.
        low: The lower bound of the 95% bootstrap interval of the mean difference.
        high: The upper bound of that interval.
        spread: The standard deviation of the differences.
        better: The number of seeds on which the second version is better.
    """

    metric: str
    pairs: int
    before: float
    after: float
    low: float
    high: float
    spread: float
    better: int

    @property
    def is_significant(self) -> bool:
        """Whether the 95% interval of the mean difference excludes zero."""
        return self.pairs > 1 and (self.low > 0 or self.high < 0)


def compare(before: dict[int, dict[str, float]], after: dict[int, dict[str, float]]) -> list[Difference]:
    """Compare two versions metric by metric, paired by seed.

    Args:
        before: The metrics of the first version, by seed.
        after: The metrics of the second version, by seed.

    Returns:
        A difference for each metric; none if the versions have no seed in common.
    """
    seeds = sorted(before.keys() & after.keys())
    return (
        [
            _difference(
                metric,
                [before[seed][metric] for seed in seeds],
                [after[seed][metric] for seed in seeds],
                higher_is_better,
            )
            for metric, (_, higher_is_better) in METRICS.items()
        ]
        if seeds
        else []
    )


def _difference(metric: str, before: list[float], after: list[float], higher_is_better: bool) -> Difference:
    changes = [new - old for old, new in zip(before, after, strict=True)]
    low, high = interval(changes)
    return Difference(
        metric,
        len(changes),
        mean(before),
        mean(after),
        low,
        high,
        stdev(changes) if len(changes) > 1 else 0.0,
        sum((change > 0) is higher_is_better and change != 0 for change in changes),
    )


def interval(values: Iterable[float]) -> tuple[float, float]:
    """Return the 95% bootstrap interval of the mean, from resamples with a fixed seed.

    The interval is unbounded if there are fewer than `MIN_PAIRS` values.
    """
    samples = np.asarray(list(values), dtype=float)
    if samples.size < MIN_PAIRS:
        return float("-inf"), float("inf")
    resamples = np.random.Generator(np.random.PCG64(RESAMPLE_SEED)).integers(
        0, samples.size, (RESAMPLE_COUNT, samples.size)
    )
    low, high = np.percentile(samples[resamples].mean(axis=1), INTERVAL_PERCENTILES)
    return float(low), float(high)
