"""Many real schedulers in one process and one virtual time, before one fleet of modelled workers.

A ``World`` owns time, fleet, list and clients. Each ``Instance`` is a real ``core.Scheduler`` with the real
decisions; only its transport, its list of workers and its clients are stand-ins. What happens is told to a
``RuleChecker`` and counted by the second, so that service can be read at any time of a run.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from typing import Any

from hazellead.core.clock import from_us
from hazellead.core.jobs import Attempt, Job
from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api
from hazellead.lab.checker import RuleChecker
from hazellead.lab.clients import Arriving, Stream
from hazellead.lab.fleet import US, Work, WorkerSpec, draw_fleet, settings_for
from hazellead.lab.time import VirtualTime
from hazellead.lab.worker import Life, WorkerModel
from hazellead.limits import Limits

AIM_US, STRETCH, DEADLINE_US = 100_000, 2.0, 5 * US
SLACK = 4.0  # mean jobs that a cold worker bears beyond its budget, since sizes are not told and scatter
_OPEN = {api.Phase.READY}


@dataclass(slots=True, frozen=True)
class Network:
    """One-way delays in microseconds, and how they scatter."""

    same_us: float = 250
    cross_us: float = 15_000
    client_us: float = 50
    jitter: float = 0.2
    notice_s: tuple[float, float] = (0.6, 2.5)  # from a change of a worker to the word of it
    connect_us: int = 250_000


@dataclass(slots=True, frozen=True)
class Plan:
    """One run. ``load`` is the part of the warm fleet's capacity that clients ask for."""

    seed: int
    schedulers: int = 6
    workers: int = 40
    load: float = 0.85
    seconds: float = 40.0
    work: Work = field(default_factory=Work)
    network: Network = field(default_factory=Network)
    stream: Stream = field(default_factory=lambda: Stream(1.0))
    stream_cv: float = 0.2  # how unevenly clients spread over schedulers
    retries: int = 2
    limits: Limits = field(default_factory=lambda: Limits(requests=5000))
    zones: int = 2


@dataclass(slots=True)
class Tally:
    """Jobs by their first arrival."""

    points: list[tuple[int, bool]] = field(default_factory=list)  # arrival and whether it was in time

    def share(self, from_s: float, to_s: float) -> float:
        """Return the share in time of those that came in a window; 1 if none came."""
        hits = [hit for at, hit in self.points if from_s * US <= at < to_s * US]
        return sum(hits) / len(hits) if hits else 1.0


class _Client:
    """One job and its client: answers come here; a refused job is asked for again."""

    __slots__ = ("at_us", "instance", "job", "number", "settled", "tries", "until_us")

    def __init__(self, instance: "Instance", job: Arriving, at_us: int) -> None:
        self.instance, self.job, self.at_us = instance, job, at_us
        self.until_us, self.tries, self.settled, self.number = at_us + DEADLINE_US, 0, False, 0

    def settle(self, *, in_time: bool) -> None:
        """Count the job once."""
        if not self.settled:
            self.settled = True
            self.instance.tally.points.append((self.at_us, in_time))
            self.instance.world.tally.points.append((self.at_us, in_time))


