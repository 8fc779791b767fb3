"""A lease on the list of servers: the time until which the list may be used for sending. Does no I/O.

A process that has lost contact with discovery cannot learn that a server drains or has been removed, yet
after a fixed time it counts as notified all the same. The lease expires just before that. Without a lease
nothing new is sent to any server; jobs wait in their buffers or are refused with a retry-after.

The lease is renewed by proof of contact and counted from when the proving call was made, not from when its
answer was read: an answer may have been written long before it arrives. Time in which discovery provably
cannot be reached does not count, since no process can be notified of anything then.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

from hazellead.limits import Limits

# Where a queued call fails after two seconds, three in a row and the pauses between them take longer than the
# lease: an overload that discovery can serve within the lease is over by then. Where discovery gives up
# sooner, three calls take less time than that, and an overload with waiting calls could pass for an outage.
_UNSERVED_CALLS_IN_OUTAGE = 3


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """The durations of a lease. Each includes the grace period in which sends may follow a notification."""

    contact: timedelta  # from the last proof that the list was current
    move: timedelta  # from settings that name another discovery, if that has not sent its list by then
    loss: timedelta  # from a watch's loss, where changes count as notified once discovery's agent has them

    @staticmethod
    def of(limits: Limits) -> "LeaseTerms":
        """Derive the durations from the protocol's times, less the delay between a check and its send.

        New settings may also be read late, by one stall of the process.
        """
        usable_grace = limits.drain_grace - limits.process_stall - limits.transit
        return LeaseTerms(
            contact=limits.notified_after + usable_grace,
            move=limits.notified_after_move + usable_grace - limits.process_stall,
            loss=max(timedelta(0), usable_grace - limits.process_stall),
        )


class LeaseBasis(Enum):
    """The evidence on which the end of a lease rests."""

    NONE = "none since the start"
    LIST = "a list was received"
    CONNECTION_REFUSED = "connections are refused"
    LIVE_WATCH_REFUSED = "a call of a live watch was refused"
    UNSERVED_CALLS = "calls are not served"
    AGENT_SILENT = "the agent does not answer"


class MembershipLease:
    """The lease of one process on its list of servers. All times are the caller's, from a monotonic clock."""

    def __init__(self, terms: LeaseTerms, now: datetime) -> None:
        """Start without a lease: a list from before the start proves nothing."""
        self.terms = terms
        self.basis = LeaseBasis.NONE
        self._until = now
        self._proven: datetime | None = None  # when the list was last known to be current
        self._move_until: datetime | None = None  # set until the current discovery has sent its list
        self._may_have_missed = False  # a watch has gone silent since the last proof
        self._outage = False  # proven to have begun, and no list has been received since
        self._refuses_at_once = False  # this discovery has refused a call without a wait
        self._unserved = 0  # calls in a row that waited the longest time in the queue and were not served

    @property
    def until(self) -> datetime:
        """Return when the lease expires."""
        if self._move_until is None:
            return self._until
        return min(self._until, self._move_until)

    def expired(self, now: datetime) -> bool:
        """Return whether the lease has expired, so that nothing may be sent."""
        return now >= self.until

    # Proof that the list is current.

    def renew(self, proven: datetime, *, by_present_discovery: bool = True) -> None:
        """Record that the list was current at ``proven``, when the call that has been answered was made.

        A former discovery that is still watched after a move cannot replace the list of the current one.
        """
        self._proven = proven if self._proven is None else max(self._proven, proven)
        self._end_at_least(proven + self.terms.contact, LeaseBasis.LIST)
        if by_present_discovery:
            self._move_until = None
            self._may_have_missed = self._outage = False
            self._unserved = 0

    # Proof that discovery cannot be reached. ``at`` is when the call that shows it was made.

    def connection_refused(self, at: datetime) -> None:
        """Record that no process listens at discovery's address."""
        self._outage = True
        self._extend(at, LeaseBasis.CONNECTION_REFUSED)
        if self._move_until is not None:
            self._move_until = max(self._move_until, at + self.terms.move)

    def live_watch_refused(self, at: datetime) -> None:
        """Record a refused call on a live watch: such calls do not queue, so it is no sign of an overload."""
        self._outage = True
        self._extend(at, LeaseBasis.LIVE_WATCH_REFUSED)

    def refused_at_once(self) -> None:
        """Record that discovery refused a call at once, as it does under overload: it can be reached."""
        self._refuses_at_once = True

    def unserved(self, at: datetime) -> None:
        """Record a call that failed after a wait: in an outage, or in an overload with waiting calls.

        The protocol does not distinguish these. It counts as an outage if one is proven to have begun, if
        discovery has refused calls of an overload at once, or after so many calls in a row that an overload
        which discovery can serve within the lease is ruled out.
        """
        self._unserved += 1
        if self._outage or self._refuses_at_once or self._unserved >= _UNSERVED_CALLS_IN_OUTAGE:
            self._extend(at, LeaseBasis.UNSERVED_CALLS)

    def agent_silent(self, at: datetime) -> None:
        """Record that the opening call of a watch was not answered, where lists are pushed.

        There discovery's agent answers such a call at once except in an outage, in which it learns of no
        change. The next call is answered as soon as the agent is back.
        """
        if self._proven is not None:
            self._end_at_least(at + self.terms.contact, LeaseBasis.AGENT_SILENT)

    def _extend(self, at: datetime, basis: LeaseBasis) -> None:
        """Restart the lease at a proof that no process could be notified.

        Has no effect after a watch went silent: the time of changes missed before the outage keeps running.
        """
        if not self._may_have_missed:
            self._end_at_least(at + self.terms.contact, basis)

    def _end_at_least(self, until: datetime, basis: LeaseBasis) -> None:
        if until > self._until:
            self._until, self.basis = until, basis

    # Events that end a lease early.

    def watch_fell_silent(self, made: datetime) -> None:
        """Record that a call made at ``made``, on a watch that was live before, was never answered.

        Unless a list has been received since, changes may have been missed: no outage extends the lease then.
        """
        if self._proven is None or self._proven > made:
            return
        self._may_have_missed = True
        self._until = min(self._until, self._proven + self.terms.contact)

    def watch_lost(self, now: datetime) -> None:
        """Record the end of a watch where changes count without one: the lease ends with the grace period."""
        self._until = min(self._until, now + self.terms.loss)

    def moved(self, now: datetime) -> None:
        """Record a move to another discovery; the time limit of an unfinished earlier move stays in force.

        Outages and overloads of the former discovery say nothing about the new one.
        """
        self._outage = self._refuses_at_once = False
        self._unserved = 0
        until = now + self.terms.move
        self._move_until = until if self._move_until is None else min(self._move_until, until)
