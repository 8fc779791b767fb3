"""Jobs that a cold worker gets from all schedulers together, simulated in virtual time.

The schedulers share nothing; each has its own part of the cold worker's budget.
"""

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
    """A deployment; times in microseconds, loads and quotas relative to the capacity of all workers."""

    schedulers: int = 25
    speeds: tuple[float, ...] = (1.0,) * 10  # of each worker's cores; the first worker restarts
    cores: int = 2
    run_us: int = 220_000  # mean run time of a job at speed 1
    fall_multiple: float = 4.0
    window_us: int = 2 * SECOND
    cold_from: float = 0.12
    warm_up_us: int = 24 * SECOND
    load: float = 0.7
    burst: float = 1.0  # multiplies the load from the restart on
    quotas: float = 0.85
    skew: float = 0.0  # standard deviation of the logarithm of the schedulers' shares of the traffic

    @property
    def capacity(self) -> float:
        """Return the jobs a second that all workers can run."""
        return sum(self.speeds) * self.cores * SECOND / self.run_us

    def settings(self) -> api.Settings:
        tenants = tuple(api.Tenant(0.5, self.capacity * self.quotas / 2) for _ in range(2))
        job = api.JobClass(100_000, 5 * SECOND, api.Effect.UNSAFE, stretch=2.0, late_worth=0.5)
        return api.Settings(
            classes=(job,), tenants=tenants, dispatchers=self.schedulers, tick_us=4000, max_attempts=3,
            reports=False, tells_start=True, cross_zone_price=0.02, cold_from=self.cold_from,
            warm_up_us=self.warm_up_us, fall_multiple=self.fall_multiple, fall_us=self.window_us)


class Fleet:
    """Dispatchers that share nothing, and workers that run their jobs in the order of arrival."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site, self.rng, self.now = site, random.Random(seed), 1000 * SECOND
        self.restart, self.end = self.now + 4 * SECOND, self.now + 14 * SECOND
        own = site.settings()
        self.dispatchers = [
            Dispatcher(replace(own, number=i), seed * 1000 + i) for i in range(site.schedulers)]
        self.inboxes: list[list[api.Event]] = [[] for _ in self.dispatchers]
        self.last_step = [0] * len(self.dispatchers)
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence, self.numbers = count(), count(1)
        self.attempts: dict[int, int] = {}
        self.free_at = [[0] * site.cores for _ in site.speeds]
        self.sent: list[int] = []  # when the restarted worker got a job
        shares = [math.exp(self.rng.gauss(0, site.skew)) for _ in self.dispatchers]
        self.rates = [site.capacity * site.load * s / sum(shares) for s in shares]

    def schedule(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.due, (int(when), next(self.sequence), act))

    def play(self) -> None:
        names = range(1, len(self.site.speeds) + 1)
        for i in range(len(self.dispatchers)):
            self.deliver(i, api.WorkerList(api.ListKind.FULL, tuple(api.WorkerEntry(w) for w in names)))
            self.schedule(self.now + self.rng.expovariate(self.rates[i]) * SECOND, lambda i=i: self.arrive(i))
            started = api.WorkerList(api.ListKind.CHANGES, (api.WorkerEntry(1, started_us=self.restart),))
            self.schedule(self.restart, lambda i=i, s=started: self.deliver(i, s))
        while self.due and self.due[0][0] < self.end:
            self.now, _, act = heapq.heappop(self.due)
            act()

    def deliver(self, i: int, event: api.Event) -> None:
        self.inboxes[i].append(event)
        if len(self.inboxes[i]) == 1:
            self.schedule(max(self.now, self.last_step[i] + 4000), lambda: self.step(i))

    def arrive(self, i: int) -> None:
        number = next(self.numbers)
        self.attempts[number] = 0
        self.deliver(i, api.Arrival(number, 0, 5 * SECOND, number % 2))
        rate = self.rates[i] * (self.site.burst if self.now >= self.restart else 1)
        self.schedule(self.now + self.rng.expovariate(rate) * SECOND, lambda: self.arrive(i))

    def step(self, i: int) -> None:
        events, self.inboxes[i], self.last_step[i] = self.inboxes[i], [], self.now
        for action in self.dispatchers[i].handle(self.now, events):
            if isinstance(action, api.Push):
                self.run(i, action)
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                self.schedule(self.now + action.after_us, lambda f=fired: self.deliver(i, f))

    def run(self, i: int, push: api.Push) -> None:
        number, worker = self.attempts[push.request], push.worker
        self.attempts[push.request] += 1
        if worker == 1 and self.now >= self.restart:
            self.sent.append(self.now)
        core = min(range(self.site.cores), key=self.free_at[worker - 1].__getitem__)
        start = max(self.now, self.free_at[worker - 1][core])
        speed = self.site.speeds[worker - 1] * (self.warmth(start) if worker == 1 else 1)
        end = start + self.rng.lognormvariate(math.log(self.site.run_us) - 0.32, 0.8) / speed
        self.free_at[worker - 1][core] = int(end)
        served = min(end, self.now + 5 * SECOND)
        outcome = api.Outcome.SERVED if served == end else api.Outcome.TIMED_OUT
        ended = api.AttemptEnded(push.request, number, worker, outcome, int(served - self.now), True)
        self.schedule(start + 500, lambda: self.deliver(i, api.JobBegan(push.request, number, worker)))
        self.schedule(served + 1000, lambda: self.deliver(i, ended))

    def warmth(self, when: float) -> float:
        """Return the part of its full capacity that the restarted worker has."""
        part = min(1.0, max(0.0, (when - self.restart) / self.site.warm_up_us))
        return self.site.cold_from + (1 - self.site.cold_from) * part if when >= self.restart else 1.0

    def worst_window(self) -> float:
        """Return the most jobs in any window, relative to the budget N plus 2 root N + 2 for chance."""
        s, window, most = self.site, deque[int](), 0.0
        for when in self.sent:
            window.append(when)
            while window[0] <= when - s.window_us:
                window.popleft()
            began = max(self.restart, when - s.window_us)
            n = s.fall_multiple * self.warmth(began) * s.speeds[0] * s.cores * s.window_us / s.run_us
            most = max(most, len(window) / (n + 2 * math.sqrt(n) + 2))
        return most


SITES = {
    "usual": Site(),
    "burst, thirty, uneven": Site(schedulers=30, burst=1.5, skew=1.0),
    "twenty, a slow one": Site(schedulers=20, speeds=(0.5, *(1.0,) * 9), load=0.9),
    "short window": Site(fall_multiple=2.5, window_us=1_500_000, load=0.9, burst=1.4),
    "long window, little room": Site(
        schedulers=30, fall_multiple=2.0, window_us=3 * SECOND, cold_from=0.3, warm_up_us=9 * SECOND, cores=5,
        run_us=150_000, speeds=(0.6, *(1.0,) * 9)),
    "over the quotas": Site(quotas=0.4, load=0.9, burst=1.4),
}


@pytest.mark.parametrize("name", SITES)
def test_schedulers_together_use_a_cold_worker_and_do_not_overload_it(name: str) -> None:
    for seed in (1, 2):
        fleet = Fleet(SITES[name], seed)
        fleet.play()
        assert fleet.worst_window() <= 1.0
        assert len(fleet.sent) > 10  # the cold worker is used


def test_without_a_cold_budget_the_bound_is_exceeded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Dispatcher, "_cold_budget_left", lambda *_: True)
    fleet = Fleet(SITES["short window"], 1)
    fleet.play()
    assert fleet.worst_window() > 1.0
