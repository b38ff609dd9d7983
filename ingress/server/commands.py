"""Client commands: validates `API.READ` and `API.WRITE` against the classes and plans of the settings."""

from __future__ import annotations

import re

from msgspec import Struct

from ingress.decisions.settings import Idempotency, RequestClass, Settings
from ingress.errors import IngressError
from ingress.protocols.resp import LONG_VALUE_BYTES, MAX_VALUE_BYTES, bulk
from ingress.runtime.clock import MS_PER_SECOND
from ingress.upstream.attempt import CommandParts

READ_VERB = b"API.READ"
WRITE_VERB = b"API.WRITE"

ARGUMENT_COUNT = 4  # Verb, customer, client's request id, fields.
ARGUMENT_COUNT_WITH_BODY = 5  # A write may have a body as its fifth argument.

MAX_CUSTOMERS = 2**33
MAX_TIMEOUT_MS = 3_600_000  # A longer timeout is taken for a mistake of the client.
MAX_GATEWAY_COUNT = 1 << 20
MAX_UNITS = 1e9
MAX_INTEGER_DIGITS = 11

CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
UNITS_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

CLASS_FIELD = "c"
PLAN_FIELD = "t"
TIMEOUT_FIELD = "d"
IDEMPOTENCY_KEY_FIELD = "k"
RETRY_FIELD = "r"
UNITS_FIELD = "units"
GATEWAY_COUNT_FIELD = "spread"
FIRST_GATEWAY_FIELD = "first"
FIELD_PREFIXES = tuple(
    (name, f",{name}=")
    for name in (
        CLASS_FIELD,
        PLAN_FIELD,
        TIMEOUT_FIELD,
        IDEMPOTENCY_KEY_FIELD,
        RETRY_FIELD,
        UNITS_FIELD,
        GATEWAY_COUNT_FIELD,
        FIRST_GATEWAY_FIELD,
    )
)
BYTES_BESIDES_SEPARATORS = bytes(set(range(256)) - set(b",="))
REQUIRED_FIELDS = (CLASS_FIELD, PLAN_FIELD, TIMEOUT_FIELD)


class CommandError(IngressError):
    """A malformed command; the text is sent to its client."""


class Command(Struct, frozen=True):
    """A well-formed request from a client.

    Attributes:
        arguments: The bulk strings of the command; the last one is empty if a long body takes its place.
        customer: The id of the customer, 16 hex digits.
        request_class: The name of the request class.
        plan: The name of the customer's plan.
        timeout: The seconds for which the client waits.
        units: The units that the request takes from the quota.
        gateway_count: The number of gateways that the customer may use.
        first_gateway: The number of the first of these gateways.
        is_retry: Whether the client marks the request as a retry.
        is_write: Whether the request is an `API.WRITE`.
        body_size: The bytes of a long body that follows in chunks; 0 if there is none.
    """

    arguments: list[bytes]
    customer: str
    request_class: str
    plan: str
    timeout: float
    units: float
    gateway_count: int
    first_gateway: int
    is_retry: bool
    is_write: bool
    body_size: int = 0

    @property
    def client_id(self) -> bytes:
        """The id that the client has given to the request."""
        return self.arguments[2]

    def encode_parts(self) -> CommandParts:
        """Return the command as RESP, with its fields separate; of a long body only the header is included."""
        verb, customer, client_id, fields, *body = self.arguments
        before = b"*%d\r\n%b%b%b" % (len(self.arguments), bulk(verb), bulk(customer), bulk(client_id))
        encoded_body = b"$%d\r\n" % self.body_size if self.body_size else b"".join(map(bulk, body))
        return CommandParts(before, fields, b"\r\n" + encoded_body)


