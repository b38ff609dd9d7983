"""Golden files of the data that processes pass to each other: checkpoints, handovers, agreements."""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
import tempfile
from collections.abc import Callable, Coroutine, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, cast
from unittest.mock import MagicMock, patch

import pytest
from msgspec.structs import replace

from ingress.checkpoint import writer as checkpoint_writer
from ingress.checkpoint.clock_readings import ClockReadings
from ingress.checkpoint.files import CheckpointFiles
from ingress.checkpoint.reader import recover
from ingress.checkpoint.source import SharedState
from ingress.checkpoint.writer import CheckpointWriter
from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.handover_state import (
    CustomerState,
    EndpointHealthState,
    EndpointState,
    HandoverState,
    QuotaUsage,
)
from ingress.discovery.client import EndpointList
from ingress.process_group import process_group as process_group_module
from ingress.process_group.agreement import Agreement, Preparation
from ingress.process_group.handover import ReceivedHandover
from ingress.process_group.handover_messages import HandoverMessage, read_handover_message
from ingress.process_group.link import Link
from ingress.process_group.member_record import ConnectionCounts, MemberRecord
from ingress.process_group.membership import Membership
from ingress.process_group.process_group import LocalProcess, ProcessGroup
from ingress.process_group.usage_ledger import UsageLedger
from tests.golden_files import GOLDEN, as_json, golden, plain

# Fixed objects

CUSTOMERS = (
    CustomerState("0000000000000007", "basic", 2, 4.25, 1.5, 1, 0.5, 0.25),
    CustomerState("Zoë", "basic", 1, 0.1, 0.0, 0),
    CustomerState("000000000000000a", "basic", 3, -1.75, 2.0, 2, 0.0, 1.0),
)
HEALTH_STATE = EndpointHealthState(
    1699999000.5,
    3.25,
    17.0,
    0.125,
    1700000000.25,
    "ejected",
    "timed out",
    1700000030.0,
    1700000010.0,
    2,
    7.5,
    0.0,
    1,
    4,
)
ENDPOINT_STATES = (
    EndpointState("s1", 12.5, True, 0.75, 3.5, 2.0, HEALTH_STATE),
    EndpointState("s2", 4.0, False, 0.0, 0.1, 10.0),
)
ENDPOINTS = (
    Endpoint("s1", "a", "m", 1, Readiness.READY, 1.0, 1699999000.5),
    Endpoint("s2", "b", "l", 2, Readiness.DRAINING, 0.5, 1699999100.0),
    Endpoint("s3", "", "", 0, Readiness.READY, 2.0),
)
ADDRESSES = {"s1": ("10.0.0.1", 6379), "s2": ("10.0.0.2", 6380)}  # s3 has no address and is left out of messages
ENDPOINT_LIST = EndpointList(41, True, ENDPOINTS, ADDRESSES)
HANDOVER_STATE = HandoverState(
    1699999500.0,
    True,
    0.02,
    123.5,
    {"read": 0.0125, "order": 0.5},
    CUSTOMERS,
    ENDPOINT_STATES,
    {"basic": 3.5},
    1699999900.0,
)
USAGE = (
    QuotaUsage("0000000000000007", "basic", 2, 1.5, True, 1, "s2", 0.25),
    QuotaUsage("Zoë", "basic", 1, 0.5, False, 1),
    QuotaUsage("0000000000000007", "basic", 2, 0.0, False, -1),
    QuotaUsage("0000000000000007", "basic", 2, 2.0, False, 1, "s1", 0.5),
)


# Checkpoints

INGRESS = "n 0"  # encoded as n%200 in the names of its files
BOOT_ID = "3f0b3c1e-2f6d-4b6e-9d0a-7a1c5e8f9b24"
UPTIME_S = 5000.125
UNIX_TIME_S = 1700000000.25


class FixedState:
    """The state of a process, with fixed values."""

    def customer_names(self) -> list[str]:
        return [customer.customer for customer in CUSTOMERS]

    def customer_states(self, names: Iterable[str]) -> list[CustomerState]:
        return [customer for customer in CUSTOMERS if customer.customer in names]

    def shared_state(self) -> SharedState:
        return SharedState(replace(HANDOVER_STATE, customers=()), ENDPOINT_LIST)

    def persistence_changed(self, enabled: bool) -> None:
        pass


