"""Open-loop clients: arrivals drawn ahead, which wait for nobody's answers."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from hazellead.lab.fleet import TENANTS, US, Work


@dataclass(slots=True, frozen=True)
class Surge:
    """A time in which more comes: from one tenant, or from all."""

    from_s: float
    to_s: float
    factor: float
    tenant: int | None = None


@dataclass(slots=True, frozen=True)
class Heavy:
    """A time in which a part of the jobs needs many times the work."""

    from_s: float
    to_s: float
    part: float
    factor: float


@dataclass(slots=True, frozen=True)
class Arriving:
    """One job as a client will ask for it."""

    at_us: int
    identity: str
    tenant: int
    work_s: float
    heavy: bool = False


@dataclass(slots=True, frozen=True)
class Stream:
    """What comes to one scheduler: jobs a second, how that swings, and what disturbs it."""

    rate: float
    swing: float = 0.25  # of the rate, up and down
    period_s: float = 7.0
    tenants: tuple[float, ...] = tuple(share for _, share in TENANTS)
    work: Work = field(default_factory=Work)
    surges: tuple[Surge, ...] = ()
    heavy: tuple[Heavy, ...] = ()

    def draw(self, rng: Random, seconds: float, prefix: str) -> Iterator[Arriving]:
        """Draw arrivals in order: a Poisson process thinned to the rate of each moment."""
        peak = self.rate * (1 + self.swing) * max([1.0, *(s.factor for s in self.surges)])
        phase, at, number = rng.uniform(0, 2 * math.pi), 0.0, 0
        total = sum(self.tenants)
        while (at := at + rng.expovariate(peak)) < seconds:
            wave = 1 + self.swing * math.sin(2 * math.pi * at / self.period_s + phase)
            factors = [1.0] * len(self.tenants)
            for surge in self.surges:
                if surge.from_s <= at < surge.to_s:
                    factors = [f * (surge.factor if surge.tenant in (None, i) else 1)
                               for i, f in enumerate(factors)]
            weights = [share / total * f for share, f in zip(self.tenants, factors, strict=True)]
            if rng.random() * peak > self.rate * wave * sum(weights):
                continue
            number += 1
            work, heavy = self.work.draw(rng), False
            for h in self.heavy:
                if h.from_s <= at < h.to_s and rng.random() < h.part:
                    work, heavy = work * h.factor, True
            tenant = rng.choices(range(len(weights)), weights)[0]
            yield Arriving(int(at * US), f"{prefix}-{number}", tenant, work, heavy)
