"""A fleet of real watches and schedulers in virtual time, and a referee that knows only the pages.

The referee computes for each process and each drain or removal from when the process counts as notified, and
looks ten times a second whether it would still send to that server.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from discovery_model import Audience, Change, Network, Registry, Service, target
from virtual_loop import Timers, VirtualClock

from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api
from hazellead.limits import Limits
from hazellead.platform.config import Names
from hazellead.platform.discovery import Watch

NOTIFIED_AFTER = 6.0  # from when discovery had a change and could be reached
NOTIFIED_AFTER_MOVE = 4.0  # from new settings that name another discovery
GRACE = 0.4
STALL = 0.15  # between a scheduler's clock and its first byte
LOOK = 0.1

NAMES = Names(("a",), (), ("a",), ("m1",))
SETTINGS = api.Settings(
    classes=(api.JobClass(100_000, 5_000_000, api.Effect.UNSAFE, stretch=2.0),), dispatchers=200,
    tick_us=4000, max_attempts=3, reports=False, tells_start=True)
LIMITS = Limits.fit(1024, 192, 500, timedelta(seconds=0.25), timedelta(seconds=5))


@dataclass
class Told:
    """What one process has been told, as the pages count it."""

    started: float
    written: list[tuple[float, int]] = field(default_factory=list)  # when, and up to which change
    silent_since: float | None = None
    moved: list[float] = field(default_factory=list)  # new settings, until the new address has told its list


class Process(Audience):
    """One scheduler with its watch; ``restart`` begins it anew from the list it held."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet, self.number, self.seed = fleet, number, number + 1
        self.known: dict[str, Any] = fleet.whole_list()
        self.alive = False
        self.address = fleet.address
        self.begin()

    def begin(self) -> None:
        loop = self.fleet.loop
        self.clock = VirtualClock(loop)
        self.told = Told(loop.time())
        settings = replace(SETTINGS, must_ask=not self.fleet.pushed)
        timers: Any = Timers(loop)
        self.scheduler = Scheduler(settings, self.seed, LIMITS, self.clock, timers)
        self.watch = Watch(
            self.address, NAMES, LIMITS, self.known, self.scheduler.on_list, self.seed,
            pushed=self.fleet.pushed, clock=self.clock, connect=self.fleet.network.connector(self))
        transport: Any = _NoTransport()
        self.scheduler.connect(transport, self.watch)
        self.watch.subscribe()
        self.alive, self.seed = True, self.seed + 1000
        self.refusing_since: float | None = None

    def kill(self) -> None:
        """End it, and keep the list that it held."""
        self.known = self.watch.told(self.scheduler.workers)
        self.watch.close()
        self.alive = False

    def move(self, address: tuple[str, int]) -> None:
        """Bring new settings that name another discovery."""
        if address != self.address:
            self.address = address
            self.told.moved.append(self.fleet.loop.time())
        self.watch.move(address)

    def would_send(self, uid: str) -> bool:
        """Say whether a request could be sent to a server now."""
        number = self.watch.number(uid)
        return number is not None and self.watch.place(number) is not None and (
            self.scheduler.may_send_to(number))

    # What discovery tells it, as the referee counts.

    def written(self, service: Service, number: int, now: float) -> None:
        self.told.written.append((now, number))
        self.told.silent_since = None
        if service is self.fleet.network.services[self.address]:
            self.told.moved.clear()

    def watch_fell_silent(self, now: float) -> None:
        if self.told.silent_since is None:
            self.told.silent_since = now


class _NoTransport:
    def __getattr__(self, _: str) -> Any:
        return lambda *_: None


Gate = Callable[[Process, str], bool]


def real_gate(process: Process, uid: str) -> bool:
    """Ask the program."""
    return process.would_send(uid)


def never_listens(process: Process, uid: str) -> bool:
    """Send to every server that was ever known."""
    return True


def knows_all(process: Process, uid: str) -> bool:
    """Send to servers that are up at this moment."""
    change = process.fleet.registry.present.get(uid)
    return change is not None and change.state == "up"


@dataclass
class Verdict:
    """What the referee has seen."""

    broken: int = 0  # looks at which a process would have sent to a server of which it counts as notified
    first: str = ""
    served: int = 0  # looks at which a process could send somewhere
    looks: int = 0
    longest_gap: float = 0.0  # seconds for which a living process could send nowhere

    @property
    def share(self) -> float:
        return self.served / max(1, self.looks)


