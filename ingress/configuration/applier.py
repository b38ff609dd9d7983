"""Two-phase application of a configuration to a running process.

`prepare` may fail and changes nothing; `commit` changes all components and cannot fail.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from ingress.configuration.document import Config
from ingress.decisions.events import Event, SettingsChanged
from ingress.discovery.client import DiscoveryClient, initial_busy_pause
from ingress.runtime.memory_budget import MemoryBudget
from ingress.runtime.memory_monitor import MemoryMonitor
from ingress.runtime.metrics import Metrics
from ingress.server.client_server import ClientServer
from ingress.server.commands import CommandReader
from ingress.server.request_handler import RequestHandler, RequestLimits
from ingress.upstream.connection_pool import ConnectionPool
from ingress.upstream.counter_client import CounterClient
from ingress.upstream.shared_counter import SharedCounter


class PreparedConfig(Struct, frozen=True):
    """A configuration that is ready to be committed, with the components created for it."""

    config: Config
    command_reader: CommandReader
    counter_client: CounterClient | None


class ConfigurableParts(Struct, frozen=True):
    """The components of a process that a new configuration changes.

    Attributes:
        clients: The server for client connections.
        requests: The handler of the requests in flight.
        pool: The pool of connections to endpoints.
        discovery: The client that polls the endpoint list.
        counter: The shared counter.
        budget: The memory budget.
        memory_monitor: The monitor that logs while the memory limit is exceeded.
        metrics: The metrics of the process.
        feed: Passes an event to the gateway.
        resize_process_group: Applies changed connection limits to the share of this process in its process group.
    """

    clients: ClientServer
    requests: RequestHandler
    pool: ConnectionPool
    discovery: DiscoveryClient
    counter: SharedCounter
    budget: MemoryBudget
    memory_monitor: MemoryMonitor
    metrics: Metrics
    feed: Callable[[Event], None]
    resize_process_group: Callable[[], None]


def request_limits(config: Config) -> RequestLimits:
    """Return the request limits; with hedging, a request may have two attempts in flight, otherwise one."""
    settings = config.settings
    concurrent_attempts = 2 if settings.hedging_allowed else 1
    return RequestLimits(
        max_in_flight=config.max_open_requests,
        max_attempts=settings.max_attempts,
        max_concurrent_attempts=concurrent_attempts,
    )


class ConfigApplier:
    """Applies a configuration to all components of a process in one step."""

    def __init__(self, parts: ConfigurableParts) -> None:
        self.parts = parts

    def apply_initial(self, config: Config) -> None:
        """Apply the settings that the components do not receive through their constructors."""
        timeout = config.settings.counter_timeout
        self.set_tls(config)
        self.parts.counter.commit(self.parts.counter.prepare(config.counter, timeout), config.counter, timeout)

    def prepare(self, config: Config) -> PreparedConfig:
        """Create every component whose creation may fail, without changing the process."""
        command_reader = CommandReader(config.settings)
        counter_client = self.parts.counter.prepare(config.counter, config.settings.counter_timeout)
        return PreparedConfig(config, command_reader, counter_client)

    def commit(self, prepared: PreparedConfig, previous: Config) -> None:
        """Apply a prepared configuration to all components, without returning to the event loop in between."""
        config = prepared.config
        settings = config.settings
        parts = self.parts
        parts.clients.command_reader = prepared.command_reader
        parts.requests.limits = request_limits(config)
        parts.metrics.add_classes(request_class.name for request_class in settings.classes)
        parts.pool.connect_timeout = config.connect_timeout
        self.set_tls(config)
        parts.pool.set_time_limits(config.idle_timeout, settings.drain_grace)
        parts.budget.set_limit(config.memory_limit)
        parts.clients.shares.guaranteed = config.guaranteed_connections
        parts.resize_process_group()
        parts.memory_monitor.check()  # logs at once if the new memory limit is exceeded
        parts.clients.acceptor.set_backlog(config.max_client_connections)
        parts.discovery.busy_pause = initial_busy_pause(settings)
        if config.discovery != previous.discovery:
            parts.discovery.change_address(config.discovery)
        parts.counter.commit(prepared.counter_client, config.counter, settings.counter_timeout)
        parts.feed(SettingsChanged(settings))

    def set_tls(self, config: Config) -> None:
        """Set TLS for new connections; connections that are open or in their handshake keep their settings."""
        self.parts.clients.tls = config.client_tls.context if config.client_tls else None
        self.parts.pool.connector.tls = config.endpoint_tls
