"""The tests that are known to fail because of a real fault; KNOWN-RED.txt lists them, and each run prints them."""

from __future__ import annotations

from pathlib import Path

from msgspec import Struct

KNOWN_RED_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


class KnownRed(Struct, frozen=True):
    """One line of the list.

    Attributes:
        test: The pytest id of the test, or of the function of a parametrized test if all its cases fail.
        cause: Why it fails.
        issue: The issue that tracks the fault.
    """

    test: str
    cause: str
    issue: str

    def matches(self, test_id: str) -> bool:
        """Report whether the line is about the test with this pytest id."""
        return self.test in (test_id, test_id.partition("[")[0])


class KnownRedError(Exception):
    """KNOWN-RED.txt is malformed or too long."""


def load_known_red() -> list[KnownRed]:
    """Read KNOWN-RED.txt; a missing file means that no test is known to fail.

    Raises:
        KnownRedError: The list is malformed or too long.
    """
    return read_known_red(KNOWN_RED_PATH.read_text(encoding="utf-8") if KNOWN_RED_PATH.exists() else "")


def read_known_red(text: str) -> list[KnownRed]:
    """Parse the text of the list.

    Raises:
        KnownRedError: There are more than MAX_KNOWN_FAILURES lines, or a line lacks a part.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_FAILURES:
        raise KnownRedError(f"KNOWN-RED.txt lists {len(lines)} tests; at most {MAX_KNOWN_FAILURES} are allowed")
    known = []
    for line in lines:
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"line of KNOWN-RED.txt not of the form `test; cause; issue`: {line}")
        known.append(KnownRed(*parts))
    return known
