"""A process is replaced at a site without tenants while a job runs that outlasts the old process."""

import asyncio
import os
import sys
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

    # A client writes slowly: its head comes before the replacement, its body 0.8 s after SIGTERM.
    slow, second = Job("slow-writer", DEADLINE_S), Scheduler("second", record, folder)
    body = f"{RUN_S}".encode()
    client = await Client(record, port).connect()
    if trouble:
        await second.start(config)
        await asyncio.sleep(0.2)
        client.write_head(slow, PATH, body, HEADERS)
        await second.ready(second.console)
        ending = asyncio.ensure_future(first.end(KILL_AFTER_S))
        await asyncio.sleep(0.8)
    else:
        second = first
        client.write_head(slow, PATH, body, HEADERS)
        await asyncio.sleep(0.8)
    client.write_body(slow, body)
    await asyncio.wait([asyncio.ensure_future(client.answer(slow))], timeout=DEADLINE_S + LATE_S)
    if trouble:
        await ending

    # A job runs on a server that hangs when SIGTERM comes. SIGKILL comes later than at the earliest, after
    # the job's time: by then its client is owed an answer, refused or failed.
    hung, body = Job("hung", DEADLINE_S), f"{HANG_S}".encode()
    third = Scheduler("third", record, folder)
    client = await Client(record, port).connect()
    client.write_head(hung, PATH, body, HEADERS)
    client.write_body(hung, body)
    answer = asyncio.ensure_future(client.answer(hung))
    if trouble:
        await third.start(config)
        await third.ready(third.console)
        ending = asyncio.ensure_future(second.end(2 * KILL_AFTER_S))
    await asyncio.wait([answer], timeout=DEADLINE_S + LATE_S)
    for job in (slow, hung):
        record.write(f"judge: {job.id}: {job.verdict(record.now())}")
    if trouble:
        record.write(f"judge: process second has {'ended' if second.exited else 'not ended'} by then")
        await ending

    lost = [job for job in (slow, hung) if job.answered is None]
    return BROKEN if lost else HELD


script(case, Path(__file__).resolve().parent)
