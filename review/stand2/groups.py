"""What the cases on guarded jobs share: workers by data centre, jobs that are lost late, and the check."""

import asyncio

from .lib import Worker, job_class, send, settings

GROUP_TTL_S = 7.5  # USER 2.1: "the render nodes of one data centre drop a repeat for 7.5 s"
DEADLINES_S = {"page-proof": 5.0, "print-submit": 20.0}  # USER 2.1 and 2.2: "given up after"
ZONES = ["vancouver", "surrey", "kamloops", "kelowna"]


def guarded_settings(name, zones=None):
    """Return settings whose one class is guarded, with one group for each data centre."""
    return settings(azs=zones or ZONES, requestClasses=[job_class(
        name, "guarded", int(DEADLINES_S[name] * 1e6), group="zone", keyTtlUs=int(GROUP_TTL_S * 1e6),
        aimUs=300000)])


class LosingWorker(Worker):
    """A worker whose jobs can be killed; its machine's agent then reports each as lost."""

    def lose_all(self):
        """Kill the jobs that run."""
        for job in list(self.jobs.values()):
            if job.timer:
                job.timer.cancel()
            del self.jobs[job.identity]
            self.case.say("lost", worker=self.uid, id=job.identity)
            self.report(job.identity, {"state": "lost"})


def submit(case, port, name, identity, work_s):
    """Send a job of a guarded class with its key; return the task of its Answer."""
    return asyncio.ensure_future(send(
        case, port, identity, f"{work_s} x".encode(), path=f"/{name}",
        expires_ms=int(DEADLINES_S[name] * 1000), wait_s=DEADLINES_S[name] + 1,
        extra=f"Idempotency-Key: key-{identity}\r\n"))


def check(case, workers):
    """Report each job that began in more than one data centre; ``workers`` has the zone of each worker."""
    first = {}
    runs = sorted((at, identity, worker.uid, zone) for worker, zone in workers.items()
                  for at, identity in worker.runs)
    for at, identity, uid, zone in runs:
        before = first.setdefault(identity, (at, uid, zone))
        if before[2] != zone:
            case.fault(f"{identity} began at {before[1]} in {before[2]} and {at - before[0]:.3f} s later "
                       f"at {uid} in {zone}")
