"""Plays one run: starts everything, brings the drawn trouble about, ends it and has it judged."""

import asyncio
import json
import multiprocessing
import signal
import tempfile
import time
from collections.abc import Coroutine, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hazellead.lab.soak.clients import Client, Front, IdleCrowd, Traffic
from hazellead.lab.soak.discovery import Crowd, Discovery, Down
from hazellead.lab.soak.plan import (
    LONGEST_S,
    DiscoveryTrouble,
    LeaveStep,
    Plan,
    Signals,
    SignalStep,
    Whom,
    WorkerStep,
    streams,
)
from hazellead.lab.soak.processes import KILL_AFTER_S, Process, Slot
from hazellead.lab.soak.records import Records
from hazellead.lab.soak.referee import Violation, judge
from hazellead.lab.soak.workers import Mode, Worker

HOLDUP_LOOK_S = 0.005
HOLDUP_S = 0.02  # lateness of a timer that counts as a hold-up of the stand-ins
RESTART_PAUSE_S = 0.2
CROWD_S = 4.0
AFTER_S = LONGEST_S + 1.0  # for the last answers
SLOW_CALLS_PER_S = 0.7
CROWDED_CALLS_PER_S = 0.4
FULL_CALLS_PER_S = 100.0


@dataclass(frozen=True)
class Outcome:
    """What came of one run."""

    plan: Plan
    records: Records
    violations: list[Violation]
    seconds: float
    folder: Path | None  # what is kept of a run with violations

    @property
    def command(self) -> str:
        """Return what plays it again."""
        return f"make soak SEED={self.plan.seed} RUNS=1"


