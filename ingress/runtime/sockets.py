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
LAST_RECEIVE_OFFSET = 52  # the offset of tcpi_last_data_recv (milliseconds) in struct tcp_info (<linux/tcp.h>)
LAST_RECEIVE_BYTES = 4  # the size of that field
C_INT_BYTES = 4  # the size of the result of TIOCOUTQ


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
    """Return how many written bytes the peer has not acknowledged; 0 if the system can't report it."""
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(C_INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def seconds_since_last_receive(sock: socket.socket) -> float:
    """Return the seconds since the kernel last received data on this connection; 0 if it cannot report it."""
    size = LAST_RECEIVE_OFFSET + LAST_RECEIVE_BYTES
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return 0.0
    if len(info) != size:
        return 0.0
    return int.from_bytes(info[LAST_RECEIVE_OFFSET:], sys.byteorder) / MS_PER_SECOND


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
