"""A link: a connection to another process of the same ingress, with each message as one line of JSON."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from typing import Any, Protocol, cast

from ingress.process_group.handover_messages import HandoverMessage
from ingress.process_group.peer_messages import Message, PeerMessage, read_peer_message

log = logging.getLogger(__name__)

MAX_WRITE_BUFFER_BYTES = 8 << 20  # a link is closed if more bytes wait for the other process to read them
MAX_LINE_BYTES = 16 << 20
# The byte that precedes the handover message. If the listening socket is passed on, it is sent as ancillary data of
# this byte. JSON decoders skip the blank.
HANDOVER_PREFIX = b" "


class LinkDelegate(Protocol):
    """Handles the events of all links of the local process."""

    def handover_for_successor(self) -> tuple[socket.socket | None, HandoverMessage]:
        """Return the listening socket, None if it is closed, and the handover message for a successor."""

    def links_changed(self) -> None:
        """Handle a link that was made or lost."""

    def link_made(self, link: Link) -> None:
        """Handle a new link to a process that already has its state from elsewhere."""

    def successor_linked(self, link: Link) -> None:
        """Handle a new link to a process that has just been sent the handover message."""

    def link_lost(self, link: Link) -> None:
        """Handle the loss of a link, because the other process has ended or cannot be reached."""

    def message_received(self, link: Link, message: PeerMessage) -> None:
        """Handle a message from the other process.

        Raises:
            KeyError: A key is missing in the message.
            TypeError: A value in the message has the wrong type.
            ValueError: A value in the message is out of range.
        """


class LinkRegistry(Protocol):
    """Keeps all links of the local process.

    Attributes:
        delegate: The handler of link events.
        links: The open links.
        messages_sent: The number of messages sent over all links.
        bytes_sent: The number of bytes sent over all links.
    """

    delegate: LinkDelegate
    links: set[Link]
    messages_sent: int
    bytes_sent: int


def encode_line(message: Message) -> bytes:
    """Encode a message as one line of JSON."""
    return json.dumps(message.to_message()).encode() + b"\n"


class Link(asyncio.Protocol):
    """A connection to another process.

    Attributes:
        registry: The registry to which this link belongs.
        is_newer: True if the other process started after this one.
        is_successor: True if the other process takes over from this one, and is sent its state.
        is_additional: True if the other process already has its state, from an earlier link or another process.
        name: The name of the other process; empty until it has sent its member record.
        transport: The transport of the connection; None while it is closed.
        buffer: The received bytes of a line that is not complete yet.
        reported_usage: The client connections, endpoint connections and bytes in use that the other process reported;
            empty until it has. Only needed for builds without membership.
    """

    def __init__(
        self, registry: LinkRegistry, *, is_newer: bool, is_successor: bool = False, is_additional: bool = False
    ) -> None:
        self.registry = registry
        self.is_newer = is_newer
        self.is_successor = is_successor
        self.is_additional = is_additional
        self.name = ""
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.reported_usage: tuple[int, ...] = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the link, and hand over the state if the other process takes over; part of `asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport classes
        delegate = self.registry.delegate
        if self.is_successor:
            self._hand_over(*delegate.handover_for_successor())
        self.registry.links.add(self)
        delegate.links_changed()
        if self.is_additional:
            delegate.link_made(self)
        elif self.is_successor:
            delegate.successor_linked(self)

    def _hand_over(self, listener: socket.socket | None, message: HandoverMessage) -> None:
        assert self.transport is not None
        if listener is not None:
            self._send_socket(listener)
        else:
            self.transport.write(HANDOVER_PREFIX)
        self.send(message)

    def _send_socket(self, listener: socket.socket) -> None:
        """Send the listening socket as ancillary data of the blank that precedes the handover message."""
        assert self.transport is not None
        descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
        with socket.socket(fileno=descriptor) as connection:
            socket.send_fds(connection, [HANDOVER_PREFIX], [listener.fileno()])

    def send(self, message: Message) -> None:
        """Send a message; close the link if the other process does not read."""
        self.send_line(encode_line(message))

    def send_line(self, line: bytes) -> None:
        """Send a message that `encode_line` has encoded; close the link if the other process does not read."""
        if self.transport is None:
            return
        self.registry.messages_sent += 1
        self.registry.bytes_sent += len(line)
        self.transport.write(line)
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            log.warning(
                "closing the link to process %s: it does not read, and more than %d bytes wait to be sent",
                self.name or "(name unknown)",
                MAX_WRITE_BUFFER_BYTES,
            )
            self.transport.abort()

    def close(self) -> None:
        """Close the connection once its write buffer is empty."""
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Handle all complete lines and buffer the rest; part of `asyncio.Protocol`."""
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            try:
                self._message_received(json.loads(line))
            except (ValueError, TypeError, KeyError, AttributeError) as error:
                log.warning(
                    "ignoring an invalid message from process %s: %.80r: %s: %s",
                    self.name or "(name unknown)",
                    line,
                    type(error).__name__,
                    error,
                )
        if len(self.buffer) > MAX_LINE_BYTES and self.transport is not None:
            self.transport.abort()

    def _message_received(self, source: Any) -> None:
        message = read_peer_message(source)
        if message is not None:
            self.registry.delegate.message_received(self, message)

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregister the link and report its loss; part of `asyncio.Protocol`."""
        self.transport = None
        self.registry.links.discard(self)
        self.registry.delegate.link_lost(self)
