"""Interface between client connections and the handler of their requests."""

from __future__ import annotations

from typing import Protocol

from ingress.server.commands import Command
from ingress.server.response_slot import ResponseSlot


class RequestReceiver(Protocol):
    """Receives requests from client connections."""

    def receive_request(self, slot: ResponseSlot, command: Command, received_at: float) -> None:
        """Handle a request that was received at this time; its body may still have to be received."""
        ...

    def receive_body(self, slot: ResponseSlot, chunk: bytes, is_last: bool, received_at: float) -> None:
        """Handle a chunk of a request's body that was received at this time."""
        ...

    def set_response_reading(self, slot: ResponseSlot, enabled: bool) -> None:
        """Read the response from its endpoint, or leave it in the socket while there is no room for it."""
        ...

    def client_disconnected(self, slot: ResponseSlot) -> None:
        """Handle the disconnection of the client that waits for the response."""
        ...
