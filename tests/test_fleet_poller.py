"""Tests of polling the second addresses of many ingresses, and of the summary of a poll."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ingress.observability.poller import (
    MAX_ANSWER_BYTES,
    AddressFile,
    AddressListError,
    MalformedAnswerError,
    PolledIngress,
    Poller,
    PollState,
    parse_metrics,
    read_addresses,
)
from ingress.observability.polling_loop import PollingPlan, poll_repeatedly
from ingress.observability.summary import outliers, summarize
from ingress.observability.terminal import render

from .peers import (
    Address,
    Peer,
    RespClient,
    Writer,
    command,
    config,
    endpoint_entry,
    fake_endpoint,
    run_async,
    wait_until,
)
from .peers import Reader as Stream
from .test_net_control import ADMIN_LISTEN
from .test_net_ingress import running_ingress


def stat_answer(served: int, refused: int = 0, failed: int = 0, **gauges: int) -> str:
    return "\n".join(
        [
            f"app.results.read.succeeded:{served}|c",
            f"app.results.read.declined:{refused}|c",
            f"app.results.read.aborted:{failed}|c",
            f"app.forwards:{served + failed}|c",
            *(f"app.{name.replace('__', '.')}:{value}|g" for name, value in gauges.items()),
            "eof",
            "",
        ]
    )


def polled_ingress(*answers: tuple[float, str], name: str = "127.0.0.1", port: int = 1) -> PolledIngress:
    one = PolledIngress((name, port))
    for at, text in answers:
        one.apply_answer(text, at)
        one.state = PollState.OK
    return one


@pytest.mark.parametrize(
    "text",
    [
        "",
        "eof x",
        "app.x:1|c",
        "app.x:1|c\neof\nmore",
        "app.x:one|c\neof",
        "app.x:nan|g\neof",
        "app.x:inf|g\neof",
        "app.x:-1|c\neof",
        "app.x:1|h\neof",
        ":1|c\neof",
        "app.x\neof",
        "app.x:1|c\napp.x:2|c\neof",
        "fail unknown call",
    ],
)
def test_a_malformed_answer_is_rejected_entirely(text: str) -> None:
    with pytest.raises(MalformedAnswerError):
        parse_metrics(text)


@given(st.text(max_size=200))
def test_any_answer_is_parsed_or_rejected(text: str) -> None:
    try:
        metrics = parse_metrics(text)
    except MalformedAnswerError:
        return
    assert metrics.counters <= metrics.values.keys()


def test_a_restarted_counter_gives_no_negative_rate() -> None:
    one = polled_ingress((0.0, stat_answer(1000)), (10.0, stat_answer(1100)))
    assert (one.rates["app.results.read.succeeded"], one.restarts) == (10.0, 0)
    one.apply_answer(stat_answer(50), 20.0)  # another process, which has counted 50 since its start
    assert (one.rates["app.results.read.succeeded"], one.restarts) == (5.0, 1)
    one.apply_answer(stat_answer(50), 30.0)
    assert set(one.rates.values()) == {0.0} and one.restarts == 1


def test_counters_of_two_processes_of_one_ingress_are_added_up_and_their_list_size_is_not() -> None:
    old = polled_ingress((0.0, stat_answer(100, outstanding=3)), (2.0, stat_answer(110, outstanding=2, discovered=60)))
    new = polled_ingress(
        (0.0, stat_answer(0, outstanding=0)), (2.0, stat_answer(90, outstanding=5, discovered=60)), port=2
    )
    summary = summarize([old, new], 0.0)
    assert summary["rates"]["app.results.read.succeeded"] == 50.0
    assert summary["totals"]["app.results.read.succeeded"] == 200 and summary["totals"]["app.outstanding"] == 7
    assert summary["spread"]["discovered"] == {"least": 60, "median": 60, "most": 60}
    assert "app.discovered" not in summary["totals"]


def test_an_outlier_is_found_and_none_among_similar_ingresses() -> None:
    def fleet(odd: str) -> list[PolledIngress]:
        return [
            polled_ingress(
                (0.0, stat_answer(0, list__version=9)),
                (10.0, odd if n == 7 else stat_answer(1000 + n * 10, 50 + n, list__version=9)),
                port=n + 1,
            )
            for n in range(20)
        ]

    assert summarize(fleet(stat_answer(1070, 57, list__version=9)), 0.0)["outliers"] == []
    found = summarize(fleet(stat_answer(700, 57, 400, list__version=2)), 0.0)["outliers"]
    assert {one["ingress"] for one in found} == {"127.0.0.1:8"}
    assert {"aborted_share", "list.version"} <= {one["figure"] for one in found}
    assert outliers({"a": 1.0, "b": 1.0, "c": 50.0}) == {}  # too few values to compare


def test_an_invalid_address_is_reported_with_its_line() -> None:
    assert read_addresses("a:1\n\n# all\nb:2 # one\na:1\n", "f") == [("a", 1), ("b", 2)]
    for text, place in (
        ("a:1\nb", "f:2"),
        ("a:0", "f:1"),
        ("a:70000", "f:1"),
        (":1", "f:1"),
        ("a:x", "f:1"),
        ("#", "f"),
    ):
        with pytest.raises(AddressListError, match=f"^{place}: "):
            read_addresses(text, "f")


def scripted_peer(text: str | None) -> Peer:
    """Return a peer that answers `text` and closes the connection, or never answers if `text` is None."""

    async def script(_: int, reader: Stream, writer: Writer) -> None:
        await reader.readline()
        if text is None:
            await reader.read()
        else:
            writer.write(text.encode())
            await writer.drain()

    return Peer(script)


def test_unresponsive_unreachable_and_malformed_ingresses_delay_no_other() -> None:
    async def body() -> None:
        async with (
            scripted_peer(stat_answer(5)) as well,
            scripted_peer(None) as silent,
            scripted_peer("hello\n") as odd,
            scripted_peer("x" * (3 * MAX_ANSWER_BYTES)) as endless,
        ):
            poller = Poller(2.0, 10_000.0)
            poller.set_addresses(
                [well.address, silent.address, odd.address, endless.address, ("127.0.0.1", 1), ("..", 2)]
            )
            await poller.poll()
            states = [one.state for one in poller.ingresses.values()]
            assert states == [
                PollState.OK,
                PollState.UNRESPONSIVE,
                PollState.MALFORMED,
                PollState.MALFORMED,
                PollState.UNREACHABLE,
                PollState.UNREACHABLE,
            ]
            summary = summarize(poller.ingresses.values(), 0.0)
            assert summary["ingresses"] | {"new": 0} == summary["ingresses"] and summary["ingresses"]["silent"] == 1
            assert [one["state"] for one in summary["unwell"]] == [
                "silent",
                "nonsense",
                "nonsense",
                "refused",
                "refused",
            ]
            assert json.loads(json.dumps(summary)) == summary and render(summary).renderables

    run_async(body())


def test_a_poll_does_not_wait_for_ingresses_that_were_unresponsive(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ingress.observability.poller.MAX_UNRESPONSIVE_CALLS", 1)

    async def body() -> None:
        async with scripted_peer(stat_answer(5)) as well, scripted_peer(None) as one, scripted_peer(None) as other:
            poller = Poller(2.0, 10_000.0)
            poller.set_addresses([one.address, other.address, well.address])
            await poller.poll()
            assert [found.state for found in poller.ingresses.values()] == [
                PollState.UNRESPONSIVE,
                PollState.UNRESPONSIVE,
                PollState.OK,
            ]
            poller.timeout = 3600.0  # a poll that waits for an unresponsive ingress would not end
            for polls in range(3):
                await poller.poll()
                assert well.connections == polls + 2
            assert len(poller.calls) == 2  # one at a time, and none is called twice
            await wait_until(lambda: one.connections == 2)
            assert other.connections == 1
            await poller.close()
            assert not poller.calls

    run_async(body())


def test_totals_equal_the_counts_of_a_real_ingress() -> None:
    async def body() -> None:
        async with (
            fake_endpoint() as peer,
            running_ingress(config(endpoint_entry(peer.address), control=ADMIN_LISTEN)) as (served, address),
        ):
            assert served.admin_server is not None
            second: Address = served.admin_server.listening_socket.getsockname()
            summaries: list[dict[str, Any]] = []
            poller = Poller(2.0, 100.0)
            poller.set_addresses([second])
            await poll_repeatedly(poller, PollingPlan(None, 0.01, 1), summaries.append, pytest.fail)
            caller = await RespClient.connect(address)
            for n in range(20):
                assert await caller.request(command(f"{n:016x}")) == b"%016x" % n
            await poll_repeatedly(poller, PollingPlan(None, 0.01, 1), summaries.append, pytest.fail)
            assert summaries[1]["totals"]["app.results.read.succeeded"] == 20 == summaries[1]["totals"]["app.forwards"]
            assert summaries[1]["rates"]["app.results.read.succeeded"] > 0

    run_async(body())


def test_a_changed_file_is_read_again_and_an_invalid_one_is_ignored(tmp_path: Path) -> None:
    async def body() -> None:
        path = tmp_path / "fleet"
        summaries: list[dict[str, Any]] = []
        warnings: list[str] = []
        path.write_text("127.0.0.1:1\n", encoding="utf-8")
        poller = Poller(1.0, 1000.0)
        file = AddressFile(path)
        await poll_repeatedly(poller, PollingPlan(file, 0.0, 2), summaries.append, warnings.append)
        path.write_text("127.0.0.1:1\n127.0.0.1:2 # more\n", encoding="utf-8")
        await poll_repeatedly(poller, PollingPlan(file, 0.0, 1), summaries.append, warnings.append)
        path.write_text("127.0.0.1:1\nno address\n", encoding="utf-8")
        await poll_repeatedly(poller, PollingPlan(file, 0.0, 3), summaries.append, warnings.append)
        assert [summary["ingresses"]["refused"] for summary in summaries] == [1, 1, 2, 2, 2, 2]
        assert len(warnings) == 1 and "fleet:2" in warnings[0]
        with pytest.raises(AddressListError):
            await poll_repeatedly(
                Poller(1.0, 1000.0),
                PollingPlan(AddressFile(tmp_path / "none"), 0.0, 1),
                summaries.append,
                warnings.append,
            )

    run_async(body())


def run_fleet(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ingress.ingressctl", "fleet", *words], capture_output=True, text=True, check=False
    )


def test_fleet_command_prints_a_json_line_and_rejects_invalid_input() -> None:
    done = run_fleet("127.0.0.1:1", "--looks", "1", "--json")
    assert done.returncode == 0 and json.loads(done.stdout)["ingresses"]["refused"] == 1
    shown = run_fleet("127.0.0.1:1", "--looks", "1")
    assert shown.returncode == 0 and "1 refused" in shown.stdout and "127.0.0.1:1" in shown.stdout
    for words in (
        (),
        ("nowhere",),
        ("127.0.0.1:1", "--from", "x"),
        ("--from", "/nonexistent"),
        ("127.0.0.1:1", "--every", "0"),
    ):
        bad = run_fleet(*words)
        assert bad.returncode == 2 and bad.stderr and "Traceback" not in bad.stderr
