"""The dispatcher: admission, choice of workers, retries, second copies, probes and cold-start budgets.

``Dispatcher.handle`` takes events and returns actions; hazellead/decide/interface.py defines both. A tenant's
``Throttle`` admits, buffers or refuses a request (``_on_arrival``). Tokens pay for it (``_add_tokens``), then
it is pushed to a worker (``_place_jobs``, ``_pick_worker``). The outcome of the attempt updates the estimates
(``_learn_from``) and ends the request or leads to a retry (``_on_attempt_ended``).

Points in time (names in _at, _until, _since, _start) and durations in _us are microseconds. "Mean run time"
is the mean over the classes of their means. A cold worker has restarted a short while ago and is still slow.
A remote worker costs the price of crossing zones, a local one does not. "Doubt" is evidence of not serving.
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from hazellead.decide import interface as api
from hazellead.decide.records import Attempt, Request, RunningMean, Worker, check_locations

if TYPE_CHECKING:
    from hazellead.decide import estimates as shared

THROTTLE_WINDOW_S = 0.5  # capacity of a bank, in seconds of the tenant's tokens, and of a buffer, in slacks
MIN_BANK_SLOTS = 3.0  # smallest capacity of a token bank, in slots
SHORT_JOB_RUN_TIMES = 0.3  # length of a short job; jobs are buffered only as long as short ones can wait
RATE_INCREASE = 0.2  # added to the rate factor per job served while throttles bind, times the free share
RATE_DECREASE = 0.2  # share of the rate factor lost per sign of overload, times the share of busy slots
INITIAL_RATE_FACTOR = 2.0  # overload shows within a few run times, needless refusals never show
MIN_RATE_FACTOR = 0.5  # the token rate never falls below this part of the starting rate
QUOTA_HEADROOM = 1.25  # this dispatcher's part of the quotas, over the median tenant's demand per share
DEMAND_RUN_TIMES = 40.0  # mean run times over which a tenant's demand is averaged
KIND_WEIGHT_RUN_TIMES = 12  # without hints, a kind's pace weighs as much as this many of a worker's run times
LEARN_RATE = 0.1  # weight of the newest observation in running averages
SILENCE_RUN_TIMES = 4.0  # mean run times of unanswered work that make a worker silent, an attempt overdue
TRIAL_DOUBT = 0.25  # doubt from which only trial jobs are sent; outcomes halve blame, a failure then adds 1
FIRST_RESET_BLAME = 0.15  # blame for a first broken connection; below TRIAL_DOUBT
COLD_BUDGET_SHARE = 0.6  # part of a cold worker's budget that is used
COLD_CAPACITY_MULTIPLE = 1.7  # cap of its budget without reports, over its minimum capacity: most can do more
COLD_MARGIN_DEVIATIONS = 1.5  # standard deviations kept free in the budget: dispatchers draw independently
COPIES_PER_PUSH = 0.1  # second copies allowed per push; each start that queueing made late takes one back
PROBE_POINTS_PER_REQUEST = 0.01  # price points that may be spent on probes per request
SUBSCRIBE_SPREAD_TICKS = 10  # ticks per dispatcher over which the first calls to the list service are spread
PROBE_WAIT_SHARE, PROBES_AT_ONCE = 0.75, 3  # part of the slack that a job waits for probes; open probes
UNHEARD_FREE, UNHEARD_MAX = 2, 8  # pushes to a zone since its last sign of life: tolerated, counted at most
CONNECT_FAILURE_LIMIT = 0.5  # share of recent connects that fail from which idle connections come first
SAMPLE_SIZE = 8  # workers sampled before the whole fleet is searched
REPORT_LIFETIME_PERIODS = 4.0  # report periods without a new one after which the last counts for nothing
FORGET_INTERVALS = 12  # asking intervals after which an unlisted worker that serves nothing is forgotten
LATE_JOBS_PER_ARRIVAL, MAX_LATE_JOBS = 0.02, 20.0  # late jobs kept per admitted job, and at once
QUEUE_PAUSE_SHARE = 0.25  # after a late start the worker gets nothing for this part of the wait
WAIT_EXPONENT = 4  # how strongly waits for the start, in mean run times, turn jobs away from a worker
LATE_RESERVE = 2.0  # a late job is sent only if its deadline is at least these mean run times away
CROSS_ZONE_PATIENCE = 4.0  # per price point of a crossing: share of slack waited, share of failures tolerated

Candidate = tuple[Worker, float]  # a worker that may take a job, and its free slots


class Throttle:
    """Token bank and job buffer in one counter.

    The counter is U = T - J + C_J, clamped to [0, C_J + C_T]. T is the number of banked tokens, J that of the
    unpaid slots of buffered jobs, C_T the capacity of the bank and C_J that of the buffer.
    """

    __slots__ = ("bank", "buffer", "level")

    def __init__(self, bank: float, buffer: float, level: float) -> None:
        self.bank, self.buffer, self.level = bank, buffer, min(bank + buffer, max(0.0, level))

    @property
    def tokens(self) -> float:
        """Return T, the tokens banked."""
        return max(0.0, self.level - self.buffer)

    @property
    def waiting(self) -> float:
        """Return J, the slots of buffered jobs that are not paid yet."""
        return max(0.0, self.buffer - self.level)

    def offer(self, slots: float) -> bool:
        """Admit a job of that many slots and return True, or return False if it does not fit whole."""
        if self.level < slots:
            return False
        self.level -= slots
        return True

    def add(self, tokens: float = 1.0) -> float:
        """Add tokens and return how many overflowed."""
        level = self.level + tokens
        self.level = min(self.bank + self.buffer, level)
        return level - self.level

    def resize(self, bank: float, buffer: float) -> None:
        """Change the capacities, keeping T - J; buffered jobs stay, tokens beyond the bank are lost."""
        net, self.bank, self.buffer = self.level - self.buffer, bank, max(buffer, self.waiting)
        self.level = min(bank, net) + self.buffer


class _Tenant:
    def __init__(self, share: float) -> None:
        self.share, self.throttle = share, Throttle(MIN_BANK_SLOTS, 1.0, MIN_BANK_SLOTS)
        self.buffered: deque[Request] = deque()
        # Part of a token not added yet; tokens received from other tenants' overflow; slots asked for, fading
        # over DEMAND_RUN_TIMES; share of the newest jobs that ended with an error.
        self.token_remainder = self.spare_tokens = self.demand_slots = self.error_share = 0.0

    def paid_head(self) -> Request | None:
        """Return the first buffered job if it is paid, else None. The unpaid slots are those at the back."""
        behind = sum(r.slots for r in self.buffered) - self.buffered[0].slots if self.buffered else 0.0
        return self.buffered[0] if self.buffered and self.throttle.waiting <= behind + 1e-9 else None


class Dispatcher:
    """Decides for one dispatcher process; equal settings, seeds and events always bring equal actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.rng, self.actions, self.tenants = random.Random(seed), list[api.Action](), list[_Tenant]()
        # By class: mean run time, perhaps adopted from others; the same of runs seen here alone; number of
        # runs behind the mean; longest time left at an arrival, which is that of a client's first try.
        self.class_run_us, self.own_run_us = list[float](), list[RunningMean]()
        self.run_counts, self.max_left_us = list[int](), list[int]()
        self._on_settings_changed(api.SettingsChanged(settings))
        self.start_rate = self.rate = self.even_rate or 1e6 / settings.tick_us  # tokens a second
        # The rate over this dispatcher's part of the quotas; that part over an even split among dispatchers.
        self.rate_factor, self.quota_multiple = INITIAL_RATE_FACTOR, 1.0
        self.free_share, self.typical_slots = 0.5, 2.0  # reported: share of slots free, slots of a worker
        self.workers: dict[int, Worker] = {}
        # Usable workers without and with a zone crossing; the cold local ones if no load is reported.
        self.local, self.remote, self.cold = list[Worker](), list[Worker](), list[Worker]()
        self.requests, self.open_attempts = dict[int, Request](), dict[tuple[int, int], Attempt]()
        self.retry_queue: list[Request] = []  # requests that wait for a worker for a further attempt
        self.late_queue: list[Request] = []  # kept past their aim, for the worth of a late answer
        self.copy_checks: list[tuple[int, int, int]] = []  # heap: time to check, request, attempt
        self.mean_run_us = sum(self.class_run_us) / len(self.class_run_us)
        # Last addition of tokens, resizing of throttles, empty bank; when the timer and a list call are due.
        self.now = self.accrued_at = self.resized_at = self.emptied_at = self.timer_at = self.ask_at = -1
        # The last two: this step found no worker for a paid first attempt, so that no tokens are added; for a
        # job that may go anywhere, so that no worker is sought for others of that sort.
        self.list_failures, self.open_probes, self.probed_at, self.paid_stuck, self.all_stuck = (
            0, 0, -1, False, False)
        self.leased = True  # the worker list may be acted on
        self.max_idle_us = float(settings.conn_idle_us)  # idle time up to which a connection is trusted
        # Run times over hints; by kind of worker, run times over those of all.
        self.run_over_hint, self.kind_pace = RunningMean(1.0), dict[int, RunningMean]()
        self.connect_failures = 0.0  # share of the newest connects that failed
        self.unheard_pushes = dict[int, int]()  # by zone, since its last sign of life
        self.least_wait_us = dict[tuple[bool, bool], float]()  # by (crossed zones, new connection)
        self.failure_share = {False: LEARN_RATE, True: 0.0}  # of the newest attempts, by crossed zones
        # When the next unproven worker may have a trial job; how many of these failed.
        self.unproven_trial_at, self.unproven_failures = 0, 0
        # Allowances for late jobs, second copies and probes; the widest job's slots; seconds of demand seen.
        self.late_budget, self.copy_budget, self.probe_budget, self.widest_slots, self.demand_s = (
            MAX_LATE_JOBS, 0.0, 100.0, 1.0, 0.0)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Arrival: self._on_arrival, api.AttemptEnded: self._on_attempt_ended,
            api.JobBegan: self._on_job_began, api.ProbeEnded: self._on_probe_ended,
            api.WorkerList: self._on_worker_list, api.Abandoned: self._on_abandoned,
            api.SettingsChanged: self._on_settings_changed, api.PredecessorLoad: self._on_predecessor_load,
            api.LeaseChanged: self._on_lease_changed}

    def handle(self, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        """Process the events that happened up to ``now_us`` and return the actions, in order."""
        first, self.now, self.actions = self.now < 0, now_us, []
        self.connected_at = now_us + self.settings.connect_timeout_us  # by then an attempt pushed now begins
        if first:
            self.accrued_at = self.resized_at = now_us
            self._resize_throttles()
            if self.settings.must_ask:  # all dispatchers call one list service: spread them by their number
                spread = SUBSCRIBE_SPREAD_TICKS * (self.settings.dispatchers - 1) * self.settings.tick_us
                self.ask_at = now_us + int(min(self.settings.ask_within_us / 2, spread) * self.rng.random())
        self._add_tokens()
        self.paid_stuck = self.all_stuck = False
        for event in events:
            if type(event) in self.handlers:
                self.handlers[type(event)](event)
        if self.retry_queue or self.late_queue or any(t.buffered for t in self.tenants):
            for r in [r for q in (self.retry_queue, self.late_queue) for r in q if r.useless_at <= now_us]:
                self._give_up(r)
            for r in [r for t in self.tenants for r in t.buffered if r.late_at <= now_us]:
                self._keep_late(r)
            if self.leased:
                self._place_jobs()
        if self.leased:
            self._send_copies()
        if 0 <= self.ask_at <= now_us:
            self.ask_at = -1
            self.actions.append(api.Subscribe())
        self._set_timer()
        return self.actions

    def _set_timer(self) -> None:
        """Set one timer for the first thing due that no event announces; a slight delay saves wake-ups."""
        pause = 4 * self.settings.tick_us
        check_at = self.copy_checks[0][0] if self.copy_checks and self.leased else -1  # no copies unleased
        due = [at for at in (self.ask_at, check_at) if at >= 0]
        if self.retry_queue or self.late_queue or any(t.buffered for t in self.tenants):
            due.append(self.now + pause)
        if due and (self.timer_at <= self.now or min(due) + pause < self.timer_at):
            self.timer_at = max(min(due), self.now + self.settings.tick_us)
            self.actions.append(api.SetTimer(self.timer_at - self.now, 0))

    def _on_settings_changed(self, event: api.SettingsChanged) -> None:
        """Follow the settings, keeping estimates; a new class starts with the mean run time of all."""
        settings = self.settings = event.settings
        tenants = settings.tenants or (api.Tenant(),)
        default_portion = (sum(t.portion for t in tenants) or 1.0) / len(tenants)  # where none is stated
        portions = [t.portion or default_portion for t in tenants]
        self.tenants += [_Tenant(0.0) for _ in tenants[len(self.tenants):]]
        for tenant, portion in zip(self.tenants, portions, strict=True):
            tenant.share = portion / sum(portions)
        self.even_rate, runs = sum(t.quota_per_s for t in tenants) / settings.dispatchers, min(
            sum(self.run_counts), 5)
        for c, job_class in enumerate(settings.classes):
            if c == len(self.run_counts) or c in event.new_classes:
                run_us = self.mean_run_us if runs else float(max(job_class.aim_us, settings.tick_us))
                self.class_run_us[c:c + 1], self.own_run_us[c:c + 1] = [run_us], [RunningMean(0.0, 0)]
                self.run_counts[c:c + 1], self.max_left_us[c:c + 1] = [runs], [0]

    # Exchange of estimates with other dispatchers; hazellead/learning weighs what comes from them.

    def export_estimates(self) -> "shared.SharedEstimates":
        """Return the estimates that rest on observations made here, without any adopted ones."""
        from hazellead.decide.estimates import Estimate, SharedEstimates
        demand_s = self.demand_s + max(0, self.now - self.resized_at) / 1e6
        demand = [Estimate(t.demand_slots / max(demand_s, 1e-6), demand_s, self.now) for t in self.tenants]
        return SharedEstimates(
            tuple(w.export_estimates() for w in self.workers.values()),
            tuple(Estimate(m.value, m.count, self.now) for m in self.own_run_us), tuple(demand),
            Estimate(self.rate_factor, min(m.count for m in self.own_run_us), self.now),
            tuple(t.throttle.tokens for t in self.tenants))

    def avoided(self) -> set[int]:
        """Return the workers that get no ordinary jobs at present: draining, gone or doubted ones."""
        return set(self.workers) - {
            w.entry.worker for w in self.local + self.remote if self._doubt(w) < TRIAL_DOUBT}

    def expected_run_us(self, job_class: int) -> float | None:
        """Return the mean run time of a class's jobs here; None before the first has ended."""
        return self.own_run_us[job_class].value if self.own_run_us[job_class].count else None

    def adopt_estimates(self, adopted: "shared.SharedEstimates") -> None:
        """Start from the estimates of other dispatchers, or of the process before this one.

        Caution (blame, breaks, drains) takes effect at once. Nothing adopted makes a worker usable or warm.
        """
        nothing_seen = not any(m.count for m in self.own_run_us)
        for estimates in adopted.workers:
            worker = self.workers.get(estimates.worker)
            if worker is None or worker.entry.started_us != estimates.started_us:
                continue
            if estimates.pace.weight > 0:
                worker.pace_mean.set_prior(estimates.pace)
            # Queues change within moments: adopted for longer, they would send all jobs to the same workers.
            worker.start_wait.set_prior(estimates.delay if nothing_seen else type(estimates.delay)())
            worker.timed_runs = max(worker.timed_runs, int(estimates.pace.weight > 0))
            if estimates.slots.weight > 0 and not (
                    worker.slots_reported or worker.pace_mean.own_mean.count or 0 < worker.cold_since):
                worker.slots = worker.adopted_slots = estimates.slots.value
            if estimates.blame.weight > 0 and worker.confirmed_at < estimates.blame.at_us:
                worker.blame = max(worker.blame, estimates.blame.value)
            if estimates.broke.weight > 0 and worker.cold_since < estimates.broke.at_us <= self.now:
                worker.cold_since, worker.window_until = estimates.broke.at_us, 0
            worker.inherit(estimates.own if nothing_seen else ())
            if estimates.drain.weight > 0 and worker.drain_start < 0:
                worker.full_until = max(worker.full_until, estimates.drain.at_us)
        for c, run in enumerate(adopted.runs):
            if run.weight > 0 and not self.run_counts[c]:
                self.class_run_us[c], self.run_counts[c] = run.value, int(min(run.weight, 5 / LEARN_RATE))
        if not self.demand_s and adopted.demand and all(d.weight > 0 for d in adopted.demand):
            self.demand_s = min(
                DEMAND_RUN_TIMES * self.mean_run_us / 1e6, *(d.weight for d in adopted.demand))
            for tenant, demand in zip(self.tenants, adopted.demand, strict=False):
                tenant.demand_slots = demand.value * self.demand_s
        for tenant, tokens in zip(self.tenants, adopted.tokens, strict=False):
            tenant.throttle.level = tenant.throttle.buffer + tokens
        self.rate_factor = (max(adopted.factor.value, MIN_RATE_FACTOR)
                            if adopted.factor.weight > 0 and nothing_seen else self.rate_factor)
        self._resize_throttles()

    def _on_arrival(self, event: api.Arrival) -> None:
        settings, number = self.settings, min(event.tenant, len(self.tenants) - 1)
        tenant, throttle = self.tenants[number], self.tenants[number].throttle
        self.probe_budget = min(self.probe_budget + PROBE_POINTS_PER_REQUEST / max(
            settings.probe_price, PROBE_POINTS_PER_REQUEST / 10), 100.0)
        # A client's later tries have less time left: its aim runs from the first, and may be over already.
        max_left_us = self.max_left_us[event.job_class] = max(
            self.max_left_us[event.job_class], event.remaining_us)
        late_at = (deadline := self.now + event.remaining_us) - max_left_us + self._slack_us(event.job_class)
        tenant.demand_slots += event.slots if event.remaining_us > 0.9 * max_left_us else 0.0
        self.widest_slots = max(self.widest_slots, event.slots)
        late_at = useless_at = min(late_at, deadline - 2 * settings.tick_us)
        if settings.classes[event.job_class].late_worth > 0:
            useless_at = max(late_at, deadline - int(LATE_RESERVE * self.class_run_us[event.job_class]))
        request = Request(
            event.request, event.job_class, event.slots, number, self.now, late_at, useless_at, event.hint_us)
        self.requests[request.id] = request
        throttle.resize(throttle.bank, max(throttle.buffer, event.slots))  # room for one job, however wide
        if event.prior_attempts:  # the process before this one has admitted it
            for w in (self.workers[a.worker] for a in event.prior_attempts if a.worker in self.workers):
                self._update_silence(w)
            self.open_attempts |= request.adopt_attempts(
                event.prior_attempts, self.workers, self.now, self.typical_slots)
        elif useless_at > self.now and throttle.offer(event.slots):
            tenant.buffered.append(request)
            self.late_budget = min(self.late_budget + LATE_JOBS_PER_ARRIVAL, MAX_LATE_JOBS)
        else:
            self._give_up(request)
        self.emptied_at = self.now if throttle.tokens <= 0 else self.emptied_at

    def _keep_late(self, request: Request) -> None:
        """Move a buffered job out of slack to the late queue, as far as the allowance goes, or refuse it."""
        if request.useless_at <= self.now or self.late_budget < 1:
            self._give_up(request)
        elif self._unqueue(request):
            self.tenants[request.tenant].throttle.add(request.slots)
            self.late_queue.append(request)
            self.late_budget -= 1

    def _slack_us(self, job_class: int) -> int:
        """Return how long a short job of the class can wait and still be in time."""
        rules = self.settings.classes[job_class]
        slack = rules.aim_us + (rules.stretch - 1) * SHORT_JOB_RUN_TIMES * self.class_run_us[job_class]
        return int(max(slack, 2 * self.settings.tick_us))

    def _add_tokens(self) -> None:
        """Add the tokens due; what overflows full banks goes to tenants with unpaid jobs, by share."""
        # While a paid job finds every worker full, more tokens would only lengthen the queue of paid jobs.
        paused = self.paid_stuck or not self.leased
        passed, self.accrued_at, spare = 0 if paused else self.now - self.accrued_at, self.now, 0.0
        if self.now - self.resized_at > self.mean_run_us:
            self._resize_throttles()
        for t in self.tenants:
            t.token_remainder += t.share * self.rate * passed / 1e6
            if t.token_remainder >= 1:
                spare += t.throttle.add(t.token_remainder // 1)
                t.token_remainder %= 1
        while spare >= 1 and (waiting := [t for t in self.tenants if t.throttle.waiting > 0]):
            tenant = min(waiting, key=lambda t: t.spare_tokens / t.share)
            tenant.spare_tokens, spare = tenant.spare_tokens + 1, spare - 1
            tenant.throttle.add()

    def _resize_throttles(self) -> None:
        """Size throttles for this dispatcher's part of the quotas: the median tenant's demand per share."""
        self.mean_run_us = sum(self.class_run_us) / len(self.class_run_us)
        passed, self.resized_at = self.now - self.resized_at, self.now
        fade = math.exp(-passed / (DEMAND_RUN_TIMES * self.mean_run_us))
        if self.even_rate:
            self.demand_s = self.demand_s * fade + passed / 1e6
            prior_s = DEMAND_RUN_TIMES * self.mean_run_us / 5e6
            median = sorted(t.demand_slots / t.share for t in self.tenants)[len(self.tenants) // 2]
            self.start_rate = (QUOTA_HEADROOM * median + prior_s * self.even_rate) / (self.demand_s + prior_s)
            self.quota_multiple = min(self.start_rate / self.even_rate, float(self.settings.dispatchers))
        self.rate = self.rate_factor * self.start_rate
        if not self.settings.reports:
            self.cold = [w for w in self.local if w.cold_since > self.now - self.settings.warm_up_us]
        self.probe_valid_us = max(4 * self.settings.tick_us, self.mean_run_us / 8)
        # Smaller for a busy dispatcher, which sees more signs of one overload.
        self.factor_step = 1 / max(1.0, self.rate * self.mean_run_us / 1e6)
        slack = min(self._slack_us(c) for c in range(len(self.class_run_us))) / 1e6
        for t in self.tenants:
            t.demand_slots *= fade
            rate = t.share * self.rate
            t.throttle.resize(max(MIN_BANK_SLOTS, rate * THROTTLE_WINDOW_S),
                              max(self.widest_slots, rate * THROTTLE_WINDOW_S * slack))

    def _place_jobs(self) -> None:
        """Push waiting jobs: retries first, then tenants by unspent tokens per share, then late jobs."""
        def priority(r: Request) -> tuple[bool, bool, float, int, int]:
            tenant, late = self.tenants[r.tenant], r.late_at <= self.now
            return late, not r.attempts, -tenant.throttle.tokens / tenant.share, r.late_at, r.id

        tried = set[Request]()
        while heads := {r for r in (*self.retry_queue, *self.late_queue[:1],
                                    *(t.paid_head() for t in self.tenants)) if r} - tried:
            r = min(heads, key=priority)
            tried.add(r)
            if worker := self._pick_worker(r):
                self._push(r, worker)

    def _pick_worker(self, request: Request) -> Worker | None:
        """Choose a worker at random, weighted by free slots and speed; return None if the job has to wait."""
        settings, maybe_ran, slack = self.settings, request.maybe_ran(), self._slack_us(request.job_class)
        anywhere = not maybe_ran or settings.classes[request.job_class].effect is api.Effect.SAFE
        probe_first = (settings.reports_by_probe and settings.may_probe
                       and self.now - request.arrived_at < PROBE_WAIT_SHARE * slack)
        # Without reported slots, speed counts for more. A stage: a pool, and whether a free slot is guessed.
        speed_exponent, stages = 2 if settings.reports else 3, [(self.local, True), (self.remote, True)]
        # A slot thought free across zones comes before a guess at home as long as crossing fails less.
        gain = (self.failure_share[False] - self.failure_share[True]
                - CROSS_ZONE_PATIENCE * settings.cross_zone_price)
        if settings.reports and not settings.reports_by_probe and gain > 0:
            stages = [(self.local, False), (self.remote, False), *stages]
        for pool, may_guess in [] if self.all_stuck and anywhere else stages:
            if not pool or pool is self.remote and any(a.crossed for a in request.attempts):
                continue  # at most one crossing for each request, since it has a price
            subsets = [self.rng.sample(pool, SAMPLE_SIZE)] if len(pool) > SAMPLE_SIZE else []
            if self.cold:  # no report tells that a cold worker is free; its budget would go unused
                subsets = [[w for w in self.cold if self._cold_budget_left(w) and w in pool], *subsets]
            # An open connection spares a handshake, and works where tables are full or connects fail.
            if settings.handshake_price > 0 or self.connect_failures > CONNECT_FAILURE_LIMIT:
                subsets = [[w for w in pool if w.has_idle_connection(self.now, 0.9 * self.max_idle_us)]]
            for subset in (*subsets, pool):
                candidates = self._candidates(request, subset, TRIAL_DOUBT, may_guess)
                if not candidates and subset is pool and (limit := self._doubt_limit()) > TRIAL_DOUBT:
                    candidates = self._candidates(request, subset, limit, may_guess)
                if probe_first:  # only workers whose free slot was reported just now
                    candidates = [c for c in candidates if self.now - c[0].reported_at < self.probe_valid_us]
                if candidates:
                    weights = [free / max(self._pace(w), LEARN_RATE) ** speed_exponent * self._start_weight(w)
                               for w, free in candidates]
                    return self.rng.choices(candidates, weights)[0][0]
            if probe_first and self._probe_some(pool):
                return None
            wait = min(0.5, CROSS_ZONE_PATIENCE * settings.cross_zone_price) * slack
            if (pool is self.local and self.remote and not maybe_ran
                    and self.now - request.arrived_at < wait and any(
                        self._doubt(w) < TRIAL_DOUBT for w in self.local)):
                return None
        self.paid_stuck, self.all_stuck = self.paid_stuck or not request.attempts, self.all_stuck or anywhere
        return None

    def _candidates(
        self, request: Request, workers: Sequence[Worker], limit: float, may_guess: bool,
    ) -> list[Candidate]:
        """Return the workers that may take the request now; ``limit`` is the doubt from which one may not."""
        maybe_ran, kind = request.maybe_ran(), self.settings.classes[request.job_class].kind
        tried = {a.worker for a in request.attempts if a.outcome is not api.Outcome.FULL}
        return [
            (w, free) for w in workers
            if (free := self._free_slots(w, may_guess)) >= request.slots - 0.5 and w.entry.worker not in tried
            and kind in (-1, w.entry.kind) and self.may_repeat_at(request, maybe_ran, w, self.connected_at)
            and (self._is_usable(w, limit) if w.proven else self._may_try_unproven(w, request))
            and self._cold_budget_left(w)]

    def _probe_some(self, pool: list[Worker]) -> bool:
        """Probe a few workers for a job that waits; return whether answers are still awaited."""
        if self.now - self.probed_at > self.probe_valid_us:
            self.open_probes, self.probed_at = 0, self.now
        for w in self.rng.sample(pool, min(len(pool), PROBES_AT_ONCE)):
            if (self.open_probes < PROBES_AT_ONCE and self.probe_budget >= 1
                    and self.now - w.probed_at > self.probe_valid_us):
                self.probe_budget, self.open_probes, w.probed_at = (
                    self.probe_budget - 1, self.open_probes + 1, self.now)
                self.actions.append(api.Probe(w.entry.worker))
        return self.open_probes > 0

    def may_repeat_at(self, request: Request, maybe_ran: Sequence[Attempt], worker: Worker, at: int) -> bool:
        """Return whether an attempt may begin at a worker by then, after earlier ones that may have run.

        Always for safe requests, never for unsafe ones; for keyed ones while the key lasts, at others of the
        workers that share it. Where the class's group or a location is not known, never.
        """
        rules = self.settings.classes[request.job_class]
        if not maybe_ran or rules.effect is api.Effect.SAFE:
            return True
        return rules.effect is api.Effect.KEYED and all(
            a.worker != worker.entry.worker and at - a.sent_at < rules.key_ttl_us
            and a.location.shares_group(worker.entry.location, rules.group) for a in maybe_ran)

    def _free_slots(self, worker: Worker, may_guess: bool) -> float:
        """Estimate a worker's free slots: all less this dispatcher's and, fading with the report, others'.

        With ``may_guess``, half a slot is taken for free even where the estimate is lower.
        """
        if self.now < worker.full_until:
            return 0.0
        # Without reports: any worker where no job pushed here waits for its start, by how few run there.
        if not self.settings.reports:
            return 0.0 if worker.unstarted else self.widest_slots + worker.slots / (
                1 + worker.own_slots + worker.predecessor_slots)
        free = worker.slots - worker.own_slots
        if self.settings.dispatchers > 1:  # as a report fades, the average of the fleet's reports stands in
            trust = max(0.0, 1 - (self.now - worker.reported_at) / (
                REPORT_LIFETIME_PERIODS * worker.report_period_us))
            free -= trust * max(0.0, worker.other_slots) + (1 - trust) * (1 - self.free_share) * worker.slots
            free = max(free, (1 - trust) * 0.5)
        # Starts outweigh reports: a job not begun shows that no slot was free for it.
        return ((max(free, 0.5) if may_guess else free) - len(worker.unstarted)
                if self.settings.tells_start else free)

    def _pace(self, worker: Worker) -> float:
        """Return a worker's run times over those of all, starting from its kind's where none was adopted."""
        kind = self.kind_pace.get(worker.entry.kind) if not worker.pace_mean.prior_weight else None
        return (worker.pace + worker.pace_mean.prior_share * (kind.value - worker.pace_mean.prior)
                if kind else worker.pace)

    def _start_weight(self, worker: Worker) -> float:
        """Return a worker's weight: by waits for starts, the one sign of others' jobs, and zone silence."""
        connection_us = self.least_wait_us.get((
            worker.entry.zone != self.settings.zone,
            not worker.has_idle_connection(self.now, self.max_idle_us)), 0.0)
        # The workers of a zone are often lost together.
        unheard = max(0, self.unheard_pushes.get(worker.entry.zone, 0) - UNHEARD_FREE)
        return 1 / (1 + (worker.start_wait.value + connection_us) / self.mean_run_us) ** WAIT_EXPONENT / (
            1 + unheard) ** 2

    def _silence(self, worker: Worker) -> float:
        """Return the work unanswered since the last sign that the worker serves, in mean run times."""
        mean = self.mean_run_us * min(max(worker.pace, 1.0), 2.0)
        return worker.silence + min(worker.own_slots, worker.slots) * (self.now - worker.silence_at) / mean

    def _doubt(self, worker: Worker) -> float:
        """Return the doubt whether a worker serves: blame for faults, and silence with work."""
        return worker.blame + (silence if (silence := self._silence(worker) / SILENCE_RUN_TIMES) > 1 else 0.0)

    def _doubt_limit(self) -> float:
        """Return the doubt from which workers are avoided; the best quarter of the fleet never is."""
        # If most workers look sick, the fault may be on this side.
        doubts = sorted(self._doubt(w) for w in self.local + self.remote)
        return max([TRIAL_DOUBT, *(d + 1e-9 for d in doubts[: max(1, len(doubts) // 4)])])

    def _is_usable(self, worker: Worker, limit: float) -> bool:
        """Return whether a worker may have a job: one below the limit of doubt any, others trial jobs.

        Trial jobs go one at a time, ever more rarely; after two failures a worker listed as gone gets none.
        """
        gone = worker.entry.phase is api.Phase.GONE
        trial = worker.own_slots == 0 and self.now >= worker.next_trial and not (gone and worker.failures > 1)
        return trial or self._doubt(worker) < (TRIAL_DOUBT if gone else limit)

    def _may_try_unproven(self, worker: Worker, request: Request) -> bool:
        """Probe an unproven worker where that is allowed, else return whether it may have this trial job.

        Trial jobs go one at a time over all unproven workers; unsafe ones only if all classes are unsafe.
        """
        if self.settings.may_probe:
            if self.probe_budget >= 1 and self.now >= worker.next_trial:
                self.probe_budget, worker.failures = self.probe_budget - 1, worker.failures + 1
                worker.next_trial = self.now + int(
                    SILENCE_RUN_TIMES * self.mean_run_us) * 2 ** min(worker.failures, 4)
                self.actions.append(api.Probe(worker.entry.worker))
            return False
        unsafe = [c.effect is api.Effect.UNSAFE for c in self.settings.classes]
        risky = unsafe[request.job_class] and not all(unsafe)
        return not risky and worker.own_slots == 0 and self.now >= max(
            self.unproven_trial_at, worker.next_trial)

    def _cold_budget_left(self, worker: Worker) -> bool:
        """Return whether this dispatcher may push to a worker; only a cold one has a budget.

        The budget is this dispatcher's part, by traffic, of what a cold worker bears in a window of time.
        """
        settings = self.settings
        if not worker.is_warming(self.now, settings.warm_up_us):
            return True
        # All dispatchers hear of a restart at once: their windows begin apart, else their pushes coincide.
        if not worker.window_until:
            worker.window_pushes, worker.window_until = (
                0, self.now + int(settings.fall_us * self.rng.random()))
        elif self.now >= worker.window_until:
            warmth = settings.cold_from + (1 - settings.cold_from) * max(
                0, self.now - worker.cold_since) / settings.warm_up_us
            run_us, slots = self.mean_run_us * max(self._pace(worker), 1.0), worker.slots
            if not settings.reports and self.local:  # assume the load when all tenants use their quotas
                slots = max(slots, self.even_rate * settings.dispatchers * self.mean_run_us / 1e6 / len(
                    self.local))
            budget = COLD_BUDGET_SHARE * settings.fall_multiple * warmth * settings.fall_us * slots / run_us
            budget -= COLD_MARGIN_DEVIATIONS * math.sqrt(min(budget, (settings.dispatchers - 1) / 4))
            if not settings.reports:  # used at once, so it must not keep it busier than others
                budget = min(budget, COLD_CAPACITY_MULTIPLE * warmth * settings.fall_us * slots / run_us)
            worker.window_pushes = int(
                max(0.0, budget) * self.quota_multiple / settings.dispatchers + self.rng.random())
            worker.window_until = self.now + settings.fall_us
        return worker.window_pushes > 0

    def _push(self, request: Request, worker: Worker) -> None:
        self._unqueue(request)
        key = (request.id, len(request.attempts))
        self._update_silence(worker)
        worker.own_slots, worker.window_pushes = worker.own_slots + request.slots, worker.window_pushes - 1
        if not worker.proven:
            self.unproven_trial_at = self.now + int(self.mean_run_us) * 2 ** min(self.unproven_failures, 6)
        # The worker may have dropped connections that idled so long; a new one is safe.
        if worker.idle_since and self.now - worker.idle_since[-1] > self.max_idle_us:
            worker.idle_since.clear()
            self.actions.append(api.Release(worker.entry.worker))
        idle_us = self.now - worker.idle_since.pop() if worker.idle_since else 0
        worker.unstarted.add(key)
        self.unheard_pushes[worker.entry.zone] = min(
            self.unheard_pushes.get(worker.entry.zone, 0) + 1, UNHEARD_MAX)
        self.open_attempts[key] = Attempt(
            request, worker.entry.worker, worker.entry.location, self.now,
            worker.entry.zone != self.settings.zone, idle_us)
        request.attempts.append(self.open_attempts[key])
        self.copy_budget = min(self.copy_budget + COPIES_PER_PUSH, 10.0)
        self.actions.append(api.Push(request.id, worker.entry.worker))
        if self.settings.allows_copies(request.job_class):
            heapq.heappush(self.copy_checks, (self.now + self._slack_us(request.job_class) // 2, *key))

    def _send_copies(self) -> None:
        """Send second copies of attempts that are overdue, have not begun or are at a doubted worker."""
        settings = self.settings
        while self.copy_checks and self.copy_checks[0][0] <= self.now:
            _, request_id, number = heapq.heappop(self.copy_checks)
            request = self.requests.get(request_id)
            if request is None or request.attempts[number].outcome:
                continue
            attempt, worker = request.attempts[number], self.workers[request.attempts[number].worker]
            overdue = self.now - attempt.sent_at > SILENCE_RUN_TIMES * self.class_run_us[
                request.job_class] * max(worker.pace, 1.0)
            if overdue and attempt.idle_us:  # nothing came back over a connection that had idled so long
                self.max_idle_us = min(self.max_idle_us, attempt.idle_us / 2)
            needed = (overdue or (settings.tells_start and not attempt.began_at)
                      or self._doubt(worker) >= TRIAL_DOUBT)
            allowed = self.copy_budget >= 1 and number + 1 == len(
                request.attempts) < settings.attempt_limit(request.job_class)
            if needed and allowed and self.now <= request.late_at and (target := self._pick_worker(request)):
                self.copy_budget -= 1
                self._push(request, target)
            else:
                # A tick at least: put off by nothing, it would be due again in this very step, for ever.
                pause = max(int(self.mean_run_us / 4), settings.tick_us)
                heapq.heappush(self.copy_checks, (self.now + pause, request_id, number))

    def _update_silence(self, worker: Worker) -> None:
        """Bring a worker's silence up to now; to be called before the slots in use there change."""
        worker.silence, worker.silence_at = self._silence(worker), self.now

    def _release_if_draining(self, worker: Worker) -> None:
        """Close idle connections to a draining worker: at the notice and after each outcome there."""
        if self.settings.release_within_us and worker.entry.phase is api.Phase.DRAINING:
            worker.idle_since.clear()
            self.actions.append(api.Release(worker.entry.worker))

    def _on_job_began(self, event: api.JobBegan) -> None:
        if attempt := self.open_attempts.get(key := (event.request, event.attempt)):
            worker = self.workers[event.worker]
            self._update_silence(worker)
            self.unheard_pushes[worker.entry.zone] = 0
            if not attempt.began_at:
                attempt.began_at, worker.silence = self.now, 0.0
                wait, connection = self.now - attempt.sent_at, (attempt.crossed, not attempt.idle_us)
                self.least_wait_us[connection] = min(
                    wait, self.least_wait_us.get(connection, wait) * (1 + LEARN_RATE / 5))
                worker.start_wait.add(
                    wait - self.least_wait_us[connection], 2 * LEARN_RATE, self.now, 2 * LEARN_RATE)
                worker.unstarted.discard(key)
                if wait > self._slack_us(attempt.request.job_class):
                    self._note_overload(worker)  # its wait alone made it late
                    self.copy_budget = max(0.0, self.copy_budget - 1)  # where work queues, a copy waits too
                    if not self.settings.reports:  # nothing else shows the queue there: let it run down
                        worker.full_until = self.now + int(QUEUE_PAUSE_SHARE * wait)

    def _on_lease_changed(self, event: api.LeaseChanged) -> None:
        """Stop or resume pushing; without a lease, jobs wait as long as they can or are refused."""
        self.leased = event.held

    def _on_predecessor_load(self, event: api.PredecessorLoad) -> None:
        if worker := self.workers.get(event.worker):
            worker.note_predecessor_load(event.slots, event.unstarted)

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        key = (event.request, event.attempt)
        if key not in self.open_attempts:
            return
        attempt, worker = self.open_attempts.pop(key), self.workers[event.worker]
        attempt.outcome = event.outcome
        self._update_silence(worker)
        worker.own_slots -= attempt.request.slots
        worker.unstarted.discard(key)
        if event.outcome is not api.Outcome.MOOT:
            worker.idle_since = [*worker.idle_since[-15:], self.now] if event.outcome in api.ANSWERED else []
        if not attempt.idle_us:
            self.connect_failures += 2 * LEARN_RATE * (
                (event.outcome is api.Outcome.CONNECT_FAILED) - self.connect_failures)
        elif event.outcome is api.Outcome.RESET and event.spent_us < self.settings.tick_us:
            self.max_idle_us = min(self.max_idle_us, attempt.idle_us / 2)  # at once: the connection was gone
        slack = self._slack_us(attempt.request.job_class)
        failed = event.outcome is not api.Outcome.SERVED or attempt.began_at - attempt.sent_at > slack
        self.failure_share[attempt.crossed] += LEARN_RATE / 2 * (failed - self.failure_share[attempt.crossed])
        self.failure_share[True] *= 1 - LEARN_RATE / 20  # so that failed crossings are tried again some time
        self._release_if_draining(worker)
        run_us = min(event.spent_us, self.now - attempt.began_at)  # without the wait, if starts are reported
        self._learn_from(worker, attempt, event.outcome, run_us)
        self._take_report(worker, event.report)
        if event.complete:
            self._drop(event.request)
        elif (request := self.requests.get(event.request)) and all(a.outcome for a in request.attempts):
            # Its worker died just after it began, or it errs as its tenant's jobs do everywhere: it may crash
            # or fail any worker, so it goes nowhere else. May hurt one begun just before an unrelated crash.
            at_fault = event.outcome is api.Outcome.RESET and (
                run_us < SHORT_JOB_RUN_TIMES * self.mean_run_us) or self._is_tenant_fault(attempt)
            may_retry = len(request.attempts) < self.settings.attempt_limit(request.job_class) and (
                self.now < request.useless_at) and not at_fault
            if may_retry and any(self.may_repeat_at(request, request.maybe_ran(), w, self.connected_at)
                                 for w in self.local + self.remote):
                self.retry_queue.append(request)
            else:
                self._give_up(request)

    def _is_tenant_fault(self, attempt: Attempt) -> bool:
        """Return whether an error is the job's fault: its tenant's err far more than the median tenant's."""
        own, shares = self.tenants[attempt.request.tenant].error_share, sorted(
            t.error_share for t in self.tenants)
        return attempt.outcome is api.Outcome.ERROR and own > shares[len(shares) // 2] + TRIAL_DOUBT

    def _note_overload(self, worker: Worker) -> None:
        """Lower the token rate for a sign of overload; doubted workers' signs say nothing of load."""
        if self._doubt(worker) < TRIAL_DOUBT:
            self.rate_factor = max(self.rate_factor * (
                1 - RATE_DECREASE * (1 - self.free_share) * self.factor_step), MIN_RATE_FACTOR)

    def _learn_from(self, worker: Worker, attempt: Attempt, outcome: api.Outcome, spent_us: int) -> None:
        """Update the estimates of worker, class, kind and tenant from an ended attempt."""
        request, run_us = attempt.request, self.class_run_us[attempt.request.job_class]
        if outcome in (api.Outcome.FULL, api.Outcome.TIMED_OUT, api.Outcome.RESET):
            self._note_overload(worker)
        if outcome is api.Outcome.FULL:
            worker.slots = worker.slots if worker.slots_reported else max(1.0, worker.own_slots)
            # It may be full of jobs that it never ends: each refusal in a row doubles the pause.
            worker.full_refusals, worker.full_until = worker.full_refusals + 1, self.now + int(
                run_us / worker.slots) * 2 ** min(worker.full_refusals, 6)
        if outcome in (api.Outcome.SERVED, api.Outcome.ERROR):
            tenant = self.tenants[request.tenant]
            tenant.error_share += LEARN_RATE * ((outcome is api.Outcome.ERROR) - tenant.error_share)
        if outcome in api.FAULTS and not self._is_tenant_fault(attempt):
            self.unproven_failures += not worker.proven
            # One broken connection is chance; a second before the worker has served may mean a restart.
            chance = outcome is api.Outcome.RESET and not worker.failures
            worker.blame = worker.blame / 2 + (FIRST_RESET_BLAME if chance else 1)
            if outcome is api.Outcome.RESET and not chance:
                worker.cold_since, worker.broke_at, worker.window_until = self.now, self.now, 0
            worker.failures, worker.failed_at, worker.failed_by_error = (
                worker.failures + 1, self.now, outcome is api.Outcome.ERROR)
            worker.next_trial = self.now + int(run_us) * 2 ** min(worker.failures - 1, 4)
        if outcome is not api.Outcome.SERVED:
            return
        self.max_idle_us = min(self.max_idle_us * (1 + LEARN_RATE / 5), self.settings.conn_idle_us)
        if not worker.proven:
            worker.proven, self.unproven_failures, self.unproven_trial_at = (
                True, self.unproven_failures // 2, self.now)
        worker.failures = worker.failures // 2 if worker.failed_by_error else 0
        worker.blame, worker.silence, worker.full_refusals, worker.confirmed_at = (
            worker.blame / 2, 0.0, 0, self.now)
        # A worker that errs may fail most jobs, not all: one served job does not end its trials.
        if worker.blame >= TRIAL_DOUBT and worker.failed_by_error:
            worker.next_trial = self.now + int(run_us) * 2 ** min(worker.failures + 1, 4)
        # A run time over a hint measures the worker. Without a hint it depends more on the job: there the
        # whole kind of the worker tells sooner, and its own runs add up slowly. Run times at a cold worker
        # tell only of its cold state.
        if request.hint_us:
            self.run_over_hint.add(ratio := spent_us / request.hint_us, LEARN_RATE / 5)
            ratio, weight = min(ratio / self.run_over_hint.value, 4.0), max(
                1 / (worker.timed_runs + 4), LEARN_RATE)
        else:
            ratio = min(spent_us / run_us, 10.0)
            weight = 2 * LEARN_RATE if self.settings.reports else max(
                1 / (worker.timed_runs + KIND_WEIGHT_RUN_TIMES), LEARN_RATE / 2)
        if request.hint_us or self.settings.reports or not worker.is_warming(
                self.now, self.settings.warm_up_us):
            worker.timed_runs += 1
            worker.pace_mean.add(ratio, weight, self.now, LEARN_RATE / 5)
            self.kind_pace.setdefault(worker.entry.kind, RunningMean(1.0)).add(
                ratio, LEARN_RATE / 5 if request.hint_us else LEARN_RATE / 20)
        self.run_counts[request.job_class] += 1
        self.class_run_us[request.job_class] += max(
            1 / self.run_counts[request.job_class], LEARN_RATE / 5) * (max(1, spent_us) - run_us)
        self.own_run_us[request.job_class].add(max(1, spent_us), LEARN_RATE / 5)
        if worker.own_slots + 1 >= worker.slots and not worker.slots_reported:
            worker.slots += 1 / worker.slots
        if self.now - self.emptied_at < 2 * run_us:
            self.rate_factor += RATE_INCREASE * self.free_share * self.factor_step

    def _take_report(self, worker: Worker, report: api.Report | None) -> None:
        """Update a worker's slots and the load that others put on it from a report, unless it is a repeat."""
        by_probe = self.settings.reports_by_probe
        if report is None or (report == worker.report and not by_probe
                              and self.now - worker.reported_at < worker.report_period_us):
            return
        worker.report_period_us += LEARN_RATE * (
            min(self.now - worker.reported_at, 2 * worker.report_period_us) - worker.report_period_us)
        worker.report, worker.reported_at = report, self.now
        busy, free = worker.own_slots if report.inflight is None else report.inflight, report.free_slots
        if free is not None:
            self.free_share += LEARN_RATE * (min(1.0, free / worker.slots) - self.free_share)
            if report.inflight is None:  # others' jobs are unknown: fading maximum of free and own slots
                worker.slots = max(
                    worker.slots - LEARN_RATE / 4 if worker.slots_reported else 1.0, free + busy)
                busy = worker.slots - free
            elif free >= 0.5 or not worker.slots_reported:
                worker.slots = max(1.0, round(free + busy))
            self.typical_slots += LEARN_RATE * (worker.slots - self.typical_slots)
            worker.slots_reported = True
        worker.other_slots += (1.0 if by_probe else 3 * LEARN_RATE) * (
            busy - worker.own_slots - worker.other_slots)

    def _on_probe_ended(self, event: api.ProbeEnded) -> None:
        self.open_probes = max(0, self.open_probes - 1)
        if worker := self.workers.get(event.worker):
            self._take_report(worker, event.report)
            self._release_if_draining(worker)
            if event.outcome is api.Outcome.SERVED and not worker.proven:
                worker.proven, worker.failures, worker.next_trial = True, 0, 0
            elif event.outcome not in (api.Outcome.SERVED, api.Outcome.FULL):
                worker.blame = worker.blame / 2 + 1

    def _give_up(self, request: Request) -> None:
        """Give a request its final answer: a refusal if surely nothing ran, else a failure."""
        tenant, most = self.tenants[request.tenant], self.settings.max_retry_after_us
        wait = min(1e6 * (tenant.throttle.waiting + 1) / max(tenant.share * self.rate, 1e-3), most)
        self.actions.append(
            api.Fail(request.id) if request.maybe_ran() else api.Refuse(request.id, int(wait)))
        self._drop(request.id)

    def _on_abandoned(self, event: api.Abandoned) -> None:
        """Forget a request whose client is gone; if allowed, cancel its attempts, now useless."""
        if self.settings.may_cancel and (request := self.requests.get(event.request)):
            self.actions += [
                api.Cancel(request.id, n) for n, a in enumerate(request.attempts) if not a.outcome]
        self._drop(event.request)

    def _drop(self, request_id: int) -> None:
        """Forget a request; one that was still buffered gives its slots back to the throttle."""
        if (request := self.requests.pop(request_id, None)) and self._unqueue(request):
            self.tenants[request.tenant].throttle.add(request.slots)

    def _unqueue(self, request: Request) -> bool:
        """Take a request off any queue; return whether it was in its tenant's buffer."""
        if queue := next((q for q in (self.retry_queue, self.late_queue) if request in q), None):
            queue.remove(request)
        elif not request.attempts and request in self.tenants[request.tenant].buffered:
            self.tenants[request.tenant].buffered.remove(request)
            return True
        return False

    def _on_worker_list(self, event: api.WorkerList) -> None:
        """Follow the list; after a failure ask again, with a growing delay and not in step with others."""
        if event.kind is api.ListKind.FAILED:
            delay = self.settings.ask_within_us / 20 * 2 ** min(self.list_failures, 4)
            self.list_failures, self.ask_at = (
                self.list_failures + 1, self.now + int(delay * (0.5 + self.rng.random() / 2)))
            self.actions.append(
                api.Log(f"worker list: asking failed, next try in {self.ask_at - self.now} us"))
            return
        settings, first, self.list_failures = self.settings, not self.workers, 0
        entries = {e.worker: e for e in event.entries}
        if event.kind is not api.ListKind.CHANGES:
            entries = {k: replace(w.entry, phase=api.Phase.GONE) for k, w in self.workers.items()} | entries
        for entry in entries.values():
            worker = self.workers.get(entry.worker)
            if worker is None:
                worker = Worker(entry, self.now, entry.started_us, self.now, first, slots=self.typical_slots)
                self.workers[entry.worker] = worker
            elif entry.started_us > worker.entry.started_us:
                worker.cold_since, worker.blame, worker.silence, worker.window_until = (
                    entry.started_us, 0.0, 0.0, 0)
                worker.idle_since.clear()
            # Keeps the latest start: after an old list, the next true one must not look like a restart.
            worker.entry = replace(entry, started_us=max(entry.started_us, worker.entry.started_us))
            if entry.phase is api.Phase.READY:
                worker.confirmed_at = self.now
                worker.drain_start = worker.drain_start if entry.started_us <= worker.drain_start else -1
            elif entry.phase is api.Phase.DRAINING:  # in force until the worker is known to have restarted
                worker.drain_start = max(worker.drain_start, entry.started_us)
            self._release_if_draining(worker)
        check_locations(self.requests.values(), event.entries)
        # Where only a drain closes a worker, one that is listed as gone or not at all is kept for a while.
        old = self.now - FORGET_INTERVALS * settings.ask_within_us if settings.drain_binds_alone else self.now
        self.workers = {
            k: w for k, w in self.workers.items()
            if w.own_slots or w.entry.phase is not api.Phase.GONE or (w.proven and w.confirmed_at > old)}
        usable = [
            w for w in self.workers.values()
            if w.drain_start < 0 and w.proven and settings.drain_binds_alone
            or w.entry.phase is api.Phase.READY and not (w.drain_start >= 0 and settings.drain_binds_alone)]
        self.local = [
            w for w in usable
            if w.entry.zone == settings.zone or not settings.cross_zone_price or not settings.reports]
        self.remote = [
            w for w in usable
            if w.entry.zone != settings.zone and settings.cross_zone_price and settings.reports]
