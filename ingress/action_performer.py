"""Performs the actions of the `Gateway` on the components of a process."""

from __future__ import annotations

import asyncio
from typing import Protocol

from msgspec import Struct

from ingress.decisions.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleClients,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SetReadiness,
    SetTimer,
    ShareSentId,
    ShareUsage,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from ingress.decisions.events import TimerFired
from ingress.decisions.handover_state import QuotaUsage
from ingress.gateway_runner import GatewayRunner
from ingress.runtime.logs import INGRESS_LOG
from ingress.server.client_server import ClientServer
from ingress.server.request_handler import RequestHandler
from ingress.upstream.connection_pool import ConnectionPool
from ingress.upstream.health_check import HealthChecker
from ingress.upstream.shared_counter import SharedCounter


class UsageSharer(Protocol):
    """Shares quota usage with the other processes of the group."""

    def usage_spent(self, usage: QuotaUsage) -> None:
        """Send the usage that this process has spent."""

    def request_id_sent(self, request_key: str) -> None:
        """Notify the others that this process sends a request that may not be repeated."""


class UsageRecorder(Protocol):
    """Records quota usage in the checkpoint."""

    def record_usage(self, usage: QuotaUsage) -> None:
        """Append the usage to the log of the checkpoint."""


class PerformerParts(Struct, frozen=True):
    """The components on which actions are performed; `usage_recorder` is None without a checkpoint."""

    name: str
    runner: GatewayRunner
    requests: RequestHandler
    clients: ClientServer
    pool: ConnectionPool
    health_checker: HealthChecker
    counter: SharedCounter
    usage_sharer: UsageSharer
    usage_recorder: UsageRecorder | None
    clients_may_close: asyncio.Event


class ActionPerformer:
    """Performs actions; each kind of unsupported action is logged once."""

    def __init__(self, parts: PerformerParts) -> None:
        self.parts = parts
        self.loop = asyncio.get_running_loop()
        self.unsupported: set[str] = set()

    def perform(self, action: Action) -> None:
        """Perform one action."""
        match action:
            case StartAttempt():
                self.parts.requests.start_attempt(action)
            case RejectRequest(request_id=request_id, retry_after=retry_after, reason=reason):
                self.parts.requests.reject(request_id, retry_after, reason)
            case FailRequest(request_id=request_id, reason=reason):
                self.parts.requests.fail(request_id, reason)
            case SetTimer(delay=delay, token=token):
                self.loop.call_later(max(0.0, delay), self.parts.runner.feed, TimerFired(token))
            case ShareUsage(usage=usage):
                self._share_usage(usage)
            case ShareSentId(request_key=request_key):
                self.parts.usage_sharer.request_id_sent(request_key)
            case CancelAttempt(request_id=request_id, attempt=attempt):
                self.parts.requests.cancel_attempt(request_id, attempt)
            case _:
                self._perform_rare(action)

    def _perform_rare(self, action: Action) -> None:
        """Perform an action of a kind that does not occur with each request."""
        match action:
            case AddToCounter(name=name, add=add, lifetime=lifetime) if self.parts.counter.client is not None:
                self.parts.counter.client.call(name, add, lifetime)
            case StartHealthCheck(endpoint_id=endpoint_id, timeout=timeout):
                self.parts.health_checker.start_check(endpoint_id, timeout)
            case CloseIdleConnections(endpoint_id=endpoint_id):
                self.parts.pool.close_idle_connections(endpoint_id)
            case LogMessage(text=text):
                INGRESS_LOG.info("%s", text)
            case SetReadiness(ready=ready):
                self._set_readiness(ready)
            case CloseIdleClients(enabled=enabled):
                self._close_idle_clients(enabled)
            case WatchEndpoints() | FetchEndpoints():
                pass  # The discovery client always watches the list.
            case _:
                self._log_unsupported(action)

    def _share_usage(self, usage: QuotaUsage) -> None:
        if self.parts.usage_recorder is not None:
            self.parts.usage_recorder.record_usage(usage)
        if self.parts.runner.gateway.process_state.group.other_processes:
            self.parts.usage_sharer.usage_spent(usage)

    def _set_readiness(self, ready: bool) -> None:
        self.parts.clients.is_ready = ready
        INGRESS_LOG.info("%s %s", self.parts.name, "is ready for requests" if ready else "is draining")

    def _close_idle_clients(self, enabled: bool) -> None:
        self.parts.clients.set_draining(enabled)
        if enabled:
            self.parts.clients_may_close.set()
        else:
            self.parts.clients_may_close.clear()

    def _log_unsupported(self, action: Action) -> None:
        kind = type(action).__name__
        if kind not in self.unsupported:
            self.unsupported.add(kind)
            INGRESS_LOG.warning("unsupported action %s ignored", kind)
