"""The schema of the configuration document: its keys, their types and bounds.

The keys of `settings` are those of the simulator; `settings_mapping` maps them to the names used in this package.
"""

from __future__ import annotations

from ingress.configuration.json_schema import (
    AnySchema,
    ArraySchema,
    BooleanSchema,
    NumberSchema,
    ObjectSchema,
    Schema,
    StringSchema,
)

MIN_SOCKETS = 64
MAX_SOCKETS = 1 << 20
MIN_CHECKPOINT_INTERVAL_S = 0.1
MIN_MEMORY_MB = 24  # The process itself uses 20 MB.


def _with_dashes(**fields: Schema) -> dict[str, Schema]:
    """Return the fields under their document keys, with dashes in place of underscores."""
    return {name.replace("_", "-"): schema for name, schema in fields.items()}


NON_NEGATIVE = NumberSchema()
POSITIVE = NumberSchema(exclusive_minimum=True)
NON_NEGATIVE_INTEGER = NumberSchema(integer=True)
CLASS_SCHEMA = ObjectSchema(
    _with_dashes(
        name=StringSchema(),
        aim_s=POSITIVE,
        give_up_s=POSITIVE,
        importance=NON_NEGATIVE,
        late_worth=NON_NEGATIVE,
        semantics=StringSchema(("safe", "keyed", "unsafe")),
        key_scope=StringSchema(("all", "zone", "cell"), allow_empty=True),
        dedup_window_s=NON_NEGATIVE,
        aim_stretch=NON_NEGATIVE,
        stream=BooleanSchema(),
    ),
    frozenset({"name", "aim-s", "give-up-s", "importance", "semantics"}),
    frozenset({"key-scope"}),
)
PLAN_SCHEMA = ObjectSchema(
    _with_dashes(
        name=StringSchema(),
        refill=NON_NEGATIVE,
        burst=NON_NEGATIVE,
        at_once=NON_NEGATIVE_INTEGER,
        worth_factor=NON_NEGATIVE,
        over_worth=NON_NEGATIVE,
        excess_cost=NON_NEGATIVE,
        hard_rate=NON_NEGATIVE,
        ceiling_burst=NON_NEGATIVE,
        cap_slack=NON_NEGATIVE,
    ),
    frozenset({"name", "refill", "burst"}),
)
LIMIT_FIELDS = _with_dashes(
    max_attempts=NumberSchema(1, integer=True),
    second_copies=BooleanSchema(),
    cancel=BooleanSchema(),
    probing=BooleanSchema(),
    peers=BooleanSchema(),
    connect_timeout_s=POSITIVE,
    keepalive_s=POSITIVE,
    max_open=POSITIVE,
    cpu_us_per_request=NON_NEGATIVE,
    cpu_us_per_s=NON_NEGATIVE,
    max_retry_after_s=NON_NEGATIVE,
    max_streams=NON_NEGATIVE,
    retry_after=BooleanSchema(),
)
RULE_FIELDS = _with_dashes(
    answer_slack_s=NON_NEGATIVE,
    drain_grace_s=NON_NEGATIVE,
    cold_s=NON_NEGATIVE,
    start_capacity=NON_NEGATIVE,
    overload_factor=NON_NEGATIVE,
    fall_s=NON_NEGATIVE,
    ask_within_s=NON_NEGATIVE,
)
SERVICE_FIELDS = _with_dashes(
    counter=BooleanSchema(),
    count_fee=NON_NEGATIVE,
    count_wait_s=NON_NEGATIVE,
    mail_per_s=NON_NEGATIVE,
    meter_s=NON_NEGATIVE,
    cost_after=BooleanSchema(),
    most_units=NumberSchema(1),
)
# Settings that only the simulator uses are accepted and ignored.
UNUSED_SETTINGS: dict[str, Schema] = dict.fromkeys(
    ("clients", "goal", "localities", "service-type", "shapes", "stage", "stages", "weight-kind"), AnySchema()
)
REPORT_SCHEMA = ObjectSchema(_with_dashes(columns=ArraySchema(StringSchema()), how=StringSchema()))
PRICES_SCHEMA = ObjectSchema(
    _with_dashes(probe=NON_NEGATIVE)
    | dict.fromkeys(
        (
            "connection",
            "cross-zone",
            "handshake",
            "late-fail",
            "membership-mode",
            "moves",
            "origin",
            "peer",
            "waste",
            "fleet",
            "counter",
        ),
        AnySchema(),
    )
)
SETTINGS_SCHEMA = ObjectSchema(
    UNUSED_SETTINGS
    | _with_dashes(
        balancers=NumberSchema(1, integer=True),
        self_index=NON_NEGATIVE_INTEGER,
        zone=StringSchema(allow_empty=True),
        tick_s=POSITIVE,
        membership_mode=StringSchema(),
        categories=ArraySchema(CLASS_SCHEMA, 1, "name"),
        contracts=ArraySchema(PLAN_SCHEMA, 1, "name"),
        limits=ObjectSchema(LIMIT_FIELDS),
        rules=ObjectSchema(RULE_FIELDS),
        family_info=ObjectSchema(SERVICE_FIELDS),
        prices=PRICES_SCHEMA,
        report=REPORT_SCHEMA,
    ),
    frozenset({"balancers", "self-index", "categories", "contracts", "limits", "rules", "family-info"}),
)
PROCESS_LIMITS_SCHEMA = ObjectSchema(
    {
        "cores": POSITIVE,
        "memory_mb": NumberSchema(MIN_MEMORY_MB),
        "sockets": NumberSchema(MIN_SOCKETS, MAX_SOCKETS, integer=True),
    }
)
CLIENT_TLS_SCHEMA = ObjectSchema(
    {"certificate": StringSchema(), "key": StringSchema(), "ca": StringSchema()}, frozenset({"certificate", "key"})
)
ENDPOINT_TLS_SCHEMA = ObjectSchema(
    {"ca": StringSchema(), "name": StringSchema(), "certificate": StringSchema(), "key": StringSchema()},
    frozenset({"ca"}),
)
CHECKPOINT_SCHEMA = ObjectSchema(
    {"folder": StringSchema(), "every_s": NumberSchema(MIN_CHECKPOINT_INTERVAL_S)}, frozenset({"folder"})
)
DOCUMENT_SCHEMA = ObjectSchema(
    {
        "name": StringSchema(),
        "listen": StringSchema(),
        "discovery": StringSchema(),
        "counter": StringSchema(),
        "control": StringSchema(),
        "seed": StringSchema(),
        "limits": PROCESS_LIMITS_SCHEMA,
        "known": AnySchema(),
        "settings": SETTINGS_SCHEMA,
        "tls": CLIENT_TLS_SCHEMA,
        "server-tls": ENDPOINT_TLS_SCHEMA,
        "checkpoint": CHECKPOINT_SCHEMA,
    },
    frozenset({"name", "listen", "discovery", "seed", "limits", "settings"}),
    frozenset({"known", "counter", "control", "tls", "server-tls", "checkpoint"}),
)
