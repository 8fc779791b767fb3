"""Connects a ``World``'s schedulers by a ``Mesh``, so that a restarted one learns from the others."""

from collections.abc import Callable
from dataclasses import dataclass

from hazellead.lab.fleet import TENANTS
from hazellead.lab.mesh import Mesh, MeshNetwork, Peer
from hazellead.lab.world import Instance, World
from hazellead.learning.conversion import Names
from hazellead.learning.facts import LearningSettings, default_half_lives
from hazellead.learning.scheduler_sync import Learner, SchedulerSync
from hazellead.peers.node import NodeSettings

NAMES = Names(("post-payment",), tuple(name for name, _ in TENANTS))


@dataclass(slots=True)
class _Membership:
    """The mesh member of one incarnation of an instance."""

    incarnation: int
    peer: Peer
    sync: SchedulerSync


class Learners:
    """The mesh members of a world's schedulers.

    A scheduler that starts asks others for their estimates. It serves once they have answered, or after
    ``start_timeout_us``; from then on it exchanges estimates every ``interval_us``.
    """

    def __init__(
        self, world: World, *, learning: LearningSettings | None = None, node: NodeSettings | None = None,
        network: MeshNetwork | None = None, start_timeout_us: int = 300_000, interval_us: int = 500_000,
        wrap: Callable[[Instance, Learner], Learner] = lambda _, scheduler: scheduler, names: Names = NAMES,
    ) -> None:
        """Attach to a world that has not started; ``wrap`` may put a proxy in front of a scheduler."""
        self.world, self._wrap, self._names = world, wrap, names
        self._learning = learning or LearningSettings(default_half_lives())
        self.mesh = Mesh(world.time, world.plan.seed, node, self._learning, network)
        self._start_timeout_us, self._interval_us = start_timeout_us, interval_us
        self.memberships: dict[int, _Membership] = {}
        self.waited_us: list[int] = []  # for each start, the time until it had its answers
        for instance in world.instances:
            instance.on_start.append(self._on_start)

    def _on_start(self, instance: Instance) -> None:
        others = [i.name for i in self.world.instances if i is not instance and i.up]
        peer = self.mesh.add(instance.name, others)
        scheduler = self._wrap(instance, instance.scheduler)
        sync = SchedulerSync(peer.node.knowledge, scheduler, self._names, self._learning)
        membership = self.memberships[instance.number] = _Membership(instance.incarnation, peer, sync)
        instance.up = False
        started_us = self.world.time.now_us()
        self._wait_for_answers(
            instance, membership, started_us, min(len(others), peer.node.settings.start_contacts))

    def _wait_for_answers(
        self, instance: Instance, membership: _Membership, started_us: int, expected: int,
    ) -> None:
        if instance.incarnation != membership.incarnation:
            return
        now = self.world.time.now_us()
        if len(membership.peer.node.answered) >= expected or now - started_us >= self._start_timeout_us:
            self.waited_us.append(now - started_us)
            membership.sync.adopt(now)
            instance.up = True
            self.world.time.after(
                self._interval_us * self.world.rng.random(), self._exchange, instance, membership)
        else:
            self.world.time.after(5_000, self._wait_for_answers, instance, membership, started_us, expected)

    def _exchange(self, instance: Instance, membership: _Membership) -> None:
        if instance.incarnation != membership.incarnation:
            self.mesh.kill(membership.peer)
            return
        now = self.world.time.now_us()
        membership.sync.publish(now)
        membership.sync.adopt(now)
        self.world.time.after(self._interval_us, self._exchange, instance, membership)
