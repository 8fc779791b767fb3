"""The interface between a host and a dispatcher: settings, events and actions.

A host creates one ``Dispatcher(settings, seed)`` for each dispatcher process. Whenever something happens, it
calls ``handle(now_us, events)`` and carries out the returned actions in order. It guarantees exactly one
``AttemptEnded`` for every ``Push``, a ``TimerFired`` for every ``SetTimer``, no earlier than requested, and a
clock that never runs backwards. All times are whole microseconds. Worker and request ids are opaque integers.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request may be run more than once."""

    SAFE = "safe"  # at any worker
    KEYED = "keyed"  # at workers of one group, which drop repeats with its key until the key expires
    UNSAFE = "unsafe"  # never


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"  # the worker answered with an error
    FULL = "full"  # the worker refused it for want of a free slot
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"
    MOOT = "moot"  # it was never sent


class ListKind(Enum):
    """The kind of a ``WorkerList``."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"  # a full list, perhaps out of date
    FAILED = "failed"  # no list: asking for it failed


class Phase(Enum):
    """A worker's state in the worker list."""

    READY = "ready"
    DRAINING = "draining"  # it finishes its jobs and gets no new ones
    GONE = "gone"  # removed from the list


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})  # the job has certainly not run
FAULTS = frozenset({Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.RESET})
ANSWERED = frozenset({Outcome.SERVED, Outcome.FULL, Outcome.ERROR})  # the connection can be used again

GROUPS = ("all", "zone", "cell")  # the workers that share the keys of a class
UNKNOWN_GROUP = "unknown"  # of a class whose settings do not say which workers share its keys


@dataclass(slots=True, frozen=True)
class Location:
    """Where a worker is, by names that no change of settings and no other process reinterprets.

    None stands for what is not known. It is in no group with anything, not even with itself.
    """

    zone: str | None = None
    cell: str | None = None

    def shares_group(self, other: "Location", group: str) -> bool:
        """Return whether workers at both locations are known to share the keys of a class with this group."""
        if group == "zone":
            return self.zone is not None and self.zone == other.zone
        if group == "cell":
            return self.cell is not None and self.cell == other.cell
        return group == "all"

    def checked_against(self, listed: "Location") -> "Location":
        """Return this location without the parts that a list contradicts."""
        return Location(
            self.zone if listed.zone in (None, self.zone) else None,
            self.cell if listed.cell in (None, self.cell) else None)

    def __str__(self) -> str:
        """Return zone and cell for the log; "?" for what is not known."""
        return f"{self.zone or '?'}/{self.cell or '?'}"


UNKNOWN_LOCATION = Location()


@dataclass(slots=True, frozen=True)
class JobClass:
    """One class of request. An answer is in time within ``aim_us`` plus ``stretch`` times the run time."""

    aim_us: int
    deadline_us: int
    effect: Effect = Effect.SAFE
    group: str = UNKNOWN_GROUP  # one of GROUPS: the workers that share the keys of KEYED requests
    key_ttl_us: int = 0  # how long such a key is valid, from the first attempt that may have run
    stretch: float = 0.0
    late_worth: float = 0.0  # worth of an answer after the aim; 0: a job that waits until then is refused
    worth: float = 1.0
    kind: int = -1  # the kind of worker that can run it; -1: any
    max_attempts: int = 0  # 0: ``Settings.max_attempts``
    alone: bool = False  # no two attempts at once, even with ``Settings.may_duplicate``


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant's share of the service; ``portion`` 0 means an equal one."""

    portion: float = 0.0
    quota_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one dispatcher. Prices are in points, all on one scale."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1  # in the whole fleet
    number: int = 0  # of this dispatcher among them
    zone: int = 0
    tick_us: int = 1000  # shortest time between two steps
    max_attempts: int = 1  # for a request
    may_duplicate: bool = False  # two attempts of a request may be open at once
    may_probe: bool = False
    may_cancel: bool = False
    reports: bool = True  # workers report their load
    reports_by_probe: bool = False  # they report it when probed
    tells_start: bool = False  # a ``JobBegan`` comes for each job
    must_ask: bool = True  # the worker list comes only after a ``Subscribe`` action
    ask_within_us: int = 10_000_000  # asking interval of the worker list
    connect_timeout_us: int = 250_000
    max_retry_after_us: int = 1_000_000
    cold_from: float = 1.0  # a worker has at least this part of its capacity at its start
    warm_up_us: int = 0  # time from its start to its full capacity
    # A cold worker fails if within ``fall_us`` it is sent more than this multiple of its current capacity.
    fall_multiple: float = 1.0
    fall_us: int = 1_000_000
    probe_price: float = 0.0
    cross_zone_price: float = 0.0  # of an attempt at a worker of another zone
    handshake_price: float = 0.0  # of a new connection
    conn_idle_us: int = 10_000_000  # a connection that has idled for longer is not used again
    release_within_us: int = 0  # to close idle connections to a draining worker; 0: they may stay
    drain_grace_us: int = 400_000  # sends may go on for this long after the notice of a drain or a removal
    drain_binds_alone: bool = False  # workers listed as gone may still be used, only draining ones may not

    def attempt_limit(self, job_class: int) -> int:
        """Return how many attempts a job of a class may have."""
        return self.classes[job_class].max_attempts or self.max_attempts

    def allows_copies(self, job_class: int) -> bool:
        """Return whether a job of a class may have two attempts at once."""
        kind = self.classes[job_class]
        return self.may_duplicate and not kind.alone and kind.effect is not Effect.UNSAFE

    def __post_init__(self) -> None:
        """Raise ValueError with the name of the first setting that is out of range."""
        checks = (
            ("classes", len(self.classes) > 0),
            ("classes.aim_us", all(c.aim_us >= 0 for c in self.classes)),
            ("classes.deadline_us", all(c.deadline_us > 0 for c in self.classes)),
            ("classes.group", all(c.group in (*GROUPS, UNKNOWN_GROUP) for c in self.classes)),
            ("tenants.portion", all(t.portion >= 0 for t in self.tenants)),
            ("tenants.quota_per_s", all(t.quota_per_s >= 0 for t in self.tenants)),
            ("dispatchers", self.dispatchers >= 1),
            ("tick_us", self.tick_us >= 1),
            ("max_attempts", self.max_attempts >= 1),
            ("ask_within_us", self.ask_within_us > 0),
            ("cold_from", 0 < self.cold_from <= 1),
            ("warm_up_us", self.warm_up_us >= 0),
            ("fall_multiple", self.fall_multiple > 0),
            ("fall_us", self.fall_us > 0),
            ("conn_idle_us", self.conn_idle_us >= 0),
            ("release_within_us", self.release_within_us >= 0),
            ("drain_grace_us", self.drain_grace_us >= 0),
        )
        for name, good in checks:
            if not good:
                raise ValueError(f"impossible setting: {name}")


