"""Tests of the measurement commands of `ingressctl` that start real processes, each with one small run."""

from __future__ import annotations

import json

from click.testing import CliRunner

from ingress.ingressctl.main import main


def test_upgrades_are_measured_and_lose_no_request() -> None:
    result = CliRunner().invoke(
        main, ["upgrades", "--chain", "3", "--upgrades", "2", "--clients", "2", "--from", "HEAD", "--json"]
    )
    assert result.exit_code == 0, result.output
    found = json.loads(result.output[result.output.index("{") :])
    assert {"come", "paused", "messages_s", "eldest_killed"} <= found["chains"]["3"].keys()
    assert found["upgrades"]["lost"] == 0 and found["upgrades"]["over"] == 0
    assert found["upgrades"]["answered"] > 10 and found["upgrades"]["refused"] > 0


def test_an_unknown_revision_is_invalid_input() -> None:
    result = CliRunner().invoke(main, ["upgrades", "--from", "no-such-thing"])
    assert result.exit_code == 2 and "no-such-thing" in result.output


def test_starts_after_a_crash_are_measured_with_recovered_states() -> None:
    result = CliRunner().invoke(main, ["recovery", "--size", "10", "--size", "300", "--json"])
    assert result.exit_code == 0, result.output
    rows = json.loads(result.output[result.output.index("[") :])
    assert [(row["what"], row["size"]) for row in rows] == [
        ("ingress, nothing kept", 0),
        ("ingress", 10),
        ("ingress", 300),
        ("list service", 10),
        ("list service", 300),
    ]
    assert all(row["seconds"] > 0 and row["cpu"] > 0 and row["memory"] > 1 << 20 for row in rows)
    assert rows[2]["kept"] > 10 * rows[1]["kept"]
