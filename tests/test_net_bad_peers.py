"""Misbehaving peers on real connections.

Clients send malformed, endless, excessive or no input; endpoints send truncated, malformed, late, duplicate or endless
responses.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import time
from collections import Counter
from pathlib import Path
from typing import Any

import hiredis
import pytest

from ingress.runtime.logs import REQUESTS
from ingress.runtime.metrics import RequestResult
from tests.peers import (
    SETTINGS,
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config,
    endpoint_answer,
    endpoint_entry,
    fake_endpoint,
    read_command,
    resp,
    run_async,
    wait_until,
)
from tests.test_net_ingress import running_ingress
from tests.test_net_signals import check_no_traceback, eight_endpoints, launched

PAY = {"name": "pay", "aim-s": 1.0, "give-up-s": 2.0, "importance": 1.0, "semantics": "unsafe"}
NOT_IDEMPOTENT_SETTINGS = SETTINGS | {"categories": [*SETTINGS["categories"], PAY]}
REJECT_TIMEOUT_S = 3.0  # From the connect of a misbehaving client to its error line or the close.
LARGE_REJECT_TIMEOUT_S = 6.0  # The same for a client that sends 60 MB.
FLOOD_BYTES = 60_000_000
SERVICE_TIME_S = 0.03  # Of the endpoint; longer than the delay of any duplicate response.


# Duplicate responses


def duplicating_endpoint(delay: float, refusal: bytes | None = None) -> tuple[Peer, Counter[bytes]]:
    """Return an endpoint that repeats each response after `delay` seconds, and its count of executions per request.

    With a `refusal`, the endpoint answers every other command with it.
    """

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            peer.commands.append(words)
            if refusal is not None and len(peer.commands) % 2:
                answer = refusal
            else:
                executions[words[2]] += 1
                await asyncio.sleep(SERVICE_TIME_S)
                answer = endpoint_answer(words[2])
            writer.write(answer)
            asyncio.get_running_loop().call_later(delay, send_again, writer, answer)

    def send_again(writer: Writer, answer: bytes) -> None:
        if not writer.is_closing():
            writer.write(answer)

    peer = Peer(script)
    executions = Counter[bytes]()
    return peer, executions


@pytest.mark.parametrize("delay", [0.0, 0.001, 0.005, 0.010])
def test_a_duplicate_response_is_never_the_answer_to_the_next_request(delay: float, tmp_path: Path) -> None:
    """The next request is sent at once, while the duplicate of the previous response is still on its way."""

    async def body() -> None:
        async with duplicating_endpoint(delay)[0] as peer, launched(tmp_path, endpoint_entry(peer.address)) as program:
            await program.ready()
            client = await RespClient.connect(program.address)
            answers = [(b"%016x" % n, await client.request(command(f"{n:016x}"))) for n in range(20)]
            wrong = [(asked, answer) for asked, answer in answers if isinstance(answer, bytes) and answer != asked]
            assert not wrong, f"{len(wrong)} of 20 requests: {wrong[:3]}"
            assert sum(asked == answer for asked, answer in answers) >= 10

    run_async(body())


@pytest.mark.parametrize("delay", [0.001, 0.005, 0.010])
def test_a_duplicate_response_is_never_the_answer_to_a_queued_request(delay: float, tmp_path: Path) -> None:
    """Under many concurrent requests, a released connection goes to the request that has waited longest."""

    async def body() -> None:
        async with duplicating_endpoint(delay)[0] as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            wrong = list[tuple[bytes, bytes]]()
            served = 0

            async def send_requests(number: int) -> None:
                nonlocal served
                client = await RespClient.connect(program.address)
                for n in range(8):
                    asked = f"{number:08x}{n:08x}"
                    answer = await client.request(command(asked, customer=number))
                    served += answer == asked.encode()
                    if isinstance(answer, bytes) and answer != asked.encode():
                        wrong.append((asked.encode(), answer))

            await asyncio.gather(*(send_requests(number) for number in range(12)))
            assert not wrong, f"{len(wrong)} of 96 requests: {wrong[:3]}"
            assert served >= 10

    run_async(body())


@pytest.mark.parametrize("delay", [0.001, 0.005, 0.010])
def test_a_duplicate_refusal_refuses_no_request_that_is_executed(delay: float, tmp_path: Path) -> None:
    """Mistaken for the answer to the next request, it would report an executed request as not executed."""

    async def body() -> None:
        peer, executions = duplicating_endpoint(delay, b"-BUSY\r\n")
        async with peer, launched(tmp_path, endpoint_entry(peer.address), settings=NOT_IDEMPOTENT_SETTINGS) as program:
            await program.ready()
            client = await RespClient.connect(program.address)
            answers = [(b"%016x" % n, await client.request(command(f"{n:016x}", "pay"))) for n in range(30)]
            refused = [asked for asked, answer in answers if str(answer).startswith("BUSY")]
            wrong = [asked for asked in refused if executions[asked]]
            assert not wrong, f"{len(wrong)} of {len(refused)} refused requests were executed: {wrong[:3]}"
            assert max(executions.values()) == 1, executions
            assert len(refused) < len(answers)

    run_async(body())


# Truncated, malformed, late and endless responses


def scripted_endpoint(*answers: bytes | None, then: str = "silence") -> Peer:
    """Return an endpoint that gives the answers in order over all connections; None stands for the request's id.

    After each answer that is not None, the connection behaves as `then` says: "silence", "end", "reset" or "endless".
    """

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            peer.commands.append(words)
            number = len(peer.commands) - 1
            answer = answers[number] if number < len(answers) else None
            writer.write(endpoint_answer(words[2]) if answer is None else answer)
            if answer is None:
                continue
            match then:
                case "end":
                    return
                case "reset":
                    await writer.drain()
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    writer.transport.abort()
                    return
                case "endless":
                    while True:
                        writer.write(b"x" * 65536)
                        await writer.drain()

    peer = Peer(script)
    return peer


@pytest.mark.parametrize(
    ("answer", "then"),
    [
        (b"", "end"),
        (b"*3\r\n$5\r\nhel", "end"),
        (b"*3\r\n$2\r\nok\r\n$-1\r\n", "end"),
        (b"*", "end"),
        (b"-ERR fai", "end"),
        (b"-BUS", "end"),
        (b"-BUSY\r", "end"),
        (b"", "reset"),
        (b"*3\r\n$5\r\nhel", "reset"),
        (b"", "silence"),
        (b"*3\r\n$5\r\nhel", "silence"),
        (b"-BUSY", "silence"),
        (b"*3\r\n$2\r\nokXX$-1\r\n$-1\r\n", "silence"),
        (b"*3\r\n$2\r\nok\r\n$1\r\n4XX$-1\r\n", "silence"),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", "silence"),
        (b"*3\r\n:5\r\n$-1\r\n$-1\r\n", "silence"),
        (b"*0\r\n", "silence"),
        (b"*-1\r\n", "silence"),
        (b"$2\r\nok\r\n", "silence"),
        (b"+OK\r\n", "silence"),
        (b":1\r\n", "silence"),
        (b"$-1\r\n", "silence"),
        (b"HTTP/1.1 200 OK\r\n\r\n", "silence"),
        (b"\x00\xff\xfe", "silence"),
        (b"\r\n\r\n", "silence"),
        (b"*3\r\n$x\r\n", "silence"),
        (b"*9999999\r\n", "silence"),
        (b"*3\r\n$99999999999\r\n", "silence"),
        (b"*3\r\n*2\r\n$2\r\nok\r\n$2\r\nok\r\n$-1\r\n$-1\r\n", "silence"),
        (b"*3\r\n$2\r\nok\r\n$400000000\r\n", "endless"),
        (b"*3\r\n$2\r\nok\r\n+", "endless"),
        (b"+", "endless"),
        (b"-ERR ", "endless"),
        (b"-BUSY ", "endless"),
        (b"*3\r\n$", "endless"),
        (b"*3\r\n$70000\r\n", "endless"),
        (b"-ERR failed\r\n", "silence"),
    ],
)
def test_a_malformed_response_fails_a_non_idempotent_request_after_one_attempt(answer: bytes, then: str) -> None:
    async def body() -> None:
        async with (
            scripted_endpoint(*[answer] * 9, then=then) as peer,
            running_ingress(config(*eight_endpoints(peer), settings=NOT_IDEMPOTENT_SETTINGS)) as (served, address),
        ):
            client = await RespClient.connect(address)
            started_at = time.monotonic()
            client.writer.write(command("one", "pay", d=400))
            if answer.startswith(b"*3\r\n$70000\r\n"):  # The client notices that the value is incomplete.
                with pytest.raises((EOFError, ConnectionError, hiredis.ProtocolError)):
                    pytest.fail(f"served: {len(await client.read_answer())} bytes")
            else:
                assert str(await client.read_answer()) == "ERR failed"
            assert time.monotonic() - started_at < 1.5
            await wait_until(lambda: not served.requests.in_flight and not served.requests.attempts_in_flight)
            assert [words[2] for words in peer.commands] == [b"one"]

    run_async(body())


@pytest.mark.parametrize("malformed", [b"*0\r\n", b"+OK\r\n", b"$-1\r\n", b":1\r\n"])
def test_data_after_a_malformed_response_answers_no_request(malformed: bytes, tmp_path: Path) -> None:
    """The connection is out of sync and must not be used again."""

    async def body() -> None:
        async def script(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                writer.write(malformed)
                await asyncio.sleep(0.005)
                writer.write(endpoint_answer(words[2]))

        async with (
            Peer(script) as peer,
            launched(tmp_path, endpoint_entry(peer.address), settings=NOT_IDEMPOTENT_SETTINGS) as program,
        ):
            await program.ready()
            client = await RespClient.connect(program.address)
            answers = [await client.request(command(f"{n}", "pay")) for n in range(10)]
            assert all(isinstance(answer, hiredis.ReplyError) for answer in answers), answers

    run_async(body())


def success_log_fields(records: list[logging.LogRecord]) -> list[dict[str, Any]]:
    """Return the fields of the log line of each successful request."""
    return [
        record.fields  # type: ignore[attr-defined]
        for record in records
        if record.name == REQUESTS.name and record.getMessage() == RequestResult.SUCCEEDED.value
    ]


def attempt_counts(records: list[logging.LogRecord]) -> list[int]:
    """Return the number of attempts of each successful request."""
    return [row["attempts"] for row in success_log_fields(records)]


@pytest.mark.parametrize("repeat", [False, True])
def test_the_log_line_of_a_request_contains_its_quota_fields(repeat: bool, caplog: pytest.LogCaptureFixture) -> None:
    names = b"c=read,t=basic,d=2000,units=2.5,spread=3,first=1" + (b",r=1" if repeat else b"")

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (_, address):
            client = await RespClient.connect(address)
            assert await client.request(resp(b"API.READ", b"%016x" % 7, b"one", names)) == b"one"

    with caplog.at_level(logging.INFO, REQUESTS.name):
        run_async(body())
    [row] = success_log_fields(caplog.records)
    assert row.pop("ms") > 0
    assert row == {
        "id": "one",
        "class": "read",
        "plan": "basic",
        "customer": f"{7:016x}",
        "units": 2.5,
        "spread": 3,
        "first": 1,
        "repeat": repeat,
        "attempts": 1,
        "reason": "",
    }


@pytest.mark.parametrize("refusal", [b"-BUSY\r\n", b"-BUSY inflight=7,queue=2\r\n"])
def test_a_refusal_allows_another_attempt_of_a_non_idempotent_request(
    refusal: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def body() -> None:
        async with (
            scripted_endpoint(refusal) as peer,
            running_ingress(config(*eight_endpoints(peer), settings=NOT_IDEMPOTENT_SETTINGS)) as (_, address),
        ):
            client = await RespClient.connect(address)
            assert await client.request(command("one", "pay")) == b"one"
            assert [words[2] for words in peer.commands] == [b"one"] * 2

    with caplog.at_level(logging.INFO, REQUESTS.name):
        run_async(body())
    assert attempt_counts(caplog.records) == [2]


def test_a_refused_connection_allows_another_attempt_of_a_non_idempotent_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body() -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))  # Bound but not listening.
            async with (
                fake_endpoint() as peer,
                running_ingress(
                    config(
                        endpoint_entry(peer.address),
                        *(endpoint_entry(closed.getsockname(), f"r{n}") for n in range(3)),
                        settings=NOT_IDEMPOTENT_SETTINGS,
                    )
                ) as (_, address),
            ):
                client = await RespClient.connect(address)
                for n in range(12):
                    answer = await client.request(command(f"{n}", "pay"))
                    assert answer == b"%d" % n or str(answer).startswith("BUSY"), answer
                assert max(Counter(words[2] for words in peer.commands).values()) == 1

    with caplog.at_level(logging.INFO, REQUESTS.name):
        run_async(body())
    assert max(attempt_counts(caplog.records)) > 1


def test_a_late_response_answers_no_other_request() -> None:
    """The client has already received a failure for that request; the next request must get its own answer."""

    async def body() -> None:
        loop = asyncio.get_running_loop()

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                if words[2] == b"late":
                    loop.call_later(0.3, writer.write, endpoint_answer(b"late"))
                else:
                    await asyncio.sleep(0.2)
                    writer.write(endpoint_answer(words[2]))

        async with (
            Peer(script) as peer,
            running_ingress(config(endpoint_entry(peer.address), settings=NOT_IDEMPOTENT_SETTINGS)) as (_, address),
        ):
            client = await RespClient.connect(address)
            own_answers = 0
            for n in range(3):
                client.writer.write(command("late", "pay", d=250))
                assert isinstance(await client.read_answer(), hiredis.ReplyError)
                answer = await client.request(command(f"{n}", "pay"))
                assert answer == b"%d" % n or str(answer).startswith("BUSY"), answer
                own_answers += answer == b"%d" % n
            assert own_answers

    run_async(body())


# Misbehaving clients


async def first_bytes(sock: socket.socket) -> bytes:
    """Return the first bytes received; b"" if the connection is closed."""
    try:
        return await asyncio.get_running_loop().sock_recv(sock, 4096)
    except ConnectionError:
        return b""


async def time_to_reject(
    address: Address, data: bytes, repeat: int = 0, pause: float = 0.0, reads: bool = True, before: bytes = b""
) -> float:
    """Send as a misbehaving client; return the seconds until an error line or the close.

    Args:
        address: The address of the ingress.
        data: The data to send.
        repeat: How often `data` is sent again.
        pause: The seconds after each time.
        reads: Whether the client reads; one that does not notices the close when it sends.
        before: The data to send before `data`.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        started_at = time.monotonic()
        await loop.sock_connect(sock, address)

        async def send_all() -> None:
            await loop.sock_sendall(sock, before)
            for _ in range(1 + repeat):
                await loop.sock_sendall(sock, data)
                if pause:
                    await asyncio.sleep(pause)

        sending = loop.create_task(send_all())
        try:
            if reads:
                first = await first_bytes(sock)
                assert not first or first.startswith(b"-"), first
            else:
                await asyncio.wait({sending})
                assert isinstance(sending.exception(), ConnectionError), "all data was accepted"
            return time.monotonic() - started_at
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


