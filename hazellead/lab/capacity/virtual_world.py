"""An installation of the users' size in virtual time: long tasks, many tenants, an urgent class, gangs.

A ``World`` of other shapes: tasks of minutes in place of postings, workers of many slots, zones that make two
regions, one stream of arrivals that clients spread over the schedulers. Each task is followed from its
arrival to its end, so that waits, refusals and losses can be read by tenant, class and width.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from time import thread_time_ns
from typing import Any

from hazellead.core.clock import from_us
from hazellead.core.jobs import Job
from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api
from hazellead.decide.dispatcher import Dispatcher
from hazellead.lab.fleet import US, Work, WorkerSpec, settings_for
from hazellead.lab.worker import WorkerModel
from hazellead.lab.world import Instance, Plan, World
from hazellead.limits import Limits

NORMAL, URGENT = 0, 1  # the classes' places
DEADLINE_US = 1800 * US
NORMAL_AIM_US = 60 * US


def shares(tenants: int) -> tuple[float, ...]:
    """Return tenants' parts of the service: of 91 the first has some ten times the last's."""
    weights = [1 / (rank + 9) for rank in range(tenants)]
    return tuple(w / sum(weights) for w in weights)


@dataclass(slots=True, frozen=True)
class Gangs:
    """What part of the tasks needs several slots at once, and how many: each width as often as the others."""

    part: float = 0.0
    widths: tuple[int, ...] = (1, 2, 4, 8, 16, 32)

    @property
    def mean(self) -> float:
        """Return the slots of a task on average."""
        return 1 - self.part + self.part * sum(self.widths) / len(self.widths)


@dataclass(slots=True, frozen=True)
class Shape(Plan):
    """One play. ``starts`` are tasks a second over all schedulers; ``seconds`` count from the first."""

    schedulers: int = 9
    workers: int = 490
    work: Work = field(default_factory=lambda: Work(mean_s=150.0, cv=0.3, noise=0.0))
    limits: Limits = field(default_factory=lambda: Limits(requests=20_000))
    zones: int = 6
    slots: int = 10  # of a worker
    queue: int = 20  # tasks that may wait at one, beyond those that run
    starts: float = 28.0
    tenants: int = 91
    urgent: float = 0.2  # part of the tasks
    urgent_aim_us: int = US
    normal_aim_us: int = NORMAL_AIM_US
    deadline_us: int = DEADLINE_US
    gangs: Gangs = field(default_factory=Gangs)
    progress_us: int = 3600 * US  # between a running task's reports; the service does not depend on them
    quota: float = 0.0  # slots a second that tenants' quotas add up to; 0: what the fleet can do
    demand: Mapping[int, float] = field(default_factory=dict)  # by tenant: its demand over its share

    @property
    def capacity(self) -> float:
        """Return the tasks of one slot a second that the fleet can do."""
        return self.workers * self.slots / self.work.mean_s

    def sizes(self) -> dict[str, float]:
        """Return what a result file names a play by."""
        return {"workers": self.workers, "schedulers": self.schedulers, "tenants": self.tenants,
                "starts": self.starts, "running": self.starts * self.gangs.mean * self.work.mean_s,
                "slots": self.slots, "task_s": self.work.mean_s, "seconds": self.seconds, "zones": self.zones}


def fleet_of(plan: Shape) -> list[WorkerSpec]:
    """Return a shape's workers, which are all alike."""
    return [WorkerSpec(n, f"w-{n:04d}", n % plan.zones, 0, plan.slots, 1.0, plan.queue)
            for n in range(1, plan.workers + 1)]


def settings_of(plan: Shape, fleet: list[WorkerSpec], number: int) -> api.Settings:
    """Return what one scheduler is told."""
    told = settings_for(fleet, plan.work, schedulers=plan.schedulers, number=number, zone=number % plan.zones)
    aims = (plan.normal_aim_us, plan.urgent_aim_us)
    return replace(
        told,
        classes=tuple(api.JobClass(aim, plan.deadline_us, api.Effect.UNSAFE, stretch=1.0, late_worth=0.5)
                      for aim in aims),
        tenants=tuple(api.Tenant(s, s * (plan.quota or plan.capacity)) for s in shares(plan.tenants)))


