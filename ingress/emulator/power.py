"""Loss of power under the registry's store, after each disk operation, on an honest disk or one that lies about syncs.

A history of writes is made once on a recorded disk.  Then, for each operation, the files are written as a loss of power
right after it may leave them, and the store is opened there as the service would open it.
"""

from __future__ import annotations

import os
import random
import sqlite3
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from ingress.emulator.disk import Connection, Recorder, crash
from ingress.endpoint_registry.store import Store, StoreError
from ingress.runtime import durable_files

State = tuple[int, frozenset[str]]  # the version of a list, and the ids of its entries
# The probability that an unsynced operation remains after a loss of power, by variant.
HONEST_DISK_KEEP_PROBABILITIES = (0.0, 1.0, 0.5)
LYING_DISK_KEEP_PROBABILITIES = (1.0, 0.9, 0.6)
RANDOM_VARIANT = 2  # the index of the honest disk's variant with random and torn operations
FIRST_BOOT_ID = "before"
NEXT_BOOT_ID = "after"
WRITES_PER_CHECKPOINT = 7
CHECKPOINT_OFFSET = 3  # the position of the checkpoint within each group of writes
REMOVAL_AGE_WRITES = 9  # an entry is removed this many writes after it was added
WRITES_PER_REMOVAL = 3
ZONE_LENGTH = 300


class OpenResult(Enum):
    """How opening a store ends after a loss of power."""

    OPENED = "opened"
    QUARANTINED = "aside"
    REFUSED = "refused"


class _RecordingOs:
    """A replacement of the module `os` whose `fsync` is recorded."""

    def __init__(self, recorder: Recorder) -> None:
        self.fsync = recorder.fsync

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)


@contextmanager
def recorded(recorder: Recorder) -> Iterator[None]:
    """Put the stores that are opened within the context on the recorded disk."""

    def connect(path: Any, **_: Any) -> Connection:
        return Connection(recorder.name, path)

    originals: list[tuple[Any, str, Any]] = [(sqlite3, "connect", sqlite3.connect), (durable_files, "os", os)]
    setattr(sqlite3, "connect", connect)  # noqa: B010, both are restored below
    setattr(durable_files, "os", _RecordingOs(recorder))  # noqa: B010
    try:
        yield
    finally:
        for module, name, value in originals:
            setattr(module, name, value)


def _entry(name: str, state: str = "ready") -> dict[str, Any]:
    return {
        "id": name,
        "addr": "127.0.0.1:6379",
        "zone": "z" * ZONE_LENGTH,
        "kind": "m",
        "cell": 1,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class History:
    """A sequence of writes to a store, with the state after each of them and the disk operations.

    Attributes:
        states: The version and the ids after the start and after each write.
        operation_counts: The number of disk operations when each state was acknowledged.
        operations: The disk operations of all writes.
        bound: The content of the file with the upper bound of the versions.
    """

    def __init__(self, folder: Path, writes: int) -> None:
        recorder = Recorder(f"recorder-{folder}")
        self.states: list[State] = []
        self.operation_counts: list[int] = []
        with recorded(recorder):
            store = Store(folder, boot=lambda: FIRST_BOOT_ID)
            ids: set[str] = set()
            self._record_state(recorder, store, ids)
            for number in range(writes):
                if number % WRITES_PER_CHECKPOINT == CHECKPOINT_OFFSET:
                    store.base.execute("PRAGMA wal_checkpoint(PASSIVE)")  # SQLite does this itself after many pages
                rows = [(_entry(f"s{number}"), 0.0)]
                ids.add(f"s{number}")
                if number >= REMOVAL_AGE_WRITES and number % WRITES_PER_REMOVAL == 0:
                    rows.append((_entry(f"s{number - REMOVAL_AGE_WRITES}", "gone"), 0.0))
                    ids.discard(f"s{number - REMOVAL_AGE_WRITES}")
                store.write(store.version + 1, rows)
                self._record_state(recorder, store, ids)
            self.bound = store.bound_path.read_bytes()
            self.operations = list(recorder.operations)
            store.base.close()

    def _record_state(self, recorder: Recorder, store: Store, ids: set[str]) -> None:
        self.states.append((store.version, frozenset(ids)))
        self.operation_counts.append(len(recorder.operations))

    def last_acknowledged(self, operation_count: int) -> int:
        """Return the index of the last state acknowledged within the first operations; -1 if there is none."""
        return sum(count <= operation_count for count in self.operation_counts) - 1


def open_after_reboot(folder: Path, files: dict[str, bytes], bound: bytes) -> tuple[OpenResult, State]:
    """Open a store as the service would after the machine has booted again.

    Args:
        folder: The folder to make for the store.
        files: The content of the files of the store.
        bound: The content of the file with the upper bound of the versions.

    Returns:
        The result of opening the store, and the state that the service would serve.

    Raises:
        AssertionError: The store was refused with an error that does not name the folder.
    """
    folder.mkdir()
    for name, data in files.items():
        if not name.endswith("-shm"):
            (folder / name).write_bytes(data)
    (folder / "bound").write_bytes(bound)
    try:
        store = Store(folder, boot=lambda: NEXT_BOOT_ID)
    except StoreError as error:
        if str(folder) not in str(error):
            raise AssertionError(
                f"the error of the refused store does not name its folder {folder}: {error}"
            ) from error
        return OpenResult.REFUSED, (0, frozenset())
    state = store.version, frozenset(entry["id"] for entry, _, _ in store.rows)
    is_quarantined = bool(list(folder.glob("list.db*.damaged-*")))
    store.close()
    return OpenResult.QUARANTINED if is_quarantined else OpenResult.OPENED, state


@dataclass
class PowerReport:
    """The outcome of all simulated losses of power.

    Attributes:
        plays: The number of losses of power.
        ends: The number of losses of power by the result of opening the store.
        wrong: A description of each loss of power after which the store broke its guarantees.
    """

    plays: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)


