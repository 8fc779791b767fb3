"""Executes the plan of one run: starts processes, injects faults, shuts down and judges the records."""

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

from hazellead.lab.soak.clients import Client, IdleCrowd, LoadBalancer, Traffic
from hazellead.lab.soak.discovery import Discovery, FailingCalls, OutageKind, Overload
from hazellead.lab.soak.plan import (
    MAX_DEADLINE_S,
    DiscoveryTrouble,
    LeaveStep,
    Plan,
    Signals,
    SignalStep,
    Whom,
    WorkerStep,
    random_generators,
)
from hazellead.lab.soak.processes import KILL_AFTER_S, Process, Slot
from hazellead.lab.soak.records import Records
from hazellead.lab.soak.referee import Violation, judge
from hazellead.lab.soak.workers import Mode, Worker

STALL_CHECK_S = 0.005
MIN_STALL_S = 0.02  # a timer that fires this late is recorded as a stall of the test process
RESTART_PAUSE_S = 0.2
IDLE_CROWD_S = 4.0
LAST_ANSWERS_S = MAX_DEADLINE_S + 1.0  # how long clients may wait for their last answers after the shutdown
SLOW_CALLS_PER_S = 0.7
CROWDED_CALLS_PER_S = 0.4
NORMAL_CALLS_PER_S = 100.0


@dataclass(frozen=True)
class Outcome:
    """Result of one run."""

    plan: Plan
    records: Records
    violations: list[Violation]
    seconds: float
    folder: Path | None  # holds the logs and records of a run with violations

    @property
    def command(self) -> str:
        """Return the shell command that repeats the run."""
        return f"make soak SEED={self.plan.seed} RUNS=1"


