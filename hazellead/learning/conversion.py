"""Converts a dispatcher's estimates into observations to publish, and facts into estimates to adopt.

Reports of failures and drains apply as soon as enough members agree; other facts only count by their weight.
Nothing here makes a worker eligible for jobs, ends its warm-up or adds one that the local worker list lacks.
Facts about a worker only count if they are of the run (start time) that the local list has: a worker that
has since drained, restarted or been replaced starts without estimates.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hazellead.core.clock import to_us
from hazellead.decide.estimates import Estimate, SharedEstimates, WorkerEstimates
from hazellead.learning.facts import (
    MAX_WEIGHT,
    VALUE_OFFSETS,
    VALUE_RANGES,
    LearningSettings,
    Observation,
    Topic,
)
from hazellead.learning.merge import WeightedValue, combine, decayed_weight, enough_sources_agree
from hazellead.learning.store import Knowledge

US = 1_000_000
# Run times of similar jobs scatter about four times as much as the speeds of workers of one kind, so 16 runs
# on a worker say as much about its speed as knowing its kind.
KIND_PRIOR_WEIGHT = 16.0
SOURCE_TIMEOUT_US = 60 * US  # members silent for longer no longer count as sources


@dataclass(slots=True, frozen=True)
class ListedWorker:
    """A worker of the local list; ``number`` is local to this instance, ``name`` is the same on all."""

    number: int
    name: str
    started_us: int
    ready: bool = True
    kind: int = 0


@dataclass(slots=True, frozen=True)
class Names:
    """Names of the job classes and tenants, in the order of the dispatcher's settings."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]


def observations(
    state: SharedEstimates, names: Names, workers: Iterable[ListedWorker], own_member: str, now: int,
) -> list[Observation]:
    """Return a dispatcher's own estimates as observations."""
    result: list[Observation] = []
    estimates = {w.worker: w for w in state.workers}

    def add(topic: Topic, subject: str, worker_started_us: int, estimate: Estimate) -> None:
        if estimate.weight > 0:
            # Values outside the range of a valid fact are clamped to it.
            least, most = VALUE_RANGES[topic]
            value, weight = min(max(estimate.value, least), most), min(float(estimate.weight), MAX_WEIGHT)
            result.append(Observation(
                topic, subject, worker_started_us, value, weight, min(estimate.at_us, now)))

    for listed in workers:
        w = estimates.get(listed.number)
        if w is None or w.started_us != listed.started_us:
            continue
        for topic, estimate in ((Topic.PACE, w.pace), (Topic.DELAY, w.delay), (Topic.SLOTS, w.slots),
                                (Topic.BLAME, w.blame), (Topic.BROKE, w.broke), (Topic.DRAIN, w.drain)):
            add(topic, listed.name, w.started_us, estimate)
    for name, estimate in zip(names.classes, state.runs, strict=False):
        add(Topic.RUN, name, 0, estimate)
    for name, estimate in zip(names.tenants, state.demand, strict=False):
        add(Topic.DEMAND, demand_subject(own_member, name), 0, estimate)
    add(Topic.FACTOR, "", 0, state.factor)
    return result


def demand_subject(member: str, tenant: str) -> str:
    """Return the subject of a tenant's demand at one member; each member has clients of its own."""
    return f"{member}/{tenant}"


