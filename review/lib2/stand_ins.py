"""Stand-ins for clients, schedule servers, discovery and the platform, for the cases 6 to 10 of the review.

They follow the pages PROTOCOL, DEPLOY and TERMS, and use nothing but the standard library.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import logging
import os
import shutil
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

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # the exit statuses of a case
READY_WITHIN_S = 30.0  # an ingress has so long to get ready
READ_BYTES = 1 << 16

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "self-index": 0,
    "categories": [
        {
            "name": "schedule-read",
            "aim-s": 0.6,
            "give-up-s": 2.5,
            "importance": 1.0,
            "late-worth": 0.2,
            "semantics": "safe",
            "key-scope": "all",
            "dedup-window-s": 5.0,
            "stream": False,
        }
    ],
    "clients": {"marks-retry": True},
    "contracts": [
        {"name": "society", "refill": 5.0, "burst": 13.0, "worth-factor": 1.2, "excess-cost": 0.5},
        {
            "name": "federation",
            "refill": 21.0,
            "burst": 50.0,
            "worth-factor": 1.8,
            "excess-cost": 1.2,
            "hard-rate": 54.0,
            "ceiling-burst": 130.0,
            "cap-slack": 13.0,
        },
    ],
    "family-info": {"counter": False, "most-units": 1},
    "limits": {
        "cancel": True,
        "connect-timeout-s": 0.25,
        "keepalive-s": 15.0,
        "max-attempts": 3,
        "max-open": 20000,
        "peers": False,
        "probing": False,
        "second-copies": True,
    },
    "localities": ["dc1"],
    "membership-mode": "pushed",
    "report": {"columns": [], "how": "none"},
    "rules": {
        "answer-slack-s": 0.008,
        "ask-within-s": 10.0,
        "cold-s": 18.0,
        "drain-grace-s": 2.0,
        "fall-s": 2.0,
        "overload-factor": 4.0,
        "start-capacity": 0.22,
    },
    "tick-s": 0.002,
    "zone": "dc1",
}


def base_settings() -> dict[str, Any]:
    """Return a copy of the settings of a small deployment, which a case may change."""
    return copy.deepcopy(SETTINGS)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """The record of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.started_at = time.monotonic()
        self.file = self.path.open("w", encoding="utf-8")
        self.note(f"disruption: {'yes' if TROUBLE else 'no (TROUBLE=0)'}")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def encode_command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def answer_of(value: bytes) -> bytes:
    """Encode a schedule server's answer: the value, no figures on use, no load report."""
    return b"*3\r\n%b$-1\r\n$-1\r\n" % bulk(value)


def read_request(customer: int, request_id: str, timeout_ms: int = 2500, plan: str = "society") -> bytes:
    """Encode an `API.READ` of a customer whose only ingress is the first."""
    fields = f"c=schedule-read,t={plan},d={timeout_ms},units=1,spread=1,first=0"
    return encode_command(b"API.READ", b"%016x" % customer, request_id.encode(), fields.encode())


def write_request(customer: int, request_id: str, request_class: str, timeout_ms: int = 2500) -> bytes:
    """Encode an `API.WRITE` with a short body."""
    fields = f"c={request_class},t=society,d={timeout_ms},units=1,spread=1,first=0"
    return encode_command(b"API.WRITE", b"%016x" % customer, request_id.encode(), fields.encode(), b"new schedule")


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next line without its end; raise `ConnectionError` if the connection has ended."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionResetError("the connection has ended")
    return line[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the words of the next command."""
    head = await read_line(reader)
    words = []
    for _ in range(int(head[1:])):
        size = int((await read_line(reader))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def _drop(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(RuntimeError):  # the event loop is closed at the end of a case
        writer.transport.abort()


Reply = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]]


class ScheduleServer:
    """A schedule server: calls `reply` for each request, in the order of a connection's commands."""

    def __init__(self, name: str, record: Record, reply: Reply) -> None:
        self.name = name
        self.record = record
        self.reply = reply
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.arrivals: list[tuple[float, bytes]] = []

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words = await read_command(reader)
                verb = words[0].upper()
                if verb in (b"API.READ", b"API.WRITE"):
                    self.arrivals.append((self.record.now(), words[2]))
                    await self.reply(words, writer)
                else:
                    writer.write(b"+PONG\r\n" if verb == b"PING" else b"+OK\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            _drop(writer)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry of this server in the list."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "dc1",
            "kind": "small-2core",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }


class Discovery:
    """The discovery agent: answers at once with the whole list, or a watch with what has changed."""

    def __init__(self, record: Record, label: str = "discovery") -> None:
        self.record = record
        self.label = label
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, *entries: dict[str, Any]) -> None:
        """Add or change entries, in one version."""
        async with self.changed:
            self.version += 1
            for entry in entries:
                self.entries[entry["id"]] = entry
                self.changed_at[entry["id"]] = self.version
                self.record.note(f"{self.label}: version {self.version}: {entry['id']} is {entry['state']}")
            self.changed.notify_all()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        servers = [entry for entry in self.entries.values() if entry["state"] != "gone"]
        return {"version": self.version, "full": True, "servers": servers}

    async def _answer(self, path: str) -> dict[str, Any]:
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
        if "after" not in query:
            return self.whole_list()
        after = int(query["after"])
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(60.0, int(query.get("wait_ms", "0")) / 1000)):
                    await self.changed.wait_for(lambda: self.version > after)
        servers = [entry for name, entry in self.entries.items() if self.changed_at[name] > after]
        return {"version": self.version, "full": False, "servers": servers}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = json.dumps(await self._answer(head.split(b" ")[1].decode())).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
                writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            _drop(writer)

    def move_away(self) -> None:
        """Take no new connections and close the open ones after 1.5 s, as after a new configuration."""
        if self.server is not None:
            self.server.close()
        loop = asyncio.get_running_loop()
        loop.call_later(1.5, lambda: [writer.close() for writer in list(self.writers)])


