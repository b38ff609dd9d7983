"""The HTTP connection to the discovery service: split, truncated and invalid responses."""

from __future__ import annotations

import asyncio

import pytest

from ingress.discovery import http
from ingress.discovery.http import HttpConnection, HttpError
from tests.peers import Peer, Reader, Writer, run_async

OK = b"HTTP/1.1 200 OK\r\n"


def service(*responses: list[bytes]) -> Peer:
    """Return a service that sends these responses in turn, in pieces; an empty piece closes the connection."""
    remaining = list(responses)

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            for piece in remaining.pop(0):
                if not piece:
                    return
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)

    return Peer(script)


@pytest.mark.parametrize(
    "pieces",
    [
        [OK + b"Content-Length: 4\r\n\r\nbody"],
        [OK, b"Content-Length: 4\r\n\r", b"\nbo", b"dy"],
        [OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n3\r\nody\r\n0\r\n\r\n"],
        [OK + b"Connection: close\r\n\r\nbo", b"dy", b""],
    ],
)
def test_body_is_read_in_every_framing(pieces: list[bytes]) -> None:
    async def body() -> None:
        async with service(pieces, pieces) as peer:
            connection = HttpConnection(peer.address)
            assert await connection.get("/x") == b"body"
            assert await connection.get("/x") == b"body"
            assert peer.connections == (2 if b"" in pieces else 1)
            connection.close()

    run_async(body())


@pytest.mark.parametrize(
    "pieces",
    [
        [b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"],
        [b"nonsense\r\n\r\n"],
        [OK[:9], b""],
        [OK + b"Content-Length: 4\r\n\r\nbo", b""],
        [OK + b"Content-Length: 99\r\n\r\n" + bytes(99)],
        [b""],
    ],
)
def test_invalid_response_raises_an_error(pieces: list[bytes], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "MAX_BODY_BYTES", 50)

    async def body() -> None:
        async with service(pieces) as peer:
            connection = HttpConnection(peer.address)
            with pytest.raises((HttpError, OSError)):
                await connection.get("/x")
            connection.close()

    run_async(body())


def test_connection_closed_between_two_calls_is_replaced() -> None:
    valid_response = OK + b"Content-Length: 4\r\n\r\nbody"

    async def body() -> None:
        async with service([valid_response, b""], [valid_response]) as peer:
            connection = HttpConnection(peer.address)
            assert await connection.get("/x") == b"body"
            assert await connection.get("/x") == b"body"
            assert peer.connections == 2
            connection.close()

    run_async(body())
