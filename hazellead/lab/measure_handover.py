"""Measures what clients lose when a serving process is replaced, and when it is restarted, under load.

Real processes and stand-in workers on loopback; jobs arrive at times drawn from a seed, whether or not
earlier ones are answered. It takes a minute. Run it with ``make measure-handover``.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.testing import bind_unused_port

from hazellead.lab.checker import RuleChecker
from hazellead.lab.fleet import draw_fleet
from hazellead.lab.measure import Report
from hazellead.lab.sockets import HOST, HttpFleet
from hazellead.limits import Limits
from hazellead.net import http, streams
from hazellead.net.client import read_response

ROOT = Path(__file__).parents[2]
SEED, WORKERS, JOBS_PER_S, CLIENTS, ROUNDS, INTERVAL_S = 1, 8, 40.0, 24, 5, 2.5
WORK_S = 0.15
SOCKETS, MEMORY_MB = 256, 32
LIMITS = Limits()


@dataclass(slots=True)
class Outcome:
    """Results of one series of replacements or restarts."""

    answers: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)  # from each served job's arrival to its answer
    ready_after_s: list[float] = field(default_factory=list)  # from each start to a good health check
    exited_after_s: list[float] = field(default_factory=list)  # from each SIGTERM to the exit
    memory_mb: float = 0.0  # peak of all processes together, without shared memory
    descriptors: int = 0  # peak of all processes together


def _port() -> int:
    sock, port = bind_unused_port()
    sock.close()
    return port


class Scheduler:
    """One process of the scheduler."""

    def __init__(self, folder: Path, number: int, port: int, ports: dict[str, int]) -> None:
        """Write the process's configuration file; ``ports`` are the workers' by name."""
        self.console, self._folder, self._path = _port(), folder, folder / f"config-{number}.json"
        settings = tomllib.loads((ROOT / "deploy/gearman.toml").read_text())["settings"]
        targets = [{"uid": uid, "endpoint": f"{HOST}:{at}", "az": "tartu-dc", "state": "up"}
                   for uid, at in ports.items()]
        self._path.write_text(json.dumps({
            "name": "n1", "listen": f"{HOST}:{port}", "console": f"{HOST}:{self.console}",
            "discovery": f"{HOST}:{_port()}", "seed": "1", "settings": settings,
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "known": {"rev": 1, "all": True, "targets": targets}}))
        self.process: asyncio.subprocess.Process

    async def start(self) -> float:
        """Start the process and wait until it is healthy; return the seconds that this took."""
        began = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hazellead", cwd=ROOT, stderr=asyncio.subprocess.DEVNULL,
            env={"GW_CONFIG": str(self._path), "TMPDIR": str(self._folder)})
        while not await self.healthy():
            if self.process.returncode is not None or time.monotonic() - began > 10:
                raise RuntimeError("the scheduler did not become healthy")
            await asyncio.sleep(0.01)
        return time.monotonic() - began

    async def healthy(self) -> bool:
        """Return whether the console's health check succeeds."""
        with suppress(StreamClosedError, TimeoutError):
            stream = await streams.connect(HOST, self.console, LIMITS)
            try:
                await stream.write(http.request("GET", "/admin/health", "console"))
                return (await read_response(stream, LIMITS)).status == 200
            finally:
                stream.close()
        return False

    async def stop(self) -> float:
        """Send SIGTERM and wait for the exit; return the seconds that this took."""
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), 10)
        return time.monotonic() - began

    def resource_usage(self) -> tuple[float, int]:
        """Return the process's private memory in MB and its open descriptors; zeros once it has ended."""
        with suppress(OSError):
            lines = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text().splitlines()
            anonymous = next(int(row.split()[1]) for row in lines if row.startswith("Anonymous:"))
            return anonymous / 1024, len(os.listdir(f"/proc/{self.process.pid}/fd"))
        return 0.0, 0


