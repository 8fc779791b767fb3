"""The knowledge of one instance: its own facts and, of other origins, the newest it has heard.

Reconciled as Scuttlebutt does it (van Renesse, Dumitriu, Gough and Thomas, 2008): an origin numbers its
facts in the order told, a *digest* says how far each origin's are known, a *delta* brings what is newer in
that order, so that nothing is ever taken twice and A to B to A adds nothing. For one key only the best few
witnesses are kept: a thousand workers and two hundred instances do not make two hundred thousand facts.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from random import Random

import msgspec
import xxhash

from hazellead.learning.facts import OFFSETS, Draft, Fact, Key, LearningSettings, Origin, shifted, usable
from hazellead.learning.merge import Said, combine, faded

LEAST = 0.05  # weight under which a fact is forgotten
OVERHEAD = 24  # bytes that a fact takes beside its subject, roughly, in a message

Digest = dict[Origin, int]


class Batch(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Facts of one origin in the order told; after them all up to ``seq`` are known."""

    origin: Origin
    seq: int
    facts: list[Fact]


def _apart(topic: int, one: float, other: float) -> float:
    """Return how far two values of a topic lie apart, as a factor's logarithm."""
    offset = OFFSETS.get(topic, 0.0)
    return abs(math.log((one + offset) / (other + offset)))


class _Life:
    """What is held of one origin."""

    __slots__ = ("facts", "heard", "seq")

    def __init__(self) -> None:
        self.seq, self.heard = 0, 0
        self.facts: dict[Key, Fact] = {}  # in the order told


