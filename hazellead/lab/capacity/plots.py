"""Plots of the sweeps, the same bytes each time from the same result."""

import io
from itertools import groupby

import matplotlib.style
from matplotlib.axes import Axes
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from hazellead.lab.capacity.table import QUANTITIES, Slope, limits, plot_groups

# Ids and dates would differ from run to run, and fonts from machine to machine: text stays text.
_STYLE = {
    "svg.hashsalt": "capacity",
    "svg.fonttype": "none",
    "font.family": ["DejaVu Sans"],
    "font.size": 8,
    "axes.grid": True,
    "grid.alpha": 0.3,
    "axes.axisbelow": True,
}
_NO_DATE = {"Date": None, "Creator": None}
ACROSS = 3
SEEN = 3.0  # times the largest value up to which a limit is drawn: beyond, the values would lie on the axis
WIDE, HIGH = 2.6, 1.7  # inches of one panel
LEFT, BESIDE, ABOVE, BELOW = 0.7, 0.15, 0.3, 0.5  # and of what is round it


def draw(slopes: list[Slope]) -> dict[str, bytes]:
    """Return the plots' files."""
    with matplotlib.style.context(["default", _STYLE]):
        return {name: _plot(some) for name, some in plot_groups(slopes).items()}


def _plot(some: list[Slope]) -> bytes:
    panels = [list(g) for _, g in groupby(some, lambda s: s.name)]
    across = min(ACROSS, len(panels))
    down = -(-len(panels) // across)
    wide, high = across * (WIDE + LEFT), down * (HIGH + ABOVE + BELOW)  # inches
    figure = Figure(figsize=(wide + BESIDE, high))
    FigureCanvasSVG(figure)
    # Margins are given: to fit them to the labels takes longer than all the rest.
    figure.subplots_adjust(
        left=LEFT / (wide + BESIDE),
        right=wide / (wide + BESIDE),
        bottom=BELOW / high,
        top=1 - ABOVE / high,
        wspace=LEFT / WIDE,
        hspace=(ABOVE + BELOW) / HIGH,
    )
    axes = list(figure.subplots(down, across, squeeze=False).flat)
    for panel, slopes in zip(axes[: len(panels)], panels, strict=True):
        _panel(panel, slopes)
    for empty in axes[len(panels) :]:
        empty.set_visible(False)
    out = io.BytesIO()
    figure.savefig(out, format="svg", metadata=_NO_DATE)
    return b"".join(line.rstrip() + b"\n" for line in out.getvalue().splitlines())


def _panel(panel: Axes, slopes: list[Slope]) -> None:
    name = slopes[0].name
    what = QUANTITIES.get(name.quantity, (name.quantity, ""))[0]
    for number, s in enumerate(slopes):
        colour = f"C{number}"
        for point in s.sweep.points:
            factor = s.factor
            panel.plot(
                [point.size] * len(point.values),
                [v * factor for v in point.values],
                "o",
                color=colour,
                markersize=3,
            )
        if s.line is not None:
            ends = [s.line.sizes[0], s.line.sizes[-1]]
            panel.plot(
                ends,
                [s.line.at(x)[0] for x in ends],
                "-" if s.line.straight else ":",
                color=colour,
                linewidth=1,
                label=", ".join([s.sweep.source] + ([] if s.line.straight else ["not straight"])),
            )
        if s.size is not None:
            panel.axvline(s.size, color="0.6", linewidth=0.8, linestyle="--")
    title = " ".join(w for w in (name.role, name.part, what) if w)
    title = f"{title}, {slopes[0].unit}" if slopes[0].unit else title
    if (limit := limits().get((name.role, name.part, name.quantity))) is not None:
        values = [v * s.factor for s in slopes for p in s.sweep.points for v in p.values]
        if limit <= SEEN * max(values, default=0.0):
            panel.axhline(limit, color="C3", linewidth=0.8)
        else:
            title += f" (limit {limit:,.0f}: above)"
    panel.set_title(title)
    panel.set_xlabel(slopes[0].sweep.axis)
    panel.set_ylim(bottom=0)
    if panel.get_legend_handles_labels()[0]:
        panel.legend(fontsize=6)
