"""The program's clock, and conversions between times and the dispatcher's whole microseconds."""

import time
from datetime import UTC, datetime, timedelta

EPOCH = datetime.fromtimestamp(0, UTC)
_US = timedelta(microseconds=1)


def to_us(span: timedelta) -> int:
    """Convert a duration to whole microseconds, rounded down."""
    return span // _US


def from_us(us: float) -> timedelta:
    """Convert microseconds to a duration."""
    return timedelta(microseconds=us)


class Clock:
    """Wall time that never runs backwards: read once at start, then advanced by the monotonic clock."""

    def __init__(self) -> None:
        """Read the wall clock and the monotonic clock."""
        self._wall_start, self._monotonic_start = datetime.now(UTC), time.monotonic()

    def now(self) -> datetime:
        """Return the current time."""
        return self._wall_start + timedelta(seconds=time.monotonic() - self._monotonic_start)

    def now_us(self) -> int:
        """Return the current time in microseconds since the epoch."""
        return to_us(self.now() - EPOCH)
