"""The list service: `python -m mulleinhall.registry --listen ADDR --data DIR --token-file FILE`."""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
from ipaddress import ip_address
from pathlib import Path

from mulleinhall.net.config import BadConfig, read_address
from mulleinhall.registry.server import Listener
from mulleinhall.registry.service import Service
from mulleinhall.registry.store import CannotOpen, Store

log = logging.getLogger(__name__)


async def serve(store: Store, token: str, host: str, port: int) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    service = Service(store, token)
    listener = Listener(service.app())
    host, port = await listener.open(host, port)
    log.info("the list at version %d, %d entries, on %s:%d", store.given, len(store.rows), host, port)
    await stop.wait()
    await listener.close()
    await service.close()


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    words = argparse.ArgumentParser(prog="python -m mulleinhall.registry", description=__doc__)
    words.add_argument("--listen", required=True, help="a loopback address and port")
    words.add_argument("--data", required=True, type=Path, help="the folder of the store")
    words.add_argument("--token-file", type=Path, help="what a write must carry; without it, no writes")
    words.add_argument("--restore", type=Path, help="a copy that takes the place of what is stored")
    given = words.parse_args()
    try:
        host, port = read_address(given.listen, "--listen")
        if not ip_address(host).is_loopback:
            raise BadConfig([f"--listen: {host} is not a loopback address"])
        token = given.token_file.read_text(encoding="utf-8").strip() if given.token_file else ""
        if given.token_file and not token:
            raise BadConfig(["--token-file: it is empty"])
        store = Store(given.data, restore=given.restore)
    except (BadConfig, CannotOpen, OSError, ValueError) as error:
        print(f"mulleinhall.registry: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(store, token, host, port))
    except OSError as error:
        print(f"mulleinhall.registry: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
