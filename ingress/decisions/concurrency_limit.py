"""A customer's limit on attempts in flight, as one of the gateways that share it enforces it."""

from __future__ import annotations

from ingress.decisions.customer_context import NewCustomerContext
from ingress.decisions.token_bucket import SlicedBucket

CONCURRENCY_BUDGET_CAPACITY = 2.0  # mean attempts: the one that each gateway may have in flight, and one beside it


class ConcurrencyBudget(SlicedBucket):
    """Bounds the time that attempts are in flight, in mean attempts.

    Used where a gateway's share of the limit is less than one attempt: gateways that may each have one in flight
    would exceed the limit together, so each fills a bucket at its share and spends it while attempts are in flight.
    The rate is therefore set anew with each call of `advance`, below 0 while more are in flight than the share.
    """

    def __init__(self, slice_limit: float, now: float, context: NewCustomerContext) -> None:
        """Start full; the gateway's age has paid for a part of it.

        Args:
            slice_limit: attempts that this gateway may have in flight on the mean, between 0 and 1.
            now: s.
            context: tells the gateway's age and the mean duration of an attempt.
        """
        earned = slice_limit * context.gateway_age / context.mean_attempt_duration
        capacity = CONCURRENCY_BUDGET_CAPACITY
        super().__init__(0.0, capacity, capacity, now, capacity - earned)
        self.slice_limit = slice_limit

    def advance(self, now: float, in_flight: int, mean_duration: float) -> None:
        """Account for the time since the last call; to be called before the number in flight changes.

        Args:
            now: s.
            in_flight: attempts in flight since the last call.
            mean_duration: s that an attempt is in flight on the mean.
        """
        self.rate = (self.slice_limit - in_flight) / mean_duration
        self.refill(now)
        self.level = max(0.0, self.level)


class ConcurrencyLimit:
    """A gateway's share of a customer's limit on attempts in flight, and how many there are.

    Attributes:
        slice_limit: attempts, the customer's limit divided by its gateways; 0 for no limit.
        max_in_flight: attempts that may be in flight at once; at least one, so that every gateway can serve.
        in_flight: attempts that this process has in flight.
        in_flight_elsewhere: those of the other processes of this gateway.
        budget: the bound on their time, where `slice_limit` is less than one.
    """

    def __init__(self, slice_limit: float, now: float, context: NewCustomerContext) -> None:
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.budget: ConcurrencyBudget | None = None
        self.resize(slice_limit, now, context)

    def resize(self, slice_limit: float, now: float, context: NewCustomerContext) -> None:
        """Go on with another slice of the limit."""
        self.slice_limit = slice_limit
        self.max_in_flight = max(1, int(slice_limit))
        if not 0.0 < slice_limit < 1.0:
            self.budget = None
        elif self.budget is None:
            self.budget = ConcurrencyBudget(slice_limit, now, context)
        else:
            self.budget.slice_limit = slice_limit

    def advance(self, now: float, mean_duration: float) -> None:
        """Account for the time since the last call; to be called before the number in flight changes."""
        if self.budget is not None:
            self.budget.advance(now, self.in_flight + self.in_flight_elsewhere, mean_duration)

    def reached(self) -> bool:
        """Tell whether no more attempts may be in flight.

        The budget has to hold a mean attempt for each one in flight and for the next, since all of them will spend it.
        """
        in_flight = self.in_flight + self.in_flight_elsewhere
        budget_spent = self.budget is not None and self.budget.level < in_flight + 1.0
        return bool(self.slice_limit) and (budget_spent or in_flight >= self.max_in_flight)

    def unearned_part(self) -> float:
        """Return the part, 0 to 1, of one more attempt for which there is only unearned budget."""
        if self.budget is None:
            return 0.0
        return min(1.0, self.budget.unearned_units(self.in_flight + self.in_flight_elsewhere + 1.0))

    def take(self) -> None:
        """Use unearned budget for one more attempt."""
        if self.budget is not None:
            left = self.budget.level - self.in_flight - self.in_flight_elsewhere - 1.0
            self.budget.unearned = max(0.0, min(self.budget.unearned, left))

    def budget_full(self) -> bool:
        """Tell whether the bound on time holds nobody back."""
        return self.budget is None or self.budget.level >= CONCURRENCY_BUDGET_CAPACITY
