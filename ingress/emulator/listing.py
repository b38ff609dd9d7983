"""Simulated discovery: the delayed updates of the endpoint list, and their delayed delivery to the gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.events import EndpointListKind, EndpointsChanged
from ingress.emulator.experiment import DiscoveryDelays
from ingress.emulator.kernel import Clock, RandomStream

VERSION_INTERVAL_S = 0.2  # Changes within this time are published as one version.


class Listener(Protocol):
    """The interface through which a gateway receives endpoint list messages."""

    def endpoints_changed(self, event: EndpointsChanged) -> None:
        """Receive a version of the endpoint list, or the changes since the previous version."""


class DiscoveryModel:
    """The published endpoint list, and its delivery to each gateway.

    Attributes:
        kernel: The clock.
        spec: The delays of discovery in the experiment.
        random: The random stream of the delays.
        entries: The published endpoint list, by endpoint.
        version: The version of the published list.
        down_until: When discovery is available again (s).
        listeners: The gateways, by number.
    """

    def __init__(self, kernel: Clock, spec: DiscoveryDelays, random: RandomStream, entries: Iterable[Endpoint]) -> None:
        self.kernel = kernel
        self.spec = spec
        self.random = random
        self.entries = {entry.id: entry for entry in entries}
        self.version = 1
        self.down_until = 0.0
        self.listeners: list[Listener] = []
        self._pending_entries: dict[str, Endpoint] = {}  # Changes since the latest version.
        # When the latest message reaches each gateway; messages are delivered in order.
        self._last_delivery: dict[int, float] = {}

    def schedule_update(self, delay: tuple[float, float], entry: Endpoint, is_valid: Callable[[], bool]) -> None:
        """Publish an entry after a delay drawn from a range (s) and any outage, if `is_valid` then returns true."""
        self.kernel.after(self.random.uniform(*delay), self._queue_change, entry, is_valid)

    def _queue_change(self, entry: Endpoint, is_valid: Callable[[], bool]) -> None:
        if self.kernel.now < self.down_until:
            self.kernel.at(self.down_until, self._queue_change, entry, is_valid)
            return
        if not is_valid():
            return
        if not self._pending_entries:
            self.kernel.after(VERSION_INTERVAL_S, self._publish_version)
        self._pending_entries[entry.id] = entry

    def _publish_version(self) -> None:
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

    def deliver_complete_list(self, number: int, listener: Listener) -> None:
        """Deliver the complete list to a gateway that has started, once discovery is available."""
        if self.kernel.now < self.down_until:
            self.kernel.at(self.down_until, self.deliver_complete_list, number, listener)
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
