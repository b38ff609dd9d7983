"""The quota of one customer at one gateway: the sliced token bucket described in docs/design.md.

A slice has an even share of the quota and additional burst headroom.  `overage_budget` limits the use of that headroom
over all gateways.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct

from ingress.decisions.concurrency_limit import ConcurrencyLimit
from ingress.decisions.customer_context import NewCustomerContext
from ingress.decisions.handover_state import CustomerState
from ingress.decisions.settings import Plan
from ingress.decisions.token_bucket import SlicedBucket, TokenBucket

CUSTOMER_IDLE_TIMEOUT_S = 60.0  # after this long without a request, a customer with full buckets is dropped
# The minimum capacity of a slice, in requests of the largest size, for plans where serving a request beyond the quota
# costs less than the request is worth.
MIN_SLICE_REQUESTS = 2.0


class BucketSize(Struct, frozen=True):
    """The size of a token bucket: its rate in units per second and its capacity in units."""

    rate: float
    capacity: float


class CustomerQuota:
    """The limits of one customer: its slices of the quota and of the ceiling, and its limit on attempts in flight.

    Attributes:
        name: The id of the customer.
        plan: The plan of the customer.
        gateway_count: The number of gateways that share the quota evenly.
        last_seen_at: The time in seconds of the last request.
        max_request_units: The units of the largest request.
        slice: The bucket of units that this gateway grants within the quota.
        ceiling: The bucket of units that this gateway never exceeds.
        concurrency: The attempts in flight and their limit.
    """

    def __init__(self, name: str, plan: Plan, gateway_count: int, now: float, context: NewCustomerContext) -> None:
        """Start with the units that refill has paid for since the gateway started, and with unearned burst headroom."""
        self.name = name
        self.plan = plan
        self.gateway_count = gateway_count
        self.last_seen_at = now
        self.max_request_units = context.max_request_units
        size = self.slice_size()
        rate = size.rate
        burst = size.capacity
        earned = plan.burst / gateway_count + rate * context.gateway_age
        level = burst
        unearned = 0.0
        if rate:
            with_headroom = earned + self.max_request_units  # one largest request that no refill has paid for
            refilled = rate * context.time_without_usage  # all that remains if everything before was spent
            level = min(burst, with_headroom, refilled)
            unearned = level - earned
        self.slice = SlicedBucket(rate, burst, level, now, unearned)
        ceiling_rate = plan.ceiling_rate / gateway_count
        ceiling_burst = plan.ceiling_burst / gateway_count
        self.ceiling = TokenBucket(ceiling_rate, ceiling_burst, context.ceiling_level / gateway_count, now)
        self.concurrency = ConcurrencyLimit(plan.concurrency_limit / gateway_count, now, context)

    def slice_size(self) -> BucketSize:
        """Return the size of the slice.

        The capacity is an even share of the burst plus one request of the largest size, and at least two such requests
        where forwarding one beyond the quota costs less than rejecting one within it.  Requests arrive in bursts and
        unevenly over the gateways: a capacity of fewer than a few requests would reject customers that are well within
        their quota.
        """
        plan = self.plan
        minimum = MIN_SLICE_REQUESTS * self.max_request_units if plan.over_quota_cost < 1.0 else 0.0
        capacity = min(plan.burst, max(plan.burst / self.gateway_count + self.max_request_units, minimum))
        return BucketSize(plan.rate / self.gateway_count, capacity)

    def change_gateway_count(self, now: float, gateway_count: int) -> None:
        """Share the quota with another number of gateways.

        The buckets keep their levels: new buckets would let the customer exceed its ceiling.
        """
        for bucket in (self.slice, self.ceiling):
            bucket.refill(now)
            bucket.deficit = inf  # so that a larger capacity does not raise the level
        self.gateway_count = gateway_count
        self._resize(now)
        for bucket in (self.slice, self.ceiling):
            bucket.deficit = max(0.0, bucket.capacity - bucket.level)

    def change_plan(self, now: float, plan: Plan, max_request_units: float) -> None:
        """Apply another plan; a new ceiling starts empty, because usage has not been counted against it until now."""
        had_ceiling = self.plan.ceiling_rate > 0
        self.plan = plan
        self.max_request_units = max_request_units
        self._resize(now)
        if not had_ceiling:
            self.ceiling.level = 0.0
            self.ceiling.deficit = self.ceiling.capacity

    def _resize(self, now: float) -> None:
        plan = self.plan
        count = self.gateway_count
        size = self.slice_size()
        self.slice.resize(now, size.rate, size.capacity)
        self.ceiling.resize(now, plan.ceiling_rate / count, plan.ceiling_burst / count)
        self.concurrency.resize(plan.concurrency_limit / count, now, NewCustomerContext())

    def slice_fits(self, now: float, units: float) -> bool:
        """Return whether the slice contains `units`; it may fill beyond its capacity for a larger request."""
        return self.slice.fits(now, units, max(self.slice.capacity, units))

    def unearned_ratio(self, units: float) -> float:
        """Return the share, 0 to 1, of a request of `units` that only unearned units or concurrency can cover."""
        slice_ratio = self.slice.unearned_units(units) / units if self.plan.rate else 0.0
        return max(slice_ratio, self.concurrency.unearned_part())

    def take(self, units: float) -> None:
        """Take the units of a request within the quota from the slice."""
        unearned = self.slice.unearned - self.slice.unearned_units(units)
        self.slice.level = max(0.0, self.slice.level - units)
        self.slice.deficit += units
        self.slice.unearned = min(unearned, self.slice.level)
        self.concurrency.take()

    def settle(self, units: float) -> None:
        """Correct the slice by the difference between actual and estimated units; a negative difference is refunded."""
        self.slice.level = min(max(self.slice.capacity, self.slice.level), self.slice.level - units)
        self.slice.deficit = max(0.0, self.slice.deficit + units)

    def is_unrestricted(self, now: float) -> bool:
        """Return whether no bucket restricts the customer, so that a newly created one would be equal to it."""
        slice_full = not self.plan.rate or self.slice.fits(now, self.slice.capacity)
        return slice_full and self.concurrency.budget_full() and self.ceiling.fits(now, self.ceiling.capacity)

    def is_idle(self, now: float) -> bool:
        """Return whether the customer is idle and unrestricted, so that it can be dropped."""
        return now - self.last_seen_at > CUSTOMER_IDLE_TIMEOUT_S and self.may_be_dropped(now)

    def may_be_dropped(self, now: float) -> bool:
        """Return whether the customer has no attempt in flight and is unrestricted."""
        concurrency = self.concurrency
        return not (concurrency.in_flight or concurrency.in_flight_elsewhere) and self.is_unrestricted(now)

    def state(self, now: float) -> CustomerState:
        """Return the state that another process of this gateway needs to continue."""
        self.slice.refill(now)
        self.ceiling.refill(now)
        return CustomerState(
            self.name,
            self.plan.name,
            self.gateway_count,
            self.slice.level,
            self.ceiling.level,
            self.concurrency.in_flight + self.concurrency.in_flight_elsewhere,
            self.slice.deficit,
            self.ceiling.deficit,
        )
