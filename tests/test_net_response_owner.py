"""The bytes of one response come from one attempt, whatever the other attempts of the request return and when."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from msgspec import Struct
from msgspec.structs import replace

from ingress.decisions.actions import Action, CancelAttempt, FailRequest, StartAttempt
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import AttemptEnded, Event, RequestReceived, ResponseStarted, SettingsChanged
from ingress.emulator.live.authority import Authority
from ingress.ingress import Ingress
from ingress.protocols.resp import LONG_VALUE_BYTES, bulk
from ingress.runtime.metrics import RequestResult
from ingress.upstream.attempt import Attempt
from ingress.upstream.response_parser import AttemptResult
from tests.peers import (
    SETTINGS,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config,
    endpoint_answer,
    endpoint_entry,
    read_command,
    resp,
    run_async,
    wait_until,
)
from tests.test_net_control import ADMIN_LISTEN
from tests.test_net_handover import ingress_process, listen_address
from tests.test_net_ingress import StubGateway, running_ingress
from tests.test_net_long import slow_client
from tests.test_net_tls import SecurePeer

FAILED_LINE = b"-ERR failed\r\n"
PONG_LINE = b"+PONG\r\n"
LONG_SIZE = LONG_VALUE_BYTES + 40_000
DEADLINE_MS = 300


def results_of(served: Ingress) -> dict[tuple[str, RequestResult], int]:
    """Return the results of the requests so far, by class."""
    return {key: count for key, count in served.metrics.results.items() if count}


# Random orders of what the attempts of one request return


class RacingGateway(StubGateway):
    """Starts all attempts of a request at once, and fails it when all have ended without a value."""

    def __init__(self, attempt_count: int, may_cancel: bool) -> None:
        super().__init__(self.decide)
        self.attempt_count = attempt_count
        self.may_cancel = may_cancel
        self.in_flight = set[int]()

    def decide(self, event: Event) -> list[Action]:
        match event:
            case RequestReceived(request_id=request_id):
                self.in_flight = set(range(self.attempt_count))
                return [StartAttempt(request_id, f"s{number}") for number in range(self.attempt_count)]
            case AttemptEnded(request_id=request_id, attempt=attempt, outcome=outcome):
                self.in_flight.discard(attempt)
                if outcome is Outcome.OK:
                    return self.cancel_others(request_id, attempt)
                if not event.request_finished and not self.in_flight:
                    return [FailRequest(request_id, "attempt")]
            case ResponseStarted(request_id=request_id, attempt=attempt):
                return self.cancel_others(request_id, attempt)
        return []

    def cancel_others(self, request_id: str, attempt: int) -> list[Action]:
        if not self.may_cancel:
            return []
        return [CancelAttempt(request_id, other) for other in sorted(self.in_flight - {attempt})]


class PlayedConnection:
    """A connection whose endpoint has received the whole command."""

    is_read_paused = False
    is_write_paused = False
    last_received_at = 0.0

    def __init__(self) -> None:
        self.is_closed = False

    def set_reading(self, enabled: bool) -> None:
        self.is_read_paused = not enabled

    def unsent_bytes(self) -> int:
        return 0

    def has_broken_value(self) -> bool:
        return False

    def has_unsent_data(self) -> bool:
        return False

    def limit_write_buffer(self, size: int) -> None:
        pass

    def write(self, data: bytes) -> None:
        pass

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True

    def close(self) -> None:
        self.is_closed = True


class PlayedAttempt:
    """One attempt and what its endpoint returns, a long or a short value of a letter of its own."""

    def __init__(self, served: Ingress, attempt: Attempt, is_long: bool) -> None:
        self.pool = served.pool
        self.attempt = attempt
        self.connection = PlayedConnection()
        attempt.connection = self.connection
        attempt.timeout_timer = served.pool.loop.call_later(60.0, served.pool._attempt_timed_out, attempt)
        self.value = b"%c" % (ord("a") + attempt.number) * (LONG_SIZE + attempt.number if is_long else 100)
        self.is_long = is_long
        self.sent_bytes = 0
        self.outcome: Outcome | None = None

    def send(self, part: float) -> None:
        """Send this part of the rest of a long value; `part` 1.0 completes it."""
        if self.attempt.has_ended:
            return
        if self.is_long:
            rest = self.value[self.sent_bytes :]
            chunk = rest[: max(1, int(part * len(rest)))]
            self.sent_bytes += len(chunk)
            is_last = self.sent_bytes == len(self.value)
            self.pool.forward_chunk(self.attempt, chunk + b"\r\n" * is_last, len(self.value), is_last)
            if is_last:
                self.end(Outcome.OK, b"")
        elif part == 1.0:
            self.end(Outcome.OK, self.value)

    def end(self, outcome: Outcome, value: bytes | None = None) -> None:
        if not self.attempt.has_ended:
            self.outcome = outcome
            self.pool.finish_attempt(self.attempt, AttemptResult(outcome, value))

    def time_out(self) -> None:
        if not self.attempt.has_ended and self.attempt.timeout_timer is not None:
            self.attempt.timeout_timer.cancel()
            if self.attempt not in self.pool.streaming:
                self.outcome = Outcome.TIMEOUT
                self.pool._attempt_timed_out(self.attempt)


class Step(Struct, frozen=True):
    """What happens next: to the attempt of this number, or to the whole request for the last four kinds."""

    kind: str
    number: int


ATTEMPT_STEPS = ("begin", "more", "whole", "busy", "error", "reset", "time out")
REQUEST_STEPS = ("deadline", "client gone", "drain", "stop drain")
STEPS = st.builds(Step, st.sampled_from(ATTEMPT_STEPS * 3 + REQUEST_STEPS), st.integers(0, 2))


class Race:
    """Plays the attempts of one request, and checks what the client received."""

    def __init__(self, served: Ingress, client: RespClient, may_cancel: bool, long_attempts: set[int]) -> None:
        self.served = served
        self.client = client
        self.may_cancel = may_cancel
        self.long_attempts = long_attempts
        self.attempts: list[PlayedAttempt] = []
        self.is_client_gone = False
        served.pool.start_attempt = self.start  # type: ignore[method-assign]

    def start(self, attempt: Attempt) -> None:
        self.attempts.append(PlayedAttempt(self.served, attempt, attempt.number in self.long_attempts))

    async def play(self, step: Step) -> None:
        attempt = self.attempts[step.number % len(self.attempts)]
        match step.kind:
            case "begin":
                attempt.send(0.0)
            case "more":
                attempt.send(0.5)
            case "whole":
                attempt.send(1.0)
            case "busy":
                attempt.end(Outcome.REJECTED)
            case "error":
                attempt.end(Outcome.ERROR)
            case "reset":
                attempt.end(Outcome.RESET)
            case "time out":
                attempt.time_out()
            case _:
                await self.play_request_step(step.kind)
        await asyncio.sleep(0)

    async def play_request_step(self, kind: str) -> None:
        if kind == "deadline":
            for request in list(self.served.requests.in_flight.values()):
                if request.deadline_timer is not None and not request.deadline_timer.cancelled():
                    self.served.requests._deadline_passed(request)
        elif kind == "client gone":
            self.is_client_gone = True
            self.client.writer.transport.abort()
            # A drain reads nothing while a request is in flight, so that it notices no end of a connection.
            await wait_until(lambda: all(connection.is_draining for connection in self.served.clients.connections))
        else:
            self.served.clients.set_draining(kind == "drain")

    async def end(self) -> bytes:
        """End all attempts; return what the client has received until it is answered or disconnected."""
        for attempt in self.attempts:
            attempt.end(Outcome.RESET)
        assert not self.served.requests.in_flight and not self.served.requests.attempts_in_flight
        if self.is_client_gone:
            return b""
        received = b""
        while not received.endswith((PONG_LINE, b"-ERR failed\r\n")) or received == b"":
            data = await self.client.reader.read(1 << 16)
            if not data:
                break
            received += data
        return received

    def check(self, received: bytes) -> None:
        received = received.removesuffix(PONG_LINE)
        answers = {bulk(one.value): one for one in self.attempts}
        [(_, result)] = results_of(self.served)
        if not self.is_client_gone:
            assert (result is RequestResult.SUCCEEDED) == (received in answers)
        if received in answers:
            assert answers[received].outcome is Outcome.OK
        elif received and received != FAILED_LINE:
            [owner] = [one for answer, one in answers.items() if answer.startswith(received)]
            assert owner.outcome is not Outcome.OK  # Its client sees that the value is incomplete.
        if not self.may_cancel:
            closed = [one for one in self.attempts if one.connection.is_closed]
            assert all(one.outcome is Outcome.TIMEOUT for one in closed)


@pytest.mark.parametrize("may_cancel", [False, True])
@pytest.mark.parametrize("attempt_count", [2, 3])
@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(steps=st.lists(STEPS, min_size=2, max_size=12), long_attempts=st.sets(st.integers(0, 2)))
def test_a_response_is_that_of_one_attempt_in_any_order_of_events(
    attempt_count: int, may_cancel: bool, steps: list[Step], long_attempts: set[int]
) -> None:
    """Guards against answers of two attempts mixed into one, and against a loser that ends the owner's answer."""

    async def body() -> None:
        async with running_ingress(config()) as (served, address):
            served.runner.gateway = RacingGateway(attempt_count, may_cancel)  # type: ignore[assignment]
            served.requests.limits = replace(served.requests.limits, max_concurrent_attempts=attempt_count)
            client = await RespClient.connect(address)
            race = Race(served, client, may_cancel, long_attempts)
            client.writer.write(command(d=20_000) + resp(b"PING"))
            await wait_until(lambda: len(race.attempts) == attempt_count)
            for step in steps:
                await race.play(step)
            race.check(await race.end())

    run_async(body())


