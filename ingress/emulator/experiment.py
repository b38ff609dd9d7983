"""The settings of an experiment, read from TOML: fleet, load, timed faults, seeds and versions.

Times are in seconds, in milliseconds where the name ends in `_ms`.  Rates are per second.  Shares lie between 0 and 1.
A pair is a range from which each run draws a value.
"""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import BaseModel, Field, ValidationError, model_validator

from ingress.emulator.experiment_table import Count, NonNegative, NonNegativeCount, Positive, Range, Ratio, Table
from ingress.emulator.timed_faults import CutZone, Fault, LoseZone
from ingress.errors import IngressError

MAX_LIVE_GATEWAYS = 1024  # Ingress processes on one machine, whose memory may allow fewer.
# Keys whose value is a range, with a low and a high end.
RANGE_KEYS = ("fleet.speed", "listing.add_s", "listing.gone_s", "listing.silent_s", "load.calm_use", "load.notice_s")


class ExperimentError(IngressError):
    """The experiment is invalid.

    Attributes:
        faults: The problems, each with its key.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Fleet(Table):
    """The gateways and endpoints, their capacities, and the limits of the protocol between them.

    Attributes:
        gateways: The number of gateways.
        servers: The number of servers.
        zones: The number of zones.
        cores: The cores of a server.
        speed: The speed of a server relative to the nominal speed.
        queue_per_core: The requests that a server queues, per core.
        thrash: The slowdown of an overloaded server: its pace is divided by 1 plus this for each request per core
            beyond `thrash_at`.
        thrash_at: The requests per core up to which a server keeps its pace.
        connections_per_core: The size of a server's connection table, per core.
        handshake_ms: The work of a server for a handshake.
        handshake_rtts: The round trips of a handshake.
        idle_s: The time after which a server closes an idle connection.
        connect_timeout_ms: The connect timeout of a gateway.
        cold_s: The time that a server takes to warm up.
        cold_share: The share of its capacity that a server has at its start.
        cancel: What a server does with the work of an abandoned attempt: `none` does it all, `queued` drops what is
            still queued.
        error_rate: The share of attempts that a server answers with an error.
        max_attempts: The limit of attempts per request.
        second_copies: Whether a gateway may hedge.
        probes: Whether a gateway may send health checks.
        tls: Whether clients and servers speak TLS, with certificates made for the run.  Only on real sockets.
        checkpoint: Whether ingresses keep a checkpoint, which outlives a kill.  Only on real sockets.
    """

    gateways: Annotated[int, Field(ge=1, le=2000)] = 3
    servers: Annotated[int, Field(ge=1, le=20_000)] = 8
    zones: Annotated[int, Field(ge=1, le=16)] = 1
    cores: Count = 2
    speed: Range = (0.85, 1.1)
    queue_per_core: NonNegativeCount = 20
    thrash: NonNegative = 0.15
    thrash_at: Positive = 5.0
    connections_per_core: Count = 600
    handshake_ms: NonNegative = 1.0
    handshake_rtts: NonNegative = 2.0
    idle_s: Positive = 15.0
    connect_timeout_ms: Positive = 250.0
    cold_s: NonNegative = 8.0
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.3
    cancel: Literal["none", "queued"] = "queued"
    error_rate: Ratio = 0.001
    max_attempts: Count = 3
    second_copies: bool = True
    probes: bool = True
    tls: bool = False
    checkpoint: bool = False


class Network(Table):
    """The network between zones and to clients.

    Attributes:
        same_ms: The one-way delay within a zone.
        cross_ms: The one-way delay between zones.
        client_ms: The one-way delay between a client and a gateway.
        jitter: The mean excess over a delay, as a share of it.
        loss: The share of responses that are lost.
        reset: The share of attempts whose connection is reset.
    """

    same_ms: NonNegative = 0.2
    cross_ms: NonNegative = 1.0
    client_ms: NonNegative = 0.7
    jitter: NonNegative = 0.2
    loss: Ratio = 0.0
    reset: Ratio = 0.0


class DiscoveryDelays(Table):
    """The delays with which discovery reports changes.

    Attributes:
        add_s: The delay until a started server is listed.
        gone_s: The delay until a server that ended or drains is reported.
        silent_s: The delay until a server that vanished without notice is removed.
        spread_ms: The greatest delay of the delivery to a gateway, drawn for each.
    """

    add_s: Range = (0.5, 2.0)
    gone_s: Range = (0.8, 3.0)
    silent_s: Range = (5.4, 9.0)
    spread_ms: NonNegative = 200.0


class RequestKind(Table):
    """A request class.

    Attributes:
        name: Its name.
        share: Its weight in the mix of requests.
        aim_s: The latency objective.
        deadline_s: The deadline.
        semantics: The idempotency of its requests.
        scope: The servers among which the key of a request prevents duplicates.
        window_s: The deduplication window.
        worth: The priority weight of a request.
        late_worth: The share of the weight that a response after the latency objective earns.
        work: The work of a request relative to `load.work_ms`.
    """

    name: str = Field(min_length=1)
    share: Positive = 1.0
    aim_s: Positive = 0.6
    deadline_s: Positive = 2.5
    semantics: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "all"
    window_s: NonNegative = 0.0
    worth: NonNegative = 1.0
    late_worth: NonNegative = 0.2
    work: Positive = 1.0


class PlanKind(Table):
    """A plan of customers.

    Attributes:
        name: Its name.
        share: Its share of the load, as a weight.
        rate: The units per second of the quota; 0 for a plan without one.
        burst: The burst of the quota.
        at_once: The concurrency limit of a customer.
        price: The factor on the priority weights of the customers' requests.
        over_cost: The cost of a unit beyond the quota, as a share of the request's weight.
        ceiling_rate: The units per second of the ceiling; 0 for a plan without one.
        ceiling_burst: The burst of the ceiling.
        ceiling_slack: The units by which the fleet may exceed the ceiling.
    """

    name: str = Field(min_length=1)
    share: Positive = 1.0
    rate: NonNegative = 4.0
    burst: NonNegative = 10.0
    at_once: NonNegativeCount = 0
    price: NonNegative = 1.0
    over_cost: NonNegative = 0.5
    ceiling_rate: NonNegative = 0.0
    ceiling_burst: NonNegative = 0.0
    ceiling_slack: NonNegative = 0.0


class Load(Table):
    """The load of the clients, and how they retry.

    Attributes:
        rate: First submissions within the quotas per second; 0 to derive them from `use`.
        use: First submissions within the quotas, as a share of the capacity of all servers.
        work_ms: The mean work of a request.
        cv: The coefficient of variation of the work.
        spread: The share of the gateways that the set of a customer contains at most, unless a ceiling reduces it.
        calm_use: The use of their quota by most customers, relative to its rate.
        heavy: The share of heavy customers.
        heavy_x: The use of their quota by heavy customers, relative to its rate.
        uneven: How unevenly a customer uses its gateways, as a coefficient of variation.
        retries: The limit of retries of a client.
        backoff_ms: The mean backoff before the first retry, which doubles with each retry.
        honour: The share of retries that wait for Retry-After.
        impatient: The share of requests whose client disconnects before the deadline.
        notice_s: The delay until the load balancer detects that a gateway died.
    """

    rate: NonNegative = 0.0
    use: Positive = 0.6
    work_ms: Positive = 75.0
    cv: NonNegative = 1.0
    spread: Annotated[float, Field(gt=0, le=1)] = 0.6
    calm_use: Range = (0.15, 0.5)
    heavy: Ratio = 0.1
    heavy_x: Positive = 2.5
    uneven: NonNegative = 0.8
    retries: NonNegativeCount = 2
    backoff_ms: NonNegative = 100.0
    honour: Ratio = 0.6
    impatient: Ratio = 0.0
    notice_s: Range = (2.3, 3.9)


class RuleLimits(Table):
    """The limits of the rules.

    Attributes:
        answer_slack_s: The time after its deadline by which a final answer may come.
        drain_grace_s: The time after the notice that a server leaves in which attempts may still be sent to it.
        fall_factor: The multiple of its capacity under which a cold server collapses.
        fall_s: The window in which the work of a cold server counts.
    """

    answer_slack_s: NonNegative = 0.05
    drain_grace_s: NonNegative = 2.0
    fall_factor: Positive = 4.0
    fall_s: Positive = 2.0


class Version(Table):
    """A build of the package that is run.

    Attributes:
        name: Its name.
        revision: The git revision; empty for the work tree.
        sees: Whether its gateways shed load by the true state of all endpoints.  No real gateway can know it; this
            shows the most that a better estimate could gain.
    """

    name: str = Field(min_length=1, pattern=r"^[\w.-]+$")
    revision: str = ""
    sees: bool = False


class Experiment(Table):
    """An experiment file.

    Attributes:
        name: The name of the experiment.
        about: A description.
        seconds: The duration of a run.
        seeds: The seeds, one run for each seed and version.
        sockets: Whether real processes run on real sockets, instead of in simulated time.
        fleet: The gateways and endpoints.
        network: The network.
        listing: The delays of discovery.
        load: The load.
        rules: The limits of the rules.
        classes: The request classes.
        plans: The plans.
        faults: The faults.
        versions: The versions.
    """

    name: str = Field(min_length=1)
    about: str = ""
    seconds: Annotated[float, Field(gt=0, le=3600)] = 20.0
    seeds: list[int] = Field([1], min_length=1, max_length=10_000)
    sockets: bool = False
    fleet: Fleet = Fleet()
    network: Network = Network()
    listing: DiscoveryDelays = DiscoveryDelays()
    load: Load = Load()
    rules: RuleLimits = RuleLimits()
    classes: list[RequestKind] = Field([RequestKind(name="read")], min_length=1)
    plans: list[PlanKind] = Field([PlanKind(name="basic")], min_length=1)
    faults: list[Fault] = Field([])
    versions: list[Version] = Field([Version(name="now")], min_length=1)

    @model_validator(mode="after")
    def _check(self) -> Self:
        faults = [
            *self._duplicate_faults(),
            *self._class_and_plan_faults(),
            *self._timing_faults(),
            *self._range_faults(),
            *self._socket_faults(),
        ]
        if self.fleet.speed[0] <= 0:
            faults.append("fleet.speed: must be greater than 0, a server without speed never responds")
        if faults:
            raise ValueError("\n".join(faults))
        return self

    def _duplicate_faults(self) -> Iterator[str]:
        for key in ("classes", "plans", "versions"):
            names = [entry.name for entry in getattr(self, key)]
            repeated = sorted({name for name in names if names.count(name) > 1})
            yield from (f"{key}: the name {name!r} is used more than once" for name in repeated)
        if len(set(self.seeds)) < len(self.seeds):
            yield "seeds: a seed is listed more than once"

    def _class_and_plan_faults(self) -> Iterator[str]:
        for number, kind in enumerate(self.classes):
            if kind.deadline_s < kind.aim_s:
                yield f"classes.{number}.deadline_s: {kind.deadline_s:g} is less than aim_s, {kind.aim_s:g}"
        for number, plan in enumerate(self.plans):
            if plan.ceiling_rate and not plan.ceiling_burst:
                yield f"plans.{number}.ceiling_burst: is 0 with a ceiling_rate, so that no request could pass"
            if not plan.rate and not plan.at_once:
                yield f"plans.{number}: needs a rate or at_once, from which its load is derived"

    def _timing_faults(self) -> Iterator[str]:
        for number, fault in enumerate(self.faults):
            if fault.at + fault.lasts > self.seconds:
                yield (
                    f"faults.{number}: ends at {fault.at + fault.lasts:g} s, "
                    f"after the end of the run at {self.seconds:g} s"
                )
            if isinstance(fault, LoseZone | CutZone) and fault.zone >= self.fleet.zones:
                yield f"faults.{number}.zone: there is no zone {fault.zone}, the fleet has {self.fleet.zones} zones"

    def _range_faults(self) -> Iterator[str]:
        for key in RANGE_KEYS:
            table, name = key.split(".")
            low, high = getattr(getattr(self, table), name)
            if low > high:
                yield f"{key}: the low end {low:g} is greater than the high end {high:g}"

    def _socket_faults(self) -> Iterator[str]:
        if self.sockets and self.fleet.gateways > MAX_LIVE_GATEWAYS:
            yield f"fleet.gateways: {self.fleet.gateways} processes exceed the limit of {MAX_LIVE_GATEWAYS}"
        if self.sockets and any(isinstance(fault, CutZone) for fault in self.faults):
            yield "faults: cut-zone is not possible on real sockets, as all zones share the loopback interface"
        if self.sockets and any(version.sees for version in self.versions):
            yield "versions: sees is not possible on real sockets, where gateways can't read the state of the servers"
        for key in ("tls", "checkpoint"):
            if getattr(self.fleet, key) and not self.sockets:
                yield f"fleet.{key}: only real processes have it: set sockets = true"

    def digest(self) -> str:
        """Return a hash of all settings but the seeds.

        Results of experiments with different hashes must not be mixed.
        """
        return hashlib.sha256(self.model_dump_json(exclude={"seeds"}).encode()).hexdigest()[:12]


def read_experiment(text: str) -> Experiment:
    """Read an experiment from TOML.

    Raises:
        ExperimentError: The text is not TOML, or the experiment is invalid.
    """
    try:
        source = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError([f"not TOML: {error}"]) from None
    return build_experiment(source)


def build_experiment(source: dict[str, Any]) -> Experiment:
    """Read an experiment from plain data.

    Raises:
        ExperimentError: The experiment is invalid.
    """
    try:
        return Experiment.model_validate(source)
    except ValidationError as error:
        faults: list[str] = []
        for fault in error.errors():
            key = ".".join(str(part) for part in fault["loc"])
            text = fault["msg"].removeprefix("Value error, ")
            is_table = isinstance(fault["input"], dict | list | BaseModel)
            given = "" if is_table else f" (given {fault['input']!r})"
            faults += [f"{key}: {line}{given}" if key else line for line in text.split("\n")]
        raise ExperimentError(faults) from None


def load_experiment(path: Path) -> Experiment:
    """Read an experiment from a file.

    Raises:
        ExperimentError: The file can't be read, or the experiment is invalid.
    """
    try:
        return read_experiment(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError([f"can't read {path}: {error}"]) from None
