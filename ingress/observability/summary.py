"""Compute totals, rates, distribution and outliers of the metrics of a fleet."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from statistics import median
from typing import Any

from ingress.observability.poller import PolledIngress, PollState

OUTLIER_DEVIATIONS = 5.0  # distance of an outlier from the median, in estimated standard deviations
# The standard deviation of a normal distribution, as a multiple of its median absolute deviation.
DEVIATION_PER_MEDIAN_DISTANCE = 1.4826
# Minimum distance of an outlier as a share of the median, however close together the other values are.  Also the
# minimum distance itself where the median is below 1, as for shares.
MIN_DISTANCE_RATIO = 0.1
# Minimum distance of an outlier where the median is 1 or more, in the unit of the value: ms, list entries, endpoints.
MIN_DISTANCE = 3.0
MAX_REPORTED = 1024  # entries per list of outliers or of ingresses whose last call failed
DECIMAL_PLACES = 3
MIN_INGRESSES = 5  # among fewer values, none is an outlier
COMPARED_GAUGES = ("outstanding", "discovered", "ejected", "list.version", "list.age_ms", "connections.servers")


def compared_values(ingress: PolledIngress) -> dict[str, float]:
    """Return the values to compare between ingresses: requests per second, shares of them, and some gauges."""
    result_rates = {result: _result_rate(ingress, result) for result in ("succeeded", "declined", "aborted")}
    total = sum(result_rates.values())
    values = {"requests_per_s": total} if ingress.rates else {}
    if total > 0:
        values |= {
            "declined_share": result_rates["declined"] / total,
            "aborted_share": result_rates["aborted"] / total,
            "attempts_per_request": ingress.rates.get("app.forwards", 0.0) / total,
        }
    for name in COMPARED_GAUGES:
        if f"app.{name}" in ingress.metrics.values:
            values[name] = ingress.metrics.values[f"app.{name}"]
    return values


def _result_rate(ingress: PolledIngress, result: str) -> float:
    """Return the rate of requests with this result, over all request classes."""
    return sum(
        rate for name, rate in ingress.rates.items() if name.startswith("app.results.") and name.endswith("." + result)
    )


def outliers(values: dict[str, float], min_ratio: float = MIN_DISTANCE_RATIO) -> dict[str, float]:
    """Return the values that are far from the median.

    The distance of an outlier is over OUTLIER_DEVIATIONS standard deviations, which are estimated from the median
    absolute deviation so that the outliers don't raise the limit themselves.

    Args:
        values: The values of the ingresses or endpoints, by name.
        min_ratio: The minimum distance of an outlier, as a share of the median.
    """
    if len(values) < MIN_INGRESSES:
        return {}
    middle = median(values.values())
    deviation = DEVIATION_PER_MEDIAN_DISTANCE * median(abs(value - middle) for value in values.values())
    min_distance = max(min_ratio * abs(middle), MIN_DISTANCE if middle >= 1 else MIN_DISTANCE_RATIO)
    limit = max(OUTLIER_DEVIATIONS * deviation, min_distance)
    return {name: value for name, value in values.items() if abs(value - middle) > limit}


def summarize(ingresses: Iterable[PolledIngress], polled_at: float) -> dict[str, Any]:
    """Return the summary of a poll of the fleet as plain data; `polled_at` is its Unix time in s.

    Counters are added up over all processes, also over two processes of one ingress.  Gauges of these would be counted
    twice, so most gauges are summarized by their distribution only; `app.outstanding` is added up as well, because each
    process counts its own requests.
    """
    polled = list(ingresses)
    answering = [ingress for ingress in polled if ingress.state is PollState.OK]
    compared: dict[str, dict[str, float]] = {}
    for ingress in answering:
        for key, value in compared_values(ingress).items():
            compared.setdefault(key, {})[ingress.name] = value
    spread = {
        key: {"least": min(values.values()), "median": median(values.values()), "most": max(values.values())}
        for key, values in compared.items()
    }
    outlying = [
        {"ingress": name, "figure": key, "value": value, "median": spread[key]["median"]}
        for key, values in compared.items()
        for name, value in outliers(values).items()
    ]
    failing = [
        {"ingress": ingress.name, "state": ingress.state.value, "why": ingress.error}
        for ingress in polled
        if ingress.state not in (PollState.OK, PollState.NEW)
    ]
    states = Counter(ingress.state.value for ingress in polled)
    rates = _sum_rates(answering)
    return {
        "at": round(polled_at, DECIMAL_PLACES),
        "ingresses": {state.value: states[state.value] for state in PollState},
        "restarts": sum(ingress.restarts for ingress in polled),
        "totals": dict(sorted(_sum_totals(answering).items())),
        "rates": {name: round(rate, DECIMAL_PLACES) for name, rate in sorted(rates.items())},
        "spread": spread,
        "outliers": outlying[:MAX_REPORTED],
        "outliers_left_out": max(0, len(outlying) - MAX_REPORTED),
        "unwell": failing[:MAX_REPORTED],
        "unwell_left_out": max(0, len(failing) - MAX_REPORTED),
    }


def _sum_rates(ingresses: Iterable[PolledIngress]) -> dict[str, float]:
    rates = defaultdict[str, float](float)
    for ingress in ingresses:
        for name, rate in ingress.rates.items():
            rates[name] += rate
    return rates


def _sum_totals(ingresses: Iterable[PolledIngress]) -> dict[str, float]:
    totals = defaultdict[str, float](float)
    for ingress in ingresses:
        for name in (*ingress.metrics.counters, "app.outstanding"):
            totals[name] += ingress.metrics.values.get(name, 0.0)
    return totals
