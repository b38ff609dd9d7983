"""The upstream cluster: the endpoints of a gateway and the components that balance load over them."""

from __future__ import annotations

import random

from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.congestion import CongestionEstimate
from ingress.decisions.endpoint_set import EndpointSet
from ingress.decisions.endpoint_state import TrackedEndpoint
from ingress.decisions.handover_state import HandoverState
from ingress.decisions.latency import LatencyStatistics
from ingress.decisions.load_balancing import LoadBalancer
from ingress.decisions.load_shedding import LoadShedder
from ingress.decisions.outlier_detection import OutlierDetector
from ingress.decisions.settings import Settings
from ingress.decisions.slow_start import SlowStart


class Cluster:
    """The upstream cluster of a gateway.

    Attributes:
        latencies: The mean latencies by request class.
        outliers: The outlier detector, which ejects unhealthy endpoints and readmits them.
        endpoints: The set of tracked endpoints.
        slow_start: The request budgets of endpoints that warm up.
        congestion: The estimate of how long attempts are open.
        load_shedder: The load shedder, which decides whether a request is rejected for lack of capacity.
        load_balancer: The load balancer, which chooses the endpoint of each attempt.
    """

    def __init__(self, settings: Settings, rng: random.Random, congestion: CongestionEstimate | None = None) -> None:
        self.latencies = LatencyStatistics(settings)
        self.outliers = OutlierDetector(settings, self.latencies.longest_objective, rng)
        self.endpoints = EndpointSet(settings, self.outliers, rng)
        self.slow_start = SlowStart(self.endpoints)
        self.congestion = congestion or CongestionEstimate()
        self.load_shedder = LoadShedder(self.endpoints, self.latencies, self.congestion, rng)
        self.load_balancer = LoadBalancer(self.endpoints, self.latencies, self.slow_start, rng)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to all components that depend on them."""
        self.latencies.apply_settings(settings)
        self.outliers.apply_settings(settings, self.latencies.longest_objective)
        self.endpoints.apply_settings(settings)

    def restore(self, state: HandoverState, now: float) -> None:
        """Restore the state that another process of this gateway had learned about the endpoints.

        The health, load and slow start state of an endpoint is skipped if the endpoint is no longer tracked, or if it
        has restarted since that state was recorded.
        """
        self.latencies.mean_latencies = dict(state.mean_latencies)
        self.slow_start.typical_throughput = state.typical_throughput
        self.slow_start.work_rate = state.recent_work_rate
        self.slow_start.work_rate_at = now
        for endpoint_state in state.endpoints:
            endpoint = self.endpoints.by_id.get(endpoint_state.id)
            health_state = endpoint_state.health
            if endpoint is None or (health_state and health_state.started_at < endpoint.info.started_at):
                continue
            endpoint.restore(endpoint_state)
            if health_state is not None:
                self.outliers.restore(endpoint.health, health_state, now)

    def record_response(self, endpoint: TrackedEndpoint, request: InFlightRequest, latency: float, now: float) -> None:
        """Add a response to the mean latencies and, for a preferred endpoint, to the work rate.

        Args:
            endpoint: The endpoint that responded.
            request: The request that it responded to.
            latency: The latency of the response in seconds.
            now: The current time in seconds.
        """
        self.latencies.record_latency(request.request_class, latency)
        if endpoint.preferred:
            self.slow_start.record_work(now, self.latencies.relative_work(request.request_class, request.units))
