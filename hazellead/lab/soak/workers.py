"""A simulated HTTP worker: records each attempt, runs jobs in order of arrival and fails as its mode says."""

import asyncio
import json
from collections import deque
from collections.abc import Callable
from enum import Enum

from hazellead.lab.soak.records import Attempt, Records
from hazellead.lab.soak.servers import HOST, Listener, ServerConnection
from hazellead.net import http

CALL_BACK_TRIES = 10
CALL_BACK_PAUSE_S = 0.1
SLOTS = 4
NEVER_RAN_HEADERS = {"X-Never-Ran": "1"}
MALFORMED_ANSWER = b"HTP/9 two hundred\r\nContent-Length: -1\r\n\r\n"
LATE_ANSWER_S = 0.4  # delay of a late answer
SHORT_DELAY_S = 0.005  # delay of a second answer, or of the reset that follows an answer


class Mode(Enum):
    """How a worker treats the jobs that it receives."""

    SOUND = "sound"  # accepts and runs them
    FULL = "full"  # refuses them with 503, as never run
    RETURNS = "returns"  # accepts them and reports them as returned
    ERRORS = "errors"  # answers 500
    RESETS = "resets"  # resets the connection when the request is complete
    SILENT = "silent"  # does not answer
    HANGS = "hangs"  # starts them and never finishes them
    LOSES = "loses"  # starts them and reports them as lost
    CLOSES = "closes"  # resets each connection soon after its answer
    SPOILS = "spoils"  # answers with bytes that are not HTTP
    REPEATS = "repeats"  # answers twice
    LATE = "late"  # answers after the job has started, or finished
    DEAD = "dead"  # does not listen


class Job:
    """One attempt in progress at a worker."""

    def __init__(self, record: Attempt, work_s: float, connection: ServerConnection) -> None:
        """Create it as not running yet; ``connection`` is the one that its request came on."""
        self.record, self.work_s, self.connection = record, work_s, connection
        self.timer: asyncio.TimerHandle | None = None
        self.running = False


