"""Collect the requests, attempts and process starts in the logs of many ingresses, for the report on quotas.

The requests of different ingresses must be sorted by time, so all of them are kept in memory, which grows with the logs
up to a limit on the number of requests.  The logs must be written with `EDGE_LOG=requests`.
"""

from __future__ import annotations

import re
from collections import defaultdict
from math import isfinite
from sys import intern
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct, convert, field

from ingress.decisions.settings import Settings
from ingress.errors import IngressError
from ingress.observability.log_reader import ATTEMPT_EVENT, RESULT_EVENTS, LogLine, LogReader
from ingress.runtime.clock import MS_PER_SECOND
from ingress.runtime.metrics import RequestResult

MAX_REQUESTS = 2_000_000  # default limit on the requests kept in memory
START_EVENT = re.compile(r".+ serves on \S+:\d+")
START_LOGGERS = frozenset(
    {"ingress.ingress", "mulleinhall.net.ingress"}
)  # of this build, and of builds before the package was renamed
UNKNOWN_NAMES = "requests of a plan or class that the settings do not name"


class TooManyRequestsError(IngressError):
    """The logs contain more requests or attempts than the limit on what is kept in memory."""


class RequestFields(Struct):
    """The fields that are needed of a log line with the result of a request, under the names in the log."""

    id: str
    request_class: str = field(name="class")
    plan: str
    customer: str
    attempts: Annotated[int, Meta(ge=0)]
    units: Annotated[float, Meta(gt=0, lt=1e9)]
    spread: Annotated[int, Meta(ge=1)]
    repeat: bool
    ms: Annotated[float, Meta(ge=0, lt=1e9)]


class AttemptFields(Struct):
    """The fields that are needed of the log line of an attempt, under the names in the log."""

    id: str
    ms: Annotated[float, Meta(ge=0, lt=1e9)]


class Request(Struct, frozen=True, gc=False):
    """A request at the ingress that received it.

    Attributes:
        arrival: The time at which it arrived (Unix time in s).
        ingress: The name of the ingress that received it.
        id: The request id that the client chose.
        units: The units that it takes from the quota.
        priority_weight: The priority weight of its class, times the weight factor of its plan, times its units.
        gateway_count: The number of ingresses that share the quota of its customer.
        is_retry: Whether the client marked it as a retry.
        is_forwarded: Whether it had at least one attempt.
        is_rejected: Whether its final answer was a rejection.
    """

    arrival: float
    ingress: str
    id: str
    units: float
    priority_weight: float
    gateway_count: int
    is_retry: bool
    is_forwarded: bool
    is_rejected: bool


class Attempt(Struct, frozen=True, gc=False):
    """An attempt of a request, from `start` to `end` (Unix time in s)."""

    ingress: str
    request: str
    start: float
    end: float


class CustomerKey(NamedTuple):
    """A customer under one plan."""

    plan: str
    customer: str


class FleetLog(LogReader):
    """Collects the requests, the attempts and the process starts of all ingresses.

    Attributes:
        max_requests: The limit on the number of requests.
        max_attempts: The limit on the number of attempts.
        plans: The plans of the settings, by name.
        class_weights: The priority weight of each request class of the settings.
        needs_attempts: Whether a plan limits the number of open attempts; otherwise attempts are not collected.
        requests: The requests of each customer.
        request_count: The number of requests of all customers.
        attempts: The attempts, in the order of the logs.
        process_starts: The times at which each ingress started (Unix time in s).
        first_arrivals: The arrival of the first request at each ingress (Unix time in s).
    """

    def __init__(self, settings: Settings, max_requests: int) -> None:
        super().__init__()
        self.max_requests = max_requests
        self.max_attempts = max_requests * settings.max_attempts
        self.plans = {plan.name: plan for plan in settings.plans}
        self.class_weights = {request_class.name: request_class.priority_weight for request_class in settings.classes}
        self.needs_attempts = any(plan.concurrency_limit for plan in settings.plans)
        self.requests: dict[CustomerKey, list[Request]] = defaultdict(list)
        self.request_count = 0
        self.attempts: list[Attempt] = []
        self.process_starts: dict[str, list[float]] = defaultdict(list)
        self.first_arrivals: dict[str, float] = {}

    def handle_line(self, line: LogLine) -> None:
        """Collect the request, the attempt or the process start that a line logs.

        Raises:
            TooManyRequestsError: The logs exceed the limit on requests or attempts.
            ValueError: The time of the line is infinite, or a field is missing or invalid.
        """
        if not isfinite(line.time):
            raise ValueError(f"the time of a log line is not finite: {line.time}")
        if line.is_request_line and line.event in RESULT_EVENTS:
            self._add_request(line)
        elif line.is_request_line and line.event == ATTEMPT_EVENT and self.needs_attempts:
            self._add_attempt(line)
        elif line.fields.get("logger") in START_LOGGERS and START_EVENT.fullmatch(line.event):
            self.process_starts[line.ingress].append(line.time)

    def _add_request(self, line: LogLine) -> None:
        fields = convert(line.fields, RequestFields)
        if fields.plan not in self.plans or fields.request_class not in self.class_weights:
            self.counts[UNKNOWN_NAMES] += 1
            return
        if self.request_count >= self.max_requests:
            raise TooManyRequestsError(
                f"the logs contain more than {self.max_requests} requests; pass fewer logs or raise --most-requests"
            )
        self.request_count += 1
        ingress = intern(line.ingress)
        arrival = line.time - fields.ms / MS_PER_SECOND
        self.first_arrivals[ingress] = min(arrival, self.first_arrivals.get(ingress, arrival))
        weight = self.class_weights[fields.request_class] * self.plans[fields.plan].weight_factor * fields.units
        self.requests[CustomerKey(fields.plan, fields.customer)].append(
            Request(
                arrival=arrival,
                ingress=ingress,
                id=fields.id,
                units=fields.units,
                priority_weight=weight,
                gateway_count=fields.spread,
                is_retry=fields.repeat,
                is_forwarded=fields.attempts > 0,
                is_rejected=line.event == RequestResult.DECLINED.value,
            )
        )

    def _add_attempt(self, line: LogLine) -> None:
        fields = convert(line.fields, AttemptFields)
        if len(self.attempts) >= self.max_attempts:
            raise TooManyRequestsError(
                f"the logs contain more than {self.max_attempts} attempts; pass fewer logs or raise --most-requests"
            )
        self.attempts.append(Attempt(intern(line.ingress), fields.id, line.time - fields.ms / MS_PER_SECOND, line.time))
