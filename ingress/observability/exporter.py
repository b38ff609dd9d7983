"""Export the metrics of a fleet in the OpenMetrics text format to a metrics system that scrapes this process."""

from __future__ import annotations

import asyncio
import re
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple
from wsgiref.simple_server import WSGIServer

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ingress.observability.poller import PolledIngress, Poller, PollState
from ingress.observability.polling_loop import PollingPlan, poll_repeatedly
from ingress.runtime.sockets import Address

# Limits the values of each label other than `ingress`, so that an ingress can't flood the metrics system with series.
MAX_LABEL_VALUES = 200
OTHER = "other"  # label value that sums all values over the limit


class FamilySpec(NamedTuple):
    """Describe how a metric of an ingress is exported.

    Attributes:
        pattern: The regular expression of the metric names in the answer to `show-stat`; its group is the label value.
        name: The name of the metric family, without the prefix.
        label: The name of the label; empty for a family without one.
        scale: The factor from the unit in the answer to the unit of the family.
        help: The help text of the family.
    """

    pattern: str
    name: str
    label: str
    scale: float
    help: str


FAMILIES = (
    FamilySpec(r"app\.turned_down\.(.+)", "turned_down", "reason", 1, "Requests that the module refused or failed."),
    FamilySpec(r"app\.forwards", "forwards", "", 1, "Attempts written whole to schedule servers."),
    FamilySpec(r"app\.outstanding", "outstanding_requests", "", 1, "Requests taken and not yet ended."),
    FamilySpec(r"app\.discovered", "discovered_servers", "", 1, "Schedule servers in the list."),
    FamilySpec(r"app\.ejected", "avoided_servers", "", 1, "Listed schedule servers that get nothing now."),
    FamilySpec(r"app\.health\.(.+)", "health_servers", "state", 1, "Ready schedule servers by state of health."),
    FamilySpec(r"app\.ejections\.(.+)", "ejections", "reason", 1, "Ejections of schedule servers."),
    FamilySpec(r"app\.probes", "probes", "", 1, "Probes sent."),
    FamilySpec(r"app\.list\.version", "list_version", "", 1, "Version of the list in use."),
    FamilySpec(
        r"app\.list\.age_ms", "list_age_seconds", "", 0.001, "Time since discovery last answered, below 0 for never."
    ),
    FamilySpec(r"app\.connections\.(.+)", "open_connections", "side", 1, "Connections open now, and coming up."),
    FamilySpec(r"app\.accepted", "accepted_connections", "", 1, "Connections of clients accepted."),
    FamilySpec(r"app\.turned_away", "turned_away_connections", "", 1, "Connections of clients turned away."),
    FamilySpec(r"app\.evicted", "evicted_connections", "", 1, "Connections of clients closed for other ones."),
    FamilySpec(r"app\.malformed", "malformed_commands", "", 1, "Malformed commands of clients."),
    FamilySpec(r"app\.customers", "customers", "", 1, "Customers whose quotas are tracked."),
    FamilySpec(r"app\.resident\.(.+)", "resident_memory_bytes", "kind", 1, "Resident memory, and the limit."),
    FamilySpec(r"app\.deferred", "deferred_turns", "", 1, "Turns for which connections of clients had to wait."),
    FamilySpec(r"app\.closed\.(.+)", "closed_connections", "reason", 1, "Connections of clients that were closed."),
    FamilySpec(r"app\.handshakes", "handshakes", "", 1, "Connections opened to schedule servers."),
    FamilySpec(r"app\.reused", "reused_connections", "", 1, "Attempts that found an idle connection."),
    FamilySpec(r"app\.no_descriptor", "accepts_without_descriptor", "", 1, "Times that accept found no descriptor."),
    FamilySpec(r"app\.odd_reports", "odd_reports", "", 1, "Load reports that made no sense."),
)
RESULT = re.compile(r"app\.results\.(.+)\.(succeeded|declined|aborted)")
PREFIX = "mothdrift_"


