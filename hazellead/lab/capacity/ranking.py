"""Ranks shortfalls by their harm at the target's size: tasks lost or late a day, and limits exceeded.

Harm is the target's load times the share of tasks that a run showed lost or late. Figures that the users
have not given are assumed as named ranges; the harm is then a range, ranked by its upper end.
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
# Assumptions where the users gave no figure; the page asks for each of them.
TASKS_A_JOB: Range = (1.0, 32.0)
GANG_JOBS: Range = (0.01, 0.10)  # share of the jobs that need many slots at once
GANG_SLOTS = 32.0
UNEVEN_TASKS: Range = (0.01, 0.10)  # share of the tasks whose team uses one scheduler only
URGENT_TASKS: Range = (0.01, 0.10)  # share of the tasks that are urgent
ZONE_LOSSES_A_YEAR: Range = (2.0, 5.0)
REGION_CUTS_A_YEAR: Range = (3.0, 10.0)
SWITCH_DAYS: Range = (30.0, 60.0)  # between two failures of a rack or switch
SWITCH_MACHINES: Range = (8.0, 40.0)  # behind one rack or switch


@dataclass(slots=True, frozen=True)
class Load:
    """The daily load that follows from the target and the assumed ranges."""

    target: Target = TARGET

    @property
    def machines(self) -> float:
        """Return the number of machines of workers and schedulers."""
        return float(self.target.workers + self.target.schedulers)

    @property
    def run_s(self) -> float:
        """Return a task's mean run time in seconds at the peak, by Little's law."""
        return self.target.running / self.target.starts

    @property
    def tasks(self) -> Range:
        """Return the number of tasks a day."""
        return self.target.jobs_a_day * TASKS_A_JOB[0], self.target.jobs_a_day * TASKS_A_JOB[1]

    @property
    def mean_starts(self) -> Range:
        """Return the starts a second, as the mean of the day."""
        return self.tasks[0] / DAY_S, self.tasks[1] / DAY_S

    @property
    def running(self) -> Range:
        """Return the concurrently running tasks, as the mean of the day and at the peak."""
        return self.mean_starts[0] * self.run_s, float(self.target.running)

    @property
    def peak_s(self) -> Range:
        """Return the seconds that the starts of a day's tasks would take at the peak rate."""
        return self.tasks[0] / self.target.starts, self.tasks[1] / self.target.starts

    @property
    def scheduler_restarts(self) -> float:
        """Return the scheduler restarts a day, if all machines are restarted equally often."""
        return self.target.restarts_a_day * self.target.schedulers / self.machines

    @property
    def scheduler_restarts_range(self) -> Range:
        """Return the same, up to all restarts of the day, which is what the users reckon with."""
        return self.scheduler_restarts, float(self.target.restarts_a_day)

    @property
    def scheduler_failures(self) -> float:
        """Return the scheduler failures a day, if all machines fail equally often."""
        return self.target.failures_a_day * self.target.schedulers / self.machines

    @property
    def worker_failures(self) -> float:
        """Return the worker failures a day."""
        return self.target.failures_a_day - self.scheduler_failures

    @property
    def worker_restarts(self) -> float:
        """Return the worker restarts a day."""
        return self.target.restarts_a_day - self.scheduler_restarts


def multiply(values: Range, factor: float | Range) -> Range:
    """Multiply a range by a factor or another range; all numbers must be non-negative."""
    low, high = factor if isinstance(factor, tuple) else (factor, factor)
    return values[0] * low, values[1] * high


def parse_share(figure: Figure) -> float | None:
    """Return a figure as a share between 0 and 1; None if it is no share or percentage."""
    value = figure.value / 100 if figure.unit == "%" else figure.value
    return value if 0 <= value <= 1 and figure.unit in ("", "%", "share", "part", "of tasks") else None


ShareReader = Callable[[Run], float | None]  # returns a share from a run's figures; None if they lack it


def harmed_share(*keys: str) -> ShareReader:
    """Return a reader of the harmed share: the first of these figures that a run has."""

    def read(run: Run) -> float | None:
        return next((parse_share(run.figures[k]) for k in keys if k in run.figures), None)

    return read


