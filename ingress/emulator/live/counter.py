"""A fake shared counter: sums by name, with one line of text per call."""

from __future__ import annotations

import asyncio
import math
from typing import cast

MAX_NAME_BYTES = 64
MAX_AMOUNT = 1e9  # of the absolute value
MAX_TTL_S = 60.0
MAX_LINE_BYTES = 256


class FakeCounter:
    """A counter whose names expire after the time given by the first call that creates them.

    Attributes:
        calls: The number of valid `add` calls.
        sums: The sum and the time of expiry of each name.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.sums: dict[str, tuple[float, float]] = {}
        self.listener: asyncio.Server | None = None
        self.address: tuple[str, int] = ("", 0)

    async def open(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.get_running_loop().create_server(lambda: CounterConnection(self), "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    def answer(self, line: str, now: float) -> str:
        """Return the response to one call, without its end of line."""
        match line.split(" "):
            case ["ping"]:
                return "pong"
            case ["add", name, amount, ttl]:
                try:
                    increment = float(amount)
                    ttl_ms = int(ttl)
                except ValueError:
                    return "error"
                if not (
                    0 < len(name.encode()) <= MAX_NAME_BYTES
                    and math.isfinite(increment)
                    and abs(increment) <= MAX_AMOUNT
                    and ttl_ms >= 1
                ):
                    return "error"
                self.calls += 1
                total, expires_at = self.sums.get(name, (0.0, 0.0))
                if now >= expires_at:
                    total = 0.0
                    expires_at = now + min(MAX_TTL_S, ttl_ms / 1000)
                self.sums[name] = total + increment, expires_at
                return f"ok {total + increment:.7g}"
        return "error"

    def close(self) -> None:
        """Stop listening."""
        if self.listener is not None:
            self.listener.close()


class CounterConnection(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, counter: FakeCounter) -> None:
        self.counter = counter
        self.remainder = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer each complete line; close the connection if the rest is too long for a line; called by asyncio."""
        assert self.transport is not None
        *lines, self.remainder = (self.remainder + data).split(b"\r\n")
        now = asyncio.get_running_loop().time()
        for line in lines:
            self.transport.write(self.counter.answer(line.decode("ascii", "replace"), now).encode() + b"\r\n")
        if len(self.remainder) > MAX_LINE_BYTES:
            self.transport.close()
