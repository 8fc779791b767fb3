"""The scheduler, broken on purpose in one way: ``python broken_scheduler.py WAY``.

The soak test's referee has to catch each of these.
"""

import asyncio
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from hazellead import __main__ as program
from hazellead.core import jobs, lease
from hazellead.core.jobs import Attempt
from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api
from hazellead.net import http, server
from hazellead.platform import clients, discovery, workers

SECOND = timedelta(seconds=1)


def answers_twice() -> None:
    """Write each answer twice."""
    def doubled(*args: Any, **more: Any) -> bytes:
        return http.response(*args, **more) * 2

    server.response = doubled  # type: ignore[attr-defined]


def answers_late() -> None:
    """Wait for a second longer than the client does, and never give up an attempt in time."""
    before = Scheduler.submit

    def submit(self: Scheduler, job: jobs.Job, reply: Any) -> int:
        object.__setattr__(job, "remaining", job.remaining + SECOND)
        return before(self, job, reply)

    Scheduler.submit = submit  # type: ignore[method-assign]


def never_answers() -> None:
    """Leave some requests without an answer, and their connections open."""
    before = server.Exchange.respond

    def respond(self: server.Exchange, status: int, *args: Any, **more: Any) -> None:
        if self.message.headers.get("x-trace-id", "").endswith("3"):
            return
        before(self, status, *args, **more)

    server.Exchange.respond = respond  # type: ignore[method-assign]


def closes_unanswered() -> None:
    """Close some connections after their request has been read."""
    before = clients.HttpRequestHandler.handle

    def handle(self: clients.HttpRequestHandler, exchange: server.Exchange) -> None:
        if exchange.message.headers.get("x-trace-id", "").endswith("3"):
            exchange.answer.cancel()
            return
        before(self, exchange)

    clients.HttpRequestHandler.handle = handle  # type: ignore[method-assign]


def serves_its_own() -> None:
    """Answer 200 with a result that no worker made."""
    before = clients.Reply.served

    def served(self: clients.Reply, result: bytes) -> None:
        before(self, b"made here")

    clients.Reply.served = served  # type: ignore[method-assign]


def ignores_drains() -> None:
    """Hold every server for ready for ever, and every list for current."""
    before = discovery.Watch._apply

    def apply(self: discovery.Watch, given: Any, **more: Any) -> None:
        if not self._servers or more:
            before(self, given, **more)

    discovery.Watch._apply = apply  # type: ignore[method-assign]
    lease.MembershipLease.expired = lambda self, now: False  # type: ignore[method-assign]


def sends_twice() -> None:
    """Write each attempt a second time, whatever became of the first."""
    before = workers.HttpWorkers._deliver

    async def carry(self: workers.HttpWorkers, attempt: Attempt, endpoint: workers.WorkerEndpoint) -> None:
        again = asyncio.ensure_future(before(self, attempt, endpoint))
        await before(self, attempt, endpoint)
        await again

    workers.HttpWorkers._deliver = carry  # type: ignore[method-assign]


def repeats_what_may_have_run() -> None:
    """Take a job that a worker has begun for one that it has handed back."""
    Attempt.began = lambda self: self.end(api.Outcome.FULL)  # type: ignore[method-assign]


def refuses_what_may_have_run() -> None:
    """Answer 429 where 502 is due."""
    clients.Reply.failed = lambda self, reason: self.refused(SECOND)  # type: ignore[method-assign]


def serves_clients_that_left() -> None:
    """Send 0.5 s late, and go on for clients that have left."""
    Scheduler.abandon = lambda self, number: None  # type: ignore[method-assign]
    before = workers.HttpWorkers.send

    def send(self: workers.HttpWorkers, attempt: Attempt) -> None:
        asyncio.get_running_loop().call_later(0.5, before, self, attempt)

    workers.HttpWorkers.send = send  # type: ignore[method-assign]


def tells_too_much_time() -> None:
    """Tell workers a second more than the client has left."""
    before = workers.to_us
    workers.to_us = lambda span: before(span + SECOND)  # type: ignore[attr-defined]


def starts_slowly() -> None:
    """Be ready after 11 s."""
    time.sleep(11)


def crashes() -> None:
    """End with an error when SIGTERM comes."""
    def stop(self: program.Program) -> None:
        raise RuntimeError("on purpose")

    program.Program.stop = stop  # type: ignore[method-assign,assignment]


WAYS: dict[str, Callable[[], None]] = {way.__name__: way for way in (
    answers_twice, answers_late, never_answers, closes_unanswered, serves_its_own, ignores_drains,
    sends_twice, repeats_what_may_have_run, refuses_what_may_have_run, serves_clients_that_left,
    tells_too_much_time, starts_slowly, crashes)}

if __name__ == "__main__":
    WAYS[sys.argv.pop()]()
    sys.exit(program.main())
