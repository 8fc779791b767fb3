"""The console's endpoints over HTTP/1.1, one call to a connection."""

from collections.abc import Callable
from typing import Protocol

import structlog

from hazellead.net.server import Exchange

log = structlog.get_logger()


class Administration(Protocol):
    """Operations of a scheduler that the console offers."""

    def healthy(self) -> bool:
        """Return whether this process serves clients."""

    def stats(self) -> str:
        """Return the metrics as text."""

    def quiesce(self) -> bool:
        """Begin to drain the scheduler; return whether it is being drained now."""

    def resume(self) -> bool:
        """End a drain; return whether the scheduler is ready now."""


class Console:
    """Answers the operators' calls at once: 200 on success, 4xx or 503 otherwise."""

    def __init__(self, administration: Administration) -> None:
        """Map paths to a method and an operation of ``administration``."""
        self._calls: dict[str, tuple[str, Callable[[], tuple[int, str]]]] = {
            "/admin/health": (
                "GET",
                lambda: (200, "serving\n") if administration.healthy() else (503, "not serving\n")),
            "/admin/stats": ("GET", lambda: (200, administration.stats())),
            "/admin/quiesce": (
                "PUT", lambda: self._answer_command("quiesce", administration.quiesce())),
            "/admin/resume": (
                "PUT", lambda: self._answer_command("resume", administration.resume())),
        }

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        method, target, _ = exchange.message.start_line
        allowed, call = self._calls.get(target.partition("?")[0], ("", None))
        if call is None:
            exchange.respond(404, b"no such call\n")
        elif method != allowed:
            exchange.respond(405, f"use {allowed}\n".encode(), {"Allow": allowed})
        else:
            status, text = call()
            exchange.respond(status, text.encode(), {"Content-Type": "text/plain; charset=utf-8"})

    def _answer_command(self, call: str, done: bool) -> tuple[int, str]:
        log.info("console_call", call=call, done=done)
        return (200, "done\n") if done else (409, "not in this state\n")