class EstimateReader:
    """Combines the facts of other origins into estimates for the local dispatcher."""

    def __init__(self, knowledge: Knowledge, settings: LearningSettings, names: Names) -> None:
        """Read from ``knowledge``."""
        self._knowledge, self._settings, self._names = knowledge, settings, names

    def _remote_values(
        self, topic: Topic, subject: str, worker_started_us: int, now: int,
    ) -> dict[str, list[tuple[WeightedValue, int]]]:
        """Return other origins' values with decayed weights and observation times, by member name.

        Earlier runs of this instance count as other origins.
        """
        half_life, found = self._settings.half_lives[topic], defaultdict(list)
        for origin, fact in self._knowledge.facts_for((int(topic), subject)):
            if origin != self._knowledge.own_origin and fact.worker_started_us == worker_started_us:
                weight = decayed_weight(fact.weight, now - fact.observed_us, half_life)
                found[origin.name].append((WeightedValue(fact.value, weight), fact.observed_us))
        return dict(found)

    def estimate(
        self, topic: Topic, subject: str, worker_started_us: int, now: int, default: float,
        prior: float = 1.0,
    ) -> Estimate:
        """Return the combined estimate of other origins; its weight is 0 if they have no facts."""
        values, newest = [], 0
        for rows in self._remote_values(topic, subject, worker_started_us, now).values():
            # All runs of a member count as one source, so that restarts do not multiply its influence.
            total = sum(s.weight for s, _ in rows) or 1.0
            values.append(WeightedValue(sum(s.value * s.weight for s, _ in rows) / total, total))
            newest = max(newest, max(at for _, at in rows))
        value, weight = combine(values, default, self._settings, VALUE_OFFSETS.get(topic, 0.0), prior)
        return Estimate(value, weight, newest)

    def _agreed_caution(self, topic: Topic, listed: ListedWorker, now: int, sources: int) -> Estimate:
        """Return the second highest value, or the only one, if enough members agree; else weight 0."""
        found = self._remote_values(topic, listed.name, listed.started_us, now)
        weights = {name: max(s.weight for s, _ in rows) for name, rows in found.items()}
        if not found or not enough_sources_agree(weights, sources):
            return Estimate()
        second = min(1, len(found) - 1)
        value = sorted((max(s.value for s, _ in rows) for rows in found.values()), reverse=True)[second]
        at = sorted((max(at for _, at in rows) for rows in found.values()), reverse=True)[second]
        return Estimate(value, max(weights.values()), min(at, now))

    def shared_estimates(
        self, workers: Sequence[ListedWorker], now: int, defaults: SharedEstimates, quotas: Sequence[float],
    ) -> SharedEstimates:
        """Return the estimates that the local dispatcher can adopt now.

        ``defaults`` provides the values it would assume itself (run times and factor); ``quotas`` limits the
        demand of each tenant.
        """
        sources = len(self._knowledge.recent_members(now, SOURCE_TIMEOUT_US))
        drain_hold = to_us(self._settings.drain_hold)
        pace_by_kind = self._pace_by_kind(workers, now)
        result = []
        for w in workers:
            if not w.ready:
                continue
            drain = self._agreed_caution(Topic.DRAIN, w, now, sources)
            result.append(WorkerEstimates(
                w.number, w.started_us,
                pace=self._worker_pace(w, now, pace_by_kind),
                delay=self.estimate(Topic.DELAY, w.name, w.started_us, now, 0.0),
                slots=self.estimate(Topic.SLOTS, w.name, w.started_us, now, 2.0),
                blame=self._agreed_caution(Topic.BLAME, w, now, sources),
                broke=self._agreed_caution(Topic.BROKE, w, now, sources),
                drain=Estimate(1.0, drain.weight, now + drain_hold) if drain.weight else Estimate()))
        runs = tuple(
            self.estimate(Topic.RUN, name, 0, now, max(1.0, d.value))
            for name, d in zip(self._names.classes, defaults.runs, strict=False))
        return SharedEstimates(
            workers=tuple(result), runs=runs, demand=self._expected_demand(now, quotas),
            factor=self.estimate(Topic.FACTOR, "", 0, now, defaults.factor.value))

    def _pace_by_kind(self, workers: Sequence[ListedWorker], now: int) -> dict[int, float]:
        """Return the mean pace of each kind of worker, which also stands in for workers without facts."""
        sums: dict[int, list[float]] = {}
        for w in workers:
            e = self.estimate(Topic.PACE, w.name, w.started_us, now, 1.0, 0.0)
            if e.weight:
                row = sums.setdefault(w.kind, [0.0, 0.0])
                row[0] += e.weight * e.value
                row[1] += e.weight
        return {kind: (total + KIND_PRIOR_WEIGHT) / (weight + KIND_PRIOR_WEIGHT)
                for kind, (total, weight) in sums.items()}

    def _worker_pace(self, w: ListedWorker, now: int, pace_by_kind: dict[int, float]) -> Estimate:
        """Return a worker's pace, with its kind's mean pace as prior."""
        default = pace_by_kind.get(w.kind, 1.0)
        found = self.estimate(Topic.PACE, w.name, w.started_us, now, default, KIND_PRIOR_WEIGHT)
        if found.weight or w.kind not in pace_by_kind:
            return Estimate(found.value, found.weight + KIND_PRIOR_WEIGHT * (found.weight > 0), found.at_us)
        return Estimate(default, KIND_PRIOR_WEIGHT, now)

    def _expected_demand(self, now: int, quotas: Sequence[float]) -> tuple[Estimate, ...]:
        """Return the demand of this instance's clients by tenant.

        It is what an earlier run of this instance observed, or else the average of the other members'.
        """
        own_member, members = self._knowledge.own_origin.name, {o.name for o in self._knowledge.digest()}
        result = []
        for tenant, quota in zip(self._names.tenants, quotas, strict=False):
            own = self.estimate(Topic.DEMAND, demand_subject(own_member, tenant), 0, now, max(quota, 0.1))
            if not own.weight:
                others = [e for m in members if m != own_member and (
                    e := self.estimate(
                        Topic.DEMAND, demand_subject(m, tenant), 0, now, max(quota, 0.1))).weight]
                if others:
                    value = sum(e.value for e in others) / len(others)
                    own = Estimate(value, min(e.weight for e in others), now)
            most = 2 * quota if quota else own.value
            result.append(Estimate(min(own.value, most), own.weight, own.at_us))
        return tuple(result)
