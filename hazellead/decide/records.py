"""State that a dispatcher keeps of each attempt, request and worker. The decisions are in dispatcher.py."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hazellead.decide import interface as api

if TYPE_CHECKING:
    from hazellead.decide import estimates as shared


@dataclass(slots=True)
class RunningMean:
    """A running average; its initial value counts as one observation unless ``count`` starts at 0."""

    value: float = 1.0
    count: int = 1

    def add(self, observed: float, min_weight: float) -> None:
        """Add an observation with weight 1 / count, but at least ``min_weight``."""
        self.count += 1
        self.value += max(1 / self.count, min_weight) * (observed - self.value)


class MeanWithPrior:
    """A running average that can start from a prior value, such as other dispatchers' estimate.

    The mean of the observations made here alone is kept beside it, for export.
    """

    __slots__ = ("own_mean", "prior", "prior_share", "prior_weight", "updated_at", "value")

    def __init__(self, value: float) -> None:
        """Start from a value without evidence."""
        self.value = self.prior = value
        self.prior_share = 1.0  # weight of the prior in the value
        self.prior_weight = 0.0  # number of observations behind the prior
        self.own_mean = RunningMean(0.0, 0)  # of the observations made here
        self.updated_at = 0

    def add(self, observed: float, weight: float, now: int, min_weight: float) -> None:
        """Add an observation with the given weight.

        If the prior rests on observations, the weight is at most 1 / n, where n counts these and the ones
        made here; ``min_weight`` is the lower bound of this limit.
        """
        self.own_mean.add(observed, min_weight)
        if self.prior_weight:
            weight = min(weight, max(1 / (self.prior_weight + self.own_mean.count), min_weight))
        self.value += weight * (observed - self.value)
        self.prior_share, self.updated_at = self.prior_share * (1 - weight), now

    def set_prior(self, prior: "shared.Estimate") -> None:
        """Replace the prior; the observations made here keep their weight."""
        self.value += self.prior_share * (prior.value - self.prior)
        self.prior, self.prior_weight = prior.value, prior.weight

    def own_estimate(self) -> "shared.Estimate":
        """Return the mean of the observations made here, without the prior."""
        from hazellead.decide import estimates as shared

        return shared.Estimate(self.own_mean.value, self.own_mean.count, self.updated_at)


@dataclass(slots=True, eq=False)
class Request:
    """One request without a final answer yet."""

    id: int
    job_class: int
    slots: float
    tenant: int
    arrived_at: int
    late_at: int  # an attempt that starts later comes late
    useless_at: int  # an attempt that starts later is worth nothing
    hint_us: int  # expected run time; 0: the client gave none
    attempts: list["Attempt"] = field(default_factory=list)

    def maybe_ran(self) -> list["Attempt"]:
        """Return the attempts that may have run or may still run."""
        return [a for a in self.attempts if a.outcome not in api.NEVER_RAN]

    def adopt_attempts(
        self, prior: Sequence[api.PriorAttempt], workers: "dict[int, Worker]", now: int, slots: float,
    ) -> "dict[tuple[int, int], Attempt]":
        """Take over the attempts that another process has made; return the open ones by request and number.

        An open attempt's worker that no list has named here is added to ``workers`` as gone.
        """
        self.attempts = [
            Attempt(self, p.worker, p.location, p.sent_us, False, 1, p.began_us, p.outcome) for p in prior]
        check_locations([self], [workers[p.worker].entry for p in prior if p.worker in workers])
        open_attempts = {(self.id, n): a for n, a in enumerate(self.attempts) if a.outcome is None}
        for key, attempt in open_attempts.items():
            gone = api.WorkerEntry(attempt.worker, location=attempt.location, phase=api.Phase.GONE)
            w = workers.setdefault(attempt.worker, Worker(gone, now, 0, now, proven=False, slots=slots))
            w.own_slots += self.slots
            if not attempt.began_at:
                w.unstarted.add(key)
        return open_attempts


@dataclass(slots=True, eq=False)
class Attempt:
    """One push and its outcome; None while it is open."""

    request: Request
    worker: int
    location: api.Location  # of the worker when it was sent; unknown once a list has contradicted it
    sent_at: int
    crossed: bool  # to a worker of another zone
    idle_us: int  # how long its connection had been idle; 0: a new connection
    began_at: int = 0  # 0: no start has been reported
    outcome: api.Outcome | None = None


def check_locations(requests: Iterable[Request], entries: Iterable[api.WorkerEntry]) -> None:
    """Take attempts' locations as unknown where a list contradicts them: either may be where they ran."""
    listed = {e.worker: e.location for e in entries}
    for attempt in (a for r in requests for a in r.attempts if a.worker in listed):
        attempt.location = attempt.location.checked_against(listed[attempt.worker])


