"""The life cycle under any order of calls, and a drain as clients see it."""

import asyncio
from collections import Counter
from datetime import UTC, datetime, timedelta
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from loopback import STEADY, HttpWorker, free_port, http_message, http_post, run, until
from test_program import HEADERS, get, program

from hazellead.lifecycle.phases import LifeCycle, Phase
from hazellead.limits import Limits
from hazellead.net import http

SETTLE, TAKE, SERVE = (timedelta(milliseconds=ms) for ms in (500, 1800, 2500))
LIMITS = Limits(drain_settle=SETTLE, drain_accept=TAKE, shutdown_accept=SERVE)


class Life(RuleBasedStateMachine):
    """Transitions and pauses in any order, checked against the documented behaviour."""

    def __init__(self) -> None:
        super().__init__()
        self.now = datetime(2026, 1, 1, tzinfo=UTC)
        self.life = LifeCycle(LIMITS, self.now)
        self.drained_at: datetime | None = None  # when the drain in force began
        self.ended_at: datetime | None = None  # when shutdown began
        self.handed_over = self.unreachable = False

    @rule(ms=st.sampled_from([1, 499, 501, 1300, 2600]))
    def wait(self, ms: int) -> None:
        self.now += timedelta(milliseconds=ms)

    @rule()
    def start(self) -> None:
        was = self.life.phase
        assert self.life.start(self.now) == (was is Phase.STARTING)
        assert self.life.phase is not Phase.STARTING, "start did not leave STARTING"

    @rule()
    def quiesce(self) -> None:
        if self.life.quiesce(self.now):
            assert self.life.phase is Phase.QUIESCED
            self.drained_at = self.now
        assert not self.life.quiesce(self.now), "repeating it changed something"

    @rule()
    def resume(self) -> None:
        if self.life.resume(self.now):
            assert self.drained_at and self.life.phase is Phase.READY
            self.drained_at = None
        assert not self.life.resume(self.now)

    @rule()
    def reload(self) -> None:
        was = self.life.phase, self.life.up, self.life.takes_jobs(self.now)
        self.life.set_limits(LIMITS)  # as SIGHUP may do
        assert was == (self.life.phase, self.life.up, self.life.takes_jobs(self.now))

    @rule()
    def hand_over(self) -> None:
        if self.life.hand_over(self.now):
            self.handed_over, self.unreachable, self.drained_at = True, False, None
        assert not self.life.hand_over(self.now)

    @rule()
    def lose_successor(self) -> None:
        if self.handed_over:
            self.life.lose_successor()
            self.unreachable = True
        assert self.life.reaches_successor is (self.handed_over and not self.unreachable)

    @rule()
    def take_back(self) -> None:
        assert self.life.take_back(self.now) == self.handed_over
        self.handed_over = self.unreachable = False

    @rule()
    def end(self) -> None:
        assert self.life.end(self.now) == (self.ended_at is None)
        self.ended_at = self.ended_at or self.now
        assert self.life.phase is Phase.ENDING

    @invariant()
    def up_only_while_jobs_are_accepted_here_or_by_a_successor(self) -> None:
        if self.life.up:
            assert self.handed_over or (
                self.life.takes_jobs(self.now) and not self.drained_at and not self.ended_at)
        if self.life.healthy:
            assert not self.ended_at

    @invariant()
    def jobs_and_connections_end_in_time(self) -> None:
        takes, idle = self.life.takes_jobs(self.now), self.life.ends_idle(self.now)
        if self.drained_at and not self.ended_at:
            assert takes == (self.now - self.drained_at < TAKE) and (
                idle == (self.now - self.drained_at >= SETTLE))
            assert self.life.ends_connections(self.now)
        if self.ended_at:
            assert not takes or self.now - self.ended_at < SERVE
            passes_on = self.handed_over and not self.unreachable
            assert idle or takes or passes_on, "idle connections that nothing will close"
        if not (self.drained_at or self.ended_at):
            assert takes and idle is self.unreachable
        if self.handed_over:  # connections are passed on and none is ended, or all are
            assert idle is self.unreachable
            assert self.life.ends_connections(self.now) is self.unreachable


Life.TestCase.settings = STEADY
TestLife = Life.TestCase


async def call(port: int, command: str) -> int:
    return await get(port, f"/admin/{command}", "PUT")


def test_a_drain_empties_the_scheduler_in_time_and_a_resume_ends_it(tmp_path: Path) -> None:
    async def case() -> None:
        port, console, count = free_port(), free_port(), Counter[bytes]()
        worker = HttpWorker("s-1", count, lambda: port)
        worker.states = [{"state": "started"}]
        async with worker.serving(), program(tmp_path, port, worker, console=f"127.0.0.1:{console}"):
            clock = asyncio.get_running_loop().time
            pairs = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
            for reader, writer in pairs:  # an idle one, a silent one, a worker's with a call-back
                if reader is not pairs[1][0]:
                    target = "/up" if reader is pairs[0][0] else "/v1/job-events"
                    body = b"" if target == "/up" else b'{"id":"9","from":"s","state":"done","result":""}'
                    writer.write(http.request("GET" if not body else "POST", target, "x", {}, body))
                    assert (await http_message(reader))[0].endswith("200 OK")
            first = asyncio.ensure_future(http_post(port, "/post-payment", b"a", HEADERS.format("1")))
            await until(lambda: count[b"a"])
            assert await call(console, "quiesce") == await call(console, "quiesce") == 200
            began = clock()
            assert await get(port, "/up") == 503 and await get(console, "/admin/health") == 200
            late = asyncio.ensure_future(http_post(port, "/post-payment", b"b", HEADERS.format("2")))
            await until(lambda: count[b"b"])  # still accepted
            for reader, writer in pairs[:2]:
                assert await reader.read() == b""  # closed without a reset
                writer.close()
            assert 0.4 < clock() - began < 1
            await asyncio.sleep(began + 1.9 - clock())
            status, headers, _ = await http_post(port, "/post-payment", b"c", HEADERS.format("3"))
            assert status == 429 and headers["connection"] == "close" and float(headers["retry-after"]) > 0
            assert not count[b"c"]
            for identity, waiting in (("1", first), ("2", late)):
                assert await worker.call_back(identity, state="done", result="r") == 200
                status, headers, body = await waiting
                assert (status, body, headers["connection"]) == (200, b"r", "close")
            reader, writer = pairs[2]  # the worker's connection is still open
            writer.write(http.request("POST", "/v1/job-events", "x", {}, b"{"))
            assert (await http_message(reader))[0].endswith("400 Bad Request")
            writer.close()
            assert await call(console, "resume") == await call(console, "resume") == 200
            assert await get(port, "/up") == 200
            worker.states = [{"state": "done"}]
            status, headers, body = await http_post(port, "/post-payment", b"d", HEADERS.format("4"))
            assert (status, body) == (200, b"posted d") and "connection" not in headers

    run(case())
