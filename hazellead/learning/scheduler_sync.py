"""Publishes one scheduler's estimates as facts and lets it adopt the estimates of other instances."""

from typing import Protocol

from hazellead.decide import interface as api
from hazellead.decide.estimates import SharedEstimates
from hazellead.learning.conversion import EstimateReader, ListedWorker, Names, observations
from hazellead.learning.facts import LearningSettings
from hazellead.learning.store import Knowledge


class Learner(Protocol):
    """Interface of a scheduler that shares estimates."""

    settings: api.Settings

    def export_estimates(self) -> SharedEstimates:
        """Return the scheduler's own estimates, without adopted ones."""

    def adopt_estimates(self, estimates: SharedEstimates) -> None:
        """Adopt estimates of other instances."""

    @property
    def workers(self) -> tuple[api.WorkerEntry, ...]:
        """Return the scheduler's worker list."""

    def worker_name(self, worker: int) -> str:
        """Return the worker's name, which is the same on all instances."""


class SchedulerSync:
    """Connects a scheduler to the facts of its instance. Callers pass the time, in microseconds."""

    def __init__(
        self, knowledge: Knowledge, scheduler: Learner, names: Names, settings: LearningSettings,
    ) -> None:
        """Connect them; nothing is published or adopted yet."""
        self._knowledge, self._scheduler, self._names, self._settings = knowledge, scheduler, names, settings
        self._reader = EstimateReader(knowledge, settings, names)
        self._last_state = (-1, 0)  # knowledge version and worker list hash at the last adoption

    def _listed_workers(self) -> list[ListedWorker]:
        name = self._scheduler.worker_name
        return [ListedWorker(e.worker, name(e.worker), e.started_us, e.phase is api.Phase.READY, e.kind)
                for e in self._scheduler.workers]

    def publish(self, now: int) -> int:
        """Publish the scheduler's own estimates as facts; return how many were published."""
        own_member = self._knowledge.own_origin.name
        own = observations(
            self._scheduler.export_estimates(), self._names, self._listed_workers(), own_member, now)
        return self._knowledge.publish(now, own)

    def adopt(self, now: int) -> bool:
        """Let the scheduler adopt other instances' estimates; return whether it did.

        Does nothing if neither their facts nor the local worker list have changed since the last time.
        """
        state = (self._knowledge.version, hash(self._scheduler.workers))
        if not self._settings.enabled or state == self._last_state:
            return False
        self._last_state, settings = state, self._scheduler.settings
        quotas = [t.quota_per_s / settings.dispatchers for t in settings.tenants]
        self._scheduler.adopt_estimates(self._reader.shared_estimates(
            self._listed_workers(), now, self._scheduler.export_estimates(), quotas))
        return True
