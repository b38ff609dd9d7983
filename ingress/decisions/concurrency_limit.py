"""A customer's limit on attempts in flight, as enforced by one of the gateways that share it."""

from __future__ import annotations

from ingress.decisions.customer_context import NewCustomerContext
from ingress.decisions.token_bucket import SlicedBucket

CONCURRENCY_BUDGET_CAPACITY = 2.0  # in mean attempts: the one that each gateway may have in flight, and one more


class ConcurrencyBudget(SlicedBucket):
    """A token bucket that bounds the total time for which attempts are in flight, in units of a mean attempt.

    It is used if a gateway's share of the limit is less than one attempt.  Gateways that may each have one attempt in
    flight would exceed the limit together, so the bucket of each gateway fills at the rate of its share and drains
    while attempts are in flight.  Each call of `advance` therefore sets the rate again; it is negative while more
    attempts are in flight than the share.
    """

    def __init__(self, slice_limit: float, now: float, context: NewCustomerContext) -> None:
        """Create a full bucket, of which the part that the gateway's age has paid for is earned.

        Args:
            slice_limit: The mean number of attempts that this gateway may have in flight, between 0 and 1.
            now: The current time in seconds.
            context: The context of the new customer, with the gateway's age and the mean duration of an attempt.
        """
        earned = slice_limit * context.gateway_age / context.mean_attempt_duration
        capacity = CONCURRENCY_BUDGET_CAPACITY
        super().__init__(0.0, capacity, capacity, now, capacity - earned)
        self.slice_limit = slice_limit

    def advance(self, now: float, in_flight: int, mean_duration: float) -> None:
        """Account for the time since the last call.

        Must be called before the number of attempts in flight changes.

        Args:
            now: The current time in seconds.
            in_flight: The number of attempts in flight since the last call.
            mean_duration: The mean time in seconds for which an attempt is in flight.
        """
        self.rate = (self.slice_limit - in_flight) / mean_duration
        self.refill(now)
        self.level = max(0.0, self.level)


class ConcurrencyLimit:
    """A gateway's share of a customer's limit on attempts in flight, and the number of attempts in flight.

    Attributes:
        slice_limit: The customer's limit divided by the number of its gateways; 0 for no limit.
        max_in_flight: The number of attempts that may be in flight at once; at least 1, so that every gateway can
            serve the customer.
        in_flight: The number of attempts that this process has in flight.
        in_flight_elsewhere: The number of attempts that the other processes of this gateway have in flight.
        budget: The bound on the time of attempts in flight; None unless `slice_limit` is between 0 and 1.
    """

    def __init__(self, slice_limit: float, now: float, context: NewCustomerContext) -> None:
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.budget: ConcurrencyBudget | None = None
        self.resize(slice_limit, now, context)

    def resize(self, slice_limit: float, now: float, context: NewCustomerContext) -> None:
        """Apply another share of the limit."""
        self.slice_limit = slice_limit
        self.max_in_flight = max(1, int(slice_limit))
        if not 0.0 < slice_limit < 1.0:
            self.budget = None
        elif self.budget is None:
            self.budget = ConcurrencyBudget(slice_limit, now, context)
        else:
            self.budget.slice_limit = slice_limit

    def advance(self, now: float, mean_duration: float) -> None:
        """Account for the time since the last call.

        Must be called before the number of attempts in flight changes.
        """
        if self.budget is not None:
            self.budget.advance(now, self.in_flight + self.in_flight_elsewhere, mean_duration)

    def reached(self) -> bool:
        """Return whether no more attempts may be in flight.

        The budget must contain one mean attempt for each attempt in flight and for the next one, since all of them
        will spend it.
        """
        in_flight = self.in_flight + self.in_flight_elsewhere
        budget_spent = self.budget is not None and self.budget.level < in_flight + 1.0
        return bool(self.slice_limit) and (budget_spent or in_flight >= self.max_in_flight)

    def unearned_part(self) -> float:
        """Return the part of one more attempt, from 0 to 1, that only unearned budget can pay for."""
        if self.budget is None:
            return 0.0
        return min(1.0, self.budget.unearned_units(self.in_flight + self.in_flight_elsewhere + 1.0))

    def take(self) -> None:
        """Account for the unearned budget that one more attempt uses."""
        if self.budget is not None:
            remaining = self.budget.level - self.in_flight - self.in_flight_elsewhere - 1.0
            self.budget.unearned = max(0.0, min(self.budget.unearned, remaining))

    def budget_full(self) -> bool:
        """Return whether the budget restricts no attempt: there is none, or it is full."""
        return self.budget is None or self.budget.level >= CONCURRENCY_BUDGET_CAPACITY
