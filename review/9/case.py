"""A worker is taken off the list while the scheduler's process is replaced, and its jobs are lost then."""

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2.groups import LosingWorker, check, guarded_settings, submit  # noqa: E402
from stand2.lib import BlockedError, Discovery, Scheduler, Worker, free_port, get, main  # noqa: E402

CLASS = "print-submit"
JOBS = 8
WORK_S = 8.0


async def work(case):
    """Run the case."""
    discovery = Discovery(case)
    await discovery.serve()
    scheduler = Scheduler(case, discovery, guarded_settings(CLASS), console=True)
    gone = LosingWorker(case, "s-kelowna", lambda: scheduler.port, slots=4)
    stays = Worker(case, "s-vancouver", lambda: scheduler.port, slots=8)
    zones = {gone: "kelowna", stays: "vancouver"}
    for worker, zone in zones.items():
        await worker.serve()
        discovery.put(worker.uid, worker.port, az=zone)
    old = scheduler.start()
    await scheduler.ready()
    for n in range(6):
        await submit(case, scheduler.port, CLASS, f"warm-{n}", 0.3)
    jobs = []
    for n in range(JOBS):
        jobs.append(submit(case, scheduler.port, CLASS, f"job-{n}", WORK_S))
        await asyncio.sleep(0.15)
    await asyncio.sleep(0.3)
    if case.trouble:  # the process is replaced: a second one starts, and says yes within 6 s
        scheduler.console = free_port()
        scheduler.start()
        until = case.now() + 6
        status = 0
        while status != 200 and case.now() < until:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                status = await get(scheduler.console, "/admin/health")
            await asyncio.sleep(0.05)
        if status != 200:
            raise BlockedError("the new process did not say yes within 6 s")
        case.say("new process says yes")
    discovery.put(gone.uid, gone.port, "removed", az="kelowna")
    await asyncio.sleep(0.3)
    if case.trouble:
        case.end(old)
    await asyncio.sleep(1.0)
    gone.lose_all()
    answers = await asyncio.gather(*jobs)
    check(case, zones)
    case.say("counts", began_at_the_lost=len(gone.runs), answers=[a.status for a in answers])
    print(answers)


main(work, Path(__file__).parent)
