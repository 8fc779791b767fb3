"""Hollow clients: some thousand open tasks of many tenants in one process, arriving at their own times.

A client sends one task a connection, waits for its answer, and keeps the connection for the next. What is
refused is tried again under a fresh id, as the protocol lets clients do; every refusal is recorded.
"""

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import Any

from hazellead.lab.capacity.hollow_counts import Asker, Counts, obey, open_to
from hazellead.net import http

CONNECT_S = 1.0
AGAIN_S = 0.5  # after a connection that was refused, or a refusal that names no time
CROSSING_NS = 100_000_000  # after it was sent, a request whose connection ends may have crossed the close
PADDING = b"." * 200  # of a task's description, beside its length
SPREAD = (0.8, 1.2)  # of a task's length round the mean


@dataclass(slots=True)
class Task:
    """One task under one id."""

    identity: str
    scheduler: str
    job_class: str
    tenant: str
    work_s: float
    phase: str
    sent_ns: int = 0  # submitted
    asked_ns: int = 0  # written to a connection, from when on the scheduler has its time
    ended_ns: int = 0
    end: str = ""  # served, refused, failed, not let in, lost, forged; "" while it is open

    def row(self) -> list[Any]:
        """Write it as a record."""
        return [self.identity, self.scheduler, self.job_class, self.tenant, self.work_s, self.phase,
                self.sent_ns, self.asked_ns, self.ended_ns, self.end]


@dataclass(slots=True)
class Plan:
    """Who asks for what."""

    schedulers: dict[str, tuple[str, int]]
    tenants: list[str]
    urgent: float  # part of the tasks
    deadline_s: float
    prefix: str
    seed: int


