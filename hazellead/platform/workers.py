"""The HTTP/1.1 worker transport: sends attempts to workers and handles the call-backs with their results."""

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

_FINAL_STATES = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


def callback_error(state: str, payload: Any) -> str | None:
    """Return why a call-back's share or result is malformed for its state, or None if it is valid."""
    if state == "running" and (isinstance(payload, bool) or not isinstance(payload, int | float)):
        return "share is a number"
    if state == "done" and not isinstance(payload, str):
        return "result is a string"
    return None


@dataclass(slots=True, frozen=True)
class WorkerEndpoint:
    """A worker's address, and its uid, which its call-backs carry in ``from``."""

    uid: str
    host: str
    port: int


class EndpointDirectory(Protocol):
    """Looks up workers' addresses."""

    def endpoint(self, worker: int) -> WorkerEndpoint | None:
        """Return a worker's address, or None if it is unknown."""


class Pool:
    """Pool of connections to workers, one request at a time on each.

    Idle connections are closed well before the worker would close them.
    """

    def __init__(self, limits: Limits, clock: Clock) -> None:
        """Start with no connections."""
        self._limits, self._clock = limits, clock
        self._idle: dict[WorkerEndpoint, list[tuple[ClientConnection, datetime]]] = defaultdict(list)
        self._open: set[ClientConnection] = set()
        self._opening = 0
        self.connections_elsewhere = 0  # in another process of this scheduler during a hand-over

    def update_limits(self, limits: Limits) -> None:
        """Use other limits from now on."""
        self._limits = limits

    async def acquire(self, endpoint: WorkerEndpoint) -> ClientConnection:
        """Return the most recently used idle connection that is still usable, or open a new one.

        The connection has received nothing unsolicited, as checked up to the caller's next await. Raises
        StreamClosedError if the limit is reached or the connection is closed, and TimeoutError.
        """
        pooled = self._idle[endpoint]
        while pooled:
            connection, since = pooled.pop()
            if self._usable(endpoint, connection, since):
                return connection
            connection.close()
        if (self.count() + self.connections_elsewhere >= self._limits.worker_connections
                and not self._make_room()):
            raise StreamClosedError(OSError("too many connections to workers"))
        self._opening += 1
        try:
            stream = await streams.connect(endpoint.host, endpoint.port, self._limits)
        finally:
            self._opening -= 1
        connection = ClientConnection(stream, self._limits)
        self._open.add(connection)
        if not connection.quiet:
            connection.close()
            raise StreamClosedError(OSError("closed, or data received, before any request was sent"))
        return connection

    def _usable(self, endpoint: WorkerEndpoint, connection: ClientConnection, since: datetime) -> bool:
        idle_time = self._clock.now() - since
        if connection.quiet:
            return idle_time < self._limits.worker_idle
        if connection.has_unsolicited_data:
            log.warning(
                "worker_answered_again", worker=endpoint.uid, after=f"{idle_time.total_seconds():.3f}")
        return False

    def put_back(self, endpoint: WorkerEndpoint, connection: ClientConnection) -> None:
        """Keep a connection for the next request, or close it if it is unusable or enough are kept."""
        if not connection.quiet or len(self._idle[endpoint]) >= self._limits.idle_per_worker:
            connection.close()
        else:
            self._idle[endpoint].append((connection, self._clock.now()))

    def put_back_after(
        self, endpoint: WorkerEndpoint, connection: ClientConnection, message: http.Message,
    ) -> None:
        """Keep a connection after an answer, if that is a success and allows keep-alive; else close it.

        A worker may send an answer twice. A late copy of "never ran" or of an error would be taken for the
        answer to the next job, which would be sent again while it runs.
        """
        if message.keep and 200 <= message.status < 300:
            self.put_back(endpoint, connection)
        else:
            connection.close()

    def idle_count(self, endpoint: WorkerEndpoint) -> int:
        """Return the number of idle connections to a worker."""
        return len(self._idle.get(endpoint, ()))

    def close_idle(self, endpoint: WorkerEndpoint) -> None:
        """Close the idle connections to a worker."""
        for connection, _ in self._idle.pop(endpoint, []):
            connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for long enough or were closed by the other side."""
        for endpoint, pooled in list(self._idle.items()):
            remaining = []
            for connection, since in pooled:
                if self._usable(endpoint, connection, since):
                    remaining.append((connection, since))
                else:
                    connection.close()
            self._idle[endpoint] = remaining
            if not remaining:
                del self._idle[endpoint]

    def _make_room(self) -> bool:
        pooled = [(entries[0][1], endpoint) for endpoint, entries in self._idle.items() if entries]
        if not pooled:
            return False
        _, endpoint = min(pooled, key=lambda k: k[0])
        self._idle[endpoint].pop(0)[0].close()
        return True

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        for endpoint in list(self._idle):
            self.close_idle(endpoint)

    def count(self) -> int:
        """Return the number of connections that are open or being opened."""
        self._open = {connection for connection in self._open if not connection.stream.closed()}
        return len(self._open) + self._opening


class HttpWorkers:
    """The worker transport for the platform's HTTP protocol."""

    def __init__(self, directory: EndpointDirectory, limits: Limits, clock: Clock) -> None:
        """Reach workers at the addresses that the directory returns."""
        self._directory, self._limits, self._clock = directory, limits, clock
        self.pool = Pool(limits, clock)
        self._attempts: dict[tuple[str, str], Attempt] = {}  # by job's id and worker's uid
        self.tasks: dict[Attempt, asyncio.Task[None]] = {}  # attempts whose 202 is still awaited
        self._background: set[asyncio.Task[None]] = set()
        self._rejecting: set[str] = set()  # uids of workers that answered 4xx and no 202 since
        self._returned: OrderedDict[tuple[str, str], None] = OrderedDict()  # handed back; as in _attempts

    def update_limits(self, limits: Limits) -> None:
        """Use other limits from now on, also for the connections in the pool."""
        self._limits = limits
        self.pool.update_limits(limits)

    def send(self, attempt: Attempt) -> None:
        """Start sending an attempt."""
        endpoint = self._directory.endpoint(attempt.worker)
        if endpoint is None:
            attempt.end(Outcome.CONNECT_FAILED)
            return
        key = (attempt.job.identity, endpoint.uid)
        if key in self._returned:
            # A repeated call-back 'returned' for the earlier attempt would be taken for the end of this one,
            # which may be running.
            attempt.end(Outcome.MOOT)
            return
        self._attempts[key] = attempt
        task = asyncio.ensure_future(self._deliver(attempt, endpoint))
        self.tasks[attempt] = task
        task.add_done_callback(lambda _: self.tasks.pop(attempt, None))

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt: closes its connection before the 202; after it, sends a DELETE to the worker."""
        self._attempts = {k: a for k, a in self._attempts.items() if a is not attempt}
        if task := self.tasks.get(attempt):
            task.cancel()
        elif endpoint := self._directory.endpoint(attempt.worker):
            self._run_in_background(self._delete(endpoint, attempt.job.identity))

    # Hand-over of attempts from one process of a scheduler to the next.

    def accepted_by_worker(self, attempt: Attempt) -> bool:
        """Return whether its 202 has been received and it has not ended, so that only call-backs follow."""
        return attempt not in self.tasks and attempt.outcome is None

    def detach(self, attempt: Attempt) -> None:
        """Forget an attempt that another process has taken over."""
        if endpoint := self._directory.endpoint(attempt.worker):
            self._attempts.pop((attempt.job.identity, endpoint.uid), None)

    def adopt(self, attempt: Attempt) -> None:
        """Take over an attempt sent by another process; one that was handed back is remembered as such."""
        endpoint = self._directory.endpoint(attempt.worker)
        assert endpoint
        key = (attempt.job.identity, endpoint.uid)
        if attempt.outcome is None:
            attempt.reported, self._attempts[key] = True, attempt
        elif attempt.outcome is Outcome.FULL:
            self._remember_returned(key)

    def _remember_returned(self, key: tuple[str, str]) -> None:
        self._returned[key] = None
        if len(self._returned) > self._limits.returned_jobs:
            self._returned.popitem(last=False)

    def probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        """Ask a worker whether it is alive and call ``done`` with the outcome."""
        self._run_in_background(self._probe(worker, done))

    def release(self, worker: int) -> None:
        """Close the idle connections to a worker."""
        if endpoint := self._directory.endpoint(worker):
            self.pool.close_idle(endpoint)

    def awaits(self, identity: str, sender: str) -> bool:
        """Return whether an attempt for this job on this worker has been sent and has not ended."""
        return (identity, sender) in self._attempts

    def call_back(self, identity: str, sender: str, state: str, payload: Any) -> None:
        """Handle a call-back; it may arrive before the 202, repeatedly, or after the attempt's end.

        ``payload`` is the share for "running" and the result for "done".
        """
        attempt = self._attempts.get((identity, sender))
        if attempt is None or attempt.outcome:
            return
        attempt.reported = True
        if state == "started":
            attempt.began()
        elif state == "running":
            attempt.progressed(float(payload))
        elif state == "done":
            self._end(attempt, Outcome.SERVED, payload.encode(errors="surrogatepass"))
        elif state in _FINAL_STATES:
            if state == "returned":
                self._remember_returned((identity, sender))
            self._end(attempt, _FINAL_STATES[state])

    def _end(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        if endpoint := self._directory.endpoint(attempt.worker):
            self._attempts.pop((attempt.job.identity, endpoint.uid), None)
        attempt.end(outcome, result)

    async def _deliver(self, attempt: Attempt, endpoint: WorkerEndpoint) -> None:
        """Send one attempt and wait for its 202. One that fails before its last byte is written never ran."""
        written, connection = False, None
        try:
            connection = await self.pool.acquire(endpoint)
            # The worker may have moved to another endpoint meanwhile; this one may belong to another worker.
            if not attempt.may_send() or self._directory.endpoint(attempt.worker) != endpoint:
                self._end(attempt, Outcome.MOOT)
                self.pool.put_back(endpoint, connection)
                return
            remaining_us = max(1, to_us(attempt.until - self._clock.now()))
            headers = {"X-Trace-Id": attempt.job.identity, "X-Expires-In": f"{remaining_us}u"}
            if attempt.job.idempotency_key:  # the same on every attempt: workers discard repeats by it
                headers["Idempotency-Key"] = attempt.job.idempotency_key
            await connection.stream.write(http.request(
                "POST", attempt.job.target, f"{endpoint.host}:{endpoint.port}", headers, attempt.job.body))
            written = True
            attempt.written()
            message = await self._await_answer(connection, attempt, endpoint)
        except asyncio.CancelledError:
            if connection:
                connection.close()
            raise
        except (StreamClosedError, TimeoutError, http.HttpError, ValueError) as error:
            if connection:
                connection.close()
            timed_out = written and isinstance(error, TimeoutError)
            outcome_if_written = Outcome.TIMED_OUT if timed_out else Outcome.RESET
            self._end(attempt, outcome_if_written if written else Outcome.CONNECT_FAILED)
            return
        self.pool.put_back_after(endpoint, connection, message)
        if message.status == 202:
            self._rejecting.discard(endpoint.uid)
            return
        if 400 <= message.status < 500 and endpoint.uid not in self._rejecting:
            # A single rejection fails the job without counting against the worker, since the request itself
            # may be unusable. A worker that rejects everything is blamed from the second rejection
            # without a 202 in between.
            self._rejecting.add(endpoint.uid)
            log.warning("worker_rejected_job", worker=endpoint.uid, status=message.status,
                        job=attempt.job.identity)
            self._end(attempt, Outcome.CANCELLED)
            return
        never_ran = message.status in (503, 504) and message.headers.get("x-never-ran") == "1"
        if not never_ran and message.status != 500:
            log.warning("worker_answer_unexpected", worker=endpoint.uid, status=message.status)
        self._end(attempt, Outcome.FULL if never_ran else Outcome.ERROR)

    async def _await_answer(
        self, connection: ClientConnection, attempt: Attempt, endpoint: WorkerEndpoint,
    ) -> http.Message:
        """Wait for the answer to an attempt, only for ``limits.accept`` if no call-back has arrived either.

        On a connection that has failed silently, the worker would otherwise count as busy until the job's
        deadline. Once a call-back has arrived the job is running, and closing its connection would stop it;
        the wait for its 202 is still bounded, so that the connection does not outlast the attempt for long.
        """
        reading = asyncio.ensure_future(connection.response(self._limits))
        try:
            await asyncio.wait([reading], timeout=self._limits.accept.total_seconds())
            if reading.done() or not attempt.reported:
                return await streams.within(timedelta(0), reading)
            return await streams.within(attempt.until - self._clock.now() + self._limits.cancel, reading)
        except asyncio.CancelledError:
            # If the 202 has been received, closing the connection no longer stops the job.
            if reading.done() and not reading.cancelled() and not reading.exception():
                self._run_in_background(self._delete(endpoint, attempt.job.identity))
            raise
        finally:
            reading.cancel()
            del reading  # a failed read refers to its traceback, and this frame is part of it

    async def _delete(self, endpoint: WorkerEndpoint, identity: str) -> None:
        await self._request(endpoint, "DELETE", f"/jobs/{identity}", self._limits.cancel)

    async def _probe(self, worker: int, done: Callable[[Outcome], None]) -> None:
        endpoint = self._directory.endpoint(worker)
        status = await self._request(endpoint, "GET", "/alive", self._limits.probe) if endpoint else None
        done({200: Outcome.SERVED, 503: Outcome.FULL, None: Outcome.TIMED_OUT}.get(status, Outcome.ERROR))

    async def _request(self, endpoint: WorkerEndpoint, method: str, target: str, span: Any) -> int | None:
        """Make a request without a body and return the status; None if there is no valid answer in time."""
        connection = None
        try:
            async with asyncio.timeout(span.total_seconds()):
                connection = await self.pool.acquire(endpoint)
                await connection.stream.write(
                    http.request(method, target, f"{endpoint.host}:{endpoint.port}"))
                message = await connection.response(self._limits)
        except (StreamClosedError, TimeoutError, http.HttpError):
            if connection:
                connection.close()
            return None
        self.pool.put_back_after(endpoint, connection, message)
        return message.status

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
