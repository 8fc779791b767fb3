"""Migration of open jobs to the process that replaces this one, independent of any wire format.

A job is parked and offered to the other process; it is then either forgotten here, because the other process
has taken it over, or resumed here. At no time do two processes act for the same job.
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
    """An attempt of a job that migrates. Durations are relative to the time at which the job was parked."""

    worker: str  # the worker's name
    sent: timedelta  # since it was sent
    left: timedelta  # until its time-out
    began: timedelta | None  # since the worker reported its start; None if it has not
    outcome: api.Outcome | None  # None while it is open
    location: api.Location = api.UNKNOWN_LOCATION  # of the worker when it was sent


@dataclass(slots=True, frozen=True)
class OpenJob:
    """A job that migrates, with the rules under which it was submitted and the attempts made for it.

    Class and tenant numbers differ between processes: those in ``job`` mean nothing to the other process.
    """

    job: Job
    rules: api.JobClass
    tenant: str
    left: timedelta  # until its deadline: the client's, less the answer margin
    attempts: tuple[OpenAttempt, ...]


class MigratingTransport(Protocol):
    """A transport whose attempts outlive the sending process, since workers report to an address."""

    def accepted_by_worker(self, attempt: Attempt) -> bool:
        """Return whether the worker has accepted the attempt, so that only reports are still to come."""

    def detach(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt that another process now owns, without telling its worker."""

    def adopt(self, attempt: Attempt) -> None:
        """Wait for an attempt that another process has sent, or record its outcome if it has ended."""


class MigrationRefusedError(Exception):
    """This process cannot take over a job; the message gives the reason."""


class JobMigration:
    """Both ends of a migration: parks and releases jobs, or checks and takes them over."""

    def __init__(
        self, scheduler: Scheduler, transport: MigratingTransport, clock: Clock,
        name: Callable[[int], str], number: Callable[[str], int | None],
    ) -> None:
        """``name`` and ``number`` convert worker numbers to names and back; None for an unknown name."""
        self._scheduler, self._transport, self._clock = scheduler, transport, clock
        self._name, self._number = name, number

    # In the process that gives jobs away.

    def park(self, number: int, after: datetime) -> OpenJob | None:
        """Park a job and describe it; return None if it cannot migrate now or its deadline is by ``after``.

        A job can migrate if it has open attempts and workers have accepted all of them: another process
        cannot continue in the middle of an exchange with a worker.
        """
        if (found := self._scheduler.unanswered_job(number)) is None:
            return None
        job, deadline, attempts = found
        open_attempts = [a for a in attempts if a.outcome is None]
        if deadline <= after or not open_attempts or not all(
                map(self._transport.accepted_by_worker, open_attempts)):
            return None
        now, generation = self._clock.now(), self._scheduler.generation
        locations = self._scheduler.attempt_locations(number)
        open_job = OpenJob(
            job, generation.class_rows[job.job_class][1], generation.tenant_rows[job.tenant][0],
            deadline - now, tuple(OpenAttempt(
                self._name(a.worker), now - a.sent, a.until - now,
                now - a.began_at if a.began_at else None, a.outcome, location,
            ) for a, location in zip(attempts, locations, strict=True)))
        self._scheduler.set_parked(number, parked=True)
        return open_job

    def resume(self, number: int) -> None:
        """Resume a parked job that the other process does not take over."""
        self._scheduler.set_parked(number, parked=False)

    def forget(self, number: int) -> None:
        """Forget a parked job that the other process has taken over."""
        for attempt in self._scheduler.attempts(number):
            self._transport.detach(attempt)
        self._scheduler.forget_migrated(number)

    # In the process that takes jobs over.

    def check(self, open_job: OpenJob, reserved: int) -> None:
        """Raise MigrationRefusedError if the job cannot be taken over beside ``reserved`` others."""
        if (self._scheduler.free_capacity <= reserved
                or open_job.job.identity in self._scheduler.open_identities):
            raise MigrationRefusedError("no room, or its id is open here")
        if unknown := [a.worker for a in open_job.attempts if self._number(a.worker) is None]:
            raise MigrationRefusedError(f"no such worker: {unknown[0]}")
        self._numbered(open_job)

    def _numbered(self, open_job: OpenJob) -> tuple[generations.Generation, int, int]:
        try:
            return generations.including(
                self._scheduler.generation, (open_job.job.class_name, open_job.rules), open_job.tenant)
        except generations.TooManyError as error:
            raise MigrationRefusedError(str(error)) from None

    def take_over(self, open_job: OpenJob, reply: ClientReply, elapsed: timedelta) -> int:
        """Continue a job that ``check`` accepted ``elapsed`` ago; return its number in this process.

        Raises MigrationRefusedError if settings applied since then leave no number for its class or tenant.
        """
        generation, job_class, tenant = self._numbered(open_job)
        if generation is not self._scheduler.generation:
            self._scheduler.apply_generation(generation)
        job, now = replace(open_job.job, job_class=job_class, tenant=tenant), self._clock.now() - elapsed

        def attempts(number: int) -> Sequence[Attempt]:
            return [self._attempt(number, n, job, a, now) for n, a in enumerate(open_job.attempts)]

        return self._scheduler.adopt(
            job, reply, max(timedelta(0), open_job.left - elapsed), attempts,
            [a.location for a in open_job.attempts])

    def _attempt(self, number: int, n: int, job: Job, prior: OpenAttempt, now: datetime) -> Attempt:
        worker = self._number(prior.worker)
        assert worker is not None
        attempt = Attempt(self._scheduler, number, n, worker, job, now - prior.sent, now + prior.left)
        attempt.began_at = None if prior.began is None else now - prior.began
        attempt.outcome = prior.outcome
        self._transport.adopt(attempt)
        return attempt
