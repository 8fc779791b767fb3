"""Accepts Gearman connections; each can carry client packets, worker packets and admin commands."""

import asyncio
import socket
from contextlib import suppress
from datetime import timedelta

import structlog
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from hazellead.core.clock import Clock
from hazellead.gearman import clients, workers
from hazellead.gearman.clients import ClientSession, ClientState, Submissions
from hazellead.gearman.packets import Packet, PacketError, Parser, Type, encode_packet
from hazellead.gearman.workers import GearmanWorkers, WorkerSession
from hazellead.limits import Limits
from hazellead.net.accept import Listener
from hazellead.net.budget import ByteBudget
from hazellead.net.streams import alive, close_gently, release_failure, within
from hazellead.net.turns import TurnQueue

log = structlog.get_logger()

WRITE_OVERHEAD = 512  # bytes that a queued write takes in memory beside its data
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
        self._handled_at_once = 0  # packets and lines since the last wait
        self._unsent_bytes = 0  # of packets that the peer has not made room for, with their overhead
        self.client = ClientSession(server.submissions, self.send)
        self.worker = WorkerSession(self, server.workers)

    def send(self, number: Type, *args: bytes) -> bool:
        """Write a packet; return False if the connection was closed, so that no byte of it was written."""
        return self._write(encode_packet(number, *args))

    def _write(self, data: bytes) -> bool:
        try:
            written = self._stream.write(data)
        except StreamClosedError:
            return False
        except StreamBufferFullError:
            # Bounds the memory that a peer which does not read can take. Nothing of this packet was written.
            log.warning("gearman_peer_not_reading", peer=self.peer)
            self._stream.close()
            return False
        if not written.done():
            self._hold_until_sent(written, len(data) + WRITE_OVERHEAD)
        return True

    def _hold_until_sent(self, written: asyncio.Future[None], size: int) -> None:
        def sent(_: asyncio.Future[None]) -> None:
            self._unsent_bytes = max(0, self._unsent_bytes - size)
            self._count_held_bytes()

        self._unsent_bytes += size
        written.add_done_callback(sent)
        self._count_held_bytes()
        if self._unsent_bytes > self._server.limits.write_buffer:
            log.warning("gearman_peer_not_reading", peer=self.peer)
            self._stream.close()

    async def run(self) -> None:
        """Process packets and admin lines until either side closes the connection."""
        try:
            while True:
                self._read_ahead()
                if (item := self._parser.next()) is not None:
                    await self._handle(item)
                elif self.client.state is ClientState.LEFT:
                    break
                else:
                    await self._read()
        except PacketError as error:
            log.warning("gearman_packet_refused", peer=self.peer, reason=str(error))
            self.client.error("malformed", str(error))
            self.client.connection_lost()  # now: none of its jobs may start during the slow close
            await close_gently(self._stream, self._server.limits, self._pending_read)
        except (StreamClosedError, TimeoutError):
            pass
        finally:
            self._stream.close()
            self._parser.discard()
            self._count_held_bytes()
            self.client.connection_lost()
            self._server.workers.connection_lost(self.worker)

    def release(self) -> None:
        """Free what the ended connection refers to."""
        release_failure(self._stream, self._pending_read)
        self.client.release()
        self.worker.release()

    def _begin_read(self) -> asyncio.Future[bytes]:
        return asyncio.ensure_future(self._stream.read_bytes(self._server.limits.read, partial=True))

    def _read_ahead(self) -> None:
        """Read all that has come, as far as it is buffered.

        Work must not start for a client that has disconnected, and the end of its connection is found only
        behind all that it has sent.
        """
        while self.client.state is not ClientState.LEFT:
            try:
                reading = self._pending_read = self._pending_read or self._begin_read()
            except StreamClosedError:  # what was read before is still to be processed
                self.client.state = ClientState.LEFT
                return
            if not reading.done():
                self.client.state = ClientState.WAITING
                return
            if reading.cancelled() or reading.exception():
                self.client.state = ClientState.LEFT
            elif self._parser.full:
                self.client.state = ClientState.AHEAD
                return
            else:
                self._feed(reading.result())

    async def _read(self) -> None:
        """Wait for more bytes of an incomplete packet or of the next."""
        self._handled_at_once = 0
        reading = self._pending_read = self._pending_read or self._begin_read()
        # Without this time limit a peer could stay silent or send one packet byte by byte for ever.
        # Once it has sent a whole packet, it may be idle between packets without a limit.
        if self.received_packet and self._parser.empty:
            await asyncio.wait([reading])
            self.waiting_since = self._server.clock.now()
        else:
            remaining = self.waiting_since + self._server.limits.client_read - self._server.clock.now()
            await asyncio.wait([reading], timeout=max(remaining, timedelta(0)) / timedelta(seconds=1))
            if not reading.done():
                raise TimeoutError

    def _feed(self, data: bytes) -> None:
        self._pending_read = None
        self._parser.feed(data)
        self._count_held_bytes()

    async def _handle(self, item: Packet | str) -> None:
        """Process a packet or an admin line; lets other connections have their turn after some."""
        self.received_packet, self.waiting_since = True, self._server.clock.now()
        if isinstance(item, str):
            self._handle_admin_line(item)
        else:
            self._handle_packet(item)
        self._count_held_bytes()
        self._handled_at_once += 1
        if self._handled_at_once >= self._server.limits.packets_at_once:
            self._handled_at_once = 0
            await self._server.turns.wait(self._stream)

    def _count_held_bytes(self) -> None:
        self._server.budget.update(self, self.removable_bytes)

    @property
    def removable_bytes(self) -> int:
        """Size of what is received and not processed, and of what is written and not sent."""
        return self._parser.size + self._unsent_bytes

    def give_way(self) -> None:
        """Close the connection to free memory: of all it holds most."""
        log.warning("gearman_peer_holds_most", peer=self.peer, received=self._parser.size,
                    unsent=self._unsent_bytes)
        self._parser.discard()
        if not self._stream.writing():  # else it does not read
            self.client.error("no_room", "too much at once")
        self._stream.close()
        self._unsent_bytes = 0
        self._count_held_bytes()

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
        self.budget = ByteBudget(limits.buffered)
        self.turns = TurnQueue()
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
