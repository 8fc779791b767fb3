"""Gearman clients: submits their jobs to the scheduler and answers status and option requests."""

import hashlib
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from tornado.ioloop import IOLoop

from hazellead.core.jobs import Job
from hazellead.core.scheduler import Scheduler
from hazellead.gearman.jobs import GearmanJob, JobTable, Key, refusal_text
from hazellead.gearman.packets import Packet, Type

_BACKGROUND = {Type.SUBMIT_JOB_BG, Type.SUBMIT_JOB_HIGH_BG, Type.SUBMIT_JOB_LOW_BG}
_SUBMIT = _BACKGROUND | {Type.SUBMIT_JOB, Type.SUBMIT_JOB_HIGH, Type.SUBMIT_JOB_LOW}
_SECOND = timedelta(seconds=1)
TYPES = _SUBMIT | {Type.ECHO_REQ, Type.OPTION_REQ, Type.GET_STATUS, Type.GET_STATUS_UNIQUE}


@dataclass(slots=True, frozen=True)
class Function:
    """A Gearman function that is served: its job class, tenant and deadline for the scheduler."""

    name: str
    job_class: int
    class_name: str
    tenant: int
    deadline: timedelta


class Submissions:
    """Submits the jobs of all Gearman clients to the scheduler."""

    def __init__(
        self, scheduler: Scheduler, table: JobTable, functions: Mapping[str, Function],
        takes_jobs: Callable[[], bool],
    ) -> None:
        """Serve ``functions``, by name; jobs are refused while ``takes_jobs`` returns False."""
        self._scheduler, self.table, self.functions = scheduler, table, functions
        self._takes_jobs = takes_jobs
        self._retries: dict[GearmanJob, object] = {}  # refused background jobs, with their timers

    def submit(self, client: "ClientSession", packet: Packet) -> None:
        """Start a job, or, if its unique key is known, join the live job or replay its final packet."""
        background = packet.type in _BACKGROUND
        if client.state is ClientState.LEFT and not background:  # nobody waits for it
            return
        if client.state is ClientState.AHEAD:
            client.error("refused", refusal_text(self._scheduler.limits.busy_retry))
            return
        name, unique, data = packet.args
        function = self.functions.get(name.decode("latin-1"))
        if function is None:
            client.error("unknown_function", "this function is not served here")
            return
        if len(data) > self._scheduler.limits.body or len(unique) > self._scheduler.limits.name:
            client.error("too_large", "workload or unique key is too large")
            return
        key = self._unique_key(name, unique, data)
        gearman_job = self.table.find(key)
        if gearman_job:
            self._join(client, gearman_job, background=background)
            return
        gearman_job = self.table.add(function.name, key, background)
        gearman_job.job = self._job(function, unique.decode("latin-1"), data)
        if background:
            self._start_in_background(client, gearman_job)
        else:
            self._start(client, gearman_job)

    def _job(self, function: Function, unique: str, data: bytes) -> Job:
        generation = self._scheduler.generation
        return Job(
            uuid.uuid4().hex, f"/{function.class_name}", data, generation.class_ids[function.job_class],
            generation.tenant_ids[function.tenant], function.deadline, function=function.name,
            unique=unique, class_name=function.class_name)

    def _join(self, client: "ClientSession", gearman_job: GearmanJob, *, background: bool) -> None:
        """Have a client wait for a job that is known, or tell it the outcome."""
        if len(gearman_job.listeners) >= self._scheduler.limits.requests:
            client.error("too_many", "too many wait for this key")
            return
        if background and gearman_job.failed_for_good:
            client.error("failed", "the job of this key has failed, and it may have run")
            return
        client.send(Type.JOB_CREATED, gearman_job.handle)
        if background:
            if not gearman_job.ended:
                gearman_job.acknowledge(client, self._retry)
        elif gearman_job.ended:
            gearman_job.replay(client)
            return
        else:
            gearman_job.join(client)
            client.track(gearman_job)
        self._scheduler.rejoin(gearman_job.number)

    def _start(self, client: "ClientSession", gearman_job: GearmanJob) -> None:
        """Submit a job for which a client waits."""
        client.send(Type.JOB_CREATED, gearman_job.handle)
        gearman_job.join(client)
        client.track(gearman_job)
        self._submit(gearman_job)

    def _start_in_background(self, client: "ClientSession", gearman_job: GearmanJob) -> None:
        """Submit a background job; it is acknowledged only once it has been accepted.

        Its client hears no more of an acknowledged one, and would take a refused job for one that runs.
        """
        if len(self.table.live) > self._scheduler.limits.requests:  # those that wait for a retry count, too
            gearman_job.refused(self._scheduler.limits.busy_retry)
        else:
            self._submit(gearman_job)
            self._scheduler.decide()
        if gearman_job.ended:
            client.error("refused", gearman_job.refusal_text())
            return
        client.send(Type.JOB_CREATED, gearman_job.handle)
        gearman_job.acknowledge(client, self._retry)

    def _submit(self, gearman_job: GearmanJob) -> None:
        job = gearman_job.job
        assert job
        if self._takes_jobs():
            gearman_job.number = self._scheduler.submit(job, gearman_job)
        else:
            self._scheduler.refuse(job, gearman_job)

    def _retry(self, gearman_job: GearmanJob, after: timedelta) -> bool:
        """Submit an acknowledged background job again after a time; return False if none are accepted."""
        if not self._takes_jobs():
            return False
        timer = IOLoop.current().call_later(after / _SECOND, self._submit_again, gearman_job)
        self._retries[gearman_job] = timer
        return True

    def _submit_again(self, gearman_job: GearmanJob) -> None:
        del self._retries[gearman_job]
        job, function = gearman_job.job, self.functions.get(gearman_job.function)
        if job is None or function is None:  # a reload took the function away
            gearman_job.dropped()
            return
        gearman_job.job = self._job(function, job.unique, job.body)  # by the settings of now
        self._submit(gearman_job)

    def finish(self) -> None:
        """Refuse the background jobs that wait to be submitted again; their clients are told."""
        for gearman_job, timer in self._retries.items():
            IOLoop.current().remove_timeout(timer)
            gearman_job.dropped()
        self._retries.clear()

    def client_left(self, client: "ClientSession", gearman_jobs: set[GearmanJob]) -> None:
        """Give up the jobs that only this client waited for.

        A job with a unique key that a worker may be running goes on, and no new attempt of it starts
        meanwhile: a client that submits it again has to find the live job or its outcome, or it would run
        twice.
        """
        for gearman_job in gearman_jobs:
            if gearman_job.leave(client) and gearman_job.number:
                if gearman_job.key is not None:
                    self._scheduler.orphan(gearman_job.number)
                    continue
                self._scheduler.abandon(gearman_job.number)
                self.table.live.pop(gearman_job.handle, None)

    def _unique_key(self, name: bytes, unique: bytes, data: bytes) -> Key | None:
        if unique == b"-":  # in the protocol: the workload is the key
            return name, b"-" + hashlib.sha256(data).hexdigest().encode()
        return (name, unique) if unique else None


