"""Interprets a complete RESP reply of an endpoint: its outcome, value and load report."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

import hiredis
from msgspec import Struct, field

from ingress.decisions.endpoint import Outcome
from ingress.protocols.load_report import LOAD_REPORT_FIELDS

log = logging.getLogger(__name__)

MAX_LOAD_REPORT_FIELDS = 16  # what follows them is not split any further
LOAD_REPORT_INDEX = 2  # the third element of a reply
NOT_A_NUMBER = float("nan")


class AttemptResult(Struct, frozen=True):
    """The result of an attempt; `value` is set if the endpoint answered with one."""

    outcome: Outcome
    value: bytes | None = None
    load_report: Mapping[str, float] = field(default_factory=dict)


def interpret_response(reply: Any) -> AttemptResult:
    """Interpret the reply to a request, as hiredis parsed it.

    Null and unexpected replies are `MALFORMED`: the request may have been executed, but its client gets no value from
    them.
    """
    if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
        report = reply[LOAD_REPORT_INDEX] if len(reply) > LOAD_REPORT_INDEX else None
        return AttemptResult(Outcome.OK, reply[0], parse_load_report(report))
    if isinstance(reply, hiredis.ReplyError):
        return _interpret_error(str(reply))
    return AttemptResult(Outcome.MALFORMED)


def _interpret_error(text: str) -> AttemptResult:
    kind, _, rest = text.partition(" ")
    report = parse_load_report(_trailing_report(rest))
    if kind == "BUSY":
        return AttemptResult(Outcome.REJECTED, None, report)
    if kind != "ERR":
        log.warning("endpoint answered with an error of an unknown kind: %.80r", text)
    return AttemptResult(Outcome.ERROR, None, report)


def parse_load_report(text: Any) -> dict[str, float]:
    """Parse a load report such as `inflight=7,util=0.5`; values that are not numbers become NaN."""
    if text is None:
        return {}
    text = text.decode("ascii", "replace") if isinstance(text, bytes) else str(text)
    report = {}
    for part in text.split(",", MAX_LOAD_REPORT_FIELDS):
        name, _, number = part.partition("=")
        try:
            value = float(number)
        except ValueError:
            value = NOT_A_NUMBER
        report[LOAD_REPORT_FIELDS.get(name, name)] = value
    return report


def _trailing_report(text: str) -> str | None:
    """Return the load report at the end of an error line, if there is one."""
    last_word = text.rpartition(" ")[2]
    return last_word if "=" in last_word else None
