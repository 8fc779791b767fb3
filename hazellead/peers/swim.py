"""Group membership by SWIM with suspicion and incarnations, and Lifeguard's local health. Sans-I/O.

After Das, Gupta and Motivala, SWIM (2002), and Dadgar, Phillips and Currey, Lifeguard (2017):

- in each period one member is pinged, in shuffled order; if it does not answer, a few helpers ping it;
- a member that still does not answer is suspected, and declared dead unless the suspicion is refuted in time;
  independent suspicions shorten that time, logarithmically;
- a member that misses answers or learns that it is suspected assumes first that it is unhealthy itself: it
  waits longer for answers and suspects later (local health multiplier), and helpers that got no answer either
  say so (nack);
- the next ping to a suspect includes the suspicion, so that it can refute at once (buddy system);
- member updates are piggybacked on these messages, the least often sent first, each a few times log n.

Dead members are kept for some time and contacted now and then, so that the two sides of a healed partition
find each other again.
"""

import math
from dataclasses import dataclass
from random import Random

from hazellead.peers.messages import (
    Ack,
    Bounds,
    MemberStatus,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    PingRequest,
    Sync,
)

MS = 1000
NACK_FRACTION = 0.8  # a helper sends a nack after this fraction of the ack timeout


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Parameters of the protocol. Times in microseconds."""

    period_us: int = 500 * MS
    ack_timeout_us: int = 200 * MS  # for the answer to a direct ping
    helpers: int = 3
    suspicion_factor: float = 3.0  # times log10(n) periods: the shortest suspicion
    suspicion_max_factor: float = 4.0  # times the shortest: a suspicion without confirmations
    confirmations: int = 3  # independent suspicions that reduce the time to the shortest
    gossip_factor: float = 3.0  # times log2(n): how often a member update is sent
    max_local_health: int = 8
    sync_us: int = 10_000 * MS  # between exchanges of the whole member list with one member
    dead_retention_us: int = 600_000 * MS  # how long dead members and those that left are kept
    max_members: int = 4096


@dataclass(slots=True)
class Member:
    """State of one other member; ``since`` is the time of its last change of status."""

    name: str
    address: str
    incarnation: int
    status: MemberStatus
    since: int

    @property
    def is_active(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def update(self, reported_by: str = "") -> MemberUpdate:
        """Return the member's current state as an update for other members."""
        return MemberUpdate(self.name, self.address, self.incarnation, int(self.status), reported_by)


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A change of a member's status: it joined, recovered, is suspected, was declared dead or left."""

    name: str
    status: MemberStatus
    incarnation: int


@dataclass(slots=True)
class _Probe:
    target: str
    seq: int
    helpers_at: int  # when helpers are asked to ping the target
    ends_at: int  # when the target is suspected
    helpers_asked: bool = False
    nacks_due: int = 0


@dataclass(slots=True)
class _Relay:
    """A ping sent on behalf of another member; ``seq`` is the number of that member's request."""

    requester: str
    seq: int
    nack_at: int
    expires_at: int


Outgoing = tuple[str, str, Message]  # name, address, message