class CommandReader:
    """Reads requests under one version of the settings.

    Attributes:
        classes: The request classes by name.
        plans: The names of the plans.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {cls.name: cls for cls in settings.classes}
        self.plans = {plan.name for plan in settings.plans}

    def read(self, verb: bytes, arguments: list[bytes], body_size: int = 0) -> Command:
        """Read one command.

        Args:
            verb: `READ_VERB` or `WRITE_VERB`.
            arguments: All arguments, including the verb.
            body_size: The bytes of a long body that follows; 0 if there is none.

        Raises:
            CommandError: The command is malformed.
        """
        is_write = verb == WRITE_VERB
        _check_arguments(arguments, is_write, body_size)
        fields = _read_fields(arguments[3])
        self._check_class(fields, is_write)
        return Command(
            arguments=arguments,
            customer=arguments[1].decode(),
            request_class=fields[CLASS_FIELD],
            plan=fields[PLAN_FIELD],
            units=_read_units(fields),
            timeout=_read_integer(fields, TIMEOUT_FIELD, MAX_TIMEOUT_MS) / MS_PER_SECOND,
            gateway_count=max(1, _read_integer(fields, GATEWAY_COUNT_FIELD, MAX_GATEWAY_COUNT, 1)),
            first_gateway=_read_integer(fields, FIRST_GATEWAY_FIELD, MAX_GATEWAY_COUNT, 0),
            is_retry=fields.get(RETRY_FIELD) == "1",
            is_write=is_write,
            body_size=body_size,
        )

    def _check_class(self, fields: dict[str, str], is_write: bool) -> None:
        request_class = self.classes.get(fields[CLASS_FIELD])
        if request_class is None:
            raise CommandError("unknown class")
        if fields[PLAN_FIELD] not in self.plans:
            raise CommandError("unknown plan")
        if is_write is (request_class.idempotency is Idempotency.IDEMPOTENT):
            raise CommandError("the class belongs to the other command")
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and not fields.get(IDEMPOTENCY_KEY_FIELD):
            raise CommandError("k is missing")


def _check_arguments(arguments: list[bytes], is_write: bool, body_size: int) -> None:
    """Check all arguments but the fields; the order of the checks decides which fault is reported to the client."""
    if not (len(arguments) == ARGUMENT_COUNT or (is_write and len(arguments) == ARGUMENT_COUNT_WITH_BODY)):
        raise CommandError("wrong number of arguments")
    if body_size > MAX_VALUE_BYTES or any(len(argument) > LONG_VALUE_BYTES for argument in arguments):
        raise CommandError("value too large")
    if body_size and len(arguments) < ARGUMENT_COUNT_WITH_BODY:
        raise CommandError("a head too large")
    customer = arguments[1]
    if not CUSTOMER_PATTERN.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMERS:
        raise CommandError("the customer is not a number of 16 hex digits")
    if not arguments[2]:
        raise CommandError("no id")


def _read_fields(argument: bytes) -> dict[str, str]:
    """Read the fields that the ingress uses from a list such as `c=read,t=basic,d=2000`.

    Nothing is created for the others: a list may have tens of thousands of them.
    """
    if not argument.isascii() or not _is_field_list(argument):
        raise CommandError("no list of names and values")
    text = "," + argument.decode()
    fields = {}
    for name, prefix in FIELD_PREFIXES:
        start = text.rfind(prefix)
        if start >= 0:
            start += len(prefix)
            end = text.find(",", start)
            fields[name] = text[start:] if end < 0 else text[start:end]
    for name in REQUIRED_FIELDS:
        if name not in fields:
            raise CommandError(f"{name} is missing")
    return fields


def _is_field_list(argument: bytes) -> bool:
    """Report whether each part between two commas has an equals sign."""
    separators = argument.translate(None, BYTES_BESIDES_SEPARATORS)
    return b",," not in separators and separators.startswith(b"=") and separators.endswith(b"=")


def _read_units(fields: dict[str, str]) -> float:
    text = fields.get(UNITS_FIELD, "1")
    units = float(text) if UNITS_PATTERN.fullmatch(text) else 0.0
    if not 0 < units < MAX_UNITS:
        raise CommandError("bad number: units")
    return units


def _read_integer(fields: dict[str, str], name: str, largest: int, default: int = 0) -> int:
    text = fields.get(name, str(default))
    is_integer = text.isascii() and text.isdecimal() and len(text) <= MAX_INTEGER_DIGITS
    if not is_integer or int(text) > largest:
        raise CommandError(f"bad number: {name}")
    return int(text)
