"""Virtual time: a clock and the timers of a loop, moved by whoever owns them."""

import heapq
import itertools
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Protocol

from hazellead.core.clock import EPOCH, from_us, to_us

START = datetime.fromisoformat("2026-01-01T00:00:00+00:00")


class Timers(Protocol):
    """What a model needs of time; virtual time and a loop's adapter both have it."""

    def now_us(self) -> int:
        """Return the present time in microseconds."""

    def after(self, us: float, call: Callable[..., Any], *args: Any) -> "Timer":
        """Call back so many microseconds from now."""


class Timer:
    """One call to come; ``cancel`` keeps it from coming."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Keep what is to be called."""
        self.call: Callable[..., Any] | None = call
        self.args = args

    def cancel(self) -> None:
        """Do not call."""
        self.call, self.args = None, ()


class VirtualTime:
    """A clock and timers for any number of schedulers; calls due at one instant come in the order set."""

    def __init__(self, start: datetime = START) -> None:
        """Begin at ``start``."""
        self._us = to_us(start - EPOCH)
        self._now = start
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = itertools.count()

    def now(self) -> datetime:
        """Return the present time."""
        return self._now

    def now_us(self) -> int:
        """Return the present time as the module counts it."""
        return self._us

    def add_timeout(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Call back after a delay, as an IOLoop does."""
        return self.after(to_us(delay), call, *args)

    def remove_timeout(self, timer: Timer) -> None:
        """Take a call back."""
        timer.cancel()

    def after(self, us: float, call: Callable[..., Any], *args: Any) -> Timer:
        """Call back so many microseconds from now."""
        timer = Timer(call, args)
        heapq.heappush(self._heap, (self._us + max(0, int(us)), next(self._count), timer))
        return timer

    def run(self, delay: timedelta) -> None:
        """Let so much time pass."""
        self.run_us(to_us(delay))

    def run_us(self, us: int) -> None:
        """Let so many microseconds pass."""
        end, heap = self._us + us, self._heap
        while heap and heap[0][0] <= end:
            at, _, timer = heapq.heappop(heap)
            if timer.call is None:
                continue
            if at != self._us:
                self._us, self._now = at, EPOCH + from_us(at)
            timer.call(*timer.args)
        self._us, self._now = end, EPOCH + from_us(end)
