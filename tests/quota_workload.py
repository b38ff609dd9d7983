"""A workload model without faults: customers send requests to many gateways, some of them more than their quotas allow.

All draws are seeded and time is simulated.  The decisions are those of real gateways; servers always respond, and there
are so many of them that no gateway sheds load.  `draw_workload` draws the requests, and `run_gateways` sends them to
the gateways.  There are two references for comparison: a single gateway that sees every request, whose decisions define
which requests are within the quotas, and a policy that sees the state of the quotas with a delay.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from itertools import accumulate

from ingress.decisions.actions import RejectRequest, StartAttempt
from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.decisions.events import AttemptEnded, EndpointListKind, EndpointsChanged, RequestReceived
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Plan, RequestClass, Settings

GatewayFactory = Callable[[Settings, int], Gateway]

STATE_DELAY_S = 0.25  # the time after which the delayed policy sees a change of a quota's state
SERVERS = 32  # the number of endpoints listed at each gateway: enough that none lacks capacity
ROUNDING_TOLERANCE_UNITS = 1e-9
CALM_VARIATION = 0.3  # the demand of a calm customer differs from the mean by up to this share
FULL_USE = (0.85, 1.05)  # the demand of a customer near its quota, as a share of its rate
MIN_GATEWAYS_PER_CUSTOMER = 2
UNITS_VARIATION = 0.97  # the standard deviation of the units of a request divided by their mean


class Habit(Enum):
    """The demand of a customer relative to the rate of its plan."""

    CALM = "calm"
    FULL = "full"
    HEAVY = "heavy"
    SPIKY = "spiky"


@dataclass(frozen=True)
class PlanCustomers:
    """A plan and its customers.

    Attributes:
        plan: The plan.
        customers: The number of customers.
        spread: The smallest and the largest share of all gateways that a customer uses.
        usual_rate: For a plan without a rate, the demand of a customer near its quota in units per second.
    """

    plan: Plan
    customers: int
    spread: tuple[float, float] = (1.0, 1.0)
    usual_rate: float = 0.0

    @property
    def quota_rate(self) -> float:
        """The units per second of a customer that uses exactly its quota."""
        return self.usual_rate or self.plan.rate


@dataclass(frozen=True)
class ClassShare:
    """A class of requests, and its share of all requests."""

    request_class: RequestClass
    share: float = 1.0


READ = RequestClass("read", latency_objective=2.0, deadline=8.0)


@dataclass(frozen=True)
class WorkloadSettings:
    """The parameters of a workload.  Times are in seconds; a share is a share of all customers unless noted otherwise.

    Attributes:
        gateways: The number of gateways.
        seconds: The duration of the workload.
        plans: The plans and their customers.
        classes: The classes of requests.
        mean_units: The mean units of a request; if 1, each request has one unit.
        max_units: The maximum units of a request.
        mean_answer_time: The mean time that a server takes for a request.
        calm_use: The mean demand of a calm customer, as a share of the usual rate.
        full_share: The share of customers near their quotas.
        heavy_share: The share of customers whose demand is always above their quotas.
        spiky_share: The share of customers with spikes above their quotas.
        heavy_use: The range of the demand of a heavy customer, as a multiple of the usual rate.
        spike_use: The range of the demand during a spike, as a multiple of the usual rate.
        spike_lengths: The range of the duration of a spike.
        spike_pause: The mean time between two spikes of a customer.
        weight_sigma: The sigma of the log-normal weights of the gateways that a customer uses.
        weights_duration: The mean time until the weights of a customer change.
        burst_factor: The multiple of their demand that all customers have during the burst.
        burst_at: The start of the burst.
        burst_length: The duration of the burst.
        hot_factor: The additional demand of the hot customer, as a share of the demand of all customers.
        hot_at: The start of the additional demand.
        hot_length: The duration of the additional demand.
    """

    gateways: int
    seconds: float
    plans: tuple[PlanCustomers, ...]
    classes: tuple[ClassShare, ...] = (ClassShare(READ),)
    mean_units: float = 1.0
    max_units: int = 1
    mean_answer_time: float = 0.15
    calm_use: float = 0.3
    full_share: float = 0.3
    heavy_share: float = 0.1
    spiky_share: float = 0.2
    heavy_use: tuple[float, float] = (1.9, 4.1)
    spike_use: tuple[float, float] = (2.0, 8.0)
    spike_lengths: tuple[float, float] = (0.5, 4.0)
    spike_pause: float = 15.0
    weight_sigma: float = 1.5
    weights_duration: float = 17.0
    burst_factor: float = 1.5
    burst_at: float = 8.0
    burst_length: float = 5.0
    hot_factor: float = 0.2
    hot_at: float = 7.0
    hot_length: float = 7.0


@dataclass(eq=False, slots=True)
class Customer:
    """A customer.

    Attributes:
        name: The name of the customer.
        group: The plan and all its customers.
        habit: The demand relative to the plan.
        requests_per_second: The request rate outside spikes.
        spike_requests_per_second: The request rate during spikes.
        gateway_count: The number of gateways that the customer uses.
        first_gateway: The index of the first of these consecutive gateways.
    """

    name: str
    group: PlanCustomers
    habit: Habit
    requests_per_second: float
    spike_requests_per_second: float
    gateway_count: int
    first_gateway: int


@dataclass(eq=False, slots=True)
class DrawnRequest:
    """A request as a client sends it, and the time in seconds that a server takes for it."""

    at: float
    gateway: int
    customer: Customer
    request_class: RequestClass
    units: float
    answer_time: float

    @property
    def value(self) -> float:
        """The value of an answer to the request."""
        return self.request_class.priority_weight * self.customer.group.plan.weight_factor * self.units

    @property
    def over_quota_cost(self) -> float:
        """The cost of serving the request over its quota."""
        return self.customer.group.plan.over_quota_cost * self.value


@dataclass(frozen=True)
class Workload:
    """A drawn workload.

    Attributes:
        settings: The parameters of the workload.
        requests: The requests in order of time.
        seed: The seed of the workload and of the gateways.
        value_within_quota: The value of the requests within the quotas, by plan.
    """

    settings: WorkloadSettings
    requests: list[DrawnRequest]
    seed: int
    value_within_quota: dict[str, float] = field(default_factory=dict)

    def gateway_settings(self, number: int) -> Settings:
        """Return the settings of one gateway."""
        return Settings(
            classes=tuple(one.request_class for one in self.settings.classes),
            plans=tuple(one.plan for one in self.settings.plans),
            gateway_index=number,
            gateway_count=self.settings.gateways,
            max_request_units=self.settings.max_units,
        )


@dataclass
class PlanResult:
    """The results for one plan.

    Attributes:
        value_within_quota: The value of the requests within the quotas.
        served_within_quota: The value of the served requests within the quotas.
        served_over_quota: The value of the served requests over the quotas.
        over_quota_cost: The cost of the served requests over the quotas.
    """

    value_within_quota: float = 0.0
    served_within_quota: float = 0.0
    served_over_quota: float = 0.0
    over_quota_cost: float = 0.0

    @property
    def served_share(self) -> float:
        """The served share of the value within the quotas."""
        return self.served_within_quota / self.value_within_quota if self.value_within_quota else 1.0


@dataclass
class WorkloadResult:
    """The results of one policy for a workload.

    Attributes:
        plans: The results by plan.
        rejections: The number of rejections by reason.
    """

    plans: dict[str, PlanResult]
    rejections: Counter[str] = field(default_factory=Counter)

    @property
    def value_within_quota(self) -> float:
        """The value of the requests within the quotas."""
        return sum(plan.value_within_quota for plan in self.plans.values())

    @property
    def relative_cost(self) -> float:
        """The cost of the served requests over the quotas, divided by the value of the requests within the quotas."""
        return sum(plan.over_quota_cost for plan in self.plans.values()) / self.value_within_quota

    @property
    def served_share(self) -> float:
        """The served share of the value within the quotas."""
        return sum(plan.served_within_quota for plan in self.plans.values()) / self.value_within_quota


# Drawing a workload


def draw_workload(settings: WorkloadSettings, seed: int) -> Workload:
    """Draw the requests of a workload."""
    rng = random.Random(seed)
    customers = [
        _draw_customer(rng, settings, group, f"{group.plan.name}-{number}")
        for group in settings.plans
        for number in range(group.customers)
    ]
    requests = [request for customer in customers for request in _customer_requests(rng, settings, customer)]
    hot_rate = settings.hot_factor * len(requests) / settings.seconds
    requests += _hot_requests(rng, settings, rng.choice(customers), hot_rate)
    requests.sort(key=lambda request: request.at)
    return Workload(settings, requests, seed, _value_within_quota(Workload(settings, requests, seed)))


def _draw_customer(rng: random.Random, settings: WorkloadSettings, group: PlanCustomers, name: str) -> Customer:
    habit = _draw_habit(rng, settings)
    usual_requests = group.quota_rate / settings.mean_units
    use = _draw_use(rng, settings, habit)
    spike_use = rng.uniform(*settings.spike_use) if habit is Habit.SPIKY else use
    gateway_count = _draw_gateway_count(rng, settings, group)
    first_gateway = rng.randrange(settings.gateways)
    return Customer(name, group, habit, use * usual_requests, spike_use * usual_requests, gateway_count, first_gateway)


def _draw_habit(rng: random.Random, settings: WorkloadSettings) -> Habit:
    draw = rng.random()
    for habit, share in (
        (Habit.HEAVY, settings.heavy_share),
        (Habit.FULL, settings.full_share),
        (Habit.SPIKY, settings.spiky_share),
    ):
        if draw < share:
            return habit
        draw -= share
    return Habit.CALM


def _draw_use(rng: random.Random, settings: WorkloadSettings, habit: Habit) -> float:
    if habit is Habit.HEAVY:
        return rng.uniform(*settings.heavy_use)
    if habit is Habit.FULL:
        return rng.uniform(*FULL_USE)
    return settings.calm_use * rng.uniform(1.0 - CALM_VARIATION, 1.0 + CALM_VARIATION)


def _draw_gateway_count(rng: random.Random, settings: WorkloadSettings, group: PlanCustomers) -> int:
    """Draw the number of gateways that a customer uses.

    The burst of a ceiling must allow each of these gateways two of the largest requests.
    """
    gateway_count = round(settings.gateways * rng.uniform(*group.spread))
    if group.plan.ceiling_rate:
        gateway_count = min(gateway_count, int(group.plan.ceiling_burst / (2 * settings.max_units)))
    return max(MIN_GATEWAYS_PER_CUSTOMER, min(settings.gateways, gateway_count))


class GatewayChoice:
    """The choice of a gateway for each request of a customer, by random weights that change from time to time."""

    def __init__(self, rng: random.Random, settings: WorkloadSettings, customer: Customer) -> None:
        self.rng = rng
        self.settings = settings
        self.customer = customer
        self.cumulative_weights: list[float] = []
        self.change_at = 0.0

    def choose(self, now: float) -> int:
        """Return the index of the gateway for a request at this time, which must not be earlier than the last one."""
        while now >= self.change_at:
            self._change_weights()
        index = bisect(self.cumulative_weights, self.rng.random() * self.cumulative_weights[-1])
        index = min(index, self.customer.gateway_count - 1)
        return (self.customer.first_gateway + index) % self.settings.gateways

    def _change_weights(self) -> None:
        sigma = self.settings.weight_sigma
        weights = (math.exp(sigma * self.rng.gauss(0.0, 1.0)) for _ in range(self.customer.gateway_count))
        self.cumulative_weights = list(accumulate(weights))
        self.change_at += self.rng.expovariate(1.0 / self.settings.weights_duration)


def _customer_requests(rng: random.Random, settings: WorkloadSettings, customer: Customer) -> Iterator[DrawnRequest]:
    """Draw arrivals at the customer's maximum rate, and thin them to the rate of each moment."""
    spikes = _draw_spikes(rng, settings) if customer.habit is Habit.SPIKY else []
    choice = GatewayChoice(rng, settings, customer)
    max_rate = max(customer.requests_per_second, customer.spike_requests_per_second) * settings.burst_factor
    now = rng.expovariate(max_rate)
    while now < settings.seconds:
        spiking = any(start <= now < end for start, end in spikes)
        rate = customer.spike_requests_per_second if spiking else customer.requests_per_second
        if settings.burst_at <= now < settings.burst_at + settings.burst_length:
            rate *= settings.burst_factor
        if rng.random() * max_rate < rate:
            yield _draw_request(rng, settings, customer, choice, now)
        now += rng.expovariate(max_rate)


