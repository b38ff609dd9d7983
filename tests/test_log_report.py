"""Tests of the log report: injected faults are found, normal operation has no outliers, damaged logs are counted."""

from __future__ import annotations

import gzip
import json
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ingress.observability import log_report as module
from ingress.observability.log_reader import MAX_LINE_BYTES
from ingress.observability.log_report import OTHER, LogReport, as_text, report_on

REQUEST_LOGGER = "ingress.requests"


def log_line(at: float, event: str, logger: str = REQUEST_LOGGER, level: str = "info", **fields: Any) -> bytes:
    return json.dumps({"time": at, "level": level, "logger": logger, "event": event} | fields).encode() + b"\n"


def result_line(
    at: float, event: str = "succeeded", reason: str = "", plan: str = "society", ms: float = 20.0
) -> bytes:
    fields: dict[str, Any] = {"class": "read", "plan": plan, "reason": reason, "id": "a", "ms": ms}
    return log_line(at, event, **fields)


def attempt_line(at: float, server: str, outcome: str = "ok", ms: float = 20.0) -> bytes:
    return log_line(at, "attempt", server=server, outcome=outcome, id="a", ms=ms)


def report_on_simulated_logs(seed: int, fault: str = "") -> dict[str, Any]:
    """Return the report on logs of 40 ingresses and 30 servers, with a fault of server s7 or of ingress n7."""
    rng = random.Random(seed)
    report = LogReport()
    for number in range(40):
        name = f"n{number}"
        for version in range(1, 2 if fault == "no lists" and number == 7 else 6):
            late = 8.0 if fault == "old list" and number == 7 else 0.0
            report.read_line(name, log_line(100.0 * version + rng.uniform(0, 0.3) + late, "list", version=version))
        for _ in range(120):
            at = rng.uniform(0, 600)
            server = f"s{rng.randrange(30)}"
            ms = rng.expovariate(1 / 80)
            is_faulty_server = server == "s7"
            outcome = "error" if rng.random() < (0.3 if is_faulty_server and fault == "errors" else 0.005) else "ok"
            if is_faulty_server and fault == "silent" and rng.random() < 0.5:
                outcome = "timeout"
            report.read_line(
                name, attempt_line(at, server, outcome, ms * (12 if is_faulty_server and fault == "slow" else 1))
            )
            lost = rng.random() < (0.4 if fault == "cut off" and number == 7 else 0.01)
            event = "aborted" if lost else "declined" if rng.random() < 0.3 else "succeeded"
            report.read_line(name, result_line(at, event, "quota" if event == "declined" else "", ms=ms))
    return report.result()


FAULTS = {"errors": "s7", "silent": "s7", "slow": "s7", "old list": "n7", "no lists": "n7", "cut off": "n7"}


@pytest.mark.parametrize("fault", FAULTS)
def test_an_injected_fault_is_the_only_outlier_for_every_seed(fault: str) -> None:
    found = [{one["who"] for one in report_on_simulated_logs(seed, fault)["stand_out"]} for seed in range(10)]
    assert all(FAULTS[fault] in names for names in found)
    assert not set().union(*found) - {FAULTS[fault]}


def test_normal_operation_has_no_outliers() -> None:
    assert [report_on_simulated_logs(seed)["stand_out"] for seed in range(20)] == [[]] * 20


def test_counts_include_only_lines_in_the_window() -> None:
    report = LogReport(10.0, 20.0)
    for at in (9.9, 10.0, 15.0, 19.9, 20.0):
        report.read_line("n0", result_line(at))
    report.read_line("n1", result_line(12.0, "declined", "pressure", "basic"))
    report.read_line("n1", log_line(13.0, "health s-1: healthy to ejected: timed out, 2 bad", "ingress.ingress"))
    report.read_line("n1", log_line(14.0, "a list is odd", "ingress.discovery.client", "warning"))
    found = report.result()
    assert found["ends"]["outcome"] == {"succeeded": 3, "declined": 1}
    assert found["ends"]["reason"] == {"succeeded": 3, "pressure": 1}
    assert found["ends"]["plan"] == {"society succeeded": 3, "basic declined": 1}
    assert found["ejections"] == {"s-1: timed out": 1} and found["window"] == [10.0, 19.9]
    assert found["read"] == {"lines": 6, "lines outside the window": 2}
    assert report.ingresses["n1"].examples == ["n1: a list is odd"]


