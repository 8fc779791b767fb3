"""Which miss does most harm at the target's size: tasks lost or late a day, then limits passed. Pure.

The target's figures, times the share that a run has shown lost or late. What the users have not told stands
here as named ranges; a harm is a range then, and the ranking goes by its upper end.
"""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hazellead.lab.capacity.result import Figure, Result, Run
from hazellead.lab.capacity.table import Row, Verdict, figure_name, source_of
from hazellead.lab.capacity.target import TARGET, Target

Range = tuple[float, float]

DAY_S = 86_400.0
DAYS_A_YEAR = 365.0
# Assumed, since the users have not told; each is a question on the page.
TASKS_A_JOB: Range = (1.0, 32.0)
GANG_JOBS: Range = (0.01, 0.10)  # part of the jobs that ask for many slots at once
GANG_SLOTS = 32.0
UNEVEN_TASKS: Range = (0.01, 0.10)  # part of the tasks whose team comes at one scheduler
URGENT_TASKS: Range = (0.01, 0.10)  # part of the tasks that are urgent
ZONE_LOSSES_A_YEAR: Range = (2.0, 5.0)
REGION_CUTS_A_YEAR: Range = (3.0, 10.0)
SWITCH_DAYS: Range = (30.0, 60.0)  # between two racks or switches that go
SWITCH_MACHINES: Range = (8.0, 40.0)  # behind one


@dataclass(slots=True, frozen=True)
class Load:
    """What follows from the target and the ranges above."""

    target: Target = TARGET

    @property
    def machines(self) -> float:
        """Return the workers' and the schedulers' machines together."""
        return float(self.target.workers + self.target.schedulers)

    @property
    def run_s(self) -> float:
        """Return a task's mean run time at the peak, by Little's law."""
        return self.target.running / self.target.starts

    @property
    def tasks(self) -> Range:
        """Return the tasks a day."""
        return self.target.jobs_a_day * TASKS_A_JOB[0], self.target.jobs_a_day * TASKS_A_JOB[1]

    @property
    def mean_starts(self) -> Range:
        """Return the mean of the starts a second over the day."""
        return self.tasks[0] / DAY_S, self.tasks[1] / DAY_S

    @property
    def running(self) -> Range:
        """Return the tasks running in the mean of the day, and at the peak."""
        return self.mean_starts[0] * self.run_s, float(self.target.running)

    @property
    def peak_s(self) -> Range:
        """Return for how many seconds a day's tasks last when they all start at the peak's rate."""
        return self.tasks[0] / self.target.starts, self.tasks[1] / self.target.starts

    @property
    def scheduler_restarts(self) -> float:
        """Return how many of a day's restarts meet a scheduler, if all machines are restarted alike."""
        return self.target.restarts_a_day * self.target.schedulers / self.machines

    @property
    def scheduler_restarts_range(self) -> Range:
        """Return the same, up to all: the users reckon with each restart of the day as a scheduler's."""
        return self.scheduler_restarts, float(self.target.restarts_a_day)

    @property
    def scheduler_failures(self) -> float:
        """Return how many of a day's failures meet a scheduler, if all machines fail alike."""
        return self.target.failures_a_day * self.target.schedulers / self.machines

    @property
    def worker_failures(self) -> float:
        """Return how many of a day's failures meet a worker."""
        return self.target.failures_a_day - self.scheduler_failures

    @property
    def worker_restarts(self) -> float:
        """Return how many of a day's restarts meet a worker."""
        return self.target.restarts_a_day - self.scheduler_restarts


def times(some: Range, factor: float | Range) -> Range:
    """Multiply two ranges of numbers that are not negative."""
    low, high = factor if isinstance(factor, tuple) else (factor, factor)
    return some[0] * low, some[1] * high


def share_of(figure: Figure) -> float | None:
    """Read a share: a part of 1, or per cent; None where the figure is neither."""
    value = figure.value / 100 if figure.unit == "%" else figure.value
    return value if 0 <= value <= 1 and figure.unit in ("", "%", "share", "part", "of tasks") else None


Read = Callable[[Run], float | None]  # a share from a run's figures; None where they don't tell it


