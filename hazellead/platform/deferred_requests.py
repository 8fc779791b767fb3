"""Requests that a process with a successor does not accept: they go to the successor with their connections.

While two processes serve at one address, only the newer one accepts jobs. It knows every id that the older
one has accepted, so each new id is checked against all that are in use.
"""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

import structlog

from hazellead.core.clock import Clock
from hazellead.net.server import Exchange

log = structlog.get_logger()


class DeferredRequests:
    """Requests that wait to be passed on; each is refused if that takes too long."""

    def __init__(
        self, clock: Clock, handle: Callable[[Exchange], None], refuse: Callable[[Exchange], None],
    ) -> None:
        """``handle`` processes a request in this process after all; ``refuse`` answers it without a job."""
        self._clock, self._handle, self._refuse = clock, handle, refuse
        self._deferred_at: dict[Exchange, datetime] = {}

    def add(self, exchange: Exchange, longest_wait: timedelta) -> None:
        """Keep a request until it is passed on."""
        self._deferred_at[exchange] = self._clock.now()
        asyncio.get_running_loop().call_later(longest_wait.total_seconds(), self._expire, exchange)

    def __contains__(self, exchange: Exchange | None) -> bool:
        """Return whether this request waits here."""
        return exchange in self._deferred_at

    def remove(self, exchange: Exchange) -> timedelta:
        """Forget a request; return how long it has waited since it had come whole."""
        return exchange.waited + (self._clock.now() - self._deferred_at.pop(exchange))

    def handle_all(self) -> None:
        """Handle all requests in this process: there is no successor any more."""
        for exchange in list(self._deferred_at):
            exchange.waited = self.remove(exchange)
            if not exchange.answer.done():  # else the client has disconnected
                self._handle(exchange)

    def refuse_all(self) -> None:
        """Refuse all requests: the successor cannot be reached any more."""
        for exchange in list(self._deferred_at):
            self._expire(exchange)

    def _expire(self, exchange: Exchange) -> None:
        if exchange not in self:
            return
        self.remove(exchange)
        if not exchange.answer.done():
            log.warning("request_not_passed_on")
            self._refuse(exchange)
