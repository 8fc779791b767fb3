"""What clients, workers and discovery record of one run. Times are seconds of one monotonic clock."""

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(slots=True)
class Answer:
    """One answer as its client read it whole."""

    at: float
    status: int
    body: str


@dataclass(slots=True)
class Request:
    """One request as its client sent it."""

    identity: str
    slot: str  # the scheduler that its connection leads to
    effect: str  # as the settings call it
    deadline: float  # seconds from its last byte
    fresh: bool  # the first request on its connection
    crowded: bool  # sent while idle clients fill the scheduler's descriptors
    first_byte: float
    last_byte: float | None = None  # None: not written whole
    left: float | None = None  # when its client closed the connection of its own accord
    ended: float | None = None  # when its connection ended without a whole answer
    answers: list[Answer] = field(default_factory=list)


@dataclass(slots=True)
class Attempt:
    """One attempt as its worker received it whole."""

    identity: str
    worker: str
    first_byte: float
    last_byte: float
    time_left: float  # as the scheduler told it
    result: str  # what the worker answers if it runs
    may_have_run: bool = True
    ended: float | None = None  # when it was over for its worker, or was given up


@dataclass(slots=True)
class Change:
    """One change of the list of servers."""

    version: int
    at: float
    worker: str
    state: str  # up, draining or removed


@dataclass(slots=True)
class Told:
    """One answer that discovery has written to a scheduler."""

    at: float
    slot: str
    version: int


@dataclass(slots=True)
class ProcessLife:
    """One scheduler process."""

    slot: str
    started: float
    ready: float | None = None
    terminated: float | None = None  # when SIGTERM was sent
    killed: float | None = None  # when SIGKILL was sent at a moment that nobody had planned
    killed_as_planned: bool = False  # by the SIGKILL that follows SIGTERM
    ended: float | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class Silence:
    """A watch of a scheduler that fell silent."""

    slot: str
    at: float


@dataclass(slots=True)
class Outage:
    """A span in which discovery could not be reached."""

    begin: float
    end: float | None = None


@dataclass(slots=True)
class Records:
    """All records of one run."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    lives: list[ProcessLife] = field(default_factory=list)
    holdups: list[tuple[float, float]] = field(default_factory=list)  # of the stand-ins: until when, how long

    def written(self) -> dict[str, Any]:
        """Return all as plain values, for a file."""
        return asdict(self)
