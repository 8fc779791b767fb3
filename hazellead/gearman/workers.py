"""Transport for Gearman workers. They open the connections; an attempt waits until its worker grabs a job."""

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

_ASSIGN_TYPE_FOR_GRAB = {Type.GRAB_JOB: Type.JOB_ASSIGN, Type.GRAB_JOB_UNIQ: Type.JOB_ASSIGN_UNIQ,
                          Type.GRAB_JOB_ALL: Type.JOB_ASSIGN_ALL}
WORK_REPORTS = {Type.WORK_STATUS, Type.WORK_COMPLETE, Type.WORK_FAIL, Type.WORK_EXCEPTION, Type.WORK_DATA,
                Type.WORK_WARNING}
TYPES = WORK_REPORTS | set(_ASSIGN_TYPE_FOR_GRAB) | {
    Type.CAN_DO, Type.CAN_DO_TIMEOUT, Type.CANT_DO, Type.RESET_ABILITIES, Type.PRE_SLEEP, Type.SET_CLIENT_ID,
    Type.ALL_YOURS}


class PacketSender(Protocol):
    """Sends packets to the worker over its connection."""

    def send(self, number: Type, *args: bytes) -> bool:
        """Write a packet; return False if the connection was closed, so that no byte of it was written."""


class _ClosedConnection:
    """Takes the place of a connection that has been closed."""

    def send(self, number: Type, *args: bytes) -> bool:
        """Write nothing."""
        return False


class WorkerSession:
    """The state of one worker connection: whether it sleeps, its abilities and the jobs it is running."""

    def __init__(self, connection: PacketSender, workers: "GearmanWorkers") -> None:
        """Start awake, without a name and without abilities."""
        self._connection: PacketSender = connection
        self._workers = workers
        self.name = ""
        self.abilities: dict[str, timedelta | None] = {}
        self.asleep = False
        self.running: dict[bytes, Attempt] = {}  # by the job handle sent to the worker

    def handle_packet(self, packet: Packet) -> None:
        """Process a packet from the worker; raises PacketError on a long name or too many abilities."""
        kind, args = Type(packet.type), packet.args
        if kind in WORK_REPORTS:
            self._handle_report(kind, args)
        elif kind in _ASSIGN_TYPE_FOR_GRAB:
            self.asleep = False
            self._workers.grab(self, _ASSIGN_TYPE_FOR_GRAB[kind])
        elif args and len(args[0]) > self._workers.limits.name:
            raise PacketError("name too long")
        elif kind is Type.CAN_DO or kind is Type.CAN_DO_TIMEOUT:
            if len(self.abilities) >= self._workers.limits.abilities:
                raise PacketError("too many functions")
            timeout = args[1] if kind is Type.CAN_DO_TIMEOUT else b""
            seconds = int(timeout) if timeout.isdigit() and len(timeout) < 8 else 0
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
        """Send NOOP to a sleeping worker, so that it asks for a job."""
        if self.asleep:
            self.asleep = False
            self._connection.send(Type.NOOP)

    def send_no_job(self) -> None:
        """Answer a grab with NO_JOB."""
        self._connection.send(Type.NO_JOB)

    def assign(self, attempt: Attempt, assign_type: Type, handle: bytes) -> None:
        """Send a job to the worker. Once its first byte is written, the job may have run."""
        job = attempt.job
        args = [handle, job.function.encode("latin-1", "replace")]
        args += [job.unique.encode("latin-1")] if assign_type is not Type.JOB_ASSIGN else []
        args += [b""] if assign_type is Type.JOB_ASSIGN_ALL else []  # no reducer
        if not self._connection.send(assign_type, *args, job.body):
            attempt.end(Outcome.CONNECT_FAILED)
            return
        self.running[handle] = attempt
        attempt.written()
        attempt.began()
        if limit := self.abilities.get(job.function):
            self._workers.loop.add_timeout(limit, self._execution_timed_out, handle)

    def forget(self, attempt: Attempt) -> None:
        """Forget an attempt that was given up; later reports on it are ignored."""
        self.running = {handle: a for handle, a in self.running.items() if a is not attempt}

    def _execution_timed_out(self, handle: bytes) -> None:
        if attempt := self.running.pop(handle, None):
            attempt.end(Outcome.TIMED_OUT)

    def _handle_report(self, kind: Type, args: tuple[bytes, ...]) -> None:
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

    def connection_lost(self) -> None:
        """End the running attempts as RESET: their jobs may have run, so they are never sent again."""
        for attempt in list(self.running.values()):
            attempt.end(Outcome.RESET)
        self.running.clear()

    def release(self) -> None:
        """Drop the reference to the closed connection, which refers to this session."""
        self._connection = _ClosedConnection()


