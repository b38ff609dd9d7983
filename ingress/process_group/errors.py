"""Errors in the communication between the processes of one ingress."""

from __future__ import annotations

from ingress.errors import IngressError


class HandoverError(IngressError):
    """A predecessor exists, but this process cannot take over from it; the message gives the reason."""


class MessageError(IngressError, ValueError):
    """A message from another process is invalid; the error text quotes its beginning."""