# For each malformed input: the data, how often it is repeated, and the seconds between.
MALFORMED_INPUTS: dict[str, tuple[bytes, int, float]] = {
    "silent": (b"", 0, 0.0),
    "a byte": (b"*", 0, 0.0),
    "a head": (b"*4\r\n", 0, 0.0),
    "half a command": (command()[:30], 0, 0.0),
    "all but the last byte": (command()[:-1], 0, 0.0),
    "a word without its end": (b"*1\r\n$4\r\nPING", 0, 0.0),
    "http": (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0, 0.0),
    "tls": (bytes.fromhex("16030100a5010000a10303") + bytes(160), 0, 0.0),
    "inline": (b"PING\r\n", 0, 0.0),
    "zeros": (bytes(4096), 0, 0.0),
    "line ends": (b"\r\n" * 64, 0, 0.0),
    "no words": (b"*0\r\n", 0, 0.0),
    "null": (b"*-1\r\n", 0, 0.0),
    "a null word": (b"*1\r\n$-1\r\n", 0, 0.0),
    "a word of minus 5": (b"*1\r\n$-5\r\n", 0, 0.0),
    "minus 5 words": (b"*-5\r\n", 0, 0.0),
    "a billion words": (b"*1000000000\r\n", 0, 0.0),
    "a huge word": (b"*1\r\n$9000000000\r\n", 0, 0.0),
    "nested": (b"*1\r\n" * 100, 0, 0.0),
    "a map": (b"%1\r\n+a\r\n+b\r\n", 0, 0.0),
    "no array": (b"$4\r\nPING\r\n", 0, 0.0),
    "a number": (b":5\r\n", 0, 0.0),
    "a byte at a time": (b"*", 1 << 20, 0.3),
    "a head at a time": (b"*1\r\n", 1 << 20, 0.5),
    "a word at a time": (b"*64\r\n$1\r\nx\r\n", 1 << 20, 0.7),
    "blanks at a time": (b"\r\n", 1 << 20, 0.3),
    "a value at a time": (b"*5\r\n$9\r\nAPI.WRITE\r\n$60000\r\n" + bytes(100), 1 << 20, 0.3),
    "a line without an end": (b"*1" + b"1" * 1000, 1 << 20, 0.0),
    "nulls without an end": (b"*-1\r\n", 1 << 20, 0.0),
    "nonsense without an end": (resp(b"NONSENSE"), 1 << 20, 0.0),
    "a word without an end": (b"*2\r\n$1000000\r\n" + b"x" * 60_000, 1 << 20, 0.0),
    "an unknown command": (resp(b"GET", b"x"), 0, 0.0),
}
# A request up to its body.
WRITE_HEAD = (
    b"*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n%016x\r\n$2\r\naa\r\n$41\r\n" % 7
    + b"c=order,t=basic,d=2000,k=0123456789abcdef\r\n$%d\r\n"
)
# For each flood: the data that is repeated to make 60 MB, with what precedes it, and whether the client reads.
FLOODS: dict[str, tuple[bytes | tuple[bytes, bytes], bool]] = {
    "one value": ((WRITE_HEAD % FLOOD_BYTES, bytes(60_000)), True),
    "one word": ((b"*1\r\n$60000000\r\n", bytes(60_000)), True),
    "zeros": (bytes(60_000), True),
    "lines": (b"nonsense\r\n" * 6_000, True),
    "commands": (resp(b"NONSENSE", b"x" * 60_000), True),
    "values": (resp(b"API.READ", b"x" * 60_000), True),
    "many words": (resp(*[b"x" * 1000] * 60), True),
    "unread lines": (b"nonsense\r\n" * 6_000, False),
    "unread commands": (resp(b"NONSENSE") * 4_000, False),
    "unread zeros": (bytes(60_000), False),
}


