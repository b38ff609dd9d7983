"""Report on a time window from the logs of many ingresses, in one pass and bounded memory.

With `EDGE_LOG=json` the logs contain ejections and warnings; `requests` adds results, attempts and endpoint lists.
"""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from ingress.observability.log_reader import ATTEMPT_EVENT, RESULT_EVENTS, LogLine, LogReader, input_as_text, log_files
from ingress.observability.summary import outliers

MAX_KEYS = (
    5_000  # keys per table (endpoints, ingresses, ...): further ones are counted as OTHER; list versions left out
)
OTHER = "other"
DECIMAL_PLACES = 4
MAX_REPORTED = 1024  # endpoints or ingresses per list of the report
MAX_COUNTS = 50  # counts per kind of key in the report
MAX_PRINTED = 20  # entries per list in the text form of the report
MAX_EXAMPLES = 3  # log lines that show why an endpoint or ingress is an outlier
MAX_EXAMPLE_CHARACTERS = 300
MAX_OUTCOME_CHARACTERS = 20  # an outcome of this length or more is counted as OTHER
MAX_SIGHTINGS = 200_000  # stored times at which an ingress first saw a list version
MIN_LISTS = 3  # with fewer list versions, missing ones are not compared between ingresses
MIN_OUTCOMES = 30  # an endpoint or ingress with fewer is not compared with the others
MIN_OUTLIER_DISTANCE_RATIO = 0.5  # minimum distance of an outlier from the median, as a share of the median
EJECTION_EVENT = re.compile(r"health (\S+): \w+ to ejected: ([^,]+)")
WARNING_LEVELS = ("warning", "error", "critical")
NOT_FAILED_OUTCOMES = ("ok", "cancelled", "moot")
Key = TypeVar("Key")


class RequestEnd(NamedTuple):
    """The key by which ended requests are counted."""

    outcome: str
    reason: str
    request_class: str
    plan: str


