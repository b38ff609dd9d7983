"""Encodes the actions and states of a gateway as text for digests, independently of the names of types and fields.

Log lines, and the reasons that are only meant for operators, are omitted.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from ingress.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleClients,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetReadiness,
    SetTimer,
    ShareUsage,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from ingress.decisions.events import Event
from ingress.decisions.gateway import Gateway
from ingress.decisions.handover_state import (
    CustomerState,
    EndpointHealthState,
    EndpointState,
    HandoverState,
    QuotaUsage,
)
from ingress.decisions.settings import Settings

# The tag for each type, and its encoded fields in order.
FIELDS: dict[type, tuple[str, str]] = {
    StartAttempt: ("send", "request_id endpoint_id timeout start_within"),
    CancelAttempt: ("cancel", "request_id attempt"),
    RejectRequest: ("refuse", "request_id retry_after"),
    FailRequest: ("fail", "request_id"),
    SetTimer: ("timer", "delay token"),
    StartHealthCheck: ("probe", "endpoint_id timeout"),
    CloseIdleConnections: ("close-idle", "endpoint_id"),
    WatchEndpoints: ("subscribe", "on"),
    SetReadiness: ("welcome", "ready"),
    CloseIdleClients: ("let-go", "enabled"),
    ShareUsage: ("tell-siblings", "usage"),
    QuotaUsage: ("spent", "customer plan gateway_count units within_quota attempts_delta endpoint_id slow_start_work"),
    HandoverState: (
        "handover",
        "started_at draining typical_throughput recent_work_rate mean_latencies customers endpoints "
        "unseen_ceiling_levels usage_known_since",
    ),
    CustomerState: (
        "customer",
        "customer plan gateway_count slice_level ceiling_level open_attempts slice_deficit ceiling_deficit",
    ),
    EndpointState: (
        "backend",
        "id concurrency_limit limit_was_reduced latency_ratio relative_latency slow_start_level health",
    ),
    EndpointHealthState: (
        "health",
        "started_at failure_weight success_weight recent_failure_rate last_outcome_at state ejected_until "
        "paused_until relapses ejection_duration healthy_since probation_successes consecutive_rejections",
    ),
}


def encode(value: object) -> str:
    """Return a value as text: numbers as floats with all their digits, mappings in the order of their keys."""
    match value:
        case int() | float():
            return repr(float(value))
        case str() | None:
            return str(value or "-")
        case tuple():
            return "[" + " ".join(map(encode, value)) + "]"
        case Mapping():
            return "{" + " ".join(f"{key}={encode(value[key])}" for key in sorted(value)) + "}"
    tag, fields = FIELDS[type(value)]
    return f"({tag} " + " ".join(encode(getattr(value, field)) for field in fields.split()) + ")"


class RecordedGateway(Gateway):
    """A gateway that appends every action to `lines`, a list that several gateways may share."""

    def __init__(self, settings: Settings, seed: int, lines: list[str]) -> None:
        super().__init__(settings, seed)
        self.number = settings.gateway_index
        self.lines = lines

    def handle(self, now: float, event: Event) -> list[Action]:
        actions = super().handle(now, event)
        recorded = (action for action in actions if not isinstance(action, LogMessage))
        self.lines.extend(f"{now!r} {self.number} {encode(action)}" for action in recorded)
        return actions

    def finish(self, now: float) -> None:
        self.lines.append(f"{encode(self.handover_state(now))} {encode(self.health())}")


def digest(lines: list[str]) -> str:
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()
