"""A simulated discovery service with a rate limit, overload, outages, silent watches and malformed lists.

Each scheduler has a port of its own, so that records and faults can be told apart by scheduler.
"""

import asyncio
import json
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import numpy as np

from hazellead.lab.soak.records import Change, ListAnswer, Outage, Records, Silence
from hazellead.lab.soak.servers import HOST, Listener, ServerConnection
from hazellead.lab.soak.workers import Worker
from hazellead.net.http import Message, response

WATCH_CONTINUES_S = 0.2  # a call this soon after an answer on its connection is not rate limited
MAX_QUEUE_WAIT_S = 2.0  # for the rate limit
POLL_INTERVAL_S = 0.01
MIN_FAULT_WAIT_S = 0.5  # before a call that fails late
CUT_BYTES = 9  # missing at the end of a list that is cut short


class Overload(Enum):
    """How a call is refused that would wait too long for the rate limit."""

    REFUSED_AT_ONCE = "refused at once"
    REFUSED_AFTER_WAIT = "refused after a wait"


class OutageKind(Enum):
    """How discovery fails in an outage."""

    ALL_REFUSED = "all refused"  # waiting watches get 503 at once, other calls after the longest wait
    NOT_LISTENING = "not listening"


class CallFault(Enum):
    """How a call fails although discovery can be reached."""

    REFUSED_AT_ONCE = "503 at once"
    REFUSED_LATE = "503 after a wait"
    RESET_LATE = "reset after a wait"
    CUT_SHORT = "answer cut short"


@dataclass(frozen=True)
class FailingCalls:
    """Makes a share of the calls fail, as a faulty proxy in front of discovery does."""

    share: float
    rng: np.random.Generator

    def draw(self) -> CallFault | None:
        """Return how the next call fails; None if it does not."""
        if self.rng.random() >= self.share:
            return None
        return list(CallFault)[int(self.rng.integers(len(CallFault)))]

    def draw_wait(self) -> float:
        """Return after how many seconds a late failure comes."""
        return float(self.rng.uniform(MIN_FAULT_WAIT_S, MAX_QUEUE_WAIT_S))


class Discovery:
    """The list of workers, the faults of the service and an endpoint for each scheduler."""

    def __init__(self, records: Records) -> None:
        """Start with no workers and no fault."""
        self._records = records
        self.version = 1
        self.workers: dict[str, Worker] = {}
        self.states: dict[str, tuple[str, int]] = {}  # state and version of the last change
        self.calls_per_s, self.overload = 100.0, Overload.REFUSED_AT_ONCE
        self.outage: OutageKind | None = None
        self.malformed = False  # lists are cut off, so that they are not JSON
        self.failing_calls: FailingCalls | None = None
        self._next_call_at = 0.0
        self.endpoints: dict[str, DiscoveryEndpoint] = {}

    async def open_for(self, slot: str) -> int:
        """Listen for one scheduler and return the port."""
        endpoint = self.endpoints[slot] = DiscoveryEndpoint(self, slot)
        await endpoint.listener.listen()
        return endpoint.listener.port

    def add(self, worker: Worker) -> None:
        """Add a worker as up, without a new version."""
        self.workers[worker.name] = worker
        self.states[worker.name] = "up", self.version

    def set_state(self, worker: str, state: str) -> None:
        """Change the state of one worker and record the change."""
        self.version += 1
        self.states[worker] = state, self.version
        self._records.changes.append(Change(self.version, _now(), worker, state))

    def silence_watches(self) -> None:
        """Leave every open watch without an answer from now on."""
        for endpoint in self.endpoints.values():
            endpoint.silence()

    def begin_outage(self, kind: OutageKind) -> None:
        """Begin an outage and record it."""
        self.outage = kind
        self._records.outages.append(Outage(_now()))
        if kind is OutageKind.NOT_LISTENING:
            for endpoint in self.endpoints.values():
                endpoint.listener.abort()

    async def end_outage(self) -> None:
        """End the outage and record its end."""
        if self.outage is OutageKind.NOT_LISTENING:
            for endpoint in self.endpoints.values():
                await endpoint.listener.listen()
        self.outage = None
        self._next_call_at = _now()
        self._records.outages[-1].end = _now()

    async def admit_call(self) -> bool:
        """Wait until the rate limit admits a call; return False if the call is refused."""
        called_at = _now()
        while not self.outage:
            at = max(_now(), self._next_call_at) + 1 / self.calls_per_s
            if at <= called_at + MAX_QUEUE_WAIT_S:
                self._next_call_at = at
                await asyncio.sleep(at - _now())
                return not self.outage
            if self.overload is Overload.REFUSED_AT_ONCE:
                return False
            await asyncio.sleep(called_at + MAX_QUEUE_WAIT_S - _now())
            return False
        await self._wait_for_outage_end(called_at + MAX_QUEUE_WAIT_S)
        return not self.outage and _now() < called_at + MAX_QUEUE_WAIT_S

    async def _wait_for_outage_end(self, until: float) -> None:
        """Wait until the outage ends, at most until ``until``."""
        while self.outage and _now() < until:
            await asyncio.sleep(POLL_INTERVAL_S)

    def encode_list(self, index: int | None) -> bytes:
        """Return the workers that changed after version ``index`` as JSON; None: all that are listed."""
        targets = []
        for name, (state, version) in self.states.items():
            if (state != "removed") if index is None else version > index:
                worker = self.workers[name]
                targets.append({
                    "uid": name, "endpoint": f"{HOST}:{worker.listener.port}", "az": "a", "model": "m1",
                    "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": worker.boot_ms})
        return json.dumps({"rev": self.version, "all": index is None, "targets": targets}).encode()


