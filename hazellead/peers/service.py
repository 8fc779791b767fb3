"""Runs membership, exchange of facts, transport and snapshots for one scheduler."""

import asyncio
import time
from collections.abc import Callable
from datetime import timedelta
from random import Random

import structlog
from tornado.ioloop import IOLoop, PeriodicCallback

from hazellead.core.clock import Clock, from_us
from hazellead.learning.conversion import Names
from hazellead.learning.scheduler_sync import Learner, SchedulerSync
from hazellead.peers.config import PeersConfig
from hazellead.peers.keys import KeyFileError, Keys
from hazellead.peers.messages import MemberStatus, Message
from hazellead.peers.node import Node
from hazellead.peers.swim import Outgoing
from hazellead.peers.transport import PeerLimits, Transport
from hazellead.platform.config import ConfigError
from hazellead.snapshots.file import SnapshotFile

log = structlog.get_logger()

MIN_TICK_DELAY = timedelta(milliseconds=5)


class PeerService:
    """The peer functions of one instance. Call ``start`` before it is ready and ``stop`` when it ends."""

    def __init__(
        self, config: PeersConfig, scheduler: Learner, names: Names, clock: Clock, limits: PeerLimits,
    ) -> None:
        """Read the keys and create all parts; nothing is sent yet. Raises ConfigError."""
        self.config, self._clock = config, clock
        self.node = Node(
            config.name, config.advertise, clock.now_us(), config.node, config.learning, Random())
        self._scheduler_sync = SchedulerSync(self.node.knowledge, scheduler, names, config.learning)
        self.transport: Transport | None = None
        self.keys: Keys | None = None
        if config.listen and config.keys:
            try:
                self.keys = Keys(config.keys, config.name, config.warn_before, clock.now())
            except KeyFileError as error:
                raise ConfigError(f"peers.tls: {error}") from None
            self.transport = Transport(
                config.name, config.advertise, config.cluster, self.keys, config.policy, limits, clock,
                self._receive)
        self._snapshot_file = SnapshotFile(
            config.snapshot, config.cluster, config.name, config.snapshot_max_age,
        ) if config.snapshot else None
        self._timer: object | None = None
        self._answer_received: asyncio.Event = asyncio.Event()
        self._contacted = set(config.seeds)
        self._periodic = [PeriodicCallback(self._learn, config.learn_interval)]
        if self._snapshot_file:
            self._periodic.append(PeriodicCallback(self._save, config.snapshot_interval))
        if self.transport:
            self._periodic.append(PeriodicCallback(self._maintain, timedelta(seconds=30)))

    # Lifecycle.

    async def start(self) -> None:
        """Ask the seeds for facts, wait for at most the set time and adopt them; raises ConfigError."""
        started = time.monotonic()
        if self._snapshot_file:
            self._snapshot_file.read(self.node.knowledge, self._clock.now_us())
        if self.transport and self.config.listen:
            host, port = self.config.listen
            try:
                self.transport.listen(host, port)
            except OSError as error:
                raise ConfigError(f"cannot listen for peers at {host}:{port}: {error.strerror}") from None
            seeds = [s for s in self.config.seeds if s != self.config.advertise]
            self._send(self.node.start(self._clock.now_us(), seeds))
            self._schedule_tick()
            if seeds:
                await self._wait_for_answers(min(len(seeds), self.config.node.start_contacts))
        self._scheduler_sync.adopt(self._clock.now_us())
        for periodic in self._periodic:
            periodic.start()
        log.info("learned_at_start", facts=self.node.knowledge.count, peers=len(self.node.answered),
                 seconds=round(time.monotonic() - started, 3))

    async def _wait_for_answers(self, wanted: int) -> None:
        """Wait until ``wanted`` members have answered or failed to connect, or until the time is over."""
        transport, deadline = self.transport, time.monotonic() + self.config.start_wait.total_seconds()
        assert transport
        while len(self.node.answered) < wanted and (remaining := deadline - time.monotonic()) > 0:
            if transport.connect_failures >= len(self.config.seeds) and not self.node.answered:
                return  # no seed can be reached
            if len(self.node.answered) + transport.connect_failures >= wanted and self.node.answered:
                return
            self._answer_received.clear()
            try:
                await asyncio.wait_for(self._answer_received.wait(), min(remaining, 0.02))
            except TimeoutError:
                continue

    async def stop(self) -> None:
        """Publish and save the last facts, announce the departure and close all connections."""
        for periodic in self._periodic:
            periodic.stop()
        self._scheduler_sync.publish(self._clock.now_us())
        if self._timer is not None:
            IOLoop.current().remove_timeout(self._timer)
        if self._snapshot_file:
            self._save()
        if self.transport:
            self._send(self.node.swim.leave())
            await asyncio.sleep(0.05)
            await self.transport.close()

    def prepare(self, config: PeersConfig) -> Callable[[], list[str]]:
        """Read a changed configuration and its keys; return a function that applies it.

        That function keeps connections to permitted members open and returns the keys of the settings that
        only a restart applies. Raises ConfigError, after which everything is unchanged.
        """
        needs_restart = [field for field in ("listen", "advertise", "cluster", "node", "learning", "snapshot")
                         if getattr(config, field) != getattr(self.config, field)]
        keys = self.keys
        if keys and config.keys:
            try:
                keys = keys.reloaded(config.keys, self._clock.now())
            except KeyFileError as error:
                raise ConfigError(f"peers.tls: {error}") from None

        def commit() -> list[str]:
            if self.transport and keys:
                self.keys = keys
                self.transport.set_keys(keys)
                self.transport.set_policy(config.policy)
                log.info("peer_keys_read", expires=keys.expires.isoformat())
                if new_seeds := set(config.seeds) - self._contacted:
                    self._contacted |= new_seeds
                    self._send(self.node.start(self._clock.now_us(), sorted(new_seeds)))
            return [f"peers.{field}" for field in needs_restart]

        return commit

    # Messages and timer.

    def _send(self, out: list[Outgoing]) -> None:
        if self.transport:
            for name, address, message in out:
                self.transport.send(name, address, message)

    def _receive(self, sender: str, message: Message) -> None:
        now, before = self._clock.now_us(), len(self.node.answered)
        self._send(self.node.receive(now, sender, message))
        if len(self.node.answered) != before:
            self._answer_received.set()
        self._log_changes()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        loop = IOLoop.current()
        if self._timer is not None:
            loop.remove_timeout(self._timer)
        wait = from_us(self.node.due() - self._clock.now_us())
        self._timer = loop.add_timeout(max(wait, MIN_TICK_DELAY), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._send(self.node.tick(self._clock.now_us()))
        self._log_changes()
        self._schedule_tick()

    def _log_changes(self) -> None:
        for change in self.node.take_changes():
            fields = {"peer": change.name, "incarnation": change.incarnation, "members": self.node.swim.size}
            match change.status:
                case MemberStatus.ALIVE:
                    log.info("peer_alive", **fields)
                case MemberStatus.SUSPECT:
                    log.info("peer_suspected", **fields)
                case MemberStatus.DEAD:
                    log.warning("peer_dead", **fields)
                case MemberStatus.LEFT:
                    log.info("peer_left", **fields)

    # Learning.

    def _learn(self) -> None:
        now = self._clock.now_us()
        self._scheduler_sync.publish(now)
        self._scheduler_sync.adopt(now)

    def _save(self) -> None:
        assert self._snapshot_file
        self._snapshot_file.write(self.node.knowledge, self._clock.now_us())

    def _maintain(self) -> None:
        if self.transport and self.keys:
            self.transport.close_expired()
            self.keys.check(self._clock.now())


