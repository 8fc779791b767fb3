"""One client sends at full speed on one connection; others are answered in time, and memory stays bounded.

Guards against a connection that keeps the event loop to itself, since reads and writes that can be done at
once do not suspend its task; and against what grows with each request or with each new name.
"""

import asyncio
import re
import select
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from itertools import count
from pathlib import Path

import pytest
from loopback import ROOT, GearmanPeer, HttpWorker, free_port, http_message, run, until

from hazellead.gearman.packets import Type, encode_packet

MEMORY_MB = 64
ANSWERED_WITHIN_S = 1.0  # a usual client's request of some ms, while the other client sends
FLOOD_S = 0.3
USUAL_REQUESTS = 4
_numbers = count()


def post(target: str, body: bytes, headers: str = "") -> bytes:
    return f"POST {target} HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def job(tenant: str = "pohja-vesi", target: str = "/post-payment") -> bytes:
    return post(target, b"x", f"X-Trace-Id: bad{next(_numbers)}\r\nX-Customer: {tenant}\r\n")


def call_back() -> bytes:
    n = next(_numbers)
    return post("/v1/job-events", b'{"id":"i%d","from":"w%d","state":"done","result":""}' % (n, n))


def packet(kind: Type, *args: bytes) -> bytes:
    return encode_packet(kind, *args, response=False)


def named(kind: Type, *more: bytes) -> Callable[[], bytes]:
    return lambda: packet(kind, b"n%d" % next(_numbers), *more)


def submission(kind: Type, *, key: bytes = b"", size: int = 1) -> Callable[[], bytes]:
    return lambda: packet(
        kind, b"post_payment", key + b"%d" % next(_numbers) if key else b"", b"x" * size)


