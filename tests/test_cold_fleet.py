"""Slow start over all processes of all gateways: the total load on a cold server stays within its growing capacity.

In a window of `overload_window` seconds, a cold server may get N requests of mean work: `overload_factor` times the
work that it can do in the window.  Its capacity grows linearly from the share `initial_capacity` of that of a warm
server.  The tolerance for chance is 2 * sqrt(N) + 2 requests.  Time is simulated, all draws are seeded, and the
capacity of the servers is given.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate, count
from math import sqrt

import pytest
from msgspec.structs import replace

from ingress.decisions.actions import Action, FailRequest, RejectRequest, SetTimer, ShareUsage, StartAttempt
from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import (
    AttemptEnded,
    EndpointListKind,
    EndpointsChanged,
    Event,
    ProcessGroupChanged,
    RequestReceived,
    TimerFired,
)
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Plan, RequestClass, Settings

APPROXIMATE_SERVICE_TIME_S = 0.05  # of a request of mean work at a warm server, before rounding to complete cores
START_S = 100.0
UNLIMITED_PLAN = Plan("wide", rate=1e6, burst=1e6, over_quota_cost=0.5)


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: The name of the request class.
        work: The work of a request per unit, relative to other kinds.
        share: The relative frequency of the kind.
        units: The values from which the units of a request are drawn; its work is proportional to them.
    """

    name: str = "read"
    work: float = 1.0
    share: float = 1.0
    units: tuple[float, ...] = (1.0,)

    def mean_work(self) -> float:
        return self.work * sum(self.units) / len(self.units)


@dataclass(frozen=True)
class Case:
    """The parameters of a simulation.  Times are in seconds.

    Attributes:
        gateways: The number of gateways.
        servers: The number of servers.
        capacity: The requests of mean work per second that a warm server can handle.
        demand: The load as a share of the capacity of all servers when warm.
        slow_start_duration: The time in which a server warms up.
        initial_capacity: The share of its capacity that a server has at its start.
        overload_factor: The multiple of its capacity at which a cold server becomes overloaded.
        overload_window: The time over which the load of a cold server is counted.
        kinds: The kinds of requests.
        warm_phase: The time until some servers become cold.
        cold_count: The number of servers that become cold.
        uneven: Whether a fifth of the gateways gets four fifths of the requests.
        traffic_moves: Whether other gateways get most of the requests from the cold start on.
        batch_interval: The time between batches of requests; 0 for arrivals at random times.
        calm_time: The part of the warm-up time in which a tenth of the demand arrives.
        client_retry_share: The share of the rejected requests that clients retry.
        hedging: Whether gateways may send hedges.
        restarts: The number of restarts of each gateway during the warm-up time.
        upgrade_time: The time for which a gateway has two processes; 0 for no upgrades.
        list_delay: The time until the last gateway receives a change of the endpoint list.
        seed: The seed of all draws.
    """

    gateways: int
    servers: int = 9
    capacity: float = 20.0
    demand: float = 1.5
    slow_start_duration: float = 6.0
    initial_capacity: float = 0.2
    overload_factor: float = 2.0
    overload_window: float = 1.0
    kinds: tuple[Kind, ...] = (Kind(),)
    warm_phase: float = 4.0
    cold_count: int = 3
    uneven: bool = False
    traffic_moves: bool = False
    batch_interval: float = 0.0
    calm_time: float = 0.0
    client_retry_share: float = 0.5
    hedging: bool = False
    restarts: int = 0
    upgrade_time: float = 0.0
    list_delay: float = 0.3
    seed: int = 1

    def settings(self, number: int) -> Settings:
        names = dict.fromkeys(kind.name for kind in self.kinds)
        return Settings(
            classes=tuple(RequestClass(name, latency_objective=1.0, deadline=4.0) for name in names),
            plans=(UNLIMITED_PLAN,),
            gateway_index=number,
            gateway_count=self.gateways,
            zone="abc"[number % 3],
            slow_start_duration=self.slow_start_duration,
            slow_start_initial_capacity=self.initial_capacity,
            overload_factor=self.overload_factor,
            overload_window=self.overload_window,
            max_attempts=3,
            hedging_allowed=self.hedging,
            max_request_units=max(max(kind.units) for kind in self.kinds),
        )

    def allowed_work(self, age: float) -> float:
        """Return N for the window that starts at this age of a cold server: its capacity summed over the window."""
        warming_part = 0.0
        end = age + self.overload_window
        if age < self.slow_start_duration:
            warming_end = min(end, self.slow_start_duration)
            middle = (age + warming_end) / 2 / self.slow_start_duration
            warming_part = (warming_end - age) * (self.initial_capacity + (1 - self.initial_capacity) * middle)
            age = warming_end
        return self.overload_factor * self.capacity * (warming_part + end - age)


