"""No connection takes the event loop from the others: their requests are answered in time, and not refused."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peer_load import (
    FLOODS,
    LOAD_SETTINGS,
    PeerLoad,
    entries,
    load,
    schedule_server,
    send_many_fields,
    send_new_customers,
    send_sound_requests,
)
from tests.peers import run_async
from tests.test_net_signals import check_no_traceback, launched

FLOOD_TIME_S = 4.0
LATENCY_OBJECTIVE_S = 1.0  # of the classes in the settings
COSTLY_PEERS = 100


async def check_others(kind: PeerLoad, count: int, may_be_refused: bool, folder: Path) -> None:
    """Check that a sound client is answered in time while `count` peers load the process."""
    async with schedule_server() as peer, launched(folder, *entries(peer), settings=LOAD_SETTINGS) as program:
        await program.ready()
        sound = asyncio.create_task(send_sound_requests(program.address, FLOOD_TIME_S))
        await load(program.address, kind, count, FLOOD_TIME_S)
        answers = await sound
        assert answers.served and not answers.lost, answers
        assert answers.longest_s < LATENCY_OBJECTIVE_S, answers
        assert may_be_refused or not answers.refused, answers
        assert not program.logged("starved"), program.log
        check_no_traceback(program)


@pytest.mark.parametrize("kind", FLOODS)
def test_one_connection_at_full_speed_holds_up_other_clients(kind: PeerLoad, tmp_path: Path) -> None:
    """Guards against one connection whose commands are all executed before any other connection is read."""
    run_async(check_others(kind, 1, False, tmp_path))


@pytest.mark.parametrize("kind", [send_many_fields, send_new_customers])
def test_costly_requests_hold_up_other_clients(kind: PeerLoad, tmp_path: Path) -> None:
    """Guards against requests whose cost grows with what peers put into them."""
    run_async(check_others(kind, COSTLY_PEERS, True, tmp_path))
