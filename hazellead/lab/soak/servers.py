"""A stand-in's end of HTTP/1.1 connections, with the times at which bytes came."""

import asyncio
from collections.abc import Callable

from hazellead.limits import Limits
from hazellead.net.http import HttpError, Message, Parser, response

HOST = "127.0.0.1"


class ServerConnection(asyncio.Protocol):
    """One connection that a scheduler has opened; ``take`` is called with each whole request."""

    def __init__(
        self, take: Callable[["ServerConnection", Message], None], place: set["ServerConnection"],
    ) -> None:
        """Be listed in ``place`` while open."""
        self._take, self._place = take, place
        self._parser = Parser(Limits())
        self.transport: asyncio.Transport
        self.first_byte = 0.0  # of the request that was taken last
        self.open = True
        self.on_end: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way out."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._place.add(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes in."""
        if self._parser.empty:
            self.first_byte = asyncio.get_running_loop().time()
        self._parser.feed(data)
        try:
            while message := self._parser.next():
                self._take(self, message)
        except HttpError:
            self.transport.abort()

    def connection_lost(self, reason: Exception | None) -> None:
        """Tell who is interested."""
        self.open = False
        self._place.discard(self)
        if self.on_end:
            self.on_end()

    def answer(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Answer, if it is still open."""
        if self.open and not self.transport.is_closing():
            self.transport.write(response(status, body, headers=headers))


class Place:
    """An address at which a stand-in listens, or does not for a while."""

    def __init__(self, take: Callable[[ServerConnection, Message], None]) -> None:
        """Have no address yet."""
        self._take, self.port = take, 0
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen, at the port of before if there was one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._take, self.connections), HOST, self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]

    def vanish(self) -> None:
        """Listen no more and reset what is open, as a process that dies does."""
        if self._server:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()
