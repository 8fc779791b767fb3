"""What a scheduler leaves to the process that replaces it, and takes over from the one that it replaces."""

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import replace
from typing import Any

import structlog

from hazellead.core.clock import Clock
from hazellead.core.scheduler import Scheduler
from hazellead.lifecycle import state
from hazellead.lifecycle.handover import Bequest, HandoverError, Holds, Inheritance
from hazellead.lifecycle.machine import LifeCycle, Phase
from hazellead.lifecycle.messages import MessageError
from hazellead.net.server import Detached, HttpServer
from hazellead.platform.config import Config, written
from hazellead.platform.discovery import Watch
from hazellead.platform.workers import HttpWorkers, fault

log = structlog.get_logger()


class PlatformEstate:
    """A platform's scheduler as one that another process replaces, or that replaces another."""

    def __init__(
        self, life: LifeCycle, clock: Clock, scheduler: Scheduler, server: HttpServer, workers: HttpWorkers,
        watch: Watch, given: Config, listen: Callable[[], list[socket.socket]], heir: Inheritance | None,
    ) -> None:
        """Act on these. With an ``heir`` another process serves at the address; else listen now."""
        assert given.handover
        self._life, self._clock, self._scheduler, self._server = life, clock, scheduler, server
        self._workers, self._watch = workers, watch
        self._told: frozenset[str] = frozenset()  # ids that the process after this one knows
        self._kept: list[socket.socket] = []  # the listening sockets, while another process accepts on them
        self._listen, self._heir = listen, heir
        self._bequest = Bequest(given.handover, written(given.listen), self)
        self._sockets: list[socket.socket] = []  # those that this process listens at
        if heir:
            heir.neighbour = self
            self._inherit(heir.body)
        else:
            self._sockets = listen()

    # As the one that replaces.

    def _inherit(self, body: dict[str, Any]) -> None:
        """Take over what the other process knew; what cannot be read is done without."""
        try:
            self._scheduler.learn(state.read(body.get("known"), self._watch.number, *self._names()))
        except MessageError as error:
            log.warning("handover_incomplete", reason=str(error))

    async def succeed(self) -> None:
        """Replace the process that serves, if there is one; raises ConfigError if that cannot be."""
        if self._heir is None:
            return
        try:
            commit = await self._heir.commit()
            self._scheduler.remember([*commit.texts("ended"), *commit.texts("open")])
        except (HandoverError, MessageError) as error:
            # It may have died, and the address is free; else it serves on, and this process ends here.
            log.warning("handover_refused", reason=str(error))
            self._heir.drop()
            self._sockets = self._listen()
            return
        self._sockets = self._heir.sockets
        self._server.add_sockets(self._sockets)
        self._heir.started()
        log.info("took_over")

    def _names(self) -> tuple[list[str], list[str]]:
        """Return classes' and tenants' names by number; a class that went has none."""
        now = self._scheduler.generation
        classes = [name if n in now.classes else "" for n, (name, _) in enumerate(now.rows)]
        return classes, [name for name, _ in now.tenant_rows]

    # As the one that is replaced.

    def bequeath(self) -> None:
        """Let another process replace this one from now on."""
        self._bequest.begin()

    def offer(self) -> tuple[list[socket.socket], dict[str, Any]] | str:
        """Return copies of the listening sockets and what is known, or why not now."""
        if self._life.phase not in (Phase.READY, Phase.QUIESCED):
            return f"it is {self._life.phase.value}"
        return [s.dup() for s in self._sockets], {
            "known": state.write(self._scheduler.known(), self._watch.name, *self._names()),
            "told": self._watch.told(self._scheduler.workers), "discovery": written(self._watch.address)}

    def leave(self) -> dict[str, Any]:
        """Accept no more; tell the ids."""
        self._life.hand_over(self._clock.now())
        self._kept = self._server.pause()
        self._workers.pool.release_all()
        self._told = self._scheduler.open_identities
        return {"open": list(self._told), "ended": self._scheduler.ended_identities}

    def take_back(self) -> None:
        """Accept again."""
        self._life.take_back(self._clock.now())
        self._server.add_sockets(self._kept)
        self._kept = []

    def movable(self) -> Iterator[Detached]:
        """Give up clients' connections with no job on them."""
        for connection in list(self._server.connections):
            if detached := connection.detach():
                yield detached

    def holds(self) -> Holds:
        """Return what is still open here."""
        attempts = {self._watch.name(worker): out for worker, out in self._scheduler.out().items()}
        known, self._told = self._told, self._scheduler.open_identities
        return Holds(len(self._server.connections), self._workers.pool.count(), attempts,
                     list(self._told - known))

    async def end(self) -> None:
        """Serve no successor any more."""
        await self._bequest.written()
        self._bequest.end()
        for sock in self._kept:
            sock.close()
        self._kept = []

    # As either.

    def call_back(self, identity: str, sender: str, state: str, rest: Any) -> "asyncio.Future[int] | None":
        """Take a call-back in, here or in the other process of this scheduler, whose job it may be."""
        if not self._workers.awaits(identity, sender):
            for link in (self._heir, self._bequest):
                if link and (elsewhere := link.pass_call_back(identity, sender, state, rest)):
                    return elsewhere
        self._workers.call_back(identity, sender, state, rest)
        return None

    def take_call_back(self, identity: str, sender: str, state: str, rest: Any) -> None:
        """Take in a call-back that reached the other process; raises MessageError."""
        if wrong := fault(state, rest):
            raise MessageError(wrong)
        self._workers.call_back(identity, sender, state, rest)

    def adopt(self, given: Detached) -> None:
        """Serve a connection from now on."""
        try:
            self._server.adopt(given)
        except OSError:  # it has broken on the way
            with suppress(OSError):
                given.sock.close()

    def other_holds(self, holds: Holds) -> None:
        """Leave room for what the other process still has open: the bounds hold for both together."""
        self._server.elsewhere, self._workers.pool.elsewhere = holds.clients, holds.workers
        known = ((self._watch.number(uid), out) for uid, out in holds.attempts.items())
        self._scheduler.elsewhere({number: out for number, out in known if number is not None})
        self._scheduler.remember(holds.taken)


async def ask(given: Config, path: str) -> tuple[Config, Inheritance | None]:
    """Ask a process that serves at our address to leave it to us; with it comes its list of workers."""
    heir = Inheritance()
    try:
        if not await heir.ask(path, written(given.listen)):
            return given, None
    except (HandoverError, MessageError) as error:
        log.warning("handover_refused", reason=str(error))
        heir.drop()
        return given, None
    told = heir.body.get("told")
    if isinstance(told, dict) and given.discovery:
        same = heir.body.get("discovery") == written(given.discovery)
        given = replace(given, known=told if same else told | {"rev": 0})
    return given, heir