class Subject:
    """The counts and example lines of one ingress or endpoint."""

    __slots__ = ("counts", "examples", "total_ms")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.total_ms = 0.0
        self.examples: list[str] = []

    def add_example(self, text: str) -> None:
        """Keep a log line as an example of a fault, up to MAX_EXAMPLES."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(text[:MAX_EXAMPLE_CHARACTERS])


class LogReport(LogReader):
    """Counts what the logs contain, and builds the report.

    Attributes:
        request_ends: The number of requests by result, reason, class and plan.
        ejections: The number of ejections by endpoint and reason.
        ingresses: The counts of each ingress, by name.
        endpoints: The counts of each endpoint, by id.
        first_sightings: The time (Unix time in s) at which each ingress first saw each version of the endpoint list.
        sighting_count: The number of times in `first_sightings`.
    """

    def __init__(self, start: float = float("-inf"), end: float = float("inf")) -> None:
        super().__init__(start, end)
        self.request_ends: Counter[RequestEnd] = Counter()
        self.ejections: Counter[tuple[str, str]] = Counter()
        self.ingresses: dict[str, Subject] = {}
        self.endpoints: dict[str, Subject] = {}
        self.first_sightings: dict[int, dict[str, float]] = {}
        self.sighting_count = 0

    def handle_line(self, line: LogLine) -> None:
        """Count one line."""
        ingress = _subject(self.ingresses, line.ingress)
        if line.is_request_line:
            self._handle_request_line(ingress, line)
        elif ejected := EJECTION_EVENT.match(line.event):
            _count(self.ejections, (ejected[1], ejected[2]), (OTHER, OTHER))
            ingress.counts["ejections"] += 1
            _subject(self.endpoints, ejected[1]).add_example(f"{line.ingress}: {line.event}")
        elif line.fields.get("level") in WARNING_LEVELS:
            ingress.counts["warnings"] += 1
            ingress.add_example(f"{line.ingress}: {line.event}")

    def _handle_request_line(self, ingress: Subject, line: LogLine) -> None:
        if line.event in RESULT_EVENTS:
            self._count_request(ingress, line.event, line.fields)
        elif line.event == ATTEMPT_EVENT:
            self._count_attempt(line.fields)
        elif line.event == "list":
            self._note_sighting(line.ingress, int(line.fields["version"]), line.time)

    def _count_request(self, ingress: Subject, end: str, fields: Mapping[str, Any]) -> None:
        key = RequestEnd(end, str(fields.get("reason", "")), str(fields["class"]), str(fields["plan"]))
        _count(self.request_ends, key, RequestEnd(end, OTHER, OTHER, OTHER))
        ingress.counts[end] += 1
        ingress.total_ms += float(fields["ms"])

    def _count_attempt(self, fields: Mapping[str, Any]) -> None:
        outcome = str(fields["outcome"])
        endpoint = _subject(self.endpoints, str(fields["server"]))
        is_known = outcome.isidentifier() and len(outcome) < MAX_OUTCOME_CHARACTERS
        endpoint.counts[outcome if is_known else OTHER] += 1
        endpoint.total_ms += float(fields["ms"])
        if outcome not in NOT_FAILED_OUTCOMES:
            endpoint.add_example(json.dumps(fields))

    def _note_sighting(self, ingress: str, version: int, time: float) -> None:
        """Record the earliest time at which an ingress saw a list version, within MAX_KEYS and MAX_SIGHTINGS."""
        is_new = version not in self.first_sightings
        if self.sighting_count >= MAX_SIGHTINGS or (is_new and len(self.first_sightings) >= MAX_KEYS):
            self.counts["lists left out"] += 1
            return
        times = self.first_sightings.setdefault(version, {})
        self.sighting_count += ingress not in times
        times[ingress] = min(time, times.get(ingress, time))

    def result(self) -> dict[str, Any]:
        """Return the report as plain data."""
        attempts = sum((endpoint.counts for endpoint in self.endpoints.values()), Counter[str]())
        ejections = self.ejections.most_common(MAX_REPORTED)
        return {
            "read": dict(self.counts),
            "unreadable": self.unreadable,
            "window": None if self.first > self.last else [self.first, self.last],
            "ends": {key: dict(found.most_common(MAX_COUNTS)) for key, found in self._ends_by_key().items()},
            "attempts": dict(attempts.most_common()),
            "servers": len(self.endpoints),
            "ingresses": len(self.ingresses),
            "ejections": {f"{endpoint}: {reason}": count for (endpoint, reason), count in ejections},
            "lists": len(self.first_sightings),
            "stand_out": list(self._outliers()),
        }

    def _ends_by_key(self) -> dict[str, Counter[str]]:
        ends: dict[str, Counter[str]] = {key: Counter() for key in ("outcome", "reason", "class", "plan")}
        for end, count in self.request_ends.items():
            ends["outcome"][end.outcome] += count
            ends["reason"][end.reason or end.outcome] += count
            ends["class"][f"{end.request_class} {end.outcome}"] += count
            ends["plan"][f"{end.plan} {end.outcome}"] += count
        return ends

    def _outliers(self) -> Iterator[dict[str, Any]]:
        """Yield the endpoints and ingresses whose values are far from the median, with example lines."""
        compared = self._compared_endpoints() | self._compared_ingresses() | self._compared_sightings()
        for what, values in compared.items():
            subjects = self.endpoints if what.startswith("server") else self.ingresses
            found = outliers(values, MIN_OUTLIER_DISTANCE_RATIO)
            if not found:
                continue
            middle = sorted(values.values())[len(values) // 2]
            farthest = sorted(found.items(), key=lambda item: -abs(item[1] - middle))
            for name, value in farthest[:MAX_REPORTED]:
                yield {
                    "what": what,
                    "who": name,
                    "value": round(value, DECIMAL_PLACES),
                    "median": round(middle, DECIMAL_PLACES),
                    "lines": subjects[name].examples,
                }

    def _compared_endpoints(self) -> dict[str, dict[str, float]]:
        values: dict[str, dict[str, float]] = defaultdict(dict)
        for name, endpoint in self.endpoints.items():
            total = sum(endpoint.counts.values())
            decided = total - endpoint.counts["cancelled"] - endpoint.counts["moot"]
            if decided >= MIN_OUTCOMES:
                values["server: share of attempts that failed"][name] = 1 - endpoint.counts["ok"] / decided
            if total >= MIN_OUTCOMES:
                cancelled = endpoint.counts["cancelled"] / total
                values["server: share of attempts that were overtaken"][name] = cancelled
                values["server: ms an attempt"][name] = endpoint.total_ms / total
        return values

    def _compared_ingresses(self) -> dict[str, dict[str, float]]:
        values: dict[str, dict[str, float]] = defaultdict(dict)
        for name, ingress in self.ingresses.items():
            total = sum(ingress.counts[end] for end in RESULT_EVENTS)
            if total >= MIN_OUTCOMES:
                values["ingress: share of requests that failed"][name] = ingress.counts["aborted"] / total
                values["ingress: share of requests that were refused"][name] = ingress.counts["declined"] / total
        return values

    def _compared_sightings(self) -> dict[str, dict[str, float]]:
        delays: dict[str, list[float]] = defaultdict(list)
        for times in self.first_sightings.values():
            first = min(times.values())
            for name, at in times.items():
                delays[name].append(at - first)
        values = {"ingress: s that lists came late": {name: sum(seen) / len(seen) for name, seen in delays.items()}}
        if len(self.first_sightings) >= MIN_LISTS:
            values["ingress: share of the lists that it never saw"] = {
                name: 1 - len(delays.get(name, ())) / len(self.first_sightings) for name in self.ingresses
            }
        return values


def _count(counter: Counter[Key], key: Key, other: Key) -> None:
    """Count a key, or `other` for a new key beyond MAX_KEYS."""
    counter[key if key in counter or len(counter) < MAX_KEYS else other] += 1


def _subject(subjects: dict[str, Subject], name: str) -> Subject:
    """Return the subject of that name, or the one named OTHER for a new name beyond MAX_KEYS."""
    if name not in subjects and len(subjects) >= MAX_KEYS:
        name = OTHER
    return subjects.setdefault(name, Subject())


def report_on(paths: Iterable[Path], start: float, end: float) -> dict[str, Any]:
    """Return the report on a time window (Unix time in s; `end` exclusive) as plain data.

    Raises:
        FileNotFoundError: A path does not exist.
    """
    report = LogReport(start, end)
    for path in log_files(paths):
        report.read_file(path)
    return report.result()


def as_text(report: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of the report in text form."""
    if report["window"] is not None:
        start, end = report["window"]
        yield f"{report['ingresses']} ingresses, {report['servers']} servers, {end - start:.1f} s from {start:.3f} on"
    yield from input_as_text(report["read"], report["unreadable"])
    for what, counts in report["ends"].items():
        if counts:
            yield f"requests by {what}: " + ", ".join(f"{count} {name}" for name, count in counts.items())
    if report["attempts"]:
        yield "attempts: " + ", ".join(f"{count} {name}" for name, count in report["attempts"].items())
    yield f"endpoint list versions: {report['lists']}"
    yield from _limited(f"ejected {count} times: {name}" for name, count in report["ejections"].items())
    if not report["stand_out"]:
        yield "nothing stands out"
    yield from _limited(map(_outlier_as_text, report["stand_out"]))


def _outlier_as_text(outlier: dict[str, Any]) -> str:
    what = (
        f"{outlier['who']} stands out: {outlier['what']} is {outlier['value']:g}, the median is {outlier['median']:g}"
    )
    return "\n  ".join([what, *outlier["lines"]])


def _limited(texts: Iterable[str]) -> Iterator[str]:
    """Yield the first MAX_PRINTED texts, and the number of those left out."""
    lines = list(texts)
    yield from lines[:MAX_PRINTED]
    if len(lines) > MAX_PRINTED:
        yield f"and {len(lines) - MAX_PRINTED} more"