class GearmanWorkers:
    """The worker transport for workers that speak Gearman."""

    def __init__(
        self, name_of: Callable[[int], str], limits: Limits, on_connected: Callable[[str, bool], None],
        loop: IOLoop,
    ) -> None:
        """Start without connections.

        ``name_of`` returns a worker's name by its number. ``on_connected`` is called with a worker's name and
        True when its first connection has set that name, and with False when its last one ends.
        """
        self._name_of, self.limits, self._on_connected, self.loop = name_of, limits, on_connected, loop
        self.sessions: dict[str, list[WorkerSession]] = {}  # by the name that the worker set
        self.waiting: dict[str, list[Attempt]] = {}  # by worker name; chosen for it, nothing sent yet
        self._handle_numbers = count(1)

    def send(self, attempt: Attempt) -> None:
        """Queue an attempt until its worker grabs it.

        It ends at once as CONNECT_FAILED if the worker is not connected, and as FULL if none of its sessions
        can do the function or as many attempts wait already as sessions can do it.
        """
        name = self._name_of(attempt.worker)
        sessions = self.sessions.get(name, [])
        capable = [s for s in sessions if attempt.job.function in s.abilities]
        waiting = self.waiting.setdefault(name, [])
        if not sessions:
            attempt.end(Outcome.CONNECT_FAILED)
        elif not capable or len(waiting) >= len(capable):
            attempt.end(Outcome.FULL)  # refused before anything was sent
        else:
            waiting.append(attempt)
            self.loop.add_timeout(self.limits.grab_job, self._grab_timed_out, name, attempt)
            self.wake(name)

    def give_up(self, attempt: Attempt) -> None:
        """Withdraw an attempt; Gearman has no packet that stops a worker running it."""
        name = self._name_of(attempt.worker)
        if attempt in self.waiting.get(name, []):
            self.waiting[name].remove(attempt)
        for session in self.sessions.get(name, []):
            session.forget(attempt)

    def probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        """Call ``done`` with SERVED if the worker is connected, else with CONNECT_FAILED."""
        up = self._name_of(worker) in self.sessions
        done(Outcome.SERVED if up else Outcome.CONNECT_FAILED)

    def release(self, worker: int) -> None:
        """Do nothing: Gearman connections are opened and closed by the workers."""

    def wake(self, name: str) -> None:
        """Wake the sleeping sessions of a worker that can do one of its waiting attempts."""
        for attempt in self.waiting.get(name, []):
            for session in self.sessions.get(name, []):
                if attempt.job.function in session.abilities:
                    session.wake()

    def grab(self, session: WorkerSession, assign_type: Type) -> None:
        """Assign the first waiting attempt whose function the session can do, or answer NO_JOB."""
        for attempt in self._sendable(session.name):
            if attempt.job.function in session.abilities:
                self.waiting[session.name].remove(attempt)
                session.assign(attempt, assign_type, b"H:%s:%d" % (
                    attempt.job.identity.encode(), next(self._handle_numbers)))
                return
        session.send_no_job()

    def end_unsendable(self) -> None:
        """End the waiting attempts that may no longer be sent, such as those for draining workers."""
        for name in list(self.waiting):
            self._sendable(name)

    def rename(self, session: WorkerSession, name: str) -> None:
        """Change the name of a session's worker; the empty name takes the session off the list."""
        if name == session.name:
            return
        if old := self.sessions.get(session.name):
            old.remove(session)
            if not old:
                del self.sessions[session.name]
                for attempt in self.waiting.pop(session.name, []):
                    attempt.end(Outcome.CONNECT_FAILED)  # never sent
                self._on_connected(session.name, False)
        session.name = name
        if name:
            self.sessions.setdefault(name, []).append(session)
            if len(self.sessions[name]) == 1:
                self._on_connected(name, True)

    def connection_lost(self, session: WorkerSession) -> None:
        """End a session whose connection has been closed."""
        session.connection_lost()
        self.rename(session, "")

    def _sendable(self, name: str) -> list[Attempt]:
        waiting = self.waiting.get(name, [])
        # A worker that began to drain after it was chosen gets no job, whenever it asks.
        unsendable = [a for a in waiting if not a.may_send()]
        waiting[:] = [a for a in waiting if a not in unsendable]
        for attempt in unsendable:
            attempt.end(Outcome.MOOT)
        return list(waiting)

    def _grab_timed_out(self, name: str, attempt: Attempt) -> None:
        if attempt.outcome is None and attempt in self.waiting.get(name, []):
            self.waiting[name].remove(attempt)
            busy = any(s.running for s in self.sessions.get(name, []))
            attempt.end(Outcome.FULL if busy else Outcome.CONNECT_FAILED)

    def all_sessions(self) -> Iterator[WorkerSession]:
        """Iterate over the sessions whose worker has set a name."""
        for sessions in self.sessions.values():
            yield from sessions
