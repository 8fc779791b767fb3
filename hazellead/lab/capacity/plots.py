"""Draws the plots of the sweeps; equal results give identical files."""

import io
from itertools import groupby

import matplotlib.style
from matplotlib.axes import Axes
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from hazellead.lab.capacity.table import QUANTITIES, Slope, limits, plot_groups

# Avoids random ids, dates and embedded fonts, which differ between runs and machines.
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
COLUMNS = 3
# A limit above this multiple of the largest value is not drawn, as the values would be squeezed to the axis.
MAX_LIMIT_RATIO = 3.0
PANEL_WIDTH, PANEL_HEIGHT = 2.6, 1.7  # of one panel, in inches
MARGIN_LEFT, MARGIN_RIGHT, MARGIN_TOP, MARGIN_BOTTOM = 0.7, 0.15, 0.3, 0.5  # around it, in inches


def draw(slopes: list[Slope]) -> dict[str, bytes]:
    """Return the contents of the SVG files by name."""
    with matplotlib.style.context(["default", _STYLE]):
        return {name: _plot(plot_slopes) for name, plot_slopes in plot_groups(slopes).items()}


def _plot(plot_slopes: list[Slope]) -> bytes:
    panels = [list(g) for _, g in groupby(plot_slopes, lambda s: s.name)]
    columns = min(COLUMNS, len(panels))
    rows = -(-len(panels) // columns)
    # In inches.
    width, height = columns * (PANEL_WIDTH + MARGIN_LEFT), rows * (PANEL_HEIGHT + MARGIN_TOP + MARGIN_BOTTOM)
    figure = Figure(figsize=(width + MARGIN_RIGHT, height))
    FigureCanvasSVG(figure)
    # Margins are fixed, since fitting them to the labels would dominate the run time.
    figure.subplots_adjust(
        left=MARGIN_LEFT / (width + MARGIN_RIGHT),
        right=width / (width + MARGIN_RIGHT),
        bottom=MARGIN_BOTTOM / height,
        top=1 - MARGIN_TOP / height,
        wspace=MARGIN_LEFT / PANEL_WIDTH,
        hspace=(MARGIN_TOP + MARGIN_BOTTOM) / PANEL_HEIGHT,
    )
    axes = list(figure.subplots(rows, columns, squeeze=False).flat)
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
        if limit <= MAX_LIMIT_RATIO * max(values, default=0.0):
            panel.axhline(limit, color="C3", linewidth=0.8)
        else:
            title += f" (limit {limit:,.0f}: above)"
    panel.set_title(title)
    panel.set_xlabel(slopes[0].sweep.axis)
    panel.set_ylim(bottom=0)
    if panel.get_legend_handles_labels()[0]:
        panel.legend(fontsize=6)
