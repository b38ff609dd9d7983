"""The rules that gateways must follow, checked on what crosses the boundary of the decision module.

The rules use the names of the emulator's messages, and share no code with the decision module that they check.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.emulator.experiment import Experiment, PlanKind, RequestKind

MAX_REPORTED_VIOLATIONS = 20  # Violations beyond these are counted without a text.
COLD_BUDGET_SLACK_REQUESTS = 4.0  # Mean requests added to the budget of a cold server to allow for random bursts.
# The collapse of a cold server is a violation if at least this share of its work came from gateways that had been
# notified of its start; other gateways can't know that it is cold.
MIN_INFORMED_WORK_RATIO = 2 / 3
ROUNDING_TOLERANCE_UNITS = 1e-9


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule.

    Attributes:
        rule: The name of the rule.
        at: When it was violated (s).
        text: A description for people.
    """

    rule: str
    at: float
    text: str


@dataclass(slots=True)
class TokenBucket:
    """A token bucket of the units that a customer may use.  A change of its rate or capacity doesn't empty it.

    Attributes:
        rate: Units refilled per second.
        capacity: The most units that it can contain.
        level: The units that it contains.
        refilled_at: The time of the latest refill (s).
    """

    rate: float
    capacity: float
    level: float
    refilled_at: float = 0.0

    def refill(self, now: float) -> float:
        """Refill the bucket up to the time `now` (s), and return its level."""
        self.level = min(self.capacity, self.level + self.rate * (now - self.refilled_at))
        self.refilled_at = now
        return self.level


@dataclass(slots=True)
class SentAttempt:
    """One attempt of a request.

    Attributes:
        server: The endpoint that it was sent to.
        zone: The zone of the endpoint.
        cell: The cell of the endpoint.
        sent_at: When it was sent (s).
        is_open: Whether it has no outcome yet.
        never_ran: Whether its outcome proves that it never ran.
    """

    server: str
    zone: int
    cell: int
    sent_at: float
    is_open: bool = True
    never_ran: bool = False


@dataclass(slots=True)
class RequestRecord:
    """One request at one gateway, as the rules see it.

    Attributes:
        id: The ID of the request.
        kind: Its request class.
        plan: The plan of its customer.
        customer: The number of its customer.
        units: The units that it costs.
        deadline: When its answer is due (s).
        attempts: Its attempts, in the order of sending.
        is_closed: Whether the gateway has ended the request, or knows that it is over.
        answers: The number of its final answers.
        is_exempt: Whether its deadline doesn't count, because its gateway was stopped or killed, or because its client
            disconnected.
    """

    id: str
    kind: RequestKind
    plan: PlanKind
    customer: int
    units: float
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    is_closed: bool = False
    answers: int = 0
    is_exempt: bool = False

    def may_have_run(self) -> bool:
        """Report whether any attempt may have run at its endpoint."""
        return any(not attempt.never_ran for attempt in self.attempts)


@dataclass(slots=True)
class WindowWork:
    """The work that reached a cold server within the window.

    Attributes:
        total: All work (s).
        informed: The work from gateways that had been notified of the server's start (s).
    """

    total: float = 0.0
    informed: float = 0.0


