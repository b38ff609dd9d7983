"""What no gateway can know: waiting by the true state of all servers, to see what a better estimate could gain."""

from __future__ import annotations

from collections.abc import Mapping

from ingress.decisions import gateway
from ingress.decisions.cluster import Cluster
from ingress.decisions.congestion import CONGESTION_FULL_RATIO, CONGESTION_START_RATIO, CongestionEstimate
from ingress.decisions.settings import Settings
from ingress.emulator.gateways import GatewayFactory
from ingress.emulator.servers import ServerModel

SHEDDING_START = 0.3  # latency objectives that a response would take: shedding begins
SHEDDING_FULL = 0.8  # latency objectives that a response would take: all is shed
UPDATE_INTERVAL_S = 0.01  # it changes little meanwhile, and each update costs as much as there are servers


class TrueCongestion(CongestionEstimate):
    """Estimates waiting by the true state of the servers, in place of the answers that came here.

    Args:
        servers: their state.
        mean_work: s that a request takes on a core of nominal speed.
        longest_objective: the longest latency objective in s.
    """

    def __init__(self, servers: Mapping[str, ServerModel], mean_work: float, longest_objective: float) -> None:
        super().__init__()
        self.servers = servers
        self.mean_work = mean_work
        self.longest_objective = longest_objective
        self.true_open_time_at = -1e18
        self.true_open_time = 0.0

    def mean_open_time(self, now: float) -> float:
        """The mean time to an answer, each server counted by what it can do now, on the scale of the estimate."""
        super().mean_open_time(now)
        if now - self.true_open_time_at >= UPDATE_INTERVAL_S:
            objectives = self._mean_answer_time() / self.longest_objective
            ratio = (objectives - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START)
            self.true_open_time = CONGESTION_START_RATIO + ratio * (CONGESTION_FULL_RATIO - CONGESTION_START_RATIO)
            self.true_open_time_at = now
        return self.true_open_time

    def _mean_answer_time(self) -> float:
        waits = 0.0
        paces = 0.0
        for server in self.servers.values():
            if server.is_running and server.is_reachable and not server.is_draining:
                waits += self.mean_work * max(1.0, (server.busy + len(server.queue)) / server.cores) * server.cores
                paces += server.pace() * server.cores
        return waits / max(paces, 1e-9)


def oracle_gateway_factory(true: Mapping[str, ServerModel], work: float) -> GatewayFactory:
    """Gateways that see the waiting at the servers `true`."""

    def make(settings: Settings, seed: int) -> gateway.Gateway:
        longest_objective = max(cls.latency_objective for cls in settings.classes)
        congestion = TrueCongestion(true, work, longest_objective)
        return gateway.Gateway(settings, seed, lambda settings, rng: Cluster(settings, rng, congestion))

    return make
