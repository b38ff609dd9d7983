"""The configured shared counter, whose client can be added, moved and removed while the process runs."""

from __future__ import annotations

from collections.abc import Callable

from ingress.decisions.events import CounterReply
from ingress.runtime.clock import Clock
from ingress.runtime.sockets import Address
from ingress.upstream.counter_client import CounterClient


class SharedCounter:
    """Owns the client of the counter; `client` is None while no counter is configured."""

    def __init__(self, clock: Clock, on_reply: Callable[[CounterReply], None]) -> None:
        self.clock = clock
        self.on_reply = on_reply
        self.client: CounterClient | None = None

    def prepare(self, address: Address | None, timeout: float) -> CounterClient | None:
        """Return a new client if one has to be added, otherwise None; change nothing."""
        if address is None or self.client is not None:
            return None
        return CounterClient(address, timeout, self.clock, self.on_reply)

    def commit(self, prepared: CounterClient | None, address: Address | None, timeout: float) -> None:
        """Add the prepared client, or move or remove the current one."""
        if address is None:
            self.close()
        elif self.client is None:
            self.client = prepared
        else:
            self.client.timeout = timeout
            self.client.change_address(address)

    def close(self) -> None:
        """Close and remove the client."""
        client = self.client
        self.client = None
        if client is not None:
            client.close()
