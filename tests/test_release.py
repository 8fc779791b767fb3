"""What ended connections leave in memory while the garbage collector does not look for reference cycles."""

import asyncio
import gc
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

import pytest
from loopback import GearmanPeer, HttpWorker, free_port, http_message, run, scheduler, until
from tornado.iostream import IOStream

from hazellead.core.clock import Clock
from hazellead.core.jobs import Attempt, Job
from hazellead.gearman.packets import Type
from hazellead.gearman.server import GearmanConnection
from hazellead.limits import Limits
from hazellead.net.client import ClientConnection
from hazellead.net.server import Connection, Exchange, HttpServer

KINDS = (IOStream, Connection, Exchange, ClientConnection, GearmanConnection, Attempt, Job)
SHORT_TIMES = Limits(
    linger=timedelta(seconds=0.1), client_read=timedelta(seconds=0.1), sweep=timedelta(milliseconds=20))
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close sends a reset


def objects() -> Counter[str]:
    return Counter(type(o).__name__ for o in gc.get_objects() if isinstance(o, KINDS))


@pytest.fixture(autouse=True)
def without_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def post(target: str, headers: str = "", size: int = 60_000) -> bytes:
    return f"POST {target} HTTP/1.1\r\n{headers}Content-Length: {size}\r\n\r\n".encode() + b"x" * size


SENT = {
    "nothing": b"", "half a request": post("/never")[:-1], "a request": post("/never"),
    "an answered request": post("/ok"), "a refused request": post("/404"), "no request": b"\xff" * 20_000,
    "the last request": post("/ok", "Connection: close\r\n"), "requests at once": post("/later") * 4,
    "a flood": post("/never") * 40,
}


@pytest.mark.parametrize("end", ["closes", "closes at once", "resets", "stays"])
@pytest.mark.parametrize("sent", SENT)
def test_an_ended_http_connection_leaves_nothing_in_memory(sent: str, end: str) -> None:
    # Guards against: the traceback of the last read kept the connection with its request in memory.
    def answer(exchange: Exchange) -> None:
        match exchange.message.start_line[1]:
            case "/ok":
                exchange.respond(200)
            case "/later":
                asyncio.get_running_loop().call_later(0.01, exchange.respond, 200)
            case "/404":
                exchange.respond(404)

    async def case() -> None:
        server = HttpServer(SHORT_TIMES, Clock(), answer)
        server.listen(port := free_port(), "127.0.0.1")
        before = objects()
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(SENT[sent])
        await asyncio.sleep(0 if end == "closes at once" else 0.03)
        if end == "stays":
            await asyncio.sleep(0.2)
        if end == "resets":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        writer.close()
        await asyncio.sleep(0.03)
        await until(lambda: not server.connections)
        await asyncio.sleep(0)
        assert objects() - before == Counter()
        await server.finish()

    run(case())


async def http_client(port: int, identity: str, leaves_after: float | None) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = f"X-Trace-Id: {identity}\r\nX-Customer: emajoe-energia\r\nX-Expires-In: 300m\r\n"
    writer.write(post("/post-payment", headers, 1000))
    if leaves_after is None:
        await http_message(reader)
    else:
        await asyncio.sleep(leaves_after)
    writer.close()


async def gearman_client(port: int, identity: str, leaves_after: float | None) -> None:
    peer = await GearmanPeer.connect(port)
    peer.send(Type.SUBMIT_JOB, b"post_payment", b"", identity.encode())
    if leaves_after is None:
        await peer.expect(Type.WORK_COMPLETE, Type.WORK_FAIL)
    else:
        await asyncio.sleep(leaves_after)
    peer.close()


async def bad_gearman_client(port: int, data: bytes) -> None:
    peer = await GearmanPeer.connect(port)
    peer.writer.write(data)
    with suppress(ConnectionError, TimeoutError):
        await asyncio.wait_for(peer.reader.read(), 0.05)
    peer.close()


ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
WORKERS: dict[str, tuple[bytes | None, list[str]]] = {
    "serves": (ACCEPTED, ["started", "done"]), "runs on": (ACCEPTED, ["started"]), "closes": (None, []),
    "says nothing": (b"", []), "garbles its answer": (b"HTTP/1.1 xx\r\n\r\n", []),
    "fails": (b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", []),
}


ClientOfProgram = Callable[[int, int, str], Awaitable[None]]


async def check_program(folder: Path, worker: str, client: ClientOfProgram) -> None:
    fake = HttpWorker("h1", Counter(), lambda: http_port)
    fake.reply, states = WORKERS[worker]
    fake.states = [{"state": state} for state in states]
    async with fake.serving():
        inventory = f"h1,127.0.0.1:{fake.port},http,tartu-dc,,up\n"
        async with scheduler(folder, inventory, deadline=300) as running:
            http_port = running.http_port
            await running.program.start()
            await until(lambda: running.program.scheduler.has_available_workers)
            before = objects()
            for i in range(2):
                await client(running.http_port, running.port, f"n{i}")
            await until(lambda: not running.program.scheduler.open_identities)
            await asyncio.sleep(0.1)
            idle = running.program.workers.pool.count()
            left = objects() - before
            assert left["IOStream"] <= idle and left["ClientConnection"] <= idle, left
            assert set(left) <= {"IOStream", "ClientConnection"}, left


@pytest.mark.parametrize("front", ["http", "gearman"])
@pytest.mark.parametrize(
    ("worker", "leaves_after"), [*((name, None) for name in WORKERS), ("serves", 0.0), ("runs on", 0.03)])
def test_a_job_leaves_nothing_in_memory(
    tmp_path: Path, worker: str, front: str, leaves_after: float | None,
) -> None:
    # Guards against: a failed attempt, or a Gearman connection and its sessions, referred to one another.
    async def client(http_port: int, gearman_port: int, identity: str) -> None:
        if front == "http":
            await http_client(http_port, identity, leaves_after)
        else:
            await gearman_client(gearman_port, identity, leaves_after)

    run(check_program(tmp_path, worker, client))


@pytest.mark.parametrize("data", [b"", b"\0RE", b"\0XXXX", b"status\n", b"x" * 2000])
def test_a_gearman_connection_without_a_job_leaves_nothing_in_memory(tmp_path: Path, data: bytes) -> None:
    # Guards against: the connection and its two sessions referred to one another.
    run(check_program(tmp_path, "serves", lambda _, port, __: bad_gearman_client(port, data)))
