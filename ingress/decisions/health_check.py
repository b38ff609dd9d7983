"""Health checks: when this gateway checks an ejected endpoint before sending requests to it again.

All gateways share one budget of checks for each endpoint, so each gateway starts its checks at a random time.
"""

from __future__ import annotations

import random
from math import inf

from ingress.decisions.actions import StartHealthCheck
from ingress.decisions.endpoint_health import EndpointHealth
from ingress.decisions.settings import Settings

TIMEOUT_RATIO = 0.5  # the timeout of a health check as a share of the longest latency objective
MAX_COST_PER_SECOND = 0.02  # for the checks of one endpoint by all gateways, as a share of the value of a request
MAX_CHECKS_PER_SECOND = 4.0  # for one endpoint and all gateways together, however cheap the checks are


class HealthChecks:
    """The schedule of health checks.

    Attributes:
        interval: The interval in seconds at which this gateway may check one endpoint.
        started: The number of checks started so far.
    """

    def __init__(self, settings: Settings, longest_objective: float, rng: random.Random) -> None:
        self.rng = rng
        self.started = 0
        self.apply_settings(settings, longest_objective)

    def apply_settings(self, settings: Settings, longest_objective: float) -> None:
        """Apply new settings and the longest latency objective in seconds."""
        self.allowed = settings.health_checks_allowed
        self.longest_objective = longest_objective
        cost = settings.health_check_cost
        affordable_rate = MAX_COST_PER_SECOND / cost if cost > 0 else MAX_CHECKS_PER_SECOND
        self.interval = settings.gateway_count / min(MAX_CHECKS_PER_SECOND, affordable_rate)

    def schedule(self, health: EndpointHealth, now: float) -> None:
        """Draw the earliest time of the next check of the endpoint at random within one interval."""
        health.next_health_check_at = now + self.rng.random() * self.interval

    def is_due(self, health: EndpointHealth, now: float) -> bool:
        """Return whether this gateway should check the endpoint now."""
        return self.allowed and health.health_check_deadline == -inf and now >= health.next_health_check_at

    def start(self, health: EndpointHealth, now: float) -> StartHealthCheck:
        """Return the action that starts a check of the endpoint, and record the check."""
        health.health_check_deadline = now + self.longest_objective
        health.next_health_check_at = now + self.interval
        self.started += 1
        return StartHealthCheck(health.id, self.longest_objective * TIMEOUT_RATIO)

    def end(self, health: EndpointHealth, now: float) -> bool:
        """Record the end of a check, and return whether its result arrived in time to count."""
        if now >= health.health_check_deadline:
            return False
        health.health_check_deadline = -inf
        return True
