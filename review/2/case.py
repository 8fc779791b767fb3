"""A process is replaced at a site without tenants while a job runs that outlasts the old process."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    Client,
    Discovery,
    Job,
    NotRunError,
    Record,
    Scheduler,
    Server,
    free_port,
    script,
    settings,
)

PATH, DEADLINE_S, LATE_S = "/post-payment", 5.0, 0.55  # an answer up to 0.5 s late is not lost; 50 ms slack
HANG_S = 60.0
STAGGER_S, WHOLE_WITHIN_S = 0.25, 1.8  # between two clients; a request has 2 s to come whole
RUN_S = 4.2  # one payment's run: longer than the old process lasts, shorter than its client waits
KILL_AFTER_S = 3.7  # from SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s
# Not for the case itself: with CONTROL=tenants the site defines a tenant, and the rest is the same.
TENANTS = [{"name": "emajoe-energia", "portion": 1.0, "quotaPerS": 100.0}]
CONTROL = os.environ.get("CONTROL") == "tenants"
HEADERS = {"X-Customer": "emajoe-energia"} if CONTROL else {}


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Play two replacements; in each, one job outlasts the old process."""
    port = free_port()
    discovery = Discovery(record)
    servers = [Server(f"s-{n}", record, port, lambda body: float(body)) for n in range(3)]
    for server in servers:
        await server.start()
        discovery.put(server.uid, server.port)
    await discovery.start()
    config = {
        "name": "n1", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": settings(**({"tenants": TENANTS} if CONTROL else {}))}
    first = Scheduler("first", record, folder)
    await first.start(config)
    await first.ready(port, "/up")
    for n in range(3):  # ordinary jobs first: the process serves
        job = Job(f"ordinary-{n}", DEADLINE_S)
        await (await Client(record, port).connect()).request(job, PATH, b"0.1", HEADERS)
        if job.status != 200:
            raise NotRunError(f"an ordinary job is not served: {job.verdict(record.now())}")

    async def start(scheduler: Scheduler, each: Callable[[], Awaitable[None]]) -> None:
        """Start the program again; until it says yes, ``each`` is called every 0.25 s."""
        await scheduler.start(config)
        ready = asyncio.ensure_future(scheduler.ready(scheduler.console))
        while not ready.done():
            await each()
            await asyncio.wait([ready], timeout=STAGGER_S)
        await ready

    # Clients write slowly: their heads come before the replacement, their bodies 0.8 s after SIGTERM.
    slow, body = list[tuple[Job, Client, float]](), f"{RUN_S}".encode()

    async def begin_slowly() -> None:
        job = Job(f"slow-writer-{len(slow)}", DEADLINE_S)
        client = await Client(record, port).connect()
        client.write_head(job, PATH, body, HEADERS)
        slow.append((job, client, record.now()))

    second = Scheduler("second", record, folder) if trouble else first
    if trouble:
        await start(second, begin_slowly)
        ending = asyncio.ensure_future(first.end(KILL_AFTER_S))
    else:
        await begin_slowly()
    await asyncio.sleep(0.8)
    answers = []
    for job, client, began in slow:
        if record.now() - began < WHOLE_WITHIN_S:
            client.write_body(job, body)
            answers.append(asyncio.ensure_future(client.answer(job)))
    if not answers:
        raise NotRunError("the process took too long to start")
    await asyncio.wait(answers, timeout=DEADLINE_S + LATE_S)
    if trouble:
        await ending

    # Jobs are at a server that hangs when SIGTERM comes. SIGKILL comes later than at the earliest, after the
    # jobs' time: by then their clients are owed an answer, refused or failed.
    hung, answers = list[Job](), []

    async def hang() -> None:
        hung.append(Job(f"hung-{len(hung)}", DEADLINE_S))
        client = await Client(record, port).connect()
        answers.append(asyncio.ensure_future(client.request(hung[-1], PATH, f"{HANG_S}".encode(), HEADERS)))

    if trouble:
        third = Scheduler("third", record, folder)
        await start(third, hang)
        ending = asyncio.ensure_future(second.end(2 * KILL_AFTER_S))
    else:
        await hang()
    await asyncio.wait(answers, timeout=DEADLINE_S + LATE_S)
    jobs = [*(job for job, _, _ in slow), *hung]
    for job in jobs:
        record.write(f"judge: {job.id}: {job.verdict(record.now())}")
    if trouble:
        record.write(f"judge: process second has {'ended' if second.exited else 'not ended'} by then")
        await ending

    for scheduler in (first, second):
        errors = [line for line in scheduler.log(200).splitlines() if line.startswith("IndexError")]
        record.write(f"log of process {scheduler.name}: {', '.join(errors) or 'no exception'}")
    lost = [job for job in jobs if job.last_byte is not None and job.answered is None]
    return BROKEN if lost else HELD


script(case, Path(__file__).resolve().parent)
