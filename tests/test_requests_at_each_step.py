"""Requests at every moment of a shutdown and of a hand-over, sent whole and in pieces.

On keep-alive connections a request starts every 12 ms from before SIGTERM until after the last close. Each is
answered, unless its idle connection is closed before any of it has been read.
"""

import asyncio
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from loopback import run

from hazellead.lab.soak.clients import ClientConnection
from hazellead.lab.soak.discovery import Discovery
from hazellead.lab.soak.processes import KILL_AFTER_S, TENANTS, Process, Slot, scheduler_command
from hazellead.lab.soak.records import Records, Request
from hazellead.lab.soak.referee import judge
from hazellead.lab.soak.servers import HOST
from hazellead.lab.soak.workers import Worker
from hazellead.net import http

SPACING_S = 0.012
PIECE_PAUSE_S = 0.006
DEADLINE_S = 3.0
SETTLE_S = 1.0
BATCH = 20


@dataclass
class RunningScheduler:
    """A scheduler process with its workers, to which clients connect."""

    slot: Slot
    records: Records
    count: int = 0

    async def connect(self) -> ClientConnection:
        _, line = await asyncio.get_running_loop().create_connection(ClientConnection, HOST, self.slot.port)
        return line

    async def send_request(self, line: ClientConnection, pieces: int) -> Request:
        """Send a request in ``pieces`` parts; wait for its answer or the end of its connection."""
        self.count += 1
        identity, now = f"n0-{self.count}", asyncio.get_running_loop().time
        headers = {"X-Trace-Id": identity, "X-Customer": TENANTS[self.count % 2], "X-Expires-In": "3000m"}
        data = http.request("POST", "/pay", "x", headers, b"0.02 x")
        line.finished.clear()
        request = Request(identity, "n0", "single_shot", DEADLINE_S, line.request_count == 0, False, now())
        line.request_count, line.request = line.request_count + 1, request
        if not line.open or line.transport.is_closing():
            return request
        self.records.requests[identity] = request
        size = -(-len(data) // pieces)
        for at in range(0, len(data), size):
            if at:
                await asyncio.sleep(PIECE_PAUSE_S)
            if not line.open:
                return request
            line.transport.write(data[at:at + size])
        request.last_byte = now()
        async with asyncio.timeout(DEADLINE_S + 2):
            await line.finished.wait()
        return request


@asynccontextmanager
async def running_scheduler(folder: Path) -> AsyncIterator[RunningScheduler]:
    """Run a scheduler process with six workers."""
    records = Records()
    slot, discovery = Slot(0, 1, folder, records, scheduler_command("-m hazellead")), Discovery(records)
    workers = [Worker(f"w{n}", records, lambda identity: slot.port) for n in range(6)]
    try:
        for worker in workers:
            await worker.start()
            discovery.add(worker)
        slot.discovery = await discovery.open_for(slot.name)
        assert await (await slot.start()).ready()
        yield RunningScheduler(slot, records)
    finally:
        await slot.close()
        for worker in workers:
            worker.close()
        for endpoint in discovery.endpoints.values():
            endpoint.close()


async def shut_down(slot: Slot) -> None:
    slot.alive[0].send(signal.SIGTERM)
    await asyncio.sleep(KILL_AFTER_S)


async def hand_over(slot: Slot) -> None:
    old = slot.alive[0]
    new: Process = await slot.start()
    assert await new.ready()
    old.send(signal.SIGTERM)
    await old.exited


@pytest.mark.parametrize("step", [shut_down, hand_over])
def test_a_request_that_has_begun_is_answered_during_shutdown_and_hand_over(
    step: Callable[[Slot], Awaitable[None]], tmp_path: Path,
) -> None:
    async def case() -> None:
        async with running_scheduler(tmp_path) as running:
            lines = [await running.connect() for _ in range(int((KILL_AFTER_S + SETTLE_S) / SPACING_S))]
            for at in range(0, len(lines), BATCH):  # so that all connections are kept and idle
                await asyncio.gather(*(running.send_request(line, 1) for line in lines[at:at + BATCH]))
            first_at = asyncio.get_running_loop().time() + 0.1
            step_task = asyncio.ensure_future(step(running.slot))

            async def delayed_request(n: int, line: ClientConnection) -> Request:
                await asyncio.sleep(max(0.0, first_at + n * SPACING_S - asyncio.get_running_loop().time()))
                return await running.send_request(line, 1 + n % 3)

            requests = await asyncio.gather(*(delayed_request(n, line) for n, line in enumerate(lines)))
            await step_task
            violations = judge(running.records)
            assert not violations, "\n".join(map(str, violations))
            assert sum(bool(r.answers) for r in requests) > len(requests) / 3

    run(case())