class Knowledge:
    """What is known, bounded in facts and in origins."""

    def __init__(self, me: Origin, settings: LearningSettings, rng: Random) -> None:
        """Know nothing."""
        self.me, self.settings, self._rng = me, settings, rng
        self._lives: dict[Origin, _Life] = {me: _Life()}
        self._by_key: dict[Key, dict[Origin, Fact]] = defaultdict(dict)
        self._told: dict[Key, int] = {}  # when we last told ours
        self.count = 0
        self.version = 0  # of what others have told; changes when something new was taken
        self._print: int | None = None  # the fingerprint, until what is known changes

    # Our own.

    def tell(self, now: int, drafts: Iterable[Draft]) -> int:
        """Take in what this instance has observed; return how many facts were worth telling.

        A fact is told if it is new, has changed by ``news``, has doubled its evidence, or if half its
        half-life has passed since. It is not told where enough others with as much evidence already say the
        same.
        """
        worth = []
        for draft in drafts:
            if draft.weight <= 0 or not (news := self._news(now, draft)):
                continue
            worth.append((news, draft))
        worth.sort(key=lambda pair: -pair[0])
        life, self._print = self._lives[self.me], None
        for _, draft in worth[: self.settings.told_at_once]:
            life.seq += 1
            self._put(self.me, life, Fact(
                int(draft.topic), draft.subject, draft.about, draft.value, draft.weight, draft.observed,
                life.seq))
            self._told[int(draft.topic), draft.subject] = now
        return min(len(worth), self.settings.told_at_once)

    def _news(self, now: int, draft: Draft) -> float:
        key = (int(draft.topic), draft.subject)
        half = self.settings.half_lives[draft.topic]
        last = self._lives[self.me].facts.get(key)
        if last is not None and last.about == draft.about:
            change = _apart(draft.topic, draft.value, last.value)
            grown = draft.weight >= 2 * last.weight and last.weight < 8
            due = draft.observed > last.observed and now - self._told.get(key, 0) > half // 2
            if change < self.settings.news and not grown and not due:
                return 0.0
            news = change + grown
        else:
            news = 2.0
        # A new life or a caution is always told; of a steady figure a few witnesses are enough.
        said = [Said(f.value, w) for o, f in self._by_key.get(key, {}).items() if o != self.me
                and f.about == draft.about and (w := faded(f.weight, now - f.observed, half)) >= draft.weight]
        if len(said) >= self.settings.witnesses:
            value, _ = combine(said, draft.value, self.settings, OFFSETS.get(draft.topic, 0.0))
            if _apart(draft.topic, draft.value, value) < 2 * self.settings.news:
                return 0.0
        return (news + 0.1) * min(draft.weight, 8.0)

    # Exchange.

    def digest(self) -> Digest:
        """Return how far each origin's facts are known here."""
        return {origin: life.seq for origin, life in self._lives.items() if life.seq}

    def fingerprint(self) -> int:
        """Return a number that two instances share if they know the same, in 64 bits."""
        if self._print is None:
            rows = sorted((o.name, o.life, life.seq) for o, life in self._lives.items() if life.seq)
            self._print = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(rows))
        return self._print

    def delta(self, theirs: Digest, budget: int) -> list[Batch]:
        """Return what is newer here than there, up to about ``budget`` bytes.

        Origins come in random order, so that under a tight budget none is passed over for ever; within one
        the facts come in the order told, and a batch that had to be cut says how far it goes.
        """
        newer = [(o, life) for o, life in self._lives.items() if life.seq > theirs.get(o, 0)]
        self._rng.shuffle(newer)
        batches = []
        for origin, life in newer:
            known, facts, upto = theirs.get(origin, 0), [], life.seq
            for fact in reversed(life.facts.values()):
                if fact.seq <= known:
                    break
                facts.append(fact)
            facts.reverse()
            kept: list[Fact] = []
            for fact in facts:
                budget -= OVERHEAD + len(fact.subject)
                if budget < 0:
                    upto = kept[-1].seq if kept else known
                    break
                kept.append(fact)
            budget -= OVERHEAD + len(origin.name)
            if upto > known:
                batches.append(Batch(origin, upto, kept))
            if budget < 0:
                break
        return batches

    def take(self, now: int, batches: Iterable[Batch], shift: int = 0, only: str | None = None) -> int:
        """Take in what another instance sent; return how many facts were new.

        ``shift`` is our clock less theirs; ``only`` names the one origin that the sender may speak for, where
        relaying is not trusted. What could not have been observed is passed over, one fact at a time.
        """
        taken = 0
        for batch in batches:
            origin = batch.origin
            if origin == self.me or (only is not None and origin.name != only):
                continue
            life = self._lives.get(origin)
            if life is None:
                if len(self._lives) >= self.settings.most_origins and not self._drop_origin():
                    continue
                life = self._lives[origin] = _Life()
            if batch.seq <= life.seq or not 0 < batch.seq < 1 << 62:
                continue
            for fact in batch.facts:
                if life.seq < fact.seq <= batch.seq:
                    life.seq = fact.seq
                    here = shifted(fact, shift, now)
                    if usable(here, now) and self._worth(now, here) >= LEAST:
                        self._put(origin, life, here)
                        taken += 1
            life.seq, life.heard, self._print = batch.seq, now, None
        if taken:
            self.version += 1
            self._bound(now)
        return taken

    def _worth(self, now: int, fact: Fact) -> float:
        return faded(fact.weight, now - fact.observed, self.settings.half_lives[fact.topic])

    def _put(self, origin: Origin, life: _Life, fact: Fact) -> None:
        if life.facts.pop(fact.key, None) is None:
            self.count += 1
        life.facts[fact.key] = fact
        holders = self._by_key[fact.key]
        holders[origin] = fact
        if len(holders) > self.settings.witnesses + 1:
            # The weakest of the others goes. The digest still says that it was seen, so it is not sent again.
            weakest = min((o for o in holders if o != self.me), key=lambda o: (
                holders[o].about, holders[o].observed + min(holders[o].weight, 8.0) * 1e6))
            self._remove(weakest, fact.key)

    def _remove(self, origin: Origin, key: Key) -> None:
        if self._lives[origin].facts.pop(key, None) is not None:
            self.count -= 1
        holders = self._by_key[key]
        holders.pop(origin, None)
        if not holders:
            del self._by_key[key]

    # Bounds.

    def _drop_origin(self) -> bool:
        """Make room for an origin: the one heard longest ago that holds nothing of weight any more."""
        others = [o for o in self._lives if o != self.me]
        oldest = min(others, key=lambda o: (bool(self._lives[o].facts), self._lives[o].heard), default=None)
        if oldest is None:
            return False
        for key in list(self._lives[oldest].facts):
            self._remove(oldest, key)
        del self._lives[oldest]
        self._print = None
        return True

    def _bound(self, now: int) -> None:
        if self.count <= self.settings.most_facts:
            return
        worths = sorted(
            (self._worth(now, f), o, k) for k, holders in self._by_key.items() for o, f in holders.items()
            if o != self.me)
        for _, origin, key in worths[: self.count - self.settings.most_facts]:
            self._remove(origin, key)

    def fade(self, now: int) -> int:
        """Forget what has lost its weight, and lives of which nothing is left; return how many facts went."""
        gone = [(o, k) for k, holders in self._by_key.items() for o, f in holders.items()
                if self._worth(now, f) < LEAST]
        for origin, key in gone:
            self._remove(origin, key)
        # Guards against a member that restarts without end: of its former lives only what it told counts.
        newest: dict[str, int] = {}
        for origin in self._lives:
            newest[origin.name] = max(newest.get(origin.name, 0), origin.life)
        for origin, life in list(self._lives.items()):
            if not life.facts and origin != self.me and origin.life < newest[origin.name]:
                del self._lives[origin]
                self._print = None
        return len(gone)

    # Reading.

    def about(self, key: Key) -> Iterator[tuple[Origin, Fact]]:
        """Go through what is known of a key, our own included."""
        yield from self._by_key.get(key, {}).items()

    def keys(self) -> list[Key]:
        """Return what anything is known of."""
        return list(self._by_key)

    def sources(self, now: int, within: int) -> set[str]:
        """Return the names of other members heard of within so many microseconds."""
        return {o.name for o, life in self._lives.items()
                if o.name != self.me.name and life.facts and now - life.heard <= within}

    def everything(self) -> list[Batch]:
        """Return all that is held, for a snapshot."""
        return [Batch(origin, life.seq, list(life.facts.values()))
                for origin, life in self._lives.items() if life.facts]
