"""A gateway in simulated time: feeds the real decision module, carries out what it says, owes the clients."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ingress.decisions.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleClients,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendPeerMessage,
    SetReadiness,
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
    EndpointListKind,
    EndpointsChanged,
    Event,
    HealthCheckEnded,
    RequestReceived,
    TimerFired,
)
from ingress.decisions.settings import Settings
from ingress.emulator.experiment import Fleet, RuleLimits
from ingress.emulator.kernel import Clock
from ingress.emulator.measure import Recorder
from ingress.emulator.network import NetworkModel
from ingress.emulator.rules import RequestRecord, RuleChecker, is_leaving
from ingress.emulator.servers import ServerModel

DEADLINE_MARGIN_S = 0.020  # s before the client's time is up: when the module's time is up, as in the real ingress
IDLE_TIMEOUT_RATIO = 0.6  # of the time after which a server closes an idle connection: ours goes before
IDLE_SWEEP_INTERVAL_S = 2.0  # s between looks for idle connections
HEALTH_CHECK_WORK_S = 0.0003  # s on a core
# Names under which results count actions that change nothing here; results of earlier builds have them too.
ACTION_COUNTER_NAMES = {
    LogMessage: "Log",
    CloseIdleClients: "LetGo",
    ShareUsage: "TellSiblings",
    WatchEndpoints: "Subscribe",
    FetchEndpoints: "FetchBackends",
    SendPeerMessage: "TellPeers",
    AddToCounter: "Count",
}


class DecisionModule(Protocol):
    """What the emulator needs of `ingress.decisions.gateway.Gateway`."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Takes an event at a time (s) and gives the actions."""


GatewayFactory = Callable[[Settings, int], DecisionModule]


class LoadBalancer(Protocol):
    """Who hears how a try ended."""

    def request_served(self, held: PendingRequest) -> None:
        """The request was served."""

    def request_rejected(self, held: PendingRequest, wait: float, reason: str) -> None:
        """The request was rejected; its client may come again after `wait` s."""

    def request_failed(self, held: PendingRequest, reason: str) -> None:
        """The request failed."""

    def connection_lost(self, held: PendingRequest) -> None:
        """The connection of the request ended without an answer."""

    def attempt_arrived(self, held: PendingRequest) -> None:
        """The first attempt of the request has reached an endpoint."""


class RequestTarget(Protocol):
    """A gateway, as the front and the clients see it."""

    incarnation: int
    up: bool

    def submit(self, held: PendingRequest, event: RequestReceived) -> None:
        """Receives a request."""

    def client_disconnected(self, held: PendingRequest) -> None:
        """The client of the request has gone."""


class PendingRequest:
    """A try that a gateway has taken."""

    __slots__ = ("answered", "attempt_count", "gateway", "intent", "is_disconnected", "open_attempts", "record", "work")

    def __init__(self, gateway: RequestTarget, record: RequestRecord, work: float, wish: object) -> None:
        self.gateway = gateway
        self.record = record
        self.work = work
        self.intent = wish
        self.answered = False
        self.is_disconnected = False
        self.attempt_count = 0
        self.open_attempts: dict[int, Attempt] = {}


class Attempt:
    """One attempt, seen by its gateway and its server."""

    __slots__ = (
        "expires_at",
        "gateway_incarnation",
        "host",
        "is_abandoned",
        "is_ended",
        "is_written",
        "number",
        "request",
        "server",
        "server_incarnation",
        "started_at",
        "work",
    )

    def __init__(
        self, host: GatewayHost, held: PendingRequest, number: int, server: ServerModel, sent: float, expires: float
    ) -> None:
        self.host = host
        self.request = held
        self.number = number
        self.server = server
        self.started_at = sent
        self.expires_at = expires
        self.gateway_incarnation = host.incarnation
        self.server_incarnation = server.incarnation
        self.work = held.work
        self.is_abandoned = False
        self.is_ended = False
        self.is_written = False

    def complete(self, outcome: Outcome) -> None:
        """The server answers; the network brings it, or not."""
        self.host.deliver_outcome(self, outcome)


@dataclass(frozen=True, slots=True)
class GatewayEnvironment:
    """What all gateways of a play share.

    Attributes:
        kernel: the clock.
        fleet: what the experiment says of gateways and endpoints.
        network: the way to the endpoints.
        servers: the endpoints, by id.
        rules: checks what the gateways do.
        spec: the limits of the rules.
        record: counts what happens.
        make: makes the decisions of a gateway.
    """

    kernel: Clock
    fleet: Fleet
    network: NetworkModel
    servers: dict[str, ServerModel]
    rules: RuleChecker
    limits: RuleLimits
    recorder: Recorder
    gateway_factory: GatewayFactory


