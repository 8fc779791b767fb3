"""Gearman workers: they connect to us, and the scheduler's attempts wait for them to ask for a job."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from itertools import count
from typing import Protocol

import structlog
from tornado.ioloop import IOLoop

from hazellead.core.jobs import Attempt
from hazellead.decide.interface import Outcome
from hazellead.gearman.packets import Packet, PacketError, Type
from hazellead.limits import Limits

log = structlog.get_logger()

_ASSIGN = {Type.GRAB_JOB: Type.JOB_ASSIGN, Type.GRAB_JOB_UNIQ: Type.JOB_ASSIGN_UNIQ,
           Type.GRAB_JOB_ALL: Type.JOB_ASSIGN_ALL}
REPORTS = {Type.WORK_STATUS, Type.WORK_COMPLETE, Type.WORK_FAIL, Type.WORK_EXCEPTION, Type.WORK_DATA,
           Type.WORK_WARNING}
TYPES = REPORTS | set(_ASSIGN) | {
    Type.CAN_DO, Type.CAN_DO_TIMEOUT, Type.CANT_DO, Type.RESET_ABILITIES, Type.PRE_SLEEP, Type.SET_CLIENT_ID,
    Type.ALL_YOURS}


class Line(Protocol):
    """The connection under a worker's session."""

    def send(self, number: Type, *args: bytes) -> bool:
        """Write a packet; False if the connection had ended before its first byte."""


class WorkerSession:
    """One worker's connection: awake or asleep, with what it can do and the jobs it is at."""

    def __init__(self, line: Line, workers: "GearmanWorkers") -> None:
        """Start awake, nameless and able to do nothing."""
        self._line, self._workers = line, workers
        self.name = ""
        self.abilities: dict[str, timedelta | None] = {}
        self.asleep = False
        self.running: dict[bytes, Attempt] = {}  # by the handle it was given

    def take(self, packet: Packet) -> None:
        """Follow one of its packets."""
        kind, args = Type(packet.type), packet.args
        if kind in REPORTS:
            self._report(kind, args)
        elif kind in _ASSIGN:
            self.asleep = False
            self._workers.grab(self, _ASSIGN[kind])
        elif args and len(args[0]) > self._workers.limits.name:
            raise PacketError("name too long")
        elif kind is Type.CAN_DO or kind is Type.CAN_DO_TIMEOUT:
            if len(self.abilities) >= self._workers.limits.abilities:
                raise PacketError("too many functions")
            given = args[1] if kind is Type.CAN_DO_TIMEOUT else b""
            seconds = int(given) if given.isdigit() and len(given) < 8 else 0
            self.abilities[args[0].decode("latin-1")] = timedelta(seconds=seconds) if seconds else None
        elif kind is Type.CANT_DO:
            self.abilities.pop(args[0].decode("latin-1"), None)
        elif kind is Type.RESET_ABILITIES:
            self.abilities.clear()
        elif kind is Type.SET_CLIENT_ID:
            self._workers.rename(self, args[0].decode("latin-1").strip())
        elif kind is Type.PRE_SLEEP:
            self.asleep = True
            self._workers.wake(self.name)

    def wake(self) -> None:
        """Tell it to ask for a job."""
        if self.asleep:
            self.asleep = False
            self._line.send(Type.NOOP)

    def refuse(self) -> None:
        """Say that there is no job for it."""
        self._line.send(Type.NO_JOB)

    def assign(self, attempt: Attempt, form: Type, handle: bytes) -> None:
        """Give it a job. From the first byte on the job may have run."""
        job = attempt.job
        args = [handle, job.function.encode("latin-1", "replace")]
        args += [job.unique.encode("latin-1")] if form is not Type.JOB_ASSIGN else []
        args += [b""] if form is Type.JOB_ASSIGN_ALL else []  # no reducer
        if not self._line.send(form, *args, job.body):
            attempt.end(Outcome.CONNECT_FAILED)
            return
        self.running[handle] = attempt
        attempt.written()
        attempt.began()
        if limit := self.abilities.get(job.function):
            self._workers.loop.add_timeout(limit, self._expire, handle)

    def drop(self, attempt: Attempt) -> None:
        """Forget an attempt that was given up; what its worker still says of it is passed over."""
        self.running = {handle: a for handle, a in self.running.items() if a is not attempt}

    def _expire(self, handle: bytes) -> None:
        if attempt := self.running.pop(handle, None):
            attempt.end(Outcome.TIMED_OUT)

    def _report(self, kind: Type, args: tuple[bytes, ...]) -> None:
        attempt = self.running.get(args[0])
        if attempt is None:
            log.info("gearman_report_of_no_job", worker=self.name)
        elif kind is Type.WORK_COMPLETE or kind is Type.WORK_FAIL:
            del self.running[args[0]]
            if kind is Type.WORK_COMPLETE:
                attempt.end(Outcome.SERVED, args[1])
            else:
                attempt.end(Outcome.ERROR)
        elif kind is Type.WORK_STATUS:
            if args[1].isdigit() and args[2].isdigit() and len(args[1]) < 16 and 0 < len(args[2].strip(b"0")):
                attempt.progressed(int(args[1]) / int(args[2]))
        else:
            attempt.partial(
                args[1], warning=kind is Type.WORK_WARNING, exception=kind is Type.WORK_EXCEPTION)

    def lost(self) -> None:
        """End what it was at: it may have run, so it is never posted again."""
        for attempt in list(self.running.values()):
            attempt.end(Outcome.RESET)
        self.running.clear()


