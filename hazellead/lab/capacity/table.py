"""Computes the page's tables from a result: each role's quantities at the target's size, with limits."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby

from hazellead.lab.capacity.result import Figure, Result, Run, Sweep
from hazellead.lab.capacity.slopes import Line, SlopeError, fit
from hazellead.lab.capacity.target import TARGET, Target

SIZE_TOLERANCE = 0.05  # relative difference up to which a size counts as the target's
MULTIPLES = (2.0, 10.0)

QUANTITIES = {  # in the order of the tables: name on the page, unit
    "state": ("state", ""),
    "state_bytes": ("state, bytes", "B"),
    "messages": ("messages, both ways", "1/s"),
    "messages_in": ("messages in", "1/s"),
    "messages_out": ("messages out", "1/s"),
    "bytes_in": ("bytes in", "B/s"),
    "bytes_out": ("bytes out", "B/s"),
    "bytes": ("bytes, both ways", "B/s"),
    "cpu": ("processor time", "µs/s"),
    "memory": ("memory", "MB"),
    "descriptors": ("descriptors", ""),
    "in_force": ("change in force everywhere", "s"),
}
# Factors from a unit of a result to the unit of the quantity on the page.
_UNIT_FACTORS = {
    ("ms/s", "µs/s"): 1e3,
    ("us/s", "µs/s"): 1.0,
    ("%", "µs/s"): 1e4,
    ("s/s", "µs/s"): 1e6,
    ("core", "µs/s"): 1e6,
    ("of a core", "µs/s"): 1e6,
    ("cores", "µs/s"): 1e6,
    ("MiB", "MB"): 1.048576,
    ("KiB", "MB"): 0.001024,
    ("kB", "MB"): 0.001,
    ("KB", "MB"): 0.001,
    ("B", "MB"): 1e-6,
    ("bytes", "B"): 1.0,
    ("KiB", "B"): 1024.0,
    ("descriptors", ""): 1.0,
    ("tasks", ""): 1.0,
    ("KB/s", "B/s"): 1e3,
    ("kB/s", "B/s"): 1e3,
    ("KiB/s", "B/s"): 1024.0,
    ("ms", "s"): 1e-3,
    ("/s", "1/s"): 1.0,
}


class Verdict(Enum):
    """The comparison of a figure with its limit."""

    HOLDS = "holds"
    FAILS = "**fails**"
    NOT_MEASURED = "not measured"
    NO_LIMIT = "no limit told"


@dataclass(slots=True, frozen=True)
class Part:
    """One role or a part of it, with the quantities to measure and the modules that implement it."""

    role: str
    part: str  # empty: the role as a whole
    title: str
    mechanism: str
    quantities: tuple[str, ...]
    tags: tuple[str, ...] = ()  # words in a sweep's role or quantity that denote this part


_TRAFFIC = ("messages_in", "messages_out", "bytes_in", "bytes_out")
PROGRESS = "with progress"  # the whole, while workers report each running task's progress every second
PARTS = (
    Part(
        "scheduler",
        "",
        "Scheduler process, whole",
        "`__main__.py`, `core/scheduler.py`",
        ("state", "messages", "bytes", "cpu", "memory", "descriptors"),
    ),
    Part(
        "scheduler",
        PROGRESS,
        "Scheduler process, whole, progress told once a second",
        "`__main__.py`, `core/scheduler.py`",
        ("messages", "bytes", "cpu", "memory", "descriptors"),
        ("with", "progress"),
    ),
    Part(
        "scheduler",
        "decisions",
        "Scheduler: decisions",
        "`decide/dispatcher.py`, `decide/records.py`",
        ("state", "state_bytes", "cpu"),
        ("decisions", "module"),
    ),
    Part(
        "scheduler",
        "clients",
        "Scheduler: client side",
        "`platform/clients.py`, `net/server.py`",
        _TRAFFIC,
        ("clients", "client", "request"),
    ),
    Part(
        "scheduler",
        "workers",
        "Scheduler: worker side, pushes",
        "`platform/workers.py`, `net/client.py`",
        _TRAFFIC,
        ("workers", "worker", "pushes", "push", "probe", "delete"),
    ),
    Part(
        "scheduler",
        "callbacks",
        "Scheduler: worker side, call-backs of starts and ends",
        "`platform/clients.py`, `core/scheduler.py`",
        _TRAFFIC,
        ("callbacks", "callback", "started", "done", "returned", "failed", "lost"),
    ),
    Part(
        "scheduler",
        "progress",
        "Scheduler: worker side, call-backs of progress",
        "`platform/clients.py`, `core/scheduler.py`",
        _TRAFFIC,
        ("progress", "running"),
    ),
    Part(
        "scheduler",
        "watch",
        "Scheduler: discovery watch",
        "`platform/discovery.py`",
        ("state", *_TRAFFIC),
        ("watch", "discovery"),
    ),
    Part("scheduler", "console", "Scheduler: console", "`console/`", _TRAFFIC, ("console",)),
    Part(
        "scheduler",
        "control",
        "Scheduler: control traffic",
        "all of the above but what carries work",
        ("bytes",),
        ("control",),
    ),
    Part(
        "scheduler",
        f"control, {PROGRESS}",
        "Scheduler: control traffic, progress told once a second",
        "all of the above but what carries work",
        ("bytes",),
    ),
    Part(
        "member",
        "",
        "Member of an installation that talks",
        "`peers/`, `learning/`, `snapshots/`",
        ("state", "state_bytes", *_TRAFFIC, "memory", "descriptors"),
    ),
    Part(
        "member", "telling", "Member: telling facts",
        "`learning/scheduler_sync.py`, `learning/store.py`", ("cpu",),
    ),
    Part(
        "member",
        "learning",
        "Member: taking facts over",
        "`learning/scheduler_sync.py`, `learning/merge.py`",
        ("cpu",),
    ),
    Part(
        "discovery",
        "",
        "Discovery",
        "outside; asked by `platform/discovery.py`",
        ("state", *_TRAFFIC, "cpu", "memory", "descriptors"),
    ),
    Part(
        "worker",
        "",
        "Worker",
        "outside; called by `platform/workers.py`",
        ("state", *_TRAFFIC, "cpu", "memory", "descriptors"),
    ),
    Part(
        "configuration",
        "",
        "The operator's configuration",
        "`platform/config.py`, `core/generations.py`, `__main__.py`",
        ("state", "state_bytes", "messages_in", "bytes_in", "cpu", "memory", "in_force"),
    ),
)
# Part and quantity of a target run's figures, besides KIND_in and KIND_out, with or without _bytes.
_FIGURE_NAMES = {
    "cpu": ("", "cpu"),
    "memory": ("", "memory"),
    "descriptors": ("", "descriptors"),
    "control": ("control", "bytes"),
    "traffic": ("", "bytes"),
    "messages": ("", "messages"),
    "open_tasks": ("", "state"),
}


def limits(target: Target = TARGET) -> dict[tuple[str, str, str], float]:
    """Return the users' limits in the unit of each quantity; the limit on descriptors is the platform's."""
    whole = {
        ("scheduler", part, quantity): limit
        for part in ("", PROGRESS)
        for quantity, limit in (
            ("cpu", target.core_share * 1e6),
            ("memory", target.memory_mb),
            ("descriptors", 1024.0),
        )
    }
    return whole | {
        ("scheduler", "decisions", "cpu"): target.core_share * 1e6,
        ("scheduler", "control", "bytes"): target.traffic_b,
        ("scheduler", f"control, {PROGRESS}", "bytes"): target.traffic_b,
        ("member", "telling", "cpu"): target.core_share * 1e6,
        ("member", "learning", "cpu"): target.core_share * 1e6,
        ("member", "", "memory"): target.memory_mb,
        # Members receive what members send, so a member's traffic is on average twice what it sends.
        ("member", "", "bytes_out"): target.traffic_b / 2,
        ("configuration", "", "in_force"): target.in_force_s,
    }


@dataclass(slots=True, frozen=True)
class Name:
    """The role, its part and the quantity that a figure measures."""

    role: str
    part: str
    quantity: str


def parse_name(role: str, quantity: str, unit: str = "") -> Name:
    """Parse a sweep's role and quantity into role, part and quantity; unknown words become a part."""
    if (role, quantity, unit) in _SWEEP_NAMES:
        return _SWEEP_NAMES[role, quantity, unit]
    words = [w for w in re.split(r"[\s./:]+", f"{role} {quantity}") if w]
    head, rest = words[0], words[1:]
    known = next((w for w in rest if w in QUANTITIES), "")
    others = [w for w in rest if w != known]
    for part in PARTS:
        if part.role == head and part.tags and others and all(w in part.tags for w in others):
            return Name(head, part.part, known or quantity)
    if not known:
        return Name(head, "", " ".join(rest))
    return Name(head, " ".join(others), known)