@dataclass
class SimulatedServer:
    """An incarnation of a server, which runs one attempt on each core and queues the others.

    Attributes:
        info: The entry in the endpoint list.
        busy: The number of cores in use.
        queue: The waiting attempts and their work.
        received: The time and the work of each attempt since the start of the incarnation.
    """

    info: Endpoint
    busy: int = 0
    queue: deque[tuple[Attempt, float]] = field(default_factory=deque)
    received: list[tuple[float, float]] = field(default_factory=list)


@dataclass
class Attempt:
    """One attempt at a server, and the process that is notified of its end."""

    process: Gateway
    request_id: str
    number: int
    server_id: str
    sent_at: float
    ended: bool = False


@dataclass
class ClientRequest:
    """A request of a client."""

    kind: Kind
    units: float
    retries: int = 0


class Simulation:
    """The clients, gateways and servers of one case.

    Attributes:
        mean_work: The mean work of a request.
        cores: The number of cores of a server.
        service_time: The seconds that a warm server takes for a request of mean work.
        servers: The present incarnation of each server, by ID.
        stopped_ids: The IDs of the servers that are stopped.
        gateways: The processes of each gateway.
        open_requests: The requests without a final answer from the gateway, by ID.
        last_attempts: The number of the last attempt, by request ID.
        rejected_count: The number of rejected and failed requests.
        calm_until: The time until which a tenth of the demand arrives.
        cold_servers: The cold servers whose load is checked, by ID.
        gateway_order: The indexes of the gateways, in the order of `gateway_weights`.
        gateway_weights: The cumulative weights by which requests are distributed over gateways.
    """

    def __init__(self, case: Case) -> None:
        self.case = case
        self.rng = random.Random(case.seed)
        self.now = START_S
        self._sequence = count()
        self._callbacks = list[tuple[float, int, Callable[[], object]]]()
        total_share = sum(kind.share for kind in case.kinds)
        self.mean_work = sum(kind.mean_work() * kind.share for kind in case.kinds) / total_share
        self.cores = max(1, round(case.capacity * APPROXIMATE_SERVICE_TIME_S))
        self.service_time = self.cores / case.capacity
        self.servers = {f"s{n}": SimulatedServer(Endpoint(f"s{n}", zone="abc"[n % 3])) for n in range(case.servers)}
        self.stopped_ids: set[str] = set()
        self.gateways: list[list[Gateway]] = []
        self.open_requests: dict[str, ClientRequest] = {}
        self.last_attempts: dict[str, int] = {}
        self.rejected_count = 0
        self.calm_until = 0.0
        self.cold_servers: dict[str, SimulatedServer] = {}
        self.gateway_order = list(range(case.gateways))
        self.gateway_weights = list(accumulate(16.0 if case.uneven and n % 5 == 0 else 1.0 for n in self.gateway_order))

    # Time

    def call_after(self, delay: float, callback: Callable[[], object]) -> None:
        heappush(self._callbacks, (self.now + delay, next(self._sequence), callback))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._callbacks and self._callbacks[0][0] <= end:
            self.now, _, callback = heappop(self._callbacks)
            callback()
        self.now = end

    def start_gateway(self, number: int) -> Gateway:
        gateway = Gateway(self.case.settings(number), self.rng.randrange(1 << 30))
        self.gateways[number] = [gateway]
        self.handle(gateway, EndpointsChanged(EndpointListKind.RESTORED, self.listed_endpoints()))
        return gateway

    def listed_endpoints(self) -> tuple[Endpoint, ...]:
        return tuple(server.info for server_id, server in self.servers.items() if server_id not in self.stopped_ids)

    def start_all(self) -> None:
        self.gateways = [[] for _ in range(self.case.gateways)]
        for number in range(self.case.gateways):
            self.start_gateway(number)
        self.call_after(0.0, self.send_batch if self.case.batch_interval else self.send_next)

    # Servers

    def speed(self, server: SimulatedServer) -> float:
        if not server.info.started_at:
            return 1.0
        initial = self.case.initial_capacity
        age = self.now - server.info.started_at
        return min(1.0, initial + (1 - initial) * age / self.case.slow_start_duration)

    def stop_servers(self, server_ids: list[str]) -> None:
        """Stop servers without draining: the attempts in flight there fail."""
        self.stopped_ids |= set(server_ids)
        for server_id in server_ids:
            server = self.servers[server_id]
            self.servers[server_id] = SimulatedServer(server.info)
            for attempt, _ in server.queue:
                self.call_after(0.01, partial(self.end_attempt, attempt, Outcome.RESET))
            server.queue.clear()
        self.publish(
            EndpointsChanged(
                EndpointListKind.UPDATE,
                tuple(replace(self.servers[server_id].info, readiness=Readiness.REMOVED) for server_id in server_ids),
            )
        )

    def start_servers(self, server_ids: list[str]) -> None:
        """Start cold servers, under IDs that were used before or new ones."""
        self.stopped_ids -= set(server_ids)
        for server_id in server_ids:
            number = int(server_id[1:])
            info = Endpoint(server_id, zone="abc"[number % 3], started_at=self.now)
            self.servers[server_id] = self.cold_servers[server_id] = SimulatedServer(info)
        self.publish(EndpointsChanged(EndpointListKind.UPDATE, tuple(self.servers[n].info for n in server_ids)))

    def publish(self, event: EndpointsChanged) -> None:
        for number in range(self.case.gateways):

            def receive(number: int = number) -> None:
                for process in self.gateways[number]:
                    self.handle(process, event)

            self.call_after(self.rng.random() * self.case.list_delay, receive)

    def receive_attempt(self, attempt: Attempt, work: float) -> None:
        server = self.servers[attempt.server_id]
        if attempt.server_id in self.stopped_ids:
            self.call_after(0.002, lambda: self.end_attempt(attempt, Outcome.CONNECT_FAILED))
            return
        server.received.append((self.now, work))
        if len(server.queue) >= 20 * self.cores:
            self.call_after(0.002, lambda: self.end_attempt(attempt, Outcome.REJECTED))
            return
        server.queue.append((attempt, work * self.rng.gammavariate(4.0, 0.25)))
        self.serve(server)

    def serve(self, server: SimulatedServer) -> None:
        while server.busy < self.cores and server.queue:
            attempt, work = server.queue.popleft()
            server.busy += 1

            def finish(attempt: Attempt = attempt) -> None:
                server.busy -= 1
                is_running = self.servers[attempt.server_id] is server
                self.end_attempt(attempt, Outcome.OK if is_running else Outcome.RESET)
                self.serve(server)

            self.call_after(work * self.service_time / self.speed(server), finish)

    # Gateways

    def handle(self, process: Gateway, event: Event) -> None:
        for action in process.handle(self.now, event):
            self.take_action(process, action)

    def take_action(self, process: Gateway, action: Action) -> None:
        if isinstance(action, StartAttempt):
            request = self.open_requests[action.request_id]
            number = self.last_attempts.get(action.request_id, -1) + 1
            self.last_attempts[action.request_id] = number
            attempt = Attempt(process, action.request_id, number, action.endpoint_id, self.now)
            self.call_after(action.timeout, lambda: self.end_attempt(attempt, Outcome.TIMEOUT))
            self.receive_attempt(attempt, request.kind.work * request.units / self.mean_work)
        elif isinstance(action, SetTimer):
            self.call_after(action.delay, partial(self.fire_timer, process, TimerFired(action.token)))
        elif isinstance(action, ShareUsage):
            for other in self.gateways[process.settings.gateway_index]:
                if other is not process:
                    self.handle(other, action.usage)
        elif isinstance(action, RejectRequest | FailRequest):
            request = self.open_requests.pop(action.request_id)
            self.rejected_count += 1
            if request.retries < 3 and self.rng.random() < self.case.client_retry_share:
                request.retries += 1
                self.call_after(0.2 + self.rng.random(), lambda: self.send_request(request))

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.ended or not self.is_running(attempt.process):
            return
        attempt.ended = True
        latency = self.now - attempt.sent_at
        self.handle(
            attempt.process,
            AttemptEnded(
                attempt.request_id, attempt.number, attempt.server_id, outcome, latency, outcome is Outcome.OK
            ),
        )

    def fire_timer(self, process: Gateway, timer: TimerFired) -> None:
        if self.is_running(process):
            self.handle(process, timer)

    def is_running(self, process: Gateway) -> bool:
        return process in self.gateways[process.settings.gateway_index]

    def upgrade(self, number: int) -> None:
        """Start a second process of a gateway; the first one ends after the upgrade time."""
        [old] = self.gateways[number]
        new = self.start_gateway(number)
        self.gateways[number] = [old, new]
        self.handle(new, old.handover_state(self.now))
        self.handle(new, ProcessGroupChanged(1))
        self.handle(old, ProcessGroupChanged(1, has_successor=True))

        def stop_old() -> None:
            self.gateways[number] = [new]
            self.handle(new, ProcessGroupChanged(0))

        self.call_after(self.case.upgrade_time, stop_old)

    # Clients

    def send_request(self, request: ClientRequest) -> None:
        [number] = self.rng.choices(self.gateway_order, cum_weights=self.gateway_weights)
        request_id = f"r{next(self._sequence)}"
        self.open_requests[request_id] = request
        self.handle(
            self.rng.choice(self.gateways[number]),
            RequestReceived(
                request_id,
                request.kind.name,
                "wide",
                f"c{self.rng.randrange(50)}",
                4.0,
                request.units,
                self.case.gateways,
                is_retry=request.retries > 0,
            ),
        )

    def send_new_request(self) -> None:
        [kind] = self.rng.choices(self.case.kinds, [kind.share for kind in self.case.kinds])
        self.send_request(ClientRequest(kind, self.rng.choice(kind.units)))

    def request_rate(self) -> float:
        full_rate = self.case.demand * self.case.servers * self.case.capacity
        return full_rate / 10 if self.now < self.calm_until else full_rate

    def send_next(self) -> None:
        self.send_new_request()
        self.call_after(self.rng.expovariate(self.request_rate()), self.send_next)

    def send_batch(self) -> None:
        for _ in range(round(self.request_rate() * self.case.batch_interval)):
            self.send_new_request()
        self.call_after(self.case.batch_interval, self.send_batch)

    # Phases and checks

    def run_slow_start(self) -> None:
        """Run from the cold start to the end of the warm-up time."""
        case = self.case
        self.calm_until = self.now + case.calm_time
        if case.traffic_moves:
            self.gateway_order = self.gateway_order[::-1]
        for number in range(case.gateways):
            for _ in range(case.restarts):
                restart_delay = self.rng.random() * case.slow_start_duration
                self.call_after(restart_delay, partial(self.start_gateway, number))
            if case.upgrade_time:
                upgrade_delay = self.rng.random() * case.slow_start_duration / 3
                self.call_after(upgrade_delay, partial(self.upgrade, number))
        self.run(case.slow_start_duration)

    def worst_windows(self) -> list[tuple[float, float, str, float]]:
        """Return the window with the greatest excess over N + 2 * sqrt(N) + 2 of each cold server.

        Returns:
            The excess, N, the server ID and the age of the server at the start of the window.
        """
        worst_windows = []
        for server_id, server in self.cold_servers.items():
            work_in_window = 0.0
            window_end = 0
            received = [(t - server.info.started_at, work) for t, work in server.received]
            received = [one for one in received if one[0] < self.case.slow_start_duration]
            worst = (-1e9, 0.0, server_id, 0.0)
            for age, work in received:
                while window_end < len(received) and received[window_end][0] < age + self.case.overload_window:
                    work_in_window += received[window_end][1]
                    window_end += 1
                n = self.case.allowed_work(age)
                worst = max(worst, (work_in_window - n - 2 * sqrt(n) - 2, n, server_id, age))
                work_in_window -= work
            worst_windows.append(worst)
        return worst_windows

    def restart_servers(self) -> None:
        """Stop the first servers, and start them again a second later."""
        server_ids = list(self.servers)[: self.case.cold_count]
        self.stop_servers(server_ids)
        self.run(1.0)
        self.start_servers(server_ids)

    def add_servers(self) -> None:
        self.start_servers([f"s{self.case.servers + n}" for n in range(self.case.cold_count)])

    def restart_zone(self) -> None:
        """Stop a third of the servers, and start them again a second later."""
        server_ids = [server_id for server_id, server in self.servers.items() if server.info.zone == "a"]
        self.stop_servers(server_ids)
        self.run(1.0)
        self.start_servers(server_ids)


