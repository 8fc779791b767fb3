"""Simulated installations in virtual time: the target, its multiples, gangs, quotas and failures."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random
from statistics import median

from hazellead.decide import interface as api
from hazellead.lab.capacity.alone import SchedulerHarness
from hazellead.lab.capacity.hollow_scope import Scope
from hazellead.lab.capacity.members import Members, with_short_tasks
from hazellead.lab.capacity.result import Figure, Result, Run
from hazellead.lab.capacity.target import TARGET
from hazellead.lab.capacity.virtual_world import URGENT, Gangs, Installation, Shape, Task, shares
from hazellead.lab.fleet import US, Work
from hazellead.lab.mesh import MeshNetwork
from hazellead.limits import Limits

CUT_S = 60.0
# Open requests of one scheduler under a deployment's limits, with the platform's 1,024 descriptors.
MAX_OPEN_REQUESTS = Limits.fit(
    1024, int(TARGET.memory_mb), 1024, Limits().connect, Limits().worker_idle).requests
CORE_US = TARGET.core_share * 1e6  # microseconds of processor time a second

# Figures of a simulation.


def _fraction(selected: Sequence[object], whole: Sequence[object]) -> float:
    return len(selected) / len(whole) if whole else 0.0


def _quantile(values: Iterable[float], quantile: float) -> float:
    """Return a quantile of values, the largest for a quantile of 1; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0


def _waits(world: Installation, tasks: Sequence[Task]) -> list[float]:
    """Return each task's wait in seconds; of one that has not begun, its wait so far."""
    now = world.time.now_us()
    return [t.wait_s() if t.began_us >= 0 else max(now - t.arrived_us, 0) / US for t in tasks]


def _service_figures(world: Installation, from_s: float, to_s: float) -> dict[str, Figure]:
    """Return waits and outcomes of the tasks that arrived in a window, urgent and normal ones separately."""
    tasks = world.arrived(from_s, to_s)
    figures = {"tasks": Figure(len(tasks), "tasks", note=f"that arrived from {from_s:.0f} to {to_s:.0f} s")}
    for name, selected in (("urgent", [t for t in tasks if t.job_class == URGENT]),
                           ("normal", [t for t in tasks if t.job_class != URGENT])):
        waits = _waits(world, selected)
        begun = [t for t in selected if t.began_us >= 0]
        figures |= {
            f"{name}_within_1s": Figure(
                _fraction([w for t, w in zip(selected, waits, strict=True)
                           if t.began_us >= 0 and w <= TARGET.urgent_s], selected), "part"),
            f"{name}_wait_p50": Figure(_quantile(waits, 0.5), "s"),
            f"{name}_wait_p99": Figure(_quantile(waits, 0.99), "s",
                                       TARGET.urgent_s if name == "urgent" else None),
            f"{name}_begun": Figure(_fraction(begun, selected), "part", note="by the end of the simulation"),
            f"{name}_refused_first": Figure(_fraction([t for t in selected if t.refusals], selected), "part"),
            f"{name}_refused": Figure(
                _fraction([t for t in selected if t.end == "refused"], selected), "part",
                note="after all its client's tries")}
    late = [t for t, w in zip(tasks, _waits(world, tasks), strict=True) if w > TARGET.urgent_s]
    figures["late_a_day"] = Figure(
        _fraction(late, tasks) * TARGET.jobs_a_day, "tasks a day",
        note="that begin after more than 1 s, if all jobs of the day came at the peak with one task each")
    figures["late_a_peak_hour"] = Figure(_fraction(late, tasks) * world.plan.starts * 3600, "tasks an hour")
    figures["ended"] = Figure(sum(t.end != "" for t in tasks), "tasks")
    for end in ("served", "failed", "died"):
        figures[end] = Figure(sum(t.end == end for t in tasks), "tasks")
    return figures


