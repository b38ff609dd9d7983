"""Actions: what a gateway can do.  Times are in seconds; `request_id` identifies a request within its gateway."""

from __future__ import annotations

from typing import TypeAlias

from msgspec import Struct

from ingress.decisions.handover_state import QuotaUsage


class StartAttempt(Struct, frozen=True):
    """Forward the request to an endpoint.

    Attributes:
        request_id: The id of the request.
        endpoint_id: The id of the endpoint.
        timeout: The seconds to wait for the answer.
        start_within: The seconds within which the attempt must be written, or it is not sent; 0 for no such limit.
    """

    request_id: str
    endpoint_id: str
    timeout: float = 0.0
    start_within: float = 0.0


class ShareSentId(Struct, frozen=True):
    """Notify the other processes of this gateway that a request which may not be repeated is sent now."""

    request_key: str


class CancelAttempt(Struct, frozen=True):
    """Cancel one attempt of a request."""

    request_id: str
    attempt: int


class RejectRequest(Struct, frozen=True):
    """Send the final answer that promises the client that a retry in `retry_after` seconds is safe."""

    request_id: str
    retry_after: float = 0.0
    reason: str = ""


class FailRequest(Struct, frozen=True):
    """Send the final answer that leaves open whether the request had an effect."""

    request_id: str
    reason: str = ""


class SetTimer(Struct, frozen=True):
    """Deliver `TimerFired` with this token after `delay` seconds."""

    delay: float
    token: int


class StartHealthCheck(Struct, frozen=True):
    """Check the health of an endpoint, waiting `timeout` seconds for its answer."""

    endpoint_id: str
    timeout: float = 0.0


class CloseIdleConnections(Struct, frozen=True):
    """Close the idle connections to an endpoint."""

    endpoint_id: str


class SendPeerMessage(Struct, frozen=True):
    """Send a message of at most 256 bytes to one other gateway, or to all if `peer` is None."""

    text: str
    peer: int | None = None


class AddToCounter(Struct, frozen=True):
    """Add to a counter of the counter service; a new counter expires after `lifetime` seconds."""

    name: int
    add: float
    lifetime: float


class WatchEndpoints(Struct, frozen=True):
    """Subscribe to the endpoint list, or end the subscription if `on` is false."""

    on: bool = True


class FetchEndpoints(Struct, frozen=True):
    """Fetch the endpoint list once."""


class SetReadiness(Struct, frozen=True):
    """Set the answer to readiness checks of load balancers: whether this gateway accepts new requests."""

    ready: bool


class CloseIdleClients(Struct, frozen=True):
    """Set whether client connections are closed as soon as they are idle."""

    enabled: bool


class ShareUsage(Struct, frozen=True):
    """Report usage to the other processes of this gateway."""

    usage: QuotaUsage


class LogMessage(Struct, frozen=True):
    """Write one line to the log."""

    text: str


Action: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | AddToCounter
    | WatchEndpoints
    | FetchEndpoints
    | SetReadiness
    | CloseIdleClients
    | ShareUsage
    | ShareSentId
    | LogMessage
)
