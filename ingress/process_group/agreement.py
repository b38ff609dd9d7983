"""Agreement on configuration changes: all processes of one ingress apply a change, or none does.

The oldest process coordinates a two-phase commit: it prepares the change, asks the others to prepare it, and only then
asks all to commit. If a process rejects the change or does not reply in time, all stay on the current configuration;
a process that has ended does not count. Each process exchanges messages only with its predecessor and its successors,
and forwards them along that chain.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from msgspec import Struct

from ingress.process_group.agreement_messages import (
    AbortMessage,
    AgreementMessage,
    CommitMessage,
    Document,
    PrepareMessage,
    ProposeMessage,
    ReplyMessage,
    read_agreement_message,
    write_agreement_message,
)
from ingress.process_group.link import Link
from ingress.process_group.peer_messages import ChangeMessage

log = logging.getLogger(__name__)

# The admin server has to answer within 1 s, so LOCK_TIMEOUT_S + PREPARE_TIMEOUT_S is less than that, and so is
# PROPOSAL_TIMEOUT_S.
PREPARE_TIMEOUT_S = 0.3  # for a successor's reply to a prepare message
LOCK_TIMEOUT_S = 0.3  # for earlier changes to finish
PROPOSAL_TIMEOUT_S = 0.8  # for the coordinator's reply to a proposal
UNDER_WAY = "another change is under way"
NO_REPLY = "another process of this ingress does not answer"
NO_PREVIOUS = "there is no generation before"


class Preparation(Struct, frozen=True):
    """The outcome of preparing a change in one process.

    Attributes:
        rejection: The reason why the process rejects the change; empty if it accepts it.
        plan: The prepared change, to be committed; None if the change is rejected or changes nothing.
    """

    rejection: str = ""
    plan: Any = None


class Participant(Protocol):
    """The interface of the local process to the agreement."""

    def prepare(self, document: Mapping[str, Any]) -> Preparation:
        """Prepare a change without applying it."""

    def commit(self, plan: Any, cause: str, is_revert: bool) -> None:
        """Apply a prepared change; `is_revert` marks a return to the previous configuration."""

    def previous_document(self) -> Mapping[str, Any] | None:
        """Return the configuration before the current one; None if there is none."""

    def predecessor(self) -> Link | None:
        """Return the link to the process started before this one; None if there is none."""

    def successors(self) -> Iterable[Link]:
        """Return the links to the processes started after this one."""


class AwaitedReply(NamedTuple):
    """A pending reply to a request.

    Attributes:
        link: The link over which the request was sent.
        reply: Resolves to the reason for rejecting the change, to an empty string if it is accepted, or to None if the
            link is lost.
    """

    link: Link
    reply: asyncio.Future[str | None]


class Agreement:
    """Agrees on configuration changes with the other processes, as coordinator or as participant.

    Attributes:
        participant: The local process.
        name: The name of the local process, unique in the group; change ids and tokens begin with it.
        lock: Held while this process coordinates a change, so that it coordinates one at a time.
        pending: Requests that wait for a reply, by token.
        prepared: The prepared plan that waits for its commit, by change id; at most one.
        tasks: Tasks that are answering messages from other processes.
    """

    def __init__(self, participant: Participant, name: str) -> None:
        self.participant = participant
        self.name = name
        self.lock = asyncio.Lock()
        self.pending: dict[str, AwaitedReply] = {}
        self.prepared: dict[str, Any] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self._last_id = 0

    async def change(self, document: Mapping[str, Any] | None, cause: str) -> str:
        """Change the configuration of all processes; without a document, revert to the previous one.

        Returns:
            The reason why the change was rejected; empty if it was made.
        """
        predecessor = self.participant.predecessor()
        if predecessor is None:
            return await self._change_as_coordinator(document, cause)
        proposal = ProposeMessage(None if document is None else dict(document), cause, self._next_id())
        reason = await self._request(predecessor, proposal, PROPOSAL_TIMEOUT_S)
        # None: the link to the predecessor was lost, so this process may be the coordinator now.
        return await self.change(document, cause) if reason is None else reason

    async def _change_as_coordinator(self, document: Mapping[str, Any] | None, cause: str) -> str:
        try:
            async with asyncio.timeout(LOCK_TIMEOUT_S):
                await self.lock.acquire()
        except TimeoutError:
            return UNDER_WAY
        try:
            is_revert = document is None
            if document is None:
                document = self.participant.previous_document()
            return NO_PREVIOUS if document is None else await self._coordinate(dict(document), cause, is_revert)
        finally:
            self.lock.release()

    async def _coordinate(self, document: Document, cause: str, is_revert: bool) -> str:
        """Run both phases; if nothing changes for the coordinator, the other processes are not asked."""
        preparation = self.participant.prepare(document)
        if preparation.rejection or preparation.plan is None:
            return preparation.rejection
        change_id = self._next_id()
        reason = await self._prepare_successors(change_id, document)
        if reason:
            self._broadcast(AbortMessage(change_id))
            return reason
        self._broadcast(CommitMessage(change_id, document, cause, is_revert))
        self.participant.commit(preparation.plan, cause, is_revert)
        return ""

    async def _prepare_successors(self, change_id: str, document: Document) -> str:
        """Ask all successors to prepare a change.

        Returns:
            The first reason to reject the change; empty if no successor rejects it.
        """
        replies = await asyncio.gather(
            *(
                self._request(link, PrepareMessage(change_id, document, self._next_id()), PREPARE_TIMEOUT_S)
                for link in self.participant.successors()
            )
        )
        return next((reason for reason in replies if reason), "")

    async def _request(self, link: Link, message: ProposeMessage | PrepareMessage, timeout_s: float) -> str | None:
        """Send a request and wait for the reply.

        Returns:
            The reason in the reply, NO_REPLY after `timeout_s` seconds, or None if the link is lost.
        """
        request = AwaitedReply(link, asyncio.get_running_loop().create_future())
        self.pending[message.token] = request
        try:
            _send(link, message)
            async with asyncio.timeout(timeout_s):
                return await request.reply
        except TimeoutError:
            return NO_REPLY
        finally:
            del self.pending[message.token]

    def _next_id(self) -> str:
        self._last_id += 1
        return f"{self.name}-{self._last_id}"

    def _broadcast(self, message: AgreementMessage) -> None:
        for link in self.participant.successors():
            _send(link, message)

    def link_lost(self, link: Link) -> None:
        """Stop waiting for replies over a lost link; if it led to the predecessor, drop the prepared plan.

        The messages of the coordinator arrive over the link to the predecessor.
        """
        for request in self.pending.values():
            if request.link is link and not request.reply.done():
                request.reply.set_result(None)
        if not link.is_newer:
            self.prepared.clear()

    def receive(self, link: Link, message: Mapping[str, Any]) -> None:
        """Handle a message from another process; ignore one that this build does not know."""
        match read_agreement_message(message):
            case ReplyMessage(token=token, reason=reason):
                request = self.pending.get(token)
                if request is not None and not request.reply.done():
                    request.reply.set_result(reason)
            case ProposeMessage() as proposal:
                self._start(self._on_propose(link, proposal))
            case PrepareMessage() as preparation:
                self._start(self._on_prepare(link, preparation))
            case CommitMessage() as commit:
                self._on_commit(commit)
            case AbortMessage(change_id=change_id) as abort:
                self.prepared.pop(change_id, None)
                self._broadcast(abort)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _on_propose(self, link: Link, message: ProposeMessage) -> None:
        reason = await self.change(message.document, message.cause)
        _send(link, ReplyMessage(message.token, reason))

    async def _on_prepare(self, link: Link, message: PrepareMessage) -> None:
        preparation = self.participant.prepare(message.document)
        self.prepared = {} if preparation.rejection else {message.change_id: preparation.plan}
        reason = preparation.rejection or await self._prepare_successors(message.change_id, message.document)
        _send(link, ReplyMessage(message.token, reason))

    def _on_commit(self, message: CommitMessage) -> None:
        """Commit a change, preparing it first if this process joined after the others had prepared.

        If this process rejects the document at that point, it keeps its previous configuration while the others run
        the new one. Loading the same file again does not help, since the coordinator already runs it and sees no
        change. Another change, or a restart of this process, makes the configurations equal again.
        """
        if message.change_id in self.prepared:
            plan = self.prepared.pop(message.change_id)
        else:
            preparation = self.participant.prepare(message.document)
            plan = preparation.plan
            if preparation.rejection:
                log.error(
                    "%s: this process rejects a configuration that the other processes commit, and keeps its own: %s",
                    message.cause,
                    preparation.rejection,
                )
        if plan is not None:
            self.participant.commit(plan, message.cause, message.is_revert)
        self._broadcast(message)

    def close(self) -> None:
        """Cancel the tasks that are answering messages."""
        for task in self.tasks:
            task.cancel()


def _send(link: Link, message: AgreementMessage) -> None:
    link.send(ChangeMessage(write_agreement_message(message)))
