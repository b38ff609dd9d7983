"""The usage ledger: shares usage between the processes of one ingress, so that each process counts each unit once.

This module does no I/O: it consumes and produces totals. A message carries totals rather than increments: how much its
process has spent for one customer, and how many attempts it has started and finished, within one epoch. So messages may
be lost, or arrive twice, late, out of order or over two paths at once: the receiver counts what exceeds the totals that
it knew, and the next message makes up for a lost one. Over a new link, each side sends all its totals once.

Totals are kept by epoch. A process begins a new epoch whenever the latest is full, and the latest two epochs of each
process are retained. This bounds the memory; only a link that was down for a complete epoch can miss usage.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from msgspec import Struct, field
from msgspec.structs import astuple

from ingress.decisions.handover_state import QuotaUsage
from ingress.process_group.errors import MessageError

MAX_EPOCH_ENTRIES = 20_000  # customers and warming endpoints together, in one epoch of one process
RETAINED_EPOCHS_PER_PROCESS = 2
MIN_UNITS = 1e-9  # a smaller difference of units is a rounding error
MAX_UNITS = 1e15  # totals with more units are invalid


class UsageTotals(Struct, frozen=True):
    """Totals of one process for one customer in one epoch; sent as the list of the fields, in this order.

    Attributes:
        process: The name of the process that spent the units.
        epoch: The number of the epoch of that process.
        customer: The customer whose quota was spent.
        plan: The name of the customer's plan.
        gateway_count: The number of gateways that share the quota.
        units: The units spent.
        within_quota_units: The part of `units` that came from the quota.
        attempts_started: The number of attempts started.
        attempts_finished: The number of attempts finished.
        endpoint_id: The id of a warming endpoint; empty for none.
        slow_start_work: The work spent from that endpoint's slow start budget, in mean requests.
    """

    process: str
    epoch: int
    customer: str
    plan: str
    gateway_count: int
    units: float
    within_quota_units: float
    attempts_started: int
    attempts_finished: int
    endpoint_id: str = ""
    slow_start_work: float = 0.0

    def to_message(self) -> list[Any]:
        """Return the totals as a JSON list."""
        return list(astuple(self))


def read_usage_totals(message: Sequence[Any]) -> UsageTotals:
    """Decode totals from another process.

    Raises:
        TypeError: A field has the wrong type.
        ValueError: There are too many or too few fields, or a field has an invalid value.
    """
    process, epoch, customer, plan, gateway_count, units, within_quota, started, finished, endpoint_id, work = message
    totals = UsageTotals(
        str(process),
        int(epoch),
        str(customer),
        str(plan),
        int(gateway_count),
        float(units),
        float(within_quota),
        int(started),
        int(finished),
        str(endpoint_id),
        float(work),
    )
    if not 0.0 <= totals.within_quota_units <= totals.units + MIN_UNITS < MAX_UNITS:
        raise MessageError(f"units or units within the quota are out of range in usage totals: {message!r:.80}")
    return totals


class CustomerTotals(Struct):
    """The totals of one process for one customer in one epoch; `UsageTotals` describes the fields."""

    customer: str
    plan: str
    gateway_count: int
    units: float = 0.0
    within_quota_units: float = 0.0
    started: int = 0
    finished: int = 0


class OpenAttempts(Struct, frozen=True):
    """A customer's attempts in flight.

    Attributes:
        plan: The name of the customer's plan.
        gateway_count: The number of gateways that share the quota.
        count: The number of attempts in flight, over all processes.
    """

    plan: str
    gateway_count: int
    count: int


class LedgerEpoch(Struct):
    """The usage of one process in one epoch, as far as this process is aware of it.

    Attributes:
        number: The number of the epoch, which increases with each epoch of the process.
        customers: The totals by customer.
        slow_start_work: The work spent from slow start budgets, in mean requests, by id of the warming endpoint.
    """

    number: int
    customers: dict[str, CustomerTotals] = field(default_factory=dict)
    slow_start_work: dict[str, float] = field(default_factory=dict)

    def is_full(self) -> bool:
        """Report whether further usage belongs to a new epoch."""
        return len(self.customers) + len(self.slow_start_work) >= MAX_EPOCH_ENTRIES

    def customer(self, name: str, plan: str, gateway_count: int) -> CustomerTotals:
        """Return the totals of a customer, creating them at 0 if the customer is new.

        `plan` and `gateway_count` are used only in that case.
        """
        totals = self.customers.get(name)
        if totals is None:
            totals = self.customers[name] = CustomerTotals(name, plan, gateway_count)
        return totals

    def totals(self, process: str, customer: CustomerTotals, endpoint_id: str = "") -> UsageTotals:
        """Return the totals of one customer, together with the slow start work of one endpoint, to be sent."""
        return UsageTotals(
            process,
            self.number,
            customer.customer,
            customer.plan,
            customer.gateway_count,
            customer.units,
            customer.within_quota_units,
            customer.started,
            customer.finished,
            endpoint_id,
            self.slow_start_work.get(endpoint_id, 0.0),
        )

    def all_totals(self, process: str) -> Iterator[UsageTotals]:
        """Yield all totals of the epoch, to be sent."""
        endpoints = iter(self.slow_start_work)
        last: CustomerTotals | None = None
        for customer in self.customers.values():
            yield self.totals(process, customer, next(endpoints, ""))
            last = customer
        if last is not None:  # there may be more endpoints than customers
            yield from (self.totals(process, last, endpoint_id) for endpoint_id in endpoints)


class UsageIncrease(Struct, frozen=True):
    """The amounts by which received totals exceed the known ones."""

    units: float
    within_quota_units: float
    started: int
    finished: int
    slow_start_work: float

    def is_empty(self) -> bool:
        """Report whether the received totals contain nothing new."""
        return not (self.units > MIN_UNITS or self.started or self.finished or self.slow_start_work)


class UsageLedger:
    """The totals of this process, and those that it has received from the others.

    Attributes:
        name: The name of this process.
        epochs: The retained epochs by process, the oldest first.
        carried: The numbers of attempts still open when their epoch was dropped, by process and customer.
        ended: The names of ended processes; all their attempts count as finished, even if more are reported later.
        sent_count: The number of messages created.
        received_count: The number of messages received.
        duplicate_count: The number of received messages that contained nothing new.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.epochs: dict[str, list[LedgerEpoch]] = {}
        self.carried: dict[str, dict[str, int]] = {}
        self.ended: set[str] = set()
        self.sent_count = 0
        self.received_count = 0
        self.duplicate_count = 0

    def _local_epoch(self) -> LedgerEpoch:
        """Return the epoch to which the next usage of this process belongs."""
        epochs = self.epochs.setdefault(self.name, [LedgerEpoch(0)])
        return self._begin_epoch(self.name, epochs[-1].number + 1) if epochs[-1].is_full() else epochs[-1]

    def _begin_epoch(self, name: str, number: int) -> LedgerEpoch:
        """Begin an epoch and drop old ones, carrying over their open attempts, which finish in a later epoch."""
        epochs = self.epochs.setdefault(name, [])
        epochs.append(LedgerEpoch(number))
        for dropped in epochs[:-RETAINED_EPOCHS_PER_PROCESS]:
            carried = self.carried.setdefault(name, {})
            for customer in dropped.customers.values():
                count = carried.pop(customer.customer, 0) + customer.started - customer.finished
                if count:
                    carried[customer.customer] = count
        del epochs[:-RETAINED_EPOCHS_PER_PROCESS]
        return epochs[-1]

    def record(self, usage: QuotaUsage) -> UsageTotals:
        """Count usage of this process.

        Returns:
            The totals to send to the other processes.
        """
        epoch = self._local_epoch()
        customer = epoch.customer(usage.customer, usage.plan, usage.gateway_count)
        customer.plan = usage.plan
        customer.gateway_count = usage.gateway_count
        customer.units += usage.units
        customer.within_quota_units += usage.units if usage.within_quota else 0.0
        customer.started += max(0, usage.attempts_delta)
        customer.finished += max(0, -usage.attempts_delta)
        endpoint_id = usage.endpoint_id if usage.slow_start_work else ""
        if usage.slow_start_work:
            work = epoch.slow_start_work
            work[endpoint_id] = work.get(endpoint_id, 0.0) + usage.slow_start_work
        self.sent_count += 1
        return epoch.totals(self.name, customer, endpoint_id)

    def receive(self, totals: UsageTotals) -> list[QuotaUsage]:
        """Count totals received from another process.

        Returns:
            The usage that is new in them, to be subtracted from the local buckets.
        """
        self.received_count += 1
        epoch = None if totals.process == self.name else self._epoch_of(totals.process, totals.epoch)
        if epoch is None:
            self.duplicate_count += 1
            return []
        increase = self._apply(epoch, totals)
        if increase.is_empty():
            self.duplicate_count += 1
            return []
        return self._to_events(totals, increase)

    def _apply(self, epoch: LedgerEpoch, totals: UsageTotals) -> UsageIncrease:
        """Raise the known totals to the received ones; return the difference."""
        customer = epoch.customer(totals.customer, totals.plan, totals.gateway_count)
        known_work = epoch.slow_start_work.get(totals.endpoint_id, 0.0)
        increase = UsageIncrease(
            units=max(0.0, totals.units - customer.units),
            within_quota_units=max(0.0, totals.within_quota_units - customer.within_quota_units),
            started=max(0, totals.attempts_started - customer.started),
            finished=max(0, totals.attempts_finished - customer.finished),
            slow_start_work=max(0.0, totals.slow_start_work - known_work) if totals.endpoint_id else 0.0,
        )
        if increase.is_empty():
            return increase
        customer.plan = totals.plan
        customer.gateway_count = totals.gateway_count
        customer.units += increase.units
        customer.within_quota_units += increase.within_quota_units
        customer.started += increase.started
        customer.finished += increase.finished
        if increase.slow_start_work:
            epoch.slow_start_work[totals.endpoint_id] = known_work + increase.slow_start_work
        return increase

    def _to_events(self, totals: UsageTotals, increase: UsageIncrease) -> list[QuotaUsage]:
        """Convert an increase to events: one for units within the quota, and one for units beyond it.

        Each is left out if it has no units, but there is at least one. The first event also carries the change of the
        attempts in flight and the slow start work.
        """
        attempts_delta = 0 if totals.process in self.ended else increase.started - increase.finished
        within_quota_units = increase.within_quota_units
        over_quota_units = increase.units - within_quota_units
        parts = [(within_quota_units, True)] if within_quota_units > MIN_UNITS else []
        if over_quota_units > MIN_UNITS or not parts:
            parts.append((max(0.0, over_quota_units), False))
        (first_units, first_within), *others = parts
        usages = [
            QuotaUsage(
                totals.customer,
                totals.plan,
                totals.gateway_count,
                first_units,
                first_within,
                attempts_delta,
                totals.endpoint_id,
                increase.slow_start_work,
            )
        ]
        usages += (
            QuotaUsage(totals.customer, totals.plan, totals.gateway_count, units, within_quota)
            for units, within_quota in others
        )
        return usages

    def _epoch_of(self, name: str, number: int) -> LedgerEpoch | None:
        """Return an epoch of another process, beginning it if it is new; None if it is no longer retained."""
        epochs = self.epochs.setdefault(name, [])
        for epoch in epochs:
            if epoch.number == number:
                return epoch
        return None if epochs and number < epochs[-1].number else self._begin_epoch(name, number)

    def all_totals(self) -> Iterator[UsageTotals]:
        """Yield all totals of all processes, for a new link or for a process that takes over."""
        for name, epochs in self.epochs.items():
            for epoch in epochs:
                yield from epoch.all_totals(name)

    def open_attempts(self, name: str) -> dict[str, int]:
        """Return the nonzero numbers of attempts that a process has in flight, by customer."""
        counts = dict(self.carried.get(name, {}))
        for epoch in self.epochs.get(name, ()):
            for customer in epoch.customers.values():
                counts[customer.customer] = counts.get(customer.customer, 0) + customer.started - customer.finished
        return {customer: count for customer, count in counts.items() if count}

    def assign_uncounted_attempts(self, open_attempts: Mapping[str, OpenAttempts]) -> None:
        """Count attempts in flight that no process has counted yet as attempts of this process, before it hands over.

        Args:
            open_attempts: The attempts in flight over all processes, by customer.
        """
        counted: dict[str, int] = {}
        for name in self.epochs:
            if name not in self.ended:
                for customer, count in self.open_attempts(name).items():
                    counted[customer] = counted.get(customer, 0) + count
        for customer, attempts in open_attempts.items():
            missing = attempts.count - counted.get(customer, 0)
            if missing:
                totals = self._local_epoch().customer(customer, attempts.plan, attempts.gateway_count)
                totals.started += max(0, missing)
                totals.finished += max(0, -missing)

    def process_ended(self, name: str) -> list[QuotaUsage]:
        """Record the end of a process; return the events that finish its attempts in flight."""
        if name in self.ended:
            return []
        self.ended.add(name)
        latest = {
            customer.customer: customer for epoch in self.epochs.get(name, ()) for customer in epoch.customers.values()
        }
        return [
            QuotaUsage(customer, latest[customer].plan, latest[customer].gateway_count, attempts_delta=-count)
            for customer, count in self.open_attempts(name).items()
        ]

    def load(self, all_totals: Iterable[UsageTotals]) -> None:
        """Load the totals of the predecessor, which the buckets of the handover already include."""
        for totals in all_totals:
            self.receive(totals)
        self.received_count = 0
        self.duplicate_count = 0

    def clear(self) -> None:
        """Drop all totals. Used while there is no other process; the next one receives the current buckets anyway."""
        self.epochs.clear()
        self.carried.clear()
        self.ended.clear()
