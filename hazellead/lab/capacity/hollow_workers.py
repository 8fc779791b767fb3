"""Hollow workers: some hundred in one process, in the platform's protocol, whose work is a timer.

Each has an address of its own on loopback, listens there on a port for each scheduler, and calls back from
it. What it does with a job is ``lab.worker.WorkerModel``'s.
"""

import asyncio
import json
import time
from random import Random
from typing import Any

from hazellead.lab.capacity.hollow_counts import Asker, Counts, Door, Speaker, obey, open_to
from hazellead.lab.fleet import WorkerSpec
from hazellead.lab.sockets import CALLBACK_ATTEMPTS, HttpTicket, LoopTime
from hazellead.lab.worker import WorkerModel
from hazellead.net import http

ANSWER_S = 2.0  # for a call-back to be answered
KEPT_S = 15.0  # that a connection for call-backs may rest, as the settings have it for the other way
NEVER_US = 1 << 60
SLICES = 10  # of the running jobs, one after another within a second, where progress is told


class _Taking(Speaker):
    """A scheduler's connection to a worker."""

    def __init__(self, at: "Entrance") -> None:
        super().__init__(responses=False)
        self._at = at

    def took(self, message: http.Message, size: int) -> None:
        """Answer one request."""
        at, (method, target, _) = self._at, message.start_line
        kind = {"POST": "push", "DELETE": "delete"}.get(method, "probe")
        at.counts.note(at.scheduler, kind, inward=False, size=size, body=len(message.body))
        status, headers = at.handle(method, target, message)
        data = http.response(status, b"", headers=headers)
        at.counts.note(at.scheduler, kind, inward=True, size=len(data))
        self.transport.write(data)

    def connection_lost(self, reason: Exception | None) -> None:
        """Leave."""
        self._at.door.forget(self.transport)


class Entrance:
    """Where one scheduler reaches a worker, and the call-backs to it."""

    def __init__(
        self, worker: WorkerModel, address: str, scheduler: str, back: tuple[str, int], counts: Counts,
    ) -> None:
        """Listen on a free port of the worker's address."""
        self.worker, self.scheduler, self.counts = worker, scheduler, counts
        self._address, self._back = address, back
        self.door = Door(address, lambda: _Taking(self))
        self.idle: list[Asker] = []
        self._tasks: set[asyncio.Future[None]] = set()

    def handle(self, method: str, target: str, message: http.Message) -> tuple[int, dict[str, str]]:
        """Return the status and the headers that answer a request."""
        if method == "GET":
            return (200 if target == "/alive" else 404), {}
        if method == "DELETE":
            self.worker.cancel(target.rpartition("/")[2])
            return 200, {}
        identity = message.headers.get("x-trace-id", "")
        work = float(message.body.split(b" ", 1)[0])
        if self.worker.offer(HttpTicket(self, identity, work)):
            return 202, {}
        return 503, {"X-Never-Ran": "1"}

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Hold a call-back until it is through."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call_back(self, event: dict[str, Any]) -> None:
        """Make one call, again until it is answered, ten times at most."""
        state = event["state"]
        body = json.dumps(event, separators=(",", ":")).encode()
        result = len(event.get("result", ""))
        data = http.request("POST", "/v1/job-events", f"{self._back[0]}:{self._back[1]}", {}, body)
        for attempt in range(CALLBACK_ATTEMPTS):
            line: Asker | None = None
            if self.door.cut:
                await asyncio.sleep(ANSWER_S)
                continue
            try:
                async with asyncio.timeout(ANSWER_S):
                    line = self._rested() or await open_to(self._back, self._address)
                    self.counts.note(self.scheduler, state, inward=True, size=len(data), body=result)
                    message, size = await line.ask(data)
            except (OSError, TimeoutError):
                if line:
                    line.transport.abort()
                await asyncio.sleep(0.02 * (attempt + 1))
                continue
            self.counts.note(self.scheduler, state, inward=False, size=size)
            if message.keep:
                line.since = asyncio.get_running_loop().time()
                self.idle.append(line)
            else:
                line.transport.close()
            if message.status in (200, 204):
                return

    def _rested(self) -> Asker | None:
        while self.idle:
            line = self.idle.pop()
            if not line.lost and not line.transport.is_closing():
                return line
        return None

    def sweep(self, now: float) -> None:
        """Close what has rested long."""
        for line in [x for x in self.idle if x.since < now - KEPT_S or x.lost]:
            self.idle.remove(line)
            line.transport.close()