class GearmanWorkers:
    """The worker transport for those that speak Gearman."""

    def __init__(
        self, name_of: Callable[[int], str], limits: Limits, present: Callable[[str, bool], None],
        loop: IOLoop,
    ) -> None:
        """``name_of`` gives a worker's name; ``present`` hears of its first and last connection."""
        self._name_of, self.limits, self._present, self.loop = name_of, limits, present, loop
        self.sessions: dict[str, list[WorkerSession]] = {}  # by the name they gave
        self.waiting: dict[str, list[Attempt]] = {}  # chosen for a worker, nothing sent yet
        self._count = count(1)

    def send(self, attempt: Attempt) -> None:
        """Let an attempt wait for its worker, unless that is not connected, cannot do it or has enough."""
        name = self._name_of(attempt.worker)
        sessions = self.sessions.get(name, [])
        able = [s for s in sessions if attempt.job.function in s.abilities]
        waiting = self.waiting.setdefault(name, [])
        if not sessions:
            attempt.end(Outcome.CONNECT_FAILED)
        elif not able or len(waiting) >= len(able):
            attempt.end(Outcome.FULL)  # turned away unseen
        else:
            waiting.append(attempt)
            self.loop.add_timeout(self.limits.grab_job, self._overdue, name, attempt)
            self.wake(name)

    def give_up(self, attempt: Attempt) -> None:
        """Take an attempt back; Gearman has no word to stop a worker that is at it."""
        name = self._name_of(attempt.worker)
        if attempt in self.waiting.get(name, []):
            self.waiting[name].remove(attempt)
        for session in self.sessions.get(name, []):
            session.drop(attempt)

    def probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        """Say whether a worker is connected."""
        up = self._name_of(worker) in self.sessions
        done(Outcome.SERVED if up else Outcome.CONNECT_FAILED)

    def release(self, worker: int) -> None:
        """Do nothing: the connections are the workers' own."""

    def wake(self, name: str) -> None:
        """Wake the sleepers that could take what waits."""
        for attempt in self.waiting.get(name, []):
            for session in self.sessions.get(name, []):
                if attempt.job.function in session.abilities:
                    session.wake()

    def grab(self, session: WorkerSession, form: Type) -> None:
        """Give a worker that asks the first job waiting for it that it can do, or say there is none."""
        for attempt in self._ready(session.name):
            if attempt.job.function in session.abilities:
                self.waiting[session.name].remove(attempt)
                session.assign(attempt, form, b"H:%s:%d" % (attempt.job.identity.encode(), next(self._count)))
                return
        session.refuse()

    def recheck(self) -> None:
        """Hand back what waits for workers that have been told to drain: nothing of it was sent."""
        for name in list(self.waiting):
            self._ready(name)

    def rename(self, session: WorkerSession, name: str) -> None:
        """Note under which name a worker goes; the empty one stands for none."""
        if name == session.name:
            return
        if old := self.sessions.get(session.name):
            old.remove(session)
            if not old:
                del self.sessions[session.name]
                for attempt in self.waiting.pop(session.name, []):
                    attempt.end(Outcome.CONNECT_FAILED)  # never sent
                self._present(session.name, False)
        session.name = name
        if name:
            self.sessions.setdefault(name, []).append(session)
            if len(self.sessions[name]) == 1:
                self._present(name, True)

    def lost(self, session: WorkerSession) -> None:
        """Note that a worker's connection has ended."""
        session.lost()
        self.rename(session, "")

    def _ready(self, name: str) -> list[Attempt]:
        waiting = self.waiting.get(name, [])
        # Guards drains: a worker told to drain since it was chosen gets nothing, whenever it asks.
        closed = [a for a in waiting if not a.may_send()]
        waiting[:] = [a for a in waiting if a not in closed]
        for attempt in closed:
            attempt.end(Outcome.MOOT)
        return list(waiting)

    def _overdue(self, name: str, attempt: Attempt) -> None:
        if attempt.outcome is None and attempt in self.waiting.get(name, []):
            self.waiting[name].remove(attempt)
            busy = any(s.running for s in self.sessions.get(name, []))
            attempt.end(Outcome.FULL if busy else Outcome.CONNECT_FAILED)

    def all_sessions(self) -> Iterator[WorkerSession]:
        """Go through the named sessions."""
        for sessions in self.sessions.values():
            yield from sessions
