"""What the hollow stand-ins share: counts of messages and bytes, doors that can be cut off, commands.

A hollow process is started by a run, takes one command a line on its standard input (a JSON object with
``do``), answers each with one line, and ends with its input: it never outlives the run that started it.
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

LINE = 1 << 26  # bytes of a command or an answer, at most
LIMITS = Limits(body=1 << 22)
BACKLOG = 512
FIELDS = ("in", "in_bytes", "in_bodies", "out", "out_bytes", "out_bodies")

Row = list[int]  # in the order of FIELDS; "in" is to the scheduler, the third is bytes of bodies alone
Table = dict[str, dict[str, Row]]  # by scheduler and kind of message


class Counts:
    """Messages and bytes between each scheduler and the stand-ins here, by kind, as HTTP has them."""

    def __init__(self) -> None:
        """Start with none."""
        self.table: Table = {}

    def note(self, scheduler: str, kind: str, *, inward: bool, size: int, body: int = 0) -> None:
        """Count one message of ``size`` bytes, of which ``body`` are its body."""
        row = self.table.setdefault(scheduler, {}).setdefault(kind, [0] * len(FIELDS))
        at = 0 if inward else 3
        row[at] += 1
        row[at + 1] += size
        row[at + 2] += body


def merged(tables: list[Table]) -> Table:
    """Add tables up."""
    total: Table = {}
    for table in tables:
        for scheduler, kinds in table.items():
            for kind, row in kinds.items():
                held = total.setdefault(scheduler, {}).setdefault(kind, [0] * len(FIELDS))
                for i, value in enumerate(row):
                    held[i] += value
    return total


def since(before: Table, now: Table) -> Table:
    """Return what was counted between two tables."""
    none = [0] * len(FIELDS)
    return {scheduler: {kind: [n - b for n, b in zip(
        row, before.get(scheduler, {}).get(kind, none), strict=True)]
                        for kind, row in kinds.items()} for scheduler, kinds in now.items()}


class Speaker(asyncio.Protocol):
    """One connection that carries HTTP/1.1 messages, whichever side opened it."""

    def __init__(self, *, responses: bool) -> None:
        """Read requests, or responses."""
        self._parser, self._fed = Parser(LIMITS, responses=responses), 0
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way out."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take bytes in."""
        self._fed += len(data)
        self._parser.feed(data)
        try:
            while message := self._parser.next():
                size, self._fed = self._fed - self._parser.size, self._parser.size
                self.took(message, size)
        except HttpError:
            self.transport.abort()

    def took(self, message: Message, size: int) -> None:
        """Take in a message that came in so many bytes."""
        raise NotImplementedError


class Asker(Speaker):
    """The side that asks: one request at a time."""

    def __init__(self) -> None:
        """Start open."""
        super().__init__(responses=True)
        self.since = 0.0  # of its rest, in the loop's seconds
        self._answer: asyncio.Future[tuple[Message, int]] | None = None
        self.lost = False

    def ask(self, request: bytes) -> "asyncio.Future[tuple[Message, int]]":
        """Send a request; the future gives the answer and its size, or a ConnectionError."""
        self._answer = answer = asyncio.get_running_loop().create_future()
        if self.lost:
            answer.set_exception(ConnectionResetError())
        else:
            self.transport.write(request)
        return answer

    def took(self, message: Message, size: int) -> None:
        """Hand over an answer; what nobody asked for ends the connection."""
        if self._answer is None or self._answer.done():
            self.transport.abort()
            return
        self._answer.set_result((message, size))

    def connection_lost(self, reason: Exception | None) -> None:
        """Tell who waits."""
        self.lost = True
        if self._answer and not self._answer.done():
            self._answer.set_exception(ConnectionResetError())


async def open_to(to: tuple[str, int], source: str | None = None) -> Asker:
    """Open a connection, from an address of one's own if one is given; raises OSError."""
    _, asker = await asyncio.get_running_loop().create_connection(
        Asker, to[0], to[1], local_addr=(source, 0) if source else None)
    return asker


class Door:
    """A listening socket that can be cut off.

    Cut off, it is as a machine that cannot be reached: what is open stays open and quiet, and what is new
    never comes up, since the queue of the connections that wait to be accepted is full.
    """

    def __init__(self, host: str, make: Callable[[], asyncio.Protocol]) -> None:
        """Listen on a free port."""
        self._make, self._loop = make, asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, 0))
        self._socket.listen(BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        self._loop.add_reader(self._socket, self._accept)
        self._open: set[asyncio.Transport] = set()
        self._coming: set[asyncio.Task[None]] = set()
        self._fillers: list[socket.socket] = []
        self.cut = False

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._come(sock))
            self._coming.add(task)
            task.add_done_callback(self._coming.discard)

    async def _come(self, sock: socket.socket) -> None:
        transport, _ = await self._loop.connect_accepted_socket(self._make, sock)
        self._open.add(transport)

    def forget(self, transport: asyncio.Transport) -> None:
        """Note that a connection has ended."""
        self._open.discard(transport)

    def cut_off(self) -> None:
        """Be unreachable."""
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
            self._fillers.append(filler)
        for transport in self._open:
            if not transport.is_closing():
                transport.pause_reading()

    def come_back(self) -> None:
        """Be reachable again."""
        if not self.cut:
            return
        self.cut = False
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket, self._accept)
        for transport in self._open:
            if not transport.is_closing():
                transport.resume_reading()

    def close(self) -> None:
        """End it and its connections."""
        if not self.cut:
            self._loop.remove_reader(self._socket)
        for filler in self._fillers:
            filler.close()
        self._socket.close()
        for transport in list(self._open):
            transport.abort()


Handler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


async def obey(handler: Handler) -> None:
    """Carry out commands until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await handler(json.loads(line))
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    os._exit(0)  # at once: the loop would first wind up what thousands of connections wait for


class Hollow:
    """The run's side of one hollow process."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Take a started process over."""
        self.process, self._turn = process, asyncio.Lock()

    @classmethod
    async def start(cls, module: str) -> "Hollow":
        """Start a module of this package."""
        return cls(await asyncio.create_subprocess_exec(
            sys.executable, "-m", f"hazellead.lab.capacity.{module}", limit=LINE,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE))

    async def ask(self, do: str, **command: Any) -> dict[str, Any]:
        """Give a command and return the answer; raises RuntimeError if the process has ended."""
        async with self._turn:
            assert self.process.stdin and self.process.stdout
            try:
                self.process.stdin.write(json.dumps({"do": do, **command}).encode() + b"\n")
                await self.process.stdin.drain()
                line = await self.process.stdout.readline()
            except (ConnectionError, ValueError) as error:
                raise RuntimeError(f"{do}: {error}") from None
            if not line:
                raise RuntimeError(f"{do}: the hollow process has ended")
            answer: dict[str, Any] = json.loads(line)
            return answer
