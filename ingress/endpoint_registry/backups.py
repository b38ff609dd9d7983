"""Backups of the store: taken while the store is in use, verified, and selected by version or time.

A backup consists of `list-VERSION.db` and its description `list-VERSION.json`.  Both files are synced to disk under
temporary names before they are renamed, the copy first: a copy without a description is incomplete and not a backup.
"""

from __future__ import annotations

import hashlib
import json
import os
import sqlite3
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

from ingress.endpoint_registry.store import (
    SCHEMA_VERSION,
    DamagedStoreError,
    StoreError,
    open_to_read,
    read_summary,
    store_faults,
)
from ingress.runtime.durable_files import sync

BLOCK_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Backup:
    """The description that is stored next to a copy.

    Attributes:
        file: The file name of the copy.
        size: The size of the copy in bytes.
        sha256: The SHA-256 digest of the copy, in hexadecimal.
        version: The version of the endpoint list in the copy.
        entries: The number of entries in the copy.
        schema: The schema version of the tables.
        taken: The Unix time in seconds at which the backup was taken.
    """

    file: str
    size: int
    sha256: str
    version: int
    entries: int
    schema: int
    taken: float


def take_backup(store: Path, folder: Path, keep: int = 0) -> Backup:
    """Back up a store, which may be in use.

    Args:
        store: The folder of the store.
        folder: The folder of the backups.
        keep: The number of newest backups to keep; 0 keeps all.

    Raises:
        StoreError: The store cannot be copied, or the copy fails verification; its temporary files are removed.
    """
    source = store / "list.db"
    draft = folder / f".taking-{os.getpid()}.db"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        draft.unlink(missing_ok=True)
        backup = _copy_verified(source, draft)
        sync(draft)
        draft.rename(folder / backup.file)
        draft_description = draft.with_suffix(".json")
        draft_description.write_text(json.dumps(asdict(backup)), encoding="utf-8")
        sync(draft_description)
        draft_description.rename(_description_of(folder, backup))
        sync(folder)
    except (sqlite3.Error, OSError, DamagedStoreError) as error:
        raise StoreError(f"{source}: backup to {folder} failed: {error}") from error
    finally:
        for path in (draft, draft.with_suffix(".json")):
            path.unlink(missing_ok=True)
    if keep:
        _remove_all_but(folder, keep)
    return backup


def _copy_verified(source: Path, draft: Path) -> Backup:
    with open_to_read(source) as source_database, sqlite3.connect(draft) as copy:
        source_database.backup(copy)
        copy.execute("PRAGMA journal_mode=DELETE")
    copy.close()
    faults = list(store_faults(draft))
    if faults:
        raise StoreError(f"{source}: the copy failed verification: {'; '.join(faults)}")
    with open_to_read(draft) as database:
        summary = read_summary(database)
    return Backup(
        f"list-{summary.version:020d}.db",
        draft.stat().st_size,
        digest(draft),
        summary.version,
        summary.entries,
        SCHEMA_VERSION,
        round(time.time(), 3),
    )


def _remove_all_but(folder: Path, keep: int) -> None:
    for old in list(backups(folder))[:-keep]:
        # The description is removed first: a copy without it does not count as a backup.
        _description_of(folder, old).unlink(missing_ok=True)
        (folder / old.file).unlink(missing_ok=True)


def _description_of(folder: Path, backup: Backup) -> Path:
    return folder / backup.file.replace(".db", ".json")


def backups(folder: Path) -> Iterator[Backup]:
    """Yield the backups in a folder, the oldest version first.

    Raises:
        StoreError: A description cannot be read or is invalid.
    """
    for path in sorted(folder.glob("list-*.json")):
        yield _read_description(path)


def _read_description(path: Path) -> Backup:
    try:
        backup = Backup(**json.loads(path.read_text(encoding="utf-8")))
    except (OSError, ValueError, TypeError) as error:
        raise StoreError(f"{path}: the backup description is unreadable or invalid: {error}") from None
    expected_file = path.name.replace(".json", ".db")
    if backup.file != expected_file or not isinstance(backup.version, int):
        raise StoreError(
            f"{path}: describes file {backup.file!r} at version {backup.version!r}; "
            f"expected file {expected_file!r} and an integer version"
        )
    return backup


def choose(folder: Path, version: int | None = None, taken: float | None = None) -> Path:
    """Return the path of the newest matching backup, after verifying it.

    Args:
        folder: The folder of the backups.
        version: The highest list version to accept; None accepts any.
        taken: The latest time of the backup to accept, as Unix time in seconds; None accepts any.

    Raises:
        StoreError: No backup matches, or the backup fails verification.
    """
    matching = [
        backup
        for backup in backups(folder)
        if (version is None or backup.version <= version) and (taken is None or backup.taken <= taken)
    ]
    if not matching:
        raise StoreError(f"{folder}: no backup matches the requested version and time")
    path = folder / matching[-1].file
    faults = list(verify(path))
    if faults:
        raise StoreError("; ".join(faults))
    return path


def verify(path: Path) -> Iterator[str]:
    """Yield every fault of a backup or store file, each with the file name, without changing the file."""
    description = path.with_suffix(".json")
    if description.exists():
        try:
            backup = Backup(**json.loads(description.read_text(encoding="utf-8")))
        except (OSError, ValueError, TypeError) as error:
            yield f"{description}: the backup description is unreadable or invalid: {error}"
            return
        try:
            size = path.stat().st_size
            if size != backup.size:
                yield f"{path}: the size is {size} bytes; the backup description has {backup.size} bytes"
            elif digest(path) != backup.sha256:
                yield f"{path}: the SHA-256 digest differs from the backup description"
        except OSError as error:
            yield f"{path}: cannot read the backup: {error.strerror}"
            return
    for fault in store_faults(path):
        yield f"{path}: {fault}"


def digest(path: Path) -> str:
    """Return the SHA-256 digest of a file, in hexadecimal."""
    file_hash = hashlib.sha256()
    with path.open("rb") as file:
        while block := file.read(BLOCK_BYTES):
            file_hash.update(block)
    return file_hash.hexdigest()
