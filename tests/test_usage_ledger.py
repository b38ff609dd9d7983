"""Usage totals between the processes of one ingress, without sockets: lost, duplicated and late messages."""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import ingress.process_group.usage_ledger as usage_ledger_module
from ingress.decisions.handover_state import QuotaUsage
from ingress.process_group.usage_ledger import OpenAttempts, UsageLedger, UsageTotals, read_usage_totals


class Process:
    """A simulated process: its ledger, and what its buckets have counted."""

    def __init__(self, name: str) -> None:
        self.ledger = UsageLedger(name)
        self.units: dict[str, float] = {}
        self.within_quota: dict[str, float] = {}
        self.open_attempts: dict[str, int] = {}
        self.slow_start_work: dict[str, float] = {}

    def count(self, usage: QuotaUsage) -> None:
        customer = usage.customer
        endpoint_id = usage.endpoint_id
        self.units[customer] = self.units.get(customer, 0.0) + usage.units
        self.within_quota[customer] = self.within_quota.get(customer, 0.0) + usage.units * usage.within_quota
        self.open_attempts[customer] = self.open_attempts.get(customer, 0) + usage.attempts_delta
        if usage.slow_start_work:
            self.slow_start_work[endpoint_id] = self.slow_start_work.get(endpoint_id, 0.0) + usage.slow_start_work

    def spend(self, usage: QuotaUsage) -> UsageTotals:
        self.count(usage)
        return self.ledger.record(usage)

    def receive(self, totals: UsageTotals) -> bool:
        new_usages = self.ledger.receive(totals)
        for usage in new_usages:
            self.count(usage)
        return bool(new_usages)


USAGE = st.tuples(
    st.integers(0, 2),
    st.integers(0, 3),
    st.sampled_from([0.0, 1.0, 2.5]),
    st.booleans(),
    st.sampled_from([-1, 0, 1]),
    st.sampled_from(["", "", "s1", "s2"]),
)


@settings(max_examples=300, deadline=None)
@given(usages=st.lists(USAGE, max_size=40), order=st.randoms(use_true_random=False))
def test_each_unit_counts_once_at_each_process_with_lost_duplicated_and_late_messages(
    usages: list[tuple[int, int, float, bool, int, str]], order: random.Random
) -> None:
    processes = [Process(f"p{n}") for n in range(3)]
    sent: list[UsageTotals] = []
    for index, customer, units, within_quota, attempts_delta, endpoint_id in usages:
        sent.append(
            processes[index].spend(
                QuotaUsage(
                    f"c{customer}",
                    "basic",
                    1,
                    units,
                    within_quota and units > 0,
                    attempts_delta,
                    endpoint_id,
                    0.5 if endpoint_id else 0.0,
                )
            )
        )
    received = [totals for totals in sent if order.random() < 0.6] * 2
    order.shuffle(received)
    for totals in received:
        for process in processes:
            process.receive(totals)
    for _ in range(2):  # new links in a ring, over which all totals reach all processes
        for sender, receiver in ((0, 1), (1, 2), (2, 0)):
            for totals in list(processes[sender].ledger.all_totals()):
                processes[receiver].receive(totals)
    first = processes[0]
    for process in processes[1:]:
        for counted, expected in (
            (process.units, first.units),
            (process.within_quota, first.within_quota),
            (process.open_attempts, first.open_attempts),
            (process.slow_start_work, first.slow_start_work),
        ):
            assert nonzero(counted) == nonzero(expected)


def nonzero(amounts: Mapping[str, float]) -> dict[str, float]:
    return {name: round(amount, 6) for name, amount in amounts.items() if amount}


def test_totals_that_arrive_again_over_another_path_are_not_new() -> None:
    one, two, three = Process("p1"), Process("p2"), Process("p3")
    totals = one.spend(QuotaUsage("c", "basic", 1, 1.0, True, 1))
    assert two.receive(totals) and three.receive(totals)
    assert not two.receive(totals) and not three.receive(totals) and not one.receive(totals)
    assert two.units == three.units == {"c": 1.0} and two.ledger.duplicate_count == 1


def test_a_successor_counts_what_exceeds_the_totals_of_the_handover() -> None:
    old, new = Process("p1"), Process("p2")
    totals = old.spend(QuotaUsage("c", "basic", 1, 3.0, True, 1))
    old.ledger.assign_uncounted_attempts(
        {"c": OpenAttempts("basic", 1, 1), "d": OpenAttempts("basic", 1, 2)}
    )  # d's attempts began while there was no other process
    new.ledger.load(old.ledger.all_totals())
    assert not new.receive(totals)  # the buckets of the handover include it
    assert new.receive(old.spend(QuotaUsage("c", "basic", 1, 2.0, True, 0))) and new.units == {"c": 2.0}
    new.receive(old.spend(QuotaUsage("d", "basic", 1, attempts_delta=-1)))
    assert new.open_attempts["d"] == -1
    assert {usage.customer: usage.attempts_delta for usage in new.ledger.process_ended("p1")} == {"c": -1, "d": -1}


def test_attempts_of_an_ended_process_finish_and_its_usage_still_counts() -> None:
    old, new = Process("p1"), Process("p2")
    new.receive(old.spend(QuotaUsage("c", "basic", 1, 1.0, True, 1)))
    late = old.spend(QuotaUsage("c", "basic", 1, 1.0, True, 1))
    for usage in new.ledger.process_ended("p1"):
        new.count(usage)
    assert new.ledger.process_ended("p1") == []
    assert new.receive(late)  # forwarded by another process
    assert new.units == {"c": 2.0} and new.open_attempts == {"c": 0}


def test_old_epochs_are_dropped_and_open_attempts_are_carried_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(usage_ledger_module, "MAX_EPOCH_ENTRIES", 4)
    old, new = Process("p1"), Process("p2")
    messages = [old.spend(QuotaUsage(f"c{n}", "basic", 1, 1.0, True, 1)) for n in range(20)]
    for totals in messages:
        new.receive(totals)
    assert sum(new.units.values()) == 20.0
    assert [len(process.ledger.epochs["p1"]) for process in (old, new)] == [2, 2]
    assert len(list(new.ledger.all_totals())) <= 8
    assert not new.receive(messages[0])  # from an epoch that is no longer retained; it was counted before
    assert sum(new.units.values()) == 20.0
    for n in range(20):
        new.receive(old.spend(QuotaUsage(f"c{n}", "basic", 1, attempts_delta=-1)))
    assert set(new.open_attempts.values()) == {0} and new.ledger.process_ended("p1") == []


@pytest.mark.parametrize(
    "totals",
    [
        [],
        ["p1", 0],
        ["p1", 0, "c", "basic", 1, 1.0, 2.0, 0, 0, "", 0.0],
        ["p1", 0, "c", "basic", 1, -1.0, 0, 0, 0, "", 0.0],
        ["p1", 0, "c", "basic", 1, float("nan"), 0.0, 0, 0, "", 0.0],
        ["p1", "x", "c", "basic", 1, 0, 0, 0, 0, "", 0.0],
    ],
)
def test_malformed_totals_are_rejected(totals: list[object]) -> None:
    with pytest.raises((ValueError, TypeError)):
        UsageLedger("p2").receive(read_usage_totals(totals))
