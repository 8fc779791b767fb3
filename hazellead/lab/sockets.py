"""The worker model on real loopback sockets, with the platform's protocol or as a Gearman worker.

Stand-ins bind to loopback only. With the platform's protocol a worker listens on a separate port for each
scheduler, and sends that scheduler's call-backs to the address on which it listens.
"""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any, Protocol

from tornado.iostream import IOStream, StreamClosedError

from hazellead.core.clock import Clock
from hazellead.gearman.packets import Packet, Parser, Type, encode_packet
from hazellead.lab.checker import RuleChecker
from hazellead.lab.fleet import WorkerSpec
from hazellead.lab.time import Timer
from hazellead.lab.worker import WorkerModel, WorkerState
from hazellead.limits import Limits
from hazellead.net import http, streams
from hazellead.net.client import read_response
from hazellead.net.server import Exchange, HttpServer

HOST = "127.0.0.1"
CALLBACK_ATTEMPTS = 10  # of each call-back


class LoopTime:
    """Real time for the models: the event loop's timers and a clock."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Read the time from ``clock``, by default the system's."""
        self.clock = clock or Clock()

    def now_us(self) -> int:
        """Return the present time in microseconds."""
        return self.clock.now_us()

    def after(self, us: float, call: Callable[..., Any], *args: Any) -> Timer:
        """Call ``call`` with ``args`` after ``us`` microseconds."""
        timer = Timer(call, args)

        def fire() -> None:
            if timer.call is not None:
                timer.call(*timer.args)

        asyncio.get_running_loop().call_later(max(0.0, us) / 1e6, fire)
        return timer


class CallbackChannel(Protocol):
    """Sends call-backs of one worker to one scheduler."""

    worker: WorkerModel

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Keep a reference to a call-back's task until it is done."""

    async def call_back(self, event: dict[str, Any]) -> None:
        """Send one call-back."""


class HttpTicket:
    """One job at a worker; sends its call-backs one after another, in order."""

    def __init__(self, channel: CallbackChannel, identity: str, work_s: float) -> None:
        """Send call-backs over ``channel``."""
        self._channel, self.identity, self.work_s = channel, identity, work_s
        self._last_callback: asyncio.Future[None] | None = None

    def _call_back(self, **event: Any) -> None:
        previous = self._last_callback
        self._last_callback = asyncio.ensure_future(self._call_back_after(previous, event))
        self._channel.keep(self._last_callback)

    async def _call_back_after(self, previous: "asyncio.Future[None] | None", event: dict[str, Any]) -> None:
        if previous:
            await previous
        await self._channel.call_back({"id": self.identity, "from": self._channel.worker.spec.name, **event})

    def began(self) -> None:
        """Report the start."""
        self._call_back(state="started")

    def progressed(self, share: float) -> None:
        """Report the progress."""
        self._call_back(state="running", share=share)

    def done(self) -> None:
        """Report the result."""
        self._call_back(state="done", result=f"posted {self.identity}")

    def returned(self) -> None:
        """Report that the worker did not start the job."""
        self._call_back(state="returned")

    def lost(self) -> None:
        """Report the loss, as the agent on the worker's machine does when the process dies."""
        self._call_back(state="lost")


class WorkerServer:
    """The server on which one scheduler reaches a worker, and the call-backs to that scheduler."""

    def __init__(
        self, worker: WorkerModel, callback_address: tuple[str, int], work_of: Callable[[bytes], float],
    ) -> None:
        """Listen on a free port; ``work_of`` returns the seconds of work that a job's body stands for."""
        self.worker, self._callback_address, self._work_of = worker, callback_address, work_of
        self._limits = Limits(client_connections=400, client_idle=timedelta(seconds=15))
        self._server = HttpServer(self._limits, Clock(), self._handle)
        self._server.listen(0, HOST)
        sockets = list(self._server._sockets.values())
        self.port: int = sockets[0].getsockname()[1]
        self._idle_streams: list[IOStream] = []
        self._tasks: set[asyncio.Future[None]] = set()
        self.offered = 0

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Keep a reference to a call-back's task until it is done."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle(self, exchange: Exchange) -> None:
        method, target, _ = exchange.message.start_line
        if self.worker.state in (WorkerState.DOWN, WorkerState.DISCONNECTED):
            return  # no answer; the connection stays open
        if method == "GET":
            exchange.respond(200 if target == "/alive" else 404)
        elif method == "DELETE":
            self.worker.cancel(target.rpartition("/")[2])
            exchange.respond(200)
        else:
            identity = exchange.message.headers.get("x-trace-id", "")
            self.offered += 1
            accepted = self.worker.offer(HttpTicket(self, identity, self._work_of(exchange.message.body)))
            if accepted:
                exchange.respond(202)
            else:
                exchange.respond(503, b"", {"X-Never-Ran": "1"})

    async def call_back(self, event: dict[str, Any]) -> None:
        """Send one call-back; retry until it is answered, up to ``CALLBACK_ATTEMPTS`` times."""
        body = json.dumps(event).encode()
        for attempt in range(CALLBACK_ATTEMPTS):
            stream = self._idle_streams.pop() if self._idle_streams else None
            try:
                if stream is None or not streams.alive(stream):
                    stream = await streams.connect(*self._callback_address, self._limits)
                await stream.write(http.request("POST", "/v1/job-events", "scheduler", {}, body))
                message = await streams.within(timedelta(seconds=2), read_response(stream, self._limits))
            except (StreamClosedError, TimeoutError, http.HttpError):
                if stream:
                    stream.close()
                await asyncio.sleep(0.02 * (attempt + 1))
                continue
            if message.keep:
                self._idle_streams.append(stream)
            else:
                stream.close()
            if message.status in (200, 204):
                return

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()
        for stream in self._idle_streams:
            stream.close()
        for connection in list(self._server.connections):
            connection.reject(503, "ending")
        self._server._sweeper.stop()


