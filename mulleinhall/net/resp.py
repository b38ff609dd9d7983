"""RESP frames: a look at what a frame claims to hold, ahead of the parser that makes room for it."""

from __future__ import annotations

LONGEST_LINE = 4096  # bytes of a header or a simple line


class FrameGuard:
    """Guards the loop against a frame that claims a billion elements: the parser makes room for all of them
    at once, and to let go of them takes seconds.  Follows the stream across reads, pipelined and nested."""

    def __init__(self, most: int) -> None:
        self.most = most  # elements that one frame may claim, the nested ones too
        self.skip = 0  # bytes of a bulk string that are still to come
        self.due, self.claimed = 0, 0  # elements of the frame at hand: still to come, claimed in all
        self.rest = b""  # of a line that has not ended
        self.begun = 0  # frames so far

    def inside(self) -> bool:
        """Whether a frame has begun and not ended."""
        return self.due > 0 or self.skip > 0 or bool(self.rest)

    def whole(self) -> int:
        """How many frames have ended."""
        return self.begun - (self.due > 0 or self.skip > 0)

    def check(self, data: bytes) -> int:
        """Reads on; how many bytes of `data` may be parsed: all, or those before the line that claims too
        much."""
        before, self.rest = self.rest, b""
        text = before + data if before else data
        at, size = self.skip, len(text)
        while at < size:
            end = text.find(b"\r\n", at)
            if end < 0:
                if size - at > LONGEST_LINE:
                    return max(0, at - len(before))
                self.rest, at = text[at:], size
                break
            follows = self._line(text[at:at + 1], text[at + 1:end])
            if self.claimed > self.most:
                return max(0, at - len(before))
            at = end + 2 + follows
        self.skip = at - size
        return len(data)

    def _line(self, kind: bytes, text: bytes) -> int:
        """Takes in one line; the number of bytes that belong to it and follow."""
        if self.due == 0:
            self.due, self.claimed = 1, 0
            self.begun += 1
        self.due -= 1
        if kind not in b"$=*~>%|":
            return 0
        try:
            count = max(-1, int(text))
        except ValueError:
            return 0  # the parser turns it down
        if kind in b"$=":
            return count + 2 if count >= 0 else 0
        elements = max(0, count) * (2 if kind in b"%|" else 1)
        self.due += elements
        self.claimed += elements
        return 0
