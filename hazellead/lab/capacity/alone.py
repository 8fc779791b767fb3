"""A harness for one scheduler in virtual time, with simulated workers that start every task at once.

The scheduler's share of the arrivals, the full worker list and the call-backs of its running tasks reach the
real core and the real decisions; nothing else runs. So its work is counted, timed and its memory traced
separately, in runs short enough for a sweep. The cost of waiting for busy workers is measured in runs of
whole installations instead.
"""

import gc
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum
from random import Random
from time import thread_time_ns
from types import BuiltinFunctionType, CodeType, FunctionType, ModuleType

from hazellead.core.clock import from_us
from hazellead.core.jobs import Attempt, Job
from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api
from hazellead.lab.capacity.virtual_world import (
    NORMAL,
    URGENT,
    MeteredDispatcher,
    Shape,
    fleet_of,
    install_meter,
    settings_of,
    shares,
)
from hazellead.lab.fleet import US
from hazellead.lab.time import VirtualTime

START_US = 2000  # from a push to the call-back of its start
REPORT_US = US  # between the progress reports of a running task
# "<string>" is the file name of generated dataclass initialisers.
_TRACED_FILES = ("*/hazellead/decide/*", "*/hazellead/core/*", "<string>")


def names_of(shape: Shape) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the names of the classes and of the tenants."""
    return ("normal", "urgent"), tuple(f"tenant-{n}" for n in range(shape.tenants))


class _Reply:
    """A client's reply object that counts the outcomes."""

    __slots__ = ("_outcomes",)

    def __init__(self, outcomes: dict[str, int]) -> None:
        self._outcomes = outcomes

    def _end(self, kind: str) -> None:
        self._outcomes[kind] = self._outcomes.get(kind, 0) + 1

    def served(self, result: bytes) -> None:
        """Count a served task."""
        self._end("served")

    def refused(self, retry_after: timedelta) -> None:
        """Count a refused task."""
        self._end("refused")

    def failed(self, reason: str) -> None:
        """Count a failed task."""
        self._end("failed")

    def began(self) -> None:
        """Do nothing."""

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


@dataclass(slots=True, frozen=True)
class Cost:
    """The work of one scheduler in a measured window."""

    seconds: float
    arrivals: int
    decisions_ns: int  # processor time of the decisions
    total_ns: int  # processor time of decisions, core and simulation
    steps: int
    looks: int  # candidate workers examined for jobs
    counts: dict[str, int]  # events and actions by kind

    @property
    def events(self) -> int:
        """Return the number of events passed to the decisions."""
        return sum(n for kind, n in self.counts.items() if kind in _EVENTS)

    @property
    def actions(self) -> int:
        """Return the number of actions that the decisions returned."""
        return sum(n for kind, n in self.counts.items() if kind not in _EVENTS)


_EVENTS = frozenset(kind.__name__ for kind in api.Event.__args__)


