"""The scheduler with one built-in defect: ``python broken_scheduler.py DEFECT``.

The soak test's referee has to find a violation in the run of each.
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
    def response(*args: Any, **kwargs: Any) -> bytes:
        return http.response(*args, **kwargs) * 2

    server.response = response  # type: ignore[attr-defined]


def answers_late() -> None:
    """Add a second to each job's deadline, so that answers and cancellations come too late."""
    original = Scheduler.submit

    def submit(self: Scheduler, job: jobs.Job, reply: Any) -> int:
        object.__setattr__(job, "remaining", job.remaining + SECOND)
        return original(self, job, reply)

    Scheduler.submit = submit  # type: ignore[method-assign]


def never_answers() -> None:
    """Leave some requests without an answer and their connections open."""
    original = server.Exchange.respond

    def respond(self: server.Exchange, status: int, *args: Any, **kwargs: Any) -> None:
        if self.message.headers.get("x-trace-id", "").endswith("3"):
            return
        original(self, status, *args, **kwargs)

    server.Exchange.respond = respond  # type: ignore[method-assign]


def closes_unanswered() -> None:
    """Close some connections without an answer after their request has been read."""
    original = clients.HttpRequestHandler.handle

    def handle(self: clients.HttpRequestHandler, exchange: server.Exchange) -> None:
        if exchange.message.headers.get("x-trace-id", "").endswith("3"):
            exchange.answer.cancel()
            return
        original(self, exchange)

    clients.HttpRequestHandler.handle = handle  # type: ignore[method-assign]


def invents_results() -> None:
    """Answer 200 with a result that no worker returned."""
    original = clients.Reply.served

    def served(self: clients.Reply, result: bytes) -> None:
        original(self, b"made here")

    clients.Reply.served = served  # type: ignore[method-assign]


def ignores_drains() -> None:
    """Ignore all changes of the list after the first, and never let the list expire."""
    original = discovery.Watch._apply

    def apply(self: discovery.Watch, changes: Any, **kwargs: Any) -> None:
        if not self._servers or kwargs:
            original(self, changes, **kwargs)

    discovery.Watch._apply = apply  # type: ignore[method-assign]
    lease.MembershipLease.expired = lambda self, now: False  # type: ignore[method-assign]


def sends_twice() -> None:
    """Send each attempt to its worker twice."""
    original = workers.HttpWorkers._deliver

    async def carry(self: workers.HttpWorkers, attempt: Attempt, endpoint: workers.WorkerEndpoint) -> None:
        second_attempt = asyncio.ensure_future(original(self, attempt, endpoint))
        await original(self, attempt, endpoint)
        await second_attempt

    workers.HttpWorkers._deliver = carry  # type: ignore[method-assign]


def repeats_started_jobs() -> None:
    """Treat a job that a worker has started as one that it refused."""
    Attempt.began = lambda self: self.end(api.Outcome.FULL)  # type: ignore[method-assign]


def refuses_started_jobs() -> None:
    """Answer 429 instead of 502."""
    clients.Reply.failed = lambda self, reason: self.refused(SECOND)  # type: ignore[method-assign]


def serves_clients_that_left() -> None:
    """Delay each attempt by 0.5 s and don't cancel the jobs of clients that have left."""
    Scheduler.abandon = lambda self, number: None  # type: ignore[method-assign]
    original = workers.HttpWorkers.send

    def send(self: workers.HttpWorkers, attempt: Attempt) -> None:
        asyncio.get_running_loop().call_later(0.5, original, self, attempt)

    workers.HttpWorkers.send = send  # type: ignore[method-assign]


def overstates_time_left() -> None:
    """State a second more to workers than is left until the client's deadline."""
    original = workers.to_us
    workers.to_us = lambda span: original(span + SECOND)  # type: ignore[attr-defined]


def starts_slowly() -> None:
    """Start 11 s late."""
    time.sleep(11)


def crashes() -> None:
    """Exit with an error on SIGTERM."""
    def stop(self: program.Program) -> None:
        raise RuntimeError("built-in defect")

    program.Program.stop = stop  # type: ignore[method-assign,assignment]


DEFECTS: dict[str, Callable[[], None]] = {defect.__name__: defect for defect in (
    answers_twice, answers_late, never_answers, closes_unanswered, invents_results, ignores_drains,
    sends_twice, repeats_started_jobs, refuses_started_jobs, serves_clients_that_left,
    overstates_time_left, starts_slowly, crashes)}

if __name__ == "__main__":
    DEFECTS[sys.argv.pop()]()
    sys.exit(program.main())
