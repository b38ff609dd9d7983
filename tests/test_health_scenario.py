"""Endpoint health in a scenario of many gateways with fixed seeds; docs/design.md has a table of the results."""

from __future__ import annotations

import pytest

from .fleet_scenario import Fault, FleetScenario, instant_errors, one_in_five, refusing, silent, slow

START, END, LENGTH = 5.0, 25.0, 32.0
MAX_CHECKS_PER_SECOND = 2.0  # of one endpoint by all gateways, at the settings' health check cost of 0.01

# The share of attempts that went to faulty endpoints under the previous rules, at the same seeds, in percent.
PREVIOUS_PERCENT: dict[Fault, dict[int, float]] = {
    instant_errors: {10: 12.5, 50: 8.8, 200: 9.1},
    one_in_five: {10: 18.0, 50: 12.3, 200: 13.1},
    silent: {10: 7.8, 50: 6.0, 200: 5.3},
    refusing: {10: 10.0, 50: 7.4, 200: 7.4},
    slow: {10: 10.4, 50: 7.2, 200: 7.4},
}
# The share of faulty endpoints among the preferred ones under the previous rules, by fleet size.  Each gateway then
# chose its subset independently, so the share at 50 was by chance less than the 0.14 of all endpoints that are faulty.
PREVIOUS_FAULTY_PREFERRED_FRACTION = {10: 0.2, 50: 0.125, 200: 0.1263}


@pytest.mark.parametrize(
    ("fault", "size"),
    [*((fault, size) for fault in PREVIOUS_PERCENT for size in (10, 50)), (instant_errors, 200), (silent, 200)],
    ids=lambda value: value if isinstance(value, int) else value.__name__,
)
def test_faulty_endpoints_get_fewer_attempts_than_before_and_no_healthy_one_is_ejected(fault: Fault, size: int) -> None:
    scenario = FleetScenario(size, fault, seed=1, start=START, end=END, length=LENGTH)
    report = scenario.run()
    assert report.wrong_ejections == 0
    assert report.served > 0.98 * report.requests
    faulty_percent = 100 * report.attempts_at_faulty / report.attempts_during_fault
    preferred_is_faulty = [
        endpoint.info.id in scenario.faulty_ids
        for gateway in scenario.gateways
        for endpoint in gateway.cluster.endpoints.preferred
    ]
    # The previous share is scaled to the share of faulty endpoints among those preferred now.
    previous_percent = PREVIOUS_PERCENT[fault][size] * sum(preferred_is_faulty) / len(preferred_is_faulty)
    previous_percent /= PREVIOUS_FAULTY_PREFERRED_FRACTION[size]
    # A failure of one request in five is detected only after some dozen requests, so there the result is only no worse.
    assert faulty_percent <= (1.0 if fault is one_in_five else 0.96) * previous_percent
    # The tolerance for chance is a quarter.
    assert max(report.health_checks.values(), default=0) <= 1.25 * MAX_CHECKS_PER_SECOND * (END - START)
    # Endpoints that recovered served requests again before the run ended.
    assert report.recovery_delays and max(report.recovery_delays) < LENGTH + 5.0 - END
