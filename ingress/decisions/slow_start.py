"""Slow start: limits the load on an endpoint that has just started.

An endpoint that gets full load from all gateways while its caches are empty becomes overloaded and does not recover.
So each gateway has a budget for each endpoint that warms up: its share of what the endpoint can handle, estimated from
the load that this gateway sends to warm endpoints.
"""

from __future__ import annotations

from math import exp

from ingress.decisions.endpoint_set import EndpointSet
from ingress.decisions.endpoint_state import TrackedEndpoint

SLOW_START_MARGIN = 0.7  # the share of what a warming endpoint can handle that all gateways together may send
UNEVEN_SUBSETS_MARGIN = 0.65  # a further factor: 1.5 times as many gateways may prefer one endpoint as another
MIN_WARM_FRACTION = 0.5  # the share of the preferred capacity that must be warm to update the typical throughput
MIN_REQUESTS_PER_OVERLOAD_WINDOW = 0.5  # from all gateways together
WORK_RATE_WINDOW_RATIO = 0.25  # a share of the slow start duration
MIN_WORK_RATE_WINDOW_S = 1.0
MIN_DURATION_S = 1e-6


class SlowStart:
    """The budgets of the endpoints that warm up.

    Work is counted in mean requests.

    Attributes:
        typical_throughput: The work per second and unit of weight that this gateway sends to a warm endpoint.
        work_rate: The work per second that the preferred endpoints did for this gateway, as of `work_rate_at`.
        work_rate_at: The time of the last update of `work_rate`.
    """

    def __init__(self, endpoint_set: EndpointSet) -> None:
        self.endpoint_set = endpoint_set
        self.typical_throughput = 0.0
        self.work_rate = 0.0
        self.work_rate_at = 0.0

    def record_work(self, now: float, work: float) -> None:
        """Record that a preferred endpoint has done `work`, in mean requests."""
        self.work_rate = self.current_work_rate(now) + work / self._work_rate_window()
        self.work_rate_at = now

    def current_work_rate(self, now: float) -> float:
        """Return the work per second that the preferred endpoints do for this gateway.

        The rate decays while no work is done.  If it were kept through a pause, all gateways together would send more
        than an endpoint can handle.
        """
        return self.work_rate * exp(min(0.0, self.work_rate_at - now) / self._work_rate_window())

    def allows(self, endpoint: TrackedEndpoint, now: float, work: float) -> bool:
        """Return whether the budget of a warming endpoint allows a request with this much work."""
        self._update_typical_throughput(now)
        budget = endpoint.slow_start_budget
        budget.rate = self._budget_rate(endpoint, now)
        has_capacity = len(endpoint.in_flight) < max(1.0, budget.rate)
        needed = max(1.0, work)
        return has_capacity and budget.fits(now, needed, needed)

    def _work_rate_window(self) -> float:
        duration = self.endpoint_set.settings.slow_start_duration
        return max(duration * WORK_RATE_WINDOW_RATIO, MIN_WORK_RATE_WINDOW_S)

    def _update_typical_throughput(self, now: float) -> None:
        """Update the typical throughput from the warm endpoints; while most endpoints warm up, keep the last value."""
        settings = self.endpoint_set.settings
        preferred = self.endpoint_set.preferred
        warm_weight = sum(e.info.weight for e in preferred if not e.warming_up(now, settings))
        if warm_weight >= MIN_WARM_FRACTION * sum(e.info.weight for e in preferred):
            self.typical_throughput = self.current_work_rate(now) / warm_weight

    def _budget_rate(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return the work per second that this gateway may send to a warming endpoint.

        The load that the endpoint can handle grows linearly from its initial capacity.  The gateways that prefer the
        endpoint divide that load among themselves; the others send at the minimum rate only.
        """
        settings = self.endpoint_set.settings
        minimum = MIN_REQUESTS_PER_OVERLOAD_WINDOW / (settings.overload_window * settings.gateway_count)
        if not endpoint.preferred:
            return minimum
        # On average, each endpoint is preferred by this share of the gateways.
        preferring_fraction = len(self.endpoint_set.preferred) / len(self.endpoint_set.ready)
        margin = SLOW_START_MARGIN * max(UNEVEN_SUBSETS_MARGIN, preferring_fraction)
        minimum /= max(preferring_fraction, 1 / settings.gateway_count)
        initial_capacity = settings.slow_start_initial_capacity
        age = now - endpoint.info.started_at
        duration = max(settings.slow_start_duration, MIN_DURATION_S)
        capacity = min(1.0, initial_capacity + (1 - initial_capacity) * age / duration)
        warm_rate = self.typical_throughput * endpoint.info.weight
        return max(minimum, margin * settings.overload_factor * capacity * warm_rate)
