"""Clients' requests and workers' call-backs, on the scheduler's one listener."""

import asyncio
import json
import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import structlog

from hazellead.core.clock import from_us
from hazellead.core.jobs import Job
from hazellead.core.scheduler import Scheduler
from hazellead.net.server import Exchange
from hazellead.platform.config import Names, parse_span, place
from hazellead.platform.workers import fault

log = structlog.get_logger()

EVENTS = "/v1/job-events"
READY = "/up"
_ID = re.compile(r"[0-9A-Za-z._~-]{1,128}\Z")  # it becomes a part of a path


class Reply:
    """Answers one HTTP client; starts and progress have no place in its protocol."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange: Exchange) -> None:
        """Answer this request."""
        self._exchange = exchange

    def served(self, result: bytes) -> None:
        """Answer 200."""
        self._exchange.respond(200, result)

    def refused(self, retry_after: timedelta) -> None:
        """Answer 429 with when to come back."""
        self._exchange.respond(429, b"", {"Retry-After": f"{max(retry_after.total_seconds(), 0.001):.3f}"})

    def failed(self, reason: str) -> None:
        """Answer 502."""
        self._exchange.respond(502, f"{reason}\n".encode())

    def began(self) -> None:
        """Do nothing."""

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


class BadRequestError(Exception):
    """A request that is not to be taken; the status says how it is answered."""

    def __init__(self, status: int, why: str) -> None:
        """Keep the answer and the reason."""
        super().__init__(why)
        self.status = status


class Front:
    """Turns requests into jobs for the scheduler and hands call-backs to the worker transport."""

    def __init__(
        self, scheduler: Scheduler, names: Names,
        report: Callable[[str, str, str, Any], "asyncio.Future[int] | None"],
        up: Callable[[], bool], takes_jobs: Callable[[], bool],
    ) -> None:
        """``report(id, sender, state, rest)`` takes in one call-back; None: it was taken in here."""
        self._scheduler, self.names, self._report = scheduler, names, report
        self._up, self._takes_jobs = up, takes_jobs

    def handle(self, exchange: Exchange) -> None:
        """Take one request in."""
        method, target, _ = exchange.message.first
        path = target.partition("?")[0]
        try:
            if path == READY:
                self._need(method, "GET")
                exchange.respond(200 if self._up() else 503)
            elif path == EVENTS:
                self._need(method, "POST")
                exchange.lasting = True
                if elsewhere := self._call_back(exchange.message.body):
                    elsewhere.add_done_callback(lambda status: exchange.respond(status.result()))
                else:
                    exchange.respond(200)
            else:
                self._submit(exchange, method, target)
        except BadRequestError as bad:
            allow = {"Allow": str(bad).split()[-1]} if bad.status == 405 else None
            exchange.respond(bad.status, f"{bad}\n".encode(), allow)

    def _need(self, method: str, wanted: str) -> None:
        if method != wanted:
            raise BadRequestError(405, f"use {wanted}")

    def _submit(self, exchange: Exchange, method: str, target: str) -> None:
        parts = target.partition("?")[0].split("/")
        at = place(self.names.classes, parts[1]) if parts[0] == "" and len(parts) > 1 else -1
        if at < 0:
            raise BadRequestError(404, "no such class")
        self._need(method, "POST")
        job = self._job(exchange, target, at)
        if not self._takes_jobs():
            self._scheduler.refuse(job, Reply(exchange))
            return
        self.follow(exchange, self._scheduler.submit(job, Reply(exchange)))

    def follow(self, exchange: Exchange, number: int) -> None:
        """Tie a request to the job that it has become."""
        exchange.job, exchange.on_gone = number, lambda: self._scheduler.abandon(number)

    def _job(self, exchange: Exchange, target: str, at: int) -> Job:
        headers = exchange.message.headers
        identity = headers.get("x-trace-id", "")
        if not _ID.match(identity):
            raise BadRequestError(400, "X-Trace-Id is missing or malformed")
        if self._scheduler.has_seen(identity):
            raise BadRequestError(409, "X-Trace-Id has been used")
        tenant = place(self.names.tenants, headers.get("x-customer", "")) if self.names.tenants else 0
        if tenant < 0:
            raise BadRequestError(400, "X-Customer is missing or unknown")
        job_class = self._scheduler.generation.class_ids[at]
        tenant = self._scheduler.generation.tenant_ids[tenant] if self.names.tenants else 0
        given = headers.get("x-expires-in")
        deadline = from_us(self._scheduler.settings.classes[job_class].deadline_us)
        remaining = deadline if given is None else parse_span(given)
        if remaining is None:
            raise BadRequestError(400, "X-Expires-In is malformed")
        # Guards the timers: nobody waits longer than the class's deadline.
        idempotency_key = headers.get("idempotency-key", "")
        if len(idempotency_key) > self._scheduler.limits.name:
            raise BadRequestError(400, "Idempotency-Key is too long")
        return Job(identity, target, exchange.message.body, job_class, tenant, min(remaining, deadline),
                   slots=self._slots(headers.get("x-props", "")),
                   function=self.names.classes[at], class_name=self.names.classes[at],
                   idempotency_key=idempotency_key)

    def _slots(self, text: str) -> float:
        props = dict(p.strip().partition("=")[::2] for p in text.split(",") if p.strip())
        try:
            # The wire's name and the pages' own: a job of many slots must not pass for one of one.
            slots = float(props.get("coresNeeded", props.get("slots", "1")))
        except ValueError:
            raise BadRequestError(400, "X-Props is malformed") from None
        if not 0 <= slots <= self._scheduler.limits.slots:
            raise BadRequestError(400, "X-Props is malformed")
        return slots or 1.0

    def _call_back(self, body: bytes) -> "asyncio.Future[int] | None":
        try:
            event = json.loads(body)
        except (ValueError, RecursionError):
            raise BadRequestError(400, "not JSON") from None
        if not isinstance(event, dict):
            raise BadRequestError(400, "not an object")
        identity, sender, state = event.get("id"), event.get("from"), event.get("state")
        if not (isinstance(identity, str) and isinstance(sender, str) and isinstance(state, str)):
            raise BadRequestError(400, "id, from and state are strings")
        rest = event.get("share", 0) if state == "running" else event.get("result")
        if wrong := fault(state, rest):
            raise BadRequestError(400, wrong)
        return self._report(identity, sender, state, rest)


