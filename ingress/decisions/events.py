"""Events: what a gateway reacts to.  Times are in seconds; `request_id` identifies a request within its gateway."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeAlias

from msgspec import Struct, field

from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.decisions.handover_state import HandoverState, QuotaUsage
from ingress.decisions.settings import Settings


class EndpointListKind(Enum):
    """The kind of a message about the endpoint list; the values are those of the simulator."""

    UPDATE = "update"
    REPLACE = "replace"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class EndpointsChanged(Struct, frozen=True):
    """The endpoint list has changed, as changed entries or as a complete list, or discovery can't be reached."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


class RequestReceived(Struct, frozen=True):
    """A client has sent a request.

    Attributes:
        request_id: The unique id of the request.
        request_class: The name of its class.
        plan: The name of its customer's plan.
        customer: The id of the customer.
        time_left: The seconds that the client waits for the answer, including `time_waited`.
        units: The units that it takes from the quota.
        gateway_count: The number of gateways that the customer may use, which share its quota evenly.
        first_gateway: The index of the first of these gateways.
        is_retry: Whether the client marks it as a retry.
        is_write: Whether it changes data.
        memory_available: Whether this process has memory for one more request.
        is_chunked: Whether it has a long body that has yet to arrive, and is forwarded chunk by chunk.
        time_waited: The seconds that had passed before this process could execute the request.
        request_key: The customer's own id of the request in a short form; empty if the same request can't come again.
    """

    request_id: str
    request_class: str
    plan: str
    customer: str
    time_left: float
    units: float = 1.0
    gateway_count: int = 1
    first_gateway: int = 0
    is_retry: bool = False
    is_write: bool = False
    memory_available: bool = True
    is_chunked: bool = False
    time_waited: float = 0.0
    request_key: str = ""


class UploadStarted(Struct, frozen=True):
    """A chunk of the request's body was sent to an endpoint, so that no other endpoint can get the body any more."""

    request_id: str


class UploadFinished(Struct, frozen=True):
    """The request's body is complete; the client waits `time_left` seconds from now."""

    request_id: str
    time_left: float


class ResponseStarted(Struct, frozen=True):
    """The first chunk of a response was received, `latency` seconds after its attempt was sent."""

    request_id: str
    attempt: int
    endpoint_id: str
    latency: float = 0.0


class AttemptEnded(Struct, frozen=True):
    """An attempt has ended.

    Attributes:
        request_id: The id of the request.
        attempt: The number of the attempt, from 0.
        endpoint_id: The id of the endpoint that it was sent to.
        outcome: How the attempt ended.
        latency: The seconds since it was sent.
        request_finished: Whether the request has its final answer.
        quota_usage: The customer's metered usage as 1 plus the percentage of its rate; 0 if unknown.
        settled_units: The actual units of the request; 0 if unknown.
        load_report: The load figures that the endpoint reports.
        local_failure: Whether it failed in this process, for example for lack of a file descriptor, which gives no
            information about the endpoint.
    """

    request_id: str
    attempt: int
    endpoint_id: str
    outcome: Outcome
    latency: float = 0.0
    request_finished: bool = False
    quota_usage: int = 0
    settled_units: float = 0.0
    load_report: Mapping[str, float] = field(default_factory=dict)
    local_failure: bool = False


class ClientDisconnected(Struct, frozen=True):
    """The client is no longer waiting for the answer to the request."""

    request_id: str


class TimerFired(Struct, frozen=True):
    """A timer set by `SetTimer` is due."""

    token: int


class DrainRequested(Struct, frozen=True):
    """A drain of this gateway is requested or cancelled.

    Attributes:
        draining: Whether to drain; false cancels the drain that an operator requested.
        process_exits: Whether the process exits afterwards, so that the drain can't be cancelled.
    """

    draining: bool = True
    process_exits: bool = False


class SettingsChanged(Struct, frozen=True):
    """New settings apply from now on.  Requests in flight keep the class, plan and deadline they were received with."""

    settings: Settings


class ProcessGroupChanged(Struct, frozen=True):
    """The group of other processes of this gateway has changed.

    Attributes:
        other_processes: The number of other processes.
        has_successor: Whether one of them accepts the new connections.
        usage_persisted: Whether usage is written to disk for the process that starts after a crash, and so must be
            shared even if there is no other process.
    """

    other_processes: int
    has_successor: bool = False
    usage_persisted: bool = False


class RequestIdSent(Struct, frozen=True):
    """Another process of this gateway has sent a request that may not be repeated."""

    request_key: str


class CustomerLimitChanged(Struct, frozen=True):
    """The number of customers that may be tracked has changed, because of the memory of the process.

    Attributes:
        max_customers: The maximum number of customers.
    """

    max_customers: int


class UsageUnknown(Struct, frozen=True):
    """Usage before the time `usage_known_since`, in seconds by the gateway's clock, is unknown.

    The bucket of a customer without known usage starts with at most the units that have refilled since then.
    """

    usage_known_since: float


class HealthCheckEnded(Struct, frozen=True):
    """A health check has ended, `latency` seconds after it was sent."""

    endpoint_id: str
    outcome: Outcome
    latency: float = 0.0
    load_report: Mapping[str, float] = field(default_factory=dict)


class PeerMessage(Struct, frozen=True):
    """Another gateway has sent a message."""

    sender: int
    text: str


class CounterReply(Struct, frozen=True):
    """The counter service has answered, or failed to, `latency` seconds after the call."""

    name: int
    outcome: Outcome
    total: float = 0.0
    latency: float = 0.0


Event: TypeAlias = (
    EndpointsChanged
    | SettingsChanged
    | RequestReceived
    | UploadStarted
    | UploadFinished
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | DrainRequested
    | ProcessGroupChanged
    | QuotaUsage
    | HandoverState
    | UsageUnknown
    | CustomerLimitChanged
    | RequestIdSent
    | HealthCheckEnded
    | PeerMessage
    | CounterReply
)