class Client:
    """One connection of a client; commands may be written one behind another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port: int, source: str = "127.0.0.1") -> Client:
        """Connect to the ingress."""
        streams = await asyncio.open_connection("127.0.0.1", port, local_addr=(source, 0), limit=1 << 22)
        return cls(*streams)

    def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)

    async def answer(self) -> bytes:
        """Return the next answer: the value behind `$`, or the line of any other kind."""
        line = await read_line(self.reader)
        if not line.startswith(b"$") or line == b"$-1":
            return line
        return b"$" + (await self.reader.readexactly(int(line[1:]) + 2))[:-2]

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Ingress:
    """One process of the ingress, started by `run` of the deploy file."""

    def __init__(self, platform: Platform, config: dict[str, Any], label: str, shared: Path | None = None) -> None:
        self.label = label
        self.folder = platform.folder / label
        self.folder.mkdir()
        self.tmpdir = shared or self.folder / "tmp"
        self.tmpdir.mkdir(exist_ok=True)
        self.config_path = platform.config_path(config)
        self.port = int(config["listen"].rpartition(":")[2])
        self.control_port = int(config["control"].rpartition(":")[2])
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(self.tmpdir),
            "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(self.config_path),
            "EDGE_CONTROL": config["control"],
        }
        self.log = (self.folder / "log.txt").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", platform.run_command], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        platform.processes.append(self.process)
        platform.record.note(f"platform: started {label}")

    def log_text(self) -> str:
        """Return what the process has logged."""
        return (self.folder / "log.txt").read_text(encoding="utf-8", errors="replace")

    def memory_mb(self) -> float:
        """Return the memory of the process in MB: what it alone holds, and its share of what it shares."""
        try:
            text = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text(encoding="ascii")
        except OSError:
            return 0.0
        line = next((line for line in text.splitlines() if line.startswith("Pss:")), "Pss: 0")
        return int(line.split()[1]) / 1024

    async def call(self, line: str) -> str:
        """Return the answer of the second address to one call."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
        try:
            writer.write(line.encode() + b"\n")
            return (await reader.read(1 << 20)).decode()
        finally:
            writer.close()

    async def wait_until_ready(self) -> None:
        """Wait until `ready` is answered with yes, and `PING` with `+PONG`."""
        deadline = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                if (await self.call("ready")).startswith("ok"):
                    return
            await asyncio.sleep(0.02)
        raise CaseError(f"{self.label} did not get ready: {self.log_text()}")


class MemoryLimit:
    """What the platform does: an ingress that holds more memory than its limit is killed.

    Attributes:
        peak_mb: The most memory that the ingress was seen to hold.
    """

    def __init__(self, ingress: Ingress, record: Record, limit_mb: float) -> None:
        self.ingress = ingress
        self.record = record
        self.limit_mb = limit_mb
        self.peak_mb = 0.0

    async def watch(self) -> None:
        """Look at the memory every 20 ms, until it is over the limit."""
        while self.peak_mb <= self.limit_mb:
            memory = self.ingress.memory_mb()
            if memory > self.peak_mb:
                self.record.note(f"platform: the ingress holds {memory:.1f} MB of {self.limit_mb:.0f} MB")
                self.peak_mb = memory
            await asyncio.sleep(0.02)
        self.record.note("platform: the ingress is over its limit and is killed")
        self.ingress.process.kill()

    def breaks(self) -> list[str]:
        """Return how the rule was broken."""
        if self.peak_mb <= self.limit_mb:
            return []
        return [f"the ingress held {self.peak_mb:.1f} MB with a limit of {self.limit_mb:.0f} MB, and was killed"]


class CaseError(Exception):
    """The case could not run."""


class Platform:
    """Starts processes as the deploy file says, and ends them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.processes: list[subprocess.Popen[bytes]] = []

    def make_config(
        self, discovery: Discovery, settings: dict[str, Any], limits: dict[str, float], name: str = "n0"
    ) -> dict[str, Any]:
        """Return a configuration with free ports."""
        return {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "control": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": limits,
            "known": discovery.whole_list(),
            "settings": settings,
        }

    def config_path(self, config: dict[str, Any]) -> Path:
        """Write a configuration file, in one step, and return its path."""
        path = self.folder / f"{config['name']}.json"
        draft = path.with_suffix(".draft")
        draft.write_text(json.dumps(config), encoding="utf-8")
        draft.rename(path)
        return path

    def close(self) -> None:
        """End all processes and delete the folder."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, case: Callable[[Record, Platform], Awaitable[list[str]]]) -> None:
    """Run a case and exit with its status; the case returns how the rule was broken, a line for each break."""
    record = Record(folder)
    platform = Platform(record)
    try:
        breaks = asyncio.run(_with_time_limit(case(record, platform)))
    except Exception as error:
        record.note(f"could not run: {type(error).__name__}: {error}")
        status = COULD_NOT_RUN
    else:
        for text in breaks:
            record.note(f"BROKEN: {text}")
        status = BROKEN if breaks else HELD
    finally:
        platform.close()
    record.note(f"exit status {status}")
    sys.exit(status)


async def _with_time_limit(case: Awaitable[list[str]]) -> list[str]:
    # Connections that end within a case are part of it, and their effects are judged elsewhere.
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    async with asyncio.timeout(110.0):
        return await case
