"""Leases of entries: their expiry, and its suspension when too many would expire together."""

from __future__ import annotations

from collections.abc import Iterable

# If more than this ratio of the leased entries expires within the longest lease, further ones are suspended.
MAX_EXPIRED_RATIO = 0.3
MAX_CHECK_GAP_S = 1.0  # A longer gap between two checks indicates CPU starvation.


class Leases:
    """Leases by entry id, in seconds of a monotonic clock; the owner calls `expire` at short intervals.

    Attributes:
        durations: The duration of each lease.
        expires_at: The time at which each lease ends.
        suspended: The suspended entries, with the time since which each is suspended.
        recent_expiries: The times of expiries within the duration of the longest lease.
        checked_at: The time of the last call of `expire`.
    """

    def __init__(self, now: float, durations: Iterable[tuple[str, float]] = ()) -> None:
        """Start each lease with its full duration, so that none ends through an outage of the service."""
        self.durations = dict(durations)
        self.expires_at = {name: now + duration for name, duration in self.durations.items()}
        self.suspended: dict[str, float] = {}
        self.recent_expiries: list[float] = []
        self.checked_at = now

    def grant(self, name: str, duration: float, now: float) -> None:
        """Grant an entry a lease of `duration` seconds, replacing its current lease."""
        self.durations[name] = duration
        self.expires_at[name] = now + duration
        self.suspended.pop(name, None)

    def renew(self, name: str, now: float) -> bool:
        """Restart the lease of an entry, and return whether it has one."""
        if name not in self.durations:
            return False
        self.grant(name, self.durations[name], now)
        return True

    def remove(self, name: str) -> None:
        """Remove the lease of an entry, if it has one."""
        for values_by_name in (self.durations, self.expires_at, self.suspended):
            values_by_name.pop(name, None)

    def expire(self, now: float) -> list[str]:
        """Return the entries whose lease has ended and that must be removed now."""
        if now - self.checked_at > MAX_CHECK_GAP_S:
            # Guards against CPU starvation, in which no renewals are received.
            self.expires_at = {name: now + duration for name, duration in self.durations.items()}
        self.checked_at = now
        expired = [name for name, end in self.expires_at.items() if end <= now and name not in self.suspended]
        longest = max(self.durations.values(), default=0.0)
        self.recent_expiries = [at for at in self.recent_expiries if now - at < longest]
        total = len(self.durations) + len(self.recent_expiries)
        missing = len(expired) + len(self.recent_expiries) + len(self.suspended)
        if expired and missing > max(1.0, MAX_EXPIRED_RATIO * total):
            # Guards against a fault of the network or of this service that would empty the list.
            self.suspended.update(dict.fromkeys(expired, now))
            return []
        self.recent_expiries += [now] * len(expired)
        return expired

    def suspended_oldest_first(self) -> list[str]:
        """Return the suspended entries, which an operator may release for removal."""
        return sorted(self.suspended, key=lambda name: self.suspended[name])
