"""Ports of the tests: none is given out twice within a test."""

from __future__ import annotations

import errno
import socket

from tests.peers import free_port

PORT_COUNT = 400  # drawn and released at once, two of so many are the same in 99% of draws


def test_a_free_port_is_given_out_once() -> None:
    """Guards against "Address already in use" at the start of a program whose port another socket has got."""
    ports = [free_port() for _ in range(PORT_COUNT)]
    with socket.create_server(("127.0.0.1", 0)) as other:
        assert len({*ports, other.getsockname()[1]}) == PORT_COUNT + 1


def test_a_free_port_refuses_connects_until_a_program_listens() -> None:
    port = free_port()
    with socket.socket() as client:
        assert client.connect_ex(("127.0.0.1", port)) == errno.ECONNREFUSED
    with socket.create_server(("127.0.0.1", port)), socket.socket() as client:
        assert client.connect_ex(("127.0.0.1", port)) == 0
