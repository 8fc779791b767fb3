"""The lease on the list of servers: how it is renewed, extended and ended."""

from collections.abc import Callable
from datetime import datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazellead.core.lease import LeaseBasis, LeaseTerms, MembershipLease
from hazellead.lab.time import START
from hazellead.limits import Limits

LIMITS = Limits()
TERMS = LeaseTerms.of(LIMITS)
GRACE = timedelta(milliseconds=400)
STALL = timedelta(milliseconds=150)


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def renewed_lease(proven: float = 0.0) -> MembershipLease:
    lease = MembershipLease(TERMS, at(proven))
    lease.renew(at(proven))
    return lease


def test_a_send_delayed_by_a_stall_is_still_within_the_grace() -> None:
    assert TERMS.contact + STALL < LIMITS.notified_after + GRACE
    # New settings may be read late by one stall, and the send that follows is late by another.
    assert TERMS.move + 2 * STALL < LIMITS.notified_after_move + GRACE
    assert TERMS.loss + 2 * STALL < GRACE and TERMS.loss >= timedelta(0)


def test_a_new_process_has_no_lease_until_it_has_received_a_list() -> None:
    lease = MembershipLease(TERMS, at(0))
    assert lease.expired(at(0))
    lease.renew(at(0))
    assert not lease.expired(at(0)) and lease.expired(at(0) + TERMS.contact)


def test_a_lease_counts_from_when_the_proving_call_was_made() -> None:
    lease = renewed_lease()
    lease.renew(at(5))
    lease.renew(at(3))  # the answer to an earlier call arrives later
    assert lease.until == at(5) + TERMS.contact


def test_refused_connections_extend_a_lease() -> None:
    lease = renewed_lease()
    lease.connection_refused(at(4))
    assert lease.until == at(4) + TERMS.contact and lease.basis is LeaseBasis.CONNECTION_REFUSED
    new = MembershipLease(TERMS, at(0))
    new.connection_refused(at(0.5))
    assert new.until == at(0.5) + TERMS.contact


@pytest.mark.parametrize("new", [True, False])
def test_calls_that_fail_in_another_way_extend_no_lease(new: bool) -> None:
    """Guards against sends by an old list: failing calls were taken for proof that discovery was down."""
    lease = MembershipLease(TERMS, at(0)) if new else renewed_lease()
    until = lease.until
    for second in (1, 2, 3, 4):
        lease.call_failed()
        assert lease.until == until
        lease.connection_refused(at(second))  # what was missed in between keeps counting
        assert lease.until == until


def test_a_watch_that_discovery_ends_was_current_until_its_last_call() -> None:
    lease = renewed_lease()
    lease.watch_ended(at(1), live=True)
    assert lease.until == at(1) + TERMS.contact and lease.basis is LeaseBasis.WATCH_ENDED
    second_call = renewed_lease()  # it may have waited for its turn
    second_call.watch_ended(at(1), live=False)
    assert second_call.until == at(0) + TERMS.contact


LONGEST_WAIT = timedelta(seconds=2)
OTHER_FAILURES: dict[str, Callable[[MembershipLease], None]] = {
    "refused at once, reset or silent": lambda lease: lease.call_failed(),
    "refused after another wait": lambda lease: lease.call_refused_late(at(4), LONGEST_WAIT / 2),
    "a list was received": lambda lease: lease.renew(at(4)),
    "a silent watch": lambda lease: lease.watch_fell_silent(at(4)),
    "moved": lambda lease: lease.moved(at(4)),
}


def test_after_an_ended_watch_the_lease_follows_calls_refused_late_from_the_one_before() -> None:
    lease = renewed_lease()
    lease.watch_ended(at(1), live=True)
    lease.call_refused_late(at(2), LONGEST_WAIT)
    assert lease.until == at(1) + TERMS.contact
    for second in (4, 6, 8):
        lease.call_refused_late(at(second), LONGEST_WAIT)
        assert lease.until == at(second - 2) + TERMS.contact and lease.basis is LeaseBasis.OUTAGE


@pytest.mark.parametrize("other", OTHER_FAILURES.values(), ids=OTHER_FAILURES)
def test_anything_but_calls_refused_late_ends_the_assumed_outage(
    other: Callable[[MembershipLease], None],
) -> None:
    """Guards against sends by an old list: calls that failed in turn each extended the lease."""
    lease = renewed_lease()
    lease.watch_ended(at(1), live=True)
    lease.call_refused_late(at(2), LONGEST_WAIT)
    other(lease)
    until = lease.until
    for second in (6, 8, 10):
        lease.call_refused_late(at(second), LONGEST_WAIT)
    assert lease.until == until


