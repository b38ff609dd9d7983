"""The discovery watch: complete lists, changes, versions that restart, and a failing service."""

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
from tests.peers import Peer, Reader, Writer, endpoint_entry, run_async, wait_until

ENDPOINT_ADDRESS = ("127.0.0.1", 6379)
APPLY_DEADLINE_S = 6.0  # a change must be applied within this time after discovery is reachable
RELOAD_DEADLINE_S = 4.0  # a list must be applied within this time after a reload


def endpoint_list_json(version: int, full: bool, *rows: dict[str, Any]) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": rows}).encode()


class ScriptedDiscovery:
    """A discovery service that gives one answer after another, and then stops answering.

    None leaves the request unanswered, and b"" closes the connection.
    """

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.requests: list[str] = []
        self.request_times: list[float] = []
        self.peer = Peer(self.script)

    async def script(self, _: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.requests.append(head.split(b" ")[1].decode())
            self.request_times.append(time.monotonic())
            answer = self.answers.pop(0) if self.answers else None
            if answer == b"":
                return
            if answer is not None:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(answer), answer)
                )


async def watch(
    service: ScriptedDiscovery, calls: int, version: int | None = None
) -> list[tuple[EndpointListKind, EndpointList]]:
    """Return the updates received until the service has had so many requests."""
    updates: list[tuple[EndpointListKind, EndpointList]] = []
    async with service.peer:
        discovery = DiscoveryClient(
            service.peer.address,
            lambda kind, endpoint_list: updates.append((kind, endpoint_list)),
            version,
            random.Random(1),
            time.time,
        )
        task = asyncio.create_task(discovery.run())
        await wait_until(lambda: len(service.requests) >= calls)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return updates


WATCH = "/api/targets?after=%d&wait_ms=" + str(module.WATCH_WAIT_MS)


def test_complete_list_followed_by_changes() -> None:
    async def body() -> None:
        service = ScriptedDiscovery(
            endpoint_list_json(
                41,
                True,
                endpoint_entry(ENDPOINT_ADDRESS, started=0),
                endpoint_entry(ENDPOINT_ADDRESS, "s2", started=1_700_000_000_500),
            ),
            endpoint_list_json(43, False, endpoint_entry(ENDPOINT_ADDRESS, "s2", "draining")),
            endpoint_list_json(44, False),
            endpoint_list_json(50, True, endpoint_entry(ENDPOINT_ADDRESS)),
        )
        updates = await watch(service, 5)
        assert service.requests == ["/api/targets", WATCH % 41, WATCH % 43, WATCH % 44, WATCH % 50]
        assert [kind for kind, _ in updates] == [
            EndpointListKind.REPLACE,
            EndpointListKind.UPDATE,
            EndpointListKind.REPLACE,
        ]
        assert [endpoint.started_at for endpoint in updates[0][1].endpoints] == [0.0, 1_700_000_000.5]
        assert updates[1][1].endpoints[0].readiness is Readiness.DRAINING
        assert updates[0][1].addresses["s2"] == ENDPOINT_ADDRESS

    run_async(body())


def test_moved_service_is_polled_at_once_for_a_complete_list() -> None:
    async def body() -> None:
        updates: list[tuple[EndpointListKind, EndpointList]] = []
        old = ScriptedDiscovery(endpoint_list_json(41, True, endpoint_entry(ENDPOINT_ADDRESS)))
        new = ScriptedDiscovery(endpoint_list_json(7, True, endpoint_entry(ENDPOINT_ADDRESS, "s2")))
        async with old.peer, new.peer:
            discovery = DiscoveryClient(
                old.peer.address,
                lambda kind, endpoint_list: updates.append((kind, endpoint_list)),
                None,
                random.Random(1),
                time.time,
            )
            task = asyncio.create_task(discovery.run())
            await wait_until(lambda: len(old.requests) == 2)  # the watch is in flight and unanswered
            discovery.change_address(new.peer.address)
            await wait_until(lambda: len(new.requests) == 2)
            assert new.requests == ["/api/targets", WATCH % 7] and len(old.requests) == 2
            assert [(kind, endpoint_list.version) for kind, endpoint_list in updates] == [
                (EndpointListKind.REPLACE, 41),
                (EndpointListKind.REPLACE, 7),
            ]
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert discovery.poll_task is not None and discovery.poll_task.cancelled()

    run_async(body())


