"""Commands that monitor a fleet through the second addresses of its ingresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from rich.live import Live

from ingress.ingressctl.output import Status, exit_with_error, log, out
from ingress.observability.poller import AddressFile, AddressListError, Poller, read_addresses


def _fleet_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that all commands that poll a fleet share."""
    for option in (
        click.option(
            "--rate",
            type=click.FloatRange(1, 100_000),
            default=500.0,
            show_default=True,
            help="Maximum calls per second, to all ingresses together.",
        ),
        click.option(
            "--timeout",
            type=click.FloatRange(0.01, 60),
            default=1.0,
            show_default=True,
            help="Seconds within which an ingress must answer.",
        ),
        click.option(
            "--every",
            type=click.FloatRange(0.1, 3600),
            default=2.0,
            show_default=True,
            help="Seconds from the start of one poll to the next.",
        ),
        click.option(
            "--from",
            "file",
            type=click.Path(path_type=Path, dir_okay=False),
            metavar="FILE",
            help="File of second addresses, one HOST:PORT per line; read again when it changes.",
        ),
        click.argument("addresses", nargs=-1),
    ):
        command = option(command)
    return command


def _poller(addresses: tuple[str, ...], file: Path | None, timeout: float, rate: float) -> Poller:
    """Return a poller of the given addresses; those of a file are set when it is first read.

    Raises:
        AddressListError: An address is invalid, or not exactly one of addresses and file is given.
    """
    if bool(addresses) is bool(file):
        raise AddressListError("pass either ADDRESSES or --from FILE (exactly one of them)")
    poller = Poller(timeout, rate)
    if addresses:
        poller.set_addresses(read_addresses("\n".join(addresses), "ADDRESSES"))
    return poller


def _warn_address_file_unreadable(reason: str) -> None:
    log.warning("could not read the address file; polling the previous addresses", why=reason)


@click.command()
@_fleet_options
@click.option("--looks", type=click.IntRange(1), help="Exit after this many polls.")
@click.option("--json", "as_json", is_flag=True, help="Print the summary of each poll as one line of JSON.")
def fleet(
    addresses: tuple[str, ...],
    file: Path | None,
    every: float,
    timeout: float,
    rate: float,
    looks: int | None,
    as_json: bool,
) -> None:
    """Show summarized metrics of all ingresses of a fleet, polled at their second addresses ADDRESSES (HOST:PORT).

    An ingress that doesn't answer, is unreachable or gives an invalid answer is listed, and delays no other.
    """
    from ingress.observability.polling_loop import PollingPlan, poll_repeatedly
    from ingress.observability.terminal import render

    live = Live(console=out, auto_refresh=False) if out.is_terminal and not as_json and looks != 1 else None

    def show(summary: dict[str, Any]) -> None:
        if as_json:
            click.echo(json.dumps(summary))
        elif live is not None:
            live.update(render(summary), refresh=True)
        else:
            out.print(render(summary))

    try:
        poller = _poller(addresses, file, timeout, rate)
        plan = PollingPlan(AddressFile(file) if file else None, every, looks)
        with live or contextlib.nullcontext():
            asyncio.run(poll_repeatedly(poller, plan, show, _warn_address_file_unreadable))
    except AddressListError as error:
        exit_with_error(Status.INVALID_INPUT, str(error))
    except BrokenPipeError:
        os.dup2(
            os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno()
        )  # the reader has closed the pipe: discard the rest
    except KeyboardInterrupt:
        sys.exit(Status.INTERRUPTED)


def _log_scrape_address(host: str, port: int) -> None:
    log.info("serving metrics", address=f"http://{host}:{port}/metrics")


@click.command()
@_fleet_options
@click.option(
    "--listen", default="127.0.0.1:9464", show_default=True, metavar="HOST:PORT", help="Address to serve /metrics on."
)
def exporter(
    addresses: tuple[str, ...], file: Path | None, every: float, timeout: float, rate: float, listen: str
) -> None:
    """Serve the metrics of a fleet in OpenMetrics format, polled at the second addresses ADDRESSES (HOST:PORT)."""
    from ingress.observability.exporter import export
    from ingress.observability.polling_loop import PollingPlan

    try:
        [(host, port)] = read_addresses(listen, "--listen")
        poller = _poller(addresses, file, timeout, rate)
        plan = PollingPlan(AddressFile(file) if file else None, every)
        asyncio.run(export(poller, plan, (host, port), _log_scrape_address, _warn_address_file_unreadable))
    except AddressListError as error:
        exit_with_error(Status.INVALID_INPUT, str(error))
    except OSError as error:
        exit_with_error(Status.INVALID_INPUT, f"--listen: {listen}: {error.strerror or error}")
    except KeyboardInterrupt:
        sys.exit(Status.INTERRUPTED)
