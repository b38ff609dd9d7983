"""Requests of simulated clients and their attempts, and the interfaces through which gateways handle them."""

from __future__ import annotations

from typing import Protocol

from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import RequestReceived
from ingress.emulator.rules import RequestRecord
from ingress.emulator.servers import ServerModel


class LoadBalancer(Protocol):
    """The side of the clients, which is notified of the results of their requests."""

    def request_served(self, request: PendingRequest) -> None:
        """Account for a request that was served."""

    def request_rejected(self, request: PendingRequest, retry_after: float, reason: str) -> None:
        """Account for a rejected request, whose client may retry after `retry_after` s."""

    def request_failed(self, request: PendingRequest, reason: str) -> None:
        """Account for a failed request."""

    def connection_lost(self, request: PendingRequest) -> None:
        """Account for a request whose connection ended without an answer."""

    def attempt_arrived(self, request: PendingRequest) -> None:
        """Account for a request whose first attempt has reached an endpoint."""


class RequestTarget(Protocol):
    """A gateway as the load balancer and the clients see it.

    Attributes:
        incarnation: A number that changes with each start and kill of its process, and tells its processes apart.
        up: Whether its process runs.
    """

    incarnation: int
    up: bool

    def submit(self, request: PendingRequest, event: RequestReceived) -> None:
        """Receive a request."""

    def client_disconnected(self, request: PendingRequest) -> None:
        """Handle the disconnection of the client that waits for the request."""


class AttemptSender(Protocol):
    """The gateway of an attempt, as the server sees it.

    Attributes:
        incarnation: A number that changes with each start and kill of its process, and tells its processes apart.
    """

    incarnation: int

    def deliver_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Receive the outcome of the attempt over the simulated network."""


class PendingRequest:
    """One submission of a request to a gateway, until it is answered.

    Attributes:
        gateway: The gateway that received it.
        record: The request as the rule checker sees it.
        work: The work of an attempt, in seconds on a core of nominal speed.
        intent: The `RequestIntent` of the client, if a `ClientPopulation` submitted it.
        answered: Whether it has a final answer, or no answer is expected any more.
        is_disconnected: Whether its client has disconnected.
        attempt_count: The number of attempts that the decision module has started.
        open_attempts: The attempts without an outcome, by number.
    """

    __slots__ = ("answered", "attempt_count", "gateway", "intent", "is_disconnected", "open_attempts", "record", "work")

    def __init__(self, gateway: RequestTarget, record: RequestRecord, work: float, intent: object) -> None:
        self.gateway = gateway
        self.record = record
        self.work = work
        self.intent = intent
        self.answered = False
        self.is_disconnected = False
        self.attempt_count = 0
        self.open_attempts: dict[int, Attempt] = {}


class Attempt:
    """One attempt of a request, shared by its gateway and its server.

    Attributes:
        host: The gateway that sends it.
        request: The request that it belongs to.
        number: Its index among the attempts of the request.
        server: The server that it goes to.
        started_at: When the gateway started it (s).
        expires_at: When the gateway abandons it (s).
        gateway_incarnation: The incarnation of the gateway that sent it.
        server_incarnation: The incarnation of the server that it was sent to.
        work: Its work, in seconds on a core of nominal speed.
        is_abandoned: Whether the gateway no longer waits for its outcome.
        is_ended: Whether its outcome is decided.
        is_written: Whether it was written to a connection.
    """

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
        self,
        host: AttemptSender,
        request: PendingRequest,
        number: int,
        server: ServerModel,
        started_at: float,
        expires_at: float,
    ) -> None:
        self.host = host
        self.request = request
        self.number = number
        self.server = server
        self.started_at = started_at
        self.expires_at = expires_at
        self.gateway_incarnation = host.incarnation
        self.server_incarnation = server.incarnation
        self.work = request.work
        self.is_abandoned = False
        self.is_ended = False
        self.is_written = False

    def complete(self, outcome: Outcome) -> None:
        """Send the outcome from the server to the gateway over the simulated network."""
        self.host.deliver_outcome(self, outcome)
