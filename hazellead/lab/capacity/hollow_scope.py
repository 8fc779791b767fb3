"""Sizes and seeds of a hollow measurement."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from hazellead.lab.capacity.virtual_world import Shape
from hazellead.lab.fleet import US, Work

ProgressCallback = Callable[[str], None]

@dataclass(slots=True, frozen=True)
class Scope:
    """The sizes, the seed and the progress callback of a measurement."""

    small: bool
    seed: int
    say: ProgressCallback

    def shape(self, seed: int = 0, **more: object) -> Shape:
        """Return the target's shape, or a small version of it; keyword arguments override its fields."""
        base = Shape(seed or self.seed)
        if self.small:
            base = replace(base, workers=20, slots=4, queue=8, schedulers=3, tenants=7, starts=12.0,
                           work=Work(5.0, 0.3, 0.0), normal_aim_us=2 * US, deadline_us=60 * US)
        return replace(base, **more)  # type: ignore[arg-type]

    @property
    def seeds(self) -> list[int]:
        """Return the seeds of a run's repetitions."""
        return [self.seed, self.seed + 1, self.seed + 2]
