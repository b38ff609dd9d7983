"""Tests that are known to fail for a real fault: listed in KNOWN-RED.txt, and told at the end of each run."""

from __future__ import annotations

from pathlib import Path

from msgspec import Struct

KNOWN_RED_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


class KnownRed(Struct, frozen=True):
    """One line of the list: the test's id, why it fails, and the issue."""

    test: str
    cause: str
    issue: str


class KnownRedError(Exception):
    """The list can't be used; the text says why."""


def load_known_red() -> list[KnownRed]:
    """What is listed now; nothing where there is no list."""
    return read_known_red(KNOWN_RED_PATH.read_text(encoding="utf-8") if KNOWN_RED_PATH.exists() else "")


def read_known_red(text: str) -> list[KnownRed]:
    """The lines of the list.  BadList where there are too many, or one lacks a part."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_FAILURES:
        raise KnownRedError(f"{len(lines)} tests are listed, {MAX_KNOWN_FAILURES} at most")
    known = []
    for line in lines:
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"not of the form `test; cause; issue`: {line}")
        known.append(KnownRed(*parts))
    return known
