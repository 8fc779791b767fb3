"""The hollow part of the capacity measurement: the target's size and multiples of it in virtual time.

It runs in one process and is deterministic for a seed, except for processor times. Sweeps measure one
scheduler, or a group of peers, along one axis with all other sizes at the target; runs simulate whole
installations.
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
from hazellead.lab.capacity.hollow_scope import ProgressCallback, Scope
from hazellead.lab.capacity.result import Result
from hazellead.lab.measure import silence_scheduler_logs

__all__ = ["compare", "main", "measure"]

PARTS = (runs.common, runs.target, runs.multiples, runs.gangs, runs.gang_thresholds, runs.quotas, runs.killed,
         runs.zone, runs.region, runs.members_cut, sweeps.costs, sweeps.changes, sweeps.memory,
         sweeps.members, sweeps.learning)


def measure(result: Result, *, small: bool, seed: int, say: ProgressCallback) -> None:
    """Add the hollow sweeps and runs to a result; ``say`` prints a line of progress after each part."""
    silence_scheduler_logs()
    scope = Scope(small, seed, say)
    for part in PARTS:
        began = time.monotonic()
        part(result, scope)
        gc.collect()
        say(f"hollow {part.__name__}: {time.monotonic() - began:.1f} s")


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure only the hollow part and print its figures; with ``--out``, also write a result file."""
    parser = argparse.ArgumentParser(prog="hazellead.lab.capacity.hollow", description=__doc__)
    parser.add_argument("--small", action="store_true", help="small sizes, to check the measurement itself")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args(arguments)
    result, began = Result(), time.monotonic()
    printed = [0, 0]

    def say(text: str) -> None:
        print(text, flush=True)
        for run in result.runs[printed[0]:]:
            figures = ", ".join(f"{k} {f.value:.4g}{'!' if f.limit is not None and f.value > f.limit else ''}"
                                for k, f in run.figures.items())
            print(f"    {run.name} (seed {run.seed}): {figures}; broken {len(run.broken)}")
        for sweep in result.sweeps[printed[1]:]:
            points = "; ".join(f"{p.size:g}: {', '.join(f'{v:.4g}' for v in p.values)}" for p in sweep.points)
            print(f"    {sweep.role} {sweep.quantity} [{sweep.unit}] by {sweep.axis}: {points}")
        printed[:] = [len(result.runs), len(result.sweeps)]

    measure(result, small=options.small, seed=options.seed, say=say)
    result.seconds = time.monotonic() - began
    if options.out:
        result.save(options.out)
    print(f"{result.seconds:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
