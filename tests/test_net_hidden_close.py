"""A client that closes while much of what it sent is unread: nothing is sent for it afterwards."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from ingress.runtime.sockets import seconds_since_last_receive
from tests.peer_load import LOAD_SETTINGS, send_sound_requests
from tests.peers import Peer, Reader, Writer, command, endpoint_answer, endpoint_entry, read_command, run_async
from tests.test_net_signals import check_no_traceback, launched

SERVERS = 60  # so that none of the requests is refused for lack of capacity
WARM_UP_TIME_S = 1.0
FIRST_ANSWER_DELAY_S = 0.3
CLOSE_SLACK_S = 0.1  # the operators' terms: an attempt that begins later is a lost request
OBSERVED_TIME_S = 2.5  # longer than the time of a request
FAILED = b"-ERR failed\r\n"
TURNED_AWAY = b"-BUSY\r\n"


class FailingServer(Peer):
    """Answers the first attempts of the request `first` with an error, and records when attempts begin."""

    def __init__(self, error: bytes | None) -> None:
        super().__init__(self._serve_commands)
        self.error = error
        self.begun: list[tuple[float, bytes]] = []

    async def _serve_commands(self, _: int, reader: Reader, writer: Writer) -> None:
        while True:
            name = (await read_command(reader))[2]
            # When the kernel got it: this test may be held up by others before it reads it.
            waited = seconds_since_last_receive(writer.get_extra_info("socket"))
            self.begun.append((time.monotonic() - waited, name))
            if name != b"first":
                writer.write(endpoint_answer(name))
            elif self.error is not None:
                await asyncio.sleep(FIRST_ANSWER_DELAY_S)
                writer.write(self.error)


def check_nothing_is_sent_on(pipelined: int, error: bytes | None, folder: Path) -> None:
    """Let a client send requests and close, and check that no attempt for it begins afterwards."""

    async def body() -> None:
        server = FailingServer(error)
        async with server:
            listed = [endpoint_entry(server.address, f"s{number}") for number in range(SERVERS)]
            async with launched(folder, *listed, settings=LOAD_SETTINGS, module="tests.admitting_program") as program:
                await program.ready()
                await send_sound_requests(program.address, WARM_UP_TIME_S)
                others = b"".join(command(f"other{number}") for number in range(pipelined))
                with socket.create_connection(program.address) as sock:
                    await asyncio.to_thread(sock.sendall, command("first") + others)
                closed_at = time.monotonic()
                await asyncio.sleep(OBSERVED_TIME_S)
                late = [name for begun_at, name in server.begun if begun_at > closed_at + CLOSE_SLACK_S]
                assert server.begun and not late, late[:5]
                check_no_traceback(program)

    run_async(body())


@pytest.mark.parametrize("error", [FAILED, TURNED_AWAY], ids=["failed", "turned-away"])
@pytest.mark.parametrize("pipelined", [6_000, 20_000])
def test_requests_are_sent_on_for_a_client_whose_close_lies_behind_unread_bytes(
    pipelined: int, error: bytes, tmp_path: Path
) -> None:
    """Guards against an end of the stream that can't arrive, because the receive buffer before it is full."""
    check_nothing_is_sent_on(pipelined, error, tmp_path)


@pytest.mark.parametrize("error", [FAILED, TURNED_AWAY, None], ids=["failed", "turned-away", "silent"])
def test_requests_are_sent_on_for_a_client_whose_close_lies_behind_a_few_unread_bytes(
    error: bytes | None, tmp_path: Path
) -> None:
    check_nothing_is_sent_on(400, error, tmp_path)
