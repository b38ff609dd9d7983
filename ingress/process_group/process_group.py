"""The process group: coordinates this process with the others of its ingress while one build replaces another.

During that time several processes serve one address. They agree on which of them accepts, how many connections each may
have open, how much of the quotas is spent, whether an operator has drained them, and which configuration they run.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from pathlib import Path
from time import monotonic

from msgspec import Struct
from msgspec.structs import replace

from ingress.decisions.events import DrainRequested, Event, ProcessGroupChanged, RequestIdSent
from ingress.decisions.handover_state import QuotaUsage
from ingress.process_group.agreement import Agreement
from ingress.process_group.handover import ReceivedHandover
from ingress.process_group.handover_messages import HandoverMessage
from ingress.process_group.link import Link
from ingress.process_group.member_record import NO_CONNECTIONS, ConnectionCounts, MemberRecord
from ingress.process_group.membership import HEARTBEAT_INTERVAL_S, LocalState, Membership
from ingress.process_group.peer_links import PeerLinks
from ingress.process_group.peer_messages import (
    ChangeMessage,
    DrainMessage,
    MemberMessage,
    PeerMessage,
    ResourcesMessage,
    SentIdsMessage,
    ServingMessage,
    UsageIncrementMessage,
    UsageMessage,
    UsageTotalsMessage,
)
from ingress.process_group.presence import Presence
from ingress.process_group.usage_ledger import OpenAttempts, UsageLedger, UsageTotals
from ingress.runtime.memory_budget import MemoryBudget
from ingress.server.client_server import ClientServer
from ingress.upstream.connection_pool import ConnectionPool

log = logging.getLogger(__name__)

# Time without a record from an older process, to which there is no link, before this process connects to it again.
RECONNECT_DELAY_S = 3 * HEARTBEAT_INTERVAL_S
MIN_CONNECTIONS = 8  # the lower bound of each limit, before any grant; the spare descriptors cover it
BUILD = "4"  # the version of the messages that this build understands


class LocalProcess(Struct, frozen=True):
    """The parts of this process that the process group reads and controls.

    Attributes:
        name: The name of the ingress, for the log.
        clients: The server of the client connections.
        endpoints: The pool of connections to endpoints.
        memory: The memory budget, which depends on the other processes.
        agreement: The agreement on configuration changes.
        feed: Passes an event to the decision module.
        is_ending: Reports whether the process has been asked to end.
        is_draining: Reports whether an operator has drained the ingress.
        persists_usage: Reports whether usage is written to the checkpoint.
        persist_usage: Writes usage by another process to the checkpoint.
        connection_limits: Returns the connections that all processes together may have open.
        config_version: Returns the version of the current configuration.
        handover_message: Returns the state for a successor, without the part of the process group.
        sent_ids: Returns the ids of the requests that may not be repeated and have been sent.
    """

    name: str
    clients: ClientServer
    endpoints: ConnectionPool
    memory: MemoryBudget
    agreement: Agreement
    feed: Callable[[Event], None]
    is_ending: Callable[[], bool]
    is_draining: Callable[[], bool]
    persists_usage: Callable[[], bool]
    persist_usage: Callable[[QuotaUsage], None]
    connection_limits: Callable[[], ConnectionCounts]
    config_version: Callable[[], int]
    handover_message: Callable[[], HandoverMessage]
    sent_ids: Callable[[], tuple[str, ...]] = tuple


class ProcessGroup:
    """Coordinates this process with the others of its ingress.

    Attributes:
        local: The parts of this process.
        loop: The event loop.
        links: The links to the other processes; None if the process runs without a group.
        ledger: The usage of each process.
        membership: The view of the group; None before `open`.
        successor: The link to the process that accepts in place of this one; None if there is none.
        last_drain_at: The time of the latest drain or resume request, which is in force (monotonic clock, in seconds);
            0 before the first.
        heartbeat_timer: The timer of the next heartbeat.
        listen_task: Opens the handover socket again after the successor has ended.
    """

    def __init__(self, local: LocalProcess, path: Path | None) -> None:
        """Create the group; nothing is sent before `open`.

        Args:
            local: The parts of this process.
            path: The path of the socket to which a successor connects; None for a process without a group.
        """
        self.local = local
        self.loop = asyncio.get_running_loop()
        self.links = None if path is None else PeerLinks(path, self)
        self.ledger = UsageLedger(self.links.presence.name if self.links is not None else "")
        self.membership: Membership | None = None
        self.successor: Link | None = None
        self.last_drain_at = 0.0
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.listen_task: asyncio.Task[None] | None = None

    async def open(self, handover: ReceivedHandover | None) -> None:
        """Announce this process to the others, and replace its predecessor, if there is one."""
        if self.links is not None:
            await self.links.announce()
            predecessor = handover.message.member if handover is not None else None
            self.membership = self._new_membership(self.links.presence, predecessor)
            await self.links.open(handover)
            self._heartbeat()

    def close(self) -> None:
        """Leave the group."""
        if self.links is not None:
            self.links.close()
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()

    def _new_membership(self, presence: Presence, predecessor: MemberRecord | None) -> Membership:
        """Return the view of a process that has just started.

        After a predecessor with membership it starts without a reserve and is granted what the others can spare. After
        a predecessor of a build without membership, or none, its reserve is the total; `_apply_limits` subtracts what
        such a predecessor reports to have in use.
        """
        total = self.local.connection_limits()
        record = MemberRecord(
            name=presence.name,
            pid=presence.pid,
            start_ticks=presence.start_ticks,
            order=predecessor.order + 1 if predecessor else 0,
            sent_at=monotonic(),
            reserve=NO_CONNECTIONS if predecessor else total,
            build=BUILD,
        )
        membership = Membership(record, total, presence.list_processes)
        if predecessor is not None:
            membership.receive(predecessor)
        return membership

    # Links to the other processes

    def predecessor(self) -> Link | None:
        """Return the link to a process that started before this one; None if there is none."""
        links = self.links.links if self.links is not None else ()
        return next((link for link in links if not link.is_newer), None)

    def successors(self) -> list[Link]:
        """Return the links to the processes that started after this one."""
        links = self.links.links if self.links is not None else ()
        return [link for link in links if link.is_newer]

    def handover_for_successor(self) -> tuple[socket.socket | None, HandoverMessage]:
        """Return the listening socket, None if it is closed, and the state for a process that takes over."""
        message = self.local.handover_message()
        self.ledger.assign_uncounted_attempts(
            {
                customer.customer: OpenAttempts(customer.plan, customer.gateway_count, customer.open_attempts)
                for customer in message.state.customers
            }
        )
        member = None
        if self.membership is not None:
            member = self._local_record(monotonic())  # while it was alone, this process did not update its record
        listener = self.local.clients.listening_socket
        return (
            listener if listener.fileno() >= 0 else None,
            replace(message, member=member, usage_totals=tuple(self.ledger.all_totals())),
        )

    def links_changed(self) -> None:
        """Accept again if the successor has ended, and adapt the decision module and the limits to the processes."""
        assert self.links is not None
        if self.successor is not None and self.successor not in self.links.links and not self._has_active_successor():
            self.successor = None
            if not self.local.is_ending():
                log.warning(
                    "%s: the successor has ended or is out of reach; accepting connections again", self.local.name
                )
                self.local.clients.set_accepting(True)
                self.listen_task = self.loop.create_task(self.links.listen())
        self.notify_gateway()
        self._apply_limits()

    def link_made(self, link: Link) -> None:
        """Send the usage totals, the sent ids and the drain state, which the other process may have missed."""
        self._send_sent_ids(link)
        for totals in self.ledger.all_totals():
            link.send(UsageTotalsMessage(totals))
        if self.last_drain_at:
            link.send(DrainMessage(self.local.is_draining(), self.last_drain_at))

    def successor_linked(self, link: Link) -> None:
        """Send the sent ids, which the handover message does not contain."""
        self._send_sent_ids(link)

    def _send_sent_ids(self, link: Link) -> None:
        if request_keys := self.local.sent_ids():
            link.send(SentIdsMessage(request_keys))

    def link_lost(self, link: Link) -> None:
        """Handle the loss of a link, because the other process has ended or cannot be reached."""
        self.local.agreement.link_lost(link)
        if self.membership is not None:
            self._remove_departed(self.membership, monotonic())
        self.links_changed()

    def message_received(self, link: Link, message: PeerMessage) -> None:
        """Handle a message from another process."""
        match message:
            case ServingMessage():
                self._successor_serves(link)
            case UsageTotalsMessage() | UsageIncrementMessage() | SentIdsMessage():
                self._request_message_received(link, message)
            case DrainMessage(enabled=enabled, requested_at=requested_at):
                if requested_at is not None or enabled is not self.local.is_draining():
                    self.drain_all(enabled, requested_at, link)
            case ChangeMessage(step=step):
                self.local.agreement.receive(link, step)
            case MemberMessage():
                self._record_received(link, message)
            case ResourcesMessage(in_use=in_use):
                link.reported_usage = in_use
                self._apply_limits()

    def _request_message_received(
        self, link: Link, message: UsageTotalsMessage | UsageIncrementMessage | SentIdsMessage
    ) -> None:
        """Handle a message about requests that another process has sent."""
        match message:
            case UsageTotalsMessage(totals=totals):
                for usage in self.ledger.receive(totals):
                    self._usage_received(usage, totals, link)
            case UsageIncrementMessage(usage=usage):
                # The sender keeps no totals, so its usage is counted in the totals of this process.
                self._usage_received(usage, self.ledger.record(usage), link)
            case SentIdsMessage(request_keys=request_keys):
                for request_key in request_keys:
                    self.local.feed(RequestIdSent(request_key))

    def _successor_serves(self, link: Link) -> None:
        self.successor = link
        self.local.clients.set_accepting(False)
        log.info("%s: a successor serves now; no longer accepting connections", self.local.name)
        self.links_changed()

    # Drain

    def drain_all(self, enabled: bool, requested_at: float | None = None, sender: Link | None = None) -> None:
        """Drain all processes or end the drain; of several requests the latest is in force.

        Args:
            enabled: True to drain, False to end the drain.
            requested_at: The time of the operator's request (monotonic clock, in seconds); None for now.
            sender: The link over which the request arrived, if any; the request is not sent back over it.
        """
        if requested_at is None:
            requested_at = monotonic()
        if requested_at <= self.last_drain_at:
            return
        self.last_drain_at = requested_at
        self.local.feed(DrainRequested(enabled))
        if self.links is not None:
            self.links.broadcast(DrainMessage(enabled, requested_at), sender)

    # Usage

    def usage_spent(self, usage: QuotaUsage) -> None:
        """Report quota that this process has spent to the others, which subtract it from their buckets."""
        self._broadcast_usage(usage, self.ledger.record(usage))

    def request_id_sent(self, request_key: str) -> None:
        """Notify the others that this process sends a request that may not be repeated."""
        if self.links is not None:
            self.links.broadcast(SentIdsMessage((request_key,)))

    def _usage_received(self, usage: QuotaUsage, totals: UsageTotals, sender: Link) -> None:
        self.local.feed(usage)
        self.local.persist_usage(usage)
        self._broadcast_usage(usage, totals, sender)

    def _broadcast_usage(self, usage: QuotaUsage, totals: UsageTotals, sender: Link | None = None) -> None:
        if self.links is not None:
            self.links.broadcast(UsageMessage(usage, totals), sender)

    # Membership

    def notify_gateway(self) -> None:
        """Notify the decision module of the number of other processes, and whether a successor accepts."""
        others = len(self.membership.others) if self.membership is not None else 0
        links = len(self.links.links) if self.links is not None else 0
        has_successor = self.successor is not None
        self.local.feed(ProcessGroupChanged(max(others, links), has_successor, self.local.persists_usage()))

    def _heartbeat(self) -> None:
        """Publish the record of this process, and update the view of the others."""
        assert self.links is not None
        assert self.membership is not None
        self.heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)
        now = monotonic()
        if not self.links.links and not self.membership.others:
            self.ledger.clear()
            return
        self._remove_departed(self.membership, now)
        record = self._local_record(now)
        self.links.broadcast(MemberMessage(record.to_message(), is_own_record=True))
        self.links.broadcast(ResourcesMessage((*record.in_use, record.memory)))
        self._reconnect(now)
        self._apply_view(now)

    def _reconnect(self, now: float) -> None:
        """Reconnect to older processes whose links were lost.

        Guards against a second link to the same process, since usage would be sent over both.
        """
        assert self.links is not None
        assert self.membership is not None
        linked = {link.name for link in self.links.links}
        for other in self.membership.others.values():
            may_be_linked = other.name in linked or "" in linked  # a link that has no name yet may lead to any process
            is_older = other.order < self.membership.local.order
            if is_older and not may_be_linked and now - other.sent_at > RECONNECT_DELAY_S:
                self.links.connect(other.name)

    def _remove_departed(self, membership: Membership, now: float) -> None:
        """Remove ended processes from the view and finish their open attempts."""
        for name in membership.refresh(now):
            log.info("%s: process %s has ended", self.local.name, name)
            for usage in self.ledger.process_ended(name):
                self.local.feed(usage)

    def _local_record(self, now: float) -> MemberRecord:
        assert self.membership is not None
        state = LocalState(
            in_use=ConnectionCounts(len(self.local.clients.connections), self.local.endpoints.connection_count),
            ready=True,
            ending=self.local.is_ending(),
            config_version=self.local.config_version(),
            memory=self.local.memory.reported_use(),
        )
        return self.membership.heartbeat(now, state)

    def _has_active_successor(self) -> bool:
        """Report whether a process that started later serves, even if the link to it was lost."""
        return self.membership is not None and any(
            record.order > self.membership.local.order and record.ready and not record.ending
            for record in self.membership.responsive(monotonic())
            if record.name != self.membership.local.name
        )

    def _record_received(self, link: Link, message: MemberMessage) -> None:
        record = message.record()
        if self.membership is None or self.links is None:
            return
        if message.is_own_record and not link.name:
            link.name = record.name
            if not link.is_newer and self._is_linked_elsewhere(link):
                link.close()
                return
        is_new_process = record.name not in self.membership.others
        if not self.membership.receive(record):
            return
        self.links.broadcast(MemberMessage(message.fields, is_own_record=False), link)
        if is_new_process and self.heartbeat_timer is not None:
            # The new process waits for its reserve, so the next heartbeat is sent at once.
            self.heartbeat_timer.cancel()
            self._heartbeat()
        else:
            self._apply_view(monotonic())

    def _is_linked_elsewhere(self, link: Link) -> bool:
        """Report whether there is another link to the same process."""
        assert self.links is not None
        return any(other.name == link.name for other in self.links.links if other is not link)

    def _apply_view(self, now: float) -> None:
        """Start or stop accepting according to the membership, and apply the limits."""
        assert self.membership is not None
        if self.membership.others:
            accepts = self.membership.may_accept(now)
            if accepts or not self.local.is_ending():
                self.local.clients.set_accepting(accepts)
        self.links_changed()

    def resize(self) -> None:
        """Apply changed connection limits of the configuration."""
        if self.membership is not None:
            self.membership.resize(self.local.connection_limits())
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Limit connections and memory of this process, so that all processes together stay within the totals."""
        records = list(self.membership.others.values()) if self.membership is not None else []
        reported = self._reported_by_older_builds({record.name for record in records})
        reserve = self.membership.local.reserve if self.membership is not None else self.local.connection_limits()
        client_limit = reserve.clients - sum(in_use[0] for in_use in reported)
        endpoint_limit = reserve.endpoints - sum(in_use[1] for in_use in reported)
        self.local.clients.resize(max(MIN_CONNECTIONS, client_limit))
        self.local.endpoints.resize(max(MIN_CONNECTIONS, endpoint_limit))
        reported_memory = sum(in_use[2] for in_use in reported)
        used_elsewhere = sum(record.memory for record in records) + reported_memory
        self.local.memory.set_other_processes(1 + len(records) + len(reported), used_elsewhere)

    def _reported_by_older_builds(self, members: set[str]) -> list[tuple[int, ...]]:
        """Return the client connections, endpoint connections and bytes that each process without membership uses."""
        links = self.links.links if self.links is not None else ()
        return [link.reported_usage for link in links if link.reported_usage and link.name not in members]
