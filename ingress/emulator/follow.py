"""Follows one request through the logs of a run on real sockets: clients, ingresses and servers."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any


def request_trace(folder: Path, request_id: str) -> Iterator[str]:
    """Yield the log lines of a request from all runs below `folder`, ordered by time within each run.

    Args:
        folder: The folder with the logs of one or several runs.
        request_id: The id of one client attempt (`<request>.<number>`), or only the part before the dot to include the
            first attempt and all its retries.

    Yields:
        The folder of a run, followed by its lines with the seconds since the first of them.
    """
    for run_folder in sorted({path.parent for path in folder.rglob("*.log")}):
        lines = sorted(
            (line for path in sorted(run_folder.glob("*.log")) for line in _lines(path, request_id)),
            key=lambda line: (line["time"], line["id"]),
        )
        if lines:
            yield f"{run_folder.relative_to(folder)}:"
            started_at = lines[0]["time"]
            for line in lines:
                fields = " ".join(
                    f"{key}={value}"
                    for key, value in line.items()
                    if key not in ("time", "id", "where", "event", "level", "logger")
                )
                head = f"{line['time'] - started_at:9.4f} {line['id']:>8} {line['where']:>10}"
                yield f"{head} {line['event']} {fields}".rstrip()


def _lines(path: Path, request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the lines of one log that belong to a request.

    Each has the name of the log as `where`, unless the line itself has that field.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if request_id not in text or not text.startswith("{"):
                continue
            try:
                line = json.loads(text)
            except ValueError:
                continue  # The line is incomplete, e.g. because its process was killed while writing.
            line_id = str(line.get("id", ""))
            if line_id == request_id or line_id.partition(".")[0] == request_id:
                yield {"where": path.stem, **line}
