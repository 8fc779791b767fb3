"""Jobs and attempts, and the interfaces between the scheduler and its clients, workers and metrics."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from hazellead.decide import interface as api


@dataclass(slots=True, frozen=True)
class Job:
    """A client's job. ``identity`` is unique among open jobs; target and body are passed on uninterpreted."""

    identity: str
    target: str
    body: bytes
    job_class: int
    tenant: int
    remaining: timedelta
    slots: float = 1.0
    function: str = ""  # its function name for Gearman clients and workers
    unique: str = ""  # the unique key given by a Gearman client
    class_name: str = ""  # the class's name in the settings under which the job was submitted
    idempotency_key: str = ""  # lets workers discard repeats; empty if the client gave none


class ClientReply(Protocol):
    """Receives a job's answer: exactly one of served, refused and failed is called, once."""

    def served(self, result: bytes) -> None:
        """Deliver a worker's result."""

    def refused(self, retry_after: timedelta) -> None:
        """Refuse the job; no attempt of it has run."""

    def failed(self, reason: str) -> None:
        """Report that the job failed; it may have run."""

    def began(self) -> None:
        """Report that a worker has started."""

    def progressed(self, share: float) -> None:
        """Report the share of the work done, from 0 to 1."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Pass on data, a warning or an exception that a worker sends before the job's end."""


class Attempt:
    """One push of a job to a worker. Its transport reports here; reports after the first end are dropped."""

    __slots__ = (
        "_host", "began_at", "job", "number", "outcome", "reported", "request", "sent", "until", "worker")

    def __init__(
        self, host: "AttemptHost", request: int, number: int, worker: int, job: Job,
        sent: datetime, until: datetime,
    ) -> None:
        """Create an open attempt, to be ended at ``until`` at the latest."""
        self._host, self.request, self.number, self.worker, self.job = host, request, number, worker, job
        self.sent, self.until = sent, until
        self.outcome: api.Outcome | None = None
        self.reported = False  # the worker has sent a report on it
        self.began_at: datetime | None = None  # when the worker reported the start

    def may_send(self) -> bool:
        """Return whether its first byte may be sent now.

        Guards against changes while the connection is being opened: a drain, a time-out, the result of
        another copy, a client that disconnects, and the end of the time in which workers discard a repeat.
        """
        return self.outcome is None and self._host.may_begin(self)

    def written(self) -> None:
        """Report that its last byte has been written."""
        self._host.attempt_written()

    def began(self) -> None:
        """Report that the worker has started the job."""
        if self.outcome is None:
            self._host.attempt_began(self)

    def progressed(self, share: float) -> None:
        """Report the share of the work done, from 0 to 1."""
        if self.outcome is None:
            self._host.attempt_progressed(self, share)

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Report data, a warning or an exception that the worker sends before its end."""
        if self.outcome is None:
            self._host.attempt_partial(self, data, warning=warning, exception=exception)

    def end(self, outcome: api.Outcome, result: bytes = b"") -> None:
        """Report its end, with the worker's result if it was served."""
        if self.outcome is None:
            self.outcome = outcome
            self._host.attempt_ended(self, result)


class AttemptHost(Protocol):
    """Receives the reports of attempts; implemented by the scheduler."""

    def may_begin(self, attempt: Attempt) -> bool:
        """Return whether an attempt's first byte may be sent now."""

    def attempt_written(self) -> None:
        """Handle an attempt that has been written whole."""

    def attempt_began(self, attempt: Attempt) -> None:
        """Handle a worker's start of the job."""

    def attempt_progressed(self, attempt: Attempt, share: float) -> None:
        """Handle a progress report."""

    def attempt_partial(self, attempt: Attempt, data: bytes, *, warning: bool, exception: bool) -> None:
        """Handle data, a warning or an exception sent before the end."""

    def attempt_ended(self, attempt: Attempt, result: bytes) -> None:
        """Handle the end of an attempt; ``attempt.outcome`` is set."""


class Tally(Protocol):
    """Counts the final answers and attempts of all client front ends, for metrics."""

    def ended(self, class_name: str, end: str) -> None:
        """Count a job's final answer: success, overload (refused) or error."""

    def dispatched(self) -> None:
        """Count an attempt written whole to a worker."""


class CountedReply:
    """A client's reply that counts its final answer."""

    __slots__ = ("_name", "_reply", "_tally", "began", "partial", "progressed")

    def __init__(self, reply: ClientReply, tally: Tally, class_name: str) -> None:
        """Count the answer under this class."""
        self._reply, self._tally, self._name = reply, tally, class_name
        self.began, self.progressed, self.partial = reply.began, reply.progressed, reply.partial

    def served(self, result: bytes) -> None:
        """Deliver a worker's result."""
        self._tally.ended(self._name, "success")
        self._reply.served(result)

    def refused(self, retry_after: timedelta) -> None:
        """Refuse the job."""
        self._tally.ended(self._name, "overload")
        self._reply.refused(retry_after)

    def failed(self, reason: str) -> None:
        """Report that the job failed."""
        self._tally.ended(self._name, "error")
        self._reply.failed(reason)


class WorkerTransport(Protocol):
    """Sends attempts to workers; calls ``end`` on each attempt unless ``give_up`` was called first."""

    def send(self, attempt: Attempt) -> None:
        """Start sending an attempt."""

    def give_up(self, attempt: Attempt) -> None:
        """Stop an attempt that the scheduler has just ended."""

    def probe(self, worker: int, done: Callable[[api.Outcome], None]) -> None:
        """Probe a worker and pass the outcome to ``done``."""

    def release(self, worker: int) -> None:
        """Close the idle connections to a worker."""


class WorkerDirectory(Protocol):
    """Provides the worker list; lists and changes go to the listener that it was created with."""

    def list_expired(self) -> bool:
        """Return whether the lease on the list has expired, so that nothing may be sent."""

    def subscribe(self) -> None:
        """Watch the list from now on; a failure is reported to the listener and ends the watch."""

    def fetch(self) -> None:
        """Fetch the full list once."""

    def name(self, worker: int) -> str:
        """Return a worker's name, as used in the log and by other processes."""
