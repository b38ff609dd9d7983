"""What plays in simulated time and on real sockets have in common: servers, list, rules, result."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import asdict
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

STREAMS = ("arrivals", "front", "servers", "network", "listing", "faults", "seeds")
LOAD_BALANCER_REACTION_S = 0.1  # s until the front has read that a gateway takes no more
SAMPLE_INTERVAL_S = 1.0  # s between looks at states


def zone_name(number: int) -> str:
    """The name of a zone in the endpoint list."""
    return f"z{number}"


def gateway_settings(experiment: Experiment, number: int, plans: list[PlanKind]) -> Settings:
    """What a gateway of this experiment is told at its start."""
    fleet = experiment.fleet
    rules = experiment.rules
    return Settings(
        classes=tuple(
            RequestClass(
                c.name,
                c.aim_s,
                c.deadline_s,
                c.worth,
                c.late_worth,
                Idempotency(c.semantics),
                KeyScope(c.scope),
                c.window_s,
            )
            for c in experiment.classes
        ),
        plans=tuple(
            Plan(
                p.name,
                p.rate,
                p.burst,
                p.at_once,
                p.price,
                0.0,
                p.over_cost,
                p.ceiling_rate,
                p.ceiling_burst,
                p.ceiling_slack,
            )
            for p in plans
        ),
        gateway_index=number,
        gateway_count=fleet.gateways,
        zone=zone_name(number % fleet.zones),
        timer_resolution=0.002,
        answer_slack=rules.answer_slack_s,
        drain_grace=rules.drain_grace_s,
        slow_start_duration=fleet.cold_s,
        slow_start_initial_capacity=fleet.cold_share,
        overload_factor=rules.fall_factor,
        overload_window=rules.fall_s,
        discovery_poll_deadline=10.0,
        max_attempts=fleet.max_attempts,
        hedging_allowed=fleet.second_copies,
        cancellation_allowed=True,
        health_checks_allowed=fleet.probes,
        health_check_cost=0.01,
    )


class Testbed(ABC):
    """The parts of a play, and the steps that faults consist of."""

    def __init__(self, experiment: Experiment, seed: int, kernel: Clock) -> None:
        self.experiment = experiment
        self.seed = seed
        self.kernel = kernel
        self.random = random_streams(seed, STREAMS)
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
        self._work_done: dict[str, float] = {}

    # Servers

    def _new_server(self) -> ServerModel:
        number = len(self.servers)
        server = ServerModel(self.kernel, self.experiment.fleet, number, f"s-{number:05d}", self.random["servers"])
        self.servers[server.id] = server
        return server

    def entry(self, server: ServerModel, readiness: Readiness = Readiness.READY) -> Endpoint:
        """The entry of an endpoint as discovery publishes it."""
        return Endpoint(server.id, zone_name(server.zone), "m", server.cell, readiness, 1.0, server.started_at)

    def _publish(
        self,
        server: ServerModel,
        delay: tuple[float, float],
        readiness: Readiness = Readiness.READY,
        runs: bool | None = None,
    ) -> None:
        """Discovery learns of the endpoint late, and not at all of what has passed by then.

        `runs`: whether it must run by then; as a rule what `readiness` says.
        """
        life = server.incarnation
        entry = self.entry(server, readiness)
        there = readiness is not Readiness.REMOVED if runs is None else runs
        self.discovery.schedule_update(delay, entry, lambda: server.incarnation == life and server.is_running is there)

    @abstractmethod
    def reset_server(self, server: ServerModel) -> None:
        """Connections to a former life of the server are reset."""

    def vanish_server(self, server: ServerModel) -> None:
        """Its machine is gone without a word."""
        server.stop()
        server.is_reachable = False
        self._publish(server, self.experiment.listing.silent_s, Readiness.REMOVED)

    def crash_server(self, server: ServerModel) -> None:
        """Its process dies; the list learns of it late."""
        server.stop()
        self.reset_server(server)
        self._publish(server, self.experiment.listing.gone_s, Readiness.REMOVED)

    def collapse_server(self, server: ServerModel) -> None:
        """A cold server got more than it bears: it stays down."""
        server.collapse()
        self.reset_server(server)
        self._publish(server, self.experiment.listing.gone_s, Readiness.REMOVED)

    def start_server(self, server: ServerModel) -> None:
        """Its process starts anew; the list learns of it late."""
        server.start()
        self.rules.reset_server(server.id)
        if not server.collapsed:
            self.reset_server(server)
            self._publish(server, self.experiment.listing.add_s)

    def forget_server(self, server: ServerModel, forgotten: bool) -> None:
        """The list has it as gone, or as ready again: it runs all the while."""
        self._publish(server, (0.0, 0.0), Readiness.REMOVED if forgotten else Readiness.READY, runs=True)

    def replace_server(self, server: ServerModel, warning: float) -> None:
        """It drains and goes; another takes its place at once."""
        server.is_draining = True
        self._publish(server, self.experiment.listing.gone_s, Readiness.DRAINING)
        self.kernel.after(warning, self._retire, server)
        fresh = self._new_server()
        fresh.zone = server.zone
        fresh.cell = server.cell
        fresh.start()
        self._publish(fresh, self.experiment.listing.add_s)

    def _retire(self, server: ServerModel) -> None:
        server.stop()
        self.reset_server(server)
        self._publish(server, self.experiment.listing.gone_s, Readiness.REMOVED)

    # Gateways

    @abstractmethod
    def kill_gateway(self, number: int, drained: bool = False) -> None:
        """SIGKILL.  `ended`: after a drain, which must have left nothing unanswered."""

    @abstractmethod
    def terminate_gateway(self, number: int) -> None:
        """SIGTERM."""

    @abstractmethod
    def start_gateway(self, number: int) -> None:
        """Starts a process in the place of one that ended."""

    @abstractmethod
    def pause_gateway(self, number: int, paused: bool) -> None:
        """SIGSTOP, SIGCONT."""

    @abstractmethod
    def add_load_burst(self, start: float, end: float, factor: float, customers: int) -> None:
        """All clients (or the first so many) ask `factor` times as much meanwhile."""

    @abstractmethod
    def change_plans(self, plans: list[PlanKind]) -> None:
        """SIGHUP everywhere, once the files hold these plans."""

    def scale_plans(self, factor: float) -> None:
        """Every plan's rate and burst times `factor`."""
        self.plans = [
            plan.model_copy(update={"rate": plan.rate * factor, "burst": max(1.0, plan.burst * factor)})
            for plan in self.plans
        ]
        self.change_plans(self.plans)

    def resize_bucket(self, store: TokenBucket, plan: PlanKind) -> None:
        """What customers have spent stays spent, in the world's own stores as well."""
        store.refill(self.kernel.now)
        store.rate, store.capacity, store.level = plan.rate, plan.burst, min(store.level, plan.burst)

    # What is seen

    def sample_servers(self, second: float) -> None:
        """What the servers have done in the second that ends now."""
        work = {"warm": [0.0] * 4, "cold": [0.0] * 4}  # done, possible, waiting, how many
        for server in self.servers.values():
            done, self._work_done[server.id] = server.work_done - self._work_done.get(server.id, 0.0), server.work_done
            if not server.is_running or server.is_draining:
                continue
            sums = work["cold" if server.is_warming_up() else "warm"]
            sums[0] += done
            sums[1] += server.capacity() * SAMPLE_INTERVAL_S
            sums[2] += len(server.queue)
            sums[3] += 1
        for name, (done, possible, waiting, count) in work.items():
            self.recorder.set_gauge(second, f"servers.{name}", count)
            if possible:
                self.recorder.set_gauge(second, f"use.{name}", done / possible)
                self.recorder.set_gauge(second, f"waiting.{name}", waiting)
        self.recorder.set_gauge(second, "connections", sum(s.connections for s in self.servers.values()))

    def result(self, cpu: float) -> dict[str, Any]:
        """The result of the play as plain data; `cpu`: s of the processor."""
        return build_result(self.kernel, self.seed, self.recorder, self.rules, cpu)


def build_result(kernel: Clock, seed: int, record: Recorder, rules: RuleChecker, cpu: float) -> dict[str, Any]:
    """Plain data; in simulated time `exact` is the same in each play of this seed."""
    worth = record.weights
    latencies = sorted(record.latencies.items())
    exact = {
        "seed": seed,
        "seconds": round(kernel.now, 6),
        "whole": not kernel.stopped,
        "events": kernel.events,
        "worth": {key: round(worth[key], 6) for key in ("offered", "earned", "over cost")},
        "good": round((worth["earned"] - worth["over cost"]) / (worth["offered"] or 1.0), 6),
        "totals": {key: round(value, 6) for key, value in sorted(record.totals.items())},
        "latency_ms": {name: one.percentiles() for name, one in latencies},
        "histograms": {name: encode_histogram(one.histogram) for name, one in latencies},
        "broken": dict(sorted(rules.counts.items())),
        "breaks": [asdict(one) for one in rules.violations],
        "lowest_ceiling": round(rules.lowest_ceiling_ratio, 6),
        "series": record.series_rows(),
    }
    return {"exact": exact, "cpu_s": round(cpu, 3), "events_a_second": round(kernel.events / cpu) if cpu > 0 else 0}
