"""Passing of open jobs: offers some to the successor, takes over the predecessor's, routes call-backs."""

import asyncio
import socket
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import datetime
from functools import partial
from typing import Any

import structlog

from hazellead.core.clock import Clock
from hazellead.core.migration import JobMigration, MigrationRefusedError
from hazellead.core.scheduler import Scheduler
from hazellead.lifecycle.handover import MAX_BATCH_BYTES, TIMINGS, HandoverLink
from hazellead.lifecycle.handover_roles import CallBack
from hazellead.lifecycle.messages import MessageError
from hazellead.lifecycle.passed_jobs import PassedJob, PendingBatch
from hazellead.lifecycle.phases import LifeCycle, Phase
from hazellead.net.http import Message
from hazellead.net.server import Connection, Detached, Exchange, HttpServer
from hazellead.platform.clients import HttpRequestHandler, Reply
from hazellead.platform.workers import HttpWorkers, callback_error

log = structlog.get_logger()

_MAX_DEFERRED_CALL_BACKS = 16  # for one job while it is passed; workers repeat those over it


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


def _settled(status: int) -> "asyncio.Future[int]":
    answer = asyncio.get_running_loop().create_future()
    answer.set_result(status)
    return answer


def _worst_status(answers: "Sequence[asyncio.Future[int]]") -> "asyncio.Future[int]":
    """Return a future of the highest of several statuses: a worker repeats a call-back after any failure."""
    worst, all_answers = asyncio.get_running_loop().create_future(), asyncio.gather(*answers)
    all_answers.add_done_callback(lambda statuses: worst.set_result(max(statuses.result())))
    return worst


def serve_connection(server: HttpServer, detached: Detached) -> None:
    """Serve a connection that was passed on, or that this process has detached and keeps."""
    try:
        server.adopt(detached)
    except OSError:  # the connection broke in transit
        with suppress(OSError):
            detached.sock.close()


class JobPassing:
    """The jobs that are being passed to the successor or from the predecessor, and who owns each."""

    def __init__(
        self, life: LifeCycle, clock: Clock, scheduler: Scheduler, server: HttpServer, workers: HttpWorkers,
        request_handler: HttpRequestHandler, migration: JobMigration, predecessor: HandoverLink | None,
        successor: HandoverLink,
    ) -> None:
        """Start with no job to pass; call-backs for others' jobs go to ``predecessor`` and ``successor``."""
        self._life, self._clock, self._scheduler, self._server = life, clock, scheduler, server
        self._workers, self._request_handler, self._migration = workers, request_handler, migration
        self._predecessor, self._successor = predecessor, successor
        self._parked, self._reserved = PendingBatch[_ParkedJob](), PendingBatch[_ReservedJob]()
        self._passed_ids: set[str] = set()  # of jobs that the successor has taken over
        self._refused: set[int] = set()  # numbers of jobs that the successor could not continue
        self._taken_over = 0
        self.answer_by: datetime | None = None  # jobs that would not be answered by then are passed on

    # In the old process.

    def park_jobs(self, limit: int) -> list[tuple[PassedJob, socket.socket]]:
        """Park up to ``limit`` jobs that would outlast this process, for one batch; the sockets are copies.

        Returns none once the successor's decision might come too late. Jobs that can be answered before the
        end stay here: passing them gains nothing.
        """
        offers = list[_Offer]()
        if self.answer_by is None or self._clock.now() + TIMINGS.job_decision >= self.answer_by:
            return []
        size = 0
        for connection in list(self._server.connections):
            if len(offers) == limit or size > MAX_BATCH_BYTES:
                break
            if offer := self._park(connection, self.answer_by):
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
            serve_connection(self._server, connection)
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
        return self.answer_by is None or self._clock.now() + 2 * TIMINGS.job_decision < self.answer_by

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
            self._taken_over += 1
        serve_connection(
            self._server, Detached(job.sock, job.passed.received, job.passed.proven, False, exchange))

    def predecessor_ended(self) -> None:
        """Drop the reserved jobs: the predecessor is gone."""
        self.settle_reserved(self._reserved.number, ())
        if self._taken_over:
            log.info("jobs_taken_over", count=self._taken_over)
            self._taken_over = 0

    # Call-backs, in either process.

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
        if others and self._life.has_successor and not self._life.reaches_successor:
            return _settled(503)  # the worker repeats it, and this process is about to end
        self._workers.call_back(
            call_back.identity, call_back.sender, call_back.state, call_back.payload)
        return None

    def _undecided(self, identity: str) -> _UndecidedJob | None:
        return self._parked.jobs.get(identity) or self._reserved.jobs.get(identity)
