"""The list of names and values of a command: what is read of it, however many fields it has."""

from __future__ import annotations

import random

import pytest

from ingress.server.commands import FIELD_PREFIXES, REQUIRED_FIELDS, CommandError, _read_fields
from ingress.upstream.attempt import _with_timeout

ITEMS = (
    b"c=a",
    b"t=b",
    b"d=1",
    b"d=22",
    b"d",
    b"",
    b"cd=3",
    b"units=2",
    b"k==",
    b"c=",
    b"=",
    b"r=1",
    b"xd=5",
    b"d=1=2",
)
LISTS = 20_000
MAX_ITEMS = 7


def expected_fields(argument: bytes) -> dict[str, str] | str:
    try:
        fields = dict(pair.split("=", 1) for pair in argument.decode("ascii").split(","))
    except ValueError:
        return "no list of names and values"
    missing = [name for name in REQUIRED_FIELDS if name not in fields]
    if missing:
        return f"{missing[0]} is missing"
    names = {name for name, _ in FIELD_PREFIXES}
    return {name: value for name, value in fields.items() if name in names}


def read_fields(argument: bytes) -> dict[str, str] | str:
    try:
        return _read_fields(argument)
    except CommandError as error:
        return str(error)


def test_any_list_is_read_as_pairs_of_which_the_last_counts() -> None:
    rng = random.Random(56)
    for _ in range(LISTS):
        argument = b",".join(rng.choices(ITEMS, k=rng.randint(0, MAX_ITEMS)))
        assert read_fields(argument) == expected_fields(argument), argument


@pytest.mark.parametrize("argument", [b"", b",", b"c", b"c=\xff,t=b,d=1", b"c=a,t=b,d=1,", b",c=a,t=b,d=1"])
def test_a_list_with_a_part_that_is_no_field_is_malformed(argument: bytes) -> None:
    with pytest.raises(CommandError):
        _read_fields(argument)


def test_every_timeout_of_a_list_is_replaced_and_nothing_else() -> None:
    rng = random.Random(57)
    for _ in range(LISTS):
        fields = b",".join(rng.choices(ITEMS, k=rng.randint(0, MAX_ITEMS)))
        expected = b",".join(b"d=9" if field.startswith(b"d=") else field for field in fields.split(b","))
        assert _with_timeout(fields, b"9") == expected, fields
