"""Plays seeded runs and reports them: ``python -m hazellead.lab.soak --seed 1 --runs 50``.

Exit code 0: no rule was broken; 1: some were, each printed with the command that plays its run again.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import as_completed
from pathlib import Path

from hdrh.histogram import HdrHistogram

from hazellead.lab.soak.plan import LENGTH_S, draw
from hazellead.lab.soak.play import Outcome, apart, play_here
from hazellead.lab.soak.processes import program_of
from hazellead.lab.soak.records import Records

LONGEST_US = 60_000_000
DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9, 100.0)


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="hazellead.lab.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first run; the others follow it")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=2, help="runs that are played side by side")
    parser.add_argument("--seconds", type=float, default=LENGTH_S, help="of trouble in each run")
    parser.add_argument(
        "--program", default="-m hazellead", help="arguments of the interpreter that run the scheduler")
    parser.add_argument("--keep", type=Path, default=Path("soak-failures"), help="for what failed runs leave")
    return parser.parse_args(arguments)


def play_all(given: argparse.Namespace) -> list[Outcome]:
    """Play all runs, some side by side, and print each as it ends."""
    program = program_of(given.program)
    outcomes = []
    with apart(given.at_once) as players:
        seeds = range(given.seed, given.seed + given.runs)
        plays = [players.submit(play_here, draw(seed, given.seconds), program, given.keep) for seed in seeds]
        for ended in as_completed(plays):
            outcomes.append(ended.result())
            print_outcome(outcomes[-1])
    return outcomes


def print_outcome(outcome: Outcome) -> None:
    """Print one run, with all that it broke and the command that plays it again."""
    print(line(outcome), flush=True)
    for violation in outcome.violations:
        print(f"  {violation}", flush=True)
    if outcome.violations:
        print(f"  again: {outcome.command}; kept in {outcome.folder}", flush=True)


def line(outcome: Outcome) -> str:
    """Return one run as one line."""
    answers = Counter(answer.status for r in outcome.records.requests.values() for answer in r.answers[:1])
    held = max((span for _, span in outcome.records.holdups), default=0.0)
    told = ", ".join(f"{status} {count}" for status, count in sorted(answers.items()))
    return (f"seed {outcome.plan.seed}: {len(outcome.violations)} violations, "
            f"{len(outcome.records.requests)} requests ({told}), stand-ins held up {held:.3f} s at most, "
            f"{outcome.seconds:.0f} s; {'; '.join(outcome.plan.faults())}")


def latencies(records: Sequence[Records]) -> dict[str, HdrHistogram]:
    """Return the times to the answer of all runs, by what the answer was."""
    found: dict[str, HdrHistogram] = {}
    for request in (r for record in records for r in record.requests.values()):
        if request.last_byte is not None and request.answers:
            answer = request.answers[0]
            histogram = found.setdefault(str(answer.status), HdrHistogram(1, LONGEST_US, DIGITS))
            histogram.record_value(max(1, int((answer.at - request.last_byte) * 1e6)))
    return found


def report(outcomes: Sequence[Outcome]) -> str:
    """Return what all runs together were."""
    faults = Counter(fault for outcome in outcomes for fault in outcome.plan.faults())
    broken = Counter(v.rule for outcome in outcomes for v in outcome.violations)
    records = [outcome.records for outcome in outcomes]
    lines = [
        f"{len(outcomes)} runs, {sum(len(r.requests) for r in records)} requests, "
        f"{sum(len(r.attempts) for r in records)} attempts, {sum(len(r.lives) for r in records)} processes",
        "faults played: " + "; ".join(f"{name} {count}" for name, count in sorted(faults.items())),
        "rules broken: " + ("; ".join(f"{rule} {n}" for rule, n in sorted(broken.items())) or "none")]
    for status, histogram in sorted(latencies(records).items()):
        spans = (f"p{p:g} {histogram.get_value_at_percentile(p) / 1000:.0f} ms" for p in PERCENTILES)
        lines.append(f"answers {status}: {histogram.get_total_count()}, {', '.join(spans)}")
    return "\n".join(lines)


def main() -> int:
    """Play and report."""
    outcomes = play_all(parse(sys.argv[1:]))
    print(report(outcomes))
    return int(any(outcome.violations for outcome in outcomes))


if __name__ == "__main__":
    sys.exit(main())
