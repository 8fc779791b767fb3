"""Members of an installation that exchange facts over a modelled network, in virtual time.

Each member is a real ``peers.Node`` with a ``SchedulerHarness``. It publishes what its own scheduler has
learned through the same ``SchedulerSync`` as in the running program. Messages are really encoded, and their
bytes include the overhead of TLS.
"""

from dataclasses import dataclass, replace
from random import Random
from time import thread_time_ns

from hazellead.lab.capacity.alone import SchedulerHarness, names_of
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

PUBLISH_INTERVAL_US = US // 2  # the interval of the running program


@dataclass(slots=True, frozen=True)
class Traffic:
    """Traffic sent in a window, a second: the mean over the members, and the most that one sent."""

    bytes_out: float
    max_bytes_out: float
    messages_out: float
    by_kind: dict[str, float]  # bytes by kind of message, mean


class Members:
    """All members of an installation, one for each scheduler, with its share of the arrivals."""

    def __init__(self, shape: Shape, network: MeshNetwork | None = None) -> None:
        """Set up the members; they exchange messages only after ``join``."""
        self.shape, self.time = shape, VirtualTime()
        self.learning = LearningSettings(default_half_lives())
        self.mesh = Mesh(self.time, shape.seed, learning=self.learning, network=network)
        self.schedulers = [SchedulerHarness(shape, self.time, n) for n in range(shape.schedulers)]
        self.syncs: list[SchedulerSync] = []
        self.adopt_ns = self.adopted = self.publish_ns = 0

    @property
    def peers(self) -> list[Peer]:
        """Return the members."""
        return list(self.mesh.peers.values())

    def warm(self, seconds: float = 0.0) -> None:
        """Run the load until it is steady, or for ``seconds``, so that there are facts to publish."""
        for harness in self.schedulers:
            harness.start_arrivals()
        work = self.shape.work
        self.time.run_us(int((seconds or (1 + 1.2 * work.cv) * work.mean_s) * US))

    def join(self, *, learn: bool = False) -> None:
        """Let the members find each other and publish facts; ``learn``: also adopt those of others.

        The processor time of both is counted, in ``publish_ns`` and ``adopt_ns``.
        """
        for harness in self.schedulers:
            name = f"n{harness.number}"
            peer = self.mesh.add(name, list(self.mesh.peers))
            sync = SchedulerSync(
                peer.node.knowledge, harness.scheduler, Names(*names_of(self.shape)), self.learning)
            self.syncs.append(sync)
            self.time.after(self.mesh.rng.random() * PUBLISH_INTERVAL_US, self._publish, sync, learn)

    def _publish(self, sync: SchedulerSync, learn: bool) -> None:
        began = thread_time_ns()
        sync.publish(self.time.now_us())
        published = thread_time_ns()
        if learn:
            self.adopted += sync.adopt(self.time.now_us())
            self.adopt_ns += thread_time_ns() - published
        self.publish_ns += published - began
        self.time.after(PUBLISH_INTERVAL_US, self._publish, sync, learn)

    def measure(self, seconds: float) -> Traffic:
        """Run for a time and return the traffic sent."""
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

    def seconds_to_agree(self, max_s: float) -> float:
        """Run until every member sees all others as alive; return the seconds, infinity after ``max_s``."""
        began = self.time.now_us()
        while self.time.now_us() - began < max_s * US:
            if all(p.node.swim.size == len(self.peers) and not p.node.swim._suspected for p in self.peers):
                return (self.time.now_us() - began) / US
            self.time.run_us(US // 10)
        return float("inf")

    def seconds_to_share_facts(self, max_s: float) -> float:
        """Run until each member has all facts that any member had published when this was called.

        Returns the seconds, infinity after ``max_s``.
        """
        began = self.time.now_us()
        known = [p.node.knowledge for p in self.peers]
        published = {k.own_origin: k.digest().get(k.own_origin, 0) for k in known}
        while self.time.now_us() - began < max_s * US:
            digests = [p.node.knowledge.digest() for p in self.peers]
            if all(d.get(origin, 0) >= seq for d in digests for origin, seq in published.items()):
                return (self.time.now_us() - began) / US
            self.time.run_us(US // 10)
        return float("inf")

    def facts(self) -> float:
        """Return the mean number of facts that a member holds."""
        return sum(p.node.knowledge.count for p in self.peers) / len(self.peers)

    def digest_bytes(self) -> float:
        """Return the mean size of a full digest in bytes."""
        return sum(_digest_bytes(p) for p in self.peers) / len(self.peers)

    def snapshot_bytes(self) -> float:
        """Return the mean size of a snapshot in bytes."""
        return sum(len(snapshots.encode(snapshots.Snapshot(
            "capacity", p.node.name, self.time.now_us(), p.node.knowledge.all_batches())))
            for p in self.peers) / len(self.peers)


def _digest_bytes(peer: Peer) -> int:
    rows = list(peer.node.knowledge.digest().items())
    return len(encode(Digest(peer.node.knowledge.fingerprint(), 0, rows)))


def digest_size(origins: int) -> int:
    """Return the size in bytes of a full digest with this many origins."""
    knowledge = Knowledge(Origin("n0", 1), LearningSettings(default_half_lives()), Random(1))
    for n in range(origins):
        fact = Fact(int(Topic.FACTOR), "", 0, 1.0, 1.0, 1, 1)
        knowledge.merge(2, [Batch(Origin(f"n{n % 9}", 1_767_225_600_000_000 + n), 1 + 997 * n, [fact])])
    return len(encode(Digest(knowledge.fingerprint(), 2, list(knowledge.digest().items()))))


def with_short_tasks(shape: Shape, task_s: float) -> Shape:
    """Return the shape with shorter tasks and the same start rate.

    What members publish depends on starts and ends, whose rates stay the same; the load becomes steady
    sooner.
    """
    return replace(shape, work=replace(shape.work, mean_s=task_s))
