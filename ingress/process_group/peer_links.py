"""The links of a process to the others of its ingress, and the sockets on which it accepts such links."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from pathlib import Path

from ingress.process_group.handover import ReceivedHandover
from ingress.process_group.link import Link, LinkDelegate, encode_line
from ingress.process_group.peer_messages import Message, ServingMessage
from ingress.process_group.presence import SOCKET_MODE, Presence, short_socket_name

log = logging.getLogger(__name__)


class PeerLinks:
    """Makes, accepts and keeps links.

    Attributes:
        path: The path of the socket to which a successor connects.
        delegate: The handler of link events.
        links: The open links.
        presence: The announcement of this process.
        messages_sent: The number of messages sent over all links.
        bytes_sent: The number of bytes sent over all links.
        loop: The event loop.
        successor_server: Accepts links from successors that take over; None before `listen`.
        peer_server: Accepts links from processes that do not take over; None if this process is not announced.
        connecting: The tasks that connect to other processes, by the name of the other process.
    """

    def __init__(self, path: Path, delegate: LinkDelegate) -> None:
        self.path = path
        self.delegate = delegate
        self.links: set[Link] = set()
        self.presence = Presence(path)
        self.messages_sent = 0
        self.bytes_sent = 0
        self.loop = asyncio.get_running_loop()
        self.successor_server: asyncio.Server | None = None
        self.peer_server: asyncio.Server | None = None
        self.connecting: dict[str, asyncio.Task[None]] = {}

    async def announce(self) -> None:
        """Announce this process and accept links from other processes.

        Precedes the takeover, since the other processes grant nothing to a process that is not announced.
        """
        sock = self.presence.announce()
        if sock is None:
            log.warning(
                "cannot create the socket %s: other processes of this ingress cannot connect to this one",
                self.presence.socket_path(self.presence.name),
            )
            return
        self.peer_server = await self.loop.create_unix_server(
            lambda: Link(self, is_newer=True, is_additional=True), sock=sock
        )

    def connect(self, name: str) -> None:
        """Reconnect to an older process after its link was lost, with one attempt at a time."""
        if name not in self.connecting:
            task = self.loop.create_task(self._connect(name))
            self.connecting[name] = task
            task.add_done_callback(lambda _: self.connecting.pop(name, None))

    async def _connect(self, name: str) -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            with short_socket_name(self.presence.socket_path(name)) as address:
                await self.loop.sock_connect(sock, address)
            await self.loop.create_unix_connection(lambda: Link(self, is_newer=False, is_additional=True), sock=sock)
        except OSError as error:
            log.info("cannot connect to process %s: %s", name, error)
            sock.close()

    async def open(self, handover: ReceivedHandover | None) -> None:
        """Notify the predecessor, if there is one, that this process serves, and listen for a successor."""
        if handover is not None:
            _, link = await self.loop.create_unix_connection(
                lambda: Link(self, is_newer=False), sock=handover.connection
            )
            link.data_received(handover.buffered)
            link.send(ServingMessage())
        await self.listen()

    async def listen(self) -> None:
        """Listen for a successor.

        Called again after a successor has ended, since it had replaced the socket with its own.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self._bind(sock)
        except OSError as error:
            log.warning("cannot listen on %s, so no process can take over from this one: %s", self.path, error)
            sock.close()
            return
        previous_server = self.successor_server
        self.successor_server = await self.loop.create_unix_server(
            lambda: Link(self, is_newer=True, is_successor=True), sock=sock
        )
        if previous_server is not None:
            previous_server.close()

    def _bind(self, sock: socket.socket) -> None:
        """Bind to a temporary name and rename the socket, so that there is a socket at the path at all times."""
        with short_socket_name(self.path.with_name(f"{self.path.name}.new.{os.getpid()}")) as name:
            temporary = Path(name)
            with contextlib.suppress(FileNotFoundError):
                temporary.unlink()
            sock.bind(name)
            temporary.chmod(SOCKET_MODE)
            temporary.rename(self.path)

    def broadcast(self, message: Message, skip: Link | None = None) -> None:
        """Send a message over all links except `skip`."""
        receivers = [link for link in self.links if link is not skip]
        if not receivers:
            return
        line = encode_line(message)
        for link in receivers:
            link.send_line(line)

    def close(self) -> None:
        """Close all links and sockets, and withdraw the announcement."""
        for server in (self.successor_server, self.peer_server):
            if server is not None:
                server.close()
        for task in self.connecting.values():
            task.cancel()
        self.presence.withdraw()
        for link in list(self.links):
            link.close()
