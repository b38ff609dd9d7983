"""The budget for requests that are granted from unearned units of a customer's slice (docs/design.md)."""

from __future__ import annotations

from ingress.decisions.settings import Plan, Settings

# The share of each request's value that is added to the budget, and so the maximum cost of units beyond quotas,
# relative to the value of all requests.
MAX_OVERAGE_COST_RATIO = 0.1
# The assumed share of the requests beyond the quota among all requests, if all are granted: for each request within the
# quota, customers send another 0.6 to 0.9 (here 0.75) beyond it.
OVER_QUOTA_RATIO = 0.75 / 1.75
# The demand of a customer that exceeds its quota, as a multiple of its rate; it determines how long a burst lasts.
HEAVY_USE_RATIO = 3.0
# The weight of the newest request, if all its units are unearned, in a moving average over about the last twenty.
GRANT_RATE_SMOOTHING = 0.05


class OverageBudget:
    """The limit on what one gateway grants from unearned units, and so on what all gateways grant together.

    Each request for which there is capacity adds a share of its value to the budget; a request that is granted from
    unearned units takes its expected cost.

    Attributes:
        level: The value that is left to spend; negative after a request was allowed that cost more than was left.
        grant_rate: The moving average of the share of requests that were allowed, among those that needed unearned
            units and cost more than their value; each is weighted by its share of unearned units.
        max_cost: The highest over-quota cost of any plan.
        capacity: The maximum of `level`: the cost of one request of the largest size under the most expensive plan, at
            a priority weight of 1.
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
        # The level above which a request of the plan is allowed is 0 for the highest over-quota cost, and the closer to
        # -capacity the lower the cost.
        allowed = self.level > (plan.over_quota_cost / self.max_cost - 1.0) * self.capacity
        self.grant_rate += (allowed - self.grant_rate) * unearned_ratio * GRANT_RATE_SMOOTHING
        # The share of its burst that a customer at HEAVY_USE_RATIO times its rate has used since the gateway started.
        burst_used = min(1.0, (HEAVY_USE_RATIO - 1.0) * plan.rate * gateway_age / plan.burst) if plan.burst else 1.0
        cost = allowed * plan.over_quota_cost * value * unearned_ratio
        self.level -= cost * OVER_QUOTA_RATIO * self.grant_rate * burst_used
        return allowed
