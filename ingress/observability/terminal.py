"""Format the summary of a fleet as tables for a terminal."""

from __future__ import annotations

from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

SHOWN_PREFIXES = ("app.results.", "app.turned_down.")
SHOWN_NAMES = ("app.forwards", "app.handshakes", "app.ejections", "app.probes")
MAX_LINES = 20  # per list of ingresses; `--json` prints more
NAMED_LISTS = ("unwell", "outliers")


def render(summary: dict[str, Any]) -> Group:
    """Return tables and lines of text that show a summary from `summarize`."""
    states = ", ".join(f"{count} {state}" for state, count in summary["ingresses"].items() if count)
    rates = Table("metric", "per second", "since process start", title="totals of all ingresses that answered")
    for name, rate in summary["rates"].items():
        if name.startswith(SHOWN_PREFIXES) or name in SHOWN_NAMES:
            rates.add_row(name, f"{rate:.1f}", f"{summary['totals'].get(name, 0):.0f}")
    spread = Table("metric", "min", "median", "max", title="distribution across ingresses")
    for name, row in summary["spread"].items():
        spread.add_row(name, *(f"{row[key]:.4g}" for key in ("least", "median", "most")))
    lines = [f"{one['ingress']}: {one['state']}: {one['why']}" for one in summary["unwell"][:MAX_LINES]]
    lines += [
        f"{one['ingress']}: {one['figure']} is {one['value']:.4g}, the median is {one['median']:.4g}"
        for one in summary["outliers"][:MAX_LINES]
    ]
    omitted = sum(max(0, len(summary[key]) - MAX_LINES) + summary[f"{key}_left_out"] for key in NAMED_LISTS)
    lines += [f"and {omitted} more"] if omitted else []
    return Group(Text(f"{states}; {summary['restarts']} restarts detected"), rates, spread, *map(Text, lines))
