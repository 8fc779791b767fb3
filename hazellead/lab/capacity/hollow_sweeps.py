"""Sweeps in virtual time: one scheduler, or a group of peers, along one axis, all other sizes constant."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from hazellead.lab.capacity.alone import SchedulerHarness, reachable_bytes, trace_memory
from hazellead.lab.capacity.hollow_scope import Scope
from hazellead.lab.capacity.members import Members, digest_size, with_short_tasks
from hazellead.lab.capacity.result import Figure, Result
from hazellead.lab.capacity.virtual_world import Gangs, Shape
from hazellead.lab.fleet import US

Quantities = dict[str, tuple[float, str]]  # values and units by name

# Sweeps.


def _add_sweeps(
    result: Result, role: str, axis: str,
    rows_by_size: Mapping[float, Sequence[Mapping[str, tuple[float, str]]]], constants: Mapping[str, float],
) -> None:
    """Add one sweep for each quantity; ``rows_by_size`` has one row per repetition at each size."""
    rows = next(iter(rows_by_size.values()))
    for quantity, (_, unit) in rows[0].items():
        result.sweep(role, quantity, unit, axis, "hollow",
                     {size: [row[quantity][0] for row in repeats] for size, repeats in rows_by_size.items()},
                     **constants)


def _measure_window(alone: SchedulerHarness, seconds: float) -> dict[str, tuple[float, str]]:
    cost = alone.measure(seconds)
    return {
        "decisions_cpu": (cost.decisions_ns / 1000 / seconds, "us/s"),
        "decisions_cpu_arrival": (cost.decisions_ns / 1000 / max(1, cost.arrivals), "us/arrival"),
        "core_cpu": (cost.total_ns / 1000 / seconds, "us/s"),  # decisions, core and simulated workers
        "events": (cost.events / seconds, "1/s"), "actions": (cost.actions / seconds, "1/s"),
        "steps": (cost.steps / seconds, "1/s"), "timers": (cost.counts.get("SetTimer", 0) / seconds, "1/s"),
        "looks": (cost.looks / max(1, cost.arrivals), "1/arrival")}


def _constant_sizes(shape: Shape, axis: str) -> dict[str, float]:
    """Return the sizes that stay constant in a sweep along an axis."""
    sizes = {"workers": float(shape.workers), "running": shape.starts * shape.work.mean_s * shape.gangs.mean,
             "starts": shape.starts, "tenants": float(shape.tenants), "schedulers": float(shape.schedulers)}
    return {k: v for k, v in sizes.items() if k != axis}


def _shape_along(scope: Scope, axis: str, size: float, base: Shape) -> Shape:
    """Return ``base`` with one axis at a size and the quotas scaled with demand.

    Without scaled quotas, a sweep of starts or of gangs would measure refusals.
    """
    shape = _with_size(axis, size, base)
    quota_ratio = base.capacity / base.starts
    return replace(shape, quota=quota_ratio * shape.starts * shape.gangs.mean)


def _with_size(axis: str, size: float, base: Shape) -> Shape:
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
    """Measure one scheduler's work along each axis, with a report of each running task once a second."""
    seconds = 6.0 if not scope.small else 4.0
    for axis, sizes in _axes(scope).items():
        rows_by_size: dict[float, list[Quantities]] = {}
        for size in sizes:
            for seed in scope.seeds[:2]:
                alone = SchedulerHarness(_shape_along(scope, axis, size, scope.shape(seed)))
                alone.ramp()
                rows_by_size.setdefault(size, []).append(_measure_window(alone, seconds))
        _add_sweeps(result, "scheduler", axis, rows_by_size, _constant_sizes(scope.shape(), axis))


def changes(result: Result, scope: Scope) -> None:
    """Measure one scheduler's work by changes per minute of the worker list, and of its settings."""
    seconds = 8.0 if not scope.small else 4.0
    for role, sizes in (("discovery", (0, 20, 120, 600, 2400)), ("configuration", (0, 20, 60, 120, 240))):
        rows_by_size: dict[float, list[Quantities]] = {}
        for size in sizes:
            for seed in scope.seeds[:2]:
                alone = SchedulerHarness(scope.shape(seed))
                alone.ramp()
                (alone.change_lists if role == "discovery" else alone.change_settings)(size)
                rows_by_size.setdefault(size, []).append(_measure_window(alone, seconds))
        _add_sweeps(result, role, "changes", rows_by_size, _constant_sizes(scope.shape(), ""))


