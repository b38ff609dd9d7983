"""The list's store when the power goes after any operation of its disk, and on a disk that did not keep its word."""

from __future__ import annotations

import os
import random
import sqlite3
from pathlib import Path
from typing import Any

import pytest

from mulleinhall.registry import store as store_module
from mulleinhall.registry.store import FILES, CannotOpen, Store
from tests.disk import Connection, Op, Recorder, crash
from tests.test_registry import row

State = tuple[int, frozenset[str]]  # version, ids


class Synced:
    """`os` as the store sees it."""

    def __init__(self, recorder: Recorder) -> None:
        self.fsync = recorder.fsync

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)


class History:
    """Writes of a store and each state that was there, with the operations of the disk."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch, writes: int) -> None:
        recorder = Recorder(f"recorder-{folder.name}")
        self.states: list[State] = []
        self.done: list[int] = []  # number of operations when each state was answered

        def connect(path: Any, **_: Any) -> Connection:
            return Connection(recorder.name, path)

        monkeypatch.setattr(sqlite3, "connect", connect)
        monkeypatch.setattr(store_module, "os", Synced(recorder))
        store = Store(folder, boot=lambda: "before")
        ids: set[str] = set()
        self._note(recorder, store, ids)
        for n in range(writes):
            if n % 7 == 3:
                store.base.execute("PRAGMA wal_checkpoint(PASSIVE)")  # as it comes by itself after many pages
            gone = f"s{n - 9}" if n >= 9 and n % 3 == 0 else ""
            rows: list[tuple[Any, float]] = [({**row(f"s{n}"), "zone": "z" * 300}, 0.0)]
            ids.add(f"s{n}")
            if gone in ids:
                rows.append(({**row(gone), "state": "gone"}, 0.0))
                ids.discard(gone)
            store.write(store.given + 1, rows)
            self._note(recorder, store, ids)
        self.bound = store.bound_path.read_bytes()
        self.ops: list[Op] = list(recorder.ops)
        store.base.close()
        monkeypatch.undo()

    def _note(self, recorder: Recorder, store: Store, ids: set[str]) -> None:
        self.states.append((store.given, frozenset(ids)))
        self.done.append(len(recorder.ops))

    def answered(self, operations: int) -> int:
        """The last state that was answered by then; -1: none."""
        return sum(done <= operations for done in self.done) - 1


def opened(folder: Path, files: dict[str, bytes], bound: bytes) -> tuple[str, State]:
    folder.mkdir()
    for name, data in files.items():
        if not name.endswith("-shm"):
            (folder / name).write_bytes(data)
    (folder / "bound").write_bytes(bound)
    try:
        store = Store(folder, boot=lambda: "after")
    except CannotOpen as error:
        assert str(folder) in str(error)
        return "refused", (0, frozenset())
    state = store.given, frozenset(kept["id"] for kept, _, _ in store.rows)
    aside = bool(list(folder.glob("list.db*.damaged-*")))
    store.close()
    return "aside" if aside else "opened", state


def test_power_lost_after_any_operation_loses_nothing_that_was_answered(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    history = History(tmp_path / "list", monkeypatch, 24)
    top = history.states[-1][0]
    rng, tried = random.Random(1), 0
    assert len(history.ops) > 150
    for count in range(len(history.ops) + 1):
        last = history.answered(count)
        for variant, keep in enumerate((0.0, 1.0, 0.5)):
            files = crash(history.ops[:count], rng if variant == 2 else None, keep)
            how, (version, ids) = opened(tmp_path / f"{count}-{variant}", files, history.bound)
            tried += 1
            if last >= 0:
                assert how == "opened", (count, variant, how)
                # The one that was under way may be there as well.
                assert ids in [one for _, one in history.states[last:last + 2]], (count, variant)
            else:
                assert ids == frozenset()
            assert version > top  # above all that may have been given
    assert tried > 450


def test_a_disk_that_lied_is_refused_set_aside_or_a_state_that_was(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """It may lose what it said was safe: then versions still go on above all given, and no list is shown that never
    was."""
    history = History(tmp_path / "list", monkeypatch, 24)
    top, rng = history.states[-1][0], random.Random(2)
    were = {ids for _, ids in history.states} | {frozenset[str]()}
    found = {"opened": 0, "aside": 0, "refused": 0}
    for count in range(0, len(history.ops) + 1, 2):
        for variant, keep in enumerate((1.0, 0.9, 0.6)):
            files = crash(history.ops[:count], rng, keep, lies=True)
            how, (version, ids) = opened(tmp_path / f"{count}-{variant}", files, history.bound)
            found[how] += 1
            if how != "refused":
                assert ids in were, (count, variant, how)
                assert version > top
            if how == "aside":
                assert ids == frozenset()
    assert found["opened"] > 10 and found["aside"] > 10, found


def test_entries_of_two_moments_are_found_though_each_is_whole(tmp_path: Path) -> None:
    """As a page that was lost would leave it: each row carries its own digest, and all of them together another."""
    store = Store(tmp_path / "list")
    for n in range(3):
        store.write(store.given + 1, [(row(f"s{n}"), 0.0)])
    before = store.base.execute("SELECT * FROM entries WHERE id = 's1'").fetchone()
    store.write(store.given + 1, [({**row("s1"), "zone": "moved"}, 0.0)])
    store.base.execute("INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?)", before)
    given = store.given
    store.close()
    assert any("not all of one moment" in fault for fault in store_module.faults_of(tmp_path / "list" / "list.db"))
    again = Store(tmp_path / "list")
    assert again.rows == [] and again.given > given and list((tmp_path / "list").glob("list.db.damaged-*"))
    again.close()


def test_a_store_from_before_the_seal_is_taken_on_and_sealed(tmp_path: Path) -> None:
    store = Store(tmp_path / "list")
    store.write(store.given + 1, [(row("s1"), 0.0)])
    store.base.execute("DELETE FROM meta WHERE key = 'content'")
    store.base.execute("PRAGMA user_version = 1")
    given = store.given
    store.close()
    again = Store(tmp_path / "list")
    assert [kept["id"] for kept, _, _ in again.rows] == ["s1"] and again.given == given
    again.close()
    assert not list(store_module.faults_of(tmp_path / "list" / "list.db"))


def test_versions_go_on_after_a_kill_and_above_all_given_after_a_loss_of_power(tmp_path: Path) -> None:
    store = Store(tmp_path, boot=lambda: "one")
    store.write(store.given + 1, [(row("s1"), 0.0)])
    given = store.given
    store.base.close()
    store._release()  # a kill: nothing is said
    again = Store(tmp_path, boot=lambda: "one")
    assert again.given == given
    again._release()
    third = Store(tmp_path, boot=lambda: "two")
    assert third.given > given + 1000 and [kept["id"] for kept, _, _ in third.rows] == ["s1"]
    bound = third.given
    third.close()
    fourth = Store(tmp_path, boot=lambda: "three")  # it had ended in an orderly way
    assert fourth.given == bound
    fourth.close()
    assert FILES[0] == ""
