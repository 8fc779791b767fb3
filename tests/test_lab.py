"""The laboratory's own parts: its worker, its referee and its worlds are themselves put to the test."""

import asyncio
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest
from loopback import GearmanPeer, free_port, http_post, run, scheduler
from test_program import HEADERS, program

from hazellead.decide import interface as api
from hazellead.gearman.packets import Type
from hazellead.lab.checker import RuleChecker
from hazellead.lab.clients import Heavy, Stream, Surge
from hazellead.lab.fleet import US, WorkerSpec, draw_fleet
from hazellead.lab.learners import Learners
from hazellead.lab.sockets import GearmanWorkerStandIn, HttpFleet, LoopTime, quick
from hazellead.lab.time import VirtualTime
from hazellead.lab.worker import WorkerModel
from hazellead.lab.world import Plan, World


class Ticket:
    def __init__(self, identity: str, work_s: float = 0.1) -> None:
        self.identity, self.work_s, self.heard = identity, work_s, list[Any]()

    def began(self) -> None:
        self.heard.append("began")

    def progressed(self, share: float) -> None:
        self.heard.append(round(share, 2))

    def done(self) -> None:
        self.heard.append("done")

    def returned(self) -> None:
        self.heard.append("returned")

    def lost(self) -> None:
        self.heard.append("lost")


SPEC = WorkerSpec(1, "w", 0, 0, cores=2, speed=2.0, queue=3)


def model(time: VirtualTime, spec: WorkerSpec = SPEC, **more: Any) -> WorkerModel:
    return WorkerModel(spec, time, Random(1), noise=0, **more)


