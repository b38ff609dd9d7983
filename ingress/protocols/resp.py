"""RESP2 limits and encodings that the client side and the endpoint side share."""

from __future__ import annotations

CRLF = b"\r\n"
LONG_VALUE_BYTES = 64 * 1024  # larger values are forwarded in chunks
MAX_VALUE_BYTES = 4 << 20


def bulk(value: bytes) -> bytes:
    """Encode a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)
