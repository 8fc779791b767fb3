"""Reads the configuration, puts the parts together, serves until told to stop.

With no argument it serves the platform. With the path of an operator's file it serves what that turns on.
"""

import asyncio
import logging
import os
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import structlog
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from hazellead.console.figures import Figures, Gauges
from hazellead.console.front import Console
from hazellead.core.clock import Clock
from hazellead.core.generations import Generation
from hazellead.core.scheduler import Scheduler
from hazellead.lifecycle.machine import LifeCycle, Phase
from hazellead.net.server import HttpServer
from hazellead.platform import config
from hazellead.platform.clients import HttpRequestHandler
from hazellead.platform.discovery import Watch
from hazellead.platform.workers import HttpWorkers

# Optional parts are imported where they are used: restarts on the platform need not wait for their libraries.
if TYPE_CHECKING:
    from hazellead.lifecycle.handover import HandoverTarget
    from hazellead.operators import Operators
    from hazellead.peers.service import PeerService
    from hazellead.platform.handover import PlatformHandover

log = structlog.get_logger()


def set_up_log() -> None:
    """Write one line for each entry to standard error, at once; the libraries' own entries too."""
    logging.basicConfig(format="timestamp=%(asctime)s level=%(levelname)s event=library text=%(message)r")
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def listen(server: TCPServer, address: tuple[str, int], backlog: int) -> list[socket.socket]:
    """Listen, or say in one line why not."""
    try:
        sockets = bind_sockets(address[1], address[0], backlog=backlog)
    except OSError as error:
        raise config.ConfigError(f"cannot listen at {config.host_port(address)}: {error.strerror}") from None
    server.add_sockets(sockets)
    return sockets


