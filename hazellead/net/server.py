"""An HTTP/1.1 server on IOStreams: one request at a time per connection, one answer per request."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
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
from hazellead.net.budget import ByteBudget
from hazellead.net.http import HttpError, Message, Parser, encode_received, response
from hazellead.net.streams import alive, close_gently, release_failure
from hazellead.net.turns import TurnQueue

log = structlog.get_logger()

_EVICTION_CANDIDATES = 8  # oldest connections examined in each state when one has to be closed for a new one
CLOSING_STATUSES = frozenset({400, 404, 405, 409, 413, 431})  # answers after which the connection is closed


class Exchange:
    """One request and its answer. ``on_disconnect`` is called if the client disconnects before the answer."""

    __slots__ = ("answer", "from_worker", "job", "message", "on_disconnect", "waited")

    def __init__(self, message: Message, waited: timedelta = timedelta(0)) -> None:
        """Start with no answer, ``waited`` after the request had come whole."""
        self.message, self.waited = message, waited
        self.answer: asyncio.Future[tuple[int, bytes, dict[str, str]]] = asyncio.Future()
        self.on_disconnect: Callable[[], None] | None = None
        self.job: int | None = None  # the scheduler's number of the job that was made from it
        self.from_worker = False  # a worker's call-back: its connection stays open while clients' are closed

    def respond(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Answer the request; does nothing if it has been answered or the client has disconnected."""
        if not self.answer.done():
            self.answer.set_result((status, body, headers or {}))


class State(Enum):
    """State of a connection. All but PROCESSING can be closed to make room for a new one, in this order."""

    LINGERING = 0  # the last answer is written; the client may still read it
    NEW = 1  # no byte received yet
    KEEP_ALIVE = 2  # between two requests
    RECEIVING = 3  # a request has been received in part
    PROCESSING = 4  # a request is being processed or answered


