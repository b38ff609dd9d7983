"""The golden files, which contain what an earlier build has written.

The files in `tests/golden/` never change.  When a Python name changes, only the imports and the few mappings in the
tests follow: objects are built and compared by position, so that the tests use hardly any field names.
`python -m tests.golden_files` writes the files that are missing, and keeps those that exist.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any

from msgspec import Struct
from msgspec.structs import astuple

from ingress.decisions.events import DrainRequested, EndpointsChanged, ProcessGroupChanged, UsageUnknown
from ingress.decisions.handover_state import HandoverState, QuotaUsage

GOLDEN: Path = Path(__file__).resolve().parent / "golden"
KINDS = {
    EndpointsChanged: "list",
    DrainRequested: "drain",
    HandoverState: "state",
    ProcessGroupChanged: "siblings",
    QuotaUsage: "spent",
    UsageUnknown: "unknown",
}


def plain(value: Any) -> Any:
    """Return a value as JSON types, with the fields of an object by position."""
    if isinstance(value, Struct):
        kind = [KINDS[type(value)]] if type(value) in KINDS else []
        return [*kind, *map(plain, astuple(value))]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): plain(inner) for key, inner in value.items()}
    if isinstance(value, list | tuple):
        return list(map(plain, value))
    return value


def as_json(value: Any) -> bytes:
    """Encode a value as one line of JSON."""
    return json.dumps(plain(value)).encode() + b"\n"


def golden(name: str) -> bytes:
    """Return the content of a golden file."""
    return (GOLDEN / name).read_bytes()


def golden_json(name: str) -> Any:
    """Return the decoded content of a golden JSON file."""
    return json.loads(golden(name))


def record(files: Iterable[tuple[str, bytes]]) -> None:
    """Write the files that don't exist; a file that a later one is generated from must precede it."""
    for name, data in files:
        path = GOLDEN / name
        if not path.exists():
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(data)
            print(f"written: {name}", file=sys.stderr)


if __name__ == "__main__":
    from tests.test_golden import record_processes
    from tests.test_golden_config import config_files
    from tests.test_golden_control import control_files
    from tests.test_golden_logs import log_files
    from tests.test_golden_store import record_store

    for generate in (record_processes, record_store, log_files, control_files, config_files):
        record(generate())
