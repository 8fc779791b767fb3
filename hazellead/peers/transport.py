"""Carries members' messages over TCP with TLS 1.3: one connection to a member, opened when it is needed.

Best effort, as SWIM wants it: what cannot be sent soon is dropped. Everything is bounded: connections,
handshakes under way, what is queued for a member, how fast one member is read.
"""

import asyncio
import socket
import ssl
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

import structlog
from tornado.iostream import IOStream, SSLIOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from hazellead.core.clock import Clock
from hazellead.net.streams import within
from hazellead.peers.keys import Keys, NamePolicy, ends_at, names_in
from hazellead.peers.messages import HEADER, Bounds, Hello, Message, MessageError, Reader, encode

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class PeerLimits:
    """What bounds the traffic with other members."""

    connections: int = 64
    strangers: int = 16  # connections that have not proven themselves yet
    read: int = 64 * 1024
    unread: int = 1024 * 1024  # written to a member and not yet taken; a frame must fit
    queued: int = 8  # messages held for a member while its connection opens
    rate: int = 512 * 1024  # bytes a second read from one member
    messages: int = 400  # a second handled from one member
    connect: timedelta = timedelta(milliseconds=500)
    hello: timedelta = timedelta(seconds=2)  # for handshake and hello together
    stall: timedelta = timedelta(seconds=2)  # for the rest of a message once it has begun
    idle: timedelta = timedelta(seconds=60)
    retry: timedelta = timedelta(milliseconds=300)  # after a failed connect, before the next to that address
    bounds: Bounds = field(default_factory=Bounds)


class _Listener(TCPServer):
    """Accepts connections and takes them through their handshake itself, so that it can be bounded."""

    def __init__(self, transport: "Transport", limits: PeerLimits) -> None:
        super().__init__(ssl_options=transport.keys.server, max_buffer_size=4 * limits.read)
        self._transport = transport

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        assert isinstance(stream, SSLIOStream)
        await self._transport.accepted(stream, address)


class Connection:
    """One connection to one member, proven."""

    def __init__(self, transport: "Transport", stream: SSLIOStream, name: str, ends: datetime) -> None:
        """Carry for a member whose certificate ends then."""
        self._transport, self._stream, self.name, self.ends = transport, stream, name, ends
        self.used = transport.clock.now()
        self.reader = Reader(transport.limits.bounds)

    @property
    def closed(self) -> bool:
        """Say whether it has ended."""
        return self._stream.closed()

    def send(self, message: Message) -> bool:
        """Write a message, unless too much is still unread."""
        self.used = self._transport.clock.now()
        try:
            future = self._stream.write(encode(message))
        except (StreamClosedError, StreamBufferFullError):
            return False
        future.add_done_callback(lambda f: f.cancelled() or f.exception())
        return True

    async def run(self) -> None:
        """Read until either side ends it."""
        limits = self._transport.limits
        while True:
            reading = self._stream.read_bytes(limits.read, partial=True)
            # Guards against one that stops half-way through a message.
            data = await within(limits.idle if self.reader.empty else limits.stall, reading)
            messages = self.reader.feed(data)
            self.used = self._transport.clock.now()
            for message in messages:
                self._transport.take(self, message)
            # Guards the processor and every other member against one that floods: it is read at its rate.
            pause = max(len(data) / limits.rate, len(messages) / limits.messages)
            if pause > 0.002:
                await asyncio.sleep(pause)

    def close(self) -> None:
        """End it."""
        self._stream.close()


