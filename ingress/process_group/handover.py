"""The takeover of a starting process, which receives its predecessor's listening socket and complete state."""

from __future__ import annotations

import json
import logging
import os
import socket
from pathlib import Path

from ingress.process_group.errors import HandoverError
from ingress.process_group.handover_messages import HandoverMessage, read_handover_message
from ingress.process_group.presence import short_socket_name

log = logging.getLogger(__name__)

DEFAULT_SOCKET_FOLDER = "/tmp"  # where TMPDIR names no folder that can be written
HANDOVER_TIMEOUT_S = 3.0  # applies to each socket operation, not to the handover as a whole
READ_SIZE_BYTES = 1 << 16


class ReceivedHandover:
    """The data received from the predecessor.

    Attributes:
        connection: The connection to the predecessor, on which a link continues.
        listener: The listening socket; None if the predecessor did not pass it on.
        message: The handover message with the predecessor's state.
        buffered: The bytes that were read after the message.
    """

    def __init__(
        self, connection: socket.socket, listener: socket.socket | None, message: HandoverMessage, buffered: bytes
    ) -> None:
        self.connection = connection
        self.listener = listener
        self.message = message
        self.buffered = buffered


def _socket_folder() -> Path:
    """Return the folder for temporary files; `tempfile` would import the compression libraries into each process."""
    candidates = (os.environ.get("TMPDIR", ""), DEFAULT_SOCKET_FOLDER)
    return Path(next((path for path in candidates if path and os.access(path, os.W_OK | os.X_OK)), os.curdir))


def socket_path(listen: tuple[str, int]) -> Path:
    """Return the path of the Unix socket at which the processes of the ingress on that address are reached."""
    return _socket_folder() / f"ingress-{listen[0]}-{listen[1]}"


def take_over(path: Path) -> ReceivedHandover | None:
    """Take over from the process that listens on the socket at `path`.

    Blocks, since this process does not serve yet.

    Returns:
        The data of the handover; None if there is no predecessor.

    Raises:
        HandoverError: The predecessor does not answer in time, closes the connection early or sends an invalid message.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(HANDOVER_TIMEOUT_S)
        try:
            with short_socket_name(path) as name:
                sock.connect(name)
            data, descriptors, _, _ = socket.recv_fds(sock, 1, 1)
        except TimeoutError as error:
            raise HandoverError(f"the predecessor at {path} does not answer within {HANDOVER_TIMEOUT_S} s") from error
        except OSError as error:
            # There is no predecessor, it is ending now, or a crash left the socket file behind.
            log.info("no predecessor to take over from at %s: %s", path, error)
            return None
        listener = socket.socket(fileno=descriptors[0]) if descriptors else None
        return _receive(sock, listener, data)


def _receive(sock: socket.socket, listener: socket.socket | None, data: bytes) -> ReceivedHandover:
    try:
        line, buffered = _read_line(sock, data)
        message = read_handover_message(json.loads(line))
        return ReceivedHandover(sock.dup(), listener, message, buffered)
    except (OSError, KeyError, TypeError, ValueError) as error:
        raise HandoverError(
            f"cannot read the handover message of the predecessor: {type(error).__name__}: {error}"
        ) from error


def _read_line(sock: socket.socket, data: bytes) -> tuple[bytes, bytes]:
    """Read the first line, which begins with `data`; return it and the bytes read after it."""
    chunks = [data]
    while b"\n" not in chunks[-1]:
        chunks.append(sock.recv(READ_SIZE_BYTES))
        if not chunks[-1]:
            raise HandoverError("the predecessor closed the connection before the end of its handover message")
    line, _, buffered = b"".join(chunks).partition(b"\n")
    return line, buffered