class DiscoveryEndpoint:
    """Discovery's HTTP endpoint for one scheduler."""

    def __init__(self, discovery: Discovery, slot: str) -> None:
        """Create it without a port; ``slot`` is the scheduler's name."""
        self._discovery, self._slot = discovery, slot
        self.listener = Listener(self._handle)
        self._answered_at: dict[ServerConnection, float] = {}  # time of the last answer
        self._silenced: set[ServerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def silence(self) -> None:
        """Stop answering on the open connections that have had an answer, and record it."""
        watches = {connection for connection in self._answered_at if connection.open} - self._silenced
        self._silenced |= watches
        if watches:
            self._discovery._records.silences.append(Silence(self._slot, _now()))

    def _handle(self, connection: ServerConnection, message: Message) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(connection, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: ServerConnection, message: Message) -> None:
        if connection in self._silenced:
            return
        query = parse_qs(urlsplit(message.start_line[1]).query)
        index = int(query["index"][0]) if "index" in query else None
        failing_calls = self._discovery.failing_calls
        if failing_calls and (fault := failing_calls.draw()):
            await self._fail(connection, fault, failing_calls.draw_wait(), index)
            return
        wait = int(query.get("wait", ["0"])[0]) / 1000
        continues = _now() - self._answered_at.get(connection, -1.0) <= WATCH_CONTINUES_S
        if not continues and not await self._discovery.admit_call():
            connection.answer(503)
            return
        if not await self._wait_for_change(connection, index, _now() + wait):
            return
        if connection.open and self._discovery.malformed:
            self._answered_at[connection] = _now()
            connection.answer(200, self._discovery.encode_list(index)[:-CUT_BYTES])
        elif connection.open:
            self._discovery._records.told.append(ListAnswer(_now(), self._slot, self._discovery.version))
            self._answered_at[connection] = _now()
            connection.answer(200, self._discovery.encode_list(index))

    async def _fail(
        self, connection: ServerConnection, fault: CallFault, wait: float, index: int | None,
    ) -> None:
        """End a call by a fault; ``wait`` is for those that come late."""
        match fault:
            case CallFault.REFUSED_AT_ONCE:
                connection.answer(503)
            case CallFault.REFUSED_LATE:
                await asyncio.sleep(wait)
                connection.answer(503)
            case CallFault.RESET_LATE:
                await asyncio.sleep(wait)
                connection.transport.abort()
            case CallFault.CUT_SHORT:
                whole = response(200, self._discovery.encode_list(index))
                connection.transport.write(whole[:-CUT_BYTES])
                connection.transport.close()

    async def _wait_for_change(self, connection: ServerConnection, index: int | None, until: float) -> bool:
        """Wait until the list is newer than ``index``, at most until ``until``.

        Return whether the call is to be answered with a list; in an outage it is answered with 503 here.
        """
        while index is not None and self._discovery.version <= index and _now() < until:
            if connection in self._silenced or not connection.open:
                return False
            if self._discovery.outage:
                connection.answer(503)
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        if self._discovery.outage:
            connection.answer(503)
            return False
        return connection not in self._silenced

    def close(self) -> None:
        """Stop listening, reset all connections and cancel the calls in progress."""
        self.listener.abort()
        for task in self._tasks:
            task.cancel()


def _now() -> float:
    return asyncio.get_running_loop().time()