class Crowd:
    """The clients of this process."""

    def __init__(self) -> None:
        """Start with none."""
        self.counts = Counts()
        self.plan: Plan
        self._rng = Random(0)
        self._number = 0
        self._open: dict[str, Task] = {}
        self._ended: list[Task] = []
        self._idle: dict[str, list[Asker]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._load: asyncio.Task[None] | None = None
        self._shut: set[str] = set()

    async def obey(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command."""
        do = command.pop("do")
        answer: dict[str, Any] = getattr(self, f"do_{do}")(**command)
        return answer

    def do_plan(self, schedulers: dict[str, list[Any]], **rest: Any) -> dict[str, Any]:
        """Set up."""
        self.plan = Plan({name: (host, port) for name, (host, port) in schedulers.items()}, **rest)
        self._rng = Random(f"clients {self.plan.seed} {self.plan.prefix}")
        return {}

    def do_ramp(self, count: int, seconds: float, task_s: float) -> dict[str, Any]:
        """Bring so many tasks in over a time, with as much left of them as if they had long been running."""
        self._spawn(self._ramp(count, seconds, task_s))
        return {}

    def do_once(self, count: int, task_s: float, phase: str) -> dict[str, Any]:
        """Bring so many tasks in at once."""
        for _ in range(count):
            self._begin(self._rng.uniform(*SPREAD) * task_s, phase)
        return {}

    def do_load(self, rate: float, task_s: float, phase: str) -> dict[str, Any]:
        """Have tasks arrive at a rate, each at its own time, until told otherwise; rate 0: no more."""
        if self._load:
            self._load.cancel()
        self._load = self._spawn(self._arrivals(rate, task_s, phase)) if rate else None
        return {}

    def do_front(self, scheduler: str, admitted: bool) -> dict[str, Any]:
        """Send new connections to a scheduler, or to others; kept ones are used for as long as they last."""
        (self._shut.discard if admitted else self._shut.add)(scheduler)
        return {}

    def do_counts(self) -> dict[str, Any]:
        """Return what was counted."""
        return {"table": self.counts.table}

    def do_state(self) -> dict[str, Any]:
        """Return how many are open, by scheduler."""
        table = dict.fromkeys(self.plan.schedulers, 0)
        for task in self._open.values():
            table[task.scheduler] += 1
        return {"open": table, "ended": len(self._ended)}

    def do_records(self) -> dict[str, Any]:
        """Return the tasks that have ended since the last call, and those that are open."""
        ended, self._ended = self._ended, []
        return {"ended": [t.row() for t in ended], "open": [t.row() for t in self._open.values()]}

    def _spawn(self, work: Any) -> "asyncio.Task[None]":
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _ramp(self, count: int, seconds: float, task_s: float) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for number in range(count):
            due = seconds * number / count
            await asyncio.sleep(max(0.0, began + due - loop.time()))
            left = self._rng.random() * self._rng.uniform(*SPREAD) * task_s
            self._begin(left + seconds - due, "ramp")

    async def _arrivals(self, rate: float, task_s: float, phase: str) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._begin(self._rng.uniform(*SPREAD) * task_s, phase)

    def _begin(self, work_s: float, phase: str) -> None:
        plan, rng = self.plan, self._rng
        urgent = rng.random() < plan.urgent
        self._spawn(self._client(
            rng.choice(list(plan.schedulers)), "urgent" if urgent else "task", rng.choice(plan.tenants),
            work_s, phase))

    async def _client(self, scheduler: str, job_class: str, tenant: str, work_s: float, phase: str) -> None:
        """Ask until it is taken."""
        while True:
            self._number += 1
            task = Task(f"{self.plan.prefix}-{self._number:07d}", scheduler, job_class, tenant, work_s, phase)
            self._open[task.identity] = task
            pause = 0.0
            for _ in range(2):  # a close that crosses the request: once more on a new connection
                again, pause = await self._ask(task)
                if not again:
                    break
            task.ended_ns = time.monotonic_ns()
            del self._open[task.identity]
            self._ended.append(task)
            if task.end not in ("refused", "not let in"):
                return
            await asyncio.sleep(pause or AGAIN_S)

    async def _ask(self, task: Task) -> tuple[bool, float]:
        """Ask once; return whether to ask again at once, and when a refusal lets one come back."""
        line, kept = self._rested(task.scheduler), True
        if line is None and task.scheduler in self._shut and not task.sent_ns:
            others = [name for name in self.plan.schedulers if name not in self._shut]
            task.scheduler = self._rng.choice(others or [task.scheduler])
            line = self._rested(task.scheduler)
        task.sent_ns = task.sent_ns or time.monotonic_ns()
        if line is None:
            kept = False
            # A request cannot be sent before its connection is up: until then no time of it runs.
            try:
                async with asyncio.timeout(CONNECT_S):
                    line = await open_to(self.plan.schedulers[task.scheduler])
            except (OSError, TimeoutError):
                task.end = "not let in"
                return False, 0.0
        body = f"{task.work_s:.4f} ".encode() + PADDING
        data = http.request("POST", f"/{task.job_class}", "service.internal", {
            "X-Trace-Id": task.identity, "X-Customer": task.tenant,
            "X-Expires-In": f"{int(self.plan.deadline_s * 1000)}m"}, body)
        self.counts.note(task.scheduler, "request", inward=True, size=len(data), body=len(body))
        asked = time.monotonic_ns()
        task.asked_ns = task.asked_ns or asked
        try:
            message, size = await line.ask(data)
        except OSError:
            task.end = "lost"
            # Guards against posting twice: one that was lost while it was worked on is not sent again.
            return kept and time.monotonic_ns() - asked < CROSSING_NS, 0.0
        self.counts.note(task.scheduler, "request", inward=False, size=size, body=len(message.body))
        if message.keep:
            self._idle.setdefault(task.scheduler, []).append(line)
        else:
            line.transport.close()
        task.end = {200: "served", 429: "refused", 503: "refused"}.get(message.status, "failed")
        if task.end == "served" and message.body != f"posted {task.identity}".encode():
            task.end = "forged"
        return False, float(message.headers.get("retry-after", "0"))

    def _rested(self, scheduler: str) -> Asker | None:
        idle = self._idle.get(scheduler, [])
        while idle:
            line = idle.pop()
            if not line.lost and not line.transport.is_closing():
                return line
        return None


async def main() -> None:
    """Serve until the input ends."""
    await obey(Crowd().obey)


if __name__ == "__main__":
    asyncio.run(main())
