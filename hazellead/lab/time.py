"""Virtual time: a clock and timers that advance only when ``VirtualTime.run`` is called."""

import heapq
import itertools
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Protocol

from hazellead.core.clock import EPOCH, from_us, to_us

START = datetime.fromisoformat("2026-01-01T00:00:00+00:00")


class Timers(Protocol):
    """Clock and timers for models; implemented in virtual time and on a real event loop."""

    def now_us(self) -> int:
        """Return the present time in microseconds."""

    def after(self, us: float, call: Callable[..., Any], *args: Any) -> "Timer":
        """Call ``call`` with ``args`` after ``us`` microseconds; return its timer."""


class Timer:
    """A scheduled call, which can be cancelled."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Store the call and its arguments."""
        self.call: Callable[..., Any] | None = call
        self.args = args

    def cancel(self) -> None:
        """Cancel the call; do nothing if it has been made."""
        self.call, self.args = None, ()


class VirtualTime:
    """A clock and timers for any number of schedulers; calls due at the same time run in scheduling order."""

    def __init__(self, start: datetime = START) -> None:
        """Set the clock to ``start``."""
        self._us = to_us(start - EPOCH)
        self._now = start
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = itertools.count()

    def now(self) -> datetime:
        """Return the present time."""
        return self._now

    def now_us(self) -> int:
        """Return the present time in microseconds since the epoch."""
        return self._us

    def add_timeout(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Call ``call`` with ``args`` after a delay, like ``IOLoop.add_timeout``."""
        return self.after(to_us(delay), call, *args)

    def remove_timeout(self, timer: Timer) -> None:
        """Cancel a call, like ``IOLoop.remove_timeout``."""
        timer.cancel()

    def after(self, us: float, call: Callable[..., Any], *args: Any) -> Timer:
        """Call ``call`` with ``args`` after ``us`` microseconds; return its timer."""
        timer = Timer(call, args)
        heapq.heappush(self._heap, (self._us + max(0, int(us)), next(self._count), timer))
        return timer

    def run(self, delay: timedelta) -> None:
        """Advance by ``delay`` and make the calls that become due."""
        self.run_us(to_us(delay))

    def run_us(self, us: int) -> None:
        """Advance by ``us`` microseconds and make the calls that become due."""
        end, heap = self._us + us, self._heap
        while heap and heap[0][0] <= end:
            at, _, timer = heapq.heappop(heap)
            if timer.call is None:
                continue
            if at != self._us:
                self._us, self._now = at, EPOCH + from_us(at)
            timer.call(*timer.args)
        self._us, self._now = end, EPOCH + from_us(end)