# Two attempts on real connections


async def no_script(_: int, __: Reader, ___: Writer) -> None:
    pass


class RacingEndpoint:
    """An endpoint of which each answer is sent in parts, when the test says so.

    Attributes:
        writers: The connection of each command, in the order of the commands.
        connection_count: The number of connections so far.
        eof_count: The number of connections that have ended.
    """

    def __init__(self) -> None:
        self.writers: list[Writer] = []
        self.connection_count = 0
        self.eof_count = 0

    async def script(self, _: int, reader: Reader, writer: Writer) -> None:
        self.connection_count += 1
        try:
            while True:
                await read_command(reader)
                self.writers.append(writer)
        finally:
            self.eof_count += 1


@asynccontextmanager
async def two_endpoints(
    make_peer: Callable[[int], Peer] = lambda _: Peer(no_script), **changes: Any
) -> AsyncIterator[tuple[RacingEndpoint, RacingEndpoint, Ingress, Any]]:
    """Run an ingress with the endpoints s1 and s2; yield both, the ingress and its address."""
    first, second = RacingEndpoint(), RacingEndpoint()
    one, two = make_peer(1), make_peer(2)
    one.script, two.script = first.script, second.script
    async with one, two:
        entries = endpoint_entry(one.address), endpoint_entry(two.address, "s2")
        async with running_ingress(config(*entries, **changes)) as (served, address):
            yield first, second, served, address


