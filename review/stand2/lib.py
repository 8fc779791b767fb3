"""Stand-ins that follow the users' protocol page, and helpers that start the project's own program.

Only the standard library is used. All sockets are on 127.0.0.1. Every process that is started is ended in
``Case.close``. Times in records are seconds since the start of the case.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TENANTS = (("emajoe-energia", 0.26, 29.0), ("pohja-vesi", 0.26, 29.0), ("lauka-soojus", 0.12, 13.0),
           ("viru-gaas", 0.10, 11.0), ("saare-elekter", 0.09, 10.0), ("peipsi-vesi", 0.09, 10.0),
           ("kuuste-soojus", 0.08, 9.0))
BLOCKED = 2  # exit code: the case could not run


class BlockedError(Exception):
    """The case could not run, so that it says nothing about the rule."""


def settings(**changes):
    """Return the settings of a small deployment; ``changes`` replace top-level keys."""
    table = {
        "azs": ["tartu-dc", "tallinn-dc"], "kinds": ["fast-2c", "mid-3c", "slow-2c"], "zone": 0,
        "siblings": 4, "myNumber": 0, "tickUs": 4000, "membershipMode": "subscribe", "serviceType": "jobs",
        "overShareWorth": 0.05, "stage": 0, "tiers": ["posting-workers"], "weightSource": "rough",
        "worthBy": "work",
        "caps": {"cancelling": True, "connIdleUs": 15000000, "connectTimeoutUs": 250000, "maxAttempts": 3,
                 "maxRetryAfterUs": 2000000, "mayDuplicate": False, "mayTell": False, "mostHeld": 20281,
                 "probes": True, "retryAfter": True, "streamsPerConn": 1},
        "clientHabits": {"marksRetry": True},
        "invariants": {"answerSlackUs": 16000, "askWithinUs": 10000000, "coldFrom": 0.12,
                       "drainGraceUs": 400000, "fallMultiple": 4.0, "fallUs": 2000000,
                       "warmUpUs": 24000000},
        "prices": {"crossZone": 0.02, "probe": 0.002, "handshake": 0.0},
        "report": {"fields": [], "via": "silent"},
        "requestClasses": [job_class()],
        "specifics": {"classKind": [-1], "classStretch": [2.0], "progressUs": 1000000, "queueOrder": "fifo",
                      "tellsStart": True},
        "tenants": [{"name": n, "portion": p, "quotaPerS": q} for n, p, q in TENANTS],
    }
    table.update(changes)
    return table


def job_class(name="post-payment", effect="single_shot", deadline_us=5000000, **changes):
    """Return one class of the settings."""
    return {"name": name, "aimUs": 100000, "effect": effect, "group": "all", "hardLimitUs": deadline_us,
            "importance": 1.0, "keyTtlUs": 5000000, "lateWorth": 0.5, "stream": False, **changes}


def free_port():
    """Return a free port of the loopback address."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """Read one HTTP message framed by Content-Length; return its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


def span_s(text):
    """Return the seconds of an X-Expires-In value."""
    return int(text[:-1]) / (1e3 if text.endswith("m") else 1e6)


