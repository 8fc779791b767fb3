"""Looks at whether an attempt needs a second copy.

A scheduler whose jobs run for less than a tick stopped answering for good: one call of ``Dispatcher.handle``
never returned. The call-backs of such a job's start and end come in one step, so it counts as run for 1 us. A
look at an attempt that needs no copy yet was put off by a quarter of the mean run time in whole microseconds,
which is 0 for means under 4 us, and was due again at once. Evidence: with means of 1 and 3 us the loop in
``_copy`` took one and the same check from the heap 200,000 times, when it was broken off; with 4 us once.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType

import pytest
from helpers import BASE, Referee, fleet, pushes

from hazellead.decide import interface as api

LIMIT_S = 2.0
SECOND_US = 1_000_000


@contextmanager
def ends_within(seconds: float) -> Iterator[None]:
    """Fail if the block takes longer, also where it never lets go of the processor."""
    def stop(_: int, __: FrameType | None) -> None:
        raise AssertionError(f"still running after {seconds} s")

    before = signal.signal(signal.SIGALRM, stop)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


def after_jobs_that_ran_for(spent_us: int) -> Referee:
    """Return a dispatcher that has served some jobs of each class, each of them run for that long."""
    referee = Referee(BASE)
    referee.play(fleet())
    for number in range(30):
        actions = referee.play(api.Arrival(number, number % 3, 5 * SECOND_US), after_us=BASE.tick_us)
        for push in pushes(actions):
            referee.play(api.JobBegan(push.request, 0, push.worker), after_us=BASE.tick_us)
            referee.play(after_us=spent_us)
            referee.end(push.request, 0, api.Outcome.SERVED)
    return referee


@pytest.mark.parametrize("spent_us", [0, 1, 3, 4, 100, 20_000])
def test_an_attempt_that_is_still_out_is_looked_at_once_a_step(spent_us: int) -> None:
    referee = after_jobs_that_ran_for(spent_us)
    with ends_within(LIMIT_S):
        assert pushes(referee.play(api.Arrival(100, 0, 5 * SECOND_US), after_us=BASE.tick_us))
        for _ in range(300):
            referee.play(api.TimerFired(0), after_us=BASE.tick_us)


@pytest.mark.parametrize("spent_us", [0, 3])
def test_a_look_put_off_comes_again_after_a_tick_at_least(spent_us: int) -> None:
    referee = after_jobs_that_ran_for(spent_us)
    referee.play(api.Arrival(100, 0, 5 * SECOND_US), after_us=BASE.tick_us)
    with ends_within(LIMIT_S):
        for _ in range(100):
            actions = referee.play(api.TimerFired(0), after_us=BASE.tick_us)
            timers = [a for a in actions if isinstance(a, api.SetTimer)]
            assert all(timer.after_us >= BASE.tick_us for timer in timers)


def test_looks_that_are_due_without_a_lease_set_no_timers() -> None:
    """They cannot be taken then; before, a timer came each tick for as long as the lease was out."""
    referee = after_jobs_that_ran_for(20_000)
    referee.play(api.Arrival(100, 0, 5 * SECOND_US), after_us=BASE.tick_us)
    referee.play(api.LeaseChanged(held=False))
    actions = [a for _ in range(500) for a in referee.play(api.TimerFired(0), after_us=BASE.tick_us)]
    assert sum(isinstance(a, api.SetTimer) for a in actions) <= 1
    actions = referee.play(api.LeaseChanged(held=True))
    assert any(isinstance(a, api.SetTimer | api.Push) for a in actions)
