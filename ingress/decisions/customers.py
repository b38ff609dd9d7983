"""The quotas of all customers of one gateway, and an upper bound on the usage of customers not seen yet."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from math import inf

from ingress.decisions.cluster import Cluster
from ingress.decisions.customer_context import NewCustomerContext
from ingress.decisions.handover_state import CustomerState, QuotaUsage
from ingress.decisions.quota import CustomerQuota
from ingress.decisions.settings import Plan, Settings
from ingress.decisions.token_bucket import TokenBucket

DROP_CANDIDATES = 16  # customers that are looked at to make room for a new one


class CustomerQuotas:
    """The quotas of the customers seen recently, the one seen least recently first.

    Attributes:
        max_customers: The maximum number of customers that are tracked; None for no maximum.
        plans: The plans, by name.
        by_name: The quotas of the customers, by customer id.
        unseen_ceilings: The ceiling bucket of a customer not seen yet, over all gateways, by plan name.
        started_at: The time in seconds when this gateway started, in whichever process; None before its first event.
        usage_known_since: The time in seconds before which usage is unknown.  None if all usage is known, and also if
            there is no source for it (neither a predecessor nor a checkpoint): then each customer gets a new burst.
    """

    def __init__(self, settings: Settings, cluster: Cluster) -> None:
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_name: dict[str, CustomerQuota] = {}
        self.max_customers: int | None = None
        self.unseen_ceilings: dict[str, TokenBucket] = {}
        self.started_at: float | None = None
        self.usage_known_since: float | None = None
        self._max_request_units = settings.max_request_units
        self._cluster = cluster

    def start(self, now: float, started_at: float) -> None:
        """Start at `now` for a gateway that has existed since `started_at`.

        The ceilings of unseen customers fill from empty: a process that crashed may have spent them just before.
        """
        self.started_at = started_at
        age = now - started_at
        for plan in self.plans.values():
            level = min(plan.ceiling_burst, plan.ceiling_rate * age)
            self.unseen_ceilings[plan.name] = TokenBucket(plan.ceiling_rate, plan.ceiling_burst, level, now)

    def gateway_age(self, now: float) -> float:
        """Return the seconds since this gateway started."""
        return 0.0 if self.started_at is None else now - self.started_at

    def unseen_ceiling_level(self, now: float, plan: str) -> float:
        """Return the units in the ceiling bucket of an unseen customer, over all gateways."""
        ceiling = self.unseen_ceilings[plan]
        ceiling.refill(now)
        return ceiling.level

    def get(self, now: float, name: str, plan: Plan, gateway_count: int) -> CustomerQuota:
        """Return the quota of a customer; create it if the customer is unknown or had another plan.

        Args:
            now: The current time in seconds.
            name: The id of the customer.
            plan: The plan of the customer.
            gateway_count: The number of gateways that share the quota.
        """
        gateway_count = max(1, gateway_count)
        customer = self.by_name.get(name)
        if customer is not None and customer.gateway_count != gateway_count:
            customer.change_gateway_count(now, gateway_count)
        if customer is None or customer.plan is not plan:
            customer = CustomerQuota(name, plan, gateway_count, now, self._new_customer_context(now, plan))
            self.by_name[name] = customer
        elif self.max_customers is not None:
            del self.by_name[name]  # so that it is the last one again
            self.by_name[name] = customer
        customer.last_seen_at = now
        return customer

    def has_room(self, now: float, name: str) -> bool:
        """Return whether a customer is tracked already or may be, after others that no limit restricts are dropped.

        One that no limit restricts equals a newly created one. Of the others, nothing may be forgotten: their units
        would be granted twice.
        """
        if self.max_customers is None or name in self.by_name or len(self.by_name) < self.max_customers:
            return True
        for other_name in list(islice(self.by_name, DROP_CANDIDATES)):
            other = self.by_name.pop(other_name)
            if not other.may_be_dropped(now):
                self.by_name[other_name] = other  # the next ones are tried before this one is tried again
        return len(self.by_name) < self.max_customers

    def _new_customer_context(self, now: float, plan: Plan) -> NewCustomerContext:
        return NewCustomerContext(
            ceiling_level=self.unseen_ceiling_level(now, plan.name),
            time_without_usage=inf if self.usage_known_since is None else now - self.usage_known_since,
            gateway_age=self.gateway_age(now),
            mean_attempt_duration=self._cluster.latencies.mean_attempt_duration(),
            max_request_units=self._max_request_units,
        )

    def advance_concurrency(self, now: float, customer: CustomerQuota) -> None:
        """Account for the time that attempts have been in flight; must be called before their number changes."""
        if customer.concurrency.budget is not None:  # avoids computing the mean duration needlessly
            customer.concurrency.advance(now, self._cluster.latencies.mean_attempt_duration())

    def apply_settings(self, now: float, settings: Settings) -> None:
        """Apply new settings, of which the plans and the size of the largest request are used.

        A removed plan admits no new requests.  The deficits of its customers are kept until they have refilled, because
        the plan may be added again.
        """
        self.plans = {plan.name: plan for plan in settings.plans}
        self._max_request_units = settings.max_request_units
        self.unseen_ceilings = {plan.name: self._changed_ceiling(now, plan) for plan in settings.plans}
        for customer in self.by_name.values():
            if customer.plan.name in self.plans:
                customer.change_plan(now, self.plans[customer.plan.name], settings.max_request_units)

    def _changed_ceiling(self, now: float, plan: Plan) -> TokenBucket:
        ceiling = self.unseen_ceilings.get(plan.name)
        if ceiling is None or not ceiling.rate:  # usage has not been counted against it until now
            return TokenBucket(plan.ceiling_rate, plan.ceiling_burst, 0.0, now)
        ceiling.resize(now, plan.ceiling_rate, plan.ceiling_burst)
        return ceiling

    def remove_idle(self, now: float) -> None:
        """Drop the idle customers whose quota equals that of a newly created one."""
        for name in [name for name, customer in self.by_name.items() if customer.is_idle(now)]:
            del self.by_name[name]

    def states(self, now: float, names: Iterable[str]) -> list[CustomerState]:
        """Return the states of the customers among `names` that any limit restricts; the others equal new ones."""
        found = (self.by_name.get(name) for name in names)
        return [customer.state(now) for customer in found if customer is not None and not customer.is_unrestricted(now)]

    def restore(self, now: float, known: CustomerState) -> None:
        """Restore a customer from the predecessor or a checkpoint; skip one whose plan was removed."""
        if known.plan not in self.plans:
            return
        customer = self.get(now, known.customer, self.plans[known.plan], known.gateway_count)
        quota = customer.slice
        ceiling = customer.ceiling
        quota.level = known.slice_level
        quota.deficit = max(known.slice_deficit, quota.capacity - known.slice_level)
        ceiling.level = known.ceiling_level
        ceiling.deficit = max(known.ceiling_deficit, ceiling.capacity - known.ceiling_level)
        customer.concurrency.in_flight_elsewhere = known.open_attempts
        if known.open_attempts and customer.concurrency.budget is not None:
            customer.concurrency.budget.level = 0.0  # the remaining budget is not part of the state

    def restore_unseen_ceiling(self, plan: str, level: float) -> None:
        """Restore the ceiling level of an unseen customer from the predecessor or a checkpoint."""
        if ceiling := self.unseen_ceilings.get(plan):
            ceiling.level = min(level, ceiling.capacity)
            ceiling.deficit = max(0.0, ceiling.capacity - level)

    def record_usage(self, now: float, usage: QuotaUsage) -> None:
        """Spend what another process of this gateway has spent; otherwise both would grant the same units."""
        customer = self.get(now, usage.customer, self.plans[usage.plan], usage.gateway_count)
        self.advance_concurrency(now, customer)
        concurrency = customer.concurrency
        concurrency.in_flight_elsewhere = max(0, concurrency.in_flight_elsewhere + usage.attempts_delta)
        if not usage.units:
            return
        customer.slice.refill(now)
        customer.ceiling.refill(now)
        if customer.plan.ceiling_rate:
            customer.ceiling.take(usage.units)
        if usage.within_quota:
            customer.take(usage.units)