class Fleet:
    """The workers of this process."""

    def __init__(self) -> None:
        """Start with none."""
        self.counts, self._time = Counts(), LoopTime()
        self.models: dict[str, WorkerModel] = {}
        self.entrances: list[Entrance] = []
        self.started: list[tuple[str, str, int]] = []
        self._progress: asyncio.Task[None] | None = None
        self._sweeper = asyncio.ensure_future(self._sweep())

    async def obey(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command."""
        do = command.pop("do")
        answer: dict[str, Any] = getattr(self, f"do_{do}")(**command)
        return answer

    def do_open(
        self, workers: list[dict[str, Any]], backs: dict[str, list[Any]], seed: int,
    ) -> dict[str, Any]:
        """Start workers; return where each scheduler reaches each of them."""
        endpoints: dict[str, dict[str, str]] = {name: {} for name in backs}
        for row in workers:
            spec = WorkerSpec(row["number"], row["name"], row["zone"], 0, row["slots"], 1.0, row["queue"])
            model = WorkerModel(
                spec, self._time, Random(f"worker {seed} {spec.number}"), noise=0.0, progress_us=NEVER_US,
                on_job_start=self._ran)
            self.models[spec.name] = model
            for name, (host, port) in backs.items():
                entrance = Entrance(model, row["address"], name, (host, port), self.counts)
                self.entrances.append(entrance)
                endpoints[name][spec.name] = f"{row['address']}:{entrance.door.port}"
        return endpoints

    def _ran(self, worker: WorkerModel, identity: str) -> None:
        self.started.append((identity, worker.spec.name, time.monotonic_ns()))

    def do_progress(self, on: bool) -> dict[str, Any]:
        """Tell the progress of each running job once a second, or no more."""
        if self._progress:
            self._progress.cancel()
        self._progress = asyncio.ensure_future(self._tell()) if on else None
        return {}

    async def _tell(self) -> None:
        loop = asyncio.get_running_loop()
        due, turn = loop.time(), 0
        while True:
            tickets = [ticket for model in self.models.values() for ticket in model.running]
            for ticket in tickets[turn % SLICES::SLICES]:
                ticket.progressed(0.5)
            due, turn = due + 1 / SLICES, turn + 1
            await asyncio.sleep(max(0.0, due - loop.time()))

    def do_cut(self, workers: list[str], schedulers: list[str]) -> dict[str, Any]:
        """Cut these workers off from these schedulers."""
        for entrance in self.entrances:
            if entrance.worker.spec.name in workers and entrance.scheduler in schedulers:
                entrance.door.cut_off()
        return {}

    def do_heal(self) -> dict[str, Any]:
        """End all cuts."""
        for entrance in self.entrances:
            entrance.door.come_back()
        return {}

    def do_counts(self) -> dict[str, Any]:
        """Return what was counted."""
        return {"table": self.counts.table}

    def do_records(self) -> dict[str, Any]:
        """Return the starts since the last call."""
        started, self.started = self.started, []
        return {"started": started}

    def do_state(self) -> dict[str, Any]:
        """Return how much is held at this moment."""
        return {"running": sum(len(m.running) for m in self.models.values()),
                "waiting": sum(m.waiting for m in self.models.values()),
                "kept": sum(len(e.idle) for e in self.entrances)}

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(1.0)
            for entrance in self.entrances:
                if entrance.idle:
                    entrance.sweep(loop.time())


async def main() -> None:
    """Serve until the input ends."""
    await obey(Fleet().obey)


if __name__ == "__main__":
    asyncio.run(main())
