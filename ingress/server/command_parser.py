"""Parser of the byte stream of a client connection into commands, each a list of arguments."""

from __future__ import annotations

from typing import Any

import hiredis

from ingress.protocols.frame_scanner import CommandScanner
from ingress.server.commands import CommandError

MAX_COMMAND_BYTES = 256 * 1024  # Limit on the bytes of an incomplete command, apart from a long body.
MAX_ARGUMENTS = 64  # Limit on the arguments of one command.
INCOMPLETE = object()  # Returned by hiredis in place of a command that has not been received completely.


class CommandParser:
    """Scans and parses received bytes.

    Attributes:
        scanner: Checks frames before they are parsed.
        incomplete_bytes: The number of bytes received since the last complete command.
        returned_frames: The number of the scanner's complete frames that `next_command` has returned.
    """

    __slots__ = ("_reader", "incomplete_bytes", "returned_frames", "scanner")

    def __init__(self) -> None:
        self.scanner = CommandScanner(MAX_ARGUMENTS)
        self.incomplete_bytes = 0
        self.returned_frames = 0
        self._reader = hiredis.Reader(notEnoughData=INCOMPLETE)

    def feed(self, data: bytes) -> bytes:
        """Feed received bytes to the parser; return the remaining bytes, which begin with a long body.

        Raises:
            CommandError: The bytes can't be parsed.
        """
        self.incomplete_bytes += len(data)
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
