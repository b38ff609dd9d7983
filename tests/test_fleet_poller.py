"""What is read from the second addresses of many ingresses, and what is made of it."""

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


def answer(served: int, refused: int = 0, failed: int = 0, **gauges: int) -> str:
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


def ingress(*answers: tuple[float, str], name: str = "127.0.0.1", port: int = 1) -> PolledIngress:
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
def test_an_answer_that_makes_no_sense_is_refused_whole(text: str) -> None:
    with pytest.raises(MalformedAnswerError):
        parse_metrics(text)


@given(st.text(max_size=200))
def test_any_answer_is_read_or_refused(text: str) -> None:
    try:
        metrics = parse_metrics(text)
    except MalformedAnswerError:
        return
    assert metrics.counters <= metrics.values.keys()


def test_a_counter_that_starts_again_gives_no_negative_rate() -> None:
    one = ingress((0.0, answer(1000)), (10.0, answer(1100)))
    assert (one.rates["app.results.read.succeeded"], one.restarts) == (10.0, 0)
    one.apply_answer(answer(50), 20.0)  # another process: these came since
    assert (one.rates["app.results.read.succeeded"], one.restarts) == (5.0, 1)
    one.apply_answer(answer(50), 30.0)
    assert set(one.rates.values()) == {0.0} and one.restarts == 1


def test_two_processes_of_one_ingress_add_up_and_their_list_does_not() -> None:
    old = ingress((0.0, answer(100, outstanding=3)), (2.0, answer(110, outstanding=2, discovered=60)))
    new = ingress((0.0, answer(0, outstanding=0)), (2.0, answer(90, outstanding=5, discovered=60)), port=2)
    look = summarize([old, new], 0.0)
    assert look["rates"]["app.results.read.succeeded"] == 50.0
    assert look["totals"]["app.results.read.succeeded"] == 200 and look["totals"]["app.outstanding"] == 7
    assert look["spread"]["discovered"] == {"least": 60, "median": 60, "most": 60}
    assert "app.discovered" not in look["totals"]


def test_one_that_stands_out_is_named_and_none_where_all_are_alike() -> None:
    def fleet(odd: str) -> list[PolledIngress]:
        return [
            ingress(
                (0.0, answer(0, list__version=9)),
                (10.0, odd if n == 7 else answer(1000 + n * 10, 50 + n, list__version=9)),
                port=n + 1,
            )
            for n in range(20)
        ]

    assert summarize(fleet(answer(1070, 57, list__version=9)), 0.0)["outliers"] == []
    found = summarize(fleet(answer(700, 57, 400, list__version=2)), 0.0)["outliers"]
    assert {one["ingress"] for one in found} == {"127.0.0.1:8"}
    assert {"aborted_share", "list.version"} <= {one["figure"] for one in found}
    assert outliers({"a": 1.0, "b": 1.0, "c": 50.0}) == {}  # too few to tell


def test_addresses_are_read_with_their_faults_by_line() -> None:
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


def scripted(text: str | None) -> Peer:
    """Says `text` and hangs up; without one it stays silent."""

    async def script(_: int, reader: Stream, writer: Writer) -> None:
        await reader.readline()
        if text is None:
            await reader.read()
        else:
            writer.write(text.encode())
            await writer.drain()

    return Peer(script)


def test_ingresses_that_are_silent_down_or_talk_nonsense_hold_up_none() -> None:
    async def body() -> None:
        async with (
            scripted(answer(5)) as well,
            scripted(None) as silent,
            scripted("hello\n") as odd,
            scripted("x" * (3 * MAX_ANSWER_BYTES)) as endless,
        ):
            reader = Poller(2.0, 10_000.0)
            reader.set_addresses(
                [well.address, silent.address, odd.address, endless.address, ("127.0.0.1", 1), ("..", 2)]
            )
            await reader.poll()
            states = [one.state for one in reader.ingresses.values()]
            assert states == [
                PollState.OK,
                PollState.UNRESPONSIVE,
                PollState.MALFORMED,
                PollState.MALFORMED,
                PollState.UNREACHABLE,
                PollState.UNREACHABLE,
            ]
            look = summarize(reader.ingresses.values(), 0.0)
            assert look["ingresses"] | {"new": 0} == look["ingresses"] and look["ingresses"]["silent"] == 1
            assert [one["state"] for one in look["unwell"]] == ["silent", "nonsense", "nonsense", "refused", "refused"]
            assert json.loads(json.dumps(look)) == look and render(look).renderables

    run_async(body())


