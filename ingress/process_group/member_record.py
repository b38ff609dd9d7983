"""The member record, which a process of an ingress publishes about itself to the other processes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from msgspec import Struct, field
from msgspec.structs import astuple

from ingress.process_group.errors import MessageError

MAX_MONOTONIC_S = 1e12  # a record with a later time is invalid


class ConnectionCounts(NamedTuple):
    """Numbers of connections; sent as a list of two numbers.

    Attributes:
        clients: The number of client connections.
        endpoints: The number of connections to endpoints.
    """

    clients: int
    endpoints: int

    def plus(self, other: ConnectionCounts) -> ConnectionCounts:
        """Return the field-wise sum."""
        return ConnectionCounts(self.clients + other.clients, self.endpoints + other.endpoints)

    def minus(self, other: ConnectionCounts) -> ConnectionCounts:
        """Return the field-wise difference, which may be negative."""
        return ConnectionCounts(self.clients - other.clients, self.endpoints - other.endpoints)

    def at_least_zero(self) -> ConnectionCounts:
        """Return these numbers with negative ones replaced by 0."""
        return ConnectionCounts(max(0, self.clients), max(0, self.endpoints))


NO_CONNECTIONS = ConnectionCounts(0, 0)


def total_of(counts: Iterable[ConnectionCounts]) -> ConnectionCounts:
    """Return the field-wise sum of all counts."""
    total = NO_CONNECTIONS
    for count in counts:
        total = total.plus(count)
    return total


class MemberRecord(Struct, frozen=True):
    """The published state of one process. The names in `field(name=...)` are those on the wire.

    Attributes:
        name: The name of the process, unique among all processes that ever belonged to the ingress.
        pid: The process id, which the system may reuse.
        start_ticks: The time at which the system started the process, in the system's clock ticks.
        order: A number higher than that of every process that this one was aware of when it started.
        sent_at: The time of the record, in seconds of the machine's monotonic clock.
        ready: True if the process can serve.
        ending: True if the process has been asked to end.
        accepting: True if the process accepts connections.
        in_use: The connections that the process has open.
        memory: The memory in use, in bytes.
        reserve: The connections that the process may have open.
        granted: All connections that the process has ever granted from its reserve, by receiving process.
        received: All connections that the process has ever received, by granting process.
        departed: The ended processes from which this process no longer accepts grants.
        config_version: The version of the configuration that the process runs.
        build: The version of the messages that the process understands.
    """

    name: str
    pid: int
    start_ticks: int = field(name="born")
    order: int
    sent_at: float = field(name="at")
    ready: bool = True
    ending: bool = False
    accepting: bool = False
    in_use: ConnectionCounts = field(default=NO_CONNECTIONS, name="held")
    memory: int = 0
    reserve: ConnectionCounts = NO_CONNECTIONS
    granted: Mapping[str, ConnectionCounts] = field(default_factory=dict, name="given")
    received: Mapping[str, ConnectionCounts] = field(default_factory=dict, name="got")
    departed: tuple[str, ...] = field(default=(), name="closed")
    config_version: int = field(default=0, name="generation")
    build: str = ""

    @property
    def seniority(self) -> tuple[int, str]:
        """The sort key that orders processes by age, the oldest first."""
        return self.order, self.name

    def to_message(self) -> dict[str, Any]:
        """Return the record as a JSON object, under the names on the wire."""
        return dict(zip(self.__struct_encode_fields__, astuple(self), strict=True))


def read_member_record(message: Mapping[str, Any]) -> MemberRecord:
    """Decode a record from another process; ignore fields that this build does not know.

    Raises:
        KeyError: A field with connection counts or names of processes is missing.
        TypeError: Another required field is missing, or a field has the wrong type.
        ValueError: A field has an invalid value.
    """
    sent_names = zip(MemberRecord.__struct_encode_fields__, MemberRecord.__struct_fields__, strict=True)
    fields = {name: message[sent_name] for sent_name, name in sent_names if sent_name in message}
    for name in ("in_use", "reserve"):
        fields[name] = _read_counts(fields[name])
    for name in ("granted", "received"):
        fields[name] = {str(process): _read_counts(counts) for process, counts in fields[name].items()}
    fields["departed"] = tuple(map(str, fields["departed"]))
    record = MemberRecord(**fields)
    has_valid_key = isinstance(record.name, str) and isinstance(record.order, int)
    if not (has_valid_key and 0 <= float(record.sent_at) < MAX_MONOTONIC_S):
        raise MessageError(f"invalid name, order or time in a member record: {message!r:.80}")
    return record


def _read_counts(source: Any) -> ConnectionCounts:
    clients, endpoints = source
    return ConnectionCounts(int(clients), int(endpoints))
