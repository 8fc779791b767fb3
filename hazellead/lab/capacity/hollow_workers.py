"""Hollow workers: hundreds in one process that speak the platform's protocol and simulate work with a timer.

Each worker has its own loopback address, listens there on one port per scheduler, and sends its call-backs
from that address. ``lab.worker.WorkerModel`` decides what a worker does with a job.
"""

import asyncio
import json
import time
from random import Random
from typing import Any

from hazellead.lab.capacity.hollow_counts import (
    ClientConnection,
    Counts,
    HttpConnection,
    Listener,
    open_connection,
    serve_commands,
)
from hazellead.lab.fleet import WorkerSpec
from hazellead.lab.sockets import CALLBACK_ATTEMPTS, HttpTicket, LoopTime
from hazellead.lab.worker import WorkerModel
from hazellead.net import http

CALL_BACK_TIMEOUT_S = 2.0
MAX_IDLE_S = 15.0  # of a call-back connection; equal to connIdleUs, the schedulers' limit for theirs
NEVER_US = 1 << 60
PROGRESS_SLICES = 10  # each second of progress reports is spread over this many groups of running jobs


class _SchedulerConnection(HttpConnection):
    """A scheduler's connection to a worker."""

    def __init__(self, endpoint: "WorkerEndpoint") -> None:
        super().__init__(responses=False)
        self._endpoint = endpoint

    def message_received(self, message: http.Message, size: int) -> None:
        """Respond to one request."""
        endpoint, (method, target, _) = self._endpoint, message.start_line
        kind = {"POST": "push", "DELETE": "delete"}.get(method, "probe")
        endpoint.counts.note(endpoint.scheduler, kind, inward=False, size=size, body=len(message.body))
        status, headers = endpoint.handle(method, target, message)
        data = http.response(status, b"", headers=headers)
        endpoint.counts.note(endpoint.scheduler, kind, inward=True, size=len(data))
        self.transport.write(data)

    def connection_lost(self, reason: Exception | None) -> None:
        """Remove the connection from the listener."""
        self._endpoint.listener.forget(self.transport)


class WorkerEndpoint:
    """The port on which a worker accepts one scheduler's requests, and the call-backs to that scheduler."""

    def __init__(
        self, worker: WorkerModel, address: str, scheduler: str, call_back_address: tuple[str, int],
        counts: Counts,
    ) -> None:
        """Listen on a free port of the worker's address."""
        self.worker, self.scheduler, self.counts = worker, scheduler, counts
        self._address, self._call_back_address = address, call_back_address
        self.listener = Listener(address, lambda: _SchedulerConnection(self))
        self.idle_connections: list[ClientConnection] = []
        self._tasks: set[asyncio.Future[None]] = set()

    def handle(self, method: str, target: str, message: http.Message) -> tuple[int, dict[str, str]]:
        """Handle a request and return the response's status and headers."""
        if method == "GET":
            return (200 if target == "/alive" else 404), {}
        if method == "DELETE":
            self.worker.cancel(target.rpartition("/")[2])
            return 200, {}
        identity = message.headers.get("x-trace-id", "")
        work_s = float(message.body.split(b" ", 1)[0])
        if self.worker.offer(HttpTicket(self, identity, work_s)):
            return 202, {}
        return 503, {"X-Never-Ran": "1"}

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Keep a reference to a call-back's task until it is done, so that it is not garbage-collected."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call_back(self, event: dict[str, Any]) -> None:
        """Send one call-back; repeat it until the scheduler answers 200 or 204, at most ten times."""
        state = event["state"]
        body = json.dumps(event, separators=(",", ":")).encode()
        result = len(event.get("result", ""))
        data = http.request(
            "POST", "/v1/job-events", f"{self._call_back_address[0]}:{self._call_back_address[1]}", {}, body)
        for attempt in range(CALLBACK_ATTEMPTS):
            connection: ClientConnection | None = None
            if self.listener.cut:
                await asyncio.sleep(CALL_BACK_TIMEOUT_S)
                continue
            try:
                async with asyncio.timeout(CALL_BACK_TIMEOUT_S):
                    connection = self._pop_idle_connection() or await open_connection(
                        self._call_back_address, self._address)
                    self.counts.note(self.scheduler, state, inward=True, size=len(data), body=result)
                    message, size = await connection.send_request(data)
            except (OSError, TimeoutError):
                if connection:
                    connection.transport.abort()
                await asyncio.sleep(0.02 * (attempt + 1))
                continue
            self.counts.note(self.scheduler, state, inward=False, size=size)
            if message.keep:
                connection.idle_since = asyncio.get_running_loop().time()
                self.idle_connections.append(connection)
            else:
                connection.transport.close()
            if message.status in (200, 204):
                return

    def _pop_idle_connection(self) -> ClientConnection | None:
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if not connection.lost and not connection.transport.is_closing():
                return connection
        return None

    def close_idle_connections(self, now: float) -> None:
        """Close connections that are lost or idle for over ``MAX_IDLE_S``; ``now`` is the loop's time."""
        for connection in [x for x in self.idle_connections if x.idle_since < now - MAX_IDLE_S or x.lost]:
            self.idle_connections.remove(connection)
            connection.transport.close()