class Connection:
    """One client's connection: receives a request, has it processed, answers it and waits for the next."""

    def __init__(self, server: "HttpServer", stream: IOStream) -> None:
        """Start in state NEW."""
        self._server, self._stream = server, stream
        self._parser = Parser(server.limits, chunks_at_once=server.limits.chunks_at_once)
        self._reading: asyncio.Future[bytes] | None = None
        self.since = server.clock.now()  # when the state's timeout began to run
        self.exchange: Exchange | None = None  # the request being processed
        self.proven = False  # at least one valid request was received
        self.from_worker = False  # the last request was a worker's call-back
        self._waited = timedelta(0)  # of the next request, in the process that passed this connection on
        self._at_once = 0  # bytes that could be read without waiting, at most, since others had their turn
        self._discards = False  # gave way to others: what is read is dropped
        self._discarded_bytes = 0  # read while the parser's buffer was full or after giving way
        self.closing = self._ended = False  # to be closed after the answer; already shut down or detached
        self.state: State | None = None
        self.enter(State.NEW)

    @property
    def idle(self) -> bool:
        """Whether no part of a request has been received and no answer is being written."""
        unparsed = self._reading is not None and self._reading.done()  # bytes read and not yet parsed
        return self.exchange is None and self._parser.empty and not unparsed and not self._stream.writing()

    @property
    def quiet(self) -> bool:
        """Whether it is idle, open and has no unread bytes in the socket's buffer."""
        return self.idle and alive(self._stream)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            # A connection passed on by another process may come with a request being processed.
            if self.exchange and (not await self._finish(self.exchange) or self.closing):
                return
            while message := await self._message():
                if not await self._serve(message) or self.closing:
                    break
                if not self._parser.empty:  # the next request has come already
                    await self._server.turns.wait(self._stream)
                    if self._ended:  # meanwhile, for example since another process has the connection now
                        break
        except HttpError as error:
            await self._write(error.status, f"{error}\n".encode(), {}, keep=False)
        except StreamClosedError:
            if self.exchange:
                self.exchange.answer.cancel()
                if self.exchange.on_disconnect:
                    self.exchange.on_disconnect()
        finally:
            self.enter(State.LINGERING)
            self._parser.discard()
            self._count_buffered_bytes()
            if not self._stream.closed():
                await close_gently(self._stream, self._server.limits, self._reading)

    def release(self) -> None:
        """Free what the ended connection refers to."""
        release_failure(self._stream, self._reading)

    async def _message(self) -> Message | None:
        """Read the next request; returns None if the connection is to be closed between requests."""
        continued = False
        while (message := self._parser.next()) is None:
            if self.closing and self._parser.empty:
                return None
            if self.state is not State.RECEIVING and not self._parser.empty:
                # Bounds clients that send a few bytes at a time: the timeout of a request runs from its first
                # byte, that of the first request from the accept. Empty lines do not begin a request.
                self.since = self._server.clock.now() if self.proven else self.since
                self.enter(State.RECEIVING)
            if self._parser.expects_continue and not continued:
                continued = True
                await self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await self._read_or_go_on()
            if self._ended:
                # Prevents running a job twice: a client whose request crosses the close sends it again.
                return None
        self._count_buffered_bytes()
        if not self._parser.rest_is_plausible:
            # A Content-Length that is too small truncates the request, which must not run as if complete.
            raise HttpError(400, "bytes after the request that begin no other")
        return message

    async def _read_or_go_on(self) -> None:
        """Read once, unless the parser can go on without it.

        Others have their turn after as many bytes as a request may have, if all had come already.
        """
        if not self._parser.paused:
            self._reading = self._reading or self._begin_read()
            self._at_once = self._at_once + self._server.limits.read if self._reading.done() else 0
            await self._read()
        if self._parser.paused or self._at_once > self._server.limits.head + self._server.limits.body:
            self._at_once = 0
            await self._server.turns.wait(self._stream)

    async def _read(self) -> None:
        self._reading = self._reading or self._begin_read()
        data = await self._reading
        self._reading = None
        if not self._parser.full and not self._discards:
            self._parser.feed(data)
            self._count_buffered_bytes()
            return
        # A client that sends a flood and disconnects is noticed only once all its bytes are read, so reading
        # goes on and discards them. They cross the close that follows this answer.
        self.closing, self._discarded_bytes = True, self._discarded_bytes + len(data)
        if self._discarded_bytes > self._server.limits.pipelined:
            exchange, self.exchange = self.exchange, None  # its job is abandoned, as after a disconnect
            if exchange and exchange.on_disconnect:
                exchange.on_disconnect()
            raise HttpError(413, "too much behind a request")

    def _begin_read(self) -> asyncio.Future[bytes]:
        return asyncio.ensure_future(self._stream.read_bytes(self._server.limits.read, partial=True))

    def _count_buffered_bytes(self) -> None:
        self._server.budget.update(self, self._parser.size)

    @property
    def removable_bytes(self) -> int:
        """Size of what has been received of the next request."""
        return self._parser.size

    def give_way(self) -> None:
        """Drop what has been received of the next request, to free memory.

        A request that is being processed is answered first; the connection ends then, so that the client
        knows that what it sent behind that request has not been read. If there is none, the next is refused.
        """
        self._parser.discard()
        self._discards = True
        if self.exchange is not None:
            self.closing = True
        elif not self._ended and not self._stream.closed():
            self._end_with(503, "no room for a request that is slow to come", self._server.retry_headers)
        self._count_buffered_bytes()

    async def _serve(self, message: Message) -> bool:
        """Process and answer a request; returns whether the connection may carry another."""
        read_all = await self._read_ahead()
        if self._ended:  # it gave way to others, and the request was refused
            return False
        self.exchange = exchange = Exchange(message, self._waited)
        self._waited = timedelta(0)
        self.enter(State.PROCESSING)
        if read_all:
            self._server.handler(exchange)
        else:
            self.closing = True
            exchange.respond(429, b"too much behind a request\n", self._server.retry_headers)
        return await self._finish(exchange)

    async def _read_ahead(self) -> bool:
        """Read all that has come behind a request; returns False if it is more than is buffered.

        Work must not start for a client that has disconnected, and the end of its connection is found only
        behind all that it has sent.
        """
        while True:
            self._reading = self._reading or self._begin_read()
            if not self._reading.done():
                return True
            if self._parser.full and not self._reading.exception():
                return False
            await self._read()

    async def _finish(self, exchange: Exchange) -> bool:
        """Wait for the answer and write it; returns whether the connection may carry another request."""
        # Reading goes on so that a disconnect is noticed.
        while not exchange.answer.done():
            self._reading = self._reading or self._begin_read()
            both: set[asyncio.Future[Any]] = {self._reading, exchange.answer}
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if self._reading.done():
                await self._read()
        status, body, headers = await exchange.answer
        self.exchange = None
        message = exchange.message
        self.from_worker = exchange.from_worker
        close_after_answer = self._server.close_after_answer() and not self.from_worker
        keep = message.keep and not self.closing and not close_after_answer and status not in CLOSING_STATUSES
        self.proven = self.proven or status not in CLOSING_STATUSES
        await self._write(status, body, headers, keep=keep)
        self.enter(State.KEEP_ALIVE)
        return keep

    async def _write(self, status: int, body: bytes, headers: dict[str, str], *, keep: bool) -> None:
        self.since = self._server.clock.now()
        try:
            await self._stream.write(response(status, body, keep=keep, headers=headers))
        except StreamClosedError:
            self.closing = True
        self.since = self._server.clock.now()

    def detach(self) -> "Detached | None":
        """Release the open connection with the bytes read of the next request; None if it cannot be detached.

        A connection whose request's head has been parsed stays until it is answered or passed with its job.
        """
        between = self.state in (State.NEW, State.KEEP_ALIVE, State.RECEIVING)
        return self._detach() if between and self.exchange is None else None

    def detach_with_job(self) -> "Detached | None":
        """Release the open connection while its request is processed; None if that is not possible now.

        The receiver has to answer the request. A disconnect or further bytes that have already arrived are
        handled here first.
        """
        exchange = self.exchange
        if exchange is None or self.state is not State.PROCESSING or exchange.answer.done():
            return None
        if not alive(self._stream) or not (detached := self._detach(exchange)):
            return None
        self.exchange = None  # so that closing the stream here does not count as a disconnect
        return detached

    def detach_with_request(self) -> "Detached | None":
        """Release the open connection with a request that was not acted on; None if not possible now.

        The receiver gets the request as if it had not been read here.
        """
        if not (detached := self.detach_with_job()) or not (exchange := detached.exchange):
            return None
        return replace(detached, exchange=None, read=encode_received(exchange.message) + detached.read)

    def _detach(self, exchange: "Exchange | None" = None) -> "Detached | None":
        reading = self._reading
        if self._ended or self.closing or self._stream.writing() or (
                reading is None or reading.done() or self._parser.unparsed is None):
            return None
        try:
            sock = self._stream.socket.dup()
        except OSError:  # out of file descriptors: the caller tries again later
            return None
        read = self._parser.unparsed
        self._ended = True
        self._stream.close()  # closes only this descriptor of the socket
        return Detached(sock, read, self.proven, self.from_worker, exchange)

    def resume(self, detached: "Detached") -> None:
        """Continue a connection in the state in which another process detached it."""
        self.proven, self.from_worker = detached.proven, detached.from_worker
        self._waited = detached.waited
        self._parser.feed(detached.read)
        if detached.exchange:
            self.exchange = detached.exchange
            self.enter(State.PROCESSING)
        elif detached.proven and not detached.read:
            self.enter(State.KEEP_ALIVE)

    def enter(self, state: "State") -> None:
        """Change to a state."""
        self._server.track_state(self, state)
        self.state = state

    @property
    def state_timeout(self) -> timedelta:
        """How long the present state may last while no request is being processed."""
        limits = self._server.limits
        if self.state is State.LINGERING:
            return limits.linger
        if self._stream.writing():
            return limits.client_write
        return limits.client_idle if self.state is State.KEEP_ALIVE else limits.client_read

    def close_when_idle(self) -> None:
        """Close the connection, after the answer if a request is being received or processed."""
        self.closing = True
        self.end_if_idle()

    def end_if_idle(self) -> None:
        """Close the connection gracefully if it is idle and has no unread bytes."""
        if self.quiet and not self._ended:
            self._shut_down()  # the new state's timeout bounds a client that keeps its half open

    def reject(self, status: int, reason: str, headers: dict[str, str] | None = None) -> None:
        """Close the connection at once, with an answer if part of a request has been received."""
        if self._stream.closed():
            return
        with suppress(OSError):  # a close with unread bytes sends a reset, which can discard the answer
            self._stream.socket.recv(self._server.limits.last_read, socket.MSG_DONTWAIT)
        if self.state is State.RECEIVING:
            self._send_error(status, reason, headers)
        self._stream.close()

    def time_out(self) -> None:
        """Close the connection, leaving a client that goes on sending time to read the answer or the end.

        A close with unread bytes sends a reset, which can discard the answer.
        """
        if self._stream.closed():  # the server is about to forget it
            return
        if self.state is State.KEEP_ALIVE and not self._stream.writing():
            self.end_if_idle()  # if a request has just arrived, it is read and answered instead
            return
        if self.state is State.LINGERING or self._stream.writing():
            self._stream.close()
            return
        if self.state is State.RECEIVING:
            self._end_with(408, "the request did not come whole in time")
        else:
            self._shut_down()

    def _end_with(self, status: int, reason: str, headers: dict[str, str] | None = None) -> None:
        """Answer what has been received of a request, and close once the client has read the answer."""
        self._send_error(status, reason, headers)
        self._shut_down()

    def _shut_down(self) -> None:
        self.since, self._ended = self._server.clock.now(), True
        self.enter(State.LINGERING)
        with suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)

    def _send_error(self, status: int, reason: str, headers: dict[str, str] | None = None) -> None:
        with suppress(StreamClosedError):
            self._stream.write(response(status, f"{reason}\n".encode(), keep=False, headers=headers))


