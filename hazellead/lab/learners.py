"""Joins a ``World``'s schedulers by a ``Mesh``, so that a restarted one learns from the others."""

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
class _Lesson:
    """What belongs to one life of an instance."""

    life: int
    peer: Peer
    pupil: SchedulerSync


class Learners:
    """The members behind a world's schedulers. One that starts asks the others, and is ready soon after."""

    def __init__(
        self, world: World, *, learning: LearningSettings | None = None, node: NodeSettings | None = None,
        network: MeshNetwork | None = None, start_us: int = 300_000, every_us: int = 500_000,
        wrap: Callable[[Instance, Learner], Learner] = lambda _, scheduler: scheduler, names: Names = NAMES,
    ) -> None:
        """Attach to a world that has not started; ``wrap`` may put a liar before a scheduler."""
        self.world, self._wrap, self._names = world, wrap, names
        self._learning = learning or LearningSettings(default_half_lives())
        self.mesh = Mesh(world.time, world.plan.seed, node, self._learning, network)
        self._start_us, self._every_us = start_us, every_us
        self.lessons: dict[int, _Lesson] = {}
        self.waited_us: list[int] = []  # how long each start waited for answers
        for instance in world.instances:
            instance.on_start.append(self._started)

    def _started(self, instance: Instance) -> None:
        others = [i.name for i in self.world.instances if i is not instance and i.up]
        peer = self.mesh.add(instance.name, others)
        scheduler = self._wrap(instance, instance.scheduler)
        pupil = SchedulerSync(peer.node.knowledge, scheduler, self._names, self._learning)
        lesson = self.lessons[instance.number] = _Lesson(instance.life, peer, pupil)
        instance.up = False
        began = self.world.time.now_us()
        self._wait(instance, lesson, began, min(len(others), peer.node.settings.start_contacts))

    def _wait(self, instance: Instance, lesson: _Lesson, began: int, wanted: int) -> None:
        if instance.life != lesson.life:
            return
        now = self.world.time.now_us()
        if len(lesson.peer.node.answered) >= wanted or now - began >= self._start_us:
            self.waited_us.append(now - began)
            lesson.pupil.adopt(now)
            instance.up = True
            self.world.time.after(self._every_us * self.world.rng.random(), self._learn, instance, lesson)
        else:
            self.world.time.after(5_000, self._wait, instance, lesson, began, wanted)

    def _learn(self, instance: Instance, lesson: _Lesson) -> None:
        if instance.life != lesson.life:
            self.mesh.kill(lesson.peer)
            return
        now = self.world.time.now_us()
        lesson.pupil.publish(now)
        lesson.pupil.adopt(now)
        self.world.time.after(self._every_us, self._learn, instance, lesson)
