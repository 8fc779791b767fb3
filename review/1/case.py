"""While a process is replaced, a bad client sends the id of another client's open request."""

import asyncio
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

PATH, DEADLINE_S = "/post-payment", 5.0
HEADERS = {"X-Customer": "emajoe-energia"}
OWN_DEADLINE_S, CLIENTS = 2.8, 8
BAD_RUN_S, PAYMENT_RUN_S = 1.9, 1.9  # of a bad client's own job, and of a payment
KILL_AFTER_S = 3.7  # from SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Replace the process; then bad clients send the ids of payments that are open at the new one."""
    port, discovery = free_port(), Discovery(record)
    servers = [Server(f"s-{n}", record, port, lambda body: float(body)) for n in range(8)]
    for server in servers:
        await server.start()
        discovery.put(server.uid, server.port)
    await discovery.start()
    config = {
        "name": "n1", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": settings(tenants=[{"name": "emajoe-energia", "portion": 1.0, "quotaPerS": 200.0}])}
    first, second = Scheduler("first", record, folder), Scheduler("second", record, folder)
    await first.start(config | {"seed": "8c1f30d27a5be964"})
    await first.ready(port, "/up")
    body, bad_body, endings = f"{PAYMENT_RUN_S}".encode(), f"{BAD_RUN_S}".encode(), []

    # Clients that are going to misbehave each have a job of their own at the first process.
    bad_clients = [await Client(record, port).connect() for _ in range(CLIENTS)]
    own = [Job(f"own-{n}", OWN_DEADLINE_S) for n in range(CLIENTS)]
    own_answers = []
    for n, client in enumerate(bad_clients):
        own_answers.append(asyncio.ensure_future(client.request(own[n], PATH, bad_body, HEADERS)))
        await asyncio.sleep(0.03)
    if trouble:
        await second.start(config | {"seed": "1d0b6c55e2f7a913"})
        await second.ready(second.console)
        endings.append(asyncio.ensure_future(first.end(KILL_AFTER_S)))
    await asyncio.sleep(0.1)

    # Usual clients send payments; a new connection is the second process's.
    jobs = [Job(f"payment-{n}", DEADLINE_S) for n in range(CLIENTS)]
    clients = [await Client(record, port).connect() for _ in jobs]
    answers = [asyncio.ensure_future(client.request(job, PATH, body, HEADERS))
               for client, job in zip(clients, jobs, strict=True)]

    async def misbehave(n: int, bad_job: Job) -> None:
        await own_answers[n]
        if own[n].status == 200 and jobs[n].answered is None:
            record.write(f"bad client: sends the id of the open request {bad_job.id}")
            await bad_clients[n].request(bad_job, PATH, body, HEADERS)

    bad_jobs = [Job(job.id, DEADLINE_S) for job in jobs]
    await asyncio.wait([*answers, *map(asyncio.ensure_future, map(misbehave, range(CLIENTS), bad_jobs))],
                       timeout=2 * DEADLINE_S)
    await asyncio.gather(*endings)
    if not any(bad_job.last_byte for bad_job in bad_jobs):
        raise NotRunError("no payment was open when a bad client sent its id")

    broken = 0
    for job, bad_job in zip(jobs, bad_jobs, strict=True):
        runs = [run for server in servers for run in server.runs if run.job == job.id]
        record.write(f"judge: {job.id}: {len(runs)} attempts, at {', '.join(run.server for run in runs)}; "
                     f"client: {job.verdict(record.now())}; bad client: {bad_job.verdict(record.now())}")
        broken += len(runs) > 1 or bad_job.status == 200
    return BROKEN if broken else HELD


script(case, Path(__file__).resolve().parent)
