"""The endpoint registry: versions, watches, writes, leases and the store."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sqlite3
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.discovery.client import read_endpoint_list
from ingress.endpoint_registry import catalog as catalog_module
from ingress.endpoint_registry import http_server as http_server_module
from ingress.endpoint_registry import list_api as list_api_module
from ingress.endpoint_registry.catalog import Catalog, EntryRecord
from ingress.endpoint_registry.http_server import Listener
from ingress.endpoint_registry.leases import MAX_CHECK_GAP_S, Leases
from ingress.endpoint_registry.list_api import NOTIFY_DELAY_S
from ingress.endpoint_registry.service import Service
from ingress.endpoint_registry.store import Store, StoreError
from tests.peers import STARTED_PROCESSES

ROOT = Path(__file__).resolve().parent.parent
TOKEN = "open sesame"
KEY = {"Authorization": f"Bearer {TOKEN}"}


def endpoint_row(name: str, state: str = "ready", port: int = 6379) -> dict[str, Any]:
    return {
        "id": name,
        "addr": f"127.0.0.1:{port}",
        "zone": "a",
        "kind": "m",
        "cell": 1,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def run_async(body: Any) -> None:
    asyncio.run(asyncio.wait_for(body, 60))


class Client:
    """An HTTP client of the registry."""

    def __init__(self, web: aiohttp.ClientSession, base: str) -> None:
        self.web, self.base = web, base

    async def get(self, path: str = "/api/targets") -> tuple[int, Any]:
        async with self.web.get(self.base + path) as answer:
            return answer.status, await answer.json()

    async def call(self, verb: str, path: str, body: Any = None, **headers: str) -> tuple[int, Any]:
        data = body if isinstance(body, str | bytes) or body is None else json.dumps(body)
        async with self.web.request(verb, self.base + path, data=data, headers=KEY | headers) as answer:
            return answer.status, await answer.json()

    async def put(self, name: str, **more: Any) -> int:
        status, body = await self.call("PUT", f"/api/targets/{name}", endpoint_row(name) | more)
        assert status == 200, body
        return int(body["version"])

    def watch(self, after: int, wait: int = 20_000) -> asyncio.Task[tuple[int, Any]]:
        return asyncio.create_task(self.get(f"/api/targets?after={after}&wait_ms={wait}"))


@asynccontextmanager
async def running_registry(folder: Path, **more: Any) -> AsyncIterator[tuple[Service, Client, tuple[str, int]]]:
    service = Service(Store(folder), TOKEN, **more)
    listener = Listener(service.app())
    address = await listener.open("127.0.0.1", 0)
    try:
        async with aiohttp.ClientSession() as web:
            yield service, Client(web, f"http://{address[0]}:{address[1]}"), address
    finally:
        await listener.close()
        await service.close()


# Reading and watching


def test_an_ingress_can_read_the_list_and_its_changes(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            first = service.catalog.version
            one = await client.put("one")
            two = await client.put("two", state="draining")
            status, whole = await client.get()
            listing = read_endpoint_list(whole)
            assert (status, listing.version, listing.is_complete) == (200, two, True) and first < one < two
            assert [b.id for b in listing.endpoints] == ["one", "two"]
            assert whole["servers"][0] == endpoint_row("one")
            _, part = await client.get(f"/api/targets?after={one}&wait_ms=0")
            assert (part["full"], [r["id"] for r in part["servers"]]) == (False, ["two"])
            _, none = await client.get(f"/api/targets?after={two}&wait_ms=50")
            assert none == {"version": two, "full": False, "servers": []}
            await client.call("DELETE", "/api/targets/one")
            _, gone = await client.get(f"/api/targets?after={two}")
            assert [(r["id"], r["state"]) for r in gone["servers"]] == [("one", "gone")]

    run_async(body())


def test_one_change_answers_all_watches_and_is_encoded_once(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            version, counts = await client.put("s0"), []
            for watchers in (10, 80):
                tasks = [client.watch(version) for _ in range(watchers)]
                while service.watchers < watchers:
                    await asyncio.sleep(0.005)
                before = service.catalog.encode_count
                version = await client.put(f"s{watchers}")
                answers = [body for _, body in await asyncio.gather(*tasks)]
                assert all(answer == answers[0] for answer in answers)
                assert [r["id"] for r in answers[0]["servers"]] == [f"s{watchers}"]
                counts.append(service.catalog.encode_count - before)
            assert counts == [1, 1]

    run_async(body())


def test_changes_within_the_notify_delay_make_one_response(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_api_module, "NOTIFY_DELAY_S", 2.0)

    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            task = client.watch(service.catalog.version)
            while not service.watchers:
                await asyncio.sleep(0.005)
            for n in range(5):
                await client.put(f"s{n}")
            _, answer = await task
            assert {r["id"] for r in answer["servers"]} == {f"s{n}" for n in range(5)}

    run_async(body())


def test_no_change_between_two_calls_is_missed(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            seen, version, done = dict[str, Any](), service.catalog.version, False

            async def write() -> None:
                nonlocal done
                for n in range(40):  # The writes are faster than the polls of the watcher.
                    await client.put(f"s{n % 7}", cell=n)
                done = True

            writing = asyncio.create_task(write())
            while not done or version < service.catalog.version:
                _, answer = await client.get(f"/api/targets?after={version}&wait_ms=200")
                assert answer["version"] >= version and not answer["full"]
                version = answer["version"]
                seen |= {r["id"]: r for r in answer["servers"]}
            await writing
            assert seen == {r["id"]: r for r in service.catalog.entries()}

    run_async(body())


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("after=x", 400),
        ("after=-1", 400),
        ("after=1e3", 400),
        ("wait_ms=-5", 400),
        ("wait_ms=soon", 400),
        ("after=" + "9" * 18, 200),
        ("after=" + "9" * 30, 400),
        ("after=0", 200),
        ("wait_ms=999999", 200),
        ("after=", 400),
    ],
)
def test_query_values_are_validated(query: str, status: int, tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (_, client, _):
            await client.put("one")
            found, answer = await client.get(f"/api/targets?{query}")
            assert found == status
            if status == 200:
                assert answer["full"] and [r["id"] for r in answer["servers"]] == ["one"]
            else:
                assert query.partition("=")[0] in answer["errors"][0]

    run_async(body())


def test_a_wait_above_the_limit_is_capped(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_api_module, "MAX_WAIT_MS", 50)

    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            version = service.catalog.version
            _, none = await client.watch(version, 10**9)
            assert none == {"version": version, "full": False, "servers": []}

    run_async(body())


def test_excess_watchers_are_rejected_with_random_retry_after_values(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(list_api_module, "MAX_WATCHERS", 3)

    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            tasks = [client.watch(service.catalog.version) for _ in range(3)]
            while service.watchers < 3:
                await asyncio.sleep(0.005)
            waits = set()
            path = f"{client.base}/api/targets?after={service.catalog.version}&wait_ms=9"
            for _ in range(40):
                async with client.web.get(path) as no:
                    assert no.status == 503
                    waits.add(int(no.headers["Retry-After"]))
            assert len(waits) > 2 and waits <= {1, 2, 3, 4, 5}
            assert (await client.get())[0] == 200  # Plain reads still work.
            await client.put("one")
            assert [status for status, _ in await asyncio.gather(*tasks)] == [200] * 3

    run_async(body())


def test_excess_connections_are_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server_module, "MAX_CONNECTIONS", 2)

    async def body() -> None:
        async with running_registry(tmp_path) as (_, _, address):
            open_connections = [await asyncio.open_connection(*address) for _ in range(2)]
            reader, writer = await asyncio.open_connection(*address)
            assert (await reader.read()).startswith(b"HTTP/1.1 503") and len(open_connections) == 2
            for _, other in [*open_connections, (reader, writer)]:
                other.close()

    run_async(body())


def test_changes_reach_back_as_far_as_the_tombstones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(catalog_module, "MAX_TOMBSTONES", 3)
    catalog = Catalog(10)
    for n in range(6):
        catalog.apply(11 + 2 * n, [endpoint_row(f"s{n}")])
        catalog.apply(12 + 2 * n, [endpoint_row(f"s{n}", "gone")])
    assert len(catalog.last_changes) == 3 and catalog.changes_since(11) == (True, [])
    assert catalog.changes_since(catalog.oldest_known_version) == (
        False,
        [endpoint_row(f"s{n}", "gone") for n in (3, 4, 5)],
    )
    with pytest.raises(ValueError, match="version"):
        catalog.apply(catalog.version, [endpoint_row("s9")])


# Writing


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (endpoint_row("s") | {"addr": "nowhere"}, "addr"),
        (endpoint_row("s") | {"addr": "127.0.0.1:0"}, "addr"),
        (endpoint_row("s") | {"state": "gone"}, "state"),
        (endpoint_row("s") | {"weight": -1}, "weight"),
        (endpoint_row("s") | {"weight": float("nan")}, "weight"),
        (endpoint_row("s") | {"cell": 1.5}, "cell"),
        (endpoint_row("s") | {"started_ms": "now"}, "started_ms"),
        (endpoint_row("s") | {"colour": "red"}, "colour"),
        (endpoint_row("s") | {"ttl_s": 0}, "ttl_s"),
        (endpoint_row("other"), "id"),
        ({"zone": "a"}, "addr"),
        ("{", "body"),
        ("[]", "body"),
        ('{"addr": "127.0.0.1:1", "addr": "127.0.0.1:2"}', "addr"),
    ],
)
def test_an_invalid_entry_gets_400_with_the_field_and_stores_nothing(body: Any, field: str, tmp_path: Path) -> None:
    async def script() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            before = service.catalog.version
            status, answer = await client.call("PUT", "/api/targets/s", body)
            assert status == 400 and any(field in fault for fault in answer["errors"]), answer
            assert service.catalog.version == before and not service.catalog.entries()

    run_async(script())


def test_several_entries_are_stored_in_one_version_or_not_at_all(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            before = service.catalog.version
            twice = {"servers": [endpoint_row("a"), endpoint_row("b"), endpoint_row("a")]}
            status, answer = await client.call("POST", "/api/targets", twice)
            assert status == 400 and "servers[2].id" in answer["errors"][0]
            assert service.catalog.version == before
            status, answer = await client.call(
                "POST", "/api/targets", {"servers": [endpoint_row("a"), endpoint_row("b")]}
            )
            assert (status, answer["version"]) == (200, before + 1) and len(service.catalog.entries()) == 2

    run_async(body())


def test_drain_remove_and_if_match(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            for verb, path in (
                ("DELETE", "/api/targets/x"),
                ("POST", "/api/targets/x/drain"),
                ("POST", "/api/targets/x/renew"),
            ):
                assert (await client.call(verb, path))[0] == 404
            version = await client.put("x")
            stale = {"If-Match": f'"{version - 1}"'}
            for verb, path, data in (
                ("DELETE", "/api/targets/x", None),
                ("PUT", "/api/targets/x", endpoint_row("x")),
                ("POST", "/api/targets/x/drain", None),
                ("PUT", "/api/targets/y", endpoint_row("y")),
            ):
                assert (await client.call(verb, path, data, **stale))[0] == 412
            assert service.catalog.version == version
            now = {"If-Match": f'"{version}"'}
            status, answer = await client.call("POST", "/api/targets/x/drain", **now)
            assert status == 200 and service.catalog.entries()[0]["state"] == "draining"
            now = {"If-Match": str(answer["version"])}
            assert (await client.call("DELETE", "/api/targets/x", **now))[0] == 200
            assert not service.catalog.entries()

    run_async(body())


def test_writes_need_the_token_and_reads_do_not(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            for given in ("", "Bearer", "Bearer wrong", "Bearer é"):
                status, _ = await client.call("PUT", "/api/targets/s", endpoint_row("s"), Authorization=given)
                assert status == 401
            assert not service.catalog.entries() and (await client.get())[0] == 200
            service.token = ""
            assert (await client.call("PUT", "/api/targets/s", endpoint_row("s"), Authorization="Bearer "))[0] == 401

    run_async(body())


def test_a_full_disk_rejects_the_write_and_the_service_continues(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, _):
            version = await client.put("one")
            pages = service.store.base.execute("PRAGMA page_count").fetchone()[0]
            service.store.base.execute(f"PRAGMA max_page_count = {pages}")
            status, answer = await client.call(
                "POST", "/api/targets", {"servers": [endpoint_row(f"s{n}") | {"kind": "k" * 500} for n in range(200)]}
            )
            assert status == 507 and "full" in answer["errors"][0]
            assert (await client.get())[1]["version"] == version
            service.store.base.execute("PRAGMA max_page_count = 100000")
            assert await client.put("two") == version + 1

    run_async(body())


# Misbehaving clients


@pytest.mark.parametrize("start", [b"GET /api/tar", b"GET / HTTP/1.1\r\nX: ", b""])
def test_an_incomplete_head_times_out_without_affecting_other_clients(
    start: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_server_module, "REQUEST_HEAD_TIMEOUT_S", 0.2)
    monkeypatch.setattr(http_server_module, "SWEEP_PERIOD_S", 0.05)

    async def body() -> None:
        async with running_registry(tmp_path) as (_, client, address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(start)
            answer = asyncio.create_task(reader.read())
            assert (await client.get())[0] == 200
            if start:
                assert (await answer).startswith(b"HTTP/1.1 408")
            else:
                answer.cancel()  # An idle connection is not closed early.
            writer.close()

    run_async(body())


def test_oversized_heads_and_bodies_are_rejected(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000)
            assert b" 400 " in (await reader.read())[:20]
            writer.close()
            status = 0
            path = f"{client.base}/api/targets/s"
            async with client.web.put(path, data=b"x" * (2 << 20), headers=KEY) as answer:
                status = answer.status
            assert status == 413 and not service.catalog.entries()

    run_async(body())


def test_a_client_that_reads_nothing_is_disconnected_and_delays_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_server_module, "RESPONSE_READ_TIMEOUT_S", 0.3)
    monkeypatch.setattr(http_server_module, "SWEEP_PERIOD_S", 0.05)

    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, address):
            rows = [endpoint_row(f"s{n}") | {"kind": "k" * 400} for n in range(1000)]
            assert (await client.call("POST", "/api/targets", {"servers": rows}))[0] == 200
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(address)
            sock.sendall(b"GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n" * 40)
            before = service.catalog.encode_count
            assert (await client.get())[0] == 200
            await asyncio.to_thread(wait_until_closed, sock)
            assert service.catalog.encode_count <= before + 1

    run_async(body())


def wait_until_closed(sock: socket.socket) -> None:
    """Wait, without reading, until the other side has closed the connection."""
    sock.settimeout(20)
    while True:
        try:
            sock.send(b"x")
        except OSError:
            return
        signal.sigtimedwait([], 0.02)


# Leases


def test_a_lease_expires_unless_it_is_renewed() -> None:
    leases = Leases(0.0)
    for n in range(10):
        leases.grant(f"s{n}", 5.0, 0.0)
    now = 0.0
    while now < 4.5:
        now += 0.25
        assert leases.expire(now) == []
    for n in range(1, 10):
        assert leases.renew(f"s{n}", now)
    assert leases.expire(now + 0.5) == ["s0"]
    leases.remove("s0")
    assert not leases.renew("s0", now) and not leases.renew("never", now)


def test_leases_restart_after_the_service_has_stalled() -> None:
    leases = Leases(0.0)
    leases.grant("a", 5.0, 0.0)
    assert leases.expire(0.5) == [] and leases.expire(100.0) == []  # The gap is longer than a lease.
    assert leases.expire(100.0 + MAX_CHECK_GAP_S) == [] and leases.expires_at["a"] == 105.0
    assert Leases(50.0, [("a", 5.0)]).expires_at["a"] == 55.0  # A starting service does the same.


def test_too_many_expiring_entries_are_suspended_until_renewed_or_released() -> None:
    leases = Leases(0.0)
    for n in range(10):
        leases.grant(f"s{n}", 5.0, 0.0)
    now = 0.0
    while now < 6.0:
        now += 0.5
        assert leases.expire(now) == []
    assert set(leases.suspended) == {f"s{n}" for n in range(10)}
    assert leases.renew("s3", now) and "s3" not in leases.suspended
    assert leases.suspended_oldest_first() == [f"s{n}" for n in range(10) if n != 3]


def test_suspended_entries_are_reported_and_released_by_an_operator(tmp_path: Path) -> None:
    clock = [0.0]

    async def body() -> None:
        async with running_registry(tmp_path, clock=lambda: clock[0]) as (service, client, _):
            for n in range(4):
                await client.put(f"s{n}", ttl_s=1.0)
            await client.put("kept")
            while not service.leases.suspended:
                clock[0] += 0.1
                await asyncio.sleep(0.05)
            assert len((await client.get("/status"))[1]["held"]) == 4
            assert len(service.catalog.entries()) == 5
            assert (await client.call("POST", "/api/release?most=3"))[0] == 200
            assert len(service.catalog.entries()) == 2
            assert (await client.call("POST", "/api/release"))[0] == 200
            assert [r["id"] for r in service.catalog.entries()] == ["kept"]

    run_async(body())


# The store


def test_written_entries_are_read_again_with_their_versions(tmp_path: Path) -> None:
    store = Store(tmp_path)
    version = store.version
    store.write(version + 1, [(endpoint_row("a"), 5.0), (endpoint_row("b"), 0.0)])
    store.write(version + 2, [(endpoint_row("a", "gone"), 0.0)])
    store.close()
    again = Store(tmp_path)
    assert again.version == version + 2 and again.rows == [(endpoint_row("b"), version + 1, 0.0)]
    assert again.name == store.name
    again.close()


def test_only_one_store_can_lock_a_folder(tmp_path: Path) -> None:
    store = Store(tmp_path)
    with pytest.raises(StoreError, match="another process has locked the store"):
        Store(tmp_path)
    store.close()
    Store(tmp_path).close()


def test_versions_increase_after_a_lost_folder_and_after_damage_with_the_clock_set_back(tmp_path: Path) -> None:
    store = Store(tmp_path / "one", now=lambda: 1_000_000)
    for n in range(50):
        store.write(store.version + 1, [(endpoint_row(f"s{n}"), 0.0)])
    given = store.version
    store.close()
    assert (
        Store(tmp_path / "two", now=lambda: 1_000_000 + 1_000).version > given
    )  # The new store is opened one second later.
    (tmp_path / "one" / "list.db").write_bytes(b"not a store at all" * 100)
    for ending in ("-wal", "-shm"):
        (tmp_path / "one" / f"list.db{ending}").unlink(missing_ok=True)
    again = Store(tmp_path / "one", now=lambda: 0)
    assert again.version > given and again.rows == []
    again.close()


@pytest.mark.parametrize("damage", ["short", "flipped", "version", "empty"])
def test_a_damaged_store_is_quarantined_and_never_served(
    damage: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    store = Store(tmp_path)
    store.write(store.version + 1, [(endpoint_row(f"s{n}"), 0.0) for n in range(200)])
    given = store.version
    store.close()
    path = tmp_path / "list.db"
    data = bytearray(path.read_bytes())
    if damage == "short":
        path.write_bytes(data[: len(data) // 2])
    elif damage == "empty":
        base = sqlite3.connect(path)
        base.execute("DELETE FROM meta WHERE key = 'version'")
        base.commit()
        base.close()
    else:
        mark = b'"id": "s7"' if damage == "flipped" else f"{given} ".encode()
        at = data.index(mark) + len(mark) - 2
        data[at] ^= 1
        path.write_bytes(data)
    again = Store(tmp_path)
    assert again.rows == [] and again.version > given
    assert any("damaged" in record.message for record in caplog.records)
    assert len([p for p in tmp_path.iterdir() if p.name.startswith("list.db.damaged-")]) == 1
    again.close()


def test_a_backup_is_restored_above_all_served_versions_and_a_damaged_one_changes_nothing(tmp_path: Path) -> None:
    folder, backup_path = tmp_path / "list", tmp_path / "copy.db"
    store = Store(folder)
    store.write(store.version + 1, [(endpoint_row("a"), 0.0), (endpoint_row("b"), 7.0)])
    backup_database = sqlite3.connect(backup_path)
    store.base.backup(backup_database)
    backup_database.close()
    store.write(store.version + 1, [(endpoint_row("a", "gone"), 0.0), (endpoint_row("c"), 0.0)])
    served_version = store.version
    store.close()
    again = Store(folder, restore=backup_path, now=lambda: 0)
    assert again.version > served_version
    assert sorted((found["id"], lease) for found, _, lease in again.rows) == [("a", 0.0), ("b", 7.0)]
    again.close()
    damaged = tmp_path / "bad.db"
    damaged.write_bytes(backup_path.read_bytes()[:5000])
    for unusable in (damaged, tmp_path / "none"):
        with pytest.raises(StoreError):
            Store(folder, restore=unusable)
    kept = Store(folder)
    assert [found["id"] for found, _, _ in kept.rows] == [found["id"] for found, _, _ in again.rows]
    kept.close()


def test_a_folder_that_cannot_be_written_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x", encoding="utf-8")
    with pytest.raises(StoreError):
        Store(tmp_path / "file")
    words = ["--listen", "127.0.0.1:0", "--data", str(tmp_path / "file")]
    done = subprocess.run(
        [sys.executable, "-m", "ingress.endpoint_registry", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1


WRITER = """
import sys
from pathlib import Path
from ingress.endpoint_registry.store import Store
store = Store(Path(sys.argv[1]))
print("open", store.version, flush=True)
number = 0
while True:
    number += 1
    version = store.version + 1
    name = f"s{version % 7}"
    state = "gone" if version % 5 == 0 else "ready"
    row = {"id": name, "addr": "127.0.0.1:1", "state": state, "cell": version}
    store.write(version, [(row, 0.0)])
    print(version, flush=True)
