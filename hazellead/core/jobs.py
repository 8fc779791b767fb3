"""What the core deals in, and the small interfaces to what stands around it."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from hazellead.decide import interface as api


@dataclass(slots=True, frozen=True)
class Job:
    """What a client asks for. ``identity`` is unique among live jobs; target and body pass on unread."""

    identity: str
    target: str
    body: bytes
    job_class: int
    tenant: int
    remaining: timedelta
    slots: float = 1.0
    function: str = ""  # its name among Gearman speakers
    unique: str = ""  # the key its Gearman client gave
    class_name: str = ""  # what the settings it came under call its class
    idempotency_key: str = ""  # by which workers discard repeats, where its client gave one


class ClientReply(Protocol):
    """Where a job's final answer goes; exactly one of the first three is called, once."""

    def served(self, result: bytes) -> None:
        """Hand over a worker's result."""

    def refused(self, retry_after: timedelta) -> None:
        """Turn the job away; nothing of it ran."""

    def failed(self, reason: str) -> None:
        """Say that it failed; it may have run."""

    def began(self) -> None:
        """Report that a worker has started."""

    def progressed(self, share: float) -> None:
        """Report the part done, from 0 to 1."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Pass on what a worker says before its end."""


class Attempt:
    """One push. A transport reports on it here; the first end counts and all later reports are dropped."""

    __slots__ = (
        "_host", "began_at", "heard", "job", "number", "outcome", "request", "sent", "until", "worker")

    def __init__(
        self, host: "AttemptHost", request: int, number: int, worker: int, job: Job,
        sent: datetime, until: datetime,
    ) -> None:
        """Start as out."""
        self._host, self.request, self.number, self.worker, self.job = host, request, number, worker, job
        self.sent, self.until = sent, until
        self.outcome: api.Outcome | None = None
        self.heard = False  # its worker has reported on it
        self.began_at: datetime | None = None  # and, from then on, that it is at it

    def may_send(self) -> bool:
        """Say whether its first byte may go out now.

        Guards against what may come about while a connection is being opened: a drain, a time-out, another
        copy's result or the client's leave, and the end of the time in which a repeat is discarded.
        """
        return self.outcome is None and self._host.may_begin(self)

    def written(self) -> None:
        """Report that its last byte has gone out."""
        self._host.attempt_written()

    def began(self) -> None:
        """Report that the worker is at it."""
        if self.outcome is None:
            self._host.attempt_began(self)

    def progressed(self, share: float) -> None:
        """Report the part done."""
        if self.outcome is None:
            self._host.attempt_progressed(self, share)

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Report what the worker says before its end."""
        if self.outcome is None:
            self._host.attempt_said(self, data, warning=warning, exception=exception)

    def end(self, outcome: api.Outcome, result: bytes = b"") -> None:
        """Report its end."""
        if self.outcome is None:
            self.outcome = outcome
            self._host.attempt_ended(self, result)


class AttemptHost(Protocol):
    """What an attempt reports to."""

    def may_begin(self, attempt: Attempt) -> bool:
        """Say whether an attempt's first byte may go out now."""

    def attempt_written(self) -> None:
        """Take in that one was written whole."""

    def attempt_began(self, attempt: Attempt) -> None:
        """Take in a start."""

    def attempt_progressed(self, attempt: Attempt, share: float) -> None:
        """Take in progress."""

    def attempt_said(self, attempt: Attempt, data: bytes, *, warning: bool, exception: bool) -> None:
        """Take in what the worker says."""

    def attempt_ended(self, attempt: Attempt, result: bytes) -> None:
        """Take in the end."""


class Tally(Protocol):
    """Counts what has become of jobs; every front's go through here."""

    def ended(self, class_name: str, end: str) -> None:
        """Count a job's final answer: success, overload (refused) or error."""

    def dispatched(self) -> None:
        """Count an attempt written whole to a worker."""


class Counted:
    """A client's reply whose final answer is counted."""

    __slots__ = ("_name", "_reply", "_tally", "began", "partial", "progressed")

    def __init__(self, reply: ClientReply, tally: Tally, class_name: str) -> None:
        """Count for this class."""
        self._reply, self._tally, self._name = reply, tally, class_name
        self.began, self.progressed, self.partial = reply.began, reply.progressed, reply.partial

    def served(self, result: bytes) -> None:
        """Hand over a worker's result."""
        self._tally.ended(self._name, "success")
        self._reply.served(result)

    def refused(self, retry_after: timedelta) -> None:
        """Turn the job away."""
        self._tally.ended(self._name, "overload")
        self._reply.refused(retry_after)

    def failed(self, reason: str) -> None:
        """Say that it failed."""
        self._tally.ended(self._name, "error")
        self._reply.failed(reason)


class WorkerTransport(Protocol):
    """Carries attempts to workers; calls ``end`` on each unless given it up first."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""

    def give_up(self, attempt: Attempt) -> None:
        """Stop an attempt that has just been ended from outside."""

    def probe(self, worker: int, done: Callable[[api.Outcome], None]) -> None:
        """Ask whether a worker lives."""

    def release(self, worker: int) -> None:
        """Close the idle connections to a worker."""


class WorkerDirectory(Protocol):
    """Tells which workers there are; word arrives at the listener it was given."""

    def list_expired(self) -> bool:
        """Say whether the list that was told may no longer be acted on: nothing is sent by it."""

    def subscribe(self) -> None:
        """Follow the list from now on; a failure is told and ends it."""

    def fetch(self) -> None:
        """Ask once for the whole list."""

    def name(self, worker: int) -> str:
        """Return what a worker is called, for the log."""
