"""Parser of the byte stream of a client connection into commands, each a list of arguments."""

from __future__ import annotations

from typing import Any

import hiredis

from ingress.protocols.frame_scanner import CommandScanner
from ingress.protocols.resp import BUFFER_GROWTH, MAX_KEPT_BUFFER_BYTES
from ingress.server.commands import CommandError

MAX_COMMAND_BYTES = 256 * 1024  # Limit on the bytes of an incomplete command, apart from a long body.
MAX_ARGUMENTS = 64  # Limit on the arguments of one command.
INCOMPLETE = object()  # Returned by hiredis in place of a command that has not been received completely.


class CommandParser:
    """Scans and parses received bytes.

    Attributes:
        scanner: Checks frames before they are parsed.
        incomplete_bytes: The number of bytes received since the last complete command.
        unreturned_bytes: An upper bound of the bytes of the commands that `next_command` has not returned.
        buffer_bytes: The size that the buffer of hiredis may have reached.
        returned_frames: The number of the scanner's complete frames that `next_command` has returned.
    """

    __slots__ = ("_reader", "buffer_bytes", "incomplete_bytes", "returned_frames", "scanner", "unreturned_bytes")

    def __init__(self) -> None:
        self.scanner = CommandScanner(MAX_ARGUMENTS)
        self.incomplete_bytes = 0
        self.returned_frames = 0
        self._reset_reader()

    def _reset_reader(self) -> None:
        self.unreturned_bytes = 0
        self.buffer_bytes = 0
        self._reader = hiredis.Reader(notEnoughData=INCOMPLETE)

    def held_bytes(self) -> int:
        """Return how much memory the parser takes: its buffer, and the arguments that are already parsed."""
        return self.buffer_bytes + self.unreturned_bytes if self.unreturned_bytes else 0

    def feed(self, data: bytes) -> bytes:
        """Feed received bytes to the parser; return the remaining bytes, which begin with a long body.

        Raises:
            CommandError: The bytes can't be parsed.
        """
        self.incomplete_bytes += len(data)
        self.unreturned_bytes += len(data)
        self.buffer_bytes = max(self.buffer_bytes, BUFFER_GROWTH * self.unreturned_bytes)
        parseable, remaining = self.scanner.cut(data)
        try:
            self._reader.feed(parseable)
        except (hiredis.HiredisError, MemoryError) as error:
            raise CommandError(str(error)) from error
        return remaining

    def next_command(self) -> list[Any] | None:
        """Return the arguments of the next command; None if it has not been received completely.

        Raises:
            CommandError: The received bytes are not a command, or the command is too large.
        """
        try:
            arguments = self._reader.gets()
        except (hiredis.HiredisError, MemoryError) as error:
            raise CommandError(f"broken frame: {error}") from error
        if arguments is INCOMPLETE:
            self.returned_frames = self.scanner.complete_frames()
            self.unreturned_bytes = self.scanner.incomplete_bytes
            if not self.unreturned_bytes and self.buffer_bytes > MAX_KEPT_BUFFER_BYTES:
                self._reset_reader()
            if self.incomplete_bytes > MAX_COMMAND_BYTES:
                raise CommandError("value too large")
            return None
        self.returned_frames += 1
        self.incomplete_bytes = 0
        if not isinstance(arguments, list):
            raise CommandError("a command is an array of bulk strings")
        return arguments

    def has_command(self) -> bool:
        """Report whether a command has been received completely that `next_command` has not returned yet."""
        return self.scanner.complete_frames() > self.returned_frames

    def take_body_size(self) -> int:
        """Return and clear the size of the long body that follows the command just returned; 0 if there is none."""
        size = self.scanner.long_argument_size
        if not size or self._reader.has_data():
            return 0
        self.scanner.long_argument_size = 0
        return size