VALUE = b"A" * 200_000
VALUE_ANSWER = endpoint_answer(VALUE)
HEAD_BYTES = VALUE_ANSWER.index(b"A")
SMALLER = endpoint_answer(b"b" * 100)
LARGER = endpoint_answer(b"b" * 400_000)
EQUAL = endpoint_answer(b"b" * 200_000)


def start_two(event: Event) -> list[Action]:
    """Start an attempt at either endpoint for a request, and cancel none."""
    if not isinstance(event, RequestReceived):
        return []
    return [StartAttempt(event.request_id, "s1"), StartAttempt(event.request_id, "s2")]


def use_two_attempts(served: Ingress) -> StubGateway:
    gateway = StubGateway(start_two)
    served.runner.gateway = gateway  # type: ignore[assignment]
    served.requests.limits = replace(served.requests.limits, max_concurrent_attempts=2)
    return gateway


async def race_two(
    first: RacingEndpoint, second: RacingEndpoint, served: Ingress, client: RespClient, begun_bytes: int
) -> StubGateway:
    """Send a request to both endpoints, and let the first begin its value; return the gateway."""
    gateway = use_two_attempts(served)
    client.writer.write(command("raced") + resp(b"PING"))
    await wait_until(lambda: first.writers and second.writers)
    first.writers[0].write(VALUE_ANSWER[: HEAD_BYTES + begun_bytes])
    await wait_until(lambda: served.pool.streaming)
    return gateway