def test_a_look_does_not_wait_for_those_that_were_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ingress.observability.poller.MAX_UNRESPONSIVE_CALLS", 1)

    async def body() -> None:
        async with scripted(answer(5)) as well, scripted(None) as one, scripted(None) as other:
            reader = Poller(2.0, 10_000.0)
            reader.set_addresses([one.address, other.address, well.address])
            await reader.poll()
            assert [found.state for found in reader.ingresses.values()] == [
                PollState.UNRESPONSIVE,
                PollState.UNRESPONSIVE,
                PollState.OK,
            ]
            reader.timeout = 3600.0  # whoever waits for a silent one waits for ever
            for looks in range(3):
                await reader.poll()
                assert well.connections == looks + 2
            assert len(reader.calls) == 2  # one at a time, and none of them twice
            await wait_until(lambda: one.connections == 2)
            assert other.connections == 1
            await reader.close()
            assert not reader.calls

    run_async(body())


def test_totals_are_those_of_the_ingress_itself() -> None:
    async def body() -> None:
        async with (
            fake_endpoint() as peer,
            running_ingress(config(endpoint_entry(peer.address), control=ADMIN_LISTEN)) as (served, address),
        ):
            assert served.admin_server is not None
            second: Address = served.admin_server.listening_socket.getsockname()
            looks: list[dict[str, Any]] = []
            reader = Poller(2.0, 100.0)
            reader.set_addresses([second])
            await poll_repeatedly(reader, PollingPlan(None, 0.01, 1), looks.append, pytest.fail)
            caller = await RespClient.connect(address)
            for n in range(20):
                assert await caller.request(command(f"{n:016x}")) == b"%016x" % n
            await poll_repeatedly(reader, PollingPlan(None, 0.01, 1), looks.append, pytest.fail)
            assert looks[1]["totals"]["app.results.read.succeeded"] == 20 == looks[1]["totals"]["app.forwards"]
            assert looks[1]["rates"]["app.results.read.succeeded"] > 0

    run_async(body())


def test_a_file_is_read_again_when_it_changes_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    async def body() -> None:
        path, looks, said = tmp_path / "fleet", list[dict[str, Any]](), list[str]()
        path.write_text("127.0.0.1:1\n", encoding="utf-8")
        reader, file = Poller(1.0, 1000.0), AddressFile(path)
        await poll_repeatedly(reader, PollingPlan(file, 0.0, 2), looks.append, said.append)
        path.write_text("127.0.0.1:1\n127.0.0.1:2 # more\n", encoding="utf-8")
        await poll_repeatedly(reader, PollingPlan(file, 0.0, 1), looks.append, said.append)
        path.write_text("127.0.0.1:1\nno address\n", encoding="utf-8")
        await poll_repeatedly(reader, PollingPlan(file, 0.0, 3), looks.append, said.append)
        assert [look["ingresses"]["refused"] for look in looks] == [1, 1, 2, 2, 2, 2]
        assert len(said) == 1 and "fleet:2" in said[0]
        with pytest.raises(AddressListError):
            await poll_repeatedly(
                Poller(1.0, 1000.0), PollingPlan(AddressFile(tmp_path / "none"), 0.0, 1), looks.append, said.append
            )

    run_async(body())


def called(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ingress.ingressctl", "fleet", *words], capture_output=True, text=True, check=False
    )


def test_the_command_prints_a_line_of_json_and_names_bad_input() -> None:
    done = called("127.0.0.1:1", "--looks", "1", "--json")
    assert done.returncode == 0 and json.loads(done.stdout)["ingresses"]["refused"] == 1
    shown = called("127.0.0.1:1", "--looks", "1")
    assert shown.returncode == 0 and "1 refused" in shown.stdout and "127.0.0.1:1" in shown.stdout
    for words in (
        (),
        ("nowhere",),
        ("127.0.0.1:1", "--from", "x"),
        ("--from", "/nonexistent"),
        ("127.0.0.1:1", "--every", "0"),
    ):
        bad = called(*words)
        assert bad.returncode == 2 and bad.stderr and "Traceback" not in bad.stderr