"""


def test_200_sigkills_during_writes_lose_no_confirmed_write_and_repeat_no_version(tmp_path: Path) -> None:
    rng, confirmed, rows, first_opened_version = random.Random(5), 0, dict[str, int](), 0
    seen_versions = set[int]()
    for _ in range(200):
        child = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        assert child.stdout is not None
        opened = int(child.stdout.readline().split()[1])
        first_opened_version = first_opened_version or opened
        assert opened >= confirmed  # Every confirmed write is in the store.
        for _ in range(rng.randrange(12)):
            child.stdout.readline()
        os.kill(child.pid, signal.SIGKILL)
        printed_versions = [int(line) for line in child.stdout.read().splitlines() if line.strip().isdigit()]
        child.wait()
        confirmed = max([confirmed, opened, *printed_versions])
        assert not seen_versions & set(printed_versions)
        seen_versions |= set(printed_versions)
    store = Store(tmp_path)
    assert store.version >= confirmed
    for found, version, _ in store.rows:
        rows[found["id"]] = found["cell"]
        assert found["cell"] == version and found["state"] == "ready"
    last_versions = {f"s{v % 7}": v for v in range(store.version - 6, store.version + 1)}
    for name, last in last_versions.items():  # The last write of each name is one of the last seven versions.
        if last > first_opened_version:
            assert rows.get(name) == (None if last % 5 == 0 else last)
    store.close()


async def start_service(folder: Path) -> tuple[asyncio.subprocess.Process, str]:
    """Start the service with the store and token of a folder, and return the process and its base URL."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ingress.endpoint_registry",
        "--listen",
        "127.0.0.1:0",
        "--data",
        str(folder / "data"),
        "--token-file",
        str(folder / "token"),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    STARTED_PROCESSES.append(child)
    assert child.stderr is not None
    while b" on " not in (line := await child.stderr.readline()):
        assert line, "the service has ended"
    return child, "http://" + line.decode().rsplit(" ", 1)[1].strip()


