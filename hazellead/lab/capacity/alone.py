"""One scheduler of many, alone with stand-ins that take every task at once: what it costs by size.

Its part of the arrivals, the whole list of workers and the call-backs of its running tasks reach the real
core and the real decisions; nothing else runs. So work can be counted, timed and its memory traced for it
alone, in plays short enough for a sweep. What waiting for busy workers costs is left to the plays of whole
installations.
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

START_US = 2000  # from a push to the word of its start
REPORT_US = US  # between a running task's reports
_OURS = ("*/hazellead/decide/*", "*/hazellead/core/*", "<string>")  # the last: initialisers of records


def names_of(shape: Shape) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return what classes and tenants are called."""
    return ("normal", "urgent"), tuple(f"tenant-{n}" for n in range(shape.tenants))


class _Reply:
    """A client that counts."""

    __slots__ = ("_ends",)

    def __init__(self, ends: dict[str, int]) -> None:
        self._ends = ends

    def _end(self, kind: str) -> None:
        self._ends[kind] = self._ends.get(kind, 0) + 1

    def served(self, result: bytes) -> None:
        """Count it."""
        self._end("served")

    def refused(self, retry_after: timedelta) -> None:
        """Count it."""
        self._end("refused")

    def failed(self, reason: str) -> None:
        """Count it."""
        self._end("failed")

    def began(self) -> None:
        """Do nothing."""

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


@dataclass(slots=True, frozen=True)
class Cost:
    """What a window of a play cost one scheduler. Counts and times are of the window."""

    seconds: float
    arrivals: int
    decisions_ns: int  # processor time in the decisions
    whole_ns: int  # that of the play: decisions, core and stand-ins
    steps: int
    looks: int  # candidates looked at for a job
    counts: dict[str, int]  # events and actions by kind

    @property
    def events(self) -> int:
        """Return the events that the decisions were told."""
        return sum(n for kind, n in self.counts.items() if kind in _EVENTS)

    @property
    def actions(self) -> int:
        """Return the actions that they asked for."""
        return sum(n for kind, n in self.counts.items() if kind not in _EVENTS)


_EVENTS = frozenset(kind.__name__ for kind in api.Event.__args__)