class SchedulerHarness:
    """One scheduler with its share of a shape's arrivals, and workers that start each task at once."""

    def __init__(self, shape: Shape, time: VirtualTime | None = None, number: int = 0) -> None:
        """Set up; ``start_arrivals`` or ``ramp`` starts the load. Schedulers may share one ``time``."""
        self.shape, self.number = shape, number
        self.time = time or VirtualTime()
        self._rng = Random(f"alone {shape.seed} {number}")
        self._fleet = fleet_of(shape)
        self._weights = shares(shape.tenants)
        self._entries = tuple(api.WorkerEntry(s.number, s.zone, s.kind) for s in self._fleet)
        # VirtualTime implements the two event loop methods that the scheduler calls.
        self.scheduler = Scheduler(settings_of(shape, self._fleet, number), self._rng.getrandbits(48),
                                   shape.limits, self.time, self.time,  # type: ignore[arg-type]
                                   names=names_of(shape))
        self.meter = install_meter(self.scheduler, self._rng.getrandbits(48))
        self.scheduler.connect(self, self)
        self.outcomes: dict[str, int] = {}
        self.arrivals = 0
        self.running: dict[tuple[int, int], Attempt] = {}
        self._arriving, self._reporting = False, False
        self.subscribe()

    # The core's transport and directory interfaces.

    def send(self, attempt: Attempt) -> None:
        """Start the attempt after ``START_US`` and end it after its work time."""
        if not attempt.may_send():
            attempt.end(api.Outcome.MOOT)
            return
        key = (attempt.request, attempt.number)
        self.running[key] = attempt
        self.time.after(START_US, self._begin, attempt)
        self.time.after(START_US + float(attempt.job.target) * US, self._done, attempt)

    def _begin(self, attempt: Attempt) -> None:
        attempt.began()
        if self._reporting:
            self.time.after(REPORT_US, self._report, attempt)

    def _done(self, attempt: Attempt) -> None:
        if self.running.pop((attempt.request, attempt.number), None):
            attempt.end(api.Outcome.SERVED, b"done")

    def _report(self, attempt: Attempt) -> None:
        if self._reporting and (attempt.request, attempt.number) in self.running:
            attempt.progressed(0.5)
            self.time.after(REPORT_US, self._report, attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Cancel the attempt."""
        self.running.pop((attempt.request, attempt.number), None)

    def probe(self, worker: int, done: Callable[[api.Outcome], None]) -> None:
        """Answer a probe with success."""
        self.time.after(START_US, done, api.Outcome.SERVED)

    def release(self, worker: int) -> None:
        """Do nothing, as there are no connections."""

    def list_expired(self) -> bool:
        """Return False, as the full list is always known."""
        return False

    def subscribe(self) -> None:
        """Send the full worker list to the scheduler."""
        self.scheduler.on_list(api.WorkerList(api.ListKind.FULL, self._entries))

    def fetch(self) -> None:
        """Send the full worker list again."""
        self.subscribe()

    def name(self, worker: int) -> str:
        """Return a worker's name."""
        return f"w-{worker:04d}"

    # Clients.

    def start_arrivals(self) -> None:
        """Let tasks arrive from now on, until ``stop``."""
        self._arriving = True
        self._next()

    def stop(self) -> None:
        """Stop the arrivals."""
        self._arriving = False

    def _next(self) -> None:
        rate = self.shape.starts / self.shape.schedulers
        self.time.after(self._rng.expovariate(rate) * US, self._arrive)

    def _arrive(self) -> None:
        if not self._arriving:
            return
        rng, shape = self._rng, self.shape
        self.arrivals += 1
        slots = rng.choice(shape.gangs.widths) if rng.random() < shape.gangs.share else 1
        job = Job(f"a{self.number}-{self.arrivals}", repr(shape.work.draw(rng)), b"",
                  URGENT if rng.random() < shape.urgent else NORMAL,
                  rng.choices(range(shape.tenants), self._weights)[0],
                  from_us(shape.deadline_us), float(slots))
        self.scheduler.submit(job, _Reply(self.outcomes))
        self._next()

    def submit_task(self, tenant: int, slots: int, work_s: float = 5.0) -> bool:
        """Submit one task; return whether it was accepted, that is, has no answer after two ticks."""
        outcomes = dict[str, int]()
        self.arrivals += 1
        job = Job(f"b{self.number}-{self.arrivals}", repr(work_s), b"", NORMAL, tenant,
                  from_us(self.shape.deadline_us), float(slots))
        self.scheduler.submit(job, _Reply(outcomes))
        self.time.run_us(2 * self.scheduler.settings.tick_us)
        return not outcomes

    # Changes.

    def change_lists(self, per_minute: float) -> None:
        """Change the worker list periodically: a worker drains, and at the next change has restarted."""
        drained: list[int] = []

        def change() -> None:
            if drained:
                worker, phase, since = drained.pop(), api.Phase.READY, self.time.now_us()
            else:
                worker, phase, since = self._rng.randrange(len(self._fleet)) + 1, api.Phase.DRAINING, 0
                drained.append(worker)
            entry = api.WorkerEntry(worker, worker % self.shape.zones, 0, phase=phase, started_us=since)
            self.scheduler.on_list(api.WorkerList(api.ListKind.CHANGES, (entry,)))
            self.time.after(60 / per_minute * US, change)

        if per_minute > 0:
            self.time.after(self._rng.random() * 60 / per_minute * US, change)

    def change_settings(self, per_minute: float) -> None:
        """Change the settings periodically, by alternating the number of attempts."""
        def change() -> None:
            settings = self.scheduler.settings
            other = replace(settings, max_attempts=5 - settings.max_attempts)
            self.scheduler.apply_generation(self.scheduler.next_generation(other, *names_of(self.shape)))
            self.time.after(60 / per_minute * US, change)

        if per_minute > 0:
            self.time.after(self._rng.random() * 60 / per_minute * US, change)

    # Measuring.

    def ramp(self) -> None:
        """Let tasks arrive until the number of running tasks is steady."""
        self.start_arrivals()
        work = self.shape.work
        self.time.run_us(int((1 + 1.2 * work.cv) * work.mean_s * US))

    def measure(self, seconds: float, *, reports: bool = True) -> Cost:
        """Run for a time and return its cost; ``reports``: running tasks report progress once a second."""
        self._reporting = reports
        if reports:
            for attempt in self.running.values():
                self.time.after(self._rng.random() * REPORT_US, self._report, attempt)
        self.meter.reset()
        arrivals_before, began = self.arrivals, thread_time_ns()
        self.time.run_us(int(seconds * US))
        elapsed_cpu_ns, self._reporting = thread_time_ns() - began, False
        m = self.meter
        return Cost(
            seconds, self.arrivals - arrivals_before, m.cpu_ns, elapsed_cpu_ns, m.steps, m.looks, m.counts)

    def drain(self) -> dict[str, int]:
        """Stop arrivals, run until all tasks must have ended, and return the leftover entries by name."""
        self.stop()
        self.time.run_us(self.shape.deadline_us + 10 * US)
        s, d = self.scheduler, self.meter
        return {"requests": len(s._requests), "identities": len(s._identities), "running": len(self.running),
                "module_requests": len(d.requests), "flying": len(d.open_attempts),
                "again": len(d.retry_queue), "late": len(d.late_queue), "checks": len(d.copy_checks),
                "held": sum(len(t.buffered) for t in d.tenants),
                "unstarted": sum(len(w.unstarted) for w in d.workers.values()),
                "slots_held": round(sum(w.own_slots for w in d.workers.values()))}


def reachable_bytes(scheduler: Scheduler) -> int:
    """Return the size of all objects reachable from a scheduler's core and decisions, by ``sys.getsizeof``.

    Each object counts once, including the submitted jobs; the loop, its timers, clients, transports and code
    do not count.
    """
    seen, pending, total = set[int](), list[object]([scheduler]), 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, _CODE_TYPES) or _is_excluded(type(item).__module__):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        pending += gc.get_referents(item)
    return total