def convert(quantity: str, value: float, unit: str) -> tuple[float, str]:
    """Convert a value to the unit of its quantity on the page; values in unknown units are unchanged."""
    expected = QUANTITIES.get(quantity, ("", ""))[1]
    factor = _UNIT_FACTORS.get((unit, expected))
    return (value * factor, expected) if factor is not None else (value, unit)


def target_size(axis: str, held: dict[str, float], target: Target = TARGET) -> float | None:
    """Return the target's size on an axis, None if the target has none.

    With fewer schedulers than the target's, running tasks and starts are scaled to their share.
    """
    sizes = {
        "workers": target.workers,
        "running": target.running,
        "starts": target.starts,
        "tenants": target.tenants,
        "schedulers": target.schedulers,
        "members": target.schedulers,
        "origins": target.schedulers,
        "changes": target.changes_a_day / 1440,  # per minute
        "gang": target.gang,
    }
    if axis not in sizes:
        return None
    part = held.get("schedulers", target.schedulers) / target.schedulers
    return sizes[axis] * (part if axis in ("running", "starts") else 1.0)


def is_at_target(sizes: dict[str, float], ignored_axis: str = "", target: Target = TARGET) -> bool:
    """Return whether all sizes are the target's, except on ``ignored_axis`` and on axes that it lacks."""
    expected = {
        axis: target_size(axis, sizes, target) for axis in sizes if axis not in (ignored_axis, "gang")
    }
    return all(
        size is None or abs(sizes[axis] - size) <= SIZE_TOLERANCE * size for axis, size in expected.items()
    )


