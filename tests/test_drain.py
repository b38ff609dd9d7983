"""The decisions during a drain, without sockets."""

from __future__ import annotations

from ingress.decisions.actions import Action, CloseIdleClients, SetReadiness, SetTimer
from ingress.decisions.draining import READINESS_PROPAGATION_DELAY_S
from ingress.decisions.events import DrainRequested, TimerFired
from ingress.decisions.timers import TimerToken
from tests.conftest import Play, sends


def fire_drain_timer(play: Play, after: float = READINESS_PROPAGATION_DELAY_S) -> list[Action]:
    return play.at(after, TimerFired(TimerToken.DRAINED))


def test_the_load_balancer_is_notified_first_and_clients_are_disconnected_after_it_has_reacted() -> None:
    play = Play()
    assert play.at(1.0, DrainRequested()) == [
        SetReadiness(False),
        SetTimer(READINESS_PROPAGATION_DELAY_S, TimerToken.DRAINED),
    ]
    assert play.at(0.1, DrainRequested()) == []  # a second request changes nothing
    [send] = sends(play.ask(0.1))  # requests that still arrive are admitted
    play.end(send)
    assert fire_drain_timer(play, READINESS_PROPAGATION_DELAY_S) == [CloseIdleClients(True)]
    assert len(sends(play.ask(0.1))) == 1


def test_a_drain_can_be_cancelled_and_its_timer_has_no_effect_afterwards() -> None:
    play = Play()
    play.at(1.0, DrainRequested())
    assert play.at(0.2, DrainRequested(draining=False)) == [SetReadiness(True), CloseIdleClients(False)]
    assert fire_drain_timer(play, 0.3) == []
    play.at(0.0, DrainRequested())
    assert fire_drain_timer(play, 0.1) == []  # the timer of the first drain, not of this one
    assert fire_drain_timer(play, READINESS_PROPAGATION_DELAY_S - 0.1) == [CloseIdleClients(True)]


def test_a_drain_before_the_process_exits_cannot_be_cancelled() -> None:
    play = Play()
    play.at(1.0, DrainRequested())
    assert play.at(0.1, DrainRequested(process_exits=True)) == []
    assert play.at(0.1, DrainRequested(draining=False)) == []
    assert fire_drain_timer(play, READINESS_PROPAGATION_DELAY_S - 0.2) == [CloseIdleClients(True)]
