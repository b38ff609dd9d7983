"""The set of all tracked endpoints, and how it follows the endpoint list."""

from __future__ import annotations

import random

from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.endpoint_state import ConcurrencyTotals, TrackedEndpoint
from ingress.decisions.events import EndpointListKind, EndpointsChanged
from ingress.decisions.outlier_detection import OutlierDetector
from ingress.decisions.settings import Settings
from ingress.decisions.subsetting import Subset


class EndpointSet:
    """The set of all tracked endpoints.

    Attributes:
        settings: The current settings.
        outliers: The outlier detector, which tracks the health of the ready endpoints.
        by_id: The endpoints that are listed or still have attempts in flight, by ID.
        ready: The endpoints that are listed as ready.
        totals: The totals over the ready endpoints.
        subset: The subset of the ready endpoints that this gateway prefers.
    """

    def __init__(self, settings: Settings, outliers: OutlierDetector, rng: random.Random) -> None:
        self.settings = settings
        self.outliers = outliers
        self.rng = rng
        self.by_id: dict[str, TrackedEndpoint] = {}
        self.ready: list[TrackedEndpoint] = []
        self.totals = ConcurrencyTotals()
        self.subset = Subset()

    @property
    def preferred(self) -> list[TrackedEndpoint]:
        """The ready endpoints that this gateway prefers."""
        return self.subset.endpoints

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings, and choose the subset again; the state of the endpoints is unchanged."""
        self.settings = settings
        self._choose_subset()

    def apply_list(self, event: EndpointsChanged, now: float) -> None:
        """Apply an update of the endpoint list, or a complete list."""
        if event.kind is EndpointListKind.UNAVAILABLE:
            return
        entry_ids = {info.id for info in event.endpoints}
        if event.kind is not EndpointListKind.UPDATE:
            for endpoint in self.by_id.values():
                endpoint.ready = endpoint.ready and endpoint.info.id in entry_ids
        for info in event.endpoints:
            self._apply_entry(info, now)
        self._drop_removed(entry_ids)
        self.ready = [endpoint for endpoint in self.by_id.values() if endpoint.ready]
        self._recompute_totals()
        self.outliers.keep_only((endpoint.info.id for endpoint in self.ready), now)
        self._choose_subset()

    def _apply_entry(self, info: Endpoint, now: float) -> None:
        endpoint = self.by_id.get(info.id)
        if endpoint is None:
            health = self.outliers.track(info.id, info.started_at, now)
            endpoint = self.by_id[info.id] = TrackedEndpoint(info, now, health, self.rng.random())
        if info.started_at > endpoint.info.started_at:
            endpoint.reset(now, self.outliers.reset(info.id, info.started_at), self.rng.random())
        elif not endpoint.ready and info.readiness is Readiness.READY:
            endpoint.health = self.outliers.track(info.id, info.started_at, now)
        endpoint.info = info
        endpoint.ready = info.readiness is Readiness.READY

    def _drop_removed(self, entry_ids: set[str]) -> None:
        """Stop tracking endpoints that were removed or are no longer listed, once no attempt is in flight there."""
        idle_ids = [
            endpoint_id for endpoint_id, endpoint in self.by_id.items() if not endpoint.ready and not endpoint.in_flight
        ]
        for endpoint_id in idle_ids:
            if self.by_id[endpoint_id].info.readiness is Readiness.REMOVED or endpoint_id not in entry_ids:
                del self.by_id[endpoint_id]

    def _recompute_totals(self) -> None:
        for endpoint in self.by_id.values():
            endpoint.totals = self.totals if endpoint.ready else ConcurrencyTotals()
        self.totals.concurrency_limits = sum(endpoint.concurrency_limit for endpoint in self.ready)
        self.totals.in_flight = sum(len(endpoint.in_flight) for endpoint in self.ready)

    def _choose_subset(self) -> None:
        self.subset.choose(self.by_id, self.ready, self.settings.gateway_index)
