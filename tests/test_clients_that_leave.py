"""Clients that leave with much of what they sent still unread, and ids that come again afterwards.

Guards against attempts that begin after their client has closed its connection, and against ids that run
twice.
"""

import asyncio
import socket
import time
from collections import Counter
from pathlib import Path

import pytest
from loopback import (
    GearmanPeer,
    GearmanWorker,
    HttpWorker,
    complete,
    http_message,
    run,
    scheduler,
    until,
    workers,
)
from test_full_speed import Installation, post
from test_gearman_front import ONE_WORKER

from hazellead.gearman.packets import Type, encode_packet

LATE_S = 0.1  # an attempt that begins later after its client has left counts as a lost request
HOLD_UP_S = 0.15  # of the test's own processes, between a worker's socket and its clock


class TimedWorker(HttpWorker):
    """A worker that records when each job comes, by its body."""

    def __init__(self, uid: str, port: int) -> None:
        super().__init__(uid, Counter(), lambda: port)
        self.times: list[float] = []

    async def call_back(self, identity: str, **event: object) -> int:
        if event["state"] == "started":
            self.times.append(time.monotonic())
            await asyncio.sleep(0.02)
        return await super().call_back(identity, **event)


def http_job(identity: str, size: int) -> bytes:
    return post("/post-payment", b"x" * size, f"X-Trace-Id: {identity}\r\nX-Customer: pohja-vesi\r\n")


def gearman_job(identity: str, size: int) -> bytes:
    return encode_packet(
        Type.SUBMIT_JOB, b"post_payment", identity.encode(), b"x" * size, response=False)


@pytest.mark.parametrize("size", [10, 3000])
@pytest.mark.parametrize("bytes_sent", [60_000, 400_000, 3_000_000])
@pytest.mark.parametrize("front", ["http", "gearman"])
def test_no_attempt_begins_for_a_client_that_has_left_with_much_unread(
    tmp_path: Path, front: str, bytes_sent: int, size: int,
) -> None:
    async def case() -> None:
        installation = Installation(tmp_path)
        installation.worker = worker = TimedWorker("h1", installation.http_port)
        encode = http_job if front == "http" else gearman_job
        port = installation.http_port if front == "http" else installation.gearman_port
        async with installation.running():
            data, left_at = bytearray(), list[float]()
            while len(data) < bytes_sent:
                data += encode(f"j{len(data)}", size)

            def client() -> None:
                with socket.create_connection(("127.0.0.1", port)) as sock:
                    sock.settimeout(2)
                    sock.sendall(data)
                left_at.append(time.monotonic())

            await asyncio.to_thread(client)
            await asyncio.sleep(1)
            late = [at - left_at[0] for at in worker.times if at > left_at[0] + LATE_S + HOLD_UP_S]
            assert not late, f"{len(late)} of {len(worker.times)}, the last after {late[-1]:.3f} s"

    run(case())


async def status_of(port: int, identity: str, body: bytes, expires: str) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = f"X-Trace-Id: {identity}\r\nX-Customer: pohja-vesi\r\nX-Expires-In: {expires}\r\n"
    writer.write(post("/post-payment", body, headers))
    first, _, _ = await http_message(reader)
    writer.close()
    return first.split()[1]


def test_an_id_that_has_run_is_refused_however_many_others_were_refused_since(tmp_path: Path) -> None:
    # Guards against: refused ids pushed out those that had run, of which only the newest are remembered.
    async def case() -> None:
        async with scheduler(tmp_path, "", ended_ids=20) as running:
            worker = HttpWorker("h1", Counter(), lambda: running.http_port)
            worker.states = [{"state": "started"}]
            async with worker.serving():
                running.rewrite_inventory(f"h1,127.0.0.1:{worker.port},http,tartu-dc,,up\n")
                await until(lambda: running.program.scheduler.has_available_workers)
                _, client = await asyncio.open_connection("127.0.0.1", running.http_port)
                client.write(http_job("ran", 7))
                await until(lambda: worker.postings[b"x" * 7])
                client.close()
                for i in range(30):
                    assert await status_of(running.http_port, f"n{i}", b"other", "0m") in ("429", "502")
                assert await status_of(running.http_port, "ran", b"x" * 7, "5000m") == "409"
                assert worker.postings == {b"x" * 7: 1}

    run(case())


def test_a_client_that_leaves_at_once_has_its_background_jobs_run_and_no_others(tmp_path: Path) -> None:
    async def case() -> None:
        postings: Counter[bytes] = Counter()
        async with scheduler(tmp_path, ONE_WORKER) as running, workers(
                running.port, GearmanWorker("post-1", postings)):
            leaving = await GearmanPeer.connect(running.port)
            leaving.send(Type.SUBMIT_JOB, b"post_payment", b"", b"nobody waits")
            leaving.send(Type.SUBMIT_JOB_BG, b"post_payment", b"", b"background")
            leaving.close()
            await until(lambda: postings[b"background"])
            await asyncio.sleep(0.1)
            assert postings == {b"background": 1}

    run(case())


async def complete_and_leave(peer: GearmanPeer, handle: bytes, workload: bytes) -> None:
    await complete(peer, handle, workload)
    peer.close()


def test_the_result_of_a_worker_that_leaves_right_after_it_counts(tmp_path: Path) -> None:
    async def case() -> None:
        worker = GearmanWorker("post-1", Counter(), complete_and_leave)
        async with scheduler(tmp_path, ONE_WORKER) as running, workers(running.port, worker):
            client = await GearmanPeer.connect(running.port)
            client.send(Type.SUBMIT_JOB, b"post_payment", b"", b"a")
            assert (await client.expect(Type.WORK_COMPLETE, Type.WORK_FAIL)).args[1:] == (b"posted a",)

    run(case())