def test_malformed_input_gets_an_error_line_or_a_close_in_time_and_delays_no_other_client(tmp_path: Path) -> None:
    """All malformed inputs are sent at once, alongside a client that sends requests all the time."""

    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            finished = asyncio.Event()
            request_count = 0
            slowest_s = 0.0

            async def send_steadily() -> None:
                nonlocal request_count, slowest_s
                client = await RespClient.connect(program.address)
                while not finished.is_set():
                    sent_at = time.monotonic()
                    request_count += 1
                    assert await client.request(command(f"good{request_count}")) == b"good%d" % request_count
                    slowest_s = max(slowest_s, time.monotonic() - sent_at)
                    await asyncio.sleep(0.02)

            steady_client = asyncio.create_task(send_steadily())
            await wait_until(lambda: request_count)
            times = dict(
                zip(
                    MALFORMED_INPUTS,
                    await asyncio.gather(
                        *(
                            asyncio.wait_for(time_to_reject(program.address, *how), 8.0)
                            for how in MALFORMED_INPUTS.values()
                        ),
                        return_exceptions=True,
                    ),
                    strict=True,
                )
            )
            finished.set()
            await steady_client
            late = {
                name: one for name, one in times.items() if isinstance(one, BaseException) or one > REJECT_TIMEOUT_S
            }
            assert not late
            assert slowest_s < 1.0
            assert all(words[2].startswith(b"good") for words in peer.commands)  # No malformed input was forwarded.
            check_no_traceback(program)

    run_async(body())


