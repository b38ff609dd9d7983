"""Messages with which the processes of one ingress agree on a configuration change.

Processes of other builds read them, so their keys and the order of the keys never change.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeAlias

import msgspec
from msgspec import Struct

Document: TypeAlias = dict[str, Any]


class ProposeMessage(Struct, frozen=True, tag_field="step", tag="propose"):
    """Asks the predecessor to have a change made.

    Attributes:
        document: The configuration; None to revert to the previous one.
        cause: The cause of the change, for the log.
        token: The token that the reply repeats.
    """

    document: Document | None
    cause: str
    token: str


class PrepareMessage(Struct, frozen=True, tag_field="step", tag="prepare"):
    """Asks a successor to prepare a change and to reply.

    Attributes:
        change_id: The id of the change, which the commit or abort message repeats.
        document: The configuration.
        token: The token that the reply repeats.
    """

    change_id: str = msgspec.field(name="id")
    document: Document
    token: str


class CommitMessage(Struct, frozen=True, tag_field="step", tag="commit"):
    """Tells a successor to commit a change.

    Attributes:
        change_id: The id from the prepare message.
        document: The configuration, for a process that joined after the others had prepared.
        cause: The cause of the change, for the log.
        is_revert: True if the change reverts to the previous configuration.
    """

    change_id: str = msgspec.field(name="id")
    document: Document
    cause: str
    is_revert: bool = msgspec.field(name="back")


class AbortMessage(Struct, frozen=True, tag_field="step", tag="abort"):
    """Tells a successor to drop a prepared change.

    Attributes:
        change_id: The id from the prepare message.
    """

    change_id: str = msgspec.field(name="id")


class ReplyMessage(Struct, frozen=True, tag_field="step", tag="reply"):
    """Replies to a propose or prepare message.

    Attributes:
        token: The token of the request.
        reason: The reason why the change is rejected; empty if it is accepted.
    """

    token: str
    reason: str


AgreementMessage: TypeAlias = ProposeMessage | PrepareMessage | CommitMessage | AbortMessage | ReplyMessage


def read_agreement_message(message: Mapping[str, Any]) -> AgreementMessage | None:
    """Decode a message; return None for one that this build does not know."""
    try:
        found: AgreementMessage = msgspec.convert(message, AgreementMessage)
    except msgspec.ValidationError:
        return None
    return found


def write_agreement_message(message: AgreementMessage) -> dict[str, Any]:
    """Encode a message as `read_agreement_message` reads it."""
    written: dict[str, Any] = msgspec.to_builtins(message)
    return written
