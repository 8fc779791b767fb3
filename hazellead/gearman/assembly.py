"""Builds the Gearman frontend and connects it to a scheduler."""

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
from hazellead.platform.config import Names
from hazellead.platform.workers import HttpWorkers


class TransportByProtocol:
    """A worker transport that passes each call to the transport of the worker's protocol, HTTP or Gearman."""

    def __init__(self, inventory: Inventory, http: HttpWorkers, gearman: GearmanWorkers) -> None:
        """Look up each worker's protocol in the inventory."""
        self._inventory, self._http, self._gearman = inventory, http, gearman

    def _transport_of(self, worker: int) -> WorkerTransport:
        return self._http if self._inventory.endpoint(worker) else self._gearman

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        self._transport_of(attempt.worker).send(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Stop an attempt that the scheduler has ended."""
        self._transport_of(attempt.worker).give_up(attempt)

    def probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        """Check whether a worker is reachable, and call ``done`` with the outcome."""
        self._transport_of(worker).probe(worker, done)

    def release(self, worker: int) -> None:
        """Close the idle connections to a worker."""
        self._transport_of(worker).release(worker)


class GearmanFrontend:
    """The Gearman frontend: its server, inventory and worker transports, beside the HTTP frontend."""

    def __init__(
        self, config: GearmanConfig, scheduler: Scheduler, clock: Clock, takes_jobs: Callable[[], bool],
    ) -> None:
        """Read the inventory and connect the scheduler; raises ConfigError."""
        limits = config.base.limits
        self.workers = GearmanWorkers(
            lambda n: self.inventory.name(n), limits, self._on_connected, IOLoop.current())
        self.inventory = Inventory(
            config.inventory, config.base.names, limits, clock, scheduler.on_list,
            self.workers.end_unsendable)
        self.http = HttpWorkers(self.inventory, limits, clock)
        scheduler.connect(TransportByProtocol(self.inventory, self.http, self.workers), self.inventory)
        self.submissions = Submissions(
            scheduler, JobTable(config.base.name, limits, clock), config.functions, takes_jobs)
        self.server = GearmanServer(limits, clock, self.submissions, self.workers)

    def _on_connected(self, name: str, connected: bool) -> None:
        # Deferred to the next loop iteration, so that the attempts of a closed connection end before the
        # worker list changes.
        IOLoop.current().add_callback(self.inventory.set_connected, name, connected)

    def reload(self, config: GearmanConfig, names: Names, *, applies_settings: bool) -> list[str]:
        """Switch to another inventory file and other functions; ConfigError is raised before any change.

        ``names`` are those of the settings in force from now on. Return the names of settings that need a
        restart: changed functions, unless this reload applies the file's settings.
        """
        self.inventory.switch(config.inventory, names)
        if applies_settings:
            self.submissions.functions = config.functions
            return []
        return ["gearman.functions"] if config.functions != self.submissions.functions else []

    def end_idle(self) -> None:
        """Close the connections of clients that wait for no job; workers' connections stay open."""
        self.server.end_idle()

    async def finish(self) -> None:
        """Stop reading the inventory and close every connection."""
        self.inventory.close()
        self.submissions.finish()
        await self.server.finish()
