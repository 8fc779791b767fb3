"""Plays of whole installations in virtual time: the target, its multiples, gangs, quotas and failures."""

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
# What a deployment's limits allow one scheduler: 1,024 descriptors, as the platform gives.
OPEN_MOST = Limits.fit(1024, int(TARGET.memory_mb), 1024, Limits().connect, Limits().worker_idle).requests
CORE_US = TARGET.core_share * 1e6  # microseconds of processor time a second

# What is read of a play.


def _part(some: Sequence[object], of: Sequence[object]) -> float:
    return len(some) / len(of) if of else 0.0


def _quantile(values: Iterable[float], q: float) -> float:
    """Return a quantile of waits; a task that has not begun counts with what it has waited for at least."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else 0.0


def _waits(world: Installation, tasks: Sequence[Task]) -> list[float]:
    now = world.time.now_us()
    return [t.wait_s() if t.began_us >= 0 else max(now - t.at_us, 0) / US for t in tasks]


def _service(world: Installation, from_s: float, to_s: float) -> dict[str, Figure]:
    """Return what became of the tasks that came in a window, the urgent apart."""
    tasks = world.came(from_s, to_s)
    figures = {"tasks": Figure(len(tasks), "tasks", note=f"that came from {from_s:.0f} to {to_s:.0f} s")}
    for name, some in (("urgent", [t for t in tasks if t.job_class == URGENT]),
                       ("normal", [t for t in tasks if t.job_class != URGENT])):
        waits = _waits(world, some)
        begun = [t for t in some if t.began_us >= 0]
        figures |= {
            f"{name}_within_1s": Figure(_part([w for t, w in zip(some, waits, strict=True)
                                               if t.began_us >= 0 and w <= TARGET.urgent_s], some), "part"),
            f"{name}_wait_p50": Figure(_quantile(waits, 0.5), "s"),
            f"{name}_wait_p99": Figure(_quantile(waits, 0.99), "s",
                                       TARGET.urgent_s if name == "urgent" else None),
            f"{name}_begun": Figure(_part(begun, some), "part", note="by the end of the play"),
            f"{name}_refused_first": Figure(_part([t for t in some if t.refusals], some), "part"),
            f"{name}_refused": Figure(_part([t for t in some if t.end == "refused"], some), "part",
                                      note="after all its client's tries")}
    late = [t for t, w in zip(tasks, _waits(world, tasks), strict=True) if w > TARGET.urgent_s]
    figures["late_a_day"] = Figure(
        _part(late, tasks) * TARGET.jobs_a_day, "tasks a day",
        note="that begin after more than 1 s, if the day's jobs were all of the peak and of one task each")
    figures["late_a_peak_hour"] = Figure(_part(late, tasks) * world.plan.starts * 3600, "tasks an hour")
    figures["ended"] = Figure(sum(t.end != "" for t in tasks), "tasks")
    for end in ("served", "failed", "died"):
        figures[end] = Figure(sum(t.end == end for t in tasks), "tasks")
    return figures


def _cost(world: Installation, seconds: float) -> dict[str, Figure]:
    """Return what the decisions of a play cost a scheduler since their counts began."""
    meters = [s.meter for s in world.sites]
    mean = sum(m.cpu_ns for m in meters) / len(meters) / 1000 / seconds
    return {"decisions_cpu": Figure(mean, "us/s", CORE_US, "a scheduler, without reports of running tasks"),
            "decisions_cpu_most": Figure(max(m.cpu_ns for m in meters) / 1000 / seconds, "us/s", CORE_US)}


def _state(world: Installation) -> dict[str, Figure]:
    return {"slots_taken": Figure(world.taken(), "part"),
            "waiting_at_workers": Figure(world.waiting(), "tasks"),
            "open_most": Figure(max(world.open_requests()), "tasks", OPEN_MOST,
                                "open at one scheduler at the end; the limit is that of 1,024 descriptors")}


def _ramp_s(shape: Shape) -> float:
    """Return the seconds until as many run as will."""
    return 1.3 * shape.work.mean_s * (1 + shape.work.cv / 4)


def _close(world: Installation) -> list[str]:
    return [f"rule {rule}: {what}" for rule, what in world.checker.close(world.time.now_us())[:20]]


def _advance(world: Installation, to_s: float) -> None:
    world.time.run_us(int((to_s - world.now_s) * US))


def _reset(world: Installation) -> None:
    for site in world.sites:
        site.meter.reset()


# Runs.


def common(result: Result, scope: Scope) -> None:
    """Play a size that the real run can play, too."""
    shape = Shape(scope.seed, schedulers=2, workers=60, starts=4.0, seconds=30.0, urgent=0.2, retries=0,
                  work=Work(5.0, 0.3, 0.0), deadline_us=60 * US, normal_aim_us=5 * US)
    world = Installation(shape)
    world.start()
    _advance(world, shape.seconds + 20)
    result.run("common", "hollow", shape.sizes(), common_figures(world), scope.seed, _close(world))


def common_figures(world: Installation) -> dict[str, Figure]:
    """Return the counts that a real run of the same size has, too."""
    pushes = sum(s.meter.counts.get("Push", 0) for s in world.sites)
    return {"arrivals": Figure(len(world.tasks), "tasks"), "pushes": Figure(pushes, "pushes"),
            "starts": Figure(world.checker.postings, "tasks"),
            "ends": Figure(sum(t.end != "" for t in world.tasks), "tasks"),
            "served": Figure(world.checker.answers.get("served", 0), "tasks"),
            "refused": Figure(world.checker.answers.get("refused", 0), "tasks"),
            "wait_p50": Figure(_quantile(_waits(world, world.tasks), 0.5), "s")}


def compare(real: Run, hollow: Run) -> dict[str, tuple[float, float, float]]:
    """Return, for each figure that both have, the real one, the hollow one and the part by which they differ.

    Counts are compared for each arrival, where both have arrivals: the two do not draw the same clients.
    """
    found = {}
    for name in sorted(real.figures.keys() & hollow.figures.keys()):
        values = []
        for run in (real, hollow):
            figure = run.figures[name]
            arrivals = run.figures.get("arrivals")
            each = arrivals and figure.unit in ("tasks", "pushes") and name != "arrivals"
            values.append(figure.value / (arrivals.value or 1) if arrivals and each else figure.value)
        most = max(abs(v) for v in values)
        found[name] = (values[0], values[1], (values[1] - values[0]) / most if most else 0.0)
    return found


def _play(
    shape: Shape, ramp_s: float, window_s: float, after_s: float,
) -> tuple[Installation, dict[str, Figure]]:
    """Play to a steady state and through a window; arrivals go on after it, so that its waits can be seen."""
    world = Installation(replace(shape, seconds=ramp_s + window_s + after_s))
    world.start()
    _advance(world, ramp_s)
    _reset(world)
    _advance(world, ramp_s + window_s)
    figures = _cost(world, window_s) | _state(world)
    _advance(world, ramp_s + window_s + after_s)
    return world, figures | _service(world, ramp_s, ramp_s + window_s)


def target(result: Result, scope: Scope) -> None:
    """Play the target with one scheduler and with all, on three seeds each."""
    for schedulers in (1, scope.shape().schedulers):
        for seed in scope.seeds:
            shape = scope.shape(seed, schedulers=schedulers)
            ramp = _ramp_s(shape)
            world, figures = _play(shape, ramp, 60.0 if not scope.small else 10.0, 0.25 * shape.work.mean_s)
            name = "target, one scheduler" if schedulers == 1 else "target"
            result.run(name, "hollow", world.plan.sizes(), figures, seed, _close(world))
            scope.say(f"  {name} (seed {seed}): urgent within 1 s {figures['urgent_within_1s'].value:.3f}, "
                      f"taken {figures['slots_taken'].value:.2f}")


def multiples(result: Result, scope: Scope) -> None:
    """Play twice and ten times the target."""
    for name, times in (("double", 2), ("tenfold", 10)):
        if scope.small and times == 10:
            continue
        base = scope.shape()
        shape = replace(base, workers=base.workers * times, starts=base.starts * times,
                        tenants=min(2 * base.tenants, 182), schedulers=2 * base.schedulers)
        window = 20.0 if times == 2 else 6.0
        # At ten times a second is long: played until nearly as many run as will, and for a few seconds more.
        ramp = _ramp_s(shape) if times == 2 else 1.05 * shape.work.mean_s
        world, figures = _play(shape, ramp, window, 0.05 * shape.work.mean_s)
        # A running task reports each second: a few seconds of that are enough for its cost.
        for model in world.models.values():
            model.report_every(US)
        _reset(world)
        spent = 3.0 if times == 2 else 1.5
        _advance(world, world.now_s + spent)
        figures["decisions_cpu_reports"] = _with_note(
            _cost(world, spent)["decisions_cpu"], "a scheduler, each running task reporting once a second")
        result.run(name, "hollow", world.plan.sizes(), figures, scope.seed, _close(world))
        scope.say(f"  {name}: urgent within 1 s {figures['urgent_within_1s'].value:.3f}, "
                  f"open at one scheduler {figures['open_most'].value:.0f}")
    if scope.small:
        result.gap("hollow: tenfold", "left out at small sizes")
    else:
        result.gap("hollow: tenfold beyond a window of 6 s", "a play of minutes at that size takes minutes")


def _with_note(figure: Figure, note: str) -> Figure:
    """Return a figure with another note."""
    return Figure(figure.value, figure.unit, figure.limit, note)


def gangs(result: Result, scope: Scope) -> None:
    """Play with a tenth of the tasks as gangs, on workers of 10 and of 40 slots, idle and loaded.

    As many slots and as many slots asked for a second as at the target, with tasks of a fifth of the length.
    """
    total, task_s, span = (80, 5.0, 30.0) if scope.small else (980, 30.0, 180.0)
    mixed, wide = Gangs(0.1), Gangs(0.1, (TARGET.gang,))
    few = scope.shape().schedulers
    plays = [(slots, load, mixed, few) for slots in (10, 40) for load in (0.1, 0.86)]
    for slots, load, mix, schedulers in [*plays, (40, 0.1, wide, 1), (40, 0.1, wide, few)]:
        workers = max(2, total // slots)
        shape = scope.shape(
            workers=workers, slots=slots, gangs=mix, work=Work(task_s, 0.3, 0.0), schedulers=schedulers,
            normal_aim_us=int(0.4 * task_s * US), starts=load * workers * slots / task_s / mix.mean)
        world = Installation(replace(shape, seconds=span))
        world.start()
        _advance(world, span + 2 * task_s)
        name = f"gangs{' of 32' if mix is wide else ''}, {slots} slots, load {load:g}"
        name += ", one scheduler" if schedulers == 1 else ""
        result.run(name, "hollow", world.plan.sizes(), _by_width(world, mix, task_s), scope.seed,
                   _close(world))


def _by_width(world: Installation, gangs: Gangs, from_s: float) -> dict[str, Figure]:
    tasks = world.came(from_s, world.plan.seconds)
    single = [t for t in tasks if t.slots == 1]
    figures = {"urgent_within_1s_of_one_slot": Figure(
        _part([t for t in single if t.job_class == URGENT and t.wait_s() <= TARGET.urgent_s],
              [t for t in single if t.job_class == URGENT]), "part")}
    for width in gangs.widths:
        some = [t for t in tasks if t.slots == width]
        figures |= {
            f"tasks_{width}": Figure(len(some), "tasks"),
            f"begun_{width}": Figure(_part([t for t in some if t.began_us >= 0], some), "part"),
            f"refused_first_{width}": Figure(_part([t for t in some if t.refusals], some), "part"),
            f"refused_{width}": Figure(_part([t for t in some if t.end == "refused"], some), "part"),
            f"wait_p50_{width}": Figure(_quantile([t.wait_s() for t in some if t.began_us >= 0], 0.5), "s")}
    return figures


def gang_thresholds(result: Result, scope: Scope) -> None:
    """Find the first width that is refused, by a tenant's rank, on workers that take every task.

    Only the tenants' counters decide there. A width is asked for at a scheduler that has seen none wider than
    one slot, and again once a like one has been seen and the counters have been sized anew.
    """
    target = scope.shape()
    ranks = (0, target.tenants - 1)
    for word, schedulers, starts in (("idle", 1, 0.0), ("idle", target.schedulers, 0.0),
                                     ("loaded", target.schedulers, target.starts)):
        shape = scope.shape(schedulers=schedulers, starts=starts)
        figures = {}
        for rank in ranks:
            part = shares(shape.tenants)[rank]
            note = f"tenant with {part:.4f} of the service; 0: none up to {TARGET.gang}"
            for seen in (False, True):
                name = f"first_refused_{'seen' if seen else 'unseen'}_{rank}"
                figures[name] = Figure(_first_refused(_Asking(shape, rank, seen)), "slots", note=note)
        which = ", one scheduler" if schedulers == 1 else ""
        result.run(f"gang thresholds, {word}{which}", "hollow", shape.sizes(), figures, scope.seed)


@dataclass(slots=True, frozen=True)
class _Asking:
    """Asks a fresh scheduler for a gang of a tenant's, and says whether it is taken in."""

    shape: Shape
    tenant: int
    seen: bool  # a like one was asked for before

    def __call__(self, width: int) -> bool:
        alone = SchedulerHarness(self.shape)
        if self.shape.starts:
            alone.start_arrivals()
        rest = int(1.4 * self.shape.work.mean_s * US)  # in which counters are sized anew
        alone.time.run_us(rest if self.shape.starts else 20 * US)
        if self.seen:
            alone.submit_task(self.tenant, width)
            alone.time.run_us(rest)
        return alone.submit_task(self.tenant, width)


