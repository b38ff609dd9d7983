"""Simulated clients: customers with quotas behind a load balancer that detects failures late, retries, load bursts.

First submissions and their work are drawn ahead of all decisions, from a random stream of their own, so that two
versions of the decision module receive the same load.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from ingress.decisions.events import RequestReceived
from ingress.emulator.experiment import Experiment, PlanKind, RequestKind
from ingress.emulator.gateways import DEADLINE_MARGIN_S
from ingress.emulator.kernel import Clock, RandomStream
from ingress.emulator.measure import Recorder
from ingress.emulator.network import NetworkModel
from ingress.emulator.requests import PendingRequest, RequestTarget
from ingress.emulator.rules import RequestRecord, TokenBucket

MIN_REMAINING_S = 0.05  # With less time to the deadline a client doesn't retry.
MAX_RETRY_AFTER_S = 2.0  # The longest Retry-After that a client waits.
ADMISSION_DELAY_S = 0.3  # From the start of a gateway until the load balancer sends to it.
THINNING_WINDOW_S = 1.0  # Candidate arrivals are drawn at the highest rate within this time.
BELOW_ONE = 1 - 1e-12  # Keeps a scaled draw below the last cumulative weight, so that bisect finds a valid index.
MIN_SPREAD_RATIO = 0.7  # The smallest set of a customer, as a share of the greatest.
IMPATIENCE_RANGE = (0.2, 0.9)  # When an impatient client disconnects, as a share of the time to the deadline.


@dataclass(slots=True)
class Customer:
    """One customer.

    Attributes:
        number: Its index in the population.
        plan: Its plan.
        rate: First submissions per second.
        first_gateway: The first gateway of the set that it uses.
        gateway_count: The number of gateways of the set.
        gateway_weights: The cumulative weights of the gateways of the set.
        forwarded_quota: The quota as the whole fleet should enforce it, charged with forwarded requests.
        offered_quota: The quota as a single gateway that received all first submissions would enforce it.
    """

    number: int
    plan: PlanKind
    rate: float
    first_gateway: int
    gateway_count: int
    gateway_weights: list[float]
    forwarded_quota: TokenBucket
    offered_quota: TokenBucket


@dataclass(slots=True)
class RequestIntent:
    """A request that a client wants served, over all its submissions.

    Attributes:
        customer: The customer.
        kind: The request class.
        number: A number that is unique in the run.
        created_at: When it is first submitted (s).
        work: The work of an attempt, in seconds on a core of nominal speed.
        within_quota: Whether a single gateway that received all first submissions would admit it.
        weight: The priority weight of its class times the price of its customer's plan.
        submissions: The number of submissions so far.
        is_finished: Whether it was served, or its client gave up.
        charged_ids: The IDs of the submissions that were within the quota when they were forwarded.
    """

    customer: Customer
    kind: RequestKind
    number: int
    created_at: float
    work: float
    within_quota: bool
    weight: float
    submissions: int = 0
    is_finished: bool = False
    charged_ids: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LoadBurst:
    """A time during which customers submit more requests.

    Attributes:
        start: When it begins (s).
        end: When it ends (s).
        factor: The factor on the rate of the customers.
        customers: How many of the first customers take part; 0 stands for all.
    """

    start: float
    end: float
    factor: float
    customers: int


class ClientPopulation:
    """All clients, and the load balancer that forwards their requests to the gateways.

    Attributes:
        kernel: The clock.
        spec: The settings of the load in the experiment.
        network: The network between clients and gateways.
        recorder: The counters and latencies of the run.
        classes: The request classes.
        plans: The plans.
        gateways: The gateways, by number.
        arrival_random: The random stream of customers, first submissions and their work.
        choice_random: The random stream of all other choices, which depend on the decisions of the gateways.
        end_at: When first submissions end (s).
        admitted: Whether the load balancer sends to a gateway, by number.
        bursts: The bursts of the run.
        mean_work: The mean work of a request, in seconds on a core of nominal speed.
        rate: First submissions within the quotas per second.
        customers: The customers, by number.
        intent_count: The number of requests that clients wanted served so far.
    """

    def __init__(
        self,
        kernel: Clock,
        experiment: Experiment,
        network: NetworkModel,
        recorder: Recorder,
        gateways: Sequence[RequestTarget],
        arrivals: RandomStream,
        choices: RandomStream,
    ) -> None:
        self.kernel = kernel
        self.spec = experiment.load
        self.network = network
        self.recorder = recorder
        self.classes = experiment.classes
        self.plans = experiment.plans
        self.gateways = gateways
        self.arrival_random = arrivals
        self.choice_random = choices
        self.end_at = experiment.seconds
        self.admitted = [True] * len(gateways)
        self.bursts: list[LoadBurst] = []
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
        total_share = sum(plan.share for plan in self.plans)
        for plan in self.plans:
            remaining_rate = self.rate * plan.share / total_share
            # A plan without a rate admits about `at_once` requests per second, as each takes about a second.
            plan_rate = plan.rate or plan.at_once
            while remaining_rate > 0:
                is_heavy = self.arrival_random.chance(spec.heavy)
                use = spec.heavy_x if is_heavy else self.arrival_random.uniform(*spec.calm_use)
                remaining_rate -= min(use, 1.0) * plan_rate
                self._create_customer(plan, use * plan_rate)

    def _create_customer(self, plan: PlanKind, rate: float) -> None:
        count = len(self.gateways)
        max_gateways = min(count, max(2, int(plan.ceiling_burst / 2))) if plan.ceiling_rate else count
        nominal_gateways = self.spec.spread * count
        gateway_count = min(
            max_gateways, max(1, round(nominal_gateways * self.arrival_random.uniform(MIN_SPREAD_RATIO, 1.0)))
        )
        weights = [self.arrival_random.lognormal(1.0, self.spec.uneven) for _ in range(gateway_count)]
        self.customers.append(
            Customer(
                number=len(self.customers),
                plan=plan,
                rate=rate,
                first_gateway=self.arrival_random.integer_below(count),
                gateway_count=gateway_count,
                gateway_weights=list(accumulate(weights)),
                forwarded_quota=TokenBucket(plan.rate, plan.burst, plan.burst),
                offered_quota=TokenBucket(plan.rate, plan.burst, plan.burst),
            )
        )

    # First submissions

    def start(self) -> None:
        """Start to submit requests."""
        self._schedule_candidate()

    def add_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """Multiply the rate of all customers, or of the first ones, by `factor` during a time."""
        self.bursts.append(LoadBurst(start, end, factor, customers))

    def change_plans(self, plans: dict[str, PlanKind], resize: Callable[[TokenBucket, PlanKind], None]) -> None:
        """Change the quotas of all customers, but not the rates at which they submit requests."""
        for customer in self.customers:
            customer.plan = plans[customer.plan.name]
            resize(customer.forwarded_quota, customer.plan)
            resize(customer.offered_quota, customer.plan)

    def _burst_rates(self, now: float) -> tuple[float, float]:
        """Return the factor on the rate of all customers, and the additional rate of bursts of the first customers."""
        factor = 1.0
        additional_rate = 0.0
        for burst in self.bursts:
            if burst.start <= now < burst.end and not burst.customers:
                factor *= burst.factor
            elif burst.start <= now < burst.end:
                last = min(burst.customers, len(self.customers)) - 1
                additional_rate += (burst.factor - 1.0) * self._customer_weights[last]
        return factor, max(0.0, additional_rate)

    def _schedule_candidate(self) -> None:
        """Schedule the next candidate arrival of a Poisson process that is thinned to the rate of its time.

        Candidates come at the highest rate within the thinning window.  Without one in the window, the next window
        begins.
        """
        total_rate = self._customer_weights[-1]
        now = self.kernel.now
        window_end = now + THINNING_WINDOW_S
        changes = [t for burst in self.bursts for t in (burst.start, burst.end) if now < t < window_end]
        max_rate = max(
            total_rate * factor + additional_rate for factor, additional_rate in map(self._burst_rates, [now, *changes])
        )
        wait = self.arrival_random.exponential(1.0 / max_rate)
        if wait > THINNING_WINDOW_S:
            self.kernel.after(THINNING_WINDOW_S, self._schedule_candidate)
            return
        self.kernel.after(wait, self._candidate, max_rate)

    def _candidate(self, max_rate: float) -> None:
        now = self.kernel.now
        total_rate = self._customer_weights[-1]
        if now >= self.end_at:
            return
        factor, additional_rate = self._burst_rates(now)
        thinning_mark = self.arrival_random.uniform(0.0, max_rate)
        customer_pick = self.arrival_random.uniform()
        class_pick = self.arrival_random.uniform(0.0, self._class_weights[-1])
        kind = self.classes[bisect(self._class_weights, class_pick * BELOW_ONE)]
        work = self.arrival_random.lognormal(self.spec.work_ms / 1000 * kind.work, self.spec.cv)
        if thinning_mark < total_rate * factor:
            self._create_intent(bisect(self._customer_weights, customer_pick * total_rate * BELOW_ONE), kind, work)
        elif thinning_mark < total_rate * factor + additional_rate:
            active = (burst.customers for burst in self.bursts if burst.start <= now < burst.end)
            customer_count = max(active, default=1)
            burst_weight = self._customer_weights[min(customer_count, len(self.customers)) - 1]
            self._create_intent(bisect(self._customer_weights, customer_pick * burst_weight * BELOW_ONE), kind, work)
        self._schedule_candidate()

    def _create_intent(self, number: int, kind: RequestKind, work: float) -> None:
        now = self.kernel.now
        customer = self.customers[number]
        within_quota = not customer.plan.rate or customer.offered_quota.refill(now) >= 1.0
        if within_quota:
            customer.offered_quota.level -= 1.0
        self.intent_count += 1
        weight = kind.worth * customer.plan.price
        intent = RequestIntent(customer, kind, self.intent_count, now, work, within_quota, weight)
        self.recorder.count(now, "first tries")
        if within_quota:
            self.recorder.weights["offered"] += intent.weight
        self._submit(intent)

    # Submissions

    def gateway_down(self, number: int) -> None:
        """Schedule the withdrawal of a gateway that died, until which the load balancer still sends to it."""
        notice_s = self.choice_random.uniform(*self.spec.notice_s)
        self.kernel.after(notice_s, self._withdraw, number, self.gateways[number].incarnation)

    def _withdraw(self, number: int, incarnation: int) -> None:
        if not self.gateways[number].up and self.gateways[number].incarnation == incarnation:
            self.admitted[number] = False

    def gateway_up(self, number: int) -> None:
        """Admit a gateway that has started, after the admission delay."""
        self.kernel.after(ADMISSION_DELAY_S, self._admit, number, self.gateways[number].incarnation)

    def _admit(self, number: int, incarnation: int) -> None:
        if self.gateways[number].incarnation == incarnation:
            self.admitted[number] = True

    def set_admitted(self, number: int, admitted: bool) -> None:
        """Apply the gateway's answer to a PING of the load balancer."""
        self.admitted[number] = admitted

    def _choose_gateway(self, customer: Customer) -> RequestTarget | None:
        """Choose a gateway of the customer's set by weight, or the next admitted one if that is not admitted."""
        count = len(self.gateways)
        weight_pick = self.choice_random.uniform(0, customer.gateway_weights[-1])
        index = bisect(customer.gateway_weights, weight_pick * BELOW_ONE)
        for step in range(customer.gateway_count):
            number = (customer.first_gateway + (index + step) % customer.gateway_count) % count
            if self.admitted[number]:
                return self.gateways[number]
        return None

    def _submit(self, intent: RequestIntent) -> None:
        now = self.kernel.now
        remaining = intent.created_at + intent.kind.deadline_s - now
        if intent.is_finished or remaining < MIN_REMAINING_S:
            self._abandon(intent)
            return
        intent.submissions += 1
        self.recorder.count(now, "tries")
        gateway = self._choose_gateway(intent.customer)
        if gateway is None or not gateway.up:
            self.recorder.count(now, "unreached")
            self._retry(intent, 0.0)
            return
        request_id = f"{intent.number:x}.{intent.submissions}"
        customer = intent.customer
        record = RequestRecord(request_id, intent.kind, customer.plan, customer.number, 1.0, now + remaining)
        request = PendingRequest(gateway, record, intent.work, intent)
        event = RequestReceived(
            request_id,
            intent.kind.name,
            customer.plan.name,
            f"{customer.number:016x}",
            remaining - min(DEADLINE_MARGIN_S, remaining / 10),
            1.0,
            customer.gateway_count,
            customer.first_gateway,
            intent.submissions > 1,
            intent.kind.semantics != "safe",
        )
        self.kernel.after(self.network.client_delay(), gateway.submit, request, event)
        self.kernel.at(now + remaining, self._deadline_passed, request)
        if self.choice_random.chance(self.spec.impatient):
            self.kernel.after(remaining * self.choice_random.uniform(*IMPATIENCE_RANGE), self._disconnect, request)

    def _deadline_passed(self, request: PendingRequest) -> None:
        intent = request.intent
        assert isinstance(intent, RequestIntent)
        if (
            not request.answered
            and not intent.is_finished
            and request.record.id == f"{intent.number:x}.{intent.submissions}"
        ):
            self._abandon(intent)

    def _disconnect(self, request: PendingRequest) -> None:
        intent = request.intent
        assert isinstance(intent, RequestIntent)
        if not request.answered and not intent.is_finished:
            self.recorder.count(self.kernel.now, "left by clients")
            intent.is_finished = True
            request.gateway.client_disconnected(request)

    def _retry(self, intent: RequestIntent, retry_after: float) -> None:
        if intent.is_finished or intent.submissions > self.spec.retries:
            self._abandon(intent)
            return
        wait = self.choice_random.exponential(self.spec.backoff_ms / 1000 * 2 ** (intent.submissions - 1))
        if retry_after and self.choice_random.chance(self.spec.honour):
            wait = max(wait, min(retry_after, MAX_RETRY_AFTER_S))
        self.kernel.after(wait + self.network.client_delay(), self._submit, intent)

    def _abandon(self, intent: RequestIntent) -> None:
        if not intent.is_finished:
            intent.is_finished = True
            self.recorder.count(self.kernel.now, "unserved")
            if intent.within_quota:
                self.recorder.count(self.kernel.now, "unserved inside quotas")

    # Results of submissions

    def attempt_arrived(self, request: PendingRequest) -> None:
        """Charge the customer's quota for a request whose first attempt has reached a server."""
        intent = request.intent
        now = self.kernel.now
        assert isinstance(intent, RequestIntent)
        customer = intent.customer
        plan = intent.customer.plan
        self.recorder.count(now, "sent on")
        if not plan.rate or customer.forwarded_quota.refill(now) >= 1.0:
            customer.forwarded_quota.level -= 1.0 if plan.rate else 0.0
            intent.charged_ids.append(request.record.id)
        else:
            self.recorder.count(now, "beyond quotas")
            self.recorder.weights["over cost"] += plan.over_cost * intent.weight

    def request_served(self, request: PendingRequest) -> None:
        """Count a served request, and the weight that it earned if it was within the quota."""
        intent = request.intent
        assert isinstance(intent, RequestIntent)
        if intent.is_finished:
            return
        intent.is_finished = True
        response_delay = self.network.client_delay()
        latency = self.kernel.now + response_delay - intent.created_at
        now = self.kernel.now
        self.recorder.add_latency(now, "request", latency)
        in_time = latency <= intent.kind.aim_s
        self.recorder.count(now, "served" if in_time else "served late")
        if intent.within_quota and request.record.id in intent.charged_ids:
            self.recorder.weights["earned"] += intent.weight * (1.0 if in_time else intent.kind.late_worth)

    def request_rejected(self, request: PendingRequest, retry_after: float, reason: str) -> None:
        """Count a rejected request, and retry it after `retry_after` (s) or the client's own backoff."""
        intent = request.intent
        now = self.kernel.now
        assert isinstance(intent, RequestIntent)
        self.recorder.count(now, f"refused.{reason}")
        quota = intent.customer.forwarded_quota
        if intent.customer.plan.rate and quota.refill(now) >= quota.capacity / 2:
            self.recorder.count(now, "refused with room")
        self._retry(intent, retry_after)

    def request_failed(self, request: PendingRequest, reason: str) -> None:
        """Count a failed request, and retry it if that is safe."""
        intent = request.intent
        assert isinstance(intent, RequestIntent)
        self.recorder.count(self.kernel.now, f"failed.{reason}")
        if intent.kind.semantics == "safe":
            self._retry(intent, 0.0)
        else:
            self._abandon(intent)

    def connection_lost(self, request: PendingRequest) -> None:
        """Count a request whose gateway died, and retry it if that is safe."""
        intent = request.intent
        assert isinstance(intent, RequestIntent)
        self.recorder.count(self.kernel.now, "cut off")
        if intent.kind.semantics == "safe":
            self._retry(intent, 0.0)
        else:
            self._abandon(intent)


def mean_work(experiment: Experiment) -> float:
    """Return the mean work of a request, in seconds on a core of nominal speed."""
    total_share = sum(kind.share for kind in experiment.classes)
    mean_factor = sum(kind.share * kind.work for kind in experiment.classes) / total_share
    return experiment.load.work_ms / 1000 * mean_factor
