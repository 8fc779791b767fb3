"""Members that talk, in virtual time: schedulers alone with their stand-ins, joined by a modelled network.

Each member is a real ``peers.Node``; what it tells is what its own scheduler's decisions have seen, by the
same ``SchedulerSync`` that a running program has. Messages are really encoded; bytes are counted with those
of TLS.
"""

from dataclasses import dataclass, replace
from random import Random
from time import thread_time_ns

from hazellead.lab.capacity.alone import Alone, names_of
from hazellead.lab.capacity.virtual_world import Shape
from hazellead.lab.fleet import US
from hazellead.lab.mesh import Mesh, MeshNetwork, Peer
from hazellead.lab.time import VirtualTime
from hazellead.learning.conversion import Names
from hazellead.learning.facts import Fact, LearningSettings, Origin, Topic, default_half_lives
from hazellead.learning.scheduler_sync import SchedulerSync
from hazellead.learning.store import Batch, Knowledge
from hazellead.peers.messages import Digest, encode
from hazellead.snapshots import format as snapshots

TELL_US = US // 2  # as a running program tells and learns


@dataclass(slots=True, frozen=True)
class Traffic:
    """What members sent in a window, each on average a second; and the most that one sent."""

    bytes_out: float
    most_bytes_out: float
    messages_out: float
    by_kind: dict[str, float]  # bytes


class Members:
    """As many members as the shape has schedulers, each with its part of the arrivals."""

    def __init__(self, shape: Shape, network: MeshNetwork | None = None) -> None:
        """Set all up; nobody talks before ``join``."""
        self.shape, self.time = shape, VirtualTime()
        self.learning = LearningSettings(default_half_lives())
        self.mesh = Mesh(self.time, shape.seed, learning=self.learning, network=network)
        self.alone = [Alone(shape, self.time, n) for n in range(shape.schedulers)]
        self.pupils: list[SchedulerSync] = []
        self.taught_ns = self.taught = self.told_ns = 0

    @property
    def peers(self) -> list[Peer]:
        """Return the members."""
        return list(self.mesh.peers.values())

    def warm(self, seconds: float = 0.0) -> None:
        """Let as many tasks run as will, or for so long, so that there are facts to be told."""
        for one in self.alone:
            one.come()
        work = self.shape.work
        self.time.run_us(int((seconds or (1 + 1.2 * work.cv) * work.mean_s) * US))

    def join(self, *, learn: bool = False) -> None:
        """Let them find each other and tell; ``learn``: and take over, whose processor time is counted."""
        for one in self.alone:
            name = f"n{one.number}"
            peer = self.mesh.add(name, list(self.mesh.peers))
            pupil = SchedulerSync(
                peer.node.knowledge, one.scheduler, Names(*names_of(self.shape)), self.learning)
            self.pupils.append(pupil)
            self.time.after(self.mesh.rng.random() * TELL_US, self._tell, pupil, learn)

    def _tell(self, pupil: SchedulerSync, learn: bool) -> None:
        began = thread_time_ns()
        pupil.publish(self.time.now_us())
        told = thread_time_ns()
        if learn:
            self.taught += pupil.adopt(self.time.now_us())
            self.taught_ns += thread_time_ns() - told
        self.told_ns += told - began
        self.time.after(TELL_US, self._tell, pupil, learn)

    def window(self, seconds: float) -> Traffic:
        """Let time pass and count what was sent."""
        before = {p.node.name: (p.sent_bytes, p.sent_messages, dict(p.by_kind)) for p in self.peers}
        self.time.run_us(int(seconds * US))
        count, kinds = len(before) * seconds, dict[str, float]()
        sent, messages = list[int](), 0
        for p in self.peers:
            old_bytes, old_messages, old_kinds = before[p.node.name]
            sent.append(p.sent_bytes - old_bytes)
            messages += p.sent_messages - old_messages
            for kind, n in p.by_kind.items():
                kinds[kind] = kinds.get(kind, 0.0) + (n - old_kinds.get(kind, 0)) / count
        return Traffic(sum(sent) / count, max(sent) / seconds, messages / count, kinds)

    def agree(self, most_s: float) -> float:
        """Let time pass until every member counts all others as alive; return the seconds, or infinity."""
        began = self.time.now_us()
        while self.time.now_us() - began < most_s * US:
            if all(p.node.swim.size == len(self.peers) and not p.node.swim._suspected for p in self.peers):
                return (self.time.now_us() - began) / US
            self.time.run_us(US // 10)
        return float("inf")

    def know_alike(self, most_s: float) -> float:
        """Let time pass until each knows every other's facts as far as they were told at the call.

        Returns the seconds, or infinity.
        """
        began = self.time.now_us()
        known = [p.node.knowledge for p in self.peers]
        told = {k.own_origin: k.digest().get(k.own_origin, 0) for k in known}
        while self.time.now_us() - began < most_s * US:
            digests = [p.node.knowledge.digest() for p in self.peers]
            if all(d.get(origin, 0) >= seq for d in digests for origin, seq in told.items()):
                return (self.time.now_us() - began) / US
            self.time.run_us(US // 10)
        return float("inf")

    def facts(self) -> float:
        """Return how many facts a member holds, on average."""
        return sum(p.node.knowledge.count for p in self.peers) / len(self.peers)

    def digest_bytes(self) -> float:
        """Return the size of a whole digest, on average."""
        return sum(_digest(p) for p in self.peers) / len(self.peers)

    def snapshot_bytes(self) -> float:
        """Return the size of a snapshot, on average."""
        return sum(len(snapshots.encode(snapshots.Snapshot(
            "capacity", p.node.name, self.time.now_us(), p.node.knowledge.all_batches())))
            for p in self.peers) / len(self.peers)


def _digest(peer: Peer) -> int:
    rows = list(peer.node.knowledge.digest().items())
    return len(encode(Digest(peer.node.knowledge.fingerprint(), 0, rows)))


def digest_of(origins: int) -> int:
    """Return the bytes of a whole digest that names so many origins."""
    knowledge = Knowledge(Origin("n0", 1), LearningSettings(default_half_lives()), Random(1))
    for n in range(origins):
        fact = Fact(int(Topic.FACTOR), "", 0, 1.0, 1.0, 1, 1)
        knowledge.merge(2, [Batch(Origin(f"n{n % 9}", 1_767_225_600_000_000 + n), 1 + 997 * n, [fact])])
    return len(encode(Digest(knowledge.fingerprint(), 2, list(knowledge.digest().items()))))


def short_tasks(shape: Shape, task_s: float) -> Shape:
    """Return a shape of shorter tasks with as many starts.

    What members tell follows starts and ends, which are as many; the plays until all runs are shorter.
    """
    return replace(shape, work=replace(shape.work, mean_s=task_s))