@dataclass(slots=True, frozen=True)
class Detached:
    """An open connection that is passed to another process."""

    sock: socket.socket
    read: bytes  # the part of the next request that has been received
    proven: bool
    from_worker: bool
    exchange: Exchange | None = None  # the request being processed, if its job is passed along
    waited: timedelta = timedelta(0)  # since the request in ``read`` had come whole; 0 if it has not yet


class HttpServer(Listener):
    """Accepts connections and bounds their number, their idle and transfer times and their buffered bytes."""

    def __init__(
        self, limits: Limits, clock: Clock, handler: Callable[[Exchange], None],
        close_after_answer: Callable[[], bool] = lambda: False,
    ) -> None:
        """Pass every request to ``handler``; while ``close_after_answer()``, close after each answer."""
        super().__init__(limits)
        self.clock, self.handler = clock, handler
        self.connections: set[Connection] = set()
        self._states: dict[State, dict[Connection, None]] = {state: {} for state in State}  # oldest first
        self._refused = 0  # refused connections whose answer is still being written
        self.budget = ByteBudget(limits.buffered)  # of what is received of requests that wait to be processed
        self.retry_headers = {"Retry-After": f"{limits.busy_retry.total_seconds():.3f}"}
        self.turns = TurnQueue()  # of connections with further requests that have come already
        self.close_after_answer = close_after_answer
        self.connections_elsewhere = 0  # clients' connections in another process of this scheduler
        self._sweeper = PeriodicCallback(self.sweep, limits.sweep)
        self._sweeper.start()

    def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection, or refuse it; it is counted before the next is accepted."""
        stream.set_nodelay(True)
        if self.full and not self._make_room():
            log.warning("connection_refused", open=len(self.connections))
            self._refuse(stream)
            return
        self._begin(Connection(self, stream))

    def _begin(self, connection: Connection) -> None:
        self.connections.add(connection)  # first: later states are tracked only for members of this set
        self.run_in_background(self._run(connection))

    def free_descriptor(self) -> None:
        """Close one connection if possible, even if the limit is not reached."""
        self._make_room()

    @property
    def full(self) -> bool:
        """Whether the limit is reached, counting the connections of both processes during a hand-over."""
        return len(self.connections) + self.connections_elsewhere >= self.limits.client_connections

    def adopt(self, detached: Detached) -> None:
        """Serve a connection detached by another process."""
        connection = Connection(self, IOStream(
            detached.sock, max_buffer_size=self.max_buffer_size, read_chunk_size=self.read_chunk_size))
        self._begin(connection)
        connection.resume(detached)

    async def _run(self, connection: Connection) -> None:
        try:
            await connection.run()
        finally:
            self._forget(connection)
            connection.release()

    def _make_room(self) -> bool:
        """Close one connection to make room for a new one; returns whether one was closed.

        Order: connections that have had their last answer, new ones that have sent nothing, those between
        requests, and last those that are slow to send. A normal client sends its first byte right after
        connecting, so a very new connection is not closed unanswered, nor one on which a request has just
        arrived. Only a few connections are examined, since new ones may arrive by the hundreds per second.
        """
        now, zero, slow = self.clock.now(), timedelta(0), self.limits.slow
        # A new connection with unread bytes comes last: it counts as slow to send.
        for state, minimum_age, quiet in (
                (State.LINGERING, zero, False), (State.NEW, self.limits.first_byte, True),
                (State.KEEP_ALIVE, zero, True), (State.RECEIVING, slow, False), (State.NEW, slow, False)):
            for victim in islice(self._states[state], _EVICTION_CANDIDATES):
                if now - victim.since < minimum_age:
                    break
                if quiet and not victim.quiet:
                    continue
                victim.reject(408, "too slow while others wait")
                self._forget(victim)
                return True
        return False

    def track_state(self, connection: Connection, state: State) -> None:
        """Move a connection to its new state in the index of states; called before it changes."""
        if connection.state is not None:
            self._states[connection.state].pop(connection, None)
        if connection.state is None or connection in self.connections:
            self._states[state][connection] = None

    def _forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection.state is not None:
            self._states[connection.state].pop(connection, None)

    def _refuse(self, stream: IOStream) -> None:
        """Refuse a connection with 503.

        A request may already have been written to it, so it is answered, and Retry-After tells the client
        that it can safely try again. Past the limit of refusals the stream is closed without waiting.
        """
        if self._refused < self.limits.refusals:
            self._refused += 1
            self.run_in_background(self._send_refusal(stream))
            return
        with suppress(StreamClosedError, OSError):
            # Reads what has arrived first: a close with unread bytes sends a reset, which can discard
            # the answer.
            with suppress(BlockingIOError):
                stream.socket.recv(self.limits.last_read, socket.MSG_DONTWAIT)
            stream.write(response(503, keep=False, headers=self.retry_headers))
        stream.close()

    async def _send_refusal(self, stream: IOStream) -> None:
        try:
            with suppress(StreamClosedError, OSError):
                await stream.write(response(503, keep=False, headers=self.retry_headers))
                await close_gently(stream, self.limits)
        finally:
            self._refused -= 1
            stream.close()

    def sweep(self) -> None:
        """Close connections that are idle too long, or too slow to send a request or read an answer."""
        now = self.clock.now()
        for c in list(self.connections):
            if c.exchange is None and now - c.since > c.state_timeout:
                c.time_out()

    def end_idle(self) -> None:
        """Close clients' idle connections; to be called again while others may become idle.

        A very new connection is left open: its first request, or a worker's call-back, may arrive shortly
        after the accept.
        """
        now = self.clock.now()
        for c in list(self.connections):
            new = c.state is State.NEW and now - c.since < self.limits.first_byte
            if not c.from_worker and not new:
                c.end_if_idle()

    def close_all_when_idle(self) -> None:
        """Close the idle connections now and the others after their answers."""
        for c in list(self.connections):
            c.close_when_idle()

    async def finish(self) -> None:
        """Stop accepting, wait for pending answers to be written and close every connection."""
        self.stop()
        self._sweeper.stop()
        self.close_all_when_idle()
        deadline = self.clock.now() + self.limits.linger
        while self.connections and self.clock.now() < deadline:
            await asyncio.sleep(0.01)
        for c in list(self.connections):
            c.reject(503, "stopping")
