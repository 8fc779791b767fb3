"""What has been counted since the start, and its text. Pure."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

ENDS = ("success", "overload", "error")
_ODD = re.compile(r"[^0-9A-Za-z_-]")  # would end a name or a line of the text


@dataclass(slots=True, frozen=True)
class Gauges:
    """What holds at this moment, read where the truth is."""

    concurrent: int = 0  # jobs taken and not ended
    targets: int = 0  # workers in the list
    targets_disabled: int = 0  # those of them that get no ordinary work at present


@dataclass(slots=True)
class Figures:
    """Counts since the start of the process, told by the core and at each reload."""

    classes: dict[str, dict[str, int]] = field(default_factory=dict)
    dispatches: int = 0
    reload_success: int = 0
    reload_failure: int = 0

    def serve(self, names: Iterable[str]) -> None:
        """Show these classes from now on, and of others only what has been counted."""
        for name in names:
            self.classes.setdefault(name, dict.fromkeys(ENDS, 0))

    def ended(self, class_name: str, end: str) -> None:
        """Count one job's end, one of ``ENDS``."""
        self.serve([class_name])
        self.classes[class_name][end] += 1

    def dispatched(self) -> None:
        """Count an attempt that was written whole."""
        self.dispatches += 1

    def reloaded(self, *, taken: bool) -> None:
        """Count a file taken or turned down."""
        if taken:
            self.reload_success += 1
        else:
            self.reload_failure += 1

    def text(self, gauges: Gauges) -> str:
        """Write a line for each figure: name, value and kind."""
        counts = [(f"replies.{_ODD.sub('_', name)}.{end}", value)
                  for name, ends in self.classes.items() for end, value in ends.items()]
        counts += [("dispatches", self.dispatches), ("reload_success", self.reload_success),
                   ("reload_failure", self.reload_failure)]
        now = [("concurrent", gauges.concurrent), ("targets", gauges.targets),
               ("targets_disabled", gauges.targets_disabled)]
        lines = [f"svc.{name}:{value}|c\n" for name, value in counts]
        return "".join(lines + [f"svc.{name}:{value}|g\n" for name, value in now])
