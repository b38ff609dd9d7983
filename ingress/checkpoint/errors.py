"""Errors in the files of a checkpoint."""

from __future__ import annotations

from ingress.errors import IngressError


class CheckpointDamagedError(IngressError):
    """A file is damaged, or does not belong to the other files of the checkpoint; the message gives its path."""