@dataclass(slots=True, frozen=True)
class Slope:
    """One sweep and the line fitted to it, or why there is none."""

    name: Name
    sweep: Sweep
    unit: str
    factor: float  # from the sweep's values to ``unit``
    line: Line | None
    fault: str  # why there is no line, or why it is not straight
    size: float | None  # the target's on this axis
    there: bool  # whether the constant sizes are the target's

    def at(self, multiple: float) -> tuple[float, float] | None:
        """Return the line's value and spread at a multiple of the target's size.

        None if the line is not straight, there is no target size, or the value would be negative.
        """
        if self.line is None or not self.line.straight or self.size is None:
            return None
        found = self.line.at(self.size * multiple)
        return found if found[0] >= 0 else None

    def measured(self) -> list[float] | None:
        """Return the values measured at the target's size, None if the sweep lacks that size."""
        for point in self.sweep.points:
            if self.size and point.values and abs(point.size - self.size) <= SIZE_TOLERANCE * self.size:
                return [v * self.factor for v in point.values]
        return None


def slopes(result: Result) -> list[Slope]:
    """Fit a line to every sweep; the order is that of the tables."""
    found = []
    for sweep in result.sweeps:
        name = parse_name(sweep.role, sweep.quantity, sweep.unit)
        factor, unit = convert(name.quantity, 1.0, sweep.unit)
        line, fault = None, ""
        try:
            points = [type(p)(p.size, [v * factor for v in p.values]) for p in sweep.points]
            line = fit(points)
            fault = line.fault
        except SlopeError as error:
            fault = str(error)
        size = target_size(sweep.axis, sweep.held)
        found.append(
            Slope(name, sweep, unit, factor, line, fault, size, is_at_target(sweep.held, sweep.axis))
        )
    return sorted(
        found, key=lambda s: (_sort_key(s.name), s.sweep.axis, s.sweep.source, sorted(s.sweep.held.items()))
    )


