"""The network in simulated time: delays, lost answers, resets, zones cut off."""

from __future__ import annotations

from ingress.emulator.experiment import Network
from ingress.emulator.kernel import RandomStream


class NetworkModel:
    """The way between clients, gateways and endpoints.

    Attributes:
        isolated_zones: zones that reach no other.
        loss_rate: the share of answers that get lost.
        reset_rate: the share of attempts whose connection is reset.
    """

    def __init__(self, spec: Network, draws: RandomStream) -> None:
        self.spec = spec
        self.random = draws
        self.isolated_zones: set[int] = set()
        self.loss_rate = spec.loss
        self.reset_rate = spec.reset

    def delay(self, here: int, there: int) -> float:
        """One way between two zones, in s."""
        mean = self.spec.same_ms if here == there else self.spec.cross_ms
        return mean / 1000 * (1 + self.random.exponential(self.spec.jitter))

    def client_delay(self) -> float:
        """One way between a client and a gateway, in s."""
        return self.spec.client_ms / 1000 * (1 + self.random.exponential(self.spec.jitter))

    def is_reachable(self, here: int, there: int) -> bool:
        """Whether packets pass between two zones."""
        return here == there or not (here in self.isolated_zones or there in self.isolated_zones)

    def loses_answer(self) -> bool:
        """Whether this answer gets lost."""
        return self.random.chance(self.loss_rate)

    def resets_connection(self) -> bool:
        """Whether the connection of this attempt is reset."""
        return self.random.chance(self.reset_rate)
