"""Stand-ins for the platform, discovery, schedule servers and clients, as the pages describe them.

Only the standard library is used. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0  # "takes over 30 s to be ready"

Command = list[bytes]
Reply = bytes | None
Handler = Callable[[Command], Awaitable[Reply]]
AfterAnswer = Callable[[Command, bytes, Callable[[bytes], None]], Awaitable[None]]
RespValue = bytes | int | list[Any] | Exception | None


class Record:
    """The file `record.txt`: what was sent, answered and run, with the time since the start of the test."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")
        self.file.flush()


def free_port(host: str = HOST) -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def encode(*words: bytes) -> bytes:
    """Encode a command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def request(request_id: bytes, customer: int, cls: str, plan: str, deadline_ms: int) -> bytes:
    """Encode a client's request for a customer whose set is this one ingress."""
    fields = f"c={cls},t={plan},d={deadline_ms},units=1,spread=1,first=0".encode()
    return encode(b"API.READ", b"%016x" % customer, request_id, fields)


async def read_command(reader: asyncio.StreamReader) -> Command:
    """Read one command."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> RespValue:
    """Read one reply; an error line is returned as an exception."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"+":
        return rest
    if kind == b"-":
        return RuntimeError(rest.decode("ascii", "replace"))
    if kind == b":":
        return int(rest)
    if kind == b"$":
        if int(rest) < 0:
            return None
        return (await reader.readexactly(int(rest) + 2))[:-2]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    raise ValueError(f"not a reply: {line[:80]!r}")


def answer(value: bytes, report: bytes | None = b"inflight=1,util=0.1") -> bytes:
    """Encode a schedule server's answer: the value, no figures on use, and the load report."""
    load = b"$-1\r\n" if report is None else b"$%d\r\n%b\r\n" % (len(report), report)
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(value), value, load)


class ScheduleServer:
    """A schedule server: begins each command once its last byte has arrived, and answers in order.

    Attributes:
        name: Its id in discovery.
        handle: Returns the bytes of the answer to a command; None for no answer.
        after: Called after each answer with the command, the answer, and a function that writes on the connection.
        begun: The commands begun, with the time.
    """

    def __init__(self, name: str, handle: Handler, record: Record, after: AfterAnswer | None = None) -> None:
        self.name = name
        self.handle = handle
        self.after = after
        self.record = record
        self.begun: list[tuple[float, Command]] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=8 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        # The system's default: a small write waits until the one before it has been acknowledged. asyncio changes it.
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        try:
            while True:
                command = await read_command(reader)
                verb = command[0].upper()
                if verb == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                self.begun.append((time.monotonic(), command))
                self.record(f"server {self.name} begins {command[2].decode()} {command[3].decode()}")
                reply = await self.handle(command)
                if reply is not None:
                    writer.write(reply)
                    await writer.drain()
                    if self.after is not None:
                        await self.after(command, reply, writer.write)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has closed, or the test has ended.
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self, state: str = "ready", started_ms: int = 0) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "tbilisi-dc1",
            "kind": "small-2core",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
        }


