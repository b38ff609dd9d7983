"""The watch: whole lists, changes, versions that start anew, and an agent that fails."""

from __future__ import annotations

import asyncio
import heapq
import json
import logging
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import pytest

from ingress.decisions.endpoint import Readiness
from ingress.decisions.events import EndpointListKind
from ingress.decisions.settings import Plan, RequestClass, Settings
from ingress.discovery import client as module
from ingress.discovery.client import DiscoveryClient, EndpointList, initial_busy_pause, read_endpoint_list
from ingress.discovery.http import BusyError, HttpConnection, HttpError
from tests.peers import Peer, Reader, Writer, entry, run, until

HERE = ("127.0.0.1", 6379)
TOLD_WITHIN, RELOADED_WITHIN = 6.0, 4.0  # s until a change counts as told: since it could be reached, since a reload


def listing(version: int, full: bool, *rows: dict[str, Any]) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": rows}).encode()


class Agent:
    """Gives one answer after another (None: none at all, b"": ends the connection), then is silent."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers, self.asked, self.at = list(answers), list[str](), list[float]()
        self.peer = Peer(self.script)

    async def script(self, _: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.asked.append(head.split(b" ")[1].decode())
            self.at.append(time.monotonic())
            answer = self.answers.pop(0) if self.answers else None
            if answer == b"":
                return
            if answer is not None:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(answer), answer)
                )


async def watch(agent: Agent, calls: int, version: int | None = None) -> list[tuple[EndpointListKind, EndpointList]]:
    """What was told until the agent was asked so many times."""
    told: list[tuple[EndpointListKind, EndpointList]] = []
    async with agent.peer:
        discovery = DiscoveryClient(
            agent.peer.address, lambda kind, found: told.append((kind, found)), version, random.Random(1), time.time
        )
        task = asyncio.create_task(discovery.run())
        await until(lambda: len(agent.asked) >= calls)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return told


WATCH = "/api/targets?after=%d&wait_ms=" + str(module.WATCH_WAIT_MS)


def test_a_whole_list_and_then_changes() -> None:
    async def body() -> None:
        agent = Agent(
            listing(41, True, entry(HERE, started=0), entry(HERE, "s2", started=1_700_000_000_500)),
            listing(43, False, entry(HERE, "s2", "draining")),
            listing(44, False),
            listing(50, True, entry(HERE)),
        )
        told = await watch(agent, 5)
        assert agent.asked == ["/api/targets", WATCH % 41, WATCH % 43, WATCH % 44, WATCH % 50]
        assert [kind for kind, _ in told] == [
            EndpointListKind.REPLACE,
            EndpointListKind.UPDATE,
            EndpointListKind.REPLACE,
        ]
        assert [b.started_at for b in told[0][1].endpoints] == [0.0, 1_700_000_000.5]
        assert told[1][1].endpoints[0].readiness is Readiness.DRAINING
        assert told[0][1].addresses["s2"] == HERE

    run(body())


def test_an_agent_that_moves_is_asked_at_once_at_its_new_address_for_the_whole_list() -> None:
    async def body() -> None:
        told: list[tuple[EndpointListKind, EndpointList]] = []
        old, new = Agent(listing(41, True, entry(HERE))), Agent(listing(7, True, entry(HERE, "s2")))
        async with old.peer, new.peer:
            discovery = DiscoveryClient(
                old.peer.address, lambda kind, found: told.append((kind, found)), None, random.Random(1), time.time
            )
            task = asyncio.create_task(discovery.run())
            await until(lambda: len(old.asked) == 2)  # the watch is on, and silent
            discovery.change_address(new.peer.address)
            await until(lambda: len(new.asked) == 2)
            assert new.asked == ["/api/targets", WATCH % 7] and len(old.asked) == 2
            assert [(kind, found.version) for kind, found in told] == [
                (EndpointListKind.REPLACE, 41),
                (EndpointListKind.REPLACE, 7),
            ]
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert discovery.poll_task is not None and discovery.poll_task.cancelled()

    run(body())


def test_versions_that_start_anew_bring_the_whole_list() -> None:
    async def body() -> None:
        agent = Agent(
            listing(41, True, entry(HERE)), listing(3, False, entry(HERE, "s9")), listing(3, True, entry(HERE, "s9"))
        )
        told = await watch(agent, 4)
        assert agent.asked == ["/api/targets", WATCH % 41, "/api/targets", WATCH % 3]
        assert [[b.id for b in found.endpoints] for _, found in told] == [["s1"], ["s9"]]

    run(body())


@pytest.mark.parametrize("broken", [b"{", b"[]", b'{"version":1}', b'{"version":"x","servers":[]}'])
def test_an_agent_that_fails_is_asked_again_and_the_list_kept(broken: bytes) -> None:
    async def body() -> None:
        agent = Agent(listing(41, True, entry(HERE)), broken, broken, listing(42, True, entry(HERE)))
        told = await watch(agent, 5)
        assert agent.asked[:2] == ["/api/targets", WATCH % 41] and agent.asked[-1] == WATCH % 42
        assert "/api/targets" in agent.asked[2:]
        assert [found.version for _, found in told] == [41, 42]
        assert agent.at[-1] - agent.at[0] >= module.MIN_PAUSE_S / 2  # gently

    run(body())


def test_a_list_that_is_held_is_followed_by_what_changed_since() -> None:
    async def body() -> None:
        agent = Agent(listing(43, False, entry(HERE)), b"", b"", listing(44, False, entry(HERE)))
        told = await watch(agent, 5, version=41)
        # An agent that hangs up has forgotten nothing.
        assert agent.asked == [WATCH % 41, WATCH % 43, WATCH % 43, WATCH % 43, WATCH % 44]
        assert [(kind, found.version) for kind, found in told] == [
            (EndpointListKind.UPDATE, 43),
            (EndpointListKind.UPDATE, 44),
        ]

    run(body())


def test_the_first_version_of_all_is_followed_like_any_other() -> None:
    async def body() -> None:
        agent = Agent(listing(1, False, entry(HERE)))
        await watch(agent, 2, version=0)
        assert agent.asked == [WATCH % 0, WATCH % 1]

    run(body())


def settings(gateways: int, ask_within: float) -> Settings:
    return Settings(
        classes=(RequestClass("read", 0.6, 2.5),),
        plans=(Plan("one", rate=1.0, burst=2.0),),
        gateway_count=gateways,
        discovery_poll_deadline=ask_within,
    )


def asker(rng: random.Random, busy: float = module.MIN_PAUSE_S, now: float = 0.0) -> DiscoveryClient:
    return DiscoveryClient(HERE, lambda kind, found: None, 41, rng, lambda: now, busy)


@pytest.mark.parametrize(("gateways", "first"), [(3, 0.3), (40, 4.0), (1000, module.ROUND_INTERVAL_S)])
def test_pauses_after_busy_answers_are_shared_by_all_gateways(gateways: int, first: float) -> None:
    assert initial_busy_pause(settings(gateways, 10.0)) == pytest.approx(first)
    busy, broken = BusyError(503, 0.0), HttpError("status 500")
    for now in (0.0, 1.7, 4.4, 1_700_000_003.2):
        discovery = asker(random.Random(1), first, now)
        turn = module.ROUND_INTERVAL_S - now % module.ROUND_INTERVAL_S
        assert all(
            min(turn, first / 2) <= discovery._pause(busy, 0) <= min(turn + module.ROUND_SPREAD_S, first * 1.5)
            for _ in range(50)
        )
        for failures in (1, 20, 1000):
            assert all(turn <= discovery._pause(busy, failures) <= turn + module.ROUND_SPREAD_S for _ in range(50))
        assert all(discovery._pause(broken, 20) <= module.MAX_PAUSE_S * 1.5 for _ in range(50))
        # A Retry-After is kept to as far as the time allows in which a change counts as told.
        assert discovery._pause(BusyError(503, 0.9), 0) >= min(0.9, turn)
        assert turn <= discovery._pause(BusyError(503, 45.0), 0) <= turn + module.ROUND_SPREAD_S


def test_a_list_that_nobody_has_to_ask_for_keeps_short_pauses() -> None:
    assert initial_busy_pause(settings(40, 0.0)) == module.MIN_PAUSE_S


def test_the_longest_time_from_reachable_to_told_is_within_what_the_terms_allow() -> None:
    """A call that went out just before is lost, given up, and followed by the longest pause; the next is answered."""
    answer, draw = 0.4, 1.5
    lost = max(module.WATCH_WAIT_MS / 1000 + module.WATCH_GRACE_S, module.POLL_TIMEOUT_S)
    assert lost + draw * module.MAX_PAUSE_S + answer <= TOLD_WITHIN
    assert module.ROUND_INTERVAL_S + module.ROUND_SPREAD_S + answer <= TOLD_WITHIN
    assert module.POLL_TIMEOUT_S + draw * module.MIN_PAUSE_S + answer <= RELOADED_WITHIN
    pauses = [asker(random.Random(n))._pause(TimeoutError(), failures) for n in range(50) for failures in range(20)]
    assert max(pauses) <= draw * module.MAX_PAUSE_S


Pause = Callable[[DiscoveryClient, int, float], float]


def in_rounds(caller: DiscoveryClient, failures: int, now: float) -> float:
    caller.clock = lambda: now
    return caller._pause(BusyError(503, 0.0), failures)


def each_by_itself(caller: DiscoveryClient, failures: int, now: float) -> float:
    """Anything between nothing and the longest time that the terms allow."""
    return caller.rng.uniform(0.0, module.ROUND_INTERVAL_S)


def reached(pause: Pause, ingresses: int = 40, room: float = 4.0, seconds: float = 120.0, began: float = 0.0) -> int:
    """How many of the ingresses that start at once get through to a discovery that answers `room` calls a second in
    turn, holds a few, and works on those that were given up after 2 s as well."""
    busy = initial_busy_pause(settings(ingresses, 10.0))
    callers = [asker(random.Random(n), busy) for n in range(ingresses)]
    calls = [(began + n / 1000, n, 0) for n in range(ingresses)]
    free, through = 0.0, 0
    while calls and calls[0][0] < began + seconds:
        at, number, failures = heapq.heappop(calls)
        if free - at > 3.5:  # as many wait as it holds
            failed = at
        else:
            begun = max(free, at)
            free = begun + 1 / room
            if begun - at < 2.0:
                through += 1
                continue
            failed = at + 2.0
        heapq.heappush(calls, (failed + pause(callers[number], failures, failed), number, failures + 1))
    return through


@pytest.mark.parametrize(("ingresses", "room"), [(40, 4.0), (40, 2.0), (200, 4.0), (200, 20.0)])
def test_a_fleet_that_starts_at_once_gets_through_to_a_discovery_that_is_short_of_room(
    ingresses: int, room: float
) -> None:
    assert reached(each_by_itself, ingresses, room) < ingresses  # they keep each other out
    for began in (0.0, 1.3, 4.4):
        assert reached(in_rounds, ingresses, room, began=began) == ingresses


def test_answers_that_say_there_is_no_room_are_told_from_others() -> None:
    async def body() -> None:
        answers = [
            b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 429 Busy\r\nRetry-After: tomorrow\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        ]

        async def script(_: int, reader: Reader, writer: Writer) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(answers.pop(0))

        async with Peer(script) as peer:
            connection = HttpConnection(peer.address)
            for after in (3.0, 0.0):
                with pytest.raises(BusyError) as busy:
                    await connection.get("/api/targets")
                assert busy.value.retry_after == after
            with pytest.raises(HttpError) as other:
                await connection.get("/api/targets")
            assert not isinstance(other.value, BusyError)
            connection.close()

    run(body())


def test_ingresses_that_fail_together_do_not_come_back_together(monkeypatch: pytest.MonkeyPatch) -> None:
    slept: list[list[float]] = []

    async def sleep(seconds: float) -> None:
        slept[-1].append(seconds)
        if len(slept[-1]) == 12:
            raise asyncio.CancelledError

    async def fails(self: HttpConnection, path: str) -> bytes:
        raise HttpError("status 503")

    async def body() -> None:
        monkeypatch.setattr(asyncio, "sleep", sleep)
        monkeypatch.setattr(HttpConnection, "get", fails)
        for seed in range(20):
            slept.append([])
            discovery = asker(random.Random(seed))
            with pytest.raises(asyncio.CancelledError):
                await discovery._watch(HttpConnection(HERE))
            assert discovery.version == 41

    run(body())
    assert len({pauses[0] for pauses in slept}) == 20
    for pauses in slept:
        assert module.MIN_PAUSE_S / 2 <= pauses[0] <= module.MIN_PAUSE_S * 1.5
        assert module.MAX_PAUSE_S / 2 <= pauses[-1] <= module.MAX_PAUSE_S * 1.5


def test_a_silent_agent_is_not_waited_for_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "POLL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(module, "WATCH_WAIT_MS", 10)
    monkeypatch.setattr(module, "WATCH_GRACE_S", 0.05)

    async def body() -> None:
        agent = Agent(None, listing(1, True, entry(HERE)), None, listing(2, True, entry(HERE)))
        told = await watch(agent, 5)
        assert [found.version for _, found in told] == [1, 2]

    run(body())


def test_the_process_outlives_a_fault_in_what_is_told() -> None:
    async def body() -> None:
        agent = Agent(listing(1, True, entry(HERE)), listing(2, True, entry(HERE)))

        def told(kind: EndpointListKind, found: EndpointList) -> None:
            raise RuntimeError("a fault")

        async with agent.peer:
            client = DiscoveryClient(agent.peer.address, told, None, random.Random(1), time.time)
            task = asyncio.create_task(client.run())
            await until(lambda: len(agent.asked) >= 3)
            assert not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(body())


@pytest.mark.parametrize(
    "change",
    [
        {"addr": "nowhere"},
        {"addr": "127.0.0.1:99999"},
        {"addr": 7},
        {"id": None},
        {"id": ""},
        {"state": "odd"},
        {"started_ms": "x"},
        {"started_ms": -1},
        {"weight": "x"},
        {"weight": -1},
    ],
)
def test_a_malformed_entry_is_skipped_and_logged(change: dict[str, Any], caplog: pytest.LogCaptureFixture) -> None:
    rows = [entry(HERE) | change, entry(HERE, "s2"), 5]
    with caplog.at_level(logging.WARNING):
        found = read_endpoint_list({"version": 1, "full": True, "servers": rows})
    assert [b.id for b in found.endpoints] == ["s2"]
    assert len(caplog.records) == 2


def http(body: bytes, *lines: bytes, status: bytes = b"200 OK") -> bytes:
    return b"\r\n".join([b"HTTP/1.1 " + status, *lines, b"", body])


def sized(body: bytes, *lines: bytes, status: bytes = b"200 OK") -> bytes:
    return http(body, b"Content-Length: %d" % len(body), *lines, status=status)


DRAINING = entry(HERE, "s2", "draining")
BUSY = sized(b"", b"Retry-After: 60", status=b"503 Busy")
SPOILT = sized(b"", status=b"500 No")


class Failing:
    """Answers the first call, fails the next ones as told, and from then on has news and gives it at once.  `since`:
    when the last call that failed was asked or, where it was answered, was answered: from then on it could be reached.

    A failure is what is written, and whether the connection then ends by a reset, an end, or stays silent."""

    def __init__(self, *failures: tuple[bytes, str]) -> None:
        self.failures, self.since, self.answered = [(sized(listing(41, True, entry(HERE))), "on"), *failures], 0.0, 0
        self.peer = Peer(self.script)

    async def script(self, _: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            if self.answered < len(self.failures):
                data, then = self.failures[self.answered]
                self.answered += 1
                self.since = time.monotonic()
                writer.write(data)
                await writer.drain()
                if then == "silent":
                    await asyncio.sleep(100.0)
                elif then == "reset":
                    reset(writer)
                    return
                elif then == "end":
                    return
            else:
                watch = b"after=" in head
                writer.write(sized(listing(42, False, DRAINING) if watch else listing(42, True, DRAINING)))
                await asyncio.sleep(100.0)  # nothing is newer


def reset(writer: Writer) -> None:
    """Ends a connection in mid-air."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


