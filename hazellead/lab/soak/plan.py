"""Draws the plan of one run from its seed: schedulers, clients, workers, and faults with their times.

Times are seconds from the start of the run's fault phase, spans are seconds.
"""

from dataclasses import dataclass
from enum import Enum

import numpy as np

from hazellead.lab.soak.workers import Mode

FAULT_PHASE_S = 14.0  # the schedulers are shut down after it
FIRST_FAULT_S = 1.5  # earliest time of a fault


class Effect(Enum):
    """How a class's jobs may be repeated, by the names that the scheduler's settings use."""

    SINGLE_SHOT = "single_shot"
    GUARDED = "guarded"
    FREE = "free"


@dataclass(frozen=True)
class JobClass:
    """One class of jobs; its deadline is in seconds."""

    name: str
    effect: Effect
    deadline: float


CLASSES = (
    JobClass("pay", Effect.SINGLE_SHOT, 3.0), JobClass("book", Effect.GUARDED, 2.0),
    JobClass("look", Effect.FREE, 1.0))
KEY_TTL_S = 0.8  # how long a repeat of a guarded job is discarded
MAX_PAUSE_S = 0.08  # of a scheduler; less than the 0.1 s in which it has to notice that a client left
MAX_DEADLINE_S = max(job_class.deadline for job_class in CLASSES)  # a planned restart waits longer than this


class Signals(Enum):
    """Signals, and starts of further processes, that one scheduler is subjected to."""

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
    """Which schedulers a series of signals is sent to."""

    ONE = "one"
    ROLLING = "one after another"
    ALL = "all at once"


class DiscoveryTrouble(Enum):
    """Fault of the discovery service."""

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
    """One series of signals, to one or more schedulers."""

    at: float
    signals: Signals
    whom: Whom
    gap: float  # seconds between two signals, and between two schedulers of a rolling series


@dataclass(frozen=True)
class WorkerStep:
    """One worker that behaves faultily for a while."""

    at: float
    worker: int
    mode: Mode
    seconds: float


@dataclass(frozen=True)
class LeaveStep:
    """One worker whose state in discovery becomes draining or removed."""

    at: float
    worker: int
    state: str


@dataclass(frozen=True)
class Plan:
    """All that is drawn for one run."""

    seed: int
    slots: int  # schedulers
    workers: int
    clients: int  # per scheduler
    sockets: int  # limit on a scheduler's sockets
    idle_crowd: int  # idle connections that are opened to each scheduler; 0: none
    crowd_at: float
    discovery: DiscoveryTrouble
    discovery_at: float
    discovery_s: float
    signals: tuple[SignalStep, ...]
    trouble: tuple[WorkerStep, ...]
    leaving: tuple[LeaveStep, ...]
    leaves: float = 0.05  # portion of the requests whose client disconnects before the answer
    failing_calls: float = 0.0  # share of the calls to discovery that fail from ``discovery_at`` on
    overlapping: bool = False  # a second replacement begins before the first old process has ended
    holdup: float = 0.0  # longest of the repeated pauses of the schedulers in seconds; 0: no pauses
    length: float = FAULT_PHASE_S

    def faults(self) -> list[str]:
        """Return the names of the run's faults for the report, one for each time that a fault occurs."""
        names = [f"{step.signals.value}, {step.whom.value}" for step in self.signals]
        names += [f"worker {step.mode.value}" for step in self.trouble]
        names += [f"worker {step.state}" for step in self.leaving]
        if self.discovery is not DiscoveryTrouble.NONE:
            names.append(f"discovery {self.discovery.value}")
        names += ["calls to discovery fail"] * bool(self.failing_calls)
        replaced_twice = any(step.signals is Signals.REPLACE_TWICE for step in self.signals)
        names += ["overlapping replacements"] * (self.overlapping and replaced_twice)
        names += ["crowd of idle clients"] * bool(self.idle_crowd)
        return names + ["schedulers paused"] * bool(self.holdup)


def random_generators(seed: int, count: int) -> list[np.random.Generator]:
    """Return independent random number generators, which yield the same numbers for the same seed."""
    return [np.random.default_rng(child) for child in np.random.SeedSequence(seed).spawn(count)]


def draw_plan(seed: int, length: float = FAULT_PHASE_S) -> Plan:
    """Draw the plan of a run, whose fault phase lasts ``length`` seconds.

    The order of the draws is fixed: a changed order gives each seed another run.
    """
    (size_rng, signal_rng, worker_rng, discovery_rng, pause_rng, calls_rng,
     overlap_rng) = random_generators(seed, 7)
    slots, workers = int(size_rng.integers(1, 4)), int(size_rng.integers(4, 9))
    crowded = bool(size_rng.random() < 0.25)
    discovery_fault = list(DiscoveryTrouble)[int(discovery_rng.integers(len(DiscoveryTrouble)))]
    discovery_at = float(discovery_rng.uniform(FIRST_FAULT_S, length / 2))
    return Plan(
        seed, slots, workers, int(size_rng.integers(6, 13)), 256 if crowded else 1024, 150 if crowded else 0,
        float(size_rng.uniform(FIRST_FAULT_S, length / 2)), discovery_fault, discovery_at,
        float(discovery_rng.uniform(2.0, 8.0)),
        _draw_signal_steps(signal_rng, length), _draw_worker_steps(worker_rng, workers, length),
        _draw_leave_steps(discovery_rng, workers, discovery_at, length),
        failing_calls=float(calls_rng.choice((0.5, 0.8, 1.0))) if calls_rng.random() < 0.4 else 0.0,
        overlapping=bool(overlap_rng.random() < 0.5),
        holdup=MAX_PAUSE_S if pause_rng.random() < 0.3 else 0.0, length=length)


def _draw_signal_steps(rng: np.random.Generator, length: float) -> tuple[SignalStep, ...]:
    steps = []
    for _ in range(int(rng.integers(1, 4))):
        signals = list(Signals)[int(rng.integers(len(Signals)))]
        whom = list(Whom)[int(rng.choice(3, p=(0.6, 0.25, 0.15)))]
        steps.append(SignalStep(
            float(rng.uniform(FIRST_FAULT_S, length - 1)), signals, whom,
            float(rng.choice((0.0, 0.02, 0.3, 1.5)))))
    return tuple(sorted(steps, key=lambda step: step.at))


def _draw_worker_steps(rng: np.random.Generator, workers: int, length: float) -> tuple[WorkerStep, ...]:
    faulty_modes = [mode for mode in Mode if mode is not Mode.SOUND]
    return tuple(
        WorkerStep(float(rng.uniform(FIRST_FAULT_S, length)), int(rng.integers(workers)),
                   faulty_modes[int(rng.integers(len(faulty_modes)))], float(rng.uniform(0.5, 5.0)))
        for _ in range(int(rng.integers(1, 5))))


def _draw_leave_steps(
    rng: np.random.Generator, workers: int, discovery_at: float, length: float,
) -> tuple[LeaveStep, ...]:
    """Draw the workers that leave, half of them on average soon after discovery's fault begins."""
    leaving = rng.permutation(workers)[: max(1, workers // 2 - 1)]
    steps = []
    for worker in leaving:
        in_fault = bool(rng.random() < 0.5)
        at = discovery_at + rng.uniform(0.05, 3.0) if in_fault else rng.uniform(FIRST_FAULT_S, length - 2)
        steps.append(LeaveStep(float(at), int(worker), str(rng.choice(("draining", "removed")))))
    return tuple(sorted(steps, key=lambda step: step.at))
