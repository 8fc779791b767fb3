"""An installation of the target's size in virtual time: long tasks, many tenants, an urgent class, gangs.

It differs from a plain ``World`` in its tasks of minutes, workers with many slots, zones that form two
regions, and one stream of arrivals that is spread over the schedulers. Each task is recorded from arrival to
end, so that waits, refusals and losses can be analysed by tenant, class and width.
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

NORMAL, URGENT = 0, 1  # indices of the job classes
DEADLINE_US = 1800 * US
NORMAL_AIM_US = 60 * US


def shares(tenants: int) -> tuple[float, ...]:
    """Return the tenants' shares of the capacity, which sum to 1; of 91, the first is 11 times the last."""
    weights = [1 / (rank + 9) for rank in range(tenants)]
    return tuple(w / sum(weights) for w in weights)


@dataclass(slots=True, frozen=True)
class Gangs:
    """The share of tasks that need several slots at once, and their widths, which are equally frequent."""

    share: float = 0.0
    widths: tuple[int, ...] = (1, 2, 4, 8, 16, 32)

    @property
    def mean(self) -> float:
        """Return the average number of slots of a task."""
        return 1 - self.share + self.share * sum(self.widths) / len(self.widths)


@dataclass(slots=True, frozen=True)
class Shape(Plan):
    """Parameters of one simulated installation; tasks arrive for ``seconds`` seconds."""

    schedulers: int = 9
    workers: int = 490
    work: Work = field(default_factory=lambda: Work(mean_s=150.0, cv=0.3, noise=0.0))
    limits: Limits = field(default_factory=lambda: Limits(requests=20_000))
    zones: int = 6
    slots: int = 10  # of a worker
    queue: int = 20  # tasks that may wait at a worker, beyond those that run
    starts: float = 28.0  # tasks a second over all schedulers
    tenants: int = 91
    urgent: float = 0.2  # share of the tasks
    urgent_aim_us: int = US
    normal_aim_us: int = NORMAL_AIM_US
    deadline_us: int = DEADLINE_US
    gangs: Gangs = field(default_factory=Gangs)
    progress_us: int = 3600 * US  # between progress reports of a running task; no outcome depends on them
    quota: float = 0.0  # sum of the tenants' quotas in slots a second; 0: the fleet's capacity
    demand: Mapping[int, float] = field(default_factory=dict)  # by tenant: its demand relative to its share

    @property
    def capacity(self) -> float:
        """Return how many tasks of one slot the fleet can complete per second."""
        return self.workers * self.slots / self.work.mean_s

    def sizes(self) -> dict[str, float]:
        """Return the sizes that identify a run in a result file."""
        return {"workers": self.workers, "schedulers": self.schedulers, "tenants": self.tenants,
                "starts": self.starts, "running": self.starts * self.gangs.mean * self.work.mean_s,
                "slots": self.slots, "task_s": self.work.mean_s, "seconds": self.seconds, "zones": self.zones}


def fleet_of(plan: Shape) -> list[WorkerSpec]:
    """Return the workers of a shape, which differ only in number, name and zone."""
    return [WorkerSpec(n, f"w-{n:04d}", n % plan.zones, 0, plan.slots, 1.0, plan.queue)
            for n in range(1, plan.workers + 1)]


def settings_of(plan: Shape, fleet: list[WorkerSpec], number: int) -> api.Settings:
    """Return the settings of one scheduler."""
    settings = settings_for(
        fleet, plan.work, schedulers=plan.schedulers, number=number, zone=number % plan.zones)
    aims = (plan.normal_aim_us, plan.urgent_aim_us)
    return replace(
        settings,
        classes=tuple(api.JobClass(aim, plan.deadline_us, api.Effect.UNSAFE, stretch=1.0, late_worth=0.5)
                      for aim in aims),
        tenants=tuple(api.Tenant(s, s * (plan.quota or plan.capacity)) for s in shares(plan.tenants)))


