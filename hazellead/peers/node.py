"""One member: its membership and its knowledge over one stream of messages. Sans-I/O.

Facts travel by anti-entropy, push and pull: now and then a member sends another the fingerprint of what it
knows; if that differs, both exchange digests and then only what the other lacks. A new member asks up to
three at once and takes what comes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from hazellead.learning.facts import LearningSettings, Observation, Origin
from hazellead.learning.store import Batch, Knowledge
from hazellead.peers.messages import Bounds, Delta, Digest, Message
from hazellead.peers.swim import MS, Change, Out, Swim, SwimSettings

SKEW_JUMP = 60_000 * MS  # a difference of clocks that changes by more than this has been set anew


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """How facts are exchanged. Times in microseconds, sizes in bytes."""

    exchange_us: int = 400 * MS
    rate: int = 32 * 1024  # bytes of facts a second that one member sends; digests and pings come on top
    burst: int = 64 * 1024
    whole: int = 200 * 1024  # for one that has just started
    asked: int = 3  # members that a new one asks at once
    fade_us: int = 5_000 * MS
    relay: bool = True  # take facts from others than their origin
    swim: SwimSettings = field(default_factory=SwimSettings)
    bounds: Bounds = field(default_factory=Bounds)


class Node:
    """What one member knows and says. Owns no time and no connection."""

    def __init__(
        self, name: str, address: str, now: int, settings: NodeSettings, learning: LearningSettings,
        rng: Random,
    ) -> None:
        """Start a life that begins ``now``."""
        self.name, self.settings, self._rng = name, settings, rng
        self.swim = Swim(name, address, settings.swim, rng, bounds=settings.bounds)
        self.knowledge = Knowledge(Origin(name, now), learning, rng)
        self.answered: set[str] = set()  # who has sent facts since the start
        self._next = now + int(rng.random() * settings.exchange_us)
        self._fade = now + settings.fade_us
        self._credit, self._credited = float(settings.burst), now
        self._skews: dict[str, int] = {}
        self._whole_for: dict[str, int] = {}  # when a member last got everything at once

    # Life.

    def start(self, now: int, seeds: Iterable[str], known: Iterable[tuple[str, str]] = ()) -> list[Out]:
        """Ask those that may be there, by address or by name and address.

        For the members and for their facts.
        """
        asked = [(name, address) for name, address in known if name != self.name]
        asked += [("", address) for address in seeds if address != self.swim.address]
        self._rng.shuffle(asked)
        out: list[Out] = []
        for place, (name, address) in enumerate(asked):
            out += self.swim.join(name, address)
            if place < self.settings.asked:
                out.append((name, address, self._ask(now)))
        return out

    def _ask(self, now: int) -> Digest:
        rows = list(self.knowledge.digest().items())
        return Digest(self.knowledge.fingerprint(), now, rows, urgent=True)

    def due(self) -> int:
        """Return when ``tick`` is wanted next."""
        return min(self.swim.due(), self._next, self._fade)

    def tick(self, now: int) -> list[Out]:
        """Do what is due."""
        out = self.swim.tick(now)
        if self._fade <= now:
            self._fade = now + self.settings.fade_us
            self.knowledge.expire(now)
            self._whole_for = {n: at for n, at in self._whole_for.items() if now - at < 60_000 * MS}
        if self._next <= now:
            self._next = now + int(self.settings.exchange_us * (0.75 + self._rng.random() / 2))
            there = self.swim.there()
            if there:
                member = self._rng.choice(there)
                out.append((member.name, member.address, Digest(self.knowledge.fingerprint(), now)))
        return out

    def publish(self, now: int, observations: Iterable[Observation]) -> int:
        """Take in what this instance has itself observed."""
        return self.knowledge.publish(now, observations)

    def take_changes(self) -> list[Change]:
        """Return what has changed among the members since the last call."""
        changes, self.swim.changes = self.swim.changes, []
        return changes

    # Messages.

    def receive(self, now: int, sender: str, message: Message) -> list[Out]:
        """Take one message in; ``sender`` is who the connection proved it to be."""
        if isinstance(message, Digest):
            return self._digest(now, sender, message)
        if isinstance(message, Delta):
            only_origin = None if self.settings.relay else sender
            self.knowledge.merge(now, message.batches, self._skew(now, sender, message.now), only_origin)
            self.answered.add(sender)
            return []
        return self.swim.receive(now, sender, message)

    def _skew(self, now: int, sender: str, theirs: int) -> int:
        """Return our clock less theirs: the least seen, since a message that was held up shows too much."""
        seen = now - theirs
        held = self._skews.get(sender, seen)
        if abs(seen - held) > SKEW_JUMP:
            held = seen
        self._skews[sender] = skew = min(held + MS, seen)
        if len(self._skews) > self.settings.swim.most_members:
            self._skews.pop(next(iter(self._skews)))
        return skew

    def _digest(self, now: int, sender: str, message: Digest) -> list[Out]:
        member = self.swim.members.get(sender)
        address = member.address if member else ""
        ours = self.knowledge.fingerprint()
        if message.fingerprint == ours and not message.urgent:
            return []
        if message.rows is None:
            rows = list(self.knowledge.digest().items())
            return [(sender, address, Digest(ours, now, rows))]
        theirs = dict(message.rows)
        out: list[Out] = []
        batches = self.knowledge.delta(theirs, self._budget(now, sender, urgent=message.urgent))
        if batches or message.urgent:
            self._spend(batches)
            out.append((sender, address, Delta(now, batches)))
        mine = self.knowledge.digest()
        if message.reply and any(seq > mine.get(origin, 0) for origin, seq in theirs.items()):
            out.append((sender, address, Digest(ours, now, list(mine.items()), reply=False)))
        return out

    def _budget(self, now: int, sender: str, *, urgent: bool) -> int:
        """Return how many bytes of facts may go out now.

        Guards bandwidth: facts that do not fit wait for a later exchange. One that has just started gets
        all at once, but not again within the minute.
        """
        if urgent and sender not in self._whole_for:
            self._whole_for[sender] = now
            return self.settings.whole
        passed, self._credited = now - self._credited, now
        most = float(self.settings.burst)
        self._credit = min(most, self._credit + max(0, passed) * self.settings.rate / 1e6)
        return max(0, int(self._credit))

    def _spend(self, batches: list[Batch]) -> None:
        for batch in batches:
            self._credit -= 48 + len(batch.origin.name) + sum(24 + len(f.subject) for f in batch.facts)
        self._credit = max(self._credit, -float(self.settings.burst))
