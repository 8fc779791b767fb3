"""Stand-ins for clients, servers and the platform, and helpers that start the scheduler's own program.

Standard library only. All addresses are loopback addresses, all times are the real clock's.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
CALL_BACK_TRIES = 10  # a server tries each call until it is answered, ten times at most


class NotRunError(Exception):
    """The case could not be played; its script exits with 2."""


class Record:
    """What was sent, answered and run, line by line, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file, self._start = path.open("w"), time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str) -> float:
        """Write one line and return its time."""
        at = self.now()
        self._file.write(f"{at:9.4f} {text}\n")
        self._file.flush()
        return at


_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a free port. It stays bound, so that nothing else is given it; a listener may still use it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    _reserved.append(sock)
    port: int = sock.getsockname()[1]
    return port


# HTTP/1.1, as far as the protocol page needs it.


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one request or answer; raises IncompleteReadError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


def encode(first_line: str, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Encode one request or answer."""
    lines = [first_line, *(f"{k}: {v}" for k, v in (headers or {}).items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(port: int, method: str, target: str, body: bytes = b"") -> int:
    """Make one call on a connection of its own and return the status; raises OSError and the like."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": "x", "Connection": "close"}, body))
        first_line, _, _ = await read_message(reader)
        return int(first_line.split()[1])
    finally:
        writer.close()


class Discovery:
    """The list of servers: whole, or as a watch that waits for changes."""

    def __init__(self, record: Record) -> None:
        """Start with an empty list."""
        self._record, self.rev, self.port = record, 1, free_port()
        self._targets: dict[str, tuple[int, dict[str, Any]]] = {}

    def put(self, uid: str, port: int, state: str = "up", zone: str = "tartu-dc") -> None:
        """Add a server or change its state."""
        self.rev += 1
        self._targets[uid] = self.rev, {
            "uid": uid, "endpoint": f"{HOST}:{port}", "az": zone, "model": "mid-3c", "pod_group": 1,
            "state": state, "capacity_hint": 1.0, "boot_ms": 0}
        self._record.write(f"discovery: {uid} at port {port} is {state}")

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, _, _ = await read_message(reader)
                query = parse_qs(urlsplit(line.split()[1]).query)
                index = int(query["index"][0]) if "index" in query else None
                until = time.monotonic() + int(query.get("wait", ["0"])[0]) / 1000
                while index is not None and self.rev <= index and time.monotonic() < until:
                    await asyncio.sleep(0.01)
                targets = [t for rev, t in self._targets.values() if index is None or rev > index]
                answer = {"rev": self.rev, "all": index is None, "targets": targets}
                writer.write(encode("HTTP/1.1 200 OK", {}, json.dumps(answer).encode()))
        writer.close()


class Proxy:
    """A network path to one port: all that passes, the ends of connections too, comes later by a delay."""

    def __init__(self, target_port: int, delay_s: float) -> None:
        """Delay each direction by ``delay_s``."""
        self.port, self._target_port, self._delay_s = free_port(), target_port, delay_s

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target_port)
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await reader.read(65536):
                loop.call_later(self._delay_s, writer.write, data)
        loop.call_later(self._delay_s, writer.close)


@dataclass
class Run:
    """One attempt as its server sees it. Times are the record's; None if that has not happened."""

    job: str
    server: str
    arrived: float  # the request's last byte
    accepted: float | None = None  # the 202 was written
    ended: float | None = None
    how: str = ""  # how it ended: done, or given up by the scheduler


