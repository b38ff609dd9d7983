"""JSON schemas, and a validator that reports every fault of a document in one pass, each with its path.

A third-party validation library is not used because it takes longer to import than the rest of the program.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, TypeAlias

from msgspec import Struct, field

MAX_NUMBER = 1e15
MAX_SHOWN_VALUE_CHARACTERS = 60


class JsonObject(dict[str, Any]):
    """A JSON object that records which of its keys occurred more than once."""

    repeated_keys: tuple[str, ...] = ()


def _build_object(pairs: list[tuple[str, Any]]) -> JsonObject:
    result = JsonObject(pairs)
    if len(result) < len(pairs):
        names = [name for name, _ in pairs]
        result.repeated_keys = tuple(name for name in result if names.count(name) > 1)
    return result


def parse(text: str) -> Any:
    """Parse a JSON document; its objects are instances of `JsonObject`.

    Raises:
        ValueError: The text is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(text, object_pairs_hook=_build_object)
    except RecursionError:
        raise ValueError("nested too deeply") from None


class NumberSchema(Struct, frozen=True):
    """A finite number within bounds."""

    minimum: float = 0.0
    maximum: float = MAX_NUMBER
    integer: bool = False
    exclusive_minimum: bool = False


class StringSchema(Struct, frozen=True):
    """A string; if there are choices, one of these."""

    choices: tuple[str, ...] = ()
    allow_empty: bool = False


class BooleanSchema(Struct, frozen=True):
    """A Boolean value."""


class AnySchema(Struct, frozen=True):
    """Any value."""


class ArraySchema(Struct, frozen=True):
    """A list of at least `min_items`; if `unique_key` is set, its value must differ between the objects of the list."""

    items: Schema
    min_items: int = 0
    unique_key: str = ""


class ObjectSchema(Struct, frozen=True):
    """An object with its fields, the required ones, and those that may be null instead of absent."""

    fields: Mapping[str, Schema]
    required: frozenset[str] = field(default_factory=frozenset)
    nullable: frozenset[str] = field(default_factory=frozenset)


Schema: TypeAlias = NumberSchema | StringSchema | BooleanSchema | AnySchema | ArraySchema | ObjectSchema


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_VALUE_CHARACTERS else text[: MAX_SHOWN_VALUE_CHARACTERS - 3] + "..."


class Validator:
    """Collects the faults of a document and the paths of keys that the schema does not define."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.unknown_keys: list[str] = []

    def add_fault(self, path: str, text: str) -> None:
        """Record a fault of the value at `path`."""
        self.faults.append(f"{path}: {text}")

    def check(self, value: Any, schema: Schema, path: str) -> None:
        """Record all faults of `value`, which is located at `path` in the document."""
        match schema:
            case ObjectSchema():
                self._check_object(value, schema, path)
            case ArraySchema():
                self._check_array(value, schema, path)
            case NumberSchema():
                self._check_number(value, schema, path)
            case StringSchema():
                self._check_string(value, schema, path)
            case BooleanSchema() if not isinstance(value, bool):
                self.add_fault(path, f"{_shorten(value)} is neither true nor false")

    def _check_object(self, value: Any, schema: ObjectSchema, path: str) -> None:
        if not isinstance(value, dict):
            self.add_fault(path or "EDGE_CONFIG", f"{_shorten(value)} is not an object")
            return
        prefix = f"{path}." if path else ""
        for name in getattr(value, "repeated_keys", ()):
            self.add_fault(f"{prefix}{name}", "stands there more than once")
        for name in sorted(schema.required - value.keys()):
            self.add_fault(f"{prefix}{name}", "missing")
        for name, inner in value.items():
            inner_schema = schema.fields.get(name)
            if inner_schema is None:
                self.unknown_keys.append(f"{prefix}{name}")
            elif inner is not None or name not in schema.nullable:
                self.check(inner, inner_schema, f"{prefix}{name}")

    def _check_array(self, value: Any, schema: ArraySchema, path: str) -> None:
        if not isinstance(value, list):
            self.add_fault(path, f"{_shorten(value)} is not a list")
            return
        if len(value) < schema.min_items:
            self.add_fault(path, f"at least {schema.min_items} needed")
        seen: set[str] = set()
        for index, item in enumerate(value):
            self.check(item, schema.items, f"{path}[{index}]")
            key = item.get(schema.unique_key) if schema.unique_key and isinstance(item, dict) else None
            if not isinstance(key, str):
                continue
            if key in seen:
                self.add_fault(f"{path}[{index}].{schema.unique_key}", f"{_shorten(key)} stands there more than once")
            seen.add(key)

    def _check_string(self, value: Any, schema: StringSchema, path: str) -> None:
        if not isinstance(value, str):
            self.add_fault(path, f"{_shorten(value)} is not a text")
        elif schema.choices and value not in schema.choices:
            self.add_fault(path, f"{_shorten(value)} is none of {', '.join(schema.choices)}")
        elif not value and not schema.allow_empty:
            self.add_fault(path, "is empty")

    def _check_number(self, value: Any, schema: NumberSchema, path: str) -> None:
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.add_fault(path, f"{_shorten(value)} is not a number")
        elif schema.integer and not isinstance(value, int):
            self.add_fault(path, f"{_shorten(value)} is not a whole number")
        elif not _within_bounds(value, schema):
            lower = f"above {schema.minimum:g}" if schema.exclusive_minimum else f"from {schema.minimum:g}"
            upper = f" to {schema.maximum:g}" if schema.maximum < MAX_NUMBER else ""
            self.add_fault(path, f"{_shorten(value)} is not a number {lower}{upper}")


def _within_bounds(value: float, schema: NumberSchema) -> bool:
    """Report whether a number is within the bounds of the schema; NaN is not."""
    if schema.exclusive_minimum and value == schema.minimum:
        return False
    return schema.minimum <= value <= schema.maximum
