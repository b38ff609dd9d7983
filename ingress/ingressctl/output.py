"""Output and exit statuses of all commands: consoles, log and tables."""

from __future__ import annotations

import logging
import sys
from collections import Counter
from enum import IntEnum
from typing import Any, NoReturn

import click
import structlog
from rich.console import Console
from rich.table import Table

from ingress.emulator.compare import METRICS

out = Console()
err = Console(stderr=True)
log = structlog.get_logger()


class Status(IntEnum):
    """Exit statuses other than 0, which is success."""

    RULE_BROKEN = 1
    INVALID_INPUT = 2
    FAILED = 3
    INTERRUPTED = 130


def exit_with_error(status: Status, *lines: str) -> NoReturn:
    """Print lines on standard error and exit."""
    for line in lines:
        err.print(line, markup=False, highlight=False, soft_wrap=True)
    sys.exit(status)


def configure_log(as_json: bool) -> None:
    """Write the log to standard error, as readable lines or as JSON."""
    renderer: Any = structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def show_metrics(columns: dict[str, dict[str, float]]) -> None:
    """Print a table of metrics with one column per run or version."""
    table = Table("metric", *columns, "meaning")
    for key, (meaning, _) in METRICS.items():
        table.add_row(key, *(f"{column[key]:.4g}" for column in columns.values()), meaning)
    out.print(table)


def show_violations(broken: Counter[str]) -> None:
    """Print how often each rule was violated."""
    for rule, count in sorted(broken.items()):
        click.echo(f"broken: {rule}, {count} times")
