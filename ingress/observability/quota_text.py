"""Format the report on quotas as text.

In the printed text, requests "sent on" are the forwarded ones, those "beyond" were over the quota, and those "refused"
were rejected.  "Worth asked inside" is the weight within the quota, and "repeats" are requests marked as retries.
"""

from __future__ import annotations

from collections.abc import Iterator

from ingress.observability.log_reader import input_as_text
from ingress.observability.quota_replay import CustomerReport, Origin, PlanReport, QuotaReport, Tally

MAX_PRINTED_INGRESSES = 10  # per customer
DECIMAL_PLACES = 6  # in units, costs and weights


def as_text(report: QuotaReport) -> Iterator[str]:
    """Yield the lines of the report in text form."""
    yield f"{report.requests} requests at {report.ingresses} ingresses"
    yield from input_as_text(report.counts, report.unreadable)
    if report.unmatched_attempts:
        yield f"attempts of no request in these logs, left out: {report.unmatched_attempts}"
    for plan in report.plans:
        if plan.customers:
            yield from _plan_as_text(plan)
    for customer in report.customers:
        yield from _customer_as_text(customer)


def _plan_as_text(plan: PlanReport) -> Iterator[str]:
    yield (
        f"plan {plan.plan}: asked {_tally(plan.asked)}, sent on {_tally(plan.forwarded)}, "
        f"beyond {_tally(plan.over_quota)}, refused {_tally(plan.rejected)}"
    )
    share = "none" if plan.over_quota_cost_share is None else f"{plan.over_quota_cost_share:.2%}"
    yield (
        f"  cost beyond {_number(plan.over_quota_cost)} over worth asked inside {_number(plan.within_quota_weight)}: "
        f"{share} "
        f"(of that worth, {_number(plan.within_quota_retry_weight)} by repeats)"
    )
    if not plan.over_quota.requests:
        return
    yield (
        f"  beyond: {plan.customers_over_quota} of {plan.customers} customers, "
        f"sent on by {plan.ingresses_over_quota} ingresses"
    )
    yield from _origin_as_text(plan.origin)


def _origin_as_text(origin: Origin) -> Iterator[str]:
    yield (
        f"  units beyond: {_number(origin.first_request)} in the first request at an ingress, "
        f"{_number(origin.later_request)} in later ones"
    )
    if origin.after_restart:
        yield (
            f"  of them after a restart of the ingress: {_number(origin.after_restart)}, "
            f"{_number(origin.first_after_restart)} in first requests"
        )


def _customer_as_text(customer: CustomerReport) -> Iterator[str]:
    """Yield the lines on one customer; each ingress is one gateway, so that `gateway_count` counts ingresses."""
    forwarding_ingresses = customer.ingresses
    names = ", ".join(forwarding_ingresses[:MAX_PRINTED_INGRESSES])
    if len(forwarding_ingresses) > MAX_PRINTED_INGRESSES:
        names += ", ..."
    yield (
        f"customer {customer.customer} ({customer.plan}): beyond {_tally(customer.over_quota)} of "
        f"{_tally(customer.forwarded)} sent on, by {len(forwarding_ingresses)} ingresses, "
        f"of {customer.gateway_count} that it may use: {names}"
    )
    yield "  beyond: " + ", ".join(f"{example.id} at {example.ingress}" for example in customer.examples)


def _tally(tally: Tally) -> str:
    return f"{_number(tally.units)} units ({tally.requests} requests)"


def _number(value: float) -> str:
    """Format a number with thousands separators and at most 10 significant digits."""
    return f"{round(value, DECIMAL_PLACES):,.10g}"