def _draw_spikes(rng: random.Random, settings: WorkloadSettings) -> list[tuple[float, float]]:
    spikes = []
    start = rng.uniform(0.0, settings.spike_pause)
    while start < settings.seconds:
        end = start + rng.uniform(*settings.spike_lengths)
        spikes.append((start, end))
        start = end + rng.expovariate(1.0 / settings.spike_pause)
    return spikes


def _hot_requests(
    rng: random.Random, settings: WorkloadSettings, customer: Customer, requests_per_second: float
) -> Iterator[DrawnRequest]:
    if not requests_per_second:
        return
    choice = GatewayChoice(rng, settings, customer)
    end = min(settings.seconds, settings.hot_at + settings.hot_length)
    now = settings.hot_at + rng.expovariate(requests_per_second)
    while now < end:
        yield _draw_request(rng, settings, customer, choice, now)
        now += rng.expovariate(requests_per_second)


def _draw_request(
    rng: random.Random, settings: WorkloadSettings, customer: Customer, choice: GatewayChoice, now: float
) -> DrawnRequest:
    [request_class] = rng.choices([one.request_class for one in settings.classes], [c.share for c in settings.classes])
    answer_time = rng.expovariate(1.0 / settings.mean_answer_time)
    return DrawnRequest(now, choice.choose(now), customer, request_class, _draw_units(rng, settings), answer_time)


