"""The lease on the list of servers: how it is renewed, extended and ended."""

from datetime import datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazellead.core.lease import LeaseTerms, MembershipLease
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


def test_refused_connections_extend_a_lease_and_unserved_calls_of_an_overload_do_not() -> None:
    lease = renewed_lease()
    lease.connection_refused(at(4))
    assert lease.until == at(4) + TERMS.contact
    overloaded = renewed_lease()
    overloaded.unserved(at(4))
    assert overloaded.until == at(0) + TERMS.contact


def test_unserved_calls_extend_a_lease_after_a_live_watch_was_refused() -> None:
    lease = renewed_lease()
    lease.live_watch_refused(at(1))
    lease.unserved(at(5))
    assert lease.until == at(5) + TERMS.contact
    lease.renew(at(8))  # the outage is over
    lease.unserved(at(12))
    assert lease.until == at(8) + TERMS.contact


def test_a_new_process_may_use_its_old_list_after_three_unserved_calls_in_a_row() -> None:
    lease = MembershipLease(TERMS, at(0))
    for second in (0, 3):
        lease.unserved(at(second))
        assert lease.expired(at(second))
    lease.unserved(at(6))
    assert not lease.expired(at(8))


def test_an_outage_does_not_extend_a_lease_whose_watch_was_already_silent() -> None:
    lease = renewed_lease()
    lease.connection_refused(at(3))
    lease.watch_fell_silent(at(1))  # noticed late
    lease.connection_refused(at(4))
    lease.live_watch_refused(at(4))
    for second in (4, 5, 6):
        lease.unserved(at(second))
    assert lease.until == at(0) + TERMS.contact
    lease.renew(at(7))
    lease.connection_refused(at(9))
    assert lease.until == at(9) + TERMS.contact


def test_a_silent_watch_is_ignored_once_a_newer_list_has_been_received() -> None:
    lease = renewed_lease()
    lease.renew(at(2))  # the watch was reopened before the silence was certain
    lease.watch_fell_silent(at(1))
    lease.connection_refused(at(4))
    assert lease.until == at(4) + TERMS.contact


def test_unserved_calls_extend_a_lease_where_overloads_are_refused_at_once() -> None:
    lease = renewed_lease()
    lease.refused_at_once()
    assert lease.until == at(0) + TERMS.contact
    lease.unserved(at(4))
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


def test_a_silent_agent_extends_a_lease_only_after_a_list_since_the_start() -> None:
    fresh = MembershipLease(TERMS, at(0))
    fresh.agent_silent(at(3))
    assert fresh.expired(at(3))
    lease = renewed_lease()
    lease.agent_silent(at(4))
    assert lease.until == at(4) + TERMS.contact


EVENTS = ("renew", "connection_refused", "live_watch_refused", "unserved", "refused_at_once",
          "watch_fell_silent", "moved")


@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(1, 4000)), max_size=40))
def test_a_lease_never_outlasts_its_newest_proof(steps: list[tuple[str, int]]) -> None:
    """After any events, the lease ends at most one term after the newest proof of any call."""
    now, lease = START, renewed_lease()
    proven = START
    for event, milliseconds in steps:
        now += timedelta(milliseconds=milliseconds)
        if event == "refused_at_once":
            lease.refused_at_once()
        elif event == "watch_fell_silent":
            lease.watch_fell_silent(now)
        else:
            getattr(lease, event)(now)
            proven = proven if event == "moved" else now
        assert lease.until <= proven + TERMS.contact
        if event == "moved":
            assert lease.until <= now + TERMS.move


@pytest.mark.parametrize("grace", [0, 100])
def test_a_grace_shorter_than_a_stall_shortens_the_lease_instead(grace: int) -> None:
    terms = LeaseTerms.of(Limits(drain_grace=timedelta(milliseconds=grace)))
    assert terms.contact + STALL < LIMITS.notified_after + timedelta(milliseconds=grace)
    assert terms.loss == timedelta(0)
