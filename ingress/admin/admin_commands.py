"""The commands of the admin server and their answers to operators and the load balancer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from enum import Enum
from time import monotonic
from typing import Protocol

from msgspec import Struct

from ingress.configuration.changes import ConfigChanges
from ingress.configuration.document import Config
from ingress.process_group.membership import Membership
from ingress.process_group.peer_links import PeerLinks
from ingress.process_group.usage_ledger import UsageLedger
from ingress.runtime.clock import Clock
from ingress.runtime.metrics import Metrics

SECONDS_PER_DAY = 86_400
LAST_LINE = "eof"  # The last line of an answer with several lines.
STOPPING = "fail ending"
UNKNOWN_COMMAND = "fail unknown call"

MetricsSource = Callable[[], Mapping[str, int]]


class AdminCommand(Enum):
    """An admin command; its value is the line that the client sends."""

    READY = "ready"
    SHOW_METRICS = "show-stat"
    SHOW_MEMBERS = "show-members"
    SHOW_CONFIG = "show-config"
    REVERT = "revert"
    DRAIN = "drain"
    RESUME = "resume"


class GroupView(Protocol):
    """The part of the process group that the commands use.

    Attributes:
        ledger: Counts the messages on quota usage.
    """

    ledger: UsageLedger

    @property
    def membership(self) -> Membership | None:
        """The membership as this process knows it; None if the process serves alone."""

    @property
    def links(self) -> PeerLinks | None:
        """The connections to the other processes; None if the process serves alone."""

    def drain_all(self, enabled: bool) -> None:
        """Start or end a drain in all processes."""


class EndpointCounts(Protocol):
    """The part of the connection pool that the commands use."""

    def listed_count(self) -> int:
        """Return the number of endpoints that discovery lists."""


class AdminTargets(Struct, frozen=True):
    """The components of the process that the commands read or change.

    Attributes:
        changes: The configuration changes.
        group: The process group.
        metrics: The metrics of requests.
        metrics_sources: The sources of further metrics, in the order of their lines in `show-stat`.
        endpoints: The counts of endpoints.
        avoided_count: Returns the number of endpoints that receive no requests at a given time of the clock.
        is_stopping: Returns whether the process is shutting down.
        clock: Returns Unix time in seconds.
    """

    changes: ConfigChanges
    group: GroupView
    metrics: Metrics
    metrics_sources: tuple[MetricsSource, ...]
    endpoints: EndpointCounts
    avoided_count: Callable[[float], int]
    is_stopping: Callable[[], bool]
    clock: Clock


class AdminCommands:
    """Answers admin commands from the state of the components of the process."""

    def __init__(self, targets: AdminTargets) -> None:
        self.targets = targets

    def answer(self, line: str) -> str | Awaitable[str]:
        """Return the answer to one line, or an awaitable for a command in which other processes take part."""
        try:
            command = AdminCommand(line)
        except ValueError:
            return UNKNOWN_COMMAND
        if command is AdminCommand.REVERT:
            return self.targets.changes.revert()
        return self._answer_at_once(command)

    def _answer_at_once(self, command: AdminCommand) -> str:
        match command:
            case AdminCommand.READY:
                return STOPPING if self.targets.is_stopping() else "ok"
            case AdminCommand.SHOW_METRICS:
                return self._show_metrics()
            case AdminCommand.SHOW_MEMBERS:
                return self._show_members()
            case AdminCommand.SHOW_CONFIG:
                return _join_lines(self.targets.changes.versions.lines())
            case _:
                return self._set_draining(command is AdminCommand.DRAIN)

    def _set_draining(self, enabled: bool) -> str:
        if self.targets.is_stopping():
            return STOPPING
        self.targets.group.drain_all(enabled)
        return "ok"

    def _show_metrics(self) -> str:
        values: dict[str, int] = {}
        for source in self.targets.metrics_sources:
            values |= source()
        avoided = self.targets.avoided_count(self.targets.clock())
        return _join_lines(self.targets.metrics.lines(self.targets.endpoints.listed_count(), avoided, values))

    def _show_members(self) -> str:
        membership = self.targets.group.membership
        links = self.targets.group.links
        if membership is None or links is None:
            return UNKNOWN_COMMAND
        return _join_lines([*membership.report(monotonic()), *_link_lines(links, self.targets.group.ledger)])


def tls_metrics(config: Config, now: float, resumed_sessions: int) -> dict[str, int]:
    """Return the days until certificates expire, rounded down, and the number of resumed sessions.

    Args:
        config: The active configuration.
        now: Unix time in seconds.
        resumed_sessions: The number of TLS sessions with endpoints that were resumed since the start.
    """
    values = {}
    for name, tls in (("listener", config.client_tls), ("servers", config.endpoint_tls)):
        if tls is not None and tls.expires_at:
            values[f"tls.{name}.days_left"] = int((tls.expires_at - now) // SECONDS_PER_DAY)
    if config.endpoint_tls:
        values["tls.resumed"] = resumed_sessions
    return values


def _link_lines(links: PeerLinks, ledger: UsageLedger) -> list[str]:
    return [
        f"links: {len(links.links)}, {links.messages_sent} messages told, {links.bytes_sent} bytes",
        f"words: {ledger.sent_count} told, {ledger.received_count} heard,"
        f" {ledger.duplicate_count} of them known already",
    ]


def _join_lines(lines: Iterable[str]) -> str:
    return "\n".join([*lines, LAST_LINE])
