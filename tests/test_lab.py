"""Tests of the laboratory itself: its model of a worker, its checker of rules, its clients and its worlds."""

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
from hazellead.lab.clients import HeavyPhase, Stream, Surge
from hazellead.lab.fleet import US, WorkerSpec, draw_fleet
from hazellead.lab.learners import Learners
from hazellead.lab.sockets import GearmanWorkerStandIn, HttpFleet, LoopTime, sped_up
from hazellead.lab.time import VirtualTime
from hazellead.lab.worker import WorkerModel
from hazellead.lab.world import Plan, World


class Ticket:
    def __init__(self, identity: str, work_s: float = 0.1) -> None:
        self.identity, self.work_s, self.reports = identity, work_s, list[Any]()

    def began(self) -> None:
        self.reports.append("began")

    def progressed(self, share: float) -> None:
        self.reports.append(round(share, 2))

    def done(self) -> None:
        self.reports.append("done")

    def returned(self) -> None:
        self.reports.append("returned")

    def lost(self) -> None:
        self.reports.append("lost")


SPEC = WorkerSpec(1, "w", 0, 0, cores=2, speed=2.0, queue=3)


def model(time: VirtualTime, spec: WorkerSpec = SPEC, **more: Any) -> WorkerModel:
    return WorkerModel(spec, time, Random(1), noise=0, **more)


