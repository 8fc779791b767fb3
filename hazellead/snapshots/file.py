"""Writes and reads the snapshot file atomically."""

import os
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

import structlog

from hazellead.learning.store import Knowledge
from hazellead.snapshots.format import MAX_BYTES, Snapshot, SnapshotError, decode, encode

log = structlog.get_logger()


class SnapshotFile:
    """A snapshot file, written under a temporary name and renamed, so that readers see whole files only."""

    def __init__(self, path: Path, cluster: str, name: str, max_age: timedelta) -> None:
        """Use ``path`` for the facts of member ``name``; snapshots older than ``max_age`` are refused."""
        self._path, self._cluster, self._name, self._max_age = path, cluster, name, max_age
        self._failing = False

    def write(self, knowledge: Knowledge, now: int) -> bool:
        """Write all facts and return whether it succeeded.

        A failure leaves the old file as it was; repeated failures are logged once.
        """
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
        # The rename is only durable once the folder has been synced.
        descriptor = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, knowledge: Knowledge, now: int) -> int:
        """Merge the facts of the file and return how many were added; an unusable file is logged."""
        try:
            with self._path.open("rb") as file:
                data = file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return 0
        except OSError as error:
            log.warning("snapshot_refused", path=str(self._path), reason=error.strerror)
            return 0
        try:
            if len(data) > MAX_BYTES:
                raise SnapshotError(f"larger than {MAX_BYTES} bytes")
            snapshot = decode(data, cluster=self._cluster, now=now, max_age=self._max_age)
        except SnapshotError as error:
            log.warning("snapshot_refused", path=str(self._path), reason=str(error))
            return 0
        added = knowledge.merge(now, snapshot.batches)
        log.info("snapshot_read", path=str(self._path), facts=added, by=snapshot.name)
        return added
