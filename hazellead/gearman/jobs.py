"""Jobs of Gearman clients: which clients wait for each, and which unique keys are live or recently ended.

The table covers this process since its start. A live key is never dropped: a second submission joins the
job. An ended key is kept for ``Limits.ended_key_ttl``, as long as no more than ``Limits.ended_keys`` keys
and ``Limits.ended_key_bytes`` of results are kept; the oldest are dropped first. A refusal is not kept,
since nothing ran. A key that was dropped, or that another scheduler accepted, counts as new.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol
from weakref import WeakSet

from hazellead.core.clock import Clock
from hazellead.core.jobs import Job
from hazellead.gearman.packets import Type
from hazellead.limits import Limits

PROGRESS_PARTS = 1000  # progress is reported in thousandths

Key = tuple[bytes, bytes]  # function name and unique key


def refusal_text(retry_after: timedelta) -> str:
    """Return what clients are told of a refusal, with the time after which to retry."""
    return f"refused: retry after {max(retry_after.total_seconds(), 0.001):.3f} s"


class JobListener(Protocol):
    """A client connection that is sent a job's packets."""

    wants_exceptions: bool

    def send(self, number: Type, *args: bytes) -> None:
        """Write a packet; does nothing once the connection is closed."""


class GearmanJob:
    """A job with its Gearman clients; as the scheduler's ``ClientReply`` it sends them its progress and end.

    Several clients wait for one job if they submitted the same unique key. Nobody waits for a background job;
    one that has been acknowledged is submitted again if it is refused, since its client relies on its run.
    """

    def __init__(
        self, handle: bytes, function: str, key: Key | None, background: bool,
        on_end: Callable[["GearmanJob"], None],
    ) -> None:
        """Start as a job that is known and not yet running; ``on_end`` is called once, at its end."""
        self.handle, self.function, self.key = handle, function, key
        self.background, self._on_end = background, on_end
        self.number = 0  # the scheduler's request number; 0 until it has accepted the job
        self.job: Job | None = None  # what to submit again; None once it has ended
        self.listeners: list[JobListener] = []
        self._submitters = WeakSet[JobListener]()  # of a background job: told only if it does not run
        # Submits an acknowledged background job again after a time; returns whether it will.
        self.retry: Callable[[GearmanJob, timedelta], bool] | None = None
        self.retry_after = timedelta(0)  # of the last refusal
        self.running, self.done_parts = False, 0  # of PROGRESS_PARTS
        # The type and the result of the last packet; None before the end and after a refusal.
        self.final_packet: tuple[Type, bytes | None] | None = None
        self.ended = False

    def join(self, listener: JobListener) -> None:
        """Add a waiting client; if the job is running, send it the progress."""
        self.listeners.append(listener)
        if self.running:
            listener.send(Type.WORK_STATUS, self.handle, *self.status())

    def acknowledge(self, submitter: JobListener, retry: "Callable[[GearmanJob, timedelta], bool]") -> None:
        """Promise a client to run the job in the background: from now on a refusal does not end it."""
        self.background, self.retry = True, retry
        self._submitters.add(submitter)

    def leave(self, listener: JobListener) -> bool:
        """Remove a client; return whether the job is unfinished, in the foreground and without clients."""
        self.listeners = [other for other in self.listeners if other is not listener]
        return not self.listeners and not self.background and not self.ended

    @property
    def failed_for_good(self) -> bool:
        """Whether it has ended without a result after it may have run, so that it must not run again."""
        return self.final_packet is not None and self.final_packet[0] is Type.WORK_FAIL

    def status(self) -> tuple[bytes, bytes]:
        """Return the numerator and denominator of the part done, as a WORK_STATUS packet has them."""
        return b"%d" % self.done_parts, b"%d" % PROGRESS_PARTS

    def served(self, result: bytes) -> None:
        """Send WORK_COMPLETE with the result."""
        self._end((Type.WORK_COMPLETE, result))

    def refused(self, retry_after: timedelta) -> None:
        """Send the time after which to retry, as an exception or a warning, then WORK_FAIL.

        An acknowledged background job goes on without those that waited for it.
        """
        self.retry_after = retry_after
        self._send_refusal(self.listeners)
        if self.retry and self.retry(self, retry_after):
            for listener in self.listeners:
                listener.send(Type.WORK_FAIL, self.handle)
            self.listeners = []
        else:
            self.dropped()

    def dropped(self) -> None:
        """End the job as refused; the clients to which it was acknowledged are told, too."""
        submitters = list(self._submitters)
        self._send_refusal(submitters)
        self.listeners += submitters
        self._end(None)

    def failed(self, reason: str) -> None:
        """Send WORK_FAIL; Gearman has no field for the reason."""
        if not self.running:
            self.listeners += list(self._submitters)
        self._end((Type.WORK_FAIL, None))

    def refusal_text(self) -> str:
        """Return what clients are told of the last refusal."""
        return refusal_text(self.retry_after)

    def _send_refusal(self, listeners: list[JobListener]) -> None:
        for listener in listeners:
            number = Type.WORK_EXCEPTION if listener.wants_exceptions else Type.WORK_WARNING
            listener.send(number, self.handle, self.refusal_text().encode())

    def began(self) -> None:
        """Send the first WORK_STATUS; later calls do nothing."""
        if not self.running:
            self.running = True
            self._send_to_all(Type.WORK_STATUS, *self.status())

    def progressed(self, share: float) -> None:
        """Send the part done, given from 0 to 1."""
        self.running, self.done_parts = True, round(min(max(share, 0.0), 1.0) * PROGRESS_PARTS)
        self._send_to_all(Type.WORK_STATUS, *self.status())

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Forward a worker's data, warning or exception; exceptions go to clients with that option only."""
        if exception:
            for listener in self.listeners:
                if listener.wants_exceptions:
                    listener.send(Type.WORK_EXCEPTION, self.handle, data)
        else:
            self._send_to_all(Type.WORK_WARNING if warning else Type.WORK_DATA, data)

    def replay(self, listener: JobListener) -> None:
        """Send one client the final packet; WORK_FAIL after a refusal."""
        number, result = self.final_packet or (Type.WORK_FAIL, None)
        listener.send(number, self.handle, *(() if result is None else (result,)))

    def _send_to_all(self, number: Type, *args: bytes) -> None:
        for listener in self.listeners:
            listener.send(number, self.handle, *args)

    def _end(self, final_packet: tuple[Type, bytes | None] | None) -> None:
        self.final_packet, self.ended = final_packet, True
        for listener in self.listeners:
            self.replay(listener)
        self.listeners, self.job = [], None
        self._on_end(self)


