"""Draws one run from its seed: who takes part and what befalls them, when."""

from dataclasses import dataclass
from enum import Enum

import numpy as np

from hazellead.lab.soak.workers import Mode

LENGTH_S = 14.0  # of a run's trouble; its end follows
QUIET_S = 1.5  # before the first trouble


class Effect(Enum):
    """What a repeat of a job may do, as the settings call it."""

    SINGLE_SHOT = "single_shot"
    GUARDED = "guarded"
    FREE = "free"


@dataclass(frozen=True)
class JobClass:
    """One class of jobs."""

    name: str
    effect: Effect
    deadline: float


CLASSES = (
    JobClass("pay", Effect.SINGLE_SHOT, 3.0), JobClass("book", Effect.GUARDED, 2.0),
    JobClass("look", Effect.FREE, 1.0))
GUARDED_S = 0.8  # for which a repeat of a guarded job is discarded
LONGEST_HOLDUP_S = 0.08  # of a scheduler: under the 0.1 s in which it has to heed a client that leaves
LONGEST_S = max(kind.deadline for kind in CLASSES)  # after this a planned restart is timed


class Signals(Enum):
    """A series of signals and starts at one scheduler."""

    HUP_HUP = "HUP HUP"
    HUP_TERM = "HUP and TERM at once"
    TERM_TERM = "TERM TERM"
    TERM = "TERM"
    REPLACE = "replace"
    REPLACE_TWICE = "replace twice"
    TERM_IN_REPLACE = "TERM during a hand-over"
    HUP_IN_START = "HUP during a start"
    TERM_IN_START = "TERM during a start"
    KILL = "KILL"
    KILL_IN_REPLACE = "KILL of the successor during a hand-over"
    TERM_OF_SUCCESSOR = "TERM of the successor during a hand-over"
    KILL_OF_OLD = "KILL of the old process during a hand-over"
    HUP_OF_BOTH = "HUP of both during a hand-over"


class Whom(Enum):
    """How many schedulers a series is sent to."""

    ONE = "one"
    ROLLING = "one after another"
    ALL = "all at once"


class DiscoveryTrouble(Enum):
    """What befalls discovery."""

    NONE = "none"
    DOWN = "down"
    GONE = "nobody listens"
    SLOW = "slow"
    CROWD_AT_ONCE = "crowded, refuses at once"
    CROWD_WAITS = "crowded, lets wait"
    SILENT = "silent watches"
    SPOILT = "spoilt lists"


@dataclass(frozen=True)
class SignalStep:
    """One series of signals."""

    at: float
    signals: Signals
    whom: Whom
    gap: float  # between two signals, and between two schedulers of a rolling series


@dataclass(frozen=True)
class WorkerStep:
    """Trouble at one worker for a while."""

    at: float
    worker: int
    mode: Mode
    seconds: float


@dataclass(frozen=True)
class LeaveStep:
    """One worker that leaves the list."""

    at: float
    worker: int
    state: str


@dataclass(frozen=True)
class Plan:
    """One run."""

    seed: int
    slots: int
    workers: int
    clients: int  # of each slot
    sockets: int  # of a scheduler
    idle_crowd: int  # connections that say nothing, at each slot; 0: none
    crowd_at: float
    discovery: DiscoveryTrouble
    discovery_at: float
    discovery_s: float
    signals: tuple[SignalStep, ...]
    trouble: tuple[WorkerStep, ...]
    leaving: tuple[LeaveStep, ...]
    leaves: float = 0.05  # part of the requests whose client leaves before its answer
    holdup: float = 0.0  # seconds for which schedulers are held up again and again; 0: never
    length: float = LENGTH_S

    def faults(self) -> list[str]:
        """Name what is played, for the report."""
        found = [f"{step.signals.value}, {step.whom.value}" for step in self.signals]
        found += [f"worker {step.mode.value}" for step in self.trouble]
        found += [f"worker {step.state}" for step in self.leaving]
        if self.discovery is not DiscoveryTrouble.NONE:
            found.append(f"discovery {self.discovery.value}")
        found += ["crowd of idle clients"] * bool(self.idle_crowd)
        return found + ["schedulers held up"] * bool(self.holdup)


def streams(seed: int, count: int) -> list[np.random.Generator]:
    """Return independent streams of random numbers, the same for the same seed."""
    return [np.random.default_rng(child) for child in np.random.SeedSequence(seed).spawn(count)]


def draw(seed: int, length: float = LENGTH_S) -> Plan:
    """Draw a run."""
    size, signals, trouble, discovery, holdups = streams(seed, 5)
    slots, workers = int(size.integers(1, 4)), int(size.integers(4, 9))
    crowded = bool(size.random() < 0.25)
    kind = list(DiscoveryTrouble)[int(discovery.integers(len(DiscoveryTrouble)))]
    discovery_at = float(discovery.uniform(QUIET_S, length / 2))
    return Plan(
        seed, slots, workers, int(size.integers(6, 13)), 256 if crowded else 1024, 150 if crowded else 0,
        float(size.uniform(QUIET_S, length / 2)), kind, discovery_at, float(discovery.uniform(2.0, 8.0)),
        _signals(signals, length), _trouble(trouble, workers, length),
        _leaving(discovery, workers, discovery_at, length),
        holdup=LONGEST_HOLDUP_S if holdups.random() < 0.3 else 0.0, length=length)


def _signals(rng: np.random.Generator, length: float) -> tuple[SignalStep, ...]:
    steps = []
    for _ in range(int(rng.integers(1, 4))):
        kind = list(Signals)[int(rng.integers(len(Signals)))]
        whom = list(Whom)[int(rng.choice(3, p=(0.6, 0.25, 0.15)))]
        steps.append(SignalStep(
            float(rng.uniform(QUIET_S, length - 1)), kind, whom, float(rng.choice((0.0, 0.02, 0.3, 1.5)))))
    return tuple(sorted(steps, key=lambda step: step.at))


def _trouble(rng: np.random.Generator, workers: int, length: float) -> tuple[WorkerStep, ...]:
    kinds = [mode for mode in Mode if mode is not Mode.SOUND]
    return tuple(
        WorkerStep(float(rng.uniform(QUIET_S, length)), int(rng.integers(workers)),
                   kinds[int(rng.integers(len(kinds)))], float(rng.uniform(0.5, 5.0)))
        for _ in range(int(rng.integers(1, 5))))


def _leaving(
    rng: np.random.Generator, workers: int, discovery_at: float, length: float,
) -> tuple[LeaveStep, ...]:
    """Let some workers leave at any time, and right after discovery's trouble has begun."""
    some = rng.permutation(workers)[: max(1, workers // 2 - 1)]
    steps = []
    for worker in some:
        near = bool(rng.random() < 0.5)
        at = discovery_at + rng.uniform(0.05, 3.0) if near else rng.uniform(QUIET_S, length - 2)
        steps.append(LeaveStep(float(at), int(worker), str(rng.choice(("draining", "removed")))))
    return tuple(sorted(steps, key=lambda step: step.at))
