"""Socket addresses, and options and states of TCP sockets that asyncio does not expose."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import sys
import termios

from ingress.runtime.clock import MS_PER_SECOND

Address = tuple[str, int]  # host and port

MAX_PORT = 65535
KEEPALIVE_IDLE_S = 20  # the kernel probes a peer that has been silent for this time
KEEPALIVE_INTERVAL_S = 5  # the time between two probes
KEEPALIVE_PROBES = 3  # the connection is closed after this many unanswered probes
UNACKNOWLEDGED_TIMEOUT_S = 10.0  # the connection is closed if the peer acknowledges no sent data for this time

CLOSED_STATES = frozenset((7, 8))  # tcpi_state: TCP_CLOSE (after a reset) and TCP_CLOSE_WAIT (<netinet/tcp.h>)
UNACKNOWLEDGED_OFFSET = 24  # the offset of tcpi_unacked; for a listening socket, the length of the accept queue
UNACKNOWLEDGED_BYTES = 4  # the size of that field
LAST_RECEIVE_OFFSET = 52  # the offset of tcpi_last_data_recv (milliseconds) in struct tcp_info (<linux/tcp.h>)
LAST_RECEIVE_BYTES = 4  # the size of that field
BYTES_RECEIVED_OFFSET = 128  # the offset of tcpi_bytes_received in the same struct
BYTES_RECEIVED_BYTES = 8  # the size of that field
SO_MEMINFO = 55  # <asm-generic/socket.h>; its first values are the used size and the limit of the receive buffer
C_INT_BYTES = 4  # the size of the result of TIOCOUTQ, and of each value of SO_MEMINFO


def enable_keepalive(sock: socket.socket, unacknowledged: float = UNACKNOWLEDGED_TIMEOUT_S) -> None:
    """Enable TCP keepalive, so that the kernel detects a vanished peer.

    Accepted connections inherit the options from their listener. If the system lacks one of the options, only the
    timeouts of the application remain.

    Args:
        sock: A TCP socket, connected or listening.
        unacknowledged: The seconds after which unacknowledged data closes the connection.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(unacknowledged * MS_PER_SECOND))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def acknowledge_received(sock: socket.socket) -> None:
    """Acknowledge now what the kernel has received on this connection.

    The kernel delays an acknowledgement by 40 ms or more, unless it has data to send. A peer without TCP_NODELAY holds
    back small writes until then. If the system lacks the option, the acknowledgement is delayed as usual.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer has not acknowledged; 0 if it is closed or the system can't report it."""
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(C_INT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(count, sys.byteorder)


def received_bytes(sock: socket.socket) -> int | None:
    """Return how many bytes the kernel has received on this connection so far; None if it cannot report it."""
    return _tcp_info_field(sock, BYTES_RECEIVED_OFFSET, BYTES_RECEIVED_BYTES)


def accept_queue_length(sock: socket.socket) -> int | None:
    """Return how many connections wait to be accepted from a listening socket; None if the system can't report it."""
    return _tcp_info_field(sock, UNACKNOWLEDGED_OFFSET, UNACKNOWLEDGED_BYTES)


def has_receive_capacity(sock: socket.socket) -> bool:
    """Report whether the receive buffer is less than half full, so that the peer may send; False if not known."""
    try:
        info = sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, 2 * C_INT_BYTES)
    except OSError:
        return False
    used = int.from_bytes(info[:C_INT_BYTES], sys.byteorder)
    limit = int.from_bytes(info[C_INT_BYTES:], sys.byteorder)
    return 2 * used < limit


def seconds_since_last_receive(sock: socket.socket) -> float:
    """Return the seconds since the kernel last received data on this connection; 0 if it cannot report it."""
    return (_tcp_info_field(sock, LAST_RECEIVE_OFFSET, LAST_RECEIVE_BYTES) or 0) / MS_PER_SECOND


def _tcp_info_field(sock: socket.socket, offset: int, size: int) -> int | None:
    """Return a field of struct tcp_info; None if the system does not have it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, offset + size)
    except OSError:
        return None
    return int.from_bytes(info[offset:], sys.byteorder) if len(info) == offset + size else None


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Report whether the peer has closed or reset the connection, even behind data that is still unread.

    Return False if the system cannot report it.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in CLOSED_STATES
    except (OSError, IndexError):
        return False


def peek_byte(sock: socket.socket) -> bytes | None:
    """Return the first unread byte, b"" if nothing is unread; None if the peer has closed or reset the connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) or None
    except BlockingIOError:
        return b""
    except OSError:
        return None
