"""Poll ingresses for their metrics, with a bounded rate and concurrency.

An ingress that does not answer delays the poll of no other ingress.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from enum import Enum
from functools import partial
from math import isfinite
from pathlib import Path

from msgspec import Struct, field

from ingress.errors import IngressError
from ingress.runtime.sockets import MAX_PORT, Address

MAX_ANSWER_BYTES = 256 * 1024
MAX_QUOTED_CHARACTERS = 60  # of a malformed line in an error message
MAX_RESPONSIVE_CALLS = 64  # concurrent calls to ingresses that answered the last call
MAX_UNRESPONSIVE_CALLS = 16  # concurrent calls to all others, which may all hang without delaying the responsive ones


class PollState(Enum):
    """The result of the last call to an ingress; the values are shown to operators."""

    NEW = "new"  # not called yet
    OK = "ok"
    UNRESPONSIVE = "silent"  # no complete answer within the timeout
    UNREACHABLE = "refused"  # the connection was refused or failed
    MALFORMED = "nonsense"  # the answer could not be parsed


class MalformedAnswerError(IngressError):
    """An answer of an ingress can't be parsed."""


class AddressListError(IngressError):
    """Addresses are missing or invalid; the message names the file or option, and the line where there is one."""


class Metrics(Struct, frozen=True):
    """The answer to `show-stat`.

    Attributes:
        values: The value of each metric, by name.
        counters: The names of the metrics that are counted from the start of the process.
    """

    values: dict[str, float] = field(default_factory=dict)
    counters: frozenset[str] = frozenset()


def read_addresses(text: str, place: str) -> list[Address]:
    """Return the addresses of a text with one HOST:PORT per line, each once; ignore blank lines and `#` comments.

    Args:
        text: The text with the addresses.
        place: The file or option that the text is from, for error messages.

    Raises:
        AddressListError: A line is not HOST:PORT, or there is no address.
    """
    found: dict[Address, None] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not (address := line.partition("#")[0].strip()):
            continue
        host, _, port = address.rpartition(":")
        if not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) <= MAX_PORT:
            raise AddressListError(f"{place}:{number}: {address[:MAX_QUOTED_CHARACTERS]!r} is not HOST:PORT")
        found[host, int(port)] = None
    if not found:
        raise AddressListError(f"{place}: contains no address")
    return list(found)


def parse_metrics(text: str) -> Metrics:
    """Parse the answer to `show-stat`.

    Raises:
        MalformedAnswerError: The answer is incomplete, or a line is malformed or repeated.
    """
    *lines, last = text.strip().split("\n")
    if last != "eof":
        raise MalformedAnswerError("the answer to show-stat does not end with a line 'eof'")
    values: dict[str, float] = {}
    counters = set()
    for line in lines:
        name, value, is_counter = _parse_metric(line)
        if name in values:
            raise MalformedAnswerError(f"the answer to show-stat contains {name} twice")
        values[name] = value
        if is_counter:
            counters.add(name)
    return Metrics(values, frozenset(counters))


def _parse_metric(line: str) -> tuple[str, float, bool]:
    """Return the name and value of a metric, and whether it is a counter."""
    name, _, value_and_type = line.rpartition(":")
    number, _, metric_type = value_and_type.partition("|")
    try:
        value = float(number)
    except ValueError:
        raise _malformed_metric(line) from None
    if not name or metric_type not in ("c", "g") or not isfinite(value) or (metric_type == "c" and value < 0):
        raise _malformed_metric(line)
    return name, value, metric_type == "c"


def _malformed_metric(line: str) -> MalformedAnswerError:
    quoted = repr(line[:MAX_QUOTED_CHARACTERS])
    return MalformedAnswerError(
        f"the answer to show-stat contains {quoted}; expected NAME:VALUE|c (a counter, not negative) or "
        "NAME:VALUE|g, with a finite value"
    )


async def call_admin(address: Address, command: str) -> str:
    """Send a command to the second address of an ingress, and return the answer.

    Raises:
        OSError: The connection can't be opened, or fails.
        MalformedAnswerError: The answer is longer than MAX_ANSWER_BYTES.
    """
    reader, writer = await asyncio.open_connection(*address, limit=MAX_ANSWER_BYTES)
    try:
        writer.write(command.encode() + b"\n")
        data = await reader.read(MAX_ANSWER_BYTES)
        while more := await reader.read(MAX_ANSWER_BYTES):
            data += more
            if len(data) > MAX_ANSWER_BYTES:
                raise MalformedAnswerError(f"the answer to {command} is longer than {MAX_ANSWER_BYTES} bytes")
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
    return data.decode("utf-8", "replace")


