"""Admission control: whether a request is forwarded, and the reason if it is not.

The checks run in this order, and the first one that fails decides:

1. memory: this process has room for one more request, in bytes and in number of requests;
2. deadline: the client is still waiting, and an answer still has some value;
3. ceiling: the customer stays below the rate that it must never exceed;
4. concurrency and quota: the customer is within its limits, or serving over the quota is worth its cost;
5. saturation: the endpoints have capacity for a request of this priority;
6. overage: the overage budget allows units that no refill has paid for;
7. endpoint: there is an endpoint to send the request to (`Forwarder.send`).
"""

from __future__ import annotations

from enum import Enum

from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.cluster import Cluster
from ingress.decisions.customers import CustomerQuotas
from ingress.decisions.events import RequestReceived
from ingress.decisions.overage_budget import OverageBudget
from ingress.decisions.settings import Settings

OVER_QUOTA_MAX_SATURATION = -0.1  # with less spare capacity than this, no request over its quota is forwarded


class RejectionReason(Enum):
    """The reason why a request gets no answer from an endpoint; docs/glossary.md explains the values.

    The values appear in logs (`reason`) and metrics (`turned_down`).  MEMORY also covers a process that has reached its
    maximum number of requests.  `Admission` does not return the last three: ATTEMPTS_FAILED is used after the
    last attempt has failed, UNKNOWN_CLASS_OR_PLAN after a change of the settings, and REPEATED_ID for a request that
    may have run already, whose client is not told that a retry is safe.
    """

    MEMORY = "memory"
    DEADLINE = "late"
    CEILING = "ceiling"
    CONCURRENCY = "open"
    QUOTA = "quota"
    SATURATION = "pressure"
    OVERAGE = "advance"
    NO_ENDPOINT = "servers"
    ATTEMPTS_FAILED = "attempt"
    UNKNOWN_CLASS_OR_PLAN = "unknown"
    REPEATED_ID = "repeated"


class Admission:
    """The checks of new requests.

    Attributes:
        overage_budget: The budget that limits what is granted from unearned units.
        client_timeouts: The seconds that clients last allowed for a request that is not a retry, by class name.
    """

    def __init__(self, settings: Settings, customers: CustomerQuotas, cluster: Cluster) -> None:
        self.overage_budget = OverageBudget(settings)
        self.client_timeouts: dict[str, float] = {}
        self._settings = settings
        self._customers = customers
        self._cluster = cluster

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; the overage budget keeps its level."""
        names = {request_class.name for request_class in settings.classes}
        self.client_timeouts = {name: timeout for name, timeout in self.client_timeouts.items() if name in names}
        self.overage_budget = OverageBudget(settings, self.overage_budget.level, self.overage_budget.grant_rate)
        self._settings = settings

    def check(self, now: float, event: RequestReceived, request: InFlightRequest) -> RejectionReason | None:
        """Run the checks in the order given above; return None if the request may be forwarded.

        Sets `misses_objective` and `within_quota` of the request, which later decisions need, and records its priority
        for ranking the requests that follow.
        """
        request.misses_objective = self._misses_objective(event, request)
        if not event.memory_available:
            return RejectionReason.MEMORY  # a process killed for its memory use would lose its entire state
        if request.deadline <= now or (request.misses_objective and not request.request_class.late_weight_factor):
            return RejectionReason.DEADLINE
        if request.plan.ceiling_rate and not request.customer.ceiling.fits(now, request.units):
            return RejectionReason.CEILING
        return self._check_quota_and_capacity(now, request)

    def _check_quota_and_capacity(self, now: float, request: InFlightRequest) -> RejectionReason | None:
        """Run the checks from the customer's limits to the overage budget, and set `request.within_quota`."""
        limit = self._check_customer_limits(now, request)
        request.within_quota = limit is None
        saturation = self._cluster.load_shedder.saturation(now)
        priority_rank = self._cluster.load_shedder.priority_rank(request)
        if limit is not None and not self._over_quota_is_worthwhile(request, saturation):
            return limit
        if saturation > priority_rank:
            return RejectionReason.SATURATION
        if request.within_quota and not self._overage_allowed(now, request):
            return RejectionReason.OVERAGE
        return None

    def _misses_objective(self, event: RequestReceived, request: InFlightRequest) -> bool:
        """Return whether the answer to a client's retry would come after the latency objective.

        Such retries would use capacity that other requests can still use in time.  The time left of a request that is
        marked as a retry indicates when the client first sent it, unless the client allows the retry as much time as a
        first request.
        """
        request_class = request.request_class
        if not event.is_retry:
            self.client_timeouts[request_class.name] = event.time_left
            return False
        timeout = self.client_timeouts.get(request_class.name, 0.0)
        if abs(event.time_left - timeout) <= self._settings.timer_resolution:
            return False
        waited = request_class.deadline - event.time_left + event.time_waited
        return waited + self._cluster.latencies.mean_latency(request_class) > request_class.latency_objective

    def _check_customer_limits(self, now: float, request: InFlightRequest) -> RejectionReason | None:
        """Return the customer limit that the request exceeds, as far as this gateway is aware, or None."""
        customer = request.customer
        self._customers.advance_concurrency(now, customer)
        if customer.concurrency.reached():
            return RejectionReason.CONCURRENCY
        if request.plan.rate and not customer.slice_fits(now, request.units):
            return RejectionReason.QUOTA
        return None

    @staticmethod
    def _over_quota_is_worthwhile(request: InFlightRequest, saturation: float) -> bool:
        """Return whether a request over the quota is worth more than it costs and there is spare capacity."""
        plan = request.plan
        return plan.over_quota_value > plan.over_quota_cost and saturation < OVER_QUOTA_MAX_SATURATION

    def _overage_allowed(self, now: float, request: InFlightRequest) -> bool:
        """Return whether the overage budget allows the request.

        This is the last check, because a request that is shed is not served and so must not add to the budget.
        """
        value = request.request_class.priority_weight * request.plan.weight_factor * request.units
        unearned_ratio = request.customer.unearned_ratio(request.units)
        return self.overage_budget.allow(value, unearned_ratio, request.plan, self._customers.gateway_age(now))
