"""Divides the time of the event loop among the client connections that have commands to execute."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ingress.runtime.clock import Clock

SLICE_S = 0.005  # of an iteration of the event loop, for the commands of all connections together
TURN_S = 0.0005  # for the commands of one connection, before those of another one


class TurnTaker(Protocol):
    """The part of a connection that the scheduler uses."""

    def take_turn(self) -> None:
        """Execute commands until the turn is over; wait for another turn if some are left."""
        ...


class TurnScheduler:
    """Lets connections execute their commands in turn.

    Between two slices, the event loop reads sockets and runs timers. While any connection waits for its turn, those
    that have received something wait behind it.

    Attributes:
        loop: The event loop.
        clock: Returns the current time in seconds.
        waiting: The connections that wait for their turn, in order; the values have no meaning.
        slice_ends_at: The end of the slice of the current iteration of the event loop.
        turn_ends_at: The end of the current turn.
        is_scheduled: Whether the event loop will call this scheduler in its next iteration.
        deferred_count: How often a connection has had to wait for its turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.loop = loop
        self.clock = clock
        self.waiting: dict[TurnTaker, None] = {}
        self.slice_ends_at = 0.0
        self.turn_ends_at = 0.0
        self.is_scheduled = False
        self.deferred_count = 0

    def begin_turn(self) -> bool:
        """Begin the turn of a connection that has received something; return False if it has to wait."""
        now = self.clock()
        if not self.is_scheduled:
            self._schedule()
            self.slice_ends_at = now + SLICE_S
        if self.waiting or now >= self.slice_ends_at:
            return False
        self.turn_ends_at = now + TURN_S
        return True

    def is_turn_over(self) -> bool:
        """Report whether the current turn is over."""
        return self.clock() >= self.turn_ends_at

    def wait(self, connection: TurnTaker) -> None:
        """Give the connection a turn after those that wait already."""
        if connection not in self.waiting:
            self.waiting[connection] = None
            self.deferred_count += 1
        if not self.is_scheduled:
            self._schedule()

    def remove(self, connection: TurnTaker) -> None:
        """Forget a connection that has ended."""
        self.waiting.pop(connection, None)

    def _schedule(self) -> None:
        self.is_scheduled = True
        self.loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        """Give turns until the slice is over, then let the event loop go on."""
        self.is_scheduled = False
        now = self.clock()
        self.slice_ends_at = now + SLICE_S
        while self.waiting and now < self.slice_ends_at:
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            self.turn_ends_at = now + TURN_S
            connection.take_turn()
            now = self.clock()
        if self.waiting and not self.is_scheduled:
            self._schedule()
