"""A cluster on loopback: real scheduler processes with simulated workers, clients and discovery.

Every scheduler, worker, console and discovery endpoint has its own address in 127.0.0.0/8. The resource use
of a scheduler process is read from /proc; its messages are counted by the simulated processes it talks to.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from hazellead.lab.capacity.hollow_counts import (
    Counts,
    HollowProcess,
    Table,
    merged,
    open_connection,
    subtract,
)
from hazellead.lab.capacity.hollow_discovery import Discovery
from hazellead.lab.checker import RuleChecker
from hazellead.net import http

ROOT = Path(__file__).parents[3]
ZONES = ("north-1", "north-2", "north-3", "south-1", "south-2", "south-3")
ZONES_PER_REGION = 3  # the first three zones are the northern region
KINDS = ("accelerator", "plain")
AIM_S = {"task": 60.0, "urgent": 1.0}
PROCESS_TIMEOUT_S = 10.0  # for a process to become ready, or to exit
CALL_TIMEOUT_S = 0.5  # for one call to a console or to /up
SAMPLE_INTERVAL_S = 1.0  # between samples of memory and descriptors
SCRAPE_INTERVAL_S = 5.0  # between scrapes of a console, as an operator's monitoring does
SHUTDOWN_TIMEOUT_S = 3.0  # for a process to exit before it is killed


@dataclass(slots=True, frozen=True)
class Size:
    """The size of a cluster and the load that its clients generate."""

    schedulers: int = 9
    workers: int = 490
    slots: int = 10  # of each worker
    queue: int = 10  # jobs that may wait at each worker
    tenants: int = 91
    running: int = 4200
    task_s: float = 150.0  # mean; each task is within 20 % of it
    urgent: float = 0.1  # share of the tasks in the urgent class
    deadline_s: float = 600.0
    quota: float = 0.0  # starts a second of all tenants; 0: twice the throughput of all slots
    sockets: int = 2048  # of each scheduler
    memory_mb: int = 64
    worker_processes: int = 4
    client_processes: int = 2

    @property
    def starts(self) -> float:
        """Return the starts a second that keep ``running`` tasks running, by Little's law."""
        return self.running / self.task_s

    def as_sizes(self) -> dict[str, float]:
        """Return the sizes that are stored with a run."""
        return {"schedulers": self.schedulers, "workers": self.workers, "slots": self.slots,
                "tenants": self.tenants, "running": self.running, "starts": round(self.starts, 3),
                "task_s": self.task_s, "deadline_s": self.deadline_s, "urgent": self.urgent,
                "sockets": self.sockets, "memory_mb": self.memory_mb}


def settings(size: Size, number: int) -> dict[str, Any]:
    """Return a scheduler's settings; by default the quotas are too large to limit the load."""
    quota = (size.quota or 2 * size.workers * size.slots / size.task_s) / size.tenants
    return {
        "azs": list(ZONES), "kinds": list(KINDS), "zone": number % len(ZONES), "siblings": size.schedulers,
        "myNumber": number, "tickUs": 4000, "membershipMode": "subscribe",
        "caps": {"maxAttempts": 3, "probes": True, "cancelling": True, "connectTimeoutUs": 250_000,
                 "connIdleUs": 15_000_000, "maxRetryAfterUs": 2_000_000, "mostHeld": 20_000},
        "invariants": {"drainGraceUs": 400_000, "coldFrom": 0.12, "warmUpUs": 24_000_000, "fallMultiple": 4.0,
                       "fallUs": 2_000_000},
        "prices": {"crossZone": 0.02, "probe": 0.002}, "report": {"via": "silent"},
        "specifics": {"tellsStart": True, "classStretch": [1.0, 1.0]},
        "requestClasses": [job_class(name, aim, size.deadline_s) for name, aim in AIM_S.items()],
        "tenants": [{"name": f"team-{i:03d}", "portion": 1 / size.tenants, "quotaPerS": quota}
                    for i in range(size.tenants)]}


def job_class(name: str, aim_s: float, deadline_s: float) -> dict[str, Any]:
    """Return the settings of a single-shot class, whose jobs wait only as long as their start aim allows."""
    return {"name": name, "aimUs": int(aim_s * 1e6), "hardLimitUs": int(deadline_s * 1e6),
            "effect": "single_shot"}


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


async def _call(to: tuple[str, int], method: str, target: str) -> tuple[int, bytes, int, int]:
    """Make one call; return status, body, bytes sent and bytes received. Raises OSError or TimeoutError."""
    async with asyncio.timeout(CALL_TIMEOUT_S):
        line = await open_connection(to)
        try:
            data = http.request(method, target, "operator", {"Connection": "close"})
            message, size = await line.send_request(data)
            return message.status, message.body, len(data), size
        finally:
            line.transport.abort()


