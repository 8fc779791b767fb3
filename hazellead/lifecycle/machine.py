"""The one owner of what ``/up`` and health say and of whether jobs are taken. No I/O, no clock."""

from datetime import datetime
from enum import Enum

from hazellead.limits import Limits


class Phase(Enum):
    """Where a process stands in its life."""

    STARTING = "starting"
    READY = "ready"
    QUIESCED = "quiesced"  # being emptied by the operators, who may call it back to work
    HANDED_OVER = "handed over"  # another process serves at this address; what is open here goes on
    ENDING = "ending"


class LifeCycle:
    """A machine over ``Phase``. Each call says whether it changed anything; to repeat one is harmless."""

    def __init__(self, limits: Limits, now: datetime) -> None:
        """Begin as starting."""
        self._limits, self.phase, self._since = limits, Phase.STARTING, now
        self._until: datetime | None = None  # jobs are taken until then; None: for ever
        self.succeeded = False  # another process serves at this address

    def _enter(self, phase: Phase, now: datetime, until: datetime | None) -> bool:
        self.phase, self._since, self._until = phase, now, until
        return True

    def repace(self, limits: Limits) -> None:
        """Go by other times from the next step on."""
        self._limits = limits

    def start(self, now: datetime) -> bool:
        """Become ready."""
        return self.phase is Phase.STARTING and self._enter(Phase.READY, now, None)

    def quiesce(self, now: datetime) -> bool:
        """Begin to empty the scheduler."""
        return self.phase is Phase.READY and self._enter(Phase.QUIESCED, now, now + self._limits.drain_accept)

    def resume(self, now: datetime) -> bool:
        """Go back to work."""
        return self.phase is Phase.QUIESCED and self._enter(Phase.READY, now, None)

    def hand_over(self, now: datetime) -> bool:
        """Leave the address to another process."""
        if self.phase not in (Phase.READY, Phase.QUIESCED):
            return False
        self.succeeded = True
        return self._enter(Phase.HANDED_OVER, now, None)

    def take_back(self, now: datetime) -> bool:
        """Serve at the address again: there is no other process any more. The end, once called, stays."""
        was, self.succeeded = self.succeeded, False
        if self.phase is Phase.HANDED_OVER:
            return self._enter(Phase.READY, now, None)
        return was

    def end(self, now: datetime) -> bool:
        """Begin to end: jobs are taken on for a while, unless a quiesce has said otherwise."""
        if self.phase is Phase.ENDING:
            return False
        until = now + self._limits.shutdown_accept
        return self._enter(Phase.ENDING, now, min(until, self._until or until))

    @property
    def up(self) -> bool:
        """Say whether the front is to send clients to this address."""
        return self.phase is Phase.READY or self.succeeded

    @property
    def healthy(self) -> bool:
        """Say whether this process serves clients; one that is being emptied or replaced still does."""
        return self.phase in (Phase.READY, Phase.QUIESCED, Phase.HANDED_OVER)

    def takes_jobs(self, now: datetime) -> bool:
        """Say whether a job that comes now is taken; else it is refused, and may be tried elsewhere."""
        return self._until is None or now < self._until

    def ends_connections(self, now: datetime) -> bool:
        """Say whether an answer is the last on its connection.

        After the end was called that waits for as long as jobs are taken: where schedulers restart one after
        another, clients may have nowhere else to go.
        """
        if self.succeeded:  # they are passed on
            return False
        if self.phase is Phase.ENDING:
            return not self.takes_jobs(now)
        return self.phase is Phase.QUIESCED

    def ends_idle(self, now: datetime) -> bool:
        """Say whether connections that carry nothing are to be ended."""
        if self.phase is Phase.QUIESCED:
            return now >= self._since + self._limits.drain_settle
        return self.phase is Phase.ENDING and not self.succeeded and not self.takes_jobs(now)
