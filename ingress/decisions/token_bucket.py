"""Token buckets: the arithmetic behind every quota, ceiling and budget.  Times are in seconds."""

from __future__ import annotations

ROUNDING_TOLERANCE_UNITS = 1e-9


class TokenBucket:
    """A token bucket that fills at `rate` units per second up to `capacity` units.

    Attributes:
        rate: The refill rate in units per second.
        capacity: The units in a full bucket.
        level: The units in the bucket at `updated_at`.
        deficit: The units that were spent and have not refilled yet; may exceed the capacity after that was reduced.
        updated_at: The time for which `level` and `deficit` were computed.
    """

    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.updated_at = now
        self.deficit = max(0.0, capacity - level)

    def refill(self, now: float, capacity: float | None = None) -> None:
        """Add the units refilled since the last call, up to `capacity` (by default that of the bucket)."""
        if capacity is None:
            capacity = self.capacity
        refilled = self.rate * (now - self.updated_at)
        self.level = min(max(capacity, self.level), self.level + refilled)
        self.deficit = max(0.0, self.deficit - refilled)
        self.updated_at = now

    def fits(self, now: float, units: float, capacity: float | None = None) -> bool:
        """Refill up to `capacity` (by default that of the bucket), and return whether it then contains `units`."""
        self.refill(now, capacity)
        return self.level >= units - ROUNDING_TOLERANCE_UNITS

    def take(self, units: float) -> None:
        """Spend `units`, whether or not the bucket contains them."""
        self.level -= units
        self.deficit += units

    def resize(self, now: float, rate: float, capacity: float) -> None:
        """Apply another rate and capacity.

        Spent units stay spent: otherwise changing the capacity back and forth would grant a new burst each time.  Where
        the new capacity is less than the deficit, the bucket keeps its level up to that capacity, so that the customer
        is not locked out.
        """
        self.refill(now)
        if (rate, capacity) != (self.rate, self.capacity):
            self.rate = rate
            self.capacity = capacity
            self.level = capacity - self.deficit if self.deficit <= capacity else min(self.level, capacity)


class SlicedBucket(TokenBucket):
    """One gateway's slice of a limit, with burst headroom beyond its even share.

    In a gateway that has just started, no refill has paid for that headroom yet.  As every gateway has such headroom,
    all of them together would grant the limit many times over; therefore the unearned units are counted.

    Attributes:
        unearned: The units of the level that no refill has paid for yet.
    """

    def __init__(self, rate: float, capacity: float, level: float, now: float, unearned: float) -> None:
        super().__init__(rate, capacity, level, now)
        self.unearned = min(max(0.0, unearned), level)

    def refill(self, now: float, capacity: float | None = None) -> None:
        """Refill the bucket; units that overflow a full bucket pay for unearned units."""
        if self.unearned > 0.0:
            full = max(self.level, self.capacity if capacity is None else capacity)
            overflow = max(0.0, self.level + self.rate * (now - self.updated_at) - full)
            self.unearned = max(0.0, self.unearned - overflow)
        super().refill(now, capacity)

    def unearned_units(self, units: float) -> float:
        """Return how many of `units` would come from the unearned units."""
        return min(units, self.unearned, max(0.0, units + self.unearned - self.level))