def _first_refused(takes: Callable[[int], bool]) -> int:
    """Return the least width that is refused, by halving: who takes one takes all narrower; 0 if none is."""
    low, high = 1, TARGET.gang  # one slot is taken
    if takes(high):
        return 0
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if takes(middle) else (low, middle)
    return high


@dataclass(slots=True, frozen=True)
class _OfTeam:
    """Sends the first tenant's tasks where ``spread`` says and all others' anywhere."""

    spread: Callable[[Random], int]
    schedulers: int

    def __call__(self, tenant: int, rng: Random) -> int:
        return self.spread(rng) if tenant == 0 else rng.randrange(self.schedulers)


def quotas(result: Result, scope: Scope) -> None:
    """One team's tasks spread unevenly over the schedulers, with more asked for than the fleet can do."""
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
    for demand, word in ((0.8, "inside"), (3.0, "beyond")):
        for name, spread in spreads.items():
            if word == "inside" and name == "4:1":
                continue  # between the other two
            # The others ask for a tenth more than their quotas.
            others = 1.1
            shape = replace(base, starts=others * base.capacity, demand={0: demand / others},
                            seconds=2 * task_s + window_s)
            world = Installation(shape, _OfTeam(spread, n))
            world.start()
            _advance(world, shape.seconds)
            first = 2 * task_s
            tasks = world.came(first, shape.seconds)
            team = [t for t in tasks if t.tenant == 0]
            rest = [t for t in tasks if t.tenant != 0]
            span = window_s
            figures = {
                "asked_over_quota": Figure(len(team) / span / quota, "part"),
                "begun_over_quota": Figure(sum(t.began_us >= 0 for t in team) / span / quota, "part"),
                "begun_over_asked": Figure(_part([t for t in team if t.began_us >= 0], team), "part"),
                "others_begun_over_asked": Figure(_part([t for t in rest if t.began_us >= 0], rest), "part"),
                "refused_first": Figure(_part([t for t in team if t.refusals], team), "part"),
                "slots_taken": Figure(world.taken(), "part")}
            result.run(f"quota, {word}, {name}", "hollow", world.plan.sizes(), figures, scope.seed,
                       _close(world))


