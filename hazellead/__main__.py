"""Reads the configuration, assembles the scheduler and serves until a signal ends it.

With no argument it serves the platform. With the path of an operator's file it serves the parts that the
file enables.
"""

import asyncio
import logging
import os
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from hazellead.console.endpoints import Console
from hazellead.console.metrics import Gauges, Metrics
from hazellead.core.clock import Clock
from hazellead.core.generations import Generation
from hazellead.core.scheduler import Scheduler
from hazellead.lifecycle.phases import LifeCycle, Phase
from hazellead.net.server import HttpServer
from hazellead.platform import config
from hazellead.platform.clients import HttpRequestHandler
from hazellead.platform.discovery import Watch
from hazellead.platform.workers import HttpWorkers

# Optional parts are imported where they are used: a start on the platform must not wait for their libraries.
if TYPE_CHECKING:
    from hazellead.lifecycle.handover import HandoverTarget
    from hazellead.operator_config import OperatorConfig
    from hazellead.peers.service import PeerService
    from hazellead.platform.handover import PlatformHandover

log = structlog.get_logger()


def add_process_id(_: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    """Add the process id to a log entry: processes that replace each other may share a log."""
    event["pid"] = os.getpid()
    return event


def set_up_log() -> None:
    """Write one line for each log entry to standard error, unbuffered, including entries of libraries."""
    logging.basicConfig(
        format="timestamp=%(asctime)s level=%(levelname)s event=library pid=%(process)d text=%(message)r")
    structlog.configure(
        processors=[
            add_process_id,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event", "pid"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def listen(server: TCPServer, address: tuple[str, int], backlog: int) -> list[socket.socket]:
    """Listen at an address and return the sockets; raises ConfigError if that fails."""
    try:
        sockets = bind_sockets(address[1], address[0], backlog=backlog)
    except OSError as error:
        raise config.ConfigError(f"cannot listen at {config.host_port(address)}: {error.strerror}") from None
    server.add_sockets(sockets)
    return sockets


def warn_of_missing_groups(configuration: config.Config) -> None:
    """Log the guarded classes that are never repeated, since their group is missing in the settings."""
    if names := config.classes_without_group(configuration):
        log.warning("class_without_group", classes=",".join(names))


class Program:
    """A scheduler with its HTTP, Gearman and console servers."""

    def __init__(
        self, configuration: config.Config, operator_config: "OperatorConfig | None",
        predecessor: "HandoverTarget | None" = None,
    ) -> None:
        """Assemble the parts and listen. Jobs are accepted from now on, but it is ready only after ``start``.

        With a ``predecessor`` another process serves at the address, and is replaced in ``start``.
        """
        self.configuration, self.operator_config = configuration, operator_config
        clock, self.limits = Clock(), configuration.limits
        self.clock = clock
        self.life = LifeCycle(configuration.limits, clock.now())
        warn_of_missing_groups(configuration)
        self.metrics = Metrics()
        self.metrics.add_classes(configuration.names.classes)
        self.scheduler = Scheduler(
            configuration.settings, configuration.seed, configuration.limits, clock, IOLoop.current(),
            self.metrics, (configuration.names.classes, configuration.names.tenants))
        self.watch, self.gearman = None, None
        self.peers: PeerService | None = None
        if operator_config and operator_config.gearman:
            from hazellead.gearman.assembly import GearmanFrontend

            self.gearman = GearmanFrontend(operator_config.gearman, self.scheduler, clock, self.takes_jobs)
            self.workers = self.gearman.http
        else:
            if configuration.discovery is None:
                raise config.ConfigError("discovery is missing")
            self.watch = Watch(
                configuration.discovery, configuration.names, configuration.limits, configuration.known,
                self.scheduler.on_list, configuration.seed, pushed=not configuration.settings.must_ask,
                known_elsewhere=configuration.known_elsewhere, clock=clock)
            self.workers = HttpWorkers(self.watch, configuration.limits, clock)
            self.scheduler.connect(self.workers, self.watch)
        self.handover: PlatformHandover | None = None
        self.request_handler = HttpRequestHandler(
            self.scheduler, configuration.names, self._handle_call_back, lambda: self.life.up,
            self.takes_jobs)
        self.server = HttpServer(
            configuration.limits, clock, self.request_handler.handle,
            lambda: self.life.ends_connections(clock.now()))
        self.console: HttpServer | None = None
        if configuration.console:
            console_limits = configuration.limits.for_console()
            self.console = HttpServer(console_limits, clock, Console(self).handle, lambda: True)
            listen(self.console, configuration.console, console_limits.backlog)
        if self.watch and configuration.handover:
            from hazellead.platform import handover

            self.handover = handover.PlatformHandover(
                self.life, clock, self.scheduler, self.server, self.workers, self.watch, configuration,
                self.request_handler, lambda: listen(
                    self.server, configuration.listen, configuration.limits.backlog), predecessor)
        else:
            listen(self.server, configuration.listen, self.limits.backlog)
        if operator_config and operator_config.gearman and self.gearman:
            listen(self.gearman.server, operator_config.gearman.listen, self.limits.backlog)
        self.sweep_timer = PeriodicCallback(self.workers.pool.sweep, self.limits.sweep)
        self.sweep_timer.start()
        self.drain_timer = PeriodicCallback(self._end_idle, self.limits.drain_poll)
        if self.handover:
            self.handover.on_successor_lost = self._start_drain_timer
        if operator_config and operator_config.peers:
            from hazellead.peers.assembly import assemble

            self.peers = assemble(operator_config.peers, self.scheduler, configuration, clock)

    async def start(self, interrupted: asyncio.Event | None = None) -> None:
        """Become ready once the list of workers has come and, with peers, what they know.

        Each wait has a time limit; the wait for the list also ends when ``interrupted`` is set.
        """
        configuration = self.configuration
        if self.watch:
            # Lists come on a watch whether the settings say that they are asked for or pushed.
            self.watch.subscribe()
            await self.watch.first_list(self.limits.first_list, interrupted)
        if self.peers:
            await self.peers.start()
        if self.handover:
            await self.handover.replace_predecessor()
        self.life.start(self.clock.now())
        if self.handover:
            self.handover.offer_handover()
        log.info("ready", name=configuration.name, listen=config.host_port(configuration.listen),
                 classes=",".join(configuration.names.classes))

    def takes_jobs(self) -> bool:
        """Return whether a job that arrives now is accepted."""
        return self.life.takes_jobs(self.clock.now())

    def _handle_call_back(
        self, identity: str, sender: str, state: str, payload: Any,
    ) -> "asyncio.Future[int] | None":
        """Handle a worker's call-back, which may concern a job of another process."""
        if self.handover:
            return self.handover.jobs.call_back(identity, sender, state, payload)
        self.workers.call_back(identity, sender, state, payload)
        return None

    # Called by the console.

    def healthy(self) -> bool:
        """Return whether this process serves clients."""
        return self.life.healthy

    def stats(self) -> str:
        """Return the metrics as text."""
        listed, avoided = self.scheduler.listed_workers
        return self.metrics.render(Gauges(self.scheduler.unanswered, listed, avoided))

    def quiesce(self) -> bool:
        """Begin to drain the scheduler; return whether it is being drained now."""
        if self.life.quiesce(self.clock.now()):
            log.info("quiesced", held=self.scheduler.unanswered)
            self._start_drain_timer()
        return self.life.phase is Phase.QUIESCED

    def resume(self) -> bool:
        """End a drain; return whether the scheduler is ready now."""
        if self.life.resume(self.clock.now()):
            log.info("resumed")
            self.drain_timer.stop()
        return self.life.phase is Phase.READY

    def _start_drain_timer(self) -> None:
        if not self.drain_timer.is_running():
            self.drain_timer.start()

    def _end_idle(self) -> None:
        if self.life.ends_idle(self.clock.now()):
            self.server.end_idle()
            if self.gearman:
                self.gearman.end_idle()

    def reload(self, configuration: config.Config, operator_config: "OperatorConfig | None") -> None:
        """Apply a new configuration as far as a running process can.

        Raises ConfigError for one that cannot be applied; nothing has changed then.
        """
        # All checks come first, so that a rejected configuration changes nothing.
        if configuration.discovery is None and self.watch:
            raise config.ConfigError("discovery is missing")
        # In an operator's file whole sections may be added and removed.
        config.require_all_keys(
            self.configuration, configuration, settings_only=operator_config is not None)
        needs_restart, generation = config.changes_needing_restart(self.configuration, configuration), None
        if (configuration.settings, configuration.names) != (
                self.configuration.settings, self.configuration.names):
            if self.peers:  # peers exchange facts by the class numbers of the start
                needs_restart.append("settings")
            else:
                generation = self._next_generation(configuration)
        new_parts, current_parts = operator_config, self.operator_config
        if new_parts and current_parts:
            needs_restart += [
                part for part in ("gearman", "peers")
                if (getattr(new_parts, part) is None) != (getattr(current_parts, part) is None)]
            commit = self.peers.prepare(new_parts.peers) if self.peers and new_parts.peers else None
            if self.gearman and new_parts.gearman and current_parts.gearman:
                needs_restart += ["gearman.listen"] if (
                    new_parts.gearman.listen != current_parts.gearman.listen) else []
                # Functions refer to classes of the settings: both are applied, or neither.
                applies_settings = "settings" not in needs_restart
                names = (configuration if applies_settings else self.configuration).names
                needs_restart += self.gearman.reload(
                    new_parts.gearman, names, applies_settings=applies_settings)
            needs_restart += commit() if commit else []
        if self.watch and configuration.discovery:
            self.watch.move(configuration.discovery)
        if generation:
            self._apply(generation, configuration)
        if needs_restart:
            log.warning("config_needs_restart", changed=",".join(needs_restart))
        log.info("config_read")

    def _next_generation(self, configuration: config.Config) -> Generation:
        """Return the generation of settings that this configuration would begin; raises ConfigError."""
        try:
            return self.scheduler.next_generation(
                configuration.settings, configuration.names.classes, configuration.names.tenants)
        except ValueError as error:
            raise config.ConfigError(f"settings: {error}") from None

    def _apply(self, generation: Generation, configuration: config.Config) -> None:
        """Apply new settings to the dispatcher and the servers in one step, for jobs from now on."""
        self.scheduler.apply_generation(generation)
        self.request_handler.names = configuration.names
        self.metrics.add_classes(configuration.names.classes)
        if self.watch:
            self.watch.update_names(configuration.names)
        if self.gearman:
            self.gearman.inventory.fetch()  # after the settings: the dispatcher's own zone is part of them
        self.limits = self.limits.with_settings_times(configuration.limits)
        self.life.set_limits(self.limits)
        self.workers.update_limits(self.limits)
        if self.watch:
            self.watch.update_limits(self.limits, pushed=not configuration.settings.must_ask)
        current = self.configuration
        self.configuration = replace(
            configuration, name=current.name, listen=current.listen, console=current.console,
            limits=self.limits)
        warn_of_missing_groups(configuration)
        log.info("settings_changed", generation=generation.number,
                 classes=",".join(configuration.names.classes))

    def _passes_on(self) -> bool:
        """Return whether there is something to pass to the successor, from here or from the predecessor.

        The predecessor reaches the process that serves now through this one only.
        """
        if not self.handover or not self.life.reaches_successor:
            return False
        return bool(self.server.connections) or self.handover.predecessor_open

    async def stop(self) -> None:
        """Accept jobs while there is time to answer them, answer the open ones and close connections.

        Clients use their connections for as long as these stay open, and a load balancer sends no new clients
        to a scheduler that is ending: closing early would leave these clients without a scheduler.
        """
        log.info("stopping", held=self.scheduler.unanswered)
        now = self.clock.now()
        self.life.end(now)
        self.scheduler.end_by(now + self.limits.shutdown_answer)
        self._start_drain_timer()
        answer_by = now + self.limits.shutdown_answer
        if self.handover:
            self.handover.jobs.answer_by = answer_by
        while self._passes_on() and self.clock.now() < answer_by:
            await asyncio.sleep(self.limits.drain_pause.total_seconds())  # until all are passed on or closed
        while not self.life.has_successor and self.takes_jobs():
            await asyncio.sleep(self.limits.drain_poll.total_seconds())
        self.server.close_all_when_idle()
        # The listening sockets stay open meanwhile, for call-backs and the reports of Gearman workers.
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
        self.sweep_timer.stop()
        self.drain_timer.stop()
        if self.handover:
            await self.handover.close()
        if self.console:
            await self.console.finish()
        log.info("stopped")


def load(operator_file: str | None) -> tuple[config.Config, "OperatorConfig | None"]:
    """Read the configuration from the operator's file, if given, or else from the environment."""
    if operator_file:
        from hazellead import operator_config

        loaded = operator_config.load(Path(operator_file), os.environ)
        return loaded.base, loaded
    return config.load(os.environ), None


async def serve(operator_file: str | None, early_signals: list[int]) -> None:
    """Serve until SIGTERM or SIGINT; reload the configuration at each SIGHUP.

    ``early_signals`` has the SIGHUPs that came before this call; they cause one reload after the start.
    """
    try:
        await _serve(operator_file, early_signals)
    finally:
        # A signal that arrives, perhaps again, while the interpreter exits must not change the exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


async def _serve(operator_file: str | None, early_signals: list[int]) -> None:
    loop, terminated, interrupted = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()

    def request_end() -> None:
        terminated.set()
        interrupted.set()

    def note_early() -> None:
        early_signals.append(signal.SIGHUP)
        interrupted.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_end)
    loop.add_signal_handler(signal.SIGHUP, note_early)
    configuration, operator_config = load(operator_file)
    predecessor = None
    if configuration.handover and os.path.exists(configuration.handover):
        from hazellead.platform import handover

        configuration, predecessor = await handover.ask_predecessor(configuration, configuration.handover)
        if predecessor:  # once it has ended, nobody serves its clients: the start must not wait any more
            predecessor.on_channel_end = interrupted.set
    program = Program(configuration, operator_config, predecessor)
    await program.start(interrupted)

    def reload() -> None:
        try:
            program.reload(*load(operator_file))
            program.metrics.count_reload(accepted=True)
        except config.ConfigError as error:
            program.metrics.count_reload(accepted=False)
            # A broken file must not stop a running scheduler: the configuration in force is kept.
            log.error("config_kept", reason=str(error))

    loop.add_signal_handler(signal.SIGHUP, reload)
    if early_signals:
        # The start may have read the file before it was changed.
        reload()
    await terminated.wait()
    await program.stop()


def main() -> int:
    """Run the scheduler and return the exit code; an invalid configuration is reported in one line."""
    set_up_log()
    # A SIGHUP that arrives before the scheduler is ready must neither end the process nor be lost.
    early_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    if len(sys.argv) > 2:
        print("hazellead: usage: python -m hazellead [OPERATOR_FILE]", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(sys.argv[1] if len(sys.argv) == 2 else None, early_signals))
    except config.ConfigError as error:
        print(f"hazellead: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
