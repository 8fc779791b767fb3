"""Fact store of one instance: its own facts and the newest facts received from other origins.

Reconciliation follows Scuttlebutt (van Renesse, Dumitriu, Gough and Thomas, 2008): an origin numbers its
facts in the order of publication, a *digest* lists the highest number known of each origin, and a *delta*
contains the facts with higher numbers in that order. So no fact is merged twice, and a fact that returns to
its origin adds nothing. Only the best few facts of different origins (witnesses) are kept per key: a thousand
workers and two hundred instances do not make two hundred thousand facts.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from random import Random

import msgspec
import xxhash

from hazellead.learning.facts import (
    VALUE_OFFSETS,
    Fact,
    Key,
    LearningSettings,
    Observation,
    Origin,
    is_valid,
    with_clock_offset,
)
from hazellead.learning.merge import WeightedValue, combine, decayed_weight

MIN_WEIGHT = 0.05  # facts with less weight are removed
FACT_OVERHEAD_BYTES = 24  # approximate encoded size of a fact without its subject

Digest = dict[Origin, int]


class Batch(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Facts of one origin in the order of publication; with them the receiver knows all up to ``seq``."""

    origin: Origin
    seq: int
    facts: list[Fact]


def _log_distance(topic: int, first: float, second: float) -> float:
    """Return the absolute logarithm of the ratio of two values of a topic."""
    offset = VALUE_OFFSETS.get(topic, 0.0)
    return abs(math.log((first + offset) / (second + offset)))


class _OriginState:
    """The facts of one origin, the highest number seen and when the last batch was received."""

    __slots__ = ("facts", "received_at", "seq")

    def __init__(self) -> None:
        self.seq, self.received_at = 0, 0
        self.facts: dict[Key, Fact] = {}  # in the order of publication