def _cost_figures(world: Installation, seconds: float) -> dict[str, Figure]:
    """Return the processor time of decisions per scheduler, over the seconds since the meters were reset."""
    meters = [s.meter for s in world.scheduler_instances]
    mean = sum(m.cpu_ns for m in meters) / len(meters) / 1000 / seconds
    return {"decisions_cpu": Figure(mean, "us/s", CORE_US, "a scheduler, without reports of running tasks"),
            "decisions_cpu_most": Figure(max(m.cpu_ns for m in meters) / 1000 / seconds, "us/s", CORE_US)}


def _state_figures(world: Installation) -> dict[str, Figure]:
    return {"slots_taken": Figure(world.used_slot_share(), "part"),
            "waiting_at_workers": Figure(world.waiting(), "tasks"),
            "open_most": Figure(max(world.open_requests()), "tasks", MAX_OPEN_REQUESTS,
                                "open at one scheduler at the end; the limit is for 1,024 descriptors")}


def _ramp_s(shape: Shape) -> float:
    """Return the seconds until the number of running tasks is steady."""
    return 1.3 * shape.work.mean_s * (1 + shape.work.cv / 4)


def _violations(world: Installation) -> list[str]:
    return [f"rule {rule}: {what}" for rule, what in world.checker.finish(world.time.now_us())[:20]]


def _advance(world: Installation, to_s: float) -> None:
    world.time.run_us(int((to_s - world.now_s) * US))


def _reset_meters(world: Installation) -> None:
    for instance in world.scheduler_instances:
        instance.meter.reset()


# Runs.


def common(result: Result, scope: Scope) -> None:
    """Simulate a size that the real run can also reach."""
    shape = Shape(scope.seed, schedulers=2, workers=60, starts=4.0, seconds=30.0, urgent=0.2, retries=0,
                  work=Work(5.0, 0.3, 0.0), deadline_us=60 * US, normal_aim_us=5 * US)
    world = Installation(shape)
    world.start()
    _advance(world, shape.seconds + 20)
    result.run("common", "hollow", shape.sizes(), common_figures(world), scope.seed, _violations(world))


def common_figures(world: Installation) -> dict[str, Figure]:
    """Return the figures that a real run of the same size also has."""
    pushes = sum(s.meter.counts.get("Push", 0) for s in world.scheduler_instances)
    return {"arrivals": Figure(len(world.tasks), "tasks"), "pushes": Figure(pushes, "pushes"),
            "starts": Figure(world.checker.job_starts, "tasks"),
            "ends": Figure(sum(t.end != "" for t in world.tasks), "tasks"),
            "served": Figure(world.checker.answers.get("served", 0), "tasks"),
            "refused": Figure(world.checker.answers.get("refused", 0), "tasks"),
            "wait_p50": Figure(_quantile(_waits(world, world.tasks), 0.5), "s")}


def compare(real: Run, hollow: Run) -> dict[str, tuple[float, float, float]]:
    """Return the real value, the hollow value and their relative difference for each figure of both runs.

    The difference is relative to the larger of the two. Counts are divided by the run's arrivals, because the
    two runs do not draw the same arrivals.
    """
    found = {}
    for name in sorted(real.figures.keys() & hollow.figures.keys()):
        values = []
        for run in (real, hollow):
            figure = run.figures[name]
            arrivals = run.figures.get("arrivals")
            per_arrival = arrivals and figure.unit in ("tasks", "pushes") and name != "arrivals"
            values.append(figure.value / (arrivals.value or 1) if arrivals and per_arrival else figure.value)
        largest = max(abs(v) for v in values)
        found[name] = (values[0], values[1], (values[1] - values[0]) / largest if largest else 0.0)
    return found


def _simulate(
    shape: Shape, ramp_s: float, window_s: float, after_s: float,
) -> tuple[Installation, dict[str, Figure]]:
    """Simulate a ramp, a measured window and a time after it, in which the window's tasks can still begin.

    Arrivals continue to the end.
    """
    world = Installation(replace(shape, seconds=ramp_s + window_s + after_s))
    world.start()
    _advance(world, ramp_s)
    _reset_meters(world)
    _advance(world, ramp_s + window_s)
    figures = _cost_figures(world, window_s) | _state_figures(world)
    _advance(world, ramp_s + window_s + after_s)
    return world, figures | _service_figures(world, ramp_s, ramp_s + window_s)


