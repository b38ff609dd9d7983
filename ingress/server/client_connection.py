"""One client connection: receives RESP2 commands and sends the responses in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from typing import Any, Protocol

from ingress.protocols.resp import LONG_VALUE_BYTES
from ingress.runtime.clock import Clock
from ingress.runtime.memory_budget import Holder, MemoryAccount, MemoryBudget
from ingress.runtime.sockets import has_receive_capacity, is_closed_by_peer, peek_byte, seconds_since_last_receive
from ingress.server.builtin_commands import answer_builtin
from ingress.server.close_reason import CloseReason
from ingress.server.command_parser import CommandParser
from ingress.server.commands import READ_VERB, WRITE_VERB, CommandError, CommandReader
from ingress.server.eviction import KnownAddresses
from ingress.server.lingering_connection import LingeringConnection
from ingress.server.request_receiver import RequestReceiver
from ingress.server.response_slot import ResponseSlot
from ingress.server.turn_scheduler import TurnScheduler
from ingress.server.upload_reader import UploadReader

log = logging.getLogger(__name__)

MAX_PIPELINED = 64  # Commands of a connection that wait for a response; no more are read until some are answered.
MAX_MALFORMED = 16  # Malformed commands that are tolerated on a connection; the next one ends it.
DRAIN_ACCEPT_DELAY = 0.2  # Seconds for the first request on a connection that is established during a drain.

PARSED_BYTES = 4096  # Parsed at once, besides the rest of a string; what is left waits if the turn is over then.
MIN_TRACKED_WRITE_BYTES = 4096  # Smaller writes are left out of the memory account while they wait for the kernel.

TRY_AGAIN_LATER = b"-BUSY 1000\r\n"  # With the milliseconds after which the client may try again.
INTERNAL_ERROR = b"-ERR internal error\r\n"


class ConnectionOwner(Protocol):
    """The parts of the accepting server that a connection uses.

    Attributes:
        loop: The event loop of the server.
        clock: Returns the current time in seconds.
        handler: Receives the requests.
        command_reader: Reads commands under the active settings.
        is_ready: Whether `PING` is answered with success.
        draining_since: The time since which connections are closed once they are idle; None without a drain.
        budget: The memory budget of the process.
        known_addresses: The addresses that have sent requests.
        turns: Gives each connection its turn to execute commands.
    """

    loop: asyncio.AbstractEventLoop
    clock: Clock
    handler: RequestReceiver
    command_reader: CommandReader
    is_ready: bool
    draining_since: float | None
    budget: MemoryBudget
    known_addresses: KnownAddresses
    turns: TurnScheduler

    def read_buffer(self) -> memoryview:
        """Return the buffer for reads; the bytes read must be copied out before the following read."""
        ...

    def read_delay(self, sock: socket.socket, now: float) -> float:
        """Return for how many seconds the bytes that are read now have been waiting in the socket."""
        ...

    def record_malformed(self, reason: str, peer: str) -> None:
        """Count and log a malformed command."""
        ...

    def record_closed(self, reason: CloseReason) -> None:
        """Count a connection that this side closes."""
        ...

    def connection_lost(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        ...


class ClientConnection(LingeringConnection):
    """One client connection.

    Attributes:
        slots: The response slots of the commands without a complete response, in the order of the commands.
        upload: The reader of a long body while it is being received.
        unparsed: The bytes received after a command that has not been executed yet.
        received_at: The time at which the bytes that were read last arrived at this machine.
        last_used_at: The time at which a command was last read or a response last written.
        command_due_since: The time since which a complete command has been due; None if none is due.
        unsent_bytes: The number of written bytes that are still in the write buffer.
        unsent_since: The time since which that number has not changed.
        malformed_count: The number of malformed commands so far.
        has_sent_request: Whether a complete request has been received.
        read_count: How many times a part of the current command has been received.
        pipeline_full: Whether too many commands wait for a response.
        waits_for_turn: Whether commands are left to be executed in the next turn.
        is_write_paused: Whether writing is paused because the client reads slowly.
        is_draining: Whether reading has stopped while the commands already received are answered.
        is_unlimited: Whether all received commands are executed at once, whatever waits for the client.
        memory: The account of what the connection holds.
        lacks_memory: Whether reading has stopped because there is no room for more of an incomplete command.
        holds_responses: Whether responses behind the next one are left in their sockets, because there is no room.
        write_window: The size of the write buffer in bytes above which writing is paused; 0 for the default.
    """

    __slots__ = (
        "command_due_since",
        "has_sent_request",
        "holds_responses",
        "is_draining",
        "is_unlimited",
        "is_write_paused",
        "lacks_memory",
        "last_used_at",
        "malformed_count",
        "memory",
        "parser",
        "peer",
        "pipeline_full",
        "read_count",
        "received_at",
        "scanner",
        "server",
        "slots",
        "unparsed",
        "unsent_bytes",
        "unsent_since",
        "upload",
        "waits_for_turn",
        "write_window",
    )

    def __init__(self, server: ConnectionOwner, sock: socket.socket, peer: str) -> None:
        super().__init__(server.loop, sock)
        self.server = server
        self.peer = peer
        self.parser = CommandParser()
        self.scanner = self.parser.scanner
        self.slots: deque[ResponseSlot] = deque()
        self.upload: UploadReader | None = None
        self.unparsed = b""
        self.received_at = 0.0
        self.last_used_at = server.clock()
        # The time that a connection spent in the accept queue counts towards the timeout of its first command.
        self.command_due_since: float | None = self.last_used_at - seconds_since_last_receive(sock)
        self.unsent_bytes = 0
        self.unsent_since = self.last_used_at
        self.malformed_count = 0
        self.has_sent_request = False
        self.read_count = 0
        self.pipeline_full = False
        self.waits_for_turn = False
        self.is_write_paused = False
        self.is_draining = False
        self.is_unlimited = False
        self.memory: MemoryAccount = server.budget.open_account(self._memory_available)
        self.lacks_memory = False
        self.holds_responses = False
        self.write_window = 0

    # Reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the event loop's notification that the connection is established."""
        super().connection_made(transport)
        if self.server.draining_since is not None:
            # `set_draining` can't close a connection that is not established yet, so it is drained here. The delay
            # leaves time for a request that is already on the way.
            self.loop.call_later(DRAIN_ACCEPT_DELAY, self._drain_if_draining)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads."""
        size = self.memory.read_size() if self.upload is None else self.server.budget.stream_window()
        return self.server.read_buffer()[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that the event loop has read into the buffer."""
        if self.is_closing:
            self.drop_received(nbytes)
        else:
            self.data_received(bytes(self.server.read_buffer()[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received bytes: commands and long bodies."""
        now = self.last_used_at = self.server.clock()
        self.received_at = now - self.server.read_delay(self.socket, now)
        received = self.unparsed + data if self.unparsed else data
        if self.server.turns.begin_turn():
            self._consume(received)
        else:
            self.unparsed = received
            self._wait_for_turn()
            self._update_reading()

    def take_turn(self) -> None:
        """Execute commands until the turn is over; wait for another turn if some are left."""
        self.waits_for_turn = False
        self._resume_reading()

    def _wait_for_turn(self) -> None:
        self.waits_for_turn = True
        self.server.turns.wait(self)

    def _consume(self, data: bytes) -> None:
        self.unparsed = b""
        while data and not self.is_closing:
            if self.upload is not None:
                data = self._read_upload(self.upload, data)
            elif self.scanner.long_argument_size or self._is_execution_paused():
                self.unparsed = data  # It waits for the commands before it.
                return
            else:
                size = self.scanner.string_bytes_left + PARSED_BYTES
                data = self._read_commands(data[:size]) + data[size:]

    def _is_execution_paused(self) -> bool:
        """Report whether commands that are received now have to wait."""
        is_paused = self.waits_for_turn or self.pipeline_full or self.is_write_paused
        return is_paused and not self.is_unlimited

    def _read_commands(self, data: bytes) -> bytes:
        """Parse and execute commands; return the remaining bytes, which begin with a long body."""
        frames_before = self.scanner.complete_frames()
        try:
            remaining = self.parser.feed(data)
        except CommandError as error:
            self.fail_protocol(str(error))
            return b""
        if not self.scanner.in_frame():
            self.command_due_since = None
            self.read_count = 0
        elif self.command_due_since is None or self.scanner.complete_frames() > frames_before:
            self.command_due_since = self.received_at
            self.read_count = 1
        else:
            self.read_count += 1
        self._execute_parsed()
        return remaining

    def _read_upload(self, upload: UploadReader, data: bytes) -> bytes:
        """Pass a chunk of the current body to the handler; return the bytes after the body."""
        chunk = upload.take_chunk(data, self.server.clock())
        self.read_count += 1
        is_last = not upload.bytes_left
        if is_last:
            self.upload = None
            if not upload.is_terminated():
                self.server.record_malformed("long body is not followed by CRLF at its declared size", self.peer)
                self.server.record_closed(CloseReason.MALFORMED)
                self._abandon_upload(upload)
                return b""
            self._record_request()
        self.server.handler.receive_body(upload.slot, chunk, is_last, self.received_at)
        if is_last and self.server.draining_since is not None:
            self.drain()
        self._update_reading()
        return data[len(chunk) :]

    def fail_upload(self) -> None:
        """End the connection because the rest of the current body is overdue."""
        if self.upload is not None:
            self.server.record_closed(CloseReason.OVERDUE)
            self._abandon_upload(self.upload)

    def _abandon_upload(self, upload: UploadReader) -> None:
        """End the request of an invalid body without a response, and the connection after the responses before it."""
        self.upload = None
        self.is_closing = True
        self.server.handler.client_disconnected(upload.slot)
        upload.slot.drop()
        self.flush()
        self._close_when_finished()

    def drop_upload(self) -> None:
        """End the request of an incomplete body, the only one of the connection, without a response."""
        if self.upload is not None:
            self.server.handler.client_disconnected(self.upload.slot)
            self.upload.slot.drop()
            self.upload = None
            self.slots.clear()

    def pause_upload(self, is_paused: bool) -> None:
        """Pause or resume reading the current body, as back-pressure on the client."""
        if self.upload is not None:
            self.upload.set_paused(is_paused, self.server.clock())
        self._update_reading()

    @property
    def upload_paused(self) -> bool:
        """Whether reading of the current body is paused."""
        return self.upload is not None and self.upload.is_paused

    def _resume_reading(self) -> None:
        """Process the commands and bytes that were left waiting, and resume reading."""
        self._execute_parsed()
        if self.unparsed and not self.waits_for_turn:
            self._consume(self.unparsed)
            self._update_reading()
        if self.is_draining and self._is_finished():
            self.close_gracefully()

    def _update_reading(self) -> None:
        """Pause or resume reading from the client.

        This is back-pressure on a client that does not read its responses or that pipelines too many commands.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._update_memory()
        is_blocked = (
            self.pipeline_full
            or self.waits_for_turn
            or self.lacks_memory
            or self.is_write_paused
            or self.unparsed
            or (self.is_draining and self.upload is None)
            or self.is_closing
            or self.upload_paused
        )
        if is_blocked and self.linger_timer is None:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # Memory

    def _update_memory(self) -> None:
        """Count what has been received and not executed, and decide whether there is room for more of it."""
        self.memory.resize(Holder.COMMANDS, self.parser.held_bytes() + len(self.unparsed))
        self.lacks_memory = not self.memory.may_read() and self.upload is None and not self.is_closing
        if self.lacks_memory:
            self.memory.wait()

    def update_unsent(self) -> None:
        """Count what is written and not accepted by the kernel."""
        if self.transport is not None:
            self.memory.resize(Holder.WRITES, self.transport.get_write_buffer_size())

    def check_memory(self) -> None:
        """Update the account, and try again to go on if there was no room."""
        self.update_unsent()
        if self.lacks_memory or self.holds_responses:
            self._resume_with_memory()

    def may_receive(self, slot: ResponseSlot) -> bool:
        """Report whether the response of this slot may be read: it can be passed on, or there is room for it."""
        if self.is_next(slot) and not self.is_write_paused:
            return True
        if not self.holds_responses and not self.memory.fits(LONG_VALUE_BYTES):
            self.holds_responses = True
            self.memory.wait()
        return not self.holds_responses

    def is_next(self, slot: ResponseSlot) -> bool:
        """Report whether the slot has no incomplete response before it."""
        return self._next_incomplete() is slot

    def is_next_to_write(self, slot: ResponseSlot) -> bool:
        """Report whether the slot has no response before it."""
        return bool(self.slots) and self.slots[0] is slot

    def _next_incomplete(self) -> ResponseSlot | None:
        if self.slots and self.slots[0].answer_data is None:
            return self.slots[0]  # The usual case.
        return next((slot for slot in self.slots if slot.answer_data is None), None)

    def _update_responses(self) -> None:
        """Leave the responses that have to wait in their sockets while there is no room for them."""
        should_hold = len(self.slots) > 1 and not self.memory.fits(LONG_VALUE_BYTES)
        if not should_hold and not self.holds_responses:
            return
        self.holds_responses = should_hold
        if should_hold:
            self.memory.wait()
        for slot in self.slots:
            if slot.answer_data is None:
                self.server.handler.set_response_reading(slot, self.may_receive(slot))

    def _memory_available(self) -> None:
        """Handle the notification of the memory budget that there is room again."""
        self.loop.call_soon(self._resume_with_memory)

    def _resume_with_memory(self) -> None:
        self._update_responses()
        self._update_reading()

    # Commands

    def _execute_parsed(self) -> None:
        """Execute the commands that the parser has completed, up to the limit on pipelined commands.

        What can't be parsed any further ends the connection once all commands before it are executed.
        """
        while self._may_execute():
            try:
                arguments = self.parser.next_command()
            except CommandError as error:
                self.fail_protocol(str(error))
                return
            if arguments is not None:
                self._execute(arguments, self.parser.take_body_size())
            elif self.scanner.error:
                self.fail_protocol(self.scanner.error)
                return
            else:
                break
        self._update_reading()

    def _may_execute(self) -> bool:
        """Report whether another command may be executed now."""
        if self.transport is None or self.is_closing:
            return False
        if self.is_unlimited:
            return True
        if len(self.slots) >= MAX_PIPELINED:
            self.pipeline_full = True
            return False
        if self.is_write_paused:
            return False
        if self.server.turns.is_turn_over() and self.parser.has_command():
            self._wait_for_turn()
            return False
        return True

    def execute_all(self) -> None:
        """Execute all received commands now; for a handler that answers each of them at once."""
        self.is_unlimited = True
        self.waits_for_turn = False
        self._resume_reading()

    def has_unexecuted(self) -> bool:
        """Report whether a command has been received that waits to be executed."""
        return self.parser.has_command() or bool(self.unparsed)

    def _execute(self, arguments: list[Any], body_size: int) -> None:
        """Execute one command.

        An unexpected exception is answered as an internal error; it ends neither the process nor other requests.
        """
        slot = ResponseSlot(self)
        self.slots.append(slot)
        try:
            self._dispatch(slot, arguments, body_size)
        except CommandError as error:
            self._reject_command(slot, str(error), body_size)
        except Exception:
            log.exception("internal error while executing a client command")
            slot.answer(INTERNAL_ERROR)

    def _dispatch(self, slot: ResponseSlot, arguments: list[Any], body_size: int) -> None:
        if not arguments or not all(isinstance(argument, bytes) for argument in arguments):
            raise CommandError("a command is an array of bulk strings")
        verb = arguments[0].upper()
        if verb in (READ_VERB, WRITE_VERB):
            command = self.server.command_reader.read(verb, arguments, body_size)
            if body_size:
                self.upload = UploadReader(slot, body_size, self.last_used_at)
            else:
                self._record_request()
            self.server.handler.receive_request(slot, command, self.received_at)
        elif body_size:
            raise CommandError("value too large")
        else:
            slot.answer(answer_builtin(arguments, self.server.is_ready))

    def _record_request(self) -> None:
        """Record that this client sends complete requests."""
        if not self.has_sent_request:
            self.has_sent_request = True
            self.server.known_addresses.add(self.peer)

    def _reject_command(self, slot: ResponseSlot, reason: str, body_size: int) -> None:
        self.server.record_malformed(reason, self.peer)
        self.is_closing = body_size > 0  # The body of a rejected command is not read.
        slot.answer(b"-ERR %b\r\n" % reason.encode())
        self.malformed_count += 1
        if self.malformed_count > MAX_MALFORMED:
            self.fail_protocol("too many malformed commands")

    def fail_protocol(self, reason: str, close_reason: CloseReason = CloseReason.MALFORMED) -> None:
        """End the connection after the outstanding responses and an error.

        After a protocol error the stream can't be parsed any further.
        """
        self.server.record_malformed(reason, self.peer)
        self.server.record_closed(close_reason)
        self._end_after(b"-ERR %b\r\n" % reason.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" "))

    def refuse_incomplete(self) -> None:
        """End the connection because there was no room for the rest of its command; the client may try again."""
        self.server.record_closed(CloseReason.NO_MEMORY)
        self._end_after(TRY_AGAIN_LATER)

    def _end_after(self, last_answer: bytes) -> None:
        """End the connection after the outstanding responses and one more; what else was received is dropped."""
        self.is_closing = True
        self._drop_unexecuted()
        slot = ResponseSlot(self)
        self.slots.append(slot)
        slot.answer(last_answer)
        self._update_reading()

    def _drop_unexecuted(self) -> None:
        """Drop what was received and not executed, with the buffers that hold it."""
        self.parser = CommandParser()
        self.scanner = self.parser.scanner
        self.unparsed = b""

    # Writing

    def flush(self) -> None:
        """Write the complete responses at the head of the queue, and the available chunks of the one after them."""
        self._fail_broken_value()
        ready = []
        while self.slots and self.slots[0].answer_data is not None:
            ready.append(self.slots.popleft().take_answer())
        if self.slots and self.slots[0].source is not None:
            ready += self.slots[0].take_chunks()
            self._limit_write_buffer()
        if self.transport is None or self.linger_timer is not None:
            return
        if self.slots:
            self._update_responses()
        if not ready:
            return
        self._write(ready[0] if len(ready) == 1 else b"".join(ready))
        self._resume_source()
        if self._is_finished():
            self.close_gracefully()
        elif self.pipeline_full and len(self.slots) <= MAX_PIPELINED // 2:
            self.pipeline_full = False
            self._wait_for_turn()

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)
        self.last_used_at = self.server.clock()
        if len(data) >= MIN_TRACKED_WRITE_BYTES:
            self.loop.call_soon(self.update_unsent)  # The event loop passes the data to the kernel before that.

    def _limit_write_buffer(self) -> None:
        """Let the write buffer hold no more of a long value than its window."""
        window = self.server.budget.stream_window()
        if window != self.write_window and self.transport is not None:
            self.write_window = window
            self.transport.set_write_buffer_limits(high=window)

    def _fail_broken_value(self) -> None:
        """Fail the next response if it is a broken value of which nothing is written; the error is then written."""
        incomplete = self._next_incomplete()
        if incomplete is not None:
            incomplete.fail_if_broken()

    def _is_finished(self) -> bool:
        """Report whether the connection must be closed now because everything is answered."""
        if self.slots or self.upload is not None:
            return False
        if self.is_closing:
            return True
        return self.server.draining_since is not None and not self.has_unexecuted()

    def _close_when_finished(self) -> None:
        """Close the connection now if everything is answered, else with the last answer."""
        if self._is_finished():
            self.close_gracefully()
        else:
            self._update_reading()

    def _resume_source(self) -> None:
        """Resume the source of the long value at the head of the queue unless writing is paused."""
        if self.slots and self.slots[0].source is not None and not self.is_write_paused:
            self.slots[0].source.resume()

    def pause_writing(self) -> None:
        """Handle the event loop's notification that the write buffer is full."""
        self.is_write_paused = True
        self.update_unsent()
        self._update_responses()
        self._update_reading()

    def resume_writing(self) -> None:
        """Handle the event loop's notification that the write buffer has drained."""
        self.is_write_paused = False
        self.update_unsent()
        self._update_responses()
        self._resume_source()
        self._wait_for_turn()

    # Draining

    def drain(self) -> None:
        """Close the connection once it is idle.

        Commands sent after a request in flight are no longer read; the client sends them to another gateway. Those that
        have been read are answered, also if they still wait to be executed.
        """
        if self.upload is not None:
            return  # `_read_upload` drains once the body is complete.
        if self.slots or self.has_unexecuted():
            self.is_draining = True
            self._update_reading()
        elif self.is_idle():
            self.close_gracefully()

    def end(self) -> None:
        """Close the connection after the answers to all commands that have been read, and after values in progress."""
        self.execute_all()
        self.is_closing = True
        self.upload = None
        self._close_when_finished()

    def has_unfinished(self) -> bool:
        """Report whether the client still has to receive a response or a part of one."""
        return bool(self.slots) or self.has_undelivered()

    def stop_draining(self) -> None:
        """Resume reading after a cancelled drain."""
        self.is_draining = False
        self._update_reading()

    def _drain_if_draining(self) -> None:
        if self.server.draining_since is not None:
            self.drain()

    def is_idle(self) -> bool:
        """Report whether no request is in flight, waiting to be executed, partly received or unread in the socket.

        The socket is checked as well, so that a request that has arrived but that the event loop has not reported yet
        does not find its connection closed.
        """
        if self.slots or self.upload is not None or self.has_unexecuted():
            return False
        if self.transport is None or self.linger_timer is not None:
            return False
        return not self.scanner.in_frame() and not peek_byte(self.socket)

    def is_disconnected(self) -> bool:
        """Report whether the client can't be answered any more, even if the event loop has not reported it yet.

        The event loop reports no disconnect while reading is paused, and reports it late during CPU starvation.
        """
        if self.transport is None or self.linger_timer is not None or self.transport.is_closing():
            return True
        unread = peek_byte(self.socket)
        return unread is None or (bool(unread) and is_closed_by_peer(self.socket))

    def has_unread(self) -> bool:
        """Report whether the client has sent something that is not read yet."""
        return bool(peek_byte(self.socket))

    def may_be_disconnected(self) -> bool:
        """Report whether the client may have closed without a sign of it, because the receive buffer is full.

        The end of the stream arrives only behind all that the client has sent.
        """
        return self.transport is not None and self.has_unread() and not has_receive_capacity(self.socket)

    # Disconnecting

    def eof_received(self) -> None:
        """Handle the event loop's notification that the client has closed its sending side."""
        self.disconnected()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle the event loop's notification that the connection is closed."""
        self.disconnected()
        self.server.connection_lost(self)

    def disconnected(self) -> None:
        """End all requests in flight of a client that has disconnected."""
        transport = self.transport
        self.transport = None
        if transport is not None:
            transport.close()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self._drop_unexecuted()
        slots = self.slots
        self.slots = deque()
        self.upload = None
        self.memory.close()
        self.server.turns.remove(self)
        for slot in slots:
            if slot.answer_data is None:
                slot.drop()
                self.server.handler.client_disconnected(slot)