def _trouble(scope: Scope, more_s: float) -> tuple[Installation, float]:
    """Return an installation in a steady state, and when that is."""
    shape = scope.shape()
    ramp = _ramp_s(shape)
    world = Installation(replace(shape, seconds=ramp + 20 + more_s))
    world.start()
    _advance(world, ramp + 20)
    return world, ramp + 20


def _cut_s(scope: Scope) -> float:
    return CUT_S if not scope.small else 5.0


def _in_time(world: Installation, from_s: float, to_s: float) -> Figure:
    tasks = world.came(from_s, to_s)
    begun = [t for t in tasks if t.wait_s() <= TARGET.urgent_s]
    return Figure(_part(begun, tasks), "part", note="begun within 1 s of those that came")


def _fates(tasks: Sequence[Task], now_us: int) -> dict[str, Figure]:
    """Return what has become of tasks that a failure met."""
    figures = {"met": Figure(len(tasks), "tasks", note="that the failure met")}
    for end in ("served", "failed", "died", "refused", "unheld"):
        figures[f"met_{end}"] = Figure(sum(t.end == end for t in tasks), "tasks")
    figures["met_open"] = Figure(sum(t.end == "" for t in tasks), "tasks", note="at the end of the play")
    answered = [(t.ended_us - t.at_us) / US for t in tasks if t.end == "failed"]
    figures["met_failed_after_p50"] = Figure(median(answered) if answered else 0.0, "s",
                                             note="from its arrival to the answer that it failed")
    return figures


