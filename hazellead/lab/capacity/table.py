"""What the page's tables say of a result: each role's quantities at the target's size, with limits. Pure."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby

from hazellead.lab.capacity.result import Figure, Result, Run, Sweep
from hazellead.lab.capacity.slopes import Line, SlopeError, fit
from hazellead.lab.capacity.target import TARGET, Target

CLOSE = 0.05  # part of a size by which a run may miss the target's and still count as being there
MULTIPLES = (2.0, 10.0)

QUANTITIES = {  # in the tables' order: name on the page, unit
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
# Units that say the same in other sizes: into the unit of the quantity, times this.
_SAME = {
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
    """What can be said of a figure and its limit."""

    HOLDS = "holds"
    FAILS = "**fails**"
    NOT_MEASURED = "not measured"
    NO_LIMIT = "no limit told"


@dataclass(slots=True, frozen=True)
class Part:
    """One role, or a part of it, with what is asked of it and the mechanism that carries it."""

    role: str
    part: str  # empty: the role as a whole
    title: str
    mechanism: str
    quantities: tuple[str, ...]
    tags: tuple[str, ...] = ()  # words in a sweep's names that mean this part


_FLOW = ("messages_in", "messages_out", "bytes_in", "bytes_out")
PROGRESS = "with progress"  # the whole, while every worker tells each running task's progress once a second
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
        _FLOW,
        ("clients", "client", "request"),
    ),
    Part(
        "scheduler",
        "workers",
        "Scheduler: worker side, pushes",
        "`platform/workers.py`, `net/client.py`",
        _FLOW,
        ("workers", "worker", "pushes", "push", "probe", "delete"),
    ),
    Part(
        "scheduler",
        "callbacks",
        "Scheduler: worker side, call-backs of starts and ends",
        "`platform/clients.py`, `core/scheduler.py`",
        _FLOW,
        ("callbacks", "callback", "started", "done", "returned", "failed", "lost"),
    ),
    Part(
        "scheduler",
        "progress",
        "Scheduler: worker side, call-backs of progress",
        "`platform/clients.py`, `core/scheduler.py`",
        _FLOW,
        ("progress", "running"),
    ),
    Part(
        "scheduler",
        "watch",
        "Scheduler: discovery watch",
        "`platform/discovery.py`",
        ("state", *_FLOW),
        ("watch", "discovery"),
    ),
    Part("scheduler", "console", "Scheduler: console", "`console/`", _FLOW, ("console",)),
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
        ("state", "state_bytes", *_FLOW, "memory", "descriptors"),
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
        ("state", *_FLOW, "cpu", "memory", "descriptors"),
    ),
    Part(
        "worker",
        "",
        "Worker",
        "outside; called by `platform/workers.py`",
        ("state", *_FLOW, "cpu", "memory", "descriptors"),
    ),
    Part(
        "configuration",
        "",
        "The operator's configuration",
        "`platform/config.py`, `core/generations.py`, `__main__.py`",
        ("state", "state_bytes", "messages_in", "bytes_in", "cpu", "memory", "in_force"),
    ),
)
# What figures of a real run at the target are called, beside KIND_in, KIND_out and the same with _bytes.
_PLAIN = {
    "cpu": ("", "cpu"),
    "memory": ("", "memory"),
    "descriptors": ("", "descriptors"),
    "control": ("control", "bytes"),
    "traffic": ("", "bytes"),
    "messages": ("", "messages"),
    "open_tasks": ("", "state"),
}


def limits(target: Target = TARGET) -> dict[tuple[str, str, str], float]:
    """Return the users' limits, in the unit of each quantity; the descriptors are the platform's."""
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
        # What all members say, all members hear: both ways together are twice what one says on average.
        ("member", "", "bytes_out"): target.traffic_b / 2,
        ("configuration", "", "in_force"): target.in_force_s,
    }


@dataclass(slots=True, frozen=True)
class Name:
    """Whose figure it is, and of what."""

    role: str
    part: str
    quantity: str


def name_of(role: str, quantity: str, unit: str = "") -> Name:
    """Find role, part and quantity in the words of both; words of no known part make a part of their own."""
    if (role, quantity, unit) in _SWEPT:
        return _SWEPT[role, quantity, unit]
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


def in_unit(quantity: str, value: float, unit: str) -> tuple[float, str]:
    """Return a value in the unit that its quantity has on the page; other units stay as they are."""
    wanted = QUANTITIES.get(quantity, ("", ""))[1]
    factor = _SAME.get((unit, wanted))
    return (value * factor, wanted) if factor is not None else (value, unit)


def target_size(axis: str, held: dict[str, float], target: Target = TARGET) -> float | None:
    """Return the target's size on an axis; None where it names none.

    Where fewer schedulers are played than the target has, they are given their part of what runs and starts.
    """
    sizes = {
        "workers": target.workers,
        "running": target.running,
        "starts": target.starts,
        "tenants": target.tenants,
        "schedulers": target.schedulers,
        "members": target.schedulers,
        "origins": target.schedulers,
        "changes": target.changes_a_day / 1440,  # a minute
        "gang": target.gang,
    }
    if axis not in sizes:
        return None
    part = held.get("schedulers", target.schedulers) / target.schedulers
    return sizes[axis] * (part if axis in ("running", "starts") else 1.0)


def at_target(sizes: dict[str, float], but: str = "", target: Target = TARGET) -> bool:
    """Say whether all sizes that the target names are its own, one axis left aside."""
    wanted = {axis: target_size(axis, sizes, target) for axis in sizes if axis not in (but, "gang")}
    return all(size is None or abs(sizes[axis] - size) <= CLOSE * size for axis, size in wanted.items())


@dataclass(slots=True, frozen=True)
class Slope:
    """One sweep and the line through it, or why there is none."""

    name: Name
    sweep: Sweep
    unit: str
    factor: float  # of the sweep's own values into that unit
    line: Line | None
    fault: str  # why there is no line, or why it isn't straight
    size: float | None  # the target's
    there: bool  # the others are held at the target's sizes

    def at(self, multiple: float) -> tuple[float, float] | None:
        """Return the line's value and spread at a multiple of the target's size.

        None if the line can't be used, or not so far away: no quantity is less than nothing.
        """
        if self.line is None or not self.line.straight or self.size is None:
            return None
        found = self.line.at(self.size * multiple)
        return found if found[0] >= 0 else None

    def measured(self) -> list[float] | None:
        """Return what was measured at the target's size itself, if it is one of the sizes."""
        for point in self.sweep.points:
            if self.size and point.values and abs(point.size - self.size) <= CLOSE * self.size:
                return [v * self.factor for v in point.values]
        return None


