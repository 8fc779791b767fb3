"""The worker transport against a stand-in worker: outcomes, cancellation, the pool and late answers."""

import asyncio
from collections import Counter
from contextlib import suppress
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import STEADY, Answers, HttpWorker, http_message, run, until
from tornado.ioloop import IOLoop

from hazellead.core.clock import Clock
from hazellead.core.jobs import Attempt, Job
from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api
from hazellead.decide.interface import Outcome
from hazellead.limits import Limits
from hazellead.net import streams
from hazellead.platform.workers import HttpWorkers, WorkerEndpoint

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
STATES = {"done": Outcome.SERVED, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
ANSWERS = {b"503\r\nX-Never-Ran: 1": Outcome.FULL, b"504\r\nX-Never-Ran: 1": Outcome.FULL,
           b"503": Outcome.ERROR, b"504": Outcome.ERROR, b"500": Outcome.ERROR, b"404": Outcome.CANCELLED,
           b"202": None, b"": Outcome.RESET}


CLOCK = Clock()  # shared by both sides, as in the program: two clocks would differ slightly


class SchedulerStub:
    """Stands in for the scheduler and records what attempts report to it."""

    def __init__(self) -> None:
        self.open, self.ended, self.began = True, list[tuple[Outcome | None, bytes]](), 0
        self.written, self.needed = 0, True

    def may_begin(self, _: Attempt) -> bool:
        return self.open and self.needed

    def attempt_written(self) -> None:
        self.written += 1

    def attempt_began(self, _: Attempt) -> None:
        self.began += 1

    def attempt_progressed(self, _: Attempt, share: float) -> None:
        self.began += 1

    def attempt_ended(self, attempt: Attempt, result: bytes) -> None:
        self.ended.append((attempt.outcome, result))

    def attempt(self, number: int = 0) -> Attempt:
        now = CLOCK.now()
        job = Job("77", "/post-payment?a=b", b"body", 0, 0, timedelta(seconds=5))
        return Attempt(self, 1, number, 1, job, now, now + timedelta(seconds=5))  # type: ignore[arg-type]


class OneWorkerDirectory:
    """A directory of one worker."""

    def __init__(self, port: int) -> None:
        self.port = port

    def endpoint(self, number: int) -> WorkerEndpoint:
        return WorkerEndpoint(f"s-{number}", "127.0.0.1", self.port)

    def name(self, number: int) -> str:
        return f"s-{number}"

    def subscribe(self) -> None:
        pass

    def list_expired(self) -> bool:
        return False


def transport(port: int, **limits: Any) -> HttpWorkers:
    return HttpWorkers(OneWorkerDirectory(port), Limits(**limits), CLOCK)


@STEADY
@given(st.sampled_from(sorted(ANSWERS)),
       st.lists(st.sampled_from(["started", "running", *STATES]), max_size=3), st.booleans(), st.booleans())
def test_first_final_report_ends_the_attempt_once(
    answer: bytes, states: list[str], callbacks_first: bool, other: bool,
) -> None:
    async def case() -> None:
        core, may_answer = SchedulerStub(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first, headers, body = await http_message(reader)
            assert first == "POST /post-payment?a=b HTTP/1.1"
            assert (headers["x-trace-id"], body) == ("77", b"body")
            assert 4_000_000 < int(headers["x-expires-in"][:-1]) <= 5_000_000
            await may_answer.wait()
            if answer:
                writer.write(b"HTTP/1.1 %s X" % answer[:3] + answer[3:] + b"\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1])
        workers.send(attempt := core.attempt())

        def call_back() -> None:
            for state in states:
                workers.call_back("77", "s-2" if other else "s-1", state, "r" if state == "done" else 0.5)

        if callbacks_first:
            call_back()
        may_answer.set()
        await until(lambda: attempt not in workers.tasks)
        if not callbacks_first:
            call_back()
        from_callbacks = [] if other else [STATES[s] for s in states if s in STATES]
        from_answer = [ANSWERS[answer]] if ANSWERS[answer] else []
        order = [*from_callbacks, *from_answer] if callbacks_first else [*from_answer, *from_callbacks]
        assert core.ended == [(o, b"r" if o is Outcome.SERVED else b"") for o in order[:1]]
        server.close()

    run(case())


def test_worker_is_blamed_from_the_second_rejection_in_a_row() -> None:
    async def case() -> None:
        core, worker = SchedulerStub(), HttpWorker("s-1", Counter(), lambda: 0)
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


def test_attempt_that_is_not_sent_never_ran() -> None:
    async def case() -> None:
        core, sent = SchedulerStub(), Counter[bytes]()
        workers = transport(1)  # nothing listens there
        workers.send(core.attempt())
        await until(lambda: core.ended)
        async with HttpWorker("s-1", sent, lambda: 0).serving() as worker:
            core.open = False  # the worker drains while the connection is opened
            workers = transport(worker.port)
            workers.send(core.attempt())
            await until(lambda: len(core.ended) == 2)
            core.open, core.needed = True, False  # another copy was served meanwhile, or the client has left
            workers.send(core.attempt())
            await until(lambda: len(core.ended) == 3)
        assert [o for o, _ in core.ended] == [Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MOOT] and not sent

    run(case())


def test_nothing_is_sent_to_a_workers_previous_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The worker moved while the connection was opened; another server may listen at its old address now."""
    connect = streams.connect

    async def connect_late(*args: Any) -> Any:
        await asyncio.sleep(0.05)
        return await connect(*args)

    async def case() -> None:
        monkeypatch.setattr(streams, "connect", connect_late)
        core, sent = SchedulerStub(), Counter[bytes]()
        async with HttpWorker("s-1", sent, lambda: 0).serving() as worker:
            directory = OneWorkerDirectory(worker.port)
            workers = HttpWorkers(directory, Limits(), CLOCK)
            workers.send(core.attempt())
            directory.port = 1
            await until(lambda: core.ended)
            assert core.ended[0][0] is Outcome.MOOT and not sent

    run(case())


@pytest.mark.parametrize("window", [100, 2000])
def test_guarded_retry_is_not_written_past_its_window(
    window: int, monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The settings expect connects of 1 ms, but the connection for the retry takes 200 ms."""
    connect, postings = streams.connect, Counter[str]()

    async def connect_late(*args: Any) -> Any:
        await asyncio.sleep(0.2 if postings else 0)
        return await connect(*args)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            _, headers, _ = await http_message(reader)
            postings[headers["x-trace-id"]] += 1
            await asyncio.sleep(0.05)  # an abort at once would not be retried: the job might kill workers
            writer.transport.abort()  # it may have run

    async def case() -> None:
        monkeypatch.setattr(streams, "connect", connect_late)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        guarded = api.JobClass(50_000, 5_000_000, api.Effect.KEYED, "all", window * 1000, late_worth=0.5)
        site = api.Settings(classes=(guarded,), tick_us=1000, max_attempts=2, connect_timeout_us=1000,
                            reports=False, tells_start=True)
        scheduler = Scheduler(site, 7, Limits(), Clock(), IOLoop.current())
        directory = OneWorkerDirectory(server.sockets[0].getsockname()[1])
        scheduler.connect(HttpWorkers(directory, Limits(), Clock()), directory)  # type: ignore[arg-type]
        scheduler.on_list(api.WorkerList(api.ListKind.FULL, tuple(api.WorkerEntry(w) for w in (1, 2, 3))))
        reply = Answers()
        scheduler.submit(Job("77", "/a", b"", 0, 0, timedelta(seconds=5)), reply)
        await until(lambda: reply.final)
        assert reply.final == ["failed"] and postings["77"] == (1 if window == 100 else 2)
        server.close()

    run(case())


def test_job_returned_by_call_back_is_not_sent_there_again() -> None:
    async def case() -> None:
        core, sent = SchedulerStub(), Counter[bytes]()
        worker = HttpWorker("s-1", sent, lambda: 0)
        worker.states = []
        async with worker.serving():
            workers = transport(worker.port)
            workers.send(core.attempt())
            await until(lambda: sent)
            workers.call_back("77", "s-1", "returned", None)
            workers.send(core.attempt(1))
            workers.call_back("77", "s-1", "returned", None)  # a repeat: must not end the second attempt
            assert [o for o, _ in core.ended] == [Outcome.FULL, Outcome.MOOT] and sent[b"body"] == 1

    run(case())


@pytest.mark.parametrize("has_callback", [True, False])
def test_silent_worker_is_given_up_before_the_deadline(has_callback: bool) -> None:
    async def case() -> None:
        core, got, ended = SchedulerStub(), list[str](), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            got.append((await http_message(reader))[0])
            await reader.read()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1], accept=timedelta(seconds=0.1))
        workers.send(core.attempt())
        await until(lambda: got)
        if has_callback:
            workers.call_back("77", "s-1", "started", None)
            await asyncio.sleep(0.3)
            assert not core.ended and not ended.is_set()  # closing would stop a running job
            workers.call_back("77", "s-1", "done", "r")
        else:
            await ended.wait()
        assert [o for o, _ in core.ended] == [Outcome.SERVED if has_callback else Outcome.TIMED_OUT]
        server.close()

    run(case())


@pytest.mark.parametrize("accepted", [True, False])
def test_cancel_closes_before_the_202_and_deletes_after_it(accepted: bool) -> None:
    async def case() -> None:
        core, got, ended = SchedulerStub(), list[str](), asyncio.Event()

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


def test_pool_reuses_connections_until_closed_idle_or_released() -> None:
    async def case() -> None:
        opened = list[asyncio.StreamWriter]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        endpoint = WorkerEndpoint("s-1", "127.0.0.1", server.sockets[0].getsockname()[1])
        pool = transport(endpoint.port, worker_connections=1, worker_idle=timedelta(seconds=10)).pool

        async def use(count: int) -> None:
            pool.put_back(endpoint, await pool.acquire(endpoint))
            await until(lambda: len(opened) >= count)
            assert len(opened) == count

        await use(1)
        await use(1)
        opened[0].close()
        await until(lambda: (pool.sweep(), not pool.idle_count(endpoint))[1])
        await use(2)
        pool.close_idle(endpoint)
        await use(3)
        stream = await pool.acquire(endpoint)
        with pytest.raises(OSError):
            await pool.acquire(endpoint)
        pool.put_back(endpoint, stream)
        idle = transport(endpoint.port, worker_idle=timedelta(0)).pool
        idle.put_back(endpoint, await idle.acquire(endpoint))
        idle.sweep()
        assert not idle.idle_count(endpoint)
        server.close()

    run(case())


class AnswersTwice:
    """A worker that answers its first request with ``status`` and later ones with 202."""

    def __init__(self, status: bytes, *, again: bool = True) -> None:
        self.status, self.again, self.got = status, again, list[str]()
        self.writers = list[asyncio.StreamWriter]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                _, headers, _ = await http_message(reader)
                self.got.append(headers["x-trace-id"])
                await asyncio.sleep(0.02)  # the client is already reading when the answer arrives
                writer.write(ACCEPTED if len(self.got) > 1 else self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    @property
    def answer(self) -> bytes:
        return b"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n" % self.status


@pytest.mark.parametrize("swept", [False, True])
def test_second_answer_on_an_idle_connection_is_not_taken_for_the_next(swept: bool) -> None:
    """The stream has already read the second answer, so that peeking at the socket finds nothing."""
    async def case() -> None:
        core, worker = SchedulerStub(), AnswersTwice(b"202")
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1])
        workers.send(first := core.attempt())
        await until(lambda: first not in workers.tasks)
        worker.writers[0].write(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.05)  # the event loop has read it
        if swept:
            workers.pool.sweep()
            assert not workers.pool.count()
        workers.send(second := core.attempt(1))
        await until(lambda: second not in workers.tasks)
        assert not core.ended and len(worker.writers) == 2  # the second runs, on a connection of its own
        server.close()

    run(case())


