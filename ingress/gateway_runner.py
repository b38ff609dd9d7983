"""Runs the decisions of a process: passes events to the `Gateway` one at a time and performs its actions."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from ingress.decisions.actions import Action
from ingress.decisions.events import AttemptEnded, ClientDisconnected, Event
from ingress.decisions.gateway import Gateway
from ingress.runtime.clock import Clock
from ingress.runtime.logs import INGRESS_LOG
from ingress.server.request_handler import RequestHandler


class GatewayRunner:
    """Queues events for the `Gateway`, which is not re-entrant.

    Attributes:
        requests: The requests in flight; set after construction, because the handler needs `feed`.
        perform: Performs an action; set after construction, because its components need `feed`.
        gateway: Decides on the events.
        clock: Returns Unix time in seconds.
        queue: The events that wait, each with its time or None.
        is_handling: Whether an event is being handled.
    """

    requests: RequestHandler
    perform: Callable[[Action], None]

    def __init__(self, gateway: Gateway, clock: Clock) -> None:
        self.gateway = gateway
        self.clock = clock
        self.queue: deque[tuple[Event, float | None]] = deque()
        self.is_handling = False

    def feed(self, event: Event, at: float | None = None) -> None:
        """Handle an event now, or after the events that are already queued.

        Args:
            event: The event.
            at: The time of the event by the clock of the process; None means the time at which it is handled.
        """
        self.queue.append((event, at))
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.queue:
                self._handle(*self.queue.popleft())
        finally:
            self.is_handling = False

    def _handle(self, event: Event, at: float | None) -> None:
        failed = False
        try:
            actions = self.gateway.handle(self.clock() if at is None else at, event)
        except Exception:
            # A fault in the decisions must not affect the process or other requests: the actions decided so far, such
            # as timers, are performed, and only the request of this event is aborted.
            INGRESS_LOG.exception("the module failed on %s", type(event).__name__)
            actions = self.gateway.actions
            failed = True
        self._perform_all(actions)
        request_id = getattr(event, "request_id", None)
        if request_id is not None:
            self._finish(request_id, event, failed)

    def _perform_all(self, actions: Sequence[Action]) -> None:
        for action in list(actions):
            try:
                self.perform(action)
            except Exception:
                INGRESS_LOG.exception("could not perform the action %s", type(action).__name__)

    def _finish(self, request_id: str, event: Event, failed: bool) -> None:
        """Remove a request after its last event, or abort it after a fault; a value that has begun is completed."""
        request = self.requests.in_flight.get(request_id)
        if request is None:
            return
        if isinstance(event, ClientDisconnected) or (isinstance(event, AttemptEnded) and event.request_finished):
            self.requests.forget(request_id)
        elif failed and not request.has_owner():
            self.requests.abort(request)