class Program:
    """One scheduler and the fronts before it."""

    def __init__(
        self, given: config.Config, operators: "Operators | None",
        predecessor: "HandoverTarget | None" = None,
    ) -> None:
        """Put the parts together and listen. Jobs are taken from now on, but it is ready after ``start``.

        With an ``predecessor`` another process serves at the address, and is replaced in ``start``.
        """
        self.given, self.operators = given, operators
        clock, self.limits = Clock(), given.limits
        self.clock = clock
        self.life = LifeCycle(given.limits, clock.now())
        self.figures = Figures()
        self.figures.serve(given.names.classes)
        self.scheduler = Scheduler(
            given.settings, given.seed, given.limits, clock, IOLoop.current(), self.figures,
            (given.names.classes, given.names.tenants))
        self.watch, self.gearman = None, None
        self.peers: PeerService | None = None
        if operators and operators.gearman:
            from hazellead.gearman.assembly import GearmanFrontend

            self.gearman = GearmanFrontend(operators.gearman, self.scheduler, clock, self.takes_jobs)
            self.workers = self.gearman.http
        else:
            if given.discovery is None:
                raise config.ConfigError("discovery is missing")
            self.watch = Watch(
                given.discovery, given.names, given.limits, given.known, self.scheduler.on_list, given.seed,
                pushed=not given.settings.must_ask, known_elsewhere=given.known_elsewhere, clock=clock)
            self.workers = HttpWorkers(self.watch, given.limits, clock)
            self.scheduler.connect(self.workers, self.watch)
        self.handover: PlatformHandover | None = None
        self.front = HttpRequestHandler(self.scheduler, given.names, lambda *event: (
            self.handover or self.workers).call_back(*event), lambda: self.life.up, self.takes_jobs)
        self.server = HttpServer(
            given.limits, clock, self.front.handle, lambda: self.life.ends_connections(clock.now()))
        self.console: HttpServer | None = None
        if given.console:
            console_limits = given.limits.for_console()
            self.console = HttpServer(console_limits, clock, Console(self).handle, lambda: True)
            listen(self.console, given.console, console_limits.backlog)
        if self.watch and given.handover:
            from hazellead.platform import handover

            self.handover = handover.PlatformHandover(
                self.life, clock, self.scheduler, self.server, self.workers, self.watch, given, self.front,
                lambda: listen(self.server, given.listen, given.limits.backlog), predecessor)
        else:
            listen(self.server, given.listen, self.limits.backlog)
        if operators and operators.gearman and self.gearman:
            listen(self.gearman.server, operators.gearman.listen, self.limits.backlog)
        self.sweeper = PeriodicCallback(self.workers.pool.sweep, self.limits.sweep)
        self.sweeper.start()
        self.drainer = PeriodicCallback(self._end_idle, self.limits.drain_poll)
        if operators and operators.peers:
            from hazellead.peers.assembly import assemble

            self.peers = assemble(operators.peers, self.scheduler, given, clock)

    async def start(self, hurry: asyncio.Event | None = None) -> None:
        """Be ready once there is a list of servers, and what others know where that is set.

        Each is waited for only so long, and the list only until ``hurry`` is set.
        """
        given = self.given
        if self.watch:
            # Whatever the settings say of how lists come: where they are pushed, too, they come on a watch.
            self.watch.subscribe()
            await self.watch.first_list(self.limits.first_list, hurry)
        if self.peers:
            await self.peers.start()
        if self.handover:
            await self.handover.succeed()
        self.life.start(self.clock.now())
        if self.handover:
            self.handover.offer_handover()
        log.info("ready", name=given.name, listen=config.host_port(given.listen),
                 classes=",".join(given.names.classes))

    def takes_jobs(self) -> bool:
        """Say whether a job that comes now is taken."""
        return self.life.takes_jobs(self.clock.now())

    # What the console asks for.

    def healthy(self) -> bool:
        """Say whether this process takes clients."""
        return self.life.healthy

    def stats(self) -> str:
        """Return the figures."""
        listed, avoided = self.scheduler.listed_workers
        return self.figures.text(Gauges(self.scheduler.unanswered, listed, avoided))

    def quiesce(self) -> bool:
        """Empty the scheduler; say whether that is what it now does."""
        if self.life.quiesce(self.clock.now()):
            log.info("quiesced", held=self.scheduler.unanswered)
            self.drainer.start()
        return self.life.phase is Phase.QUIESCED

    def resume(self) -> bool:
        """Go back to work; say whether it is at work."""
        if self.life.resume(self.clock.now()):
            log.info("resumed")
            self.drainer.stop()
        return self.life.phase is Phase.READY

    def _end_idle(self) -> None:
        if self.life.ends_idle(self.clock.now()):
            self.server.end_idle()
            if self.gearman:
                self.gearman.end_idle()

    def reload(self, given: config.Config, operators: "Operators | None") -> None:
        """Bring a new configuration in force, as far as that goes while jobs are under way."""
        # What may be refused comes first: then nothing has changed.
        if given.discovery is None and self.watch:
            raise config.ConfigError("discovery is missing")
        if operators is None:
            config.require_all_keys(self.given, given)
        kept, generation = config.changes_needing_restart(self.given, given), None
        if (given.settings, given.names) != (self.given.settings, self.given.names):
            if self.peers:  # facts go by the numbers of a start's classes
                kept.append("settings")
            else:
                generation = self._following(given)
        new, held = operators, self.operators
        if new and held:
            kept += [part for part in ("gearman", "peers")
                     if (getattr(new, part) is None) != (getattr(held, part) is None)]
            commit = self.peers.prepare(new.peers) if self.peers and new.peers else None
            if self.gearman and new.gearman and held.gearman:
                kept += ["gearman.listen"] if new.gearman.listen != held.gearman.listen else []
                # What functions are to the module rests on its settings: they change together or not at all.
                kept += self.gearman.reload(new.gearman, settings_unchanged="settings" not in kept)
            kept += commit() if commit else []
        if self.watch and given.discovery:
            self.watch.move(given.discovery)
        if generation:
            self._retune(generation, given)
        if kept:
            log.warning("config_needs_restart", changed=",".join(kept))
        log.info("config_read")

    def _following(self, given: config.Config) -> Generation:
        """Return the generation that its settings would be; raises ConfigError."""
        try:
            return self.scheduler.next_generation(given.settings, given.names.classes, given.names.tenants)
        except ValueError as error:
            raise config.ConfigError(f"settings: {error}") from None

    def _retune(self, generation: Generation, given: config.Config) -> None:
        """Bring settings in force: for the module and the fronts in one step, and for jobs from now on."""
        self.scheduler.apply_generation(generation)
        self.front.names = given.names
        self.figures.serve(given.names.classes)
        if self.watch:
            self.watch.update_names(given.names)
        self.limits = self.limits.with_settings_times(given.limits)
        self.life.repace(self.limits)
        self.workers.update_limits(self.limits)
        if self.watch:
            self.watch.update_limits(self.limits, pushed=not given.settings.must_ask)
        held = self.given
        self.given = replace(
            given, name=held.name, listen=held.listen, console=held.console, limits=self.limits)
        log.info("settings_changed", generation=generation.number, classes=",".join(given.names.classes))

    async def stop(self) -> None:
        """Serve on while all can still be answered in time, then answer what is held and end connections.

        Clients keep the connections that they have for as long as these stay open, and a front sends no new
        ones to a scheduler that is ending: to close early would leave them nowhere to go.
        """
        log.info("stopping", held=self.scheduler.unanswered)
        now = self.clock.now()
        self.life.end(now)
        self.scheduler.end_by(now + self.limits.shutdown_answer)
        self.drainer.start()
        by = now + self.limits.shutdown_answer
        if self.handover:
            self.handover.end_by(by)
        while self.life.succeeded and self.server.connections and self.clock.now() < by:
            await asyncio.sleep(self.limits.drain_pause.total_seconds())  # they are answered, then passed on
        while not self.life.succeeded and self.takes_jobs():
            await asyncio.sleep(self.limits.drain_poll.total_seconds())
        self.server.close_all_when_idle()
        # The listeners stay open meanwhile: call-backs and Gearman workers' reports arrive there.
        empty = asyncio.Event()
        self.scheduler.when_empty(empty.set)
        await empty.wait()
        await self.server.finish()
        if self.gearman:
            await self.gearman.finish()
        if self.watch:
            self.watch.close()
        if self.peers:
            await self.peers.stop()
        self.sweeper.stop()
        self.drainer.stop()
        if self.handover:
            await self.handover.end()
        if self.console:
            await self.console.finish()
        log.info("stopped")


