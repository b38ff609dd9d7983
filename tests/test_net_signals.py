"""Signals to the real process at every time from its start to its end: what was taken is answered, nothing crashes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import hiredis
import pytest

from ingress.graceful_shutdown import SIGKILL_DELAY
from tests.peers import (
    SETTINGS,
    STARTED,
    Address,
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config_text,
    entry,
    read_command,
    resp,
    run,
    until,
    value,
)
from tests.test_net_restart import ROOT

LONGEST = 2.0  # s: the longest deadline in the settings of the tests
KILL = LONGEST + SIGKILL_DELAY  # s after SIGTERM: the earliest SIGKILL
STUCK = 10.0  # s after which a process that should have ended is stuck


class Program:
    """The real program as a process, with the lines of its log."""

    def __init__(self, process: asyncio.subprocess.Process, address: Address, control: Address, path: Path) -> None:
        self.process, self.address, self.control, self.path = process, address, control, path
        self.log: list[str] = []
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode().rstrip("\n"))

    def logged(self, text: str) -> list[str]:
        return [line for line in self.log if text in line]

    async def ended(self) -> int:
        """The status, once the whole log is read."""
        status = await asyncio.wait_for(self.process.wait(), STUCK)
        await self.reading
        return status

    def catches(self, number: signal.Signals) -> bool:
        """Whether the process has a handler for the signal."""
        text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        return bool(int(text.partition("SigCgt:")[2].split()[0], 16) >> (number - 1) & 1)

    async def first_connection(self) -> Caller:
        """As soon as the process listens."""
        while True:
            try:
                return await Caller.to(self.address)
            except ConnectionError:
                assert self.process.returncode is None, self.log
                await asyncio.sleep(0.001)

    async def ready(self) -> None:
        """Until it has replied +PONG."""
        caller = await self.first_connection()
        assert await caller.ask(resp(b"PING")) == b"PONG"
        caller.writer.close()

    async def call(self, line: bytes) -> list[str]:
        """The answer at the second address."""
        reader, writer = await asyncio.open_connection(*self.control)
        writer.write(line + b"\n")
        answer = await reader.read()
        writer.close()
        return answer.decode().splitlines()

    def write(self, text: str) -> None:
        """A new configuration file, replaced by rename as the platform does."""
        other = self.path.with_suffix(".next")
        other.write_text(text, encoding="utf-8")
        other.rename(self.path)


@asynccontextmanager
async def launched(
    folder: Path,
    *servers: dict[str, Any],
    before: Callable[[], None] | None = None,
    at: Address | None = None,
    **changes: Any,
) -> AsyncIterator[Program]:
    """The program from its first moment on, `at` its address; `before` runs in the child before it."""
    with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.1", 0)) as other:
        address, control = at or one.getsockname(), other.getsockname()
    path = folder / f"config-{address[1]}.json"
    path.write_text(
        config_text(*servers, listen=f"127.0.0.1:{address[1]}", control=f"127.0.0.1:{control[1]}", **changes),
        encoding="utf-8",
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ingress",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=before,
        env=os.environ | {"EDGE_CONFIG": str(path), "TMPDIR": str(folder)},
    )
    STARTED.append(process)
    program = Program(process, address, control, path)
    try:
        yield program
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        await program.reading


def fleet(peer: Peer) -> list[dict[str, Any]]:
    return [entry(peer.address, f"s{n}") for n in range(8)]


def no_fault(program: Program) -> None:
    assert not program.logged("Traceback") and not program.logged("never retrieved"), program.log


async def over(caller: Caller) -> None:
    """Nothing more comes than the end of the connection; then the client ends it, too."""
    with pytest.raises((EOFError, ConnectionError)):
        pytest.fail(f"one more answer: {await caller.answer()!r}")
    caller.writer.close()


# SIGTERM in the start


@pytest.mark.parametrize("caught", [None, signal.SIGHUP, signal.SIGTERM])
def test_sigterm_before_it_listens_ends_it_in_time(caught: signal.Signals | None, tmp_path: Path) -> None:
    """At its first moment, once it reads its configuration, and once it has its handler."""

    async def body() -> None:
        async with launched(tmp_path) as program:
            while caught is not None and not program.catches(caught):
                await asyncio.sleep(0)
            program.process.send_signal(signal.SIGTERM)
            at = time.monotonic()
            status = await program.ended()
            assert time.monotonic() - at < KILL
            assert status in ((0,) if caught is signal.SIGTERM else (0, -signal.SIGTERM)), program.log
            no_fault(program)

    run(body())


def test_a_request_that_meets_sigterm_just_as_it_listens_is_answered(tmp_path: Path) -> None:
    async def body() -> None:
        async with backend() as peer, launched(tmp_path, *fleet(peer)) as program:
            caller = await program.first_connection()
            caller.writer.write(command("first"))
            program.process.send_signal(signal.SIGTERM)
            at = time.monotonic()
            assert await caller.answer() == b"first"
            await over(caller)
            assert await program.ended() == 0, program.log
            assert time.monotonic() - at < KILL
            no_fault(program)

    run(body())


# In the drain


def test_a_second_sigterm_cuts_nothing_off(tmp_path: Path) -> None:
    async def body() -> None:
        go = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            peer.commands.append(words)
            await go.wait()
            writer.write(value(words[2]))
            await reader.read()

        peer = Peer(script)
        async with peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            slow = await Caller.to(program.address)
            slow.writer.write(command("slow", d=1900))
            await until(lambda: peer.commands)
            program.process.send_signal(signal.SIGTERM)
            await until(lambda: program.logged("n0 is draining"))
            program.process.send_signal(signal.SIGTERM)
            late = await Caller.to(program.address)  # new ones still come
            late.writer.write(command("late", d=1500))
            await until(lambda: len(peer.commands) == 2)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGINT)
            go.set()
            assert [await slow.answer(), await late.answer()] == [b"slow", b"late"]
            await over(slow)
            await over(late)
            assert await program.ended() == 0, program.log
            no_fault(program)

    run(body())


@pytest.mark.parametrize("since", ["n0 is draining", "n0 has stopped serving"])
def test_sighup_after_sigterm_never_ends_it(since: str, tmp_path: Path) -> None:
    """Again and again until it has exited: an ingress that ends on SIGHUP has crashed."""

    async def body() -> None:
        async with backend() as peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            caller = await Caller.to(program.address)
            assert await caller.ask(command("one")) == b"one"
            program.process.send_signal(signal.SIGTERM)
            await until(lambda: program.logged(since))
            sent = 0
            while program.process.returncode is None:
                program.process.send_signal(signal.SIGHUP)
                sent += 1
                await asyncio.sleep(0.001)
            assert await program.ended() == 0, f"{sent} times SIGHUP: {program.log[-3:]}"
            assert program.logged("n0 has stopped serving")
            no_fault(program)

    run(body())


@pytest.mark.parametrize("partly", [b"", b"*3\r\n$5\r\nhel"])
def test_while_all_servers_hang_each_request_gets_its_one_answer_before_sigkill(partly: bytes, tmp_path: Path) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            peer.commands.append(await read_command(reader))
            writer.write(partly)

    async def body() -> None:
        async with peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            callers = [await Caller.to(program.address) for _ in range(6)]
            for number, caller in enumerate(callers):
                cls, d = ("read", "order")[number % 2], (60_000, 1_900)[number // 2 % 2]
                caller.writer.write(b"".join(command(f"{number}-{n}", cls, d, customer=number) for n in range(2)))
            await until(lambda: len(peer.commands) >= 2)
            program.process.send_signal(signal.SIGTERM)
            at = time.monotonic()
            late = await Caller.to(program.address)
            late.writer.write(command("late", d=60_000))

            async def answers(caller: Caller, count: int) -> None:
                for _ in range(count):
                    answer = await caller.answer()
                    assert isinstance(answer, hiredis.ReplyError), answer
                assert time.monotonic() - at < KILL
                await over(caller)

            await asyncio.gather(answers(late, 1), *(answers(caller, 2) for caller in callers))
            assert await program.ended() == 0, program.log
            assert time.monotonic() - at < KILL
            no_fault(program)

    peer = Peer(script)
    run(body())


def test_requests_on_kept_connections_all_through_a_drain_are_answered_or_not_sent_on(tmp_path: Path) -> None:
    """Answered is served or refused.  A connection is closed between two requests; one that crosses the close is for
    its client to send anew, and so no server may get it."""

    async def body() -> None:
        async with backend() as peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            answered, crossed = list[bytes](), list[bytes]()
            drains = False

            async def keep(number: int) -> None:
                caller, count = await Caller.to(program.address), 0
                while True:
                    count += 1
                    request = f"{number:08x}{count:08x}"
                    try:
                        answer = await caller.ask(command(request, customer=number))
                    except (EOFError, ConnectionError):
                        crossed.append(request.encode())
                        caller.writer.close()
                        return
                    if not isinstance(answer, hiredis.ReplyError):
                        assert answer == request.encode()
                        answered.append(answer)
                    else:
                        assert str(answer).startswith("BUSY"), answer
                    await asyncio.sleep(0.01 if not drains else number % 8 * 0.0005)

            keeping = [asyncio.create_task(keep(number)) for number in range(24)]
            await until(lambda: len(answered) > 100)
            drains = True
            program.process.send_signal(signal.SIGTERM)
            await asyncio.gather(*keeping)
            assert await program.ended() == 0, program.log
            reached = Counter(words[2] for words in peer.commands)
            assert len(crossed) == 24 and not [request for request in crossed if reached[request]]
            assert all(reached[request] == 1 for request in answered)
            no_fault(program)

    run(body())


def test_requests_that_lie_unread_as_connections_are_closed_are_answered(tmp_path: Path) -> None:
    """The process stands still in its drain until it is late to close them, and they come meanwhile."""

    async def body() -> None:
        async with backend() as peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            callers = [await Caller.to(program.address) for _ in range(12)]
            for caller in callers:
                assert await caller.ask(resp(b"SELECT", b"0")) == b"OK"
            program.process.send_signal(signal.SIGTERM)
            await until(lambda: program.logged("n0 is draining"))
            program.process.send_signal(signal.SIGSTOP)
            for number, caller in enumerate(callers):
                caller.writer.write(command(f"{number}", customer=number))
            await asyncio.sleep(0.8)  # longer than it serves on in a drain
            program.process.send_signal(signal.SIGCONT)
            for number, caller in enumerate(callers):
                answer = await caller.answer()
                assert answer == b"%d" % number or str(answer).startswith("BUSY"), answer
                await over(caller)
            assert await program.ended() == 0, program.log
            no_fault(program)

    run(body())


# Reloads


@pytest.mark.parametrize("gap", [None, 0.0, 0.01, 0.03])
def test_sigterm_in_the_middle_of_a_reload_loses_nothing(gap: float | None, tmp_path: Path) -> None:
    """A file that takes some time to read; None: SIGTERM is first."""

    async def body() -> None:
        go = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            peer.commands.append(words)
            await go.wait()
            writer.write(value(words[2]))
            await reader.read()

        peer = Peer(script)
        async with peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            slow, idle = await Caller.to(program.address), await Caller.to(program.address)
            slow.writer.write(command("slow", d=1900))
            assert await idle.ask(resp(b"SELECT", b"0")) == b"OK"
            await until(lambda: peer.commands)
            source = json.loads(program.path.read_text(encoding="utf-8"))
            source["known"]["servers"] = [entry(peer.address, f"s{n}") for n in range(5000)]
            source["limits"]["memory_mb"] = 160
            program.write(json.dumps(source))
            if gap is None:
                program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            if gap is not None:
                await asyncio.sleep(gap)
                program.process.send_signal(signal.SIGTERM)
            at = time.monotonic()
            go.set()
            assert await slow.answer() == b"slow"
            await over(idle)
            await over(slow)
            assert await program.ended() == 0, program.log
            assert time.monotonic() - at < KILL
            no_fault(program)

    run(body())


def test_a_bad_file_at_sighup_is_one_clear_line_and_the_old_one_is_kept(tmp_path: Path) -> None:
    plan = SETTINGS["contracts"][0]
    bad: list[tuple[str | None, tuple[str, ...]]] = [
        ("{", ("EDGE_CONFIG", "not JSON")),
        ("", ("EDGE_CONFIG", "not JSON")),
        ("[]", ("EDGE_CONFIG",)),
        (None, ("EDGE_CONFIG", "No such file")),
        (config_text(name=""), ("name",)),
        (
            config_text(settings=SETTINGS | {"contracts": [plan | {"refill": "fast"}], "tick-s": 0}, seed="xyz"),
            ("settings.contracts[0].refill", "settings.tick-s", "seed"),
        ),
        (config_text(name="other"), ("name", "can't change")),
        (config_text()[:-40], ("EDGE_CONFIG", "not JSON")),
    ]

    async def body() -> None:
        async with backend() as peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            good = program.path.read_text(encoding="utf-8")
            before = await program.call(b"show-config")
            caller = await Caller.to(program.address)
            start = len(program.log)
            for number, (text, words) in enumerate(bad):
                if text is None:
                    program.path.unlink()
                else:  # where it would listen is not what is wrong with it
                    listen = f"127.0.0.1:{program.address[1]}"
                    program.write(text.replace("127.0.0.1:0", listen))
                program.process.send_signal(signal.SIGHUP)
                while len(program.logged("ERROR")) <= number:
                    await asyncio.sleep(0.002)
                line = program.logged("ERROR")[number]
                assert "reload: " in line and all(word in line for word in words), line
                assert len(line) < 400
                request = f"{number:016x}"
                assert await caller.ask(command(request)) == request.encode()
                now = await program.call(b"show-config")
                assert now[:4] == before[:4] and now[-2].startswith("refused: reload at ")
            source = json.loads(good)
            source["limits"]["memory_mb"] = 160
            program.write(json.dumps(source))
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: program.logged("generation 2"))
            lines = program.log[start : program.log.index(program.logged("generation 2")[0])]
            assert len(lines) == len(bad) and all(line.startswith("ERROR ") for line in lines), lines
            assert await caller.ask(command("after")) == b"after"
            program.process.send_signal(signal.SIGTERM)
            assert await program.ended() == 0

    run(body())


def test_reloads_without_end_hold_up_no_request_and_no_end(tmp_path: Path) -> None:
    """SIGHUP every few milliseconds, before and through the drain."""

    async def body() -> None:
        async with backend() as peer, launched(tmp_path, *fleet(peer)) as program:
            await program.ready()
            stop = asyncio.Event()

            async def storm() -> None:
                while not stop.is_set():
                    program.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)

            caller, storming = await Caller.to(program.address), asyncio.create_task(storm())
            for n in range(50):
                assert await caller.ask(command(f"{n:016x}", d=1000)) == b"%016x" % n
            program.process.send_signal(signal.SIGTERM)
            at = time.monotonic()
            await over(caller)
            assert time.monotonic() - at < KILL
            stop.set()
            await storming
            assert await program.ended() == 0, program.log
            no_fault(program)

    run(body())


def test_a_listener_that_is_gone_is_free_for_the_next(tmp_path: Path) -> None:
    """A planned restart under the same address: nothing of the one before stands in the way."""

    async def body() -> None:
        async with backend() as peer, launched(tmp_path, *fleet(peer)) as program:
            caller = await program.first_connection()
            assert await caller.ask(command("one")) == b"one"
            program.process.send_signal(signal.SIGTERM)
            assert await program.ended() == 0
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(program.address)

    run(body())
