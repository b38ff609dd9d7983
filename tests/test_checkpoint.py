"""Checkpoints: recovery after a kill at each step, a failing disk, and damage to each byte."""

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
from tests.conftest import BASIC_PLAN, FLEET, SETTINGS
from tests.peers import RespClient, command, config, endpoint_entry, fake_endpoint, run_async, wait_until
from tests.test_net_handover import SMALL_BURST_SETTINGS
from tests.test_net_members import IngressProcesses, admin_call

SLOW_REFILL_SETTINGS = replace(SETTINGS, plans=(replace(BASIC_PLAN, rate=0.0002, burst=8.0),))
FULL_SLICE_UNITS = 5.0  # the burst of 8 over 2 gateways, and one request


class Killed(BaseException):
    """Simulates the end of the process by SIGKILL: nothing after it is done."""


class Process:
    """A process without sockets: a gateway, its checkpoint writer and the recovery at start."""

    def __init__(self, folder: Path, settings: Settings = SLOW_REFILL_SETTINGS, interval_s: float = 1000.0) -> None:
        self.clock = unix_clock()
        self.request_count = 0
        self.gateway = Gateway(settings, 1)
        self.checkpoint_writer = CheckpointWriter(CheckpointFiles(folder, "n0"), interval_s, self, self.clock)
        assert self.checkpoint_writer.acquire()
        self.recovered = recover(self.checkpoint_writer.files, read_clocks(self.clock()))
        for at, event in self.recovered.events:
            self.gateway.handle(at, event)
        self.gateway.handle(self.clock(), EndpointsChanged(EndpointListKind.RESTORED, FLEET))
        self.checkpoint_writer.begin_first_log(self.recovered.next_log, self.recovered.last_record)

    def customer_names(self) -> list[str]:
        return list(self.gateway.customers)

    def customer_states(self, names: Iterable[str]) -> list[CustomerState]:
        return self.gateway.customer_states(self.clock(), names)

    def shared_state(self) -> SharedState:
        endpoints = [state.info for state in self.gateway.cluster.endpoints.by_id.values()]
        return SharedState(
            self.gateway.handover_state(self.clock(), customers=False),
            EndpointList(7, True, tuple(endpoints), {endpoint.id: ("127.0.0.1", 1) for endpoint in endpoints}),
        )

    def persistence_changed(self, enabled: bool) -> None:
        self.gateway.handle(self.clock(), ProcessGroupChanged(0, usage_persisted=enabled))

    def spend(self, customer: str = "c") -> None:
        """Send a request if it is admitted; its usage is written to the checkpoint first."""
        self.request_count += 1
        request = RequestReceived(f"r{self.request_count}", "read", "basic", customer, 4.0, gateway_count=2)
        for action in self.gateway.handle(self.clock(), request):
            if isinstance(action, ShareUsage):
                self.checkpoint_writer.record_usage(action.usage)
            if isinstance(action, StartAttempt):
                self.gateway.handle(
                    self.clock(), AttemptEnded(action.request_id, 0, action.endpoint_id, Outcome.OK, 0.001, True)
                )

    def level(self, customer: str = "c") -> float:
        quota = self.gateway.quotas.get(self.clock(), customer, self.gateway.plans["basic"], 2)
        return quota.slice.level

    def die(self) -> None:
        """Close the descriptors, as the system does after a SIGKILL; this releases the lock."""
        for descriptor in (self.checkpoint_writer.log_descriptor, self.checkpoint_writer.lock_descriptor):
            if descriptor >= 0:
                os.close(descriptor)


def test_the_next_process_has_the_remaining_quota_and_no_second_burst(tmp_path: Path) -> None:
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
        assert two.recovered.summary.startswith("2 customers and 4 servers, with 1 records")
        assert [round(two.level(name), 2) for name in "cde"] == [
            FULL_SLICE_UNITS - 3,
            FULL_SLICE_UNITS - 1,
            FULL_SLICE_UNITS,
        ]
        two.spend()  # and again before its first snapshot
        two.die()
        three = Process(tmp_path)
        assert round(three.level(), 2) == FULL_SLICE_UNITS - 4
        three.spend()
        await three.checkpoint_writer.close(clean=True)
        four = Process(tmp_path)
        assert "after a clean shutdown" in four.recovered.summary and round(four.level(), 2) == FULL_SLICE_UNITS - 5
        four.die()

    run_async(body())


