"""Renders the generated parts of docs/CAPACITY.md and its plots from a result, with the templates."""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass

import jinja2

from hazellead.lab.capacity import failures, ranking, table
from hazellead.lab.capacity.result import Result
from hazellead.lab.capacity.target import TARGET

PARTS = (
    "machine",
    "summary",
    "load",
    "table",
    "control",
    "slopes",
    "plots",
    "runs",
    "failures",
    "ranking",
    "mechanism",
    "breaks",
    "compare",
    "gaps",
)
_PART = re.compile(r"^<!-- generated: (\w+) -->\n(.*?)^<!-- end -->$", re.M | re.S)


class PageError(Exception):
    """The page lacks a marker of a generated part or has one too many; the message is one line."""


@dataclass(slots=True, frozen=True)
class Rendered:
    """The text of the page, and its plots by file name."""

    text: str
    plots: dict[str, bytes]


def number(value: float | None) -> str:
    """Format a number with three significant digits, large ones as integers with digit grouping."""
    if value is None:
        return ""
    if not math.isfinite(value):
        return "without bound"
    value = float(f"{value:.9g}")  # drops digits that differ between machines before rounding
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}') if abs(value) >= 10_000 else round(value):,.0f}"
    return f"{value:.3g}" if abs(value) >= 1e-4 or not value else f"{value:.1e}"


def spread(pair: tuple[float, float]) -> str:
    """Format a range, or one number if both ends look the same."""
    return (
        number(pair[0]) if number(pair[0]) == number(pair[1]) else f"{number(pair[0])} to {number(pair[1])}"
    )


def cell(text: str) -> str:
    """Escape a text for a cell of a Markdown table."""
    return " ".join(str(text).replace("|", "\\|").replace("<", "&lt;").split())


def held(sizes: dict[str, float]) -> str:
    """Format the constant sizes."""
    return ", ".join(f"{axis} {number(size)}" for axis, size in sorted(sizes.items()))


def unit(name: str) -> str:
    """Format a unit to follow its number."""
    return f" {name}" if name else ""


def _environment() -> jinja2.Environment:
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("hazellead.lab.capacity"),
        trim_blocks=True,
        lstrip_blocks=True,
        undefined=jinja2.StrictUndefined,
        keep_trailing_newline=True,
    )
    environment.filters.update(number=number, spread=spread, cell=cell, held=held, unit=unit)
    return environment


@dataclass(slots=True, frozen=True)
class Compared:
    """One figure of a run, before the mechanisms that the page describes and now."""

    run: str
    source: str
    seed: int
    figure: str
    unit: str
    before: float
    now: float


def compared(before: Result, result: Result) -> list[Compared]:
    """Return the figures that differ between runs of both results with the same sizes and seed."""
    changes = []
    for old in before.runs:
        for run in result.runs:
            if (old.name, old.source, old.seed, old.sizes) == (run.name, run.source, run.seed, run.sizes):
                changes += [
                    Compared(run.name, run.source, run.seed, key, f.unit, old.figures[key].value, f.value)
                    for key, f in run.figures.items()
                    if key in old.figures and number(old.figures[key].value) != number(f.value)
                ]
    return changes


def parts(result: Result, before: Result | None = None) -> dict[str, str]:
    """Render every generated part.

    ``before`` is a result from before the mechanisms that the page describes, for comparison.
    """
    rows, slopes = table.rows(result), table.slopes(result)
    figures = [
        table.judge_figure(f) for run in result.runs for f in run.figures.values() if f.limit is not None
    ]
    context = {
        "result": result,
        "target": TARGET,
        "load": ranking.Load(),
        "assumed": ranking,
        "rows": rows,
        "slopes": slopes,
        "breaks": table.breaks(result),
        "pairs": table.pairs(result),
        "larger": table.larger_runs(result),
        "failures": failures.failures(result.runs),
        "ranked": ranking.rank(result),
        "passed": ranking.exceeded_limits(rows, result.runs),
        "judge": table.judge_figure,
        "control": table.control(rows),
        "counted": table.tally([r.verdict for r in rows]),
        "counted_runs": table.tally(figures),
        "broken": sum(len(r.broken) for r in result.runs),
        "plots": table.plot_groups(slopes),
        "compared": compared(before, result) if before else [],
        "multiples": table.MULTIPLES,
    }
    environment = _environment()
    return {name: environment.get_template(f"{name}.md").render(context).strip("\n") + "\n" for name in PARTS}


def insert(text: str, fresh: dict[str, str]) -> str:
    """Put the parts between their markers; raises PageError unless each marker exists exactly once."""
    seen = [m[1] for m in _PART.finditer(text)]
    marker_count = len(re.findall(r"^<!-- generated", text, re.M))
    if sorted(seen) != sorted(fresh) or marker_count != len(seen):
        bad = sorted(set(seen) ^ set(fresh)) or sorted({n for n in seen if seen.count(n) > 1}) or ["a marker"]
        raise PageError(f"CAPACITY.md: generated part is missing, duplicate or unclosed: {', '.join(bad)}")
    fill: Callable[[re.Match[str]], str] = lambda m: f"<!-- generated: {m[1]} -->\n{fresh[m[1]]}<!-- end -->"  # noqa: E731
    return _PART.sub(fill, text)


def draw(result: Result) -> dict[str, bytes]:
    """Return the contents of the plot files by name."""
    from hazellead.lab.capacity import plots  # imported here, as matplotlib loads slowly

    return plots.draw(table.slopes(result))
