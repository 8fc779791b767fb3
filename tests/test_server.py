"""A client's connection against a model of its states: waiting, half a request, one in hand, ended."""

import asyncio
import errno
import socket
import time
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from loopback import STEADY, free_port, http_message, run, until
from structlog.testing import capture_logs

from hazellead.core.clock import Clock
from hazellead.limits import Limits
from hazellead.net.http import request
from hazellead.net.server import Connection, Exchange, HttpServer, State

QUICK = Limits(body=1000, linger=timedelta(seconds=0.2), slow=timedelta(seconds=0.2))


class Talk(RuleBasedStateMachine):
    """A client on a real connection; its requests may come in pieces and ahead of the answers."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.runner.run(self.begin())
        self.connect()

    async def begin(self) -> None:
        def handle(exchange: Exchange) -> None:
            assert exchange.message.body == b"%d" % self.asked, "out of order"
            self.asked += 1
            self.hand.append(exchange)
            exchange.on_gone = self.left

        self.server = HttpServer(QUICK, Clock(), handle)
        self.server.listen(port := free_port(), "127.0.0.1")
        self.port = port

    def connect(self) -> None:
        self.sent, self.rest = 0, b""  # whole requests written; what is still to be written of one
        self.asked = self.answered = self.gone = 0
        self.hand: list[Exchange] = []
        self.reader, self.writer = self.runner.run(asyncio.open_connection("127.0.0.1", self.port))

    def left(self) -> None:
        self.gone += 1

    def settle(self) -> None:
        """Wait for what the model says comes next: one request at a time is in hand."""
        self.runner.run(asyncio.wait_for(until(
            lambda: self.asked == min(self.sent, self.answered + 1)), 10))

    @rule(part=st.integers(1, 99))
    def write(self, part: int) -> None:
        if not self.rest:
            self.rest = request("POST", "/a", "b", {}, b"%d" % self.sent)
        now, self.rest = self.rest[:part], self.rest[part:]
        self.sent += not self.rest
        self.writer.write(now)
        self.settle()

    @precondition(lambda self: self.asked > self.answered)
    @rule(again=st.booleans())
    def answer(self, again: bool) -> None:
        exchange = self.hand[-1]
        exchange.respond(200, b"%d" % self.answered)
        if again:
            exchange.respond(500)  # of no effect
        first, _, body = self.runner.run(asyncio.wait_for(http_message(self.reader), 10))
        assert first == "HTTP/1.1 200 OK" and body == b"%d" % self.answered
        self.answered += 1
        self.settle()

    @rule(hard=st.booleans())
    def leave(self, hard: bool) -> None:
        if hard:
            self.writer.transport.abort()
        self.writer.close()
        self.runner.run(asyncio.wait_for(until(lambda: not self.server.connections), 10))
        assert self.gone == (self.asked > self.answered), "not told once that the client left"
        self.connect()

    def teardown(self) -> None:
        self.writer.close()
        self.runner.run(self.server.finish())
        assert not self.server.connections
        self.runner.close()


Talk.TestCase.settings = STEADY
TestTalk = Talk.TestCase


async def raw(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    got = await reader.read()
    writer.close()
    return got


async def get_ok(port: int) -> bool:
    return (await raw(port, request("GET", "/a", "b", {"Connection": "close"}))).endswith(b"ok")


def serving(limits: Limits) -> tuple[HttpServer, int]:
    server = HttpServer(limits, Clock(), lambda exchange: exchange.respond(200, b"ok"))
    server.listen(port := free_port(), "127.0.0.1")
    return server, port


@pytest.mark.parametrize(("data", "status"), [
    (b"GET / HTTP/9\r\n\r\n", b"400"), (request("POST", "/a", "b", None, b"ab") + b"cd", b"400"),
    (b"GET /" + b"a" * 20000, b"431"),
    (b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + b"a" * 1001, b"413")])
def test_a_bad_request_is_answered_whole_before_the_connection_ends(data: bytes, status: bytes) -> None:
    async def case() -> None:
        server, port = serving(QUICK)
        got = await raw(port, data)
        assert got.startswith(b"HTTP/1.1 " + status) and b"Connection: close" in got
        await server.finish()

    run(case())


@pytest.mark.parametrize(("first", "drip", "answer"), [
    (b"", b"", b""), (b"", b"\r\n", b""), (b"GET / HT", b"", b"HTTP/1.1 408"),
    (b"GET / HTTP/1.1\r\n", b"A: b\r\n", b"HTTP/1.1 408"),
    (b"POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n", b"a", b"HTTP/1.1 408"),
    (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n", b"HTTP/1.1 408"),
    (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n", b"HTTP/1.1 408")])
@pytest.mark.parametrize("asked", [False, True])
def test_a_request_that_never_comes_whole_is_ended_in_time(
    first: bytes, drip: bytes, answer: bytes, asked: bool,
) -> None:
    """Whatever drips meanwhile. Between requests a connection may rest, but not be kept by empty lines."""
    async def case() -> None:
        server, port = serving(Limits(client_read=timedelta(seconds=0.2), client_idle=timedelta(seconds=0.4),
                                      sweep=timedelta(seconds=0.05)))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        if asked:
            writer.write(request("GET", "/a", "b"))
            assert (await http_message(reader))[2] == b"ok"
        begun = time.monotonic()
        writer.write(first)
        ended = asyncio.ensure_future(reader.read())
        while not ended.done():
            writer.write(drip)
            await asyncio.sleep(0.02)
        assert (await ended)[:12] == answer
        assert time.monotonic() - begun < (0.7 if asked and not first else 0.5)
        writer.close()
        await server.finish()

    run(case())


def test_unfinished_requests_are_bounded_by_their_bytes() -> None:
    async def case() -> None:
        server, port = serving(Limits(buffered=50_000, client_read=timedelta(days=1)))
        head = b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
        ends = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        for (_, writer), size in zip(ends, (30_000, 1_000, 25_000), strict=True):
            writer.write(head + b"a" * size)
            await until(lambda size=size: any(c.weight >= size for c in server.connections))
        assert (await ends[0][0].read()).startswith(b"HTTP/1.1 503")  # the heaviest but for the newest
        assert await get_ok(port)
        assert sorted(c.weight > 2_000 for c in server.connections if c.weight) == [False, True]
        for _, writer in ends:
            writer.close()
        await server.finish()

    run(case())


def test_room_is_made_by_those_who_miss_least() -> None:
    async def case() -> None:
        # The slow one has to make room itself, and not to be timed out after a refusal of the newest.
        limits = Limits(client_connections=3, first_byte=timedelta(0), slow=timedelta(0), linger=timedelta(0),
                        client_read=timedelta(days=1))
        server, port = serving(limits)
        got = {}
        for name, data in (("slow", b"GET"), ("kept", request("GET", "/a", "b")), ("silent", b"")):
            got[name] = reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            if name == "kept":
                assert (await http_message(reader))[2] == b"ok"
            await until(lambda: len(server.connections) == len(got) and sum(
                not c.idle for c in server.connections) == 1)
        for name, end in (("silent", b""), ("kept", b""), ("slow", b"HTTP/1.1 408")):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET")
            assert (await got[name][0].read())[:12] == end
        await server.finish()

    run(case())


def test_making_room_looks_at_few_connections_however_many_there_are() -> None:
    """A crowd of 350 new connections a second took the whole processor while each searched 640 others."""
    async def case() -> None:
        server, port = serving(Limits(client_connections=30, first_byte=timedelta(0)))
        ends = [await asyncio.open_connection("127.0.0.1", port) for _ in range(30)]
        for _, writer in ends:
            writer.write(request("GET", "/a", "b"))
        await until(lambda: len(server._states[State.RESTING]) == 30)
        looked = []

        class Watched(Connection):
            def __getattribute__(self, name: str) -> Any:
                looked.append(self)
                return super().__getattribute__(name)

        for connection in server.connections:
            connection.__class__ = Watched
        assert server._make_room() and len({id(c) for c in looked}) == 1
        for _, writer in ends:
            writer.close()
        await server.finish()

    run(case())


def test_one_that_waits_for_leave_to_send_its_body_gets_it() -> None:
    async def case() -> None:
        server, port = serving(QUICK)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
        assert (await http_message(reader))[0] == "HTTP/1.1 100 Continue"
        writer.write(b"a")
        assert (await http_message(reader))[2] == b"ok"
        writer.close()
        await server.finish()

    run(case())


def test_connections_are_bounded_in_number_and_slowness() -> None:
    async def case() -> None:
        server, port = serving(
            Limits(client_connections=1, client_read=timedelta(0), linger=timedelta(days=1),
                   first_byte=timedelta(0), sweep=timedelta(days=1)))
        _, idle = await asyncio.open_connection("127.0.0.1", port)
        await until(lambda: any(c.idle for c in server.connections))
        reader, slow = await asyncio.open_connection("127.0.0.1", port)  # the idle one makes room
        slow.write(b"GET")
        await until(lambda: any(not c.idle for c in server.connections))
        reader2, refused = await asyncio.open_connection("127.0.0.1", port)  # a busy one does not
        first, headers, _ = await http_message(reader2)
        assert first.startswith("HTTP/1.1 503") and float(headers["retry-after"]) > 0
        refused.close()
        server.sweep()
        assert (await reader.read()).startswith(b"HTTP/1.1 408")
        idle.close()
        slow.close()
        server.stop()

    run(case())


def test_one_that_is_slow_to_send_makes_room_before_a_new_one_is_refused() -> None:
    async def case() -> None:
        server, port = serving(Limits(client_connections=1, slow=timedelta(0)))
        reader, slow = await asyncio.open_connection("127.0.0.1", port)
        slow.write(b"GET")
        await until(lambda: any(not c.idle for c in server.connections))
        new, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request("GET", "/a", "b"))
        assert (await http_message(new))[2] == b"ok" and (await reader.read()).startswith(b"HTTP/1.1 408")
        writer.close()
        slow.close()
        await server.finish()

    run(case())


def test_a_request_that_crosses_the_close_is_not_taken() -> None:
    async def case() -> None:
        taken: list[Any] = []
        server = HttpServer(QUICK, Clock(), taken.append)
        server.listen(port := free_port(), "127.0.0.1")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await until(lambda: server.connections)
        ending = asyncio.ensure_future(server.finish())
        assert await reader.read() == b""  # told of the close; what follows was written before that was seen
        writer.write(request("POST", "/a", "b"))
        await ending
        assert not taken
        with pytest.raises(OSError), socket.create_connection(("127.0.0.1", port)):
            pass
        writer.close()

    run(case())


async def stuck(server: HttpServer, port: int, behind: bytes) -> tuple[list[int], socket.socket]:
    """A client whose request is in hand, and which has sent more behind it."""
    gone: list[int] = []
    server.handler = lambda exchange: setattr(exchange, "on_gone", lambda: gone.append(1))
    client = socket.create_connection(("127.0.0.1", port))
    client.sendall(request("POST", "/a", "b"))
    await until(lambda: any(c.exchange for c in server.connections))
    await asyncio.to_thread(client.sendall, behind)
    return gone, client


@pytest.mark.parametrize("hard", [False, True])
def test_a_client_that_floods_and_goes_is_noticed_at_once(hard: bool) -> None:
    async def case() -> None:
        server, port = serving(Limits())
        gone, client = await stuck(server, port, request("POST", "/a", "b", {}, b"a" * 9000) * 70)
        assert not gone
        if hard:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.close()
        began = time.monotonic()
        await until(lambda: gone)
        assert time.monotonic() - began < 0.1
        await server.finish()

    run(case())


def test_a_client_that_floods_without_end_is_told_so_and_its_request_given_up() -> None:
    async def case() -> None:
        limits = Limits(pipelined=300_000)
        server, port = serving(limits)
        gone, client = await stuck(server, port, b"")
        most = [0]

        def flood() -> bytes:
            answer = b""
            try:
                while most[0] < 50_000_000:
                    most[0] += client.send(b"GET /a HTTP/1.1\r\n\r\n" * 500)
            except OSError:
                pass
            client.settimeout(1)
            try:
                answer = client.recv(1000)
            except OSError:
                pass
            return answer

        flooding = asyncio.ensure_future(asyncio.to_thread(flood))
        await until(lambda: gone)
        assert max(c.weight for c in server.connections) < limits.head + limits.body + limits.read
        await asyncio.wait_for(flooding, 5)  # it ends within the time for taking the last answer
        assert most[0] < 50_000_000
        await until(lambda: not server.connections)
        client.close()
        await server.finish()

    run(case())


def test_nothing_is_begun_for_a_client_that_left_before_its_request_was_read() -> None:
    async def case() -> None:
        taken: list[Any] = []
        server, port = serving(Limits())
        server.handler = taken.append
        client = socket.create_connection(("127.0.0.1", port))  # all of it while the loop stands still
        client.sendall(request("POST", "/a", "b"))
        client.close()
        met: list[int] = []
        accept = server._handle_connection
        server._handle_connection = lambda *given: (met.append(1), accept(*given))
        await until(lambda: met and not server.connections)
        assert not taken
        await server.finish()

    run(case())


def shut(server: HttpServer) -> None:
    server.end_idle()


def expire(server: HttpServer) -> None:
    for connection in server.connections:
        connection.since -= timedelta(days=1)
    server.sweep()


def crowd(server: HttpServer) -> None:
    server._make_room()


@pytest.mark.parametrize("read", [False, True])
@pytest.mark.parametrize("close", [shut, expire, crowd])
def test_a_request_that_comes_in_the_moment_of_the_close_is_answered(close: Any, read: bool) -> None:
    """It lies in the system's buffer, or in a read that has finished and was not yet taken."""
    async def case() -> None:
        server, port = serving(Limits())
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request("GET", "/a", "b"))
        assert (await http_message(reader))[2] == b"ok"
        (connection,) = server.connections
        done: list[bool] = []

        def look() -> None:
            # It comes before what the read wakes, as it was put into the loop's queue before.
            if connection._reading and connection._reading.done():
                done.append(True)
                close(server)
            else:
                loop.call_soon(look)

        if read:
            look()
            writer.write(request("GET", "/a", "b"))
            await until(lambda: done)
        else:
            writer.transport.get_extra_info("socket")._sock.send(request("GET", "/a", "b"))
            close(server)
        assert (await http_message(reader))[2] == b"ok"
        writer.close()
        await server.finish()

    run(case())


