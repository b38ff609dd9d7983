"""Golden files of the log: lines that an ingress writes, and reports on logs of an earlier build.

The logs in `tests/golden/fleet/` contain the logger names of the build that wrote them; every later build must read
them.
"""

from __future__ import annotations

import hashlib
import json
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ingress.configuration.document import load_config
from ingress.decisions.actions import Action, RejectRequest
from ingress.decisions.events import Event, RequestReceived
from ingress.observability.log_report import report_on
from ingress.observability.quota_replay import report_on_quotas
from ingress.runtime.logs import INGRESS_LOG, REQUESTS, JsonLines
from tests.golden_files import GOLDEN, as_json, golden
from tests.peers import RespClient, config, endpoint_entry, fake_endpoint, resp, run_async
from tests.test_net_ingress import running_ingress

FLEET_LOGS = GOLDEN / "fleet"
FLEET_LOGS_SHA256 = "4729c72865248563df6b730557c87c1df6f2deb1d20c6e0bc51c11c0431dc190"
REQUEST_FIELDS = {
    "id": "00000000000000aa",
    "class": "read",
    "plan": "basic",
    "units": 2.5,
    "repeat": False,
    "ms": 0.125,
}
EXCEPTION_INFO = (ValueError, ValueError("odd"), None)


def formatted_lines() -> bytes:
    """Return formatted lines: of a request, of a warning, and with an exception."""
    lines = []
    for level, message, more in (
        (logging.INFO, "succeeded", {"fields": REQUEST_FIELDS}),
        (logging.WARNING, "Zoë: %s", {"args": ("odd",)}),
        (logging.ERROR, "a call failed", {"exc_info": EXCEPTION_INFO}),
    ):
        source = {"name": "a.logger", "levelno": level, "levelname": logging.getLevelName(level), "msg": message}
        record = logging.makeLogRecord(source | {"created": 1700000000.1234567} | more)
        lines.append(JsonLines().format(record).encode() + b"\n")
    return b"".join(lines)


def log_report_json() -> bytes:
    return as_json(report_on([FLEET_LOGS], 1699999001.0, 1699999900.0))


def quota_report_json() -> bytes:
    return as_json(report_on_quotas([FLEET_LOGS], load_config(str(GOLDEN / "config.json")).settings).as_plain_data())


def reject_request(now: float, event: Event) -> list[Action]:
    return [RejectRequest(event.request_id, 1.5, "quota")] if isinstance(event, RequestReceived) else []


def masked_line(record: logging.LogRecord) -> bytes:
    """Return a line without its times, and without the logger, which is named after the Python module."""
    line: dict[str, Any] = json.loads(JsonLines().format(record))
    assert isinstance(line["time"], float) and isinstance(line.get("ms", 0.5), float)
    line |= {"time": 0.0, "logger": ""} | ({"ms": 0.0} if "ms" in line else {})
    return json.dumps(line).encode() + b"\n"


class RecordCollector(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@contextmanager
def collected_records() -> Iterator[list[logging.LogRecord]]:
    """Collect what the loggers of requests and of the ingress log within the context."""
    handler = RecordCollector()
    loggers = REQUESTS, INGRESS_LOG
    before = [logger.level for logger in loggers]
    for logger in loggers:
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
    try:
        yield handler.records
    finally:
        for logger, level in zip(loggers, before, strict=True):
            logger.removeHandler(handler)
            logger.setLevel(level)


def lines_of_running_ingress() -> bytes:
    """Return the lines of the start, a list, a served request and a rejected one, sorted by their text."""
    names = b"c=read,t=basic,d=2000,units=2.5,spread=4,first=1"

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            caller = await RespClient.connect(address)
            assert await caller.request(resp(b"API.READ", b"%016x" % 7, b"one", names)) == b"one"
            served.gateway.handle = reject_request  # type: ignore[method-assign]
            assert str(await caller.request(resp(b"API.READ", b"%016x" % 8, b"two", names + b",r=1"))).startswith(
                "BUSY"
            )

    with collected_records() as records:
        run_async(body())
    kept = [record for record in records if record.name == REQUESTS.name or "serves on" in record.getMessage()]
    return b"".join(sorted(map(masked_line, kept)))


def log_files() -> Iterator[tuple[str, bytes]]:
    yield "log-formatted.jsonl", formatted_lines()
    yield "log-explained.json", log_report_json()
    yield "log-quotas.json", quota_report_json()
    yield "log-live.jsonl", lines_of_running_ingress()


def test_log_lines_and_reports_equal_the_golden_files() -> None:
    for name, data in log_files():
        assert data == golden(name), name


def test_the_golden_logs_are_unchanged() -> None:
    """Guards against a changed log that the reports don't show, because they ignore much of a line."""
    kept = b"".join(path.read_bytes() for path in sorted(FLEET_LOGS.iterdir()))
    assert hashlib.sha256(kept).hexdigest() == FLEET_LOGS_SHA256


def test_reports_include_all_kinds_of_lines_of_the_golden_logs() -> None:
    """Guards against a logger name that is no longer recognized, which would leave these parts of a report empty."""
    found = json.loads(log_report_json())
    quotas = json.loads(quota_report_json())
    assert found["ends"]["outcome"].keys() == {"succeeded", "declined", "aborted"} and found["attempts"]
    assert found["ejections"] == {"s4: answered errors": 3} and found["lists"] == 5
    assert found["read"]["broken lines"] == 1 and found["stand_out"]
    assert quotas["requests"] == sum(found["ends"]["outcome"].values())
    assert any(plan["origin"]["after_restart"] for plan in quotas["plans"])
