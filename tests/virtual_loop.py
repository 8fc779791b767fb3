"""An asyncio loop in virtual time: its clock moves on whenever nothing is left to do at once."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Mapping
from datetime import datetime, timedelta
from typing import Any, TypeVar

from hazellead.core.clock import Clock
from hazellead.lab.time import START

T = TypeVar("T")


class _TimeSkipping(selectors.BaseSelector):
    """A selector that skips a wait instead of waiting."""

    _STEP = 1e-9  # past the end of each: a wait that rounding has made too short must still move the clock on

    def __init__(self) -> None:
        self._real = selectors.DefaultSelector()
        self.skipped = 0.0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._real.unregister(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._real.select(0)
        if not ready:
            assert timeout is not None, "nothing is due, ever"
            self.skipped += timeout + self._STEP if timeout > 0 else 0.0
        return ready

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._real.get_map()

    def close(self) -> None:
        self._real.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop for models without sockets; the same calls come in the same order each time."""

    def __init__(self) -> None:
        self._skipping = _TimeSkipping()
        super().__init__(self._skipping)

    def time(self) -> float:
        return self._skipping.skipped


class VirtualClock(Clock):
    """The program's clock, on a loop's virtual time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        return START + timedelta(seconds=self._loop.time())


class Timers:
    """The two calls of an IOLoop that a scheduler makes."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def add_timeout(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        return self._loop.call_later(max(0.0, delay.total_seconds()), call, *args)

    def remove_timeout(self, handle: asyncio.TimerHandle) -> None:
        handle.cancel()


def run_virtually(work: Callable[[VirtualLoop], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.001))
        loop.close()
