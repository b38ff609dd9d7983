"""Streams of events drawn from a seed for one gateway: clients, endpoints and operators that react to its actions."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import NamedTuple

from msgspec.structs import replace

from ingress.decisions.actions import (
    Action,
    CancelAttempt,
    RejectRequest,
    SetTimer,
    ShareUsage,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    DrainRequested,
    EndpointListKind,
    EndpointsChanged,
    Event,
    HealthCheckEnded,
    ProcessGroupChanged,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
    UploadFinished,
    UploadStarted,
    UsageUnknown,
)
from ingress.decisions.handover_state import QuotaUsage
from ingress.decisions.settings import Idempotency, KeyScope, Plan, RequestClass, Settings
from tests.decision_log import RecordedGateway, encode

OUTCOMES = tuple(Outcome(value) for value in sorted(outcome.value for outcome in Outcome))
REQUEST_CLASSES = (
    RequestClass("read", 0.4, 2.0, 1.0, 0.2),
    RequestClass("slow", 1.0, 3.0, 2.0, 0.0),
    RequestClass("order", 0.5, 2.0, 3.0, 0.1, Idempotency.IDEMPOTENCY_KEY, KeyScope.ALL, 1.5),
    RequestClass("zoned", 0.5, 2.0, 3.0, 0.1, Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, 1.5),
    RequestClass("celled", 0.5, 2.0, 3.0, 0.1, Idempotency.IDEMPOTENCY_KEY, KeyScope.CELL, 1.5),
    RequestClass("pay", 0.6, 2.0, 5.0, 0.3, Idempotency.NOT_IDEMPOTENT),
    RequestClass("feed", 0.5, 2.0, stream=True),
)
INITIAL_PLANS = (
    Plan("basic", 6.0, 12.0, over_quota_cost=0.5),
    Plan("dear", 4.0, 8.0, weight_factor=3.0, over_quota_cost=2.0, ceiling_rate=8.0, ceiling_burst=16.0),
    Plan("over", 3.0, 5.0, over_quota_value=0.5, over_quota_cost=0.2, ceiling_rate=12.0, ceiling_burst=20.0),
    Plan("open", 0.0, 0.0, concurrency_limit=3, over_quota_cost=0.4),
    Plan("both", 5.0, 10.0, concurrency_limit=2, over_quota_cost=1.2),
    Plan("free"),
)
NO_HEDGING = Settings(
    REQUEST_CLASSES,
    INITIAL_PLANS,
    gateway_count=3,
    zone="a",
    timer_resolution=0.002,
    slow_start_duration=6.0,
    slow_start_initial_capacity=0.3,
    overload_factor=4.0,
    overload_window=2.0,
    discovery_poll_deadline=5.0,
    polls_discovery=True,
    max_attempts=3,
    settles_units=True,
)
SETTINGS = replace(
    NO_HEDGING,
    hedging_allowed=True,
    cancellation_allowed=True,
    health_checks_allowed=True,
    health_check_cost=0.01,
    max_request_units=3.0,
    load_report_fields=("cpu", "queue"),
)
CHANGED_PLANS = (
    Plan("basic", 3.0, 6.0, over_quota_cost=0.5, ceiling_rate=6.0, ceiling_burst=9.0),
    Plan("dear", 5.0, 10.0, weight_factor=2.0, over_quota_cost=2.0, ceiling_rate=5.0, ceiling_burst=10.0),
    Plan("both", 5.0, 10.0, concurrency_limit=4, over_quota_cost=1.2),
    Plan("new", 2.0, 4.0),
)
CHANGED_SETTINGS = replace(
    SETTINGS,
    plans=CHANGED_PLANS,
    classes=SETTINGS.classes[:5],
    health_checks_allowed=False,
    gateway_index=2,
    slow_start_duration=3.0,
)
MANY_GATEWAYS = replace(SETTINGS, polls_discovery=False, max_attempts=2, gateway_count=200, gateway_index=7)
NO_CEILINGS = replace(
    MANY_GATEWAYS, plans=tuple(replace(plan, ceiling_rate=0.0, ceiling_burst=0.0) for plan in SETTINGS.plans)
)


class Scenario(NamedTuple):
    """The settings and the load of a gateway.

    Attributes:
        settings: The settings at the start.
        changed_settings: The settings after some of the changes.
        endpoint_count: The number of endpoints.
        requests_per_s: The mean rate of requests.
        faulty_ratio: The probability that an endpoint that changes its behaviour becomes faulty.
        customers_per_plan: The number of customers of each plan.
        gateways_per_customer: The usual number of gateways that share a customer's quota.
        median_latency_s: The median time until a response.
    """

    settings: Settings
    changed_settings: Settings
    endpoint_count: int
    requests_per_s: float
    faulty_ratio: float = 0.0
    customers_per_plan: int = 6
    gateways_per_customer: int = 2
    median_latency_s: float = 0.05


STREAMS = {
    "mixed": Scenario(SETTINGS, CHANGED_SETTINGS, 9, 120.0, 0.3),
    "mixed, no copies": Scenario(NO_HEDGING, CHANGED_SETTINGS, 9, 120.0, 0.3),
    "few backends, full": Scenario(SETTINGS, NO_HEDGING, 3, 220.0),
    "many backends": Scenario(MANY_GATEWAYS, SETTINGS, 40, 150.0, 0.2),
    "most are faulty": Scenario(SETTINGS, MANY_GATEWAYS, 8, 80.0, 0.7),
    "one backend": Scenario(CHANGED_SETTINGS, SETTINGS, 1, 30.0),
    "sparse": Scenario(SETTINGS, SETTINGS, 6, 15.0, 0.3),
    "second copies": Scenario(SETTINGS, SETTINGS, 12, 60.0, 0.25, 20, median_latency_s=0.015),
    "advances": Scenario(NO_CEILINGS, NO_CEILINGS, 60, 250.0, 0.0, 600, 60),
    "advances, other plans": Scenario(CHANGED_SETTINGS, MANY_GATEWAYS, 60, 200.0, 0.0, 300, 20),
}
REQUEST_DURATION_S = 24.0
IDLE_PAUSE_S = 130.0  # without requests for this long, customers are dropped
UPGRADE_OVERLAP_S = 2.0  # the time for which two processes run during an upgrade
START_TIME_S = 1000.0  # by the gateway's clock
FAILURES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.REJECTED, Outcome.RESET)


class EventStream:
    """The clients, endpoints and operators of one gateway, which react to its actions.

    Attributes:
        scenario: The settings and the load.
        settings: The settings of the next process.
        rng: The only source of random draws; changing their order changes the digests.
        lines: The recorded actions.
        queue: The future events, as (time, order, process, event); the process -1 is the newest one.
        order: The source of unique numbers for the order of events and for request ids.
        endpoints: The endpoint list, by id.
        failure_modes: The outcome of most attempts at an endpoint, by id; None for a healthy endpoint.
        gateways: The gateways of all processes, the newest last.
        attempt_counts: The number of attempts, by request id.
        in_flight: The endpoint and the start time of each attempt in flight, by request id and number.
        requests: All requests, by id.
    """

    def __init__(self, name: str) -> None:
        self.scenario = STREAMS[name]
        self.settings = self.scenario.settings
        self.rng = random.Random(name)
        self.lines: list[str] = []
        self.queue: list[tuple[float, int, int, Event]] = []
        self.order = itertools.count()
        self.endpoints = {f"s{n}": self.draw_endpoint(f"s{n}", 0.0) for n in range(self.scenario.endpoint_count)}
        self.failure_modes: dict[str, Outcome | None] = {}
        self.gateways: list[RecordedGateway] = []
        self.attempt_counts: dict[str, int] = {}
        self.in_flight: dict[tuple[str, int], tuple[str, float]] = {}
        self.requests: dict[str, RequestReceived] = {}
        self.start_process()

    def draw_endpoint(self, name: str, started_at: float) -> Endpoint:
        cell = self.rng.randrange(3)
        weight = self.rng.choice((0.5, 1.0, 1.0, 2.0))
        return Endpoint(name, self.rng.choice("ab"), "m", cell, Readiness.READY, weight, started_at)

    def schedule(self, at: float, process: int, event: Event) -> None:
        """Add an event to the queue."""
        heapq.heappush(self.queue, (at, next(self.order), process, event))

    def start_process(self) -> None:
        self.gateways.append(RecordedGateway(self.settings, len(self.gateways) + 5, self.lines))

    def run(self) -> list[str]:
        """Deliver all events until some time after the last request, and return the recorded lines."""
        self.schedule(START_TIME_S, 0, EndpointsChanged(EndpointListKind.RESTORED, tuple(self.endpoints.values())))
        end = START_TIME_S + REQUEST_DURATION_S
        for first, length in ((START_TIME_S, REQUEST_DURATION_S), (end + IDLE_PAUSE_S, 2.0)):
            at = first
            while (at := at + self.rng.expovariate(self.scenario.requests_per_s)) < first + length:
                self.schedule(at, -1, self.draw_request(at))
        operations = [START_TIME_S + step / 3 for step in range(1, 3 * int(REQUEST_DURATION_S))]
        upgrades = [START_TIME_S + 9.0, START_TIME_S + 17.0]
        while self.queue:
            now, _, process, event = heapq.heappop(self.queue)
            if now > end + IDLE_PAUSE_S + 6.0:
                break
            if operations and now >= operations[0]:
                self.schedule_operation(operations.pop(0))
            if upgrades and now >= upgrades[0]:
                self.upgrade(upgrades.pop(0))
            self.deliver(now, process, event)
        self.gateways[-1].finish(now)
        return self.lines

    def deliver(self, now: float, process: int, event: Event) -> None:
        """Let a process handle an event, and react to its actions."""
        process = process if process >= 0 else len(self.gateways) - 1
        if isinstance(event, RequestReceived):
            self.requests[event.request_id] = event
        elif isinstance(event, AttemptEnded):
            started = self.in_flight.pop((event.request_id, event.attempt), None)
            if started is None and self.rng.random() < 0.9:
                return  # the attempt was cancelled; some endings are reported a second time
            latency = now - started[1] if started else 0.1
            request_finished = event.outcome is Outcome.OK and self.rng.random() < 0.9
            event = replace(event, latency=latency, request_finished=request_finished)
        elif isinstance(event, EndpointsChanged):
            self.endpoints |= {entry.id: replace(entry, readiness=Readiness.READY) for entry in event.endpoints}
        elif isinstance(event, SettingsChanged):
            self.settings = event.settings
        for action in self.gateways[process].handle(now, event):
            self.react_to(now, process, action)

    def draw_request(self, now: float) -> RequestReceived:
        rng = self.rng
        request_class = rng.choice(SETTINGS.classes)
        plan = rng.choice((*SETTINGS.plans, *CHANGED_PLANS)).name
        time_left = request_class.deadline if rng.random() < 0.8 else rng.uniform(0.0, request_class.deadline)
        return RequestReceived(
            f"r{next(self.order)}",
            request_class.name,
            plan,
            f"{plan}-{int(self.scenario.customers_per_plan * rng.random() ** 2)}",
            time_left,
            units=rng.choice((1.0, 1.0, 1.0, 0.5, 2.0, 3.0)),
            gateway_count=self.scenario.gateways_per_customer if rng.random() < 0.97 else rng.choice((1, 3, 8)),
            is_retry=rng.random() < 0.15,
            memory_available=rng.random() < 0.99,
            is_chunked=rng.random() < 0.1,
            time_waited=rng.choice((0.0, 0.0, 0.05)),
        )

    def schedule_operation(self, now: float) -> None:
        """Schedule one event that the discovery service, operators, health checks or other processes could cause."""
        rng = self.rng
        name = rng.choice(list(self.endpoints))
        entries = [entry for entry in self.endpoints.values() if rng.random() < 0.9]
        moved = replace(self.endpoints[name], readiness=rng.choice(list(Readiness)))
        events: list[Event] = [
            EndpointsChanged(EndpointListKind.UPDATE, (moved,)),
            EndpointsChanged(EndpointListKind.UPDATE, (self.draw_endpoint(name, now - rng.uniform(0.0, 2.0)),)),
            EndpointsChanged(EndpointListKind.REPLACE, tuple(entries) or (self.endpoints[name],)),
            EndpointsChanged(EndpointListKind.RESTORED, tuple(self.endpoints.values())),
            EndpointsChanged(EndpointListKind.UNAVAILABLE),
            SettingsChanged(self.scenario.changed_settings if rng.random() < 0.3 else self.scenario.settings),
            ProcessGroupChanged(0, usage_persisted=rng.random() < 0.5),
            QuotaUsage("dear-0", "dear", 2, 1.5, True, 1, name, 0.3),
            QuotaUsage("both-1", "both", 2, attempts_delta=-1),
            UsageUnknown(now - 300.0 * rng.random()),
            DrainRequested(rng.random() < 0.5),
            HealthCheckEnded(name, rng.choice(OUTCOMES), 0.01, {"cpu": 0.3}),
        ]
        self.schedule(now, -1, events[rng.randrange(len(events))])
        if rng.random() < 0.5:
            self.failure_modes[name] = rng.choice(FAILURES) if rng.random() < self.scenario.faulty_ratio else None

    def upgrade(self, now: float) -> None:
        """Start a process that takes over the state of the newest one; both run for a while."""
        old = len(self.gateways) - 1
        predecessor = self.gateways[old]
        state = predecessor.handover_state(now)
        names = [customer.customer for customer in state.customers]
        self.lines.append(encode(state))
        self.lines.append(encode(tuple(predecessor.customer_states(now, names))))
        self.start_process()
        self.deliver(now, old + 1, EndpointsChanged(EndpointListKind.RESTORED, tuple(self.endpoints.values())))
        self.deliver(now, old + 1, state)
        self.deliver(now, old + 1, ProcessGroupChanged(1))
        self.deliver(now, old, ProcessGroupChanged(1, has_successor=True))
        self.deliver(now, old, DrainRequested(process_exits=True))
        self.schedule(now + UPGRADE_OVERLAP_S, old + 1, ProcessGroupChanged(0))

    def react_to(self, now: float, process: int, action: Action) -> None:
        """Schedule the events that follow from an action."""
        rng = self.rng
        match action:
            case StartAttempt(request_id=request_id, endpoint_id=endpoint_id, timeout=timeout):
                self.schedule_attempt(now, process, request_id, endpoint_id, timeout)
            case CancelAttempt(request_id=request_id, attempt=attempt):
                if (request_id, attempt) in self.in_flight and rng.random() < 0.9:
                    endpoint_id = self.in_flight[request_id, attempt][0]
                    self.schedule(now, process, AttemptEnded(request_id, attempt, endpoint_id, Outcome.CANCELLED))
            case SetTimer(delay=delay, token=token):
                late = rng.uniform(0.1, 0.6) if rng.random() < 0.03 else 0.0
                self.schedule(now + delay + late, process, TimerFired(token))
            case StartHealthCheck(endpoint_id=endpoint_id, timeout=timeout):
                outcome = self.failure_modes.get(endpoint_id) or rng.choice((Outcome.OK, Outcome.OK, Outcome.CANCELLED))
                self.schedule(
                    now + rng.uniform(0.001, 1.5 * timeout), process, HealthCheckEnded(endpoint_id, outcome, 0.01)
                )
            case RejectRequest(request_id=request_id, retry_after=wait) if rng.random() < 0.3:
                retry = replace(self.requests[request_id], request_id=f"{request_id}+", is_retry=True, time_waited=0.0)
                retry = replace(retry, time_left=max(0.0, retry.time_left - rng.choice((0.0, 0.1, wait))))
                self.schedule(now + 0.05 + wait, -1, retry)
            case WatchEndpoints():
                listed = EndpointsChanged(EndpointListKind.RESTORED, tuple(self.endpoints.values()))
                self.schedule(now + rng.uniform(0.0, 0.5), process, listed)
            case ShareUsage(usage=usage) if len(self.gateways) > 1:
                newest = len(self.gateways) - 1
                recipient = newest if process < newest else process - 1
                self.schedule(now + 0.001, recipient, usage)
            case _:
                pass

    def schedule_attempt(self, now: float, process: int, request_id: str, endpoint_id: str, timeout: float) -> None:
        """Schedule the events of one attempt, which mostly fails at an endpoint that has a failure mode."""
        rng = self.rng
        number = self.attempt_counts.get(request_id, 0)
        self.attempt_counts[request_id] = number + 1
        self.in_flight[request_id, number] = endpoint_id, now
        duration = self.scenario.median_latency_s * rng.lognormvariate(0.0, 0.9)
        outcome = Outcome.OK if rng.random() < 0.96 else rng.choice(OUTCOMES)
        if (failure := self.failure_modes.get(endpoint_id)) and rng.random() < 0.9:
            outcome = failure
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) or duration > timeout:
            outcome = Outcome.TIMEOUT
            duration = timeout
        if self.requests[request_id].is_chunked:
            self.schedule(now + duration / 4, process, UploadStarted(request_id))
            self.schedule(now + duration / 2, process, UploadFinished(request_id, 1.5))
        if self.requests[request_id].request_class == "feed" and outcome is Outcome.OK:
            self.schedule(now + duration / 2, process, ResponseStarted(request_id, number, endpoint_id, duration / 2))
            duration *= 5
        if rng.random() < 0.03:
            self.schedule(now + rng.uniform(0.0, duration), process, ClientDisconnected(request_id))
        load = rng.choice(({}, {"cpu": 0.5, "queue": 2.0}, {"cpu": 0.5}, {"cpu": float("nan"), "queue": -1.0}))
        settled = rng.choice((0.0, 0.0, 0.5, 2.5))
        local_failure = rng.random() < 0.01
        ended = AttemptEnded(
            request_id,
            number,
            endpoint_id,
            outcome,
            quota_usage=50,
            settled_units=settled,
            load_report=load,
            local_failure=local_failure,
        )
        self.schedule(now + duration, process, ended)
