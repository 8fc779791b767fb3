"""Facts that instances exchange: an estimate that one instance made itself, when, and on how much evidence.

A fact never includes what its origin learned from other instances, so the same evidence is counted once,
whichever way it arrives. Times are microseconds in the clock of the instance that stores the fact: a receiver
adds the offset between the two clocks, so instances whose clocks are hours apart agree on a fact's age.
"""

import math
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

import msgspec


class Topic(IntEnum):
    """The quantity that a fact estimates. The numbers are sent to peers, so none may ever be reused."""

    PACE = 1  # worker: its run times relative to the mean of all workers
    DELAY = 2  # worker: how long jobs waited for their start, in microseconds
    SLOTS = 3  # worker: number of jobs that it runs at once
    BLAME = 4  # worker: failure score
    BROKE = 5  # worker: it failed without a change in the worker list, and counts as cold from then on
    DRAIN = 6  # worker: it announced a drain, during the run that began at ``worker_started_us``
    RUN = 7  # job class: mean run time in microseconds
    DEMAND = 8  # instance and tenant: slots per second that the instance's clients ask for
    FACTOR = 9  # installation: factor on the rate of job starts, which overload reduces


CAUTION_TOPICS = frozenset({Topic.BLAME, Topic.BROKE, Topic.DRAIN})
WORKER_TOPICS = frozenset({Topic.PACE, Topic.DELAY, Topic.SLOTS}) | CAUTION_TOPICS

# A value outside its topic's range is rejected: no instance can have estimated it.
VALUE_RANGES: dict[int, tuple[float, float]] = {
    Topic.PACE: (0.02, 50.0), Topic.DELAY: (0.0, 6e8), Topic.SLOTS: (0.5, 4096.0), Topic.BLAME: (0.0, 64.0),
    Topic.BROKE: (0.0, 1.0), Topic.DRAIN: (0.0, 1.0), Topic.RUN: (1.0, 3.6e9), Topic.DEMAND: (0.0, 1e6),
    Topic.FACTOR: (0.05, 100.0),
}
# Added to values that may be 0 before ratios or logarithms of them are taken.
VALUE_OFFSETS: dict[int, float] = {
    Topic.DELAY: 50_000.0, Topic.BLAME: 0.25, Topic.BROKE: 1.0, Topic.DRAIN: 1.0, Topic.DEMAND: 0.5,
}
MAX_WEIGHT = 1e6
MAX_SUBJECT_LENGTH = 512

Key = tuple[int, str]  # topic and subject


class Fact(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One estimate of one subject. ``seq`` numbers an origin's facts in the order of their publication."""

    topic: int
    subject: str
    worker_started_us: int  # start of the worker's run that was observed; 0 for subjects other than workers
    value: float
    weight: float  # number of observations behind the value
    observed_us: int  # time of the newest of these observations
    seq: int

    @property
    def key(self) -> Key:
        """Return the topic and the subject."""
        return self.topic, self.subject


class Origin(msgspec.Struct, frozen=True, order=True, array_like=True, gc=False):
    """The instance that made an observation: the member's name and when that run of it started."""

    name: str
    started_us: int


@dataclass(slots=True, frozen=True)
class Observation:
    """An estimate of this instance that has not been published as a fact. Fields as in ``Fact``."""

    topic: Topic
    subject: str
    worker_started_us: int
    value: float
    weight: float
    observed_us: int


@dataclass(slots=True, frozen=True)
class LearningSettings:
    """How fast facts lose weight and how far one source can move an estimate.

    ``half_lives`` maps topics to microseconds.
    """

    half_lives: dict[int, int]
    clamp: float = 1.5  # values are clamped to this factor around the median of the sources
    few_sources_clamp: float = 4.0  # with fewer than three sources: factor around the default value
    witnesses: int = 4  # facts of different origins kept per key
    max_facts: int = 20_000
    max_origins: int = 4096  # earlier runs of members included; the same limit as for members
    max_published: int = 256  # facts that an instance publishes in one step
    publish_threshold: float = 0.15  # change of a value that is published, as the logarithm of the ratio
    drain_hold: timedelta = timedelta(seconds=1)  # how long a drain reported by peers applies unless renewed
    enabled: bool = True  # whether the facts of peers are applied


def default_half_lives() -> dict[int, int]:
    """Return each topic's half-life in microseconds.

    A worker's speed changes slowly; the length of its queue is outdated after a few seconds.
    """
    seconds = {Topic.PACE: 120, Topic.DELAY: 3, Topic.SLOTS: 120, Topic.BLAME: 4, Topic.BROKE: 30,
               Topic.DRAIN: 10, Topic.RUN: 120, Topic.DEMAND: 30, Topic.FACTOR: 10}
    return {int(topic): s * 1_000_000 for topic, s in seconds.items()}


def is_valid(fact: Fact, now: int) -> bool:
    """Return whether a fact has a known topic, values in range and no time in the future.

    An unknown topic is not an error: a newer instance may publish topics that this version ignores.
    """
    bounds = VALUE_RANGES.get(fact.topic)
    return (
        bounds is not None and len(fact.subject) <= MAX_SUBJECT_LENGTH and math.isfinite(fact.value)
        and bounds[0] <= fact.value <= bounds[1] and 0 < fact.weight <= MAX_WEIGHT
        and 0 <= fact.worker_started_us < 1 << 62 and 0 < fact.seq < 1 << 62
        and -(1 << 62) < fact.observed_us <= now
    )


def with_clock_offset(fact: Fact, offset_us: int, now: int) -> Fact:
    """Return the fact with its time moved by ``offset_us``, at most to ``now``."""
    return msgspec.structs.replace(fact, observed_us=min(now, fact.observed_us + offset_us))
