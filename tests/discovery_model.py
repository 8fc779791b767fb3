"""A model of the platform's discovery in virtual time, after the pages: turns, crowds, silence, outages.

It knows nothing of the program but the connection that a watch makes its calls on.
"""

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from tornado.iostream import StreamClosedError

from hazellead.limits import Limits
from hazellead.platform.discovery_calls import RefusedError

CONTINUES_WITHIN = 0.2  # seconds after an answer for which the next call continues a watch
NETWORK = 0.001  # seconds one way
ROUNDING = 1e-6  # seconds by which a wait may end early


class Crowd(Enum):
    """What becomes of a call that would wait for its turn for longer than the longest wait."""

    REFUSED_AT_ONCE = "refused at once"
    REFUSED_AFTER_WAIT = "refused after the longest wait"
    RESET_AFTER_WAIT = "reset after the longest wait"


class Outage(Enum):
    """What calls meet while discovery is down."""

    NO_TURN = "no turn"  # watches end with 503 at once, other calls after the longest wait
    NOBODY_LISTENS = "nobody listens"  # watches are reset, connections refused
    AGENT_SILENT = "agent silent"  # where lists are pushed: nothing is answered


@dataclass(frozen=True)
class Change:
    """One change of one server, as it was made."""

    number: int
    at: float
    uid: str
    state: str
    endpoint: str
    boot_ms: int


@dataclass
class Registry:
    """The true list of servers. Every address of discovery tells this."""

    loop: asyncio.AbstractEventLoop
    changes: list[Change] = field(default_factory=list)
    present: dict[str, Change] = field(default_factory=dict)
    moved_on: asyncio.Event = field(default_factory=asyncio.Event)

    def change(self, uid: str, state: str, *, endpoint: str = "", boot_ms: int = 0) -> Change:
        """Make one change."""
        before = self.present.get(uid)
        endpoint = endpoint or (before.endpoint if before else f"10.0.0.{len(self.changes) + 1}:80")
        made = Change(len(self.changes) + 1, self.loop.time(), uid, state, endpoint, boot_ms)
        self.changes.append(made)
        if state == "removed":
            self.present.pop(uid, None)
        else:
            self.present[uid] = made
        announced, self.moved_on = self.moved_on, asyncio.Event()
        announced.set()
        return made

    @property
    def latest(self) -> int:
        return len(self.changes)


def target(change: Change) -> dict[str, Any]:
    """Write one line of a list."""
    return {"uid": change.uid, "endpoint": change.endpoint, "az": "a", "model": "m1", "pod_group": 0,
            "state": change.state, "capacity_hint": 1.0, "boot_ms": change.boot_ms}


