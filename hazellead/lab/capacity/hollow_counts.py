"""Shared by the hollow processes: message counts, HTTP connections, listeners that can be cut off, commands.

A hollow process is started by a run. It reads one command per line from standard input (a JSON object with
the key ``command``), answers each with one line, and exits when its input is closed, so that it never
outlives the run.
"""

import asyncio
import json
import os
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from hazellead.limits import Limits
from hazellead.net.http import HttpError, Message, Parser

MAX_LINE_BYTES = 1 << 26  # of a command or an answer
LIMITS = Limits(body=1 << 22)
BACKLOG = 512
FIELDS = ("in", "in_bytes", "in_bodies", "out", "out_bytes", "out_bodies")

Row = list[int]  # in the order of FIELDS; "in" is to the scheduler, "bodies" are bytes without headers
Table = dict[str, dict[str, Row]]  # by scheduler, then by kind of message


class Counts:
    """Counts HTTP messages and their bytes between each scheduler and this process, by kind of message."""

    def __init__(self) -> None:
        """Start with an empty table."""
        self.table: Table = {}

    def note(self, scheduler: str, kind: str, *, inward: bool, size: int, body: int = 0) -> None:
        """Count one message of ``size`` bytes, ``body`` of them its body; ``inward`` is to the scheduler."""
        row = self.table.setdefault(scheduler, {}).setdefault(kind, [0] * len(FIELDS))
        offset = 0 if inward else 3
        row[offset] += 1
        row[offset + 1] += size
        row[offset + 2] += body


def merged(tables: list[Table]) -> Table:
    """Return the sum of several tables."""
    total: Table = {}
    for table in tables:
        for scheduler, kinds in table.items():
            for kind, row in kinds.items():
                sums = total.setdefault(scheduler, {}).setdefault(kind, [0] * len(FIELDS))
                for i, value in enumerate(row):
                    sums[i] += value
    return total


def subtract(before: Table, now: Table) -> Table:
    """Return the counts of ``now`` minus those of ``before``."""
    zeros = [0] * len(FIELDS)
    return {scheduler: {kind: [n - b for n, b in zip(
        row, before.get(scheduler, {}).get(kind, zeros), strict=True)]
                        for kind, row in kinds.items()} for scheduler, kinds in now.items()}


class HttpConnection(asyncio.Protocol):
    """One connection that carries HTTP/1.1 messages, whichever side opened it."""

    def __init__(self, *, responses: bool) -> None:
        """Parse incoming messages as responses, or as requests."""
        self._parser, self._bytes_received = Parser(LIMITS, responses=responses), 0
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle each complete message."""
        self._bytes_received += len(data)
        self._parser.feed(data)
        try:
            while message := self._parser.next():
                size, self._bytes_received = self._bytes_received - self._parser.size, self._parser.size
                self.message_received(message, size)
        except HttpError:
            self.transport.abort()

    def message_received(self, message: Message, size: int) -> None:
        """Handle a message that took ``size`` bytes on the wire."""
        raise NotImplementedError


class ClientConnection(HttpConnection):
    """An HTTP client's connection, with one request at a time."""

    def __init__(self) -> None:
        """Prepare a connection for ``create_connection``."""
        super().__init__(responses=True)
        self.idle_since = 0.0  # by the event loop's clock
        self._response: asyncio.Future[tuple[Message, int]] | None = None
        self.lost = False

    def send_request(self, request: bytes) -> "asyncio.Future[tuple[Message, int]]":
        """Send a request; the future yields the response and its size, or raises ConnectionError."""
        self._response = response = asyncio.get_running_loop().create_future()
        if self.lost:
            response.set_exception(ConnectionResetError())
        else:
            self.transport.write(request)
        return response

    def message_received(self, message: Message, size: int) -> None:
        """Complete the pending request; abort the connection if there is none."""
        if self._response is None or self._response.done():
            self.transport.abort()
            return
        self._response.set_result((message, size))

    def connection_lost(self, reason: Exception | None) -> None:
        """Fail the pending request."""
        self.lost = True
        if self._response and not self._response.done():
            self._response.set_exception(ConnectionResetError())


async def open_connection(address: tuple[str, int], source: str | None = None) -> ClientConnection:
    """Connect to a host and port, from the source address if one is given; raises OSError."""
    _, connection = await asyncio.get_running_loop().create_connection(
        ClientConnection, address[0], address[1], local_addr=(source, 0) if source else None)
    return connection


class Listener:
    """A listening socket that can be cut off, to simulate an unreachable machine.

    While it is cut off, open connections stay open but nothing is read from them, and new connections are
    never established, because the accept queue is kept full.
    """

    def __init__(self, host: str, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        """Listen on a free port; each connection gets its protocol from ``protocol_factory``."""
        self._protocol_factory, self._loop = protocol_factory, asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, 0))
        self._socket.listen(BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        self._loop.add_reader(self._socket, self._accept)
        self._transports: set[asyncio.Transport] = set()
        self._accepting: set[asyncio.Task[None]] = set()
        self._backlog_fillers: list[socket.socket] = []
        self.cut = False

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._start_connection(sock))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    async def _start_connection(self, sock: socket.socket) -> None:
        transport, _ = await self._loop.connect_accepted_socket(self._protocol_factory, sock)
        self._transports.add(transport)

    def forget(self, transport: asyncio.Transport) -> None:
        """Remove a closed connection."""
        self._transports.discard(transport)

    def cut_off(self) -> None:
        """Stop reading and accepting, and fill the accept queue."""
        if self.cut:
            return
        self.cut = True
        self._loop.remove_reader(self._socket)
        self._accept()
        self._socket.listen(0)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._backlog_fillers.append(filler)
        for transport in self._transports:
            if not transport.is_closing():
                transport.pause_reading()

    def restore(self) -> None:
        """Read and accept connections again."""
        if not self.cut:
            return
        self.cut = False
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers.clear()
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket, self._accept)
        for transport in self._transports:
            if not transport.is_closing():
                transport.resume_reading()

    def close(self) -> None:
        """Close the socket and abort its connections."""
        if not self.cut:
            self._loop.remove_reader(self._socket)
        for filler in self._backlog_fillers:
            filler.close()
        self._socket.close()
        for transport in list(self._transports):
            transport.abort()


CommandHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


async def serve_commands(handler: CommandHandler) -> None:
    """Read commands from standard input and write the handler's answers, until the input is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await handler(json.loads(line))
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    os._exit(0)  # a normal exit would first cancel the tasks of thousands of connections


class HollowProcess:
    """A handle of the run for one hollow process."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wrap a started process."""
        self.process, self._lock = process, asyncio.Lock()

    @classmethod
    async def start(cls, module: str) -> "HollowProcess":
        """Start a module of this package as a process, by its name without the package."""
        return cls(await asyncio.create_subprocess_exec(
            sys.executable, "-m", f"hazellead.lab.capacity.{module}", limit=MAX_LINE_BYTES,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE))

    async def ask(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Send a command and return the answer; raises RuntimeError if the process has ended."""
        async with self._lock:
            assert self.process.stdin and self.process.stdout
            try:
                self.process.stdin.write(json.dumps({"command": command, **arguments}).encode() + b"\n")
                await self.process.stdin.drain()
                line = await self.process.stdout.readline()
            except (ConnectionError, ValueError) as error:
                raise RuntimeError(f"command {command}: {error}") from None
            if not line:
                raise RuntimeError(f"command {command}: the hollow process has ended")
            answer: dict[str, Any] = json.loads(line)
            return answer
