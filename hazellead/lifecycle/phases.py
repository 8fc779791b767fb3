"""Phases of a process's life: what ``/up`` and health answer, and whether jobs are accepted. No I/O."""

from datetime import datetime
from enum import Enum

from hazellead.limits import Limits


class Phase(Enum):
    """Phase of a process's life."""

    STARTING = "starting"
    READY = "ready"
    QUIESCED = "quiesced"  # drained by the operators, who may resume it
    HANDED_OVER = "handed over"  # a successor serves at this address; open work here is completed
    ENDING = "ending"


class LifeCycle:
    """State machine over ``Phase``. Each transition returns whether it changed anything; repeats are safe."""

    def __init__(self, limits: Limits, now: datetime) -> None:
        """Begin in the phase STARTING."""
        self._limits, self.phase, self._phase_began = limits, Phase.STARTING, now
        self._takes_jobs_until: datetime | None = None  # None: without end
        self.has_successor = False  # another process serves at this address
        self.reaches_successor = False  # connections and requests can be passed on to it

    def _enter(self, phase: Phase, now: datetime, takes_jobs_until: datetime | None) -> bool:
        self.phase, self._phase_began, self._takes_jobs_until = phase, now, takes_jobs_until
        return True

    def set_limits(self, limits: Limits) -> None:
        """Use other time limits from the next transition on."""
        self._limits = limits

    def start(self, now: datetime) -> bool:
        """Become ready."""
        return self.phase is Phase.STARTING and self._enter(Phase.READY, now, None)

    def quiesce(self, now: datetime) -> bool:
        """Begin to drain this scheduler: it accepts jobs for a limited time."""
        return self.phase is Phase.READY and self._enter(Phase.QUIESCED, now, now + self._limits.drain_accept)

    def resume(self, now: datetime) -> bool:
        """Return from a drain to READY."""
        return self.phase is Phase.QUIESCED and self._enter(Phase.READY, now, None)

    def hand_over(self, now: datetime) -> bool:
        """Leave the address to another process."""
        if self.phase not in (Phase.READY, Phase.QUIESCED):
            return False
        self.has_successor = self.reaches_successor = True
        return self._enter(Phase.HANDED_OVER, now, None)

    def lose_successor(self) -> None:
        """Serve only what is open: another process serves at the address, and nothing can be passed to it."""
        self.reaches_successor = False

    def take_back(self, now: datetime) -> bool:
        """Serve at the address again: the successor is gone. A process that is ending continues to end."""
        changed, self.has_successor, self.reaches_successor = self.has_successor, False, False
        if self.phase is Phase.HANDED_OVER:
            return self._enter(Phase.READY, now, None)
        return changed

    def end(self, now: datetime) -> bool:
        """Begin to end: jobs are accepted for a limited time, which a drain before it may have shortened."""
        if self.phase is Phase.ENDING:
            return False
        until = now + self._limits.shutdown_accept
        return self._enter(Phase.ENDING, now, min(until, self._takes_jobs_until or until))

    @property
    def up(self) -> bool:
        """Return whether a load balancer should send clients to this address."""
        return self.phase is Phase.READY or self.has_successor

    @property
    def healthy(self) -> bool:
        """Return whether this process serves clients; one that is being drained or replaced still does."""
        return self.phase in (Phase.READY, Phase.QUIESCED, Phase.HANDED_OVER)

    def takes_jobs(self, now: datetime) -> bool:
        """Return whether a job that arrives now is accepted; if not, its client may try another scheduler."""
        return self._takes_jobs_until is None or now < self._takes_jobs_until

    def ends_connections(self, now: datetime) -> bool:
        """Return whether an answer is the last on its connection.

        A process that is ending closes connections only once it accepts no more jobs: where schedulers
        restart one after another, clients may have no other to go to.
        """
        if self.has_successor:
            return not self.reaches_successor  # else connections are passed on
        if self.phase is Phase.ENDING:
            return not self.takes_jobs(now)
        return self.phase is Phase.QUIESCED

    def ends_idle(self, now: datetime) -> bool:
        """Return whether idle connections are to be closed."""
        if self.has_successor:
            return not self.reaches_successor
        if self.phase is Phase.QUIESCED:
            return now >= self._phase_began + self._limits.drain_settle
        return self.phase is Phase.ENDING and not self.takes_jobs(now)
