"""A scenario of many gateways and endpoints, some of which fail for a while, with fixed seeds and simulated time.

It drives only the decisions, to count what all gateways do together; it is not a model of a real machine.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from msgspec.structs import replace

from ingress.decisions.actions import Action, CancelAttempt, SetTimer, StartAttempt, StartHealthCheck
from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.decisions.events import (
    AttemptEnded,
    EndpointListKind,
    EndpointsChanged,
    Event,
    HealthCheckEnded,
    RequestReceived,
    TimerFired,
)
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Plan, RequestClass, Settings

CLASS = RequestClass("read", latency_objective=0.6, deadline=2.5, late_weight_factor=0.2)
SETTINGS = Settings(
    classes=(CLASS,),
    plans=(Plan("basic", rate=1e6, burst=1e6),),
    max_attempts=3,
    hedging_allowed=True,
    cancellation_allowed=True,
    health_checks_allowed=True,
    slow_start_duration=8.0,
    slow_start_initial_capacity=0.3,
    overload_factor=4.0,
    overload_window=2.0,
    drain_grace=2.0,
)
REQUEST_TIMEOUT_S = 2.48  # the time that each request has left when a gateway receives it
HEALTH_CHECK_LATENCY_S = 0.005
HEALTH_CHECK_TIMEOUT_S = 0.25
END_MARGIN_S = 5.0  # the run continues for this long after the last request

# The behaviour of a faulty endpoint for one attempt: draws the outcome and the seconds until it.
Fault = Callable[[random.Random], tuple[Outcome, float]]


def draw_latency(rng: random.Random) -> float:
    return 0.05 * rng.lognormvariate(-0.2, 0.6)


def instant_errors(rng: random.Random) -> tuple[Outcome, float]:
    return Outcome.ERROR, 0.002


def one_in_five(rng: random.Random) -> tuple[Outcome, float]:
    return (Outcome.ERROR, 0.002) if rng.random() < 0.2 else (Outcome.OK, draw_latency(rng))


def silent(rng: random.Random) -> tuple[Outcome, float]:
    return Outcome.TIMEOUT, 60.0


def refusing(rng: random.Random) -> tuple[Outcome, float]:
    return Outcome.CONNECT_FAILED, 0.001


def slow(rng: random.Random) -> tuple[Outcome, float]:
    return Outcome.OK, 12 * draw_latency(rng)


@dataclass
class Report:
    """The results of a run, counted over all gateways.

    Attributes:
        attempts: The number of attempts.
        attempts_at_faulty: The number of attempts sent to faulty endpoints during the fault.
        attempts_during_fault: The number of all attempts sent during the fault.
        served: The number of requests answered within the latency objective.
        requests: The number of requests.
        health_checks: The number of health checks by endpoint.
        ejection_delays: The seconds from a gateway's first attempt at a faulty endpoint to its ejection.
        recovery_delays: The seconds from the end of the fault to the first success, by gateway and endpoint.
        wrong_ejections: The number of ejections of healthy endpoints.
        cpu_seconds: The CPU time of the decisions in seconds.
    """

    attempts: int = 0
    attempts_at_faulty: int = 0
    attempts_during_fault: int = 0
    served: int = 0
    requests: int = 0
    health_checks: dict[str, int] = field(default_factory=dict)
    ejection_delays: list[float] = field(default_factory=list)
    recovery_delays: list[float] = field(default_factory=list)
    wrong_ejections: int = 0
    cpu_seconds: float = 0.0

    def row(self) -> dict[str, float]:
        """Return the row of a table that compares runs."""
        return {
            "probes a server": max(self.health_checks.values(), default=0),
            "to bad %": round(100 * self.attempts_at_faulty / max(1, self.attempts_during_fault), 2),
            "served %": round(100 * self.served / max(1, self.requests), 2),
            "eject s": round(median(self.ejection_delays), 2) if self.ejection_delays else -1.0,
            "back s": round(median(self.recovery_delays), 2) if self.recovery_delays else -1.0,
            "wrong": self.wrong_ejections,
            "us a request": round(1e6 * self.cpu_seconds / max(1, self.requests), 1),
        }


class FleetScenario:
    """A run of `size` gateways and `size` endpoints; one endpoint in `faulty_every` is faulty from `start` to `end`.

    Attributes:
        faulty_ids: The IDs of the endpoints that are faulty during the fault.
        gateways: The gateways.
        first_attempt_at: The time of the first attempt at a faulty endpoint during the fault, by gateway and endpoint;
            -1 once its ejection is recorded.
    """

    def __init__(
        self,
        size: int,
        fault: Fault,
        seed: int,
        *,
        faulty_every: int = 8,
        start: float = 5.0,
        end: float = 12.0,
        length: float = 20.0,
        rate: float = 5.0,
        settings: Settings = SETTINGS,
    ) -> None:
        self.rng = random.Random(seed)
        self.fault = fault
        self.start, self.end, self.length = start, end, length
        endpoint_ids = [f"s{n}" for n in range(size)]
        self.faulty_ids = set(endpoint_ids[::faulty_every])
        fleet = tuple(Endpoint(endpoint_id) for endpoint_id in endpoint_ids)
        self.gateways = [
            Gateway(replace(settings, gateway_count=size, gateway_index=n), seed * 1000 + n) for n in range(size)
        ]
        self.event_queue: list[tuple[float, int, int, Event]] = []
        self.sequence = itertools.count()
        self.attempt_counts: dict[tuple[int, str], int] = {}
        self.in_flight: dict[tuple[int, str, int], tuple[str, float]] = {}
        self.first_attempt_at: dict[tuple[int, str], float] = {}
        self.recovered: set[tuple[int, str]] = set()
        self.avoided: set[tuple[int, str]] = set()
        self.received_at: dict[str, float] = {}
        self.report = Report()
        self.rate = rate
        for number in range(size):
            self._push(0.0, number, EndpointsChanged(EndpointListKind.RESTORED, fleet))
            self._push(self.rng.expovariate(rate), number, self._request(number))

    def _push(self, at: float, number: int, event: Event) -> None:
        heapq.heappush(self.event_queue, (at, next(self.sequence), number, event))

    def _request(self, number: int) -> RequestReceived:
        return RequestReceived(
            f"r{next(self.sequence)}", "read", "basic", f"c{self.rng.randrange(50)}", REQUEST_TIMEOUT_S
        )

    def run(self) -> Report:
        """Process all events in order of time, and return the report."""
        while self.event_queue:
            now, _, number, event = heapq.heappop(self.event_queue)
            if now > self.length + END_MARGIN_S:
                break
            gateway = self.gateways[number]
            if isinstance(event, RequestReceived):
                self.report.requests += 1
                self.received_at[event.request_id] = now
                self.attempt_counts[number, event.request_id] = 0
                if now < self.length:
                    self._push(now + self.rng.expovariate(self.rate), number, self._request(number))
            elif isinstance(event, AttemptEnded):
                # The first end of an attempt counts: it may have been cancelled before its response was due.
                attempt = self.in_flight.pop((number, event.request_id, event.attempt), None)
                if attempt is None:
                    continue
                is_first_response = event.outcome is Outcome.OK and event.request_id in self.received_at
                if is_first_response:
                    self.report.served += now - self.received_at.pop(event.request_id) <= CLASS.latency_objective
                    self._record_success(now, number, event.endpoint_id)
                event = replace(
                    event, latency=now - attempt[1], request_finished=event.request_id not in self.received_at
                )
            before = time.process_time()
            actions = gateway.handle(now, event)
            self.report.cpu_seconds += time.process_time() - before
            for action in actions:
                self._take_action(now, number, action)
            if isinstance(event, AttemptEnded):
                self._record_ejection(now, number, event.endpoint_id)
        return self.report

    def _record_success(self, now: float, number: int, endpoint_id: str) -> None:
        key = (number, endpoint_id)
        was_attempted = endpoint_id in self.faulty_ids and key in self.first_attempt_at
        if was_attempted and now >= self.end and key not in self.recovered:
            self.recovered.add(key)
            self.report.recovery_delays.append(now - self.end)

    def _record_ejection(self, now: float, number: int, endpoint_id: str) -> None:
        """Record whether the gateway avoids the endpoint now, and whether it has reason to."""
        key = (number, endpoint_id)
        endpoint = self.gateways[number].cluster.endpoints.by_id[endpoint_id]
        if not endpoint.avoided(now):
            self.avoided.discard(key)
        elif key not in self.avoided:
            self.avoided.add(key)
            if endpoint_id not in self.faulty_ids or not self.start <= now < self.end + REQUEST_TIMEOUT_S:
                self.report.wrong_ejections += 1
            elif key in self.first_attempt_at and self.first_attempt_at[key] >= 0:
                self.report.ejection_delays.append(now - self.first_attempt_at[key])
                self.first_attempt_at[key] = -1.0  # only the first ejection counts

    def _take_action(self, now: float, number: int, action: Action) -> None:
        match action:
            case StartAttempt(request_id=request_id, endpoint_id=endpoint_id, timeout=timeout):
                attempt = self.attempt_counts.get((number, request_id), 0)
                self.attempt_counts[number, request_id] = attempt + 1
                self.report.attempts += 1
                during_fault = self.start <= now < self.end
                self.report.attempts_during_fault += during_fault
                if during_fault and endpoint_id in self.faulty_ids:
                    self.report.attempts_at_faulty += 1
                    self.first_attempt_at.setdefault((number, endpoint_id), now)
                    outcome, delay = self.fault(self.rng)
                else:
                    outcome, delay = Outcome.OK, draw_latency(self.rng)
                if delay >= timeout:
                    outcome, delay = Outcome.TIMEOUT, timeout
                self.in_flight[number, request_id, attempt] = (endpoint_id, now)
                self._push(now + delay, number, AttemptEnded(request_id, attempt, endpoint_id, outcome))
            case CancelAttempt(request_id=request_id, attempt=attempt):
                if in_flight := self.in_flight.get((number, request_id, attempt)):
                    self._push(now, number, AttemptEnded(request_id, attempt, in_flight[0], Outcome.CANCELLED))
            case SetTimer(delay=delay, token=token):
                self._push(now + delay, number, TimerFired(token))
            case StartHealthCheck(endpoint_id=endpoint_id):
                self.report.health_checks[endpoint_id] = self.report.health_checks.get(endpoint_id, 0) + 1
                during_fault = self.start <= now < self.end
                fails = endpoint_id in self.faulty_ids and during_fault and self.fault in (silent, refusing)
                self._push(
                    now + (HEALTH_CHECK_TIMEOUT_S if fails else HEALTH_CHECK_LATENCY_S),
                    number,
                    HealthCheckEnded(endpoint_id, Outcome.TIMEOUT if fails else Outcome.OK, HEALTH_CHECK_LATENCY_S),
                )
            case _:
                pass
