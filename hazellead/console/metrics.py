"""Counters since the start of the process, current gauges, and their text format. No I/O."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

OUTCOMES = ("success", "overload", "error")
_INVALID = re.compile(r"[^0-9A-Za-z_-]")  # characters that would end a metric's name or its line


@dataclass(slots=True, frozen=True)
class Gauges:
    """Current values, read from the parts that own them."""

    concurrent: int = 0  # jobs accepted and not ended
    targets: int = 0  # workers in the list
    targets_disabled: int = 0  # workers in the list that get no ordinary work at present


@dataclass(slots=True)
class Metrics:
    """Counters since the start of the process, updated by the scheduler and at each reload."""

    classes: dict[str, dict[str, int]] = field(default_factory=dict)
    dispatches: int = 0
    reload_success: int = 0
    reload_failure: int = 0

    def add_classes(self, names: Iterable[str]) -> None:
        """Show these job classes from now on, with zeros; classes that have counts are shown in any case."""
        for name in names:
            self.classes.setdefault(name, dict.fromkeys(OUTCOMES, 0))

    def ended(self, class_name: str, outcome: str) -> None:
        """Count the end of a job with one of ``OUTCOMES``."""
        self.add_classes([class_name])
        self.classes[class_name][outcome] += 1

    def dispatched(self) -> None:
        """Count an attempt that was written to its worker whole."""
        self.dispatches += 1

    def count_reload(self, *, accepted: bool) -> None:
        """Count a reload of the configuration, accepted or rejected."""
        if accepted:
            self.reload_success += 1
        else:
            self.reload_failure += 1

    def render(self, gauges: Gauges) -> str:
        """Return one line for each metric: name, value and kind (c for a counter, g for a gauge)."""
        counters = [(f"replies.{_INVALID.sub('_', name)}.{outcome}", value)
                    for name, counts in self.classes.items() for outcome, value in counts.items()]
        counters += [("dispatches", self.dispatches), ("reload_success", self.reload_success),
                     ("reload_failure", self.reload_failure)]
        current = [("concurrent", gauges.concurrent), ("targets", gauges.targets),
                   ("targets_disabled", gauges.targets_disabled)]
        lines = [f"svc.{name}:{value}|c\n" for name, value in counters]
        return "".join(lines + [f"svc.{name}:{value}|g\n" for name, value in current])
