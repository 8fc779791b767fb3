"""The program's clock, and the one place where times turn into the module's whole microseconds."""

import time
from datetime import UTC, datetime, timedelta

EPOCH = datetime.fromtimestamp(0, UTC)
_US = timedelta(microseconds=1)


def to_us(span: timedelta) -> int:
    """Turn a span into whole microseconds."""
    return span // _US


def span(us: float) -> timedelta:
    """Turn the module's microseconds into a span."""
    return timedelta(microseconds=us)


class Clock:
    """Wall time that never runs backwards: read once, then carried by the monotonic clock."""

    def __init__(self) -> None:
        """Read both clocks."""
        self._wall, self._from = datetime.now(UTC), time.monotonic()

    def now(self) -> datetime:
        """Return the present time."""
        return self._wall + timedelta(seconds=time.monotonic() - self._from)

    def now_us(self) -> int:
        """Return the present time as the module counts it."""
        return to_us(self.now() - EPOCH)