class Swim:
    """The membership as one member sees it. ``tick`` and ``receive`` return the messages to send."""

    def __init__(
        self, name: str, address: str, settings: SwimSettings, rng: Random, incarnation: int = 0,
        bounds: Bounds | None = None,
    ) -> None:
        """Start without other members."""
        self.name, self.address, self.settings, self._rng = name, address, settings, rng
        self.incarnation, self._bounds = incarnation, bounds or Bounds()
        self.members: dict[str, Member] = {}
        self._active_cache: list[Member] | None = None
        self.changes: list[MemberChange] = []  # cleared by the caller that reads them
        self.local_health = 0  # 0 is healthy; timeouts grow with it
        self.leaving = False
        self._seq = 0
        self._ping_order: list[str] = []
        self._next_ping_at = self._next_sync_at = -1
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._gossip_queue: dict[str, tuple[MemberUpdate, int]] = {}  # by member, with transmissions
        self._reporters: dict[str, set[str]] = {}  # by suspect: members that reported the suspicion
        self._suspected: dict[str, int] = {}  # by suspect: start of the suspicion

    # Queries.

    def active_members(self) -> list[Member]:
        """Return the other members that are alive or suspected."""
        if self._active_cache is None:  # read for every message; a search each time was most of the cost
            self._active_cache = [m for m in self.members.values() if m.is_active]
        return self._active_cache

    @property
    def size(self) -> int:
        """Return the number of active members, this one included."""
        return 1 + len(self.active_members())

    def due(self) -> int:
        """Return the time at which ``tick`` must be called next."""
        deadlines = [self._next_ping_at] + [self._next_sync_at] * (self._next_sync_at >= 0)
        if self._probe:
            deadlines.append(self._probe.ends_at if self._probe.helpers_asked else self._probe.helpers_at)
        deadlines += [r.nack_at for r in self._relays.values()]
        if self._suspected:
            deadlines.append(min(self._suspicion_ends_at(name) for name in self._suspected))
        return min(deadlines)

    # Time.

    def tick(self, now: int) -> list[Outgoing]:
        """Perform all actions that are due; return the messages to send."""
        out: list[Outgoing] = []
        if self._next_ping_at < 0:
            # Random offsets, so that members started together do not ping at the same time.
            self._next_ping_at = now + int(self._rng.random() * self.settings.period_us)
            self._next_sync_at = now + int(self._rng.random() * self.settings.sync_us)
        out += self._send_nacks(now)
        out += self._advance_probe(now)
        for name in [n for n in self._suspected if self._suspicion_ends_at(n) <= now]:
            self._set_status(now, self.members[name], MemberStatus.DEAD)
        if self._next_ping_at <= now:
            delay = now - self._next_ping_at
            if delay > 2 * self.settings.period_us:
                # After a pause of this process answers may be unread, which is no sign that others failed.
                self._adjust_local_health(1)
                self._probe = None
                self._suspected = {
                    n: max(at, now - self._suspicion_us(n) // 2) for n, at in self._suspected.items()}
            self._next_ping_at = now + self.settings.period_us
            out += self._ping_next(now)
        if 0 <= self._next_sync_at <= now:
            self._next_sync_at = now + int(self.settings.sync_us * (0.75 + self._rng.random() / 2))
            out += self._sync_one(now)
        return out

    def _ping_next(self, now: int) -> list[Outgoing]:
        if self._probe is not None:  # poor local health extends a probe past the period
            return []
        while self._ping_order:
            member = self.members.get(self._ping_order.pop())
            if member and member.is_active:
                break
        else:
            self._ping_order = [m.name for m in self.active_members()]
            self._rng.shuffle(self._ping_order)
            if not self._ping_order:
                return []
            member = self.members[self._ping_order.pop()]
        self._seq += 1
        wait = self.settings.ack_timeout_us * (1 + self.local_health)
        self._probe = _Probe(member.name, self._seq, now + wait,
                             now + max(self.settings.period_us * (1 + self.local_health), 2 * wait))
        return [(member.name, member.address, Ping(self._seq, member.name, self._updates_for(member.name)))]

    def _advance_probe(self, now: int) -> list[Outgoing]:
        probe, out = self._probe, list[Outgoing]()
        if probe is None:
            return out
        member = self.members.get(probe.target)
        if member is None or not member.is_active:
            self._probe = None
        elif not probe.helpers_asked and probe.helpers_at <= now:
            probe.helpers_asked = True
            others = [m for m in self.active_members()
                      if m.name != probe.target and m.status is MemberStatus.ALIVE]
            for helper in self._rng.sample(others, min(self.settings.helpers, len(others))):
                probe.nacks_due += 1
                out.append((helper.name, helper.address, PingRequest(
                    probe.seq, member.name, member.address, self._updates_for(helper.name))))
        elif probe.helpers_asked and probe.ends_at <= now:
            self._probe = None
            # Missing nacks mean that this member's own connection is the likely cause.
            self._adjust_local_health(probe.nacks_due if probe.nacks_due else 1)
            self._set_status(now, member, MemberStatus.SUSPECT)
        return out

    def _send_nacks(self, now: int) -> list[Outgoing]:
        out: list[Outgoing] = []
        for seq, relay in list(self._relays.items()):
            if relay.nack_at <= now:
                relay.nack_at = relay.expires_at
                if requester := self.members.get(relay.requester):
                    out.append((requester.name, requester.address, Nack(relay.seq)))
            if relay.expires_at <= now:
                del self._relays[seq]
        return out

    def _sync_one(self, now: int) -> list[Outgoing]:
        """Exchange the member list with a random active and a random dead member; drop old dead members."""
        for name in [m.name for m in self.members.values()
                     if not m.is_active and now - m.since > self.settings.dead_retention_us]:
            del self.members[name]
            self._gossip_queue.pop(name, None)
        active = self.active_members()
        dead = [m for m in self.members.values() if m.status is MemberStatus.DEAD]
        out: list[Outgoing] = []
        if active:
            m = self._rng.choice(active)
            out.append((m.name, m.address, self.sync()))
        if dead:
            # Only this detects that a partition has healed.
            m = self._rng.choice(dead)
            out.append((m.name, m.address, self.sync()))
        return out

    def _adjust_local_health(self, change: int) -> None:
        self.local_health = max(0, min(self.settings.max_local_health, self.local_health + change))

    # Messages.

    def join(self, name: str, address: str) -> list[Outgoing]:
        """Return a request to a possible member for its member list."""
        return [(name, address, self.sync())]

    def sync(self, *, reply: bool = True) -> Sync:
        """Return the member list, this member first."""
        updates = [self._own_update()] + [m.update() for m in self.members.values()]
        return Sync(updates[: self._bounds.updates], reply)

    def leave(self) -> list[Outgoing]:
        """Return messages that announce this member's departure to a few members, which forward it."""
        self.leaving = True
        update = MemberUpdate(self.name, self.address, self.incarnation, MemberStatus.LEFT, self.name)
        active = self.active_members()
        chosen = self._rng.sample(active, min(len(active), 2 * self.settings.helpers))
        return [(m.name, m.address, Sync([update], reply=False)) for m in chosen]

    def receive(self, now: int, sender: str, message: Message) -> list[Outgoing]:
        """Process a message and return the replies; ``sender`` is the name that its certificate proves."""
        member = self.members.get(sender)
        address = member.address if member else ""
        match message:
            case Ping():
                self._apply_updates(now, message.updates)
                if message.target != self.name or not address:
                    return []
                return [(sender, address, Ack(message.seq, self._updates_for(sender)))]
            case Ack():
                self._apply_updates(now, message.updates)
                return self._receive_ack(message.seq, sender)
            case PingRequest():
                self._apply_updates(now, message.updates)
                return self._relay_ping(now, sender, message)
            case Nack():
                if self._probe and self._probe.seq == message.seq:
                    self._probe.nacks_due = max(0, self._probe.nacks_due - 1)
            case Sync():
                self._apply_updates(now, message.updates)
                member = self.members.get(sender)
                if message.reply and member:
                    return [(sender, member.address, self.sync(reply=False))]
            case _:
                pass
        return []

    def _receive_ack(self, seq: int, sender: str) -> list[Outgoing]:
        if self._probe and self._probe.seq == seq:
            self._probe = None
            self._adjust_local_health(-1)
        elif (relay := self._relays.get(seq)) and (requester := self.members.get(relay.requester)):
            del self._relays[seq]
            return [(requester.name, requester.address, Ack(relay.seq, self._updates_for(requester.name)))]
        return []

    def _relay_ping(self, now: int, sender: str, message: PingRequest) -> list[Outgoing]:
        if len(self._relays) >= 64 or sender not in self.members or message.target == self.name:
            return []
        self._seq += 1
        wait = self.settings.ack_timeout_us
        self._relays[self._seq] = _Relay(sender, message.seq, now + int(NACK_FRACTION * wait), now + 4 * wait)
        known = self.members.get(message.target)
        address = known.address if known else message.address
        return [(message.target, address, Ping(self._seq, message.target, self._updates_for(message.target)))]

    # Member updates.

    def _own_update(self) -> MemberUpdate:
        status = MemberStatus.LEFT if self.leaving else MemberStatus.ALIVE
        return MemberUpdate(self.name, self.address, self.incarnation, status, self.name)

    def _updates_for(self, to: str) -> list[MemberUpdate]:
        """Return the least often sent updates; for a suspect, its own suspicion first."""
        max_transmissions = max(1, math.ceil(self.settings.gossip_factor * math.log2(self.size + 1)))
        chosen: list[MemberUpdate] = []
        member = self.members.get(to)
        if member and member.status is MemberStatus.SUSPECT:
            chosen.append(member.update(self.name))
        names = sorted(self._gossip_queue, key=lambda n: self._gossip_queue[n][1])
        for name in names[: self._bounds.piggyback - len(chosen)]:
            update, transmissions = self._gossip_queue[name]
            if name != to or update.status != MemberStatus.SUSPECT:
                chosen.append(update)
            if transmissions + 1 >= max_transmissions:
                del self._gossip_queue[name]
            else:
                self._gossip_queue[name] = (update, transmissions + 1)
        return chosen

    def _apply_updates(self, now: int, updates: list[MemberUpdate]) -> None:
        for update in updates:
            if update.name == self.name:
                self._refute(update)
            else:
                self._apply_update(now, update)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute an update about this member by a higher incarnation.

        Applies to a wrong status or address, and to a higher incarnation from before a restart.
        """
        incorrect = update.status != MemberStatus.ALIVE or update.address != self.address
        if update.incarnation < self.incarnation or self.leaving or not (
                incorrect or update.incarnation > self.incarnation):
            return
        if update.status == MemberStatus.SUSPECT:
            self._adjust_local_health(1)
        self.incarnation = update.incarnation + 1
        self._gossip_queue[self.name] = (self._own_update(), 0)

    def _set_status(self, now: int, member: Member, status: MemberStatus) -> None:
        """Set a member's status and spread it as an update."""
        self._apply_update(
            now, MemberUpdate(member.name, member.address, member.incarnation, int(status), self.name))

    def _apply_update(self, now: int, update: MemberUpdate) -> None:
        """Apply an update if it overrides the known state of the member."""
        member, status = self.members.get(update.name), MemberStatus(update.status)
        if member is None:
            if (status in (MemberStatus.DEAD, MemberStatus.LEFT)
                    or len(self.members) >= self.settings.max_members):
                return
            member = self.members[update.name] = Member(
                update.name, update.address, update.incarnation, MemberStatus.LEFT, now)
        elif update.incarnation < member.incarnation:
            return
        elif update.incarnation == member.incarnation and status <= member.status:
            if status is MemberStatus.SUSPECT and member.status is MemberStatus.SUSPECT:
                self._confirm_suspicion(update)
            return
        member.address = update.address or member.address
        previous, member.incarnation, member.status, member.since = (
            member.status, update.incarnation, status, now)
        self._active_cache = None
        self._suspected.pop(update.name, None)
        self._reporters.pop(update.name, None)
        if status is MemberStatus.SUSPECT:
            self._suspected[update.name] = now
            self._reporters[update.name] = {update.reported_by}
        self._gossip_queue[update.name] = (update, 0)
        if status is not previous or status is not MemberStatus.ALIVE:
            self.changes.append(MemberChange(update.name, status, update.incarnation))

    def _confirm_suspicion(self, update: MemberUpdate) -> None:
        reporters = self._reporters.setdefault(update.name, set())
        if (update.reported_by and update.reported_by not in reporters
                and len(reporters) <= self.settings.confirmations):
            reporters.add(update.reported_by)
            self._gossip_queue[update.name] = (update, 0)  # sent again like a new update

    def _suspicion_us(self, name: str) -> int:
        """Return how long a suspicion lasts.

        It is longer with few confirmations and with poor local health.
        """
        s = self.settings
        shortest = s.suspicion_factor * max(1.0, math.log10(max(self.size, 2))) * s.period_us
        longest, confirmations = (
            shortest * s.suspicion_max_factor, max(0, len(self._reporters.get(name, ())) - 1))
        wanted = min(s.confirmations, max(0, self.size - 2))
        if wanted == 0:
            return int(shortest * (1 + self.local_health / 2))
        fraction = math.log(confirmations + 1) / math.log(wanted + 1)
        return int(max(shortest, longest - (longest - shortest) * fraction) * (1 + self.local_health / 4))

    def _suspicion_ends_at(self, name: str) -> int:
        return self._suspected[name] + self._suspicion_us(name)
