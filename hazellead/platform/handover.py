"""The platform's side of a hand-over: passes this process's work to its successor, and takes over its own."""

import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Any

import structlog

from hazellead.core.clock import Clock
from hazellead.core.migration import JobMigration
from hazellead.core.scheduler import Scheduler
from hazellead.lifecycle import knowledge
from hazellead.lifecycle.handover import TIMINGS, HandoverError, HandoverSource, HandoverTarget
from hazellead.lifecycle.handover_roles import OpenWork
from hazellead.lifecycle.messages import Message as HandoverMessage
from hazellead.lifecycle.messages import MessageError
from hazellead.lifecycle.phases import LifeCycle, Phase
from hazellead.net.accept import is_in_use
from hazellead.net.server import Detached, Exchange, HttpServer
from hazellead.platform.clients import HttpRequestHandler
from hazellead.platform.config import Config, host_port
from hazellead.platform.deferred_requests import DeferredRequests
from hazellead.platform.discovery import Watch
from hazellead.platform.job_passing import JobPassing, serve_connection
from hazellead.platform.server_list import ListError, mark_unstated_locations
from hazellead.platform.workers import HttpWorkers

log = structlog.get_logger()

_MS = timedelta(milliseconds=1)


class PlatformHandover:
    """Takes over from this process's predecessor, if there is one, and later hands over to a successor."""

    def __init__(
        self, life: LifeCycle, clock: Clock, scheduler: Scheduler, server: HttpServer, workers: HttpWorkers,
        watch: Watch, config: Config, request_handler: HttpRequestHandler,
        listen: Callable[[], list[socket.socket]], predecessor: HandoverTarget | None,
    ) -> None:
        """Listen at the address now, unless a ``predecessor`` serves there: then take its knowledge over."""
        assert config.handover
        self._life, self._clock, self._scheduler, self._server = life, clock, scheduler, server
        self._workers, self._watch, self._request_handler = workers, watch, request_handler
        self._reported_ids: frozenset[str] = frozenset()  # ids that the successor knows
        self._paused_sockets: list[socket.socket] = []  # listening sockets on which the successor accepts now
        self._listen, self._predecessor = listen, predecessor
        self._successor = HandoverSource(config.handover, host_port(config.listen), self)
        migration = JobMigration(scheduler, workers, clock, watch.name, self._number_if_reachable)
        self.jobs = JobPassing(
            life, clock, scheduler, server, workers, request_handler, migration, predecessor, self._successor)
        self._predecessor_work = OpenWork()
        self._unreported_ids: list[str] = []  # accepted here, and not known to the predecessor
        scheduler.on_accepted = self._note_accepted
        self.on_successor_lost: Callable[[], None] = lambda: None
        self._deferred = DeferredRequests(clock, request_handler.handle, request_handler.refuse)
        request_handler.defer = self._defer
        self._listening_sockets: list[socket.socket] = []
        watch.on_new_version = self._share_server_list
        if predecessor:
            predecessor.handler = self
            if predecessor.offer_body.get("watched") is not True:
                watch.note_missed_changes()
            self._take_over_knowledge(predecessor.offer_body)
        else:
            self._listening_sockets = listen()

    # In the new process: taking over the address.

    def _take_over_knowledge(self, offer_body: dict[str, Any]) -> None:
        """Learn what the predecessor knew; if it is malformed, log this and start without."""
        try:
            self._scheduler.adopt_estimates(knowledge.decode(
                offer_body.get("known"), self._watch.number, *self._class_and_tenant_names()))
        except MessageError as error:
            log.warning("handover_incomplete", reason=str(error))

    def _number_if_reachable(self, uid: str) -> int | None:
        """Return the number of a worker whose address is known: its jobs may have to be cancelled there."""
        number = self._watch.number(uid)
        return number if number is not None and self._watch.endpoint(number) else None

    async def replace_predecessor(self) -> None:
        """Start to serve in place of the predecessor, if there is one; raises ConfigError if that fails."""
        if self._predecessor is None:
            return
        asked_at = self._clock.now()
        try:
            commit = await self._predecessor.commit()
            self._scheduler.remember(commit.texts("ended"))
            self._scheduler.note_open_elsewhere(commit.texts("open"))
            self._inherit_lease(commit, asked_at)
        except (HandoverError, MessageError) as error:
            log.warning("handover_refused", reason=str(error))
            await self._replace_without_commit(self._predecessor)
            return
        self._listening_sockets = self._predecessor.sockets
        self._server.add_sockets(self._listening_sockets)
        self._successor.listen()  # first: with ``started`` the predecessor stops listening there
        self._predecessor.confirm_started()
        log.info("took_over")

    async def _replace_without_commit(self, predecessor: HandoverTarget) -> None:
        """Serve in place of a predecessor that has ended; raises ConfigError if it has not.

        Its listening sockets are kept where it has sent them: closing them would reset the connections that
        have been waiting there since its end.
        """
        if predecessor.sockets and await predecessor.has_ended():
            self._listening_sockets = predecessor.sockets
            self._server.add_sockets(self._listening_sockets)
        else:
            predecessor.abandon()
            self._listening_sockets = self._listen()

    def _inherit_lease(self, commit: HandoverMessage, asked_at: datetime) -> None:
        """Continue with the predecessor's list and lease.

        The lease is counted from when the predecessor was asked, which is before it answered.
        """
        self.adopt_server_list(commit.body)
        if self._is_of_same_discovery(commit.body) and "lease_ms" in commit.body:
            self._watch.inherit_lease(asked_at + timedelta(milliseconds=commit.number("lease_ms")))

    def _class_and_tenant_names(self) -> tuple[list[str], list[str]]:
        """Return the names of classes and tenants by number; "" for a class that is no longer configured."""
        generation = self._scheduler.generation
        classes = [
            name if n in generation.class_ids else "" for n, (name, _) in enumerate(generation.class_rows)]
        return classes, [name for name, _ in generation.tenant_rows]

    # In the old process.

    def offer_handover(self) -> None:
        """Let a successor replace this process from now on."""
        self._successor.listen()

    def offer(self) -> tuple[list[socket.socket], dict[str, Any]] | str:
        """Return copies of the listening sockets and the offer's body, or the reason why not now."""
        if self._life.phase not in (Phase.READY, Phase.QUIESCED):
            return f"it is {self._life.phase.value}"
        return [s.dup() for s in self._listening_sockets], {
            "known": knowledge.encode(
                self._scheduler.export_estimates(), self._watch.name, *self._class_and_tenant_names()),
            "watched": self._watch.misses_no_changes, **self.server_list()}

    def stop_accepting(self) -> dict[str, Any]:
        """Accept no more connections and jobs; return the ids of open and of ended jobs."""
        self._life.hand_over(self._clock.now())
        self._paused_sockets = self._server.pause()
        self._workers.pool.close_all_idle()
        self._reported_ids = self._scheduler.all_open_identities
        return {"open": list(self._reported_ids), "ended": self._scheduler.ended_identities,
                "lease_ms": self._watch.lease_left() // _MS, **self.server_list()}

    def take_back(self) -> None:
        """Accept connections again: the successor is gone."""
        self._scheduler.migrates_jobs = False
        self._life.take_back(self._clock.now())
        self._server.add_sockets(self._paused_sockets)
        self._paused_sockets = []
        self._deferred.handle_all()

    def lose_successor(self) -> None:
        """Bring only what is open to its end: another process serves, and cannot be reached."""
        self._scheduler.migrates_jobs = False
        self._life.lose_successor()
        self._close_paused_sockets()  # else nobody could listen here anew after the other process's end
        self._deferred.refuse_all()
        self.on_successor_lost()

    @property
    def predecessor_open(self) -> bool:
        """Return whether the process that this one replaced is still there, and can be reached."""
        return self._predecessor is not None and self._predecessor.both_serve

    def _defer(self, exchange: Exchange) -> bool:
        """Keep a request for the successor; return False if this process has none and accepts jobs itself.

        Prevents a job from running twice: the ids that the successor has accepted are not known here.
        """
        if not self._life.has_successor:
            return False
        left = self.jobs.answer_by - self._clock.now() if self.jobs.answer_by else TIMINGS.request
        if left <= timedelta(0) or not self._life.reaches_successor:
            self._request_handler.refuse(exchange)
        else:
            self._deferred.add(exchange, min(left, TIMINGS.request))
            self._successor.pass_on_soon()
        return True

    def detach_idle(self) -> Iterator[Detached]:
        """Detach the connections that have no open job, one by one, to be passed on.

        A connection with a deferred request takes that along.
        """
        for connection in list(self._server.connections):
            exchange = connection.exchange
            if exchange is None or exchange not in self._deferred:
                detached = connection.detach()
            elif detached := connection.detach_with_request():
                detached = replace(detached, waited=self._deferred.remove(exchange))
            if detached:
                yield detached

    def open_work(self) -> OpenWork:
        """Return what is still open in this process and in its predecessor."""
        attempts = {
            self._watch.name(worker): counts for worker, counts in self._scheduler.open_attempts().items()}
        reported, self._reported_ids = self._reported_ids, self._scheduler.all_open_identities
        own = OpenWork(len(self._server.connections), self._workers.pool.count(), attempts,
                       list(self._reported_ids - reported))
        return own.plus(self._predecessor_work)

    def enable_job_passing(self) -> None:
        """Let jobs that would outlast this process run on, to be passed to the successor."""
        self._scheduler.migrates_jobs = True

    def successor_ended(self) -> None:
        """Continue with the jobs that were being passed: the successor is gone, or cannot be reached."""
        self.jobs.successor_ended()

    def predecessor_ended(self) -> None:
        """Drop the jobs that were being passed, and what was open in the old process: it is gone."""
        self.jobs.predecessor_ended()
        self._scheduler.note_elsewhere_ended()
        self.set_other_open_work(OpenWork(), from_successor=False)

    async def close(self) -> None:
        """Send what is still to be sent to the successor and end the hand-over for good."""
        await self._successor.flush()
        self._successor.close()
        self._close_paused_sockets()

    def _close_paused_sockets(self) -> None:
        for sock in self._paused_sockets:
            sock.close()
        self._paused_sockets = []

    # In either process.

    def server_list(self) -> dict[str, Any]:
        """Return this process's list of servers and the discovery that it comes from."""
        return {"told": self._watch.to_json(), "discovery": host_port(self._watch.address)}

    def adopt_server_list(self, body: dict[str, Any]) -> None:
        """Use the other process's list of servers if it is newer and comes from the same discovery.

        It is passed on, since a third process may be linked to this one.
        """
        if not self._is_of_same_discovery(body):
            return
        try:
            if self._watch.adopt(mark_unstated_locations(body.get("told"))):
                self._share_server_list()
        except ListError as error:
            log.warning("handover_incomplete", reason=str(error))

    def _is_of_same_discovery(self, body: dict[str, Any]) -> bool:
        """Return whether the list in a message's body comes from the discovery that is followed here."""
        return body.get("discovery") == host_port(self._watch.address)

    def _share_server_list(self) -> None:
        """Send a list that discovery has told to this process to the other one, if both serve."""
        for link in (self._predecessor, self._successor):
            if link:
                link.share_server_list()

    def adopt(self, detached: Detached) -> None:
        """Serve a connection that was passed on, or that this process has detached and keeps."""
        serve_connection(self._server, detached)

    def take_unreported_ids(self) -> list[str]:
        """Return the ids of jobs that have been accepted since the last call, for the predecessor."""
        unreported, self._unreported_ids = self._unreported_ids, []
        return unreported

    def _note_accepted(self, *identities: str) -> None:
        if self.predecessor_open:
            self._unreported_ids += identities

    def set_other_open_work(self, open_work: OpenWork, *, from_successor: bool) -> None:
        """Remember the other process's ids as used, and count the predecessor's connections and attempts.

        The limits hold for both together.
        """
        if from_successor:
            self._scheduler.remember(open_work.new_ids)
            self._note_accepted(*open_work.new_ids)
            return
        self._predecessor_work = replace(open_work, new_ids=[])
        self._server.connections_elsewhere, self._workers.pool.connections_elsewhere = (
            open_work.client_connections, open_work.worker_connections)
        numbered = ((self._watch.number(uid), counts) for uid, counts in open_work.attempts.items())
        self._scheduler.set_attempts_elsewhere(
            {number: counts for number, counts in numbered if number is not None})
        self._scheduler.note_open_elsewhere(open_work.new_ids)


async def ask_predecessor(config: Config, path: str) -> tuple[Config, HandoverTarget | None]:
    """Ask a process that serves at the configured address to be replaced.

    Returns the configuration with that process's list of workers, and the hand-over to commit; the
    configuration as it is and None if there is no such process or it refuses.
    """
    predecessor = HandoverTarget()
    try:
        if not await predecessor.request_offer(
                path, host_port(config.listen), lambda: is_in_use(config.listen)):
            return config, None
    except (HandoverError, MessageError) as error:
        log.warning("handover_refused", reason=str(error))
        predecessor.abandon()
        return config, None
    worker_list = mark_unstated_locations(predecessor.offer_body.get("told"))
    if isinstance(worker_list, dict) and config.discovery:
        # Revision 0: the predecessor had switched to its present discovery and had no list from it yet.
        same_discovery = (
            predecessor.offer_body.get("discovery") == host_port(config.discovery) and bool(
                worker_list.get("rev")))
        config = replace(config, known=worker_list, known_elsewhere=not same_discovery)
    return config, predecessor
