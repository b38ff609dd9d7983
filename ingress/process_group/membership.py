"""Membership: which processes form one ingress, which of them accepts, which one leads, and their connection reserves.

This module does no I/O: it consumes and produces records, and the caller supplies the time and the list of existing
processes. Times are seconds of the machine's monotonic clock, which all processes on one machine share.

Each process publishes its record at each heartbeat. A newer record replaces an older one, so records may arrive late,
twice, out of order or through other processes. The operating system is the authority on which processes exist: a
process announces itself there before it is granted anything.

A reserve is the number of connections that a process may have open. It moves only by grants: the record of the granting
process counts all that it has ever granted to each process, the record of the receiver all that it has ever received,
and the difference is in transit. So neither delay nor repetition can raise the sum of the reserves above the total. The
reserve of an ended process goes to the leader, once all other processes have confirmed that they no longer accept
grants from it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeAlias

from msgspec import Struct
from msgspec.structs import replace

from ingress.process_group.member_record import NO_CONNECTIONS, ConnectionCounts, MemberRecord, total_of

HEARTBEAT_INTERVAL_S = 0.1
SILENCE_TIMEOUT_S = 1.0  # a process whose latest record is older cannot be the acceptor and gets no grants
ACCEPT_LEASE_S = 0.5  # the time after its own latest heartbeat for which a process may accept
SPARE_DIVISOR = 32  # in addition to what it uses, a process keeps 1/32 of the total before it grants the rest

ProcessLister: TypeAlias = Callable[[], Iterable[str]]


class LocalState(Struct, frozen=True):
    """The state that a process publishes with a heartbeat; `MemberRecord` describes the fields."""

    in_use: ConnectionCounts
    ready: bool
    ending: bool
    config_version: int = 0
    memory: int = 0


class View(Struct, frozen=True):
    """The part of the view whose changes are counted by the view's version.

    Attributes:
        others: The names of the other processes, sorted.
        silent: The names of those that are silent, sorted.
        acceptor: The name of the process that accepts; empty if there is none.
        leader: The name of the leader.
    """

    others: list[str]
    silent: list[str]
    acceptor: str
    leader: str


class Membership:
    """The view that one process has of its group.

    Attributes:
        local: The record of this process.
        total: The connections that all processes together may have open.
        list_processes: Asks the system for the names of all existing processes of this ingress.
        others: The records of the other processes, by name.
        departed: The names of processes that have ended, in the order in which this was noticed.
        excluded: True if another process has recorded this one as ended. This process then keeps its reserve, but it is
            granted no more, and neither accepts nor reclaims.
        version: The number of the current view, counted from 1.
    """

    def __init__(self, local: MemberRecord, total: ConnectionCounts, list_processes: ProcessLister) -> None:
        self.local = local
        self.total = total
        self.list_processes = list_processes
        self.others: dict[str, MemberRecord] = {}
        self.departed: dict[str, None] = {}
        self.excluded = False
        self.version = 1
        self._view: View | None = None

    # Records of other processes

    def receive(self, record: MemberRecord) -> bool:
        """Store a record; return True if it is new and must be forwarded."""
        if record.name == self.local.name or record.name in self.departed:
            return False
        known = self.others.get(record.name)
        if known is not None and record.sent_at <= known.sent_at:
            return False
        self.others[record.name] = record
        self._receive_grants(record)
        self._remove(record.departed)
        return True

    def _remove(self, names: Iterable[str]) -> None:
        """Remove ended processes. The report of one process suffices, since a name is never reused."""
        for name in names:
            if name == self.local.name:
                self.excluded = True
            elif name not in self.departed:
                self.others.pop(name, None)
                self.departed[name] = None
                self.local = replace(self.local, departed=tuple(self.departed))

    def _receive_grants(self, record: MemberRecord) -> None:
        """Add to the reserve what that process has granted since its last record."""
        granted = record.granted.get(self.local.name, NO_CONNECTIONS)
        new_grant = granted.minus(self.local.received.get(record.name, NO_CONNECTIONS))
        if new_grant != NO_CONNECTIONS:
            received = {**self.local.received, record.name: record.granted[self.local.name]}
            self.local = replace(self.local, reserve=self.local.reserve.plus(new_grant), received=received)

    def refresh(self, now: float) -> list[str]:
        """Remove the processes that no longer exist according to the system, and reclaim their reserves.

        Returns:
            The names of the removed processes.
        """
        existing = set(self.list_processes())
        ended = [name for name in self.others if name not in existing]
        self._remove(ended)
        self._reclaim()
        silent = sorted(self.silent_processes(now))
        view = View(sorted(self.others), silent, self.acceptor(now), self.leader().name)
        if view != self._view:
            self._view = view
            self.version += 1
        return ended

    # Roles

    def records(self) -> list[MemberRecord]:
        """Return the records of this process and of all others."""
        return [self.local, *self.others.values()]

    def responsive(self, now: float) -> list[MemberRecord]:
        """Return the records of this process, and of the others that are not silent."""
        return [self.local, *(record for record in self.others.values() if record.sent_at > now - SILENCE_TIMEOUT_S)]

    def silent_processes(self, now: float) -> list[str]:
        """Return the names of existing processes that have sent no record within SILENCE_TIMEOUT_S."""
        return [name for name, record in self.others.items() if record.sent_at <= now - SILENCE_TIMEOUT_S]

    def leader(self) -> MemberRecord:
        """Return the record of the oldest existing process, silent or not.

        All processes agree on it, since the system determines which processes exist.
        """
        return min(self.records(), key=lambda record: record.seniority)

    def acceptor(self, now: float) -> str:
        """Return the name of the youngest responsive process that is ready and not ending; empty if there is none."""
        eligible = [record for record in self.responsive(now) if record.ready and not record.ending]
        return max(eligible, key=lambda record: record.seniority).name if eligible else ""

    def may_accept(self, now: float) -> bool:
        """Report whether this process may accept connections now.

        The lease guards against a process that was stopped for a while and still has an outdated view: the time in its
        own record shows how long ago it last ran.
        """
        if not self.others:
            return self.local.ready and not self.excluded
        is_acceptor = self.acceptor(now) == self.local.name
        return is_acceptor and now <= self.local.sent_at + ACCEPT_LEASE_S and not self.excluded

    def next_order(self) -> int:
        """Return the order for a process that starts now."""
        return 1 + max(record.order for record in self.records())

    # Reserves

    def heartbeat(self, now: float, state: LocalState) -> MemberRecord:
        """Update the record of this process and grant what it can spare.

        Returns:
            The record to publish.
        """
        self.local = replace(
            self.local,
            sent_at=now,
            in_use=state.in_use,
            ready=state.ready,
            ending=state.ending,
            config_version=state.config_version,
            memory=state.memory,
        )
        self._distribute(now)
        self.local = replace(self.local, accepting=self.may_accept(now))
        return self.local

    def resize(self, total: ConnectionCounts) -> None:
        """Set another total; the leader adds the difference to its own reserve, or takes it from there."""
        self.total = total
        self._reclaim()

    def _minimum_spare(self) -> ConnectionCounts:
        return ConnectionCounts(self.total.clients // SPARE_DIVISOR + 1, self.total.endpoints // SPARE_DIVISOR + 1)

    def _surplus(self) -> ConnectionCounts:
        """Return what this process can grant; negative if it needs more itself."""
        return self.local.reserve.minus(self.local.in_use.plus(self._minimum_spare()))

    def _distribute(self, now: float) -> None:
        """Grant the surplus to the acceptor; if this is the acceptor or there is none, to those that need more."""
        acceptor = self.acceptor(now)
        if acceptor and acceptor != self.local.name:
            self._grant(acceptor, self._surplus().at_least_zero())
            return
        for record in self.responsive(now):
            if record.name != self.local.name:
                need = self._need_of(record)
                surplus = self._surplus()
                smaller = ConnectionCounts(min(need.clients, surplus.clients), min(need.endpoints, surplus.endpoints))
                self._grant(record.name, smaller.at_least_zero())

    def _need_of(self, record: MemberRecord) -> ConnectionCounts:
        """Return what a process needs in addition to its reserve and to the grants that are in transit to it."""
        granted = self.local.granted.get(record.name, NO_CONNECTIONS)
        in_transit = granted.minus(record.received.get(self.local.name, NO_CONNECTIONS))
        required = record.in_use.plus(self._minimum_spare())
        return required.minus(record.reserve.plus(in_transit))

    def _grant(self, name: str, counts: ConnectionCounts) -> None:
        if counts != NO_CONNECTIONS:
            granted_before = self.local.granted.get(name, NO_CONNECTIONS)
            granted = {**self.local.granted, name: granted_before.plus(counts)}
            self.local = replace(self.local, reserve=self.local.reserve.minus(counts), granted=granted)

    def _reclaim(self) -> None:
        """As the leader, add what no process owns to the reserve: that of ended processes, or a change of the total.

        Guards against granting connections twice: a grant from an ended process may still be in transit, and a process
        that is not known here yet may have received one. So all existing processes must first have confirmed the end.
        """
        if self.excluded or self.leader().name != self.local.name or not self._departures_are_confirmed():
            return
        owned = total_of(self._balance(record) for record in self.records())
        self.local = replace(self.local, reserve=self.local.reserve.plus(self.total.minus(owned)))

    def _departures_are_confirmed(self) -> bool:
        """Report whether every existing process has confirmed that it accepts no more grants from the ended ones."""
        return all(
            name in self.others and set(self.departed) <= set(self.others[name].departed)
            for name in self.list_processes()
            if name != self.local.name
        )

    def _balance(self, record: MemberRecord) -> ConnectionCounts:
        """Return the reserve before all grants among existing processes.

        The sum over all processes does not depend on grants, not even on those in transit.
        """
        balance = record.reserve
        for name, counts in record.granted.items():
            if name not in self.departed:
                balance = balance.plus(counts)
        for name, counts in record.received.items():
            if name not in self.departed:
                balance = balance.minus(counts)
        return balance

    # Report

    def report(self, now: float) -> list[str]:
        """Return the lines that describe the view to operators, with one line for each process, the oldest first."""
        records = sorted(self.records(), key=lambda record: record.seniority)
        return [
            f"view: {self.version}",
            f"total: {self.total.clients} from clients, {self.total.endpoints} to servers",
            *(self._report_line(record, now) for record in records),
        ]

    def _report_line(self, record: MemberRecord, now: float) -> str:
        flags = {
            " leads": record.name == self.leader().name,
            " accepts": record.name == self.acceptor(now),
            " ending": record.ending,
            " silent": record.name in self.silent_processes(now),
        }
        in_use = record.in_use
        reserve = record.reserve
        return (
            f"member: {record.name}{' (this one)' if record.name == self.local.name else ''} order {record.order}"
            f"{''.join(text for text, is_set in flags.items() if is_set)}"
            f" generation {record.config_version}"
            f" holds {in_use.clients}+{in_use.endpoints} of {reserve.clients}+{reserve.endpoints}"
            f" heard {max(0.0, now - record.sent_at):.2f} s ago build {record.build or 'unknown'}"
        )
