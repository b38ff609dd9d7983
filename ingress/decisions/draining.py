"""Draining: the load balancer is notified first, and idle clients are disconnected once it sends nothing new.

Requests that still arrive are admitted like any others, because a load balancer that has not noticed yet continues to
send them.
"""

from __future__ import annotations

from ingress.decisions.actions import Action, CloseIdleClients, SetReadiness, SetTimer
from ingress.decisions.events import DrainRequested
from ingress.decisions.timers import TimerToken

# The time from the first "not ready" until the load balancer certainly sends nothing new.
READINESS_PROPAGATION_DELAY_S = 0.5


class Draining:
    """The drain state of this gateway.

    Attributes:
        by_operator: Whether an operator has requested a drain, which can be cancelled.
        by_shutdown: Whether the gateway drains because the process exits afterwards, which can't be cancelled.
        active: Whether the gateway drains, for either reason.
        clients_close_at: The time in seconds from which on idle clients may be disconnected.
    """

    def __init__(self) -> None:
        self.by_operator = False
        self.by_shutdown = False
        self.active = False
        self.clients_close_at = 0.0

    def request(self, now: float, event: DrainRequested, has_successor: bool) -> list[Action]:
        """Start or cancel a drain, and return the actions for it.

        Clients that are disconnected before the load balancer has noticed the drain would reconnect to this gateway, so
        their connections are closed after a delay.

        Args:
            now: The current time in seconds.
            event: The requested change.
            has_successor: Whether another process of this gateway accepts the new connections, so that the gateway
                stays available and the load balancer need not notice.
        """
        if event.process_exits:
            self.by_shutdown = True
        else:
            self.by_operator = event.draining
        if self.by_shutdown and has_successor:
            return [CloseIdleClients(True)]
        active = self.by_operator or self.by_shutdown
        if active is self.active:
            return []
        self.active = active
        if not active:
            return [SetReadiness(True), CloseIdleClients(False)]
        self.clients_close_at = now + READINESS_PROPAGATION_DELAY_S
        return [SetReadiness(False), SetTimer(READINESS_PROPAGATION_DELAY_S, TimerToken.DRAINED)]

    def timer_fired(self, now: float, timer_resolution: float) -> list[Action]:
        """Disconnect idle clients, unless the drain was cancelled or restarted after this timer was set."""
        if self.active and now >= self.clients_close_at - timer_resolution:
            return [CloseIdleClients(True)]
        return []
