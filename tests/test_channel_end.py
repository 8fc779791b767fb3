"""What one process has passed on arrives, though it ends before the other has read it.

In one of 50 runs of two replacements under load a client's connection ended without an answer. A process that
ends passes its clients' connections on, closes the channel and exits. The new one passes call-backs that it
has no attempt for to the old one. Where such a write came after the close and before all was read, it failed
with EPIPE, and the new process closed its end: the messages still unread went, with the connections in them.
Evidence: the log of that test says ``predecessor_ended reason="cannot write: Broken pipe"`` in 2 of 12
hand-overs; the test below that brings the order about lost 8 of 8 connections each time.
"""

import asyncio
import os
import signal
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from loopback import HttpWorker, free_port, http_message, run, until
from test_handover import TENANTS
from test_program import program

from hazellead.lifecycle.channel import Channel
from hazellead.lifecycle.messages import FrameReader, Message, encode
from hazellead.net import http

HOST = "127.0.0.1"


@pytest.mark.parametrize("writes", [0, 1, 3])
def test_messages_and_descriptors_of_an_end_that_has_closed_are_read_before_the_channel_ends(
    writes: int,
) -> None:
    async def case() -> None:
        one, other = socket.socketpair()
        got: list[tuple[Message, list[socket.socket]]] = []
        ends: list[str] = []
        passing = Channel(one, lambda message, sockets: None, lambda reason: None)
        taking = Channel(other, lambda *message: got.append(message), ends.append)
        pairs = [socket.socketpair() for _ in range(5)]
        for near, _ in pairs:
            passing.send("connections", [near])
        passing.close()
        for _ in range(writes):  # as a call-back that is for the other process, before anything was read
            taking.send("call_back")
        await until(lambda: ends)
        assert len(got) == len(pairs), f"{len(got)} of {len(pairs)} messages came"
        for (_, [sock]), (_, far) in zip(got, pairs, strict=True):
            far.sendall(b"x")
            assert sock.recv(9) == b"x"
            sock.close()
            far.close()

    run(case())


class EndingPredecessor:
    """A serving process that is replaced, written from the steps of the hand-over, message by message."""

    def __init__(self, path: Path, port: int) -> None:
        self.port, self.reader = port, FrameReader()
        self.listener = socket.create_server((HOST, port))
        self.door = socket.socket(socket.AF_UNIX)
        self.door.bind(str(path))
        self.door.listen()
        self.messages: list[Message] = []

    async def _expect(self, kind: str) -> None:
        loop = asyncio.get_running_loop()
        while not any(m.kind == kind for m in self.messages):
            data = await asyncio.wait_for(loop.run_in_executor(None, self.line.recv, 1 << 20), 10)
            assert data, f"ended before {kind}"
            self.messages += self.reader.feed(data)

    async def hand_over(self) -> None:
        """Take part until the new process serves."""
        loop = asyncio.get_running_loop()
        self.line, _ = await asyncio.wait_for(loop.run_in_executor(None, self.door.accept), 10)
        await self._expect("hello")
        self.send("offer", [self.listener], version=1, known=None, told=None, discovery="")
        await self._expect("ready")
        self.send("commit", [], open=[], ended=[])
        await self._expect("started")

    def send(self, kind: str, sockets: list[socket.socket], **body: Any) -> None:
        frame = encode(Message(kind, body, len(sockets)))
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, b"".join(
            s.fileno().to_bytes(4, "little") for s in sockets))] if sockets else []
        assert self.line.sendmsg([frame], rights) == len(frame)

    def close(self) -> None:
        for sock in (self.line, self.door, self.listener):
            sock.close()


def request(name: int) -> bytes:
    return http.request("POST", "/post-payment", "x", {
        "X-Trace-Id": f"id{name}", "X-Customer": TENANTS[name % len(TENANTS)], "X-Expires-In": "5000m"},
        b"%d" % name)


CALL_BACK = http.request(
    "POST", "/v1/job-events", "x", {}, b'{"id":"none","from":"s-1","state":"done","result":""}')


