"""Clients in simulated time: customers with quotas, a front that notices late, retries, bursts.

First tries and their work are drawn ahead of all decisions, from streams of their own, so that two
versions of the module meet the same day.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from ingress.decisions.events import RequestReceived
from ingress.emulator.experiment import Experiment, PlanKind, RequestKind
from ingress.emulator.gateways import DEADLINE_MARGIN_S, PendingRequest, RequestTarget
from ingress.emulator.kernel import Clock, RandomStream
from ingress.emulator.measure import Recorder
from ingress.emulator.network import NetworkModel
from ingress.emulator.rules import RequestRecord, TokenBucket

MIN_REMAINING_S = 0.05  # s: with less a client does not try again
MAX_RETRY_AFTER_S = 2.0  # s that a client stays away at most
ADMISSION_DELAY_S = 0.3  # s from a start until the front sends


@dataclass(slots=True)
class Customer:
    """One customer: its plan, its part of the gateways, and its store as the whole fleet should hold it."""

    number: int
    plan: PlanKind
    rate: float  # first tries a second
    first_gateway: int
    gateway_count: int
    gateway_weights: list[float]  # cumulative, over its set
    forwarded_quota: TokenBucket  # what is sent on counts here
    offered_quota: TokenBucket  # what one gateway that saw all first tries would let in
    out: int = 0


@dataclass(slots=True)
class RequestIntent:
    """What a client wants, over all its tries."""

    customer: Customer
    kind: RequestKind
    number: int
    created_at: float
    work: float
    within_quota: bool  # one gateway that saw everything would let it in
    weight: float
    submissions: int = 0
    is_finished: bool = False
    charged_ids: list[str] = field(default_factory=list)  # ids of tries that were inside the quota when sent


class ClientPopulation:
    """All clients, and the front that brings them in."""

    def __init__(
        self,
        kernel: Clock,
        experiment: Experiment,
        network: NetworkModel,
        record: Recorder,
        gateways: Sequence[RequestTarget],
        arrivals: RandomStream,
        front: RandomStream,
    ) -> None:
        self.kernel = kernel
        self.spec = experiment.load
        self.network = network
        self.recorder = record
        self.classes = experiment.classes
        self.plans = experiment.plans
        self.gateways = gateways
        self.arrivals = arrivals
        self.choices = front
        self.end_at = experiment.seconds
        self.admitted = [True] * len(gateways)
        self.bursts: list[tuple[float, float, float, int]] = []  # bursts: from, to, factor, customers
        fleet = experiment.fleet
        self.mean_work = mean_work(experiment)
        capacity = fleet.servers * fleet.cores * sum(fleet.speed) / 2
        self.rate = self.spec.rate or self.spec.use * capacity / self.mean_work
        self.customers: list[Customer] = []
        self._class_weights = list(accumulate(kind.share for kind in self.classes))
        self._create_customers()
        self._customer_weights = list(accumulate(customer.rate for customer in self.customers))
        self.intent_count = 0

    def _create_customers(self) -> None:
        spec = self.spec
        count = len(self.gateways)
        shares = sum(plan.share for plan in self.plans)
        for plan in self.plans:
            left = self.rate * plan.share / shares
            rate = plan.rate or plan.at_once  # without a rate: what it keeps out at about a second each
            while left > 0:
                use = spec.heavy_x if self.arrivals.chance(spec.heavy) else self.arrivals.uniform(*spec.calm_use)
                left -= min(use, 1.0) * rate
                most = min(count, max(2, int(plan.ceiling_burst / 2))) if plan.ceiling_rate else count
                spread = min(most, max(1, round(spec.spread * count * self.arrivals.uniform(0.7, 1.0))))
                weights = [self.arrivals.lognormal(1.0, spec.uneven) for _ in range(spread)]
                self.customers.append(
                    Customer(
                        len(self.customers),
                        plan,
                        use * rate,
                        self.arrivals.integer_below(count),
                        spread,
                        list(accumulate(weights)),
                        TokenBucket(plan.rate, plan.burst, plan.burst),
                        TokenBucket(plan.rate, plan.burst, plan.burst),
                    )
                )

    # First tries

    def start(self) -> None:
        """Begins to send first requests."""
        self._schedule_candidate()

    def add_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """All (or the first so many customers) ask `factor` times as much."""
        self.bursts.append((start, end, factor, customers))

    def change_plans(self, plans: dict[str, PlanKind], resize: Callable[[TokenBucket, PlanKind], None]) -> None:
        """Other quotas; what customers ask for stays."""
        for customer in self.customers:
            customer.plan = plans[customer.plan.name]
            resize(customer.forwarded_quota, customer.plan)
            resize(customer.offered_quota, customer.plan)

    def _burst_rates(self, now: float) -> tuple[float, float]:
        """Of all; and first tries a second that come beside, from a few."""
        every = 1.0
        few = 0.0
        for start, end, factor, customers in self.bursts:
            if start <= now < end and not customers:
                every *= factor
            elif start <= now < end:
                few += (factor - 1.0) * self._customer_weights[min(customers, len(self.customers)) - 1]
        return every, max(0.0, few)

    def _schedule_candidate(self) -> None:
        """Thinning: candidates come at the highest rate that is known now, in slices of a second."""
        total = self._customer_weights[-1]
        now = self.kernel.now
        ahead = [now, *(t for push in self.bursts for t in push[:2] if now < t < now + 1.0)]
        most = max(total * every + few for every, few in map(self._burst_rates, ahead))
        wait = self.arrivals.exponential(1.0 / most)
        if wait > 1.0:
            self.kernel.after(1.0, self._schedule_candidate)
            return
        self.kernel.after(wait, self._candidate, most)

    def _candidate(self, most: float) -> None:
        now = self.kernel.now
        total = self._customer_weights[-1]
        if now >= self.end_at:
            return
        every, few = self._burst_rates(now)
        mark = self.arrivals.uniform(0.0, most)
        pick = self.arrivals.uniform()
        kind = self.classes[
            bisect(self._class_weights, self.arrivals.uniform(0.0, self._class_weights[-1]) * (1 - 1e-12))
        ]
        work = self.arrivals.lognormal(self.spec.work_ms / 1000 * kind.work, self.spec.cv)
        if mark < total * every:
            self._create_intent(bisect(self._customer_weights, pick * total * (1 - 1e-12)), kind, work)
        elif mark < total * every + few:
            hot = max((p[3] for p in self.bursts if p[0] <= now < p[1]), default=1)
            top = self._customer_weights[min(hot, len(self.customers)) - 1]
            self._create_intent(bisect(self._customer_weights, pick * top * (1 - 1e-12)), kind, work)
        self._schedule_candidate()

    def _create_intent(self, number: int, kind: RequestKind, work: float) -> None:
        now = self.kernel.now
        customer = self.customers[number]
        inside = not customer.plan.rate or customer.offered_quota.refill(now) >= 1.0
        if inside:
            customer.offered_quota.level -= 1.0
        self.intent_count += 1
        wish = RequestIntent(customer, kind, self.intent_count, now, work, inside, kind.worth * customer.plan.price)
        self.recorder.count(now, "first tries")
        if inside:
            self.recorder.weights["offered"] += wish.weight
        self._submit(wish)

    # Tries

    def gateway_down(self, number: int) -> None:
        """It died: the front goes on sending until it notices."""
        notice = self.choices.uniform(*self.spec.notice_s)
        self.kernel.after(notice, self._withdraw, number, self.gateways[number].incarnation)

    def _withdraw(self, number: int, life: int) -> None:
        if not self.gateways[number].up and self.gateways[number].incarnation == life:
            self.admitted[number] = False

    def gateway_up(self, number: int) -> None:
        """A gateway started: the load balancer sends to it after a while."""
        self.kernel.after(ADMISSION_DELAY_S, self._admit, number, self.gateways[number].incarnation)

    def _admit(self, number: int, life: int) -> None:
        if self.gateways[number].incarnation == life:
            self.admitted[number] = True

    def set_admitted(self, number: int, on: bool) -> None:
        """The front has read the gateway's answer to PING."""
        self.admitted[number] = on

    def _choose_gateway(self, customer: Customer) -> RequestTarget | None:
        """By weight; another of the set in the place of one that is not admitted."""
        count = len(self.gateways)
        place = bisect(customer.gateway_weights, self.choices.uniform(0, customer.gateway_weights[-1]) * (1 - 1e-12))
        for step in range(customer.gateway_count):
            number = (customer.first_gateway + (place + step) % customer.gateway_count) % count
            if self.admitted[number]:
                return self.gateways[number]
        return None

    def _submit(self, wish: RequestIntent) -> None:
        now = self.kernel.now
        left = wish.created_at + wish.kind.deadline_s - now
        if wish.is_finished or left < MIN_REMAINING_S:
            self._abandon(wish)
            return
        wish.submissions += 1
        self.recorder.count(now, "tries")
        gateway = self._choose_gateway(wish.customer)
        if gateway is None or not gateway.up:
            self.recorder.count(now, "unreached")
            self._retry(wish, 0.0)
            return
        name = f"{wish.number:x}.{wish.submissions}"
        customer = wish.customer
        record = RequestRecord(name, wish.kind, customer.plan, customer.number, 1.0, now + left)
        held = PendingRequest(gateway, record, wish.work, wish)
        event = RequestReceived(
            name,
            wish.kind.name,
            customer.plan.name,
            f"{customer.number:016x}",
            left - min(DEADLINE_MARGIN_S, left / 10),
            1.0,
            customer.gateway_count,
            customer.first_gateway,
            wish.submissions > 1,
            wish.kind.semantics != "safe",
        )
        self.kernel.after(self.network.client_delay(), gateway.submit, held, event)
        self.kernel.at(now + left, self._deadline_passed, held)
        if self.choices.chance(self.spec.impatient):
            self.kernel.after(left * self.choices.uniform(0.2, 0.9), self._disconnect, held)

    def _deadline_passed(self, held: PendingRequest) -> None:
        wish = held.intent
        assert isinstance(wish, RequestIntent)
        if not held.answered and not wish.is_finished and held.record.id == f"{wish.number:x}.{wish.submissions}":
            self._abandon(wish)

    def _disconnect(self, held: PendingRequest) -> None:
        wish = held.intent
        assert isinstance(wish, RequestIntent)
        if not held.answered and not wish.is_finished:
            self.recorder.count(self.kernel.now, "left by clients")
            wish.is_finished = True
            held.gateway.client_disconnected(held)

    def _retry(self, wish: RequestIntent, advice: float) -> None:
        if wish.is_finished or wish.submissions > self.spec.retries:
            self._abandon(wish)
            return
        wait = self.choices.exponential(self.spec.backoff_ms / 1000 * 2 ** (wish.submissions - 1))
        if advice and self.choices.chance(self.spec.honour):
            wait = max(wait, min(advice, MAX_RETRY_AFTER_S))
        self.kernel.after(wait + self.network.client_delay(), self._submit, wish)

    def _abandon(self, wish: RequestIntent) -> None:
        if not wish.is_finished:
            wish.is_finished = True
            self.recorder.count(self.kernel.now, "unserved")
            if wish.within_quota:
                self.recorder.count(self.kernel.now, "unserved inside quotas")

    # How tries end

    def attempt_arrived(self, held: PendingRequest) -> None:
        """The first attempt of a try has reached a server: it counts against the quota."""
        wish = held.intent
        now = self.kernel.now
        assert isinstance(wish, RequestIntent)
        customer = wish.customer
        plan = wish.customer.plan
        self.recorder.count(now, "sent on")
        if not plan.rate or customer.forwarded_quota.refill(now) >= 1.0:
            customer.forwarded_quota.level -= 1.0 if plan.rate else 0.0
            wish.charged_ids.append(held.record.id)
        else:
            self.recorder.count(now, "beyond quotas")
            self.recorder.weights["over cost"] += plan.over_cost * wish.weight

    def request_served(self, held: PendingRequest) -> None:
        """A request was served: counts its worth, within or over the quota."""
        wish = held.intent
        assert isinstance(wish, RequestIntent)
        if wish.is_finished:
            return
        wish.is_finished = True
        back = self.network.client_delay()
        took = self.kernel.now + back - wish.created_at
        now = self.kernel.now
        self.recorder.add_latency(now, "request", took)
        good = took <= wish.kind.aim_s
        self.recorder.count(now, "served" if good else "served late")
        if wish.within_quota and held.record.id in wish.charged_ids:
            self.recorder.weights["earned"] += wish.weight * (1.0 if good else wish.kind.late_worth)

    def request_rejected(self, held: PendingRequest, wait: float, reason: str) -> None:
        """A request was rejected: its client may retry after the wait (s), or after its own backoff."""
        wish = held.intent
        now = self.kernel.now
        assert isinstance(wish, RequestIntent)
        self.recorder.count(now, f"refused.{reason}")
        store = wish.customer.forwarded_quota
        if wish.customer.plan.rate and store.refill(now) >= store.capacity / 2:
            self.recorder.count(now, "refused with room")
        self._retry(wish, wait)

    def request_failed(self, held: PendingRequest, reason: str) -> None:
        """A request failed: its client may retry where that is safe."""
        wish = held.intent
        assert isinstance(wish, RequestIntent)
        self.recorder.count(self.kernel.now, f"failed.{reason}")
        if wish.kind.semantics == "safe":
            self._retry(wish, 0.0)
        else:
            self._abandon(wish)

    def connection_lost(self, held: PendingRequest) -> None:
        """The gateway died with the try in it."""
        wish = held.intent
        assert isinstance(wish, RequestIntent)
        self.recorder.count(self.kernel.now, "cut off")
        if wish.kind.semantics == "safe":
            self._retry(wish, 0.0)
        else:
            self._abandon(wish)


def mean_work(experiment: Experiment) -> float:
    """Seconds on a core of nominal speed that a request takes on the mean."""
    shares = sum(kind.share for kind in experiment.classes)
    mix = sum(kind.share * kind.work for kind in experiment.classes) / shares
    return experiment.load.work_ms / 1000 * mix