class Server:
    """A posting worker that takes each job, and reports its start and its result by call-backs."""

    def __init__(
        self, uid: str, record: Record, scheduler_port: int, seconds: Callable[[bytes], float],
    ) -> None:
        """``seconds`` returns how long a job runs, from its body; call-backs go to ``scheduler_port``."""
        self.uid, self.port, self.runs = uid, free_port(), list[Run]()
        self._record, self._scheduler_port, self._seconds = record, scheduler_port, seconds
        self.before_202: Callable[[Run], Awaitable[None]] | None = None  # what delays an answer
        self._tasks = set[asyncio.Task[None]]()

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    def _background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split()
                if method == "POST":
                    await self._take(headers["x-trace-id"], body, reader, writer)
                elif method == "DELETE":
                    self.give_up(target.rpartition("/")[2], "DELETE")
                    writer.write(encode("HTTP/1.1 200 OK"))
                else:
                    status = "200 OK" if target == "/alive" else "404 Not Found"
                    writer.write(encode(f"HTTP/1.1 {status}"))
        writer.close()

    async def _take(
        self, job: str, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
    ) -> None:
        run = Run(job, self.uid, self._record.write(f"{self.uid}: attempt of {job} has arrived whole"))
        self.runs.append(run)
        if self.before_202:
            waiting = asyncio.ensure_future(self.before_202(run))
            while not waiting.done():
                await asyncio.wait([waiting], timeout=0.002)
                if reader.at_eof():  # closed before the 202: given up
                    self.give_up(job, "the connection was closed before the 202")
                    waiting.cancel()
                    return
        writer.write(encode("HTTP/1.1 202 Accepted"))
        run.accepted = self._record.write(f"{self.uid}: 202 for {job}")
        self._background(self._work(run, body))

    async def _work(self, run: Run, body: bytes) -> None:
        await self.report({"id": run.job, "from": self.uid, "state": "started"})
        await asyncio.sleep(self._seconds(body))
        if run.ended is None:
            run.ended, run.how = self._record.write(f"{self.uid}: {run.job} has run to its end"), "done"
            result = f"result of {run.job}"
            await self.report({"id": run.job, "from": self.uid, "state": "done", "result": result})

    def give_up(self, job: str, how: str) -> None:
        """End the open attempt of a job, which the scheduler has given up."""
        for run in self.runs:
            if run.job == job and run.ended is None:
                run.ended, run.how = self._record.write(f"{self.uid}: {job} is given up ({how})"), how

    async def report(self, event: dict[str, Any]) -> None:
        """Call back until the call is answered, ten times at most."""
        for _ in range(CALL_BACK_TRIES):
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(2):
                    status = await call(
                        self._scheduler_port, "POST", "/v1/job-events", json.dumps(event).encode())
                self._record.write(f"{self.uid}: call-back {event['state']} of {event['id']}: {status}")
                if status in (200, 204):
                    return
            await asyncio.sleep(0.1)


@dataclass
class Job:
    """A client's request, and what its client saw. Times are the record's."""

    id: str
    remaining_s: float
    last_byte: float | None = None
    answered: float | None = None
    status: int = 0
    body: bytes = b""
    ended: float | None = None  # its connection ended without an answer
    notes: list[str] = field(default_factory=list)

    def verdict(self, until: float) -> str:
        """Return what came of the request by the time ``until``."""
        if self.last_byte is None:
            return "never written whole"
        if self.answered is not None:
            return f"answered {self.status} after {self.answered - self.last_byte:.3f} s"
        if self.ended is not None:
            return f"no answer, connection ended after {self.ended - self.last_byte:.3f} s"
        return f"no answer for {until - self.last_byte:.3f} s, connection still open"


class Client:
    """A client with one connection, on which it sends one request at a time."""

    def __init__(self, record: Record, port: int) -> None:
        """Connect with ``connect``."""
        self._record, self._port = record, port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> "Client":
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self._port)
        return self

    def write_head(self, job: Job, path: str, body: bytes, headers: dict[str, str]) -> None:
        """Write a request's head; ``finish`` writes its body."""
        fields = {"Host": "service.internal", "X-Trace-Id": job.id,
                  "X-Expires-In": f"{round(job.remaining_s * 1000)}m", **headers}
        whole = encode(f"POST {path} HTTP/1.1", fields, body)
        self.writer.write(whole[:len(whole) - len(body)])
        self._record.write(f"client: head of {job.id} written, body of {len(body)} bytes to come")

    def write_body(self, job: Job, body: bytes) -> None:
        """Write a request's body, which completes it."""
        self.writer.write(body)
        job.last_byte = self._record.write(f"client: last byte of {job.id} written")

    async def answer(self, job: Job) -> None:
        """Wait for the answer to a request, or for the end of its connection."""
        try:
            line, _, job.body = await read_message(self.reader)
            job.status = int(line.split()[1])
            job.answered = self._record.write(f"client: {job.id} answered {job.status} {job.body[:60]!r}")
        except (OSError, asyncio.IncompleteReadError):
            job.ended = self._record.write(f"client: connection of {job.id} ended without an answer")

    async def request(self, job: Job, path: str, body: bytes, headers: dict[str, str]) -> None:
        """Send a whole request and wait for its answer."""
        self.write_head(job, path, body, headers)
        self.write_body(job, body)
        await self.answer(job)


