"""One HTTP/1.1 connection for GET, to an agent on this machine."""

from __future__ import annotations

import asyncio

import httptools

LONGEST = 16 << 20  # bytes of an answer
READ = 1 << 16  # bytes


class HttpError(Exception):
    """An answer that can't be used."""


class _Answer:
    """What the parser has found so far."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.headers, self.whole, self.sized = bytearray(), False, False, False
        self.keep = False  # the connection can be used again

    def on_header(self, name: bytes, value: bytes) -> None:
        self.sized = self.sized or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.headers = True

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.whole, self.keep = True, self.parser.should_keep_alive()  # known only here


class HttpConnection:
    """Opens when it is needed and is kept open between calls."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, path: str) -> bytes:
        """The body of a 200; whatever else comes is an HttpError or an OSError."""
        if self.streams is not None:
            try:
                return await self._get(path, self.streams)
            except ConnectionError:
                self.close()  # the agent closed it since the last call
        self.streams = await asyncio.open_connection(*self.address)
        return await self._get(path, self.streams)

    async def _get(self, path: str, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bytes:
        reader, writer = streams
        answer = _Answer()
        try:
            host = f"{self.address[0]}:{self.address[1]}"
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode())
            while not answer.whole:
                data = await reader.read(READ)
                if not data:
                    if answer.headers and not answer.sized:
                        break  # the end of the connection is the end of the body
                    raise ConnectionResetError("the agent hung up")
                answer.parser.feed_data(data)
                if len(answer.body) > LONGEST:
                    raise HttpError("endless answer")
        except httptools.HttpParserError as error:
            raise HttpError(f"{type(error).__name__}: {error}") from error
        finally:
            if not answer.keep:
                self.close()
        if answer.parser.get_status_code() != 200:
            raise HttpError(f"status {answer.parser.get_status_code()}")
        return bytes(answer.body)

    def close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None
