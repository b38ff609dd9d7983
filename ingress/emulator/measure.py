"""The measurements of a run: counts and gauges by second, and latencies as HDR histograms."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1e6
SERIES_DECIMALS = 5
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def new_histogram() -> HdrHistogram:
    """Create an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def decode_histogram(text: str) -> HdrHistogram:
    """Read a histogram from the text of `encode_histogram`."""
    histogram = new_histogram()
    histogram.decode_and_add(text.encode())
    return histogram


def encode_histogram(histogram: HdrHistogram) -> str:
    """Return a histogram as text."""
    return str(histogram.encode().decode())


class Latencies:
    """A histogram of latencies, given in seconds and recorded in microseconds.

    Attributes:
        histogram: The histogram.
    """

    def __init__(self) -> None:
        self.histogram = new_histogram()

    def add(self, seconds: float) -> None:
        """Record a latency (s)."""
        self.histogram.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(seconds * US_PER_S))))

    def percentiles(self) -> dict[str, float]:
        """Return the percentiles in milliseconds; empty without a sample."""
        if not self.histogram.get_total_count():
            return {}
        return {f"p{rank:g}": round(self.histogram.get_value_at_percentile(rank) / 1000, 3) for rank in PERCENTILES}


class Recorder:
    """Counts by second of the run, and over the complete run.

    Attributes:
        series: The counts and gauges by second.
        totals: The counts of the complete run.
        weights: The sums of the weights of requests, by their result.
        latencies: The histograms of latencies, by name.
    """

    def __init__(self) -> None:
        self.series: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.totals: Counter[str] = Counter()
        self.weights: defaultdict[str, float] = defaultdict(float)
        self.latencies: dict[str, Latencies] = {}

    def count(self, now: float, name: str, amount: float = 1) -> None:
        """Add an amount to a count."""
        self.series[int(now)][name] += amount  # type: ignore[assignment]
        self.totals[name] += amount  # type: ignore[assignment]

    def set_gauge(self, now: float, name: str, value: float) -> None:
        """Set a gauge for the second of the time `now` (s)."""
        self.series[int(now)][name] = value  # type: ignore[assignment]

    def add_latency(self, now: float, name: str, seconds: float) -> None:
        """Record a latency (s); the series get its sum and count by second as `<name>.sum` and `<name>.n`."""
        if name not in self.latencies:
            self.latencies[name] = Latencies()
        self.latencies[name].add(seconds)
        second = self.series[int(now)]
        second[f"{name}.sum"] += seconds  # type: ignore[assignment]
        second[f"{name}.n"] += 1

    def series_rows(self) -> list[dict[str, Any]]:
        """Return the series as plain data, one row per second."""
        return [
            {"second": second, **{key: round(value, SERIES_DECIMALS) for key, value in sorted(counts.items())}}
            for second, counts in sorted(self.series.items())
        ]
