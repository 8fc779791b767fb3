"""Runs one ``Dispatcher``: owns its timers and the open requests, and answers each request exactly once."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from statistics import median_low
from typing import TYPE_CHECKING

import structlog
from tornado.ioloop import IOLoop

from hazellead.core import generations
from hazellead.core.clock import EPOCH, Clock, from_us, to_us
from hazellead.core.jobs import (
    Attempt,
    ClientReply,
    CountedReply,
    Job,
    Tally,
    WorkerDirectory,
    WorkerTransport,
)
from hazellead.decide import interface as api
from hazellead.decide.dispatcher import Dispatcher
from hazellead.limits import Limits

if TYPE_CHECKING:
    from hazellead.decide.estimates import SharedEstimates

log = structlog.get_logger()


@dataclass(slots=True, eq=False)
class _Request:
    number: int
    job: Job
    until: datetime  # when the scheduler stops waiting: the deadline, or its own shutdown if that is earlier
    deadline: datetime  # the client's deadline, less the answer margin
    reply: ClientReply | None  # None once answered or abandoned
    attempts: list[Attempt] = field(default_factory=list)
    timer: object = None
    orphaned: bool = False  # no client waits at present, but one may come back for the answer
    parked: bool = False  # offered to another process: no attempt is started or ended here


class Scheduler:
    """Accepts jobs, carries out the dispatcher's decisions and answers each job once."""

    def __init__(
        self, settings: api.Settings, seed: int, limits: Limits, clock: Clock, loop: IOLoop,
        tally: Tally | None = None, names: tuple[Sequence[str], Sequence[str]] = ((), ()),
    ) -> None:
        """Set up; call ``connect`` before the first event. ``names`` are the class and the tenant names."""
        self.limits, self._clock, self._loop = limits, clock, loop
        self._tally = tally
        self.generation = generations.initial(settings, *names)
        self.settings = self.generation.settings
        self._dispatcher = Dispatcher(self.settings, seed)
        self._requests: dict[int, _Request] = {}
        self._body_bytes = 0  # of the bodies of open requests
        self._identities: set[str] = set()
        self.on_accepted: Callable[[str], None] = lambda identity: None  # called with the id of each new job
        self._identities_elsewhere: set[str] = set()  # of requests open in another process of this scheduler
        self._ended_ids: OrderedDict[str, None] = OrderedDict()  # of recently ended requests
        self._listed: dict[int, api.WorkerEntry] = {}
        self._draining: set[int] = set()  # workers listed as draining and not as ready since
        self._list_expired = False  # the state last reported to the dispatcher
        self._expired_since: datetime | None = None  # when a lease that had been held ran out; for the log
        self._lease_held = False  # at any time since the start
        self._events: list[api.Event] = []
        self._tick = from_us(settings.tick_us)
        self._last_step, self._step_due, self._last_number = clock.now() - self._tick, False, 0
        self._attempts_elsewhere: dict[int, tuple[int, int]] = {}
        self._on_empty: Callable[[], None] | None = None
        self._shutdown_at: datetime | None = None  # by when every job is answered, once shutdown has begun
        self.migrates_jobs = False  # another process takes over jobs that would outlast the shutdown
        self._transport: WorkerTransport
        self._directory: WorkerDirectory

    def connect(self, transport: WorkerTransport, directory: WorkerDirectory) -> None:
        """Set the transport that carries attempts and the directory that lists the workers."""
        self._transport, self._directory = transport, directory

    @property
    def unanswered(self) -> int:
        """Return how many requests have not been answered yet."""
        return sum(r.reply is not None for r in self._requests.values())

    @property
    def has_available_workers(self) -> bool:
        """Return whether any listed worker accepts new work."""
        return any(self.is_available(w) for w in self._listed)

    # Requests from clients.

    def has_seen(self, identity: str) -> bool:
        """Return whether a request with this id is open or ended recently; every request must use a new id.

        Guards against running a job twice, and against two requests that call-backs could not tell apart.
        """
        return (identity in self._identities or identity in self._identities_elsewhere
                or identity in self._ended_ids)

    def refuse(self, job: Job, reply: ClientReply) -> None:
        """Refuse a job that a client front end does not want to submit."""
        self._refuse(job, self._with_counting(job, reply), self.limits.busy_retry, "no jobs are accepted")

    def _refuse(self, job: Job, reply: ClientReply, retry_after: timedelta, reason: str) -> None:
        log.info("job_refused", job=job.identity, reason=reason)
        reply.refused(retry_after)

    def _with_counting(self, job: Job, reply: ClientReply) -> ClientReply:
        return CountedReply(reply, self._tally, job.class_name) if self._tally else reply

    def next_generation(
        self, settings: api.Settings, classes: Sequence[str], tenants: Sequence[str],
    ) -> generations.Generation:
        """Build the generation for new settings without applying it; raises TooManyError."""
        jobs = [r.job for r in self._requests.values()]
        return generations.next_after(self.generation, settings, classes, tenants,
                                      {j.job_class for j in jobs}, {j.tenant for j in jobs})

    def apply_generation(self, generation: generations.Generation) -> None:
        """Put a generation into effect for jobs submitted from now on."""
        self.generation, self.settings = generation, generation.settings
        self._tick = from_us(self.settings.tick_us)
        self._enqueue(api.SettingsChanged(self.settings, generation.new_classes))

    @property
    def open_identities(self) -> frozenset[str]:
        """Return the ids of open requests."""
        return frozenset(self._identities)

    @property
    def all_open_identities(self) -> frozenset[str]:
        """Return the ids of requests that are open here or in another process of this scheduler."""
        return self.open_identities | self._identities_elsewhere

    @property
    def ended_identities(self) -> list[str]:
        """Return the ids of requests that ended recently, oldest first."""
        return list(self._ended_ids)

    def note_open_elsewhere(self, identities: Iterable[str]) -> None:
        """Treat these ids as used by requests that are open in another process of this scheduler.

        They are kept apart from those that have ended, of which only the newest are kept.
        """
        self._identities_elsewhere.update(identities)

    def note_elsewhere_ended(self) -> None:
        """Treat the requests that were open in the other process as ended: that process is gone."""
        self.remember(self._identities_elsewhere - self._identities)
        self._identities_elsewhere.clear()

    def remember(self, identities: Iterable[str]) -> None:
        """Treat these ids as used by requests that have ended."""
        self._ended_ids |= dict.fromkeys(identities)
        while len(self._ended_ids) > self.limits.ended_ids:
            self._ended_ids.popitem(last=False)

    def submit(self, job: Job, reply: ClientReply) -> int:
        """Accept or refuse a job; return the number that identifies it in later calls."""
        self._last_number += 1
        reply = self._with_counting(job, reply)
        if job.identity in self._identities:
            # Guards against running a job twice: the job with this id may be running at this moment.
            reply.failed("this id is being worked on")
        elif self.free_capacity <= 0 or self._body_bytes + len(job.body) > self.limits.job_bytes:
            self._refuse(job, reply, self.limits.busy_retry, "too many open jobs")
        elif self._would_outlast_shutdown(job):
            self._refuse(job, reply, self.limits.busy_retry, "the scheduler ends")
        else:
            self._accept(job, reply, max(job.remaining - self.limits.answer_margin, timedelta(0)))
            self.on_accepted(job.identity)
        return self._last_number

    def _accept(
        self, job: Job, reply: ClientReply, left: timedelta, attempts: Sequence[Attempt] = (),
        locations: Sequence[api.Location] = (),
    ) -> None:
        deadline = self._clock.now() + left
        request = _Request(self._last_number, job, deadline, deadline, reply, list(attempts))
        request.timer = self._loop.add_timeout(left, self._expire, request)
        self._cap_deadline(request)
        self._requests[request.number] = request
        self._body_bytes += len(job.body)
        self._identities.add(job.identity)
        prior_attempts = tuple(api.PriorAttempt(
            a.worker, to_us(a.sent - EPOCH), to_us(a.began_at - EPOCH) if a.began_at else 0, a.outcome,
            location) for a, location in zip(attempts, locations, strict=True))
        self._enqueue(api.Arrival(
            request.number, job.job_class, to_us(left), job.tenant, job.slots, prior_attempts=prior_attempts))

    def abandon(self, number: int) -> None:
        """Record that the client has disconnected; the dispatcher decides whether to cancel open attempts."""
        request = self._requests.get(number)
        if request and request.reply:
            request.reply = None
            self._enqueue(api.Abandoned(number))
            self._remove_if_done(request)

    def orphan(self, number: int) -> None:
        """Record that no client waits at present: open attempts run to their end and none is started."""
        if request := self._requests.get(number):
            request.orphaned = True
            self._end_orphan(request)

    def rejoin(self, number: int) -> None:
        """Record that a client waits for an orphaned job again."""
        if request := self._requests.get(number):
            request.orphaned = False

    # Migration of open jobs to a process that replaces this one; core/migration.py has the steps.

    def unanswered_job(self, number: int) -> "tuple[Job, datetime, Sequence[Attempt]] | None":
        """Return a job, its deadline (the client's, less the answer margin) and its attempts.

        Returns None if the job is unknown, answered or parked, if no client waits for it, or if the
        dispatcher has not handled its arrival yet.
        """
        request = self._requests.get(number)
        if request is None or request.reply is None or request.orphaned or request.parked:
            return None
        if number not in self._dispatcher.requests:
            return None
        return request.job, request.deadline, request.attempts

    def attempts(self, number: int) -> Sequence[Attempt]:
        """Return the attempts made for a job; empty if the job is not open."""
        return self._requests[number].attempts if number in self._requests else ()

    def attempt_locations(self, number: int) -> Sequence[api.Location]:
        """Return where the attempts made for a job may have run, in their order."""
        request = self._dispatcher.requests.get(number)
        if request is None:  # the dispatcher does not handle the job
            return [api.UNKNOWN_LOCATION] * len(self.attempts(number))
        return [attempt.location for attempt in request.attempts]

    def set_parked(self, number: int, *, parked: bool) -> None:
        """Suspend a job while it is offered to another process, or resume it."""
        if request := self._requests.get(number):
            request.parked = parked
            if not parked and self._clock.now() >= request.until:  # its time ran out while it was parked
                (self._end_early if request.until < request.deadline else self._expire)(request)

    def forget_migrated(self, number: int) -> None:
        """Drop a job that another process has taken over, with its attempts; its id still counts as used."""
        if request := self._requests.get(number):
            request.reply = None
            for attempt in request.attempts:
                if attempt.outcome is None:
                    attempt.outcome = api.Outcome.MOOT
                    self._enqueue(api.AttemptEnded(
                        number, attempt.number, attempt.worker, api.Outcome.MOOT, 0, complete=True))
            self._remove_if_done(request)
            self.remember([request.job.identity])

    @property
    def free_capacity(self) -> int:
        """Return how many more requests can be accepted."""
        return self.limits.requests - len(self._requests)

    def adopt(
        self, job: Job, reply: ClientReply, left: timedelta, attempts: Callable[[int], Sequence[Attempt]],
        locations: Sequence[api.Location],
    ) -> int:
        """Accept a job from another process with the attempts made for it; return its number here.

        ``locations`` says where each attempt's worker was when the attempt was sent.
        """
        self._last_number += 1
        self._ended_ids.pop(job.identity, None)
        self._identities_elsewhere.discard(job.identity)
        own = attempts(self._last_number)
        self._accept(job, self._with_counting(job, reply), left, own, locations)
        for attempt in own:
            if attempt.outcome is None and attempt.until < self._requests[self._last_number].until:
                self._loop.add_timeout(
                    attempt.until - self._clock.now(), self._stop, attempt, api.Outcome.TIMED_OUT)
        return self._last_number

    def _end_orphan(self, request: _Request) -> None:
        """Give up an orphaned request if it has no open attempt."""
        if not any(a.outcome is None for a in request.attempts):
            self._give_up(request, "given up, since nobody waits")

    def _give_up(self, request: _Request, reason: str) -> None:
        """End a request that has no open attempt: refused if no attempt can have run, else failed."""
        if request.reply:
            reply, request.reply = request.reply, None
            if all(a.outcome in api.NEVER_RAN for a in request.attempts):
                self._refuse(request.job, reply, self.limits.busy_retry, reason)
            else:
                reply.failed(reason)
            self._enqueue(api.Abandoned(request.number))
        self._remove_if_done(request)

    def end_by(self, end: datetime) -> None:
        """Begin shutdown: answer every open or new job by ``end``, even if its client would wait longer."""
        self._shutdown_at = end
        for request in list(self._requests.values()):
            if not request.attempts and not request.parked and self._would_outlast_shutdown(request.job):
                self._give_up(request, "the scheduler ends")
            else:
                self._cap_deadline(request)

    def _would_outlast_shutdown(self, job: Job) -> bool:
        """Return whether a job sent now would still be running at shutdown with no process to continue it.

        Such a job is better refused, so that its client can submit it elsewhere: once sent, it would be
        failed at shutdown, and could not be repeated where it may have run.
        """
        if self._shutdown_at is None:
            return False
        left = self._shutdown_at - self._clock.now()
        if left <= timedelta(0):
            return True
        return not self.migrates_jobs and self._expected_run(job.job_class) > left

    def _expected_run(self, job_class: int) -> timedelta:
        """Estimate how long a job of a class runs: from ended jobs or, without any, from running ones."""
        seen_us = self._dispatcher.expected_run_us(job_class)
        if seen_us is not None:
            return from_us(seen_us)
        now = self._clock.now()
        running = [now - attempt.began_at for request in self._requests.values()
                   if request.job.job_class == job_class
                   for attempt in request.attempts if attempt.outcome is None and attempt.began_at]
        return median_low(running) if running else timedelta(0)

    def _cap_deadline(self, request: _Request) -> None:
        # Only the scheduler applies the earlier end. The dispatcher keeps the client's own deadline, since it
        # takes a shorter one for the sign of a client's later try.
        if self._shutdown_at and self._shutdown_at < request.until:
            self._loop.remove_timeout(request.timer)
            request.until = self._shutdown_at
            request.timer = self._loop.add_timeout(
                self._shutdown_at - self._clock.now(), self._end_early, request)

    def _end_early(self, request: _Request) -> None:
        """End a request at shutdown, before its deadline."""
        if request.parked:
            return
        for attempt in request.attempts:
            self._stop(attempt, api.Outcome.TIMED_OUT)
        self._give_up(request, "the scheduler ends")

    # The worker list.

    def on_list(self, event: api.WorkerList) -> None:
        """Apply a worker list. Its drains stop sends at once, before the dispatcher's next step."""
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            # A worker that a full list does not name is gone; its entry can be dropped.
            self._listed.clear()
        self._listed |= {e.worker: e for e in event.entries}
        for entry in event.entries:
            if entry.phase is api.Phase.DRAINING:
                self._draining.add(entry.worker)
            elif entry.phase is api.Phase.READY:
                self._draining.discard(entry.worker)
        # A list without changes at most renews the lease: the dispatcher need not process it.
        if event.entries or event.kind is not api.ListKind.CHANGES or self._list_expired:
            self._enqueue(event)

    def is_available(self, worker: int) -> bool:
        """Return whether a worker accepts new work according to the lists received."""
        # Checked first: with ``drain_binds_alone`` only drains exclude a worker, and a drained one must stay
        # excluded once it is gone or no longer listed.
        if worker in self._draining:
            return False
        entry = self._listed.get(worker)
        gone = entry is None or entry.phase is api.Phase.GONE
        return not gone or self.settings.drain_binds_alone

    def may_send_to(self, worker: int) -> bool:
        """Return whether the worker's phase and the lease on the list allow sending new work to it now."""
        return self.is_available(worker) and not self._directory.list_expired()

    def may_begin(self, attempt: Attempt) -> bool:
        """Return whether an attempt's first byte may be sent now."""
        request = self._requests.get(attempt.request)
        waited_for = request is not None and request.reply is not None and not (
            request.orphaned or request.parked)
        return waited_for and self.may_send_to(attempt.worker) and self._may_repeat(attempt)

    def _may_repeat(self, attempt: Attempt) -> bool:
        """Return whether this attempt is allowed after earlier ones that may have run."""
        attempts = self._requests[attempt.request].attempts
        maybe_ran = [n for n, a in enumerate(attempts) if a is not attempt and a.outcome not in api.NEVER_RAN]
        if not maybe_ran:
            return True
        request = self._dispatcher.requests.get(attempt.request)
        worker = self._dispatcher.workers.get(attempt.worker)
        if request is None or worker is None:
            return False
        return self._dispatcher.may_repeat_at(
            request, [request.attempts[n] for n in maybe_ran], worker, self._clock.now_us())

    # The dispatcher's estimates, shared between instances.

    @property
    def workers(self) -> tuple[api.WorkerEntry, ...]:
        """Return the entries of the worker list as received."""
        return tuple(self._listed.values())

    def worker_name(self, worker: int) -> str:
        """Return the name under which all processes know a worker."""
        return self._directory.name(worker)

    def export_estimates(self) -> "SharedEstimates":
        """Return the dispatcher's estimates that rest on its own observations."""
        return self._dispatcher.export_estimates()

    def adopt_estimates(self, estimates: "SharedEstimates") -> None:
        """Pass estimates of other instances to the dispatcher, once it has handled all queued events."""
        self.decide()
        self._dispatcher.adopt_estimates(estimates)

    @property
    def listed_workers(self) -> tuple[int, int]:
        """Return how many workers are listed, and how many of these the dispatcher avoids at present."""
        present = [e.worker for e in self._listed.values() if e.phase is not api.Phase.GONE]
        return len(present), len(self._dispatcher.avoided().intersection(present))

    def open_attempts(self) -> dict[int, tuple[int, int]]:
        """Return, by worker, the number of open attempts and how many of these have not begun."""
        counts = dict[int, tuple[int, int]]()
        for attempt in (a for r in self._requests.values() for a in r.attempts if a.outcome is None):
            total, waiting = counts.get(attempt.worker, (0, 0))
            counts[attempt.worker] = total + 1, waiting + (attempt.began_at is None)
        return counts

    def set_attempts_elsewhere(self, counts: dict[int, tuple[int, int]]) -> None:
        """Report to the dispatcher the open attempts of another process of this scheduler, by worker."""
        for worker in self._attempts_elsewhere.keys() | counts.keys():
            if (now := counts.get(worker, (0, 0))) != self._attempts_elsewhere.get(worker, (0, 0)):
                self._enqueue(api.PredecessorLoad(worker, *now))
        self._attempts_elsewhere = counts

    # Reports from attempts.

    def attempt_written(self) -> None:
        """Count an attempt that has been written whole."""
        if self._tally:
            self._tally.dispatched()

    def attempt_began(self, attempt: Attempt) -> None:
        """Report a start to the dispatcher and the client."""
        attempt.began_at = attempt.began_at or self._clock.now()
        self._enqueue(api.JobBegan(attempt.request, attempt.number, attempt.worker))
        if reply := self._requests[attempt.request].reply:
            reply.began()

    def attempt_progressed(self, attempt: Attempt, share: float) -> None:
        """Report progress to the client; the dispatcher takes it as a sign of life."""
        self._enqueue(api.JobBegan(attempt.request, attempt.number, attempt.worker))
        if reply := self._requests[attempt.request].reply:
            reply.progressed(share)

    def attempt_partial(self, attempt: Attempt, data: bytes, *, warning: bool, exception: bool) -> None:
        """Pass a partial result on to the client; the dispatcher does not use it."""
        if reply := self._requests[attempt.request].reply:
            reply.partial(data, warning=warning, exception=exception)

    def attempt_ended(self, attempt: Attempt, result: bytes) -> None:
        """Report the end of an attempt to the dispatcher; a result goes to the client at once."""
        request = self._requests[attempt.request]
        assert attempt.outcome is not None
        if attempt.outcome is api.Outcome.SERVED and request.reply:
            reply, request.reply = request.reply, None
            reply.served(result)
        elif attempt.outcome not in (api.Outcome.SERVED, api.Outcome.FULL, api.Outcome.CANCELLED):
            log.info("attempt_failed", job=attempt.job.identity, worker=self._directory.name(attempt.worker),
                     attempt=attempt.number, outcome=attempt.outcome.value,
                     spent=(self._clock.now() - attempt.sent).total_seconds())
        self._enqueue(api.AttemptEnded(
            attempt.request, attempt.number, attempt.worker, attempt.outcome,
            max(0, to_us(self._clock.now() - attempt.sent)), request.reply is None))
        if request.orphaned:
            self._end_orphan(request)
        self._remove_if_done(request)

    # Steps of the dispatcher.

    def _enqueue(self, event: api.Event) -> None:
        """Queue an event; the dispatcher handles the queued events at most once per tick."""
        self._events.append(event)
        if not self._step_due:
            self._step_due = True
            self._loop.add_timeout(
                max(timedelta(0), self._last_step + self._tick - self._clock.now()), self._step)

    def decide(self) -> None:
        """Have the dispatcher handle the queued events now, not at the next tick."""
        if self._events:
            self._step()

    def _step(self) -> None:
        self._step_due, self._last_step = False, self._clock.now()
        events, self._events = [*self._lease_changes(), *self._events], []
        try:
            actions = self._dispatcher.handle(self._clock.now_us(), events)
        except Exception:
            # Guards open requests: after a fault in one decision they must still be answered at their
            # deadlines.
            log.exception("decision_fault")
            return
        for action in actions:
            self._carry_out(action)

    def _lease_changes(self) -> Iterator[api.LeaseChanged]:
        """Yield an event if the lease on the list has expired or been renewed since the last step."""
        expired = bool(self._directory.list_expired())
        self._log_lease(expired)
        if expired is self._list_expired:
            return
        self._list_expired = expired
        yield api.LeaseChanged(held=not expired)

    def _log_lease(self, expired: bool) -> None:
        """Log the expiry of a lease and its renewal; a start without a lease is not logged."""
        if expired and self._lease_held and self._expired_since is None:
            self._expired_since = self._clock.now()
            log.warning("server_list_expired", held=self.unanswered)
        elif not expired and self._expired_since is not None:
            spent = (self._clock.now() - self._expired_since).total_seconds()
            self._expired_since = None
            log.info("server_list_renewed", seconds=f"{spent:.3f}")
        self._lease_held = self._lease_held or not expired

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Push():
                self._push(action)
            case api.Refuse():
                request = self._requests.get(action.request)
                reply = self._take_reply(action.request)
                if request and reply:
                    retry_after = from_us(action.retry_after_us)
                    self._refuse(request.job, reply, retry_after, self._reason_not_pushed())
            case api.Fail():
                if reply := self._take_reply(action.request):
                    reply.failed("given up")
            case api.Cancel():
                request = self._requests.get(action.request)
                if request and action.attempt < len(request.attempts):
                    self._stop(request.attempts[action.attempt], api.Outcome.CANCELLED)
            case api.SetTimer():
                self._loop.add_timeout(from_us(action.after_us), self._enqueue, api.TimerFired(action.token))
            case api.Probe():
                worker = action.worker
                self._transport.probe(worker, lambda outcome: self._enqueue(api.ProbeEnded(worker, outcome)))
            case api.Release():
                self._transport.release(action.worker)
            case api.Subscribe():
                self._directory.subscribe()
            case api.FetchList():
                self._directory.fetch()
            case api.Log():
                log.info("decision", text=action.text)

    def _reason_not_pushed(self) -> str:
        """Return why the dispatcher refuses jobs at present, for the log."""
        if self._list_expired:
            return "no lease on the list of servers"
        return "over the share or the capacity" if self.has_available_workers else "no server is available"

    def _push(self, action: api.Push) -> None:
        request = self._requests.get(action.request)
        now = self._clock.now()
        if request is None:  # a fault of the dispatcher: the job is not open any more
            self._enqueue(api.AttemptEnded(action.request, 0, action.worker, api.Outcome.MOOT, 0, True))
            return
        # A job that another process will take over must not be timed out at this one's shutdown.
        until = request.deadline if self.migrates_jobs else request.until
        if action.timeout_us:
            until = min(until, now + from_us(action.timeout_us))
        number = len(request.attempts)
        attempt = Attempt(self, request.number, number, action.worker, request.job, now, until)
        has_open = any(a.outcome is None for a in request.attempts)
        request.attempts.append(attempt)
        job_class = request.job.job_class
        max_attempts, copies = self.settings.attempt_limit(job_class), self.settings.allows_copies(job_class)
        if number >= max_attempts or now >= until or (has_open and not copies) or (
                not attempt.may_send()):
            attempt.end(api.Outcome.MOOT)
            return
        if number:
            *earlier, location = self.attempt_locations(request.number)
            log.info("attempt_repeated", job=request.job.identity, worker=self._directory.name(action.worker),
                     attempt=number, copy=has_open, location=str(location),
                     earlier=",".join(map(str, earlier)))
        if until < request.until:
            self._loop.add_timeout(until - now, self._stop, attempt, api.Outcome.TIMED_OUT)
        self._transport.send(attempt)

    def _stop(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.outcome is None:
            attempt.end(outcome)
            self._transport.give_up(attempt)

    def _expire(self, request: _Request) -> None:
        """End open attempts at the deadline; the dispatcher decides the answer in the same step."""
        if request.parked:
            return
        for attempt in request.attempts:
            self._stop(attempt, api.Outcome.TIMED_OUT)
        if request.reply:
            self._step()
        if request.reply:  # guards against a request that the dispatcher never ends
            log.warning("deadline_unanswered", job=request.job.identity)
            reply, request.reply = request.reply, None
            reply.failed("out of time")
            self._enqueue(api.Abandoned(request.number))
        self._remove_if_done(request)

    def _take_reply(self, number: int) -> ClientReply | None:
        """Detach a request's reply for the final answer; return None if it has been answered or abandoned."""
        request = self._requests.get(number)
        if request is None or request.reply is None:
            return None
        reply, request.reply = request.reply, None
        self._remove_if_done(request)
        return reply

    def _remove_if_done(self, request: _Request) -> None:
        """Remove a request once it is answered or abandoned and has no open attempt."""
        if request.reply is None and all(a.outcome for a in request.attempts):
            if self._requests.pop(request.number, None):
                self._body_bytes -= len(request.job.body)
                self._identities.discard(request.job.identity)
                # One that cannot have run may come again, and must not push out those that may have.
                if any(a.outcome not in api.NEVER_RAN for a in request.attempts):
                    self.remember([request.job.identity])
                self._loop.remove_timeout(request.timer)
            if self._on_empty and not self._requests:
                self._on_empty()

    def when_empty(self, done: Callable[[], None]) -> None:
        """Call ``done`` once no request and no attempt is open."""
        self._on_empty = done
        if not self._requests:
            done()
