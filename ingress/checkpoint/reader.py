"""Reads the checkpoint of an ended process, and determines which part of it is still valid.

Files that are damaged or inconsistent are not used but renamed. The usage is unknown then, so the buckets start with
only what has refilled since the last moment at which quota may have been spent.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from msgspec import Struct, field
from msgspec.structs import replace

from ingress.checkpoint.clock_readings import ClockReadings
from ingress.checkpoint.errors import CheckpointDamagedError
from ingress.checkpoint.files import CheckpointFiles
from ingress.checkpoint.format import (
    CUSTOMER_INDEX,
    HEARTBEAT_FIELD_COUNT,
    RECORD_NUMBER_INDEX,
    WRITTEN_AT_INDEX,
    Snapshot,
    SnapshotHeader,
    decode_lines,
    decode_snapshot,
    log_header,
    read_usage_record,
)
from ingress.decisions.events import EndpointListKind, EndpointsChanged, Event, UsageUnknown
from ingress.decisions.handover_state import EndpointState, HandoverState
from ingress.discovery.client import EndpointList

MAX_CLOCK_ERROR_S = 1.0  # the last record may appear to lie in the future by up to this time
MAX_LOG_AGE_S = 5.0  # a log whose last record is older may be incomplete; covers the time that a start may take
MAX_HEALTH_AGE_S = 60.0  # the state of endpoints in an older checkpoint is outdated and not restored
READ_ERRORS = (CheckpointDamagedError, ValueError, KeyError, TypeError, IndexError, AttributeError, OverflowError)


class RecoveredState(Struct, frozen=True):
    """The state with which a process starts.

    Attributes:
        summary: The outcome of the recovery, for the log.
        events: The events for the decision module, in this order, each with its time by the module's clock.
        endpoint_list: The endpoints and their addresses; None if they are unknown.
        next_log: The number for the next log.
        last_record: The number of the last record.
        damaged: True if a file was damaged.
    """

    summary: str
    events: tuple[tuple[float, Event], ...] = ()
    endpoint_list: EndpointList | None = None
    next_log: int = 0
    last_record: int = 0
    damaged: bool = False


class LogContents(Struct):
    """The contents of the logs that follow a snapshot.

    Attributes:
        last_record: The number of the last record.
        last_written_at: The time at which the last line was written, in seconds since boot.
        records: The records with usage, not yet decoded.
    """

    last_record: int
    last_written_at: float
    records: list[list[Any]] = field(default_factory=list)


def recover(files: CheckpointFiles, clocks: ClockReadings) -> RecoveredState:
    """Read the checkpoint of an ended process; rename its files if they cannot be used, with the reason in the summary.

    Raises:
        OSError: The folder cannot be read or written.
    """
    if not files.token.exists() and not files.snapshot.exists():
        return RecoveredState("no earlier checkpoint exists", next_log=files.last_log_number() + 1)
    try:
        return _recover(files, clocks)
    except FileNotFoundError as error:
        reason = f"{error.filename}: the file is missing"
        damaged = False
    except READ_ERRORS as error:
        is_explained = isinstance(error, CheckpointDamagedError)
        reason = str(error) if is_explained else f"{files.snapshot}: {type(error).__name__}: {error}"
        damaged = True
    last_log = files.last_log_number()
    suffix = files.set_aside()
    return RecoveredState(
        f"{reason}; the files of the checkpoint are renamed to *.{suffix}, and buckets start empty",
        ((clocks.now, UsageUnknown(clocks.now)),),
        next_log=last_log + 1,
        damaged=damaged,
    )


def _recover(files: CheckpointFiles, clocks: ClockReadings) -> RecoveredState:
    snapshot = decode_snapshot(files.snapshot, files.snapshot.read_bytes(), files.name)
    header = snapshot.header
    if header.token not in files.read_tokens():
        raise CheckpointDamagedError(
            f"{files.snapshot}: not the snapshot that was written last: {files.token.name} does not contain its token"
        )
    last_log = max(header.first_log, files.last_log_number())
    contents = LogContents(header.last_record, header.written_at)
    for number in range(header.first_log, last_log + 1):
        _read_log(files, number, header, contents)
    found = RecoveredState(
        "", endpoint_list=snapshot.endpoint_list, next_log=last_log + 1, last_record=contents.last_record
    )
    same_boot = header.boot_id == clocks.boot_id
    clean = header.clean and not contents.records
    offset = clocks.now - clocks.since_boot if same_boot else header.clock_offset
    age = clocks.now - (contents.last_written_at + offset)
    if not clean and not same_boot:
        # The process that wrote the checkpoint cannot have spent anything after the machine went down.
        summary = f"the machine booted {clocks.since_boot:.1f} s ago: buckets contain only what has refilled since then"
        return replace(found, summary=summary, events=((clocks.now, UsageUnknown(clocks.now - clocks.since_boot)),))
    if not clean and not -MAX_CLOCK_ERROR_S <= age <= MAX_LOG_AGE_S:
        limits = f"{-MAX_CLOCK_ERROR_S} to {MAX_LOG_AGE_S} s"
        summary = f"{files.snapshot}: the last record is {age:.1f} s old, expected {limits}: buckets start empty"
        return replace(found, summary=summary, events=((clocks.now, UsageUnknown(clocks.now)),))
    state = _shifted(snapshot.state, offset - header.clock_offset)
    if age > MAX_HEALTH_AGE_S:
        state = replace(state, endpoints=())
    started_at = min(header.written_at + offset, clocks.now)  # the Unix clock may have been set back
    endpoints = EndpointsChanged(EndpointListKind.RESTORED, snapshot.endpoint_list.endpoints)
    usage = tuple(_usage_events(snapshot, contents, offset))
    end = "after a clean shutdown" if clean else f"with {len(contents.records)} records"
    return replace(
        found,
        summary=f"{_summary(state, contents)}, {end}, {max(0.0, age):.1f} s ago",
        events=((started_at, endpoints), (started_at, state), *usage),
    )


def _summary(state: HandoverState, contents: LogContents) -> str:
    customers = {customer.customer for customer in state.customers}
    customers.update(fields[CUSTOMER_INDEX] for fields in contents.records)
    return f"{len(customers)} customers and {len(state.endpoints)} servers"


def _read_log(files: CheckpointFiles, number: int, header: SnapshotHeader, contents: LogContents) -> None:
    """Read a log that follows the snapshot, and add its records to `contents`."""
    path = files.log_path(number)
    has_header = False
    for line_number, source in decode_lines(path, path.read_bytes()):
        if has_header:
            _read_record(path, line_number, source, contents)
            continue
        has_header = True
        is_expected = source == log_header(number, source.get("token"), contents.last_record)
        if not is_expected or (number == header.first_log and source["token"] != header.token):
            raise CheckpointDamagedError(
                f"{path}: its header does not follow {files.snapshot.name}:"
                f" expected log {number} after record {contents.last_record}"
            )
    if not has_header:
        raise CheckpointDamagedError(f"{path}: the file is empty; expected a log header")


def _read_record(path: Path, line_number: int, fields: list[Any], contents: LogContents) -> None:
    has_usage = len(fields) > HEARTBEAT_FIELD_COUNT
    written_at = float(fields[WRITTEN_AT_INDEX])
    record_number = fields[RECORD_NUMBER_INDEX]
    expected_number = contents.last_record + has_usage
    if record_number != expected_number:
        raise CheckpointDamagedError(
            f"{path}: line {line_number} has record number {record_number}, expected {expected_number}"
        )
    contents.last_written_at = max(contents.last_written_at, written_at)
    contents.last_record = int(record_number)
    if has_usage:
        contents.records.append(fields)


def _usage_events(snapshot: Snapshot, contents: LogContents, offset: float) -> Iterator[tuple[float, Event]]:
    """Yield the usage that the snapshot does not include yet, each with its time."""
    for fields in contents.records:
        record = read_usage_record(fields)
        last_included = snapshot.last_records.get(record.usage.customer, snapshot.header.last_record)
        usage = record.usage
        if record.number <= last_included:
            usage = replace(usage, units=0.0)
        if record.number <= snapshot.last_work_record:
            usage = replace(usage, slow_start_work=0.0)
        yield record.written_at + offset, usage


def _shifted(state: HandoverState, shift: float) -> HandoverState:
    """Return the state for a clock that is ahead by `shift` seconds.

    The start times of endpoints are not shifted, since they come from the endpoints' own clocks.
    """
    if not shift:
        return state
    known_since = state.usage_known_since
    return replace(
        state,
        started_at=state.started_at + shift,
        endpoints=tuple(_shifted_endpoint(endpoint, shift) for endpoint in state.endpoints),
        usage_known_since=None if known_since is None else known_since + shift,
    )


def _shifted_endpoint(endpoint: EndpointState, shift: float) -> EndpointState:
    health = endpoint.health
    if health is None:
        return endpoint
    shifted = replace(
        health,
        last_outcome_at=health.last_outcome_at + shift,
        ejected_until=health.ejected_until + shift,
        paused_until=health.paused_until + shift,
        healthy_since=health.healthy_since + shift,
    )
    return replace(endpoint, health=shifted)
