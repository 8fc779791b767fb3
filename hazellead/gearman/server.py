"""Accepts Gearman connections; each may speak as client, as worker and as admin."""

import asyncio
import socket
from contextlib import suppress
from datetime import timedelta

import structlog
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from hazellead.core.clock import Clock
from hazellead.gearman import clients, workers
from hazellead.gearman.clients import ClientSession, Submissions
from hazellead.gearman.packets import Packet, PacketError, Parser, Type, write
from hazellead.gearman.workers import GearmanWorkers, WorkerSession
from hazellead.limits import Limits
from hazellead.net.accept import Listener
from hazellead.net.streams import alive, close_gently, within

log = structlog.get_logger()

VERSION = "1.1.0"


class GearmanConnection:
    """One connection."""

    def __init__(self, server: "GearmanServer", stream: IOStream, peer: str) -> None:
        """Start with no role: its packets tell."""
        self._server, self._stream, self.peer = server, stream, peer
        self._parser = Parser(server.limits)
        self.since = server.clock.now()  # its start, or that of the packet under way
        self.spoke = False  # it has sent a whole packet
        self._reading: asyncio.Future[bytes] | None = None
        self.client = ClientSession(server.submissions, self.send)
        self.worker = WorkerSession(self, server.workers)

    def send(self, number: Type, *args: bytes) -> bool:
        """Write a packet; False if the connection had ended before its first byte."""
        return self._write(write(number, *args))

    def _write(self, data: bytes) -> bool:
        try:
            self._stream.write(data)
        except StreamClosedError:
            return False
        except StreamBufferFullError:
            # Guards memory against one that does not read; nothing of this packet was written.
            log.warning("gearman_peer_not_reading", peer=self.peer)
            self._stream.close()
            return False
        return True

    async def run(self) -> None:
        """Follow its packets until either side ends the connection."""
        try:
            while True:
                while (item := self._parser.next()) is not None:
                    self.spoke = True
                    if isinstance(item, str):
                        self._admin(item)
                    else:
                        self._take(item)
                reading = self._reading = asyncio.ensure_future(
                    self._stream.read_bytes(self._server.limits.read, partial=True))
                # Guards against a peer that never says anything or never finishes its packet, however it
                # drips; between packets it may rest.
                if self.spoke and self._parser.empty:
                    self._parser.feed(await reading)
                    self.since = self._server.clock.now()
                else:
                    left = self.since + self._server.limits.client_read - self._server.clock.now()
                    self._parser.feed(await within(max(left, timedelta(0)), reading))
        except PacketError as error:
            log.warning("gearman_packet_refused", peer=self.peer, reason=str(error))
            self.client.error("malformed", str(error))
            self.client.connection_lost()  # nothing more is begun for it while it may still read this
            await close_gently(self._stream, self._server.limits)
        except (StreamClosedError, TimeoutError):
            pass
        finally:
            self._stream.close()
            self.client.connection_lost()
            self._server.workers.connection_lost(self.worker)

    async def finish(self) -> None:
        """End the connection without losing what was written."""
        with suppress(StreamClosedError, TimeoutError):
            await within(self._server.limits.linger, self._stream.write(b""))
        self._stream.close()

    def end_if_idle(self) -> None:
        """End a client's connection on which nothing is under way.

        Guards against a job taken after the close: a read that has finished may hold its submission, and its
        client, told of nothing, would bring it elsewhere too.
        """
        come = self._reading is not None and self._reading.done()
        quiet = self._parser.empty and not come and not self._stream.writing() and not self.client.waits
        if quiet and not self.worker.abilities and alive(self._stream):
            self._stream.close()

    def drop(self) -> None:
        """End the connection at once."""
        self._stream.close()

    def _take(self, packet: Packet) -> None:
        if packet.type in clients.TYPES and not packet.response:
            self.client.handle_packet(packet)
        elif packet.type in workers.TYPES and not packet.response:
            self.worker.handle_packet(packet)
        else:
            self.client.error("unsupported", f"packet type {packet.type} is not served here")

    def _admin(self, line: str) -> None:
        if line == "version":
            text = f"OK {VERSION}\n"
        elif line == "status":
            text = "".join(f"{row}\n" for row in self._status()) + ".\n"
        elif line == "workers":
            rows = [f"{i} {c.peer} {c.worker.name or '-'} : {' '.join(sorted(c.worker.abilities))}".rstrip()
                    for i, c in enumerate(self._server.open)]
            text = "".join(f"{row}\n" for row in rows) + ".\n"
        else:
            text = "ERR unknown_command Unknown+server+command\n"
        self._write(text.encode("latin-1"))

    def _status(self) -> list[str]:
        """Return a line for each function: jobs held, jobs running, workers that can do it."""
        rows = []
        for name in sorted(self._server.submissions.functions):
            live = [t for t in self._server.submissions.table.live.values() if t.function == name]
            able = sum(name in s.abilities for s in self._server.workers.all_sessions())
            rows.append(f"{name}\t{len(live)}\t{sum(t.running for t in live)}\t{able}")
        return rows


class GearmanServer(Listener):
    """Accepts connections and bounds their number."""

    def __init__(
        self, limits: Limits, clock: Clock, submissions: Submissions, workers: GearmanWorkers,
    ) -> None:
        """Serve with these."""
        super().__init__(limits)
        self.clock, self.submissions, self.workers = clock, submissions, workers
        self.open: dict[GearmanConnection, None] = {}  # in the order they came

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection; it is counted before the next is accepted."""
        if len(self.open) >= self.limits.gearman_connections and not self._make_room():
            log.warning("gearman_connection_refused", open=len(self.open))
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = self.limits.unread
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection = GearmanConnection(self, stream, str(address[0]))
        self.open[connection] = None
        self.aside(self._run(connection))

    async def _run(self, connection: GearmanConnection) -> None:
        try:
            await connection.run()
        finally:
            self.open.pop(connection, None)

    def spare(self) -> None:
        """End a connection that has said nothing."""
        self._make_room()

    def _make_room(self) -> bool:
        """End the oldest connection that has said nothing, if one has had the time to."""
        silent = next((c for c in self.open if not c.spoke), None)
        if silent is None or self.clock.now() - silent.since < self.limits.first_byte:
            return False
        silent.drop()
        self.open.pop(silent, None)
        return True

    def end_idle(self) -> None:
        """End the connections that neither wait for a job's end nor serve as a worker's.

        Gently: what a client wrote as it was ended is not answered, and it tries elsewhere.
        """
        for connection in list(self.open):
            connection.end_if_idle()

    async def finish(self) -> None:
        """Accept no more and end every connection once its answers are written."""
        self.stop()
        await asyncio.gather(*(c.finish() for c in list(self.open)))
