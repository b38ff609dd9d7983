"""Subsetting: each gateway prefers a small subset of the endpoints.

A gateway that sends to a dozen endpoints learns the state of each one from its own traffic.  If it spread that traffic
over thousands of endpoints, it would learn nothing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from itertools import chain, islice
from operator import attrgetter
from zlib import crc32

from ingress.decisions.endpoint_state import TrackedEndpoint

SUBSET_SIZE = 12  # few enough to learn the state of each endpoint, many enough to tolerate the loss of some

_position = attrgetter("subset_position")


class Subset:
    """The endpoints that one gateway prefers.

    Attributes:
        endpoints: The preferred endpoints.
        ready_ids: The IDs of all endpoints that were ready when the preferred ones were chosen.
    """

    def __init__(self) -> None:
        self.endpoints: list[TrackedEndpoint] = []
        self.ready_ids: set[str] = set()

    def choose(
        self, tracked: Mapping[str, TrackedEndpoint], ready: Sequence[TrackedEndpoint], gateway_index: int
    ) -> None:
        """Choose the subset again, and mark the chosen endpoints as preferred.

        Gateways with consecutive indexes form a round and divide one order of all endpoints among themselves, so that
        each endpoint is preferred equally often.  Each round has a different order.  An endpoint that was preferred
        stays preferred while it is ready, because the gateway has learned its state; only endpoints that become ready
        in this gateway's part of the order may replace it.

        Args:
            tracked: All tracked endpoints by ID.
            ready: The endpoints to choose from.
            gateway_index: The index of this gateway, from 0.
        """
        gateways_per_round = max(1, len(ready) // SUBSET_SIZE)
        subset_round, index_in_round = divmod(gateway_index, gateways_per_round)
        for endpoint in ready:
            if endpoint.subset_round != subset_round:
                endpoint.subset_round = subset_round
                endpoint.subset_position = crc32(f"{subset_round} {endpoint.info.id}".encode())
        order = sorted(ready, key=_position)
        assigned = order[index_in_round * SUBSET_SIZE : (index_in_round + 1) * SUBSET_SIZE]
        spares = islice(order, 2 * SUBSET_SIZE)
        chosen = dict.fromkeys(chain(self._kept_or_new(assigned), self._still_ready(tracked), assigned, spares))
        self.ready_ids = {endpoint.info.id for endpoint in ready}
        self.endpoints = list(islice(chosen, SUBSET_SIZE))
        preferred_ids = {endpoint.info.id for endpoint in self.endpoints}
        for endpoint in tracked.values():
            endpoint.preferred = endpoint.info.id in preferred_ids

    def _kept_or_new(self, assigned: Sequence[TrackedEndpoint]) -> list[TrackedEndpoint]:
        """Return the assigned endpoints that were preferred before, or were not ready before."""
        previous_ids = {endpoint.info.id for endpoint in self.endpoints}
        return [e for e in assigned if e.info.id in previous_ids or e.info.id not in self.ready_ids]

    def _still_ready(self, tracked: Mapping[str, TrackedEndpoint]) -> list[TrackedEndpoint]:
        """Return the previous subset without the endpoints that are no longer ready."""
        previous = (tracked.get(endpoint.info.id) for endpoint in self.endpoints)
        return sorted((e for e in previous if e is not None and e.ready), key=_position)
