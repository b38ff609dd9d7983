"""The memory budget: what peers make this process hold, shared by all connections and all processes of an ingress.

Each client connection has an account. It reserves what the connection holds, by the kind of holder, and releases all of
it when the connection is closed. While less than half of the budget is in use, an account may grow freely. Above that
it may grow up to its guaranteed share, an even part of the other half, so that no connection can starve the others.
What has arrived is always counted, also beyond the budget; connections then stop reading until there is room.

The size of the budget follows from the resident memory of the process, which `MemoryMeter` reports: what is counted may
grow by a part of what is left below the limit. Only where the system does not report it is the size assumed.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

USABLE_RATIO = 0.8  # the usable part of a limit without a measurement: allocators hold more memory than is in use
PROCESS_BASE_BYTES = 20 << 20  # the part of the memory of each process that the reports to other processes leave out
MIN_CAPACITY_BYTES = 2 << 20  # granted without a measurement even if the limit leaves less
MIN_MEASURED_CAPACITY_BYTES = 128 << 10  # granted with one even if nothing is left; enough for some requests
MIN_RESERVE_BYTES = 1280 << 10  # kept free for what is not counted, and for what grows between two measurements
RESERVE_DIVISOR = 40  # the reserve is at least the limit divided by this
GROWTH_RATIO = 2  # the resident bytes that a counted byte may take
MAX_STREAM_WINDOW = 64 << 10  # the largest window of a streamed value in bytes
MIN_STREAM_WINDOW = 2 << 10  # the smallest window in bytes, used when memory is short
WINDOWS_PER_STREAM = 2
CONTENDED_RATIO = 0.5  # above this part of the capacity, each account is limited to its guaranteed share
READABLE_RATIO = 0.9  # above this part of the capacity nothing more is read: the rest is for requests and answers
MIN_READ_BYTES = 512  # read at once while memory is short; holds an ordinary command
READ_COST = 3  # bytes that each received byte of a command may take: parsed, and in a buffer that grows by doubling
MIN_GUARANTEED_BYTES = 4 << 10  # enough for an ordinary command and its request, however many accounts there are


class Holder(IntEnum):
    """The kinds of memory that a peer makes this process hold.

    Attributes:
        COMMANDS: Received commands that are incomplete or wait to be executed.
        REQUESTS: Requests in flight, with their commands.
        ANSWERS: Answers and chunks that wait for earlier answers of their connection.
        WRITES: Data written to clients that the kernel has not accepted yet.
        UPLOADS: Chunks of bodies that the kernel has not accepted for their endpoints yet.
        RESPONSES: Incomplete responses of endpoints.
    """

    COMMANDS = 0
    REQUESTS = 1
    ANSWERS = 2
    WRITES = 3
    UPLOADS = 4
    RESPONSES = 5


def _ignore() -> None:
    """Do nothing: the callback of an account that never waits."""


class MemoryAccount:
    """What one connection holds.

    Attributes:
        total: The bytes that are reserved.
        sizes: The reserved bytes by holder.
        is_open: Whether the account has not been closed; a closed one holds nothing and ignores reservations.
    """

    __slots__ = ("_budget", "_on_available", "is_open", "sizes", "total")

    def __init__(self, budget: MemoryBudget, on_available: Callable[[], None]) -> None:
        self._budget = budget
        self._on_available = on_available
        self.sizes = [0] * len(Holder)
        self.total = 0
        self.is_open = True

    def add(self, holder: Holder, size: int) -> None:
        """Reserve `size` more bytes for a holder, or release some if it is negative."""
        if not self.is_open or not size:
            return
        self.sizes[holder] += size
        self.total += size
        self._budget.change(holder, size)

    def resize(self, holder: Holder, size: int) -> None:
        """Reserve exactly `size` bytes for a holder."""
        self.add(holder, size - self.sizes[holder])

    def fits(self, size: int) -> bool:
        """Report whether the account may grow by `size` bytes."""
        return self._budget.fits(size, self.total)

    def may_read(self) -> bool:
        """Report whether more may be read from the peer; a peer that holds almost nothing may always send a little."""
        if self._budget.is_short():
            return not self.total
        return self.total < MIN_GUARANTEED_BYTES or self._budget.may_read(MIN_READ_BYTES, self.total)

    def read_size(self) -> int:
        """Return how many bytes may be read from the peer at once."""
        window = self._budget.stream_window()
        return window if self._budget.may_read(window, self.total) else MIN_READ_BYTES

    def wait(self) -> None:
        """Call `on_available` once, when the account may grow again."""
        self._budget.waiting[self] = None

    def notify(self) -> None:
        """Report to the connection that there is room."""
        self._on_available()

    def close(self) -> None:
        """Release everything, and the callback: its object would stay in memory until a garbage collection."""
        for holder in Holder:
            self.resize(holder, 0)
        self.is_open = False
        self._on_available = _ignore
        self._budget.waiting.pop(self, None)


class MemoryBudget:
    """Counts the memory that peers make this process hold, in bytes.

    A streamed value may use two windows: one for data that was read, one for data that is being written.

    Attributes:
        limit: The limit of all processes of the ingress together.
        resident: The resident memory of this process; None without a measurement.
        process_count: The number of processes of the ingress.
        used_elsewhere: The memory that the other processes use.
        max_accounts: The number of accounts that share the guaranteed half.
        sizes: The reserved bytes by holder.
        waiting: The accounts that wait for room, in the order in which they began to; the values have no meaning.
        streaming_responses: The number of long values that are being forwarded to clients.
        streaming_uploads: The number of long values that are being forwarded to endpoints.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.resident: int | None = None
        self.process_count = 1
        self.used_elsewhere = 0
        self.max_accounts = 1
        self.sizes = [0] * len(Holder)
        self.waiting: dict[MemoryAccount, None] = {}
        self.streaming_responses = 0
        self.streaming_uploads = 0
        self._used = 0
        self._used_at_exchange = 0
        self._capacity = 0
        self._update_capacity()

    def open_account(self, on_available: Callable[[], None] = _ignore) -> MemoryAccount:
        """Return an account that holds nothing; `on_available` is called as `MemoryAccount.wait` describes."""
        return MemoryAccount(self, on_available)

    def set_other_processes(self, process_count: int, used_elsewhere: int) -> None:
        """Apply what the other processes have reported, while this one reports its own use to them."""
        self.process_count = process_count
        self.used_elsewhere = used_elsewhere
        self._used_at_exchange = self._used
        self._update_capacity()
        self._notify_waiting()

    def set_limit(self, limit: int) -> None:
        """Change the limit of all processes together."""
        self.limit = limit
        self._update_capacity()
        self._notify_waiting()

    def set_resident(self, resident: int) -> None:
        """Apply the resident memory of this process."""
        self.resident = resident
        self._update_capacity()
        if self.waiting:
            self._notify_waiting()

    def free(self) -> int | None:
        """Return by how much all processes together may grow; negative above that, None without a measurement."""
        if self.resident is None:
            return None
        reserve = max(MIN_RESERVE_BYTES, self.limit // RESERVE_DIVISOR)
        elsewhere = self.used_elsewhere + PROCESS_BASE_BYTES * (self.process_count - 1)
        return self.limit - reserve - self.resident - elsewhere

    def is_short(self) -> bool:
        """Report whether the reserve is in use, so that connections have to be closed."""
        free = self.free()
        return free is not None and free < 0

    def reported_use(self) -> int:
        """Return what the other processes are told: the use of this process above PROCESS_BASE_BYTES."""
        return self.used() if self.resident is None else max(self.used(), self.resident - PROCESS_BASE_BYTES)

    def capacity(self) -> int:
        """Return how many bytes this process may use."""
        return self._capacity

    def _update_capacity(self) -> None:
        """Compute the capacity.

        What no process uses is divided evenly among them until the next exchange, so that they don't use it twice.
        """
        free = self.free()
        if free is not None:
            growth = max(0, free) // (GROWTH_RATIO * self.process_count)
            self._capacity = max(MIN_MEASURED_CAPACITY_BYTES, self._used + growth)
            return
        usable = int(self.limit * USABLE_RATIO) - PROCESS_BASE_BYTES * self.process_count
        own = self._used_at_exchange if self.process_count > 1 else 0
        unused = max(0, usable - self.used_elsewhere - own)
        self._capacity = max(MIN_CAPACITY_BYTES, own + unused // self.process_count)

    def used(self) -> int:
        """Return how many bytes this process uses, with the smallest windows of the streamed values."""
        return self._used + WINDOWS_PER_STREAM * MIN_STREAM_WINDOW * self._stream_count()

    def guaranteed_share(self) -> int:
        """Return how many bytes each account may use even if half of the capacity is in use."""
        return max(MIN_GUARANTEED_BYTES, int(self.capacity() * (1 - CONTENDED_RATIO)) // self.max_accounts)

    def fits(self, size: int, held: int = 0) -> bool:
        """Report whether an account that holds `held` bytes may grow by `size`."""
        total = self.used() + size
        if total <= CONTENDED_RATIO * self._capacity:
            return True
        return total <= self._capacity and held + size <= self.guaranteed_share()

    def may_read(self, size: int, held: int) -> bool:
        """Report whether an account that holds `held` bytes may read `size` bytes of commands."""
        cost = READ_COST * size
        return self.used() + cost <= READABLE_RATIO * self._capacity and self.fits(cost, held)

    def stream_window(self) -> int:
        """Return how many bytes of each streamed value may be read and not yet written."""
        equal_window = (self.capacity() - self._used) // (WINDOWS_PER_STREAM * max(1, self._stream_count()))
        return min(MAX_STREAM_WINDOW, max(MIN_STREAM_WINDOW, equal_window))

    def change(self, holder: Holder, size: int) -> None:
        """Count `size` more bytes of a holder; fewer if it is negative."""
        self.sizes[holder] += size
        self._used += size
        if size < 0 and self.waiting:
            self._notify_waiting()

    def metrics(self) -> dict[str, int]:
        """Return the use by holder, and the capacity, in bytes."""
        by_holder = {f"memory.{holder.name.lower()}": self.sizes[holder] for holder in Holder}
        measured = {"resident.bytes": self.resident or 0, "resident.limit": self.limit}
        return {"memory.used": self.used(), "memory.capacity": self.capacity()} | by_holder | measured

    def _stream_count(self) -> int:
        return self.streaming_responses + self.streaming_uploads

    def _notify_waiting(self) -> None:
        """Notify the account that has waited longest if it may grow, and then the next ones for as long as all fit.

        The others are not tried, since this is called with each release; connections also try again from time to time.
        """
        granted = MIN_READ_BYTES
        while self.waiting:
            account = next(iter(self.waiting))
            if not self.may_read(granted, account.total):
                return
            del self.waiting[account]
            granted += MIN_READ_BYTES
            account.notify()