def killed(result: Result, scope: Scope) -> None:
    """Kill one scheduler, and start it again a second later."""
    cut = _cut_s(scope)
    world, at = _trouble(scope, cut + 2)
    held = [t for t in world.tasks if t.instance is world.sites[0] and not t.end]
    world.restart_instance(0, 1.0)
    _advance(world, at + cut + 2)
    figures = _fates(held, world.time.now_us()) | {
        "in_time_before": _in_time(world, at - 20, at),
        "in_time_after": _in_time(world, at + 1, at + 1 + cut)}
    result.run("scheduler killed", "hollow", world.plan.sizes(), figures, scope.seed, _close(world))


def zone(result: Result, scope: Scope) -> None:
    """Cut a zone off for a minute; and let one lose power, whose workers come back cold with nothing."""
    for name, power in (("zone cut off", False), ("zone without power", True)):
        cut = _cut_s(scope)
        world, at = _trouble(scope, 2 * cut)
        lost = [m for m in world.models.values() if m.spec.zone == 1]
        numbers = {m.spec.number for m in lost}
        met = _running_at(world, numbers)
        for m in lost:
            m.vanish()
            world.change(m.spec.number, api.Phase.GONE, after_s=world.rng.uniform(6.3, 12.0))
        _advance(world, at + cut)
        for m in lost:
            if power:
                m.restart()
            else:
                m.come_back()
            world.change(m.spec.number, api.Phase.READY)
        _advance(world, at + 2 * cut)
        told = min(12.0, cut / 2)  # by then the list says so everywhere
        figures = {"in_time_before": _in_time(world, at - 20, at),
                   "in_time_until_told": _in_time(world, at, at + told),
                   "in_time_while": _in_time(world, at + told, at + cut),
                   "in_time_after": _in_time(world, at + cut, at + 2 * cut)}
        # Nothing more comes; what the failure met is followed to its deadline.
        _advance(world, at + 2 * cut + world.plan.deadline_us / US)
        result.run(name, "hollow", world.plan.sizes(), _fates(met, world.time.now_us()) | figures, scope.seed,
                   _close(world))


