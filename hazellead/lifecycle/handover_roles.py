"""What the two processes of a hand-over do for each other, and what either still holds."""

import asyncio
import socket
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from hazellead.lifecycle.messages import Message, MessageError
from hazellead.lifecycle.passing import PassedJob
from hazellead.net.server import Detached


@dataclass(slots=True, frozen=True)
class Holds:
    """What a process still has open: connections of clients and to workers, and attempts by worker's name.

    Of attempts, how many are out and how many of these have not begun. ``taken`` are ids that it has taken
    since it last told: of requests whose head had come before the hand-over.
    """

    clients: int = 0
    workers: int = 0
    attempts: dict[str, tuple[int, int]] = field(default_factory=dict)
    taken: list[str] = field(default_factory=list)

    def body(self) -> dict[str, Any]:
        """Write it as a message."""
        return {"connections": self.clients, "workers": self.workers, "attempts": self.attempts,
                "taken": self.taken}

    @staticmethod
    def read(message: Message) -> "Holds":
        """Read it from a message; raises MessageError."""
        given = message.body.get("attempts")
        try:
            attempts = {uid: (int(held), int(waiting)) for uid, (held, waiting) in given.items()}  # type: ignore[union-attr]
        except (AttributeError, TypeError, ValueError):
            raise MessageError("left.attempts is malformed") from None
        return Holds(
            message.number("connections"), message.number("workers"), attempts, message.texts("taken"))


class HandoverPeer(Protocol):
    """What either process does for the other."""

    def take_call_back(
        self, identity: str, sender: str, state: str, rest: Any,
    ) -> "asyncio.Future[int] | None":
        """Take in a call-back that reached the other process; raises MessageError if it is malformed.

        The future gives the answer; None: 200, at once.
        """

    def adopt(self, given: Detached) -> None:
        """Serve a connection from now on."""

    def other_holds(self, holds: Holds) -> None:
        """Leave room for what the other process still has open, and heed what it has at workers."""

    def offered(self, number: int, jobs: Sequence[tuple[PassedJob, socket.socket]]) -> list[str]:
        """Hold jobs of the other process still, and return the ids of those that could be gone on with here.

        The sockets of the others are closed, as are those of an earlier batch that was not decided.
        """

    def decided(self, number: int, identities: Sequence[str]) -> None:
        """Go on with these of a batch that was offered; the others stay with the other process."""

    def read_job(self, body: Any) -> PassedJob:
        """Read a job within this process's bounds; raises MessageError."""

    def parted(self) -> None:
        """Settle what was passing: there is no other process any more."""


class Predecessor(HandoverPeer, Protocol):
    """What the old process leaves."""

    def offer(self) -> tuple[list[socket.socket], dict[str, Any]] | str:
        """Return copies of the listening sockets and what is known; or why not now."""

    def leave(self) -> dict[str, Any]:
        """Accept no more, and tell the ids that are open and those that have ended."""

    def take_back(self) -> None:
        """Accept again: there is no successor after all."""

    def movable(self) -> Iterable[Detached]:
        """Give up connections with no job on them, one by one."""

    def holds(self) -> Holds:
        """Return what is still open here."""

    def successor_takes(self) -> None:
        """Note that the other process can go on with open jobs."""

    def passable(self, most: int) -> list[tuple[PassedJob, socket.socket]]:
        """Park some jobs that would outlast this process; the sockets are copies."""

    def passed(self, identities: Sequence[str], *, refused: bool) -> None:
        """Forget these of the parked jobs, which the other process now has, and go on with the others.

        Where it has ``refused`` those, they are not offered again.
        """


class NobodyYet:
    """Stands in until there is somebody to act."""

    def take_call_back(self, identity: str, sender: str, state: str, rest: Any) -> None:
        """Pass over."""

    def read_job(self, body: Any) -> PassedJob:
        """Take none."""
        raise MessageError("jobs out of turn")

    def offered(self, number: int, jobs: Sequence[tuple[PassedJob, socket.socket]]) -> list[str]:
        """Take none."""
        for _, sock in jobs:
            sock.close()
        return []

    def decided(self, number: int, identities: Sequence[str]) -> None:
        """Pass over."""

    def parted(self) -> None:
        """Pass over."""

    def adopt(self, given: Detached) -> None:
        """Close."""
        given.sock.close()

    def other_holds(self, holds: Holds) -> None:
        """Pass over."""
