"""HTTP/1.1 server for the simulated workers and discovery; it notes when a request's first byte arrived."""

import asyncio
from collections.abc import Callable

from hazellead.limits import Limits
from hazellead.net.http import HttpError, Message, Parser, response

HOST = "127.0.0.1"


class ServerConnection(asyncio.Protocol):
    """One connection that a scheduler has opened; ``on_request`` is called with each complete request."""

    def __init__(
        self, on_request: Callable[["ServerConnection", Message], None], connections: set["ServerConnection"],
    ) -> None:
        """Create it; it is a member of ``connections`` while it is open."""
        self._on_request, self._connections = on_request, connections
        self._parser = Parser(Limits())
        self.transport: asyncio.Transport
        self.first_byte = 0.0  # time at which the latest request began to arrive
        self.open = True
        self.on_end: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse requests and pass each to ``on_request``; what is not HTTP aborts the connection."""
        if self._parser.empty:
            self.first_byte = asyncio.get_running_loop().time()
        self._parser.feed(data)
        try:
            while message := self._parser.next():
                self._on_request(self, message)
        except HttpError:
            self.transport.abort()

    def connection_lost(self, reason: Exception | None) -> None:
        """Call ``on_end``, if it is set."""
        self.open = False
        self._connections.discard(self)
        if self.on_end:
            self.on_end()

    def answer(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Write an answer, if the connection is still open."""
        if self.open and not self.transport.is_closing():
            self.transport.write(response(status, body, headers=headers))


class Listener:
    """A listening socket that can be closed and opened again at the same port."""

    def __init__(self, on_request: Callable[[ServerConnection, Message], None]) -> None:
        """Create it without a port."""
        self._on_request, self.port = on_request, 0
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen, at the same port as before if there was one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._on_request, self.connections), HOST, self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]

    def abort(self) -> None:
        """Stop listening and reset all open connections, as the exit of a process does."""
        if self._server:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()
