"""Helpers of the measurements: runs in parallel processes, bootstrap intervals, and reports with bounds."""

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


def silence_scheduler_logs() -> None:
    """Suppress the schedulers' log below the level critical, so that it does not mix with the figures."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def run_in_processes(work: Callable[[A], R], jobs: Iterable[A], processes: int | None = None) -> list[R]:
    """Run ``work`` on each job in parallel processes; return the results in the order of the jobs."""
    with ProcessPoolExecutor(processes, initializer=silence_scheduler_logs) as pool:
        return list(pool.map(work, jobs))


def bootstrap_interval(
    values: Sequence[float], of: Callable[[Sequence[float]], float] = mean, seed: int = 1, rounds: int = 2000,
) -> tuple[float, float]:
    """Return the 95 % confidence interval of a statistic by bootstrap (Efron's percentile method)."""
    rng = Random(seed)
    estimates = sorted(of(rng.choices(values, k=len(values))) for _ in range(rounds))
    return estimates[int(0.025 * rounds)], estimates[int(0.975 * rounds) - 1]


@dataclass(slots=True)
class Report:
    """Figures and missed bounds of one measurement, printed as they come and as one JSON line at the end."""

    name: str
    figures: dict[str, Any] = field(default_factory=dict)
    missed_bounds: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)

    def add(self, **figures: Any) -> None:
        """Add figures and print them with the time elapsed."""
        for key, value in figures.items():
            self.figures[key] = _rounded(value)
            elapsed = time.monotonic() - self.started_at
            print(f"{elapsed:7.1f} s  {key}: {json.dumps(self.figures[key])}", flush=True)

    def check_bound(self, description: str, *, holds: bool) -> None:
        """Print whether a bound holds; remember it if it was missed."""
        if not holds:
            self.missed_bounds.append(description)
        print(f"           {'holds ' if holds else 'MISSED'}  {description}", flush=True)

    def finish(self) -> int:
        """Print the JSON line; return the exit code: 1 if a bound was missed, else 0."""
        self.figures["seconds"] = round(time.monotonic() - self.started_at, 1)
        print(json.dumps({"measure": self.name, **self.figures, "missed": self.missed_bounds}))
        sys.stdout.flush()
        return 1 if self.missed_bounds else 0


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 4)
    if isinstance(value, list | tuple):
        return [_rounded(v) for v in value]
    if isinstance(value, dict):
        return {k: _rounded(v) for k, v in value.items()}
    return value