def _draw_units(rng: random.Random, settings: WorkloadSettings) -> float:
    if settings.mean_units == 1.0:
        return 1.0
    variance = math.log(1.0 + UNITS_VARIATION**2)
    units = settings.mean_units * rng.lognormvariate(-variance / 2.0, math.sqrt(variance))
    return float(min(settings.max_units, max(1, round(units))))


# The state of a quota


class QuotaState:
    """The true state of one customer's quota over all gateways: its token bucket, and its attempts in flight."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.level = plan.burst
        self.updated_at = 0.0
        self.attempt_ends: list[float] = []  # a heap of the times at which the attempts in flight end

    def refill(self, now: float) -> None:
        """Advance the state to this time, which must not be earlier than the last one."""
        self.level = min(self.plan.burst, self.level + self.plan.rate * (now - self.updated_at))
        self.updated_at = now
        while self.attempt_ends and self.attempt_ends[0] <= now:
            heappop(self.attempt_ends)

    def allows(self, now: float, units: float) -> bool:
        """Return whether a request at this time is within the quota."""
        self.refill(now)
        has_units = not self.plan.rate or self.level >= units - ROUNDING_TOLERANCE_UNITS
        limit = self.plan.concurrency_limit
        return has_units and (not limit or len(self.attempt_ends) < limit)

    def send(self, request: DrawnRequest) -> bool:
        """Record a served request, and return whether it is within the quota; one over the quota takes no units."""
        within_quota = self.allows(request.at, request.units)
        self.take(request, request.units if within_quota else 0.0)
        return within_quota

    def take(self, request: DrawnRequest, units: float) -> None:
        """Take units, which may leave the bucket with a negative level, and record the request's attempt."""
        self.level -= units
        heappush(self.attempt_ends, request.at + request.answer_time)


