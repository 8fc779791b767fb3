"""The platform's side of a hand-over: passes this process's work to its successor, and takes over its own."""

import asyncio
import socket
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import partial
from typing import Any

import structlog

from hazellead.core.clock import Clock
from hazellead.core.migration import JobMigration, MigrationRefusedError
from hazellead.core.scheduler import Scheduler
from hazellead.lifecycle import knowledge
from hazellead.lifecycle.handover import (
    MAX_BATCH_BYTES,
    TIMINGS,
    HandoverError,
    HandoverLink,
    HandoverSource,
    HandoverTarget,
)
from hazellead.lifecycle.handover_roles import CallBack, OpenWork
from hazellead.lifecycle.messages import Message as HandoverMessage
from hazellead.lifecycle.messages import MessageError
from hazellead.lifecycle.passed_jobs import PassedJob, PendingBatch
from hazellead.lifecycle.phases import LifeCycle, Phase
from hazellead.net.http import Message
from hazellead.net.server import Connection, Detached, Exchange, HttpServer
from hazellead.platform.clients import HttpRequestHandler, Reply
from hazellead.platform.config import Config, host_port
from hazellead.platform.deferred_requests import DeferredRequests
from hazellead.platform.discovery import Watch
from hazellead.platform.server_list import ListError
from hazellead.platform.workers import HttpWorkers, callback_error

log = structlog.get_logger()

_MAX_DEFERRED_CALL_BACKS = 16  # for one job while it is passed; workers repeat those over it
_MS = timedelta(milliseconds=1)


@dataclass(slots=True, eq=False)
class _UndecidedJob:
    """A job that is being passed, its owner not decided yet, and the call-backs that wait for that."""

    identity: str
    sock: socket.socket
    deferred: list[tuple[CallBack, asyncio.Future[int]]] = field(default_factory=list)

    def defer(self, call_back: CallBack) -> "asyncio.Future[int]":
        """Keep a call-back until the decision; above the limit, answer 503 so that the worker repeats it."""
        answer = asyncio.get_running_loop().create_future()
        if len(self.deferred) < _MAX_DEFERRED_CALL_BACKS:
            self.deferred.append((call_back, answer))
        else:
            answer.set_result(503)
        return answer


@dataclass(slots=True, eq=False)
class _ParkedJob(_UndecidedJob):
    """In the old process: the job's number there and its client's connection."""

    number: int = 0
    connection: Detached | None = None


@dataclass(slots=True, eq=False)
class _ReservedJob(_UndecidedJob):
    """In the new process: the job as it was offered, and when."""

    passed: PassedJob | None = None
    offered_at: datetime | None = None


@dataclass(slots=True, frozen=True)
class _Offer:
    """A job that is offered to the successor, with a copy of its connection, and what is kept here."""

    passed: PassedJob
    sock: socket.socket
    parked: _ParkedJob


def _copy_result(answer: "asyncio.Future[int]", source: "asyncio.Future[int]") -> None:
    answer.set_result(source.result())


