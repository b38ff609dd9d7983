"""The list's store when the power goes after any operation of its disk, and on a disk that did not keep its word."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from ingress.emulator.power import lose_power_at_each_step
from ingress.endpoint_registry import store as store_module
from ingress.endpoint_registry.store import Store
from ingress.ingressctl.main import main
from tests.test_registry import endpoint_row


def test_power_lost_after_any_operation_loses_nothing_that_was_answered(tmp_path: Path) -> None:
    found = lose_power_at_each_step(tmp_path, 24, 1, lies=False)
    assert found.wrong == [] and found.plays > 450 and found.ends["opened"] > 400


def test_a_disk_that_lied_is_refused_set_aside_or_a_state_that_was(tmp_path: Path) -> None:
    """It may lose what it said was safe: then versions still go on above all given, and no list is shown that never
    was."""
    found = lose_power_at_each_step(tmp_path, 12, 2, lies=True)
    assert found.wrong == [] and found.ends["opened"] > 10 and found.ends["aside"] > 10, found.ends


def test_a_store_that_loses_what_it_answered_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: nothing is synced before a write is answered."""
    real = Store._open

    def hasty(self: Store) -> None:
        real(self)
        self.base.execute("PRAGMA synchronous=OFF")

    monkeypatch.setattr(Store, "_open", hasty)
    assert lose_power_at_each_step(tmp_path, 4, 1, lies=False).wrong


def test_the_command_says_what_was_played() -> None:
    said = CliRunner().invoke(main, ["power", "--writes", "3"])
    assert said.exit_code == 0 and "0 of them wrong" in said.output, said.output


def test_entries_of_two_moments_are_found_though_each_is_whole(tmp_path: Path) -> None:
    """As a page that was lost would leave it: each row carries its own digest, and all of them together another."""
    store = Store(tmp_path / "list")
    for n in range(3):
        store.write(store.version + 1, [(endpoint_row(f"s{n}"), 0.0)])
    before = store.base.execute("SELECT * FROM entries WHERE id = 's1'").fetchone()
    store.write(store.version + 1, [({**endpoint_row("s1"), "zone": "moved"}, 0.0)])
    store.base.execute("INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?)", before)
    given = store.version
    store.close()
    assert any(
        "entries of different list versions are mixed" in fault
        for fault in store_module.store_faults(tmp_path / "list" / "list.db")
    )
    again = Store(tmp_path / "list")
    assert again.rows == [] and again.version > given and list((tmp_path / "list").glob("list.db.damaged-*"))
    again.close()


def test_a_store_from_before_the_seal_is_taken_on_and_sealed(tmp_path: Path) -> None:
    store = Store(tmp_path / "list")
    store.write(store.version + 1, [(endpoint_row("s1"), 0.0)])
    store.base.execute("DELETE FROM meta WHERE key = 'content'")
    store.base.execute("PRAGMA user_version = 1")
    given = store.version
    store.close()
    again = Store(tmp_path / "list")
    assert [kept["id"] for kept, _, _ in again.rows] == ["s1"] and again.version == given
    again.close()
    assert not list(store_module.store_faults(tmp_path / "list" / "list.db"))


def test_versions_go_on_after_a_kill_and_above_all_given_after_a_loss_of_power(tmp_path: Path) -> None:
    store = Store(tmp_path, boot=lambda: "one")
    store.write(store.version + 1, [(endpoint_row("s1"), 0.0)])
    given = store.version
    store.base.close()
    store._unlock()  # a kill: nothing is said
    again = Store(tmp_path, boot=lambda: "one")
    assert again.version == given
    again._unlock()
    third = Store(tmp_path, boot=lambda: "two")
    assert third.version > given + 1000 and [kept["id"] for kept, _, _ in third.rows] == ["s1"]
    bound = third.version
    third.close()
    fourth = Store(tmp_path, boot=lambda: "three")  # it had ended in an orderly way
    assert fourth.version == bound
    fourth.close()
