"""Scripted servers on ephemeral loopback ports, a RESP client, and a configuration that points the ingress to them."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Self

import hiredis
import uvloop
from msgspec.structs import replace

from ingress.configuration.applier import request_limits
from ingress.configuration.document import Config, read_config
from ingress.ingress import Ingress

TEST_TIMEOUT_S = 20.0  # A test that runs longer counts as stuck.
Address = tuple[str, int]
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


def run_async(body: Coroutine[Any, Any, None]) -> None:
    """Run the coroutine in an event loop of its own; raise TimeoutError if it is stuck."""
    uvloop.run(asyncio.wait_for(body, TEST_TIMEOUT_S))


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds, for effects of the program under test that cannot be awaited."""
    while not condition():
        await asyncio.sleep(0.002)


# Those still running are killed after each test, whether it passes or fails.
STARTED_PROCESSES: list[asyncio.subprocess.Process] = []

RESERVED_PORTS: list[socket.socket] = []  # Closed after each test.


def free_port() -> int:
    """Return a port that nothing else gets until the end of the test.

    The port stays bound without a listener, so that connects to it are refused until a program listens on it, with
    SO_REUSEADDR. Were it released, the system could give it to another socket before that.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    RESERVED_PORTS.append(reserved)
    port: int = reserved.getsockname()[1]
    return port


class Peer:
    """A scripted server.

    Attributes:
        script: Handles one connection, given the number of the connection (from 0) and its streams.
        connections: The number of connections accepted so far.
        ended_connections: The number of connections whose script has ended.
        commands: The commands received; kept by those scripts that record them.
        tasks: The tasks of the open connections.
        server: The listening server.
        address: The address on which it listens.
    """

    def __init__(self, script: Callable[[int, Reader, Writer], Awaitable[None]]) -> None:
        self.script = script
        self.connections = 0
        self.ended_connections = 0
        self.commands: list[list[bytes]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address: Address = self.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        try:
            await self.script(self.connections - 1, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended_connections += 1
            self.tasks.discard(task)
            writer.close()


async def read_command(reader: Reader) -> list[bytes]:
    """Read one RESP command and return its words."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def endpoint_answer(text: bytes) -> bytes:
    """Encode the answer of an endpoint whose value is `text`."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(text), text)


def fake_endpoint(answer: bytes | None = None) -> Peer:
    """Return an endpoint that records each command and replies with `answer`.

    With None it replies with the id of the request, and with b"" not at all.
    """

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            peer.commands.append(words)
            writer.write(endpoint_answer(words[2]) if answer is None else answer)

    peer = Peer(script)
    return peer


def command(
    request: str = "00000000000000aa",
    cls: str = "read",
    d: int = 2000,
    customer: int = 7,
    verb: str | None = None,
    body: bytes | None = None,
    extra: str = "",
) -> bytes:
    """Encode the RESP command of a request; any class but `read` writes, with an idempotency key and a body.

    Args:
        request: The request id.
        cls: The request class.
        d: The deadline in milliseconds.
        customer: The customer, encoded in hexadecimal.
        verb: The command; None chooses it by the class.
        body: The body; None sends none with a read.
        extra: Further fields for the header, each after a comma.
    """
    if cls != "read":
        verb = verb or "API.WRITE"
        extra = extra + ",k=0123456789abcdef"
        body = body or b"body"
    names = f"c={cls},t=basic,d={d}{extra},units=1,spread=1,first=0"
    words = [(verb or "API.READ").encode(), b"%016x" % customer, request.encode(), names.encode()]
    return resp(*words, *([] if body is None else [body]))


def resp(*words: bytes) -> bytes:
    """Encode the words as a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class RespClient:
    """The client side of a RESP connection."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader(notEnoughData=self)  # This object stands for an incomplete answer.

    @classmethod
    async def connect(cls, address: Address) -> Self:
        """Connect to the address."""
        return cls(*await asyncio.open_connection(*address))

    async def read_answer(self) -> Any:
        """Read one answer.

        Raises:
            EOFError: The connection was closed before a complete answer.
        """
        while (answer := self.parser.gets()) is self:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return answer

    async def request(self, data: bytes) -> Any:
        """Send the data and read one answer."""
        self.writer.write(data)
        return await self.read_answer()


SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "self-index": 0,
    "zone": "a",
    "tick-s": 0.002,
    "membership-mode": "pushed",
    "categories": [
        {"name": "read", "aim-s": 1.0, "give-up-s": 2.0, "importance": 1.0, "semantics": "safe"},
        {
            "name": "order",
            "aim-s": 1.0,
            "give-up-s": 2.0,
            "importance": 1.0,
            "semantics": "keyed",
            "dedup-window-s": 4.0,
        },
    ],
    "contracts": [{"name": "basic", "refill": 100.0, "burst": 500.0}],
    "limits": {"max-attempts": 4, "connect-timeout-s": 0.25, "keepalive-s": 15.0},
    "rules": {"drain-grace-s": 1.0},
    "family-info": {},
}


def endpoint_entry(address: Address, name: str = "s1", state: str = "ready", started: int = 0) -> dict[str, Any]:
    """Return the entry of an endpoint as the endpoint list contains it."""
    return {
        "id": name,
        "addr": f"{address[0]}:{address[1]}",
        "zone": "a",
        "kind": "m",
        "cell": 1,
        "state": state,
        "weight": 1.0,
        "started_ms": started,
    }


def config_text(
    *servers: dict[str, Any], listen: str = "127.0.0.1:0", discovery: str = "127.0.0.1:1", **changes: Any
) -> str:
    """Return the text of a configuration file with these endpoints; a changed field that is None is left out."""
    source = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": list(servers)},
        "settings": SETTINGS,
    }
    return json.dumps({key: value for key, value in (source | changes).items() if value is not None})


def config(*servers: dict[str, Any], **changes: Any) -> Config:
    """Return the configuration that `config_text` describes."""
    return read_config(config_text(*servers, **changes))


def override_config(served: Ingress, **changes: Any) -> None:
    """Change fields of the active configuration and the limits of requests, and nothing else in the process."""
    versions = served.changes.versions.versions
    versions[-1] = replace(versions[-1], config=replace(versions[-1].config, **changes))
    served.requests.limits = request_limits(versions[-1].config)
