"""Rate limiting of log lines, so that a failure of many endpoints does not flood the log."""

from __future__ import annotations

from ingress.decisions.actions import LogMessage

LOG_BURST = 20.0  # the number of lines that may be logged at once
LOG_LINES_PER_S = 1.0


class LogLimiter:
    """A token bucket of log lines; the first line after a suppression states how many lines were suppressed."""

    def __init__(self) -> None:
        self.tokens = LOG_BURST
        self.refilled_at = 0.0
        self.suppressed = 0

    def message(self, now: float, text: str) -> LogMessage | None:
        """Return the line to log, or None if there were too many recently."""
        refilled = LOG_LINES_PER_S * max(0.0, now - self.refilled_at)
        self.tokens = min(LOG_BURST, self.tokens + refilled)
        self.refilled_at = now
        if self.tokens < 1:
            self.suppressed += 1
            return None
        self.tokens -= 1
        if self.suppressed:
            text = f"{text} ({self.suppressed} lines suppressed)"
            self.suppressed = 0
        return LogMessage(text)
