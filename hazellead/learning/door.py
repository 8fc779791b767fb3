"""Turns what a dispatcher has seen into drafts of facts, and facts into what a dispatcher may take over.

Only caution is taken on others' word beyond its weight; nothing here opens a worker to work, warms a cold
one or names one that the own list has not. Facts of a worker count only for the start that the own list
gives it: one that drained, was replaced or restarted since is a worker of which nothing is known.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hazellead.core.clock import to_us
from hazellead.decide.estimates import Estimate, SharedEstimates, WorkerEstimates
from hazellead.learning.facts import (
    MOST_WEIGHT,
    OFFSETS,
    RANGES,
    Draft,
    LearningSettings,
    Topic,
)
from hazellead.learning.merge import Said, agreed, combine, faded
from hazellead.learning.store import Knowledge

US = 1_000_000
# Run times of like jobs scatter about four times as much as the speeds of like workers do: so many runs tell
# as much of one worker as knowing its kind does.
PRIOR = 16.0
HEARD = 60 * US  # a member of which nothing was heard for so long is no source any more


@dataclass(slots=True, frozen=True)
class Listed:
    """One worker of the own list: its number here, its name everywhere, its start, whether it takes work."""

    number: int
    name: str
    started_us: int
    ready: bool = True
    kind: int = 0


@dataclass(slots=True, frozen=True)
class Names:
    """What classes and tenants are called, in the module's order."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]


def drafts(state: SharedEstimates, names: Names, workers: Iterable[Listed], me: str, now: int) -> list[Draft]:
    """Return what a dispatcher has itself observed, as drafts."""
    out: list[Draft] = []
    seen = {w.worker: w for w in state.workers}

    def add(topic: Topic, subject: str, about: int, given: Estimate) -> None:
        if given.weight > 0:
            # What lies outside what a fact may say is told as the nearest that it may.
            least, most = RANGES[topic]
            value, weight = min(max(given.value, least), most), min(float(given.weight), MOST_WEIGHT)
            out.append(Draft(topic, subject, about, value, weight, min(given.at_us, now)))

    for listed in workers:
        w = seen.get(listed.number)
        if w is None or w.started_us != listed.started_us:
            continue
        for topic, given in ((Topic.PACE, w.pace), (Topic.DELAY, w.delay), (Topic.SLOTS, w.slots),
                             (Topic.BLAME, w.blame), (Topic.BROKE, w.broke), (Topic.DRAIN, w.drain)):
            add(topic, listed.name, w.started_us, given)
    for name, given in zip(names.classes, state.runs, strict=False):
        add(Topic.RUN, name, 0, given)
    for name, given in zip(names.tenants, state.demand, strict=False):
        add(Topic.DEMAND, demand_of(me, name), 0, given)
    add(Topic.FACTOR, "", 0, state.factor)
    return out


def demand_of(member: str, tenant: str) -> str:
    """Return the subject of a member's demand by a tenant; every member's clients are its own."""
    return f"{member}/{tenant}"


