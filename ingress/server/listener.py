"""The listening socket: accepts in batches, waits while there is no capacity, and pauses when descriptors run out."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from ingress.runtime.sockets import accept_queue_length, enable_keepalive

log = logging.getLogger(__name__)

# Minimum length of the accept queue, in which the kernel holds connections while this process is busy. The queue is
# longer if the process may have more connections open.
MIN_BACKLOG = 512
ACCEPT_BATCH_SIZE = 32  # Connections accepted in one iteration of the event loop; requests are served between batches.
EXHAUSTED_PAUSE = 0.2  # Seconds for which accepting pauses after descriptors have run out.

# Errors of `accept` which mean that this process or the system has run out of descriptors or memory.
EXHAUSTED_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Listener:
    """Accepts connections from one listening socket.

    Attributes:
        on_accept: The callback that takes each connection with the address of its peer and returns whether there is
            capacity for another; once there is again, `capacity_available` must be called.
        accepting: Whether this process accepts; if not, another process accepts from the same socket.
        is_full: Whether there is no capacity for another connection.
        is_reading: Whether the event loop watches the socket.
        resume_timer: The timer that ends the pause after descriptors have run out; None outside a pause.
        accepted_count: The number of connections accepted since the start.
        exhausted_count: How many times descriptors have run out.
        socket: The listening socket.
    """

    def __init__(
        self,
        address: tuple[str, int],
        on_accept: Callable[[socket.socket, str], bool],
        sock: socket.socket | None = None,
    ) -> None:
        """Bind the address, or use `sock`, which is already bound."""
        self.loop = asyncio.get_running_loop()
        self.on_accept = on_accept
        self.accepting = True
        self.is_full = False
        self.is_reading = False
        self.resume_timer: asyncio.TimerHandle | None = None
        self.accepted_count = 0
        self.exhausted_count = 0
        self.socket = sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        if sock is None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind(address)
        enable_keepalive(self.socket)

    def open(self, max_connections: int = 0) -> None:
        """Listen and accept; the process may have up to `max_connections` connections open."""
        self.set_backlog(max_connections)
        self._update_reading()

    def set_backlog(self, max_connections: int) -> None:
        """Set the length of the accept queue.

        The queue must hold all clients that connect at once, such as after a crash or while this process is stalled: a
        connection that finds the queue full is retried only a second later.
        """
        if self._is_open():
            self.socket.listen(max(MIN_BACKLOG, max_connections))

    def set_accepting(self, enabled: bool) -> None:
        """Set whether this process accepts connections; if not, another process accepts from the same socket."""
        if enabled is self.accepting:
            return
        self.accepting = enabled
        self.is_full = False
        self._update_reading()

    def capacity_available(self) -> None:
        """Resume accepting after `on_accept` has returned False."""
        if self.is_full:
            self.is_full = False
            self._update_reading()

    def waiting_count(self) -> int:
        """Return how many connections wait to be accepted; 1 if the system can't report it, 0 once closed."""
        if not self._is_open():
            return 0
        count = accept_queue_length(self.socket)
        return 1 if count is None else count

    def accept_pending(self) -> None:
        """Accept all queued connections for which there is capacity."""
        while self.accepting and not self.is_full and self.resume_timer is None and self._batch():
            pass

    def close(self) -> None:
        """Close the socket."""
        if self._is_open():
            self.accepting = False
            self._update_reading()
            self.socket.close()
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None

    def _is_open(self) -> bool:
        return self.socket.fileno() >= 0

    def _update_reading(self) -> None:
        """Let the event loop watch the socket exactly while a connection can be accepted."""
        should_read = self.accepting and not self.is_full and self.resume_timer is None and self._is_open()
        if should_read and not self.is_reading:
            self.loop.add_reader(self.socket, self._batch)
        elif self.is_reading and not should_read:
            self.loop.remove_reader(self.socket)
        self.is_reading = should_read

    def _batch(self) -> bool:
        """Accept up to one batch of queued connections; return whether there may be more."""
        for _ in range(ACCEPT_BATCH_SIZE):
            try:
                sock, address = self.socket.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in EXHAUSTED_ERRORS:
                    self._pause(error)
                    return False
                log.warning("accept failed for one connection: %s", error)
                continue
            self.accepted_count += 1
            if not self.on_accept(sock, address[0]):
                self.is_full = True
                self._update_reading()
                return False
        return True

    def _pause(self, error: OSError) -> None:
        """Stop accepting for a while after descriptors have run out.

        Without the pause the event loop would spin, because the socket stays readable.
        """
        self.exhausted_count += 1
        is_power_of_two = self.exhausted_count & (self.exhausted_count - 1) == 0
        if is_power_of_two:
            log.warning(
                "accept failed: %s (failure %d of this kind); pausing for %.1f s",
                error,
                self.exhausted_count,
                EXHAUSTED_PAUSE,
            )
        self.resume_timer = self.loop.call_later(EXHAUSTED_PAUSE, self._resume)
        self._update_reading()

    def _resume(self) -> None:
        self.resume_timer = None
        self._update_reading()
