"""Backups, checks and restores of the store under faults; registration through outages."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest

from ingress.endpoint_registry import registration
from ingress.endpoint_registry.backups import backups, choose, take_backup, verify
from ingress.endpoint_registry.registration import Entry, Registration, RegistrationRejectedError
from ingress.endpoint_registry.store import SCHEMA_VERSION, Store, StoreError
from tests.peers import free_port, wait_until
from tests.test_registry import TOKEN, endpoint_row, run_async, running_registry

ROOT = Path(__file__).resolve().parent.parent


def store_with_entries(folder: Path, count: int = 5) -> Store:
    store = Store(folder)
    for n in range(count):
        store.write(store.version + 1, [(endpoint_row(f"s{n}"), 0.0)])
    return store


def run_command(*words: object, code: str = "") -> subprocess.CompletedProcess[str]:
    start = ["-c", code] if code else ["-m", "ingress.endpoint_registry"]
    return subprocess.run(
        [sys.executable, *start, *map(str, words)], cwd=ROOT, capture_output=True, text=True, check=False, timeout=60
    )


def test_a_backup_of_a_store_in_use_is_verified_and_restored(tmp_path: Path) -> None:
    store = store_with_entries(tmp_path / "list")
    taken = run_command("backup", "--data", tmp_path / "list", "--to", tmp_path / "copies")
    assert taken.returncode == 0 and "5 entries" in taken.stdout, taken.stderr
    store.write(store.version + 1, [(endpoint_row("late"), 0.0)])
    second = take_backup(tmp_path / "list", tmp_path / "copies")
    assert [copy.entries for copy in backups(tmp_path / "copies")] == [5, 6]
    given = store.version
    refused = run_command("restore", "--data", tmp_path / "list", "--from", tmp_path / "copies")
    assert refused.returncode == 2 and "another process has locked the store" in refused.stderr
    store.close()
    assert run_command("check", tmp_path / "list", tmp_path / "copies").stdout.count(": good") == 3
    # Point-in-time restore: the list before the last write, at a version above all that were served.
    done = run_command(
        "restore", "--data", tmp_path / "list", "--from", tmp_path / "copies", "--version", second.version - 1
    )
    assert done.returncode == 0 and "restored 5 entries" in done.stdout, done.stderr
    again = Store(tmp_path / "list")
    assert {kept["id"] for kept, _, _ in again.rows} == {f"s{n}" for n in range(5)} and again.version > given
    again.close()
    at = run_command(
        "restore", "--data", tmp_path / "list", "--from", tmp_path / "copies", "--at", "2020-01-01T00:00:00"
    )
    assert at.returncode == 2 and "no backup matches the requested version and time" in at.stderr


def test_only_the_newest_backups_are_kept(tmp_path: Path) -> None:
    store = store_with_entries(tmp_path / "list", 1)
    for n in range(4):
        store.write(store.version + 1, [(endpoint_row(f"t{n}"), 0.0)])
        take_backup(tmp_path / "list", tmp_path / "copies", keep=2)
    assert [copy.entries for copy in backups(tmp_path / "copies")] == [4, 5]
    assert len(list((tmp_path / "copies").iterdir())) == 4
    store.close()


def test_a_flipped_bit_anywhere_in_a_backup_is_found_and_never_restored(tmp_path: Path) -> None:
    store_with_entries(tmp_path / "list").close()
    copy = tmp_path / "copies" / take_backup(tmp_path / "list", tmp_path / "copies").file
    good = copy.read_bytes()
    rng = random.Random(1)
    for place in rng.sample(range(len(good)), 300):
        copy.write_bytes(good[:place] + bytes([good[place] ^ 1 << rng.randrange(8)]) + good[place + 1 :])
        assert any(str(copy) in fault for fault in verify(copy))
        with pytest.raises(StoreError, match="the SHA-256 digest differs from the backup description"):
            choose(tmp_path / "copies")
    for cut in (0, 1, 100, len(good) - 1):
        copy.write_bytes(good[:cut])
        assert list(verify(copy))
    copy.write_bytes(good)
    assert choose(tmp_path / "copies") == copy


def test_a_flipped_bit_anywhere_in_the_store_is_detected_or_harmless(tmp_path: Path) -> None:
    store = store_with_entries(tmp_path / "list")
    kept, given = sorted(map(str, store.rows)), store.version
    store.base.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    Store(tmp_path / "list").close()
    good, path = (tmp_path / "list" / "list.db").read_bytes(), tmp_path / "list" / "list.db"
    written = sorted(str(one) for one in _read(tmp_path / "list"))
    rng, outcomes = random.Random(2), {"same": 0, "quarantined": 0, "rejected": 0}
    for place in rng.sample(range(len(good)), 250):
        folder = tmp_path / "list"
        for left in folder.iterdir():
            if left.name != "bound":
                left.unlink()
        path.write_bytes(good[:place] + bytes([good[place] ^ 1 << rng.randrange(8)]) + good[place + 1 :])
        try:
            again = Store(folder)
        except StoreError as error:
            assert str(folder) in str(error)  # The error names the folder.
            outcomes["rejected"] += 1
            continue
        if list(folder.glob("list.db.damaged-*")):
            assert again.rows == [] and again.version > given
            outcomes["quarantined"] += 1
        else:
            assert sorted(map(str, again.rows)) == written
            outcomes["same"] += 1
        again.close()
    assert outcomes["quarantined"] >= 5 and outcomes["same"] > 20, outcomes
    assert len(kept) == 0 or written


def _read(folder: Path) -> list[object]:
    store = Store(folder)
    rows: list[object] = list(store.rows)
    store.close()
    return rows


def test_a_store_with_a_newer_schema_is_rejected_and_unchanged(tmp_path: Path) -> None:
    store_with_entries(tmp_path / "list").close()
    base = sqlite3.connect(tmp_path / "list" / "list.db")
    base.execute(f"PRAGMA user_version = {SCHEMA_VERSION + 1}")
    base.close()
    before = (tmp_path / "list" / "list.db").read_bytes()
    for _ in range(2):
        with pytest.raises(
            StoreError,
            match=rf"list\.db: schema version {SCHEMA_VERSION + 1} is newer than the supported version "
            rf"{SCHEMA_VERSION}; the file is left unchanged",
        ):
            Store(tmp_path / "list")
    assert (tmp_path / "list" / "list.db").read_bytes() == before
    assert not list((tmp_path / "list").glob("*.damaged-*"))
    assert run_command("check", tmp_path / "list").returncode == 1


def test_a_store_without_a_schema_version_is_upgraded(tmp_path: Path) -> None:
    store = store_with_entries(tmp_path / "list")
    store.base.execute("PRAGMA user_version = 0")
    store.close()
    again = Store(tmp_path / "list")
    assert len(again.rows) == 5
    assert again.base.execute("PRAGMA user_version").fetchall() == [(SCHEMA_VERSION,)]
    again.close()


@pytest.mark.parametrize("text", ["12x", "", "999 0000", "\u00e9"])
def test_a_damaged_version_bound_is_logged_and_quarantined(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    store = store_with_entries(tmp_path / "list")
    given = store.version
    store.close()
    (tmp_path / "list" / "bound").write_bytes(text.encode())
    again = Store(tmp_path / "list")
    assert "the version bound is damaged" in caplog.text and list((tmp_path / "list").glob("bound.damaged-*"))
    again.write(again.version + 1, [(endpoint_row("new"), 0.0)])
    assert again.version > given
    again.close()


CRASHING_BACKUP = """
import os, signal, sys
from pathlib import Path
from ingress.endpoint_registry import backups
left = int(sys.argv[3])
def step(real):
    def call(*words, **more):
        global left
        left -= 1
        if left < 0:
            os.kill(os.getpid(), signal.SIGKILL)
        return real(*words, **more)
    return call
