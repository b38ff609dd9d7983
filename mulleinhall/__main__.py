"""One real ingress: `python -m mulleinhall`, told what it needs by EDGE_CONFIG."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from pathlib import Path

import uvloop

from mulleinhall.net.config import BadConfig, Config, read_config
from mulleinhall.net.handover import CannotTakeOver, Taken, socket_path, take_over
from mulleinhall.net.ingress import Ingress

log = logging.getLogger(__name__)


def load(path: str) -> Config:
    try:
        return read_config(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise BadConfig(f"EDGE_CONFIG: {error}") from error


async def follow(path: str, ingress: Ingress, reload: asyncio.Event) -> None:
    """Reads the configuration anew each time that `reload` is set; one that can't be used changes nothing."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            ingress.move(await asyncio.to_thread(load, path))
        except BadConfig as error:
            log.error("reload: %s", error)


async def serve(config: Config, path: str, taken: Taken | None) -> None:
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    ingress = Ingress(config, taken=taken, path=socket_path(config.listen))
    following = loop.create_task(follow(path, ingress, reload))
    await ingress.run(stop)
    following.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await following


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        if not path:
            raise BadConfig("EDGE_CONFIG: not set")
        config = load(path)
    except BadConfig as error:
        print(f"mulleinhall: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, path, take_over(socket_path(config.listen))))
    except CannotTakeOver as error:
        print(f"mulleinhall: take over: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"mulleinhall: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
