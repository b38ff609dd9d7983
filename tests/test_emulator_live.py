"""The emulator on real sockets: stand-ins speak PROTOCOL, the load is open, real processes die and are found out."""

from __future__ import annotations

import asyncio
import fcntl
import json
import re
import signal
import struct
import termios
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import hiredis
import pytest

from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import EndpointListKind, EndpointsChanged
from ingress.discovery.client import read_endpoint_list
from ingress.discovery.http import HttpConnection
from ingress.emulator.clients import ClientPopulation
from ingress.emulator.experiment import Experiment, ExperimentError, build_experiment
from ingress.emulator.follow import follow
from ingress.emulator.gateways import PendingRequest
from ingress.emulator.kernel import random_streams
from ingress.emulator.live.agent import Agent
from ingress.emulator.live.clients import Caller, Checks
from ingress.emulator.live.counter import Counter
from ingress.emulator.live.ingress import Process
from ingress.emulator.live.kernel import RealKernel
from ingress.emulator.live.play import LiveGateway, LivePlay, read_figures
from ingress.emulator.live.servers import StandIn, value_of
from ingress.emulator.measure import Recorder
from ingress.emulator.network import NetworkModel
from ingress.emulator.rules import RequestRecord
from ingress.emulator.servers import Defect, ServerModel
from tests.peers import Peer, Reader, Writer, command, endpoint_answer, read_command, resp, run_async, wait_until
from tests.peers import RespClient as Client


def experiment(**changes: Any) -> Experiment:
    return build_experiment(
        {
            "name": "test",
            "seconds": 2.0,
            "sockets": True,
            "fleet": {"gateways": 1, "servers": 2},
            "load": {"rate": 30, "spread": 1.0, "work_ms": 20},
        }
        | changes
    )


class Book:
    """A ledger in which one request stands."""

    def __init__(self) -> None:
        spec = experiment()
        self.record = RequestRecord("1.1", spec.classes[0], spec.plans[0], 7, 1.0, 5.0)
        self.held = PendingRequest(Caller(RealKernel(), 0, ("", 0), Checks()), self.record, 0.005, None)
        self.outcomes: list[Outcome] = []
        self.faults: list[str] = []

    def asked(self, request: str) -> PendingRequest | None:
        return self.held if request == "1.1" else None

    def arrived(self, held: PendingRequest, server: ServerModel, request: str) -> bool:
        return True

    def ended(self, held: PendingRequest, place: int, outcome: Outcome) -> None:
        self.outcomes.append(outcome)

    def odd(self, text: str) -> None:
        self.faults.append(text)

    def log(self, event: str, request: str, server: str) -> None:
        pass


@asynccontextmanager
async def stand_in(**fleet: Any) -> AsyncIterator[tuple[StandIn, Book]]:
    spec, draws, book = experiment(fleet={"error_rate": 0.0} | fleet), random_streams(1, ("servers", "network")), Book()
    kernel = RealKernel()
    model = ServerModel(kernel, spec.fleet, 0, "s-00000", draws["servers"])
    server = StandIn(model, kernel, NetworkModel(spec.network, draws["network"]), book)
    await server.open()
    try:
        yield server, book
    finally:
        kernel.stop()
        server.close()


def test_a_stand_in_answers_as_the_protocol_has_it() -> None:
    async def body() -> None:
        async with stand_in() as (server, book):
            client = await Client.connect(server.address)
            assert await client.request(command("1.1")) == [value_of("1.1", "s-00000"), None, None]
            assert await client.request(resp(b"PING")) == b"PONG"
            assert await client.request(resp(b"CLIENT", b"SETNAME", b"x")) == b"OK"
            assert isinstance(await client.request(resp(b"HELLO", b"3")), hiredis.ReplyError)
            assert str(await client.request(command("9.9"))) == "SYNTAX"  # nobody asked for that
            assert len(book.faults) == 1
            for mode, answer in (("errors", "ERR failed"), ("spoilt", "None")):
                server.model.defect = Defect(mode, 1.0, 1.0)
                assert str(await client.request(command("1.1"))) == answer
            server.model.defect, server.model.is_draining = None, True
            assert str(await client.request(command("1.1"))) == "BUSY"
            assert book.outcomes == [Outcome.OK, Outcome.ERROR, Outcome.MALFORMED, Outcome.REJECTED]

    run_async(body())