class Discovery:
    """The agent of discovery: the whole list, and watches for changes.

    Attributes:
        version: The version of the list.
        entries: The entries by id, each with the version at which it last changed.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 41
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.changed = asyncio.Condition()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(self, entry: dict[str, Any]) -> None:
        """Add an entry before an ingress is started."""
        self.entries[entry["id"]] = (self.version, entry)

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [entry for _, entry in self.entries.values() if entry["state"] != "gone"]
        return {"version": self.version, "full": True, "servers": listed}

    async def tell(self, *entries: dict[str, Any]) -> None:
        """Change entries, which answers open watches."""
        async with self.changed:
            self.version += 1
            for entry in entries:
                self.entries[entry["id"]] = (self.version, entry)
                self.record(f"discovery tells version {self.version}: {entry['id']} {entry['state']}")
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                body = json.dumps(await self._answer(path)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has closed, or the test has ended.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path: str) -> dict[str, Any]:
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
        if "after" not in query:
            return self.document()
        after = int(query["after"])
        if after > self.version:
            return self.document()
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000):
                    await self.changed.wait_for(lambda: self.version > after)
        changes = [entry for version, entry in self.entries.values() if version > after]
        return {"version": self.version, "full": False, "servers": changes}


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the example of the wire page, with these keys changed."""
    source: dict[str, Any] = {
        "balancers": 1,
        "categories": [
            {
                "aim-s": 0.6,
                "dedup-window-s": 5.0,
                "give-up-s": 2.5,
                "importance": 1.0,
                "key-scope": "all",
                "late-worth": 0.2,
                "name": "schedule-read",
                "semantics": "safe",
                "stream": False,
            }
        ],
        "clients": {"marks-retry": True},
        "contracts": [
            {
                "at-once": 0,
                "burst": 34.0,
                "cap-slack": 8.0,
                "ceiling-burst": 79.0,
                "excess-cost": 1.2,
                "hard-rate": 40.0,
                "name": "federation",
                "over-worth": 0.0,
                "refill": 18.0,
                "worth-factor": 1.8,
            }
        ],
        "family-info": {
            "cost-after": False,
            "count-fee": 0.02,
            "count-wait-s": 0.08,
            "counter": False,
            "mail-per-s": 0.0,
            "meter-s": 0.0,
            "most-units": 1,
        },
        "goal": {"whole": 0.5, "worst-class": 0.0, "worst-tenant": 0.25, "worst-window": 0.25},
        "limits": {
            "cancel": True,
            "connect-timeout-s": 0.25,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 500000,
            "keepalive-s": 15.0,
            "max-attempts": 3,
            "max-open": 20000,
            "max-retry-after-s": 2.0,
            "max-streams": 100,
            "peers": False,
            "probing": True,
            "retry-after": False,
            "second-copies": True,
        },
        "localities": ["tbilisi-dc1"],
        "membership-mode": "pushed",
        "prices": {"probe": 0.01, "waste": 0.08},
        "report": {"columns": ["active", "cpu"], "how": "answers"},
        "rules": {
            "answer-slack-s": 0.008,
            "ask-within-s": 10.0,
            "cold-s": 18.0,
            "drain-grace-s": 2.0,
            "fall-s": 2.0,
            "overload-factor": 4.0,
            "start-capacity": 0.22,
        },
        "self-index": 0,
        "service-type": "gate",
        "shapes": ["small-2core"],
        "stage": 0,
        "stages": ["schedule-servers"],
        "tick-s": 0.002,
        "weight-kind": "nominal",
        "zone": "tbilisi-dc1",
    }
    return source | changes


