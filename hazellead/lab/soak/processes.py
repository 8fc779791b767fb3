"""Starts, signals and kills the scheduler processes that serve one address, and records their lives."""

import asyncio
import json
import signal
import socket
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from hazellead.lab.soak.plan import CLASSES, KEY_TTL_S, MAX_DEADLINE_S
from hazellead.lab.soak.records import ProcessLife, Records
from hazellead.lab.soak.servers import HOST

KILL_AFTER_S = MAX_DEADLINE_S + 0.7  # from SIGTERM to SIGKILL: the shortest that the protocol allows
READY_POLL_S = 0.02
REQUEST_TIMEOUT_S = 0.5
START_TIMEOUT_S = 30.0  # a process that is not ready by then counts as not started
ROOT = Path(__file__).parents[3]
TENANTS = ("red", "blue")


def scheduler_settings(number: int, slots: int, *, extra_class: bool = False) -> dict[str, Any]:
    """Return a scheduler's settings; ``extra_class`` adds a job class, so that a reload finds a change."""
    class_rows = [{"name": kind.name, "aimUs": 300_000, "hardLimitUs": int(kind.deadline * 1e6),
                   "effect": kind.effect.value, "group": "all", "keyTtlUs": int(KEY_TTL_S * 1e6),
                   "lateWorth": 0.5}
                  for kind in CLASSES]
    class_rows += [class_rows[-1] | {"name": "other"}] * extra_class
    return {
        "azs": ["a"], "kinds": ["m1"], "zone": 0, "siblings": slots, "myNumber": number, "tickUs": 4000,
        "membershipMode": "subscribe",
        "caps": {"maxAttempts": 3, "mayDuplicate": True, "probes": True, "cancelling": True,
                 "connectTimeoutUs": 250_000, "connIdleUs": 15_000_000, "maxRetryAfterUs": 1_000_000,
                 "mostHeld": 20_000},
        "invariants": {"drainGraceUs": 400_000, "coldFrom": 1, "warmUpUs": 0, "fallMultiple": 4.0,
                       "fallUs": 2_000_000},
        "prices": {"crossZone": 0.02, "probe": 0.002}, "report": {"via": "silent"},
        "specifics": {"tellsStart": True, "classStretch": [2.0] * len(class_rows)},
        "requestClasses": class_rows,
        "tenants": [{"name": name, "portion": 0.5, "quotaPerS": 200} for name in TENANTS]}


