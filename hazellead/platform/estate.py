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
from hazellead.lifecycle.handover import Bequest, HandoverError, Holds, Inheritance, Moved
from hazellead.lifecycle.machine import LifeCycle, Phase
from hazellead.lifecycle.messages import MessageError
from hazellead.net.server import HttpServer, pause
from hazellead.platform.config import Config, Names, written
from hazellead.platform.discovery import Watch
from hazellead.platform.workers import HttpWorkers

log = structlog.get_logger()


class PlatformEstate:
    """A platform's scheduler as one that another process replaces, or that replaces another."""

    def __init__(
        self, life: LifeCycle, clock: Clock, scheduler: Scheduler, server: HttpServer, workers: HttpWorkers,
        watch: Watch, names: Callable[[], Names], path: str, listen: Callable[[], list[socket.socket]],
        heir: Inheritance | None,
    ) -> None:
        """Act on these. With an ``heir`` another process serves at the address; else listen now."""
        self._life, self._clock, self._scheduler, self._server = life, clock, scheduler, server
        self._workers, self._watch, self._names = workers, watch, names
        self._told = set[str]()  # ids that the process after this one knows
        self._kept: list[socket.socket] = []  # the listening sockets, while another process accepts on them
        self._path, self._listen, self._heir = path, listen, heir
        self._bequest: Bequest | None = None
        self._sockets: list[socket.socket] = []  # those that this process listens at
        if heir:
            heir.neighbour = self
            self._inherit(heir.body)
        else:
            self._sockets = listen()

    # As the one that replaces.

    def _inherit(self, body: dict[str, Any]) -> None:
        """Take over what the other process knew; what cannot be read is done without."""
        names = self._names()
        try:
            self._scheduler.learn(
                state.read(body.get("known"), self._watch.number, names.classes, names.tenants))
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

    # As the one that is replaced.

    def bequeath(self) -> None:
        """Let another process replace this one from now on."""
        self._bequest = Bequest(self._path, "{}:{}".format(*self._sockets[0].getsockname()[:2]), self)
        self._bequest.begin()

    def offer(self) -> tuple[list[socket.socket], dict[str, Any]] | str:
        """Return copies of the listening sockets and what is known, or why not now."""
        if self._life.phase not in (Phase.READY, Phase.QUIESCED):
            return f"it is {self._life.phase.value}"
        names = self._names()
        now = self._scheduler.generation
        by_number = {n: names.classes[i] for i, n in enumerate(now.classes)}
        known = state.write(
            self._scheduler.known(), self._watch.name,
            [by_number.get(n, "") for n in range(len(now.rows))], [name for name, _ in now.tenant_rows])
        told = self._watch.told(self._scheduler.workers)
        discovery = "{}:{}".format(*self._watch.address)
        return [s.dup() for s in self._sockets], {"known": known, "told": told, "discovery": discovery}

    def leave(self) -> dict[str, Any]:
        """Accept no more; tell the ids."""
        self._life.hand_over(self._clock.now())
        self._kept = pause(self._server)
        self._workers.pool.release_all()
        open_, ended = self._scheduler.identities()
        self._told = set(open_)
        return {"open": open_, "ended": ended}

    def take_back(self) -> None:
        """Accept again."""
        self._life.take_back(self._clock.now())
        self._server.add_sockets(self._kept)
        self._kept = []

    def movable(self) -> Iterator[Moved]:
        """Give up clients' connections with no job on them."""
        for c in list(self._server.connections):
            if detached := c.detach():
                yield Moved(*detached, proven=c.proven, lasting=c.lasting)

    def holds(self) -> Holds:
        """Return what is still open here."""
        attempts = {self._watch.name(worker): out for worker, out in self._scheduler.out().items()}
        open_, _ = self._scheduler.identities()
        taken = [identity for identity in open_ if identity not in self._told]
        self._told.update(taken)
        return Holds(len(self._server.connections), self._workers.pool.count(), attempts, taken)

    async def end(self) -> None:
        """Serve no successor any more."""
        if self._bequest:
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
        """Take in a call-back that reached the other process."""
        self._workers.call_back(identity, sender, state, rest)

    def adopt(self, moved: Moved) -> None:
        """Serve a connection from now on."""
        try:
            self._server.adopt(moved.sock, moved.read, proven=moved.proven, lasting=moved.lasting)
        except OSError:  # it has broken on the way
            with suppress(OSError):
                moved.sock.close()

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
