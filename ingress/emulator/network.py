"""The simulated network: delays, lost responses, connection resets and isolated zones."""

from __future__ import annotations

from ingress.emulator.experiment import Network
from ingress.emulator.kernel import RandomStream


class NetworkModel:
    """The network between clients, gateways and endpoints.

    Attributes:
        spec: The settings of the network in the experiment.
        random: The random stream of delays, losses and resets.
        isolated_zones: The zones that can't reach another zone.
        loss_rate: The share of responses that are lost.
        reset_rate: The share of attempts whose connection is reset.
    """

    def __init__(self, spec: Network, draws: RandomStream) -> None:
        self.spec = spec
        self.random = draws
        self.isolated_zones: set[int] = set()
        self.loss_rate = spec.loss
        self.reset_rate = spec.reset

    def delay(self, source_zone: int, target_zone: int) -> float:
        """Draw the one-way delay between two zones (s)."""
        mean = self.spec.same_ms if source_zone == target_zone else self.spec.cross_ms
        return mean / 1000 * (1 + self.random.exponential(self.spec.jitter))

    def client_delay(self) -> float:
        """Draw the one-way delay between a client and a gateway (s)."""
        return self.spec.client_ms / 1000 * (1 + self.random.exponential(self.spec.jitter))

    def is_reachable(self, source_zone: int, target_zone: int) -> bool:
        """Report whether packets pass between two zones."""
        return source_zone == target_zone or not (
            source_zone in self.isolated_zones or target_zone in self.isolated_zones
        )

    def loses_answer(self) -> bool:
        """Draw whether a response is lost."""
        return self.random.chance(self.loss_rate)

    def resets_connection(self) -> bool:
        """Draw whether the connection of an attempt is reset."""
        return self.random.chance(self.reset_rate)