@dataclass(slots=True, frozen=True)
class _EndedJob:
    job: GearmanJob
    ended_at: datetime


class JobTable:
    """The live jobs, and the final packets of recently ended jobs by their unique keys."""

    def __init__(self, name: str, limits: Limits, clock: Clock) -> None:
        """Start empty; ``name``, the scheduler's, becomes part of the job handles."""
        self._name, self._limits, self._clock, self._last_number = name.encode(), limits, clock, 0
        self.live: dict[bytes, GearmanJob] = {}  # by handle
        self._live_by_key: dict[Key, GearmanJob] = {}
        self._ended_by_key: OrderedDict[Key, _EndedJob] = OrderedDict()
        self._result_bytes = 0

    def find(self, key: Key | None) -> GearmanJob | None:
        """Return the job of a key: a live one, or one whose outcome is still remembered; else None."""
        if key is None:
            return None
        if live := self._live_by_key.get(key):
            return live
        self._prune()
        return self._ended_by_key[key].job if key in self._ended_by_key else None

    def add(self, function: str, key: Key | None, background: bool) -> GearmanJob:
        """Add a new job under a new handle; without a key no later submission can join it."""
        self._last_number += 1
        job = GearmanJob(b"H:%s:%d" % (self._name, self._last_number), function, key, background, self._end)
        self.live[job.handle] = job
        if key:
            self._live_by_key[key] = job
        return job

    def by_unique(self, unique: bytes) -> GearmanJob | None:
        """Return a live job that has this unique key, of any function; None if there is none."""
        return next((job for key, job in self._live_by_key.items() if key[1] == unique), None)

    def _end(self, job: GearmanJob) -> None:
        self.live.pop(job.handle, None)
        if job.key is None:
            return
        del self._live_by_key[job.key]
        if job.final_packet:
            self._ended_by_key[job.key] = _EndedJob(job, self._clock.now())
            self._result_bytes += len(job.final_packet[1] or b"")
            self._prune()

    def _prune(self) -> None:
        oldest_kept = self._clock.now() - self._limits.ended_key_ttl
        while self._ended_by_key and (
            len(self._ended_by_key) > self._limits.ended_keys
            or self._result_bytes > self._limits.ended_key_bytes
            or next(iter(self._ended_by_key.values())).ended_at < oldest_kept
        ):
            _, evicted = self._ended_by_key.popitem(last=False)
            self._result_bytes -= len(evicted.job.final_packet[1] or b"") if evicted.job.final_packet else 0