class Fleet:
    """Processes, servers and discovery, and the referee over them."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, size: int, *, calls_per_s: float | None = None,
        servers: int = 12, pushed: bool = False, gate: Gate = real_gate, **service: Any,
    ) -> None:
        """Start all processes with the present list. Without ``calls_per_s``: as many as the bench has."""
        self.loop, self.size, self.gate, self.pushed = loop, size, gate, pushed
        self.registry = Registry(loop)
        for number in range(servers):
            self.registry.change(f"s-{number}", "up")
        self.calls_per_s = calls_per_s or measured_calls_per_s(size)
        self.network, self.address = Network(), ("10.2.0.1", 8500)
        self.service = self.add_service(self.address, **service)
        self.verdict = Verdict()
        self._unreachable_at_start = 0.0
        self.processes = [Process(self, number) for number in range(size)]
        self._referee = loop.create_task(self._watch_over())

    def add_service(self, address: tuple[str, int], **given: Any) -> Service:
        """Add an address of discovery."""
        rate = given.pop("calls_per_s", self.calls_per_s)
        service = Service(self.registry, rate, pushed=self.pushed, **given)
        self.network.services[address] = service
        return service

    def whole_list(self) -> dict[str, Any]:
        """Write the list as it is, as a new process finds it in its configuration."""
        targets = [target(change) for change in self.registry.present.values()]
        return {"rev": self.registry.latest, "all": True, "targets": targets}

    def drain(self, *numbers: int) -> None:
        """Let servers drain."""
        for number in numbers:
            self.registry.change(f"s-{number}", "draining")

    def remove(self, *numbers: int) -> None:
        """Take servers out."""
        for number in numbers:
            self.registry.change(f"s-{number}", "removed")

    async def settle(self) -> None:
        """Wait until every process has its watch; service is measured from then on."""
        while not all(p.told.written for p in self.processes if p.alive):
            await asyncio.sleep(0.1)
        self.verdict = Verdict(broken=self.verdict.broken, first=self.verdict.first)

    async def end(self) -> Verdict:
        """Stop all and return the verdict."""
        self._referee.cancel()
        for process in self.processes:
            if process.alive:
                process.kill()
        await asyncio.sleep(0.01)
        return self.verdict

    # The referee.

    def notified(self, process: Process, change: Change) -> float:
        """Return from when a process counts as notified of a change, as the pages have it."""
        told, service = process.told, self.network.services[process.address]
        times = [when for when, number in told.written if number >= change.number][:1]
        counted_from = max(change.at, service.reachable_since(self.loop.time()))
        reached = max(change.at, service.reached_after(change.at))
        if told.silent_since is not None:
            times.append(max(reached, told.silent_since + NOTIFIED_AFTER))
        elif self.pushed:  # what the agent has counts, watched or not
            times.append(reached)
        if not self.pushed:
            times.append(counted_from + NOTIFIED_AFTER)
        times += [max(counted_from, moved + NOTIFIED_AFTER_MOVE) for moved in told.moved]
        return max(told.started, min(times, default=float("inf")))

    async def _watch_over(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            leaving = self._leaving()
            for process in self.processes:
                if process.alive:
                    self._judge(process, leaving)

    def _leaving(self) -> list[Change]:
        """Return, for each server that drains or is gone, the change since when it has not been up."""
        since: dict[str, Change] = {}
        for change in self.registry.changes:
            if change.state == "up":
                since.pop(change.uid, None)
            else:
                since.setdefault(change.uid, change)
        return list(since.values())

    def _judge(self, process: Process, leaving: list[Change]) -> None:
        now, verdict = self.loop.time(), self.verdict
        for change in leaving:
            if not self.gate(process, change.uid):
                continue
            told = self.notified(process, change)
            if now + STALL > told + GRACE:
                verdict.broken += 1
                verdict.first = verdict.first or (
                    f"process {process.number} at {now:.2f}: {change.uid}, {change.state} since "
                    f"{change.at:.2f}, notified {told:.2f}")
        verdict.looks += 1
        if any(self.gate(process, uid) for uid in self.registry.present):
            verdict.served += 1
            process.refusing_since = None
        else:
            process.refusing_since = now if process.refusing_since is None else process.refusing_since
            verdict.longest_gap = max(verdict.longest_gap, now - process.refusing_since)


def measured_calls_per_s(size: int) -> float:
    """Return how many opening calls discovery takes for so many processes, as plays of the bench showed."""
    return 4.0 if size < 10 else 31.0 * size / 200 if size < 200 else 31.0