def test_restarted_versions_cause_a_request_for_a_complete_list() -> None:
    async def body() -> None:
        service = ScriptedDiscovery(
            endpoint_list_json(41, True, endpoint_entry(ENDPOINT_ADDRESS)),
            endpoint_list_json(3, False, endpoint_entry(ENDPOINT_ADDRESS, "s9")),
            endpoint_list_json(3, True, endpoint_entry(ENDPOINT_ADDRESS, "s9")),
        )
        updates = await watch(service, 4)
        assert service.requests == ["/api/targets", WATCH % 41, "/api/targets", WATCH % 3]
        assert [[endpoint.id for endpoint in endpoint_list.endpoints] for _, endpoint_list in updates] == [
            ["s1"],
            ["s9"],
        ]

    run_async(body())


@pytest.mark.parametrize("broken", [b"{", b"[]", b'{"version":1}', b'{"version":"x","servers":[]}'])
def test_list_is_kept_and_the_service_polled_again_after_a_malformed_response(broken: bytes) -> None:
    async def body() -> None:
        service = ScriptedDiscovery(
            endpoint_list_json(41, True, endpoint_entry(ENDPOINT_ADDRESS)),
            broken,
            broken,
            endpoint_list_json(42, True, endpoint_entry(ENDPOINT_ADDRESS)),
        )
        updates = await watch(service, 5)
        assert service.requests[:2] == ["/api/targets", WATCH % 41] and service.requests[-1] == WATCH % 42
        assert "/api/targets" in service.requests[2:]
        assert [endpoint_list.version for _, endpoint_list in updates] == [41, 42]
        assert service.request_times[-1] - service.request_times[0] >= module.MIN_PAUSE_S / 2  # after a pause

    run_async(body())


def test_known_list_is_updated_with_the_changes_since_its_version() -> None:
    async def body() -> None:
        service = ScriptedDiscovery(
            endpoint_list_json(43, False, endpoint_entry(ENDPOINT_ADDRESS)),
            b"",
            b"",
            endpoint_list_json(44, False, endpoint_entry(ENDPOINT_ADDRESS)),
        )
        updates = await watch(service, 5, version=41)
        # A closed connection does not invalidate the version.
        assert service.requests == [WATCH % 41, WATCH % 43, WATCH % 43, WATCH % 43, WATCH % 44]
        assert [(kind, endpoint_list.version) for kind, endpoint_list in updates] == [
            (EndpointListKind.UPDATE, 43),
            (EndpointListKind.UPDATE, 44),
        ]

    run_async(body())


def test_version_zero_is_watched_like_any_other() -> None:
    async def body() -> None:
        service = ScriptedDiscovery(endpoint_list_json(1, False, endpoint_entry(ENDPOINT_ADDRESS)))
        await watch(service, 2, version=0)
        assert service.requests == [WATCH % 0, WATCH % 1]

    run_async(body())


def settings(gateways: int, ask_within: float) -> Settings:
    return Settings(
        classes=(RequestClass("read", 0.6, 2.5),),
        plans=(Plan("one", rate=1.0, burst=2.0),),
        gateway_count=gateways,
        discovery_poll_deadline=ask_within,
    )


def make_client(rng: random.Random, busy_pause: float = module.MIN_PAUSE_S, now: float = 0.0) -> DiscoveryClient:
    return DiscoveryClient(ENDPOINT_ADDRESS, lambda kind, endpoint_list: None, 41, rng, lambda: now, busy_pause)


@pytest.mark.parametrize(("gateways", "first"), [(3, 0.3), (40, 4.0), (1000, module.ROUND_INTERVAL_S)])
def test_pauses_after_busy_responses_scale_with_the_gateway_count(gateways: int, first: float) -> None:
    assert initial_busy_pause(settings(gateways, 10.0)) == pytest.approx(first)
    busy_error = BusyError(503, 0.0)
    other_error = HttpError("status 500")
    for now in (0.0, 1.7, 4.4, 1_700_000_003.2):
        discovery = make_client(random.Random(1), first, now)
        next_round = module.ROUND_INTERVAL_S - now % module.ROUND_INTERVAL_S
        assert all(
            min(next_round, first / 2)
            <= discovery._pause(busy_error, 0)
            <= min(next_round + module.ROUND_SPREAD_S, first * 1.5)
            for _ in range(50)
        )
        for failures in (1, 20, 1000):
            assert all(
                next_round <= discovery._pause(busy_error, failures) <= next_round + module.ROUND_SPREAD_S
                for _ in range(50)
            )
        assert all(discovery._pause(other_error, 20) <= module.MAX_PAUSE_S * 1.5 for _ in range(50))
        # A Retry-After is honoured as far as the deadline for applying a change allows.
        assert discovery._pause(BusyError(503, 0.9), 0) >= min(0.9, next_round)
        assert next_round <= discovery._pause(BusyError(503, 45.0), 0) <= next_round + module.ROUND_SPREAD_S


