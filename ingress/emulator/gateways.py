"""Simulated gateways: pass events to the real decision module, and carry out its actions on the simulated network."""

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
from ingress.emulator.requests import Attempt, LoadBalancer, PendingRequest
from ingress.emulator.rules import RuleChecker, is_leaving
from ingress.emulator.servers import ServerModel

# The decision module's deadline precedes the client's by this time, as in the real ingress.
DEADLINE_MARGIN_S = 0.020
# A gateway closes idle connections at this share of the server's idle timeout, so that it closes before the server.
IDLE_TIMEOUT_RATIO = 0.6
IDLE_SWEEP_INTERVAL_S = 2.0
HEALTH_CHECK_WORK_S = 0.0003  # Time on a core that the server spends on a health check.
# Counter names of actions that have no effect in simulated time.  Results of earlier builds use the same names.
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
    """The part of `ingress.decisions.gateway.Gateway` that the emulator uses."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event at the time `now` (s), and return the resulting actions."""


GatewayFactory = Callable[[Settings, int], DecisionModule]


@dataclass(frozen=True, slots=True)
class GatewayEnvironment:
    """The objects that all gateways of a run share.

    Attributes:
        kernel: The simulated clock.
        fleet: The settings of gateways and endpoints in the experiment.
        network: The simulated network.
        servers: The endpoints, by ID.
        rules: The checker of the gateways' behaviour.
        limits: The limits of the rules.
        recorder: The counters and latencies of the run.
        gateway_factory: Creates the decision module of a gateway from its settings and a seed.
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
        number: Its index in the fleet.
        zone: The zone in which it runs.
        load_balancer: The load balancer, with the clients behind it.
        on_collapse: Called with an endpoint that collapsed under overload while it warmed up.
        incarnation: The number of starts and kills of its process, which tells its processes apart.
        up: Whether its process runs.
        paused: Whether its process is stopped, as by SIGSTOP.
        is_ready: Whether it reports itself ready to the load balancer.
        decisions: Its decision module.
        pending: The requests without a final answer, by ID.
        idle: The idle connections by endpoint: the time since which each is idle, and the endpoint's incarnation.
        known_endpoints: The endpoint list as it last received it.
        leaving_since: When it was first notified that an endpoint drains or is removed, by endpoint.
        endpoint_starts: The latest start that it was notified of, by endpoint.
        events: The events that wait for the decision module.
        deferred_calls: The calls that wait until the paused process resumes.
        is_handling: Whether the decision module handles an event.
        open_attempts: The attempts without an outcome, by endpoint.
    """

    def __init__(self, environment: GatewayEnvironment, number: int) -> None:
        self.kernel = environment.kernel
        self.fleet = environment.fleet
        self.network = environment.network
        self.servers = environment.servers
        self.rules = environment.rules
        self.limits = environment.limits
        self.recorder = environment.recorder
        self.gateway_factory = environment.gateway_factory
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

    # Process lifecycle

    def start(self, settings: Settings, seed: int) -> None:
        """Start a new process, with a new decision module and the endpoint list of the previous process."""
        self.incarnation += 1
        self.up = True
        self.paused = False
        self.is_ready = True
        self.decisions = self.gateway_factory(settings, seed)
        self.handle_event(EndpointsChanged(EndpointListKind.RESTORED, tuple(self.known_endpoints.values())))
        self.kernel.after(IDLE_SWEEP_INTERVAL_S, self._sweep_idle, self.incarnation)

    def kill(self) -> None:
        """End the process at once: close its connections to servers, and reset those of clients."""
        self.incarnation += 1
        self.up = False
        self.decisions = None
        self.is_handling = False
        self.events.clear()
        self.deferred_calls.clear()
        for name, connections in self.idle.items():
            server = self.servers[name]
            self._remove_connections(server, sum(incarnation == server.incarnation for _, incarnation in connections))
        self.idle.clear()
        for attempts in self.open_attempts.values():
            for attempt in attempts:
                attempt.is_ended = True
                attempt.is_abandoned = True
                if attempt.is_written and attempt.server_incarnation == attempt.server.incarnation:
                    self._remove_connections(attempt.server, 1)
        self.open_attempts.clear()
        requests = self.pending
        self.pending = {}
        for request in requests.values():
            request.record.is_closed = True
            if not request.answered:
                request.answered = True
                request.record.is_exempt = True
                self.load_balancer.connection_lost(request)

    def pause(self) -> None:
        """Stop the process as SIGSTOP does, and exempt its pending requests from their deadlines."""
        self.paused = True
        for request in self.pending.values():
            request.record.is_exempt = True

    def resume(self) -> None:
        """Continue the process as SIGCONT does, and make the calls that were deferred meanwhile."""
        self.paused = False
        calls = self.deferred_calls
        self.deferred_calls = []
        for call, args in calls:
            call(*args)

    def _defer_if_paused(self, call: Callable[..., None], *args: object) -> bool:
        """Defer the call if the process is paused, and report whether it was deferred."""
        if self.paused:
            self.deferred_calls.append((call, args))
        return self.paused

    # Messages from discovery and clients

    def endpoints_changed(self, event: EndpointsChanged) -> None:
        """Apply a message of discovery."""
        if not self.up or self._defer_if_paused(self.endpoints_changed, event):
            return
        now = self.kernel.now
        listed_ids = {entry.id for entry in event.endpoints}
        if event.kind is EndpointListKind.REPLACE:
            for name in [name for name in self.known_endpoints if name not in listed_ids]:
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

    def submit(self, request: PendingRequest, event: RequestReceived) -> None:
        """Receive a complete request from a client."""
        if self._defer_if_paused(self.submit, request, event):
            request.record.is_exempt = True
            return
        if not self.up or request.is_disconnected:
            return
        self.pending[request.record.id] = request
        self.kernel.at(request.record.deadline + self.limits.answer_slack_s, self._check_deadline, request)
        self.handle_event(event)

    def client_disconnected(self, request: PendingRequest) -> None:
        """Cancel the request after its client disconnected."""
        request.is_disconnected = True
        if self._defer_if_paused(self.client_disconnected, request) or not self.up or request.answered:
            return
        request.answered = True
        request.record.is_exempt = True
        request.record.is_closed = True
        self.handle_event(ClientDisconnected(request.record.id))
        self.pending.pop(request.record.id, None)

    def health_counts(self) -> dict[str, int]:
        """Return the number of servers in each health state; empty for a module that does not report it."""
        health: dict[str, int] = getattr(self.decisions, "health", dict)()
        return {key: count for key, count in health.items() if key.startswith("health.")}

    def _check_deadline(self, request: PendingRequest) -> None:
        if self.up:
            self.rules.check_deadline(self.kernel.now, request.record)

    # Decision module

    def handle_event(self, event: Event) -> None:
        """Pass an event to the decision module, after the events that are still queued."""
        self.events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        while self.events and self.decisions is not None:
            for action in list(self.decisions.handle(self.kernel.now, self.events.popleft())):
                self._execute(action)
        self.is_handling = False

    def _timer_fired(self, incarnation: int, token: int) -> None:
        if incarnation == self.incarnation and not self._defer_if_paused(self._timer_fired, incarnation, token):
            self.handle_event(TimerFired(token))

    def _execute(self, action: Action) -> None:
        now = self.kernel.now
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest(request_id=request_id) | FailRequest(request_id=request_id):
                request = self.pending.pop(request_id, None)
                if request is not None:
                    request.record.is_closed = True
                    self._answer_client(request, action)
            case SetTimer(delay=delay, token=token):
                self.kernel.after(max(0.0, delay), self._timer_fired, self.incarnation, token)
            case CancelAttempt(request_id=request_id, attempt=number):
                request = self.pending.get(request_id)
                attempt = (
                    request.open_attempts.get(number) if request is not None else self._find_attempt(request_id, number)
                )
                if attempt is not None:
                    self._abandon_attempt(attempt, Outcome.CANCELLED)
            case StartHealthCheck(endpoint_id=name, timeout=timeout):
                self._start_health_check(self.servers[name], timeout)
            case CloseIdleConnections(endpoint_id=name):
                self._close_idle(name)
            case SetReadiness(ready=ready):
                self.is_ready = ready
            case _:
                self.recorder.count(now, f"action.{ACTION_COUNTER_NAMES.get(type(action), type(action).__name__)}")

    def _find_attempt(self, request_id: str, number: int) -> Attempt | None:
        return next(
            (
                attempt
                for attempts in self.open_attempts.values()
                for attempt in attempts
                if attempt.request.record.id == request_id and attempt.number == number
            ),
            None,
        )

    def _answer_client(self, request: PendingRequest, action: RejectRequest | FailRequest) -> None:
        if request.answered:
            return
        request.answered = True
        reason = getattr(action, "reason", "") or ("attempt" if request.attempt_count else "unknown")
        if isinstance(action, RejectRequest):
            self.rules.check_rejection(self.kernel.now, request.record)
            self.rules.check_answer(self.kernel.now, request.record, "refused")
            self.load_balancer.request_rejected(request, action.retry_after, reason)
        else:
            self.rules.check_answer(self.kernel.now, request.record, "failed")
            self.load_balancer.request_failed(request, reason)

    # Attempts

    def _start_attempt(self, action: StartAttempt) -> None:
        now = self.kernel.now
        request = self.pending.get(action.request_id)
        if request is None:
            self.rules.report_violation(
                "nothing after the end",
                now,
                f"request {action.request_id} is not pending, and an attempt was sent to {action.endpoint_id}",
            )
            self.events.append(
                AttemptEnded(action.request_id, 0, action.endpoint_id, Outcome.NOT_SENT, request_finished=True)
            )
            return
        number = request.attempt_count
        request.attempt_count += 1
        server = self.servers[action.endpoint_id]
        if request.answered or number >= self.fleet.max_attempts:
            self.events.append(
                AttemptEnded(
                    action.request_id, number, action.endpoint_id, Outcome.NOT_SENT, request_finished=request.answered
                )
            )
            return
        self.rules.check_attempt(now, request.record, server.id, server.zone, server.cell)
        self.rules.check_draining(now, self.number, server.id, self.leaving_since.get(server.id))
        self.recorder.count(now, "attempts")
        timeout = min(action.timeout or request.record.deadline - now, request.record.deadline - now)
        attempt = Attempt(self, request, number, server, now, now + max(timeout, 0.0))
        request.open_attempts[number] = attempt
        self.open_attempts.setdefault(server.id, {})[attempt] = None
        self.kernel.at(attempt.expires_at, self._attempt_timed_out, attempt)
        idle_connections = self.idle.get(server.id, [])
        while idle_connections:
            _, incarnation = idle_connections.pop()
            # Connections to a machine that vanished stay open and never answer.
            if incarnation == server.incarnation or not server.is_reachable:
                self._write_request(attempt)
                return
        self._connect(attempt)

    def _connect(self, attempt: Attempt) -> None:
        server = attempt.server
        connect_timeout_s = self.fleet.connect_timeout_ms / 1000
        if not server.is_reachable or not self.network.is_reachable(self.zone, server.zone):
            self.kernel.after(connect_timeout_s, self._outcome, attempt, Outcome.CONNECT_FAILED)
            return
        round_trip_s = 2 * self.network.delay(self.zone, server.zone)
        self.recorder.count(self.kernel.now, "handshakes")
        if not server.accepts():
            self.kernel.after(round_trip_s, self._outcome, attempt, Outcome.CONNECT_FAILED)
            return
        server.connections += 1
        handshake_s = server.add_handshake() + self.fleet.handshake_rtts * round_trip_s
        if handshake_s > connect_timeout_s:
            self._remove_connections(server, 1)
            self.kernel.after(connect_timeout_s, self._outcome, attempt, Outcome.CONNECT_FAILED)
        else:
            self.kernel.after(handshake_s, self._connected, attempt)

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
        """Deliver the complete attempt to its server, unless the server or the network is down."""
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
        is_informed = self.endpoint_starts.get(server.id, 0.0) >= server.started_at
        if self.rules.add_work(now, server.id, attempt.work, is_informed, server.capacity(), server.is_warming_up()):
            self.recorder.count(now, "servers that fell over")
            self.on_collapse(server)
            return
        server.receive(attempt)

    def deliver_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Send the outcome of an attempt back to the gateway, unless the network loses it."""
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
        request = attempt.request
        server = attempt.server
        self._close_attempt(attempt)
        has_response = outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)
        if attempt.is_written and attempt.server_incarnation == server.incarnation:
            if has_response:
                self.idle.setdefault(server.id, []).append((now, attempt.server_incarnation))
            else:
                self._remove_connections(server, 1)
        self.rules.end_attempt(request.record, attempt.number, outcome)
        self.recorder.count(now, f"outcome.{outcome.value}")
        if outcome is Outcome.OK:
            self.recorder.add_latency(
                now, "cold server" if server.is_warming_up() else "warm server", now - attempt.started_at
            )
            if not request.answered:
                request.answered = True
                self.rules.check_answer(now, request.record, "served")
                self.load_balancer.request_served(request)
        self._notify_attempt_ended(attempt, outcome)

    def _notify_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        request = attempt.request
        self.handle_event(
            AttemptEnded(
                request.record.id,
                attempt.number,
                attempt.server.id,
                outcome,
                self.kernel.now - attempt.started_at,
                request.answered,
            )
        )
        if request.answered:
            request.record.is_closed = True
            self.pending.pop(request.record.id, None)

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
            self._remove_connections(attempt.server, 1)  # An abandoned attempt closes its connection.
        self.rules.end_attempt(attempt.request.record, attempt.number, outcome)
        self.recorder.count(self.kernel.now, f"outcome.{outcome.value}")
        self._notify_attempt_ended(attempt, outcome)

    def _close_attempt(self, attempt: Attempt) -> None:
        attempt.is_ended = True
        attempt.request.open_attempts.pop(attempt.number, None)
        self.open_attempts.get(attempt.server.id, {}).pop(attempt, None)

    # Connections

    def server_lost(self, name: str) -> None:
        """Reset all connections to a server whose process has ended and whose machine still answers."""
        self._close_idle(name)
        for attempt in list(self.open_attempts.get(name, ())):
            if attempt.is_written:
                self._outcome(attempt, Outcome.RESET)

    def _close_idle(self, name: str) -> None:
        server = self.servers[name]
        connections = self.idle.pop(name, ())
        self._remove_connections(server, sum(incarnation == server.incarnation for _, incarnation in connections))

    @staticmethod
    def _remove_connections(server: ServerModel, count: int) -> None:
        server.connections = max(0, server.connections - count)

    def _sweep_idle(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.kernel.after(IDLE_SWEEP_INTERVAL_S, self._sweep_idle, incarnation)
        oldest_idle_since = self.kernel.now - IDLE_TIMEOUT_RATIO * self.fleet.idle_s
        for name, connections in self.idle.items():
            server = self.servers[name]
            retained = [connection for connection in connections if connection[0] >= oldest_idle_since]
            expired = connections[: len(connections) - len(retained)]
            self._remove_connections(
                server, sum(server_incarnation == server.incarnation for _, server_incarnation in expired)
            )
            connections[:] = retained

    def _start_health_check(self, server: ServerModel, timeout: float) -> None:
        self.recorder.count(self.kernel.now, "probes")
        is_silent = server.defect is not None and server.defect.mode == "silent"
        if not server.is_reachable or is_silent or not self.network.is_reachable(self.zone, server.zone):
            self.kernel.after(timeout, self._health_check_ended, self.incarnation, server.id, Outcome.TIMEOUT, timeout)
            return
        round_trip_s = 2 * self.network.delay(self.zone, server.zone)
        is_healthy = server.accepts() and not server.is_draining
        if is_healthy:
            server.handshake_work += HEALTH_CHECK_WORK_S
        outcome = Outcome.OK if is_healthy else Outcome.CONNECT_FAILED
        self.kernel.after(round_trip_s, self._health_check_ended, self.incarnation, server.id, outcome, round_trip_s)

    def _health_check_ended(self, incarnation: int, name: str, outcome: Outcome, duration: float) -> None:
        if incarnation != self.incarnation:
            return
        if not self._defer_if_paused(self._health_check_ended, incarnation, name, outcome, duration):
            self.handle_event(HealthCheckEnded(name, outcome, duration))
