"""Hollow clients: one process that keeps thousands of tasks of many tenants open, with random arrival times.

Each connection carries one task at a time and is reused after its answer. A refused task is submitted again
under a new id, as the protocol allows; every refusal is recorded.
"""

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import Any

from hazellead.lab.capacity.hollow_counts import ClientConnection, Counts, open_connection, serve_commands
from hazellead.net import http

CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.5  # after a failed connection attempt, or a refusal without Retry-After
CLOSE_RACE_NS = 100_000_000  # a connection lost this soon after a request may have closed before it arrived
DESCRIPTION_PADDING = b"." * 200  # follows the task's length in its description
LENGTH_SPREAD = (0.8, 1.2)  # range of a task's length, relative to the mean


@dataclass(slots=True)
class Task:
    """One submission of a task, under one id."""

    identity: str
    scheduler: str
    job_class: str
    tenant: str
    work_s: float
    phase: str
    sent_ns: int = 0  # when it was submitted, possibly before a connection was up
    asked_ns: int = 0  # when it was written to a connection; the scheduler's deadline counts from then
    ended_ns: int = 0
    end: str = ""  # served, refused, failed, not let in, lost, forged; "" while it is open

    def row(self) -> list[Any]:
        """Return the fields as a list, in the order of ``real_stand.TaskRecord``."""
        return [self.identity, self.scheduler, self.job_class, self.tenant, self.work_s, self.phase,
                self.sent_ns, self.asked_ns, self.ended_ns, self.end]


@dataclass(slots=True)
class Workload:
    """The schedulers and tenants of the clients, and what tasks they submit."""

    schedulers: dict[str, tuple[str, int]]
    tenants: list[str]
    urgent: float  # fraction of the tasks
    deadline_s: float
    prefix: str
    seed: int