def memory(result: Result, scope: Scope) -> None:
    """Measure one scheduler's memory: without tasks, with a steady number running, and after all have ended.

    It is the sum of the sizes of all objects reachable from the scheduler; at the target, it is checked with
    tracemalloc.
    """
    for axis in ("workers", "running", "tenants"):
        rows_by_size: dict[float, list[Quantities]] = {}
        for size in _axes(scope)[axis]:
            for seed in scope.seeds[:2]:
                alone = SchedulerHarness(_shape_along(scope, axis, size, scope.shape(seed)))
                alone.time.run_us(US)
                idle = reachable_bytes(alone.scheduler)
                alone.ramp()
                full = reachable_bytes(alone.scheduler)
                alone.drain()
                rows_by_size.setdefault(size, []).append({
                    "memory_idle": (idle, "bytes"), "memory": (full, "bytes"),
                    "memory_left": (reachable_bytes(alone.scheduler), "bytes")})
        _add_sweeps(result, "scheduler", axis, rows_by_size, _constant_sizes(scope.shape(), axis))
    shape = scope.shape()
    figures = {f"{name}_{stage}": Figure(value, "bytes") for name, stages in trace_memory(shape).items()
               for stage, value in zip(("idle", "full", "left"), stages, strict=True)}
    result.run("memory", "hollow", shape.sizes(), figures, scope.seed)


def members(result: Result, scope: Scope) -> None:
    """Measure what peers send and store, by number of schedulers and of workers; and digests by origins."""
    task_s, warm_s, settle_s, seconds = (5.0, 10.0, 1.0, 3.0) if scope.small else (20.0, 120.0, 5.0, 6.0)
    axes: dict[str, tuple[int, ...]] = {"schedulers": (3, 6, 9, 18), "workers": (60, 250, 490, 1000)}
    if scope.small:
        axes = {"schedulers": (2, 3, 4, 6), "workers": (10, 20, 40, 80)}
    for axis, sizes in axes.items():
        rows_by_size: dict[float, list[Quantities]] = {}
        constants = _constant_sizes(scope.shape(schedulers=2) if axis == "workers" else scope.shape(), axis)
        for size in sizes:
            for seed in scope.seeds[:2]:
                base = scope.shape(seed) if axis == "schedulers" else scope.shape(seed, schedulers=2)
                group = Members(with_short_tasks(_shape_along(scope, axis, size, base), task_s))
                group.warm(warm_s)
                group.join()
                group.measure(settle_s)
                group.publish_ns = 0
                traffic = group.measure(seconds)
                row = {"bytes_out": (traffic.bytes_out, "B/s"), "messages_out": (traffic.messages_out, "1/s"),
                       "facts": (group.facts(), "facts"), "digest": (group.digest_bytes(), "bytes"),
                       "snapshot": (group.snapshot_bytes(), "bytes"),
                       "telling_cpu": (group.publish_ns / 1000 / seconds / len(group.peers), "us/s")}
                row |= {f"bytes_out_{kind.lower()}": (traffic.by_kind.get(kind, 0.0), "B/s")
                        for kind in ("Delta", "Digest", "Ping", "Ack", "Sync")}
                rows_by_size.setdefault(size, []).append(row)
        _add_sweeps(result, "member", axis, rows_by_size, constants | {"task_s": task_s})
    origins = {float(n): [float(digest_size(n))] for n in (3, 9, 18, 50, 100, 200)}
    result.sweep("member", "digest", "bytes", "origins", "hollow", origins)


def learning(result: Result, scope: Scope) -> None:
    """Measure a scheduler's processor time for adopting peers' facts, by workers, with three schedulers."""
    task_s, seconds = (5.0, 2.0) if scope.small else (20.0, 2.0)
    rows_by_size: dict[float, list[Quantities]] = {}
    for size in (10, 20, 40, 80) if scope.small else (60, 250, 490, 1000):
        for seed in scope.seeds[:2]:
            group = Members(with_short_tasks(scope.shape(seed, schedulers=3, workers=size), task_s))
            group.warm()
            group.join(learn=True)
            group.measure(1.0)
            group.adopt_ns = group.adopted = 0
            group.measure(seconds)
            rows_by_size.setdefault(size, []).append({
                "learning_cpu": (group.adopt_ns / 1000 / seconds / 3, "us/s"),
                "takings": (group.adopted / seconds / 3, "1/s")})
    constants = _constant_sizes(scope.shape(schedulers=3), "workers") | {"task_s": task_s}
    _add_sweeps(result, "member", "workers", rows_by_size, constants)