class Platform:
    """Starts ingresses with the command of the deploy file, and ends all processes that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="ingress-review-")
        self.processes: list[subprocess.Popen[bytes]] = []
        self.run_command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        self.port = free_port()

    def config(self, name: str, discovery: Discovery, control: int, **changes: Any) -> Path:
        """Write a configuration file and return its path."""
        document = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "control": f"{HOST}:{control}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.document(),
            "settings": settings(),
        } | changes
        path = Path(self.folder.name) / f"{name}.json"
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(document), encoding="utf-8")
        temporary.rename(path)
        return path

    def start(self, config: Path, temporary: str = "tmp") -> subprocess.Popen[bytes]:
        """Start one ingress as the platform does, from the root by the shell, with a private TMPDIR."""
        folder = Path(self.folder.name) / temporary
        folder.mkdir(exist_ok=True)
        document = json.loads(config.read_text(encoding="utf-8"))
        environment = os.environ | {
            "EDGE_CONFIG": str(config),
            "EDGE_NAME": document["name"],
            "EDGE_LISTEN": document["listen"],
            "EDGE_DISCOVERY": document["discovery"],
            "TMPDIR": str(folder),
        }
        log = (Path(self.folder.name) / f"{config.stem}.log").open("ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", self.run_command],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes.append(process)
        self.record(f"platform starts an ingress with {config.name}, process {len(self.processes)}")
        return process

    async def ready(self, process: subprocess.Popen[bytes], port: int | None = None) -> None:
        """Wait until the ingress has answered PING with PONG."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline and process.poll() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(HOST, port or self.port)
                    writer.write(encode(b"PING"))
                    reply = await reader.readuntil(b"\r\n")
                    writer.close()
                    if reply == b"+PONG\r\n":
                        self.record("the ingress answers PONG")
                        return
            await asyncio.sleep(0.05)
        raise RuntimeError("the ingress is not ready")

    def log(self, name: str) -> str:
        """Return what an ingress has logged."""
        path = Path(self.folder.name) / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def end_processes(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            process.wait()

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        self.end_processes()
        self.folder.cleanup()


async def control(port: int, line: str) -> str:
    """Send one call to the second address of an ingress and return the answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(line.encode() + b"\n")
    reply = await reader.read()
    writer.close()
    return reply.decode("utf-8", "replace")


class SlowClient:
    """A client connection that reads at the pace of its caller, so that the rest stays in the network.

    Attributes:
        address: Its own address.
        received: The bytes read so far that are no whole reply yet.
        has_ended: How the connection has ended: empty while it is open, else `eof` or `reset`.
    """

    def __init__(self, receive_buffer: int = 64 << 10) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.setblocking(False)
        self.address: tuple[str, int] = ("", 0)
        self.received = bytearray()
        self.has_ended = ""

    async def connect(self, port: int, host: str = HOST) -> None:
        """Connect."""
        await asyncio.get_running_loop().sock_connect(self.sock, (host, port))
        self.address = self.sock.getsockname()

    async def send(self, data: bytes) -> None:
        """Write."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read(self, size: int, wait_s: float) -> bool:
        """Read once; return whether anything came within `wait_s` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                data = await asyncio.get_running_loop().sock_recv(self.sock, size)
        except TimeoutError:
            return False
        except ConnectionError:
            self.has_ended = "reset"
            return False
        if not data:
            self.has_ended = "eof"
        self.received += data
        return bool(data)

    def next_reply(self) -> bytes | None:
        """Take the next whole reply, without the line end behind it; None while there is none."""
        line_end = self.received.find(b"\r\n")
        if line_end < 0:
            return None
        end = line_end + 2
        if self.received[:1] == b"$":
            end += int(self.received[1:line_end]) + 2
        if len(self.received) < end:
            return None
        reply = bytes(self.received[: end - 2])
        del self.received[:end]
        return reply

    def take_replies(self) -> list[bytes]:
        """Take all whole replies."""
        replies = []
        while (reply := self.next_reply()) is not None:
            replies.append(reply)
        return replies

    def close(self) -> None:
        """Close."""
        self.sock.close()


async def start_fleet(
    record: Record, platform: Platform, count: int, handle: Handler, after: AfterAnswer | None = None, **changes: Any
) -> subprocess.Popen[bytes]:
    """Start discovery, `count` schedule servers and an ingress; return the ingress once it is ready.

    Args:
        record: The record of the case.
        platform: The platform, which starts the ingress.
        count: The number of schedule servers.
        handle: Answers a command at each of them.
        after: Called after each answer; see `ScheduleServer`.
        changes: Keys of the configuration that differ from the default.
    """
    discovery = Discovery(record)
    await discovery.start()
    for number in range(count):
        server = ScheduleServer(f"s-{number}", handle, record, after)
        await server.start()
        discovery.add(server.entry())
    process = platform.start(platform.config("n0", discovery, free_port(), **changes))
    await platform.ready(process)
    return process


async def warm_up(record: Record, platform: Platform, deadline_ms: int) -> None:
    """Send ordinary traffic for two seconds, 30 requests at a time, so that the ingress knows its servers.

    The ids begin with `f`, unlike those of a case.
    """
    ends_at = time.monotonic() + 2.0
    counts = [0, 0]

    async def one(number: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, platform.port)
        sent = 0
        while time.monotonic() < ends_at:
            sent += 1
            request_id = b"f%07x%08x" % (number, sent)
            customer = 1000 * (number + 1) + sent % 50
            writer.write(request(request_id, customer, "schedule-read", "federation", deadline_ms))
            counts[isinstance(await read_reply(reader), bytes)] += 1
        writer.close()

    await asyncio.gather(*(one(number) for number in range(30)))
    record(f"warm-up: {counts[1]} requests served, {counts[0]} not")


def unread_bytes(local: tuple[str, int], remote: tuple[str, int]) -> int | None:
    """Return how many received bytes the process at `local` has not read, as the system reports it."""
    wanted = (_kernel_address(local), _kernel_address(remote))
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if (fields[1], fields[2]) == wanted:
            return int(fields[4].partition(":")[2], 16)
    return None


def _kernel_address(address: tuple[str, int]) -> str:
    packed = socket.inet_aton(address[0])[::-1].hex().upper()
    return f"{packed}:{address[1]:04X}"


def run_case(
    folder: Path, body: Callable[[Record, Platform, bool], Awaitable[list[str]]], limit_s: float = 115.0
) -> int:
    """Run a case; return the exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    platform = Platform(record)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the `finally` below still ends all processes

    async def bounded() -> list[str]:
        try:
            async with asyncio.timeout(limit_s):
                return await body(record, platform, trouble)
        finally:
            platform.end_processes()  # before the loop ends, so that nobody connects to it any more

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record(f"the case couldn't run: {type(error).__name__}: {error}")
        print(f"couldn't run: {type(error).__name__}: {error}")
        return 2
    finally:
        platform.close()
    for text in broken:
        record(f"BROKEN: {text}")
        print(f"broken: {text}")
    if not broken:
        record("the rule held")
        print("held")
    return 1 if broken else 0
