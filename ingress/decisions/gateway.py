"""The decision logic of one gateway: dispatches each event to the module that decides what to do about it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from ingress.decisions.actions import Action, FailRequest, RejectRequest, SetTimer, WatchEndpoints
from ingress.decisions.admission import Admission, RejectionReason
from ingress.decisions.attempts import InFlightRequest
from ingress.decisions.cluster import Cluster
from ingress.decisions.customers import CustomerQuotas
from ingress.decisions.draining import Draining
from ingress.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    CustomerLimitChanged,
    DrainRequested,
    EndpointListKind,
    EndpointsChanged,
    Event,
    HealthCheckEnded,
    ProcessGroupChanged,
    RequestIdSent,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
    UploadFinished,
    UploadStarted,
    UsageUnknown,
)
from ingress.decisions.forwarding import Forwarder, retry_after
from ingress.decisions.handover_state import CustomerState, HandoverState, QuotaUsage
from ingress.decisions.process_state import ProcessState
from ingress.decisions.quota import CustomerQuota
from ingress.decisions.settings import Plan, RequestClass, Settings
from ingress.decisions.timers import TimerToken

CLEANUP_INTERVAL_S = 60.0
# After a failed call, the endpoint list is subscribed to again after a random share of `discovery_poll_deadline`.  The
# upper bound leaves time for further attempts before that deadline, in case the next ones fail too.
DISCOVERY_RETRY_MIN_RATIO = 0.1
DISCOVERY_RETRY_MAX_RATIO = 0.25


class Gateway:
    """The decision logic of one gateway.

    Attributes:
        settings: The current settings.
        rng: The only source of random draws.
        classes: The request classes, by name.
        cluster: The endpoints and the load balancing among them.
        quotas: The quotas of the customers.
        draining: The drain state of this gateway.
        process_state: The state that is shared with other processes of this gateway.
        admission: The checks of new requests.
        forwarder: The requests in flight.
        actions: The actions of the last event, also where its handling failed half-way.
    """

    def __init__(
        self, settings: Settings, seed: int, make_cluster: Callable[[Settings, random.Random], Cluster] = Cluster
    ) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = _classes_by_name(settings)
        self.cluster = make_cluster(settings, self.rng)
        self.quotas = CustomerQuotas(settings, self.cluster)
        self.draining = Draining()
        self.process_state = ProcessState(self.quotas, self.cluster, self.draining)
        self.admission = Admission(settings, self.quotas, self.cluster)
        self.forwarder = Forwarder(settings, self.cluster, self.quotas, self.process_state)
        self.actions: list[Action] = []
        self._discovery_retry_pending = False
        self._started = False

    @property
    def plans(self) -> Mapping[str, Plan]:
        """The plans of the customers, by name."""
        return self.quotas.plans

    @property
    def customers(self) -> Mapping[str, CustomerQuota]:
        """The quotas of the customers seen recently, by name."""
        return self.quotas.by_name

    @property
    def requests(self) -> Mapping[str, InFlightRequest]:
        """The requests without a final answer, by request id."""
        return self.forwarder.requests

    def handle(self, now: float, event: Event) -> list[Action]:
        """Return the actions to take in response to an event.

        Args:
            now: The current time in seconds, which must not be less than at the previous event.
            event: The event that occurred.
        """
        self.actions = self.forwarder.actions = []
        if not self._started:
            self._start(now)
        self._dispatch(now, event)
        outliers = self.cluster.outliers
        if outliers.pending_actions:
            self.actions += outliers.pending_actions
            outliers.pending_actions = []
        return self.actions

    def _start(self, now: float) -> None:
        self._started = True
        self.quotas.start(now, now)
        self.actions.append(SetTimer(CLEANUP_INTERVAL_S, TimerToken.CLEANUP))
        if self.settings.polls_discovery:
            self.actions.append(WatchEndpoints())

    def _dispatch(self, now: float, event: Event) -> None:
        """Dispatch the events of requests, which are the vast majority, and pass on all others."""
        match event:
            case RequestReceived():
                self._request_received(now, event)
            case AttemptEnded():
                self.forwarder.attempt_ended(now, event)
            case ResponseStarted():
                self.forwarder.response_started(now, event)
            case ClientDisconnected(request_id=request_id):
                self.forwarder.client_disconnected(request_id)
            case UploadStarted(request_id=request_id) if request_id in self.requests:
                self.requests[request_id].upload_started = True
            case UploadFinished(request_id=request_id, time_left=time_left) if request_id in self.requests:
                self.requests[request_id].deadline = now + time_left
            case TimerFired(token=token):
                self._timer_fired(now, token)
            case QuotaUsage():
                self.process_state.record_usage(now, event)
            case _:
                self._dispatch_control_event(now, event)

    def _dispatch_control_event(self, now: float, event: Event) -> None:
        """Dispatch an event that changes the gateway itself, its endpoints or its process group; ignore others."""
        match event:
            case EndpointsChanged():
                self._endpoints_changed(now, event)
            case HealthCheckEnded():
                self.cluster.outliers.check_load_report(event.load_report)
                self.cluster.outliers.health_check_ended(now, event)
            case SettingsChanged(settings=settings):
                self._apply_settings(now, settings)
            case DrainRequested():
                self.actions += self.draining.request(now, event, self.process_state.group.has_successor)
            case ProcessGroupChanged():
                self.process_state.change_group(event)
            case HandoverState():
                self.actions += self.process_state.restore(now, event)
            case CustomerLimitChanged(max_customers=max_customers):
                self.quotas.max_customers = max_customers
                self.forwarder.sent_ids.max_ids = max_customers
            case RequestIdSent(request_key=request_key):
                self.forwarder.sent_ids.add(now, request_key)
            case UsageUnknown(usage_known_since=usage_known_since):
                self.quotas.usage_known_since = usage_known_since

    def _request_received(self, now: float, event: RequestReceived) -> None:
        plan = self.plans.get(event.plan)
        request_class = self.classes.get(event.request_class)
        if plan is None or request_class is None:  # the settings changed while the request was being received
            self.actions.append(FailRequest(event.request_id, RejectionReason.UNKNOWN_CLASS_OR_PLAN.value))
            return
        if event.request_key in self.forwarder.sent_ids:
            self.actions.append(FailRequest(event.request_id, RejectionReason.REPEATED_ID.value))
            return
        if not self.quotas.has_room(now, event.customer):
            refill_time = retry_after(event.units, plan)
            self.actions.append(RejectRequest(event.request_id, refill_time, RejectionReason.MEMORY.value))
            return
        customer = self.quotas.get(now, event.customer, plan, event.gateway_count)
        request = InFlightRequest.received(now, event, request_class, customer)
        self.forwarder.requests[event.request_id] = request
        reason = self.admission.check(now, event, request)
        if reason is None and not self.forwarder.send(now, request):
            reason = RejectionReason.NO_ENDPOINT
        if reason is not None:
            self.forwarder.finish_without_response(request, reason)

    def _endpoints_changed(self, now: float, event: EndpointsChanged) -> None:
        """Apply an endpoint list; after failures, schedule one new subscription, however many calls have failed."""
        self.cluster.endpoints.apply_list(event, now)
        if event.kind is EndpointListKind.UNAVAILABLE and not self._discovery_retry_pending:
            self._discovery_retry_pending = True
            ratio = self.rng.uniform(DISCOVERY_RETRY_MIN_RATIO, DISCOVERY_RETRY_MAX_RATIO)
            delay = ratio * self.settings.discovery_poll_deadline
            self.actions.append(SetTimer(delay, TimerToken.DISCOVERY_RETRY))

    def _timer_fired(self, now: float, token: int) -> None:
        match token:
            case TimerToken.CLEANUP:
                self.actions.append(SetTimer(CLEANUP_INTERVAL_S, TimerToken.CLEANUP))
                self.quotas.remove_idle(now)
            case TimerToken.DISCOVERY_RETRY:
                self._discovery_retry_pending = False
                self.actions.append(WatchEndpoints())
            case TimerToken.HEDGE:
                self.forwarder.hedge_timer_fired(now)
            case TimerToken.DRAINED:
                self.actions += self.draining.timer_fired(now, self.settings.timer_resolution)

    def _apply_settings(self, now: float, settings: Settings) -> None:
        starts_polling = settings.polls_discovery and not self.settings.polls_discovery
        self.settings = settings
        self.classes = _classes_by_name(settings)
        self.quotas.apply_settings(now, settings)
        self.admission.apply_settings(settings)
        self.forwarder.apply_settings(settings)
        self.cluster.apply_settings(settings)
        if starts_polling:
            self.actions.append(WatchEndpoints())

    def health(self) -> dict[str, int]:
        """Return the endpoints by health, the ejections, health checks and invalid load reports, by metric name."""
        return self.cluster.outliers.metrics()

    def customer_metrics(self) -> dict[str, int]:
        """Return the number of tracked customers, by metric name."""
        return {"customers": len(self.quotas.by_name)}

    def customer_states(self, now: float, names: Iterable[str]) -> list[CustomerState]:
        """Return the states of the customers among `names` that any limit restricts."""
        return self.quotas.states(now, names)

    def handover_state(self, now: float, customers: bool = True) -> HandoverState:
        """Return the state for the process that replaces this one, with or without the customers."""
        return self.process_state.snapshot(now, customers)


def _classes_by_name(settings: Settings) -> dict[str, RequestClass]:
    return {request_class.name: request_class for request_class in settings.classes}
