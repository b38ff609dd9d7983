"""Reads a configuration file that other programs may write, replace or remove at the same time."""

from __future__ import annotations

import os
import stat
from pathlib import Path

from ingress.errors import IngressError

MAX_BYTES = 8 << 20  # limit of the size of a file
MAX_ATTEMPTS = 3  # the file may be replaced while it is read


class UnreadableFileError(IngressError):
    """The file can't be used; the text gives the reason."""


def read_text(path: str) -> str:
    """Return the complete text of one version of the file: the one at this path at the end of reading.

    Raises:
        UnreadableFileError: The file can't be opened, is too large, keeps changing, or is not UTF-8.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            data, is_current = _read(path)
        except OSError as error:
            raise UnreadableFileError(str(error.strerror or error)) from error
        if is_current:
            break
    else:
        raise UnreadableFileError(f"the file changed each time while it was read, in {MAX_ATTEMPTS} attempts")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise UnreadableFileError(f"not UTF-8: {error.reason} at byte {error.start}") from error


def _read(path: str) -> tuple[bytes, bool]:
    """Return the bytes, and whether the path still refers to the file that was read, and that file is unchanged."""
    # Without O_NONBLOCK, opening a FIFO would block until another process opens it for writing.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        before = os.fstat(descriptor)
        _check_file(before)
        with open(descriptor, "rb", closefd=False) as file:
            data = file.read(MAX_BYTES + 1)
        after = os.fstat(descriptor)
    finally:
        os.close(descriptor)
    if len(data) > MAX_BYTES:
        raise UnreadableFileError(f"the file has more than {MAX_BYTES} bytes")
    try:
        named = Path(path).stat()
    except FileNotFoundError:
        return data, False  # removed while it was read; the next attempt reports that
    is_unchanged = (before.st_size, before.st_mtime_ns) == (after.st_size, after.st_mtime_ns)
    return data, is_unchanged and (named.st_dev, named.st_ino) == (before.st_dev, before.st_ino)


def _check_file(status: os.stat_result) -> None:
    if not stat.S_ISREG(status.st_mode):
        raise UnreadableFileError("not a regular file")
    if status.st_size > MAX_BYTES:
        raise UnreadableFileError(f"{status.st_size} bytes are more than {MAX_BYTES}")
