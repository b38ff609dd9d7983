"""The state of the registry on disk, in SQLite: the entries and the list version.

A store must be used by one thread at a time.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import json
import logging
import os
import shutil
import sqlite3
import time
import uuid
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from urllib.parse import quote

from msgspec import Struct

from ingress.checkpoint.clock_readings import read_boot_id
from ingress.endpoint_registry.catalog import EntryRecord
from ingress.errors import IngressError
from ingress.runtime.durable_files import replace_file

log = logging.getLogger(__name__)

SCHEMA_VERSION = 2  # A store with a higher schema version was written by a later build.
# From this schema version on, a seal detects entries of different list versions in one store.
FIRST_SEALED_SCHEMA_VERSION = 2
CONTENT_SUM_MODULUS = 1 << 256  # The content sum has the size of a SHA-256 digest.
MAX_VERSION = 1 << 63
RESERVED_VERSION_COUNT = 100_000  # Each write of the version bound reserves this many versions.
BUSY_TIMEOUT_S = 1.0  # The wait for a lock that another process has on the database file.
SQLITE_FILE_SUFFIXES = ("", "-wal", "-shm")
CLEAN_SHUTDOWN = "closed"  # Stored instead of the boot id after an orderly shutdown of the service.


class StoreError(IngressError):
    """A store that cannot be used."""


class DamagedStoreError(IngressError):
    """The content of a store fails its integrity checks."""


class NewerSchemaError(StoreError):
    """A store that a later build has written."""


class Summary(Struct, frozen=True):
    """The name of a store, the version of its list and the number of its entries."""

    name: str
    version: int
    entries: int


@contextlib.contextmanager
def open_to_read(path: Path) -> Iterator[sqlite3.Connection]:
    """Open the file of a store read-only.

    Raises:
        StoreError: The file does not exist.
    """
    if not path.is_file():
        raise StoreError(f"{path}: no such file")
    database = sqlite3.connect(f"file:{quote(str(path.absolute()))}?mode=ro", uri=True, timeout=BUSY_TIMEOUT_S)
    try:
        yield database
    finally:
        database.close()


def check_schema(database: sqlite3.Connection) -> int:
    """Return the schema version of a store.

    Raises:
        NewerSchemaError: A later build has written the store.
    """
    [[schema]] = database.execute("PRAGMA user_version").fetchall()
    if schema > SCHEMA_VERSION:
        raise NewerSchemaError(
            f"schema version {schema} is newer than the supported version {SCHEMA_VERSION}; the file is left unchanged"
        )
    return int(schema)


def read_summary(database: sqlite3.Connection) -> Summary:
    """Return the summary of a store.

    Raises:
        DamagedStoreError: The stored list version is invalid.
    """
    meta = dict(database.execute("SELECT key, value FROM meta"))
    version, _, checksum = meta.get("version", "").partition(" ")
    if not version.isdecimal() or checksum != _checksum("version", int(version)):
        raise DamagedStoreError("the stored list version is invalid or fails its checksum")
    return Summary(meta.get("name", ""), int(version), database.execute("SELECT count(*) FROM entries").fetchone()[0])


def store_faults(path: Path) -> Iterator[str]:
    """Yield every fault of a store file: in its structure, its version and its entries."""
    try:
        with open_to_read(path) as database:
            yield from _database_faults(database)
    except (sqlite3.Error, StoreError, ValueError, TypeError) as error:
        yield str(error)


def _database_faults(database: sqlite3.Connection) -> Iterator[str]:
    check_schema(database)
    for [found] in database.execute("PRAGMA integrity_check"):
        if found != "ok":
            yield f"database structure: {found}"
    try:
        version = read_summary(database).version
    except DamagedStoreError as error:
        yield str(error)
        version = MAX_VERSION
    content = 0
    for name, text, changed, checksum in database.execute("SELECT id, row, version, sum FROM entries ORDER BY id"):
        if checksum != _checksum(text, changed) or not 0 < changed <= version:
            yield f"entry {name!r} fails its checksum or has an invalid version"
        else:
            content = (content + int(checksum, 16)) % CONTENT_SUM_MODULUS
    seal = dict(database.execute("SELECT key, value FROM meta")).get("content")
    if check_schema(database) >= FIRST_SEALED_SCHEMA_VERSION and seal != _seal(content, version):
        yield "the content seal does not match: entries of different list versions are mixed"


def _checksum(text: str, version: int) -> str:
    return hashlib.sha256(f"{version} {text}".encode()).hexdigest()


def _require_intact(condition: bool, fault: str) -> None:
    if not condition:
        raise DamagedStoreError(fault)


def _seal(content: int, version: int) -> str:
    """Return the seal of all entries: the sum of their digests, with a checksum that includes the version."""
    return f"{content:064x} {_checksum(f'content {content:064x}', version)}"


def _unix_ms() -> int:
    return int(time.time() * 1000)


def _read_boot_id_or_unknown() -> str:
    """Return the id of the current boot of the machine, or "unknown" if it cannot be read."""
    try:
        return read_boot_id()
    except OSError:
        return "unknown"


def _lock(folder: Path) -> int:
    """Lock the folder of a store, and return the descriptor of the lock file.

    Raises:
        StoreError: The folder cannot be used, or another process has locked it.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        raise StoreError(f"{folder}: cannot create or open the folder and its lock file: {error.strerror}") from error
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        raise StoreError(f"{folder}: another process has locked the store") from error
    return lock


