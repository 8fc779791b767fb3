"""Carries attempts to posting workers over HTTP/1.1 and takes in the call-backs that tell their fate."""

import asyncio
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, Protocol

import structlog
from tornado.iostream import StreamClosedError

from hazellead.core.clock import Clock, to_us
from hazellead.core.jobs import Attempt
from hazellead.decide.interface import Outcome
from hazellead.limits import Limits
from hazellead.net import http, streams
from hazellead.net.client import ClientConnection

log = structlog.get_logger()

_STATES = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


def fault(state: str, rest: Any) -> str | None:
    """Say what is wrong with what a call-back says beside its state; None: nothing."""
    if state == "running" and (isinstance(rest, bool) or not isinstance(rest, int | float)):
        return "share is a number"
    if state == "done" and not isinstance(rest, str):
        return "result is a string"
    return None


@dataclass(slots=True, frozen=True)
class Place:
    """Where a worker listens, and the name by which it signs its call-backs."""

    uid: str
    host: str
    port: int


class Places(Protocol):
    """Knows where workers are."""

    def place(self, worker: int) -> Place | None:
        """Return where a worker listens."""


class Pool:
    """Open connections to workers: one request at a time on each, closed well before the worker would."""

    def __init__(self, limits: Limits, clock: Clock) -> None:
        """Start with none."""
        self._limits, self._clock = limits, clock
        self._idle: dict[Place, list[tuple[ClientConnection, datetime]]] = defaultdict(list)
        self._open: set[ClientConnection] = set()
        self._opening = 0
        self.elsewhere = 0  # connections that another process of this scheduler has open

    def repace(self, limits: Limits) -> None:
        """Go by other times from now on."""
        self._limits = limits

    async def take(self, place: Place) -> ClientConnection:
        """Return a connection that is open and quiet, the last used first, or open one.

        What is returned is quiet up to the caller's next wait.
        """
        kept = self._idle[place]
        while kept:
            connection, since = kept.pop()
            if self._usable(place, connection, since):
                return connection
            connection.close()
        if self.count() + self.elsewhere >= self._limits.worker_connections and not self._make_room():
            raise StreamClosedError(OSError("too many connections to workers"))
        self._opening += 1
        try:
            stream = await streams.connect(place.host, place.port, self._limits)
        finally:
            self._opening -= 1
        connection = ClientConnection(stream, self._limits)
        self._open.add(connection)
        if not connection.quiet:
            connection.close()
            raise StreamClosedError(OSError("closed, or spoken on, before anything was asked"))
        return connection

    def _usable(self, place: Place, connection: ClientConnection, since: datetime) -> bool:
        rested = self._clock.now() - since
        if connection.quiet:
            return rested < self._limits.worker_idle
        if connection.unasked:
            log.warning("worker_answered_again", worker=place.uid, after=f"{rested.total_seconds():.3f}")
        return False

    def give(self, place: Place, connection: ClientConnection) -> None:
        """Keep a connection for the next request, unless enough are kept."""
        if not connection.quiet or len(self._idle[place]) >= self._limits.idle_per_worker:
            connection.close()
        else:
            self._idle[place].append((connection, self._clock.now()))

    def give_after(self, place: Place, connection: ClientConnection, message: http.Message) -> None:
        """Keep a connection after its answer, if that says that the next one on it can be trusted.

        Guards against a second copy of an answer that comes late: "never ran" or an error would pass for the
        next job's, and what runs would be sent again.
        """
        if message.keep and 200 <= message.status < 300:
            self.give(place, connection)
        else:
            connection.close()

    def idle(self, place: Place) -> int:
        """Return how many connections to a worker are kept."""
        return len(self._idle.get(place, ()))

    def release(self, place: Place) -> None:
        """Close the idle connections to one worker."""
        for connection, _ in self._idle.pop(place, []):
            connection.close()

    def sweep(self) -> None:
        """Close what has idled long enough or was closed by the other side."""
        for place, kept in list(self._idle.items()):
            left = []
            for connection, since in kept:
                if self._usable(place, connection, since):
                    left.append((connection, since))
                else:
                    connection.close()
            self._idle[place] = left
            if not left:
                del self._idle[place]

    def _make_room(self) -> bool:
        kept = [(entries[0][1], place) for place, entries in self._idle.items() if entries]
        if not kept:
            return False
        _, place = min(kept, key=lambda k: k[0])
        self._idle[place].pop(0)[0].close()
        return True

    def release_all(self) -> None:
        """Close every idle connection."""
        for place in list(self._idle):
            self.release(place)

    def count(self) -> int:
        """Return how many connections are open or being opened."""
        self._open = {connection for connection in self._open if not connection.stream.closed()}
        return len(self._open) + self._opening


