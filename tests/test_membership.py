"""Membership of simulated processes: a search through all orders of events, and random walks."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from copy import copy

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ingress.process_group.member_record import (
    NO_CONNECTIONS,
    ConnectionCounts,
    MemberRecord,
    read_member_record,
    total_of,
)
from ingress.process_group.membership import ACCEPT_LEASE_S, SILENCE_TIMEOUT_S, LocalState, Membership

TOTAL = ConnectionCounts(8, 8)


class Machine:
    """A simulated machine: its processes and all records ever sent, to be received late, twice, never, in any order."""

    def __init__(self, membership_type: type[Membership] = Membership) -> None:
        self.membership_type = membership_type
        self.clock = 0.0
        self.alive: dict[str, Membership] = {}
        self.sent: list[MemberRecord] = []
        self.used_names: set[str] = set()

    def copy(self) -> Machine:
        duplicate = copy(self)
        duplicate.alive = {}
        duplicate.sent = list(self.sent)
        duplicate.used_names = set(self.used_names)
        for name, membership in self.alive.items():
            member = copy(membership)
            member.others = dict(membership.others)
            member.departed = dict(membership.departed)
            member.list_processes = lambda alive=duplicate.alive: list(alive)  # type: ignore[misc]
            duplicate.alive[name] = member
        return duplicate

    def tick(self) -> float:
        self.clock += 0.001
        return self.clock

    def start_process(self, predecessor_name: str = "") -> None:
        """Start a process, which exchanges records with its predecessor at once."""
        name = f"p{len(self.used_names)}"
        self.used_names.add(name)
        predecessor = self.alive.get(predecessor_name)
        record = MemberRecord(
            name,
            len(self.used_names),
            0,
            predecessor.next_order() if predecessor else 0,
            self.tick(),
            reserve=NO_CONNECTIONS if predecessor else TOTAL,
        )
        self.alive[name] = self.membership_type(record, TOTAL, lambda: list(self.alive))
        if predecessor is not None:
            self.alive[name].receive(self.heartbeat(predecessor_name))
            predecessor.receive(self.heartbeat(name))

    def heartbeat(self, name: str, in_use: int = 0) -> MemberRecord:
        record = self.alive[name].heartbeat(self.tick(), LocalState(ConnectionCounts(in_use, in_use), True, False))
        self.sent.append(record)
        return record

    def possible_steps(self, max_heartbeats: int, max_processes: int) -> Iterator[tuple[str, ...]]:
        for name in self.alive:
            if sum(record.name == name for record in self.sent) < max_heartbeats:
                yield ("heartbeat", name)
            yield ("refresh", name)
            if len(self.alive) > 1:
                yield ("end", name)
            for position, record in enumerate(self.sent):
                known = self.alive[name].others.get(record.name)
                if (
                    record.name != name
                    and record.name not in self.alive[name].departed
                    and (known is None or known.sent_at < record.sent_at)
                ):
                    yield ("receive", name, str(position))
        if len(self.used_names) < max_processes:
            yield from (("start", name) for name in self.alive)

    def apply(self, step: tuple[str, ...]) -> None:
        match step:
            case ("heartbeat", name):
                self.heartbeat(name)
            case ("refresh", name):
                self.alive[name].refresh(self.clock)
            case ("end", name):
                del self.alive[name]
            case ("receive", name, position):
                self.alive[name].receive(self.sent[int(position)])
            case ("start", predecessor_name):
                self.start_process(predecessor_name)

    def reserve_sum(self) -> ConnectionCounts:
        return total_of(membership.local.reserve for membership in self.alive.values())

    def state_key(self) -> tuple[object, ...]:
        """Return all that later steps depend on; of times, only their order matters."""
        times = {sent_at: rank for rank, sent_at in enumerate(sorted({record.sent_at for record in self.sent}))}

        def record_key(record: MemberRecord) -> tuple[object, ...]:
            return (
                record.name,
                times.get(record.sent_at, -1),
                record.order,
                record.reserve,
                tuple(sorted(record.granted.items())),
                tuple(sorted(record.received.items())),
                record.departed,
            )

        return (
            tuple(
                (
                    name,
                    record_key(member.local),
                    tuple(sorted(record_key(record) for record in member.others.values())),
                    tuple(sorted(member.departed)),
                )
                for name, member in sorted(self.alive.items())
            ),
            tuple(record_key(record) for record in self.sent),
            len(self.used_names),
        )

    def settle(self) -> None:
        """Let all processes exchange records for a while, without loss or delay."""
        for _ in range(6):
            for name in list(self.alive):
                self.alive[name].refresh(self.clock)
                self.heartbeat(name)
            for name, record in itertools.product(list(self.alive), self.sent[-len(self.alive) :]):
                self.alive[name].receive(record)


def search(
    membership_type: type[Membership], max_heartbeats: int, max_processes: int, max_states: int
) -> tuple[int, int, Machine | None]:
    """Search all states within the bounds, breadth first.

    Returns:
        The number of states, the number of those that settled, and a state whose reserves exceed the total, if any.
    """
    start = Machine(membership_type)
    start.start_process()
    start.start_process("p0")
    seen = {start.state_key()}
    queue = [start]
    settled_count = 0
    while queue and len(seen) < max_states:
        state = queue.pop(0)
        settled = state.copy()
        settled.settle()
        views = {
            (member.leader().name, member.acceptor(settled.clock), tuple(sorted([member.local.name, *member.others])))
            for member in settled.alive.values()
        }
        accepting = [name for name, member in settled.alive.items() if member.may_accept(settled.clock)]
        assert len(views) == 1 and len(accepting) == 1, state.state_key()
        assert settled.reserve_sum() == TOTAL  # and nothing is lost
        settled_count += 1
        for step in state.possible_steps(max_heartbeats, max_processes):
            new = state.copy()
            new.apply(step)
            reserve_sum = new.reserve_sum()
            if max(reserve_sum) > TOTAL[0]:
                return len(seen), settled_count, new
            if new.state_key() not in seen:
                seen.add(new.state_key())
                queue.append(new)
    return len(seen), settled_count, None


def test_in_no_order_of_events_reserves_exceed_the_total_and_every_view_settles() -> None:
    states, settled, broken = search(Membership, max_heartbeats=4, max_processes=3, max_states=6_000)
    assert broken is None and states >= 6_000 and settled > 500


class EarlyReclaim(Membership):
    """Faulty on purpose: reclaims the reserve of ended processes while a grant from them may be in transit."""

    def _reclaim(self) -> None:
        if self.leader().name == self.local.name:
            records = [self.local, *self.others.values()]
            unowned = self.total.minus(total_of(record.reserve for record in records))
            self.local = _with_reserve(self.local, self.local.reserve.plus(unowned))


class RepeatedGrant(Membership):
    """Faulty on purpose: a record that arrives twice grants twice."""

    def _receive_grants(self, record: MemberRecord) -> None:
        grant = record.granted.get(self.local.name, NO_CONNECTIONS)
        self.local = _with_reserve(self.local, self.local.reserve.plus(grant))


def _with_reserve(record: MemberRecord, reserve: tuple[int, int]) -> MemberRecord:
    return read_member_record(record.to_message() | {"reserve": reserve})


@pytest.mark.parametrize("membership_type", [EarlyReclaim, RepeatedGrant])
def test_the_search_finds_a_planted_fault(membership_type: type[Membership]) -> None:
    start = Machine(membership_type)
    start.start_process()
    start.start_process("p0")
    seen, queue = {start.state_key()}, [start]
    while queue:
        state = queue.pop(0)
        for step in state.possible_steps(4, 3):
            new = state.copy()
            new.apply(step)
            if max(new.reserve_sum()) > TOTAL[0]:
                return  # found
            if new.state_key() not in seen and len(seen) < 6_000:
                seen.add(new.state_key())
                queue.append(new)
    pytest.fail("the search has not found the planted fault")


class Walk(RuleBasedStateMachine):
    """Random walks, which are longer and have more processes than the search."""

    @initialize()
    def begin(self) -> None:
        self.machine = Machine()
        self.machine.start_process()

    def name(self, pick: int) -> str:
        return sorted(self.machine.alive)[pick % len(self.machine.alive)]

    @rule(pick=st.integers(0, 99), in_use=st.integers(0, 3))
    def emits_heartbeat(self, pick: int, in_use: int) -> None:
        name = self.name(pick)
        self.machine.heartbeat(name, min(in_use, max(0, self.machine.alive[name].local.reserve[0])))

    @rule(pick=st.integers(0, 99), which=st.integers(0, 999))
    def receives(self, pick: int, which: int) -> None:
        if self.machine.sent:
            self.machine.alive[self.name(pick)].receive(self.machine.sent[which % len(self.machine.sent)])

    @rule(pick=st.integers(0, 99))
    def refreshes(self, pick: int) -> None:
        self.machine.alive[self.name(pick)].refresh(self.machine.clock)

    @precondition(lambda self: len(self.machine.used_names) < 8)
    @rule(pick=st.integers(0, 99))
    def starts(self, pick: int) -> None:
        self.machine.start_process(self.name(pick))

    @precondition(lambda self: len(self.machine.alive) > 1)
    @rule(pick=st.integers(0, 99))
    def ends(self, pick: int) -> None:
        del self.machine.alive[self.name(pick)]

    @rule()
    def settles(self) -> None:
        self.machine.settle()
        assert self.machine.reserve_sum() == TOTAL

    @invariant()
    def reserves_do_not_exceed_the_total(self) -> None:
        if hasattr(self, "machine"):
            assert max(self.machine.reserve_sum()) <= TOTAL[0]


def test_in_long_walks_reserves_do_not_exceed_the_total() -> None:
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        Walk, settings=settings(max_examples=60, stateful_step_count=60, deadline=None)
    )


def test_a_process_that_was_stopped_accepts_nothing_before_its_next_heartbeat() -> None:
    machine = Machine()
    machine.start_process()
    machine.start_process("p0")
    machine.settle()
    old, new = machine.alive["p0"], machine.alive["p1"]
    assert new.may_accept(machine.clock) and not old.may_accept(machine.clock)
    machine.clock += SILENCE_TIMEOUT_S + 0.1  # p1 is stopped; p0 sends heartbeats
    machine.heartbeat("p0")
    assert old.may_accept(machine.clock) and old.silent_processes(machine.clock) == ["p1"]
    assert not new.may_accept(machine.clock)  # its lease has expired, although its view is outdated
    assert ACCEPT_LEASE_S < SILENCE_TIMEOUT_S
    kept = new.local.reserve
    old.refresh(machine.clock)
    assert new.local.reserve == kept and old.local.reserve.plus(kept) == TOTAL  # p1 exists, so it keeps its reserve
    machine.settle()
    assert new.may_accept(machine.clock) and not old.may_accept(machine.clock)


def test_a_reused_process_id_is_another_process() -> None:
    record = MemberRecord("7-100", 7, 100, 0, 1.0)
    # The system no longer lists the process 7-100.
    membership = Membership(MemberRecord("8-1", 8, 1, 1, 1.0), TOTAL, lambda: ["8-1"])
    membership.receive(record)
    assert membership.refresh(1.0) == ["7-100"] and membership.leader().name == "8-1"
    assert membership.local.reserve == TOTAL


def test_records_of_other_builds_are_read_and_malformed_ones_rejected() -> None:
    record = MemberRecord("a", 1, 2, 0, 1.0, granted={"b": ConnectionCounts(1, 2)})
    assert read_member_record(record.to_message() | {"colour": "red"}) == record
    for malformed in (
        {},
        {"name": 1},
        record.to_message() | {"held": [1]},
        record.to_message() | {"at": "soon"},
        record.to_message() | {"at": float("nan")},
        record.to_message() | {"order": "first"},
    ):
        with pytest.raises((ValueError, KeyError, TypeError)):
            read_member_record(malformed)


def test_the_leader_takes_the_difference_to_a_lower_or_higher_total() -> None:
    machine = Machine()
    machine.start_process()
    machine.start_process("p0")
    machine.settle()
    for total in (ConnectionCounts(4, 4), ConnectionCounts(20, 20), ConnectionCounts(8, 8)):
        for membership in machine.alive.values():
            membership.resize(total)
        machine.settle()
        assert machine.reserve_sum() == total


def test_the_report_shows_which_process_leads_and_which_accepts() -> None:
    machine = Machine()
    machine.start_process()
    machine.start_process("p0")
    machine.settle()
    lines = machine.alive["p1"].report(machine.clock)
    assert lines[0].startswith("view: ")
    assert [" leads" in line for line in lines[2:]] == [True, False]
    assert [" accepts" in line for line in lines[2:]] == [False, True]
