"""Background jobs of Gearman clients: one that is acknowledged runs, or its client is told that it does not.

Guards against jobs that are answered JOB_CREATED and then silently dropped.
"""

import asyncio
from collections import Counter
from datetime import timedelta
from pathlib import Path

import pytest
from loopback import GearmanPeer, GearmanWorker, complete, run, scheduler, until, workers
from test_gearman_front import FINAL, ONE_WORKER

from hazellead.gearman.jobs import GearmanJob
from hazellead.gearman.packets import Packet, Type

BACKGROUND = [Type.SUBMIT_JOB_BG, Type.SUBMIT_JOB_HIGH_BG, Type.SUBMIT_JOB_LOW_BG]


async def slowly(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    await asyncio.sleep(0.02)
    await complete(peer, handle, workload)


async def fail(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    peer.send(Type.WORK_FAIL, handle)


async def submit_in_background(peer: GearmanPeer, work: bytes, unique: bytes = b"") -> Packet:
    peer.send(Type.SUBMIT_JOB_BG, b"post_payment", unique, work)
    return await peer.packet()


@pytest.mark.parametrize("kind", BACKGROUND)
@pytest.mark.parametrize("pipelined", [False, True])
def test_each_of_a_burst_is_refused_at_once_or_runs(tmp_path: Path, kind: Type, pipelined: bool) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER, requests=30) as running, workers(
                running.port, GearmanWorker("post-1", postings, slowly)):
            client, answers = await GearmanPeer.connect(running.port), list[Packet]()
            for i in range(120):
                client.send(kind, b"post_payment", b"", b"%d" % i)
                if not pipelined:
                    answers.append(await client.packet())
            while len(answers) < 120:
                answers.append(await client.packet())
            accepted = {b"%d" % i for i, a in enumerate(answers) if a.type == Type.JOB_CREATED}
            refused = [a for a in answers if a.type != Type.JOB_CREATED]
            assert accepted and refused
            assert {(a.type, a.args[0]) for a in refused} == {(Type.ERROR, b"refused")}
            assert all(a.args[1].startswith(b"refused: retry after ") for a in refused)
            await until(lambda: set(postings) >= accepted)
            await asyncio.sleep(0.05)
            assert set(postings) == accepted and set(postings.values()) == {1}

    run(case())


def test_an_acknowledged_job_that_is_refused_later_is_submitted_again(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        worker, grab_job = GearmanWorker("post-1", postings), timedelta(seconds=0.03)
        async with scheduler(tmp_path, ONE_WORKER, grab_job=grab_job) as running, workers(
                running.port, worker):
            worker.may_grab.clear()
            client, other = [await GearmanPeer.connect(running.port) for _ in range(2)]
            assert (await submit_in_background(client, b"a", b"key")).type == Type.JOB_CREATED
            other.send(Type.SUBMIT_JOB, b"post_payment", b"key", b"a")
            await other.expect(Type.WORK_WARNING)  # one that waits is told at once
            assert (await other.packet()).type == Type.WORK_FAIL
            await asyncio.sleep(0.5)
            assert not postings
            worker.may_grab.set()
            await until(lambda: postings[b"a"])
            client.send(Type.ECHO_REQ, b"x")
            assert (await client.packet()).type == Type.ECHO_RES  # nothing else: its job has run
            assert postings == {b"a": 1}

    run(case())


def test_a_client_is_told_of_an_acknowledged_job_whose_time_has_passed_without_a_run(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        worker = GearmanWorker("post-1", postings)
        async with scheduler(tmp_path, ONE_WORKER, deadline=200) as running, workers(running.port, worker):
            worker.may_grab.clear()
            client = await GearmanPeer.connect(running.port)
            handle = (await submit_in_background(client, b"a")).args[0]
            final = await asyncio.wait_for(client.packet(), 1)
            assert (final.type, final.args[0]) == (Type.WORK_FAIL, handle) and not postings

    run(case())


def test_no_background_job_is_acknowledged_while_none_are_accepted(tmp_path: Path) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE_WORKER) as running:
            assert running.program.gearman
            running.program.gearman.submissions._takes_jobs = lambda: False
            client = await GearmanPeer.connect(running.port)
            assert (await submit_in_background(client, b"a")).type == Type.ERROR

    run(case())


def test_a_client_is_told_of_an_acknowledged_job_that_does_not_run_before_the_end(tmp_path: Path) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE_WORKER) as running:
            frontend = running.program.gearman
            assert frontend
            client = await GearmanPeer.connect(running.port)
            handle = (await submit_in_background(client, b"a")).args[0]
            gearman_job = frontend.submissions.table.live[handle]
            gearman_job.refused(timedelta(seconds=60))
            assert gearman_job.handle in frontend.submissions.table.live
            frontend.submissions.finish()
            assert (await client.packet()).type == Type.WORK_WARNING
            final = await client.packet()
            assert (final.type, final.args[0]) == (Type.WORK_FAIL, handle)
            assert not frontend.submissions.table.live

    run(case())


def test_a_key_whose_job_has_failed_is_not_acknowledged(tmp_path: Path) -> None:
    # Guards against: JOB_CREATED for a job that is not run, since the outcome of its key is remembered.
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER) as running, workers(
                running.port, GearmanWorker("post-1", postings, fail)):
            client = await GearmanPeer.connect(running.port)
            client.send(Type.SUBMIT_JOB, b"post_payment", b"key", b"a")
            await client.expect(*FINAL)
            assert (await submit_in_background(client, b"a", b"key")).args[0] == b"failed"
            assert postings == {b"a": 1}

    run(case())


def test_background_jobs_that_wait_to_be_submitted_again_are_bounded(tmp_path: Path) -> None:
    async def case() -> None:
        async with scheduler(tmp_path, ONE_WORKER, requests=5) as running:
            assert running.program.gearman
            table, refused = running.program.gearman.submissions.table, list[GearmanJob]()
            client = await GearmanPeer.connect(running.port)
            for i in range(20):
                await submit_in_background(client, b"%d" % i)
                for gearman_job in set(table.live.values()) - set(refused):
                    refused.append(gearman_job)
                    gearman_job.refused(timedelta(seconds=60))
            assert len(table.live) == 5

    run(case())
