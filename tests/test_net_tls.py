"""TLS on both sides, on real sockets: client and endpoint authentication, and changes of certificates."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import ssl
import sys
from pathlib import Path
from typing import Any

import pytest

from ingress.configuration.document import ConfigError, read_config
from ingress.decisions.endpoint import Outcome
from ingress.emulator.live.authority import Authority, CertificateFiles
from ingress.protocols.resp import MAX_VALUE_BYTES
from ingress.runtime.tls import read_tls
from tests.peers import (
    Address,
    Peer,
    Reader,
    RespClient,
    Writer,
    command,
    config,
    config_text,
    endpoint_answer,
    endpoint_entry,
    free_port,
    read_command,
    resp,
    run_async,
    wait_until,
)
from tests.test_net_backends import PoolUnderTest
from tests.test_net_ingress import running_ingress

PING = resp(b"PING")
LONG_VALUE = bytes(range(256)) * (MAX_VALUE_BYTES // 256)


@pytest.fixture
def authority(tmp_path: Path) -> Authority:
    return Authority(tmp_path / "pki")


def trusting(authority: Authority, pair: CertificateFiles | None = None) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(authority.path))
    if pair is not None:
        context.load_cert_chain(pair.certificate, pair.key)
    return context


async def secure(address: Address, context: ssl.SSLContext) -> RespClient:
    return RespClient(*await asyncio.open_connection(*address, ssl=context, server_hostname="127.0.0.1"))


class SecurePeer(Peer):
    """An endpoint behind TLS that answers each command with its id, or with `answer`."""

    def __init__(self, pair: CertificateFiles, answer: bytes | None = None) -> None:
        async def script(_: int, reader: Reader, writer: Writer) -> None:
            while True:
                words = await read_command(reader)
                self.commands.append(words)
                writer.write(endpoint_answer(words[2] if answer is None else answer))

        super().__init__(script)
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.load_cert_chain(pair.certificate, pair.key)

    async def __aenter__(self) -> SecurePeer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, ssl=self.context)
        self.address = self.server.sockets[0].getsockname()
        return self


def test_both_sides_use_tls_and_resume_sessions(authority: Authority) -> None:
    async def body() -> None:
        server, listener = authority.sign("s1"), authority.sign("ingress")
        async with (
            SecurePeer(server) as peer,
            running_ingress(
                config(endpoint_entry(peer.address), tls=listener.spec(), **{"server-tls": {"ca": str(authority.path)}})
            ) as (served, address),
        ):
            context = trusting(authority)
            first = await secure(address, context)
            assert await first.request(command()) == b"00000000000000aa"
            assert await first.request(PING) == b"PONG"
            shown = served.admin_commands.answer("show-stat")
            assert isinstance(shown, str) and "app.tls.listener.days_left:30|g" in shown
            assert "app.tls.resumed:0|g" in shown
            served.pool.close_idle_connections("s1")
            await wait_until(lambda: not served.pool.connection_count)
            assert await first.request(command("1" * 16)) == b"1" * 16
            assert peer.connections == 2
            assert served.pool.connector.resumed_sessions == 1  # the second handshake resumed the session
            session = first.writer.get_extra_info("ssl_object").session
            is_resumed = await asyncio.to_thread(reconnect, address, context, session)
            assert is_resumed  # so does the handshake of a client that reconnects

    run_async(body())


def reconnect(address: Address, context: ssl.SSLContext, session: ssl.SSLSession) -> bool:
    with (
        socket.create_connection(address) as plain,
        context.wrap_socket(plain, server_hostname="127.0.0.1", session=session) as sock,
    ):
        sock.sendall(PING)
        assert sock.recv(100) == b"+PONG\r\n"
        return bool(sock.session_reused)


def test_long_values_are_forwarded_over_tls_in_both_directions(authority: Authority) -> None:
    async def body() -> None:
        pair = authority.sign("both")
        async with (
            SecurePeer(pair, LONG_VALUE) as peer,
            running_ingress(
                config(endpoint_entry(peer.address), tls=pair.spec(), **{"server-tls": {"ca": str(authority.path)}})
            ) as (_, address),
        ):
            client = await secure(address, trusting(authority))
            assert await client.request(command(d=10_000)) == LONG_VALUE
            answer = await client.request(command("2" * 16, "order", d=10_000, body=LONG_VALUE))
            assert answer == LONG_VALUE and peer.commands[-1][-1] == LONG_VALUE

    run_async(body())


@pytest.mark.parametrize("data", [PING, b"\x16\x03\x01\x00\x05hello", b"", b"\x16" * 100_000])
def test_client_without_tls_is_closed_and_releases_its_connection(
    authority: Authority, data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ingress.server.client_server.TLS_HANDSHAKE_TIMEOUT", 0.2)

    async def body() -> None:
        async with running_ingress(config(tls=authority.sign("ingress").spec())) as (served, address):
            client = await RespClient.connect(address)
            client.writer.write(data)
            with pytest.raises((EOFError, ConnectionError, Exception)):
                assert not await client.read_answer()
            await wait_until(lambda: not served.clients.connections)
            assert served.clients.shares.total == 0
            good = await secure(address, trusting(authority))
            assert await good.request(PING) == b"PONG"

    run_async(body())


def test_listener_with_an_authority_serves_only_clients_with_a_certificate(authority: Authority) -> None:
    async def body() -> None:
        stranger = Authority(authority.folder.parent / "other", "stranger")
        tls = authority.sign("ingress").spec(ca=str(authority.path))
        async with running_ingress(config(tls=tls)) as (served, address):
            good = await secure(address, trusting(authority, authority.sign("client")))
            assert await good.request(PING) == b"PONG"
            for pair in (None, stranger.sign("client")):
                with pytest.raises((OSError, EOFError)):
                    other = await secure(address, trusting(authority, pair))
                    await other.request(PING)
            await wait_until(lambda: len(served.clients.connections) == 1)

    run_async(body())


@pytest.mark.parametrize("fault", ["authority", "name", "expired", "plain"])
def test_endpoint_that_fails_authentication_gets_no_request(authority: Authority, fault: str) -> None:
    async def body() -> None:
        signer = Authority(authority.folder.parent / "other") if fault == "authority" else authority
        pair = (
            signer.sign("s1", valid_from_days=-9.0, valid_until_days=-1.0) if fault == "expired" else signer.sign("s1")
        )
        peer = SecurePeer(pair)
        async with peer:
            if fault == "plain":
                peer.server.close()
                peer.server = await asyncio.start_server(peer._serve, "127.0.0.1", 0)
                peer.address = peer.server.sockets[0].getsockname()
            pool = PoolUnderTest(peer.address, timeout=0.5)
            spec = {"ca": str(authority.path)} | ({"name": "another"} if fault == "name" else {})
            pool.pool.connector.tls = read_tls(spec, "server-tls", False)
            pool.send()
            assert await pool.result() == (Outcome.CONNECT_FAILED, None)  # the request was not sent
            await wait_until(lambda: not pool.pool.connection_count)
            assert not peer.commands

    run_async(body())


def test_certificate_errors_name_the_configuration_key(authority: Authority, tmp_path: Path) -> None:
    good, other = authority.sign("good"), authority.sign("other")
    broken, old, early = tmp_path / "broken", authority.sign("old", -9, -1), authority.sign("early", 1, 9)
    broken.write_text("-----BEGIN CERTIFICATE-----\nnonsense\n-----END CERTIFICATE-----\n", encoding="utf-8")
    locked = authority.sign("locked", password=b"secret")
    cases: list[tuple[dict[str, Any], str]] = [
        ({"tls": good.spec() | {"key": str(other.key)}}, "tls.key: does not belong"),
        ({"tls": good.spec() | {"certificate": str(broken)}}, "tls.certificate: not a certificate"),
        ({"tls": old.spec()}, "tls.certificate: ran out at"),
        ({"tls": early.spec()}, "tls.certificate: is not valid before"),
        ({"tls": locked.spec()}, "tls.key: does not belong to the certificate, or is none: the key is encrypted"),
        ({"tls": good.spec() | {"certificate": str(tmp_path / "none")}}, "tls.certificate: No such file"),
        ({"tls": good.spec() | {"key": str(tmp_path)}}, "tls.key: not a regular file"),
        ({"tls": {"certificate": str(good.certificate)}}, "tls.key: missing"),
        ({"tls": good.spec(ca=str(good.key))}, "tls.ca: not a certificate"),
        ({"server-tls": {"ca": str(old.certificate)}}, "server-tls.ca: ran out"),
        ({"server-tls": {"ca": str(authority.path), "key": str(good.key)}}, "server-tls: certificate and key"),
        ({"server-tls": {}}, "server-tls.ca: missing"),
    ]
    for changes, expected_error in cases:
        with pytest.raises(ConfigError) as error:
            read_config(config_text(**changes))
        assert error.value.faults and error.value.faults[0].startswith(expected_error), error.value.faults


def test_reload_applies_a_renewed_certificate_and_rejects_a_mismatched_one(
    authority: Authority, tmp_path: Path
) -> None:
    """A real process reloads its configuration on SIGHUP."""
    pair, port = authority.sign("ingress"), free_port()
    path = tmp_path / "config.json"
    path.write_text(config_text(listen=f"127.0.0.1:{port}", tls=pair.spec()), encoding="utf-8")

    async def body() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ingress",
            stderr=asyncio.subprocess.PIPE,
            cwd=Path(__file__).resolve().parent.parent,
            env=os.environ | {"EDGE_CONFIG": str(path), "TMPDIR": str(tmp_path)},
        )
        assert process.stderr is not None

        async def logged(text: str) -> None:
            assert process.stderr is not None
            while text not in (line := (await process.stderr.readline()).decode()):
                assert line, "the process has ended"

        async def serial(context: ssl.SSLContext) -> int:
            client = await secure(("127.0.0.1", port), context)
            assert await client.request(PING) == b"PONG"
            certificate = client.writer.get_extra_info("peercert")
            client.writer.close()
            return int(certificate["serialNumber"], 16)

        try:
            await logged("serves on")
            context = trusting(authority)
            first = await serial(context)
            open_connection = await secure(("127.0.0.1", port), context)
            renewed = Authority.sign(authority, "renewed")
            # The key is replaced before the certificate: in between they don't match.
            shutil.copy(renewed.key, pair.key)
            process.send_signal(signal.SIGHUP)
            await logged("reload: tls.key: does not belong")
            assert await serial(context) == first
            shutil.copy(renewed.certificate, pair.certificate)
            process.send_signal(signal.SIGHUP)
            await logged("reload: generation 2")
            assert await serial(context) != first
            assert await open_connection.request(PING) == b"PONG"  # open connections stay open
        finally:
            process.kill()
            await process.wait()

    run_async(body())


def test_certificate_change_during_a_handshake_breaks_neither_it_nor_the_next(authority: Authority) -> None:
    async def body() -> None:
        old, new = authority.sign("old"), authority.sign("new")
        text = config_text(tls=old.spec())
        async with running_ingress(read_config(text)) as (served, address):
            context = trusting(authority)
            incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
            client = context.wrap_bio(incoming, outgoing, server_hostname="127.0.0.1")
            with pytest.raises(ssl.SSLWantReadError):
                client.do_handshake()
            client_hello = outgoing.read()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(client_hello[:20])
            await wait_until(lambda: served.clients.connections)
            listen = f"127.0.0.1:{served.config.listen[1]}"
            assert await served.changes.change(read_config(config_text(tls=new.spec(), listen=listen)), "reload") == ""
            writer.write(client_hello[20:])
            while True:
                incoming.write(await reader.read(1 << 16))
                try:
                    client.do_handshake()
                    break
                except ssl.SSLWantReadError:
                    writer.write(outgoing.read())
            writer.write(outgoing.read())
            assert client.getpeercert()["subject"] == ((("commonName", "old"),),)  # type: ignore[index]
            new_client = await secure(address, context)
            assert new_client.writer.get_extra_info("peercert")["subject"] == ((("commonName", "new"),),)

    run_async(body())
