"""Scheduler processes of one address: started, signalled, replaced and killed."""

import asyncio
import json
import signal
import socket
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from hazellead.lab.soak.plan import CLASSES, GUARDED_S, LONGEST_S
from hazellead.lab.soak.records import ProcessLife, Records
from hazellead.lab.soak.servers import HOST

KILL_AFTER_S = LONGEST_S + 0.7  # after SIGTERM: the earliest that the protocol's page allows
LOOK_S = 0.02
ASK_S = 0.5
START_S = 30.0  # for a process to be ready before the run is given up
ROOT = Path(__file__).parents[3]
TENANTS = ("red", "blue")


def settings(number: int, slots: int, *, more: bool = False) -> dict[str, Any]:
    """Write a scheduler's settings; with ``more`` there is another class, as after a change."""
    rows = [{"name": kind.name, "aimUs": 300_000, "hardLimitUs": int(kind.deadline * 1e6),
             "effect": kind.effect.value, "keyTtlUs": int(GUARDED_S * 1e6), "lateWorth": 0.5}
            for kind in CLASSES]
    rows += [rows[-1] | {"name": "other"}] * more
    return {
        "azs": ["a"], "kinds": ["m1"], "zone": 0, "siblings": slots, "myNumber": number, "tickUs": 4000,
        "membershipMode": "subscribe",
        "caps": {"maxAttempts": 3, "mayDuplicate": True, "probes": True, "cancelling": True,
                 "connectTimeoutUs": 250_000, "connIdleUs": 15_000_000, "maxRetryAfterUs": 1_000_000,
                 "mostHeld": 20_000},
        "invariants": {"drainGraceUs": 400_000, "coldFrom": 1, "warmUpUs": 0, "fallMultiple": 4.0,
                       "fallUs": 2_000_000},
        "prices": {"crossZone": 0.02, "probe": 0.002}, "report": {"via": "silent"},
        "specifics": {"tellsStart": True, "classStretch": [2.0] * len(rows)}, "requestClasses": rows,
        "tenants": [{"name": name, "portion": 0.5, "quotaPerS": 200} for name in TENANTS]}


def free_socket() -> socket.socket:
    """Return a socket that keeps a port of its own from others; listeners may share it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class Process:
    """One process and its record."""

    def __init__(self, running: asyncio.subprocess.Process, life: ProcessLife, console: int) -> None:
        """Take a process that has just been started."""
        self.running, self.life, self.console = running, life, console
        self.watching = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        self.life.exit_code = await self.running.wait()
        self.life.ended = _now()

    @property
    def alive(self) -> bool:
        """Say whether it has not ended."""
        return self.running.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, and SIGKILL at the earliest after the first SIGTERM."""
        if not self.alive:
            return
        with suppress(ProcessLookupError):  # it has just ended
            self.running.send_signal(number)
        if number is signal.SIGKILL:
            self.life.killed = self.life.killed or _now()
        elif number is signal.SIGTERM and self.life.terminated is None:
            self.life.terminated = _now()
            asyncio.get_running_loop().call_later(KILL_AFTER_S, self._kill_as_planned)

    def _kill_as_planned(self) -> None:
        if self.alive:
            self.life.killed_as_planned = True
            self.running.kill()

    async def ready(self) -> bool:
        """Wait until it serves; False if it ends first."""
        while self.alive and _now() < self.life.started + START_S:
            if await ask(self.console, "/admin/health") == 200:
                self.life.ready = self.life.ready or _now()
                return True
            await asyncio.sleep(LOOK_S)
        return False


class Slot:
    """One address at which schedulers serve one after another."""

    def __init__(
        self, number: int, slots: int, folder: Path, records: Records, program: Sequence[str],
    ) -> None:
        """Reserve the address."""
        self.number, self.name = number, f"n{number}"
        self._slots, self._records, self._program = slots, records, program
        self._reserved = [free_socket() for _ in range(4)]
        self.port, *self._consoles = (s.getsockname()[1] for s in self._reserved)
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self._config = self.folder / "config.json"
        self.discovery = 0
        self.sockets = 1024
        self.processes: list[Process] = []
        self.changing = asyncio.Lock()  # held while a series of signals brings another process into service
        self._generation = 0

    @property
    def alive(self) -> list[Process]:
        """Return the processes that have not ended, the oldest first."""
        return [process for process in self.processes if process.alive]

    def configure(self, console: int, *, more: bool = False) -> None:
        """Write the configuration for the next start or SIGHUP."""
        self._config.write_text(json.dumps({
            "name": self.name, "listen": f"{HOST}:{self.port}", "console": f"{HOST}:{console}",
            "discovery": f"{HOST}:{self.discovery}", "seed": f"{self.number + 1:x}",
            "limits": {"sockets": self.sockets, "memory_mb": 64},
            "settings": settings(self.number, self._slots, more=more)}))

    async def start(self) -> Process:
        """Start a process, beside the one that serves if there is one."""
        taken = {process.console for process in self.alive}
        console = next(port for port in self._consoles if port not in taken)
        self._generation += 1
        self.configure(console)
        with (self.folder / f"log-{self._generation}").open("wb") as log:
            running = await asyncio.create_subprocess_exec(
                *self._program, cwd=ROOT, stderr=log, stdout=log, stdin=asyncio.subprocess.DEVNULL,
                preexec_fn=_ignore_hangups,
                env={"GW_CONFIG": str(self._config), "TMPDIR": str(self.folder), "PYTHONPATH": str(ROOT)})
        process = Process(running, ProcessLife(self.name, _now()), console)
        self.processes.append(process)
        self._records.lives.append(process.life)
        return process

    def reload(self, *, more: bool) -> None:
        """Write other settings and tell the newest process."""
        if self.alive:
            self.configure(self.alive[-1].console, more=more)
            self.alive[-1].send(signal.SIGHUP)

    async def close(self) -> None:
        """End what is left."""
        for process in self.alive:
            process.running.kill()
        await asyncio.gather(*(process.watching for process in self.processes))
        for sock in self._reserved:
            sock.close()


async def ask(port: int, target: str) -> int:
    """Make one small call; 0 if there is no answer."""
    writer = None
    with suppress(OSError, TimeoutError, ValueError, IndexError):
        async with asyncio.timeout(ASK_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"GET {target} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
            status = int((await reader.readline()).split()[1])
        writer.close()
        return status
    if writer:
        writer.close()
    return 0


def program_of(arguments: str) -> tuple[str, ...]:
    """Return the command that runs the scheduler, by the interpreter's arguments."""
    return sys.executable, *arguments.split()


def _ignore_hangups() -> None:
    """Ignore SIGHUP from before the program is begun, as the run line of ``deploy/balancer.toml`` does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _now() -> float:
    return asyncio.get_running_loop().time()


