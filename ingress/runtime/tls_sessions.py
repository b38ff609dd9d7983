"""TLS sessions of the client side: a stored session shortens the next handshake with the same address."""

from __future__ import annotations

import ssl
from collections import deque

MAX_SESSIONS = 4096  # one session is stored for each address


class ResumingContext(ssl.SSLContext):
    """A client TLS context that resumes the last session with each address.

    The event loop has no parameter for a session. It begins handshakes in the order in which they were requested, so
    `expect_handshake` announces the address before each one; a session offered to the wrong address costs a full
    handshake.

    Attributes:
        sessions: The last session of each address, least recently stored first.
        expected_addresses: The addresses of requested handshakes that have not begun, in order.
    """

    sessions: dict[tuple[str, int], ssl.SSLSession]
    expected_addresses: deque[tuple[str, int]]

    def __new__(cls, protocol: int) -> ResumingContext:
        """Create a context without sessions."""
        context = super().__new__(cls, protocol)
        context.sessions = {}
        context.expected_addresses = deque()
        return context

    def expect_handshake(self, address: tuple[str, int], is_only_one: bool) -> None:
        """Announce that the next handshake is with this address; `is_only_one`: no other one is in progress."""
        if is_only_one:
            self.expected_addresses.clear()
        self.expected_addresses.append(address)

    def wrap_bio(
        self,
        incoming: ssl.MemoryBIO,
        outgoing: ssl.MemoryBIO,
        server_side: bool = False,
        server_hostname: str | bytes | None = None,
        session: ssl.SSLSession | None = None,
    ) -> ssl.SSLObject:
        """Begin a handshake with the session of the announced address; called by the event loop."""
        if session is None and self.expected_addresses:
            session = self.sessions.get(self.expected_addresses.popleft())
        return super().wrap_bio(incoming, outgoing, server_side, server_hostname, session)

    def store_session(self, address: tuple[str, int], connection: ssl.SSLObject) -> None:
        """Store the session of a connection that has carried data."""
        if connection.session is None:
            return
        self.sessions.pop(address, None)
        self.sessions[address] = connection.session
        if len(self.sessions) > MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]
