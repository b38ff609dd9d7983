"""The ingress program.

`python -m ingress` serves with the configuration file that EDGE_CONFIG names, and `python -m ingress check FILE`
validates a configuration file.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys

import uvloop

from ingress.configuration.document import Config, ConfigError, load_config
from ingress.ingress import Ingress
from ingress.process_group.errors import HandoverError
from ingress.process_group.handover import ReceivedHandover, socket_path, take_over
from ingress.runtime import logs
from ingress.runtime.resident_memory import ResidentMemory

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2  # Invalid arguments, environment or configuration.


async def reload_on_event(path: str, ingress: Ingress, reload: asyncio.Event) -> None:
    """Reload the configuration file each time `reload` is set; a rejected configuration changes nothing."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            config = await asyncio.to_thread(load_config, path)
            await ingress.changes.change(config, "reload")
        except ConfigError as error:
            ingress.changes.reject("reload", str(error))
        except Exception as error:
            # An unexpected fault in this reload must not prevent later ones.
            ingress.changes.reject("reload", f"{type(error).__name__}: {error}")


async def serve(
    config: Config, path: str, received_handover: ReceivedHandover | None, early_signals: list[int]
) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Args:
        config: The configuration to start with.
        path: The path of the configuration file.
        received_handover: The handover from the predecessor process, if there is one.
        early_signals: The SIGHUPs received before the event loop was running.
    """
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Not set with `add_signal_handler`: when the event loop closes it would restore the default handler, which ends the
    # process.
    signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(reload.set))
    if early_signals:
        reload.set()  # The file may have been changed after it was read.
    ingress = Ingress(
        config, received_handover=received_handover, path=socket_path(config.listen), memory=ResidentMemory()
    )
    reload_task = loop.create_task(reload_on_event(path, ingress, reload))
    await ingress.run(stop)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    reload_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await reload_task


def check(path: str) -> int:
    """Print every fault in a configuration file, or its unknown keys; return the exit status."""
    try:
        config = load_config(path)
    except ConfigError as error:
        for fault in error.faults:
            print(fault)
        return EXIT_USAGE
    for key in config.unknown_keys:
        print(f"{key}: unknown, ignored")
    return EXIT_OK


def run() -> int:
    """Serve with the configuration file that the environment names; return the exit status."""
    early_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))  # The default action ends the process.
    path = os.environ.get("EDGE_CONFIG", "")
    if not path:
        return _fail(["EDGE_CONFIG: not set"], EXIT_USAGE)
    try:
        config = load_config(path)
    except ConfigError as error:
        return _fail(error.faults, EXIT_USAGE)
    try:
        received_handover = take_over(socket_path(config.listen))
        uvloop.run(serve(config, path, received_handover, early_signals))
    except HandoverError as error:
        return _fail([f"take over: {error}"], EXIT_FAILED)
    except OSError as error:
        return _fail([f"listen: {error}"], EXIT_FAILED)
    return EXIT_OK


def _fail(messages: list[str], status: int) -> int:
    for message in messages:
        print(f"ingress: {message}", file=sys.stderr)
    return status


def main() -> int:
    """Run the command line; return the exit status."""
    match sys.argv[1:]:
        case ["check", path]:
            return check(path)
        case [_, *_]:
            print("usage: python -m ingress [check FILE]", file=sys.stderr)
            return EXIT_USAGE
    try:
        logs.configure(os.environ.get("EDGE_LOG", ""))
    except ValueError as error:
        return _fail([str(error)], EXIT_USAGE)
    return run()


if __name__ == "__main__":
    sys.exit(main())