HTTP_CALLS: dict[str, Callable[[], bytes]] = {
    "readiness": lambda: b"GET /up HTTP/1.1\r\n\r\n", "jobs": job, "call-backs": call_back,
    "unknown classes": lambda: job(target=f"/c{next(_numbers)}"),
    "unknown tenants": lambda: job(tenant=f"t{next(_numbers)}"),
    "methods": lambda: b"PUT /post-payment HTTP/1.1\r\n\r\n",
    "empty lines": lambda: b"\r\n" * 1000,
    "short fields": lambda: b"GET /up HTTP/1.1\r\n" + b"a:\r\n" * 3500 + b"\r\n",
    "small chunks": lambda: (b"POST /post-payment HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                             + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"),
    "trailers": lambda: (b"POST /up HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                         + b"a: b\r\n" * 2000 + b"\r\n"),
}
GEARMAN_CALLS: dict[str, Callable[[], bytes]] = {
    "echo": lambda: packet(Type.ECHO_REQ, b"x"), "large echo": lambda: packet(Type.ECHO_REQ, b"x" * 60_000),
    "jobs": submission(Type.SUBMIT_JOB), "jobs with keys": submission(Type.SUBMIT_JOB_HIGH, key=b"k"),
    "large jobs": submission(Type.SUBMIT_JOB_LOW, size=60_000), "background": submission(Type.SUBMIT_JOB_BG),
    "unknown functions": named(Type.SUBMIT_JOB, b"", b"x"), "names": named(Type.SET_CLIENT_ID),
    "abilities": lambda: packet(Type.CAN_DO, b"f%d" % (next(_numbers) % 200)),
    "new abilities": lambda: named(Type.CAN_DO)() + packet(Type.RESET_ABILITIES),
    "grabs": lambda: packet(Type.GRAB_JOB), "sleep": lambda: packet(Type.PRE_SLEEP),
    "reports": named(Type.WORK_COMPLETE, b""), "status": named(Type.GET_STATUS),
    "status by key": named(Type.GET_STATUS_UNIQUE), "options": named(Type.OPTION_REQ),
    "unserved": lambda: packet(Type.SUBMIT_JOB_EPOCH, b"f", b"u", b"1", b"d"),
    "admin lines": lambda: b"workers\nstatus\n",
}
CALLS = [("http", name) for name in HTTP_CALLS] + [("gearman", name) for name in GEARMAN_CALLS]


class Flood(threading.Thread):
    """A client that sends the same kind of call on one connection, and on a new one once that is closed."""

    def __init__(self, port: int, call: Callable[[], bytes], how: str) -> None:
        super().__init__()
        self._port, self._call, self._how = port, call, how
        self.ended, self.calls = threading.Event(), 0

    def run(self) -> None:
        while not self.ended.is_set():
            with suppress(OSError), socket.create_connection(("127.0.0.1", self._port), 1) as sock:
                (self._one_by_one if self._how == "one by one" else self._pipelined)(sock)

    def _one_by_one(self, sock: socket.socket) -> None:
        sock.settimeout(0.01)  # some calls get no answer
        while not self.ended.is_set():
            sock.sendall(self._call())
            self.calls += 1
            with suppress(TimeoutError):
                if not sock.recv(1 << 18):
                    return

    def _pipelined(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        unsent = b""
        while not self.ended.is_set():
            while len(unsent) < 65_536:
                unsent += self._call()
                self.calls += 1
            reads = [sock] if self._how == "pipelined" else []
            readable, writable, _ = select.select(reads, [sock], [], 0.05)
            if readable and not sock.recv(1 << 18):
                return
            if writable:
                unsent = unsent[sock.send(unsent):]


class Installation:
    """One process with both fronts, with a worker that serves at once."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.http_port, self.gearman_port = folder, free_port(), free_port()
        self.worker = HttpWorker("h1", Counter(), lambda: self.http_port)

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Installation"]:
        async with self.worker.serving():
            self.worker.postings.clear()
            inventory = f"name,address,protocol,zone\nh1,127.0.0.1:{self.worker.port},http,tartu-dc\n"
            (self.folder / "inventory.csv").write_text(inventory)
            text = (ROOT / "deploy/gearman.toml").read_text()
            for old, new in (("127.0.0.1:8080", f"127.0.0.1:{self.http_port}"),
                             ("127.0.0.1:4730", f"127.0.0.1:{self.gearman_port}"),
                             ("sockets = 1024", f"sockets = 256\nmemory_mb = {MEMORY_MB}"),
                             ("quotaPerS = 30", "quotaPerS = 3000")):
                assert old in text
                text = text.replace(old, new)
            (self.folder / "gearman.toml").write_text(text)
            with (self.folder / "log").open("w") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "hazellead", str(self.folder / "gearman.toml"), cwd=ROOT,
                    stderr=log)
            try:
                await until(lambda: "event=ready" in (self.folder / "log").read_text())
                yield self
            finally:
                self.process.kill()
                await self.process.wait()

    def memory_mb(self) -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        assert found
        return int(found[1]) / 1024

    async def usual_request(self, front: str) -> float:
        """Send a usual client's job on a new connection; return how long its answer took."""
        begun = time.monotonic()
        async with asyncio.timeout(5):
            if front == "http":
                reader, writer = await asyncio.open_connection("127.0.0.1", self.http_port)
                headers = f"X-Trace-Id: u{next(_numbers)}\r\nX-Customer: emajoe-energia\r\n"
                writer.write(post("/post-payment", b"u", headers))
                await http_message(reader)
                writer.close()
            else:
                peer = await GearmanPeer.connect(self.gearman_port)
                peer.send(Type.SUBMIT_JOB, b"post_payment_water", b"", b"u")
                await peer.expect(Type.WORK_COMPLETE, Type.WORK_FAIL)
                peer.close()
        return time.monotonic() - begun


@pytest.mark.parametrize("how", ["one by one", "pipelined", "without reading"])
def test_other_clients_are_answered_beside_one_that_sends_at_full_speed(tmp_path: Path, how: str) -> None:
    slow, large = dict[str, float](), dict[str, float]()

    async def beside(installation: Installation, front: str, name: str) -> None:
        calls = HTTP_CALLS if front == "http" else GEARMAN_CALLS
        port = installation.http_port if front == "http" else installation.gearman_port
        flood = Flood(port, calls[name], how)
        flood.start()
        try:
            for _ in range(USUAL_REQUESTS):
                for usual in ("http", "gearman"):
                    took = await installation.usual_request(usual)
                    if took > ANSWERED_WITHIN_S:
                        slow[f"{front} {name}, {usual} client"] = took
                await asyncio.sleep(FLOOD_S / USUAL_REQUESTS)
                if (memory := installation.memory_mb()) > MEMORY_MB:
                    large[f"{front} {name}"] = memory
        finally:
            flood.ended.set()
            await asyncio.to_thread(flood.join)
        assert flood.calls

    async def case(calls: list[tuple[str, str]]) -> None:
        async with Installation(tmp_path).running() as installation:
            for front, name in calls:
                await beside(installation, front, name)
            assert installation.process.returncode is None

    for part in range(0, len(CALLS), 7):
        run(case(CALLS[part:part + 7]))
    assert not slow and not large