def test_a_machine_that_vanished_is_silent_and_resets_when_it_is_back() -> None:
    async def body() -> None:
        async with stand_in() as (server, _):
            client = await Client.connect(server.address)
            assert await client.request(resp(b"PING")) == b"PONG"
            server.model.stop()
            server.model.is_reachable = False
            server.vanish()
            client.writer.write(command("1.1"))
            answer = asyncio.create_task(client.read_answer())
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await Client.connect(server.address)  # it never comes up
            sock = client.writer.get_extra_info("socket")
            unacknowledged = struct.unpack("I", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
            assert unacknowledged == len(command("1.1")) and not answer.done()
            server.model.start()
            server.reset()
            with pytest.raises((EOFError, ConnectionError)):
                await answer
            again = await Client.connect(server.address)
            assert await again.request(resp(b"PING")) == b"PONG"

    run_async(body())


def test_a_full_connection_table_turns_connections_away() -> None:
    async def body() -> None:
        async with stand_in(cores=1, connections_per_core=2) as (server, _):
            clients = [await Client.connect(server.address) for _ in range(2)]
            assert [await client.request(resp(b"PING")) for client in clients] == [b"PONG"] * 2
            third = await Client.connect(server.address)
            with pytest.raises((EOFError, ConnectionError)):
                await third.request(resp(b"PING"))
            clients[0].writer.close()
            await wait_until(lambda: server.model.connections < 2)
            assert await (await Client.connect(server.address)).request(resp(b"PING")) == b"PONG"

    run_async(body())


def test_the_agent_tells_lists_and_changes_as_the_ingress_reads_them() -> None:
    async def body() -> None:
        told: list[tuple[list[str], bool]] = []
        agent = Agent(
            lambda name: ("127.0.0.1", 6379),
            lambda entry: entry,
            lambda entries, full: told.append(([e.id for e in entries], full)),
        )
        agent.entries = {"a": Endpoint("a")}
        await agent.open()
        caller = HttpConnection(agent.address)

        async def ask(query: str = "") -> Any:
            return read_endpoint_list(json.loads(await caller.get("/api/targets" + query)))

        first = await ask()
        assert (first.is_complete, [b.id for b in first.endpoints]) == (True, ["a"])
        watch = asyncio.create_task(ask(f"?after={first.version}&wait_ms=10000"))
        await wait_until(lambda: agent.waiting)
        agent.learn(
            EndpointsChanged(EndpointListKind.UPDATE, (Endpoint("b"), Endpoint("a", readiness=Readiness.REMOVED)), 9)
        )
        news = await watch
        assert (news.version, news.is_complete) == (9, False)
        assert {b.id: b.readiness for b in news.endpoints} == {"a": Readiness.REMOVED, "b": Readiness.READY}
        assert [b.id for b in (await ask()).endpoints] == ["b"]
        assert (await ask(f"?after={news.version}&wait_ms=1")).endpoints == ()
        assert (await ask("?after=99&wait_ms=1")).is_complete  # from the future: another store's version
        agent.learn(EndpointsChanged(EndpointListKind.REPLACE, (Endpoint("c"),), 12))
        assert (await ask("?after=9&wait_ms=1")).is_complete  # older than all that it remembers
        agent.silent = True
        quiet = asyncio.create_task(ask("?after=3&wait_ms=1"))
        await asyncio.sleep(0.05)
        assert not quiet.done()
        quiet.cancel()
        agent.close()

    run_async(body())


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        ("ping", "pong"),
        ("add a 2.5 1000", "ok 2.5"),
        ("add a", "error"),
        ("add a nan 1000", "error"),
        ("add a 1 0", "error"),
        ("add a 2000000000 9", "error"),
        (f"add {'x' * 65} 1 9", "error"),
        ("", "error"),
    ],
)
def test_the_counter_answers_each_call(line: str, answer: str) -> None:
    assert Counter().answer(line, 0.0) == answer


def test_the_counter_keeps_a_name_for_the_life_that_its_first_call_gave() -> None:
    counter = Counter()
    assert [counter.answer("add a 1 2000", now) for now in (0.0, 1.0, 1.9, 2.0)] == ["ok 1", "ok 2", "ok 3", "ok 1"]
    counter.answer("add b 1 90000", 0.0)
    assert counter.answer("add b 1 1", 59.9) == "ok 2"
    assert counter.answer("add b 1 1", 60.0) == "ok 1"  # 60 s at most


