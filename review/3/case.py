"""A process is replaced while the one before it still answers its last jobs; later it is replaced again."""

import asyncio
import sys
from itertools import count
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

PATH, DEADLINE_S, RUN_S, HANG_S = "/post-payment", 5.0, 0.3, 60.0
HEADERS = {"X-Customer": "emajoe-energia"}
YES_WITHIN_S = 6.0  # the new process gets 6 s to say yes
GAP_S = 0.5  # from SIGTERM to the old process to the next start of the program
KILL_AFTER_S = 3.7  # from SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s


async def case(record: Record, folder: Path, trouble: bool) -> int:
    """Replace the process three times under load."""
    port, discovery = free_port(), Discovery(record)
    servers = [Server(f"s-{n}", record, port, lambda body: float(body)) for n in range(8)]
    for server in servers:
        await server.start()
        discovery.put(server.uid, server.port)
    await discovery.start()
    config = {
        "name": "n1", "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": settings(tenants=[{"name": "emajoe-energia", "portion": 1.0, "quotaPerS": 200.0}])}
    numbers, jobs, stopped = count(), list[Job](), asyncio.Event()
    loop = asyncio.get_running_loop()

    async def client() -> None:
        while not stopped.is_set():  # a connection for a few jobs, then another
            connection = await Client(record, port).connect()
            for _ in range(3):
                job = Job(f"job-{next(numbers)}", DEADLINE_S)
                jobs.append(job)
                await connection.request(job, PATH, f"{RUN_S}".encode(), HEADERS)
                if job.answered is None or stopped.is_set():
                    break
                await asyncio.sleep(0.1)
            connection.writer.close()

    async def replace(name: str, old: Scheduler) -> Scheduler:
        """Start the program again; once it says yes, SIGTERM goes to the old process."""
        new = Scheduler(name, record, folder)
        await new.start(config)
        await new.ready(new.console, within_s=YES_WITHIN_S)
        endings.append(asyncio.ensure_future(old.end(KILL_AFTER_S)))
        return new

    endings = list[asyncio.Future[None]]()
    first = Scheduler("first", record, folder)
    await first.start(config)
    await first.ready(port, "/up")
    clients = [asyncio.ensure_future(client()) for _ in range(4)]
    await asyncio.sleep(1)
    hung = Job("hung", DEADLINE_S)  # on a server that hangs through the whole of the shutdown
    connection = await Client(record, port).connect()
    connection.write_head(hung, PATH, f"{HANG_S}".encode(), HEADERS)
    connection.write_body(hung, f"{HANG_S}".encode())
    hung_answer = asyncio.ensure_future(connection.answer(hung))
    await asyncio.sleep(1.5)
    second = await replace("second", first)
    if trouble:
        await asyncio.sleep(GAP_S)
    else:  # the next replacement begins only after the first old process has ended
        await asyncio.gather(*endings)
    third = await replace("third", second)
    at = loop.time()
    await asyncio.gather(*endings, hung_answer)
    await asyncio.sleep(max(0.0, at + 6 - loop.time()))
    failure = ""
    try:
        await replace("fourth", third)
        await asyncio.sleep(KILL_AFTER_S)
    except NotRunError as error:
        failure = str(error)
    stopped.set()
    await asyncio.wait(clients, timeout=DEADLINE_S + 1)

    if not any(job.status == 200 for job in jobs):
        raise NotRunError("nothing was served")
    done = {run.job for server in servers for run in server.runs if run.how == "done"}
    swallowed = [job for job in jobs if job.id in done and job.status != 200 and job.last_byte]
    for job in swallowed:
        record.write(f"judge: {job.id} has run and was reported as done: {job.verdict(record.now())}")
    record.write(f"judge: {len(jobs)} jobs, {sum(job.status == 200 for job in jobs)} served, "
                 f"{len(swallowed)} run, reported and not served")
    if failure:
        record.write(f"judge: the fourth process did not start: {failure}")
    return BROKEN if failure else HELD


script(case, Path(__file__).resolve().parent)
