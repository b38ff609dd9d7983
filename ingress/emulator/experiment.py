"""An experiment as written in TOML: fleet, load, timed faults, repeats, versions.

Times are seconds (`_ms`: milliseconds), rates are a second, shares lie between 0 and 1.  A pair is a range
that each play draws from.
"""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from ingress.errors import IngressError

Ratio = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=1, le=100_000)]
NonNegativeCount = Annotated[int, Field(ge=0, le=100_000)]
Range = tuple[NonNegative, NonNegative]


MAX_LIVE_GATEWAYS = 1024  # ingress processes on one machine; its memory may bound them first
RANGE_KEYS = (  # keys that hold a low and a high end
    "fleet.speed",
    "listing.add_s",
    "listing.gone_s",
    "listing.silent_s",
    "load.calm_use",
    "load.notice_s",
)


class ExperimentError(IngressError):
    """The experiment can't be played; each fault names its key."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Table(BaseModel):
    """A table of the experiment file: unknown keys are faults, and nothing changes once it is read."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Fleet(Table):
    """The gateways and endpoints: how many, what each can do, and what the protocol allows between them."""

    gateways: Annotated[int, Field(ge=1, le=2000)] = 3
    servers: Annotated[int, Field(ge=1, le=20_000)] = 8
    zones: Annotated[int, Field(ge=1, le=16)] = 1
    cores: Count = 2
    speed: Range = (0.85, 1.1)  # of a server, beside the nominal one
    queue_per_core: NonNegativeCount = 20
    thrash: NonNegative = 0.15  # of its pace that a server loses for each request a core beyond `thrash_at`
    thrash_at: Positive = 5.0  # requests that it holds for each core
    connections_per_core: Count = 600
    handshake_ms: NonNegative = 1.0  # of a server's work
    handshake_rtts: NonNegative = 2.0
    idle_s: Positive = 15.0
    connect_timeout_ms: Positive = 250.0
    cold_s: NonNegative = 8.0
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.3
    cancel: Literal["none", "queued"] = "queued"  # what becomes of work that nobody waits for
    error_rate: Ratio = 0.001
    max_attempts: Count = 3
    second_copies: bool = True
    probes: bool = True
    tls: bool = False  # on real sockets: clients and servers speak TLS, with certificates made for the play
    checkpoint: bool = False  # on real sockets: ingresses keep one, which outlives a kill


class Network(Table):
    """Delays between zones and to clients, in ms; `jitter` is the mean excess as a share."""

    same_ms: NonNegative = 0.2
    cross_ms: NonNegative = 1.0
    client_ms: NonNegative = 0.7
    jitter: NonNegative = 0.2
    loss: Ratio = 0.0  # of the answers
    reset: Ratio = 0.0  # of the attempts


class DiscoveryDelays(Table):
    """How late discovery tells."""

    add_s: Range = (0.5, 2.0)
    gone_s: Range = (0.8, 3.0)
    silent_s: Range = (5.4, 9.0)  # of a server that vanished without a word
    spread_ms: NonNegative = 200.0  # between gateways


class RequestKind(Table):
    """A class of requests, as `decisions.settings.RequestClass`, with its share of the load and its work."""

    name: str = Field(min_length=1)
    share: Positive = 1.0
    aim_s: Positive = 0.6
    deadline_s: Positive = 2.5
    semantics: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "all"
    window_s: NonNegative = 0.0
    worth: NonNegative = 1.0
    late_worth: NonNegative = 0.2
    work: Positive = 1.0  # beside `load.work_ms`


class PlanKind(Table):
    """A plan of customers, as `decisions.settings.Plan`, with its share of the load."""

    name: str = Field(min_length=1)
    share: Positive = 1.0  # of the load
    rate: NonNegative = 4.0
    burst: NonNegative = 10.0
    at_once: NonNegativeCount = 0
    price: NonNegative = 1.0
    over_cost: NonNegative = 0.5
    ceiling_rate: NonNegative = 0.0
    ceiling_burst: NonNegative = 0.0
    ceiling_slack: NonNegative = 0.0


