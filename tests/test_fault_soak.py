"""A short run of the fault soak; the long one is started by hand (`python -m tests.fault_soak 1 50`)."""

from __future__ import annotations

import uvloop

from tests.fault_soak import run_seeds

SEEDS = 9


def test_a_short_soak_breaks_no_rule() -> None:
    findings = uvloop.run(run_seeds(1, SEEDS))
    assert len(findings) == SEEDS
    assert not {seed: one.faults for seed, one in findings.items() if one.faults}
