"""Hollow discovery: the platform's worker list with a watch per scheduler, each with its own endpoints."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from hazellead.lab.capacity.hollow_counts import Counts, HttpConnection, Listener
from hazellead.net import http

MAX_WAIT_MS = 60_000
UNREACHABLE_ENDPOINT = "127.0.0.1:9"  # of a listed worker that no process serves


@dataclass(slots=True)
class Entry:
    """One worker in the list."""

    uid: str
    az: str
    model: str
    pod_group: int
    state: str
    rev: int  # the list's revision at the entry's last change


class _WatchConnection(HttpConnection):
    """A scheduler's connection to discovery."""

    def __init__(self, watch_server: "WatchServer") -> None:
        super().__init__(responses=False)
        self._watch_server = watch_server

    def message_received(self, message: http.Message, size: int) -> None:
        """Answer at once, or when the list changes."""
        self._watch_server.handle_request(self, message, size)

    def connection_lost(self, reason: Exception | None) -> None:
        """Remove the connection."""
        self._watch_server.connection_closed(self)


class WatchServer:
    """The port on which one scheduler fetches and watches the list."""

    def __init__(self, discovery: "Discovery", scheduler: str, host: str) -> None:
        """Listen on a free port."""
        self._discovery, self.scheduler = discovery, scheduler
        self.endpoints: dict[str, str] = {}
        self.listener = Listener(host, lambda: _WatchConnection(self))
        self._waiting: dict[_WatchConnection, tuple[int, asyncio.TimerHandle]] = {}

    def handle_request(self, connection: _WatchConnection, message: http.Message, size: int) -> None:
        """Respond with the list, or hold the request until the list changes or the wait is over."""
        self._discovery.counts.note(self.scheduler, "watch", inward=False, size=size)
        url = urlsplit(message.start_line[1])
        query = parse_qs(url.query)
        if url.path != "/discovery/hosts":
            self._respond(connection, 404, b"")
        elif "index" not in query:
            self._send_list(connection, None)
        else:
            index, wait = int(query["index"][0]), min(int(query["wait"][0]), MAX_WAIT_MS)
            if self._discovery.rev > index:
                self._send_list(connection, index)
            else:
                timer = asyncio.get_running_loop().call_later(wait / 1000, self._send_list, connection, index)
                self._waiting[connection] = index, timer

    def notify_waiting(self) -> None:
        """Answer all waiting requests, unless the listener is cut off."""
        if not self.listener.cut:
            for connection, (index, _) in list(self._waiting.items()):
                self._send_list(connection, index)

    def connection_closed(self, connection: _WatchConnection) -> None:
        """Remove a closed connection and its waiting request."""
        self.listener.forget(connection.transport)
        if pending := self._waiting.pop(connection, None):
            pending[1].cancel()

    def _send_list(self, connection: _WatchConnection, index: int | None) -> None:
        if pending := self._waiting.pop(connection, None):
            pending[1].cancel()
        if self.listener.cut:
            return
        self._respond(connection, 200, self._discovery.list_json(index, self.endpoints))

    def _respond(self, connection: _WatchConnection, status: int, body: bytes) -> None:
        data = http.response(status, body)
        self._discovery.counts.note(self.scheduler, "watch", inward=True, size=len(data), body=len(body))
        if not connection.transport.is_closing():
            connection.transport.write(data)


class Discovery:
    """The worker list and one watch server per scheduler."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.rev, self.counts = 1, Counts()
        self.entries: dict[str, Entry] = {}
        self.watch_servers: dict[str, WatchServer] = {}

    def open_for(self, scheduler: str, host: str) -> int:
        """Open a watch server for one scheduler on a free port and return the port."""
        self.watch_servers[scheduler] = WatchServer(self, scheduler, host)
        return self.watch_servers[scheduler].listener.port

    def set(self, entries: Iterable[tuple[str, str, str, int, str]]) -> int:
        """Set entries (name, zone, model, group, state) in one revision, notify, and return the revision."""
        self.rev += 1
        for uid, az, model, group, state in entries:
            self.entries[uid] = Entry(uid, az, model, group, state, self.rev)
        for watch_server in self.watch_servers.values():
            watch_server.notify_waiting()
        return self.rev

    def set_state(self, uids: Iterable[str], state: str) -> int:
        """Change the state of the given workers; return the new revision."""
        return self.set([(e.uid, e.az, e.model, e.pod_group, state)
                         for e in [self.entries[uid] for uid in uids]])

    def list_json(self, index: int | None, endpoints: dict[str, str]) -> bytes:
        """Return the JSON of the entries changed after revision ``index``, or of the whole list for None."""
        targets: list[dict[str, Any]] = []
        for e in self.entries.values():
            if (e.state != "removed") if index is None else e.rev > index:
                targets.append({
                    "uid": e.uid, "endpoint": endpoints.get(e.uid, UNREACHABLE_ENDPOINT), "az": e.az,
                    "model": e.model, "pod_group": e.pod_group, "state": e.state, "capacity_hint": 1.0,
                    "boot_ms": 0})
        return json.dumps(
            {"rev": self.rev, "all": index is None, "targets": targets}, separators=(",", ":")).encode()

    def close(self) -> None:
        """Close all listeners."""
        for watch_server in self.watch_servers.values():
            watch_server.listener.close()