class HttpWorkers:
    """The worker transport of the platform's protocol."""

    def __init__(self, places: Places, limits: Limits, clock: Clock) -> None:
        """Reach workers at the places a directory tells."""
        self._places, self._limits, self._clock = places, limits, clock
        self.pool = Pool(limits, clock)
        self._out: dict[tuple[str, str], Attempt] = {}  # by job's id and worker's name
        self.tasks: dict[Attempt, asyncio.Task[None]] = {}  # those whose 202 is still awaited
        self._others: set[asyncio.Task[None]] = set()
        self._rejecting: set[str] = set()  # workers whose last answer was that a job is unusable
        self._returned: OrderedDict[tuple[str, str], None] = OrderedDict()

    def repace(self, limits: Limits) -> None:
        """Go by other times from now on, kept connections included."""
        self._limits = limits
        self.pool.repace(limits)

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        place = self._places.place(attempt.worker)
        if place is None:
            attempt.end(Outcome.CONNECT_FAILED)
            return
        key = (attempt.job.identity, place.uid)
        if key in self._returned:
            # Guards against a repeat of the call-back 'returned' for the earlier attempt: it would pass for
            # the end of this one, which may be running.
            attempt.end(Outcome.MOOT)
            return
        self._out[key] = attempt
        task = asyncio.ensure_future(self._carry(attempt, place))
        self.tasks[attempt] = task
        task.add_done_callback(lambda _: self.tasks.pop(attempt, None))

    def give_up(self, attempt: Attempt) -> None:
        """Close the connection before the 202; after it, tell the worker."""
        self._out = {k: a for k, a in self._out.items() if a is not attempt}
        if task := self.tasks.get(attempt):
            task.cancel()
        elif place := self._places.place(attempt.worker):
            self._aside(self._delete(place, attempt.job.identity))

    # Attempts that go from one process of a scheduler to the next.

    def accepted_by_worker(self, attempt: Attempt) -> bool:
        """Say whether its 202 has come, so that all that is still to come of it are call-backs."""
        return attempt not in self.tasks and attempt.outcome is None

    def detach(self, attempt: Attempt) -> None:
        """Wait no longer for one that another process now owns."""
        if place := self._places.place(attempt.worker):
            self._out.pop((attempt.job.identity, place.uid), None)

    def adopt(self, attempt: Attempt) -> None:
        """Wait for one that another process has sent; one handed back stays so."""
        place = self._places.place(attempt.worker)
        assert place
        key = (attempt.job.identity, place.uid)
        if attempt.outcome is None:
            attempt.reported, self._out[key] = True, attempt
        elif attempt.outcome is Outcome.FULL:
            self._hand_back(key)

    def _hand_back(self, key: tuple[str, str]) -> None:
        self._returned[key] = None
        if len(self._returned) > self._limits.returned_jobs:
            self._returned.popitem(last=False)

    def probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        """Ask a worker whether it lives."""
        self._aside(self._probe(worker, done))

    def release(self, worker: int) -> None:
        """Close idle connections."""
        if place := self._places.place(worker):
            self.pool.release(place)

    def awaits(self, identity: str, sender: str) -> bool:
        """Say whether an attempt of ours is out there."""
        return (identity, sender) in self._out

    def call_back(self, identity: str, sender: str, state: str, rest: Any) -> None:
        """Take in one call-back: it may come before the 202, again, or after its attempt's end."""
        attempt = self._out.get((identity, sender))
        if attempt is None or attempt.outcome:
            return
        attempt.reported = True
        if state == "started":
            attempt.began()
        elif state == "running":
            attempt.progressed(float(rest))
        elif state == "done":
            self._end(attempt, Outcome.SERVED, rest.encode(errors="surrogatepass"))
        elif state in _STATES:
            if state == "returned":
                self._hand_back((identity, sender))
            self._end(attempt, _STATES[state])

    def _end(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        if place := self._places.place(attempt.worker):
            self._out.pop((attempt.job.identity, place.uid), None)
        attempt.end(outcome, result)

    async def _carry(self, attempt: Attempt, place: Place) -> None:
        """Take one attempt to its 202. What breaks before the last byte is written never ran."""
        written, connection = False, None
        try:
            connection = await self.pool.take(place)
            # Its server may meanwhile have been listed at another endpoint: this one is somebody else's.
            if not attempt.may_send() or self._places.place(attempt.worker) != place:
                self._end(attempt, Outcome.MOOT)
                self.pool.give(place, connection)
                return
            left = max(1, to_us(attempt.until - self._clock.now()))
            headers = {"X-Trace-Id": attempt.job.identity, "X-Expires-In": f"{left}u"}
            if attempt.job.idempotency_key:  # the same on every attempt: workers discard repeats by it
                headers["Idempotency-Key"] = attempt.job.idempotency_key
            writing = connection.stream.write(http.request(
                "POST", attempt.job.target, f"{place.host}:{place.port}", headers, attempt.job.body))
            await writing
            written = True
            attempt.written()
            message = await self._answer(connection, attempt, place)
        except asyncio.CancelledError:
            if connection:
                connection.close()
            raise
        except (StreamClosedError, TimeoutError, http.HttpError, ValueError) as error:
            if connection:
                connection.close()
            late = written and isinstance(error, TimeoutError)
            unknown = Outcome.TIMED_OUT if late else Outcome.RESET
            self._end(attempt, unknown if written else Outcome.CONNECT_FAILED)
            return
        self.pool.give_after(place, connection, message)
        if message.status == 202:
            self._rejecting.discard(place.uid)
            return
        if 400 <= message.status < 500 and place.uid not in self._rejecting:
            # Guards a sound worker's name against a client that sends what no worker can use: the job fails
            # and teaches nothing. Guards jobs against a worker that rejects all: the next one in a row does.
            self._rejecting.add(place.uid)
            log.warning("worker_rejected_job", worker=place.uid, status=message.status,
                        job=attempt.job.identity)
            self._end(attempt, Outcome.CANCELLED)
            return
        never = message.status in (503, 504) and message.headers.get("x-never-ran") == "1"
        if not never and message.status != 500:
            log.warning("worker_answer_unexpected", worker=place.uid, status=message.status)
        self._end(attempt, Outcome.FULL if never else Outcome.ERROR)

    async def _answer(self, connection: ClientConnection, attempt: Attempt, place: Place) -> http.Message:
        """Wait for the answer to an attempt, a short time only if nothing at all is heard of it.

        Guards against a connection that has fallen silent: its worker would count as busy with the job up to
        the deadline. Once a call-back has come the job runs, and to close its connection would stop it; but
        a 202 that never follows must not keep one open long after the attempt's end either.
        """
        reading = asyncio.ensure_future(connection.response(self._limits))
        try:
            await asyncio.wait([reading], timeout=self._limits.accept.total_seconds())
            if reading.done() or not attempt.reported:
                return await streams.within(timedelta(0), reading)
            return await streams.within(attempt.until - self._clock.now() + self._limits.cancel, reading)
        except asyncio.CancelledError:
            # Guards against an attempt that goes on: its 202 had come, and to close gives it up no more.
            if reading.done() and not reading.cancelled() and not reading.exception():
                self._aside(self._delete(place, attempt.job.identity))
            raise
        finally:
            reading.cancel()

    async def _delete(self, place: Place, identity: str) -> None:
        await self._ask(place, "DELETE", f"/jobs/{identity}", self._limits.cancel)

    async def _probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        place = self._places.place(worker)
        status = await self._ask(place, "GET", "/alive", self._limits.probe) if place else None
        done({200: Outcome.SERVED, 503: Outcome.FULL, None: Outcome.TIMED_OUT}.get(status, Outcome.ERROR))

    async def _ask(self, place: Place, method: str, target: str, span: Any) -> int | None:
        """Make a small request; None if no answer came in time."""
        connection = None
        try:
            async with asyncio.timeout(span.total_seconds()):
                connection = await self.pool.take(place)
                await connection.stream.write(http.request(method, target, f"{place.host}:{place.port}"))
                message = await connection.response(self._limits)
        except (StreamClosedError, TimeoutError, http.HttpError):
            if connection:
                connection.close()
            return None
        self.pool.give_after(place, connection, message)
        return message.status

    def _aside(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._others.add(task)
        task.add_done_callback(self._others.discard)
