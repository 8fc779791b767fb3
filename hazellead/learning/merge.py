"""Weighing what several sources say: evidence counts, age fades it, and no one source decides.

The method is a winsorized weighted mean: each source's weight is held to twice the median weight and its
value to a factor ``clamp`` round the median value (Huber, Robust Statistics, 1981). So one liar among four
honest sources of like evidence, with a third of the weight at most, moves the result by at most ``(clamp -
1) / 3`` of it. With fewer than three sources no majority exists; there the value is held to a factor
``alone`` round the default. The mean is arithmetic: values are themselves means over a few scattered run
times, of which logarithms would be too low, and the lower the fewer they are.
"""

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

    ``offset`` is added to values that may be 0: what lies far below it is alike.
    """
    if not said:
        return default, 0.0
    values = [s.value + offset for s in said]
    weights = [min(s.weight, MOST) for s in said]
    if len(said) >= 3:
        middle, most, width = median(values), 2 * median(weights), settings.clamp
    else:
        middle, most, width = default + offset, MOST, settings.alone
    values = [min(max(x, middle / width), middle * width) for x in values]
    weights = [min(w, most) for w in weights]
    total = sum(weights)
    mean = prior * (default + offset) + sum(w * x for w, x in zip(weights, values, strict=True))
    return max(0.0, mean / (total + prior) - offset), total


def agreed(weights: dict[str, float], sources: int, least: float = 0.25) -> bool:
    """Say whether enough sources, by their members' names, call for caution: two, or the one there is."""
    return sum(w >= least for w in weights.values()) >= min(2, max(1, sources))
