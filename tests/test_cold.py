"""What a cold worker gets from all schedulers together, in virtual time: many processes, each on its own."""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count

import pytest

from hazellead.decide import interface as api
from hazellead.decide.dispatcher import Dispatcher

SECOND = 1_000_000


@dataclass(frozen=True)
class Site:
    """A deployment; times in microseconds, loads as parts of what all workers can do."""

    schedulers: int = 25
    speeds: tuple[float, ...] = (1.0,) * 10  # of each worker's cores; the first restarts
    cores: int = 2
    mean: int = 220_000  # work of a job
    multiple: float = 4.0
    window: int = 2 * SECOND
    cold_from: float = 0.12
    warm_up: int = 24 * SECOND
    load: float = 0.7
    burst: float = 1.0  # on top of it, from the restart on
    quotas: float = 0.85
    skew: float = 0.0  # of the schedulers' shares of the traffic

    @property
    def capacity(self) -> float:
        """Return the jobs a second that all can do."""
        return sum(self.speeds) * self.cores * SECOND / self.mean

    def settings(self) -> api.Settings:
        tenants = tuple(api.Tenant(0.5, self.capacity * self.quotas / 2) for _ in range(2))
        job = api.JobClass(100_000, 5 * SECOND, api.Effect.UNSAFE, stretch=2.0, late_worth=0.5)
        return api.Settings(
            classes=(job,), tenants=tenants, dispatchers=self.schedulers, tick_us=4000, max_attempts=3,
            reports=False, tells_start=True, cross_zone_price=0.02, cold_from=self.cold_from,
            warm_up_us=self.warm_up, fall_multiple=self.multiple, fall_us=self.window)


class Fleet:
    """Dispatchers that share nothing, and workers that run what they are sent in turn."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site, self.rng, self.now = site, random.Random(seed), 1000 * SECOND
        self.restart, self.end = self.now + 4 * SECOND, self.now + 14 * SECOND
        own = site.settings()
        self.ones = [Dispatcher(replace(own, number=i), seed * 1000 + i) for i in range(site.schedulers)]
        self.inbox: list[list[api.Event]] = [[] for _ in self.ones]
        self.last = [0] * len(self.ones)
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order, self.numbers = count(), count(1)
        self.attempts: dict[int, int] = {}
        self.free = [[0] * site.cores for _ in site.speeds]
        self.sent: list[int] = []  # when the restarted one got a job
        shares = [math.exp(self.rng.gauss(0, site.skew)) for _ in self.ones]
        self.rates = [site.capacity * site.load * s / sum(shares) for s in shares]

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.due, (int(when), next(self.order), act))

    def play(self) -> None:
        names = range(1, len(self.site.speeds) + 1)
        for i in range(len(self.ones)):
            self.tell(i, api.WorkerList(api.ListKind.FULL, tuple(api.WorkerEntry(w) for w in names)))
            self.at(self.now + self.rng.expovariate(self.rates[i]) * SECOND, lambda i=i: self.arrive(i))
            started = api.WorkerList(api.ListKind.CHANGES, (api.WorkerEntry(1, started_us=self.restart),))
            self.at(self.restart, lambda i=i, s=started: self.tell(i, s))
        while self.due and self.due[0][0] < self.end:
            self.now, _, act = heapq.heappop(self.due)
            act()

    def tell(self, i: int, event: api.Event) -> None:
        self.inbox[i].append(event)
        if len(self.inbox[i]) == 1:
            self.at(max(self.now, self.last[i] + 4000), lambda: self.step(i))

    def arrive(self, i: int) -> None:
        number = next(self.numbers)
        self.attempts[number] = 0
        self.tell(i, api.Arrival(number, 0, 5 * SECOND, number % 2))
        rate = self.rates[i] * (self.site.burst if self.now >= self.restart else 1)
        self.at(self.now + self.rng.expovariate(rate) * SECOND, lambda: self.arrive(i))

    def step(self, i: int) -> None:
        events, self.inbox[i], self.last[i] = self.inbox[i], [], self.now
        for action in self.ones[i].handle(self.now, events):
            if isinstance(action, api.Push):
                self.run(i, action)
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                self.at(self.now + action.after_us, lambda f=fired: self.tell(i, f))

    def run(self, i: int, push: api.Push) -> None:
        number, worker = self.attempts[push.request], push.worker
        self.attempts[push.request] += 1
        if worker == 1 and self.now >= self.restart:
            self.sent.append(self.now)
        core = min(range(self.site.cores), key=self.free[worker - 1].__getitem__)
        start = max(self.now, self.free[worker - 1][core])
        speed = self.site.speeds[worker - 1] * (self.warmth(start) if worker == 1 else 1)
        end = start + self.rng.lognormvariate(math.log(self.site.mean) - 0.32, 0.8) / speed
        self.free[worker - 1][core] = int(end)
        served = min(end, self.now + 5 * SECOND)
        outcome = api.Outcome.SERVED if served == end else api.Outcome.TIMED_OUT
        ended = api.AttemptEnded(push.request, number, worker, outcome, int(served - self.now), True)
        self.at(start + 500, lambda: self.tell(i, api.JobBegan(push.request, number, worker)))
        self.at(served + 1000, lambda: self.tell(i, ended))

    def warmth(self, when: float) -> float:
        """Return the part of its capacity that the restarted worker has."""
        part = min(1.0, max(0.0, (when - self.restart) / self.site.warm_up))
        return self.site.cold_from + (1 - self.site.cold_from) * part if when >= self.restart else 1.0

    def worst(self) -> float:
        """Return the most that came in any window, over the budget N and 2 root N + 2 for chance."""
        s, window, most = self.site, deque[int](), 0.0
        for when in self.sent:
            window.append(when)
            while window[0] <= when - s.window:
                window.popleft()
            began = max(self.restart, when - s.window)
            n = s.multiple * self.warmth(began) * s.speeds[0] * s.cores * s.window / s.mean
            most = max(most, len(window) / (n + 2 * math.sqrt(n) + 2))
        return most


SITES = {
    "usual": Site(),
    "burst, thirty, uneven": Site(schedulers=30, burst=1.5, skew=1.0),
    "twenty, a slow one": Site(schedulers=20, speeds=(0.5, *(1.0,) * 9), load=0.9),
    "short window": Site(multiple=2.5, window=1_500_000, load=0.9, burst=1.4),
    "long window, little room": Site(
        schedulers=30, multiple=2.0, window=3 * SECOND, cold_from=0.3, warm_up=9 * SECOND, cores=5,
        mean=150_000, speeds=(0.6, *(1.0,) * 9)),
    "over the quotas": Site(quotas=0.4, load=0.9, burst=1.4),
}


@pytest.mark.parametrize("name", SITES)
def test_all_together_keep_to_what_a_cold_worker_bears_and_still_use_it(name: str) -> None:
    for seed in (1, 2):
        fleet = Fleet(SITES[name], seed)
        fleet.play()
        assert fleet.worst() <= 1.0
        assert len(fleet.sent) > 10  # it is not spared altogether


def test_the_bound_is_one_that_can_be_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Dispatcher, "_cold_budget_left", lambda *_: True)
    fleet = Fleet(SITES["short window"], 1)
    fleet.play()
    assert fleet.worst() > 1.0