async def nothing_more(_: Ingress) -> None:
    pass


async def drain_clients(served: Ingress) -> None:
    served.clients.set_draining(True)


async def forbid_hedging(served: Ingress) -> None:
    served.requests.limits = replace(served.requests.limits, max_concurrent_attempts=1)


@pytest.mark.parametrize("begun_bytes", [1, 64 << 10, len(VALUE) - 1])
@pytest.mark.parametrize(
    "loser_answer",
    [SMALLER, LARGER, EQUAL, b"-ERR failed\r\n", b"-BUSY\r\n", None],
    ids=["smaller", "larger", "equal", "error", "busy", "reset"],
)
@pytest.mark.parametrize("owner_breaks", [False, True])
def test_the_attempt_that_answers_second_changes_nothing(
    begun_bytes: int, loser_answer: bytes | None, owner_breaks: bool
) -> None:
    """Guards against the answer of a hedge that is written into a long value (review/6)."""

    async def body() -> None:
        async with two_endpoints() as (first, second, served, address):
            client = await RespClient.connect(address)
            gateway = await race_two(first, second, served, client, begun_bytes)
            if loser_answer is None:
                second.writers[0].transport.abort()
            else:
                second.writers[0].write(loser_answer)
            await wait_until(lambda: gateway.of(AttemptEnded))
            assert [event.request_finished for event in gateway.of(AttemptEnded)] == [False]
            assert not results_of(served)
            if owner_breaks:
                first.writers[0].transport.abort()
                expected = b"$%d\r\n%b" % (len(VALUE), VALUE[:begun_bytes])
                assert await client.reader.read(-1) == expected
                assert results_of(served) == {("read", RequestResult.ABORTED): 1}
            else:
                first.writers[0].write(VALUE_ANSWER[HEAD_BYTES + begun_bytes :])
                assert await client.read_answer() == VALUE
                assert await client.read_answer() == b"PONG"
                assert results_of(served) == {("read", RequestResult.SUCCEEDED): 1}
            if loser_answer is not None:
                assert not second.eof_count  # It was not cancelled: its connection can carry the next request.

    run_async(body())


async def stop_requests(served: Ingress) -> None:
    served.requests.stop()


@pytest.mark.parametrize("between", [nothing_more, drain_clients, forbid_hedging, stop_requests])
def test_a_value_is_whole_whatever_happens_between_two_answers(between: Callable[[Ingress], Awaitable[None]]) -> None:
    """Guards against a drain, a reload or a shutdown that lets the second answer end or replace the first."""

    async def body() -> None:
        async with two_endpoints() as (first, second, served, address):
            client = await slow_client(served, address)
            await race_two(first, second, served, client, 1000)
            await between(served)
            second.writers[0].write(SMALLER)
            await asyncio.sleep(0.05)
            first.writers[0].write(VALUE_ANSWER[HEAD_BYTES + 1000 :])
            assert await client.read_answer() == VALUE

    run_async(body())