HALF = http(listing(42, True, entry(HERE))[:-30], b"Content-Length: 9999")
ENDLESS = http(listing(42, True, entry(HERE, "s9"))[:-20])  # no length: the end of the connection ends it


@pytest.mark.parametrize(
    "failures",
    [
        pytest.param([(b"", "silent")], id="a watch falls silent"),
        pytest.param([(SPOILT, "on")] * 5 + [(b"", "silent")], id="a call is lost after the pauses have grown"),
        pytest.param([(HALF, "silent")], id="silence in mid-body"),
        pytest.param([(HALF, "reset")], id="half a list and a reset"),
        pytest.param([(ENDLESS, "reset")], id="no length and a reset"),
        pytest.param([(ENDLESS, "silent")], id="no length and silence"),
        pytest.param([(ENDLESS, "end")], id="no length and cut off"),
        pytest.param([(b"", "reset")] * 8, id="resets"),
        pytest.param([(BUSY, "on")], id="busy once, come back in a minute"),
        pytest.param([(BUSY, "on")] * 2, id="busy twice"),
    ],
)
def test_a_change_is_told_within_six_seconds_of_when_discovery_could_be_reached(
    failures: list[tuple[bytes, str]],
) -> None:
    async def body() -> None:
        agent, told = Failing(*failures), list[tuple[float, int, list[str]]]()

        def hear(kind: EndpointListKind, found: EndpointList) -> None:
            told.append((time.monotonic(), found.version, [b.id for b in found.endpoints]))

        async with agent.peer:
            task = asyncio.create_task(
                DiscoveryClient(
                    agent.peer.address, hear, None, random.Random(1), time.time, module.MIN_PAUSE_S * 40
                ).run()
            )
            await until(lambda: len(told) >= 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert agent.answered == len(failures) + 1
        assert told[1][0] - agent.since < TOLD_WITHIN
        assert [(version, names) for _, version, names in told] == [(41, ["s1"]), (42, ["s2"])]

    run(body())


@pytest.mark.parametrize("failure", [(b"", "silent"), (HALF, "silent"), (HALF, "reset"), (b"", "reset")])
def test_after_a_reload_the_list_is_there_in_time_though_the_first_call_is_lost(failure: tuple[bytes, str]) -> None:
    """It counts as told 4 s after the signal."""

    async def body() -> None:
        old, new, told = Agent(listing(41, True, entry(HERE))), Failing(failure), list[tuple[float, int]]()
        new.failures.pop(0)
        async with old.peer, new.peer:
            discovery = DiscoveryClient(
                old.peer.address,
                lambda kind, found: told.append((time.monotonic(), found.version)),
                None,
                random.Random(1),
                time.time,
            )
            task = asyncio.create_task(discovery.run())
            await until(lambda: len(old.asked) == 2)
            moved = time.monotonic()
            discovery.change_address(("127.0.0.1", 1))  # two moves in a row: the last one holds
            discovery.change_address(new.peer.address)
            await until(lambda: len(told) == 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert told[1][1] == 42 and told[1][0] - moved < RELOADED_WITHIN

    run(body())


def test_an_answer_that_comes_twice_is_read_once() -> None:
    async def body() -> None:
        first = sized(listing(41, True, entry(HERE)))
        agent, told = Failing((sized(listing(41, False)) * 2, "on")), list[int]()
        agent.failures[0] = first * 2, "on"
        async with agent.peer:
            task = asyncio.create_task(
                DiscoveryClient(
                    agent.peer.address,
                    lambda kind, found: told.append(found.version),
                    None,
                    random.Random(1),
                    time.time,
                ).run()
            )
            await until(lambda: len(told) == 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert told == [41, 42] and agent.peer.connections == 3

    run(body())


def test_a_watch_waits_longer_while_discovery_has_no_room_and_soon_shorter_again() -> None:
    async def body() -> None:
        agent = Agent(listing(41, True, entry(HERE)))
        discovery = asker(random.Random(1))
        async with agent.peer:
            connection = HttpConnection(agent.peer.address)
            discovery.wait_ms = 20_000.0
            await discovery._poll(connection)
            assert discovery.wait_ms == 20_000 * module.WAIT_DECAY_FACTOR
            connection.close()

    run(body())
