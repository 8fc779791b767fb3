"""Sends members' messages over TCP with TLS 1.3: one connection per member, opened on demand.

Delivery is best effort, which suffices for SWIM: messages that cannot be sent soon are dropped. Limits apply
to connections, handshakes in progress, messages queued per member and the read rate per member.
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
from hazellead.peers.keys import Keys, NamePolicy, certificate_expiry, certificate_names
from hazellead.peers.messages import HEADER, Bounds, FrameReader, Hello, Message, MessageError, encode

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class PeerLimits:
    """Limits on connections and traffic with other members."""

    connections: int = 64
    unauthenticated: int = 16  # inbound, and again outbound, connections before authentication
    read_size: int = 64 * 1024  # bytes read at once
    write_buffer: int = 1024 * 1024  # bytes written and not yet sent to a member; a frame must fit
    queued_messages: int = 8  # messages queued for a member while its connection opens
    bytes_per_s: int = 512 * 1024  # read from one member
    messages_per_s: int = 400  # handled from one member
    connect: timedelta = timedelta(milliseconds=500)
    hello: timedelta = timedelta(seconds=2)  # for handshake and hello together
    stall: timedelta = timedelta(seconds=2)  # for the rest of a message that has begun to arrive
    idle: timedelta = timedelta(seconds=60)
    retry_delay: timedelta = timedelta(milliseconds=300)  # after a failed connect to an address
    bounds: Bounds = field(default_factory=Bounds)


class _Listener(TCPServer):
    """Accepts connections; the transport performs their handshakes, so that it can limit them."""

    def __init__(self, transport: "Transport", limits: PeerLimits) -> None:
        super().__init__(ssl_options=transport.keys.server, max_buffer_size=4 * limits.read_size)
        self._transport = transport

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        assert isinstance(stream, SSLIOStream)
        await self._transport.accepted(stream, address)


class Connection:
    """An authenticated connection to one member."""

    def __init__(
        self, transport: "Transport", stream: SSLIOStream, name: str, certificate_expires: datetime,
    ) -> None:
        """Use ``stream`` for the member ``name``, whose certificate expires at the given time."""
        self._transport, self._stream, self.name, self.certificate_expires = (
            transport, stream, name, certificate_expires)
        self.last_used = transport.clock.now()
        self.reader = FrameReader(transport.limits.bounds)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    def send(self, message: Message) -> bool:
        """Write a message; return False if the connection is closed or its write buffer is full."""
        self.last_used = self._transport.clock.now()
        try:
            future = self._stream.write(encode(message))
        except (StreamClosedError, StreamBufferFullError):
            return False
        future.add_done_callback(lambda f: f.cancelled() or f.exception())
        return True

    async def run(self) -> None:
        """Read and deliver messages until either side closes the connection."""
        limits = self._transport.limits
        while True:
            reading = self._stream.read_bytes(limits.read_size, partial=True)
            # The shorter timeout applies to a member that stops in the middle of a message.
            data = await within(limits.idle if self.reader.empty else limits.stall, reading)
            messages = self.reader.feed(data)
            self.last_used = self._transport.clock.now()
            for message in messages:
                self._transport.deliver(self, message)
            # Limits the read rate, so that a flooding member does not use up the processor.
            pause = max(len(data) / limits.bytes_per_s, len(messages) / limits.messages_per_s)
            if pause > 0.002:
                await asyncio.sleep(pause)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


class Transport:
    """All connections of this instance to other members."""

    def __init__(
        self, name: str, advertise: str, cluster: str, keys: Keys, policy: NamePolicy, limits: PeerLimits,
        clock: Clock, receive: Callable[[str, Message], None],
    ) -> None:
        """Call ``receive(name, message)`` for every message of an authenticated member."""
        self.name, self.advertise, self.cluster = name, advertise, cluster
        self.keys, self.policy, self.limits, self.clock = keys, policy, limits, clock
        self._receive = receive
        self._server = _Listener(self, limits)
        self._open: OrderedDict[str, Connection] = OrderedDict()  # least recently used first
        self._connecting: dict[str, list[Message]] = {}  # by address, with queued messages
        self._failed_at: dict[str, datetime] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._unauthenticated = 0
        self.refused = 0
        self.connect_failures = 0  # connects that failed since the start

    def listen(self, host: str, port: int) -> None:
        """Listen for connections; raises OSError."""
        self._server.listen(port, host, backlog=self.limits.connections)

    @property
    def connected(self) -> list[str]:
        """Names of the members with an open connection."""
        return [n for n, c in self._open.items() if not c.closed]

    # Sending.

    def send(self, name: str, address: str, message: Message) -> None:
        """Send to the member ``name``, or to any member at ``address`` if the name is empty.

        Messages that cannot be sent soon are dropped.
        """
        connection = self._open.get(name) if name else None
        if connection and not connection.closed:
            self._open.move_to_end(name)
            connection.send(message)
            return
        if not address:
            return
        if address in self._connecting:
            if len(self._connecting[address]) < self.limits.queued_messages:
                self._connecting[address].append(message)
            return
        failed_at = self._failed_at.get(address)
        if failed_at and self.clock.now() - failed_at < self.limits.retry_delay:
            return
        if len(self._connecting) >= self.limits.unauthenticated:
            return
        self._connecting[address] = [message]
        self._start_task(self._connect(name, address))

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        stream: IOStream | None = None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
            stream = SSLIOStream(
                sock, ssl_options=self.keys.client, max_buffer_size=4 * self.limits.read_size,
                max_write_buffer_size=self.limits.write_buffer)
            # No server name is needed: the member is identified by its certificate.
            await within(self.limits.connect, stream.connect((host.strip("[]"), int(port))))
            stream.set_nodelay(True)
            connection = await within(self.limits.hello, self._authenticate(stream))
            if name and connection.name != name:
                raise MessageError(f"{address} is {connection.name}, not {name}")
        except (OSError, ValueError, StreamClosedError, TimeoutError, MessageError, ssl.SSLError) as error:
            if stream:
                stream.close()
            self._connecting.pop(address, None)
            self.connect_failures += 1
            self._note_failure(address)
            log.debug("peer_unreachable", address=address, reason=str(error))
            return
        for message in self._connecting.pop(address, []):
            connection.send(message)
        await self._serve(connection, stream)

    def _note_failure(self, address: str) -> None:
        self._failed_at[address] = self.clock.now()
        if len(self._failed_at) > 1024:
            self._failed_at.pop(next(iter(self._failed_at)))

    # Accepting.

    async def accepted(self, stream: SSLIOStream, address: object) -> None:
        """Perform the handshake of an accepted connection and serve it if the peer is authenticated."""
        if self._unauthenticated >= self.limits.unauthenticated:
            stream.close()
            return
        self._unauthenticated += 1
        try:
            await within(self.limits.hello, stream.wait_for_handshake())
            stream.max_write_buffer_size = self.limits.write_buffer
            stream.set_nodelay(True)
            connection = await within(self.limits.hello, self._authenticate(stream))
        except (OSError, StreamClosedError, TimeoutError, MessageError, ssl.SSLError) as error:
            self.refused += 1
            stream.close()
            log.warning("peer_refused", address=str(address), reason=str(error) or type(error).__name__)
            return
        finally:
            self._unauthenticated -= 1
        await self._serve(connection, stream)

    async def _authenticate(self, stream: Any) -> Connection:
        """Exchange hellos; the peer's certificate must contain its name, and the policy must allow it.

        Raises MessageError.
        """
        stream.write(encode(Hello(self.name, self.advertise, self.cluster)))
        reader = FrameReader(Bounds(frame=1024))
        # Reads exactly the hello; the connection reads what follows it.
        header = await stream.read_bytes(HEADER.size)
        messages = reader.feed(header)  # raises MessageError if the length is over the limit
        if not messages:
            messages = reader.feed(await stream.read_bytes(HEADER.unpack(header)[2]))
        if len(messages) != 1 or not isinstance(hello := messages[0], Hello):
            raise MessageError("first message is not a hello")
        certificate = stream.socket.getpeercert() or {}
        if hello.name not in certificate_names(certificate):
            raise MessageError(f"name {hello.name!r} is not in its certificate")
        if not self.policy.allows(hello.name) or hello.name == self.name:
            raise MessageError(f"{hello.name!r} may not be a member")
        if hello.cluster != self.cluster:
            raise MessageError(f"{hello.name!r} belongs to cluster {hello.cluster!r}")
        return Connection(self, stream, hello.name, certificate_expiry(certificate))

    async def _serve(self, connection: Connection, stream: Any) -> None:
        if len(self._open) >= self.limits.connections and connection.name not in self._open:
            _, idle = self._open.popitem(last=False)
            idle.close()
        # Members that connected to each other at the same time keep both connections until one becomes idle.
        # Messages are sent on the newer one.
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

    def deliver(self, connection: Connection, message: Message) -> None:
        """Pass a message to the receiver; raises MessageError for a hello, which only comes first."""
        if isinstance(message, Hello):
            raise MessageError("a second hello")
        self._receive(connection.name, message)

    # Maintenance.

    def close_expired(self) -> None:
        """Close connections whose member's certificate has expired."""
        now = self.clock.now()
        for connection in list(self._open.values()):
            if connection.certificate_expires <= now:
                log.warning("peer_certificate_expired", peer=connection.name)
                connection.close()

    def set_keys(self, keys: Keys) -> None:
        """Use these keys for new connections; open connections stay."""
        self.keys = keys
        self._server.ssl_options = keys.server

    def set_policy(self, policy: NamePolicy) -> None:
        """Apply another name policy and close connections to members that it does not allow."""
        self.policy = policy
        for connection in list(self._open.values()):
            if not policy.allows(connection.name):
                log.warning("peer_dropped", peer=connection.name)
                connection.close()

    async def close(self) -> None:
        """Stop listening, close all connections and cancel all tasks."""
        self._server.stop()
        for connection in list(self._open.values()):
            connection.close()
        for task in list(self._tasks):
            task.cancel()
        with suppress(Exception):
            await asyncio.gather(*self._tasks, return_exceptions=True)
