"""An unreachable machine on real sockets: the kernel drops every packet that arrives for them and answers none.

This uses SO_ATTACH_FILTER (Linux, socket(7)) with a filter of one instruction that keeps no byte.  Data that peers send
stays unacknowledged, and connections to a listener are never established.
"""

from __future__ import annotations

import ctypes
import os
import socket
import struct

# The values of <asm/socket.h>.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
DROP_ALL_FILTER = struct.pack("HBBI", 0x06, 0, 0, 0)  # struct sock_filter: BPF_RET with 0


def drop_packets(descriptor: int) -> None:
    """Drop every packet that arrives for the socket of this descriptor from now on.

    Raises:
        OSError: The system does not support socket filters.
    """
    program = ctypes.create_string_buffer(DROP_ALL_FILTER, len(DROP_ALL_FILTER))
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", 1, ctypes.addressof(program)))


def receive_packets(descriptor: int) -> None:
    """Receive packets again; do nothing if the socket has no filter."""
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        except FileNotFoundError:
            return  # the socket has no filter