@dataclass(slots=True, frozen=True)
class Report:
    """A worker's load as it reports it; None for a figure that it does not report."""

    free_slots: float | None = None
    inflight: float | None = None
    queue: float | None = None


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """One line of the worker list."""

    worker: int
    zone: int = 0
    kind: int = 0
    location: Location = UNKNOWN_LOCATION  # ``zone`` is for prices; this is for repeats of KEYED requests
    phase: Phase = Phase.READY
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True, frozen=True)
class WorkerList:
    """The worker list, changes to it, or the notice that asking for it failed."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class PriorAttempt:
    """An attempt made by the process before this one; ``began_us`` is 0 if no start has been reported."""

    worker: int
    sent_us: int
    began_us: int = 0
    outcome: Outcome | None = None
    location: Location = UNKNOWN_LOCATION  # of the worker when it was sent


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request has arrived; it needs one final answer within ``remaining_us``.

    A request passed on by the process before this one comes with ``prior_attempts``, at least one of them
    open. They are numbered from 0, as pushes are, and an ``AttemptEnded`` follows for each open one.
    """

    request: int
    job_class: int
    remaining_us: int
    tenant: int = 0
    slots: float = 1.0
    hint_us: int = 0  # expected run time; 0: unknown
    prior_attempts: tuple[PriorAttempt, ...] = ()


@dataclass(slots=True, frozen=True)
class JobBegan:
    """A worker has begun to run an attempt's job, or is still running it."""

    request: int
    attempt: int
    worker: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended; with ``complete`` its request has ended, too."""

    request: int
    attempt: int
    worker: int
    outcome: Outcome
    spent_us: int
    complete: bool
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Abandoned:
    """The client is gone; its request needs no answer any more."""

    request: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """A probe has ended."""

    worker: int
    outcome: Outcome
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Another dispatcher has sent bytes."""

    sender: int
    content: bytes


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings are in force. Classes and tenants keep their numbers, except ``new_classes``."""

    settings: Settings
    new_classes: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class PredecessorLoad:
    """Slots that the process before this one uses at a worker, and its jobs there that have not begun."""

    worker: int
    slots: float
    unstarted: int


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The lease on the worker list has expired or been renewed; without it nothing may be pushed."""

    held: bool


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer is due."""

    token: int


Event = (WorkerList | Arrival | JobBegan | AttemptEnded | Abandoned | ProbeEnded | PeerMessage
         | SettingsChanged | PredecessorLoad | LeaseChanged | TimerFired)


@dataclass(slots=True, frozen=True)
class Push:
    """Send one attempt of a request; ``timeout_us`` 0 means until the client's deadline.

    The attempts of a request are numbered from 0 in the order of their pushes.
    """

    request: int
    worker: int
    timeout_us: int = 0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused; the job has not run, and the client may try again after ``retry_after_us``."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the job may have run."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one open attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a ``TimerFired`` with this token after ``after_us``."""

    after_us: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a worker for its load; a ``ProbeEnded`` follows."""

    worker: int


@dataclass(slots=True, frozen=True)
class Release:
    """Close the idle connections to a worker."""

    worker: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Request the worker list and, from now on, its changes."""


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the whole worker list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write one line to the host's log."""

    text: str = field(default="")


Action = Push | Refuse | Fail | Cancel | SetTimer | Probe | Release | Subscribe | FetchList | Log