def target(result: Result, scope: Scope) -> None:
    """Simulate the target with one scheduler and with all of them, with three seeds each."""
    for schedulers in (1, scope.shape().schedulers):
        for seed in scope.seeds:
            shape = scope.shape(seed, schedulers=schedulers)
            ramp = _ramp_s(shape)
            world, figures = _simulate(
                shape, ramp, 60.0 if not scope.small else 10.0, 0.25 * shape.work.mean_s)
            name = "target, one scheduler" if schedulers == 1 else "target"
            result.run(name, "hollow", world.plan.sizes(), figures, seed, _violations(world))
            scope.say(f"  {name} (seed {seed}): urgent within 1 s {figures['urgent_within_1s'].value:.3f}, "
                      f"taken {figures['slots_taken'].value:.2f}")


def multiples(result: Result, scope: Scope) -> None:
    """Simulate twice and ten times the target."""
    for name, times in (("double", 2), ("tenfold", 10)):
        if scope.small and times == 10:
            continue
        base = scope.shape()
        shape = replace(base, workers=base.workers * times, starts=base.starts * times,
                        tenants=min(2 * base.tenants, 182), schedulers=2 * base.schedulers)
        window = 20.0 if times == 2 else 6.0
        # At ten times the target a simulated second takes long: the ramp stops just before the steady state.
        ramp = _ramp_s(shape) if times == 2 else 1.05 * shape.work.mean_s
        world, figures = _simulate(shape, ramp, window, 0.05 * shape.work.mean_s)
        # Each running task reports once a second; a few seconds suffice to measure the cost of that.
        for model in world.models.values():
            model.report_every(US)
        _reset_meters(world)
        measured_s = 3.0 if times == 2 else 1.5
        _advance(world, world.now_s + measured_s)
        figures["decisions_cpu_reports"] = _with_note(
            _cost_figures(world, measured_s)["decisions_cpu"],
            "a scheduler, each running task reporting once a second")
        result.run(name, "hollow", world.plan.sizes(), figures, scope.seed, _violations(world))
        scope.say(f"  {name}: urgent within 1 s {figures['urgent_within_1s'].value:.3f}, "
                  f"open at one scheduler {figures['open_most'].value:.0f}")
    if scope.small:
        result.gap("hollow: tenfold", "left out at small sizes")
    else:
        result.gap("hollow: tenfold beyond a window of 6 s", "simulating minutes at that size takes minutes")


def _with_note(figure: Figure, note: str) -> Figure:
    """Return a figure with another note."""
    return Figure(figure.value, figure.unit, figure.limit, note)


