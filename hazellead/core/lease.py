"""A lease on the list of servers: until when the list that is held may still be acted on. Pure.

A process that has lost contact with discovery cannot hear that a server drains or has been removed, and
after a while it is held to have been notified all the same. The lease runs out just before that. Without a
lease nothing new is sent to any server; jobs wait in their buffers or are refused with a retry-after.

The lease is renewed by proof of contact and counted from when the proof was asked for, not from when its
answer was read: an answer may have been written long before it arrives. Time in which discovery can be shown
to be out of reach does not count, since nobody can be notified of anything then.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from hazellead.limits import Limits

# Where a call fails after two seconds of waiting for its turn, three in a row and the pauses between them
# take longer than the lease: a crowd that is served at all within it has passed by then. Where discovery
# gives up sooner they take less, and a crowd that it lets wait could pass for an outage.
_UNSERVED_IN_A_ROW = 3


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """The spans of a lease. Each includes the grace for sends that follows the notification."""

    contact: timedelta  # from the last proof that the list was current
    move: timedelta  # from new settings that name another discovery, until that has told its list
    loss: timedelta  # from the loss of a watch, where changes count as soon as discovery's agent has them

    @staticmethod
    def of(limits: Limits) -> "LeaseTerms":
        """Take the times of the protocol, less what a send may lag behind its check.

        New settings may also be read late, by one stall of the process.
        """
        usable_grace = limits.drain_grace - limits.stall - limits.transit
        return LeaseTerms(
            contact=limits.notified_after + usable_grace,
            move=limits.notified_after_move + usable_grace - limits.stall,
            loss=max(timedelta(0), usable_grace - limits.stall),
        )


class MembershipLease:
    """The lease of one process on its list of servers. Times come from the caller's monotonic clock."""

    def __init__(self, terms: LeaseTerms, now: datetime) -> None:
        """Begin without a lease: a list from before the start proves nothing."""
        self.terms = terms
        self._until = now
        self._proven: datetime | None = None  # when the list was last known to be current
        self._move_until: datetime | None = None  # while the present discovery has not told its list
        self._may_have_missed = False  # a watch has fallen silent since the last proof
        self._outage = False  # proven to have begun, and no list has been told since
        self._crowds_refused_at_once = False  # as this discovery has been seen to do
        self._unserved = 0  # calls in a row that had the longest wait for a turn and were not served

    @property
    def until(self) -> datetime:
        """Return when the lease runs out."""
        if self._move_until is None:
            return self._until
        return min(self._until, self._move_until)

    def expired(self, now: datetime) -> bool:
        """Say whether nothing may be sent by the list that is held."""
        return now >= self.until

    # What proves that the list is current.

    def renew(self, proven: datetime, *, by_present_discovery: bool = True) -> None:
        """Note that the list held was current at ``proven``, when the call was made that has been answered.

        A former discovery, still followed after a move, does not stand in for the present one's list.
        """
        self._proven = proven if self._proven is None else max(self._proven, proven)
        self._until = max(self._until, proven + self.terms.contact)
        if by_present_discovery:
            self._move_until = None
            self._may_have_missed = self._outage = False
            self._unserved = 0

    # What proves that discovery cannot be reached. Each names the start of the call that shows it.

    def connection_refused(self, at: datetime) -> None:
        """Note that nobody listens at discovery's address."""
        self._outage = True
        self._extend(at)
        if self._move_until is not None:
            self._move_until = max(self._move_until, at + self.terms.move)

    def live_watch_refused(self, at: datetime) -> None:
        """Note that discovery ended a watch that it had kept: that takes no turn, so there was no crowd."""
        self._outage = True
        self._extend(at)

    def refused_at_once(self) -> None:
        """Note that discovery turned a call away without a wait, as it does in a crowd: it can be reached."""
        self._crowds_refused_at_once = True

    def unserved(self, at: datetime) -> None:
        """Note a call that failed after a wait: in an outage, or in a crowd that discovery lets time out.

        The pages do not tell these apart. It counts as an outage where one has been proven to have begun,
        where discovery has turned calls of a crowd away at once, and after so many in a row that no crowd
        that discovery can serve within the lease explains them.
        """
        self._unserved += 1
        if self._outage or self._crowds_refused_at_once or self._unserved >= _UNSERVED_IN_A_ROW:
            self._extend(at)

    def agent_silent(self, at: datetime) -> None:
        """Note that an opening call was not answered where lists are pushed.

        The agent of discovery there answers such a call at once, but for an outage, in which it learns of no
        change. The call that is made next is answered in the moment of its return.
        """
        if self._proven is not None:
            self._until = max(self._until, at + self.terms.contact)

    def _extend(self, at: datetime) -> None:
        """Count anew from a proof that nobody could be notified.

        Does not apply to changes that a silent watch may have missed before the outage: their time went on.
        """
        if not self._may_have_missed:
            self._until = max(self._until, at + self.terms.contact)

    # What ends a lease early.

    def watch_fell_silent(self, made: datetime) -> None:
        """Note that the call made then, on a watch that was live before, has never been answered.

        Unless a list has come since, changes may have been missed: no outage extends the lease then.
        """
        if self._proven is None or self._proven > made:
            return
        self._may_have_missed = True
        self._until = min(self._until, self._proven + self.terms.contact)

    def watch_lost(self, now: datetime) -> None:
        """Note that a watch ended where changes count without one: the lease ends with the grace."""
        self._until = min(self._until, now + self.terms.loss)

    def moved(self, now: datetime) -> None:
        """Note that another discovery is to be followed; an earlier move that is not over still counts.

        What the former one has shown of outages and crowds says nothing of it.
        """
        self._outage = self._crowds_refused_at_once = False
        self._unserved = 0
        until = now + self.terms.move
        self._move_until = until if self._move_until is None else min(self._move_until, until)