def plot_groups(slopes: list[Slope]) -> dict[str, list[Slope]]:
    """Group the sweeps of the tables' quantities by plot file name, one plot for each role and axis."""

    known = [s for s in slopes if s.name.quantity in QUANTITIES]

    def key(s: Slope) -> tuple[str, str]:
        return s.name.role, s.sweep.axis

    return {
        re.sub(r"[^a-z0-9]+", "-", f"{role} {axis}".lower()).strip("-") + ".svg": list(group)
        for (role, axis), group in groupby(sorted(known, key=key), key)
    }


def _sort_key(name: Name) -> tuple[int, str, int, str]:
    parts = [(p.role, p.part) for p in PARTS]
    roles = [p.role for p in PARTS]
    at = (
        parts.index((name.role, name.part))
        if (name.role, name.part) in parts
        else max((i for i, r in enumerate(roles) if r == name.role), default=len(parts))
    )
    known = list(QUANTITIES)
    return (
        at,
        name.part,
        known.index(name.quantity) if name.quantity in known else len(known),
        name.quantity,
    )


@dataclass(slots=True, frozen=True)
class Row:
    """One quantity of one role at the target's size."""

    name: Name
    title: str
    mechanism: str
    value: float | None
    spread: float | None
    unit: str
    source: str  # the run or line that the value is from
    limit: float | None
    verdict: Verdict
    slopes: list[Slope] = field(default_factory=list)
    note: str = ""

    @property
    def what(self) -> str:
        """Return the name of the quantity on the page."""
        return QUANTITIES.get(self.name.quantity, (self.name.quantity, ""))[0]


def judge(value: float | None, limit: float | None) -> Verdict:
    """Compare a value with its limit; it holds if it is at most the limit."""
    if value is None:
        return Verdict.NOT_MEASURED
    if limit is None:
        return Verdict.NO_LIMIT
    return Verdict.HOLDS if value <= limit else Verdict.FAILS


def judge_figure(figure: Figure) -> Verdict:
    """Compare a run's figure with its own limit."""
    return judge(figure.value, figure.limit)


# Names of the sweeps in virtual time. Their memory is traced and covers a scheduler's state only; the cost of
# list changes to a scheduler is not a figure of discovery.
_SWEEP_NAMES = {
    ("scheduler", "decisions_cpu", "us/s"): Name("scheduler", "decisions", "cpu"),
    ("scheduler", "memory", "bytes"): Name("scheduler", "decisions", "state_bytes"),
    ("scheduler", "control", "B/s"): Name("scheduler", "control", "bytes"),
    ("configuration", "decisions_cpu", "us/s"): Name("configuration", "", "cpu"),
    ("member", "telling_cpu", "us/s"): Name("member", "telling", "cpu"),
    ("member", "learning_cpu", "us/s"): Name("member", "learning", "cpu"),
    ("member", "facts", "facts"): Name("member", "", "state"),
    ("member", "snapshot", "bytes"): Name("member", "", "state_bytes"),
}
# Axes whose lines may give the value at the target, in order of preference. Along the others several sizes
# grow together: the running tasks also grow with the gangs' width.
_TARGET_AXES = ("workers", "running", "starts", "tenants", "schedulers", "members", "changes")


def figure_name(run: Run, key: str) -> Name | None:
    """Return what a figure of a target run measures; None if it is not in the tables."""
    if run.name == "changes":
        in_force = key in ("settings_in_force_most", "list_in_force_most")
        return Name("configuration", "", "in_force") if in_force else None
    progress = "progress" in run.name
    if key in _FIGURE_NAMES:
        part, quantity = _FIGURE_NAMES[key]
        return Name("scheduler", ", ".join(w for w in (part, PROGRESS if progress else "") if w), quantity)
    if kind := re.fullmatch(r"([a-z]+)_(in|out)(_bytes)?", key):
        quantity = f"{'bytes' if kind[3] else 'messages'}_{kind[2]}"
        for p in PARTS:
            if p.role == "scheduler" and p.part != PROGRESS and kind[1] in p.tags:
                # Progress call-backs come from the run with progress, other messages from the run without.
                return Name("scheduler", p.part, quantity) if progress == (p.part == "progress") else None
        return None
    name = parse_name(key, "")
    return name if name.quantity in QUANTITIES and name.role in {p.role for p in PARTS} else None


def source_of(run: Run) -> str:
    """Return the name of a run as the source of a row."""
    return f"run `{run.name}`, {run.source}"


