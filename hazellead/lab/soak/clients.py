"""Simulated clients with persistent connections, their load balancer, and crowds of idle clients."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

import numpy as np

from hazellead.lab.soak.plan import CLASSES
from hazellead.lab.soak.processes import TENANTS, get_status
from hazellead.lab.soak.records import Answer, Records, Request
from hazellead.lab.soak.servers import HOST
from hazellead.limits import Limits
from hazellead.net import http

READINESS_POLL_S = 0.1
ANSWER_WAIT_S = 2.0  # how long a client waits for an answer after the deadline
RECONNECT_PAUSE_S = 0.05
MAX_RETRY_AFTER_S = 0.5  # a longer Retry-After is cut to this
SPLIT_PORTION = 0.4  # portion of the requests that are written in pieces
SLOW_PORTION = 0.2  # portion of the requests in pieces that have long pauses between them
SHORT_DEADLINE_PORTION = 0.2  # portion of the requests with less time than their class has, as retries have


class LoadBalancer:
    """Polls the schedulers' ``/up`` and knows which of them accept clients."""

    def __init__(self, ports: dict[str, int]) -> None:
        """Start with no scheduler ready; ``ports`` has the schedulers' ports by name."""
        self.ports = ports
        self.ready: set[str] = set()

    async def run(self) -> None:
        """Poll all schedulers until the task is cancelled."""
        while True:
            answers = await asyncio.gather(*(get_status(port, "/up") for port in self.ports.values()))
            self.ready = {name for name, status in zip(self.ports, answers, strict=True) if status == 200}
            await asyncio.sleep(READINESS_POLL_S)