def test_buckets_refill_while_no_process_runs_and_no_ceiling_is_raised(tmp_path: Path) -> None:
    plan = replace(BASIC_PLAN, rate=2.0, burst=8.0, ceiling_rate=0.5, ceiling_burst=4.0)
    settings = replace(SETTINGS, plans=(plan,))

    async def body() -> None:
        one = Process(tmp_path, settings)
        # As if the customer had been unseen until its ceiling was full.
        one.gateway.quotas.unseen_ceilings["basic"].level = 4.0
        for _ in range(2):
            one.spend()
        await one.checkpoint_writer.snapshot()
        one.die()
        clocks = read_clocks(one.clock())
        found = recover(
            one.checkpoint_writer.files, replace(clocks, since_boot=clocks.since_boot + 1.0, now=clocks.now + 1.0)
        )
        [customer] = recovered_state(found, clocks.now + 1.0, settings).customers
        assert 3.9 < customer.slice_level < 4.2  # 5, less two, and one in a second
        assert 0.2 < customer.ceiling_level < 0.35  # 2, less two, and a quarter

    run_async(body())


def run_process(body: Callable[[Path], Awaitable[Process]], folder: Path) -> tuple[Process, CheckpointFiles]:
    """Run a coroutine in a new event loop; return the process that it returns, and its files."""
    processes: list[Process] = []

    async def run_body() -> None:
        processes.append(await body(folder))

    uvloop.run(run_body())
    return processes[0], processes[0].checkpoint_writer.files


async def write_history(folder: Path) -> Process:
    """Write a snapshot with three customers and two records after it, and kill the process."""
    one = Process(folder)
    for name in "abc":
        one.spend(name)
    await one.checkpoint_writer.snapshot()
    one.spend("a")
    one.spend("b")
    one.die()
    return one


EXPECTED_LEVELS = {"a": FULL_SLICE_UNITS - 2, "b": FULL_SLICE_UNITS - 2, "c": FULL_SLICE_UNITS - 1}


def refused(found: RecoveredState) -> bool:
    """Report whether the checkpoint was not used, so that buckets start empty."""
    return len(found.events) == 1 and isinstance(found.events[0][1], UsageUnknown)


def recovered_state(found: RecoveredState, now: float, settings: Settings = SLOW_REFILL_SETTINGS) -> HandoverState:
    """Return the state of a decision module to which the recovered events were passed."""
    gateway = Gateway(settings, 1)
    for at, event in found.events:
        gateway.handle(at, event)
    return gateway.handover_state(now)


def recovery_result(found: RecoveredState) -> str:
    """Return "recovered" if the levels are exact, "refused" if the checkpoint was not used; fail otherwise."""
    if refused(found):
        return "refused"
    customers = recovered_state(found, found.events[-1][0]).customers
    assert {customer.customer: round(customer.slice_level, 2) for customer in customers} == EXPECTED_LEVELS
    return "recovered"


def test_a_flipped_bit_or_a_truncation_anywhere_is_detected_and_reported(tmp_path: Path) -> None:
    one, files = run_process(write_history, tmp_path / "kept")
    clocks = read_clocks(one.clock())
    copies = tmp_path / "copies"
    shutil.copytree(files.directory, copies)
    damaged_count = 0
    assert recovery_result(recover(files, clocks)) == "recovered"
    for path in (files.snapshot, files.token, files.log_path(2)):
        data = path.read_bytes()
        for offset in range(len(data)):
            flipped = data[:offset] + bytes([data[offset] ^ 1 << offset % 8]) + data[offset + 1 :]
            for damaged in (flipped, data[:offset]):
                path.write_bytes(damaged)
                found = recover(files, clocks)
                # A log truncated between two lines equals the log of a shorter history. A kill cannot truncate a log,
                # since what was written stays, and a loss of power is detected by the new boot id.
                is_valid = path == files.log_path(2) and damaged.endswith(b"\n") and data.startswith(damaged)
                if not is_valid:
                    assert found.damaged and recovery_result(found) == "refused" and str(path.name) in found.summary, (
                        path,
                        offset,
                    )
                damaged_count += 1
                shutil.rmtree(files.directory)
                shutil.copytree(copies, files.directory)
    assert damaged_count > 3000


