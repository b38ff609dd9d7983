"""The request log: one line for each request and each attempt, with the id that the client has given."""

from __future__ import annotations

from ingress.decisions.endpoint import Outcome
from ingress.runtime.clock import MS_PER_SECOND
from ingress.runtime.logs import REQUESTS
from ingress.runtime.metrics import RequestResult
from ingress.server.pending_request import PendingRequest
from ingress.upstream.attempt import Attempt

MS_DECIMALS = 3  # Decimal places of a time in the log.


def log_request(request: PendingRequest, result: RequestResult, now: float) -> None:
    """Log the result of a request."""
    command = request.command
    arrived_at = request.deadline - command.timeout
    REQUESTS.info(
        result.value,
        extra={
            "fields": {
                "id": _client_id(request),
                "class": command.request_class,
                "plan": command.plan,
                "customer": command.customer,
                "units": command.units,
                "spread": command.gateway_count,
                "first": command.first_gateway,
                "repeat": command.is_retry,
                "attempts": request.attempt_count,
                "reason": request.rejection_reason,
                "ms": _milliseconds(now - arrived_at),
            }
        },
    )


def log_attempt(attempt: Attempt, outcome: Outcome, request: PendingRequest | None, now: float) -> None:
    """Log the outcome of an attempt, whose request may have ended before."""
    REQUESTS.info(
        "attempt",
        extra={
            "fields": {
                "id": _client_id(request) if request is not None else "",
                "server": attempt.endpoint_id,
                "outcome": outcome.value,
                "ms": _milliseconds(now - attempt.started_at),
            }
        },
    )


def _client_id(request: PendingRequest) -> str:
    return request.command.client_id.decode("ascii", "backslashreplace")


def _milliseconds(seconds: float) -> float:
    return round(MS_PER_SECOND * seconds, MS_DECIMALS)
