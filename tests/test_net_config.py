"""EDGE_CONFIG: typed values, and messages on one line that name the invalid keys."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ingress.configuration.document import ConfigError, load_config, read_config
from ingress.runtime.files import MAX_BYTES
from tests.peers import SETTINGS, config_text, endpoint_entry

ROOT = Path(__file__).resolve().parent.parent


def test_a_valid_configuration_is_read() -> None:
    config = read_config(config_text(endpoint_entry(("127.0.0.1", 6379)), listen="127.0.0.1:6380"))
    assert config.listen == ("127.0.0.1", 6380) and config.seed == 0x8C1F30D27A5BE964
    assert config.max_client_connections + config.max_endpoint_connections < 1024
    assert [b.id for b in config.initial_endpoints.endpoints] == ["s1"]
    assert config.counter is None and config.connect_timeout == 0.25


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"name": None}, "name"),
        ({"listen": "x"}, "listen"),
        ({"listen": "x:y"}, "listen"),
        ({"listen": "127.0.0.1:70000"}, "listen"),
        ({"discovery": 5}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"seed": None}, "seed"),
        ({"limits": None}, "limits"),
        ({"limits": {"sockets": "many"}}, "sockets"),
        ({"limits": {"sockets": 5}}, "sockets"),
        ({"known": {"version": 1}}, "known"),
        ({"settings": None}, "settings"),
        ({"settings": {k: v for k, v in SETTINGS.items() if k != "contracts"}}, "contracts"),
        ({"settings": SETTINGS | {"family-info": {"counter": True}}}, "counter"),
        ({"settings": SETTINGS | {"limits": {"keepalive-s": 0}}}, "keepalive-s"),
    ],
)
def test_an_invalid_key_is_named(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError) as caught:
        read_config(config_text(**changes))
    assert key in str(caught.value)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "key"), [(None, "EDGE_CONFIG"), ("{", "EDGE_CONFIG"), (config_text(seed="xyz"), "seed")]
)
def test_the_program_exits_with_a_one_line_error(text: str | None, key: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text, encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "ingress"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | {"EDGE_CONFIG": str(path)},
    )
    assert done.returncode != 0
    [line] = done.stderr.splitlines()
    assert key in line


def faults(text: str) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        read_config(text)
    return caught.value.faults


CLASS, PLAN = SETTINGS["categories"][0], SETTINGS["contracts"][0]


def test_every_fault_is_reported_in_one_pass_with_its_path() -> None:
    found = faults(
        config_text(
            name="",
            listen="nowhere",
            seed="xyz",
            limits={"cores": 0, "memory_mb": 1, "sockets": 2.5},
            settings=SETTINGS
            | {
                "self-index": 3,
                "categories": [CLASS, CLASS, CLASS | {"name": "late", "give-up-s": 0.1}],
                "contracts": [PLAN | {"refill": "fast", "burst": -1}, PLAN | {"hard-rate": 4.0}],
                "rules": [],
            },
        )
    )
    paths = {fault.partition(":")[0] for fault in found}
    assert paths == {
        "name",
        "listen",
        "seed",
        "limits.cores",
        "limits.memory_mb",
        "limits.sockets",
        "settings.self-index",
        "settings.categories[1].name",
        "settings.categories[2].give-up-s",
        "settings.contracts[0].refill",
        "settings.contracts[0].burst",
        "settings.contracts[1].name",
        "settings.contracts[1].ceiling-burst",
        "settings.rules",
    }
    assert len(found) == len(paths)


@pytest.mark.parametrize(
    ("settings", "path"),
    [
        ({"tick-s": float("nan")}, "settings.tick-s"),
        ({"balancers": float("inf")}, "settings.balancers"),
        ({"balancers": 10**400}, "settings.balancers"),
        ({"balancers": True}, "settings.balancers"),
        ({"balancers": 0}, "settings.balancers"),
        ({"categories": []}, "settings.categories"),
        ({"categories": [CLASS | {"semantics": "maybe"}]}, "settings.categories[0].semantics"),
        ({"categories": ["read"]}, "settings.categories[0]"),
        ({"contracts": {}}, "settings.contracts"),
        ({"limits": {"second-copies": 1}}, "settings.limits.second-copies"),
        ({"limits": {"max-attempts": 0}}, "settings.limits.max-attempts"),
        ({"rules": {"cold-s": -1}}, "settings.rules.cold-s"),
        ({"zone": None}, "settings.zone"),
        ({"family-info": {"most-units": "1"}}, "settings.family-info.most-units"),
        ({"prices": {"probe": -0.1}}, "settings.prices.probe"),
    ],
)
def test_invalid_types_and_ranges_are_reported(settings: dict[str, Any], path: str) -> None:
    [fault] = faults(config_text(settings=SETTINGS | settings))
    assert fault.startswith(f"{path}: ") and len(fault) < 200


def test_repeated_keys_are_found_at_any_depth() -> None:
    text = config_text()
    text = text.replace('"name": "n0"', '"name": "n0", "name": "n1"')
    text = text.replace('"refill": 100.0', '"refill": 100.0, "refill": 5.0')
    assert faults(text) == [
        "name: stands there more than once",
        "settings.contracts[0].refill: stands there more than once",
    ]


def test_unknown_keys_are_accepted_and_listed() -> None:
    config = read_config(
        config_text(
            colour="red",
            settings=SETTINGS | {"goal": {"whole": 1.0}, "mood": 1, "contracts": [PLAN | {"tier": "gold"}]},
        )
    )
    assert set(config.unknown_keys) == {"colour", "settings.mood", "settings.contracts[0].tier"}


@pytest.mark.parametrize("text", ["", "[]", "null", "{", "nul", "[" * 100_000, '{"a":1}x', "\ufeff{}"])
def test_an_invalid_document_is_one_fault(text: str) -> None:
    [fault] = faults(text)
    assert fault.startswith("EDGE_CONFIG: ")


def test_the_counter_address_is_required_only_if_the_settings_enable_a_counter() -> None:
    with_counter = SETTINGS | {"family-info": {"counter": True}}
    assert faults(config_text(settings=with_counter)) == [
        "counter: missing, and settings.family-info.counter says that there is one"
    ]
    assert read_config(config_text(settings=with_counter, counter="127.0.0.1:6400")).counter == ("127.0.0.1", 6400)
    assert read_config(config_text(counter="127.0.0.1:6400")).counter is None


def test_the_admin_address_must_differ_from_the_client_address() -> None:
    assert faults(config_text(listen="127.0.0.1:7000", control="127.0.0.1:7000")) == [
        "control: is the address where clients connect"
    ]


def rejection(path: Path) -> str:
    with pytest.raises(ConfigError) as caught:
        load_config(str(path))
    [fault] = caught.value.faults
    return fault


def test_unreadable_files_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    assert "No such file" in rejection(path)
    path.mkdir()
    assert "not a regular file" in rejection(path)
    path.rmdir()
    os.mkfifo(path)
    assert "not a regular file" in rejection(path)  # Opening a FIFO must not wait for a writer.
    path.unlink()
    path.write_bytes(config_text().encode()[:-40])
    assert "not JSON" in rejection(path)  # The file is truncated.
    path.write_bytes(b"")
    assert "not JSON" in rejection(path)
    path.write_bytes(b'{"name": "\xff"}')
    assert "not UTF-8" in rejection(path)
    with path.open("wb") as file:
        file.truncate(100 << 20)
    assert f"are more than {MAX_BYTES}" in rejection(path)


def test_a_file_that_is_replaced_while_it_is_read_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, replacement = tmp_path / "config.json", tmp_path / "next"
    path.write_text(config_text(name="old"), encoding="utf-8")
    fstat_calls = 0
    fstat = os.fstat

    def replace_before_first_fstat(handle: int) -> os.stat_result:
        nonlocal fstat_calls
        fstat_calls += 1
        if fstat_calls == 1:
            replacement.write_text(config_text(name="new"), encoding="utf-8")
            replacement.rename(path)
        return fstat(handle)

    monkeypatch.setattr(os, "fstat", replace_before_first_fstat)
    assert load_config(str(path)).name == "new"

    def replace_before_each_fstat(handle: int) -> os.stat_result:
        replacement.write_text(config_text(), encoding="utf-8")
        replacement.rename(path)
        return fstat(handle)

    monkeypatch.setattr(os, "fstat", replace_before_each_fstat)
    assert "changed each time" in rejection(path)


def run_check(path: Path) -> tuple[int, list[str]]:
    done = subprocess.run(
        [sys.executable, "-m", "ingress", "check", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={"PATH": os.environ["PATH"]},
    )
    assert not done.stderr
    return done.returncode, done.stdout.splitlines()


def test_check_reports_what_a_start_would_report_and_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(config_text(colour="red"), encoding="utf-8")
    assert run_check(path) == (0, ["colour: unknown, ignored"])
    path.write_text(config_text(seed="xyz", name=""), encoding="utf-8")
    status, lines = run_check(path)
    assert status == 2 and len(lines) == 2 and lines == faults(path.read_text(encoding="utf-8"))
    assert [entry.name for entry in tmp_path.iterdir()] == ["config.json"]
    assert run_check(tmp_path / "none")[0] == 2


def test_an_unknown_command_prints_the_usage(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "ingress", "chek"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2 and done.stderr.startswith("usage: ")
