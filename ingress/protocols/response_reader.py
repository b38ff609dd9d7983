"""Reads the responses of an endpoint, and delivers long values in chunks."""

from __future__ import annotations

import re
from typing import Any

import hiredis

from ingress.protocols.frame_scanner import FrameScanner
from ingress.protocols.resp import CRLF, LONG_VALUE_BYTES, MAX_KEPT_BUFFER_BYTES, MAX_VALUE_BYTES

MAX_ELEMENTS = 64  # limit for one response, which has three elements, and some more in its load report
INCOMPLETE = object()  # returned instead of a response that is not complete yet
HEADER = re.compile(rb"\*([1-9]\d?)\r\n\$(\d{1,10})\r\n")  # matches a response that begins with a bulk string
PARTIAL_HEADER = re.compile(rb"(\*([1-9](\d?(\r(\n(\$(\d{0,10}\r?)?)?)?)?)?)?)?")  # matches a prefix of HEADER


class ResponseReader:
    """Reads responses, one at a time.

    A long value at the start of a response is not buffered: `feed` returns it in chunks, including the line end behind
    it, and the response then begins with an empty value.

    Attributes:
        partial_header: The received part of a response's header; None once it has been processed.
        value_size: The size of the current long value; 0 if there is none.
        value_bytes_left: The bytes of the long value and its line end that are still to come.
        value_tail: The last received bytes of the long value and its line end.
        buffered_bytes: The size of the buffered part of the current response.
    """

    def __init__(self) -> None:
        self.parser = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.scanner = FrameScanner(MAX_ELEMENTS)
        self.partial_header: bytes | None = b""
        self.value_size = 0
        self.value_bytes_left = 0
        self.value_tail = b""
        self.buffered_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Process received data.

        Returns:
            The part of the data that belongs to a long value.

        Raises:
            hiredis.ProtocolError: The response is malformed or too large.
        """
        if self.partial_header is not None:
            data = self._read_header(self.partial_header + data)
        chunk = data[: self.value_bytes_left]
        if chunk:
            data = data[len(chunk) :]
            self.value_bytes_left -= len(chunk)
            self.value_tail = (self.value_tail + chunk)[-len(CRLF) :]
            if not self.value_bytes_left and self.value_tail != CRLF:
                raise hiredis.ProtocolError("the long value is not followed by a line end at its announced size")
        if data:
            self._parse(data)
        return chunk

    def _read_header(self, data: bytes) -> bytes:
        """Detect a long value at the start of a response; return the data behind the header."""
        self.partial_header = None
        header = HEADER.match(data)
        if header is None:
            if PARTIAL_HEADER.fullmatch(data):
                self.partial_header = data
                return b""
            return data
        size = int(header[2])
        if size <= LONG_VALUE_BYTES:
            return data
        self.value_size = size
        if size > MAX_VALUE_BYTES:
            raise hiredis.ProtocolError(f"the value has {size} bytes, the limit is {MAX_VALUE_BYTES}")
        self.value_bytes_left = size + len(CRLF)
        self._parse(b"*%b\r\n$0\r\n\r\n" % header[1])
        return data[header.end() :]

    def _parse(self, data: bytes) -> None:
        self.buffered_bytes += len(data)
        if self.scanner.check(data) < len(data):
            raise hiredis.ProtocolError(
                f"more than {MAX_ELEMENTS} elements, a line that is too long, or a string without its line end"
            )
        self.parser.feed(data)

    def take_response(self) -> Any:
        """Return the current response as hiredis parsed it; INCOMPLETE while more data is due."""
        response = self.parser.gets() if not self.value_bytes_left else INCOMPLETE
        if response is not INCOMPLETE:
            self.partial_header = b""
            self.value_size = 0
            if self.buffered_bytes > MAX_KEPT_BUFFER_BYTES and not self.parser.has_data():
                self.parser = hiredis.Reader(notEnoughData=INCOMPLETE)
            self.buffered_bytes = 0
        return response

    def has_data(self) -> bool:
        """Report whether data follows the response that was taken."""
        return bool(self.parser.has_data())