@pytest.mark.parametrize("missing", ["snapshot", "token", "log-2"])
def test_a_missing_file_is_reported_and_buckets_start_empty(tmp_path: Path, missing: str) -> None:
    one, files = run_process(write_history, tmp_path)
    (tmp_path / f"n0.{missing}").unlink()
    found = recover(files, read_clocks(one.clock()))
    if missing == "log-2":  # the first log after the snapshot
        assert recovery_result(found) == "refused"
    assert recovery_result(found) == "refused" and f"n0.{missing}" in found.summary
    assert not files.snapshot.exists()  # the remaining files cannot mislead the next start


def test_buckets_start_empty_after_a_process_that_never_wrote_a_snapshot(tmp_path: Path) -> None:
    async def body() -> None:
        one = Process(tmp_path)
        assert one.recovered.summary == "no earlier checkpoint exists" and not one.recovered.events
        for _ in range(5):
            one.spend()
        one.die()
        two = Process(tmp_path)
        assert "n0.snapshot: the file is missing" in two.recovered.summary
        assert two.level("c") < 0.1 and two.level("unseen") < 0.1

    run_async(body())


def test_after_a_reboot_buckets_contain_what_has_refilled_since(tmp_path: Path) -> None:
    one, files = run_process(write_history, tmp_path)
    clocks = ClockReadings("another", 40.0, one.clock() + 60.0)
    found = recover(files, clocks)
    assert found.events == ((clocks.now, UsageUnknown(clocks.now - 40.0)),)
    assert found.endpoint_list and found.endpoint_list.version == 7
    gateway = Gateway(replace(SLOW_REFILL_SETTINGS, plans=(replace(BASIC_PLAN, rate=0.1, burst=8.0),)), 1)
    gateway.handle(*found.events[0])
    quota = gateway.quotas.get(clocks.now, "a", gateway.plans["basic"], 2)
    assert abs(quota.slice.level - 2.0) < 1e-6  # 0.05 a second for 40 s, though the burst was spent
    assert gateway.quotas.get(clocks.now + 1000.0, "z", gateway.plans["basic"], 2).slice.level == FULL_SLICE_UNITS


def test_buckets_start_empty_if_the_last_record_is_old(tmp_path: Path) -> None:
    one, files = run_process(write_history, tmp_path)
    clocks = read_clocks(one.clock())
    found = recover(
        files, replace(clocks, since_boot=clocks.since_boot + MAX_LOG_AGE_S + 1, now=clocks.now + MAX_LOG_AGE_S + 1)
    )
    assert recovery_result(found) == "refused" and "the last record is 6" in found.summary and not found.damaged


def test_a_changed_unix_clock_refills_nothing_and_shifts_the_restored_times(tmp_path: Path) -> None:
    async def write_ejection(folder: Path) -> Process:
        one = Process(folder)
        health = one.gateway.cluster.endpoints.by_id["b1"].health
        while not one.gateway.cluster.outliers.ejected_count:
            one.gateway.cluster.outliers.record_failure(health, one.clock(), Outcome.ERROR)
        one.spend()
        await one.checkpoint_writer.snapshot()
        one.die()
        return one

    one, files = run_process(write_ejection, tmp_path)
    clocks = read_clocks(one.clock())
    health = one.gateway.cluster.endpoints.by_id["b1"].health
    for shift in (-7200.0, 7200.0):
        state = recovered_state(recover(files, replace(clocks, now=clocks.now + shift)), clocks.now + shift)
        [customer] = state.customers
        assert round(customer.slice_level, 2) == FULL_SLICE_UNITS - 1
        [ejected_until] = [
            endpoint.health.ejected_until for endpoint in state.endpoints if endpoint.id == "b1" and endpoint.health
        ]
        assert abs(ejected_until - health.ejected_until - shift) < 0.1


