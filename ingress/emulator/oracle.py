"""Congestion by the true state of all servers, which no real gateway can know.

It shows the most that a better estimate of congestion could gain.
"""

from __future__ import annotations

from collections.abc import Mapping

from ingress.decisions import gateway
from ingress.decisions.cluster import Cluster
from ingress.decisions.congestion import CONGESTION_FULL_RATIO, CONGESTION_START_RATIO, CongestionEstimate
from ingress.decisions.settings import Settings
from ingress.emulator.gateways import GatewayFactory
from ingress.emulator.servers import ServerModel

SHEDDING_START = 0.3  # Mean response time in latency objectives at which load shedding starts.
SHEDDING_FULL = 0.8  # Mean response time in latency objectives at which all requests are shed.
# The state changes little within this interval, and the cost of an update grows with the number of servers.
UPDATE_INTERVAL_S = 0.01
LONG_AGO_S = -1e18  # Before any update.


class TrueCongestion(CongestionEstimate):
    """An estimate of congestion by the true state of the servers, instead of the responses that a gateway received.

    Attributes:
        servers: The servers, by ID.
        mean_work: The mean work of a request, in seconds on a core of nominal speed.
        longest_objective: The longest latency objective (s).
        congestion_level_updated_at: When `congestion_level` was last updated (s).
        congestion_level: The latest estimate, as `mean_open_time` returns it.
    """

    def __init__(self, servers: Mapping[str, ServerModel], mean_work: float, longest_objective: float) -> None:
        super().__init__()
        self.servers = servers
        self.mean_work = mean_work
        self.longest_objective = longest_objective
        self.congestion_level_updated_at = LONG_AGO_S
        self.congestion_level = 0.0

    def mean_open_time(self, now: float) -> float:
        """Return the true mean response time, mapped to the scale of the estimate.

        Each server is weighted by its pace times its cores.  SHEDDING_START becomes CONGESTION_START_RATIO, and
        SHEDDING_FULL becomes CONGESTION_FULL_RATIO.
        """
        super().mean_open_time(now)  # Only keeps the inherited state current, e.g. drops expired attempts.
        if now - self.congestion_level_updated_at >= UPDATE_INTERVAL_S:
            response_ratio = self._mean_response_time() / self.longest_objective
            congestion_excess = (response_ratio - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START)
            self.congestion_level = CONGESTION_START_RATIO + congestion_excess * (
                CONGESTION_FULL_RATIO - CONGESTION_START_RATIO
            )
            self.congestion_level_updated_at = now
        return self.congestion_level

    def _mean_response_time(self) -> float:
        weighted_response_time = 0.0
        total_pace = 0.0
        for server in self.servers.values():
            if server.is_running and server.is_reachable and not server.is_draining:
                weighted_response_time += (
                    self.mean_work * max(1.0, (server.busy + len(server.queue)) / server.cores) * server.cores
                )
                total_pace += server.pace() * server.cores
        return weighted_response_time / max(total_pace, 1e-9)


def oracle_gateway_factory(servers: Mapping[str, ServerModel], mean_work: float) -> GatewayFactory:
    """Return a factory of gateways that estimate congestion by the true state of the servers."""

    def create_gateway(settings: Settings, seed: int) -> gateway.Gateway:
        longest_objective = max(request_class.latency_objective for request_class in settings.classes)
        congestion = TrueCongestion(servers, mean_work, longest_objective)
        return gateway.Gateway(settings, seed, lambda settings, rng: Cluster(settings, rng, congestion))

    return create_gateway
