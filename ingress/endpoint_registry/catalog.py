"""The endpoint list in memory: entries, versions, changes since a version, and the encoded responses."""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Any, TypeAlias

EntryRecord: TypeAlias = Mapping[str, Any]  # An entry in the format of the discovery protocol.

# Removed entries are remembered so that a watch can receive their removal; the limit bounds how far back it may ask.
MAX_TOMBSTONES = 4096
MAX_ENCODED_RESPONSES = 64  # The cache is cleared with each new version.


class Catalog:
    """All entries at one version; versions only increase.

    Attributes:
        version: The version of the last change.
        oldest_known_version: The oldest version since which all changes are known.
        last_changes: The version and entry of the last change by id, latest last, including removed entries.
        tombstones: The ids of removed entries, oldest removal first.
        encoded_responses: The encoded response bodies of this version, by the version that the caller has.
        encode_count: The number of responses encoded so far.
    """

    def __init__(self, version: int, entries: Iterable[tuple[EntryRecord, int]] = ()) -> None:
        self.version = version
        self.oldest_known_version = version
        self.last_changes: OrderedDict[str, tuple[int, EntryRecord]] = OrderedDict()
        self.tombstones: OrderedDict[str, None] = OrderedDict()
        self.encoded_responses: dict[int | None, bytes] = {}
        self.encode_count = 0
        for entry, changed_at in sorted(entries, key=lambda pair: pair[1]):
            self.last_changes[entry["id"]] = changed_at, entry

    def entries(self) -> list[EntryRecord]:
        """Return all entries that are not removed, in the order of their last change."""
        return [entry for name, (_, entry) in self.last_changes.items() if name not in self.tombstones]

    def entry(self, name: str) -> tuple[int, EntryRecord] | None:
        """Return the version of an entry's last change and the entry, or None if it is not in the list."""
        return None if name in self.tombstones else self.last_changes.get(name)

    def apply(self, version: int, entries: Iterable[EntryRecord]) -> None:
        """Apply changes; an entry whose state is `gone` is removed.

        Raises:
            ValueError: The version is not above the current one.
        """
        if version <= self.version:
            raise ValueError(f"cannot apply version {version}: the catalog is at version {self.version}")
        self.version = version
        self.encoded_responses.clear()
        for entry in entries:
            name = entry["id"]
            self.last_changes[name] = version, entry
            self.last_changes.move_to_end(name)
            self.tombstones.pop(name, None)
            if entry["state"] == "gone":
                self.tombstones[name] = None
        while len(self.tombstones) > MAX_TOMBSTONES:
            name, _ = self.tombstones.popitem(last=False)
            self.oldest_known_version = max(self.oldest_known_version, self.last_changes.pop(name)[0])

    def changes_since(self, after: int | None) -> tuple[bool, list[EntryRecord]]:
        """Return whether the result is the full list, and its entries: all, or those that changed after a version."""
        if after is None or after < self.oldest_known_version or after > self.version:
            return True, self.entries()
        changes = []
        for version, entry in reversed(self.last_changes.values()):
            if version <= after:
                break
            changes.append(entry)
        return False, changes[::-1]

    def response(self, after: int | None) -> bytes:
        """Return the response body for callers at version `after`; it is encoded once and cached."""
        if after is not None and not self.oldest_known_version <= after <= self.version:
            after = None
        if after not in self.encoded_responses:
            full, entries = self.changes_since(after)
            if len(self.encoded_responses) >= MAX_ENCODED_RESPONSES:
                self.encoded_responses.pop(next(iter(self.encoded_responses)))
            body = {"version": self.version, "full": full, "servers": entries}
            self.encoded_responses[after] = json.dumps(body, separators=(",", ":")).encode()
            self.encode_count += 1
        return self.encoded_responses[after]
