"""Signals to the real process at any time from start to exit: accepted requests are answered, and nothing crashes."""

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
    STARTED_PROCESSES,
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config_text,
    endpoint_answer,
    endpoint_entry,
    fake_endpoint,
    free_port,
    read_command,
    resp,
    run_async,
    wait_until,
)
from tests.test_net_restart import ROOT

LONGEST_DEADLINE_S = 2.0  # Of the request classes in the settings of the tests.
KILL_DELAY_S = LONGEST_DEADLINE_S + SIGKILL_DELAY  # From SIGTERM to the earliest SIGKILL.
EXIT_TIMEOUT_S = 10.0  # After which a process that should have exited counts as stuck.


class Program:
    """The real program as a process, with the lines of its log.

    Attributes:
        process: The process.
        address: The address for clients.
        control: The address of the admin server.
        path: The path of the configuration file.
        log: The lines of the log so far.
        reading: The task that reads the log.
    """

    def __init__(self, process: asyncio.subprocess.Process, address: Address, control: Address, path: Path) -> None:
        self.process = process
        self.address = address
        self.control = control
        self.path = path
        self.log: list[str] = []
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode().rstrip("\n"))

    def logged(self, text: str) -> list[str]:
        """Return the lines of the log that contain the text."""
        return [line for line in self.log if text in line]

    async def ended(self) -> int:
        """Wait for the exit of the process and the end of its log; return the exit status."""
        status = await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        await self.reading
        return status

    def catches(self, number: signal.Signals) -> bool:
        """Report whether the process has a handler for the signal."""
        text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        return bool(int(text.partition("SigCgt:")[2].split()[0], 16) >> (number - 1) & 1)

    async def first_connection(self) -> RespClient:
        """Connect as soon as the process listens."""
        while True:
            try:
                return await RespClient.connect(self.address)
            except ConnectionError:
                assert self.process.returncode is None, self.log
                await asyncio.sleep(0.001)

    async def ready(self) -> None:
        """Wait until the process has replied +PONG."""
        client = await self.first_connection()
        assert await client.request(resp(b"PING")) == b"PONG"
        client.writer.close()

    async def call(self, line: bytes) -> list[str]:
        """Send one line to the admin server and return the lines of its answer."""
        reader, writer = await asyncio.open_connection(*self.control)
        writer.write(line + b"\n")
        answer = await reader.read()
        writer.close()
        return answer.decode().splitlines()

    def write(self, text: str) -> None:
        """Replace the configuration file by a rename, as the deployment platform does."""
        new_file = self.path.with_suffix(".next")
        new_file.write_text(text, encoding="utf-8")
        new_file.rename(self.path)


@asynccontextmanager
async def launched(
    folder: Path,
    *servers: dict[str, Any],
    before: Callable[[], None] | None = None,
    at: Address | None = None,
    module: str = "ingress",
    **changes: Any,
) -> AsyncIterator[Program]:
    """Start the program and yield it at once, before it is ready.

    Args:
        folder: The folder of its files.
        servers: The endpoints of its initial list.
        before: A function that runs in the child process before the program.
        at: The address for clients; None chooses a free port.
        module: The module that is run.
        changes: Changes to its configuration.
    """
    address = at or ("127.0.0.1", free_port())
    control = ("127.0.0.1", free_port())
    path = folder / f"config-{address[1]}.json"
    path.write_text(
        config_text(*servers, listen=f"127.0.0.1:{address[1]}", control=f"127.0.0.1:{control[1]}", **changes),
        encoding="utf-8",
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=before,
        env=os.environ | {"EDGE_CONFIG": str(path), "TMPDIR": str(folder), "PYTHONDONTWRITEBYTECODE": ""},
    )
    STARTED_PROCESSES.append(process)
    program = Program(process, address, control, path)
    try:
        yield program
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        await program.reading


def eight_endpoints(peer: Peer) -> list[dict[str, Any]]:
    """Return the entries of eight endpoints that are all the same peer."""
    return [endpoint_entry(peer.address, f"s{n}") for n in range(8)]


