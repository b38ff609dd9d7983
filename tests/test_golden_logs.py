"""Golden files of the log: lines as an ingress writes them, and what an account makes of logs of an earlier build.

The logs in `tests/golden/fleet/` name their loggers as the build that wrote them did, and every later one reads them.
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

LOGS = GOLDEN / "fleet"
LOGS_SHA256 = "4729c72865248563df6b730557c87c1df6f2deb1d20c6e0bc51c11c0431dc190"
FIELDS = {"id": "00000000000000aa", "class": "read", "plan": "basic", "units": 2.5, "repeat": False, "ms": 0.125}
FAULT = (ValueError, ValueError("odd"), None)


def formatted() -> bytes:
    """The form of a line: of a request, of a warning, with an exception."""
    lines = []
    for level, message, more in (
        (logging.INFO, "succeeded", {"fields": FIELDS}),
        (logging.WARNING, "Zoë: %s", {"args": ("odd",)}),
        (logging.ERROR, "a call failed", {"exc_info": FAULT}),
    ):
        source = {"name": "a.logger", "levelno": level, "levelname": logging.getLevelName(level), "msg": message}
        record = logging.makeLogRecord(source | {"created": 1700000000.1234567} | more)
        lines.append(JsonLines().format(record).encode() + b"\n")
    return b"".join(lines)


def explained() -> bytes:
    return as_json(report_on([LOGS], 1699999001.0, 1699999900.0))


def of_quotas() -> bytes:
    return as_json(report_on_quotas([LOGS], load_config(str(GOLDEN / "config.json")).settings).as_plain_data())


def refuse(now: float, event: Event) -> list[Action]:
    return [RejectRequest(event.request_id, 1.5, "quota")] if isinstance(event, RequestReceived) else []


def masked(record: logging.LogRecord) -> bytes:
    """A line without what the moment decides, and without the logger, whose name goes with the Python module's."""
    line: dict[str, Any] = json.loads(JsonLines().format(record))
    assert isinstance(line["time"], float) and isinstance(line.get("ms", 0.5), float)
    line |= {"time": 0.0, "logger": ""} | ({"ms": 0.0} if "ms" in line else {})
    return json.dumps(line).encode() + b"\n"


class Collector(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@contextmanager
def collected() -> Iterator[list[logging.LogRecord]]:
    """What the requests and the ingress log meanwhile."""
    handler = Collector()
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


def of_running_ingress() -> bytes:
    """The lines of its start, a list, a request that is served and one that is refused; in the order of their texts."""
    names = b"c=read,t=basic,d=2000,units=2.5,spread=4,first=1"

    async def body() -> None:
        async with fake_endpoint() as peer, running_ingress(config(endpoint_entry(peer.address))) as (served, address):
            caller = await RespClient.connect(address)
            assert await caller.request(resp(b"API.READ", b"%016x" % 7, b"one", names)) == b"one"
            served.gateway.handle = refuse  # type: ignore[method-assign]
            assert str(await caller.request(resp(b"API.READ", b"%016x" % 8, b"two", names + b",r=1"))).startswith(
                "BUSY"
            )

    with collected() as records:
        run_async(body())
    told = [one for one in records if one.name == REQUESTS.name or "serves on" in one.getMessage()]
    return b"".join(sorted(map(masked, told)))


def log_files() -> Iterator[tuple[str, bytes]]:
    yield "log-formatted.jsonl", formatted()
    yield "log-explained.json", explained()
    yield "log-quotas.json", of_quotas()
    yield "log-live.jsonl", of_running_ingress()


def test_the_form_of_lines_and_the_accounts_of_kept_logs() -> None:
    for name, data in log_files():
        assert data == golden(name), name


def test_the_kept_logs_are_those_that_were_kept() -> None:
    """An account leaves out much of a line, so that a change to a log need not show in it."""
    kept = b"".join(path.read_bytes() for path in sorted(LOGS.iterdir()))
    assert hashlib.sha256(kept).hexdigest() == LOGS_SHA256


def test_the_accounts_hold_what_the_logs_tell() -> None:
    """Nothing of a kept log goes unread: a logger that is not known any more would leave these empty."""
    found, of_plans = json.loads(explained()), json.loads(of_quotas())
    assert found["ends"]["outcome"].keys() == {"succeeded", "declined", "aborted"} and found["attempts"]
    assert found["ejections"] == {"s4: answered errors": 3} and found["lists"] == 5
    assert found["read"]["broken lines"] == 1 and found["stand_out"]
    assert of_plans["requests"] == sum(found["ends"]["outcome"].values())
    assert any(plan["origin"]["after_restart"] for plan in of_plans["plans"])