class Case:
    """One run of a case: clock, record, folder, processes and verdict."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.tmp = Path(tempfile.mkdtemp(prefix="case-"))
        self.record = (self.folder / "record.txt").open("w")
        self.processes = []
        self.broken = []
        self.tasks = set()
        self.say("case", trouble=self.trouble)

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def say(self, what, **facts):
        """Write one line to the record."""
        text = " ".join(f"{k}={v}" for k, v in facts.items())
        self.record.write(f"{self.now():9.4f} {what} {text}\n")
        self.record.flush()

    def fault(self, text):
        """Record a breach of the rule."""
        self.broken.append(text)
        self.say("BROKEN", why=text)

    def background(self, work):
        """Run a coroutine as a task that is cancelled at the end."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def command(self, key="run"):
        """Return a command of the deploy file."""
        return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())[key]

    def start(self, name, environment, argument=""):
        """Start the project's program with the deploy file's command; return the process."""
        if not (ROOT / ".venv/bin/python").exists():
            raise BlockedError("the program is not built")
        log = (self.tmp / f"{name}.log").open("w")
        command = self.command() + (f" {argument}" if argument else "")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env={**os.environ, **environment},
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        process.log_path = self.tmp / f"{name}.log"
        self.processes.append(process)
        self.say("started", name=name, pid=process.pid)
        return process

    def end(self, process, number=signal.SIGTERM):
        """Send a signal to a process of this case."""
        if process.poll() is None:
            self.say("signal", pid=process.pid, number=int(number))
            process.send_signal(number)

    async def exited(self, process, seconds):
        """Wait for a process to end; return its exit code, or None if it has not ended."""
        until = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return process.poll()

    def close(self):
        """End all processes, keep the tails of their logs in the record, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for process in self.processes:
            with suppress(OSError):
                lines = process.log_path.read_text().splitlines()
                kinds = {}
                for line in lines:
                    kind = line.partition("event=")[2].partition(" ")[0] or "other"
                    kinds[kind] = kinds.get(kind, 0) + 1
                self.record.write(f"--- events of {process.pid}: {kinds}\n")
                self.record.write(f"--- log of {process.pid}, exit {process.returncode}, the last lines\n")
                self.record.writelines(f"{line[:300]}\n" for line in lines[-60:])
        self.record.close()
        shutil.rmtree(self.tmp, ignore_errors=True)


def main(work, folder, seconds=110):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    case = Case(folder)

    async def bounded():
        try:
            async with asyncio.timeout(seconds):
                await work(case)
        finally:
            for task in list(case.tasks):
                task.cancel()
            await asyncio.gather(*case.tasks, return_exceptions=True)

    def stop(*_):
        raise SystemExit(BLOCKED)  # the processes are ended below

    signal.signal(signal.SIGTERM, stop)
    code = BLOCKED
    try:
        asyncio.run(bounded())
        code = 1 if case.broken else 0
    except Exception as error:  # the stand-ins failed: no verdict
        case.say("BLOCKED", why=repr(error))
        if not isinstance(error, BlockedError):
            import traceback
            case.record.write(traceback.format_exc())
    finally:
        case.say("end", exit=code, broken=len(case.broken))
        case.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code], *case.broken[:5], sep="\n  ")
    sys.exit(code)


class Scheduler:
    """A scheduler's place: its address, its configuration and the processes that serve there."""

    def __init__(self, case, discovery, table=None, *, name="n1", memory_mb=192, sockets=1024, console=False):
        self.case, self.name, self.port = case, name, free_port()
        self.console = free_port() if console else None
        self.table = table or settings()
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.discovery = discovery
        self.tmp = case.tmp / f"tmp-{name}"
        self.tmp.mkdir()
        self.count = 0
        self.process = None

    def write(self, name, known=None):
        """Write a configuration file; return its path."""
        path = self.case.tmp / f"{name}.json"
        content = {"name": self.name, "listen": f"{HOST}:{self.port}",
                   "discovery": f"{HOST}:{self.discovery.port}",
                   "seed": os.urandom(8).hex(), "limits": self.limits,
                   "known": known if known is not None else self.discovery.whole(), "settings": self.table}
        if self.console:
            content["console"] = f"{HOST}:{self.console}"
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(content))
        temporary.rename(path)
        return path

    def start(self, known=None):
        """Start a process; return it."""
        self.count += 1
        path = self.write(f"{self.name}-{self.count}", known)
        environment = {"GW_NAME": self.name, "GW_LISTEN": f"{HOST}:{self.port}",
                       "GW_DISCOVERY": f"{HOST}:{self.discovery.port}", "GW_CONFIG": str(path),
                       "TMPDIR": str(self.tmp)}
        if self.console:
            environment["GW_CONSOLE"] = f"{HOST}:{self.console}"
        self.process = self.case.start(f"{self.name}-{self.count}", environment)
        return self.process

    async def ready(self, seconds=15):
        """Wait until ``GET /up`` is answered 200."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise BlockedError("the program ended at its start")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if await get(self.port, "/up") == 200:
                    self.case.say("ready", name=self.name)
                    return
            await asyncio.sleep(0.05)
        raise BlockedError("the program did not get ready")


async def get(port, path, method="GET"):
    """Make a call without a body on a connection of its own; return the status."""
    async with asyncio.timeout(2):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            first, _, _ = await read_message(reader)
            return int(first.split()[1])
        finally:
            writer.close()


class Discovery:
    """Discovery: the whole list, and watches that wait for changes."""

    def __init__(self, case):
        self.case, self.rev, self.targets, self.port, self.changes = case, 41, {}, 0, []
        self.changed = asyncio.Event()

    async def serve(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, uid, port, state="up", az="tartu-dc", model="fast-2c", group=1, boot_ms=0):
        """Set one worker's entry; open watches are told."""
        self.rev += 1
        entry = {"uid": uid, "endpoint": f"{HOST}:{port}", "az": az, "model": model, "pod_group": group,
                 "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}
        if state == "removed":
            self.targets.pop(uid, None)
        else:
            self.targets[uid] = entry
        self.changes.append((self.rev, entry))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.case.say("list", uid=uid, state=state, az=az, rev=self.rev)

    def whole(self):
        """Return the whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    async def _serve(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError):
            while True:
                first, _, _ = await read_message(reader)
                query = dict(p.split("=") for p in first.split()[1].partition("?")[2].split("&") if p)
                if "index" in query:
                    index, wait = int(query["index"]), int(query.get("wait", "0"))
                    with suppress(TimeoutError):
                        async with asyncio.timeout(max(0.001, wait / 1000)):
                            while self.rev <= index:
                                await self.changed.wait()
                    rows = {entry["uid"]: entry for rev, entry in self.changes if rev > index}
                    answer = {"rev": self.rev, "all": False, "targets": list(rows.values())}
                else:
                    answer = self.whole()
                body = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        writer.close()


class Job:
    """A job at a worker."""

    def __init__(self, identity, body, told_s, at):
        self.identity, self.body, self.told_s, self.at = identity, body, told_s, at
        self.timer = None
        self.running = False


class Worker:
    """A posting worker: takes jobs, starts them in order, reports them by call-back.

    The body of a job begins with its running time in seconds. ``runs`` has (time, id) of each start.
    """

    def __init__(self, case, uid, call_back_port, slots=2, tells_start=True):
        self.case, self.uid, self.call_back_port, self.slots = case, uid, call_back_port, slots
        self.tells_start = tells_start
        self.port, self.jobs, self.queue = 0, {}, deque()
        self.received, self.runs, self.done = [], [], []

    async def serve(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, headers, body = await read_message(reader)
                method, path = first.split()[:2]
                status = self.handle(method, path, headers, body)
                if status is None:
                    continue
                extra = "X-Never-Ran: 1\r\n" if status == 503 else ""
                writer.write(f"HTTP/1.1 {status} X\r\n{extra}Content-Length: 0\r\n\r\n".encode())
                if status == 202:
                    self._start_queued()
        writer.close()

    def handle(self, method, path, headers, body):
        """Act on one request; return the status."""
        if method == "GET":
            return 200
        if method == "DELETE":
            identity = path.rpartition("/")[2]
            self.case.say("cancel", worker=self.uid, id=identity)
            if job := self.jobs.pop(identity, None):
                if job.timer:
                    job.timer.cancel()
                if job in self.queue:
                    self.queue.remove(job)
                self._start_queued()
            return 200
        identity = headers.get("x-trace-id", "")
        told = headers.get("x-expires-in", "")
        job = Job(identity, body, span_s(told) if told else None, self.case.now())
        self.received.append(job)
        self.case.say("attempt", worker=self.uid, id=identity, told=told)
        return self.take(job)

    def take(self, job):
        """Take a job; return the status."""
        self.jobs[job.identity] = job
        self.queue.append(job)
        return 202

    def _start_queued(self):
        while self.queue and sum(j.running for j in self.jobs.values()) < self.slots:
            job = self.queue.popleft()
            job.running = True
            self.runs.append((self.case.now(), job.identity))
            self.case.say("run", worker=self.uid, id=job.identity)
            if self.tells_start:
                self.report(job.identity, {"state": "started"})
            work = float(job.body.split(b" ", 1)[0] or b"0")
            job.timer = asyncio.get_running_loop().call_later(work, self._finish, job)

    def _finish(self, job):
        self.jobs.pop(job.identity, None)
        self.done.append(job.identity)
        self.case.say("done", worker=self.uid, id=job.identity)
        self.report(job.identity, {"state": "done", "result": f"{self.uid} {job.identity}"})
        self._start_queued()

    def report(self, identity, event):
        """Send a call-back, at most ten times, until it is answered."""
        return self.case.background(self._report(identity, event))

    async def _report(self, identity, event):
        body = json.dumps({"id": identity, "from": self.uid, **event}).encode()
        for _ in range(10):
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
                async with asyncio.timeout(2):
                    reader, writer = await asyncio.open_connection(HOST, self.call_back_port())
                    try:
                        writer.write(b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                     b"Content-Length: %d\r\n\r\n" % len(body) + body)
                        first, _, _ = await read_message(reader)
                    finally:
                        writer.close()
                    if first.split()[1] in ("200", "204"):
                        return
            await asyncio.sleep(0.1)
        self.case.say("call-back-lost", worker=self.uid, id=identity)


def request_bytes(identity, body, tenant="emajoe-energia", expires_ms=5000, path="/post-payment", extra=""):
    """Return the bytes of a client's request."""
    return (f"POST {path} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {identity}\r\n"
            f"X-Customer: {tenant}\r\nX-Expires-In: {expires_ms}m\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Answer:
    """What came back for one request: a status and a body, or how the connection ended."""

    def __init__(self, identity, sent):
        self.identity, self.sent = identity, sent
        self.status, self.body, self.at, self.end = None, b"", None, ""

    def __repr__(self):
        return f"{self.identity}:{self.status or self.end}"


async def send(case, port, identity, body, wait_s=7.0, **kind):
    """Send one request on a new connection as a usual client does; return its Answer."""
    answer = Answer(identity, case.now())
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request_bytes(identity, body, **kind))
            answer.sent = case.now()
            case.say("sent", id=identity)
            first, _, answer.body = await read_message(reader)
            answer.status = int(first.split()[1])
    except TimeoutError:
        answer.end = "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.end = f"closed without an answer ({type(error).__name__})"
    finally:
        if writer:
            writer.close()
    answer.at = case.now()
    case.say("answer", id=identity, status=answer.status, end=answer.end.replace(" ", "_"),
             after=f"{answer.at - answer.sent:.3f}", body=answer.body[:60])
    return answer
