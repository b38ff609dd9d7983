"""A fake shared counter: sums by name, with one line of text per call."""

from __future__ import annotations

import asyncio
import math
from typing import cast

MOST_NAME = 64
MOST_AMOUNT = 1e9  # of the absolute value
MOST_LIFE = 60.0
LONGEST_LINE = 256


class Counter:
    """A counter whose names expire after the time given by the first call that creates them.

    Attributes:
        calls: The number of valid `add` calls.
        numbers: The sum and the time of expiry of each name.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.numbers: dict[str, tuple[float, float]] = {}
        self.listener: asyncio.Server | None = None
        self.address: tuple[str, int] = ("", 0)

    async def open(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.get_running_loop().create_server(lambda: Line(self), "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()

    def answer(self, line: str, now: float) -> str:
        """Return the response to one call, without its end of line."""
        match line.split(" "):
            case ["ping"]:
                return "pong"
            case ["add", name, amount, life]:
                try:
                    add = float(amount)
                    ms = int(life)
                except ValueError:
                    return "error"
                if not (
                    0 < len(name.encode()) <= MOST_NAME and math.isfinite(add) and abs(add) <= MOST_AMOUNT and ms >= 1
                ):
                    return "error"
                self.calls += 1
                total, until = self.numbers.get(name, (0.0, 0.0))
                if now >= until:
                    total = 0.0
                    until = now + min(MOST_LIFE, ms / 1000)
                self.numbers[name] = total + add, until
                return f"ok {total + add:.7g}"
        return "error"

    def close(self) -> None:
        """Stop listening."""
        if self.listener is not None:
            self.listener.close()


class Line(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.left = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by asyncio."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer each complete line; close the connection if the rest is too long for a line; called by asyncio."""
        assert self.transport is not None
        *lines, self.left = (self.left + data).split(b"\r\n")
        now = asyncio.get_running_loop().time()
        for line in lines:
            self.transport.write(self.counter.answer(line.decode("ascii", "replace"), now).encode() + b"\r\n")
        if len(self.left) > LONGEST_LINE:
            self.transport.close()
