"""Who is there: SWIM with suspicion and incarnations, and Lifeguard's local health. Sans-I/O.

After Das, Gupta and Motivala, SWIM (2002), and Dadgar, Phillips and Currey, Lifeguard (2017):

- each period one member is pinged, in a shuffled round; if it does not answer, a few others are asked to try;
- one that still does not answer is suspected, and dies when nobody has refuted that in time; independent
  suspicions shorten the time, logarithmically;
- a member that misses answers or hears itself suspected doubts its own health first: it waits for longer and
  suspects later (local health multiplier), and helpers say so when they too got no answer (nack);
- a suspect is told so with the next ping to it, so that it can refute at once (buddy system);
- word travels on the messages themselves, the newest first, each a few times log n.

Dead members are remembered for some time and asked now and then, so that two halves of a partition find each
other again.
"""

import math
from dataclasses import dataclass
from random import Random

from hazellead.peers.messages import (
    Ack,
    Bounds,
    Message,
    Nack,
    Ping,
    PingRequest,
    Rumour,
    Standing,
    Sync,
)

MS = 1000
NACK_PART = 0.8  # of the time for an answer, after which a helper says that it got none


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Times in microseconds."""

    period_us: int = 500 * MS
    timeout_us: int = 200 * MS  # for a direct answer
    helpers: int = 3
    suspicion: float = 3.0  # times log10(n) periods: the least a suspicion lasts
    suspicion_most: float = 4.0  # times the least: how long without confirmation
    confirmations: int = 3
    spread: float = 3.0  # times log2(n): how often a rumour is passed on
    health_most: int = 8
    sync_us: int = 10_000 * MS  # between whole exchanges with one member
    forget_us: int = 600_000 * MS  # the dead
    most_members: int = 4096


@dataclass(slots=True)
class Member:
    """What is held of one member."""

    name: str
    address: str
    incarnation: int
    standing: Standing
    since: int

    @property
    def there(self) -> bool:
        """Say whether it counts as a member: alive or only suspected."""
        return self.standing in (Standing.ALIVE, Standing.SUSPECT)

    def rumour(self, by: str = "") -> Rumour:
        """Return word of it as it stands."""
        return Rumour(self.name, self.address, self.incarnation, int(self.standing), by)


@dataclass(slots=True, frozen=True)
class Change:
    """A member has come, is suspected, is back, has died or left; for the log and whoever counts."""

    name: str
    standing: Standing
    incarnation: int


@dataclass(slots=True)
class _Probe:
    target: str
    seq: int
    asked: int  # when helpers are asked
    ends: int  # when the target is suspected
    helped: bool = False
    nacks_due: int = 0


@dataclass(slots=True)
class _Relay:
    """A ping made for another."""

    asker: str
    seq: int
    nack_at: int
    until: int


Out = tuple[str, str, Message]  # name, address, message


class Swim:
    """One member's view. Feed it time by ``tick`` and messages by ``receive``; both return what to send."""

    def __init__(
        self, name: str, address: str, settings: SwimSettings, rng: Random, incarnation: int = 0,
        bounds: Bounds | None = None,
    ) -> None:
        """Know only oneself."""
        self.name, self.address, self.settings, self._rng = name, address, settings, rng
        self.incarnation, self._bounds = incarnation, bounds or Bounds()
        self.members: dict[str, Member] = {}
        self._there: list[Member] | None = None
        self.changes: list[Change] = []  # taken by whoever owns this
        self.health = 0  # 0: well
        self.leaving = False
        self._seq = 0
        self._round: list[str] = []
        self._next = self._next_sync = -1
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._queue: dict[str, tuple[Rumour, int]] = {}  # by member, with how often it was passed on
        self._confirmed: dict[str, set[str]] = {}
        self._suspected: dict[str, int] = {}  # since when

    # What others see.

    def there(self) -> list[Member]:
        """Return the members that count as there, without oneself."""
        if self._there is None:  # asked for with every message: a search each time is most of the cost
            self._there = [m for m in self.members.values() if m.there]
        return self._there

    @property
    def size(self) -> int:
        """Return how many there are, oneself included."""
        return 1 + len(self.there())

    def due(self) -> int:
        """Return when ``tick`` is wanted next."""
        times = [self._next] + [self._next_sync] * (self._next_sync >= 0)
        if self._probe:
            times.append(self._probe.ends if self._probe.helped else self._probe.asked)
        times += [r.nack_at for r in self._relays.values()]
        if self._suspected:
            times.append(min(self._dies_at(name) for name in self._suspected))
        return min(times)

    # Time.

    def tick(self, now: int) -> list[Out]:
        """Do what is due."""
        out: list[Out] = []
        if self._next < 0:
            # Members started together do not ping in step.
            self._next = now + int(self._rng.random() * self.settings.period_us)
            self._next_sync = now + int(self._rng.random() * self.settings.sync_us)
        out += self._relayed(now)
        out += self._probing(now)
        for name in [n for n in self._suspected if self._dies_at(n) <= now]:
            self._say(now, self.members[name], Standing.DEAD)
        if self._next <= now:
            late = now - self._next
            if late > 2 * self.settings.period_us:
                # Guards others against our own pause: what we have not read yet is no sign of their death.
                self._unwell(1)
                self._probe = None
                self._suspected = {n: max(at, now - self._lasts(n) // 2) for n, at in self._suspected.items()}
            self._next = now + self.settings.period_us
            out += self._ping_next(now)
        if 0 <= self._next_sync <= now:
            self._next_sync = now + int(self.settings.sync_us * (0.75 + self._rng.random() / 2))
            out += self._sync_one(now)
        return out

    def _ping_next(self, now: int) -> list[Out]:
        if self._probe is not None:  # local health has stretched it past the period
            return []
        while self._round:
            member = self.members.get(self._round.pop())
            if member and member.there:
                break
        else:
            self._round = [m.name for m in self.there()]
            self._rng.shuffle(self._round)
            if not self._round:
                return []
            member = self.members[self._round.pop()]
        self._seq += 1
        wait = self.settings.timeout_us * (1 + self.health)
        self._probe = _Probe(member.name, self._seq, now + wait,
                             now + max(self.settings.period_us * (1 + self.health), 2 * wait))
        return [(member.name, member.address, Ping(self._seq, member.name, self._gossip(member.name)))]

    def _probing(self, now: int) -> list[Out]:
        probe, out = self._probe, list[Out]()
        if probe is None:
            return out
        member = self.members.get(probe.target)
        if member is None or not member.there:
            self._probe = None
        elif not probe.helped and probe.asked <= now:
            probe.helped = True
            others = [m for m in self.there() if m.name != probe.target and m.standing is Standing.ALIVE]
            for helper in self._rng.sample(others, min(self.settings.helpers, len(others))):
                probe.nacks_due += 1
                out.append((helper.name, helper.address, PingRequest(
                    probe.seq, member.name, member.address, self._gossip(helper.name))))
        elif probe.helped and probe.ends <= now:
            self._probe = None
            # Helpers that say nothing at all point at us.
            self._unwell(probe.nacks_due if probe.nacks_due else 1)
            self._say(now, member, Standing.SUSPECT)
        return out

    def _relayed(self, now: int) -> list[Out]:
        out: list[Out] = []
        for seq, relay in list(self._relays.items()):
            if relay.nack_at <= now:
                relay.nack_at = relay.until
                if asker := self.members.get(relay.asker):
                    out.append((asker.name, asker.address, Nack(relay.seq)))
            if relay.until <= now:
                del self._relays[seq]
        return out

    def _sync_one(self, now: int) -> list[Out]:
        """Exchange everything with one member; with one of the dead instead, now and then."""
        for name in [m.name for m in self.members.values()
                     if not m.there and now - m.since > self.settings.forget_us]:
            del self.members[name]
            self._queue.pop(name, None)
        there = self.there()
        gone = [m for m in self.members.values() if m.standing is Standing.DEAD]
        out: list[Out] = []
        if there:
            m = self._rng.choice(there)
            out.append((m.name, m.address, self.sync()))
        if gone:
            # A partition that has healed is noticed here and nowhere else.
            m = self._rng.choice(gone)
            out.append((m.name, m.address, self.sync()))
        return out

    def _unwell(self, by: int) -> None:
        self.health = max(0, min(self.settings.health_most, self.health + by))

    # Messages.

    def join(self, name: str, address: str) -> list[Out]:
        """Ask one that may be there for all it holds."""
        return [(name, address, self.sync())]

    def sync(self, *, reply: bool = True) -> Sync:
        """Return all that is held, oneself first."""
        rumours = [self._own()] + [m.rumour() for m in self.members.values()]
        return Sync(rumours[: self._bounds.rumours], reply)

    def leave(self) -> list[Out]:
        """Tell some that one leaves; they tell the rest."""
        self.leaving = True
        rumour = Rumour(self.name, self.address, self.incarnation, Standing.LEFT, self.name)
        there = self.there()
        few = self._rng.sample(there, min(len(there), 2 * self.settings.helpers))
        return [(m.name, m.address, Sync([rumour], reply=False)) for m in few]

    def receive(self, now: int, sender: str, message: Message) -> list[Out]:
        """Take one message in; ``sender`` is who the connection proved it to be."""
        member = self.members.get(sender)
        address = member.address if member else ""
        match message:
            case Ping():
                self._hear(now, message.rumours)
                if message.target != self.name or not address:
                    return []
                return [(sender, address, Ack(message.seq, self._gossip(sender)))]
            case Ack():
                self._hear(now, message.rumours)
                return self._acked(message.seq, sender)
            case PingRequest():
                self._hear(now, message.rumours)
                return self._help(now, sender, message)
            case Nack():
                if self._probe and self._probe.seq == message.seq:
                    self._probe.nacks_due = max(0, self._probe.nacks_due - 1)
            case Sync():
                self._hear(now, message.rumours)
                member = self.members.get(sender)
                if message.reply and member:
                    return [(sender, member.address, self.sync(reply=False))]
            case _:
                pass
        return []

    def _acked(self, seq: int, sender: str) -> list[Out]:
        if self._probe and self._probe.seq == seq:
            self._probe = None
            self._unwell(-1)
        elif (relay := self._relays.get(seq)) and (asker := self.members.get(relay.asker)):
            del self._relays[seq]
            return [(asker.name, asker.address, Ack(relay.seq, self._gossip(asker.name)))]
        return []

    def _help(self, now: int, sender: str, message: PingRequest) -> list[Out]:
        if len(self._relays) >= 64 or sender not in self.members or message.target == self.name:
            return []
        self._seq += 1
        wait = self.settings.timeout_us
        self._relays[self._seq] = _Relay(sender, message.seq, now + int(NACK_PART * wait), now + 4 * wait)
        known = self.members.get(message.target)
        address = known.address if known else message.address
        return [(message.target, address, Ping(self._seq, message.target, self._gossip(message.target)))]

    # Rumours.

    def _own(self) -> Rumour:
        standing = Standing.LEFT if self.leaving else Standing.ALIVE
        return Rumour(self.name, self.address, self.incarnation, standing, self.name)

    def _gossip(self, to: str) -> list[Rumour]:
        """Return the rumours that were passed on least, and to a suspect first that it is one."""
        most = max(1, math.ceil(self.settings.spread * math.log2(self.size + 1)))
        chosen: list[Rumour] = []
        member = self.members.get(to)
        if member and member.standing is Standing.SUSPECT:
            chosen.append(member.rumour(self.name))
        fresh = sorted(self._queue, key=lambda n: self._queue[n][1])
        for name in fresh[: self._bounds.piggyback - len(chosen)]:
            rumour, times = self._queue[name]
            if name != to or rumour.standing != Standing.SUSPECT:
                chosen.append(rumour)
            if times + 1 >= most:
                del self._queue[name]
            else:
                self._queue[name] = (rumour, times + 1)
        return chosen

    def _hear(self, now: int, rumours: list[Rumour]) -> None:
        for rumour in rumours:
            if rumour.name == self.name:
                self._of_me(rumour)
            else:
                self._set(now, rumour)

    def _of_me(self, rumour: Rumour) -> None:
        """Refute word of one's own trouble, or of a life after this one that was forgotten over a restart."""
        wrong = rumour.standing != Standing.ALIVE or rumour.address != self.address
        if rumour.incarnation < self.incarnation or self.leaving or not (
                wrong or rumour.incarnation > self.incarnation):
            return
        if rumour.standing == Standing.SUSPECT:
            self._unwell(1)
        self.incarnation = rumour.incarnation + 1
        self._queue[self.name] = (self._own(), 0)

    def _say(self, now: int, member: Member, standing: Standing) -> None:
        """Start a rumour of a member as it stands."""
        self._set(now, Rumour(member.name, member.address, member.incarnation, int(standing), self.name))

    def _set(self, now: int, rumour: Rumour) -> None:
        """Follow one rumour if it overrides what is held."""
        held, standing = self.members.get(rumour.name), Standing(rumour.standing)
        if held is None:
            if standing in (Standing.DEAD, Standing.LEFT) or len(self.members) >= self.settings.most_members:
                return
            held = self.members[rumour.name] = Member(
                rumour.name, rumour.address, rumour.incarnation, Standing.LEFT, now)
        elif rumour.incarnation < held.incarnation:
            return
        elif rumour.incarnation == held.incarnation and standing <= held.standing:
            if standing is Standing.SUSPECT and held.standing is Standing.SUSPECT:
                self._confirm(rumour)
            return
        held.address = rumour.address or held.address
        was, held.incarnation, held.standing, held.since = held.standing, rumour.incarnation, standing, now
        self._there = None
        self._suspected.pop(rumour.name, None)
        self._confirmed.pop(rumour.name, None)
        if standing is Standing.SUSPECT:
            self._suspected[rumour.name] = now
            self._confirmed[rumour.name] = {rumour.by}
        self._queue[rumour.name] = (rumour, 0)
        if standing is not was or standing is not Standing.ALIVE:
            self.changes.append(Change(rumour.name, standing, rumour.incarnation))

    def _confirm(self, rumour: Rumour) -> None:
        by = self._confirmed.setdefault(rumour.name, set())
        if rumour.by and rumour.by not in by and len(by) <= self.settings.confirmations:
            by.add(rumour.by)
            self._queue[rumour.name] = (rumour, 0)  # an independent suspicion is news

    def _lasts(self, name: str) -> int:
        """Return how long a suspicion lasts.

        Longer while few confirm it and while we are unwell ourselves.
        """
        s = self.settings
        least = s.suspicion * max(1.0, math.log10(max(self.size, 2))) * s.period_us
        most, confirmed = least * s.suspicion_most, max(0, len(self._confirmed.get(name, ())) - 1)
        wanted = min(s.confirmations, max(0, self.size - 2))
        if wanted == 0:
            return int(least * (1 + self.health / 2))
        part = math.log(confirmed + 1) / math.log(wanted + 1)
        return int(max(least, most - (most - least) * part) * (1 + self.health / 4))

    def _dies_at(self, name: str) -> int:
        return self._suspected[name] + self._lasts(name)
