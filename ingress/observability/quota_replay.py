"""Report on the units that a fleet forwarded over its customers' quotas, from the logs of its ingresses.

The quota of each customer is replayed as one token bucket for the whole fleet, which is full at first and is refilled
at the rate of the plan up to its burst.  A forwarded request is within the quota if the bucket contains its units and
the customer has fewer open attempts than the limit of the plan; it then takes its units.  A request over the quota
takes nothing.  A second bucket is charged with all requests, forwarded or not, and shows what a single gateway that
received all of them would admit.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from msgspec import Struct, field, to_builtins

from ingress.decisions.settings import Plan, Settings
from ingress.decisions.token_bucket import TokenBucket
from ingress.observability.log_reader import log_files
from ingress.observability.request_log import MAX_REQUESTS, Attempt, CustomerKey, FleetLog, Request

MAX_REPORTED_CUSTOMERS = 10
MAX_EXAMPLES = 3  # requests over the quota that are listed per customer
START_LOG_DELAY_S = 1.0  # an ingress may receive requests for this long before it logs that it serves
DECIMAL_PLACES = 6  # of cost and weight


class ProcessRuns:
    """The process runs of each ingress, each from one start to the next; times are Unix time in s."""

    def __init__(self, starts: Mapping[str, Sequence[float]], earliest: Mapping[str, float]) -> None:
        self.starts = {ingress: sorted(times) for ingress, times in starts.items()}
        # An ingress that received requests before the first start in its log was already running when the log began.
        self.running_before = {
            ingress
            for ingress, times in self.starts.items()
            if ingress in earliest and earliest[ingress] < times[0] - START_LOG_DELAY_S
        }

    def restarts_before(self, ingress: str, time: float) -> int:
        """Return how many times an ingress had restarted by a time, according to its log."""
        start_count = bisect_right(self.starts.get(ingress, ()), time)
        return start_count if ingress in self.running_before else max(0, start_count - 1)


class OpenAttempts:
    """Counts the open attempts of one customer; an attempt is open from its start, inclusive, to its end, exclusive."""

    def __init__(self, spans: Iterable[tuple[float, float]] = ()) -> None:
        nonempty = [(start, end) for start, end in spans if start < end]
        self.starts = sorted(start for start, _ in nonempty)
        self.ends = sorted(end for _, end in nonempty)

    def count(self, time: float) -> int:
        """Return the number of attempts that are open at a time."""
        return bisect_left(self.starts, time) - bisect_right(self.ends, time)


class Tally(Struct):
    """A number of requests and the sum of their units."""

    requests: int = 0
    units: float = 0.0

    def add(self, units: float) -> None:
        """Count one request."""
        self.requests += 1
        self.units += units


class Origin(Struct):
    """Units over the quota, by the kind of request that they belong to.

    Attributes:
        first_request: The units of the first request of a customer at an ingress since the start of its process.
        later_request: The units of later requests.
        after_restart: The units of first and later requests at an ingress that had restarted.
        first_after_restart: The part of `after_restart` that belongs to first requests.
    """

    first_request: float = 0.0
    later_request: float = 0.0
    after_restart: float = 0.0
    first_after_restart: float = 0.0

    def add(self, units: float, *, first: bool, restarted: bool) -> None:
        """Count the units of one request."""
        if first:
            self.first_request += units
        else:
            self.later_request += units
        if restarted:
            self.after_restart += units
        if restarted and first:
            self.first_after_restart += units


class PlanReport(
    Struct,
    rename={
        "forwarded": "sent_on",
        "over_quota": "beyond",
        "rejected": "refused",
        "over_quota_cost": "cost_beyond",
        "within_quota_weight": "worth_inside",
        "within_quota_retry_weight": "worth_inside_of_repeats",
        "over_quota_cost_share": "cost_share",
        "customers_over_quota": "customers_beyond",
        "ingresses_over_quota": "ingresses_beyond",
    },
):
    """The requests of a plan's customers and their results.  Cost and weight include the plan's weight factor.

    Attributes:
        plan: The name of the plan.
        asked: All requests.
        forwarded: The requests that had an attempt.
        over_quota: The forwarded requests that were over the quota.
        rejected: The requests that were answered with a rejection.
        over_quota_cost: The cost of the requests over the quota.
        within_quota_weight: The weight of the requests that a single gateway which received all of them would admit.
        within_quota_retry_weight: The part of `within_quota_weight` that belongs to requests marked as retries.
        over_quota_cost_share: `over_quota_cost` as a share of `within_quota_weight`; None if that is 0.
        origin: The units over the quota, by the kind of request.
        customers: The number of customers with any request.
        customers_over_quota: The number of customers with any forwarded request over the quota.
        ingresses_over_quota: The number of ingresses that forwarded any request over the quota.
    """

    plan: str
    asked: Tally = field(default_factory=Tally)
    forwarded: Tally = field(default_factory=Tally)
    over_quota: Tally = field(default_factory=Tally)
    rejected: Tally = field(default_factory=Tally)
    over_quota_cost: float = 0.0
    within_quota_weight: float = 0.0
    within_quota_retry_weight: float = 0.0
    over_quota_cost_share: float | None = None
    origin: Origin = field(default_factory=Origin)
    customers: int = 0
    customers_over_quota: int = 0
    ingresses_over_quota: int = 0


class Example(Struct, frozen=True):
    """A forwarded request over the quota."""

    id: str
    ingress: str


class CustomerReport(Struct, rename={"gateway_count": "spread", "forwarded": "sent_on", "over_quota": "beyond"}):
    """A customer whose forwarded requests were partly over its quota.

    Attributes:
        plan: The name of its plan.
        customer: The id of the customer.
        gateway_count: The number of ingresses that it may use; the largest number given by its requests.
        forwarded: The requests that had an attempt.
        over_quota: The forwarded requests that were over the quota.
        ingresses: The names of the ingresses that forwarded any of its requests.
        examples: The first requests over the quota.
    """

    plan: str
    customer: str
    gateway_count: int = 1
    forwarded: Tally = field(default_factory=Tally)
    over_quota: Tally = field(default_factory=Tally)
    ingresses: list[str] = field(default_factory=list)
    examples: list[Example] = field(default_factory=list)


class QuotaReport(Struct, rename={"counts": "read", "unmatched_attempts": "attempts_of_no_request"}):
    """The report on the quotas of a fleet.

    Attributes:
        counts: The number of lines and files that were read or could not be read, by kind.
        unreadable: The first files that could not be read, each with the reason.
        requests: The number of requests.
        ingresses: The number of ingresses that received any request.
        unmatched_attempts: The number of attempts whose request is not in these logs; they are not counted as open.
        plans: The reports on all plans of the settings.
        customers: The customers with the most units over their quotas.
    """

    counts: dict[str, int]
    unreadable: list[str]
    requests: int
    ingresses: int
    unmatched_attempts: int
    plans: list[PlanReport]
    customers: list[CustomerReport]

    def as_plain_data(self) -> dict[str, Any]:
        """Return the report as plain data, with the keys of its JSON form."""
        plain_data: dict[str, Any] = to_builtins(self)
        return plain_data


class CustomerReplay:
    """Replays the requests of one customer against its quota in order of arrival, for the report on its plan."""

    def __init__(self, report: CustomerReport, plan: Plan, attempts: OpenAttempts, runs: ProcessRuns) -> None:
        self.report = report
        self.plan = plan
        self.attempts = attempts
        self.runs = runs
        self.seen_runs: set[tuple[str, int]] = (
            set()
        )  # name of an ingress, and the number of its restarts before the run
        self.ingresses: set[str] = set()
        self.ingresses_over_quota: set[str] = set()

    def replay(self, requests: Sequence[Request], plan_report: PlanReport) -> None:
        """Replay all requests of the customer; there must be at least one."""
        in_order = sorted(requests, key=lambda request: (request.arrival, request.ingress, request.id))
        first_arrival = in_order[0].arrival
        forwarded_bucket = TokenBucket(self.plan.rate, self.plan.burst, self.plan.burst, first_arrival)
        requested_bucket = TokenBucket(self.plan.rate, self.plan.burst, self.plan.burst, first_arrival)
        for request in in_order:
            self._count_requested(request, requested_bucket, plan_report)
            if request.is_forwarded:
                self._count_forwarded(request, forwarded_bucket, plan_report)
            self.seen_runs.add(self._run_of(request))
        self.report.ingresses = sorted(self.ingresses)

    def _run_of(self, request: Request) -> tuple[str, int]:
        return request.ingress, self.runs.restarts_before(request.ingress, request.arrival)

    def _take_if_within_quota(self, request: Request, bucket: TokenBucket) -> bool:
        """Take the units of a request from the bucket if it is within the quota; return whether it is."""
        limit = self.plan.concurrency_limit
        if limit and self.attempts.count(request.arrival) >= limit:
            return False
        if self.plan.rate and not bucket.fits(request.arrival, request.units):
            return False
        bucket.take(request.units)
        return True

    def _count_requested(self, request: Request, bucket: TokenBucket, plan_report: PlanReport) -> None:
        plan_report.asked.add(request.units)
        self.report.gateway_count = max(self.report.gateway_count, request.gateway_count)
        if request.is_rejected:
            plan_report.rejected.add(request.units)
        if self._take_if_within_quota(request, bucket):
            plan_report.within_quota_weight += request.priority_weight
            plan_report.within_quota_retry_weight += request.priority_weight if request.is_retry else 0.0

    def _count_forwarded(self, request: Request, bucket: TokenBucket, plan_report: PlanReport) -> None:
        plan_report.forwarded.add(request.units)
        self.report.forwarded.add(request.units)
        self.ingresses.add(request.ingress)
        if not self._take_if_within_quota(request, bucket):
            self._count_over_quota(request, plan_report)

    def _count_over_quota(self, request: Request, plan_report: PlanReport) -> None:
        ingress, run = self._run_of(request)
        plan_report.over_quota.add(request.units)
        plan_report.over_quota_cost += self.plan.over_quota_cost * request.priority_weight
        plan_report.origin.add(request.units, first=(ingress, run) not in self.seen_runs, restarted=run > 0)
        self.report.over_quota.add(request.units)
        self.ingresses_over_quota.add(ingress)
        if len(self.report.examples) < MAX_EXAMPLES:
            self.report.examples.append(Example(request.id, ingress))


class AttemptIndex:
    """Assigns each attempt to a customer.

    The log line of an attempt contains the id of the request only, and clients may use an id again.
    """

    def __init__(self, log: FleetLog) -> None:
        self.unmatched = 0
        self.spans: dict[CustomerKey, list[tuple[float, float]]] = defaultdict(list)
        if not log.needs_attempts:
            return
        arrivals: dict[tuple[str, str], list[tuple[float, CustomerKey]]] = defaultdict(list)
        for key, requests in log.requests.items():
            for request in requests:
                arrivals[request.ingress, request.id].append((request.arrival, key))
        for request_arrivals in arrivals.values():
            request_arrivals.sort()
        for attempt in log.attempts:
            self._add(attempt, arrivals.get((attempt.ingress, attempt.request), ()))

    def _add(self, attempt: Attempt, arrivals: Sequence[tuple[float, CustomerKey]]) -> None:
        if not arrivals:
            self.unmatched += 1
            return
        # Lines are written slightly after the events that they log, and times are computed back from them, so that an
        # attempt may appear to start before the arrival of its request.
        index = max(0, bisect_right(arrivals, attempt.start, key=lambda one: one[0]) - 1)
        arrival, key = arrivals[index]
        self.spans[key].append((max(arrival, attempt.start), attempt.end))


def build_report(log: FleetLog) -> QuotaReport:
    """Return the report on the logs that were read."""
    plans = {name: PlanReport(name) for name in log.plans}
    runs = ProcessRuns(log.process_starts, log.first_arrivals)
    index = AttemptIndex(log)
    customers: list[CustomerReport] = []
    ingresses_over_quota: dict[str, set[str]] = defaultdict(set)
    for key, requests in log.requests.items():
        plan_report = plans[key.plan]
        attempts = OpenAttempts(index.spans.get(key, ()))
        replay = CustomerReplay(CustomerReport(key.plan, key.customer), log.plans[key.plan], attempts, runs)
        replay.replay(requests, plan_report)
        is_over_quota = bool(replay.report.over_quota.requests)
        plan_report.customers += 1
        plan_report.customers_over_quota += is_over_quota
        ingresses_over_quota[key.plan] |= replay.ingresses_over_quota
        if is_over_quota:
            customers.append(replay.report)
    for name, plan_report in plans.items():
        plan_report.ingresses_over_quota = len(ingresses_over_quota[name])
        _round_weights(plan_report)
    return QuotaReport(
        counts=dict(log.counts),
        unreadable=log.unreadable,
        requests=log.request_count,
        ingresses=len(log.first_arrivals),
        unmatched_attempts=index.unmatched,
        plans=list(plans.values()),
        customers=_customers_most_over_quota(customers),
    )


def _round_weights(report: PlanReport) -> None:
    """Set the cost share, and round cost and weights."""
    if report.within_quota_weight:
        report.over_quota_cost_share = round(report.over_quota_cost / report.within_quota_weight, DECIMAL_PLACES)
    report.over_quota_cost = round(report.over_quota_cost, DECIMAL_PLACES)
    report.within_quota_weight = round(report.within_quota_weight, DECIMAL_PLACES)
    report.within_quota_retry_weight = round(report.within_quota_retry_weight, DECIMAL_PLACES)


def _customers_most_over_quota(customers: Iterable[CustomerReport]) -> list[CustomerReport]:
    return heapq.nsmallest(
        MAX_REPORTED_CUSTOMERS, customers, key=lambda one: (-one.over_quota.units, one.plan, one.customer)
    )


def report_on_quotas(paths: Iterable[Path], settings: Settings, max_requests: int = MAX_REQUESTS) -> QuotaReport:
    """Read logs, replay the quotas of the settings on them, and return the report.

    Raises:
        TooManyRequestsError: The logs contain more requests than `max_requests`, or too many attempts.
        FileNotFoundError: A path does not exist.
    """
    log = FleetLog(settings, max_requests)
    for path in log_files(paths):
        log.read_file(path)
    return build_report(log)