class QuotaStates:
    """The true state of the quotas of all customers, and the result for the served requests."""

    def __init__(self, workload: Workload) -> None:
        self.states: dict[str, QuotaState] = {}
        self.result = WorkloadResult(
            {
                group.plan.name: PlanResult(workload.value_within_quota.get(group.plan.name, 0.0))
                for group in workload.settings.plans
            }
        )

    def get(self, customer: Customer) -> QuotaState:
        """Return the state of one customer's quota."""
        state = self.states.get(customer.name)
        if state is None:
            state = self.states[customer.name] = QuotaState(customer.group.plan)
        return state

    def send(self, request: DrawnRequest) -> bool:
        """Record a served request, and return whether it is within the quota."""
        within_quota = self.get(request.customer).send(request)
        result = self.result.plans[request.customer.group.plan.name]
        if within_quota:
            result.served_within_quota += request.value
        else:
            result.served_over_quota += request.value
            result.over_quota_cost += request.over_quota_cost
        return within_quota


# The policies


def _value_within_quota(workload: Workload) -> dict[str, float]:
    """Return the value, by plan, of the requests that a single gateway admits that sees every request."""
    states = QuotaStates(workload)
    for request in workload.requests:
        if states.get(request.customer).allows(request.at, request.units):
            states.send(request)
    return {name: plan.served_within_quota for name, plan in states.result.plans.items()}


