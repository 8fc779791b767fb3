"""The lease on the list of servers: what renews it, what extends it and what ends it."""

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


def held(proven: float = 0.0) -> MembershipLease:
    lease = MembershipLease(TERMS, at(proven))
    lease.renew(at(proven))
    return lease


def test_the_terms_leave_a_held_up_send_within_the_grace() -> None:
    assert TERMS.contact + STALL < LIMITS.notified_after + GRACE
    # New settings may be read one hold-up late, and the send that follows comes another late.
    assert TERMS.move + 2 * STALL < LIMITS.notified_after_move + GRACE
    assert TERMS.loss + 2 * STALL < GRACE and TERMS.loss >= timedelta(0)


def test_a_new_process_has_no_lease_until_a_list_has_come() -> None:
    lease = MembershipLease(TERMS, at(0))
    assert lease.expired(at(0))
    lease.renew(at(0))
    assert not lease.expired(at(0)) and lease.expired(at(0) + TERMS.contact)


def test_a_lease_counts_from_when_its_proof_was_asked_for() -> None:
    lease = held()
    lease.renew(at(5))
    lease.renew(at(3))  # the answer of an earlier call comes later
    assert lease.until == at(5) + TERMS.contact


def test_refused_connections_extend_a_lease_and_answers_of_a_crowd_do_not() -> None:
    lease = held()
    lease.connection_refused(at(4))
    assert lease.until == at(4) + TERMS.contact
    crowd = held()
    crowd.unserved(at(4))
    assert crowd.until == at(0) + TERMS.contact


def test_calls_without_a_turn_extend_a_lease_where_a_live_watch_was_refused_before() -> None:
    lease = held()
    lease.live_watch_refused(at(1))
    lease.unserved(at(5))
    assert lease.until == at(5) + TERMS.contact
    lease.renew(at(8))  # the outage is over
    lease.unserved(at(12))
    assert lease.until == at(8) + TERMS.contact


def test_a_new_process_may_use_its_old_list_after_three_calls_in_a_row_without_a_turn() -> None:
    lease = MembershipLease(TERMS, at(0))
    for second in (0, 3):
        lease.unserved(at(second))
        assert lease.expired(at(second))
    lease.unserved(at(6))
    assert not lease.expired(at(8))


def test_an_outage_does_not_extend_a_lease_whose_watch_had_fallen_silent() -> None:
    lease = held()
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


def test_a_silence_counts_for_nothing_once_a_list_has_come() -> None:
    lease = held()
    lease.renew(at(2))  # the watch was opened anew before the silence was certain
    lease.watch_fell_silent(at(1))
    lease.connection_refused(at(4))
    assert lease.until == at(4) + TERMS.contact


def test_calls_without_a_turn_extend_a_lease_where_crowds_are_turned_away_at_once() -> None:
    lease = held()
    lease.refused_at_once()
    assert lease.until == at(0) + TERMS.contact
    lease.unserved(at(4))
    assert lease.until == at(4) + TERMS.contact


def test_a_move_bounds_the_lease_until_the_new_address_has_told_its_list() -> None:
    lease = held()
    lease.moved(at(1))
    lease.renew(at(3), by_present_discovery=False)  # the former one goes on
    assert lease.until == at(1) + TERMS.move
    lease.moved(at(2))  # once more: the first still counts
    assert lease.until == at(1) + TERMS.move
    lease.connection_refused(at(4))  # the new one is down: it cannot tell anything
    assert lease.until == at(4) + TERMS.move
    lease.renew(at(5))
    assert lease.until == at(5) + TERMS.contact


def test_where_lists_are_pushed_the_loss_of_a_watch_ends_the_lease_within_the_grace() -> None:
    lease = held()
    lease.watch_lost(at(2))
    assert lease.until == at(2) + TERMS.loss
    lease.renew(at(2.01))
    assert lease.until == at(2.01) + TERMS.contact


def test_a_silent_agent_extends_a_lease_only_after_a_list_since_the_start() -> None:
    fresh = MembershipLease(TERMS, at(0))
    fresh.agent_silent(at(3))
    assert fresh.expired(at(3))
    lease = held()
    lease.agent_silent(at(4))
    assert lease.until == at(4) + TERMS.contact


EVENTS = ("renew", "connection_refused", "live_watch_refused", "unserved", "refused_at_once",
          "watch_fell_silent", "moved")


@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(1, 4000)), max_size=40))
def test_a_lease_never_outlasts_its_newest_proof(steps: list[tuple[str, int]]) -> None:
    """Whatever comes: it ends at most one term after the last moment that any call has proven."""
    now, lease = START, held()
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
def test_a_grace_shorter_than_a_hold_up_shortens_the_lease_instead(grace: int) -> None:
    terms = LeaseTerms.of(Limits(drain_grace=timedelta(milliseconds=grace)))
    assert terms.contact + STALL < LIMITS.notified_after + timedelta(milliseconds=grace)
    assert terms.loss == timedelta(0)