class Store:
    """A store in one folder, which is locked by one process.

    Attributes:
        name: The random name of the store, generated when it is created.
        version: The last list version that was written; 0 for none.
        rows: The entries at the time of opening, with the version of the last change and the lease duration in seconds.
        version_bound: The bound of served versions: none above it has been served.
        content_sum: The sum of the digests of all entries.
    """

    def __init__(
        self,
        folder: Path,
        now: Callable[[], int] = _unix_ms,
        restore: Path | None = None,
        boot: Callable[[], str] = _read_boot_id_or_unknown,
    ) -> None:
        """Open or create a store.

        Args:
            folder: The folder of the store.
            now: Returns the Unix time in milliseconds.
            restore: A backup that replaces the content of the store, at a version above all that were served.
            boot: Returns the id of the current boot of the machine.

        Raises:
            StoreError: The folder or the backup cannot be used, or another process has locked the folder.
        """
        self.folder = folder
        self.path = folder / "list.db"
        self.bound_path = folder / "bound"
        self.boot_id = boot()
        self.lock = _lock(folder)
        try:
            self._start(now, restore)
        except (sqlite3.Error, OSError) as error:
            self._unlock()
            raise StoreError(f"{folder}: cannot open or restore the store: {error}") from error
        except StoreError as error:
            self._unlock()
            if isinstance(error, NewerSchemaError):
                raise StoreError(f"{self.path}: {error}") from None
            raise

    # Opening

    def _start(self, now: Callable[[], int], restore: Path | None) -> None:
        self.version_bound, held_by = self._read_version_bound()
        # Guards against a disk that lost writes in a power failure: the stored content may be consistent but old, and
        # the versions that follow it may already have been served.
        lost_power = held_by not in ("", CLEAN_SHUTDOWN, self.boot_id)
        if restore is not None:
            self._restore_from(restore)
        try:
            self._open()
        except sqlite3.OperationalError:
            raise  # This is a fault of the disk, not of the stored data.
        except (sqlite3.DatabaseError, DamagedStoreError, KeyError, ValueError) as error:
            self._quarantine_damaged_store(error)
            self._open()
        self._write_version_bound(self.version_bound, self.boot_id)
        if not self.version or restore is not None or lost_power:
            # Guards against reusing versions that a lost, damaged or later store has served.
            self.write(max(now(), self.version_bound, self.version) + 1, ())
        if lost_power:
            log.warning(
                "%s: the machine restarted while the store was open; versions continue at %d, above all served before",
                self.folder,
                self.version,
            )

    def _open(self) -> None:
        self.base = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=BUSY_TIMEOUT_S)
        try:
            self.base.execute("PRAGMA journal_mode=WAL")
            self.base.execute("PRAGMA synchronous=FULL")
            schema = check_schema(self.base)
            [[found]] = self.base.execute("PRAGMA integrity_check(1)").fetchall()
            _require_intact(found == "ok", str(found))
            self.base.execute("CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value TEXT NOT NULL)")
            self.base.execute(
                "CREATE TABLE IF NOT EXISTS entries (id TEXT PRIMARY KEY, row TEXT NOT NULL, "
                "version INTEGER NOT NULL, sum TEXT NOT NULL)"
            )
            self._read_entries(schema)
            if schema < SCHEMA_VERSION:
                self._upgrade_schema()
        except BaseException:
            self.base.close()
            raise

    def _upgrade_schema(self) -> None:
        self.base.execute("BEGIN IMMEDIATE")
        if self.version:
            self._put_meta("content", _seal(self.content_sum, self.version))
        self.base.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
        self.base.execute("COMMIT")

    def _put_meta(self, key: str, value: str) -> None:
        self.base.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (key, value))

    def _read_entries(self, schema: int) -> None:
        meta = dict(self.base.execute("SELECT key, value FROM meta"))
        self.rows: list[tuple[EntryRecord, int, float]] = []
        self.name = meta.get("name") or uuid.uuid4().hex
        self.version = 0
        self.entry_digests: dict[str, int] = {}
        self.content_sum = 0
        if "version" not in meta:
            count = self.base.execute("SELECT count(*) FROM entries").fetchone()[0]
            _require_intact(not count, "the store has entries but no list version")
            self._put_meta("name", self.name)
            return
        version, _, checksum = meta["version"].partition(" ")
        _require_intact(checksum == _checksum("version", int(version)), "the stored list version fails its checksum")
        self.version = int(version)
        for name, text, changed, checksum in self.base.execute("SELECT id, row, version, sum FROM entries"):
            is_intact = checksum == _checksum(text, changed) and 0 < changed <= self.version
            _require_intact(is_intact, f"entry {name!r} fails its checksum or has an invalid version")
            stored = json.loads(text)
            self.rows.append((stored["row"], changed, stored["life"]))
            self.entry_digests[name] = int(checksum, 16)
        self.content_sum = sum(self.entry_digests.values()) % CONTENT_SUM_MODULUS
        is_sealed = schema < FIRST_SEALED_SCHEMA_VERSION or meta.get("content") == _seal(self.content_sum, self.version)
        _require_intact(is_sealed, "the content seal does not match: entries of different list versions are mixed")

    def _restore_from(self, backup: Path) -> None:
        """Replace the database with a backup, which is read and checked completely before anything is changed."""
        draft = self.folder / "restoring.db"
        path = self.path
        for ending in SQLITE_FILE_SUFFIXES:
            draft.with_name(draft.name + ending).unlink(missing_ok=True)
        shutil.copyfile(backup, draft)
        self.path = draft
        try:
            self._open()
            self.base.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            self.base.close()
        except (sqlite3.DatabaseError, DamagedStoreError, NewerSchemaError, KeyError, ValueError) as error:
            raise StoreError(f"{backup}: cannot restore the backup: {error}") from error
        finally:
            self.path = path
        if not self.version:
            raise StoreError(f"{backup}: the backup contains no endpoint list")
        self._rename_files("replaced")
        draft.rename(path)

    def _rename_files(self, reason: str) -> str:
        """Append `.REASON-TIME` to the names of the database files, and return the part after the dot."""
        suffix = f"{reason}-{time.time_ns()}"
        for ending in SQLITE_FILE_SUFFIXES:
            path = self.path.with_name(self.path.name + ending)
            if path.exists():
                path.rename(path.with_name(f"{path.name}.{suffix}"))
        return suffix

    def _quarantine_damaged_store(self, error: Exception) -> None:
        suffix = self._rename_files("damaged")
        log.error("the store is damaged (%s): moved to %s.%s; starting with an empty list", error, self.path, suffix)

    def _read_version_bound(self) -> tuple[int, str]:
        """Return the version bound, 0 for none, and its holder: a boot id, CLEAN_SHUTDOWN, or "" if unknown.

        A damaged bound is logged and quarantined; the versions in the store are then used without it.
        """
        try:
            text = self.bound_path.read_text(encoding="ascii")
        except FileNotFoundError:
            return 0, ""
        except ValueError:
            text = ""
        bound, checksum, held_by, *_ = [*text.split(" "), "", "", ""]
        if bound.isdecimal() and checksum in self._bound_checksums(int(bound), held_by):
            return int(bound), held_by
        quarantine_path = self.bound_path.with_name(f"bound.damaged-{time.time_ns()}")
        self.bound_path.rename(quarantine_path)
        log.error("the version bound is damaged: moved to %s", quarantine_path)
        return 0, ""

    @staticmethod
    def _bound_checksums(bound: int, held_by: str) -> tuple[str, ...]:
        """Return the checksums that are valid for a bound: early builds wrote no holder, and the first no checksum."""
        checksum = _checksum(f"bound {held_by}", bound)
        return (checksum,) if held_by else (checksum, _checksum("bound", bound), "")

    def _reserve_versions(self, version: int) -> None:
        """Write a higher bound to disk if a version is above the current one; it must be on disk before the version."""
        if version > self.version_bound:
            self._write_version_bound(version + RESERVED_VERSION_COUNT, self.boot_id)

    def _write_version_bound(self, bound: int, held_by: str) -> None:
        text = f"{bound} {_checksum(f'bound {held_by}', bound)} {held_by}"
        replace_file(self.bound_path, [text.encode("ascii")])
        self.version_bound = bound

    # Writing

    def write(self, version: int, rows: Iterable[tuple[EntryRecord, float]]) -> None:
        """Store entries with their lease durations in seconds; entries whose state is `gone` are removed.

        The change is on disk when this returns.

        Raises:
            sqlite3.Error: The database rejected the change; no entry is changed.
            OSError: The version bound cannot be written; no entry is changed.
        """
        self._reserve_versions(version)
        self.base.execute("BEGIN IMMEDIATE")
        try:
            digests = {entry["id"]: self._write_entry(version, entry, lease) for entry, lease in rows}
            change = sum(digest - self.entry_digests.get(name, 0) for name, digest in digests.items())
            content_sum = (self.content_sum + change) % CONTENT_SUM_MODULUS
            self._put_meta("content", _seal(content_sum, version))
            self._put_meta("version", f"{version} {_checksum('version', version)}")
            self.base.execute("COMMIT")
        except BaseException:
            if self.base.in_transaction:
                self.base.execute("ROLLBACK")
            raise
        self.version = version
        self.content_sum = content_sum
        for name, digest in digests.items():
            if digest:
                self.entry_digests[name] = digest
            else:
                self.entry_digests.pop(name, None)

    def _write_entry(self, version: int, entry: EntryRecord, lease: float) -> int:
        """Write or remove an entry, and return the digest of the stored text, or 0 if the entry is removed."""
        if entry["state"] == "gone":
            self.base.execute("DELETE FROM entries WHERE id = ?", (entry["id"],))
            return 0
        text = json.dumps({"row": entry, "life": lease}, sort_keys=True)
        checksum = _checksum(text, version)
        self.base.execute("INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?)", (entry["id"], text, version, checksum))
        return int(checksum, 16)

    def close(self) -> None:
        """Close the store and record an orderly shutdown: every served version is on disk."""
        self.base.close()
        with contextlib.suppress(
            OSError
        ):  # On an error, the next start assumes a power failure if the machine restarts.
            self._write_version_bound(self.version_bound, CLEAN_SHUTDOWN)
        os.close(self.lock)

    def _unlock(self) -> None:
        if hasattr(self, "base"):
            self.base.close()
        os.close(self.lock)
