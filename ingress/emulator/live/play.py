"""One run of an experiment on real sockets: real ingress processes and fake servers, under an open load."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import ssl
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, cast

import structlog
import uvloop
from msgspec.structs import replace

from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import EndpointsChanged
from ingress.emulator import faults
from ingress.emulator.clients import ClientPopulation
from ingress.emulator.experiment import Experiment, PlanKind
from ingress.emulator.gateways import PendingRequest
from ingress.emulator.live.agent import Agent
from ingress.emulator.live.clients import TLS_NAME, Caller, Checks
from ingress.emulator.live.counter import Counter
from ingress.emulator.live.ingress import NotReadyError, Process, call, wire_settings
from ingress.emulator.live.kernel import RealKernel
from ingress.emulator.live.loopback import loopback
from ingress.emulator.live.servers import StandIn, value_of
from ingress.emulator.servers import ServerModel
from ingress.emulator.testbed import LOAD_BALANCER_REACTION_S, SAMPLE_INTERVAL_S, Testbed, gateway_settings

# Real sockets add this to the slack of the rules themselves.
SLACK = 0.05
# When this process itself was later than this within the last second, late responses do not count as violations.
LATE = 0.02
TURNED_DOWN = "app.turned_down."
STATES = ("healthy", "suspect", "ejected", "trial")
SERVER_NAME = "server"  # the name in the certificate of the fake servers
END = 5.0
CLIENT_PORT = 6379
CONTROL_PORT = 7001


def read_figures(text: str) -> dict[str, float]:
    """Parse the response to `show-stat` into values by name; lines without a number are skipped."""
    found = {}
    for line in text.split("\n"):
        name, _, rest = line.partition(":")
        value = rest.partition("|")[0]
        with contextlib.suppress(ValueError):
            found[name] = float(value)
    return found


class Secure:
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


class LiveGateway(Caller):
    """One ingress: its process, its discovery agent, its client connections, and the endpoint states it was sent.

    Attributes:
        leaving: By server, the time at which the ingress was first notified that the server is leaving.
        starts: By server, the start time that the ingress was last sent.
        turned_down: The number of rejected requests by reason, as the ingress last reported it.
    """

    def __init__(
        self,
        kernel: RealKernel,
        number: int,
        process: Process,
        agent: Agent,
        checks: Checks,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(kernel, number, process.listen, checks, tls)
        self.process = process
        self.agent = agent
        self.paused = False
        self.leaving: dict[str, float] = {}
        self.starts: dict[str, float] = {}
        self.turned_down: dict[str, float] = {}

    def endpoints_changed(self, event: EndpointsChanged) -> None:
        """Publish a change of the endpoint list through the discovery agent."""
        self.agent.learn(event)


class LivePlay(Testbed, Checks):
    """A run with real processes; checks responses to clients and, as a `Ledger`, attempts at servers."""

    kernel: RealKernel

    def __init__(self, experiment: Experiment, seed: int, folder: Path) -> None:
        kernel = RealKernel()
        super().__init__(experiment, seed, kernel)
        self.folder = folder
        self.unix = time.time() - kernel.now
        folder.mkdir(parents=True, exist_ok=True)
        self.file = (folder / "emulator.log").open("w", encoding="utf-8")
        self.lines = structlog.wrap_logger(
            structlog.PrintLogger(self.file), processors=[structlog.processors.JSONRenderer()]
        )
        self.secure = Secure(folder / "pki") if experiment.fleet.tls else None
        self.stand_ins: dict[str, StandIn] = {}
        for server in list(self.servers.values()):
            self._stand_in(server)
        self.counter = Counter()
        self.asks: dict[str, PendingRequest] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.crashed: list[str] = []
        self.gateways: list[LiveGateway] = []
        self.clients: ClientPopulation
        self.ended_early = asyncio.Event()

    def _new_server(self) -> ServerModel:
        server = super()._new_server()
        if hasattr(self, "stand_ins"):  # the server is added during the run
            stand_in = self._stand_in(server)
            self._later(stand_in.open(self.secure.server if self.secure else None))
        return server

    def _stand_in(self, server: ServerModel) -> StandIn:
        found = self.stand_ins[server.id] = StandIn(server, self.kernel, self.network, self)
        return found

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._settled)

    def _settled(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.crashed.append(f"{type(error).__name__}: {error}")
            self.ended_early.set()

    # The run

    async def run(self) -> dict[str, Any]:
        """Run the experiment with real processes and return the result as plain data."""
        began = time.process_time()
        try:
            for stand_in in self.stand_ins.values():
                await stand_in.open(self.secure.server if self.secure else None)
            await self.counter.open()
            await asyncio.gather(*(self._gateway(number) for number in range(self.experiment.fleet.gateways)))
            self.clients = ClientPopulation(
                self.kernel,
                self.experiment,
                self.network,
                self.recorder,
                self.gateways,
                self.random["arrivals"],
                self.random["front"],
            )
            self.kernel.began = asyncio.get_running_loop().time()
            self.unix = time.time()
            for gateway in self.gateways:
                gateway.load_balancer = self.clients
                gateway.up = True
            for fault in self.experiment.faults:
                faults.schedule(fault, self)
            self.clients.start()
            self.kernel.at(SAMPLE_INTERVAL_S, self._look)
            last = self.experiment.seconds + max(c.deadline_s for c in self.experiment.classes) + SAMPLE_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(last):
                    await self.ended_early.wait()
            return await self._finish(time.process_time() - began)
        finally:
            await self._close()

    async def _gateway(self, number: int) -> None:
        agent = Agent(
            lambda name: self.stand_ins[name].address,
            self._unix_entry,
            lambda entries, full: self._told(number, entries, full),
        )
        await agent.open()
        agent.entries = dict(self.discovery.entries)
        host = loopback(number)
        process = Process(f"n{number}", (host, CLIENT_PORT), (host, CONTROL_PORT), self.folder)
        gateway = LiveGateway(self.kernel, number, process, agent, self, self.secure.client if self.secure else None)
        gateway.taken = self._taken
        self.gateways.append(gateway)
        self.gateways.sort(key=lambda one: one.number)
        self.discovery.listeners = list(self.gateways)
        self._write(gateway)
        await process.start()
        self._later(self._watch(gateway))

    def _write(self, gateway: LiveGateway) -> None:
        fleet = self.experiment.fleet
        settings = wire_settings(
            gateway_settings(self.experiment, gateway.number, self.plans), fleet.connect_timeout_ms / 1000, fleet.idle_s
        )
        more: dict[str, Any] = dict(self.secure.keys) if self.secure is not None else {}
        if fleet.checkpoint:
            more["checkpoint"] = {"folder": str((self.folder / "kept").absolute()), "every_s": 1.0}
        gateway.process.write(
            gateway.agent.address,
            self.counter.address,
            gateway.agent.known(),
            self.seed * 1000 + gateway.number,
            settings,
            **more,
        )

    def _unix_entry(self, entry: Endpoint) -> Endpoint:
        """Return the entry with its start in Unix time, as discovery reports it."""
        started = entry.started_at + self.unix if entry.started_at else 0.0
        return replace(entry, started_at=started)

    async def _watch(self, gateway: LiveGateway) -> None:
        """Wait for the process to exit; an exit that this run did not cause is reported as a crash."""
        child = gateway.process.child
        assert child is not None
        status = await child.wait()
        if not gateway.process.expected:
            self.rules.report_violation(
                "crash",
                self.kernel.now,
                f"{gateway.process.name} ended with status {status}: {gateway.process.last_words()}",
            )
            gateway.up = False

    async def _finish(self, cpu: float) -> dict[str, Any]:
        completed = not self.ended_early.is_set()
        figures: dict[str, list[str]] = {}
        spent = 0.0
        memory = 0
        for gateway in self.gateways:
            used, resident = gateway.process.used()
            spent = spent + used + gateway.process.cpu
            memory = max(memory, resident)
            with contextlib.suppress(OSError):
                figures[gateway.process.name] = (await call(gateway.process.control, "show-stat")).split("\n")
        for gateway in self.gateways:
            gateway.process.send(signal.SIGTERM)
        for gateway in self.gateways:
            status = await gateway.process.ended(END) if gateway.up else 0
            if status != 0:
                self.rules.report_violation(
                    "ends", self.kernel.now, f"{gateway.process.name}: status {status} after SIGTERM"
                )
        if self.counter.calls:
            self.rules.report_violation("no talk", self.kernel.now, f"{self.counter.calls} calls to the counter")
        if self.crashed:
            raise NotReadyError("; ".join(self.crashed))
        result = self.result(cpu)
        result["exact"]["whole"] = completed
        result["ingress"] = {
            "cpu_ms_a_try": round(1000 * spent / max(1, self.recorder.totals["tries"]), 4),
            "memory_mb": round(memory / (1 << 20), 1),
            "figures": figures,
        }
        result["late_ms"] = self.kernel.late.percentiles()
        return result

    async def _close(self) -> None:
        self.kernel.stop()
        for gateway in self.gateways:
            gateway.process.send(signal.SIGKILL)
            gateway.close()
            gateway.agent.close()
        for task in list(self.tasks):
            task.cancel()
        for stand_in in self.stand_ins.values():
            stand_in.close()
        self.counter.close()
        for gateway in self.gateways:
            await gateway.process.ended(END)
        self.file.close()

    def _look(self) -> None:
        if self.kernel.now < self.experiment.seconds:
            self.kernel.after(SAMPLE_INTERVAL_S, self._look)
        second = self.kernel.now - SAMPLE_INTERVAL_S / 2
        self.sample_servers(second)
        up = [gateway for gateway in self.gateways if gateway.up and not gateway.paused]
        self.recorder.set_gauge(second, "gateways", len(up))
        self._later(self._ask_figures(second, up))

    async def _ask_figures(self, second: float, up: list[LiveGateway]) -> None:
        """Record what the ingresses report: the number of servers by health (mean of all) and rejections by reason."""
        answers = await asyncio.gather(
            *(call(gateway.process.control, "show-stat") for gateway in up), return_exceptions=True
        )  # an ingress that is killed meanwhile does not answer
        found = [
            (gateway, read_figures(answer))
            for gateway, answer in zip(up, answers, strict=True)
            if isinstance(answer, str)
        ]
        for state in STATES:
            if found:
                self.recorder.set_gauge(
                    second,
                    f"health.{state}",
                    sum(figures.get(f"app.health.{state}", 0.0) for _, figures in found) / len(found),
                )
        for gateway, figures in found:
            for name, count in figures.items():
                if name.startswith(TURNED_DOWN):
                    more = count - gateway.turned_down.get(name, 0.0)
                    # A restarted process counts from zero.
                    self.recorder.count(second, name.removeprefix("app."), more if more >= 0 else count)
            gateway.turned_down = {name: count for name, count in figures.items() if name.startswith(TURNED_DOWN)}

    # Faults

    def reset_server(self, server: ServerModel) -> None:
        """Reset the connections of the fake server."""
        self.stand_ins[server.id].reset()

    def vanish_server(self, server: ServerModel) -> None:
        """Make the fake server unreachable: open connections stay open, and new ones are never established."""
        super().vanish_server(server)
        self.stand_ins[server.id].vanish()

    def kill_gateway(self, number: int, drained: bool = False) -> None:
        """Send SIGKILL to the process."""
        gateway = self.gateways[number]
        if not gateway.up and not (drained and gateway.process.running()):
            return
        gateway.up = False
        gateway.incarnation += 1
        gateway.process.send(signal.SIGKILL)
        self.recorder.count(self.kernel.now, "gateways ended" if drained else "gateways killed")
        if not drained:
            self.clients.gateway_down(number)

    def terminate_gateway(self, number: int) -> None:
        """Send SIGTERM; the load balancer stops choosing the gateway after its reaction time."""
        self.gateways[number].process.send(signal.SIGTERM)
        self.kernel.after(LOAD_BALANCER_REACTION_S, self.clients.set_admitted, number, False)

    def start_gateway(self, number: int) -> None:
        """Start the process again, once the previous one has exited."""
        self._later(self._start(self.gateways[number]))

    async def _start(self, gateway: LiveGateway) -> None:
        if gateway.up and gateway.process.running():
            return
        await gateway.process.ended(END)
        self._write(gateway)
        await gateway.process.start()
        gateway.incarnation += 1
        gateway.up = True
        self.clients.gateway_up(gateway.number)
        self._later(self._watch(gateway))

    def pause_gateway(self, number: int, paused: bool) -> None:
        """Send SIGSTOP or SIGCONT; requests in flight at that moment are exempt from the deadline rule."""
        gateway = self.gateways[number]
        for held in gateway.pending.values():
            held.record.is_exempt = True
        gateway.paused = paused
        gateway.process.send(signal.SIGSTOP if paused else signal.SIGCONT)

    def add_load_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """Raise the request rate of clients for a while."""
        self.clients.add_burst(start, end, factor, customers)

    def change_plans(self, plans: list[PlanKind]) -> None:
        """Write the new plans to the configuration files and send SIGHUP."""
        self.clients.change_plans({plan.name: plan for plan in plans}, self.resize_bucket)
        for gateway in self.gateways:
            if gateway.up:
                self._write(gateway)
                gateway.process.send(signal.SIGHUP)

    # Requests and responses at the clients

    def _taken(self, held: PendingRequest) -> None:
        self.asks[held.record.id] = held
        gateway = cast(LiveGateway, held.gateway)
        held.record.is_exempt = held.record.is_exempt or gateway.paused
        self.log("asks", held.record.id, f"n{gateway.number}")
        due = held.record.deadline + self.experiment.rules.answer_slack_s + SLACK + LATE
        self.kernel.at(due, self._due, held)

    def _due(self, held: PendingRequest) -> None:
        gateway = cast(LiveGateway, held.gateway)
        late = self.kernel.lag() > LATE
        if not held.answered and not held.is_disconnected and gateway.up and not late and not gateway.paused:
            self.rules.check_deadline(self.kernel.now, held.record)
        # An attempt may still be in transit to a server that is slow to read, so the request is forgotten later.
        self.kernel.after(held.record.kind.deadline_s, self._forget, held.record.id)

    def _forget(self, request: str) -> None:
        self.asks.pop(request, None)

    def _answered(self, held: PendingRequest, what: str) -> None:
        self.log(what, held.record.id, f"n{cast(LiveGateway, held.gateway).number}")
        if self.kernel.lag() > LATE:
            held.record.is_exempt = True
        self.rules.check_answer(self.kernel.now - SLACK, held.record, what)

    def served(self, held: PendingRequest, value: bytes) -> None:
        """Check that one of the endpoints of this request produced the value that arrived."""
        self._answered(held, "served")
        made = [value_of(held.record.id, sent.server) for sent in held.record.attempts]
        if value not in made:
            self.rules.report_violation(
                "made by a server", self.kernel.now, f"request {held.record.id} was served with {value!r:.80}"
            )

    def refused(self, held: PendingRequest) -> None:
        """Check that the request was rejected only where a retry is safe."""
        self.rules.check_rejection(self.kernel.now, held.record)
        self._answered(held, "refused")

    def failed(self, held: PendingRequest) -> None:
        """Check a failure that was reported to the client."""
        self._answered(held, "failed")

    def dropped(self, held: PendingRequest) -> None:
        """Report a connection that was closed without a response, which violates a rule."""
        self.rules.report_violation(
            "one answer", self.kernel.now, f"request {held.record.id}: its connection ended without an answer"
        )

    def odd(self, text: str) -> None:
        """Report a violation of the protocol."""
        self.rules.report_violation("protocol", self.kernel.now, text)

    # Endpoint lists at the ingresses, and attempts at the servers

    def _told(self, number: int, entries: list[Endpoint], full: bool) -> None:
        gateway = self.gateways[number]
        now = self.kernel.now
        for entry in entries:
            if entry.readiness is Readiness.READY:
                gateway.leaving.pop(entry.id, None)
            else:
                gateway.leaving.setdefault(entry.id, now)
            gateway.starts[entry.id] = entry.started_at
        if full:
            named = {entry.id for entry in entries}
            for name in gateway.starts.keys() - named:
                gateway.leaving.setdefault(name, now)

    def asked(self, request: str) -> PendingRequest | None:
        """Return the request with this ID if its client still waits for it."""
        return self.asks.get(request)

    def arrived(self, held: PendingRequest, server: ServerModel, _request: str) -> bool:
        """Check the rules on attempts for one that reached a fake server; report whether the server handles it."""
        now = self.kernel.now
        record = held.record
        gateway = cast(LiveGateway, held.gateway)
        first = not record.attempts
        self.rules.check_attempt(now, record, server.id, server.zone, server.cell)
        self.rules.check_draining(now - SLACK, gateway.number, server.id, gateway.leaving.get(server.id))
        self.recorder.count(now, "attempts")
        if first:
            self.rules.charge_ceiling(now, record)
            self.clients.attempt_arrived(held)
        informed = gateway.starts.get(server.id, 0.0) >= server.started_at
        if self.rules.add_work(now, server.id, held.work, informed, server.capacity(), server.is_warming_up()):
            self.recorder.count(now, "servers that fell over")
            self.collapse_server(server)
            return False
        return True

    def ended(self, held: PendingRequest, place: int, outcome: Outcome) -> None:
        """Record the end of an attempt at its fake server."""
        self.rules.end_attempt(held.record, place, outcome)
        self.recorder.count(self.kernel.now, f"outcome.{outcome.value}")

    def log(self, event: str, request: str, server: str) -> None:
        """Write a log line that `ingressctl report --follow` finds."""
        self.lines.info(event, id=request, where=server, time=round(self.unix + self.kernel.now, 6))


def play_live(experiment: Experiment, seed: int, folder: Path) -> dict[str, Any]:
    """Run the experiment; SIGINT or SIGTERM ends it early, and the result holds what was measured until then."""

    async def run() -> dict[str, Any]:
        play = LivePlay(experiment, seed, folder)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, play.ended_early.set)
        return await play.run()

    return uvloop.run(run())