class Reader:
    """Reads one instance's knowledge for its dispatcher."""

    def __init__(self, knowledge: Knowledge, settings: LearningSettings, names: Names) -> None:
        """Read this knowledge."""
        self._knowledge, self._settings, self._names = knowledge, settings, names

    def _others(self, topic: Topic, subject: str, about: int, now: int) -> dict[str, list[tuple[Said, int]]]:
        """Return what other origins say, by the member's name, with when they saw it.

        Our former lives are others.
        """
        half, found = self._settings.half_lives[topic], defaultdict(list)
        for origin, fact in self._knowledge.about((int(topic), subject)):
            if origin != self._knowledge.me and fact.about == about:
                weight = faded(fact.weight, now - fact.observed, half)
                found[origin.name].append((Said(fact.value, weight), fact.observed))
        return dict(found)

    def estimate(
        self, topic: Topic, subject: str, about: int, now: int, default: float, prior: float = 1.0,
    ) -> Estimate:
        """Return what others' evidence comes to; weight 0 if there is none."""
        said, newest = [], 0
        for rows in self._others(topic, subject, about, now).values():
            # Guards against one member counting as many: its lives speak with one voice.
            total = sum(s.weight for s, _ in rows) or 1.0
            said.append(Said(sum(s.value * s.weight for s, _ in rows) / total, total))
            newest = max(newest, max(at for _, at in rows))
        value, weight = combine(said, default, self._settings, OFFSETS.get(topic, 0.0), prior)
        return Estimate(value, weight, newest)

    def _caution(self, topic: Topic, listed: Listed, now: int, sources: int) -> Estimate:
        """Return a caution that enough members call for: the second highest value of two or more."""
        found = self._others(topic, listed.name, listed.started_us, now)
        weights = {name: max(s.weight for s, _ in rows) for name, rows in found.items()}
        if not found or not agreed(weights, sources):
            return Estimate()
        second = min(1, len(found) - 1)
        value = sorted((max(s.value for s, _ in rows) for rows in found.values()), reverse=True)[second]
        at = sorted((max(at for _, at in rows) for rows in found.values()), reverse=True)[second]
        return Estimate(value, max(weights.values()), min(at, now))

    def known(
        self, workers: Sequence[Listed], now: int, defaults: SharedEstimates, quotas: Sequence[float],
    ) -> SharedEstimates:
        """Return what a dispatcher may take over now.

        ``defaults`` is what it would assume itself (its runs and factor); ``quotas`` bounds the demand by
        tenant.
        """
        sources = len(self._knowledge.sources(now, HEARD))
        shun = to_us(self._settings.shun)
        kinds = self._kinds(workers, now)
        out = []
        for w in workers:
            if not w.ready:
                continue
            drain = self._caution(Topic.DRAIN, w, now, sources)
            out.append(WorkerEstimates(
                w.number, w.started_us,
                pace=self._pace(w, now, kinds),
                delay=self.estimate(Topic.DELAY, w.name, w.started_us, now, 0.0),
                slots=self.estimate(Topic.SLOTS, w.name, w.started_us, now, 2.0),
                blame=self._caution(Topic.BLAME, w, now, sources),
                broke=self._caution(Topic.BROKE, w, now, sources),
                drain=Estimate(1.0, drain.weight, now + shun) if drain.weight else Estimate()))
        runs = tuple(
            self.estimate(Topic.RUN, name, 0, now, max(1.0, d.value))
            for name, d in zip(self._names.classes, defaults.runs, strict=False))
        return SharedEstimates(
            workers=tuple(out), runs=runs, demand=self._demand(now, quotas),
            factor=self.estimate(Topic.FACTOR, "", 0, now, defaults.factor.value))

    def _kinds(self, workers: Sequence[Listed], now: int) -> dict[int, float]:
        """Return the mean pace of each kind of worker, which stands in for one that nobody knows."""
        sums: dict[int, list[float]] = {}
        for w in workers:
            e = self.estimate(Topic.PACE, w.name, w.started_us, now, 1.0, 0.0)
            if e.weight:
                row = sums.setdefault(w.kind, [0.0, 0.0])
                row[0] += e.weight * e.value
                row[1] += e.weight
        return {kind: (total + PRIOR) / (weight + PRIOR) for kind, (total, weight) in sums.items()}

    def _pace(self, w: Listed, now: int, kinds: dict[int, float]) -> Estimate:
        """Return a worker's pace, drawn to its kind's by as much evidence as tells two such workers apart."""
        default = kinds.get(w.kind, 1.0)
        found = self.estimate(Topic.PACE, w.name, w.started_us, now, default, PRIOR)
        if found.weight or w.kind not in kinds:
            return Estimate(found.value, found.weight + PRIOR * (found.weight > 0), found.at_us)
        return Estimate(default, PRIOR, now)

    def _demand(self, now: int, quotas: Sequence[float]) -> tuple[Estimate, ...]:
        """Return our clients' demand: as our own former life saw it, else as others see theirs on average."""
        me, members = self._knowledge.me.name, {o.name for o in self._knowledge.digest()}
        out = []
        for tenant, quota in zip(self._names.tenants, quotas, strict=False):
            own = self.estimate(Topic.DEMAND, demand_of(me, tenant), 0, now, max(quota, 0.1))
            if not own.weight:
                others = [e for m in members if m != me and (
                    e := self.estimate(Topic.DEMAND, demand_of(m, tenant), 0, now, max(quota, 0.1))).weight]
                if others:
                    value = sum(e.value for e in others) / len(others)
                    own = Estimate(value, min(e.weight for e in others), now)
            most = 2 * quota if quota else own.value
            out.append(Estimate(min(own.value, most), own.weight, own.at_us))
        return tuple(out)
