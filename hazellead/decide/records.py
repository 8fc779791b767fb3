"""What a dispatcher keeps of each attempt, request and worker. Plain data; the decisions are in choice.py."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hazellead.decide import interface as api

if TYPE_CHECKING:
    from hazellead.decide import known as door


@dataclass(slots=True)
class Mean:
    """A running average that starts at a given value and counts it as one observation."""

    value: float = 1.0
    count: int = 1

    def add(self, seen: float, least: float) -> None:
        """Take one observation in; none weighs less than ``least``."""
        self.count += 1
        self.value += max(1 / self.count, least) * (seen - self.value)


class Learned:
    """A running average that may start from what others have seen, and a longer one of what was seen here."""

    __slots__ = ("at", "given", "rest", "seen", "value", "weight")

    def __init__(self, value: float) -> None:
        """Start from a value that nothing stands behind."""
        self.value = self.given = value
        self.rest = 1.0  # the part of the value that is still what it was given
        self.weight = 0.0  # observations that stand behind what it was given
        self.seen = Mean(0.0, 0)  # here alone, for others
        self.at = 0

    def add(self, seen: float, weight: float, now: int, least: float) -> None:
        """Take one observation in: with its weight, or, where others' stand behind it, as one of them all."""
        self.seen.add(seen, least)
        if self.weight:
            weight = min(weight, max(1 / (self.weight + self.seen.count), least))
        self.value += weight * (seen - self.value)
        self.rest, self.at = self.rest * (1 - weight), now

    def base(self, given: "door.Estimate") -> None:
        """Change what it was given; what was seen here keeps its part."""
        self.value += self.rest * (given.value - self.given)
        self.given, self.weight = given.value, given.weight

    def own(self) -> "door.Estimate":
        """Return what was seen here alone."""
        from hazellead.decide import known as door

        return door.Estimate(self.seen.value, self.seen.count, self.at)


@dataclass(slots=True, eq=False)
class Request:
    """One request that still waits for its final answer."""

    id: int
    job_class: int
    slots: float
    tenant: int
    arrived: int
    useful: int  # past it, an attempt comes late
    last: int  # past it, an attempt earns nothing any more
    hint: int  # its expected run time, where the client gave one
    attempts: list["Attempt"] = field(default_factory=list)

    def tied(self) -> list["Attempt"]:
        """Return the attempts that may have run or may still run."""
        return [a for a in self.attempts if a.outcome not in api.NEVER_RAN]

    def adopt(
        self, made: Sequence[api.Made], workers: "dict[int, Worker]", now: int, slots: float,
    ) -> "dict[tuple[int, int], Attempt]":
        """Take over the attempts that another process has made; return those that are out.

        A worker that no list has named here may have one; it is held to be gone.
        """
        self.attempts = [Attempt(self, m.worker, m.sent_us, False, 1, m.began_us, m.outcome) for m in made]
        out = {(self.id, n): a for n, a in enumerate(self.attempts) if a.outcome is None}
        for key, attempt in out.items():
            gone = api.WorkerEntry(attempt.worker, phase=api.Phase.GONE)
            w = workers.setdefault(attempt.worker, Worker(gone, now, 0, now, known=False, slots=slots))
            w.held += self.slots
            if not attempt.began:
                w.unstarted.add(key)
        return out


@dataclass(slots=True, eq=False)
class Attempt:
    """One push and what became of it."""

    request: Request
    worker: int
    sent: int
    crossed: bool  # it left our zone
    idle: int  # how long its connection had been idle; 0: a new one
    began: int = 0
    outcome: api.Outcome | None = None


_THEIRS = (-1, 0)  # stands in ``unstarted`` for jobs of another process

# What a process that takes the place of ours goes on with: caution, and the budgets of cold workers.
OWN = ("cold_since", "tickets", "drawn_until", "blame", "failures", "fulls", "full_until", "next_trial",
       "broke", "failed", "vouched", "slots")


@dataclass(slots=True, eq=False)
class Worker:
    """What is known of one worker."""

    entry: api.WorkerEntry
    seen: int  # when its running figures were last brought up to date
    cold_since: int
    vouched: int  # when the list last named it ready, or it last served us
    known: bool = True  # it was in our first list, has served us or has answered a probe
    drained: int = -1  # the start for which it was listed as draining; a later start lifts it
    held: float = 0.0  # slots in use by us
    theirs: float = 0.0  # slots in use by the process whose place ours has taken
    others: float = 0.0  # slots in use by other dispatchers, as its reports tell
    slots: float = 2.0  # as reports tell (``told``); where none does, by accepts and refusals
    told: bool = False
    speed: Learned = field(default_factory=lambda: Learned(1.0))  # run times here over run times anywhere
    timed: int = 0  # run times that went into ``speed``; 1 at least where others' have
    period: float = 1e6  # time between reports
    idle: list[int] = field(default_factory=list)  # since when each of our open connections idles
    tickets: int = 0  # pushes left in this window while it is cold
    drawn_until: int = 0
    blame: float = 0.0
    silence: float = 0.0
    wait: Learned = field(default_factory=lambda: Learned(0.0))  # how long jobs waited there for their start
    failures: int = 0
    fulls: int = 0  # refusals as full since it last served
    full_until: int = 0
    next_trial: int = 0
    asked: int = 0  # when it was last probed
    changed: int = 0  # when its last new report came
    report: api.Report | None = None
    broke: int = 0  # when it broke before our eyes
    failed: int = 0  # when it last failed
    erred: bool = False  # its last failure was an error that it answered with, no fault of a connection
    guessed: float = 0.0  # slots that others have told and nothing here has borne out
    unstarted: set[tuple[int, int]] = field(default_factory=set)

    @property
    def pace(self) -> float:
        """Return run times here over run times anywhere."""
        return self.speed.value

    def warms(self, now: int, warm_up_us: int) -> bool:
        """Say whether its last start is known and may still leave it cold."""
        return 0 < self.cold_since > now - warm_up_us

    def keeps(self, now: int, within_us: float) -> bool:
        """Say whether we have a connection open there that has idled for less than that."""
        return bool(self.idle) and self.idle[-1] > now - within_us

    def seen_here(self) -> "door.KnownWorker":
        """Return what was seen of it here."""
        from hazellead.decide import known as door

        own = self.speed.own()
        draining = self.drained >= 0 and self.drained == self.entry.started_us
        return door.KnownWorker(
            self.entry.worker, self.entry.started_us, own, self.wait.own(),
            slots=door.Estimate(self.slots, own.weight * (self.slots != self.guessed), own.at_us),
            blame=door.Estimate(self.blame, min(self.failures, 8), self.failed),
            broke=door.Estimate(1.0, self.broke > self.entry.started_us, self.broke),
            drain=door.Estimate(1.0, draining, self.seen),
            own=tuple(getattr(self, name) for name in OWN))

    def elsewhere(self, held: float, waiting: int) -> None:
        """Note what the process whose place ours has taken still has there, and what has not begun of it."""
        self.theirs = held
        if waiting:
            self.unstarted.add(_THEIRS)
        else:
            self.unstarted.discard(_THEIRS)

    def inherit(self, own: tuple[float, ...]) -> None:
        """Go on where the process before left off: what it blamed is blamed, what it spent is spent."""
        for name, value in zip(OWN, own, strict=False):
            setattr(self, name, type(getattr(self, name))(value))
