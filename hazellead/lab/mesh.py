"""Peers in virtual time: real ``peers.Node``s over a modelled network with delays, loss and partitions."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from hazellead.lab.time import Timer, VirtualTime
from hazellead.learning.facts import LearningSettings, default_half_lives
from hazellead.peers.messages import FrameReader, encode
from hazellead.peers.node import Node, NodeSettings
from hazellead.peers.swim import Outgoing


@dataclass(slots=True, frozen=True)
class MeshNetwork:
    """Range of one-way delays in microseconds, and the fraction of messages that are lost."""

    delay_us: tuple[float, float] = (300, 15_000)
    loss: float = 0.0


@dataclass(slots=True)
class Peer:
    """One member of a mesh, with counts of what it has sent."""

    node: Node
    up: bool = True
    sent_bytes: int = 0
    sent_messages: int = 0
    by_kind: dict[str, int] = field(default_factory=dict)  # bytes sent, by type of message
    side: int = 0  # of a partition: 0 or 1
    paused_until_us: int = 0  # messages and timers wait until then
    timer: Timer | None = None
    reader: FrameReader = field(init=False)
    on_learned: Callable[["Peer"], None] | None = None
    version: int = 0

    def __post_init__(self) -> None:
        """Create the reader of incoming messages."""
        self.reader = FrameReader(self.node.settings.bounds)


class Mesh:
    """Any number of members in one virtual time; messages are encoded and decoded, and bytes counted."""

    def __init__(
        self, time: VirtualTime, seed: int, settings: NodeSettings | None = None,
        learning: LearningSettings | None = None, network: MeshNetwork | None = None,
    ) -> None:
        """Start without members."""
        self.time, self.rng = time, Random(f"mesh {seed}")
        self.settings = settings or NodeSettings()
        self.learning = learning or LearningSettings(default_half_lives())
        self.network = network or MeshNetwork()
        self.peers: dict[str, Peer] = {}
        self._clock_offsets_us: dict[str, int] = {}
        self.deaths: list[tuple[int, str, str]] = []  # time, observer, dead member
        self.changes: list[tuple[int, str, str, int]] = []  # time, observer, member, standing

    def add(self, name: str, seeds: Iterable[str] = (), clock_offset_us: int = 0) -> Peer:
        """Start a member; kill an earlier one of the same name."""
        if old := self.peers.get(name):
            self.kill(old)
        node = Node(name, name, self.time.now_us() + clock_offset_us, self.settings, self.learning,
                    Random(f"{self.rng.random()} {name}"))
        peer = self.peers[name] = Peer(node)
        self._clock_offsets_us[name] = clock_offset_us
        self._send(peer, node.start(self._now(peer), seeds))
        self._schedule_tick(peer)
        return peer

    def _now(self, peer: Peer) -> int:
        return self.time.now_us() + self._clock_offsets_us.get(peer.node.name, 0)

    def kill(self, peer: Peer) -> None:
        """Stop a member without notice to the others."""
        peer.up = False
        if peer.timer:
            peer.timer.cancel()

    def _schedule_tick(self, peer: Peer) -> None:
        if peer.timer:
            peer.timer.cancel()
        wait = max(peer.node.due() - self._now(peer), 1000)
        peer.timer = self.time.after(wait, self._tick, peer)

    def _tick(self, peer: Peer) -> None:
        if not peer.up:
            return
        if peer.paused_until_us > self.time.now_us():
            peer.timer = self.time.after(peer.paused_until_us - self.time.now_us(), self._tick, peer)
            return
        self._send(peer, peer.node.tick(self._now(peer)))
        self._process_changes(peer)
        self._schedule_tick(peer)

    def _process_changes(self, peer: Peer) -> None:
        for change in peer.node.take_changes():
            now = self.time.now_us()
            self.changes.append((now, peer.node.name, change.name, int(change.status)))
            if change.status == 2:
                self.deaths.append((now, peer.node.name, change.name))
        if peer.node.knowledge.version != peer.version:
            peer.version = peer.node.knowledge.version
            if peer.on_learned:
                peer.on_learned(peer)

    def _send(self, peer: Peer, out: list[Outgoing]) -> None:
        for name, address, message in out:
            data = encode(message)
            peer.sent_bytes += len(data) + 29  # overhead of a TLS record
            peer.sent_messages += 1
            kind = type(message).__name__
            peer.by_kind[kind] = peer.by_kind.get(kind, 0) + len(data) + 29
            target = self.peers.get(name or address)
            if target is None or target.side != peer.side or self.rng.random() < self.network.loss:
                continue
            wait = self.rng.uniform(*self.network.delay_us)
            self.time.after(wait, self._arrive, target, peer.node.name, data)

    def _arrive(self, target: Peer, sender: str, data: bytes) -> None:
        if not target.up:
            return
        if target.paused_until_us > self.time.now_us():
            self.time.after(target.paused_until_us - self.time.now_us(), self._arrive, target, sender, data)
            return
        for message in target.reader.feed(data):
            self._send(target, target.node.receive(self._now(target), sender, message))
        self._process_changes(target)

    def partition(self, names: Iterable[str]) -> None:
        """Cut these members off from the others."""
        for name in names:
            self.peers[name].side = 1

    def heal(self) -> None:
        """End the partition."""
        for peer in self.peers.values():
            peer.side = 0