def gangs(result: Result, scope: Scope) -> None:
    """Simulate a tenth of the tasks as gangs, on workers of 10 and of 40 slots, lightly and heavily loaded.

    The fleet has a fifth of the target's slots and tasks a fifth as long, so that at the same load as many
    slots are requested per second.
    """
    total, task_s, span = (80, 5.0, 30.0) if scope.small else (980, 30.0, 180.0)
    mixed, widest = Gangs(0.1), Gangs(0.1, (TARGET.gang,))
    all_schedulers = scope.shape().schedulers
    cases = [(slots, load, mixed, all_schedulers) for slots in (10, 40) for load in (0.1, 0.86)]
    for slots, load, mix, schedulers in [*cases, (40, 0.1, widest, 1), (40, 0.1, widest, all_schedulers)]:
        workers = max(2, total // slots)
        shape = scope.shape(
            workers=workers, slots=slots, gangs=mix, work=Work(task_s, 0.3, 0.0), schedulers=schedulers,
            normal_aim_us=int(0.4 * task_s * US), starts=load * workers * slots / task_s / mix.mean)
        world = Installation(replace(shape, seconds=span))
        world.start()
        _advance(world, span + 2 * task_s)
        name = f"gangs{' of 32' if mix is widest else ''}, {slots} slots, load {load:g}"
        name += ", one scheduler" if schedulers == 1 else ""
        result.run(name, "hollow", world.plan.sizes(), _by_width(world, mix, task_s), scope.seed,
                   _violations(world))


def _by_width(world: Installation, gangs: Gangs, from_s: float) -> dict[str, Figure]:
    tasks = world.arrived(from_s, world.plan.seconds)
    single = [t for t in tasks if t.slots == 1]
    figures = {"urgent_within_1s_of_one_slot": Figure(
        _fraction([t for t in single if t.job_class == URGENT and t.wait_s() <= TARGET.urgent_s],
                  [t for t in single if t.job_class == URGENT]), "part")}
    for width in gangs.widths:
        selected = [t for t in tasks if t.slots == width]
        figures |= {
            f"tasks_{width}": Figure(len(selected), "tasks"),
            f"begun_{width}": Figure(_fraction([t for t in selected if t.began_us >= 0], selected), "part"),
            f"refused_first_{width}": Figure(
                _fraction([t for t in selected if t.refusals], selected), "part"),
            f"refused_{width}": Figure(
                _fraction([t for t in selected if t.end == "refused"], selected), "part"),
            f"wait_p50_{width}": Figure(
                _quantile([t.wait_s() for t in selected if t.began_us >= 0], 0.5), "s")}
    return figures


def gang_thresholds(result: Result, scope: Scope) -> None:
    """Find the smallest gang that is refused, by a tenant's rank, on workers that accept every task.

    With such workers, only the tenants' token banks and job buffers decide on refusals. Each width is tried
    at a scheduler that has seen only tasks of one slot, and at one that has seen a gang of that width and has
    resized the banks and buffers since.
    """
    target = scope.shape()
    ranks = (0, target.tenants - 1)
    for load_name, schedulers, starts in (("idle", 1, 0.0), ("idle", target.schedulers, 0.0),
                                          ("loaded", target.schedulers, target.starts)):
        shape = scope.shape(schedulers=schedulers, starts=starts)
        figures = {}
        for rank in ranks:
            share = shares(shape.tenants)[rank]
            note = f"tenant with {share:.4f} of the service; 0: none up to {TARGET.gang}"
            for seen in (False, True):
                name = f"first_refused_{'seen' if seen else 'unseen'}_{rank}"
                figures[name] = Figure(
                    _first_refused_width(_GangAdmission(shape, rank, seen)), "slots", note=note)
        suffix = ", one scheduler" if schedulers == 1 else ""
        result.run(f"gang thresholds, {load_name}{suffix}", "hollow", shape.sizes(), figures, scope.seed)


@dataclass(slots=True, frozen=True)
class _GangAdmission:
    """Submits a tenant's gang to a new scheduler and returns whether it is accepted."""

    shape: Shape
    tenant: int
    seen: bool  # whether a gang of the same width is submitted before

    def __call__(self, width: int) -> bool:
        alone = SchedulerHarness(self.shape)
        if self.shape.starts:
            alone.start_arrivals()
        resize_us = int(1.4 * self.shape.work.mean_s * US)  # long enough for banks and buffers to be resized
        alone.time.run_us(resize_us if self.shape.starts else 20 * US)
        if self.seen:
            alone.submit_task(self.tenant, width)
            alone.time.run_us(resize_us)
        return alone.submit_task(self.tenant, width)


def _first_refused_width(admits: Callable[[int], bool]) -> int:
    """Return the smallest width that is refused, by bisection; 0 if none is refused.

    Assumes that whoever admits one width admits all narrower ones.
    """
    low, high = 1, TARGET.gang  # one slot is always admitted
    if admits(high):
        return 0
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if admits(middle) else (low, middle)
    return high


@dataclass(slots=True, frozen=True)
class _FirstTenantRouting:
    """Routes the first tenant's tasks by ``spread`` and all others uniformly at random."""

    spread: Callable[[Random], int]
    schedulers: int

    def __call__(self, tenant: int, rng: Random) -> int:
        return self.spread(rng) if tenant == 0 else rng.randrange(self.schedulers)


def quotas(result: Result, scope: Scope) -> None:
    """Simulate excess demand, with one tenant's tasks spread evenly or unevenly over the schedulers."""
    base = scope.shape()
    n = base.schedulers
    window_s = 20.0 if scope.small else 45.0
    spreads: Mapping[str, Callable[[Random], int]] = {
        "one": lambda _: 0,
        "4:1": lambda rng: 0 if rng.random() < 0.8 else rng.randrange(1, n),
        "even": lambda rng: rng.randrange(n)}
    task_s = 5.0 if scope.small else 30.0
    base = replace(base, workers=20 if scope.small else 98, work=Work(task_s, 0.3, 0.0),
                   normal_aim_us=int(0.4 * task_s * US))
    quota = shares(base.tenants)[0] * base.capacity
    for demand, demand_name in ((0.8, "inside"), (3.0, "beyond")):
        for name, spread in spreads.items():
            if demand_name == "inside" and name == "4:1":
                continue  # lies between the other two
            # The other tenants demand a tenth more than their quotas.
            others_demand = 1.1
            shape = replace(base, starts=others_demand * base.capacity, demand={0: demand / others_demand},
                            seconds=2 * task_s + window_s)
            world = Installation(shape, _FirstTenantRouting(spread, n))
            world.start()
            _advance(world, shape.seconds)
            first = 2 * task_s
            tasks = world.arrived(first, shape.seconds)
            tenant_tasks = [t for t in tasks if t.tenant == 0]
            other_tasks = [t for t in tasks if t.tenant != 0]
            span = window_s
            figures = {
                "asked_over_quota": Figure(len(tenant_tasks) / span / quota, "part"),
                "begun_over_quota": Figure(sum(t.began_us >= 0 for t in tenant_tasks) / span / quota, "part"),
                "begun_over_asked": Figure(
                    _fraction([t for t in tenant_tasks if t.began_us >= 0], tenant_tasks), "part"),
                "others_begun_over_asked": Figure(
                    _fraction([t for t in other_tasks if t.began_us >= 0], other_tasks), "part"),
                "refused_first": Figure(
                    _fraction([t for t in tenant_tasks if t.refusals], tenant_tasks), "part"),
                "slots_taken": Figure(world.used_slot_share(), "part")}
            result.run(f"quota, {demand_name}, {name}", "hollow", world.plan.sizes(), figures, scope.seed,
                       _violations(world))


def _steady_installation(scope: Scope, more_s: float) -> tuple[Installation, float]:
    """Return an installation in a steady state and its time in seconds; arrivals go on for ``more_s``."""
    shape = scope.shape()
    ramp = _ramp_s(shape)
    world = Installation(replace(shape, seconds=ramp + 20 + more_s))
    world.start()
    _advance(world, ramp + 20)
    return world, ramp + 20


def _cut_s(scope: Scope) -> float:
    return CUT_S if not scope.small else 5.0


def _in_time(world: Installation, from_s: float, to_s: float) -> Figure:
    tasks = world.arrived(from_s, to_s)
    begun = [t for t in tasks if t.wait_s() <= TARGET.urgent_s]
    return Figure(_fraction(begun, tasks), "part", note="begun within 1 s, of those that arrived")


def _outcome_figures(tasks: Sequence[Task], now_us: int) -> dict[str, Figure]:
    """Return the outcomes of tasks that were affected by a failure."""
    figures = {"met": Figure(len(tasks), "tasks", note="affected by the failure")}
    for end in ("served", "failed", "died", "refused", "unheld"):
        figures[f"met_{end}"] = Figure(sum(t.end == end for t in tasks), "tasks")
    figures["met_open"] = Figure(
        sum(t.end == "" for t in tasks), "tasks", note="at the end of the simulation")
    answered = [(t.ended_us - t.arrived_us) / US for t in tasks if t.end == "failed"]
    figures["met_failed_after_p50"] = Figure(median(answered) if answered else 0.0, "s",
                                             note="from a task's arrival to the answer that it failed")
    return figures


def killed(result: Result, scope: Scope) -> None:
    """Kill one scheduler and restart it a second later."""
    cut = _cut_s(scope)
    world, at = _steady_installation(scope, cut + 2)
    open_tasks = [t for t in world.tasks if t.instance is world.scheduler_instances[0] and not t.end]
    world.restart_instance(0, 1.0)
    _advance(world, at + cut + 2)
    figures = _outcome_figures(open_tasks, world.time.now_us()) | {
        "in_time_before": _in_time(world, at - 20, at),
        "in_time_after": _in_time(world, at + 1, at + 1 + cut)}
    result.run("scheduler killed", "hollow", world.plan.sizes(), figures, scope.seed, _violations(world))


def zone(result: Result, scope: Scope) -> None:
    """Cut off a zone for a minute; in another run its workers lose power and restart cold, without jobs."""
    for name, power_lost in (("zone cut off", False), ("zone without power", True)):
        cut = _cut_s(scope)
        world, at = _steady_installation(scope, 2 * cut)
        zone_workers = [m for m in world.models.values() if m.spec.zone == 1]
        worker_numbers = {m.spec.number for m in zone_workers}
        affected = _tasks_with_attempts_at(world, worker_numbers)
        for m in zone_workers:
            m.disconnect()
            world.set_phase(m.spec.number, api.Phase.GONE, after_s=world.rng.uniform(6.3, 12.0))
        _advance(world, at + cut)
        for m in zone_workers:
            if power_lost:
                m.restart()
            else:
                m.reconnect()
            world.set_phase(m.spec.number, api.Phase.READY)
        _advance(world, at + 2 * cut)
        detection_s = min(12.0, cut / 2)  # by then every scheduler's list shows the workers as gone
        figures = {"in_time_before": _in_time(world, at - 20, at),
                   "in_time_until_told": _in_time(world, at, at + detection_s),
                   "in_time_while": _in_time(world, at + detection_s, at + cut),
                   "in_time_after": _in_time(world, at + cut, at + 2 * cut)}
        # No more arrivals: continue until the affected tasks have reached their deadlines.
        _advance(world, at + 2 * cut + world.plan.deadline_us / US)
        result.run(name, "hollow", world.plan.sizes(),
                   _outcome_figures(affected, world.time.now_us()) | figures, scope.seed, _violations(world))


def _tasks_with_attempts_at(world: Installation, workers: set[int]) -> list[Task]:
    """Return the tasks with an open attempt at one of the workers, given by number."""
    found = []
    by_identity = {f"{t.identity}.{t.tries}": t for t in world.tasks if not t.end}
    for instance in world.scheduler_instances:
        for request in instance.scheduler._requests.values():
            if any(a.outcome is None and a.worker in workers for a in request.attempts):
                found.append(by_identity[request.job.identity])
    return found


def region(result: Result, scope: Scope) -> None:
    """Cut the two regions off from each other for a minute, both schedulers and workers."""
    cut = _cut_s(scope)
    world, at = _steady_installation(scope, 2 * cut)
    zones = range(world.plan.zones // 2)
    unreachable = {s.number: {m.spec.number for m in world.models.values()
                              if (m.spec.zone in zones) != (s.zone in zones)}
                   for s in world.scheduler_instances}
    affected = [t for t in world.tasks if not t.end]
    crossing = set[str]()
    for instance in world.scheduler_instances:
        for request in instance.scheduler._requests.values():
            if any(a.outcome is None and a.worker in unreachable[instance.number] for a in request.attempts):
                crossing.add(request.job.identity)
    affected = [t for t in affected if f"{t.identity}.{t.tries}" in crossing]
    world.partition(zones)
    _reset_meters(world)
    _advance(world, at + cut)
    failed = sum(s.meter.counts.get("AttemptEnded", 0) for s in world.scheduler_instances)
    pushes = sum(s.meter.counts.get("Push", 0) for s in world.scheduler_instances)
    arrived = len(world.arrived(at, at + cut))
    world.heal()
    _advance(world, at + 2 * cut)
    figures = {"in_time_before": _in_time(world, at - 20, at),
               "in_time_first_10s": _in_time(world, at, at + min(10.0, cut / 2)),
               "in_time_while": _in_time(world, at + min(10.0, cut / 2), at + cut),
               "in_time_after": _in_time(world, at + cut, at + 2 * cut),
               "pushes_an_arrival": Figure(pushes / max(1, arrived), "1/arrival", note="while cut"),
               "attempts_ended": Figure(failed, "attempts", note="while cut")}
    _advance(world, at + 2 * cut + world.plan.deadline_us / US)
    arrived_in_cut = [t for t in world.tasks if at * US <= t.arrived_us - world.began_us < (at + cut) * US]
    figures["came_failed"] = Figure(
        sum(t.end == "failed" for t in arrived_in_cut), "tasks", note="arrived while cut")
    figures["came_refused"] = Figure(sum(t.end == "refused" for t in arrived_in_cut), "tasks")
    result.run("regions cut", "hollow", world.plan.sizes(),
               _outcome_figures(affected, world.time.now_us()) | figures, scope.seed, _violations(world))


def members_cut(result: Result, scope: Scope) -> None:
    """Cut eighteen peers into two halves for a minute, on a network that loses 5 % of the messages."""
    members = 6 if scope.small else 18
    loss, cut = 0.05, 20.0 if scope.small else CUT_S
    shape = with_short_tasks(scope.shape(schedulers=members, workers=10 if scope.small else 60), 5.0)
    group = Members(shape, MeshNetwork(loss=loss))
    group.warm()
    group.join()
    joined = group.seconds_to_agree(60)
    group.measure(3)
    steady = group.measure(6)
    false_deaths = len(group.mesh.deaths)
    cut_at_us = group.time.now_us()
    group.mesh.partition([f"n{n}" for n in range(members // 2)])
    while_cut = group.measure(cut)
    deaths = [at for at, _, _ in group.mesh.deaths if at >= cut_at_us]
    sent = [p.sent_bytes for p in group.peers]
    group.mesh.heal()
    agreed = group.seconds_to_agree(120)
    measured_s = max(10.0, agreed if math.isfinite(agreed) else 120.0)
    group.measure(measured_s - min(measured_s, agreed))
    after = [(p.sent_bytes - sent_before) / measured_s
             for p, sent_before in zip(group.peers, sent, strict=True)]
    converged = group.seconds_to_share_facts(60)
    figures = {
        "joined": Figure(joined, "s", note="until every member saw all others alive"),
        "deaths_at_rest": Figure(false_deaths, "deaths", 0, "declared of members that were alive"),
        "first_death": Figure((min(deaths) - cut_at_us) / US if deaths else math.inf, "s",
                              note="after the cut; the other side is alive"),
        "all_dead": Figure((max(deaths) - cut_at_us) / US if deaths else math.inf, "s"),
        "deaths": Figure(len(deaths), "deaths", note="declared by one member of another"),
        "agreed_again": Figure(agreed, "s", note="after the heal, until every member saw all others alive"),
        "alike_again": Figure(converged, "s", note="until each member had the others' facts as of then"),
        "bytes_before": Figure(steady.bytes_out, "B/s", TARGET.traffic_b, "sent by one member"),
        "bytes_while_cut": Figure(while_cut.bytes_out, "B/s", TARGET.traffic_b),
        "bytes_after": Figure(sum(after) / len(after), "B/s", TARGET.traffic_b, "in the 10 s after the heal"),
        "most_bytes_after": Figure(max(after), "B/s", TARGET.traffic_b, "of one member")}
    sizes = {"members": members, "workers": shape.workers, "starts": shape.starts, "loss": loss,
             "cut_s": cut}
    result.run(f"members cut, loss {loss:g}", "hollow", sizes, _finite(figures), scope.seed)


def _finite(figures: Mapping[str, Figure]) -> dict[str, Figure]:
    """Replace infinite values (events that never happened) by -1: a result file has only finite numbers."""
    return {k: f if math.isfinite(f.value) else Figure(-1, f.unit, f.limit, f"never. {f.note}")
            for k, f in figures.items()}
