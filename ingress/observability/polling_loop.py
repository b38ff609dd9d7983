"""Poll a fleet periodically, and pass on a summary of each poll."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from ingress.observability.poller import AddressFile, AddressListError, Poller
from ingress.observability.summary import summarize


class PollingPlan(Struct, frozen=True):
    """The source of the addresses and the schedule of the polls.

    Attributes:
        address_file: The file with the addresses; None for addresses that don't change.
        period_s: The time from the start of one poll to that of the next; a poll that takes longer delays the next.
        polls: The number of polls; None for no limit.
    """

    address_file: AddressFile | None
    period_s: float
    polls: int | None = None


async def poll_repeatedly(
    poller: Poller, plan: PollingPlan, show: Callable[[dict[str, Any]], None], warn: Callable[[str], None]
) -> None:
    """Poll as planned, until all polls are done or the task is cancelled.

    Args:
        poller: The poller of the fleet, which is closed at the end.
        plan: The address file and the schedule.
        show: Called with the summary of each poll.
        warn: Called when the address file can't be read; not again while the error stays the same.

    Raises:
        AddressListError: The file can't be read while no address is known; later on, the last addresses are kept.
    """
    try:
        await _poll_repeatedly(poller, plan, show, warn)
    finally:
        await poller.close()


async def _poll_repeatedly(
    poller: Poller, plan: PollingPlan, show: Callable[[dict[str, Any]], None], warn: Callable[[str], None]
) -> None:
    loop = asyncio.get_running_loop()
    last_error = ""
    polls_done = 0
    while plan.polls is None or polls_done < plan.polls:
        started_at = loop.time()
        error = _reload_addresses(poller, plan.address_file)
        if error and error != last_error:
            warn(error)
        last_error = error
        await poller.poll()
        show(summarize(poller.ingresses.values(), time.time()))
        polls_done += 1
        if plan.polls is None or polls_done < plan.polls:
            await asyncio.sleep(max(0.0, started_at + plan.period_s - loop.time()))


def _reload_addresses(poller: Poller, file: AddressFile | None) -> str:
    """Set the addresses if the file has changed; return why it could not be read, or an empty text.

    Raises:
        AddressListError: The file can't be read, and there are no earlier addresses to keep.
    """
    if file is None:
        return ""
    try:
        if (addresses := file.read_if_changed()) is not None:
            poller.set_addresses(addresses)
    except AddressListError as error:
        if not poller.ingresses:
            raise
        return str(error)
    return ""