class Metered(Dispatcher):
    """The real decisions, counted: steps, events and actions by kind, and the processor time they took."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Decide as a ``Dispatcher`` does."""
        super().__init__(settings, seed)
        self.steps = self.cpu_ns = self.looks = 0
        self.counts: dict[str, int] = {}

    def handle(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Decide, and count."""
        began = thread_time_ns()
        actions = super().handle(now_us, events)
        self.cpu_ns += thread_time_ns() - began
        self.steps += 1
        for thing in (*events, *actions):
            kind = type(thing).__name__
            self.counts[kind] = self.counts.get(kind, 0) + 1
        return actions

    def _candidates(self, r: Any, some: Sequence[Any], limit: float, blind: bool) -> list[Any]:
        self.looks += len(some)  # candidates looked at for a job
        return super()._candidates(r, some, limit, blind)

    def reset(self) -> None:
        """Count from here."""
        self.steps = self.cpu_ns = self.looks = 0
        self.counts = {}


def metered(scheduler: Scheduler, seed: int) -> Metered:
    """Put counted decisions into a scheduler that has just started and has decided nothing yet."""
    scheduler._dispatcher = meter = Metered(scheduler.settings, seed)
    return meter


@dataclass(slots=True, eq=False)
class Task:
    """One task and its client, which asks again when it is refused."""

    at_us: int
    identity: str
    tenant: int
    job_class: int
    slots: int
    work_s: float
    instance: "Site"
    tries: int = 0
    refusals: int = 0
    began_us: int = -1  # as its client was told
    ended_us: int = -1
    end: str = ""  # served, refused, failed, died (with its scheduler), unheld (no scheduler there)

    def wait_s(self) -> float:
        """Return the time from its arrival to its start; infinite if it never began."""
        return (self.began_us - self.at_us) / US if self.began_us >= 0 else float("inf")


class _Answer:
    """The answers to one try."""

    __slots__ = ("identity", "task", "world")

    def __init__(self, task: Task, identity: str, world: "Installation") -> None:
        self.task, self.identity, self.world = task, identity, world

    def _note(self, kind: str, *, made: bool = True) -> int:
        now = self.world.time.now_us()
        self.world.checker.job_answered(self.identity, kind, now, made)
        return now

    def _end(self, kind: str, now: int) -> None:
        self.task.end, self.task.ended_us = kind, now

    def served(self, result: bytes) -> None:
        """Note it."""
        self._end("served", self._note("served", made=result == b"posted " + self.identity.encode()))

    def refused(self, retry_after: timedelta) -> None:
        """Ask again later, as clients do, some times."""
        now, task, plan = self._note("refused"), self.task, self.world.plan
        task.refusals += 1
        wait = max(20_000, retry_after // timedelta(microseconds=1))
        if task.tries > plan.retries or now + wait >= task.at_us + plan.deadline_us:
            self._end("refused", now)
        else:
            self.world.time.after(wait, self.world.ask, task)

    def failed(self, reason: str) -> None:
        """Note it."""
        self._end("failed", self._note("failed"))

    def began(self) -> None:
        """Note the first time."""
        if self.task.began_us < 0:
            self.task.began_us = self.world.time.now_us()

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


class Site(Instance):
    """One scheduler of an installation; its decisions are counted."""

    meter: Metered

    def start(self) -> None:
        """Start from nothing, as a new process does."""
        super().start()
        self.meter = metered(self.scheduler, self.world.rng.getrandbits(48))

    def kill(self) -> None:
        """End at once; the tasks that it held are lost to their clients."""
        self.up, self.incarnation = False, self.incarnation + 1
        self.world.checker.scheduler_died(self.name)
        for request in list(self.scheduler._requests.values()):
            if isinstance(request.reply, _Answer):
                request.reply.task.end, request.reply.task.ended_us = "died", self.world.time.now_us()
            request.reply = None


class Installation(World):
    """One play of a shape."""

    plan: Shape

    def __init__(self, plan: Shape, spread: Callable[[int, Random], int] | None = None) -> None:
        """Set up; ``spread`` says to which scheduler a tenant's next task goes (any, if left out)."""
        super().__init__(plan)
        self.sites = [Site(self, i.number, i.stream) for i in self.instances]
        self.instances = list(self.sites)
        self.tasks: list[Task] = []
        self._spread = spread or (lambda _, rng: rng.randrange(plan.schedulers))
        self._arrivals = Random(f"arrivals {plan.seed}")

    def draw_fleet(self, rng: Random) -> list[WorkerSpec]:
        """Return workers that are all alike."""
        return fleet_of(self.plan)

    def model(self, spec: WorkerSpec) -> WorkerModel:
        """Return the model of one worker, whose running tasks report as the plan says."""
        model = super().model(spec)
        model.report_every(self.plan.progress_us)
        return model

    def settings(self, instance: Instance) -> api.Settings:
        """Return what a scheduler is told at its start."""
        return settings_of(self.plan, self.fleet, instance.number)

    # Clients.

    def start(self) -> None:
        """Start all schedulers, then the stream of tasks."""
        for instance in self.instances:
            instance.start()
        weights = [s * self.plan.demand.get(t, 1.0) for t, s in enumerate(shares(self.plan.tenants))]
        self._weights, self._rate = weights, self.plan.starts * sum(weights)
        self._next()

    def _next(self) -> None:
        wait = self._arrivals.expovariate(self._rate)
        if self.now_s + wait < self.plan.seconds:
            self.time.after(wait * US, self._come)

    def _come(self) -> None:
        rng, plan = self._arrivals, self.plan
        tenant = rng.choices(range(plan.tenants), self._weights)[0]
        urgent = rng.random() < plan.urgent
        slots = rng.choice(plan.gangs.widths) if rng.random() < plan.gangs.part else 1
        site = self.sites[self._spread(tenant, rng)]
        task = Task(self.time.now_us(), f"t{len(self.tasks)}", tenant, URGENT if urgent else NORMAL, slots,
                    plan.work.draw(rng), site)
        self.tasks.append(task)
        self.ask(task)
        self._next()

    def ask(self, task: Task) -> None:
        """Ask, or ask again."""
        now, site = self.time.now_us(), task.instance
        if not site.up:
            task.end, task.ended_us = "unheld", now
            return
        task.tries += 1
        identity = f"{task.identity}.{task.tries}"
        until = task.at_us + self.plan.deadline_us
        self.checker.job_accepted(identity, site.name, until)
        job = Job(identity, repr(task.work_s), b"", task.job_class, task.tenant, from_us(until - now),
                  float(task.slots))
        site.scheduler.submit(job, _Answer(task, identity, self))

    # Reading.

    def came(self, from_s: float, to_s: float) -> list[Task]:
        """Return the tasks that came in a window of the play."""
        first, last = self.began_us + from_s * US, self.began_us + to_s * US
        return [t for t in self.tasks if first <= t.at_us < last]

    def taken(self) -> float:
        """Return the part of the fleet's slots that is taken now."""
        return sum(m.used for m in self.models.values()) / (self.plan.workers * self.plan.slots)

    def waiting(self) -> int:
        """Return how many tasks wait at workers now."""
        return sum(m.waiting for m in self.models.values())

    def open_requests(self) -> list[int]:
        """Return each scheduler's open requests now."""
        return [len(s.scheduler._requests) if s.up else 0 for s in self.sites]


def quick_world(seed: int = 1, **more: Any) -> Installation:
    """Return a small installation with tasks of a second, for tests."""
    shape: dict[str, Any] = {"schedulers": 2, "workers": 10, "slots": 4, "tenants": 7, "starts": 20.0,
                             "seconds": 8.0, "work": Work(1.0, 0.3, 0.0), "deadline_us": 20 * US,
                             "normal_aim_us": 2 * US}
    return Installation(Shape(seed, **{**shape, **more}))

