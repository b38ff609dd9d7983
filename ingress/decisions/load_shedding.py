"""Load shedding: rejects the requests of lowest value when the endpoints lack capacity."""

from __future__ import annotations

import random
from collections import deque

from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.congestion import CONGESTION_FULL_RATIO, CONGESTION_START_RATIO, CongestionEstimate
from ingress.decisions.endpoint_set import EndpointSet
from ingress.decisions.endpoint_state import TARGET_UTILIZATION
from ingress.decisions.latency import LatencyStatistics

RANKED_REQUESTS = 256  # the number of recent requests, including the new one, among which it is ranked


class LoadShedder:
    """Computes the saturation of the endpoints and the priority rank of each request.

    A request is shed if its priority rank is below the saturation.

    Attributes:
        recent_values: The weighted priorities of recent requests, each divided by the mean latency of its class.
    """

    def __init__(
        self,
        endpoint_set: EndpointSet,
        latencies: LatencyStatistics,
        congestion: CongestionEstimate,
        rng: random.Random,
    ) -> None:
        self.endpoint_set = endpoint_set
        self.latencies = latencies
        self.congestion = congestion
        self.rng = rng
        self.recent_values: deque[float] = deque(maxlen=RANKED_REQUESTS)

    def saturation(self, now: float) -> float:
        """Return the share of requests to shed; a negative number means spare capacity.

        It grows with the utilization of the concurrency limits, and with congestion.
        """
        totals = self.endpoint_set.totals
        utilization = totals.in_flight / totals.concurrency_limits if self.endpoint_set.ready else 1.0
        utilization_excess = (utilization - TARGET_UTILIZATION) / (1 - TARGET_UTILIZATION)
        open_time = self.congestion.mean_open_time(now)
        congestion_excess = (open_time - CONGESTION_START_RATIO) / (CONGESTION_FULL_RATIO - CONGESTION_START_RATIO)
        return max(utilization_excess, congestion_excess)

    def priority_rank(self, request: InFlightRequest) -> float:
        """Record a request, and return the share of recent requests with a lower value per unit of work.

        The mean latency of the request's class stands for its work.  Ties are broken at random.
        """
        self.latencies.record_units(request.units)
        request_class = request.request_class
        weight = request_class.priority_weight
        if request.misses_objective:
            weight *= request_class.late_weight_factor
        value = weight * request.plan.weight_factor / self.latencies.mean_latency(request_class)
        self.recent_values.append(value)
        lower_count = sum(other < value for other in self.recent_values)
        equal_count = self.recent_values.count(value)
        return (lower_count + self.rng.random() * equal_count) / len(self.recent_values)
