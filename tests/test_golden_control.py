"""Golden files of the second address: the answer to each command."""

from __future__ import annotations

import re
import tempfile
from collections.abc import Iterator
from pathlib import Path
from unittest.mock import MagicMock, patch

from msgspec.structs import replace

from ingress.admin import admin_commands
from ingress.admin.admin_commands import AdminCommands
from ingress.configuration.document import load_config, with_shared_document
from ingress.configuration.versions import ConfigVersions
from ingress.runtime.metrics import Metrics, RequestResult
from tests.golden_files import GOLDEN, golden
from tests.peers import RespClient, command, config, endpoint_entry, fake_endpoint, run_async
from tests.test_golden import MEMBER, OTHER_MEMBER, process_group_of, run_in_folder
from tests.test_net_control import ADMIN_LISTEN, admin_call
from tests.test_net_ingress import running_ingress

# The metrics that have been added since the golden files were written; in the order of the answer to `show-stat`.
ADDED_METRICS = (
    "app.customers:|g",
    "app.malformed:|c",
    "app.deferred:|c",
    "app.closed.malformed:|c",
    "app.closed.overdue:|c",
    "app.closed.memory:|c",
    "app.closed.stalled:|c",
    "app.closed.idle:|c",
    "app.closed.drained:|c",
    "app.resident.bytes:|g",
    "app.resident.limit:|g",
)
COMMANDS = (b"ready", b"show-stat", b"drain", b"resume", b"revert", b"show-members", b"show-config", b"colour", b"")


def answers_of_running_ingress() -> bytes:
    """Return the answers of an ingress that has served a request, without numbers, times and the digest."""
    answers = []

    async def body() -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with fake_endpoint() as peer:
                kept = {"folder": folder, "every_s": 1000}
                settings = config(endpoint_entry(peer.address), control=ADMIN_LISTEN, checkpoint=kept)
                async with running_ingress(settings) as (served, address):
                    caller = await RespClient.connect(address)
                    assert await caller.request(command("one")) == b"one"
                    answers.extend([(line, await admin_call(served, line)) for line in COMMANDS])
                    assert served.checkpoint_writer is not None
                    await served.checkpoint_writer.close(clean=False)

    run_async(body())
    text = "".join(f"> {line.decode()}\n{answer}" for line, answer in answers)
    text = re.sub(r"(?m)^(digest|since): .*$", r"\1:", text)
    text = re.sub(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", "TIME", text)
    return without_added_metrics(re.sub(r"(?m)^(app\..*:)-?\d+\|", r"\1|", text)).encode()


def without_added_metrics(text: str) -> str:
    """Return the text without ADDED_METRICS, which have to be in it, in their order and once."""
    lines = text.splitlines()
    assert [line for line in lines if line in ADDED_METRICS] == list(ADDED_METRICS)
    return "".join(f"{line}\n" for line in lines if line not in ADDED_METRICS)


def metric_lines() -> bytes:
    """Return lines with each kind of metric."""
    metrics = Metrics(["read", "order"])
    for result in (RequestResult.SUCCEEDED, RequestResult.DECLINED, RequestResult.ABORTED, RequestResult.DECLINED):
        metrics.record_received()
        metrics.record_result("read", result)
    metrics.record_received()
    metrics.record_rejection("quota")
    metrics.record_rejection("")
    metrics.attempts_sent = 7
    return "\n".join(metrics.lines(12, 3, {"health.healthy": 9, "accepted": 4, "tls.resumed": 5})).encode()


async def member_lines(folder: Path) -> bytes:
    silent = replace(OTHER_MEMBER, name="1-2", order=3, sent_at=698.25, build="")
    group, _ = process_group_of(folder, MEMBER, [replace(OTHER_MEMBER, ending=True), silent])
    targets = MagicMock(group=group)
    with patch.object(admin_commands, "monotonic", lambda: 700.5):
        answer = AdminCommands(targets).answer("show-members")
    assert isinstance(answer, str)
    return answer.encode()


def config_version_lines() -> bytes:
    """Return the lines after the first configuration, after another and a rejected one, and after a revert."""
    first = load_config(str(GOLDEN / "config.json"))
    second = with_shared_document(first, dict(first.document) | {"limits": {"cores": 2.0, "sockets": 256}})
    with patch("time.time", lambda: 1_700_000_000.5):
        versions = ConfigVersions(first)
        texts = [versions.lines()]
        versions.accept(second, "SIGHUP")
        versions.record_rejection("SIGHUP", "listen: can't change in a running process")
        texts.append(versions.lines())
        versions.accept(first, "revert", is_revert=True)
        texts.append(versions.lines())
    return "\n".join(line for text in texts for line in text).encode()


def control_files() -> Iterator[tuple[str, bytes]]:
    yield "control-live.txt", answers_of_running_ingress()
    yield "control-figures.txt", metric_lines()
    yield "control-members.txt", run_in_folder(member_lines)
    yield "control-generations.txt", config_version_lines()


def test_answers_at_the_second_address() -> None:
    for name, data in control_files():
        assert data == golden(name), name
