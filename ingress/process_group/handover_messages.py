"""The handover message, which transfers the complete state of a process to its successor.

Checkpoints contain some of its parts too. Processes of other builds read both, so the keys and the order of the fields
never change within a format version.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, TypeAlias

from msgspec import Struct
from msgspec.structs import astuple

from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.handover_state import CustomerState, EndpointHealthState, EndpointState, HandoverState
from ingress.discovery.client import EndpointList
from ingress.process_group.member_record import MemberRecord, read_member_record
from ingress.process_group.usage_ledger import UsageTotals, read_usage_totals

FORMAT_VERSION = 2
PREVIOUS_FORMAT_VERSION = 1  # also accepted; its endpoint health is not comparable and is ignored

Document: TypeAlias = Mapping[str, Any]


class HandoverMessage(Struct, frozen=True):
    """The first message to a process that takes over.

    Attributes:
        endpoint_list: The endpoints and their addresses.
        state: The state of the decision module.
        documents: The configurations that can be reverted to, the current one last.
        member: The member record of the process that hands over; None from a build without membership.
        usage_totals: The usage that the buckets in `state` already include.
    """

    endpoint_list: EndpointList
    state: HandoverState
    documents: tuple[Document, ...] = ()
    member: MemberRecord | None = None
    usage_totals: tuple[UsageTotals, ...] = ()

    def to_message(self) -> dict[str, Any]:
        """Return the message as a JSON object, in the order of keys that other builds know."""
        return {
            "ledger": [totals.to_message() for totals in self.usage_totals],
            "row": self.member.to_message() if self.member is not None else None,
            "form": FORMAT_VERSION,
            "documents": list(self.documents),
            **write_endpoint_list(self.endpoint_list),
            "estate": write_handover_state(self.state),
        }


def read_handover_message(message: Mapping[str, Any]) -> HandoverMessage:
    """Decode the first message from the predecessor.

    Raises:
        KeyError: A key is missing.
        TypeError: A value has the wrong type.
        ValueError: A value is out of range, or the format version is not supported.
    """
    format_version = message["form"]
    if format_version not in (FORMAT_VERSION, PREVIOUS_FORMAT_VERSION):
        raise ValueError(
            f"unsupported format version {format_version!r} of the handover message;"
            f" expected {PREVIOUS_FORMAT_VERSION} or {FORMAT_VERSION}"
        )
    member = message.get("row")
    return HandoverMessage(
        endpoint_list=read_endpoint_list(message),
        state=read_handover_state(message["estate"], format_version),
        documents=tuple(message.get("documents", ())),
        member=read_member_record(member) if member else None,
        usage_totals=tuple(read_usage_totals(totals) for totals in message.get("ledger", ())),
    )


def read_endpoint(message: Mapping[str, Any]) -> Endpoint:
    """Decode one endpoint of a handover message or a checkpoint."""
    fields = dict(message)
    readiness = Readiness(fields.pop("readiness"))
    started_at = fields.pop("started", 0.0)
    return Endpoint(**fields, readiness=readiness, started_at=started_at)


def write_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    """Encode an endpoint as `read_endpoint` reads it."""
    return {
        "id": endpoint.id,
        "zone": endpoint.zone,
        "kind": endpoint.kind,
        "cell": endpoint.cell,
        "readiness": endpoint.readiness.value,
        "weight": endpoint.weight,
        "started": endpoint.started_at,
    }


def read_endpoint_list(message: Mapping[str, Any]) -> EndpointList:
    """Decode the endpoint list of a handover message or a checkpoint."""
    return EndpointList(
        int(message["version"]),
        True,
        tuple(read_endpoint(endpoint) for endpoint in message["backends"]),
        {name: (host, port) for name, (host, port) in message["addresses"].items()},
    )


def write_endpoint_list(endpoint_list: EndpointList) -> dict[str, Any]:
    """Encode an endpoint list as `read_endpoint_list` reads it, without endpoints that have no address."""
    return {
        "version": endpoint_list.version,
        "addresses": endpoint_list.addresses,
        "backends": [
            write_endpoint(endpoint) for endpoint in endpoint_list.endpoints if endpoint.id in endpoint_list.addresses
        ],
    }


def read_endpoint_state(fields: Sequence[Any], format_version: int) -> EndpointState:
    """Decode the state of an endpoint, whose order of fields depends on the format version."""
    if format_version == PREVIOUS_FORMAT_VERSION:
        name, limit, was_reduced, latency_ratio, relative_latency, *_old_health, slow_start_level = fields
        return EndpointState(name, limit, was_reduced, latency_ratio, relative_latency, slow_start_level)
    name, limit, was_reduced, latency_ratio, relative_latency, slow_start_level, health = fields
    health_state = None if health is None else EndpointHealthState(*health)
    return EndpointState(name, limit, was_reduced, latency_ratio, relative_latency, slow_start_level, health_state)


def write_endpoint_state(state: EndpointState) -> tuple[Any, ...]:
    """Encode the state of an endpoint as `read_endpoint_state` reads it."""
    *fields, _health = astuple(state)
    return (*fields, None if state.health is None else astuple(state.health))


def read_handover_state(message: Mapping[str, Any], format_version: int = FORMAT_VERSION) -> HandoverState:
    """Decode the state of the decision module."""
    return HandoverState(
        started_at=float(message["born"]),
        draining=bool(message["draining"]),
        typical_throughput=float(message["typical"]),
        recent_work_rate=float(message["done"]),
        mean_latencies=message["means"],
        customers=tuple(CustomerState(*fields) for fields in message["customers"]),
        endpoints=tuple(read_endpoint_state(fields, format_version) for fields in message["backends"]),
        unseen_ceiling_levels={str(name): float(level) for name, level in message.get("fresh", {}).items()},
        usage_known_since=message.get("since"),
    )


def write_handover_state(state: HandoverState) -> dict[str, Any]:
    """Encode the state of the decision module as `read_handover_state` reads it."""
    return {
        "born": state.started_at,
        "draining": state.draining,
        "typical": state.typical_throughput,
        "done": state.recent_work_rate,
        "means": state.mean_latencies,
        "customers": [astuple(customer) for customer in state.customers],
        "backends": [write_endpoint_state(endpoint) for endpoint in state.endpoints],
        "fresh": state.unseen_ceiling_levels,
        "since": state.usage_known_since,
    }