@pytest.mark.parametrize("status", [b"503", b"500", b"404"])
def test_error_answers_close_the_connection_against_late_copies(status: bytes) -> None:
    """A late copy that arrives after the next job was written could not be told from that job's answer."""
    async def case() -> None:
        core, worker = SchedulerStub(), AnswersTwice(status + b" Full\r\nX-Never-Ran: 1\r\nX:")
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1])
        workers.send(first := core.attempt())
        await until(lambda: first not in workers.tasks)
        assert len(core.ended) == 1
        workers.send(second := core.attempt(1))
        await until(lambda: worker.got[1:] or len(core.ended) > 1)
        worker.writers[0].write(worker.answer)
        await until(lambda: second not in workers.tasks)
        assert len(core.ended) == 1 and len(worker.writers) == 2
        server.close()

    run(case())


def test_attempt_cancelled_as_its_202_arrives_is_deleted() -> None:
    """Closing the connection cancels it only before the 202, which the stream has already read here."""
    async def case() -> None:
        core, got, loop = SchedulerStub(), list[str](), asyncio.get_running_loop()
        may_answer = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    got.append((await http_message(reader))[0])
                    await may_answer.wait()
                    writer.write(ACCEPTED)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        workers = transport(server.sockets[0].getsockname()[1])
        workers.send(attempt := core.attempt())
        await until(lambda: got)
        task = workers.tasks[attempt]
        (reading,) = [t for t in asyncio.all_tasks() if "response" in repr(t.get_coro())]
        answered: list[bool] = []

        def look() -> None:
            if reading.done():
                answered.append(not task.done())
                attempt.end(Outcome.TIMED_OUT)
                workers.give_up(attempt)
            else:
                loop.call_soon(look)

        look()
        may_answer.set()
        await until(lambda: got[1:])
        assert answered == [True] and got[1] == "DELETE /jobs/77 HTTP/1.1"
        server.close()

    run(case())


def test_probe_outcomes() -> None:
    async def case() -> None:
        got: list[Outcome] = []
        async with HttpWorker("s-1", Counter(), lambda: 0).serving() as worker:
            transport(worker.port).probe(1, got.append)
            await until(lambda: got)
        transport(1).probe(1, got.append)
        await until(lambda: len(got) == 2)
        assert got == [Outcome.SERVED, Outcome.TIMED_OUT]

    run(case())
