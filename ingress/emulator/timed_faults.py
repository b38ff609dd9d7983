"""The faults that an experiment injects at given times; `faults` carries them out.

Times are in seconds. Shares lie between 0 and 1.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from ingress.emulator.experiment_table import Count, NonNegative, NonNegativeCount, Positive, Ratio, Table


class TimedFault(Table):
    """The common part of all faults.

    Attributes:
        at: When the fault begins (s).
        lasts: How long it lasts (s).
    """

    at: NonNegative
    lasts: NonNegative = 0.0


class KillGateways(TimedFault):
    """Kill gateways with SIGKILL; new processes start after `lasts`."""

    kind: Literal["kill-gateways"]
    share: Ratio = 0.5


class PauseGateways(TimedFault):
    """Stop gateways with SIGSTOP, and continue them with SIGCONT after `lasts`."""

    kind: Literal["pause-gateways"]
    share: Ratio = 0.1


class RollGateways(TimedFault):
    """Restart all gateways with SIGTERM, in steps."""

    kind: Literal["roll-gateways"]
    steps: Count = 10


class RollServers(TimedFault):
    """Drain and remove servers in steps; cold ones replace them.

    Attributes:
        share: The share of the servers.
        steps: The number of steps.
        warning_s: The time between the start of draining and the end of a server.
    """

    kind: Literal["roll-servers"]
    share: Ratio = 0.5
    steps: Count = 5
    warning_s: NonNegative = 3.0


class LoseZone(TimedFault):
    """Let all servers of a zone vanish without notice, and start them again cold.

    Attributes:
        zone: The zone.
        share: The share of the servers that vanish in a fleet with one zone.
    """

    kind: Literal["lose-zone"]
    zone: NonNegativeCount = 0
    share: Ratio = 0.3


class CutZone(TimedFault):
    """Cut the network between a zone and the others."""

    kind: Literal["cut-zone"]
    zone: NonNegativeCount = 0


class CrashServers(TimedFault):
    """End the processes of servers; their machines refuse connections until they start again, cold."""

    kind: Literal["crash-servers"]
    share: Ratio = 0.2


class SpoilServers(TimedFault):
    """Make servers misbehave while they run.

    Attributes:
        share: The share of the servers.
        mode: How they misbehave.
        rate: The share of their requests that is affected in the modes `errors`, `silent` and `spoilt`.
        factor: The factor by which `slow` servers are slower.
    """

    kind: Literal["spoil-servers"]
    share: Ratio = 0.125
    mode: Literal["slow", "errors", "silent", "spoilt", "refuse"] = "errors"
    rate: Ratio = 1.0
    factor: Positive = 8.0


class Reload(TimedFault):
    """Reload the settings with SIGHUP, with the rate and burst of every plan multiplied by `factor`."""

    kind: Literal["reload"]
    factor: Positive = 0.8


class ForgetServers(TimedFault):
    """Remove running servers from the endpoint list in one version, and add them back in another."""

    kind: Literal["forget-servers"]
    share: Ratio = 0.6


class DiscoveryDown(TimedFault):
    """Make discovery unavailable."""

    kind: Literal["discovery-down"]


class Burst(TimedFault):
    """Multiply the rate of requests.

    Attributes:
        factor: The factor.
        customers: How many of the first customers take part; 0 stands for all.
    """

    kind: Literal["burst"]
    factor: Positive = 1.5
    customers: NonNegativeCount = 0


class Lossy(TimedFault):
    """Lose responses and reset connections.

    Attributes:
        loss: The share of responses that are lost.
        reset: The share of attempts whose connection is reset.
    """

    kind: Literal["lossy"]
    loss: Ratio = 0.02
    reset: Ratio = 0.02


Fault = Annotated[
    KillGateways
    | PauseGateways
    | RollGateways
    | RollServers
    | LoseZone
    | CutZone
    | CrashServers
    | SpoilServers
    | Reload
    | ForgetServers
    | DiscoveryDown
    | Burst
    | Lossy,
    Field(discriminator="kind"),
]
