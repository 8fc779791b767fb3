"""Executes seeded soak runs and reports them: ``python -m hazellead.lab.soak --seed 1 --runs 50``.

Exit code 0: no rule was broken; 1: at least one was. Each violation is printed, with the command that repeats
its run.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import as_completed
from pathlib import Path

from hdrh.histogram import HdrHistogram

from hazellead.lab.soak.plan import FAULT_PHASE_S, draw_plan
from hazellead.lab.soak.processes import scheduler_command
from hazellead.lab.soak.records import Records
from hazellead.lab.soak.runner import Outcome, isolated_executor, run_plan_sync

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9, 100.0)


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="hazellead.lab.soak", description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the first run; each further run has the next one")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=2, help="number of runs that are executed in parallel")
    parser.add_argument(
        "--seconds", type=float, default=FAULT_PHASE_S, help="length of each run's fault phase in seconds")
    parser.add_argument(
        "--program", default="-m hazellead", help="arguments of the interpreter that run the scheduler")
    parser.add_argument(
        "--keep", type=Path, default=Path("soak-failures"), help="folder for logs and records of failed runs")
    return parser.parse_args(arguments)


def run_all(options: argparse.Namespace) -> list[Outcome]:
    """Execute all runs, some in parallel, and print each as it ends."""
    program = scheduler_command(options.program)
    outcomes = []
    with isolated_executor(options.at_once) as executor:
        seeds = range(options.seed, options.seed + options.runs)
        futures = [
            executor.submit(run_plan_sync, draw_plan(seed, options.seconds), program, options.keep)
            for seed in seeds]
        for future in as_completed(futures):
            outcomes.append(future.result())
            print_outcome(outcomes[-1])
    return outcomes


def print_outcome(outcome: Outcome) -> None:
    """Print a run's summary, its violations and, if there are any, the command that repeats the run."""
    print(summary(outcome), flush=True)
    for violation in outcome.violations:
        print(f"  {violation}", flush=True)
    if outcome.violations:
        print(f"  repeat with: {outcome.command}; logs and records: {outcome.folder}", flush=True)


def summary(outcome: Outcome) -> str:
    """Return a run's figures and faults as one line of text."""
    answers = Counter(answer.status for r in outcome.records.requests.values() for answer in r.answers[:1])
    longest_stall = max((span for _, span in outcome.records.holdups), default=0.0)
    statuses = ", ".join(f"{status} {count}" for status, count in sorted(answers.items()))
    return (f"seed {outcome.plan.seed}: {len(outcome.violations)} violations, "
            f"{len(outcome.records.requests)} requests ({statuses}), "
            f"test process stalled for {longest_stall:.3f} s at most, "
            f"{outcome.seconds:.0f} s; {'; '.join(outcome.plan.faults())}")


def latencies(records: Sequence[Records]) -> dict[str, HdrHistogram]:
    """Return the latencies of all answered requests in microseconds, by the answer's status."""
    histograms: dict[str, HdrHistogram] = {}
    for request in (r for record in records for r in record.requests.values()):
        if request.last_byte is not None and request.answers:
            answer = request.answers[0]
            histogram = histograms.setdefault(
                str(answer.status), HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS))
            histogram.record_value(max(1, int((answer.at - request.last_byte) * 1e6)))
    return histograms


def report(outcomes: Sequence[Outcome]) -> str:
    """Return the totals of all runs as text: faults, broken rules and latencies."""
    faults = Counter(fault for outcome in outcomes for fault in outcome.plan.faults())
    broken = Counter(v.rule for outcome in outcomes for v in outcome.violations)
    records = [outcome.records for outcome in outcomes]
    lines = [
        f"{len(outcomes)} runs, {sum(len(r.requests) for r in records)} requests, "
        f"{sum(len(r.attempts) for r in records)} attempts, {sum(len(r.lives) for r in records)} processes",
        "faults injected: " + "; ".join(f"{name} {count}" for name, count in sorted(faults.items())),
        "rules broken: " + ("; ".join(f"{rule} {n}" for rule, n in sorted(broken.items())) or "none")]
    for status, histogram in sorted(latencies(records).items()):
        percentiles = (f"p{p:g} {histogram.get_value_at_percentile(p) / 1000:.0f} ms" for p in PERCENTILES)
        lines.append(f"answers {status}: {histogram.get_total_count()}, {', '.join(percentiles)}")
    return "\n".join(lines)


def main() -> int:
    """Execute the runs of the command line, print the report and return the exit code."""
    outcomes = run_all(parse_arguments(sys.argv[1:]))
    print(report(outcomes))
    return int(any(outcome.violations for outcome in outcomes))


if __name__ == "__main__":
    sys.exit(main())
