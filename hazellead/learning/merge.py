"""Weighing what several sources say: evidence counts, age fades it, and no one source decides.

The method is a robust weighted mean in logarithms: each source's weight is held to twice the median weight
and its value to a factor ``clamp`` round the median value, so that one liar among n honest sources moves
the result by at most ``clamp ** (2 / (n + 2))``. (Winsorizing at the median; see Huber, Robust Statistics,
1981.) With fewer than three sources no majority exists; there the value is held to a factor ``alone`` round
the default.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from hazellead.learning.facts import LearningSettings

MOST = 100.0  # observations that one source counts for at most: past that it is sure, not surer than others


@dataclass(slots=True, frozen=True)
class Said:
    """What one source says, its weight already faded."""

    value: float
    weight: float


def faded(weight: float, age_us: int, half_life_us: int) -> float:
    """Return what a weight is still worth; a fact of the future counts as one of now."""
    return weight * float(0.5 ** (max(0, age_us) / half_life_us))


def median(values: Sequence[float]) -> float:
    """Return the middle value, or the mean of the two."""
    ordered = sorted(values)
    half = len(ordered) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def combine(
    said: Sequence[Said], default: float, settings: LearningSettings, offset: float = 0.0, prior: float = 1.0,
) -> tuple[float, float]:
    """Return the combined value and its weight; ``default`` stands in with the weight ``prior``.

    ``offset`` is added to values that may be 0 before their logarithm is taken: what lies far below it is
    alike.
    """
    if not said:
        return default, 0.0
    base = math.log(default + offset)
    logs = [math.log(s.value + offset) for s in said]
    weights = [min(s.weight, MOST) for s in said]
    if len(said) >= 3:
        middle, most, width = median(logs), 2 * median(weights), math.log(settings.clamp)
    else:
        middle, most, width = base, MOST, math.log(settings.alone)
    logs = [min(max(x, middle - width), middle + width) for x in logs]
    weights = [min(w, most) for w in weights]
    total = sum(weights)
    mean = (prior * base + sum(w * x for w, x in zip(weights, logs, strict=True))) / (total + prior)
    return max(0.0, math.exp(mean) - offset), total


def agreed(weights: dict[str, float], sources: int, least: float = 0.25) -> bool:
    """Say whether enough sources, by their members' names, call for caution: two, or the one there is."""
    return sum(w >= least for w in weights.values()) >= min(2, max(1, sources))
