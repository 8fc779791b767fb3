"""The console's calls over HTTP/1.1, one to a connection."""

from collections.abc import Callable
from typing import Protocol

import structlog

from hazellead.net.server import Exchange

log = structlog.get_logger()


class Desk(Protocol):
    """What the calls ask for."""

    def healthy(self) -> bool:
        """Say whether this process takes clients."""

    def stats(self) -> str:
        """Return the figures."""

    def quiesce(self) -> bool:
        """Empty the scheduler; False if it is in no state for that."""

    def resume(self) -> bool:
        """Go back to work; False if it is in no state for that."""


class Console:
    """Answers the operators' calls at once: 200 for yes, 4xx or 503 for no."""

    def __init__(self, desk: Desk) -> None:
        """Answer from what the desk says."""
        self._calls: dict[str, tuple[str, Callable[[], tuple[int, str]]]] = {
            "/admin/health": (
                "GET", lambda: (200, "serving\n") if desk.healthy() else (503, "not serving\n")),
            "/admin/stats": ("GET", lambda: (200, desk.stats())),
            "/admin/quiesce": ("PUT", lambda: self._said("quiesce", desk.quiesce())),
            "/admin/resume": ("PUT", lambda: self._said("resume", desk.resume())),
        }

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        method, target, _ = exchange.message.start_line
        wanted, call = self._calls.get(target.partition("?")[0], ("", None))
        if call is None:
            exchange.respond(404, b"no such call\n")
        elif method != wanted:
            exchange.respond(405, f"use {wanted}\n".encode(), {"Allow": wanted})
        else:
            status, text = call()
            exchange.respond(status, text.encode(), {"Content-Type": "text/plain; charset=utf-8"})

    def _said(self, call: str, done: bool) -> tuple[int, str]:
        log.info("console_call", call=call, done=done)
        return (200, "done\n") if done else (409, "not in this state\n")
