"""The history of configuration versions: the active one, its predecessors and the last rejected change."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

from msgspec import Struct

from ingress.configuration.document import Config

MAX_VERSIONS = 8  # This includes the active version.
MAX_STORED_DOCUMENT_BYTES = 16 << 20  # The documents of all stored versions count together.
MAX_SHOWN_DIFFERENCES = 40
MAX_SHOWN_DIFFERENCE_CHARACTERS = 400
MAX_REJECTION_CHARACTERS = 1000
# Document keys, with the fields of `Config` that a running process cannot change.
IMMUTABLE_FIELDS = {"name": "name", "listen": "listen", "control": "admin", "checkpoint": "checkpoint"}


class ConfigVersion(Struct, frozen=True):
    """A committed configuration; `committed_at` is Unix time in seconds."""

    number: int
    config: Config
    committed_at: float
    cause: str


def leaves(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the path and value of each scalar in a document; list items are identified by `name` if they have one."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from leaves(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list):
        for number, inner in enumerate(value):
            name = inner.get("name", number) if isinstance(inner, dict) else number
            yield from leaves(inner, f"{path}[{name}]")
    else:
        yield path, repr(value)


def differences(old: Config, new: Config) -> list[str]:
    """Return `path: old -> new` for each value that differs between two documents, sorted by path."""
    before = dict(leaves(old.document))
    after = dict(leaves(new.document))
    return [
        f"{path}: {before.get(path, 'none')} -> {after.get(path, 'none')}"
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


class ConfigVersions:
    """The history of the configuration, as a stack.

    A change pushes a version; a revert replaces the top two versions by one.

    Attributes:
        versions: The stored versions, the active one last.
        last_number: The number of the active version.
        differences: The differences between the active version and the one that was active before it.
        last_rejection: The cause, time and reason of the last rejected change, or an empty string.
        reverted_digest: The digest of the version that the latest change reverted, or an empty string.
    """

    def __init__(self, config: Config) -> None:
        self.versions = [ConfigVersion(1, config, time.time(), "start")]
        self.last_number = 1
        self.differences: list[str] = []
        self.last_rejection = ""
        self.reverted_digest = ""

    @property
    def current(self) -> ConfigVersion:
        """The active version."""
        return self.versions[-1]

    @property
    def previous(self) -> ConfigVersion | None:
        """The version that a revert would restore, or None if there is none."""
        return self.versions[-2] if len(self.versions) > 1 else None

    def immutable_key(self, config: Config) -> str:
        """Return the first key that `config` changes and a running process cannot change, or an empty string."""
        active = self.current.config
        for key, field in IMMUTABLE_FIELDS.items():
            if getattr(config, field) != getattr(active, field):
                return key
        return ""

    def accept(self, config: Config, cause: str, is_revert: bool = False) -> ConfigVersion:
        """Make `config` the active version; a revert first drops the active version and the one before it."""
        replaced = self.current
        self.last_number += 1
        self.differences = differences(replaced.config, config)
        self.reverted_digest = replaced.config.digest if is_revert else ""
        version = ConfigVersion(self.last_number, config, time.time(), cause)
        remaining = self.versions[:-2] if is_revert else self.versions
        self.versions = [*remaining, version]
        while self._exceeds_limits():
            del self.versions[0]
        return version

    def _exceeds_limits(self) -> bool:
        if len(self.versions) > MAX_VERSIONS:
            return True
        document_bytes = sum(version.config.document_size for version in self.versions)
        return len(self.versions) > 1 and document_bytes > MAX_STORED_DOCUMENT_BYTES

    def inherit(self, earlier: list[Config]) -> None:
        """Insert the history of the predecessor process, oldest version first, below the active version."""
        active = self.current
        inherited = [ConfigVersion(0, config, active.committed_at, "take over") for config in earlier]
        self.versions = [*inherited, active]

    def record_rejection(self, cause: str, reason: str) -> None:
        """Record the cause and reason of a rejected change in place of the previous record."""
        self.last_rejection = f"{cause} at {_timestamp(time.time())}: {reason}"[:MAX_REJECTION_CHARACTERS]

    def lines(self) -> list[str]:
        """Return the output lines of the `show-config` command, without its last line."""
        active = self.current
        omitted = len(self.differences) - MAX_SHOWN_DIFFERENCES
        return [
            f"generation: {active.number}",
            f"digest: {active.config.digest}",
            f"cause: {active.cause}",
            f"since: {_timestamp(active.committed_at)}",
            f"before: {self.previous.number if self.previous else 'none'}",
            *(
                f"differs: {line}"[:MAX_SHOWN_DIFFERENCE_CHARACTERS]
                for line in self.differences[:MAX_SHOWN_DIFFERENCES]
            ),
            *([f"differs: {omitted} more"] if omitted > 0 else []),
            f"refused: {self.last_rejection or 'none'}",
        ]


def _timestamp(unix_time: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_time))
