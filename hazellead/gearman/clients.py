"""Gearman clients: submissions, status and options, turned into jobs for the scheduler."""

import hashlib
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from hazellead.core.jobs import Job
from hazellead.core.scheduler import Scheduler
from hazellead.gearman.jobs import JobTable, Key, Ticket
from hazellead.gearman.packets import Packet, Type

_BACKGROUND = {Type.SUBMIT_JOB_BG, Type.SUBMIT_JOB_HIGH_BG, Type.SUBMIT_JOB_LOW_BG}
_SUBMIT = _BACKGROUND | {Type.SUBMIT_JOB, Type.SUBMIT_JOB_HIGH, Type.SUBMIT_JOB_LOW}
TYPES = _SUBMIT | {Type.ECHO_REQ, Type.OPTION_REQ, Type.GET_STATUS, Type.GET_STATUS_UNIQUE}


@dataclass(slots=True, frozen=True)
class Function:
    """What a Gearman function is to the scheduler."""

    name: str
    job_class: int
    class_name: str
    tenant: int
    deadline: timedelta


class Submissions:
    """Takes jobs in for all Gearman clients."""

    def __init__(
        self, scheduler: Scheduler, table: JobTable, functions: Mapping[str, Function],
        takes_jobs: Callable[[], bool],
    ) -> None:
        """Serve the functions that the operator lists."""
        self._scheduler, self.table, self.functions = scheduler, table, functions
        self._takes_jobs = takes_jobs

    def submit(self, client: "ClientSession", packet: Packet) -> None:
        """Start a job, join a live one or replay an outcome."""
        name, unique, data = packet.args
        function = self.functions.get(name.decode("latin-1"))
        if function is None:
            client.error("unknown_function", "this function is not served here")
            return
        if len(data) > self._scheduler.limits.body or len(unique) > self._scheduler.limits.name:
            client.error("too_large", "workload or unique key is too large")
            return
        background = packet.type in _BACKGROUND
        key = self._key(name, unique, data)
        ticket = self.table.find(key)
        if ticket and len(ticket.listeners) >= self._scheduler.limits.requests:
            client.error("too_many", "too many wait for this key")
            return
        fresh = ticket is None
        ticket = ticket or self.table.add(function.name, key, background)
        ticket.background = ticket.background or background
        client.send(Type.JOB_CREATED, ticket.handle)
        if not background:
            if ticket.over:
                ticket.replay(client)
                return
            ticket.join(client)
            client.track(ticket)
        self._scheduler.rejoin(ticket.number)
        if not fresh:
            return
        now = self._scheduler.generation
        tenant = now.tenants[function.tenant] if now.tenants else 0
        job = Job(uuid.uuid4().hex, f"/{function.class_name}", data, now.classes[function.job_class], tenant,
                  function.deadline, function=function.name, unique=unique.decode("latin-1"),
                  class_name=function.class_name)
        if not self._takes_jobs():
            self._scheduler.refuse(job, ticket)
            return
        ticket.number = self._scheduler.submit(job, ticket)

    def leave(self, client: "ClientSession", tickets: set[Ticket]) -> None:
        """Give up what only this client waited for.

        Guards against posting twice: what a worker may be at goes on if the job has a unique key, since a
        client that comes back must find it live or find its outcome. Nothing more is begun for it meanwhile.
        """
        for ticket in tickets:
            if ticket.leave(client) and ticket.number:
                if ticket.key is not None:
                    self._scheduler.orphan(ticket.number)
                    continue
                self._scheduler.abandon(ticket.number)
                self.table.live.pop(ticket.handle, None)

    def _key(self, name: bytes, unique: bytes, data: bytes) -> Key | None:
        if unique == b"-":  # the protocol's word for the workload as the key
            return name, b"-" + hashlib.sha256(data).hexdigest().encode()
        return (name, unique) if unique else None


class ClientSession:
    """One client's connection."""

    def __init__(self, submissions: Submissions, send: Callable[..., object]) -> None:
        """Start with no options."""
        self._submissions, self._send = submissions, send
        self.exceptions = False
        self._tickets: set[Ticket] = set()

    def send(self, number: Type, *args: bytes) -> None:
        """Write a packet."""
        self._send(number, *args)

    def error(self, code: str, text: str) -> None:
        """Write an ERROR packet."""
        self.send(Type.ERROR, code.encode(), text.encode())

    def track(self, ticket: Ticket) -> None:
        """Keep in mind which jobs end with this connection, forgetting those that are over."""
        self._tickets = {t for t in self._tickets if not t.over} | {ticket}

    def handle_packet(self, packet: Packet) -> None:
        """Follow one of its packets."""
        kind, table = Type(packet.type), self._submissions.table
        if kind in _SUBMIT:
            self._submissions.submit(self, packet)
        elif kind is Type.ECHO_REQ:
            self.send(Type.ECHO_RES, packet.args[0])
        elif kind is Type.OPTION_REQ and packet.args[0] == b"exceptions":
            self.exceptions = True
            self.send(Type.OPTION_RES, packet.args[0])
        elif kind is Type.OPTION_REQ:
            self.error("unknown_option", "the one option is exceptions")
        elif kind is Type.GET_STATUS:
            ticket = table.live.get(packet.args[0])
            self.send(Type.STATUS_RES, packet.args[0], *self._status(ticket))
        elif kind is Type.GET_STATUS_UNIQUE:
            ticket = table.by_unique(packet.args[0])
            waiting = len(ticket.listeners) if ticket else 0
            self.send(Type.STATUS_RES_UNIQUE, packet.args[0], *self._status(ticket), b"%d" % waiting)

    @property
    def has_unfinished_jobs(self) -> bool:
        """Say whether it is still owed the end of a job."""
        return any(not ticket.over for ticket in self._tickets)

    def connection_lost(self) -> None:
        """End with its connection."""
        self._submissions.leave(self, self._tickets)

    def _status(self, ticket: Ticket | None) -> tuple[bytes, ...]:
        if ticket is None:
            return b"0", b"0", b"0", b"0"
        return b"1", b"%d" % ticket.running, *ticket.status()
