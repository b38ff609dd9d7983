"""One run of an experiment on real sockets: real ingress processes and fake servers, under an open load."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import ssl
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple, cast

import structlog
import uvloop
from msgspec.structs import replace

from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import EndpointsChanged
from ingress.emulator import faults
from ingress.emulator.clients import ClientPopulation
from ingress.emulator.experiment import Experiment, PlanKind
from ingress.emulator.live.agent import FakeDiscoveryAgent
from ingress.emulator.live.clients import TLS_NAME, ClientConnections, ResponseObserver
from ingress.emulator.live.counter import FakeCounter
from ingress.emulator.live.ingress import IngressProcess, NotReadyError, call_admin, config_settings
from ingress.emulator.live.kernel import RealKernel
from ingress.emulator.live.loopback import loopback_address
from ingress.emulator.live.servers import FakeServer, response_value
from ingress.emulator.requests import PendingRequest
from ingress.emulator.servers import ServerModel
from ingress.emulator.testbed import LOAD_BALANCER_REACTION_S, SAMPLE_INTERVAL_S, Testbed, gateway_settings

# Real sockets add this to the slack of the rules themselves.
SOCKET_SLACK_S = 0.05
# When this process itself was later than this within the last second, late responses do not count as violations.
MAX_LAG_S = 0.02
REJECTIONS_PREFIX = "app.turned_down."
HEALTH_STATES = ("healthy", "suspect", "ejected", "trial")
SERVER_NAME = "server"  # the name in the certificate of the fake servers
EXIT_TIMEOUT_S = 5.0
CLIENT_PORT = 6379
CONTROL_PORT = 7001


def parse_stats(text: str) -> dict[str, float]:
    """Parse the response to `show-stat` into values by name; lines without a number are skipped."""
    stats = {}
    for line in text.split("\n"):
        name, _, rest = line.partition(":")
        value = rest.partition("|")[0]
        with contextlib.suppress(ValueError):
            stats[name] = float(value)
    return stats


class TlsCredentials:
    """The TLS keys and contexts for clients, ingresses and servers, generated for one run."""

    def __init__(self, folder: Path) -> None:
        from ingress.emulator.live.authority import Authority

        authority = Authority(folder)
        listener = authority.sign(TLS_NAME)
        backend = authority.sign(SERVER_NAME)
        self.keys = {"tls": listener.spec(), "server-tls": {"ca": str(authority.path.absolute()), "name": SERVER_NAME}}
        self.client = ssl.create_default_context(cafile=str(authority.path))
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.server.load_cert_chain(backend.certificate, backend.key)


class LiveGateway(ClientConnections):
    """One ingress: its process, its discovery agent, its client connections, and the endpoint states it was sent.

    Attributes:
        leaving_since: By server, the time at which the ingress was first notified that the server is leaving.
        server_starts: By server, the start time that the ingress was last sent.
        rejections: The number of rejected requests by reason, as the ingress last reported it.
    """

    def __init__(
        self,
        kernel: RealKernel,
        number: int,
        process: IngressProcess,
        agent: FakeDiscoveryAgent,
        observer: ResponseObserver,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(kernel, number, process.listen, observer, tls)
        self.process = process
        self.agent = agent
        self.paused = False
        self.leaving_since: dict[str, float] = {}
        self.server_starts: dict[str, float] = {}
        self.rejections: dict[str, float] = {}

    def endpoints_changed(self, event: EndpointsChanged) -> None:
        """Publish a change of the endpoint list through the discovery agent."""
        self.agent.apply(event)


class IngressUsage(NamedTuple):
    """The resource usage and stats of all ingresses of a run.

    Attributes:
        cpu_s: The CPU time of all processes.
        memory_bytes: The resident memory of the largest process.
        stats: The lines of `show-stat` by name of the ingress.
    """

    cpu_s: float
    memory_bytes: int
    stats: dict[str, list[str]]


class LiveRun(Testbed, ResponseObserver):
    """A run with real processes; checks responses to clients and, as an `AttemptObserver`, attempts at servers."""

    kernel: RealKernel

    def __init__(self, experiment: Experiment, seed: int, folder: Path) -> None:
        kernel = RealKernel()
        super().__init__(experiment, seed, kernel)
        self.folder = folder
        self.run_start_unix_s = time.time() - kernel.now
        folder.mkdir(parents=True, exist_ok=True)
        self.log_file = (folder / "emulator.log").open("w", encoding="utf-8")
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(self.log_file), processors=[structlog.processors.JSONRenderer()]
        )
        self.tls = TlsCredentials(folder / "pki") if experiment.fleet.tls else None
        self.fake_servers: dict[str, FakeServer] = {}
        for server in list(self.servers.values()):
            self._add_fake_server(server)
        self.counter = FakeCounter()
        self.requests: dict[str, PendingRequest] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.task_errors: list[str] = []
        self.gateways: list[LiveGateway] = []
        self.clients: ClientPopulation
        self.ended_early = asyncio.Event()

    def _new_server(self) -> ServerModel:
        server = super()._new_server()
        if hasattr(self, "fake_servers"):  # the server is added during the run
            fake_server = self._add_fake_server(server)
            self._spawn(fake_server.open(self.tls.server if self.tls else None))
        return server

    def _add_fake_server(self, server: ServerModel) -> FakeServer:
        fake_server = FakeServer(server, self.kernel, self.network, self)
        self.fake_servers[server.id] = fake_server
        return fake_server

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.task_errors.append(f"{type(error).__name__}: {error}")
            self.ended_early.set()

    # The run

    async def run(self) -> dict[str, Any]:
        """Run the experiment with real processes and return the result as plain data."""
        cpu_start_s = time.process_time()
        try:
            for fake_server in self.fake_servers.values():
                await fake_server.open(self.tls.server if self.tls else None)
            await self.counter.open()
            await asyncio.gather(*(self._add_gateway(number) for number in range(self.experiment.fleet.gateways)))
            self.clients = self._create_clients()
            self.kernel.started_at = asyncio.get_running_loop().time()
            self.run_start_unix_s = time.time()
            for gateway in self.gateways:
                gateway.load_balancer = self.clients
                gateway.up = True
            for fault in self.experiment.faults:
                faults.schedule(fault, self)
            self.clients.start()
            self.kernel.at(SAMPLE_INTERVAL_S, self._sample)
            duration_s = (
                self.experiment.seconds + max(c.deadline_s for c in self.experiment.classes) + SAMPLE_INTERVAL_S
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(duration_s):
                    await self.ended_early.wait()
            return await self._finish(time.process_time() - cpu_start_s)
        finally:
            await self._close()

    def _create_clients(self) -> ClientPopulation:
        return ClientPopulation(
            self.kernel,
            self.experiment,
            self.network,
            self.recorder,
            self.gateways,
            self.random["arrivals"],
            self.random["front"],
        )

    async def _add_gateway(self, number: int) -> None:
        agent = FakeDiscoveryAgent(
            lambda name: self.fake_servers[name].address,
            self._with_unix_start,
            lambda entries, full: self._endpoints_sent(number, entries, full),
        )
        await agent.open()
        agent.entries = dict(self.discovery.entries)
        host = loopback_address(number)
        process = IngressProcess(f"n{number}", (host, CLIENT_PORT), (host, CONTROL_PORT), self.folder)
        gateway = LiveGateway(self.kernel, number, process, agent, self, self.tls.client if self.tls else None)
        gateway.on_request_sent = self._request_sent
        self.gateways.append(gateway)
        self.gateways.sort(key=lambda gateway: gateway.number)
        self.discovery.listeners = list(self.gateways)
        self._write_config(gateway)
        await process.start()
        self._spawn(self._watch(gateway))

    def _write_config(self, gateway: LiveGateway) -> None:
        fleet = self.experiment.fleet
        settings = config_settings(
            gateway_settings(self.experiment, gateway.number, self.plans), fleet.connect_timeout_ms / 1000, fleet.idle_s
        )
        extra_keys: dict[str, Any] = dict(self.tls.keys) if self.tls is not None else {}
        if fleet.checkpoint:
            extra_keys["checkpoint"] = {"folder": str((self.folder / "kept").absolute()), "every_s": 1.0}
        gateway.process.write_config(
            gateway.agent.address,
            self.counter.address,
            gateway.agent.endpoint_list(),
            self.seed * 1000 + gateway.number,
            settings,
            **extra_keys,
        )

    def _with_unix_start(self, entry: Endpoint) -> Endpoint:
        """Return the entry with its start in Unix time, as discovery reports it."""
        started = entry.started_at + self.run_start_unix_s if entry.started_at else 0.0
        return replace(entry, started_at=started)

    async def _watch(self, gateway: LiveGateway) -> None:
        """Wait for the process to exit; an exit that this run did not cause is reported as a crash."""
        child = gateway.process.child
        assert child is not None
        status = await child.wait()
        if not gateway.process.exit_expected:
            self.rules.report_violation(
                "crash",
                self.kernel.now,
                f"{gateway.process.name} exited unexpectedly with status {status}: {gateway.process.log_tail()}",
            )
            gateway.up = False

    async def _finish(self, own_cpu_s: float) -> dict[str, Any]:
        completed = not self.ended_early.is_set()
        usage = await self._ingress_usage()
        await self._stop_gateways()
        if self.counter.calls:
            self.rules.report_violation(
                "no talk", self.kernel.now, f"the counter received {self.counter.calls} calls; expected none"
            )
        if self.task_errors:
            raise NotReadyError("; ".join(self.task_errors))
        result = self.result(own_cpu_s)
        result["exact"]["whole"] = completed
        result["ingress"] = {
            "cpu_ms_a_try": round(1000 * usage.cpu_s / max(1, self.recorder.totals["tries"]), 4),
            "memory_mb": round(usage.memory_bytes / (1 << 20), 1),
            "figures": usage.stats,
        }
        result["late_ms"] = self.kernel.delays.percentiles()
        return result

    async def _ingress_usage(self) -> IngressUsage:
        """Return the resource usage and stats of the ingresses, which still run."""
        stats: dict[str, list[str]] = {}
        cpu_s = 0.0
        memory_bytes = 0
        for gateway in self.gateways:
            process_cpu_s, resident_bytes = gateway.process.resource_usage()
            cpu_s = cpu_s + process_cpu_s + gateway.process.killed_cpu_s
            memory_bytes = max(memory_bytes, resident_bytes)
            with contextlib.suppress(OSError):
                stats[gateway.process.name] = (await call_admin(gateway.process.control, "show-stat")).split("\n")
        return IngressUsage(cpu_s, memory_bytes, stats)

    async def _stop_gateways(self) -> None:
        """Send SIGTERM to all ingresses and check that each exits with status 0."""
        for gateway in self.gateways:
            gateway.process.send_signal(signal.SIGTERM)
        for gateway in self.gateways:
            status = await gateway.process.wait_exit(EXIT_TIMEOUT_S) if gateway.up else 0
            if status != 0:
                self.rules.report_violation(
                    "ends", self.kernel.now, f"{gateway.process.name}: exit status {status} after SIGTERM; expected 0"
                )

    async def _close(self) -> None:
        self.kernel.stop()
        for gateway in self.gateways:
            gateway.process.send_signal(signal.SIGKILL)
            gateway.close()
            gateway.agent.close()
        for task in list(self.tasks):
            task.cancel()
        for fake_server in self.fake_servers.values():
            fake_server.close()
        self.counter.close()
        for gateway in self.gateways:
            await gateway.process.wait_exit(EXIT_TIMEOUT_S)
        self.log_file.close()

    def _sample(self) -> None:
        if self.kernel.now < self.experiment.seconds:
            self.kernel.after(SAMPLE_INTERVAL_S, self._sample)
        time_s = self.kernel.now - SAMPLE_INTERVAL_S / 2
        self.sample_servers(time_s)
        up = [gateway for gateway in self.gateways if gateway.up and not gateway.paused]
        self.recorder.set_gauge(time_s, "gateways", len(up))
        self._spawn(self._sample_gateways(time_s, up))

    async def _sample_gateways(self, time_s: float, up: list[LiveGateway]) -> None:
        """Record what the ingresses report: the number of servers by health (mean of all) and rejections by reason."""
        answers = await asyncio.gather(
            *(call_admin(gateway.process.control, "show-stat") for gateway in up), return_exceptions=True
        )  # an ingress that is killed meanwhile does not answer
        stats_by_gateway = [
            (gateway, parse_stats(answer))
            for gateway, answer in zip(up, answers, strict=True)
            if isinstance(answer, str)
        ]
        for state in HEALTH_STATES:
            if stats_by_gateway:
                self.recorder.set_gauge(
                    time_s,
                    f"health.{state}",
                    sum(stats.get(f"app.health.{state}", 0.0) for _, stats in stats_by_gateway) / len(stats_by_gateway),
                )
        for gateway, stats in stats_by_gateway:
            for name, count in stats.items():
                if name.startswith(REJECTIONS_PREFIX):
                    increase = count - gateway.rejections.get(name, 0.0)
                    # A restarted process counts from zero.
                    self.recorder.count(time_s, name.removeprefix("app."), increase if increase >= 0 else count)
            gateway.rejections = {name: count for name, count in stats.items() if name.startswith(REJECTIONS_PREFIX)}

    # Faults

    def reset_server(self, server: ServerModel) -> None:
        """Reset the connections of the fake server."""
        self.fake_servers[server.id].reset()

    def vanish_server(self, server: ServerModel) -> None:
        """Make the fake server unreachable: open connections stay open, and new ones are never established."""
        super().vanish_server(server)
        self.fake_servers[server.id].drop_packets()

    def kill_gateway(self, number: int, drained: bool = False) -> None:
        """Send SIGKILL to the process."""
        gateway = self.gateways[number]
        if not gateway.up and not (drained and gateway.process.is_running()):
            return
        gateway.up = False
        gateway.incarnation += 1
        gateway.process.send_signal(signal.SIGKILL)
        self.recorder.count(self.kernel.now, "gateways ended" if drained else "gateways killed")
        if not drained:
            self.clients.gateway_down(number)

    def terminate_gateway(self, number: int) -> None:
        """Send SIGTERM; the load balancer stops choosing the gateway after its reaction time."""
        self.gateways[number].process.send_signal(signal.SIGTERM)
        self.kernel.after(LOAD_BALANCER_REACTION_S, self.clients.set_admitted, number, False)

    def start_gateway(self, number: int) -> None:
        """Start the process again, once the previous one has exited."""
        self._spawn(self._start(self.gateways[number]))

    async def _start(self, gateway: LiveGateway) -> None:
        if gateway.up and gateway.process.is_running():
            return
        await gateway.process.wait_exit(EXIT_TIMEOUT_S)
        self._write_config(gateway)
        await gateway.process.start()
        gateway.incarnation += 1
        gateway.up = True
        self.clients.gateway_up(gateway.number)
        self._spawn(self._watch(gateway))

    def pause_gateway(self, number: int, paused: bool) -> None:
        """Send SIGSTOP or SIGCONT; requests in flight at that moment are exempt from the deadline rule."""
        gateway = self.gateways[number]
        for pending_request in gateway.pending.values():
            pending_request.record.is_exempt = True
        gateway.paused = paused
        gateway.process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)

    def add_load_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """Raise the request rate of clients for a while."""
        self.clients.add_burst(start, end, factor, customers)

    def change_plans(self, plans: list[PlanKind]) -> None:
        """Write the new plans to the configuration files and send SIGHUP."""
        self.clients.change_plans({plan.name: plan for plan in plans}, self.resize_bucket)
        for gateway in self.gateways:
            if gateway.up:
                self._write_config(gateway)
                gateway.process.send_signal(signal.SIGHUP)

    # Requests and responses at the clients

    def _request_sent(self, pending_request: PendingRequest) -> None:
        self.requests[pending_request.record.id] = pending_request
        gateway = cast(LiveGateway, pending_request.gateway)
        pending_request.record.is_exempt = pending_request.record.is_exempt or gateway.paused
        self.log("asks", pending_request.record.id, f"n{gateway.number}")
        due = pending_request.record.deadline + self.experiment.rules.answer_slack_s + SOCKET_SLACK_S + MAX_LAG_S
        self.kernel.at(due, self._deadline_passed, pending_request)

    def _deadline_passed(self, pending_request: PendingRequest) -> None:
        gateway = cast(LiveGateway, pending_request.gateway)
        late = self.kernel.lag() > MAX_LAG_S
        if (
            not pending_request.answered
            and not pending_request.is_disconnected
            and gateway.up
            and not late
            and not gateway.paused
        ):
            self.rules.check_deadline(self.kernel.now, pending_request.record)
        # An attempt may still be in transit to a server that is slow to read, so the request is forgotten later.
        self.kernel.after(pending_request.record.kind.deadline_s, self._forget, pending_request.record.id)

    def _forget(self, request: str) -> None:
        self.requests.pop(request, None)

    def _check_response(self, pending_request: PendingRequest, event: str) -> None:
        self.log(event, pending_request.record.id, f"n{cast(LiveGateway, pending_request.gateway).number}")
        if self.kernel.lag() > MAX_LAG_S:
            pending_request.record.is_exempt = True
        self.rules.check_answer(self.kernel.now - SOCKET_SLACK_S, pending_request.record, event)

    def served(self, pending_request: PendingRequest, value: bytes) -> None:
        """Check that one of the endpoints of this request produced the value that arrived."""
        self._check_response(pending_request, "served")
        expected_values = [
            response_value(pending_request.record.id, sent.server) for sent in pending_request.record.attempts
        ]
        if value not in expected_values:
            self.rules.report_violation(
                "made by a server",
                self.kernel.now,
                f"request {pending_request.record.id} was served with {value!r:.80}, which no server sent for it",
            )

    def rejected(self, pending_request: PendingRequest) -> None:
        """Check that the request was rejected only where a retry is safe."""
        self.rules.check_rejection(self.kernel.now, pending_request.record)
        self._check_response(pending_request, "refused")

    def failed(self, pending_request: PendingRequest) -> None:
        """Check a failure that was reported to the client."""
        self._check_response(pending_request, "failed")

    def dropped(self, pending_request: PendingRequest) -> None:
        """Report a connection that was closed without a response, which violates a rule."""
        self.rules.report_violation(
            "one answer",
            self.kernel.now,
            f"request {pending_request.record.id}: its connection was closed without a response",
        )

    def protocol_violation(self, text: str) -> None:
        """Report a violation of the protocol."""
        self.rules.report_violation("protocol", self.kernel.now, text)

    # Endpoint lists at the ingresses, and attempts at the servers

    def _endpoints_sent(self, number: int, entries: list[Endpoint], full: bool) -> None:
        gateway = self.gateways[number]
        now = self.kernel.now
        for entry in entries:
            if entry.readiness is Readiness.READY:
                gateway.leaving_since.pop(entry.id, None)
            else:
                gateway.leaving_since.setdefault(entry.id, now)
            gateway.server_starts[entry.id] = entry.started_at
        if full:
            named = {entry.id for entry in entries}
            for name in gateway.server_starts.keys() - named:
                gateway.leaving_since.setdefault(name, now)

    def find_request(self, request: str) -> PendingRequest | None:
        """Return the request with this ID if its client still waits for it."""
        return self.requests.get(request)

    def attempt_arrived(self, pending_request: PendingRequest, server: ServerModel, _request: str) -> bool:
        """Check the rules on attempts for one that reached a fake server; report whether the server handles it."""
        now = self.kernel.now
        record = pending_request.record
        gateway = cast(LiveGateway, pending_request.gateway)
        first = not record.attempts
        self.rules.check_attempt(now, record, server.id, server.zone, server.cell)
        self.rules.check_draining(now - SOCKET_SLACK_S, gateway.number, server.id, gateway.leaving_since.get(server.id))
        self.recorder.count(now, "attempts")
        if first:
            self.rules.charge_ceiling(now, record)
            self.clients.attempt_arrived(pending_request)
        informed = gateway.server_starts.get(server.id, 0.0) >= server.started_at
        if self.rules.add_work(
            now, server.id, pending_request.work, informed, server.capacity(), server.is_warming_up()
        ):
            self.recorder.count(now, "servers that fell over")
            self.collapse_server(server)
            return False
        return True

    def attempt_ended(self, pending_request: PendingRequest, attempt_index: int, outcome: Outcome) -> None:
        """Record the end of an attempt at its fake server."""
        self.rules.end_attempt(pending_request.record, attempt_index, outcome)
        self.recorder.count(self.kernel.now, f"outcome.{outcome.value}")

    def log(self, event: str, request: str, server: str) -> None:
        """Write a log line that `ingressctl report --follow` finds."""
        self.logger.info(event, id=request, where=server, time=round(self.run_start_unix_s + self.kernel.now, 6))


def run_live(experiment: Experiment, seed: int, folder: Path) -> dict[str, Any]:
    """Run the experiment; SIGINT or SIGTERM ends it early, and the result holds what was measured until then."""

    async def run() -> dict[str, Any]:
        live_run = LiveRun(experiment, seed, folder)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, live_run.ended_early.set)
        return await live_run.run()

    return uvloop.run(run())