def test_an_old_copy_of_a_snapshot_is_refused(tmp_path: Path) -> None:
    async def restore_old_copy(folder: Path) -> Process:
        one = Process(folder)
        one.spend()
        await one.checkpoint_writer.close(clean=True)
        shutil.copy(one.checkpoint_writer.files.snapshot, folder / "copy")
        two = Process(folder)
        two.spend()
        await two.checkpoint_writer.close(clean=True)
        shutil.copy(folder / "copy", two.checkpoint_writer.files.snapshot)
        return two

    two, files = run_process(restore_old_copy, tmp_path)
    found = recover(files, read_clocks(two.clock()))
    assert recovery_result(found) == "refused" and "not the snapshot that was written last" in found.summary


def test_a_later_format_version_is_renamed_and_not_read(tmp_path: Path) -> None:
    one, files = run_process(write_history, tmp_path)
    header, *rest = files.snapshot.read_bytes().split(b"\n")
    source = json.loads(header[9:]) | {"form": 2}
    body = b"\n".join([encode_line(source)[:-1], *rest[:-2]]) + b"\n"
    files.snapshot.write_bytes(body + encode_line({"sealed": hashlib.sha256(body).hexdigest(), "lines": 2}))
    found = recover(files, read_clocks(one.clock()))
    assert recovery_result(found) == "refused" and "format version 2 of ingress 'n0'" in found.summary
    assert [p for p in tmp_path.iterdir() if p.name.startswith("n0.snapshot.damaged-")]


PATCHED_CALLS = ("write", "fsync", "rename", "open", "unlink")


class FaultInjector:
    """Replaces functions of the module os, so that one call fails or ends the process."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, at: int, fault: Callable[[], BaseException]) -> None:
        self.call_count = 0
        self.faulty_call = at
        self.fault = fault
        self.enabled = False
        for name in PATCHED_CALLS:
            monkeypatch.setattr(os, name, self._wrapped(name, getattr(os, name)))

    def _wrapped(self, name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any, **more: Any) -> Any:
            if self.enabled:
                self.call_count += 1
                if self.call_count == self.faulty_call:
                    if name == "write" and isinstance(self.fault(), OSError):
                        real(args[0], args[1][: len(args[1]) // 2])  # a part of the data is written
                    raise self.fault()
            return real(*args, **more)

        return call


def run_with_fault(
    monkeypatch: pytest.MonkeyPatch, folder: Path, at: int, fault: Callable[[], BaseException]
) -> tuple[int, dict[str, float], RecoveredState]:
    """Run a process whose call number `at` fails; with 0, none does.

    Returns:
        The number of calls, the levels after the requests that were sent for certain, and the recovered state.
    """
    injector = FaultInjector(monkeypatch, at, fault)
    levels: dict[str, float] = {}

    async def body() -> None:
        one = Process(folder)

        def spend(name: str) -> None:
            one.spend(name)
            levels[name] = one.level(name)

        spend("a")
        injector.enabled = True
        try:
            for _ in range(3):
                with contextlib.suppress(OSError):
                    await one.checkpoint_writer.snapshot()
                spend("a")
                spend("b")
        except Killed:
            pass
        injector.enabled = False
        one.die()

    uvloop.run(body())
    monkeypatch.undo()
    return injector.call_count, levels, recover(CheckpointFiles(folder, "n0"), read_clocks(unix_clock()()))


@pytest.mark.parametrize(
    "fault",
    [
        Killed,
        lambda: OSError(28, "No space left on device", "disk"),
        lambda: OSError(30, "Read-only file system", "disk"),
    ],
)
def test_after_a_kill_or_a_disk_failure_at_any_call_no_unit_is_spent_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fault: Callable[[], BaseException]
) -> None:
    call_count, _, _ = run_with_fault(monkeypatch, tmp_path / "complete", 0, Killed)
    assert call_count > 40
    results = {"recovered": 0, "refused": 0}
    for at in range(1, call_count + 1):
        _, expected_levels, found = run_with_fault(monkeypatch, tmp_path / str(at), at, fault)
        if not refused(found):
            customers = recovered_state(found, unix_clock()()).customers
            levels = {customer.customer: customer.slice_level for customer in customers}
            for name, level in expected_levels.items():
                # After a kill while a record was written, its request was not sent, but it may count as spent.
                assert levels[name] <= level + 0.01, (at, name)
                assert levels[name] >= level - 1.01
        results["refused" if refused(found) else "recovered"] += 1
    assert results["recovered"] > call_count // 2


def test_a_clean_shutdown_during_a_snapshot_leaves_a_complete_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The shutdown cancelled the task of a snapshot, whose thread continued while the final snapshot was written."""

    async def body() -> None:
        one = Process(tmp_path, interval_s=0.0)
        one.spend()
        replace_file = one.checkpoint_writer.files.replace_file
        begun = threading.Event()
        written = threading.Event()

        def replace_file_slowly(path: Path, chunks: Iterable[bytes]) -> None:
            is_first = not begun.is_set()
            begun.set()
            if is_first:
                time.sleep(0.3)
            replace_file(path, chunks)
            if is_first:
                written.set()

        monkeypatch.setattr(one.checkpoint_writer.files, "replace_file", replace_file_slowly)
        one.checkpoint_writer.start()
        await wait_until(begun.is_set)
        one.spend()
        await one.checkpoint_writer.close(clean=True)
        await wait_until(written.is_set)
        two = Process(tmp_path)
        assert "after a clean shutdown" in two.recovered.summary and round(two.level(), 2) == FULL_SLICE_UNITS - 2
        two.die()

    run_async(body())