class Worker:
    """One worker that takes jobs by HTTP and reports their events by call-backs."""

    def __init__(self, name: str, records: Records, scheduler_port: Callable[[str], int]) -> None:
        """Create it; ``scheduler_port`` returns the port for the call-backs of a request, by its identity."""
        self.name, self._records, self._scheduler_port = name, records, scheduler_port
        self.listener = Listener(self._handle)
        self.mode = Mode.SOUND
        self.boot_ms = 0
        self._jobs: dict[str, Job] = {}
        self._queue: deque[Job] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._attempts_received = 0

    async def start(self) -> None:
        """Listen and run jobs without faults."""
        self.mode = Mode.SOUND
        if self.listener.port == 0:
            await self.listener.listen()

    async def restart(self, boot_ms: int) -> None:
        """Listen again after a crash, with a new boot time."""
        self.boot_ms, self.mode = boot_ms, Mode.SOUND
        await self.listener.listen()

    def crash(self) -> None:
        """End all jobs, reset all connections and stop listening, as a killed process does."""
        self.mode = Mode.DEAD
        for job in list(self._jobs.values()):
            self._end_attempt(job)
        self.listener.abort()

    def close(self) -> None:
        """Stop the worker, including call-backs that are still to be sent."""
        self.crash()
        for task in self._tasks:
            task.cancel()

    # Requests.

    def _handle(self, connection: ServerConnection, message: http.Message) -> None:
        method, target, _ = message.start_line
        if method == "GET":
            connection.answer(200 if self.mode is not Mode.FULL else 503)
        elif method == "DELETE":
            if job := self._jobs.get(target.rpartition("/")[2]):
                self._end_attempt(job)
            connection.answer(200)
        else:
            self._handle_job(connection, message)

    def _handle_job(self, connection: ServerConnection, message: http.Message) -> None:
        now = asyncio.get_running_loop().time()
        identity = message.headers.get("x-trace-id", "")
        self._attempts_received += 1
        record = Attempt(
            identity, self.name, connection.first_byte, now,
            _parse_seconds(message.headers.get("x-expires-in", "")),
            f"{self.name} made {self._attempts_received} of {identity}")
        self._records.attempts.append(record)
        if self.mode is Mode.FULL:
            record.may_have_run, record.ended = False, now
            connection.answer(503, headers=NEVER_RAN_HEADERS)
        elif self.mode is Mode.ERRORS:
            record.ended = now
            connection.answer(500)
        elif self.mode is Mode.RESETS:
            record.ended = now
            connection.transport.abort()
        else:
            self._accept(Job(record, float(message.body.partition(b" ")[0]), connection))

    def _accept(self, job: Job) -> None:
        identity = job.record.identity
        self._jobs[identity] = job
        if self.mode is Mode.SILENT:
            job.connection.on_end = lambda: self._end_attempt(job)
            return
        self._acknowledge(job.connection)
        if self.mode is Mode.RETURNS:
            job.record.may_have_run = False
            self._end_attempt(job)
            self._report(identity, {"state": "returned"})
            return
        self._queue.append(job)
        self._start_queued()

    def _acknowledge(self, connection: ServerConnection) -> None:
        """Answer that a job has been accepted, with the fault of the worker's mode."""
        loop = asyncio.get_running_loop()
        if self.mode is Mode.SPOILS:
            connection.transport.write(MALFORMED_ANSWER)
        elif self.mode is Mode.LATE:
            loop.call_later(LATE_ANSWER_S, connection.answer, 202)
        else:
            connection.answer(202)
        if self.mode is Mode.REPEATS:
            loop.call_later(SHORT_DELAY_S, connection.answer, 202)
        if self.mode is Mode.CLOSES:
            loop.call_later(SHORT_DELAY_S, connection.transport.abort)

    def _start_queued(self) -> None:
        """Start queued jobs while there are free slots."""
        while self._queue and sum(job.running for job in self._jobs.values()) < SLOTS:
            job = self._queue.popleft()
            job.running = True
            self._report(job.record.identity, {"state": "started"})
            if self.mode is Mode.LOSES:
                self._end_attempt(job)
                self._report(job.record.identity, {"state": "lost"})
            elif self.mode is not Mode.HANGS:
                job.timer = asyncio.get_running_loop().call_later(job.work_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        self._end_attempt(job)
        self._report(job.record.identity, {"state": "done", "result": job.record.result})
        self._start_queued()

    def _end_attempt(self, job: Job) -> None:
        """Record that an attempt is over at this worker and forget its job."""
        if job.record.ended is None:
            job.record.ended = asyncio.get_running_loop().time()
        if job.timer:
            job.timer.cancel()
        if self._jobs.get(job.record.identity) is job:
            del self._jobs[job.record.identity]
        if job in self._queue:
            self._queue.remove(job)

    # Call-backs.

    def _report(self, identity: str, event: dict[str, str]) -> None:
        """Send an event of a job to its scheduler, after the job's earlier events."""
        previous = next((t for t in reversed(list(self._tasks)) if t.get_name() == identity), None)
        body = json.dumps({"id": identity, "from": self.name, **event}).encode()
        task = asyncio.get_running_loop().create_task(
            self._call_back(identity, body, previous), name=identity)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_back(
        self, identity: str, body: bytes, previous: "asyncio.Task[None] | None",
    ) -> None:
        """Wait for ``previous``, then send a call-back until it is answered or the tries are used up."""
        if previous:
            await asyncio.wait([previous])
        data = http.request("POST", "/v1/job-events", HOST, {"Connection": "close"}, body)
        for _ in range(CALL_BACK_TRIES):
            try:
                async with asyncio.timeout(2):
                    reader, writer = await asyncio.open_connection(HOST, self._scheduler_port(identity))
                    writer.write(data)
                    status = (await reader.readline()).split()[1:2]
                    writer.close()
                if status in ([b"200"], [b"204"]):
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(CALL_BACK_PAUSE_S)


def _parse_seconds(text: str) -> float:
    """Return a span of the protocol (suffix u: microseconds, m: milliseconds) in seconds, else infinity."""
    if not text[:-1].isdigit():
        return float("inf")
    return int(text[:-1]) / (1e6 if text.endswith("u") else 1e3)
