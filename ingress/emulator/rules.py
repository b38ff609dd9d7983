"""The rules, checked from outside: on what crosses the line between the decisions and the world.

Their wording is that of the simulator's wire; nothing here is shared with the module that is checked.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.emulator.experiment import Experiment, PlanKind, RequestKind

MAX_REPORTED_VIOLATIONS = 20  # breaks that are told one by one
COLD_BUDGET_SLACK_REQUESTS = 4.0  # mean requests beside the budget of a cold server, for chance
MIN_INFORMED_WORK_RATIO = 2 / 3  # of a cold server's load came from gateways that knew of its start


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: str
    at: float
    text: str


@dataclass(slots=True)
class TokenBucket:
    """Units a customer may use: fills at `rate` a second up to `cap`, never emptied by a change of these."""

    rate: float
    capacity: float
    level: float
    refilled_at: float = 0.0

    def refill(self, now: float) -> float:
        """Refills up to a time (s); the level then."""
        self.level = min(self.capacity, self.level + self.rate * (now - self.refilled_at))
        self.refilled_at = now
        return self.level


@dataclass(slots=True)
class SentAttempt:
    """One attempt of a request: where it went, and whether it is proved that it never ran."""

    server: str
    zone: int
    cell: int
    sent_at: float
    is_open: bool = True
    never_ran: bool = False


@dataclass(slots=True)
class RequestRecord:
    """One request at one gateway, as the rules see it."""

    id: str
    kind: RequestKind
    plan: PlanKind
    customer: int
    units: float
    deadline: float
    attempts: list[SentAttempt] = field(default_factory=list)
    is_closed: bool = False  # the gateway has ended it, or knows that it is over
    answers: int = 0
    is_exempt: bool = False  # its gateway was stopped meanwhile

    def may_have_run(self) -> bool:
        """Whether any attempt is not proved to have never run."""
        return any(not one.never_ran for one in self.attempts)


class RuleChecker:
    """Counts every break, and tells the first ones."""

    def __init__(self, experiment: Experiment, mean_work: float) -> None:
        self.limits = experiment.rules
        self.fleet = experiment.fleet
        self.mean_work = mean_work
        self.counts: Counter[str] = Counter()
        self.violations: list[Violation] = []
        self.ceilings: dict[int, TokenBucket] = {}
        self.lowest_ceiling_ratio = 1.0  # of any ceiling's store, as a share of its burst
        self._arrivals: dict[str, deque[tuple[float, float, bool]]] = {}
        self._window_work: dict[str, list[float]] = {}  # the sums of the window: all work, that of the knowing

    def report_violation(self, rule: str, now: float, text: str) -> None:
        """Counts a violation, and keeps the text of the first ones."""
        self.counts[rule] += 1
        if len(self.violations) < MAX_REPORTED_VIOLATIONS:
            self.violations.append(Violation(rule, round(now, 4), text))

    # One final answer

    def check_answer(self, now: float, one: RequestRecord, what: str) -> None:
        """A final answer leaves the gateway for the client."""
        one.answers += 1
        if one.answers > 1:
            self.report_violation("one answer", now, f"request {one.id} got answer {one.answers}: {what}")
        if now > one.deadline + self.limits.answer_slack_s and not one.is_exempt:
            self.report_violation("in time", now, f"request {one.id}: {what} {now - one.deadline:.3f} s after its time")

    def check_rejection(self, now: float, one: RequestRecord) -> None:
        """A rejection leaves the gateway: it must be harmless to retry."""
        kind = one.kind
        if kind.semantics == "safe" or (kind.semantics == "keyed" and kind.scope == "all"):
            return
        if one.may_have_run():
            self.report_violation(
                "no effect twice", now, f"{kind.semantics} request {one.id} is refused though an attempt may have run"
            )

    def check_deadline(self, now: float, one: RequestRecord) -> None:
        """The time of the request is up, with slack."""
        if not one.answers and not one.is_exempt:
            self.report_violation(
                "one answer",
                now,
                f"request {one.id} got no final answer in its time ({len(one.attempts)} attempts made)",
            )

    # Attempts

    def check_attempt(self, now: float, one: RequestRecord, server: str, zone: int, cell: int) -> None:
        """An attempt is sent."""
        if one.is_closed:
            self.report_violation("nothing after the end", now, f"request {one.id} was over and went to {server}")
        out = sum(sent.is_open for sent in one.attempts)
        if out > self.fleet.second_copies:
            self.report_violation("copies", now, f"request {one.id} has {out} attempts out and went to {server}")
        kind = one.kind
        if kind.semantics != "safe" and one.may_have_run():
            first = next(sent for sent in one.attempts if not sent.never_ran)
            there = (
                kind.scope == "all"
                or (kind.scope == "zone" and zone == first.zone)
                or (kind.scope == "cell" and cell == first.cell)
            )
            if kind.semantics == "unsafe" or not there or now > first.sent_at + kind.window_s:
                self.report_violation(
                    "no effect twice",
                    now,
                    f"{kind.semantics} request {one.id} may have run at {first.server} and went to {server}",
                )
        one.attempts.append(SentAttempt(server, zone, cell, now))

    def end_attempt(self, one: RequestRecord, number: int, outcome: Outcome) -> None:
        """An attempt has ended."""
        if number < len(one.attempts):
            one.attempts[number].is_open = False
            one.attempts[number].never_ran = outcome.never_ran

    def charge_ceiling(self, now: float, one: RequestRecord) -> None:
        """The first attempt of a try reaches a server: the ceiling's store pays."""
        plan = one.plan
        if not plan.ceiling_rate:
            return
        store = self.ceilings.get(one.customer)
        if store is None:
            store = self.ceilings[one.customer] = TokenBucket(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst)
        store.refill(now)
        store.level -= one.units
        self.lowest_ceiling_ratio = min(self.lowest_ceiling_ratio, store.level / plan.ceiling_burst)
        if store.level < -plan.ceiling_slack - 1e-9:
            self.report_violation(
                "ceiling",
                now,
                f"customer {one.customer} is {-store.level:.1f} units under its "
                f"ceiling's store, {plan.ceiling_slack:g} are allowed",
            )

    # Servers

    def check_draining(self, now: float, gateway: int, server: str, told: float | None) -> None:
        """An attempt goes to a server of which the gateway was told at `told` that it drains or is gone."""
        if told is not None and now > told + self.limits.drain_grace_s:
            self.report_violation(
                "drain", now, f"gateway {gateway} sent to {server}, told {now - told:.2f} s ago that it leaves"
            )

    def add_work(self, now: float, server: str, work: float, knew: bool, capacity: float, cold: bool) -> bool:
        """Work reaches a server; whether a cold one falls over by it.  `capacity`: nominal s a second."""
        if not cold:
            self._arrivals.pop(server, None)
            self._window_work.pop(server, None)
            return False
        window = self._arrivals.setdefault(server, deque())
        sums = self._window_work.setdefault(server, [0.0, 0.0])
        window.append((now, work, knew))
        sums[0] += work
        sums[1] += work * knew
        while window[0][0] < now - self.limits.fall_s:
            _, old, known = window.popleft()
            sums[0] -= old
            sums[1] -= old * known
        budget = self.limits.fall_factor * capacity * self.limits.fall_s + COLD_BUDGET_SLACK_REQUESTS * self.mean_work
        if sums[0] <= budget:
            return False
        if sums[1] >= MIN_INFORMED_WORK_RATIO * sums[0]:
            self.report_violation(
                "cold",
                now,
                f"{server} fell over: {sums[0]:.2f} s of work within "
                f"{self.limits.fall_s:g} s, {budget:.2f} s is what it bears",
            )
        return True

    def reset_server(self, server: str) -> None:
        """The endpoint has started anew: what it got before counts no more."""
        self._arrivals.pop(server, None)
        self._window_work.pop(server, None)


def is_leaving(entry: Endpoint) -> bool:
    """Whether the entry tells to send nothing new there."""
    return entry.readiness is not Readiness.READY