class Run:
    """One run in progress: its schedulers, workers, clients, discovery service and records."""

    def __init__(self, plan: Plan, folder: Path, program: Sequence[str]) -> None:
        """Create all that takes part; ``program`` is the scheduler's command, ``folder`` takes its files."""
        self._plan, self.records = plan, Records()
        self._slots = [
            Slot(n, plan.slots, folder, self.records, program) for n in range(plan.slots)]
        self._by_name = {slot.name: slot for slot in self._slots}
        self._discovery = Discovery(self.records)
        self._workers = [Worker(f"w{n}", self.records, self._scheduler_port) for n in range(plan.workers)]
        self._load_balancer = LoadBalancer({slot.name: slot.port for slot in self._slots})
        self._traffic = Traffic(self._load_balancer, self.records, plan.leaves)
        self._faults_began_at = 0.0

    def _scheduler_port(self, identity: str) -> int:
        """Return the port of the scheduler that a request was sent to; its identity begins with the name."""
        port: int = self._by_name[identity.partition("-")[0]].port
        return port

    async def execute(self) -> None:
        """Execute the plan until all schedulers and clients have ended.

        Raises RuntimeError if a scheduler does not become ready at the start.
        """
        stall_recorder = asyncio.ensure_future(self._record_stalls())
        balancing = asyncio.ensure_future(self._load_balancer.run())
        try:
            await self._start_all()
            clients = [asyncio.ensure_future(client_run) for client_run in self._client_runs()]
            await asyncio.gather(*self._fault_steps())
            await asyncio.gather(*(self._shut_down(slot) for slot in self._slots))
            self._traffic.stopped.set()
            await asyncio.wait(clients, timeout=LAST_ANSWERS_S)
            for client in clients:
                client.cancel()
        finally:
            for task in (stall_recorder, balancing):
                task.cancel()
            await asyncio.gather(*(slot.close() for slot in self._slots))
            for worker in self._workers:
                worker.close()
            for endpoint in self._discovery.endpoints.values():
                endpoint.close()

    async def _record_stalls(self) -> None:
        """Record each span in which this process's event loop did not run; records may be late by it."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            if (late := loop.time() - due) > MIN_STALL_S:
                self.records.holdups.append((loop.time(), late))

    async def _start_all(self) -> None:
        for worker in self._workers:
            await worker.start()
            self._discovery.add(worker)
        for slot in self._slots:
            slot.discovery = await self._discovery.open_for(slot.name)
            slot.sockets = self._plan.sockets
        processes = [await slot.start() for slot in self._slots]
        if not all(await asyncio.gather(*(process.ready() for process in processes))):
            raise RuntimeError("a scheduler did not become ready")
        self._faults_began_at = asyncio.get_running_loop().time()

    def _client_runs(self) -> list[Coroutine[Any, Any, None]]:
        count = self._plan.clients
        rngs = random_generators(self._plan.seed + (1 << 32), count * len(self._slots))
        return [Client(self._traffic, rng, self._slots[n // count].name).run() for n, rng in enumerate(rngs)]

    def _fault_steps(self) -> list[Coroutine[Any, Any, None]]:
        plan = self._plan
        steps = [self._run_signal_step(step) for step in plan.signals]
        steps += [self._run_worker_step(step) for step in plan.trouble]
        steps += [self._run_leave_step(step) for step in plan.leaving]
        steps += [self._run_discovery_fault(), asyncio.sleep(plan.length)]
        if plan.failing_calls:
            steps += [self._run_failing_calls()]
        if plan.holdup:
            steps += [self._pause_repeatedly(slot) for slot in self._slots]
        if plan.idle_crowd:
            steps += [self._run_idle_crowd(slot) for slot in self._slots]
        return steps

    async def _sleep_until(self, at: float) -> None:
        """Wait until a time of the plan."""
        await asyncio.sleep(max(0.0, self._faults_began_at + at - asyncio.get_running_loop().time()))

    # Workers and discovery.

    async def _run_worker_step(self, step: WorkerStep) -> None:
        await self._sleep_until(step.at)
        worker = self._workers[step.worker]
        if worker.mode is Mode.DEAD:
            return
        if step.mode is not Mode.DEAD:
            worker.mode = step.mode
            await asyncio.sleep(step.seconds)
            if worker.mode is step.mode:
                worker.mode = Mode.SOUND
            return
        worker.crash()
        self._discovery.set_state(worker.name, "removed")
        await asyncio.sleep(step.seconds)
        await worker.restart(int(time.time() * 1000))
        self._discovery.set_state(worker.name, "up")

    async def _run_leave_step(self, step: LeaveStep) -> None:
        await self._sleep_until(step.at)
        self._discovery.set_state(self._workers[step.worker].name, step.state)

    async def _run_discovery_fault(self) -> None:
        plan, discovery = self._plan, self._discovery
        await self._sleep_until(plan.discovery_at)
        match plan.discovery:
            case DiscoveryTrouble.DOWN | DiscoveryTrouble.GONE:
                not_listening = plan.discovery is DiscoveryTrouble.GONE
                discovery.begin_outage(OutageKind.NOT_LISTENING if not_listening else OutageKind.ALL_REFUSED)
                await asyncio.sleep(plan.discovery_s)
                await discovery.end_outage()
            case DiscoveryTrouble.SILENT:
                discovery.silence_watches()
            case DiscoveryTrouble.SPOILT:
                discovery.malformed = True
            case DiscoveryTrouble.SLOW:
                discovery.calls_per_s = SLOW_CALLS_PER_S
                discovery.silence_watches()
            case DiscoveryTrouble.CROWD_AT_ONCE | DiscoveryTrouble.CROWD_WAITS:
                at_once = plan.discovery is DiscoveryTrouble.CROWD_AT_ONCE
                discovery.overload = Overload.REFUSED_AT_ONCE if at_once else Overload.REFUSED_AFTER_WAIT
                discovery.calls_per_s = CROWDED_CALLS_PER_S * len(self._slots)
                discovery.silence_watches()
            case DiscoveryTrouble.NONE:
                return
        await asyncio.sleep(plan.discovery_s)
        discovery.calls_per_s, discovery.malformed = NORMAL_CALLS_PER_S, False

    async def _run_failing_calls(self) -> None:
        """Make a share of the calls to discovery fail for a while."""
        plan, discovery = self._plan, self._discovery
        await self._sleep_until(plan.discovery_at)
        rng = random_generators(plan.seed + (2 << 32), 1)[0]
        discovery.failing_calls = FailingCalls(plan.failing_calls, rng)
        await asyncio.sleep(plan.discovery_s)
        discovery.failing_calls = None

    async def _run_idle_crowd(self, slot: Slot) -> None:
        await self._sleep_until(self._plan.crowd_at)
        self._traffic.crowded.add(slot.name)
        await IdleCrowd(slot.port, self._plan.idle_crowd).keep_open(IDLE_CROWD_S)
        self._traffic.crowded.discard(slot.name)

    async def _pause_repeatedly(self, slot: Slot) -> None:
        """Pause the processes of a scheduler by SIGSTOP for a moment, at random intervals."""
        rng = random_generators(self._plan.seed, 1)[0]
        while asyncio.get_running_loop().time() < self._faults_began_at + self._plan.length:
            await asyncio.sleep(float(rng.uniform(0.1, 0.6)))
            stopped = slot.alive
            for process in stopped:
                process.send(signal.SIGSTOP)
            await asyncio.sleep(float(rng.uniform(0.01, self._plan.holdup)))
            for process in stopped:
                process.send(signal.SIGCONT)

    # Signals.

    async def _run_signal_step(self, step: SignalStep) -> None:
        await self._sleep_until(step.at)
        if step.whom is Whom.ONE:
            await self._send_signals(self._slots[self._plan.seed % len(self._slots)], step)
        elif step.whom is Whom.ALL:
            await asyncio.gather(*(self._send_signals(slot, step) for slot in self._slots))
        else:
            for slot in self._slots:
                await self._send_signals(slot, step)
                await asyncio.sleep(step.gap)

    async def _send_signals(self, slot: Slot, step: SignalStep) -> None:
        """Send a series of signals to one scheduler and wait until it serves again."""
        if step.signals is Signals.HUP_HUP:
            slot.reload(extra_class=True)
            await asyncio.sleep(step.gap)
            slot.reload(extra_class=False)
        elif not slot.process_change.locked():  # skipped while another series is in progress there
            async with slot.process_change:
                await self._change_process(slot, slot.alive[0], step)

    async def _change_process(self, slot: Slot, old: Process, step: SignalStep) -> None:
        """Send a series of signals that ends the serving process or starts a successor."""
        match step.signals:
            case Signals.HUP_TERM:
                slot.reload(extra_class=True)
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
                await old.exited
                await self._interrupt_start(slot, step)
            case _:
                await self._replace(slot, old, step)

    async def _interrupt_start(self, slot: Slot, step: SignalStep) -> None:
        """Start a process and send it a signal before it may be ready."""
        process = await slot.start()
        await asyncio.sleep(step.gap)
        if step.signals is Signals.HUP_IN_START:
            slot.reload(extra_class=True)
            await process.ready()
            return
        process.send(signal.SIGTERM)
        await self._restart(slot)

    async def _restart(self, slot: Slot) -> None:
        """Wait until all processes of a slot have ended and start another."""
        await asyncio.gather(*(process.exited for process in slot.processes))
        await asyncio.sleep(RESTART_PAUSE_S)
        await (await slot.start()).ready()

    async def _replace(self, slot: Slot, old: Process, step: SignalStep) -> None:
        """Start a successor, disturb the hand-over as the step asks and end the old process."""
        new = await slot.start()
        if step.signals is Signals.TERM_IN_REPLACE:
            await asyncio.sleep(step.gap)
            old.send(signal.SIGTERM)
        elif step.signals in (Signals.KILL_IN_REPLACE, Signals.TERM_OF_SUCCESSOR):
            await asyncio.sleep(step.gap)
            new.send(signal.SIGKILL if step.signals is Signals.KILL_IN_REPLACE else signal.SIGTERM)
            await new.exited
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
        overlaps = self._plan.overlapping and step.signals is Signals.REPLACE_TWICE
        await (asyncio.sleep(step.gap) if overlaps else old.exited)
        if step.signals is Signals.REPLACE_TWICE:
            third = await slot.start()
            if await third.ready():
                new.send(signal.SIGTERM)
                await new.exited
        await old.exited

    async def _shut_down(self, slot: Slot) -> None:
        """Shut a scheduler down by SIGTERM; its clients send requests until the SIGKILL that follows."""
        for process in slot.alive:
            process.send(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S + RESTART_PAUSE_S)


async def run_plan(plan: Plan, program: Sequence[str], keep: Path | None = None) -> Outcome:
    """Execute one plan and judge its records; a run with violations leaves its files below ``keep``."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="hazellead-soak-") as name:
        folder = Path(name)
        run = Run(plan, folder, program)
        await run.execute()
        violations = judge(run.records)
        kept = _keep_files(plan, run.records, violations, folder, keep) if violations and keep else None
    return Outcome(plan, run.records, violations, time.monotonic() - started_at, kept)


