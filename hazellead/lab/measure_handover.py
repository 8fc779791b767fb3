"""Measures what replacing a serving process costs its clients, against restarting it, under the same load.

Real processes and stand-in workers on loopback, open arrivals from a seed; a minute. Run it with
``make measure-handover``.
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
SEED, WORKERS, PER_S, CLIENTS, ROUNDS, APART_S = 1, 8, 40.0, 24, 5, 2.5
WORK_S = 0.15
SOCKETS, MEMORY_MB = 256, 32
LIMITS = Limits()


@dataclass(slots=True)
class Outcome:
    """What one series of replacements or restarts did."""

    answers: Counter[str] = field(default_factory=Counter)
    lates: list[float] = field(default_factory=list)  # seconds each served job took
    to_yes: list[float] = field(default_factory=list)  # seconds from a start to its yes
    ends: list[float] = field(default_factory=list)  # seconds from SIGTERM to the exit
    memory_mb: float = 0.0  # most of all processes together, without what they share
    descriptors: int = 0  # most of all processes together


def _port() -> int:
    sock, port = bind_unused_port()
    sock.close()
    return port


class Scheduler:
    """One process of the program."""

    def __init__(self, folder: Path, number: int, port: int, ports: dict[str, int]) -> None:
        """Write its configuration."""
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
        """Start it and wait for its yes; return how long that took."""
        began = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hazellead", cwd=ROOT, stderr=asyncio.subprocess.DEVNULL,
            env={"GW_CONFIG": str(self._path), "TMPDIR": str(self._folder)})
        while not await self.healthy():
            if self.process.returncode is not None or time.monotonic() - began > 10:
                raise RuntimeError("it did not come up")
            await asyncio.sleep(0.01)
        return time.monotonic() - began

    async def healthy(self) -> bool:
        """Ask the console."""
        with suppress(StreamClosedError, TimeoutError):
            stream = await streams.connect(HOST, self.console, LIMITS)
            try:
                await stream.write(http.request("GET", "/admin/health", "console"))
                return (await read_response(stream, LIMITS)).status == 200
            finally:
                stream.close()
        return False

    async def end(self) -> float:
        """Send SIGTERM and wait for the exit; return how long that took."""
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), 10)
        return time.monotonic() - began

    def uses(self) -> tuple[float, int]:
        """Return its private memory in MB and its descriptors; nothing once it has ended."""
        with suppress(OSError):
            rows = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text().splitlines()
            anonymous = next(int(row.split()[1]) for row in rows if row.startswith("Anonymous:"))
            return anonymous / 1024, len(os.listdir(f"/proc/{self.process.pid}/fd"))
        return 0.0, 0


class Load:
    """Clients with kept connections; jobs come at their own times, whoever is free sends them."""

    def __init__(self, port: int, checker: RuleChecker, outcome: Outcome) -> None:
        """Send to this port."""
        self._port, self._checker, self._outcome = port, checker, outcome
        self._jobs: asyncio.Queue[tuple[str, float, float]] = asyncio.Queue()
        self._tasks: list[asyncio.Future[None]] = []
        self._stopped = False

    def start(self) -> None:
        """Begin."""
        self._tasks = [asyncio.ensure_future(self._client()) for _ in range(CLIENTS)]
        self._tasks.append(asyncio.ensure_future(self._arrivals()))

    async def stop(self) -> None:
        """Let what is under way end."""
        self._stopped = True
        await self._jobs.join()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _arrivals(self) -> None:
        rng, due, number = Random(SEED), time.monotonic(), 0
        while not self._stopped:
            due += rng.expovariate(PER_S)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            self._jobs.put_nowait((f"job-{number}", due, rng.expovariate(1 / WORK_S)))

    async def _client(self) -> None:
        line: IOStream | None = None
        while True:
            identity, due, work = await self._jobs.get()
            self._checker.took(identity, "n1", (time.time_ns() // 1000) + 5_000_000)
            for _ in range(2):  # a close that crosses the request: once more on a new connection
                kind, line, again = await self._ask(identity, work, line)
                if not again:
                    break
            self._outcome.answers[kind] += 1
            if kind in ("served", "refused", "failed"):
                self._checker.answered(identity, kind, time.time_ns() // 1000)
            if kind == "served":
                self._outcome.lates.append(time.monotonic() - due)
            self._jobs.task_done()

    async def _ask(
        self, identity: str, work: float, line: IOStream | None,
    ) -> tuple[str, IOStream | None, bool]:
        """Ask once; return what came, the connection if it is kept, and whether to ask again."""
        kept = line is not None
        try:
            line = line or await streams.connect(HOST, self._port, LIMITS)
        except (StreamClosedError, TimeoutError):
            return "not let in", None, False
        try:
            await line.write(http.request("POST", "/post-payment", "x", {
                "X-Trace-Id": identity, "X-Customer": Random(identity).choice(TENANTS),
                "X-Expires-In": "5000m"}, f"{work:.4f}".encode()))
            message = await read_response(line, LIMITS)
        except StreamClosedError:
            line.close()
            return "closed on", None, kept
        if not message.keep:
            self._outcome.answers["connections ended"] += 1
            line.close()
        kind = {200: "served", 429: "refused", 503: "refused"}.get(message.status, "failed")
        return kind, line if message.keep else None, False


TENANTS = ("emajoe-energia", "pohja-vesi")


async def _watch(some: list[Scheduler], outcome: Outcome) -> None:
    while True:
        uses = [s.uses() for s in some]
        outcome.memory_mb = max(outcome.memory_mb, sum(mb for mb, _ in uses))
        outcome.descriptors = max(outcome.descriptors, sum(count for _, count in uses))
        await asyncio.sleep(0.05)


async def series(*, replaced: bool) -> tuple[Outcome, RuleChecker]:
    """Serve under load while the process is replaced, or ended and started again, some times."""
    outcome, checker, port = Outcome(), RuleChecker(), _port()
    stands = HttpFleet(draw_fleet(WORKERS, Random(SEED)), SEED, checker, lambda body: float(body))
    ports = stands.open_for((HOST, port))
    with tempfile.TemporaryDirectory() as folder:
        serving = Scheduler(Path(folder), 0, port, ports)
        await serving.start()
        running = [serving]
        watching = asyncio.ensure_future(_watch(running, outcome))
        load = Load(port, checker, outcome)
        load.start()
        for number in range(1, ROUNDS + 1):
            await asyncio.sleep(APART_S)
            following = Scheduler(Path(folder), number, port, ports)
            if replaced:
                running.append(following)
                outcome.to_yes.append(await following.start())
                outcome.ends.append(await serving.end())
            else:
                outcome.ends.append(await serving.end())
                running.append(following)
                outcome.to_yes.append(await following.start())
            running.remove(serving)
            serving = following
        await asyncio.sleep(APART_S)
        await load.stop()
        watching.cancel()
        await serving.end()
    await stands.close()
    return outcome, checker


def main() -> int:
    """Measure both and hold the replacement to its bounds."""
    report = Report("handover")
    bad: dict[str, int] = {}
    for name, replaced in (("replaced", True), ("restarted", False)):
        outcome, checker = asyncio.run(series(replaced=replaced))
        jobs = sum(outcome.answers[k] for k in ("served", "refused", "failed", "not let in", "closed on"))
        bad[name] = jobs - outcome.answers["served"]
        times = sorted(outcome.lates)
        figures: dict[str, Any] = {
            "jobs": jobs, **outcome.answers, "median_s": median(times),
            "p99_s": times[int(0.99 * len(times))], "to_yes_s": outcome.to_yes, "to_exit_s": outcome.ends,
            "memory_mb": outcome.memory_mb, "descriptors": outcome.descriptors,
            "rules_broken": [words for _, words in checker.broken][:5]}
        report.add(**{name: figures})
        if replaced:
            lost = outcome.answers["not let in"] + outcome.answers["closed on"] + outcome.answers["failed"]
            report.bound("replaced: every job is answered, none failed", holds=lost == 0)
            report.bound("replaced: no connection is ended", holds=outcome.answers["connections ended"] == 0)
            report.bound("replaced: no rule is broken", holds=not checker.broken)
            report.bound("replaced: yes within 6 s of each start", holds=max(outcome.to_yes) < 6)
            few, small = outcome.descriptors <= SOCKETS, outcome.memory_mb <= MEMORY_MB
            report.bound(f"replaced: at most {SOCKETS} descriptors together", holds=few)
            report.bound(f"replaced: at most {MEMORY_MB} MB together", holds=small)
    report.bound("fewer jobs go unserved than with restarts", holds=bad["replaced"] < bad["restarted"])
    return report.finish()


if __name__ == "__main__":
    sys.exit(main())
