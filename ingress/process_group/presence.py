"""Presence: how a process announces itself on the machine and finds the other processes of its ingress.

The processes of an ingress find each other in one directory. Each has a socket there, named after its process id and
the time at which the system started it, so that a reused process id yields a different name.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
from collections.abc import Iterator
from pathlib import Path

# Positions of fields in /proc/PID/stat, counted from the first field after the command name.
STATE_INDEX = 0
START_TIME_INDEX = 19
ENDED_STATES = "ZX"  # zombie, dead
SOCKET_MODE = 0o600


def start_ticks_of(pid: int) -> int | None:
    """Return the time at which the system started a process, in clock ticks; None if it does not exist or has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace")
        fields = text.rpartition(")")[2].split()
        return None if fields[STATE_INDEX] in ENDED_STATES else int(fields[START_TIME_INDEX])
    except (OSError, ValueError, IndexError):
        return None


@contextlib.contextmanager
def short_socket_name(path: Path) -> Iterator[str]:
    """Provide a name for the path that fits into a Unix socket address, however long the directory's path is."""
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


class Presence:
    """The announcement of one process of an ingress.

    Attributes:
        instances: Counts the instances in this operating system process, to keep their names apart.
        path: The path that is common to all processes of the ingress; the names of their sockets begin with it.
        pid: The process id.
        start_ticks: The time at which the system started the process, in clock ticks; 0 if it is unknown.
        name: The name of the process, unique among the processes of the ingress.
    """

    instances = itertools.count()

    def __init__(self, path: Path) -> None:
        self.path = path
        self.pid = os.getpid()
        self.start_ticks = start_ticks_of(self.pid) or 0
        number = next(self.instances)  # tests run several instances in one process
        self.name = f"{self.pid}-{self.start_ticks}" + (f"-{number}" if number else "")

    def socket_path(self, name: str) -> Path:
        """Return the path of the socket on which the process of that name accepts links."""
        return self.path.with_name(f"{self.path.name}.{name}")

    def announce(self) -> socket.socket | None:
        """Announce this process; return its socket, or None if it cannot be created in the directory."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with short_socket_name(self.socket_path(self.name)) as name:
                sock.bind(name)
                Path(name).chmod(SOCKET_MODE)
        except OSError:
            sock.close()
            return None
        return sock

    def list_processes(self) -> list[str]:
        """Return the names of all existing processes of the ingress, and delete the sockets of ended ones."""
        try:
            entries = list(self.path.parent.iterdir())
        except OSError:
            return [self.name]
        found = []
        for entry in entries:
            prefix, _, name = entry.name.rpartition(".")
            if prefix != self.path.name:
                continue
            pid, _, suffix = name.partition("-")
            start_ticks = suffix.partition("-")[0]
            if not (pid.isdecimal() and start_ticks.isdecimal()):
                continue
            if start_ticks_of(int(pid)) == int(start_ticks):
                found.append(name)
            else:
                with contextlib.suppress(OSError):
                    entry.unlink()
        return found

    def withdraw(self) -> None:
        """Withdraw the announcement by deleting the socket."""
        with contextlib.suppress(OSError):
            self.socket_path(self.name).unlink()