def test_a_flood_of_60_mb_gets_an_error_line_or_a_close_in_time(tmp_path: Path) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            times: dict[str, Any] = {}
            for name, (data, reads) in FLOODS.items():
                before, data = data if isinstance(data, tuple) else (b"", data)
                [times[name]] = await asyncio.gather(
                    asyncio.wait_for(
                        time_to_reject(program.address, data, FLOOD_BYTES // len(data), reads=reads, before=before),
                        LARGE_REJECT_TIMEOUT_S,
                    ),
                    return_exceptions=True,
                )
            assert not {name: one for name, one in times.items() if isinstance(one, BaseException)}
            assert not peer.commands
            client = await RespClient.connect(program.address)
            assert await client.request(command()) == b"00000000000000aa"
            check_no_traceback(program)

    run_async(body())


def test_a_long_body_sent_a_byte_at_a_time_gets_an_error_line_or_a_close_in_time(tmp_path: Path) -> None:
    """The specification limits a value to 64 KiB, and a request that never ends is malformed."""

    async def body() -> None:
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer)) as program:
            await program.ready()
            seconds = await asyncio.wait_for(
                time_to_reject(program.address, b"x", 1 << 20, 0.3, before=WRITE_HEAD % 70_000),
                LARGE_REJECT_TIMEOUT_S + 1,
            )
            assert seconds < LARGE_REJECT_TIMEOUT_S

    run_async(body())


