"""Why this side closes a client connection."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The reasons; each value is the end of a metric's name.

    Attributes:
        MALFORMED: The client has sent what can't be parsed, or too many malformed commands.
        OVERDUE: The rest of a command or of its body has not arrived in time.
        NO_MEMORY: There was no room for the rest of a command.
        STALLED: The client has read nothing for too long.
        IDLE: The client has sent no command.
        DRAINED: The process is draining, and the client is answered.
    """

    MALFORMED = "malformed"
    OVERDUE = "overdue"
    NO_MEMORY = "memory"
    STALLED = "stalled"
    IDLE = "idle"
    DRAINED = "drained"
