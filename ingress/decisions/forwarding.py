"""Forwarding: the attempts of admitted requests, from the first attempt to the final answer of the request."""

from __future__ import annotations

from ingress.decisions.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    ShareSentId,
    ShareUsage,
    StartAttempt,
)
from ingress.decisions.admission import RejectionReason
from ingress.decisions.attempt_outcomes import OutcomeRecorder
from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.cluster import Cluster
from ingress.decisions.customers import CustomerQuotas
from ingress.decisions.endpoint import Outcome
from ingress.decisions.endpoint_state import AttemptId, TrackedEndpoint
from ingress.decisions.events import AttemptEnded, ResponseStarted
from ingress.decisions.handover_state import QuotaUsage
from ingress.decisions.hedging import Hedging
from ingress.decisions.process_state import ProcessState
from ingress.decisions.retry import RetryBudget
from ingress.decisions.sent_ids import SentIds
from ingress.decisions.settings import Plan, Settings

MIN_ATTEMPT_TIMEOUT_S = 1e-6


class Forwarder:
    """The requests in flight and their attempts.

    Attributes:
        actions: The actions of the event being handled; `Gateway.handle` starts a new list for each event.
        requests: The requests that have no final answer yet, by request id.
        attempts: The requests of all attempts in flight, including requests that already have their final answer.
        retry_budget: The budget that limits retries and hedges.
        hedging: The schedule of hedges.
        sent_ids: The ids of requests that may not be repeated.
    """

    def __init__(
        self, settings: Settings, cluster: Cluster, customers: CustomerQuotas, process_state: ProcessState
    ) -> None:
        self.actions: list[Action] = []
        self.requests: dict[str, InFlightRequest] = {}
        self.attempts: dict[AttemptId, InFlightRequest] = {}
        self.retry_budget = RetryBudget(cluster)
        self.hedging = Hedging()
        self.sent_ids = SentIds()
        self._settings = settings
        self._cluster = cluster
        self._customers = customers
        self._process_state = process_state
        self._outcomes = OutcomeRecorder(settings, cluster)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings
        self._outcomes.apply_settings(settings)

    def send(self, now: float, request: InFlightRequest) -> bool:
        """Send one attempt; return whether an endpoint was available for it."""
        endpoint = self._cluster.load_balancer.choose_endpoint(request, now)
        if endpoint is None:
            return False
        is_first = not request.attempted
        if is_first:
            self._record_first_attempt(now, request)
        start_within = request.start_within(now, self._settings)
        attempt_id = request.add_attempt(endpoint, now)
        self._customers.advance_concurrency(now, request.customer)
        request.customer.concurrency.in_flight += 1
        endpoint.attempt_started(attempt_id, now)
        self._cluster.congestion.attempt_started(attempt_id, request.request_class.latency_objective, now)
        self.attempts[attempt_id] = request
        if self._process_state.usage_is_shared():
            self._share_attempt_usage(now, request, endpoint, is_first)
        timeout = max(request.deadline - now, MIN_ATTEMPT_TIMEOUT_S)
        self.actions.append(StartAttempt(request.id, endpoint.info.id, timeout, start_within))
        return True

    def _record_first_attempt(self, now: float, request: InFlightRequest) -> None:
        """Spend the customer's units, add to the retry budget, and schedule a hedge."""
        request.attempted = True
        self.retry_budget.deposit()
        if request.request_key:
            self.sent_ids.add(now, request.request_key)
            if self._process_state.group.other_processes:
                self.actions.append(ShareSentId(request.request_key))
        if request.plan.ceiling_rate:
            request.customer.ceiling.take(request.units)
        if request.within_quota:
            request.customer.take(request.units)
        if self._settings.hedging_allowed and not request.misses_objective:
            timer = self.hedging.schedule(now, request, self._cluster.latencies.longest_objective)
            if timer is not None:
                self.actions.append(timer)

    def _share_attempt_usage(
        self, now: float, request: InFlightRequest, endpoint: TrackedEndpoint, is_first: bool
    ) -> None:
        customer = request.customer
        work = 0.0
        if endpoint.warming_up(now, self._settings):
            work = self._cluster.latencies.relative_work(request.request_class, request.units)
        usage = QuotaUsage(
            customer.name,
            customer.plan.name,
            customer.gateway_count,
            units=request.units if is_first else 0.0,
            within_quota=request.within_quota,
            attempts_delta=1,
            endpoint_id=endpoint.info.id,
            slow_start_work=work,
        )
        self.actions.append(ShareUsage(usage))

    def finish_without_response(self, request: InFlightRequest, reason: RejectionReason) -> None:
        """Give the final answer of this gateway: a rejection if the client may safely retry, a failure otherwise."""
        request.finished = True
        self.requests.pop(request.id, None)
        self._forget_unsent(request)
        if request.may_reject():
            self.actions.append(RejectRequest(request.id, retry_after(request.units, request.plan), reason.value))
        else:
            self.actions.append(FailRequest(request.id, reason.value))

    def _forget_unsent(self, request: InFlightRequest) -> None:
        """Let the id of a request come again if none of its attempts can have run."""
        if request.request_key and not request.may_have_run:
            self.sent_ids.forget(request.request_key)

    def client_disconnected(self, request_id: str) -> None:
        """Drop a request whose client is no longer waiting; attempts without a response continue until they end."""
        if (request := self.requests.pop(request_id, None)) is not None:
            request.finished = True
            if request.streaming_attempt is not None:
                self._cancel(request, [request.streaming_attempt])

    def response_started(self, now: float, event: ResponseStarted) -> None:
        """Record that a response has started: the endpoint has done its work.

        The first response answers the request, and no other attempt can replace it. A later one, or one that its
        client does not wait for, is not needed.
        """
        attempt_id = AttemptId(event.request_id, event.attempt)
        request = self.attempts.get(attempt_id)
        if request is None or event.attempt in request.responded:
            return
        request.responded += (event.attempt,)
        endpoint = request.in_flight[event.attempt]
        endpoint.attempt_ended(attempt_id, now)
        if request.finished or request.streaming_attempt is not None:
            self._outcomes.record_response(now, request, endpoint, event.latency)
            self._cancel(request, [event.attempt])
            return
        request.streaming_attempt = event.attempt
        self._record_response(now, request, endpoint, event)

    def attempt_ended(self, now: float, event: AttemptEnded) -> None:
        """Record how an attempt ended; after a failure, retry it or give the final answer."""
        attempt_id = AttemptId(event.request_id, event.attempt)
        request = self.attempts.pop(attempt_id, None)
        if request is None:
            return
        endpoint = request.in_flight.pop(event.attempt)
        self._release_concurrency(now, request)
        sent_at = endpoint.attempt_ended(attempt_id, now)
        self._cluster.congestion.attempt_ended(attempt_id, now)
        if event.outcome.never_ran:
            request.record_never_ran(endpoint, sent_at)
        self._cluster.outliers.check_load_report(event.load_report)
        if event.outcome is Outcome.OK:
            if event.attempt not in request.responded:
                self._record_response(now, request, endpoint, event)
            if event.settled_units and request.within_quota:
                request.customer.settle(event.settled_units - request.units)
        elif event.outcome is not Outcome.NOT_SENT and not event.local_failure:
            self._outcomes.record_failure(now, request, endpoint, event, sent_at)
        if event.request_finished or request.finished:
            request.finished = True
            self.requests.pop(request.id, None)
            self._forget_unsent(request)
        elif not request.in_flight and not self._retry(now, request):
            self.finish_without_response(request, RejectionReason.ATTEMPTS_FAILED)

    def _release_concurrency(self, now: float, request: InFlightRequest) -> None:
        customer = request.customer
        self._customers.advance_concurrency(now, customer)
        customer.concurrency.in_flight -= 1
        if self._process_state.usage_is_shared():
            usage = QuotaUsage(customer.name, customer.plan.name, customer.gateway_count, attempts_delta=-1)
            self.actions.append(ShareUsage(usage))

    def _record_response(
        self, now: float, request: InFlightRequest, endpoint: TrackedEndpoint, event: AttemptEnded | ResponseStarted
    ) -> None:
        """Record a response, and cancel the other attempts of its request unless one of them answers it already."""
        self._outcomes.record_response(now, request, endpoint, event.latency)
        if request.streaming_attempt not in (None, event.attempt):
            return
        others = [number for number in request.in_flight if number != event.attempt]
        if others and not request.finished:
            self.hedging.record_winner(event.attempt > min(others))
        self._cancel(request, others)

    def _cancel(self, request: InFlightRequest, numbers: list[int]) -> None:
        """Cancel attempts that are not needed any more, if the settings allow it; otherwise they end by themselves."""
        if self._settings.cancellation_allowed:
            self.actions += [CancelAttempt(request.id, number) for number in numbers]

    def _retry(self, now: float, request: InFlightRequest) -> bool:
        """Send a retry, unless the client may have a part of a response already; return whether it was sent."""
        return request.streaming_attempt is None and self._send_again(now, request, max_saturation=0.0)

    def _send_again(self, now: float, request: InFlightRequest, max_saturation: float) -> bool:
        """Send a retry or hedge; return whether it was sent."""
        sent = self.retry_budget.allows(now, request, max_saturation) and self.send(now, request)
        if sent:
            self.retry_budget.withdraw()
        return sent

    def hedge_timer_fired(self, now: float) -> None:
        """Send the hedges that are due."""
        self._cluster.outliers.record_timer_delay(now, now - self.hedging.timer_due_at)
        max_saturation = self.hedging.max_saturation()
        for request in self.hedging.pop_due(now, self._settings.timer_resolution):
            self._send_again(now, request, max_saturation)
        if (timer := self.hedging.next_timer(now)) is not None:
            self.actions.append(timer)


def retry_after(units: float, plan: Plan) -> float:
    """Return the seconds in which the quota of a plan refills by `units`; 0 without a rate.

    This is the rate of all gateways together, because the client may retry through any of them.
    """
    return units / plan.rate if plan.rate else 0.0
