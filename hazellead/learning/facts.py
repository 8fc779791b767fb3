"""Facts: what one instance has itself observed, when, and how much evidence that rests on.

A fact never holds what its origin learned from others, so evidence is counted once however it travels. Times
are microseconds in the clock of whoever holds the fact: a receiver shifts them by the difference of the two
clocks at the exchange, so instances whose clocks are hours apart still agree on a fact's age.
"""

import math
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

import msgspec


class Topic(IntEnum):
    """What a fact is about. The numbers travel and are never used again for something else."""

    PACE = 1  # of a worker: run times there over run times anywhere
    DELAY = 2  # of a worker: how long jobs waited for their start, in microseconds
    SLOTS = 3  # of a worker
    BLAME = 4  # of a worker: what its failures count
    BROKE = 5  # of a worker: it broke without word of the list, and is cold from then on
    DRAIN = 6  # of a worker: its drain was told, for the start in ``about``
    RUN = 7  # of a class: its mean run time in microseconds
    DEMAND = 8  # of an instance and tenant: slots a second that its clients ask for
    FACTOR = 9  # of the installation: the rate's factor that overload has left


CAUTION = frozenset({Topic.BLAME, Topic.BROKE, Topic.DRAIN})
OF_WORKERS = frozenset({Topic.PACE, Topic.DELAY, Topic.SLOTS}) | CAUTION

# Values outside these are no estimate that an instance could have made.
RANGES: dict[int, tuple[float, float]] = {
    Topic.PACE: (0.02, 50.0), Topic.DELAY: (0.0, 6e8), Topic.SLOTS: (0.5, 4096.0), Topic.BLAME: (0.0, 64.0),
    Topic.BROKE: (0.0, 1.0), Topic.DRAIN: (0.0, 1.0), Topic.RUN: (1.0, 3.6e9), Topic.DEMAND: (0.0, 1e6),
    Topic.FACTOR: (0.05, 100.0),
}
# Added to a value before its logarithm is taken, where it may be 0.
OFFSETS: dict[int, float] = {Topic.DELAY: 50_000.0, Topic.BLAME: 0.25, Topic.BROKE: 1.0, Topic.DRAIN: 1.0,
                             Topic.DEMAND: 0.5}
MOST_WEIGHT = 1e6
MOST_SUBJECT = 512

Key = tuple[int, str]  # topic and subject


class Fact(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One thing known. ``seq`` numbers an origin's facts in the order in which it told them."""

    topic: int
    subject: str
    about: int  # the start of the worker that it was observed of, in microseconds; 0 for other subjects
    value: float
    weight: float  # observations that it rests on
    observed: int  # when the newest of them was made
    seq: int

    @property
    def key(self) -> Key:
        """Return what it is a fact of."""
        return self.topic, self.subject


class Origin(msgspec.Struct, frozen=True, order=True, array_like=True, gc=False):
    """Who observed: a member's name, and which of its lives, by the microsecond of its start."""

    name: str
    life: int


@dataclass(slots=True, frozen=True)
class Draft:
    """Something an instance has observed itself, not yet told."""

    topic: Topic
    subject: str
    about: int
    value: float
    weight: float
    observed: int


@dataclass(slots=True, frozen=True)
class LearningSettings:
    """How knowledge fades and what one source may do. ``half_lives`` are by topic, in microseconds."""

    half_lives: dict[int, int]
    clamp: float = 1.5  # factor from the median source past which a source's value is cut
    alone: float = 4.0  # factor from the default past which fewer than three sources cannot move it
    witnesses: int = 4  # facts of different origins kept for one key
    most_facts: int = 20_000
    most_origins: int = 4096  # former lives included: as many as members
    told_at_once: int = 256  # facts that an instance tells in one step
    news: float = 0.15  # change of a value, as a factor's logarithm, that is worth telling
    shun: timedelta = timedelta(seconds=1)  # how long a drain that others have heard of holds without renewal
    enabled: bool = True


def default_half_lives() -> dict[int, int]:
    """Return how long each topic's facts take to lose half their weight.

    A worker's speed lasts; where its queue stood is news of a few seconds.
    """
    seconds = {Topic.PACE: 120, Topic.DELAY: 3, Topic.SLOTS: 120, Topic.BLAME: 4, Topic.BROKE: 30,
               Topic.DRAIN: 10, Topic.RUN: 120, Topic.DEMAND: 30, Topic.FACTOR: 10}
    return {int(topic): s * 1_000_000 for topic, s in seconds.items()}


def usable(fact: Fact, now: int) -> bool:
    """Say whether a fact is one that an instance could have made: known topic, sane sizes, not to come.

    A topic that is not known here is passed over: a newer instance may tell more than an older one takes.
    """
    bounds = RANGES.get(fact.topic)
    return (
        bounds is not None and len(fact.subject) <= MOST_SUBJECT and math.isfinite(fact.value)
        and bounds[0] <= fact.value <= bounds[1] and 0 < fact.weight <= MOST_WEIGHT
        and 0 <= fact.about < 1 << 62 and 0 < fact.seq < 1 << 62 and -(1 << 62) < fact.observed <= now
    )


def shifted(fact: Fact, by: int, now: int) -> Fact:
    """Return a fact in another clock; one that would lie in the future is of now."""
    return msgspec.structs.replace(fact, observed=min(now, fact.observed + by))