def violations(simulation: Simulation) -> list[str]:
    """Return the windows with too much load, and whether the load was too low for the result to mean anything."""
    found = [
        f"{server_id}: {excess:.1f} requests above the bound in the window from age {age:.2f} s, where N is {n:.1f}"
        for excess, n, server_id, age in simulation.worst_windows()
        if excess > 0.0
    ]
    if simulation.rejected_count < 100:
        found.append(f"only {simulation.rejected_count} requests rejected: the load is too low")
    if not any(server.received for server in simulation.cold_servers.values()):
        found.append("the cold servers got no attempts")
    return found


def simulate(case: Case, make_cold: Callable[[Simulation], None]) -> Simulation:
    simulation = Simulation(case)
    simulation.start_all()
    simulation.run(case.warm_phase)
    make_cold(simulation)
    simulation.run_slow_start()
    return simulation


def simulate_all_cold(case: Case) -> Simulation:
    """Run a simulation in which all servers have just started, and no gateway has any state."""
    simulation = Simulation(case)
    for server in simulation.servers.values():
        server.info = replace(server.info, started_at=simulation.now)
    simulation.cold_servers = simulation.servers
    simulation.start_all()
    simulation.run_slow_start()
    return simulation


MIXED = (Kind("read", 0.4, 0.8), Kind("order", 3.4, 0.2))
LIGHT = (Kind("read", 0.4, 0.9), Kind("order", 1.6, 0.1))
UNITS = (Kind(units=(1.0, 1.0, 1.0, 2.0, 2.0, 4.0, 8.0)),)
HEAVY = (Kind(units=(8.0, 8.0, 8.0, 8.0, 1.0)),)

