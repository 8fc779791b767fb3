"""An asyncio loop in virtual time: its clock jumps to the next timer whenever no callback is ready."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Mapping
from datetime import datetime, timedelta
from typing import Any, TypeVar

from hazellead.core.clock import Clock
from hazellead.lab.time import START

T = TypeVar("T")


class _TimeSkipping(selectors.BaseSelector):
    """A selector that advances the virtual time by each timeout instead of waiting."""

    _STEP = 1e-9  # added to each timeout, so that one that rounding made too short still advances the clock

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
            assert timeout is not None, "the loop would wait for ever: no timer is pending"
            self.skipped += timeout + self._STEP if timeout > 0 else 0.0
        return ready

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._real.get_map()

    def close(self) -> None:
        self._real.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop for models without sockets; callbacks run in the same order in each run."""

    def __init__(self) -> None:
        self._skipping = _TimeSkipping()
        super().__init__(self._skipping)

    def time(self) -> float:
        return self._skipping.skipped


class VirtualClock(Clock):
    """A clock that follows a loop's virtual time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        return START + timedelta(seconds=self._loop.time())


class Timers:
    """The IOLoop methods that a scheduler uses, on an asyncio loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def add_timeout(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        return self._loop.call_later(max(0.0, delay.total_seconds()), call, *args)

    def remove_timeout(self, handle: asyncio.TimerHandle) -> None:
        handle.cancel()


def run_virtually(work: Callable[[VirtualLoop], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine to its end in virtual time, then cancel the tasks that it left."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.001))
        loop.close()
