"""The soak test: its referee finds each scheduler's built-in defect and no violation of the real scheduler.

Drawn plans and a hand-over under load run without violations, and a seed always draws the same plan.
"""

from dataclasses import replace
from itertools import product, repeat
from pathlib import Path

import pytest
from broken_scheduler import DEFECTS

from hazellead.lab.soak.__main__ import report
from hazellead.lab.soak.plan import (
    DiscoveryTrouble,
    LeaveStep,
    Plan,
    Signals,
    SignalStep,
    Whom,
    WorkerStep,
    draw_plan,
)
from hazellead.lab.soak.processes import scheduler_command
from hazellead.lab.soak.runner import isolated_executor, run_plan_sync
from hazellead.lab.soak.workers import Mode

BROKEN = Path(__file__).with_name("broken_scheduler.py")
SEEDS = (14, 27, 101)  # a small fixed set; `make soak` runs others
SECONDS = 8.0
RUNS_AT_ONCE = 4
EXPECTED_RULES = {
    "answers_twice": "final answer", "answers_late": "final answer", "never_answers": "final answer",
    "closes_unanswered": "final answer", "invents_results": "final answer", "ignores_drains": "drain",
    "sends_twice": "second attempt", "repeats_started_jobs": "repeat",
    "refuses_started_jobs": "refused", "serves_clients_that_left": "client left",
    "overstates_time_left": "time left", "starts_slowly": "ready", "crashes": "exit"}


def small_plan(leaves: float = 0.05) -> Plan:
    """Return a plan in which each rule can be broken: workers hang, reset and leave; SIGTERM ends the run."""
    hanging = tuple(WorkerStep(1.0, worker, Mode.HANGS, 1.0) for worker in range(6))
    resetting = tuple(WorkerStep(2.5, worker, Mode.RESETS, 2.0) for worker in (0, 3))
    return Plan(
        seed=1, slots=1, workers=6, clients=10, sockets=1024, idle_crowd=0, crowd_at=0,
        discovery=DiscoveryTrouble.NONE, discovery_at=0, discovery_s=0, signals=(),
        trouble=hanging + resetting, leaving=(LeaveStep(1.0, 2, "draining"),), leaves=leaves, length=5.0)


def plan_exposing(defect: str) -> Plan:
    """Return the plan that exposes a defect: all clients leave if the defect concerns clients that left."""
    return small_plan(leaves=1.0) if defect == "serves_clients_that_left" else small_plan()


def test_the_referee_finds_each_defect_and_nothing_in_the_real_scheduler(tmp_path: Path) -> None:
    assert set(EXPECTED_RULES) == set(DEFECTS)
    with isolated_executor(RUNS_AT_ONCE) as executor:
        futures = {
            defect: executor.submit(
                run_plan_sync, plan_exposing(defect), scheduler_command(f"{BROKEN} {defect}"), tmp_path)
            for defect in DEFECTS}
        sound = executor.submit(run_plan_sync, small_plan(), scheduler_command("-m hazellead"), tmp_path)
        outcomes = {defect: future.result() for defect, future in futures.items()}
        assert not sound.result().violations
    for defect, outcome in outcomes.items():
        found = {violation.rule for violation in outcome.violations}
        assert EXPECTED_RULES[defect] in found, f"{defect}: {found}"


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_plan_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    outcome = run_plan_sync(draw_plan(seed, SECONDS), scheduler_command("-m hazellead"), tmp_path)
    assert not outcome.violations, report([outcome]) + "".join(f"\n{v}" for v in outcome.violations)
    assert len(outcome.records.requests) > 100


def test_nothing_new_is_sent_to_a_drained_server_while_calls_to_discovery_fail(tmp_path: Path) -> None:
    """Guards against sends by an old list: failing calls were taken for proof that discovery was down."""
    plan = replace(
        small_plan(), failing_calls=1.0, discovery_at=1.0, discovery_s=10.0, length=13.0, trouble=(),
        leaving=(LeaveStep(1.6, 2, "draining"), LeaveStep(1.7, 4, "draining")))
    replaced = SignalStep(1.0, Signals.REPLACE, Whom.ONE, 0.0)
    plans = [replace(plan, seed=seed, discovery=trouble, signals=signals) for seed, (trouble, signals) in
             enumerate(product((DiscoveryTrouble.NONE, DiscoveryTrouble.SILENT), ((), (replaced,))))]
    with isolated_executor(RUNS_AT_ONCE) as executor:
        outcomes = list(executor.map(
            run_plan_sync, plans, repeat(scheduler_command("-m hazellead")), repeat(tmp_path)))
    assert not any(o.violations for o in outcomes), report(outcomes) + "".join(
        f"\n{violation}" for outcome in outcomes for violation in outcome.violations)


def test_a_seed_always_draws_the_same_plan() -> None:
    assert draw_plan(5) == draw_plan(5) != draw_plan(6)
    signals = {step.signals for seed in range(200) for step in draw_plan(seed).signals}
    assert signals == set(Signals)
    assert {step.whom for seed in range(50) for step in draw_plan(seed).signals} == set(Whom)
    assert {draw_plan(seed).discovery for seed in range(60)} == set(DiscoveryTrouble)


def test_a_hand_over_under_load_breaks_no_rule(tmp_path: Path) -> None:
    step = SignalStep(1.0, Signals.REPLACE_TWICE, Whom.ALL, 0.0)
    plan = replace(small_plan(), slots=2, signals=(step,), trouble=(), leaving=())
    outcome = run_plan_sync(plan, scheduler_command("-m hazellead"), tmp_path)
    assert not outcome.violations
    assert len(outcome.records.lives) == 6


def test_overlapping_replacements_break_no_rule_and_leave_a_process_that_can_be_replaced(
    tmp_path: Path,
) -> None:
    """Guards against an old process that accepts again beside the one that serves."""
    steps = (SignalStep(1.5, Signals.REPLACE_TWICE, Whom.ALL, 0.0),
             SignalStep(7.0, Signals.REPLACE, Whom.ALL, 0.0))
    hanging = tuple(WorkerStep(1.0, worker, Mode.HANGS, 2.0) for worker in (0, 1))
    plan = replace(small_plan(), slots=2, signals=steps, trouble=hanging, leaving=(), overlapping=True,
                   length=9.0)
    outcome = run_plan_sync(plan, scheduler_command("-m hazellead"), tmp_path)
    assert not outcome.violations
    assert len(outcome.records.lives) == 8
