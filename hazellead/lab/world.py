"""Many real schedulers in one process and one virtual time, with one fleet of modelled workers.

A ``World`` owns the time, the fleet, the list of workers and the clients. Each ``Instance`` is a real
``core.Scheduler`` with the real decisions; only its transport, its list of workers and its clients are
stand-ins. A ``RuleChecker`` receives every event. A ``Tally`` records when each job arrived and whether it
was served in time, so that the quality of service can be read for any window of a run.
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
from hazellead.lab.clients import ClientJob, Stream
from hazellead.lab.fleet import US, Work, WorkerSpec, draw_fleet, settings_for
from hazellead.lab.time import VirtualTime
from hazellead.lab.worker import WorkerModel, WorkerState
from hazellead.limits import Limits

AIM_US, STRETCH, DEADLINE_US = 100_000, 2.0, 5 * US
# Mean jobs that a cold worker bears beyond its limit: schedulers don't know the sizes of jobs, which vary.
COLD_SLACK_JOBS = 4.0
_AVAILABLE_PHASES = {api.Phase.READY}


@dataclass(slots=True, frozen=True)
class Network:
    """One-way delays in microseconds, and their variation; ``jitter`` adds up to that part of a delay."""

    same_zone_us: float = 250
    cross_zone_us: float = 15_000
    client_us: float = 50
    jitter: float = 0.2
    notice_s: tuple[float, float] = (0.6, 2.5)  # from a worker's change to its announcement
    connect_us: int = 250_000


@dataclass(slots=True, frozen=True)
class Plan:
    """Parameters of one run. ``load`` is the part of the warm fleet's capacity that clients ask for."""

    seed: int
    schedulers: int = 6
    workers: int = 40
    load: float = 0.85
    seconds: float = 40.0
    work: Work = field(default_factory=Work)
    network: Network = field(default_factory=Network)
    stream: Stream = field(default_factory=lambda: Stream(1.0))
    scheduler_load_cv: float = 0.2  # coefficient of variation of the schedulers' rates
    retries: int = 2
    limits: Limits = field(default_factory=lambda: Limits(requests=5000))
    zones: int = 2


@dataclass(slots=True)
class Tally:
    """Whether each job was served in time, by its first arrival."""

    arrivals: list[tuple[int, bool]] = field(default_factory=list)  # arrival in microseconds, served in time

    def on_time_share(self, from_s: float, to_s: float) -> float:
        """Return the share, served in time, of the jobs that arrived in a window; 1 if none arrived."""
        on_time = [in_time for at, in_time in self.arrivals if from_s * US <= at < to_s * US]
        return sum(on_time) / len(on_time) if on_time else 1.0


class _Client:
    """One job and its client, who submits a refused job again."""

    __slots__ = ("at_us", "attempts", "deadline_us", "instance", "job", "number", "settled")

    def __init__(self, instance: "Instance", job: ClientJob, at_us: int) -> None:
        self.instance, self.job, self.at_us = instance, job, at_us
        self.deadline_us, self.attempts, self.settled, self.number = at_us + DEADLINE_US, 0, False, 0

    def settle(self, *, in_time: bool) -> None:
        """Add the job to the tallies, once."""
        if not self.settled:
            self.settled = True
            self.instance.tally.arrivals.append((self.at_us, in_time))
            self.instance.world.tally.arrivals.append((self.at_us, in_time))


