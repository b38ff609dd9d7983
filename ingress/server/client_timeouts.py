"""Timeouts of clients that send no command, never complete one, or don't read their responses."""

from __future__ import annotations

from ingress.server.client_connection import ClientConnection
from ingress.server.close_reason import CloseReason
from ingress.server.lingering_connection import STALL_TIMEOUT

# All timeouts are in seconds.
COMMAND_TIMEOUT = 2.0  # For the first command on a connection, and for the rest of a command that has begun.
IDLE_TIMEOUT = 2.0  # A connection that has had no request for this long may be closed.
DRAIN_COMMAND_TIMEOUT = 2.0  # For the rest of a command that had begun when a drain started.


def check_timeouts(connection: ClientConnection, now: float) -> None:
    """End the connection if a timeout has passed at the time `now`, in seconds of the server's clock."""
    if _drain_is_overdue(connection, now):
        connection.server.record_closed(CloseReason.DRAINED)
        connection.close_gracefully()
    elif _is_stalled(connection, now):
        if connection.transport is not None:
            connection.server.record_closed(CloseReason.STALLED)
            connection.transport.abort()
    elif connection.upload is not None and connection.upload.is_overdue(now):
        connection.fail_upload()
    else:
        _check_command(connection, now)


def has_expired(connection: ClientConnection, now: float) -> bool:
    """Report whether the connection has been idle for so long that it may be closed."""
    return now - connection.last_used_at > IDLE_TIMEOUT and _is_closable(connection)


def _is_closable(connection: ClientConnection) -> bool:
    """Report whether the connection is idle and can be closed at once without losing an answer.

    Closing at once resets the connection if the client sends more, and what it has not received yet is lost.
    """
    return connection.is_idle() and not connection.has_undelivered()


def _drain_is_overdue(connection: ClientConnection, now: float) -> bool:
    """Report whether a drain has waited long enough for a client without a request in flight."""
    draining_since = connection.server.draining_since
    if draining_since is None or connection.linger_timer is not None:
        return False
    if connection.slots or connection.has_unexecuted():
        return False
    return now - draining_since > DRAIN_COMMAND_TIMEOUT


def _is_stalled(connection: ClientConnection, now: float) -> bool:
    """Report whether the client has read none of the written bytes for too long."""
    unsent_bytes = connection.transport.get_write_buffer_size() if connection.transport is not None else 0
    if not unsent_bytes or unsent_bytes != connection.unsent_bytes:
        connection.unsent_bytes = unsent_bytes
        connection.unsent_since = now
        return False
    return now - connection.unsent_since > STALL_TIMEOUT


def _check_command(connection: ClientConnection, now: float) -> None:
    """End the connection if a command is overdue.

    While reading is paused the command may already have arrived, so its time starts again.
    """
    due_since = connection.command_due_since
    if due_since is None or now - due_since < COMMAND_TIMEOUT or connection.is_closing:
        return
    waits_for_memory = connection.lacks_memory and bool(connection.slots)
    waits_for_turn = connection.waits_for_turn or connection.pipeline_full
    is_blocked = waits_for_turn or connection.is_write_paused or waits_for_memory
    if is_blocked or connection.unparsed or connection.is_draining:
        connection.command_due_since = now
    elif connection.lacks_memory:
        connection.refuse_incomplete()
    elif connection.scanner.in_frame():
        connection.fail_protocol("no whole command in time", CloseReason.OVERDUE)
    elif connection.is_idle():
        connection.server.record_closed(CloseReason.IDLE)
        connection.close_gracefully()
