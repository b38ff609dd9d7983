"""Metrics of a process: the results of its requests, its attempts, and the lines that report them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

# Prefixes of metrics that are gauges; all others are counters since the start of the process.
GAUGES = (
    "health.",
    "list.",
    "connections.",
    "memory.",
    "resident.",
    "loop.",
    "client_addresses",
    "customers",
    "tls.",
    "checkpoint.on",
    "checkpoint.bytes",
)


class RequestResult(Enum):
    """How a request ended."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    ABORTED = "aborted"


class Metrics:
    """Counts since the start of the process.

    Attributes:
        results: The number of ended requests by request class and result.
        rejections_by_reason: The number of rejections that the gateway decided, by reason.
        requests_in_flight: The number of requests in flight.
        attempts_sent: The number of attempts that were sent.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.results: dict[tuple[str, RequestResult], int] = {}
        self.rejections_by_reason: dict[str, int] = {}
        self.requests_in_flight = 0
        self.attempts_sent = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add the request classes of a new configuration; classes that it removes keep their counts."""
        for request_class in classes:
            for result in RequestResult:
                self.results.setdefault((request_class, result), 0)

    def record_rejection(self, reason: str) -> None:
        """Count a request that the gateway rejected or failed; one without a reason is not counted."""
        if reason:
            self.rejections_by_reason[reason] = self.rejections_by_reason.get(reason, 0) + 1

    def record_received(self) -> None:
        """Count a request as in flight."""
        self.requests_in_flight += 1

    def record_result(self, request_class: str, result: RequestResult) -> None:
        """Count the end of a request."""
        self.requests_in_flight -= 1
        self.results[request_class, result] += 1

    def lines(self, listed_endpoints: int, avoided_endpoints: int, others: Mapping[str, int]) -> list[str]:
        """Return the lines of `show-stat`, without the last; `others` are metrics from other components."""
        results = [f"app.results.{name}.{result.value}:{count}|c" for (name, result), count in self.results.items()]
        rejections = [
            f"app.turned_down.{reason}:{count}|c" for reason, count in sorted(self.rejections_by_reason.items())
        ]
        return [
            *results,
            f"app.forwards:{self.attempts_sent}|c",
            f"app.outstanding:{self.requests_in_flight}|g",
            f"app.discovered:{listed_endpoints}|g",
            f"app.ejected:{avoided_endpoints}|g",
            *rejections,
            *(f"app.{name}:{value}|{'g' if name.startswith(GAUGES) else 'c'}" for name, value in others.items()),
        ]
