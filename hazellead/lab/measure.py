"""What measurements share: paired runs over processes, intervals by bootstrap, bounds that can be missed."""

import json
import logging
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from random import Random
from statistics import mean
from typing import Any, TypeVar

import structlog

A = TypeVar("A")
R = TypeVar("R")


def quiet() -> None:
    """Keep schedulers' own log out of a measurement."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def spread(work: Callable[[A], R], jobs: Iterable[A], processes: int | None = None) -> list[R]:
    """Do jobs over processes; the results come in the order of the jobs, whatever the number of processes."""
    with ProcessPoolExecutor(processes, initializer=quiet) as pool:
        return list(pool.map(work, jobs))


def interval(
    values: Sequence[float], of: Callable[[Sequence[float]], float] = mean, seed: int = 1, rounds: int = 2000,
) -> tuple[float, float]:
    """Return the 95 % interval of a statistic by bootstrap (Efron's percentile method)."""
    rng = Random(seed)
    found = sorted(of(rng.choices(values, k=len(values))) for _ in range(rounds))
    return found[int(0.025 * rounds)], found[int(0.975 * rounds) - 1]


@dataclass(slots=True)
class Report:
    """Figures and bounds of one measurement. ``finish`` prints one JSON line and gives the exit code."""

    name: str
    figures: dict[str, Any] = field(default_factory=dict)
    missed: list[str] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)

    def add(self, **figures: Any) -> None:
        """Note figures and show them as they come."""
        for key, value in figures.items():
            self.figures[key] = _plain(value)
            passed = time.monotonic() - self.began
            print(f"{passed:7.1f} s  {key}: {json.dumps(self.figures[key])}", flush=True)

    def bound(self, what: str, *, holds: bool) -> None:
        """Note whether a bound holds."""
        if not holds:
            self.missed.append(what)
        print(f"           {'holds ' if holds else 'MISSED'}  {what}", flush=True)

    def finish(self) -> int:
        """Print the line and return 1 if a bound was missed."""
        self.figures["seconds"] = round(time.monotonic() - self.began, 1)
        print(json.dumps({"measure": self.name, **self.figures, "missed": self.missed}))
        sys.stdout.flush()
        return 1 if self.missed else 0


def _plain(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 4)
    if isinstance(value, list | tuple):
        return [_plain(v) for v in value]
    if isinstance(value, dict):
        return {k: _plain(v) for k, v in value.items()}
    return value
