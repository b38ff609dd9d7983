"""The limits of a connection pool."""

from __future__ import annotations

from msgspec import Struct


class PoolSettings(Struct, frozen=True):
    """The limits of a pool.

    Attributes:
        max_connections: The limit over all endpoints, including connections that are being established.
        connect_timeout: The timeout of a TCP connect, in seconds.
        idle_timeout: The seconds after which endpoints close an idle connection.
        drain_grace: The seconds for which a draining endpoint still accepts new requests.
    """

    max_connections: int
    connect_timeout: float
    idle_timeout: float
    drain_grace: float
