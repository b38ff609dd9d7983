"""Semantic checks of the configuration document, for values and combinations of keys that the schema accepts."""

from __future__ import annotations

from pathlib import PurePath
from typing import Any

from ingress.configuration.json_schema import Validator

MAX_SHOWN_SEED_CHARACTERS = 40


def check_consistency(document: dict[str, Any], validator: Validator) -> None:
    """Record the faults of values that match the schema but cannot be used."""
    _check_checkpoint(document.get("checkpoint"), validator)
    _check_seed(document.get("seed"), validator)
    settings = document.get("settings")
    if not isinstance(settings, dict):
        return
    _check_counter(document, settings, validator)
    _check_gateway_index(settings, validator)
    for index, request_class in enumerate(_objects(settings.get("categories"))):
        _check_deadline(request_class, f"settings.categories[{index}]", validator)
    for index, plan in enumerate(_objects(settings.get("contracts"))):
        _check_ceiling(plan, f"settings.contracts[{index}]", validator)


def _objects(value: Any) -> list[dict[str, Any]]:
    return [item for item in value if isinstance(item, dict)] if isinstance(value, list) else []


def _check_checkpoint(checkpoint: Any, validator: Validator) -> None:
    folder = checkpoint.get("folder") if isinstance(checkpoint, dict) else None
    if isinstance(folder, str) and not PurePath(folder).is_absolute():
        validator.add_fault("checkpoint.folder", f"{folder!r} is not an absolute path")


def _check_seed(seed: Any, validator: Validator) -> None:
    if not isinstance(seed, str) or not seed:
        return
    try:
        int(seed, 16)
    except ValueError:
        validator.add_fault("seed", f"{seed[:MAX_SHOWN_SEED_CHARACTERS]!r} is not a hexadecimal number")


def _check_counter(document: dict[str, Any], settings: dict[str, Any], validator: Validator) -> None:
    service = settings.get("family-info")
    if isinstance(service, dict) and service.get("counter") is True and not document.get("counter"):
        validator.add_fault("counter", "missing, and settings.family-info.counter says that there is one")


def _check_gateway_index(settings: dict[str, Any], validator: Validator) -> None:
    index = settings.get("self-index")
    count = settings.get("balancers")
    if isinstance(index, int) and isinstance(count, int) and 1 <= count <= index:
        validator.add_fault("settings.self-index", f"{index} is not below settings.balancers, {count}")


def _check_deadline(request_class: dict[str, Any], path: str, validator: Validator) -> None:
    objective = request_class.get("aim-s")
    deadline = request_class.get("give-up-s")
    if isinstance(objective, int | float) and isinstance(deadline, int | float) and deadline < objective:
        validator.add_fault(f"{path}.give-up-s", f"{deadline!r} is less than aim-s, {objective!r}")


def _check_ceiling(plan: dict[str, Any], path: str, validator: Validator) -> None:
    if plan.get("hard-rate") and plan.get("ceiling-burst") in (None, 0, 0.0):
        validator.add_fault(f"{path}.ceiling-burst", "is 0 under a hard-rate: nothing could pass")
