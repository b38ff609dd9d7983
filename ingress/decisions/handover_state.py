"""The data that processes of one gateway exchange: usage as it is spent, and the complete state at a handover.

Times are in seconds by the gateway's clock.  The order of the fields is part of the format that is sent and stored:
`ingress.process_group.handover_messages` writes most of these classes by position.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field


class QuotaUsage(Struct, frozen=True):
    """The usage by one process of the budgets that all processes of its gateway share; an event and part of an action.

    Attributes:
        customer: The id of the customer.
        plan: The name of its plan.
        gateway_count: The number of gateways that share its quota.
        units: The units spent; 0 except for a first attempt.
        within_quota: Whether the units came from the quota.
        attempts_delta: The change of the customer's number of attempts in flight.
        endpoint_id: The id of the endpoint that the attempt is sent to.
        slow_start_work: The work, in mean requests, taken from the budget of a warming endpoint; 0 for a warm one.
    """

    customer: str
    plan: str
    gateway_count: int
    units: float = 0.0
    within_quota: bool = False
    attempts_delta: int = 0
    endpoint_id: str = ""
    slow_start_work: float = 0.0


class CustomerState(Struct, frozen=True):
    """The levels of a customer's buckets, in units, and its number of attempts in flight.

    `slice_deficit` and `ceiling_deficit` are the units that were spent and have not refilled, whatever the capacities
    of the buckets are.
    """

    customer: str
    plan: str
    gateway_count: int
    slice_level: float
    ceiling_level: float
    open_attempts: int
    slice_deficit: float = 0.0
    ceiling_deficit: float = 0.0


class EndpointHealthState(Struct, frozen=True):
    """The health of one incarnation of an endpoint; the fields are those of `EndpointHealth`."""

    started_at: float
    failure_weight: float
    success_weight: float
    recent_failure_rate: float
    last_outcome_at: float
    state: str
    reason: str
    ejected_until: float
    paused_until: float
    relapses: int
    ejection_duration: float
    healthy_since: float
    probation_successes: int
    consecutive_rejections: int


class EndpointState(Struct, frozen=True):
    """The load and the health of an endpoint.

    Attributes:
        id: The id of the endpoint.
        concurrency_limit: The number of attempts from this gateway that it may have in flight.
        limit_was_reduced: Whether the limit has been reduced at least once.
        latency_ratio: The mean latency as a share of the latency objective.
        relative_latency: The latency relative to the mean of the request class.
        slow_start_level: The level of its slow start budget, in mean requests.
        health: The health; None if the predecessor's build has it in an incompatible format.
    """

    id: str
    concurrency_limit: float
    limit_was_reduced: bool
    latency_ratio: float
    relative_latency: float
    slow_start_level: float
    health: EndpointHealthState | None = None


class HandoverState(Struct, frozen=True):
    """The complete state that a process hands over to its successor.

    Attributes:
        started_at: The time when the gateway started.
        draining: Whether an operator has drained it.
        typical_throughput: The throughput of a warm endpoint, in mean requests per second and unit of weight.
        recent_work_rate: The throughput of the preferred endpoints, in mean requests per second.
        mean_latencies: The mean latencies in seconds, by request class.
        customers: The states of the customers; those that equal a new one may be missing.
        endpoints: The states of the endpoints.
        unseen_ceiling_levels: The units in the ceiling bucket of a customer not seen yet, by plan; where a plan is
            missing, its bucket has been filling since `started_at`.
        usage_known_since: The time before which usage is unknown, as in `UsageUnknown`.
    """

    started_at: float
    draining: bool
    typical_throughput: float
    recent_work_rate: float
    mean_latencies: Mapping[str, float]
    customers: tuple[CustomerState, ...]
    endpoints: tuple[EndpointState, ...]
    unseen_ceiling_levels: Mapping[str, float] = field(default_factory=dict)
    usage_known_since: float | None = None
