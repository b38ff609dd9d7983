"""The format of a checkpoint's files.

Each line of a file consists of a CRC-32 checksum, a blank and JSON. The keys and the order of the fields never change
within a format version.

- A snapshot has a header, lines with the states of customers, and a seal with a digest of all lines before it.
- A log has a header and a record for each usage. A record without usage is a heartbeat: it shows that the process was
  alive at that time.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from hashlib import sha256
from pathlib import Path
from typing import Any
from zlib import crc32

from msgspec import Struct
from msgspec.structs import astuple

from ingress.checkpoint.errors import CheckpointDamagedError
from ingress.checkpoint.source import SharedState
from ingress.decisions.handover_state import CustomerState, HandoverState, QuotaUsage
from ingress.discovery.client import EndpointList
from ingress.process_group.handover_messages import (
    read_endpoint_list,
    read_handover_state,
    write_endpoint_list,
    write_handover_state,
)

FORMAT_VERSION = 1
CHECKSUM_PREFIX_BYTES = 9  # the checksum of a line and the blank after it
# Positions in a log record. A heartbeat has only the first two fields; a record of usage has more.
RECORD_NUMBER_INDEX = 0
WRITTEN_AT_INDEX = 1
CUSTOMER_INDEX = 2
HEARTBEAT_FIELD_COUNT = 2
MIN_SNAPSHOT_LINES = 2  # the header and the seal
OPEN_ATTEMPTS_INDEX = CustomerState.__struct_fields__.index("open_attempts")


def encode_line(source: Any) -> bytes:
    """Encode one line of a file."""
    text = json.dumps(source, separators=(",", ":")).encode()
    return b"%08x %b\n" % (crc32(text), text)


def decode_lines(path: Path, data: bytes) -> Iterator[tuple[int, Any]]:
    """Yield the content of each line with its number, counted from 1.

    Raises:
        CheckpointDamagedError: A line has a wrong checksum or is incomplete.
        ValueError: A line with a correct checksum does not contain JSON.
    """
    *texts, remainder = data.split(b"\n")
    for number, text in enumerate(texts, 1):
        body = text[CHECKSUM_PREFIX_BYTES:]
        if len(text) < CHECKSUM_PREFIX_BYTES or text[:CHECKSUM_PREFIX_BYTES] != b"%08x " % crc32(body):
            raise CheckpointDamagedError(f"{path}: line {number} does not match its checksum")
        yield number, json.loads(body)
    if remainder:
        raise CheckpointDamagedError(f"{path}: line {len(texts) + 1} is incomplete: it does not end with a newline")


class SnapshotHeader(Struct, frozen=True):
    """The first line of a snapshot, without the shared state that the line also contains.

    Attributes:
        name: The name of the ingress.
        token: The random token of the snapshot, which the token file contains too.
        first_log: The number of the first log that follows the snapshot.
        last_record: The number of the last record before that log.
        boot_id: The id of the boot during which the snapshot was written.
        written_at: The time at which the snapshot was written, in seconds since boot.
        clock_offset: The time of the decision module's clock minus the time since boot, in seconds.
        clean: True if the snapshot was written at the end of a clean shutdown, after which nothing was spent.
    """

    name: str
    token: str
    first_log: int
    last_record: int
    boot_id: str
    written_at: float
    clock_offset: float
    clean: bool

    def encode(self, shared: SharedState) -> bytes:
        """Encode the header line, together with the shared state."""
        return encode_line(
            {
                "form": FORMAT_VERSION,
                "name": self.name,
                "token": self.token,
                "log": self.first_log,
                "count": self.last_record,
                "boot_id": self.boot_id,
                "at": self.written_at,
                "offset": self.clock_offset,
                "clean": self.clean,
                "servers": self.last_record,
                "estate": write_handover_state(shared.state),
                "list": write_endpoint_list(shared.endpoint_list),
            }
        )


class Snapshot(Struct, frozen=True):
    """A decoded snapshot.

    Attributes:
        header: The header.
        state: The state of the decision module.
        endpoint_list: The endpoints and their addresses.
        last_records: The number of the last record that the customer's buckets include, by customer.
        last_work_record: The number of the last record that the endpoints' slow start budgets include.
    """

    header: SnapshotHeader
    state: HandoverState
    endpoint_list: EndpointList
    last_records: Mapping[str, int]
    last_work_record: int


def encode_customers(last_record: int, states: Iterable[CustomerState]) -> bytes:
    """Encode a line with the states of some customers.

    Args:
        last_record: The number of the last record that the states include.
        states: The states of the customers.
    """
    return encode_line([[last_record, *astuple(state)] for state in states])


def seal_snapshot(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the lines and then the seal, which contains their number and digest."""
    digest = sha256()
    count = 0
    for line in lines:
        digest.update(line)
        count += 1
        yield line
    yield encode_line({"sealed": digest.hexdigest(), "lines": count})