def test_one_process_writes_and_the_other_waits_for_the_lock(tmp_path: Path) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            settings = config(
                *(endpoint_entry(peer.address, f"s{n}") for n in range(4)),
                settings=SMALL_BURST_SETTINGS,
                checkpoint={"folder": str(tmp_path), "every_s": 0.1},
            )
            # Both have the same name by mistake, and there is no link between them.
            first, second = Ingress(settings), Ingress(settings)
            stops = asyncio.Event(), asyncio.Event()
            tasks = [asyncio.create_task(first.run(stops[0]))]
            await wait_until(lambda: first.checkpoint_writer and first.checkpoint_writer.snapshots_written)
            tasks.append(asyncio.create_task(second.run(stops[1])))
            await wait_until(lambda: second.checkpoint_writer and second.checkpoint_writer.task)
            caller = await RespClient.connect(second.clients.listening_socket.getsockname())
            assert await caller.request(command()) == b"00000000000000aa"
            assert (
                second.checkpoint_writer
                and second.checkpoint_writer.lock_descriptor < 0
                and not second.recovery.persisting
            )
            stops[0].set()
            await tasks[0]
            await wait_until(lambda: second.checkpoint_writer and second.checkpoint_writer.snapshots_written)
            assert second.recovery.persisting
            stops[1].set()
            await tasks[1]
            [lock] = tmp_path.glob("*.lock")
            assert recover(second.checkpoint_writer.files, read_clocks(second.clock())).summary.startswith(
                "1 customers"
            ), lock

    run_async(body())


def test_a_failing_disk_is_counted_and_requests_continue(tmp_path: Path) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            ingress = Ingress(
                config(
                    *(endpoint_entry(peer.address, f"s{n}") for n in range(4)),
                    settings=SMALL_BURST_SETTINGS,
                    checkpoint={"folder": str(tmp_path), "every_s": 0.1},
                )
            )
            stop = asyncio.Event()
            task = asyncio.create_task(ingress.run(stop))
            await wait_until(lambda: ingress.checkpoint_writer and ingress.checkpoint_writer.snapshots_written)
            assert ingress.checkpoint_writer
            os.close(ingress.checkpoint_writer.log_descriptor)  # the disk fails
            ingress.checkpoint_writer.log_descriptor = os.open("/dev/full", os.O_WRONLY)
            caller = await RespClient.connect(ingress.clients.listening_socket.getsockname())
            assert await caller.request(command()) == b"00000000000000aa"
            assert (
                ingress.checkpoint_writer.failure_count == 1 and not ingress.checkpoint_writer.files.snapshot.exists()
            )
            before = ingress.checkpoint_writer.snapshots_written
            await wait_until(
                lambda: ingress.checkpoint_writer and ingress.checkpoint_writer.snapshots_written > before
            )  # the disk works again
            assert await caller.request(command()) == b"00000000000000aa"
            assert ingress.checkpoint_writer.records_written >= 1 and ingress.recovery.persisting
            stop.set()
            await task
            assert recover(ingress.checkpoint_writer.files, read_clocks(ingress.clock())).summary.startswith(
                "1 customers"
            )

    run_async(body())