class Load:
    """Clients with persistent connections; each job is sent at its time of arrival by an idle client."""

    def __init__(self, port: int, checker: RuleChecker, outcome: Outcome) -> None:
        """Send jobs to ``port``."""
        self._port, self._checker, self._outcome = port, checker, outcome
        self._jobs: asyncio.Queue[tuple[str, float, float]] = asyncio.Queue()
        self._tasks: list[asyncio.Future[None]] = []
        self._stopping = False

    def start(self) -> None:
        """Start the clients and the arrivals."""
        self._tasks = [asyncio.ensure_future(self._client()) for _ in range(CLIENTS)]
        self._tasks.append(asyncio.ensure_future(self._arrivals()))

    async def stop(self) -> None:
        """Stop arrivals, and wait for the answers to all jobs."""
        self._stopping = True
        await self._jobs.join()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _arrivals(self) -> None:
        rng, due, number = Random(SEED), time.monotonic(), 0
        while not self._stopping:
            due += rng.expovariate(JOBS_PER_S)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            self._jobs.put_nowait((f"job-{number}", due, rng.expovariate(1 / WORK_S)))

    async def _client(self) -> None:
        stream: IOStream | None = None
        while True:
            identity, due, work = await self._jobs.get()
            self._checker.job_accepted(identity, "n1", (time.time_ns() // 1000) + 5_000_000)
            for _ in range(2):  # retry once on a new connection if the old one was closed meanwhile
                kind, stream, retry = await self._submit(identity, work, stream)
                if not retry:
                    break
            self._outcome.answers[kind] += 1
            if kind in ("served", "refused", "failed"):
                self._checker.job_answered(identity, kind, time.time_ns() // 1000)
            if kind == "served":
                self._outcome.latencies_s.append(time.monotonic() - due)
            self._jobs.task_done()

    async def _submit(
        self, identity: str, work: float, stream: IOStream | None,
    ) -> tuple[str, IOStream | None, bool]:
        """Submit a job; return the kind of answer, the connection if it stays open, and whether to retry."""
        reused = stream is not None
        try:
            stream = stream or await streams.connect(HOST, self._port, LIMITS)
        except (StreamClosedError, TimeoutError):
            return "not let in", None, False
        try:
            await stream.write(http.request("POST", "/post-payment", "x", {
                "X-Trace-Id": identity, "X-Customer": Random(identity).choice(TENANTS),
                "X-Expires-In": "5000m"}, f"{work:.4f}".encode()))
            message = await read_response(stream, LIMITS)
        except StreamClosedError:
            stream.close()
            return "closed on", None, reused
        if not message.keep:
            self._outcome.answers["connections ended"] += 1
            stream.close()
        kind = {200: "served", 429: "refused", 503: "refused"}.get(message.status, "failed")
        return kind, stream if message.keep else None, False


TENANTS = ("emajoe-energia", "pohja-vesi")


async def _record_usage(schedulers: list[Scheduler], outcome: Outcome) -> None:
    while True:
        usage = [s.resource_usage() for s in schedulers]
        outcome.memory_mb = max(outcome.memory_mb, sum(mb for mb, _ in usage))
        outcome.descriptors = max(outcome.descriptors, sum(count for _, count in usage))
        await asyncio.sleep(0.05)


async def run_series(*, replaced: bool) -> tuple[Outcome, RuleChecker]:
    """Serve under load while the process is replaced, or stopped and started again, ``ROUNDS`` times."""
    outcome, checker, port = Outcome(), RuleChecker(), _port()
    workers = HttpFleet(draw_fleet(WORKERS, Random(SEED)), SEED, checker, lambda body: float(body))
    ports = workers.open_for((HOST, port))
    with tempfile.TemporaryDirectory() as folder:
        serving = Scheduler(Path(folder), 0, port, ports)
        await serving.start()
        running = [serving]
        usage_task = asyncio.ensure_future(_record_usage(running, outcome))
        load = Load(port, checker, outcome)
        load.start()
        for number in range(1, ROUNDS + 1):
            await asyncio.sleep(INTERVAL_S)
            successor = Scheduler(Path(folder), number, port, ports)
            if replaced:
                running.append(successor)
                outcome.ready_after_s.append(await successor.start())
                outcome.exited_after_s.append(await serving.stop())
            else:
                outcome.exited_after_s.append(await serving.stop())
                running.append(successor)
                outcome.ready_after_s.append(await successor.start())
            running.remove(serving)
            serving = successor
        await asyncio.sleep(INTERVAL_S)
        await load.stop()
        usage_task.cancel()
        await serving.stop()
    await workers.close()
    return outcome, checker


def main() -> int:
    """Measure both; return 1 if replacement misses a bound, else 0."""
    report = Report("handover")
    unserved: dict[str, int] = {}
    for name, replaced in (("replaced", True), ("restarted", False)):
        outcome, checker = asyncio.run(run_series(replaced=replaced))
        jobs = sum(outcome.answers[k] for k in ("served", "refused", "failed", "not let in", "closed on"))
        unserved[name] = jobs - outcome.answers["served"]
        latencies = sorted(outcome.latencies_s)
        figures: dict[str, Any] = {
            "jobs": jobs, **outcome.answers, "median_s": median(latencies),
            "p99_s": latencies[int(0.99 * len(latencies))], "to_yes_s": outcome.ready_after_s,
            "to_exit_s": outcome.exited_after_s,
            "memory_mb": outcome.memory_mb, "descriptors": outcome.descriptors,
            "rules_broken": [description for _, description in checker.violations][:5]}
        report.add(**{name: figures})
        if replaced:
            lost = outcome.answers["not let in"] + outcome.answers["closed on"] + outcome.answers["failed"]
            report.check_bound("replaced: every job is answered, none failed", holds=lost == 0)
            report.check_bound(
                "replaced: no connection is closed", holds=outcome.answers["connections ended"] == 0)
            report.check_bound("replaced: no rule is broken", holds=not checker.violations)
            report.check_bound(
                "replaced: healthy within 6 s of each start", holds=max(outcome.ready_after_s) < 6)
            few_descriptors, little_memory = outcome.descriptors <= SOCKETS, outcome.memory_mb <= MEMORY_MB
            report.check_bound(f"replaced: at most {SOCKETS} descriptors together", holds=few_descriptors)
            report.check_bound(f"replaced: at most {MEMORY_MB} MB together", holds=little_memory)
    report.check_bound(
        "fewer jobs go unserved than with restarts", holds=unserved["replaced"] < unserved["restarted"])
    return report.finish()


if __name__ == "__main__":
    sys.exit(main())
