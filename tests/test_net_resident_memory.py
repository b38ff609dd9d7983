"""The resident memory of all processes of an ingress, with its files, stays below the limit whatever peers do."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.peer_load import (
    BYTES_PER_MB,
    LOAD_SETTINGS,
    LOAD_TIME_S,
    LOADS,
    PeerLoad,
    all_kinds,
    entries,
    folder_bytes,
    load,
    peak_memory,
    schedule_server,
    send_new_customers,
    send_sound_requests,
    stay_idle,
)
from tests.peers import run_async
from tests.test_net_memory import wait_until_serving
from tests.test_net_signals import check_no_traceback, launched

LEAST_MEMORY_MB = 32  # the least that the pages name
SOCKETS = 1024
RECOVERY_TIME_S = 2.0
UPGRADE_MEMORY_MB = 80
BUSY_LOADS = tuple(kind for kind in LOADS if kind is not stay_idle)


def limits(memory_mb: int) -> dict[str, float]:
    return {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS}


async def check_load(kind: PeerLoad, memory_mb: int, folder: Path) -> None:
    """Check one process under a load: its peak, the answers of a sound client, and that it serves afterwards."""
    async with (
        schedule_server() as peer,
        launched(folder, *entries(peer), limits=limits(memory_mb), settings=LOAD_SETTINGS) as program,
    ):
        await program.ready()
        sound = asyncio.create_task(send_sound_requests(program.address, LOAD_TIME_S))
        await load(program.address, kind)
        answers = await sound
        afterwards = await send_sound_requests(program.address, RECOVERY_TIME_S)
        peak = peak_memory(program) + folder_bytes(folder)
        assert peak < memory_mb * BYTES_PER_MB, f"{peak / BYTES_PER_MB:.1f} MB, {answers}"
        assert not answers.lost, answers
        assert afterwards.served and not afterwards.lost, afterwards
        check_no_traceback(program)


@pytest.mark.parametrize("kind", [*BUSY_LOADS, all_kinds])
def test_peers_exceed_the_least_memory_limit(kind: PeerLoad, tmp_path: Path) -> None:
    """Guards against a process that is killed because its budget rests on assumptions about its own size."""
    run_async(check_load(kind, LEAST_MEMORY_MB, tmp_path))


def test_idle_peers_exceed_the_least_memory_limit(tmp_path: Path) -> None:
    run_async(check_load(stay_idle, LEAST_MEMORY_MB, tmp_path))


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 80])
def test_new_customers_exceed_the_memory_limit(memory_mb: int, tmp_path: Path) -> None:
    """Guards against customers that are kept whatever their number."""
    run_async(check_load(send_new_customers, memory_mb, tmp_path))


@pytest.mark.parametrize("kind", [*LOADS, all_kinds])
def test_peers_exceed_a_usual_memory_limit(kind: PeerLoad, tmp_path: Path) -> None:
    run_async(check_load(kind, 80, tmp_path))


def test_two_processes_of_an_upgrade_exceed_the_memory_limit(tmp_path: Path) -> None:
    """Guards against two processes that each use the memory that the other leaves."""

    async def body() -> None:
        async with schedule_server() as peer:
            servers = entries(peer)
            changes: dict[str, Any] = {"limits": limits(UPGRADE_MEMORY_MB), "settings": LOAD_SETTINGS}
            async with launched(tmp_path, *servers, **changes) as first:
                await first.ready()
                to_first = asyncio.create_task(load(first.address, all_kinds))
                await asyncio.sleep(LOAD_TIME_S / 4)
                async with launched(tmp_path, *servers, at=first.address, **changes) as second:
                    await wait_until_serving(second)
                    answers = await send_sound_requests(second.address, LOAD_TIME_S)
                    await to_first
                    peak = peak_memory(first, second) + folder_bytes(tmp_path)
                    assert peak < UPGRADE_MEMORY_MB * BYTES_PER_MB, f"{peak / BYTES_PER_MB:.1f} MB"
                    assert answers.served and not answers.lost, answers
                    check_no_traceback(first)
                    check_no_traceback(second)

    run_async(body())
