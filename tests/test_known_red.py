"""The list of known failures: its format, and that the listed tests exist."""

from __future__ import annotations

import pytest

from .known_red import KNOWN_RED_PATH, MAX_KNOWN_FAILURES, KnownRed, KnownRedError, load_known_red, read_known_red


def test_a_line_names_the_test_the_cause_and_the_issue() -> None:
    assert read_known_red("a.py::test; why; issue 1\n\n") == [KnownRed("a.py::test", "why", "issue 1")]


@pytest.mark.parametrize("text", ["a.py::test; why", "a.py::test; ; issue 1", "x; y; z\n" * (MAX_KNOWN_FAILURES + 1)])
def test_a_malformed_or_too_long_list_is_rejected(text: str) -> None:
    with pytest.raises(KnownRedError):
        read_known_red(text)


def test_a_line_without_a_case_is_about_all_cases_of_a_test() -> None:
    known = KnownRed("a.py::test", "why", "issue 1")
    assert known.matches("a.py::test") and known.matches("a.py::test[1-x]")
    assert not known.matches("a.py::test_2") and not known.matches("a.py::test_2[1]")
    assert not KnownRed("a.py::test[1]", "why", "issue 1").matches("a.py::test[2]")


def test_each_listed_test_exists() -> None:
    for known in load_known_red():
        name, _, rest = known.test.partition("::")
        assert f"def {rest.partition('[')[0]}(" in (KNOWN_RED_PATH.parent / name).read_text(encoding="utf-8")
