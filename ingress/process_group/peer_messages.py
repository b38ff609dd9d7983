"""The messages that the processes of one ingress exchange after a handover.

Each is a JSON object. Processes of other builds read them, so the keys never change.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol, TypeAlias

from msgspec import Struct
from msgspec.structs import astuple

from ingress.decisions.handover_state import QuotaUsage
from ingress.process_group.member_record import MemberRecord, read_member_record
from ingress.process_group.usage_ledger import UsageTotals, read_usage_totals

MAX_REQUEST_KEY_CHARACTERS = 64


class Message(Protocol):
    """A message that can be sent over a link."""

    def to_message(self) -> Mapping[str, Any]:
        """Return the message as a JSON object."""


class ServingMessage(Struct, frozen=True):
    """Notifies the predecessor that the sender serves in its place."""

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object."""
        return {"serving": True}


class UsageMessage(Struct, frozen=True):
    """Reports usage by the sender, or by another process whose usage it forwards.

    Attributes:
        usage: The latest increment; only builds without a usage ledger read it.
        totals: The totals of the process that spent the quota.
    """

    usage: QuotaUsage
    totals: UsageTotals

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object."""
        return {"spent": astuple(self.usage), "total": self.totals.to_message()}


class UsageTotalsMessage(Struct, frozen=True):
    """Reports totals alone: as read from any usage message, or as sent over a new link with an empty increment.

    Attributes:
        totals: The totals of the process that spent the quota.
    """

    totals: UsageTotals

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object, whose increment is empty."""
        totals = self.totals
        empty_increment = [totals.customer, totals.plan, totals.gateway_count, 0.0, False, 0, "", 0.0]
        return {"spent": empty_increment, "total": totals.to_message()}


class UsageIncrementMessage(Struct, frozen=True):
    """Reports usage by a process of a build without a usage ledger; this build receives it but never sends it.

    Attributes:
        usage: The increment.
    """

    usage: QuotaUsage


class SentIdsMessage(Struct, frozen=True):
    """Reports requests that may not be repeated and that the sender or another process has sent.

    Attributes:
        request_keys: The ids of the requests, as in `RequestIdSent`.
    """

    request_keys: tuple[str, ...]

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object."""
        return {"sent": list(self.request_keys)}


class DrainMessage(Struct, frozen=True):
    """Reports that an operator has drained the ingress or ended the drain.

    Attributes:
        enabled: True if the ingress is drained.
        requested_at: The time of the operator's request, in seconds of the machine's monotonic clock; None from a build
            that does not send it.
    """

    enabled: bool
    requested_at: float | None = None

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object."""
        return {"drain": self.enabled, "at": self.requested_at}


class ChangeMessage(Struct, frozen=True):
    """Carries a message of the agreement on a configuration change.

    Attributes:
        step: The encoded message; see `agreement_messages`.
    """

    step: Mapping[str, Any]

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object."""
        return {"change": self.step}


class MemberMessage(Struct, frozen=True):
    """Carries the member record of a process.

    Attributes:
        fields: The encoded record, with fields that this build does not know, so that they are forwarded unchanged.
        is_own_record: True if the record describes the sender itself; False if the sender forwards it.
    """

    fields: Mapping[str, Any]
    is_own_record: bool

    def record(self) -> MemberRecord:
        """Decode the record.

        Raises:
            KeyError: A field is missing; see `read_member_record`.
            TypeError: A field is missing or has the wrong type.
            ValueError: A field has an invalid value.
        """
        return read_member_record(self.fields)

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object."""
        return {"row": self.fields, "own": self.is_own_record}


class ResourcesMessage(Struct, frozen=True):
    """Reports the resources that the sender has in use, for a build without membership.

    Attributes:
        in_use: The numbers of client connections, of connections to endpoints, and of bytes.
    """

    in_use: tuple[int, ...]

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object."""
        return {"held": list(self.in_use)}


PeerMessage: TypeAlias = (
    ServingMessage
    | UsageTotalsMessage
    | UsageIncrementMessage
    | SentIdsMessage
    | DrainMessage
    | ChangeMessage
    | MemberMessage
    | ResourcesMessage
)


def read_peer_message(message: Any) -> PeerMessage | None:
    """Decode a message from another process.

    Returns:
        The message; None if this build does not know its kind.

    Raises:
        TypeError: A value has the wrong type.
        ValueError: A value is out of range, or a list has the wrong length.
    """
    found: PeerMessage | None = None
    match message:
        case {"serving": _}:
            found = ServingMessage()
        case {"spent": _, "total": totals}:
            found = UsageTotalsMessage(read_usage_totals(totals))
        case {"spent": increment}:
            found = UsageIncrementMessage(QuotaUsage(*increment))
        case {"sent": request_keys}:
            found = SentIdsMessage(tuple(str(key)[:MAX_REQUEST_KEY_CHARACTERS] for key in request_keys))
        case {"drain": enabled, "at": requested_at}:
            found = DrainMessage(bool(enabled), float(requested_at))
        case {"drain": enabled}:
            found = DrainMessage(bool(enabled))
        case {"change": step}:
            found = ChangeMessage(step)
        case {"row": fields, "own": is_own_record}:
            found = MemberMessage(fields, bool(is_own_record))
        case {"held": in_use}:
            found = ResourcesMessage(tuple(in_use))
    return found
