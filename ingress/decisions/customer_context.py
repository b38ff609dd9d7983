"""The knowledge that a gateway has about a customer that it sees for the first time."""

from __future__ import annotations

from math import inf

from msgspec import Struct


class NewCustomerContext(Struct, frozen=True):
    """The inputs for the initial quota of a customer.

    Attributes:
        ceiling_level: The units in its ceiling bucket over all gateways.
        time_without_usage: The seconds for which it is known to have spent nothing; infinite where no usage
            can be missing.
        gateway_age: The seconds since this gateway started.
        mean_attempt_duration: The mean time in seconds that an attempt is in flight.
        max_request_units: The units of the largest request.
    """

    ceiling_level: float = 0.0
    time_without_usage: float = inf
    gateway_age: float = 0.0
    mean_attempt_duration: float = 1.0
    max_request_units: float = 1.0
