"""One member: handles the messages of both the membership and the exchange of facts. Sans-I/O.

Facts spread by push-pull anti-entropy: periodically a member sends another the fingerprint of its facts; if
it differs, both exchange digests and then only the facts that the other lacks. A new member asks up to three
members at once and uses whatever they send.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from hazellead.learning.facts import LearningSettings, Observation, Origin
from hazellead.learning.store import Batch, Knowledge
from hazellead.peers.messages import Bounds, Delta, Digest, Message
from hazellead.peers.swim import MS, MemberChange, Outgoing, Swim, SwimSettings

CLOCK_JUMP_US = 60_000 * MS  # a clock offset that changes by more than this replaces the known one


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """How facts are exchanged. Times in microseconds, sizes in bytes."""

    exchange_us: int = 400 * MS
    bytes_per_s: int = 32 * 1024  # facts that one member sends; digests and pings are not counted
    burst_bytes: int = 64 * 1024
    initial_bytes: int = 200 * 1024  # facts sent to a member that has just started
    start_contacts: int = 3  # members that a new member asks for facts
    expire_us: int = 5_000 * MS
    relay: bool = True  # accept facts from members other than their origin
    swim: SwimSettings = field(default_factory=SwimSettings)
    bounds: Bounds = field(default_factory=Bounds)


class Node:
    """Membership and facts of one member. Callers pass the time and deliver the messages."""

    def __init__(
        self, name: str, address: str, now: int, settings: NodeSettings, learning: LearningSettings,
        rng: Random,
    ) -> None:
        """Create a member whose run begins ``now``."""
        self.name, self.settings, self._rng = name, settings, rng
        self.swim = Swim(name, address, settings.swim, rng, bounds=settings.bounds)
        self.knowledge = Knowledge(Origin(name, now), learning, rng)
        self.answered: set[str] = set()  # members that have sent facts since the start
        self._next_exchange_at = now + int(rng.random() * settings.exchange_us)
        self._next_expire_at = now + settings.expire_us
        self._send_credit, self._credit_updated_at = float(settings.burst_bytes), now
        self._clock_offsets: dict[str, int] = {}
        self._initial_sent_at: dict[str, int] = {}  # by member: its last initial transfer

    # Lifecycle.

    def start(
        self, now: int, seeds: Iterable[str], members: Iterable[tuple[str, str]] = (),
    ) -> list[Outgoing]:
        """Return requests for the member list and for facts.

        ``seeds`` are addresses of possible members, ``members`` their names and addresses.
        """
        contacts = [(name, address) for name, address in members if name != self.name]
        contacts += [("", address) for address in seeds if address != self.swim.address]
        self._rng.shuffle(contacts)
        out: list[Outgoing] = []
        for index, (name, address) in enumerate(contacts):
            out += self.swim.join(name, address)
            if index < self.settings.start_contacts:
                out.append((name, address, self._urgent_digest(now)))
        return out

    def _urgent_digest(self, now: int) -> Digest:
        sequences = list(self.knowledge.digest().items())
        return Digest(self.knowledge.fingerprint(), now, sequences, urgent=True)

    def due(self) -> int:
        """Return the time at which ``tick`` must be called next."""
        return min(self.swim.due(), self._next_exchange_at, self._next_expire_at)

    def tick(self, now: int) -> list[Outgoing]:
        """Perform all actions that are due; return the messages to send."""
        out = self.swim.tick(now)
        if self._next_expire_at <= now:
            self._next_expire_at = now + self.settings.expire_us
            self.knowledge.expire(now)
            self._initial_sent_at = {
                n: at for n, at in self._initial_sent_at.items() if now - at < 60_000 * MS}
        if self._next_exchange_at <= now:
            self._next_exchange_at = now + int(self.settings.exchange_us * (0.75 + self._rng.random() / 2))
            active = self.swim.active_members()
            if active:
                member = self._rng.choice(active)
                out.append((member.name, member.address, Digest(self.knowledge.fingerprint(), now)))
        return out

    def publish(self, now: int, observations: Iterable[Observation]) -> int:
        """Publish this instance's own observations; return how many were published."""
        return self.knowledge.publish(now, observations)

    def take_changes(self) -> list[MemberChange]:
        """Return the membership changes since the last call."""
        changes, self.swim.changes = self.swim.changes, []
        return changes

    # Messages.

    def receive(self, now: int, sender: str, message: Message) -> list[Outgoing]:
        """Process a message and return the replies; ``sender`` is the name that its certificate proves."""
        if isinstance(message, Digest):
            return self._receive_digest(now, sender, message)
        if isinstance(message, Delta):
            only_origin = None if self.settings.relay else sender
            self.knowledge.merge(
                now, message.batches, self._clock_offset(now, sender, message.now), only_origin)
            self.answered.add(sender)
            return []
        return self.swim.receive(now, sender, message)

    def _clock_offset(self, now: int, sender: str, sender_now: int) -> int:
        """Return the local clock minus the sender's, in microseconds.

        It is about the smallest offset measured, since the delay of a message adds to the offset.
        """
        measured = now - sender_now
        previous = self._clock_offsets.get(sender, measured)
        if abs(measured - previous) > CLOCK_JUMP_US:
            previous = measured
        self._clock_offsets[sender] = offset = min(previous + MS, measured)
        if len(self._clock_offsets) > self.settings.swim.max_members:
            self._clock_offsets.pop(next(iter(self._clock_offsets)))
        return offset

    def _receive_digest(self, now: int, sender: str, message: Digest) -> list[Outgoing]:
        member = self.swim.members.get(sender)
        address = member.address if member else ""
        own_fingerprint = self.knowledge.fingerprint()
        if message.fingerprint == own_fingerprint and not message.urgent:
            return []
        if message.sequences is None:
            sequences = list(self.knowledge.digest().items())
            return [(sender, address, Digest(own_fingerprint, now, sequences))]
        remote = dict(message.sequences)
        out: list[Outgoing] = []
        batches = self.knowledge.delta(remote, self._budget(now, sender, urgent=message.urgent))
        if batches or message.urgent:
            self._spend(batches)
            out.append((sender, address, Delta(now, batches)))
        own_digest = self.knowledge.digest()
        if message.reply and any(seq > own_digest.get(origin, 0) for origin, seq in remote.items()):
            out.append((sender, address, Digest(own_fingerprint, now, list(own_digest.items()), reply=False)))
        return out

    def _budget(self, now: int, sender: str, *, urgent: bool) -> int:
        """Return how many bytes of facts may be sent now.

        Limits bandwidth: facts that do not fit are sent in a later exchange. A member that has just started
        gets a larger initial transfer, at most once a minute.
        """
        if urgent and sender not in self._initial_sent_at:
            self._initial_sent_at[sender] = now
            return self.settings.initial_bytes
        elapsed, self._credit_updated_at = now - self._credit_updated_at, now
        limit = float(self.settings.burst_bytes)
        self._send_credit = min(limit, self._send_credit + max(0, elapsed) * self.settings.bytes_per_s / 1e6)
        return max(0, int(self._send_credit))

    def _spend(self, batches: list[Batch]) -> None:
        for batch in batches:
            self._send_credit -= 48 + len(batch.origin.name) + sum(24 + len(f.subject) for f in batch.facts)
        self._send_credit = max(self._send_credit, -float(self.settings.burst_bytes))
