"""What a scheduler leaves to the process that replaces it, and takes over from the one that it replaces."""

import asyncio
import socket
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from datetime import datetime
from functools import partial
from typing import Any

import structlog

from hazellead.core.clock import Clock
from hazellead.core.migration import JobMigration, MigrationRefusedError
from hazellead.core.scheduler import Scheduler
from hazellead.lifecycle import state
from hazellead.lifecycle.handover import STEPS, HandoverError, HandoverSource, HandoverTarget
from hazellead.lifecycle.handover_roles import Holds
from hazellead.lifecycle.machine import LifeCycle, Phase
from hazellead.lifecycle.messages import MessageError
from hazellead.lifecycle.passing import Batches, PassedJob
from hazellead.net.http import Message
from hazellead.net.server import Detached, Exchange, HttpServer
from hazellead.platform.clients import HttpRequestHandler, Reply
from hazellead.platform.config import Config, host_port
from hazellead.platform.discovery import Watch
from hazellead.platform.workers import HttpWorkers, callback_error

log = structlog.get_logger()

_MOST_HELD = 16  # call-backs for one job while it passes; a worker repeats those over it
_MOST_BYTES = 1 << 20  # of bodies in a batch, over which no more are put into it: far below a message's bound


@dataclass(slots=True, eq=False)
class _Between:
    """A job of which it is not decided yet whose it is, and the call-backs that wait for that."""

    identity: str
    sock: socket.socket
    held: list[tuple[tuple[str, str, str, Any], asyncio.Future[int]]] = field(default_factory=list)

    def hold(self, event: tuple[str, str, str, Any]) -> "asyncio.Future[int]":
        """Keep a call-back until it is decided; over the bound it is answered with a wish for its repeat."""
        answer = asyncio.get_running_loop().create_future()
        if len(self.held) < _MOST_HELD:
            self.held.append((event, answer))
        else:
            answer.set_result(503)
        return answer


@dataclass(slots=True, eq=False)
class _Parked(_Between):
    """At the process that passes it: its number there and its client's connection."""

    number: int = 0
    connection: Detached | None = None


@dataclass(slots=True, eq=False)
class _Offered(_Between):
    """At the process that may take it over: what it is and when it came."""

    given: PassedJob | None = None
    came: datetime | None = None


def _copy(answer: "asyncio.Future[int]", given: "asyncio.Future[int]") -> None:
    answer.set_result(given.result())