async def write_checkpoint(folder: Path, clean: bool) -> None:
    """Write two records, a snapshot, two records and a heartbeat; if `clean`, then close in good order."""
    tokens = (f"{number:016x}" for number in range(1, 9))
    with (
        patch("secrets.token_hex", lambda size: next(tokens)),
        patch("time.clock_gettime", lambda clock: UPTIME_S),
        patch.object(checkpoint_writer, "read_boot_id", lambda: BOOT_ID),
    ):
        writer = CheckpointWriter(CheckpointFiles(folder, INGRESS), 1000.0, FixedState(), lambda: UNIX_TIME_S)
        assert writer.acquire()
        writer.begin_first_log(1, 0)
        for usage in USAGE[:2]:
            writer.record_usage(usage)
        await writer.snapshot()
        for usage in USAGE[2:]:
            writer.record_usage(usage)
        writer.written_at = float("-inf")
        writer._write_heartbeat()
        await writer.close(clean)


def checkpoint_files(kind: str) -> Iterator[tuple[str, bytes]]:
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(write_checkpoint(Path(folder), kind == "clean"))
        for path in sorted(Path(folder).iterdir()):
            if path.suffix != ".lock":
                yield f"checkpoint-{kind}/{path.name}", path.read_bytes()


def recovered_state(kind: str, folder: Path, later: float = 1.5) -> bytes:
    """Return what a process reads that starts `later` seconds after the last one."""
    shutil.copytree(GOLDEN / f"checkpoint-{kind}", folder)
    # The Unix clock was advanced by 0.25 s.
    clock_readings = ClockReadings(BOOT_ID, UPTIME_S + later, UNIX_TIME_S + later + 0.25)
    _, *found = plain(recover(CheckpointFiles(folder, INGRESS), clock_readings))  # without the text for the log
    return as_json(found)


@pytest.mark.parametrize("kind", ["killed", "clean"])
def test_checkpoint(kind: str, tmp_path: Path) -> None:
    written = dict(checkpoint_files(kind))
    assert written.keys() == {f"checkpoint-{kind}/{path.name}" for path in (GOLDEN / f"checkpoint-{kind}").iterdir()}
    for name, data in written.items():
        assert data == golden(name), name
    assert recovered_state(kind, tmp_path / "kept") == golden(f"recovered-{kind}.json")


# Handover

DOCUMENT = {"name": "n0", "listen": "10.0.0.4:6379", "limits": {"sockets": 1024}}
FIVE_AND_SIX = ConnectionCounts(5, 6)
MEMBER = MemberRecord(
    "4711-99",
    4711,
    99,
    1,
    700.25,
    True,
    False,
    True,
    ConnectionCounts(3, 2),
    123456,
    ConnectionCounts(400, 380),
    {"5022-77": FIVE_AND_SIX},
)
OTHER_MEMBER = MemberRecord(
    "5022-77",
    5022,
    77,
    2,
    700.0,
    reserve=FIVE_AND_SIX,
    received={"4711-99": FIVE_AND_SIX},
    departed=("88-1",),
    build="4",
)


