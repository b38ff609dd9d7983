"""An entry of the endpoint list, and the possible outcomes of an attempt at an endpoint."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Readiness(Enum):
    """The readiness of an endpoint in the endpoint list; the values are those of the protocol."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Endpoint(Struct, frozen=True):
    """One entry of the endpoint list.

    Attributes:
        id: The id of the endpoint, which is the same for every gateway.
        zone: The zone in which it runs.
        kind: The type of its machine.
        cell: The group of endpoints that share a store of idempotency keys.
        readiness: Whether it accepts new requests.
        weight: Its capacity relative to that of other endpoints.
        started_at: The Unix time in seconds of its last start; 0 if that is long ago.
    """

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    readiness: Readiness = Readiness.READY
    weight: float = 1.0
    started_at: float = 0.0


class Outcome(Enum):
    """The outcome of an attempt, a health check or a call to the counter service; the values appear in logs."""

    OK = "ok"
    ERROR = "error"
    MALFORMED = "spoilt"  # an answer that can't be parsed: the request may have run
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"

    @property
    def never_ran(self) -> bool:
        """Return whether this outcome proves that the endpoint did not run the request."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def description(self) -> str:
        """Return the text for this outcome in logs, metrics and messages to other processes of this ingress."""
        return OUTCOME_DESCRIPTIONS.get(self, self.value)


OUTCOME_DESCRIPTIONS = {
    Outcome.MALFORMED: "spoilt answer",
    Outcome.REJECTED: "turned away",
    Outcome.TIMEOUT: "timed out",
    Outcome.CONNECT_FAILED: "no connection",
    Outcome.CANCELLED: "overtaken",
}
