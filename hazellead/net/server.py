"""Serves HTTP/1.1 on IOStreams: one request at a time on each connection, one answer to each request."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from itertools import islice
from typing import Any

import structlog
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream, StreamClosedError

from hazellead.core.clock import Clock
from hazellead.limits import Limits
from hazellead.net.accept import Listener
from hazellead.net.http import HttpError, Message, Parser, response
from hazellead.net.streams import alive, close_gently

log = structlog.get_logger()

_LOOKED_AT = 8  # of the oldest in each state, when one has to make room
UNUSABLE = frozenset({400, 404, 405, 409, 413, 431})  # after these answers the connection ends


class Exchange:
    """One request and the way to answer it. ``on_gone`` is called if the client leaves before the answer."""

    __slots__ = ("answer", "job", "lasting", "message", "on_gone")

    def __init__(self, message: Message) -> None:
        """Start unanswered."""
        self.message = message
        self.answer: asyncio.Future[tuple[int, bytes, dict[str, str]]] = asyncio.Future()
        self.on_gone: Callable[[], None] | None = None
        self.job: int | None = None  # the number of the job that it became
        self.lasting = False  # not a client's: its connection stays while clients' are ended

    def respond(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Answer; of no effect once it is answered or the client has gone."""
        if not self.answer.done():
            self.answer.set_result((status, body, headers or {}))


class State(Enum):
    """Where a connection stands. All but the last can make room for a new one, in this order."""

    LINGERING = 0  # it has had its last answer
    SILENT = 1  # it has not said anything yet
    RESTING = 2  # between requests
    SENDING = 3  # a part of a request has come
    IN_HAND = 4  # a request is worked on or answered