class FakeTransport:
    """A fake transport of a link, which collects what is written."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        pass


def process_group_of(folder: Path, me: MemberRecord, others: Sequence[MemberRecord]) -> tuple[ProcessGroup, list[Any]]:
    """Return the group of a process with fixed values around it, and the list of events that its gateway is fed."""
    clients = MagicMock()
    endpoints = MagicMock()
    memory = MagicMock()
    events: list[Any] = []
    clients.connections, endpoints.connection_count = [None] * 3, 2
    clients.listening_socket.fileno.return_value = -1
    memory.reported_use.return_value = 123456
    local = LocalProcess(
        name="n0",
        clients=clients,
        endpoints=endpoints,
        memory=memory,
        agreement=MagicMock(),
        feed=events.append,
        is_ending=lambda: False,
        is_draining=lambda: True,
        persists_usage=lambda: True,
        persist_usage=lambda usage: None,
        connection_limits=lambda: ConnectionCounts(480, 480),
        config_version=lambda: 3,
        handover_message=lambda: HandoverMessage(ENDPOINT_LIST, HANDOVER_STATE, (DOCUMENT,)),
    )
    group = ProcessGroup(local, folder / f"there-{me.name}")
    group.membership = Membership(me, ConnectionCounts(480, 480), lambda: [row.name for row in (me, *others)])
    group.ledger = UsageLedger(me.name)
    for row in others:
        group.membership.receive(row)
    return group, events


def link_of(group: ProcessGroup, **kind: bool) -> tuple[Link, FakeTransport]:
    """Return a new link to another process, and its transport, which has the first messages already."""
    assert group.links is not None
    link, transport = Link(group.links, is_newer=True, **kind), FakeTransport()
    link.connection_made(cast(asyncio.Transport, transport))
    return link, transport


async def first_message_to_successor(folder: Path) -> bytes:
    """Return the message that a successor receives first."""
    group, _ = process_group_of(folder, MEMBER, [])
    group.ledger = UsageLedger(MEMBER.name)
    group.ledger.record(USAGE[0])
    return link_of(group, is_successor=True)[1].written


async def messages_to_member(folder: Path) -> bytes:
    """Return what a process sends to another while both run, and then over a second link."""
    group, _ = process_group_of(folder, MEMBER, [OTHER_MEMBER])
    assert group.links is not None
    _, transport = link_of(group)
    for usage in USAGE:
        group.usage_spent(usage)
    group.drain_all(True, 700.125)
    group._heartbeat()
    group.close()
    return transport.written + link_of(group, is_additional=True)[1].written


async def effects_of_messages(folder: Path) -> dict[str, Any]:
    """Return the effects of the messages of `messages_to_member`: the events, and what a third process is sent."""
    group, events = process_group_of(folder, OTHER_MEMBER, [])
    link, _ = link_of(group)
    _, third = link_of(group)
    link.data_received(golden("handover-told.jsonl"))
    assert group.membership is not None
    rows = [row.to_message() for row in group.membership.others.values()]
    usage_totals = [totals.to_message() for totals in group.ledger.all_totals()]
    return {
        "fed": events,
        "rows": rows,
        "words": usage_totals,
        "name": link.name,
        "held": link.reported_usage,
        "passed": third.written.decode(),
    }


async def messages_to_predecessor(folder: Path) -> bytes:
    """Return what a process sends to its predecessor once it serves."""
    group, _ = process_group_of(folder, OTHER_MEMBER, [])
    assert group.links is not None
    one, other = socket.socketpair()
    with other:
        await group.links.open(ReceivedHandover(one, None, read_first_message("handover-first.json"), b""))
        data = await asyncio.to_thread(other.recv, 1 << 16)
        group.close()
    return data


def read_first_message(name: str) -> HandoverMessage:
    return read_handover_message(json.loads(golden(name)))


def first_message_contents(name: str) -> bytes:
    """Return what a successor reads from the first message."""
    found = read_first_message(name)
    return as_json(
        [
            found.endpoint_list,
            found.state,
            found.documents,
            [totals.to_message() for totals in found.usage_totals],
            found.member and found.member.to_message(),
        ]
    )


def form_1_message() -> bytes:
    """Return the first message in form 1, where a backend has nine fields and no health state."""
    message = json.loads(golden("handover-first.json"))
    rows = [[*row[:5], 2, 1, 1700000004.5, row[5]] for row in message["estate"]["backends"]]
    estate = {key: message["estate"][key] for key in ("born", "draining", "typical", "done", "means", "customers")}
    kept = {key: message[key] for key in ("version", "addresses", "backends")}
    return as_json({"form": 1, **kept, "estate": estate | {"backends": rows}})


def run_in_folder(made: Callable[[Path], Coroutine[Any, Any, Any]]) -> Any:
    with tempfile.TemporaryDirectory() as folder, patch.object(process_group_module, "monotonic", lambda: 700.5):
        return asyncio.run(made(Path(folder)))


def handover_files() -> Iterator[tuple[str, bytes]]:
    yield "handover-first.json", run_in_folder(first_message_to_successor)
    yield "handover-first-taken.json", first_message_contents("handover-first.json")
    yield "handover-form-1-taken.json", first_message_contents("handover-form-1.json")
    yield "handover-told.jsonl", run_in_folder(messages_to_member)
    yield "handover-heard.json", as_json(run_in_folder(effects_of_messages))
    yield "handover-serving.jsonl", run_in_folder(messages_to_predecessor)


def test_handover() -> None:
    for name, data in handover_files():
        assert data == golden(name), name


def test_first_message_is_written_back_unchanged() -> None:
    message = read_first_message("handover-first.json").to_message()
    assert b" " + json.dumps(message).encode() + b"\n" == golden("handover-first.json")


# Agreement on a change


class FakeMember:
    """A fake member of an agreement, whose configuration changes."""

    def __init__(self, predecessor: Link | None, successors: list[Link]) -> None:
        self.predecessor_link, self.successor_links, self.done = predecessor, successors, list[Any]()

    def prepare(self, document: Any) -> Preparation:
        return Preparation("listen: can't change") if document == {} else Preparation(plan=document)

    def commit(self, plan: Any, cause: str, is_revert: bool) -> None:
        self.done.append([plan, cause, is_revert])

    def previous_document(self) -> dict[str, Any]:
        return {"name": "before"}

    def predecessor(self) -> Link | None:
        return self.predecessor_link

    def successors(self) -> list[Link]:
        return self.successor_links


async def send_and_receive(
    link: Link, transport: FakeTransport, agreement: Agreement, *messages: dict[str, Any]
) -> None:
    """Receive messages from another process once it has been asked, and record them among those sent."""
    for message in messages:
        await asyncio.sleep(0.01)
        transport.written += b"> " + json.dumps(message).encode() + b"\n"
        agreement.receive(link, message)
    await asyncio.sleep(0.01)


def reply(number: int, reason: str = "") -> dict[str, Any]:
    return {"step": "reply", "token": f"n0-{number}", "reason": reason}


async def agreement_exchange() -> tuple[bytes, Any]:
    """Return both sides of the exchange, with `> ` before received messages, and the changes that were applied."""
    transport = FakeTransport()
    change = {"document": DOCUMENT, "cause": "SIGHUP"}
    link = Link(MagicMock(messages_sent=0, bytes_sent=0), is_newer=True)
    link.transport = cast(asyncio.Transport, transport)
    member = FakeMember(None, [link])
    eldest = Agreement(member, "n0")
    outcomes = []
    for document, cause, answer in (
        (DOCUMENT, "SIGHUP", reply(2)),
        (DOCUMENT, "SIGHUP", reply(4, "no")),
        (None, "revert", reply(6)),
    ):
        _, outcome = await asyncio.gather(
            send_and_receive(link, transport, eldest, answer), eldest.change(document, cause)
        )
        outcomes.append(outcome)
    asked = {"step": "propose", **change, "token": "n1-1"}
    await send_and_receive(link, transport, eldest, asked, reply(8))
    member.predecessor_link, member.successor_links = link, []
    younger = Agreement(member, "n0")
    _, outcome = await asyncio.gather(
        send_and_receive(link, transport, younger, reply(1, "not now")), younger.change(DOCUMENT, "SIGHUP")
    )
    prepare = {"step": "prepare", "document": DOCUMENT, "id": "n1-2", "token": "n1-3"}
    commit = {"step": "commit", "id": "n1-2", **change, "back": False}
    refused = prepare | {"document": {}, "id": "n1-4", "token": "n1-5"}
    await send_and_receive(link, transport, younger, prepare, commit, refused, {"step": "abort", "id": "n1-4"})
    return transport.written, [*outcomes, outcome, *member.done]


def agreement_files() -> Iterator[tuple[str, bytes]]:
    exchange, done = asyncio.run(agreement_exchange())
    yield "agreement.txt", exchange
    yield "agreement-done.json", as_json(done)


def test_agreement() -> None:
    for name, data in agreement_files():
        assert data == golden(name), name


def record_processes() -> Iterator[tuple[str, bytes]]:
    """Yield the files in an order in which each precedes those that are generated from it."""
    for kind in ("killed", "clean"):
        yield from checkpoint_files(kind)
        with tempfile.TemporaryDirectory() as folder:
            yield f"recovered-{kind}.json", recovered_state(kind, Path(folder) / "kept")
    for name, data in handover_files():
        yield name, data
        if name == "handover-first.json":
            yield "handover-form-1.json", form_1_message()
    yield from agreement_files()
