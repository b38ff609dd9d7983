"""The emulator on real sockets: fake servers speak PROTOCOL, the load is open, and dead processes are reported."""

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
from ingress.emulator.follow import request_trace
from ingress.emulator.kernel import random_streams
from ingress.emulator.live.agent import FakeDiscoveryAgent
from ingress.emulator.live.clients import ClientConnections, ResponseObserver
from ingress.emulator.live.counter import FakeCounter
from ingress.emulator.live.ingress import IngressProcess
from ingress.emulator.live.kernel import RealKernel
from ingress.emulator.live.play import LiveGateway, LiveRun, parse_stats
from ingress.emulator.live.servers import FakeServer, response_value
from ingress.emulator.measure import Recorder
from ingress.emulator.network import NetworkModel
from ingress.emulator.requests import PendingRequest
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


class RecordingObserver:
    """An observer of attempts with one pending request."""

    def __init__(self) -> None:
        spec = experiment()
        self.record = RequestRecord("1.1", spec.classes[0], spec.plans[0], 7, 1.0, 5.0)
        self.pending_request = PendingRequest(
            ClientConnections(RealKernel(), 0, ("", 0), ResponseObserver()), self.record, 0.005, None
        )
        self.outcomes: list[Outcome] = []
        self.violations: list[str] = []

    def find_request(self, request: str) -> PendingRequest | None:
        return self.pending_request if request == "1.1" else None

    def attempt_arrived(self, pending_request: PendingRequest, server: ServerModel, request: str) -> bool:
        return True

    def attempt_ended(self, pending_request: PendingRequest, attempt_index: int, outcome: Outcome) -> None:
        self.outcomes.append(outcome)

    def protocol_violation(self, text: str) -> None:
        self.violations.append(text)

    def log(self, event: str, request: str, server: str) -> None:
        pass


@asynccontextmanager
async def fake_server(**fleet: Any) -> AsyncIterator[tuple[FakeServer, RecordingObserver]]:
    spec = experiment(fleet={"error_rate": 0.0} | fleet)
    streams = random_streams(1, ("servers", "network"))
    observer = RecordingObserver()
    kernel = RealKernel()
    model = ServerModel(kernel, spec.fleet, 0, "s-00000", streams["servers"])
    server = FakeServer(model, kernel, NetworkModel(spec.network, streams["network"]), observer)
    await server.open()
    try:
        yield server, observer
    finally:
        kernel.stop()
        server.close()


def test_a_fake_server_answers_according_to_the_protocol() -> None:
    async def body() -> None:
        async with fake_server() as (server, observer):
            client = await Client.connect(server.address)
            assert await client.request(command("1.1")) == [response_value("1.1", "s-00000"), None, None]
            assert await client.request(resp(b"PING")) == b"PONG"
            assert await client.request(resp(b"CLIENT", b"SETNAME", b"x")) == b"OK"
            assert isinstance(await client.request(resp(b"HELLO", b"3")), hiredis.ReplyError)
            assert str(await client.request(command("9.9"))) == "SYNTAX"  # no client waits for this request
            assert len(observer.violations) == 1
            for mode, answer in (("errors", "ERR failed"), ("spoilt", "None")):
                server.model.defect = Defect(mode, 1.0, 1.0)
                assert str(await client.request(command("1.1"))) == answer
            server.model.defect = None
            server.model.is_draining = True
            assert str(await client.request(command("1.1"))) == "BUSY"
            assert observer.outcomes == [Outcome.OK, Outcome.ERROR, Outcome.MALFORMED, Outcome.REJECTED]

    run_async(body())


