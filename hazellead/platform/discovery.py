"""Follows the platform's discovery and turns its list into the module's."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import structlog
from tornado.iostream import IOStream, StreamClosedError

from hazellead import interface as api
from hazellead.core.clock import to_us
from hazellead.limits import Limits
from hazellead.net import http, streams
from hazellead.net.client import read_response
from hazellead.net.streams import within
from hazellead.platform.config import ConfigError, Names, address, place
from hazellead.platform.workers import Place

log = structlog.get_logger()

_PHASES = {"up": api.Phase.READY, "draining": api.Phase.DRAINING, "removed": api.Phase.GONE}


class ListError(Exception):
    """Discovery answered with something that is not a list."""


_FAILURES = (StreamClosedError, TimeoutError, http.HttpError, ListError)


class Watch:
    """The platform's worker directory: a watch that goes on from the version it holds."""

    def __init__(
        self, discovery: tuple[str, int], names: Names, limits: Limits, known: dict[str, Any],
        listener: Callable[[api.WorkerList], None],
    ) -> None:
        """Tell the listener of the list held from before."""
        self._discovery, self._names, self._limits = discovery, names, limits
        self._listener = listener
        self._numbers: dict[str, int] = {}  # the module's numbers for workers' names
        self._places: dict[int, Place] = {}
        self._version = 0
        self._stream: IOStream | None = None
        self._task: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        if known:
            try:
                self._take(known, cached=True)
            except ListError as error:
                raise ConfigError(f"known: {error}") from None

    def place(self, worker: int) -> Place | None:
        """Return where a worker listens."""
        return self._places.get(worker)

    def name(self, worker: int) -> str:
        """Return a worker's name in discovery."""
        return self._places[worker].uid if worker in self._places else str(worker)

    def subscribe(self) -> None:
        """Watch from now on."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._watch())

    def fetch(self) -> None:
        """Ask once for the whole list."""
        task = asyncio.ensure_future(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def close(self) -> None:
        """Stop watching."""
        if self._task:
            self._task.cancel()

    async def _watch(self) -> None:
        # The next call follows each answer at once: within 200 ms the changes in between count as told.
        wait = self._limits.watch // streams.MS
        try:
            while True:
                by = self._limits.watch + self._limits.watch_grace
                self._take(await within(by, self._call(f"?index={self._version}&wait={wait}")))
        except _FAILURES as error:
            self._failed(error)
        finally:
            self._task = None
            self._drop()

    async def _fetch(self) -> None:
        stream = None
        try:
            stream = await streams.connect(*self._discovery, self._limits)
            self._take(await within(self._limits.watch_grace * 3, self._exchange(stream, "")))
        except _FAILURES as error:
            self._failed(error)
        finally:
            if stream:
                stream.close()

    def _failed(self, error: Exception) -> None:
        cause = getattr(error, "real_error", None) or error
        log.warning("discovery_failed", reason=str(cause) or type(cause).__name__)
        self._listener(api.WorkerList(api.ListKind.FAILED))

    async def _call(self, query: str) -> Any:
        if self._stream is None or not streams.alive(self._stream):
            self._drop()
            self._stream = await streams.connect(*self._discovery, self._limits)
        return await self._exchange(self._stream, query)

    async def _exchange(self, stream: IOStream, query: str) -> Any:
        host, port = self._discovery
        await stream.write(http.request("GET", f"/discovery/hosts{query}", f"{host}:{port}"))
        message = await read_response(stream, self._limits.for_lists())
        if not message.keep:
            stream.close()
        if message.status != 200:
            raise ListError(f"status {message.status}")
        try:
            return json.loads(message.body)
        except ValueError:
            raise ListError("not JSON") from None

    def _drop(self) -> None:
        if self._stream:
            self._stream.close()
            self._stream = None

    def _take(self, given: Any, *, cached: bool = False) -> None:
        """Read one list and tell it; a malformed one changes nothing."""
        try:
            version, whole = int(given["rev"]), bool(given["all"])
            read = [self._entry(t) for t in given["targets"]]
        except (KeyError, TypeError, ValueError, ConfigError) as error:
            raise ListError(f"malformed list: {error}") from None
        self._version = version
        self._places |= {entry.worker: where for entry, where in read if where}
        full = api.ListKind.CACHED if cached else api.ListKind.FULL
        kind = full if whole else api.ListKind.CHANGES
        self._listener(api.WorkerList(kind, tuple(entry for entry, _ in read)))

    def _entry(self, target: Any) -> tuple[api.WorkerEntry, Place | None]:
        uid = str(target["uid"])
        phase = _PHASES.get(target["state"])
        if phase is None:
            raise ValueError(f"unknown state {target['state']!r}")
        where = Place(uid, *address(target["endpoint"], "endpoint")) if target.get("endpoint") else None
        number = self._numbers.setdefault(uid, len(self._numbers) + 1)
        zone = place(self._names.zones, str(target.get("az", "")))
        kind = place(self._names.kinds, str(target.get("model", "")))
        booted = int(target.get("boot_ms") or 0) * streams.MS
        return api.WorkerEntry(
            number, max(0, zone), max(0, kind), int(target.get("pod_group") or 0), phase,
            float(target.get("capacity_hint") or 1.0), to_us(booted)), where