def free_socket() -> socket.socket:
    """Return a bound socket that reserves a free port; it does not listen, so that a scheduler can."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class Process:
    """One scheduler process and its record."""

    def __init__(self, child: asyncio.subprocess.Process, life: ProcessLife, console: int) -> None:
        """Record the exit of ``child``, which has just been started; ``console`` is its console's port."""
        self.child, self.life, self.console = child, life, console
        self.exited = asyncio.ensure_future(self._record_exit())

    async def _record_exit(self) -> None:
        self.life.exit_code = await self.child.wait()
        self.life.ended = _now()

    @property
    def alive(self) -> bool:
        """Return whether the process has not exited."""
        return self.child.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal; the first SIGTERM is followed by SIGKILL ``KILL_AFTER_S`` later."""
        if not self.alive:
            return
        with suppress(ProcessLookupError):  # it has just exited
            self.child.send_signal(number)
        if number is signal.SIGKILL:
            self.life.killed = self.life.killed or _now()
        elif number is signal.SIGTERM and self.life.terminated is None:
            self.life.terminated = _now()
            asyncio.get_running_loop().call_later(KILL_AFTER_S, self._kill_as_planned)

    def _kill_as_planned(self) -> None:
        """Send the SIGKILL that follows SIGTERM, unless the process has exited."""
        if self.alive:
            self.life.killed_as_planned = True
            self.child.kill()

    async def ready(self) -> bool:
        """Wait until the process is healthy; return False if it exits first or takes ``START_TIMEOUT_S``."""
        while self.alive and _now() < self.life.started + START_TIMEOUT_S:
            if await get_status(self.console, "/admin/health") == 200:
                self.life.ready = self.life.ready or _now()
                return True
            await asyncio.sleep(READY_POLL_S)
        return False


class Slot:
    """One scheduler of the run: an address at which its processes serve, each replaced by the next."""

    def __init__(
        self, number: int, slots: int, folder: Path, records: Records, program: Sequence[str],
    ) -> None:
        """Reserve the ports; ``program`` is the scheduler's command, ``folder`` takes its files."""
        self.number, self.name = number, f"n{number}"
        self._slots, self._records, self._program = slots, records, program
        self._reserved = [free_socket() for _ in range(4)]
        self.port, *self._consoles = (s.getsockname()[1] for s in self._reserved)
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self._config_file = self.folder / "config.json"
        self.discovery = 0
        self.sockets = 1024
        self.processes: list[Process] = []
        self.process_change = asyncio.Lock()  # held while signals end or replace processes
        self._generation = 0

    @property
    def alive(self) -> list[Process]:
        """Return the processes that have not exited, the oldest first."""
        return [process for process in self.processes if process.alive]

    def configure(self, console: int, *, extra_class: bool = False) -> None:
        """Write the configuration for the next start or SIGHUP, whole: a process may just be reading it."""
        new_file = self._config_file.with_suffix(".new")
        new_file.write_text(json.dumps({
            "name": self.name, "listen": f"{HOST}:{self.port}", "console": f"{HOST}:{console}",
            "discovery": f"{HOST}:{self.discovery}", "seed": f"{self.number + 1:x}",
            "limits": {"sockets": self.sockets, "memory_mb": 64},
            "settings": scheduler_settings(self.number, self._slots, extra_class=extra_class)}))
        new_file.replace(self._config_file)

    async def start(self) -> Process:
        """Start a process, as a successor if one is still running."""
        used_ports = {process.console for process in self.alive}
        console = next(port for port in self._consoles if port not in used_ports)
        self._generation += 1
        self.configure(console)
        with (self.folder / f"log-{self._generation}").open("wb") as log:
            child = await asyncio.create_subprocess_exec(
                *self._program, cwd=ROOT, stderr=log, stdout=log, stdin=asyncio.subprocess.DEVNULL,
                preexec_fn=_ignore_hangups,
                env={"GW_CONFIG": str(self._config_file), "TMPDIR": str(self.folder),
                     "PYTHONPATH": str(ROOT)})
        process = Process(child, ProcessLife(self.name, _now()), console)
        self.processes.append(process)
        self._records.lives.append(process.life)
        return process

    def reload(self, *, extra_class: bool) -> None:
        """Write the configuration anew and send SIGHUP to the newest process."""
        if self.alive:
            self.configure(self.alive[-1].console, extra_class=extra_class)
            self.alive[-1].send(signal.SIGHUP)

    async def close(self) -> None:
        """Kill the remaining processes, wait for all exits and release the ports."""
        for process in self.alive:
            process.child.kill()
        await asyncio.gather(*(process.exited for process in self.processes))
        for sock in self._reserved:
            sock.close()


async def get_status(port: int, target: str) -> int:
    """Send a GET request and return the status of the answer; 0 if there is none within the time-out."""
    writer = None
    with suppress(OSError, TimeoutError, ValueError, IndexError):
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"GET {target} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
            status = int((await reader.readline()).split()[1])
        writer.close()
        return status
    if writer:
        writer.close()
    return 0


def scheduler_command(arguments: str) -> tuple[str, ...]:
    """Return the command that runs a scheduler: this interpreter with space-separated arguments."""
    return sys.executable, *arguments.split()


def _ignore_hangups() -> None:
    """Ignore SIGHUP from before the program starts, as the run line of ``deploy/balancer.toml`` does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _now() -> float:
    return asyncio.get_running_loop().time()


