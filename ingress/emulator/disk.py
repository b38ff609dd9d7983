"""Simulated loss of power under SQLite: records the disk operations, and computes what may remain of them.

`Recorder` is a VFS that forwards all operations to the real one and records them.  `crash` computes a possible content
of the files after a loss of power: everything that was synced, and any part of the rest, torn at any sector.  A lying
disk acknowledges a sync without doing it.
"""

from __future__ import annotations

import os
import random
import stat
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import apsw

SECTOR_BYTES = 512  # a sector is written completely or not at all
TORN_PROBABILITY = 0.5  # that a remaining unsynced write is torn, and that a sector of a torn write remains


class OperationKind(Enum):
    """The kind of a disk operation."""

    WRITE = "write"
    TRUNCATE = "cut"
    SYNC = "sync"
    DELETE = "delete"
    SYNC_FOLDER = "names"


@dataclass(frozen=True)
class Operation:
    """One disk operation.

    Attributes:
        kind: The kind of the operation.
        name: The name of the file, without its folder.
        offset: The start of a write, or the size after a truncation (bytes).
        data: The bytes of a write.
    """

    kind: OperationKind
    name: str
    offset: int = 0
    data: bytes = b""


class RecordedFile(apsw.VFSFile):
    """A file of SQLite whose operations are recorded; SQLite defines the names of its methods."""

    def __init__(self, recorder: Recorder, base: str, name: Any, flags: list[int]) -> None:
        path = name.filename() if hasattr(name, "filename") else str(name)
        self.recorder = recorder
        self.file_name = Path(path).name
        super().__init__(base, name, flags)

    def xWrite(self, data: Any, offset: int) -> None:
        """Record a write and forward it."""
        self.recorder.operations.append(Operation(OperationKind.WRITE, self.file_name, offset, bytes(data)))
        super().xWrite(data, offset)

    def xTruncate(self, size: int) -> None:
        """Record a truncation and forward it."""
        self.recorder.operations.append(Operation(OperationKind.TRUNCATE, self.file_name, size))
        super().xTruncate(size)

    def xSync(self, flags: int) -> None:
        """Forward a sync, and record it once it has succeeded."""
        super().xSync(flags)
        self.recorder.operations.append(Operation(OperationKind.SYNC, self.file_name))


class Recorder(apsw.VFS):
    """A VFS for SQLite that records the operations it forwards; SQLite defines the names of its methods."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.operations: list[Operation] = []
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: list[int]) -> apsw.VFSFile:
        """Open a file whose operations are recorded."""
        return RecordedFile(self, "", name, flags)

    def xDelete(self, name: str, syncdir: bool) -> None:
        """Delete a file, and record the deletion once it has succeeded."""
        super().xDelete(name, syncdir)
        self.operations.append(Operation(OperationKind.DELETE, Path(name).name))
        if syncdir:
            self.operations.append(Operation(OperationKind.SYNC_FOLDER, ""))

    def fsync(self, handle: int) -> None:
        """Replace `os.fsync` outside SQLite; records the sync of a folder, which makes deletions durable."""
        os.fsync(handle)
        if stat.S_ISDIR(os.fstat(handle).st_mode):
            self.operations.append(Operation(OperationKind.SYNC_FOLDER, ""))


class Connection:
    """The part of the `sqlite3.Connection` interface that the store uses, on the recorded disk."""

    def __init__(self, vfs: str, path: Path) -> None:
        self.base = apsw.Connection(str(path), vfs=vfs)

    def execute(self, text: str, values: Sequence[Any] = ()) -> Cursor:
        """Execute a statement and read all its rows."""
        return Cursor(list(self.base.execute(text, tuple(values))))

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return bool(self.base.in_transaction)

    def close(self) -> None:
        """Close the connection."""
        self.base.close()


class Cursor:
    """The rows of a statement."""

    def __init__(self, rows: list[Any]) -> None:
        self.rows = rows

    def fetchall(self) -> list[Any]:
        """Return all rows."""
        return self.rows

    def fetchone(self) -> Any:
        """Return the first row, or None."""
        return self.rows[0] if self.rows else None

    def __iter__(self) -> Iterator[Any]:
        return iter(self.rows)


def _apply(files: dict[str, bytearray], operation: Operation, rng: random.Random | None = None) -> None:
    """Apply one operation to the files; with `rng` a write is torn, and only some of its sectors are applied."""
    if operation.kind is OperationKind.DELETE:
        files.pop(operation.name, None)
        return
    file = files.setdefault(operation.name, bytearray())
    if operation.kind is OperationKind.TRUNCATE:
        del file[operation.offset :]
    elif operation.kind is OperationKind.WRITE:
        _write(file, operation, rng)


def _write(file: bytearray, operation: Operation, rng: random.Random | None) -> None:
    start = operation.offset
    end = operation.offset + len(operation.data)
    while start < end:
        sector_end = min(end, start - start % SECTOR_BYTES + SECTOR_BYTES)
        if rng is None or rng.random() < TORN_PROBABILITY:
            if len(file) < sector_end:
                file.extend(bytes(sector_end - len(file)))
            file[start:sector_end] = operation.data[start - operation.offset : sector_end - operation.offset]
        start = sector_end


def crash(
    operations: Iterable[Operation], rng: random.Random | None, keep: float, lies: bool = False
) -> dict[str, bytes]:
    """Compute a possible content of the files after a loss of power.

    Args:
        operations: The operations before the loss of power.
        rng: The random generator that selects which unsynced operations remain, and which of them are torn. Without
            it all of them remain, or none if `keep` is 0, and nothing is torn.
        keep: The probability that an unsynced operation remains.
        lies: Whether the disk ignored every sync.

    Returns:
        The content of each file, by its name.
    """
    files: dict[str, bytearray] = {}
    pending: list[Operation] = []
    for operation in operations:
        if operation.kind is OperationKind.SYNC:
            if not lies:
                pending = _sync_file(files, pending, operation.name)
        elif operation.kind is OperationKind.SYNC_FOLDER:
            if not lies:
                pending = _sync_folder(files, pending)
        else:
            pending.append(operation)
    for operation in pending:
        if rng is None:
            if keep:
                _apply(files, operation)
        elif rng.random() < keep:
            _apply(files, operation, rng if rng.random() < TORN_PROBABILITY else None)
    return {name: bytes(data) for name, data in files.items()}


def _sync_file(files: dict[str, bytearray], pending: list[Operation], name: str) -> list[Operation]:
    """Apply the pending operations of a file, and return those that are still pending."""
    for operation in pending:
        if operation.name == name:
            _apply(files, operation)
    return [operation for operation in pending if operation.name != name]


def _sync_folder(files: dict[str, bytearray], pending: list[Operation]) -> list[Operation]:
    """Make the pending deletions durable, and return the operations that are still pending."""
    while any(operation.kind is OperationKind.DELETE for operation in pending):
        last_delete = max(index for index, operation in enumerate(pending) if operation.kind is OperationKind.DELETE)
        name = pending[last_delete].name
        files.pop(name, None)
        pending = [
            operation for index, operation in enumerate(pending) if operation.name != name or index > last_delete
        ]
    return pending
