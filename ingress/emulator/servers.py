"""Schedule servers in simulated time: cores, waiting room, connection table, cold start, faults."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from ingress.decisions.endpoint import Outcome
from ingress.emulator.experiment import Fleet
from ingress.emulator.kernel import Clock, RandomStream

IMMEDIATE_ERROR_S = 0.002  # s that an error takes which needs no work
FULL_TABLE_CAPACITY_LOSS_RATIO = 0.1  # of its capacity that a server with a full connection table loses


class ServerAttempt(Protocol):
    """An attempt, as its server sees it."""

    work: float  # s on a core of nominal speed
    is_abandoned: bool  # nobody waits for it any more
    expires_at: float

    def complete(self, outcome: Outcome) -> None:
        """The attempt has ended at the endpoint."""


@dataclass(slots=True)
class Defect:
    """What makes a running server bad."""

    mode: str
    rate: float
    factor: float


class ServerModel:
    """One server.  `epoch` counts its starts; `machine`: it can be reached at all."""

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
        self.cell = number // 4
        self.cores = fleet.cores
        self.speed = draws.uniform(*fleet.speed)
        self.incarnation, self.started_at = 0, 0.0  # 0: long ago
        self.is_running = True
        self.is_reachable = True
        self.is_draining = False
        self.busy = 0
        self.connections = 0
        self.work_done = 0.0
        self.handshake_work = 0.0
        self.collapsed = False  # it was pushed over while it was cold, and stays down
        self.queue: deque[ServerAttempt] = deque()
        self.defect: Defect | None = None

    def capacity_share(self) -> float:
        """The share of its capacity that it has now."""
        age = self.kernel.now - self.started_at
        if not self.started_at or age >= self.fleet.cold_s:
            return 1.0
        return self.fleet.cold_share + (1 - self.fleet.cold_share) * age / self.fleet.cold_s

    def is_warming_up(self) -> bool:
        """Whether it is within its slow start."""
        return self.started_at > 0 and self.kernel.now < self.started_at + self.fleet.cold_s

    def capacity(self) -> float:
        """Seconds of nominal work that it does in a second."""
        full = self.connections / (self.fleet.connections_per_core * self.cores)
        return self.cores * self.speed * self.capacity_share() * (1 - FULL_TABLE_CAPACITY_LOSS_RATIO * min(1.0, full))

    def pace(self) -> float:
        """Seconds of nominal work that one core does in a second now."""
        pace = self.capacity() / self.cores / (1 + self.fleet.thrash * self._overload_per_core())
        return pace / self.defect.factor if self.defect is not None and self.defect.mode == "slow" else pace

    def _overload_per_core(self) -> float:
        """Requests for each core that it holds beyond what it holds with ease."""
        return max(0.0, (self.busy + len(self.queue)) / self.cores - self.fleet.thrash_at)

    def accepts(self) -> bool:
        """Whether a connection that reaches it comes up."""
        refuses = self.defect is not None and self.defect.mode == "refuse"
        return self.is_running and not refuses and (self.connections < self.fleet.connections_per_core * self.cores)

    def receive(self, attempt: ServerAttempt) -> None:
        """An attempt is here whole."""
        bad = self.defect if self.defect is not None and self.random.chance(self.defect.rate) else None
        if bad is not None and bad.mode == "silent":
            return
        if (bad is not None and bad.mode == "errors") or self.random.chance(self.fleet.error_rate):
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
        """A new connection: the seconds of its work, which whatever is begun next has to wait for."""
        work = self.fleet.handshake_ms / 1000 / max(self.capacity_share(), 0.01)
        self.handshake_work += work
        return work

    def _start_work(self, attempt: ServerAttempt) -> None:
        self.busy += 1
        took = attempt.work / self.pace() + self.handshake_work
        self.handshake_work = 0.0
        self.kernel.after(took, self._finish_work, attempt, self.incarnation)

    def _finish_work(self, attempt: ServerAttempt, epoch: int) -> None:
        if epoch != self.incarnation:
            return  # it died with the process
        self.busy -= 1
        self.work_done += attempt.work
        spoilt = self.defect is not None and self.defect.mode == "spoilt" and (self.random.chance(self.defect.rate))
        attempt.complete(Outcome.MALFORMED if spoilt else Outcome.OK)
        while self.queue and self.busy < self.cores:
            waiting = self.queue.popleft()
            if self.kernel.now >= waiting.expires_at or (waiting.is_abandoned and self.fleet.cancel == "queued"):
                waiting.complete(Outcome.REJECTED)
            else:
                self._start_work(waiting)

    def stop(self) -> None:
        """The process ends; what it holds is gone."""
        self.is_running = False
        self.incarnation = self.incarnation + 1
        self.busy = 0
        self.connections = 0
        self.queue.clear()

    def collapse(self) -> None:
        """It got more than it bears while it warmed up, and stays down."""
        self.stop()
        self.collapsed = True

    def start(self) -> None:
        """A new process begins, unless it has collapsed."""
        if self.collapsed:
            return
        self.is_running = True
        self.is_reachable = True
        self.is_draining = False
        self.defect = None
        self.started_at = max(self.kernel.now, 1e-3)
