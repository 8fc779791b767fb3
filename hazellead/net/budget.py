"""A bound on the bytes that a server's connections hold together, and the choice of who gives way."""

from typing import Protocol

import structlog

log = structlog.get_logger()


class Holder(Protocol):
    """A connection that holds bytes of its peer."""

    @property
    def removable_bytes(self) -> int:
        """How many bytes ``give_way`` would free."""

    def give_way(self) -> None:
        """Free what can be freed, and tell the peer where it waits for an answer to it."""


class ByteBudget:
    """Counts what each connection holds; over the limit, those that hold most give way."""

    def __init__(self, limit: int) -> None:
        """Start with nothing counted."""
        self._limit = limit
        self._counts: dict[Holder, int] = {}
        self.total = 0
        self._enforcing = False

    def update(self, holder: Holder, size: int) -> None:
        """Set how many bytes a connection holds; it may have to give way itself."""
        before = self._counts.pop(holder, 0)
        if size:
            self._counts[holder] = size
        self.total += size - before
        if size > before and not self._enforcing:  # giving way may itself hold a little, such as an answer
            self._enforcing = True
            try:
                self._enforce(holder)
            finally:
                self._enforcing = False

    def _enforce(self, newest: Holder) -> None:
        def weight(holder: Holder) -> int:
            # The one that has just sent counts for half: the others have held theirs for longer.
            return holder.removable_bytes // (2 if holder is newest else 1)

        while self.total > self._limit and self._counts:
            total = self.total
            victim = max(self._counts, key=weight)
            log.warning("buffers_full", held=total, freed=victim.removable_bytes)
            victim.give_way()
            if self.total >= total:  # nothing could be freed
                return
