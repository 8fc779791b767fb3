"""Hollow discovery: the platform's list with a watch for every scheduler, each told its own endpoints."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from hazellead.lab.capacity.hollow_counts import Counts, Door, Speaker
from hazellead.net import http

MOST_WAIT_MS = 60_000
NOWHERE = "127.0.0.1:9"  # of a worker that is only listed


@dataclass(slots=True)
class Entry:
    """One worker in the list."""

    uid: str
    az: str
    model: str
    pod_group: int
    state: str
    rev: int  # of its last change


class _Call(Speaker):
    """A scheduler's connection."""

    def __init__(self, desk: "Desk") -> None:
        super().__init__(responses=False)
        self._desk = desk

    def took(self, message: http.Message, size: int) -> None:
        """Answer at once, or once there is something newer."""
        self._desk.asked(self, message, size)

    def connection_lost(self, reason: Exception | None) -> None:
        """Leave."""
        self._desk.left(self)


class Desk:
    """Where one scheduler asks."""

    def __init__(self, discovery: "Discovery", scheduler: str, host: str) -> None:
        """Listen on a free port."""
        self._discovery, self.scheduler = discovery, scheduler
        self.endpoints: dict[str, str] = {}
        self.door = Door(host, lambda: _Call(self))
        self._waiting: dict[_Call, tuple[int, asyncio.TimerHandle]] = {}

    def asked(self, call: _Call, message: http.Message, size: int) -> None:
        """Take one call in."""
        self._discovery.counts.note(self.scheduler, "watch", inward=False, size=size)
        url = urlsplit(message.start_line[1])
        query = parse_qs(url.query)
        if url.path != "/discovery/hosts":
            self._answer(call, 404, b"")
        elif "index" not in query:
            self._tell(call, None)
        else:
            index, wait = int(query["index"][0]), min(int(query["wait"][0]), MOST_WAIT_MS)
            if self._discovery.rev > index:
                self._tell(call, index)
            else:
                timer = asyncio.get_running_loop().call_later(wait / 1000, self._tell, call, index)
                self._waiting[call] = index, timer

    def changed(self) -> None:
        """Tell all that wait."""
        if not self.door.cut:
            for call, (index, _) in list(self._waiting.items()):
                self._tell(call, index)

    def left(self, call: _Call) -> None:
        """Note that a connection has ended."""
        self.door.forget(call.transport)
        if waiting := self._waiting.pop(call, None):
            waiting[1].cancel()

    def _tell(self, call: _Call, index: int | None) -> None:
        if waiting := self._waiting.pop(call, None):
            waiting[1].cancel()
        if self.door.cut:
            return
        self._answer(call, 200, self._discovery.body(index, self.endpoints))

    def _answer(self, call: _Call, status: int, body: bytes) -> None:
        data = http.response(status, body)
        self._discovery.counts.note(self.scheduler, "watch", inward=True, size=len(data), body=len(body))
        if not call.transport.is_closing():
            call.transport.write(data)


class Discovery:
    """The list and its watches."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.rev, self.counts = 1, Counts()
        self.entries: dict[str, Entry] = {}
        self.desks: dict[str, Desk] = {}

    def open_for(self, scheduler: str, host: str) -> int:
        """Give one scheduler a port of its own."""
        self.desks[scheduler] = Desk(self, scheduler, host)
        return self.desks[scheduler].door.port

    def set(self, entries: Iterable[tuple[str, str, str, int, str]]) -> int:
        """Set entries (name, zone, model, group, state) in one step and tell them; return the version."""
        self.rev += 1
        for uid, az, model, group, state in entries:
            self.entries[uid] = Entry(uid, az, model, group, state, self.rev)
        for desk in self.desks.values():
            desk.changed()
        return self.rev

    def turn(self, uids: Iterable[str], state: str) -> int:
        """Change the state of some."""
        return self.set([(e.uid, e.az, e.model, e.pod_group, state)
                         for e in [self.entries[uid] for uid in uids]])

    def body(self, index: int | None, endpoints: dict[str, str]) -> bytes:
        """Write what is newer than a version, or the whole list."""
        told: list[dict[str, Any]] = []
        for e in self.entries.values():
            if (e.state != "removed") if index is None else e.rev > index:
                told.append({
                    "uid": e.uid, "endpoint": endpoints.get(e.uid, NOWHERE), "az": e.az, "model": e.model,
                    "pod_group": e.pod_group, "state": e.state, "capacity_hint": 1.0, "boot_ms": 0})
        return json.dumps(
            {"rev": self.rev, "all": index is None, "targets": told}, separators=(",", ":")).encode()

    def close(self) -> None:
        """End it."""
        for desk in self.desks.values():
            desk.door.close()