class Alone:
    """One scheduler, its part of a shape's arrivals, and workers that begin each task at once."""

    def __init__(self, shape: Shape, time: VirtualTime | None = None, number: int = 0) -> None:
        """Set up; ``run`` starts it. Several may share one ``time``."""
        self.shape, self.number = shape, number
        self.time = time or VirtualTime()
        self._rng = Random(f"alone {shape.seed} {number}")
        self._fleet = fleet_of(shape)
        self._weights = shares(shape.tenants)
        self._entries = tuple(api.WorkerEntry(s.number, s.zone, s.kind) for s in self._fleet)
        # Virtual time has the two calls of a loop that the scheduler makes.
        self.scheduler = Scheduler(settings_of(shape, self._fleet, number), self._rng.getrandbits(48),
                                   shape.limits, self.time, self.time,  # type: ignore[arg-type]
                                   names=names_of(shape))
        self.meter = install_meter(self.scheduler, self._rng.getrandbits(48))
        self.scheduler.connect(self, self)
        self.ends: dict[str, int] = {}
        self.arrivals = 0
        self.running: dict[tuple[int, int], Attempt] = {}
        self._coming, self._reporting = False, False
        self.subscribe()

    # What the core asks of its transport and its directory.

    def send(self, attempt: Attempt) -> None:
        """Begin it, and end it when it has run."""
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
        """Stop it."""
        self.running.pop((attempt.request, attempt.number), None)

    def probe(self, worker: int, done: Callable[[api.Outcome], None]) -> None:
        """Answer that it lives."""
        self.time.after(START_US, done, api.Outcome.SERVED)

    def release(self, worker: int) -> None:
        """Do nothing: there are no connections."""

    def list_expired(self) -> bool:
        """Return False: the whole list is told at once."""
        return False

    def subscribe(self) -> None:
        """Tell the whole list."""
        self.scheduler.on_list(api.WorkerList(api.ListKind.FULL, self._entries))

    def fetch(self) -> None:
        """Tell the whole list."""
        self.subscribe()

    def name(self, worker: int) -> str:
        """Return a worker's name."""
        return f"w-{worker:04d}"

    # Clients.

    def come(self) -> None:
        """Let tasks come from now on, until ``stop``."""
        self._coming = True
        self._next()

    def stop(self) -> None:
        """Let no more come."""
        self._coming = False

    def _next(self) -> None:
        rate = self.shape.starts / self.shape.schedulers
        self.time.after(self._rng.expovariate(rate) * US, self._arrive)

    def _arrive(self) -> None:
        if not self._coming:
            return
        rng, shape = self._rng, self.shape
        self.arrivals += 1
        slots = rng.choice(shape.gangs.widths) if rng.random() < shape.gangs.share else 1
        job = Job(f"a{self.number}-{self.arrivals}", repr(shape.work.draw(rng)), b"",
                  URGENT if rng.random() < shape.urgent else NORMAL,
                  rng.choices(range(shape.tenants), self._weights)[0],
                  from_us(shape.deadline_us), float(slots))
        self.scheduler.submit(job, _Reply(self.ends))
        self._next()

    def ask(self, tenant: int, slots: int, work_s: float = 5.0) -> bool:
        """Ask for one task; say whether the decisions have taken it in rather than refused it at once."""
        ends = dict[str, int]()
        self.arrivals += 1
        job = Job(f"b{self.number}-{self.arrivals}", repr(work_s), b"", NORMAL, tenant,
                  from_us(self.shape.deadline_us), float(slots))
        self.scheduler.submit(job, _Reply(ends))
        self.time.run_us(2 * self.scheduler.settings.tick_us)
        return not ends

    # Changes.

    def change_lists(self, a_minute: float) -> None:
        """Let the list change so often: a worker drains and, at the next change, is back with a new start."""
        drained: list[int] = []

        def change() -> None:
            if drained:
                worker, phase, since = drained.pop(), api.Phase.READY, self.time.now_us()
            else:
                worker, phase, since = self._rng.randrange(len(self._fleet)) + 1, api.Phase.DRAINING, 0
                drained.append(worker)
            entry = api.WorkerEntry(worker, worker % self.shape.zones, 0, phase=phase, started_us=since)
            self.scheduler.on_list(api.WorkerList(api.ListKind.CHANGES, (entry,)))
            self.time.after(60 / a_minute * US, change)

        if a_minute > 0:
            self.time.after(self._rng.random() * 60 / a_minute * US, change)

    def change_settings(self, a_minute: float) -> None:
        """Bring the same settings with another number of attempts in force so often."""
        def change() -> None:
            settings = self.scheduler.settings
            other = replace(settings, max_attempts=5 - settings.max_attempts)
            self.scheduler.apply_generation(self.scheduler.next_generation(other, *names_of(self.shape)))
            self.time.after(60 / a_minute * US, change)

        if a_minute > 0:
            self.time.after(self._rng.random() * 60 / a_minute * US, change)

    # Measuring.

    def ramp(self) -> None:
        """Let as many run as will run from then on."""
        self.come()
        work = self.shape.work
        self.time.run_us(int((1 + 1.2 * work.cv) * work.mean_s * US))

    def window(self, seconds: float, *, reports: bool = True) -> Cost:
        """Play a window and return its cost; ``reports``: running tasks report each second in it."""
        self._reporting = reports
        if reports:
            for attempt in self.running.values():
                self.time.after(self._rng.random() * REPORT_US, self._report, attempt)
        self.meter.reset()
        came, began = self.arrivals, thread_time_ns()
        self.time.run_us(int(seconds * US))
        whole, self._reporting = thread_time_ns() - began, False
        m = self.meter
        return Cost(seconds, self.arrivals - came, m.cpu_ns, whole, m.steps, m.looks, m.counts)

    def empty(self) -> dict[str, int]:
        """Let none come, wait until all have ended, and return what state of tasks is left, by its name."""
        self.stop()
        self.time.run_us(self.shape.deadline_us + 10 * US)
        s, d = self.scheduler, self.meter
        return {"requests": len(s._requests), "identities": len(s._identities), "running": len(self.running),
                "module_requests": len(d.requests), "flying": len(d.open_attempts),
                "again": len(d.retry_queue), "late": len(d.late_queue), "checks": len(d.copy_checks),
                "held": sum(len(t.buffered) for t in d.tenants),
                "unstarted": sum(len(w.unstarted) for w in d.workers.values()),
                "slots_held": round(sum(w.own_slots for w in d.workers.values()))}


def reached(scheduler: Scheduler) -> int:
    """Return the bytes of all that a scheduler's core and decisions hold, by ``sys.getsizeof``.

    Each object that can be reached is counted once, jobs as the front gave them included; the loop, its
    timers, clients, transports and code are not.
    """
    seen, todo, total = set[int](), list[object]([scheduler]), 0
    while todo:
        thing = todo.pop()
        if id(thing) in seen or isinstance(thing, _CODE) or _foreign(type(thing).__module__):
            continue
        seen.add(id(thing))
        total += sys.getsizeof(thing)
        todo += gc.get_referents(thing)
    return total


_CODE = (type, ModuleType, FunctionType, BuiltinFunctionType, CodeType, Enum)


def _foreign(module: str) -> bool:
    ours = module.startswith(("hazellead.core", "hazellead.decide")) or module == MeteredDispatcher.__module__
    return not ours and module.startswith(("hazellead", "tornado", "structlog"))


def traced(shape: Shape) -> dict[str, tuple[int, int, int]]:
    """Return what one scheduler holds with no task, with all that run, and after all have ended.

    ``traced`` is by tracemalloc: blocks allocated in core and decisions and in the initialisers of records;
    ``reached`` is what ``reached`` finds at the same moments.
    """
    gc.collect()
    tracemalloc.start()
    try:
        alone = Alone(shape)
        alone.time.run_us(US)
        found = [(_held(), reached(alone.scheduler))]
        alone.ramp()
        found.append((_held(), reached(alone.scheduler)))
        alone.empty()
        found.append((_held(), reached(alone.scheduler)))
    finally:
        tracemalloc.stop()
    idle, full, left = found
    return {"traced": (idle[0], full[0], left[0]), "reached": (idle[1], full[1], left[1])}


def _held() -> int:
    gc.collect()
    snapshot = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, f) for f in _OURS])
    return sum(s.size for s in snapshot.statistics("filename"))