def harmed(*keys: str) -> Read:
    """Read a share that is harmed: the first of these figures that is there."""

    def read(run: Run) -> float | None:
        return next((share_of(run.figures[k]) for k in keys if k in run.figures), None)

    return read


def spared(*keys: str) -> Read:
    """Read a share that is harmed as what these figures leave of the whole."""

    def read(run: Run) -> float | None:
        share = harmed(*keys)(run)
        return None if share is None else 1 - share

    return read


# What figures of a failure are called: the tasks that it met, and those of them that came to no harm.
_MET = (("met", ("met_served", "met_open")), ("tasks_open", ("tasks_served", "tasks_still_open")))


def lost_of_met(run: Run) -> float | None:
    """Read which part of the tasks that a failure met came to harm: all but those served or still open."""
    for met, spared_keys in _MET:
        if met in run.figures and run.figures[met].value:
            left = sum(run.figures[k].value for k in spared_keys if k in run.figures)
            return max(0.0, 1 - left / run.figures[met].value)
    return None


def lost_of_running(run: Run) -> float | None:
    """Read which part of all that ran was lost in a failure that met some of it."""
    lost, running = lost_of_met(run), run.sizes.get("running", 0.0)
    if lost is None or "met" not in run.figures or not running:
        return lost  # where all open tasks are told, they are what ran
    return min(1.0, lost * run.figures["met"].value / running)


def first(*reads: Read) -> Read:
    """Read by the first that finds something."""

    def read(run: Run) -> float | None:
        return next((share for r in reads if (share := r(run)) is not None), None)

    return read


@dataclass(slots=True, frozen=True)
class Cause:
    """One miss: what a day exposes to it, and how a run says which share of that is harmed."""

    title: str
    run: str  # pattern of the run's name
    read: Read
    exposed: Callable[[Load], Range]  # tasks a day
    formula: str
    mechanism: str
    less: str = ""  # pattern of a run whose share is taken off: what happens anyway


def _of_a_scheduler(events: float | Range, at: Load) -> Range:
    return times(times(at.running, 1 / at.target.schedulers), events)


def _a_year(events: Range, at: Load) -> Range:
    return times(at.running, (events[0] / DAYS_A_YEAR, events[1] / DAYS_A_YEAR))


def _gangs(at: Load) -> Range:
    return times(times((float(at.target.jobs_a_day),) * 2, GANG_JOBS), GANG_SLOTS)


CAUSES = (
    Cause(
        "A scheduler is restarted as planned",
        r"restart",
        lost_of_met,
        lambda at: _of_a_scheduler(at.scheduler_restarts_range, at),
        "restarts a day that meet a scheduler x running / schedulers x share lost",
        "open jobs pass to the next process",
    ),
    Cause(
        "A scheduler is replaced by a second process",
        r"replac",
        lost_of_met,
        lambda at: _of_a_scheduler(at.scheduler_restarts_range, at),
        "restarts a day that meet a scheduler x running / schedulers x share lost",
        "open jobs pass to the next process",
    ),
    Cause(
        "A scheduler fails",
        r"kill",
        lost_of_met,
        lambda at: _of_a_scheduler(at.scheduler_failures, at),
        "failures a day x schedulers / machines x running / schedulers x share lost",
        "open jobs are known to somebody else",
    ),
    Cause(
        "A zone is cut off",
        r"zone.cut",
        lost_of_running,
        lambda at: _a_year(ZONE_LOSSES_A_YEAR, at),
        "zones lost a year / 365 x running x share of it lost",
        "jobs of lost workers begin elsewhere",
    ),
    Cause(
        "A zone loses power",
        r"zone without power",
        lost_of_running,
        lambda at: _a_year(ZONE_LOSSES_A_YEAR, at),
        "zones lost a year / 365 x running x share of it lost",
        "jobs of lost workers begin elsewhere",
    ),
    Cause(
        "The regions lose each other",
        r"region",
        lost_of_running,
        lambda at: _a_year(REGION_CUTS_A_YEAR, at),
        "cuts a year / 365 x running x share of it lost",
        "answers wait for the way back",
    ),
    Cause(
        "Gangs that a worker could take are refused",
        r"^gangs of 32, 40 slots, load [\d.]+$",
        spared("begun_32"),
        _gangs,
        "jobs a day x part that are gangs x 32 slots x share of 32 slots not begun, idle workers of 40",
        "a tenant's bank reaches a gang's width",
    ),
    Cause(
        "Gangs wider than every worker, if workers have 10 slots",
        r"^gangs, 10 slots, load 0.1$",
        spared("begun_32"),
        _gangs,
        "jobs a day x part that are gangs x 32 slots x share of 32 slots not begun, idle workers of 10",
        "none here: no job is spread over workers",
    ),
    Cause(
        "Urgent work starts late",
        r"^target$",
        first(harmed("urgent_late"), spared("urgent_within_1s")),
        lambda at: times(at.tasks, URGENT_TASKS),
        "tasks a day x part that are urgent x share over 1 s",
        "no push behind a job of minutes",
    ),
    Cause(
        "A team's tasks come at one scheduler and are refused within its quota",
        r"quota, inside, one$",
        spared("begun_over_asked"),
        lambda at: times(at.tasks, UNEVEN_TASKS),
        "tasks a day x part whose team comes at one scheduler x share not begun, over that of an even team",
        "schedulers tell each other what tenants use",
        r"quota, inside, even$",
    ),
)