PLAIN = {
    "3": (Case(3, slow_start_duration=2.0, overload_factor=1.0), Simulation.add_servers),
    "20": (Case(20, slow_start_duration=4.0, overload_factor=0.5, overload_window=2.0), Simulation.restart_servers),
    "30": (Case(30, slow_start_duration=8.0, initial_capacity=0.1, overload_factor=1.0), Simulation.restart_zone),
    "200": (Case(200, overload_factor=1.0, overload_window=2.0), Simulation.restart_zone),
    "200, more capacity": (
        Case(200, capacity=40.0, slow_start_duration=3.0, initial_capacity=0.5, overload_window=0.5),
        Simulation.restart_servers,
    ),
    "200, few requests at each": (
        Case(
            200,
            3,
            40.0,
            cold_count=1,
            slow_start_duration=4.0,
            overload_factor=2.0,
            overload_window=2.0,
            warm_phase=6.0,
        ),
        Simulation.restart_servers,
    ),
    "30, a long warm-up": (Case(30, 6, slow_start_duration=18.0, overload_factor=1.0), Simulation.restart_servers),
    "200, many servers": (
        Case(200, 36, 8.0, slow_start_duration=4.0, overload_factor=1.0, overload_window=4.0),
        Simulation.restart_zone,
    ),
}


