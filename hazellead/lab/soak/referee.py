"""Checks the records of one run against the rules of the protocol; shares no code with the scheduler."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from hazellead.lab.soak.plan import KEY_TTL_S, Effect
from hazellead.lab.soak.records import Attempt, Change, ListAnswer, ProcessLife, Records, Request

MAX_ANSWER_DELAY_S = 0.5  # an answer this late after its deadline earns nothing, but breaks no rule
NOTIFIED_AFTER_S = 6.0  # a change counts as notified this long after discovery had it and was reachable
DRAIN_GRACE_S = 0.4
CLIENT_LEFT_GRACE_S = 0.1  # an attempt may still begin this soon after its client disconnected
TIME_LEFT_SLACK_S = 0.15
READY_WITHIN_S = 10.0
CROSSING_S = 0.01  # a close this soon after a request's first byte may have crossed the request
KILL_VISIBLE_S = 1.0  # clients notice within this time that a process was killed
STALL_MARGIN_S = 0.1  # around a stall of the test process: its backlog is processed within this time
REFUSAL_STATUSES = frozenset({429, 503})
# How long after an attempt that may have run its job may be sent again. Guarded jobs: as long as repeats
# are discarded, and 50 ms for the delay of real sockets.
REPEAT_WINDOW_S = {Effect.SINGLE_SHOT: 0.0, Effect.GUARDED: KEY_TTL_S + 0.05, Effect.FREE: float("inf")}


@dataclass(slots=True, frozen=True)
class Violation:
    """One breach of a rule, at a time of the records' clock."""

    rule: str
    at: float
    description: str

    def __str__(self) -> str:
        """Return the violation as one line of text."""
        return f"{self.rule} at {self.at:.3f}: {self.description}"


def judge(records: Records) -> list[Violation]:
    """Return all violations in the order of their times."""
    return sorted(_Referee(records).violations(), key=lambda violation: violation.at)


