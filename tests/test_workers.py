"""The worker transport against a stand-in worker: each outcome as the protocol's table has it, once."""

import asyncio
from collections import Counter
from datetime import UTC, datetime, timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import STEADY, HttpWorker, http_message, run, until

from hazellead.core.clock import Clock
from hazellead.core.jobs import Attempt, Job
from hazellead.decide.interface import Outcome
from hazellead.limits import Limits
from hazellead.platform.workers import HttpWorkers, Place

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
STATES = {"done": Outcome.SERVED, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
ANSWERS = {b"503\r\nX-Never-Ran: 1": Outcome.FULL, b"504\r\nX-Never-Ran: 1": Outcome.FULL,
           b"503": Outcome.ERROR, b"504": Outcome.ERROR, b"500": Outcome.ERROR, b"404": Outcome.CANCELLED,
           b"202": None, b"": Outcome.RESET}


class Core:
    """Stands in for the scheduler."""

    def __init__(self) -> None:
        self.open, self.ended, self.began = True, list[tuple[Outcome | None, bytes]](), 0
        self.written, self.wanted = 0, True

    def awaits_answer(self, _: int) -> bool:
        return self.wanted

    def open_to_work(self, _: int) -> bool:
        return self.open

    def attempt_written(self) -> None:
        self.written += 1

    def attempt_began(self, _: Attempt) -> None:
        self.began += 1

    def attempt_progressed(self, _: Attempt, share: float) -> None:
        self.began += 1

    def attempt_ended(self, attempt: Attempt, result: bytes) -> None:
        self.ended.append((attempt.outcome, result))

    def attempt(self, number: int = 0) -> Attempt:
        now = datetime.now(UTC)
        job = Job("77", "/post-payment?a=b", b"body", 0, 0, timedelta(seconds=5))
        return Attempt(self, 1, number, 1, job, now, now + timedelta(seconds=5))  # type: ignore[arg-type]


class One:
    """A directory of one worker."""

    def __init__(self, port: int) -> None:
        self.port = port

    def place(self, _: int) -> Place:
        return Place("s-1", "127.0.0.1", self.port)


def transport(port: int, **limits: Any) -> HttpWorkers:
    return HttpWorkers(One(port), Limits(**limits), Clock())


@STEADY
@given(st.sampled_from(sorted(ANSWERS)),
       st.lists(st.sampled_from(["started", "running", *STATES]), max_size=3), st.booleans(), st.booleans())
def test_the_first_word_on_an_attempts_fate_counts_and_only_that(
    answer: bytes, states: list[str], early: bool, other: bool,
) -> None:
    async def case() -> None:
        core, go = Core(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first, headers, body = await http_message(reader)
            assert first == "POST /post-payment?a=b HTTP/1.1"
            assert (headers["x-trace-id"], body) == ("77", b"body")
            assert 4_000_000 < int(headers["x-expires-in"][:-1]) <= 5_000_000
            await go.wait()
            if answer:
                writer.write(b"HTTP/1.1 %s X" % answer[:3] + answer[3:] + b"\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1])
        workers.send(attempt := core.attempt())

        def call_back() -> None:
            for state in states:
                workers.call_back("77", "s-2" if other else "s-1", state, "r" if state == "done" else 0.5)

        if early:
            call_back()
        go.set()
        await until(lambda: attempt not in workers.tasks)
        if not early:
            call_back()
        told = [] if other else [STATES[s] for s in states if s in STATES]
        said = [ANSWERS[answer]] if ANSWERS[answer] else []
        order = [*told, *said] if early else [*said, *told]
        assert core.ended == [(o, b"r" if o is Outcome.SERVED else b"") for o in order[:1]]
        server.close()

    run(case())


def test_a_worker_is_blamed_for_rejecting_jobs_only_if_it_rejects_the_next_one_too() -> None:
    async def case() -> None:
        core, worker = Core(), HttpWorker("s-1", Counter(), lambda: 0)
        worker.states = []
        accepted = worker.reply
        async with worker.serving():
            workers = transport(worker.port)
            for number, reply in enumerate((b"400", b"202", b"400", b"404")):
                bad = b"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n" % reply
                worker.reply = accepted if reply == b"202" else bad
                workers.send(attempt := core.attempt(number))
                await until(lambda a=attempt: a not in workers.tasks)
        assert [o for o, _ in core.ended] == [Outcome.CANCELLED, Outcome.CANCELLED, Outcome.ERROR]

    run(case())


def test_what_is_never_sent_never_ran() -> None:
    async def case() -> None:
        core, sent = Core(), Counter[bytes]()
        workers = transport(1)  # nothing listens there
        workers.send(core.attempt())
        await until(lambda: core.ended)
        async with HttpWorker("s-1", sent, lambda: 0).serving() as worker:
            core.open = False  # told to drain while its connection was being opened
            workers = transport(worker.port)
            workers.send(core.attempt())
            await until(lambda: len(core.ended) == 2)
            core.open, core.wanted = True, False  # another copy was served meanwhile, or the client has left
            workers.send(core.attempt())
            await until(lambda: len(core.ended) == 3)
        assert [o for o, _ in core.ended] == [Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MOOT] and not sent

    run(case())


def test_a_worker_that_handed_a_job_back_by_call_back_does_not_get_it_again() -> None:
    async def case() -> None:
        core, sent = Core(), Counter[bytes]()
        worker = HttpWorker("s-1", sent, lambda: 0)
        worker.states = []
        async with worker.serving():
            workers = transport(worker.port)
            workers.send(core.attempt())
            await until(lambda: sent)
            workers.call_back("77", "s-1", "returned", None)
            workers.send(core.attempt(1))
            workers.call_back("77", "s-1", "returned", None)  # a repeat; it would pass for the second's end
            assert [o for o, _ in core.ended] == [Outcome.FULL, Outcome.MOOT] and sent[b"body"] == 1

    run(case())


@pytest.mark.parametrize("heard", [True, False])
def test_a_worker_that_says_nothing_at_all_is_not_waited_for_up_to_the_deadline(heard: bool) -> None:
    async def case() -> None:
        core, got, ended = Core(), list[str](), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            got.append((await http_message(reader))[0])
            await reader.read()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1], accept=timedelta(seconds=0.1))
        workers.send(core.attempt())
        await until(lambda: got)
        if heard:
            workers.call_back("77", "s-1", "started", None)
            await asyncio.sleep(0.3)
            assert not core.ended and not ended.is_set()  # to close would stop a job that runs
            workers.call_back("77", "s-1", "done", "r")
        else:
            await ended.wait()
        assert [o for o, _ in core.ended] == [Outcome.SERVED if heard else Outcome.TIMED_OUT]
        server.close()

    run(case())


@pytest.mark.parametrize("accepted", [True, False])
def test_giving_up_closes_before_the_202_and_deletes_after(accepted: bool) -> None:
    async def case() -> None:
        core, got, ended = Core(), list[str](), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    got.append((await http_message(reader))[0])
                    if accepted:
                        writer.write(ACCEPTED)
            except asyncio.IncompleteReadError:
                ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1])
        workers.send(attempt := core.attempt())
        await until(lambda: got and (attempt not in workers.tasks) == accepted)
        attempt.end(Outcome.TIMED_OUT)
        workers.give_up(attempt)
        if accepted:
            await until(lambda: got[1:] == ["DELETE /jobs/77 HTTP/1.1"])
        else:
            await ended.wait()
        assert len(core.ended) == 1
        server.close()

    run(case())


