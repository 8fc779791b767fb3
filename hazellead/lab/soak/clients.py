"""Clients that keep using their connections for as long as these stay open, and a front that spreads them."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

import numpy as np

from hazellead.lab.soak.plan import CLASSES
from hazellead.lab.soak.processes import TENANTS, ask
from hazellead.lab.soak.records import Answer, Records, Request
from hazellead.lab.soak.servers import HOST
from hazellead.limits import Limits
from hazellead.net import http

FRONT_LOOK_S = 0.1
PATIENCE_S = 2.0  # past its deadline, for which an answer is still waited for
PAUSE_S = 0.05  # before another try to connect
MOST_RETRY_AFTER_S = 0.5
IN_PIECES = 0.4  # part of the requests that are written in pieces
SLOWLY = 0.2  # part of those whose pieces are far apart
RETRIES = 0.2  # part of the requests with less time left than their class gives, as later tries have


class Front:
    """Knows which schedulers say that they take clients."""

    def __init__(self, ports: dict[str, int]) -> None:
        """Know none yet."""
        self.ports = ports
        self.up: set[str] = set()

    async def run(self) -> None:
        """Look at all again and again."""
        while True:
            answers = await asyncio.gather(*(ask(port, "/up") for port in self.ports.values()))
            self.up = {name for name, status in zip(self.ports, answers, strict=True) if status == 200}
            await asyncio.sleep(FRONT_LOOK_S)


class Line(asyncio.Protocol):
    """A client's connection."""

    def __init__(self) -> None:
        """Ask nothing yet."""
        self._parser = http.Parser(Limits(), responses=True)
        self.transport: asyncio.Transport
        self.request: Request | None = None
        self.over = asyncio.Event()  # the request has its answer, or the connection has ended
        self.open, self.keep = True, True
        self.retry_after = 0.0
        self.asked = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way out."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take answers in."""
        self._parser.feed(data)
        try:
            while message := self._parser.next():
                self._answered(message)
        except http.HttpError:
            self.transport.abort()

    def _answered(self, message: http.Message) -> None:
        if self.request:
            self.request.answers.append(Answer(_now(), message.status, message.body.decode("latin-1")))
        self.keep = message.keep
        with suppress(ValueError):
            self.retry_after = float(message.headers.get("retry-after", "0"))
        self.over.set()

    def eof_received(self) -> None:
        """Note the end; asyncio closes the connection then."""
        self._ended()

    def connection_lost(self, reason: Exception | None) -> None:
        """Note the end."""
        self._ended()

    def _ended(self) -> None:
        if self.open and self.request and not self.request.answers and self.request.left is None:
            self.request.ended = _now()
        self.open = False
        self.over.set()


@dataclass
class Traffic:
    """What all clients of a run share."""

    front: Front
    records: Records
    leaves: float  # part of the requests whose client leaves
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    crowded: set[str] = field(default_factory=set)  # schedulers whose descriptors idle clients fill
    count: int = 0


class Client:
    """One client: it has a connection, asks, waits for the answer and asks again."""

    def __init__(self, traffic: Traffic, rng: np.random.Generator, home: str) -> None:
        """Prefer one scheduler."""
        self._traffic, self._rng, self._home = traffic, rng, home

    async def run(self) -> None:
        """Go on until the traffic is stopped."""
        while not self._traffic.stopped.is_set():
            if found := await self._connect():
                await self._use(*found)
            else:
                await asyncio.sleep(PAUSE_S)

    async def _connect(self) -> tuple[Line, str] | None:
        """Open a connection to a scheduler that takes clients."""
        up = self._traffic.front.up
        slot = self._home if self._home in up else next(iter(sorted(up)), None)
        if slot is None:
            return None
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                _, line = await asyncio.get_running_loop().create_connection(
                    Line, HOST, self._traffic.front.ports[slot])
            return line, slot
        return None

    async def _use(self, line: Line, slot: str) -> None:
        """Ask on a connection for as long as it is open."""
        while line.open and line.keep and not self._traffic.stopped.is_set():
            await self._ask(line, slot)
            answered = line.request is not None and line.request.answers
            if not answered:
                break
            pause = min(line.retry_after, MOST_RETRY_AFTER_S) + float(self._rng.exponential(0.1))
            await asyncio.sleep(pause)  # a second answer to the last request would be noted meanwhile
            if not line.keep and line.open:
                await asyncio.sleep(PAUSE_S)
        line.transport.abort()

    async def _ask(self, line: Line, slot: str) -> None:
        """Send one request and wait for its answer."""
        rng, traffic = self._rng, self._traffic
        traffic.count += 1
        kind = CLASSES[int(rng.integers(len(CLASSES)))]
        deadline = kind.deadline * float(rng.uniform(0.3, 1.0) if rng.random() < RETRIES else 1.0)
        work = float(rng.choice((0.02, 0.1, 0.4), p=(0.5, 0.4, 0.1)))
        identity = f"{slot}-{traffic.count}"
        data = http.request("POST", f"/{kind.name}", "front", {
            "X-Trace-Id": identity, "X-Customer": TENANTS[int(rng.integers(2))],
            "X-Expires-In": f"{round(deadline * 1e6)}u", "Idempotency-Key": identity},
            f"{work} {'x' * int(rng.integers(900))}".encode())
        line.over.clear()
        line.request = request = Request(
            identity, slot, kind.effect.value, deadline, line.asked == 0, slot in traffic.crowded, _now())
        line.asked += 1
        if not line.open or line.transport.is_closing():
            return
        traffic.records.requests[identity] = request
        if not await self._write(line, request, data):
            return
        leaving = float(rng.uniform(0.0, deadline)) if rng.random() < traffic.leaves else None
        with suppress(TimeoutError):
            async with asyncio.timeout(leaving if leaving is not None else deadline + PATIENCE_S):
                await line.over.wait()
        if leaving is not None and not request.answers and request.ended is None:
            request.left = _now()
            line.transport.abort()

    async def _write(self, line: Line, request: Request, data: bytes) -> bool:
        """Write a request, perhaps in pieces; say whether all of it went out."""
        rng = self._rng
        pieces = [data]
        if rng.random() < IN_PIECES:
            cuts = sorted(int(cut) for cut in rng.integers(1, len(data), int(rng.integers(1, 4))))
            pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True) if a < b]
        longest = 0.5 if rng.random() < SLOWLY else 0.03
        for n, piece in enumerate(pieces):
            if n:
                await asyncio.sleep(float(rng.uniform(0.0, longest)))
            if not line.open or request.answers:
                return False
            line.transport.write(piece)
        request.last_byte = _now()
        return True


class IdleCrowd:
    """Clients that connect and say nothing, again when they are ended."""

    def __init__(self, port: int, count: int) -> None:
        """Hold none yet."""
        self._port, self._count = port, count
        self._lines: list[Line] = []

    async def hold(self, seconds: float) -> None:
        """Keep so many connections open for a while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self._lines = [line for line in self._lines if line.open]
            for _ in range(self._count - len(self._lines)):
                with suppress(OSError):
                    _, line = await loop.create_connection(Line, HOST, self._port)
                    self._lines.append(line)
            await asyncio.sleep(PAUSE_S)
        for line in self._lines:
            line.transport.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()
