"""The watch against a discovery that queues calls: silent watches, refusals, malformed lists, moves."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import pytest
from loopback import http_message, run, until
from structlog.testing import capture_logs
from test_discovery import NAMES, listing, target

from hazellead.decide import interface as api
from hazellead.limits import Limits
from hazellead.platform.discovery import Watch

NOTIFIED_AFTER_S = 6.0  # after which a change missed by a silent watch counts as notified
GRACE_S = 0.4  # after the notification, in which a send is still allowed
Corruption = Callable[[asyncio.StreamWriter, bytes], None]


def list_body(rev: int, state: str, *, whole: bool) -> bytes:
    return json.dumps(listing(rev, target("s-1", state), whole=whole)).encode()


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class QueuedDiscovery:
    """A discovery that queues the calls that open a watch, and refuses those that would wait too long."""

    def __init__(self, seconds_per_call: float = 0.0, longest_wait: float = 2.0) -> None:
        self.seconds_per_call, self.longest_wait = seconds_per_call, longest_wait
        self.rev, self.next_free, self.refused = 1, 0.0, 0
        self.calls, self.changed = list[str](), asyncio.Condition()
        self.unanswered = set[asyncio.StreamWriter]()  # connections whose calls are never answered
        self.open_watches = set[asyncio.StreamWriter]()
        self.calls_to_refuse = self.calls_to_ignore = 0  # of the next calls: how many get 503, or no answer
        self.corrupt: Corruption | None = None  # writes the next answer instead of the correct one
        self.calls_to_reset = 0  # of the next calls: how many end in a reset
        self.resends_list = False  # answers with the whole list, even if changes are requested
        self.answers_at_once = False  # does not wait for a change
        self.state = ""  # of the only worker; if empty, it drains once the version is over 1
        self.server: asyncio.Server | None = None
        self.writers = set[asyncio.StreamWriter]()

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[tuple[str, int]]:
        server = self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()
        finally:
            self.server.close()

    async def go_down(self) -> tuple[str, int]:
        """Refuse new connections and reset the open ones."""
        assert self.server
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        return address

    async def come_back(self, address: tuple[str, int]) -> None:
        """Accept connections again."""
        self.open_watches = set()
        self.server = await asyncio.start_server(self._serve, *address)

    async def drain(self) -> None:
        """Report that the only worker drains."""
        async with self.changed:
            self.rev += 1
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._answer_all(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return

    async def _answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await http_message(reader)
            self.calls.append(first.split()[1])
            query = dict(p.split("=") for p in self.calls[-1].partition("?")[2].split("&") if p)
            index, wait = int(query.get("index", -1)), int(query.get("wait", 0)) / 1000
            self.writers.add(writer)
            if writer in self.unanswered:
                continue
            if self.calls_to_reset:
                self.calls_to_reset -= 1
                writer.transport.abort()
                return
            if writer not in self.open_watches:
                if self.calls_to_ignore:
                    self.calls_to_ignore -= 1
                    continue
                now = time.monotonic()
                start = max(now, self.next_free)
                if self.calls_to_refuse or start - now > self.longest_wait:
                    self.calls_to_refuse, self.refused = max(0, self.calls_to_refuse - 1), self.refused + 1
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.next_free = start + self.seconds_per_call
                await asyncio.sleep(self.next_free - now)
                self.open_watches.add(writer)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(
                        lambda i=index: self.rev != i or self.resends_list or self.answers_at_once), wait)
                except TimeoutError:
                    pass
            if writer in self.unanswered:
                continue
            state = self.state or ("up" if self.rev == 1 else "draining")
            body = (list_body(self.rev, state, whole=index < 0 or self.resends_list) if self.rev != index
                    else json.dumps(listing(self.rev)).encode())
            corrupt, self.corrupt = self.corrupt, None
            (corrupt or asyncio.StreamWriter.write)(writer, answer(body))


class Scheduler:
    """A watch, and when it learned of the drain; subscribes again after a failure."""

    def __init__(self, address: tuple[str, int], limits: Limits, seed: int) -> None:
        self.drained, self.failures = 0.0, 0
        known = listing(1, target("s-1"), whole=True)
        self.watch = Watch(address, NAMES, limits, known, self.on_list, seed)
        self.watch.subscribe()

    def on_list(self, event: api.WorkerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.failures += 1
            pause = 0.375 * 2 ** min(self.failures - 1, 4)
            asyncio.get_running_loop().call_later(pause, self.watch.subscribe)
        elif any(e.phase is api.Phase.DRAINING for e in event.entries):
            self.drained = self.drained or time.monotonic()


def test_schedulers_whose_watches_fall_silent_together_learn_of_a_drain_in_time() -> None:
    async def case() -> None:
        count, discovery = 9, QueuedDiscovery(seconds_per_call=0.3)
        limits = Limits.fit(256, 32, 100, timedelta(seconds=0.25), timedelta(seconds=5))
        async with discovery.serving() as address:
            fleet = [Scheduler(address, limits, seed) for seed in range(count)]
            await until(lambda: len(discovery.open_watches) == count)
            silent, discovery.unanswered = time.monotonic(), set(discovery.open_watches)
            await discovery.drain()
            await until(lambda: all(s.drained for s in fleet))
            assert max(s.drained for s in fleet) - silent < NOTIFIED_AFTER_S + GRACE_S
            for s in fleet:
                s.watch.close()

    run(case())


SHORT = replace(
    Limits(), watch_min=timedelta(milliseconds=50), watch_max=timedelta(milliseconds=100),
    watch_grace=timedelta(milliseconds=50), watch_interval=timedelta(milliseconds=20),
    fetch=timedelta(milliseconds=400), retry=timedelta(milliseconds=40),
    retry_max=timedelta(milliseconds=80))


def half_sent(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(whole[: len(whole) - 20])


def cut_off(writer: asyncio.StreamWriter, whole: bytes) -> None:
    half_sent(writer, whole)
    writer.close()


def reset(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.transport.abort()


def endless(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def more() -> None:
        if not writer.is_closing():
            writer.write(b"1\r\n \r\n")
            asyncio.get_running_loop().call_later(0.01, more)

    more()


def respond(body: bytes) -> Corruption:
    return lambda writer, _: writer.write(answer(body))


def oversized(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n[" % (SHORT.worker_list + 1))


@pytest.mark.parametrize("refusals", [0, 3])
@pytest.mark.parametrize("seconds_per_call", [0.0, 0.2])
@pytest.mark.parametrize("corrupt", [None, half_sent, endless])
def test_drain_missed_by_a_silent_watch_is_learned_soon(
    corrupt: Corruption | None, seconds_per_call: float, refusals: int,
) -> None:
    async def case() -> None:
        discovery = QueuedDiscovery(seconds_per_call)
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)  # the watch is running
            discovery.corrupt, discovery.unanswered = (
                corrupt, set() if corrupt else set(discovery.open_watches))
            discovery.calls_to_refuse = refusals
            began = time.monotonic()
            await discovery.drain()
            await until(lambda: s.drained)
            assert s.drained - began < 0.7 + 0.08 * refusals
            assert not s.failures and discovery.refused == refusals  # the listener is told of no failure
            s.watch.close()

    run(case())


@pytest.mark.parametrize(("corrupt", "reason"), [
    (respond(b"{"), "not JSON"), (respond(b"{}"), "malformed list"),
    (respond(b'{"rev":2,"all":false,"targets":[{"uid":"s-1"}]}'), "malformed list"),
    (respond(list_body(2, "odd", whole=False)), "unknown state"),
    (respond(list_body(2, "up", whole=True).replace(b"127.0.0.1:80", b"x")), "endpoint is not an address"),
    (respond(list_body(0, "up", whole=True)), "older than the list held (0 < 1)"),
    (respond(list_body(0, "up", whole=False)), "older than the list held (0 < 1)"),
    (respond(list_body(2, "up", whole=True).replace(b'"rev": 2', b'"rev": Infinity')), "malformed list"),
    (respond(list_body(2, "up", whole=True).replace(b'"boot_ms": 0', b'"boot_ms": 1e999')), "malformed list"),
    (respond(list_body(2, "up", whole=True).replace(b"true", b'"no"')), "all must be true or false"),
    (respond(b'{"rev":2,"all":true,"targets":' + b"[" * 100_000), "not JSON"),
    (respond(b'{"rev":2,"all":true,"targets":["s-1"]}'), "malformed list"),
    (respond(b"[]"), "malformed list"),
    (oversized, "list over"), (endless, ""), (half_sent, ""), (cut_off, ""), (reset, "")])
def test_malformed_list_changes_nothing_and_is_requested_again(corrupt: Corruption, reason: str) -> None:
    async def case() -> None:
        discovery = QueuedDiscovery()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)
            number, discovery.corrupt = s.watch.number("s-1"), corrupt
            with capture_logs() as logs:
                await discovery.drain()
                await until(lambda: s.drained)
            assert number and s.watch.endpoint(number) is not None
            (line,) = [entry for entry in logs if entry["log_level"] == "warning"]
            assert reason in line.get("reason", "")
            s.watch.close()

    run(case())


def test_unanswered_opening_call_is_repeated_at_once() -> None:
    async def case() -> None:
        discovery = QueuedDiscovery()
        await discovery.drain()
        async with discovery.serving() as address:
            discovery.calls_to_ignore, began = 2, time.monotonic()
            s = Scheduler(address, SHORT, 1)
            await until(lambda: s.drained)
            assert s.drained - began < 2 * 0.4 + 0.2 and not s.failures
            s.watch.close()

    run(case())


@pytest.mark.parametrize("failing", ["refused", "reset", "down"])
def test_drain_is_learned_within_a_second_of_discoverys_return(failing: str) -> None:
    """However long it failed: after ten failures an exponential back-off would wait for 6 s."""
    async def case() -> None:
        discovery = QueuedDiscovery()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)  # the watch is open, and no change is pending
            if failing == "down":
                down, before = await discovery.go_down(), len(discovery.calls)
                await asyncio.sleep(0.9)
                assert len(discovery.calls) == before
                await discovery.drain()
                began = time.monotonic()
                await discovery.come_back(down)
            else:
                if failing == "refused":
                    discovery.calls_to_refuse, discovery.open_watches = 10, set()
                else:
                    discovery.calls_to_reset = 10
                await until(lambda: not discovery.calls_to_refuse and not discovery.calls_to_reset)
                began = time.monotonic()
                await discovery.drain()
            await until(lambda: s.drained)
            assert s.drained - began < 0.08 + 0.1 and not s.failures  # the longest pause here, and the call
            s.watch.close()

    run(case())


def test_times_of_a_watch_fit_into_the_notification_time() -> None:
    """A silent watch ends after its wait and grace; the next call may be refused once and queued 2 s."""
    turn = timedelta(seconds=2)
    for limits in (Limits(), Limits.fit(256, 32, 100, timedelta(seconds=0.5), timedelta(seconds=5))):
        given_up = limits.watch_max + limits.watch_grace
        assert given_up + limits.retry + turn < timedelta(seconds=NOTIFIED_AFTER_S)
        assert limits.watch_interval < timedelta(milliseconds=200)  # the next call continues the watch
        # One unanswered call, then one that is answered.
        assert limits.fetch + turn < timedelta(seconds=NOTIFIED_AFTER_S)
        # After any number of failures, from discovery's return: the longest pause, one refusal and its turn.
        assert limits.retry_max + limits.connect + limits.retry + turn < timedelta(seconds=NOTIFIED_AFTER_S)


def test_an_outage_logs_one_line_and_its_end_another() -> None:
    async def case() -> None:
        discovery = QueuedDiscovery()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)
            with capture_logs() as logs:
                discovery.calls_to_refuse, discovery.open_watches = 6, set()
                await until(lambda: not discovery.calls_to_refuse)
                await discovery.drain()
                await until(lambda: s.drained)
            of_the_list = [entry for entry in logs if entry["event"].startswith("server_list_")]
            first, last = (entry for entry in logs if entry not in of_the_list)
            assert (first["event"], last["event"]) == ("discovery_failed", "discovery_back")
            assert first["reason"] == "status 503" and last["failures"] == 6
            received = [entry for entry in of_the_list if entry["event"] == "server_list_received"]
            assert [(entry["previous"], entry["version"]) for entry in received] == [(1, 2)]
            s.watch.close()

    run(case())


def test_older_lists_are_accepted_after_the_longest_wait() -> None:
    async def case() -> None:
        discovery = QueuedDiscovery()
        discovery.rev, discovery.state = 7, "up"
        async with discovery.serving() as address:
            s = Scheduler(address, replace(SHORT, older_list_wait=timedelta(seconds=0.5)), 1)
            await until(lambda: len(discovery.calls) > 2)
            calls, began = len(discovery.calls), time.monotonic()
            discovery.rev, discovery.state, discovery.resends_list = 3, "draining", True
            await until(lambda: s.drained)
            assert 0.4 < s.drained - began < 1.0 and len(discovery.calls) - calls < 25
            s.watch.close()

    run(case())


@pytest.mark.parametrize("behaviour", ["answers_at_once", "resends_list"])
def test_discovery_that_answers_at_once_is_called_no_faster_than_the_pace(behaviour: str) -> None:
    """Whether it reports no change or resends its whole list; a drain is learned of all the same."""
    async def case() -> None:
        discovery = QueuedDiscovery()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)
            setattr(discovery, behaviour, True)
            calls, began = len(discovery.calls), time.monotonic()
            await until(lambda: len(discovery.calls) >= calls + 20)
            pace = SHORT.watch_interval.total_seconds()
            # All calls but the first start at least one watch_interval after the previous one.
            assert time.monotonic() - began > (len(discovery.calls) - calls - 1) * pace
            began = time.monotonic()
            await discovery.drain()
            await until(lambda: s.drained)
            assert s.drained - began < pace + 0.1 and len(discovery.open_watches) == 1 and not s.failures
            s.watch.close()

    run(case())


def test_new_and_moved_processes_learn_of_a_drain_soon() -> None:
    async def case() -> None:
        previous, discovery = QueuedDiscovery(), QueuedDiscovery()
        await discovery.drain()
        async with previous.serving() as before, discovery.serving() as address:
            began, fresh, moved = time.monotonic(), Scheduler(address, SHORT, 1), Scheduler(before, SHORT, 2)
            await until(lambda: previous.open_watches and fresh.drained)
            assert fresh.drained - began < 0.3
            discovery.calls_to_refuse, began = 4, time.monotonic()
            moved.watch.move(address)
            await until(lambda: moved.drained)
            assert moved.drained - began < 0.7 and not moved.failures
            for s in (fresh, moved):
                s.watch.close()

    run(case())


def closing_after_answer(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(whole.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
    writer.close()


def test_pushed_list_stays_valid_if_discovery_closes_each_connection() -> None:
    """Where lists are pushed, changes count at once without a watch, so it must be reopened at once."""
    async def case() -> None:
        discovery = QueuedDiscovery()
        async with discovery.serving() as address:
            known = listing(1, target("s-1"), whole=True)
            watch = Watch(address, NAMES, SHORT, known, lambda _: None, 1, pushed=True)
            discovery.corrupt = closing_after_answer
            watch.subscribe()
            await watch.first_list(timedelta(seconds=5))
            expired, deadline = 0, time.monotonic() + 0.5
            while time.monotonic() < deadline:
                discovery.corrupt = closing_after_answer
                expired += watch.list_expired()
                await asyncio.sleep(0.001)
            assert expired <= 10  # each time only for the few milliseconds that a call takes
            watch.close()

    run(case())


def test_discovery_that_closes_each_connection_is_called_no_more_often() -> None:
    async def case() -> None:
        discovery = QueuedDiscovery()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            deadline = time.monotonic() + 0.5
            while time.monotonic() < deadline:
                discovery.corrupt = closing_after_answer
                await asyncio.sleep(0.001)
            assert 5 <= len(discovery.calls) <= 12
            s.watch.close()

    run(case())


def test_a_list_that_is_pushed_is_not_kept_by_calls_without_an_answer() -> None:
    """Guards against sends by an old list: a silent agent was taken for one that learns nothing."""
    async def case() -> None:
        discovery = QueuedDiscovery()
        limits = replace(SHORT, notified_after=timedelta(milliseconds=300))
        async with discovery.serving() as address:
            known = listing(1, target("s-1"), whole=True)
            watch = Watch(address, NAMES, limits, known, lambda _: None, 1, pushed=True)
            watch.subscribe()
            await watch.first_list(timedelta(seconds=5))
            discovery.unanswered, discovery.calls_to_ignore = set(discovery.open_watches), 1000
            await asyncio.sleep(0.7)  # longer than the lease
            for _ in range(70):  # several calls without an answer
                assert watch.list_expired()
                await asyncio.sleep(0.01)
            watch.close()

    run(case())