class ClientConnection(asyncio.Protocol):
    """A client's connection; it records answers to its current request, or that it ended without one."""

    def __init__(self) -> None:
        """Start without a request."""
        self._parser = http.Parser(Limits(), responses=True)
        self.transport: asyncio.Transport
        self.request: Request | None = None
        self.finished = asyncio.Event()  # the current request has its answer, or the connection has ended
        self.open, self.keep = True, True
        self.retry_after = 0.0
        self.request_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse and record answers; what is not HTTP aborts the connection."""
        self._parser.feed(data)
        try:
            while message := self._parser.next():
                self._record_answer(message)
        except http.HttpError:
            self.transport.abort()

    def _record_answer(self, message: http.Message) -> None:
        if self.request:
            self.request.answers.append(Answer(_now(), message.status, message.body.decode("latin-1")))
        self.keep = message.keep
        with suppress(ValueError):
            self.retry_after = float(message.headers.get("retry-after", "0"))
        self.finished.set()

    def eof_received(self) -> None:
        """Record the end; asyncio then closes the connection."""
        self._record_end()

    def connection_lost(self, reason: Exception | None) -> None:
        """Record the end."""
        self._record_end()

    def _record_end(self) -> None:
        if self.open and self.request and not self.request.answers and self.request.left is None:
            self.request.ended = _now()
        self.open = False
        self.finished.set()


@dataclass
class Traffic:
    """State that all clients of a run share."""

    load_balancer: LoadBalancer
    records: Records
    abandon_portion: float  # portion of the requests whose client disconnects before the answer
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    crowded: set[str] = field(default_factory=set)  # schedulers whose descriptors are used up by idle clients
    request_number: int = 0


class Client:
    """One client: it sends one request after another on a connection and reconnects when that ends."""

    def __init__(self, traffic: Traffic, rng: np.random.Generator, preferred: str) -> None:
        """Create a client that uses the scheduler ``preferred`` whenever that is ready."""
        self._traffic, self._rng, self._preferred = traffic, rng, preferred

    async def run(self) -> None:
        """Send requests until the traffic is stopped."""
        while not self._traffic.stopped.is_set():
            if connected := await self._connect():
                await self._use_connection(*connected)
            else:
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _connect(self) -> tuple[ClientConnection, str] | None:
        """Connect to a ready scheduler; return the connection and the scheduler's name, None on failure."""
        ready = self._traffic.load_balancer.ready
        slot = self._preferred if self._preferred in ready else next(iter(sorted(ready)), None)
        if slot is None:
            return None
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                _, connection = await asyncio.get_running_loop().create_connection(
                    ClientConnection, HOST, self._traffic.load_balancer.ports[slot])
            return connection, slot
        return None

    async def _use_connection(self, connection: ClientConnection, slot: str) -> None:
        """Send requests on a connection for as long as it is open and kept alive."""
        while connection.open and connection.keep and not self._traffic.stopped.is_set():
            await self._send_request(connection, slot)
            answered = connection.request is not None and connection.request.answers
            if not answered:
                break
            pause = min(connection.retry_after, MAX_RETRY_AFTER_S) + float(self._rng.exponential(0.1))
            await asyncio.sleep(pause)  # a second answer to the last request would be recorded meanwhile
            if not connection.keep and connection.open:
                await asyncio.sleep(RECONNECT_PAUSE_S)
        connection.transport.abort()

    async def _send_request(self, connection: ClientConnection, slot: str) -> None:
        """Send one request and wait for its answer; some clients disconnect before it comes."""
        rng, traffic = self._rng, self._traffic
        traffic.request_number += 1
        job_class = CLASSES[int(rng.integers(len(CLASSES)))]
        deadline = job_class.deadline * float(
            rng.uniform(0.3, 1.0) if rng.random() < SHORT_DEADLINE_PORTION else 1.0)
        work_s = float(rng.choice((0.02, 0.1, 0.4), p=(0.5, 0.4, 0.1)))
        identity = f"{slot}-{traffic.request_number}"
        data = http.request("POST", f"/{job_class.name}", "front", {
            "X-Trace-Id": identity, "X-Customer": TENANTS[int(rng.integers(2))],
            "X-Expires-In": f"{round(deadline * 1e6)}u", "Idempotency-Key": identity},
            f"{work_s} {'x' * int(rng.integers(900))}".encode())
        connection.finished.clear()
        connection.request = request = Request(
            identity, slot, job_class.effect.value, deadline, connection.request_count == 0,
            slot in traffic.crowded, _now())
        connection.request_count += 1
        if not connection.open or connection.transport.is_closing():
            return
        traffic.records.requests[identity] = request
        if not await self._write(connection, request, data):
            return
        leaves_after = float(rng.uniform(0.0, deadline)) if rng.random() < traffic.abandon_portion else None
        with suppress(TimeoutError):
            async with asyncio.timeout(
                    leaves_after if leaves_after is not None else deadline + ANSWER_WAIT_S):
                await connection.finished.wait()
        if leaves_after is not None and not request.answers and request.ended is None:
            request.left = _now()
            connection.transport.abort()

    async def _write(self, connection: ClientConnection, request: Request, data: bytes) -> bool:
        """Write a request, perhaps in pieces; return False if it is over before it was completely written."""
        rng = self._rng
        pieces = [data]
        if rng.random() < SPLIT_PORTION:
            cuts = sorted(int(cut) for cut in rng.integers(1, len(data), int(rng.integers(1, 4))))
            pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True) if a < b]
        max_pause_s = 0.5 if rng.random() < SLOW_PORTION else 0.03
        for n, piece in enumerate(pieces):
            if n:
                await asyncio.sleep(float(rng.uniform(0.0, max_pause_s)))
            if not connection.open or request.answers:
                return False
            connection.transport.write(piece)
        request.last_byte = _now()
        return True


class IdleCrowd:
    """Clients that connect and send nothing, and reconnect when their connection is closed."""

    def __init__(self, port: int, count: int) -> None:
        """Start with no connection."""
        self._port, self._count = port, count
        self._connections: list[ClientConnection] = []

    async def keep_open(self, seconds: float) -> None:
        """Keep the connections open for a time, then abort them."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self._connections = [connection for connection in self._connections if connection.open]
            for _ in range(self._count - len(self._connections)):
                with suppress(OSError):
                    _, connection = await loop.create_connection(ClientConnection, HOST, self._port)
                    self._connections.append(connection)
            await asyncio.sleep(RECONNECT_PAUSE_S)
        for connection in self._connections:
            connection.transport.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()