class Transport:
    """All connections of one member."""

    def __init__(
        self, name: str, advertise: str, cluster: str, keys: Keys, policy: NamePolicy, limits: PeerLimits,
        clock: Clock, receive: Callable[[str, Message], None],
    ) -> None:
        """``receive(name, message)`` hears every message of a proven member."""
        self.name, self.advertise, self.cluster = name, advertise, cluster
        self.keys, self.policy, self.limits, self.clock = keys, policy, limits, clock
        self._receive = receive
        self._server = _Listener(self, limits)
        self._open: OrderedDict[str, Connection] = OrderedDict()  # least lately used first
        self._opening: dict[str, list[Message]] = {}  # by address, with what waits for it
        self._failed: dict[str, datetime] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._strangers = 0
        self.refused = 0
        self.failures = 0  # connects that failed since the start

    def listen(self, host: str, port: int) -> None:
        """Listen; raises OSError."""
        self._server.listen(port, host, backlog=self.limits.connections)

    @property
    def names(self) -> list[str]:
        """Return with whom connections are open."""
        return [n for n, c in self._open.items() if not c.closed]

    # Sending.

    def send(self, name: str, address: str, message: Message) -> None:
        """Send to a member by name, or to whoever is at an address. What cannot go soon is dropped."""
        connection = self._open.get(name) if name else None
        if connection and not connection.closed:
            self._open.move_to_end(name)
            connection.send(message)
            return
        if not address:
            return
        if address in self._opening:
            if len(self._opening[address]) < self.limits.queued:
                self._opening[address].append(message)
            return
        failed = self._failed.get(address)
        if failed and self.clock.now() - failed < self.limits.retry:
            return
        if len(self._opening) >= self.limits.strangers:
            return
        self._opening[address] = [message]
        self._start(self._connect(name, address))

    def _start(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        stream: IOStream | None = None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
            stream = SSLIOStream(sock, ssl_options=self.keys.client, max_buffer_size=4 * self.limits.read,
                                 max_write_buffer_size=self.limits.unread)
            # The server's name is of no use here: who answers is read from its certificate.
            await within(self.limits.connect, stream.connect((host.strip("[]"), int(port))))
            stream.set_nodelay(True)
            connection = await within(self.limits.hello, self._prove(stream))
            if name and connection.name != name:
                raise MessageError(f"{address} is {connection.name}, not {name}")
        except (OSError, ValueError, StreamClosedError, TimeoutError, MessageError, ssl.SSLError) as error:
            if stream:
                stream.close()
            self._opening.pop(address, None)
            self.failures += 1
            self._note_failure(address)
            log.debug("peer_unreachable", address=address, reason=str(error))
            return
        for message in self._opening.pop(address, []):
            connection.send(message)
        await self._serve(connection, stream)

    def _note_failure(self, address: str) -> None:
        self._failed[address] = self.clock.now()
        if len(self._failed) > 1024:
            self._failed.pop(next(iter(self._failed)))

    # Accepting.

    async def accepted(self, stream: SSLIOStream, address: object) -> None:
        """Take a new connection through its handshake; a stranger gets nothing."""
        if self._strangers >= self.limits.strangers:
            stream.close()
            return
        self._strangers += 1
        try:
            await within(self.limits.hello, stream.wait_for_handshake())
            stream.max_write_buffer_size = self.limits.unread
            stream.set_nodelay(True)
            connection = await within(self.limits.hello, self._prove(stream))
        except (OSError, StreamClosedError, TimeoutError, MessageError, ssl.SSLError) as error:
            self.refused += 1
            stream.close()
            log.warning("peer_refused", address=str(address), reason=str(error) or type(error).__name__)
            return
        finally:
            self._strangers -= 1
        await self._serve(connection, stream)

    async def _prove(self, stream: Any) -> Connection:
        """Exchange hellos; who it is must be in its certificate, and be allowed here."""
        stream.write(encode(Hello(self.name, self.advertise, self.cluster)))
        reader = Reader(Bounds(frame=1024))
        # Only as much as a hello takes: what follows it is read by the connection.
        head = await stream.read_bytes(HEADER.size)
        messages = reader.feed(head)  # a length past the bound is refused here
        if not messages:
            messages = reader.feed(await stream.read_bytes(HEADER.unpack(head)[2]))
        if len(messages) != 1 or not isinstance(hello := messages[0], Hello):
            raise MessageError("no hello")
        certificate = stream.socket.getpeercert() or {}
        if hello.name not in names_in(certificate):
            raise MessageError(f"calls itself {hello.name!r}, which its certificate does not prove")
        if not self.policy.allows(hello.name) or hello.name == self.name:
            raise MessageError(f"{hello.name!r} is no member's name here")
        if hello.cluster != self.cluster:
            raise MessageError(f"{hello.name!r} belongs to {hello.cluster!r}")
        return Connection(self, stream, hello.name, ends_at(certificate))

    async def _serve(self, connection: Connection, stream: Any) -> None:
        if len(self._open) >= self.limits.connections and connection.name not in self._open:
            _, idle = self._open.popitem(last=False)
            idle.close()
        # Two that connected to each other at once keep both until one idles; the newer one is used.
        self._open[connection.name] = connection
        try:
            await connection.run()
        except MessageError as error:
            log.warning("peer_message_refused", peer=connection.name, reason=str(error))
        except (StreamClosedError, TimeoutError, OSError):
            pass
        finally:
            connection.close()
            if self._open.get(connection.name) is connection:
                del self._open[connection.name]

    def take(self, connection: Connection, message: Message) -> None:
        """Hand a message on; only the first thing said is a hello."""
        if isinstance(message, Hello):
            raise MessageError("a second hello")
        self._receive(connection.name, message)

    # Care.

    def sweep(self) -> None:
        """End connections whose member's certificate has expired meanwhile."""
        now = self.clock.now()
        for connection in list(self._open.values()):
            if connection.ends <= now:
                log.warning("peer_certificate_expired", peer=connection.name)
                connection.close()

    def use(self, keys: Keys) -> None:
        """Take new connections with these keys; those that are open go on."""
        self.keys = keys
        self._server.ssl_options = keys.server

    def allow(self, policy: NamePolicy) -> None:
        """Follow another list of names: connections to members no longer on it end."""
        self.policy = policy
        for connection in list(self._open.values()):
            if not policy.allows(connection.name):
                log.warning("peer_dropped", peer=connection.name)
                connection.close()

    async def close(self) -> None:
        """End everything."""
        self._server.stop()
        for connection in list(self._open.values()):
            connection.close()
        for task in list(self._tasks):
            task.cancel()
        with suppress(Exception):
            await asyncio.gather(*self._tasks, return_exceptions=True)