class Scheduler:
    """One process of the scheduler, started by the deploy file's command."""

    def __init__(self, name: str, record: Record, folder: Path, arguments: str = "") -> None:
        """``folder`` takes its files; it is also its TMPDIR. ``arguments`` are added to the command."""
        self.name, self._record, self._folder, self._arguments = name, record, folder, arguments
        self.console = free_port()
        self.process: asyncio.subprocess.Process
        self.exited: float | None = None

    async def start(self, config: dict[str, Any] | None = None) -> None:
        """Write the configuration, if any, and start the process."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {"PATH": os.environ["PATH"], "TMPDIR": str(self._folder)}
        if config:
            path = self._folder / f"config-{self.name}.json"
            path.write_text(json.dumps(config | {"console": f"{HOST}:{self.console}"}))
            environment |= {
                "GW_CONFIG": str(path), "GW_NAME": config["name"], "GW_LISTEN": config["listen"],
                "GW_DISCOVERY": config["discovery"], "GW_CONSOLE": f"{HOST}:{self.console}"}
        with (self._folder / f"log-{self.name}").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", f"{command} {self._arguments}".strip(), cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        _started.append(self)
        self._record.write(f"platform: process {self.name} started")
        self._watcher = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        code = await self.process.wait()
        self.exited = self._record.write(f"platform: process {self.name} has ended, exit code {code}")

    async def ready(self, port: int, target: str = "/admin/health", within_s: float = 20) -> None:
        """Wait until the process says yes; raises NotRunError if it does not."""
        until = time.monotonic() + within_s
        while time.monotonic() < until and self.process.returncode is None:
            with suppress(OSError, asyncio.IncompleteReadError):
                if await call(port, "GET", target) == 200:
                    self._record.write(f"platform: process {self.name} says yes")
                    return
            await asyncio.sleep(0.02)
        raise NotRunError(f"process {self.name} is not ready:\n{self.log()}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process has not ended."""
        if self.process.returncode is None:
            self._record.write(f"platform: {number.name} to process {self.name}")
            self.process.send_signal(number)

    async def end(self, kill_after_s: float) -> None:
        """Restart's end: SIGTERM, then SIGKILL after a time unless the process has exited."""
        self.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self._watcher), kill_after_s)
        self.signal(signal.SIGKILL)

    def log(self, last: int = 30) -> str:
        """Return the last lines of the process's log."""
        lines = (self._folder / f"log-{self.name}").read_text(errors="replace").splitlines()
        return "\n".join(lines[-last:])


_started: list[Scheduler] = []


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment: one class of payments, two data centres."""
    return {
        "azs": ["tartu-dc", "tallinn-dc"], "kinds": ["fast-2c", "mid-3c", "slow-2c"], "zone": 0,
        "siblings": 1, "myNumber": 0, "tickUs": 4000, "membershipMode": "subscribe", "worthBy": "work",
        "caps": {"maxAttempts": 3, "mayDuplicate": False, "probes": True, "cancelling": True,
                 "retryAfter": True, "connectTimeoutUs": 250_000, "connIdleUs": 15_000_000,
                 "maxRetryAfterUs": 2_000_000, "mostHeld": 20_000, "streamsPerConn": 1},
        "invariants": {"answerSlackUs": 16_000, "askWithinUs": 10_000_000, "drainGraceUs": 400_000,
                       "coldFrom": 0.12, "warmUpUs": 24_000_000, "fallMultiple": 4.0, "fallUs": 2_000_000},
        "prices": {"crossZone": 0.02, "probe": 0.002}, "report": {"via": "silent"},
        "specifics": {"tellsStart": True, "classStretch": [2.0], "progressUs": 1_000_000},
        "requestClasses": [{"name": "post-payment", "aimUs": 100_000, "hardLimitUs": 5_000_000,
                            "effect": "single_shot", "lateWorth": 0.5}],
        **changes}


def script(case: Callable[[Record, Path, bool], Coroutine[Any, Any, int]], folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    ``case`` gets the record, a temporary folder and whether the disruption is to be played (``TROUBLE``).
    """
    record, trouble = Record(folder / "record.txt"), os.environ.get("TROUBLE", "1") != "0"
    record.write(f"with the disruption: {trouble}")

    async def play() -> int:
        try:
            with tempfile.TemporaryDirectory() as temporary:
                try:
                    async with asyncio.timeout(110):
                        return await case(record, Path(temporary), trouble)
                finally:
                    for scheduler in _started:
                        if scheduler.process.returncode is None:
                            scheduler.process.kill()
                    await asyncio.gather(*(s.process.wait() for s in _started))
        except NotRunError as error:
            record.write(f"not run: {error}")
        except Exception:
            record.write(f"not run: {traceback.format_exc()}")
        return NOT_RUN

    code = asyncio.run(play())
    record.write({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    print((folder / "record.txt").read_text().splitlines()[-1])
    sys.exit(code)
