"""A model of the platform's discovery in virtual time: call queues, overload, silent watches, outages.

It follows the platform's documentation and shares no code with the program except the interface of the
connection on which a watch makes its calls.
"""

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from tornado.iostream import StreamClosedError

from hazellead.limits import Limits
from hazellead.platform.discovery_calls import RefusedError

CONTINUES_WITHIN_S = 0.2  # after an answer, in which the next call continues a watch
NETWORK_S = 0.001  # one way
ROUNDING_S = 1e-6  # by which a wait may end early


class Overload(Enum):
    """What happens to a call that would be queued for longer than the longest wait."""

    REFUSED_AT_ONCE = "refused at once"
    REFUSED_AFTER_WAIT = "refused after the longest wait"
    RESET_AFTER_WAIT = "reset after the longest wait"


class Outage(Enum):
    """How discovery behaves while it is down."""

    NO_TURN = "no turn"  # watches end with 503 at once, other calls after the longest wait
    NOBODY_LISTENS = "nobody listens"  # watches are reset, connections refused
    AGENT_SILENT = "agent silent"  # where lists are pushed: no call is answered


@dataclass(frozen=True)
class Change:
    """One change of one server."""

    number: int
    at: float
    uid: str
    state: str
    endpoint: str
    boot_ms: int


@dataclass
class Registry:
    """The true list of servers, which every discovery service reports."""

    loop: asyncio.AbstractEventLoop
    changes: list[Change] = field(default_factory=list)
    present: dict[str, Change] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def change(self, uid: str, state: str, *, endpoint: str = "", boot_ms: int = 0) -> Change:
        """Change a server's state; returns the change."""
        before = self.present.get(uid)
        endpoint = endpoint or (before.endpoint if before else f"10.0.0.{len(self.changes) + 1}:80")
        made = Change(len(self.changes) + 1, self.loop.time(), uid, state, endpoint, boot_ms)
        self.changes.append(made)
        if state == "removed":
            self.present.pop(uid, None)
        else:
            self.present[uid] = made
        announced, self.changed = self.changed, asyncio.Event()
        announced.set()
        return made

    @property
    def latest(self) -> int:
        return len(self.changes)


def target(change: Change) -> dict[str, Any]:
    """Return a server's entry of a list, in discovery's JSON form."""
    return {"uid": change.uid, "endpoint": change.endpoint, "az": "a", "model": "m1", "pod_group": 0,
            "state": change.state, "capacity_hint": 1.0, "boot_ms": change.boot_ms}


