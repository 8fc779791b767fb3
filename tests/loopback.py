"""Helpers for tests of the real scheduler: fake clients and workers on loopback sockets, and free ports."""

import asyncio
import json
import socket
from collections import Counter, deque
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from typing import Any, TypeVar

from hypothesis import settings

from hazellead.__main__ import Program
from hazellead.gearman.packets import Packet, Parser, Type, encode_packet
from hazellead.limits import Limits
from hazellead.operator_config import load

ROOT = Path(__file__).parents[1]
STEADY = settings(max_examples=50, stateful_step_count=30)  # Hypothesis settings of property tests
T = TypeVar("T")


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a test's coroutine; raises TimeoutError if it takes more than 30 s.

    Connections that the test leaves open are closed while their event loop runs. Otherwise the garbage
    collector would close them later, in the middle of another test or of pytest itself, and fail there.
    """
    async def bounded() -> T:
        try:
            return await asyncio.wait_for(work, 30)
        finally:
            loop: Any = asyncio.get_running_loop()  # asyncio's selector event loop
            for transport in list(loop._transports.values()):
                transport.close()

    return asyncio.run(bounded())


_reserved = deque[socket.socket]()


def free_port() -> int:
    """Return a port where nothing listens, reserved against use by others.

    The port stays bound: otherwise the system could give it to another listener on any free port, such as a
    fake server or a test of another run, before the test's own server listens on it. That server can
    listen there all the same, as servers set SO_REUSEADDR, as this function does.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    if len(_reserved) > 64:  # more than a single test needs
        _reserved.popleft().close()
    port: int = sock.getsockname()[1]
    return port


async def until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds; has no time limit of its own besides that of ``run``."""
    pause = 0.0002  # short, since most conditions hold almost at once
    while not condition():
        await asyncio.sleep(pause)
        pause = min(2 * pause, 0.005)


class Answers:
    """A client's reply that records the final answers it is sent."""

    def __init__(self) -> None:
        self.final: list[str] = []

    def served(self, result: bytes) -> None:
        self.final.append(f"served {result.decode()}")

    def refused(self, retry_after: timedelta) -> None:
        self.final.append("refused")

    def failed(self, reason: str) -> None:
        self.final.append("failed")

    def began(self) -> None:
        pass

    def progressed(self, share: float) -> None:
        pass

    def partial(self, data: bytes, **_: bool) -> None:
        pass


class RunningProgram:
    """A scheduler with the Gearman frontend, configured by deploy/gearman.toml with free ports."""

    def __init__(self, folder: Path, inventory: str, deadline: int = 5000, **limits: Any) -> None:
        self.inventory, settings_file = folder / "inventory.csv", folder / "gearman.toml"
        self.inventory.write_text("name,address,protocol,zone,model,state\n" + inventory)
        self.http_port, self.port = free_port(), free_port()
        text = 'seed = "8c1f"\n' + (ROOT / "deploy/gearman.toml").read_text()
        for old, new in (("127.0.0.1:8080", f"127.0.0.1:{self.http_port}"),
                         ("127.0.0.1:4730", f"127.0.0.1:{self.port}"),
                         ("deadline_ms = 5000", f"deadline_ms = {deadline}")):
            text = text.replace(old, new)
        settings_file.write_text(text)
        loaded = load(settings_file, {})
        assert loaded.gearman
        base = replace(loaded.base, limits=replace(loaded.base.limits, **limits))
        loaded = replace(loaded, base=base, gearman=replace(loaded.gearman, base=base))
        self.program = Program(loaded.base, loaded)

    def rewrite_inventory(self, inventory: str) -> None:
        self.inventory.write_text("name,address,protocol,zone,model,state\n" + inventory)


@asynccontextmanager
async def scheduler(
    folder: Path, inventory: str, deadline: int = 5000, **limits: Any,
) -> AsyncIterator[RunningProgram]:
    """Run a program with the Gearman frontend, and stop it at the end."""
    running = RunningProgram(folder, inventory, deadline, **limits)
    try:
        yield running
    finally:
        assert running.program.gearman
        await running.program.server.finish()
        await running.program.gearman.finish()
        running.program.sweep_timer.stop()