class Fleet:
    """All workers of this process; its ``do_`` methods carry out the commands of the parent process."""

    def __init__(self) -> None:
        """Start without workers."""
        self.counts, self._time = Counts(), LoopTime()
        self.models: dict[str, WorkerModel] = {}
        self.worker_endpoints: list[WorkerEndpoint] = []
        self.job_starts: list[tuple[str, str, int]] = []
        self._progress: asyncio.Task[None] | None = None
        self._idle_closer = asyncio.ensure_future(self._close_idle_periodically())

    async def handle_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute one command, named by its ``command`` key, and return the answer."""
        name = command.pop("command")
        answer: dict[str, Any] = getattr(self, f"do_{name}")(**command)
        return answer

    def do_open(
        self, workers: list[dict[str, Any]], backs: dict[str, list[Any]], seed: int,
    ) -> dict[str, Any]:
        """Start workers; return each worker's "address:port", by scheduler and worker name.

        ``backs`` gives the host and port of each scheduler, to which call-backs are sent.
        """
        endpoints: dict[str, dict[str, str]] = {name: {} for name in backs}
        for row in workers:
            spec = WorkerSpec(row["number"], row["name"], row["zone"], 0, row["slots"], 1.0, row["queue"])
            model = WorkerModel(
                spec, self._time, Random(f"worker {seed} {spec.number}"), noise=0.0, progress_us=NEVER_US,
                on_job_start=self._record_start)
            self.models[spec.name] = model
            for name, (host, port) in backs.items():
                endpoint = WorkerEndpoint(model, row["address"], name, (host, port), self.counts)
                self.worker_endpoints.append(endpoint)
                endpoints[name][spec.name] = f"{row['address']}:{endpoint.listener.port}"
        return endpoints

    def _record_start(self, worker: WorkerModel, identity: str) -> None:
        self.job_starts.append((identity, worker.spec.name, time.monotonic_ns()))

    def do_progress(self, on: bool) -> dict[str, Any]:
        """Switch on or off a progress report for each running job once a second."""
        if self._progress:
            self._progress.cancel()
        self._progress = asyncio.ensure_future(self._report_progress()) if on else None
        return {}

    async def _report_progress(self) -> None:
        loop = asyncio.get_running_loop()
        due, slice_number = loop.time(), 0
        while True:
            tickets = [ticket for model in self.models.values() for ticket in model.running]
            for ticket in tickets[slice_number % PROGRESS_SLICES::PROGRESS_SLICES]:
                ticket.progressed(0.5)
            due, slice_number = due + 1 / PROGRESS_SLICES, slice_number + 1
            await asyncio.sleep(max(0.0, due - loop.time()))

    def do_cut(self, workers: list[str], schedulers: list[str]) -> dict[str, Any]:
        """Make these workers unreachable for these schedulers, and stop the call-backs between them."""
        for endpoint in self.worker_endpoints:
            if endpoint.worker.spec.name in workers and endpoint.scheduler in schedulers:
                endpoint.listener.cut_off()
        return {}

    def do_heal(self) -> dict[str, Any]:
        """Make every worker reachable for every scheduler again."""
        for endpoint in self.worker_endpoints:
            endpoint.listener.restore()
        return {}

    def do_counts(self) -> dict[str, Any]:
        """Return the counts of messages and bytes since the start."""
        return {"table": self.counts.table}

    def do_records(self) -> dict[str, Any]:
        """Return the job starts since the last call: job id, worker's name and monotonic time in ns."""
        job_starts, self.job_starts = self.job_starts, []
        return {"started": job_starts}

    def do_state(self) -> dict[str, Any]:
        """Return the numbers of running jobs, waiting jobs and idle call-back connections."""
        return {"running": sum(len(m.running) for m in self.models.values()),
                "waiting": sum(m.waiting for m in self.models.values()),
                "kept": sum(len(e.idle_connections) for e in self.worker_endpoints)}

    async def _close_idle_periodically(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(1.0)
            for endpoint in self.worker_endpoints:
                if endpoint.idle_connections:
                    endpoint.close_idle_connections(loop.time())


async def main() -> None:
    """Serve commands until standard input is closed."""
    await serve_commands(Fleet().handle_command)


if __name__ == "__main__":
    asyncio.run(main())
