"""Checks a run against the rules of the protocol, from the answers to clients and the workers' own records.

1. Each accepted job gets exactly one complete final answer, before its deadline; a served result comes from
   a worker.
2. A single-shot job starts at most once, and is not refused once it may have run; any job has at most
   three attempts, one at a time.
3. No attempt is sent to a worker later than 400 ms after its drain was announced or it left the list.
4. No cold worker crashes from overload.

The checker keeps its own records and shares no code with the scheduler.
"""

from dataclasses import dataclass, field

DRAIN_GRACE_US = 450_000  # 400 ms, and 50 ms more for delays on sockets
ANSWER_TOLERANCE_US = 50_000
MAX_ATTEMPTS = 3
NEVER_RAN = frozenset({"full", "connect failed", "moot"})


@dataclass(slots=True)
class _JobRecord:
    scheduler: str
    deadline_us: int
    client_waits: bool = True  # an answer is still owed to the client
    answer: str = ""
    starts: int = 0
    worker: str = ""  # that started the job last
    open_attempts: int = 0
    attempts: int = 0
    may_have_run: bool = False  # an attempt has ended in a way that does not rule out a start


@dataclass(slots=True)
class RuleChecker:
    """Receives every event of a run; ``violations`` lists broken rules, each by number and description."""

    violations: list[tuple[int, str]] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    job_starts: int = 0
    _jobs: dict[str, _JobRecord] = field(default_factory=dict)
    _unavailable_since_us: dict[tuple[str, str], int] = field(default_factory=dict)  # by scheduler and worker

    def job_accepted(self, identity: str, scheduler: str, deadline_us: int) -> None:
        """Record that a scheduler has accepted a job, whose client waits until ``deadline_us``."""
        if identity in self._jobs:
            self._report(1, f"{identity}: accepted twice")
        self._jobs[identity] = _JobRecord(scheduler, deadline_us)

    def client_left(self, identity: str) -> None:
        """Record that a job's client has closed its connection; no answer is owed any more."""
        if record := self._jobs.get(identity):
            record.client_waits = False

    def job_answered(self, identity: str, kind: str, at_us: int, from_worker: bool = True) -> None:
        """Record a final answer; ``from_worker``: a served result was produced by a worker for this job."""
        record = self._jobs.get(identity)
        if record is None:
            self._report(1, f"{identity}: answered but never accepted")
            return
        if record.answer:
            self._report(1, f"{identity}: {kind} after {record.answer}")
        if at_us > record.deadline_us + ANSWER_TOLERANCE_US and record.client_waits:
            self._report(1, f"{identity}: {kind} after its client's deadline")
        if kind == "served" and (not from_worker or not record.starts):
            self._report(1, f"{identity}: served a result that no worker produced")
        if kind == "refused" and (record.may_have_run or record.starts):
            self._report(2, f"{identity}: refused though it may have run")
        record.answer = kind
        self.answers[kind] = self.answers.get(kind, 0) + 1

    def attempt_sent(self, identity: str, scheduler: str, worker: str, at_us: int) -> None:
        """Record that an attempt has been sent to a worker."""
        record = self._jobs.get(identity)
        if record is None:
            self._report(2, f"{identity}: sent but never accepted")
            return
        record.attempts += 1
        if record.attempts > MAX_ATTEMPTS:
            self._report(2, f"{identity}: attempt {record.attempts}")
        if record.open_attempts:
            self._report(2, f"{identity}: two attempts at once")
        if record.may_have_run:
            self._report(2, f"{identity}: sent again though it may have run")
        record.open_attempts += 1
        since_us = self._unavailable_since_us.get((scheduler, worker))
        if since_us is not None and at_us > since_us + DRAIN_GRACE_US:
            delay_ms = (at_us - since_us) // 1000
            self._report(3, f"{identity}: sent to {worker} {delay_ms} ms after its drain was announced")

    def attempt_ended(self, identity: str, outcome: str) -> None:
        """Record an attempt's end and its outcome as the scheduler received it."""
        if record := self._jobs.get(identity):
            record.open_attempts = max(0, record.open_attempts - 1)
            record.may_have_run = record.may_have_run or outcome not in NEVER_RAN

    def job_started(self, identity: str, worker: str) -> None:
        """Record that a worker has started a job, from the worker's own records."""
        self.job_starts += 1
        record = self._jobs.get(identity)
        if record is None:
            self._report(2, f"{identity}: started by {worker} but never accepted")
            return
        record.starts += 1
        if record.starts > 1:
            self._report(2, f"{identity}: started by {record.worker} and again by {worker}")
        record.worker = worker
        if record.answer == "refused":
            self._report(2, f"{identity}: started by {worker} after it was refused")

    def worker_announced(self, scheduler: str, worker: str, *, available: bool, at_us: int) -> None:
        """Record that a scheduler has been told whether a worker accepts new jobs."""
        if available:
            self._unavailable_since_us.pop((scheduler, worker), None)
        else:
            self._unavailable_since_us.setdefault((scheduler, worker), at_us)

    def cold_worker_crashed(self, worker: str) -> None:
        """Record that a cold worker has crashed from overload."""
        self._report(4, f"{worker}: crashed from overload while cold")

    def scheduler_died(self, scheduler: str) -> None:
        """Record that a scheduler was killed: its clients get no answers, and its list of workers is gone."""
        for record in self._jobs.values():
            if record.scheduler == scheduler and not record.answer:
                record.client_waits, record.answer = False, "died"
        self._unavailable_since_us = {
            k: at for k, at in self._unavailable_since_us.items() if k[0] != scheduler}

    def finish(self, now_us: int) -> list[tuple[int, str]]:
        """End the run: report jobs that are past their deadlines without an answer; return all violations."""
        for identity, record in self._jobs.items():
            if record.client_waits and not record.answer and record.deadline_us < now_us:
                self._report(1, f"{identity}: never answered")
        return self.violations

    def _report(self, rule: int, description: str) -> None:
        if len(self.violations) < 1000:
            self.violations.append((rule, description))