class HttpFleet:
    """Workers with the platform's protocol, for any number of schedulers."""

    def __init__(
        self, fleet: list[WorkerSpec], seed: int, checker: RuleChecker,
        work_of: Callable[[bytes], float], *, noise: float = 0.2,
    ) -> None:
        """Create the models; ``open_for`` opens their ports to a scheduler."""
        self.time = LoopTime()
        self._work_of = work_of
        self.models = [
            WorkerModel(spec, self.time, Random(f"worker {seed} {spec.number}"), noise=noise,
                        on_cold_crash=lambda w: checker.cold_worker_crashed(w.spec.name),
                        on_job_start=lambda w, identity: checker.job_started(identity, w.spec.name))
            for spec in fleet]
        self._servers: list[WorkerServer] = []

    def open_for(self, callback_address: tuple[str, int]) -> dict[str, int]:
        """Open each worker to the scheduler that listens at ``callback_address``; return ports by name."""
        servers = [WorkerServer(model, callback_address, self._work_of) for model in self.models]
        self._servers += servers
        return {s.worker.spec.name: s.port for s in servers}

    async def close(self) -> None:
        """Close all servers."""
        for server in self._servers:
            await server.close()


class _GearmanTicket:
    """A job assigned over one Gearman connection."""

    def __init__(self, connection: "_GearmanConnection", handle: bytes, identity: str, work_s: float) -> None:
        self._connection, self._handle, self.identity, self.work_s = connection, handle, identity, work_s

    def began(self) -> None:
        """Send the first status."""
        self._connection.send(Type.WORK_STATUS, self._handle, b"0", b"1000")

    def progressed(self, share: float) -> None:
        """Send the status in thousandths."""
        self._connection.send(Type.WORK_STATUS, self._handle, b"%d" % int(share * 1000), b"1000")

    def done(self) -> None:
        """Send the result."""
        self._connection.send(Type.WORK_COMPLETE, self._handle, b"posted " + self.identity.encode())
        self._connection.finish_job()

    def returned(self) -> None:
        """Report a failure: Gearman has no packet for a job that was not started."""
        self._connection.send(Type.WORK_FAIL, self._handle)
        self._connection.finish_job()

    def lost(self) -> None:
        """Close the connection, as the end of a process does."""
        self._connection.close()


class _GearmanConnection:
    """One of a worker's connections: it grabs a job, reports on it, and grabs the next."""

    def __init__(self, worker: "GearmanWorkerStandIn") -> None:
        self._worker = worker
        self._stream: IOStream
        self._parser, self._job_finished = Parser(Limits()), asyncio.Event()

    def send(self, packet_type: Type, *args: bytes) -> None:
        with suppress(StreamClosedError):
            self._stream.write(encode_packet(packet_type, *args, response=False)).add_done_callback(
                lambda f: f.cancelled() or f.exception())

    def finish_job(self) -> None:
        self._job_finished.set()

    def close(self) -> None:
        self._stream.close()
        self._job_finished.set()

    async def run(self, port: int) -> None:
        self._stream = await streams.connect(HOST, port, Limits())
        self.send(Type.SET_CLIENT_ID, self._worker.model.spec.name.encode())
        for function in self._worker.functions:
            self.send(Type.CAN_DO, function.encode())
        try:
            while True:
                self.send(Type.GRAB_JOB_UNIQ)
                packet = await self._read_packet(Type.JOB_ASSIGN_UNIQ, Type.NO_JOB)
                if packet.type == Type.NO_JOB:
                    self.send(Type.PRE_SLEEP)
                    await self._read_packet(Type.NOOP)
                    continue
                handle, _, unique, workload = packet.args
                identity = unique.decode("latin-1") or handle.decode("latin-1")
                self._job_finished.clear()
                ticket = _GearmanTicket(self, handle, identity, self._worker.work_of(workload))
                if not self._worker.model.offer(ticket):
                    ticket.returned()
                await self._job_finished.wait()
        except StreamClosedError:
            pass

    async def _read_packet(self, *types: Type) -> Packet:
        while True:
            while (item := self._parser.next()) is None:
                self._parser.feed(await self._stream.read_bytes(65536, partial=True))
            if isinstance(item, Packet) and item.type in types:
                return item


class GearmanWorkerStandIn:
    """A worker that connects to one scheduler, with a connection for each of its cores."""

    def __init__(
        self, model: WorkerModel, functions: tuple[str, ...], work_of: Callable[[bytes], float],
    ) -> None:
        """Serve these functions; ``work_of`` returns the seconds of work that a workload stands for."""
        self.model, self.functions, self.work_of = model, functions, work_of
        self._tasks: list[asyncio.Task[None]] = []

    def connect(self, port: int) -> None:
        """Open a connection for each core."""
        for _ in range(self.model.spec.cores):
            self._tasks.append(asyncio.ensure_future(_GearmanConnection(self).run(port)))

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def sped_up(fleet: list[WorkerSpec], factor: float) -> list[WorkerSpec]:
    """Return the same fleet, ``factor`` times as fast, to keep tests short."""
    return [replace(w, speed=w.speed * factor) for w in fleet]
