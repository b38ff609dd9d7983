"""What a process leaves on disk, and what the next one makes of it: kills at each step, faults in each byte."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import re
import shutil
import signal
import threading
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

import pytest
import uvloop
from msgspec.structs import replace

from ingress.checkpoint.clock_readings import ClockReadings, read_clocks
from ingress.checkpoint.files import CheckpointFiles
from ingress.checkpoint.format import encode_line
from ingress.checkpoint.reader import MAX_LOG_AGE_S, RecoveredState, recover
from ingress.checkpoint.source import SharedState
from ingress.checkpoint.writer import CheckpointWriter
from ingress.configuration.document import CheckpointConfig, ConfigError
from ingress.decisions.actions import ShareUsage, StartAttempt
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import (
    AttemptEnded,
    EndpointListKind,
    EndpointsChanged,
    ProcessGroupChanged,
    RequestReceived,
    UsageUnknown,
)
from ingress.decisions.gateway import Gateway
from ingress.decisions.handover_state import CustomerState, HandoverState
from ingress.decisions.settings import Settings
from ingress.discovery.client import EndpointList
from ingress.ingress import Ingress
from ingress.runtime.clock import unix_clock
from tests.conftest import BASIC, FLEET, SETTINGS
from tests.peers import Caller, backend, command, config, entry, run, until
from tests.test_net_handover import SMALL
from tests.test_net_members import Fleet, ask

SLOW = replace(SETTINGS, plans=(replace(BASIC, rate=0.0002, burst=8.0),))
FULL = 5.0  # of a slice: 8 over 2 gateways, and one request


class Killed(BaseException):
    """The process ends here: nothing that it would do next is done."""


class Process:
    """A gateway whose state is kept, and no sockets."""

    def __init__(self, folder: Path, settings: Settings = SLOW, every: float = 1000.0) -> None:
        self.clock, self.count = unix_clock(), 0
        self.gateway = Gateway(settings, 1)
        self.checkpoint_writer = CheckpointWriter(CheckpointFiles(folder, "n0"), every, self, self.clock)
        assert self.checkpoint_writer.acquire()
        self.found = recover(self.checkpoint_writer.files, read_clocks(self.clock()))
        for at, event in self.found.events:
            self.gateway.handle(at, event)
        self.gateway.handle(self.clock(), EndpointsChanged(EndpointListKind.RESTORED, FLEET))
        self.checkpoint_writer.begin_first_log(self.found.next_log, self.found.last_record)

    def customer_names(self) -> list[str]:
        return list(self.gateway.customers)

    def customer_states(self, names: Iterable[str]) -> list[CustomerState]:
        return self.gateway.customer_states(self.clock(), names)

    def shared_state(self) -> SharedState:
        fleet = self.gateway.cluster.endpoints.by_id.values()
        return SharedState(
            self.gateway.handover_state(self.clock(), customers=False),
            EndpointList(7, True, tuple(s.info for s in fleet), {s.info.id: ("127.0.0.1", 1) for s in fleet}),
        )

    def persistence_changed(self, enabled: bool) -> None:
        self.gateway.handle(self.clock(), ProcessGroupChanged(0, usage_persisted=enabled))

    def spend(self, customer: str = "c") -> None:
        """A request that goes out, if it may; what it takes is written first."""
        self.count += 1
        asked = RequestReceived(f"r{self.count}", "read", "basic", customer, 4.0, gateway_count=2)
        for action in self.gateway.handle(self.clock(), asked):
            if isinstance(action, ShareUsage):
                self.checkpoint_writer.record_usage(action.usage)
            if isinstance(action, StartAttempt):
                self.gateway.handle(
                    self.clock(), AttemptEnded(action.request_id, 0, action.endpoint_id, Outcome.OK, 0.001, True)
                )

    def level(self, customer: str = "c") -> float:
        one = self.gateway.quotas.get(self.clock(), customer, self.gateway.plans["basic"], 2)
        return one.slice.level

    def die(self) -> None:
        """As a SIGKILL leaves it: descriptors are closed, and so the lock is let go."""
        for handle in (self.checkpoint_writer.log_descriptor, self.checkpoint_writer.lock_descriptor):
            if handle >= 0:
                os.close(handle)


def test_the_next_process_has_what_is_left_and_no_second_burst(tmp_path: Path) -> None:
    async def body() -> None:
        one = Process(tmp_path)
        one.spend()
        await one.checkpoint_writer.snapshot()
        one.spend()
        one.spend("d")
        await one.checkpoint_writer.snapshot()
        one.spend()
        one.die()
        two = Process(tmp_path)
        assert two.found.summary.startswith("2 customers and 4 servers, with 1 records")
        assert [round(two.level(name), 2) for name in "cde"] == [FULL - 3, FULL - 1, FULL]
        two.spend()  # and once more before its first snapshot
        two.die()
        three = Process(tmp_path)
        assert round(three.level(), 2) == FULL - 4
        three.spend()
        await three.checkpoint_writer.close(clean=True)
        four = Process(tmp_path)
        assert "after a clean shutdown" in four.found.summary and round(four.level(), 2) == FULL - 5
        four.die()

    run(body())


def test_buckets_refill_while_nobody_serves_and_no_ceiling_is_raised(tmp_path: Path) -> None:
    plan = replace(BASIC, rate=2.0, burst=8.0, ceiling_rate=0.5, ceiling_burst=4.0)
    settings = replace(SETTINGS, plans=(plan,))

    async def body() -> None:
        one = Process(tmp_path, settings)
        one.gateway.quotas.unseen_ceilings["basic"].level = 4.0  # long enough for the ceiling to be full
        for _ in range(2):
            one.spend()
        await one.checkpoint_writer.snapshot()
        one.die()
        times = read_clocks(one.clock())
        found = recover(
            one.checkpoint_writer.files, replace(times, since_boot=times.since_boot + 1.0, now=times.now + 1.0)
        )
        [customer] = recovered_state(found, times.now + 1.0, settings).customers
        assert 3.9 < customer.slice_level < 4.2  # 5, less two, and one in a second
        assert 0.2 < customer.ceiling_level < 0.35  # 2, less two, and a quarter

    run(body())


def play(body: Callable[[Path], Awaitable[Process]], folder: Path) -> tuple[Process, CheckpointFiles]:
    found: list[Process] = []

    async def whole() -> None:
        found.append(await body(folder))

    uvloop.run(whole())
    return found[0], found[0].checkpoint_writer.files


async def history(folder: Path) -> Process:
    """A snapshot with three customers, two records after it."""
    one = Process(folder)
    for name in "abc":
        one.spend(name)
    await one.checkpoint_writer.snapshot()
    one.spend("a")
    one.spend("b")
    one.die()
    return one


TRUTH = {"a": FULL - 2, "b": FULL - 2, "c": FULL - 1}


def refused(found: RecoveredState) -> bool:
    """Whether nothing is believed."""
    return len(found.events) == 1 and isinstance(found.events[0][1], UsageUnknown)


def recovered_state(found: RecoveredState, now: float, settings: Settings = SLOW) -> HandoverState:
    """What the module makes of it."""
    gateway = Gateway(settings, 1)
    for at, event in found.events:
        gateway.handle(at, event)
    return gateway.handover_state(now)


def judge(found: RecoveredState) -> str:
    """Whether what is recovered is exact, or nothing is handed out; anything else fails."""
    if refused(found):
        return "refused"
    customers = recovered_state(found, found.events[-1][0]).customers
    assert {c.customer: round(c.slice_level, 2) for c in customers} == TRUTH
    return "recovered"


def test_a_flipped_byte_or_a_cut_anywhere_is_found_and_named(tmp_path: Path) -> None:
    one, files = play(history, tmp_path / "kept")
    times = read_clocks(one.clock())
    copies = tmp_path / "copies"
    shutil.copytree(files.directory, copies)
    tried = 0
    assert judge(recover(files, times)) == "recovered"
    for path in (files.snapshot, files.token, files.log_path(2)):
        data = path.read_bytes()
        for place in range(len(data)):
            for broken in (data[:place] + bytes([data[place] ^ 1 << place % 8]) + data[place + 1 :], data[:place]):
                path.write_bytes(broken)
                found = recover(files, times)
                # A log cut between two lines is what a shorter history would have left; a kill can't cut one, for
                # what was written stays, and a loss of power is told by the start of the machine.
                whole = path == files.log_path(2) and broken.endswith(b"\n") and data.startswith(broken)
                if not whole:
                    assert found.damaged and judge(found) == "refused" and str(path.name) in found.summary, (
                        path,
                        place,
                    )
                tried += 1
                shutil.rmtree(files.directory)
                shutil.copytree(copies, files.directory)
    assert tried > 3000


@pytest.mark.parametrize("missing", ["snapshot", "token", "log-2"])
def test_a_lost_file_is_named_and_hands_out_nothing(tmp_path: Path, missing: str) -> None:
    one, files = play(history, tmp_path)
    (tmp_path / f"n0.{missing}").unlink()
    found = recover(files, read_clocks(one.clock()))
    if missing == "log-2":  # the snapshot's own
        assert judge(found) == "refused"
    assert judge(found) == "refused" and f"n0.{missing}" in found.summary
    assert not files.snapshot.exists()  # what is left of it can't mislead the next start


def test_a_process_that_never_wrote_a_snapshot_hands_out_nothing_either(tmp_path: Path) -> None:
    async def body() -> None:
        one = Process(tmp_path)
        assert one.found.summary == "no earlier checkpoint exists" and not one.found.events
        for _ in range(5):
            one.spend()
        one.die()
        two = Process(tmp_path)
        assert "n0.snapshot: the file is missing" in two.found.summary
        assert two.level("c") < 0.1 and two.level("unseen") < 0.1

    run(body())


def test_another_start_of_the_machine_counts_from_there(tmp_path: Path) -> None:
    one, files = play(history, tmp_path)
    times = ClockReadings("another", 40.0, one.clock() + 60.0)
    found = recover(files, times)
    assert found.events == ((times.now, UsageUnknown(times.now - 40.0)),)
    assert found.endpoint_list and found.endpoint_list.version == 7
    gateway = Gateway(replace(SLOW, plans=(replace(BASIC, rate=0.1, burst=8.0),)), 1)
    gateway.handle(*found.events[0])
    one_of = gateway.quotas.get(times.now, "a", gateway.plans["basic"], 2)
    assert abs(one_of.slice.level - 2.0) < 1e-6  # 0.05 a second for 40 s, though the burst was spent
    assert gateway.quotas.get(times.now + 1000.0, "z", gateway.plans["basic"], 2).slice.level == FULL


def test_one_whose_last_word_is_old_hands_out_nothing(tmp_path: Path) -> None:
    one, files = play(history, tmp_path)
    times = read_clocks(one.clock())
    found = recover(
        files, replace(times, since_boot=times.since_boot + MAX_LOG_AGE_S + 1, now=times.now + MAX_LOG_AGE_S + 1)
    )
    assert judge(found) == "refused" and "the last record is 6" in found.summary and not found.damaged


def test_a_clock_that_was_set_refills_nothing_and_moves_what_is_known(tmp_path: Path) -> None:
    async def sick(folder: Path) -> Process:
        one = Process(folder)
        health = one.gateway.cluster.endpoints.by_id["b1"].health
        while not one.gateway.cluster.outliers.ejected_count:
            one.gateway.cluster.outliers.record_failure(health, one.clock(), Outcome.ERROR)
        one.spend()
        await one.checkpoint_writer.snapshot()
        one.die()
        return one

    one, files = play(sick, tmp_path)
    times, held = read_clocks(one.clock()), one.gateway.cluster.endpoints.by_id["b1"].health
    for shift in (-7200.0, 7200.0):
        told = recovered_state(recover(files, replace(times, now=times.now + shift)), times.now + shift)
        [customer] = told.customers
        assert round(customer.slice_level, 2) == FULL - 1
        [until] = [b.health.ejected_until for b in told.endpoints if b.id == "b1" and b.health]
        assert abs(until - held.ejected_until - shift) < 0.1


def test_an_old_copy_that_was_put_back_is_refused(tmp_path: Path) -> None:
    async def twice(folder: Path) -> Process:
        one = Process(folder)
        one.spend()
        await one.checkpoint_writer.close(clean=True)
        shutil.copy(one.checkpoint_writer.files.snapshot, folder / "copy")
        two = Process(folder)
        two.spend()
        await two.checkpoint_writer.close(clean=True)
        shutil.copy(folder / "copy", two.checkpoint_writer.files.snapshot)
        return two

    two, files = play(twice, tmp_path)
    found = recover(files, read_clocks(two.clock()))
    assert judge(found) == "refused" and "not the snapshot that was written last" in found.summary


def test_a_later_form_is_kept_aside_and_not_read(tmp_path: Path) -> None:
    one, files = play(history, tmp_path)
    head, *rest = files.snapshot.read_bytes().split(b"\n")
    source = json.loads(head[9:]) | {"form": 2}
    body = b"\n".join([encode_line(source)[:-1], *rest[:-2]]) + b"\n"
    files.snapshot.write_bytes(body + encode_line({"sealed": hashlib.sha256(body).hexdigest(), "lines": 2}))
    found = recover(files, read_clocks(one.clock()))
    assert judge(found) == "refused" and "format version 2 of ingress 'n0'" in found.summary
    assert [p for p in tmp_path.iterdir() if p.name.startswith("n0.snapshot.damaged-")]


STEPS = ("write", "fsync", "rename", "open", "unlink")


class Layer:
    """Between the program and the disk: fails, or ends the process, at one call."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, at: int, fault: Callable[[], BaseException]) -> None:
        self.calls, self.at, self.fault, self.on = 0, at, fault, False
        for name in STEPS:
            monkeypatch.setattr(os, name, self._wrapped(name, getattr(os, name)))

    def _wrapped(self, name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any, **more: Any) -> Any:
            if self.on:
                self.calls += 1
                if self.calls == self.at:
                    if name == "write" and isinstance(self.fault(), OSError):
                        real(args[0], args[1][: len(args[1]) // 2])  # a part of it goes through
                    raise self.fault()
            return real(*args, **more)

        return call


def steps(
    monkeypatch: pytest.MonkeyPatch, folder: Path, at: int, fault: Callable[[], BaseException]
) -> tuple[int, dict[str, float], RecoveredState]:
    """A history with the fault at one call: calls made, what was spent for sure, and what is recovered."""
    layer = Layer(monkeypatch, at, fault)
    truth: dict[str, float] = {}

    async def body() -> None:
        one = Process(folder)

        def spend(name: str) -> None:
            one.spend(name)
            truth[name] = one.level(name)

        spend("a")
        layer.on = True
        try:
            for _ in range(3):
                with contextlib.suppress(OSError):
                    await one.checkpoint_writer.snapshot()
                spend("a")
                spend("b")
        except Killed:
            pass
        layer.on = False
        one.die()

    uvloop.run(body())
    monkeypatch.undo()
    return layer.calls, truth, recover(CheckpointFiles(folder, "n0"), read_clocks(unix_clock()()))


@pytest.mark.parametrize(
    "fault",
    [
        Killed,
        lambda: OSError(28, "No space left on device", "disk"),
        lambda: OSError(30, "Read-only file system", "disk"),
    ],
)
def test_a_kill_or_a_failing_disk_at_every_step_hands_out_no_unit_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fault: Callable[[], BaseException]
) -> None:
    most, _, _ = steps(monkeypatch, tmp_path / "whole", 0, Killed)
    assert most > 40
    ends = {"recovered": 0, "refused": 0}
    for at in range(1, most + 1):
        _, truth, found = steps(monkeypatch, tmp_path / str(at), at, fault)
        if not refused(found):
            levels = {c.customer: c.slice_level for c in recovered_state(found, unix_clock()()).customers}
            for name, level in truth.items():
                # A kill within a record: its request never went out, and counts as spent here or not.
                assert levels[name] <= level + 0.01, (at, name)
                assert levels[name] >= level - 1.01
        ends["refused" if refused(found) else "recovered"] += 1
    assert ends["recovered"] > most // 2


def test_an_end_in_the_midst_of_a_snapshot_leaves_one_that_is_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found by a whole run of tests: the end gave up the task of a snapshot, whose thread went on beside the last."""

    async def body() -> None:
        one = Process(tmp_path, every=0.0)
        one.spend()
        real = one.checkpoint_writer.files.replace_file
        under_way, written = threading.Event(), threading.Event()

        def slow(path: Path, pieces: Iterable[bytes]) -> None:
            first = not under_way.is_set()
            under_way.set()
            if first:
                time.sleep(0.3)
            real(path, pieces)
            if first:
                written.set()

        monkeypatch.setattr(one.checkpoint_writer.files, "replace_file", slow)
        one.checkpoint_writer.start()
        await until(under_way.is_set)
        one.spend()
        await one.checkpoint_writer.close(clean=True)
        await until(written.is_set)
        two = Process(tmp_path)
        assert "after a clean shutdown" in two.found.summary and round(two.level(), 2) == FULL - 2
        two.die()

    run(body())


def test_one_process_writes_and_the_other_waits_for_the_lock(tmp_path: Path) -> None:
    async def body() -> None:
        async with backend() as peer:
            settings = config(
                *(entry(peer.address, f"s{n}") for n in range(4)),
                settings=SMALL,
                checkpoint={"folder": str(tmp_path), "every_s": 0.1},
            )
            first, second = Ingress(settings), Ingress(settings)  # of one name by mistake, with no link between them
            stops = asyncio.Event(), asyncio.Event()
            tasks = [asyncio.create_task(first.run(stops[0]))]
            await until(lambda: first.checkpoint_writer and first.checkpoint_writer.snapshots_written)
            tasks.append(asyncio.create_task(second.run(stops[1])))
            await until(lambda: second.checkpoint_writer and second.checkpoint_writer.task)
            caller = await Caller.to(second.clients.listening_socket.getsockname())
            assert await caller.ask(command()) == b"00000000000000aa"
            assert (
                second.checkpoint_writer
                and second.checkpoint_writer.lock_descriptor < 0
                and not second.recovery.persisting
            )
            stops[0].set()
            await tasks[0]
            await until(lambda: second.checkpoint_writer and second.checkpoint_writer.snapshots_written)
            assert second.recovery.persisting
            stops[1].set()
            await tasks[1]
            [lock] = tmp_path.glob("*.lock")
            assert recover(second.checkpoint_writer.files, read_clocks(second.clock())).summary.startswith(
                "1 customers"
            ), lock

    run(body())


def test_a_failing_disk_is_said_and_requests_go_on(tmp_path: Path) -> None:
    async def body() -> None:
        async with backend() as peer:
            one = Ingress(
                config(
                    *(entry(peer.address, f"s{n}") for n in range(4)),
                    settings=SMALL,
                    checkpoint={"folder": str(tmp_path), "every_s": 0.1},
                )
            )
            stop = asyncio.Event()
            task = asyncio.create_task(one.run(stop))
            await until(lambda: one.checkpoint_writer and one.checkpoint_writer.snapshots_written)
            assert one.checkpoint_writer
            os.close(one.checkpoint_writer.log_descriptor)  # the disk is gone
            one.checkpoint_writer.log_descriptor = os.open("/dev/full", os.O_WRONLY)
            caller = await Caller.to(one.clients.listening_socket.getsockname())
            assert await caller.ask(command()) == b"00000000000000aa"
            assert one.checkpoint_writer.failure_count == 1 and not one.checkpoint_writer.files.snapshot.exists()
            before = one.checkpoint_writer.snapshots_written
            await until(
                lambda: one.checkpoint_writer and one.checkpoint_writer.snapshots_written > before
            )  # and it is back
            assert await caller.ask(command()) == b"00000000000000aa"
            assert one.checkpoint_writer.records_written >= 1 and one.recovery.persisting
            stop.set()
            await task
            assert recover(one.checkpoint_writer.files, read_clocks(one.clock())).summary.startswith("1 customers")

    run(body())


def test_a_real_process_that_is_killed_hands_out_no_fresh_burst(tmp_path: Path) -> None:
    async def body() -> None:
        async with backend() as peer:
            for kept, again in ((None, [True] * 4), ({"folder": str(tmp_path / "kept"), "every_s": 0.2}, [False] * 4)):
                folder = tmp_path / str(bool(kept))
                folder.mkdir()
                there = Fleet(folder, peer, settings=SMALL, **({"checkpoint": kept} if kept else {}))
                child, control = await there.start()
                caller = await Caller.to(there.address)
                assert [await caller.ask(command(str(n))) for n in range(4)] == [b"0", b"1", b"2", b"3"]
                while kept and not re.search(r"checkpoint\.snapshots:[1-9]", await ask(control, "show-stat")):
                    await asyncio.sleep(0.02)  # one that is killed before its first snapshot leaves nothing to believe
                child.send_signal(signal.SIGKILL)
                await child.wait()
                child, control = await there.start()
                caller = await Caller.to(there.address)
                answers = [await caller.ask(command(str(n))) for n in range(4)]
                assert [isinstance(answer, bytes) for answer in answers] == again
                if kept:  # others have theirs
                    assert await caller.ask(command("x", customer=8)) == b"x"
                    figures = await ask(control, "show-stat")
                    assert "checkpoint.on:1|" in figures

    run(body())


def test_an_upgrade_passes_the_folder_on(tmp_path: Path) -> None:
    async def body() -> None:
        async with backend() as peer:
            there = Fleet(tmp_path, peer, settings=SMALL, checkpoint={"folder": str(tmp_path / "kept"), "every_s": 0.2})
            old, _ = await there.start()
            caller = await Caller.to(there.address)
            assert await caller.ask(command("1")) == b"1"
            new, control = await there.start()
            caller = await Caller.to(there.address)
            assert await caller.ask(command("2")) == b"2"  # by the new one, told to the old one that writes
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            while not re.search(r"checkpoint\.snapshots:[1-9]", await ask(control, "show-stat")):
                await asyncio.sleep(0.02)  # until then it goes with the snapshot of the one before
            assert await caller.ask(command("3")) == b"3"
            new.send_signal(signal.SIGKILL)
            await new.wait()
            await there.start()
            caller = await Caller.to(there.address)
            answers = [await caller.ask(command(str(n))) for n in range(3)]
            assert [isinstance(answer, bytes) for answer in answers] == [True, False, False]

    run(body())


def test_the_configuration_names_a_folder_and_can_t_change_it() -> None:
    for bad, key in (
        ({"folder": "kept"}, "checkpoint.folder"),
        ({"every_s": 1}, "checkpoint.folder"),
        ({"folder": "/kept", "every_s": 0}, "checkpoint.every_s"),
    ):
        with pytest.raises(ConfigError, match=key.replace(".", r"\.")):
            config(checkpoint=bad)
    assert config(checkpoint={"folder": "/kept"}).checkpoint == CheckpointConfig("/kept", 5.0)
    assert config().checkpoint is None