def test_connections_passed_by_a_process_that_has_ended_are_answered_though_call_backs_come_first(
    tmp_path: Path,
) -> None:
    """The new process is held up (SIGSTOP) while the old one passes connections on and ends."""
    async def case() -> None:
        port = free_port()
        folder = tmp_path / "new"
        old = EndingPredecessor(tmp_path / f"hazellead-{port}.sock", port)
        worker = HttpWorker("s-1", Counter[bytes](), lambda: port)
        serving = asyncio.ensure_future(old.hand_over())
        async with worker.serving(), program(
                folder, port, worker, console=f"{HOST}:{free_port()}") as new:
            await serving
            calling, call_back = await asyncio.open_connection(HOST, port)
            call_back.write(CALL_BACK)
            answered = asyncio.ensure_future(http_message(calling))
            await old._expect("call_back")  # it passes such a call-back on
            old.send("answered", [], number=1, status=200)
            await answered

            clients, accepted = [], socket.create_server((HOST, 0))
            for _ in range(8):
                clients.append(await asyncio.open_connection(*accepted.getsockname()))
            os.kill(new.pid, signal.SIGSTOP)
            for _ in range(3):  # are there first when the process goes on
                call_back.write(CALL_BACK)
            await asyncio.sleep(0.1)
            for n, (_, writer) in enumerate(clients):
                sock, _ = accepted.accept()
                writer.write(request(n)[:-1])
                old.send("connections", [sock], read=[""], flags=[""])
                sock.close()
            old.close()
            os.kill(new.pid, signal.SIGCONT)

            async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, n: int) -> int:
                writer.write(request(n)[-1:])
                first, _, _ = await http_message(reader)
                writer.close()
                return int(first.split()[1])

            results = await asyncio.gather(
                *(answer(*ends, n) for n, ends in enumerate(clients)), return_exceptions=True)
            lost = [r for r in results if isinstance(r, BaseException)]
            assert not lost, f"{len(lost)} of {len(clients)} connections ended without an answer"
            assert set(results) <= {200, 429}
            call_back.close()

    run(case())


PASSED_AT_ONCE = 32  # connections in one message
HEAD = 14_000  # bytes of a request's head that have come: 32 of them do not fit into a channel's buffer


def test_connections_not_yet_written_to_a_successor_that_dies_stay_with_their_process(tmp_path: Path) -> None:
    """A successor reads nothing and dies. What was written to it is lost with it; the rest is still answered.

    Before, the channel closed the connections that waited to be written, with a part of a request read: 0 of
    28 were answered.
    """
    async def case() -> None:
        port, worker = free_port(), HttpWorker("s-1", Counter[bytes](), lambda: port)
        async with worker.serving(), program(
                tmp_path / "old", port, worker, console=f"{HOST}:{free_port()}"):
            path = str(tmp_path / f"hazellead-{port}.sock")
            await until(lambda: os.path.exists(path))
            reader, writer = await asyncio.open_unix_connection(path)
            messages, kinds = FrameReader(), list[str]()

            async def step(kind: str, answer: str, **body: Any) -> None:
                writer.write(encode(Message(kind, body)))
                while answer not in kinds:
                    data = await asyncio.wait_for(reader.read(1 << 20), 5)
                    assert data
                    kinds.extend(m.kind for m in messages.feed(data))

            await step("hello", "offer", version=1, listen=f"{HOST}:{port}")
            clients = [await asyncio.open_connection(HOST, port) for _ in range(60)]
            for n, (_, line) in enumerate(clients):
                line.write(request(n).partition(b"\r\n\r\n")[0] + b"\r\nX-Fill: " + b"x" * HEAD)
            await asyncio.sleep(0.2)
            await step("ready", "commit")
            writer.write(encode(Message("started", {})))
            await asyncio.sleep(0.3)  # with nothing read any more
            writer.transport.abort()
            await asyncio.sleep(0.2)

            async def answered(n: int, reader: asyncio.StreamReader, line: asyncio.StreamWriter) -> bool:
                try:
                    line.write(b"\r\n\r\n%d" % n)
                    return bool(await http_message(reader))
                except (OSError, asyncio.IncompleteReadError):
                    return False

            got = sum(await asyncio.gather(*(answered(n, *ends) for n, ends in enumerate(clients))))
            assert got >= len(clients) - PASSED_AT_ONCE, f"{got} of {len(clients)} answered"

    run(case())