def target_figures(result: Result) -> dict[Name, tuple[Figure, Run]]:
    """Return the figures of runs at the target's size by name; real runs and earlier runs take precedence.

    Kinds of message that belong to the same part are summed; of the kinds of change the slowest counts.
    """
    found: dict[Name, tuple[Figure, Run]] = {}
    for run in sorted(result.runs, key=lambda r: r.source != "real"):
        # The run "changes" makes changes faster than the target has them; its other sizes count.
        sizes = {k: v for k, v in run.sizes.items() if (run.name, k) != ("changes", "changes")}
        if (
            not re.match("target|changes$", run.name)
            or not {"workers", "running"} <= set(sizes)
            or not is_at_target(sizes)
        ):
            continue
        for key, figure in run.figures.items():
            if (name := figure_name(run, key)) is None:
                continue
            known = found.setdefault(name, (figure, run))
            if known[1] is run and known[0] is not figure and known[0].unit == figure.unit:
                both = (known[0].value, figure.value)
                value = max(both) if name.quantity == "in_force" else sum(both)
                found[name] = (Figure(value, figure.unit, known[0].limit, known[0].note), run)
    return found


def rows(result: Result) -> list[Row]:
    """Return the rows of the table: all expected ones, and one for each further quantity in the result."""
    target_runs, fitted, known_limits = target_figures(result), slopes(result), limits()
    names = {Name(p.role, p.part, q) for p in PARTS for q in p.quantities}
    names |= set(target_runs) | {s.name for s in fitted if s.name.quantity in QUANTITIES}
    found = []
    for name in sorted(names, key=_sort_key):
        part = next(
            (p for p in PARTS if (p.role, p.part) == (name.role, name.part)),
            next((p for p in PARTS if p.role == name.role), None),
        )
        title = part.title if part else name.role
        if part and part.part != name.part:
            title = f"{title.partition(':')[0].partition(',')[0]}: {name.part}"
        own_slopes = [s for s in fitted if s.name == name]
        value, spread, unit, source, note = _at_target(name, target_runs, own_slopes)
        limit = known_limits.get((name.role, name.part, name.quantity))
        if name in target_runs and target_runs[name][0].limit is not None:
            limit = convert(name.quantity, target_runs[name][0].limit or 0.0, target_runs[name][0].unit)[0]
        found.append(
            Row(
                name,
                title,
                part.mechanism if part else "",
                value,
                spread,
                unit,
                source,
                limit,
                judge(value, limit),
                own_slopes,
                note,
            )
        )
    return found


def _at_target(
    name: Name, target_runs: dict[Name, tuple[Figure, Run]], own_slopes: list[Slope]
) -> tuple[float | None, float | None, str, str, str]:
    """Return value, spread, unit, source and note from the target run, or else from a sweep."""
    if name in target_runs:
        figure, run = target_runs[name]
        value, unit = convert(name.quantity, figure.value, figure.unit)
        # Numbers in a note are in the run's unit, so the note is dropped if the unit changes.
        note = figure.note if unit == figure.unit or not unit else ""
        return value, None, unit, source_of(run), note
    target_slopes = [s for s in own_slopes if s.there and s.sweep.axis in _TARGET_AXES]
    for slope in sorted(
        target_slopes, key=lambda s: (s.sweep.source != "real", _TARGET_AXES.index(s.sweep.axis))
    ):
        if (estimate := slope.at(1.0)) is not None:
            return *estimate, slope.unit, f"line along {slope.sweep.axis}, {slope.sweep.source}", ""
    for slope in target_slopes:
        if (values := slope.measured()) is not None:
            low, high = min(values), max(values)
            source = f"the target's size itself, along {slope.sweep.axis}, {slope.sweep.source}"
            return sum(values) / len(values), (high - low) / 2, slope.unit, source, slope.fault
    unit = QUANTITIES.get(name.quantity, ("", ""))[1]
    return None, None, unit, "", "only with others held elsewhere" if own_slopes else ""


@dataclass(slots=True, frozen=True)
class Break:
    """The size at which a limit is exceeded as one axis grows from the target's size."""

    name: Name
    axis: str
    source: str
    limit: float
    unit: str
    values: tuple[float | None, ...]  # at the target and its multiples
    factor: float | None  # limit size / target size; None if growth never exceeds the limit
    there: bool  # whether the constant sizes are the target's


