"""The kinds of failure that the users expect, and the runs that measured them."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from hazellead.lab.capacity.ranking import (
    REGION_CUTS_A_YEAR,
    SWITCH_DAYS,
    SWITCH_MACHINES,
    ZONE_LOSSES_A_YEAR,
    Load,
)
from hazellead.lab.capacity.result import Figure, Run

_HARM = r"met|tasks_|run_twice|deaths$"
_SERVICE = r"seconds_until_service|in_time_(before|while|after)|begun_(inside|outside|after)|agreed|alike"


@dataclass(slots=True, frozen=True)
class Failure:
    """One kind of failure: its frequency, its harm by the program's design, and the runs that show it."""

    kind: str
    often: str
    harm: str
    run: str  # pattern of the names of its runs
    found: tuple[Run, ...] = ()

    def shown(self, run: Run) -> dict[str, Figure]:
        """Return the figures of a run that show the harm."""
        return {k: f for k, f in run.figures.items() if re.match(_HARM, k)}

    def back(self, run: Run) -> dict[str, Figure]:
        """Return the figures of a run that show the service afterwards."""
        return {k: f for k, f in run.figures.items() if re.match(_SERVICE, k)}

    @property
    def measured(self) -> bool:
        """Return whether any run measured it."""
        return bool(self.found)


def _per_day(number: float) -> str:
    return f"{number:.3g} a day"


def failures(runs: Iterable[Run]) -> list[Failure]:
    """Return all kinds of failure with their runs.

    Frequencies follow from the target, on the assumption that all machines are affected alike.
    """
    load, all_runs = Load(), list(runs)
    zones, cuts = ZONE_LOSSES_A_YEAR, REGION_CUTS_A_YEAR
    kinds = (
        Failure(
            "A scheduler's machine fails",
            _per_day(load.scheduler_failures),
            "its open jobs are lost; those that may have run and may not run twice need a person",
            r"kill",
        ),
        Failure(
            "A worker's machine fails",
            _per_day(load.worker_failures),
            "its tasks are lost; a class that may be repeated is sent elsewhere, from its last saved state",
            r"worker.*(fail|kill|lost)|(fail|kill|lost).*worker",
        ),
        Failure(
            "A scheduler is restarted",
            _per_day(load.scheduler_restarts),
            "jobs that outlast the 3.6 s after SIGTERM are answered failed or refused",
            r"restart",
        ),
        Failure(
            "A scheduler is replaced",
            f"in place of the {_per_day(load.scheduler_restarts)} above",
            "no connection ends; jobs that would outlast the old one pass on, once a worker has taken them",
            r"replac",
        ),
        Failure(
            "A worker is restarted or replaced",
            _per_day(load.worker_restarts),
            "it drains: what it has goes on to its end, nothing new is sent; it comes back cold",
            r"worker.*(restart|replac|drain)|drain",
        ),
        Failure(
            "A rack or switch goes",
            f"every {SWITCH_DAYS[0]:g} to {SWITCH_DAYS[1]:g} days, "
            f"{SWITCH_MACHINES[0]:g} to {SWITCH_MACHINES[1]:g} machines (assumed)",
            "as so many workers' machines at once, silent rather than refused",
            r"rack|switch",
        ),
        Failure(
            "A zone goes",
            f"{zones[0]:g} to {zones[1]:g} a year (assumed)",
            "a sixth of the workers falls silent; their tasks are lost",
            r"zone",
        ),
        Failure(
            "The regions lose each other",
            f"{cuts[0]:g} to {cuts[1]:g} a year (assumed), for minutes",
            "answers from across are lost to their schedulers; members go on with what they know",
            r"region|members cut",
        ),
    )

    def runs_of(f: Failure) -> tuple[Run, ...]:
        return tuple(
            r
            for r in all_runs
            if re.search(f.run, r.name, re.I)
            and (("worker" in f.run) == bool(re.search("worker|drain", r.name, re.I)))
        )

    return [Failure(f.kind, f.often, f.harm, f.run, runs_of(f)) for f in kinds]