def test_calls_refused_late_extend_no_lease_without_an_ended_watch() -> None:
    """Guards against a new process that sends by the list from before its start, with no call answered."""
    new, renewed = MembershipLease(TERMS, at(0)), renewed_lease()
    reopened = renewed_lease()
    reopened.renew(at(2))
    reopened.watch_ended(at(1), live=True)  # the end of the watch before, noticed late
    for lease, until in ((new, new.until), (renewed, renewed.until), (reopened, reopened.until)):
        for second in (3, 5, 7, 9):
            lease.call_refused_late(at(second), LONGEST_WAIT)
        assert lease.until == until


def test_an_outage_does_not_extend_a_lease_whose_watch_was_already_silent() -> None:
    lease = renewed_lease()
    lease.connection_refused(at(3))
    lease.watch_fell_silent(at(1))  # noticed late
    lease.connection_refused(at(4))
    assert lease.until == at(0) + TERMS.contact
    lease.renew(at(7))
    lease.connection_refused(at(9))
    assert lease.until == at(9) + TERMS.contact


def test_an_answer_without_an_open_watch_renews_a_lease_for_which_changes_are_still_missed() -> None:
    """Guards against an extension after a late answer of a broken watch that was not opened anew since."""
    lease = renewed_lease()
    lease.watch_fell_silent(at(1))
    lease.renew(at(1), watch_open=False)
    assert lease.until == at(1) + TERMS.contact
    lease.connection_refused(at(4))
    assert lease.until == at(1) + TERMS.contact


def test_a_silent_watch_is_ignored_once_a_newer_list_has_been_received() -> None:
    lease = renewed_lease()
    lease.renew(at(2))  # the watch was reopened before the silence was certain
    lease.watch_fell_silent(at(1))
    lease.connection_refused(at(4))
    assert lease.until == at(4) + TERMS.contact


def test_a_move_bounds_the_lease_until_the_new_address_has_sent_its_list() -> None:
    lease = renewed_lease()
    lease.moved(at(1))
    lease.renew(at(3), by_present_discovery=False)  # the former discovery still answers
    assert lease.until == at(1) + TERMS.move
    lease.moved(at(2))  # a second move: the limit of the first stays
    assert lease.until == at(1) + TERMS.move
    lease.connection_refused(at(4))  # the new discovery is down and cannot notify
    assert lease.until == at(4) + TERMS.move
    lease.renew(at(5))
    assert lease.until == at(5) + TERMS.contact


def test_where_lists_are_pushed_the_loss_of_a_watch_ends_the_lease_within_the_grace() -> None:
    lease = renewed_lease()
    lease.watch_lost(at(2))
    assert lease.until == at(2) + TERMS.loss
    lease.renew(at(2.01))
    assert lease.until == at(2.01) + TERMS.contact


EVENTS = ("renew", "connection_refused", "watch_ended", "call_refused_late", "call_failed",
          "watch_fell_silent", "moved")


@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(1, 4000)), max_size=40))
def test_a_lease_never_outlasts_its_newest_proof(steps: list[tuple[str, int]]) -> None:
    """After any events, the lease ends at most one term after the newest proof.

    A refused connection is a proof only if no other call has failed, and no watch was silent, since a list. A
    call that is refused late proves no more than that the one before it was made in an outage.
    """
    now, lease = START, renewed_lease()
    proven, unbroken, refused_late = START, True, START
    for event, milliseconds in steps:
        now += timedelta(milliseconds=milliseconds)
        if event == "call_failed":
            lease.call_failed()
        elif event == "watch_ended":
            lease.watch_ended(now, live=True)
        elif event == "call_refused_late":
            lease.call_refused_late(now, LONGEST_WAIT)
            proven, refused_late = max(proven, refused_late), now
        else:
            getattr(lease, event)(now)
        unbroken = event == "renew" or (
            unbroken and event not in ("call_failed", "call_refused_late", "watch_fell_silent"))
        if event in ("renew", "watch_ended") or (event == "connection_refused" and unbroken):
            proven = now
        assert lease.until <= proven + TERMS.contact
        if event == "moved":
            assert lease.until <= now + TERMS.move


@pytest.mark.parametrize("grace", [0, 100])
def test_a_grace_shorter_than_a_stall_shortens_the_lease_instead(grace: int) -> None:
    terms = LeaseTerms.of(Limits(drain_grace=timedelta(milliseconds=grace)))
    assert terms.contact + STALL < LIMITS.notified_after + timedelta(milliseconds=grace)
    assert terms.loss == timedelta(0)