def test_each_connection_is_counted_before_the_next_is_accepted() -> None:
    """Guards the descriptors set aside: a crowd comes at once."""
    async def case() -> None:
        server, port = serving(Limits(client_connections=5, refusals=2))
        most, accept = [0], server._handle_connection

        def watched(sock: socket.socket, address: Any) -> None:
            accept(sock, address)
            most[0] = max(most[0], len(server.connections) + server._refused)

        server._handle_connection = watched
        crowd = [socket.create_connection(("127.0.0.1", port)) for _ in range(40)]
        await until(lambda: most[0] >= 7)
        await asyncio.sleep(0.05)
        assert most[0] == 7
        for sock in crowd:
            sock.close()
        await server.finish()

    run(case())


def test_it_rests_where_no_descriptor_is_left_and_can_be_stopped_meanwhile() -> None:
    async def case() -> None:
        server, port = serving(Limits(accept_pause=timedelta(seconds=0.1)))
        (sock,) = server._sockets.values()
        tries = list[float]()

        class Short:
            """The listening socket of a process that has no descriptor left."""

            def accept(self) -> Any:
                tries.append(time.monotonic())
                raise OSError(errno.EMFILE, "Too many open files")

            def __getattr__(self, name: str) -> Any:
                return getattr(sock, name)

        listening = server._sockets[sock.fileno()]
        server.pause()
        server.add_sockets([Short()])  # type: ignore[list-item]
        with capture_logs() as logs:
            client = socket.create_connection(("127.0.0.1", port))
            await until(lambda: len(tries) == 3)
            assert tries[2] - tries[0] > 0.19 and [e["event"] for e in logs] == ["accept_failed"]
        server.pause()
        server.add_sockets([listening])
        client.sendall(request("GET", "/a", "b", {"Connection": "close"}))
        await until(lambda: server.connections)
        client.close()  # it is ending as room has to be made
        server.pause()
        server.add_sockets([Short()])  # type: ignore[list-item]
        before = len(tries)
        with socket.create_connection(("127.0.0.1", port)):
            await until(lambda: len(tries) > before)
            await server.finish()  # while it rests
        await asyncio.sleep(0.15)
        assert len(tries) == before + 1

    run(case())


