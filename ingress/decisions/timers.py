"""The timers of a gateway, which `SetTimer` and `TimerFired` identify by a token."""

from __future__ import annotations

from enum import IntEnum


class TimerToken(IntEnum):
    """The purpose of a timer."""

    CLEANUP = 0  # drop idle customers
    DISCOVERY_RETRY = 1  # watch the endpoint list again after a failure
    HEDGE = 2  # a hedge of the oldest unanswered request is due
    DRAINED = 3  # the load balancer has certainly noticed that this gateway is not ready