class MeteredDispatcher(Dispatcher):
    """A ``Dispatcher`` that counts its steps, its events and actions by kind, and its processor time."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create a ``Dispatcher`` with all counts at zero."""
        super().__init__(settings, seed)
        self.steps = self.cpu_ns = self.looks = 0
        self.counts: dict[str, int] = {}

    def handle(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Decide as a ``Dispatcher`` does, and count."""
        began = thread_time_ns()
        actions = super().handle(now_us, events)
        self.cpu_ns += thread_time_ns() - began
        self.steps += 1
        for item in (*events, *actions):
            kind = type(item).__name__
            self.counts[kind] = self.counts.get(kind, 0) + 1
        return actions

    def _candidates(self, request: Any, candidates: Sequence[Any], limit: float, blind: bool) -> list[Any]:
        self.looks += len(candidates)  # workers examined as candidates for a job
        return super()._candidates(request, candidates, limit, blind)

    def reset(self) -> None:
        """Set all counts to zero."""
        self.steps = self.cpu_ns = self.looks = 0
        self.counts = {}


def install_meter(scheduler: Scheduler, seed: int) -> MeteredDispatcher:
    """Replace the dispatcher of a scheduler that has not decided anything yet by a metered one; return it."""
    scheduler._dispatcher = meter = MeteredDispatcher(scheduler.settings, seed)
    return meter


@dataclass(slots=True, eq=False)
class Task:
    """One task and its client, which submits it again after a refusal."""

    arrived_us: int
    identity: str
    tenant: int
    job_class: int
    slots: int
    work_s: float
    instance: "SchedulerInstance"
    tries: int = 0
    refusals: int = 0
    began_us: int = -1  # when its client learnt of its start; -1 before
    ended_us: int = -1
    end: str = ""  # served, refused, failed, died (with its scheduler), unheld (scheduler down); "" if open

    def wait_s(self) -> float:
        """Return the seconds from its arrival to its start; infinite if it has not begun."""
        return (self.began_us - self.arrived_us) / US if self.began_us >= 0 else float("inf")


class _TaskReply:
    """Receives the scheduler's answers to one try of a task."""

    __slots__ = ("identity", "task", "world")

    def __init__(self, task: Task, identity: str, world: "Installation") -> None:
        self.task, self.identity, self.world = task, identity, world

    def _record_answer(self, kind: str, *, made: bool = True) -> int:
        now = self.world.time.now_us()
        self.world.checker.job_answered(self.identity, kind, now, made)
        return now

    def _end_task(self, kind: str, now: int) -> None:
        self.task.end, self.task.ended_us = kind, now

    def served(self, result: bytes) -> None:
        """Record the result and whether it is the one that the worker sent."""
        self._end_task(
            "served", self._record_answer("served", made=result == b"posted " + self.identity.encode()))

    def refused(self, retry_after: timedelta) -> None:
        """Submit the task again later, up to the plan's number of retries and before its deadline."""
        now, task, plan = self._record_answer("refused"), self.task, self.world.plan
        task.refusals += 1
        wait = max(20_000, retry_after // timedelta(microseconds=1))
        if task.tries > plan.retries or now + wait >= task.arrived_us + plan.deadline_us:
            self._end_task("refused", now)
        else:
            self.world.time.after(wait, self.world.submit, task)

    def failed(self, reason: str) -> None:
        """Record the failure."""
        self._end_task("failed", self._record_answer("failed"))

    def began(self) -> None:
        """Record the time of the first start."""
        if self.task.began_us < 0:
            self.task.began_us = self.world.time.now_us()

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


class SchedulerInstance(Instance):
    """One scheduler of an installation, with a metered dispatcher."""

    meter: MeteredDispatcher

    def start(self) -> None:
        """Start without any state, as a new process does."""
        super().start()
        self.meter = install_meter(self.scheduler, self.world.rng.getrandbits(48))

    def kill(self) -> None:
        """Stop at once; its open tasks end as died, and their clients get no answer."""
        self.up, self.incarnation = False, self.incarnation + 1
        self.world.checker.scheduler_died(self.name)
        for request in list(self.scheduler._requests.values()):
            if isinstance(request.reply, _TaskReply):
                request.reply.task.end, request.reply.task.ended_us = "died", self.world.time.now_us()
            request.reply = None


class Installation(World):
    """A simulation of one shape."""

    plan: Shape

    def __init__(self, plan: Shape, spread: Callable[[int, Random], int] | None = None) -> None:
        """Set up; ``spread`` chooses the scheduler of a tenant's next task (default: uniformly at random)."""
        super().__init__(plan)
        self.scheduler_instances = [SchedulerInstance(self, i.number, i.stream) for i in self.instances]
        self.instances = list(self.scheduler_instances)
        self.tasks: list[Task] = []
        self._spread = spread or (lambda _, rng: rng.randrange(plan.schedulers))
        self._arrivals = Random(f"arrivals {plan.seed}")

    def draw_fleet(self, rng: Random) -> list[WorkerSpec]:
        """Return the shape's workers."""
        return fleet_of(self.plan)

    def model(self, spec: WorkerSpec) -> WorkerModel:
        """Return the model of one worker, whose running tasks report at the plan's interval."""
        model = super().model(spec)
        model.report_every(self.plan.progress_us)
        return model

    def settings(self, instance: Instance) -> api.Settings:
        """Return a scheduler's settings at its start."""
        return settings_of(self.plan, self.fleet, instance.number)

    # Clients.

    def start(self) -> None:
        """Start all schedulers, then the stream of tasks."""
        for instance in self.instances:
            instance.start()
        weights = [s * self.plan.demand.get(t, 1.0) for t, s in enumerate(shares(self.plan.tenants))]
        self._weights, self._rate = weights, self.plan.starts * sum(weights)
        self._schedule_arrival()

    def _schedule_arrival(self) -> None:
        wait = self._arrivals.expovariate(self._rate)
        if self.now_s + wait < self.plan.seconds:
            self.time.after(wait * US, self._arrive)

    def _arrive(self) -> None:
        rng, plan = self._arrivals, self.plan
        tenant = rng.choices(range(plan.tenants), self._weights)[0]
        urgent = rng.random() < plan.urgent
        slots = rng.choice(plan.gangs.widths) if rng.random() < plan.gangs.share else 1
        instance = self.scheduler_instances[self._spread(tenant, rng)]
        task = Task(self.time.now_us(), f"t{len(self.tasks)}", tenant, URGENT if urgent else NORMAL, slots,
                    plan.work.draw(rng), instance)
        self.tasks.append(task)
        self.submit(task)
        self._schedule_arrival()

    def submit(self, task: Task) -> None:
        """Submit a task to its scheduler, for the first time or again."""
        now, instance = self.time.now_us(), task.instance
        if not instance.up:
            task.end, task.ended_us = "unheld", now
            return
        task.tries += 1
        identity = f"{task.identity}.{task.tries}"
        until = task.arrived_us + self.plan.deadline_us
        self.checker.job_accepted(identity, instance.name, until)
        job = Job(identity, repr(task.work_s), b"", task.job_class, task.tenant, from_us(until - now),
                  float(task.slots))
        instance.scheduler.submit(job, _TaskReply(task, identity, self))

    # Queries.

    def arrived(self, from_s: float, to_s: float) -> list[Task]:
        """Return the tasks that arrived in a window, in seconds since the start."""
        first, last = self.began_us + from_s * US, self.began_us + to_s * US
        return [t for t in self.tasks if first <= t.arrived_us < last]

    def used_slot_share(self) -> float:
        """Return the share of the fleet's slots that is in use now."""
        return sum(m.used for m in self.models.values()) / (self.plan.workers * self.plan.slots)

    def waiting(self) -> int:
        """Return the number of tasks that wait at workers now."""
        return sum(m.waiting for m in self.models.values())

    def open_requests(self) -> list[int]:
        """Return the number of open requests of each scheduler now."""
        return [len(s.scheduler._requests) if s.up else 0 for s in self.scheduler_instances]


def quick_world(seed: int = 1, **changes: Any) -> Installation:
    """Return a small installation with tasks of a second, for tests; ``changes`` override fields."""
    shape: dict[str, Any] = {"schedulers": 2, "workers": 10, "slots": 4, "tenants": 7, "starts": 20.0,
                             "seconds": 8.0, "work": Work(1.0, 0.3, 0.0), "deadline_us": 20 * US,
                             "normal_aim_us": 2 * US}
    return Installation(Shape(seed, **{**shape, **changes}))

