"""Mapping of the names in configuration files and in simulator messages to the fields of `Settings`.

This is the only module in which both sets of names occur.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ingress.decisions.settings import Idempotency, KeyScope, Plan, RequestClass, Settings
from ingress.protocols.load_report import LOAD_REPORT_FIELDS

Source = Mapping[str, Any]


def read_settings(source: Source) -> Settings:
    """Read the settings object of a configuration file or of the simulator's `Start` message.

    Raises:
        KeyError: A key without a default is missing.
        ValueError: A value is invalid.
    """
    shared = _limit_fields(source["limits"]) | _rule_fields(source["rules"]) | _service_fields(source["family-info"])
    classes = tuple(_read_class(entry) for entry in source["categories"])
    plans = tuple(_read_plan(entry) for entry in source["contracts"])
    return Settings(classes=classes, plans=plans, **_instance_fields(source), **shared)


def _read_class(source: Source) -> RequestClass:
    return RequestClass(
        name=source["name"],
        latency_objective=source["aim-s"],
        deadline=source["give-up-s"],
        priority_weight=source["importance"],
        late_weight_factor=source.get("late-worth", 0.0),
        idempotency=Idempotency(source["semantics"]),
        key_scope=KeyScope(source.get("key-scope") or "all"),
        deduplication_window=source.get("dedup-window-s", 0.0),
        latency_objective_stretch=source.get("aim-stretch", 0.0),
        stream=source.get("stream", False),
    )


def _read_plan(source: Source) -> Plan:
    return Plan(
        name=source["name"],
        rate=source["refill"],
        burst=source["burst"],
        concurrency_limit=source.get("at-once", 0),
        weight_factor=source.get("worth-factor", 1.0),
        over_quota_value=source.get("over-worth", 0.0),
        over_quota_cost=source.get("excess-cost", 0.0),
        ceiling_rate=source.get("hard-rate", 0.0),
        ceiling_burst=source.get("ceiling-burst", 0.0),
        ceiling_slack=source.get("cap-slack", 0.0),
    )


def _instance_fields(source: Source) -> dict[str, Any]:
    """Map the settings that identify this gateway and describe its environment."""
    columns = source.get("report", {}).get("columns", ())
    return {
        "gateway_index": source["self-index"],
        "gateway_count": source["balancers"],
        "zone": source.get("zone", ""),
        "timer_resolution": source.get("tick-s", 0.001),
        "polls_discovery": source.get("membership-mode", "pushed") == "on_request",
        "health_check_cost": source.get("prices", {}).get("probe", 0.0),
        "load_report_fields": tuple(LOAD_REPORT_FIELDS.get(name, name) for name in columns),
    }


def _limit_fields(limits: Source) -> dict[str, Any]:
    """Map the settings that limit what a gateway may do."""
    return {
        "max_attempts": limits.get("max-attempts", 1),
        "hedging_allowed": limits.get("second-copies", False),
        "cancellation_allowed": limits.get("cancel", False),
        "health_checks_allowed": limits.get("probing", False),
        "peer_messages_allowed": limits.get("peers", False),
    }


def _rule_fields(rules: Source) -> dict[str, Any]:
    """Map the durations and capacities of endpoints and discovery."""
    return {
        "answer_slack": rules.get("answer-slack-s", 0.0),
        "drain_grace": rules.get("drain-grace-s", 0.0),
        "slow_start_duration": rules.get("cold-s", 0.0),
        "slow_start_initial_capacity": rules.get("start-capacity", 1.0),
        "overload_factor": rules.get("overload-factor", 1.0),
        "overload_window": rules.get("fall-s", 1.0),
        "discovery_poll_deadline": rules.get("ask-within-s", 0.0),
    }


def _service_fields(info: Source) -> dict[str, Any]:
    """Map the settings of the shared counter, the messages between gateways and the metering of requests."""
    return {
        "peer_message_rate": info.get("mail-per-s", 0.0),
        "counter_available": info.get("counter", False),
        "counter_timeout": info.get("count-wait-s", 0.0),
        "meter_period": info.get("meter-s", 0.0),
        "settles_units": info.get("cost-after", False),
        "max_request_units": info.get("most-units", 1),
    }
