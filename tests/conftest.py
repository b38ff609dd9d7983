"""Fixtures and helpers that the tests share: a small deployment, and a gateway with a simulated clock."""

from __future__ import annotations

import contextlib
import os
import signal
from collections.abc import Iterable, Iterator
from typing import Any

import pytest
from msgspec.structs import replace

from ingress.decisions.actions import Action, FailRequest, RejectRequest, StartAttempt
from ingress.decisions.endpoint import Endpoint, Outcome
from ingress.decisions.endpoint_health import EndpointHealth
from ingress.decisions.endpoint_state import TrackedEndpoint
from ingress.decisions.events import AttemptEnded, EndpointListKind, EndpointsChanged, Event, RequestReceived
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Idempotency, KeyScope, Plan, RequestClass, Settings
from tests.known_red import load_known_red
from tests.peers import RESERVED_PORTS, STARTED_PROCESSES

KNOWN_FAILURES = load_known_red()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests in KNOWN-RED.txt as expected failures.

    The mark is strict: a listed test that passes fails the run, so that its line is removed.
    """
    for item in items:
        for known in KNOWN_FAILURES:
            if not known.matches(item.nodeid):
                continue
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause}; {known.issue}", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures after each run."""
    for known in KNOWN_FAILURES:
        terminalreporter.write_line(f"KNOWN RED {known.test}: {known.cause}; {known.issue}")


IDEMPOTENT_CLASS = RequestClass("read", latency_objective=1.0, deadline=4.0)
IDEMPOTENCY_KEY_CLASS = RequestClass(
    "order", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_window=3.0
)
NOT_IDEMPOTENT_CLASS = RequestClass("pay", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NOT_IDEMPOTENT)
BASIC_PLAN = Plan("basic", rate=2.0, burst=8.0, over_quota_cost=0.5)
SETTINGS = Settings(
    classes=(IDEMPOTENT_CLASS, IDEMPOTENCY_KEY_CLASS, NOT_IDEMPOTENT_CLASS),
    plans=(BASIC_PLAN,),
    gateway_count=2,
    slow_start_duration=10.0,
    slow_start_initial_capacity=0.2,
    overload_factor=2.0,
    overload_window=1.0,
    max_attempts=4,
    drain_grace=1.0,
)
FLEET = tuple(Endpoint(f"b{n}", zone="ab"[n % 2], cell=n // 2) for n in range(4))


@pytest.fixture(autouse=True)
def kill_started_processes() -> Iterator[None]:
    """Kill the processes that a test has left running."""
    yield
    while STARTED_PROCESSES:
        process = STARTED_PROCESSES.pop()
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)


@pytest.fixture(autouse=True)
def release_reserved_ports() -> Iterator[None]:
    """Release the ports that a test has reserved."""
    yield
    while RESERVED_PORTS:
        RESERVED_PORTS.pop().close()


class GatewayHarness:
    """A gateway under test with a simulated clock.

    Attributes:
        now: The time on the simulated clock.
        gateway: The gateway.
        request_count: The number of requests sent to it so far; the n-th has the id `rn`.
        actions: All actions that it has returned so far.
    """

    def __init__(self, settings: Settings = SETTINGS, fleet: Iterable[Endpoint] = FLEET) -> None:
        self.now = 100.0
        self.gateway = Gateway(settings, 1)
        self.request_count = 0
        self.actions: list[Action] = []
        self.handle_after(0.0, EndpointsChanged(EndpointListKind.RESTORED, tuple(fleet)))

    def handle_after(self, after: float, event: Event) -> list[Action]:
        """Advance the clock, let the gateway handle the event, and return the resulting actions."""
        self.now += after
        actions = self.gateway.handle(self.now, event)
        self.actions += actions
        return actions

    def send_request(self, after: float = 0.0, **changes: Any) -> list[Action]:
        """Send one more request of customer `c`, with these fields changed, and return the resulting actions."""
        self.request_count += 1
        event = RequestReceived(f"r{self.request_count}", "read", "basic", "c", 4.0, gateway_count=2)
        return self.handle_after(after, replace(event, **changes))

    def end_attempt(
        self, started: StartAttempt, outcome: Outcome = Outcome.OK, after: float = 0.05, attempt: int = 0, **more: Any
    ) -> list[Action]:
        """End an attempt and return the resulting actions.

        Args:
            started: The action that started the attempt.
            outcome: How it ends; OK also finishes the request, unless `request_finished` says otherwise.
            after: The time by which the clock advances, which is also reported as the latency.
            attempt: The number of the attempt within its request.
            more: Further fields of the event.
        """
        more.setdefault("request_finished", outcome is Outcome.OK)
        return self.handle_after(
            after, AttemptEnded(started.request_id, attempt, started.endpoint_id, outcome, after, **more)
        )


def tracked_endpoint(info: Endpoint, now: float) -> TrackedEndpoint:
    """Return an endpoint without any recorded results."""
    return TrackedEndpoint(info, now, EndpointHealth(info.id, info.started_at))


def started_attempts(actions: Iterable[Action]) -> list[StartAttempt]:
    """Return the actions that start an attempt."""
    return [action for action in actions if isinstance(action, StartAttempt)]


def final_errors(actions: Iterable[Action]) -> list[Action]:
    """Return the actions that answer a request with an error."""
    return [action for action in actions if isinstance(action, RejectRequest | FailRequest)]


def class_with_key_scope(scope: KeyScope) -> RequestClass:
    """Return the class with idempotency keys, with this scope of the keys."""
    return replace(IDEMPOTENCY_KEY_CLASS, key_scope=scope)
