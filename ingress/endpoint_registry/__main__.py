"""Command line of the endpoint registry.

`python -m ingress.endpoint_registry --listen ADDR --data DIR` runs the service.
The subcommands `relay`, `register`, `backup`, `restore` and `check` run the other programs.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from ipaddress import ip_address
from pathlib import Path

from ingress.configuration.document import ConfigError, read_address
from ingress.endpoint_registry.backups import backups, choose, take_backup, verify
from ingress.endpoint_registry.http_server import Listener
from ingress.endpoint_registry.registration import Entry, Registration, RegistrationRejectedError
from ingress.endpoint_registry.relay import Relay, RelayCache
from ingress.endpoint_registry.service import Service
from ingress.endpoint_registry.store import Store, StoreError
from ingress.runtime.sockets import Address

log = logging.getLogger(__name__)

PROGRAM = "python -m ingress.endpoint_registry"
MIN_TTL_S = 0.5
MAX_TTL_S = 86_400.0

Program = Callable[[], Awaitable[None]]


def stop_event() -> asyncio.Event:
    """Return an event that is set by SIGTERM and SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    return stop


async def serve(create_service: Callable[[], Service | Relay], host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT.

    Raises:
        OSError: The address cannot be listened on.
    """
    stop = stop_event()
    service = create_service()
    listener = Listener(service.app())
    try:
        host, port = await listener.open(host, port)
        entries = len(service.catalog.entries())
        log.info(
            "serving endpoint list version %d with %d entries on %s:%d", service.catalog.version, entries, host, port
        )
        await stop.wait()
    finally:
        await listener.close()
        await service.close()


def read_loopback_address(text: str, key: str) -> Address:
    """Parse a loopback address and port.

    Raises:
        ConfigError: The text is not an address and port, or the address is not a loopback address.
    """
    host, port = read_address(text, key)
    if not ip_address(host).is_loopback:
        raise ConfigError([f"{key}: {host} is not a loopback address"])
    return host, port


def _create_parser(command: str, description: str) -> argparse.ArgumentParser:
    return argparse.ArgumentParser(prog=f"{PROGRAM} {command}".strip(), description=description)


def service_command(arguments: list[str]) -> Program:
    """Parse the arguments of the service, open its store and return the program."""
    parser = _create_parser("", "Run the endpoint registry service.")
    parser.add_argument("--listen", required=True, help="a loopback address and port")
    parser.add_argument("--data", required=True, type=Path, help="the folder of the store")
    parser.add_argument(
        "--token-file",
        type=Path,
        help="file with the token that writes must carry; without it, all writes are rejected",
    )
    parser.add_argument("--restore", type=Path, help="a backup that replaces the content of the store")
    options = parser.parse_args(arguments)
    host, port = read_loopback_address(options.listen, "--listen")
    token = options.token_file.read_text(encoding="utf-8").strip() if options.token_file else ""
    if options.token_file and not token:
        raise ConfigError([f"--token-file: {options.token_file} is empty"])
    store = Store(options.data, restore=options.restore)
    return lambda: serve(lambda: Service(store, token), host, port)


def relay(arguments: list[str]) -> Program:
    """Parse the arguments of the relay and return the program."""
    parser = _create_parser("relay", "Relay the endpoint list of an upstream service.")
    parser.add_argument("--upstream", required=True, nargs="+", help="upstream addresses, tried in turn")
    parser.add_argument("--listen", required=True, help="a loopback address and port")
    parser.add_argument(
        "--data", type=Path, help="a folder to cache the last list, used after a start during an outage"
    )
    options = parser.parse_args(arguments)
    upstream = [read_loopback_address(text, "--upstream") for text in options.upstream]
    host, port = read_loopback_address(options.listen, "--listen")
    cache = RelayCache(options.data)
    return lambda: serve(lambda: Relay(upstream, cache), host, port)


def check(arguments: list[str]) -> int:
    """Verify stores and backups, and return the exit status."""
    parser = _create_parser("check", "Verify stores and backups without changing them.")
    parser.add_argument("path", nargs="+", type=Path, help="the folder of a store, a folder of backups, or a file")
    fault_count = 0
    for path in parser.parse_args(arguments).path:
        files = _files_to_check(path)
        if not files:
            print(f"{path}: contains no store and no backup")
            fault_count += 1
        for file in files:
            faults = list(verify(file))
            fault_count += len(faults)
            print("\n".join(faults) if faults else f"{file}: good")
    return 1 if fault_count else 0


def _files_to_check(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    store = path / "list.db"
    return [store] if store.exists() else [path / backup.file for backup in backups(path)]


def backup_command(arguments: list[str]) -> int:
    """Take a backup, and return the exit status."""
    parser = _create_parser("backup", "Back up a store, which may be in use, and verify the backup.")
    parser.add_argument("--data", required=True, type=Path, help="the folder of the store")
    parser.add_argument("--to", required=True, type=Path, help="the folder of the backups")
    parser.add_argument("--keep", type=int, default=0, help="number of backups to keep; 0, the default, keeps all")
    options = parser.parse_args(arguments)
    backup = take_backup(options.data, options.to, options.keep)
    print(f"{options.to / backup.file}: version {backup.version}, {backup.entries} entries, {backup.size} bytes")
    return 0


def restore(arguments: list[str]) -> int:
    """Restore a backup, and return the exit status."""
    parser = _create_parser("restore", "Replace the content of a store with a backup; no service may use the store.")
    parser.add_argument("--data", required=True, type=Path, help="the folder of the store")
    parser.add_argument("--from", required=True, type=Path, dest="source", help="the folder of the backups")
    parser.add_argument("--version", type=int, help="restore the newest backup of this list version or an earlier one")
    parser.add_argument(
        "--at",
        type=datetime.fromisoformat,
        help="restore the newest backup taken by this time, such as 2026-12-01T12:00:00+00:00; UTC without an offset",
    )
    options = parser.parse_args(arguments)
    at = options.at and (options.at if options.at.tzinfo else options.at.replace(tzinfo=UTC)).timestamp()
    backup_path = choose(options.source, options.version, at)
    store = Store(options.data, restore=backup_path)
    print(f"{backup_path}: restored {len(store.rows)} entries at version {store.version}")
    store.close()
    return 0


def register(arguments: list[str]) -> Program:
    """Parse the arguments of a registration and return the program that keeps it."""
    parser = _create_parser("register", "Keep an endpoint registered until SIGTERM.")
    parser.add_argument("--service", required=True, nargs="+", help="addresses of the registry, tried in turn")
    parser.add_argument("--token-file", required=True, type=Path)
    parser.add_argument("--id", required=True)
    parser.add_argument("--addr", required=True, help="the address and port on which the endpoint listens")
    parser.add_argument("--ttl", type=float, default=10.0, help="lease duration in seconds")
    parser.add_argument("--zone", default="")
    parser.add_argument("--drain", type=float, default=3.0, help="seconds between draining and removal at the end")
    options = parser.parse_args(arguments)
    read_address(options.addr, "--addr")
    if not MIN_TTL_S <= options.ttl <= MAX_TTL_S:
        raise ConfigError([f"--ttl: {options.ttl:g} is not between {MIN_TTL_S:g} and {MAX_TTL_S:g}"])
    entry = Entry(options.id, options.addr, options.ttl, options.zone, started_ms=int(time.time() * 1000))
    token = options.token_file.read_text(encoding="utf-8").strip()
    services = [read_loopback_address(text, "--service") for text in options.service]
    registration = Registration(services, entry, token, random.Random())

    async def run() -> None:
        await registration.run(stop_event(), options.drain)

    return run


IMMEDIATE_COMMANDS: dict[str, Callable[[list[str]], int]] = {
    "check": check,
    "backup": backup_command,
    "restore": restore,
}
PROGRAMS: dict[str, Callable[[list[str]], Program]] = {"relay": relay, "register": register}


def main() -> int:
    """Run the program that the command line names, and return the exit status."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    arguments = sys.argv[1:]
    command = arguments[0] if arguments else ""
    try:
        if command in IMMEDIATE_COMMANDS:
            return IMMEDIATE_COMMANDS[command](arguments[1:])
        run = PROGRAMS[command](arguments[1:]) if command in PROGRAMS else service_command(arguments)
    except (ConfigError, StoreError, OSError, ValueError) as error:
        print(f"ingress.endpoint_registry: {error}", file=sys.stderr)
        return 2
    return _run(run)


def _run(run: Program) -> int:
    async def body() -> None:
        await run()

    try:
        asyncio.run(body())
    except RegistrationRejectedError as error:
        print(f"ingress.endpoint_registry: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"ingress.endpoint_registry: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