@dataclass(slots=True, frozen=True)
class Harm:
    """One cause with its harm; None where no run has measured the share."""

    title: str
    run: str
    source: str
    share: float | None
    exposed: Range
    formula: str
    mechanism: str

    @property
    def tasks(self) -> Range | None:
        """Return the tasks lost or late a day."""
        return None if self.share is None else times(self.exposed, self.share)


@dataclass(slots=True, frozen=True)
class Passed:
    """One limit that is passed."""

    title: str
    value: float
    limit: float
    unit: str

    @property
    def factor(self) -> float:
        """Return how many times the limit the value is."""
        return self.value / self.limit if self.limit else float("inf")


def find_share(cause: Cause, runs: Iterable[Run]) -> tuple[str, str, float | None]:
    """Return run, source and share for a cause: of several runs a real one, then that with most running."""
    some = list(runs)
    off = 0.0
    if cause.less:
        shares = [cause.read(run) for run in some if re.search(cause.less, run.name, re.I)]
        if (least := min((x for x in shares if x is not None), default=None)) is None:
            return "", "", None
        off = least
    found = [
        ((run.source == "real", run.sizes.get("running", 0.0), share), run)
        for run in some
        if re.search(cause.run, run.name, re.I) and (share := cause.read(run)) is not None
    ]
    if not found:
        return "", "", None
    (_, _, share), run = max(found, key=lambda f: f[0])
    return run.name, run.source, max(0.0, share - off)


def rank(result: Result, target: Target = TARGET) -> list[Harm]:
    """Return all causes, worst first by the upper end of the tasks harmed; those not measured come last."""
    load = Load(target)
    found = []
    for cause in CAUSES:
        name, source, share = find_share(cause, result.runs)
        found.append(
            Harm(cause.title, name, source, share, cause.exposed(load), cause.formula, cause.mechanism)
        )
    return sorted(found, key=lambda h: (h.tasks is None, -(h.tasks[1] if h.tasks else h.exposed[1]), h.title))


def passed(rows: Iterable[Row], runs: Iterable[Run]) -> list[Passed]:
    """Return the limits that are passed, by how many times; a run's figure that is a row counts once."""
    failing = [r for r in rows if r.verdict is Verdict.FAILS]
    told = {(r.source, r.name) for r in failing}
    found = [
        Passed(f"{r.title}: {r.what}", r.value, r.limit, r.unit)
        for r in failing
        if r.value is not None and r.limit is not None
    ]
    found += [
        Passed(f"run `{run.name}`, {run.source}: {key}", f.value, f.limit, f.unit)
        for run in runs
        for key, f in run.figures.items()
        if f.limit is not None and f.value > f.limit
        if (source_of(run), figure_name(run, key)) not in told
    ]
    return sorted(found, key=lambda p: (-p.factor, p.title))
