"""The interface through which the checkpoint writer reads the state of its process."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from msgspec import Struct

from ingress.decisions.handover_state import CustomerState, HandoverState
from ingress.discovery.client import EndpointList


class SharedState(Struct, frozen=True):
    """The state that a snapshot contains in addition to the customers.

    Attributes:
        state: The state of the decision module, without the customers.
        endpoint_list: The endpoints and their addresses.
    """

    state: HandoverState
    endpoint_list: EndpointList


class CheckpointSource(Protocol):
    """Provides the state of the process to the checkpoint writer."""

    def customer_names(self) -> list[str]:
        """List the names of all customers that have a state."""

    def customer_states(self, names: Iterable[str]) -> list[CustomerState]:
        """Return the states of these customers, without customers that have none any more."""

    def shared_state(self) -> SharedState:
        """Return the state that is written in addition to the customers."""

    def persistence_changed(self, enabled: bool) -> None:
        """Handle that usage is written to disk from now on, or no longer."""