class SchedulerProcess:
    """One scheduler process of the cluster."""

    def __init__(self, cluster: "Cluster", number: int, console: tuple[str, int], config: Path) -> None:
        """Prepare the process; ``start`` starts it."""
        self.number, self.name, self.console, self._config = number, f"n{number}", console, config
        self._cluster = cluster
        self.process: asyncio.subprocess.Process

    async def start(self) -> float:
        """Start the process and wait until it is ready; return the seconds taken. Raises RuntimeError."""
        started = time.monotonic()
        with (self._cluster.folder / f"log-{self.name}").open("ab") as errors:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "hazellead", cwd=ROOT, stderr=errors, stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                env={"GW_CONFIG": str(self._config), "TMPDIR": str(self._cluster.folder / self.name)})
        self._cluster.register_process(self.process)
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() - started > PROCESS_TIMEOUT_S:
                raise RuntimeError(f"{self.name} did not come up: {self._cluster.last_log_line(self.name)}")
            await asyncio.sleep(0.02)
        return time.monotonic() - started

    async def is_ready(self) -> bool:
        """Return whether the console reports that the scheduler accepts clients."""
        with suppress(OSError, TimeoutError):
            return (await _call(self.console, "GET", "/admin/health"))[0] == 200
        return False

    async def stats(self, kind: str = "console") -> dict[str, float]:
        """Return the console's metrics, {} if it does not answer; the call is counted as ``kind``."""
        with suppress(OSError, TimeoutError):
            status, body, sent, received = await _call(self.console, "GET", "/admin/stats")
            self._cluster.counts.note(self.name, kind, inward=True, size=sent)
            self._cluster.counts.note(self.name, kind, inward=False, size=received, body=len(body))
            if status == 200:
                rows = [line.removeprefix("svc.").partition("|")[0].partition(":")[::2]
                        for line in body.decode().splitlines()]
                return {name: float(value) for name, value in rows}
        return {}

    def cpu_s(self) -> float:
        """Return the processor time of all its threads since its start, in seconds."""
        total = 0
        for task in Path(f"/proc/{self.process.pid}/task").iterdir():
            with suppress(OSError):
                total += int((task / "schedstat").read_text().split()[0])
        return total / 1e9

    def memory_mb(self) -> float:
        """Return the resident memory in MB of 2**20 bytes."""
        rows = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(row.split()[1]) for row in rows if row.startswith("VmRSS:")) / 1024

    def descriptors(self) -> int:
        """Return the number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def stop(self, number: signal.Signals) -> float:
        """Send a signal and wait for the exit; return the seconds taken."""
        started = time.monotonic()
        self.process.send_signal(number)
        await asyncio.wait_for(self.process.wait(), PROCESS_TIMEOUT_S)
        return time.monotonic() - started


@dataclass(slots=True)
class Usage:
    """Resources that one scheduler process used in a time window, and its traffic by kind of message."""

    seconds: float = 0.0
    cpu: float = 0.0  # share of a core
    memory_mb: float = 0.0  # peak
    descriptors: int = 0  # peak
    kinds: dict[str, list[int]] = field(default_factory=dict)  # rows of hollow_counts.Table

    def message_rates(self, *kinds: str) -> tuple[float, float]:
        """Return the messages a second to and from the scheduler, of these kinds or of all."""
        return self._rate(0, kinds), self._rate(3, kinds)

    def byte_rates(self, *kinds: str) -> tuple[float, float]:
        """Return the bytes a second to and from the scheduler, of these kinds or of all."""
        return self._rate(1, kinds), self._rate(4, kinds)

    def body_byte_rates(self, *kinds: str) -> tuple[float, float]:
        """Return the body bytes a second to and from the scheduler; for ``done`` those of the result."""
        return self._rate(2, kinds), self._rate(5, kinds)

    def _rate(self, at: int, kinds: tuple[str, ...]) -> float:
        return sum(row[at] for kind, row in self.kinds.items() if not kinds or kind in kinds) / self.seconds

    def control_byte_rate(self) -> float:
        """Return the bytes a second of control traffic in both directions.

        Control is all traffic except clients' requests and answers, pushed bodies and returned results: the
        heads of pushes, call-backs, the watch, probes, cancellations and the console. Calls that the
        measurement itself makes are not counted.
        """
        total = 0.0
        for kind in self.kinds:
            if kind not in ("request", "up", "look"):
                payload = sum(self.body_byte_rates(kind)) if kind in ("push", "done") else 0.0
                total += sum(self.byte_rates(kind)) - payload
        return total


@dataclass(slots=True)
class TaskRecord:
    """One task, or one retry under a new id, as its client recorded it."""

    identity: str
    scheduler: str
    job_class: str
    tenant: str
    work_s: float
    phase: str
    submitted_ns: int
    written_ns: int  # when written to a connection; 0: not written
    ended_ns: int
    end: str  # outcome; empty while the task is open

    def open_at(self, at_ns: int) -> bool:
        """Return whether the task was open at a time."""
        return self.submitted_ns < at_ns and (not self.end or self.ended_ns > at_ns)


@dataclass(slots=True)
class History:
    """What clients and workers recorded since the last collection."""

    rows: list[TaskRecord] = field(default_factory=list)
    starts: dict[str, list[int]] = field(default_factory=dict)  # start times in ns by id
    executions: list[tuple[int, str, str]] = field(default_factory=list)  # time in ns, id, worker

    def started_twice(self) -> int:
        """Return the number of ids that were started more than once."""
        return sum(len(times) > 1 for times in self.starts.values())


class Cluster:
    """A cluster on loopback; an asynchronous context manager that starts and stops its processes."""

    def __init__(
        self, size: Size, seed: int, track: Callable[[int], None], block: int = 0,
    ) -> None:
        """Prepare the cluster; ``block`` (0 to 99) separates the addresses of concurrent clusters."""
        self.size, self.seed, self._track, self._block = size, seed, track, block
        self._directory = tempfile.TemporaryDirectory(prefix="hazellead-capacity-")
        self.folder = Path(self._directory.name)
        self.counts, self.checker = Counts(), RuleChecker()
        self.discovery = Discovery()
        self.workers: list[HollowProcess] = []
        self.clients: list[HollowProcess] = []
        self.schedulers: dict[str, SchedulerProcess] = {}  # the active process of each name
        self.names = [f"n{i}" for i in range(size.schedulers)]
        self.zones = {f"w-{block:02d}-{i:04d}": i % len(ZONES) for i in range(size.workers)}
        self._listen: dict[str, tuple[str, int]] = {}
        self._discovery_addresses: dict[str, tuple[str, int]] = {}
        self._endpoints: dict[str, dict[str, str]] = {name: {} for name in self.names}
        self._settings: dict[str, dict[str, Any]] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        self._config_count = 0

    # Start and stop.

    async def __aenter__(self) -> "Cluster":
        """Start all processes and wait until every scheduler knows every worker."""
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        await self._stop()

    def register_process(self, process: asyncio.subprocess.Process) -> None:
        """Register a process, so that it is stopped with the cluster."""
        self._processes.append(process)
        self._track(process.pid)

    async def _start(self) -> None:
        size, block = self.size, self._block
        for number, name in enumerate(self.names):
            host = f"127.1.{block}.{number + 1}"
            self._listen[name] = host, _free_port(host)
            discovery_host = f"127.3.{block}.{number + 1}"
            self._discovery_addresses[name] = discovery_host, self.discovery.open_for(name, discovery_host)
            self._settings[name] = settings(size, number)
            (self.folder / name).mkdir()
        for group, module, count in (
                (self.workers, "hollow_workers", size.worker_processes),
                (self.clients, "hollow_clients", size.client_processes)):
            for _ in range(count):
                hollow = await HollowProcess.start(module)
                group.append(hollow)
                self.register_process(hollow.process)
        rows = [{"number": i, "name": name, "zone": zone, "slots": size.slots, "queue": size.queue,
                 "address": f"127.{10 + block}.{i // 250}.{i % 250 + 1}"}
                for i, (name, zone) in enumerate(self.zones.items())]
        opened = await asyncio.gather(*(
            hollow.ask("open", workers=rows[i::len(self.workers)], backs=self._listen, seed=self.seed)
            for i, hollow in enumerate(self.workers)))
        for endpoints in opened:
            for name in self.names:
                self._endpoints[name] |= endpoints[name]
                self.discovery.watch_servers[name].endpoints |= endpoints[name]
        self.discovery.set([
            (name, ZONES[zone], KINDS[i % len(KINDS)], i // 4, "up")
            for i, (name, zone) in enumerate(self.zones.items())])
        for i, hollow in enumerate(self.clients):
            await hollow.ask(
                "plan", schedulers=self._listen, tenants=[f"team-{i:03d}" for i in range(size.tenants)],
                urgent=size.urgent, deadline_s=size.deadline_s, prefix=f"{self._block:02d}{i}",
                seed=self.seed)
        for number, name in enumerate(self.names):
            self.schedulers[name] = self.prepare_process(number)
        await asyncio.gather(*(s.start() for s in self.schedulers.values()))
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            for scheduler in self.schedulers.values():
                while (await scheduler.stats()).get("targets") != size.workers or (
                        "watch" not in self.discovery.counts.table.get(scheduler.name, {})):
                    await asyncio.sleep(0.05)

    async def _stop(self) -> None:
        for process in self._processes:
            if process.stdin:
                process.stdin.close()  # a simulated process exits when its input ends
            elif process.returncode is None:
                process.kill()
        with suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await asyncio.gather(*(p.wait() for p in self._processes))
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(p.wait() for p in self._processes))
        self.discovery.close()
        self._directory.cleanup()

    def prepare_process(self, number: int) -> SchedulerProcess:
        """Return a new process for a scheduler, with its own console address; the caller starts it."""
        name = self.names[number]
        self._config_count += 1
        host = f"127.2.{self._block}.{number + 1}"
        console = host, _free_port(host)
        path = self.folder / f"{name}-{self._config_count}.json"
        process = SchedulerProcess(self, number, console, path)
        self._write_config(name, process)
        return process

    def _write_config(self, name: str, process: SchedulerProcess) -> None:
        def endpoint(address: tuple[str, int]) -> str:
            return f"{address[0]}:{address[1]}"

        fresh = process._config.with_suffix(".fresh")
        fresh.write_text(json.dumps({
            "name": name, "listen": endpoint(self._listen[name]), "console": endpoint(process.console),
            "discovery": endpoint(self._discovery_addresses[name]),
            "seed": f"{self.seed * 100 + process.number:x}",
            "settings": self._settings[name],
            # Without a known list, a scheduler does not ask discovery before its first job.
            "known": json.loads(self.discovery.list_json(None, self._endpoints[name])),
            "limits": {"sockets": self.size.sockets, "memory_mb": self.size.memory_mb}}))
        fresh.replace(process._config)

    def last_log_line(self, name: str) -> str:
        """Return the last line of a scheduler's log, cut to 300 characters."""
        with suppress(OSError, IndexError):
            return (self.folder / f"log-{name}").read_text().splitlines()[-1][:300]
        return "nothing was logged"

    def count_logged(self, event: str) -> int:
        """Return how often all schedulers together have logged an event."""
        return sum(path.read_text().count(f"event={event} ") for path in self.folder.glob("log-*"))

    # Actions.

    async def reconfigure(self, change: Callable[[dict[str, Any]], None]) -> None:
        """Change every scheduler's settings as operators do: replace the file, then send SIGHUP."""
        for name, process in self.schedulers.items():
            change(self._settings[name])
            self._write_config(name, process)
            process.process.send_signal(signal.SIGHUP)

    async def up(self, name: str) -> int:
        """Call /up as the load balancer does; return the status, 0 without an answer."""
        with suppress(OSError, TimeoutError):
            status, _, sent, received = await _call(self._listen[name], "GET", "/up")
            self.counts.note(name, "up", inward=True, size=sent)
            self.counts.note(name, "up", inward=False, size=received)
            return status
        return 0

    async def admit(self, name: str, *, admitted: bool) -> None:
        """Make the simulated load balancer send clients to a scheduler, or stop sending them there."""
        await asyncio.gather(*(h.ask("front", scheduler=name, admitted=admitted) for h in self.clients))

    async def cut(self, workers: list[str], schedulers: list[str]) -> None:
        """Cut the network between these workers and schedulers."""
        await asyncio.gather(*(h.ask("cut", workers=workers, schedulers=schedulers) for h in self.workers))

    async def heal(self) -> None:
        """Restore all cut connections."""
        await asyncio.gather(*(h.ask("heal") for h in self.workers))
        for server in self.discovery.watch_servers.values():
            server.listener.restore()

    async def ramp(self, seconds: float, running: int | None = None) -> None:
        """Submit the tasks of the steady state, evenly over ``seconds``, and wait that long."""
        part, running = len(self.clients), running or self.size.running
        await asyncio.gather(*(
            h.ask("ramp", count=(running + i) // part, seconds=seconds, task_s=self.size.task_s)
            for i, h in enumerate(self.clients)))
        await asyncio.sleep(seconds)

    async def set_rate(self, rate: float, phase: str) -> None:
        """Set the rate at which tasks arrive, tagged with a phase; 0 stops them."""
        await asyncio.gather(*(
            h.ask("load", rate=rate / len(self.clients), task_s=self.size.task_s, phase=phase)
            for h in self.clients))

    async def open_tasks(self) -> dict[str, int]:
        """Return the number of open tasks by scheduler."""
        states = await asyncio.gather(*(h.ask("state") for h in self.clients))
        return {name: sum(s["open"][name] for s in states) for name in self.names}

    # Measurements.

    async def message_counts(self) -> Table:
        """Return the message counts of all schedulers since the start."""
        answers = await asyncio.gather(*(h.ask("counts") for h in self.workers + self.clients))
        return merged([a["table"] for a in answers] + [self.counts.table, self.discovery.counts.table])

    async def measure_usage(self, seconds: float, scrape: bool = True) -> dict[str, Usage]:
        """Measure every scheduler for a time; ``scrape``: also read its console at intervals."""
        before, started = await self.message_counts(), time.monotonic()
        uses = {name: Usage(cpu=-s.cpu_s()) for name, s in self.schedulers.items()}
        next_sample, next_scrape = started, started
        while (now := time.monotonic()) < started + seconds:
            if now >= next_sample:
                next_sample += SAMPLE_INTERVAL_S
                for name, scheduler in self.schedulers.items():
                    if scheduler.process.returncode is not None:
                        raise RuntimeError(f"scheduler {name} has ended: {self.last_log_line(name)}")
                    use = uses[name]
                    use.memory_mb = max(use.memory_mb, scheduler.memory_mb())
                    use.descriptors = max(use.descriptors, scheduler.descriptors())
            if scrape and now >= next_scrape:
                next_scrape += SCRAPE_INTERVAL_S
                await asyncio.gather(*(s.stats() for s in self.schedulers.values()))
            await asyncio.sleep(max(0.0, min(next_sample, started + seconds) - time.monotonic()))
        after, elapsed = await self.message_counts(), time.monotonic() - started
        for name, kinds in subtract(before, after).items():
            use = uses[name]
            use.seconds, use.kinds = elapsed, kinds
            use.cpu = (use.cpu + self.schedulers[name].cpu_s()) / elapsed
        return uses

    async def worker_load(self) -> dict[str, int]:
        """Return the workers' running jobs, waiting jobs and kept call-back connections."""
        states = await asyncio.gather(*(h.ask("state") for h in self.workers))
        return {key: sum(s[key] for s in states) for key in ("running", "waiting", "kept")}

    async def collect_history(self, killed_at_ns: dict[str, int] | None = None) -> History:
        """Take the records of all clients and workers, and check them against the rules.

        ``killed_at_ns`` has the times at which schedulers were killed, in ns of the monotonic clock.
        """
        history, now = History(), time.monotonic_ns()
        for answer in await asyncio.gather(*(h.ask("records") for h in self.clients)):
            history.rows += [TaskRecord(*row) for row in answer["ended"] + answer["open"]]
        known = {row.identity for row in history.rows}
        for answer in await asyncio.gather(*(h.ask("records") for h in self.workers)):
            for identity, worker, at in answer["started"]:
                if identity not in known and at > now:
                    continue  # submitted after the clients' records were taken
                history.starts.setdefault(identity, []).append(at)
                history.executions.append((at, identity, worker))
        check_history(history, self.checker, self.size.deadline_s, killed_at_ns or {}, now)
        return history


def check_history(
    history: History, checker: RuleChecker, deadline_s: float, killed_at_ns: dict[str, int], now_ns: int,
) -> None:
    """Feed the history to the rule checker in order of time and close it; open tasks may still be in time."""
    events: list[tuple[int, int, Callable[[], None]]] = []
    for row in history.rows:
        if not row.written_ns:
            continue
        # A connection that ended without an answer counts as a missing answer from then on.
        until = row.ended_ns // 1000 if row.end == "lost" else int(row.written_ns / 1000 + deadline_s * 1e6)
        events.append((row.written_ns, 0, lambda r=row, u=until: checker.job_accepted(  # type: ignore[misc]
            r.identity, r.scheduler, u)))
        if row.end in ("served", "forged", "refused", "failed"):
            kind = "served" if row.end == "forged" else row.end
            events.append((row.ended_ns, 2, lambda r=row, k=kind: checker.job_answered(  # type: ignore[misc]
                r.identity, k, r.ended_ns // 1000, from_worker=r.end != "forged")))
    for at, identity, worker in history.executions:
        events.append((at, 1, lambda i=identity, w=worker: checker.job_started(i, w)))  # type: ignore[misc]
    for scheduler, at in killed_at_ns.items():
        events.append((at, 3, lambda s=scheduler: checker.scheduler_died(s)))  # type: ignore[misc]
    for _, _, report in sorted(events, key=lambda e: e[:2]):
        report()
    checker.finish(now_ns // 1000)
