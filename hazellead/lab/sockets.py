"""The worker model on real loopback sockets: in the platform's protocol, and as a Gearman worker.

Stand-ins bind to loopback only. A worker of the platform's protocol listens on a port of its own for each
scheduler, as it would be reached through each scheduler's own network, and calls back where that one listens.
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
from hazellead.lab.worker import Life, WorkerModel
from hazellead.limits import Limits
from hazellead.net import http, streams
from hazellead.net.client import read_response
from hazellead.net.server import Exchange, HttpServer

HOST = "127.0.0.1"
TRIES = 10  # of one call-back


class LoopTime:
    """Real time for the models: the loop's timers and the wall clock."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Use this clock."""
        self.clock = clock or Clock()

    def now_us(self) -> int:
        """Return the present time in microseconds."""
        return self.clock.now_us()

    def after(self, us: float, call: Callable[..., Any], *args: Any) -> Timer:
        """Call back so many microseconds from now."""
        timer = Timer(call, args)

        def fire() -> None:
            if timer.call is not None:
                timer.call(*timer.args)

        asyncio.get_running_loop().call_later(max(0.0, us) / 1e6, fire)
        return timer


class CallsBack(Protocol):
    """Where call-backs of a worker to one scheduler leave."""

    worker: WorkerModel

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Hold a call-back until it is through."""

    async def call_back(self, event: dict[str, Any]) -> None:
        """Make one call."""


class HttpTicket:
    """One job and the call-backs that tell of it, in order."""

    def __init__(self, door: CallsBack, identity: str, work_s: float) -> None:
        """Call back through this door."""
        self._door, self.identity, self.work_s = door, identity, work_s
        self._last: asyncio.Future[None] | None = None

    def _tell(self, **event: Any) -> None:
        before = self._last
        self._last = asyncio.ensure_future(self._after(before, event))
        self._door.keep(self._last)

    async def _after(self, before: "asyncio.Future[None] | None", event: dict[str, Any]) -> None:
        if before:
            await before
        await self._door.call_back({"id": self.identity, "from": self._door.worker.spec.name, **event})

    def began(self) -> None:
        """Call back."""
        self._tell(state="started")

    def progressed(self, share: float) -> None:
        """Call back."""
        self._tell(state="running", share=share)

    def done(self) -> None:
        """Call back."""
        self._tell(state="done", result=f"posted {self.identity}")

    def returned(self) -> None:
        """Call back."""
        self._tell(state="returned")

    def lost(self) -> None:
        """Call back: the machine's agent saw the process die."""
        self._tell(state="lost")


class Door:
    """Where one scheduler reaches a worker, and where that worker calls back."""

    def __init__(self, worker: WorkerModel, back: tuple[str, int], work_of: Callable[[bytes], float]) -> None:
        """Listen on a free port."""
        self.worker, self._back, self._work_of = worker, back, work_of
        self._limits = Limits(client_connections=400, client_idle=timedelta(seconds=15))
        self._server = HttpServer(self._limits, Clock(), self._handle)
        self._server.listen(0, HOST)
        sockets = list(self._server._sockets.values())
        self.port: int = sockets[0].getsockname()[1]
        self._idle: list[IOStream] = []
        self._tasks: set[asyncio.Future[None]] = set()
        self.offered = 0

    def keep(self, task: "asyncio.Future[None]") -> None:
        """Hold a call-back until it is through."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle(self, exchange: Exchange) -> None:
        method, target, _ = exchange.message.start_line
        if self.worker.life in (Life.DOWN, Life.SILENT):
            return  # no answer; the connection stays open and quiet
        if method == "GET":
            exchange.respond(200 if target == "/alive" else 404)
        elif method == "DELETE":
            self.worker.cancel(target.rpartition("/")[2])
            exchange.respond(200)
        else:
            identity = exchange.message.headers.get("x-trace-id", "")
            self.offered += 1
            taken = self.worker.offer(HttpTicket(self, identity, self._work_of(exchange.message.body)))
            if taken:
                exchange.respond(202)
            else:
                exchange.respond(503, b"", {"X-Never-Ran": "1"})

    async def call_back(self, event: dict[str, Any]) -> None:
        """Make one call, again until it is answered, ten times at most."""
        body = json.dumps(event).encode()
        for attempt in range(TRIES):
            stream = self._idle.pop() if self._idle else None
            try:
                if stream is None or not streams.alive(stream):
                    stream = await streams.connect(*self._back, self._limits)
                await stream.write(http.request("POST", "/v1/job-events", "scheduler", {}, body))
                message = await streams.within(timedelta(seconds=2), read_response(stream, self._limits))
            except (StreamClosedError, TimeoutError, http.HttpError):
                if stream:
                    stream.close()
                await asyncio.sleep(0.02 * (attempt + 1))
                continue
            if message.keep:
                self._idle.append(stream)
            else:
                stream.close()
            if message.status in (200, 204):
                return

    async def close(self) -> None:
        """End it."""
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()
        for stream in self._idle:
            stream.close()
        for connection in list(self._server.connections):
            connection.reject(503, "ending")
        self._server._sweeper.stop()


class HttpFleet:
    """Workers of the platform's protocol before any number of schedulers."""

    def __init__(
        self, fleet: list[WorkerSpec], seed: int, checker: RuleChecker,
        work_of: Callable[[bytes], float], *, noise: float = 0.2,
    ) -> None:
        """Start the models; ``open_for`` lets schedulers reach them."""
        self.time = LoopTime()
        self._work_of = work_of
        self.models = [
            WorkerModel(spec, self.time, Random(f"worker {seed} {spec.number}"), noise=noise,
                        fell=lambda w: checker.fell(w.spec.name),
                        ran=lambda w, identity: checker.ran(identity, w.spec.name))
            for spec in fleet]
        self._doors: list[Door] = []

    def open_for(self, back: tuple[str, int]) -> dict[str, int]:
        """Give one scheduler, which listens at ``back``, a port for each worker, by name."""
        doors = [Door(model, back, self._work_of) for model in self.models]
        self._doors += doors
        return {d.worker.spec.name: d.port for d in doors}

    async def close(self) -> None:
        """End all."""
        for door in self._doors:
            await door.close()


