"""The budget for requests that are granted from unearned units of a customer's slice (docs/design.md)."""

from __future__ import annotations

from ingress.decisions.settings import Plan, Settings

MAX_OVERAGE_COST_RATIO = 0.1  # the maximum cost of units beyond quotas, relative to the value of all requests
# The share of requests beyond the quota if all are granted: for each request within the quota, customers send another
# 0.6 to 0.9 beyond it.
OVER_QUOTA_RATIO = 0.75 / 1.75
# The demand of a customer that exceeds its quota, as a multiple of its rate; it determines how long a burst lasts.
HEAVY_USE_RATIO = 3.0
GRANT_RATE_SMOOTHING = 0.05  # the weight of the newest request in a moving average over about the last twenty


class OverageBudget:
    """The limit on what one gateway grants from unearned units, and so on what all gateways grant together.

    Each request for which there is capacity adds a share of its value to the budget; a request that is granted from
    unearned units takes its expected cost.

    Attributes:
        level: The value that may be spent.
        grant_rate: The share granted of the requests that recently needed unearned units, as a moving average.
        max_cost: The highest over-quota cost of any plan.
        capacity: The maximum of `level`: the cost of one request of the largest size under the most expensive plan.
    """

    def __init__(self, settings: Settings, level: float = 0.0, grant_rate: float = 1.0) -> None:
        self.level = level
        self.grant_rate = grant_rate
        self.max_cost = max(plan.over_quota_cost for plan in settings.plans)
        highest_cost = max(plan.over_quota_cost * plan.weight_factor for plan in settings.plans)
        self.capacity = highest_cost * settings.max_request_units

    def allow(self, value: float, unearned_ratio: float, plan: Plan, gateway_age: float) -> bool:
        """Return whether the budget allows a request, and account for it.

        As the budget runs out, requests of plans with a low over-quota cost are allowed the longest, because rejecting
        them saves the least.

        Args:
            value: The priority weight of the request, times the weight factor of its plan and its units.
            unearned_ratio: The share of the request, 0 to 1, that would be granted from unearned units.
            plan: The plan of the customer.
            gateway_age: The seconds since the gateway started; at first customers still have their bursts, so that
                little is spent beyond quotas.
        """
        self.level = min(self.capacity, self.level + MAX_OVERAGE_COST_RATIO * value)
        if not unearned_ratio or plan.over_quota_cost <= plan.over_quota_value:
            return True
        allowed = self.level > (plan.over_quota_cost / self.max_cost - 1.0) * self.capacity
        self.grant_rate += (allowed - self.grant_rate) * unearned_ratio * GRANT_RATE_SMOOTHING
        burst_used = min(1.0, (HEAVY_USE_RATIO - 1.0) * plan.rate * gateway_age / plan.burst) if plan.burst else 1.0
        cost = allowed * plan.over_quota_cost * value * unearned_ratio
        self.level -= cost * OVER_QUOTA_RATIO * self.grant_rate * burst_used
        return allowed
