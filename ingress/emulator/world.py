"""A run of an experiment in simulated time."""

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

MAX_FIRST_LIST_DELAY_S = 0.4  # A restarted gateway requests its first endpoint list within this time.
EXTRA_RUN_TIME_S = 1.0  # Simulated after the last deadline, for the last responses.
SAMPLED_GATEWAYS = 20  # The approximate number of gateways whose view of the servers' health is sampled.
SEED_LIMIT = 2**53  # Seeds are below this; a float represents all of these integers exactly.


def make_gateway(settings: Settings, seed: int) -> DecisionModule:
    """Create the decision module of a gateway."""
    return Gateway(settings, seed)


def make_gateway_factory_builder(version: str, experiment: Experiment) -> Callable[[Testbed], GatewayFactory] | None:
    """Return a function that builds the gateway factory from the testbed if the version has `sees` set, otherwise None.

    The gateways of such a version estimate congestion by the true state of the servers, which the testbed contains.
    """
    if not any(candidate.name == version and candidate.sees for candidate in experiment.versions):
        return None
    from ingress.emulator.oracle import oracle_gateway_factory  # Older revisions of the package lack what it needs.

    return lambda testbed: oracle_gateway_factory(testbed.servers, mean_work(experiment))


class Simulation(Testbed):
    """A fleet of gateways and servers in simulated time, with its clients and faults.

    Attributes:
        gateways: The gateways, by number.
        clients: The clients.
    """

    kernel: Kernel

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        gateway_factory: GatewayFactory = make_gateway,
        factory_builder: Callable[[Testbed], GatewayFactory] | None = None,
    ) -> None:
        """Create the fleet, and schedule its load and faults.

        Args:
            experiment: The experiment.
            seed: The seed of the run.
            gateway_factory: Creates the decision module of a gateway.
            factory_builder: Builds a gateway factory from the testbed, in place of `gateway_factory`.
        """
        kernel = Kernel()
        super().__init__(experiment, seed, kernel)
        if factory_builder is not None:
            gateway_factory = factory_builder(self)
        environment = GatewayEnvironment(
            kernel,
            experiment.fleet,
            self.network,
            self.servers,
            self.rules,
            experiment.rules,
            self.recorder,
            gateway_factory,
        )
        self.gateways = [GatewayHost(environment, number) for number in range(experiment.fleet.gateways)]
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
        """Run to the end or until `interrupt`, and return the result as plain data."""
        started_at = time.process_time()
        longest_deadline = max(kind.deadline_s for kind in self.experiment.classes)
        self.kernel.run(self.experiment.seconds + longest_deadline + EXTRA_RUN_TIME_S)
        return self.result(time.process_time() - started_at)

    def interrupt(self) -> None:
        """End the run after the current event; its result has the measurements so far."""
        self.kernel.stopped = True

    def reset_server(self, server: ServerModel) -> None:
        """Reset the connections of all gateways to the server."""
        for gateway in self.gateways:
            if gateway.up:
                gateway.server_lost(server.id)

    def _start_process(self, gateway: GatewayHost) -> None:
        gateway.start(
            gateway_settings(self.experiment, gateway.number, self.plans),
            int(self.random["seeds"].uniform(0, SEED_LIMIT)),
        )

    def kill_gateway(self, number: int, drained: bool = False) -> None:
        """End the process of a gateway at once; its pending requests get no answer.

        Args:
            number: The number of the gateway.
            drained: Whether the gateway was drained. If so, each of its unanswered requests that is not exempt is a
                violation, and the load balancer, which withdraws a gateway that drains, is not notified again.
        """
        gateway = self.gateways[number]
        if not gateway.up:
            return
        for request in gateway.pending.values():
            if drained and not request.answered and not request.record.is_exempt:
                self.rules.report_violation(
                    "one answer", self.kernel.now, f"request {request.record.id} is unanswered at the end of a drain"
                )
        gateway.kill()
        self.recorder.count(self.kernel.now, "gateways ended" if drained else "gateways killed")
        if not drained:
            self.clients.gateway_down(number)

    def terminate_gateway(self, number: int) -> None:
        """Drain the gateway; the load balancer withdraws it after a delay."""
        gateway = self.gateways[number]
        if gateway.up:
            gateway.handle_event(DrainRequested(process_exits=True))
            self.kernel.after(LOAD_BALANCER_REACTION_S, self.clients.set_admitted, number, False)

    def start_gateway(self, number: int) -> None:
        """Start a new process for a gateway whose process has ended."""
        gateway = self.gateways[number]
        if gateway.up:
            return
        self._start_process(gateway)
        self.kernel.after(
            self.random["listing"].uniform(0, MAX_FIRST_LIST_DELAY_S),
            self.discovery.deliver_complete_list,
            number,
            gateway,
        )
        self.clients.gateway_up(number)

    def pause_gateway(self, number: int, paused: bool) -> None:
        """Suspend the process of a gateway as SIGSTOP does, or resume it as SIGCONT does."""
        gateway = self.gateways[number]
        if gateway.up and paused is not gateway.paused:
            if paused:
                gateway.pause()
            else:
                gateway.resume()

    def add_load_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """Multiply the request rate of all customers, or of the first ones, from `start` to `end` (s)."""
        self.clients.add_burst(start, end, factor, customers)

    def change_plans(self, plans: list[PlanKind]) -> None:
        """Change the plans of all clients and running gateways at once."""
        self.clients.change_plans({plan.name: plan for plan in plans}, self.resize_bucket)
        for gateway in self.gateways:
            if gateway.up:
                gateway.handle_event(SettingsChanged(gateway_settings(self.experiment, gateway.number, plans)))

    def _sample(self) -> None:
        """Record once per interval the state of the servers, and their health as some gateways see it."""
        if self.kernel.now < self.experiment.seconds:
            self.kernel.after(SAMPLE_INTERVAL_S, self._sample)
        second = self.kernel.now - SAMPLE_INTERVAL_S / 2  # The sample belongs to the interval that ends now.
        self.sample_servers(second)
        running = [gateway for gateway in self.gateways if gateway.up]
        self.recorder.set_gauge(second, "gateways", len(running))
        sampled = running[:: max(1, len(running) // SAMPLED_GATEWAYS)]
        states: dict[str, float] = {}
        for gateway in sampled:
            for key, count in gateway.health_counts().items():
                states[key] = states.get(key, 0.0) + count / len(sampled)
        for key, value in states.items():
            self.recorder.set_gauge(second, key, value)