def breaks(result: Result) -> list[Break]:
    """Return a Break for each straight line with a limit, the one that is exceeded first first."""
    known_limits, found = limits(), []
    for s in slopes(result):
        limit = known_limits.get((s.name.role, s.name.part, s.name.quantity))
        if limit is None or s.line is None or not s.size or not s.line.straight:
            continue
        limit_size = s.line.size_at_limit(limit)
        values = tuple(at and at[0] for at in map(s.at, (1.0, *MULTIPLES)))
        found.append(
            Break(
                s.name,
                s.sweep.axis,
                s.sweep.source,
                limit,
                s.unit,
                values,
                None if limit_size is None else limit_size / s.size,
                s.there,
            )
        )
    return sorted(found, key=lambda b: (b.factor is None, b.factor or 0.0, _sort_key(b.name), b.axis))


def larger_runs(result: Result) -> list[tuple[Run, str, Figure, Verdict]]:
    """Return the limited figures of all runs that exceed the target's workers, running tasks or starts."""
    found = []
    for run in result.runs:
        sizes = (
            (run.sizes.get(axis, 0.0), target_size(axis, {})) for axis in ("workers", "running", "starts")
        )
        if any(size > 1.5 * (expected or 0.0) for size, expected in sizes):
            found += [(run, k, f, judge_figure(f)) for k, f in run.figures.items() if f.limit is not None]
    return found


@dataclass(slots=True, frozen=True)
class Pair:
    """A figure in both the real and the hollow run of the same name and size."""

    run: str
    key: str
    unit: str
    real: float
    hollow: float

    @property
    def apart(self) -> float:
        """Return hollow minus real, relative to the larger magnitude; 0 if both are 0."""
        larger = max(abs(self.real), abs(self.hollow))
        return (self.hollow - self.real) / larger if larger else 0.0


def pairs(result: Result) -> list[Pair]:
    """Return the common figures of runs with the same name, workers, schedulers and starts."""
    found = []
    for real in (r for r in result.runs if r.source == "real"):
        for hollow in (r for r in result.runs if r.source == "hollow" and r.name == real.name):
            sizes = [(real.sizes.get(k), hollow.sizes.get(k)) for k in ("workers", "schedulers", "starts")]
            if any(a is None or b is None or abs(a - b) > SIZE_TOLERANCE * max(a, b) for a, b in sizes):
                continue
            for key, figure in real.figures.items():
                if key in hollow.figures:
                    found.append(Pair(real.name, key, figure.unit, figure.value, hollow.figures[key].value))
            break  # only the first of several seeds
    return found


def tally(verdicts: Iterable[Verdict]) -> dict[Verdict, int]:
    """Count the verdicts by kind."""
    counts = dict.fromkeys(Verdict, 0)
    for verdict in verdicts:
        counts[verdict] += 1
    return counts


@dataclass(slots=True, frozen=True)
class Traffic:
    """Bytes a second in both directions under one definition of control; None if not measured."""

    reading: str
    value: float | None
    limit: float

    @property
    def verdict(self) -> Verdict:
        """Compare the traffic with the limit."""
        return judge(self.value, self.limit)


def control(rows: Iterable[Row], target: Target = TARGET) -> list[Traffic]:
    """Return a scheduler's traffic under each definition of control, which CAPACITY.md explains."""
    known = {r.name: r.value for r in rows}

    def value(part: str, quantity: str = "bytes") -> float | None:
        return known.get(Name("scheduler", part, quantity))

    narrow_rates = [value(part, q) for part in ("watch", "console") for q in ("bytes_in", "bytes_out")]
    measured = [v for v in narrow_rates if v is not None]
    readings = (
        ("all but what carries work", value("control")),
        ("the same, progress told once a second", value(f"control, {PROGRESS}")),
        ("narrower: the watch and the console alone", sum(measured) if measured else None),
        ("wider: all that is said and heard", value("")),
        ("the same, progress told once a second", value(PROGRESS)),
    )
    return [Traffic(reading, found, target.traffic_b) for reading, found in readings]