def _worst_status(answers: "Sequence[asyncio.Future[int]]") -> "asyncio.Future[int]":
    """Return a future of the highest of several statuses: a worker repeats a call-back after any failure."""
    worst, all_answers = asyncio.get_running_loop().create_future(), asyncio.gather(*answers)
    all_answers.add_done_callback(lambda statuses: worst.set_result(max(statuses.result())))
    return worst


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
        self._migration = JobMigration(scheduler, workers, clock, watch.name, self._number_if_reachable)
        self._parked, self._reserved = PendingBatch[_ParkedJob](), PendingBatch[_ReservedJob]()
        self._passed_ids: set[str] = set()  # of jobs that the successor has taken over
        self._refused: set[int] = set()  # numbers of jobs that the successor could not continue
        self._answer_by: datetime | None = None  # by then every job that stays here is answered
        self._jobs_taken_over = 0
        self._reported_ids: frozenset[str] = frozenset()  # ids that the successor knows
        self._paused_sockets: list[socket.socket] = []  # listening sockets on which the successor accepts now
        self._listen, self._predecessor = listen, predecessor
        self._successor = HandoverSource(config.handover, host_port(config.listen), self)
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
        left = self._answer_by - self._clock.now() if self._answer_by else TIMINGS.request
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

    def pass_on_jobs_outlasting(self, end: datetime) -> None:
        """From now on pass on the jobs that would not be answered by ``end``."""
        self._answer_by = end

    def park_jobs(self, limit: int) -> list[tuple[PassedJob, socket.socket]]:
        """Park up to ``limit`` jobs that would outlast this process, for one batch; the sockets are copies.

        Returns none once the successor's decision might come too late. Jobs that can be answered before the
        end stay here: passing them gains nothing.
        """
        offers = list[_Offer]()
        if self._answer_by is None or self._clock.now() + TIMINGS.job_decision >= self._answer_by:
            return []
        size = 0
        for connection in list(self._server.connections):
            if len(offers) == limit or size > MAX_BATCH_BYTES:
                break
            if offer := self._park(connection, self._answer_by):
                offers.append(offer)
                size += len(offer.passed.job.job.body) + len(offer.passed.received)
        if offers:
            self._parked.start({offer.parked.identity: offer.parked for offer in offers})
        return [(offer.passed, offer.sock) for offer in offers]

    def _park(self, connection: Connection, after: datetime) -> _Offer | None:
        """Park the job of a connection if it can be passed on and would not be answered by ``after``."""
        if (exchange := connection.exchange) is None or (number := exchange.job) is None:
            return None
        if number in self._refused:
            return None
        try:
            job = self._migration.park(number, after)
        except Exception:
            # Guards open requests: after a fault with one job it and the others must still be answered.
            log.exception("passing_fault", job=number)
            self._refused.add(number)
            return None
        if job is None:
            return None
        copy = None
        if detached := connection.detach_with_job():
            with suppress(OSError):  # out of descriptors: the job is offered again later
                copy = detached.sock.dup()
        if detached is None or copy is None:
            self._unpark(number, detached)
            return None
        return _Offer(
            PassedJob(job, detached.read, exchange.message.keep, detached.proven), copy,
            _ParkedJob(job.job.identity, detached.sock, number=number, connection=detached))

    def _unpark(self, number: int, connection: Detached | None) -> None:
        """Continue with a parked job here, on its client's connection if that was detached."""
        if connection:
            self.adopt(connection)
        self._migration.resume(number)

    def settle_parked(self, identities: Sequence[str], *, refused: bool) -> None:
        """Forget these of the parked jobs, which the successor now owns, and continue with the others.

        If the successor has ``refused`` the others, they are not offered again.
        """
        passed, kept = self._parked.settle(self._parked.number, identities)
        for job in passed:
            self._migration.forget(job.number)
            self._passed_ids.add(job.identity)
            job.sock.close()
        for job in kept:
            self._unpark(job.number, job.connection)
            if refused:
                self._refused.add(job.number)
        self._handle_deferred([*passed, *kept])

    def _handle_deferred(self, jobs: Sequence[_UndecidedJob]) -> None:
        """Handle the call-backs that waited for the decision on these jobs."""
        for call_back, answer in (deferred for job in jobs for deferred in job.deferred):
            if forwarded := self._handle_call_back(call_back, (self._predecessor, self._successor)):
                forwarded.add_done_callback(partial(_copy_result, answer))
            else:
                answer.set_result(200)

    def successor_ended(self) -> None:
        """Continue with the parked jobs: the successor is gone, or cannot be reached."""
        self.settle_parked((), refused=False)
        if self._passed_ids:
            log.info("jobs_passed_on", count=len(self._passed_ids), refused=len(self._refused))

    def predecessor_ended(self) -> None:
        """Drop the reserved jobs, and what was open in the old process: it is gone."""
        self.settle_reserved(self._reserved.number, ())
        self._scheduler.note_elsewhere_ended()
        self.set_other_open_work(OpenWork(), from_successor=False)
        if self._jobs_taken_over:
            log.info("jobs_taken_over", count=self._jobs_taken_over)
            self._jobs_taken_over = 0

    # In the new process: taking over open jobs.

    def read_job(self, body: Any) -> PassedJob:
        """Decode a job within this process's size limits; raises MessageError."""
        return PassedJob.from_body(body, self._server.limits.body)

    def reserve_jobs(self, number: int, jobs: Sequence[tuple[PassedJob, socket.socket]]) -> list[str]:
        """Keep offered jobs until the batch is settled; return the ids of those that can continue here."""
        self.settle_reserved(self._reserved.number, ())
        reserved, offered_at = dict[str, _ReservedJob](), self._clock.now()
        for passed, sock in jobs:
            identity = passed.job.job.identity
            if reason := self._refusal_reason(passed, len(reserved)) or (
                    "its id is in the batch twice" if identity in reserved else ""):
                log.warning("job_not_taken_over", job=identity, reason=reason)
                sock.close()
            else:
                reserved[identity] = _ReservedJob(identity, sock, passed=passed, offered_at=offered_at)
        self._reserved.start(reserved, number)
        return list(reserved)

    def _refusal_reason(self, passed: PassedJob, already_reserved: int) -> str:
        if not self._continues_jobs():
            return f"it is {self._life.phase.value}"
        if len(self._server.connections) + already_reserved >= self._server.limits.client_connections:
            return "no room for its connection"
        try:
            self._migration.check(passed.job, already_reserved)
        except MigrationRefusedError as error:
            return str(error)
        return ""

    def _continues_jobs(self) -> bool:
        """Return whether a job that is taken over now can be continued, here or by the successor."""
        if not self._life.has_successor:
            return self._life.phase in (Phase.READY, Phase.QUIESCED)
        if not self._scheduler.migrates_jobs:
            return False
        # This process decides on the job, and then its successor does.
        return self._answer_by is None or self._clock.now() + 2 * TIMINGS.job_decision < self._answer_by

    def settle_reserved(self, number: int, identities: Sequence[str]) -> None:
        """Continue with these jobs of an offered batch; the others stay with the other process."""
        taken, left = self._reserved.settle(number, identities)
        for job in taken:
            self._take_over(job)
        for job in left:
            job.sock.close()
        self._handle_deferred([*taken, *left])

    def _take_over(self, job: _ReservedJob) -> None:
        """Continue with a job that this process owns now, or fail it if that is not possible."""
        assert job.passed and job.offered_at
        # The answer needs only the target and keep-alive of the original request.
        start_line = "POST", job.passed.job.job.target, "HTTP/1.1"
        exchange = Exchange(Message(start_line, {}, b"", job.passed.keep_alive))
        since_offer, reply = self._clock.now() - job.offered_at, Reply(exchange)
        try:
            self._request_handler.follow(
                exchange, self._migration.take_over(job.passed.job, reply, since_offer))
        except MigrationRefusedError as error:  # the settings have changed since the offer
            log.error("job_lost", job=job.identity, reason=str(error))
            reply.failed("it could not be continued")
        else:
            self._jobs_taken_over += 1
        self.adopt(Detached(job.sock, job.passed.received, job.passed.proven, False, exchange))

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
        told = self._watch.to_json(self._scheduler.workers)
        return {"told": told, "discovery": host_port(self._watch.address)}

    def adopt_server_list(self, body: dict[str, Any]) -> None:
        """Use the other process's list of servers if it is newer and comes from the same discovery.

        It is passed on, since a third process may be linked to this one.
        """
        if not self._is_of_same_discovery(body):
            return
        try:
            if self._watch.adopt(body.get("told")):
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

    def call_back(self, identity: str, sender: str, state: str, payload: Any) -> "asyncio.Future[int] | None":
        """Handle a worker's call-back here, or forward it to the other processes if they may own the job.

        The future yields the status to answer with; None means 200 at once.
        """
        call_back = CallBack(identity, sender, state, payload)
        return self._handle_call_back(call_back, (self._predecessor, self._successor))

    def handle_forwarded_call_back(
        self, call_back: CallBack, *, from_successor: bool,
    ) -> "asyncio.Future[int] | None":
        """Handle a call-back that reached another process; raises MessageError if it is malformed.

        It is forwarded away from its sender, where there may be a third process.
        """
        if problem := callback_error(call_back.state, call_back.payload):
            raise MessageError(problem)
        return self._handle_call_back(
            call_back, (self._predecessor if from_successor else self._successor,))

    def _handle_call_back(
        self, call_back: CallBack, others: Sequence[HandoverLink | None],
    ) -> "asyncio.Future[int] | None":
        """Handle a call-back here, or forward it to the ``others`` if no attempt here waits for it."""
        if undecided := self._undecided(call_back.identity):
            return undecided.defer(call_back)
        if call_back.identity in self._passed_ids:
            others = (self._successor,)  # even if that has forwarded it: the job was passed in the meantime
        elif self._workers.awaits(call_back.identity, call_back.sender):
            others = ()
        answers = [answer for link in others if link and (answer := link.forward_call_back(call_back))]
        if answers:
            return answers[0] if len(answers) == 1 else _worst_status(answers)
        self._workers.call_back(
            call_back.identity, call_back.sender, call_back.state, call_back.payload)
        return None

    def _undecided(self, identity: str) -> _UndecidedJob | None:
        return self._parked.jobs.get(identity) or self._reserved.jobs.get(identity)

    def adopt(self, detached: Detached) -> None:
        """Serve a connection that was passed on, or that this process has detached and keeps."""
        try:
            self._server.adopt(detached)
        except OSError:  # the connection broke in transit
            with suppress(OSError):
                detached.sock.close()

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
        if not await predecessor.request_offer(path, host_port(config.listen)):
            return config, None
    except (HandoverError, MessageError) as error:
        log.warning("handover_refused", reason=str(error))
        predecessor.abandon()
        return config, None
    worker_list = predecessor.offer_body.get("told")
    if isinstance(worker_list, dict) and config.discovery:
        # Revision 0: the predecessor had switched to its present discovery and had no list from it yet.
        same_discovery = (
            predecessor.offer_body.get("discovery") == host_port(config.discovery) and bool(
                worker_list.get("rev")))
        config = replace(config, known=worker_list, known_elsewhere=not same_discovery)
    return config, predecessor
