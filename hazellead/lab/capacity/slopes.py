"""Least-squares lines through the points of a sweep, with confidence intervals and a test of linearity.

A line counts as straight if no size's mean is far off it and a parabola fits no better. Only straight lines
are used for sizes that were not measured.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from hazellead.lab.capacity.result import Point

MIN_SIZES = 4  # a parabola fits any three sizes exactly, so that a bend could not be told from noise
# Largest residual of a size's mean, relative to the line's largest value. The limits are compared at 1, 2 and
# 10 times a size; an error of a tenth moves none of these answers by a step, and processor times of one
# machine scatter by some per cent from run to run.
MAX_RESIDUAL = 0.1
# Largest deviation between line and parabola within the sizes, relative to the same value. A smaller bend has
# no consequence there, even where it is statistically certain.
MAX_BEND = 0.02
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
    """The points do not allow a fit; the message is one line."""


def t95(degrees: int) -> float:
    """Return the two-sided 95 % point of Student's t; beyond 30 degrees the slightly larger one of 30."""
    return _T95[min(degrees, len(_T95)) - 1]


@dataclass(slots=True, frozen=True)
class Line:
    """A least-squares line. Spreads are half the width of 95 % confidence intervals."""

    slope: float  # the quantity's unit per unit of size
    slope_spread: float
    intercept: float
    intercept_spread: float
    r2: float  # share of the variance that the line explains; 1 if the values do not vary
    sizes: tuple[float, ...]
    means: tuple[float, ...]  # of the repeats, for each size
    residuals: tuple[float, ...]  # of the means, for each size
    values: int  # number of values fitted
    worst: float  # the largest residual, relative to the line's largest value within the sizes
    bend: float  # the largest deviation from a parabola, relative to the same; 0 if it may be noise
    _value_error: float  # standard error of one value
    _mean_size: float
    _sum_squares: float  # sum of squared deviations of the values' sizes from their mean

    @property
    def straight(self) -> bool:
        """Return whether the line may be used for sizes that were not measured."""
        return self.worst <= MAX_RESIDUAL and self.bend <= MAX_BEND

    @property
    def fault(self) -> str:
        """Return why the line is not straight, an empty text if it is."""
        if self.bend > MAX_BEND:
            return f"bent: a parabola parts from the line by {100 * self.bend:.0f} %"
        return "" if self.straight else f"scattered: a size lies {100 * self.worst:.0f} % off the line"

    def at(self, size: float) -> tuple[float, float]:
        """Return the line's value at a size, and its spread."""
        if not self._sum_squares:
            return self.intercept, 0.0
        error = (
            self._value_error * (1 / self.values + (size - self._mean_size) ** 2 / self._sum_squares) ** 0.5
        )
        return self.intercept + self.slope * size, t95(self.values - 2) * float(error)

    def size_at_limit(self, limit: float) -> float | None:
        """Return the size at which the line exceeds a limit; None if it never does for growing sizes."""
        if self.at(self.sizes[-1])[0] > limit and self.slope <= 0:
            return self.sizes[-1]
        return max(0.0, (limit - self.intercept) / self.slope) if self.slope > 0 else None


def fit(points: Sequence[Point]) -> Line:
    """Fit a line by least squares, with equal weights; raises SlopeError below ``MIN_SIZES`` sizes."""
    measured = sorted((p for p in points if p.values), key=lambda p: p.size)
    if len({p.size for p in measured}) < MIN_SIZES:
        raise SlopeError(f"not a slope: {len({p.size for p in measured})} sizes, {MIN_SIZES} are needed")
    x = np.array([p.size for p in measured for _ in p.values], dtype=float)
    y = np.array([v for p in measured for v in p.values], dtype=float)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise SlopeError("not a slope: a value is no finite number")
    mean_size = float(x.mean())
    sum_squares = float(((x - mean_size) ** 2).sum())
    slope = float(((x - mean_size) * (y - y.mean())).sum()) / sum_squares
    intercept = float(y.mean()) - slope * mean_size
    errors = y - (intercept + slope * x)
    value_error = (float((errors**2).sum()) / (len(y) - 2)) ** 0.5
    total = float(((y - y.mean()) ** 2).sum())
    sizes = tuple(float(s) for s in np.unique(x))
    means = tuple(float(y[x == s].mean()) for s in sizes)
    residuals = tuple(m - (intercept + slope * s) for s, m in zip(sizes, means, strict=True))
    scale = max(abs(intercept + slope * s) for s in sizes)
    spread = t95(len(y) - 2) * value_error / sum_squares**0.5
    return Line(
        slope,
        spread,
        intercept,
        t95(len(y) - 2) * value_error * (1 / len(y) + mean_size**2 / sum_squares) ** 0.5,
        1.0 if total <= 1e-18 * float((y**2).sum()) else 1 - float((errors**2).sum()) / total,
        sizes,
        means,
        residuals,
        len(y),
        _relative(max(map(abs, residuals)), scale),
        _relative(_bend(x, y, sizes, intercept, slope), scale),
        value_error,
        mean_size,
        sum_squares,
    )


def _relative(deviation: float, scale: float) -> float:
    return deviation / scale if deviation > 1e-9 * scale else 0.0


def _bend(x: np.ndarray, y: np.ndarray, sizes: Sequence[float], intercept: float, slope: float) -> float:
    """Return the largest deviation of a parabola from the line; 0 if its square term is not significant."""
    midpoint, half = (sizes[0] + sizes[-1]) / 2, (sizes[-1] - sizes[0]) / 2
    u = (x - midpoint) / half  # scaled to -1..1 to keep the least-squares problem well conditioned
    design = np.stack([np.ones_like(u), u, u**2], axis=1)
    parabola, *_ = np.linalg.lstsq(design, y, rcond=None)
    errors = y - design @ parabola
    degrees = len(y) - 3
    covariance = np.linalg.inv(design.T @ design) * (float((errors**2).sum()) / degrees)
    if abs(float(parabola[2])) <= t95(degrees) * float(covariance[2, 2]) ** 0.5:
        return 0.0
    line = intercept + slope * np.array(sizes)
    scaled = (np.array(sizes) - midpoint) / half
    return float(np.abs(parabola[0] + parabola[1] * scaled + parabola[2] * scaled**2 - line).max())
