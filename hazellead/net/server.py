"""Serves HTTP/1.1 on IOStreams: one request at a time on each connection, one answer to each request."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import structlog
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from hazellead.core.clock import Clock
from hazellead.limits import Limits
from hazellead.net.http import HttpError, Message, Parser, response
from hazellead.net.streams import alive, close_gently

log = structlog.get_logger()


class Exchange:
    """One request and the way to answer it. ``on_gone`` is called if the client leaves before the answer."""

    __slots__ = ("answer", "message", "on_gone")

    def __init__(self, message: Message) -> None:
        """Start unanswered."""
        self.message = message
        self.answer: asyncio.Future[tuple[int, bytes, dict[str, str]]] = asyncio.Future()
        self.on_gone: Callable[[], None] | None = None

    def respond(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Answer; of no effect once it is answered or the client has gone."""
        if not self.answer.done():
            self.answer.set_result((status, body, headers or {}))


class Connection:
    """One client's connection: it waits, a request comes in, is in hand, is answered; then it waits again."""

    def __init__(self, server: "HttpServer", stream: IOStream) -> None:
        """Start waiting."""
        self._server, self._stream, self._parser = server, stream, Parser(server.limits)
        self._reading: asyncio.Future[bytes] | None = None
        self.since = server.clock.now()  # of the present state
        self.exchange: Exchange | None = None  # the request in hand
        self.closing = self._ended = False

    @property
    def idle(self) -> bool:
        """Say whether no part of a request has come and no answer is under way."""
        return self.exchange is None and self._parser.empty and not self._stream.writing()

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            while message := await self._message():
                await self._serve(message)
                if self.closing or not message.keep or self._server.ending:
                    break
        except HttpError as error:
            await self._write(error.status, f"{error}\n".encode(), {}, keep=False)
        except StreamClosedError:
            if self.exchange:
                self.exchange.answer.cancel()
                if self.exchange.on_gone:
                    self.exchange.on_gone()
        finally:
            if not self._stream.closed():
                await close_gently(self._stream, self._server.limits, self._reading)

    async def _message(self) -> Message | None:
        """Read the next request; None when the connection is to end between requests."""
        continued = False
        while (message := self._parser.next()) is None:
            if self.closing and self._parser.empty:
                return None
            if self._parser.expects_continue and not continued:
                continued = True
                await self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            was_idle = self.idle
            await self._read()
            if self._ended:
                # Guards against posting twice: a client whose request crosses the close sends it once more.
                return None
            if was_idle:
                self.since = self._server.clock.now()
        return message

    async def _read(self) -> None:
        self._reading = self._reading or self._begin_read()
        data = await self._reading
        self._reading = None
        self._parser.feed(data)

    def _begin_read(self) -> asyncio.Future[bytes]:
        return asyncio.ensure_future(self._stream.read_bytes(self._server.limits.read, partial=True))

    async def _serve(self, message: Message) -> None:
        self.exchange = exchange = Exchange(message)
        self._server.handler(exchange)
        # Reading goes on so that a client's leaving is noticed, but not past what one connection may hold.
        while not exchange.answer.done() and not self._parser.full:
            self._reading = self._reading or self._begin_read()
            both: set[asyncio.Future[Any]] = {self._reading, exchange.answer}
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if self._reading.done():
                await self._read()
        status, body, headers = await exchange.answer
        self.exchange = None
        keep = message.keep and not self.closing and not self._server.ending
        await self._write(status, body, headers, keep=keep)

    async def _write(self, status: int, body: bytes, headers: dict[str, str], *, keep: bool) -> None:
        self.since = self._server.clock.now()
        try:
            await self._stream.write(response(status, body, keep=keep, headers=headers))
        except StreamClosedError:
            self.closing = True
        self.since = self._server.clock.now()

    def close_when_idle(self) -> None:
        """End the connection, after the answer if a request is in hand or on its way."""
        self.closing = True
        if self.idle and alive(self._stream):
            self._ended = True
            with suppress(OSError):
                self._stream.socket.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """End the connection at once."""
        self._stream.close()


class HttpServer(TCPServer):
    """Accepts connections and bounds their number and their slowness."""

    def __init__(self, limits: Limits, clock: Clock, handler: Callable[[Exchange], None]) -> None:
        """Hand every request to ``handler``."""
        super().__init__(max_buffer_size=4 * limits.read)
        self.limits, self.clock, self.handler = limits, clock, handler
        self.connections: set[Connection] = set()
        self._refused = 0  # turned away, with their answer on its way
        self.ending = False  # every answer ends its connection, so that clients go elsewhere
        self._sweeper = PeriodicCallback(self.sweep, limits.sweep)
        self._sweeper.start()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection."""
        stream.set_nodelay(True)
        if len(self.connections) >= self.limits.client_connections and not self._make_room():
            log.warning("connection_refused", open=len(self.connections))
            await self._refuse(stream)
            return
        connection = Connection(self, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    def _make_room(self) -> bool:
        """End the connection that has been idle longest, or else the slowest to send its request."""
        slow = self.clock.now() - self.limits.linger
        ends = [c for c in self.connections if not c.closing and c.exchange is None and (
            c.idle or c.since < slow)]
        if ends:
            victim = min(ends, key=lambda c: (not c.idle, c.since))
            victim.abort()
            self.connections.discard(victim)
        return bool(ends)

    async def _refuse(self, stream: IOStream) -> None:
        """Turn a connection away.

        Guards against losing a request that may already be written to it: it is answered, and the answer
        says that trying again is harmless. Past the room for such answers it is closed.
        """
        if self._refused < self.limits.refusals:
            self._refused += 1
            try:
                retry = {"Retry-After": f"{self.limits.busy_retry.total_seconds():.3f}"}
                await stream.write(response(503, keep=False, headers=retry))
                await close_gently(stream, self.limits)
            except StreamClosedError:
                pass
            finally:
                self._refused -= 1
        stream.close()

    def sweep(self) -> None:
        """End connections that idle too long, or are too slow to send a request or take an answer."""
        now = self.clock.now()
        for c in list(self.connections):
            if c.exchange is None:
                if now - c.since > (self.limits.client_idle if c.idle else self.limits.client_read):
                    c.abort()

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
            c.abort()