class Connection:
    """One client's connection: it waits, a request comes in, is in hand, is answered; then it waits again."""

    def __init__(self, server: "HttpServer", stream: IOStream) -> None:
        """Start waiting."""
        self._server, self._stream, self._parser = server, stream, Parser(server.limits)
        self._reading: asyncio.Future[bytes] | None = None
        self.since = server.clock.now()  # of the present state
        self.exchange: Exchange | None = None  # the request in hand
        self.proven = False  # it has brought a request that could be taken
        self.lasting = False  # the last request was not a client's
        self.weight = 0  # bytes held for it
        self._dropped = 0  # bytes that were read and dropped
        self.closing = self._ended = False
        self.state: State | None = None
        self.turn(State.SILENT)

    @property
    def idle(self) -> bool:
        """Say whether no part of a request has come and no answer is under way."""
        come = self._reading is not None and self._reading.done()  # read, and not yet taken apart
        return self.exchange is None and self._parser.empty and not come and not self._stream.writing()

    @property
    def quiet(self) -> bool:
        """Say whether it is idle, and nothing unread has come on it either."""
        return self.idle and alive(self._stream)

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            # One that another process has passed on may have its request in hand.
            if self.exchange and (not await self._finish(self.exchange) or self.closing):
                return
            while message := await self._message():
                if not await self._serve(message) or self.closing:
                    break
        except HttpError as error:
            await self._write(error.status, f"{error}\n".encode(), {}, keep=False)
        except StreamClosedError:
            if self.exchange:
                self.exchange.answer.cancel()
                if self.exchange.on_gone:
                    self.exchange.on_gone()
        finally:
            self.turn(State.LINGERING)
            self._weigh(0)
            if not self._stream.closed():
                await close_gently(self._stream, self._server.limits, self._reading)

    async def _message(self) -> Message | None:
        """Read the next request; None when the connection is to end between requests."""
        continued = False
        while (message := self._parser.next()) is None:
            if self.closing and self._parser.empty:
                return None
            if self.state is not State.SENDING and not self._parser.empty:
                # Guards against one that drips: the time for a request runs from its first byte, and that for
                # the first request from the connection's start. Empty lines are no beginning.
                self.since = self._server.clock.now() if self.proven else self.since
                self.turn(State.SENDING)
            if self._parser.expects_continue and not continued:
                continued = True
                await self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await self._read()
            if self._ended:
                # Guards against posting twice: a client whose request crosses the close sends it once more.
                return None
        self._weigh(self._parser.size)
        if not self._parser.may_go_on:
            # Guards against a length that is too small: what was cut short must not run as if it were whole.
            raise HttpError(400, "bytes after the request that begin no other")
        return message

    async def _read(self) -> None:
        self._reading = self._reading or self._begin_read()
        data = await self._reading
        self._reading = None
        if not self._parser.full:
            self._parser.feed(data)
            self._weigh(self._parser.size)
            return
        # Guards against a client that floods and goes: its leaving shows only behind all that it sent. What
        # is dropped crosses the close after this answer.
        self.closing, self._dropped = True, self._dropped + len(data)
        if self._dropped > self._server.limits.pipelined:
            exchange, self.exchange = self.exchange, None  # it is ended as any that takes no answer
            if exchange and exchange.on_gone:
                exchange.on_gone()
            raise HttpError(413, "too much behind a request")

    def _begin_read(self) -> asyncio.Future[bytes]:
        return asyncio.ensure_future(self._stream.read_bytes(self._server.limits.read, partial=True))

    def _weigh(self, size: int) -> None:
        self._server.holds(self, size - self.weight)
        self.weight = size

    async def _serve(self, message: Message) -> bool:
        """Have a request answered; say whether the connection may carry another."""
        # Guards against beginning for a client that had left before its request was read: reading finds its
        # end at once.
        self._reading = self._reading or self._begin_read()
        if self._reading.done() and self._reading.exception():
            await self._reading
        self.exchange = exchange = Exchange(message)
        self.turn(State.IN_HAND)
        self._server.handler(exchange)
        return await self._finish(exchange)

    async def _finish(self, exchange: Exchange) -> bool:
        """Answer the request in hand; say whether the connection may carry another."""
        # Reading goes on so that a client's leaving is noticed.
        while not exchange.answer.done():
            self._reading = self._reading or self._begin_read()
            both: set[asyncio.Future[Any]] = {self._reading, exchange.answer}
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if self._reading.done():
                await self._read()
        status, body, headers = await exchange.answer
        self.exchange = None
        message = exchange.message
        self.lasting = exchange.lasting
        ends = self._server.ends() and not self.lasting
        keep = message.keep and not self.closing and not ends and status not in UNUSABLE
        self.proven = self.proven or status not in UNUSABLE
        await self._write(status, body, headers, keep=keep)
        self.turn(State.RESTING)
        return keep

    async def _write(self, status: int, body: bytes, headers: dict[str, str], *, keep: bool) -> None:
        self.since = self._server.clock.now()
        try:
            await self._stream.write(response(status, body, keep=keep, headers=headers))
        except StreamClosedError:
            self.closing = True
        self.since = self._server.clock.now()

    def detach(self) -> "Detached | None":
        """Give the connection up, open, with what has been read of the next request; None if that cannot be.

        A request whose head has been taken apart stays until it is answered, or is passed with its job.
        """
        between = self.state in (State.SILENT, State.RESTING, State.SENDING)
        return self._part() if between and self.exchange is None else None

    def detach_with_job(self) -> "Detached | None":
        """Give the connection up while its request is in hand; None if that cannot be at this moment.

        Whoever takes it owes the answer. Guards against a client whose leaving, or whose next bytes, are
        already here: these are heeded first.
        """
        exchange = self.exchange
        if exchange is None or self.state is not State.IN_HAND or exchange.answer.done():
            return None
        if not alive(self._stream) or not (given := self._part(exchange)):
            return None
        self.exchange = None  # its end here is no leave of its client's
        return given

    def _part(self, exchange: "Exchange | None" = None) -> "Detached | None":
        reading = self._reading
        if self._ended or self.closing or self._stream.writing() or (
                reading is None or reading.done() or self._parser.unread is None):
            return None
        try:
            sock = self._stream.socket.dup()
        except OSError:  # out of descriptors: later
            return None
        read = self._parser.unread
        self._ended = True
        self._stream.close()  # only our descriptor of it
        return Detached(sock, read, self.proven, self.lasting, exchange)

    def resume(self, given: "Detached") -> None:
        """Go on where another process left off."""
        self.proven, self.lasting = given.proven, given.lasting
        self._parser.feed(given.read)
        if given.exchange:
            self.exchange = given.exchange
            self.turn(State.IN_HAND)
        elif given.proven and not given.read:
            self.turn(State.RESTING)

    def turn(self, state: "State") -> None:
        """Enter a state."""
        self._server.moves(self, state)
        self.state = state

    @property
    def patience(self) -> timedelta:
        """Return how long the present state may last while no request is in hand."""
        limits = self._server.limits
        if self.state is State.LINGERING:
            return limits.linger
        if self._stream.writing():
            return limits.client_write
        return limits.client_idle if self.state is State.RESTING else limits.client_read

    def close_when_idle(self) -> None:
        """End the connection, after the answer if a request is in hand or on its way."""
        self.closing = True
        self.end_if_idle()

    def end_if_idle(self) -> None:
        """End the connection gently if it carries nothing and nothing unread has come on it."""
        if self.quiet and not self._ended:
            self._ended = True
            self.since = self._server.clock.now()
            self.turn(State.LINGERING)  # guards against a client that keeps its half open
            with suppress(OSError):
                self._stream.socket.shutdown(socket.SHUT_WR)

    def turn_away(self, status: int, why: str, headers: dict[str, str] | None = None) -> None:
        """End the connection at once, with an answer if a part of a request has come."""
        if self._stream.closed():
            return
        with suppress(OSError):  # a close over unread bytes would undo the answer
            self._stream.socket.recv(self._server.limits.read, socket.MSG_DONTWAIT)
        self._tell_off(status, why, headers)
        self._stream.close()

    def time_out(self) -> None:
        """End the connection, leaving a client that goes on sending the time to read its answer or the end.

        Guards against the reset that a close with unread bytes brings, which would undo the answer.
        """
        if self._stream.closed():  # it is about to be left
            return
        if self.state is State.RESTING and not self._stream.writing():
            self.end_if_idle()  # a request that has just come is read and answered instead
            return
        if self.state is State.LINGERING or self._stream.writing():
            self._stream.close()
            return
        self._tell_off(408, "the request did not come whole in time")
        self.since, self._ended = self._server.clock.now(), True
        self.turn(State.LINGERING)
        with suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)

    def _tell_off(self, status: int, why: str, headers: dict[str, str] | None = None) -> None:
        if self.state is State.SENDING:
            with suppress(StreamClosedError):
                self._stream.write(response(status, f"{why}\n".encode(), keep=False, headers=headers))