class GatewayHost:
    """One gateway of the fleet.

    Attributes:
        zone: where it runs.
        front: the load balancer, with the clients behind it.
        fell: is called with an endpoint that collapsed while it warmed up.
        life: counts its starts.
        up: its process runs.
        paused: its process is stopped.
        welcome: it tells the load balancer to send requests.
        module: its decisions.
        held: requests that it owes an answer.
        idle: connections by endpoint: idle since, and the incarnation that they belong to.
        known: the endpoint list as it has it.
        leaving: when it was notified that an endpoint leaves.
        starts: the latest start of each endpoint that it was notified of.
        backlog: calls that wait until it goes on.
        waiting: open attempts, by endpoint.
    """

    def __init__(self, surroundings: GatewayEnvironment, number: int) -> None:
        self.kernel = surroundings.kernel
        self.fleet = surroundings.fleet
        self.network = surroundings.network
        self.servers = surroundings.servers
        self.rules = surroundings.rules
        self.limits = surroundings.limits
        self.recorder = surroundings.recorder
        self.gateway_factory = surroundings.gateway_factory
        self.number = number
        self.zone = number % self.fleet.zones
        self.load_balancer: LoadBalancer
        self.on_collapse: Callable[[ServerModel], None]
        self.incarnation = 0
        self.up = False
        self.paused = False
        self.is_ready = True
        self.decisions: DecisionModule | None = None
        self.pending: dict[str, PendingRequest] = {}
        self.idle: dict[str, list[tuple[float, int]]] = {}
        self.known_endpoints: dict[str, Endpoint] = {}
        self.leaving_since: dict[str, float] = {}
        self.endpoint_starts: dict[str, float] = {}
        self.events: deque[Event] = deque()
        self.deferred_calls: list[tuple[Callable[..., None], tuple[object, ...]]] = []
        self.is_handling = False
        self.open_attempts: dict[str, dict[Attempt, None]] = {}

    # Life

    def start(self, settings: Settings, seed: int) -> None:
        """A new process: its decisions begin from nothing, with the list as it was known."""
        self.incarnation += 1
        self.up = True
        self.paused = False
        self.is_ready = True
        self.decisions = self.gateway_factory(settings, seed)
        self.handle_event(EndpointsChanged(EndpointListKind.RESTORED, tuple(self.known_endpoints.values())))
        self.kernel.after(IDLE_SWEEP_INTERVAL_S, self._sweep_idle, self.incarnation)

    def kill(self) -> None:
        """Dies at once: connections to servers end, clients see theirs reset."""
        self.incarnation += 1
        self.up = False
        self.decisions = None
        self.is_handling = False
        self.events.clear()
        self.deferred_calls.clear()
        for name, kept in self.idle.items():
            self._remove_connections(
                self.servers[name], sum(epoch == self.servers[name].incarnation for _, epoch in kept)
            )
        self.idle.clear()
        for attempts in self.open_attempts.values():
            for attempt in attempts:
                attempt.is_ended = attempt.is_abandoned = True
                if attempt.is_written and attempt.server_incarnation == attempt.server.incarnation:
                    self._remove_connections(attempt.server, 1)
        self.open_attempts.clear()
        held = self.pending
        self.pending = {}
        for one in held.values():
            one.record.is_closed = True
            if not one.answered:
                one.answered = True
                one.record.is_exempt = True
                self.load_balancer.connection_lost(one)

    def pause(self) -> None:
        """Stops the process as SIGSTOP does; what it holds meanwhile is excused from its time."""
        self.paused = True
        for one in self.pending.values():
            one.record.is_exempt = True

    def resume(self) -> None:
        """Goes on as after SIGCONT: what came meanwhile is handled now."""
        self.paused = False
        backlog = self.deferred_calls
        self.deferred_calls = []
        for call, args in backlog:
            call(*args)

    def _defer_if_paused(self, call: Callable[..., None], *args: object) -> bool:
        """Whether the process is stopped, so that this waits."""
        if self.paused:
            self.deferred_calls.append((call, args))
        return self.paused

    # What reaches it

    def endpoints_changed(self, event: EndpointsChanged) -> None:
        """Takes a message of discovery."""
        if not self.up or self._defer_if_paused(self.endpoints_changed, event):
            return
        now = self.kernel.now
        named = {entry.id for entry in event.endpoints}
        if event.kind is EndpointListKind.REPLACE:
            for name in [name for name in self.known_endpoints if name not in named]:
                del self.known_endpoints[name]
                self.leaving_since.setdefault(name, now)
        for entry in event.endpoints:
            if is_leaving(entry):
                self.leaving_since.setdefault(entry.id, now)
            else:
                self.leaving_since.pop(entry.id, None)
            if entry.readiness is Readiness.REMOVED:
                self.known_endpoints.pop(entry.id, None)
            else:
                self.known_endpoints[entry.id] = entry
            self.endpoint_starts[entry.id] = entry.started_at
        self.handle_event(event)

    def submit(self, held: PendingRequest, event: RequestReceived) -> None:
        """A client's try is here whole."""
        if self._defer_if_paused(self.submit, held, event):
            held.record.is_exempt = True
            return
        if not self.up or held.is_disconnected:
            return
        self.pending[held.record.id] = held
        self.kernel.at(held.record.deadline + self.limits.answer_slack_s, self._check_deadline, held)
        self.handle_event(event)

    def client_disconnected(self, held: PendingRequest) -> None:
        """Its client goes."""
        held.is_disconnected = True
        if self._defer_if_paused(self.client_disconnected, held) or not self.up or held.answered:
            return
        held.answered = True
        held.record.is_exempt = True
        held.record.is_closed = True
        self.handle_event(ClientDisconnected(held.record.id))
        self.pending.pop(held.record.id, None)

    def health_counts(self) -> dict[str, int]:
        """How many servers it holds to be in which state; none of a module that does not tell."""
        health: dict[str, int] = getattr(self.decisions, "health", dict)()
        return {key: count for key, count in health.items() if key.startswith("health.")}

    def _check_deadline(self, held: PendingRequest) -> None:
        if self.up:
            self.rules.check_deadline(self.kernel.now, held.record)

    # The module

    def handle_event(self, event: Event) -> None:
        """Hands an event to the module; one that comes up meanwhile waits for its turn."""
        self.events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        while self.events and self.decisions is not None:
            for action in list(self.decisions.handle(self.kernel.now, self.events.popleft())):
                self._execute(action)
        self.is_handling = False

    def _timer_fired(self, life: int, token: int) -> None:
        if life == self.incarnation and not self._defer_if_paused(self._timer_fired, life, token):
            self.handle_event(TimerFired(token))

    def _execute(self, action: Action) -> None:
        now = self.kernel.now
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest(request_id=key) | FailRequest(request_id=key):
                held = self.pending.pop(key, None)
                if held is not None:
                    held.record.is_closed = True
                    self._answer_client(held, action)
            case SetTimer(delay=delay, token=token):
                self.kernel.after(max(0.0, delay), self._timer_fired, self.incarnation, token)
            case CancelAttempt(request_id=key, attempt=number):
                held = self.pending.get(key)
                attempt = held.open_attempts.get(number) if held is not None else self._find_attempt(key, number)
                if attempt is not None:
                    self._abandon_attempt(attempt, Outcome.CANCELLED)
            case StartHealthCheck(endpoint_id=name, timeout=timeout):
                self._start_health_check(self.servers[name], timeout)
            case CloseIdleConnections(endpoint_id=name):
                self._close_idle(name)
            case SetReadiness(ready=on):
                self.is_ready = on
            case _:
                self.recorder.count(now, f"action.{ACTION_COUNTER_NAMES.get(type(action), type(action).__name__)}")

    def _find_attempt(self, key: str, number: int) -> Attempt | None:
        return next(
            (
                attempt
                for attempts in self.open_attempts.values()
                for attempt in attempts
                if attempt.request.record.id == key and attempt.number == number
            ),
            None,
        )

    def _answer_client(self, held: PendingRequest, action: RejectRequest | FailRequest) -> None:
        if held.answered:
            return
        held.answered = True
        reason = getattr(action, "reason", "") or ("attempt" if held.attempt_count else "unknown")
        if isinstance(action, RejectRequest):
            self.rules.check_rejection(self.kernel.now, held.record)
            self.rules.check_answer(self.kernel.now, held.record, "refused")
            self.load_balancer.request_rejected(held, action.retry_after, reason)
        else:
            self.rules.check_answer(self.kernel.now, held.record, "failed")
            self.load_balancer.request_failed(held, reason)

    # Attempts

    def _start_attempt(self, action: StartAttempt) -> None:
        now = self.kernel.now
        held = self.pending.get(action.request_id)
        if held is None:
            self.rules.report_violation(
                "nothing after the end",
                now,
                f"request {action.request_id} is not held and went to {action.endpoint_id}",
            )
            self.events.append(
                AttemptEnded(action.request_id, 0, action.endpoint_id, Outcome.NOT_SENT, request_finished=True)
            )
            return
        number = held.attempt_count
        held.attempt_count = held.attempt_count + 1
        server = self.servers[action.endpoint_id]
        if held.answered or number >= self.fleet.max_attempts:
            self.events.append(
                AttemptEnded(
                    action.request_id, number, action.endpoint_id, Outcome.NOT_SENT, request_finished=held.answered
                )
            )
            return
        self.rules.check_attempt(now, held.record, server.id, server.zone, server.cell)
        self.rules.check_draining(now, self.number, server.id, self.leaving_since.get(server.id))
        self.recorder.count(now, "attempts")
        wait = min(action.timeout or held.record.deadline - now, held.record.deadline - now)
        attempt = Attempt(self, held, number, server, now, now + max(wait, 0.0))
        held.open_attempts[number] = attempt
        self.open_attempts.setdefault(server.id, {})[attempt] = None
        self.kernel.at(attempt.expires_at, self._attempt_timed_out, attempt)
        kept = self.idle.get(server.id, [])
        while kept:
            _, epoch = kept.pop()
            if epoch == server.incarnation or not server.is_reachable:
                self._write_request(attempt)  # a machine that vanished leaves connections open and silent
                return
        self._connect(attempt)

    def _connect(self, attempt: Attempt) -> None:
        server = attempt.server
        limit = self.fleet.connect_timeout_ms / 1000
        if not server.is_reachable or not self.network.is_reachable(self.zone, server.zone):
            self.kernel.after(limit, self._outcome, attempt, Outcome.CONNECT_FAILED)
            return
        turn = 2 * self.network.delay(self.zone, server.zone)
        self.recorder.count(self.kernel.now, "handshakes")
        if not server.accepts():
            self.kernel.after(turn, self._outcome, attempt, Outcome.CONNECT_FAILED)
            return
        server.connections += 1
        took = server.add_handshake() + self.fleet.handshake_rtts * turn
        if took > limit:
            self._remove_connections(server, 1)
            self.kernel.after(limit, self._outcome, attempt, Outcome.CONNECT_FAILED)
        else:
            self.kernel.after(took, self._connected, attempt)

    def _connected(self, attempt: Attempt) -> None:
        if attempt.gateway_incarnation != self.incarnation or attempt.server_incarnation != attempt.server.incarnation:
            if attempt.server_incarnation == attempt.server.incarnation:
                self._remove_connections(attempt.server, 1)
            self._outcome(attempt, Outcome.CONNECT_FAILED)
        elif attempt.is_ended:
            self.idle.setdefault(attempt.server.id, []).append((self.kernel.now, attempt.server_incarnation))
        else:
            self._write_request(attempt)

    def _write_request(self, attempt: Attempt) -> None:
        attempt.is_written = True
        server = attempt.server
        self.kernel.after(self.network.delay(self.zone, server.zone), self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        """The attempt's last byte arrives, unless the network or the server is gone."""
        server = attempt.server
        now = self.kernel.now
        if not server.is_reachable or not self.network.is_reachable(self.zone, server.zone):
            return
        if (
            not server.is_running
            or attempt.server_incarnation != server.incarnation
            or self.network.resets_connection()
        ):
            self.kernel.after(self.network.delay(self.zone, server.zone), self._outcome, attempt, Outcome.RESET)
            return
        if attempt.number == 0:
            self.rules.charge_ceiling(now, attempt.request.record)
            self.load_balancer.attempt_arrived(attempt.request)
        knew = self.endpoint_starts.get(server.id, 0.0) >= server.started_at
        if self.rules.add_work(now, server.id, attempt.work, knew, server.capacity(), server.is_warming_up()):
            self.recorder.count(now, "servers that fell over")
            self.on_collapse(server)
            return
        server.receive(attempt)

    def deliver_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Sends the outcome of an attempt back, unless the network loses it."""
        server = attempt.server
        if self.network.is_reachable(self.zone, server.zone) and not self.network.loses_answer():
            self.kernel.after(self.network.delay(self.zone, server.zone), self._outcome, attempt, outcome)

    def _outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        if (
            attempt.is_ended
            or attempt.gateway_incarnation != self.incarnation
            or self._defer_if_paused(self._outcome, attempt, outcome)
        ):
            return
        now = self.kernel.now
        held = attempt.request
        server = attempt.server
        self._close_attempt(attempt)
        whole = outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)
        if attempt.is_written and attempt.server_incarnation == server.incarnation:
            if whole:
                self.idle.setdefault(server.id, []).append((now, attempt.server_incarnation))
            else:
                self._remove_connections(server, 1)
        self.rules.end_attempt(held.record, attempt.number, outcome)
        self.recorder.count(now, f"outcome.{outcome.value}")
        if outcome is Outcome.OK:
            self.recorder.add_latency(
                now, "cold server" if server.is_warming_up() else "warm server", now - attempt.started_at
            )
            if not held.answered:
                held.answered = True
                self.rules.check_answer(now, held.record, "served")
                self.load_balancer.request_served(held)
        self._notify_attempt_ended(attempt, outcome)

    def _notify_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        held = attempt.request
        self.handle_event(
            AttemptEnded(
                held.record.id,
                attempt.number,
                attempt.server.id,
                outcome,
                self.kernel.now - attempt.started_at,
                held.answered,
            )
        )
        if held.answered:
            held.record.is_closed = True
            self.pending.pop(held.record.id, None)

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        if (
            not attempt.is_ended
            and attempt.gateway_incarnation == self.incarnation
            and not self._defer_if_paused(self._attempt_timed_out, attempt)
        ):
            self._abandon_attempt(attempt, Outcome.TIMEOUT if attempt.is_written else Outcome.CONNECT_FAILED)

    def _abandon_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.is_ended:
            return
        attempt.is_abandoned = True
        self._close_attempt(attempt)
        if attempt.is_written and attempt.server_incarnation == attempt.server.incarnation:
            self._remove_connections(attempt.server, 1)  # to give an attempt up is to close its connection
        self.rules.end_attempt(attempt.request.record, attempt.number, outcome)
        self.recorder.count(self.kernel.now, f"outcome.{outcome.value}")
        self._notify_attempt_ended(attempt, outcome)

    def _close_attempt(self, attempt: Attempt) -> None:
        attempt.is_ended = True
        attempt.request.open_attempts.pop(attempt.number, None)
        self.open_attempts.get(attempt.server.id, {}).pop(attempt, None)

    # Connections

    def server_lost(self, name: str) -> None:
        """The server's process is gone and its machine says so: what is out there is reset."""
        self._close_idle(name)
        for attempt in list(self.open_attempts.get(name, ())):
            if attempt.is_written:
                self._outcome(attempt, Outcome.RESET)

    def _close_idle(self, name: str) -> None:
        server = self.servers[name]
        self._remove_connections(server, sum(epoch == server.incarnation for _, epoch in self.idle.pop(name, ())))

    @staticmethod
    def _remove_connections(server: ServerModel, count: int) -> None:
        server.connections = max(0, server.connections - count)

    def _sweep_idle(self, life: int) -> None:
        if life != self.incarnation:
            return
        self.kernel.after(IDLE_SWEEP_INTERVAL_S, self._sweep_idle, life)
        limit = self.kernel.now - IDLE_TIMEOUT_RATIO * self.fleet.idle_s
        for name, kept in self.idle.items():
            server = self.servers[name]
            fresh = [one for one in kept if one[0] >= limit]
            self._remove_connections(
                server, sum(epoch == server.incarnation for _, epoch in kept[: len(kept) - len(fresh)])
            )
            kept[:] = fresh

    def _start_health_check(self, server: ServerModel, timeout: float) -> None:
        self.recorder.count(self.kernel.now, "probes")
        silent = server.defect is not None and server.defect.mode == "silent"
        if not server.is_reachable or silent or not self.network.is_reachable(self.zone, server.zone):
            self.kernel.after(timeout, self._health_check_ended, self.incarnation, server.id, Outcome.TIMEOUT, timeout)
            return
        turn = 2 * self.network.delay(self.zone, server.zone)
        well = server.accepts() and not server.is_draining
        if well:
            server.handshake_work += HEALTH_CHECK_WORK_S
        outcome = Outcome.OK if well else Outcome.CONNECT_FAILED
        self.kernel.after(turn, self._health_check_ended, self.incarnation, server.id, outcome, turn)

    def _health_check_ended(self, life: int, name: str, outcome: Outcome, took: float) -> None:
        if life == self.incarnation and not self._defer_if_paused(self._health_check_ended, life, name, outcome, took):
            self.handle_event(HealthCheckEnded(name, outcome, took))