def test_a_killed_real_process_leaves_no_second_burst(tmp_path: Path) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            checkpoint_config = {"folder": str(tmp_path / "kept"), "every_s": 0.2}
            for checkpoint, expected in ((None, [True] * 4), (checkpoint_config, [False] * 4)):
                folder = tmp_path / str(bool(checkpoint))
                folder.mkdir()
                options = {"checkpoint": checkpoint} if checkpoint else {}
                processes = IngressProcesses(folder, peer, settings=SMALL_BURST_SETTINGS, **options)
                child, control = await processes.start()
                caller = await RespClient.connect(processes.address)
                assert [await caller.request(command(str(n))) for n in range(4)] == [b"0", b"1", b"2", b"3"]
                while checkpoint and not re.search(
                    r"checkpoint\.snapshots:[1-9]", await admin_call(control, "show-stat")
                ):
                    await asyncio.sleep(0.02)  # a process killed before its first snapshot leaves no usable checkpoint
                child.send_signal(signal.SIGKILL)
                await child.wait()
                child, control = await processes.start()
                caller = await RespClient.connect(processes.address)
                answers = [await caller.request(command(str(n))) for n in range(4)]
                assert [isinstance(answer, bytes) for answer in answers] == expected
                if checkpoint:  # other customers have their quota
                    assert await caller.request(command("x", customer=8)) == b"x"
                    metrics = await admin_call(control, "show-stat")
                    assert "checkpoint.on:1|" in metrics

    run_async(body())


def test_after_an_upgrade_the_new_process_writes_the_checkpoint(tmp_path: Path) -> None:
    async def body() -> None:
        async with fake_endpoint() as peer:
            checkpoint = {"folder": str(tmp_path / "kept"), "every_s": 0.2}
            processes = IngressProcesses(tmp_path, peer, settings=SMALL_BURST_SETTINGS, checkpoint=checkpoint)
            old, _ = await processes.start()
            caller = await RespClient.connect(processes.address)
            assert await caller.request(command("1")) == b"1"
            new, control = await processes.start()
            caller = await RespClient.connect(processes.address)
            # The new process sends this request; the old one receives the usage and writes it.
            assert await caller.request(command("2")) == b"2"
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            while not re.search(r"checkpoint\.snapshots:[1-9]", await admin_call(control, "show-stat")):
                await asyncio.sleep(0.02)  # until then the checkpoint is that of the old process
            assert await caller.request(command("3")) == b"3"
            new.send_signal(signal.SIGKILL)
            await new.wait()
            await processes.start()
            caller = await RespClient.connect(processes.address)
            answers = [await caller.request(command(str(n))) for n in range(3)]
            assert [isinstance(answer, bytes) for answer in answers] == [True, False, False]

    run_async(body())


def test_the_checkpoint_configuration_is_checked() -> None:
    for invalid, key in (
        ({"folder": "kept"}, "checkpoint.folder"),
        ({"every_s": 1}, "checkpoint.folder"),
        ({"folder": "/kept", "every_s": 0}, "checkpoint.every_s"),
    ):
        with pytest.raises(ConfigError, match=key.replace(".", r"\.")):
            config(checkpoint=invalid)
    assert config(checkpoint={"folder": "/kept"}).checkpoint == CheckpointConfig("/kept", 5.0)
    assert config().checkpoint is None
