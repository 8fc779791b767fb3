"""Open jobs that go from one process of a scheduler to the one that takes its place. Knows no wire.

A job is parked, the other process is asked, and then it is either parted with or gone on with here: at no
moment do two processes act for one job.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import Protocol

from hazellead.core import generations
from hazellead.core.clock import Clock
from hazellead.core.jobs import Attempt, ClientReply, Job
from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api


@dataclass(slots=True, frozen=True)
class OpenAttempt:
    """An attempt of a job that is passed on. Spans count from the moment of passing."""

    worker: str  # its name
    sent: timedelta  # so long ago
    left: timedelta  # until its time-out
    began: timedelta | None  # so long ago; None: no start has been reported
    outcome: api.Outcome | None  # None: it is out


@dataclass(slots=True, frozen=True)
class OpenJob:
    """A job that one process passes to another, with the rules it came under and what was done for it.

    Numbers of classes and tenants are a process's own: those in ``job`` mean nothing to the other.
    """

    job: Job
    rules: api.JobClass
    tenant: str
    left: timedelta  # until its client gives up, less the margin for the answer
    attempts: tuple[OpenAttempt, ...]


class OpenTransport(Protocol):
    """A transport whose attempts outlive the process that has sent them: workers report at an address."""

    def taken(self, attempt: Attempt) -> bool:
        """Say whether its worker has taken it, so that all that is still to come of it are reports."""

    def leave(self, attempt: Attempt) -> None:
        """Wait no longer for one that another process now owns; its worker is told nothing."""

    def adopt(self, attempt: Attempt) -> None:
        """Wait for one that another process has sent, or remember how it ended."""


class UnknownError(Exception):
    """A job that this process cannot go on with; the message says why."""


class Passing:
    """What either process does with the jobs themselves."""

    def __init__(
        self, scheduler: Scheduler, transport: OpenTransport, clock: Clock,
        name: Callable[[int], str], number: Callable[[str], int | None],
    ) -> None:
        """``name`` and ``number`` turn this process's numbers of workers into names and back."""
        self._scheduler, self._transport, self._clock = scheduler, transport, clock
        self._name, self._number = name, number

    # At the one that passes.

    def park(self, number: int, after: datetime) -> OpenJob | None:
        """Hold a job still and describe it; None if it cannot be passed now, or can be answered by ``after``.

        It can once all that is out for it has been taken by workers: in the middle of an exchange there is
        nothing that another process could go on with.
        """
        if (found := self._scheduler.waited_for(number)) is None:
            return None
        job, deadline, attempts = found
        out = [a for a in attempts if a.outcome is None]
        if deadline <= after or not out or not all(map(self._transport.taken, out)):
            return None
        now, generation = self._clock.now(), self._scheduler.generation
        self._scheduler.park(number, on=True)
        return OpenJob(
            job, generation.rows[job.job_class][1], generation.tenant_rows[job.tenant][0], deadline - now,
            tuple(OpenAttempt(self._name(a.worker), now - a.sent, a.until - now,
                              now - a.began_at if a.began_at else None, a.outcome) for a in attempts))

    def go_on(self, number: int) -> None:
        """Go on with a parked job: the other process does not take it."""
        self._scheduler.park(number, on=False)

    def part(self, number: int) -> None:
        """Forget a parked job: the other process has it now."""
        for attempt in self._scheduler.attempts(number):
            self._transport.leave(attempt)
        self._scheduler.part(number)

    # At the one that takes over.

    def check(self, given: OpenJob, more: int) -> None:
        """Raise UnknownError if this process could not go on with the job beside so many ``more``."""
        if self._scheduler.room <= more or given.job.identity in self._scheduler.open_identities:
            raise UnknownError("no room, or its id is open here")
        if unknown := [a.worker for a in given.attempts if self._number(a.worker) is None]:
            raise UnknownError(f"no such worker: {unknown[0]}")
        self._numbered(given)

    def _numbered(self, given: OpenJob) -> tuple[generations.Generation, int, int]:
        try:
            return generations.keep(
                self._scheduler.generation, (given.job.class_name, given.rules), given.tenant)
        except generations.TooManyError as error:
            raise UnknownError(str(error)) from None

    def take(self, given: OpenJob, reply: ClientReply, passed: timedelta) -> int:
        """Go on with a job that ``check`` has let pass so long ago; return its number here.

        Raises UnknownError where settings have come in force since that leave it no number.
        """
        generation, job_class, tenant = self._numbered(given)
        if generation is not self._scheduler.generation:
            self._scheduler.retune(generation)
        job, now = replace(given.job, job_class=job_class, tenant=tenant), self._clock.now() - passed

        def attempts(number: int) -> Sequence[Attempt]:
            return [self._attempt(number, n, job, a, now) for n, a in enumerate(given.attempts)]

        return self._scheduler.adopt(job, reply, max(timedelta(0), given.left - passed), attempts)

    def _attempt(self, number: int, n: int, job: Job, given: OpenAttempt, now: datetime) -> Attempt:
        worker = self._number(given.worker)
        assert worker is not None
        attempt = Attempt(self._scheduler, number, n, worker, job, now - given.sent, now + given.left)
        attempt.began_at = None if given.began is None else now - given.began
        attempt.outcome = given.outcome
        self._transport.adopt(attempt)
        return attempt