for owner, name in ((Path, "rename"), (Path, "unlink"), (Path, "write_text"), (Path, "mkdir"), (os, "fsync"),
                    (os, "open"), (backups, "store_faults"), (backups, "digest"), (backups, "read_summary")):
    setattr(owner, name, step(getattr(owner, name)))
backups.take_backup(Path(sys.argv[1]), Path(sys.argv[2]), keep=1)
"""


def test_sigkill_at_every_step_of_a_backup_leaves_only_complete_backups(tmp_path: Path) -> None:
    store = store_with_entries(tmp_path / "list")
    folder = tmp_path / "copies"
    take_backup(tmp_path / "list", folder)
    store.write(store.version + 1, [(endpoint_row("more"), 0.0)])
    points = 0
    while True:
        shutil.rmtree(tmp_path / "trial", ignore_errors=True)
        shutil.copytree(folder, tmp_path / "trial")
        done = run_command(tmp_path / "list", tmp_path / "trial", points, code=CRASHING_BACKUP)
        found = list(backups(tmp_path / "trial"))
        assert found and all(not list(verify(tmp_path / "trial" / copy.file)) for copy in found), points
        if done.returncode == 0:
            break
        assert done.returncode == -signal.SIGKILL, done.stderr
        take_backup(tmp_path / "list", tmp_path / "trial")  # The remains of the killed backup do not block it.
        assert [copy.entries for copy in backups(tmp_path / "trial")][-1] == 6
        points += 1
    assert points >= 10
    store.close()


def test_a_full_disk_fails_a_backup_with_the_file_name_and_leaves_nothing(tmp_path: Path) -> None:
    store_with_entries(tmp_path / "list", 200).close()
    code = (
        "import resource, signal, sys; from ingress.endpoint_registry.__main__ import main; "
        "signal.signal(signal.SIGXFSZ, signal.SIG_IGN); resource.setrlimit(resource.RLIMIT_FSIZE, (8192, 8192)); "
        "sys.exit(main())"
    )
    done = run_command("backup", "--data", tmp_path / "list", "--to", tmp_path / "copies", code=code)
    assert done.returncode == 2 and "list.db" in done.stderr, done.stderr
    assert list((tmp_path / "copies").iterdir()) == []


def test_an_invalid_description_is_reported_with_its_name(tmp_path: Path) -> None:
    store_with_entries(tmp_path / "list").close()
    copy = take_backup(tmp_path / "list", tmp_path / "copies")
    described = tmp_path / "copies" / copy.file.replace(".db", ".json")
    for text in ("{", "[]", "{}", json.dumps({**json.loads(described.read_text()), "file": "other.db"})):
        described.write_text(text, encoding="utf-8")
        done = run_command("restore", "--data", tmp_path / "list", "--from", tmp_path / "copies")
        assert done.returncode == 2 and str(described) in done.stderr


# Registration


def test_a_registration_survives_outages_and_a_lost_store(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registration, "MIN_BACKOFF_S", 0.01)

    async def body() -> None:
        stop = asyncio.Event()
        async with running_registry(tmp_path / "one") as (first, _, address):
            one = Registration([address], Entry("s-1", "127.0.0.1:6379", 0.5), TOKEN, random.Random(1))
            task = asyncio.create_task(one.run(stop))
            await wait_until(lambda: one.renewals >= 3)
            assert [entry["id"] for entry in first.catalog.entries()] == ["s-1"]
        await wait_until(lambda: one.failures >= 2)  # The service is down; the registration continues.
        async with running_registry(tmp_path / "another") as (second, _, address):
            one.services[:] = [("127.0.0.1", 1), address]
            await wait_until(lambda: [entry["id"] for entry in second.catalog.entries()] == ["s-1"])
            stop.set()
            await task
            assert not second.catalog.entries()  # The registration removed its entry.

    run_async(body())


def test_a_wrong_token_or_entry_ends_the_registration_with_the_reason(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path / "one") as (_, _, address):
            for entry, token, reason in (
                (Entry("s", "127.0.0.1:1", 5.0), "wrong", "401|403"),
                (Entry("s", "nowhere", 5.0), TOKEN, "400.*addr"),
            ):
                one = Registration([address], entry, token, random.Random(1))
                async with aiohttp.ClientSession(headers={"Authorization": f"Bearer {token}"}) as session:
                    with pytest.raises(RegistrationRejectedError, match=reason):
                        await one.register_or_renew(session)

    run_async(body())


def test_registrations_that_start_together_do_not_renew_together() -> None:
    entry = Entry("s", "127.0.0.1:1", 9.0)
    waits = {
        round(Registration([("127.0.0.1", 1)], entry, "", random.Random(n)).rng.uniform(0.8, 1.2), 6) for n in range(50)
    }
    assert len(waits) > 45


def test_the_register_command_keeps_an_entry_and_removes_it_at_the_end(tmp_path: Path) -> None:
    port, token = free_port(), tmp_path / "token"
    token.write_text(TOKEN, encoding="utf-8")
    service = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "ingress.endpoint_registry",
            "--listen",
            f"127.0.0.1:{port}",
            "--data",
            str(tmp_path / "list"),
            "--token-file",
            str(token),
        ],
        cwd=ROOT,
    )
    server = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "ingress.endpoint_registry",
            "register",
            "--service",
            f"127.0.0.1:{port}",
            "--token-file",
            str(token),
            "--id",
            "s-9",
            "--addr",
            "127.0.0.1:6379",
            "--ttl",
            "2",
            "--drain",
            "0.2",
        ],
        cwd=ROOT,
    )

    async def listed() -> list[str]:
        async with aiohttp.ClientSession() as session, session.get(f"http://127.0.0.1:{port}/api/targets") as answer:
            return [entry["id"] for entry in (await answer.json())["servers"]]

    async def body() -> None:
        while True:
            try:
                if await listed() == ["s-9"]:
                    break
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.02)
        server.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(server.wait) == 0
        assert await listed() == []

    try:
        run_async(body())
    finally:
        for child in (server, service):
            child.kill()
            child.wait()
    assert os.path.exists(tmp_path / "list" / "list.db")
