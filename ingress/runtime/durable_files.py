"""Writes files that survive a loss of power."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path


def replace_file(path: Path, chunks: Iterable[bytes]) -> None:
    """Replace a file atomically; its content and its name are on disk when this returns.

    Raises:
        OSError: The file can't be written. The previous file is kept, unless only the rename could not be synced.
    """
    temporary_path = path.with_name(f"{path.name}.new")
    with temporary_path.open("wb") as file:
        for chunk in chunks:
            file.write(chunk)
        file.flush()
        os.fsync(file.fileno())
    temporary_path.rename(path)
    sync(path.parent)


def sync(path: Path) -> None:
    """Flush the content of a file, or the names in a folder, to disk."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