def test_the_program_serves_stops_and_serves_again_after_sigkill(tmp_path: Path) -> None:
    (tmp_path / "token").write_text(TOKEN, encoding="utf-8")

    async def body() -> None:
        version = 0
        async with aiohttp.ClientSession() as web:
            for turn in range(4):
                child, base = await start_service(tmp_path)
                client = Client(web, base)
                _, answer = await client.get()
                assert answer["version"] >= version and len(answer["servers"]) == turn
                version = await client.put(f"s{turn}")
                child.send_signal(signal.SIGKILL if turn % 2 else signal.SIGTERM)
                assert await child.wait() == (-signal.SIGKILL if turn % 2 else 0)

    run_async(body())


def test_a_service_paused_for_longer_than_a_lease_expires_none(tmp_path: Path) -> None:
    (tmp_path / "token").write_text(TOKEN, encoding="utf-8")

    async def body() -> None:
        child, base = await start_service(tmp_path)
        async with aiohttp.ClientSession() as web:
            client = Client(web, base)
            await client.put("alone", ttl_s=2.0)
            child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(3.0)
            child.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
            assert [r["id"] for r in (await client.get())[1]["servers"]] == ["alone"]
            while (await client.get())[1]["servers"]:  # The lease expires later like any other.
                await asyncio.sleep(0.1)
        child.terminate()
        assert await child.wait() == 0

    run_async(body())