def test_pauses_stay_short_without_a_poll_deadline() -> None:
    assert initial_busy_pause(settings(40, 0.0)) == module.MIN_PAUSE_S


def test_longest_time_until_a_change_is_applied_is_within_the_deadlines() -> None:
    """The worst case: a call sent just before is lost, the longest pause follows, and the next call is answered."""
    answer_time = 0.4
    max_jitter = 1.5
    lost_call_timeout = max(module.WATCH_WAIT_MS / 1000 + module.WATCH_GRACE_S, module.POLL_TIMEOUT_S)
    assert lost_call_timeout + max_jitter * module.MAX_PAUSE_S + answer_time <= APPLY_DEADLINE_S
    assert module.ROUND_INTERVAL_S + module.ROUND_SPREAD_S + answer_time <= APPLY_DEADLINE_S
    assert module.POLL_TIMEOUT_S + max_jitter * module.MIN_PAUSE_S + answer_time <= RELOAD_DEADLINE_S
    pauses = [
        make_client(random.Random(n))._pause(TimeoutError(), failures) for n in range(50) for failures in range(20)
    ]
    assert max(pauses) <= max_jitter * module.MAX_PAUSE_S


Pause = Callable[[DiscoveryClient, int, float], float]


def pause_in_rounds(client: DiscoveryClient, failures: int, now: float) -> float:
    client.clock = lambda: now
    return client._pause(BusyError(503, 0.0), failures)


def random_pause(client: DiscoveryClient, failures: int, now: float) -> float:
    """Return a random pause up to the round interval, independent of other gateways."""
    return client.rng.uniform(0.0, module.ROUND_INTERVAL_S)


def count_served(
    pause: Pause, ingresses: int = 40, capacity: float = 4.0, seconds: float = 120.0, started_at: float = 0.0
) -> int:
    """Return how many ingresses that start at the same time get an answer from an overloaded discovery service.

    The service answers `capacity` calls a second in order, queues a few, and also processes calls that timed out
    after 2 s.
    """
    busy_pause = initial_busy_pause(settings(ingresses, 10.0))
    clients = [make_client(random.Random(n), busy_pause) for n in range(ingresses)]
    calls = [(started_at + n / 1000, n, 0) for n in range(ingresses)]
    idle_at = 0.0
    served = 0
    while calls and calls[0][0] < started_at + seconds:
        sent_at, number, failures = heapq.heappop(calls)
        if idle_at - sent_at > 3.5:  # the queue is full
            failed_at = sent_at
        else:
            processed_at = max(idle_at, sent_at)
            idle_at = processed_at + 1 / capacity
            if processed_at - sent_at < 2.0:
                served += 1
                continue
            failed_at = sent_at + 2.0
        heapq.heappush(calls, (failed_at + pause(clients[number], failures, failed_at), number, failures + 1))
    return served


@pytest.mark.parametrize(("ingresses", "capacity"), [(40, 4.0), (40, 2.0), (200, 4.0), (200, 20.0)])
def test_fleet_that_starts_at_once_is_served_by_an_overloaded_discovery_service(
    ingresses: int, capacity: float
) -> None:
    assert count_served(random_pause, ingresses, capacity) < ingresses  # without rounds some are never served
    for started_at in (0.0, 1.3, 4.4):
        assert count_served(pause_in_rounds, ingresses, capacity, started_at=started_at) == ingresses


def test_overload_responses_are_distinguished_from_other_errors() -> None:
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
            for retry_after in (3.0, 0.0):
                with pytest.raises(BusyError) as busy:
                    await connection.get("/api/targets")
                assert busy.value.retry_after == retry_after
            with pytest.raises(HttpError) as other:
                await connection.get("/api/targets")
            assert not isinstance(other.value, BusyError)
            connection.close()

    run_async(body())


def test_ingresses_that_fail_together_retry_at_different_times(monkeypatch: pytest.MonkeyPatch) -> None:
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
            discovery = make_client(random.Random(seed))
            with pytest.raises(asyncio.CancelledError):
                await discovery._watch(HttpConnection(ENDPOINT_ADDRESS))
            assert discovery.version == 41

    run_async(body())
    assert len({pauses[0] for pauses in slept}) == 20
    for pauses in slept:
        assert module.MIN_PAUSE_S / 2 <= pauses[0] <= module.MIN_PAUSE_S * 1.5
        assert module.MAX_PAUSE_S / 2 <= pauses[-1] <= module.MAX_PAUSE_S * 1.5