class _Referee:
    """Checks each rule on the records of one run."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._by_request: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(records.attempts, key=lambda a: a.last_byte):
            self._by_request[attempt.identity].append(attempt)
        self._departures = list(_departures(records.changes))

    def violations(self) -> Iterator[Violation]:
        """Yield all violations, rule by rule."""
        for request in self._records.requests.values():
            attempts = self._by_request[request.identity]
            yield from self._check_final_answer(request, attempts)
            yield from self._check_effects(request, attempts)
            yield from self._check_client_left(request, attempts)
            yield from self._check_time_left(request, attempts)
        yield from self._check_second_attempts()
        yield from self._check_drain()
        yield from self._check_processes()

    def _stalled_for(self, since: float, until: float) -> float:
        """Return for how many seconds the test process, and so the machine, was stalled between two times.

        Events in that time, and the records of them, may be late by as much.
        """
        return sum(span for end, span in self._records.holdups
                   if end >= since - STALL_MARGIN_S and end - span <= until + STALL_MARGIN_S)

    # One final answer per request.

    def _check_final_answer(self, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
        """Report a request without exactly one answer, a late answer, or a result that no worker returned."""
        name, answers = request.identity, request.answers
        if len(answers) > 1:
            yield Violation("final answer", answers[1].at, f"{name}: {len(answers)} answers")
        if request.last_byte is None or request.left is not None:
            return
        if not answers:
            yield from self._check_missing_answer(request, attempts)
            return
        answer = answers[0]
        late = (answer.at - request.last_byte - request.deadline
                - self._stalled_for(request.last_byte, answer.at))
        if late > MAX_ANSWER_DELAY_S:
            yield Violation("final answer", answer.at, f"{name}: {answer.status} came {late:.3f} s late")
        if answer.status == 200 and answer.body not in {a.result for a in attempts}:
            yield Violation("final answer", answer.at, f"{name}: result that no worker returned")

    def _check_missing_answer(self, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
        """Report a request without an answer, unless a kill or the end of its connection excuses it."""
        assert request.last_byte is not None
        if request.ended is None:
            at = request.last_byte + request.deadline + MAX_ANSWER_DELAY_S
            yield Violation("final answer", at, f"{request.identity}: never answered")
            return
        if self._scheduler_was_killed(request) or (not attempts and self._crossed_close(request)):
            return
        after = request.ended - request.last_byte
        sent = f"{len(attempts)} attempts" if attempts else "no attempt"
        yield Violation("final answer", request.ended, (
            f"{request.identity}: no answer, connection ended {after:.3f} s after the last byte, {sent}"))

    def _scheduler_was_killed(self, request: Request) -> bool:
        """Return whether the connection ended because a process of its scheduler was killed."""
        assert request.ended is not None
        kills = [life.killed for life in self._records.lives
                 if life.slot == request.slot and life.killed is not None]
        return any(
            at - CROSSING_S <= request.ended <= at + KILL_VISIBLE_S + self._stalled_for(at, request.ended)
            for at in kills)

    def _crossed_close(self, request: Request) -> bool:
        """Return whether the request may have gone unread.

        Either the scheduler closed the idle connection while the request was on its way, or it had no
        descriptor for a new connection because of a crowd of idle clients.
        """
        assert request.ended is not None
        if request.fresh and request.crowded:
            return True
        within = CROSSING_S + self._stalled_for(request.first_byte, request.ended)
        return not request.fresh and request.ended - request.first_byte <= within

    # Repeats and refusals of jobs that may have run.

    def _check_effects(self, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
        """Report repeats that the job's class doesn't allow, and refusals of a job that may have run."""
        possible_runs = [a for a in attempts if a.may_have_run]
        window = REPEAT_WINDOW_S[Effect(request.effect)]
        repeats = [a for a in attempts if possible_runs and a.last_byte > possible_runs[0].last_byte]
        for repeat in repeats:
            after = repeat.last_byte - possible_runs[0].last_byte
            if not window or after > window + self._stalled_for(
                    possible_runs[0].last_byte, repeat.last_byte):
                yield Violation("repeat", repeat.last_byte, (
                    f"{request.identity}, {request.effect}: sent to {repeat.worker} {after:.3f} s after "
                    f"it may have run at {possible_runs[0].worker}"))
        for answer in request.answers[:1]:
            before = [a for a in possible_runs if a.last_byte < answer.at]
            if answer.status in REFUSAL_STATUSES and before:
                yield Violation("refused", answer.at, (
                    f"{request.identity}: refused though it may have run at {before[0].worker}"))

    def _check_second_attempts(self) -> Iterator[Violation]:
        """Report each attempt at a worker that still has an earlier attempt of the same job."""
        for identity, attempts in self._by_request.items():
            for n, attempt in enumerate(attempts):
                for earlier in attempts[:n]:
                    grace = self._stalled_for(attempt.last_byte, attempt.last_byte)
                    still_open = earlier.ended is None or earlier.ended > attempt.last_byte + grace
                    if earlier.worker == attempt.worker and still_open:
                        yield Violation("second attempt", attempt.last_byte, (
                            f"{identity}: sent to {attempt.worker} again while an earlier attempt is open"))

    # Clients.

    def _check_client_left(self, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
        """Report each attempt that begins too long after the client disconnected."""
        for attempt in attempts:
            if request.left is None:
                return
            late = attempt.first_byte - request.left - self._stalled_for(request.left, attempt.first_byte)
            if late > CLIENT_LEFT_GRACE_S:
                yield Violation("client left", attempt.first_byte, (
                    f"{request.identity}: sent to {attempt.worker} {late:.3f} s after its client had left"))

    def _check_time_left(self, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
        """Report each attempt whose stated time left is longer than the client's deadline allows."""
        for attempt in attempts:
            if request.last_byte is None:
                return
            left = request.last_byte + request.deadline - attempt.last_byte
            over = attempt.time_left - left - self._stalled_for(request.last_byte, attempt.last_byte)
            if over > TIME_LEFT_SLACK_S:
                yield Violation("time left", attempt.last_byte, (
                    f"{request.identity}: time left sent to {attempt.worker} is {over:.3f} s too long"))

    # Workers that leave, and scheduler processes.

    def _check_drain(self) -> Iterator[Violation]:
        """Report each attempt at a worker that its scheduler should have known to be draining or removed."""
        for attempt in self._records.attempts:
            request = self._records.requests.get(attempt.identity)
            if request is None:
                continue
            for change in self._departures_of(attempt):
                notified = self._notified_at(request.slot, change, attempt.first_byte)
                late = attempt.first_byte - notified - self._stalled_for(notified, attempt.first_byte)
                if late > DRAIN_GRACE_S:
                    yield Violation("drain", attempt.first_byte, (
                        f"{attempt.identity}: sent to {attempt.worker}, {change.state} since "
                        f"{change.at:.3f}, {late:.3f} s after the scheduler counted as notified"))

    def _departures_of(self, attempt: Attempt) -> list[Change]:
        """Return the change by which the attempt's worker left, if it was absent when the attempt began."""
        return [change for change, until in self._departures
                if change.worker == attempt.worker and change.at <= attempt.first_byte < until]

    def _notified_at(self, slot: str, change: Change, now: float) -> float:
        """Return the time from which a scheduler counts as notified of a change, judged at ``now``.

        That is the earliest of three times, but not before the newest process started: discovery has had the
        change and been reachable for ``NOTIFIED_AFTER_S``; it wrote an answer with the change to any process
        of the scheduler; a watch of the scheduler has been silent for ``NOTIFIED_AFTER_S``.
        """
        since = max((life.started for life in self._lives_at(slot, now)), default=now)
        times = [self._reachable_from(change.at, now) + NOTIFIED_AFTER_S]
        answers = (answer.at for answer in self._records.told
                   if answer.slot == slot and answer.version >= change.version
                   and self._is_passed_on(answer))
        times += islice(answers, 1)
        times += [max(change.at, silent_at + NOTIFIED_AFTER_S)
                  for silent_at in self._silent_watches(slot, change, since)]
        return max(since, min(times))

    def _lives_at(self, slot: str, at: float) -> list[ProcessLife]:
        """Return a scheduler's processes that were alive at a time."""
        return [life for life in self._records.lives
                if life.slot == slot and life.started <= at and (life.ended is None or life.ended > at)]

    def _is_passed_on(self, answer: ListAnswer) -> bool:
        """Return whether all processes of the scheduler know of an answer, whichever of them received it.

        One that is killed, or ends before it was ready, may take its answer with it.
        """
        return all(life.killed is None and life.ready is not None
                   for life in self._lives_at(answer.slot, answer.at))

    def _reachable_from(self, at: float, now: float) -> float:
        """Return the time since which discovery has been reachable without a break until ``now``.

        The earliest is ``at``; infinity if there is an outage at ``now``.
        """
        for outage in self._records.outages:
            if outage.begin <= now and (outage.end is None or outage.end > at):
                at = float("inf") if outage.end is None or outage.end > now else max(at, outage.end)
        return at

    def _silent_watches(self, slot: str, change: Change, since: float) -> Iterator[float]:
        """Yield the times since which a watch had no answer until the change, though there was no outage."""
        for silence in self._records.silences:
            answered = any(t.slot == slot and silence.at < t.at <= change.at for t in self._records.told)
            if silence.slot == slot and since <= silence.at <= change.at and not answered:
                if self._reachable_from(silence.at, change.at) == silence.at:
                    yield silence.at

    def _check_processes(self) -> Iterator[Violation]:
        """Report each scheduler process that became ready too late or ended with an error."""
        for life in self._records.lives:
            stopped = [at for at in (life.terminated, life.killed) if at is not None]
            if stopped and min(stopped) <= life.started + READY_WITHIN_S:
                continue
            took = (life.ready if life.ready is not None else float("inf")) - life.started
            if took > READY_WITHIN_S + self._stalled_for(life.started, life.started + READY_WITHIN_S):
                yield Violation(
                    "ready", life.started + READY_WITHIN_S,
                    f"{life.slot}: not ready within {READY_WITHIN_S} s")
        for life in self._records.lives:
            # A process that ends by SIGTERM before it handles signals has served no client. One that the
            # planned SIGKILL ends may only have had to exit: a missing answer is found by the requests.
            ended_early = life.ready is None and life.terminated is not None
            killed = life.killed is not None or life.killed_as_planned
            if life.exit_code not in (None, 0) and not killed and not ended_early:
                yield Violation("exit", life.ended or 0.0, f"{life.slot}: exit code {life.exit_code}")


def _departures(changes: list[Change]) -> Iterator[tuple[Change, float]]:
    """Yield each change by which a worker left, with the time of its return (infinity: none)."""
    absent_since: dict[str, Change] = {}
    for change in changes:
        if change.state == "up":
            if departure := absent_since.pop(change.worker, None):
                yield departure, change.at
        else:
            absent_since.setdefault(change.worker, change)
    for departure in absent_since.values():
        yield departure, float("inf")
