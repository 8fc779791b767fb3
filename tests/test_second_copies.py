"""Checks whether an attempt needs a second copy: they must not repeat without end within one step.

``Dispatcher.handle`` did not return where jobs ran for less than a tick. The start and the end of such a job
are reported in one step, so its run time counts as 1 us. A check of an attempt that needs no copy yet was
postponed by a quarter of the mean run time in whole microseconds, which is 0 for means under 4 us, so it was
due again at once. With means of 1 and 3 us the loop in ``_send_copies`` had taken the same check from the
heap 200,000 times when it was interrupted, with 4 us once.
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
    """Fail if the block takes longer, even if it is a busy loop."""
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
    """Return the referee of a dispatcher that has served ten jobs of each class with that run time."""
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
def test_an_open_attempt_is_checked_once_a_step(spent_us: int) -> None:
    referee = after_jobs_that_ran_for(spent_us)
    with ends_within(LIMIT_S):
        assert pushes(referee.play(api.Arrival(100, 0, 5 * SECOND_US), after_us=BASE.tick_us))
        for _ in range(300):
            referee.play(api.TimerFired(0), after_us=BASE.tick_us)


@pytest.mark.parametrize("spent_us", [0, 3])
def test_a_postponed_check_comes_after_a_tick_at_least(spent_us: int) -> None:
    referee = after_jobs_that_ran_for(spent_us)
    referee.play(api.Arrival(100, 0, 5 * SECOND_US), after_us=BASE.tick_us)
    with ends_within(LIMIT_S):
        for _ in range(100):
            actions = referee.play(api.TimerFired(0), after_us=BASE.tick_us)
            timers = [a for a in actions if isinstance(a, api.SetTimer)]
            assert all(timer.after_us >= BASE.tick_us for timer in timers)


def test_checks_that_are_due_without_a_lease_set_no_timers() -> None:
    """They set a timer for each tick, although no copy can be sent before the lease is renewed."""
    referee = after_jobs_that_ran_for(20_000)
    referee.play(api.Arrival(100, 0, 5 * SECOND_US), after_us=BASE.tick_us)
    referee.play(api.LeaseChanged(held=False))
    actions = [a for _ in range(500) for a in referee.play(api.TimerFired(0), after_us=BASE.tick_us)]
    assert sum(isinstance(a, api.SetTimer) for a in actions) <= 1
    actions = referee.play(api.LeaseChanged(held=True))
    assert any(isinstance(a, api.SetTimer | api.Push) for a in actions)
