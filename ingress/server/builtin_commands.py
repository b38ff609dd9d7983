"""Commands that an ingress answers by itself: `PING`, `CLIENT` and `SELECT`."""

from __future__ import annotations

from ingress.protocols.resp import bulk
from ingress.server.commands import CommandError

MAX_PING_ARGUMENTS = 2  # The verb, and a message that the answer repeats.

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
DRAINING = b"-ERR draining\r\n"


def answer_builtin(arguments: list[bytes], is_ready: bool) -> bytes:
    """Return the answer to a command that is no request.

    Args:
        arguments: The verb and its arguments.
        is_ready: Whether `PING` is answered with success.

    Raises:
        CommandError: The command is unknown.
    """
    verb = arguments[0].upper()
    if verb in (b"CLIENT", b"SELECT"):
        return OK
    if verb != b"PING" or len(arguments) > MAX_PING_ARGUMENTS:
        raise CommandError("unknown command")
    if not is_ready:
        return DRAINING
    return PONG if len(arguments) == 1 else bulk(arguments[1])