class ClientPool:
    """All clients of this process; its ``do_`` methods carry out the commands of the parent process."""

    def __init__(self) -> None:
        """Start without clients."""
        self.counts = Counts()
        self.workload: Workload
        self._rng = Random(0)
        self._last_number = 0
        self._open_tasks: dict[str, Task] = {}
        self._ended_tasks: list[Task] = []
        self._idle_connections: dict[str, list[ClientConnection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._arrivals_task: asyncio.Task[None] | None = None
        self._not_admitted: set[str] = set()

    async def handle_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute one command, named by its ``command`` key, and return the answer."""
        name = command.pop("command")
        answer: dict[str, Any] = getattr(self, f"do_{name}")(**command)
        return answer

    def do_plan(self, schedulers: dict[str, list[Any]], **fields: Any) -> dict[str, Any]:
        """Set the workload; ``schedulers`` gives each one's host and port, ``fields`` the other fields."""
        self.workload = Workload({name: (host, port) for name, (host, port) in schedulers.items()}, **fields)
        self._rng = Random(f"clients {self.workload.seed} {self.workload.prefix}")
        return {}

    def do_ramp(self, count: int, seconds: float, task_s: float) -> dict[str, Any]:
        """Submit ``count`` tasks spread over ``seconds``, with remaining lengths as in a steady state."""
        self._spawn(self._ramp(count, seconds, task_s))
        return {}

    def do_once(self, count: int, task_s: float, phase: str) -> dict[str, Any]:
        """Submit ``count`` tasks at once."""
        for _ in range(count):
            self._start_client(self._rng.uniform(*LENGTH_SPREAD) * task_s, phase)
        return {}

    def do_load(self, rate: float, task_s: float, phase: str) -> dict[str, Any]:
        """Submit tasks at a mean rate per second with random gaps, until the next call; rate 0 stops it."""
        if self._arrivals_task:
            self._arrivals_task.cancel()
        self._arrivals_task = self._spawn(self._arrivals(rate, task_s, phase)) if rate else None
        return {}

    def do_front(self, scheduler: str, admitted: bool) -> dict[str, Any]:
        """Allow new connections to a scheduler, or send new clients to others; idle ones are still reused."""
        (self._not_admitted.discard if admitted else self._not_admitted.add)(scheduler)
        return {}

    def do_counts(self) -> dict[str, Any]:
        """Return the counts of messages and bytes since the start."""
        return {"table": self.counts.table}

    def do_state(self) -> dict[str, Any]:
        """Return the number of open tasks by scheduler, and of ended tasks not yet fetched by ``records``."""
        table = dict.fromkeys(self.workload.schedulers, 0)
        for task in self._open_tasks.values():
            table[task.scheduler] += 1
        return {"open": table, "ended": len(self._ended_tasks)}

    def do_records(self) -> dict[str, Any]:
        """Return the tasks that have ended since the last call, and those that are open."""
        ended, self._ended_tasks = self._ended_tasks, []
        return {"ended": [t.row() for t in ended], "open": [t.row() for t in self._open_tasks.values()]}

    def _spawn(self, coroutine: Any) -> "asyncio.Task[None]":
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _ramp(self, count: int, seconds: float, task_s: float) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for number in range(count):
            due = seconds * number / count
            await asyncio.sleep(max(0.0, started_at + due - loop.time()))
            remaining_s = self._rng.random() * self._rng.uniform(*LENGTH_SPREAD) * task_s
            self._start_client(remaining_s + seconds - due, "ramp")

    async def _arrivals(self, rate: float, task_s: float, phase: str) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._start_client(self._rng.uniform(*LENGTH_SPREAD) * task_s, phase)

    def _start_client(self, work_s: float, phase: str) -> None:
        workload, rng = self.workload, self._rng
        urgent = rng.random() < workload.urgent
        self._spawn(self._client(
            rng.choice(list(workload.schedulers)), "urgent" if urgent else "task",
            rng.choice(workload.tenants), work_s, phase))

    async def _client(self, scheduler: str, job_class: str, tenant: str, work_s: float, phase: str) -> None:
        """Submit a task, under a new id each time, until it is accepted or lost."""
        while True:
            self._last_number += 1
            task = Task(f"{self.workload.prefix}-{self._last_number:07d}", scheduler, job_class, tenant,
                        work_s, phase)
            self._open_tasks[task.identity] = task
            retry_after_s = 0.0
            for _ in range(2):  # resend once if an idle connection closed while the request was being sent
                resend, retry_after_s = await self._submit(task)
                if not resend:
                    break
            task.ended_ns = time.monotonic_ns()
            del self._open_tasks[task.identity]
            self._ended_tasks.append(task)
            if task.end not in ("refused", "not let in"):
                return
            await asyncio.sleep(retry_after_s or RETRY_DELAY_S)

    async def _submit(self, task: Task) -> tuple[bool, float]:
        """Send a task once; return whether to resend it at once, and a refusal's Retry-After in seconds."""
        connection, reused = self._pop_idle_connection(task.scheduler), True
        if connection is None and task.scheduler in self._not_admitted and not task.sent_ns:
            others = [name for name in self.workload.schedulers if name not in self._not_admitted]
            task.scheduler = self._rng.choice(others or [task.scheduler])
            connection = self._pop_idle_connection(task.scheduler)
        task.sent_ns = task.sent_ns or time.monotonic_ns()
        if connection is None:
            reused = False
            # The deadline counts from when the request is written, so connecting does not use it up.
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await open_connection(self.workload.schedulers[task.scheduler])
            except (OSError, TimeoutError):
                task.end = "not let in"
                return False, 0.0
        body = f"{task.work_s:.4f} ".encode() + DESCRIPTION_PADDING
        data = http.request("POST", f"/{task.job_class}", "service.internal", {
            "X-Trace-Id": task.identity, "X-Customer": task.tenant,
            "X-Expires-In": f"{int(self.workload.deadline_s * 1000)}m"}, body)
        self.counts.note(task.scheduler, "request", inward=True, size=len(data), body=len(body))
        written_ns = time.monotonic_ns()
        task.asked_ns = task.asked_ns or written_ns
        try:
            message, size = await connection.send_request(data)
        except OSError:
            task.end = "lost"
            # Resend only after an early close of a reused connection: a task lost later may be running.
            return reused and time.monotonic_ns() - written_ns < CLOSE_RACE_NS, 0.0
        self.counts.note(task.scheduler, "request", inward=False, size=size, body=len(message.body))
        if message.keep:
            self._idle_connections.setdefault(task.scheduler, []).append(connection)
        else:
            connection.transport.close()
        task.end = {200: "served", 429: "refused", 503: "refused"}.get(message.status, "failed")
        if task.end == "served" and message.body != f"posted {task.identity}".encode():
            task.end = "forged"
        return False, float(message.headers.get("retry-after", "0"))

    def _pop_idle_connection(self, scheduler: str) -> ClientConnection | None:
        idle = self._idle_connections.get(scheduler, [])
        while idle:
            connection = idle.pop()
            if not connection.lost and not connection.transport.is_closing():
                return connection
        return None


async def main() -> None:
    """Serve commands until standard input is closed."""
    await serve_commands(ClientPool().handle_command)


if __name__ == "__main__":
    asyncio.run(main())
