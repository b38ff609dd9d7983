"""Chooses which client connections are closed to make room for new ones.

Every peer may connect, and what it will send is not known before. So a connection that the limit leaves no room for is
not kept waiting for those without a complete command: the one that is least likely to be of use to a client is closed.
A connection with a request in flight is never closed for another one.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

MIN_QUIET_TIME_S = 0.02  # the time in which the next packet of a command arrives
MAX_TRICKLE_TIME_S = 0.5  # after this time, a command may be refused although its bytes still arrive one by one
MAX_KNOWN_ADDRESSES = 4096


class Occupancy(IntEnum):
    """What a connection is kept open for.

    Attributes:
        BUSY: A request is in flight, or waits to be executed, or its response is not delivered yet.
        IDLE: Nothing has been received since the last response, if there was any.
        INCOMPLETE: A part of a command or of its body has been received, or a TLS handshake has begun.
        CLOSING: Everything is delivered, and the peer has not closed its side yet.
    """

    BUSY = 0
    IDLE = 1
    INCOMPLETE = 2
    CLOSING = 3


class EvictionRank(IntEnum):
    """The order in which connections are closed, the first one first.

    Attributes:
        CLOSING: It has been answered and is closed already by this side.
        STRANGER: It has no complete command, and comes from an address that has not sent any request.
        IDLE: It is idle, and comes from an address that has sent requests.
        CLIENT: It is within a command, and comes from such an address.
    """

    CLOSING = 0
    STRANGER = 1
    IDLE = 2
    CLIENT = 3


class Candidate(Struct, frozen=True):
    """What is known of a connection that may be closed for another one.

    Attributes:
        occupancy: What it is kept open for.
        address: The address of the peer.
        is_within_share: Whether the address has no more connections open than its share.
        last_used_at: The time in seconds at which something was last received or written.
        command_due_since: The time in seconds since which a complete command has been due; None if none is due.
        read_count: How many times a part of the current command has been received.
        has_sent_request: Whether a complete request has been received on it.
    """

    occupancy: Occupancy
    address: str
    is_within_share: bool
    last_used_at: float
    command_due_since: float | None
    read_count: int
    has_sent_request: bool


class KnownAddresses:
    """The addresses that have sent requests, up to a maximum number; the one without a request for longest goes first.

    Attributes:
        addresses: An ordered set; the values have no meaning.
    """

    def __init__(self) -> None:
        self.addresses: dict[str, None] = {}

    def add(self, address: str) -> None:
        """Record a request from an address."""
        self.addresses.pop(address, None)
        self.addresses[address] = None
        if len(self.addresses) > MAX_KNOWN_ADDRESSES:
            del self.addresses[next(iter(self.addresses))]

    def __contains__(self, address: str) -> bool:
        return address in self.addresses


def eviction_rank(candidate: Candidate, now: float, known: KnownAddresses) -> EvictionRank | None:
    """Return the rank of a connection, or None if it must stay open now."""
    match candidate.occupancy:
        case Occupancy.BUSY:
            return None
        case Occupancy.IDLE if candidate.has_sent_request:
            return EvictionRank.IDLE
        case _ if not _is_quiet(candidate, now):
            return None
        case Occupancy.CLOSING:
            return EvictionRank.CLOSING
    if candidate.address not in known:
        return EvictionRank.STRANGER
    return EvictionRank.IDLE if candidate.occupancy is Occupancy.IDLE else EvictionRank.CLIENT


def _is_quiet(candidate: Candidate, now: float) -> bool:
    """Report whether no further part of a command is likely to be on its way, or the command takes too long."""
    if now - candidate.last_used_at >= MIN_QUIET_TIME_S:
        return True
    due_since = candidate.command_due_since
    return due_since is not None and now - due_since >= MAX_TRICKLE_TIME_S


def eviction_key(candidate: Candidate, rank: EvictionRank) -> tuple[bool, EvictionRank, bool, float]:
    """Return the key by which the connections of all ranks are sorted, the one to be closed first being the least.

    Those from addresses over their share go first. Of two connections of the same rank, the one whose command has made
    no progress since its first part goes first, then the one that has been quiet for longer.
    """
    is_spared = candidate.is_within_share and rank is not EvictionRank.CLOSING
    return is_spared, rank, candidate.read_count > 1, candidate.last_used_at
