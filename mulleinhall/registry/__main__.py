"""The list service and its relay: `python -m mulleinhall.registry --listen ADDR --data DIR`, `... relay`."""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
from collections.abc import Awaitable, Callable
from ipaddress import ip_address
from pathlib import Path

from mulleinhall.net.config import Address, BadConfig, read_address
from mulleinhall.registry.relay import Kept, Relay
from mulleinhall.registry.server import Listener
from mulleinhall.registry.service import Service
from mulleinhall.registry.store import CannotOpen, Store

log = logging.getLogger(__name__)


async def serve(make: Callable[[], Service | Relay], host: str, port: int) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    service = make()
    listener = Listener(service.app())
    try:
        host, port = await listener.open(host, port)
        log.info("the list at version %d, %d entries, on %s:%d", service.board.version,
                 len(service.board.entries()), host, port)
        await stop.wait()
    finally:
        await listener.close()
        await service.close()


def loopback(text: str, key: str) -> Address:
    host, port = read_address(text, key)
    if not ip_address(host).is_loopback:
        raise BadConfig([f"{key}: {host} is not a loopback address"])
    return host, port


def list_service(words: list[str]) -> Callable[[], Awaitable[None]]:
    parser = argparse.ArgumentParser(prog="python -m mulleinhall.registry", description="Holds the list.")
    parser.add_argument("--listen", required=True, help="a loopback address and port")
    parser.add_argument("--data", required=True, type=Path, help="the folder of the store")
    parser.add_argument("--token-file", type=Path, help="what a write must carry; without it, no writes")
    parser.add_argument("--restore", type=Path, help="a copy that takes the place of what is stored")
    given = parser.parse_args(words)
    host, port = loopback(given.listen, "--listen")
    token = given.token_file.read_text(encoding="utf-8").strip() if given.token_file else ""
    if given.token_file and not token:
        raise BadConfig(["--token-file: it is empty"])
    store = Store(given.data, restore=given.restore)
    return lambda: serve(lambda: Service(store, token), host, port)


def relay(words: list[str]) -> Callable[[], Awaitable[None]]:
    parser = argparse.ArgumentParser(prog="python -m mulleinhall.registry relay",
                                     description="Passes the list on.")
    parser.add_argument("--upstream", required=True, nargs="+", help="addresses, asked in turn")
    parser.add_argument("--listen", required=True, help="a loopback address and port")
    parser.add_argument("--data", type=Path, help="a folder for the last list, to start with in an outage")
    given = parser.parse_args(words)
    upstream = [loopback(text, "--upstream") for text in given.upstream]
    host, port = loopback(given.listen, "--listen")
    kept = Kept(given.data)
    return lambda: serve(lambda: Relay(upstream, kept), host, port)


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    words = sys.argv[1:]
    try:
        run = relay(words[1:]) if words[:1] == ["relay"] else list_service(words)
    except (BadConfig, CannotOpen, OSError, ValueError) as error:
        print(f"mulleinhall.registry: {error}", file=sys.stderr)
        return 2

    async def body() -> None:
        await run()

    try:
        asyncio.run(body())
    except OSError as error:
        print(f"mulleinhall.registry: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
