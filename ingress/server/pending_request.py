"""Requests in flight, and bodies that clients are still uploading."""

from __future__ import annotations

import asyncio
import hashlib

from ingress.server.commands import Command
from ingress.server.response_slot import ResponseSlot, ResponseWriter
from ingress.upstream.attempt import Attempt

# The timeout of the gateway's decisions ends this many seconds before the client's deadline, or the client's timeout
# divided by the divisor before it, whichever is less.
DECISION_MARGIN = 0.020
DECISION_MARGIN_DIVISOR = 10
# A final answer is forced this many seconds before the client's deadline, or the client's timeout divided by the
# divisor before it, whichever is less.
ANSWER_MARGIN = 0.005
ANSWER_MARGIN_DIVISOR = 20
REQUEST_KEY_BYTES = 12
REQUEST_OVERHEAD_BYTES = 2048  # Memory that a request in flight takes in addition to its command.


class Upload:
    """The body of a request, received from the client in chunks.

    Attributes:
        chunks: The received chunks that have not been written to an endpoint.
        attempt: The attempt to which the chunks are written; None before there is one.
        has_started: Whether a chunk has been written to an endpoint.
        is_complete: Whether the last chunk has been received.
        caught_up_at: The latest time at which everything that the client had sent was read.
        was_paused: Whether this process has let the client wait since then.
    """

    __slots__ = ("attempt", "caught_up_at", "chunks", "has_started", "is_complete", "was_paused")

    def __init__(self, received_at: float) -> None:
        self.chunks: list[bytes] = []
        self.attempt: Attempt | None = None
        self.has_started = False
        self.is_complete = False
        self.caught_up_at = received_at
        self.was_paused = False

    def caught_up(self, now: float) -> None:
        """Record that everything that the client has sent is read."""
        self.caught_up_at = now
        self.was_paused = False

    def accepts(self, attempt: Attempt) -> bool:
        """Report whether the attempt may get the body, which only one attempt can get as a whole."""
        if self.attempt is attempt:
            return True
        return not self.has_started and (self.attempt is None or self.attempt.has_ended)


class PendingRequest:
    """A request without a complete response, or whose end the gateway has not been notified of yet.

    Attributes:
        request_id: The id of the request in this process; unlike a client's own ids, it is unique.
        slot: The slot of the response.
        command: The client's command.
        deadline: The time at which the client stops waiting.
        attempt_count: The number of attempts so far.
        is_answered: Whether the response is complete or the client no longer waits for it.
        rejection_reason: The reason for the gateway's own final answer; empty if it gave none.
        admitted_at: The time at which the request was passed to the gateway.
        memory_available: Whether there was room for the request when it was received.
        memory_bytes: The memory that the request takes from the budget.
        attempts_in_flight: The attempts that have not ended.
        streaming_attempt: The attempt whose value is passed to the client in chunks; it owns the response.
        writer: The writer of that value.
        deadline_timer: The timer that forces a final answer.
        upload: The body if it is received in chunks, else None.
    """

    __slots__ = (
        "admitted_at",
        "attempt_count",
        "attempts_in_flight",
        "command",
        "deadline",
        "deadline_timer",
        "is_answered",
        "memory_available",
        "memory_bytes",
        "rejection_reason",
        "request_id",
        "slot",
        "streaming_attempt",
        "upload",
        "writer",
    )

    def __init__(self, request_id: str, slot: ResponseSlot, command: Command, deadline: float) -> None:
        self.request_id = request_id
        self.slot = slot
        self.command = command
        self.deadline = deadline
        self.attempt_count = 0
        self.is_answered = False
        self.rejection_reason = ""
        self.admitted_at = 0.0
        self.memory_available = True
        self.memory_bytes = REQUEST_OVERHEAD_BYTES + sum(map(len, command.arguments))
        self.attempts_in_flight: set[Attempt] = set()
        self.streaming_attempt: Attempt | None = None
        self.writer: ResponseWriter | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.upload = Upload(deadline - command.timeout) if command.body_size else None

    def has_owner(self) -> bool:
        """Report whether the response is complete, is being passed on, or is not needed any more.

        No other attempt can answer the request then.
        """
        return self.is_answered or self.streaming_attempt is not None

    def answer_deadline(self) -> float:
        """Return the time at which a final answer is forced: after the gateway's deadline, however short it is."""
        return self.deadline - min(ANSWER_MARGIN, self.command.timeout / ANSWER_MARGIN_DIVISOR)


def decision_timeout(command: Command) -> float:
    """Return the seconds that the gateway's decisions may take: the client's timeout less a margin."""
    return command.timeout - min(DECISION_MARGIN, command.timeout / DECISION_MARGIN_DIVISOR)


def request_key(command: Command) -> str:
    """Return a short key for the id that the customer has given to a write; empty for a read, which may be repeated."""
    if not command.is_write:
        return ""
    name = command.arguments[1] + command.client_id
    return hashlib.blake2b(name, digest_size=REQUEST_KEY_BYTES).hexdigest()
