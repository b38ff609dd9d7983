"""One play of an experiment in simulated time, from its seed to its result."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ingress.decisions.events import DrainRequested, SettingsChanged
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Settings
from ingress.emulator import faults
from ingress.emulator.clients import ClientPopulation, mean_work
from ingress.emulator.experiment import Experiment, PlanKind
from ingress.emulator.gateways import DecisionModule, GatewayEnvironment, GatewayFactory, GatewayHost
from ingress.emulator.kernel import Kernel
from ingress.emulator.servers import ServerModel
from ingress.emulator.testbed import LOAD_BALANCER_REACTION_S, SAMPLE_INTERVAL_S, Testbed, gateway_settings

MAX_FIRST_LIST_DELAY_S = 0.4  # s from a start to the first answer of discovery
FINAL_RESPONSES_S = 1.0  # s of the day's end in which the last answers come, beside the longest deadline
MAX_SAMPLED_GATEWAYS = 20  # gateways whose view of the servers' states is read


def make_gateway(settings: Settings, seed: int) -> DecisionModule:
    """The decisions of one gateway, as a play uses them."""
    return Gateway(settings, seed)


def factory_builder(version: str, experiment: Experiment) -> Callable[[Testbed], GatewayFactory] | None:
    """How a version of the experiment makes its gateways, where it differs; for `World`."""
    if not any(one.name == version and one.sees for one in experiment.versions):
        return None
    from ingress.emulator.oracle import oracle_gateway_factory  # needs what older revisions of the module lack

    return lambda testbed: oracle_gateway_factory(testbed.servers, mean_work(experiment))


class Simulation(Testbed):
    """A fleet, its clients and its troubles."""

    kernel: Kernel

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        make: GatewayFactory = make_gateway,
        factory_builder: Callable[[Testbed], GatewayFactory] | None = None,
    ) -> None:
        """`factory_builder`: makes `make` of what the world holds."""
        kernel = Kernel()
        super().__init__(experiment, seed, kernel)
        make = make if factory_builder is None else factory_builder(self)
        surroundings = GatewayEnvironment(
            kernel, experiment.fleet, self.network, self.servers, self.rules, experiment.rules, self.recorder, make
        )
        self.gateways = [GatewayHost(surroundings, number) for number in range(experiment.fleet.gateways)]
        self.discovery.listeners.extend(self.gateways)
        self.clients = ClientPopulation(
            kernel,
            experiment,
            self.network,
            self.recorder,
            self.gateways,
            self.random["arrivals"],
            self.random["front"],
        )
        for gateway in self.gateways:
            gateway.load_balancer = self.clients
            gateway.on_collapse = self.collapse_server
            gateway.known_endpoints = dict(self.discovery.entries)
            self._start_process(gateway)
        for fault in experiment.faults:
            faults.schedule(fault, self)
        self.clients.start()
        kernel.at(SAMPLE_INTERVAL_S, self._sample)

    def run(self) -> dict[str, Any]:
        """The whole day, or as much of it as is played until `interrupt`; the result as plain data."""
        began = time.process_time()
        last = self.experiment.seconds + max(c.deadline_s for c in self.experiment.classes) + FINAL_RESPONSES_S
        self.kernel.run(last)
        return self.result(time.process_time() - began)

    def interrupt(self) -> None:
        """Ends the play after the event at hand; what was measured so far is the result."""
        self.kernel.stopped = True

    def reset_server(self, server: ServerModel) -> None:
        """Every gateway learns that connections to the endpoint are reset."""
        for gateway in self.gateways:
            if gateway.up:
                gateway.server_lost(server.id)

    def _start_process(self, gateway: GatewayHost) -> None:
        gateway.start(
            gateway_settings(self.experiment, gateway.number, self.plans), int(self.random["seeds"].uniform(0, 2**53))
        )

    def kill_gateway(self, number: int, drained: bool = False) -> None:
        """The process ends at once; what it holds gets no answer."""
        gateway = self.gateways[number]
        if not gateway.up:
            return
        for held in gateway.pending.values():
            if drained and not held.answered and not held.record.is_exempt:
                self.rules.report_violation(
                    "one answer", self.kernel.now, f"request {held.record.id} is unanswered at the end of a drain"
                )
        gateway.kill()
        self.recorder.count(self.kernel.now, "gateways ended" if drained else "gateways killed")
        if not drained:
            self.clients.gateway_down(number)

    def terminate_gateway(self, number: int) -> None:
        """The process is told to end; the load balancer turns away after a while."""
        gateway = self.gateways[number]
        if gateway.up:
            gateway.handle_event(DrainRequested(process_exits=True))
            self.kernel.after(LOAD_BALANCER_REACTION_S, self.clients.set_admitted, number, False)

    def start_gateway(self, number: int) -> None:
        """A new process starts in its place."""
        gateway = self.gateways[number]
        if gateway.up:
            return
        self._start_process(gateway)
        self.kernel.after(
            self.random["listing"].uniform(0, MAX_FIRST_LIST_DELAY_S), self.discovery.request_list, number, gateway
        )
        self.clients.gateway_up(number)

    def pause_gateway(self, number: int, paused: bool) -> None:
        """Stops the process, or lets it go on."""
        gateway = self.gateways[number]
        if gateway.up and paused is not gateway.paused:
            (gateway.pause if paused else gateway.resume)()

    def add_load_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """Clients ask more for a while."""
        self.clients.add_burst(start, end, factor, customers)

    def change_plans(self, plans: list[PlanKind]) -> None:
        """All gateways get other plans at once."""
        self.clients.change_plans({plan.name: plan for plan in plans}, self.resize_bucket)
        for gateway in self.gateways:
            if gateway.up:
                gateway.handle_event(SettingsChanged(gateway_settings(self.experiment, gateway.number, plans)))

    def _sample(self) -> None:
        """Once a second: the servers as they are, and as some gateways see them."""
        if self.kernel.now < self.experiment.seconds:
            self.kernel.after(SAMPLE_INTERVAL_S, self._sample)
        second = self.kernel.now - SAMPLE_INTERVAL_S / 2  # what was done belongs to the second that ends here
        self.sample_servers(second)
        live = [gateway for gateway in self.gateways if gateway.up]
        self.recorder.set_gauge(second, "gateways", len(live))
        some = live[:: max(1, len(live) // MAX_SAMPLED_GATEWAYS)]
        states: dict[str, float] = {}
        for gateway in some:
            for key, count in gateway.health_counts().items():
                states[key] = states.get(key, 0.0) + count / len(some)
        for key, value in states.items():
            self.recorder.set_gauge(second, key, value)
