"""Simulated servers behind endpoints: cores, request queue, connection table, warm-up and faults."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from ingress.decisions.endpoint import Outcome
from ingress.emulator.experiment import Fleet
from ingress.emulator.kernel import Clock, RandomStream

SERVERS_PER_CELL = 4
IMMEDIATE_ERROR_S = 0.002  # The duration of an error response, which needs no work.
FULL_TABLE_CAPACITY_LOSS_RATIO = 0.1  # The share of its capacity that a server with a full connection table loses.
EARLIEST_START_S = 1e-3  # A start at 0 would stand for one long before the run.


class ServerAttempt(Protocol):
    """An attempt as its server sees it.

    Attributes:
        work: Its work, in seconds on a core of nominal speed.
        is_abandoned: Whether its gateway no longer waits for the outcome.
        expires_at: The time from which the server rejects it (s).
    """

    work: float
    is_abandoned: bool
    expires_at: float

    def complete(self, outcome: Outcome) -> None:
        """Receive the outcome of the attempt from the server."""


@dataclass(slots=True)
class Defect:
    """The defect of a running server.

    Attributes:
        mode: `slow`, `errors`, `silent`, `spoilt` (malformed responses) or `refuse` (refused connections).
        rate: The share of requests that is affected in the modes `errors`, `silent` and `spoilt`.
        factor: The factor by which a `slow` server is slower.
    """

    mode: str
    rate: float
    factor: float


class ServerModel:
    """One server.

    Attributes:
        kernel: The clock.
        fleet: The settings of servers in the experiment.
        random: The random stream of the servers.
        id: Its ID in the endpoint list.
        zone: Its zone.
        cell: Its cell.
        cores: The number of its cores.
        speed: Its speed relative to the nominal speed.
        incarnation: The number of its stops, which tells its processes apart.
        started_at: When its process started (s); 0 if it started long before the run.
        is_running: Whether its process runs.
        is_reachable: Whether its machine is reachable on the network.
        is_draining: Whether it drains and rejects new requests.
        busy: The number of busy cores.
        connections: The number of its connections.
        work_done: The work that it has completed, in seconds on a core of nominal speed.
        handshake_work: The seconds of handshakes that delay the next request.
        collapsed: Whether it collapsed under overload while it warmed up, and stays down.
        queue: The queued requests.
        defect: The injected defect, if any.
    """

    __slots__ = (
        "busy",
        "cell",
        "collapsed",
        "connections",
        "cores",
        "defect",
        "fleet",
        "handshake_work",
        "id",
        "incarnation",
        "is_draining",
        "is_reachable",
        "is_running",
        "kernel",
        "queue",
        "random",
        "speed",
        "started_at",
        "work_done",
        "zone",
    )

    def __init__(self, kernel: Clock, fleet: Fleet, number: int, name: str, draws: RandomStream) -> None:
        self.kernel = kernel
        self.fleet = fleet
        self.random = draws
        self.id = name
        self.zone = number % fleet.zones
        self.cell = number // SERVERS_PER_CELL
        self.cores = fleet.cores
        self.speed = draws.uniform(*fleet.speed)
        self.incarnation = 0
        self.started_at = 0.0
        self.is_running = True
        self.is_reachable = True
        self.is_draining = False
        self.busy = 0
        self.connections = 0
        self.work_done = 0.0
        self.handshake_work = 0.0
        self.collapsed = False
        self.queue: deque[ServerAttempt] = deque()
        self.defect: Defect | None = None

    def capacity_share(self) -> float:
        """Return the share of its full capacity that it has now."""
        age = self.kernel.now - self.started_at
        if not self.started_at or age >= self.fleet.cold_s:
            return 1.0
        return self.fleet.cold_share + (1 - self.fleet.cold_share) * age / self.fleet.cold_s

    def is_warming_up(self) -> bool:
        """Report whether it warms up after a start."""
        return self.started_at > 0 and self.kernel.now < self.started_at + self.fleet.cold_s

    def capacity(self) -> float:
        """Return the seconds of nominal work that it does in a second."""
        table_use = self.connections / (self.fleet.connections_per_core * self.cores)
        return (
            self.cores * self.speed * self.capacity_share() * (1 - FULL_TABLE_CAPACITY_LOSS_RATIO * min(1.0, table_use))
        )

    def pace(self) -> float:
        """Return the seconds of nominal work that one core does in a second now."""
        pace = self.capacity() / self.cores / (1 + self.fleet.thrash * self._overload_per_core())
        return pace / self.defect.factor if self.defect is not None and self.defect.mode == "slow" else pace

    def _overload_per_core(self) -> float:
        """Return the requests per core beyond those that it handles without a slowdown."""
        return max(0.0, (self.busy + len(self.queue)) / self.cores - self.fleet.thrash_at)

    def accepts(self) -> bool:
        """Report whether it accepts a connection that reaches it."""
        refuses = self.defect is not None and self.defect.mode == "refuse"
        return self.is_running and not refuses and self.connections < self.fleet.connections_per_core * self.cores

    def receive(self, attempt: ServerAttempt) -> None:
        """Receive a complete attempt: answer it, start its work or queue it."""
        defect = self.defect if self.defect is not None and self.random.chance(self.defect.rate) else None
        if defect is not None and defect.mode == "silent":
            return
        if (defect is not None and defect.mode == "errors") or self.random.chance(self.fleet.error_rate):
            self.kernel.after(IMMEDIATE_ERROR_S, attempt.complete, Outcome.ERROR)
        elif self.is_draining or self.kernel.now >= attempt.expires_at:
            attempt.complete(Outcome.REJECTED)
        elif self.busy < self.cores:
            self._start_work(attempt)
        elif len(self.queue) < self.fleet.queue_per_core * self.cores:
            self.queue.append(attempt)
        else:
            attempt.complete(Outcome.REJECTED)

    def add_handshake(self) -> float:
        """Account for the work of a new connection, which delays the next request, and return its duration (s)."""
        work = self.fleet.handshake_ms / 1000 / max(self.capacity_share(), 0.01)
        self.handshake_work += work
        return work

    def _start_work(self, attempt: ServerAttempt) -> None:
        self.busy += 1
        duration = attempt.work / self.pace() + self.handshake_work
        self.handshake_work = 0.0
        self.kernel.after(duration, self._finish_work, attempt, self.incarnation)

    def _finish_work(self, attempt: ServerAttempt, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return  # The work ended with its process.
        self.busy -= 1
        self.work_done += attempt.work
        is_malformed = self.defect is not None and self.defect.mode == "spoilt" and self.random.chance(self.defect.rate)
        attempt.complete(Outcome.MALFORMED if is_malformed else Outcome.OK)
        while self.queue and self.busy < self.cores:
            waiting = self.queue.popleft()
            if self.kernel.now >= waiting.expires_at or (waiting.is_abandoned and self.fleet.cancel == "queued"):
                waiting.complete(Outcome.REJECTED)
            else:
                self._start_work(waiting)

    def stop(self) -> None:
        """End the process, and lose its connections and requests."""
        self.is_running = False
        self.incarnation += 1
        self.busy = 0
        self.connections = 0
        self.queue.clear()

    def collapse(self) -> None:
        """End the process for good, as an overload does during the warm-up."""
        self.stop()
        self.collapsed = True

    def start(self) -> None:
        """Start a new process, unless the server has collapsed."""
        if self.collapsed:
            return
        self.is_running = True
        self.is_reachable = True
        self.is_draining = False
        self.defect = None
        self.started_at = max(self.kernel.now, EARLIEST_START_S)