def test_a_worker_runs_jobs_in_order_and_rejects_those_beyond_its_queue() -> None:
    time, ran = VirtualTime(), list[str]()
    w = model(time, on_job_start=lambda _, identity: ran.append(identity))
    tickets = [Ticket(str(i), 1.0) for i in range(6)]
    assert [w.offer(t) for t in tickets] == [True] * 5 + [False] and w.waiting == 3
    time.run_us(US // 2 - 1)
    assert ran == ["0", "1"]
    time.run_us(1)
    assert ran == ["0", "1", "2", "3"] and tickets[0].reports == ["began", "done"]
    w.cancel("2")
    assert ran[-1] == "4"
    w.drain()
    assert not w.offer(Ticket("x"))
    time.run_us(3 * US)
    assert tickets[2].reports == ["began"] and tickets[4].reports == ["began", "done"]


def test_a_cold_worker_is_slow_and_crashes_when_overloaded() -> None:
    time, crashed = VirtualTime(), list[str]()
    w = model(time, on_cold_crash=lambda w: crashed.append(w.spec.name))
    w.restart()
    w.offer(single := Ticket("a", 4.0))  # a single job does not crash the worker
    # 0.12 t + 0.88 t^2 / 48 = 2: from 12 % and warming over 24 s, a job of 2 s when warm takes 7.67 s.
    time.run_us(7_650_000)
    assert "done" not in single.reports
    time.run_us(50_000)
    assert "done" in single.reports
    w.restart()
    jobs = [Ticket(f"b{i}", 1.0) for i in range(4)]  # the limit is 3.84 s of work in 2 s
    for t in jobs:
        assert not crashed and w.offer(t)
    assert crashed == ["w"] and all("lost" in t.reports for t in jobs[:3]) and w.cold_crashes == 1


def test_a_disconnected_worker_reports_only_after_it_reconnects() -> None:
    time = VirtualTime()
    w = model(time)
    w.offer(t := Ticket("a", 5.0))
    time.run_us(1_200_000)
    w.disconnect()
    time.run_us(5 * US)
    assert t.reports == ["began", 0.4]
    w.reconnect()
    assert t.reports == ["began", 0.4, 0.8, "done"]


def checker_of_one_job() -> RuleChecker:
    c = RuleChecker()
    c.job_accepted("j", "n", 10 * US)
    return c


VIOLATIONS: list[tuple[int, Any]] = [
    (1, lambda c: c.finish(11 * US)),
    (1, lambda c: (c.job_answered("j", "failed", US), c.job_answered("j", "refused", US))),
    (1, lambda c: c.job_answered("j", "failed", 11 * US)),
    (1, lambda c: c.job_answered("j", "served", US)),
    (1, lambda c: (c.job_started("j", "w"), c.job_answered("j", "served", US, from_worker=False))),
    (1, lambda c: c.job_accepted("j", "m", 1)),
    (2, lambda c: (c.job_started("j", "w"), c.job_started("j", "v"))),
    (2, lambda c: (c.job_started("j", "w"), c.job_answered("j", "refused", 1))),
    (2, lambda c: (c.job_answered("j", "refused", US), c.job_started("j", "w"))),
    (2, lambda c: (c.attempt_sent("j", "n", "w", 1), c.attempt_sent("j", "n", "v", 1))),
    (2, lambda c: (c.attempt_sent("j", "n", "w", 1), c.attempt_ended("j", "reset"),
                   c.attempt_sent("j", "n", "v", 1))),
    (2, lambda c: [(c.attempt_sent("j", "n", "w", 1), c.attempt_ended("j", "full")) for _ in range(4)]),
    (3, lambda c: (c.worker_announced("n", "w", available=False, at_us=0),
                   c.attempt_sent("j", "n", "w", 460_000))),
    (4, lambda c: c.cold_worker_crashed("w")),
]


@pytest.mark.parametrize(("rule", "violate"), VIOLATIONS)
def test_the_checker_detects_each_violation(rule: int, violate: Any) -> None:
    c = checker_of_one_job()
    violate(c)
    assert [r for r, _ in c.violations] == [rule]


def test_the_checker_accepts_a_run_that_keeps_the_rules() -> None:
    c = checker_of_one_job()
    c.worker_announced("n", "w", available=False, at_us=0)
    c.attempt_sent("j", "n", "w", 400_000)
    c.attempt_ended("j", "full")
    c.worker_announced("n", "v", available=False, at_us=0)
    c.worker_announced("n", "v", available=True, at_us=5)
    c.attempt_sent("j", "n", "v", 900_000)
    c.job_started("j", "v")
    c.attempt_ended("j", "served")
    c.job_answered("j", "served", US)
    assert c.finish(20 * US) == [] and c.job_starts == 1


def test_arrivals_follow_rate_surges_and_tenant_shares() -> None:
    stream = Stream(
        200, swing=0, surges=(Surge(10, 20, 4.0, tenant=0),), heavy=(HeavyPhase(0, 30, 0.02, 30),))
    jobs = list(stream.draw(Random(3), 30, "j"))
    counts = Counter((j.tenant, 10 * US <= j.at_us < 20 * US) for j in jobs)
    assert counts[0, True] == pytest.approx(4 * 0.26 * 2000, rel=0.1)
    assert counts[1, True] == pytest.approx(0.26 * 2000, rel=0.15)
    assert sum(j.heavy for j in jobs) == pytest.approx(0.02 * len(jobs), rel=0.35)
    assert jobs == list(stream.draw(Random(3), 30, "j"))


def test_a_world_keeps_the_rules_through_faults_and_is_reproducible() -> None:
    def run_world() -> tuple[Any, ...]:
        w = World(Plan(seed=3, schedulers=3, workers=9, seconds=12, load=0.7))
        Learners(w)
        w.start()
        w.at(2, w.restart_worker, 1)
        w.at(3, w.drain_worker, 2)
        w.at(4, w.restart_instance, 0)
        w.at(5, w.models[3].disconnect)
        w.at(7, w.models[3].reconnect)
        w.at(8, w.restart_worker, 4)
        return w.run(), w.checker.job_starts, dict(w.checker.answers), tuple(w.tally.arrivals)

    first = run_world()
    assert first[0] == [] and first[1] > 500 and first == run_world()
    assert sum(in_time for _, in_time in first[3]) > 0.4 * len(first[3])


def test_a_world_detects_a_scheduler_that_sends_to_drained_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from hazellead.core.jobs import Attempt
    monkeypatch.setattr(Attempt, "may_send", lambda _: True)
    w = World(Plan(seed=3, schedulers=2, workers=6, seconds=6, load=0.5))
    w.start()
    for i in w.instances:
        deliver_list = i.deliver_list

        def announce_only(
            entries: Any, kind: api.ListKind, deliver_list: Any = deliver_list, i: Any = i,
        ) -> None:
            for e in entries:
                w.checker.worker_announced(
                    i.name, w.models[e.worker].spec.name,
                    available=e.phase is api.Phase.READY, at_us=w.time.now_us())

        i.deliver_list = announce_only  # type: ignore[method-assign]
    w.at(1, w.drain_worker, 2, 5.0)
    assert {rule for rule, _ in w.run()} == {3}


def test_the_worker_model_serves_the_platforms_protocol_on_loopback(tmp_path: Path) -> None:
    async def case() -> None:
        port, checker = free_port(), RuleChecker()
        fleet = sped_up(draw_fleet(4, Random(1)), 20)
        workers = HttpFleet(fleet, 1, checker, lambda body: float(body))
        ports = workers.open_for(("127.0.0.1", port))

        class WorkerAddress:
            def __init__(self, uid: str) -> None:
                self.uid, self.port = uid, ports[uid]

        for i in range(40):
            checker.job_accepted(str(i), "n", 1 << 62)
        async with program(tmp_path, port, *(WorkerAddress(name) for name in ports)):  # type: ignore[arg-type]
            answers = [await http_post(port, "/post-payment", b"0.3", HEADERS.format(i)) for i in range(40)]
        served = [a for a in answers if a[0] == 200]
        assert len(served) == 40
        assert all(a[2] == b"posted %d" % i for i, a in enumerate(answers) if a[0] == 200)
        assert checker.job_starts == len(served) and not checker.violations
        await workers.close()

    run(case())


def test_the_worker_model_serves_as_a_gearman_worker(tmp_path: Path) -> None:
    async def case() -> None:
        spec = WorkerSpec(1, "post-1", 0, 0, 2, 40.0, 5)
        started = list[str]()
        worker = WorkerModel(
            spec, LoopTime(), Random(1), on_job_start=lambda _, identity: started.append(identity))
        async with scheduler(tmp_path, "post-1,,gearman,tartu-dc,fast-2c,up\n") as running:
            worker_stand_in = GearmanWorkerStandIn(worker, ("post_payment",), lambda _: 0.2)
            worker_stand_in.connect(running.port)
            client = await GearmanPeer.connect(running.port)
            while not any("post_payment" in line for line in await client.lines("workers")):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            for i in range(4):
                client.send(Type.SUBMIT_JOB, b"post_payment", b"key-%d" % i, b"work")
            done = [await client.expect(Type.WORK_COMPLETE) for _ in range(4)]
            assert {d.args[1] for d in done} == {b"posted key-%d" % i for i in range(4)}
            assert sorted(started) == [f"key-{i}" for i in range(4)]
            client.close()
            await worker_stand_in.close()

    run(case())