def run_delayed_policy(workload: Workload) -> WorkloadResult:
    """Run a policy that sees the served requests and the attempts in flight with a delay of `STATE_DELAY_S`.

    In the state that this policy sees, requests served over a quota take units, too.  Otherwise it would admit all
    requests within that delay after each refill, and its cost would be a bound that is easily met.
    """
    states = QuotaStates(workload)
    seen_states = QuotaStates(workload)
    unseen: deque[DrawnRequest] = deque()
    for request in workload.requests:
        seen_until = max(0.0, request.at - STATE_DELAY_S)
        while unseen and unseen[0].at <= seen_until:
            seen_request = unseen.popleft()
            state = seen_states.get(seen_request.customer)
            state.refill(seen_request.at)
            state.take(seen_request, seen_request.units)
        if seen_states.get(request.customer).allows(seen_until, request.units):
            states.send(request)
            unseen.append(request)
    return states.result


def run_gateways(workload: Workload, make_gateway: GatewayFactory = Gateway) -> WorkloadResult:
    """Run gateways, each of which sees only the requests that are sent to it."""
    fleet = Fleet(workload, make_gateway)
    for number, request in enumerate(workload.requests):
        fleet.end_attempts(request.at)
        fleet.send_request(f"r{number}", request)
    return fleet.states.result


class Fleet:
    """The gateways, their attempts in flight, and the true state of all quotas.

    Attributes:
        states: The true state of all quotas.
        attempts: A heap of the attempts in flight: end time, request ID, gateway index, endpoint ID and answer time.
        gateways: The gateways.
    """

    def __init__(self, workload: Workload, make_gateway: GatewayFactory) -> None:
        rng = random.Random(workload.seed)
        self.states = QuotaStates(workload)
        self.attempts: list[tuple[float, str, int, str, float]] = []
        numbers = range(workload.settings.gateways)
        self.gateways = [make_gateway(workload.gateway_settings(number), rng.randrange(1 << 30)) for number in numbers]
        servers = tuple(Endpoint(f"server-{number}") for number in range(SERVERS))
        for gateway in self.gateways:
            gateway.handle(0.0, EndpointsChanged(EndpointListKind.RESTORED, servers))

    def end_attempts(self, now: float) -> None:
        """Notify the gateways of the attempts that end up to this time."""
        while self.attempts and self.attempts[0][0] <= now:
            end, request_id, gateway, endpoint_id, answer_time = heappop(self.attempts)
            self.gateways[gateway].handle(end, AttemptEnded(request_id, 0, endpoint_id, Outcome.OK, answer_time, True))

    def send_request(self, request_id: str, request: DrawnRequest) -> None:
        """Send a request to its gateway, and record its decision."""
        customer = request.customer
        request_class = request.request_class
        event = RequestReceived(
            request_id,
            request_class.name,
            customer.group.plan.name,
            customer.name,
            request_class.deadline,
            request.units,
            customer.gateway_count,
            customer.first_gateway,
        )
        for action in self.gateways[request.gateway].handle(request.at, event):
            if isinstance(action, StartAttempt):
                self.states.send(request)
                end = request.at + request.answer_time
                heappush(self.attempts, (end, request_id, request.gateway, action.endpoint_id, request.answer_time))
            elif isinstance(action, RejectRequest):
                self.states.result.rejections[action.reason] += 1
