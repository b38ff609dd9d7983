"""The decisions during a drain, without sockets."""

from __future__ import annotations

from ingress.decisions.actions import Action, CloseIdleClients, SetReadiness, SetTimer
from ingress.decisions.draining import READINESS_PROPAGATION_DELAY_S
from ingress.decisions.events import DrainRequested, TimerFired
from ingress.decisions.timers import TimerToken
from tests.conftest import GatewayHarness, started_attempts


def fire_drain_timer(harness: GatewayHarness, after: float = READINESS_PROPAGATION_DELAY_S) -> list[Action]:
    return harness.handle_after(after, TimerFired(TimerToken.DRAINED))


def test_the_load_balancer_is_notified_first_and_clients_are_disconnected_after_it_has_reacted() -> None:
    harness = GatewayHarness()
    assert harness.handle_after(1.0, DrainRequested()) == [
        SetReadiness(False),
        SetTimer(READINESS_PROPAGATION_DELAY_S, TimerToken.DRAINED),
    ]
    assert harness.handle_after(0.1, DrainRequested()) == []  # a second request changes nothing
    [attempt] = started_attempts(harness.send_request(0.1))  # requests that still arrive are admitted
    harness.end_attempt(attempt)
    assert fire_drain_timer(harness, READINESS_PROPAGATION_DELAY_S) == [CloseIdleClients(True)]
    assert len(started_attempts(harness.send_request(0.1))) == 1


def test_a_drain_can_be_cancelled_and_its_timer_has_no_effect_afterwards() -> None:
    harness = GatewayHarness()
    harness.handle_after(1.0, DrainRequested())
    assert harness.handle_after(0.2, DrainRequested(draining=False)) == [SetReadiness(True), CloseIdleClients(False)]
    assert fire_drain_timer(harness, 0.3) == []
    harness.handle_after(0.0, DrainRequested())
    assert fire_drain_timer(harness, 0.1) == []  # the timer of the first drain, not of this one
    assert fire_drain_timer(harness, READINESS_PROPAGATION_DELAY_S - 0.1) == [CloseIdleClients(True)]


def test_a_drain_before_the_process_exits_cannot_be_cancelled() -> None:
    harness = GatewayHarness()
    harness.handle_after(1.0, DrainRequested())
    assert harness.handle_after(0.1, DrainRequested(process_exits=True)) == []
    assert harness.handle_after(0.1, DrainRequested(draining=False)) == []
    assert fire_drain_timer(harness, READINESS_PROPAGATION_DELAY_S - 0.2) == [CloseIdleClients(True)]