_CODE_TYPES = (type, ModuleType, FunctionType, BuiltinFunctionType, CodeType, Enum)


def _is_excluded(module: str) -> bool:
    kept = module.startswith(("hazellead.core", "hazellead.decide")) or module == MeteredDispatcher.__module__
    return not kept and module.startswith(("hazellead", "tornado", "structlog"))


def trace_memory(shape: Shape) -> dict[str, tuple[int, int, int]]:
    """Return one scheduler's memory in bytes: idle, with all tasks running, and after all have ended.

    ``traced`` is measured with tracemalloc: blocks allocated in core, decisions and dataclass initialisers;
    ``reached`` is the result of ``reachable_bytes`` at the same moments.
    """
    gc.collect()
    tracemalloc.start()
    try:
        harness = SchedulerHarness(shape)
        harness.time.run_us(US)
        measured = [(_traced_bytes(), reachable_bytes(harness.scheduler))]
        harness.ramp()
        measured.append((_traced_bytes(), reachable_bytes(harness.scheduler)))
        harness.drain()
        measured.append((_traced_bytes(), reachable_bytes(harness.scheduler)))
    finally:
        tracemalloc.stop()
    idle, loaded, left = measured
    return {"traced": (idle[0], loaded[0], left[0]), "reached": (idle[1], loaded[1], left[1])}


def _traced_bytes() -> int:
    gc.collect()
    snapshot = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, f) for f in _TRACED_FILES])
    return sum(s.size for s in snapshot.statistics("filename"))