class GearmanPeer:
    """The client or worker side of a Gearman connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, Parser(Limits())

    @classmethod
    async def connect(cls, port: int) -> "GearmanPeer":
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, kind: Type, *args: bytes) -> None:
        self.writer.write(encode_packet(kind, *args, response=False))

    async def packet(self) -> Packet:
        while (item := self.parser.next()) is None:
            data = await self.reader.read(65536)
            if not data:
                raise ConnectionResetError
            self.parser.feed(data)
        assert isinstance(item, Packet)
        return item

    async def expect(self, *kinds: Type) -> Packet:
        """Read packets until one of these types arrives, and return it."""
        while (packet := await self.packet()).type not in kinds:
            pass
        return packet

    async def lines(self, command: str) -> list[str]:
        """Send an admin command and return the lines of its answer, up to the final dot."""
        self.writer.write(command.encode() + b"\n")
        got = []
        while (line := (await self.reader.readline()).decode().strip()) != ".":
            got.append(line)
        return got

    def close(self) -> None:
        self.writer.close()


JobBehavior = Callable[[GearmanPeer, bytes, bytes], Awaitable[None]]


async def complete(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    peer.send(Type.WORK_COMPLETE, handle, b"posted " + workload)


class GearmanWorker:
    """A fake Gearman worker: counts each job's workload in ``postings``, then runs its behavior.

    While ``may_grab`` is cleared, it does not grab a job after it is woken.
    """

    def __init__(self, name: str, postings: Counter[bytes], behavior: JobBehavior = complete) -> None:
        self.name, self.postings, self.behavior, self.may_grab = name, postings, behavior, asyncio.Event()
        self.may_grab.set()

    async def serve(self, port: int, function: bytes = b"post_payment") -> None:
        peer = self.peer = await GearmanPeer.connect(port)
        peer.send(Type.SET_CLIENT_ID, self.name.encode())
        peer.send(Type.CAN_DO, function)
        with suppress(ConnectionError):
            while True:
                peer.send(Type.GRAB_JOB_UNIQ)
                packet = await peer.expect(Type.JOB_ASSIGN_UNIQ, Type.NO_JOB)
                if packet.type == Type.NO_JOB:
                    peer.send(Type.PRE_SLEEP)
                    await peer.expect(Type.NOOP)
                    await self.may_grab.wait()
                    continue
                handle, _, _, workload = packet.args
                self.postings[workload] += 1
                await self.behavior(peer, handle, workload)


@asynccontextmanager
async def workers(port: int, *fake_workers: GearmanWorker) -> AsyncIterator[None]:
    """Keep fake workers connected."""
    tasks = [asyncio.ensure_future(w.serve(port)) for w in fake_workers]
    admin = await GearmanPeer.connect(port)

    async def connected() -> int:
        return sum("post_payment" in line for line in await admin.lines("workers"))

    while await connected() < len(fake_workers):
        await asyncio.sleep(0.01)
    admin.close()
    await asyncio.sleep(0.02)  # for the worker list to reach the dispatcher
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def http_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read an HTTP message; return its first line, its headers by lower-case name, and its body.

    Without Content-Length the body is empty.
    """
    first, *rest = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def http_post(
    port: int, target: str, body: bytes, headers: str = "",
) -> tuple[int, dict[str, str], bytes]:
    """Send a POST request on a new connection; return the answer's status, headers and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(
            f"POST {target} HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        first, got, answer = await http_message(reader)
    finally:
        writer.close()
    return int(first.split()[1]), got, answer


class HttpWorker:
    """A fake HTTP worker: counts each request body in ``postings``, answers and calls back.

    ``reply`` holds the bytes of its answer; None closes the connection without one. ``states`` holds the
    call-backs that it sends for each job.
    """

    def __init__(self, uid: str, postings: Counter[bytes], call_back_port: Callable[[], int]) -> None:
        self.uid, self.postings, self.call_back_port = uid, postings, call_back_port
        self.requests: list[str] = []
        self.headers: list[dict[str, str]] = []
        self.reply: bytes | None = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
        self.states: list[dict[str, Any]] = [{"state": "started"}, {"state": "done"}]
        self.calls_back_first = False  # sends the call-backs before the answer
        self.port = 0

    @asynccontextmanager
    async def serving(self) -> AsyncIterator["HttpWorker"]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()

    async def call_back(self, identity: str, **event: Any) -> int:
        body = json.dumps({"id": identity, "from": self.uid, **event}).encode()
        return (await http_post(self.call_back_port(), "/v1/job-events", body))[0]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._answer_requests(reader, writer)
        finally:
            writer.close()

    async def _answer_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                first, headers, body = await http_message(reader)
                self.requests.append(first)
                self.headers.append(headers)
                if not first.startswith("POST"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.postings[body] += 1
                if not self.calls_back_first and self.reply:
                    writer.write(self.reply)
                if self.reply is None:
                    return
                for event in self.states:
                    result = {"result": f"posted {body.decode()}"} if event["state"] == "done" else {}
                    assert await self.call_back(headers["x-trace-id"], **event, **result) == 200
                if self.calls_back_first:
                    writer.write(self.reply)
