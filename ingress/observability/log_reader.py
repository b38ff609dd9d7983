"""Read the JSON logs of many ingresses (`EDGE_LOG=json` or `requests`) line by line, in bounded memory.

Each file belongs to one ingress, whose name is the file name up to the first dot, so that rotated and compressed files
of an ingress are read as one log.  Lines and files that can't be read are counted, and reading continues.
"""

from __future__ import annotations

import gzip
import json
import zlib
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from msgspec import Struct

from ingress.errors import IngressError
from ingress.runtime.logs import REQUEST_LOGGERS
from ingress.runtime.metrics import RequestResult

MAX_LINE_BYTES = 64 * 1024  # a longer line is malformed
MAX_UNREADABLE = 20  # unreadable files that a report names
RESULT_EVENTS = tuple(result.value for result in RequestResult)  # events of the lines that log the result of a request
ATTEMPT_EVENT = "attempt"  # event of the lines that log an attempt


class MalformedLineError(IngressError, ValueError):
    """A line is not a valid line of an ingress log."""


class LogLine(Struct, frozen=True):
    """One line of an ingress's log.

    Attributes:
        ingress: The name of the ingress that wrote the line.
        time: The time of the line (Unix time in s).
        event: The text of the line.
        fields: All fields of the line, those above included.
    """

    ingress: str
    time: float
    event: str
    fields: dict[str, Any]

    @property
    def is_request_line(self) -> bool:
        """Whether the line is one of those that `EDGE_LOG=requests` adds."""
        return self.fields.get("logger") in REQUEST_LOGGERS


class LogReader:
    """Reads log files and passes the lines within a time window to `handle_line`.

    Times are Unix time in s; `start` is inclusive, `end` exclusive.

    Attributes:
        counts: The number of lines read, outside the window and malformed, and of files that could not be read.
        first: The time of the earliest line within the window.
        last: The time of the latest line within the window.
        unreadable: The first MAX_UNREADABLE files that could not be read, each with the reason.
    """

    def __init__(self, start: float = float("-inf"), end: float = float("inf")) -> None:
        self.start = start
        self.end = end
        self.counts: Counter[str] = Counter()
        self.first = float("inf")
        self.last = float("-inf")
        self.unreadable: list[str] = []

    def handle_line(self, line: LogLine) -> None:
        """Process a line; each kind of report overrides this.

        Raises:
            KeyError: A field that is needed is missing.
            TypeError: A field has the wrong type.
            ValueError: A field has an invalid value.
        """
        raise NotImplementedError

    def read_file(self, path: Path) -> None:
        """Read a file; one that is truncated within a line or a compressed block is read up to there."""
        name = path.name.partition(".")[0]
        try:
            with gzip.open(path) if path.suffix == ".gz" else path.open("rb") as file:
                for text in _lines(file):
                    self.read_line(name, text)
        except (OSError, EOFError, zlib.error) as error:
            self.counts["files cut off or unreadable"] += 1
            self.unreadable = [*self.unreadable, f"{path}: {error}"][:MAX_UNREADABLE]

    def read_line(self, ingress: str, text: bytes | None) -> None:
        """Read one line of the log of an ingress; `text` is None for a line over MAX_LINE_BYTES."""
        try:
            line = _parse(ingress, text)
        except MalformedLineError:
            self.counts["broken lines"] += 1
            return
        if not self.start <= line.time < self.end:  # also true for a time of NaN
            self.counts["lines outside the window"] += 1
            return
        self.counts["lines"] += 1
        self.first = min(self.first, line.time)
        self.last = max(self.last, line.time)
        try:
            self.handle_line(line)
        except (KeyError, TypeError, ValueError):
            self.counts["broken lines"] += 1


def _parse(ingress: str, text: bytes | None) -> LogLine:
    try:
        fields = json.loads(text or b"")  # fails for a line over MAX_LINE_BYTES
        return LogLine(ingress, float(fields["time"]), str(fields["event"]), fields)
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError) as error:
        raise MalformedLineError(str(error)) from None


def _lines(file: Any) -> Iterator[bytes | None]:
    """Yield the lines of a file in bounded memory; None stands for a line over MAX_LINE_BYTES."""
    at_line_start = True
    while line := file.readline(MAX_LINE_BYTES):
        if at_line_start and (line.endswith(b"\n") or len(line) < MAX_LINE_BYTES):
            yield line
        elif at_line_start:
            yield None
        at_line_start = line.endswith(b"\n")


def log_files(paths: Iterable[Path]) -> list[Path]:
    """Return the given files, and all log files (`*.log*`) below the given folders, each once.

    Raises:
        FileNotFoundError: A path does not exist.
    """
    found: dict[Path, None] = {}
    for path in paths:
        if path.is_dir():
            found |= dict.fromkeys(sorted(file for file in path.rglob("*.log*") if file.is_file()))
        elif path.is_file():
            found[path] = None
        else:
            raise FileNotFoundError(f"{path}: no such file or folder")
    return list(found)


def input_as_text(counts: dict[str, int], unreadable: list[str]) -> Iterator[str]:
    """Yield lines of text on how much was read and which files could not be read."""
    yield "read: " + (", ".join(f"{count} {what}" for what, count in counts.items()) or "nothing")
    yield from (f"  {line}" for line in unreadable)