def test_a_value_is_whole_though_its_process_is_replaced_between_two_answers(tmp_path: Path) -> None:
    """Guards against an upgrade that lets the second answer end or replace the first."""

    async def body() -> None:
        first, second = RacingEndpoint(), RacingEndpoint()
        path = tmp_path / "group"
        async with Peer(first.script) as one, Peer(second.script) as two:
            settings = config(endpoint_entry(one.address), endpoint_entry(two.address, "s2"), control=ADMIN_LISTEN)
            async with ingress_process(settings, path) as (old, stop):
                client = await RespClient.connect(listen_address(old))
                await race_two(first, second, old, client, 1000)
                async with ingress_process(settings, path):
                    await wait_until(lambda: old.process_group.successor)
                    stop.set()
                    await asyncio.sleep(0.05)
                    second.writers[0].write(SMALLER)
                    await asyncio.sleep(0.05)
                    first.writers[0].write(VALUE_ANSWER[HEAD_BYTES + 1000 :])
                    assert await client.read_answer() == VALUE
                    assert await client.read_answer() == b"PONG"

    run_async(body())


def test_a_hedge_under_tls_does_not_change_a_value(tmp_path: Path) -> None:
    """Guards against the same mixture on connections with TLS on both sides."""

    async def body() -> None:
        authority = Authority(tmp_path / "pki")
        changes: dict[str, Any] = {"server-tls": {"ca": str(authority.path)}}
        async with two_endpoints(lambda number: SecurePeer(authority.sign(f"s{number}")), **changes) as (
            first,
            second,
            served,
            address,
        ):
            client = await RespClient.connect(address)
            await race_two(first, second, served, client, 1000)
            second.writers[0].write(SMALLER)
            await asyncio.sleep(0.05)
            first.writers[0].write(VALUE_ANSWER[HEAD_BYTES + 1000 :])
            assert await client.read_answer() == VALUE
            assert await client.read_answer() == b"PONG"

    run_async(body())


# The attempt that lost


def test_the_connection_of_a_value_that_is_not_needed_is_used_again() -> None:
    """Guards against a connection that is closed for a loser though attempts may not be cancelled."""

    async def body() -> None:
        async with two_endpoints() as (first, second, served, address):
            client = await RespClient.connect(address)
            gateway = await race_two(first, second, served, client, 1000)
            second.writers[0].write(LARGER[:100_000])
            await wait_until(lambda: len(gateway.of(ResponseStarted)) == 2)
            assert len(served.pool.streaming) == served.budget.streaming_responses == 1
            second.writers[0].write(LARGER[100_000:])
            await wait_until(lambda: [event.outcome for event in gateway.of(AttemptEnded)] == [Outcome.OK])
            gateway.plan = lambda event: (
                [StartAttempt(event.request_id, "s2")] if isinstance(event, RequestReceived) else []
            )
            other = await RespClient.connect(address)
            other.writer.write(command("next"))
            await wait_until(lambda: len(second.writers) == 2)
            second.writers[1].write(endpoint_answer(b"next"))
            assert await other.read_answer() == b"next"
            assert second.connection_count == 1

    run_async(body())


@pytest.mark.parametrize("has_begun", [False, True])
def test_an_attempt_that_lost_is_kept_until_its_deadline(has_begun: bool) -> None:
    """Guards against a loser that holds a connection and a share of a limit for as long as its endpoint likes."""

    async def body() -> None:
        async with two_endpoints() as (first, second, served, address):
            client = await RespClient.connect(address)
            gateway = use_two_attempts(served)
            client.writer.write(command("raced", d=DEADLINE_MS))
            await wait_until(lambda: first.writers and second.writers)
            first.writers[0].write(VALUE_ANSWER[: HEAD_BYTES + 1000])
            await wait_until(lambda: served.pool.streaming)
            second.writers[0].write(LARGER[:100_000] if has_begun else b"")
            await wait_until(lambda: second.eof_count)
            [ended] = gateway.of(AttemptEnded)
            assert (ended.outcome, ended.local_failure) == (Outcome.TIMEOUT, has_begun)
            first.writers[0].write(VALUE_ANSWER[HEAD_BYTES + 1000 :])
            assert await client.read_answer() == VALUE

    run_async(body())