class RuleChecker:
    """Counts all violations, and describes the first ones.

    Attributes:
        limits: The limits of the rules.
        fleet: The settings of gateways and endpoints in the experiment.
        mean_work: The mean work of a request, in seconds on a core of nominal speed.
        counts: The number of violations by rule.
        violations: The first violations, with their texts.
        ceilings: The token bucket of each customer under a ceiling, by customer number.
        lowest_ceiling_ratio: The lowest level of any ceiling's bucket, as a share of the ceiling's burst.
    """

    def __init__(self, experiment: Experiment, mean_work: float) -> None:
        self.limits = experiment.rules
        self.fleet = experiment.fleet
        self.mean_work = mean_work
        self.counts: Counter[str] = Counter()
        self.violations: list[Violation] = []
        self.ceilings: dict[int, TokenBucket] = {}
        self.lowest_ceiling_ratio = 1.0
        # For each cold server the arrivals of the window: time, work, and whether the gateway knew of its start.
        self._arrivals: dict[str, deque[tuple[float, float, bool]]] = {}
        self._window_work: dict[str, WindowWork] = {}

    def report_violation(self, rule: str, now: float, text: str) -> None:
        """Count a violation, and keep the texts of the first ones."""
        self.counts[rule] += 1
        if len(self.violations) < MAX_REPORTED_VIOLATIONS:
            self.violations.append(Violation(rule, round(now, 4), text))

    # Final answers

    def check_answer(self, now: float, request: RequestRecord, what: str) -> None:
        """Check a final answer that a gateway sends: the request's only one, and before its deadline."""
        request.answers += 1
        if request.answers > 1:
            self.report_violation("one answer", now, f"request {request.id} got answer {request.answers}: {what}")
        if now > request.deadline + self.limits.answer_slack_s and not request.is_exempt:
            self.report_violation(
                "in time", now, f"request {request.id}: {what} {now - request.deadline:.3f} s after its deadline"
            )

    def check_rejection(self, now: float, request: RequestRecord) -> None:
        """Check that the client can retry a rejected request without a duplicate effect."""
        kind = request.kind
        if kind.semantics == "safe" or (kind.semantics == "keyed" and kind.scope == "all"):
            return
        if request.may_have_run():
            self.report_violation(
                "no effect twice",
                now,
                f"{kind.semantics} request {request.id} was rejected although an attempt may have run",
            )

    def check_deadline(self, now: float, request: RequestRecord) -> None:
        """Check at the deadline of a request, plus slack, that it has a final answer."""
        if not request.answers and not request.is_exempt:
            self.report_violation(
                "one answer",
                now,
                f"request {request.id} got no final answer before its deadline ({len(request.attempts)} attempts made)",
            )

    # Attempts

    def check_attempt(self, now: float, request: RequestRecord, server: str, zone: int, cell: int) -> None:
        """Check an attempt that a gateway sends, and record it."""
        if request.is_closed:
            self.report_violation(
                "nothing after the end", now, f"request {request.id} had ended and was sent to {server}"
            )
        open_count = sum(attempt.is_open for attempt in request.attempts)
        if open_count > self.fleet.second_copies:
            self.report_violation(
                "copies", now, f"request {request.id} has {open_count} open attempts and was sent to {server}"
            )
        kind = request.kind
        if kind.semantics != "safe" and request.may_have_run():
            first = next(attempt for attempt in request.attempts if not attempt.never_ran)
            in_scope = (
                kind.scope == "all"
                or (kind.scope == "zone" and zone == first.zone)
                or (kind.scope == "cell" and cell == first.cell)
            )
            if kind.semantics == "unsafe" or not in_scope or now > first.sent_at + kind.window_s:
                self.report_violation(
                    "no effect twice",
                    now,
                    f"{kind.semantics} request {request.id} may have run at {first.server} and was sent to {server}",
                )
        request.attempts.append(SentAttempt(server, zone, cell, now))

    def end_attempt(self, request: RequestRecord, number: int, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        if number < len(request.attempts):
            request.attempts[number].is_open = False
            request.attempts[number].never_ran = outcome.never_ran

    def charge_ceiling(self, now: float, request: RequestRecord) -> None:
        """Charge the customer's ceiling for a request whose first attempt reaches a server, and check the ceiling."""
        plan = request.plan
        if not plan.ceiling_rate:
            return
        bucket = self.ceilings.get(request.customer)
        if bucket is None:
            bucket = self.ceilings[request.customer] = TokenBucket(
                plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst
            )
        bucket.refill(now)
        bucket.level -= request.units
        self.lowest_ceiling_ratio = min(self.lowest_ceiling_ratio, bucket.level / plan.ceiling_burst)
        if bucket.level < -plan.ceiling_slack - ROUNDING_TOLERANCE_UNITS:
            self.report_violation(
                "ceiling",
                now,
                f"customer {request.customer} used {-bucket.level:.1f} units beyond its "
                f"ceiling, {plan.ceiling_slack:g} are allowed",
            )

    # Servers

    def check_draining(self, now: float, gateway: int, server: str, notified_at: float | None) -> None:
        """Check an attempt against the notice, at `notified_at`, that its server drains or is removed.

        Args:
            now: The time of the attempt (s).
            gateway: The number of the gateway.
            server: The ID of the server.
            notified_at: When the gateway was notified that the server leaves (s), None if it was not.
        """
        if notified_at is not None and now > notified_at + self.limits.drain_grace_s:
            self.report_violation(
                "drain",
                now,
                f"gateway {gateway} sent to {server}, {now - notified_at:.2f} s after the notice that it leaves",
            )

    def add_work(self, now: float, server: str, work: float, is_informed: bool, capacity: float, cold: bool) -> bool:
        """Record work that reaches a server, and report whether a cold server collapses under it.

        Args:
            now: The time (s).
            server: The ID of the server.
            work: The work, in seconds on a core of nominal speed.
            is_informed: Whether the gateway had been notified of the server's latest start.
            capacity: The seconds of nominal work that the server does in a second.
            cold: Whether the server warms up.
        """
        if not cold:
            self._arrivals.pop(server, None)
            self._window_work.pop(server, None)
            return False
        window = self._arrivals.setdefault(server, deque())
        window_work = self._window_work.setdefault(server, WindowWork())
        window.append((now, work, is_informed))
        window_work.total += work
        window_work.informed += work * is_informed
        while window[0][0] < now - self.limits.fall_s:
            _, expired_work, was_informed = window.popleft()
            window_work.total -= expired_work
            window_work.informed -= expired_work * was_informed
        budget = self.limits.fall_factor * capacity * self.limits.fall_s + COLD_BUDGET_SLACK_REQUESTS * self.mean_work
        if window_work.total <= budget:
            return False
        if window_work.informed >= MIN_INFORMED_WORK_RATIO * window_work.total:
            self.report_violation(
                "cold",
                now,
                f"{server} collapsed under {window_work.total:.2f} s of work within "
                f"{self.limits.fall_s:g} s, its limit is {budget:.2f} s",
            )
        return True

    def reset_server(self, server: str) -> None:
        """Discard the work that the endpoint received before its restart."""
        self._arrivals.pop(server, None)
        self._window_work.pop(server, None)


def is_leaving(entry: Endpoint) -> bool:
    """Report whether the entry of the endpoint list excludes the endpoint from new requests."""
    return entry.readiness is not Readiness.READY
