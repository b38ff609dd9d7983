"""The registry's store after a loss of power at any disk operation, on an honest disk and on a lying one."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from ingress.emulator.power import lose_power_at_each_step
from ingress.endpoint_registry import store as store_module
from ingress.endpoint_registry.store import Store
from ingress.ingressctl.main import main
from tests.test_registry import endpoint_row


def test_no_acknowledged_write_is_lost_when_power_fails_after_any_disk_operation(tmp_path: Path) -> None:
    report = lose_power_at_each_step(tmp_path, 24, 1, lies=False)
    assert report.wrong == [] and report.plays > 450 and report.ends["opened"] > 400


def test_after_a_lying_disk_the_store_is_refused_quarantined_or_in_an_earlier_state(tmp_path: Path) -> None:
    """Guards against a lying disk, which may lose acknowledged writes: later versions must still be above all that were
    served, and no list may be served that never existed."""
    report = lose_power_at_each_step(tmp_path, 12, 2, lies=True)
    assert report.wrong == [] and report.ends["opened"] > 10 and report.ends["aside"] > 10, report.ends


def test_a_store_that_loses_acknowledged_writes_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a simulation that detects nothing: with synchronous=OFF the store syncs no write that it
    acknowledges."""
    original_open = Store._open

    def open_without_sync(self: Store) -> None:
        original_open(self)
        self.base.execute("PRAGMA synchronous=OFF")

    monkeypatch.setattr(Store, "_open", open_without_sync)
    assert lose_power_at_each_step(tmp_path, 4, 1, lies=False).wrong


def test_the_power_command_prints_a_summary() -> None:
    result = CliRunner().invoke(main, ["power", "--writes", "3"])
    assert result.exit_code == 0 and "0 of them wrong" in result.output, result.output


def test_entries_of_different_versions_are_detected_although_each_is_intact(tmp_path: Path) -> None:
    """Guards against a lost page, which leaves an old row whose own digest is valid: only the digest over all rows
    detects it."""
    store = Store(tmp_path / "list")
    for number in range(3):
        store.write(store.version + 1, [(endpoint_row(f"s{number}"), 0.0)])
    old_row = store.base.execute("SELECT * FROM entries WHERE id = 's1'").fetchone()
    store.write(store.version + 1, [({**endpoint_row("s1"), "zone": "moved"}, 0.0)])
    store.base.execute("INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?)", old_row)
    served_version = store.version
    store.close()
    assert any(
        "entries of different list versions are mixed" in fault
        for fault in store_module.store_faults(tmp_path / "list" / "list.db")
    )
    reopened = Store(tmp_path / "list")
    assert (
        reopened.rows == []
        and reopened.version > served_version
        and list((tmp_path / "list").glob("list.db.damaged-*"))
    )
    reopened.close()


def test_a_store_of_the_first_schema_is_upgraded_and_sealed(tmp_path: Path) -> None:
    store = Store(tmp_path / "list")
    store.write(store.version + 1, [(endpoint_row("s1"), 0.0)])
    store.base.execute("DELETE FROM meta WHERE key = 'content'")
    store.base.execute("PRAGMA user_version = 1")
    served_version = store.version
    store.close()
    reopened = Store(tmp_path / "list")
    assert [kept["id"] for kept, _, _ in reopened.rows] == ["s1"] and reopened.version == served_version
    reopened.close()
    assert not list(store_module.store_faults(tmp_path / "list" / "list.db"))


def test_versions_continue_after_a_kill_and_exceed_all_served_ones_after_a_loss_of_power(tmp_path: Path) -> None:
    store = Store(tmp_path, boot=lambda: "one")
    store.write(store.version + 1, [(endpoint_row("s1"), 0.0)])
    served_version = store.version
    store.base.close()
    store._unlock()  # as after a kill: the store is not marked as closed
    reopened = Store(tmp_path, boot=lambda: "one")
    assert reopened.version == served_version
    reopened._unlock()
    after_reboot = Store(tmp_path, boot=lambda: "two")
    assert after_reboot.version > served_version + 1000 and [kept["id"] for kept, _, _ in after_reboot.rows] == ["s1"]
    bound = after_reboot.version
    after_reboot.close()
    after_clean_shutdown = Store(tmp_path, boot=lambda: "three")  # the previous service shut down cleanly
    assert after_clean_shutdown.version == bound
    after_clean_shutdown.close()
