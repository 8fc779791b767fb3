"""Accepts Gearman connections; each can carry client packets, worker packets and admin commands."""

import asyncio
import socket
from contextlib import suppress
from datetime import timedelta

import structlog
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from hazellead.core.clock import Clock
from hazellead.gearman import clients, workers
from hazellead.gearman.clients import ClientSession, Submissions
from hazellead.gearman.packets import Packet, PacketError, Parser, Type, encode_packet
from hazellead.gearman.workers import GearmanWorkers, WorkerSession
from hazellead.limits import Limits
from hazellead.net.accept import Listener
from hazellead.net.streams import alive, close_gently, release_failure, within

log = structlog.get_logger()

VERSION = "1.1.0"  # reported by the admin command "version"


class GearmanConnection:
    """One connection: reads its packets and admin lines and passes them to its client or worker session."""

    def __init__(self, server: "GearmanServer", stream: IOStream, peer: str) -> None:
        """Start both sessions; the packets that arrive decide which of them is used."""
        self._server, self._stream, self.peer = server, stream, peer
        self._parser = Parser(server.limits)
        self.waiting_since = server.clock.now()  # when it was accepted, or the incomplete packet began
        self.received_packet = False  # a whole packet or admin line has arrived
        self._pending_read: asyncio.Future[bytes] | None = None
        self.client = ClientSession(server.submissions, self.send)
        self.worker = WorkerSession(self, server.workers)

    def send(self, number: Type, *args: bytes) -> bool:
        """Write a packet; return False if the connection was closed, so that no byte of it was written."""
        return self._write(encode_packet(number, *args))

    def _write(self, data: bytes) -> bool:
        try:
            self._stream.write(data)
        except StreamClosedError:
            return False
        except StreamBufferFullError:
            # Bounds the memory that a peer which does not read can take. Nothing of this packet was written.
            log.warning("gearman_peer_not_reading", peer=self.peer)
            self._stream.close()
            return False
        return True

    async def run(self) -> None:
        """Process packets and admin lines until either side closes the connection."""
        try:
            while True:
                while (item := self._parser.next()) is not None:
                    self.received_packet = True
                    if isinstance(item, str):
                        self._handle_admin_line(item)
                    else:
                        self._handle_packet(item)
                pending_read = self._pending_read = asyncio.ensure_future(
                    self._stream.read_bytes(self._server.limits.read, partial=True))
                # Without this time limit a peer could stay silent or send one packet byte by byte for ever.
                # Once it has sent a whole packet, it may be idle between packets without a limit.
                if self.received_packet and self._parser.empty:
                    self._parser.feed(await pending_read)
                    self.waiting_since = self._server.clock.now()
                else:
                    remaining = (
                        self.waiting_since + self._server.limits.client_read - self._server.clock.now())
                    self._parser.feed(await within(max(remaining, timedelta(0)), pending_read))
        except PacketError as error:
            log.warning("gearman_packet_refused", peer=self.peer, reason=str(error))
            self.client.error("malformed", str(error))
            self.client.connection_lost()  # now: none of its jobs may start during the slow close
            await close_gently(self._stream, self._server.limits)
        except (StreamClosedError, TimeoutError):
            pass
        finally:
            self._stream.close()
            self.client.connection_lost()
            self._server.workers.connection_lost(self.worker)

    def release(self) -> None:
        """Free what the ended connection refers to."""
        release_failure(self._stream, self._pending_read)
        self.client.release()
        self.worker.release()

    async def finish(self) -> None:
        """Close the connection once what was written has been sent, or after ``Limits.linger``."""
        with suppress(StreamClosedError, TimeoutError):
            await within(self._server.limits.linger, self._stream.write(b""))
        self._stream.close()

    def end_if_idle(self) -> None:
        """Close the connection if it is a client's and no packet, read, write or job of it is unfinished.

        A read that is done but not yet processed may hold a submission. Closing then would start the job
        without an answer, and its client would submit it to another scheduler too.
        """
        read_done = self._pending_read is not None and self._pending_read.done()
        idle = (self._parser.empty and not read_done and not self._stream.writing()
                and not self.client.has_unfinished_jobs)
        if idle and not self.worker.abilities and alive(self._stream):
            self._stream.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    def _handle_packet(self, packet: Packet) -> None:
        if packet.type in clients.TYPES and not packet.response:
            self.client.handle_packet(packet)
        elif packet.type in workers.TYPES and not packet.response:
            self.worker.handle_packet(packet)
        else:
            self.client.error("unsupported", f"packet type {packet.type} is not served here")

    def _handle_admin_line(self, line: str) -> None:
        if line == "version":
            text = f"OK {VERSION}\n"
        elif line == "status":
            text = "".join(f"{row}\n" for row in self._status_rows()) + ".\n"
        elif line == "workers":
            rows = [f"{i} {c.peer} {c.worker.name or '-'} : {' '.join(sorted(c.worker.abilities))}".rstrip()
                    for i, c in enumerate(self._server.connections)]
            text = "".join(f"{row}\n" for row in rows) + ".\n"
        else:
            text = "ERR unknown_command Unknown+server+command\n"
        self._write(text.encode("latin-1"))

    def _status_rows(self) -> list[str]:
        """Return a line for each function: unfinished jobs, running jobs, worker sessions that can do it."""
        rows = []
        for name in sorted(self._server.submissions.functions):
            live = [t for t in self._server.submissions.table.live.values() if t.function == name]
            capable = sum(name in s.abilities for s in self._server.workers.all_sessions())
            rows.append(f"{name}\t{len(live)}\t{sum(t.running for t in live)}\t{capable}")
        return rows


class GearmanServer(Listener):
    """Accepts at most ``Limits.gearman_connections`` connections at a time."""

    def __init__(
        self, limits: Limits, clock: Clock, submissions: Submissions, workers: GearmanWorkers,
    ) -> None:
        """Start without connections; the caller adds the listening sockets."""
        super().__init__(limits)
        self.clock, self.submissions, self.workers = clock, submissions, workers
        self.connections: dict[GearmanConnection, None] = {}  # in the order of their acceptance

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection, or close it if too many are open; it counts before the next is accepted."""
        if len(self.connections) >= self.limits.gearman_connections and not self._close_silent_connection():
            log.warning("gearman_connection_refused", open=len(self.connections))
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = self.limits.write_buffer
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection = GearmanConnection(self, stream, str(address[0]))
        self.connections[connection] = None
        self.run_in_background(self._run(connection))

    async def _run(self, connection: GearmanConnection) -> None:
        try:
            await connection.run()
        finally:
            self.connections.pop(connection, None)
            connection.release()

    def free_descriptor(self) -> None:
        """Close a connection that has not sent a whole packet yet."""
        self._close_silent_connection()

    def _close_silent_connection(self) -> bool:
        """Close the oldest connection without a whole packet; return whether there was one to close.

        One that is younger than ``Limits.first_byte`` is left open.
        """
        silent = next((c for c in self.connections if not c.received_packet), None)
        if silent is None or self.clock.now() - silent.waiting_since < self.limits.first_byte:
            return False
        silent.close()
        self.connections.pop(silent, None)
        return True

    def end_idle(self) -> None:
        """Close the connections that neither wait for a job nor belong to a worker.

        A request that arrives as its connection closes is not answered; its client retries with another
        scheduler.
        """
        for connection in list(self.connections):
            connection.end_if_idle()

    async def finish(self) -> None:
        """Stop accepting and close every connection once its answers are written."""
        self.stop()
        await asyncio.gather(*(c.finish() for c in list(self.connections)))
