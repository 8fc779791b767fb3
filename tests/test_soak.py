"""The soak test: its referee catches each scheduler that is broken on purpose, and clears the real one."""

from dataclasses import replace
from pathlib import Path

import pytest
from broken_scheduler import WAYS

from hazellead.lab.soak.__main__ import report
from hazellead.lab.soak.plan import (
    DiscoveryTrouble,
    LeaveStep,
    Plan,
    Signals,
    SignalStep,
    Whom,
    WorkerStep,
    draw,
)
from hazellead.lab.soak.play import apart, play_here
from hazellead.lab.soak.processes import program_of
from hazellead.lab.soak.workers import Mode

BROKEN = Path(__file__).with_name("broken_scheduler.py")
SEEDS = (14, 27, 101)  # a fixed few; `make soak` plays others
SECONDS = 8.0
SIDE_BY_SIDE = 4
RULES = {
    "answers_twice": "final answer", "answers_late": "final answer", "never_answers": "final answer",
    "closes_unanswered": "final answer", "serves_its_own": "final answer", "ignores_drains": "drain",
    "sends_twice": "second attempt", "repeats_what_may_have_run": "repeat",
    "refuses_what_may_have_run": "refused", "serves_clients_that_left": "client left",
    "tells_too_much_time": "time left", "starts_slowly": "ready", "crashes": "exit"}


def small_plan(leaves: float = 0.05) -> Plan:
    """Return a run in which each rule can be broken: workers hang, reset and leave; SIGTERM ends it."""
    hanging = tuple(WorkerStep(1.0, worker, Mode.HANGS, 1.0) for worker in range(6))
    resetting = tuple(WorkerStep(2.5, worker, Mode.RESETS, 2.0) for worker in (0, 3))
    return Plan(
        seed=1, slots=1, workers=6, clients=10, sockets=1024, idle_crowd=0, crowd_at=0,
        discovery=DiscoveryTrouble.NONE, discovery_at=0, discovery_s=0, signals=(),
        trouble=hanging + resetting, leaving=(LeaveStep(1.0, 2, "draining"),), leaves=leaves, length=5.0)


def plan_for(way: str) -> Plan:
    """Return the run for a way of breaking: all clients leave where that is what counts."""
    return small_plan(leaves=1.0) if way == "serves_clients_that_left" else small_plan()


def test_the_referee_clears_the_scheduler_and_catches_each_that_is_broken_on_purpose(tmp_path: Path) -> None:
    assert set(RULES) == set(WAYS)
    with apart(SIDE_BY_SIDE) as players:
        plays = {way: players.submit(play_here, plan_for(way), program_of(f"{BROKEN} {way}"), tmp_path)
                 for way in WAYS}
        sound = players.submit(play_here, small_plan(), program_of("-m hazellead"), tmp_path)
        outcomes = {way: ended.result() for way, ended in plays.items()}
        assert not sound.result().violations
    for way, outcome in outcomes.items():
        found = {violation.rule for violation in outcome.violations}
        assert RULES[way] in found, f"{way}: {found}"


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_run_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    outcome = play_here(draw(seed, SECONDS), program_of("-m hazellead"), tmp_path)
    assert not outcome.violations, report([outcome]) + "".join(f"\n{v}" for v in outcome.violations)
    assert len(outcome.records.requests) > 100


def test_one_seed_draws_one_run() -> None:
    assert draw(5) == draw(5) != draw(6)
    steps = {step.signals for seed in range(200) for step in draw(seed).signals}
    assert steps == set(Signals)
    assert {step.whom for seed in range(50) for step in draw(seed).signals} == set(Whom)
    assert {draw(seed).discovery for seed in range(60)} == set(DiscoveryTrouble)


def test_a_hand_over_under_load_breaks_no_rule(tmp_path: Path) -> None:
    step = SignalStep(1.0, Signals.REPLACE_TWICE, Whom.ALL, 0.0)
    plan = replace(small_plan(), slots=2, signals=(step,), trouble=(), leaving=())
    outcome = play_here(plan, program_of("-m hazellead"), tmp_path)
    assert not outcome.violations
    assert len(outcome.records.lives) == 6
