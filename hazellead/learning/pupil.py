"""One scheduler's dealings with knowledge: tells what it has itself seen, takes over what others have."""

from typing import Protocol

from hazellead.decide import interface as api
from hazellead.decide.estimates import SharedEstimates
from hazellead.learning.door import Listed, Names, Reader, drafts
from hazellead.learning.facts import LearningSettings
from hazellead.learning.store import Knowledge


class Learner(Protocol):
    """What is asked of a scheduler."""

    settings: api.Settings

    def known(self) -> SharedEstimates:
        """Return what its decisions have seen themselves."""

    def learn(self, known: SharedEstimates) -> None:
        """Let its decisions take over what others have seen."""

    @property
    def workers(self) -> tuple[api.WorkerEntry, ...]:
        """Return its own list of workers."""

    def worker_name(self, worker: int) -> str:
        """Return what a worker is called everywhere."""


class Pupil:
    """Stands between one scheduler and one instance's knowledge. Times are handed in."""

    def __init__(
        self, knowledge: Knowledge, scheduler: Learner, names: Names, settings: LearningSettings,
    ) -> None:
        """Nothing is told or taken over yet."""
        self._knowledge, self._scheduler, self._names, self._settings = knowledge, scheduler, names, settings
        self._reader = Reader(knowledge, settings, names)
        self._taken = (-1, 0)  # what stood when others' facts were last taken over

    def _listed(self) -> list[Listed]:
        name = self._scheduler.worker_name
        return [Listed(e.worker, name(e.worker), e.started_us, e.phase is api.Phase.READY, e.kind)
                for e in self._scheduler.workers]

    def tell(self, now: int) -> int:
        """Make facts of what the decisions have seen themselves; return how many were worth telling."""
        me = self._knowledge.me.name
        own = drafts(self._scheduler.known(), self._names, self._listed(), me, now)
        return self._knowledge.tell(now, own)

    def learn(self, now: int) -> bool:
        """Take over what others have seen, if that or our own list has changed since the last time."""
        stand = (self._knowledge.version, hash(self._scheduler.workers))
        if not self._settings.enabled or stand == self._taken:
            return False
        self._taken, settings = stand, self._scheduler.settings
        quotas = [t.quota_per_s / settings.dispatchers for t in settings.tenants]
        self._scheduler.learn(self._reader.known(self._listed(), now, self._scheduler.known(), quotas))
        return True
