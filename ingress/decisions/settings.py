"""The settings that a gateway receives at its start and with each change of its configuration.

Times are in seconds, rates in units per second.  The names in the settings file are mapped to these fields by
`ingress.configuration.settings_mapping`, and nowhere else.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from math import inf

from msgspec import Struct


class Idempotency(Enum):
    """The rule by which a request of a class may be attempted again; the values are those of the settings file."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class KeyScope(Enum):
    """The endpoints that recognise a repeated key, for classes with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _check_numbers(owner: str, settings: Struct, names: Iterable[str], minimum: float = 0.0) -> None:
    """Check that the named fields are finite and at least `minimum`; `owner` is the prefix of the error message."""
    for name in names:
        value = getattr(settings, name)
        if not minimum <= value < inf:
            raise ValueError(f"{owner}{name}: {value!r} is not a finite number of at least {minimum:g}")


class RequestClass(Struct, frozen=True):
    """A class of requests.

    Attributes:
        name: The name in the settings and in the requests of clients.
        latency_objective: The seconds within which an answer has its full value.
        deadline: The maximum time in seconds that a client waits.
        priority_weight: The value of an answer in time, relative to that of other classes.
        late_weight_factor: The share of that value which an answer after the latency objective still has.
        idempotency: The rule by which a request may be attempted again.
        key_scope: The endpoints that recognise a repeated idempotency key.
        deduplication_window: The seconds for which they recognise it.
        latency_objective_stretch: The seconds by which the latency objective grows with each unit of work.
        stream: Whether answers are sent in chunks.

    Raises:
        ValueError: A number is negative or not finite.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_weight_factor: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    key_scope: KeyScope = KeyScope.ALL
    deduplication_window: float = 0.0
    latency_objective_stretch: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        _check_numbers(
            f"class {self.name}: ",
            self,
            (
                "latency_objective",
                "deadline",
                "priority_weight",
                "late_weight_factor",
                "deduplication_window",
                "latency_objective_stretch",
            ),
        )


class Plan(Struct, frozen=True):
    """A plan that customers buy: its quota, its limits and its prices.  A limit of 0 means no limit.

    Attributes:
        name: The name in the settings and in the requests of clients.
        rate: The units per second of the quota.
        burst: The units that the quota allows at once.
        concurrency_limit: The number of attempts that may be in flight at once.
        weight_factor: The value of an answer, relative to that of other plans.
        over_quota_value: The share of its value that an answer beyond the quota has.
        over_quota_cost: The cost of an answer beyond the quota, as a share of its value.
        ceiling_rate: The units per second that a customer must never exceed.
        ceiling_burst: The units that the ceiling allows at once.
        ceiling_slack: The units by which the ceiling may be exceeded without a violation.

    Raises:
        ValueError: A number is negative or not finite.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    concurrency_limit: int = 0
    weight_factor: float = 1.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _check_numbers(f"plan {self.name}: ", self, (name for name in self.__struct_fields__ if name != "name"))


class Settings(Struct, frozen=True):
    """All settings of a gateway.

    Attributes:
        classes: The classes of requests.
        plans: The plans of customers.
        gateway_index: The index of this gateway, from 0.
        gateway_count: The number of gateways.
        zone: The zone in which this gateway runs.
        timer_resolution: The seconds by which a timer may fire early or late.
        answer_slack: The seconds by which an answer may miss its deadline.
        drain_grace: The seconds for which a draining endpoint may still be sent requests.
        slow_start_duration: The seconds after its start during which an endpoint warms up.
        slow_start_initial_capacity: The share of its capacity that an endpoint has at its start.
        overload_factor: The load at which a warming endpoint fails, as a multiple of its current capacity.
        overload_window: The seconds over which that load is counted.
        discovery_poll_deadline: The seconds after a failed call within which discovery must be asked again; 0 for no
            limit.
        polls_discovery: Whether the endpoint list must be subscribed to.
        max_attempts: The maximum number of attempts for one request, including the first.
        hedging_allowed: Whether a second attempt may be in flight in parallel to the first.
        cancellation_allowed: Whether attempts that are no longer needed may be cancelled.
        health_checks_allowed: Whether endpoints answer health checks truthfully.
        peer_messages_allowed: Whether gateways may send messages to each other.
        peer_message_rate: The maximum number of such messages per second.
        counter_available: Whether there is a counter service.
        counter_timeout: The seconds to wait for an answer of the counter service.
        meter_period: The seconds between two reports of a customer's metered usage.
        settles_units: Whether answers state the actual units of a request.
        max_request_units: The units of the largest request.
        health_check_cost: The cost of one health check, as a share of the value of a request.
        load_report_fields: The names of the fields in a load report.

    Raises:
        ValueError: A number is out of range, or there is no class or no plan.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_index: int = 0
    gateway_count: int = 1
    zone: str = ""
    timer_resolution: float = 0.001
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    slow_start_duration: float = 0.0
    slow_start_initial_capacity: float = 1.0
    overload_factor: float = 1.0
    overload_window: float = 1.0
    discovery_poll_deadline: float = 0.0
    polls_discovery: bool = False
    max_attempts: int = 1
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    health_checks_allowed: bool = False
    peer_messages_allowed: bool = False
    peer_message_rate: float = 0.0
    counter_available: bool = False
    counter_timeout: float = 0.0
    meter_period: float = 0.0
    settles_units: bool = False
    max_request_units: float = 1.0
    health_check_cost: float = 0.0
    load_report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one request class is required")
        if not self.plans:
            raise ValueError("plans: at least one plan is required")
        _check_numbers(
            "",
            self,
            (
                "gateway_index",
                "answer_slack",
                "drain_grace",
                "slow_start_duration",
                "slow_start_initial_capacity",
                "overload_factor",
                "overload_window",
                "discovery_poll_deadline",
                "peer_message_rate",
                "counter_timeout",
                "meter_period",
                "health_check_cost",
            ),
        )
        _check_numbers("", self, ("gateway_count", "max_attempts", "max_request_units"), minimum=1)
