"""Discovery in simulated time: the endpoint list, which is late, and its delivery to the gateways, which is later."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.events import EndpointListKind, EndpointsChanged
from ingress.emulator.experiment import DiscoveryDelays
from ingress.emulator.kernel import Clock, RandomStream

VERSION_INTERVAL_S = 0.2  # s within which changes make one version


class Listener(Protocol):
    """A gateway, as discovery sees it."""

    def endpoints_changed(self, event: EndpointsChanged) -> None:
        """A message of discovery arrives."""


class DiscoveryModel:
    """What discovery has published, and its delivery to each gateway.

    Attributes:
        entries: the endpoint list.
        version: of it.
        down_until: until then discovery is down (s).
        listeners: all gateways, by number.
    """

    def __init__(self, kernel: Clock, spec: DiscoveryDelays, draws: RandomStream, entries: Iterable[Endpoint]) -> None:
        self.kernel = kernel
        self.spec = spec
        self.random = draws
        self.entries = {entry.id: entry for entry in entries}
        self.version = 1
        self.down_until = 0.0
        self.listeners: list[Listener] = []
        self._pending_entries: dict[str, Endpoint] = {}  # changes since the last version
        self._last_delivery: dict[int, float] = {}  # when the last message reaches each: they come in order

    def schedule_update(self, delay: tuple[float, float], entry: Endpoint, is_valid: Callable[[], bool]) -> None:
        """Publishes an entry after a delay from a range (s), if it is valid by then."""
        self.kernel.after(self.random.uniform(*delay), self._publish, entry, is_valid)

    def _publish(self, entry: Endpoint, is_valid: Callable[[], bool]) -> None:
        if self.kernel.now < self.down_until:
            self.kernel.at(self.down_until, self._publish, entry, is_valid)
            return
        if not is_valid():
            return
        if not self._pending_entries:
            self.kernel.after(VERSION_INTERVAL_S, self._flush)
        self._pending_entries[entry.id] = entry

    def _flush(self) -> None:
        changes = tuple(self._pending_entries.values())
        self._pending_entries = {}
        self.version += 1
        for entry in changes:
            if entry.readiness is Readiness.REMOVED:
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
        for number, listener in enumerate(self.listeners):
            self._deliver(number, listener, EndpointsChanged(EndpointListKind.UPDATE, changes, self.version))

    def request_list(self, number: int, listener: Listener) -> None:
        """A gateway that has started gets the full list, once discovery is up."""
        if self.kernel.now < self.down_until:
            self.kernel.at(self.down_until, self.request_list, number, listener)
            return
        self._deliver(
            number, listener, EndpointsChanged(EndpointListKind.REPLACE, tuple(self.entries.values()), self.version)
        )

    def _deliver(self, number: int, listener: Listener, event: EndpointsChanged) -> None:
        when = max(
            self._last_delivery.get(number, 0.0), self.kernel.now + self.random.uniform(0.0, self.spec.spread_ms / 1000)
        )
        self._last_delivery[number] = when
        self.kernel.at(when, listener.endpoints_changed, event)
