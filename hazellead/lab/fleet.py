"""Kinds of worker, fleets drawn from them, sizes of jobs, and the settings of a scheduler."""

import math
from dataclasses import dataclass
from random import Random

from hazellead.decide import interface as api

US = 1_000_000


@dataclass(slots=True, frozen=True)
class Kind:
    """One kind of worker: its fraction of a fleet, cores, and range of speeds (seconds of work a second)."""

    name: str
    fraction: float
    cores: int
    speed: tuple[float, float]
    queue: tuple[int, int]  # jobs that may wait, beyond those that run


# A typical fleet: two fast cores, three of medium speed, or two slow ones.
KINDS = (
    Kind("fast-2c", 0.46, 2, (1.7, 2.3), (10, 18)),
    Kind("mid-3c", 0.28, 3, (1.0, 1.4), (20, 36)),
    Kind("slow-2c", 0.26, 2, (0.68, 0.92), (13, 28)),
)


@dataclass(slots=True, frozen=True)
class WorkerSpec:
    """One worker as it was drawn. Its speed is not known to any scheduler."""

    number: int
    name: str
    zone: int
    kind: int
    cores: int
    speed: float
    queue: int
    cold_from: float = 0.12  # part of its capacity at a cold start
    warm_us: int = 24 * US
    fall_multiple: float = 4.0  # a cold worker crashes at this multiple of its present capacity
    fall_us: int = 2 * US  # period over which the work sent to a cold worker is added up

    @property
    def capacity(self) -> float:
        """Return the capacity of the warm worker in seconds of work a second."""
        return self.cores * self.speed


def draw_fleet(count: int, rng: Random, zones: int = 2, kinds: tuple[Kind, ...] = KINDS) -> list[WorkerSpec]:
    """Draw a fleet: kinds by their fractions, to the nearest worker; speeds and queues from their ranges."""
    exact_counts = [k.fraction * count for k in kinds]
    counts = [int(w) for w in exact_counts]
    for i in sorted(range(len(kinds)), key=lambda i: counts[i] - exact_counts[i])[: count - sum(counts)]:
        counts[i] += 1
    worker_kinds = [i for i, n in enumerate(counts) for _ in range(n)]
    rng.shuffle(worker_kinds)
    fleet = []
    for number, kind in enumerate(worker_kinds, start=1):
        k = kinds[kind]
        fleet.append(WorkerSpec(
            number, f"w-{number:04d}", number % zones, kind, k.cores, rng.uniform(*k.speed),
            rng.randint(*k.queue)))
    return fleet


@dataclass(slots=True, frozen=True)
class Work:
    """Distribution of the work of jobs: lognormal, in seconds at speed 1, like run times of real jobs."""

    mean_s: float = 0.22
    cv: float = 1.8
    noise: float = 0.2  # sigma of the lognormal factor of one attempt on the job's work

    def draw(self, rng: Random) -> float:
        """Return one job's work in seconds at speed 1."""
        sigma2 = math.log(1 + self.cv * self.cv)
        return rng.lognormvariate(math.log(self.mean_s) - sigma2 / 2, math.sqrt(sigma2))


TENANTS = (("emajoe-energia", 0.26), ("pohja-vesi", 0.26), ("lauka-soojus", 0.12), ("viru-gaas", 0.1),
           ("saare-elekter", 0.09), ("peipsi-vesi", 0.09), ("kuuste-soojus", 0.08))


def settings_for(
    fleet: list[WorkerSpec], work: Work, *, schedulers: int, number: int, zone: int, quota: float = 0.85,
) -> api.Settings:
    """Return a scheduler's settings; the tenants' quotas add up to ``quota`` of the fleet's capacity."""
    total = sum(w.capacity for w in fleet) / work.mean_s
    return api.Settings(
        classes=(api.JobClass(100_000, 5 * US, api.Effect.UNSAFE, stretch=2.0, late_worth=0.5),),
        tenants=tuple(api.Tenant(share, quota * share * total) for _, share in TENANTS),
        dispatchers=schedulers, number=number, zone=zone, tick_us=4000, max_attempts=3, may_probe=True,
        may_cancel=True, reports=False, tells_start=True, must_ask=True, max_retry_after_us=2 * US,
        cold_from=0.12, warm_up_us=24 * US, fall_multiple=4.0, fall_us=2 * US, probe_price=0.002,
        cross_zone_price=0.02, conn_idle_us=5 * US)