def load(operators_file: str | None) -> tuple[config.Config, "Operators | None"]:
    """Read the configuration."""
    if operators_file:
        from hazellead import operators

        given = operators.load(Path(operators_file), os.environ)
        return given.base, given
    return config.load(os.environ), None


async def serve(operators_file: str | None, early: list[int]) -> None:
    """Serve until SIGTERM or SIGINT; read the configuration again at each SIGHUP, ``early`` ones included."""
    loop, terminated, hurry = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()

    def end() -> None:
        terminated.set()
        hurry.set()

    def note_early() -> None:
        early.append(signal.SIGHUP)
        hurry.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    loop.add_signal_handler(signal.SIGHUP, note_early)
    given, operators = load(operators_file)
    predecessor = None
    if given.handover and os.path.exists(given.handover):
        from hazellead.platform import handover

        given, predecessor = await handover.ask(given, given.handover)
    program = Program(given, operators, predecessor)
    await program.start(hurry)

    def reload() -> None:
        try:
            program.reload(*load(operators_file))
            program.figures.reloaded(taken=True)
        except config.ConfigError as error:
            program.figures.reloaded(taken=False)
            # Guards a running scheduler against a broken file: what is in force stays so.
            log.error("config_kept", reason=str(error))

    loop.add_signal_handler(signal.SIGHUP, reload)
    if early:
        # The file that the start has read may be the one before.
        reload()
    await terminated.wait()
    await program.stop()
    # Guards the exit code against one that comes, perhaps again, while the interpreter ends.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def main() -> int:
    """Run the scheduler; a configuration that cannot be used ends it with one plain line."""
    set_up_log()
    # Guards against ending by a SIGHUP that comes before it is ready, and against losing it.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    if len(sys.argv) > 2:
        print("hazellead: usage: python -m hazellead [OPERATOR_FILE]", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(sys.argv[1] if len(sys.argv) == 2 else None, early))
    except config.ConfigError as error:
        print(f"hazellead: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