class _Reply:
    """Receives the answers to one submission of a job."""

    __slots__ = ("client", "identity")

    def __init__(self, client: _Client, identity: str) -> None:
        self.client, self.identity = client, identity

    def _record_answer(self, kind: str, *, from_worker: bool = True) -> int:
        world = self.client.instance.world
        world.checker.job_answered(self.identity, kind, world.time.now_us(), from_worker)
        return world.time.now_us()

    def served(self, result: bytes) -> None:
        """Count the job as in time or late."""
        now = self._record_answer("served", from_worker=result == b"posted " + self.identity.encode())
        aim = self.client.at_us + AIM_US + STRETCH * self.client.job.work_s * US
        self.client.settle(in_time=now <= aim)

    def refused(self, retry_after: timedelta) -> None:
        """Submit the job again after ``retry_after``, unless its retries or its time run out."""
        now = self._record_answer("refused")
        client, wait = self.client, max(20_000, retry_after // timedelta(microseconds=1))
        if client.attempts > client.instance.world.plan.retries or now + wait >= client.deadline_us:
            client.settle(in_time=False)
        else:
            client.instance.world.time.after(wait, client.instance.submit, client)

    def failed(self, reason: str) -> None:
        """Count the job as not served in time."""
        self._record_answer("failed")
        self.client.settle(in_time=False)

    def began(self) -> None:
        """Do nothing."""

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


class _Ticket:
    """An attempt at a worker: delivers the worker's reports to the scheduler over the network."""

    __slots__ = ("_attempt", "_delay", "_transport", "_zone", "identity", "work_s")

    def __init__(
        self, transport: "WorkerTransport", attempt: Attempt, work_s: float, delay: Callable[[], float],
        zone: int,
    ) -> None:
        self._transport, self._attempt, self._delay, self._zone = transport, attempt, delay, zone
        self.identity, self.work_s = attempt.job.identity, work_s

    def _send_back(self, call: Callable[..., None], *args: Any) -> None:
        self._transport.world.deliver(
            self._transport.instance.zone, self._zone, self._delay(), self._arrive, call, args)

    def _arrive(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self._transport.alive:  # the scheduler may have been killed meanwhile
            call(*args)

    def began(self) -> None:
        """Report the start to the scheduler."""
        self._send_back(self._attempt.began)

    def progressed(self, share: float) -> None:
        """Report the progress to the scheduler."""
        self._send_back(self._attempt.progressed, share)

    def done(self) -> None:
        """Report the result to the scheduler."""
        self._send_back(
            self._transport.end, self._attempt, api.Outcome.SERVED, b"posted " + self.identity.encode())

    def returned(self) -> None:
        """End the attempt: the worker did not start the job."""
        self._send_back(self._transport.end, self._attempt, api.Outcome.FULL)

    def lost(self) -> None:
        """End the attempt: the worker crashed."""
        self._send_back(self._transport.end, self._attempt, api.Outcome.RESET)


class WorkerTransport:
    """Worker transport and list of workers for one incarnation of an instance; inactive after its end."""

    def __init__(self, instance: "Instance") -> None:
        """Bind to the instance's current incarnation."""
        self.instance, self.world, self.time = instance, instance.world, instance.world.time
        self._incarnation = instance.incarnation

    @property
    def alive(self) -> bool:
        """Return whether the scheduler that uses this transport still runs."""
        return self.instance.incarnation == self._incarnation

    def list_expired(self) -> bool:
        """Return False: the full list is available from the start."""
        return False

    def subscribe(self) -> None:
        """Send the full list; the world announces changes to it."""
        self.time.after(1000, self._send_full_list)

    def _send_full_list(self) -> None:
        if self.alive:
            self.instance.deliver_list(tuple(self.world.entries.values()), api.ListKind.FULL)

    def fetch(self) -> None:
        """Send the full list."""
        self.subscribe()

    def name(self, worker: int) -> str:
        """Return a worker's name."""
        return self.world.models[worker].spec.name

    def _is_partitioned(self, worker: WorkerModel) -> bool:
        return self.world.is_partitioned(self.instance.zone, worker.spec.zone)

    def _delay(self, worker: WorkerModel) -> float:
        net = self.world.plan.network
        base = net.same_zone_us if worker.spec.zone == self.instance.zone else net.cross_zone_us
        return base * (1 + net.jitter * self.world.rng.random())

    def send(self, attempt: Attempt) -> None:
        """Send the job if the worker can be reached; else end the attempt as a failed connection."""
        worker = self.world.models[attempt.worker]
        if not self.alive:
            return
        if worker.state is WorkerState.DOWN:
            self.time.after(2 * self._delay(worker), self.end, attempt, api.Outcome.CONNECT_FAILED)
        elif worker.state is WorkerState.DISCONNECTED or self._is_partitioned(worker):
            self.time.after(self.world.plan.network.connect_us, self.end, attempt, api.Outcome.CONNECT_FAILED)
        else:
            self._write(attempt, worker)

    def _write(self, attempt: Attempt, worker: WorkerModel) -> None:
        if not attempt.may_send():
            self.end(attempt, api.Outcome.MOOT)
            return
        self.world.checker.attempt_sent(
            attempt.job.identity, self.instance.name, worker.spec.name, self.time.now_us())
        self.time.after(self._delay(worker), self._arrive, attempt, worker)

    def _arrive(self, attempt: Attempt, worker: WorkerModel) -> None:
        delay = self._delay(worker)
        if worker.state is WorkerState.DISCONNECTED or self._is_partitioned(worker):
            return  # no answer comes: the scheduler waits until the deadline
        if worker.state is WorkerState.DOWN:
            self.time.after(delay, self.end, attempt, api.Outcome.RESET)
            return
        ticket = _Ticket(
            self, attempt, float(attempt.job.target), lambda: self._delay(worker), worker.spec.zone)
        if not worker.offer(ticket, math.ceil(attempt.job.slots)):
            self.time.after(delay, self.end, attempt, api.Outcome.FULL)

    def end(self, attempt: Attempt, outcome: api.Outcome, result: bytes = b"") -> None:
        """Report an attempt's end to the scheduler and the checker, unless it has ended already."""
        if self.alive and attempt.outcome is None:
            self.world.checker.attempt_ended(attempt.job.identity, outcome.value)
            attempt.end(outcome, result)

    def give_up(self, attempt: Attempt) -> None:
        """Cancel the attempt's job at its worker."""
        if not self.alive:
            return
        worker = self.world.models[attempt.worker]
        self.world.checker.attempt_ended(
            attempt.job.identity, (attempt.outcome or api.Outcome.CANCELLED).value)
        self.world.deliver(self.instance.zone, worker.spec.zone, self._delay(worker), worker.cancel,
                         attempt.job.identity)

    def probe(self, worker: int, done: Callable[[api.Outcome], None]) -> None:
        """Check whether a worker can be reached; pass the outcome to ``done``."""
        model = self.world.models[worker]
        up = model.state in (WorkerState.UP, WorkerState.DRAINING) and not self._is_partitioned(model)
        wait = 2 * self._delay(model) if up else 500_000
        self.time.after(wait, done, api.Outcome.SERVED if up else api.Outcome.TIMED_OUT)

    def release(self, worker: int) -> None:
        """Do nothing: the model has no idle connections to close."""


class Instance:
    """One scheduler with its clients and workers. ``incarnation`` changes at each start and each kill."""

    def __init__(self, world: "World", number: int, stream: Stream) -> None:
        """Set up the instance without starting it."""
        self.world, self.number, self.stream = world, number, stream
        self.name, self.zone = f"n{number}", number % world.plan.zones
        self.incarnation, self.up = 0, False
        self.tally = Tally()
        self.scheduler: Scheduler
        self.on_start: list[Callable[[Instance], None]] = []

    def start(self) -> None:
        """Start without any state, as a new process does."""
        world = self.world
        self.incarnation += 1
        settings = world.settings(self)
        seed = world.rng.getrandbits(48)
        # VirtualTime implements the two methods of an IOLoop that the scheduler calls.
        self.scheduler = Scheduler(
            settings, seed, world.plan.limits, world.time, world.time)  # type: ignore[arg-type]
        transport = WorkerTransport(self)
        self.scheduler.connect(transport, transport)
        self.deliver_list(tuple(world.entries.values()), api.ListKind.FULL)
        self.up = True
        for hook in self.on_start:
            hook(self)

    def kill(self) -> None:
        """Kill the scheduler; its clients' open jobs count as not served in time."""
        self.up, self.incarnation = False, self.incarnation + 1
        self.world.checker.scheduler_died(self.name)
        for request in list(self.scheduler._requests.values()):
            if isinstance(request.reply, _Reply):
                request.reply.client.settle(in_time=False)
            request.reply = None

    def deliver_list(self, entries: tuple[api.WorkerEntry, ...], kind: api.ListKind) -> None:
        """Deliver a full list of workers, or changes to it."""
        now = self.world.time.now_us()
        for e in entries:
            self.world.checker.worker_announced(
                self.name, self.world.models[e.worker].spec.name,
                available=e.phase in _AVAILABLE_PHASES, at_us=now)
        self.scheduler.on_list(api.WorkerList(kind, entries))

    # Clients.

    def arrive(self, job: ClientJob, at_us: int) -> None:
        """Submit a client's job that arrives now."""
        client = _Client(self, job, at_us)
        self.submit(client)

    def submit(self, client: _Client) -> None:
        """Submit a client's job, for the first time or again; it fails if the scheduler is down."""
        now = self.world.time.now_us()
        if not self.up:
            client.settle(in_time=False)
            return
        client.attempts += 1
        identity = f"{client.job.identity}.{client.attempts}"
        remaining = client.deadline_us - now
        self.world.checker.job_accepted(identity, self.name, client.deadline_us)
        job = Job(identity, repr(client.job.work_s), b"", 0, client.job.tenant, from_us(remaining))
        client.number = self.scheduler.submit(job, _Reply(client, identity))


class World:
    """One run of a plan: its time, fleet, schedulers and clients."""

    def __init__(self, plan: Plan) -> None:
        """Draw the fleet and the clients' rates; ``start`` starts the schedulers."""
        self.plan, self.time, self.checker = plan, VirtualTime(), RuleChecker()
        self.rng, drawn = Random(plan.seed), Random(f"fleet {plan.seed}")
        self.began_us = self.time.now_us()
        self.fleet: list[WorkerSpec] = self.draw_fleet(drawn)
        self.models = {spec.number: self.model(spec) for spec in self.fleet}
        self.entries = {s.number: api.WorkerEntry(s.number, s.zone, s.kind) for s in self.fleet}
        self.tally = Tally()
        self.extra_notice_us = 0  # additional delay of announcements, which a simulated fault may set
        self._cut_off_zones = frozenset[int]()  # those on one side of a partition
        self._undelivered: list[tuple[float, Callable[..., None], tuple[Any, ...]]] = []  # until ``heal``
        capacity = sum(s.capacity for s in self.fleet) / plan.work.mean_s
        sigma = math.sqrt(math.log(1 + plan.scheduler_load_cv**2))
        weights = [drawn.lognormvariate(0, sigma) for _ in range(plan.schedulers)]
        self.instances = []
        for number in range(plan.schedulers):
            rate = plan.load * capacity * weights[number] / sum(weights)
            stream = replace(plan.stream, rate=rate, work=plan.work)
            self.instances.append(Instance(self, number, stream))

    # To be overridden by worlds of other installations.

    def draw_fleet(self, rng: Random) -> list[WorkerSpec]:
        """Return the workers' specifications, drawn with ``rng``."""
        return draw_fleet(self.plan.workers, rng, self.plan.zones)

    def model(self, spec: WorkerSpec) -> WorkerModel:
        """Return a model of the worker."""
        return WorkerModel(
            spec, self.time, Random(f"worker {self.plan.seed} {spec.number}"), noise=self.plan.work.noise,
            slack_s=COLD_SLACK_JOBS * self.plan.work.mean_s,
            on_cold_crash=self._cold_worker_crashed,
            on_job_start=lambda w, identity: self.checker.job_started(identity, w.spec.name))

    def settings(self, instance: Instance) -> api.Settings:
        """Return the settings of a scheduler."""
        return settings_for(
            self.fleet, self.plan.work, schedulers=self.plan.schedulers, number=instance.number,
            zone=instance.zone)

    # Network partitions.

    def is_partitioned(self, zone: int, other: int) -> bool:
        """Return whether two zones are cut off from each other at present."""
        return (zone in self._cut_off_zones) != (other in self._cut_off_zones)

    def deliver(self, zone: int, other: int, us: float, call: Callable[..., None], *args: Any) -> None:
        """Call ``call`` after ``us``; in a partition, only after ``heal``, as TCP retransmits."""
        if self._cut_off_zones and self.is_partitioned(zone, other):
            self._undelivered.append((us, call, args))
        else:
            self.time.after(us, call, *args)

    def partition(self, zones: Iterable[int]) -> None:
        """Cut these zones off from the others: no connection opens, and nothing is delivered."""
        self._cut_off_zones = frozenset(zones)

    def heal(self) -> None:
        """End the partition, and deliver what was sent meanwhile."""
        self._cut_off_zones = frozenset()
        undelivered, self._undelivered = self._undelivered, []
        for us, call, args in undelivered:
            self.time.after(us, call, *args)

    @property
    def now_s(self) -> float:
        """Return the seconds since the run began."""
        return (self.time.now_us() - self.began_us) / US

    def at(self, second: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call at a second of the run."""
        self.time.after(self.began_us + second * US - self.time.now_us(), call, *args)

    def start(self) -> None:
        """Start each scheduler and its clients."""
        for instance in self.instances:
            instance.start()
            drawn = Random(f"clients {self.plan.seed} {instance.number}")
            self._schedule_arrivals(
                instance, instance.stream.draw(drawn, self.plan.seconds, f"j{instance.number}"))

    def _schedule_arrivals(self, instance: Instance, jobs: Any) -> None:
        job = next(jobs, None)
        if job is None:
            return

        def submit_and_continue() -> None:
            instance.arrive(job, self.time.now_us())
            self._schedule_arrivals(instance, jobs)

        self.time.after(self.began_us + job.at_us - self.time.now_us(), submit_and_continue)

    def run(self, extra_s: float = 6.0) -> list[tuple[int, str]]:
        """Run to the end of the plan and ``extra_s`` longer, for late answers; return the violations."""
        self.time.run_us(int((self.plan.seconds - self.now_s + extra_s) * US))
        for tally in (self.tally, *(i.tally for i in self.instances)):
            tally.arrivals = [(at - self.began_us, in_time) for at, in_time in tally.arrivals]
        return self.checker.finish(self.time.now_us())

    # Changes of workers, and their announcement.

    def set_phase(self, worker: int, phase: api.Phase, *, after_s: float | None = None) -> None:
        """Set a worker's phase in the list; each instance is told after a delay of its own or ``after_s``."""
        self.entries[worker] = replace(
            self.entries[worker], phase=phase, started_us=self.models[worker].started_us)
        for instance in self.instances:
            wait = self.rng.uniform(*self.plan.network.notice_s) if after_s is None else after_s
            self.time.after(wait * US + self.extra_notice_us, self._announce, instance, worker)

    def _announce(self, instance: Instance, worker: int) -> None:
        # The entry as it is by now: an announcement never reverts a list to an older state.
        if instance.up:
            instance.deliver_list((self.entries[worker],), api.ListKind.CHANGES)

    def restart_worker(self, worker: int, down_s: float = 1.0) -> None:
        """Crash a worker and start it again, cold, after ``down_s``."""
        model = self.models[worker]
        model.crash()
        self.set_phase(worker, api.Phase.GONE)
        self.time.after(down_s * US, self._restart_model, worker)

    def _restart_model(self, worker: int) -> None:
        self.models[worker].restart()
        self.set_phase(worker, api.Phase.READY)

    def drain_worker(self, worker: int, drain_s: float = 3.0) -> None:
        """Drain a worker; end it and take it off the list after ``drain_s``."""
        self.models[worker].drain()
        self.set_phase(worker, api.Phase.DRAINING)
        self.time.after(drain_s * US, self._remove, worker)

    def replace_worker(self, worker: int, drain_s: float = 3.0) -> None:
        """Drain a worker and restart it cold after ``drain_s``, as a release does; each step is announced."""
        self.models[worker].drain()
        self.set_phase(worker, api.Phase.DRAINING)
        self.time.after(drain_s * US, self._restart_drained, worker)

    def _restart_drained(self, worker: int) -> None:
        self.models[worker].crash()
        self._restart_model(worker)

    def _remove(self, worker: int) -> None:
        self.models[worker].crash()
        self.set_phase(worker, api.Phase.GONE)

    def restart_instance(self, number: int, down_s: float = 0.5) -> None:
        """Kill a scheduler and start it again, without any state, after ``down_s``."""
        instance = self.instances[number]
        instance.kill()
        self.time.after(down_s * US, instance.start)

    def _cold_worker_crashed(self, worker: WorkerModel) -> None:
        self.checker.cold_worker_crashed(worker.spec.name)
        self.set_phase(worker.spec.number, api.Phase.GONE)
        self.time.after(US, self._restart_model, worker.spec.number)