class _GearmanTicket:
    """A job assigned over one Gearman connection."""

    def __init__(self, line: "_GearmanLine", handle: bytes, identity: str, work_s: float) -> None:
        self._line, self._handle, self.identity, self.work_s = line, handle, identity, work_s

    def began(self) -> None:
        """Report."""
        self._line.send(Type.WORK_STATUS, self._handle, b"0", b"1000")

    def progressed(self, share: float) -> None:
        """Report."""
        self._line.send(Type.WORK_STATUS, self._handle, b"%d" % int(share * 1000), b"1000")

    def done(self) -> None:
        """Report."""
        self._line.send(Type.WORK_COMPLETE, self._handle, b"posted " + self.identity.encode())
        self._line.free()

    def returned(self) -> None:
        """Report a failure: Gearman has no word for a job handed back."""
        self._line.send(Type.WORK_FAIL, self._handle)
        self._line.free()

    def lost(self) -> None:
        """Drop the connection, as a process that dies does."""
        self._line.drop()


class _GearmanLine:
    """One of a worker's connections: it asks, works, reports, and asks again."""

    def __init__(self, worker: "GearmanWorkerStandIn") -> None:
        self._worker = worker
        self._stream: IOStream
        self._parser, self._busy = Parser(Limits()), asyncio.Event()

    def send(self, kind: Type, *args: bytes) -> None:
        with suppress(StreamClosedError):
            self._stream.write(encode_packet(kind, *args, response=False)).add_done_callback(
                lambda f: f.cancelled() or f.exception())

    def free(self) -> None:
        self._busy.set()

    def drop(self) -> None:
        self._stream.close()
        self._busy.set()

    async def run(self, port: int) -> None:
        self._stream = await streams.connect(HOST, port, Limits())
        self.send(Type.SET_CLIENT_ID, self._worker.model.spec.name.encode())
        for function in self._worker.functions:
            self.send(Type.CAN_DO, function.encode())
        try:
            while True:
                self.send(Type.GRAB_JOB_UNIQ)
                packet = await self._packet(Type.JOB_ASSIGN_UNIQ, Type.NO_JOB)
                if packet.type == Type.NO_JOB:
                    self.send(Type.PRE_SLEEP)
                    await self._packet(Type.NOOP)
                    continue
                handle, _, unique, workload = packet.args
                identity = unique.decode("latin-1") or handle.decode("latin-1")
                self._busy.clear()
                ticket = _GearmanTicket(self, handle, identity, self._worker.work_of(workload))
                if not self._worker.model.offer(ticket):
                    ticket.returned()
                await self._busy.wait()
        except StreamClosedError:
            pass

    async def _packet(self, *kinds: Type) -> Packet:
        while True:
            while (item := self._parser.next()) is None:
                self._parser.feed(await self._stream.read_bytes(65536, partial=True))
            if isinstance(item, Packet) and item.type in kinds:
                return item


class GearmanWorkerStandIn:
    """A worker that connects to one scheduler, with a connection for each of its cores."""

    def __init__(
        self, model: WorkerModel, functions: tuple[str, ...], work_of: Callable[[bytes], float],
    ) -> None:
        """Serve these functions."""
        self.model, self.functions, self.work_of = model, functions, work_of
        self._tasks: list[asyncio.Task[None]] = []

    def connect(self, port: int) -> None:
        """Connect as often as it has cores."""
        for _ in range(self.model.spec.cores):
            self._tasks.append(asyncio.ensure_future(_GearmanLine(self).run(port)))

    async def close(self) -> None:
        """End its connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def quick(fleet: list[WorkerSpec], factor: float) -> list[WorkerSpec]:
    """Return the same fleet, so many times as fast, for tests that must not take long."""
    return [replace(w, speed=w.speed * factor) for w in fleet]
