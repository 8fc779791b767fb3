"""Drives one ``Dispatcher``: owns its timers, the table of requests and their one final answer each."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from statistics import median_low
from typing import TYPE_CHECKING

import structlog
from tornado.ioloop import IOLoop

from hazellead.core import generations
from hazellead.core.clock import EPOCH, Clock, span, to_us
from hazellead.core.jobs import Attempt, ClientReply, Counted, Job, Tally, WorkerDirectory, WorkerTransport
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
    until: datetime  # when the scheduler stops waiting
    deadline: datetime  # when it would, were it not for its own end
    reply: ClientReply | None  # None once answered, or when nobody waits any more
    attempts: list[Attempt] = field(default_factory=list)
    timer: object = None
    orphaned: bool = False  # nobody waits at present, though one may come back for the answer
    parked: bool = False  # on its way to another process: nothing is begun or ended here


class Scheduler:
    """Takes jobs in, carries out what the module decides and answers each job once."""

    def __init__(
        self, settings: api.Settings, seed: int, limits: Limits, clock: Clock, loop: IOLoop,
        tally: Tally | None = None, names: tuple[Sequence[str], Sequence[str]] = ((), ()),
    ) -> None:
        """Set up; ``connect`` must follow before the first event. ``names`` are the classes' and tenants'."""
        self.limits, self._clock, self._loop = limits, clock, loop
        self._tally = tally
        self.generation = generations.first(settings, *names)
        self.settings = self.generation.settings
        self._dispatcher = Dispatcher(self.settings, seed)
        self._requests: dict[int, _Request] = {}
        self._identities: set[str] = set()
        self._ended: OrderedDict[str, None] = OrderedDict()  # those that have lately ended
        self._listed: dict[int, api.WorkerEntry] = {}
        self._draining: set[int] = set()  # listed as draining, and not as ready since
        self._list_expired = False  # as the decisions were told last
        self._expired_since: datetime | None = None  # of a lease that had been held; for the log
        self._lease_held = False  # since the start
        self._events: list[api.Event] = []
        self._tick = span(settings.tick_us)
        self._last, self._due, self._count = clock.now() - self._tick, False, 0
        self._elsewhere: dict[int, tuple[int, int]] = {}
        self._emptied: Callable[[], None] | None = None
        self._end: datetime | None = None  # by when all is answered, once the end has been called
        self.passes_on = False  # another process takes over what would outlast that
        self._transport: WorkerTransport
        self._directory: WorkerDirectory

    def connect(self, transport: WorkerTransport, directory: WorkerDirectory) -> None:
        """Name what carries attempts and what tells of workers."""
        self._transport, self._directory = transport, directory

    @property
    def held(self) -> int:
        """Return how many requests still wait for their answer."""
        return sum(r.reply is not None for r in self._requests.values())

    @property
    def knows_workers(self) -> bool:
        """Say whether any worker is open to work."""
        return any(self.open_to_work(w) for w in self._listed)

    # From clients.

    def has_taken(self, identity: str) -> bool:
        """Say whether a request of this id is open or has lately ended: ids are fresh with every request.

        Guards against posting twice, and against two requests that call-backs could not tell apart.
        """
        return identity in self._identities or identity in self._ended

    def refuse(self, job: Job, reply: ClientReply) -> None:
        """Turn a job away that a front does not want to bring."""
        self._counted(job, reply).refused(self.limits.busy_retry)

    def _counted(self, job: Job, reply: ClientReply) -> ClientReply:
        return Counted(reply, self._tally, job.class_name) if self._tally else reply

    def following(
        self, settings: api.Settings, classes: Sequence[str], tenants: Sequence[str],
    ) -> generations.Generation:
        """Return the generation that these settings would be, with nothing changed; raises TooManyError."""
        jobs = [r.job for r in self._requests.values()]
        return generations.follow(self.generation, settings, classes, tenants,
                                  {j.job_class for j in jobs}, {j.tenant for j in jobs})

    def retune(self, generation: generations.Generation) -> None:
        """Bring it in force for the jobs that come from now on."""
        self.generation, self.settings = generation, generation.settings
        self._tick = span(self.settings.tick_us)
        self._put(api.SettingsChanged(self.settings, generation.fresh))

    @property
    def open_identities(self) -> frozenset[str]:
        """Return the ids that are open."""
        return frozenset(self._identities)

    @property
    def ended_identities(self) -> list[str]:
        """Return the ids that have lately ended, the oldest first."""
        return list(self._ended)

    def remember(self, identities: Iterable[str]) -> None:
        """Take these ids as used."""
        self._ended |= dict.fromkeys(identities)
        while len(self._ended) > self.limits.taken:
            self._ended.popitem(last=False)

    def submit(self, job: Job, reply: ClientReply) -> int:
        """Take a job in and return the number by which it can be abandoned."""
        self._count += 1
        reply = self._counted(job, reply)
        if job.identity in self._identities:
            # Guards against posting twice: the same id again may concern a job that runs at this moment.
            reply.failed("this id is being worked on")
        elif self.room <= 0 or self._would_outlast_end(job):
            reply.refused(self.limits.busy_retry)
        else:
            self._take(job, reply, max(job.remaining - self.limits.answer_margin, timedelta(0)))
        return self._count

    def _take(self, job: Job, reply: ClientReply, left: timedelta, attempts: Sequence[Attempt] = ()) -> None:
        deadline = self._clock.now() + left
        request = _Request(self._count, job, deadline, deadline, reply, list(attempts))
        request.timer = self._loop.add_timeout(left, self._expire, request)
        self._bound(request)
        self._requests[request.number] = request
        self._identities.add(job.identity)
        made = tuple(api.PriorAttempt(
            a.worker, to_us(a.sent - EPOCH), to_us(a.began_at - EPOCH) if a.began_at else 0, a.outcome,
        ) for a in attempts)
        self._put(api.Arrival(
            request.number, job.job_class, to_us(left), job.tenant, job.slots, prior_attempts=made))

    def abandon(self, number: int) -> None:
        """Note that the client has gone; the module decides what becomes of an attempt that is out."""
        request = self._requests.get(number)
        if request and request.reply:
            request.reply = None
            self._put(api.Abandoned(number))
            self._forget(request)

    def orphan(self, number: int) -> None:
        """Note that nobody waits at present: what is out goes on to its end, and nothing more is begun."""
        if request := self._requests.get(number):
            request.orphaned = True
            self._end_orphan(request)

    def rejoin(self, number: int) -> None:
        """Note that somebody waits again."""
        if request := self._requests.get(number):
            request.orphaned = False

    # Between two processes, of which one takes the other's place. core/passing.py has the steps.

    def waited_for(self, number: int) -> "tuple[Job, datetime, Sequence[Attempt]] | None":
        """Return a job, when its client gives up (less the margin) and its attempts.

        None if it is answered, parked, or waited for by nobody.
        """
        request = self._requests.get(number)
        if request is None or request.reply is None or request.orphaned or request.parked:
            return None
        return request.job, request.deadline, request.attempts

    def attempts(self, number: int) -> Sequence[Attempt]:
        """Return the attempts made for a job that is held."""
        return self._requests[number].attempts if number in self._requests else ()

    def park(self, number: int, *, on: bool) -> None:
        """Begin and end nothing of a job while another process is asked to take it, or go on with it."""
        if request := self._requests.get(number):
            request.parked = on
            if not on and self._clock.now() >= request.until:  # its time ran out meanwhile
                (self._cut if request.until < request.deadline else self._expire)(request)

    def part(self, number: int) -> None:
        """Forget a job that another process has taken, with its attempts; its id stays used here."""
        if request := self._requests.get(number):
            request.reply = None
            for attempt in request.attempts:
                if attempt.outcome is None:
                    attempt.outcome = api.Outcome.MOOT
                    self._put(api.AttemptEnded(
                        number, attempt.number, attempt.worker, api.Outcome.MOOT, 0, complete=True))
            self._forget(request)

    @property
    def room(self) -> int:
        """Return how many more requests may be held."""
        return self.limits.requests - len(self._requests)

    def adopt(
        self, job: Job, reply: ClientReply, left: timedelta, attempts: Callable[[int], Sequence[Attempt]],
    ) -> int:
        """Take in a job that another process had, with the attempts made for it; return its number."""
        self._count += 1
        self._ended.pop(job.identity, None)
        own = attempts(self._count)
        self._take(job, self._counted(job, reply), left, own)
        for attempt in own:
            if attempt.outcome is None and attempt.until < self._requests[self._count].until:
                self._loop.add_timeout(
                    attempt.until - self._clock.now(), self._stop, attempt, api.Outcome.TIMED_OUT)
        return self._count

    def _end_orphan(self, request: _Request) -> None:
        """Give one up of which no attempt is out."""
        if not any(a.outcome is None for a in request.attempts):
            self._give_up(request, "given up, since nobody waits")

    def _give_up(self, request: _Request, reason: str) -> None:
        """End one with no attempt out before the module does: refused if surely nothing ran, else failed."""
        if request.reply:
            reply, request.reply = request.reply, None
            if all(a.outcome in api.NEVER_RAN for a in request.attempts):
                reply.refused(self.limits.busy_retry)
            else:
                reply.failed(reason)
            self._put(api.Abandoned(request.number))
        self._forget(request)

    def end_by(self, end: datetime) -> None:
        """Answer whatever is held or still comes by then, however much longer its client would wait."""
        self._end = end
        for request in list(self._requests.values()):
            if not request.attempts and not request.parked and self._would_outlast_end(request.job):
                self._give_up(request, "the scheduler ends")
            else:
                self._bound(request)

    def _would_outlast_end(self, job: Job) -> bool:
        """Say whether a job that was sent now would still run when this process ends, with nobody to go on.

        Its client can have it done elsewhere: what is sent is failed here at the end, and may not be repeated
        where it may have run.
        """
        if self._end is None:
            return False
        left = self._end - self._clock.now()
        if left <= timedelta(0):
            return True
        return not self.passes_on and self._expected_run(job.job_class) > left

    def _expected_run(self, job_class: int) -> timedelta:
        """Return how long a job of a class runs: as those that have ended here, else as those that run."""
        seen_us = self._dispatcher.expected_run_us(job_class)
        if seen_us is not None:
            return span(seen_us)
        now = self._clock.now()
        running = [now - attempt.began_at for request in self._requests.values()
                   if request.job.job_class == job_class
                   for attempt in request.attempts if attempt.outcome is None and attempt.began_at]
        return median_low(running) if running else timedelta(0)

    def _bound(self, request: _Request) -> None:
        # The module keeps to the client's own deadline: to it, less time would mark a client's later try.
        if self._end and self._end < request.until:
            self._loop.remove_timeout(request.timer)
            request.until = self._end
            request.timer = self._loop.add_timeout(self._end - self._clock.now(), self._cut, request)

    def _cut(self, request: _Request) -> None:
        """Answer a request before its deadline."""
        if request.parked:
            return
        for attempt in request.attempts:
            self._stop(attempt, api.Outcome.TIMED_OUT)
        self._give_up(request, "the scheduler ends")

    # From the directory.

    def listed(self, event: api.WorkerList) -> None:
        """Take in the worker list. Its drains bind sends at once, before the module's next step."""
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            # What a whole list no longer names is gone, and need not be remembered to be so.
            self._listed.clear()
        self._listed |= {e.worker: e for e in event.entries}
        for entry in event.entries:
            if entry.phase is api.Phase.DRAINING:
                self._draining.add(entry.worker)
            elif entry.phase is api.Phase.READY:
                self._draining.discard(entry.worker)
        # An answer with no news renews the lease at most: the decisions need not go through their list.
        if event.entries or event.kind is not api.ListKind.CHANGES or self._list_expired:
            self._put(event)

    def open_to_work(self, worker: int) -> bool:
        """Say whether a worker may be sent new work, as far as this scheduler was told."""
        # Guards a drain where only drains bind: its server stays closed once it is gone, or is named no more.
        if worker in self._draining:
            return False
        entry = self._listed.get(worker)
        gone = entry is None or entry.phase is api.Phase.GONE
        return not gone or self.settings.drain_binds_alone

    def may_send_to(self, worker: int) -> bool:
        """Say whether something new may be sent to a worker now: by its phase and the lease on the list."""
        return self.open_to_work(worker) and not self._directory.list_expired()

    def may_begin(self, attempt: Attempt) -> bool:
        """Say whether an attempt's first byte may go out now."""
        request = self._requests.get(attempt.request)
        waited_for = request is not None and request.reply is not None and not (
            request.orphaned or request.parked)
        return waited_for and self.may_send_to(attempt.worker) and self._may_repeat(attempt)

    def _may_repeat(self, attempt: Attempt) -> bool:
        """Say whether what its earlier attempts may have done allows this one, by its class's effect."""
        earlier = [a.sent for a in self._requests[attempt.request].attempts
                   if a is not attempt and a.outcome not in api.NEVER_RAN]
        kind = self.settings.classes[attempt.job.job_class]
        if not earlier or kind.effect is api.Effect.SAFE:
            return True
        return kind.effect is api.Effect.KEYED and self._clock.now() < min(earlier) + span(kind.key_ttl_us)

    # What the decisions know, for instances that learn from each other.

    @property
    def workers(self) -> tuple[api.WorkerEntry, ...]:
        """Return the list of workers as it was told."""
        return tuple(self._listed.values())

    def worker_name(self, worker: int) -> str:
        """Return what a worker is called everywhere."""
        return self._directory.name(worker)

    def known(self) -> "SharedEstimates":
        """Return what this scheduler's decisions have seen themselves."""
        return self._dispatcher.export_estimates()

    def learn(self, known: "SharedEstimates") -> None:
        """Let the decisions take over what others have seen, of the list as it is now."""
        if self._events:
            self._step()
        self._dispatcher.adopt_estimates(known)

    @property
    def listed_workers(self) -> tuple[int, int]:
        """Return how many workers are in the list, and how many of them the module now avoids."""
        there = [e.worker for e in self._listed.values() if e.phase is not api.Phase.GONE]
        return len(there), len(self._dispatcher.avoided().intersection(there))

    def out(self) -> dict[int, tuple[int, int]]:
        """Return, by worker, how many attempts are out and how many of them have not begun."""
        out = dict[int, tuple[int, int]]()
        for attempt in (a for r in self._requests.values() for a in r.attempts if a.outcome is None):
            held, waiting = out.get(attempt.worker, (0, 0))
            out[attempt.worker] = held + 1, waiting + (attempt.began_at is None)
        return out

    def elsewhere(self, out: dict[int, tuple[int, int]]) -> None:
        """Let the decisions know what another process of this scheduler has out."""
        for worker in self._elsewhere.keys() | out.keys():
            if (now := out.get(worker, (0, 0))) != self._elsewhere.get(worker, (0, 0)):
                self._put(api.PredecessorLoad(worker, *now))
        self._elsewhere = out

    # From attempts.

    def attempt_written(self) -> None:
        """Count it."""
        if self._tally:
            self._tally.dispatched()

    def attempt_began(self, attempt: Attempt) -> None:
        """Pass a start on to the module and the client."""
        attempt.began_at = attempt.began_at or self._clock.now()
        self._put(api.JobBegan(attempt.request, attempt.number, attempt.worker))
        if reply := self._requests[attempt.request].reply:
            reply.began()

    def attempt_progressed(self, attempt: Attempt, share: float) -> None:
        """Pass progress on; to the module it is a sign of life."""
        self._put(api.JobBegan(attempt.request, attempt.number, attempt.worker))
        if reply := self._requests[attempt.request].reply:
            reply.progressed(share)

    def attempt_said(self, attempt: Attempt, data: bytes, *, warning: bool, exception: bool) -> None:
        """Pass on what a worker says; the module has no use for it."""
        if reply := self._requests[attempt.request].reply:
            reply.partial(data, warning=warning, exception=exception)

    def attempt_ended(self, attempt: Attempt, result: bytes) -> None:
        """Tell the module, once for each push; a result goes to the client without waiting for it."""
        request = self._requests[attempt.request]
        assert attempt.outcome is not None
        if attempt.outcome is api.Outcome.SERVED and request.reply:
            reply, request.reply = request.reply, None
            reply.served(result)
        elif attempt.outcome not in (api.Outcome.SERVED, api.Outcome.FULL, api.Outcome.CANCELLED):
            log.info("attempt_failed", job=attempt.job.identity, worker=self._directory.name(attempt.worker),
                     attempt=attempt.number, outcome=attempt.outcome.value,
                     spent=(self._clock.now() - attempt.sent).total_seconds())
        self._put(api.AttemptEnded(
            attempt.request, attempt.number, attempt.worker, attempt.outcome,
            max(0, to_us(self._clock.now() - attempt.sent)), request.reply is None))
        if request.orphaned:
            self._end_orphan(request)
        self._forget(request)

    # The module's steps.

    def _put(self, event: api.Event) -> None:
        """Queue an event; the module handles what has come in once a tick at most."""
        self._events.append(event)
        if not self._due:
            self._due = True
            self._loop.add_timeout(max(timedelta(0), self._last + self._tick - self._clock.now()), self._step)

    def _step(self) -> None:
        self._due, self._last = False, self._clock.now()
        events, self._events = [*self._lease_changes(), *self._events], []
        try:
            actions = self._dispatcher.handle(self._clock.now_us(), events)
        except Exception:
            # Guards the requests that are held: a fault in one decision must not keep their deadlines from
            # being answered.
            log.exception("decision_fault")
            return
        for action in actions:
            self._carry_out(action)

    def _lease_changes(self) -> Iterator[api.LeaseChanged]:
        """Tell the decisions if the lease on the list has run out or been renewed since their last step."""
        expired = bool(self._directory.list_expired())
        self._log_lease(expired)
        if expired is self._list_expired:
            return
        self._list_expired = expired
        yield api.LeaseChanged(held=not expired)

    def _log_lease(self, expired: bool) -> None:
        """Log the end of a lease that was held, and the renewal after it; a start without one is no news."""
        if expired and self._lease_held and self._expired_since is None:
            self._expired_since = self._clock.now()
            log.warning("server_list_expired", held=self.held)
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
                if request := self._closing(action.request):
                    request.refused(span(action.retry_after_us))
            case api.Fail():
                if request := self._closing(action.request):
                    request.failed("given up")
            case api.Cancel():
                request_ = self._requests.get(action.request)
                if request_ and action.attempt < len(request_.attempts):
                    self._stop(request_.attempts[action.attempt], api.Outcome.CANCELLED)
            case api.SetTimer():
                self._loop.add_timeout(span(action.after_us), self._put, api.TimerFired(action.token))
            case api.Probe():
                worker = action.worker
                self._transport.probe(worker, lambda outcome: self._put(api.ProbeEnded(worker, outcome)))
            case api.Release():
                self._transport.release(action.worker)
            case api.Subscribe():
                self._directory.subscribe()
            case api.FetchList():
                self._directory.fetch()
            case api.Log():
                log.info("decision", text=action.text)

    def _push(self, action: api.Push) -> None:
        request = self._requests.get(action.request)
        now = self._clock.now()
        if request is None:  # the module owes this never to happen, and the table no longer has the job
            self._put(api.AttemptEnded(action.request, 0, action.worker, api.Outcome.MOOT, 0, True))
            return
        # One that goes to the next process must not be told to end with this one.
        until = request.deadline if self.passes_on else request.until
        if action.timeout_us:
            until = min(until, now + span(action.timeout_us))
        number = len(request.attempts)
        attempt = Attempt(self, request.number, number, action.worker, request.job, now, until)
        out = any(a.outcome is None for a in request.attempts)
        request.attempts.append(attempt)
        kind = request.job.job_class
        most, copies = self.settings.attempt_limit(kind), self.settings.allows_copies(kind)
        if number >= most or now >= until or (out and not copies) or (
                not attempt.may_send()):
            attempt.end(api.Outcome.MOOT)
            return
        if until < request.until:
            self._loop.add_timeout(until - now, self._stop, attempt, api.Outcome.TIMED_OUT)
        self._transport.send(attempt)

    def _stop(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.outcome is None:
            attempt.end(outcome)
            self._transport.give_up(attempt)

    def _expire(self, request: _Request) -> None:
        """End what is still out at the deadline; the module answers in the same step."""
        if request.parked:
            return
        for attempt in request.attempts:
            self._stop(attempt, api.Outcome.TIMED_OUT)
        if request.reply:
            self._step()
        if request.reply:  # guards against a request that no decision ends
            log.warning("deadline_unanswered", job=request.job.identity)
            reply, request.reply = request.reply, None
            reply.failed("out of time")
            self._put(api.Abandoned(request.number))
        self._forget(request)

    def _closing(self, number: int) -> ClientReply | None:
        """Take a request's reply for its final answer; None if it has had one."""
        request = self._requests.get(number)
        if request is None or request.reply is None:
            return None
        reply, request.reply = request.reply, None
        self._forget(request)
        return reply

    def _forget(self, request: _Request) -> None:
        """Drop a request once it is answered and no attempt is out."""
        if request.reply is None and all(a.outcome for a in request.attempts):
            if self._requests.pop(request.number, None):
                self._identities.discard(request.job.identity)
                self._ended[request.job.identity] = None
                if len(self._ended) > self.limits.taken:
                    self._ended.popitem(last=False)
                self._loop.remove_timeout(request.timer)
            if self._emptied and not self._requests:
                self._emptied()

    def when_empty(self, done: Callable[[], None]) -> None:
        """Call back once no request is held and no attempt is out."""
        self._emptied = done
        if not self._requests:
            done()