class Load(Table):
    """What clients ask: how much, how evenly, and how they retry."""

    rate: NonNegative = 0.0  # first tries inside the quotas, a second; 0: by `use`
    use: Positive = 0.6  # asked inside the quotas, beside what all servers can do
    work_ms: Positive = 75.0
    cv: NonNegative = 1.0
    spread: Annotated[float, Field(gt=0, le=1)] = 0.6  # of the gateways: each customer's set
    calm_use: Range = (0.15, 0.5)  # of its rate, by most customers
    heavy: Ratio = 0.1  # of the customers ask `heavy_x` times their rate
    heavy_x: Positive = 2.5
    uneven: NonNegative = 0.8  # how unevenly a customer uses its set: deviation over mean
    retries: NonNegativeCount = 2
    backoff_ms: NonNegative = 100.0
    honour: Ratio = 0.6  # of the clients wait as they are told
    impatient: Ratio = 0.0  # of the clients go before their time is up
    notice_s: Range = (2.3, 3.9)  # until the front sees that a gateway died


class RuleLimits(Table):
    """The slack and the limits by which the rules are checked."""

    answer_slack_s: NonNegative = 0.05
    drain_grace_s: NonNegative = 2.0
    fall_factor: Positive = 4.0
    fall_s: Positive = 2.0


class TimedFault(Table):
    """What all faults have: when each begins and how long it lasts (s)."""

    at: NonNegative
    lasts: NonNegative = 0.0


class KillGateways(TimedFault):
    """SIGKILL; they start again from nothing after `lasts`."""

    kind: Literal["kill-gateways"]
    share: Ratio = 0.5


class PauseGateways(TimedFault):
    """SIGSTOP for `lasts`, then SIGCONT."""

    kind: Literal["pause-gateways"]
    share: Ratio = 0.1


class RollGateways(TimedFault):
    """SIGTERM and a new start, in steps."""

    kind: Literal["roll-gateways"]
    steps: Count = 10


class RollServers(TimedFault):
    """Servers drain, go, and others take their place, cold."""

    kind: Literal["roll-servers"]
    share: Ratio = 0.5
    steps: Count = 5
    warning_s: NonNegative = 3.0  # from draining to gone


class LoseZone(TimedFault):
    """All servers of a zone (without zones, a share of all) vanish without a word, and return cold."""

    kind: Literal["lose-zone"]
    zone: NonNegativeCount = 0
    share: Ratio = 0.3


class CutZone(TimedFault):
    """Nothing passes between a zone and the others."""

    kind: Literal["cut-zone"]
    zone: NonNegativeCount = 0


class CrashServers(TimedFault):
    """The processes die; their machines refuse connections until they start again, cold."""

    kind: Literal["crash-servers"]
    share: Ratio = 0.2


class SpoilServers(TimedFault):
    """Servers that run and do their work badly."""

    kind: Literal["spoil-servers"]
    share: Ratio = 0.125
    mode: Literal["slow", "errors", "silent", "spoilt", "refuse"] = "errors"
    rate: Ratio = 1.0  # of their requests
    factor: Positive = 8.0  # of `slow`


class Reload(TimedFault):
    """SIGHUP: every plan's rate and burst times `factor`."""

    kind: Literal["reload"]
    factor: Positive = 0.8


class ForgetServers(TimedFault):
    """The list drops servers that run in one version, and has them back in another."""

    kind: Literal["forget-servers"]
    share: Ratio = 0.6


class DiscoveryDown(TimedFault):
    """Discovery answers nothing."""

    kind: Literal["discovery-down"]


class Burst(TimedFault):
    """All ask `factor` times as much; with `customers`, these alone."""

    kind: Literal["burst"]
    factor: Positive = 1.5
    customers: NonNegativeCount = 0


class Lossy(TimedFault):
    """Answers get lost and connections are reset, by these shares."""

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


class Version(Table):
    """A build that is played: that of a git revision, or the work tree without one.

    `sees`: its gateways shed load by the true state of all endpoints, which no real one can know, to show what a better
    estimate could gain at the most.
    """

    name: str = Field(min_length=1, pattern=r"^[\w.-]+$")
    revision: str = ""
    sees: bool = False