class Run:
    """One run under way."""

    def __init__(self, plan: Plan, folder: Path, program: Sequence[str]) -> None:
        """Hold what takes part."""
        self._plan, self.records = plan, Records()
        self._slots = [
            Slot(n, plan.slots, folder, self.records, program) for n in range(plan.slots)]
        self._by_name = {slot.name: slot for slot in self._slots}
        self._discovery = Discovery(self.records)
        self._workers = [Worker(f"w{n}", self.records, self._port_of) for n in range(plan.workers)]
        self._front = Front({slot.name: slot.port for slot in self._slots})
        self._traffic = Traffic(self._front, self.records, plan.leaves)
        self._began = 0.0

    def _port_of(self, identity: str) -> int:
        port: int = self._by_name[identity.partition("-")[0]].port
        return port

    async def play(self) -> None:
        """Play it to its end."""
        watching = asyncio.ensure_future(self._watch_holdups())
        fronting = asyncio.ensure_future(self._front.run())
        try:
            await self._begin()
            clients = [asyncio.ensure_future(work) for work in self._clients()]
            await asyncio.gather(*self._steps())
            await asyncio.gather(*(self._end(slot) for slot in self._slots))
            self._traffic.stopped.set()
            await asyncio.wait(clients, timeout=AFTER_S)
            for client in clients:
                client.cancel()
        finally:
            for task in (watching, fronting):
                task.cancel()
            await asyncio.gather(*(slot.close() for slot in self._slots))
            for worker in self._workers:
                worker.close()
            for door in self._discovery.doors.values():
                door.close()

    async def _watch_holdups(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + HOLDUP_LOOK_S
            await asyncio.sleep(HOLDUP_LOOK_S)
            if (late := loop.time() - due) > HOLDUP_S:
                self.records.holdups.append((loop.time(), late))

    async def _begin(self) -> None:
        for worker in self._workers:
            await worker.begin()
            self._discovery.add(worker)
        for slot in self._slots:
            slot.discovery = await self._discovery.open_for(slot.name)
            slot.sockets = self._plan.sockets
        processes = [await slot.start() for slot in self._slots]
        if not all(await asyncio.gather(*(process.ready() for process in processes))):
            raise RuntimeError("a scheduler did not become ready")
        self._began = asyncio.get_running_loop().time()

    def _clients(self) -> list[Coroutine[Any, Any, None]]:
        count = self._plan.clients
        rngs = streams(self._plan.seed + (1 << 32), count * len(self._slots))
        return [Client(self._traffic, rng, self._slots[n // count].name).run() for n, rng in enumerate(rngs)]

    def _steps(self) -> list[Coroutine[Any, Any, None]]:
        plan = self._plan
        steps = [self._signals(step) for step in plan.signals]
        steps += [self._trouble(step) for step in plan.trouble]
        steps += [self._leave(step) for step in plan.leaving]
        steps += [self._discovery_trouble(), asyncio.sleep(plan.length)]
        if plan.holdup:
            steps += [self._hold_up(slot) for slot in self._slots]
        if plan.idle_crowd:
            steps += [self._crowd(slot) for slot in self._slots]
        return steps

    async def _at(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._began + at - asyncio.get_running_loop().time()))

    # Workers and discovery.

    async def _trouble(self, step: WorkerStep) -> None:
        await self._at(step.at)
        worker = self._workers[step.worker]
        if worker.mode is Mode.DEAD:
            return
        if step.mode is not Mode.DEAD:
            worker.mode = step.mode
            await asyncio.sleep(step.seconds)
            if worker.mode is step.mode:
                worker.mode = Mode.SOUND
            return
        worker.die()
        self._discovery.change(worker.name, "removed")
        await asyncio.sleep(step.seconds)
        await worker.come_back(int(time.time() * 1000))
        self._discovery.change(worker.name, "up")

    async def _leave(self, step: LeaveStep) -> None:
        await self._at(step.at)
        self._discovery.change(self._workers[step.worker].name, step.state)

    async def _discovery_trouble(self) -> None:
        plan, discovery = self._plan, self._discovery
        await self._at(plan.discovery_at)
        match plan.discovery:
            case DiscoveryTrouble.DOWN | DiscoveryTrouble.GONE:
                gone = plan.discovery is DiscoveryTrouble.GONE
                discovery.go_down(Down.NOBODY_LISTENS if gone else Down.NO_TURN)
                await asyncio.sleep(plan.discovery_s)
                await discovery.come_back()
            case DiscoveryTrouble.SILENT:
                discovery.silence_watches()
            case DiscoveryTrouble.SPOILT:
                discovery.spoilt = True
            case DiscoveryTrouble.SLOW:
                discovery.calls_per_s = SLOW_CALLS_PER_S
                discovery.silence_watches()
            case DiscoveryTrouble.CROWD_AT_ONCE | DiscoveryTrouble.CROWD_WAITS:
                at_once = plan.discovery is DiscoveryTrouble.CROWD_AT_ONCE
                discovery.crowd = Crowd.REFUSED_AT_ONCE if at_once else Crowd.REFUSED_AFTER_WAIT
                discovery.calls_per_s = CROWDED_CALLS_PER_S * len(self._slots)
                discovery.silence_watches()
            case DiscoveryTrouble.NONE:
                return
        await asyncio.sleep(plan.discovery_s)
        discovery.calls_per_s, discovery.spoilt = FULL_CALLS_PER_S, False

    async def _crowd(self, slot: Slot) -> None:
        await self._at(self._plan.crowd_at)
        self._traffic.crowded.add(slot.name)
        await IdleCrowd(slot.port, self._plan.idle_crowd).hold(CROWD_S)
        self._traffic.crowded.discard(slot.name)

    async def _hold_up(self, slot: Slot) -> None:
        """Stop the processes of a scheduler for a moment, again and again."""
        rng = streams(self._plan.seed, 1)[0]
        while asyncio.get_running_loop().time() < self._began + self._plan.length:
            await asyncio.sleep(float(rng.uniform(0.1, 0.6)))
            stopped = slot.alive
            for process in stopped:
                process.send(signal.SIGSTOP)
            await asyncio.sleep(float(rng.uniform(0.01, self._plan.holdup)))
            for process in stopped:
                process.send(signal.SIGCONT)

    # Signals.

    async def _signals(self, step: SignalStep) -> None:
        await self._at(step.at)
        if step.whom is Whom.ONE:
            await self._series(self._slots[self._plan.seed % len(self._slots)], step)
        elif step.whom is Whom.ALL:
            await asyncio.gather(*(self._series(slot, step) for slot in self._slots))
        else:
            for slot in self._slots:
                await self._series(slot, step)
                await asyncio.sleep(step.gap)

    async def _series(self, slot: Slot, step: SignalStep) -> None:
        """Send a series of signals to one scheduler; it serves again at the end."""
        if step.signals is Signals.HUP_HUP:
            slot.reload(more=True)
            await asyncio.sleep(step.gap)
            slot.reload(more=False)
        elif not slot.changing.locked():  # else another series is under way there
            async with slot.changing:
                await self._change(slot, slot.alive[0], step)

    async def _change(self, slot: Slot, old: Process, step: SignalStep) -> None:
        """Send a series of signals that ends the process that serves, or brings another into service."""
        match step.signals:
            case Signals.HUP_TERM:
                slot.reload(more=True)
                old.send(signal.SIGTERM)
                await self._restart(slot)
            case Signals.TERM | Signals.TERM_TERM:
                old.send(signal.SIGTERM)
                if step.signals is Signals.TERM_TERM:
                    await asyncio.sleep(step.gap)
                    old.send(signal.SIGTERM)
                await self._restart(slot)
            case Signals.KILL:
                old.send(signal.SIGKILL)
                await self._restart(slot)
            case Signals.HUP_IN_START | Signals.TERM_IN_START:
                old.send(signal.SIGTERM)
                await old.watching
                await self._disturbed_start(slot, step)
            case _:
                await self._replace(slot, old, step)

    async def _disturbed_start(self, slot: Slot, step: SignalStep) -> None:
        process = await slot.start()
        await asyncio.sleep(step.gap)
        if step.signals is Signals.HUP_IN_START:
            slot.reload(more=True)
            await process.ready()
            return
        process.send(signal.SIGTERM)
        await self._restart(slot)

    async def _restart(self, slot: Slot) -> None:
        await asyncio.gather(*(process.watching for process in slot.processes))
        await asyncio.sleep(RESTART_PAUSE_S)
        await (await slot.start()).ready()

    async def _replace(self, slot: Slot, old: Process, step: SignalStep) -> None:
        new = await slot.start()
        if step.signals is Signals.TERM_IN_REPLACE:
            await asyncio.sleep(step.gap)
            old.send(signal.SIGTERM)
        elif step.signals in (Signals.KILL_IN_REPLACE, Signals.TERM_OF_SUCCESSOR):
            await asyncio.sleep(step.gap)
            new.send(signal.SIGKILL if step.signals is Signals.KILL_IN_REPLACE else signal.SIGTERM)
            await new.watching
            return
        elif step.signals is Signals.KILL_OF_OLD:
            await asyncio.sleep(step.gap)
            old.send(signal.SIGKILL)
        elif step.signals is Signals.HUP_OF_BOTH:
            await asyncio.sleep(step.gap)
            old.send(signal.SIGHUP)
            new.send(signal.SIGHUP)
        if not await new.ready():
            if not slot.alive:
                await self._restart(slot)
            return
        old.send(signal.SIGTERM)
        await old.watching
        if step.signals is Signals.REPLACE_TWICE:
            third = await slot.start()
            if await third.ready():
                new.send(signal.SIGTERM)
                await new.watching

    async def _end(self, slot: Slot) -> None:
        """End a scheduler as planned; its clients go on to the kill."""
        for process in slot.alive:
            process.send(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S + RESTART_PAUSE_S)


async def play(plan: Plan, program: Sequence[str], keep: Path | None = None) -> Outcome:
    """Play one run and judge it; what a run with violations leaves is kept in ``keep``."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="hazellead-soak-") as name:
        folder = Path(name)
        run = Run(plan, folder, program)
        await run.play()
        violations = judge(run.records)
        kept = _keep(plan, run.records, violations, folder, keep) if violations and keep else None
    return Outcome(plan, run.records, violations, time.monotonic() - began, kept)


def play_here(plan: Plan, program: Sequence[str], keep: Path | None = None) -> Outcome:
    """Play one run in this process."""
    return asyncio.run(play(plan, program, keep))


def apart(runs: int) -> ProcessPoolExecutor:
    """Return what plays so many runs side by side with ``play_here``.

    Each has a process of its own: the stand-ins of one run are not held up by another's.
    """
    return ProcessPoolExecutor(runs, mp_context=multiprocessing.get_context("spawn"), max_tasks_per_child=1)


def _keep(
    plan: Plan, records: Records, violations: Sequence[Violation], folder: Path, keep: Path,
) -> Path:
    """Copy the logs and write the records of a run."""
    kept = keep / f"seed-{plan.seed}"
    kept.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*/log-*"):
        with suppress(OSError):
            (kept / f"{log.parent.name}-{log.name}").write_bytes(log.read_bytes())
    (kept / "plan.txt").write_text(f"{plan}\n")
    (kept / "violations.txt").write_text("".join(f"{violation}\n" for violation in violations))
    (kept / "records.json").write_text(json.dumps(records.written()))
    return kept
