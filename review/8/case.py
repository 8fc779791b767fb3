"""A configuration file in which a key is missing is put in place, then jobs fail at a worker."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2.groups import GROUP_TTL_S, ZONES, check  # noqa: E402
from stand2.lib import TENANTS, Discovery, Scheduler, Worker, job_class, main, send, settings  # noqa: E402

CLASS = "page-proof"
JOBS = 12


class FailingWorker(Worker):
    """A worker at which the first run of some jobs fails."""

    failed = set()

    def _finish(self, job):
        if not job.identity.startswith("job-") or job.identity in self.failed:
            super()._finish(job)
            return
        self.failed.add(job.identity)
        self.jobs.pop(job.identity, None)
        self.case.say("failed", worker=self.uid, id=job.identity)
        self.report(job.identity, {"state": "failed"})
        self._start_queued()


async def work(case):
    """Run the case."""
    discovery = Discovery(case)
    await discovery.serve()
    proof = job_class(CLASS, "guarded", 5000000, group="zone", keyTtlUs=int(GROUP_TTL_S * 1e6), aimUs=300000)
    print_submit = job_class("print-submit", "single_shot", 20000000, aimUs=400000)
    for key in ("group", "keyTtlUs"):  # these two are for guarded classes only
        del print_submit[key]
    table = settings(azs=ZONES, requestClasses=[proof, print_submit])
    table["specifics"] = {**table["specifics"], "classKind": [-1, -1], "classStretch": [1.75, 2.5]}
    scheduler = Scheduler(case, discovery, table)
    zones = {}
    for zone in ("vancouver", "kelowna"):
        worker = FailingWorker(case, f"s-{zone}", lambda: scheduler.port, slots=4)
        await worker.serve()
        discovery.put(worker.uid, worker.port, az=zone)
        zones[worker] = zone
    process = scheduler.start()
    await scheduler.ready()

    async def submit(identity, tenant):
        return await send(
            case, scheduler.port, identity, b"0.3 x", path=f"/{CLASS}", tenant=TENANTS[tenant % 7][0],
            extra=f"Idempotency-Key: key-{identity}\r\n")

    for n in range(7):
        await submit(f"warm-{n}", n)
    # The file with the missing key; the disruption is that it is put in place.
    path = case.tmp / f"{scheduler.name}-{scheduler.count}.json"
    content = json.loads(path.read_text())
    if case.trouble:
        del content["settings"]["requestClasses"][0]["group"]
    path.with_suffix(".new").write_text(json.dumps(content))
    path.with_suffix(".new").rename(path)
    case.end(process, signal.SIGHUP)
    await asyncio.sleep(1.2)
    answers = []
    for n in range(JOBS):
        answers.append(await submit(f"job-{n}", n))
        await asyncio.gather(*(submit(f"good-{n}-{m}", n + m) for m in range(3)))
    check(case, zones)
    print(answers)


main(work, Path(__file__).parent)