class Experiment(Table):
    """A whole experiment file."""

    name: str = Field(min_length=1)
    about: str = ""
    seconds: Annotated[float, Field(gt=0, le=3600)] = 20.0
    seeds: list[int] = Field([1], min_length=1, max_length=10_000)
    sockets: bool = False  # real processes on real sockets in place of simulated time
    fleet: Fleet = Fleet()
    network: Network = Network()
    listing: DiscoveryDelays = DiscoveryDelays()
    load: Load = Load()
    rules: RuleLimits = RuleLimits()
    classes: list[RequestKind] = Field([RequestKind(name="read")], min_length=1)
    plans: list[PlanKind] = Field([PlanKind(name="basic")], min_length=1)
    faults: list[Fault] = []
    versions: list[Version] = Field([Version(name="now")], min_length=1)

    @model_validator(mode="after")
    def _check(self) -> Self:
        faults = [
            *self._faults_of_names(),
            *self._faults_of_kinds(),
            *self._faults_of_times(),
            *self._faults_of_ranges(),
            *self._faults_of_sockets(),
        ]
        if self.fleet.speed[0] <= 0:
            faults.append("fleet.speed: a server without speed never answers")
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def _faults_of_names(self) -> Iterator[str]:
        for key in ("classes", "plans", "versions"):
            names = [one.name for one in getattr(self, key)]
            repeated = sorted({name for name in names if names.count(name) > 1})
            yield from (f"{key}: the name {name!r} stands twice" for name in repeated)
        if len(set(self.seeds)) < len(self.seeds):
            yield "seeds: one stands twice"

    def _faults_of_kinds(self) -> Iterator[str]:
        for number, one in enumerate(self.classes):
            if one.deadline_s < one.aim_s:
                yield f"classes.{number}.deadline_s: {one.deadline_s:g} is less than aim_s, {one.aim_s:g}"
        for number, plan in enumerate(self.plans):
            if plan.ceiling_rate and not plan.ceiling_burst:
                yield f"plans.{number}.ceiling_burst: is 0 under a ceiling_rate: nothing could pass"
            if not plan.rate and not plan.at_once:
                yield f"plans.{number}: neither rate nor at_once bounds it, so the load is unknown"

    def _faults_of_times(self) -> Iterator[str]:
        for number, fault in enumerate(self.faults):
            if fault.at + fault.lasts > self.seconds:
                yield f"faults.{number}: ends at {fault.at + fault.lasts:g} s, after the day's {self.seconds:g} s"
            if isinstance(fault, LoseZone | CutZone) and fault.zone >= self.fleet.zones:
                yield f"faults.{number}.zone: {fault.zone}, but the fleet has {self.fleet.zones} zones"

    def _faults_of_ranges(self) -> Iterator[str]:
        for key in RANGE_KEYS:
            part, name = key.split(".")
            low, high = getattr(getattr(self, part), name)
            if low > high:
                yield f"{key}: {low:g} is more than {high:g}"

    def _faults_of_sockets(self) -> Iterator[str]:
        if self.sockets and self.fleet.gateways > MAX_LIVE_GATEWAYS:
            yield f"fleet.gateways: {self.fleet.gateways} real processes, {MAX_LIVE_GATEWAYS} at most"
        if self.sockets and any(isinstance(fault, CutZone) for fault in self.faults):
            yield "faults: cut-zone can't be played on real sockets, where all share one loopback"
        if self.sockets and any(version.sees for version in self.versions):
            yield "versions: one that sees the servers' state can't be played on real sockets"
        for key in ("tls", "checkpoint"):
            if getattr(self.fleet, key) and not self.sockets:
                yield f"fleet.{key}: only real processes have it: set sockets = true"

    def digest(self) -> str:
        """Tells experiments apart whose results must not be mixed: all but the seeds."""
        return hashlib.sha256(self.model_dump_json(exclude={"seeds"}).encode()).hexdigest()[:12]


def read_experiment(text: str) -> Experiment:
    """Reads an experiment from TOML; ExperimentError with every fault of it, each with its key."""
    try:
        source = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError([f"not TOML: {error}"]) from None
    return build_experiment(source)


def build_experiment(source: dict[str, Any]) -> Experiment:
    """Reads an experiment from plain data; ExperimentError with every fault of it."""
    try:
        return Experiment.model_validate(source)
    except ValidationError as error:
        faults: list[str] = []
        for fault in error.errors():
            key = ".".join(str(part) for part in fault["loc"])
            text = fault["msg"].removeprefix("Value error, ")
            whole = isinstance(fault["input"], dict | list | BaseModel)
            given = "" if whole else f" (given {fault['input']!r})"
            faults += [f"{key}: {line}{given}" if key else line for line in text.split("\n")]
        raise ExperimentError(faults) from None


def load_experiment(path: Path) -> Experiment:
    """Reads an experiment file; ExperimentError with every fault of it."""
    try:
        return read_experiment(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError([f"{path}: {error}"]) from None
