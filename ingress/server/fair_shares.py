"""Fair shares: limits how many connections the clients of one address may have open."""

from __future__ import annotations

CONTENDED_SHARE = 0.5  # While fewer connections than this share of the limit are open, no address is limited.


class ConnectionShares:
    """Counts connections by the address of the peer.

    Once half of the limit is in use, an address may have an even share of the limit open. It may always have
    `guaranteed` connections: clients are entitled to these, and all of them may come from one address.

    Attributes:
        max_connections: The limit over all addresses.
        guaranteed: The number of connections that any one address may always have open.
        by_address: The number of connections of each address that has any.
        total: The number of connections of all addresses.
    """

    def __init__(self, max_connections: int, guaranteed: int) -> None:
        self.max_connections = max_connections
        self.guaranteed = guaranteed
        self.by_address: dict[str, int] = {}
        self.total = 0

    def add(self, address: str) -> None:
        """Count a new connection."""
        self.by_address[address] = self.by_address.get(address, 0) + 1
        self.total += 1

    def remove(self, address: str) -> None:
        """Count a connection as closed."""
        self.total -= 1
        remaining = self.by_address[address] - 1
        if remaining:
            self.by_address[address] = remaining
        else:
            del self.by_address[address]

    def limit_per_address(self) -> int:
        """Return how many connections one address may have open while connections are contended."""
        return max(self.guaranteed, self.max_connections // max(1, len(self.by_address)))

    def is_within_share(self, address: str) -> bool:
        """Report whether an address has no more connections open than its share."""
        return self.by_address.get(address, 0) <= self.limit_per_address()

    def can_accept(self, address: str) -> bool:
        """Report whether one more connection from an address may be accepted."""
        if self.total < CONTENDED_SHARE * self.max_connections:
            return True
        return self.by_address.get(address, 0) < self.limit_per_address()
