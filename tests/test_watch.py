"""What schedulers are told in time when watches fall silent, at a discovery that takes calls in turn."""

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

TOLD = 6.0  # after which what a silent watch misses counts as told
GRACE = 0.4  # for which a send may still go there
Wound = Callable[[asyncio.StreamWriter, bytes], None]


def told(rev: int, state: str, *, whole: bool) -> bytes:
    return json.dumps(listing(rev, target("s-1", state), whole=whole)).encode()


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Turns:
    """A discovery that takes calls that open a watch in turn, and turns those away that would wait long."""

    def __init__(self, each: float = 0.0, most: float = 2.0) -> None:
        self.each, self.most = each, most
        self.rev, self.free, self.away = 1, 0.0, 0
        self.calls, self.changed = list[str](), asyncio.Condition()
        self.deaf = set[asyncio.StreamWriter]()  # whose calls are never answered
        self.open = set[asyncio.StreamWriter]()
        self.refuse = self.ignore = 0  # calls to come that get 503, or nothing
        self.wound: Wound | None = None  # what becomes of the next answer
        self.resets = 0  # calls to come that end in a reset
        self.stale = False  # it tells its list whatever was asked for
        self.hasty = False  # it waits for no change
        self.state = ""  # of the one worker; else it drains once the version is over 1
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
        """Refuse connections and reset those that are open."""
        assert self.server
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        return address

    async def come_back(self, address: tuple[str, int]) -> None:
        """Accept again."""
        self.open = set()
        self.server = await asyncio.start_server(self._serve, *address)

    async def drain(self) -> None:
        """Tell that the one worker drains."""
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
            if writer in self.deaf:
                continue
            if self.resets:
                self.resets -= 1
                writer.transport.abort()
                return
            if writer not in self.open:
                if self.ignore:
                    self.ignore -= 1
                    continue
                now = time.monotonic()
                start = max(now, self.free)
                if self.refuse or start - now > self.most:
                    self.refuse, self.away = max(0, self.refuse - 1), self.away + 1
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.free = start + self.each
                await asyncio.sleep(self.free - now)
                self.open.add(writer)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(
                        lambda i=index: self.rev != i or self.stale or self.hasty), wait)
                except TimeoutError:
                    pass
            if writer in self.deaf:
                continue
            state = self.state or ("up" if self.rev == 1 else "draining")
            body = (told(self.rev, state, whole=index < 0 or self.stale) if self.rev != index
                    else json.dumps(listing(self.rev)).encode())
            wound, self.wound = self.wound, None
            (wound or asyncio.StreamWriter.write)(writer, answer(body))