class Service:
    """Discovery at one address: its own versions, its own turns."""

    def __init__(
        self, registry: Registry, calls_per_s: float, *, first_version: int = 0, longest_wait: float = 2.0,
        crowd: Crowd = Crowd.REFUSED_AT_ONCE, lines_per_call: float = 0.0, pushed: bool = False,
    ) -> None:
        self.registry, self.loop = registry, registry.loop
        self.calls_per_s, self.longest_wait, self.crowd = calls_per_s, longest_wait, crowd
        self.first_version = first_version
        self.lines_per_call = lines_per_call  # lines that cost as much as a call; 0: none
        self.pushed = pushed
        self.agent_has = registry.latest  # where lists are pushed: what had come when it went down
        self.outage: Outage | None = None
        self.ends_of_outages: list[tuple[float, float]] = []  # begin and end
        self._went_down = 0.0
        self._turn_free = 0.0
        self._state_changed = asyncio.Event()
        self.connections: list[Connection] = []
        self.calls = self.refused = 0

    # Faults.

    def go_down(self, outage: Outage) -> None:
        self.outage, self._went_down = outage, self.loop.time()
        self.agent_has = self.registry.latest
        self._announce()

    def come_back(self) -> None:
        self.outage = None
        self.ends_of_outages.append((self._went_down, self.loop.time()))
        self._turn_free = self.loop.time()
        self._announce()

    def silence_watches(self) -> None:
        """Let every open watch fall silent."""
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
        """Return since when it could be reached without a break; infinity while it is down."""
        if self.outage:
            return float("inf")
        return self.ends_of_outages[-1][1] if self.ends_of_outages else 0.0

    def reached_after(self, at: float) -> float:
        """Return when, from a moment on, it could first be reached; infinity if not yet."""
        if self.outage and at >= self._went_down:
            return float("inf")
        return next((end for begin, end in self.ends_of_outages if begin <= at < end), at)

    # What a connection asks for.

    @property
    def has(self) -> int:
        """Return the number of the newest change that it can tell."""
        return self.agent_has if self.pushed and self.outage else self.registry.latest

    async def turn(self, lines: int) -> None:
        """Wait for a turn; raises what the call ends in without one."""
        began = self.loop.time()
        while True:
            if self.outage:
                await self._until_changed(began + self.longest_wait)
            else:
                start = max(self.loop.time(), self._turn_free)
                cost = 1.0 / self.calls_per_s
                if self.lines_per_call:
                    cost *= 1 + lines / self.lines_per_call
                if start + cost - began <= self.longest_wait + ROUNDING:
                    self._turn_free = start + cost
                    await asyncio.sleep(self._turn_free - self.loop.time())
                    if not self.outage:
                        return
                    continue
                if self.crowd is Crowd.REFUSED_AT_ONCE:
                    self.refused += 1
                    raise RefusedError("status 503")
                await asyncio.sleep(began + self.longest_wait - self.loop.time())
            if self.loop.time() >= began + self.longest_wait - ROUNDING:
                self.refused += 1
                if self.crowd is Crowd.RESET_AFTER_WAIT:
                    raise StreamClosedError(ConnectionResetError(104, "Connection reset by peer"))
                raise RefusedError("status 503")

    async def _until_changed(self, until: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, until - self.loop.time())):
                await self._state_changed.wait()
        except TimeoutError:
            pass

    async def until_news_or(self, until: float, index: int) -> None:
        """Wait until there is something newer than a version, a fault, or that time."""
        news, fault = self.registry.moved_on, self._state_changed
        waits = [asyncio.ensure_future(event.wait()) for event in (news, fault)]
        try:
            left = max(0.0, until - self.loop.time())
            await asyncio.wait(waits, timeout=left, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    def answer(self, index: int | None) -> dict[str, Any]:
        """Write what is newer than a version, or the whole list."""
        version = self.first_version + self.has
        if index is None:
            known = self.registry.changes[: self.has]
            present: dict[str, Change] = {}
            for change in known:
                present[change.uid] = change
            targets = [target(c) for c in present.values() if c.state != "removed"]
            return {"rev": version, "all": True, "targets": targets}
        newer: dict[str, Change] = {}
        for change in self.registry.changes[max(0, index - self.first_version): self.has]:
            newer[change.uid] = change
        return {"rev": version, "all": False, "targets": [target(c) for c in newer.values()]}


class Connection:
    """One process's connection to discovery."""

    def __init__(self, service: Service, process: "Audience") -> None:
        self.service, self.process, self.loop = service, process, service.loop
        self.last_answer: float | None = None
        self.watch_open = self.silent = self.reset = self.closed = False
        service.connections.append(self)

    @property
    def quiet(self) -> bool:
        """Say whether it is open."""
        return not self.closed

    def close(self) -> None:
        """End it."""
        self.closed, self.watch_open = True, False
        if self in self.service.connections:
            self.service.connections.remove(self)

    def fall_silent(self, since: float) -> None:
        """Answer nothing any more; the watch on it is broken."""
        self.silent, self.watch_open = True, False
        self.process.watch_fell_silent(since)

    async def ask(self, query: str) -> Any:
        """Answer one call."""
        self.service.calls += 1
        given = dict(part.split("=") for part in query.lstrip("?").split("&") if part)
        index = int(given["index"]) if "index" in given else None
        await asyncio.sleep(NETWORK)
        if self.silent:
            await asyncio.Event().wait()
        service, now = self.service, self.loop.time()
        continues = self.last_answer is not None and now - self.last_answer <= CONTINUES_WITHIN
        self.watch_open = self.watch_open and continues
        if not continues and not service.pushed:
            await service.turn(len(service.registry.present) if index is None else 0)
        await self._wait(index, float(given.get("wait", 0)) / 1000)
        answer = service.answer(index)
        self.last_answer, self.watch_open = self.loop.time(), True
        self.process.written(service, service.has, self.loop.time())
        await asyncio.sleep(NETWORK)
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
                await self._meet_outage(service.outage)
            elif index is None or service.first_version + service.has > index or (
                    self.loop.time() >= until - ROUNDING):
                return
            if not service.outage:
                await service.until_news_or(until, index or 0)

    async def _meet_outage(self, outage: Outage) -> None:
        if outage is Outage.AGENT_SILENT:
            while self.service.outage:
                await self.service._until_changed(self.loop.time() + 1000)
            if self.watch_open:  # it has stayed silent; only calls made since are answered
                self.fall_silent(self.service.ends_of_outages[-1][0])
                await asyncio.Event().wait()
            return
        self.watch_open = False
        if outage is Outage.NO_TURN:
            raise RefusedError("status 503")
        self.close()
        raise StreamClosedError(ConnectionResetError(104, "Connection reset by peer"))


class Audience:
    """What a process is told by discovery; the referee listens here."""

    def written(self, service: Service, number: int, now: float) -> None:
        """Note that an answer with all changes up to a number was written."""

    def watch_fell_silent(self, now: float) -> None:
        """Note that a watch broke without a sign."""


class Network:
    """The addresses of discovery."""

    def __init__(self) -> None:
        self.services: dict[tuple[str, int], Service] = {}

    def connector(self, process: Audience) -> Any:
        """Return what opens a process's connections."""
        async def connect(address: tuple[str, int], limits: Limits) -> Connection:
            service = self.services[address]
            await asyncio.sleep(2 * NETWORK)
            if service.outage is Outage.NOBODY_LISTENS:
                raise StreamClosedError(ConnectionRefusedError(111, "Connection refused"))
            return Connection(service, process)
        return connect
