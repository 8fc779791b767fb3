"""Follows the platform's discovery and turns its list into the module's."""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from tornado.iostream import IOStream, StreamClosedError

from hazellead.core.clock import to_us
from hazellead.decide import interface as api
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


class RefusedError(Exception):
    """Discovery did not answer with a list: it is down, or has no room for the call."""


class _SilentError(Exception):
    """A call of a watch has not been answered: what it should have told has to be asked for anew."""


_FAILURES = (RefusedError, StreamClosedError, TimeoutError, ListError)


class _Source:
    """One discovery service: where it is, the version it last told, and the watch kept there."""

    def __init__(self, address: tuple[str, int], version: int | None, *, due: bool = False) -> None:
        self.address, self.version = address, version
        self.due = due  # what it has to tell counts as told soon, whether or not it arrives
        self.stream: IOStream | None = None
        self.answered = False  # its last call was, and the watch goes on if asked again at once
        self.task: asyncio.Task[None] | None = None

    def drop(self) -> None:
        """End its connection."""
        if self.stream:
            self.stream.close()
            self.stream = None

    def leave(self) -> None:
        """End its watch."""
        if self.task:
            self.task.cancel()


class Watch:
    """The platform's worker directory: a watch that goes on from the version it holds."""

    def __init__(
        self, discovery: tuple[str, int], names: Names, limits: Limits, known: dict[str, Any],
        listener: Callable[[api.WorkerList], None], seed: int = 0,
    ) -> None:
        """Tell the listener of the list held from before. Seeds must differ between schedulers."""
        self._names, self._limits, self._listener = names, limits, listener
        self._rng = random.Random(seed)
        self._numbers: dict[str, int] = {}  # the module's numbers for workers' names
        self._places: dict[int, Place] = {}
        self._source = _Source(discovery, 0)
        self._former: _Source | None = None  # the one before, until the present one has told its list
        self._fetches: set[asyncio.Task[None]] = set()
        if known:
            try:
                self._source.version = self._take(known, cached=True)
            except ListError as error:
                raise ConfigError(f"known: {error}") from None

    def place(self, worker: int) -> Place | None:
        """Return where a worker listens."""
        return self._places.get(worker)

    def name(self, worker: int) -> str:
        """Return a worker's name in discovery."""
        return self._places[worker].uid if worker in self._places else str(worker)

    @property
    def address(self) -> tuple[str, int]:
        """Return the discovery that is followed."""
        return self._source.address

    def number(self, uid: str) -> int | None:
        """Return the module's number for a worker's name, if it has one."""
        return self._numbers.get(uid)

    def told(self, entries: Iterable[api.WorkerEntry]) -> dict[str, Any]:
        """Write a list in discovery's form, as of the version that was told last."""
        phases = {phase: word for word, phase in _PHASES.items()}
        targets = []
        for e in entries:
            if (where := self._places.get(e.worker)) and e.phase is not api.Phase.GONE:
                zones, kinds = self._names.zones, self._names.kinds
                host = f"[{where.host}]" if ":" in where.host else where.host
                targets.append({
                    "uid": where.uid, "endpoint": f"{host}:{where.port}",
                    "az": zones[e.zone] if e.zone < len(zones) else "",
                    "model": kinds[e.kind] if e.kind < len(kinds) else "", "pod_group": e.cell,
                    "state": phases[e.phase], "capacity_hint": e.weight, "boot_ms": e.started_us // 1000})
        return {"rev": self._source.version or 0, "all": True, "targets": targets}

    def rename(self, names: Names) -> None:
        """Go by other names of zones and kinds: they are places in a list, so the whole list is asked for."""
        same = (names.zones, names.kinds) == (self._names.zones, self._names.kinds)
        self._names = names
        if not same:
            self.fetch()

    def subscribe(self) -> None:
        """Watch from now on."""
        if self._source.task is None:
            self._source.task = asyncio.ensure_future(self._watch(self._source))

    def move(self, discovery: tuple[str, int]) -> None:
        """Follow another discovery from now on.

        Its versions are its own, so the whole list is asked for. Until that has come, the list that is held
        stays in force, and the former watch goes on as long as it lasts: what is still told there counts.
        """
        if discovery == self._source.address:
            return
        if self._source.version is None:  # moved again before it told anything
            self._source.leave()
        else:
            self._former = self._source
        self._source = _Source(discovery, None, due=True)
        self.subscribe()

    def fetch(self) -> None:
        """Ask once for the whole list."""
        task = asyncio.ensure_future(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def close(self) -> None:
        """Stop watching."""
        for source in (self._source, self._former):
            if source:
                source.leave()

    async def _watch(self, source: _Source) -> None:
        failures = 0
        try:
            while True:
                try:
                    source.version = self._take(await self._next(source))
                except _SilentError as error:
                    source.drop()
                    log.warning("watch_silent", version=source.version, waited=str(error))
                    source.due = True  # and asked for at once
                    continue
                except _FAILURES as error:
                    source.drop()
                    # Guards against taking the end of a watch that was left for a failure of the present one.
                    if source is not self._source:
                        return
                    source.due |= isinstance(error, ListError)  # it was told, but cannot be read
                    if not source.due:
                        self._failed(error)
                        return
                    # Guards against a failure at the one time when the list must not wait: the module's
                    # next try would come ever later.
                    self._warn(error)
                    pause = min(self._limits.retry * 2 ** failures, self._limits.retry_most)
                    await asyncio.sleep(pause.total_seconds() * (0.5 + self._rng.random() / 2))
                    failures += 1
                    continue
                source.answered, source.due, failures = True, False, 0
                if source is self._source and self._former:
                    self._former.leave()
                    self._former = None
        finally:
            source.task = None
            source.drop()

    async def _next(self, source: _Source) -> Any:
        """Return what discovery tells next; raises _SilentError if the watch has fallen silent.

        The call that opens a watch waits for its turn at discovery, but for no change: its answer shows that
        the watch is open. The next follows at once: within 200 ms the changes in between count as told, and
        its turn does not come again.

        Guards against schedulers whose watches fall silent together noticing it together: discovery takes
        calls in turn, so the last of them would hear of a drain when it has long counted as told. Each draws
        its waits anew, evenly over a span in which discovery can answer all.
        """
        limits = self._limits
        goes_on, source.answered = source.answered, False
        if source.stream is None or not streams.alive(source.stream):
            source.drop()
            source.stream = await streams.connect(*source.address, limits)
        if goes_on:
            wait = limits.watch_least + (limits.watch_most - limits.watch_least) * self._rng.random()
            span = wait + limits.watch_grace
        else:
            wait, span = streams.MS, limits.fetch
        query = "" if source.version is None else f"?index={source.version}&wait={wait // streams.MS}"
        try:
            return await within(span, self._exchange(source.stream, source.address, query))
        except TimeoutError:
            raise _SilentError(span.total_seconds()) from None

    async def _fetch(self) -> None:
        stream, address = None, self._source.address
        try:
            stream = await streams.connect(*address, self._limits)
            self._take(await within(self._limits.fetch, self._exchange(stream, address, "")))
        except _FAILURES as error:
            if address == self._source.address:
                self._failed(error)
        finally:
            if stream:
                stream.close()

    def _warn(self, error: Exception) -> None:
        cause = getattr(error, "real_error", None) or error
        log.warning("discovery_failed", reason=str(cause) or type(cause).__name__)

    def _failed(self, error: Exception) -> None:
        self._warn(error)
        self._listener(api.WorkerList(api.ListKind.FAILED))

    async def _exchange(self, stream: IOStream, address: tuple[str, int], query: str) -> Any:
        host, port = address
        await stream.write(http.request("GET", f"/discovery/hosts{query}", f"{host}:{port}"))
        try:
            message = await read_response(stream, self._limits.for_lists())
        except http.HttpError as error:
            what = f"list over {self._limits.worker_list} bytes" if error.status == 413 else str(error)
            raise ListError(what) from None
        if not message.keep:
            stream.close()
        if message.status != 200:
            raise RefusedError(f"status {message.status}")
        try:
            return json.loads(message.body)
        except ValueError:
            raise ListError("not JSON") from None

    def _take(self, given: Any, *, cached: bool = False) -> int:
        """Read one list, tell it and return its version; a malformed one changes nothing."""
        try:
            version, whole = int(given["rev"]), bool(given["all"])
            read = [self._entry(t) for t in given["targets"]]
        except (KeyError, TypeError, ValueError, ConfigError) as error:
            raise ListError(f"malformed list: {error}") from None
        self._places |= {entry.worker: where for entry, where in read if where}
        full = api.ListKind.CACHED if cached else api.ListKind.FULL
        kind = full if whole else api.ListKind.CHANGES
        self._listener(api.WorkerList(kind, tuple(entry for entry, _ in read)))
        return version

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
