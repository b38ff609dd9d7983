"""Configuration changes: all processes of an ingress apply the same change, or none does."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from ingress.configuration.applier import PreparedConfig
from ingress.configuration.document import Config, ConfigError, with_shared_document
from ingress.configuration.versions import MAX_SHOWN_DIFFERENCES, ConfigVersions
from ingress.process_group.agreement import UNDER_WAY, Agreement, Preparation
from ingress.process_group.link import Link
from ingress.runtime.logs import INGRESS_LOG

log = logging.getLogger(__name__)

MAX_CHANGE_ATTEMPTS = 20  # A change is retried while another one is in progress.


class Applier(Protocol):
    """Applies a configuration to this process."""

    def prepare(self, config: Config) -> PreparedConfig:
        """Create every component whose creation may fail, without changing the process."""

    def commit(self, prepared: PreparedConfig, previous: Config) -> None:
        """Apply a prepared configuration to the process; this cannot fail."""


class ConfigChanges:
    """Coordinates reloads and reverts with the other processes until the new version is active in all of them.

    This is the `Participant` of the agreement: it prepares and commits changes in this process.
    """

    def __init__(
        self,
        config: Config,
        applier: Applier,
        predecessor: Callable[[], Link | None],
        successors: Callable[[], Iterable[Link]],
    ) -> None:
        """Start with `config` as the first version.

        Args:
            config: The configuration with which the process started.
            applier: Applies a configuration to this process.
            predecessor: Returns the link to the process that started before this one.
            successors: Returns the links to the processes that started after this one.
        """
        self.versions = ConfigVersions(config)
        self.applier = applier
        self.predecessor = predecessor
        self.successors = successors
        self.agreement = Agreement(self, f"{config.name}-{os.getpid()}")

    @property
    def config(self) -> Config:
        """The active configuration."""
        return self.versions.current.config

    async def change(self, config: Config, cause: str) -> str:
        """Make `config` the active version in all processes.

        Returns:
            An empty string on success, otherwise the reason why nothing was changed.
        """
        key = self.versions.immutable_key(config)
        if key:
            return self.reject(cause, _immutable(key))
        if config.digest == self.config.digest:
            log.info("%s: %s: the configuration is unchanged", config.name, cause)
            return ""
        for _ in range(MAX_CHANGE_ATTEMPTS):
            reason = await self.agreement.change(config.document, cause)
            if reason != UNDER_WAY:
                break
        return self.reject(cause, reason) if reason else ""

    async def revert(self) -> str:
        """Return to the previous version in all processes; the result is the reply to the admin command."""
        reason = await self.agreement.change(None, "revert")
        if reason:
            return f"fail {self.reject('revert', reason)}"
        return "ok"

    def adopt(self, documents: Sequence[Mapping[str, Any]]) -> None:
        """Adopt the versions of the predecessor process, the active one last, even if the file has changed since."""
        if not documents:
            return  # The predecessor runs a build that does not send its versions.
        *earlier, active = documents
        preparation = self.prepare(active)
        if preparation.rejection:
            self.reject("take over", preparation.rejection)
            return
        if preparation.plan is not None:
            self.commit(preparation.plan, "take over", False)
        try:
            self.versions.inherit([with_shared_document(self.config, document) for document in earlier])
        except ConfigError as error:
            log.warning("take over: dropping the earlier configuration versions of the predecessor: %s", error)

    def reject(self, cause: str, reason: str) -> str:
        """Record and log why a change was rejected, and return the reason."""
        self.versions.record_rejection(cause, reason)
        log.error("%s: %s", cause, reason)
        return reason

    def prepare(self, document: Mapping[str, Any]) -> Preparation:
        """Prepare a change in this process; the plan is a `PreparedConfig`."""
        try:
            config = with_shared_document(self.config, document)
            key = self.versions.immutable_key(config)
            if key:
                return Preparation(_immutable(key))
            if config.digest == self.config.digest:
                return Preparation()
            return Preparation(plan=self.applier.prepare(config))
        except ConfigError as error:
            return Preparation(str(error))
        except Exception as error:
            INGRESS_LOG.exception("preparing a configuration change failed")
            return Preparation(f"{type(error).__name__}: {error}")

    def commit(self, plan: PreparedConfig, cause: str, is_revert: bool) -> None:
        """Commit a prepared configuration and log its differences from the one it replaces."""
        previous = self.versions.previous
        if is_revert and previous is not None:
            cause = f"{cause} to {previous.number}"
        was_reverted = plan.config.digest == self.versions.reverted_digest
        replaced = self.config
        version = self.versions.accept(plan.config, cause, is_revert)
        self.applier.commit(plan, replaced)
        log.info(
            "%s: %s: generation %d is active (digest %s)%s",
            self.config.name,
            cause,
            version.number,
            plan.config.digest,
            "; it was reverted before" if was_reverted else "",
        )
        for line in self.versions.differences[:MAX_SHOWN_DIFFERENCES]:
            log.info("%s: %s", self.config.name, line)

    def previous_document(self) -> Mapping[str, Any] | None:
        """Return the document that a revert would restore, or None if there is no previous version."""
        previous = self.versions.previous
        return previous.config.document if previous is not None else None


def _immutable(key: str) -> str:
    return f"{key} can't change in a running process"
