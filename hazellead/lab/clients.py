"""Open-loop clients: jobs arrive at times drawn in advance, whether or not earlier ones are answered."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from hazellead.lab.fleet import TENANTS, US, Work


@dataclass(slots=True, frozen=True)
class Surge:
    """A period in which the rate of one tenant, or of all, is multiplied by a factor."""

    start_s: float
    end_s: float
    factor: float
    tenant: int | None = None


@dataclass(slots=True, frozen=True)
class HeavyPhase:
    """A period in which a fraction of the jobs needs ``factor`` times the work."""

    start_s: float
    end_s: float
    fraction: float
    factor: float


@dataclass(slots=True, frozen=True)
class ClientJob:
    """One job that a client will submit at ``at_us`` from the start of the run."""

    at_us: int
    identity: str
    tenant: int
    work_s: float
    heavy: bool = False


@dataclass(slots=True, frozen=True)
class Stream:
    """Arrivals at one scheduler: jobs a second with a sinusoidal swing, surges and heavy phases."""

    rate: float
    swing: float = 0.25  # amplitude, as a part of the rate
    period_s: float = 7.0
    tenants: tuple[float, ...] = tuple(share for _, share in TENANTS)
    work: Work = field(default_factory=Work)
    surges: tuple[Surge, ...] = ()
    heavy: tuple[HeavyPhase, ...] = ()

    def draw(self, rng: Random, seconds: float, prefix: str) -> Iterator[ClientJob]:
        """Draw jobs in the order of arrival: a Poisson process, thinned to the rate at each moment."""
        peak = self.rate * (1 + self.swing) * max([1.0, *(s.factor for s in self.surges)])
        phase, at, number = rng.uniform(0, 2 * math.pi), 0.0, 0
        total = sum(self.tenants)
        while (at := at + rng.expovariate(peak)) < seconds:
            rate_factor = 1 + self.swing * math.sin(2 * math.pi * at / self.period_s + phase)
            factors = [1.0] * len(self.tenants)
            for surge in self.surges:
                if surge.start_s <= at < surge.end_s:
                    factors = [f * (surge.factor if surge.tenant in (None, i) else 1)
                               for i, f in enumerate(factors)]
            weights = [share / total * f for share, f in zip(self.tenants, factors, strict=True)]
            if rng.random() * peak > self.rate * rate_factor * sum(weights):
                continue
            number += 1
            work, heavy = self.work.draw(rng), False
            for h in self.heavy:
                if h.start_s <= at < h.end_s and rng.random() < h.fraction:
                    work, heavy = work * h.factor, True
            tenant = rng.choices(range(len(weights)), weights)[0]
            yield ClientJob(int(at * US), f"{prefix}-{number}", tenant, work, heavy)