def test_unanswered_calls_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "POLL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(module, "WATCH_WAIT_MS", 10)
    monkeypatch.setattr(module, "WATCH_GRACE_S", 0.05)

    async def body() -> None:
        service = ScriptedDiscovery(
            None,
            endpoint_list_json(1, True, endpoint_entry(ENDPOINT_ADDRESS)),
            None,
            endpoint_list_json(2, True, endpoint_entry(ENDPOINT_ADDRESS)),
        )
        updates = await watch(service, 5)
        assert [endpoint_list.version for _, endpoint_list in updates] == [1, 2]

    run_async(body())


def test_failing_update_handler_does_not_end_the_watch() -> None:
    async def body() -> None:
        service = ScriptedDiscovery(
            endpoint_list_json(1, True, endpoint_entry(ENDPOINT_ADDRESS)),
            endpoint_list_json(2, True, endpoint_entry(ENDPOINT_ADDRESS)),
        )

        def on_update(kind: EndpointListKind, endpoint_list: EndpointList) -> None:
            raise RuntimeError("failure of the handler")

        async with service.peer:
            client = DiscoveryClient(service.peer.address, on_update, None, random.Random(1), time.time)
            task = asyncio.create_task(client.run())
            await wait_until(lambda: len(service.requests) >= 3)
            assert not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run_async(body())


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
def test_malformed_entry_is_skipped_and_logged(change: dict[str, Any], caplog: pytest.LogCaptureFixture) -> None:
    entries = [endpoint_entry(ENDPOINT_ADDRESS) | change, endpoint_entry(ENDPOINT_ADDRESS, "s2"), 5]
    with caplog.at_level(logging.WARNING):
        endpoint_list = read_endpoint_list({"version": 1, "full": True, "servers": entries})
    assert [endpoint.id for endpoint in endpoint_list.endpoints] == ["s2"]
    assert len(caplog.records) == 2


def http_response(body: bytes, *lines: bytes, status: bytes = b"200 OK") -> bytes:
    return b"\r\n".join([b"HTTP/1.1 " + status, *lines, b"", body])


def sized_http_response(body: bytes, *lines: bytes, status: bytes = b"200 OK") -> bytes:
    return http_response(body, b"Content-Length: %d" % len(body), *lines, status=status)


DRAINING = endpoint_entry(ENDPOINT_ADDRESS, "s2", "draining")
BUSY = sized_http_response(b"", b"Retry-After: 60", status=b"503 Busy")
SERVER_ERROR = sized_http_response(b"", status=b"500 No")


