"""What a host and a dispatcher say to each other: settings, events and actions.

A host creates one ``Dispatcher(settings, seed)`` for each dispatcher process and calls
``handle(now_us, events)`` whenever something happened. It carries out the returned actions in order.
The host owes the dispatcher three things: exactly one ``AttemptEnded`` for every ``Push``, a
``TimerFired`` for every ``SetTimer`` no earlier than asked, and a clock that never runs backwards.
All times are whole microseconds. Worker and request ids are opaque integers.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class ListKind(Enum):
    """What a ``WorkerList`` holds."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Phase(Enum):
    """Where a worker stands in its life."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
FAULTS = frozenset({Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.RESET})
ANSWERED = frozenset({Outcome.SERVED, Outcome.FULL, Outcome.ERROR})


@dataclass(slots=True, frozen=True)
class JobClass:
    """One class of request. ``stretch`` times the job's own run time is added to ``aim_us``."""

    aim_us: int
    deadline_us: int
    effect: Effect = Effect.SAFE
    group: str = "all"
    key_ttl_us: int = 0
    stretch: float = 0.0
    late_worth: float = 0.0
    worth: float = 1.0
    kind: int = -1
    max_attempts: int = 0  # 0: as the settings say for all
    alone: bool = False  # two attempts at once are not allowed, whatever the settings say for others


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant's share of the service; ``portion`` 0 means an equal one."""

    portion: float = 0.0
    quota_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a dispatcher is told at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1
    number: int = 0
    zone: int = 0
    tick_us: int = 1000
    max_attempts: int = 1
    may_duplicate: bool = False
    may_probe: bool = False
    may_cancel: bool = False
    reports: bool = True  # workers report their load at all
    reports_by_probe: bool = False
    tells_start: bool = False
    must_ask: bool = True
    ask_within_us: int = 10_000_000
    connect_timeout_us: int = 250_000
    max_retry_after_us: int = 1_000_000
    cold_from: float = 1.0
    warm_up_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 1_000_000
    probe_price: float = 0.0
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0
    conn_idle_us: int = 10_000_000
    release_within_us: int = 0  # 0: idle connections to a draining worker may stay
    drain_grace_us: int = 400_000  # for which sends may go on after word of a drain or a removal
    drain_binds_alone: bool = False  # only a worker listed as draining is closed to us, not one called gone

    def attempts(self, job_class: int) -> int:
        """Return how many attempts a job of a class may have."""
        return self.classes[job_class].max_attempts or self.max_attempts

    def copies(self, job_class: int) -> bool:
        """Say whether a job of a class may have two attempts at once."""
        kind = self.classes[job_class]
        return self.may_duplicate and not kind.alone and kind.effect is not Effect.UNSAFE

    def __post_init__(self) -> None:
        """Refuse settings that no dispatcher could act on."""
        checks = (
            ("classes", len(self.classes) > 0),
            ("classes.aim_us", all(c.aim_us >= 0 for c in self.classes)),
            ("classes.deadline_us", all(c.deadline_us > 0 for c in self.classes)),
            ("classes.group", all(c.group in ("all", "zone", "cell") for c in self.classes)),
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
    """What a worker says of its load; ``None`` where it does not say."""

    free_slots: float | None = None
    inflight: float | None = None
    queue: float | None = None


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """One line of the worker list."""

    worker: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    phase: Phase = Phase.READY
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True, frozen=True)
class WorkerList:
    """The worker list, or changes to it, or word that asking for it failed."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class Made:
    """An attempt that the process before this one has made; ``began_us`` 0: no start has been reported."""

    worker: int
    sent_us: int
    began_us: int = 0
    outcome: Outcome | None = None


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request has come in; one final answer is owed within ``remaining_us``.

    One that another process of this dispatcher has passed on comes with the attempts ``made``, one of which
    is out at least; they count from 0 as pushes do, and an ``AttemptEnded`` is owed for each that is out.
    """

    request: int
    job_class: int
    remaining_us: int
    tenant: int = 0
    slots: float = 1.0
    hint_us: int = 0
    made: tuple[Made, ...] = ()


@dataclass(slots=True, frozen=True)
class JobBegan:
    """A worker has begun, or is still at, an attempt."""

    request: int
    attempt: int
    worker: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt is over. ``complete`` says that the request is, too."""

    request: int
    attempt: int
    worker: int
    outcome: Outcome
    spent_us: int
    complete: bool
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Abandoned:
    """The client is gone; nothing more is owed."""

    request: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """A probe is over."""

    worker: int
    outcome: Outcome
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Another dispatcher has sent bytes."""

    sender: int
    content: bytes


@dataclass(slots=True, frozen=True)
class Retuned:
    """Other settings are in force. Classes and tenants keep their numbers, but for classes in ``fresh``."""

    settings: Settings
    fresh: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class Elsewhere:
    """What the process whose place this one has taken still has out at a worker; ``waiting``: not begun."""

    worker: int
    held: float
    waiting: int


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The lease on the worker list has run out, or has been renewed; without it nothing may be pushed."""

    held: bool


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer is due."""

    token: int


Event = (WorkerList | Arrival | JobBegan | AttemptEnded | Abandoned | ProbeEnded | PeerMessage | Retuned
         | Elsewhere | LeaseChanged | TimerFired)


@dataclass(slots=True, frozen=True)
class Push:
    """Send an attempt; attempts of a request count from 0 in this order. 0 us: until the client gives up."""

    request: int
    worker: int
    timeout_us: int = 0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not now, and a further try is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the effect may have happened."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a ``TimerFired``."""

    after_us: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a worker for its load."""

    worker: int


@dataclass(slots=True, frozen=True)
class Release:
    """Close the idle connections to a worker."""

    worker: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the worker list and for its changes from now on."""


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the whole worker list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write one line to the host's log."""

    text: str = field(default="")


Action = Push | Refuse | Fail | Cancel | SetTimer | Probe | Release | Subscribe | FetchList | Log