class FleetCollector(Collector):
    """Collects the metrics from the last answer of each ingress.

    An ingress that did not answer the last poll is exported with `up` 0 and its number of restarts only, not with the
    metrics of an earlier answer.
    """

    def __init__(self, poller: Poller) -> None:
        self.poller = poller

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families; the client library calls this at each scrape."""
        polled = list(self.poller.ingresses.values())
        up = GaugeMetricFamily(f"{PREFIX}up", "Whether the ingress answered last time.", labels=["ingress"])
        restarts = CounterMetricFamily(f"{PREFIX}restarts", "Starts anew that were seen.", labels=["ingress"])
        for ingress in polled:
            up.add_metric([ingress.name], float(ingress.state is PollState.OK))
            restarts.add_metric([ingress.name], ingress.restarts)
        yield up
        yield restarts
        answering = [ingress for ingress in polled if ingress.state is PollState.OK]
        yield _request_family(answering)
        for spec in FAMILIES:
            yield from _metric_family(answering, spec)


def _request_family(ingresses: Iterable[PolledIngress]) -> Metric:
    """Return the requests by ingress, request class and result."""
    labels = ["ingress", "class", "result"]
    family = CounterMetricFamily(f"{PREFIX}requests", "Requests that have ended.", labels=labels)
    classes: set[str] = set()
    for ingress in ingresses:
        sums: dict[tuple[str, str], float] = {}
        for name, value in ingress.metrics.values.items():
            if found := RESULT.fullmatch(name):
                key = _bounded_label(found[1], classes), found[2]
                sums[key] = sums.get(key, 0.0) + value
        for (request_class, result), value in sums.items():
            family.add_metric([ingress.name, request_class, result], value)
    return family


def _bounded_label(value: str, seen: set[str]) -> str:
    """Return the label value itself, or OTHER for a new one beyond MAX_LABEL_VALUES."""
    if value not in seen and len(seen) >= MAX_LABEL_VALUES:
        return OTHER
    seen.add(value)
    return value


def _metric_family(ingresses: Iterable[PolledIngress], spec: FamilySpec) -> Iterator[Metric]:
    """Yield the family if any ingress has a metric of it; the first such metric decides its type."""
    family: CounterMetricFamily | GaugeMetricFamily | None = None
    pattern = re.compile(spec.pattern)
    labels = ["ingress", *([spec.label] if spec.label else [])]
    values: set[str] = set()
    for ingress in ingresses:
        sums: dict[str, float] = {}
        for name, value in ingress.metrics.values.items():
            if found := pattern.fullmatch(name):
                if family is None:
                    family_type = CounterMetricFamily if name in ingress.metrics.counters else GaugeMetricFamily
                    family = family_type(f"{PREFIX}{spec.name}", spec.help, labels=labels)
                key = _bounded_label(found[1], values) if spec.label else ""
                sums[key] = sums.get(key, 0.0) + value * spec.scale
        for key, value in sums.items():
            assert family is not None  # created with the first metric that is added to `sums`
            family.add_metric([ingress.name, *([key] if spec.label else [])], value)
    if family is not None:
        yield family


def serve(poller: Poller, address: Address) -> tuple[WSGIServer, threading.Thread]:
    """Start answering scrapes in a separate thread.

    Raises:
        OSError: The address can't be listened on.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(FleetCollector(poller))
    host, port = address
    return start_http_server(port, host, registry)


async def export(
    poller: Poller,
    plan: PollingPlan,
    address: Address,
    on_listening: Callable[[str, int], None],
    warn: Callable[[str], None],
) -> None:
    """Poll the fleet and answer scrapes from the latest answers until cancelled.

    Args:
        poller: The poller of the fleet.
        plan: The address file and the period of the polls.
        address: The address to listen on for scrapes; port 0 lets the system choose one.
        on_listening: Called with host and port once the address is listened on.
        warn: Called with the error when the address file can't be read later on.

    Raises:
        OSError: The address can't be listened on.
        AddressListError: The address file can't be read at the start.
    """
    server, thread = serve(poller, address)
    try:
        on_listening(address[0], server.server_port)
        await poll_repeatedly(poller, plan, lambda _: None, warn)
    finally:
        await asyncio.to_thread(server.shutdown)
        server.server_close()
        await asyncio.to_thread(thread.join)
