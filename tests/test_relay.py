"""The relay, and an ingress behind the real registry and relay."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from ingress.endpoint_registry import relay as relay_module
from ingress.endpoint_registry.http_server import Listener
from ingress.endpoint_registry.relay import Relay, RelayCache
from tests.peers import (
    STARTED_PROCESSES,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config,
    endpoint_answer,
    free_port,
    read_command,
)
from tests.test_net_control import ADMIN_LISTEN
from tests.test_net_ingress import running_ingress as ingress
from tests.test_net_metrics import read_metrics
from tests.test_registry import ROOT, TOKEN, Client, endpoint_row, run_async, running_registry


@asynccontextmanager
async def relaying(*upstream: tuple[str, int], folder: Path | None = None) -> AsyncIterator[tuple[Relay, Client]]:
    relay = Relay(upstream, RelayCache(folder))
    listener = Listener(relay.app())
    host, port = await listener.open("127.0.0.1", 0)
    try:
        async with aiohttp.ClientSession() as web_client:
            yield relay, Client(web_client, f"http://{host}:{port}")
    finally:
        await listener.close()
        await relay.close()


@asynccontextmanager
async def upstream(answer: Any) -> AsyncIterator[tuple[str, int]]:
    """Run a fake upstream that responds to each call with the store name and body that `answer` returns."""

    async def call(request: web.Request) -> web.StreamResponse:
        store, body = answer()
        if request.query.get("wait_ms"):
            await asyncio.sleep(0.05)
        return web.Response(
            body=body if isinstance(body, bytes) else json.dumps(body).encode(), headers={"X-Store": store}
        )

    app = web.Application()
    app.add_routes([web.get("/api/targets", call)])
    listener = Listener(app)
    try:
        yield await listener.open("127.0.0.1", 0)
    finally:
        await listener.close()


async def until(true: Any) -> None:
    while not true():
        await asyncio.sleep(0.01)


def listing(version: int, *names: str) -> dict[str, Any]:
    return {"version": version, "full": True, "servers": [endpoint_row(name) for name in names]}


def names(relay: Relay) -> list[str]:
    return sorted(r["id"] for r in relay.catalog.entries())


def test_many_readers_get_changes_through_one_upstream_watch(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_registry(tmp_path) as (service, client, address), relaying(address) as (relay, near):
            await client.put("one")
            await until(lambda: names(relay) == ["one"])
            tasks = [near.watch(relay.catalog.version) for _ in range(30)]
            await until(lambda: relay.watchers == 30 and service.watchers == 1)
            began = time.monotonic()
            await client.call("POST", "/api/targets/one/drain")
            for _, answer in await asyncio.gather(*tasks):
                assert [(r["id"], r["state"]) for r in answer["servers"]] == [("one", "draining")]
            assert time.monotonic() - began < 2.0
            version = relay.catalog.version
            await client.call("DELETE", "/api/targets/one")
            _, answer = await near.watch(version)
            assert [r["state"] for r in answer["servers"]] == ["gone"] and answer["version"] > version

    run_async(body())


def test_the_relay_serves_its_list_through_an_outage_and_recovers(tmp_path: Path) -> None:
    async def body() -> None:
        spare = free_port()
        async with (
            running_registry(tmp_path) as (_, client, address),
            relaying(("127.0.0.1", spare), address) as (relay, near),
        ):
            await client.put("one")
            await until(lambda: names(relay) == ["one"])  # The first address is unreachable: the second is polled.
            assert (await near.get("/status"))[1]["connected"]
        folder = tmp_path / "relay"
        async with running_registry(tmp_path) as (_, client, address):
            async with relaying(address, folder=folder) as (relay, near):
                await until(lambda: names(relay) == ["one"])
                version = relay.catalog.version
            async with relaying(("127.0.0.1", spare), folder=folder) as (relay, near):
                _, answer = await near.get()
                assert (answer["version"], [r["id"] for r in answer["servers"]]) == (version, ["one"])
                _, status = await near.get("/status")
                assert status["age_s"] is None and not status["connected"]
                relay.addresses = [address]
                await client.put("two")
                await until(lambda: names(relay) == ["one", "two"])
                assert relay.catalog.version > version

    run_async(body())


def test_a_relay_without_a_list_responds_503_with_retry_after() -> None:
    async def body() -> None:
        async with (
            relaying(("127.0.0.1", free_port())) as (_, near),
            near.web.get(f"{near.base}/api/targets") as answer,
        ):
            assert answer.status == 503 and int(answer.headers["Retry-After"]) >= 1

    run_async(body())


def test_stale_and_invalid_responses_change_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    response: list[Any] = ["A", listing(50, "one")]

    async def body() -> None:
        async with upstream(lambda: tuple(response)) as address, relaying(address) as (relay, _):
            await until(lambda: names(relay) == ["one"])
            seen = relay.catalog.version
            for rejected in (
                ("A", listing(40, "other")),
                ("A", b"{"),
                ("A", {"version": "x", "servers": []}),
                ("A", {"version": 60, "full": True}),
                ("B", listing(90)),
                ("B", listing(20, "other")),
                ("A", b"[]"),
            ):
                failures = relay.failures
                response[:] = rejected
                await until(lambda before=failures: relay.failures > before or relay.failures > 3)
                await asyncio.sleep(0.1)
                assert names(relay) == ["one"] and relay.catalog.version == seen
            response[:] = (
                "A",
                {"version": 61, "full": True, "servers": [endpoint_row("one"), {"id": "bad"}, endpoint_row("two")]},
            )
            await until(lambda: names(relay) == ["one", "two"])  # The valid entries are applied.

    run_async(body())


def test_another_store_is_followed_and_readers_see_versions_rise(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(relay_module, "FOLLOW_OTHER_STORE_AFTER_S", 0.3)
    response: list[Any] = ["A", listing(50, "one", "two")]

    async def body() -> None:
        async with upstream(lambda: tuple(response)) as address, relaying(address) as (relay, near):
            await until(lambda: names(relay) == ["one", "two"])
            first = relay.catalog.version
            response[:] = "B", listing(70, "two", "three")  # A higher version is followed at once.
            await until(lambda: names(relay) == ["three", "two"])
            second = relay.catalog.version
            response[:] = "C", listing(5, "four")  # A lower version is followed once B has not answered for a while.
            await until(lambda: names(relay) == ["four"])
            assert first < second < relay.catalog.version
            _, answer = await near.get(f"/api/targets?after={second}")
            states = {r["id"]: r["state"] for r in answer["servers"]}
            assert states == {"four": "ready", "two": "gone", "three": "gone"}

    run_async(body())


def test_a_damaged_cache_is_ignored(tmp_path: Path) -> None:
    cache = RelayCache(tmp_path)
    cache.save({"version": 7, "rows": [endpoint_row("one")], "store": "A", "upstream": 7})
    assert cache.load() == {"version": 7, "rows": [endpoint_row("one")], "store": "A", "upstream": 7}
    path = tmp_path / "relay.json"
    path.write_text(path.read_text(encoding="utf-8").replace("one", "two"), encoding="utf-8")
    assert cache.load() is None


# A real ingress, registry and relay


async def start(*words: str) -> asyncio.subprocess.Process:
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ingress.endpoint_registry", *words, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    STARTED_PROCESSES.append(child)
    assert child.stderr is not None
    while b" on " not in (line := await child.stderr.readline()):
        assert line, "the process has ended"
    return child


def test_endpoints_join_drain_and_leave_under_load_while_the_registry_is_killed(tmp_path: Path) -> None:
    (tmp_path / "token").write_text(TOKEN, encoding="utf-8")
    list_port, relay_port = free_port(), free_port()
    service = (
        "--listen",
        f"127.0.0.1:{list_port}",
        "--data",
        str(tmp_path / "list"),
        "--token-file",
        str(tmp_path / "token"),
    )
    removed_at: dict[str, float] = {}
    late: list[str] = []

    def script(name: str) -> Any:
        async def play(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                if name in removed_at and time.monotonic() - removed_at[name] > 2.0:
                    late.append(name)
                writer.write(endpoint_answer(words[2]))

        return play

    async def body() -> None:
        child = await start(*service)
        passing = await start("relay", "--upstream", f"127.0.0.1:{list_port}", "--listen", f"127.0.0.1:{relay_port}")
        async with (
            aiohttp.ClientSession() as web_client,
            Peer(script("a")) as a,
            Peer(script("b")) as b,
            Peer(script("c")) as c,
        ):
            client = Client(web_client, f"http://127.0.0.1:{list_port}")
            peers = {"a": a, "b": b, "c": c}
            await client.put("a", addr=f"127.0.0.1:{a.address[1]}")
            over, answers = asyncio.Event(), list[Any]()
            near = config(discovery=f"127.0.0.1:{relay_port}", control=ADMIN_LISTEN)
            async with ingress(near) as (served, address):
                await until(lambda: served.pool.listed_count() == 1)

                async def flow(number: int) -> None:
                    caller = await RespClient.connect(address)
                    while not over.is_set():
                        answers.append(await caller.request(command(customer=number)))
                        await asyncio.sleep(0.02)

                flows = [asyncio.create_task(flow(number)) for number in range(4)]
                version = (await read_metrics(served))["list.version"]
                for turn, name in enumerate("bcabca"):
                    if turn % 2:  # The registry is killed and restarted under load.
                        child.send_signal(signal.SIGKILL)
                        await child.wait()
                        await asyncio.sleep(0.1)
                        child = await start(*service)
                    removed_at.pop(name, None)
                    await client.put(name, addr=f"127.0.0.1:{peers[name].address[1]}", started_ms=turn)
                    await until(lambda n=name: n in served.pool.addresses())
                    gone = "abcabc"[turn]
                    await client.call("POST", f"/api/targets/{gone}/drain")
                    status, _ = await client.call("DELETE", f"/api/targets/{gone}")
                    assert status == 200
                    removed_at[gone] = time.monotonic()
                    await until(lambda n=gone: n not in served.pool.addresses())
                    now = (await read_metrics(served))["list.version"]
                    assert now > version
                    version = now
                await asyncio.sleep(2.2)  # This is long enough to observe a late request.
                over.set()
                await asyncio.gather(*flows)
                assert (await read_metrics(served))["list.age_ms"] >= 0
            served_well = answers.count(b"00000000000000aa")
            # The other requests are rejected with BUSY: a new endpoint gets one request at a time.
            assert {str(a) for a in answers if a != b"00000000000000aa"} <= {"BUSY 10"}
            assert len(answers) > 100 and served_well > 0.9 * len(answers) and not late
        for one in (child, passing):
            one.terminate()
            assert await one.wait() == 0

    run_async(body())