def _running_at(world: Installation, workers: set[int]) -> list[Task]:
    """Return the tasks that their schedulers have out at some workers."""
    found = []
    by_identity = {f"{t.identity}.{t.tries}": t for t in world.tasks if not t.end}
    for site in world.sites:
        for request in site.scheduler._requests.values():
            if any(a.outcome is None and a.worker in workers for a in request.attempts):
                found.append(by_identity[request.job.identity])
    return found


def region(result: Result, scope: Scope) -> None:
    """Cut the two regions off from each other, schedulers and workers, for a minute."""
    cut = _cut_s(scope)
    world, at = _trouble(scope, 2 * cut)
    zones = range(world.plan.zones // 2)
    apart = {s.number: {m.spec.number for m in world.models.values()
                        if (m.spec.zone in zones) != (s.zone in zones)} for s in world.sites}
    met = [t for t in world.tasks if not t.end]
    crossing = set[str]()
    for site in world.sites:
        for request in site.scheduler._requests.values():
            if any(a.outcome is None and a.worker in apart[site.number] for a in request.attempts):
                crossing.add(request.job.identity)
    met = [t for t in met if f"{t.identity}.{t.tries}" in crossing]
    world.part(zones)
    _reset(world)
    _advance(world, at + cut)
    failed = sum(s.meter.counts.get("AttemptEnded", 0) for s in world.sites)
    pushes = sum(s.meter.counts.get("Push", 0) for s in world.sites)
    came = len(world.came(at, at + cut))
    world.join()
    _advance(world, at + 2 * cut)
    figures = {"in_time_before": _in_time(world, at - 20, at),
               "in_time_first_10s": _in_time(world, at, at + min(10.0, cut / 2)),
               "in_time_while": _in_time(world, at + min(10.0, cut / 2), at + cut),
               "in_time_after": _in_time(world, at + cut, at + 2 * cut),
               "pushes_an_arrival": Figure(pushes / max(1, came), "1/arrival", note="while cut"),
               "attempts_ended": Figure(failed, "attempts", note="while cut")}
    _advance(world, at + 2 * cut + world.plan.deadline_us / US)
    came_cut = [t for t in world.tasks if at * US <= t.at_us - world.began_us < (at + cut) * US]
    figures["came_failed"] = Figure(sum(t.end == "failed" for t in came_cut), "tasks", note="came while cut")
    figures["came_refused"] = Figure(sum(t.end == "refused" for t in came_cut), "tasks")
    result.run("regions cut", "hollow", world.plan.sizes(), _fates(met, world.time.now_us()) | figures,
               scope.seed, _close(world))


def members_cut(result: Result, scope: Scope) -> None:
    """Cut eighteen members in two for a minute, on a network that loses a twentieth of what is sent."""
    members = 6 if scope.small else 18
    loss, cut = 0.05, 20.0 if scope.small else CUT_S
    shape = with_short_tasks(scope.shape(schedulers=members, workers=10 if scope.small else 60), 5.0)
    talk = Members(shape, MeshNetwork(loss=loss))
    talk.warm()
    talk.join()
    joined = talk.seconds_to_agree(60)
    talk.measure(3)
    calm = talk.measure(6)
    wrong_at_rest = len(talk.mesh.deaths)
    began = talk.time.now_us()
    talk.mesh.part([f"n{n}" for n in range(members // 2)])
    while_cut = talk.measure(cut)
    deaths = [at for at, _, _ in talk.mesh.deaths if at >= began]
    sent = [p.sent_bytes for p in talk.peers]
    talk.mesh.heal()
    agreed = talk.seconds_to_agree(120)
    spent = max(10.0, agreed if math.isfinite(agreed) else 120.0)
    talk.measure(spent - min(spent, agreed))
    after = [(p.sent_bytes - old) / spent for p, old in zip(talk.peers, sent, strict=True)]
    alike = talk.seconds_to_share_facts(60)
    figures = {
        "joined": Figure(joined, "s", note="until all counted all"),
        "deaths_at_rest": Figure(wrong_at_rest, "deaths", 0, "declared of members that were there"),
        "first_death": Figure((min(deaths) - began) / US if deaths else math.inf, "s",
                              note="after the cut; the other side lives on"),
        "all_dead": Figure((max(deaths) - began) / US if deaths else math.inf, "s"),
        "deaths": Figure(len(deaths), "deaths", note="said by one of another"),
        "agreed_again": Figure(agreed, "s", note="after the join, until all counted all"),
        "alike_again": Figure(alike, "s", note="until all knew what each had told by then"),
        "bytes_before": Figure(calm.bytes_out, "B/s", TARGET.traffic_b, "sent by one member"),
        "bytes_while_cut": Figure(while_cut.bytes_out, "B/s", TARGET.traffic_b),
        "bytes_after": Figure(sum(after) / len(after), "B/s", TARGET.traffic_b, "in the 10 s after the join"),
        "most_bytes_after": Figure(max(after), "B/s", TARGET.traffic_b, "of one member")}
    sizes = {"members": members, "workers": shape.workers, "starts": shape.starts, "loss": loss,
             "cut_s": cut}
    result.run(f"members cut, loss {loss:g}", "hollow", sizes, _finite(figures), scope.seed)


def _finite(figures: Mapping[str, Figure]) -> dict[str, Figure]:
    """Return figures with what never came about as -1: the file's numbers are finite."""
    return {k: f if math.isfinite(f.value) else Figure(-1, f.unit, f.limit, f"never. {f.note}")
            for k, f in figures.items()}
