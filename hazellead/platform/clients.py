"""Handles clients' requests and workers' call-backs, which arrive at the same listener."""

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
from hazellead.platform.config import Names, name_index, parse_span
from hazellead.platform.workers import callback_error

log = structlog.get_logger()

CALLBACK_PATH = "/v1/job-events"
READINESS_PATH = "/up"
_JOB_ID = re.compile(r"[0-9A-Za-z._~-]{1,128}\Z")  # it becomes part of a URL's path


class Reply:
    """Answers one HTTP client; the HTTP protocol cannot report the start or the progress of a job."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange: Exchange) -> None:
        """Answer through this exchange."""
        self._exchange = exchange

    def served(self, result: bytes) -> None:
        """Answer 200 with the result."""
        self._exchange.respond(200, result)

    def refused(self, retry_after: timedelta) -> None:
        """Answer 429 with a Retry-After."""
        self._exchange.respond(429, b"", {"Retry-After": f"{max(retry_after.total_seconds(), 0.001):.3f}"})

    def failed(self, reason: str) -> None:
        """Answer 502 with the reason."""
        self._exchange.respond(502, f"{reason}\n".encode())

    def began(self) -> None:
        """Do nothing."""

    def progressed(self, share: float) -> None:
        """Do nothing."""

    def partial(self, data: bytes, *, warning: bool, exception: bool) -> None:
        """Do nothing."""


class BadRequestError(Exception):
    """A request that is not accepted; ``status`` is the status of the answer."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the status and the reason."""
        super().__init__(reason)
        self.status = status


class HttpRequestHandler:
    """Turns requests into jobs for the scheduler and passes call-backs to the worker transport."""

    def __init__(
        self, scheduler: Scheduler, names: Names,
        report: Callable[[str, str, str, Any], "asyncio.Future[int] | None"],
        up: Callable[[], bool], takes_jobs: Callable[[], bool],
    ) -> None:
        """``report(id, sender, state, payload)`` handles a call-back.

        It returns None if the call-back was handled by this process, otherwise a future of the status to
        answer with. ``up`` tells whether READINESS_PATH is answered 200, ``takes_jobs`` whether new jobs are
        accepted.
        """
        self._scheduler, self.names, self._report = scheduler, names, report
        self._up, self._takes_jobs = up, takes_jobs
        # Keeps a request for another process, which alone accepts jobs; False: it is to be handled here.
        self.defer: Callable[[Exchange], bool] = lambda exchange: False

    def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        method, target, _ = exchange.message.start_line
        path = target.partition("?")[0]
        try:
            if path == READINESS_PATH:
                self._require_method(method, "GET")
                exchange.respond(200 if self._up() else 503)
            elif path == CALLBACK_PATH:
                self._require_method(method, "POST")
                exchange.from_worker = True
                if pending_status := self._call_back(exchange.message.body):
                    pending_status.add_done_callback(lambda status: exchange.respond(status.result()))
                else:
                    exchange.respond(200)
            elif not self.defer(exchange):
                self._submit(exchange, accepts=self._takes_jobs())
        except BadRequestError as bad:
            self._reject(exchange, bad)

    def refuse(self, exchange: Exchange) -> None:
        """Answer a request for a job without accepting the job."""
        try:
            self._submit(exchange, accepts=False)
        except BadRequestError as bad:
            self._reject(exchange, bad)

    def _reject(self, exchange: Exchange, bad: BadRequestError) -> None:
        allow = {"Allow": str(bad).split()[-1]} if bad.status == 405 else None
        exchange.respond(bad.status, f"{bad}\n".encode(), allow)

    def _require_method(self, method: str, allowed: str) -> None:
        if method != allowed:
            raise BadRequestError(405, f"use {allowed}")

    def _submit(self, exchange: Exchange, *, accepts: bool) -> None:
        method, target, _ = exchange.message.start_line
        parts = target.partition("?")[0].split("/")
        class_index = name_index(self.names.classes, parts[1]) if parts[0] == "" and len(parts) > 1 else -1
        if class_index < 0:
            raise BadRequestError(404, "no such class")
        self._require_method(method, "POST")
        job = self._job(exchange, target, class_index)
        if not accepts:
            self._scheduler.refuse(job, Reply(exchange))
            return
        self.follow(exchange, self._scheduler.submit(job, Reply(exchange)))

    def follow(self, exchange: Exchange, number: int) -> None:
        """Link a request to its job, which is abandoned if the client disconnects."""
        exchange.job, exchange.on_disconnect = number, lambda: self._scheduler.abandon(number)

    def _job(self, exchange: Exchange, target: str, class_index: int) -> Job:
        headers = exchange.message.headers
        identity = headers.get("x-trace-id", "")
        if not _JOB_ID.match(identity):
            raise BadRequestError(400, "X-Trace-Id is missing or malformed")
        if self._scheduler.has_seen(identity):
            raise BadRequestError(409, "X-Trace-Id has been used")
        tenant_index = (
            name_index(self.names.tenants, headers.get("x-customer", "")) if self.names.tenants else 0)
        if tenant_index < 0:
            raise BadRequestError(400, "X-Customer is missing or unknown")
        job_class = self._scheduler.generation.class_ids[class_index]
        tenant = self._scheduler.generation.tenant_ids[tenant_index]
        expires_in = headers.get("x-expires-in")
        deadline = from_us(self._scheduler.settings.classes[job_class].deadline_us)
        remaining = deadline if expires_in is None else parse_span(expires_in)
        if remaining is None:
            raise BadRequestError(400, "X-Expires-In is malformed")
        # Capped by the class's deadline, which bounds the timers.
        remaining = max(timedelta(0), min(remaining, deadline) - exchange.waited)
        idempotency_key = headers.get("idempotency-key", "")
        if len(idempotency_key) > self._scheduler.limits.name:
            raise BadRequestError(400, "Idempotency-Key is too long")
        return Job(identity, target, exchange.message.body, job_class, tenant, remaining,
                   slots=self._slots(headers.get("x-props", "")),
                   function=self.names.classes[class_index], class_name=self.names.classes[class_index],
                   idempotency_key=idempotency_key)

    def _slots(self, text: str) -> float:
        props = dict(p.strip().partition("=")[::2] for p in text.split(",") if p.strip())
        try:
            # Both names are in use: a job that needs many slots must not be taken for one that needs one.
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
        payload = event.get("share", 0) if state == "running" else event.get("result")
        if error := callback_error(state, payload):
            raise BadRequestError(400, error)
        return self._report(identity, sender, state, payload)


