"""Small simulations of the capacity lab: deterministic counts and bytes, and costs that must not grow."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from hazellead.decide import interface as api
from hazellead.lab.capacity import hollow
from hazellead.lab.capacity import hollow_runs as runs
from hazellead.lab.capacity.alone import Cost, SchedulerHarness, trace_memory
from hazellead.lab.capacity.hollow_scope import Scope
from hazellead.lab.capacity.members import Members, digest_size
from hazellead.lab.capacity.result import Figure, Result, Run
from hazellead.lab.capacity.virtual_world import Gangs, Installation, Shape, shares
from hazellead.lab.fleet import US, Work, WorkerSpec
from hazellead.lab.time import VirtualTime
from hazellead.lab.worker import WorkerModel

SMALL = Shape(3, schedulers=3, workers=20, slots=4, queue=8, tenants=7, starts=12.0, seconds=12.0,
              work=Work(2.0, 0.3, 0.0), normal_aim_us=2 * US, deadline_us=30 * US)


def simulate(shape: Shape, more_s: float = 35.0) -> Installation:
    world = Installation(shape)
    world.start()
    world.time.run_us(int((shape.seconds + more_s) * US))
    return world


def task_records(world: Installation) -> list[tuple[Any, ...]]:
    return [(t.arrived_us, t.tenant, t.job_class, t.slots, t.tries, t.refusals, t.began_us, t.ended_us, t.end)
            for t in world.tasks]


def window(shape: Shape, seconds: float = 20.0) -> Cost:
    alone = SchedulerHarness(shape)
    alone.ramp()
    return alone.measure(seconds)


def counts(cost: Cost) -> tuple[Any, ...]:
    return cost.arrivals, cost.steps, cost.looks, cost.counts


def test_an_installation_answers_each_task_once_by_the_rules_and_is_deterministic() -> None:
    world = simulate(SMALL)
    assert world.checker.finish(world.time.now_us()) == []
    assert len(world.tasks) > 100 and all(t.end for t in world.tasks)
    assert world.checker.answers["served"] > 0.9 * len(world.tasks)
    assert task_records(world) == task_records(simulate(SMALL))
    assert task_records(world) != task_records(simulate(replace(SMALL, seed=4)))


def test_an_installation_keeps_the_rules_through_failures_and_gangs() -> None:
    shape = replace(SMALL, gangs=Gangs(0.2, (2, 4, 8)), seconds=20.0)

    def run_with_failures() -> Installation:
        world = Installation(shape)
        world.start()
        zone = [m for m in world.models.values() if m.spec.zone == 1]
        for m in zone:
            world.at(4, m.disconnect)
            world.at(8, m.reconnect)
        world.at(6, world.partition, (0, 1, 2))
        world.at(9, world.heal)
        world.at(11, world.restart_instance, 0, 0.5)
        world.at(12, world.replace_worker, 5)
        world.time.run_us(60 * US)
        return world

    world = run_with_failures()
    assert world.checker.finish(world.time.now_us()) == []
    assert world.checker.answers["served"] > 100
    assert any(t.slots == 4 and t.end == "served" for t in world.tasks)
    assert not any(t.slots == 8 and t.began_us >= 0 for t in world.tasks)  # wider than every worker
    assert {t.end for t in world.tasks if t.arrived_us < world.began_us + 11 * US} >= {"served", "died"}
    assert task_records(world) == task_records(run_with_failures())


def test_no_message_crosses_a_cut_and_delayed_ones_arrive_after_it_heals() -> None:
    shape = replace(SMALL, workers=2, zones=2, schedulers=1, seconds=2.0, starts=2.0)
    world = Installation(shape)
    world.start()
    world.time.run_us(int(1.5 * US))
    running = [t for t in world.tasks if t.began_us >= 0 and not t.end]
    assert running
    world.partition((0,))
    world.time.run_us(10 * US)
    far = {m.spec.name for m in world.models.values() if m.spec.zone == 1}
    waiting = [t for t in running if not t.end]
    assert waiting and {world.checker._jobs[f"{t.identity}.{t.tries}"].worker for t in waiting} <= far
    world.heal()
    world.time.run_us(US // 2)
    assert all(t.end == "served" for t in running)


def test_a_gang_starts_only_when_enough_cores_are_free() -> None:
    class Ticket:
        def __init__(self, identity: str) -> None:
            self.identity, self.work_s, self.reports = identity, 1.0, list[str]()

        def began(self) -> None:
            self.reports.append("began")

        def progressed(self, share: float) -> None:
            pass

        def done(self) -> None:
            self.reports.append("done")

        def returned(self) -> None:
            self.reports.append("returned")

        def lost(self) -> None:
            self.reports.append("lost")

    time = VirtualTime()
    worker = WorkerModel(WorkerSpec(1, "w", 0, 0, cores=4, speed=1.0, queue=3), time, Random(1), noise=0)
    one, gang, behind = Ticket("a"), Ticket("b"), Ticket("c")
    assert worker.offer(one) and worker.offer(gang, 4) and worker.offer(behind)
    assert not worker.offer(Ticket("d"), 5)  # never fits
    time.run_us(US - 1)
    assert (one.reports, gang.reports, behind.reports, worker.used) == (["began"], [], [], 1)
    time.run_us(1)
    assert gang.reports == ["began"] and behind.reports == [] and worker.used == 4
    worker.cancel("b")
    assert behind.reports == ["began"] and worker.used == 1
    time.run_us(US)
    assert worker.used == 0


def test_the_work_per_arrival_does_not_grow_with_the_number_of_workers() -> None:
    found = {}
    for workers in (20, 40, 80, 160):
        cost = window(replace(SMALL, workers=workers, starts=12.0))
        found[workers] = (cost.looks / cost.arrivals, (cost.events + cost.actions) / cost.arrivals)
        assert counts(cost) == counts(window(replace(SMALL, workers=workers, starts=12.0)))
    for workers, (looks, items) in found.items():
        assert looks <= 1.25 * 8, (workers, looks)  # samples eight candidates, rarely more
        assert items <= 1.25 * found[20][1], (workers, items)


def test_a_scheduler_keeps_no_state_of_tasks_that_have_ended() -> None:
    alone = SchedulerHarness(replace(SMALL, gangs=Gangs(0.1, (4,)), starts=60.0))
    alone.start_arrivals()
    alone.change_lists(60)
    alone.change_settings(30)
    alone.time.run_us(20 * US)
    assert len(alone.running) > 10 and alone.arrivals > 200
    assert set(alone.drain().values()) == {0}
    assert sum(alone.outcomes.values()) == alone.arrivals


def test_memory_of_running_tasks_is_freed_when_all_have_ended() -> None:
    found = trace_memory(replace(SMALL, starts=30.0, work=Work(4.0, 0.3, 0.0)))
    for idle, full, left in found.values():
        assert idle < left < full
        assert full - left > 100 * 30.0 * 4.0 / 3  # 40 running tasks of a few hundred bytes were freed
    # Allocated bytes and reachable bytes are two measures of the same memory.
    for by_trace, by_reach in zip(*found.values(), strict=True):
        assert 0.5 < by_reach / by_trace < 2


def test_members_at_rest_send_a_bounded_number_of_messages() -> None:
    def rest(count: int) -> Any:
        group = Members(replace(SMALL, schedulers=count, starts=0.01 * count))
        group.join()
        group.measure(10)
        assert group.mesh.deaths == [] and group.seconds_to_agree(1) == 0
        return group.measure(20)

    few, many = rest(3), rest(9)
    assert few == rest(3)
    # A ping and its ack every 0.5 s, a digest every 0.4 s, a full sync every 10 s.
    assert few.messages_out < 9 and many.messages_out < 9
    assert many.bytes_out < 1.5 * few.bytes_out


def test_members_find_each_other_again_after_a_cut() -> None:
    group = Members(replace(SMALL, schedulers=6, starts=1.0))
    group.warm()
    group.join()
    assert group.seconds_to_agree(10) < 5
    group.mesh.partition(["n0", "n1", "n2"])
    group.measure(20)
    assert {group.mesh.peers["n0"].node.swim.size, group.mesh.peers["n5"].node.swim.size} == {3}
    assert len(group.mesh.deaths) == 18
    group.mesh.heal()
    assert group.seconds_to_agree(60) < 30
    assert group.seconds_to_share_facts(20) < 10


def test_a_digest_grows_by_a_bounded_number_of_bytes_per_origin() -> None:
    sizes = [digest_size(n) for n in (10, 20, 40, 80)]
    assert sizes == sorted(sizes)
    assert all(b - a <= 24 * n for a, b, n in zip(sizes, sizes[1:], (10, 20, 40), strict=False))


def test_tenants_shares_sum_to_one_and_are_uneven() -> None:
    parts = shares(91)
    assert sum(parts) == pytest.approx(1) and parts[0] > 9 * parts[-1]


def test_runs_of_a_small_size_are_deterministic() -> None:
    def once() -> Result:
        result, scope = Result(), Scope(small=True, seed=2, say=lambda _: None)
        for part in (runs.common, runs.gang_thresholds, runs.killed, runs.region):
            part(result, scope)
        return result

    one, two = once(), once()
    assert [r.figures for r in one.runs] == [r.figures for r in two.runs]
    assert all(r.broken == [] for r in one.runs)
    common = one.runs[0].figures
    assert common["arrivals"].value == common["ends"].value == common["starts"].value


def test_counts_are_compared_with_the_real_run_per_arrival() -> None:
    def run(arrivals: float, served: float, wait: float) -> Run:
        return Run("common", "real", {}, {
            "arrivals": Figure(arrivals, "tasks"), "served": Figure(served, "tasks"),
            "wait_p50": Figure(wait, "s")})

    found = hollow.compare(run(100, 80, 0.1), run(200, 180, 0.05))
    assert found["served"] == pytest.approx((0.8, 0.9, 1 / 9))
    assert found["wait_p50"] == pytest.approx((0.1, 0.05, -0.5))
    assert found["arrivals"] == pytest.approx((100, 200, 0.5))


def test_a_draining_worker_gets_no_new_task() -> None:
    alone = SchedulerHarness(SMALL)
    alone.start_arrivals()
    alone.time.run_us(5 * US)
    drained = api.WorkerEntry(3, 3, 0, phase=api.Phase.DRAINING)
    alone.scheduler.on_list(api.WorkerList(api.ListKind.CHANGES, (drained,)))
    before = {key for key, a in alone.running.items() if a.worker == 3}
    alone.time.run_us(10 * US)
    assert {key for key, a in alone.running.items() if a.worker == 3} <= before


def test_running_tasks_report_at_the_set_interval_and_never_after_their_end() -> None:
    world = Installation(replace(SMALL, seconds=5.0))
    world.start()
    world.time.run_us(5 * US)
    running = world.used_slot_share() * 80
    for model in world.models.values():
        model.report_every(US // 10)
    for instance in world.scheduler_instances:
        instance.meter.reset()
    world.time.run_us(US // 2)
    reports = sum(instance.meter.counts.get("JobBegan", 0) for instance in world.scheduler_instances)
    assert 2 * running < reports < 6 * running + 10
    world.time.run_us(30 * US)
    assert world.checker.finish(world.time.now_us()) == [] and not any(
        s.scheduler.unanswered for s in world.scheduler_instances)
