"""Interfaces that a process implements to take part in a hand-over, and the open work that it reports."""

import asyncio
import socket
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from hazellead.lifecycle.messages import Message, MessageError
from hazellead.lifecycle.passed_jobs import PassedJob
from hazellead.net.server import Detached


@dataclass(slots=True, frozen=True)
class OpenWork:
    """Connections and attempts that a process still has open.

    ``attempts`` has, by worker's uid, the number of open attempts and how many of these have not begun.
    ``new_ids`` are the ids of jobs that have been opened since its last report: this process accepts none any
    more, but one of an older version does, and jobs may be passed to it.
    """

    client_connections: int = 0
    worker_connections: int = 0
    attempts: dict[str, tuple[int, int]] = field(default_factory=dict)
    new_ids: list[str] = field(default_factory=list)

    def plus(self, other: "OpenWork") -> "OpenWork":
        """Return the work that is open in either of two processes."""
        attempts = dict(self.attempts)
        for uid, (sent, waiting) in other.attempts.items():
            own_sent, own_waiting = attempts.get(uid, (0, 0))
            attempts[uid] = own_sent + sent, own_waiting + waiting
        return OpenWork(
            self.client_connections + other.client_connections,
            self.worker_connections + other.worker_connections, attempts, [*self.new_ids, *other.new_ids])

    def to_body(self) -> dict[str, Any]:
        """Return the body of a ``left`` message."""
        return {"connections": self.client_connections, "workers": self.worker_connections,
                "attempts": self.attempts, "taken": self.new_ids}

    @staticmethod
    def from_message(message: Message) -> "OpenWork":
        """Return the open work that a ``left`` message reports; raises MessageError."""
        raw_attempts = message.body.get("attempts")
        try:
            attempts = {uid: (int(sent), int(waiting)) for uid, (sent, waiting) in raw_attempts.items()}  # type: ignore[union-attr]
        except (AttributeError, TypeError, ValueError):
            raise MessageError("left.attempts is malformed") from None
        return OpenWork(
            message.number("connections"), message.number("workers"), attempts, message.texts("taken"))


@dataclass(slots=True, frozen=True)
class CallBack:
    """A worker's report on a job; ``payload`` is the share for "running" and the result for "done"."""

    identity: str
    sender: str
    state: str
    payload: Any


class JobExchange(Protocol):
    """Takes jobs over from the predecessor, offers others to the successor, and handles their call-backs."""

    def handle_forwarded_call_back(
        self, call_back: CallBack, *, from_successor: bool,
    ) -> "asyncio.Future[int] | None":
        """Handle a call-back that reached the other process; raises MessageError if it is malformed.

        The future yields the status to answer with; None means 200 at once.
        """

    def reserve_jobs(self, number: int, jobs: Sequence[tuple[PassedJob, socket.socket]]) -> list[str]:
        """Keep a batch of jobs that the other process offers; return the ids of those that can continue here.

        The sockets of jobs that cannot continue here are closed, and so are those of an earlier batch that
        was not settled.
        """

    def settle_reserved(self, number: int, identities: Sequence[str]) -> None:
        """Continue with these jobs of an offered batch; the others stay with the other process."""

    def read_job(self, body: Any) -> PassedJob:
        """Decode a job within this process's size limits; raises MessageError."""

    def park_jobs(self, limit: int) -> list[tuple[PassedJob, socket.socket]]:
        """Park up to ``limit`` jobs that would outlast this process; the sockets are copies."""

    def settle_parked(self, identities: Sequence[str], *, refused: bool) -> None:
        """Forget these of the parked jobs, which the successor now owns, and continue with the others.

        If the successor has ``refused`` the others, they are not offered again.
        """


class HandoverHandler(Protocol):
    """Acts in either process on the messages of the other."""

    @property
    def jobs(self) -> JobExchange:
        """Return the part that acts on open jobs."""

    def adopt(self, detached: Detached) -> None:
        """Serve a connection that the other process has passed on."""

    def set_other_open_work(self, open_work: OpenWork, *, from_successor: bool) -> None:
        """Remember the other process's new ids; count the predecessor's connections and attempts here too."""

    def take_unreported_ids(self) -> list[str]:
        """Return the ids of jobs that have been accepted since the last call, for the predecessor."""

    def server_list(self) -> dict[str, Any]:
        """Return this process's list of servers, as the body of a message."""

    def adopt_server_list(self, body: dict[str, Any]) -> None:
        """Use the other process's list of servers from a message's body, if there is one and it is newer."""

    def predecessor_ended(self) -> None:
        """Drop the jobs that were being passed, and what was open in the old process: it is gone."""


class PredecessorHandler(HandoverHandler, Protocol):
    """Acts in the process that is being replaced."""

    def offer(self) -> tuple[list[socket.socket], dict[str, Any]] | str:
        """Return copies of the listening sockets and the offer's body, or the reason why not now."""

    def stop_accepting(self) -> dict[str, Any]:
        """Accept no more connections and jobs; return the ids of open and of ended jobs."""

    def successor_ended(self) -> None:
        """Continue with the jobs that were being passed: the successor is gone, or cannot be reached."""

    def take_back(self) -> None:
        """Accept connections again: the successor is gone, and no other process serves."""

    def lose_successor(self) -> None:
        """Bring only what is open to its end: another process serves, and cannot be reached."""

    def detach_idle(self) -> Iterable[Detached]:
        """Detach the connections that have no open job, one by one, to be passed on.

        Such a connection may take along a request that this process has not accepted.
        """

    def open_work(self) -> OpenWork:
        """Return what is still open in this process."""

    def enable_job_passing(self) -> None:
        """Note that the successor can continue open jobs."""


class _NoJobs:
    """Refuses jobs and drops call-backs."""

    def handle_forwarded_call_back(self, call_back: CallBack, *, from_successor: bool) -> None:
        """Ignore the call-back."""

    def read_job(self, body: Any) -> PassedJob:
        """Refuse the job."""
        raise MessageError("jobs out of turn")

    def reserve_jobs(self, number: int, jobs: Sequence[tuple[PassedJob, socket.socket]]) -> list[str]:
        """Refuse all jobs and close their sockets."""
        for _, sock in jobs:
            sock.close()
        return []

    def settle_reserved(self, number: int, identities: Sequence[str]) -> None:
        """Do nothing: no job is reserved."""

    def park_jobs(self, limit: int) -> list[tuple[PassedJob, socket.socket]]:
        """Return none."""
        return []

    def settle_parked(self, identities: Sequence[str], *, refused: bool) -> None:
        """Do nothing: no job is parked."""


class NullHandler:
    """Handler of a new process that cannot act yet: drops messages and refuses jobs."""

    jobs: JobExchange = _NoJobs()

    def predecessor_ended(self) -> None:
        """Do nothing: no job is being passed."""

    def adopt(self, detached: Detached) -> None:
        """Close the connection."""
        detached.sock.close()

    def set_other_open_work(self, open_work: OpenWork, *, from_successor: bool) -> None:
        """Ignore the report."""

    def take_unreported_ids(self) -> list[str]:
        """Return none: no job is accepted."""
        return []

    def server_list(self) -> dict[str, Any]:
        """Return no list."""
        return {}

    def adopt_server_list(self, body: dict[str, Any]) -> None:
        """Ignore the list."""
