"""After SIGTERM, jobs that would still run at the end of the process are refused at once.

A scheduler restarted without a successor accepted jobs for 2.5 s after SIGTERM whatever their run times, and
failed those still open at 3.6 s. Where jobs take minutes, 59 of 60 accepted in 5 s were failed
(``make capacity``, run ``restarted``). ``Scheduler.submit`` checked only whether that time was over, and did
not compare a job's expected run time with the time left. Without the fix five of the six tests below fail;
the program has not answered 0.5 s after the request.
"""

import asyncio
import signal
from collections import Counter
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from loopback import Answers, HttpWorker, free_port, http_post, run, until
from test_program import HEADERS, SETTINGS, program
from test_scheduler import MS, SITE, RecordingTransport

from hazellead.core.jobs import Job
from hazellead.core.scheduler import Scheduler
from hazellead.decide import interface as api
from hazellead.lab.time import VirtualTime
from hazellead.limits import Limits

END = 3600 * MS
MINUTES = api.Settings(
    classes=tuple(api.JobClass(60_000_000, 600_000_000, api.Effect.UNSAFE) for _ in range(2)),
    tenants=SITE.tenants, tick_us=4000, max_attempts=3, reports=False, tells_start=True)


class Case:
    """A scheduler with two job classes and eight workers that begin each job at once."""

    def __init__(self) -> None:
        self.time, self.worker = VirtualTime(), RecordingTransport()
        self.scheduler = Scheduler(
            MINUTES, 7, Limits(requests=100), self.time, self.time)  # type: ignore[arg-type]
        self.scheduler.connect(self.worker, self.worker)
        entries = tuple(api.WorkerEntry(w) for w in range(1, 9))
        self.scheduler.on_list(api.WorkerList(api.ListKind.FULL, entries))
        self.count = 0

    def submit(self, job_class: int = 0) -> Answers:
        reply = Answers()
        self.count += 1
        self.scheduler.submit(
            Job(f"id{self.count}", "/a", b"", job_class, 0, timedelta(seconds=600)), reply)
        return reply

    def start(self, job_class: int = 0) -> Answers:
        reply, before = self.submit(job_class), len(self.worker.sent)
        self.time.run(20 * MS)
        assert len(self.worker.sent) == before + 1
        self.worker.sent[-1].began()
        return reply

    def served_after(self, seconds: float, job_class: int = 0) -> None:
        self.start(job_class)
        self.time.run(timedelta(seconds=seconds))
        self.worker.sent[-1].end(api.Outcome.SERVED, b"x")
        self.time.run(20 * MS)


@pytest.mark.parametrize("ended", [True, False])
def test_a_job_that_would_outlast_the_end_is_refused_at_once(ended: bool) -> None:
    case = Case()
    if ended:
        case.served_after(60)
    running = case.start()
    case.time.run(timedelta(seconds=60))
    case.scheduler.end_by(case.time.now() + END)
    sent = len(case.worker.sent)
    for _ in range(5):
        assert case.submit().final == ["refused"]
        case.time.run(400 * MS)
    assert len(case.worker.sent) == sent
    case.time.run(timedelta(seconds=2))
    assert running.final == ["failed"], "it may have run"


def test_short_jobs_and_jobs_of_unknown_run_time_are_still_accepted() -> None:
    case = Case()
    case.served_after(0.5)
    case.scheduler.end_by(case.time.now() + END)
    known, unknown = case.submit(0), case.submit(1)
    case.time.run(100 * MS)
    assert not known.final and not unknown.final and len(case.worker.sent) == 3
    case.time.run(END - 500 * MS)
    assert case.submit(0).final == ["refused"], "half a second is not left"
    assert not case.submit(1).final


def test_a_waiting_job_that_would_outlast_the_end_is_refused_when_shutdown_begins() -> None:
    case = Case()
    case.served_after(60)
    case.worker.expired = True  # nothing is sent, so jobs wait
    waiting, other = case.submit(0), case.submit(1)
    case.time.run(20 * MS)
    case.scheduler.end_by(case.time.now() + END)
    assert waiting.final == ["refused"] and not other.final


def test_jobs_that_outlast_the_end_are_accepted_if_a_successor_continues_them() -> None:
    case = Case()
    case.served_after(60)
    case.scheduler.migrates_jobs = True
    case.scheduler.end_by(case.time.now() + END)
    assert not case.start().final


def test_after_sigterm_the_program_refuses_jobs_that_its_end_would_cut_off(tmp_path: Path) -> None:
    async def case() -> None:
        port, count = free_port(), Counter[bytes]()
        worker = HttpWorker("s-1", count, lambda: port)
        worker.states = [{"state": "started"}]
        settings: dict[str, Any] = SETTINGS | {"requestClasses": [
            row | {"aimUs": 3_000_000, "hardLimitUs": 60_000_000} for row in SETTINGS["requestClasses"]]}
        headers = HEADERS.replace("5000m", "60000m")
        async with worker.serving(), program(tmp_path, port, worker, settings=settings) as process:
            running = asyncio.ensure_future(http_post(port, "/post-payment", b"a", headers.format("a")))
            await until(lambda: count[b"a"])
            await asyncio.sleep(4)  # longer than a process has after SIGTERM
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            async with asyncio.timeout(0.5):
                status, got, _ = await http_post(port, "/post-payment", b"b", headers.format("b"))
            assert status == 429 and 0 < float(got["retry-after"]) <= 2
            assert (await running)[0] == 502 and count[b"b"] == 0
            assert await asyncio.wait_for(process.wait(), 5) == 0

    run(case())
