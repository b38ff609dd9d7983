"""The state that the processes of one gateway share, since they serve in parallel during an upgrade."""

from __future__ import annotations

from ingress.decisions.actions import Action
from ingress.decisions.cluster import Cluster
from ingress.decisions.customers import CustomerQuotas
from ingress.decisions.draining import Draining
from ingress.decisions.events import DrainRequested, ProcessGroupChanged
from ingress.decisions.handover_state import HandoverState, QuotaUsage


class ProcessState:
    """Shares usage with the other processes, and hands over the complete state to a successor.

    Attributes:
        group: The other processes of this gateway, as last reported.
    """

    def __init__(self, customers: CustomerQuotas, cluster: Cluster, draining: Draining) -> None:
        self.group = ProcessGroupChanged(0)
        self._customers = customers
        self._cluster = cluster
        self._draining = draining

    def usage_is_shared(self) -> bool:
        """Return whether usage must be sent to other processes or persisted for the process after a crash."""
        return bool(self.group.other_processes or self.group.usage_persisted)

    def change_group(self, group: ProcessGroupChanged) -> None:
        """Record the other processes; without any, the attempts in flight elsewhere have ended."""
        self.group = group
        if not group.other_processes:
            for customer in self._customers.by_name.values():
                customer.concurrency.in_flight_elsewhere = 0

    def record_usage(self, now: float, usage: QuotaUsage) -> None:
        """Take the usage of another process of this gateway from the quota and the slow start budgets."""
        if usage.plan not in self._customers.plans:
            return
        self._customers.record_usage(now, usage)
        endpoint = self._cluster.endpoints.by_id.get(usage.endpoint_id) if usage.slow_start_work else None
        if endpoint is not None:
            # Refilling comes first: otherwise units that overflow a full bucket would offset the work.
            endpoint.slow_start_budget.refill(now)
            endpoint.slow_start_budget.take(usage.slow_start_work)

    def snapshot(self, now: float, include_customers: bool) -> HandoverState:
        """Return the state for the process that replaces this one."""
        customers = self._customers
        cluster = self._cluster
        return HandoverState(
            now if customers.started_at is None else customers.started_at,
            self._draining.by_operator,
            cluster.slow_start.typical_throughput,
            cluster.slow_start.current_work_rate(now),
            dict(cluster.latencies.mean_latencies),
            tuple(customer.state(now) for customer in customers.by_name.values()) if include_customers else (),
            tuple(endpoint.snapshot() for endpoint in cluster.endpoints.by_id.values()),
            {plan: customers.unseen_ceiling_level(now, plan) for plan in customers.unseen_ceilings},
            customers.usage_known_since,
        )

    def restore(self, now: float, state: HandoverState) -> list[Action]:
        """Restore the state of the predecessor or of a checkpoint; return the actions that follow from it.

        Without it, a new process would grant every customer a second burst and assume that every ceiling is empty.
        """
        customers = self._customers
        customers.usage_known_since = state.usage_known_since
        customers.start(now, state.started_at)
        for plan, level in state.unseen_ceiling_levels.items():
            customers.restore_unseen_ceiling(plan, level)
        self._cluster.restore(state, now)
        for customer in state.customers:
            customers.restore(now, customer)
        if state.draining:
            return self._draining.request(now, DrainRequested(), self.group.has_successor)
        return []
