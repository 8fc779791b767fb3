"""Puts learning, membership, transport and snapshot together round one scheduler."""

import asyncio
import time
from collections.abc import Callable
from datetime import timedelta
from random import Random

import structlog
from tornado.ioloop import IOLoop, PeriodicCallback

from hazellead.core.clock import Clock, span
from hazellead.learning.conversion import Names
from hazellead.learning.scheduler_sync import Learner, SchedulerSync
from hazellead.peers.config import PeersConfig
from hazellead.peers.keys import KeyFileError, Keys
from hazellead.peers.messages import Message, Standing
from hazellead.peers.node import Node
from hazellead.peers.swim import Out
from hazellead.peers.transport import PeerLimits, Transport
from hazellead.platform.config import ConfigError
from hazellead.snapshots.file import SnapshotFile

log = structlog.get_logger()

LEAST_PAUSE = timedelta(milliseconds=5)


class PeerService:
    """One instance's part among others. ``start`` before it is ready, ``stop`` at its end."""

    def __init__(
        self, given: PeersConfig, scheduler: Learner, names: Names, clock: Clock, limits: PeerLimits,
    ) -> None:
        """Read keys, set up; nothing is sent yet. Raises ConfigError."""
        self.given, self._clock = given, clock
        self.node = Node(
            given.name, given.advertise, clock.now_us(), given.node, given.learning, Random())
        self._scheduler_sync = SchedulerSync(self.node.knowledge, scheduler, names, given.learning)
        self.transport: Transport | None = None
        self.keys: Keys | None = None
        if given.listen and given.keys:
            try:
                self.keys = Keys(given.keys, given.name, given.warn, clock.now())
            except KeyFileError as error:
                raise ConfigError(f"peers.tls: {error}") from None
            self.transport = Transport(
                given.name, given.advertise, given.cluster, self.keys, given.policy, limits, clock,
                self._receive)
        self._file = SnapshotFile(
            given.snapshot, given.cluster, given.name, given.snapshot_oldest) if given.snapshot else None
        self._timer: object | None = None
        self._answered: asyncio.Event = asyncio.Event()
        self._asked = set(given.seeds)
        self._periodic = [PeriodicCallback(self._learn, given.every)]
        if self._file:
            self._periodic.append(PeriodicCallback(self._save, given.snapshot_every))
        if self.transport:
            self._periodic.append(PeriodicCallback(self._care, timedelta(seconds=30)))

    # Life.

    async def start(self) -> None:
        """Ask others, wait as long as is set at most, and take over what came; raises ConfigError."""
        began = time.monotonic()
        if self._file:
            self._file.read(self.node.knowledge, self._clock.now_us())
        if self.transport and self.given.listen:
            host, port = self.given.listen
            try:
                self.transport.listen(host, port)
            except OSError as error:
                raise ConfigError(f"cannot listen for peers at {host}:{port}: {error.strerror}") from None
            asked = [s for s in self.given.seeds if s != self.given.advertise]
            self._send(self.node.start(self._clock.now_us(), asked))
            self._plan()
            if asked:
                await self._first_answers(min(len(asked), self.given.node.asked))
        self._scheduler_sync.adopt(self._clock.now_us())
        for periodic in self._periodic:
            periodic.start()
        log.info("learned_at_start", facts=self.node.knowledge.count, peers=len(self.node.answered),
                 seconds=round(time.monotonic() - began, 3))

    async def _first_answers(self, wanted: int) -> None:
        """Wait until as many as were asked have answered or cannot be reached, but only so long."""
        transport, until = self.transport, time.monotonic() + self.given.start.total_seconds()
        assert transport
        while len(self.node.answered) < wanted and (left := until - time.monotonic()) > 0:
            if transport.failures >= len(self.given.seeds) and not self.node.answered:
                return  # nobody is there
            if len(self.node.answered) + transport.failures >= wanted and self.node.answered:
                return
            self._answered.clear()
            try:
                await asyncio.wait_for(self._answered.wait(), min(left, 0.02))
            except TimeoutError:
                continue

    async def stop(self) -> None:
        """Say goodbye, keep what is known, end all connections."""
        for periodic in self._periodic:
            periodic.stop()
        self._scheduler_sync.publish(self._clock.now_us())
        if self._timer is not None:
            IOLoop.current().remove_timeout(self._timer)
        if self._file:
            self._save()
        if self.transport:
            self._send(self.node.swim.leave())
            await asyncio.sleep(0.05)
            await self.transport.close()

    def prepare(self, given: PeersConfig) -> Callable[[], list[str]]:
        """Read other names and keys; return what brings them in force without dropping members.

        That in turn returns what waits for the next start. Raises ConfigError, and nothing has changed.
        """
        kept = [what for what in ("listen", "advertise", "cluster", "node", "learning", "snapshot")
                if getattr(given, what) != getattr(self.given, what)]
        keys = self.keys
        if keys and given.keys:
            try:
                keys = keys.renewed(given.keys, self._clock.now())
            except KeyFileError as error:
                raise ConfigError(f"peers.tls: {error}") from None

        def commit() -> list[str]:
            if self.transport and keys:
                self.keys = keys
                self.transport.use(keys)
                self.transport.allow(given.policy)
                log.info("peer_keys_read", expires=keys.expires.isoformat())
                if new := set(given.seeds) - self._asked:
                    self._asked |= new
                    self._send(self.node.start(self._clock.now_us(), sorted(new)))
            return [f"peers.{what}" for what in kept]

        return commit

    # Messages and time.

    def _send(self, out: list[Out]) -> None:
        if self.transport:
            for name, address, message in out:
                self.transport.send(name, address, message)

    def _receive(self, sender: str, message: Message) -> None:
        now, before = self._clock.now_us(), len(self.node.answered)
        self._send(self.node.receive(now, sender, message))
        if len(self.node.answered) != before:
            self._answered.set()
        self._note_changes()
        self._plan()

    def _plan(self) -> None:
        loop = IOLoop.current()
        if self._timer is not None:
            loop.remove_timeout(self._timer)
        wait = span(self.node.due() - self._clock.now_us())
        self._timer = loop.add_timeout(max(wait, LEAST_PAUSE), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._send(self.node.tick(self._clock.now_us()))
        self._note_changes()
        self._plan()

    def _note_changes(self) -> None:
        for change in self.node.take_changes():
            told = {"peer": change.name, "incarnation": change.incarnation, "members": self.node.swim.size}
            match change.standing:
                case Standing.ALIVE:
                    log.info("peer_alive", **told)
                case Standing.SUSPECT:
                    log.info("peer_suspected", **told)
                case Standing.DEAD:
                    log.warning("peer_dead", **told)
                case Standing.LEFT:
                    log.info("peer_left", **told)

    # Learning.

    def _learn(self) -> None:
        now = self._clock.now_us()
        self._scheduler_sync.publish(now)
        self._scheduler_sync.adopt(now)

    def _save(self) -> None:
        assert self._file
        self._file.write(self.node.knowledge, self._clock.now_us())

    def _care(self) -> None:
        if self.transport and self.keys:
            self.transport.sweep()
            self.keys.check(self._clock.now())