def _discard(number: Type, *args: bytes) -> None:
    """Take the place of a closed connection: what is written to it is lost."""


class ClientState(Enum):
    """What is known of a client while what it has sent is processed."""

    WAITING = 0  # all that it has sent has been read, and its connection is open
    AHEAD = 1  # it has sent more than is buffered, so that it may have left: no job is accepted
    LEFT = 2  # it has closed its connection: background jobs alone are accepted


class ClientSession:
    """The state of one client connection: its option and the jobs that it waits for."""

    def __init__(self, submissions: Submissions, send: Callable[..., object]) -> None:
        """Start without the option "exceptions" and without jobs; ``send`` writes a packet."""
        self._submissions, self._send = submissions, send
        self.wants_exceptions = False
        self.state = ClientState.WAITING
        self._awaited_jobs: set[GearmanJob] = set()

    def send(self, number: Type, *args: bytes) -> None:
        """Write a packet."""
        self._send(number, *args)

    def error(self, code: str, text: str) -> None:
        """Write an ERROR packet."""
        self.send(Type.ERROR, code.encode(), text.encode())

    def track(self, gearman_job: GearmanJob) -> None:
        """Add a job that this client waits for, and forget those that have ended."""
        self._awaited_jobs = {job for job in self._awaited_jobs if not job.ended} | {gearman_job}

    def handle_packet(self, packet: Packet) -> None:
        """Process a packet from the client."""
        kind, table = Type(packet.type), self._submissions.table
        if kind in _SUBMIT:
            self._submissions.submit(self, packet)
        elif kind is Type.ECHO_REQ:
            self.send(Type.ECHO_RES, packet.args[0])
        elif kind is Type.OPTION_REQ and packet.args[0] == b"exceptions":
            self.wants_exceptions = True
            self.send(Type.OPTION_RES, packet.args[0])
        elif kind is Type.OPTION_REQ:
            self.error("unknown_option", "the one option is exceptions")
        elif kind is Type.GET_STATUS:
            gearman_job = table.live.get(packet.args[0])
            self.send(Type.STATUS_RES, packet.args[0], *self._status_args(gearman_job))
        elif kind is Type.GET_STATUS_UNIQUE:
            gearman_job = table.by_unique(packet.args[0])
            waiting = len(gearman_job.listeners) if gearman_job else 0
            self.send(
                Type.STATUS_RES_UNIQUE, packet.args[0], *self._status_args(gearman_job), b"%d" % waiting)

    @property
    def has_unfinished_jobs(self) -> bool:
        """Whether the client waits for a job that has not ended."""
        return any(not job.ended for job in self._awaited_jobs)

    def connection_lost(self) -> None:
        """Leave the jobs of a closed connection; those that only this client waited for are given up."""
        self._submissions.client_left(self, self._awaited_jobs)
        self._awaited_jobs = set()

    def release(self) -> None:
        """Drop the reference to the closed connection, which refers to this session."""
        self._send = _discard

    def _status_args(self, gearman_job: GearmanJob | None) -> tuple[bytes, ...]:
        if gearman_job is None:
            return b"0", b"0", b"0", b"0"
        return b"1", b"%d" % gearman_job.running, *gearman_job.status()
