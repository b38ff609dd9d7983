"""One HTTP/1.1 connection for GET requests to the discovery service."""

from __future__ import annotations

import asyncio

import httptools

from ingress.errors import IngressError

MAX_BODY_BYTES = 16 << 20
READ_BYTES = 1 << 16
STATUS_OK = 200
BUSY_STATUSES = (429, 503)


class HttpError(IngressError):
    """The response can't be used."""


class BusyError(HttpError):
    """The service reports that it is overloaded (status 429 or 503).

    Attributes:
        retry_after: The Retry-After time in seconds, 0 if the service gave none.
    """

    def __init__(self, status: int, retry_after: float) -> None:
        super().__init__(f"the discovery service is overloaded: HTTP status {status}")
        self.retry_after = retry_after


class _ResponseReader:
    """Collects one response from the callbacks of the parser.

    Attributes:
        has_length: Whether a header determines where the body ends.
        has_unexpected_response: Whether a second response follows, which was not requested.
        retry_after: The Retry-After time in seconds; 0 if the header is absent or not a number.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.has_headers = False
        self.has_length = False
        self.is_complete = False
        self.can_reuse_connection = False
        self.has_unexpected_response = False
        self.retry_after = 0.0

    def on_message_begin(self) -> None:
        """Detect a second response."""
        self.has_unexpected_response = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluate the headers about the body length and the retry time."""
        if self.has_unexpected_response:
            return
        lower_name = name.lower()
        self.has_length = self.has_length or lower_name in (b"content-length", b"transfer-encoding")
        if lower_name == b"retry-after" and value.isdigit():
            self.retry_after = float(value)

    def on_headers_complete(self) -> None:
        """Record that the headers are complete."""
        self.has_headers = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if not self.has_unexpected_response:
            self.body += data

    def on_message_complete(self) -> None:
        """Record that the response is complete, and whether the connection may be reused."""
        if self.has_unexpected_response:
            return
        self.is_complete = True
        self.can_reuse_connection = self.parser.should_keep_alive()  # final only after the complete message


class HttpConnection:
    """A connection that is opened on demand and stays open between calls."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, path: str) -> bytes:
        """Return the body of a response with status 200.

        Raises:
            BusyError: The service is overloaded.
            HttpError: The response can't be used.
            OSError: The connection failed.
        """
        if self.streams is not None:
            try:
                return await self._get(path, self.streams)
            except ConnectionError:
                self.close()  # the service has closed it since the last call
        self.streams = await asyncio.open_connection(*self.address)
        return await self._get(path, self.streams)

    async def _get(self, path: str, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bytes:
        reader, writer = streams
        response = _ResponseReader()
        host = f"{self.address[0]}:{self.address[1]}"
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode())
            await self._read_response(reader, response)
        except httptools.HttpParserError as error:
            raise HttpError(f"GET {path}: malformed HTTP response: {type(error).__name__}: {error}") from error
        finally:
            if response.has_unexpected_response or not response.can_reuse_connection:
                self.close()
        status = response.parser.get_status_code()
        if status in BUSY_STATUSES:
            raise BusyError(status, response.retry_after)
        if status != STATUS_OK:
            raise HttpError(f"GET {path}: expected HTTP status {STATUS_OK}, received {status}")
        return bytes(response.body)

    async def _read_response(self, reader: asyncio.StreamReader, response: _ResponseReader) -> None:
        while not response.is_complete:
            data = await reader.read(READ_BYTES)
            if not data:
                if response.has_headers and not response.has_length:
                    return  # without a length the body ends with the connection
                raise ConnectionResetError("the discovery service closed the connection before the end of its response")
            response.parser.feed_data(data)
            if len(response.body) > MAX_BODY_BYTES:
                raise HttpError(f"the response body exceeds {MAX_BODY_BYTES} bytes")

    def close(self) -> None:
        """Close the connection if it is open."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None
