"""Reads the configuration, puts the parts together, serves until told to stop."""

import asyncio
import logging
import signal
import sys

import structlog
from tornado.ioloop import IOLoop, PeriodicCallback

from hazellead.core.clock import Clock
from hazellead.core.scheduler import Scheduler
from hazellead.limits import Limits
from hazellead.net.server import HttpServer
from hazellead.platform import config
from hazellead.platform.clients import Front
from hazellead.platform.discovery import Watch
from hazellead.platform.workers import HttpWorkers

log = structlog.get_logger()


def set_up_log() -> None:
    """Write one line for each entry to standard error, at once."""
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


async def stop(front: Front, scheduler: Scheduler, server: HttpServer, limits: Limits) -> None:
    """Keep taking jobs until clients know, answer all that is held, close what is idle."""
    log.info("stopping", held=scheduler.held)
    front.ready = False
    await asyncio.sleep(limits.stop_accepting.total_seconds())
    front.refusing = True
    # The listener stays open meanwhile: it is where workers' call-backs arrive.
    empty = asyncio.Event()
    scheduler.when_empty(empty.set)
    await empty.wait()
    await server.finish()
    log.info("stopped")


async def serve(given: config.Config) -> None:
    """Serve the platform until SIGTERM."""
    clock, loop = Clock(), IOLoop.current()
    scheduler = Scheduler(given.settings, given.seed, given.limits, clock, loop)
    if given.discovery is None:
        raise config.ConfigError("discovery is missing")
    watch = Watch(given.discovery, given.names, given.limits, given.known, scheduler.listed)
    workers = HttpWorkers(watch, given.limits, clock, given.listen)
    scheduler.connect(workers, watch)
    front = Front(scheduler, given.names, workers.call_back)
    server = HttpServer(given.limits, clock, front.handle)
    try:
        server.listen(given.listen[1], given.listen[0], backlog=512)
    except OSError as error:
        where = f"{given.listen[0]}:{given.listen[1]}"
        raise config.ConfigError(f"cannot listen at {where}: {error.strerror}") from None
    sweeper = PeriodicCallback(workers.pool.sweep, 500)
    sweeper.start()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, terminated.set)
    front.ready = True
    log.info("ready", name=given.name, listen=f"{given.listen[0]}:{given.listen[1]}")
    await terminated.wait()
    await stop(front, scheduler, server, given.limits)
    sweeper.stop()
    watch.close()


def main() -> int:
    """Run the scheduler; a configuration that cannot be used ends it with one plain line."""
    set_up_log()
    try:
        asyncio.run(serve(config.load()))
    except config.ConfigError as error:
        print(f"hazellead: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