def decode_snapshot(path: Path, data: bytes, name: str) -> Snapshot:
    """Decode a snapshot of the ingress `name`.

    Raises:
        CheckpointDamagedError: The snapshot is damaged, has another format version or belongs to another ingress.
        KeyError: A key is missing.
        TypeError: A value has the wrong type.
        ValueError: A value is out of range.
    """
    header, *customer_lines = _unseal(path, data)
    if header.get("form") != FORMAT_VERSION or header.get("name") != name:
        found = f"format version {header.get('form')!r} of ingress {header.get('name')!r}"
        expected = f"format version {FORMAT_VERSION} of ingress {name!r}"
        raise CheckpointDamagedError(f"{path}: the snapshot has {found}; expected {expected}")
    customers = []
    last_records = {}
    for last_record, *fields in (customer for line in customer_lines for customer in line):
        fields[OPEN_ATTEMPTS_INDEX] = 0  # the attempts ended with the process
        customers.append(fields)
        last_records[fields[0]] = last_record
    return Snapshot(
        header=_read_header(header),
        state=read_handover_state(dict(header["estate"]) | {"customers": customers, "draining": False}),
        endpoint_list=read_endpoint_list(header["list"]),
        last_records=last_records,
        last_work_record=int(header["servers"]),
    )


def _unseal(path: Path, data: bytes) -> list[Any]:
    """Verify the seal of a snapshot, and return all lines before it."""
    lines = [source for _, source in decode_lines(path, data)]
    body = data[: data.rstrip(b"\n").rfind(b"\n") + 1]
    seal = {"sealed": sha256(body).hexdigest(), "lines": len(lines) - 1}
    if len(lines) < MIN_SNAPSHOT_LINES or lines[-1] != seal:
        raise CheckpointDamagedError(f"{path}: the snapshot is incomplete: its last line is not the seal of all others")
    return lines[:-1]


def _read_header(header: Mapping[str, Any]) -> SnapshotHeader:
    return SnapshotHeader(
        name=header["name"],
        token=header["token"],
        first_log=int(header["log"]),
        last_record=int(header["count"]),
        boot_id=header["boot_id"],
        written_at=float(header["at"]),
        clock_offset=float(header["offset"]),
        clean=bool(header["clean"]),
    )


def log_header(number: int, token: str | None, last_record: int) -> dict[str, Any]:
    """Return the first line of a log, before encoding.

    Args:
        number: The number of the log.
        token: The token of the snapshot that the log follows.
        last_record: The number of the last record before the log.
    """
    return {"form": FORMAT_VERSION, "log": number, "token": token, "count": last_record}


def encode_heartbeat(last_record: int, written_at: float) -> bytes:
    """Encode a log record without usage, which shows that the process was alive at that time."""
    return encode_line([last_record, written_at])


class UsageRecord(Struct, frozen=True):
    """A log record with usage.

    Attributes:
        number: The number of the record, one higher than that of the previous record with usage.
        written_at: The time at which the record was written, in seconds since boot.
        usage: The usage; its change of the attempts in flight is not stored.
    """

    number: int
    written_at: float
    usage: QuotaUsage

    def encode(self) -> bytes:
        """Encode the line."""
        usage = self.usage
        return encode_line(
            [
                self.number,
                self.written_at,
                usage.customer,
                usage.plan,
                usage.gateway_count,
                usage.units,
                usage.within_quota,
                usage.endpoint_id,
                usage.slow_start_work,
            ]
        )


def read_usage_record(fields: Sequence[Any]) -> UsageRecord:
    """Decode a log record with usage.

    Raises:
        TypeError: The record is not a list, or its time has the wrong type.
        ValueError: There are too many or too few fields, or the time is not a number.
    """
    number, written_at, customer, plan, gateway_count, units, within_quota, endpoint_id, work = fields
    usage = QuotaUsage(
        customer=customer,
        plan=plan,
        gateway_count=gateway_count,
        units=units,
        within_quota=bool(within_quota),
        endpoint_id=endpoint_id,
        slow_start_work=work,
    )
    return UsageRecord(number, float(written_at), usage)