def run_plan_sync(plan: Plan, program: Sequence[str], keep: Path | None = None) -> Outcome:
    """Execute one plan in an event loop of its own and return when it has ended; see ``run_plan``."""
    return asyncio.run(run_plan(plan, program, keep))


def isolated_executor(runs: int) -> ProcessPoolExecutor:
    """Return an executor that runs ``run_plan_sync`` up to ``runs`` times at once.

    Each run has a process of its own, so that the clients and workers of one run don't stall another's.
    """
    return ProcessPoolExecutor(runs, mp_context=multiprocessing.get_context("spawn"), max_tasks_per_child=1)


def _keep_files(
    plan: Plan, records: Records, violations: Sequence[Violation], folder: Path, keep: Path,
) -> Path:
    """Write a run's logs, plan, violations and records to a folder below ``keep`` and return it."""
    kept_folder = keep / f"seed-{plan.seed}"
    kept_folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*/log-*"):
        with suppress(OSError):
            (kept_folder / f"{log.parent.name}-{log.name}").write_bytes(log.read_bytes())
    (kept_folder / "plan.txt").write_text(f"{plan}\n")
    (kept_folder / "violations.txt").write_text("".join(f"{violation}\n" for violation in violations))
    (kept_folder / "records.json").write_text(json.dumps(records.as_dict()))
    return kept_folder
