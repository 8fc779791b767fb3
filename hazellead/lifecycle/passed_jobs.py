"""Encoding of open jobs that one process passes to its successor, and the batch in transit. No I/O.

A batch is passed in three messages. ``jobs``: the old process has parked the jobs and still owns them.
``jobs_ready``: the new process could continue these. ``jobs_yours``: the new process owns these, and the old
one has forgotten them. If ``jobs_yours`` is not sent, for whatever reason, the old process continues the
jobs; if it is sent and the new process dies, its jobs are lost with it, as those of any process are.
At no time does a job have two owners, and neither process has to guess which of them owns it.
"""

import base64
import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, fields, replace
from datetime import timedelta
from typing import Any, Generic, TypeVar

from hazellead.core.clock import from_us, to_us
from hazellead.core.jobs import Job
from hazellead.core.migration import OpenAttempt, OpenJob
from hazellead.decide import interface as api
from hazellead.lifecycle.messages import MAX_SPAN_US, MessageError

MAX_ATTEMPTS = 16  # of one job; settings allow fewer
_MAX_TEXT_LENGTH = 16 * 1024  # the limit on a request's head, which contains the target

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class PassedJob:
    """A job and the connection of the client that waits for it, without the descriptor."""

    job: OpenJob
    received: bytes  # of the client's next request
    keep_alive: bool  # the connection stays open after the answer
    proven: bool  # the connection has brought an acceptable request

    def to_body(self, *, reads_locations: bool = True) -> dict[str, Any]:
        """Return the job's JSON object in a ``jobs`` message.

        An older successor, which does not read where attempts may have run, must not repeat the job.
        """
        job, rules = self.job.job, self.job.rules
        if not reads_locations:
            rules = _without_repeats(rules)
        return {
            "id": job.identity, "target": job.target, "body": _encode_bytes(job.body), "slots": job.slots,
            "class": job.class_name, "function": job.function, "tenant": self.job.tenant,
            "idempotency_key": job.idempotency_key, "remaining": to_us(job.remaining),
            "left": to_us(self.job.left), "read": _encode_bytes(self.received),
            "keep": self.keep_alive, "proven": self.proven,
            "rules": {f.name: getattr(rules, f.name) for f in fields(rules)} | {"effect": rules.effect.value},
            "attempts": [{
                "worker": a.worker, "sent": to_us(a.sent), "left": to_us(a.left),
                "began": None if a.began is None else to_us(a.began),
                "outcome": a.outcome.value if a.outcome else None,
                "zone": a.location.zone, "cell": a.location.cell} for a in self.job.attempts]}

    @staticmethod
    def from_body(body: Any, max_bytes: int) -> "PassedJob":
        """Decode a job whose request body has up to ``max_bytes`` bytes; raises MessageError."""
        try:
            job = Job(
                _as_text(body["id"]), _as_text(body["target"]), _decode_bytes(body["body"], max_bytes), 0, 0,
                _as_span(body["remaining"]), _as_number(body["slots"], 1e6), _as_text(body["function"]), "",
                _as_text(body["class"]), _as_text(body["idempotency_key"]))
            rules = dict(body["rules"])
            effect = api.Effect(rules.pop("effect"))
            if not _states_locations(body["attempts"]):
                # An older version states "all" for a group that it does not know.
                rules["group"] = api.UNKNOWN_GROUP
            job_class = api.JobClass(effect=effect, **rules)
            _check_rules(job_class)
            attempts = tuple(OpenAttempt(
                _as_text(a["worker"]), _as_span(a["sent"]), _as_span(a["left"]),
                None if a["began"] is None else _as_span(a["began"]),
                None if a["outcome"] is None else api.Outcome(a["outcome"]),
                api.Location(_as_name(a.get("zone")), _as_name(a.get("cell")))) for a in body["attempts"])
            keep_alive, proven = body["keep"], body["proven"]
            if not job.identity or not isinstance(keep_alive, bool) or not isinstance(proven, bool):
                raise ValueError("invalid id, keep or proven")
            if len(attempts) > MAX_ATTEMPTS or all(a.outcome for a in attempts):
                raise ValueError("too many attempts, or none open")
            open_job = OpenJob(job, job_class, _as_text(body["tenant"]), _as_span(body["left"]), attempts)
            return PassedJob(open_job, _decode_bytes(body["read"], 2 * max_bytes), keep_alive, proven)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            raise MessageError(f"malformed job: {error!r:.80}") from None


def _without_repeats(rules: api.JobClass) -> api.JobClass:
    """Return rules, for a version that knows no unknown group, under which a keyed job is not repeated."""
    group = "all" if rules.group == api.UNKNOWN_GROUP else rules.group
    if rules.effect is api.Effect.KEYED and rules.group != "all":
        return replace(rules, effect=api.Effect.UNSAFE, group=group)
    return replace(rules, group=group)


def _states_locations(attempts: Sequence[Mapping[str, Any]]) -> bool:
    return all("zone" in a and "cell" in a for a in attempts)


def _check_rules(job_class: api.JobClass) -> None:
    for f in fields(job_class):
        value = getattr(job_class, f.name)
        expected = type(f.default) if f.name not in ("aim_us", "deadline_us") else int
        if expected is float:
            _as_number(value)
        elif type(value) is not expected:
            raise ValueError(f.name)
    if job_class.group not in (*api.GROUPS, api.UNKNOWN_GROUP):
        raise ValueError("unknown group")
    if job_class.aim_us < 0 or job_class.deadline_us <= 0 or job_class.max_attempts < 0:
        raise ValueError("rules out of range")


def _encode_bytes(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_bytes(text: Any, max_bytes: int) -> bytes:
    if len(text) > max_bytes * 4 // 3 + 4:
        raise ValueError("too many bytes")
    return base64.b64decode(text, validate=True)


def _as_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > _MAX_TEXT_LENGTH:
        raise ValueError("not a string, or too long")
    return value


def _as_name(value: Any) -> str | None:
    return None if value is None else _as_text(value)


def _as_number(value: Any, limit: float = MAX_SPAN_US) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not -limit <= value <= limit or (
            math.isnan(value)):
        raise ValueError("not a number, or out of range")
    return float(value)


def _as_span(value: Any) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, int) or not -MAX_SPAN_US <= value <= MAX_SPAN_US:
        raise ValueError("not a span, or out of range")
    return from_us(value)


class PendingBatch(Generic[T]):
    """The batch of jobs that one side waits to settle, by id; empty between batches."""

    def __init__(self) -> None:
        """Start without a batch."""
        self.number, self.jobs = 0, dict[str, T]()

    @property
    def pending(self) -> bool:
        """Return whether a batch is not settled yet."""
        return bool(self.jobs)

    def start(self, jobs: Mapping[str, T], number: int | None = None) -> list[T]:
        """Start a batch, by default under the next number; return the unsettled jobs of the one before."""
        unsettled, self.jobs = list(self.jobs.values()), dict(jobs)
        self.number = self.number + 1 if number is None else number
        return unsettled

    def settle(self, number: int, identities: Collection[str]) -> tuple[list[T], list[T]]:
        """End a batch with the other side's decision: return the jobs that it names, and the others.

        A late decision on another batch is ignored: both lists are empty.
        """
        if number != self.number:
            return [], []
        named = [job for identity, job in self.jobs.items() if identity in identities]
        others = [job for identity, job in self.jobs.items() if identity not in identities]
        self.jobs = {}
        return named, others

    def clear(self) -> list[T]:
        """Drop the batch; return its jobs."""
        unsettled, self.jobs = list(self.jobs.values()), {}
        return unsettled