# A model of the service

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.integers(0, 5)),
        st.tuples(st.just("lease"), st.integers(0, 5)),
        st.tuples(st.just("renew"), st.integers(0, 5)),
        st.tuples(st.just("gone"), st.integers(0, 5)),
        st.tuples(st.just("wait"), st.integers(1, 12)),
        st.tuples(st.just("read"), st.integers(0, 2)),
        st.tuples(st.just("restart"), st.just(0)),
    ),
    max_size=80,
)


class Model:
    """The service without sockets: store, catalog and leases, with the list at each version."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.now, self.past = folder, 0.0, dict[int, dict[str, EntryRecord]]()
        self.open()

    def open(self) -> None:
        self.store = Store(self.folder)
        self.catalog = Catalog(self.store.version, ((found, changed) for found, changed, _ in self.store.rows))
        self.leases = Leases(self.now, ((found["id"], life) for found, _, life in self.store.rows if life))
        self.past.setdefault(self.catalog.version, self.list())

    def list(self) -> dict[str, EntryRecord]:
        return {found["id"]: found for found in self.catalog.entries()}

    def write(self, name: str, state: str, life: float = 0.0) -> None:
        made = endpoint_row(name, state, port=1 + self.catalog.version % 60_000)
        self.store.write(self.catalog.version + 1, [(made, life)])
        self.catalog.apply(self.catalog.version + 1, [made])
        if life:
            self.leases.grant(name, life, self.now)
        else:
            self.leases.remove(name)
        self.past[self.catalog.version] = self.list()

    def wait(self, steps: int) -> None:
        for _ in range(steps):
            self.now += 0.5
            due = {n for n, end in self.leases.expires_at.items() if end <= self.now}
            out = self.leases.expire(self.now)
            assert set(out) <= due  # No entry expires early.
            for name in out:
                self.write(name, "gone")

    def restart(self) -> None:
        self.store.close()
        before = self.list(), self.catalog.version, dict(self.leases.durations)
        self.open()
        assert (self.list(), self.catalog.version, dict(self.leases.durations)) == before
        assert all(
            end >= self.now + life
            for (_, end), life in zip(
                sorted(self.leases.expires_at.items()), (life for _, life in sorted(before[2].items())), strict=True
            )
        )


@settings(max_examples=80, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_each_watcher_has_the_services_list_at_its_version_whatever_happened(
    steps: list[tuple[str, int]], tmp_path_factory: pytest.TempPathFactory
) -> None:
    model = Model(tmp_path_factory.mktemp("store"))
    held: list[tuple[int | None, dict[str, EntryRecord]]] = [(None, {}) for _ in range(3)]
    for step, number in steps:
        name = f"s{number}"
        match step:
            case "put" | "lease":
                model.write(name, "ready", 2.0 + number if step == "lease" else 0.0)
            case "gone" if model.catalog.entry(name):
                model.write(name, "gone")
            case "renew":
                model.leases.renew(name, model.now)
            case "wait":
                model.wait(number)
            case "restart":
                model.restart()
            case "read":
                after, mine = held[number]
                answer = json.loads(model.catalog.response(after))
                mine = {} if answer["full"] else dict(mine)
                for found in answer["servers"]:
                    mine[found["id"]] = found
                    if found["state"] == "gone":
                        del mine[found["id"]]
                held[number] = answer["version"], mine
                assert after is None or answer["version"] >= after
                assert mine == model.past[answer["version"]] == model.list()
    model.store.close()


def test_the_ingress_does_not_import_the_registry() -> None:
    code = "import sys, ingress.__main__; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
    assert not {"ingress.endpoint_registry", "aiohttp", "sqlite3"} & set(done.stdout.split())
    assert NOTIFY_DELAY_S < 0.2
