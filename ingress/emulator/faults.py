"""Scheduling of the timed faults of an experiment, one function for each kind of fault."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from ingress.emulator import timed_faults
from ingress.emulator.servers import Defect, ServerModel

if TYPE_CHECKING:
    from ingress.emulator.testbed import Testbed

RESTART_DELAY_S = 0.3  # From the end of a rolled gateway to the start of its next process.
DRAIN_TIMEOUT_S = 3.7  # From SIGTERM to SIGKILL: the longest deadline that counts, and 0.7 s.


@singledispatch
def schedule(fault: timed_faults.TimedFault, _testbed: Testbed) -> None:
    """Schedule a fault on the clock of the testbed.

    All its random draws are made now, so that they don't depend on the decisions of the gateways.
    """
    raise TypeError(f"can't schedule a fault of an unknown kind: {fault!r}")


def _gateways(testbed: Testbed, share: float) -> list[int]:
    count = testbed.experiment.fleet.gateways
    chosen_count = max(1, round(share * count)) if share else 0
    return testbed.random["faults"].sample(count, chosen_count)


def _servers(testbed: Testbed, share: float) -> list[ServerModel]:
    initial_servers = list(testbed.servers.values())[: testbed.experiment.fleet.servers]
    count = len(initial_servers)
    chosen_count = max(1, round(share * count)) if share else 0
    return [initial_servers[number] for number in testbed.random["faults"].sample(count, chosen_count)]


@schedule.register(timed_faults.KillGateways)
def _(fault: timed_faults.KillGateways, testbed: Testbed) -> None:
    for number in _gateways(testbed, fault.share):
        testbed.kernel.at(fault.at, testbed.kill_gateway, number)
        testbed.kernel.at(fault.at + fault.lasts, testbed.start_gateway, number)


@schedule.register(timed_faults.PauseGateways)
def _(fault: timed_faults.PauseGateways, testbed: Testbed) -> None:
    for number in _gateways(testbed, fault.share):
        testbed.kernel.at(fault.at, testbed.pause_gateway, number, True)
        testbed.kernel.at(fault.at + fault.lasts, testbed.pause_gateway, number, False)


@schedule.register(timed_faults.RollGateways)
def _(fault: timed_faults.RollGateways, testbed: Testbed) -> None:
    count = testbed.experiment.fleet.gateways
    for number in range(count):
        step = number * fault.steps // count
        at = fault.at + fault.lasts * step / fault.steps
        testbed.kernel.at(at, testbed.terminate_gateway, number)
        testbed.kernel.at(at + DRAIN_TIMEOUT_S, testbed.kill_gateway, number, True)
        testbed.kernel.at(at + DRAIN_TIMEOUT_S + RESTART_DELAY_S, testbed.start_gateway, number)


@schedule.register(timed_faults.RollServers)
def _(fault: timed_faults.RollServers, testbed: Testbed) -> None:
    chosen = _servers(testbed, fault.share)
    for index, server in enumerate(chosen):
        at = fault.at + fault.lasts * (index * fault.steps // len(chosen)) / fault.steps
        testbed.kernel.at(at, testbed.replace_server, server, fault.warning_s)


@schedule.register(timed_faults.LoseZone)
def _(fault: timed_faults.LoseZone, testbed: Testbed) -> None:
    zones = testbed.experiment.fleet.zones
    lost = (
        _servers(testbed, fault.share)
        if zones == 1
        else [server for server in testbed.servers.values() if server.zone == fault.zone]
    )
    for server in lost:
        testbed.kernel.at(fault.at, testbed.vanish_server, server)
        testbed.kernel.at(fault.at + fault.lasts, testbed.start_server, server)


@schedule.register(timed_faults.CutZone)
def _(fault: timed_faults.CutZone, testbed: Testbed) -> None:
    testbed.kernel.at(fault.at, testbed.network.isolated_zones.add, fault.zone)
    testbed.kernel.at(fault.at + fault.lasts, testbed.network.isolated_zones.discard, fault.zone)


@schedule.register(timed_faults.CrashServers)
def _(fault: timed_faults.CrashServers, testbed: Testbed) -> None:
    for server in _servers(testbed, fault.share):
        testbed.kernel.at(fault.at, testbed.crash_server, server)
        testbed.kernel.at(fault.at + fault.lasts, testbed.start_server, server)


@schedule.register(timed_faults.SpoilServers)
def _(fault: timed_faults.SpoilServers, testbed: Testbed) -> None:
    for server in _servers(testbed, fault.share):
        testbed.kernel.at(fault.at, _set_defect, server, Defect(fault.mode, fault.rate, fault.factor))
        testbed.kernel.at(fault.at + fault.lasts, _set_defect, server, None)


def _set_defect(server: ServerModel, defect: Defect | None) -> None:
    server.defect = defect


@schedule.register(timed_faults.Reload)
def _(fault: timed_faults.Reload, testbed: Testbed) -> None:
    testbed.kernel.at(fault.at, testbed.scale_plans, fault.factor)


@schedule.register(timed_faults.ForgetServers)
def _(fault: timed_faults.ForgetServers, testbed: Testbed) -> None:
    for server in _servers(testbed, fault.share):
        testbed.kernel.at(fault.at, testbed.forget_server, server, True)
        testbed.kernel.at(fault.at + fault.lasts, testbed.forget_server, server, False)


@schedule.register(timed_faults.DiscoveryDown)
def _(fault: timed_faults.DiscoveryDown, testbed: Testbed) -> None:
    testbed.kernel.at(fault.at, _set_discovery_down, testbed, fault.at + fault.lasts)


def _set_discovery_down(testbed: Testbed, until: float) -> None:
    testbed.discovery.down_until = max(testbed.discovery.down_until, until)


@schedule.register(timed_faults.Burst)
def _(fault: timed_faults.Burst, testbed: Testbed) -> None:
    testbed.add_load_burst(fault.at, fault.at + fault.lasts, fault.factor, fault.customers)


@schedule.register(timed_faults.Lossy)
def _(fault: timed_faults.Lossy, testbed: Testbed) -> None:
    network = testbed.network
    testbed.kernel.at(fault.at, _set_loss, testbed, fault.loss, fault.reset)
    testbed.kernel.at(fault.at + fault.lasts, _set_loss, testbed, network.spec.loss, network.spec.reset)


def _set_loss(testbed: Testbed, loss: float, reset: float) -> None:
    testbed.network.loss_rate = loss
    testbed.network.reset_rate = reset