def complement_share(*keys: str) -> ShareReader:
    """Return a reader of the harmed share, as the complement of the first of these figures."""

    def read(run: Run) -> float | None:
        share = harmed_share(*keys)(run)
        return None if share is None else 1 - share

    return read


# Names of a failure run's figures: the affected tasks, and those of them that were not harmed.
_MET_FIGURES = (("met", ("met_served", "met_open")), ("tasks_open", ("tasks_served", "tasks_still_open")))


def harmed_share_of_affected(run: Run) -> float | None:
    """Return the share of the affected tasks that were neither served nor open; None if not measured."""
    for affected, unharmed_keys in _MET_FIGURES:
        if affected in run.figures and run.figures[affected].value:
            left = sum(run.figures[k].value for k in unharmed_keys if k in run.figures)
            return max(0.0, 1 - left / run.figures[affected].value)
    return None


def harmed_share_of_running(run: Run) -> float | None:
    """Return the share of all running tasks that a failure harmed; None if not measured."""
    lost, running = harmed_share_of_affected(run), run.sizes.get("running", 0.0)
    if lost is None or "met" not in run.figures or not running:
        return lost  # a run without "met" counts all open tasks, which are the running ones
    return min(1.0, lost * run.figures["met"].value / running)


def first_found(*reads: ShareReader) -> ShareReader:
    """Return a reader that uses the first of these readers with a result."""

    def read(run: Run) -> float | None:
        return next((share for r in reads if (share := r(run)) is not None), None)

    return read


@dataclass(slots=True, frozen=True)
class Cause:
    """One kind of shortfall: the tasks a day exposed to it, and how to read the harmed share from a run."""

    title: str
    run: str  # pattern of the run's name
    read: ShareReader
    exposed: Callable[[Load], Range]  # tasks a day
    formula: str
    mechanism: str
    baseline_run: str = ""  # pattern of a run whose share is subtracted, as that harm happens anyway


def _per_scheduler(events: float | Range, load: Load) -> Range:
    return multiply(multiply(load.running, 1 / load.target.schedulers), events)


def _per_year(events: Range, load: Load) -> Range:
    return multiply(load.running, (events[0] / DAYS_A_YEAR, events[1] / DAYS_A_YEAR))


def _gangs(load: Load) -> Range:
    return multiply(multiply((float(load.target.jobs_a_day),) * 2, GANG_JOBS), GANG_SLOTS)


CAUSES = (
    Cause(
        "A scheduler is restarted as planned",
        r"restart",
        harmed_share_of_affected,
        lambda load: _per_scheduler(load.scheduler_restarts_range, load),
        "restarts a day that meet a scheduler x running / schedulers x share lost",
        "open jobs pass to the next process",
    ),
    Cause(
        "A scheduler is replaced by a second process",
        r"replac",
        harmed_share_of_affected,
        lambda load: _per_scheduler(load.scheduler_restarts_range, load),
        "restarts a day that meet a scheduler x running / schedulers x share lost",
        "open jobs pass to the next process",
    ),
    Cause(
        "A scheduler fails",
        r"kill",
        harmed_share_of_affected,
        lambda load: _per_scheduler(load.scheduler_failures, load),
        "failures a day x schedulers / machines x running / schedulers x share lost",
        "open jobs are known to somebody else",
    ),
    Cause(
        "A zone is cut off",
        r"zone.cut",
        harmed_share_of_running,
        lambda load: _per_year(ZONE_LOSSES_A_YEAR, load),
        "zones lost a year / 365 x running x share of it lost",
        "jobs of lost workers begin elsewhere",
    ),
    Cause(
        "A zone loses power",
        r"zone without power",
        harmed_share_of_running,
        lambda load: _per_year(ZONE_LOSSES_A_YEAR, load),
        "zones lost a year / 365 x running x share of it lost",
        "jobs of lost workers begin elsewhere",
    ),
    Cause(
        "The regions lose each other",
        r"region",
        harmed_share_of_running,
        lambda load: _per_year(REGION_CUTS_A_YEAR, load),
        "cuts a year / 365 x running x share of it lost",
        "answers wait for the way back",
    ),
    Cause(
        "Gangs that a worker could take are refused",
        r"^gangs of 32, 40 slots, load [\d.]+$",
        complement_share("begun_32"),
        _gangs,
        "jobs a day x part that are gangs x 32 slots x share of 32 slots not begun, idle workers of 40",
        "a tenant's bank reaches a gang's width",
    ),
    Cause(
        "Gangs wider than every worker, if workers have 10 slots",
        r"^gangs, 10 slots, load 0.1$",
        complement_share("begun_32"),
        _gangs,
        "jobs a day x part that are gangs x 32 slots x share of 32 slots not begun, idle workers of 10",
        "none here: no job is spread over workers",
    ),
    Cause(
        "Urgent work starts late",
        r"^target$",
        first_found(harmed_share("urgent_late"), complement_share("urgent_within_1s")),
        lambda load: multiply(load.tasks, URGENT_TASKS),
        "tasks a day x part that are urgent x share over 1 s",
        "no push behind a job of minutes",
    ),
    Cause(
        "A team's tasks come at one scheduler and are refused within its quota",
        r"quota, inside, one$",
        complement_share("begun_over_asked"),
        lambda load: multiply(load.tasks, UNEVEN_TASKS),
        "tasks a day x part whose team comes at one scheduler x share not begun, over that of an even team",
        "schedulers tell each other what tenants use",
        r"quota, inside, even$",
    ),
)