def slopes(result: Result) -> list[Slope]:
    """Fit every sweep, in the tables' order."""
    found = []
    for sweep in result.sweeps:
        name = name_of(sweep.role, sweep.quantity, sweep.unit)
        factor, unit = in_unit(name.quantity, 1.0, sweep.unit)
        line, fault = None, ""
        try:
            points = [type(p)(p.size, [v * factor for v in p.values]) for p in sweep.points]
            line = fit(points)
            fault = line.why
        except SlopeError as error:
            fault = str(error)
        size = target_size(sweep.axis, sweep.held)
        found.append(Slope(name, sweep, unit, factor, line, fault, size, at_target(sweep.held, sweep.axis)))
    return sorted(
        found, key=lambda s: (_order(s.name), s.sweep.axis, s.sweep.source, sorted(s.sweep.held.items()))
    )


def plot_groups(slopes: list[Slope]) -> dict[str, list[Slope]]:
    """Return the sweeps of each plot, by file name: one role along one axis, the table's quantities."""

    known = [s for s in slopes if s.name.quantity in QUANTITIES]

    def key(s: Slope) -> tuple[str, str]:
        return s.name.role, s.sweep.axis

    return {
        re.sub(r"[^a-z0-9]+", "-", f"{role} {axis}".lower()).strip("-") + ".svg": list(some)
        for (role, axis), some in groupby(sorted(known, key=key), key)
    }


def _order(name: Name) -> tuple[int, str, int, str]:
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
    source: str  # where the value is from
    limit: float | None
    verdict: Verdict
    slopes: list[Slope] = field(default_factory=list)
    note: str = ""

    @property
    def what(self) -> str:
        """Name the quantity."""
        return QUANTITIES.get(self.name.quantity, (self.name.quantity, ""))[0]


def judge(value: float | None, limit: float | None) -> Verdict:
    """Hold a value to its limit; it holds when it is at most that."""
    if value is None:
        return Verdict.NOT_MEASURED
    if limit is None:
        return Verdict.NO_LIMIT
    return Verdict.HOLDS if value <= limit else Verdict.FAILS


def judge_figure(figure: Figure) -> Verdict:
    """Hold a run's figure to its own bound."""
    return judge(figure.value, figure.limit)


# What sweeps in virtual time are of. Their memory is traced, of a scheduler's state alone; what changes of
# the list cost a scheduler is no figure of discovery itself.
_SWEPT = {
    ("scheduler", "decisions_cpu", "us/s"): Name("scheduler", "decisions", "cpu"),
    ("scheduler", "memory", "bytes"): Name("scheduler", "decisions", "state_bytes"),
    ("scheduler", "control", "B/s"): Name("scheduler", "control", "bytes"),
    ("configuration", "decisions_cpu", "us/s"): Name("configuration", "", "cpu"),
    ("member", "telling_cpu", "us/s"): Name("member", "telling", "cpu"),
    ("member", "learning_cpu", "us/s"): Name("member", "learning", "cpu"),
    ("member", "facts", "facts"): Name("member", "", "state"),
    ("member", "snapshot", "bytes"): Name("member", "", "state_bytes"),
}
# Axes along which a line leads to the target, the first first. Along others more than the one size grows:
# what runs grows with the gangs' width, too.
_LEADING = ("workers", "running", "starts", "tenants", "schedulers", "members", "changes")


