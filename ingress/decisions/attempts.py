"""A request in flight, its attempts, and the rule that decides whether one more attempt may be sent."""

from __future__ import annotations

from msgspec import Struct

from ingress.decisions.endpoint_state import AttemptId, TrackedEndpoint
from ingress.decisions.events import RequestReceived
from ingress.decisions.quota import CustomerQuota
from ingress.decisions.settings import Idempotency, KeyScope, Plan, RequestClass, Settings


class Attempt(Struct, frozen=True):
    """An attempt that was sent to `endpoint` at the time `sent_at`, in seconds."""

    endpoint: TrackedEndpoint
    sent_at: float


class InFlightRequest(Struct, eq=False):
    """A request without a final answer.

    Attributes:
        id: The unique id of the request.
        request_class: The class of the request.
        customer: The quota of the customer that sent it.
        plan: The plan of the customer when the request was received, even if that changes later.
        units: The units that it takes from the quota.
        deadline: The time in seconds when the client gives up, unless the response has started.
        is_chunked: Whether its body is sent in chunks.
        request_key: The customer's own id of the request; empty if it may be repeated.
        upload_started: Whether chunks of its body have been sent to an endpoint.
        within_quota: Whether its units are taken from the slice.
        misses_objective: Whether the answer would come after the latency objective.
        attempted: Whether its first attempt was sent.
        finished: Whether it has its final answer, or its client has disconnected.
        streaming_attempt: The number of the attempt whose response has started first; only it can answer the request.
        responded: The numbers of the attempts whose response has started.
        attempts: All attempts, in order.
        in_flight: The endpoints of the attempts in flight, by attempt number.
        may_have_run: The attempts that are in flight or have ended without proof that they were not run.
    """

    id: str
    request_class: RequestClass
    customer: CustomerQuota
    plan: Plan
    units: float
    deadline: float
    is_chunked: bool
    request_key: str = ""
    upload_started: bool = False
    within_quota: bool = False
    misses_objective: bool = False
    attempted: bool = False
    finished: bool = False
    streaming_attempt: int | None = None
    responded: tuple[int, ...] = ()
    attempts: list[Attempt] = []
    in_flight: dict[int, TrackedEndpoint] = {}
    may_have_run: list[Attempt] = []

    @classmethod
    def received(
        cls, now: float, event: RequestReceived, request_class: RequestClass, customer: CustomerQuota
    ) -> InFlightRequest:
        """Return the request for an event, with the given class and customer."""
        return cls(
            id=event.request_id,
            request_class=request_class,
            customer=customer,
            plan=customer.plan,
            units=event.units,
            deadline=now + event.time_left - event.time_waited,
            is_chunked=event.is_chunked,
            request_key=event.request_key if request_class.idempotency is not Idempotency.IDEMPOTENT else "",
        )

    def add_attempt(self, endpoint: TrackedEndpoint, now: float) -> AttemptId:
        """Record that an attempt is sent to `endpoint`, and return its id."""
        number = len(self.attempts)
        attempt = Attempt(endpoint, now)
        self.attempts.append(attempt)
        self.may_have_run.append(attempt)
        self.in_flight[number] = endpoint
        return AttemptId(self.id, number)

    def record_never_ran(self, endpoint: TrackedEndpoint, sent_at: float) -> None:
        """Record the proof that the endpoint did not run an attempt."""
        self.may_have_run.remove(Attempt(endpoint, sent_at))

    def may_reject(self) -> bool:
        """Return whether the request may be rejected, which promises the client that a retry is safe."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT or not self.may_have_run

    def may_attempt(self, endpoint: TrackedEndpoint, now: float, settings: Settings) -> bool:
        """Return whether one more attempt may be sent to `endpoint`; guards against running a request twice.

        Both the total number of attempts and the number in flight are limited.  A chunked body can't be sent to a
        second endpoint.  Where an earlier attempt may have run, the class must be idempotent, or the endpoint must
        still recognise the idempotency key of the request as already used.
        """
        if len(self.attempts) >= settings.max_attempts or len(self.in_flight) > settings.hedging_allowed:
            return False
        if self.is_chunked and (self.upload_started or self.in_flight):
            return False
        idempotency = self.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENT or not self.may_have_run:
            return True
        if idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        return self.start_within(now, settings) > 0 and self._key_recognised_by(endpoint)

    def _key_recognised_by(self, endpoint: TrackedEndpoint) -> bool:
        """Return whether `endpoint` shares the keys of all endpoints that may have run the request."""
        match self.request_class.key_scope:
            case KeyScope.ALL:
                return True
            case KeyScope.ZONE:
                zone = endpoint.info.zone
                return all(attempt.endpoint.info.zone == zone for attempt in self.may_have_run)
            case KeyScope.CELL:
                cell = endpoint.info.cell
                return all(attempt.endpoint.info.cell == cell for attempt in self.may_have_run)

    def start_within(self, now: float, settings: Settings) -> float:
        """Return the seconds within which an attempt must start for its key to be recognised; 0 if unlimited."""
        if self.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or not self.may_have_run:
            return 0.0
        first_sent_at = min(attempt.sent_at for attempt in self.may_have_run)
        return first_sent_at + self.request_class.deduplication_window - settings.timer_resolution - now