def test_damaged_logs_are_counted_and_the_rest_is_read(tmp_path: Path) -> None:
    good = b"".join(result_line(float(n)) for n in range(50))
    (tmp_path / "n0.log").write_bytes(good[:-10])  # the last line was torn when the process was killed
    (tmp_path / "n0.log.1.gz").write_bytes(gzip.compress(good))  # a rotated log of the same ingress
    (tmp_path / "n1.log.gz").write_bytes(gzip.compress(good)[:-12])  # truncated within the compressed data
    (tmp_path / "n2.log.gz").write_bytes(b"no gzip at all")
    (tmp_path / "n3.log").write_bytes(
        b"x" * (3 * MAX_LINE_BYTES)
        + b"\n"
        + b"\xff\xfe\n[]\n1\nnull\n{}\n\n"
        + b"[" * 5000
        + b"\n"
        + log_line(1.0, "x").replace(b"1.0", b"1" * 400)
        + log_line(float("nan"), "x")
        + result_line(1.0).replace(b'"class"', b'"colour"')
        + log_line(2.0, "list", version="new")
        + result_line(3.0)
    )
    (tmp_path / "notes.txt").write_bytes(good)  # not a log file
    found = report_on([tmp_path], float("-inf"), float("inf"))
    assert found["ends"]["outcome"]["succeeded"] in range(49 + 50 + 1, 49 + 50 + 50 + 2)
    assert found["read"]["files cut off or unreadable"] == 2
    assert found["read"]["broken lines"] == 1 + 1 + 8 + 2
    assert found["read"]["lines outside the window"] == 1  # the time is NaN
    assert found["ingresses"] == 3 and len(found["unreadable"]) == 2
    assert any("n2.log.gz" in text for text in as_text(found))


def test_memory_use_does_not_grow_with_the_logs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_KEYS", 10)
    report = LogReport()
    for number in range(1000):
        report.read_line(f"n{number}", attempt_line(1.0, f"s{number}", "error" if number % 2 else f"odd {number}"))
        report.read_line("n0", result_line(1.0, reason=f"r{number}", plan=f"p{number}"))
        report.read_line("n0", log_line(1.0, "list", version=number))
        report.read_line("n0", log_line(1.0, f"health s{number}: suspect to ejected: error, x", "ingress.ingress"))
    assert max(len(report.endpoints), len(report.ingresses), len(report.request_ends), len(report.ejections)) <= 11
    assert len(report.first_sightings) == 10 and report.counts["lists left out"] == 990
    assert (
        sum(report.request_ends.values()) == 1000 == sum(sum(one.counts.values()) for one in report.endpoints.values())
    )
    assert report.endpoints[OTHER].counts[OTHER] > 400
    assert all(len(one.examples) <= 3 for one in report.endpoints.values())


def run_explain(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ingress.ingressctl", "explain", *words], capture_output=True, text=True, check=False
    )


def test_explain_command_prints_the_report_and_rejects_invalid_input(tmp_path: Path) -> None:
    path = tmp_path / "n0.log"
    path.write_bytes(b"".join(result_line(float(n)) for n in range(5)))
    done = run_explain(str(path))
    assert done.returncode == 0 and "5 succeeded" in done.stdout and "nothing stands out" in done.stdout
    assert json.loads(run_explain(str(tmp_path), "--json", "--since", "2").stdout)["ends"]["outcome"] == {
        "succeeded": 3
    }
    (tmp_path / "other.log").write_text("INFO plain: text\n", encoding="utf-8")
    for words in (
        (str(tmp_path / "none"),),
        (),
        (str(path), "--since", "9"),
        (str(tmp_path / "other.log"),),
        (str(path), "--since", "2", "--until", "1"),
    ):
        bad = run_explain(*words)
        assert bad.returncode == 2 and bad.stderr and "Traceback" not in bad.stderr