def test_adopted_connections_go_on_where_they_were_and_make_room_as_others_do() -> None:
    async def case() -> None:
        old, port = serving(Limits())
        new = HttpServer(Limits(client_connections=2), Clock(), lambda e: e.respond(200, b"new"))
        pairs = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        for reader, writer in pairs:
            writer.write(request("GET", "/a", "b"))
            assert (await http_message(reader))[2] == b"ok"
        pairs[1][1].write(b"GET /a HT")  # the next request has begun
        await until(lambda: sum(not c.idle for c in old.connections) == 1)
        given = [c.detach() for c in sorted(old.connections, key=lambda c: c.idle)]
        for detached in given:
            assert detached and detached.proven and not detached.lasting
            new.adopt(detached)
        await until(lambda: not old.connections)
        new.listen(other := free_port(), "127.0.0.1")
        got = await raw(other, request("GET", "/a", "b", {"Connection": "close"}))
        assert got.endswith(b"new"), "the resting one has not made room"
        assert await pairs[0][0].read() == b""
        pairs[1][1].write(b"TP/1.1\r\n\r\n")
        assert (await http_message(pairs[1][0]))[2] == b"new"
        for _, writer in pairs:
            writer.close()
        await old.finish()
        await new.finish()

    run(case())


def test_one_that_has_just_come_may_say_what_it_came_for_before_it_counts_as_idle() -> None:
    """A call-back on a new connection, as the end of idle ones falls between its connect and first byte."""
    async def case() -> None:
        server, port = serving(Limits())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await until(lambda: server.connections)
        server.end_idle()
        writer.write(request("GET", "/a", "b", {"Connection": "close"}))
        assert (await http_message(reader))[2] == b"ok"
        silent, other = await asyncio.open_connection("127.0.0.1", port)
        await until(lambda: server.connections)
        await asyncio.sleep(Limits().first_byte.total_seconds())
        server.end_idle()
        assert await silent.read() == b""
        writer.close()
        other.close()
        await server.finish()

    run(case())
