"""Renders the generated parts of docs/CAPACITY.md and its plots from a result; reads only its templates."""

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
    """The page's handwritten text can't take the generated parts; the message is one line."""


@dataclass(slots=True, frozen=True)
class Rendered:
    """The page and its plots, by file name."""

    text: str
    plots: dict[str, bytes]


def number(value: float | None) -> str:
    """Write a number with three digits; larger ones whole, in groups of three."""
    if value is None:
        return ""
    if not math.isfinite(value):
        return "without bound"
    value = float(f"{value:.9g}")  # the last digits, which differ between machines, decide no rounding
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}') if abs(value) >= 10_000 else round(value):,.0f}"
    return f"{value:.3g}" if abs(value) >= 1e-4 or not value else f"{value:.1e}"


def spread(pair: tuple[float, float]) -> str:
    """Write a range."""
    return (
        number(pair[0]) if number(pair[0]) == number(pair[1]) else f"{number(pair[0])} to {number(pair[1])}"
    )


def cell(text: str) -> str:
    """Make a text fit into one cell of a table."""
    return " ".join(str(text).replace("|", "\\|").replace("<", "&lt;").split())


def held(sizes: dict[str, float]) -> str:
    """Write the sizes that are held."""
    return ", ".join(f"{axis} {number(size)}" for axis, size in sorted(sizes.items()))


def unit(name: str) -> str:
    """Write a unit after its number."""
    return f" {name}" if name else ""


def _environment() -> jinja2.Environment:
    found = jinja2.Environment(
        loader=jinja2.PackageLoader("hazellead.lab.capacity"),
        trim_blocks=True,
        lstrip_blocks=True,
        undefined=jinja2.StrictUndefined,
        keep_trailing_newline=True,
    )
    found.filters.update(number=number, spread=spread, cell=cell, held=held, unit=unit)
    return found


@dataclass(slots=True, frozen=True)
class Compared:
    """One figure of a run before the mechanisms that the page tells of, and now."""

    run: str
    source: str
    seed: int
    figure: str
    unit: str
    before: float
    now: float


def compared(before: Result, result: Result) -> list[Compared]:
    """Return what has changed in the runs that an earlier result has as well, at the same sizes and seed."""
    found = []
    for old in before.runs:
        for run in result.runs:
            if (old.name, old.source, old.seed, old.sizes) == (run.name, run.source, run.seed, run.sizes):
                found += [
                    Compared(run.name, run.source, run.seed, key, f.unit, old.figures[key].value, f.value)
                    for key, f in run.figures.items()
                    if key in old.figures and number(old.figures[key].value) != number(f.value)
                ]
    return found


def parts(result: Result, before: Result | None = None) -> dict[str, str]:
    """Render every generated part; ``before`` is a result from before the mechanisms told of on the page."""
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
        "passed": ranking.passed(rows, result.runs),
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
    """Put the parts between their markers; raises PageError unless each is there once."""
    seen = [m[1] for m in _PART.finditer(text)]
    opened = len(re.findall(r"^<!-- generated", text, re.M))
    if sorted(seen) != sorted(fresh) or opened != len(seen):
        odd = sorted(set(seen) ^ set(fresh)) or sorted({n for n in seen if seen.count(n) > 1}) or ["a marker"]
        raise PageError(f"CAPACITY.md: generated part is missing, twice there or open: {', '.join(odd)}")
    take: Callable[[re.Match[str]], str] = lambda m: f"<!-- generated: {m[1]} -->\n{fresh[m[1]]}<!-- end -->"  # noqa: E731
    return _PART.sub(take, text)


def draw(result: Result) -> dict[str, bytes]:
    """Return the plots' files by name."""
    from hazellead.lab.capacity import plots  # the plots' library takes longer to load than all the rest

    return plots.draw(table.slopes(result))