def test_what_a_stall_would_hide_from_a_closed_loop_is_counted() -> None:
    """A server that answers nothing for a while: each request that was due meanwhile counts its whole wait."""

    async def body() -> None:
        go, first = asyncio.Event(), asyncio.Event()

        async def stalls(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                first.set()
                await go.wait()
                writer.write(endpoint_answer(words[2]))

        async with Peer(stalls) as peer:
            spec = experiment(
                seconds=0.5,
                load={"rate": 200, "retries": 0, "spread": 1.0},
                classes=[{"name": "read", "aim_s": 10, "deadline_s": 20}],
            )
            kernel, record, draws = RealKernel(), Recorder(), random_streams(1, ("arrivals", "front", "network"))
            caller = Caller(kernel, 0, peer.address, Checks())
            clients = ClientPopulation(
                kernel,
                spec,
                NetworkModel(spec.network, draws["network"]),
                record,
                [caller],
                draws["arrivals"],
                draws["front"],
            )
            caller.load_balancer, caller.up = clients, True
            clients.start()
            await first.wait()
            await wait_until(lambda: kernel.now > 0.6)  # all were due by now, and none was held back
            sent = record.totals["tries"]
            released = kernel.now
            go.set()
            await wait_until(lambda: record.totals["served"] == sent)
            assert sent > 50
            found = record.latencies["request"].histogram
            assert found.get_total_count() == sent
            # They were spread over half a second: half of them waited for longer than half of the stall.
            assert found.get_value_at_percentile(50) / 1e6 > released - 0.5
            assert found.get_min_value() / 1e6 >= released - 0.5 - 0.01
            kernel.stop()
            caller.close()

    run_async(body())


def play(spec: Experiment, folder: Path, seed: int = 1) -> dict[str, Any]:
    found: dict[str, Any] = {}

    async def body() -> None:
        found.update(await LivePlay(spec, seed, folder).run())

    run_async(body())
    return found


def test_an_ingress_killed_and_stopped_under_requests_breaks_no_rule(tmp_path: Path) -> None:
    found = play(
        experiment(
            seconds=4.0,
            fleet={"gateways": 2, "servers": 3, "cold_s": 1},
            load={"rate": 40, "spread": 1.0, "work_ms": 20, "notice_s": [0.3, 0.5]},
            faults=[
                {"kind": "kill-gateways", "at": 1.0, "lasts": 0.5, "share": 0.5},
                {"kind": "pause-gateways", "at": 3.0, "lasts": 0.4, "share": 0.5},
                {"kind": "roll-servers", "at": 1.0, "lasts": 1, "share": 0.4, "steps": 1, "warning_s": 1},
            ],
        ),
        tmp_path,
    )
    exact = found["exact"]
    assert exact["broken"] == {}, exact["breaks"]
    assert exact["totals"]["gateways killed"] == 1
    assert exact["totals"]["served"] > 0.5 * exact["totals"]["first tries"]
    assert found["ingress"]["memory_mb"] > 1
    assert any(row.get("health.healthy", 0) > 1 for row in exact["series"])  # as the ingresses show it
    name = next(
        json.loads(line)["id"] for line in (tmp_path / "emulator.log").read_text().split("\n") if '"served"' in line
    )
    text = "\n".join(follow(tmp_path.parent, name))
    for step in ("asks", "gets", "answers ok", "succeeded", "served"):
        assert f" {step}" in text


def test_a_process_that_dies_by_itself_is_a_crash(tmp_path: Path) -> None:
    async def body() -> None:
        day = LivePlay(experiment(seconds=1.0), 1, tmp_path)
        ended = asyncio.create_task(day.run())
        await wait_until(lambda: day.gateways and day.gateways[0].up)
        child = day.gateways[0].process.child
        assert child is not None
        child.send_signal(signal.SIGKILL)  # not by the day's doing
        exact = (await ended)["exact"]
        assert exact["broken"].get("crash") == 1

    run_async(body())


def test_an_answer_that_no_server_made_is_a_break(tmp_path: Path) -> None:
    async def body() -> None:
        day = LivePlay(experiment(seconds=1.0), 1, tmp_path)
        process = Process("n0", ("127.0.0.1", 1), ("127.0.0.1", 2), tmp_path)
        agent = Agent(lambda name: ("", 0), lambda entry: entry, lambda entries, full: None)
        held = PendingRequest(
            LiveGateway(day.kernel, 0, process, agent, day),
            RequestRecord("1.1", day.experiment.classes[0], day.experiment.plans[0], 1, 1.0, 5.0),
            0.1,
            None,
        )
        day.served(held, b"1.1 by s-00000")
        assert day.rules.counts == {"made by a server": 1}
        day.kernel.stop()
        day.file.close()

    run_async(body())


def test_an_ingress_killed_under_tls_goes_on_from_its_checkpoint(tmp_path: Path) -> None:
    found = play(
        experiment(
            seconds=3.0,
            fleet={"gateways": 2, "servers": 3, "cold_s": 1, "tls": True, "checkpoint": True},
            load={"rate": 30, "spread": 1.0, "work_ms": 20, "notice_s": [0.3, 0.5]},
            plans=[{"name": "society", "rate": 1, "burst": 8}],
            faults=[{"kind": "kill-gateways", "at": 1.5, "lasts": 0.5, "share": 1.0}],
        ),
        tmp_path,
    )
    exact = found["exact"]
    assert exact["broken"] == {}, exact["breaks"]
    assert exact["totals"]["gateways killed"] == 2 and exact["totals"]["served"] > 10
    words = "".join(path.read_text() for path in tmp_path.glob("n*.log"))
    assert len(re.findall(r"checkpoint: \d+ customers and 3 servers, with \d+ records", words)) == 2
    assert all(any(line == "app.checkpoint.on:1|g" for line in lines) for lines in found["ingress"]["figures"].values())
    with pytest.raises(ExperimentError, match=r"fleet\.tls: only real processes have it"):
        build_experiment({"name": "x", "fleet": {"tls": True}})


def test_figures_are_read_and_what_is_none_is_left_out() -> None:
    assert read_figures("app.health.healthy:3|g\napp.turned_down.quota:12|c\n\neof\napp.odd:x|c\n") == {
        "app.health.healthy": 3.0,
        "app.turned_down.quota": 12.0,
    }
