"""The common parts of runs in simulated time and on real sockets: servers, discovery, rules and results."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import asdict, dataclass
from typing import Any

from ingress.decisions.endpoint import Endpoint, Readiness
from ingress.decisions.settings import Idempotency, KeyScope, Plan, RequestClass, Settings
from ingress.emulator.experiment import Experiment, PlanKind
from ingress.emulator.kernel import Clock, random_streams
from ingress.emulator.listing import DiscoveryModel
from ingress.emulator.measure import Recorder, encode_histogram
from ingress.emulator.network import NetworkModel
from ingress.emulator.rules import RuleChecker, TokenBucket
from ingress.emulator.servers import ServerModel

# Append new names at the end, as each stream depends on the position of its name.
RANDOM_STREAM_NAMES = ("arrivals", "front", "servers", "network", "listing", "faults", "seeds")
LOAD_BALANCER_REACTION_S = 0.1  # From SIGTERM until the load balancer has read that the gateway is not ready.
SAMPLE_INTERVAL_S = 1.0  # Between samples of the states of servers and gateways.
TIMER_RESOLUTION_S = 0.002
DISCOVERY_POLL_DEADLINE_S = 10.0
HEALTH_CHECK_COST = 0.01
RESULT_DECIMALS = 6


def zone_name(number: int) -> str:
    """Return the name of a zone in the endpoint list."""
    return f"z{number}"


def gateway_settings(experiment: Experiment, number: int, plans: list[PlanKind]) -> Settings:
    """Return the settings with which a gateway of the experiment starts."""
    fleet = experiment.fleet
    rules = experiment.rules
    return Settings(
        classes=tuple(
            RequestClass(
                kind.name,
                kind.aim_s,
                kind.deadline_s,
                kind.worth,
                kind.late_worth,
                Idempotency(kind.semantics),
                KeyScope(kind.scope),
                kind.window_s,
            )
            for kind in experiment.classes
        ),
        plans=tuple(
            Plan(
                plan.name,
                plan.rate,
                plan.burst,
                plan.at_once,
                plan.price,
                0.0,
                plan.over_cost,
                plan.ceiling_rate,
                plan.ceiling_burst,
                plan.ceiling_slack,
            )
            for plan in plans
        ),
        gateway_index=number,
        gateway_count=fleet.gateways,
        zone=zone_name(number % fleet.zones),
        timer_resolution=TIMER_RESOLUTION_S,
        answer_slack=rules.answer_slack_s,
        drain_grace=rules.drain_grace_s,
        slow_start_duration=fleet.cold_s,
        slow_start_initial_capacity=fleet.cold_share,
        overload_factor=rules.fall_factor,
        overload_window=rules.fall_s,
        discovery_poll_deadline=DISCOVERY_POLL_DEADLINE_S,
        max_attempts=fleet.max_attempts,
        hedging_allowed=fleet.second_copies,
        cancellation_allowed=True,
        health_checks_allowed=fleet.probes,
        health_check_cost=HEALTH_CHECK_COST,
    )


@dataclass(slots=True)
class ServerTotals:
    """Sums over the running servers in a sample.

    Attributes:
        completed_work: The work that they completed in the interval (s).
        possible_work: The work that they can do in an interval (s).
        queued: The requests in their queues.
        count: The number of servers.
    """

    completed_work: float = 0.0
    possible_work: float = 0.0
    queued: float = 0.0
    count: float = 0.0


class Testbed(ABC):
    """The parts of a run, and the operations of which faults consist.

    Attributes:
        experiment: The experiment.
        seed: The seed of the run.
        kernel: The clock.
        random: The random streams, by name.
        recorder: The counters and latencies of the run.
        network: The network.
        servers: The servers, by ID.
        discovery: The endpoint list.
        rules: The checker of the gateways' behaviour.
        plans: The current plans.
    """

    def __init__(self, experiment: Experiment, seed: int, kernel: Clock) -> None:
        self.experiment = experiment
        self.seed = seed
        self.kernel = kernel
        self.random = random_streams(seed, RANDOM_STREAM_NAMES)
        self.recorder = Recorder()
        self.network = NetworkModel(experiment.network, self.random["network"])
        self.servers: dict[str, ServerModel] = {}
        for _ in range(experiment.fleet.servers):
            self._new_server()
        self.discovery = DiscoveryModel(
            kernel, experiment.listing, self.random["listing"], map(self.entry, self.servers.values())
        )
        self.rules = RuleChecker(experiment, experiment.load.work_ms / 1000)
        self.plans = list(experiment.plans)
        self._work_done: dict[str, float] = {}  # The work of each server at the latest sample.

    # Servers

    def _new_server(self) -> ServerModel:
        number = len(self.servers)
        server = ServerModel(self.kernel, self.experiment.fleet, number, f"s-{number:05d}", self.random["servers"])
        self.servers[server.id] = server
        return server

    def entry(self, server: ServerModel, readiness: Readiness = Readiness.READY) -> Endpoint:
        """Return the entry of an endpoint as discovery publishes it."""
        return Endpoint(server.id, zone_name(server.zone), "m", server.cell, readiness, 1.0, server.started_at)

    def _publish(
        self,
        server: ServerModel,
        delay: tuple[float, float],
        readiness: Readiness = Readiness.READY,
        runs: bool | None = None,
    ) -> None:
        """Publish an entry of the endpoint after a delay, unless the server has changed by then.

        Args:
            server: The server.
            delay: The range of the delay (s).
            readiness: The readiness in the entry.
            runs: Whether the server must run when the entry is published; by default as `readiness` implies.
        """
        incarnation = server.incarnation
        entry = self.entry(server, readiness)
        must_run = readiness is not Readiness.REMOVED if runs is None else runs
        self.discovery.schedule_update(
            delay, entry, lambda: server.incarnation == incarnation and server.is_running is must_run
        )

    @abstractmethod
    def reset_server(self, server: ServerModel) -> None:
        """Reset the connections to earlier incarnations of the server."""

    def vanish_server(self, server: ServerModel) -> None:
        """Make the machine of a server unreachable without notice."""
        server.stop()
        server.is_reachable = False
        self._publish(server, self.experiment.listing.silent_s, Readiness.REMOVED)

    def crash_server(self, server: ServerModel) -> None:
        """End the process of a server; discovery reports it after a delay."""
        server.stop()
        self.reset_server(server)
        self._publish(server, self.experiment.listing.gone_s, Readiness.REMOVED)

    def collapse_server(self, server: ServerModel) -> None:
        """End the process of an overloaded cold server for good."""
        server.collapse()
        self.reset_server(server)
        self._publish(server, self.experiment.listing.gone_s, Readiness.REMOVED)

    def start_server(self, server: ServerModel) -> None:
        """Start a new process of a server; discovery reports it after a delay."""
        server.start()
        self.rules.reset_server(server.id)
        if not server.collapsed:
            self.reset_server(server)
            self._publish(server, self.experiment.listing.add_s)

    def forget_server(self, server: ServerModel, forgotten: bool) -> None:
        """Remove a running server from the endpoint list, or add it back."""
        self._publish(server, (0.0, 0.0), Readiness.REMOVED if forgotten else Readiness.READY, runs=True)

    def replace_server(self, server: ServerModel, warning: float) -> None:
        """Drain a server and end it after `warning` s; another replaces it at once."""
        server.is_draining = True
        self._publish(server, self.experiment.listing.gone_s, Readiness.DRAINING)
        self.kernel.after(warning, self._retire, server)
        replacement = self._new_server()
        replacement.zone = server.zone
        replacement.cell = server.cell
        replacement.start()
        self._publish(replacement, self.experiment.listing.add_s)

    def _retire(self, server: ServerModel) -> None:
        server.stop()
        self.reset_server(server)
        self._publish(server, self.experiment.listing.gone_s, Readiness.REMOVED)

    # Gateways

    @abstractmethod
    def kill_gateway(self, number: int, drained: bool = False) -> None:
        """Kill a gateway with SIGKILL.

        Args:
            number: The number of the gateway.
            drained: Whether it was drained, and must have left no request unanswered.
        """

    @abstractmethod
    def terminate_gateway(self, number: int) -> None:
        """Drain and end a gateway with SIGTERM."""

    @abstractmethod
    def start_gateway(self, number: int) -> None:
        """Start a new process for a gateway whose process has ended."""

    @abstractmethod
    def pause_gateway(self, number: int, paused: bool) -> None:
        """Stop a gateway with SIGSTOP, or continue it with SIGCONT."""

    @abstractmethod
    def add_load_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """Multiply the rate of customers during a time.

        Args:
            start: When the burst begins (s).
            end: When it ends (s).
            factor: The factor on the rate.
            customers: How many of the first customers take part; 0 stands for all.
        """

    @abstractmethod
    def change_plans(self, plans: list[PlanKind]) -> None:
        """Reload the settings of all gateways, as by SIGHUP, with these plans."""

    def scale_plans(self, factor: float) -> None:
        """Multiply the rate and burst of every plan by `factor`."""
        self.plans = [
            plan.model_copy(update={"rate": plan.rate * factor, "burst": max(1.0, plan.burst * factor)})
            for plan in self.plans
        ]
        self.change_plans(self.plans)

    def resize_bucket(self, bucket: TokenBucket, plan: PlanKind) -> None:
        """Resize a token bucket of the emulator as the gateways do: units that were used stay used."""
        bucket.refill(self.kernel.now)
        bucket.rate = plan.rate
        bucket.capacity = plan.burst
        bucket.level = min(bucket.level, plan.burst)

    # Measurements

    def sample_servers(self, second: float) -> None:
        """Record the work and the state of the servers in the interval that ends now."""
        totals_by_state = {"warm": ServerTotals(), "cold": ServerTotals()}
        for server in self.servers.values():
            completed_work = server.work_done - self._work_done.get(server.id, 0.0)
            self._work_done[server.id] = server.work_done
            if not server.is_running or server.is_draining:
                continue
            totals = totals_by_state["cold" if server.is_warming_up() else "warm"]
            totals.completed_work += completed_work
            totals.possible_work += server.capacity() * SAMPLE_INTERVAL_S
            totals.queued += len(server.queue)
            totals.count += 1
        for state, totals in totals_by_state.items():
            self.recorder.set_gauge(second, f"servers.{state}", totals.count)
            if totals.possible_work:
                self.recorder.set_gauge(second, f"use.{state}", totals.completed_work / totals.possible_work)
                self.recorder.set_gauge(second, f"waiting.{state}", totals.queued)
        self.recorder.set_gauge(second, "connections", sum(server.connections for server in self.servers.values()))

    def result(self, cpu: float) -> dict[str, Any]:
        """Return the result of the run as plain data; `cpu` is the processor time that it took (s)."""
        return build_result(self.kernel, self.seed, self.recorder, self.rules, cpu)


def build_result(kernel: Clock, seed: int, recorder: Recorder, rules: RuleChecker, cpu: float) -> dict[str, Any]:
    """Return the result of a run as plain data.

    In simulated time, `exact` is the same in every run with the same seed.
    """
    weights = recorder.weights
    latencies = sorted(recorder.latencies.items())
    exact = {
        "seed": seed,
        "seconds": round(kernel.now, RESULT_DECIMALS),
        "whole": not kernel.stopped,
        "events": kernel.events,
        "worth": {key: round(weights[key], RESULT_DECIMALS) for key in ("offered", "earned", "over cost")},
        "good": round((weights["earned"] - weights["over cost"]) / (weights["offered"] or 1.0), RESULT_DECIMALS),
        "totals": {key: round(value, RESULT_DECIMALS) for key, value in sorted(recorder.totals.items())},
        "latency_ms": {name: latency.percentiles() for name, latency in latencies},
        "histograms": {name: encode_histogram(latency.histogram) for name, latency in latencies},
        "broken": dict(sorted(rules.counts.items())),
        "breaks": [asdict(violation) for violation in rules.violations],
        "lowest_ceiling": round(rules.lowest_ceiling_ratio, RESULT_DECIMALS),
        "series": recorder.series_rows(),
    }
    return {"exact": exact, "cpu_s": round(cpu, 3), "events_a_second": round(kernel.events / cpu) if cpu > 0 else 0}