@dataclass(slots=True, frozen=True)
class Harm:
    """One cause with its harm; the share is None if no run measured it."""

    title: str
    run: str
    source: str
    share: float | None
    exposed: Range
    formula: str
    mechanism: str

    @property
    def tasks(self) -> Range | None:
        """Return the tasks lost or late a day; None if the share was not measured."""
        return None if self.share is None else multiply(self.exposed, self.share)


@dataclass(slots=True, frozen=True)
class ExceededLimit:
    """A value that exceeds its limit."""

    title: str
    value: float
    limit: float
    unit: str

    @property
    def factor(self) -> float:
        """Return the value as a multiple of the limit."""
        return self.value / self.limit if self.limit else float("inf")


def find_share(cause: Cause, runs: Iterable[Run]) -> tuple[str, str, float | None]:
    """Return run, source and share for a cause; prefers real runs, then most running tasks."""
    candidates = list(runs)
    baseline = 0.0
    if cause.baseline_run:
        shares = [cause.read(run) for run in candidates if re.search(cause.baseline_run, run.name, re.I)]
        if (least := min((x for x in shares if x is not None), default=None)) is None:
            return "", "", None
        baseline = least
    found = [
        ((run.source == "real", run.sizes.get("running", 0.0), share), run)
        for run in candidates
        if re.search(cause.run, run.name, re.I) and (share := cause.read(run)) is not None
    ]
    if not found:
        return "", "", None
    (_, _, share), run = max(found, key=lambda f: f[0])
    return run.name, run.source, max(0.0, share - baseline)


def rank(result: Result, target: Target = TARGET) -> list[Harm]:
    """Return all causes, the largest upper end of harmed tasks first, unmeasured ones last."""
    load = Load(target)
    found = []
    for cause in CAUSES:
        name, source, share = find_share(cause, result.runs)
        found.append(
            Harm(cause.title, name, source, share, cause.exposed(load), cause.formula, cause.mechanism)
        )
    return sorted(found, key=lambda h: (h.tasks is None, -(h.tasks[1] if h.tasks else h.exposed[1]), h.title))


def exceeded_limits(rows: Iterable[Row], runs: Iterable[Run]) -> list[ExceededLimit]:
    """Return the exceeded limits, largest factor first; a figure that is also a table row counts once."""
    failing = [r for r in rows if r.verdict is Verdict.FAILS]
    listed = {(r.source, r.name) for r in failing}
    found = [
        ExceededLimit(f"{r.title}: {r.what}", r.value, r.limit, r.unit)
        for r in failing
        if r.value is not None and r.limit is not None
    ]
    found += [
        ExceededLimit(f"run `{run.name}`, {run.source}: {key}", f.value, f.limit, f.unit)
        for run in runs
        for key, f in run.figures.items()
        if f.limit is not None and f.value > f.limit
        if (source_of(run), figure_name(run, key)) not in listed
    ]
    return sorted(found, key=lambda p: (-p.factor, p.title))