@pytest.mark.parametrize(
    "data", [b"*1\r\n$4\r\nPINGXX", command().replace(b"API.READ\r\n", b"API.READXX"), command()[:-2] + b"XX"]
)
def test_a_bulk_string_without_crlf_at_its_declared_size_is_malformed(data: bytes) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(*eight_endpoints(peer))) as (_, address):
            assert await time_to_reject(address, data) < REJECT_TIMEOUT_S
            assert not peer.commands

    run_async(body())


def test_more_silent_clients_than_the_connection_limit_are_each_closed_in_time(tmp_path: Path) -> None:
    async def body() -> None:
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
        async with fake_endpoint() as peer, launched(tmp_path, *eight_endpoints(peer), limits=limits) as program:
            await program.ready()
            times = await asyncio.gather(
                *(asyncio.wait_for(time_to_reject(program.address, data), 8.0) for data in [b"", b"*4\r\n"] * 150)
            )
            assert max(times) < REJECT_TIMEOUT_S
            client = await RespClient.connect(program.address)
            assert await client.request(command()) == b"00000000000000aa"

    run_async(body())


@pytest.mark.parametrize(
    "change",
    [
        (b"%016x" % 7, b"0x%014x" % 7),
        (b"%016x" % 7, b"0X%014x" % 7),
        (b"units=1,", b"units=1_0,"),
        (b"units=1,", b"units= 1,"),
        (b"units=1,", b"units=nan,"),
        (b"units=1,", b"units=inf,"),
        (b"d=2000", b"d=-1"),
        (b"d=2000", b"d=2_000"),
        (b"spread=1", b"spread=1.0"),
        (b"c=read,", b"c=read,,"),
    ],
)
def test_a_malformed_request_gets_an_error_and_is_sent_to_no_endpoint(change: tuple[bytes, bytes]) -> None:
    """An endpoint that receives a command in a form that no client sends makes the whole run invalid."""
    old, new = change
    words: Any = [b"API.READ", b"%016x" % 7, b"aa", b"c=read,t=basic,d=2000,units=1,spread=1,first=0"]
    words = [word.replace(old, new) for word in words]
    assert b"".join(words).count(new) == 1

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (_, address):
            client = await RespClient.connect(address)
            assert str(await client.request(resp(*words))).startswith("ERR ")
            assert not peer.commands

    run_async(body())