@dataclass(slots=True, frozen=True)
class Detached:
    """A connection on its way to another process."""

    sock: socket.socket
    read: bytes  # what has come of the next request
    proven: bool
    lasting: bool
    exchange: Exchange | None = None  # the request in hand, where its job goes with it


class HttpServer(Listener):
    """Accepts connections and bounds their number, their slowness and what they hold."""

    def __init__(
        self, limits: Limits, clock: Clock, handler: Callable[[Exchange], None],
        ends: Callable[[], bool] = lambda: False,
    ) -> None:
        """Hand every request to ``handler``; while ``ends()``, each answer ends its connection."""
        super().__init__(limits)
        self.clock, self.handler = clock, handler
        self.connections: set[Connection] = set()
        self._states: dict[State, dict[Connection, None]] = {state: {} for state in State}  # oldest first
        self._refused = 0  # turned away, with their answer on its way
        self._held = 0  # bytes of requests that have not come whole
        self._retry = {"Retry-After": f"{limits.busy_retry.total_seconds():.3f}"}
        self.ends = ends
        self.elsewhere = 0  # connections that another process of this scheduler has open
        self._sweeper = PeriodicCallback(self.sweep, limits.sweep)
        self._sweeper.start()

    def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection, or turn it away; it is counted before the next is accepted."""
        stream.set_nodelay(True)
        if self.full and not self._make_room():
            log.warning("connection_refused", open=len(self.connections))
            self._refuse(stream)
            return
        self._begin(Connection(self, stream))

    def _begin(self, connection: Connection) -> None:
        self.connections.add(connection)  # before its state is told: else it could never make room
        self.aside(self._run(connection))

    def spare(self) -> None:
        """Make room, whatever the count says."""
        self._make_room()

    @property
    def full(self) -> bool:
        """Say whether as many connections are open as may be, here and in the process before or after."""
        return len(self.connections) + self.elsewhere >= self.limits.client_connections

    def adopt(self, given: Detached) -> None:
        """Serve a connection that another process has detached."""
        connection = Connection(self, IOStream(given.sock, max_buffer_size=self.max_buffer_size))
        self._begin(connection)
        connection.resume(given)

    async def _run(self, connection: Connection) -> None:
        try:
            await connection.run()
        finally:
            self._leave(connection)

    def _make_room(self) -> bool:
        """End one connection that can be spared.

        Guards the usual clients' room: first those that have had their answer, next those that connected and
        say nothing, then those between requests, last those slow to send. A usual client's new connection
        brings its first byte at once, and is not to be closed unanswered, nor one on which a request has just
        come. Guards the processor too: crowds come by hundreds a second, so only a few are looked at.
        """
        now, none, slow = self.clock.now(), timedelta(0), self.limits.slow
        # Last, one that has said something which was not read yet: it is as one slow to send.
        for state, least, quiet in (
                (State.LINGERING, none, False), (State.SILENT, self.limits.first_byte, True),
                (State.RESTING, none, True), (State.SENDING, slow, False), (State.SILENT, slow, False)):
            for victim in islice(self._states[state], _LOOKED_AT):
                if now - victim.since < least:
                    break
                if quiet and not victim.quiet:
                    continue
                victim.turn_away(408, "too slow while others wait")
                self._leave(victim)
                return True
        return False

    def moves(self, connection: Connection, state: State) -> None:
        """Note a connection's state."""
        if connection.state is not None:
            self._states[connection.state].pop(connection, None)
        if connection.state is None or connection in self.connections:
            self._states[state][connection] = None

    def _leave(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection.state is not None:
            self._states[connection.state].pop(connection, None)

    def holds(self, connection: Connection, more: int) -> None:
        """Count what is held for requests that have not come whole; over the bound the heaviest goes.

        Guards memory against many that each send all but the end of a large request.
        """
        self._held += more
        if more > 0 and self._held > self.limits.buffered:
            heavy = [c for c in self._states[State.SENDING] if c is not connection]
            victim = max(heavy, key=lambda c: c.weight, default=connection)
            log.warning("buffers_full", held=self._held)
            victim.turn_away(503, "no room for a request that is slow to come", self._retry)

    def _refuse(self, stream: IOStream) -> None:
        """Turn a connection away.

        Guards against losing a request that may already be written to it: it is answered, and the answer
        says that trying again is harmless. Past the room for such answers it is closed without a wait.
        """
        if self._refused < self.limits.refusals:
            self._refused += 1
            self.aside(self._tell_refusal(stream))
            return
        with suppress(StreamClosedError, OSError):
            # What has come is taken first, since a close with unread bytes would undo the answer.
            with suppress(BlockingIOError):
                stream.socket.recv(self.limits.read, socket.MSG_DONTWAIT)
            stream.write(response(503, keep=False, headers=self._retry))
        stream.close()

    async def _tell_refusal(self, stream: IOStream) -> None:
        try:
            with suppress(StreamClosedError, OSError):
                await stream.write(response(503, keep=False, headers=self._retry))
                await close_gently(stream, self.limits)
        finally:
            self._refused -= 1
            stream.close()

    def sweep(self) -> None:
        """End connections that idle too long, or are too slow to send a request or take an answer."""
        now = self.clock.now()
        for c in list(self.connections):
            if c.exchange is None and now - c.since > c.patience:
                c.time_out()

    def end_idle(self) -> None:
        """End clients' connections that carry nothing; to be called again while more may become so.

        Guards a call-back, or a request, on a new connection: its first bytes come after the accept.
        """
        now = self.clock.now()
        for c in list(self.connections):
            new = c.state is State.SILENT and now - c.since < self.limits.first_byte
            if not c.lasting and not new:
                c.end_if_idle()

    def close_idle(self) -> None:
        """End the connections that carry nothing, and the others after their answers."""
        for c in list(self.connections):
            c.close_when_idle()

    async def finish(self) -> None:
        """Accept no more, let answers under way go out and end every connection."""
        self.stop()
        self._sweeper.stop()
        self.close_idle()
        by = self.clock.now() + self.limits.linger
        while self.connections and self.clock.now() < by:
            await asyncio.sleep(0.01)
        for c in list(self.connections):
            c.turn_away(503, "stopping")
