"""Straight lines through the sizes of a sweep, how far to trust them, and what they say elsewhere. Pure.

A line is called straight when it misses no size by much and a parabola is no better. Only straight lines are
used away from the sizes that were measured.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from hazellead.lab.capacity.result import Point

LEAST = 4  # sizes: with three a parabola meets every point, so that a bend could not be told from noise
# Most that a size's mean may lie off the line, as a part of the line's largest value. The limits are asked
# about at 1, 2 and 10 times a size; an error of a tenth moves none of these answers by a step, and processor
# times of one machine scatter by some per cent from run to run.
OFF = 0.1
# Least gap between line and parabola within the sizes, as a part of the same, that counts as a bend: below
# it a bend that is certain is still of no consequence there.
BEND = 0.02
# Two-sided 95 % points of Student's t by degrees of freedom from 1 (NIST/SEMATECH e-Handbook, 1.3.6.7.2).
_T95 = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)


class SlopeError(ValueError):
    """No slope can be taken from these points; the message is one line."""


def t95(freedom: int) -> float:
    """Return the two-sided 95 % point of Student's t; beyond 30 degrees that of 30, a little wide."""
    return _T95[min(freedom, len(_T95)) - 1]


@dataclass(slots=True, frozen=True)
class Line:
    """A least-squares line. Spreads are half the width of 95 % intervals."""

    slope: float  # the quantity's unit for each unit of size
    slope_spread: float
    intercept: float
    intercept_spread: float
    r2: float  # part of the values' variance that the line explains; 1 where they do not vary
    sizes: tuple[float, ...]
    means: tuple[float, ...]  # of the repeats at each size
    residuals: tuple[float, ...]  # of the means
    values: int
    worst: float  # the largest residual, as a part of the line's largest value within the sizes
    bend: float  # the largest gap between line and parabola there, as the same part; 0 where it may be noise
    _error: float  # standard error of one value
    _middle: float
    _width: float  # sum of squared distances of all values' sizes from the middle

    @property
    def straight(self) -> bool:
        """Say whether the line may be used beyond its sizes."""
        return self.worst <= OFF and self.bend <= BEND

    @property
    def why(self) -> str:
        """Say why it is not straight, or nothing."""
        if self.bend > BEND:
            return f"bent: a parabola parts from the line by {100 * self.bend:.0f} %"
        return "" if self.straight else f"scattered: a size lies {100 * self.worst:.0f} % off the line"

    def at(self, size: float) -> tuple[float, float]:
        """Return the line's value at a size, and its spread there."""
        if not self._width:
            return self.intercept, 0.0
        error = self._error * (1 / self.values + (size - self._middle) ** 2 / self._width) ** 0.5
        return self.intercept + self.slope * size, t95(self.values - 2) * float(error)

    def reaches(self, limit: float) -> float | None:
        """Return the size at which the line passes a limit; None if it never does as sizes grow."""
        if self.at(self.sizes[-1])[0] > limit and self.slope <= 0:
            return self.sizes[-1]
        return max(0.0, (limit - self.intercept) / self.slope) if self.slope > 0 else None


def fit(points: Sequence[Point]) -> Line:
    """Fit a line by least squares, every repeat counted alike; raises SlopeError below four sizes."""
    kept = sorted((p for p in points if p.values), key=lambda p: p.size)
    if len({p.size for p in kept}) < LEAST:
        raise SlopeError(f"not a slope: {len({p.size for p in kept})} sizes, {LEAST} are needed")
    x = np.array([p.size for p in kept for _ in p.values], dtype=float)
    y = np.array([v for p in kept for v in p.values], dtype=float)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise SlopeError("not a slope: a value is no finite number")
    middle = float(x.mean())
    width = float(((x - middle) ** 2).sum())
    slope = float(((x - middle) * (y - y.mean())).sum()) / width
    intercept = float(y.mean()) - slope * middle
    off = y - (intercept + slope * x)
    error = (float((off**2).sum()) / (len(y) - 2)) ** 0.5
    total = float(((y - y.mean()) ** 2).sum())
    sizes = tuple(float(s) for s in np.unique(x))
    means = tuple(float(y[x == s].mean()) for s in sizes)
    residuals = tuple(m - (intercept + slope * s) for s, m in zip(sizes, means, strict=True))
    scale = max(abs(intercept + slope * s) for s in sizes)
    spread = t95(len(y) - 2) * error / width**0.5
    return Line(
        slope,
        spread,
        intercept,
        t95(len(y) - 2) * error * (1 / len(y) + middle**2 / width) ** 0.5,
        1.0 if total <= 1e-18 * float((y**2).sum()) else 1 - float((off**2).sum()) / total,
        sizes,
        means,
        residuals,
        len(y),
        _part(max(map(abs, residuals)), scale),
        _part(_bend(x, y, sizes, intercept, slope), scale),
        error,
        middle,
        width,
    )


def _part(gap: float, scale: float) -> float:
    return gap / scale if gap > 1e-9 * scale else 0.0


def _bend(x: np.ndarray, y: np.ndarray, sizes: Sequence[float], intercept: float, slope: float) -> float:
    """Return the largest gap between parabola and line at the sizes; 0 if its square term may be none."""
    middle, half = (sizes[0] + sizes[-1]) / 2, (sizes[-1] - sizes[0]) / 2
    u = (x - middle) / half  # within -1 and 1, so that large sizes cost no digits
    design = np.stack([np.ones_like(u), u, u**2], axis=1)
    found, *_ = np.linalg.lstsq(design, y, rcond=None)
    off = y - design @ found
    freedom = len(y) - 3
    covariance = np.linalg.inv(design.T @ design) * (float((off**2).sum()) / freedom)
    if abs(float(found[2])) <= t95(freedom) * float(covariance[2, 2]) ** 0.5:
        return 0.0
    line = intercept + slope * np.array(sizes)
    places = (np.array(sizes) - middle) / half
    return float(np.abs(found[0] + found[1] * places + found[2] * places**2 - line).max())