def figure_name(run: Run, key: str) -> Name | None:
    """Say what a figure of a run at the target is of; None where it is none of the table's quantities."""
    if run.name == "changes":
        in_force = key in ("settings_in_force_most", "list_in_force_most")
        return Name("configuration", "", "in_force") if in_force else None
    progress = "progress" in run.name
    if key in _PLAIN:
        part, quantity = _PLAIN[key]
        return Name("scheduler", ", ".join(w for w in (part, PROGRESS if progress else "") if w), quantity)
    if kind := re.fullmatch(r"([a-z]+)_(in|out)(_bytes)?", key):
        quantity = f"{'bytes' if kind[3] else 'messages'}_{kind[2]}"
        for p in PARTS:
            if p.role == "scheduler" and p.part != PROGRESS and kind[1] in p.tags:
                # Progress is told in the one run only; the others come from the run without it.
                return Name("scheduler", p.part, quantity) if progress == (p.part == "progress") else None
        return None
    name = name_of(key, "")
    return name if name.quantity in QUANTITIES and name.role in {p.role for p in PARTS} else None


def source_of(run: Run) -> str:
    """Name a run as the source of a row."""
    return f"run `{run.name}`, {run.source}"


def target_figures(result: Result) -> dict[Name, tuple[Figure, Run]]:
    """Return the figures of runs at the target's size by name; the real before the hollow, the earlier first.

    Kinds of message that belong to one part are added up; of kinds of change the slowest counts.
    """
    found: dict[Name, tuple[Figure, Run]] = {}
    for run in sorted(result.runs, key=lambda r: r.source != "real"):
        # The run of changes has them faster than a day at the target brings them; all else is at its size.
        sizes = {k: v for k, v in run.sizes.items() if (run.name, k) != ("changes", "changes")}
        if (
            not re.match("target|changes$", run.name)
            or not {"workers", "running"} <= set(sizes)
            or not at_target(sizes)
        ):
            continue
        for key, figure in run.figures.items():
            if (name := figure_name(run, key)) is None:
                continue
            held = found.setdefault(name, (figure, run))
            if held[1] is run and held[0] is not figure and held[0].unit == figure.unit:
                both = (held[0].value, figure.value)
                value = max(both) if name.quantity == "in_force" else sum(both)
                found[name] = (Figure(value, figure.unit, held[0].limit, held[0].note), run)
    return found


def rows(result: Result) -> list[Row]:
    """Return the table: every row that is asked for, and one for whatever else there is."""
    played, fitted, bounds = target_figures(result), slopes(result), limits()
    names = {Name(p.role, p.part, q) for p in PARTS for q in p.quantities}
    names |= set(played) | {s.name for s in fitted if s.name.quantity in QUANTITIES}
    found = []
    for name in sorted(names, key=_order):
        part = next(
            (p for p in PARTS if (p.role, p.part) == (name.role, name.part)),
            next((p for p in PARTS if p.role == name.role), None),
        )
        title = part.title if part else name.role
        if part and part.part != name.part:
            title = f"{title.partition(':')[0].partition(',')[0]}: {name.part}"
        mine = [s for s in fitted if s.name == name]
        value, spread, unit, source, note = _at_target(name, played, mine)
        limit = bounds.get((name.role, name.part, name.quantity))
        if name in played and played[name][0].limit is not None:
            limit = in_unit(name.quantity, played[name][0].limit or 0.0, played[name][0].unit)[0]
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
                mine,
                note,
            )
        )
    return found


def _at_target(
    name: Name, played: dict[Name, tuple[Figure, Run]], mine: list[Slope]
) -> tuple[float | None, float | None, str, str, str]:
    """Return value, spread, unit, source, note: of the run at the target, or of a line that leads there."""
    if name in played:
        figure, run = played[name]
        value, unit = in_unit(name.quantity, figure.value, figure.unit)
        # A note may have figures of its own, in the unit that the run tells.
        note = figure.note if unit == figure.unit or not unit else ""
        return value, None, unit, source_of(run), note
    leading = [s for s in mine if s.there and s.sweep.axis in _LEADING]
    for slope in sorted(leading, key=lambda s: (s.sweep.source != "real", _LEADING.index(s.sweep.axis))):
        if (there := slope.at(1.0)) is not None:
            return *there, slope.unit, f"line along {slope.sweep.axis}, {slope.sweep.source}", ""
    for slope in leading:
        if (values := slope.measured()) is not None:
            low, high = min(values), max(values)
            source = f"the target's size itself, along {slope.sweep.axis}, {slope.sweep.source}"
            return sum(values) / len(values), (high - low) / 2, slope.unit, source, slope.fault
    unit = QUANTITIES.get(name.quantity, ("", ""))[1]
    return None, None, unit, "", "only with others held elsewhere" if mine else ""


