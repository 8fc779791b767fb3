"""Checks the rules over a run, from what clients were told and what workers themselves recorded.

1. Each job taken gets exactly one whole final answer, in time, and is served only with what a worker made.
2. A single-shot job is posted at most once; it is not refused once it may have run; at most three attempts,
   one at a time.
3. Nothing new goes to a worker later than 400 ms after its drain was told or it left the list.
4. No cold worker is pushed over.

The checker keeps books of its own and shares no code with the scheduler.
"""

from dataclasses import dataclass, field

GRACE_US = 450_000  # 400 ms, and 50 more on sockets
LATE_US = 50_000
MOST_ATTEMPTS = 3
NEVER = frozenset({"full", "connect failed", "moot"})


@dataclass(slots=True)
class _Book:
    by: str
    until_us: int
    client: bool = True  # it still waits
    answer: str = ""
    runs: int = 0
    worker: str = ""  # of the last start
    out: int = 0
    attempts: int = 0
    tied: bool = False  # an attempt may have run


@dataclass(slots=True)
class RuleChecker:
    """Told everything that happens; ``broken`` lists what was against a rule, by rule and in words."""

    broken: list[tuple[int, str]] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    postings: int = 0
    _books: dict[str, _Book] = field(default_factory=dict)
    _closed: dict[tuple[str, str], int] = field(default_factory=dict)  # scheduler, worker: since when

    def took(self, identity: str, by: str, until_us: int) -> None:
        """Note that a scheduler has taken a job in, whose client gives up at ``until_us``."""
        if identity in self._books:
            self._break(1, f"{identity}: taken twice")
        self._books[identity] = _Book(by, until_us)

    def left(self, identity: str) -> None:
        """Note that its client has gone; nothing more is owed."""
        if book := self._books.get(identity):
            book.client = False

    def answered(self, identity: str, kind: str, at_us: int, made: bool = True) -> None:
        """Note a final answer; ``made`` says whether a served result was made by a worker for this job."""
        book = self._books.get(identity)
        if book is None:
            self._break(1, f"{identity}: answered but never taken")
            return
        if book.answer:
            self._break(1, f"{identity}: {kind} after {book.answer}")
        if at_us > book.until_us + LATE_US and book.client:
            self._break(1, f"{identity}: {kind} after its client gave up")
        if kind == "served" and (not made or not book.runs):
            self._break(1, f"{identity}: served what no worker made")
        if kind == "refused" and (book.tied or book.runs):
            self._break(2, f"{identity}: refused though it may have run")
        book.answer = kind
        self.answers[kind] = self.answers.get(kind, 0) + 1

    def sent(self, identity: str, scheduler: str, worker: str, at_us: int) -> None:
        """Note that an attempt's bytes have gone out."""
        book = self._books.get(identity)
        if book is None:
            self._break(2, f"{identity}: sent but never taken")
            return
        book.attempts += 1
        if book.attempts > MOST_ATTEMPTS:
            self._break(2, f"{identity}: attempt {book.attempts}")
        if book.out:
            self._break(2, f"{identity}: two attempts at once")
        if book.tied:
            self._break(2, f"{identity}: sent again though it may have run")
        book.out += 1
        closed = self._closed.get((scheduler, worker))
        if closed is not None and at_us > closed + GRACE_US:
            late = (at_us - closed) // 1000
            self._break(3, f"{identity}: sent to {worker} {late} ms after its drain was told")

    def ended(self, identity: str, outcome: str) -> None:
        """Note an attempt's end as its scheduler learnt it."""
        if book := self._books.get(identity):
            book.out = max(0, book.out - 1)
            book.tied = book.tied or outcome not in NEVER

    def ran(self, identity: str, worker: str) -> None:
        """Note that a worker has started a job, from the worker's own record."""
        self.postings += 1
        book = self._books.get(identity)
        if book is None:
            self._break(2, f"{identity}: posted by {worker} but never taken")
            return
        book.runs += 1
        if book.runs > 1:
            self._break(2, f"{identity}: posted by {book.worker} and again by {worker}")
        book.worker = worker
        if book.answer == "refused":
            self._break(2, f"{identity}: posted by {worker} after it was refused")

    def told(self, scheduler: str, worker: str, *, is_open: bool, at_us: int) -> None:
        """Note what a scheduler was told of a worker: open to new work or not."""
        if is_open:
            self._closed.pop((scheduler, worker), None)
        else:
            self._closed.setdefault((scheduler, worker), at_us)

    def fell(self, worker: str) -> None:
        """Note that a cold worker was pushed over."""
        self._break(4, f"{worker}: pushed over while cold")

    def died(self, scheduler: str) -> None:
        """Note that a scheduler was killed: it owes its clients nothing more, and has forgotten its lists."""
        for book in self._books.values():
            if book.by == scheduler and not book.answer:
                book.client, book.answer = False, "died"
        self._closed = {k: at for k, at in self._closed.items() if k[0] != scheduler}

    def close(self, now_us: int) -> list[tuple[int, str]]:
        """End the run: what is owed must have been answered. Return all that was broken."""
        for identity, book in self._books.items():
            if book.client and not book.answer and book.until_us < now_us:
                self._break(1, f"{identity}: never answered")
        return self.broken

    def _break(self, rule: int, what: str) -> None:
        if len(self.broken) < 1000:
            self.broken.append((rule, what))
