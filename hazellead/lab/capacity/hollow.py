"""The hollow part of the capacity measurement: the users' size and multiples of it in virtual time.

One process; seeds decide everything but processor time. Sweeps measure one scheduler, or members that talk,
along one axis with all else held at the target; runs play whole installations.
"""

import argparse
import gc
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from hazellead.lab.capacity import hollow_runs as runs
from hazellead.lab.capacity import hollow_sweeps as sweeps
from hazellead.lab.capacity.hollow_runs import compare
from hazellead.lab.capacity.hollow_scope import Say, Scope
from hazellead.lab.capacity.result import Result
from hazellead.lab.measure import silence_scheduler_logs

__all__ = ["compare", "main", "measure"]

PARTS = (runs.common, runs.target, runs.multiples, runs.gangs, runs.gang_thresholds, runs.quotas, runs.killed,
         runs.zone, runs.region, runs.members_cut, sweeps.costs, sweeps.changes, sweeps.memory,
         sweeps.members, sweeps.learning)


def measure(result: Result, *, small: bool, seed: int, say: Say) -> None:
    """Add the hollow sweeps and runs to a result; ``say`` hears of each part as it ends."""
    silence_scheduler_logs()
    scope = Scope(small, seed, say)
    for part in PARTS:
        began = time.monotonic()
        part(result, scope)
        gc.collect()
        say(f"hollow {part.__name__}: {time.monotonic() - began:.1f} s")


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure the hollow part alone and print its figures; with ``--out`` write a result file."""
    parser = argparse.ArgumentParser(prog="hazellead.lab.capacity.hollow", description=__doc__)
    parser.add_argument("--small", action="store_true", help="small sizes: a check of the measurement itself")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path)
    given = parser.parse_args(arguments)
    result, began = Result(), time.monotonic()
    shown = [0, 0]

    def say(text: str) -> None:
        print(text, flush=True)
        for run in result.runs[shown[0]:]:
            figures = ", ".join(f"{k} {f.value:.4g}{'!' if f.limit is not None and f.value > f.limit else ''}"
                                for k, f in run.figures.items())
            print(f"    {run.name} (seed {run.seed}): {figures}; broken {len(run.broken)}")
        for sweep in result.sweeps[shown[1]:]:
            points = "; ".join(f"{p.size:g}: {', '.join(f'{v:.4g}' for v in p.values)}" for p in sweep.points)
            print(f"    {sweep.role} {sweep.quantity} [{sweep.unit}] by {sweep.axis}: {points}")
        shown[:] = [len(result.runs), len(result.sweeps)]

    measure(result, small=given.small, seed=given.seed, say=say)
    result.seconds = time.monotonic() - began
    if given.out:
        result.save(given.out)
    print(f"{result.seconds:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