def check_no_traceback(program: Program) -> None:
    """Check that the log contains no traceback."""
    assert not program.logged("Traceback") and not program.logged("never retrieved"), program.log


async def expect_close(client: RespClient) -> None:
    """Check that the connection is closed without another answer; then close the client's side."""
    with pytest.raises((EOFError, ConnectionError)):
        pytest.fail(f"one more answer: {await client.read_answer()!r}")
    client.writer.close()


# SIGTERM during start-up


@pytest.mark.parametrize("caught", [None, signal.SIGHUP, signal.SIGTERM])
def test_sigterm_before_it_listens_makes_it_exit_in_time(caught: signal.Signals | None, tmp_path: Path) -> None:
    """SIGTERM is sent at once, when the process has its SIGHUP handler, and when it has its SIGTERM handler."""

    async def body() -> None:
        async with launched(tmp_path) as program:
            while caught is not None and not program.catches(caught):
                await asyncio.sleep(0)
            program.process.send_signal(signal.SIGTERM)
            sigterm_at = time.monotonic()
            status = await program.ended()
            assert time.monotonic() - sigterm_at < KILL_DELAY_S
            assert status in ((0,) if caught is signal.SIGTERM else (0, -signal.SIGTERM)), program.log
            check_no_traceback(program)

    run_async(body())


def test_a_request_sent_with_sigterm_as_the_process_starts_to_listen_is_answered(tmp_path: Path) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            client = await program.first_connection()
            client.writer.write(command("first"))
            program.process.send_signal(signal.SIGTERM)
            sigterm_at = time.monotonic()
            assert await client.read_answer() == b"first"
            await expect_close(client)
            assert await program.ended() == 0, program.log
            assert time.monotonic() - sigterm_at < KILL_DELAY_S
            check_no_traceback(program)

    run_async(body())


# Signals during a drain


def test_a_second_sigterm_aborts_no_request(tmp_path: Path) -> None:
    async def body() -> None:
        answer = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            peer.commands.append(words)
            await answer.wait()
            writer.write(endpoint_answer(words[2]))
            await reader.read()

        peer = Peer(script)
        async with peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            slow = await RespClient.connect(program.address)
            slow.writer.write(command("slow", d=1900))
            await wait_until(lambda: peer.commands)
            program.process.send_signal(signal.SIGTERM)
            await wait_until(lambda: program.logged("n0 is draining"))
            program.process.send_signal(signal.SIGTERM)
            late = await RespClient.connect(program.address)  # New connections are still accepted.
            late.writer.write(command("late", d=1500))
            await wait_until(lambda: len(peer.commands) == 2)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGINT)
            answer.set()
            assert [await slow.read_answer(), await late.read_answer()] == [b"slow", b"late"]
            await expect_close(slow)
            await expect_close(late)
            assert await program.ended() == 0, program.log
            check_no_traceback(program)

    run_async(body())


@pytest.mark.parametrize("log_line", ["n0 is draining", "n0 has stopped serving"])
def test_sighup_after_sigterm_never_terminates_the_process(log_line: str, tmp_path: Path) -> None:
    """SIGHUP is sent repeatedly until the exit; an ingress that SIGHUP terminates counts as crashed."""

    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            client = await RespClient.connect(program.address)
            assert await client.request(command("one")) == b"one"
            program.process.send_signal(signal.SIGTERM)
            await wait_until(lambda: program.logged(log_line))
            sighup_count = 0
            while program.process.returncode is None:
                program.process.send_signal(signal.SIGHUP)
                sighup_count += 1
                await asyncio.sleep(0.001)
            assert await program.ended() == 0, f"{sighup_count} times SIGHUP: {program.log[-3:]}"
            assert program.logged("n0 has stopped serving")
            check_no_traceback(program)

    run_async(body())


