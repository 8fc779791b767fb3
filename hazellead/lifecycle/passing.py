"""Open jobs as one process writes them for the next, and what each side holds while they pass. Pure.

A batch goes in three messages. ``jobs``: the old process has parked them, and still owns them.
``jobs_ready``: the new one could go on with these. ``jobs_yours``: from this word on they are the new one's,
and the old one has forgotten them. If the word is not sent, for whatever reason, the old one goes on; if it
is sent and the new one dies, its jobs die with it, as any process's do. At no moment does either side guess.
"""

import base64
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, fields
from datetime import timedelta
from typing import Any, Generic, TypeVar

from hazellead.core.clock import from_us, to_us
from hazellead.core.jobs import Job
from hazellead.core.migration import OpenAttempt, OpenJob
from hazellead.decide import interface as api
from hazellead.lifecycle.messages import MessageError

MOST_ATTEMPTS = 16  # for one job; settings allow fewer
MOST_US = 10**14  # of any span: three years
_TEXT = 16 * 1024  # a target stands in a head of at most so much

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class PassedJob:
    """A job and the connection of the client that waits for it, without the descriptor."""

    job: OpenJob
    read: bytes  # what has come of the client's next request
    keep: bool  # its connection stays open after the answer
    proven: bool

    def body(self) -> dict[str, Any]:
        """Write it."""
        job, rules = self.job.job, self.job.rules
        return {
            "id": job.identity, "target": job.target, "body": _text(job.body), "slots": job.slots,
            "class": job.class_name, "function": job.function, "tenant": self.job.tenant,
            "idempotency_key": job.idempotency_key, "remaining": to_us(job.remaining),
            "left": to_us(self.job.left), "read": _text(self.read), "keep": self.keep, "proven": self.proven,
            "rules": {f.name: getattr(rules, f.name) for f in fields(rules)} | {"effect": rules.effect.value},
            "attempts": [{
                "worker": a.worker, "sent": to_us(a.sent), "left": to_us(a.left),
                "began": None if a.began is None else to_us(a.began),
                "outcome": a.outcome.value if a.outcome else None} for a in self.job.attempts]}

    @staticmethod
    def read_from(body: Any, most: int) -> "PassedJob":
        """Read it, with ``most`` bytes of body at most; raises MessageError."""
        try:
            job = Job(
                _string(body["id"]), _string(body["target"]), _bytes(body["body"], most), 0, 0,
                _span(body["remaining"]), _number(body["slots"], 1e6), _string(body["function"]), "",
                _string(body["class"]), _string(body["idempotency_key"]))
            rules = dict(body["rules"])
            effect = api.Effect(rules.pop("effect"))
            kind = api.JobClass(effect=effect, **rules)
            _check(kind)
            attempts = tuple(OpenAttempt(
                _string(a["worker"]), _span(a["sent"]), _span(a["left"]),
                None if a["began"] is None else _span(a["began"]),
                None if a["outcome"] is None else api.Outcome(a["outcome"])) for a in body["attempts"])
            keep, proven = body["keep"], body["proven"]
            if not job.identity or not isinstance(keep, bool) or not isinstance(proven, bool):
                raise ValueError("id, keep or proven")
            if len(attempts) > MOST_ATTEMPTS or all(a.outcome for a in attempts):
                raise ValueError("attempts")
            given = OpenJob(job, kind, _string(body["tenant"]), _span(body["left"]), attempts)
            return PassedJob(given, _bytes(body["read"], 2 * most), keep, proven)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            raise MessageError(f"malformed job: {error!r:.80}") from None


def _check(kind: api.JobClass) -> None:
    for f in fields(kind):
        value = getattr(kind, f.name)
        wanted = type(f.default) if f.name not in ("aim_us", "deadline_us") else int
        if wanted is float:
            _number(value)
        elif type(value) is not wanted:
            raise ValueError(f.name)
    if kind.aim_us < 0 or kind.deadline_us <= 0 or kind.max_attempts < 0:
        raise ValueError("rules")


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _bytes(text: Any, most: int) -> bytes:
    if len(text) > most * 4 // 3 + 4:
        raise ValueError("too many bytes")
    return base64.b64decode(text, validate=True)


def _string(value: Any) -> str:
    if not isinstance(value, str) or len(value) > _TEXT:
        raise ValueError("no text")
    return value


def _number(value: Any, most: float = MOST_US) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not -most <= value <= most or (
            math.isnan(value)):
        raise ValueError("no number")
    return float(value)


def _span(value: Any) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, int) or not -MOST_US <= value <= MOST_US:
        raise ValueError("no span")
    return from_us(value)


class Batches(Generic[T]):
    """One side's jobs that are passing: one batch at a time, by their ids."""

    def __init__(self) -> None:
        """Hold none."""
        self.number, self.jobs = 0, dict[str, T]()

    @property
    def busy(self) -> bool:
        """Say whether a batch waits for the other side's word."""
        return bool(self.jobs)

    def begin(self, jobs: Mapping[str, T], number: int | None = None) -> list[T]:
        """Hold a batch, by default under the next number; return what was still held of the one before."""
        left, self.jobs = list(self.jobs.values()), dict(jobs)
        self.number = self.number + 1 if number is None else number
        return left

    def settle(self, number: int, identities: Collection[str]) -> tuple[list[T], list[T]]:
        """Take the other side's word on a batch: those that it names, and the others.

        A word that comes late, for a batch that is over, says nothing of the one that is held.
        """
        if number != self.number:
            return [], []
        named = [job for identity, job in self.jobs.items() if identity in identities]
        others = [job for identity, job in self.jobs.items() if identity not in identities]
        self.jobs = {}
        return named, others

    def void(self) -> list[T]:
        """Hold none any more; return what was held."""
        left, self.jobs = list(self.jobs.values()), {}
        return left
