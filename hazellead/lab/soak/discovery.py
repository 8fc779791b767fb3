"""A stand-in discovery with turns, crowds, outages and silent watches, and an address for each scheduler."""

import asyncio
import json
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from hazellead.lab.soak.records import Change, Outage, Records, Silence, Told
from hazellead.lab.soak.servers import HOST, Place, ServerConnection
from hazellead.lab.soak.workers import Worker
from hazellead.net.http import Message

CONTINUES_S = 0.2  # a watch goes on if it is asked again so soon after its answer
LONGEST_TURN_S = 2.0
LOOK_S = 0.01


class Crowd(Enum):
    """What becomes of a call that would wait too long for its turn."""

    REFUSED_AT_ONCE = "refused at once"
    REFUSED_AFTER_WAIT = "refused after a wait"


class Down(Enum):
    """How discovery is out of reach."""

    NO_TURN = "no turn"  # watches end with 503, other calls after the longest wait
    NOBODY_LISTENS = "nobody listens"


class Discovery:
    """The list of servers and who asks for it."""

    def __init__(self, records: Records) -> None:
        """Start with no servers and room for all."""
        self._records = records
        self.version = 1
        self.workers: dict[str, Worker] = {}
        self.states: dict[str, tuple[str, int]] = {}  # state and version of the last change
        self.calls_per_s, self.crowd = 100.0, Crowd.REFUSED_AT_ONCE
        self.down: Down | None = None
        self.spoilt = False  # lists come cut, or as what is no list
        self._turn_free = 0.0
        self.doors: dict[str, Door] = {}

    async def open_for(self, slot: str) -> int:
        """Listen for one scheduler; return the port."""
        door = self.doors[slot] = Door(self, slot)
        await door.place.listen()
        return door.place.port

    def add(self, worker: Worker) -> None:
        """List a worker from the beginning."""
        self.workers[worker.name] = worker
        self.states[worker.name] = "up", self.version

    def change(self, worker: str, state: str) -> None:
        """Change the state of one worker."""
        self.version += 1
        self.states[worker] = state, self.version
        self._records.changes.append(Change(self.version, _now(), worker, state))

    def silence_watches(self) -> None:
        """Let every open watch fall silent."""
        for door in self.doors.values():
            door.fall_silent()

    def go_down(self, how: Down) -> None:
        """Be out of reach."""
        self.down = how
        self._records.outages.append(Outage(_now()))
        if how is Down.NOBODY_LISTENS:
            for door in self.doors.values():
                door.place.vanish()

    async def come_back(self) -> None:
        """Be in reach again."""
        if self.down is Down.NOBODY_LISTENS:
            for door in self.doors.values():
                await door.place.listen()
        self.down = None
        self._turn_free = _now()
        self._records.outages[-1].end = _now()

    async def turn(self) -> bool:
        """Wait for a turn; say whether there was one."""
        began = _now()
        while not self.down:
            at = max(_now(), self._turn_free) + 1 / self.calls_per_s
            if at <= began + LONGEST_TURN_S:
                self._turn_free = at
                await asyncio.sleep(at - _now())
                return not self.down
            if self.crowd is Crowd.REFUSED_AT_ONCE:
                return False
            await asyncio.sleep(began + LONGEST_TURN_S - _now())
            return False
        await self._outage_or(began + LONGEST_TURN_S)
        return not self.down and _now() < began + LONGEST_TURN_S

    async def _outage_or(self, until: float) -> None:
        while self.down and _now() < until:
            await asyncio.sleep(LOOK_S)

    def answer(self, index: int | None) -> bytes:
        """Write what is newer than a version, or the whole list."""
        targets = []
        for name, (state, version) in self.states.items():
            if (state != "removed") if index is None else version > index:
                worker = self.workers[name]
                targets.append({
                    "uid": name, "endpoint": f"{HOST}:{worker.place.port}", "az": "a", "model": "m1",
                    "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": worker.boot_ms})
        return json.dumps({"rev": self.version, "all": index is None, "targets": targets}).encode()


class Door:
    """Where one scheduler asks."""

    def __init__(self, discovery: Discovery, slot: str) -> None:
        """Have no address yet."""
        self._discovery, self._slot = discovery, slot
        self.place = Place(self._take)
        self._answered: dict[ServerConnection, float] = {}  # when each was answered last
        self._silent: set[ServerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def fall_silent(self) -> None:
        """Answer nothing more on the connections that carry a watch."""
        watching = {line for line in self._answered if line.open} - self._silent
        self._silent |= watching
        if watching:
            self._discovery._records.silences.append(Silence(self._slot, _now()))

    def _take(self, line: ServerConnection, message: Message) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(line, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, line: ServerConnection, message: Message) -> None:
        if line in self._silent:
            return
        query = parse_qs(urlsplit(message.start_line[1]).query)
        index = int(query["index"][0]) if "index" in query else None
        wait = int(query.get("wait", ["0"])[0]) / 1000
        continues = _now() - self._answered.get(line, -1.0) <= CONTINUES_S
        if not continues and not await self._discovery.turn():
            line.answer(503)
            return
        if not await self._until_news(line, index, _now() + wait):
            return
        if line.open and self._discovery.spoilt:
            self._answered[line] = _now()
            line.answer(200, self._discovery.answer(index)[:-9])
        elif line.open:
            self._discovery._records.told.append(Told(_now(), self._slot, self._discovery.version))
            self._answered[line] = _now()
            line.answer(200, self._discovery.answer(index))

    async def _until_news(self, line: ServerConnection, index: int | None, until: float) -> bool:
        """Wait for something newer or that time; say whether the call is to be answered with a list."""
        while index is not None and self._discovery.version <= index and _now() < until:
            if line in self._silent or not line.open:
                return False
            if self._discovery.down:
                line.answer(503)
                return False
            await asyncio.sleep(LOOK_S)
        if self._discovery.down:
            line.answer(503)
            return False
        return line not in self._silent

    def close(self) -> None:
        """End it."""
        self.place.vanish()
        for task in self._tasks:
            task.cancel()


def _now() -> float:
    return asyncio.get_running_loop().time()