_PREDECESSOR_JOBS = (-1, 0)  # key in ``unstarted`` that stands for jobs of the process before this one

# The fields of a worker that a successor process takes over: caution, and the budgets of cold workers.
# The values are passed on without names, in this order.
INHERITED_FIELDS = (
    "cold_since", "window_pushes", "window_until", "blame", "failures", "full_refusals", "full_until",
    "next_trial", "broke_at", "failed_at", "confirmed_at", "slots")


@dataclass(slots=True, eq=False)
class Worker:
    """State and estimates of one worker."""

    entry: api.WorkerEntry
    silence_at: int  # when ``silence`` was last brought up to date
    cold_since: int  # its last restart, as listed or as seen here
    confirmed_at: int  # when the list last named it ready, or it last served a job of this dispatcher
    proven: bool = True  # it was in the first list, has served a job or has answered a probe
    drain_start: int = -1  # started_us with which it was listed as draining; a later start lifts the drain
    own_slots: float = 0.0  # slots in use by this dispatcher
    predecessor_slots: float = 0.0  # slots in use by the process before this one
    other_slots: float = 0.0  # slots in use by other dispatchers, from its reports
    slots: float = 2.0  # from reports (``slots_reported``), else from accepted and refused jobs
    slots_reported: bool = False
    pace_mean: MeanWithPrior = field(default_factory=lambda: MeanWithPrior(1.0))  # see ``pace``
    timed_runs: int = 0  # run times that went into ``pace_mean``; at least 1 once a prior was adopted
    report_period_us: float = 1e6  # mean time between new reports
    idle_since: list[int] = field(default_factory=list)  # for each idle connection to it
    window_pushes: int = 0  # pushes left in this window while it is cold
    window_until: int = 0  # end of this window; 0: none has begun
    blame: float = 0.0  # for faults; halved by each served job and before each addition
    silence: float = 0.0  # work unanswered since the last sign of serving, in mean run times
    start_wait: MeanWithPrior = field(default_factory=lambda: MeanWithPrior(0.0))  # us from push to start
    failures: int = 0
    full_refusals: int = 0  # since it last served
    full_until: int = 0  # nothing is pushed before
    next_trial: int = 0  # earliest time of its next trial job or probe
    probed_at: int = 0
    reported_at: int = 0  # when its last new report came
    report: api.Report | None = None
    broke_at: int = 0  # when broken connections here last made it count as restarted
    failed_at: int = 0
    failed_by_error: bool = False  # its last failure was an error answer, not a fault of a connection
    adopted_slots: float = 0.0  # slots adopted from others and not confirmed here
    unstarted: set[tuple[int, int]] = field(default_factory=set)  # attempts there that have not begun

    @property
    def pace(self) -> float:
        """Return its run times over those of all workers: above 1 where it is slow."""
        return self.pace_mean.value

    def is_warming(self, now: int, warm_up_us: int) -> bool:
        """Return whether its last start is known and so recent that it may still be cold."""
        return 0 < self.cold_since > now - warm_up_us

    def has_idle_connection(self, now: int, within_us: float) -> bool:
        """Return whether there is an idle connection to it that has idled for less than ``within_us``."""
        return bool(self.idle_since) and self.idle_since[-1] > now - within_us

    def export_estimates(self) -> "shared.WorkerEstimates":
        """Return the estimates that rest on observations made here."""
        from hazellead.decide import estimates as shared

        own = self.pace_mean.own_estimate()
        draining = self.drain_start >= 0 and self.drain_start == self.entry.started_us
        return shared.WorkerEstimates(
            self.entry.worker, self.entry.started_us, own, self.start_wait.own_estimate(),
            slots=shared.Estimate(self.slots, own.weight * (self.slots != self.adopted_slots), own.at_us),
            blame=shared.Estimate(self.blame, min(self.failures, 8), self.failed_at),
            broke=shared.Estimate(1.0, self.broke_at > self.entry.started_us, self.broke_at),
            drain=shared.Estimate(1.0, draining, self.silence_at),
            own=tuple(getattr(self, name) for name in INHERITED_FIELDS))

    def note_predecessor_load(self, slots: float, unstarted: int) -> None:
        """Store the slots that the process before this one still uses there, and whether any job waits."""
        self.predecessor_slots = slots
        if unstarted:
            self.unstarted.add(_PREDECESSOR_JOBS)
        else:
            self.unstarted.discard(_PREDECESSOR_JOBS)

    def inherit(self, values: tuple[float, ...]) -> None:
        """Take over the predecessor's values of INHERITED_FIELDS, so that blame and spent budgets persist."""
        for name, value in zip(INHERITED_FIELDS, values, strict=False):
            setattr(self, name, type(getattr(self, name))(value))