class PolledIngress:
    """An ingress, polled at its second address.

    Attributes:
        address: The second address.
        name: The second address as HOST:PORT.
        state: The result of the last call.
        error: The reason why the last call failed; empty if it succeeded.
        metrics: The metrics in the last valid answer.
        rates: The increase per second of each counter between the last two valid answers.
        answered_at: The time of the last valid answer, by the clock of the event loop.
        restarts: The number of process restarts that were detected.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.name = f"{address[0]}:{address[1]}"
        self.state = PollState.NEW
        self.error = ""
        self.metrics = Metrics()
        self.rates: dict[str, float] = {}
        self.answered_at: float | None = None
        self.restarts = 0

    @property
    def is_responsive(self) -> bool:
        """Whether the last call succeeded, or the ingress has not been called yet."""
        return self.state in (PollState.NEW, PollState.OK)

    def apply_answer(self, text: str, now: float) -> None:
        """Update the metrics and rates from an answer to `show-stat`.

        A counter that has decreased shows that another process answers.  That process has counted from 0 since its
        start, so the value itself is taken as the increase since the last answer.

        Raises:
            MalformedAnswerError: The answer can't be parsed.
        """
        metrics = parse_metrics(text)
        previous_values = self.metrics.values
        previous_time = self.answered_at
        restarted = any(
            metrics.values[name] < previous_values[name] for name in metrics.counters & previous_values.keys()
        )
        self.restarts += restarted
        self.rates = {}
        if previous_time is not None and now > previous_time:
            base = {} if restarted else previous_values
            self.rates = {
                name: (metrics.values[name] - base.get(name, 0.0)) / (now - previous_time) for name in metrics.counters
            }
        self.metrics = metrics
        self.answered_at = now


class Poller:
    """Polls a set of ingresses at their second addresses."""

    def __init__(self, timeout: float, rate: float) -> None:
        """Create a poller without addresses.

        Args:
            timeout: The time within which an ingress must answer (s).
            rate: The maximum number of calls per second, to all ingresses together.
        """
        self.timeout = timeout
        self.rate = rate
        self.ingresses: dict[Address, PolledIngress] = {}
        self.responsive_slots = asyncio.Semaphore(MAX_RESPONSIVE_CALLS)
        self.unresponsive_slots = asyncio.Semaphore(MAX_UNRESPONSIVE_CALLS)
        self.calls: dict[PolledIngress, asyncio.Task[None]] = {}  # calls in progress

    def set_addresses(self, addresses: Iterable[Address]) -> None:
        """Poll these addresses from now on; keep the state of the ingresses that were polled before."""
        self.ingresses = {address: self.ingresses.get(address) or PolledIngress(address) for address in addresses}

    async def poll(self) -> None:
        """Call each ingress once, and wait for those that answered the last call.

        The calls to the others continue after this poll, and their answers are seen by a later one.  An ingress that
        still has a call in progress is not called again.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        awaited: list[asyncio.Task[None]] = []
        for number, ingress in enumerate(list(self.ingresses.values())):
            if (wait := started_at + number / self.rate - loop.time()) > 0:
                await asyncio.sleep(wait)
            if ingress in self.calls:
                continue
            task = loop.create_task(self._poll_one(ingress, loop.time))
            self.calls[ingress] = task
            # The callback also runs for a task that is cancelled before it starts.
            task.add_done_callback(partial(self._end_call, ingress))
            if ingress.is_responsive:
                awaited.append(task)
        await asyncio.gather(*awaited)

    def _end_call(self, ingress: PolledIngress, _call: asyncio.Task[None]) -> None:
        del self.calls[ingress]

    async def close(self) -> None:
        """Cancel the calls in progress, and wait until they have ended."""
        calls = list(self.calls.values())
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def _poll_one(self, ingress: PolledIngress, clock: Callable[[], float]) -> None:
        async with self.responsive_slots if ingress.is_responsive else self.unresponsive_slots:
            try:
                async with asyncio.timeout(self.timeout):
                    text = await call_admin(ingress.address, "show-stat")
                ingress.apply_answer(text, clock())
            except TimeoutError:
                ingress.state = PollState.UNRESPONSIVE
                ingress.error = f"no complete answer to show-stat within {self.timeout:g} s"
            except (OSError, UnicodeError) as error:  # UnicodeError: the host can't be encoded as a host name
                ingress.state = PollState.UNREACHABLE
                ingress.error = getattr(error, "strerror", None) or type(error).__name__
            except MalformedAnswerError as error:
                ingress.state = PollState.MALFORMED
                ingress.error = str(error)
            else:
                ingress.state = PollState.OK
                ingress.error = ""


class AddressFile:
    """A file with addresses, which is read again when it has changed."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.last_stat = (0, 0, 0)

    def read_if_changed(self) -> list[Address] | None:
        """Return the addresses if the file has changed since the last call, otherwise None.

        Raises:
            AddressListError: The file can't be read, or its contents are invalid.
        """
        try:
            status = self.path.stat()
            stat = (status.st_mtime_ns, status.st_size, status.st_ino)
            if stat == self.last_stat:
                return None
            text = self.path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise AddressListError(f"{self.path}: {getattr(error, 'strerror', None) or error}") from None
        self.last_stat = stat
        return read_addresses(text, str(self.path))
