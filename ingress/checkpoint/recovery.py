"""Recovery: restores the state from the checkpoint of an ended process, and provides this one's state to the writer.

The modules that read and write checkpoints are imported only if a checkpoint folder is configured, which makes a start
without one faster.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from ingress.configuration.document import Config
from ingress.decisions.events import EndpointListKind, Event
from ingress.decisions.gateway import Gateway
from ingress.decisions.handover_state import CustomerState
from ingress.discovery.client import DiscoveryClient, EndpointList
from ingress.runtime.clock import Clock

if TYPE_CHECKING:
    from ingress.checkpoint.source import SharedState
    from ingress.checkpoint.writer import CheckpointWriter

log = logging.getLogger(__name__)


class EventFeed(Protocol):
    """Passes an event to the decision module."""

    def __call__(self, event: Event, at: float | None = None) -> None:
        """Pass an event that happened at the time `at` of the module's clock; None for now."""


class RecoveryParts(Struct, frozen=True):
    """The parts of the process whose state is restored and written.

    Attributes:
        gateway: The decision module.
        discovery: The discovery client, which continues from the version of the restored endpoint list.
        clock: The clock of the decision module.
        feed: Passes an event to the decision module.
        update_endpoints: Applies an endpoint list.
        endpoint_list: Returns the active endpoint list.
        persistence_changed: Called when the writer starts or stops writing usage to disk.
    """

    gateway: Gateway
    discovery: DiscoveryClient
    clock: Clock
    feed: EventFeed
    update_endpoints: Callable[[EndpointListKind, EndpointList], None]
    endpoint_list: Callable[[], EndpointList]
    persistence_changed: Callable[[], None]


class Recovery:
    """Restores the state from the checkpoint at start, and provides the current state to the writer.

    Attributes:
        config: The configuration.
        parts: The parts of the process.
        persisting: True while usage is written to disk.
        writer: The checkpoint writer; None if no checkpoint folder is configured.
    """

    def __init__(self, config: Config, parts: RecoveryParts) -> None:
        self.config = config
        self.parts = parts
        self.persisting = False
        self.writer: CheckpointWriter | None = None
        if config.checkpoint is not None:
            from ingress.checkpoint.files import CheckpointFiles
            from ingress.checkpoint.writer import CheckpointWriter

            files = CheckpointFiles(Path(config.checkpoint.folder), config.name)
            self.writer = CheckpointWriter(files, config.checkpoint.interval, self, parts.clock)

    def recover(self) -> None:
        """Restore the state of an ended process, and begin the first log.

        If the checkpoint folder cannot be used, the error is logged and the process starts without a checkpoint.
        """
        if self.writer is None:
            return
        from ingress.checkpoint.clock_readings import read_clocks
        from ingress.checkpoint.reader import recover

        name = self.config.name
        files = self.writer.files
        try:
            if not self.writer.acquire():
                log.error("%s: no checkpoint is read or written yet: another process has locked %s", name, files.lock)
                return
            recovered = recover(files, read_clocks(self.parts.clock()))
            log.log(logging.ERROR if recovered.damaged else logging.INFO, "%s: checkpoint: %s", name, recovered.summary)
            self.writer.begin_first_log(recovered.next_log, recovered.last_record)
        except OSError as error:
            log.error("%s: cannot use the checkpoint folder: %s: %s", name, error.filename, error.strerror)
            return
        for at, event in recovered.events:
            self.parts.feed(event, at)
        endpoint_list = recovered.endpoint_list
        if endpoint_list is not None and endpoint_list.version > self.config.initial_endpoints.version:
            self.parts.discovery.set_version(endpoint_list.version)
            self.parts.update_endpoints(EndpointListKind.RESTORED, endpoint_list)

    # Implements CheckpointSource

    def customer_names(self) -> list[str]:
        """List the names of all customers that have a state."""
        return list(self.parts.gateway.customers)

    def customer_states(self, names: Iterable[str]) -> list[CustomerState]:
        """Return the states of these customers."""
        return self.parts.gateway.customer_states(self.parts.clock(), names)

    def shared_state(self) -> SharedState:
        """Return the state that a snapshot contains in addition to the customers."""
        from ingress.checkpoint.source import SharedState

        state = self.parts.gateway.handover_state(self.parts.clock(), customers=False)
        return SharedState(state, self.parts.endpoint_list())

    def persistence_changed(self, enabled: bool) -> None:
        """Record whether usage is written to disk, and notify the decision module, which must report it while it is."""
        if enabled is not self.persisting:
            self.persisting = enabled
            self.parts.persistence_changed()