class Scheduler:
    """A watch, and when it was told of the drain; asks again after a failure as the module does at first."""

    def __init__(self, address: tuple[str, int], limits: Limits, seed: int) -> None:
        self.drained, self.failures = 0.0, 0
        known = listing(1, target("s-1"), whole=True)
        self.watch = Watch(address, NAMES, limits, known, self.told, seed)
        self.watch.subscribe()

    def told(self, event: api.WorkerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.failures += 1
            pause = 0.375 * 2 ** min(self.failures - 1, 4)
            asyncio.get_running_loop().call_later(pause, self.watch.subscribe)
        elif any(e.phase is api.Phase.DRAINING for e in event.entries):
            self.drained = self.drained or time.monotonic()


def test_schedulers_whose_watches_fall_silent_together_are_all_told_in_time() -> None:
    async def case() -> None:
        count, discovery = 9, Turns(each=0.3)
        limits = Limits.fit(256, 32, 100, timedelta(seconds=0.25), timedelta(seconds=5))
        async with discovery.serving() as address:
            fleet = [Scheduler(address, limits, seed) for seed in range(count)]
            await until(lambda: len(discovery.open) == count)
            silent, discovery.deaf = time.monotonic(), set(discovery.open)
            await discovery.drain()
            await until(lambda: all(s.drained for s in fleet))
            assert max(s.drained for s in fleet) - silent < TOLD + GRACE
            for s in fleet:
                s.watch.close()

    run(case())


SHORT = replace(
    Limits(), watch_min=timedelta(milliseconds=50), watch_max=timedelta(milliseconds=100),
    watch_grace=timedelta(milliseconds=50), watch_interval=timedelta(milliseconds=20),
    fetch=timedelta(milliseconds=400), retry=timedelta(milliseconds=40),
    retry_max=timedelta(milliseconds=80))


def half(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(whole[: len(whole) - 20])


def cut(writer: asyncio.StreamWriter, whole: bytes) -> None:
    half(writer, whole)
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


def saying(body: bytes) -> Wound:
    return lambda writer, _: writer.write(answer(body))


def oversized(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n[" % (SHORT.worker_list + 1))


@pytest.mark.parametrize("refusals", [0, 3])
@pytest.mark.parametrize("each", [0.0, 0.2])
@pytest.mark.parametrize("wound", [None, half, endless])
def test_a_drain_that_a_silent_watch_missed_is_told_soon(
    wound: Wound | None, each: float, refusals: int,
) -> None:
    async def case() -> None:
        discovery = Turns(each)
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)  # it goes on
            discovery.wound, discovery.deaf = wound, set() if wound else set(discovery.open)
            discovery.refuse = refusals
            began = time.monotonic()
            await discovery.drain()
            await until(lambda: s.drained)
            assert s.drained - began < 0.7 + 0.08 * refusals
            assert not s.failures and discovery.away == refusals  # no word of it to the module
            s.watch.close()

    run(case())


@pytest.mark.parametrize(("wound", "words"), [
    (saying(b"{"), "not JSON"), (saying(b"{}"), "malformed list"),
    (saying(b'{"rev":2,"all":false,"targets":[{"uid":"s-1"}]}'), "malformed list"),
    (saying(told(2, "odd", whole=False)), "unknown state"),
    (saying(told(2, "up", whole=True).replace(b"127.0.0.1:80", b"x")), "endpoint is no address"),
    (saying(told(0, "up", whole=True)), "older than the list held (0 < 1)"),
    (saying(told(0, "up", whole=False)), "older than the list held (0 < 1)"),
    (saying(told(2, "up", whole=True).replace(b'"rev": 2', b'"rev": Infinity')), "malformed list"),
    (saying(told(2, "up", whole=True).replace(b'"boot_ms": 0', b'"boot_ms": 1e999')), "malformed list"),
    (saying(told(2, "up", whole=True).replace(b"true", b'"no"')), "all is true or false"),
    (saying(b'{"rev":2,"all":true,"targets":' + b"[" * 100_000), "not JSON"),
    (saying(b'{"rev":2,"all":true,"targets":["s-1"]}'), "malformed list"), (saying(b"[]"), "malformed list"),
    (oversized, "list over"), (endless, ""), (half, ""), (cut, ""), (reset, "")])
def test_a_list_that_cannot_be_read_changes_nothing_and_is_asked_for_again(wound: Wound, words: str) -> None:
    async def case() -> None:
        discovery = Turns()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)
            number, discovery.wound = s.watch.number("s-1"), wound
            with capture_logs() as logs:
                await discovery.drain()
                await until(lambda: s.drained)
            assert number and s.watch.place(number) is not None
            (line,) = [entry for entry in logs if entry["log_level"] == "warning"]
            assert words in line.get("reason", "")
            s.watch.close()

    run(case())


def test_a_call_that_should_open_a_watch_and_is_never_answered_is_repeated_at_once() -> None:
    async def case() -> None:
        discovery = Turns()
        await discovery.drain()
        async with discovery.serving() as address:
            discovery.ignore, began = 2, time.monotonic()
            s = Scheduler(address, SHORT, 1)
            await until(lambda: s.drained)
            assert s.drained - began < 2 * 0.4 + 0.2 and not s.failures
            s.watch.close()

    run(case())


@pytest.mark.parametrize("failing", ["refused", "reset", "down"])
def test_a_drain_is_told_within_a_second_of_a_discovery_that_can_be_reached_again(failing: str) -> None:
    """However long it failed: ten calls, after which the decisions' next try would be 6 s away."""
    async def case() -> None:
        discovery = Turns()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)  # the watch is open, and nothing was due
            if failing == "down":
                down, before = await discovery.go_down(), len(discovery.calls)
                await asyncio.sleep(0.9)
                assert len(discovery.calls) == before
                await discovery.drain()
                began = time.monotonic()
                await discovery.come_back(down)
            else:
                if failing == "refused":
                    discovery.refuse, discovery.open = 10, set()
                else:
                    discovery.resets = 10
                await until(lambda: not discovery.refuse and not discovery.resets)
                began = time.monotonic()
                await discovery.drain()
            await until(lambda: s.drained)
            assert s.drained - began < 0.08 + 0.1 and not s.failures  # the longest pause here, and the call
            s.watch.close()

    run(case())


def test_the_times_of_a_watch_fit_into_the_time_after_which_a_change_counts_as_told() -> None:
    """A silent watch is given up after its wait and grace; its next call may be refused once, and has 2 s."""
    turn = timedelta(seconds=2)
    for limits in (Limits(), Limits.fit(256, 32, 100, timedelta(seconds=0.5), timedelta(seconds=5))):
        given_up = limits.watch_max + limits.watch_grace
        assert given_up + limits.retry + turn < timedelta(seconds=TOLD)
        assert limits.watch_interval < timedelta(milliseconds=200)  # the next call continues the watch
        assert limits.fetch + turn < timedelta(seconds=TOLD)  # one call unanswered, then one that is
        # Any number of failures: from the return the longest pause, one refusal and its turn.
        assert limits.retry_max + limits.connect + limits.retry + turn < timedelta(seconds=TOLD)


def test_an_outage_is_one_line_and_its_end_another() -> None:
    async def case() -> None:
        discovery = Turns()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)
            with capture_logs() as logs:
                discovery.refuse, discovery.open = 6, set()
                await until(lambda: not discovery.refuse)
                await discovery.drain()
                await until(lambda: s.drained)
            assert [entry["event"] for entry in logs] == ["discovery_failed", "discovery_back"]
            assert logs[0]["reason"] == "status 503" and logs[1]["failures"] == 6
            s.watch.close()

    run(case())


