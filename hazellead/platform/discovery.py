"""Watches discovery's list of servers by long polling, and renews the lease on the list."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Any

import structlog
from tornado.iostream import StreamClosedError

from hazellead.core.clock import Clock
from hazellead.core.lease import LeaseBasis, LeaseTerms, MembershipLease
from hazellead.decide import interface as api
from hazellead.limits import Limits
from hazellead.net import streams
from hazellead.net.streams import within
from hazellead.platform.config import ConfigError, Names
from hazellead.platform.discovery_calls import Connect, DiscoveryConnection, RefusedError, connect
from hazellead.platform.discovery_source import Call, Source
from hazellead.platform.server_list import (
    ListedServer,
    ListError,
    ServerList,
    ServerNumbers,
    kind_number,
    read_list,
    server_json,
    zone_number,
)
from hazellead.platform.workers import WorkerEndpoint

log = structlog.get_logger()


class _UnansweredError(Exception):
    """A call was not answered in time; its answer may still arrive in ``pending_answer``."""

    def __init__(self, waited: timedelta, pending_answer: "asyncio.Future[Any]") -> None:
        super().__init__(f"not answered in {waited.total_seconds()} s")
        self.waited, self.pending_answer = waited, pending_answer


# The timeout of unanswered opening calls doubles each time, at most this often: a slow discovery still does
# the work for a call that was abandoned before its turn.
_MOST_DOUBLINGS = 2
_FAILURES = (RefusedError, StreamClosedError, TimeoutError, ListError)


class Watch:
    """The platform's worker directory: a long-poll watch that resumes from the last known version."""

    def __init__(
        self, discovery: tuple[str, int], names: Names, limits: Limits, known: dict[str, Any],
        listener: Callable[[api.WorkerList], None], seed: int = 0, *, pushed: bool = False,
        known_elsewhere: bool = False, clock: Clock | None = None, connect: Connect = connect,
    ) -> None:
        """Pass the list known from before the start, if any, to the listener, as every later list.

        ``seed`` must differ between schedulers, so that their random waits differ. ``pushed``: a change
        counts as notified as soon as discovery's agent has it, watched or not. ``known_elsewhere``: the known
        list comes from another discovery, whose versions are unrelated. Raises ConfigError if the known list
        is malformed.
        """
        self._names, self._limits, self._listener = names, limits, listener
        self._rng = random.Random(seed)
        self._pushed, self._connect = pushed, connect
        self._numbers = ServerNumbers()
        self._endpoints: dict[int, WorkerEndpoint] = {}
        self._servers: dict[int, ListedServer] = {}
        self._clock = clock or Clock()
        self._lease = MembershipLease(LeaseTerms.of(limits), self._clock.now())
        self._logged_basis = LeaseBasis.NONE
        self._first_list = asyncio.Event()
        self.on_new_version: Callable[[], None] = lambda: None  # called after a list with another version
        self._source = Source(discovery)
        self._previous: Source | None = None  # until the new discovery has sent a list
        self._background: set[asyncio.Task[None]] = set()  # calls made in parallel to the watch
        if known:
            try:
                server_list = read_list(known, self._numbers, names)
            except ListError as error:
                raise ConfigError(f"known: {error}") from None
            self._source.known_version = None if known_elsewhere else server_list.version_to_resume
            self._apply(server_list, cached=True)

    def endpoint(self, worker: int) -> WorkerEndpoint | None:
        """Return a worker's address, or None if it is unknown."""
        return self._endpoints.get(worker)

    def name(self, worker: int) -> str:
        """Return a worker's uid in discovery, or its number if it is unknown."""
        return self._endpoints[worker].uid if worker in self._endpoints else str(worker)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the discovery that is followed."""
        return self._source.address

    def number(self, uid: str) -> int | None:
        """Return the scheduler's number for a worker's uid, or None if the uid has never been listed."""
        return self._numbers.find(uid)

    def list_expired(self) -> bool:
        """Return whether the lease on the list has run out, so that nothing may be sent to its servers."""
        return self._lease.expired(self._clock.now())

    async def first_list(self, span: timedelta, stop_waiting: asyncio.Event | None = None) -> None:
        """Wait until discovery has sent a list or is shown to be unreachable.

        Waits for ``span`` at most, and only until ``stop_waiting`` is set.
        """
        events = [self._first_list, stop_waiting] if stop_waiting else [self._first_list]
        waiting_tasks = [asyncio.ensure_future(event.wait()) for event in events]
        done, _ = await asyncio.wait(
            waiting_tasks, timeout=span.total_seconds(), return_when=asyncio.FIRST_COMPLETED)
        for wait in waiting_tasks:
            wait.cancel()
        if not done:
            log.warning("discovery_late", waited=span.total_seconds())

    def to_json(self) -> dict[str, Any]:
        """Return the current list as a whole one in discovery's JSON form, with the last known version."""
        targets = [server_json(server, self._endpoints[number])
                   for number, server in self._servers.items() if number in self._endpoints]
        return {"rev": self._source.index or 0, "all": True, "targets": targets}

    def lease_left(self) -> timedelta:
        """Return for how long the lease on the list still holds; zero if it has expired."""
        return max(timedelta(0), self._lease.until - self._clock.now())

    def inherit_lease(self, until: datetime) -> None:
        """Continue the lease of the process that this one replaces, whose list has been adopted.

        Not where lists are pushed: there a change counts as notified at once, so the list needs a watch.
        """
        if not self._pushed:
            self._lease.inherit(until)
            self._log_lease()

    @property
    def misses_no_changes(self) -> bool:
        """Whether a watch has been open, or discovery out of reach, ever since the list was received."""
        return not self._lease.may_have_missed

    def note_missed_changes(self) -> None:
        """Record that changes may have been missed: the list known from before the start was not watched."""
        self._lease.call_failed()

    def adopt(self, answer: Any) -> bool:
        """Use another process's whole list from the same discovery, if it is newer; return whether it is.

        Raises ListError if it is malformed.
        """
        server_list, source = read_list(answer, self._numbers, self._names), self._source
        if not server_list.whole or server_list.version <= (source.index or 0):
            return False
        log.info("server_list_adopted", version=server_list.version, previous=source.index)
        if source.version is None:
            source.known_version = server_list.version_to_resume
        else:
            source.version = server_list.version
            if server_list.version_to_resume is None:
                self.fetch()
        self._apply(server_list)
        return True

    def update_names(self, names: Names) -> None:
        """Use other names of zones and kinds; passes the renumbered current list to the listener.

        The list is not requested again, since that call could fail or be overtaken by an answer of the watch.
        """
        unchanged = names.same_zones_and_kinds(self._names)
        self._names = names
        if unchanged or not self._servers:
            return
        self._servers = {number: self._renumbered(server) for number, server in self._servers.items()}
        entries = tuple(server.entry for server in self._servers.values())
        self._listener(api.WorkerList(api.ListKind.FULL, entries))

    def _renumbered(self, server: ListedServer) -> ListedServer:
        zone, kind = zone_number(self._names, server.zone), kind_number(self._names, server.kind)
        return replace(server, entry=replace(server.entry, zone=zone, kind=kind))

    def update_limits(self, limits: Limits, *, pushed: bool | None = None) -> None:
        """Use other limits from the next call on; ``pushed`` is kept if it is None."""
        self._limits = limits
        self._lease.terms = LeaseTerms.of(limits)
        self._pushed = self._pushed if pushed is None else pushed

    def subscribe(self) -> None:
        """Start watching; does nothing if the watch is running."""
        if self._source.task is None:
            self._source.task = asyncio.ensure_future(self._watch(self._source))

    def move(self, discovery: tuple[str, int]) -> None:
        """Follow another discovery from now on.

        Its versions are unrelated to the previous one's, so the whole list is requested. Until that arrives,
        the current list stays in force and the previous watch goes on until it fails; its answers count.
        """
        if discovery == self._source.address:
            return
        if self._previous:  # moved again before the new discovery sent a list
            self._source.stop()
        else:
            self._previous = self._source
        self._source = Source(discovery)
        self._lease.moved(self._clock.now())
        self.subscribe()

    def fetch(self) -> None:
        """Request the whole list once."""
        self._run_in_background(self._fetch())

    def close(self) -> None:
        """Stop watching."""
        for source in (self._source, self._previous):
            if source:
                source.stop()
        for task in self._background:
            task.cancel()

    async def _watch(self, source: Source) -> None:
        """Keep a watch open; retries failed calls within a second.

        After a failed, refused or abandoned call a change, such as a drain, counts as notified 6 s after
        discovery had it and could be reached. With a growing back-off the pause could exceed that when
        discovery returns.
        """
        try:
            while True:
                version_before = source.version
                try:
                    answer = await self._request_list(source)
                    # Ignores the answer of a previous discovery after the present one has sent its list.
                    if source is not self._source and source is not self._previous:
                        return
                    self._accept_list(source, answer)
                except _UnansweredError as error:
                    self._handle_unanswered(source, error)
                    continue  # without a pause
                except Exception as error:
                    source.close_connection()
                    # The end of a watch on a previous discovery is no failure of the present one.
                    if source is not self._source:
                        return
                    if not isinstance(error, _FAILURES):  # a bug must not end the watch
                        log.exception("watch_fault")
                    await self._pause_after(source, error)
                    continue
                self._handle_answer(source)
                if source.version == version_before:
                    await self._pace_calls(source)
        finally:
            source.task = None
            source.close_connection()

    def _handle_answer(self, source: Source) -> None:
        """Handle a usable answer: renew the lease from when the call was sent, and end a previous watch."""
        assert source.call
        source.answered, source.unanswered = True, 0
        self._note_recovery(source)
        present = source is self._source
        self._lease.renew(source.call.sent_at, by_present_discovery=present)
        self._log_lease()
        if present:
            self._first_list.set()
            if self._previous:
                self._previous.stop()
                self._previous = None

    def _handle_unanswered(self, source: Source, error: _UnansweredError) -> None:
        """Handle a call that was not answered in time."""
        log.warning("watch_silent", version=source.index, waited=str(error.waited.total_seconds()))
        call, connection = source.call, source.connection
        assert call and connection
        if call.continues_watch and source is self._source:
            self._lease.watch_fell_silent(call.sent_at)
            source.connection = None
            self._run_in_background(self._await_late_answer(source, call, connection, error.pending_answer))
            return
        if source is self._source:
            self._lease.call_failed()
        error.pending_answer.cancel()
        source.close_connection()
        source.unanswered += not call.continues_watch

    async def _await_late_answer(
        self, source: Source, call: Call, connection: DiscoveryConnection,
        pending_answer: "asyncio.Future[Any]",
    ) -> None:
        """Wait for the late answer on a watch that seems to have fallen silent, while it is opened anew.

        When discovery goes down, it ends its watches a moment after it stops answering them, and under load
        the second call of a watch may still be queued.
        """
        span = self._limits.late_answer if call.on_live_watch else self._limits.queue_wait_max
        try:
            await asyncio.wait([pending_answer], timeout=span.total_seconds())
            failure = pending_answer.exception() if pending_answer.done() else TimeoutError()
            if source is not self._source:
                return
            if failure is None:
                self._accept_list(source, pending_answer.result())
                self._lease.renew(call.sent_at, watch_open=False)
            elif isinstance(failure, RefusedError) and not self._pushed:
                self._lease.watch_ended(call.sent_at, live=call.on_live_watch)
            else:
                log.warning("watch_broken", reason=_reason(failure), version=source.index)
            self._log_lease()
        except ListError as error:
            log.warning("discovery_failed", reason=str(error), version=source.index)
        except Exception:  # a bug must not go unnoticed in a background task
            log.exception("watch_fault")
        finally:
            pending_answer.cancel()
            connection.close()

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _pause_after(self, source: Source, error: Exception) -> None:
        """Log and account for a failed call of the present discovery, and wait before the next."""
        self._note_failure(source, error)
        self._report_failure_to_lease(source, error)
        self._log_lease()
        continued_watch = source.call is not None and source.call.continues_watch
        if self._pushed and continued_watch:
            return  # the agent has answered until now: the lease is lost soon after the watch
        if self._lease.outage and source.call and self._waited(source.call):
            return  # in an outage one call is always pending, so that its end is noticed at once
        pause = min(self._limits.retry * source.failures, self._limits.retry_max)
        await asyncio.sleep(pause.total_seconds() * (0.5 + self._rng.random() / 2))

    def _report_failure_to_lease(self, source: Source, error: Exception) -> None:
        """Tell the lease what a failed call proves, and what may have been missed by it."""
        call = source.call
        if call is None:
            return
        if self._pushed:
            if call.continues_watch:
                self._lease.watch_lost(self._clock.now())
        elif isinstance(getattr(error, "real_error", None), ConnectionRefusedError):
            self._lease.connection_refused(call.sent_at)
            self._first_list.set()
        elif isinstance(error, RefusedError) and not call.continues_watch and self._waited(call):
            self._lease.call_refused_late(call.sent_at, self._clock.now() - call.sent_at)
        elif isinstance(error, ListError) or not call.continues_watch:
            self._lease.call_failed()
        elif isinstance(error, RefusedError):
            self._lease.watch_ended(call.sent_at, live=call.on_live_watch)

    def _waited(self, call: Call) -> bool:
        """Return whether a call that has just failed took longer than the network does."""
        return self._clock.now() - call.sent_at > self._limits.connect + self._limits.process_stall

    async def _pace_calls(self, source: Source) -> None:
        """Wait before the next call of a watch whose last answer had no newer version.

        Discovery may answer at once although nothing is newer; without a pause, calls and answers would
        follow each other without end and load both sides. The next call is still made within the 200 ms in
        which it continues the watch.
        """
        if source.call and source.call.follows_answer:
            remaining = self._limits.watch_interval - (self._clock.now() - source.call.sent_at)
            if remaining > timedelta(0):
                await asyncio.sleep(remaining.total_seconds())

    def _note_failure(self, source: Source, error: Exception) -> None:
        """Count a failed call; logs it unless the previous one failed alike: same reason, as fast."""
        now, reason = self._clock.now(), _reason(error)
        source.failing_since, source.failures = source.failing_since or now, source.failures + 1
        waited = now - source.call.sent_at if source.call else timedelta(0)
        failure = reason, source.call is None or not self._waited(source.call)
        if failure != source.logged:
            kind = "watch" if source.call and source.call.continues_watch else "opening"
            log.warning("discovery_failed", reason=reason, version=source.index, call=kind,
                        waited=f"{waited.total_seconds():.3f}", failures=source.failures)
        source.logged = failure

    def _log_lease(self) -> None:
        """Log on what the lease rests, if that has changed."""
        if (basis := self._lease.basis) is not self._logged_basis:
            left = (self._lease.until - self._clock.now()).total_seconds()
            log.info("server_list_lease", basis=basis.value, version=self._source.index, left=f"{left:.3f}")
            self._logged_basis = basis

    def _note_recovery(self, source: Source) -> None:
        """Reset the counts of failures; logs the end of an outage."""
        if source.failing_since:
            span = (self._clock.now() - source.failing_since).total_seconds()
            log.info("discovery_back", failures=source.failures, seconds=f"{span:.3f}")
        source.failures, source.logged, source.failing_since = 0, None, None

    async def _request_list(self, source: Source) -> Any:
        """Make the next call and return its answer's JSON; raises _UnansweredError if none arrives in time.

        The call that opens a watch is queued at discovery but does not wait for a change: its answer shows
        that the watch is open. The next call follows at once: one made within 200 ms continues the watch, so
        it misses no change and is not queued again.
        """
        limits = self._limits
        follows, source.answered = source.answered, False
        still_open = source.connection is not None and source.connection.quiet
        continues = follows and still_open
        on_live_watch = continues and source.call is not None and source.call.continues_watch
        source.call = Call(self._clock.now(), follows, continues, on_live_watch)
        if not still_open:
            source.close_connection()
            if follows and self._pushed:
                self._lease.watch_lost(source.call.sent_at)
            source.connection = await self._connect(source.address, limits)
        assert source.connection
        if follows and (still_open or not self._pushed):
            wait = limits.watch_min + (limits.watch_max - limits.watch_min) * self._rng.random()
            span = wait + limits.watch_grace
        else:
            wait, span = streams.MS, limits.fetch * 2 ** min(max(0, source.unanswered - 1), _MOST_DOUBLINGS)
        query = "" if source.index is None else f"?index={source.index}&wait={wait // streams.MS}"
        pending_answer = asyncio.ensure_future(source.connection.ask(query))
        try:
            await asyncio.wait([pending_answer], timeout=span.total_seconds())
        except asyncio.CancelledError:
            pending_answer.cancel()
            raise
        if pending_answer.done():
            return pending_answer.result()
        raise _UnansweredError(span, pending_answer)

    async def _fetch(self) -> None:
        connection, source, sent_at = None, self._source, self._clock.now()
        try:
            connection = await self._connect(source.address, self._limits)
            answer = await within(self._limits.fetch, connection.ask(""))
            if source is self._source:
                self._accept_list(source, answer)
                self._lease.renew(sent_at, watch_open=False)
        except _FAILURES as error:
            if source is self._source:
                log.warning("discovery_failed", reason=_reason(error), version=source.index)
                self._listener(api.WorkerList(api.ListKind.FAILED))
        finally:
            if connection:
                connection.close()

    def _accept_list(self, source: Source, answer: Any) -> None:
        """Parse and apply an answer; raises ListError if it is malformed or older than the current list."""
        server_list = read_list(answer, self._numbers, self._names)
        self._check_version(source, server_list)
        previous = source.index
        source.older_since, source.version = None, server_list.version
        self._apply(server_list)
        if server_list.version != previous:
            log.info("server_list_received", version=server_list.version, previous=previous,
                     whole=server_list.whole, entries=len(server_list.servers))
            self.on_new_version()

    def _check_version(self, source: Source, server_list: ServerList) -> None:
        """Raise ListError for a list older than the current one, or for changes to an unknown list.

        An older list, from a parallel call or from a discovery that lags, must not undo a drain. A discovery
        that has sent only older lists for ``limits.older_list_wait`` was set up anew, and its lists are
        accepted.
        """
        if source.version is None:
            known = source.known_version
            if known is not None and server_list.version < known and not server_list.whole:
                source.known_version = None  # of another or a reset discovery: request the whole list next
                raise ListError(f"changes to another list than the known ({server_list.version} < {known})")
            return
        if server_list.version >= source.version:
            return
        source.older_since = source.older_since or self._clock.now()
        if self._clock.now() - source.older_since < self._limits.older_list_wait:
            raise ListError(f"older than the list held ({server_list.version} < {source.version})")

    def _apply(self, server_list: ServerList, *, cached: bool = False) -> None:
        """Update the known servers and pass the list to the listener."""
        self._endpoints |= {
            server.entry.worker: server.endpoint for server in server_list.servers if server.endpoint}
        if server_list.whole:
            self._servers.clear()
        for server in server_list.servers:
            self._servers[server.entry.worker] = server
            if server.entry.phase is api.Phase.GONE:
                del self._servers[server.entry.worker]
        full = api.ListKind.CACHED if cached else api.ListKind.FULL
        kind = full if server_list.whole else api.ListKind.CHANGES
        self._listener(api.WorkerList(kind, tuple(server.entry for server in server_list.servers)))


def _reason(error: BaseException) -> str:
    """Return a short text for the log that says why a call failed."""
    cause = getattr(error, "real_error", None) or error
    return str(cause) or type(cause).__name__
