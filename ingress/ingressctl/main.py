"""The command group, and the commands that run an ingress and check files."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from ingress.ingressctl.experiments import emulate, experiment, read_experiment, report
from ingress.ingressctl.fleet import exporter, fleet
from ingress.ingressctl.logs import explain, quotas
from ingress.ingressctl.measurements import load, power, recovery, upgrades
from ingress.ingressctl.output import Status, configure_log, exit_with_error

EPILOG = """Status: 0 success, 1 a rule was violated, 2 invalid input, 3 a run or measurement failed, 130 interrupted
(results measured so far are kept)."""


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log-json", is_flag=True, help="Write the log to standard error as JSON lines.")
def main(log_json: bool) -> None:
    r"""Run an ingress, emulate fleets of ingresses under faults, and monitor fleets.

    \b
    To get started:
      ingressctl check experiments/zone.toml       check the file
      ingressctl emulate experiments/zone.toml     one run in simulated time
      ingressctl experiment experiments/zone.toml  all seeds and versions, with a report
    """
    configure_log(log_json)


@click.command()
@click.argument("config", type=click.Path(path_type=Path, exists=True, dir_okay=False))
def run(config: Path) -> None:
    """Run one ingress with CONFIG, a JSON file as the platform writes it.

    The ingress replaces this process: SIGHUP reloads the file, SIGTERM drains and stops the ingress.
    """
    os.execve(sys.executable, [sys.executable, "-m", "ingress"], os.environ | {"EDGE_CONFIG": str(config)})


@click.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
def check(file: Path) -> None:
    """Check FILE, an ingress configuration (.json) or an experiment (.toml), and list every fault with its key."""
    if file.suffix == ".json":
        from ingress.configuration.document import ConfigError, load_config

        try:
            for key in load_config(str(file)).unknown_keys:
                click.echo(f"{key}: unknown, ignored")
        except ConfigError as error:
            exit_with_error(Status.INVALID_INPUT, *error.faults)
        return
    experiment = read_experiment(file)
    medium = "real sockets" if experiment.sockets else "simulated time"
    click.echo(
        f"{experiment.name}: {len(experiment.seeds)} seed(s), {len(experiment.versions)} version(s), "
        f"{experiment.seconds:g} s of {medium}, {len(experiment.faults)} fault(s)"
    )


for command in (
    run,
    check,
    emulate,
    experiment,
    report,
    load,
    upgrades,
    power,
    recovery,
    fleet,
    exporter,
    explain,
    quotas,
):
    main.add_command(command)
