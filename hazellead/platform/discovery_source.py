"""One discovery service as a watch sees it: its address, the last call, failures, and the list's version."""

import asyncio
from dataclasses import dataclass
from datetime import datetime

from hazellead.platform.discovery_calls import DiscoveryConnection


@dataclass(slots=True)
class Call:
    """One call of a watch. Only calls that open a watch are queued by discovery until their turn."""

    sent_at: datetime
    follows_answer: bool  # the previous call was answered
    continues_watch: bool  # the previous call was answered, on the same connection
    on_live_watch: bool = False  # the previous call continued the watch, too: discovery has kept it open


class Source:
    """One discovery service: its address, its last version of the list, and the state of the watch on it."""

    def __init__(self, address: tuple[str, int], *, known_version: int | None = None) -> None:
        self.address = address
        self.version: int | None = None  # of its last list; versions of different services are unrelated
        self.known_version = known_version  # of the list from before the start, perhaps another service's
        self.connection: DiscoveryConnection | None = None
        self.answered = False  # the last call was answered: a call made at once continues the watch
        self.call: Call | None = None  # the last call
        self.task: asyncio.Task[None] | None = None
        self.failures = 0  # failed calls since the last list
        self.logged: tuple[str, bool] | None = None  # the last failure's reason, and whether it came at once
        self.failing_since: datetime | None = None  # time of the first failure since the last list
        self.older_since: datetime | None = None  # since when it has sent only lists older than the current
        self.unanswered = 0  # opening calls without an answer, in a row

    @property
    def index(self) -> int | None:
        """The version since which changes are requested; None to request the whole list."""
        return self.known_version if self.version is None else self.version

    def close_connection(self) -> None:
        """Close the connection, if there is one."""
        if self.connection:
            self.connection.close()
            self.connection = None

    def stop(self) -> None:
        """Cancel the watch."""
        if self.task:
            self.task.cancel()
