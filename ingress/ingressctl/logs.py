"""Commands that report on the logs of many ingresses."""

from __future__ import annotations

import json
from pathlib import Path

import click

from ingress.ingressctl.output import Status, exit_with_error
from ingress.observability.request_log import MAX_REQUESTS, TooManyRequestsError


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--since", type=float, default=float("-inf"), help="Unix time in seconds; earlier lines are ignored.")
@click.option("--until", type=float, default=float("inf"), help="Unix time in seconds; lines from then on are ignored.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def explain(logs: tuple[Path, ...], since: float, until: float, as_json: bool) -> None:
    """Report on the JSON logs LOGS of any number of ingresses: files, or folders with *.log* files.

    Lists the servers and ingresses whose values are outliers, with example lines. Logs written with EDGE_LOG=requests
    give the most complete report. Each file belongs to the ingress named by the file name up to its first dot, so that
    rotated and compressed (.gz) files of an ingress are read as one log.
    """
    from ingress.observability.log_report import as_text, report_on

    if not since < until:
        exit_with_error(Status.INVALID_INPUT, "--since must be earlier than --until")
    try:
        result = report_on(logs, since, until)
    except FileNotFoundError as error:
        exit_with_error(Status.INVALID_INPUT, str(error))
    click.echo(json.dumps(result) if as_json else "\n".join(as_text(result)))
    if result["window"] is None:
        exit_with_error(
            Status.INVALID_INPUT,
            "the logs contain no valid line in the time window; they must be written with EDGE_LOG=json or requests",
        )


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--settings",
    "config",
    required=True,
    type=click.Path(path_type=Path),
    help="Configuration file of an ingress (EDGE_CONFIG), for its plans and classes.",
)
@click.option(
    "--most-requests",
    type=click.IntRange(1),
    default=MAX_REQUESTS,
    show_default=True,
    help="Fail if the logs contain more requests, all of which are kept in memory.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def quotas(logs: tuple[Path, ...], config: Path, most_requests: int, as_json: bool) -> None:
    """Report the units that a fleet forwarded over its customers' quotas, from the JSON logs LOGS of its ingresses.

    Lists the units by plan and by customer, with the number of ingresses involved, and separates the first request of
    a customer at an ingress since the start of its process from later ones. The logs must be written with
    EDGE_LOG=requests. Memory use grows with the logs, because requests are sorted by time. Files and folders are given
    as for explain.
    """
    from ingress.configuration.document import ConfigError, load_config
    from ingress.observability.quota_replay import report_on_quotas
    from ingress.observability.quota_text import as_text

    try:
        result = report_on_quotas(logs, load_config(str(config)).settings, most_requests)
    except ConfigError as error:
        exit_with_error(Status.INVALID_INPUT, f"--settings: {config}: {error}")
    except (OSError, TooManyRequestsError) as error:
        exit_with_error(Status.INVALID_INPUT, str(error))
    click.echo(json.dumps(result.as_plain_data()) if as_json else "\n".join(as_text(result)))
    if not result.requests:
        exit_with_error(
            Status.INVALID_INPUT,
            "the logs contain no request with a plan and class of --settings; "
            "they must be written with EDGE_LOG=requests",
        )