def test_a_discovery_that_tells_nothing_but_older_lists_counts_again_after_the_longest_wait() -> None:
    async def case() -> None:
        discovery = Turns()
        discovery.rev, discovery.state = 7, "up"
        async with discovery.serving() as address:
            s = Scheduler(address, replace(SHORT, older_list_wait=timedelta(seconds=0.5)), 1)
            await until(lambda: len(discovery.calls) > 2)
            calls, began = len(discovery.calls), time.monotonic()
            discovery.rev, discovery.state, discovery.stale = 3, "draining", True
            await until(lambda: s.drained)
            assert 0.4 < s.drained - began < 1.0 and len(discovery.calls) - calls < 25
            s.watch.close()

    run(case())


@pytest.mark.parametrize("way", ["hasty", "stale"])
def test_a_discovery_that_answers_without_waiting_is_asked_no_faster_than_the_pace(way: str) -> None:
    """Whether it says that nothing is new or tells its whole list again; a drain is heard of all the same."""
    async def case() -> None:
        discovery = Turns()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            await until(lambda: len(discovery.calls) > 2)
            setattr(discovery, way, True)
            calls, began = len(discovery.calls), time.monotonic()
            await until(lambda: len(discovery.calls) >= calls + 20)
            pace = SHORT.watch_interval.total_seconds()
            # Of these calls' starts all but the first are at least the pace after the one before.
            assert time.monotonic() - began > (len(discovery.calls) - calls - 1) * pace
            began = time.monotonic()
            await discovery.drain()
            await until(lambda: s.drained)
            assert s.drained - began < pace + 0.1 and len(discovery.open) == 1 and not s.failures
            s.watch.close()

    run(case())


def test_a_new_process_and_a_moved_one_hear_of_a_drain_at_once_or_soon_after_refusals() -> None:
    async def case() -> None:
        former, discovery = Turns(), Turns()
        await discovery.drain()
        async with former.serving() as before, discovery.serving() as address:
            began, fresh, moved = time.monotonic(), Scheduler(address, SHORT, 1), Scheduler(before, SHORT, 2)
            await until(lambda: former.open and fresh.drained)
            assert fresh.drained - began < 0.3
            discovery.refuse, began = 4, time.monotonic()
            moved.watch.move(address)
            await until(lambda: moved.drained)
            assert moved.drained - began < 0.7 and not moved.failures
            for s in (fresh, moved):
                s.watch.close()

    run(case())


def ending(writer: asyncio.StreamWriter, whole: bytes) -> None:
    writer.write(whole.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
    writer.close()


def test_a_list_that_is_pushed_stays_in_force_where_discovery_ends_each_connection() -> None:
    """Without a watch what its agent has counts at once: each call must be answered at once, too."""
    async def case() -> None:
        discovery = Turns()
        async with discovery.serving() as address:
            known = listing(1, target("s-1"), whole=True)
            watch = Watch(address, NAMES, SHORT, known, lambda _: None, 1, pushed=True)
            discovery.wound = ending
            watch.subscribe()
            await watch.first_list(timedelta(seconds=5))
            expired, until_ = 0, time.monotonic() + 0.5
            while time.monotonic() < until_:
                discovery.wound = ending
                expired += watch.list_expired()
                await asyncio.sleep(0.001)
            assert expired <= 10  # each time for as long as a call takes, some milliseconds
            watch.close()

    run(case())


def test_a_discovery_that_ends_each_connection_is_asked_no_more_often() -> None:
    async def case() -> None:
        discovery = Turns()
        async with discovery.serving() as address:
            s = Scheduler(address, SHORT, 1)
            until_ = time.monotonic() + 0.5
            while time.monotonic() < until_:
                discovery.wound = ending
                await asyncio.sleep(0.001)
            assert 5 <= len(discovery.calls) <= 12
            s.watch.close()

    run(case())
