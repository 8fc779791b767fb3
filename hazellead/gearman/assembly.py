"""Puts the Gearman front together round a scheduler."""

from collections.abc import Callable

from tornado.ioloop import IOLoop

from hazellead.core.clock import Clock
from hazellead.core.jobs import Attempt, WorkerTransport
from hazellead.core.scheduler import Scheduler
from hazellead.decide.interface import Outcome
from hazellead.gearman.clients import Submissions
from hazellead.gearman.config import GearmanConfig
from hazellead.gearman.inventory import Inventory
from hazellead.gearman.jobs import JobTable
from hazellead.gearman.server import GearmanServer
from hazellead.gearman.workers import GearmanWorkers
from hazellead.platform.workers import HttpWorkers


class Transports:
    """Sends each attempt the way its worker speaks."""

    def __init__(self, inventory: Inventory, http: HttpWorkers, gearman: GearmanWorkers) -> None:
        """Choose by the inventory."""
        self._inventory, self._http, self._gearman = inventory, http, gearman

    def _to(self, worker: int) -> WorkerTransport:
        return self._http if self._inventory.place(worker) else self._gearman

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        self._to(attempt.worker).send(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Stop an attempt."""
        self._to(attempt.worker).give_up(attempt)

    def probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        """Ask whether a worker lives."""
        self._to(worker).probe(worker, done)

    def release(self, worker: int) -> None:
        """Close idle connections."""
        self._to(worker).release(worker)


class GearmanFront:
    """The second front, with its own directory of workers."""

    def __init__(
        self, given: GearmanConfig, scheduler: Scheduler, clock: Clock, takes_jobs: Callable[[], bool],
    ) -> None:
        """Read the inventory and connect the scheduler."""
        limits = given.base.limits
        self.workers = GearmanWorkers(
            lambda n: self.inventory.name(n), limits, self._present, IOLoop.current())
        self.inventory = Inventory(
            given.inventory, given.base.names, limits, clock, scheduler.listed, self.workers.end_unsendable)
        self.http = HttpWorkers(self.inventory, limits, clock)
        scheduler.connect(Transports(self.inventory, self.http, self.workers), self.inventory)
        self.submissions = Submissions(
            scheduler, JobTable(given.base.name, limits, clock), given.functions, takes_jobs)
        self.server = GearmanServer(limits, clock, self.submissions, self.workers)

    def _present(self, name: str, there: bool) -> None:
        # In a step of its own: the end of a connection is told before it changes the list.
        IOLoop.current().add_callback(self.inventory.present, name, there)

    def reload(self, given: GearmanConfig, *, same: bool) -> list[str]:
        """Follow another inventory and other functions; ConfigError changes nothing.

        Return what has to wait for the next start: the functions, unless the settings are the ``same``.
        """
        self.inventory.move(given.inventory)
        if same:
            self.submissions.functions = given.functions
            return []
        return ["gearman.functions"] if given.functions != self.submissions.functions else []

    def end_idle(self) -> None:
        """End the connections of clients that wait for nothing; workers' stay."""
        self.server.end_idle()

    async def finish(self) -> None:
        """End every connection."""
        self.inventory.close()
        await self.server.finish()
