"""Gearman clients' jobs: who waits for each, and which unique keys are live or have lately ended.

The table covers this one process since its start. A live key is never dropped: a second submission joins the
job. An ended key is kept for ``Limits.ended_key_ttl``, as long as no more than ``Limits.ended_keys`` keys
and ``Limits.ended_key_bytes`` of results are kept; the oldest go first. A refusal is not kept, since
nothing ran. A key that has been dropped, or that another scheduler took, counts as new.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from hazellead.core.clock import Clock
from hazellead.gearman.packets import Type
from hazellead.limits import Limits

PARTS = 1000  # progress is told in thousandths

Key = tuple[bytes, bytes]  # function and unique key


class Listener(Protocol):
    """A client's connection."""

    exceptions: bool

    def send(self, number: Type, *args: bytes) -> None:
        """Write a packet; of no effect once the connection has ended."""


class Ticket:
    """One job as its Gearman clients see it; the scheduler's reply to all of them."""

    def __init__(
        self, handle: bytes, function: str, key: Key | None, background: bool,
        ended: Callable[["Ticket"], None],
    ) -> None:
        """Start as known and waiting."""
        self.handle, self.function, self.key = handle, function, key
        self.background, self._ended = background, ended
        self.number = 0  # the scheduler's, once it took the job
        self.listeners: list[Listener] = []
        self.running, self.done = False, 0  # thousandths
        self.final: tuple[Type, bytes | None] | None = None  # None too for a refusal
        self.over = False

    def join(self, listener: Listener) -> None:
        """Add a submitter and tell it how far the job is."""
        self.listeners.append(listener)
        if self.running:
            listener.send(Type.WORK_STATUS, self.handle, *self.status())

    def leave(self, listener: Listener) -> bool:
        """Drop a connection; say whether nobody waits for the job any more."""
        self.listeners = [one for one in self.listeners if one is not listener]
        return not self.listeners and not self.background and not self.over

    def status(self) -> tuple[bytes, bytes]:
        """Return numerator and denominator of the part done."""
        return b"%d" % self.done, b"%d" % PARTS

    def served(self, result: bytes) -> None:
        """Send the result."""
        self._end((Type.WORK_COMPLETE, result))

    def refused(self, retry_after: timedelta) -> None:
        """Say when to come back, then fail."""
        text = b"refused: retry after %.3f s" % max(retry_after.total_seconds(), 0.001)
        for one in self.listeners:
            one.send(Type.WORK_EXCEPTION if one.exceptions else Type.WORK_WARNING, self.handle, text)
        self._end(None)

    def failed(self, reason: str) -> None:
        """Fail."""
        self._end((Type.WORK_FAIL, None))

    def began(self) -> None:
        """Report the start, once."""
        if not self.running:
            self.running = True
            self._tell(Type.WORK_STATUS, *self.status())

    def progressed(self, share: float) -> None:
        """Report the part done."""
        self.running, self.done = True, round(min(max(share, 0.0), 1.0) * PARTS)
        self._tell(Type.WORK_STATUS, *self.status())

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Pass on what the worker says before its end."""
        if exception:
            for one in self.listeners:
                if one.exceptions:
                    one.send(Type.WORK_EXCEPTION, self.handle, data)
        else:
            self._tell(Type.WORK_WARNING if warning else Type.WORK_DATA, data)

    def replay(self, listener: Listener) -> None:
        """Send the final packet; that of a refusal is a failure."""
        number, result = self.final or (Type.WORK_FAIL, None)
        listener.send(number, self.handle, *(() if result is None else (result,)))

    def _tell(self, number: Type, *args: bytes) -> None:
        for one in self.listeners:
            one.send(number, self.handle, *args)

    def _end(self, final: tuple[Type, bytes | None] | None) -> None:
        self.final, self.over = final, True
        for one in self.listeners:
            self.replay(one)
        self.listeners = []
        self._ended(self)


@dataclass(slots=True, frozen=True)
class _Ended:
    ticket: Ticket
    at: datetime


class JobTable:
    """The live jobs, and the final outcomes of keys that have lately ended."""

    def __init__(self, name: str, limits: Limits, clock: Clock) -> None:
        """Start empty; handles carry the scheduler's name."""
        self._name, self._limits, self._clock, self._count = name.encode(), limits, clock, 0
        self.live: dict[bytes, Ticket] = {}  # by handle
        self._keys: dict[Key, Ticket] = {}
        self._ended: OrderedDict[Key, _Ended] = OrderedDict()
        self._bytes = 0

    def find(self, key: Key | None) -> Ticket | None:
        """Return the job of a key: a live one, or one whose outcome is still remembered."""
        if key is None:
            return None
        if live := self._keys.get(key):
            return live
        self._prune()
        return self._ended[key].ticket if key in self._ended else None

    def add(self, function: str, key: Key | None, background: bool) -> Ticket:
        """Start a new job."""
        self._count += 1
        ticket = Ticket(b"H:%s:%d" % (self._name, self._count), function, key, background, self._end)
        self.live[ticket.handle] = ticket
        if key:
            self._keys[key] = ticket
        return ticket

    def by_unique(self, unique: bytes) -> Ticket | None:
        """Return a live job that has this key under any function."""
        return next((t for key, t in self._keys.items() if key[1] == unique), None)

    def _end(self, ticket: Ticket) -> None:
        self.live.pop(ticket.handle, None)
        if ticket.key is None:
            return
        del self._keys[ticket.key]
        if ticket.final:
            self._ended[ticket.key] = _Ended(ticket, self._clock.now())
            self._bytes += len(ticket.final[1] or b"")
            self._prune()

    def _prune(self) -> None:
        old = self._clock.now() - self._limits.ended_key_ttl
        while self._ended and (
            len(self._ended) > self._limits.ended_keys or self._bytes > self._limits.ended_key_bytes
            or next(iter(self._ended.values())).at < old
        ):
            _, gone = self._ended.popitem(last=False)
            self._bytes -= len(gone.ticket.final[1] or b"") if gone.ticket.final else 0
