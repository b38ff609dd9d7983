"""What a play showed: counts by second, latencies as HDR histograms, gauges over time."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3  # of a latency that are kept
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def new_histogram() -> HdrHistogram:
    """An empty histogram of latencies in us."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def decode_histogram(text: str) -> HdrHistogram:
    """A histogram as `encode` wrote it."""
    found = new_histogram()
    found.decode_and_add(text.encode())
    return found


def encode_histogram(source: HdrHistogram) -> str:
    """A histogram as text."""
    return str(source.encode().decode())


class Latencies:
    """Latencies, given in s and recorded in us."""

    def __init__(self) -> None:
        self.histogram = new_histogram()

    def add(self, seconds: float) -> None:
        """Records one."""
        self.histogram.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(seconds * 1e6))))

    def percentiles(self) -> dict[str, float]:
        """Percentiles in ms; empty without a sample."""
        if not self.histogram.get_total_count():
            return {}
        return {f"p{rank:g}": round(self.histogram.get_value_at_percentile(rank) / 1000, 3) for rank in PERCENTILES}


class Recorder:
    """Counts by second of the day, and over all of it.

    Attributes:
        series: counts and gauges by second.
        totals: counts of the whole day.
        worth: sums of priority weights by what became of the requests.
        latencies: by what was measured.
    """

    def __init__(self) -> None:
        self.series: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.totals: Counter[str] = Counter()
        self.weights: defaultdict[str, float] = defaultdict(float)
        self.latencies: dict[str, Latencies] = {}

    def count(self, now: float, what: str, amount: float = 1) -> None:
        """Adds to a count."""
        self.series[int(now)][what] += amount  # type: ignore[assignment]
        self.totals[what] += amount  # type: ignore[assignment]

    def set_gauge(self, now: float, what: str, value: float) -> None:
        """Sets what has this value in that second."""
        self.series[int(now)][what] = value  # type: ignore[assignment]

    def add_latency(self, now: float, what: str, seconds: float) -> None:
        """Records a latency in s; its mean by second is `what.sum` over `what.n`."""
        if what not in self.latencies:
            self.latencies[what] = Latencies()
        self.latencies[what].add(seconds)
        second = self.series[int(now)]
        second[f"{what}.sum"] += seconds  # type: ignore[assignment]
        second[f"{what}.n"] += 1

    def series_rows(self) -> list[dict[str, Any]]:
        """The series as plain data, a row for each second."""
        return [
            {"second": second, **{key: round(value, 5) for key, value in sorted(counts.items())}}
            for second, counts in sorted(self.series.items())
        ]
