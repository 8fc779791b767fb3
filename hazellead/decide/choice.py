"""All decisions of a hazellead dispatcher; what it is told and can do is in hazellead/decide/interface.py.

A tenant's ``Throttle`` admits, holds or refuses a request (``_arrive``); tokens pay for it (``_tokens``) and
it leaves for a worker (``_place``, ``_pick``); what comes back teaches (``_learn``) or ends it (``_ended``).
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from hazellead.decide import interface as api
from hazellead.decide.records import Attempt, Mean, Request, Worker

if TYPE_CHECKING:
    from hazellead.decide import known as seen

HOLD = 0.5  # seconds of its own tokens in a tenant's bank (C_T), and of the slack in its buffer (C_J)
LEAST = 3.0  # slots that a bank holds at least
SHORT = 0.3  # length of a short job, in mean run times: jobs are held only as long as short ones can wait
RISE = 0.2  # what an accepted job adds to the rate's factor while the gate binds, by the part of slots free
FALL = 0.2  # part of the factor that one sign of overload takes, by the part of slots not free
START = 2.0  # the factor at the start: overload shows in a few run times, refusing needlessly doesn't
FLOOR = 0.5  # the rate never falls below this part of the starting rate
HEADROOM = 1.25  # our part of the quotas, over what the median tenant asks for its share
MEMORY = 40.0  # mean run times over which a tenant's demand is averaged
KIN = 12  # run times that a worker's kind counts for beside its own, where no hint comes with jobs
LEARN = 0.1  # weight of the newest observation in running averages
PATIENCE = 4.0  # mean run times of unanswered work after which a worker is silent, or an attempt overdue
TRUST = 0.25  # doubt from which a worker gets trial jobs only; a served job halves it, a failure then adds 1
SLIP = 0.15  # doubt that a first broken connection adds; it stays under TRUST
COLD_SAFETY = 0.6  # part of a cold worker's budget that is used
COLD_USE = 1.7  # where nothing is reported: over what it can do at least, as most do more
CHANCE = 1.5  # standard deviations kept free in it, since dispatchers draw their parts apart
COPY_SHARE = 0.1  # second copies allowed for each first push; each start that a queue made late takes one
PROBE_SPEND = 0.01  # points a request that may be spent on probes
ASK_APART = 10  # ticks, for each dispatcher, over which the first calls to the list service are spread
LOOKING, LOOK = 0.75, 3  # part of the slack a job waits for a worker shown free by a probe; those probed
UNHEARD, UNHEARD_MOST = 2, 8  # pushes to a zone without a sign of life that are borne, that are counted
UNREACHED = 0.5  # part of the newest connects failing, from which open connections come first
SAMPLE = 8  # workers looked at before the whole fleet is
STALE = 4.0  # report periods without a new one after which what it said counts for nothing
FORGET = 12  # asking intervals after which a worker that no list named and that did not serve is forgotten
LATE_SHARE, LATE_MOST = 0.02, 20.0  # late jobs held for each job taken in, and at once
RUN_DOWN = 0.25  # part of a job's wait for its start over which its worker gets nothing more
AVOID = 4  # how strongly a wait for the start, counted in mean run times, turns jobs away from a worker
RESERVE = 2.0  # mean run times that a late job must still have before its deadline to be sent at all
CROSS_PATIENCE = 4.0  # per point of crossing price: part of the slack waited, of attempts failing borne

Fit = tuple[Worker, float]  # a worker that may take a job, and its free slots


class Throttle:
    """Token bank and job buffer in one counter U = T - J + C_J, clamped to [0, C_J + C_T]."""

    __slots__ = ("bank", "buffer", "level")

    def __init__(self, bank: float, buffer: float, level: float) -> None:
        self.bank, self.buffer, self.level = bank, buffer, min(bank + buffer, max(0.0, level))

    @property
    def tokens(self) -> float:
        """Return T, the tokens banked."""
        return max(0.0, self.level - self.buffer)

    @property
    def waiting(self) -> float:
        """Return J, the slots of held jobs not yet paid."""
        return max(0.0, self.buffer - self.level)

    def offer(self, slots: float) -> bool:
        """Take in a job whole, or let it overflow."""
        if self.level < slots:
            return False
        self.level -= slots
        return True

    def add(self, tokens: float = 1.0) -> float:
        """Take tokens in and return how many overflowed."""
        level = self.level + tokens
        self.level = min(self.bank + self.buffer, level)
        return level - self.level

    def resize(self, bank: float, buffer: float) -> None:
        """Change the capacities, keeping T - J; held jobs stay, tokens beyond the bank are lost."""
        net, self.bank, self.buffer = self.level - self.buffer, bank, max(buffer, self.waiting)
        self.level = min(bank, net) + self.buffer


class _Tenant:
    def __init__(self, share: float) -> None:
        self.share, self.throttle = share, Throttle(LEAST, 1.0, LEAST)
        self.held: deque[Request] = deque()
        self.carry = self.spilled = self.asked = self.erring = 0.0  # the last: part of newest jobs that erred

    def paid(self) -> Request | None:  # the head job, if paid: the unpaid slots are those furthest back
        behind = sum(r.slots for r in self.held) - self.held[0].slots if self.held else 0.0
        return self.held[0] if self.held and self.throttle.waiting <= behind + 1e-9 else None


class Dispatcher:
    """Decides for one dispatcher; the same events always bring the same actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.rng, self.out, self.tenants = random.Random(seed), list[api.Action](), list[_Tenant]()
        self.run_us, self.ran = list[float](), list[Mean]()  # the second: of what was seen here alone
        self.runs, self.whole = list[int](), list[int]()
        self._retuned(api.Retuned(settings))
        self.start_rate = self.rate = self.even or 1e6 / settings.tick_us
        self.factor, self.part = START, 1.0  # the rate over our part of the quotas; that over an even part
        self.spare, self.slots = 0.5, 2.0  # part of slots reported free; slots of a typical worker
        self.workers: dict[int, Worker] = {}
        # The workers in use, without and with a crossing, and where nothing is reported those still cold.
        self.near, self.far, self.cold = list[Worker](), list[Worker](), list[Worker]()
        self.requests, self.flying = dict[int, Request](), dict[tuple[int, int], Attempt]()
        self.again: list[Request] = []  # requests that wait for a worker for a further attempt
        self.late: list[Request] = []  # held past their aim, for what a late answer earns
        self.checks: list[tuple[int, int, int]] = []  # when to look whether an attempt needs a second copy
        self.mean_run = sum(self.run_us) / len(self.run_us)
        self.now = self.accrued = self.sized_at = self.bound_at = self.wake_at = self.ask_at = -1
        self.asks, self.looking, self.looked_at, self.full, self.barren = 0, 0, -1, False, False
        self.leased = True  # the worker list may be acted on
        self.reuse = float(settings.conn_idle_us)  # how long a connection may have idled and be trusted
        self.by_hint, self.kinds = Mean(1.0), dict[int, Mean]()  # run times over hints; a kind's over all
        self.unreached = 0.0  # part of the newest connects that failed
        self.unheard = dict[int, int]()  # pushes to each zone since it last gave a sign of life
        self.transit = dict[tuple[bool, bool], float]()  # the least wait, by crossing and by new connection
        self.failing = {False: LEARN, True: 0.0}  # part of the newest attempts at home, across that failed
        self.meet_at, self.strangers = 0, 0  # when the next stranger may have a trial job; those that failed
        self.lates, self.copies, self.probes, self.widest, self.watched = LATE_MOST, 0.0, 100.0, 1.0, 0.0
        self.takes: dict[type, Callable[[Any], None]] = {
            api.Arrival: self._arrive, api.AttemptEnded: self._ended, api.JobBegan: self._began,
            api.ProbeEnded: self._probed, api.WorkerList: self._listed,
            api.Abandoned: self._abandoned, api.Retuned: self._retuned, api.Elsewhere: self._elsewhere,
            api.LeaseChanged: self._lease_changed}

    def handle(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Take in what happened and return what to do, in order."""
        first, self.now, self.out = self.now < 0, now_us, []
        if first:
            self.accrued = self.sized_at = now_us
            self._size()
            if self.settings.must_ask:  # one service for all: the larger the fleet, the more apart
                spread = ASK_APART * (self.settings.dispatchers - 1) * self.settings.tick_us
                self.ask_at = now_us + int(min(self.settings.ask_within_us / 2, spread) * self.rng.random())
        self._tokens()
        self.full = self.barren = False  # a paid job, any job found no worker: no other searches in this step
        for event in events:
            if type(event) in self.takes:
                self.takes[type(event)](event)
        if self.again or self.late or any(t.held for t in self.tenants):
            for r in [r for q in (self.again, self.late) for r in q if r.last <= now_us]:
                self._answer(r)
            for r in [r for t in self.tenants for r in t.held if r.useful <= now_us]:
                self._defer(r)
            if self.leased:
                self._place()
        if self.leased:
            self._copy()
        if 0 <= self.ask_at <= now_us:
            self.ask_at = -1
            self.out.append(api.Subscribe())
        self._wake()
        return self.out

    def _wake(self) -> None:
        """Ask for one timer, for the first thing that no event will bring; a little late saves wake-ups."""
        pause = 4 * self.settings.tick_us
        look_at = self.checks[0][0] if self.checks and self.leased else -1  # none is taken without a lease
        due = [at for at in (self.ask_at, look_at) if at >= 0]
        if self.again or self.late or any(t.held for t in self.tenants):
            due.append(self.now + pause)
        if due and (self.wake_at <= self.now or min(due) + pause < self.wake_at):
            self.wake_at = max(min(due), self.now + self.settings.tick_us)
            self.out.append(api.SetTimer(self.wake_at - self.now, 0))

    def _retuned(self, event: api.Retuned) -> None:
        """Follow settings; what was learned stays. A new class's jobs run like all until some are seen."""
        s = self.settings = event.settings
        given = s.tenants or (api.Tenant(),)
        equal = (sum(t.portion for t in given) or 1.0) / len(given)  # for those whose portion is not stated
        portions = [t.portion or equal for t in given]
        self.tenants += [_Tenant(0.0) for _ in given[len(self.tenants):]]
        for t, portion in zip(self.tenants, portions, strict=True):
            t.share = portion / sum(portions)
        self.even, seen = sum(t.quota_per_s for t in given) / s.dispatchers, min(sum(self.runs), 5)
        for c, kind in enumerate(s.classes):
            if c == len(self.runs) or c in event.fresh:
                run = self.mean_run if seen else float(max(kind.aim_us, s.tick_us))
                self.run_us[c:c + 1], self.ran[c:c + 1] = [run], [Mean(0.0, 0)]
                self.runs[c:c + 1], self.whole[c:c + 1] = [seen], [0]

    # The door for what others know; hazellead/learning weighs it.

    def known(self) -> "seen.Known":
        """Return what has been seen here, and nothing that was taken over."""
        from hazellead.decide.known import Estimate, Known
        watched = self.watched + max(0, self.now - self.sized_at) / 1e6
        demand = [Estimate(t.asked / max(watched, 1e-6), watched, self.now) for t in self.tenants]
        return Known(
            tuple(w.seen_here() for w in self.workers.values()),
            tuple(Estimate(m.value, m.count, self.now) for m in self.ran), tuple(demand),
            Estimate(self.factor, min(m.count for m in self.ran), self.now),
            tuple(t.throttle.tokens for t in self.tenants))

    def avoided(self) -> set[int]:
        """Return the workers that get no ordinary jobs at present: they drain, are gone, or are doubted."""
        return set(self.workers) - {w.entry.worker for w in self.near + self.far if self._doubt(w) < TRUST}

    def expected_run_us(self, job_class: int) -> float | None:
        """Return how long jobs of a class have run here on average; None before the first has ended."""
        return self.ran[job_class].value if self.ran[job_class].count else None

    def learn(self, known: "seen.Known") -> None:
        """Take over what others have seen, as a start, and caution at once; none opens or warms a worker."""
        fresh = not any(m.count for m in self.ran)
        for k in known.workers:
            w = self.workers.get(k.worker)
            if w is None or w.entry.started_us != k.started_us:
                continue
            if k.pace.weight > 0:
                w.speed.base(k.pace)
            # Queues are news of a moment. To go by others' for longer would send all to the same workers.
            w.wait.base(k.delay if fresh else type(k.delay)())
            w.timed = max(w.timed, int(k.pace.weight > 0))
            if k.slots.weight > 0 and not (w.told or w.speed.seen.count or 0 < w.cold_since):
                w.slots = w.guessed = k.slots.value
            if k.blame.weight > 0 and w.vouched < k.blame.at_us:
                w.blame = max(w.blame, k.blame.value)
            if k.broke.weight > 0 and w.cold_since < k.broke.at_us <= self.now:
                w.cold_since, w.drawn_until = k.broke.at_us, 0
            w.inherit(k.own if fresh else ())
            if k.drain.weight > 0 and w.drained < 0:
                w.full_until = max(w.full_until, k.drain.at_us)
        for c, theirs in enumerate(known.runs):
            if theirs.weight > 0 and not self.runs[c]:
                self.run_us[c], self.runs[c] = theirs.value, int(min(theirs.weight, 5 / LEARN))
        if not self.watched and known.demand and all(d.weight > 0 for d in known.demand):
            self.watched = min(MEMORY * self.mean_run / 1e6, *(d.weight for d in known.demand))
            for t, theirs in zip(self.tenants, known.demand, strict=False):
                t.asked = theirs.value * self.watched
        for t, tokens in zip(self.tenants, known.tokens, strict=False):
            t.throttle.level = t.throttle.buffer + tokens
        self.factor = max(known.factor.value, FLOOR) if known.factor.weight > 0 and fresh else self.factor
        self._size()

    def _arrive(self, event: api.Arrival) -> None:
        s, at = self.settings, min(event.tenant, len(self.tenants) - 1)
        tenant, gate = self.tenants[at], self.tenants[at].throttle
        self.probes = min(self.probes + PROBE_SPEND / max(s.probe_price, PROBE_SPEND / 10), 100.0)
        # A client's later tries have less time left: its aim runs from the first, and may be over already.
        whole = self.whole[event.job_class] = max(self.whole[event.job_class], event.remaining_us)
        useful = (deadline := self.now + event.remaining_us) - whole + self._slack(event.job_class)
        tenant.asked += event.slots if event.remaining_us > 0.9 * whole else 0.0
        self.widest = max(self.widest, event.slots)
        useful = last = min(useful, deadline - 2 * s.tick_us)
        if s.classes[event.job_class].late_worth > 0:
            last = max(useful, deadline - int(RESERVE * self.run_us[event.job_class]))
        r = Request(event.request, event.job_class, event.slots, at, self.now, useful, last, event.hint_us)
        self.requests[r.id] = r
        gate.resize(gate.bank, max(gate.buffer, event.slots))  # a buffer holds one job at least, however wide
        if event.made:  # the process whose place ours has taken has let it in
            for w in (self.workers[m.worker] for m in event.made if m.worker in self.workers):
                self._touch(w)
            self.flying |= r.adopt(event.made, self.workers, self.now, self.slots)
        elif last > self.now and gate.offer(event.slots):
            tenant.held.append(r)
            self.lates = min(self.lates + LATE_SHARE, LATE_MOST)
        else:
            self._answer(r)
        self.bound_at = self.now if gate.tokens <= 0 else self.bound_at

    def _defer(self, r: Request) -> None:
        """Let a held job out of slack wait for what jobs in time leave, as few may, or refuse it."""
        if r.last <= self.now or self.lates < 1:
            self._answer(r)
        elif self._unqueue(r):
            self.tenants[r.tenant].throttle.add(r.slots)
            self.late.append(r)
            self.lates -= 1

    def _slack(self, job_class: int) -> int:  # how long a short job can wait and still be in time
        kind = self.settings.classes[job_class]
        slack = kind.aim_us + (kind.stretch - 1) * SHORT * self.run_us[job_class]
        return int(max(slack, 2 * self.settings.tick_us))

    def _tokens(self) -> None:
        """Bring the tokens due; what overflows full banks goes to tenants with jobs waiting, by share."""
        # While a paid job finds every worker full, more tokens would only move the queue behind the gate.
        idle = self.full or not self.leased
        passed, self.accrued, spare = 0 if idle else self.now - self.accrued, self.now, 0.0
        if self.now - self.sized_at > self.mean_run:
            self._size()
        for t in self.tenants:
            t.carry += t.share * self.rate * passed / 1e6
            if t.carry >= 1:
                spare += t.throttle.add(t.carry // 1)
                t.carry %= 1
        while spare >= 1 and (waiting := [t for t in self.tenants if t.throttle.waiting > 0]):
            tenant = min(waiting, key=lambda t: t.spilled / t.share)
            tenant.spilled, spare = tenant.spilled + 1, spare - 1
            tenant.throttle.add()

    def _size(self) -> None:
        """Size banks and buffers for our part of the quotas: the median tenant's demand for its share."""
        self.mean_run = sum(self.run_us) / len(self.run_us)
        passed, self.sized_at = self.now - self.sized_at, self.now
        fade = math.exp(-passed / (MEMORY * self.mean_run))
        if self.even:
            self.watched = self.watched * fade + passed / 1e6
            prior = MEMORY * self.mean_run / 5e6
            median = sorted(t.asked / t.share for t in self.tenants)[len(self.tenants) // 2]
            self.start_rate = (HEADROOM * median + prior * self.even) / (self.watched + prior)
            self.part = min(self.start_rate / self.even, float(self.settings.dispatchers))
        self.rate = self.factor * self.start_rate
        if not self.settings.reports:
            self.cold = [w for w in self.near if w.cold_since > self.now - self.settings.warm_up_us]
        self.fresh = max(4 * self.settings.tick_us, self.mean_run / 8)  # how long a probe's answer holds
        self.step = 1 / max(1.0, self.rate * self.mean_run / 1e6)  # the busy see more signs of one thing
        slack = min(self._slack(c) for c in range(len(self.run_us))) / 1e6
        for t in self.tenants:
            t.asked *= fade
            rate = t.share * self.rate
            t.throttle.resize(max(LEAST, rate * HOLD), max(self.widest, rate * HOLD * slack))

    def _place(self) -> None:  # further attempts, then tenants by unspent tokens for their share, then late
        def turn(r: Request) -> tuple[bool, bool, float, int, int]:
            tenant, late = self.tenants[r.tenant], r.useful <= self.now
            return late, not r.attempts, -tenant.throttle.tokens / tenant.share, r.useful, r.id

        seen = set[Request]()
        while heads := {
            r for r in (*self.again, *self.late[:1], *(t.paid() for t in self.tenants)) if r} - seen:
            r = min(heads, key=turn)
            seen.add(r)
            if worker := self._pick(r):
                self._push(r, worker)

    def _pick(self, r: Request) -> Worker | None:
        """Choose at random among a sample's free workers, else all, by free slots and speed, or wait."""
        s, tied, slack = self.settings, r.tied(), self._slack(r.job_class)
        loose = not tied or s.classes[r.job_class].effect is api.Effect.SAFE  # may go to any worker
        unknown = s.reports_by_probe and s.may_probe and self.now - r.arrived < LOOKING * slack
        power, stages = 2 if s.reports else 3, [(self.near, True), (self.far, True)]  # unseen slots: by speed
        # A slot thought free across zones comes before a guess at home as long as crossing fails less.
        gain = self.failing[False] - self.failing[True] - CROSS_PATIENCE * s.cross_zone_price
        if s.reports and not s.reports_by_probe and gain > 0:
            stages = [(self.near, False), (self.far, False), *stages]
        for pool, blind in [] if self.barren and loose else stages:
            if not pool or pool is self.far and any(a.crossed for a in r.attempts):
                continue  # once only, since crossing has a price
            few = [self.rng.sample(pool, SAMPLE)] if len(pool) > SAMPLE else []
            if self.cold:  # no report tells that a cold worker is free; its part would go unused
                few = [[w for w in self.cold if self._cold_room(w) and w in pool], *few]
            # An open connection spares a handshake, and serves where tables are full or new ones fail.
            if s.handshake_price > 0 or self.unreached > UNREACHED:
                few = [[w for w in pool if w.keeps(self.now, 0.9 * self.reuse)]]
            for some in (*few, pool):
                fits = self._fits(r, some, TRUST, blind)
                if not fits and some is pool and (limit := self._doubt_limit()) > TRUST:
                    fits = self._fits(r, some, limit, blind)
                if unknown:  # a job goes to a worker known to have a free slot
                    fits = [f for f in fits if self.now - f[0].changed < self.fresh]
                if fits:
                    weights = [free / max(self._pace(w), LEARN) ** power * self._quick(w) for w, free in fits]
                    return self.rng.choices(fits, weights)[0][0]
            if unknown and self._look(pool):
                return None
            wait = min(0.5, CROSS_PATIENCE * s.cross_zone_price) * slack
            if pool is self.near and self.far and not tied and self.now - r.arrived < wait and any(
                    self._doubt(w) < TRUST for w in self.near):
                return None
        self.full, self.barren = self.full or not r.attempts, self.barren or loose
        return None

    def _fits(self, r: Request, some: Sequence[Worker], limit: float, blind: bool) -> list[Fit]:
        tied, kind = r.tied(), self.settings.classes[r.job_class].kind
        tried = {a.worker for a in r.attempts if a.outcome is not api.Outcome.FULL}
        return [
            (w, free) for w in some
            if (free := self._free(w, blind)) >= r.slots - 0.5 and w.entry.worker not in tried
            and kind in (-1, w.entry.kind) and self._may_join(r, tied, w)
            and (self._usable(w, limit) if w.known else self._meet(w, r)) and self._cold_room(w)]

    def _look(self, pool: list[Worker]) -> bool:
        """Probe a few workers for a job that waits; says whether answers are still awaited."""
        if self.now - self.looked_at > self.fresh:
            self.looking, self.looked_at = 0, self.now
        for w in self.rng.sample(pool, min(len(pool), LOOK)):
            if self.looking < LOOK and self.probes >= 1 and self.now - w.asked > self.fresh:
                self.probes, self.looking, w.asked = self.probes - 1, self.looking + 1, self.now
                self.out.append(api.Probe(w.entry.worker))
        return self.looking > 0

    def _may_join(self, r: Request, tied: list[Attempt], w: Worker) -> bool:  # rule 2
        kind = self.settings.classes[r.job_class]
        if not tied or kind.effect is api.Effect.SAFE:
            return True
        if kind.effect is api.Effect.UNSAFE or tied[0].worker not in self.workers:
            return False
        home, late = self.workers[tied[0].worker].entry, self.settings.connect_timeout_us
        same = {"all": True, "zone": home.zone == w.entry.zone, "cell": home.cell == w.entry.cell}[kind.group]
        return same and self.now + late - min(a.sent for a in tied) < kind.key_ttl_us

    def _free(self, w: Worker, blind: bool) -> float:
        """Take ours and, on average and fading, the others' from all slots; ``blind`` allows a guess."""
        if self.now < w.full_until:
            return 0.0
        if not self.settings.reports:  # any worker where no job of ours waits, by how few of ours run there
            return 0.0 if w.unstarted else self.widest + w.slots / (1 + w.held + w.theirs)
        free = w.slots - w.held
        if self.settings.dispatchers > 1:  # as a report fades, the average of the fleet's reports stands in
            known = max(0.0, 1 - (self.now - w.changed) / (STALE * w.period))
            free -= known * max(0.0, w.others) + (1 - known) * (1 - self.spare) * w.slots
            free = max(free, (1 - known) * 0.5)
        # Starts outweigh reports: a job not begun shows that no slot was free for it.
        return (max(free, 0.5) if blind else free) - len(w.unstarted) if self.settings.tells_start else free

    def _pace(self, w: Worker) -> float:
        kind = self.kinds.get(w.entry.kind) if not w.speed.weight else None
        return w.pace + w.speed.rest * (kind.value - w.speed.given) if kind else w.pace

    def _quick(self, w: Worker) -> float:
        """Weigh a worker by how soon jobs began there, the one sign of others' jobs, and by the way to it."""
        way = self.transit.get((w.entry.zone != self.settings.zone, not w.keeps(self.now, self.reuse)), 0.0)
        lost = max(0, self.unheard.get(w.entry.zone, 0) - UNHEARD)  # its workers are often lost together
        return 1 / (1 + (w.wait.value + way) / self.mean_run) ** AVOID / (1 + lost) ** 2

    def _silence(self, w: Worker) -> float:  # unanswered work since a sign of serving, in mean run times
        mean = self.mean_run * min(max(w.pace, 1.0), 2.0)
        return w.silence + min(w.held, w.slots) * (self.now - w.seen) / mean

    def _doubt(self, w: Worker) -> float:  # from any evidence of not serving: faults, silence with work
        return w.blame + (silence if (silence := self._silence(w) / PATIENCE) > 1 else 0.0)

    def _doubt_limit(self) -> float:  # the best quarter is always trusted: if most look sick, it may be us
        doubts = sorted(self._doubt(w) for w in self.near + self.far)
        return max([TRUST, *(d + 1e-9 for d in doubts[: max(1, len(doubts) // 4)])])

    def _usable(self, w: Worker, limit: float) -> bool:
        """Trust a worker, or let it have trial jobs, one at a time, ever more rarely; a gone one a last."""
        gone = w.entry.phase is api.Phase.GONE
        trial = w.held == 0 and self.now >= w.next_trial and not (gone and w.failures > 1)
        return trial or self._doubt(w) < (TRUST if gone else limit)

    def _meet(self, w: Worker, r: Request) -> bool:
        """Guard against listed strangers by a probe, else by trial jobs, one at a time in all."""
        if self.settings.may_probe:
            if self.probes >= 1 and self.now >= w.next_trial:
                self.probes, w.failures = self.probes - 1, w.failures + 1
                w.next_trial = self.now + int(PATIENCE * self.mean_run) * 2 ** min(w.failures, 4)
                self.out.append(api.Probe(w.entry.worker))
            return False
        effects = [c.effect is api.Effect.UNSAFE for c in self.settings.classes]
        risky = effects[r.job_class] and not all(effects)
        return not risky and w.held == 0 and self.now >= max(self.meet_at, w.next_trial)

    def _cold_room(self, w: Worker) -> bool:
        """Keep to our part, by traffic, of what a cold worker bears in a window (rule 4)."""
        s = self.settings
        if not w.warms(self.now, s.warm_up_us):
            return True
        if not w.drawn_until:  # all are told at once: their windows begin apart, or their parts come together
            w.tickets, w.drawn_until = 0, self.now + int(s.fall_us * self.rng.random())
        elif self.now >= w.drawn_until:
            warm = s.cold_from + (1 - s.cold_from) * max(0, self.now - w.cold_since) / s.warm_up_us
            run, slots = self.mean_run * max(self._pace(w), 1.0), w.slots
            if not s.reports and self.near:  # what a worker carries when all use their quotas is a guide
                slots = max(slots, self.even * s.dispatchers * self.mean_run / 1e6 / len(self.near))
            budget = COLD_SAFETY * s.fall_multiple * warm * s.fall_us * slots / run
            budget -= CHANCE * math.sqrt(min(budget, (s.dispatchers - 1) / 4))
            if not s.reports:  # a part drawn is used at once, so no more than keeps it as busy as others
                budget = min(budget, COLD_USE * warm * s.fall_us * slots / run)
            w.tickets = int(max(0.0, budget) * self.part / s.dispatchers + self.rng.random())
            w.drawn_until = self.now + s.fall_us
        return w.tickets > 0

    def _push(self, r: Request, w: Worker) -> None:
        self._unqueue(r)
        key = (r.id, len(r.attempts))
        self._touch(w)
        w.held, w.tickets = w.held + r.slots, w.tickets - 1
        if not w.known:
            self.meet_at = self.now + int(self.mean_run) * 2 ** min(self.strangers, 6)
        if w.idle and self.now - w.idle[-1] > self.reuse:  # perhaps dropped unseen: a new one is safe
            w.idle.clear()
            self.out.append(api.Release(w.entry.worker))
        idle = self.now - w.idle.pop() if w.idle else 0
        w.unstarted.add(key)
        self.unheard[w.entry.zone] = min(self.unheard.get(w.entry.zone, 0) + 1, UNHEARD_MOST)
        self.flying[key] = Attempt(r, w.entry.worker, self.now, w.entry.zone != self.settings.zone, idle)
        r.attempts.append(self.flying[key])
        self.copies = min(self.copies + COPY_SHARE, 10.0)
        self.out.append(api.Push(r.id, w.entry.worker))
        if self.settings.copies(r.job_class):
            heapq.heappush(self.checks, (self.now + self._slack(r.job_class) // 2, *key))

    def _copy(self) -> None:  # a second copy where the first is at a dubious worker or was not begun
        s = self.settings
        while self.checks and self.checks[0][0] <= self.now:
            _, rid, number = heapq.heappop(self.checks)
            r = self.requests.get(rid)
            if r is None or r.attempts[number].outcome:
                continue
            attempt, w = r.attempts[number], self.workers[r.attempts[number].worker]
            overdue = self.now - attempt.sent > PATIENCE * self.run_us[r.job_class] * max(w.pace, 1.0)
            if overdue and attempt.idle:  # nothing came back over a connection that had idled so long
                self.reuse = min(self.reuse, attempt.idle / 2)
            late = overdue or (s.tells_start and not attempt.began) or self._doubt(w) >= TRUST
            may = self.copies >= 1 and number + 1 == len(r.attempts) < s.attempts(r.job_class)
            if late and may and self.now <= r.useful and (target := self._pick(r)):
                self.copies -= 1
                self._push(r, target)
            else:
                # A tick at least: put off by nothing, it would be due again in this very step, for ever.
                pause = max(int(self.mean_run / 4), s.tick_us)
                heapq.heappush(self.checks, (self.now + pause, rid, number))

    def _touch(self, w: Worker) -> None:  # brings running figures up to now before what it holds changes
        w.silence, w.seen = self._silence(w), self.now

    def _release(self, w: Worker) -> None:  # at the notice of a drain and after each outcome there
        if self.settings.release_within_us and w.entry.phase is api.Phase.DRAINING:
            w.idle.clear()
            self.out.append(api.Release(w.entry.worker))

    def _began(self, event: api.JobBegan) -> None:
        if attempt := self.flying.get(key := (event.request, event.attempt)):
            w = self.workers[event.worker]
            self._touch(w)
            self.unheard[w.entry.zone] = 0
            if not attempt.began:
                attempt.began, w.silence = self.now, 0.0
                wait, way = self.now - attempt.sent, (attempt.crossed, not attempt.idle)
                self.transit[way] = min(wait, self.transit.get(way, wait) * (1 + LEARN / 5))
                w.wait.add(wait - self.transit[way], 2 * LEARN, self.now, 2 * LEARN)
                w.unstarted.discard(key)
                if wait > self._slack(attempt.request.job_class):
                    self._overload(w)  # its wait alone made it late
                    self.copies = max(0.0, self.copies - 1)  # where work queues, a copy waits too
                    if not self.settings.reports:  # nothing else tells of the queue there: let it run down
                        w.full_until = self.now + int(RUN_DOWN * wait)

    def _lease_changed(self, event: api.LeaseChanged) -> None:
        """Push nothing by a list that has run out: jobs wait as long as they can, or are refused."""
        self.leased = event.held

    def _elsewhere(self, event: api.Elsewhere) -> None:
        if w := self.workers.get(event.worker):
            w.elsewhere(event.held, event.waiting)

    def _ended(self, event: api.AttemptEnded) -> None:
        key = (event.request, event.attempt)
        if key not in self.flying:
            return
        attempt, w = self.flying.pop(key), self.workers[event.worker]
        attempt.outcome = event.outcome
        self._touch(w)
        w.held -= attempt.request.slots
        w.unstarted.discard(key)
        if event.outcome is not api.Outcome.MOOT:
            w.idle = [*w.idle[-15:], self.now] if event.outcome in api.ANSWERED else []
        if not attempt.idle:
            self.unreached += 2 * LEARN * ((event.outcome is api.Outcome.CONNECT_FAILED) - self.unreached)
        elif event.outcome is api.Outcome.RESET and event.spent_us < self.settings.tick_us:
            self.reuse = min(self.reuse, attempt.idle / 2)  # at once: the connection was gone, not the worker
        slack = self._slack(attempt.request.job_class)
        failed = event.outcome is not api.Outcome.SERVED or attempt.began - attempt.sent > slack
        self.failing[attempt.crossed] += LEARN / 2 * (failed - self.failing[attempt.crossed])
        self.failing[True] *= 1 - LEARN / 20  # a bad way is tried again after some time
        self._release(w)
        ran = min(event.spent_us, self.now - attempt.began)  # without the wait, where starts are told
        self._learn(w, attempt, event.outcome, ran)
        self._report(w, event.report)
        if event.complete:
            self._drop(event.request)
        elif (r := self.requests.get(event.request)) and all(a.outcome for a in r.attempts):
            # Its worker died just after it began, or it errs as its tenant's jobs do everywhere: it may crash
            # or fail any worker, so it goes nowhere else. May hurt one begun just before an innocent crash.
            own = event.outcome is api.Outcome.RESET and ran < SHORT * self.mean_run or self._theirs(attempt)
            may = len(r.attempts) < self.settings.attempts(r.job_class) and self.now < r.last and not own
            if may and any(self._may_join(r, r.tied(), w) for w in self.near + self.far):
                self.again.append(r)
            else:
                self._answer(r)

    def _theirs(self, attempt: Attempt) -> bool:  # an error is the job's: its tenant's err far more than most
        own, erring = self.tenants[attempt.request.tenant].erring, sorted(t.erring for t in self.tenants)
        return attempt.outcome is api.Outcome.ERROR and own > erring[len(erring) // 2] + TRUST

    def _overload(self, w: Worker) -> None:  # signs from suspects say nothing of load
        if self._doubt(w) < TRUST:
            self.factor = max(self.factor * (1 - FALL * (1 - self.spare) * self.step), FLOOR)

    def _learn(self, w: Worker, attempt: Attempt, outcome: api.Outcome, spent_us: int) -> None:
        r, run = attempt.request, self.run_us[attempt.request.job_class]
        if outcome in (api.Outcome.FULL, api.Outcome.TIMED_OUT, api.Outcome.RESET):
            self._overload(w)
        if outcome is api.Outcome.FULL:
            w.slots = w.slots if w.told else max(1.0, w.held)
            # It may be full of jobs that it never ends: the more often it is found full, the rarer the look.
            w.fulls, w.full_until = w.fulls + 1, self.now + int(run / w.slots) * 2 ** min(w.fulls, 6)
        if outcome in (api.Outcome.SERVED, api.Outcome.ERROR):
            tenant = self.tenants[r.tenant]
            tenant.erring += LEARN * ((outcome is api.Outcome.ERROR) - tenant.erring)
        if outcome in api.FAULTS and not self._theirs(attempt):
            self.strangers += not w.known
            # One broken connection is chance; what breaks again before it has served may have restarted.
            chance = outcome is api.Outcome.RESET and not w.failures
            w.blame = w.blame / 2 + (SLIP if chance else 1)
            if outcome is api.Outcome.RESET and not chance:
                w.cold_since, w.broke, w.drawn_until = self.now, self.now, 0
            w.failures, w.failed, w.erred = w.failures + 1, self.now, outcome is api.Outcome.ERROR
            w.next_trial = self.now + int(run) * 2 ** min(w.failures - 1, 4)
        if outcome is not api.Outcome.SERVED:
            return
        self.reuse = min(self.reuse * (1 + LEARN / 5), self.settings.conn_idle_us)
        if not w.known:
            w.known, self.strangers, self.meet_at = True, self.strangers // 2, self.now
        w.failures = w.failures // 2 if w.erred else 0
        w.blame, w.silence, w.fulls, w.vouched = w.blame / 2, 0.0, 0, self.now
        if w.blame >= TRUST and w.erred:  # it may fail most jobs, not all: one served opens no door
            w.next_trial = self.now + int(run) * 2 ** min(w.failures + 1, 4)
        # Held against a hint, a run time tells of the worker; without one, more of the job: there a worker's
        # whole kind tells sooner, and its own add up slowly. A cold one's tell of the cold alone.
        if r.hint:
            self.by_hint.add(ratio := spent_us / r.hint, LEARN / 5)
            ratio, weight = min(ratio / self.by_hint.value, 4.0), max(1 / (w.timed + 4), LEARN)
        else:
            ratio = min(spent_us / run, 10.0)
            weight = 2 * LEARN if self.settings.reports else max(1 / (w.timed + KIN), LEARN / 2)
        if r.hint or self.settings.reports or not w.warms(self.now, self.settings.warm_up_us):
            w.timed += 1
            w.speed.add(ratio, weight, self.now, LEARN / 5)
            self.kinds.setdefault(w.entry.kind, Mean(1.0)).add(ratio, LEARN / 5 if r.hint else LEARN / 20)
        self.runs[r.job_class] += 1
        self.run_us[r.job_class] += max(1 / self.runs[r.job_class], LEARN / 5) * (max(1, spent_us) - run)
        self.ran[r.job_class].add(max(1, spent_us), LEARN / 5)
        if w.held + 1 >= w.slots and not w.told:
            w.slots += 1 / w.slots
        if self.now - self.bound_at < 2 * run:
            self.factor += RISE * self.spare * self.step

    def _report(self, w: Worker, report: api.Report | None) -> None:
        fresh = self.settings.reports_by_probe
        if report is None or (report == w.report and not fresh and self.now - w.changed < w.period):
            return
        w.period += LEARN * (min(self.now - w.changed, 2 * w.period) - w.period)
        w.report, w.changed = report, self.now
        busy, free = w.held if report.inflight is None else report.inflight, report.free_slots
        if free is not None:
            self.spare += LEARN * (min(1.0, free / w.slots) - self.spare)
            if report.inflight is None:  # what others hold is not told: the most seen free with ours, fading
                w.slots = max(w.slots - LEARN / 4 if w.told else 1.0, free + busy)
                busy = w.slots - free
            elif free >= 0.5 or not w.told:
                w.slots = max(1.0, round(free + busy))
            self.slots += LEARN * (w.slots - self.slots)
            w.told = True
        w.others += (1.0 if fresh else 3 * LEARN) * (busy - w.held - w.others)

    def _probed(self, event: api.ProbeEnded) -> None:
        self.looking = max(0, self.looking - 1)
        if w := self.workers.get(event.worker):
            self._report(w, event.report)
            self._release(w)
            if event.outcome is api.Outcome.SERVED and not w.known:
                w.known, w.failures, w.next_trial = True, 0, 0
            elif event.outcome not in (api.Outcome.SERVED, api.Outcome.FULL):
                w.blame = w.blame / 2 + 1

    def _answer(self, r: Request) -> None:  # refused if surely nothing ran, else failed
        tenant, most = self.tenants[r.tenant], self.settings.max_retry_after_us
        wait = min(1e6 * (tenant.throttle.waiting + 1) / max(tenant.share * self.rate, 1e-3), most)
        self.out.append(api.Fail(r.id) if r.tied() else api.Refuse(r.id, int(wait)))
        self._drop(r.id)

    def _abandoned(self, event: api.Abandoned) -> None:  # work that nobody waits for is wasted
        if self.settings.may_cancel and (r := self.requests.get(event.request)):
            self.out += [api.Cancel(r.id, n) for n, a in enumerate(r.attempts) if not a.outcome]
        self._drop(event.request)

    def _drop(self, request: int) -> None:
        if (r := self.requests.pop(request, None)) and self._unqueue(r):
            self.tenants[r.tenant].throttle.add(r.slots)

    def _unqueue(self, r: Request) -> bool:  # says whether it was held by its tenant's throttle
        if queue := next((q for q in (self.again, self.late) if r in q), None):
            queue.remove(r)
        elif not r.attempts and r in self.tenants[r.tenant].held:
            self.tenants[r.tenant].held.remove(r)
            return True
        return False

    def _listed(self, event: api.WorkerList) -> None:
        """Follow the list; ask again after a failure, later each time and not in step with others."""
        if event.kind is api.ListKind.FAILED:
            step = self.settings.ask_within_us / 20 * 2 ** min(self.asks, 4)
            self.asks, self.ask_at = self.asks + 1, self.now + int(step * (0.5 + self.rng.random() / 2))
            self.out.append(api.Log(f"worker list: asking failed, next try in {self.ask_at - self.now} us"))
            return
        s, first, self.asks = self.settings, not self.workers, 0
        entries = {e.worker: e for e in event.entries}
        if event.kind is not api.ListKind.CHANGES:
            entries = {k: replace(w.entry, phase=api.Phase.GONE) for k, w in self.workers.items()} | entries
        for e in entries.values():
            w = self.workers.get(e.worker)
            if w is None:
                w = Worker(e, self.now, e.started_us, self.now, first, slots=self.slots)
                self.workers[e.worker] = w
            elif e.started_us > w.entry.started_us:
                w.cold_since, w.blame, w.silence, w.drawn_until = e.started_us, 0.0, 0.0, 0
                w.idle.clear()
            # An old list that comes again must not make a later start look like news at the next true one.
            w.entry = replace(e, started_us=max(e.started_us, w.entry.started_us))
            if e.phase is api.Phase.READY:
                w.vouched = self.now
                w.drained = w.drained if e.started_us <= w.drained else -1
            elif e.phase is api.Phase.DRAINING:  # binds until it is known to have restarted (rule 3)
                w.drained = max(w.drained, e.started_us)
            self._release(w)
        old = self.now - FORGET * s.ask_within_us if s.drain_binds_alone else self.now
        self.workers = {k: w for k, w in self.workers.items()
                        if w.held or w.entry.phase is not api.Phase.GONE or (w.known and w.vouched > old)}
        ready = [w for w in self.workers.values() if w.drained < 0 and w.known and s.drain_binds_alone
                 or w.entry.phase is api.Phase.READY and not (w.drained >= 0 and s.drain_binds_alone)]
        self.near = [w for w in ready if w.entry.zone == s.zone or not s.cross_zone_price or not s.reports]
        self.far = [w for w in ready if w.entry.zone != s.zone and s.cross_zone_price and s.reports]