@dataclass(slots=True, frozen=True)
class Break:
    """Where a limit is passed as one axis grows from the target's size."""

    name: Name
    axis: str
    source: str
    limit: float
    unit: str
    values: tuple[float | None, ...]  # at the target and its multiples
    factor: float | None  # of the target's size at which the limit is passed; None: never as it grows
    there: bool


def breaks(result: Result) -> list[Break]:
    """Return what has a limit and a straight line, the one that is passed first first."""
    bounds, found = limits(), []
    for s in slopes(result):
        limit = bounds.get((s.name.role, s.name.part, s.name.quantity))
        if limit is None or s.line is None or not s.size or not s.line.straight:
            continue
        reached = s.line.reaches(limit)
        values = tuple(at and at[0] for at in map(s.at, (1.0, *MULTIPLES)))
        found.append(
            Break(
                s.name,
                s.sweep.axis,
                s.sweep.source,
                limit,
                s.unit,
                values,
                None if reached is None else reached / s.size,
                s.there,
            )
        )
    return sorted(found, key=lambda b: (b.factor is None, b.factor or 0.0, _order(b.name), b.axis))


def larger_runs(result: Result) -> list[tuple[Run, str, Figure, Verdict]]:
    """Return the figures with a limit of the runs beyond the target's workers, running tasks or starts."""
    found = []
    for run in result.runs:
        sizes = (
            (run.sizes.get(axis, 0.0), target_size(axis, {})) for axis in ("workers", "running", "starts")
        )
        if any(size > 1.5 * (wanted or 0.0) for size, wanted in sizes):
            found += [(run, k, f, judge_figure(f)) for k, f in run.figures.items() if f.limit is not None]
    return found


@dataclass(slots=True, frozen=True)
class Pair:
    """A figure that a real and a hollow run of one name and size both have."""

    run: str
    key: str
    unit: str
    real: float
    hollow: float

    @property
    def apart(self) -> float:
        """Return by what part of the larger of both the hollow one is above the real one."""
        most = max(abs(self.real), abs(self.hollow))
        return (self.hollow - self.real) / most if most else 0.0


def pairs(result: Result) -> list[Pair]:
    """Return what can be compared: runs of one name whose workers, schedulers and starts are alike."""
    found = []
    for real in (r for r in result.runs if r.source == "real"):
        for hollow in (r for r in result.runs if r.source == "hollow" and r.name == real.name):
            sizes = [(real.sizes.get(k), hollow.sizes.get(k)) for k in ("workers", "schedulers", "starts")]
            if any(a is None or b is None or abs(a - b) > CLOSE * max(a, b) for a, b in sizes):
                continue
            for key, figure in real.figures.items():
                if key in hollow.figures:
                    found.append(Pair(real.name, key, figure.unit, figure.value, hollow.figures[key].value))
            break  # of several seeds the first
    return found


def tally(verdicts: Iterable[Verdict]) -> dict[Verdict, int]:
    """Count verdicts."""
    counts = dict.fromkeys(Verdict, 0)
    for verdict in verdicts:
        counts[verdict] += 1
    return counts


@dataclass(slots=True, frozen=True)
class Traffic:
    """Bytes a second, both ways, by one reading of what counts as control; None where not measured."""

    reading: str
    value: float | None
    limit: float

    @property
    def verdict(self) -> Verdict:
        """Hold it to the limit."""
        return judge(self.value, self.limit)


def control(rows: Iterable[Row], target: Target = TARGET) -> list[Traffic]:
    """Return a scheduler's traffic by each reading of what counts as control; CAPACITY.md has the reasons."""
    known = {r.name: r.value for r in rows}

    def value(part: str, quantity: str = "bytes") -> float | None:
        return known.get(Name("scheduler", part, quantity))

    narrow = [value(part, q) for part in ("watch", "console") for q in ("bytes_in", "bytes_out")]
    watched = [v for v in narrow if v is not None]
    readings = (
        ("all but what carries work", value("control")),
        ("the same, progress told once a second", value(f"control, {PROGRESS}")),
        ("narrower: the watch and the console alone", sum(watched) if watched else None),
        ("wider: all that is said and heard", value("")),
        ("the same, progress told once a second", value(PROGRESS)),
    )
    return [Traffic(reading, found, target.traffic_b) for reading, found in readings]
