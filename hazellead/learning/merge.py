"""Combines the values of several sources into one estimate that no single source can dominate.

The method is a winsorized weighted mean: each source's weight is limited to twice the median weight and its
value to a factor ``clamp`` around the median value (Huber, Robust Statistics, 1981). So one lying source
among four honest ones of similar evidence has at most a third of the weight and moves the result by at most
``(clamp - 1) / 3`` of it. With fewer than three sources there is no majority; the value is then limited to
a factor ``few_sources_clamp`` around the default. The mean is arithmetic: the values are themselves means of
a few widely spread run times, and a geometric mean would be too low, the more so the fewer they are.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hazellead.learning.facts import LearningSettings

MAX_SOURCE_WEIGHT = 100.0  # more observations than this do not make one source count more than another


@dataclass(slots=True, frozen=True)
class WeightedValue:
    """A source's value and its weight after decay."""

    value: float
    weight: float


def decayed_weight(weight: float, age_us: int, half_life_us: int) -> float:
    """Return the weight after exponential decay; a negative age counts as 0."""
    return weight * float(0.5 ** (max(0, age_us) / half_life_us))


def median(values: Sequence[float]) -> float:
    """Return the middle value, or the mean of the two middle values."""
    ordered = sorted(values)
    half = len(ordered) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def combine(
    sources: Sequence[WeightedValue], default: float, settings: LearningSettings, offset: float = 0.0,
    prior: float = 1.0,
) -> tuple[float, float]:
    """Return the combined value and the total weight of the sources.

    ``default`` takes part with the weight ``prior``. ``offset`` is added to values that may be 0 before they
    are clamped, so values far below it count as equal.
    """
    if not sources:
        return default, 0.0
    values = [s.value + offset for s in sources]
    weights = [min(s.weight, MAX_SOURCE_WEIGHT) for s in sources]
    if len(sources) >= 3:
        middle, max_weight, width = median(values), 2 * median(weights), settings.clamp
    else:
        middle, max_weight, width = default + offset, MAX_SOURCE_WEIGHT, settings.few_sources_clamp
    values = [min(max(x, middle / width), middle * width) for x in values]
    weights = [min(w, max_weight) for w in weights]
    total = sum(weights)
    mean = prior * (default + offset) + sum(w * x for w, x in zip(weights, values, strict=True))
    return max(0.0, mean / (total + prior) - offset), total


def enough_sources_agree(weights: dict[str, float], source_count: int, min_weight: float = 0.25) -> bool:
    """Return whether enough members report a condition: two, or the only one there is.

    ``weights`` maps the reporting members to their weights; ``source_count`` is the number of all members.
    """
    return sum(w >= min_weight for w in weights.values()) >= min(2, max(1, source_count))