@pytest.mark.parametrize("name", PLAIN)
def test_the_total_load_of_all_gateways_stays_within_the_slow_start_capacity(name: str) -> None:
    assert not violations(simulate(*PLAIN[name]))


VARIED = {
    "3, classes": Case(3, kinds=MIXED, overload_factor=1.0, overload_window=2.0),
    "20, classes": Case(20, kinds=LIGHT, overload_factor=1.0, overload_window=2.0),
    "30, classes": Case(30, kinds=MIXED, overload_factor=0.5, overload_window=2.0),
    "200, classes": Case(200, kinds=MIXED, slow_start_duration=3.0, overload_factor=1.0, overload_window=2.0),
    "200, classes not far apart": Case(
        200, kinds=LIGHT, slow_start_duration=4.0, overload_factor=1.0, overload_window=2.0
    ),
    "3, units": Case(3, kinds=UNITS, overload_factor=1.0, overload_window=2.0),
    "30, units": Case(30, kinds=UNITS, overload_factor=0.5, overload_window=2.0),
    "200, units": Case(200, kinds=UNITS, overload_factor=1.0, overload_window=2.0),
    "20, uneven and moving": Case(
        20, slow_start_duration=8.0, overload_factor=1.0, overload_window=2.0, uneven=True, traffic_moves=True
    ),
    "200, hedges": Case(200, slow_start_duration=4.0, overload_factor=1.0, hedging=True),
    "3, client retries": Case(3, slow_start_duration=4.0, overload_factor=1.0, client_retry_share=1.0),
}


