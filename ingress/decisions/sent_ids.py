"""The ids of requests that may have run and that may not be repeated, so that the same id does not run again."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

RETENTION_S = 60.0  # far longer than a client waits for an answer, or comes again
DEFAULT_MAX_IDS = 65_536
EXPIRY_BATCH = 4  # ids that are looked at with each new one


class SentIds:
    """The ids of the requests sent within RETENTION_S, by all processes of this gateway, the oldest first.

    An id is the key under which the network side knows the request of a customer; it is short, whatever the client
    has sent.

    Attributes:
        max_ids: The maximum number of ids; beyond it, the oldest is forgotten.
    """

    def __init__(self) -> None:
        self.max_ids = DEFAULT_MAX_IDS
        self._sent_at: dict[str, float] = {}

    def __contains__(self, request_key: str) -> bool:
        return request_key in self._sent_at

    def __iter__(self) -> Iterator[str]:
        return iter(self._sent_at)

    def add(self, now: float, request_key: str) -> None:
        """Record a request that may run from now on."""
        for key in list(islice(self._sent_at, EXPIRY_BATCH)):
            if now - self._sent_at[key] > RETENTION_S or len(self._sent_at) >= self.max_ids:
                del self._sent_at[key]
        self._sent_at[request_key] = now

    def forget(self, request_key: str) -> None:
        """Remove a request that has surely never run; the client may send it again."""
        self._sent_at.pop(request_key, None)