class PlatformHandover:
    """A platform's scheduler as one that another process replaces, or that replaces another."""

    def __init__(
        self, life: LifeCycle, clock: Clock, scheduler: Scheduler, server: HttpServer, workers: HttpWorkers,
        watch: Watch, given: Config, front: HttpRequestHandler, listen: Callable[[], list[socket.socket]],
        predecessor: HandoverTarget | None,
    ) -> None:
        """Act on these. With an ``predecessor`` another process serves at the address; else listen now."""
        assert given.handover
        self._life, self._clock, self._scheduler, self._server = life, clock, scheduler, server
        self._workers, self._watch, self._front = workers, watch, front
        self._passing = JobMigration(scheduler, workers, clock, watch.name, self._reachable)
        self._parked, self._offered = Batches[_Parked](), Batches[_Offered]()
        self._parted: set[str] = set()  # ids of jobs that the process after this one has taken over
        self._refused: set[int] = set()  # numbers of those that it could not
        self._end: datetime | None = None  # by when all that is left here is answered
        self._taken = 0  # jobs taken over
        self._told: frozenset[str] = frozenset()  # ids that the process after this one knows
        self._kept: list[socket.socket] = []  # the listening sockets, while another process accepts on them
        self._listen, self._predecessor = listen, predecessor
        self._successor = HandoverSource(given.handover, host_port(given.listen), self)
        self._sockets: list[socket.socket] = []  # those that this process listens at
        if predecessor:
            predecessor.peer = self
            self._inherit(predecessor.body)
        else:
            self._sockets = listen()

    # As the one that replaces.

    def _inherit(self, body: dict[str, Any]) -> None:
        """Take over what the other process knew; what cannot be read is done without."""
        try:
            self._scheduler.learn(state.read(body.get("known"), self._watch.number, *self._names()))
        except MessageError as error:
            log.warning("handover_incomplete", reason=str(error))

    def _reachable(self, uid: str) -> int | None:
        """Return the number of a worker that we can call: a job there may have to be given up."""
        number = self._watch.number(uid)
        return number if number is not None and self._watch.endpoint(number) else None

    async def succeed(self) -> None:
        """Replace the process that serves, if there is one; raises ConfigError if that cannot be."""
        if self._predecessor is None:
            return
        try:
            commit = await self._predecessor.commit()
            self._scheduler.remember([*commit.texts("ended"), *commit.texts("open")])
        except (HandoverError, MessageError) as error:
            # It may have died, and the address is free; else it serves on, and this process ends here.
            log.warning("handover_refused", reason=str(error))
            self._predecessor.drop()
            self._sockets = self._listen()
            return
        self._sockets = self._predecessor.sockets
        self._server.add_sockets(self._sockets)
        self._predecessor.started()
        log.info("took_over")

    def _names(self) -> tuple[list[str], list[str]]:
        """Return classes' and tenants' names by number; a class that went has none."""
        now = self._scheduler.generation
        classes = [name if n in now.class_ids else "" for n, (name, _) in enumerate(now.class_rows)]
        return classes, [name for name, _ in now.tenant_rows]

    # As the one that is replaced.

    def offer_handover(self) -> None:
        """Let another process replace this one from now on."""
        self._successor.begin()

    def offer(self) -> tuple[list[socket.socket], dict[str, Any]] | str:
        """Return copies of the listening sockets and what is known, or why not now."""
        if self._life.phase not in (Phase.READY, Phase.QUIESCED):
            return f"it is {self._life.phase.value}"
        return [s.dup() for s in self._sockets], {
            "known": state.write(self._scheduler.known(), self._watch.name, *self._names()),
            "told": self._watch.to_json(self._scheduler.workers), "discovery": host_port(self._watch.address)}

    def leave(self) -> dict[str, Any]:
        """Accept no more; tell the ids."""
        self._life.hand_over(self._clock.now())
        self._kept = self._server.pause()
        self._workers.pool.close_all_idle()
        self._told = self._scheduler.open_identities
        return {"open": list(self._told), "ended": self._scheduler.ended_identities}

    def take_back(self) -> None:
        """Accept again."""
        self._scheduler.migrates_jobs = False
        self._life.take_back(self._clock.now())
        self._server.add_sockets(self._kept)
        self._kept = []

    def movable(self) -> Iterator[Detached]:
        """Give up clients' connections with no job on them."""
        for connection in list(self._server.connections):
            if detached := connection.detach():
                yield detached

    def holds(self) -> Holds:
        """Return what is still open here."""
        attempts = {self._watch.name(worker): out for worker, out in self._scheduler.open_attempts().items()}
        known, self._told = self._told, self._scheduler.open_identities
        return Holds(len(self._server.connections), self._workers.pool.count(), attempts,
                     list(self._told - known))

    def successor_takes(self) -> None:
        """Leave jobs that outlast this process their time."""
        self._scheduler.migrates_jobs = True

    def end_by(self, end: datetime) -> None:
        """Pass on from now on what would not be answered by then."""
        self._end = end

    def passable(self, most: int) -> list[tuple[PassedJob, socket.socket]]:
        """Park some jobs that would outlast this process; none once their word might come too late.

        What can be answered before the end stays: nothing is won by passing it.
        """
        some, parked = list[tuple[PassedJob, socket.socket]](), dict[str, _Parked]()
        if self._end is None or self._clock.now() + STEPS.jobs >= self._end:
            return some
        size = 0
        for connection in list(self._server.connections):
            if len(some) == most or size > _MOST_BYTES:
                break
            if (exchange := connection.exchange) is None or (number := exchange.job) is None:
                continue
            if number in self._refused or (job := self._passing.park(number, self._end)) is None:
                continue
            copy = None
            if detached := connection.detach_with_job():
                with suppress(OSError):  # out of descriptors: later
                    copy = detached.sock.dup()
            if detached is None or copy is None:
                self._go_on(number, detached)
                continue
            identity, size = job.job.identity, size + len(job.job.body) + len(detached.read)
            parked[identity] = _Parked(identity, detached.sock, number=number, connection=detached)
            some.append((PassedJob(job, detached.read, exchange.message.keep, detached.proven), copy))
        if some:
            self._parked.begin(parked)
        return some

    def _go_on(self, number: int, connection: Detached | None) -> None:
        """Go on with a parked job, on the connection that was to go with it."""
        if connection:
            self.adopt(connection)
        self._passing.resume(number)

    def passed(self, identities: Sequence[str], *, refused: bool) -> None:
        """Forget these of the parked jobs, which the other process now has, and go on with the others."""
        gone, stay = self._parked.settle(self._parked.number, identities)
        for job in gone:
            self._passing.forget(job.number)
            self._parted.add(job.identity)
            job.sock.close()
        for job in stay:
            self._go_on(job.number, job.connection)
            if refused:
                self._refused.add(job.number)
        self._release([*gone, *stay])

    def _release(self, jobs: Sequence[_Between]) -> None:
        """Let call-backs go their way that waited for the word on these jobs."""
        for event, answer in (held for job in jobs for held in job.held):
            if elsewhere := self.call_back(*event):
                elsewhere.add_done_callback(partial(_copy, answer))
            else:
                answer.set_result(200)

    def parted(self) -> None:
        """Go on with what was parked, and let go of what was offered: there is no other process any more."""
        self.passed((), refused=False)
        self.decided(self._offered.number, ())
        if self._parted:
            log.info("jobs_passed_on", count=len(self._parted), refused=len(self._refused))
        if self._taken:
            log.info("jobs_taken_over", count=self._taken)
            self._taken = 0

    # Open jobs, as the one that takes over.

    def read_job(self, body: Any) -> PassedJob:
        """Read a job within our bounds; raises MessageError."""
        return PassedJob.read_from(body, self._server.limits.body)

    def offered(self, number: int, jobs: Sequence[tuple[PassedJob, socket.socket]]) -> list[str]:
        """Hold jobs still; return the ids of those that could be gone on with here."""
        self.decided(self._offered.number, ())
        fit, came = dict[str, _Offered](), self._clock.now()
        for given, sock in jobs:
            identity = given.job.job.identity
            if why := self._why_not(given, len(fit)) or ("twice" if identity in fit else ""):
                log.warning("job_not_taken_over", job=identity, reason=why)
                sock.close()
            else:
                fit[identity] = _Offered(identity, sock, given=given, came=came)
        self._offered.begin(fit, number)
        return list(fit)

    def _why_not(self, given: PassedJob, more: int) -> str:
        if self._life.phase not in (Phase.READY, Phase.QUIESCED):
            return f"it is {self._life.phase.value}"
        if len(self._server.connections) + more >= self._server.limits.client_connections:
            return "no room for its connection"
        try:
            self._passing.check(given.job, more)
        except MigrationRefusedError as error:
            return str(error)
        return ""

    def decided(self, number: int, identities: Sequence[str]) -> None:
        """Go on with these of a batch that was offered; the others stay with the other process."""
        ours, theirs = self._offered.settle(number, identities)
        for job in ours:
            assert job.given and job.came
            # Only what matters for the answer is left of the request: whether its connection stays.
            first = "POST", job.given.job.job.target, "HTTP/1.1"
            exchange = Exchange(Message(first, {}, b"", job.given.keep))
            passed = self._clock.now() - job.came
            try:
                number_here = self._passing.take_over(job.given.job, Reply(exchange), passed)
            except MigrationRefusedError as error:  # settings have changed since it was offered
                log.error("job_lost", job=job.identity, reason=str(error))
                job.sock.close()
                continue
            self._front.follow(exchange, number_here)
            self.adopt(Detached(job.sock, job.given.read, job.given.proven, False, exchange))
            self._taken += 1
        for job in theirs:
            job.sock.close()
        self._release([*ours, *theirs])

    async def end(self) -> None:
        """Serve no successor any more."""
        await self._successor.written()
        self._successor.end()
        for sock in self._kept:
            sock.close()
        self._kept = []

    # As either.

    def call_back(self, identity: str, sender: str, state: str, rest: Any) -> "asyncio.Future[int] | None":
        """Take a call-back in, here or in the other process of this scheduler, whose job it may be."""
        if between := self._between(identity):
            return between.hold((identity, sender, state, rest))
        if not self._workers.awaits(identity, sender):
            for link in (self._predecessor, self._successor):
                if link and (elsewhere := link.pass_call_back(identity, sender, state, rest)):
                    return elsewhere
        self._workers.call_back(identity, sender, state, rest)
        return None

    def _between(self, identity: str) -> _Between | None:
        return self._parked.jobs.get(identity) or self._offered.jobs.get(identity)

    def take_call_back(
        self, identity: str, sender: str, state: str, rest: Any,
    ) -> "asyncio.Future[int] | None":
        """Take in a call-back that reached the other process; raises MessageError.

        It may have been sent here while its job went the other way: then it goes after it.
        """
        if wrong := callback_error(state, rest):
            raise MessageError(wrong)
        if between := self._between(identity):
            return between.hold((identity, sender, state, rest))
        if identity in self._parted:
            return self._successor.pass_call_back(identity, sender, state, rest)
        self._workers.call_back(identity, sender, state, rest)
        return None

    def adopt(self, given: Detached) -> None:
        """Serve a connection from now on."""
        try:
            self._server.adopt(given)
        except OSError:  # it has broken on the way
            with suppress(OSError):
                given.sock.close()

    def other_holds(self, holds: Holds) -> None:
        """Leave room for what the other process still has open: the bounds hold for both together."""
        self._server.elsewhere, self._workers.pool.elsewhere = holds.clients, holds.workers
        known = ((self._watch.number(uid), out) for uid, out in holds.attempts.items())
        self._scheduler.set_attempts_elsewhere({number: out for number, out in known if number is not None})
        self._scheduler.remember(holds.taken)


async def ask(given: Config, path: str) -> tuple[Config, HandoverTarget | None]:
    """Ask a process that serves at our address to leave it to us; with it comes its list of workers."""
    predecessor = HandoverTarget()
    try:
        if not await predecessor.ask(path, host_port(given.listen)):
            return given, None
    except (HandoverError, MessageError) as error:
        log.warning("handover_refused", reason=str(error))
        predecessor.drop()
        return given, None
    told = predecessor.body.get("told")
    if isinstance(told, dict) and given.discovery:
        # Version 0: the other process had moved to its discovery and not been told a list there yet.
        same = predecessor.body.get("discovery") == host_port(given.discovery) and bool(told.get("rev"))
        given = replace(given, known=told, known_elsewhere=not same)
    return given, predecessor
