"""Messages of a process that has ended are still read, and unsent connections are served by their process.

In one of 50 runs of two replacements under load a client's connection was closed without an answer. A
process that ends passes its connections on, closes the channel and exits; the new process forwards
call-backs for which it has no attempt to the old one. If it wrote such a call-back after the close and before
it had read everything, the write failed with EPIPE and it closed its end: the unread messages were lost, with
the connections in them. The log of that test had ``predecessor_ended reason="cannot write: Broken pipe"`` in
2 of 12 hand-overs; the test below that forces this order lost 8 of 8 connections each time.
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
def test_messages_and_descriptors_are_read_after_the_other_side_has_closed(
    writes: int,
) -> None:
    async def case() -> None:
        one, other = socket.socketpair()
        got: list[tuple[Message, list[socket.socket]]] = []
        ends: list[str] = []
        sender = Channel(one, lambda message, sockets: None, lambda reason: None)
        receiver = Channel(other, lambda *message: got.append(message), ends.append)
        pairs = [socket.socketpair() for _ in range(5)]
        for near, _ in pairs:
            sender.send("connections", [near])
        sender.close()
        for _ in range(writes):  # like a forwarded call-back, before anything is read
            receiver.send("call_back")
        await until(lambda: ends)
        assert len(got) == len(pairs), f"{len(got)} of {len(pairs)} messages came"
        for (_, [sock]), (_, far) in zip(got, pairs, strict=True):
            far.sendall(b"x")
            assert sock.recv(9) == b"x"
            sock.close()
            far.close()

    run(case())


class EndingPredecessor:
    """A test double of a process that is replaced and ends: sends its messages one by one."""

    def __init__(self, path: Path, port: int) -> None:
        self.port, self.reader = port, FrameReader()
        self.listener = socket.create_server((HOST, port))
        self.unix_listener = socket.socket(socket.AF_UNIX)
        self.unix_listener.bind(str(path))
        self.unix_listener.listen()
        self.messages: list[Message] = []

    async def _expect(self, kind: str) -> None:
        loop = asyncio.get_running_loop()
        while not any(m.kind == kind for m in self.messages):
            data = await asyncio.wait_for(loop.run_in_executor(None, self.channel.recv, 1 << 20), 10)
            assert data, f"ended before {kind}"
            self.messages += self.reader.feed(data)

    async def hand_over(self) -> None:
        """Exchange messages until the new process serves."""
        loop = asyncio.get_running_loop()
        self.channel, _ = await asyncio.wait_for(loop.run_in_executor(None, self.unix_listener.accept), 10)
        await self._expect("hello")
        self.send("offer", [self.listener], version=1, known=None, told=None, discovery="")
        await self._expect("ready")
        self.send("commit", [], open=[], ended=[])
        await self._expect("started")

    def send(self, kind: str, sockets: list[socket.socket], **body: Any) -> None:
        frame = encode(Message(kind, body, len(sockets)))
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, b"".join(
            s.fileno().to_bytes(4, "little") for s in sockets))] if sockets else []
        assert self.channel.sendmsg([frame], rights) == len(frame)

    def close(self) -> None:
        for sock in (self.channel, self.unix_listener, self.listener):
            sock.close()


def request(name: int) -> bytes:
    return http.request("POST", "/post-payment", "x", {
        "X-Trace-Id": f"id{name}", "X-Customer": TENANTS[name % len(TENANTS)], "X-Expires-In": "5000m"},
        b"%d" % name)


CALL_BACK = http.request(
    "POST", "/v1/job-events", "x", {}, b'{"id":"none","from":"s-1","state":"done","result":""}')


def test_connections_passed_on_by_an_ended_process_are_answered_even_if_call_backs_come_first(
    tmp_path: Path,
) -> None:
    """The new process is stopped (SIGSTOP) while the old one passes connections on and ends."""
    async def case() -> None:
        port = free_port()
        folder = tmp_path / "new"
        old = EndingPredecessor(tmp_path / f"hazellead-{port}.sock", port)
        worker = HttpWorker("s-1", Counter[bytes](), lambda: port)
        serving = asyncio.ensure_future(old.hand_over())
        async with worker.serving(), program(
                folder, port, worker, console=f"{HOST}:{free_port()}") as new:
            await serving
            worker_reader, worker_writer = await asyncio.open_connection(HOST, port)
            worker_writer.write(CALL_BACK)
            answered = asyncio.ensure_future(http_message(worker_reader))
            await old._expect("call_back")  # the new process forwards it
            old.send("answered", [], number=1, status=200)
            await answered

            clients, accepted = [], socket.create_server((HOST, 0))
            for _ in range(8):
                clients.append(await asyncio.open_connection(*accepted.getsockname()))
            os.kill(new.pid, signal.SIGSTOP)
            for _ in range(3):  # waiting when the process continues
                worker_writer.write(CALL_BACK)
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
            worker_writer.close()

    run(case())


PASSED_AT_ONCE = 32  # connections in one message
HEAD = 14_000  # bytes already received of a request's head: 32 of them do not fit into a channel's buffer


def test_connections_not_sent_to_a_successor_that_dies_are_served_by_the_old_process(tmp_path: Path) -> None:
    """A successor reads nothing and dies: connections written to it are lost, the others are still answered.

    The channel used to close the connections that waited to be written, with part of a request read from
    them: 0 of 28 were answered.
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
            for n, (_, client_writer) in enumerate(clients):
                client_writer.write(request(n).partition(b"\r\n\r\n")[0] + b"\r\nX-Fill: " + b"x" * HEAD)
            await asyncio.sleep(0.2)
            await step("ready", "commit")
            writer.write(encode(Message("started", {})))
            await asyncio.sleep(0.3)  # the successor reads nothing more
            writer.transport.abort()
            await asyncio.sleep(0.2)

            async def answered(
                n: int, reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter,
            ) -> bool:
                try:
                    client_writer.write(b"\r\n\r\n%d" % n)
                    return bool(await http_message(reader))
                except (OSError, asyncio.IncompleteReadError):
                    return False

            got = sum(await asyncio.gather(*(answered(n, *ends) for n, ends in enumerate(clients))))
            assert got >= len(clients) - PASSED_AT_ONCE, f"{got} of {len(clients)} answered"

    run(case())
