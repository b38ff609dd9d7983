"""The log on standard error, as text or JSON lines, with lines for each request if enabled (`EDGE_LOG`)."""

from __future__ import annotations

import json
import logging
import sys
import time

KINDS = ("", "json", "requests")  # the valid values of EDGE_LOG
LOGGED_FAILURE_COUNTS = (0, 10, 100, 1000)  # a repeated failure is logged after this many consecutive earlier ones
TEXT_FORMAT = "%(levelname)s %(name)s: %(message)s at=%(asctime)s.%(msecs)03dZ"  # log readers match the beginning
TEXT_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"  # in UTC
TIME_DIGITS = 6  # decimal places of the time of a record: microseconds
REQUESTS = logging.getLogger("ingress.requests")  # its records have an attribute `fields`
REQUESTS.setLevel(logging.WARNING)
REQUEST_LOGGERS = frozenset({REQUESTS.name, "mulleinhall.requests"})  # the names in logs of this and earlier builds
INGRESS_LOG = logging.getLogger("ingress.ingress")  # logs the life cycle of a process; log readers match this name


class JsonLines(logging.Formatter):
    """Formats a record as a JSON object: `time` (Unix time, seconds), `level`, `logger`, `event`, and its `fields`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line of a record."""
        line = {
            "time": round(record.created, TIME_DIGITS),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        line |= getattr(record, "fields", {})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure(kind: str) -> None:
    """Configure the log of the process; `kind` is the value of EDGE_LOG.

    Raises:
        ValueError: The value of EDGE_LOG is not one of `KINDS`.
    """
    if kind not in KINDS:
        raise ValueError(f"EDGE_LOG: {kind!r} is not one of {', '.join(KINDS[1:])}")
    logging.basicConfig(level=logging.INFO, stream=sys.stderr)
    formatter = JsonLines() if kind else logging.Formatter(TEXT_FORMAT, TEXT_TIME_FORMAT)
    formatter.converter = time.gmtime
    logging.getLogger().handlers[0].setFormatter(formatter)
    if kind == "requests":
        REQUESTS.setLevel(logging.INFO)