class FailingDiscovery:
    """A discovery service that answers the first call, then fails, and then answers with a change at once.

    A failure is the data that is written, and what happens to the connection: it is reset, closed, goes silent, or
    stays open.

    Attributes:
        reachable_since: The time of the last failing call: when it was received or, if answered, answered.
    """

    def __init__(self, *failures: tuple[bytes, str]) -> None:
        self.failures = [
            (sized_http_response(endpoint_list_json(41, True, endpoint_entry(ENDPOINT_ADDRESS))), "on"),
            *failures,
        ]
        self.reachable_since = 0.0
        self.answered = 0
        self.peer = Peer(self.script)

    async def script(self, _: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            if self.answered < len(self.failures):
                data, action = self.failures[self.answered]
                self.answered += 1
                self.reachable_since = time.monotonic()
                writer.write(data)
                await writer.drain()
                if action == "silent":
                    await asyncio.sleep(100.0)
                elif action == "reset":
                    reset(writer)
                    return
                elif action == "end":
                    return
            else:
                is_watch = b"after=" in head
                writer.write(
                    sized_http_response(
                        endpoint_list_json(42, False, DRAINING) if is_watch else endpoint_list_json(42, True, DRAINING)
                    )
                )
                await asyncio.sleep(100.0)  # no further change


def reset(writer: Writer) -> None:
    """Reset a connection instead of closing it."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


TRUNCATED = http_response(endpoint_list_json(42, True, endpoint_entry(ENDPOINT_ADDRESS))[:-30], b"Content-Length: 9999")
# without a length the body ends with the connection
WITHOUT_LENGTH = http_response(endpoint_list_json(42, True, endpoint_entry(ENDPOINT_ADDRESS, "s9"))[:-20])


@pytest.mark.parametrize(
    "failures",
    [
        pytest.param([(b"", "silent")], id="a watch gets no answer"),
        pytest.param(
            [(SERVER_ERROR, "on")] * 5 + [(b"", "silent")], id="a call gets no answer after the pauses have grown"
        ),
        pytest.param([(TRUNCATED, "silent")], id="silence within a body"),
        pytest.param([(TRUNCATED, "reset")], id="truncated list and a reset"),
        pytest.param([(WITHOUT_LENGTH, "reset")], id="no length and a reset"),
        pytest.param([(WITHOUT_LENGTH, "silent")], id="no length and silence"),
        pytest.param([(WITHOUT_LENGTH, "end")], id="no length and truncated"),
        pytest.param([(b"", "reset")] * 8, id="resets"),
        pytest.param([(BUSY, "on")], id="busy once with a Retry-After of a minute"),
        pytest.param([(BUSY, "on")] * 2, id="busy twice"),
    ],
)
def test_change_is_applied_within_six_seconds_after_discovery_is_reachable(failures: list[tuple[bytes, str]]) -> None:
    async def body() -> None:
        service = FailingDiscovery(*failures)
        updates: list[tuple[float, int, list[str]]] = []

        def on_update(kind: EndpointListKind, endpoint_list: EndpointList) -> None:
            updates.append(
                (time.monotonic(), endpoint_list.version, [endpoint.id for endpoint in endpoint_list.endpoints])
            )

        async with service.peer:
            task = asyncio.create_task(
                DiscoveryClient(
                    service.peer.address, on_update, None, random.Random(1), time.time, module.MIN_PAUSE_S * 40
                ).run()
            )
            await wait_until(lambda: len(updates) >= 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert service.answered == len(failures) + 1
        assert updates[1][0] - service.reachable_since < APPLY_DEADLINE_S
        assert [(version, names) for _, version, names in updates] == [(41, ["s1"]), (42, ["s2"])]

    run_async(body())


@pytest.mark.parametrize("failure", [(b"", "silent"), (TRUNCATED, "silent"), (TRUNCATED, "reset"), (b"", "reset")])
def test_list_is_applied_in_time_after_a_reload_although_the_first_call_is_lost(failure: tuple[bytes, str]) -> None:
    """The list must be applied within 4 s after the reload."""

    async def body() -> None:
        old = ScriptedDiscovery(endpoint_list_json(41, True, endpoint_entry(ENDPOINT_ADDRESS)))
        new = FailingDiscovery(failure)
        updates: list[tuple[float, int]] = []
        new.failures.pop(0)
        async with old.peer, new.peer:
            discovery = DiscoveryClient(
                old.peer.address,
                lambda kind, endpoint_list: updates.append((time.monotonic(), endpoint_list.version)),
                None,
                random.Random(1),
                time.time,
            )
            task = asyncio.create_task(discovery.run())
            await wait_until(lambda: len(old.requests) == 2)
            moved_at = time.monotonic()
            discovery.change_address(("127.0.0.1", 1))  # of two consecutive moves the last one counts
            discovery.change_address(new.peer.address)
            await wait_until(lambda: len(updates) == 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert updates[1][1] == 42 and updates[1][0] - moved_at < RELOAD_DEADLINE_S

    run_async(body())


def test_duplicate_response_is_read_once() -> None:
    async def body() -> None:
        first = sized_http_response(endpoint_list_json(41, True, endpoint_entry(ENDPOINT_ADDRESS)))
        service = FailingDiscovery((sized_http_response(endpoint_list_json(41, False)) * 2, "on"))
        updates: list[int] = []
        service.failures[0] = first * 2, "on"
        async with service.peer:
            task = asyncio.create_task(
                DiscoveryClient(
                    service.peer.address,
                    lambda kind, endpoint_list: updates.append(endpoint_list.version),
                    None,
                    random.Random(1),
                    time.time,
                ).run()
            )
            await wait_until(lambda: len(updates) == 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert updates == [41, 42] and service.peer.connections == 3

    run_async(body())


def test_wait_of_a_watch_shrinks_again_after_overload() -> None:
    async def body() -> None:
        service = ScriptedDiscovery(endpoint_list_json(41, True, endpoint_entry(ENDPOINT_ADDRESS)))
        discovery = make_client(random.Random(1))
        async with service.peer:
            connection = HttpConnection(service.peer.address)
            discovery.wait_ms = 20_000.0
            await discovery._poll(connection)
            assert discovery.wait_ms == 20_000 * module.WAIT_DECAY_FACTOR
            connection.close()

    run_async(body())
