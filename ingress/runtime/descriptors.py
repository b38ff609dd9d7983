"""The limit of file descriptors that a process may open."""

from __future__ import annotations

import resource


def usable_sockets(sockets: int) -> int:
    """Return how many of the configured sockets the descriptor limit of the system allows.

    Handles a limit below the configured number (1,024 is common), with which clients would use up all descriptors and
    leave none for endpoints.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sockets if soft_limit == resource.RLIM_INFINITY else min(sockets, soft_limit)
