"""Golden files of the second address: what each call answers."""

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
from tests.test_golden import OTHER, ROW, in_folder, process
from tests.test_net_control import ADMIN_LISTEN, admin_call
from tests.test_net_ingress import running_ingress

LINES = (b"ready", b"show-stat", b"drain", b"resume", b"revert", b"show-members", b"show-config", b"colour", b"")


def of_running_ingress() -> bytes:
    """The answers of an ingress that has served a request, without their numbers and its digest."""
    answers = []

    async def body() -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with fake_endpoint() as peer:
                kept = {"folder": folder, "every_s": 1000}
                settings = config(endpoint_entry(peer.address), control=ADMIN_LISTEN, checkpoint=kept)
                async with running_ingress(settings) as (served, address):
                    caller = await RespClient.connect(address)
                    assert await caller.request(command("one")) == b"one"
                    answers.extend([(line, await admin_call(served, line)) for line in LINES])
                    assert served.checkpoint_writer is not None
                    await served.checkpoint_writer.close(clean=False)

    run_async(body())
    text = "".join(f"> {line.decode()}\n{answer}" for line, answer in answers)
    text = re.sub(r"(?m)^(digest|since): .*$", r"\1:", text)
    text = re.sub(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", "TIME", text)
    return re.sub(r"(?m)^(app\..*:)-?\d+\|", r"\1|", text).encode()


def figures() -> bytes:
    """Each kind of figure."""
    found = Metrics(["read", "order"])
    for end in (RequestResult.SUCCEEDED, RequestResult.DECLINED, RequestResult.ABORTED, RequestResult.DECLINED):
        found.record_received()
        found.record_result("read", end)
    found.record_received()
    found.record_rejection("quota")
    found.record_rejection("")
    found.attempts_sent = 7
    return "\n".join(found.lines(12, 3, {"health.healthy": 9, "accepted": 4, "tls.resumed": 5})).encode()


async def members(folder: Path) -> bytes:
    silent = replace(OTHER, name="1-2", order=3, sent_at=698.25, build="")
    group, _ = process(folder, ROW, [replace(OTHER, ending=True), silent])
    targets = MagicMock(group=group)
    with patch.object(admin_commands, "monotonic", lambda: 700.5):
        answer = AdminCommands(targets).answer("show-members")
    assert isinstance(answer, str)
    return answer.encode()


def generations() -> bytes:
    """Of one configuration, then of another, of a refusal, and of the way back."""
    first = load_config(str(GOLDEN / "config.json"))
    second = with_shared_document(first, dict(first.document) | {"limits": {"cores": 2.0, "sockets": 256}})
    with patch("time.time", lambda: 1_700_000_000.5):
        found = ConfigVersions(first)
        texts = [found.lines()]
        found.accept(second, "SIGHUP")
        found.record_rejection("SIGHUP", "listen: can't change in a running process")
        texts.append(found.lines())
        found.accept(first, "revert", is_revert=True)
        texts.append(found.lines())
    return "\n".join(line for text in texts for line in text).encode()


def control_files() -> Iterator[tuple[str, bytes]]:
    yield "control-live.txt", of_running_ingress()
    yield "control-figures.txt", figures()
    yield "control-members.txt", in_folder(members)
    yield "control-generations.txt", generations()


def test_answers_at_the_second_address() -> None:
    for name, data in control_files():
        assert data == golden(name), name
