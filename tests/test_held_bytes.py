"""What many Gearman peers make the process hold is bounded, and other clients are served beside them.

Guards against a process over its memory limit: each connection had a bound of its own, all together none.
"""

import asyncio
from collections import Counter
from pathlib import Path

import pytest
from loopback import GearmanPeer, GearmanWorker, run, scheduler, until, workers
from test_gearman_front import ONE_WORKER, never_finish

from hazellead.gearman.packets import Type, encode_packet
from hazellead.net.budget import ByteBudget

BUFFERED = 200_000
LARGE = encode_packet(Type.SUBMIT_JOB, b"post_payment", b"", b"x" * 60_000, response=False)


async def serves(port: int) -> bool:
    client = await GearmanPeer.connect(port)
    client.send(Type.SUBMIT_JOB, b"post_payment_water", b"", b"usual")
    served = (await client.expect(Type.WORK_COMPLETE, Type.WORK_FAIL)).type == Type.WORK_COMPLETE
    client.close()
    return served


class AnsweringHolder:
    """A connection that answers when it gives way, and holds the answer for as long as it is not sent."""

    def __init__(self, budget: ByteBudget) -> None:
        self.budget, self.removable_bytes, self.gave_way = budget, 0, 0

    def hold(self, size: int) -> None:
        self.removable_bytes = size
        self.budget.update(self, size)

    def give_way(self) -> None:
        self.gave_way += 1
        self.hold(self.removable_bytes + 10)
        self.hold(0)


def test_connections_that_answer_as_they_give_way_do_so_once_each() -> None:
    # Guards against: the answer was counted, and the same connection asked to give way without an end.
    budget = ByteBudget(1000)
    holders = [AnsweringHolder(budget) for _ in range(2000)]
    for holder in holders[1:]:
        budget._counts[holder] = holder.removable_bytes = 100  # as if all had come at once
        budget.total += 100
    holders[0].hold(50)
    assert budget.total <= 1000 and max(h.gave_way for h in holders) == 1


@pytest.mark.parametrize("sent", ["half a job", "unread echoes", "unread lists"])
def test_peers_that_hold_most_give_way(tmp_path: Path, sent: str) -> None:
    data = {"half a job": LARGE[:-1],
            "unread echoes": encode_packet(Type.ECHO_REQ, b"x" * 60_000, response=False) * 300,
            "unread lists": b"workers\n" * 20_000}[sent]

    async def case() -> None:
        worker = GearmanWorker("post-1", Counter())
        async with scheduler(tmp_path, ONE_WORKER, buffered=BUFFERED) as running, workers(
                running.port, worker):
            running_worker = asyncio.ensure_future(worker.serve(running.port, b"post_payment_water"))
            assert running.program.gearman
            server, largest = running.program.gearman.server, 0
            peers = []
            for _ in range(10):
                peers.append(await GearmanPeer.connect(running.port))
                peers[-1].writer.transport.pause_reading()  # type: ignore[attr-defined]
                peers[-1].writer.write(data)
            for _ in range(20):
                await asyncio.sleep(0.02)
                largest = max(largest, server.budget.total)
            assert 0 < largest <= BUFFERED
            assert await serves(running.port)
            for peer in peers:
                peer.writer.transport.abort()
            await until(lambda: server.budget.total == 0)
            running_worker.cancel()

    run(case())


def test_the_bodies_of_open_jobs_are_bounded(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER, job_bytes=BUFFERED) as running, workers(
                running.port, GearmanWorker("post-1", postings, never_finish)):
            client = await GearmanPeer.connect(running.port)
            refused = 0
            for _ in range(10):
                client.writer.write(LARGE)
                await client.expect(Type.JOB_CREATED)
                client.send(Type.ECHO_REQ, b"")
                refused += (await client.packet()).type == Type.WORK_WARNING
                if refused:
                    await client.expect(Type.ECHO_RES)
            scheduler_ = running.program.scheduler
            assert scheduler_._body_bytes == 3 * 60_000 and refused == 7
            client.close()
            await until(lambda: not scheduler_.unanswered)

    run(case())
