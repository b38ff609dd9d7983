"""Golden files of the endpoint registry: its store, a backup, and its answers."""

from __future__ import annotations

import json
import shutil
import sqlite3
import tempfile
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from ingress.endpoint_registry.backups import choose, take_backup, verify
from ingress.endpoint_registry.catalog import Catalog
from ingress.endpoint_registry.store import Store
from tests.golden_files import GOLDEN, as_json, golden
from tests.test_registry import TOKEN, endpoint_row, run_async, running_registry

STORE = "registry"
BACKUPS = "registry-copies"
NAME = "0123456789abcdef0123456789abcdef"


def written_store(folder: Path) -> Store:
    """Write a store with three entries, one of which has a lease, and with a fourth that was removed."""
    with patch("uuid.uuid4", lambda: SimpleNamespace(hex=NAME)):
        store = Store(folder, now=lambda: 1_700_000_000_000, boot=lambda: "boot-1")
    store.write(
        store.version + 1,
        [(endpoint_row("s1"), 0.0), (endpoint_row("s2", "draining", 6380), 600.5), (endpoint_row("gone"), 0.0)],
    )
    store.write(store.version + 1, [(endpoint_row("gone", "gone"), 0.0), (endpoint_row("Zoë"), 0.0)])
    return store


def tables(path: Path) -> bytes:
    """Return the contents of a store as JSON: the numbers in its file header, its schema and its rows."""
    queries = {
        "user_version": "PRAGMA user_version",
        "application_id": "PRAGMA application_id",
        "schema": "SELECT type, name, tbl_name, sql FROM sqlite_master ORDER BY name",
        "meta": "SELECT key, value FROM meta ORDER BY key",
        "entries": "SELECT id, row, version, sum FROM entries ORDER BY id",
    }
    with closing(sqlite3.connect(path)) as connection:
        return as_json({name: connection.execute(query).fetchall() for name, query in queries.items()})


def store_files() -> Iterator[tuple[str, bytes]]:
    """Yield the tables, and the file with the version bound while the store is open and after it was closed."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        store = written_store(folder)
        yield "registry-bound-held", (folder / "bound").read_bytes()
        store.close()
        yield "registry-tables.json", tables(folder / "list.db")
        yield f"{STORE}/bound", (folder / "bound").read_bytes()


def recorded_store() -> Iterator[tuple[str, bytes]]:
    """Yield the SQLite file and a backup, which no test compares by bytes: they contain the version of SQLite."""
    with tempfile.TemporaryDirectory() as name, patch("time.time", lambda: 1_700_000_100.5):
        folder = Path(name)
        written_store(folder / "list").close()
        yield f"{STORE}/list.db", (folder / "list" / "list.db").read_bytes()
        take_backup(folder / "list", folder / "copies")
        for path in sorted((folder / "copies").iterdir()):
            yield f"{BACKUPS}/{path.name}", path.read_bytes()


def test_a_store_is_written() -> None:
    for name, data in store_files():
        assert data == golden(name), name


def test_a_store_is_read_and_continues(tmp_path: Path) -> None:
    shutil.copytree(GOLDEN / STORE, tmp_path / "list")
    store = Store(tmp_path / "list", now=lambda: 1_800_000_000_000, boot=lambda: "boot-2")
    version = 1_700_000_000_003
    entries = {entry["id"]: (entry, changed, lease) for entry, changed, lease in store.rows}
    assert (store.name, store.version) == (NAME, version)
    assert entries == {
        "s1": (endpoint_row("s1"), version - 1, 0.0),
        "s2": (endpoint_row("s2", "draining", 6380), version - 1, 600.5),
        "Zoë": (endpoint_row("Zoë"), version, 0.0),
    }
    store.close()
    assert tables(tmp_path / "list" / "list.db") == golden("registry-tables.json")
    assert not list((tmp_path / "list").glob("*damaged*"))


def test_a_backup_is_verified_restored_and_taken_again(tmp_path: Path) -> None:
    shutil.copytree(GOLDEN / BACKUPS, tmp_path / "old")
    backup = choose(tmp_path / "old")
    assert not list(verify(backup)) and tables(backup) == golden("registry-tables.json")
    store = Store(tmp_path / "restored", now=lambda: 1_800_000_000_000, restore=backup, boot=lambda: "boot-2")
    assert store.name == NAME and len(store.rows) == 3 and store.version > 1_700_000_000_003
    store.close()
    written_store(tmp_path / "list").close()
    with patch("time.time", lambda: 1_700_000_100.5):
        take_backup(tmp_path / "list", tmp_path / "new")
    new_backup = choose(tmp_path / "new")
    assert new_backup.name == backup.name and tables(new_backup) == tables(backup)
    old, new = (json.loads(path.with_suffix(".json").read_text(encoding="utf-8")) for path in (backup, new_backup))
    varying = dict.fromkeys(("size", "sha256"))  # they depend on the version of SQLite
    assert json.dumps(new | varying) == json.dumps(old | varying)


# In this order. The last field states whether the token is sent; the request without it must be rejected.
CALLS = (
    ("GET", "/api/targets", None, True),
    ("GET", "/api/targets?after=1700000000003", None, True),
    ("GET", "/api/targets?after=x", None, True),
    ("GET", "/status", None, True),
    ("PUT", "/api/targets/s4", json.dumps({"addr": "10.0.0.4:6379", "ttl_s": 60}), True),
    ("GET", "/api/targets?after=1700000000003", None, True),
    ("POST", "/api/targets/s4/renew", None, True),
    ("POST", "/api/targets/s1/drain", None, True),
    ("DELETE", "/api/targets/s2", None, True),
    ("GET", "/api/targets", None, True),
    ("POST", "/api/targets", json.dumps({"servers": [endpoint_row("s5")]}), True),
    ("POST", "/api/targets", json.dumps({"servers": [{"id": "s6", "colour": 1}]}), True),
    ("POST", "/api/release", None, True),
    ("DELETE", "/api/targets/none", None, True),
    ("PUT", "/api/targets/s1", "{}", False),
)


def answers() -> bytes:
    """Return one line for each request and one for its answer: status, headers and body."""
    lines = []

    async def body(folder: Path) -> None:
        async with running_registry(folder) as (_, client, _):
            for method, path, data, is_authorized in CALLS:
                headers = {"Authorization": f"Bearer {TOKEN}"} if is_authorized else {}
                async with client.web.request(method, client.base + path, data=data, headers=headers) as answer:
                    answer_headers = [answer.headers.get(name, "") for name in ("Content-Type", "ETag", "X-Store")]
                    lines.append(f"> {method} {path} {data or ''}\n")
                    lines.append(f"{answer.status} {answer_headers} {await answer.text()}\n")

    with tempfile.TemporaryDirectory() as name:
        shutil.copytree(GOLDEN / STORE, Path(name) / "list")
        run_async(body(Path(name) / "list"))
    return "".join(lines).encode()


def test_the_answers_of_the_registry() -> None:
    assert answers() == golden("registry-answers.txt")


def tombstone() -> bytes:
    """Return the answer to a watch after an entry was removed."""
    catalog = Catalog(1, [(endpoint_row("s1"), 1), (endpoint_row("s2"), 1)])
    catalog.apply(2, [endpoint_row("s2", "gone")])
    return catalog.response(1)


def test_a_watch_reports_a_removed_entry() -> None:
    assert tombstone() == golden("registry-tombstone.json")


def record_store() -> Iterator[tuple[str, bytes]]:
    yield from store_files()
    yield from recorded_store()
    yield "registry-answers.txt", answers()
    yield "registry-tombstone.json", tombstone()