def test_a_value_whose_client_has_left_is_read_until_its_deadline_if_it_may_not_be_cancelled() -> None:
    """Guards against an attempt that is given up though the settings don't allow it, and against one without end."""

    async def body() -> None:
        first = RacingEndpoint()
        async with Peer(first.script) as one, running_ingress(config(endpoint_entry(one.address))) as (served, address):
            client = await RespClient.connect(address)
            client.writer.write(command("left", d=DEADLINE_MS))
            await wait_until(lambda: first.writers)
            first.writers[0].write(VALUE_ANSWER[: HEAD_BYTES + 1000])
            await wait_until(lambda: served.pool.streaming)
            client.writer.transport.abort()
            await wait_until(lambda: not served.requests.in_flight)
            assert not first.eof_count and not served.pool.streaming
            await wait_until(lambda: first.eof_count)
            assert not served.requests.attempts_in_flight and not served.gateway.forwarder.attempts

    run_async(body())


def test_a_hedge_of_the_real_decisions_does_not_change_a_value() -> None:
    """Guards against review/6 with the decisions that send the hedge, while a reload forbids hedges meanwhile."""

    async def body() -> None:
        classes = [SETTINGS["categories"][0] | {"aim-s": 0.1}]
        limits = SETTINGS["limits"] | {"second-copies": True, "cancel": False}
        hedging = SETTINGS | {"categories": classes, "limits": limits}
        async with two_endpoints(settings=hedging) as (first, second, served, address):
            forwarder = served.gateway.forwarder
            forwarder.retry_budget.level = 5.0
            forwarder.hedging.win_rate = 1.0
            client = await RespClient.connect(address)
            client.writer.write(command("raced") + resp(b"PING"))
            await wait_until(lambda: first.writers and second.writers)
            first.writers[0].write(VALUE_ANSWER[: HEAD_BYTES + 1000])
            await wait_until(lambda: served.pool.streaming)
            served.runner.feed(SettingsChanged(replace(served.gateway.settings, hedging_allowed=False)))
            second.writers[0].write(SMALLER)
            await wait_until(lambda: len(forwarder.attempts) == 1)
            first.writers[0].write(VALUE_ANSWER[HEAD_BYTES + 1000 :])
            assert await client.read_answer() == VALUE
            assert await client.read_answer() == b"PONG"
            await wait_until(lambda: not forwarder.attempts)
            assert len(first.writers) == len(second.writers) == 1
            assert results_of(served) == {("read", RequestResult.SUCCEEDED): 1}

    run_async(body())


# Uploads


LONG_BODY = bytes(LONG_VALUE_BYTES + 10_000)
UPLOAD = command("upload", "order", d=DEADLINE_MS, body=LONG_BODY)


def test_only_one_attempt_gets_a_body_that_is_uploaded() -> None:
    """Guards against a body of which two endpoints get a part each, when the second attempt is ready first."""

    async def body() -> None:
        async with two_endpoints() as (first, second, served, address):
            gateway = use_two_attempts(served)
            client = await RespClient.connect(address)
            client.writer.write(UPLOAD[:-20_000])
            await wait_until(lambda: gateway.of(AttemptEnded))
            client.writer.write(UPLOAD[-20_000:] + resp(b"PING"))
            await wait_until(lambda: first.writers or second.writers)
            (first.writers or second.writers)[0].write(endpoint_answer(b"done"))
            assert await client.read_answer() == b"done"
            assert await client.read_answer() == b"PONG"
            assert len(first.writers) + len(second.writers) == 1

    run_async(body())


def test_a_value_that_begins_before_its_request_is_uploaded_is_not_cut_off_at_the_deadline() -> None:
    """Guards against a deadline that starts with the last byte of a body and ends a value in progress."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"k=0123456789abcdef")
        writer.write(VALUE_ANSWER[: HEAD_BYTES + 1000])
        await may_end.wait()
        writer.write(VALUE_ANSWER[HEAD_BYTES + 1000 :])
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            client = await RespClient.connect(address)
            client.writer.write(UPLOAD[:-20_000])
            await wait_until(lambda: served.pool.streaming)
            client.writer.write(UPLOAD[-20_000:])
            await asyncio.sleep(2 * DEADLINE_MS / 1000)
            may_end.set()
            assert await client.read_answer() == VALUE

    may_end = asyncio.Event()
    run_async(body())
