"""One ingress process: builds its components, connects them and runs its life cycle."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

from ingress.action_performer import ActionPerformer, PerformerParts
from ingress.admin.admin_commands import AdminCommands, AdminTargets, tls_metrics
from ingress.admin.admin_server import AdminServer
from ingress.checkpoint.recovery import Recovery, RecoveryParts
from ingress.configuration.applier import ConfigApplier, ConfigurableParts, request_limits
from ingress.configuration.changes import ConfigChanges
from ingress.configuration.document import Config
from ingress.decisions.events import EndpointListKind, EndpointsChanged
from ingress.decisions.gateway import Gateway
from ingress.decisions.handover_state import QuotaUsage
from ingress.decisions.settings import Settings
from ingress.discovery.client import DiscoveryClient, EndpointList, initial_busy_pause
from ingress.gateway_runner import GatewayRunner
from ingress.graceful_shutdown import GracefulShutdown
from ingress.process_group.handover import ReceivedHandover
from ingress.process_group.handover_messages import HandoverMessage
from ingress.process_group.member_record import ConnectionCounts
from ingress.process_group.process_group import LocalProcess, ProcessGroup
from ingress.runtime.clock import Clock, unix_clock
from ingress.runtime.logs import INGRESS_LOG, REQUESTS
from ingress.runtime.memory_budget import MemoryBudget
from ingress.runtime.memory_meter import MemoryMeter
from ingress.runtime.memory_monitor import MemoryMonitor
from ingress.runtime.metrics import Metrics
from ingress.runtime.resident_memory import ResidentMemory
from ingress.server.client_server import ClientServer, ServerSettings
from ingress.server.commands import CommandReader
from ingress.server.request_handler import RequestHandler
from ingress.upstream.connection_pool import ConnectionPool
from ingress.upstream.health_check import HealthChecker
from ingress.upstream.pool_settings import PoolSettings
from ingress.upstream.shared_counter import SharedCounter


class Ingress:
    """Owns the components of one process; all decisions are made by the `Gateway`."""

    def __init__(
        self,
        config: Config,
        clock: Clock | None = None,
        received_handover: ReceivedHandover | None = None,
        path: Path | None = None,
        memory: ResidentMemory | None = None,
    ) -> None:
        """Create the components and bind the listening sockets; `run` starts them.

        Args:
            config: The configuration to start with.
            clock: Returns Unix time in seconds; the default never goes backwards.
            received_handover: The handover from the predecessor process, if there is one.
            path: The path of the socket at which a successor process finds this one; without it there is no handover.
            memory: The memory of the process, from which its budget follows; None to assume it.
        """
        self.received_handover = received_handover
        self.clock = clock or unix_clock()
        self.loop = asyncio.get_running_loop()
        self.gateway = Gateway(config.settings, config.seed)
        self.runner = GatewayRunner(self.gateway, self.clock)
        self.feed = self.runner.feed
        self.budget = MemoryBudget(config.memory_limit)
        self.metrics = Metrics(request_class.name for request_class in config.settings.classes)
        self.pool = self._make_pool(config)
        self.health_checker = HealthChecker(self.pool, self.clock, self.feed)
        self.requests = RequestHandler(self.pool, self.feed, request_limits(config))
        self.counter = SharedCounter(self.clock, self.feed)
        self.discovery = self._make_discovery(config)
        self.clients = self._make_client_server(config)
        self.shutdown = GracefulShutdown(config.name, self.clients, self.requests, self.feed)
        self.applier = self._make_applier(config)
        self.changes = self._make_changes(config)
        self.process_group = ProcessGroup(self._local_process(), path)
        self.recovery = self._make_recovery(config)
        self.checkpoint_writer = self.recovery.writer
        self.memory_meter: MemoryMeter | None = None
        if memory is not None:
            self.memory_meter = MemoryMeter(config.name, self.budget, memory, self.clients.make_memory, self.feed)
        self._connect_actions(config)
        self.admin_commands = self._make_admin_commands()
        self.admin_server: AdminServer | None = None
        if config.admin is not None:
            self.admin_server = AdminServer(config.admin, self.admin_commands.answer, self.clock)
        self.applier.apply_initial(config)

    def _make_pool(self, config: Config) -> ConnectionPool:
        settings = PoolSettings(
            max_connections=config.max_endpoint_connections,
            connect_timeout=config.connect_timeout,
            idle_timeout=config.idle_timeout,
            drain_grace=config.settings.drain_grace,
        )
        return ConnectionPool(settings, self.clock, self.metrics, self.budget)

    def _make_discovery(self, config: Config) -> DiscoveryClient:
        listing = self.received_handover.message.endpoint_list if self.received_handover else config.initial_endpoints
        return DiscoveryClient(
            config.discovery,
            self.update_endpoints,
            listing.version if listing.endpoints else None,
            random.Random(config.seed),
            self.clock,
            initial_busy_pause(config.settings),
        )

    def _make_client_server(self, config: Config) -> ClientServer:
        settings = ServerSettings(
            address=config.listen,
            max_connections=config.max_client_connections,
            guaranteed_connections=config.guaranteed_connections,
            inherited_socket=self.received_handover.listener if self.received_handover else None,
        )
        return ClientServer(settings, CommandReader(config.settings), self.requests, self.clock, self.budget)

    def _make_applier(self, config: Config) -> ConfigApplier:
        return ConfigApplier(
            ConfigurableParts(
                clients=self.clients,
                requests=self.requests,
                pool=self.pool,
                discovery=self.discovery,
                counter=self.counter,
                budget=self.budget,
                memory_monitor=MemoryMonitor(config.name, self.budget),
                metrics=self.metrics,
                feed=self.feed,
                resize_process_group=lambda: self.process_group.resize(),
            )
        )

    def _make_changes(self, config: Config) -> ConfigChanges:
        """Create the configuration changes.

        The process group is created later, because it needs their agreement; it is therefore looked up at each call.
        """
        return ConfigChanges(
            config,
            self.applier,
            predecessor=lambda: self.process_group.predecessor(),
            successors=lambda: self.process_group.successors(),
        )

    def _local_process(self) -> LocalProcess:
        """Return the components of this process that its process group reads and controls."""
        return LocalProcess(
            name=self.config.name,
            clients=self.clients,
            endpoints=self.pool,
            memory=self.budget,
            agreement=self.changes.agreement,
            feed=self.feed,
            is_ending=lambda: self.shutdown.is_stopping,
            is_draining=lambda: self.gateway.draining.by_operator,
            persists_usage=lambda: self.recovery.persisting,
            persist_usage=self._persist_usage,
            connection_limits=self._connection_limits,
            config_version=lambda: self.changes.versions.current.number,
            handover_message=self._handover_message,
            sent_ids=lambda: tuple(self.gateway.forwarder.sent_ids),
        )

    def _make_recovery(self, config: Config) -> Recovery:
        parts = RecoveryParts(
            gateway=self.gateway,
            discovery=self.discovery,
            clock=self.clock,
            feed=self.feed,
            update_endpoints=self.update_endpoints,
            endpoint_list=self.endpoint_list,
            persistence_changed=self.process_group.notify_gateway,
        )
        return Recovery(config, parts)

    def _connection_limits(self) -> ConnectionCounts:
        return ConnectionCounts(self.config.max_client_connections, self.config.max_endpoint_connections)

    def _persist_usage(self, usage: QuotaUsage) -> None:
        if self.checkpoint_writer is not None:
            self.checkpoint_writer.record_usage(usage)

    def endpoint_list(self) -> EndpointList:
        """Return the endpoints in use, with the addresses of the reachable ones."""
        endpoints = tuple(endpoint.info for endpoint in self.gateway.cluster.endpoints.by_id.values())
        return EndpointList(self.discovery.version or 0, True, endpoints, self.pool.addresses())

    def _handover_message(self) -> HandoverMessage:
        """Return the state for a successor process, without the part that the process group adds."""
        return HandoverMessage(
            endpoint_list=self.endpoint_list(),
            state=self.gateway.handover_state(self.clock()),
            documents=tuple(version.config.document for version in self.changes.versions.versions),
        )

    def _connect_actions(self, config: Config) -> None:
        """Connect the runner to the components that were created with its `feed`."""
        parts = PerformerParts(
            name=config.name,
            runner=self.runner,
            requests=self.requests,
            clients=self.clients,
            pool=self.pool,
            health_checker=self.health_checker,
            counter=self.counter,
            usage_sharer=self.process_group,
            usage_recorder=self.checkpoint_writer,
            clients_may_close=self.shutdown.clients_may_close,
        )
        self.runner.requests = self.requests
        self.requests.has_other_processes = lambda: self.gateway.process_state.group.other_processes > 0
        self.runner.perform = ActionPerformer(parts).perform

    def _make_admin_commands(self) -> AdminCommands:
        checkpoint_metrics = (self.checkpoint_writer.metrics,) if self.checkpoint_writer else ()
        targets = AdminTargets(
            changes=self.changes,
            group=self.process_group,
            metrics=self.metrics,
            metrics_sources=(
                self.gateway.health,
                self.gateway.customer_metrics,
                self.discovery.metrics,
                self.clients.metrics,
                self.pool.counts,
                self.budget.metrics,
                self._tls_metrics,
                *checkpoint_metrics,
            ),
            endpoints=self.pool,
            avoided_count=self.gateway.cluster.load_balancer.avoided_count,
            is_stopping=lambda: self.shutdown.is_stopping,
            clock=self.clock,
        )
        return AdminCommands(targets)

    @property
    def config(self) -> Config:
        """The active configuration."""
        return self.changes.config

    @property
    def settings(self) -> Settings:
        """The active settings of the decisions."""
        return self.changes.config.settings

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then drain the clients and close all components."""
        self._restore()
        self.clients.open()
        if self.admin_server is not None:
            await self.admin_server.open()
        await self.process_group.open(self.received_handover)
        if self.checkpoint_writer is not None:
            self.checkpoint_writer.start()
        if self.memory_meter is not None:
            self.memory_meter.start()
        discovery_task = self.loop.create_task(self.discovery.run())
        INGRESS_LOG.info("%s serves on %s:%d", self.config.name, *self.config.listen)
        await stop.wait()
        await self.shutdown.drain(self.settings)
        discovery_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await discovery_task
        await self._close()

    def _restore(self) -> None:
        """Restore the state from the checkpoint, the configuration and the handover of the predecessor process."""
        if self.received_handover is None:
            self.recovery.recover()
        initial_endpoints = self.config.initial_endpoints
        if self.discovery.active_version <= initial_endpoints.version:
            self.update_endpoints(EndpointListKind.RESTORED, initial_endpoints)
        if self.received_handover is not None:
            handover = self.received_handover.message
            self.update_endpoints(EndpointListKind.RESTORED, handover.endpoint_list)
            self.feed(handover.state)
            self.process_group.ledger.load(handover.usage_totals)
            self.changes.adopt(handover.documents)

    async def _close(self) -> None:
        if self.memory_meter is not None:
            self.memory_meter.close()
        self.pool.close()
        if self.checkpoint_writer is not None:
            membership = self.process_group.membership
            is_last = membership is None or not membership.others
            await self.checkpoint_writer.close(clean=is_last)
        if self.admin_server is not None:
            self.admin_server.close()
        self.process_group.close()
        self.changes.agreement.close()
        self.counter.close()

    def update_endpoints(self, kind: EndpointListKind, listing: EndpointList) -> None:
        """Apply a list of endpoints, or changes to the active list."""
        REQUESTS.info("list", extra={"fields": {"version": listing.version}})
        self.pool.update_endpoints(kind is not EndpointListKind.UPDATE, listing.endpoints, listing.addresses)
        self.feed(EndpointsChanged(kind, listing.endpoints, listing.version))

    def _tls_metrics(self) -> dict[str, int]:
        return tls_metrics(self.config, self.clock(), self.pool.connector.resumed_sessions)