def lose_power_at_each_step(
    folder: Path, writes: int, seed: int, lies: bool, progress: Callable[[int, int], None] | None = None
) -> PowerReport:
    """Simulate a loss of power after each disk operation of a history of writes.

    On an honest disk the loss of an acknowledged write is a violation; on a disk that lies, a list that never existed;
    on both, a version that may have been served before.

    Args:
        folder: The folder for the stores.
        writes: The number of writes in the history.
        seed: The seed for selecting the operations that are lost or torn.
        lies: Whether the disk acknowledges syncs without doing them, so that data remains only by chance.
        progress: The callback with the number of operations tested and the total.

    Returns:
        The number of losses of power by their result, and the violations.
    """
    folder.mkdir(parents=True, exist_ok=True)
    history = History(folder / "list", writes)
    rng = random.Random(seed)
    report = PowerReport()
    for count in range(len(history.operations) + 1):
        if progress is not None:
            progress(count, len(history.operations))
        for variant, keep in enumerate(LYING_DISK_KEEP_PROBABILITIES if lies else HONEST_DISK_KEEP_PROBABILITIES):
            variant_rng = rng if lies or variant == RANDOM_VARIANT else None
            files = crash(history.operations[:count], variant_rng, keep, lies)
            result, state = open_after_reboot(folder / f"{count}-{variant}", files, history.bound)
            report.plays += 1
            report.ends[result.value] += 1
            if _is_violation(history, count, lies, result, state):
                version, ids = state
                report.wrong.append(
                    f"after operation {count}, variant {variant}: {result.value}, version {version}, {len(ids)} entries"
                )
    return report


def _is_violation(history: History, count: int, lies: bool, result: OpenResult, state: State) -> bool:
    """Report whether the store broke its guarantees after a loss of power."""
    last = history.last_acknowledged(count)
    is_lost = not lies and last >= 0 and result is not OpenResult.OPENED
    if result is OpenResult.REFUSED:
        return is_lost
    version, ids = state
    return is_lost or ids not in _allowed_ids(history, last, lies) or version <= history.states[-1][0]


def _allowed_ids(history: History, last: int, lies: bool) -> set[frozenset[str]]:
    """Return the sets of ids that the store may have, where `last` is the last acknowledged state."""
    if lies:
        return {ids for _, ids in history.states} | {frozenset()}
    if last < 0:
        return {frozenset()}
    return {ids for _, ids in history.states[last : last + 2]}  # an unacknowledged write may have been stored as well
