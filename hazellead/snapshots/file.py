"""Writes and reads the snapshot's file: whole or not at all."""

import os
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

import structlog

from hazellead.learning.store import Knowledge
from hazellead.snapshots.format import MOST, Snapshot, SnapshotError, decode, encode

log = structlog.get_logger()


class SnapshotFile:
    """One file, written beside itself and renamed, so that a reader finds the old one or the new one."""

    def __init__(self, path: Path, cluster: str, name: str, oldest: timedelta) -> None:
        """Use this path for this member's knowledge."""
        self._path, self._cluster, self._name, self._oldest = path, cluster, name, oldest
        self._failing = False

    def write(self, knowledge: Knowledge, now: int) -> bool:
        """Write what is known; a failure is logged once until it works again, and changes nothing."""
        data = encode(Snapshot(self._cluster, self._name, now, knowledge.all_batches()))
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}.tmp")
        try:
            descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                with os.fdopen(descriptor, "wb") as file:
                    file.write(data)
                    file.flush()
                    os.fsync(file.fileno())
                temporary.replace(self._path)
                self._sync_folder()
            except OSError:
                with suppress(OSError):
                    temporary.unlink()
                raise
        except OSError as error:
            if not self._failing:
                log.warning("snapshot_not_written", path=str(self._path), reason=error.strerror)
            self._failing = True
            return False
        if self._failing:
            log.info("snapshot_written_again", path=str(self._path))
        self._failing = False
        return True

    def _sync_folder(self) -> None:
        # The rename itself lasts only once the folder is written.
        descriptor = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, knowledge: Knowledge, now: int) -> int:
        """Take in what the file holds; return how many facts that were. Anything wrong is one log line."""
        try:
            with self._path.open("rb") as file:
                data = file.read(MOST + 1)
        except FileNotFoundError:
            return 0
        except OSError as error:
            log.warning("snapshot_refused", path=str(self._path), reason=error.strerror)
            return 0
        try:
            if len(data) > MOST:
                raise SnapshotError(f"larger than {MOST} bytes")
            snapshot = decode(data, cluster=self._cluster, now=now, oldest=self._oldest)
        except SnapshotError as error:
            log.warning("snapshot_refused", path=str(self._path), reason=str(error))
            return 0
        taken = knowledge.merge(now, snapshot.batches)
        log.info("snapshot_read", path=str(self._path), facts=taken, by=snapshot.name)
        return taken
