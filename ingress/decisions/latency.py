"""Latency statistics: running means of latency by request class, and the work of a request relative to the mean."""

from __future__ import annotations

from ingress.decisions.settings import RequestClass, Settings

NEW_SAMPLE_WEIGHT = 0.15  # the weight of a new sample in a running mean: about the last dozen count
SLOW_SAMPLE_WEIGHT = NEW_SAMPLE_WEIGHT / 4  # for means over all endpoints, which get many more samples
INITIAL_LATENCY_RATIO = 0.125  # a share of the latency objective: the mean latency assumed before any response
MIN_UNITS = 1e-6


class LatencyStatistics:
    """The running means over all endpoints, as seen by this gateway.

    Attributes:
        classes: The current request classes.
        timer_resolution: The resolution of timers in seconds.
        mean_latencies: The mean latencies in seconds by class name; a class without a response has no entry.
        mean_units: The mean number of quota units of a request.
        longest_objective: The longest latency objective of all classes in seconds.
    """

    def __init__(self, settings: Settings) -> None:
        self.mean_latencies: dict[str, float] = {}
        self.mean_units = 1.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings, and keep the means of the classes that still exist."""
        self.classes = settings.classes
        self.timer_resolution = settings.timer_resolution
        self.longest_objective = max(cls.latency_objective for cls in settings.classes)
        names = {cls.name for cls in settings.classes}
        self.mean_latencies = {name: mean for name, mean in self.mean_latencies.items() if name in names}

    def mean_latency(self, request_class: RequestClass) -> float:
        """Return the mean latency of a class in seconds, at least the resolution of timers."""
        initial = request_class.latency_objective * INITIAL_LATENCY_RATIO
        return max(self.mean_latencies.get(request_class.name, initial), self.timer_resolution)

    def slowest_mean_latency(self) -> float:
        """Return the mean latency in seconds of the slowest class that had a response.

        Without any response, return the longest latency objective.
        """
        return max(self.mean_latencies.values(), default=self.longest_objective)

    def mean_attempt_duration(self) -> float:
        """Return the mean time in seconds for which an attempt of the slowest class is open."""
        return max(map(self.mean_latency, self.classes))

    def record_latency(self, request_class: RequestClass, latency: float) -> None:
        """Add the latency of one response in seconds, capped at the latency objective."""
        name = request_class.name
        mean = self.mean_latencies.setdefault(name, latency)
        counted = min(latency, request_class.latency_objective)
        self.mean_latencies[name] = mean + SLOW_SAMPLE_WEIGHT * (counted - mean)

    def record_units(self, units: float) -> None:
        """Add the quota units of one request to the mean."""
        self.mean_units += (units - self.mean_units) * SLOW_SAMPLE_WEIGHT

    def relative_work(self, request_class: RequestClass, units: float) -> float:
        """Estimate the work that a request causes, in mean requests.

        The work is proportional to the mean latency of the request's class and to its units.
        """
        latencies = [max(mean, self.timer_resolution) for mean in self.mean_latencies.values()]
        if not latencies:
            latencies = [self.mean_latency(request_class)]
        return (
            self.mean_latency(request_class) * len(latencies) / sum(latencies) * units / max(self.mean_units, MIN_UNITS)
        )
