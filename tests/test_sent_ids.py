"""The registry of ids that may not run again: what it remembers, forgets, and passes to the other process."""

from __future__ import annotations

from msgspec.structs import replace

from ingress.decisions.actions import FailRequest, RejectRequest, ShareSentId, StartAttempt
from ingress.decisions.endpoint import Outcome
from ingress.decisions.events import AttemptEnded, ProcessGroupChanged, RequestIdSent
from ingress.decisions.sent_ids import RETENTION_S, SentIds

from .conftest import NOT_IDEMPOTENT_CLASS, SETTINGS, GatewayHarness, started_attempts

KEY = "key"


def harness_of(hedging: bool = False) -> GatewayHarness:
    return GatewayHarness(replace(SETTINGS, classes=(NOT_IDEMPOTENT_CLASS,), hedging_allowed=hedging))


def pay(harness: GatewayHarness) -> list[StartAttempt]:
    return started_attempts(harness.send_request(request_class="pay", request_key=KEY))


def test_an_id_that_is_in_flight_or_has_ended_is_failed_and_not_refused() -> None:
    harness = harness_of()
    [first] = pay(harness)
    assert not pay(harness)
    assert isinstance(harness.actions[-1], FailRequest) and harness.actions[-1].reason == "repeated"
    harness.end_attempt(first)
    assert not pay(harness)
    assert not [action for action in harness.actions if isinstance(action, RejectRequest)]


def test_an_id_whose_attempts_never_ran_may_come_again() -> None:
    harness = harness_of()
    [first] = pay(harness)
    ended = AttemptEnded(first.request_id, 0, first.endpoint_id, Outcome.NOT_SENT, request_finished=True)
    harness.handle_after(0.0, ended)
    assert pay(harness)


def test_an_id_that_another_process_has_sent_is_failed() -> None:
    harness = harness_of()
    harness.handle_after(0.0, RequestIdSent(KEY))
    assert not pay(harness)
    assert isinstance(harness.actions[-1], FailRequest)


def test_an_id_is_shared_before_its_attempt_starts_while_there_is_another_process() -> None:
    harness = harness_of()
    harness.handle_after(0.0, ProcessGroupChanged(1))
    actions = harness.send_request(request_class="pay", request_key=KEY)
    kinds = [type(action) for action in actions if isinstance(action, ShareSentId | StartAttempt)]
    assert kinds == [ShareSentId, StartAttempt]


def test_the_registry_is_bounded_in_time_and_number() -> None:
    ids = SentIds()
    ids.max_ids = 100
    for number in range(1000):
        ids.add(0.0, f"id{number}")
    assert len(list(ids)) == 100 and "id999" in ids and "id0" not in ids
    for number in range(100):
        ids.add(RETENTION_S + 1.0, f"new{number}")
    assert not [key for key in ids if key.startswith("id")]
