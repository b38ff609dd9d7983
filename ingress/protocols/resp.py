"""RESP2 limits and encodings that the client side and the endpoint side share."""

from __future__ import annotations

CRLF = b"\r\n"
LONG_VALUE_BYTES = 64 * 1024  # larger values are forwarded in chunks
MAX_VALUE_BYTES = 4 << 20
BUFFER_GROWTH = 2  # the buffer of a hiredis reader has at most this many times the size of its content
MAX_KEPT_BUFFER_BYTES = 4 * 1024  # a reader with a larger buffer is replaced once it is empty: it keeps its buffer


def bulk(value: bytes) -> bytes:
    """Encode a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)
