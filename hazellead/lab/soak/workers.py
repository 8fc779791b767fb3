"""A stand-in posting worker: records each attempt, runs jobs in order, fails in the ways that it is told."""

import asyncio
import json
from collections import deque
from collections.abc import Callable
from enum import Enum

from hazellead.lab.soak.records import Attempt, Records
from hazellead.lab.soak.servers import HOST, Place, ServerConnection
from hazellead.net import http

CALL_BACK_TRIES = 10
CALL_BACK_PAUSE_S = 0.1
SLOTS = 4
NEVER_RAN = {"X-Never-Ran": "1"}
SPOILT = b"HTP/9 two hundred\r\nContent-Length: -1\r\n\r\n"
LATE_S = 0.4  # after which a late answer comes
REPEAT_S = 0.005  # after which a second answer comes, or a connection is reset


class Mode(Enum):
    """How a worker treats the jobs that it is sent."""

    SOUND = "sound"
    FULL = "full"  # turns them away
    RETURNS = "returns"  # takes them and hands them back
    ERRORS = "errors"  # answers 500
    RESETS = "resets"  # ends the connection once the request has come
    SILENT = "silent"  # answers nothing
    HANGS = "hangs"  # begins them and never ends them
    LOSES = "loses"  # begins them and reports them as lost
    CLOSES = "closes"  # resets each connection soon after its answer
    SPOILS = "spoils"  # answers what is no HTTP
    REPEATS = "repeats"  # answers twice
    LATE = "late"  # answers after it has begun, or ended
    DEAD = "dead"  # nobody listens


class Job:
    """One attempt under way at a worker."""

    def __init__(self, record: Attempt, work_s: float, line: ServerConnection) -> None:
        """Wait for a slot."""
        self.record, self.work_s, self.line = record, work_s, line
        self.timer: asyncio.TimerHandle | None = None
        self.running = False


class Worker:
    """One posting worker."""

    def __init__(self, name: str, records: Records, back: Callable[[str], int]) -> None:
        """``back`` gives the port of the scheduler that a request belongs to."""
        self.name, self._records, self._back = name, records, back
        self.place = Place(self._take)
        self.mode = Mode.SOUND
        self.boot_ms = 0
        self._jobs: dict[str, Job] = {}
        self._queue: deque[Job] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def begin(self) -> None:
        """Listen and treat jobs well."""
        self.mode = Mode.SOUND
        if self.place.port == 0:
            await self.place.listen()

    async def come_back(self, boot_ms: int) -> None:
        """Start again after a death."""
        self.boot_ms, self.mode = boot_ms, Mode.SOUND
        await self.place.listen()

    def die(self) -> None:
        """End as a process that is killed does."""
        self.mode = Mode.DEAD
        for job in list(self._jobs.values()):
            self._end(job)
        self.place.vanish()

    def close(self) -> None:
        """End it with all that it still reports."""
        self.die()
        for task in self._tasks:
            task.cancel()

    # Requests.

    def _take(self, line: ServerConnection, message: http.Message) -> None:
        method, target, _ = message.start_line
        if method == "GET":
            line.answer(200 if self.mode is not Mode.FULL else 503)
        elif method == "DELETE":
            if job := self._jobs.get(target.rpartition("/")[2]):
                self._end(job)
            line.answer(200)
        else:
            self._post(line, message)

    def _post(self, line: ServerConnection, message: http.Message) -> None:
        now = asyncio.get_running_loop().time()
        identity = message.headers.get("x-trace-id", "")
        self._count += 1
        record = Attempt(
            identity, self.name, line.first_byte, now, _seconds(message.headers.get("x-expires-in", "")),
            f"{self.name} made {self._count} of {identity}")
        self._records.attempts.append(record)
        if self.mode is Mode.FULL:
            record.may_have_run, record.ended = False, now
            line.answer(503, headers=NEVER_RAN)
        elif self.mode is Mode.ERRORS:
            record.ended = now
            line.answer(500)
        elif self.mode is Mode.RESETS:
            record.ended = now
            line.transport.abort()
        else:
            self._accept(Job(record, float(message.body.partition(b" ")[0]), line))

    def _accept(self, job: Job) -> None:
        identity = job.record.identity
        self._jobs[identity] = job
        if self.mode is Mode.SILENT:
            job.line.on_end = lambda: self._end(job)
            return
        self._answer(job.line)
        if self.mode is Mode.RETURNS:
            job.record.may_have_run = False
            self._end(job)
            self._report(identity, {"state": "returned"})
            return
        self._queue.append(job)
        self._start()

    def _answer(self, line: ServerConnection) -> None:
        """Say that a job has been taken, in the way of the mode."""
        loop = asyncio.get_running_loop()
        if self.mode is Mode.SPOILS:
            line.transport.write(SPOILT)
        elif self.mode is Mode.LATE:
            loop.call_later(LATE_S, line.answer, 202)
        else:
            line.answer(202)
        if self.mode is Mode.REPEATS:
            loop.call_later(REPEAT_S, line.answer, 202)
        if self.mode is Mode.CLOSES:
            loop.call_later(REPEAT_S, line.transport.abort)

    def _start(self) -> None:
        """Begin what there are slots for."""
        while self._queue and sum(job.running for job in self._jobs.values()) < SLOTS:
            job = self._queue.popleft()
            job.running = True
            self._report(job.record.identity, {"state": "started"})
            if self.mode is Mode.LOSES:
                self._end(job)
                self._report(job.record.identity, {"state": "lost"})
            elif self.mode is not Mode.HANGS:
                job.timer = asyncio.get_running_loop().call_later(job.work_s, self._done, job)

    def _done(self, job: Job) -> None:
        self._end(job)
        self._report(job.record.identity, {"state": "done", "result": job.record.result})
        self._start()

    def _end(self, job: Job) -> None:
        """Note that an attempt is over here."""
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
        before = next((t for t in reversed(list(self._tasks)) if t.get_name() == identity), None)
        body = json.dumps({"id": identity, "from": self.name, **event}).encode()
        task = asyncio.get_running_loop().create_task(self._call_back(identity, body, before), name=identity)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_back(self, identity: str, body: bytes, before: "asyncio.Task[None] | None") -> None:
        """Report until it is answered; a job's reports go one after another."""
        if before:
            await asyncio.wait([before])
        data = http.request("POST", "/v1/job-events", HOST, {"Connection": "close"}, body)
        for _ in range(CALL_BACK_TRIES):
            try:
                async with asyncio.timeout(2):
                    reader, writer = await asyncio.open_connection(HOST, self._back(identity))
                    writer.write(data)
                    status = (await reader.readline()).split()[1:2]
                    writer.close()
                if status in ([b"200"], [b"204"]):
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(CALL_BACK_PAUSE_S)


def _seconds(text: str) -> float:
    """Read a span as the protocol writes it; infinity if there is none."""
    if not text[:-1].isdigit():
        return float("inf")
    return int(text[:-1]) / (1e6 if text.endswith("u") else 1e3)