def test_a_worker_runs_in_order_on_its_cores_and_turns_away_what_its_queue_cannot_hold() -> None:
    time, ran = VirtualTime(), list[str]()
    w = model(time, ran=lambda _, identity: ran.append(identity))
    tickets = [Ticket(str(i), 1.0) for i in range(6)]
    assert [w.offer(t) for t in tickets] == [True] * 5 + [False] and w.waiting == 3
    time.run_us(US // 2 - 1)
    assert ran == ["0", "1"]
    time.run_us(1)
    assert ran == ["0", "1", "2", "3"] and tickets[0].heard == ["began", "done"]
    w.cancel("2")
    assert ran[-1] == "4"
    w.drain()
    assert not w.offer(Ticket("x"))
    time.run_us(3 * US)
    assert tickets[2].heard == ["began"] and tickets[4].heard == ["began", "done"]


def test_a_cold_worker_is_slow_and_falls_over_when_pushed() -> None:
    time, fallen = VirtualTime(), list[str]()
    w = model(time, fell=lambda w: fallen.append(w.spec.name))
    w.restart()
    w.offer(lone := Ticket("a", 4.0))  # one job alone pushes nothing over
    # 0.12 t + 0.88 t^2 / 48 = 2: at 12 % and warming over 24 s, 7.67 s for what takes 2 s warm.
    time.run_us(7_650_000)
    assert "done" not in lone.heard
    time.run_us(50_000)
    assert "done" in lone.heard
    w.restart()
    held = [Ticket(f"b{i}", 1.0) for i in range(4)]  # it bears 3.84 s of work in 2 s
    for t in held:
        assert not fallen and w.offer(t)
    assert fallen == ["w"] and all("lost" in t.heard for t in held[:3]) and w.falls == 1


def test_a_silent_worker_says_nothing_until_it_is_back() -> None:
    time = VirtualTime()
    w = model(time)
    w.offer(t := Ticket("a", 5.0))
    time.run_us(1_200_000)
    w.vanish()
    time.run_us(5 * US)
    assert t.heard == ["began", 0.4]
    w.come_back()
    assert t.heard == ["began", 0.4, 0.8, "done"]


def taken() -> RuleChecker:
    c = RuleChecker()
    c.took("j", "n", 10 * US)
    return c


BREACHES: list[tuple[int, Any]] = [
    (1, lambda c: c.close(11 * US)),
    (1, lambda c: (c.answered("j", "failed", US), c.answered("j", "refused", US))),
    (1, lambda c: c.answered("j", "failed", 11 * US)),
    (1, lambda c: c.answered("j", "served", US)),
    (1, lambda c: (c.ran("j", "w"), c.answered("j", "served", US, made=False))),
    (1, lambda c: c.took("j", "m", 1)),
    (2, lambda c: (c.ran("j", "w"), c.ran("j", "v"))),
    (2, lambda c: (c.ran("j", "w"), c.answered("j", "refused", 1))),
    (2, lambda c: (c.answered("j", "refused", US), c.ran("j", "w"))),
    (2, lambda c: (c.sent("j", "n", "w", 1), c.sent("j", "n", "v", 1))),
    (2, lambda c: (c.sent("j", "n", "w", 1), c.ended("j", "reset"), c.sent("j", "n", "v", 1))),
    (2, lambda c: [(c.sent("j", "n", "w", 1), c.ended("j", "full")) for _ in range(4)]),
    (3, lambda c: (c.told("n", "w", is_open=False, at_us=0), c.sent("j", "n", "w", 460_000))),
    (4, lambda c: c.fell("w")),
]


@pytest.mark.parametrize(("rule", "deeds"), BREACHES)
def test_the_referee_sees_each_way_to_break_a_rule(rule: int, deeds: Any) -> None:
    c = taken()
    deeds(c)
    assert [r for r, _ in c.broken] == [rule]


def test_the_referee_lets_pass_what_keeps_the_rules() -> None:
    c = taken()
    c.told("n", "w", is_open=False, at_us=0)
    c.sent("j", "n", "w", 400_000)
    c.ended("j", "full")
    c.told("n", "v", is_open=False, at_us=0)
    c.told("n", "v", is_open=True, at_us=5)
    c.sent("j", "n", "v", 900_000)
    c.ran("j", "v")
    c.ended("j", "served")
    c.answered("j", "served", US)
    assert c.close(20 * US) == [] and c.postings == 1


def test_arrivals_follow_rate_surge_and_share() -> None:
    stream = Stream(200, swing=0, surges=(Surge(10, 20, 4.0, tenant=0),), heavy=(Heavy(0, 30, 0.02, 30),))
    jobs = list(stream.draw(Random(3), 30, "j"))
    by = Counter((j.tenant, 10 * US <= j.at_us < 20 * US) for j in jobs)
    assert by[0, True] == pytest.approx(4 * 0.26 * 2000, rel=0.1)
    assert by[1, True] == pytest.approx(0.26 * 2000, rel=0.15)
    assert sum(j.heavy for j in jobs) == pytest.approx(0.02 * len(jobs), rel=0.35)
    assert jobs == list(stream.draw(Random(3), 30, "j"))


def test_a_world_keeps_the_rules_through_every_trouble_and_is_the_same_again() -> None:
    def play() -> tuple[Any, ...]:
        w = World(Plan(seed=3, schedulers=3, workers=9, seconds=12, load=0.7))
        Learners(w)
        w.start()
        w.at(2, w.restart_worker, 1)
        w.at(3, w.drain_worker, 2)
        w.at(4, w.restart_instance, 0)
        w.at(5, w.models[3].vanish)
        w.at(7, w.models[3].come_back)
        w.at(8, w.restart_worker, 4)
        return w.run(), w.checker.postings, dict(w.checker.answers), tuple(w.tally.points)

    first = play()
    assert first[0] == [] and first[1] > 500 and first == play()
    assert sum(hit for _, hit in first[3]) > 0.4 * len(first[3])


def test_a_world_shows_a_scheduler_that_goes_on_sending_to_drained_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from hazellead.core.jobs import Attempt
    monkeypatch.setattr(Attempt, "may_send", lambda _: True)
    w = World(Plan(seed=3, schedulers=2, workers=6, seconds=6, load=0.5))
    w.start()
    for i in w.instances:
        tell = i.tell

        def deaf(entries: Any, kind: api.ListKind, tell: Any = tell, i: Any = i) -> None:
            for e in entries:
                w.checker.told(i.name, w.models[e.worker].spec.name,
                               is_open=e.phase is api.Phase.READY, at_us=w.time.now_us())

        i.tell = deaf  # type: ignore[method-assign]
    w.at(1, w.drain_worker, 2, 5.0)
    assert {rule for rule, _ in w.run()} == {3}


def test_the_worker_model_serves_the_platforms_protocol_on_loopback(tmp_path: Path) -> None:
    async def case() -> None:
        port, checker = free_port(), RuleChecker()
        fleet = quick(draw_fleet(4, Random(1)), 20)
        stands = HttpFleet(fleet, 1, checker, lambda body: float(body))
        ports = stands.open_for(("127.0.0.1", port))

        class At:
            def __init__(self, uid: str) -> None:
                self.uid, self.port = uid, ports[uid]

        for i in range(40):
            checker.took(str(i), "n", 1 << 62)
        async with program(tmp_path, port, *(At(name) for name in ports)):  # type: ignore[arg-type]
            answers = [await http_post(port, "/post-payment", b"0.3", HEADERS.format(i)) for i in range(40)]
        served = [a for a in answers if a[0] == 200]
        assert len(served) == 40
        assert all(a[2] == b"posted %d" % i for i, a in enumerate(answers) if a[0] == 200)
        assert checker.postings == len(served) and not checker.broken
        await stands.close()

    run(case())


def test_the_worker_model_serves_as_a_gearman_worker(tmp_path: Path) -> None:
    async def case() -> None:
        spec = WorkerSpec(1, "post-1", 0, 0, 2, 40.0, 5)
        count = list[str]()
        worker = WorkerModel(spec, LoopTime(), Random(1), ran=lambda _, identity: count.append(identity))
        async with scheduler(tmp_path, "post-1,,gearman,tartu-dc,fast-2c,up\n") as running:
            stand = GearmanWorkerStandIn(worker, ("post_payment",), lambda _: 0.2)
            stand.connect(running.port)
            client = await GearmanPeer.connect(running.port)
            while not any("post_payment" in line for line in await client.lines("workers")):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            for i in range(4):
                client.send(Type.SUBMIT_JOB, b"post_payment", b"key-%d" % i, b"work")
            done = [await client.expect(Type.WORK_COMPLETE) for _ in range(4)]
            assert {d.args[1] for d in done} == {b"posted key-%d" % i for i in range(4)}
            assert sorted(count) == [f"key-{i}" for i in range(4)]
            client.close()
            await stand.close()

    run(case())