class Knowledge:
    """Facts by origin and by key, limited in the number of facts and of origins."""

    def __init__(self, own_origin: Origin, settings: LearningSettings, rng: Random) -> None:
        """Start without facts."""
        self.own_origin, self.settings, self._rng = own_origin, settings, rng
        self._origins: dict[Origin, _OriginState] = {own_origin: _OriginState()}
        self._by_key: dict[Key, dict[Origin, Fact]] = defaultdict(dict)
        self._published_at: dict[Key, int] = {}  # last publication of own facts, in microseconds
        self.count = 0  # facts of all origins
        self.version = 0  # incremented when facts of other origins were merged
        self._fingerprint: int | None = None  # cached until a digest entry changes

    # Own facts.

    def publish(self, now: int, observations: Iterable[Observation]) -> int:
        """Store observations of this instance as new facts; return how many were published.

        An observation is published if it is new, has changed by ``publish_threshold``, rests on twice the
        evidence, or if half its half-life has passed since the last publication. It is not published where
        enough other origins with as much evidence already give about the same value.
        """
        publishable = []
        for observation in observations:
            if observation.weight <= 0 or not (priority := self._publish_priority(now, observation)):
                continue
            publishable.append((priority, observation))
        publishable.sort(key=lambda pair: -pair[0])
        state, self._fingerprint = self._origins[self.own_origin], None
        for _, observation in publishable[: self.settings.max_published]:
            state.seq += 1
            self._store(self.own_origin, state, Fact(
                int(observation.topic), observation.subject, observation.worker_started_us,
                observation.value, observation.weight, observation.observed_us, state.seq))
            self._published_at[int(observation.topic), observation.subject] = now
        return min(len(publishable), self.settings.max_published)

    def _publish_priority(self, now: int, observation: Observation) -> float:
        key = (int(observation.topic), observation.subject)
        half_life = self.settings.half_lives[observation.topic]
        last = self._origins[self.own_origin].facts.get(key)
        if last is not None and last.worker_started_us == observation.worker_started_us:
            change = _log_distance(observation.topic, observation.value, last.value)
            more_evidence = observation.weight >= 2 * last.weight and last.weight < 8
            due = (observation.observed_us > last.observed_us
                   and now - self._published_at.get(key, 0) > half_life // 2)
            if change < self.settings.publish_threshold and not more_evidence and not due:
                return 0.0
            priority = change + more_evidence
        else:
            priority = 2.0
        # A few witnesses of one value are enough. Only facts about the same start of a worker count, so
        # after a restart its observations are published again.
        witnesses = [
            WeightedValue(f.value, w) for o, f in self._by_key.get(key, {}).items()
            if o != self.own_origin and f.worker_started_us == observation.worker_started_us
            and (w := decayed_weight(f.weight, now - f.observed_us, half_life)) >= observation.weight]
        if len(witnesses) >= self.settings.witnesses:
            value, _ = combine(
                witnesses, observation.value, self.settings, VALUE_OFFSETS.get(observation.topic, 0.0))
            if _log_distance(
                observation.topic, observation.value, value,
            ) < 2 * self.settings.publish_threshold:
                return 0.0
        return (priority + 0.1) * min(observation.weight, 8.0)

    # Exchange.

    def digest(self) -> Digest:
        """Return the highest fact number known of each origin."""
        return {origin: state.seq for origin, state in self._origins.items() if state.seq}

    def fingerprint(self) -> int:
        """Return a 64-bit hash of the digest; equal on instances that have received the same facts."""
        if self._fingerprint is None:
            rows = sorted(
                (o.name, o.started_us, state.seq) for o, state in self._origins.items() if state.seq)
            self._fingerprint = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(rows))
        return self._fingerprint

    def delta(self, remote: Digest, budget: int) -> list[Batch]:
        """Return the facts that the sender of digest ``remote`` lacks, up to about ``budget`` bytes.

        Origins come in random order, so that a small budget does not starve any of them. An origin's facts
        come in the order of publication; the ``seq`` of a batch cut short is that of its last fact.
        """
        newer = [(o, state) for o, state in self._origins.items() if state.seq > remote.get(o, 0)]
        self._rng.shuffle(newer)
        batches = []
        for origin, state in newer:
            known_seq, facts, last_seq = remote.get(origin, 0), [], state.seq
            for fact in reversed(state.facts.values()):
                if fact.seq <= known_seq:
                    break
                facts.append(fact)
            facts.reverse()
            selected: list[Fact] = []
            for fact in facts:
                budget -= FACT_OVERHEAD_BYTES + len(fact.subject)
                if budget < 0:
                    last_seq = selected[-1].seq if selected else known_seq
                    break
                selected.append(fact)
            budget -= FACT_OVERHEAD_BYTES + len(origin.name)
            if last_seq > known_seq:
                batches.append(Batch(origin, last_seq, selected))
            if budget < 0:
                break
        return batches

    def merge(
        self, now: int, batches: Iterable[Batch], clock_offset: int = 0, only_origin: str | None = None,
    ) -> int:
        """Merge batches from another instance; return how many facts were added.

        ``clock_offset`` is the local clock minus the sender's, in microseconds. ``only_origin`` is the only
        member name whose facts are accepted, where relayed facts are not trusted. Facts that are not valid
        are skipped one by one.
        """
        added = 0
        for batch in batches:
            origin = batch.origin
            if origin == self.own_origin or (only_origin is not None and origin.name != only_origin):
                continue
            state = self._origins.get(origin)
            if state is None:
                if len(self._origins) >= self.settings.max_origins and not self._evict_origin():
                    continue
                state = self._origins[origin] = _OriginState()
            if batch.seq <= state.seq or not 0 < batch.seq < 1 << 62:
                continue
            for fact in batch.facts:
                if state.seq < fact.seq <= batch.seq:
                    state.seq = fact.seq
                    local = with_clock_offset(fact, clock_offset, now)
                    if is_valid(local, now) and self._current_weight(now, local) >= MIN_WEIGHT:
                        self._store(origin, state, local)
                        added += 1
            state.seq, state.received_at, self._fingerprint = batch.seq, now, None
        if added:
            self.version += 1
            self._evict_excess_facts(now)
        return added

    def _current_weight(self, now: int, fact: Fact) -> float:
        return decayed_weight(fact.weight, now - fact.observed_us, self.settings.half_lives[fact.topic])

    def _store(self, origin: Origin, state: _OriginState, fact: Fact) -> None:
        if state.facts.pop(fact.key, None) is None:
            self.count += 1
        state.facts[fact.key] = fact
        holders = self._by_key[fact.key]
        holders[origin] = fact
        if len(holders) > self.settings.witnesses + 1:
            # The weakest fact of another origin is removed. The digest still covers it, so no peer sends it
            # again.
            weakest = min((o for o in holders if o != self.own_origin), key=lambda o: (
                holders[o].worker_started_us, holders[o].observed_us + min(holders[o].weight, 8.0) * 1e6))
            self._remove(weakest, fact.key)

    def _remove(self, origin: Origin, key: Key) -> None:
        if self._origins[origin].facts.pop(key, None) is not None:
            self.count -= 1
        holders = self._by_key[key]
        holders.pop(origin, None)
        if not holders:
            del self._by_key[key]

    # Limits.

    def _evict_origin(self) -> bool:
        """Remove an origin; return False if there is none.

        Origins without facts go first, then those from which nothing was received for the longest time.
        """
        others = [o for o in self._origins if o != self.own_origin]
        oldest = min(
            others, key=lambda o: (bool(self._origins[o].facts), self._origins[o].received_at), default=None)
        if oldest is None:
            return False
        for key in list(self._origins[oldest].facts):
            self._remove(oldest, key)
        del self._origins[oldest]
        self._fingerprint = None
        return True

    def _evict_excess_facts(self, now: int) -> None:
        if self.count <= self.settings.max_facts:
            return
        by_weight = sorted(
            (self._current_weight(now, f), o, k)
            for k, holders in self._by_key.items() for o, f in holders.items() if o != self.own_origin)
        for _, origin, key in by_weight[: self.count - self.settings.max_facts]:
            self._remove(origin, key)

    def expire(self, now: int) -> int:
        """Remove facts below the minimum weight and outdated origins; return how many facts were removed."""
        expired = [(o, k) for k, holders in self._by_key.items() for o, f in holders.items()
                   if self._current_weight(now, f) < MIN_WEIGHT]
        for origin, key in expired:
            self._remove(origin, key)
        # Keeps a member that restarts again and again from filling the origins: an earlier run of it is
        # dropped once it has no facts.
        newest: dict[str, int] = {}
        for origin in self._origins:
            newest[origin.name] = max(newest.get(origin.name, 0), origin.started_us)
        for origin, state in list(self._origins.items()):
            if not state.facts and origin != self.own_origin and origin.started_us < newest[origin.name]:
                del self._origins[origin]
                self._fingerprint = None
        return len(expired)

    # Reading.

    def facts_for(self, key: Key) -> Iterator[tuple[Origin, Fact]]:
        """Yield the facts of a key with their origins, this instance included."""
        yield from self._by_key.get(key, {}).items()

    def keys(self) -> list[Key]:
        """Return all keys that have facts."""
        return list(self._by_key)

    def recent_members(self, now: int, within: int) -> set[str]:
        """Return names of other members whose facts were received in the last ``within`` microseconds."""
        return {o.name for o, state in self._origins.items()
                if o.name != self.own_origin.name and state.facts and now - state.received_at <= within}

    def all_batches(self) -> list[Batch]:
        """Return the facts of all origins, for a snapshot."""
        return [Batch(origin, state.seq, list(state.facts.values()))
                for origin, state in self._origins.items() if state.facts]
