"""Sweeps in virtual time: one scheduler, or members that talk, along one axis with all else held."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from hazellead.lab.capacity.alone import SchedulerHarness, reachable_bytes, trace_memory
from hazellead.lab.capacity.hollow_scope import Scope
from hazellead.lab.capacity.members import Members, digest_size, with_short_tasks
from hazellead.lab.capacity.result import Figure, Result
from hazellead.lab.capacity.virtual_world import Gangs, Shape
from hazellead.lab.fleet import US

Row = dict[str, tuple[float, str]]  # quantities with their units

# Sweeps.


def _note(
    result: Result, role: str, axis: str, found: Mapping[float, Sequence[Mapping[str, tuple[float, str]]]],
    held: Mapping[str, float],
) -> None:
    """Add one sweep for each quantity that the plays gave."""
    rows = next(iter(found.values()))
    for quantity, (_, unit) in rows[0].items():
        result.sweep(role, quantity, unit, axis, "hollow",
                     {size: [row[quantity][0] for row in plays] for size, plays in found.items()}, **held)


def _window(alone: SchedulerHarness, seconds: float) -> dict[str, tuple[float, str]]:
    c = alone.measure(seconds)
    return {
        "decisions_cpu": (c.decisions_ns / 1000 / seconds, "us/s"),
        "decisions_cpu_arrival": (c.decisions_ns / 1000 / max(1, c.arrivals), "us/arrival"),
        "core_cpu": (c.total_ns / 1000 / seconds, "us/s"),  # decisions, core and stand-ins
        "events": (c.events / seconds, "1/s"), "actions": (c.actions / seconds, "1/s"),
        "steps": (c.steps / seconds, "1/s"), "timers": (c.counts.get("SetTimer", 0) / seconds, "1/s"),
        "looks": (c.looks / max(1, c.arrivals), "1/arrival")}


def _sizes(shape: Shape, leave: str) -> dict[str, float]:
    keep = {"workers": float(shape.workers), "running": shape.starts * shape.work.mean_s * shape.gangs.mean,
            "starts": shape.starts, "tenants": float(shape.tenants), "schedulers": float(shape.schedulers)}
    return {k: v for k, v in keep.items() if k != leave}


def _along(scope: Scope, axis: str, size: float, base: Shape) -> Shape:
    """Return the shape of one size along an axis; all else, and quotas over what is asked, as in ``base``.

    Without that a sweep of starts or of gangs would be one of refusals.
    """
    shape = _at(axis, size, base)
    over = base.capacity / base.starts
    return replace(shape, quota=over * shape.starts * shape.gangs.mean)


def _at(axis: str, size: float, base: Shape) -> Shape:
    running = base.starts * base.work.mean_s
    if axis == "running":
        return replace(base, work=replace(base.work, mean_s=size / base.starts))
    if axis == "starts":
        return replace(base, starts=size, work=replace(base.work, mean_s=running / size))
    if axis == "gang":
        return replace(base, gangs=Gangs(0.1, (int(size),)))
    return replace(base, **{axis: int(size)})  # type: ignore[arg-type]


def _axes(scope: Scope) -> dict[str, tuple[float, ...]]:
    if scope.small:
        return {"workers": (10, 20, 40, 80), "running": (15, 30, 60, 120), "tenants": (2, 4, 7, 14),
                "schedulers": (1, 2, 3, 6)}
    return {"workers": (60, 250, 490, 1000), "running": (500, 1050, 2100, 4200, 8400),
            "starts": (7, 14, 28, 56), "tenants": (7, 45, 91, 182), "schedulers": (1, 3, 9, 18),
            "gang": (1, 4, 16, 32)}


def costs(result: Result, scope: Scope) -> None:
    """One scheduler's work along each axis, with reports of running tasks once a second."""
    seconds = 6.0 if not scope.small else 4.0
    for axis, sizes in _axes(scope).items():
        found: dict[float, list[Row]] = {}
        for size in sizes:
            for seed in scope.seeds[:2]:
                alone = SchedulerHarness(_along(scope, axis, size, scope.shape(seed)))
                alone.ramp()
                found.setdefault(size, []).append(_window(alone, seconds))
        _note(result, "scheduler", axis, found, _sizes(scope.shape(), axis))


def changes(result: Result, scope: Scope) -> None:
    """One scheduler's work by changes a minute: of the list of workers, and of its settings."""
    seconds = 8.0 if not scope.small else 4.0
    for role, sizes in (("discovery", (0, 20, 120, 600, 2400)), ("configuration", (0, 20, 60, 120, 240))):
        found: dict[float, list[Row]] = {}
        for size in sizes:
            for seed in scope.seeds[:2]:
                alone = SchedulerHarness(scope.shape(seed))
                alone.ramp()
                (alone.change_lists if role == "discovery" else alone.change_settings)(size)
                found.setdefault(size, []).append(_window(alone, seconds))
        _note(result, role, "changes", found, _sizes(scope.shape(), ""))