@pytest.mark.parametrize("name", VARIED)
def test_varied_requests_stay_within_the_slow_start_capacity(name: str) -> None:
    assert not violations(simulate(VARIED[name], Simulation.restart_zone))


PROCESSES = {
    "3, restarts": Case(3, slow_start_duration=4.0, overload_factor=1.0, overload_window=2.0, restarts=4),
    "20, restarts and classes": Case(
        20, 12, 40.0, kinds=MIXED, overload_factor=0.5, overload_window=2.0, restarts=5, seed=4
    ),
    "200, restarts": Case(200, slow_start_duration=4.0, overload_factor=1.0, overload_window=2.0, restarts=4),
    "200, restarts and classes": Case(200, 12, 40.0, kinds=MIXED, overload_factor=0.5, overload_window=2.0, restarts=5),
    "3, upgrades": Case(3, overload_factor=1.0, upgrade_time=3.0),
    "30, upgrades": Case(30, overload_factor=1.0, overload_window=2.0, upgrade_time=3.0),
}


@pytest.mark.parametrize("name", PROCESSES)
def test_restarted_and_upgraded_processes_stay_within_the_slow_start_capacity(name: str) -> None:
    assert not violations(simulate(PROCESSES[name], Simulation.restart_zone))


BATCHES = {
    "3, each half second": Case(3, overload_factor=1.0, batch_interval=0.5),
    "30, each three seconds": Case(30, overload_factor=0.5, batch_interval=3.0),
    "200, each half second": Case(200, overload_factor=1.0, batch_interval=0.5),
    "30, calm at first": Case(30, slow_start_duration=10.0, overload_factor=1.0, calm_time=8.0),
    "200, calm at first": Case(200, slow_start_duration=8.0, overload_factor=1.0, calm_time=6.0),
    "200, each three seconds": Case(200, overload_factor=1.0, batch_interval=3.0),
}


@pytest.mark.parametrize("name", BATCHES)
def test_batches_of_requests_stay_within_the_slow_start_capacity(name: str) -> None:
    assert not violations(simulate(BATCHES[name], Simulation.restart_servers))


ALL_COLD = {
    "3": Case(3, slow_start_duration=3.0, overload_factor=1.0),
    "30, classes": Case(30, kinds=MIXED, slow_start_duration=3.0, overload_factor=0.5),
    "200, units": Case(200, kinds=HEAVY, slow_start_duration=3.0, overload_factor=0.5),
    "200, batches": Case(200, kinds=UNITS, slow_start_duration=2.0, overload_factor=0.5, batch_interval=0.5),
}


@pytest.mark.parametrize("name", ALL_COLD)
def test_gateways_without_state_stay_within_the_slow_start_capacity_of_cold_servers(name: str) -> None:
    assert not violations(simulate_all_cold(ALL_COLD[name]))
