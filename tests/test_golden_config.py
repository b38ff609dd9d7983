"""A configuration file of an earlier build is read with the recorded values."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from ingress.configuration.document import load_config
from tests.golden_files import GOLDEN, as_json, golden, plain

# Pairs of a name in the document and the field that stores its value in this build.
TOP = (
    "name=name listen=listen discovery=discovery counter=counter control=admin seed=seed known=initial_endpoints "
    "checkpoint=checkpoint limits.memory_mb=memory_limit limits.sockets=max_client_connections "
    "limits.connect-timeout-s=connect_timeout limits.keepalive-s=idle_timeout limits.max-open=max_open_requests "
    "document=document digest=digest unknown=unknown_keys"
)
SETTINGS = (
    "self-index=gateway_index balancers=gateway_count zone=zone tick-s=timer_resolution answer-slack-s=answer_slack "
    "drain-grace-s=drain_grace cold-s=slow_start_duration start-capacity=slow_start_initial_capacity "
    "overload-factor=overload_factor "
    "fall-s=overload_window ask-within-s=discovery_poll_deadline membership-mode=polls_discovery "
    "max-attempts=max_attempts "
    "second-copies=hedging_allowed cancel=cancellation_allowed probing=health_checks_allowed "
    "peers=peer_messages_allowed mail-per-s=peer_message_rate counter=counter_available "
    "count-wait-s=counter_timeout meter-s=meter_period cost-after=settles_units most-units=max_request_units "
    "probe=health_check_cost report=load_report_fields"
)
CLASS = (
    "name=name aim-s=latency_objective give-up-s=deadline importance=priority_weight "
    "late-worth=late_weight_factor semantics=idempotency "
    "key-scope=key_scope dedup-window-s=deduplication_window aim-stretch=latency_objective_stretch stream=stream"
)
PLAN = (
    "name=name refill=rate burst=burst at-once=concurrency_limit worth-factor=weight_factor "
    "over-worth=over_quota_value "
    "excess-cost=over_quota_cost hard-rate=ceiling_rate ceiling-burst=ceiling_burst cap-slack=ceiling_slack"
)


def by_document_name(source: Any, names: str) -> dict[str, Any]:
    pairs = (name.split("=") for name in names.split())
    return {document_name: plain(getattr(source, field)) for document_name, field in pairs}


def read() -> bytes:
    """Return the values of the configuration under their names in the document."""
    config = load_config(str(GOLDEN / "config.json"))
    settings = config.settings
    return as_json(
        {
            "config": by_document_name(config, TOP),
            "settings": by_document_name(settings, SETTINGS),
            "categories": [by_document_name(one, CLASS) for one in settings.classes],
            "contracts": [by_document_name(one, PLAN) for one in settings.plans],
        }
    )


def config_files() -> Iterator[tuple[str, bytes]]:
    yield "config-read.json", read()


def test_a_configuration_is_read_as_recorded() -> None:
    assert read() == golden("config-read.json")


def test_no_field_of_the_settings_is_left_out() -> None:
    settings = load_config(str(GOLDEN / "config.json")).settings
    listed_separately = {"classes", "plans"}
    for source, names in ((settings, SETTINGS), (settings.classes[0], CLASS), (settings.plans[0], PLAN)):
        named = {name.split("=")[1] for name in names.split()}
        assert set(type(source).__struct_fields__) - listed_separately == named


def test_the_file_sets_no_key_to_its_default() -> None:
    """Each setting differs from the default of an absent key, so that a lost name is detected."""
    found = json.loads(read())
    assert all(found["settings"][key] not in (None, False, [], "") for key in found["settings"])
