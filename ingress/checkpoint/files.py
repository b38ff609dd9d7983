"""The files of a checkpoint.

The folder that the operator configures has these files for an ingress called NAME:

- `NAME.lock`: Locked by the process that writes the checkpoint.
- `NAME.token`: Exists since the first start. Contains the tokens of the snapshots that may be in place; an old copy of
  a snapshot, put back by an operator, has a different token.
- `NAME.snapshot`: Buckets, health and the endpoint list. Replaced atomically, so it is complete if it exists.
- `NAME.log-N`: The usage since then. A snapshot contains the number of the first log that follows it.
"""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from contextlib import suppress
from pathlib import Path

from ingress.checkpoint.errors import CheckpointDamagedError
from ingress.checkpoint.format import decode_lines, encode_line
from ingress.runtime.durable_files import replace_file


class CheckpointFiles:
    """The files of one ingress in one folder. Operations that fail raise OSError with the name of the file.

    Attributes:
        directory: The folder.
        name: The name of the ingress.
        lock: The path of the lock file.
        token: The path of the token file.
        snapshot: The path of the snapshot.
    """

    def __init__(self, directory: Path, name: str) -> None:
        self.directory = directory
        self.name = name
        self._prefix = "".join(c if c.isalnum() or c in "-_" else f"%{ord(c):x}" for c in name)
        self.lock = directory / f"{self._prefix}.lock"
        self.token = directory / f"{self._prefix}.token"
        self.snapshot = directory / f"{self._prefix}.snapshot"

    def log_path(self, number: int) -> Path:
        """Return the path of the log with that number."""
        return self.directory / f"{self._prefix}.log-{number}"

    def log_numbers(self) -> list[int]:
        """List the numbers of the existing logs, in ascending order."""
        parts = (entry.name.rpartition(".log-") for entry in self.directory.iterdir())
        return sorted(int(number) for prefix, _, number in parts if prefix == self._prefix and number.isdecimal())

    def last_log_number(self) -> int:
        """Return the number of the latest log; 0 if there is none."""
        return max(self.log_numbers(), default=0)

    def replace_file(self, path: Path, chunks: Iterable[bytes]) -> None:
        """Replace a file atomically; it is on disk when this returns."""
        replace_file(path, chunks)

    def write_tokens(self, tokens: Sequence[str]) -> None:
        """Write the tokens of all snapshots that may be in place."""
        self.replace_file(self.token, [encode_line({"tokens": list(tokens)})])

    def read_tokens(self) -> list[str]:
        """Read the tokens of all snapshots that may be in place.

        Raises:
            CheckpointDamagedError: The token file is damaged or empty.
            KeyError: The key of the tokens is missing.
            OSError: The token file cannot be read.
            TypeError: The content has the wrong type.
            ValueError: A line with a correct checksum does not contain JSON.
        """
        for _, source in decode_lines(self.token, self.token.read_bytes()):
            return [str(token) for token in source["tokens"]]
        raise CheckpointDamagedError(f"{self.token}: the file is empty; expected a line with the tokens")

    def set_aside(self) -> str:
        """Rename files that cannot be used, so that an operator can examine them.

        Returns:
            The suffix of the new names.
        """
        suffix = f"damaged-{time.time_ns()}"
        for path in (self.snapshot, self.token, *map(self.log_path, self.log_numbers())):
            with suppress(FileNotFoundError):
                path.rename(path.with_name(f"{path.name}.{suffix}"))
        return suffix

    def delete(self) -> None:
        """Delete the snapshot and the logs, because they no longer cover all usage."""
        for path in (self.snapshot, *map(self.log_path, self.log_numbers())):
            path.unlink(missing_ok=True)
