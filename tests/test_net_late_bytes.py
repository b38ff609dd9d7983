"""Bytes that an endpoint sends after an answer, and that its kernel holds back until the answer is acknowledged."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections import Counter
from pathlib import Path

import pytest

from ingress.decisions.endpoint import Outcome
from ingress.emulator.live.authority import Authority
from ingress.protocols.resp import LONG_VALUE_BYTES
from ingress.runtime.tls import read_tls
from tests.peers import (
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    endpoint_answer,
    endpoint_entry,
    read_command,
    run_async,
)
from tests.test_net_backends import PoolUnderTest
from tests.test_net_bad_peers import NOT_IDEMPOTENT_SETTINGS
from tests.test_net_signals import launched

SERVICE_S = 0.03
LATE_BYTES_DELAY_S = 0.003
ANSWERS_BEFORE_LATE_BYTES = 8  # The kernel delays its acknowledgements only on a connection with some exchanges.
REQUESTS = 3 * ANSWERS_BEFORE_LATE_BYTES
REFUSAL = b"-BUSY\r\n"
LONG_VALUE_ANSWER = endpoint_answer(b"a" * (LONG_VALUE_BYTES + 1))


class LateBytesEndpoint(Peer):
    """An endpoint that now and then sends more bytes after an answer.

    Its sockets have the system's default options: a small write waits until the one before it is acknowledged. Most
    answers carry the request's number at this endpoint.

    Attributes:
        answer: The answers that are followed by late bytes; None stands for an ordinary one.
        late_bytes: What follows them; None repeats the answer.
        executions: How often each request was executed, by its id.
        late_count: How many answers were followed by late bytes.
    """

    def __init__(self, answer: bytes | None = None, late_bytes: bytes | None = None) -> None:
        super().__init__(self._answer_commands)
        self.answer = answer
        self.late_bytes = late_bytes
        self.executions = Counter[bytes]()
        self.late_count = 0

    async def _answer_commands(self, _: int, reader: Reader, writer: Writer) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        answered = 0
        while True:
            words = await read_command(reader)
            self.commands.append(words)
            answered += 1
            is_last = answered % ANSWERS_BEFORE_LATE_BYTES == 0
            answer = self._ordinary_answer() if self.answer is None or not is_last else self.answer
            self.executions[words[2]] += answer != REFUSAL
            await asyncio.sleep(SERVICE_S)
            writer.write(answer)
            if is_last:
                self.late_count += 1
                await asyncio.sleep(LATE_BYTES_DELAY_S)
                writer.write(answer if self.late_bytes is None else self.late_bytes)

    def _ordinary_answer(self) -> bytes:
        return endpoint_answer(b"%d" % len(self.commands))

    async def secure(self, authority: Authority) -> None:
        """Serve TLS from now on."""
        pair = authority.sign("endpoint")
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(pair.certificate, pair.key)
        self.server.close()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, ssl=context)
        self.address = self.server.sockets[0].getsockname()


async def check_each_attempt_gets_its_own_answer(pool: PoolUnderTest, endpoint: LateBytesEndpoint) -> None:
    """Send one request after another, and compare each ordinary answer with the request's number."""
    for number in range(1, REQUESTS + 1):
        pool.send()
        outcome, value = await pool.result(number)
        if endpoint.answer is None or number % ANSWERS_BEFORE_LATE_BYTES:
            assert (outcome, value) == (Outcome.OK, b"%d" % number)
    assert endpoint.late_count == REQUESTS // ANSWERS_BEFORE_LATE_BYTES
    assert endpoint.connections == endpoint.late_count  # each of them closed its connection, and nothing else did


@pytest.mark.parametrize(
    ("answer", "late_bytes"),
    [
        (None, None),
        (None, b"+PONG\r\n"),
        (None, b"*3\r\n$5\r\nhel"),
        (REFUSAL, None),
        (b"-ERR failed\r\n", None),
        (LONG_VALUE_ANSWER, None),
    ],
)
def test_late_bytes_held_back_by_the_kernel_do_not_reach_the_next_request(
    answer: bytes | None, late_bytes: bytes | None
) -> None:
    """Guards against a value that was made for another request: the next request's write released the late bytes."""

    async def body() -> None:
        async with LateBytesEndpoint(answer, late_bytes) as endpoint:
            await check_each_attempt_gets_its_own_answer(PoolUnderTest(endpoint.address), endpoint)

    run_async(body())


@pytest.mark.parametrize("answer", [None, REFUSAL, LONG_VALUE_ANSWER])
def test_late_bytes_held_back_by_the_kernel_do_not_reach_the_next_request_over_tls(
    answer: bytes | None, tmp_path: Path
) -> None:
    """Guards against the same failure where the acknowledgement is due on the socket below TLS."""

    async def body() -> None:
        authority = Authority(tmp_path / "pki")
        async with LateBytesEndpoint(answer) as endpoint:
            await endpoint.secure(authority)
            pool = PoolUnderTest(endpoint.address, timeout=0.5)
            pool.pool.connector.tls = read_tls({"ca": str(authority.path)}, "server-tls", False)
            await check_each_attempt_gets_its_own_answer(pool, endpoint)

    run_async(body())


def test_a_refusal_held_back_by_the_kernel_refuses_no_request_that_is_executed(tmp_path: Path) -> None:
    """Guards against a second `-BUSY` that has an unsafe request, which is being executed, sent again."""

    async def body() -> None:
        endpoint = LateBytesEndpoint(REFUSAL)
        async with (
            endpoint,
            launched(tmp_path, endpoint_entry(endpoint.address), settings=NOT_IDEMPOTENT_SETTINGS) as program,
        ):
            await program.ready()
            client = await RespClient.connect(program.address)
            answers = {}
            for number in range(REQUESTS):
                request_id = f"{number:016x}"
                answers[request_id.encode()] = await client.request(command(request_id, "pay"))
            refused = [request_id for request_id, answer in answers.items() if str(answer).startswith("BUSY")]
            assert not [request_id for request_id in refused if endpoint.executions[request_id]]
            assert max(endpoint.executions.values()) == 1
            assert endpoint.late_count >= 2

    run_async(body())