def memory(result: Result, scope: Scope) -> None:
    """One scheduler's state in bytes: with no task, with all that run, and after all have ended.

    Counted from the scheduler on by the sizes of objects; at the target checked by tracing.
    """
    for axis in ("workers", "running", "tenants"):
        found: dict[float, list[Row]] = {}
        for size in _axes(scope)[axis]:
            for seed in scope.seeds[:2]:
                alone = SchedulerHarness(_along(scope, axis, size, scope.shape(seed)))
                alone.time.run_us(US)
                idle = reachable_bytes(alone.scheduler)
                alone.ramp()
                full = reachable_bytes(alone.scheduler)
                alone.drain()
                found.setdefault(size, []).append({
                    "memory_idle": (idle, "bytes"), "memory": (full, "bytes"),
                    "memory_left": (reachable_bytes(alone.scheduler), "bytes")})
        _note(result, "scheduler", axis, found, _sizes(scope.shape(), axis))
    shape = scope.shape()
    figures = {f"{name}_{stage}": Figure(value, "bytes") for name, stages in trace_memory(shape).items()
               for stage, value in zip(("idle", "full", "left"), stages, strict=True)}
    result.run("memory", "hollow", shape.sizes(), figures, scope.seed)


def members(result: Result, scope: Scope) -> None:
    """What members send and hold, by how many there are and by workers known; and digests by origins."""
    task_s, warm_s, settle, seconds = (5.0, 10.0, 1.0, 3.0) if scope.small else (20.0, 120.0, 5.0, 6.0)
    axes: dict[str, tuple[int, ...]] = {"schedulers": (3, 6, 9, 18), "workers": (60, 250, 490, 1000)}
    if scope.small:
        axes = {"schedulers": (2, 3, 4, 6), "workers": (10, 20, 40, 80)}
    for axis, sizes in axes.items():
        found: dict[float, list[Row]] = {}
        held = _sizes(scope.shape(schedulers=2) if axis == "workers" else scope.shape(), axis)
        for size in sizes:
            for seed in scope.seeds[:2]:
                base = scope.shape(seed) if axis == "schedulers" else scope.shape(seed, schedulers=2)
                talk = Members(with_short_tasks(_along(scope, axis, size, base), task_s))
                talk.warm(warm_s)
                talk.join()
                talk.measure(settle)
                talk.publish_ns = 0
                t = talk.measure(seconds)
                row = {"bytes_out": (t.bytes_out, "B/s"), "messages_out": (t.messages_out, "1/s"),
                       "facts": (talk.facts(), "facts"), "digest": (talk.digest_bytes(), "bytes"),
                       "snapshot": (talk.snapshot_bytes(), "bytes"),
                       "telling_cpu": (talk.publish_ns / 1000 / seconds / len(talk.peers), "us/s")}
                row |= {f"bytes_out_{kind.lower()}": (t.by_kind.get(kind, 0.0), "B/s")
                        for kind in ("Delta", "Digest", "Ping", "Ack", "Sync")}
                found.setdefault(size, []).append(row)
        _note(result, "member", axis, found, held | {"task_s": task_s})
    origins = {float(n): [float(digest_size(n))] for n in (3, 9, 18, 50, 100, 200)}
    result.sweep("member", "digest", "bytes", "origins", "hollow", origins)


def learning(result: Result, scope: Scope) -> None:
    """What taking over others' facts costs a scheduler, by workers known, with three members."""
    task_s, seconds = (5.0, 2.0) if scope.small else (20.0, 2.0)
    found: dict[float, list[Row]] = {}
    for size in (10, 20, 40, 80) if scope.small else (60, 250, 490, 1000):
        for seed in scope.seeds[:2]:
            talk = Members(with_short_tasks(scope.shape(seed, schedulers=3, workers=size), task_s))
            talk.warm()
            talk.join(learn=True)
            talk.measure(1.0)
            talk.adopt_ns = talk.adopted = 0
            talk.measure(seconds)
            found.setdefault(size, []).append({
                "learning_cpu": (talk.adopt_ns / 1000 / seconds / 3, "us/s"),
                "takings": (talk.adopted / seconds / 3, "1/s")})
    held = _sizes(scope.shape(schedulers=3), "workers") | {"task_s": task_s}
    _note(result, "member", "workers", found, held)
