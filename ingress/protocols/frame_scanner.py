"""Scans RESP frames ahead of the parser, which allocates as many elements as a frame announces."""

from __future__ import annotations

from ingress.protocols.resp import CRLF, LONG_VALUE_BYTES

MAX_LINE_BYTES = 4096  # limit of a header or a simple line
UNFINISHED = -1  # returned instead of the offset of a line end that has not been received

BULK_KINDS = b"$="  # headers that give the size of a string
MAP_KINDS = b"%|"  # headers of aggregates that have two elements for each announced one
SIZED_KINDS = b"$=*~>%|"  # all headers that give a size
EMPTY_BULK = b"$0\r\n\r\n"


class FrameScanner:
    """Tracks a stream of frames, pipelined and nested, across reads.

    Protects the event loop from a frame that announces a billion elements: the parser allocates all of them at once,
    and freeing them takes seconds.

    Attributes:
        max_elements: The limit of elements that one frame may announce, including nested ones.
        string_bytes_left: The bytes of the current bulk string that are still to come.
        expects_string_end: Whether the line end behind a bulk string is still to come.
        elements_due: The elements of the current frame that are still to come.
        elements_claimed: The elements that the current frame has announced so far.
        partial_line: The received part of an incomplete line.
        frames_started: The number of frames that have started.
    """

    def __init__(self, max_elements: int) -> None:
        self.max_elements = max_elements
        self.string_bytes_left = 0
        self.expects_string_end = False
        self.elements_due = 0
        self.elements_claimed = 0
        self.partial_line = b""
        self.frames_started = 0

    def in_frame(self) -> bool:
        """Report whether a frame has started and not ended."""
        return self._in_element() or bool(self.partial_line)

    def _in_element(self) -> bool:
        """Report whether more elements of the current frame, or the rest of one, are still to come."""
        return self.elements_due > 0 or self.string_bytes_left > 0 or self.expects_string_end

    def complete_frames(self) -> int:
        """Return the number of frames that have ended."""
        return self.frames_started - self._in_element()

    def check(self, data: bytes) -> int:
        """Scan received data.

        Returns:
            The number of bytes of `data` that may be parsed: all of them, or those before a line that announces too
            many elements, is too long, or is not at the announced end of the string before it.
        """
        line_start = self.partial_line
        self.partial_line = b""
        text = line_start + data if line_start else data
        offset = self.string_bytes_left
        while offset < len(text):
            end = self._line_end(text, offset)
            if end is None:
                return max(0, offset - len(line_start))
            if end == UNFINISHED:
                self.partial_line = text[offset:]
                offset = len(text)
                break
            string_size = self._scan_line(text[offset : offset + 1], text[offset + 1 : end])
            if self.elements_claimed > self.max_elements:
                return max(0, offset - len(line_start))
            offset = end + len(CRLF) + string_size
        self.string_bytes_left = offset - len(text)
        return len(data)

    def _line_end(self, text: bytes, offset: int) -> int | None:
        """Return the offset of the line's end; UNFINISHED if it has not been received, None if the line is not valid.

        Detects other bytes in place of the line end behind a string, which the parser skips without checking.
        """
        end = text.find(CRLF, offset)
        if self.expects_string_end:
            return end if end == offset or text[offset:] == b"\r" else None
        return None if end == UNFINISHED and len(text) - offset > MAX_LINE_BYTES else end

    def _scan_line(self, kind: bytes, text: bytes) -> int:
        """Scan one line, without its kind; return the size of the string that follows it."""
        if self.expects_string_end:
            self.expects_string_end = False
            return 0
        if self.elements_due == 0:
            self.elements_due = 1
            self.elements_claimed = 0
            self.frames_started += 1
        self.elements_due -= 1
        if kind not in SIZED_KINDS:
            return 0
        try:
            count = max(-1, int(text))
        except ValueError:
            return 0  # the parser rejects it
        if kind in BULK_KINDS:
            self.expects_string_end = count >= 0
            return max(0, count)
        elements = max(0, count) * (2 if kind in MAP_KINDS else 1)
        self.elements_due += elements
        self.elements_claimed += elements
        return 0


class CommandScanner(FrameScanner):
    """Scans a client's commands, and holds back incomplete lines.

    Stops at a last argument that is long: its bytes are forwarded in chunks, and the parser gets an empty string
    instead.

    Attributes:
        long_argument_size: The size of the long argument that follows; 0 if none does.
        error: The reason why the following data can't be parsed; empty if it can.
        incomplete_bytes: The bytes of the frame that has started and not ended.
    """

    def __init__(self, max_elements: int) -> None:
        super().__init__(max_elements)
        self.long_argument_size = 0
        self.error = ""
        self.incomplete_bytes = 0

    def cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Scan received data.

        Returns:
            The data that may be parsed, and the data behind the header of a long argument.
        """
        text = self.partial_line + data
        self.incomplete_bytes = self.incomplete_bytes + len(data) if self._in_element() else len(text)
        self.partial_line = b""
        offset = self.string_bytes_left
        while offset < len(text):
            if not self.elements_due and not self.expects_string_end:
                self.incomplete_bytes = len(text) - offset
            end = self._line_end(text, offset)
            if end is None or end == UNFINISHED:
                return self._hold_back(text, offset, is_valid=end is not None), b""
            string_size = self._scan_line(text[offset : offset + 1], text[offset + 1 : end])
            if self.elements_claimed > self.max_elements:
                self.error = "too many words"
                return text[:offset], b""
            if string_size > LONG_VALUE_BYTES and not self.elements_due:
                self.string_bytes_left = 0
                self.expects_string_end = False
                self.long_argument_size = string_size
                return text[:offset] + EMPTY_BULK, text[end + len(CRLF) :]
            offset = end + len(CRLF) + string_size
        self.string_bytes_left = offset - len(text)
        if not self.in_frame():
            self.incomplete_bytes = 0
        return text, b""

    def _hold_back(self, text: bytes, offset: int, is_valid: bool) -> bytes:
        """Keep an incomplete line; return the data before it."""
        if not is_valid:
            self.error = "a word that does not end where it said" if self.expects_string_end else "a line too long"
        self.string_bytes_left = 0
        self.partial_line = text[offset:]
        return text[:offset]