@pytest.mark.parametrize("partial_response", [b"", b"*3\r\n$5\r\nhel"])
def test_while_all_endpoints_hang_each_request_gets_one_answer_before_sigkill(
    partial_response: bytes, tmp_path: Path
) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            peer.commands.append(await read_command(reader))
            writer.write(partial_response)

    async def body() -> None:
        async with peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            clients = [await RespClient.connect(program.address) for _ in range(6)]
            for number, client in enumerate(clients):
                cls = ("read", "order")[number % 2]
                d = (60_000, 1_900)[number // 2 % 2]
                client.writer.write(b"".join(command(f"{number}-{n}", cls, d, customer=number) for n in range(2)))
            await wait_until(lambda: len(peer.commands) >= 2)
            program.process.send_signal(signal.SIGTERM)
            sigterm_at = time.monotonic()
            late = await RespClient.connect(program.address)
            late.writer.write(command("late", d=60_000))

            async def answers(client: RespClient, count: int) -> None:
                for _ in range(count):
                    answer = await client.read_answer()
                    assert isinstance(answer, hiredis.ReplyError), answer
                assert time.monotonic() - sigterm_at < KILL_DELAY_S
                await expect_close(client)

            await asyncio.gather(answers(late, 1), *(answers(client, 2) for client in clients))
            assert await program.ended() == 0, program.log
            assert time.monotonic() - sigterm_at < KILL_DELAY_S
            check_no_traceback(program)

    peer = Peer(script)
    run_async(body())


def test_requests_on_open_connections_during_a_drain_are_answered_or_not_forwarded(tmp_path: Path) -> None:
    """Each request is served, refused or not forwarded.

    A connection is closed between two requests. A request that crosses the close is sent again by its client, so no
    endpoint may receive it.
    """

    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            answered = list[bytes]()
            crossed = list[bytes]()
            is_draining = False

            async def send_requests(number: int) -> None:
                client = await RespClient.connect(program.address)
                count = 0
                while True:
                    count += 1
                    request = f"{number:08x}{count:08x}"
                    try:
                        answer = await client.request(command(request, customer=number))
                    except (EOFError, ConnectionError):
                        crossed.append(request.encode())
                        client.writer.close()
                        return
                    if not isinstance(answer, hiredis.ReplyError):
                        assert answer == request.encode()
                        answered.append(answer)
                    else:
                        assert str(answer).startswith("BUSY"), answer
                    await asyncio.sleep(0.01 if not is_draining else number % 8 * 0.0005)

            sending = [asyncio.create_task(send_requests(number)) for number in range(24)]
            await wait_until(lambda: len(answered) > 100)
            is_draining = True
            program.process.send_signal(signal.SIGTERM)
            await asyncio.gather(*sending)
            assert await program.ended() == 0, program.log
            forwarded = Counter(words[2] for words in peer.commands)
            assert len(crossed) == 24 and not [request for request in crossed if forwarded[request]]
            assert all(forwarded[request] == 1 for request in answered)
            check_no_traceback(program)

    run_async(body())


def test_requests_that_are_unread_when_connections_are_due_to_be_closed_are_answered(tmp_path: Path) -> None:
    """Requests arrive while the process is stopped in its drain, past the time at which it would close connections."""

    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            clients = [await RespClient.connect(program.address) for _ in range(12)]
            for client in clients:
                assert await client.request(resp(b"SELECT", b"0")) == b"OK"
            program.process.send_signal(signal.SIGTERM)
            await wait_until(lambda: program.logged("n0 is draining"))
            program.process.send_signal(signal.SIGSTOP)
            for number, client in enumerate(clients):
                client.writer.write(command(f"{number}", customer=number))
            await asyncio.sleep(0.8)  # Longer than open connections are served during a drain.
            program.process.send_signal(signal.SIGCONT)
            for number, client in enumerate(clients):
                answer = await client.read_answer()
                assert answer == b"%d" % number or str(answer).startswith("BUSY"), answer
                await expect_close(client)
            assert await program.ended() == 0, program.log
            check_no_traceback(program)

    run_async(body())


# Reloads


@pytest.mark.parametrize("gap", [None, 0.0, 0.01, 0.03])
def test_sigterm_during_a_reload_loses_no_request(gap: float | None, tmp_path: Path) -> None:
    """The file takes some time to read; SIGTERM follows SIGHUP after `gap` seconds, or precedes it if that is None."""

    async def body() -> None:
        answer = asyncio.Event()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            words = await read_command(reader)
            peer.commands.append(words)
            await answer.wait()
            writer.write(endpoint_answer(words[2]))
            await reader.read()

        peer = Peer(script)
        async with peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            slow = await RespClient.connect(program.address)
            idle = await RespClient.connect(program.address)
            slow.writer.write(command("slow", d=1900))
            assert await idle.request(resp(b"SELECT", b"0")) == b"OK"
            await wait_until(lambda: peer.commands)
            source = json.loads(program.path.read_text(encoding="utf-8"))
            source["known"]["servers"] = [endpoint_entry(peer.address, f"s{n}") for n in range(5000)]
            source["limits"]["memory_mb"] = 160
            program.write(json.dumps(source))
            if gap is None:
                program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            if gap is not None:
                await asyncio.sleep(gap)
                program.process.send_signal(signal.SIGTERM)
            sigterm_at = time.monotonic()
            answer.set()
            assert await slow.read_answer() == b"slow"
            await expect_close(idle)
            await expect_close(slow)
            assert await program.ended() == 0, program.log
            assert time.monotonic() - sigterm_at < KILL_DELAY_S
            check_no_traceback(program)

    run_async(body())


def test_an_invalid_file_at_sighup_is_logged_in_one_line_and_the_active_configuration_stays(tmp_path: Path) -> None:
    plan = SETTINGS["contracts"][0]
    invalid_files: list[tuple[str | None, tuple[str, ...]]] = [
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
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            good = program.path.read_text(encoding="utf-8")
            before = await program.call(b"show-config")
            client = await RespClient.connect(program.address)
            start = len(program.log)
            for number, (text, words) in enumerate(invalid_files):
                if text is None:
                    program.path.unlink()
                else:  # The listening address must not be what is invalid.
                    listen = f"127.0.0.1:{program.address[1]}"
                    program.write(text.replace("127.0.0.1:0", listen))
                program.process.send_signal(signal.SIGHUP)
                while len(program.logged("ERROR")) <= number:
                    await asyncio.sleep(0.002)
                line = program.logged("ERROR")[number]
                assert "reload: " in line and all(word in line for word in words), line
                assert len(line) < 400
                request = f"{number:016x}"
                assert await client.request(command(request)) == request.encode()
                now = await program.call(b"show-config")
                assert now[:4] == before[:4] and now[-2].startswith("refused: reload at ")
            source = json.loads(good)
            source["limits"]["memory_mb"] = 160
            program.write(json.dumps(source))
            program.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: program.logged("generation 2"))
            lines = program.log[start : program.log.index(program.logged("generation 2")[0])]
            assert len(lines) == len(invalid_files) and all(line.startswith("ERROR ") for line in lines), lines
            assert await client.request(command("after")) == b"after"
            program.process.send_signal(signal.SIGTERM)
            assert await program.ended() == 0

    run_async(body())


def test_continuous_reloads_delay_neither_requests_nor_the_exit(tmp_path: Path) -> None:
    """SIGHUP is sent every few milliseconds, before and during the drain."""

    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            stop = asyncio.Event()

            async def send_sighups() -> None:
                while not stop.is_set():
                    program.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)

            client = await RespClient.connect(program.address)
            sending = asyncio.create_task(send_sighups())
            for n in range(50):
                assert await client.request(command(f"{n:016x}", d=1000)) == b"%016x" % n
            program.process.send_signal(signal.SIGTERM)
            sigterm_at = time.monotonic()
            await expect_close(client)
            assert time.monotonic() - sigterm_at < KILL_DELAY_S
            stop.set()
            await sending
            assert await program.ended() == 0, program.log
            check_no_traceback(program)

    run_async(body())


def test_the_address_of_an_exited_process_can_be_bound_again(tmp_path: Path) -> None:
    """A planned restart uses the same address; nothing of the previous process may block it."""

    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            client = await program.first_connection()
            assert await client.request(command("one")) == b"one"
            program.process.send_signal(signal.SIGTERM)
            assert await program.ended() == 0
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(program.address)

    run_async(body())