def test_an_unreachable_machine_is_silent_and_resets_connections_when_it_returns() -> None:
    async def body() -> None:
        async with fake_server() as (server, _):
            client = await Client.connect(server.address)
            assert await client.request(resp(b"PING")) == b"PONG"
            server.model.stop()
            server.model.is_reachable = False
            server.drop_packets()
            client.writer.write(command("1.1"))
            answer = asyncio.create_task(client.read_answer())
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await Client.connect(server.address)  # the connection is never established
            sock = client.writer.get_extra_info("socket")
            unacknowledged = struct.unpack("I", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
            assert unacknowledged == len(command("1.1")) and not answer.done()
            server.model.start()
            server.reset()
            with pytest.raises((EOFError, ConnectionError)):
                await answer
            new_client = await Client.connect(server.address)
            assert await new_client.request(resp(b"PING")) == b"PONG"

    run_async(body())


def test_a_full_connection_table_resets_new_connections() -> None:
    async def body() -> None:
        async with fake_server(cores=1, connections_per_core=2) as (server, _):
            clients = [await Client.connect(server.address) for _ in range(2)]
            assert [await client.request(resp(b"PING")) for client in clients] == [b"PONG"] * 2
            third = await Client.connect(server.address)
            with pytest.raises((EOFError, ConnectionError)):
                await third.request(resp(b"PING"))
            clients[0].writer.close()
            await wait_until(lambda: server.model.connections < 2)
            assert await (await Client.connect(server.address)).request(resp(b"PING")) == b"PONG"

    run_async(body())


def test_the_agent_serves_lists_and_changes_in_the_form_that_the_ingress_reads() -> None:
    async def body() -> None:
        sent: list[tuple[list[str], bool]] = []
        agent = FakeDiscoveryAgent(
            lambda name: ("127.0.0.1", 6379),
            lambda entry: entry,
            lambda entries, full: sent.append(([e.id for e in entries], full)),
        )
        agent.entries = {"a": Endpoint("a")}
        await agent.open()
        connection = HttpConnection(agent.address)

        async def ask(query: str = "") -> Any:
            return read_endpoint_list(json.loads(await connection.get("/api/targets" + query)))

        first = await ask()
        assert (first.is_complete, [b.id for b in first.endpoints]) == (True, ["a"])
        watch = asyncio.create_task(ask(f"?after={first.version}&wait_ms=10000"))
        await wait_until(lambda: agent.watches)
        agent.apply(
            EndpointsChanged(EndpointListKind.UPDATE, (Endpoint("b"), Endpoint("a", readiness=Readiness.REMOVED)), 9)
        )
        update = await watch
        assert (update.version, update.is_complete) == (9, False)
        assert {b.id: b.readiness for b in update.endpoints} == {"a": Readiness.REMOVED, "b": Readiness.READY}
        assert [b.id for b in (await ask()).endpoints] == ["b"]
        assert (await ask(f"?after={update.version}&wait_ms=1")).endpoints == ()
        # A version that is newer than the agent's, such as that of another store.
        assert (await ask("?after=99&wait_ms=1")).is_complete
        agent.apply(EndpointsChanged(EndpointListKind.REPLACE, (Endpoint("c"),), 12))
        assert (await ask("?after=9&wait_ms=1")).is_complete  # older than the changes that the agent keeps
        agent.silent = True
        unanswered = asyncio.create_task(ask("?after=3&wait_ms=1"))
        await asyncio.sleep(0.05)
        assert not unanswered.done()
        unanswered.cancel()
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
    assert FakeCounter().answer(line, 0.0) == answer


def test_the_counter_keeps_a_name_for_the_ttl_of_its_first_call() -> None:
    counter = FakeCounter()
    assert [counter.answer("add a 1 2000", now) for now in (0.0, 1.0, 1.9, 2.0)] == ["ok 1", "ok 2", "ok 3", "ok 1"]
    counter.answer("add b 1 90000", 0.0)
    assert counter.answer("add b 1 1", 59.9) == "ok 2"
    assert counter.answer("add b 1 1", 60.0) == "ok 1"  # the TTL is limited to 60 s


def test_latency_includes_the_wait_that_a_closed_loop_would_hide_during_a_stall() -> None:
    """While a server stalls, the latency of each request counts from the time at which it was due."""

    async def body() -> None:
        release = asyncio.Event()
        first_request = asyncio.Event()

        async def stall(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                first_request.set()
                await release.wait()
                writer.write(endpoint_answer(words[2]))

        async with Peer(stall) as peer:
            spec = experiment(
                seconds=0.5,
                load={"rate": 200, "retries": 0, "spread": 1.0},
                classes=[{"name": "read", "aim_s": 10, "deadline_s": 20}],
            )
            kernel = RealKernel()
            recorder = Recorder()
            streams = random_streams(1, ("arrivals", "front", "network"))
            connections = ClientConnections(kernel, 0, peer.address, ResponseObserver())
            clients = ClientPopulation(
                kernel,
                spec,
                NetworkModel(spec.network, streams["network"]),
                recorder,
                [connections],
                streams["arrivals"],
                streams["front"],
            )
            connections.load_balancer = clients
            connections.up = True
            clients.start()
            await first_request.wait()
            await wait_until(lambda: kernel.now > 0.6)  # all requests are due by now, and none was held back
            sent = recorder.totals["tries"]
            released = kernel.now
            release.set()
            await wait_until(lambda: recorder.totals["served"] == sent)
            assert sent > 50
            histogram = recorder.latencies["request"].histogram
            assert histogram.get_total_count() == sent
            # They were due over half a second, so each waited for at least the stall less that half second.
            assert histogram.get_value_at_percentile(50) / 1e6 > released - 0.5
            assert histogram.get_min_value() / 1e6 >= released - 0.5 - 0.01
            kernel.stop()
            connections.close()

    run_async(body())


def run_live(spec: Experiment, folder: Path, seed: int = 1) -> dict[str, Any]:
    found: dict[str, Any] = {}

    async def body() -> None:
        found.update(await LiveRun(spec, seed, folder).run())

    run_async(body())
    return found


def test_an_ingress_killed_and_paused_under_load_violates_no_rule(tmp_path: Path) -> None:
    found = run_live(
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
    assert any(row.get("health.healthy", 0) > 1 for row in exact["series"])  # as the ingresses report it
    name = next(
        json.loads(line)["id"] for line in (tmp_path / "emulator.log").read_text().split("\n") if '"served"' in line
    )
    text = "\n".join(request_trace(tmp_path.parent, name))
    for step in ("asks", "gets", "answers ok", "succeeded", "served"):
        assert f" {step}" in text


def test_a_process_that_exits_unexpectedly_is_a_crash(tmp_path: Path) -> None:
    async def body() -> None:
        live_run = LiveRun(experiment(seconds=1.0), 1, tmp_path)
        ended = asyncio.create_task(live_run.run())
        await wait_until(lambda: live_run.gateways and live_run.gateways[0].up)
        child = live_run.gateways[0].process.child
        assert child is not None
        child.send_signal(signal.SIGKILL)  # not sent by the run
        exact = (await ended)["exact"]
        assert exact["broken"].get("crash") == 1

    run_async(body())


def test_a_response_that_no_server_sent_is_a_violation(tmp_path: Path) -> None:
    async def body() -> None:
        live_run = LiveRun(experiment(seconds=1.0), 1, tmp_path)
        process = IngressProcess("n0", ("127.0.0.1", 1), ("127.0.0.1", 2), tmp_path)
        agent = FakeDiscoveryAgent(lambda name: ("", 0), lambda entry: entry, lambda entries, full: None)
        pending_request = PendingRequest(
            LiveGateway(live_run.kernel, 0, process, agent, live_run),
            RequestRecord("1.1", live_run.experiment.classes[0], live_run.experiment.plans[0], 1, 1.0, 5.0),
            0.1,
            None,
        )
        live_run.served(pending_request, b"1.1 by s-00000")
        assert live_run.rules.counts == {"made by a server": 1}
        live_run.kernel.stop()
        live_run.log_file.close()

    run_async(body())


def test_an_ingress_killed_under_tls_recovers_from_its_checkpoint(tmp_path: Path) -> None:
    found = run_live(
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
    log_text = "".join(path.read_text() for path in tmp_path.glob("n*.log"))
    assert len(re.findall(r"checkpoint: \d+ customers and 3 servers, with \d+ records", log_text)) == 2
    assert all(any(line == "app.checkpoint.on:1|g" for line in lines) for lines in found["ingress"]["figures"].values())
    with pytest.raises(ExperimentError, match=r"fleet\.tls: only real processes have it"):
        build_experiment({"name": "x", "fleet": {"tls": True}})


def test_stats_are_parsed_and_lines_without_a_number_are_skipped() -> None:
    assert parse_stats("app.health.healthy:3|g\napp.turned_down.quota:12|c\n\neof\napp.odd:x|c\n") == {
        "app.health.healthy": 3.0,
        "app.turned_down.quota": 12.0,
    }
