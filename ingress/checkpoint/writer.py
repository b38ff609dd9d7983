"""Writes the checkpoint of this process: snapshots at intervals, and a log of the usage in between.

A record is written before its request is sent, so a process that is killed has spent nothing that its log does not
contain. A snapshot is made in small parts between requests; the state of each customer is stored with the number of the
last record that it includes. If a record cannot be written, the checkpoint is deleted, requests continue, and the next
snapshot starts a new one.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import os
import secrets
import time
from contextlib import suppress

from ingress.checkpoint.clock_readings import read_boot_id, seconds_since_boot
from ingress.checkpoint.files import CheckpointFiles
from ingress.checkpoint.format import (
    SnapshotHeader,
    UsageRecord,
    encode_customers,
    encode_heartbeat,
    encode_line,
    log_header,
    seal_snapshot,
)
from ingress.checkpoint.source import CheckpointSource
from ingress.decisions.handover_state import QuotaUsage
from ingress.runtime.clock import Clock

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.5  # a heartbeat is written to the log after this time without a record
CHUNK_CUSTOMERS = 200  # customers that are encoded before other tasks run
# The minimum ratio of the pause after a snapshot to the CPU time that the process used during the snapshot.
MIN_PAUSE_RATIO = 50
LOCK_RETRY_INTERVAL_S = 0.1
LOCK_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
LOG_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
FILE_MODE = 0o600
TOKEN_BYTES = 8
TIME_DECIMALS = 6  # times in the log have a resolution of 1 microsecond
CLOSED = -1  # in place of the descriptor of a file that is not open


class CheckpointWriter:
    """Writes the checkpoint while this process holds the lock.

    Attributes:
        files: The files of the checkpoint.
        interval: The interval between snapshots, in seconds.
        source: The provider of the state that is written.
        clock: The clock of the decision module.
        loop: The event loop.
        lock_descriptor: The descriptor of the lock file; CLOSED while this process does not hold the lock.
        log_descriptor: The descriptor of the current log; CLOSED while no log is written.
        log_number: The number of the current log.
        last_record: The number of the last record.
        token: The token of the latest snapshot; empty before the first.
        written_at: The time at which the last line of the log was written, in seconds of the event loop's clock.
        records_written: The number of records with usage since the start.
        snapshots_written: The number of snapshots since the start.
        failure_count: The number of failed writes since the start.
        snapshot_bytes: The size of the latest snapshot.
        task: The task that writes the snapshots.
        ending: Set once no further snapshot may begin.
    """

    def __init__(self, files: CheckpointFiles, interval: float, source: CheckpointSource, clock: Clock) -> None:
        self.files = files
        self.interval = interval
        self.source = source
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.lock_descriptor = CLOSED
        self.log_descriptor = CLOSED
        self.log_number = 0
        self.last_record = 0
        self.token = ""
        self.written_at = 0.0
        self.records_written = 0
        self.snapshots_written = 0
        self.failure_count = 0
        self.snapshot_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.ending = asyncio.Event()

    def metrics(self) -> dict[str, int]:
        """Return the metrics that are shown to operators."""
        return {
            "checkpoint.on": int(self.log_descriptor != CLOSED),
            "checkpoint.records": self.records_written,
            "checkpoint.snapshots": self.snapshots_written,
            "checkpoint.failures": self.failure_count,
            "checkpoint.bytes": self.snapshot_bytes,
        }

    # The lock, which ensures that only one process writes

    def acquire(self) -> bool:
        """Acquire the lock if no other process holds it; report whether this process holds it now."""
        if self.lock_descriptor == CLOSED:
            self.files.directory.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(self.files.lock, LOCK_FLAGS, FILE_MODE)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(descriptor)
                return False
            self.lock_descriptor = descriptor
            self.log_number = self.files.last_log_number()
        return True

    def begin_first_log(self, number: int, last_record: int) -> None:
        """Begin a log that follows the existing snapshot, before the first request.

        Blocks, since this process does not serve yet.

        Args:
            number: The number of the log.
            last_record: The number of the last record before it.
        """
        self.last_record = last_record
        if not self.files.token.exists():
            # Shows the next process that there was one before it, so that quota may have been spent.
            self.files.write_tokens([])
        self._begin_log(number, secrets.token_hex(TOKEN_BYTES))

    def start(self) -> None:
        """Start the task that writes snapshots."""
        self.task = self.loop.create_task(self._run())

    async def _run(self) -> None:
        while not self.ending.is_set():
            pause = LOCK_RETRY_INTERVAL_S
            try:
                if self.acquire():
                    started_at = time.process_time()
                    await self.snapshot()
                    pause = max(self.interval, MIN_PAUSE_RATIO * (time.process_time() - started_at))
            except OSError as error:  # the previous snapshot remains valid, with all logs since
                self.failure_count += 1
                log.error("cannot write a snapshot: %s: %s", error.filename or self.files.directory, error.strerror)
                pause = self.interval
            await self._pause(pause)

    async def _pause(self, duration: float) -> None:
        """Wait until the duration has passed or the end begins, and write heartbeats to the log meanwhile."""
        ends_at = self.loop.time() + duration
        while (remaining := ends_at - self.loop.time()) > 0 and not self.ending.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(min(HEARTBEAT_INTERVAL_S, remaining)):
                    await self.ending.wait()
            self._write_heartbeat()

    # Records

    def record_usage(self, usage: QuotaUsage) -> None:
        """Write the usage of a request, before the request is sent."""
        if self.log_descriptor == CLOSED or not (usage.units or usage.slow_start_work):
            return
        self.last_record += 1
        self.records_written += 1
        self._write(UsageRecord(self.last_record, self._written_now(), usage).encode())

    def _write_heartbeat(self) -> None:
        """Write a heartbeat to the log, if nothing has been written to it for a while."""
        if self.log_descriptor != CLOSED and self.loop.time() - self.written_at > HEARTBEAT_INTERVAL_S:
            self._write(encode_heartbeat(self.last_record, self._written_now()))

    def _written_now(self) -> float:
        return round(seconds_since_boot(), TIME_DECIMALS)

    def _write(self, line: bytes) -> None:
        try:
            _write_completely(self.log_descriptor, line, "a record", self.files.log_path(self.log_number))
        except OSError as error:
            self._fail(error)
        self.written_at = self.loop.time()

    def _fail(self, error: OSError) -> None:
        """Stop the log and delete the checkpoint.

        Guards against spending quota twice: the outdated log would hide from the next process what is spent from now
        on.
        """
        self.failure_count += 1
        log.error(
            "cannot write the checkpoint, so it is deleted: %s: %s",
            error.filename or self.files.directory,
            error.strerror,
        )
        self._stop_log()
        try:
            self.files.delete()
        except OSError as delete_error:
            log.error("cannot delete the outdated checkpoint: %s: %s", delete_error.filename, delete_error.strerror)

    def _stop_log(self) -> None:
        if self.log_descriptor != CLOSED:
            os.close(self.log_descriptor)
            self.log_descriptor = CLOSED
        self.source.persistence_changed(False)

    # Snapshots

    async def snapshot(self, clean: bool = False) -> None:
        """Begin a log and write the snapshot that it follows.

        Args:
            clean: True at the end of a clean shutdown, after which this process spends nothing.

        Raises:
            OSError: The log or the snapshot cannot be written; the previous snapshot and its logs remain valid.
        """
        token = secrets.token_hex(TOKEN_BYTES)
        tokens = [self.token] if self.token else self._previous_tokens()
        number = self.log_number + 1
        await asyncio.to_thread(self.files.write_tokens, [*tokens, token])
        self._begin_log(number, token)
        header = SnapshotHeader(
            name=self.files.name,
            token=token,
            first_log=number,
            last_record=self.last_record,
            boot_id=read_boot_id(),
            written_at=self._written_now(),
            clock_offset=self.clock() - seconds_since_boot(),
            clean=clean,
        )
        lines = [header.encode(self.source.shared_state())]
        names = self.source.customer_names()
        for start in range(0, len(names), CHUNK_CUSTOMERS):
            states = self.source.customer_states(names[start : start + CHUNK_CUSTOMERS])
            if states:
                lines.append(encode_customers(self.last_record, states))
            if not clean:
                await asyncio.sleep(0)
                self._write_heartbeat()
        self.snapshot_bytes = await asyncio.to_thread(self._write_snapshot, header, lines)
        self.token = token
        self.snapshots_written += 1

    def _write_snapshot(self, header: SnapshotHeader, lines: list[bytes]) -> int:
        """Replace the snapshot and delete the logs before it; return the size of the snapshot in bytes.

        Runs in a thread.
        """
        chunks = list(seal_snapshot(lines))
        self.files.replace_file(self.files.snapshot, chunks)
        self.files.write_tokens([header.token])
        for number in self.files.log_numbers():
            if number < header.first_log:
                self.files.log_path(number).unlink(missing_ok=True)
        return sum(map(len, chunks))

    def _previous_tokens(self) -> list[str]:
        """Return the tokens of an earlier process, whose snapshot remains valid until it is replaced."""
        with suppress(Exception):
            return self.files.read_tokens()
        return []

    def _begin_log(self, number: int, token: str) -> None:
        """Create a log and write all further records to it."""
        path = self.files.log_path(number)
        descriptor = os.open(path, LOG_FLAGS, FILE_MODE)
        try:
            line = encode_line(log_header(number, token, self.last_record))
            _write_completely(descriptor, line, "the header of a log", path)
        except OSError:
            os.close(descriptor)
            path.unlink(missing_ok=True)
            raise
        if self.log_descriptor != CLOSED:
            os.close(self.log_descriptor)
        self.log_descriptor = descriptor
        self.log_number = number
        self.written_at = self.loop.time()
        self.source.persistence_changed(True)

    async def close(self, clean: bool) -> None:
        """Stop writing and release the lock.

        Args:
            clean: True to write a final snapshot, because no other process of the ingress continues.
        """
        self.ending.set()
        if self.task is not None:
            # The task is not cancelled: its thread would continue, so that two threads could write at the same time.
            await asyncio.gather(self.task, return_exceptions=True)
        try:
            if clean and self.lock_descriptor != CLOSED:
                await self.snapshot(clean=True)
        except OSError as error:
            self._fail(error)
        if self.log_descriptor != CLOSED:
            self._stop_log()
        if self.lock_descriptor != CLOSED:
            os.close(self.lock_descriptor)
            self.lock_descriptor = CLOSED


def _write_completely(descriptor: int, line: bytes, what: str, path: os.PathLike[str]) -> None:
    """Write a line.

    Raises:
        OSError: The write fails, or the disk takes only a part of the line.
    """
    if os.write(descriptor, line) != len(line):
        raise OSError(errno.ENOSPC, f"{what} was written only in part", str(path))