class Service:
    """The discovery service at one address, with its own versions and its own queue of calls."""

    def __init__(
        self, registry: Registry, calls_per_s: float, *, first_version: int = 0, longest_wait: float = 2.0,
        overload: Overload = Overload.REFUSED_AT_ONCE, lines_per_call: float = 0.0, pushed: bool = False,
    ) -> None:
        self.registry, self.loop = registry, registry.loop
        self.calls_per_s, self.longest_wait, self.overload = calls_per_s, longest_wait, overload
        self.first_version = first_version
        self.lines_per_call = lines_per_call  # entries that cost as much as a call; 0: no cost
        self.pushed = pushed
        self.agent_latest = registry.latest  # where lists are pushed: the newest change when it went down
        self.outage: Outage | None = None
        self.past_outages: list[tuple[float, float]] = []  # begin and end
        self.failing_share = 0.0  # of the calls: they fail although it can be reached
        self._failure_rng = random.Random(1)
        self._went_down = 0.0
        self._turn_free = 0.0
        self._state_changed = asyncio.Event()
        self.connections: list[Connection] = []
        self.calls = self.refused = 0

    # Faults.

    def go_down(self, outage: Outage) -> None:
        self.outage, self._went_down = outage, self.loop.time()
        self.agent_latest = self.registry.latest
        self._announce()

    def come_back(self) -> None:
        self.outage = None
        self.past_outages.append((self._went_down, self.loop.time()))
        self._turn_free = self.loop.time()
        self._announce()

    def silence_watches(self) -> None:
        """Break every open watch without a sign to the client."""
        for connection in self.connections:
            if connection.watch_open:
                connection.fall_silent(self.loop.time())
        self._announce()

    def reset_watches(self) -> None:
        """Reset every open watch."""
        for connection in self.connections:
            connection.reset = connection.reset or connection.watch_open
        self._announce()

    def _announce(self) -> None:
        announced, self._state_changed = self._state_changed, asyncio.Event()
        announced.set()

    def reachable_since(self, now: float) -> float:
        """Return the time since which it has been reachable; infinity while it is down."""
        if self.outage:
            return float("inf")
        return self.past_outages[-1][1] if self.past_outages else 0.0

    def reached_after(self, at: float) -> float:
        """Return the first time from ``at`` on when it was reachable; infinity if there is none yet."""
        if self.outage and at >= self._went_down:
            return float("inf")
        return next((end for begin, end in self.past_outages if begin <= at < end), at)

    # Called by connections.

    @property
    def latest(self) -> int:
        """Number of the newest change that it can report."""
        return self.agent_latest if self.pushed and self.outage else self.registry.latest

    async def fail_some(self) -> None:
        """Fail a share of the calls, at once or late; raises RefusedError or StreamClosedError."""
        if self._failure_rng.random() >= self.failing_share:
            return
        if self._failure_rng.random() < 0.5:
            await asyncio.sleep(self._failure_rng.uniform(0.5, self.longest_wait))
        if self._failure_rng.random() < 0.5:
            raise RefusedError("status 503")
        raise StreamClosedError(ConnectionResetError(104, "Connection reset by peer"))

    async def wait_for_turn(self, lines: int) -> None:
        """Wait until the call's turn; raises RefusedError or StreamClosedError if it gets none."""
        began = self.loop.time()
        while True:
            if self.outage:
                await self._wait_for_state_change(began + self.longest_wait)
            else:
                start = max(self.loop.time(), self._turn_free)
                cost = 1.0 / self.calls_per_s
                if self.lines_per_call:
                    cost *= 1 + lines / self.lines_per_call
                if start + cost - began <= self.longest_wait + ROUNDING_S:
                    self._turn_free = start + cost
                    await asyncio.sleep(self._turn_free - self.loop.time())
                    if not self.outage:
                        return
                    continue
                if self.overload is Overload.REFUSED_AT_ONCE:
                    self.refused += 1
                    raise RefusedError("status 503")
                await asyncio.sleep(began + self.longest_wait - self.loop.time())
            if self.loop.time() >= began + self.longest_wait - ROUNDING_S:
                self.refused += 1
                if self.overload is Overload.RESET_AFTER_WAIT:
                    raise StreamClosedError(ConnectionResetError(104, "Connection reset by peer"))
                raise RefusedError("status 503")

    async def _wait_for_state_change(self, until: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, until - self.loop.time())):
                await self._state_changed.wait()
        except TimeoutError:
            pass

    async def wait_for_change(self, until: float, index: int) -> None:
        """Wait until there is a change, the service's state changes, or ``until`` has come."""
        news, fault = self.registry.changed, self._state_changed
        waits = [asyncio.ensure_future(event.wait()) for event in (news, fault)]
        try:
            left = max(0.0, until - self.loop.time())
            await asyncio.wait(waits, timeout=left, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    def answer(self, index: int | None) -> dict[str, Any]:
        """Return the changes since a version, or the whole list if it is None, in discovery's JSON form."""
        version = self.first_version + self.latest
        if index is None:
            known = self.registry.changes[: self.latest]
            present: dict[str, Change] = {}
            for change in known:
                present[change.uid] = change
            targets = [target(c) for c in present.values() if c.state != "removed"]
            return {"rev": version, "all": True, "targets": targets}
        newer: dict[str, Change] = {}
        for change in self.registry.changes[max(0, index - self.first_version): self.latest]:
            newer[change.uid] = change
        return {"rev": version, "all": False, "targets": [target(c) for c in newer.values()]}


class Connection:
    """A process's connection to discovery; implements discovery_calls.DiscoveryConnection."""

    def __init__(self, service: Service, observer: "Observer") -> None:
        self.service, self.observer, self.loop = service, observer, service.loop
        self.last_answer: float | None = None
        self.watch_open = self.silent = self.reset = self.closed = False
        service.connections.append(self)

    @property
    def quiet(self) -> bool:
        """Whether it is open."""
        return not self.closed

    def close(self) -> None:
        """Close it."""
        self.closed, self.watch_open = True, False
        if self in self.service.connections:
            self.service.connections.remove(self)

    def fall_silent(self, since: float) -> None:
        """Answer no more calls; the watch on it is broken."""
        self.silent, self.watch_open = True, False
        self.observer.watch_fell_silent(since)

    async def ask(self, query: str) -> Any:
        """Answer one call."""
        self.service.calls += 1
        parameters = dict(part.split("=") for part in query.lstrip("?").split("&") if part)
        index = int(parameters["index"]) if "index" in parameters else None
        await asyncio.sleep(NETWORK_S)
        if self.silent:
            await asyncio.Event().wait()
        await self.service.fail_some()
        service, now = self.service, self.loop.time()
        continues = self.last_answer is not None and now - self.last_answer <= CONTINUES_WITHIN_S
        self.watch_open = self.watch_open and continues
        if not continues and not service.pushed:
            await service.wait_for_turn(len(service.registry.present) if index is None else 0)
        await self._wait(index, float(parameters.get("wait", 0)) / 1000)
        answer = service.answer(index)
        self.last_answer, self.watch_open = self.loop.time(), True
        self.observer.written(service, service.latest, self.loop.time())
        await asyncio.sleep(NETWORK_S)
        return answer

    async def _wait(self, index: int | None, span: float) -> None:
        service, until = self.service, self.loop.time() + span
        while True:
            if self.reset:
                self.close()
                raise StreamClosedError(ConnectionResetError(104, "Connection reset by peer"))
            if self.silent:
                await asyncio.Event().wait()
            if service.outage:
                await self._apply_outage(service.outage)
            elif index is None or service.first_version + service.latest > index or (
                    self.loop.time() >= until - ROUNDING_S):
                return
            if not service.outage:
                await service.wait_for_change(until, index or 0)

    async def _apply_outage(self, outage: Outage) -> None:
        if outage is Outage.AGENT_SILENT:
            while self.service.outage:
                await self.service._wait_for_state_change(self.loop.time() + 1000)
            if self.watch_open:  # the call stays unanswered; only calls made since the outage are answered
                self.fall_silent(self.service.past_outages[-1][0])
                await asyncio.Event().wait()
            return
        self.watch_open = False
        if outage is Outage.NO_TURN:
            raise RefusedError("status 503")
        self.close()
        raise StreamClosedError(ConnectionResetError(104, "Connection reset by peer"))


class Observer:
    """Receives what discovery reports to one process; the referee implements it."""

    def written(self, service: Service, number: int, now: float) -> None:
        """Called when an answer with all changes up to ``number`` was written."""

    def watch_fell_silent(self, now: float) -> None:
        """Called when a watch broke without a sign to the process."""


class Network:
    """All discovery services by their address."""

    def __init__(self) -> None:
        self.services: dict[tuple[str, int], Service] = {}

    def connector(self, observer: Observer) -> Any:
        """Return a function that opens connections for a process."""
        async def connect(address: tuple[str, int], limits: Limits) -> Connection:
            service = self.services[address]
            await asyncio.sleep(2 * NETWORK_S)
            if service.outage is Outage.NOBODY_LISTENS:
                raise StreamClosedError(ConnectionRefusedError(111, "Connection refused"))
            return Connection(service, observer)
        return connect