def test_a_connection_is_reused_unless_it_was_closed_idled_or_released() -> None:
    async def case() -> None:
        opened = list[asyncio.StreamWriter]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        place = Place("s-1", "127.0.0.1", server.sockets[0].getsockname()[1])
        pool = transport(place.port, worker_connections=1, worker_idle=timedelta(seconds=10)).pool

        async def use(count: int) -> None:
            pool.give(place, await pool.take(place))
            await until(lambda: len(opened) >= count)
            assert len(opened) == count

        await use(1)
        await use(1)
        opened[0].close()
        await until(lambda: (pool.sweep(), not pool.idle(place))[1])
        await use(2)
        pool.release(place)
        await use(3)
        stream = await pool.take(place)
        with pytest.raises(OSError):
            await pool.take(place)
        pool.give(place, stream)
        idle = transport(place.port, worker_idle=timedelta(0)).pool
        idle.give(place, await idle.take(place))
        idle.sweep()
        assert not idle.idle(place)
        server.close()

    run(case())


def test_probes_tell_live_workers_from_the_others() -> None:
    async def case() -> None:
        got: list[Outcome] = []
        async with HttpWorker("s-1", Counter(), lambda: 0).serving() as worker:
            transport(worker.port).probe(1, got.append)
            await until(lambda: got)
        transport(1).probe(1, got.append)
        await until(lambda: len(got) == 2)
        assert got == [Outcome.SERVED, Outcome.TIMED_OUT]

    run(case())
