"""Closes client connections to make room for others, in the order that `eviction` defines."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from ingress.runtime.clock import Clock
from ingress.runtime.sockets import peek_byte
from ingress.server.client_connection import TRY_AGAIN_LATER, ClientConnection
from ingress.server.eviction import Candidate, EvictionRank, KnownAddresses, Occupancy, eviction_key, eviction_rank
from ingress.server.fair_shares import ConnectionShares


class Evictor:
    """Closes connections of one server.

    Attributes:
        connections: The open connections of the server.
        shares: The shares of the addresses in the limit on connections.
        clock: Returns the current time in seconds.
        known_addresses: The addresses that have sent requests.
        evicted_count: The number of connections closed for others since the start.
    """

    def __init__(self, connections: set[ClientConnection], shares: ConnectionShares, clock: Clock) -> None:
        self.connections = connections
        self.shares = shares
        self.clock = clock
        self.known_addresses = KnownAddresses()
        self.evicted_count = 0

    def kept_count(self) -> int:
        """Return how many connections are not about to end by themselves."""
        return sum(not is_ending(connection) for connection in self.connections)

    def evict(
        self,
        count: int,
        last_rank: EvictionRank = EvictionRank.CLIENT,
        is_candidate: Callable[[ClientConnection], bool] | None = None,
    ) -> int:
        """Close up to `count` connections, of the ranks up to `last_rank`; return how many were closed."""
        if count <= 0:
            return 0
        evicted_count = 0
        for connection in self._in_order(last_rank, is_candidate):
            if evicted_count == count:
                break
            if is_evictable(connection):
                close_for_another(connection)
                evicted_count += 1
        self.evicted_count += evicted_count
        return evicted_count

    def _in_order(
        self, last_rank: EvictionRank, is_candidate: Callable[[ClientConnection], bool] | None
    ) -> list[ClientConnection]:
        """Return the connections that may be closed, the one to be closed first at the head."""
        now = self.clock()
        ranked = []
        for connection in self.connections:
            if is_candidate is not None and not is_candidate(connection):
                continue
            candidate = self._describe(connection)
            rank = eviction_rank(candidate, now, self.known_addresses)
            if rank is not None and rank <= last_rank:
                ranked.append((eviction_key(candidate, rank), connection))
        ranked.sort(key=lambda entry: entry[0])
        return [connection for _, connection in ranked]

    def _describe(self, connection: ClientConnection) -> Candidate:
        return Candidate(
            occupancy(connection),
            connection.peer,
            self.shares.is_within_share(connection.peer),
            connection.last_used_at,
            connection.command_due_since,
            connection.read_count,
            connection.has_sent_request,
        )


def is_ending(connection: ClientConnection) -> bool:
    """Report whether the connection is about to end, whatever its peer does."""
    if connection.transport is None or connection.linger_timer is not None:
        return not connection.memory.is_open
    return connection.transport.is_closing()


def occupancy(connection: ClientConnection) -> Occupancy:
    """Return what the connection is kept open for, by the data that this process has read."""
    transport = connection.transport
    if transport is None:
        # Without a transport, it is within its TLS handshake, or the event loop is about to report its end.
        return Occupancy.INCOMPLETE if connection.memory.is_open else Occupancy.BUSY
    if connection.linger_timer is not None:
        return Occupancy.BUSY if connection.has_undelivered() else Occupancy.CLOSING
    if transport.is_closing() or connection.is_closing or connection.has_unexecuted():
        return Occupancy.BUSY
    if connection.slots:
        return Occupancy.INCOMPLETE if _waits_for_a_body(connection) else Occupancy.BUSY
    is_incomplete = connection.upload is not None or connection.scanner.in_frame()
    return Occupancy.INCOMPLETE if is_incomplete else Occupancy.IDLE


def _waits_for_a_body(connection: ClientConnection) -> bool:
    """Report whether the only request of the connection has no answer and waits for the client to send its body."""
    upload = connection.upload
    if upload is None or upload.is_paused or len(connection.slots) > 1:
        return False
    return not upload.slot.is_claimed


def is_evictable(connection: ClientConnection) -> bool:
    """Report whether nothing has arrived that this process has not read, and nothing is on its way to the client.

    What is unread is left there on purpose while there is no memory for it.
    """
    if connection.has_undelivered():
        return False
    return connection.lacks_memory or not peek_byte(connection.socket)


def close_for_another(connection: ClientConnection) -> None:
    """Close the connection at once; an incomplete command is refused."""
    transport = connection.transport
    if transport is None:
        with contextlib.suppress(OSError):  # the peer has closed it already
            connection.socket.shutdown(socket.SHUT_RDWR)  # ends the TLS handshake
        return
    if connection.linger_timer is None and (connection.slots or connection.scanner.in_frame()):
        transport.write(TRY_AGAIN_LATER)
    connection.drop_upload()
    connection.close()