class _Reply:
    """The answers to one try."""

    __slots__ = ("client", "identity")

    def __init__(self, client: _Client, identity: str) -> None:
        self.client, self.identity = client, identity

    def _note(self, kind: str, *, made: bool = True) -> int:
        world = self.client.instance.world
        world.checker.answered(self.identity, kind, world.time.now_us(), made)
        return world.time.now_us()

    def served(self, result: bytes) -> None:
        """Count it in time or late."""
        now = self._note("served", made=result == b"posted " + self.identity.encode())
        aim = self.client.at_us + AIM_US + STRETCH * self.client.job.work_s * US
        self.client.settle(in_time=now <= aim)

    def refused(self, retry_after: timedelta) -> None:
        """Ask again later, as clients do."""
        now = self._note("refused")
        client, wait = self.client, max(20_000, retry_after // timedelta(microseconds=1))
        if client.tries > client.instance.world.plan.retries or now + wait >= client.until_us:
            client.settle(in_time=False)
        else:
            client.instance.world.time.after(wait, client.instance.ask, client)

    def failed(self, reason: str) -> None:
        """Count it as failed."""
        self._note("failed")
        self.client.settle(in_time=False)

    def began(self) -> None:
        """Do nothing."""

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


class _Ticket:
    """An attempt at a worker: carries the worker's words back over the network."""

    __slots__ = ("_attempt", "_delay", "_line", "_zone", "identity", "work_s")

    def __init__(
        self, line: "Line", attempt: Attempt, work_s: float, delay: Callable[[], float], zone: int,
    ) -> None:
        self._line, self._attempt, self._delay, self._zone = line, attempt, delay, zone
        self.identity, self.work_s = attempt.job.identity, work_s

    def _tell(self, call: Callable[..., None], *args: Any) -> None:
        self._line.world.carry(
            self._line.instance.zone, self._zone, self._delay(), self._arrive, call, args)

    def _arrive(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self._line.alive:  # a scheduler that died since hears nothing
            call(*args)

    def began(self) -> None:
        """Call back."""
        self._tell(self._attempt.began)

    def progressed(self, share: float) -> None:
        """Call back."""
        self._tell(self._attempt.progressed, share)

    def done(self) -> None:
        """Call back."""
        self._tell(self._line.end, self._attempt, api.Outcome.SERVED, b"posted " + self.identity.encode())

    def returned(self) -> None:
        """Call back."""
        self._tell(self._line.end, self._attempt, api.Outcome.FULL)

    def lost(self) -> None:
        """Call back."""
        self._tell(self._line.end, self._attempt, api.Outcome.RESET)


class Line:
    """Worker transport and list of workers for one life of an instance; carries nothing once that is over."""

    def __init__(self, instance: "Instance") -> None:
        """Carry for one life of an instance."""
        self.instance, self.world, self.time = instance, instance.world, instance.world.time
        self._life = instance.life

    @property
    def alive(self) -> bool:
        """Say whether the scheduler behind it still runs."""
        return self.instance.life == self._life

    def list_expired(self) -> bool:
        """Return False: the whole list is told at once."""
        return False

    def subscribe(self) -> None:
        """Send the whole list; changes follow as the world tells them."""
        self.time.after(1000, self._whole)

    def _whole(self) -> None:
        if self.alive:
            self.instance.tell(tuple(self.world.entries.values()), api.ListKind.FULL)

    def fetch(self) -> None:
        """Send the whole list."""
        self.subscribe()

    def name(self, worker: int) -> str:
        """Return a worker's name."""
        return self.world.models[worker].spec.name

    def _parted(self, worker: WorkerModel) -> bool:
        return self.world.parted(self.instance.zone, worker.spec.zone)

    def _delay(self, worker: WorkerModel) -> float:
        net = self.world.plan.network
        base = net.same_us if worker.spec.zone == self.instance.zone else net.cross_us
        return base * (1 + net.jitter * self.world.rng.random())

    def send(self, attempt: Attempt) -> None:
        """Open a connection where the worker lives, and write the job."""
        worker = self.world.models[attempt.worker]
        if not self.alive:
            return
        if worker.life is Life.DOWN:
            self.time.after(2 * self._delay(worker), self.end, attempt, api.Outcome.CONNECT_FAILED)
        elif worker.life is Life.SILENT or self._parted(worker):
            self.time.after(self.world.plan.network.connect_us, self.end, attempt, api.Outcome.CONNECT_FAILED)
        else:
            self._write(attempt, worker)

    def _write(self, attempt: Attempt, worker: WorkerModel) -> None:
        if not attempt.may_send():
            self.end(attempt, api.Outcome.MOOT)
            return
        self.world.checker.sent(
            attempt.job.identity, self.instance.name, worker.spec.name, self.time.now_us())
        self.time.after(self._delay(worker), self._arrive, attempt, worker)

    def _arrive(self, attempt: Attempt, worker: WorkerModel) -> None:
        delay = self._delay(worker)
        if worker.life is Life.SILENT or self._parted(worker):
            return  # its scheduler waits until the deadline
        if worker.life is Life.DOWN:
            self.time.after(delay, self.end, attempt, api.Outcome.RESET)
            return
        ticket = _Ticket(
            self, attempt, float(attempt.job.target), lambda: self._delay(worker), worker.spec.zone)
        if not worker.offer(ticket, math.ceil(attempt.job.slots)):
            self.time.after(delay, self.end, attempt, api.Outcome.FULL)

    def end(self, attempt: Attempt, outcome: api.Outcome, result: bytes = b"") -> None:
        """Report an attempt's end; the checker hears of the first only."""
        if self.alive and attempt.outcome is None:
            self.world.checker.ended(attempt.job.identity, outcome.value)
            attempt.end(outcome, result)

    def give_up(self, attempt: Attempt) -> None:
        """Tell the worker to stop."""
        if not self.alive:
            return
        worker = self.world.models[attempt.worker]
        self.world.checker.ended(attempt.job.identity, (attempt.outcome or api.Outcome.CANCELLED).value)
        self.world.carry(self.instance.zone, worker.spec.zone, self._delay(worker), worker.cancel,
                         attempt.job.identity)

    def probe(self, worker: int, done: Callable[[api.Outcome], None]) -> None:
        """Ask whether a worker lives."""
        model = self.world.models[worker]
        up = model.life in (Life.UP, Life.DRAINING) and not self._parted(model)
        wait = 2 * self._delay(model) if up else 500_000
        self.time.after(wait, done, api.Outcome.SERVED if up else api.Outcome.TIMED_OUT)

    def release(self, worker: int) -> None:
        """Do nothing: connections cost nothing here."""


class Instance:
    """One scheduler, its clients and what it is told. ``life`` counts its starts."""

    def __init__(self, world: "World", number: int, stream: Stream) -> None:
        """Set up, not started."""
        self.world, self.number, self.stream = world, number, stream
        self.name, self.zone = f"n{number}", number % world.plan.zones
        self.life, self.up = 0, False
        self.tally = Tally()
        self.scheduler: Scheduler
        self.on_start: list[Callable[[Instance], None]] = []

    def start(self) -> None:
        """Start from nothing, as a new process does."""
        world = self.world
        self.life += 1
        settings = world.settings(self)
        seed = world.rng.getrandbits(48)
        # Virtual time has the two calls of a loop that the scheduler makes.
        self.scheduler = Scheduler(
            settings, seed, world.plan.limits, world.time, world.time)  # type: ignore[arg-type]
        line = Line(self)
        self.scheduler.connect(line, line)
        self.tell(tuple(world.entries.values()), api.ListKind.FULL)
        self.up = True
        for hook in self.on_start:
            hook(self)

    def kill(self) -> None:
        """End at once; clients whose jobs it held have failed."""
        self.up, self.life = False, self.life + 1
        self.world.checker.died(self.name)
        for request in list(self.scheduler._requests.values()):
            if isinstance(request.reply, _Reply):
                request.reply.client.settle(in_time=False)
            request.reply = None

    def tell(self, entries: tuple[api.WorkerEntry, ...], kind: api.ListKind) -> None:
        """Hand over a list or changes."""
        now = self.world.time.now_us()
        for e in entries:
            self.world.checker.told(
                self.name, self.world.models[e.worker].spec.name, is_open=e.phase in _OPEN, at_us=now)
        self.scheduler.on_list(api.WorkerList(kind, entries))

    # Clients.

    def arrive(self, job: Arriving, at_us: int) -> None:
        """Take one client's job to the scheduler."""
        client = _Client(self, job, at_us)
        self.ask(client)

    def ask(self, client: _Client) -> None:
        """Ask, or ask again."""
        now = self.world.time.now_us()
        if not self.up:
            client.settle(in_time=False)
            return
        client.tries += 1
        identity = f"{client.job.identity}.{client.tries}"
        remaining = client.until_us - now
        self.world.checker.took(identity, self.name, client.until_us)
        job = Job(identity, repr(client.job.work_s), b"", 0, client.job.tenant, from_us(remaining))
        client.number = self.scheduler.submit(job, _Reply(client, identity))


class World:
    """One run of a plan."""

    def __init__(self, plan: Plan) -> None:
        """Draw fleet and clients; nothing has started."""
        self.plan, self.time, self.checker = plan, VirtualTime(), RuleChecker()
        self.rng, drawn = Random(plan.seed), Random(f"fleet {plan.seed}")
        self.began_us = self.time.now_us()
        self.fleet: list[WorkerSpec] = self.draw_fleet(drawn)
        self.models = {spec.number: self.model(spec) for spec in self.fleet}
        self.entries = {s.number: api.WorkerEntry(s.number, s.zone, s.kind) for s in self.fleet}
        self.tally = Tally()
        self.stale_us = 0  # a trouble: how much later than usual changes are told
        self._apart = frozenset[int]()  # zones that are cut off from the others
        self._stuck: list[tuple[float, Callable[..., None], tuple[Any, ...]]] = []  # what waits for the join
        capacity = sum(s.capacity for s in self.fleet) / plan.work.mean_s
        sigma = math.sqrt(math.log(1 + plan.stream_cv**2))
        parts = [drawn.lognormvariate(0, sigma) for _ in range(plan.schedulers)]
        self.instances = []
        for number in range(plan.schedulers):
            rate = plan.load * capacity * parts[number] / sum(parts)
            stream = replace(plan.stream, rate=rate, work=plan.work)
            self.instances.append(Instance(self, number, stream))

    # What other installations have otherwise.

    def draw_fleet(self, rng: Random) -> list[WorkerSpec]:
        """Return the workers."""
        return draw_fleet(self.plan.workers, rng, self.plan.zones)

    def model(self, spec: WorkerSpec) -> WorkerModel:
        """Return the model of one worker."""
        return WorkerModel(
            spec, self.time, Random(f"worker {self.plan.seed} {spec.number}"), noise=self.plan.work.noise,
            slack_s=SLACK * self.plan.work.mean_s,
            fell=self._fell, ran=lambda w, identity: self.checker.ran(identity, w.spec.name))

    def settings(self, instance: Instance) -> api.Settings:
        """Return what a scheduler is told at its start."""
        return settings_for(
            self.fleet, self.plan.work, schedulers=self.plan.schedulers, number=instance.number,
            zone=instance.zone)

    # A network in two parts.

    def parted(self, zone: int, other: int) -> bool:
        """Say whether nothing passes between two zones at present."""
        return (zone in self._apart) != (other in self._apart)

    def carry(self, zone: int, other: int, us: float, call: Callable[..., None], *args: Any) -> None:
        """Bring word from one zone to another; over a cut it waits for the join, as TCP sends again."""
        if self._apart and self.parted(zone, other):
            self._stuck.append((us, call, args))
        else:
            self.time.after(us, call, *args)

    def part(self, zones: Iterable[int]) -> None:
        """Cut these zones off from the others: no connection opens, and no word passes."""
        self._apart = frozenset(zones)

    def join(self) -> None:
        """Join them again; what was said meanwhile arrives now."""
        self._apart = frozenset()
        stuck, self._stuck = self._stuck, []
        for us, call, args in stuck:
            self.time.after(us, call, *args)

    @property
    def now_s(self) -> float:
        """Return the seconds since the run began."""
        return (self.time.now_us() - self.began_us) / US

    def at(self, second: float, call: Callable[..., Any], *args: Any) -> None:
        """Let something happen at a second of the run."""
        self.time.after(self.began_us + second * US - self.time.now_us(), call, *args)

    def start(self) -> None:
        """Start all schedulers a little apart, then their clients."""
        for instance in self.instances:
            instance.start()
            drawn = Random(f"clients {self.plan.seed} {instance.number}")
            self._feed(instance, instance.stream.draw(drawn, self.plan.seconds, f"j{instance.number}"))

    def _feed(self, instance: Instance, jobs: Any) -> None:
        job = next(jobs, None)
        if job is None:
            return

        def come() -> None:
            instance.arrive(job, self.time.now_us())
            self._feed(instance, jobs)

        self.time.after(self.began_us + job.at_us - self.time.now_us(), come)

    def run(self, more_s: float = 6.0) -> list[tuple[int, str]]:
        """Run to the end and past it until all is answered; return what broke a rule."""
        self.time.run_us(int((self.plan.seconds - self.now_s + more_s) * US))
        for tally in (self.tally, *(i.tally for i in self.instances)):
            tally.points = [(at - self.began_us, hit) for at, hit in tally.points]
        return self.checker.close(self.time.now_us())

    # What happens to workers, and the word of it.

    def change(self, worker: int, phase: api.Phase, *, after_s: float | None = None) -> None:
        """Change a worker's line in the list; every instance hears of it some time later, each in its own."""
        self.entries[worker] = replace(
            self.entries[worker], phase=phase, started_us=self.models[worker].started_us)
        for instance in self.instances:
            wait = self.rng.uniform(*self.plan.network.notice_s) if after_s is None else after_s
            self.time.after(wait * US + self.stale_us, self._hear, instance, worker)

    def _hear(self, instance: Instance, worker: int) -> None:
        # Told as it stands by then: a list never goes back to what was before.
        if instance.up:
            instance.tell((self.entries[worker],), api.ListKind.CHANGES)

    def restart_worker(self, worker: int, down_s: float = 1.0) -> None:
        """Crash a worker and start it again cold."""
        model = self.models[worker]
        model.crash()
        self.change(worker, api.Phase.GONE)
        self.time.after(down_s * US, self._back, worker)

    def _back(self, worker: int) -> None:
        self.models[worker].restart()
        self.change(worker, api.Phase.READY)

    def drain_worker(self, worker: int, gone_s: float = 3.0) -> None:
        """Let a worker drain and leave."""
        self.models[worker].drain()
        self.change(worker, api.Phase.DRAINING)
        self.time.after(gone_s * US, self._leave, worker)

    def replace_worker(self, worker: int, gone_s: float = 3.0) -> None:
        """Let a worker drain, end and start anew cold, as a release does; the list tells of each step."""
        self.models[worker].drain()
        self.change(worker, api.Phase.DRAINING)
        self.time.after(gone_s * US, self._renew, worker)

    def _renew(self, worker: int) -> None:
        self.models[worker].crash()
        self._back(worker)

    def _leave(self, worker: int) -> None:
        self.models[worker].crash()
        self.change(worker, api.Phase.GONE)

    def restart_instance(self, number: int, down_s: float = 0.5) -> None:
        """Kill a scheduler and start it again from nothing."""
        instance = self.instances[number]
        instance.kill()
        self.time.after(down_s * US, instance.start)

    def _fell(self, worker: WorkerModel) -> None:
        self.checker.fell(worker.spec.name)
        self.change(worker.spec.number, api.Phase.GONE)
        self.time.after(US, self._back, worker.spec.number)
