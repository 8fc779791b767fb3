"""A lease on the list of servers: the time until which the list may be used for sending. Does no I/O.

A process that has lost contact with discovery cannot learn that a server drains or has been removed, yet
after a fixed time it counts as notified all the same. The lease expires just before that. Without a lease
nothing new is sent to any server; jobs wait in their buffers or are refused with a retry-after.

The lease is renewed by proof of contact and counted from when the proving call was made, not from when its
answer was read: an answer may have been written long before it arrives. Time in which no process listens at
discovery's address does not count, since nothing can be notified then. A watch that discovery has ended
proves that the list was current until its last call.

A call that fails in any other way proves nothing: an overloaded discovery, a faulty proxy and an outage end
calls alike, at once or late, with an error status, a reset or silence. Only after discovery has ended the
watch, and as long as each call since was refused after a wait in the queue, an outage is assumed.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

from hazellead.limits import Limits

_SAME_WAIT = timedelta(milliseconds=25)  # by which two equally long waits may differ


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
    WATCH_ENDED = "discovery ended the watch"
    OUTAGE = "discovery has ended the watch and serves no call"
    PREDECESSOR = "the lease of the process before this one"


class MembershipLease:
    """The lease of one process on its list of servers. All times are the caller's, from a monotonic clock."""

    def __init__(self, terms: LeaseTerms, now: datetime) -> None:
        """Start without a lease: a list from before the start proves nothing."""
        self.terms = terms
        self.basis = LeaseBasis.NONE
        self._until = now
        self._proven: datetime | None = None  # when the list was last known to be current
        self._move_until: datetime | None = None  # set until the current discovery has sent its list
        self._may_have_missed = False  # discovery may have been reachable while no watch was open
        self._outage = False  # discovery has ended the watch, and only refused calls late since
        # In an outage: when the last call that was refused late was made, and how long it waited.
        self._refused_late: tuple[datetime, timedelta] | None = None

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

    def renew(
        self, proven: datetime, *, by_present_discovery: bool = True, watch_open: bool = True,
    ) -> None:
        """Record that the list was current at ``proven``, when the call that has been answered was made.

        A former discovery that is still watched after a move cannot replace the list of the current one. An
        answered call that leaves no watch open (``watch_open``) does not end a time in which changes may be
        missed.
        """
        self._proven = proven if self._proven is None else max(self._proven, proven)
        self._end_at_least(proven + self.terms.contact, LeaseBasis.LIST)
        if by_present_discovery:
            self._move_until = None
            self._may_have_missed = self._may_have_missed and not watch_open
            self._end_outage()

    # Calls that fail.

    def connection_refused(self, at: datetime) -> None:
        """Record that no process listened at discovery's address when a call was made at ``at``.

        Extends the lease, unless changes may have been missed before: the time of those keeps running.
        """
        if self._may_have_missed:
            return
        self._end_at_least(at + self.terms.contact, LeaseBasis.CONNECTION_REFUSED)
        if self._move_until is not None:
            self._move_until = max(self._move_until, at + self.terms.move)

    def inherit(self, until: datetime) -> None:
        """Continue the lease of the process that this one replaces, with a list that is at least as new."""
        self._end_at_least(until, LeaseBasis.PREDECESSOR)

    @property
    def may_have_missed(self) -> bool:
        """Whether changes may have been missed, so that refused connections do not extend the lease."""
        return self._may_have_missed

    def watch_ended(self, made: datetime, *, live: bool) -> None:
        """Record that discovery refused a call made at ``made`` on an open watch: it is going down.

        A ``live`` watch, on which a call was answered before, would have told each change until then. From
        now on an outage is assumed, for as long as all calls are refused late. Has no effect once a newer
        call has been answered.
        """
        if self._proven is not None and self._proven > made:
            return
        if live:
            self._end_at_least(made + self.terms.contact, LeaseBasis.WATCH_ENDED)
        self._outage, self._refused_late = True, None

    def call_refused_late(self, made: datetime, waited: timedelta) -> None:
        """Record that a call made at ``made``, which was to open a watch, was refused after a wait.

        In an outage the lease counts from the call before it: where discovery is back and overloaded, one
        call of each process may wait in vain. Discovery refuses calls after its longest wait, so that all
        wait equally long. Without an outage it is a failed call like any other.
        """
        self._may_have_missed = True
        if not self._outage:
            return
        before, self._refused_late = self._refused_late, (made, waited)
        if before is None:
            return
        if abs(before[1] - waited) > _SAME_WAIT:
            self._end_outage()
        else:
            self._end_at_least(before[0] + self.terms.contact, LeaseBasis.OUTAGE)

    @property
    def outage(self) -> bool:
        """Whether an outage is assumed."""
        return self._outage

    def call_failed(self) -> None:
        """Record that a call other than that of an open watch failed: discovery may have been reachable.

        Unless a list has been received since, refused connections do not extend the lease then.
        """
        self._may_have_missed = True
        self._end_outage()

    def _end_outage(self) -> None:
        self._outage, self._refused_late = False, None

    def _end_at_least(self, until: datetime, basis: LeaseBasis) -> None:
        if until > self._until:
            self._until, self.basis = until, basis

    # Events that end a lease early.

    def watch_fell_silent(self, made: datetime) -> None:
        """Record that a call made at ``made``, on a watch that was live before, was not answered in time.

        Unless a list has been received since, changes may have been missed, from before refused connections
        that extended the lease, too.
        """
        if self._proven is None or self._proven > made:
            return
        self._may_have_missed = True
        self._end_outage()
        self._until = min(self._until, self._proven + self.terms.contact)

    def watch_lost(self, now: datetime) -> None:
        """Record the end of a watch where changes count without one: the lease ends with the grace period."""
        self._until = min(self._until, now + self.terms.loss)

    def moved(self, now: datetime) -> None:
        """Record a move to another discovery; the time limit of an unfinished earlier move stays in force."""
        self._end_outage()
        until = now + self.terms.move
        self._move_until = until if self._move_until is None else min(self._move_until, until)
