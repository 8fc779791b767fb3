"""Records of one run, made by its clients, workers, discovery and process control.

Times are seconds of one monotonic clock. The field names are those of ``records.json``.
"""

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(slots=True)
class Answer:
    """One complete answer that a client read."""

    at: float
    status: int
    body: str


@dataclass(slots=True)
class Request:
    """One request that a client sent; ``first_byte`` and ``last_byte`` are the times of writing."""

    identity: str
    slot: str  # name of the scheduler that the connection leads to
    effect: str  # of its job class, by the name that the settings use
    deadline: float  # seconds from the request's last byte
    fresh: bool  # it is the first request on its connection
    crowded: bool  # it was sent while idle clients used up the scheduler's descriptors
    first_byte: float
    last_byte: float | None = None  # None: not completely written
    left: float | None = None  # when the client closed the connection before the answer
    ended: float | None = None  # when the connection ended without a complete answer
    answers: list[Answer] = field(default_factory=list)


@dataclass(slots=True)
class Attempt:
    """One completely received attempt; ``first_byte`` and ``last_byte`` are the times of receipt."""

    identity: str
    worker: str
    first_byte: float
    last_byte: float
    time_left: float  # seconds that the scheduler stated as left until the deadline
    result: str  # unique text that the worker returns as result if the job runs
    may_have_run: bool = True
    ended: float | None = None  # when the attempt was over at the worker, or was cancelled


@dataclass(slots=True)
class Change:
    """One change of a worker's state in discovery; ``version`` is the list's version since then."""

    version: int
    at: float
    worker: str
    state: str  # up, draining or removed


@dataclass(slots=True)
class ListAnswer:
    """One list that discovery wrote to a scheduler, current as of ``version``."""

    at: float
    slot: str
    version: int


@dataclass(slots=True)
class ProcessLife:
    """One scheduler process, from its start to its exit."""

    slot: str
    started: float
    ready: float | None = None
    terminated: float | None = None  # when SIGTERM was first sent
    killed: float | None = None  # when SIGKILL was sent as a fault
    killed_as_planned: bool = False  # by the SIGKILL that a shutdown sends some time after SIGTERM
    ended: float | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class Silence:
    """The time since which discovery has left a scheduler's open watches without an answer."""

    slot: str
    at: float


@dataclass(slots=True)
class Outage:
    """A span in which discovery was out of service; ``end`` is None while it lasts."""

    begin: float
    end: float | None = None


@dataclass(slots=True)
class Records:
    """All records of one run."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    told: list[ListAnswer] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    lives: list[ProcessLife] = field(default_factory=list)
    holdups: list[tuple[float, float]] = field(default_factory=list)  # test process's stalls: end, length

    def as_dict(self) -> dict[str, Any]:
        """Return all records as values that JSON can represent."""
        return asdict(self)
